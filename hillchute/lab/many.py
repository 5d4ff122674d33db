"""Many routers that don't know of each other, each a module instance, against one simple model of engines.

Owns the clock, the traffic and the engines of a play in simulated time: what takes the fleet's bench minutes
takes seconds here, and shows the same habits. Figures from here are simulated. Must never be imported by what
serves, nor know how a decision is made. Times are whole tenths of a millisecond, work is core time.
"""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from hillchute.decision.interface import Listing, Time
from hillchute.decision.teamwork import SECOND, Teamwork

STEP: Time = 250  # 25 ms between two looks at everything
REPORT_AGE: Time = 3_000  # a report tells what was 0.3 s ago
HOLDS = 8  # queries a core that an engine takes; beyond, it refuses as full
KNEE = 1.75  # threads a core beyond which less work is done in all
CORES = 16
PATIENCE: Time = 8 * SECOND
LOOKUP, REPORT = 0, 1
MEAN = (3_000, 40_000)  # work of a query of each group
SHARE = 0.14  # of the queries are reports: a lookup and a seventh of a report come to 0.86 s of work
A_QUERY = ((1 - SHARE) * MEAN[LOOKUP] + SHARE * MEAN[REPORT]) / SECOND
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


@dataclass(slots=True, eq=False)
class Run:
    """One submission on an engine."""

    router: int
    query: str
    leg: int
    sent: Time
    work: Time  # what it truly is
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
    told: list[tuple[Time, int]] = field(default_factory=list)  # (time, queries held)

    def able(self, now: Time) -> float:
        if not self.started:
            return CORES
        warmth = min(1.0, (now - self.started) / CATALOG["guarantees.cold"])
        least = CATALOG["guarantees.cold_from"]
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
        self.told.append((now, len(self.runs)))
        return ended

    def report(self, now: Time) -> dict[str, float]:
        while len(self.told) > 1 and self.told[1][0] <= now - REPORT_AGE:
            self.told.pop(0)
        return {"inflight": self.told[0][1]} if self.told else {"inflight": 0}

    def most_of_what_tips(self) -> float:
        """The largest part of what tips it that came within one span, for what it could do as that began."""
        span, tips = CATALOG["guarantees.fall"], CATALOG["guarantees.tip_multiple"]
        most = within = first = 0
        for at, work in self.sent:
            within += work
            while self.sent[first][0] <= at - span:
                within -= self.sent[first][1]
                first += 1
            most = max(most, within / (tips * span * self.able(self.sent[first][0])))
        return most


