"""Flight SQL clients whose requests never become complete, as HTTP/2 frames; measures the router's memory.

    python -m hillchute.lab.flight_floods --form half_message --connections 300 --calls 1 --seconds 4

One router process serves Flight SQL in front of stand-in engines. Each connection begins `--calls` calls.
"""

import argparse
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import orjson

from hillchute.lab.client_floods import Held
from hillchute.lab.clients import FlightClient, Query
from hillchute.lab.fleet import Fleet, Router
from hillchute.lab.world import EngineWorld

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, WINDOW_UPDATE, CONTINUATION = 0, 1, 4, 6, 8, 9  # types of frames
ACK, END_HEADERS = 1, 4  # flags
INITIAL_WINDOW_SETTING = 4
FRAME_HEADER_BYTES = 9
FIRST_WINDOW = 65_535  # bytes that may be sent before the server grants more
MAX_FRAME_BYTES = 16_384
MESSAGE_BYTES = 16 << 20  # as the begin of the message says
SHORT_FIELDS = 1_200
READ_BYTES = 65_536
PAUSE = 0.001
OPERATOR_FILE = 'flight: {listen: "127.0.0.1:FLIGHT_PORT", default_route: "lookup"}'


def header_field(name: bytes, value: bytes) -> bytes:
    """Return a literal field of HPACK; name and value are shorter than 127 bytes."""
    return b"\0" + bytes([len(name)]) + name + bytes([len(value)]) + value


