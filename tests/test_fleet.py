"""The fleet simulation's results, and the decisions of one scheduler among many on simulated engines."""

import sys

import pytest
from conftest import CATALOG, LOOKUP, REPORT
from test_router import PLATFORM_CONFIGURATION

from hillchute.decision.interface import (
    SECOND,
    AttemptResult,
    EndpointEntry,
    EndpointState,
    FleetShares,
    HealthCheck,
    ListMode,
    NewQuery,
    Reason,
    Reject,
    Submit,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.lab import many, plays
from hillchute.lab.many import FleetSimulation
from hillchute.router import config, events
from hillchute.router.effects import OpenConnection
from hillchute.router.reducer import Reducer
from hillchute.settings import Settings
from hillchute.statements import request as statement

FLEET = CATALOG | many.CATALOG | {"n_instances": 200}


@pytest.mark.parametrize("seed, work_factor, restarted", [(1, 1.0, 0.0), (2, 1.5, 0.0), (3, 1.0, 0.7)])
def test_cold_engines_are_used_but_stay_far_from_overload(seed, work_factor, restarted):
    """All routers learn of new engines at once. Estimates are too low, or 70 % of the routers restart."""
    fleet = FleetSimulation(seed, routers=200, engines=10, load=0.6, work_factor=work_factor)
    fleet.run_for(5)
    fleet.replace_engines(6)
    fleet.restart_routers(restarted)
    fleet.run_for(8)
    for engine in fleet.replacement_engines():
        # A fifth of what the engine can do in 8 s at its capacity at the start of the warm-up.
        assert sum(work for _, work in engine.submitted) > 0.2 * 0.31 * 16 * 8 * SECOND
        assert engine.peak_overload_fraction() < 1 / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_fleet_keeps_serving_while_60_percent_of_engines_are_replaced_in_seven_seconds(seed):
    """Without warm-up permits and health checks before submission, 0.34 and 0.40 of the value were served and
    engines held up to 105 queries.
    """
    results = plays.run_and_measure("subset", "replaced", seed, 60, 20, 0.7)
    assert results["served"] > 0.6 * results["late_seeing"] and results["jain"] > 0.95
    assert results["most_held"] < 4 * many.CORES
    assert results["most_of_what_tips"] < 1 / 2 and results["cold_falls"] == 0


@pytest.mark.parametrize("play", ["killed", "cut", "doubled"])
def test_router_restarts_partitions_and_resizing_cost_little_of_the_possible_value(play):
    results = plays.run_and_measure("subset", play, 3, 40, 16, 0.6, 2.5, **{"costs.probe": 0.08})
    assert results["served"] > 0.9 * results["late_seeing"] and results["jain"] > 0.95


@pytest.mark.parametrize("seed", [1, 2])
def test_routers_that_exchange_reports_serve_more_with_fewer_health_checks(seed):
    subset, shared = (
        plays.run_and_measure(form, "replaced", seed, 40, 16, 0.7, **{"costs.probe": 0.0086})
        for form in ("subset", "shared")
    )
    assert shared["served"] > max(0.85 * shared["late_seeing"], subset["served"])
    assert shared["probes_a_query"] < 0.6 * subset["probes_a_query"]
    assert shared["cold_falls"] == 0 and shared["jain"] > 0.95 and 0 < shared["bytes_s"] < 8_000


@pytest.mark.parametrize("play", ["killed", "cut", "doubled"])
def test_shared_fleet_keeps_serving_during_router_restarts_partitions_and_resizing(play):
    results = plays.run_and_measure("shared", play, 3, 24, 10, 0.6)
    assert results["served"] > 0.9 * results["late_seeing"] and results["jain"] > 0.95


def test_expensive_health_checks_are_made_less_often():
    """At a cost of 8 % of the value per query, a fifth of the health checks serves as much, within 0.1."""
    cheap, expensive = (
        plays.run_and_measure("subset", "replaced", 4, 40, 16, 0.6, 2.5, **{"costs.probe": cost})
        for cost in (0.0086, 0.08)
    )
    assert expensive["probes_a_query"] < 0.3 * cheap["probes_a_query"]
    assert expensive["served"] > cheap["served"] - 0.1


# ---- one router of the fleet ----------------------------------------------------------------------


@pytest.fixture
def probing_harness(make_harness):
    return make_harness(
        report__via="probe", limits__probes=True, report__columns=["inflight"], domain__yields_to_loads=False
    )


def checked_engines(decisions):
    return [d.engine for d in decisions if isinstance(d, HealthCheck)]


def test_query_is_submitted_after_a_health_check_of_its_selected_engine(probing_harness):
    q = probing_harness.add_query(LOOKUP)
    decisions = probing_harness.take_decisions()
    assert q.checked_engine in checked_engines(decisions) and not [
        d for d in decisions if isinstance(d, Submit)
    ]
    selected = q.checked_engine
    probing_harness.scheduler.on_health_check(5, selected, AttemptResult.SERVED, {"inflight": 3})
    assert (q.id, selected) in [
        (d.query, d.engine) for d in probing_harness.take_decisions(5) if isinstance(d, Submit)
    ]


def test_overloaded_engine_is_skipped_after_one_health_check(probing_harness):
    q = probing_harness.add_query(LOOKUP)
    probing_harness.take_decisions()
    first = q.checked_engine
    probing_harness.scheduler.on_health_check(5, first, AttemptResult.SERVED, {"inflight": 8 * 2 + 1})
    probing_harness.take_decisions(5)
    assert q.checked_engine not in (None, first) and q.overloaded_checks == 1


def test_engine_without_an_answer_to_the_health_check_is_skipped(probing_harness):
    q = probing_harness.add_query(LOOKUP)
    probing_harness.take_decisions()
    first = q.checked_engine
    assert not [d for d in probing_harness.take_decisions(999) if isinstance(d, Submit)]
    probing_harness.take_decisions(1000)
    assert q.checked_engine not in (None, first)


def test_lookup_is_rejected_when_all_checked_engines_are_full(probing_harness):
    q = probing_harness.add_query(LOOKUP)
    decisions, now = probing_harness.take_decisions(), 0
    while not [d for d in decisions if isinstance(d, Submit | Reject)]:
        now += 10
        probing_harness.scheduler.on_health_check(
            now, q.checked_engine, AttemptResult.SERVED, {"inflight": 60}
        )
        decisions = probing_harness.take_decisions(now)
    assert q.id in [d.query for d in decisions if isinstance(d, Reject)]


def test_engine_with_a_recent_report_needs_no_health_check(probing_harness):
    for e in probing_harness.scheduler.engines.values():
        probing_harness.scheduler.on_health_check(0, e.id, AttemptResult.SERVED, {"inflight": 1})
    q = probing_harness.add_query(LOOKUP, now=100)
    assert [d.query for d in probing_harness.take_decisions(100) if isinstance(d, Submit)] == [q.id]


def test_report_of_an_overloaded_engine_keeps_its_weight_longer(harness):
    overloaded, idle, _ = harness.scheduler.engines.values()
    harness.scheduler.load.mean_load, harness.scheduler.now = 1.0, 2 * SECOND
    overloaded.reported_threads, idle.reported_threads = 8 * 8, 2
    overloaded.reported_at = idle.reported_at = 0
    assert (
        harness.scheduler.load.report_weight(harness.scheduler.now, overloaded) > 0.8
        and harness.scheduler.load.report_weight(harness.scheduler.now, idle) == 0.25
    )


def test_unreachable_engine_does_not_count_as_warming_up(harness):
    harness.add_attempted_query(LOOKUP, engine=1, result=AttemptResult.UNREACHABLE)
    harness.add_attempted_query(LOOKUP, engine=2, sent=1, result=AttemptResult.CONNECTION_REFUSED)
    harness.scheduler.now = 2
    assert [e.is_warming_up(harness.scheduler.now) for e in harness.scheduler.engines.values()] == [
        False,
        True,
        False,
    ]


def calls(work):
    """Returns how many function calls `work` makes, including those of built-in functions."""
    count = 0

    def count_call(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


@pytest.mark.parametrize("group", [LOOKUP, REPORT])
@pytest.mark.parametrize("change", [False, True])
def test_cost_of_a_query_grows_at_most_linearly_with_the_engines(group, change):
    def cost(engines):
        router = QueryScheduler(7, Settings.from_catalog(FLEET | {"domain.group_load": [False] * 4}), 0)
        entries = [EndpointEntry(e, 0, 0, 0, 0, EndpointState.READY, 1.0) for e in range(engines)]
        router.on_endpoint_list(0, ListMode.COMPLETE, entries)

        def query():
            if change:
                changes = [
                    EndpointEntry(engines, 0, 0, 0, 1, EndpointState.READY, 1.0),
                    entries[0]._replace(state=EndpointState.GONE),
                ]
                router.on_endpoint_list(1, ListMode.PARTIAL, changes)
            for n in range(4):  # several queries of one group and table group
                router.on_query(1, NewQuery(f"q{n}", group, 8 * SECOND, cost=100, table_group=3))
            while router.next_decision(1) is not None:
                pass

        return calls(query)

    calls_of_80, calls_of_1024 = cost(80), cost(1024)
    assert calls_of_1024 < 1.2 * calls_of_80 * 1024 / 80


def test_router_in_a_fleet_of_1024_starts_and_serves_with_1024_engines():
    items = [
        {"name": f"s-{n:08x}", "address": f"10.1.{n // 250}.{n % 250 + 1}:6565", "status": "Ready"}
        for n in range(1024)
    ]
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"snapshot": True, "endpoints": items}}]}
    limits = PLATFORM_CONFIGURATION["settings"]["limits"] | {"open_cap": 100}
    kind = PLATFORM_CONFIGURATION["settings"]["classes"][0] | {
        "goal_time_ns": 10**9,
        "deadline_ns": 8 * 10**9,
    }
    settings = PLATFORM_CONFIGURATION["settings"] | {"n_instances": 1024, "limits": limits, "classes": [kind]}
    table = PLATFORM_CONFIGURATION | {"known": known, "settings": settings}
    configuration = config.parse_configuration(table, {})
    reducer = Reducer(
        QueryScheduler(configuration.seed, configuration.settings, 0),
        configuration.settings,
        configuration.max_engine_connections,
    )
    for watch_event in configuration.initial_watch_events:
        reducer.reduce(events.EndpointsChanged(watch_event), 0)
    assert len(reducer.pool.endpoints) == 1024
    group = next(iter(reducer.rules.groups))
    request = statement.Request("a" * 16, group, 8 * SECOND, b"SELECT 1 FROM sales_4.t", idempotency_key="t")
    assert [
        e for e in reducer.reduce(events.QueryReceived(1, request, 1), 1) if isinstance(e, OpenConnection)
    ]


