"""Slow start: what all routers together send to a warming engine, by calculation and by simulation."""

import random
from math import ceil, exp, lgamma, log, sqrt

import pytest
from conftest import CATALOG, LOOKUP

from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointState,
    ListMode,
    NewQuery,
    Submit,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.decision.slow_start import (
    DRAWN_PERMIT_WINDOWS,
    MIN_OVERLOADING_QUERIES,
    UNUSED_PERMIT_WINDOWS,
    WARM_UP_BUDGET_SHARE,
    PermitLedger,
)
from hillchute.settings import Settings

BUDGET_WINDOW = CATALOG["guarantees.fall"]
BUDGET_MULTIPLE = CATALOG["guarantees.tip_multiple"]
INITIAL_SHARE = CATALOG["guarantees.cold_from"]
CORES = CATALOG["domain.kind_cores"]
MAX_PROBABILITY = 1e-6  # of exceeding the budget in one window, for one engine that starts
# Live routers as multiples of the number in the settings: during steady traffic, and in the first window
# after a quiet time, when unused permits are used together with those of the window.
STEADY_FLEET_FACTORS = [0.5, 1.0, 2.0]
QUIET_FLEET_FACTORS = [0.5, 1.0, 1.25]
FIRST_WINDOW_FACTOR = 1 + UNUSED_PERMIT_WINDOWS + DRAWN_PERMIT_WINDOWS
ALLOWED_QUERIES = [1, 2, 3, 5, 8, 13, 21, 29, 30, 31, 50, 100, 300, 1_000, 10_000]


def budget(allowed):
    """Returns how many queries an engine may get in a window for which the settings allow `allowed`."""
    return allowed + (3 * sqrt(allowed) + 3 if allowed < 30 else 2 * sqrt(allowed) + 2)


def poisson_tail(mean, limit):
    """Returns the probability that a Poisson count, the sum of many random routers, exceeds `limit`."""
    first = int(limit) + 1
    term = exp(first * log(mean) - mean - lgamma(first + 1))
    total, n = 0.0, first
    while term > 1e-30:
        total += term
        n += 1
        term *= mean / n
    return total


def mean_queries(allowed, fleet_factor):
    """Returns the mean number of queries that all routers send to an engine in a window.

    This is WARM_UP_BUDGET_SHARE of its capacity, where the budget is BUDGET_MULTIPLE times the capacity.
    """
    return allowed * WARM_UP_BUDGET_SHARE / BUDGET_MULTIPLE * fleet_factor


@pytest.mark.parametrize("allowed", ALLOWED_QUERIES)
def test_probability_of_exceeding_the_budget_is_below_one_in_a_million_for_any_fleet(allowed):
    for fleet_factor in STEADY_FLEET_FACTORS:
        assert poisson_tail(mean_queries(allowed, fleet_factor), budget(allowed)) < MAX_PROBABILITY
    for fleet_factor in QUIET_FLEET_FACTORS:
        assert (
            poisson_tail(FIRST_WINDOW_FACTOR * mean_queries(allowed, fleet_factor), budget(allowed))
            < MAX_PROBABILITY
        )


def test_probability_for_twice_the_configured_fleet_in_the_first_window_after_a_quiet_time():
    """At most 1 in 500, once for each engine that starts then, as docs/design.md states."""
    probabilities = [
        poisson_tail(FIRST_WINDOW_FACTOR * mean_queries(allowed, 2.0), budget(allowed))
        for allowed in ALLOWED_QUERIES
    ]
    assert 1e-4 < max(probabilities) < 1 / 500


def test_calculation_detects_a_share_that_is_too_large():
    assert (
        poisson_tail(mean_queries(30, BUDGET_MULTIPLE / WARM_UP_BUDGET_SHARE), budget(30)) > MAX_PROBABILITY
    )


