"""The reducer: holds the state of a router's queries and turns (event, now) into effects.

Performs no I/O, reads no clock and is independent of protocols. Owns the open queries and answers each of
them once; attempts.py manages their attempts and connection_pool.py the connections to engines. The scheduler
decides what runs where and when, what is rejected or failed, and how long an attempt may take. Times are
integers in tenths of a millisecond.
"""

from hillchute.decision.interface import (
    SECOND,
    Cancel,
    Decision,
    EngineId,
    Fail,
    HealthCheck,
    NewQuery,
    QueryId,
    Reject,
    Report,
    Scheduler,
    SetExecutionOptions,
    SetTimer,
    Submit,
    Time,
    WatchEndpoints,
)
from hillchute.engines import words
from hillchute.engines.events import (
    Connected,
    ConnectFailed,
    ConnectionLost,
    MessageReceived,
    RunNotSent,
    SendObstacle,
)
from hillchute.fronts.events import ClientGone, QueryReceived, StreamDelivered, StreamUnreadable
from hillchute.router.answer_log import AnswerLog, outcome_text
from hillchute.router.attempts import Attempts
from hillchute.router.claims import Claims
from hillchute.router.connection_pool import ConnectionCallbacks, ConnectionPool, EngineConnection
from hillchute.router.effects import AbortStream, Effect, FailQuery, RejectQuery
from hillchute.router.events import (
    AlarmDue,
    ClaimDecided,
    EndpointsChanged,
    Event,
    PeersChanged,
    ShutdownStarted,
)
from hillchute.router.loop_lag import LoopLag
from hillchute.router.query_state import Attempt, ClaimState, QueryOutcome, QueryState
from hillchute.router.recent_queries import RecentQueries
from hillchute.router.reducer_context import ReducerContext
from hillchute.router.request_rules import MAX_SHOWN_CHARACTERS, RequestRules
from hillchute.router.send_check import find_obstacle
from hillchute.settings import Settings
from hillchute.statements.request import Request

DEFAULT_ID_RETENTION: Time = 60 * SECOND  # where no queue timeout is stated
LAST_ANSWER_MARGIN: Time = 500  # 50 ms before the client's timeout, a query is answered in any case