def test_lookup_is_rejected_without_a_health_check_under_known_overload(probing_harness):
    """A health check would take a tenth of a second and only confirm the overload that is already known."""
    probing_harness.add_query(LOOKUP)
    probing_harness.take_decisions()
    probing_harness.scheduler.load.mean_load = 3.1  # threads per core, more than 1.5 times the limit
    q = probing_harness.add_query(LOOKUP, cost=1)
    assert Reject(q.id, 0, Reason.ENGINES_OVERLOADED) in probing_harness.take_decisions()
    assert q.checked_engine is None


# ---- load of the engines that a query may use ------------------------------------------------------


@pytest.fixture
def half_cold(probing_harness):
    """Engine 1 is warm and full, 2 and 3 are cold and empty; all are in the router's subset."""
    probing_harness.list_engines(2, 3, mode=ListMode.PARTIAL, started=10)
    probing_harness.scheduler.on_subset(20, frozenset({1, 2, 3}))
    for engine, in_flight in ((1, 28), (2, 0), (3, 0)):
        probing_harness.scheduler.on_health_check(20, engine, AttemptResult.SERVED, {"inflight": in_flight})
    return probing_harness


def test_query_is_too_heavy_by_the_load_of_the_engines_it_may_use_not_by_the_mean(half_cold):
    scheduler = half_cold.scheduler
    without_permit, with_permit = half_cold.add_query(REPORT, now=20), half_cold.add_query(REPORT, now=20)
    without_permit.permit_engine, with_permit.permit_engine = None, 2
    for q in (without_permit, with_permit):
        q.cost = (
            1.2
            * (q.group.mean_cost * q.group.settings.weight * scheduler.admission.mean_cost_per_weight) ** 0.5
        )
    scheduler.load.mean_load = 1.5  # the mean over all engines would admit both
    assert [scheduler.admission.is_too_heavy(scheduler.now, q) for q in (without_permit, with_permit)] == [
        True,
        False,
    ]


