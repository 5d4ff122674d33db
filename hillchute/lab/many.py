"""Discrete-time simulation of many routers, each with its own scheduler, against a simple model of engines.

Provides the clock, the traffic, the faults and the engines of a simulated scenario. A scenario takes seconds
where the fleet's benchmark takes minutes, and shows the same effects. All figures are simulated. The
simulation does not depend on how schedulers decide. Times are integers in tenths of a millisecond; work is
core time.

The form of a fleet is how its routers coordinate: in `alone` they do not; in `subset` each uses the engines
that coordination/subsetting.py selects for it; in `shared` they also exchange datagrams. `DelayedOracle` is
the baseline for all forms: one central dispatcher that sees the true state of every engine with a delay.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache
from heapq import heappop, heappush
from itertools import count
from statistics import median
from zlib import crc32

from hillchute.coordination import fleet_view, subsetting
from hillchute.coordination.fleet_view import LIMIT_UNITS, FleetSettings, FleetView
from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointState,
    HealthCheck,
    ListMode,
    NewQuery,
    Reject,
    Submit,
    Time,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.decision.slow_start import WARM_UP_BUDGET_SHARE
from hillchute.peers.datagrams import PeerState
from hillchute.peers.node import Node, RouterIdentity
from hillchute.settings import Settings

STEP: Time = 250  # 25 ms, the simulation's time step
REPORT_DELAY: Time = 3_000  # load reports show the state of 0.3 s ago
MAX_QUERIES_PER_CORE = 8  # an engine rejects further queries as overloaded
SATURATION_THREADS_PER_CORE = 1.75  # with more threads per core, total throughput falls
CORES = 16
ZONES = 3  # a network partition separates one zone from the others
CLIENT_TIMEOUT: Time = 8 * SECOND
HEALTH_CHECK_TIMEOUT: Time = 2_500  # a health check without an answer has failed after this time
CUSTOMERS = 6
CONNECTION_TIMEOUT: Time = 15_000  # a connection that receives nothing is closed after this time
LOOKUP, REPORT = 0, 1
MEAN_WORK = (3_000, 40_000)  # work of a lookup and of a report
REPORT_SHARE = 0.14  # fraction of queries that are reports; the mean query then has 0.82 s of work
CORE_SECONDS_PER_QUERY = ((1 - REPORT_SHARE) * MEAN_WORK[LOOKUP] + REPORT_SHARE * MEAN_WORK[REPORT]) / SECOND
FORMS = ("alone", "subset", "shared")
DATAGRAM_LOSS = 0.01  # fraction of the datagrams between routers that is lost
DATAGRAM_HEADER_BYTES = 28  # IP and UDP headers
PEER_TICK: Time = 1_000  # interval at which a router processes its peers' state
PEER_KEY = b"lab" * 8
EPOCH: Time = 17_000_000_000_000  # the routers' Unix time at the start of a simulation
CATALOG = {
    "groups.count": 2,
    "groups.0.target_runtime": 15_000,
    "groups.0.target_stretch": 1.5,
    "groups.0.value": 1.0,
    "groups.0.effect": "read-only",
    "groups.1.target_runtime": 2 * SECOND,
    "groups.1.target_stretch": 2.5,
    "groups.1.value": 5.0,
    "groups.1.effect": "read-only",
    "domain.width_by_group": [1, 4],
    "domain.kind_cores": CORES,
    "report.via": "probe",
    "report.columns": ["inflight"],
    "limits.probes": True,
    "limits.most_tries": 5,
    "guarantees.tip_multiple": 4.0,
    "guarantees.cold_from": 0.31,
    "guarantees.cold": 15 * SECOND,
    "guarantees.fall": 15_000,
    "tick": 50,
}
SETTINGS = Settings.from_catalog(CATALOG)


@dataclass(slots=True, eq=False)
class Query:
    """One query with its client's view of it."""

    id: str
    router: int
    group: int
    table_group: int
    arrived_at: Time
    useful_until: Time  # a result after this time has no value
    cost: Time  # as estimated
    work: Time  # actual work

    @property
    def customer(self) -> int:
        """Number of the customer; customer 0 sends about as many queries as all others together."""
        return max(0, crc32(self.id.encode()) % (2 * CUSTOMERS) - CUSTOMERS)


