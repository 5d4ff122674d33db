"""An exception in the handling of one client, engine, peer or step never ends the router.

A whole router runs in the test's event loop: its tasks, a stand-in event bus and engine, and a peer's socket.
In each test one function raises once.
"""

import signal
import socket
import time
from contextlib import asynccontextmanager
from operator import attrgetter
from types import SimpleNamespace

import anyio
import grpc
import pytest
from rounds_by_hand import LOGIN, Client, RecordingLog, query

from hillchute.engines import events
from hillchute.engines.flight import links
from hillchute.fronts.flight.answers import INTERNAL
from hillchute.fronts.flight.server import Server
from hillchute.fronts.seats import STEP_TIMEOUT
from hillchute.lab import deployment
from hillchute.lab.fleet import Fleet, free_port
from hillchute.lab.world import EngineWorld
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.operator import reading
from hillchute.peers import transport
from hillchute.peers.datagrams import DatagramKind
from hillchute.router import config
from hillchute.router.reload import OperatorFile
from hillchute.router.service import Service

WAIT_SECONDS = 20.0
RESETS_AT_ONCE = 3  # fewer than the smallest backlog, as a connect waits for room there
RESET_ROUNDS = 50
LONG_MESSAGE = bytes(4 * transport.DATAGRAM_FRAGMENT_BYTES)  # does not fit into a datagram


class InjectedError(Exception):
    """Raised by the function under test."""


class RaiseOnce:
    """Replaces a function by one that raises at its first call, and that then is the original again."""

    def __init__(self, owner, name):
        self.raised = False
        original = getattr(owner, name)

        def raise_once(*arguments, **named):
            if self.raised:
                return original(*arguments, **named)
            self.raised = True
            raise InjectedError(name)

        raise_once.__name__ = name
        object.__setattr__(owner, name, raise_once)


class Deployment:
    """A router in this event loop with its peer extension, a stand-in event bus and one stand-in engine."""

    service: Service

    def __init__(self, fleet):
        self.fleet = fleet
        self.ended = False  # the router's run() has returned or raised
        self.clock_offset_ns = 0
        self.queries = 0
        self.clients = []

    @property
    def transport(self):
        return self.service.extension.transport

    async def run_router(self):
        try:
            await self.service.run()
        finally:
            self.ended = True

    async def wait_until(self, done):
        with anyio.fail_after(WAIT_SECONDS):
            while not done():
                assert not self.ended, "the router has ended"
                await anyio.sleep(0.005)

    def connect_client(self, data=LOGIN):
        client = Client(SimpleNamespace(address=("127.0.0.1", self.service.configuration.port)))
        client.write(data)
        self.clients.append(client)
        return client

    def new_query(self):
        self.queries += 1
        return query(self.queries)

    async def is_served(self, client):
        await self.wait_until(lambda: client.answers() or client.closed_by_peer)
        return client.answers() == ["served"]

    def reset_connections(self, address):
        for _ in range(RESETS_AT_ONCE):
            client = Client(SimpleNamespace(address=address))
            client.reset()

    async def disturb(self):
        """Makes every part of the router do something."""
        for stream in list(self.fleet.servers[1].streams):
            await stream.aclose()  # so that the router connects to the engine again
        self.connect_client(LOGIN[:9])  # a login that is never complete
        self.connect_client().close()
        idle = self.connect_client(LOGIN + self.new_query())
        await anyio.sleep(0.05)
        idle.write(self.new_query())
        await anyio.sleep(0.05)
        self.clock_offset_ns += STEP_TIMEOUT * 100_000
        self.fleet.bus.publish(2, [(1, self.fleet.servers[1].port, "Ready")])
        self.transport.node.state_requests.append("b")
        message = transport.QueuedMessage(DatagramKind.HISTORY_FRAGMENT, LONG_MESSAGE)
        self.transport._queue_for_stream(self.transport.tasks, "b", message)
        peer_address = self.transport.listener.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b"no datagram", peer_address)
        with socket.create_connection(peer_address) as stream:
            stream.sendall(transport.encode_frame(b"no datagram"))
        self.service.on_signal(signal.SIGHUP)
        await anyio.sleep(0.15)

    def close(self):
        for client in self.clients:
            client.close()


