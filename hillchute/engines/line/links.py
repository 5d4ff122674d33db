"""Connections to SQL engines that speak the line protocol.

Owns their sockets, from the start of the connect on, and queues commands for engines that do not read. Does
not judge engines: the end of a connection is reported with its reason, and the reducer decides what follows.
The reducer also limits how long a connect may take.
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

READ_SIZE = 65_536  # bytes per read
MAX_UNSENT_SIZE = (
    262_144  # bytes that may wait for an engine that does not read; beyond that, its connection is closed
)
MILLISECOND = 10  # tenths of a millisecond


class QueuedCommand(NamedTuple):
    """A command of which no byte was written yet."""

    command: words.Command
    queued_at: Time


class Link:
    """A connection to an engine, from the start of the connect on."""

    __slots__ = ("number", "sock", "pipe", "protocol", "queue", "queue_size", "served")

    def __init__(self, number: int, sock: socket.socket | None = None) -> None:
        self.number = number
        self.sock = sock  # until the connection is open
        self.pipe: BufferedSocket | None = None  # once the connection is open
        self.protocol = Exchange()
        self.queue: deque[QueuedCommand] = deque()
        self.queue_size = 0  # bytes of the statements in the queue
        self.served = 0  # number of the event loop round in which it was last served

    def enqueue(self, command: words.Command, now: Time) -> None:
        """Queues a command; if it cancels a run that is still queued, removes that run instead.

        Queued commands, unlike bytes in a send buffer, can be withdrawn: a run whose client has left or whose
        deadline has passed while the engine did not read is never sent.
        """
        if isinstance(command, words.GiveUp | words.Unwanted) and self.remove_queued(command.id):
            return
        self.queue.append(QueuedCommand(command, now))
        self.queue_size += statement_size(command)

    def remove_queued(self, id: str) -> bool:
        """Removes the commands for a run from the queue; false if the run itself is not queued."""
        before = len(self.queue)
        kept = [item for item in self.queue if getattr(item.command, "id", None) != id]
        if len(kept) == before or not any(is_run(item.command, id) for item in self.queue):
            return False
        self.queue = deque(kept)
        self.queue_size = sum(statement_size(item.command) for item in kept)
        return True

    def dequeue(self, now: Time) -> words.Command:
        """Takes the first queued command; the time limit of a run is reduced by its time in the queue and may
        then be zero or negative."""
        command, queued_at = self.queue.popleft()
        self.queue_size -= statement_size(command)
        if not isinstance(command, words.Run):
            return command
        return command._replace(within=command.within - -(-(now - queued_at) // MILLISECOND))

    def queued_ids(self) -> list[str]:
        """Ids of the runs and tags of the health checks in the queue."""
        return request_ids(item.command for item in self.queue)


def is_run(command: words.Command, id: str) -> bool:
    return isinstance(command, words.Run) and command.id == id


def statement_size(command: words.Command) -> int:
    return len(command.statement) if isinstance(command, words.Run) else 0


class Links:
    """All connections to engines. `handle` receives their events."""

    def __init__(
        self,
        poller: Poller,
        log: Log,
        handle: Callable[[events.Event], None],
        clock: Callable[[], Time],
        client_is_waiting: Callable[[str], bool],
    ) -> None:
        """`client_is_waiting` is called with the id of a run right before the run is written; if it returns
        false, the run is not sent."""
        self.client_is_waiting = client_is_waiting
        self.poller, self.log, self.handle, self.clock = poller, log, handle, clock
        self.system = poller.system
        self.links: dict[int, Link] = {}  # by number

    # ---- connecting ---------------------------------------------------------------------------------

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to connect. There is no time limit here: the reducer calls hang_up() after its own."""
        connection = self.links[number] = Link(number)
        try:
            connection.sock = self.system.open_stream(socket.AF_INET6 if ":" in host else socket.AF_INET)
            self.system.prepare(connection.sock)
            if self.start_connect(connection, (host, port)):
                self.on_connected(connection)
            else:
                self.poller.add(connection.sock, connection, writing=True)
        except OSError as error:
            self.on_connect_failed(connection, error)

    def start_connect(self, connection: Link, address: tuple[str, int]) -> bool:
        """Returns whether the connection is open already; raises OSError if the connect has failed."""
        try:
            self.system.connect(connection.sock, address)
        except OSError as error:
            # An interrupted connect continues in the background: connect(2).
            if error.errno not in (errno.EINPROGRESS, errno.EINTR):
                raise
            return False
        return True

    def finish_connect(self, connection: Link) -> None:
        """Handles the end of a pending connect."""
        try:
            number = self.system.connect_error(connection.sock)
            if number:
                raise OSError(number, os.strerror(number))
            self.poller.remove(connection.sock)
            self.on_connected(connection)
        except OSError as error:
            self.on_connect_failed(connection, error)

    def on_connected(self, connection: Link) -> None:
        connection.pipe = BufferedSocket(connection.sock, self.poller, connection, READ_SIZE)
        connection.sock = None
        self.handle(events.Connected(connection.number))

    def on_connect_failed(self, connection: Link, error: OSError) -> None:
        self.links.pop(connection.number, None)
        self.close_connecting_socket(connection)
        self.log.write("connect_failed", connection=connection.number, reason=str(error))
        self.handle(events.NotConnected(connection.number, classify_connect_error(error)))

    def close_connecting_socket(self, connection: Link) -> None:
        if connection.sock is None:
            return
        self.poller.remove(connection.sock)
        with contextlib.suppress(OSError):
            self.system.close(connection.sock)
        connection.sock = None

    # ---- commands -----------------------------------------------------------------------------------

    def send(self, number: int, commands: list[words.Command]) -> None:
        """Writes commands in order, or queues them if the engine has not read the earlier ones.

        Does nothing if the connection is not open. Closes the connection, and reports it as lost, if its
        engine has closed it or does not read.
        """
        connection = self.links.get(number)
        if connection is None or connection.pipe is None:
            return
        if connection.pipe.unsent:
            now = self.clock()
            for command in commands:
                connection.enqueue(command, now)
        elif not connection.protocol.open_runs and connection.pipe.has_ended():
            # The engine has closed an idle connection. No byte of these commands is sent, so none of them can
            # have run, and they may be sent on another connection.
            self.lost(connection, "closed by the engine while idle", request_ids(commands))
            return
        else:
            self.write(connection, commands)
        if len(connection.pipe.unsent) + connection.queue_size > MAX_UNSENT_SIZE:
            self.lost(
                connection, f"over {MAX_UNSENT_SIZE} bytes not read by the engine", connection.queued_ids()
            )

    def write(self, connection: Link, commands: list[words.Command]) -> None:
        """Writes commands. Those of which the kernel accepts no byte are queued and can be withdrawn."""
        commands = [command for command in commands if self.check_wanted(connection, command)]
        encoded = [connection.protocol.encode(command) for command in commands]
        accepted = connection.pipe.write(b"".join(encoded)) if encoded else 0
        if connection.pipe.broken:
            # The commands were passed to one send call, and one that fails has sent no byte of any of them.
            self.lost(connection, "broken while writing", [*request_ids(commands), *connection.queued_ids()])
            return
        if not connection.pipe.unsent:
            return
        now, end = self.clock(), 0
        for command, data in zip(commands, encoded):
            begin, end = end, end + len(data)
            if begin >= accepted:
                connection.pipe.discard_unsent(len(data))
                connection.enqueue(command, now)

    def check_wanted(self, connection: Link, command: words.Command) -> bool:
        """Returns false for a run whose time limit has passed or whose client has left, and reports it."""
        if not isinstance(command, words.Run) or command.within > 0 and self.client_is_waiting(command.id):
            return True
        self.handle(events.NotSent(connection.number, command.id))
        return False

    def write_queued(self, connection: Link) -> None:
        """Writes queued commands until the engine stops reading again."""
        while connection.queue and not connection.pipe.unsent and connection.number in self.links:
            self.write(connection, [connection.dequeue(self.clock())])

    # ---- answers ------------------------------------------------------------------------------------

    def ready(self, connection: Link, readable: bool, writable: bool) -> None:
        """Handles a socket that the poller has reported."""
        if connection.pipe is None:
            if connection.sock is not None:  # None if the router has closed it since the poll
                self.finish_connect(connection)
            return
        if writable and not connection.pipe.closed:
            connection.pipe.flush()
            self.write_queued(connection)
        if readable and not connection.pipe.closed:
            self.read(connection)

    def read(self, connection: Link) -> None:
        data = connection.pipe.read()
        if data is None:
            return
        if not data:
            self.lost(connection, "closed by the engine or broken", connection.queued_ids())
            return
        try:
            for message in connection.protocol.feed(data):
                self.handle(events.Said(connection.number, message))
            if connection.protocol.owed and not connection.pipe.closed:
                connection.pipe.write(connection.protocol.owed)
                connection.protocol.owed = b""
        except wire.Unreadable as error:
            self.lost(connection, f"unreadable: {error}", connection.queued_ids())

    # ---- closing ------------------------------------------------------------------------------------

    def lost(self, connection: Link, reason: str, never_sent: Iterable[str] = ()) -> None:
        """Closes a connection and reports it as lost.

        `never_sent`: ids of runs and tags of health checks of which no byte can have reached the engine.
        """
        if connection.pipe is None:
            self.close_connecting_socket(connection)
        else:
            connection.pipe.close()
        if self.links.pop(connection.number, None) is not None:
            self.handle(events.Lost(connection.number, reason, frozenset(never_sent)))

    def hang_up(self, number: int) -> None:
        """Closes a connection; no event follows."""
        connection = self.links.pop(number, None)
        if connection is None:
            return
        if connection.pipe is None:
            self.close_connecting_socket(connection)
        else:
            connection.pipe.close()


def request_ids(commands: Iterable[words.Command]) -> list[str]:
    """Ids of the runs and tags of the health checks among the commands."""
    runs = [command.id for command in commands if isinstance(command, words.Run)]
    return runs + [command.tag for command in commands if isinstance(command, words.Probe)]


def classify_connect_error(error: OSError) -> ConnectFault:
    if error.errno == errno.ECONNREFUSED:
        return ConnectFault.REFUSED
    return ConnectFault.LOCAL if error.errno in LOCAL_RESOURCE_ERRNOS else ConnectFault.UNREACHED
