"""What passes between the reducer and a link to an sql engine, whichever protocol the link speaks.

Owns the commands and what engines say, as plain values. Must never hold a protocol's spelling, nor decide.
Times are milliseconds where a field says so, else whole tenths of a millisecond.
"""

from typing import NamedTuple, Protocol

Rows = list[list[bytes]]  # three text columns, in order
CHANGED = b"records changed"  # beside the count, in the one row that tells what an update did

# ---- commands -------------------------------------------------------------------------------------


class Run(NamedTuple):
    """Run a statement; an answer is waited for so many milliseconds."""

    id: str
    group: str
    within: int
    rank: int | None
    token: str | None
    statement: bytes


class GiveUp(NamedTuple):
    """The submission is given up: no answer is wanted."""

    id: str


class Hurry(NamedTuple):
    """A new priority."""

    id: str
    rank: int


class Unwanted(NamedTuple):
    """The run is over, what is left of its result is not wanted."""

    id: str


class Probe(NamedTuple):
    """How loaded are you?"""

    tag: str


Command = Run | GiveUp | Hurry | Unwanted | Probe

# ---- what engines say -----------------------------------------------------------------------------


class Stream(Protocol):
    """A result that is still coming, as batches; whoever reads it slowly holds the engine back."""

    broken: bool  # it ended before its end

    async def read(self) -> bytes | None:
        """The next message as the engine sent it, None after the last."""

    def close(self) -> None:
        """Nothing more is wanted of it."""


class Over(NamedTuple):
    """The run is over; its result is on its way."""

    id: str
    work: float | None = None  # milliseconds on one core
    report: dict[str, float] | None = None


class Whole(NamedTuple):
    """The whole result has come."""

    id: str
    rows: Rows
    work: float | None = None
    report: dict[str, float] | None = None


class Began(NamedTuple):
    """The first of a result that comes as a stream."""

    id: str
    stream: Stream


class Ended(NamedTuple):
    """A submission's ending without a result, or the end of its stream: finished, saturated, errored,
    superseded or severed."""

    id: str
    result: str
    work: float | None = None
    report: dict[str, float] | None = None


class Noted(NamedTuple):
    """It is not over yet: topic 1 share done, 2 megabytes missing, 3 what it waits for."""

    id: str
    topic: int
    value: float


class Probed(NamedTuple):
    tag: str
    result: str
    report: dict[str, float] | None = None


Said = Over | Whole | Began | Ended | Noted | Probed | None  # None: something came that says nothing