@asynccontextmanager
async def deployed(monkeypatch):
    """Runs a router and its surroundings; the router must not end before this context does."""
    port, peer_port = free_port(), free_port()
    monkeypatch.setattr("gc.freeze", lambda: None)  # it would keep this test's objects for good
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(EngineWorld(seed=1), "line", tasks)
        await fleet.start(1)
        table = deployment.make_configuration()
        table |= {"listen": f"127.0.0.1:{port}", "bus": f"127.0.0.1:{fleet.bus.port}"}
        configuration = config.parse_configuration(table, {})
        monkeypatch.setattr(config, "read_configuration", lambda: configuration)
        settings = reading.parse_settings(
            f'peers: {{name: "a", listen: "127.0.0.1:{free_port()}", others: '
            f'[{{name: "b", address: "127.0.0.1:{peer_port}", key: "0123456789abcdef"}}]}}'
        )
        deployed_router = Deployment(fleet)
        clock = Clock(lambda: time.monotonic_ns() + deployed_router.clock_offset_ns)
        service = Service(
            configuration, RecordingLog(), clock=clock, operator_file=OperatorFile(settings, lambda: settings)
        )
        deployed_router.service = service
        service.signals.listen = lambda on_signal: anyio.sleep_forever()  # signals are for the test runner
        tasks.start_soon(deployed_router.run_router)
        await deployed_router.wait_until(lambda: service.reducer.pool.endpoints)
        try:
            yield deployed_router
            assert not deployed_router.ended
        finally:
            deployed_router.close()
            tasks.cancel_scope.cancel()


HANDLERS = [
    "mysql_frontend.accept",
    "mysql_frontend.start_session",
    "mysql_frontend.evict_session_if_full",
    "mysql_frontend.ready",
    "mysql_frontend.read",
    "mysql_frontend.run_commands",
    "mysql_frontend.ended",
    "mysql_frontend.sweep",
    "mysql_frontend.end_timed_out_session",
    "mysql_frontend.on_client_gone",
    "rounds.take_queries",
    "event_loop.handle",
    "links.open",
    "links.on_connected",
    "links.ready",
    "links.read",
    "links.send",
    "reducer.reduce",
    "reducer.handle",
    "executor.carry_out",
    "endpoint_watcher.on_event",
    "reloader.reload",
    "extension.transport._receive",
    "extension.transport._tick",
    "extension.transport._send_payloads",
    "extension.transport._request_state",
    "extension.transport._send_queue",
    "extension.transport._serve_stream",
    "extension.transport._answer_frames",
    "extension.transport.callbacks.on_change",
    "extension.transport.callbacks.due_payloads",
    "extension.transport.node.receive",
    "extension.transport.node.tick",
]


@pytest.mark.parametrize("path", HANDLERS)
def test_exception_in_one_handler_does_not_end_the_router(path, monkeypatch):
    """Guards against a router that ends because of one client, engine or peer, or that says nothing of it."""

    async def run():
        async with deployed(monkeypatch) as deployed_router:
            service = deployed_router.service
            owner, name = path.rsplit(".", 1)
            fault = RaiseOnce(attrgetter(owner)(service), name)
            with anyio.fail_after(WAIT_SECONDS):
                while not fault.raised:
                    await deployed_router.disturb()
            await anyio.sleep(0.3)  # a watch that was lost is open again
            client = deployed_router.connect_client(LOGIN + deployed_router.new_query())
            assert await deployed_router.is_served(client)
            faults = service.log.faults()
            assert [line for line in faults if "InjectedError" in line["trace"]], faults
            assert sum(service.faults.counts.values()) == len(faults) == 1
            assert faults[0]["count"] == 1

    anyio.run(run, backend_options={"use_uvloop": True})


