"""Stand-in engine that serves the platform's line protocol as published.

Shares no code with the router's client side of the protocol.
"""

import re

import anyio
import anyio.abc

from hillchute.lab.stand_in_faults import print_fault
from hillchute.lab.world import Engine, EngineFullError, RunFailedError, StatementBehaviour
from hillchute.net.fault_barrier import FaultBarrier

PAGE_BYTES = 6_000  # most bytes of a result page in the protocol
COMMAND = re.compile(rb"([a-z_]+) ([^\r\n]*)\r\n")


class LineEngine:
    """The server of one engine."""

    def __init__(self, engine: Engine, progress_interval: float = 0.5) -> None:
        """`progress_interval` is the time in seconds between two progress events of a run."""
        self.engine, self.progress_interval = engine, progress_interval
        self.streams: set[anyio.abc.SocketStream] = set()
        self.port = 0

    async def serve(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            await listener.serve(self.serve_guarded)

    async def serve_guarded(self, stream: anyio.abc.SocketStream) -> None:
        """Serves a connection; whatever a client sends, it ends no other connection."""
        with FaultBarrier("line engine", print_fault):
            await self.serve_connection(stream)

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        remote_port = stream.extra(anyio.abc.SocketAttribute.remote_port, None)
        if remote_port is None:  # the client has reset the connection already
            await stream.aclose()
            return
        self.streams.add(stream)
        world = self.engine.world
        world.connection_count += 1
        number = world.connection_count
        world.open_connections[number] = remote_port
        connection = Connection(self, stream, number)
        try:
            async with anyio.create_task_group() as connection.tasks:
                await connection.read_commands()
                connection.tasks.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            pass
        finally:
            self.streams.discard(stream)
            del world.open_connections[number]
            with anyio.CancelScope(shield=True):
                await stream.aclose()


class Connection:
    """One connection with its runs and the result pages that were not fetched yet."""

    def __init__(self, server: LineEngine, stream: anyio.abc.SocketStream, number: int) -> None:
        self.server, self.engine, self.stream, self.number = server, server.engine, stream, number
        self.lock = anyio.Lock()  # keeps the answers of concurrent runs from interleaving
        self.running: dict[str, anyio.CancelScope] = {}
        self.pages: dict[str, list[bytes]] = {}
        self.tasks: anyio.abc.TaskGroup

    async def send(self, text: str, body: bytes = b"") -> None:
        async with self.lock:
            await self.stream.send(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")

    async def read_commands(self) -> None:
        buffer = b""
        while True:
            while command := COMMAND.match(buffer):
                words = command[2].decode().split(" ")
                end = command.end()
                body = b""
                if command[1] == b"want":
                    stop = end + int(words[2])
                    if len(buffer) < stop + 2:
                        break
                    body, end = buffer[end:stop], stop + 2
                buffer = buffer[end:]
                await self.handle_command(command[1], words, body)
            try:
                buffer += await self.stream.receive()
            except anyio.EndOfStream:
                return

    async def handle_command(self, verb: bytes, words: list[str], body: bytes) -> None:
        match verb:
            case b"want":
                fields = dict(pair.split("=") for pair in words[1].split(","))
                self.tasks.start_soon(self.run_statement, words[0], fields, body)
            case b"never_mind":
                if words[0] in self.running:
                    self.running[words[0]].cancel()
            case b"turn":
                await self.send_page(words[0], int(words[1]))
            case b"shut":
                self.pages.pop(words[0], None)
            case b"busy":
                await self.send(f"{words[0]} READY rep={self.encode_report()}")

    def encode_report(self) -> str:
        return ";".join(f"{name}:{value:g}" for name, value in self.engine.report().items())

    async def send_page(self, id: str, page: int) -> None:
        pages = self.pages.get(id, [])
        if page >= len(pages):
            await self.send(f"{id} EIO -")
            return
        await self.send(f"{id} BLOCK part_no={page}", pages[page])
        if page == len(pages) - 1:
            del self.pages[id]

    async def run_statement(self, id: str, fields: dict[str, str], statement: bytes) -> None:
        behaviour = StatementBehaviour.from_statement(statement)
        try:
            self.engine.admit(id, behaviour)
        except EngineFullError:
            await self.send(f"{id} AGAIN rep={self.encode_report()}")
            return
        scope = self.running[id] = anyio.CancelScope()
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_progress, id)
                try:
                    arguments = id, fields["lane"], fields.get("dedupe"), behaviour, self.number
                    work = await self.engine.run(*arguments)
                except RunFailedError:
                    await self.send(f"{id} EIO rep={self.encode_report()}")
                    scope.cancel()
                tasks.cancel_scope.cancel()
        self.running.pop(id, None)
        if not scope.cancel_called:
            await self.send_result(id, behaviour, work)

    async def send_progress(self, id: str) -> None:
        while True:
            await anyio.sleep(self.server.progress_interval)
            await self.send(f"{id} EVENT -")

    async def send_result(self, id: str, behaviour: StatementBehaviour, work: float) -> None:
        """Send the result's first page and keep all until the last is fetched; pages hold whole rows."""
        lines = [
            "\t".join(row).encode() + b"\n"
            for number in range(behaviour.batches)
            for row in behaviour.batch(number)
        ]
        pages, page = [], b""
        for line in lines:
            if len(page) + len(line) > PAGE_BYTES:
                pages.append(page)
                page = b""
            page += line
        pages.append(page)
        header = f"{id} ACK work={work:.1f},peak=1.0,parts={len(pages)},rep={self.encode_report()}"
        if behaviour.spoilt:
            await self.send(header, b"no rows at all")
        elif behaviour.cut >= 0:
            async with self.lock:
                await self.stream.send(f"{header} {len(pages[0])}\r\n".encode() + pages[0][:10])
            await self.stream.aclose()
        else:
            self.pages[id] = pages
            await self.send(header, pages[0])
            if len(pages) == 1:
                self.pages.pop(id, None)
