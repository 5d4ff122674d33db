"""Health checks: polling engines for their load, before a query goes to one and at a pace beside it.

Only where load reports come by health checks alone.
"""

from collections import deque
from collections.abc import Callable

from hillchute.decision.admission import Admission
from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import MILLISECOND, Decision, HealthCheck, Time
from hillchute.decision.load_estimation import REPORT_HALF_LIFE, LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_state import QueryState
from hillchute.settings import Settings

CHECK_EVERY: Time = 400 * MILLISECOND  # per engine; reports are rarely fresher than that
WAIT_FOR_ANSWER: Time = 100 * MILLISECOND  # that a query waits for: a handshake, a slow loop
MOST_OVERLOADED = 3  # crowded engines that a query passes over before it goes to the best of them, or to none
QUERY_COST_SHARE = 0.05  # of its own weight that a query's check may cost: it raises its odds by about that
PACED_COST_SHARE = 0.01  # of all weight that checks beside these may cost: they serve nobody in particular

HasRoom = Callable[[EngineState], bool]


class HealthChecks:
    """When to ask which engine for its load, and the choice of an engine by the answers."""

    def __init__(
        self,
        settings: Settings,
        load: LoadEstimator,
        placement: Placement,
        admission: Admission,
        planned: deque[Decision],
    ) -> None:
        self.enabled = settings.health_checks
        self.cost = settings.health_check_cost
        self.pool = load.pool
        self.load = load
        self.placement = placement
        self.admission = admission
        self.planned = planned
        self.credit = float(len(settings.groups))  # checks that may be sent beside those for queries
        self.credit_per_query = PACED_COST_SHARE / (self.cost or PACED_COST_SHARE)
        self.next_check: Time = 0

    def query_arrived(self) -> None:
        """Checks are paced by the queries admitted, up to one for each engine."""
        share = self.pool.shares.health_checks
        self.credit += min(self.credit_per_query, share, len(self.pool.engines) - self.credit)

    def send(self, now: Time, engine: EngineState) -> None:
        """Asks an engine for its load."""
        engine.checked_at = now
        self.credit -= 1
        self.planned.append(HealthCheck(engine.id))

    def send_paced(self, now: Time) -> None:
        """Asks the engine of the subset whose last report or check is the oldest."""
        if not self.enabled or now < self.next_check or self.credit < 1:
            return
        engines = filter(None, map(self.pool.engines.get, self.pool.subset or self.pool.engines))
        known = [
            (max(engine.checked_at, engine.reported_at), engine.id)
            for engine in engines
            if engine.ready and engine.ejected_until <= now
        ]
        if not known:
            self.next_check = max(now + MILLISECOND, CHECK_EVERY)
            return
        known_at, longest_ago = min(known)
        if now - known_at >= CHECK_EVERY:
            self.send(now, self.pool.engines[longest_ago])
        else:
            self.next_check = max(now + MILLISECOND, known_at + CHECK_EVERY)

    def is_stale(self, now: Time, engine: EngineState) -> bool:
        """Whether an engine's last report is so old that a check would be worth more."""
        return self.enabled and now - engine.reported_at > REPORT_HALF_LIFE

    def waits_for_answer(self, now: Time, query: QueryState) -> bool:
        """Whether the engine that is checked for a query may still answer."""
        if query.checked_engine is None:
            return False
        engine = self.pool.engines.get(query.checked_engine)
        if engine is None or now >= query.checked_at + WAIT_FOR_ANSWER:
            return False
        return max(engine.reported_at, engine.failed_at) < query.checked_at

    def choose(
        self,
        now: Time,
        query: QueryState,
        has_room: HasRoom,
        affine: EngineState | None = None,
    ) -> EngineState | None:
        """The engine for a query, once enough is known of it; None while one is checked, or all are full.

        Guards against choosing on old reports: a router of hundreds has few fresh ones, and an overloaded or
        dead engine would be chosen again and again."""
        silent = None
        checked = None if query.checked_engine is None else self.pool.engines.get(query.checked_engine)
        query.checked_engine = None
        if checked is not None and checked.reported_at >= query.checked_at:
            calm = self.load.is_lightly_loaded(now, checked) and has_room(checked)
            if calm and checked in self.placement.eligible_engines(now, query):
                return checked
            query.overloaded_checks += 1
        elif checked is not None:
            silent = checked
        engines = self.candidates(now, query, has_room, affine, silent)
        if not self.enabled:
            return self.placement.pick(now, query, engines, affine)
        engine = self.placement.pick(now, query, self._worth_a_visit(now, query, engines), affine)
        if engine is None or engine.id == query.permit_engine or not self.is_stale(now, engine):
            return engine
        if not self._may_cost_a_check(query):
            return engine
        query.checked_engine = engine.id
        query.checked_at = now
        if now - engine.checked_at >= WAIT_FOR_ANSWER:
            self.send(now, engine)
        return None

    def _worth_a_visit(self, now: Time, query: QueryState, engines: list[EngineState]) -> list[EngineState]:
        if query.overloaded_checks >= MOST_OVERLOADED and now - query.checked_at < CHECK_EVERY:
            return [engine for engine in engines if not self.is_stale(now, engine)]
        return [engine for engine in engines if self._may_be_lightly_loaded(now, engine)] or engines

    def _may_be_lightly_loaded(self, now: Time, engine: EngineState) -> bool:
        return self.is_stale(now, engine) or self.load.is_lightly_loaded(now, engine)

    def _may_cost_a_check(self, query: QueryState) -> bool:
        weight = query.group.settings.weight
        return self.cost * (self.admission.mean_weight or weight) <= QUERY_COST_SHARE * weight

    def candidates(
        self,
        now: Time,
        query: QueryState,
        has_room: HasRoom,
        affine: EngineState | None,
        silent: EngineState | None,
    ) -> list[EngineState]:
        """The engines to draw from; `silent` has not answered its check.

        Guards against knowing little of all: a router of hundreds keeps to its subset, and to affine engines,
        while they have room. They are looked at first, so that a query does not cost more the more engines
        there are."""
        first = self.placement.first_choices(query, affine)
        preferred = [
            engine
            for engine in first
            if engine is not silent and self.placement.is_preferred(now, engine, query) and has_room(engine)
        ]
        preferred = [engine for engine in preferred if self._may_be_lightly_loaded(now, engine)]
        if preferred:
            return preferred
        engines = [engine for engine in self.placement.eligible_engines(now, query) if has_room(engine)]
        engines = [engine for engine in engines if engine is not silent] or engines
        return [
            engine for engine in engines if engine in first and self._may_be_lightly_loaded(now, engine)
        ] or engines
