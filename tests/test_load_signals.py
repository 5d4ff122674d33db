"""Observations between routers: merged in any order; what a lying router can move is bounded."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.coordination import codec
from hillchute.coordination.fleet_view import LIMIT_UNITS, FleetSettings, FleetView
from hillchute.coordination.load_signals import (
    FAILURE_BACKOFF,
    MAX_DISTRUSTED_SHARE,
    MAX_REPORT_AGE,
    OWN_PRECEDENCE,
    RECOVERY_SPREAD,
    LoadSignals,
)
from hillchute.coordination.messages import (
    AdmissionCounts,
    Demand,
    Digest,
    DrainNotice,
    EngineFailure,
    LeaseGrant,
    LeaseRequest,
    LoadReport,
    Observations,
    WarmUpWork,
)
from hillchute.coordination.quota_leases import LEASE_DURATION
from hillchute.coordination.report_relay import BURST_BYTES, BYTES_PER_SECOND
from hillchute.coordination.subsetting import all_pairs
from hillchute.errors import InvalidDatagramError

NOW = 10**9
NAMES = [f"n{n:02d}" for n in range(40)]
ENGINES = range(100, 160)


@pytest.fixture
def signals():
    found = LoadSignals(0, lambda witness, engine: witness in "abcdef")
    found.on_endpoint_list(5, range(9))
    return found


observations = st.builds(
    Observations,
    st.lists(
        st.builds(
            LoadReport, st.integers(0, 8), st.integers(0, MAX_REPORT_AGE), st.tuples(st.integers(0, 99))
        )
    ).map(tuple),
    st.lists(st.builds(EngineFailure, st.integers(0, 8), st.integers(0, FAILURE_BACKOFF))).map(tuple),
    st.lists(st.builds(DrainNotice, st.integers(0, 8), st.integers(0, 20))).map(tuple),
    st.just(()),
    st.lists(st.builds(AdmissionCounts, st.integers(0, 2), st.just(9), st.integers(0, 9))).map(tuple),
)
received = st.lists(st.tuples(st.sampled_from("abcdef"), observations), max_size=12)


def merged(messages):
    found = LoadSignals(0, lambda witness, engine: True)
    found.on_endpoint_list(5, range(9))
    for witness, message in messages:
        found.on_observations(NOW, witness, message)
    known = {e: (k.load_reports, k.failures, k.drains) for e, k in found.engines.items()}
    newest = {e: {w: at for w, (at, _) in loads.items()} for e, (loads, _, _) in known.items()}
    rest = {e: (ills, drains) for e, (_, ills, drains) in known.items()}
    return (
        newest,
        rest,
        found.admissions,
        found.closed_engines(),
        found.preferred_engines(NOW, frozenset(range(9))),
    )


@settings(max_examples=60, deadline=None)
@given(received, st.randoms(use_true_random=False))
def test_order_and_repeats_of_observations_do_not_matter(messages, chance):
    again = messages + [message for message in messages if chance.random() < 0.5]
    chance.shuffle(again)
    assert merged(messages) == merged(again)


def test_own_results_take_precedence_over_others_observations(signals):
    signals.on_own_result(NOW, 1, has_report=True)
    newer = Observations((LoadReport(1, 10, (5,)),))
    assert not signals.on_observations(NOW + 20, "a", newer)  # the own report is fresh
    assert signals.on_observations(NOW + OWN_PRECEDENCE, "a", Observations((LoadReport(1, 20, (5,)),)))
    signals.on_observations(NOW, "a", Observations(failures=(EngineFailure(1, 0), EngineFailure(2, 0))))
    assert signals.count_failure_witnesses(NOW, 1) == 0  # it returned a result here just now
    assert signals.count_failure_witnesses(NOW, 2) == 1


def test_only_reports_newer_than_all_before_go_to_the_decision_module(signals):
    fresh = [
        signals.on_observations(NOW, who, Observations((LoadReport(3, age, (5,)),)))
        for who, age in (("a", 100), ("b", 200), ("c", 50), ("c", 50), ("a", MAX_REPORT_AGE + 1))
    ]
    assert [len(loads) for loads in fresh] == [1, 0, 1, 0, 0]


def test_witness_counts_only_for_engines_of_its_subset(signals):
    assert not signals.on_observations(
        NOW, "z", Observations((LoadReport(3, 0, (0,)),), (EngineFailure(3, 0),))
    )
    assert signals.implausible_reports == 1 and not signals.count_failure_witnesses(NOW, 3)


def test_failing_engine_recovers_by_itself_for_one_router_after_another():
    ends = []
    for me in range(50):
        signals = LoadSignals(me, lambda witness, engine: True)
        signals.on_endpoint_list(1, [7])
        signals.on_observations(NOW, "a", Observations(failures=(EngineFailure(7, 0),)))
        ends.append(
            next(
                t
                for t in range(0, FAILURE_BACKOFF + RECOVERY_SPREAD + 100, 100)
                if not signals.count_failure_witnesses(NOW + t, 7)
            )
        )
    assert min(ends) >= FAILURE_BACKOFF and max(ends) <= FAILURE_BACKOFF + RECOVERY_SPREAD
    parts = [
        sum(
            FAILURE_BACKOFF + n * RECOVERY_SPREAD // 5
            <= end
            < FAILURE_BACKOFF + (n + 1) * RECOVERY_SPREAD // 5
            for end in ends
        )
        for n in range(5)
    ]
    assert max(parts) <= 50 // 5 + 3


def test_one_witness_puts_a_drain_last_and_two_close_until_the_list_says(signals):
    subset = frozenset(range(9))
    signals.on_observations(NOW, "a", Observations(drains=(DrainNotice(4, 8),)))
    assert not signals.closed_engines() and 4 not in signals.preferred_engines(NOW, subset)
    signals.on_observations(NOW, "b", Observations(drains=(DrainNotice(4, 8),)))
    assert signals.closed_engines() == {4}
    signals.on_endpoint_list(7, range(9))
    assert signals.closed_engines() == {4}  # the list has not come so far
    signals.on_endpoint_list(8, range(9))
    assert not signals.closed_engines() and signals.preferred_engines(NOW, subset) == subset
    signals.on_observations(NOW, "c", Observations(drains=(DrainNotice(4, 8),)))
    assert not signals.count_drain_witnesses(4)  # the list has reached that event


def test_no_observation_of_others_opens_an_engine(signals):
    for witness in "ab":
        signals.on_observations(NOW, witness, Observations(drains=(DrainNotice(4, 8),)))
    signals.on_own_result(NOW + 1, 4)
    signals.on_observations(
        NOW + 2, "a", Observations((LoadReport(4, 0, (0,)),), drains=(DrainNotice(4, 6),))
    )
    assert signals.closed_engines() == {4}


@pytest.mark.parametrize("liars", [1, 2, 5])
def test_liars_never_close_all(signals, liars):
    all = tuple(range(9))
    lies = Observations(
        (), tuple(EngineFailure(e, 0) for e in all), tuple(DrainNotice(e, 10**6) for e in all)
    )
    for witness in "abcdef"[:liars]:
        signals.on_observations(NOW, witness, lies)
    assert len(signals.closed_engines()) <= (int(9 * MAX_DISTRUSTED_SHARE) if liars > 1 else 0)
    assert len(signals.preferred_engines(NOW, frozenset(all))) >= 9 - int(9 * MAX_DISTRUSTED_SHARE)


def test_drains_of_a_lost_router_are_dropped(signals):
    for witness in "ab":
        signals.on_observations(
            NOW, witness, Observations(drains=(DrainNotice(4, 8),), admissions=(AdmissionCounts(0, 10, 5),))
        )
    assert signals.rejected_share(0) == 0.5
    signals.on_router_lost("b")
    assert not signals.closed_engines() and signals.count_drain_witnesses(4) == 1
    signals.on_router_lost("a")
    assert signals.rejected_share(0) == 0.0


def test_warm_up_work_that_others_sent_is_added_up_over_the_window(signals):
    for at, total in ((0, 100), (5_000, 160), (4_000, 130), (10_000, 190)):
        signals.on_observations(NOW + at, "a", Observations(warm_up_work=(WarmUpWork(2, total),)))
    signals.on_observations(NOW + 9_000, "b", Observations(warm_up_work=(WarmUpWork(2, 50),)))
    signals.on_observations(NOW + 10_000, "b", Observations(warm_up_work=(WarmUpWork(2, 90),)))
    assert signals.recent_warm_up_work(NOW + 10_000, 2, 15_000) == 100 * (90 + 40)
    assert signals.recent_warm_up_work(NOW + 40_000, 2, 15_000) == 0


# ---- digests --------------------------------------------------------------------------------------

whole = st.integers(0, codec.COUNT_BOUND - 1)
digests = st.builds(
    Digest,
    st.integers(0, 2**32 - 1),
    st.lists(
        st.builds(
            LoadReport,
            st.integers(0, 2**32 - 1),
            st.integers(0, codec.AGE_BOUND - 1),
            st.lists(st.integers(-1, 2**31 - 1), max_size=3).map(tuple),
        ),
        max_size=4,
    ).map(tuple),
    st.lists(st.builds(EngineFailure, st.integers(0, 2**32 - 1), st.integers(0, 99)), max_size=3).map(tuple),
    st.lists(st.builds(DrainNotice, whole, whole), max_size=3).map(tuple),
    st.lists(st.builds(WarmUpWork, whole, whole), max_size=3).map(tuple),
    st.lists(st.builds(AdmissionCounts, whole, st.just(7), st.integers(0, 7)), max_size=3).map(tuple),
    st.dictionaries(st.text(min_size=1, max_size=9), st.builds(Demand, whole, whole), max_size=3),
    st.dictionaries(
        st.text(min_size=1, max_size=9),
        st.builds(LeaseRequest, whole, whole, whole, whole, whole),
        max_size=3,
    ),
    st.dictionaries(
        st.text(min_size=1, max_size=9),
        st.builds(LeaseGrant, whole, whole, st.integers(0, LEASE_DURATION)),
        max_size=3,
    ),
)


@settings(max_examples=60, deadline=None)
@given(digests)
def test_digest_is_decoded_as_encoded_and_no_truncation_of_it_is_read(digest):
    data = codec.encode(digest)
    assert codec.decode(data, "a") == digest
    for end in range(1, len(data)):
        with pytest.raises(InvalidDatagramError):
            codec.decode(data[:end], "a")


@pytest.mark.parametrize(
    "field, value",
    [
        ("membership_checksum", 2**32),
        ("membership_checksum", -1),
        ("load_reports", (LoadReport(-1, 0, ()),)),
        ("load_reports", (LoadReport(1, -1, ()),)),
        ("load_reports", (LoadReport(1, 0, (-2,)),)),
        ("load_reports", (LoadReport(1, 0, (0,) * 9),)),
        ("load_reports", (LoadReport(1, 0, ()),) * 65),
        ("failures", (EngineFailure(1, codec.AGE_BOUND),)),
        ("drains", (DrainNotice(1, -1),)),
        ("warm_up_work", (WarmUpWork(1, codec.COUNT_BOUND),)),
        ("admissions", (AdmissionCounts(0, 1, 2),)),
        ("demands", {"": Demand(0, 0)}),
        ("demands", {"x" * 65: Demand(0, 0)}),
        ("lease_requests", {"x": LeaseRequest(1, -5, 0, 0, 0)}),
        ("lease_requests", {f"x{n}": LeaseRequest(1, 0, 0, 0, 0) for n in range(9)}),
        ("lease_grants", {"x": LeaseGrant(1, 1, LEASE_DURATION + 1)}),
    ],
)
def test_field_out_of_bounds_is_dropped_and_never_sent(field, value):
    digest = Digest(**{field: value})
    with pytest.raises(ValueError):
        codec.encode(digest)
    with pytest.raises(InvalidDatagramError) as fault:
        codec.decode(codec.encoder.encode(digest), "a")
    assert fault.value.location == "a"


# ---- one router's view of the fleet ----------------------------------------------------------------


def fleet_view(name, names, columns):
    settings = FleetSettings(name=name, router_names=names, columns=columns, limits=["cold"], seed=1)
    return FleetView(settings, NOW)


def fleet_views(count=40):
    found = [fleet_view(name, NAMES[:count], ["inflight", "util"]) for name in NAMES[:count]]
    for view in found:
        view.on_endpoint_list(NOW, 1, ENGINES, ())
    return found


def test_load_report_goes_to_all_with_its_engine_in_their_subsets_and_to_no_other():
    fleet = fleet_views()
    engine = min(fleet[0].subset)
    fleet[0].on_load_report(NOW, engine, {"inflight": 3, "util": 0.5})
    said = fleet[0].due_digests(NOW + 200, NAMES)
    circle = {f"n{router:02d}" for router, e in all_pairs(ENGINES, 40) if e == engine}
    loads = {to for to, data in said if codec.decode(data, "n00").load_reports}
    assert loads == circle - {"n00"}
    to, data = said[0]
    listener = fleet[NAMES.index(to)]
    listener.on_digest(NOW + 210, "n00", data)
    assert listener.take_relayed_reports() == [(engine, {"inflight": 3.0, "util": 0.5}, 200)]


def test_drain_goes_with_every_ping_until_the_engine_is_back():
    fleet = fleet_views()
    fleet[0].on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
    for teller in fleet[:3]:
        teller.on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
        fleet[9].on_digest(NOW, teller.name, teller.ping_digest(NOW, "n09"))
    state = fleet[9].state(NOW, NAMES, {}, 1)
    assert state.closed == {120} and 120 not in state.subset
    fleet[9].on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
    assert not fleet[9].state(NOW, NAMES, {}, 1).closed  # now the list itself says so


def test_load_reports_keep_to_their_bytes_and_the_oldest_are_dropped():
    view = fleet_views(12)[0]
    sent = 0
    for step in range(100):
        now = NOW + step * 1_000
        for engine in view.subset:
            view.on_load_report(now, engine, {"inflight": step})
        sent += sum(len(data) + 80 for _, data in view.due_digests(now, NAMES))
    assert sent < 2 * (10 * BYTES_PER_SECOND + BURST_BYTES) and view.relay.dropped > 0
    assert len(view.relay.queue) < 60 * 12 * 10


def test_warming_engine_that_got_enough_from_all_gets_no_more_permits():
    fleet = fleet_views()
    engine = min(fleet[0].subset)
    other = next(c for c in fleet[1:] if engine in c.subset)
    tips = {engine: 40_000.0}
    for n in range(10):
        other.on_warm_up_work(NOW + n, engine, 1_000)
        fleet[0].on_warm_up_work(NOW + n, engine, 500)
        fleet[0].on_digest(NOW + n, other.name, other.ping_digest(NOW + n, "n00"))
    assert engine not in fleet[0].state(NOW + 10, NAMES, tips, 15_000).shares.excluded_engines
    for n in range(10):
        fleet[0].on_warm_up_work(NOW + n, engine, 700)
    assert engine in fleet[0].state(NOW + 10, NAMES, tips, 15_000).shares.excluded_engines
    assert engine not in fleet[0].state(NOW + 20_000, NAMES, tips, 15_000).shares.excluded_engines


def test_router_with_other_names_is_believed_but_lends_nothing():
    fleet = fleet_views()
    stranger = fleet_view("n05", NAMES[:20], ["inflight"])
    fleet[0].on_digest(NOW, "n05", stranger.ping_digest(NOW, "n00"))
    assert fleet[0].differing_routers == {"n05"} and not fleet[0].quotas.limits["cold"].demands
    fleet[0].on_digest(NOW, "n05", fleet[5].ping_digest(NOW, "n00"))
    assert not fleet[0].differing_routers


def test_subset_is_computed_anew_when_the_operator_names_other_routers():
    view = fleet_views(20)[0]
    before = view.subset
    view.set_router_names(NOW, NAMES)
    fresh = fleet_views(40)[0]
    assert view.subset == fresh.subset != before and view.serving_routers == fresh.serving_routers
    assert view.signals.list_event == 1 and view.signals.engines.keys() == set(ENGINES)
    signals = view.signals
    view.set_router_names(NOW, reversed(NAMES))  # the same again forgets nothing
    assert view.signals is signals


def test_newcomer_gets_all_that_may_matter_to_it():
    fleet = fleet_views()
    for engine in fleet[0].subset:
        fleet[0].on_load_report(NOW, engine, {"inflight": 3})
    gone = list(ENGINES)[:50]
    fleet[0].on_endpoint_list(NOW, 2, set(ENGINES) - set(gone), gone)
    for engine in fleet[0].subset:
        fleet[0].on_load_report(NOW, engine, {"inflight": 3})
    digests = [codec.decode(data, "n00") for data in fleet[0].newcomer_digests(NOW, "n07")]
    assert {drain.engine for digest in digests for drain in digest.drains} == set(gone)
    seen = {load.engine for digest in digests for load in digest.load_reports}
    assert seen == {e for e, circle in fleet[0].serving_routers.items() if "n07" in circle}


def test_liar_about_loads_reaches_the_engines_of_its_own_subset_alone():
    """Stated: some SUBSET_SIZE of them all, and of those none that this router has looked at within
    OWN_PRECEDENCE."""
    fleet, chance = fleet_views(), random.Random(1)
    liar = fleet[3]
    lies = codec.encode(Digest(liar.membership_checksum, tuple(LoadReport(e, 0, (0, 0)) for e in ENGINES)))
    reached = set()
    for view in fleet[:3] + fleet[4:]:
        own = chance.choice(sorted(view.subset))
        view.on_load_report(NOW, own, {"inflight": 9})
        view.on_digest(NOW + 100, "n03", lies)
        news = {engine for engine, _, _ in view.take_relayed_reports()}
        assert own not in news
        reached |= news
    assert reached <= set(liar.subset) and len(reached) < len(ENGINES) / 2


def test_total_of_a_limit_is_a_million_units():
    fleet = fleet_views()
    parts = [view.state(NOW, NAMES, {}, 1).shares.warm_up for view in fleet]
    assert sum(parts) <= 1 and all(part >= 1 / LIMIT_UNITS for part in parts)
