"""Claims: queries that the answer history must clear before they run, from the request to the query's end.

The history decides, or the router that the query is forwarded to where another partner owns the query's
slot. This module carries the decision out and notifies the history how the query ended.
"""

from typing import Protocol

from hillchute.decision.interface import (
    NOT_RUN_RESULTS,
    POSSIBLY_RUNNING_RESULTS,
    AttemptResult,
    QueryId,
    Time,
)
from hillchute.fronts.events import FIRST_FORWARDED_SESSION
from hillchute.router.effects import (
    CancelForward,
    ClaimOutcome,
    ClaimQuery,
    Effect,
    EndClaim,
    FailQuery,
    ForwardQuery,
    RejectQuery,
    SendResult,
)
from hillchute.router.events import ClaimDecided, ClaimVerdict
from hillchute.router.query_state import ClaimState, QueryOutcome, QueryState
from hillchute.router.reducer_context import ReducerContext
from hillchute.router.request_rules import history_key


class QueryOwner(Protocol):
    """Holds the open queries and answers them."""

    def find_query(self, query_id: QueryId, number: int) -> QueryState | None:
        """Returns the query with this id and number, or None if it has ended."""

    def answer(
        self, query: QueryState, effect: Effect | None, outcome: QueryOutcome, reason: str = ""
    ) -> None:
        """Answers a query; each query is answered once."""

    def schedule(self, query: QueryState) -> None:
        """Passes a query to the scheduler."""


class Claims:
    """The claims of all queries of a router.

    `order_pause`: how long the next query of a key waits after one that may still be running.
    """

    def __init__(self, context: ReducerContext, owner: QueryOwner, order_pause: Time) -> None:
        self.context = context
        self.owner = owner
        self.order_pause = order_pause

    def claim(self, query: QueryState, *, ordered: bool = False, is_transient: bool = False) -> None:
        """Asks the answer history whether a query may run.

        `ordered`: the query's group keeps the order of a key; `is_transient`: the query has no idempotency
        key.
        """
        query.claim = ClaimState.ASKED
        time_left = max(0, query.deadline - self.context.now)
        customer, key, token = history_key(query.request)
        self.context.emit(
            ClaimQuery(query.request.id, query.number, customer, key, token, time_left, ordered, is_transient)
        )

    def on_decided(self, decided: ClaimDecided) -> None:
        """Handles the decision of the answer history, or of the router that the query was forwarded to."""
        query = self.owner.find_query(decided.query, decided.number)
        if query is None or query.answered:
            return
        if query.claim not in (ClaimState.ASKED, ClaimState.FORWARDED):
            return
        if query.claim is ClaimState.FORWARDED or decided.verdict == ClaimVerdict.FORWARD:
            query.claim = ClaimState.RETURNED
        else:
            query.claim = ClaimState.NONE
        if decided.verdict == ClaimVerdict.FORWARD and query.session >= FIRST_FORWARDED_SESSION:
            # A query is forwarded only once.
            reason = "its slot has another owner meanwhile"
            decided = decided._replace(verdict=ClaimVerdict.REJECT, reason=reason)
        self._carry_out(query, decided)

    def _carry_out(self, query: QueryState, decided: ClaimDecided) -> None:
        reason = f"history: {decided.reason}"
        match decided.verdict:
            case ClaimVerdict.RUN:
                query.claim = ClaimState.GRANTED
                self.owner.schedule(query)
            case ClaimVerdict.FORWARD:
                self._forward(query, decided.reason)
            case ClaimVerdict.REPLAY:
                result = SendResult(query.session, decided.rows)  # type: ignore[arg-type]  # REPLAY has rows
                self.owner.answer(query, result, QueryOutcome.SERVED, reason)
            case ClaimVerdict.FAIL:
                failure = FailQuery(query.session, decided.reason)
                self.owner.answer(query, failure, QueryOutcome.FAILED, reason)
            case ClaimVerdict.REJECT:
                self.owner.answer(query, RejectQuery(query.session, 0), QueryOutcome.REJECTED, reason)

    def _forward(self, query: QueryState, owner: str) -> None:
        """Forwards a query to a router of the partner that owns its slot."""
        query.claim = ClaimState.FORWARDED
        time_left = max(0, query.deadline - self.context.now)
        self.context.emit(ForwardQuery(query.request.id, query.number, owner, query.request, time_left))

    def end(self, query: QueryState) -> None:
        """Notifies the answer history how a claimed query ended."""
        if query.claim is ClaimState.NONE:
            return
        if query.claim is ClaimState.FORWARDED:
            self.context.emit(CancelForward(query.request.id, query.number))
        query.claim = ClaimState.NONE
        results = {attempt.result for attempt in query.attempts}
        if results.issubset(NOT_RUN_RESULTS):
            outcome = ClaimOutcome.NOT_RUN
        elif AttemptResult.SERVED in results:
            outcome = ClaimOutcome.SERVED
        else:
            outcome = ClaimOutcome.FAILED
        end = EndClaim(query.request.id, query.number, outcome, query.rows)
        if outcome is ClaimOutcome.FAILED and not results.isdisjoint(POSSIBLY_RUNNING_RESULTS):
            # The next query of the key must not overtake an attempt that may still be running.
            self.context.call_at(self.context.now + self.order_pause + 1, self.context.emit, end)
        else:
            self.context.emit(end)
