"""Every system call on a socket that serves, in one place, and what its errors mean.

Owns no state. A test puts another System in its place and makes any call fail with any documented errno at
any time (hillchute/lab/faulty_system.py). Must never retry, wait or know a protocol: what follows from an
error is for the caller, by the sets of errno below.
"""

import errno
import select
import socket

# The call did nothing and may succeed if it is made again: at once, or once the kernel has memory.
NOT_YET = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
NO_MEMORY = frozenset({errno.ENOBUFS, errno.ENOMEM})

# accept(2): the error belongs to the one connection that would have been accepted; the next may be sound.
CONNECTION_FAILED = frozenset(
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

# socket(2), connect(2), epoll_ctl(2): this machine lacks something; the other side was never asked.
LOCAL_SHORTAGE = NO_MEMORY | {
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

# TCP_INFO needs no more than this much of the structure.
INFO_SIZE = 64


class System:
    """The calls as the kernel has them; each raises OSError."""

    def open_stream(self, family: int) -> socket.socket:
        return socket.socket(family, socket.SOCK_STREAM)

    def accept(self, listener: socket.socket) -> socket.socket:
        return listener.accept()[0]

    def prepare(self, sock: socket.socket) -> None:
        """Non-blocking, and small writes leave at once."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        sock.connect(address)

    def connect_error(self, sock: socket.socket) -> int:
        """The errno with which a connect in progress ended; 0 where the connection is up."""
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def receive(self, sock: socket.socket, size: int, flags: int = 0) -> bytes:
        return sock.recv(size, flags) if flags else sock.recv(size)

    def send(self, sock: socket.socket, data: bytes | bytearray) -> int:
        return sock.send(data)

    def info(self, sock: socket.socket) -> bytes:
        """Linux's tcp_info."""
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)

    def shut_down(self, sock: socket.socket, how: int) -> None:
        sock.shutdown(how)

    def close(self, sock: socket.socket) -> None:
        sock.close()

    def epoll_add(self, epoll: select.epoll, number: int, mask: int) -> None:
        epoll.register(number, mask)

    def epoll_change(self, epoll: select.epoll, number: int, mask: int) -> None:
        epoll.modify(number, mask)

    def epoll_remove(self, epoll: select.epoll, number: int) -> None:
        epoll.unregister(number)

    def epoll_look(self, epoll: select.epoll, most: int) -> list[tuple[int, int]]:
        return epoll.poll(0, most)


SYSTEM = System()
