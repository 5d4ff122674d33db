"""Many routers, each a module instance, against one simple model of engines, in simulated time.

Owns the clock, the traffic, the faults and the engines of a play: what takes the fleet's bench minutes takes
seconds here, and shows the same habits. Figures from here are simulated. Must never be imported by what
serves, nor know how a decision is made. Times are whole tenths of a millisecond, work is core time.

A fleet has a form: `alone`, each router for itself; `subset`, each with the engines in sight that
coordination/subsetting.py gives it. `Seeing` is what both are held against: one mind that sends every
query, and sees the true state of every engine late.
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
    EndpointState,
    HealthCheck,
    Listing,
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

STEP: Time = 250  # 25 ms between two looks at everything
REPORT_AGE: Time = 3_000  # a report tells what was 0.3 s ago
HOLDS = 8  # queries a core that an engine takes; beyond, it refuses as full
KNEE = 1.75  # threads a core beyond which less work is done in all
CORES = 16
ZONES = 3  # a cut parts one of them from the others
PATIENCE: Time = 8 * SECOND
UNHEARD: Time = 2_500  # a probe that nothing answers is over after this
CUSTOMERS = 6
SILENT: Time = 15_000  # a connection on which nothing comes is cut after this
LOOKUP, REPORT = 0, 1
MEAN = (3_000, 40_000)  # work of a query of each group
SHARE = 0.14  # of the queries are reports: a lookup and a seventh of a report come to 0.86 s of work
A_QUERY = ((1 - SHARE) * MEAN[LOOKUP] + SHARE * MEAN[REPORT]) / SECOND
FORMS = ("alone", "subset", "shared")
LOST = 0.01  # part of the datagrams between routers
HEADERS = 28  # bytes of IP and UDP about a datagram
TICK: Time = 1_000  # a router's peers are looked at this often
KEY = b"lab" * 8
EPOCH: Time = 17_000_000_000_000  # where the routers' Unix clock stands as a play begins
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
    """One query as its client knows it."""

    id: str
    router: int
    group: int
    tables: int
    came: Time
    counts_until: Time  # an ending after this earns nothing
    cost: Time  # as estimated
    work: Time  # what it truly is

    @property
    def customer(self) -> int:
        """Whose it is: the first asks for as much as all others together."""
        return max(0, crc32(self.id.encode()) % (2 * CUSTOMERS) - CUSTOMERS)


@dataclass(slots=True, eq=False)
class Run:
    """One submission on an engine."""

    query: Query
    leg: int
    sent: Time
    width: int
    left: float


@dataclass(slots=True, eq=False)
class Engine:
    """One engine: its threads share its cores; past the knee it does less in all; new ones are cold."""

    id: int
    started: Time = 0  # 0: warm from the start
    draining: bool = False
    runs: list[Run] = field(default_factory=list)
    sent: list[tuple[Time, Time]] = field(default_factory=list)  # (time, work) of all that came
    told: deque[tuple[Time, int, int]] = field(default_factory=deque)  # (time, queries held, threads)

    def able(self, now: Time) -> float:
        if not self.started:
            return CORES
        warmth = min(1.0, (now - self.started) / SETTINGS.warm_up.duration)
        least = SETTINGS.warm_up.initial_share
        return CORES * (least + (1 - least) * warmth)

    def step(self, now: Time) -> list[Run]:
        """Does a step's work; those that end in it."""
        threads = sum(run.width for run in self.runs)
        if threads:
            crowd = threads / CORES
            rate = min(self.able(now), threads) * min(1.0, KNEE / crowd)
            for run in self.runs:
                run.left -= STEP * rate * run.width / threads
        ended = [run for run in self.runs if run.left <= 0]
        self.runs = [run for run in self.runs if run.left > 0]
        self.told.append((now, len(self.runs), sum(run.width for run in self.runs)))
        while len(self.told) > 1 and self.told[1][0] <= now - REPORT_AGE:
            self.told.popleft()
        return ended

    def report(self) -> dict[str, float]:
        return {"inflight": self.told[0][1] if self.told else 0}

    def within(self, now: Time) -> float:
        """Work that came within the last span that counts for tipping it over."""
        return sum(work for at, work in self.sent if at > now - SETTINGS.warm_up.budget_window)

    def most_of_what_tips(self) -> float:
        """The largest part of what tips it that came within one span, for what it could do as that began."""
        span, tips = SETTINGS.warm_up.budget_window, SETTINGS.warm_up.budget_multiple
        most = within = first = 0
        for at, work in self.sent:
            if at > self.started + SETTINGS.warm_up.duration:
                break  # it is warm
            within += work
            while self.sent[first][0] <= at - span:
                within -= self.sent[first][1]
                first += 1
            most = max(most, within / (tips * span * self.able(self.sent[first][0])))
        return most