class Many:
    """`load`: work asked for, as a part of all engines' cores; `low`: true work over the estimate."""

    def __init__(
        self, seed: int, routers: int = 60, engines: int = 20, load: float = 0.7, low: float = 1.0
    ) -> None:
        self.chance, self.now, self.low = random.Random(seed), 0, low
        self.catalog = CATALOG | {"n_instances": routers}
        self.engines = {n: Engine(n) for n in range(engines)}
        weights = [self.chance.lognormvariate(0, 0.8) for _ in range(routers)]
        self.rates = [load * engines * CORES / A_QUERY * weight / sum(weights) for weight in weights]
        self.routers: list[Teamwork] = []
        for n in range(routers):
            self.routers.append(self.start(n))
        self.count = self.probes = 0
        self.queries: dict[
            str, tuple[int, Time, Time]
        ] = {}  # id: (group, last moment that counts, true work)
        self.asked, self.served = Counter(), Counter()  # by group
        self.deferred = Counter()  # by (group, why)

    # ---- what happens -----------------------------------------------------------------------------

    def start(self, n: int) -> Teamwork:
        """A router's module that knows the list and nothing else."""
        router = Teamwork(self.chance.getrandbits(60), self.catalog | {"me": n}, self.now)
        router.roster(self.now, "Complete", self.listings())
        return router

    def restart(self, part: float) -> None:
        """So many of the routers at once; what they held is gone, what is out runs on unheard."""
        for n in self.chance.sample(range(len(self.routers)), int(part * len(self.routers))):
            self.routers[n] = self.start(n)
            for engine in self.engines.values():
                engine.runs = [run for run in engine.runs if run.router != n]

    def replace(self, count: int) -> None:
        """So many of the oldest engines drain, as many new ones start; all routers are told at once."""
        for engine in [engine for engine in self.engines.values() if not engine.draining][:count]:
            engine.draining = True
        first = max(self.engines) + 1
        for n in range(first, first + count):
            self.engines[n] = Engine(n, started=self.now)
        for router in self.routers:
            router.roster(self.now, "Complete", self.listings())

    def listings(self) -> list[Listing]:
        return [
            Listing(e.id, 0, 0, 0, e.started, "Terminating" if e.draining else "Ready", 1.0)
            for e in self.engines.values()
        ]

    # ---- time goes on -----------------------------------------------------------------------------

    def play(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.step()

    def step(self) -> None:
        self.now += STEP
        for engine in self.engines.values():
            for run in engine.step(self.now):
                self.ended(run)
        for n, router in enumerate(self.routers):
            for id, group, cost in self.asks(self.rates[n]):
                router.take(
                    self.now, id, group, self.now + PATIENCE, tables=self.chance.randrange(40), cost=cost
                )
            self.decided(n, router)

    def asks(self, rate: float) -> Iterator[tuple[str, int, Time]]:
        """What one router's clients ask in this step: id, group and estimated work."""
        mean = rate * STEP / SECOND
        while self.chance.random() < mean / (1 + mean):
            self.count += 1
            group = REPORT if self.chance.random() < SHARE else LOOKUP
            cost = max(1, int(MEAN[group] * self.chance.lognormvariate(-0.4, 0.9)))
            width, target = CATALOG["domain.width_by_group"][group], CATALOG[f"groups.{group}.target_runtime"]
            stretch = CATALOG[f"groups.{group}.target_stretch"]
            end = self.now + target + int(stretch * cost * self.low / width)
            self.queries[f"q{self.count}"] = group, end, int(cost * self.low)
            self.asked[group] += 1
            yield f"q{self.count}", group, cost

    def ended(self, run: Run) -> None:
        group, end, work = self.queries[run.query]
        self.served[group] += self.now <= end
        took = self.now - run.sent
        self.routers[run.router].outcome(self.now, run.query, run.leg, "finished", True, took, cost=work)

    def decided(self, n: int, router: Teamwork) -> None:
        while (said := router.decide(self.now)) is not None:
            match said:
                case ("submit", id, engine, _):
                    self.submit(n, router, id, self.engines[engine])
                case ("probe", engine):
                    self.probes += 1
                    router.probed(self.now, engine, "finished", self.engines[engine].report(self.now))
                case ("defer", id, _, why):
                    self.deferred[self.queries[id][0], why] += 1

    def submit(self, n: int, router: Teamwork, id: str, engine: Engine) -> None:
        group, _, work = self.queries[id]
        leg = len(router.queries[id].legs) - 1
        if engine.draining or len(engine.runs) >= HOLDS * CORES:
            router.outcome(self.now, id, leg, "saturated", False, 0)
            return
        engine.sent.append((self.now, work))
        width = CATALOG["domain.width_by_group"][group]
        engine.runs.append(Run(n, id, leg, self.now, work, width, work))

    # ---- what came of it --------------------------------------------------------------------------

    def forget(self) -> None:
        """What was asked and served until now does not count: the start of a play is no steady state."""
        for counts in (self.asked, self.served, self.deferred):
            counts.clear()

    def cold(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.started]

    def worth(self) -> float:
        """The value served in time over the value asked for."""
        values = [CATALOG[f"groups.{group}.value"] for group in (LOOKUP, REPORT)]
        asked = sum(values[group] * n for group, n in self.asked.items())
        return sum(values[group] * n for group, n in self.served.items()) / asked


def replacement(seed: int, routers: int = 60, engines: int = 20, load: float = 0.7) -> dict[str, object]:
    """Six engines in ten replaced in two steps within seven seconds, as figures for people and tests."""
    fleet = Many(seed, routers, engines, load)
    fleet.play(4)
    fleet.forget()
    for seconds in (3.5, 8.5):
        fleet.replace(engines * 3 // 10)
        fleet.play(seconds)
    names = {LOOKUP: "lookup", REPORT: "report"}
    return {
        "worth served": round(fleet.worth(), 3),
        "served": {name: round(fleet.served[g] / fleet.asked[g], 3) for g, name in names.items()},
        "deferred": {f"{names[g]}: {why}": n for (g, why), n in sorted(fleet.deferred.items())},
        "most held by an engine at the end": max(len(engine.runs) for engine in fleet.engines.values()),
        "most of what tips a cold engine": round(max(e.most_of_what_tips() for e in fleet.cold()), 3),
        "probes a query": round(fleet.probes / fleet.count, 2),
    }
