"""Connections to sql engines on the line protocol: commands out, answers in.

Owns their sockets from the first try on, and the commands that an engine which does not read has not been
written yet. Must never know what a command is for, nor judge an engine: what ended a connection is told with
its reason, and the reducer draws the conclusion. How long a connection may take to come up is the
reducer's too.
"""

import contextlib
import errno
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio.abc

from hillchute.decision.interface import Time
from hillchute.engines import events, words
from hillchute.engines.events import ConnectFault
from hillchute.engines.line import wire
from hillchute.engines.line.exchange import Exchange
from hillchute.log import Log
from hillchute.net.buffered_socket import BufferedSocket
from hillchute.net.poller import Poller
from hillchute.net.system_calls import LOCAL_RESOURCE_ERRNOS

READ = 65_536  # bytes read at once
HELD = 262_144  # bytes waiting for an engine that does not read; then its connection is cut
MILLISECOND = 10  # tenths of a millisecond


class Held(NamedTuple):
    """A command that was not written yet, not even its first byte."""

    command: words.Command
    since: Time


class Link:
    """A connection to an engine, from the first try on."""

    __slots__ = ("number", "sock", "pipe", "exchange", "held", "held_size", "served")

    def __init__(self, number: int, sock: socket.socket | None = None) -> None:
        self.number = number
        self.sock = sock  # while it is coming up
        self.pipe: BufferedSocket | None = None
        self.exchange = Exchange()
        self.held: deque[Held] = deque()
        self.held_size = 0  # bytes of the statements among them
        self.served = 0

    def hold(self, command: words.Command, now: Time) -> None:
        """Guards departed clients and deadlines: what is still here can be taken back, and is looked at again
        before it is written; bytes in a buffer could not be."""
        if isinstance(command, words.GiveUp | words.Unwanted) and self.take_back(command.id):
            return
        self.held.append(Held(command, now))
        self.held_size += size_of(command)

    def take_back(self, id: str) -> bool:
        """Whether the run of this id was still held; then nothing of it is written."""
        before = len(self.held)
        kept = [item for item in self.held if getattr(item.command, "id", None) != id]
        if len(kept) == before or not any(is_run(item.command, id) for item in self.held):
            return False
        self.held = deque(kept)
        self.held_size = sum(size_of(item.command) for item in kept)
        return True

    def release(self, now: Time) -> words.Command:
        """The first that is held; a run with what is left of its time, which may be nothing."""
        command, since = self.held.popleft()
        self.held_size -= size_of(command)
        if not isinstance(command, words.Run):
            return command
        return command._replace(within=command.within - -(-(now - since) // MILLISECOND))

    def unwritten(self) -> list[str]:
        """Ids of the runs and tags of the probes that are held."""
        return asked_among(item.command for item in self.held)


def is_run(command: words.Command, id: str) -> bool:
    return isinstance(command, words.Run) and command.id == id


def size_of(command: words.Command) -> int:
    return len(command.statement) if isinstance(command, words.Run) else 0


class Links:
    """Links by number. `handle` takes what happens to them, as the reducer's events."""

    def __init__(
        self,
        poller: Poller,
        log: Log,
        handle: Callable[[events.Event], None],
        clock: Callable[[], Time],
        wanted: Callable[[str], bool],
    ) -> None:
        """`wanted` tells, right before the first byte of a run is written, whether its client still waits."""
        self.wanted = wanted
        self.poller, self.log, self.handle, self.clock = poller, log, handle, clock
        self.system = poller.system
        self.links: dict[int, Link] = {}

    # ---- coming up ----------------------------------------------------------------------------------

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to connect. The reducer ends it with hang_up() where it takes too long."""
        link = self.links[number] = Link(number)
        try:
            link.sock = self.system.open_stream(socket.AF_INET6 if ":" in host else socket.AF_INET)
            self.system.prepare(link.sock)
            if self.begin(link, (host, port)):
                self.connected(link)
            else:
                self.poller.add(link.sock, link, writing=True)
        except OSError as fault:
            self.not_connected(link, fault)

    def begin(self, link: Link, address: tuple[str, int]) -> bool:
        """Whether the connection is up at once."""
        try:
            self.system.connect(link.sock, address)
        except OSError as fault:
            # Interrupted, it goes on all the same: connect(2).
            if fault.errno not in (errno.EINPROGRESS, errno.EINTR):
                raise
            return False
        return True

    def came_up(self, link: Link) -> None:
        """The kernel has decided on a connect in progress."""
        try:
            fault = self.system.connect_error(link.sock)
            if fault:
                raise OSError(fault, os.strerror(fault))
            self.poller.remove(link.sock)
            self.connected(link)
        except OSError as fault:
            self.not_connected(link, fault)

    def connected(self, link: Link) -> None:
        link.pipe = BufferedSocket(link.sock, self.poller, link, READ)
        link.sock = None
        self.handle(events.Connected(link.number))

    def not_connected(self, link: Link, fault: OSError) -> None:
        self.links.pop(link.number, None)
        self.close_connecting(link)
        self.log.write("connect_failed", connection=link.number, reason=str(fault))
        self.handle(events.NotConnected(link.number, connect_fault(fault)))

    def close_connecting(self, link: Link) -> None:
        if link.sock is None:
            return
        self.poller.remove(link.sock)
        with contextlib.suppress(OSError):
            self.system.close(link.sock)
        link.sock = None

    # ---- commands -----------------------------------------------------------------------------------

    def send(self, number: int, commands: list[words.Command]) -> None:
        link = self.links.get(number)
        if link is None or link.pipe is None:
            return
        if link.pipe.unsent:
            now = self.clock()
            for command in commands:
                link.hold(command, now)
        elif not link.exchange.open and link.pipe.has_ended():
            # Guards a command against the end of a connection that was idle: nothing of it has left.
            self.lost(link, "closed by the engine while idle", asked_among(commands))
            return
        else:
            self.write(link, commands)
        if len(link.pipe.unsent) + link.held_size > HELD:
            self.lost(link, "not reading", link.unwritten())

    def write(self, link: Link, commands: list[words.Command]) -> None:
        """Commands of which the kernel took no byte are held, so that they can be taken back."""
        commands = [command for command in commands if self.still_wanted(link, command)]
        encoded = [link.exchange.encode(command) for command in commands]
        taken = link.pipe.write(b"".join(encoded)) if encoded else 0
        if link.pipe.broken:
            # One call writes all or fails whole: no byte of these has left.
            self.lost(link, "broken as it was written", [*asked_among(commands), *link.unwritten()])
            return
        if not link.pipe.unsent:
            return
        now, end = self.clock(), 0
        for command, data in zip(commands, encoded):
            begin, end = end, end + len(data)
            if begin >= taken:
                link.pipe.discard_unsent(len(data))
                link.hold(command, now)

    def still_wanted(self, link: Link, command: words.Command) -> bool:
        if not isinstance(command, words.Run) or command.within > 0 and self.wanted(command.id):
            return True
        self.handle(events.NotSent(link.number, command.id))
        return False

    def release(self, link: Link) -> None:
        """The engine reads again: what was held is written, as far as it is still wanted."""
        while link.held and not link.pipe.unsent and link.number in self.links:
            self.write(link, [link.release(self.clock())])

    # ---- answers ------------------------------------------------------------------------------------

    def ready(self, link: Link, readable: bool, writable: bool) -> None:
        if link.pipe is None:
            if link.sock is not None:  # else it was hung up earlier in this round, after the poll
                self.came_up(link)
            return
        if writable and not link.pipe.closed:
            link.pipe.flush()
            self.release(link)
        if readable and not link.pipe.closed:
            self.read(link)

    def read(self, link: Link) -> None:
        data = link.pipe.read()
        if data is None:
            return
        if not data:
            self.lost(link, "closed by the engine, or broken", link.unwritten())
            return
        try:
            for said in link.exchange.feed(data):
                self.handle(events.Said(link.number, said))
            if link.exchange.owed and not link.pipe.closed:
                link.pipe.write(link.exchange.owed)
                link.exchange.owed = b""
        except wire.Unreadable as fault:
            self.lost(link, f"unreadable: {fault}", link.unwritten())

    # ---- the end ------------------------------------------------------------------------------------

    def lost(self, link: Link, why: str, never_left: Iterable[str] = ()) -> None:
        """`never_left`: the runs and probes of which no byte can have reached the engine."""
        if link.pipe is None:
            self.close_connecting(link)
        else:
            link.pipe.close()
        if self.links.pop(link.number, None) is not None:
            self.handle(events.Lost(link.number, why, frozenset(never_left)))

    def hang_up(self, number: int) -> None:
        link = self.links.pop(number, None)
        if link is None:
            return
        if link.pipe is None:
            self.close_connecting(link)
        else:
            link.pipe.close()


def asked_among(commands: Iterable[words.Command]) -> list[str]:
    """Ids of runs and tags of probes."""
    runs = [command.id for command in commands if isinstance(command, words.Run)]
    return runs + [command.tag for command in commands if isinstance(command, words.Probe)]


def connect_fault(fault: OSError) -> ConnectFault:
    if fault.errno == errno.ECONNREFUSED:
        return ConnectFault.REFUSED
    return ConnectFault.LOCAL if fault.errno in LOCAL_RESOURCE_ERRNOS else ConnectFault.UNREACHED
