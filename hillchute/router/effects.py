"""What the reducer asks for, as plain values that name no protocol.

Times are whole tenths of a millisecond. A query is named by its id and by the number that the reducer gave
it, since a client may use the id of a query that is over for its next one.
"""

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from hillchute.decision.interface import QueryId, Time
from hillchute.engines import words
from hillchute.statements.request import Request

# ---- to clients -----------------------------------------------------------------------------------


class SendResult(NamedTuple):
    """The complete result goes to the client."""

    session: int
    rows: words.Rows


class StartStream(NamedTuple):
    """The result begins; it is passed on as fast as the client reads, and its end comes back as an event."""

    session: int
    stream: words.Stream


class AbortStream(NamedTuple):
    """A stream that was begun stops before its end, in a way that the client can tell."""

    session: int
    reason: str


class RejectQuery(NamedTuple):
    """The client is notified that nothing ran and that trying again is harmless."""

    session: int
    retry_after: Time  # 0: no wait is named


class FailQuery(NamedTuple):
    """The client is notified that the query failed; it may have run."""

    session: int
    reason: str


# ---- to engines -----------------------------------------------------------------------------------


class SendCommand(NamedTuple):
    """A command goes to the engine at the end of a connection."""

    connection: int
    command: words.Command


class OpenConnection(NamedTuple):
    """A connection to an engine is opened."""

    connection: int
    host: str
    port: int


class CloseConnection(NamedTuple):
    """A connection is closed."""

    connection: int


# ---- to the answer history and other partners -----------------------------------------------------


class ClaimQuery(NamedTuple):
    """The answer history is asked whether a query may run; a ClaimDecided comes within `time_left`."""

    query: QueryId
    number: int
    customer: str
    key: str
    token: str
    time_left: Time
    ordered: bool
    once: bool = False  # it has no idempotency key: it is listed only while it runs


class ClaimOutcome(StrEnum):
    """How a query ended for the answer history."""

    NOT_RUN = "not_run"  # nothing of it can have run
    SERVED = "served"
    FAILED = "failed"  # it may have run


class EndClaim(NamedTuple):
    """A claimed query is over."""

    query: QueryId
    number: int
    outcome: ClaimOutcome
    rows: words.Rows | None


class ForwardQuery(NamedTuple):
    """A query goes to a router of another partner; a ClaimDecided comes within `time_left`."""

    query: QueryId
    number: int
    owner: str
    request: Request
    time_left: Time


class CancelForward(NamedTuple):
    """Nobody waits any more for a query that was forwarded."""

    query: QueryId
    number: int


# ---- to the event loop ----------------------------------------------------------------------------


class SetAlarm(NamedTuple):
    """An AlarmDue is wanted at this time, in place of the time that was named before."""

    at: Time


class WriteLog(NamedTuple):
    """A line of the log."""

    event: str
    fields: dict[str, object]


Effect: TypeAlias = (
    SendResult
    | StartStream
    | AbortStream
    | RejectQuery
    | FailQuery
    | SendCommand
    | OpenConnection
    | CloseConnection
    | ClaimQuery
    | EndClaim
    | ForwardQuery
    | CancelForward
    | SetAlarm
    | WriteLog
)
