"""One connection's non-blocking socket, with a buffer for bytes that the kernel has not taken yet.

Owns the socket from the moment it is connected to its close. Must never wait, nor know a protocol: limits on
what is read at once or left unsent are the caller's.
"""

import contextlib
import socket
import struct
from typing import NamedTuple

from hillchute.net.poller import Poller, SocketOwner
from hillchute.net.system_calls import MEMORY_ERRNOS, TRANSIENT_ERRNOS

TCP_INFO = struct.Struct("=44xI4xI")
"""Of Linux's struct tcp_info: tcpi_last_data_sent and tcpi_last_data_recv, in milliseconds."""

TIME_UNITS_PER_MILLISECOND = 10


class IdleTimes(NamedTuple):
    """Milliseconds since the last bytes went out and came in; both count from the connection's start."""

    sent: int
    received: int


class BufferedSocket:
    """Writes are sent at once where the kernel takes them: a task for each would cost more than a query."""

    def __init__(self, sock: socket.socket, poller: Poller, owner: SocketOwner, read_size: int) -> None:
        """Register with the poller.

        `read_size` is the most bytes that one read() returns. Raises OSError where the poller takes no
        more; the socket is then the caller's to close.
        """
        self.sock = sock
        self.poller = poller
        self.system = poller.system
        self.read_size = read_size
        self.unsent = bytearray()
        """Written, and not yet taken by the kernel."""
        self.closed = False
        self.write_shut_down = False
        self.broken = False
        """A send failed for good: read() returns the end of the stream."""
        poller.add(sock, owner)

    def write(self, data: bytes) -> int:
        """Send, and keep in `unsent` what the kernel does not take.

        Returns how many bytes of `data` the kernel took now.
        """
        if self.closed or self.broken:
            return 0
        if self.unsent:
            self.unsent += data
            return 0
        sent = self._send(data)
        if sent < len(data) and not self.broken:
            self.unsent += data[sent:]
            self.poller.watch_writing(self.sock, True)
        return sent

    def flush(self) -> None:
        """Send more of `unsent`: the poller has reported the socket as writable."""
        if self.unsent:
            del self.unsent[: self._send(self.unsent)]
        if self.broken:
            self.unsent.clear()
        if not self.unsent and not self.closed:
            self.poller.watch_writing(self.sock, False)

    def discard_unsent(self, size: int) -> None:
        """Drop the last `size` bytes that were written; all of them must still be in `unsent`."""
        del self.unsent[len(self.unsent) - size :]

    def read(self) -> bytes | None:
        """Return what has come: None where nothing has, empty at the end of the stream or when broken."""
        if self.broken:
            return b""
        try:
            return self.system.receive(self.sock, self.read_size)
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self.poller.pause(self.sock)
                return None
            return None if error.errno in TRANSIENT_ERRNOS else b""

    def last_received_at(self, now: int) -> int:
        """When the last bytes came in, to some milliseconds: a busy loop reads them late.

        `now` and the result are in tenths of a millisecond.
        """
        return now - TIME_UNITS_PER_MILLISECOND * self._idle_times().received

    def connected_at(self, now: int) -> int:
        """When the kernel took the connection, to some milliseconds; right until something was sent.

        `now` and the result are in tenths of a millisecond.
        """
        return now - TIME_UNITS_PER_MILLISECOND * self._idle_times().sent

    def has_unread(self) -> bool:
        """Whether bytes have come that were not read yet."""
        return self._peek() not in (None, b"")

    def has_ended(self) -> bool:
        """Whether the peer has closed or reset the connection and nothing is left to read."""
        return self._peek() == b""

    def shutdown_write(self) -> None:
        """End the outgoing stream, so that the peer can still read the last answer.

        A close with bytes unread here would reset the connection and destroy that answer.
        """
        if not self.write_shut_down and not self.closed:
            self.write_shut_down = True
            with contextlib.suppress(OSError):
                self.system.shut_down(self.sock, socket.SHUT_WR)

    def close(self) -> None:
        """Leave the poller and close the socket; a second call does nothing."""
        if not self.closed:
            self.closed = True
            self.poller.remove(self.sock)
            with contextlib.suppress(OSError):
                self.system.close(self.sock)

    def _send(self, data: bytes | bytearray) -> int:
        """Send once; returns 0 where the kernel takes nothing, also where the connection is lost."""
        try:
            return self.system.send(self.sock, data)
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self.poller.pause(self.sock)
            elif error.errno not in TRANSIENT_ERRNOS:
                self._break()
            return 0

    def _break(self) -> None:
        """Nothing more can be sent: the next poll reports the end, and read() returns it."""
        self.broken = True
        with contextlib.suppress(OSError):
            self.system.shut_down(self.sock, socket.SHUT_RDWR)

    def _idle_times(self) -> IdleTimes:
        """Ask the kernel; zeros where it can't tell."""
        try:
            return IdleTimes._make(TCP_INFO.unpack_from(self.system.tcp_info(self.sock)))
        except OSError:
            return IdleTimes(0, 0)

    def _peek(self) -> bytes | None:
        """Return the next byte without taking it: None where there is none, empty at the end."""
        if self.broken:
            return b""
        try:
            return self.system.receive(self.sock, 1, socket.MSG_PEEK)
        except OSError as error:
            return None if error.errno in TRANSIENT_ERRNOS or error.errno in MEMORY_ERRNOS else b""
