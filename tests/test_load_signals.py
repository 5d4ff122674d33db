"""Exchange of observations between routers: the merge is independent of order, and the influence of a
malicious router is bounded."""

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
    created = LoadSignals(0, lambda witness, engine: witness in "abcdef")
    created.on_endpoint_list(5, range(9))
    return created


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
    created = LoadSignals(0, lambda witness, engine: True)
    created.on_endpoint_list(5, range(9))
    for witness, message in messages:
        created.on_observations(NOW, witness, message)
    known = {e: (k.load_reports, k.failures, k.drains) for e, k in created.engines.items()}
    newest = {e: {w: at for w, (at, _) in loads.items()} for e, (loads, _, _) in known.items()}
    rest = {e: (failures, drains) for e, (_, failures, drains) in known.items()}
    return (
        newest,
        rest,
        created.admissions,
        created.closed_engines(),
        created.preferred_engines(NOW, frozenset(range(9))),
    )


@settings(max_examples=60, deadline=None)
@given(received, st.randoms(use_true_random=False))
def test_order_and_repeats_of_observations_do_not_matter(messages, rng):
    repeated = messages + [message for message in messages if rng.random() < 0.5]
    rng.shuffle(repeated)
    assert merged(messages) == merged(repeated)


def test_own_results_take_precedence_over_others_observations(signals):
    signals.on_own_result(NOW, 1, has_report=True)
    newer = Observations((LoadReport(1, 10, (5,)),))
    assert not signals.on_observations(NOW + 20, "a", newer)  # the own report is still recent
    assert signals.on_observations(NOW + OWN_PRECEDENCE, "a", Observations((LoadReport(1, 20, (5,)),)))
    signals.on_observations(NOW, "a", Observations(failures=(EngineFailure(1, 0), EngineFailure(2, 0))))
    assert signals.count_failure_witnesses(NOW, 1) == 0  # it has just returned a result to this router
    assert signals.count_failure_witnesses(NOW, 2) == 1


def test_only_the_newest_reports_are_relayed_to_the_scheduler(signals):
    accepted = [
        signals.on_observations(NOW, witness, Observations((LoadReport(3, age, (5,)),)))
        for witness, age in (("a", 100), ("b", 200), ("c", 50), ("c", 50), ("a", MAX_REPORT_AGE + 1))
    ]
    assert [len(loads) for loads in accepted] == [1, 0, 1, 0, 0]


def test_witness_is_accepted_only_for_engines_of_its_subset(signals):
    assert not signals.on_observations(
        NOW, "z", Observations((LoadReport(3, 0, (0,)),), (EngineFailure(3, 0),))
    )
    assert signals.implausible_reports == 1 and not signals.count_failure_witnesses(NOW, 3)


def test_routers_return_to_a_failing_engine_one_after_another():
    ends = []
    for router_number in range(50):
        signals = LoadSignals(router_number, lambda witness, engine: True)
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
    counts = [
        sum(
            FAILURE_BACKOFF + n * RECOVERY_SPREAD // 5
            <= end
            < FAILURE_BACKOFF + (n + 1) * RECOVERY_SPREAD // 5
            for end in ends
        )
        for n in range(5)
    ]
    assert max(counts) <= 50 // 5 + 3


def test_one_drain_witness_makes_an_engine_last_choice_and_two_close_it_until_the_list_does(signals):
    subset = frozenset(range(9))
    signals.on_observations(NOW, "a", Observations(drains=(DrainNotice(4, 8),)))
    assert not signals.closed_engines() and 4 not in signals.preferred_engines(NOW, subset)
    signals.on_observations(NOW, "b", Observations(drains=(DrainNotice(4, 8),)))
    assert signals.closed_engines() == {4}
    signals.on_endpoint_list(7, range(9))
    assert signals.closed_engines() == {4}  # the list has not reached event 8
    signals.on_endpoint_list(8, range(9))
    assert not signals.closed_engines() and signals.preferred_engines(NOW, subset) == subset
    signals.on_observations(NOW, "c", Observations(drains=(DrainNotice(4, 8),)))
    assert not signals.count_drain_witnesses(4)  # the list has reached that event


def test_observations_of_others_never_reopen_an_engine(signals):
    for witness in "ab":
        signals.on_observations(NOW, witness, Observations(drains=(DrainNotice(4, 8),)))
    signals.on_own_result(NOW + 1, 4)
    signals.on_observations(
        NOW + 2, "a", Observations((LoadReport(4, 0, (0,)),), drains=(DrainNotice(4, 6),))
    )
    assert signals.closed_engines() == {4}


