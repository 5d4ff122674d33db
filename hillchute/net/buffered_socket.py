"""One connection's socket: what has come, and the bytes that the kernel has not taken yet.

Owns the socket from the moment it is connected to its close. Must never wait, nor know a protocol: who
reads too much at once or lets too much pile up is told by what read() and `left` say.
"""

import contextlib
import socket
import struct

from hillchute.net.poller import Owner, Poller
from hillchute.net.system_calls import NO_MEMORY, NOT_YET

INFO = struct.Struct("=44xI4xI")  # of Linux's tcp_info: tcpi_last_data_sent and tcpi_last_data_recv
MILLISECOND = 10  # tenths of a millisecond


class Pipe:
    """Writes go out at once where the socket takes them: a task for each would cost more than a query."""

    def __init__(self, sock: socket.socket, poller: Poller, owner: Owner, size: int) -> None:
        """Raises OSError where the poller takes no more; the socket is then the caller's to close."""
        self.sock = sock
        self.poller = poller
        self.system = poller.system
        self.size = size  # bytes read at once
        self.left = bytearray()
        self.closed = False
        self.shut = False
        self.broken = False  # a write failed for good: read() gives the end
        poller.add(sock, owner)

    def put(self, data: bytes) -> int:
        """Writes; what the kernel does not take is kept in `left`. Gives how many bytes it took now."""
        if self.closed or self.broken:
            return 0
        if self.left:
            self.left += data
            return 0
        sent = self.send(data)
        if sent < len(data) and not self.broken:
            self.left += data[sent:]
            self.poller.watch_writing(self.sock, True)
        return sent

    def flush(self) -> None:
        """The socket takes bytes again."""
        if self.left:
            del self.left[: self.send(self.left)]
        if self.broken:
            self.left.clear()
        if not self.left and not self.closed:
            self.poller.watch_writing(self.sock, False)

    def take_back(self, size: int) -> None:
        """The last `size` bytes that were put are not to be written; they must be among those left."""
        del self.left[len(self.left) - size :]

    def send(self, data: bytes | bytearray) -> int:
        try:
            return self.system.send(self.sock, data)
        except OSError as fault:
            if fault.errno in NO_MEMORY:
                self.poller.pause(self.sock)
            elif fault.errno not in NOT_YET:
                self.fail()
            return 0

    def fail(self) -> None:
        """No more can be written: the next look finds the end, and read() gives it."""
        self.broken = True
        with contextlib.suppress(OSError):
            self.system.shut_down(self.sock, socket.SHUT_RDWR)

    def read(self) -> bytes | None:
        """What has come; None where nothing has, empty once the other side has closed or it is broken."""
        if self.broken:
            return b""
        try:
            return self.system.receive(self.sock, self.size)
        except OSError as fault:
            if fault.errno in NO_MEMORY:
                self.poller.pause(self.sock)
                return None
            return None if fault.errno in NOT_YET else b""

    def came(self, now: int) -> int:
        """When the last bytes came, to some milliseconds: a busy loop reads them late."""
        return now - MILLISECOND * self.ages()[1]

    def began(self, now: int) -> int:
        """When the kernel took the connection, to some milliseconds; right until something was written."""
        return now - MILLISECOND * self.ages()[0]

    def ages(self) -> tuple[int, int]:
        """Milliseconds since the last bytes went out and since the last came; both count from the start."""
        try:
            return INFO.unpack_from(self.system.info(self.sock))
        except OSError:
            return 0, 0

    def unread(self) -> bool:
        """Whether something has come that was not read yet."""
        return self.peek() not in (None, b"")

    def ended(self) -> bool:
        """Whether the other side has closed or reset it and nothing is left to read."""
        return self.peek() == b""

    def peek(self) -> bytes | None:
        """The next byte without taking it: None where there is none, empty at the end."""
        if self.broken:
            return b""
        try:
            return self.system.receive(self.sock, 1, socket.MSG_PEEK)
        except OSError as fault:
            return None if fault.errno in NOT_YET or fault.errno in NO_MEMORY else b""

    def shut_writing(self) -> None:
        """Lets the other side read the last answer: a close with bytes unread here would take it away."""
        if not self.shut and not self.closed:
            self.shut = True
            with contextlib.suppress(OSError):
                self.system.shut_down(self.sock, socket.SHUT_WR)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.poller.remove(self.sock)
            with contextlib.suppress(OSError):
                self.system.close(self.sock)
