"""Every system call on a socket that serves, in one place, and what its errors mean.

Owns no state. A test puts another SystemCalls in its place and makes any call fail with any documented errno
at any time (hillchute/lab/faulty_system.py). Must never retry, wait or know a protocol: what follows from an
error is for the caller to decide, by the sets of errno below.
"""

import errno
import select
import socket

TRANSIENT_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
"""The call did nothing and may succeed if it is made again at once, or when the socket is ready."""

MEMORY_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
"""The call did nothing and may succeed if it is made again once the kernel has memory."""

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
"""Of accept(2): the error belongs to the connection that would have been accepted, not to the listener."""

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
"""Of socket(2), connect(2) and epoll_ctl(2): this machine lacks a resource; the peer was never reached."""

TCP_INFO_SIZE = 64
"""Bytes of Linux's struct tcp_info that are asked for: those up to tcpi_last_data_recv and a little more."""


class SystemCalls:
    """The calls as the kernel has them; each raises OSError."""

    def open_stream(self, family: int) -> socket.socket:
        """Open an unconnected TCP socket of this address family: socket(2)."""
        return socket.socket(family, socket.SOCK_STREAM)

    def accept(self, listener: socket.socket) -> socket.socket:
        """Take the next connection that the kernel holds for this listener: accept(2)."""
        return listener.accept()[0]

    def prepare(self, sock: socket.socket) -> None:
        """Make the socket non-blocking, and let small writes leave at once (TCP_NODELAY)."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Start to connect; a non-blocking socket raises BlockingIOError while it is in progress."""
        sock.connect(address)

    def connect_error(self, sock: socket.socket) -> int:
        """Return the errno with which a connect in progress ended; 0 where the connection is up."""
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def receive(self, sock: socket.socket, size: int, flags: int = 0) -> bytes:
        """Receive up to `size` bytes; empty at the end of the stream: recv(2)."""
        return sock.recv(size, flags) if flags else sock.recv(size)

    def send(self, sock: socket.socket, data: bytes | bytearray) -> int:
        """Send and return how many bytes the kernel took: send(2)."""
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
        """Take a descriptor off: EPOLL_CTL_DEL."""
        epoll.unregister(descriptor)

    def epoll_wait(self, epoll: select.epoll, max_events: int) -> list[tuple[int, int]]:
        """Return (descriptor, event mask) of those that are ready now, without waiting: epoll_wait(2)."""
        return epoll.poll(0, max_events)


SYSTEM_CALLS = SystemCalls()
"""The kernel's own; stateless, so one serves all."""
