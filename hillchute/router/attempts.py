"""Attempts to run queries on engines, from submission to end.

Reports the end of each attempt to the scheduler, and passes results to the owner of the query. The
scheduler decides which engine gets an attempt, when, and with which time limit. Times are integers in
tenths of a millisecond.
"""

from typing import Protocol

from hillchute.decision.interface import (
    MILLISECOND,
    AttemptEnded,
    AttemptResult,
    QueryId,
    Scheduler,
    Submit,
)
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import SendObstacle
from hillchute.router.connection_pool import ConnectionPool, Endpoint, EngineConnection
from hillchute.router.effects import AbortStream, Effect, SendCommand, SendResult, StartStream
from hillchute.router.query_state import Attempt, ClaimState, QueryOutcome, QueryState
from hillchute.router.reducer_context import ReducerContext
from hillchute.router.request_rules import RequestRules
from hillchute.router.send_check import find_obstacle


class QueryOwner(Protocol):
    """Holds the open queries and answers them."""

    def find_query(self, query_id: QueryId, number: int) -> QueryState | None:
        """Returns the query with this id and number, or None if it has ended."""

    def answer(
        self, query: QueryState, effect: Effect | None, outcome: QueryOutcome, reason: str = ""
    ) -> None:
        """Answers a query; each query is answered once."""

    def forget(self, query: QueryState) -> None:
        """Removes a query once it is answered and all its attempts have ended."""


