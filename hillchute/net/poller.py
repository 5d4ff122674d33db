"""Which sockets are ready, all of them at once: one epoll behind the event loop.

Owns the kernel's list of watched sockets and who stands behind each. Must never read or write a socket,
nor know what it is for. A socket that is ready and was left alone is ready again at the next look, so
nothing is lost by putting one off; fairness among those put off is the caller's (router/round_schedule.py).
"""

import contextlib
import select
import socket
from typing import NamedTuple, Protocol

import anyio

from hillchute.net.system import NOT_YET, SYSTEM, System

MOST = 4_096  # sockets in one look: more than any deployment allows descriptors, so a look is always whole
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READABLE = select.EPOLLIN | select.EPOLLPRI | ENDED


class Owner(Protocol):
    """Who stands behind a socket."""

    served: int  # number of the round in which it was last looked after


class Ready(NamedTuple):
    """One socket that is ready, by its owner."""

    owner: Owner
    readable: bool  # something to read, or an end
    writable: bool  # it takes bytes again
    ended: bool = False  # the other side has closed or reset it, whatever is still to be read


class Watch:
    """What is watched of one socket."""

    __slots__ = ("owner", "reading", "writing", "paused")

    def __init__(self, owner: Owner, writing: bool) -> None:
        self.owner = owner
        self.reading = True
        self.writing = writing
        self.paused = False  # a call on it failed for want of memory: left alone until resume()

    @property
    def mask(self) -> int:
        if self.paused:
            return select.EPOLLRDHUP
        reading = select.EPOLLIN if self.reading else 0
        writing = select.EPOLLOUT if self.writing else 0
        return select.EPOLLRDHUP | reading | writing


class Poller:
    """add() and remove() sockets, look() for what is ready now, wait() until anything is."""

    def __init__(self, system: System = SYSTEM) -> None:
        self.system = system
        self.epoll = select.epoll()
        self.watched: dict[int, Watch] = {}
        self.paused: set[int] = set()

    def add(self, sock: socket.socket, owner: Owner, writing: bool = False) -> None:
        """Watches a socket for bytes to read, or an end; twice is once. Raises OSError where the kernel takes
        no more."""
        number = sock.fileno()
        if number in self.watched:
            return
        watch = Watch(owner, writing)
        self.system.epoll_add(self.epoll, number, watch.mask)
        self.watched[number] = watch

    def watch_writing(self, sock: socket.socket, on: bool) -> None:
        """Also tells when the socket takes bytes again, or no longer does."""
        self.change(sock, "writing", on)

    def watch_reading(self, sock: socket.socket, on: bool) -> None:
        """Tells of bytes to read, or only of an end: what is unread then stays with the kernel."""
        self.change(sock, "reading", on)

    def pause(self, sock: socket.socket) -> None:
        """Guards against a loop that spins on a call for which the kernel has no memory."""
        self.paused.add(sock.fileno())
        self.change(sock, "paused", True)

    def resume(self) -> None:
        """Those that were paused are watched again."""
        numbers, self.paused = self.paused, set()
        for number in numbers:
            watch = self.watched.get(number)
            if watch is not None and watch.paused:
                watch.paused = False
                self.apply(number, watch)

    def change(self, sock: socket.socket, what: str, on: bool) -> None:
        number = sock.fileno()
        watch = self.watched.get(number)
        if watch is None or getattr(watch, what) == on:
            return
        setattr(watch, what, on)
        self.apply(number, watch)

    def apply(self, number: int, watch: Watch) -> None:
        try:
            self.system.epoll_change(self.epoll, number, watch.mask)
        except OSError:  # of memory: what is watched is put right by resume()
            watch.paused = True
            self.paused.add(number)

    def remove(self, sock: socket.socket) -> None:
        """Must come before the close: the number may be another socket's a moment later."""
        number = sock.fileno()
        if self.watched.pop(number, None) is None:
            return
        self.paused.discard(number)
        with contextlib.suppress(OSError):  # the kernel forgets it with the close that follows
            self.system.epoll_remove(self.epoll, number)

    def look(self) -> list[Ready]:
        """Who is ready now."""
        try:
            found = self.system.epoll_look(self.epoll, MOST)
        except OSError as fault:
            if fault.errno not in NOT_YET:
                raise
            return []
        ready = []
        for number, mask in found:
            watch = self.watched.get(number)
            if watch is None:
                continue
            readable = bool(mask & READABLE)
            writable = bool(mask & select.EPOLLOUT)
            ready.append(Ready(watch.owner, readable, writable, bool(mask & ENDED)))
        return ready

    async def wait(self) -> None:
        """Until look() would find somebody."""
        await anyio.wait_readable(self.epoll)

    def close(self) -> None:
        anyio.notify_closing(self.epoll)
        self.epoll.close()