class Reducer:
    """The queries of a router.

    `claims_idempotent`: queries with an idempotency key wait for the answer history. `claims_non_idempotent`:
    so do other queries that change data; with partners, only the owner of their slot may run them.
    """

    def __init__(self, scheduler: Scheduler, settings: Settings, max_connections: int) -> None:
        self.scheduler = scheduler
        self.context = ReducerContext(max(1, settings.tick))
        self.rules = RequestRules(settings)
        self.attempts = Attempts(self.context, scheduler, self.rules, self)
        callbacks = ConnectionCallbacks(on_open=self.on_connection_open, on_attempt_ended=self.attempts.end)
        self.pool = ConnectionPool(self.context, scheduler, settings, max_connections, callbacks)
        self.loop_lag = LoopLag()
        self.answer_log = AnswerLog(self.context, self.pool, self.loop_lag)
        self.claims = Claims(self.context, self, settings.retries.order_pause)
        self.claims_idempotent = False
        self.claims_non_idempotent = False
        self.shutdown_deadline: Time | None = None
        self.queries: dict[QueryId, QueryState] = {}
        self.recent_queries = RecentQueries(settings.longest_queue_timeout or DEFAULT_ID_RETENTION)
        self.unanswered: dict[int, QueryState] = {}  # by session

    def reduce(self, event: Event, now: Time) -> list[Effect]:
        """Handles one event; returns the resulting effects in order."""
        context = self.context
        # An engine's message gives the scheduler nothing to decide unless it ends an attempt.
        context.begin_event(now, scheduler_notified=not isinstance(event, MessageReceived))
        if context.timers and context.timers[0].due <= now:
            # After a pause, any event may be the first to find the timers late, not only the alarm.
            self.loop_lag.record_lag(now, now - context.timers[0].due)
        try:
            self.handle(event)
        except Exception:  # noqa: BLE001 - an exception in one event must not stop the router
            context.log_exception(type(event).__name__)
        context.run_due_timers()
        if context.scheduler_notified:
            self.carry_out_decisions()
        context.update_alarm()
        return context.effects

    def handle(self, event: Event) -> None:
        """Dispatches an event to its handler."""
        match event:
            case MessageReceived(number, message):  # by far the most frequent
                self.on_engine_message(number, message)
            case QueryReceived(session, request, received_at):
                self.on_query(session, request, received_at)
            case ClientGone(session):
                self.on_client_left(session)
            case StreamDelivered(session):
                self.on_stream_delivered(session)
            case StreamUnreadable(session, reason):
                self.on_stream_unreadable(session, reason)
            case ClaimDecided():
                self.claims.on_decided(event)
            case PeersChanged(reports):
                self.on_peers_changed(reports)
            case ShutdownStarted(answer_by):
                self.on_shutdown(answer_by)
            case AlarmDue():
                pass  # due timers run with every event
            case _:
                self.handle_engine_event(event)

    def handle_engine_event(
        self, event: Connected | ConnectFailed | RunNotSent | ConnectionLost | EndpointsChanged
    ) -> None:
        """Dispatches an event of the endpoint list or of an engine connection to its handler."""
        match event:
            case Connected(number):
                self.pool.on_connected(number)
            case ConnectFailed(number, failure):
                self.pool.on_not_connected(number, failure)
            case RunNotSent(number, query, reason):
                connection = self.pool.connections.get(number)
                if connection is not None:
                    self.attempts.on_not_sent(connection, query, reason)
            case ConnectionLost(number, reason, never_sent):
                self.pool.on_lost(number, reason, never_sent)
            case EndpointsChanged(update):
                self.pool.on_endpoints_changed(update)

    # ---- decisions --------------------------------------------------------------------------------

    def carry_out_decisions(self) -> None:
        """Carries out the scheduler's decisions until there are none left."""
        try:
            while (decision := self.scheduler.next_decision(self.context.now)) is not None:
                self.carry_out(decision)
        except Exception:  # noqa: BLE001 - an exception in the scheduler must not stop the router
            self.context.log_exception("decision")

    def carry_out(self, decision: Decision) -> None:
        """Carries out one decision."""
        match decision:
            case Submit(query_id):
                self.attempts.submit(self.pool, self.queries[query_id], decision)
            case SetExecutionOptions(query_id, _, priority):
                self.attempts.set_priority(self.queries[query_id], priority)
            case Reject(query_id, retry_after, reason):
                query = self.queries[query_id]
                self.answer(query, RejectQuery(query.session, retry_after), QueryOutcome.REJECTED, reason)
            case Fail(query_id, reason):
                query = self.queries[query_id]
                self.answer(query, FailQuery(query.session, "killed"), QueryOutcome.FAILED, reason)
            case Cancel(query_id, number):
                if query_id in self.queries:
                    self.attempts.cancel(self.queries[query_id].attempts[number])
            case HealthCheck(engine):
                self.pool.start_health_check(engine)
            case SetTimer(time, name):
                self.context.call_at(time, self.on_scheduler_timer, name)
            case WatchEndpoints():
                pass  # the event bus is always watched

    def on_scheduler_timer(self, name: str) -> None:
        """Calls the scheduler at a time that it asked for."""
        self.scheduler.on_timer(self.context.now, name)

    def on_peers_changed(self, reports: list[tuple[EngineId, Report, Time]]) -> None:
        """Passes other routers' load reports, and changes among these routers, to the scheduler."""
        for engine, report, age in reports:
            self.scheduler.on_load_report(self.context.now, engine, report, age)
        self.scheduler.on_fleet_changed(self.context.now)

    # ---- engines ----------------------------------------------------------------------------------

    def on_engine_message(self, number: int, message: words.EngineMessage) -> None:
        """Handles a message of an engine; None only shows that the connection is alive."""
        connection = self.pool.connections.get(number)
        if connection is None:
            return
        connection.last_received_at = self.context.now
        if isinstance(message, words.HealthCheckAnswer):
            self.pool.on_health_check_answer(connection, message)
        else:
            self.attempts.on_message(connection, message)

    def on_connection_open(self, attempt: Attempt, connection: EngineConnection) -> None:
        """Sends an attempt once the connection that it waited for is open."""
        self.attempts.send(attempt, connection, self.pool.endpoints.get(attempt.engine))

    # ---- queries ----------------------------------------------------------------------------------

    def on_query(self, session: int, request: Request, received_at: Time) -> None:
        """Handles a received query: fails it if it is invalid, rejects it under overload, or accepts it."""
        reason = self.invalid_reason(session, request)
        if reason is not None:
            self.context.emit(FailQuery(session, reason))
            self.context.log("invalid_query", session=session, reason=reason)
            return
        if len(self.unanswered) >= self.rules.max_open_queries:
            self.context.emit(RejectQuery(session, 0))
            return
        now = self.context.now
        group = self.rules.group_of(request)
        if not self.scheduler.admits(now, group, self.loop_lag.standing_delay):
            self.context.emit(RejectQuery(session, 0))
            self.answer_log.count(
                request.group,
                f"{QueryOutcome.REJECTED}: router_overloaded",
                now - received_at,
                len(self.unanswered),
            )
            return
        query = self.add_query(session, request, received_at)
        if self.claims_idempotent and group in self.rules.idempotent and request.idempotency_key is not None:
            self.claims.claim(query, ordered=group in self.rules.ordered)
        elif self.claims_non_idempotent and group in self.rules.non_idempotent:
            self.claims.claim(query, is_transient=True)
        else:
            self.schedule(query)

    def invalid_reason(self, session: int, request: Request) -> str | None:
        """Returns why a request is not a valid query for this router, or None if it is valid."""
        if request.group not in self.rules.groups:
            return f"field route names no resource group: {request.group[:MAX_SHOWN_CHARACTERS]}"
        if request.id in self.queries or self.recent_queries.contains(request.id, self.context.now):
            return "field trace has been used before"
        if session in self.unanswered:
            return "a query is open on this session"
        return self.rules.invalid_reason(request)

    def add_query(self, session: int, request: Request, received_at: Time) -> QueryState:
        """Adds a query. Its deadline leaves time to send the answer, based on the loop's recent lag."""
        client_timeout = request.client_timeout
        deadline = received_at + client_timeout - self.loop_lag.answer_margin(client_timeout)
        if self.shutdown_deadline is not None:
            deadline = min(deadline, self.shutdown_deadline)
        query = QueryState(request, session, received_at, deadline, self.context.next_number())
        self.queries[request.id] = query
        self.context.open_queries.add(query.number)
        self.unanswered[session] = query
        last_moment = max(deadline, received_at + client_timeout - LAST_ANSWER_MARGIN)
        # On a query that its client wrote ahead and that is overdue already, the scheduler decides first.
        last_moment = max(last_moment, self.context.now + 1)
        self.context.call_for_query_at(last_moment, query.number, self.on_timeout, request.id, query.number)
        return query

    def schedule(self, query: QueryState) -> None:
        """Passes a query to the scheduler."""
        request = query.request
        group = self.rules.group_of(request)
        new_query = NewQuery(
            request.id,
            group,
            query.deadline,
            table_group=request.table_group,
            cost=request.cost,
            memory_mb=request.memory_mb,
            ordering_key=request.ordering_key if group in self.rules.ordered else None,
        )
        self.scheduler.on_query(self.context.now, new_query)

    def find_query(self, query_id: QueryId, number: int) -> QueryState | None:
        """Returns the query with this id and number, or None if it has ended (its id may be in use again)."""
        query = self.queries.get(query_id)
        return query if query is not None and query.number == number else None

    def waiting_session(self, query_id: QueryId) -> int | None:
        """Returns the session that waits for the answer to a query, or None."""
        query = self.queries.get(query_id)
        return None if query is None or query.answered else query.session

    def send_obstacle(self, connection_number: int, query_id: QueryId, now: Time) -> SendObstacle | None:
        """Returns why a run that was passed to a connection, but not written, must not be sent any more."""
        connection = self.pool.connections.get(connection_number)
        attempt = None if connection is None else connection.attempts.get(query_id)
        return SendObstacle.NOT_OPEN if attempt is None else find_obstacle(attempt, now)

    def on_client_left(self, session: int) -> None:
        """Handles a client that cancelled its query or disconnected."""
        query = self.unanswered.get(session)
        if query is not None:
            self.scheduler.on_client_left(self.context.now, query.request.id)
            self.answer(query, None, QueryOutcome.CLIENT_LEFT)

    def on_stream_delivered(self, session: int) -> None:
        """Handles a stream that was delivered completely."""
        query = self.unanswered.get(session)
        if query is not None:
            self.answer(query, None, QueryOutcome.SERVED)

    def on_stream_unreadable(self, session: int, reason: str) -> None:
        """Handles a stream that can't be read while it is passed on to a client."""
        query = self.unanswered.get(session)
        if query is None:
            return
        self.attempts.end_streams(query)
        self.scheduler.on_client_left(self.context.now, query.request.id)
        self.answer(query, AbortStream(session, f"the result can't be read: {reason}"), QueryOutcome.ABORTED)

    def on_shutdown(self, answer_by: Time) -> None:
        """Starts the shutdown: all queries, including those still to come, are answered by `answer_by`."""
        self.shutdown_deadline = answer_by
        self.scheduler.on_shutdown(self.context.now, answer_by)
        for query in list(self.unanswered.values()):
            query.deadline = min(query.deadline, answer_by)
            query_id, number = query.request.id, query.number
            last_moment = query.deadline + 2 * LAST_ANSWER_MARGIN
            self.context.call_for_query_at(last_moment, number, self.on_timeout, query_id, number)
            self.context.call_for_query_at(
                query.deadline, number, self.attempts.on_stream_timeout, query_id, number
            )

    # ---- answers ----------------------------------------------------------------------------------

    def on_timeout(self, query_id: QueryId, number: int) -> None:
        """Answers a query at the last moment if no decision was made in time."""
        query = self.find_query(query_id, number)
        if query is None or query.answered:
            return
        if query.claim is ClaimState.ASKED:
            rejection = RejectQuery(query.session, 0)
            self.answer(query, rejection, QueryOutcome.REJECTED, "history: no verdict in time")
            return
        failure = FailQuery(query.session, "no answer in time")
        if query.claim is ClaimState.FORWARDED:
            self.answer(query, failure, QueryOutcome.FAILED, "forwarded: no answer in time")
            return
        # After a pause of the process, this timer and the scheduler's own are due at the same time.
        last_moment = query.received_at + query.request.client_timeout - LAST_ANSWER_MARGIN
        late = self.context.now - max(query.deadline, last_moment)
        event = "answered_late" if late > LAST_ANSWER_MARGIN else "fault"
        self.context.log(event, what="unanswered at its deadline", query=query.request.id)
        self.scheduler.on_client_left(self.context.now, query.request.id)
        self.answer(query, failure, QueryOutcome.UNANSWERED)

    def answer(
        self, query: QueryState, effect: Effect | None, outcome: QueryOutcome, reason: str = ""
    ) -> None:
        """Answers a query; does nothing if it is already answered.

        `effect` is None if the client has left or has received everything. `outcome` and `reason` (the check
        that rejected or failed the query) are for the log.
        """
        if query.answered:
            return
        query.answered = True
        self.unanswered.pop(query.session, None)
        if effect is not None:
            self.context.emit(effect)
        self.attempts.end_unneeded(query)
        counted_as = outcome_text(outcome, reason)
        elapsed = self.context.now - query.received_at
        self.answer_log.count(query.request.group, counted_as, elapsed, len(self.unanswered))
        if outcome not in (QueryOutcome.SERVED, QueryOutcome.REJECTED):
            self.answer_log.log_query(query, outcome)
        self.forget(query)

    def forget(self, query: QueryState) -> None:
        """Removes a query once it is answered and all its attempts have ended."""
        if query.answered and all(attempt.ended for attempt in query.attempts):
            self.queries.pop(query.request.id, None)
            self.context.open_queries.discard(query.number)
            if any(attempt.may_have_run for attempt in query.attempts):
                self.recent_queries.add(query.request.id, self.context.now)
            self.claims.end(query)
            query.attempts.clear()  # a reference cycle would keep results until the next garbage collection
