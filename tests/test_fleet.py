"""Many routers that don't know of each other, against one simple model of what they share."""

import sys

import pytest
from conftest import CATALOG, LOOKUP, REPORT
from test_router import TABLE

from hillchute.decision.interface import (
    SECOND,
    AttemptResult,
    EndpointState,
    FleetShares,
    HealthCheck,
    Listing,
    ListMode,
    NewQuery,
    Reason,
    Reject,
    Submit,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.lab import many, plays
from hillchute.lab.many import Many
from hillchute.router import config, events
from hillchute.router.effects import OpenConnection
from hillchute.router.reducer import Reducer
from hillchute.settings import Settings
from hillchute.statements import request as statement

FLEET = CATALOG | many.CATALOG | {"n_instances": 200}


@pytest.mark.parametrize("seed, low, restarted", [(1, 1.0, 0.0), (2, 1.5, 0.0), (3, 1.0, 0.7)])
def test_cold_engines_are_used_by_the_fleet_and_far_from_tipped(seed, low, restarted):
    """All learn of the new engines at once; estimates are low; seven in ten routers forget what they sent."""
    fleet = Many(seed, routers=200, engines=10, load=0.6, low=low)
    fleet.play(5)
    fleet.replace(6)
    fleet.restart(restarted)
    fleet.play(8)
    for engine in fleet.cold():
        assert sum(work for _, work in engine.sent) > 0.2 * 0.31 * 16 * 8 * SECOND  # at its coldest
        assert engine.most_of_what_tips() < 1 / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_six_engines_in_ten_are_replaced_within_seven_seconds(seed):
    """Before the lots and the looks such plays served 0.34 and 0.40 of the worth, engines held up to 105."""
    found = plays.figures("subset", "replaced", seed, 60, 20, 0.7)
    assert found["served"] > 0.6 * found["late_seeing"] and found["jain"] > 0.95
    assert found["most_held"] < 4 * many.CORES
    assert found["most_of_what_tips"] < 1 / 2 and found["cold_falls"] == 0


@pytest.mark.parametrize("play", ["killed", "cut", "doubled"])
def test_what_parts_or_ends_routers_costs_little_of_what_could_be_served(play):
    found = plays.figures("subset", play, 3, 40, 16, 0.6, 2.5, **{"costs.probe": 0.08})
    assert found["served"] > 0.9 * found["late_seeing"] and found["jain"] > 0.95


@pytest.mark.parametrize("seed", [1, 2])
def test_routers_that_share_serve_more_with_fewer_probes(seed):
    subset, shared = (
        plays.figures(form, "replaced", seed, 40, 16, 0.7, **{"costs.probe": 0.0086})
        for form in ("subset", "shared")
    )
    assert shared["served"] > max(0.85 * shared["late_seeing"], subset["served"])
    assert shared["probes_a_query"] < 0.6 * subset["probes_a_query"]
    assert shared["cold_falls"] == 0 and shared["jain"] > 0.95 and 0 < shared["bytes_s"] < 8_000


@pytest.mark.parametrize("play", ["killed", "cut", "doubled"])
def test_shared_fleet_bears_what_parts_or_ends_routers(play):
    found = plays.figures("shared", play, 3, 24, 10, 0.6)
    assert found["served"] > 0.9 * found["late_seeing"] and found["jain"] > 0.95


def test_dear_probes_are_left_to_the_queries_that_are_worth_them():
    """Where a probe a query costs a twelfth of all worth, a fifth of the probes serves as much within 0.1."""
    cheap, dear = (
        plays.figures("subset", "replaced", 4, 40, 16, 0.6, 2.5, **{"costs.probe": price})
        for price in (0.0086, 0.08)
    )
    assert dear["probes_a_query"] < 0.3 * cheap["probes_a_query"]
    assert dear["served"] > cheap["served"] - 0.1


# ---- one router among many ------------------------------------------------------------------------


@pytest.fixture
def probing(make_harness):
    return make_harness(
        report__via="probe", limits__probes=True, report__columns=["inflight"], domain__yields_to_loads=False
    )


def probes(said):
    return [d.engine for d in said if isinstance(d, HealthCheck)]


def test_query_looks_at_the_engine_it_has_drawn(probing):
    q = probing.arrive(LOOKUP)
    said = probing.decisions()
    assert q.checked_engine in probes(said) and not [d for d in said if isinstance(d, Submit)]
    drawn = q.checked_engine
    probing.router.on_health_check(5, drawn, AttemptResult.SERVED, {"inflight": 3})
    assert (q.id, drawn) in [(d.query, d.engine) for d in probing.decisions(5) if isinstance(d, Submit)]


def test_crowded_engine_is_passed_over_and_looked_at_once(probing):
    q = probing.arrive(LOOKUP)
    probing.decisions()
    first = q.checked_engine
    probing.router.on_health_check(5, first, AttemptResult.SERVED, {"inflight": 8 * 2 + 1})
    probing.decisions(5)
    assert q.checked_engine not in (None, first) and q.overloaded_checks == 1


def test_engine_that_does_not_answer_the_look_is_left_alone(probing):
    q = probing.arrive(LOOKUP)
    probing.decisions()
    first = q.checked_engine
    assert not [d for d in probing.decisions(999) if isinstance(d, Submit)]
    probing.decisions(1000)
    assert q.checked_engine not in (None, first)


def test_dashboard_goes_nowhere_when_all_that_it_sees_is_full(probing):
    q = probing.arrive(LOOKUP)
    said, now = probing.decisions(), 0
    while not [d for d in said if isinstance(d, Submit | Reject)]:
        now += 10
        probing.router.on_health_check(now, q.checked_engine, AttemptResult.SERVED, {"inflight": 60})
        said = probing.decisions(now)
    assert q.id in [d.query for d in said if isinstance(d, Reject)]


def test_engine_known_of_late_needs_no_look(probing):
    for e in probing.router.engines.values():
        probing.router.on_health_check(0, e.id, AttemptResult.SERVED, {"inflight": 1})
    q = probing.arrive(LOOKUP, now=100)
    assert [d.query for d in probing.decisions(100) if isinstance(d, Submit)] == [q.id]


def test_crowd_is_remembered_for_as_long_as_it_stays(harness):
    crowded, idle, _ = harness.router.engines.values()
    harness.router.load.mean_load, harness.router.now = 1.0, 2 * SECOND
    crowded.reported_threads, idle.reported_threads = 8 * 8, 2
    crowded.reported_at = idle.reported_at = 0
    assert (
        harness.router.load.report_weight(harness.router.now, crowded) > 0.8
        and harness.router.load.report_weight(harness.router.now, idle) == 0.25
    )


def test_unreached_engine_is_not_taken_for_one_that_starts(harness):
    harness.attempted(LOOKUP, engine=1, result=AttemptResult.UNREACHABLE)
    harness.attempted(LOOKUP, engine=2, sent=1, result=AttemptResult.CONNECTION_REFUSED)
    harness.router.now = 2
    assert [e.is_warming_up(harness.router.now) for e in harness.router.engines.values()] == [
        False,
        True,
        False,
    ]


def calls(work):
    """How many calls of functions, Python's own included, some work takes."""
    count = 0

    def seen(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(seen)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


@pytest.mark.parametrize("group", [LOOKUP, REPORT])
@pytest.mark.parametrize("change", [False, True])
def test_work_for_a_query_grows_no_faster_than_the_engines(group, change):
    def cost(engines):
        router = QueryScheduler(7, Settings.from_catalog(FLEET | {"domain.group_load": [False] * 4}), 0)
        listings = [Listing(e, 0, 0, 0, 0, EndpointState.READY, 1.0) for e in range(engines)]
        router.on_endpoint_list(0, ListMode.COMPLETE, listings)

        def query():
            if change:
                news = [
                    Listing(engines, 0, 0, 0, 1, EndpointState.READY, 1.0),
                    listings[0]._replace(state=EndpointState.GONE),
                ]
                router.on_endpoint_list(1, ListMode.PARTIAL, news)
            for n in range(4):  # a team, where they lead
                router.on_query(1, NewQuery(f"q{n}", group, 8 * SECOND, cost=100, table_group=3))
            while router.next_decision(1) is not None:
                pass

        return calls(query)

    few, many = cost(80), cost(1024)
    assert many < 1.2 * few * 1024 / 80


def test_router_of_a_thousand_among_a_thousand_engines_starts_and_serves():
    items = [
        {"name": f"s-{n:08x}", "address": f"10.1.{n // 250}.{n % 250 + 1}:6565", "status": "Ready"}
        for n in range(1024)
    ]
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"snapshot": True, "endpoints": items}}]}
    limits = TABLE["settings"]["limits"] | {"open_cap": 100}
    kind = TABLE["settings"]["classes"][0] | {"goal_time_ns": 10**9, "deadline_ns": 8 * 10**9}
    settings = TABLE["settings"] | {"n_instances": 1024, "limits": limits, "classes": [kind]}
    table = TABLE | {"known": known, "settings": settings}
    configuration = config.parse_configuration(table, {})
    reducer = Reducer(
        QueryScheduler(configuration.seed, configuration.settings, 0),
        configuration.settings,
        configuration.max_engine_connections,
    )
    for news in configuration.initial_watch_events:
        reducer.reduce(events.EndpointsChanged(news), 0)
    assert len(reducer.pool.endpoints) == 1024
    group = next(iter(reducer.rules.groups))
    request = statement.Request("a" * 16, group, 8 * SECOND, b"SELECT 1 FROM sales_4.t", token="t")
    assert [e for e in reducer.reduce(events.Asked(1, request, 1), 1) if isinstance(e, OpenConnection)]