def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Return an HTTP/2 frame."""
    return len(payload).to_bytes(3, "big") + bytes([kind, flags]) + struct.pack(">I", stream) + payload


CALL_HEADER = b"".join(
    header_field(name, value)
    for name, value in (
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", b"/arrow.flight.protocol.FlightService/GetFlightInfo"),
        (b":authority", b"router"),
        (b"content-type", b"application/grpc"),
        (b"te", b"trailers"),
    )
)
MANY_FIELDS = CALL_HEADER + b"".join(header_field(b"f%03x" % n, b"1") for n in range(SHORT_FIELDS))


def half_message(stream: int) -> bytes:
    """A call whose message has begun."""
    begin = b"\0" + struct.pack(">I", MESSAGE_BYTES)
    return frame(HEADERS, END_HEADERS, stream, CALL_HEADER) + frame(DATA, 0, stream, begin)


def many_fields(stream: int) -> bytes:
    """A call with very many short fields and no message."""
    return frame(HEADERS, END_HEADERS, stream, MANY_FIELDS)


def half_fields(stream: int) -> bytes:
    """A call whose fields go on and on."""
    return frame(HEADERS, 0, stream, MANY_FIELDS) + frame(CONTINUATION, 0, stream, MANY_FIELDS[-1000:])


FORMS: dict[str, Callable[[int], bytes]] = {
    "half_message": half_message,
    "many_fields": many_fields,
    "half_fields": half_fields,
}


@dataclass
class Connection:
    """One HTTP/2 connection that sends half of each message, as far as the server's windows allow."""

    sock: socket.socket
    unsent: bytes
    unparsed: bytes = b""
    window: int = FIRST_WINDOW
    initial_window: int = FIRST_WINDOW
    stream_windows: dict[int, int] = field(default_factory=dict)
    unsent_halves: dict[int, int] = field(default_factory=dict)  # bytes left to send, by stream
    is_open: bool = True

    @classmethod
    def open(cls, port: int, form: str, calls: int) -> "Connection":
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(False)
        streams = range(1, 2 * calls, 2)
        begin = b"".join(FORMS[form](stream) for stream in streams)
        connection = cls(sock, PREFACE + frame(SETTINGS, 0, 0, b"") + begin)
        if form == "half_message":
            connection.stream_windows = dict.fromkeys(streams, FIRST_WINDOW)
            connection.unsent_halves = dict.fromkeys(streams, MESSAGE_BYTES // 2)
        return connection

    def step(self) -> None:
        """Read and answer the server's frames, and send what its windows allow."""
        if not self.is_open:
            return
        try:
            self.read()
            self.fill()
            with suppress(BlockingIOError):
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except OSError:
            self.is_open = False

    def read(self) -> None:
        with suppress(BlockingIOError):
            while data := self.sock.recv(READ_BYTES):
                self.unparsed += data
            raise ConnectionResetError
        while len(self.unparsed) >= FRAME_HEADER_BYTES:
            end = FRAME_HEADER_BYTES + int.from_bytes(self.unparsed[:3], "big")
            if len(self.unparsed) < end:
                return
            kind, flags, stream = struct.unpack(">xxxBBI", self.unparsed[:FRAME_HEADER_BYTES])
            payload, self.unparsed = self.unparsed[FRAME_HEADER_BYTES:end], self.unparsed[end:]
            self.handle(kind, flags, stream, payload)

    def handle(self, kind: int, flags: int, stream: int, payload: bytes) -> None:
        if kind == WINDOW_UPDATE and stream == 0:
            self.window += int.from_bytes(payload, "big")
        elif kind == WINDOW_UPDATE and stream in self.stream_windows:
            self.stream_windows[stream] += int.from_bytes(payload, "big")
        elif kind == SETTINGS and not flags & ACK:
            for name, value in struct.iter_unpack(">HI", payload):
                if name == INITIAL_WINDOW_SETTING:
                    self.grow_windows(value - self.initial_window)
                    self.initial_window = value
            self.unsent += frame(SETTINGS, ACK, 0, b"")
        elif kind == PING and not flags & ACK:
            self.unsent += frame(PING, ACK, 0, payload)

    def grow_windows(self, size: int) -> None:
        for stream in self.stream_windows:
            self.stream_windows[stream] += size

    def fill(self) -> None:
        """Prepare as much of the messages as the windows allow."""
        for stream, left in self.unsent_halves.items():
            size = min(left, self.window, self.stream_windows[stream], MAX_FRAME_BYTES)
            if size <= 0 or len(self.unsent) > READ_BYTES:
                continue
            self.unsent += frame(DATA, 0, stream, bytes(size))
            self.unsent_halves[stream] -= size
            self.stream_windows[stream] -= size
            self.window -= size


def flood(router: Router, form: str, connections: int, calls: int, seconds: float) -> dict[str, object]:
    """Run one form for so many seconds; return what the router then held."""
    clients = [Connection.open(router.flight_port, form, calls) for _ in range(connections)]
    until = time.monotonic() + seconds
    while time.monotonic() < until and router.process.poll() is None:
        for client in clients:
            client.step()
        time.sleep(PAUSE)
    held = Held.of(router)
    open_count = sum(client.is_open for client in clients)
    for client in clients:
        client.sock.close()
    return {
        "peak_memory_mb": round(held.peak_memory_mb),
        "descriptors": held.descriptors,
        "open_connections": open_count,
    }


async def measure(form: str, connections: int, calls: int, seconds: float) -> dict[str, object]:
    """Runs one form against one router; afterwards a query has to be served."""
    with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
        async with anyio.create_task_group() as tasks:
            world = EngineWorld(seed=1)
            fleet = Fleet(world, "line", tasks)
            await fleet.start(2)
            router = Router(Path(folder), fleet.bus.port, OPERATOR_FILE)
            await router.start()
            try:
                await anyio.sleep(0.3)
                run = (flood, router, form, connections, calls, seconds)
                result = await anyio.to_thread.run_sync(*run)
                query = Query("lookup", "SELECT /* lab ms=5 */ 1 FROM sales_17.orders")
                client = FlightClient(world, router.flight_port)
                await client.run(query)
                await client.close()
                return {"form": form, **result, "afterwards": query.outcome}
            finally:
                with anyio.CancelScope(shield=True):
                    await router.stop()
                    await fleet.close()
                tasks.cancel_scope.cancel()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--form", choices=FORMS, required=True)
    parser.add_argument("--connections", type=int, default=300)
    parser.add_argument("--calls", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    result = anyio.run(measure, options.form, options.connections, options.calls, options.seconds)
    print(orjson.dumps(result).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