@pytest.mark.parametrize("malicious_count", [1, 2, 5])
def test_malicious_routers_never_close_all_engines(signals, malicious_count):
    engines = tuple(range(9))
    false_reports = Observations(
        (), tuple(EngineFailure(e, 0) for e in engines), tuple(DrainNotice(e, 10**6) for e in engines)
    )
    for witness in "abcdef"[:malicious_count]:
        signals.on_observations(NOW, witness, false_reports)
    assert len(signals.closed_engines()) <= (int(9 * MAX_DISTRUSTED_SHARE) if malicious_count > 1 else 0)
    assert len(signals.preferred_engines(NOW, frozenset(engines))) >= 9 - int(9 * MAX_DISTRUSTED_SHARE)


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


def test_warm_up_work_of_others_is_summed_over_the_window(signals):
    for at, total in ((0, 100), (5_000, 160), (4_000, 130), (10_000, 190)):
        signals.on_observations(NOW + at, "a", Observations(warm_up_work=(WarmUpWork(2, total),)))
    signals.on_observations(NOW + 9_000, "b", Observations(warm_up_work=(WarmUpWork(2, 50),)))
    signals.on_observations(NOW + 10_000, "b", Observations(warm_up_work=(WarmUpWork(2, 90),)))
    assert signals.recent_warm_up_work(NOW + 10_000, 2, 15_000) == 100 * (90 + 40)
    assert signals.recent_warm_up_work(NOW + 40_000, 2, 15_000) == 0


# ---- digests --------------------------------------------------------------------------------------

count_values = st.integers(0, codec.COUNT_BOUND - 1)
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
    st.lists(st.builds(DrainNotice, count_values, count_values), max_size=3).map(tuple),
    st.lists(st.builds(WarmUpWork, count_values, count_values), max_size=3).map(tuple),
    st.lists(st.builds(AdmissionCounts, count_values, st.just(7), st.integers(0, 7)), max_size=3).map(tuple),
    st.dictionaries(
        st.text(min_size=1, max_size=9), st.builds(Demand, count_values, count_values), max_size=3
    ),
    st.dictionaries(
        st.text(min_size=1, max_size=9),
        st.builds(LeaseRequest, count_values, count_values, count_values, count_values, count_values),
        max_size=3,
    ),
    st.dictionaries(
        st.text(min_size=1, max_size=9),
        st.builds(LeaseGrant, count_values, count_values, st.integers(0, LEASE_DURATION)),
        max_size=3,
    ),
)


@settings(max_examples=60, deadline=None)
@given(digests)
def test_digest_round_trips_and_truncated_digests_are_rejected(digest):
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
def test_field_out_of_bounds_is_rejected_by_encoder_and_decoder(field, value):
    digest = Digest(**{field: value})
    with pytest.raises(ValueError):
        codec.encode(digest)
    with pytest.raises(InvalidDatagramError) as error:
        codec.decode(codec.encoder.encode(digest), "a")
    assert error.value.location == "a"


# ---- one router's view of the fleet ----------------------------------------------------------------


def fleet_view(name, names, columns):
    settings = FleetSettings(name=name, router_names=names, columns=columns, limits=["cold"], seed=1)
    return FleetView(settings, NOW)


def fleet_views(count=40):
    created = [fleet_view(name, NAMES[:count], ["inflight", "util"]) for name in NAMES[:count]]
    for view in created:
        view.on_endpoint_list(NOW, 1, ENGINES, ())
    return created


def test_load_report_is_sent_exactly_to_routers_with_its_engine_in_their_subsets():
    fleet = fleet_views()
    engine = min(fleet[0].subset)
    fleet[0].on_load_report(NOW, engine, {"inflight": 3, "util": 0.5})
    digests = fleet[0].due_digests(NOW + 200, NAMES)
    serving = {f"n{router:02d}" for router, e in all_pairs(ENGINES, 40) if e == engine}
    recipients = {to for to, data in digests if codec.decode(data, "n00").load_reports}
    assert recipients == serving - {"n00"}
    to, data = digests[0]
    recipient = fleet[NAMES.index(to)]
    recipient.on_digest(NOW + 210, "n00", data)
    assert recipient.take_relayed_reports() == [(engine, {"inflight": 3.0, "util": 0.5}, 200)]


