"""All system calls on sockets of MySQL clients and line protocol engines, and what their errors mean.

Stateless. Tests substitute another SystemCalls that makes any call fail with any documented errno at any time
(hillchute/lab/faulty_system.py). Does not retry or wait, and is independent of any protocol: the caller
decides how to handle an error, using the sets of errno values below.
"""

import errno
import select
import socket

TRANSIENT_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
"""The call had no effect and may succeed if repeated, immediately or once the socket is ready."""

MEMORY_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
"""The call had no effect and may succeed if repeated once the kernel has memory."""

ABORTED_CONNECTION_ERRNOS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    }
)
"""Errors of accept(2) that concern the connection to be accepted, not the listener."""

LOCAL_RESOURCE_ERRNOS = MEMORY_ERRNOS | {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EACCES,
    errno.EPERM,
    errno.ENETDOWN,
}
"""Errors of socket(2), connect(2) and epoll_ctl(2) for lack of a local resource: the peer was not reached."""

TCP_INFO_SIZE = 64
"""Bytes requested of Linux's struct tcp_info: enough to include tcpi_last_data_recv."""


class SystemCalls:
    """The system calls of the kernel; each raises OSError on failure."""

    def open_stream(self, family: int) -> socket.socket:
        """Open an unconnected TCP socket of the given address family: socket(2)."""
        return socket.socket(family, socket.SOCK_STREAM)

    def accept(self, listener: socket.socket) -> socket.socket:
        """Accept the next connection in the listener's backlog: accept(2)."""
        return listener.accept()[0]

    def prepare(self, sock: socket.socket) -> None:
        """Make the socket non-blocking, and disable the delay of small writes (TCP_NODELAY)."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Start to connect; raises BlockingIOError while the connect is in progress: connect(2)."""
        sock.connect(address)

    def connect_error(self, sock: socket.socket) -> int:
        """Return the errno with which a pending connect has failed, or 0 if it has succeeded (SO_ERROR)."""
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def receive(self, sock: socket.socket, size: int, flags: int = 0) -> bytes:
        """Receive up to `size` bytes; returns empty bytes at the end of the stream: recv(2)."""
        return sock.recv(size, flags) if flags else sock.recv(size)

    def send(self, sock: socket.socket, data: bytes | bytearray) -> int:
        """Send, and return the number of bytes that the kernel has accepted: send(2)."""
        return sock.send(data)

    def tcp_info(self, sock: socket.socket) -> bytes:
        """Return the first TCP_INFO_SIZE bytes of Linux's struct tcp_info."""
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)

    def shut_down(self, sock: socket.socket, how: int) -> None:
        """Shut down one direction or both (socket.SHUT_WR, SHUT_RDWR): shutdown(2)."""
        sock.shutdown(how)

    def close(self, sock: socket.socket) -> None:
        """Close the descriptor: close(2)."""
        sock.close()

    def epoll_add(self, epoll: select.epoll, descriptor: int, mask: int) -> None:
        """Register a descriptor for the events of `mask`: EPOLL_CTL_ADD."""
        epoll.register(descriptor, mask)

    def epoll_modify(self, epoll: select.epoll, descriptor: int, mask: int) -> None:
        """Change the events that a descriptor is registered for: EPOLL_CTL_MOD."""
        epoll.modify(descriptor, mask)

    def epoll_remove(self, epoll: select.epoll, descriptor: int) -> None:
        """Deregister a descriptor: EPOLL_CTL_DEL."""
        epoll.unregister(descriptor)

    def epoll_wait(self, epoll: select.epoll, max_events: int) -> list[tuple[int, int]]:
        """Return (descriptor, event mask) of the ready descriptors, without waiting: epoll_wait(2)."""
        return epoll.poll(0, max_events)


SYSTEM_CALLS = SystemCalls()
"""The shared instance; it has no state."""
