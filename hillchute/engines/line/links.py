"""Connections to SQL engines that speak the line protocol.

Owns their sockets, from the start of the connect on, and queues commands for engines that do not read.
Reports the end of a connection with its reason; the reducer decides what follows, and whether the engine is
healthy. The reducer also limits how long a connect may take.
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
from hillchute.engines.events import ConnectFailure, SendObstacle
from hillchute.engines.line import wire
from hillchute.engines.line.exchange import LineProtocol
from hillchute.log import Log
from hillchute.net.buffered_socket import BufferedSocket
from hillchute.net.poller import Poller
from hillchute.net.system_calls import LOCAL_RESOURCE_ERRNOS

READ_SIZE = 65_536  # bytes per read
# Bytes that may wait for an engine that does not read; beyond that, its connection is closed.
MAX_UNSENT_SIZE = 262_144
MILLISECOND = 10  # tenths of a millisecond


class QueuedCommand(NamedTuple):
    """A command of which no byte was written yet."""

    command: words.Command
    queued_at: Time


class LineConnection:
    """A connection to an engine, from the start of the connect on."""

    __slots__ = (
        "number",
        "connecting_socket",
        "buffered_socket",
        "protocol",
        "queue",
        "queue_size",
        "partly_sent_run",
        "last_served_round",
    )

    def __init__(self, number: int, connecting_socket: socket.socket | None = None) -> None:
        self.number = number
        self.connecting_socket = connecting_socket  # until the connection is open
        self.buffered_socket: BufferedSocket | None = None  # once the connection is open
        self.protocol = LineProtocol()
        self.queue: deque[QueuedCommand] = deque()
        self.queue_size = 0  # bytes of the statements in the queue
        # Id of the run that the oldest unsent bytes belong to; outdated once nothing is unsent.
        self.partly_sent_run: str | None = None
        self.last_served_round = 0  # number of the event loop round in which it was last served

    def enqueue(self, command: words.Command, now: Time) -> None:
        """Queues a command; if it cancels a run that is still queued, removes that run instead.

        Queued commands, unlike bytes in a send buffer, can be withdrawn: a run whose client has left or whose
        deadline has passed while the engine did not read is never sent.
        """
        if isinstance(command, words.CancelRun | words.DiscardResult) and self.remove_queued(command.id):
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
        """Takes the first queued command.

        The time limit of a run is reduced by its time in the queue and may then be zero or negative.
        """
        command, queued_at = self.queue.popleft()
        self.queue_size -= statement_size(command)
        if not isinstance(command, words.StartRun):
            return command
        return command._replace(timeout_ms=command.timeout_ms - -(-(now - queued_at) // MILLISECOND))

    def queued_ids(self) -> list[str]:
        """Ids of the runs and tags of the health checks in the queue."""
        return request_ids(item.command for item in self.queue)


def is_run(command: words.Command, id: str) -> bool:
    return isinstance(command, words.StartRun) and command.id == id


def statement_size(command: words.Command) -> int:
    return len(command.statement) if isinstance(command, words.StartRun) else 0


class LineConnections:
    """All connections to engines. `handle` receives their events."""

    def __init__(
        self,
        poller: Poller,
        log: Log,
        handle: Callable[[events.Event], None],
        clock: Callable[[], Time],
        send_obstacle: events.SendCheck,
    ) -> None:
        """`send_obstacle` is called right before a run is written."""
        self.send_obstacle = send_obstacle
        self.poller, self.log, self.handle, self.clock = poller, log, handle, clock
        self.system = poller.system
        self.connections: dict[int, LineConnection] = {}  # by number

    # ---- connecting ---------------------------------------------------------------------------------

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to connect, without a time limit: the reducer calls close_connection() after its own."""
        connection = self.connections[number] = LineConnection(number)
        try:
            connection.connecting_socket = self.system.open_stream(
                socket.AF_INET6 if ":" in host else socket.AF_INET
            )
            self.system.prepare(connection.connecting_socket)
            if self.start_connect(connection, (host, port)):
                self.on_connected(connection)
            else:
                self.poller.add(connection.connecting_socket, connection, writing=True)
        except OSError as error:
            self.on_connect_failed(connection, error)

    def start_connect(self, connection: LineConnection, address: tuple[str, int]) -> bool:
        """Returns whether the connection is open already; raises OSError if the connect has failed."""
        try:
            self.system.connect(connection.connecting_socket, address)
        except OSError as error:
            # An interrupted connect continues in the background: connect(2).
            if error.errno not in (errno.EINPROGRESS, errno.EINTR):
                raise
            return False
        return True

    def finish_connect(self, connection: LineConnection) -> None:
        """Handles the end of a pending connect."""
        try:
            error_number = self.system.connect_error(connection.connecting_socket)
            if error_number:
                raise OSError(error_number, os.strerror(error_number))
            self.poller.remove(connection.connecting_socket)
            self.on_connected(connection)
        except OSError as error:
            self.on_connect_failed(connection, error)

    def on_connected(self, connection: LineConnection) -> None:
        connection.buffered_socket = BufferedSocket(
            connection.connecting_socket, self.poller, connection, READ_SIZE
        )
        connection.connecting_socket = None
        self.handle(events.Connected(connection.number))

    def on_connect_failed(self, connection: LineConnection, error: OSError) -> None:
        self.connections.pop(connection.number, None)
        self.close_connecting_socket(connection)
        self.log.write("connect_failed", connection=connection.number, reason=str(error))
        self.handle(events.ConnectFailed(connection.number, classify_connect_error(error)))

    def close_connecting_socket(self, connection: LineConnection) -> None:
        if connection.connecting_socket is None:
            return
        self.poller.remove(connection.connecting_socket)
        with contextlib.suppress(OSError):
            self.system.close(connection.connecting_socket)
        connection.connecting_socket = None

    # ---- commands -----------------------------------------------------------------------------------

    def send(self, number: int, commands: list[words.Command]) -> None:
        """Writes commands in order, or queues them if the engine has not read the earlier ones.

        Does nothing if the connection is not open. Closes the connection, and reports it as lost, if its
        engine has closed it or does not read.
        """
        connection = self.connections.get(number)
        if connection is None or connection.buffered_socket is None:
            return
        for command in commands:
            if isinstance(command, words.WithdrawRun):
                self.withdraw(connection, command.id)
        commands = [command for command in commands if not isinstance(command, words.WithdrawRun)]
        if not commands or number not in self.connections:
            return
        if connection.buffered_socket.unsent:
            now = self.clock()
            for command in commands:
                connection.enqueue(command, now)
        elif not connection.protocol.open_runs and connection.buffered_socket.has_ended():
            # The engine has closed an idle connection. No byte of these commands is sent, so none of them can
            # have run, and they may be sent on another connection.
            self.drop(connection, "closed by the engine while idle", request_ids(commands))
            return
        else:
            self.write(connection, commands)
        if len(connection.buffered_socket.unsent) + connection.queue_size > MAX_UNSENT_SIZE:
            self.drop(
                connection, f"over {MAX_UNSENT_SIZE} bytes not read by the engine", connection.queued_ids()
            )

    def withdraw(self, connection: LineConnection, id: str) -> None:
        """Takes back a run of which not every byte was written; does nothing for any other run.

        A part of a command can only be kept from its engine by closing the connection before the rest of it.
        """
        if connection.remove_queued(id):
            self.handle(events.RunNotSent(connection.number, id, SendObstacle.REPEAT_WINDOW))
        elif connection.partly_sent_run == id and connection.buffered_socket.unsent:
            self.drop(connection, "a run was withdrawn that was sent in part", connection.queued_ids())

    def write(self, connection: LineConnection, commands: list[words.Command]) -> None:
        """Writes commands. Those of which the kernel accepts no byte are queued and can be withdrawn."""
        commands = [command for command in commands if self.check_sendable(connection, command)]
        encoded = [connection.protocol.encode(command) for command in commands]
        accepted = connection.buffered_socket.write(b"".join(encoded)) if encoded else 0
        if connection.buffered_socket.broken:
            # The commands were passed to one send call, and one that fails has sent no byte of any of them.
            self.drop(connection, "broken while writing", [*request_ids(commands), *connection.queued_ids()])
            return
        if not connection.buffered_socket.unsent:
            return
        now, end = self.clock(), 0
        for command, data in zip(commands, encoded):
            begin, end = end, end + len(data)
            if begin >= accepted:
                connection.buffered_socket.discard_unsent(len(data))
                connection.enqueue(command, now)
            elif end > accepted:
                connection.partly_sent_run = command.id if isinstance(command, words.StartRun) else None

    def check_sendable(self, connection: LineConnection, command: words.Command) -> bool:
        """Returns false for a run that must not be sent any more, and reports it."""
        if not isinstance(command, words.StartRun):
            return True
        obstacle = self.send_obstacle(connection.number, command.id)
        if obstacle is None and command.timeout_ms <= 0:
            obstacle = SendObstacle.TIME_LIMIT
        if obstacle is not None:
            self.handle(events.RunNotSent(connection.number, command.id, obstacle))
        return obstacle is None

    def write_queued(self, connection: LineConnection) -> None:
        """Writes queued commands until the engine stops reading again."""
        while (
            connection.queue
            and not connection.buffered_socket.unsent
            and connection.number in self.connections
        ):
            self.write(connection, [connection.dequeue(self.clock())])

    # ---- answers ------------------------------------------------------------------------------------

    def ready(self, connection: LineConnection, readable: bool, writable: bool) -> None:
        """Handles a socket that the poller has reported."""
        if connection.buffered_socket is None:
            if connection.connecting_socket is not None:  # None if the router has closed it since the poll
                self.finish_connect(connection)
            return
        if writable and not connection.buffered_socket.closed:
            connection.buffered_socket.flush()
            self.write_queued(connection)
        if readable and not connection.buffered_socket.closed:
            self.read(connection)

    def read(self, connection: LineConnection) -> None:
        data = connection.buffered_socket.read()
        if data is None:
            return
        if not data:
            self.drop(connection, "closed by the engine or broken", connection.queued_ids())
            return
        try:
            for message in connection.protocol.feed(data):
                self.handle(events.MessageReceived(connection.number, message))
            if connection.protocol.pending_output and not connection.buffered_socket.closed:
                connection.buffered_socket.write(connection.protocol.pending_output)
                connection.protocol.pending_output = b""
        except wire.MalformedAnswerError as error:
            self.drop(connection, f"unreadable: {error}", connection.queued_ids())

    # ---- closing ------------------------------------------------------------------------------------

    def drop(self, connection: LineConnection, reason: str, never_sent: Iterable[str] = ()) -> None:
        """Closes a connection and reports it as lost.

        `never_sent`: ids of runs and tags of health checks of which no byte can have reached the engine.
        """
        if connection.buffered_socket is None:
            self.close_connecting_socket(connection)
        else:
            connection.buffered_socket.close()
        if self.connections.pop(connection.number, None) is not None:
            self.handle(events.ConnectionLost(connection.number, reason, frozenset(never_sent)))

    def close_connection(self, number: int) -> None:
        """Closes a connection; no event follows."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return
        if connection.buffered_socket is None:
            self.close_connecting_socket(connection)
        else:
            connection.buffered_socket.close()


def request_ids(commands: Iterable[words.Command]) -> list[str]:
    """Ids of the runs and tags of the health checks among the commands."""
    runs = [command.id for command in commands if isinstance(command, words.StartRun)]
    return runs + [command.tag for command in commands if isinstance(command, words.HealthCheckRequest)]


def classify_connect_error(error: OSError) -> ConnectFailure:
    if error.errno == errno.ECONNREFUSED:
        return ConnectFailure.REFUSED
    return (
        ConnectFailure.LOCAL_RESOURCE if error.errno in LOCAL_RESOURCE_ERRNOS else ConnectFailure.UNREACHABLE
    )
