"""What routers tell each other of engines: merged in any order; what a liar can move is bounded."""

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
from hillchute.errors import DatagramDropped

NOW = 10**9
NAMES = [f"n{n:02d}" for n in range(40)]
ENGINES = range(100, 160)


@pytest.fixture
def signals():
    found = LoadSignals(0, lambda witness, engine: witness in "abcdef")
    found.on_endpoint_list(5, range(9))
    return found


news = st.builds(
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
told = st.lists(st.tuples(st.sampled_from("abcdef"), news), max_size=12)


def merged(words):
    found = LoadSignals(0, lambda witness, engine: True)
    found.on_endpoint_list(5, range(9))
    for witness, said in words:
        found.on_observations(NOW, witness, said)
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
@given(told, st.randoms(use_true_random=False))
def test_order_and_repeats_of_what_is_told_do_not_matter(words, chance):
    again = words + [word for word in words if chance.random() < 0.5]
    chance.shuffle(again)
    assert merged(words) == merged(again)


def test_own_sight_goes_before_hearsay(signals):
    signals.on_own_result(NOW, 1, has_report=True)
    assert not signals.on_observations(
        NOW + 20, "a", Observations((LoadReport(1, 10, (5,)),))
    )  # newer, but ours is fresh
    assert signals.on_observations(NOW + OWN_PRECEDENCE, "a", Observations((LoadReport(1, 20, (5,)),)))
    signals.on_observations(NOW, "a", Observations(failures=(EngineFailure(1, 0), EngineFailure(2, 0))))
    assert (
        signals.count_failure_witnesses(NOW, 1) == 0 and signals.count_failure_witnesses(NOW, 2) == 1
    )  # it ran for us just now


def test_only_news_that_is_newer_than_all_goes_on_to_the_module(signals):
    fresh = [
        signals.on_observations(NOW, who, Observations((LoadReport(3, age, (5,)),)))
        for who, age in (("a", 100), ("b", 200), ("c", 50), ("c", 50), ("a", MAX_REPORT_AGE + 1))
    ]
    assert [len(loads) for loads in fresh] == [1, 0, 1, 0, 0]


def test_witness_is_heard_only_on_engines_that_it_has_in_sight(signals):
    assert not signals.on_observations(
        NOW, "z", Observations((LoadReport(3, 0, (0,)),), (EngineFailure(3, 0),))
    )
    assert signals.implausible_reports == 1 and not signals.count_failure_witnesses(NOW, 3)


def test_ill_engine_comes_back_by_itself_and_for_one_router_after_another():
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
    sight = frozenset(range(9))
    signals.on_observations(NOW, "a", Observations(drains=(DrainNotice(4, 8),)))
    assert not signals.closed_engines() and 4 not in signals.preferred_engines(NOW, sight)
    signals.on_observations(NOW, "b", Observations(drains=(DrainNotice(4, 8),)))
    assert signals.closed_engines() == {4}
    signals.on_endpoint_list(7, range(9))
    assert signals.closed_engines() == {4}  # the list has not come so far
    signals.on_endpoint_list(8, range(9))
    assert not signals.closed_engines() and signals.preferred_engines(NOW, sight) == sight
    signals.on_observations(NOW, "c", Observations(drains=(DrainNotice(4, 8),)))
    assert not signals.count_drain_witnesses(4)  # the list has told of that event


def test_nothing_that_is_told_opens_an_engine(signals):
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


def test_router_that_is_gone_takes_its_word_on_drains_with_it(signals):
    for witness in "ab":
        signals.on_observations(
            NOW, witness, Observations(drains=(DrainNotice(4, 8),), admissions=(AdmissionCounts(0, 10, 5),))
        )
    assert signals.rejected_share(0) == 0.5
    signals.on_router_lost("b")
    assert not signals.closed_engines() and signals.count_drain_witnesses(4) == 1
    signals.on_router_lost("a")
    assert signals.rejected_share(0) == 0.0


def test_cold_work_that_others_sent_is_added_up_over_the_span(signals):
    for at, total in ((0, 100), (5_000, 160), (4_000, 130), (10_000, 190)):
        signals.on_observations(NOW + at, "a", Observations(warm_up_work=(WarmUpWork(2, total),)))
    signals.on_observations(NOW + 9_000, "b", Observations(warm_up_work=(WarmUpWork(2, 50),)))
    signals.on_observations(NOW + 10_000, "b", Observations(warm_up_work=(WarmUpWork(2, 90),)))
    assert signals.recent_warm_up_work(NOW + 10_000, 2, 15_000) == 100 * (90 + 40)
    assert signals.recent_warm_up_work(NOW + 40_000, 2, 15_000) == 0


# ---- parcels --------------------------------------------------------------------------------------

whole = st.integers(0, codec.COUNT_BOUND - 1)
parcels = st.builds(
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
@given(parcels)
def test_parcel_comes_back_as_it_went_and_no_cut_of_it_is_read(parcel):
    data = codec.encode(parcel)
    assert codec.decode(data, "a") == parcel
    for end in range(1, len(data)):
        with pytest.raises(DatagramDropped):
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
    parcel = Digest(**{field: value})
    with pytest.raises(ValueError):
        codec.encode(parcel)
    with pytest.raises(DatagramDropped) as fault:
        codec.decode(codec.encoder.encode(parcel), "a")
    assert fault.value.where == "a"


# ---- a router in company --------------------------------------------------------------------------


def fleet_view(name, names, columns):
    settings = FleetSettings(name=name, router_names=names, columns=columns, limits=["cold"], seed=1)
    return FleetView(settings, NOW)


def companies(count=40, **changed):
    found = [fleet_view(name, NAMES[:count], ["inflight", "util"]) for name in NAMES[:count]]
    for company in found:
        company.on_endpoint_list(NOW, 1, ENGINES, ())
    return found


def test_report_goes_to_all_that_have_its_engine_in_sight_and_to_no_other():
    fleet = companies()
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


def test_drain_is_told_with_every_ping_until_the_engine_is_back():
    fleet = companies()
    fleet[0].on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
    for teller in fleet[:3]:
        teller.on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
        fleet[9].on_digest(NOW, teller.name, teller.ping_digest(NOW, "n09"))
    standing = fleet[9].state(NOW, NAMES, {}, 1)
    assert standing.closed == {120} and 120 not in standing.subset
    fleet[9].on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
    assert not fleet[9].state(NOW, NAMES, {}, 1).closed  # now the list itself says so


def test_loads_keep_to_their_bytes_and_the_oldest_are_dropped():
    company = companies(12)[0]
    sent = 0
    for step in range(100):
        now = NOW + step * 1_000
        for engine in company.subset:
            company.on_load_report(now, engine, {"inflight": step})
        sent += sum(len(data) + 80 for _, data in company.due_digests(now, NAMES))
    assert sent < 2 * (10 * BYTES_PER_SECOND + BURST_BYTES) and company.relay.dropped > 0
    assert len(company.relay.queue) < 60 * 12 * 10


def test_cold_engine_that_got_enough_from_all_is_closed_to_lots():
    fleet = companies()
    engine = min(fleet[0].subset)
    other = next(c for c in fleet[1:] if engine in c.subset)
    tips = {engine: 40_000.0}
    for n in range(10):
        other.on_warm_up_work(NOW + n, engine, 1_000)
        fleet[0].on_warm_up_work(NOW + n, engine, 500)
        fleet[0].on_digest(NOW + n, other.name, other.ping_digest(NOW + n, "n00"))
    assert engine not in fleet[0].state(NOW + 10, NAMES, tips, 15_000).shares
    for n in range(10):
        fleet[0].on_warm_up_work(NOW + n, engine, 700)
    assert fleet[0].state(NOW + 10, NAMES, tips, 15_000).shares[engine] == 0
    assert engine not in fleet[0].state(NOW + 20_000, NAMES, tips, 15_000).shares


def test_router_that_was_named_others_is_heard_but_lends_nothing():
    fleet = companies()
    stranger = fleet_view("n05", NAMES[:20], ["inflight"])
    fleet[0].on_digest(NOW, "n05", stranger.ping_digest(NOW, "n00"))
    assert fleet[0].differing_routers == {"n05"} and not fleet[0].quotas.limits["cold"].demands
    fleet[0].on_digest(NOW, "n05", fleet[5].ping_digest(NOW, "n00"))
    assert not fleet[0].differing_routers


def test_engines_stay_in_sight_when_the_operator_names_other_routers():
    company = companies(20)[0]
    before = company.subset
    company.set_router_names(NOW, NAMES)
    fresh = companies(40)[0]
    assert company.subset == fresh.subset != before and company.serving_routers == fresh.serving_routers
    assert company.signals.list_event == 1 and company.signals.engines.keys() == set(ENGINES)
    signals = company.signals
    company.set_router_names(NOW, reversed(NAMES))  # the same again forgets nothing
    assert company.signals is signals


def test_newcomer_is_told_all_that_may_matter_to_it():
    fleet = companies()
    for engine in fleet[0].subset:
        fleet[0].on_load_report(NOW, engine, {"inflight": 3})
    gone = list(ENGINES)[:50]
    fleet[0].on_endpoint_list(NOW, 2, set(ENGINES) - set(gone), gone)
    for engine in fleet[0].subset:
        fleet[0].on_load_report(NOW, engine, {"inflight": 3})
    told = [codec.decode(data, "n00") for data in fleet[0].newcomer_digests(NOW, "n07")]
    assert {drain.engine for parcel in told for drain in parcel.drains} == set(gone)
    seen = {load.engine for parcel in told for load in parcel.load_reports}
    assert seen == {e for e, circle in fleet[0].serving_routers.items() if "n07" in circle}


def test_liar_about_loads_reaches_the_engines_of_its_own_sight_alone():
    """Stated: some SUBSET_SIZE of them all, and of those none that this router has looked at within
    OWN_PRECEDENCE."""
    fleet, chance = companies(), random.Random(1)
    liar = fleet[3]
    lies = codec.encode(Digest(liar.membership_checksum, tuple(LoadReport(e, 0, (0, 0)) for e in ENGINES)))
    reached = set()
    for company in fleet[:3] + fleet[4:]:
        own = chance.choice(sorted(company.subset))
        company.on_load_report(NOW, own, {"inflight": 9})
        company.on_digest(NOW + 100, "n03", lies)
        news = {engine for engine, _, _ in company.take_relayed_reports()}
        assert own not in news
        reached |= news
    assert reached <= set(liar.subset) and len(reached) < len(ENGINES) / 2


def test_whole_of_a_limit_is_a_million_parts():
    fleet = companies()
    parts = [company.state(NOW, NAMES, {}, 1).shares["cold"] for company in fleet]
    assert sum(parts) <= 1 and all(part >= 1 / LIMIT_UNITS for part in parts)
