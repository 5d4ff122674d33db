"""Placement: determines the engines that a query may be sent to, and chooses one of them.

For each table group, all routers compute the same division of the engines: one half runs its bulk loads, the
other half the queries that bulk loads would block. The choice among several engines is random and weighted
against load.
"""

from bisect import bisect
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import EngineId, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.query_state import QueryState
from hillchute.decision.retries import RetryPolicy
from hillchute.decision.slow_start import SlowStart
from hillchute.settings import DeduplicationScope, Effect, Settings

# Threads per core that are added to each load, so that an apparently idle engine is not chosen by all routers
# at once.
BASE_LOAD = 0.4
# Table groups whose last engine is remembered. Engines keep only a few each in memory, and clients may name
# ever new ones.
MAX_AFFINITIES = 8_192
LOAD_EXPONENT = 4  # an engine with twice the load is chosen a sixteenth as often


class Placement:
    """Checks the eligibility of engines and chooses among the eligible ones."""

    def __init__(
        self,
        settings: Settings,
        load: LoadEstimator,
        retries: RetryPolicy,
        slow_start: SlowStart,
        random_fraction: Callable[[], float],
    ) -> None:
        self.router = settings.router
        self.pool = load.pool
        self.load = load
        self.retries = retries
        self.slow_start = slow_start
        self.random_fraction = random_fraction
        # The engine that last ran each table group; the one that has run least recently is first.
        self.affinity: OrderedDict[int | None, EngineId] = OrderedDict()

    # ---- eligibility ------------------------------------------------------------------------------

    def may_send(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Returns whether the query may be sent to this engine now, regardless of load."""
        return self.retries.may_attempt(now, query) and self.is_eligible(now, engine, query)

    def is_eligible(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Returns whether the engine is ready and may run the query, by permit only during its warm-up."""
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
        """Returns whether the engine drops repeats of idempotency keys seen by the query's first engine."""
        scope = query.group.settings.deduplication
        if scope is DeduplicationScope.ALL or query.first_run is None:
            return True
        first = self.pool.engines.get(query.first_run.engine)
        if first is None or engine.zone != first.zone:
            return False
        return scope is not DeduplicationScope.CELL or engine.cell == first.cell

    def eligible_engines(self, now: Time, query: QueryState) -> list[EngineState]:
        """Returns the engines that may run the query and are not ejected.

        A bulk load never shares an engine with another one of its table group. If there are others, a query
        that waits for bulk loads avoids such engines, and a retry avoids the engine of the previous attempt.
        """
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
        if group.waits_for_bulk_loads or group.is_bulk_load:
            engines = self.filter_by_half(engines, query)
            undisturbed = [engine for engine in engines if query.table_group not in engine.running_bulk_loads]
            if undisturbed or group.is_bulk_load:
                engines = undisturbed
        if query.attempts:
            last = query.attempts[-1].engine
            engines = [engine for engine in engines if engine.id != last] or engines
        return engines

    def is_preferred(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Returns whether an engine meets all criteria of `eligible_engines`, also the optional ones."""
        if query.attempts and not self.retries.may_retry(now, query):
            return False
        if now < engine.ejected_until or not self.is_eligible(now, engine, query):
            return False
        if query.attempts and query.attempts[-1].engine == engine.id:
            return False
        group = query.group.settings
        if not (group.waits_for_bulk_loads or group.is_bulk_load):
            return True
        if query.table_group in engine.running_bulk_loads or not self.is_in_half(engine, query):
            return False
        return self._is_own_bulk_load_engine(engine, query)

    def has_eligible_engine(self, now: Time, query: QueryState) -> bool:
        """Returns whether any engine may run the query and is not ejected."""
        if any(self.is_preferred(now, engine, query) for engine in self.first_choices(query)):
            return True
        return bool(self.eligible_engines(now, query))

    def may_join_team(self, now: Time, engine: EngineState, query: QueryState) -> bool:
        """Returns whether a query may join a team on this engine: one that it could also choose itself."""
        group = query.group.settings
        if not self.may_send(now, engine, query) or group.is_bulk_load:
            return False
        if group.waits_for_bulk_loads and (
            query.table_group in engine.running_bulk_loads or not self.is_in_half(engine, query)
        ):
            return False
        return not (query.attempts and query.attempts[-1].engine == engine.id)

    # ---- halves: bulk loads, and the queries that they would block --------------------------------

    def position(self, engine: EngineState, query: QueryState) -> int:
        """Returns the engine's position in the order for the query's table group.

        All table groups use the same order with different offsets, so that a change of the endpoint list
        moves few engines.
        """
        order = self.pool.order
        return (order.position(engine.id) + query.placement_offset) % len(order)

    def _load_half_size(self) -> int:
        return (len(self.pool.order) + 1) // 2

    def is_in_half(self, engine: EngineState, query: QueryState) -> bool:
        """Returns whether the engine is in the query's half; a permit also opens one in the load half."""
        is_for_loads = self.position(engine, query) < self._load_half_size()
        return is_for_loads == query.group.settings.is_bulk_load or (
            is_for_loads and engine.id == query.permit_engine
        )

    def filter_by_half(self, engines: list[EngineState], query: QueryState) -> list[EngineState]:
        """Returns the engines of the half for the query, or all where that half has none of them.

        One half runs the bulk loads of a table group, the other the queries that wait for bulk loads. Guards
        against queries that are blocked by bulk loads of other routers, as all routers divide the engines the
        same way. Harmful where one half has too few engines for its queries.
        """
        engines = [engine for engine in engines if self.is_in_half(engine, query)] or engines
        if not query.group.settings.is_bulk_load or self.pool.routers > self._load_half_size():
            return engines
        return [engine for engine in engines if self._is_own_bulk_load_engine(engine, query)] or engines

    def _is_own_bulk_load_engine(self, engine: EngineState, query: QueryState) -> bool:
        """Returns whether this router may run the query's bulk load on the engine.

        With few routers, each has its own engines for the bulk loads of a table group, so that none of these
        is blocked by another router's.
        """
        half_size = self._load_half_size()
        if not query.group.settings.is_bulk_load or self.pool.routers > half_size:
            return True
        position = self.position(engine, query)
        return position < half_size and position % self.pool.routers == self.router

    def blocked_bulk_load_engines(self, now: Time, query: QueryState) -> list[EngineState]:
        """Returns the engines for a bulk load if this router's bulk loads would block it on all of them."""
        if not query.group.settings.is_bulk_load:
            return []
        eligible = [e for e in self.pool.engines.values() if self.is_eligible(now, e, query)]
        engines = self.filter_by_half(eligible, query)
        if all(query.table_group in engine.running_bulk_loads for engine in engines):
            return engines
        return []

    # ---- the choice -------------------------------------------------------------------------------

    def first_choices(self, query: QueryState, affine: EngineState | None = None) -> list[EngineState]:
        """Returns the engines to consider first: the permit's, or else the subset and the affine engine."""
        if query.permit_engine is not None:
            engine = self.pool.engines.get(query.permit_engine)
            return [engine] if engine else []
        engines = self.pool.subset_engines()
        if affine is not None and affine.id not in self.pool.subset:
            engines.append(affine)
        return engines

    def remember_engine(self, query: QueryState, engine: EngineState) -> None:
        """Records the engine that runs a table group; forgets the least recent one beyond the limit."""
        self.affinity[query.table_group] = engine.id
        self.affinity.move_to_end(query.table_group)
        if len(self.affinity) > MAX_AFFINITIES:
            self.affinity.popitem(last=False)

    def affine_engine(self, query: QueryState) -> EngineState | None:
        """Returns the engine that last ran the query's table group, if it is still known."""
        engine = self.affinity.get(query.table_group)
        return None if engine is None else self.pool.engines.get(engine)

    def pick(
        self, now: Time, query: QueryState, engines: Sequence[EngineState], affine: EngineState | None
    ) -> EngineState | None:
        """Returns the engine of the query's permit, the affine engine, or a random one, in that order."""
        permitted = None if query.permit_engine is None else self.pool.engines.get(query.permit_engine)
        for engine in (permitted, affine):
            if engine is not None and engine in engines:
                return engine
        return self.draw(now, engines)

    def draw(self, now: Time, engines: Sequence[EngineState]) -> EngineState | None:
        """Returns a random engine, weighted against load; None if there are no engines."""
        if not engines:
            return None
        weights: Iterable[float] = (
            (BASE_LOAD + self.load.estimated_threads(now, engine) / engine.cores) ** -LOAD_EXPONENT
            for engine in engines
        )
        sums = list(accumulate(weights))
        return engines[bisect(sums, self.random_fraction() * sums[-1])]
