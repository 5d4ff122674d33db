"""The sockets between routers: UDP datagrams, and TCP streams for messages that are too large for one.

The only module of the package that performs I/O. It does not interpret datagrams. Datagrams that the kernel
does not accept at once are dropped and counted, since the network may lose datagrams anyway.
"""

import socket
import struct
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from hillchute.decision.interface import Time
from hillchute.errors import PeerListenError
from hillchute.net.accepted_stream import wrap_accepted_socket
from hillchute.net.address import Address
from hillchute.net.clock import round_up_to_time_units
from hillchute.net.fault_barrier import FaultBarrier, FaultReport
from hillchute.net.system_calls import ABORTED_CONNECTION_ERRNOS, TRANSIENT_ERRNOS
from hillchute.peers.datagrams import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES
from hillchute.peers.fragmentation import DATAGRAM_FRAGMENT_BYTES
from hillchute.peers.node import AddressedDatagram, Node

TICK_INTERVAL = 0.1  # seconds between two calls of tick(): half of PING_TIMEOUT
PAYLOAD_DELAY = 0.02  # seconds that payloads are collected before they are sent
DATAGRAMS_PER_TURN = 64  # read per iteration of the event loop: about 2 ms
INBOUND_STREAMS = 4  # open at a time
STREAM_TIMEOUT = 2.0  # seconds
ACCEPT_RETRY_DELAY = 0.1  # seconds; when descriptors or memory are exhausted
MAX_FRAMES = 256  # per stream: enough for the state of some thousands of engines
MAX_QUEUED_MESSAGES = 256  # for a stream to one peer; more are dropped, like lost datagrams
FRAME_LENGTH = struct.Struct(">H")
RECEIVE_BUFFER_BYTES = 262_144  # SO_RCVBUF, for datagrams that arrive while the event loop is busy
STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


