"""A toy deployment: two sql engines and an event bus on loopback, written from the protocol page.

It answers every statement with a few made-up rows after a short wait. Run it beside a router, as
examples/README.md tells; it is a stand-in to try things with, not a model of an engine.
"""

import contextlib
import struct
from functools import partial

import anyio

ENGINES = {0x00C41F7A: ("127.0.0.1", 7001), 0x00C41F7B: ("127.0.0.1", 7002)}
BUS = ("127.0.0.1", 7500)
WAIT = 0.05  # seconds that a query takes
ROWS = 400  # of a result: enough for several pages
PAGE = 6000  # bytes of a page at most


def pages(statement: bytes) -> list[bytes]:
    """Whole rows as text, cut into pages."""
    found, page = [], b""
    for n in range(ROWS):
        row = b"%d\t%d\t%s\n" % (n, len(statement), statement[:20].replace(b"\t", b" ").replace(b"\n", b" "))
        if len(page) + len(row) > PAGE:
            found.append(page)
            page = b""
        page += row
    return [*found, page]


class Engine:
    """One connection: commands in, answers out."""

    def __init__(self, stream, tasks) -> None:
        self.stream = stream
        self.tasks = tasks
        self.held: dict[str, list[bytes]] = {}
        self.open: dict[str, anyio.CancelScope] = {}

    async def say(self, id: str, word: str, fields: str = "-", body: bytes = b"") -> None:
        await self.stream.send(f"{id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")

    async def run(self, id: str, statement: bytes) -> None:
        with anyio.CancelScope() as self.open[id]:
            await anyio.sleep(WAIT)
            self.held[id] = pages(statement)
            await self.say(
                id, "ACK", f"parts={len(self.held[id])},work={WAIT * 1000:g},peak=4", self.held[id][0]
            )
        del self.open[id]

    async def act(self, words: list[str], body: bytes) -> None:
        match words:
            case ["want", id, _, _]:
                self.tasks.start_soon(self.run, id, body)
            case ["never_mind", id] if id in self.open:
                self.open[id].cancel()
            case ["turn", id, number]:
                if id in self.held and int(number) < len(self.held[id]):
                    await self.say(id, "BLOCK", f"part_no={number}", self.held[id][int(number)])
                else:
                    await self.say(id, "EIO")
            case ["shut", id]:
                self.held.pop(id, None)
            case ["there", tag]:
                await self.say(tag, "READY")
            case ["busy", tag]:
                await self.say(tag, "READY", f"rep=util:{0.1 * len(self.open):g};inflight:{len(self.open)}")


async def serve_engine(stream) -> None:
    buffer = b""
    try:
        async with stream, anyio.create_task_group() as tasks:
            engine = Engine(stream, tasks)
            async for data in stream:
                buffer += data
                while b"\r\n" in buffer:
                    line, rest = buffer.split(b"\r\n", 1)
                    words = line.decode().split(" ")
                    size = int(words[3]) + 2 if words[0] == "want" else 0
                    if len(rest) < size:
                        break
                    await engine.act(words, rest[: max(0, size - 2)])
                    buffer = rest[size:]
            tasks.cancel_scope.cancel()
    except* anyio.BrokenResourceError:
        pass


async def serve_bus(stream) -> None:
    """The whole list once, then an empty frame each second."""
    async with stream:
        (last,) = struct.unpack(">Q", await stream.receive(8))
        if last < 1:
            records = b""
            for id, (host, port) in ENGINES.items():
                address = bytes(int(part) for part in host.split("."))
                records += struct.pack(">I4sHBBBHIQ", id, address, port, 0, 0, 0, 0, 1000, 0)
            await stream.send(struct.pack(">IQB", 9 + len(records), 1, 1) + records)
        try:
            while True:
                await stream.send(struct.pack(">IQB", 9, 1, 0))
                await anyio.sleep(1)
        except anyio.BrokenResourceError:
            pass


async def main() -> None:
    async with anyio.create_task_group() as tasks:
        for (host, port), serve in [*((a, serve_engine) for a in ENGINES.values()), (BUS, serve_bus)]:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            tasks.start_soon(partial(listener.serve, serve))
        print("two engines and an event bus are up; end with Ctrl-C", flush=True)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(main)