def test_query_with_a_permit_goes_to_its_cold_engine_without_a_health_check(probing_harness):
    probing_harness.list_engines(2, mode=ListMode.PARTIAL, started=10)
    q = probing_harness.add_query(LOOKUP, now=20)
    q.permit_engine = 2
    decisions = probing_harness.take_decisions(20)
    assert (q.id, 2) in [(d.query, d.engine) for d in decisions if isinstance(d, Submit)]
    other = probing_harness.add_query(LOOKUP, now=20)
    other.permit_engine = None
    probing_harness.take_decisions(20)
    assert other.checked_engine in (1, 3)  # a warm engine without a report is checked first


def test_health_checks_go_to_the_engine_of_the_subset_with_the_oldest_report(probing_harness):
    scheduler = probing_harness.scheduler
    scheduler.on_subset(0, frozenset({1, 2}))
    for engine, at in ((1, 9000), (2, 5000), (3, 0)):
        scheduler.on_health_check(at, engine, AttemptResult.SERVED, {"inflight": 0})
    scheduler.health_checks.credit, scheduler.health_checks.next_check = 3, 0
    checked = checked_engines(probing_harness.take_decisions(10_000))
    assert checked == [2]  # 3 is not in the subset, 1 has reported recently
    scheduler.on_load_report(13_500, 2, {"inflight": 0}, age=100)
    scheduler.health_checks.credit, scheduler.health_checks.next_check = 3, 0
    assert checked_engines(probing_harness.take_decisions(14_000)) == [1]


