"""The sockets between routers: datagrams, and streams for what is too large for one.

Owns the sockets, the addresses and when they are looked at. Must never know what a datagram says, decide, or
hold more than is bounded: what the kernel does not take at once is dropped and counted, as the network may.
"""

import socket
import struct
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from hillchute.decision.interface import Time
from hillchute.errors import PeerListenError
from hillchute.net.clock import round_up_to_time_units
from hillchute.net.system_calls import ABORTED_CONNECTION_ERRNOS, TRANSIENT_ERRNOS
from hillchute.peers.codec import MOST, MOST_ON_STREAM
from hillchute.peers.node import Node
from hillchute.peers.parts import PIECE

TICK = 0.1  # seconds between two looks at who is to be pinged: half of an answer's time
SOON = 0.02  # seconds that what was seen waits for more to go with it
AT_ONCE = 64  # datagrams read between two turns of the loop: about 2 ms
STREAMS = 4  # streams from others that are open at once
STREAM_TIME = 2.0  # seconds that one may last
ACCEPT_AGAIN = 0.1  # seconds until streams are accepted again after a want of descriptors or memory
FRAMES = 256  # datagrams in a stream at the most: a list of some thousands of engines
CARRIED = 256  # messages that wait for a stream to one peer: what is more is lost, as the network may lose it
LENGTH = struct.Struct(">H")
BUFFER = 262_144  # bytes that the kernel keeps of what comes while the loop is busy
GONE = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


class Steady:
    """Unix time as it was at the start, gone on with by a clock that never jumps and does not stop while the
    process or the machine stands still: what leases are counted by."""

    def __init__(self) -> None:
        self.began = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def __call__(self) -> Time:
        return round_up_to_time_units(self.began + time.clock_gettime_ns(time.CLOCK_BOOTTIME))


class Address(NamedTuple):
    host: str
    port: int


