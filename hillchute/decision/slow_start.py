"""Slow start: limits how much work this router sends to an engine that has just started.

A query needs a permit to be sent to a warming engine. Performs no I/O and reads no clock. Times are whole
tenths of a millisecond, work is core time.

Routers do not coordinate here, and a router's share of an engine's budget may be less than one query. Each
router therefore chooses the time of its first permit at random, and the work sent with a permit determines
when the next one follows. Within any window, all routers together send the sum of their shares of the
budget and at most the same amount again from unused permits, whatever their earlier traffic, and however
many routers restart or engines start at once. A rate limit based on past traffic would let a burst after a
quiet time exceed the share many times over.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil

from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.interface import EngineId, Time
from hillchute.decision.query_state import QueryState
from hillchute.decision.statistics import TRAFFIC_SPAN, WorkWindow, smoothed
from hillchute.settings import Settings

# Share of a warming engine's capacity that all routers together use: a load that warm engines sustain well.
WARM_UP_BUDGET_SHARE = 0.7
UNUSED_PERMIT_WINDOWS = 1.0  # windows for which an unused permit remains valid
DRAWN_PERMIT_WINDOWS = 0.5  # windows for which a query may wait with the permit that it drew
# Fewest queries with permits that together overload a warming engine, so that a random run of a few heavy
# queries can't overload it.
MIN_OVERLOADING_QUERIES = 16


@dataclass(slots=True)
class Credit:
    """The work that one router may send to one engine; a permit is available while it is not negative."""

    engine_started: Time  # start time of the engine that the credit is for
    updated: Time
    work: float


class PermitLedger:
    """The permits of one router, by engine."""

    def __init__(self, window: Time, random_fraction: Callable[[], float]) -> None:
        """`window`: the period of the settings' budget; `random_fraction`: returns a number from 0 to 1."""
        self.window = window
        self.random_fraction = random_fraction
        self.mean_work = 0.0  # of queries that may use permits
        self.credits: dict[EngineId, Credit] = {}

    def count_query(self, work: float) -> None:
        """Counts a queued query that may use a permit, with its work."""
        self.mean_work = smoothed(self.mean_work, work)

    def draw(self, now: Time, engines: Iterable[EngineState], work: float, share: float) -> EngineId | None:
        """Draws a permit for a query and returns the permit's engine; None if there is no permit.

        The engine is the one with the most credit. `share` is this router's share of the budget.
        """
        best_engine = None
        most_credit = 0.0
        for engine in engines:
            credit = self.credit(now, engine, share)
            if credit.work >= most_credit:
                best_engine = engine.id
                most_credit = credit.work
        if best_engine is not None:
            self.credits[best_engine].work -= work
        return best_engine

    def credit(self, now: Time, engine: EngineState, share: float) -> Credit:
        """Returns the present credit for an engine; unused permits expire."""
        credit = self.credits.get(engine.id)
        if credit is None or credit.engine_started != engine.started:
            # The first permit comes at a random time: a router with a share of less than one query gets a
            # permit once in several windows, and all routers together get the sum of their shares.
            credit = Credit(engine.started, now, -self.random_fraction() * self.mean_work)
            self.credits[engine.id] = credit
        rate = WARM_UP_BUDGET_SHARE * engine.usable_cores(now) * share
        credit.work += rate * (now - credit.updated)
        credit.updated = now
        excess = credit.work - rate * UNUSED_PERMIT_WINDOWS * self.window
        if excess > 0:
            credit.work -= ceil(excess / self.mean_work) * self.mean_work
        return credit

    def is_valid(self, now: Time, drawn: Time) -> bool:
        """Returns whether a permit that was drawn at that time is still valid.

        Guards against queries that wait with their permits and are then all sent at once.
        """
        return now - drawn <= DRAWN_PERMIT_WINDOWS * self.window

    def forget(self, engine: EngineId) -> None:
        """Drops the credit of an engine that is no longer known."""
        self.credits.pop(engine, None)


class SlowStart:
    """Decides which warming engine, if any, is open to a query."""

    def __init__(
        self, settings: Settings, pool: EnginePool, random_fraction: Callable[[], float], now: Time
    ) -> None:
        warm_up = settings.warm_up
        weakest = settings.fewest_cores
        overloading_work = warm_up.budget_multiple * warm_up.initial_share * warm_up.budget_window * weakest
        self.pool = pool
        self.max_permit_work = overloading_work / MIN_OVERLOADING_QUERIES  # of one query
        self.light_traffic = WorkWindow(now)  # queries that may use permits
        self.permits = PermitLedger(warm_up.budget_window, random_fraction)

    def draw_permit(self, now: Time, query: QueryState) -> None:
        """Draws a permit for one warming engine, if any is available; called each time the query is queued.

        Guards warming engines against the total load from all routers, also when all routers learn of an
        engine at once, restart, have a burst after a quiet time, or have a share of less than one query.
        """
        query.permit_engine = None
        query.permit_at = now
        if query.work > self.max_permit_work:
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
        """Returns whether the permit that a query drew is still valid."""
        return self.permits.is_valid(now, query.permit_at)

    def admits(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Returns whether the query has a valid permit for this engine."""
        return query.permit_engine == engine.id and self.may_use_permit(now, query)
