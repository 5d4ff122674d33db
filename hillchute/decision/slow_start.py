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

from hillchute.decision.interface import EngineId, Time
from hillchute.decision.state import Engine

COLD_SHARE = 0.7  # of what a recovering engine can do, sent by all routers: what a warm one bears well
SMOOTH = 0.1  # share of the newest query in the mean work
UNUSED = 1.0  # windows for which a permit that nobody used stands
DRAWN = 0.5  # windows for which a query that drew one may wait with it


class SlowStart:
    """Permits of one router, by engine."""

    def __init__(self, window: Time, chance: Callable[[], float]) -> None:
        """`window`: over which the settings state the budget; `chance`: a new number from 0 to 1."""
        self.window, self.chance = window, chance
        self.mean = 0.0  # work of the queries that may use permits
        # By engine: its start, and when the next permit stands.
        self.next: dict[EngineId, tuple[Time, Time]] = {}

    def seen(self, work: float) -> None:
        """A query that may use a permit has lined up."""
        self.mean += SMOOTH * (work - self.mean) if self.mean else work

    def draw(self, now: Time, engines: Iterable[Engine], work: float, part: float) -> EngineId | None:
        """Uses the permit that has stood longest for this query, if there is one; `part` of the budget is
        this router's."""
        found, longest = None, now
        for engine in engines:
            at = self.permit_at(now, engine, part)
            if at <= longest:
                found, longest = engine, at
        if found is None:
            return None
        self.next[found.id] = found.started, longest + self.spacing(now, found, work, part)
        return found.id

    def permit_at(self, now: Time, engine: Engine, part: float) -> Time:
        """When the next permit of an engine stands; one that nobody used in time is gone."""
        spacing = self.spacing(now, engine, self.mean, part)
        started, at = self.next.get(engine.id, (None, now))
        if started != engine.started:
            at = now + 1 + int(self.chance() * spacing)
        oldest = now - int(UNUSED * self.window)
        if at < oldest:
            at += -(-(oldest - at) // spacing) * spacing
        self.next[engine.id] = engine.started, at
        return at

    def spacing(self, now: Time, engine: Engine, work: float, part: float) -> Time:
        """The time in which this router's part of what the engine can do makes up for so much work."""
        return max(1, round(work / (COLD_SHARE * engine.able(now) * part)))

    def stands(self, now: Time, drawn: Time) -> bool:
        """Whether a query that drew a permit may still use it. Guards against queries that wait with
        theirs and are all sent in one instant."""
        return now - drawn <= DRAWN * self.window

    def listed(self, engines: Iterable[EngineId]) -> None:
        """Only these are known any more."""
        self.next = {engine: self.next[engine] for engine in engines if engine in self.next}
