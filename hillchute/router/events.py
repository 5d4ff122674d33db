"""What can happen to a router, and what it can ask for: the two sides of the reducer.

Owns events and effects as plain values. Must never hold a protocol's spelling.
"""

from typing import NamedTuple

from hillchute.decision.interface import Report, Time
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import Connected, Lost, NotConnected, NotSent, Said
from hillchute.fronts.events import Asked, Left, Passed, Spoilt
from hillchute.statements.request import Request

# ---- events ---------------------------------------------------------------------------------------


class Notified(NamedTuple):
    news: event_bus.WatchEvent


class Peered(NamedTuple):
    """Word from other routers: reports of engines, with their ages; what they lend and who lives."""

    news: list[tuple[int, Report, Time]]


class Judged(NamedTuple):
    """The answer history's word on a query: RUN, ANSWER, DEFER, KILL or PASS, by its name; or how one ended
    that was passed on, by the first of those but RUN and PASS."""

    id: str
    number: int
    verdict: str
    why: str
    rows: words.Rows | None


class Tick(NamedTuple):
    """The time that an Alarm named has come."""


class Closing(NamedTuple):
    """The router ends: by `end` everything must be answered."""

    end: Time


Event = (
    Asked
    | Left
    | Passed
    | Spoilt
    | Connected
    | NotConnected
    | NotSent
    | Said
    | Lost
    | Notified
    | Peered
    | Judged
    | Tick
    | Closing
)


def told_by(event: Event) -> tuple:
    """An event as the trace keeps it: its name, and what tells whose it is."""
    match event:
        case Asked(session, request, since):
            return "Asked", request.id, session, since
        case Said(line, what):
            return "Said", line, type(what).__name__, what and what[0]
        case Notified(news):
            return "Notified", news.offset
        case Peered(news):
            return "Peered", len(news)
        case Judged(id, number, verdict, why, _):
            return "Judged", id, number, verdict, why
        case _:
            return type(event).__name__, *event


# ---- effects --------------------------------------------------------------------------------------


class Finish(NamedTuple):
    """The whole result."""

    session: int
    rows: words.Rows


class Stream(NamedTuple):
    """The result begins; the front passes it on as fast as its client reads, then tells Passed."""

    session: int
    stream: words.Stream


class Cut(NamedTuple):
    """A stream that was begun ends without its end: the client must be able to tell."""

    session: int
    why: str


class Defer(NamedTuple):
    session: int
    after: Time


class Kill(NamedTuple):
    session: int
    why: str


class Send(NamedTuple):
    line: int
    command: words.Command


class Connect(NamedTuple):
    line: int
    host: str
    port: int


class HangUp(NamedTuple):
    line: int


class Claim(NamedTuple):
    """The answer history is asked whether a keyed or mutating query may run; Judged comes within `left`."""

    id: str
    number: int
    customer: str
    key: str
    token: str
    left: Time
    ordered: bool
    once: bool = False  # it has no token: it is listed only while it is out


class Close(NamedTuple):
    """A query that was claimed is over: "freed" if nothing of it can have run, "finished", "killed"."""

    id: str
    number: int
    how: str
    rows: words.Rows | None


class PassOn(NamedTuple):
    """A query for another partner's routers; Judged comes within `left`."""

    id: str
    number: int
    owner: str
    request: Request
    left: Time


class Recall(NamedTuple):
    """Nobody waits any more for a query that was passed on."""

    id: str
    number: int


class Alarm(NamedTuple):
    at: Time


class Note(NamedTuple):
    event: str
    fields: dict[str, object]


Effect = (
    Finish | Stream | Cut | Defer | Kill | Send | Connect | HangUp | Claim | Close | PassOn | Recall
    | Alarm | Note
)  # fmt: skip
