"""Slow start: how much of a recovering engine's budget one of many routers may use, and when.

Owns the permits by which a query may go to an engine that has just started. Must never do I/O or read a
clock. Times are whole tenths of a millisecond, work is core time.

Routers don't talk to each other, and each may have less than one query of an engine's budget. So each
draws the moment of its first permit by chance and spaces the next by the work that the permit before let
in. What all send in any window is then their shares of the budget and, at the most, as much again for
permits that were not used yet: whatever their traffic was before, however many restart, and however many
engines start at once. A rate measured over the past, which this replaces, let a burst after a quiet time
pass many times the share.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import EngineId, Time

COLD_SHARE = 0.7  # of what a recovering engine can do, sent by all routers: what a warm one bears well
SMOOTH = 0.1  # share of the newest query in the mean work
UNUSED = 1.0  # windows for which a permit that nobody used stands
DRAWN = 0.5  # windows for which a query that drew one may wait with it


@dataclass(slots=True)
class Credit:
    """What one router may send one engine, in work; a permit stands while it is not below 0."""

    started: Time  # the start of the engine that it is for
    at: Time  # as of
    work: float


class SlowStart:
    """Permits of one router, by engine."""

    def __init__(self, window: Time, chance: Callable[[], float]) -> None:
        """`window`: over which the settings state the budget; `chance`: a new number from 0 to 1."""
        self.window, self.chance = window, chance
        self.mean = 0.0  # work of the queries that may use permits
        self.credits: dict[EngineId, Credit] = {}

    def seen(self, work: float) -> None:
        """A query that may use a permit has lined up."""
        self.mean += SMOOTH * (work - self.mean) if self.mean else work

    def draw(self, now: Time, engines: Iterable[EngineState], work: float, part: float) -> EngineId | None:
        """Uses a permit for this query, that of the engine with the most credit, if there is one; `part`
        of the budget is this router's."""
        found, most = None, 0.0
        for engine in engines:
            credit = self.credit(now, engine, part)
            if credit.work >= most:
                found, most = engine.id, credit.work
        if found is not None:
            self.credits[found].work -= work
        return found

    def credit(self, now: Time, engine: EngineState, part: float) -> Credit:
        """As of now; a permit that nobody used in time is gone."""
        credit = self.credits.get(engine.id)
        if credit is None or credit.started != engine.started:
            # The first permit comes at a moment by chance: a router with a part of less than one query has
            # one in so many windows, and all together have their sum.
            credit = self.credits[engine.id] = Credit(engine.started, now, -self.chance() * self.mean)
        rate = COLD_SHARE * engine.usable_cores(now) * part
        credit.work += rate * (now - credit.at)
        credit.at = now
        over = credit.work - rate * UNUSED * self.window
        if over > 0:
            credit.work -= ceil(over / self.mean) * self.mean
        return credit

    def stands(self, now: Time, drawn: Time) -> bool:
        """Whether a query that drew a permit may still use it. Guards against queries that wait with
        theirs and are all sent in one instant."""
        return now - drawn <= DRAWN * self.window

    def forget(self, engine: EngineId) -> None:
        self.credits.pop(engine, None)
