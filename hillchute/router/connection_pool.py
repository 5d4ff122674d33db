"""The engines of the endpoint list, the connections to them, and the health checks on these.

Decides which connection can take one more attempt and which are of no more use. Does not judge an engine:
that is the scheduler's. What becomes of an attempt whose connection ends is the reducer's, which is
called back. Times are whole tenths of a millisecond.
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
from hillchute.engines.events import ConnectFault
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
    waiting: deque[Attempt] = field(default_factory=deque)  # attempts, until it is open
    health_checks: dict[str, Time] = field(default_factory=dict)  # tags: when they began
    attempts: dict[str, Attempt] = field(default_factory=dict)  # that were sent, by query

    @property
    def in_use(self) -> bool:
        """Whether anything is open on it or waits for it."""
        return bool(self.attempts or self.waiting or self.health_checks)


@dataclass(slots=True, eq=False)
class Endpoint:
    """One engine, as the endpoint list describes it."""

    engine: EngineId
    host: str
    port: int
    ready: bool
    started: Time = 0  # when its process started, on this router's clock
    connections: dict[int, EngineConnection] = field(default_factory=dict)


class ConnectionCallbacks(NamedTuple):
    """What a pool of connections tells of the attempts on them."""

    on_open: Callable[[Attempt, EngineConnection], None]  # the connection is open for the attempt
    on_attempt_ended: Callable[[Attempt, AttemptResult], None]  # with its connection


class ConnectionPool:
    """All connections of a router to its engines, at most `max_connections` of them."""

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
        # Engines report progress as often as the settings say; the rest is the round trip.
        self.silence_limit: Time = self.progress_interval + 2 * self.connect_timeout
        self.subset = Subset(settings.router, settings.routers)
        self.list_offset = 0  # offset of the last watch event that was taken in
        self.endpoints: dict[int, Endpoint] = {}
        self.connections: dict[int, EngineConnection] = {}

    # ---- connections ------------------------------------------------------------------------------

    def connection_for(self, endpoint: Endpoint, query: QueryState | None) -> EngineConnection | None:
        """A connection that can take one more attempt: an open one, one that is being opened, or a new one.

        Never one on which an earlier attempt of the same query was sent, so that no answer is taken for
        another's; never a silent one, since nothing would come of it. None if the pool is full.
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
        """Whether an attempt of this query was sent on the connection."""
        return query is not None and any(attempt.connection is connection for attempt in query.attempts)

    def is_silent(self, connection: EngineConnection) -> bool:
        """Whether something is open on it and nothing has come for longer than progress and answers take."""
        now = self.context.now
        if now - connection.last_received_at <= self.silence_limit:
            return False
        # A stream is silent while its client does not read: its own deadline bounds it.
        attempts = connection.attempts.values() if self.progress_interval else ()
        started = [attempt.started_at for attempt in attempts if attempt.stream is None]
        open_since = min([*connection.health_checks.values(), *started], default=None)
        return open_since is not None and now - open_since > self.silence_limit

    def _check_silence(self, number: int) -> None:
        """Closes a connection that stays open and says nothing any more: its machine may have vanished, or an
        answer stopped short, and it is of no use to any attempt on it."""
        connection = self.connections.get(number)
        if connection is None:
            return
        if self.is_silent(connection):
            self.context.emit(CloseConnection(number))
            self.on_lost(number, "silent")
        else:
            self.context.call_at(self.context.now + self.silence_limit // 4, self._check_silence, number)

    def _open(self, endpoint: Endpoint) -> EngineConnection | None:
        """Opens a connection; None if the pool is full and every connection in use."""
        if len(self.connections) >= self.max_connections and not self._close_idlest():
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

    def _close_idlest(self) -> bool:
        """Closes the connection that was idle longest, for a fleet with more engines than connections; False
        if every connection is in use."""
        idle = (connection for connection in self.connections.values() if not connection.in_use)
        connection = min(idle, key=lambda connection: connection.last_used_at, default=None)
        if connection is None:
            return False
        self._close(connection)
        return True

    def on_connected(self, number: int) -> None:
        """A connection is open: what waits for it is sent."""
        connection = self.connections.get(number)
        if connection is None:
            return
        now = self.context.now
        connection.is_open = True
        connection.last_received_at = now
        for tag in connection.health_checks:
            self.context.emit(SendCommand(number, words.Probe(tag)))
        while connection.waiting:
            self.on_open(connection.waiting.popleft(), connection)
        self.context.call_at(now + self.silence_limit, self._check_silence, number)
        if self.keepalive:
            self.context.call_at(now + self.keepalive // 2, self._close_if_idle, connection)

    def _close_if_idle(self, connection: EngineConnection) -> None:
        """Closes an idle connection before the engine does, so that no request crosses a close."""
        if connection.number not in self.connections:
            return
        now = self.context.now
        if not connection.attempts and now - connection.last_used_at >= self.keepalive // 2:
            self._close(connection)
        else:
            next_check = max(connection.last_used_at, now) + self.keepalive // 2
            self.context.call_at(next_check, self._close_if_idle, connection)

    def _close(self, connection: EngineConnection) -> None:
        """Closes a connection on which nothing is open."""
        self._forget(connection)
        self.context.emit(CloseConnection(connection.number))

    def _on_connect_timeout(self, number: int) -> None:
        """A connection that is not open in time is given up."""
        connection = self.connections.get(number)
        if connection is not None and not connection.is_open:
            self.context.emit(CloseConnection(number))
            self.on_not_connected(number, ConnectFault.UNREACHED)

    def on_not_connected(self, number: int, fault: ConnectFault) -> None:
        """A connection could not be opened; an engine is not blamed for what this machine lacks."""
        connection = self.connections.get(number)
        if connection is None:
            return
        self._forget(connection)
        result = AttemptResult(fault.value)
        for tag in connection.health_checks:
            self.scheduler.on_health_check(self.context.now, connection.engine, result, None)
            name = event_bus.engine_name(connection.engine)
            self.context.log("health_check", engine=name, number=tag, result=result.name.lower())
        while connection.waiting:
            self.on_attempt_ended(connection.waiting.popleft(), result)

    def on_lost(self, number: int, reason: str, never_sent: Container[str] = ()) -> None:
        """A connection has ended; `never_sent` holds queries and health checks that no byte has left for."""
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
        """Asks an engine for its load."""
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
            self.context.emit(SendCommand(connection.number, words.Probe(tag)))

    def on_health_check_answer(self, connection: EngineConnection, answer: words.Probed) -> None:
        """An engine has answered; what comes after the time limit was reported as timed out."""
        started_at = connection.health_checks.pop(answer.tag, None)
        if started_at is None:
            return
        now = self.context.now
        self.context.scheduler_notified = True
        if now - started_at <= self.connect_timeout:
            result = AttemptResult(answer.result)
            self.scheduler.on_health_check(now, connection.engine, result, answer.report)

    def _on_health_check_timeout(self, connection: EngineConnection, tag: str) -> None:
        """No answer in time. The tag stays known: a silent connection is recognised by it."""
        if tag in connection.health_checks and connection.number in self.connections:
            self.scheduler.on_health_check(self.context.now, connection.engine, AttemptResult.TIMED_OUT, None)

    # ---- the endpoint list ------------------------------------------------------------------------

    def on_endpoints_changed(self, update: event_bus.WatchEvent) -> None:
        """Takes in the endpoint list, or a change of it.

        An event bus may write an event again: one that is not newer than the last is ignored.
        """
        if update.kind == event_bus.WatchEventKind.KEEPALIVE or update.offset <= self.list_offset:
            return
        self.list_offset = update.offset
        listed = {entry.listing.engine: entry for entry in update.endpoints}
        for entry in listed.values():
            self._update_endpoint(entry)
        if update.kind == event_bus.WatchEventKind.SNAPSHOT:
            for engine, endpoint in self.endpoints.items():
                endpoint.ready = endpoint.ready and engine in listed
        listings = [entry.listing for entry in update.endpoints]
        self.scheduler.on_endpoint_list(self.context.now, ListMode(update.kind), listings)
        ready = [engine for engine, state in self.scheduler.engines.items() if state.ready]
        self.scheduler.on_subset(self.context.now, self.subset.select(ready))
        self._forget_endpoints()
        states = {event_bus.engine_name(engine): entry.listing.state for engine, entry in listed.items()}
        self.context.log("endpoint_list", offset=update.offset, mode=update.kind, engines=states)

    def _update_endpoint(self, entry: event_bus.Endpoint) -> None:
        listing = entry.listing
        ready = listing.state == EndpointState.READY
        endpoint = self.endpoints.get(listing.engine)
        if endpoint is None:
            self.endpoints[listing.engine] = Endpoint(
                listing.engine, entry.host, entry.port, ready, listing.started
            )
            return
        endpoint.ready = ready
        # An engine that has restarted knows nothing of the connections to the process before.
        restarted = listing.started > endpoint.started
        if restarted or (endpoint.host, endpoint.port) != (entry.host, entry.port):
            endpoint.host = entry.host
            endpoint.port = entry.port
            endpoint.started = listing.started
            self._replace_connections(endpoint)

    def _replace_connections(self, endpoint: Endpoint) -> None:
        """The engine is another process now: what waits for a connection to the old one was never sent."""
        for connection in list(endpoint.connections.values()):
            if not connection.is_open:
                waiting = list(connection.waiting)
                connection.waiting = deque()
                for attempt in waiting:
                    self.on_attempt_ended(attempt, AttemptResult.NOT_SENT)
            if not connection.attempts:
                self._close(connection)
            else:  # its attempts may still be answered; it takes no new one
                endpoint.connections.pop(connection.number)

    def _forget_endpoints(self) -> None:
        """Drops engines that the scheduler has forgotten: they are gone, with nothing open."""
        if len(self.endpoints) == len(self.scheduler.engines):
            return
        for engine, endpoint in list(self.endpoints.items()):
            if engine not in self.scheduler.engines:
                for connection in list(endpoint.connections.values()):
                    self._close(connection)
                del self.endpoints[engine]

    # ---- for the log ------------------------------------------------------------------------------

    def is_active(self, engine: EngineId, since: Time) -> bool:
        """Whether an engine has an open attempt, has reported its load since then, or is ejected."""
        state = self.scheduler.engines[engine]
        ejected = state.ejected_until > self.context.now
        return bool(state.open_attempts) or state.reported_at >= since or ejected

    def describe(self, endpoint: Endpoint) -> dict[str, object]:
        """What is believed of an engine, and what is open on the connections to it, as the log names it."""
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
    """How what was open on a lost connection ended."""
    return AttemptResult.NOT_SENT if never_sent else AttemptResult.CONNECTION_LOST
