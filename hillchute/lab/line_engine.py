"""A stand-in engine on the platform's line protocol, from its published page.

Owns that protocol's server side on sockets. Must never know what a router is expected to do.
"""

import re

import anyio
import anyio.abc

from hillchute.lab.world import Engine, Failed, Full, Plan

PAGE = 6_000  # bytes of a page, by the protocol
COMMAND = re.compile(rb"([a-z_]+) ([^\r\n]*)\r\n")


class LineEngine:
    def __init__(self, engine: Engine, notes: float = 0.5) -> None:
        """`notes`: seconds between two notes of a submission that is not over."""
        self.engine, self.notes = engine, notes
        self.streams: set[anyio.abc.SocketStream] = set()
        self.port = 0

    async def serve(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            await listener.serve(self.connection)

    async def connection(self, stream: anyio.abc.SocketStream) -> None:
        self.streams.add(stream)
        world = self.engine.world
        world.talked += 1
        number = world.talked
        world.talks[number] = stream.extra(anyio.abc.SocketAttribute.remote_port)
        talk = Talk(self, stream, number)
        try:
            async with anyio.create_task_group() as talk.tasks:
                await talk.hear()
                talk.tasks.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            pass
        finally:
            self.streams.discard(stream)
            del world.talks[number]
            with anyio.CancelScope(shield=True):
                await stream.aclose()


class Talk:
    """One connection: what is open on it, and its pages."""

    def __init__(self, server: LineEngine, stream: anyio.abc.SocketStream, number: int) -> None:
        self.server, self.engine, self.stream, self.number = server, server.engine, stream, number
        self.lock = anyio.Lock()  # answers of several submissions must not run into one another
        self.open: dict[str, anyio.CancelScope] = {}
        self.pages: dict[str, list[bytes]] = {}
        self.tasks: anyio.abc.TaskGroup

    async def say(self, text: str, body: bytes = b"") -> None:
        async with self.lock:
            await self.stream.send(f"{text} {len(body)}\r\n".encode() + body + b"\r\n")

    async def hear(self) -> None:
        rest = b""
        while True:
            while found := COMMAND.match(rest):
                words = found[2].decode().split(" ")
                end = found.end()
                body = b""
                if found[1] == b"want":
                    stop = end + int(words[2])
                    if len(rest) < stop + 2:
                        break
                    body, end = rest[end:stop], stop + 2
                rest = rest[end:]
                await self.command(found[1], words, body)
            try:
                rest += await self.stream.receive()
            except anyio.EndOfStream:
                return

    async def command(self, verb: bytes, words: list[str], body: bytes) -> None:
        match verb:
            case b"want":
                fields = dict(pair.split("=") for pair in words[1].split(","))
                self.tasks.start_soon(self.want, words[0], fields, body)
            case b"never_mind":
                if words[0] in self.open:
                    self.open[words[0]].cancel()
            case b"turn":
                await self.turn(words[0], int(words[1]))
            case b"shut":
                self.pages.pop(words[0], None)
            case b"busy":
                await self.say(f"{words[0]} READY rep={self.reported()}")

    def reported(self) -> str:
        return ";".join(f"{name}:{value:g}" for name, value in self.engine.report().items())

    async def turn(self, id: str, page: int) -> None:
        pages = self.pages.get(id, [])
        if page >= len(pages):
            await self.say(f"{id} EIO -")
            return
        await self.say(f"{id} BLOCK part_no={page}", pages[page])
        if page == len(pages) - 1:
            del self.pages[id]

    async def want(self, id: str, fields: dict[str, str], statement: bytes) -> None:
        plan = Plan.of(statement)
        try:
            self.engine.admit(id, plan)
        except Full:
            await self.say(f"{id} AGAIN rep={self.reported()}")
            return
        scope = self.open[id] = anyio.CancelScope()
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.note, id)
                try:
                    about = id, fields["lane"], fields.get("dedupe"), plan, self.number
                    work = await self.engine.run(*about)
                except Failed:
                    await self.say(f"{id} EIO rep={self.reported()}")
                    scope.cancel()
                tasks.cancel_scope.cancel()
        self.open.pop(id, None)
        if not scope.cancel_called:
            await self.answer(id, plan, work)

    async def note(self, id: str) -> None:
        while True:
            await anyio.sleep(self.server.notes)
            await self.say(f"{id} EVENT -")

    async def answer(self, id: str, plan: Plan, work: float) -> None:
        """The result in pages of whole rows."""
        lines = [
            "\t".join(row).encode() + b"\n" for number in range(plan.batches) for row in plan.batch(number)
        ]
        pages, page = [], b""
        for line in lines:
            if len(page) + len(line) > PAGE:
                pages.append(page)
                page = b""
            page += line
        pages.append(page)
        head = f"{id} ACK work={work:.1f},peak=1.0,parts={len(pages)},rep={self.reported()}"
        if plan.spoilt:
            await self.say(head, b"no rows at all")
        elif plan.cut >= 0:
            async with self.lock:
                await self.stream.send(f"{head} {len(pages[0])}\r\n".encode() + pages[0][:10])
            await self.stream.aclose()
        else:
            self.pages[id] = pages
            await self.say(head, pages[0])
            if len(pages) == 1:
                self.pages.pop(id, None)
