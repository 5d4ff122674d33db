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

from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.interface import EngineId, Time
from hillchute.decision.query_state import QueryState
from hillchute.decision.statistics import TRAFFIC_SPAN, WorkWindow, smoothed
from hillchute.settings import Settings

WARM_UP_BUDGET_SHARE = (
    0.7  # of what a recovering engine can do, sent by all routers: what a warm one bears well
)
UNUSED_WINDOWS = 1.0  # for which a permit that nobody used is valid
PERMIT_WINDOWS = 0.5  # for which a query that drew a permit may wait with it
FEWEST_QUERIES = 16  # that overload a recovering engine together: few heavy ones must not by chance


@dataclass(slots=True)
class Credit:
    """What one router may send one engine, in work; there is a permit while it is not below 0."""

    engine_started: Time  # the start of the engine that it is for
    updated: Time
    work: float


class PermitLedger:
    """Permits of one router, by engine."""

    def __init__(self, window: Time, chance: Callable[[], float]) -> None:
        """`window`: over which the settings state the budget; `chance`: a new number from 0 to 1."""
        self.window = window
        self.chance = chance
        self.mean_work = 0.0  # of the queries that may use permits
        self.credits: dict[EngineId, Credit] = {}

    def count_query(self, work: float) -> None:
        """A query that may use a permit has lined up."""
        self.mean_work = smoothed(self.mean_work, work)

    def draw(self, now: Time, engines: Iterable[EngineState], work: float, share: float) -> EngineId | None:
        """Uses a permit for a query, that of the engine with the most credit, if there is one; `share` of
        the budget is this router's."""
        found = None
        most = 0.0
        for engine in engines:
            credit = self.credit(now, engine, share)
            if credit.work >= most:
                found = engine.id
                most = credit.work
        if found is not None:
            self.credits[found].work -= work
        return found

    def credit(self, now: Time, engine: EngineState, share: float) -> Credit:
        """As of now; a permit that nobody used in time is gone."""
        credit = self.credits.get(engine.id)
        if credit is None or credit.engine_started != engine.started:
            # The first permit comes at a moment by chance: a router with a share of less than one query has
            # one in so many windows, and all together have their sum.
            credit = Credit(engine.started, now, -self.chance() * self.mean_work)
            self.credits[engine.id] = credit
        rate = WARM_UP_BUDGET_SHARE * engine.usable_cores(now) * share
        credit.work += rate * (now - credit.updated)
        credit.updated = now
        excess = credit.work - rate * UNUSED_WINDOWS * self.window
        if excess > 0:
            credit.work -= ceil(excess / self.mean_work) * self.mean_work
        return credit

    def is_valid(self, now: Time, drawn: Time) -> bool:
        """Whether a query that drew a permit then may still use it. Guards against queries that wait with
        theirs and are all sent in one instant."""
        return now - drawn <= PERMIT_WINDOWS * self.window

    def forget(self, engine: EngineId) -> None:
        """An engine is no longer known."""
        self.credits.pop(engine, None)


class SlowStart:
    """Which engine that warms up, if any, is open to a query."""

    def __init__(self, settings: Settings, pool: EnginePool, chance: Callable[[], float], now: Time) -> None:
        warm_up = settings.warm_up
        weakest = settings.fewest_cores
        overloading = warm_up.budget_multiple * warm_up.initial_share * warm_up.budget_window * weakest
        self.pool = pool
        self.heaviest = overloading / FEWEST_QUERIES  # work of a query that may use a permit
        self.light_traffic = WorkWindow(now)  # queries that may use permits
        self.permits = PermitLedger(warm_up.budget_window, chance)

    def draw_permit(self, now: Time, query: QueryState) -> None:
        """Draws the one engine that warms up and is open to a query, each time that it lines up.

        Guards such an engine against the sum of routers, also when all learn of it at once, restart, see a
        burst after a quiet time, or have a share of less than a query."""
        query.permit_engine = None
        query.permit_at = now
        if query.work > self.heaviest:
            return
        self.light_traffic.add(now, query.work, TRAFFIC_SPAN)
        self.permits.count_query(query.work)
        warming_up = self.pool.warming_up
        for engine in [engine for engine in warming_up.values() if not engine.is_warming_up(now)]:
            del warming_up[engine.id]
        shares = self.pool.shares
        excluded = shares.excluded_engines
        engines = [engine for engine in warming_up.values() if engine.ready and engine.id not in excluded]
        share = 1 / self.pool.routers if shares.warm_up is None else shares.warm_up
        query.permit_engine = self.permits.draw(now, engines, query.work, share)

    def may_use_permit(self, now: Time, query: QueryState) -> bool:
        """Whether the permit that a query has drawn is still valid."""
        return self.permits.is_valid(now, query.permit_at)

    def admits(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Whether the query has a permit for an engine that warms up."""
        return query.permit_engine == engine.id and self.may_use_permit(now, query)
