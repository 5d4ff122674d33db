"""Decisions of many routers that add up: subsets of engines, jitter."""

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
    EndpointState,
    FleetShares,
    HealthCheck,
    Listing,
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


def served(found):
    return Counter(engine for _, engine in found)


@settings(max_examples=40, deadline=None)
@given(fleets, st.integers(1, 16))
def test_routers_that_engines_serve_differ_by_one_at_the_most(fleet, size):
    routers, engines = fleet
    counts = served(all_pairs(engines, routers, size))
    assert set(counts) <= engines and sum(counts.values()) == routers * min(size, len(engines))
    for some in (engines, {e for e in engines if e % 3 == 0}, {e for e in engines if e % 3 == 1}):
        widths = [counts[e] for e in some]  # of one kind or zone as well
        assert max(widths, default=0) - min(widths, default=0) <= 1


@settings(max_examples=40, deadline=None)
@given(fleets, st.integers(0, 2**32 - 1))
def test_engine_that_goes_or_comes_moves_two_parts_of_all_at_the_most(fleet, other):
    routers, engines = fleet
    engines = engines | {other}
    all_of_them, without = all_pairs(engines, routers), all_pairs(engines - {other}, routers)
    most = 2 * -(-len(all_of_them) // len(engines))
    assert len(without - all_of_them) <= most and len(all_of_them - without) <= most
    # Nobody loses an engine that stays because another goes, nor gains one because another comes.
    left = {pair for pair in all_of_them if pair[1] != other}
    assert len(engines) <= subsetting.SUBSET_SIZE or left <= without


@settings(max_examples=30, deadline=None)
@given(fleets)
def test_engine_that_drains_gives_its_pairs_to_as_many_others_as_it_had(fleet):
    routers, engines = fleet
    if len(engines) <= subsetting.SUBSET_SIZE + 1:
        return
    one = max(engines)
    gained = all_pairs(engines - {one}, routers) - all_pairs(engines, routers)
    had = served(all_pairs(engines, routers))[one]
    each = -(-had // (len(engines) - 1))
    assert len(gained) == had and max(served(gained).values(), default=0) <= each


@pytest.mark.parametrize("routers, count", SIZES)
def test_router_computes_its_own_subset_alone(routers, count):
    engines = [subsetting.mix(n) for n in range(count)]
    every = all_pairs(engines, routers)
    for me in range(0, routers, max(1, routers // 7)):
        assert Subset(me, routers).select(reversed(engines)) == {e for r, e in every if r == me}


def test_router_that_comes_moves_its_own_part_and_no_more():
    """In the mean one part in N; over two it was in none of these, and what others gain is under one."""
    for routers, count in [(20, 80), (50, 80), (200, 80), (200, 300), (500, 40)]:
        moved, gained = [], []
        for n in range(routers, routers + 12):
            engines = range(1000 * n, 1000 * n + count)
            before, after = all_pairs(engines, n), all_pairs(engines, n + 1)
            moved.append(len(before - after) / len(before))
            gained.append(sum(r < n for r, _ in after - before) / len(before))
        assert max(moved) <= 2 / routers and max(gained) <= 1 / routers
        assert sum(moved) / len(moved) <= 1.2 / routers


def test_no_router_is_left_with_nothing_and_few_with_little():
    for routers, count in [(200, 80), (230, 300), (1000, 512)]:
        sizes = Counter(router for router, _ in all_pairs(range(count), routers))
        assert len(sizes) == routers and sum(size < 4 for size in sizes.values()) < routers / 25


def test_few_engines_are_all_in_the_subset_and_numbers_from_one_do_no_harm():
    assert Subset(2, 3).select(range(8)) == set(range(8))
    assert Subset(3, 3).select(range(80)) == Subset(0, 3).select(range(80))
    assert Subset(0, 0).select([]) == frozenset()


def test_list_that_changes_costs_no_more_than_the_engines_that_are_new(monkeypatch):
    asked = []
    rank = subsetting.RouterRank
    monkeypatch.setattr(subsetting, "RouterRank", lambda engine, me: asked.append(engine) or rank(engine, me))
    subset = Subset(0, 200)
    subset.select(range(80))
    asked.clear()
    subset.select(range(3, 83))
    assert sorted(asked) == [80, 81, 82]
    subset.select(range(3, 83))
    assert len(asked) == 3 and len(subset.ranks) == 80  # those that are gone are forgotten


@pytest.mark.parametrize("routers, many", [(1, 5), (3, 30), (40, 200), (200, 80), (230, 800)])
def test_subset_is_independent_of_earlier_endpoint_lists(routers, many):
    chance = random.Random(routers)
    subsets = {me: Subset(me, routers) for me in {0, routers // 2, routers - 1}}
    for _ in range(6):
        engines = chance.sample(range(2 * many), chance.randint(0, many))
        wanted = all_pairs(engines, routers)
        for me, subset in subsets.items():
            assert subset.select(engines) == {engine for router, engine in wanted if router == me}


# ---- jitter -----------------------------------------------------------------------------------------


def most_within(moments, span):
    """The largest number of these that lie within one span."""
    moments = sorted(moments)
    return max(sum(at <= other < at + span for other in moments) for at in moments)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 400), st.text(max_size=8), st.floats(0.02, 1.0))
def test_routers_that_learn_at_one_instant_act_within_the_stated_bound(routers, thing, part):
    places = [jitter.position(router, thing) for router in range(routers)]
    assert most_within(places, part) <= jitter.max_by_number(routers, part)


@pytest.mark.parametrize("wrong", [0.5, 1.0, 1.5])
def test_count_that_is_wrong_by_half_makes_the_sum_as_much_larger_or_smaller(wrong):
    """Five routers in each 100 ms are wished for, of 200; the count tells half, or half as much again."""
    span = jitter.window_length(int(200 * wrong), 5, 1000)
    moments = [jitter.delay_by_number(router, "engine 7", span) for router in range(200)]
    assert most_within(moments, 1000) <= jitter.max_by_number(200, 1000 / span)
    assert jitter.max_by_number(200, 1000 / span) <= 5 / wrong + jitter.GOLDEN_RATIO_EXCESS + 1


def test_router_that_restarts_keeps_its_position_and_no_router_is_always_first():
    assert jitter.delay_by_number(17, "list 5", 10_000) == jitter.delay_by_number(17, "list 5", 10_000)
    first = {min(range(200), key=lambda router: jitter.position(router, thing)) for thing in range(50)}
    assert len(first) > 30


@pytest.mark.parametrize("seed", range(20))
def test_moments_by_chance_pass_their_bound_no_more_often_than_stated(seed):
    chance, odds = random.Random(seed), 1e-3
    most = jitter.max_by_chance(200, 0.05, odds)
    counts = [sum(chance.random() < 0.05 for _ in range(200)) for _ in range(300)]
    assert sum(count > most for count in counts) <= 3  # 0.3 in the mean; over 3 once in some thousand seeds
    assert most < 200 * 0.05 * 3


def test_waits_that_began_together_end_apart_and_in_the_mean_alike():
    waits = [jitter.randomized(1000, n / 100) for n in range(100)]
    assert min(waits) == 500 and max(waits) < 1500 and abs(sum(waits) / 100 - 1000) < 10


# ---- their use in the router ----------------------------------------------------------------------


def test_router_of_many_comes_back_to_the_event_bus_at_moments_of_its_own():
    def waits(seed):
        delays = RetryDelays(seed)
        return [delays.next_delay(0.25) for _ in range(4)]

    fleet = [waits(seed) for seed in range(200)]
    for one_try in zip(*fleet):
        assert min(one_try) >= 0.125 and max(one_try) < 0.375
        assert most_within(one_try, 0.0125) <= jitter.max_by_chance(200, 0.05, 1e-6)
    assert waits(5) == waits(5)


def test_scheduler_gets_reports_of_other_routers_before_it_reads_the_fleets_state():
    reducer = Reducer(QueryScheduler(1, Settings.from_catalog({}), 0), Settings.from_catalog({}), 100)
    calls = []
    reducer.scheduler.on_load_report = lambda *report: calls.append(report)
    reducer.scheduler.on_fleet_changed = lambda now: calls.append(now)
    reducer.scheduler.next_decision = lambda now: calls.append("decision")
    reports = [(3, {"inflight": 2.0}, 5), (4, {"inflight": 1.0}, 0)]
    reducer.reduce(events.PeersChanged(reports), 70)
    assert calls == [*((70, *report) for report in reports), 70, "decision"]


def test_scheduler_without_peers_ignores_that_the_fleet_has_changed():
    scheduler = QueryScheduler(1, Settings.from_catalog({"n_instances": 3}), 0)
    scheduler.on_subset(0, frozenset({1}), 2, FleetShares(warm_up=0.5))
    scheduler.on_fleet_changed(10)
    assert (scheduler.pool.subset, scheduler.pool.routers) == ({1}, 2)
    assert scheduler.pool.shares == FleetShares(warm_up=0.5)


def test_subset_follows_the_endpoint_list_that_the_router_receives():
    entries = [
        event_bus.Endpoint(Listing(n, 0, 0, 0, 0, EndpointState.READY, 1.0), "10.0.0.1", 1) for n in range(80)
    ]
    settings = Settings.from_catalog({"n_instances": 200, "me": 7})
    reducer = Reducer(QueryScheduler(1, settings, 0), settings, 100)
    reducer.reduce(events.EndpointsChanged(event_bus.WatchEvent(1, "Complete", tuple(entries))), 0)
    assert reducer.scheduler.pool.subset == Subset(7, 200).select(range(80)) != frozenset()
    gone = min(reducer.scheduler.pool.subset)
    listing = entries[gone].listing._replace(state=EndpointState.DRAINING)
    change = event_bus.WatchEvent(2, "Partial", (entries[gone]._replace(listing=listing),))
    reducer.reduce(events.EndpointsChanged(change), 0)
    assert reducer.scheduler.pool.subset == Subset(7, 200).select(n for n in range(80) if n != gone)


# ---- their use in the module ------------------------------------------------------------------------


@pytest.fixture
def sighted(make_harness):
    return make_harness(report__via="probe", limits__probes=True, domain__yields_to_loads=False)


def drawn(harness, group=REPORT, **known):
    q = harness.arrive(group, **known)
    harness.decisions()
    return q.checked_engine or (q.attempts and q.attempts[-1].engine)


def test_engines_in_sight_are_drawn_first(sighted):
    sighted.router.on_subset(0, frozenset({2}))
    assert {drawn(sighted, LOOKUP) for _ in range(12)} == {2}


@pytest.mark.parametrize("state", ["crowded", "resting", "gone", "cold"])
def test_sight_is_left_when_none_of_it_may_take_the_query(sighted, state):
    router = sighted.router
    router.on_subset(0, frozenset({2}))
    e = router.engines[2]
    if state == "crowded":
        router.on_health_check(
            0, 2, AttemptResult.SERVED, {"inflight": 8 * 2}
        )  # past the knee, short of what keeps heavy queries out
        router.load.mean_load = 1.0
    elif state == "resting":
        e.ejected_until = 10 * SECOND
    elif state == "gone":
        sighted.list_engines(2, mode=ListMode.PARTIAL, state=EndpointState.GONE)
    else:
        e.started = 1
    assert drawn(sighted, cost=5 * SECOND) in (1, 3)  # too heavy for a lot


def test_home_of_a_table_group_stays_home_outside_the_sight(sighted):
    sighted.router.on_subset(0, frozenset({2}))
    sighted.router.placement.affinity[4] = 3
    assert drawn(sighted, table_group=4) == 3


def test_query_looks_where_the_price_is_small_beside_its_own_value(make_harness):
    for price, group, looks in [(0.0086, LOOKUP, 1), (0.08, LOOKUP, 0), (0.08, REPORT, 1)]:
        harness = make_harness(report__via="probe", limits__probes=True, costs__probe=price)
        harness.router.admission.mean_weight, harness.router.health_checks.credit = 1.7, -9
        harness.arrive(group, cost=1)
        said = harness.decisions()
        assert len([d for d in said if isinstance(d, HealthCheck)]) == looks
        assert len([d for d in said if isinstance(d, Submit)]) == 1 - looks


@pytest.mark.parametrize("price, most", [(0.0086, 60), (0.08, 8), (0.0, 60)])
def test_probes_beside_the_looks_are_paced_by_their_price(make_harness, price, most):
    harness = make_harness(report__via="probe", limits__probes=True, costs__probe=price)
    count = 0
    for n in range(60):
        harness.router.now = n * SECOND
        for e in harness.router.engines.values():
            e.reported_at = n * SECOND - 4500  # too late for a look, time for a probe
        harness.arrive(LOOKUP, now=n * SECOND, cost=1, deadline=(n + 7) * SECOND)
        count += len([d for d in harness.decisions(n * SECOND) if isinstance(d, HealthCheck)])
    assert most - 5 <= count <= most + 5