@dataclass(slots=True, eq=False)
class Run:
    """One attempt that runs on an engine."""

    query: Query
    attempt: int
    sent_at: Time
    threads: int
    remaining_work: float


@dataclass(slots=True, eq=False)
class Engine:
    """One engine. Its threads share its cores, it does less work in total above the saturation point, and it
    starts cold."""

    id: int
    started: Time = 0  # 0 means warm from the beginning
    draining: bool = False
    runs: list[Run] = field(default_factory=list)
    # (time, work) of all attempts that were started here.
    submitted: list[tuple[Time, Time]] = field(default_factory=list)
    # (time, queries in flight, threads) of recent time steps.
    load_history: deque[tuple[Time, int, int]] = field(default_factory=deque)

    def usable_cores(self, now: Time) -> float:
        """Return the cores that the engine can use; fewer while it warms up."""
        if not self.started:
            return CORES
        elapsed_share = min(1.0, (now - self.started) / SETTINGS.warm_up.duration)
        initial_share = SETTINGS.warm_up.initial_share
        return CORES * (initial_share + (1 - initial_share) * elapsed_share)

    def step(self, now: Time) -> list[Run]:
        """Do the work of one time step and return the runs that end in it."""
        threads = sum(run.threads for run in self.runs)
        if threads:
            threads_per_core = threads / CORES
            rate = min(self.usable_cores(now), threads) * min(
                1.0, SATURATION_THREADS_PER_CORE / threads_per_core
            )
            for run in self.runs:
                run.remaining_work -= STEP * rate * run.threads / threads
        ended = [run for run in self.runs if run.remaining_work <= 0]
        self.runs = [run for run in self.runs if run.remaining_work > 0]
        self.load_history.append((now, len(self.runs), sum(run.threads for run in self.runs)))
        while len(self.load_history) > 1 and self.load_history[1][0] <= now - REPORT_DELAY:
            self.load_history.popleft()
        return ended

    def report(self) -> dict[str, float]:
        """Return the load report, which is REPORT_DELAY old."""
        return {"inflight": self.load_history[0][1] if self.load_history else 0}

    def recent_work(self, now: Time) -> float:
        """Return the work that was submitted within the last warm-up budget window."""
        return sum(work for at, work in self.submitted if at > now - SETTINGS.warm_up.budget_window)

    def peak_overload_fraction(self) -> float:
        """Return the most work submitted in one budget window, as a fraction of what overloads the engine.

        Counts the warm-up only. The capacity is the engine's at the start of the window.
        """
        span, multiple = SETTINGS.warm_up.budget_window, SETTINGS.warm_up.budget_multiple
        peak = window_work = first = 0
        for at, work in self.submitted:
            if at > self.started + SETTINGS.warm_up.duration:
                break  # from here on the engine is warm
            window_work += work
            while self.submitted[first][0] <= at - span:
                window_work -= self.submitted[first][1]
                first += 1
            peak = max(peak, window_work / (multiple * span * self.usable_cores(self.submitted[first][0])))
        return peak


