"""Placement: which engines a query may go to, and which of them it gets.

All routers work out alike which engines serve a table group's loads and which the queries that would stand
still behind them; the choice among several is drawn by chance, weighted against load.
"""

from bisect import bisect
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import EngineId, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.query_state import QueryState
from hillchute.decision.retries import RetryPolicy
from hillchute.decision.slow_start import SlowStart
from hillchute.settings import DeduplicationScope, Effect, Settings

IDLE_LOAD = (
    0.4  # threads a core added to each load: an engine that looks idle doesn't draw all routers at once
)
SHARPNESS = 4  # power of the draw's weight: twice the load, a sixteenth of the draws


class Placement:
    """Eligibility of engines, and the draw among them."""

    def __init__(
        self,
        settings: Settings,
        load: LoadEstimator,
        retries: RetryPolicy,
        slow_start: SlowStart,
        chance: Callable[[], float],
    ) -> None:
        self.router = settings.router
        self.pool = load.pool
        self.load = load
        self.retries = retries
        self.slow_start = slow_start
        self.chance = chance
        self.affinity: dict[int | None, EngineId] = {}  # table group: the engine that last ran it

    # ---- eligibility ------------------------------------------------------------------------------

    def may_send(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Whether the query may go to this engine now, whatever the load."""
        return self.retries.may_attempt(now, query) and self.is_eligible(now, engine, query)

    def is_eligible(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Whether the engine is ready, where the query may run, and open to it if it warms up."""
        group = query.group.settings
        if not engine.ready:
            return False
        if group.zones is not None and engine.zone not in group.zones:
            return False
        if group.kinds is not None and engine.kind not in group.kinds:
            return False
        may_have_run = query.first_run is not None and group.effect is Effect.IDEMPOTENT
        if may_have_run and not self._drops_repeats(engine, query):
            return False
        return not engine.is_warming_up(now) or self.slow_start.admits(now, engine, query)

    def _drops_repeats(self, engine: EngineState, query: QueryState) -> bool:
        """Whether an engine knows the idempotency keys that the query's first one has seen."""
        scope = query.group.settings.deduplication
        if scope is DeduplicationScope.ALL or query.first_run is None:
            return True
        first = self.pool.engines.get(query.first_run.engine)
        if first is None or engine.zone != first.zone:
            return False
        return scope is not DeduplicationScope.CELL or engine.cell == first.cell

    def eligible_engines(self, now: Time, query: QueryState) -> list[EngineState]:
        """Engines that may take the query and are not ejected. One that waits for loads keeps off their
        table groups, and a retry off the engine before, if there are others."""
        if query.attempts and not self.retries.may_retry(now, query):
            return []
        if query.permit_engine is not None and not self.slow_start.may_use_permit(now, query):
            self.slow_start.draw_permit(now, query)
        engines = [
            engine
            for engine in self.pool.engines.values()
            if now >= engine.ejected_until and self.is_eligible(now, engine, query)
        ]
        group = query.group.settings
        if group.waits_for_loads or group.is_load:
            engines = self.on_right_side(engines, query)
            undisturbed = [engine for engine in engines if query.table_group not in engine.running_loads]
            if undisturbed or group.is_load:
                engines = undisturbed
        if query.attempts:
            last = query.attempts[-1].engine
            engines = [engine for engine in engines if engine.id != last] or engines
        return engines

    def is_preferred(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Whether an engine is what `eligible_engines` wants where it need not make do with less."""
        if query.attempts and not self.retries.may_retry(now, query):
            return False
        if now < engine.ejected_until or not self.is_eligible(now, engine, query):
            return False
        if query.attempts and query.attempts[-1].engine == engine.id:
            return False
        group = query.group.settings
        if not (group.waits_for_loads or group.is_load):
            return True
        if query.table_group in engine.running_loads or not self.is_on_side(engine, query):
            return False
        return self._is_own_load_engine(engine, query)

    def may_go_somewhere(self, now: Time, query: QueryState) -> bool:
        """Whether any engine may take the query and is not ejected."""
        if any(self.is_preferred(now, engine, query) for engine in self.first_choices(query)):
            return True
        return bool(self.eligible_engines(now, query))

    def may_join_team(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Whether a query may join a team on this engine: it is one that it might have drawn itself."""
        group = query.group.settings
        if not self.may_send(now, engine, query) or group.is_load:
            return False
        if group.waits_for_loads and (
            query.table_group in engine.running_loads or not self.is_on_side(engine, query)
        ):
            return False
        return not (query.attempts and query.attempts[-1].engine == engine.id)

    # ---- sides: loads, and the queries that would stand still behind them -------------------------

    def position(self, engine: EngineState, query: QueryState) -> int:
        """One order of engines for all table groups, each beginning elsewhere in it: a change of the endpoint
        list moves few."""
        order = self.pool.order
        return (order.position(engine.id) + query.placement_offset) % len(order)

    def _load_side_size(self) -> int:
        return (len(self.pool.order) + 1) // 2

    def is_on_side(self, engine: EngineState, query: QueryState) -> bool:
        """Whether an engine is on the query's side of its table group's order."""
        is_for_loads = self.position(engine, query) < self._load_side_size()
        return is_for_loads == query.group.settings.is_load or (
            is_for_loads and engine.id == query.permit_engine
        )

    def on_right_side(self, engines: list[EngineState], query: QueryState) -> list[EngineState]:
        """Loads of a table group keep to one half of the engines, queries that wait for loads to the other,
        if there are any there.

        Guards against standing still behind loads of other routers: all split alike. Harms a short half."""
        engines = [engine for engine in engines if self.is_on_side(engine, query)] or engines
        if not query.group.settings.is_load or self.pool.routers > self._load_side_size():
            return engines
        return [engine for engine in engines if self._is_own_load_engine(engine, query)] or engines

    def _is_own_load_engine(self, engine: EngineState, query: QueryState) -> bool:
        """Few routers: each has engines of its own for a group's loads; none stands behind another's."""
        half = self._load_side_size()
        if not query.group.settings.is_load or self.pool.routers > half:
            return True
        position = self.position(engine, query)
        return position < half and position % self.pool.routers == self.router

    def blocked_load_engines(self, now: Time, query: QueryState) -> list[EngineState]:
        """The engines for this load, if it would only stand still, behind one of this router's, on all."""
        if not query.group.settings.is_load:
            return []
        eligible = [e for e in self.pool.engines.values() if self.is_eligible(now, e, query)]
        engines = self.on_right_side(eligible, query)
        if all(query.table_group in engine.running_loads for engine in engines):
            return engines
        return []

    # ---- the choice -------------------------------------------------------------------------------

    def first_choices(self, query: QueryState, affine: EngineState | None = None) -> list[EngineState]:
        """The engines that a query looks at first: that of its permit, else the subset and its affine one."""
        if query.permit_engine is not None:
            engine = self.pool.engines.get(query.permit_engine)
            return [engine] if engine else []
        engines = self.pool.subset_engines()
        if affine is not None and affine.id not in self.pool.subset:
            engines.append(affine)
        return engines

    def affine_engine(self, query: QueryState) -> EngineState | None:
        """The engine that last ran the query's table group, if it is known still."""
        engine = self.affinity.get(query.table_group)
        return None if engine is None else self.pool.engines.get(engine)

    def pick(
        self, now: Time, query: QueryState, engines: Sequence[EngineState], affine: EngineState | None
    ) -> EngineState | None:
        """The engine of the query's permit, its table group's last engine, or one by chance."""
        permitted = None if query.permit_engine is None else self.pool.engines.get(query.permit_engine)
        for engine in (permitted, affine):
            if engine is not None and engine in engines:
                return engine
        return self.draw(now, engines)

    def draw(self, now: Time, engines: Sequence[EngineState]) -> EngineState | None:
        """One by chance, weighted against load; None of none."""
        if not engines:
            return None
        weights: Iterable[float] = (
            (IDLE_LOAD + self.load.believed_threads(now, engine) / engine.cores) ** -SHARPNESS
            for engine in engines
        )
        sums = list(accumulate(weights))
        return engines[bisect(sums, self.chance() * sums[-1])]