class Attempts:
    """The attempts of all queries of a router."""

    def __init__(
        self, context: ReducerContext, scheduler: Scheduler, rules: RequestRules, owner: QueryOwner
    ) -> None:
        self.context = context
        self.scheduler = scheduler
        self.rules = rules
        self.owner = owner

    # ---- decisions of the scheduler ---------------------------------------------------------

    def submit(self, pool: ConnectionPool, query: QueryState, decision: Submit) -> None:
        """Starts an attempt on an engine, on a connection that is open or being opened."""
        now = self.context.now
        engine = decision.engine
        deadline = now + decision.time_limit
        attempt = Attempt(query, len(query.attempts), engine, now, deadline, decision.send_by)
        query.attempts.append(attempt)
        attempt_key = query.request.id, query.number, attempt.number
        self.context.call_for_query_at(deadline, query.number, self.on_timeout, *attempt_key)
        if attempt.send_by is not None and attempt.send_by < deadline:
            self.context.call_for_query_at(attempt.send_by, query.number, self.on_send_limit, *attempt_key)
        connection = pool.connection_for(pool.endpoints[engine], query)
        if connection is None:  # this router has no free connection; the engine is not at fault
            self.end(attempt, AttemptResult.NOT_SENT)
        elif connection.is_open:
            self.send(attempt, connection, pool.endpoints[engine])
        else:
            attempt.connection = connection
            connection.waiting.append(attempt)

    def send(self, attempt: Attempt, connection: EngineConnection, endpoint: Endpoint | None) -> None:
        """Sends an attempt, unless the query, the engine or a time limit rules it out by now."""
        query = attempt.query
        now = self.context.now
        obstacle = find_obstacle(attempt, now)
        if endpoint is None or not endpoint.ready or obstacle is not None:
            self._withhold(attempt, obstacle)
            return
        request = query.request
        attempt.connection = connection
        attempt.sent = True
        connection.attempts[request.id] = attempt
        connection.last_used_at = now
        milliseconds = -(-(attempt.deadline - now) // MILLISECOND)
        token = request.idempotency_key if self.rules.group_of(request) in self.rules.idempotent else None
        run = words.StartRun(
            request.id, request.group, milliseconds, query.priority, token, request.statement
        )
        self.context.emit(SendCommand(connection.number, run))

    def _withhold(self, attempt: Attempt, reason: SendObstacle | None) -> None:
        """Ends an attempt of which nothing was sent."""
        if reason is not None:
            name = event_bus.engine_name(attempt.engine)
            self.context.log("attempt_withheld", query=attempt.query.request.id, engine=name, reason=reason)
        self.end(attempt, AttemptResult.NOT_SENT)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        self.end(attempt, AttemptResult.CANCELLED, cancel_run=True)

    def set_priority(self, query: QueryState, priority: int) -> None:
        """Sends a new priority to the engines on which the query runs or is queued."""
        query.priority = priority
        for attempt in query.attempts:
            if attempt.connection is None or not attempt.sent:
                continue
            if not attempt.ended and attempt.completion is None:
                command = words.SetPriority(query.request.id, priority)
                self.context.emit(SendCommand(attempt.connection.number, command))

    # ---- ends of attempts -------------------------------------------------------------------------

    def on_timeout(self, query_id: QueryId, query_number: int, number: int) -> None:
        """Handles the time limit of an attempt."""
        query = self.owner.find_query(query_id, query_number)
        if query is None or query.attempts[number].ended:
            return
        attempt = query.attempts[number]
        if attempt.sent:
            self.end(attempt, AttemptResult.TIMED_OUT, cancel_run=True)
        else:
            self.end(attempt, AttemptResult.NOT_SENT)

    def on_send_limit(self, query_id: QueryId, query_number: int, number: int) -> None:
        """Withdraws an attempt that may not be sent any more, if it still waits for its connection."""
        query = self.owner.find_query(query_id, query_number)
        if query is None or query.attempts[number].ended:
            return
        attempt = query.attempts[number]
        if attempt.connection is None or not attempt.sent:
            self._withhold(attempt, SendObstacle.REPEAT_WINDOW)
        elif attempt.completion is None:
            self.context.emit(SendCommand(attempt.connection.number, words.WithdrawRun(query_id)))

    def on_not_sent(self, connection: EngineConnection, query_id: QueryId, reason: SendObstacle) -> None:
        """Ends an attempt whose command was not written."""
        attempt = connection.attempts.get(query_id)
        if attempt is not None:
            self._withhold(attempt, reason)

    def end_unneeded(self, query: QueryState) -> None:
        """Ends attempts whose result is no longer needed once the query is answered; others may run on."""
        for attempt in query.attempts:
            if attempt.ended:
                continue
            if attempt.stream is not None:
                self.end(attempt, AttemptResult.TIMED_OUT, cancel_run=True)
            elif attempt.completion is not None and attempt.connection is not None:
                command = words.DiscardResult(query.request.id)
                self.context.emit(SendCommand(attempt.connection.number, command))
                self.end(attempt, AttemptResult.SERVED)

    def end_streams(self, query: QueryState) -> None:
        """Ends the attempts of a query that have started a stream, because the stream can't be read."""
        for attempt in query.attempts:
            if attempt.stream is not None and not attempt.ended:
                self.end(attempt, AttemptResult.CONNECTION_LOST, cancel_run=True)

    def end(
        self,
        attempt: Attempt,
        result: AttemptResult,
        *,
        cancel_run: bool = False,
        final: bool = False,
        message: words.RunCompleted | words.ResultReceived | words.RunEnded | None = None,
    ) -> None:
        """Ends an attempt and notifies the scheduler; does nothing if the attempt has already ended.

        `cancel_run`: the engine is asked to cancel the run; `final`: the client is answered with this result;
        `message`: the engine's message that ended the attempt.
        """
        if attempt.ended:
            return
        attempt.ended = True
        attempt.result = result
        query = attempt.query
        self._detach_from_connection(attempt, cancel_run)
        self.context.scheduler_notified = True
        streaming = attempt.stream is not None
        self._report(attempt, result, final or streaming or query.answered, message or attempt.completion)
        if result not in (AttemptResult.SERVED, AttemptResult.TIMED_OUT):
            name = event_bus.engine_name(attempt.engine)
            self.context.log("attempt_ended", query=query.request.id, engine=name, result=result.name.lower())
        attempt.completion = None
        if attempt.stream is not None and result != AttemptResult.SERVED:
            # No retry: the client may have received part of the result.
            attempt.stream.close()
            abort = AbortStream(query.session, f"the result broke off: {result}")
            self.owner.answer(query, abort, QueryOutcome.ABORTED)
        self.owner.forget(query)

    def _detach_from_connection(self, attempt: Attempt, cancel_run: bool) -> None:
        connection = attempt.connection
        if connection is None:
            return
        query_id = attempt.query.request.id
        if attempt.sent:
            connection.attempts.pop(query_id, None)
            if cancel_run:
                self.context.emit(SendCommand(connection.number, words.CancelRun(query_id)))
        elif attempt in connection.waiting:
            connection.waiting.remove(attempt)

    def _report(
        self,
        attempt: Attempt,
        result: AttemptResult,
        final: bool,
        message: words.RunCompleted | words.ResultReceived | words.RunEnded | None,
    ) -> None:
        cost = None
        report = None
        if message is not None:
            cost = round((message.cpu_ms or 0) * MILLISECOND) or None
            report = message.report
        now = self.context.now
        elapsed = now - attempt.started_at
        query_id = attempt.query.request.id
        ended = AttemptEnded(query_id, attempt.number, result, final, elapsed, cost, report)
        self.scheduler.on_attempt_ended(now, ended)

    # ---- messages of engines ----------------------------------------------------------------------

    def on_message(self, connection: EngineConnection, message: words.EngineMessage) -> None:
        """Handles an engine's message on an attempt; messages on attempts that have ended are ignored."""
        if message is None or isinstance(message, words.HealthCheckAnswer):
            return
        attempt = connection.attempts.get(message.id)
        if attempt is None:
            return
        match message:
            case words.ResultReceived():
                self._on_result(attempt, message)
            case words.RunCompleted(query_id):
                attempt.completion = message
                if attempt.query.answered:
                    self.context.emit(SendCommand(connection.number, words.DiscardResult(query_id)))
                    self.end(attempt, AttemptResult.SERVED)
            case words.StreamStarted(_, stream):
                self._on_stream_started(attempt, stream)
            case words.ProgressReported(query_id, topic, value):
                self.scheduler.on_progress(self.context.now, query_id, attempt.number, topic, value)
            case words.RunEnded(_, result):
                self.end(attempt, AttemptResult(result), message=message)

    def _on_result(self, attempt: Attempt, message: words.ResultReceived) -> None:
        query = attempt.query
        if query.claim is not ClaimState.NONE:
            query.rows = message.rows
        self.end(attempt, AttemptResult.SERVED, final=True, message=message)
        self.owner.answer(query, SendResult(query.session, message.rows), QueryOutcome.SERVED)

    def _on_stream_started(self, attempt: Attempt, stream: words.Stream) -> None:
        """Starts passing a stream on to the client; from here on the query is not retried."""
        query = attempt.query
        attempt.stream = stream
        if query.answered:
            self.end(attempt, AttemptResult.TIMED_OUT, cancel_run=True)
            return
        self.scheduler.on_stream_started(self.context.now, query.request.id)
        self.context.call_for_query_at(
            query.deadline, query.number, self.on_stream_timeout, query.request.id, query.number
        )
        self.context.emit(StartStream(query.session, stream))

    def on_stream_timeout(self, query_id: QueryId, query_number: int) -> None:
        """Aborts the stream of a query whose client has not read all of it by the deadline."""
        query = self.owner.find_query(query_id, query_number)
        if query is None or query.answered:
            return
        streams = [attempt.stream for attempt in query.attempts if attempt.stream is not None]
        if not streams:
            return
        self.scheduler.on_client_left(self.context.now, query_id)
        for stream in streams:
            stream.close()
        self.owner.answer(
            query, AbortStream(query.session, "the time for the result is up"), QueryOutcome.ABORTED
        )
