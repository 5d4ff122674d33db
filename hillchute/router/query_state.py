"""The state of one query and of its attempts, from the query's admission to the end of its last attempt.

Plain data: the reducer and its parts change it. Times are whole tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import TYPE_CHECKING

from hillchute.decision.interface import AttemptResult, EngineId, Time
from hillchute.engines import words
from hillchute.statements.request import Request

if TYPE_CHECKING:
    from hillchute.router.connection_pool import EngineConnection


class ClaimState(Enum):
    """How a query stands with the answer history."""

    NONE = "none"  # it does not need the history, or the history is done with it
    ASKED = "asked"  # it waits for the history's decision
    GRANTED = "granted"  # it may run
    FORWARDED = "forwarded"  # it is at a router of another partner
    RETURNED = "returned"  # it was to be forwarded and is answered here: the history must be notified


class QueryOutcome(StrEnum):
    """How a query ended for its client; the values are the log's words."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_LEFT = "client_left"
    ABORTED = "aborted"  # within a stream that had begun
    UNANSWERED = "unanswered"  # no decision came in time, and it was failed


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a query on an engine."""

    query: QueryState
    number: int  # among the query's attempts, from 0
    engine: EngineId
    started_at: Time
    deadline: Time
    connection: EngineConnection | None = None
    sent: bool = False  # the command was handed to the connection
    ended: bool = False
    result: AttemptResult | None = None  # how it ended
    run_over: words.Over | None = None  # the engine has run it, its result is on its way
    stream: words.Stream | None = None  # the streamed result that has begun


@dataclass(slots=True, eq=False)
class QueryState:
    """One query, until it is answered and its last attempt has ended."""

    request: Request
    session: int
    received_at: Time
    deadline: Time
    number: int = 0  # tells it from another query of the same id
    priority: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    rows: words.Rows | None = None  # for the answer history, if the query was claimed
    claim: ClaimState = ClaimState.NONE