def test_drains_sent_with_pings_close_an_engine_until_the_own_list_contains_them():
    fleet = fleet_views()
    fleet[0].on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
    for sender in fleet[:3]:
        sender.on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
        fleet[9].on_digest(NOW, sender.name, sender.ping_digest(NOW, "n09"))
    state = fleet[9].state(NOW, NAMES, {}, 1)
    assert state.closed == {120} and 120 not in state.subset
    fleet[9].on_endpoint_list(NOW, 2, [e for e in ENGINES if e != 120], [120])
    assert not fleet[9].state(NOW, NAMES, {}, 1).closed  # now the list itself contains the drain


def test_load_reports_stay_within_their_rate_and_the_oldest_are_dropped():
    view = fleet_views(12)[0]
    sent = 0
    for step in range(100):
        now = NOW + step * 1_000
        for engine in view.subset:
            view.on_load_report(now, engine, {"inflight": step})
        sent += sum(len(data) + 80 for _, data in view.due_digests(now, NAMES))
    assert sent < 2 * (10 * BYTES_PER_SECOND + BURST_BYTES) and view.relay.dropped > 0
    assert len(view.relay.queue) < 60 * 12 * 10


def test_warming_engine_with_enough_work_from_all_routers_is_excluded():
    fleet = fleet_views()
    engine = min(fleet[0].subset)
    other = next(c for c in fleet[1:] if engine in c.subset)
    overload_work = {engine: 40_000.0}
    for n in range(10):
        other.on_warm_up_work(NOW + n, engine, 1_000)
        fleet[0].on_warm_up_work(NOW + n, engine, 500)
        fleet[0].on_digest(NOW + n, other.name, other.ping_digest(NOW + n, "n00"))
    assert engine not in fleet[0].state(NOW + 10, NAMES, overload_work, 15_000).shares.excluded_engines
    for n in range(10):
        fleet[0].on_warm_up_work(NOW + n, engine, 700)
    assert engine in fleet[0].state(NOW + 10, NAMES, overload_work, 15_000).shares.excluded_engines
    assert engine not in fleet[0].state(NOW + 20_000, NAMES, overload_work, 15_000).shares.excluded_engines


def test_router_configured_with_other_names_exchanges_no_leases():
    fleet = fleet_views()
    misconfigured = fleet_view("n05", NAMES[:20], ["inflight"])
    fleet[0].on_digest(NOW, "n05", misconfigured.ping_digest(NOW, "n00"))
    assert fleet[0].differing_routers == {"n05"} and not fleet[0].quotas.limits["cold"].demands
    fleet[0].on_digest(NOW, "n05", fleet[5].ping_digest(NOW, "n00"))
    assert not fleet[0].differing_routers


def test_subset_is_recomputed_when_the_router_names_change():
    view = fleet_views(20)[0]
    before = view.subset
    view.set_router_names(NOW, NAMES)
    expected = fleet_views(40)[0]
    assert view.subset == expected.subset != before and view.serving_routers == expected.serving_routers
    assert view.signals.list_event == 1 and view.signals.engines.keys() == set(ENGINES)
    signals = view.signals
    view.set_router_names(NOW, reversed(NAMES))  # unchanged names keep the signals
    assert view.signals is signals


def test_new_router_gets_all_relevant_observations():
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
    assert seen == {e for e, serving in fleet[0].serving_routers.items() if "n07" in serving}


def test_false_load_reports_affect_only_engines_of_the_senders_subset():
    """False reports are accepted at most for the engines of the sender's subset, about SUBSET_SIZE, and for
    none that has reported to the receiving router within OWN_PRECEDENCE."""
    fleet, rng = fleet_views(), random.Random(1)
    malicious = fleet[3]
    false_reports = codec.encode(
        Digest(malicious.membership_checksum, tuple(LoadReport(e, 0, (0, 0)) for e in ENGINES))
    )
    reached = set()
    for view in fleet[:3] + fleet[4:]:
        own = rng.choice(sorted(view.subset))
        view.on_load_report(NOW, own, {"inflight": 9})
        view.on_digest(NOW + 100, "n03", false_reports)
        relayed = {engine for engine, _, _ in view.take_relayed_reports()}
        assert own not in relayed
        reached |= relayed
    assert reached <= set(malicious.subset) and len(reached) < len(ENGINES) / 2


def test_shares_of_a_limit_sum_to_at_most_one():
    fleet = fleet_views()
    shares = [view.state(NOW, NAMES, {}, 1).shares.warm_up for view in fleet]
    assert sum(shares) <= 1 and all(part >= 1 / LIMIT_UNITS for part in shares)
