"""Non-blocking socket of one connection, with a buffer for bytes that the kernel has not accepted yet.

Owns the socket from the time it is connected until it is closed. Never blocks, and is independent of any
protocol: the caller limits how much is read at once and how much may remain unsent.
"""

import contextlib
import socket
import struct
from typing import NamedTuple

from hillchute.net.poller import Poller, SocketOwner
from hillchute.net.system_calls import MEMORY_ERRNOS, TRANSIENT_ERRNOS

TCP_INFO = struct.Struct("=44xI4xI")
"""The fields tcpi_last_data_sent and tcpi_last_data_recv of Linux's struct tcp_info, in milliseconds."""

TIME_UNITS_PER_MILLISECOND = 10


class IdleTimes(NamedTuple):
    """Milliseconds since bytes were last sent and received; both start to count when the connection opens."""

    sent: int
    received: int


class BufferedSocket:
    """Sends during write() as much as the kernel accepts: a task per write would cost more than a query."""

    def __init__(self, sock: socket.socket, poller: Poller, owner: SocketOwner, read_size: int) -> None:
        """Register with the poller.

        `read_size` is the maximum number of bytes that one read() returns. Raises OSError if the poller can't
        register the socket; the caller must then close it.
        """
        self.sock = sock
        self.poller = poller
        self.system = poller.system
        self.read_size = read_size
        self.unsent = bytearray()
        """Written, but not yet accepted by the kernel."""
        self.closed = False
        self.write_shut_down = False
        self.broken = False
        """A send has failed permanently: read() returns the end of the stream."""
        poller.add(sock, owner)

    def write(self, data: bytes) -> int:
        """Send, and append to `unsent` what the kernel does not accept.

        Returns how many bytes of `data` the kernel has accepted during this call.
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
        """Send more of `unsent`, after the poller has reported the socket as writable."""
        if self.unsent:
            del self.unsent[: self._send(self.unsent)]
        if self.broken:
            self.unsent.clear()
        if not self.unsent and not self.closed:
            self.poller.watch_writing(self.sock, False)

    def discard_unsent(self, size: int) -> None:
        """Discard the last `size` bytes that were written; all of them must still be in `unsent`."""
        del self.unsent[len(self.unsent) - size :]

    def read(self) -> bytes | None:
        """Return the bytes received: None if there are none, empty at the end of the stream or if broken."""
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
        """Return when the kernel last received bytes, accurate to a few milliseconds.

        A busy event loop reads them later than that. `now` and the result are in tenths of a millisecond.
        """
        return now - TIME_UNITS_PER_MILLISECOND * self._idle_times().received

    def connected_at(self, now: int) -> int:
        """Return when the kernel accepted the connection, accurate to a few milliseconds.

        Valid only until something is sent. `now` and the result are in tenths of a millisecond.
        """
        return now - TIME_UNITS_PER_MILLISECOND * self._idle_times().sent

    def has_unread(self) -> bool:
        """Return whether bytes have been received that were not read yet."""
        return self._peek() not in (None, b"")

    def has_ended(self) -> bool:
        """Return whether the peer has closed or reset the connection and nothing is left to read."""
        return self._peek() == b""

    def shutdown_write(self) -> None:
        """Shut down sending, so that the peer can still read the last answer.

        Closing the socket while received bytes are unread would reset the connection, and the peer would lose
        that answer.
        """
        if not self.write_shut_down and not self.closed:
            self.write_shut_down = True
            with contextlib.suppress(OSError):
                self.system.shut_down(self.sock, socket.SHUT_WR)

    def close(self) -> None:
        """Deregister from the poller and close the socket; a second call does nothing."""
        if not self.closed:
            self.closed = True
            self.poller.remove(self.sock)
            with contextlib.suppress(OSError):
                self.system.close(self.sock)

    def _send(self, data: bytes | bytearray) -> int:
        """Send once; return the number of bytes accepted, which is 0 also if the connection is lost."""
        try:
            return self.system.send(self.sock, data)
        except OSError as error:
            if error.errno in MEMORY_ERRNOS:
                self.poller.pause(self.sock)
            elif error.errno not in TRANSIENT_ERRNOS:
                self._break()
            return 0

    def _break(self) -> None:
        """Mark the connection as lost: the next poll reports its end, and read() returns it."""
        self.broken = True
        with contextlib.suppress(OSError):
            self.system.shut_down(self.sock, socket.SHUT_RDWR)

    def _idle_times(self) -> IdleTimes:
        """Return the kernel's idle times, or zeros if it can't report them."""
        try:
            return IdleTimes._make(TCP_INFO.unpack_from(self.system.tcp_info(self.sock)))
        except OSError:
            return IdleTimes(0, 0)

    def _peek(self) -> bytes | None:
        """Return the next byte without consuming it: None if there is none, empty at the end."""
        if self.broken:
            return b""
        try:
            return self.system.receive(self.sock, 1, socket.MSG_PEEK)
        except OSError as error:
            return None if error.errno in TRANSIENT_ERRNOS or error.errno in MEMORY_ERRNOS else b""
