"""The engines of the endpoint list, the connections to them, and the health checks on these connections.

Chooses the connection for an attempt, and closes connections that are idle or silent. The scheduler judges
engines; the reducer is called back for attempts whose connection ends. Times are integers in tenths of a
millisecond.
"""

from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from typing import NamedTuple

from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import (
    MILLISECOND,
    AttemptResult,
    EndpointState,
    EngineId,
    ListMode,
    Scheduler,
    Time,
)
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import ConnectFailure
from hillchute.router.effects import CloseConnection, OpenConnection, SendCommand
from hillchute.router.query_state import Attempt, QueryState
from hillchute.router.reducer_context import ReducerContext
from hillchute.settings import Settings


@dataclass(slots=True, eq=False)
class EngineConnection:
    """One connection to an engine."""

    number: int
    engine: EngineId
    is_open: bool = False
    last_received_at: Time = 0
    last_used_at: Time = 0
    waiting: deque[Attempt] = field(default_factory=deque)  # attempts to send once it is open
    health_checks: dict[str, Time] = field(default_factory=dict)  # start time by tag
    attempts: dict[str, Attempt] = field(default_factory=dict)  # sent attempts by query id

    @property
    def in_use(self) -> bool:
        """Whether any attempt or health check is open on it or waits for it."""
        return bool(self.attempts or self.waiting or self.health_checks)


@dataclass(slots=True, eq=False)
class Endpoint:
    """One engine of the endpoint list."""

    engine: EngineId
    host: str
    port: int
    ready: bool
    started: Time = 0  # start time of its process, on this router's clock
    connections: dict[int, EngineConnection] = field(default_factory=dict)


class ConnectionCallbacks(NamedTuple):
    """Calls by which the connection pool reports on attempts."""

    on_open: Callable[[Attempt, EngineConnection], None]  # the connection that the attempt waited for is open
    on_attempt_ended: Callable[[Attempt, AttemptResult], None]  # its connection was lost or did not open