class Link:
    def __init__(
        self,
        listen: Address,
        addresses: Mapping[str, Address],
        node: Node,
        clock: Callable[[], Time],
        due: Callable[[Time], Iterable[tuple[str, bytes]]],
        moved: Callable[[], None],
        fault: Callable[[str], None],
    ) -> None:
        """`due` gives loads that are to be sent now; `moved` is told after anything was taken in; `fault` of
        what should not happen, with its trace: it ends one call, not the router."""
        self.fault = fault
        self.listen, self.addresses, self.node = listen, dict(addresses), node
        self.clock, self.due, self.moved = clock, due, moved
        self.counts: Counter[str] = Counter()
        self.waiting = anyio.Event()
        self.streams = anyio.CapacityLimiter(STREAMS)
        self.sock: socket.socket | None = None
        self.heavy: dict[str, deque[tuple[int, bytes]]] = {}  # too long for a datagram, by peer; with kinds
        self.tasks: anyio.abc.TaskGroup | None = None

    def open(self) -> None:
        """Raises PeerListenError where the address can't be had."""
        family = socket.AF_INET6 if ":" in self.listen.host else socket.AF_INET
        try:
            self.sock = socket.socket(family, socket.SOCK_DGRAM)
            self.sock.setblocking(False)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            self.sock.bind(self.listen)
            self.listener = socket.create_server(self.listen, family=family, backlog=STREAMS)
            self.listener.setblocking(False)
        except OSError as fault:
            where = f"{self.listen.host}:{self.listen.port}"
            raise PeerListenError(f"can't listen: {fault.strerror}", where) from None

    async def run(self) -> None:
        """Until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                tasks.start_soon(self.hear)
                tasks.start_soon(self.tick, tasks)
                tasks.start_soon(self.flush)
                tasks.start_soon(self.accept, tasks)
        finally:
            self.sock.close()
            self.listener.close()

    def leave(self) -> None:
        """Says farewell to all."""
        self.send(self.node.leave(self.clock()))

    def soon(self) -> None:
        """There is something to be told."""
        self.waiting.set()

    # ---- datagrams --------------------------------------------------------------------------------

    def send(self, said: Iterable[tuple[str, bytes]]) -> None:
        for name, data in said:
            address = self.addresses.get(name)
            if address is None or self.sock is None:
                continue
            try:
                self.sock.sendto(data, address)
                self.counts["sent"] += 1
                self.counts["bytes"] += len(data)
            except OSError:  # full, or the way is closed: as lost as any
                self.counts["not sent"] += 1

    async def hear(self) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            for _ in range(AT_ONCE):
                try:
                    data, _ = self.sock.recvfrom(MOST + 1)
                except BlockingIOError:
                    break
                except OSError:  # a peer's port refused an earlier one
                    continue
                self.counts["heard"] += 1
                self.guarded(self.take, data)
            self.guarded(self.moved)
            self.soon()
            await anyio.lowlevel.checkpoint()

    def take(self, data: bytes, most: int = MOST) -> None:
        self.send(self.node.receive(self.clock(), data, most))
        self.ride()

    def ride(self) -> None:
        """What riders want to say goes: in one datagram if it fits, else by a stream."""
        if self.tasks is None:
            return
        some = [(kind, *said) for kind, rider in self.node.riders.items() for said in rider.out()]
        for kind, name, message in some:
            if name not in self.node.keys or name not in self.addresses:
                continue
            if len(message) <= PIECE:
                self.send((name, datagram) for datagram in self.node.pieces(name, kind, message))
                continue
            waiting = self.heavy.get(name)
            if waiting is None:
                waiting = self.heavy[name] = deque()
                self.tasks.start_soon(self.carry, name, waiting)
            if len(waiting) < CARRIED:
                waiting.append((kind, message))
            else:
                self.counts["not carried"] += 1

    def guarded(self, work: Callable[..., None], *about: object) -> None:
        """Guards the router against a fault in what it need not have."""
        try:
            work(*about)
        except Exception:
            self.fault(traceback.format_exc(limit=-6))

    def look(self) -> None:
        self.send(self.node.tick(self.clock()))
        for rider in self.node.riders.values():
            rider.tick(self.clock())
        self.ride()
        self.moved()

    def tell(self) -> None:
        for name, load in self.due(self.clock()):
            self.send(self.node.say(name, load))

    async def tick(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            self.guarded(self.look)
            self.soon()
            wishes, self.node.wishes = self.node.wishes, []
            for name in wishes:
                tasks.start_soon(self.ask_all, name)
            await anyio.sleep(TICK)

    async def flush(self) -> None:
        while True:
            await self.waiting.wait()
            self.waiting = anyio.Event()
            self.guarded(self.tell)
            await anyio.sleep(SOON)

    # ---- streams ----------------------------------------------------------------------------------

    async def accept(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self.listener)
            try:
                sock, _ = self.listener.accept()
            except OSError as fault:
                if fault.errno not in TRANSIENT_ERRNOS and fault.errno not in ABORTED_CONNECTION_ERRNOS:
                    # Guards against a loop that spins while this machine lacks descriptors or memory.
                    self.counts["streams not accepted"] += 1
                    await anyio.sleep(ACCEPT_AGAIN)
                continue
            if self.streams.available_tokens < 1:
                sock.close()
                self.counts["streams refused"] += 1
                continue
            sock.setblocking(False)
            tasks.start_soon(self.tell_all, sock)

    async def tell_all(self, sock: socket.socket) -> None:
        """One wish, marked like any datagram, the answers to it, and the end; or messages, and no answer."""
        async with self.streams:
            try:
                async with await anyio.abc.SocketStream.from_socket(sock) as stream:
                    with anyio.move_on_after(STREAM_TIME):
                        heard = BufferedByteReceiveStream(stream)
                        for _ in range(FRAMES):
                            data = await frame(heard)
                            answers = self.answers(data)
                            for _, answer in answers:
                                await stream.send(LENGTH.pack(len(answer)) + answer)
                            if answers:
                                break
                        self.moved()
            except anyio.IncompleteRead:
                self.counts["streams"] += 1
                self.moved()
            except GONE:
                self.counts["streams broken"] += 1

    def answers(self, data: bytes) -> list[tuple[str, bytes]]:
        """What goes back for one datagram of a stream; a fault of ours in it ends no more than that."""
        found: list[tuple[str, bytes]] = []

        def receive() -> None:
            found.extend(self.node.receive(self.clock(), data, MOST_ON_STREAM)[:FRAMES])
            self.ride()

        self.guarded(receive)
        return found

    async def ask_all(self, name: str) -> None:
        """All that a peer can tell, at a start or after a cut. What it does not bring, datagrams will."""
        address = self.addresses.get(name)
        if address is None:
            return
        try:
            with anyio.move_on_after(STREAM_TIME):
                async with await anyio.connect_tcp(*address) as stream:
                    wish = self.node.wish(name)
                    await stream.send(LENGTH.pack(len(wish)) + wish)
                    answers = BufferedByteReceiveStream(stream)
                    for _ in range(FRAMES):
                        self.guarded(self.take, await frame(answers))
        except anyio.IncompleteRead:
            self.counts["streams"] += 1
        except GONE:
            self.counts["streams broken"] += 1
        self.moved()

    async def carry(self, name: str, waiting: deque[tuple[int, bytes]]) -> None:
        """Messages for one peer, on one stream. What a broken one does not bring is said again by whoever
        misses it."""
        try:
            with anyio.move_on_after(STREAM_TIME):
                async with await anyio.connect_tcp(*self.addresses[name]) as stream:
                    while waiting:
                        for piece in self.node.pieces(name, *waiting.popleft(), large=True):
                            await stream.send(LENGTH.pack(len(piece)) + piece)
                            self.counts["bytes"] += len(piece)
                    self.counts["carried"] += 1
        except GONE:
            self.counts["streams broken"] += 1
        except KeyError:  # the operator named it no more meanwhile
            pass
        except Exception:  # a message that can't be put in pieces, say: it alone is lost
            self.fault(traceback.format_exc(limit=-6))
        finally:
            self.heavy.pop(name, None)


async def frame(stream: BufferedByteReceiveStream) -> bytes:
    """A datagram behind its length; raises IncompleteRead at the end, OSError for a length out of bounds."""
    (size,) = LENGTH.unpack(await stream.receive_exactly(LENGTH.size))
    if not 0 < size <= MOST_ON_STREAM:
        raise OSError("a length out of bounds")
    return await stream.receive_exactly(size)