class SimulatedFleet:
    """Simulated routers without knowledge of each other, and engines that all start at the same time."""

    def __init__(self, routers, configured_routers, engines, allowed, seed):
        self.rng = random.Random(seed)
        self.work = max(1, int(BUDGET_MULTIPLE * INITIAL_SHARE * BUDGET_WINDOW * CORES / allowed))
        self.configured_routers, self.engines = configured_routers, engines
        self.start_time = 10 * SECOND
        self.routers = [self.start(n, 0) for n in range(routers)]
        self.sent = {engine: [] for engine in range(1, engines + 1)}
        self.queries = 0

    def start(self, number, now):
        catalog = CATALOG | {"n_instances": self.configured_routers, "me": number}
        router = QueryScheduler(self.rng.randrange(2**32), Settings.from_catalog(catalog), now)
        entries = [
            EndpointEntry(e, 0, 0, 0, self.start_time, EndpointState.READY, 1.0)
            for e in range(1, self.engines + 1)
        ]
        router.on_endpoint_list(now, ListMode.COMPLETE, entries)
        return router

    def send_query(self, number, now):
        """Adds one query; if it gets a permit for a warming engine, it is sent there and retried."""
        router = self.routers[number]
        self.queries += 1
        name = f"{number}-{self.queries}"
        router.on_query(now, NewQuery(name, LOOKUP, now + 7 * SECOND, cost=self.work))
        while (decision := router.next_decision(now)) is not None:
            if isinstance(decision, Submit):
                self.sent[decision.engine].append(now)
                # The attempt is rejected at once, as by a full engine: a retry must count like a query.
                attempt = len(router.queries[decision.query].attempts) - 1
                ended = AttemptEnded(decision.query, attempt, AttemptResult.OVERLOADED, False, 1)
                router.on_attempt_ended(now, ended)

    def run(self, length, rate, restart=False):
        """Simulates a period of `length`; `rate` is the number of queries per second of one router."""
        times = sorted(
            (self.start_time + int(self.rng.uniform(0, length)), number)
            for number in range(len(self.routers))
            for _ in range(max(1, int(rate * length / SECOND)))
        )
        for now, number in times:
            if restart and self.rng.random() < 0.02:
                self.routers[number] = self.start(number, now)
            self.send_query(number, now)

    def most_in_a_window(self):
        """Returns the most queries that any engine got in any window."""
        most = 0
        for times in self.sent.values():
            first = 0
            for last, now in enumerate(times):
                while now - times[first] > BUDGET_WINDOW:
                    first += 1
                most = max(most, last - first + 1)
        return most


@pytest.mark.parametrize("routers, rate", [(1, 200), (2, 100), (7, 40), (40, 10), (230, 3)])
@pytest.mark.parametrize("allowed", [16, 29, 30, 100])
@pytest.mark.parametrize("restart", [False, True], ids=["steady", "restarting"])
def test_no_fleet_exceeds_the_budget_of_engines_that_start_at_the_same_time(routers, rate, allowed, restart):
    """`allowed` starts at MIN_OVERLOADING_QUERIES: with fewer, no query is light enough for a permit."""
    assert allowed >= MIN_OVERLOADING_QUERIES
    fleet = SimulatedFleet(routers, routers, 5, allowed, seed=routers * 1000 + allowed)
    fleet.run(4 * SECOND, rate, restart)
    assert 0 < fleet.most_in_a_window() <= budget(allowed)


@pytest.mark.parametrize("configured_routers", [20, 80])
def test_no_fleet_of_another_size_than_configured_exceeds_the_budget(configured_routers):
    fleet = SimulatedFleet(40, configured_routers, 5, 30, seed=configured_routers)
    fleet.run(4 * SECOND, 10, restart=True)
    assert fleet.most_in_a_window() <= budget(30)


def test_queries_that_wait_with_their_permits_are_not_all_sent_at_once(make_harness):
    """All engines are ejected for a while; afterwards all waiting queries could be sent at once."""
    harness = make_harness(n_instances=1)
    harness.list_engines(1, 2, 3, started=1)
    for e in harness.scheduler.engines.values():
        e.ejected_until = 4 * BUDGET_WINDOW
    waiting = [
        harness.add_query(LOOKUP, now=1 + n * 100, cost=300, deadline=30 * SECOND)
        for n in range(4 * BUDGET_WINDOW // 100)
    ]
    harness.take_decisions(4 * BUDGET_WINDOW - 1)
    drawn = sum(q.permit_engine is not None for q in waiting)
    sendable = [
        q
        for q in waiting
        if any(
            harness.scheduler.placement.is_eligible(harness.scheduler.now, e, q)
            for e in harness.scheduler.engines.values()
        )
    ]
    assert drawn > 2 * len(sendable) > 0


def test_queries_too_heavy_for_the_budget_are_not_sent_to_warming_engines():
    for allowed in (1, 4, MIN_OVERLOADING_QUERIES - 1):
        fleet = SimulatedFleet(3, 3, 2, allowed, seed=allowed)
        fleet.run(4 * SECOND, 40)
        assert fleet.most_in_a_window() == 0


def test_simulation_detects_routers_that_do_not_divide_the_budget(monkeypatch):
    monkeypatch.setattr(PermitLedger, "draw", lambda *args: 1)
    fleet = SimulatedFleet(40, 40, 5, 30, seed=1)
    fleet.run(4 * SECOND, 10)
    assert fleet.most_in_a_window() > ceil(budget(30))