class Simulation:
    """Clients and engines, without routers.

    `load` is the requested work as a fraction of all engines' cores, `work_factor` the ratio of actual to
    estimated work. `slowdown` multiplies work, target runtimes and client timeouts, and divides the query
    rate.
    """

    def __init__(
        self,
        seed: int,
        routers: int = 60,
        engines: int = 20,
        load: float = 0.7,
        work_factor: float = 1.0,
        slowdown: float = 1.0,
        **overrides: object,
    ) -> None:
        self.rng, self.traffic_rng, self.now = random.Random(seed), random.Random(f"{seed} asks"), 0
        self.work_factor, self.slowdown, self.seed = work_factor, slowdown, seed
        settings = Settings.from_catalog(CATALOG | {"n_instances": routers} | overrides)
        groups = tuple(
            replace(group, target_runtime=int(usual.target_runtime * slowdown))
            for group, usual in zip(settings.groups, SETTINGS.groups, strict=True)
        )
        self.settings = replace(settings, groups=groups)
        self.engines = {n: Engine(n) for n in range(engines)}
        self.arrival_rate = load * engines * CORES / CORE_SECONDS_PER_QUERY / slowdown
        self.router_weights = [self.traffic_rng.lognormvariate(0, 0.8) for _ in range(routers)]
        self.timers: list[tuple[Time, int, Callable[[], None]]] = []
        self.timer_numbers = count()
        self.query_count = self.counted_from = 0
        self.queries: dict[str, Query] = {}
        self.requested, self.served = Counter(), Counter()  # by (router, group)
        self.requested_by_customer, self.served_by_customer = Counter(), Counter()  # by (customer, group)
        self.rejected = Counter()  # by (group, reason)
        self.isolated_zones: set[int] = set()  # zones that the network partition separates from the others

    # ---- faults and changes -----------------------------------------------------------------------

    def replace_engines(self, count: int) -> None:
        """Drain the `count` oldest engines and start as many new ones; all routers are informed at once."""
        for engine in [engine for engine in self.engines.values() if not engine.draining][:count]:
            engine.draining = True
        first = max(self.engines) + 1
        for n in range(first, first + count):
            self.engines[n] = Engine(n, started=self.now)

    def restart_routers(self, fraction: float) -> None:
        """Restart a fraction of the routers at once. They lose their state, and their runs on engines end."""
        for n in self.rng.sample(range(len(self.router_weights)), int(fraction * len(self.router_weights))):
            self.lose_router_state(n)
            for engine in self.engines.values():
                engine.runs = [run for run in engine.runs if run.query.router != n]

    def lose_router_state(self, router: int) -> None:
        """Drop the state of one router."""

    def partition_zone(self, zone: int) -> None:
        """Cut the network between one zone's routers and engines and all others."""
        self.isolated_zones.add(zone)

    def heal_partition(self) -> None:
        self.isolated_zones.clear()

    def is_partitioned(self, router: int, engine: int) -> bool:
        zones = {router % ZONES, engine % ZONES}
        return len(zones) > 1 and bool(zones & self.isolated_zones)

    def resize(self, routers: int) -> None:
        """Grow the fleet, or send no more queries to routers beyond the number. The total traffic stays."""
        while len(self.router_weights) < routers:
            self.router_weights.append(self.traffic_rng.lognormvariate(0, 0.8))
        for n in range(routers, len(self.router_weights)):
            self.router_weights[n] = 0.0

    # ---- time steps -------------------------------------------------------------------------------

    def run_for(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.step()

    def run_without_traffic(self, seconds: float) -> None:
        """Send no more queries and let those in flight end."""
        self.arrival_rate = 0.0
        self.run_for(seconds)

    def call_after(self, delay: Time, callback: Callable[[], None]) -> None:
        heappush(self.timers, (self.now + delay, next(self.timer_numbers), callback))

    def step(self) -> None:
        self.now += STEP
        while self.timers and self.timers[0][0] <= self.now:
            heappop(self.timers)[2]()
        for engine in self.engines.values():
            for run in engine.step(self.now):
                self.on_run_ended(run, engine)
        for query in self.new_queries():
            self.on_arrival(query)
        self.apply_decisions()

    def new_queries(self) -> Iterator[Query]:
        """Draw the queries of this step. They are the same for every form, whatever the routers do."""
        total_weight = sum(self.router_weights)
        for router, weight in enumerate(self.router_weights):
            mean = self.arrival_rate * weight / total_weight * STEP / SECOND
            while self.traffic_rng.random() < mean / (1 + mean):
                self.query_count += 1
                group = REPORT if self.traffic_rng.random() < REPORT_SHARE else LOOKUP
                cost = max(
                    1, int(MEAN_WORK[group] * self.slowdown * self.traffic_rng.lognormvariate(-0.4, 0.9))
                )
                group_settings = self.settings.groups[group]
                stretch_time = int(
                    group_settings.target_stretch * cost * self.work_factor / self.threads_of(group)
                )
                end = self.now + group_settings.target_runtime + stretch_time
                table_group, work = self.traffic_rng.randrange(40), int(cost * self.work_factor)
                query = Query(f"q{self.query_count}", router, group, table_group, self.now, end, cost, work)
                self.queries[query.id] = query
                self.requested[router, group] += 1
                self.requested_by_customer[query.customer, group] += 1
                yield query

    def threads_of(self, group: int) -> int:
        return SETTINGS.groups[group].threads

    def on_run_ended(self, run: Run, engine: Engine) -> None:
        query = run.query
        if query.arrived_at >= self.counted_from:
            self.served[query.router, query.group] += self.now <= query.useful_until
            self.served_by_customer[query.customer, query.group] += self.now <= query.useful_until

    def on_arrival(self, query: Query) -> None:
        raise NotImplementedError

    def apply_decisions(self) -> None:
        raise NotImplementedError

    def start_run(self, engine: Engine, query: Query, attempt: int) -> None:
        engine.submitted.append((self.now, query.work))
        engine.runs.append(Run(query, attempt, self.now, self.threads_of(query.group), query.work))

    # ---- results ----------------------------------------------------------------------------------

    def reset_counts(self) -> None:
        """Exclude all queries until now from the counts, because the start-up phase is no steady state."""
        self.counted_from = self.now + 1
        for counts in (
            self.requested,
            self.served,
            self.requested_by_customer,
            self.served_by_customer,
            self.rejected,
        ):
            counts.clear()

    def replacement_engines(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.started]

    def total_value(self, counts: Counter, router: int | None = None) -> float:
        values = [SETTINGS.groups[group].weight for group in (LOOKUP, REPORT)]
        return sum(values[g] * n for (r, g), n in counts.items() if router in (None, r))

    def served_value_ratio(self) -> float:
        """Return the value of the queries served in time over that of all queries."""
        return self.total_value(self.served) / self.total_value(self.requested)

    def jain(self) -> float:
        """Return Jain's fairness index, over the routers, of the fraction of the value that was served."""
        return self.jain_index(self.requested, self.served)

    def jain_customers(self) -> float:
        """Return the same index over the customers."""
        return self.jain_index(self.requested_by_customer, self.served_by_customer)

    def jain_index(self, requested: Counter, served: Counter) -> float:
        shares = [
            self.total_value(served, party) / self.total_value(requested, party)
            for party in {party for party, _ in requested}
        ]
        return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares) or 1)


