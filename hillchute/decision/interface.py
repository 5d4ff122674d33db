"""The door between a front (bench link, later the socket front) and the decision module. Types only.

Times are whole tenths of a millisecond on the front's clock; ids are kept as the front gives them.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeAlias

Time: TypeAlias = int
QueryId: TypeAlias = str
EngineId: TypeAlias = int
Report: TypeAlias = Mapping[str, float]
Catalog: TypeAlias = Mapping[str, object]  # settings: dotted names to plain values

# A decision is a verb and its values:
#   ("submit", query, engine, within)      ("terms", query, megabytes, priority)
#   ("defer", query, come_back_after, why) ("kill", query, why)      why: which check, for the log
#   ("cancel", query, leg)                 ("probe", engine)
#   ("watch",)  follow the roster          ("wake", at, name)
Decision: TypeAlias = tuple


class Listing(NamedTuple):
    """One engine as the roster shows it; state is Ready, Terminating or Gone."""

    engine: EngineId
    kind: int
    cell: int
    zone: int
    started: Time
    state: str
    nominal: float


class Router(Protocol):
    """Calls that tell what happened only update what is known; decide() is pulled until it gives None."""

    def __init__(self, seed: int, catalog: Catalog, now: Time) -> None: ...

    def roster(self, now: Time, mode: str, listings: Iterable[Listing]) -> None: ...

    def nearby(
        self,
        now: Time,
        engines: frozenset[EngineId],
        routers: int | None = None,
        parts: Mapping[str | EngineId, float] | None = None,
    ) -> None: ...  # looked at first: coordination/subsetting.py; who lives, parts: fleet_view.py

    def welcome(
        self, now: Time, group: int, late: float
    ) -> bool: ...  # late: even the luckiest query is taken so late

    def take(
        self,
        now: Time,
        query: QueryId,
        group: int,
        due: Time,
        tables: int | None = None,
        tenant: int = 0,
        cost: Time | None = None,
        memory: float = 0.0,
        key: str | None = None,
    ) -> None: ...

    def outcome(
        self,
        now: Time,
        query: QueryId,
        leg: int,
        result: str,
        final: bool,
        elapsed: Time,
        cost: Time | None = None,
        report: Report | None = None,
    ) -> None: ...

    def probed(
        self, now: Time, engine: EngineId, result: str, report: Report | None, age: Time = 0
    ) -> None: ...  # age: of a report that another router had

    def progress(self, now: Time, query: QueryId, leg: int, topic: int, figure: float) -> None: ...

    def streaming(self, now: Time, query: QueryId) -> None: ...

    def left(self, now: Time, query: QueryId) -> None: ...

    def closing(self, now: Time, end: Time) -> None: ...  # the router ends: all is answered by then

    def woken(self, now: Time, name: str) -> None: ...

    def decide(self, now: Time) -> Decision | None: ...