@pytest.mark.parametrize("listener", ["peers", "clients", "event bus", "line engine"])
def test_connections_that_are_reset_at_once_end_no_listener(listener, monkeypatch):
    """Guards against a listener whose owner ends because an accepted socket is gone when it is looked at."""

    async def run():
        async with deployed(monkeypatch) as deployed_router:
            address = {
                "peers": deployed_router.transport.listener.getsockname(),
                "clients": ("127.0.0.1", deployed_router.service.configuration.port),
                "event bus": ("127.0.0.1", deployed_router.fleet.bus.port),
                "line engine": ("127.0.0.1", deployed_router.fleet.servers[1].port),
            }[listener]
            for _ in range(RESET_ROUNDS):
                deployed_router.reset_connections(address)
                await anyio.sleep(0.005)
            assert await deployed_router.is_served(
                deployed_router.connect_client(LOGIN + deployed_router.new_query())
            )
            assert not deployed_router.service.faults.counts

    anyio.run(run, backend_options={"use_uvloop": True})


# ---- Flight SQL ---------------------------------------------------------------------------------------


class AbortedError(Exception):
    """gRPC ends a call by an exception."""


class CallContext:
    """Stands in for the context of a gRPC call; keeps the status with which it is aborted."""

    code = None

    async def abort(self, code, text, trailers):
        self.code = code
        raise AbortedError(text)


@pytest.mark.parametrize("kind", ["unary", "stream"])
def test_exception_in_one_flight_call_aborts_it_and_is_reported(kind):
    """Guards against a call of a Flight SQL client whose fault is in nobody's log."""
    faults = []
    settings = reading.parse_settings('flight: {listen: "127.0.0.1:1"}')["flight"]
    server = Server(settings, {}, Log("n", -1), lambda: 0, None, lambda *fault: faults.append(fault), 64)
    context = CallContext()

    async def get_info(data, context):
        raise InjectedError("a fault")

    async def do_get(data, context):
        yield b"a message"
        raise InjectedError("a fault")

    async def run():
        if kind == "unary":
            await server.unary_handler(get_info)(b"", context)
        else:
            assert [part async for part in server.stream_handler(do_get)(b"", context)]

    with pytest.raises(AbortedError):
        anyio.run(run)
    assert context.code is INTERNAL[0] is grpc.StatusCode.INTERNAL
    ((source, error),) = faults
    assert source == ("get_info" if kind == "unary" else "do_get") and isinstance(error, InjectedError)


def test_exception_in_one_flight_connection_is_reported_as_its_loss(monkeypatch):
    """Guards against a connection that the router takes for open although nobody watches it any more."""
    faults, handled = [], []

    async def run():
        async with anyio.create_task_group() as tasks:
            connections = links.FlightConnections(
                {},
                Log("n", -1),
                links.ConnectionLimits(1, 1),
                links.ConnectionCallbacks(handled.append, lambda *_: None, lambda *f: faults.append(f)),
            )

            def create_channel(address):
                raise InjectedError(address)

            connections.create_channel = create_channel
            connections.open(7, "127.0.0.1", 1, tasks)
            await anyio.sleep(0.01)
            assert not connections.connections and not tasks.cancel_scope.cancel_called

    anyio.run(run)
    assert handled == [events.ConnectionLost(7, "internal error")]
    assert [source for source, _ in faults] == ["run_connection"]


def test_watch_reconnects_after_an_exception_in_one_event(monkeypatch):
    """Guards against a watch that ends the router, or stays open with an event lost."""
    offsets = []

    async def run():
        async with deployed(monkeypatch) as deployed_router:
            watcher = deployed_router.service.endpoint_watcher
            RaiseOnce(watcher, "on_event")
            deliver = watcher.on_event

            def on_event(update):
                deliver(update)
                offsets.append(update.offset)

            watcher.on_event = on_event
            deployed_router.fleet.bus.publish(2, [(1, deployed_router.fleet.servers[1].port, "Terminating")])
            expected = len(deployed_router.fleet.bus.events)
            await deployed_router.wait_until(lambda: expected in offsets)
            assert deployed_router.service.reducer.pool.list_offset == expected

    anyio.run(run, backend_options={"use_uvloop": True})
