"""Effects: what the reducer asks for, as plain values that are independent of protocols.

Times are integers in tenths of a millisecond. A query is identified by its id and the number that the reducer
gave it, since a client may reuse the id of a query that has ended.
"""

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from hillchute.decision.interface import QueryId, Time
from hillchute.engines import words
from hillchute.statements.request import Request

# ---- to clients -----------------------------------------------------------------------------------


class SendResult(NamedTuple):
    """Send the complete result to the client."""

    session: int
    rows: words.Rows


class StartStream(NamedTuple):
    """Start passing a streamed result on, as fast as the client reads; its end is reported as an event."""

    session: int
    stream: words.Stream


class AbortStream(NamedTuple):
    """Stop a started stream before its end, so that the client can tell that it is incomplete."""

    session: int
    reason: str


class RejectQuery(NamedTuple):
    """Tell the client that the query did not run and that a retry is harmless."""

    session: int
    retry_after: Time  # 0: no wait is stated


class FailQuery(NamedTuple):
    """Tell the client that the query failed; it may have run."""

    session: int
    reason: str


# ---- to engines -----------------------------------------------------------------------------------


class SendCommand(NamedTuple):
    """Send a command to the engine on a connection."""

    connection: int
    command: words.Command


class OpenConnection(NamedTuple):
    """Open a connection to an engine."""

    connection: int
    host: str
    port: int


class CloseConnection(NamedTuple):
    """Close a connection to an engine."""

    connection: int


# ---- to the answer history and other partners -----------------------------------------------------


class ClaimQuery(NamedTuple):
    """Ask the answer history whether a query may run; a ClaimDecided follows within `time_left`."""

    query: QueryId
    number: int
    customer: str
    key: str
    token: str
    time_left: Time
    ordered: bool
    is_transient: bool = False  # no idempotency key: the history lists the query only while it runs


class ClaimOutcome(StrEnum):
    """How a claimed query ended, as the answer history records it."""

    NOT_RUN = "not_run"  # it can't have run
    SERVED = "served"
    FAILED = "failed"  # it may have run


class EndClaim(NamedTuple):
    """Notify the answer history that a claimed query has ended."""

    query: QueryId
    number: int
    outcome: ClaimOutcome
    rows: words.Rows | None


class ForwardQuery(NamedTuple):
    """Forward a query to a router of another partner; a ClaimDecided follows within `time_left`."""

    query: QueryId
    number: int
    owner: str
    request: Request
    time_left: Time


class CancelForward(NamedTuple):
    """Cancel a forwarded query whose client no longer waits."""

    query: QueryId
    number: int


# ---- to the event loop ----------------------------------------------------------------------------


class SetAlarm(NamedTuple):
    """Raise an AlarmDue at this time; replaces the previous alarm."""

    at: Time


class WriteLog(NamedTuple):
    """Write a line to the log."""

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
