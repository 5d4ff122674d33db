"""A fault-injecting relay on loopback between processes.

Each directed channel from one process to another has its own port and its own faults: datagrams are lost,
delayed, duplicated or reordered, traffic is blocked, a stream is broken after a number of bytes. The relay
does not interpret the bytes. Its random draws come from a seed; the caller sets the faults of each channel.
"""

import random
import socket
from collections import Counter
from dataclasses import dataclass

import anyio
import anyio.abc

from hillchute.net.accepted_stream import wrap_accepted_socket

MAX_DATAGRAM_BYTES = 65_536
STREAM_ENDED = (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError, OSError)


@dataclass
class Channel:
    """A directed channel from one process to another, and its faults.

    `lost` and `again` are the fractions of datagrams that are dropped and duplicated. Each datagram is
    delayed by its own draw from the range `delay`, in seconds, so that datagrams are reordered.
    """

    port: int
    target: tuple[str, int]
    lost: float = 0.0
    again: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)
    cut: bool = False  # whether nothing passes
    break_after_bytes: int | None = None  # number of bytes after which a stream is broken

    def heal(self) -> None:
        self.lost = self.again = 0.0
        self.delay, self.cut, self.break_after_bytes = (0.0, 0.0), False, None


class FaultyRelay:
    """Relays datagrams and streams between processes and counts what it did to them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"{seed} between")
        self.channels: dict[tuple[str, str], Channel] = {}
        self.sockets: dict[tuple[str, str], tuple[socket.socket, socket.socket]] = {}
        self.counts: Counter[str] = Counter()

    def open_channel(self, sender: str, receiver: str, target: tuple[str, int]) -> int:
        """Opens a channel; returns the port at which the sender reaches the receiver."""
        while True:
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            datagrams.bind(("127.0.0.1", 0))
            port = datagrams.getsockname()[1]
            try:
                streams = socket.create_server(("127.0.0.1", port))
            except OSError:  # the port is free for UDP but taken for TCP
                datagrams.close()
                continue
            break
        datagrams.setblocking(False)
        streams.setblocking(False)
        self.channels[sender, receiver] = Channel(port, target)
        self.sockets[sender, receiver] = datagrams, streams
        return port

    def cut(self, some: list[str], others: list[str], one_way: bool = False) -> None:
        """Blocks traffic from some to others, and back unless `one_way`."""
        for (sender, receiver), channel in self.channels.items():
            forward = sender in some and receiver in others
            backward = sender in others and receiver in some
            channel.cut = channel.cut or forward or (backward and not one_way)

    def heal(self) -> None:
        """Removes the faults of all channels."""
        for channel in self.channels.values():
            channel.heal()

    async def serve(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                for key, (datagrams, streams) in self.sockets.items():
                    tasks.start_soon(self.relay_datagrams, self.channels[key], datagrams, tasks)
                    tasks.start_soon(self.accept, self.channels[key], streams, tasks)
        finally:
            for pair in self.sockets.values():
                for sock in pair:
                    sock.close()

    async def relay_datagrams(
        self, channel: Channel, sock: socket.socket, tasks: anyio.abc.TaskGroup
    ) -> None:
        while True:
            await anyio.wait_readable(sock)
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            self.counts["datagrams"] += 1
            if channel.cut or self.random.random() < channel.lost:
                self.counts["cut" if channel.cut else "lost"] += 1
                continue
            for _ in range(1 + (self.random.random() < channel.again)):
                seconds = self.random.uniform(*channel.delay)
                if seconds:
                    tasks.start_soon(self.forward_later, channel, sock, data, seconds)
                else:
                    self.forward(channel, sock, data)

    async def forward_later(self, channel: Channel, sock: socket.socket, data: bytes, seconds: float) -> None:
        await anyio.sleep(seconds)
        if not channel.cut:
            self.counts["late"] += 1
            self.forward(channel, sock, data)

    def forward(self, channel: Channel, sock: socket.socket, data: bytes) -> None:
        try:
            sock.sendto(data, channel.target)
        except OSError:  # the process has ended
            self.counts["not sent"] += 1

    async def accept(self, channel: Channel, sock: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.wait_readable(sock)
            try:
                client, _ = sock.accept()
            except OSError:
                continue
            client.setblocking(False)
            tasks.start_soon(self.relay_stream, channel, client)

    async def relay_stream(self, channel: Channel, client: socket.socket) -> None:
        """Copies bytes in both directions until either side ends or a fault breaks the stream."""
        self.counts["streams"] += 1
        try:
            async with await wrap_accepted_socket(client) as near:
                if channel.cut:
                    return
                async with await anyio.connect_tcp(*channel.target) as far:
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(self.copy_bytes, channel, near, far, tasks)
                        tasks.start_soon(self.copy_bytes, channel, far, near, tasks)
        except* STREAM_ENDED:
            pass

    async def copy_bytes(
        self,
        channel: Channel,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        passed = 0
        try:
            async for data in source:
                if (
                    channel.cut
                    or channel.break_after_bytes is not None
                    and passed + len(data) > channel.break_after_bytes
                ):
                    await sink.send(data[: max(0, (channel.break_after_bytes or 0) - passed)])
                    self.counts["broken streams"] += 1
                    break
                passed += len(data)
                await sink.send(data)
        except STREAM_ENDED:
            pass
        tasks.cancel_scope.cancel()