class SteadyUnixClock:
    """Unix time at its creation, continued by a clock that never jumps and that also counts the time while
    the process or the machine is suspended, as leases require."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def __call__(self) -> Time:
        """The time in tenths of a millisecond, rounded up."""
        return round_up_to_time_units(self.offset_ns + time.clock_gettime_ns(time.CLOCK_BOOTTIME))


class QueuedMessage(NamedTuple):
    """A message too long for a datagram, and the kind of the datagrams that carry it."""

    kind: int
    message: bytes


@dataclass(frozen=True, kw_only=True)
class TransportCallbacks:
    """The calls of the transport to its owner."""

    due_payloads: Callable[[Time], Iterable[tuple[str, bytes]]]  # the receivers and payloads to be sent now
    on_change: Callable[[], None]  # something was received, or a tick has passed
    on_fault: FaultReport


class PeerTransport:
    """Sends and receives a node's datagrams over UDP, and long messages over TCP streams.

    A router also serves without its peers, so an exception in the peer protocol ends only the call or the
    stream that raised it.
    """

    def __init__(
        self,
        listen_address: Address,
        addresses: Mapping[str, Address],
        node: Node,
        clock: Callable[[], Time],
        callbacks: TransportCallbacks,
    ) -> None:
        """`addresses`: by peer."""
        self.listen_address = listen_address
        self.addresses = dict(addresses)
        self.node = node
        self.clock = clock
        self.callbacks = callbacks
        self.counts: Counter[str] = Counter()  # as they are logged
        self.payloads_due = anyio.Event()
        self.inbound_streams = anyio.CapacityLimiter(INBOUND_STREAMS)
        self.outbound_queues: dict[str, deque[QueuedMessage]] = {}  # by peer, while a stream to it is open
        self.tasks: anyio.abc.TaskGroup | None = None
        self._udp_socket: socket.socket | None = None
        self._listener: socket.socket | None = None

    @property
    def udp_socket(self) -> socket.socket:
        """The socket for datagrams; available after open()."""
        assert self._udp_socket is not None
        return self._udp_socket

    @property
    def listener(self) -> socket.socket:
        """The socket that accepts streams; available after open()."""
        assert self._listener is not None
        return self._listener

    def open(self) -> None:
        """Binds both sockets; raises PeerListenError if the address can't be bound."""
        address = self.listen_address
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        try:
            self._udp_socket = socket.socket(family, socket.SOCK_DGRAM)
            self._udp_socket.setblocking(False)
            self._udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._udp_socket.bind(address)
            self._listener = socket.create_server(address, family=family, backlog=INBOUND_STREAMS)
            self._listener.setblocking(False)
        except OSError as error:
            where = f"{address.host}:{address.port}"
            raise PeerListenError(f"can't listen: {error.strerror}", where) from error

    async def run(self) -> None:
        """Sends and receives until cancelled, then closes the sockets."""
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                tasks.start_soon(self._receive_datagrams)
                tasks.start_soon(self._tick_repeatedly, tasks)
                tasks.start_soon(self._send_payloads_when_due)
                tasks.start_soon(self.accept_streams, tasks)
        finally:
            self.udp_socket.close()
            self.listener.close()

    def leave(self) -> None:
        """Announces the shutdown of this router to every peer."""
        self._send(self.node.leave(self.clock()))

    def schedule_payloads(self) -> None:
        """Schedules due payloads, which are sent within PAYLOAD_DELAY."""
        self.payloads_due.set()

    def send_messages(self) -> None:
        """Sends the channels' messages: as a datagram if they fit, otherwise over a stream."""
        if self.tasks is None:
            return
        waiting = [
            (receiver, QueuedMessage(kind, message))
            for kind, channel in self.node.channels.items()
            for receiver, message in channel.take_outgoing()
        ]
        for receiver, queued in waiting:
            if receiver not in self.node.keys or receiver not in self.addresses:
                continue
            if len(queued.message) <= DATAGRAM_FRAGMENT_BYTES:
                datagrams = self.node.message_datagrams(receiver, queued.kind, queued.message)
                self._send(AddressedDatagram(receiver, data) for data in datagrams)
            else:
                self._queue_for_stream(self.tasks, receiver, queued)

    def _queue_for_stream(self, tasks: anyio.abc.TaskGroup, receiver: str, message: QueuedMessage) -> None:
        queue = self.outbound_queues.get(receiver)
        if queue is None:
            queue = deque()
            self.outbound_queues[receiver] = queue
            tasks.start_soon(self._send_by_stream, receiver, queue)
        if len(queue) < MAX_QUEUED_MESSAGES:
            queue.append(message)
        else:
            self.counts["not carried"] += 1

    def _guarded(self, call: Callable[..., None], *arguments: object) -> None:
        """Makes a call whose exceptions must not end the router."""
        with self._barrier(call.__name__):
            call(*arguments)

    def _barrier(self, source: str) -> FaultBarrier:
        return FaultBarrier(f"peers: {source}", self.callbacks.on_fault)

    # ---- datagrams --------------------------------------------------------------------------------

    def _send(self, datagrams: Iterable[AddressedDatagram]) -> None:
        for receiver, data in datagrams:
            address = self.addresses.get(receiver)
            if address is None or self._udp_socket is None:
                continue
            try:
                self._udp_socket.sendto(data, address)
            except OSError:  # the buffer is full or there is no route: treated as packet loss
                self.counts["not sent"] += 1
                continue
            self.counts["sent"] += 1
            self.counts["bytes"] += len(data)

    async def _receive_datagrams(self) -> None:
        while True:
            await anyio.wait_readable(self.udp_socket)
            for _ in range(DATAGRAMS_PER_TURN):
                try:
                    data, _ = self.udp_socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:  # an earlier datagram was refused by its receiver's port
                    continue
                self.counts["heard"] += 1
                self._guarded(self._receive, data)
            self._guarded(self.callbacks.on_change)
            self.schedule_payloads()
            await anyio.lowlevel.checkpoint()

    def _receive(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        self._send(self.node.receive(self.clock(), data, max_bytes))
        self.send_messages()

    async def _tick_repeatedly(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            self._guarded(self._tick)
            self.schedule_payloads()
            requests = self.node.state_requests
            self.node.state_requests = []
            for name in requests:
                tasks.start_soon(self._run_guarded, self._request_state, name)
            await anyio.sleep(TICK_INTERVAL)

    def _tick(self) -> None:
        self._send(self.node.tick(self.clock()))
        for channel in self.node.channels.values():
            channel.tick(self.clock())
        self.send_messages()
        self.callbacks.on_change()

    async def _send_payloads_when_due(self) -> None:
        while True:
            await self.payloads_due.wait()
            self.payloads_due = anyio.Event()
            self._guarded(self._send_payloads)
            await anyio.sleep(PAYLOAD_DELAY)

    def _send_payloads(self) -> None:
        for receiver, payload in self.callbacks.due_payloads(self.clock()):
            self._send(self.node.payload_datagrams(receiver, payload))

    # ---- inbound streams ----------------------------------------------------------------------------

    async def accept_streams(self, tasks: anyio.abc.TaskGroup) -> None:
        """Serves each stream in `tasks` until cancelled; those beyond INBOUND_STREAMS are closed at once."""
        while True:
            await anyio.wait_readable(self.listener)
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS and error.errno not in ABORTED_CONNECTION_ERRNOS:
                    # Descriptors or memory are exhausted: without a pause this would be a busy loop.
                    self.counts["streams not accepted"] += 1
                    await anyio.sleep(ACCEPT_RETRY_DELAY)
                continue
            if self.inbound_streams.available_tokens < 1:
                sock.close()
                self.counts["streams refused"] += 1
                continue
            sock.setblocking(False)
            tasks.start_soon(self._run_guarded, self._serve_stream, sock)

    async def _run_guarded(self, function: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Runs a task whose exceptions must not end the router."""
        with self._barrier(function.__name__):
            await function(*arguments)

    async def _serve_stream(self, sock: socket.socket) -> None:
        """Serves one stream: a state request, which is answered, or messages, which are not."""
        async with self.inbound_streams:
            try:
                async with await wrap_accepted_socket(sock) as stream:
                    with anyio.move_on_after(STREAM_TIMEOUT):
                        await self._answer_frames(stream)
                        self.callbacks.on_change()
            except anyio.IncompleteRead:  # the peer has sent everything
                self.counts["streams"] += 1
                self.callbacks.on_change()
            except STREAM_ERRORS:
                self.counts["streams broken"] += 1

    async def _answer_frames(self, stream: anyio.abc.SocketStream) -> None:
        """Handles frames until one has answers, which end the stream."""
        received = BufferedByteReceiveStream(stream)
        for _ in range(MAX_FRAMES):
            answers = self._receive_frame(await read_frame(received))
            for answer in answers:
                await stream.send(encode_frame(answer.data))
            if answers:
                return

    def _receive_frame(self, data: bytes) -> list[AddressedDatagram]:
        """The answers to one frame; an exception in its handling does not end the stream."""
        answers: list[AddressedDatagram] = []

        def receive() -> None:
            answers.extend(self.node.receive(self.clock(), data, MAX_FRAME_BYTES)[:MAX_FRAMES])
            self.send_messages()

        self._guarded(receive)
        return answers

    # ---- outbound streams ---------------------------------------------------------------------------

    async def _request_state(self, name: str) -> None:
        """Requests a peer's full state; what a broken stream loses follows in later datagrams."""
        address = self.addresses.get(name)
        if address is None:
            return
        try:
            with anyio.move_on_after(STREAM_TIMEOUT):
                async with await anyio.connect_tcp(*address) as stream:
                    await stream.send(encode_frame(self.node.state_request(name)))
                    answers = BufferedByteReceiveStream(stream)
                    for _ in range(MAX_FRAMES):
                        self._guarded(self._receive, await read_frame(answers))
        except anyio.IncompleteRead:  # the peer has sent all answers
            self.counts["streams"] += 1
        except STREAM_ERRORS:
            self.counts["streams broken"] += 1
        self.callbacks.on_change()

    async def _send_by_stream(self, name: str, queue: deque[QueuedMessage]) -> None:
        """Sends the queue over one stream; subsystems repeat what a broken stream loses."""
        try:
            with self._barrier("_send_by_stream"):
                await self._send_queue(name, queue)
        finally:
            self.outbound_queues.pop(name, None)

    async def _send_queue(self, name: str, queue: deque[QueuedMessage]) -> None:
        try:
            with anyio.move_on_after(STREAM_TIMEOUT):
                async with await anyio.connect_tcp(*self.addresses[name]) as stream:
                    while queue:
                        await self._send_message(stream, name, queue.popleft())
                    self.counts["carried"] += 1
        except STREAM_ERRORS:
            self.counts["streams broken"] += 1
        except KeyError:  # the operator has removed the peer meanwhile
            pass

    async def _send_message(
        self, stream: anyio.abc.SocketStream, receiver: str, queued: QueuedMessage
    ) -> None:
        for data in self.node.message_datagrams(receiver, queued.kind, queued.message, by_stream=True):
            await stream.send(encode_frame(data))
            self.counts["bytes"] += len(data)


def encode_frame(data: bytes) -> bytes:
    """A datagram with its length prefix, as sent on a stream."""
    return FRAME_LENGTH.pack(len(data)) + data


async def read_frame(stream: BufferedByteReceiveStream) -> bytes:
    """The next datagram; raises IncompleteRead at the end of the stream, OSError for an invalid length."""
    (length,) = FRAME_LENGTH.unpack(await stream.receive_exactly(FRAME_LENGTH.size))
    if not 0 < length <= MAX_FRAME_BYTES:
        raise OSError(f"frame of {length} bytes, 1 to {MAX_FRAME_BYTES} allowed")
    return await stream.receive_exactly(length)