class World:
    """Clients and engines. `load`: work asked for, as a part of all engines' cores; `low`: true work over the
    estimate; `slow`: times the usual work, targets and patience, at so much fewer queries."""

    def __init__(
        self,
        seed: int,
        routers: int = 60,
        engines: int = 20,
        load: float = 0.7,
        low: float = 1.0,
        slow: float = 1.0,
        **changed: object,
    ) -> None:
        self.chance, self.asking, self.now = random.Random(seed), random.Random(f"{seed} asks"), 0
        self.low, self.slow, self.seed = low, slow, seed
        settings = Settings.from_catalog(CATALOG | {"n_instances": routers} | changed)
        groups = tuple(
            replace(group, target_runtime=int(usual.target_runtime * slow))
            for group, usual in zip(settings.groups, SETTINGS.groups, strict=True)
        )
        self.settings = replace(settings, groups=groups)
        self.engines = {n: Engine(n) for n in range(engines)}
        self.asked_s = load * engines * CORES / A_QUERY / slow
        self.weights = [self.asking.lognormvariate(0, 0.8) for _ in range(routers)]
        self.later: list[tuple[Time, int, Callable[[], None]]] = []
        self.order = count()
        self.number = self.counted_from = 0
        self.queries: dict[str, Query] = {}
        self.asked, self.served = Counter(), Counter()  # by (router, group)
        self.asked_by, self.served_by = Counter(), Counter()  # by (customer, group)
        self.deferred = Counter()  # by (group, why)
        self.silent: set[int] = set()  # zones that are parted from the others

    # ---- what happens -----------------------------------------------------------------------------

    def replace(self, count: int) -> None:
        """So many of the oldest engines drain, as many new ones start; all routers are told at once."""
        for engine in [engine for engine in self.engines.values() if not engine.draining][:count]:
            engine.draining = True
        first = max(self.engines) + 1
        for n in range(first, first + count):
            self.engines[n] = Engine(n, started=self.now)

    def restart(self, part: float) -> None:
        """So many of the routers at once; what they held is gone, what is out runs on unheard."""
        for n in self.chance.sample(range(len(self.weights)), int(part * len(self.weights))):
            self.forgets(n)
            for engine in self.engines.values():
                engine.runs = [run for run in engine.runs if run.query.router != n]

    def forgets(self, router: int) -> None:
        """What one router held is gone."""

    def cut(self, zone: int) -> None:
        """One zone's routers and engines and all others hear nothing of each other."""
        self.silent.add(zone)

    def mend(self) -> None:
        self.silent.clear()

    def parted(self, router: int, engine: int) -> bool:
        zones = {router % ZONES, engine % ZONES}
        return len(zones) > 1 and bool(zones & self.silent)

    def resize(self, routers: int) -> None:
        """The fleet grows, or those past the number get no more queries; the same traffic over it."""
        while len(self.weights) < routers:
            self.weights.append(self.asking.lognormvariate(0, 0.8))
        for n in range(routers, len(self.weights)):
            self.weights[n] = 0.0

    # ---- time goes on -----------------------------------------------------------------------------

    def play(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.step()

    def drain(self, seconds: float) -> None:
        """Nothing more is asked; what is out may end."""
        self.asked_s = 0.0
        self.play(seconds)

    def at(self, after: Time, call: Callable[[], None]) -> None:
        heappush(self.later, (self.now + after, next(self.order), call))

    def step(self) -> None:
        self.now += STEP
        while self.later and self.later[0][0] <= self.now:
            heappop(self.later)[2]()
        for engine in self.engines.values():
            for run in engine.step(self.now):
                self.ended(run, engine)
        for query in self.asks():
            self.taken(query)
        self.decided()

    def asks(self) -> Iterator[Query]:
        """What all clients ask in this step: the same for every form, whatever the routers do."""
        whole = sum(self.weights)
        for router, weight in enumerate(self.weights):
            mean = self.asked_s * weight / whole * STEP / SECOND
            while self.asking.random() < mean / (1 + mean):
                self.number += 1
                group = REPORT if self.asking.random() < SHARE else LOOKUP
                cost = max(1, int(MEAN[group] * self.slow * self.asking.lognormvariate(-0.4, 0.9)))
                goal = self.settings.groups[group]
                stretched = int(goal.target_stretch * cost * self.low / self.width(group))
                end = self.now + goal.target_runtime + stretched
                tables, work = self.asking.randrange(40), int(cost * self.low)
                q = Query(f"q{self.number}", router, group, tables, self.now, end, cost, work)
                self.queries[q.id] = q
                self.asked[router, group] += 1
                self.asked_by[q.customer, group] += 1
                yield q

    def width(self, group: int) -> int:
        return SETTINGS.groups[group].threads

    def ended(self, run: Run, engine: Engine) -> None:
        query = run.query
        if query.came >= self.counted_from:
            self.served[query.router, query.group] += self.now <= query.counts_until
            self.served_by[query.customer, query.group] += self.now <= query.counts_until

    def taken(self, query: Query) -> None:
        raise NotImplementedError

    def decided(self) -> None:
        raise NotImplementedError

    def begin(self, engine: Engine, query: Query, leg: int) -> None:
        engine.sent.append((self.now, query.work))
        engine.runs.append(Run(query, leg, self.now, self.width(query.group), query.work))

    # ---- what came of it --------------------------------------------------------------------------

    def forget(self) -> None:
        """What was asked until now does not count: the start of a play is no steady state."""
        self.counted_from = self.now + 1
        for counts in (self.asked, self.served, self.asked_by, self.served_by, self.deferred):
            counts.clear()

    def cold(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.started]

    def value(self, counts: Counter, router: int | None = None) -> float:
        values = [SETTINGS.groups[group].weight for group in (LOOKUP, REPORT)]
        return sum(values[g] * n for (r, g), n in counts.items() if router in (None, r))

    def worth(self) -> float:
        """The value served in time over the value asked for."""
        return self.value(self.served) / self.value(self.asked)

    def jain(self) -> float:
        """Jain's index of what is served over what is asked, over the routers that were asked."""
        return self.even(self.asked, self.served)

    def jain_customers(self) -> float:
        """The same over the customers."""
        return self.even(self.asked_by, self.served_by)

    def even(self, asked: Counter, served: Counter) -> float:
        shares = [self.value(served, who) / self.value(asked, who) for who in {who for who, _ in asked}]
        return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares) or 1)


