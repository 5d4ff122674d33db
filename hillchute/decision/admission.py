"""Admission: which queries are rejected as this router or the engines are overloaded (shed load)."""

from hillchute.decision.interface import MILLISECOND, SECOND, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import QueryState, ResourceGroup
from hillchute.decision.statistics import SMOOTHING, smoothed
from hillchute.settings import Settings, TenantSettings

MOST_LATE: Time = 100 * MILLISECOND  # queries are read so late: the margin that answers have at the least
OVER_SHARE = 1.25  # times a tenant's fraction of the traffic: beyond chance; the pressure counts so much more
RELIEF = 2.4  # times alone, or threads a core, at which all heavier than the mean are rejected
STEEPNESS = 3  # at half that pressure eight times the mean still gets in, at twice an eighth of it
BACKLOG_PRESSURE = 3.0  # as the queue's head has waited all its slack: few start then in time
FREE_SESSIONS = 0.2  # share: with fewer free, those who wait outside count more than those inside
DEAR_MULTIPLE = 2.0  # of the mean time for its weight, over one, that a query may hold a session then
LEAST_COST_RATIO = 0.2  # true cost over estimated cost of one query, as far as it counts: a bound on outliers
MOST_COST_RATIO = 5.0
NO_AGREEMENT = TenantSettings()


class Admission:
    """Running means of queries' cost and weight, and the checks that shed load."""

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
        self.mean_cost_per_weight = 0.0  # of the queries as they came
        self.mean_elapsed_per_weight = 0.0  # of those that were served
        self.mean_weight = 0.0  # of the queries as they came, also of those that were not admitted

    def admits(self, group: ResourceGroup, lateness: float) -> bool:
        """Guards the event loop of this router: what it does late when its core is full can't be taken back.
        Every query costs it alike, so those of least weight go first, unread."""
        weight = group.settings.weight
        self.mean_weight = smoothed(self.mean_weight, weight)
        return lateness < MOST_LATE * min(1.0, weight / self.mean_weight)

    def count_query(self, group: ResourceGroup, estimate: Time | None) -> float:
        """A query was admitted; its cost, as estimated or, without an estimate, as usual for its group."""
        settings = group.settings
        usual = group.mean_cost or settings.target_runtime * settings.threads // 2
        cost = max(1, estimate or usual)
        group.mean_cost = smoothed(group.mean_cost, cost)
        per_weight = cost / settings.weight
        mean = self.mean_cost_per_weight or per_weight
        self.mean_cost_per_weight = (1 - SMOOTHING) * mean + SMOOTHING * cost / settings.weight
        return cost

    def count_served(self, query: QueryState, elapsed: Time, cost: Time | None) -> None:
        """A query was served: what it took."""
        group = query.group
        group.mean_elapsed += SMOOTHING * (elapsed - group.mean_elapsed)
        per_weight = elapsed / group.settings.weight
        self.mean_elapsed_per_weight += SMOOTHING * (per_weight - self.mean_elapsed_per_weight)
        if cost:
            ratio = min(MOST_COST_RATIO, max(LEAST_COST_RATIO, cost / query.cost))
            group.cost_ratio += SMOOTHING * (ratio - group.cost_ratio)

    def is_too_heavy(self, now: Time, query: QueryState) -> bool:
        """Overload: the more loaded the engines, the lighter a query must be, for its group and its weight.

        Guards against a jam of all engines, whatever makes it. Does harm where estimates are worthless."""
        group = query.group
        pressure = self.pressure(now, query)
        usual = group.mean_cost * group.settings.weight * self.mean_cost_per_weight
        heaviness = query.cost / usual**0.5
        # Guards against long queries of little weight that hold a session while other clients get none.
        free = 1 - len(self.queues.queries) / self.sessions
        hold = group.mean_elapsed * query.cost / group.mean_cost / group.settings.weight
        is_dear = hold > self.mean_elapsed_per_weight * (1 + DEAR_MULTIPLE * free / FREE_SESSIONS)
        return heaviness > (RELIEF / pressure) ** STEEPNESS or (free < FREE_SESSIONS and is_dear)

    def pressure(self, now: Time, query: QueryState) -> float:
        """How overloaded things are for this query: times alone, or threads a core."""
        # Reports that count queries distinguish a high load from a slowdown; elsewhere only the pace does.
        pace = self.load.pace(now) / (2 if self.load.reports_count_queries else 1)
        line = query.group.settings.is_load and self.queues.behind_loads.get(query.table_group)
        line = line or self.queues.teams
        backlog = BACKLOG_PRESSURE * self.load.slack_used(now, line[0]) if line else 0
        pressure = max(pace, self._load_in_reach(now, query), backlog)
        return pressure * (OVER_SHARE if self.is_over_share(now, query.tenant) else 1)

    def _load_in_reach(self, now: Time, query: QueryState) -> float:
        """Threads a core where the query may go: a mean over all engines hides that the warm are full and the
        cold empty."""
        mean = self.load.mean_load
        if mean is None:
            return 0
        permit = query.permit_engine
        reach = (permit,) if permit is not None and permit in self.pool.engines else self.pool.subset
        engines = [engine for engine in map(self.pool.engines.get, reach) if engine]
        # The report alone: this router's attempts since then would count twice where they replace ended ones.
        crowds = [
            max(engine.threads, self.load.reported_load(now, engine)) / engine.usable_cores(now)
            for engine in engines
            if self.placement.is_eligible(now, engine, query)
        ]
        return sum(crowds) / len(crowds) if crowds else mean

    def is_over_share(self, now: Time, tenant: int) -> bool:
        """Whether a tenant is well over its share of recent traffic, by fraction and by rate."""
        settings = self.tenants.get(tenant, NO_AGREEMENT)
        if not settings.quota_per_s or settings.fraction is None:
            return False
        queries = self.traffic.by_tenant[tenant]
        share = self.pool.shares.tenants.get(tenant, 1 / self.pool.routers)
        if queries * SECOND <= settings.quota_per_s * share * self.traffic.span(now):
            return False
        return queries > OVER_SHARE * settings.fraction * len(self.traffic.arrivals)
