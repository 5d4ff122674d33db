"""Which sockets are ready, all of them at once: one epoll behind the event loop.

Owns the kernel's list of registered sockets and the owner of each. Must never read or write a socket, nor
know what it is for. The registration is level-triggered: a socket that is ready and was left alone is ready
again at the next poll, so nothing is lost by deferring one; fairness among the deferred is the caller's.
"""

import contextlib
import select
import socket
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import anyio

from hillchute.net.system_calls import SYSTEM_CALLS, TRANSIENT_ERRNOS, SystemCalls

MAX_EVENTS = 4_096
"""Sockets in one poll: more than any deployment allows descriptors, so that a poll always finds all."""

ENDED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READABLE_EVENTS = select.EPOLLIN | select.EPOLLPRI | ENDED_EVENTS


class SocketOwner(Protocol):
    """The object that a socket's events are delivered to."""

    served: int
    """Number of the event loop's round in which it was last served."""


class ReadySocket(NamedTuple):
    """One socket that is ready, by its owner."""

    owner: SocketOwner
    readable: bool
    """There are bytes to read, or the end of the stream, or an error."""
    writable: bool
    """The kernel takes bytes again."""
    ended: bool = False
    """The peer has closed or reset the connection, whatever is still to be read."""


@dataclass(slots=True)
class Registration:
    """What one socket is registered for."""

    owner: SocketOwner
    writing: bool
    reading: bool = True
    paused: bool = False
    """A call on it failed for want of kernel memory: left alone until Poller.resume()."""

    @property
    def mask(self) -> int:
        """The epoll events to ask for. The end of the connection is always among them."""
        if self.paused:
            return select.EPOLLRDHUP
        reading = select.EPOLLIN if self.reading else 0
        writing = select.EPOLLOUT if self.writing else 0
        return select.EPOLLRDHUP | reading | writing


class Poller:
    """Register sockets with add() and remove(), poll() for those ready now, wait_until_ready() for any."""

    def __init__(self, system: SystemCalls = SYSTEM_CALLS) -> None:
        self.system = system
        self.epoll = select.epoll()
        self._registrations: dict[int, Registration] = {}  # by descriptor
        self._paused: set[int] = set()  # descriptors

    def add(self, sock: socket.socket, owner: SocketOwner, writing: bool = False) -> None:
        """Register a socket for reading, and for writing if asked; a second call for it changes nothing.

        Raises OSError where the kernel registers no more.
        """
        descriptor = sock.fileno()
        if descriptor in self._registrations:
            return
        registration = Registration(owner, writing)
        self.system.epoll_add(self.epoll, descriptor, registration.mask)
        self._registrations[descriptor] = registration

    def watch_writing(self, sock: socket.socket, enabled: bool) -> None:
        """Report the socket also when it takes bytes again, or no longer."""
        descriptor = sock.fileno()
        registration = self._registrations.get(descriptor)
        if registration is not None and registration.writing != enabled:
            registration.writing = enabled
            self._apply(descriptor, registration)

    def watch_reading(self, sock: socket.socket, enabled: bool) -> None:
        """Report the socket when there are bytes to read, or only at its end.

        While reading is disabled, unread bytes stay with the kernel, which holds up the sender.
        """
        descriptor = sock.fileno()
        registration = self._registrations.get(descriptor)
        if registration is not None and registration.reading != enabled:
            registration.reading = enabled
            self._apply(descriptor, registration)

    def pause(self, sock: socket.socket) -> None:
        """Leave a socket alone until resume(): a call on it failed because the kernel lacks memory.

        Without this a level-triggered loop would spin on the failing call.
        """
        descriptor = sock.fileno()
        self._paused.add(descriptor)
        registration = self._registrations.get(descriptor)
        if registration is not None and not registration.paused:
            registration.paused = True
            self._apply(descriptor, registration)

    def resume(self) -> None:
        """Register again what was paused. To be called from time to time."""
        descriptors = self._paused
        self._paused = set()
        for descriptor in descriptors:
            registration = self._registrations.get(descriptor)
            if registration is not None and registration.paused:
                registration.paused = False
                self._apply(descriptor, registration)

    def remove(self, sock: socket.socket) -> None:
        """Forget a socket. Must come before its close: the descriptor may be reused a moment later."""
        descriptor = sock.fileno()
        if self._registrations.pop(descriptor, None) is None:
            return
        self._paused.discard(descriptor)
        with contextlib.suppress(OSError):  # the kernel forgets it with the close that follows
            self.system.epoll_remove(self.epoll, descriptor)

    def poll(self) -> list[ReadySocket]:
        """Return the sockets that are ready now, without waiting."""
        try:
            found = self.system.epoll_wait(self.epoll, MAX_EVENTS)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            return []
        ready = []
        for descriptor, mask in found:
            registration = self._registrations.get(descriptor)
            if registration is None:
                continue
            readable = bool(mask & READABLE_EVENTS)
            writable = bool(mask & select.EPOLLOUT)
            ended = bool(mask & ENDED_EVENTS)
            ready.append(ReadySocket(registration.owner, readable, writable, ended))
        return ready

    async def wait_until_ready(self) -> None:
        """Wait until poll() would return a socket."""
        await anyio.wait_readable(self.epoll)

    def close(self) -> None:
        """Close the epoll descriptor; a waiting wait_until_ready() is woken with an error."""
        anyio.notify_closing(self.epoll)
        self.epoll.close()

    def _apply(self, descriptor: int, registration: Registration) -> None:
        """Tell the kernel what a socket is registered for now."""
        try:
            self.system.epoll_modify(self.epoll, descriptor, registration.mask)
        except OSError:  # of memory: the next resume() tries again
            registration.paused = True
            self._paused.add(descriptor)