@lru_cache(maxsize=2048)
def router_order(engine: int, routers: int) -> tuple[int, ...]:
    """Return all routers in the order that the subsetting gives them for an engine."""
    return subsetting.first_routers(engine, routers, routers)


# Every router computes the same order; the simulation computes it once for all of them.
fleet_view.first_routers = lambda engine, routers, width: router_order(engine, routers)[:width]


class FleetSimulation(Simulation):
    """A fleet in which each router decides with its own scheduler."""

    def __init__(self, seed: int, *sizes: float, form: str = "alone", **overrides: object) -> None:
        super().__init__(seed, *sizes, **overrides)
        self.form, self.health_checks, self.report_ages = form, 0, []
        self.list_version = 1  # of the endpoint list
        # For each change of the endpoint list, the fraction of (router, engine) pairs that changed.
        self.moved_fractions: list[float] = []
        self.subsets: list[Subset] = []
        self.visible_engines: list[frozenset[int]] = []
        self.routers: list[QueryScheduler] = []
        self.nodes: list[Node] = []
        self.fleet_views: list[FleetView] = []
        self.datagrams: list[tuple[int, str, bytes]] = []  # in transit: (sender, receiver, content)
        self.bytes_sent = 0
        self.assign_peer_keys()
        for n in range(self.settings.routers):
            self.start_router(n)
        self.introduce_peers()

    def introduce_peers(self) -> None:
        """Make all nodes known to each other as alive, as in a fleet that has run for a long time."""
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    node.failure_detector.change_state(
                        node.failure_detector.peers[other.name], PeerState.ALIVE, other.generation
                    )
                    node.replay_windows[other.name].generation = other.generation
            node.known_live = frozenset(node.live_peers())
        for n in range(len(self.nodes)):
            self.update_subset(n)

    def start_router(self, n: int) -> None:
        """Start or restart a router, which then knows the endpoint list and nothing else."""
        router = QueryScheduler(self.rng.getrandbits(60), replace(self.settings, router=n), self.now)
        subset = Subset(n, self.settings.routers)
        if n == len(self.routers):
            self.routers.append(router)
            self.subsets.append(subset)
            self.visible_engines.append(frozenset())
        self.routers[n], self.subsets[n] = router, subset
        if self.form == "shared":
            now, seed = EPOCH + self.now, self.rng.getrandbits(30)
            settings = FleetSettings(
                name=self.router_name(n),
                router_names=self.peer_keys,
                columns=["inflight"],
                limits=["cold"],
                seed=seed,
            )
            view = FleetView(settings, now)
            node = Node(
                RouterIdentity(self.router_name(n), now // 10),
                self.peer_keys,
                seed,
                now,
                view,
            )
            self.nodes[n:], self.fleet_views[n:] = (
                [node, *self.nodes[n + 1 :]],
                [view, *self.fleet_views[n + 1 :]],
            )
        self.announce_endpoints(n)

    def router_name(self, n: int) -> str:
        return f"r{n:04d}"

    def assign_peer_keys(self) -> None:
        self.peer_keys = {self.router_name(n): PEER_KEY for n in range(self.settings.routers)}

    def announce_endpoints(self, n: int) -> None:
        router = self.routers[n]
        router.on_endpoint_list(self.now, ListMode.COMPLETE, self.endpoint_entries())
        if self.form == "subset":
            self.visible_engines[n] = self.subsets[n].select(
                [e.id for e in self.engines.values() if not e.draining]
            )
            router.on_subset(self.now, self.visible_engines[n])
        elif self.form == "shared":
            ready = [e.id for e in self.engines.values() if not e.draining]
            closed = [e.id for e in self.engines.values() if e.draining]
            self.fleet_views[n].on_endpoint_list(EPOCH + self.now, self.list_version, ready, closed)
            self.update_subset(n)

    def update_subset(self, n: int) -> None:
        """Pass a router its subset of the engines and its shares of the limits."""
        live_peers = self.nodes[n].live_peers()
        router, span = self.routers[n], SETTINGS.warm_up.budget_window
        warming = [e for e in router.engines.values() if e.ready and e.is_warming_up(self.now)]
        overload_work = {
            e.id: SETTINGS.warm_up.budget_multiple * span * e.usable_cores(self.now) for e in warming
        }
        state = self.fleet_views[n].state(EPOCH + self.now, live_peers, overload_work, span)
        self.visible_engines[n] = state.subset
        self.routers[n].on_subset(self.now, state.subset, state.routers, state.shares)

    def exchange_datagrams(self) -> None:
        """Deliver the datagrams of the previous step, except those lost or cut off, and collect new ones."""
        now, datagrams, self.datagrams = EPOCH + self.now, self.datagrams, []
        for sender, to, data in datagrams:
            n = int(to[1:])
            zones = {sender % ZONES, n % ZONES}
            if (
                self.rng.random() < DATAGRAM_LOSS
                or len(zones) > 1
                and zones & self.isolated_zones
                or n >= len(self.nodes)
            ):
                continue
            self.send_datagrams(n, self.nodes[n].receive(now, data))
        for n, (node, view) in enumerate(zip(self.nodes, self.fleet_views)):
            if self.now % PEER_TICK == n % (PEER_TICK // STEP) * STEP:
                self.send_datagrams(n, node.tick(now))
                self.request_warm_up_quota(n)
                self.update_subset(n)
            if view.relay.queue or view.lease_messages or self.now % PEER_TICK == 0:
                payloads = view.due_digests(now, node.live_peers())
                self.send_datagrams(
                    n,
                    [
                        datagram
                        for to, payload in payloads
                        for datagram in node.payload_datagrams(to, payload)
                    ],
                )
            for engine, report, age in view.take_relayed_reports():
                self.routers[n].on_load_report(self.now, engine, report, age)

    def request_warm_up_quota(self, n: int) -> None:
        router = self.routers[n]
        warming = [e for e in router.engines.values() if e.ready and e.is_warming_up(self.now)]
        usable_cores = sum(e.usable_cores(self.now) for e in warming)
        rate = router.light_query_rate(self.now) if usable_cores else 0
        self.fleet_views[n].quotas.set_requested(
            "cold", int(LIMIT_UNITS * rate / usable_cores / WARM_UP_BUDGET_SHARE) if usable_cores else 0
        )

    def send_datagrams(self, n: int, outgoing: list[tuple[str, bytes]]) -> None:
        self.bytes_sent += sum(DATAGRAM_HEADER_BYTES + len(data) for _, data in outgoing)
        self.datagrams += [(n, to, data) for to, data in outgoing]

    def lose_router_state(self, router: int) -> None:
        self.start_router(router)

    def replace_engines(self, count: int) -> None:
        super().replace_engines(count)
        self.list_version += 1
        before = list(self.visible_engines)
        for n in range(len(self.routers)):
            self.announce_endpoints(n)
        if pairs := sum(map(len, before)):
            self.moved_fractions.append(sum(len(b - a) for a, b in zip(before, self.visible_engines)) / pairs)

    def resize(self, routers: int) -> None:
        """Resize the fleet. New routers are configured with the new size; running ones keep the old one."""
        self.settings = replace(self.settings, routers=routers)
        super().resize(routers)
        self.assign_peer_keys()
        for n, (node, view) in enumerate(zip(self.nodes, self.fleet_views)):
            node.set_keys(self.peer_keys, EPOCH + self.now)
            view.set_router_names(EPOCH + self.now, self.peer_keys)
            self.announce_endpoints(n)
        del self.nodes[routers:], self.fleet_views[routers:]
        for n in range(len(self.routers), routers):
            self.start_router(n)

    def endpoint_entries(self) -> list[EndpointEntry]:
        return [
            EndpointEntry(
                e.id,
                0,
                0,
                e.id % ZONES,
                e.started,
                EndpointState.DRAINING if e.draining else EndpointState.READY,
                1.0,
            )
            for e in self.engines.values()
        ]

    def on_arrival(self, query: Query) -> None:
        router = self.routers[query.router]
        if router.admits(self.now, query.group, 0.0):
            deadline = self.now + int(CLIENT_TIMEOUT * self.slowdown)
            router.on_query(
                self.now,
                NewQuery(query.id, query.group, deadline, table_group=query.table_group, cost=query.cost),
            )

    def on_run_ended(self, run: Run, engine: Engine) -> None:
        if self.is_partitioned(run.query.router, engine.id):
            return  # the partition drops the answer
        super().on_run_ended(run, engine)
        self.deliver_result(
            run.query, run.attempt, AttemptResult.SERVED, True, self.now - run.sent_at, cost=run.query.work
        )

    def deliver_result(
        self,
        query: Query,
        attempt: int,
        result: AttemptResult,
        final: bool,
        duration: Time,
        cost: Time | None = None,
    ) -> None:
        router = self.routers[query.router]
        attempts = router.queries[query.id].attempts if query.id in router.queries else []
        router.on_attempt_ended(self.now, AttemptEnded(query.id, attempt, result, final, duration, cost))
        if attempt < len(attempts) and result == AttemptResult.CONNECTION_LOST:
            self.report_failure(query.router, router, attempts[attempt].engine)

    def apply_decisions(self) -> None:
        if self.form == "shared":
            self.exchange_datagrams()
        for n, router in enumerate(self.routers):
            while (decision := router.next_decision(self.now)) is not None:
                match decision:
                    case Submit(id, engine):
                        self.submit(router, self.queries[id], self.engines[engine])
                    case HealthCheck(engine):
                        self.check_health(n, router, self.engines[engine])
                    case Reject(id, _, reason):
                        self.rejected[self.queries[id].group, reason] += 1

    def check_health(self, n: int, router: QueryScheduler, engine: Engine) -> None:
        self.health_checks += 1
        if self.is_partitioned(n, engine.id):
            self.call_after(HEALTH_CHECK_TIMEOUT, lambda: self.on_health_check_timeout(n, router, engine))
            return
        report = engine.report()
        router.on_health_check(self.now, engine.id, AttemptResult.SERVED, report)
        if n < len(self.fleet_views):
            self.fleet_views[n].on_load_report(EPOCH + self.now, engine.id, report)

    def on_health_check_timeout(self, n: int, router: QueryScheduler, engine: Engine) -> None:
        router.on_health_check(self.now, engine.id, AttemptResult.TIMED_OUT, None)
        self.report_failure(n, router, engine.id)

    def report_failure(self, n: int, router: QueryScheduler, engine: int) -> None:
        if n < len(self.fleet_views) and engine in router.engines and router.engines[engine].failures > 1:
            self.fleet_views[n].on_failure(EPOCH + self.now, engine)

    def submit(self, router: QueryScheduler, query: Query, engine: Engine) -> None:
        attempt = len(router.queries[query.id].attempts) - 1
        self.report_ages.append(self.now - router.engines[engine.id].reported_at)
        if self.is_partitioned(query.router, engine.id):
            self.call_after(
                CONNECTION_TIMEOUT,
                lambda: self.deliver_result(
                    query, attempt, AttemptResult.CONNECTION_LOST, False, CONNECTION_TIMEOUT
                ),
            )
        elif engine.draining or len(engine.runs) >= MAX_QUERIES_PER_CORE * CORES:
            self.deliver_result(query, attempt, AttemptResult.OVERLOADED, False, 0)
        else:
            self.start_run(engine, query, attempt)
            if query.router < len(self.fleet_views) and router.engines[engine.id].is_warming_up(self.now):
                self.fleet_views[query.router].on_warm_up_work(EPOCH + self.now, engine.id, query.cost)

    def reset_counts(self) -> None:
        super().reset_counts()
        self.health_checks = self.bytes_sent = 0
        self.report_ages.clear()

    def median_report_age_ms(self) -> float:
        """Return the median age, in milliseconds, of an engine's load report when a query was sent to it.

        Each age counts as at most a minute.
        """
        return median(min(age, 60 * SECOND) for age in self.report_ages) / 10


class DelayedOracle(Simulation):
    """A central dispatcher for all routers, the baseline for their results.

    It knows its own submissions at once and all other load with a delay of REPORT_DELAY. It takes queries in
    the order of their cost per value, sends each to the least loaded engine, and drops those that cannot end
    in time by their actual work.
    """

    def __init__(self, *sizes: float, **overrides: object) -> None:
        super().__init__(*sizes, **overrides)
        self.waiting: list[Query] = []

    def on_arrival(self, query: Query) -> None:
        self.waiting.append(query)

    def lose_router_state(self, router: int) -> None:
        self.waiting = [query for query in self.waiting if query.router != router]

    def apply_decisions(self) -> None:
        ready = [engine for engine in self.engines.values() if not engine.draining]
        loads = {}
        for engine in ready:
            recent_threads = [run.threads for run in engine.runs if run.sent_at > self.now - REPORT_DELAY]
            delayed_load = engine.load_history[0][2] if engine.load_history else 0
            loads[engine] = delayed_load + sum(recent_threads)
        values = [SETTINGS.groups[group].weight for group in (LOOKUP, REPORT)]
        self.waiting.sort(key=lambda query: query.cost / values[query.group])
        still_waiting = []
        for query in self.waiting:
            run_time = query.work // self.threads_of(query.group)
            if self.now + run_time > query.useful_until:
                continue
            if not self.start_on_best_engine(query, loads):
                still_waiting.append(query)
        self.waiting = still_waiting

    def start_on_best_engine(self, query: Query, loads: dict[Engine, float]) -> bool:
        width, span = self.threads_of(query.group), SETTINGS.warm_up.budget_window
        for engine in sorted(loads, key=lambda engine: loads[engine] / engine.usable_cores(self.now)):
            usable_cores = engine.usable_cores(self.now)
            if loads[engine] + width > SATURATION_THREADS_PER_CORE * usable_cores:
                return False
            overload_work = SETTINGS.warm_up.budget_multiple * usable_cores * span
            is_cold = engine.started and self.now < engine.started + SETTINGS.warm_up.duration
            if (
                self.is_partitioned(query.router, engine.id)
                or is_cold
                and engine.recent_work(self.now) + query.work > overload_work / 2
            ):
                continue
            loads[engine] += width
            self.start_run(engine, query, 0)
            return True
        return False