def test_dashboard_is_turned_away_for_a_crowd_that_is_believed(probing):
    """A look would cost a probe and a tenth of a second, and find what the mean of the others says."""
    probing.arrive(LOOKUP)
    probing.decisions()
    probing.router.load.mean_load = 3.1  # threads a core, over the bound and a half
    q = probing.arrive(LOOKUP, cost=1)
    assert Reject(q.id, 0, Reason.ENGINES_OVERLOADED) in probing.decisions()
    assert q.checked_engine is None


# ---- what is known of the engines that a query may use --------------------------------------------


@pytest.fixture
def half_cold(probing):
    """Engine 1 warm and full, 2 and 3 cold and empty; all in sight."""
    probing.list_engines(2, 3, mode=ListMode.PARTIAL, started=10)
    probing.router.on_subset(20, frozenset({1, 2, 3}))
    for engine, held in ((1, 28), (2, 0), (3, 0)):
        probing.router.on_health_check(20, engine, AttemptResult.SERVED, {"inflight": held})
    return probing


def test_query_is_too_heavy_for_the_crowd_where_it_may_go_not_for_the_mean_of_all(half_cold):
    router = half_cold.router
    bound, lucky = half_cold.arrive(REPORT, now=20), half_cold.arrive(REPORT, now=20)
    bound.permit_engine, lucky.permit_engine = None, 2
    for q in (bound, lucky):
        q.cost = (
            1.2 * (q.group.mean_cost * q.group.settings.weight * router.admission.mean_cost_per_weight) ** 0.5
        )
    router.load.mean_load = 1.5  # the mean over all would let both in
    assert [router.admission.is_too_heavy(router.now, q) for q in (bound, lucky)] == [True, False]


