"""Toy deployment on loopback: stand-in engines of either protocol, an event bus and a router process."""

import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import anyio.abc
import orjson

from hillchute.lab import deployment
from hillchute.lab.line_engine import LineEngine
from hillchute.lab.stand_in_faults import print_fault
from hillchute.lab.world import Engine, EngineWorld
from hillchute.net.fault_barrier import FaultBarrier

FRAME_HEADER = struct.Struct(">IQB")
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")
PORT_RANGE = (20_000, 30_000)  # below the kernel's range of ephemeral ports
allocated_ports: set[int] = set()  # ports that this process has handed out
STATE_CODES = {"Ready": 0, "Terminating": 1, "Gone": 2}


class Bus:
    """The event bus: sends all events in order to each subscriber, and an empty frame per idle second."""

    def __init__(self) -> None:
        self.events: list[tuple[int, int, bytes]] = []
        self.changed = anyio.Event()
        self.port = 0

    def publish(self, mode: int, records: list[tuple[int, int, str]]) -> None:
        """Publish a complete list (`mode` 1) or changes (`mode` 2); records are (engine, port, state)."""
        payload = b"".join(
            ENDPOINT_RECORD.pack(
                engine, socket.inet_aton("127.0.0.1"), port, STATE_CODES[state], 0, 0, 0, 1000, 0
            )
            for engine, port, state in records
        )
        self.events.append((len(self.events) + 1, mode, payload))
        self.changed.set()
        self.changed = anyio.Event()

    async def serve(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            await listener.serve(self.serve_guarded)

    async def serve_guarded(self, stream: anyio.abc.SocketStream) -> None:
        """Serves a subscriber; whatever it sends, it ends no other subscription."""
        with FaultBarrier("event bus", print_fault):
            await self.serve_subscriber(stream)

    async def serve_subscriber(self, stream: anyio.abc.SocketStream) -> None:
        try:
            async with stream:
                (last,) = struct.unpack(">Q", await stream.receive(8))
                while True:
                    for number, mode, payload in self.events[last:]:
                        await stream.send(FRAME_HEADER.pack(9 + len(payload), number, mode) + payload)
                        last = number
                    changed = self.changed
                    with anyio.move_on_after(1) as idle:
                        await changed.wait()
                    if idle.cancelled_caught:
                        await stream.send(FRAME_HEADER.pack(9, last, 0))
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.ClosedResourceError):
            return


class Fleet:
    """Engines of one protocol, numbered from 1, with the event bus that lists them."""

    def __init__(
        self, world: EngineWorld, protocol: str, tasks: anyio.abc.TaskGroup, **engine_options
    ) -> None:
        self.world, self.protocol, self.tasks, self.engine_options = world, protocol, tasks, engine_options
        self.bus = Bus()
        self.servers: dict[int, object] = {}
        self.cancel_scopes: dict[int, anyio.CancelScope] = {}

    async def start(self, engines: int) -> None:
        await self.tasks.start(self.bus.serve)
        for _ in range(engines):
            await self.add(publish=False)
        self.bus.publish(1, [(n, server.port, "Ready") for n, server in self.servers.items()])

    async def add(self, publish: bool = True) -> int:
        """Start an engine and return its number."""
        number = len(self.servers) + 1
        engine = Engine(self.world, f"s-{number:08x}", **self.engine_options)
        if self.protocol == "flight":
            from hillchute.lab.flight_engine import FlightEngine

            server = FlightEngine(engine)
            await server.open()
        else:
            server = LineEngine(engine)
            scope = self.cancel_scopes[number] = anyio.CancelScope()

            async def run_server(*, task_status) -> None:
                with scope:
                    await server.serve(task_status=task_status)

            await self.tasks.start(run_server)
        self.servers[number] = server
        if publish:
            self.bus.publish(2, [(number, server.port, "Ready")])
        return number

    def drain(self, number: int) -> None:
        """Announce that an engine is terminating."""
        self.world.drained[f"s-{number:08x}"] = self.world.clock()
        self.bus.publish(2, [(number, self.servers[number].port, "Terminating")])

    async def kill(self, number: int) -> None:
        """Stop an engine without notice: its connections are closed and its port refuses new ones."""
        server = self.servers[number]
        if self.protocol == "flight":
            await server.close(None)
        else:
            self.cancel_scopes[number].cancel()

    async def close(self) -> None:
        for number in self.servers:
            await self.kill(number)


def free_port() -> int:
    """Return a port that is free for UDP and TCP.

    It is below the kernel's ephemeral ports. Otherwise another connection of the same test could get the port
    before the router binds it, or while the router is down.
    """
    rng = random.SystemRandom()
    for _ in range(1000):
        port = rng.randrange(*PORT_RANGE)
        with socket.socket() as tcp_socket, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            try:
                tcp_socket.bind(("127.0.0.1", port))
                udp_socket.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in allocated_ports:
            allocated_ports.add(port)
            return port
    raise RuntimeError(f"no free port found in {PORT_RANGE}")


class Router:
    """A router in its own process, and its files in `folder`."""

    def __init__(self, folder: Path, bus: int, operator: str | None = None, **overrides) -> None:
        self.folder = folder
        self.port, self.flight_port = free_port(), free_port()
        configuration = deployment.make_configuration(**overrides)
        configuration |= {"listen": f"127.0.0.1:{self.port}", "bus": f"127.0.0.1:{bus}"}
        (folder / "router.json").write_bytes(orjson.dumps(configuration))
        self.arguments = [sys.executable, "-m", "hillchute.router"]
        self.environ = os.environ | {"EDGE_CONFIG": str(folder / "router.json"), "EDGE_NAME": "lab"}
        if operator is not None:
            text = operator.replace("FLIGHT_PORT", str(self.flight_port))
            (folder / "operator.cue").write_text(text)
            self.environ["HILLCHUTE_OPERATOR"] = str(folder / "operator.cue")
        self.process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start the process and wait until it serves; raise RuntimeError with the log's end if it exits."""
        log = (self.folder / "router.log").open("wb")
        self.process = subprocess.Popen(self.arguments, env=self.environ, stdout=log, stderr=log)
        with anyio.fail_after(20):
            while b'"phase":"serving"' not in (self.folder / "router.log").read_bytes():
                if self.process.poll() is not None:
                    raise RuntimeError((self.folder / "router.log").read_text()[-2000:])
                await anyio.sleep(0.05)

    async def stop(self) -> int:
        """Send SIGTERM, then SIGKILL after 15 s; return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(15):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        return self.process.wait()

    def faults(self) -> list[dict]:
        """Return the fault events in the router's log."""
        lines = (self.folder / "router.log").read_bytes().splitlines()
        entries = [orjson.loads(line) for line in lines if line.startswith(b"{")]
        return [line for line in entries if line["event"] == "fault"]


@asynccontextmanager
async def deployed(
    protocol: str, engines: int = 3, operator: str | None = None, seed: int = 1, **engine_options
) -> AsyncIterator[tuple[Fleet, Router]]:
    """Run a toy deployment for the length of the context."""
    with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(EngineWorld(seed=seed), protocol, tasks, **engine_options)
            await fleet.start(engines)
            router = Router(Path(folder), fleet.bus.port, operator)
            await router.start()
            try:
                await anyio.sleep(0.3)  # the router receives the endpoint list
                yield fleet, router
            finally:
                with anyio.CancelScope(shield=True):
                    await router.stop()
                    await fleet.close()
                tasks.cancel_scope.cancel()