class ConnectionPool:
    """All connections of a router to its engines, at most `max_connections`."""

    def __init__(
        self,
        context: ReducerContext,
        scheduler: Scheduler,
        settings: Settings,
        max_connections: int,
        callbacks: ConnectionCallbacks,
    ) -> None:
        self.context = context
        self.scheduler = scheduler
        self.max_connections = max_connections
        self.on_open, self.on_attempt_ended = callbacks
        self.max_streams = settings.connections.max_streams
        self.connect_timeout: Time = settings.connections.connect_timeout
        self.keepalive: Time = settings.connections.keepalive
        self.progress_interval: Time = settings.connections.progress_interval
        # Engines report progress at this interval; the rest allows for the round trip.
        self.silence_limit: Time = self.progress_interval + 2 * self.connect_timeout
        self.subset = Subset(settings.router, settings.routers)
        self.list_offset = 0  # offset of the last watch event that was applied
        self.endpoints: dict[int, Endpoint] = {}
        self.connections: dict[int, EngineConnection] = {}

    # ---- connections ------------------------------------------------------------------------------

    def connection_for(self, endpoint: Endpoint, query: QueryState | None) -> EngineConnection | None:
        """Returns a connection for one more attempt: an open one, one being opened, or a new one.

        Skips connections on which an earlier attempt of the same query was sent, so that answers are not
        confused, and silent connections, which may be dead. Returns None if the pool is full.
        """
        opening = None
        for connection in endpoint.connections.values():
            if len(connection.attempts) + len(connection.waiting) >= self.max_streams:
                continue
            if not connection.is_open:
                opening = opening or connection
            elif not self.is_silent(connection) and not self._was_used(connection, query):
                return connection
        return opening or self._open(endpoint)

    @staticmethod
    def _was_used(connection: EngineConnection, query: QueryState | None) -> bool:
        """Whether an attempt of this query was assigned to the connection."""
        return query is not None and any(attempt.connection is connection for attempt in query.attempts)

    def is_silent(self, connection: EngineConnection) -> bool:
        """Whether something is open on it and nothing was received within the silence limit."""
        now = self.context.now
        if now - connection.last_received_at <= self.silence_limit:
            return False
        # A stream may be silent while its client does not read; the query's deadline bounds it.
        attempts = connection.attempts.values() if self.progress_interval else ()
        started = [attempt.started_at for attempt in attempts if attempt.stream is None]
        open_since = min([*connection.health_checks.values(), *started], default=None)
        return open_since is not None and now - open_since > self.silence_limit

    def _check_silence(self, number: int) -> None:
        """Closes a silent connection, or schedules the next check.

        The engine's machine may have failed, or an answer may have been cut short.
        """
        connection = self.connections.get(number)
        if connection is None:
            return
        if self.is_silent(connection):
            self.context.emit(CloseConnection(number))
            self.on_lost(number, "silent")
        else:
            self.context.call_at(self.context.now + self.silence_limit // 4, self._check_silence, number)

    def _open(self, endpoint: Endpoint) -> EngineConnection | None:
        """Opens a connection; returns None if the pool is full and every connection is in use."""
        if len(self.connections) >= self.max_connections and not self._close_longest_idle():
            name = event_bus.engine_name(endpoint.engine)
            self.context.log("connections_exhausted", engine=name, connections=len(self.connections))
            return None
        now = self.context.now
        number = self.context.next_number()
        connection = EngineConnection(number, endpoint.engine, last_used_at=now)
        self.connections[number] = connection
        endpoint.connections[number] = connection
        self.context.emit(OpenConnection(number, endpoint.host, endpoint.port))
        self.context.call_at(now + self.connect_timeout, self._on_connect_timeout, number)
        return connection

    def _close_longest_idle(self) -> bool:
        """Closes the longest idle connection, to make room in a fleet with more engines than connections.

        Returns False if every connection is in use.
        """
        idle = (connection for connection in self.connections.values() if not connection.in_use)
        connection = min(idle, key=lambda connection: connection.last_used_at, default=None)
        if connection is None:
            return False
        self._close(connection)
        return True

    def on_connected(self, number: int) -> None:
        """Handles an opened connection: sends the health checks and attempts that wait for it."""
        connection = self.connections.get(number)
        if connection is None:
            return
        now = self.context.now
        connection.is_open = True
        connection.last_received_at = now
        for tag in connection.health_checks:
            self.context.emit(SendCommand(number, words.HealthCheckRequest(tag)))
        while connection.waiting:
            self.on_open(connection.waiting.popleft(), connection)
        self.context.call_at(now + self.silence_limit, self._check_silence, number)
        if self.keepalive:
            self.context.call_at(now + self.keepalive // 2, self._close_if_idle, connection)

    def _close_if_idle(self, connection: EngineConnection) -> None:
        """Closes an idle connection before the engine does, so that no request is sent on a closing one."""
        if connection.number not in self.connections:
            return
        now = self.context.now
        if not connection.attempts and now - connection.last_used_at >= self.keepalive // 2:
            self._close(connection)
        else:
            next_check = max(connection.last_used_at, now) + self.keepalive // 2
            self.context.call_at(next_check, self._close_if_idle, connection)

    def _close(self, connection: EngineConnection) -> None:
        """Closes a connection that has no open attempts."""
        self._forget(connection)
        self.context.emit(CloseConnection(connection.number))

    def _on_connect_timeout(self, number: int) -> None:
        """Closes a connection that did not open in time."""
        connection = self.connections.get(number)
        if connection is not None and not connection.is_open:
            self.context.emit(CloseConnection(number))
            self.on_not_connected(number, ConnectFailure.UNREACHABLE)

    def on_not_connected(self, number: int, failure: ConnectFailure) -> None:
        """Handles a connection that could not be opened.

        `failure` distinguishes a lack of local resources, which says nothing about the engine.
        """
        connection = self.connections.get(number)
        if connection is None:
            return
        self._forget(connection)
        result = AttemptResult(failure.value)
        for tag in connection.health_checks:
            self.scheduler.on_health_check(self.context.now, connection.engine, result, None)
            name = event_bus.engine_name(connection.engine)
            self.context.log("health_check", engine=name, number=tag, result=result.name.lower())
        while connection.waiting:
            self.on_attempt_ended(connection.waiting.popleft(), result)

    def on_lost(self, number: int, reason: str, never_sent: Container[str] = ()) -> None:
        """Handles a lost connection; of the queries and health checks in `never_sent`, no byte was sent."""
        connection = self.connections.get(number)
        if connection is None:
            return
        self._forget(connection)
        name = event_bus.engine_name(connection.engine)
        in_flight = len(connection.attempts)
        self.context.log("connection_lost", engine=name, reason=reason, in_flight=in_flight)
        for query, attempt in list(connection.attempts.items()):
            self.on_attempt_ended(attempt, lost_result(query in never_sent))
        for tag in connection.health_checks:
            result = lost_result(tag in never_sent)
            self.scheduler.on_health_check(self.context.now, connection.engine, result, None)

    def _forget(self, connection: EngineConnection) -> None:
        self.connections.pop(connection.number, None)
        if connection.engine in self.endpoints:
            self.endpoints[connection.engine].connections.pop(connection.number, None)

    # ---- health checks ----------------------------------------------------------------------------

    def start_health_check(self, engine: EngineId) -> None:
        """Sends a health check, which asks an engine for its load."""
        now = self.context.now
        connection = self.connection_for(self.endpoints[engine], None)
        if connection is None:
            self.scheduler.on_health_check(now, engine, AttemptResult.NOT_SENT, None)
            return
        tag = f"p{self.context.next_number()}"
        connection.health_checks[tag] = now
        connection.last_used_at = now
        self.context.call_at(now + self.connect_timeout, self._on_health_check_timeout, connection, tag)
        if connection.is_open:
            self.context.emit(SendCommand(connection.number, words.HealthCheckRequest(tag)))

    def on_health_check_answer(self, connection: EngineConnection, answer: words.HealthCheckAnswer) -> None:
        """Reports the answer to a health check; one that comes late was already reported as timed out."""
        started_at = connection.health_checks.pop(answer.tag, None)
        if started_at is None:
            return
        now = self.context.now
        self.context.scheduler_notified = True
        if now - started_at <= self.connect_timeout:
            result = AttemptResult(answer.result)
            self.scheduler.on_health_check(now, connection.engine, result, answer.report)

    def _on_health_check_timeout(self, connection: EngineConnection, tag: str) -> None:
        """Reports a health check without a timely answer; its tag is kept, to detect a silent connection."""
        if tag in connection.health_checks and connection.number in self.connections:
            self.scheduler.on_health_check(self.context.now, connection.engine, AttemptResult.TIMED_OUT, None)

    # ---- the endpoint list ------------------------------------------------------------------------

    def on_endpoints_changed(self, update: event_bus.WatchEvent) -> None:
        """Applies the endpoint list or a change of it.

        The event bus may repeat an event: events that are not newer than the last one are ignored.
        """
        if update.kind == event_bus.WatchEventKind.KEEPALIVE or update.offset <= self.list_offset:
            return
        self.list_offset = update.offset
        listed = {listed_endpoint.entry.engine: listed_endpoint for listed_endpoint in update.endpoints}
        for listed_endpoint in listed.values():
            self._update_endpoint(listed_endpoint)
        if update.kind == event_bus.WatchEventKind.SNAPSHOT:
            for engine, endpoint in self.endpoints.items():
                endpoint.ready = endpoint.ready and engine in listed
        entries = [listed_endpoint.entry for listed_endpoint in update.endpoints]
        self.scheduler.on_endpoint_list(self.context.now, ListMode(update.kind), entries)
        ready = [engine for engine, state in self.scheduler.engines.items() if state.ready]
        self.scheduler.on_subset(self.context.now, self.subset.select(ready))
        self._forget_endpoints()
        states = {
            event_bus.engine_name(engine): listed_endpoint.entry.state
            for engine, listed_endpoint in listed.items()
        }
        self.context.log("endpoint_list", offset=update.offset, mode=update.kind, engines=states)

    def _update_endpoint(self, listed_endpoint: event_bus.Endpoint) -> None:
        entry = listed_endpoint.entry
        ready = entry.state == EndpointState.READY
        endpoint = self.endpoints.get(entry.engine)
        if endpoint is None:
            self.endpoints[entry.engine] = Endpoint(
                entry.engine, listed_endpoint.host, listed_endpoint.port, ready, entry.started
            )
            return
        endpoint.ready = ready
        # Connections to the previous process of a restarted engine are useless.
        restarted = entry.started > endpoint.started
        if restarted or (endpoint.host, endpoint.port) != (listed_endpoint.host, listed_endpoint.port):
            endpoint.host = listed_endpoint.host
            endpoint.port = listed_endpoint.port
            endpoint.started = entry.started
            self._replace_connections(endpoint)

    def _replace_connections(self, endpoint: Endpoint) -> None:
        """Drops the connections to an engine's old process or address; attempts that wait were never sent."""
        for connection in list(endpoint.connections.values()):
            if not connection.is_open:
                waiting = list(connection.waiting)
                connection.waiting = deque()
                for attempt in waiting:
                    self.on_attempt_ended(attempt, AttemptResult.NOT_SENT)
            if not connection.attempts:
                self._close(connection)
            else:  # open attempts may still be answered; no new ones are assigned to it
                endpoint.connections.pop(connection.number)

    def _forget_endpoints(self) -> None:
        """Removes engines that the scheduler has removed: they are gone and have no open attempts."""
        if len(self.endpoints) == len(self.scheduler.engines):
            return
        for engine, endpoint in list(self.endpoints.items()):
            if engine not in self.scheduler.engines:
                for connection in list(endpoint.connections.values()):
                    self._close(connection)
                del self.endpoints[engine]

    # ---- logging ----------------------------------------------------------------------------------

    def is_active(self, engine: EngineId, since: Time) -> bool:
        """Whether an engine has an open attempt, has reported its load since `since`, or is ejected."""
        state = self.scheduler.engines[engine]
        ejected = state.ejected_until > self.context.now
        return bool(state.open_attempts) or state.reported_at >= since or ejected

    def describe(self, endpoint: Endpoint) -> dict[str, object]:
        """Returns the log fields of an engine: its state as this router knows it, and its connections."""
        state = self.scheduler.engines[endpoint.engine]
        now = self.context.now
        connections = endpoint.connections.values()
        return {
            "ready": endpoint.ready,
            "connections": len(connections),
            "open_attempts": sum(
                len(connection.attempts) + len(connection.waiting) for connection in connections
            ),
            "in_flight": state.open_attempts,
            "reported_threads": state.reported_threads and round(state.reported_threads, 1),
            "memory_granted": state.memory_granted,
            "report_age_ms": (now - state.reported_at) / MILLISECOND,
            "ejected_ms": max(0, state.ejected_until - now) / MILLISECOND,
        }


def lost_result(never_sent: bool) -> AttemptResult:
    """Returns the result of an attempt or health check on a lost connection."""
    return AttemptResult.NOT_SENT if never_sent else AttemptResult.CONNECTION_LOST
