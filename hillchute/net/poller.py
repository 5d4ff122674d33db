"""Reports all sockets that are ready at once, for the event loop, using one epoll instance.

Owns the epoll registrations and the owner object of each socket. Does not read or write the sockets. The
registration is level-triggered: a socket that is ready and was not handled is reported again by the next
poll, so handling it can be deferred without losing an event; fairness among deferred sockets is up to the
caller.
"""

import contextlib
import select
import socket
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import anyio

from hillchute.net.system_calls import SYSTEM_CALLS, TRANSIENT_ERRNOS, SystemCalls

MAX_EVENTS = 4_096
"""Maximum number of sockets per poll; no deployment allows more descriptors, so one poll reports all."""

ENDED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READABLE_EVENTS = select.EPOLLIN | select.EPOLLPRI | ENDED_EVENTS


class SocketOwner(Protocol):
    """The object to which the events of a socket are delivered."""

    last_served_round: int
    """Number of the event loop round in which this object was last served."""


class ReadySocket(NamedTuple):
    """A socket that is ready, identified by its owner."""

    owner: SocketOwner
    readable: bool
    """There are bytes, the end of the stream or an error to read."""
    writable: bool
    """The kernel accepts more bytes."""
    ended: bool = False
    """The peer has closed or reset the connection; received bytes may still be unread."""


@dataclass(slots=True)
class Registration:
    """The events for which a socket is registered."""

    owner: SocketOwner
    writing: bool
    reading: bool = True
    paused: bool = False
    """A call on the socket failed because the kernel lacked memory: ignored until Poller.resume()."""

    @property
    def mask(self) -> int:
        """The epoll events to request; the end of the connection is always one of them."""
        if self.paused:
            return select.EPOLLRDHUP
        reading = select.EPOLLIN if self.reading else 0
        writing = select.EPOLLOUT if self.writing else 0
        return select.EPOLLRDHUP | reading | writing


class Poller:
    """One epoll instance: add() and remove() sockets, poll() those that are ready, wait_until_ready()."""

    def __init__(self, system: SystemCalls = SYSTEM_CALLS) -> None:
        self.system = system
        self.epoll = select.epoll()
        self._registrations: dict[int, Registration] = {}  # by descriptor
        self._paused: set[int] = set()  # descriptors

    def add(self, sock: socket.socket, owner: SocketOwner, writing: bool = False) -> None:
        """Register a socket for reading, and also for writing if `writing` is set.

        Does nothing if the socket is registered already. Raises OSError if the kernel can't register it.
        """
        descriptor = sock.fileno()
        if descriptor in self._registrations:
            return
        registration = Registration(owner, writing)
        self.system.epoll_add(self.epoll, descriptor, registration.mask)
        self._registrations[descriptor] = registration

    def watch_writing(self, sock: socket.socket, enabled: bool) -> None:
        """Enable or disable reporting the socket when it is writable."""
        descriptor = sock.fileno()
        registration = self._registrations.get(descriptor)
        if registration is not None and registration.writing != enabled:
            registration.writing = enabled
            self._apply(descriptor, registration)

    def watch_reading(self, sock: socket.socket, enabled: bool) -> None:
        """Enable or disable reporting the socket when there are bytes to read; its end is always reported.

        While reading is disabled, unread bytes stay in the kernel's buffer, and TCP flow control slows down
        the sender.
        """
        descriptor = sock.fileno()
        registration = self._registrations.get(descriptor)
        if registration is not None and registration.reading != enabled:
            registration.reading = enabled
            self._apply(descriptor, registration)

    def pause(self, sock: socket.socket) -> None:
        """Stop reporting a socket until resume(), after a call on it failed because the kernel lacked memory.

        Otherwise the level-triggered event loop would repeat the failing call without pause.
        """
        descriptor = sock.fileno()
        self._paused.add(descriptor)
        registration = self._registrations.get(descriptor)
        if registration is not None and not registration.paused:
            registration.paused = True
            self._apply(descriptor, registration)

    def resume(self) -> None:
        """Register the paused sockets again; must be called periodically."""
        descriptors = self._paused
        self._paused = set()
        for descriptor in descriptors:
            registration = self._registrations.get(descriptor)
            if registration is not None and registration.paused:
                registration.paused = False
                self._apply(descriptor, registration)

    def remove(self, sock: socket.socket) -> None:
        """Deregister a socket; must precede its close, after which the descriptor may be reused."""
        descriptor = sock.fileno()
        if self._registrations.pop(descriptor, None) is None:
            return
        self._paused.discard(descriptor)
        with contextlib.suppress(OSError):  # closing the socket also deregisters it
            self.system.epoll_remove(self.epoll, descriptor)

    def poll(self) -> list[ReadySocket]:
        """Return the sockets that are ready, without waiting."""
        try:
            events = self.system.epoll_wait(self.epoll, MAX_EVENTS)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            return []
        ready = []
        for descriptor, mask in events:
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
        """Close the epoll descriptor; a pending wait_until_ready() raises an error."""
        anyio.notify_closing(self.epoll)
        self.epoll.close()

    def _apply(self, descriptor: int, registration: Registration) -> None:
        """Update the kernel's registration of a socket."""
        try:
            self.system.epoll_modify(self.epoll, descriptor, registration.mask)
        except OSError:  # lack of memory: the next resume() tries again
            registration.paused = True
            self._paused.add(descriptor)