def test_relayed_report_is_used_by_its_age(probing_harness):
    scheduler, e = probing_harness.scheduler, probing_harness.scheduler.engines[1]
    scheduler.on_load_report(5000, 1, {"inflight": 4}, age=1000)
    assert (e.reported_threads, e.reported_at) == (4, 4000)
    scheduler.on_load_report(5000, 1, {"inflight": 9}, age=2000)
    assert e.reported_threads == 4
    scheduler.on_health_check(5000, 1, AttemptResult.SERVED, {"inflight": 2})
    assert (e.reported_threads, e.reported_at) == (2, 5000)
    scheduler.on_load_report(5001, 1, None, age=1)
    assert e.reported_at == 5000 and not e.failures


def test_recent_relayed_report_saves_the_health_check(probing_harness):
    for engine in (1, 2, 3):
        probing_harness.scheduler.on_load_report(100, engine, {"inflight": 1}, age=90)
    probing_harness.scheduler.on_subset(100, frozenset({1, 2, 3}), 2, FleetShares(health_checks=0.0))
    q = probing_harness.add_query(LOOKUP, now=100)
    assert [d.query for d in probing_harness.take_decisions(100) if isinstance(d, Submit)] == [q.id]


def test_granted_shares_of_limits_take_precedence_over_equal_shares(make_harness):
    harness = make_harness(parties__0__fraction=0.5, parties__0__quota_per_s=4, n_instances=4)
    scheduler = harness.scheduler
    for _ in range(3):
        harness.add_query(LOOKUP)
    # Three queries in a second, where the equal share of one router in four is one.
    assert scheduler.admission.is_over_share(scheduler.now, 0)
    scheduler.on_subset(0, frozenset(), 4, FleetShares(tenants={0: 0.9}, warm_up=0.25))
    assert not scheduler.admission.is_over_share(scheduler.now, 0)
    scheduler.on_subset(0, frozenset(), 2, FleetShares(tenants={0: 0.1}))
    assert scheduler.admission.is_over_share(scheduler.now, 0) and scheduler.pool.routers == 2


def test_number_of_warm_up_permits_follows_the_share_of_the_warm_up_budget(make_harness):
    permits = []
    for share in (0.05, 0.5):
        harness = make_harness(n_instances=10)
        harness.list_engines(2, 3, mode=ListMode.PARTIAL, started=1)
        harness.scheduler.on_subset(1, frozenset({1, 2, 3}), 10, FleetShares(warm_up=share))
        taken = [harness.add_query(LOOKUP, now=1 + n * 400) for n in range(200)]
        permits.append(sum(q.permit_engine is not None for q in taken))
    assert permits[0] * 4 < permits[1]
