"""Commands to SQL engines and messages from them, as plain values that are independent of the protocol.

They pass between the reducer and the connections to engines. Times are whole tenths of a millisecond unless a
comment says otherwise.
"""

from typing import NamedTuple, Protocol

Rows = list[list[bytes]]  # each row holds the values of three text columns
CHANGED_COUNT_LABEL = b"records changed"  # label of the row count in the one result row of an update

# ---- commands -------------------------------------------------------------------------------------


class StartRun(NamedTuple):
    """Run the statement of a query."""

    id: str  # of the query
    group: str  # the resource group
    timeout_ms: int  # time limit for the result, in milliseconds
    priority: int | None
    idempotency_key: str | None
    statement: bytes


class CancelRun(NamedTuple):
    """Cancel a run: its result is no longer needed."""

    id: str


class WithdrawRun(NamedTuple):
    """Do not run the statement any more if it has not been sent completely; otherwise change nothing.

    The engines may have forgotten its idempotency key. The command itself never reaches the engine.
    """

    id: str


class SetPriority(NamedTuple):
    """Change the priority of a run."""

    id: str
    priority: int


class DiscardResult(NamedTuple):
    """Discard the rest of a result: the run is over, and nobody reads its result."""

    id: str


class HealthCheckRequest(NamedTuple):
    """Check the engine's health: ask for a load report."""

    tag: str


Command = StartRun | CancelRun | WithdrawRun | SetPriority | DiscardResult | HealthCheckRequest

# ---- messages from engines ------------------------------------------------------------------------


class Stream(Protocol):
    """A streamed result, as record batches. Reading it slowly slows down the engine (backpressure)."""

    broken: bool  # the stream ended before its last message

    async def read(self) -> bytes | None:
        """The next message, as the engine sent it; None after the last one."""

    def close(self) -> None:
        """Cancels the stream: no further messages are read."""


class RunCompleted(NamedTuple):
    """A run has completed; its result follows."""

    id: str
    cpu_ms: float | None = None  # CPU time used, in milliseconds on one core
    report: dict[str, float] | None = None  # load report


class ResultReceived(NamedTuple):
    """The complete result of a run has been received."""

    id: str
    rows: Rows
    cpu_ms: float | None = None
    report: dict[str, float] | None = None


class StreamStarted(NamedTuple):
    """The first messages of a streamed result have been received."""

    id: str
    stream: Stream


class RunEnded(NamedTuple):
    """A run has ended without a result, or its streamed result has ended.

    `result` is the value of an AttemptResult: finished, saturated, errored, superseded or severed.
    """

    id: str
    result: str
    cpu_ms: float | None = None
    report: dict[str, float] | None = None


class ProgressReported(NamedTuple):
    """Progress of an unfinished run. Topics: 1 fraction done, 2 megabytes missing, 3 what it waits for."""

    id: str
    topic: int
    value: float


class HealthCheckAnswer(NamedTuple):
    """The answer to a health check; `result` is the value of an AttemptResult."""

    tag: str
    result: str
    report: dict[str, float] | None = None


# None means that the engine is alive, and nothing else.
EngineMessage = (
    RunCompleted | ResultReceived | StreamStarted | RunEnded | ProgressReported | HealthCheckAnswer | None
)
