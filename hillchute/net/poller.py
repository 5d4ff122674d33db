"""Which sockets are ready, all of them at once: one epoll behind the event loop.

Owns the kernel's list of watched sockets and who stands behind each. Must never read or write a socket,
nor know what it is for. A socket that is ready and was left alone is ready again at the next look, so
nothing is lost by putting one off; fairness among those put off is the caller's (rounds.py).
"""

import select
import socket
from typing import Protocol

import anyio

MOST = 4_096  # sockets in one look: more than any deployment allows descriptors, so a look is always whole


class Owner(Protocol):
    """Who stands behind a socket."""

    served: int  # number of the round in which it was last looked after


class Poller:
    """add() and remove() sockets, look() for what is ready now, wait() until anything is."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.owners: dict[int, Owner] = {}

    def add(self, sock: socket.socket, owner: Owner) -> None:
        """Watches a socket for bytes to read, or an end; twice is once. Raises OSError where the kernel takes
        no more."""
        if sock.fileno() in self.owners:
            return
        self.epoll.register(sock.fileno(), select.EPOLLIN)
        self.owners[sock.fileno()] = owner

    def watch_writing(self, sock: socket.socket, on: bool) -> None:
        """Also tells when the socket takes bytes again, or no longer does."""
        self.epoll.modify(sock.fileno(), select.EPOLLIN | (select.EPOLLOUT if on else 0))

    def remove(self, sock: socket.socket) -> None:
        """Must come before the close: the number may be another socket's a moment later."""
        if self.owners.pop(sock.fileno(), None) is not None:
            self.epoll.unregister(sock.fileno())

    def look(self) -> list[tuple[Owner, bool, bool]]:
        """Who is ready now: (owner, something to read or an end, takes bytes again)."""
        found = []
        for number, mask in self.epoll.poll(0, MOST):
            owner = self.owners.get(number)
            if owner is not None:
                found.append((owner, bool(mask & ~select.EPOLLOUT), bool(mask & select.EPOLLOUT)))
        return found

    async def wait(self) -> None:
        """Until look() would find somebody."""
        await anyio.wait_readable(self.epoll)

    def close(self) -> None:
        anyio.notify_closing(self.epoll)
        self.epoll.close()
