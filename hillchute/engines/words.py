"""Commands to SQL engines and messages from them, as plain values that are independent of the protocol.

They pass between the reducer and the connections to engines. Times are whole tenths of a millisecond unless a
comment says otherwise.
"""

from typing import NamedTuple, Protocol

Rows = list[list[bytes]]  # each row holds the values of three text columns
CHANGED = b"records changed"  # label of the row count in the one result row of an update

# ---- commands -------------------------------------------------------------------------------------


class Run(NamedTuple):
    """Run the statement of a query."""

    id: str  # of the query
    group: str  # the resource group
    within: int  # time limit for the result, in milliseconds
    rank: int | None  # priority
    token: str | None  # idempotency key
    statement: bytes


class GiveUp(NamedTuple):
    """Cancel a run: its result is no longer needed."""

    id: str


class Hurry(NamedTuple):
    """Change the priority of a run."""

    id: str
    rank: int


class Unwanted(NamedTuple):
    """Discard the rest of a result: the run is over, and nobody reads its result."""

    id: str


class Probe(NamedTuple):
    """Check the engine's health: ask for a load report."""

    tag: str


Command = Run | GiveUp | Hurry | Unwanted | Probe

# ---- messages from engines ------------------------------------------------------------------------


class Stream(Protocol):
    """A streamed result, as record batches. Reading it slowly slows down the engine (backpressure)."""

    broken: bool  # the stream ended before its last message

    async def read(self) -> bytes | None:
        """The next message, as the engine sent it; None after the last one."""

    def close(self) -> None:
        """Cancels the stream: no further messages are read."""


class Over(NamedTuple):
    """A run has completed; its result follows."""

    id: str
    work: float | None = None  # CPU time used, in milliseconds on one core
    report: dict[str, float] | None = None  # load report


class Whole(NamedTuple):
    """The complete result of a run has been received."""

    id: str
    rows: Rows
    work: float | None = None
    report: dict[str, float] | None = None


class Began(NamedTuple):
    """The first messages of a streamed result have been received."""

    id: str
    stream: Stream


class Ended(NamedTuple):
    """A run has ended without a result, or its streamed result has ended.

    `result` is the value of an AttemptResult: finished, saturated, errored, superseded or severed.
    """

    id: str
    result: str
    work: float | None = None
    report: dict[str, float] | None = None


class Noted(NamedTuple):
    """Progress of an unfinished run. Topics: 1 fraction done, 2 megabytes missing, 3 what it waits for."""

    id: str
    topic: int
    value: float


class Probed(NamedTuple):
    """The answer to a health check; `result` is the value of an AttemptResult."""

    tag: str
    result: str
    report: dict[str, float] | None = None


Said = Over | Whole | Began | Ended | Noted | Probed | None  # None: the engine is alive, nothing else
