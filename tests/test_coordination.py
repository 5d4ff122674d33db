"""Subsetting and jitter: independent decisions of many routers whose sum must stay bounded."""

import random
from collections import Counter

import pytest
from conftest import LOOKUP, REPORT
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.coordination import jitter, subsetting
from hillchute.coordination.subsetting import Subset, all_pairs
from hillchute.decision.interface import (
    SECOND,
    AttemptResult,
    EndpointEntry,
    EndpointState,
    FleetShares,
    HealthCheck,
    ListMode,
    Submit,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery import event_bus
from hillchute.router import events
from hillchute.router.reducer import Reducer
from hillchute.router.retry_delays import RetryDelays
from hillchute.settings import Settings

SIZES = [(1, 1), (3, 8), (7, 3), (60, 20), (200, 80), (50, 300), (230, 1)]
fleets = st.tuples(st.integers(1, 120), st.sets(st.integers(0, 2**32 - 1), min_size=1, max_size=60))


def routers_by_engine(pairs):
    return Counter(engine for _, engine in pairs)


@settings(max_examples=40, deadline=None)
@given(fleets, st.integers(1, 16))
def test_engines_serve_router_counts_that_differ_by_at_most_one(fleet, size):
    routers, engines = fleet
    counts = routers_by_engine(all_pairs(engines, routers, size))
    assert set(counts) <= engines and sum(counts.values()) == routers * min(size, len(engines))
    for engine_set in (engines, {e for e in engines if e % 3 == 0}, {e for e in engines if e % 3 == 1}):
        counts_in_set = [counts[e] for e in engine_set]  # also within one kind or zone
        assert max(counts_in_set, default=0) - min(counts_in_set, default=0) <= 1


@settings(max_examples=40, deadline=None)
@given(fleets, st.integers(0, 2**32 - 1))
def test_adding_or_removing_an_engine_moves_at_most_twice_its_proportion(fleet, other):
    routers, engines = fleet
    engines = engines | {other}
    with_other, without = all_pairs(engines, routers), all_pairs(engines - {other}, routers)
    max_moves = 2 * -(-len(with_other) // len(engines))
    assert len(without - with_other) <= max_moves and len(with_other - without) <= max_moves
    # No router loses a remaining engine because another is removed, or gains one because another is added.
    remaining = {pair for pair in with_other if pair[1] != other}
    assert len(engines) <= subsetting.SUBSET_SIZE or remaining <= without


@settings(max_examples=30, deadline=None)
@given(fleets)
def test_draining_engine_spreads_its_pairs_evenly_over_others(fleet):
    routers, engines = fleet
    if len(engines) <= subsetting.SUBSET_SIZE + 1:
        return
    drained = max(engines)
    gained = all_pairs(engines - {drained}, routers) - all_pairs(engines, routers)
    lost_count = routers_by_engine(all_pairs(engines, routers))[drained]
    each = -(-lost_count // (len(engines) - 1))
    assert len(gained) == lost_count and max(routers_by_engine(gained).values(), default=0) <= each


@pytest.mark.parametrize("routers, count", SIZES)
def test_each_router_computes_its_part_of_the_common_pairs(routers, count):
    engines = [subsetting.mix(n) for n in range(count)]
    all_router_pairs = all_pairs(engines, routers)
    for me in range(0, routers, max(1, routers // 7)):
        assert Subset(me, routers).select(reversed(engines)) == {e for r, e in all_router_pairs if r == me}


def test_adding_a_router_moves_only_its_own_proportion():
    """An added router moves 1/N of all pairs on average, at most 2/N; other routers gain less than 1/N."""
    for routers, count in [(20, 80), (50, 80), (200, 80), (200, 300), (500, 40)]:
        moved, gained = [], []
        for n in range(routers, routers + 12):
            engines = range(1000 * n, 1000 * n + count)
            before, after = all_pairs(engines, n), all_pairs(engines, n + 1)
            moved.append(len(before - after) / len(before))
            gained.append(sum(r < n for r, _ in after - before) / len(before))
        assert max(moved) <= 2 / routers and max(gained) <= 1 / routers
        assert sum(moved) / len(moved) <= 1.2 / routers


def test_no_subset_is_empty_and_few_are_small():
    for routers, count in [(200, 80), (230, 300), (1000, 512)]:
        sizes = Counter(router for router, _ in all_pairs(range(count), routers))
        assert len(sizes) == routers and sum(size < 4 for size in sizes.values()) < routers / 25


def test_few_engines_are_all_in_the_subset_and_numbers_may_count_from_one():
    assert Subset(2, 3).select(range(8)) == set(range(8))
    assert Subset(3, 3).select(range(80)) == Subset(0, 3).select(range(80))
    assert Subset(0, 0).select([]) == frozenset()


def test_changed_list_ranks_only_added_engines(monkeypatch):
    ranked = []
    rank = subsetting.RouterRank
    monkeypatch.setattr(
        subsetting, "RouterRank", lambda engine, me: ranked.append(engine) or rank(engine, me)
    )
    subset = Subset(0, 200)
    subset.select(range(80))
    ranked.clear()
    subset.select(range(3, 83))
    assert sorted(ranked) == [80, 81, 82]
    subset.select(range(3, 83))
    assert len(ranked) == 3 and len(subset.ranks) == 80  # removed engines are dropped


@pytest.mark.parametrize("routers, engine_count", [(1, 5), (3, 30), (40, 200), (200, 80), (230, 800)])
def test_subset_is_independent_of_earlier_endpoint_lists(routers, engine_count):
    rng = random.Random(routers)
    subsets = {me: Subset(me, routers) for me in {0, routers // 2, routers - 1}}
    for _ in range(6):
        engines = rng.sample(range(2 * engine_count), rng.randint(0, engine_count))
        wanted = all_pairs(engines, routers)
        for me, subset in subsets.items():
            assert subset.select(engines) == {engine for router, engine in wanted if router == me}


# ---- jitter -----------------------------------------------------------------------------------------


def most_within(moments, span):
    """The largest number of moments within one span."""
    moments = sorted(moments)
    return max(sum(at <= other < at + span for other in moments) for at in moments)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 400), st.text(max_size=8), st.floats(0.02, 1.0))
def test_routers_spread_by_number_stay_within_the_bound(routers, topic, fraction):
    positions = [jitter.position(router, topic) for router in range(routers)]
    assert most_within(positions, fraction) <= jitter.max_by_number(routers, fraction)


@pytest.mark.parametrize("count_error", [0.5, 1.0, 1.5])
def test_router_count_off_by_half_changes_the_sum_by_as_much(count_error):
    """The target is five of 200 routers in each 100 ms, with a router count that is off by half."""
    span = jitter.window_length(int(200 * count_error), 5, 1000)
    moments = [jitter.delay_by_number(router, "engine 7", span) for router in range(200)]
    assert most_within(moments, 1000) <= jitter.max_by_number(200, 1000 / span)
    assert jitter.max_by_number(200, 1000 / span) <= 5 / count_error + jitter.GOLDEN_RATIO_EXCESS + 1


def test_router_that_restarts_keeps_its_position_and_no_router_is_always_first():
    assert jitter.delay_by_number(17, "list 5", 10_000) == jitter.delay_by_number(17, "list 5", 10_000)
    first = {min(range(200), key=lambda router: jitter.position(router, topic)) for topic in range(50)}
    assert len(first) > 30


@pytest.mark.parametrize("seed", range(20))
def test_random_moments_exceed_their_bound_no_more_often_than_stated(seed):
    rng, odds = random.Random(seed), 1e-3
    most = jitter.max_by_chance(200, 0.05, odds)
    counts = [sum(rng.random() < 0.05 for _ in range(200)) for _ in range(300)]
    # 0.3 on average; more than 3 about once in some thousand seeds
    assert sum(count > most for count in counts) <= 3
    assert most < 200 * 0.05 * 3


def test_jittered_waits_are_spread_around_the_unchanged_mean():
    waits = [jitter.randomized(1000, n / 100) for n in range(100)]
    assert min(waits) == 500 and max(waits) < 1500 and abs(sum(waits) / 100 - 1000) < 10


# ---- use in the router ----------------------------------------------------------------------------


def test_routers_reconnect_to_the_event_bus_at_different_moments():
    def waits(seed):
        delays = RetryDelays(seed)
        return [delays.next_delay(0.25) for _ in range(4)]

    fleet = [waits(seed) for seed in range(200)]
    for delays_of_attempt in zip(*fleet):
        assert min(delays_of_attempt) >= 0.125 and max(delays_of_attempt) < 0.375
        assert most_within(delays_of_attempt, 0.0125) <= jitter.max_by_chance(200, 0.05, 1e-6)
    assert waits(5) == waits(5)


def test_scheduler_gets_relayed_reports_before_the_fleet_state():
    reducer = Reducer(QueryScheduler(1, Settings.from_catalog({}), 0), Settings.from_catalog({}), 100)
    calls = []
    reducer.scheduler.on_load_report = lambda *report: calls.append(report)
    reducer.scheduler.on_fleet_changed = lambda now: calls.append(now)
    reducer.scheduler.next_decision = lambda now: calls.append("decision")
    reports = [(3, {"inflight": 2.0}, 5), (4, {"inflight": 1.0}, 0)]
    reducer.reduce(events.PeersChanged(reports), 70)
    assert calls == [*((70, *report) for report in reports), 70, "decision"]


def test_scheduler_without_peers_ignores_fleet_changes():
    scheduler = QueryScheduler(1, Settings.from_catalog({"n_instances": 3}), 0)
    scheduler.on_subset(0, frozenset({1}), 2, FleetShares(warm_up=0.5))
    scheduler.on_fleet_changed(10)
    assert (scheduler.pool.subset, scheduler.pool.routers) == ({1}, 2)
    assert scheduler.pool.shares == FleetShares(warm_up=0.5)


def test_subset_follows_the_endpoint_list_that_the_router_receives():
    endpoints = [
        event_bus.Endpoint(EndpointEntry(n, 0, 0, 0, 0, EndpointState.READY, 1.0), "10.0.0.1", 1)
        for n in range(80)
    ]
    settings = Settings.from_catalog({"n_instances": 200, "me": 7})
    reducer = Reducer(QueryScheduler(1, settings, 0), settings, 100)
    reducer.reduce(events.EndpointsChanged(event_bus.WatchEvent(1, "Complete", tuple(endpoints))), 0)
    assert reducer.scheduler.pool.subset == Subset(7, 200).select(range(80)) != frozenset()
    gone = min(reducer.scheduler.pool.subset)
    entry = endpoints[gone].entry._replace(state=EndpointState.DRAINING)
    change = event_bus.WatchEvent(2, "Partial", (endpoints[gone]._replace(entry=entry),))
    reducer.reduce(events.EndpointsChanged(change), 0)
    assert reducer.scheduler.pool.subset == Subset(7, 200).select(n for n in range(80) if n != gone)


# ---- use in the scheduler ---------------------------------------------------------------------------


@pytest.fixture
def checking_harness(make_harness):
    return make_harness(report__via="probe", limits__probes=True, domain__yields_to_loads=False)


def draw_engine(harness, group=REPORT, **fields):
    q = harness.add_query(group, **fields)
    harness.take_decisions()
    return q.checked_engine or (q.attempts and q.attempts[-1].engine)


def test_engines_of_the_subset_are_drawn_first(checking_harness):
    checking_harness.scheduler.on_subset(0, frozenset({2}))
    assert {draw_engine(checking_harness, LOOKUP) for _ in range(12)} == {2}


@pytest.mark.parametrize("state", ["overloaded", "ejected", "gone", "warming"])
def test_other_engines_are_used_if_none_of_the_subset_can_take_the_query(checking_harness, state):
    scheduler = checking_harness.scheduler
    scheduler.on_subset(0, frozenset({2}))
    e = scheduler.engines[2]
    if state == "overloaded":
        # The load is above LIGHT_LOAD and below the load at which heavy queries are rejected.
        scheduler.on_health_check(0, 2, AttemptResult.SERVED, {"inflight": 8 * 2})
        scheduler.load.mean_load = 1.0
    elif state == "ejected":
        e.ejected_until = 10 * SECOND
    elif state == "gone":
        checking_harness.list_engines(2, mode=ListMode.PARTIAL, state=EndpointState.GONE)
    else:
        e.started = 1
    assert draw_engine(checking_harness, cost=5 * SECOND) in (1, 3)  # too heavy for a warm-up permit


def test_affinity_to_an_engine_outside_the_subset_is_kept(checking_harness):
    checking_harness.scheduler.on_subset(0, frozenset({2}))
    checking_harness.scheduler.placement.affinity[4] = 3
    assert draw_engine(checking_harness, table_group=4) == 3


def test_query_triggers_a_health_check_if_that_is_cheap_for_its_value(make_harness):
    for price, group, checks in [(0.0086, LOOKUP, 1), (0.08, LOOKUP, 0), (0.08, REPORT, 1)]:
        harness = make_harness(report__via="probe", limits__probes=True, costs__probe=price)
        harness.scheduler.admission.mean_weight, harness.scheduler.health_checks.credit = 1.7, -9
        harness.add_query(group, cost=1)
        decisions = harness.take_decisions()
        assert len([d for d in decisions if isinstance(d, HealthCheck)]) == checks
        assert len([d for d in decisions if isinstance(d, Submit)]) == 1 - checks


@pytest.mark.parametrize("price, expected_checks", [(0.0086, 60), (0.08, 8), (0.0, 60)])
def test_paced_health_checks_are_limited_by_their_cost(make_harness, price, expected_checks):
    harness = make_harness(report__via="probe", limits__probes=True, costs__probe=price)
    count = 0
    for n in range(60):
        harness.scheduler.now = n * SECOND
        for e in harness.scheduler.engines.values():
            # Too recent for a health check by a query, old enough for a paced one.
            e.reported_at = n * SECOND - 4500
        harness.add_query(LOOKUP, now=n * SECOND, cost=1, deadline=(n + 7) * SECOND)
        count += len([d for d in harness.take_decisions(n * SECOND) if isinstance(d, HealthCheck)])
    assert expected_checks - 5 <= count <= expected_checks + 5
