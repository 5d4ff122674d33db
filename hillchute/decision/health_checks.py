"""Health checks: poll an engine for its load before a query is sent to it, and periodically.

Used only where engines send load reports in answer to health checks alone.
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

CHECK_INTERVAL: Time = 400 * MILLISECOND  # per engine; reports are rarely more recent than that
CHECK_TIMEOUT: Time = 100 * MILLISECOND  # for which a query waits; covers a handshake and a slow event loop
# After this many checks of overloaded engines, a query goes to an engine with a recent report or to none.
MAX_OVERLOADED_CHECKS = 3
# Share of a query's weight that its check may cost; the check raises its chance of success by about as much.
QUERY_CHECK_COST_SHARE = 0.05
# Share of the weight of all queries that periodic checks may cost; they help no particular query.
PERIODIC_CHECK_COST_SHARE = 0.01

HasCapacity = Callable[[EngineState], bool]


class HealthChecks:
    """Decides when to check which engine, and chooses an engine for a query by the results."""

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
        # Periodic checks that may be sent; checks for queries are deducted too.
        self.credit = float(len(settings.groups))
        self.credit_per_query = PERIODIC_CHECK_COST_SHARE / (self.cost or PERIODIC_CHECK_COST_SHARE)
        self.next_check: Time = 0

    def query_arrived(self) -> None:
        """Earns credit for periodic checks with each admitted query, up to one check per engine."""
        share = self.pool.shares.health_checks
        self.credit += min(self.credit_per_query, share, len(self.pool.engines) - self.credit)

    def send(self, now: Time, engine: EngineState) -> None:
        """Sends a health check to an engine."""
        engine.checked_at = now
        self.credit -= 1
        self.planned.append(HealthCheck(engine.id))

    def send_periodic(self, now: Time) -> None:
        """Checks the engine of the subset whose last report or check is the oldest, if a check is due."""
        if not self.enabled or now < self.next_check or self.credit < 1:
            return
        engines = filter(None, map(self.pool.engines.get, self.pool.subset or self.pool.engines))
        known = [
            (max(engine.checked_at, engine.reported_at), engine.id)
            for engine in engines
            if engine.ready and engine.ejected_until <= now
        ]
        if not known:
            self.next_check = max(now + MILLISECOND, CHECK_INTERVAL)
            return
        known_at, engine_id = min(known)
        if now - known_at >= CHECK_INTERVAL:
            self.send(now, self.pool.engines[engine_id])
        else:
            self.next_check = max(now + MILLISECOND, known_at + CHECK_INTERVAL)

    def is_stale(self, now: Time, engine: EngineState) -> bool:
        """Returns whether an engine's last report is so old that a check would tell more."""
        return self.enabled and now - engine.reported_at > REPORT_HALF_LIFE

    def waits_for_answer(self, now: Time, query: QueryState) -> bool:
        """Returns whether the engine that is checked for a query may still answer in time."""
        if query.checked_engine is None:
            return False
        engine = self.pool.engines.get(query.checked_engine)
        if engine is None or now >= query.checked_at + CHECK_TIMEOUT:
            return False
        return max(engine.reported_at, engine.failed_at) < query.checked_at

    def choose(
        self,
        now: Time,
        query: QueryState,
        has_capacity: HasCapacity,
        affine: EngineState | None = None,
    ) -> EngineState | None:
        """Returns the engine for a query; None while an engine is checked for it, or if all are full.

        Guards against choosing by old reports: with hundreds of routers, each has few recent ones, and an
        overloaded or dead engine would be chosen repeatedly.
        """
        unresponsive = None
        checked = None if query.checked_engine is None else self.pool.engines.get(query.checked_engine)
        query.checked_engine = None
        if checked is not None and checked.reported_at >= query.checked_at:
            is_usable = self.load.is_lightly_loaded(now, checked) and has_capacity(checked)
            if is_usable and checked in self.placement.eligible_engines(now, query):
                return checked
            query.overloaded_checks += 1
        elif checked is not None:
            unresponsive = checked
        engines = self.candidates(now, query, has_capacity, affine, unresponsive)
        if not self.enabled:
            return self.placement.pick(now, query, engines, affine)
        engine = self.placement.pick(now, query, self._filter_by_load(now, query, engines), affine)
        if engine is None or engine.id == query.permit_engine or not self.is_stale(now, engine):
            return engine
        if not self._is_worth_a_check(query):
            return engine
        query.checked_engine = engine.id
        query.checked_at = now
        if now - engine.checked_at >= CHECK_TIMEOUT:
            self.send(now, engine)
        return None

    def _filter_by_load(self, now: Time, query: QueryState, engines: list[EngineState]) -> list[EngineState]:
        """Returns the engines that may be lightly loaded, or all if none is.

        After MAX_OVERLOADED_CHECKS, returns those with a recent report instead.
        """
        if query.overloaded_checks >= MAX_OVERLOADED_CHECKS and now - query.checked_at < CHECK_INTERVAL:
            return [engine for engine in engines if not self.is_stale(now, engine)]
        return [engine for engine in engines if self._may_be_lightly_loaded(now, engine)] or engines

    def _may_be_lightly_loaded(self, now: Time, engine: EngineState) -> bool:
        return self.is_stale(now, engine) or self.load.is_lightly_loaded(now, engine)

    def _is_worth_a_check(self, query: QueryState) -> bool:
        weight = query.group.settings.weight
        return self.cost * (self.admission.mean_weight or weight) <= QUERY_CHECK_COST_SHARE * weight

    def candidates(
        self,
        now: Time,
        query: QueryState,
        has_capacity: HasCapacity,
        affine: EngineState | None,
        unresponsive: EngineState | None,
    ) -> list[EngineState]:
        """Returns the engines to choose from; `unresponsive` has not answered its check.

        With hundreds of routers, each knows little about most engines, so it keeps to its subset and to the
        affine engine while they have room. These are examined first, so that the cost of a query does not
        grow with the number of engines.
        """
        first = self.placement.first_choices(query, affine)
        preferred = [
            engine
            for engine in first
            if engine is not unresponsive
            and self.placement.is_preferred(now, engine, query)
            and has_capacity(engine)
        ]
        preferred = [engine for engine in preferred if self._may_be_lightly_loaded(now, engine)]
        if preferred:
            return preferred
        engines = [engine for engine in self.placement.eligible_engines(now, query) if has_capacity(engine)]
        engines = [engine for engine in engines if engine is not unresponsive] or engines
        return [
            engine for engine in engines if engine in first and self._may_be_lightly_loaded(now, engine)
        ] or engines