@lru_cache(maxsize=2048)
def order(engine: int, routers: int) -> tuple[int, ...]:
    """An engine's order of all routers."""
    return subsetting.first_routers(engine, routers, routers)


# What each router works out alone is worked out once for all that play here.
fleet_view.first_routers = lambda engine, routers, width: order(engine, routers)[:width]


class Many(World):
    """Each router decides by its own module."""

    def __init__(self, seed: int, *sizes: float, form: str = "alone", **changed: object) -> None:
        super().__init__(seed, *sizes, **changed)
        self.form, self.probes, self.ages = form, 0, []
        self.events = 1  # of the list of engines
        self.moved: list[float] = []  # at each change of the list: pairs moved over all pairs
        self.sights: list[Subset] = []
        self.near: list[frozenset[int]] = []
        self.routers: list[QueryScheduler] = []
        self.nodes: list[Node] = []
        self.companies: list[FleetView] = []
        self.post: list[tuple[int, str, bytes]] = []  # datagrams on their way: from whom, to whom
        self.bytes = 0
        self.name_all()
        for n in range(self.settings.routers):
            self.start(n)
        self.acquaint()

    def acquaint(self) -> None:
        """All nodes know each other, as in a fleet that has been up for long."""
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    node.failure_detector.change_state(
                        node.failure_detector.peers[other.name], PeerState.ALIVE, other.generation
                    )
                    node.replay_windows[other.name].generation = other.generation
            node.known_live = frozenset(node.live_peers())
        for n in range(len(self.nodes)):
            self.stands(n)

    def start(self, n: int) -> None:
        """A router's module that knows the list and nothing else."""
        router = QueryScheduler(self.chance.getrandbits(60), replace(self.settings, router=n), self.now)
        sight = Subset(n, self.settings.routers)
        if n == len(self.routers):
            self.routers.append(router)
            self.sights.append(sight)
            self.near.append(frozenset())
        self.routers[n], self.sights[n] = router, sight
        if self.form == "shared":
            now, seed = EPOCH + self.now, self.chance.getrandbits(30)
            settings = FleetSettings(
                name=self.name(n), router_names=self.keys, columns=["inflight"], limits=["cold"], seed=seed
            )
            company = FleetView(settings, now)
            node = Node(RouterIdentity(self.name(n), now // 10), self.keys, seed, now, company)
            self.nodes[n:], self.companies[n:] = (
                [node, *self.nodes[n + 1 :]],
                [company, *self.companies[n + 1 :]],
            )
        self.tell(n)

    def name(self, n: int) -> str:
        return f"r{n:04d}"

    def name_all(self) -> None:
        self.keys = {self.name(n): KEY for n in range(self.settings.routers)}

    def tell(self, n: int) -> None:
        router = self.routers[n]
        router.on_endpoint_list(self.now, ListMode.COMPLETE, self.listings())
        if self.form == "subset":
            self.near[n] = self.sights[n].select([e.id for e in self.engines.values() if not e.draining])
            router.on_subset(self.now, self.near[n])
        elif self.form == "shared":
            ready = [e.id for e in self.engines.values() if not e.draining]
            closed = [e.id for e in self.engines.values() if e.draining]
            self.companies[n].on_endpoint_list(EPOCH + self.now, self.events, ready, closed)
            self.stands(n)

    def stands(self, n: int) -> None:
        """What a router's module is told of the others."""
        living = self.nodes[n].live_peers()
        router, span = self.routers[n], SETTINGS.warm_up.budget_window
        warming = [e for e in router.engines.values() if e.ready and e.is_warming_up(self.now)]
        tips = {e.id: SETTINGS.warm_up.budget_multiple * span * e.usable_cores(self.now) for e in warming}
        standing = self.companies[n].state(EPOCH + self.now, living, tips, span)
        self.near[n] = standing.subset
        self.routers[n].on_subset(self.now, standing.subset, standing.routers, standing.shares)

    def talk(self) -> None:
        """Datagrams come a step after they went, but for those that are lost or cut off."""
        now, post, self.post = EPOCH + self.now, self.post, []
        for sender, to, data in post:
            n = int(to[1:])
            zones = {sender % ZONES, n % ZONES}
            if self.chance.random() < LOST or len(zones) > 1 and zones & self.silent or n >= len(self.nodes):
                continue
            self.says(n, self.nodes[n].receive(now, data))
        for n, (node, company) in enumerate(zip(self.nodes, self.companies)):
            if self.now % TICK == n % (TICK // STEP) * STEP:
                self.says(n, node.tick(now))
                self.wants_cold(n)
                self.stands(n)
            if company.relay.queue or company.lease_messages or self.now % TICK == 0:
                said = company.due_digests(now, node.live_peers())
                self.says(n, [datagram for to, load in said for datagram in node.payload_datagrams(to, load)])
            for engine, report, age in company.take_relayed_reports():
                self.routers[n].on_load_report(self.now, engine, report, age)

    def wants_cold(self, n: int) -> None:
        router = self.routers[n]
        warming = [e for e in router.engines.values() if e.ready and e.is_warming_up(self.now)]
        able = sum(e.usable_cores(self.now) for e in warming)
        rate = router.light_query_rate(self.now) if able else 0
        self.companies[n].quotas.set_requested(
            "cold", int(LIMIT_UNITS * rate / able / WARM_UP_BUDGET_SHARE) if able else 0
        )

    def says(self, n: int, said: list[tuple[str, bytes]]) -> None:
        self.bytes += sum(HEADERS + len(data) for _, data in said)
        self.post += [(n, to, data) for to, data in said]

    def forgets(self, router: int) -> None:
        self.start(router)

    def replace(self, count: int) -> None:
        super().replace(count)
        self.events += 1
        before = list(self.near)
        for n in range(len(self.routers)):
            self.tell(n)
        if pairs := sum(map(len, before)):
            self.moved.append(sum(len(b - a) for a, b in zip(before, self.near)) / pairs)

    def resize(self, routers: int) -> None:
        """Those that start know the new number; the others were told the old one as they started."""
        self.settings = replace(self.settings, routers=routers)
        super().resize(routers)
        self.name_all()
        for n, (node, company) in enumerate(zip(self.nodes, self.companies)):
            node.set_keys(self.keys, EPOCH + self.now)
            company.set_router_names(EPOCH + self.now, self.keys)
            self.tell(n)
        del self.nodes[routers:], self.companies[routers:]
        for n in range(len(self.routers), routers):
            self.start(n)

    def listings(self) -> list[Listing]:
        return [
            Listing(
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

    def taken(self, q: Query) -> None:
        router = self.routers[q.router]
        if router.admits(self.now, q.group, 0.0):
            due = self.now + int(PATIENCE * self.slow)
            router.on_query(self.now, NewQuery(q.id, q.group, due, table_group=q.tables, cost=q.cost))

    def ended(self, run: Run, engine: Engine) -> None:
        if self.parted(run.query.router, engine.id):
            return  # its answer never comes
        super().ended(run, engine)
        self.tells(run.query, run.leg, AttemptResult.SERVED, True, self.now - run.sent, cost=run.query.work)

    def tells(
        self,
        q: Query,
        leg: int,
        result: AttemptResult,
        final: bool,
        took: Time,
        cost: Time | None = None,
    ) -> None:
        router = self.routers[q.router]
        attempts = router.queries[q.id].attempts if q.id in router.queries else []
        router.on_attempt_ended(self.now, AttemptEnded(q.id, leg, result, final, took, cost))
        if leg < len(attempts) and result == AttemptResult.CONNECTION_LOST:
            self.failed(q.router, router, attempts[leg].engine)

    def decided(self) -> None:
        if self.form == "shared":
            self.talk()
        for n, router in enumerate(self.routers):
            while (said := router.next_decision(self.now)) is not None:
                match said:
                    case Submit(id, engine):
                        self.submit(router, self.queries[id], self.engines[engine])
                    case HealthCheck(engine):
                        self.probe(n, router, self.engines[engine])
                    case Reject(id, _, why):
                        self.deferred[self.queries[id].group, why] += 1

    def probe(self, n: int, router: QueryScheduler, engine: Engine) -> None:
        self.probes += 1
        if self.parted(n, engine.id):
            self.at(UNHEARD, lambda: self.unheard(n, router, engine))
            return
        report = engine.report()
        router.on_health_check(self.now, engine.id, AttemptResult.SERVED, report)
        if n < len(self.companies):
            self.companies[n].on_load_report(EPOCH + self.now, engine.id, report)

    def unheard(self, n: int, router: QueryScheduler, engine: Engine) -> None:
        router.on_health_check(self.now, engine.id, AttemptResult.TIMED_OUT, None)
        self.failed(n, router, engine.id)

    def failed(self, n: int, router: QueryScheduler, engine: int) -> None:
        if n < len(self.companies) and engine in router.engines and router.engines[engine].failures > 1:
            self.companies[n].on_failure(EPOCH + self.now, engine)

    def submit(self, router: QueryScheduler, q: Query, engine: Engine) -> None:
        leg = len(router.queries[q.id].attempts) - 1
        self.ages.append(self.now - router.engines[engine.id].reported_at)
        if self.parted(q.router, engine.id):
            self.at(SILENT, lambda: self.tells(q, leg, AttemptResult.CONNECTION_LOST, False, SILENT))
        elif engine.draining or len(engine.runs) >= HOLDS * CORES:
            self.tells(q, leg, AttemptResult.OVERLOADED, False, 0)
        else:
            self.begin(engine, q, leg)
            if q.router < len(self.companies) and router.engines[engine.id].is_warming_up(self.now):
                self.companies[q.router].on_warm_up_work(EPOCH + self.now, engine.id, q.cost)

    def forget(self) -> None:
        super().forget()
        self.probes = self.bytes = 0
        self.ages.clear()

    def report_age(self) -> float:
        """Milliseconds, the median: what was known of an engine as a query went there; at most a minute."""
        return median(min(age, 60 * SECOND) for age in self.ages) / 10


class Seeing(World):
    """One mind for all routers: it knows what it sent, and all else as it was a report's age ago. The dearest
    work for its value waits, each query goes where most is free, and what can't be in time is dropped."""

    def __init__(self, *sizes: float, **changed: object) -> None:
        super().__init__(*sizes, **changed)
        self.line: list[Query] = []

    def taken(self, query: Query) -> None:
        self.line.append(query)

    def forgets(self, router: int) -> None:
        self.line = [q for q in self.line if q.router != router]

    def decided(self) -> None:
        ready = [engine for engine in self.engines.values() if not engine.draining]
        loads = {}
        for engine in ready:
            since = [run.width for run in engine.runs if run.sent > self.now - REPORT_AGE]
            gone = engine.told[0][2] if engine.told else 0
            loads[engine] = gone + sum(since)
        values = [SETTINGS.groups[group].weight for group in (LOOKUP, REPORT)]
        self.line.sort(key=lambda q: q.cost / values[q.group])
        waits = []
        for q in self.line:
            alone = q.work // self.width(q.group)
            if self.now + alone > q.counts_until:
                continue
            if not self.place(q, loads):
                waits.append(q)
        self.line = waits

    def place(self, q: Query, loads: dict[Engine, float]) -> bool:
        width, span = self.width(q.group), SETTINGS.warm_up.budget_window
        for engine in sorted(loads, key=lambda engine: loads[engine] / engine.able(self.now)):
            able = engine.able(self.now)
            if loads[engine] + width > KNEE * able:
                return False
            tips = SETTINGS.warm_up.budget_multiple * able * span
            cold = engine.started and self.now < engine.started + SETTINGS.warm_up.duration
            if self.parted(q.router, engine.id) or cold and engine.within(self.now) + q.work > tips / 2:
                continue
            loads[engine] += width
            self.begin(engine, q, 0)
            return True
        return False
