"""Admission control: rejects queries while this router or the engines are overloaded (load shedding)."""

from hillchute.decision.interface import MILLISECOND, SECOND, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import QueryState, ResourceGroup
from hillchute.decision.statistics import SMOOTHING, smoothed
from hillchute.settings import Settings, TenantSettings

MAX_LOOP_LAG: Time = 100 * MILLISECOND  # limit of event loop lag; every answer has at least this margin
# A tenant is over its share above this multiple of its fraction of the traffic; a smaller excess may be
# random variation. The pressure on its queries is multiplied by the same factor.
OVER_SHARE_FACTOR = 1.25
# Pressure (slowdown, or threads per core) at which every query heavier than the mean is rejected.
SHEDDING_PRESSURE = 2.4
# The admitted heaviness falls with this power of the pressure: at half of SHEDDING_PRESSURE it is eight times
# the mean, at twice SHEDDING_PRESSURE an eighth of it.
SHEDDING_EXPONENT = 3
BACKLOG_PRESSURE = 3.0  # pressure when the first query has waited for all its slack: few then start in time
# Share of free sessions below which clients that wait for a session matter more than those that hold one.
LOW_FREE_SESSIONS = 0.2
# While fewer sessions are free, the time per weight for which a query may hold one is limited: to 1 plus this
# multiple of the mean at LOW_FREE_SESSIONS, falling to the mean itself when none is free.
EXPENSIVE_MULTIPLE = 2.0
# Limits within which the true cost over the estimated cost of one query is counted, against outliers.
MIN_COST_RATIO = 0.2
MAX_COST_RATIO = 5.0
NO_TENANT_SETTINGS = TenantSettings()


class Admission:
    """Running means of the cost and weight of queries, and the checks that shed load."""

    def __init__(
        self,
        settings: Settings,
        load: LoadEstimator,
        placement: Placement,
        queues: QueryQueues,
    ) -> None:
        self.tenants = settings.tenants
        self.sessions = settings.sessions
        self.pool = load.pool
        self.traffic = load.traffic
        self.load = load
        self.placement = placement
        self.queues = queues
        self.mean_cost_per_weight = 0.0  # of admitted queries
        self.mean_elapsed_per_weight = 0.0  # of served queries
        self.mean_weight = 0.0  # of all queries that arrived, also those that were not admitted

    def admits(self, group: ResourceGroup, loop_lag: float) -> bool:
        """Returns whether a query of this group is admitted at this event loop lag.

        Guards the event loop of this router, which can't recover lost time while its core is saturated. Every
        query costs the loop the same, so those of the lowest weight are rejected first, before they are read.
        """
        weight = group.settings.weight
        self.mean_weight = smoothed(self.mean_weight, weight)
        return loop_lag < MAX_LOOP_LAG * min(1.0, weight / self.mean_weight)

    def count_query(self, group: ResourceGroup, estimate: Time | None) -> float:
        """Counts an admitted query and returns its cost.

        The cost is the estimate or, where there is none, the mean cost of the group.
        """
        settings = group.settings
        typical_cost = group.mean_cost or settings.target_runtime * settings.threads // 2
        cost = max(1, estimate or typical_cost)
        group.mean_cost = smoothed(group.mean_cost, cost)
        per_weight = cost / settings.weight
        mean = self.mean_cost_per_weight or per_weight
        self.mean_cost_per_weight = (1 - SMOOTHING) * mean + SMOOTHING * cost / settings.weight
        return cost

    def count_served(self, query: QueryState, elapsed: Time, cost: Time | None) -> None:
        """Updates the means with the elapsed time of a served query and, where known, its true cost."""
        group = query.group
        group.mean_elapsed += SMOOTHING * (elapsed - group.mean_elapsed)
        per_weight = elapsed / group.settings.weight
        self.mean_elapsed_per_weight += SMOOTHING * (per_weight - self.mean_elapsed_per_weight)
        if cost:
            ratio = min(MAX_COST_RATIO, max(MIN_COST_RATIO, cost / query.cost))
            group.cost_ratio += SMOOTHING * (ratio - group.cost_ratio)

    def is_too_heavy(self, now: Time, query: QueryState) -> bool:
        """Returns whether a query is too heavy for the present load, by the means of its group and weight.

        Guards against an overload of all engines, whatever its cause. Harmful where cost estimates are wrong.
        """
        group = query.group
        pressure = self.pressure(now, query)
        typical_cost = group.mean_cost * group.settings.weight * self.mean_cost_per_weight
        heaviness = query.cost / typical_cost**0.5
        # Guards against long queries of low weight that hold sessions while other clients get none.
        free = 1 - len(self.queues.queries) / self.sessions
        session_time = group.mean_elapsed * query.cost / group.mean_cost / group.settings.weight
        is_expensive = session_time > self.mean_elapsed_per_weight * (
            1 + EXPENSIVE_MULTIPLE * free / LOW_FREE_SESSIONS
        )
        return heaviness > (SHEDDING_PRESSURE / pressure) ** SHEDDING_EXPONENT or (
            free < LOW_FREE_SESSIONS and is_expensive
        )

    def pressure(self, now: Time, query: QueryState) -> float:
        """Returns the load pressure on a query: the highest of slowdown, threads per core and backlog."""
        # Reports that count queries distinguish a high load from a slowdown; without them only the slowdown
        # does, and it counts in full.
        slowdown = self.load.slowdown(now) / (2 if self.load.reports_count_queries else 1)
        queue = query.group.settings.is_bulk_load and self.queues.blocked_bulk_loads.get(query.table_group)
        queue = queue or self.queues.teams
        backlog = BACKLOG_PRESSURE * self.load.slack_used(now, queue[0]) if queue else 0
        pressure = max(slowdown, self._reachable_load(now, query), backlog)
        return pressure * (OVER_SHARE_FACTOR if self.is_over_share(now, query.tenant) else 1)

    def _reachable_load(self, now: Time, query: QueryState) -> float:
        """Returns the mean threads per core of the engines that the query may go to.

        A mean over all engines would hide that the warm ones are full while those that warm up are empty.
        """
        mean = self.load.mean_load
        if mean is None:
            return 0
        permit = query.permit_engine
        engine_ids = (permit,) if permit is not None and permit in self.pool.engines else self.pool.subset
        engines = [engine for engine in map(self.pool.engines.get, engine_ids) if engine]
        # Reports alone: this router's attempts since then would count twice where they replace ended ones.
        loads = [
            max(engine.threads, self.load.reported_load(now, engine)) / engine.usable_cores(now)
            for engine in engines
            if self.placement.is_eligible(now, engine, query)
        ]
        return sum(loads) / len(loads) if loads else mean

    def is_over_share(self, now: Time, tenant: int) -> bool:
        """Returns whether a tenant is well over its share of recent traffic, both by fraction and by rate."""
        settings = self.tenants.get(tenant, NO_TENANT_SETTINGS)
        if not settings.quota_per_s or settings.fraction is None:
            return False
        queries = self.traffic.by_tenant[tenant]
        share = self.pool.shares.tenants.get(tenant, 1 / self.pool.routers)
        if queries * SECOND <= settings.quota_per_s * share * self.traffic.span(now):
            return False
        return queries > OVER_SHARE_FACTOR * settings.fraction * len(self.traffic.arrivals)
