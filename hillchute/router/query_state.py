"""The state of a query and its attempts, from the query's admission to the end of its last attempt.

Plain data, changed by the reducer and its components. Times are integers in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import TYPE_CHECKING

from hillchute.decision.interface import NOT_RUN_RESULTS, AttemptResult, EngineId, Time
from hillchute.engines import words
from hillchute.statements.request import Request

if TYPE_CHECKING:
    from hillchute.router.connection_pool import EngineConnection


class ClaimState(Enum):
    """The state of a query in its dealings with the answer history."""

    NONE = "none"  # it needs no claim, or its claim has ended
    ASKED = "asked"  # waiting for the history's decision
    GRANTED = "granted"  # it may run
    FORWARDED = "forwarded"  # sent to a router of another partner
    RETURNED = "returned"  # no longer to be forwarded, answered here; the history must be notified


class QueryOutcome(StrEnum):
    """How a query ended for its client; the values are written to the log."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_LEFT = "client_left"
    ABORTED = "aborted"  # after its stream had started
    UNANSWERED = "unanswered"  # failed because no decision was made in time


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a query on an engine."""

    query: QueryState
    number: int  # index among the query's attempts, from 0
    engine: EngineId
    started_at: Time
    deadline: Time
    send_by: Time | None = None  # not sent any more after this time; None: only the deadline limits it
    connection: EngineConnection | None = None
    sent: bool = False  # the command was passed to the connection
    ended: bool = False
    result: AttemptResult | None = None  # how it ended
    completion: words.RunCompleted | None = None  # set once the run has completed; its result follows
    stream: words.Stream | None = None  # the streamed result, once it has started

    @property
    def may_have_run(self) -> bool:
        """Whether its engine may run or have run the query."""
        return self.sent and self.result not in NOT_RUN_RESULTS


@dataclass(slots=True, eq=False)
class QueryState:
    """A query, until it is answered and its last attempt has ended."""

    request: Request
    session: int
    received_at: Time
    deadline: Time
    number: int = 0  # distinguishes it from other queries with the same id
    priority: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    rows: words.Rows | None = None  # kept for the answer history if the query was claimed
    claim: ClaimState = ClaimState.NONE