def test_query_goes_to_the_cold_engine_of_its_lot_without_a_look(probing):
    probing.list_engines(2, mode=ListMode.PARTIAL, started=10)
    q = probing.arrive(LOOKUP, now=20)
    q.permit_engine = 2
    said = probing.decisions(20)
    assert (q.id, 2) in [(d.query, d.engine) for d in said if isinstance(d, Submit)]
    other = probing.arrive(LOOKUP, now=20)
    other.permit_engine = None
    probing.decisions(20)
    assert other.checked_engine in (1, 3)  # a warm one that was not heard of is looked at


def test_probes_go_to_the_engine_in_sight_that_was_heard_of_longest_ago(probing):
    router = probing.router
    router.on_subset(0, frozenset({1, 2}))
    for engine, at in ((1, 9000), (2, 5000), (3, 0)):
        router.on_health_check(at, engine, AttemptResult.SERVED, {"inflight": 0})
    router.health_checks.credit, router.health_checks.next_check = 3, 0
    asked = probes(probing.decisions(10_000))
    assert asked == [2]  # 3 is out of sight, 1 was heard of just now
    router.on_load_report(13_500, 2, {"inflight": 0}, age=100)
    router.health_checks.credit, router.health_checks.next_check = 3, 0
    assert probes(probing.decisions(14_000)) == [1]


def test_report_of_another_router_counts_by_its_age(probing):
    router, e = probing.router, probing.router.engines[1]
    router.on_load_report(5000, 1, {"inflight": 4}, age=1000)
    assert (e.reported_threads, e.reported_at) == (4, 4000)
    router.on_load_report(5000, 1, {"inflight": 9}, age=2000)
    assert e.reported_threads == 4
    router.on_health_check(5000, 1, AttemptResult.SERVED, {"inflight": 2})
    assert (e.reported_threads, e.reported_at) == (2, 5000)
    router.on_load_report(5001, 1, None, age=1)
    assert e.reported_at == 5000 and not e.failures


def test_fresh_report_of_another_router_spares_the_look(probing):
    for engine in (1, 2, 3):
        probing.router.on_load_report(100, engine, {"inflight": 1}, age=90)
    probing.router.on_subset(100, frozenset({1, 2, 3}), 2, FleetShares(health_checks=0.0))
    q = probing.arrive(LOOKUP, now=100)
    assert [d.query for d in probing.decisions(100) if isinstance(d, Submit)] == [q.id]


def test_parts_of_limits_go_before_equal_ones(make_harness):
    harness = make_harness(parties__0__fraction=0.5, parties__0__quota_per_s=4, n_instances=4)
    router = harness.router
    for _ in range(3):
        harness.arrive(LOOKUP)
    assert router.admission.is_over_share(
        router.now, 0
    )  # three in a second, where one of four routers has one
    router.on_subset(0, frozenset(), 4, FleetShares(tenants={0: 0.9}, warm_up=0.25))
    assert not router.admission.is_over_share(router.now, 0)
    router.on_subset(0, frozenset(), 2, FleetShares(tenants={0: 0.1}))
    assert router.admission.is_over_share(router.now, 0) and router.pool.routers == 2


def test_part_of_the_cold_budget_says_how_many_lots_are_drawn(make_harness):
    drawn = []
    for part in (0.05, 0.5):
        harness = make_harness(n_instances=10)
        harness.list_engines(2, 3, mode=ListMode.PARTIAL, started=1)
        harness.router.on_subset(1, frozenset({1, 2, 3}), 10, FleetShares(warm_up=part))
        taken = [harness.arrive(LOOKUP, now=1 + n * 400) for n in range(200)]
        drawn.append(sum(q.permit_engine is not None for q in taken))
    assert drawn[0] * 4 < drawn[1]
