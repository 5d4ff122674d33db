"""One connection's socket: what has come, and the bytes that the kernel has not taken yet.

Owns the socket from the moment it is connected to its close. Must never wait, nor know a protocol: who
reads too much at once or lets too much pile up is told by what read() and `left` say.
"""

import contextlib
import socket
import struct

from hillchute.net.poller import Owner, Poller

INFO = struct.Struct("=44xI4xI")  # of Linux's tcp_info: tcpi_last_data_sent and tcpi_last_data_recv
MILLISECOND = 10  # tenths of a millisecond


class Pipe:
    """Writes go out at once where the socket takes them: a task for each would cost more than a query."""

    def __init__(self, sock: socket.socket, poller: Poller, owner: Owner, size: int) -> None:
        self.sock = sock
        self.poller = poller
        self.size = size  # bytes read at once
        self.left = bytearray()
        self.closed = False
        self.shut = False
        poller.add(sock, owner)

    def put(self, data: bytes) -> None:
        if self.closed:
            return
        if self.left:
            self.left += data
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # it is broken: whoever reads from it hears of that
        if sent < len(data):
            self.left += data[sent:]
            self.poller.watch_writing(self.sock, True)

    def flush(self) -> None:
        """The socket takes bytes again."""
        try:
            del self.left[: self.sock.send(self.left)]
        except BlockingIOError:
            return  # woken for nothing: the bytes are still owed
        except OSError:
            self.left.clear()
        if not self.left:
            self.poller.watch_writing(self.sock, False)

    def read(self) -> bytes | None:
        """What has come; None where nothing has, empty once the other side has closed or it is broken."""
        try:
            return self.sock.recv(self.size)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def came(self, now: int) -> int:
        """When the last bytes came, to some milliseconds: a busy loop reads them late."""
        return now - MILLISECOND * self.ages()[1]

    def began(self, now: int) -> int:
        """When the kernel took the connection, to some milliseconds; right until something was written."""
        return now - MILLISECOND * self.ages()[0]

    def ages(self) -> tuple[int, int]:
        """Milliseconds since the last bytes went out and since the last came; both count from the start."""
        try:
            return INFO.unpack_from(self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 64))
        except OSError:
            return 0, 0

    def unread(self) -> bool:
        """Whether something has come that was not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def shut_writing(self) -> None:
        """Lets the other side read the last answer: a close with bytes unread here would take it away."""
        if not self.shut and not self.closed:
            self.shut = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.poller.remove(self.sock)
            self.sock.close()
