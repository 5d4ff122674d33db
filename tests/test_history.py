"""The answer history: retention policies, placement of records, and no query run twice under faults."""

import random

import msgspec
import pytest
from cpu_limit import cpu_limit
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidDatagramError
from hillchute.history import codec, messages
from hillchute.history.claim_decision import ClaimDecision, ClaimFacts, decide
from hillchute.history.codec import BOUNDS
from hillchute.history.own_claims import KeyedQuery
from hillchute.history.record_store import ATTEMPT_TICK, RecordStore
from hillchute.history.records import COMPLETION_GRACE, Record, RecordState, RetainedRecord
from hillchute.history.replica import Replica
from hillchute.history.replica_context import Membership
from hillchute.history.retention import (
    MS,
    ErasureRequest,
    RetentionPolicies,
    RetentionPolicy,
    first_invalid_field,
)
from hillchute.history.slot_placement import SLOTS, holders, slot_of
from hillchute.history.view_protocol import (
    MAX_ATTEMPTS,
    MAX_NUMBER_AHEAD,
    SETTLE_TIME,
    ProposerAction,
    ViewProtocol,
)
from hillchute.history.views import (
    HEARTBEAT_INTERVAL,
    MAX_CLOCK_DRIFT,
    NO_VIEW,
    VIEW_LEASE,
    View,
    ViewId,
    majority_of,
)
from hillchute.lab.history_net import EPOCH, SECOND, HistoryNet, initial_policies, run_random_faults

POLICY = RetentionPolicy(rows=True, least_ms=20_000, most_ms=60_000)


def record(
    token="t",
    state=RecordState.SERVED,
    attempt=1,
    granted_at=EPOCH,
    key="k",
    customer="",
    rows=b"rows",
    **run,
):
    run = {"router": "n0", "incarnation": 1, "claim_number": 1, "timeout": SECOND} | run
    return Record(customer, key, token, granted_at, 1, attempt, state=state, rows=rows, **run)


# ---- retention policies ----


def test_hold_overrides_erasure_requests_and_age_but_old_records_are_not_replayed():
    requests = (ErasureRequest(EPOCH + 1),)
    policies = RetentionPolicies(default=POLICY, erasure_requests=requests)
    with_hold = RetentionPolicies(
        default=msgspec.structs.replace(POLICY, hold=True), erasure_requests=requests
    )
    assert policies.must_be_erased("", "k", EPOCH, 0) and not with_hold.must_be_erased("", "k", EPOCH, 0)
    assert not policies.must_be_erased("", "k", EPOCH + 1, 0)
    old = POLICY.most_ms * MS + 1
    assert policies.must_be_erased("", "k", EPOCH + 1, old) and not with_hold.must_be_erased(
        "", "k", EPOCH + 1, old
    )
    assert not with_hold.may_replay("", "k", EPOCH + 1, old)
    assert with_hold.may_replay("", "k", EPOCH, 0)  # the erasure request takes effect when the hold ends


def test_erasure_request_covers_a_customer_or_one_of_its_keys():
    policies = RetentionPolicies(
        erasure_requests=(ErasureRequest(EPOCH, "a"), ErasureRequest(EPOCH, "b", "k"))
    )
    covered = [
        policies.is_erasure_requested(c, k, EPOCH - 1)
        for c, k in (("a", "x"), ("b", "k"), ("b", "x"), ("", "k"))
    ]
    assert covered == [True, True, False, False]


@pytest.mark.parametrize(
    ("policies", "field"),
    [
        (RetentionPolicies(default=RetentionPolicy(least_ms=10_000, most_ms=5_000)), "default.least_ms"),
        (RetentionPolicies(customers={"a": RetentionPolicy(lost="perhaps")}), "a.lost"),
        (RetentionPolicies(copies=9), "copies"),
        (RetentionPolicies(erase_ms=1), "erase_ms"),
        (RetentionPolicies(erasure_requests=(ErasureRequest(-1),)), "forget"),
        (RetentionPolicies(number=-1), "number"),
    ],
)
def test_invalid_policies_name_the_first_invalid_field(policies, field):
    assert first_invalid_field(policies) == field
    assert first_invalid_field(RetentionPolicies()) == ""


def decision_on(
    known=None, earlier=None, time_since_loss=None, live=True, repeated=False, capacity=True, age=0, **policy
):
    policies = RetentionPolicies(default=RetentionPolicy(rows=True, **policy))
    known = known and RetainedRecord(known, EPOCH - age)
    facts = ClaimFacts(
        customer="",
        known=known,
        earlier_running=earlier,
        time_since_loss=time_since_loss,
        is_router_live=live,
        is_repeated=repeated,
    )
    return decide(policies, facts, EPOCH, lambda: capacity).decision


def test_decision_for_each_set_of_known_facts():
    running = record(state=RecordState.RUNNING, rows=None)
    assert decision_on() is ClaimDecision.RUN
    assert decision_on(record()) is ClaimDecision.REPLAY
    assert decision_on(record(), replay=False) is ClaimDecision.FAIL
    assert decision_on(record(rows=None)) is ClaimDecision.FAIL
    assert decision_on(record(state=RecordState.FAILED)) is ClaimDecision.FAIL
    assert decision_on(record(state=RecordState.NOT_RUN)) is ClaimDecision.RUN
    # A query that is known to have run is not run again.
    assert decision_on(record(), age=3_600_001 * MS) is ClaimDecision.FAIL
    assert decision_on(running) is ClaimDecision.WAIT
    assert decision_on(running, repeated=True) is ClaimDecision.RUN
    assert decision_on(running, live=False) is ClaimDecision.REJECT
    for live in (True, False):
        assert (
            decision_on(running, live=live, age=running.timeout + COMPLETION_GRACE + 1) is ClaimDecision.FAIL
        )
    assert decision_on(earlier=RetainedRecord(running, EPOCH)) is ClaimDecision.WAIT
    assert decision_on(capacity=False) is ClaimDecision.REJECT
    assert decision_on(time_since_loss=0) is ClaimDecision.REJECT
    assert decision_on(time_since_loss=0, lost="run") is ClaimDecision.RUN
    assert decision_on(time_since_loss=600_000 * MS) is ClaimDecision.RUN
    assert decision_on(record(), time_since_loss=0) is ClaimDecision.REPLAY


# ---- the records of one holder ----

versions = st.builds(
    record,
    token=st.sampled_from("ab"),
    state=st.sampled_from((RecordState.RUNNING, RecordState.NOT_RUN, RecordState.SERVED, RecordState.FAILED)),
    attempt=st.integers(1, 3),
    rows=st.just(None),
)


@settings(deadline=None)
@given(st.lists(versions, max_size=12), st.randoms(use_true_random=False))
def test_versions_converge_whatever_their_order_and_repetition(records, rng):
    stores = RecordStore(), RecordStore()
    reordered = records + records[:3]
    rng.shuffle(reordered)
    with cpu_limit():
        for store, arriving in zip(stores, (records, reordered), strict=True):
            for version in arriving:
                store.put(version, EPOCH, 0, RetentionPolicies())
    first, second = ({r.record.idempotency_key: r.record for r in store.all_records()} for store in stores)
    assert first == second
    assert stores[0].size_bytes == sum(r.size for r in first.values())
    assert stores[0].count_by_customer.total() == len(first)


def test_late_copy_does_not_restore_an_erased_record():
    store, policies = (
        RecordStore(),
        RetentionPolicies(default=POLICY, erasure_requests=(ErasureRequest(EPOCH + 1),)),
    )
    assert store.put(record(), EPOCH, 0, RetentionPolicies(default=POLICY))
    assert store.erase_due(EPOCH, policies) == 1
    assert not store.put(record(), EPOCH, 0, policies)
    assert not list(store.all_records())


def later_run(store, now, **fields):
    """Returns the record of a new run of the key whose record is not known."""
    attempt = store.next_attempt(None, now)
    run = {"router": "n1", "claim_number": 7, "state": RecordState.RUNNING, "rows": None} | fields
    return record(attempt=attempt, granted_at=now, **run)


@pytest.mark.parametrize("clock_lag", [0, 3_600 * SECOND], ids=["clocks agree", "an hour behind"])
def test_repeated_report_of_an_erased_run_does_not_remove_the_record_of_a_later_run(clock_lag):
    """Guards against a run that starts beside another of its key, whose record an old report has removed."""
    store, policies = (
        RecordStore(),
        RetentionPolicies(default=POLICY, erasure_requests=(ErasureRequest(EPOCH + 1),)),
    )
    attempt = EPOCH // ATTEMPT_TICK
    store.put(record(attempt=attempt, state=RecordState.RUNNING, rows=None), EPOCH, 0, policies)
    assert not store.put(record(attempt=attempt), EPOCH, 0, policies)
    if clock_lag:  # the slot is now at a router that has not seen the erased run
        store = RecordStore()
    later = later_run(store, EPOCH + SECOND - clock_lag)
    assert store.put(later, EPOCH + SECOND - clock_lag, 0, policies)
    assert not store.put(record(attempt=attempt), EPOCH + 2 * SECOND - clock_lag, 0, policies)
    assert [retained.record for retained in store.all_records()] == [later]


def test_runs_that_an_older_version_numbered_alike_are_told_apart():
    """Guards against an old run's outcome that replaces the record of a later run with the same number."""
    store = RecordStore()
    later = record(granted_at=EPOCH + 1, claim_number=2, state=RecordState.RUNNING, rows=None)
    assert store.put(later, EPOCH, 0, RetentionPolicies())
    assert not store.put(record(), EPOCH, 0, RetentionPolicies())
    assert [retained.record for retained in store.all_records()] == [later]


def test_attempt_numbers_rise_across_erasures_and_stay_within_the_codec_bound():
    store = RecordStore()
    now = 17_967_744_000_000 + 100 * 365 * 86_400 * SECOND  # a century after December 2026
    first = store.next_attempt(None, now)
    store.put(record(attempt=first), now, 0, RetentionPolicies())
    (retained,) = store.all_records()
    assert store.next_attempt(retained, now) == first + 1
    store.remove(retained.record)
    assert first < store.next_attempt(None, now) <= BOUNDS["attempt"]
    assert first < store.next_attempt(None, now - SECOND)  # the clock of a router that was behind


def test_attempt_number_of_a_faulty_router_does_not_use_up_the_numbers():
    """Guards against one record with the highest number, after whose removal no run can be granted."""
    store = RecordStore()
    faulty = record(attempt=BOUNDS["attempt"])
    store.put(faulty, EPOCH, 0, RetentionPolicies())
    store.remove(faulty)
    assert store.next_attempt(None, EPOCH) == EPOCH // ATTEMPT_TICK


def test_record_of_a_running_query_is_erased_when_the_run_ends():
    store, policies = (
        RecordStore(),
        RetentionPolicies(default=POLICY, erasure_requests=(ErasureRequest(EPOCH + 1),)),
    )
    store.put(record(state=RecordState.RUNNING, rows=None), EPOCH, 0, policies)
    assert store.erase_due(EPOCH, policies) == 0 and len(list(store.all_records())) == 1
    assert not store.put(record(), EPOCH, 0, policies)
    assert not list(store.all_records()) and store.size_bytes == 0


def test_rows_are_erased_where_the_policy_keeps_only_outcomes():
    store = RecordStore()
    store.put(record(), EPOCH, 0, RetentionPolicies(default=POLICY))
    assert store.erase_due(EPOCH, RetentionPolicies(default=RetentionPolicy(rows=False))) == 1
    assert [r.record.rows for r in store.all_records()] == [None]
    assert store.size_bytes == sum(r.record.size for r in store.all_records())


def test_flood_of_one_customer_evicts_no_record_within_its_least_time():
    limited = RetentionPolicy(least_ms=20_000, most_ms=60_000, most=2, most_records=4)
    store, policies = RecordStore(), RetentionPolicies(default=POLICY, customers={"flood": limited})
    for n in range(3):
        store.put(record(f"x{n}", key="x", customer="other"), EPOCH, 0, policies)
    stored = 0
    for n in range(40):
        if store.has_capacity("flood", f"k{n % 8}", EPOCH, policies):
            stored += store.put(record(f"t{n}", key=f"k{n % 8}", customer="flood"), EPOCH, 0, policies)
    assert stored == 4 and store.count_by_customer["other"] == 3
    later = EPOCH + 20_000 * MS + 1
    assert store.has_capacity("flood", "k0", later, policies)  # the oldest record is past its least time
    assert store.count_by_customer["flood"] < 4 and store.count_by_customer["other"] == 3


def test_rows_beyond_the_byte_limit_of_a_key_are_dropped_but_not_the_outcome():
    limited = RetentionPolicies(default=msgspec.structs.replace(POLICY, most_bytes=3_000))
    store = RecordStore()
    for n, size in enumerate((1_000, 2_000, 5_000)):
        fitted = store.fit_rows(record(f"t{n}", rows=b"x" * size), EPOCH, limited)
        assert (fitted.rows is None) == (n > 0)
        store.put(fitted, EPOCH, 0, limited)
    assert store.fit_rows(record("t3", rows=b"x" * 1_500), EPOCH, limited).rows is None
    later = EPOCH + POLICY.least_ms * MS + 1
    assert store.fit_rows(record("t3", rows=b"x" * 1_500), later, limited).rows is not None
    assert store.find("", "k", "t0") is None


def test_rows_too_large_to_keep_are_dropped_and_the_claim_completes():
    net = settled_net(copies=1, policy=msgspec.structs.replace(POLICY, most_bytes=1 << 30))
    replica = net.replicas["n0"]
    query = KeyedQuery(ordering_key="k", idempotency_key="t", deadline=net.clock("n0") + 9 * SECOND)
    number = replica.claim(net.clock("n0"), query)
    net.open_claims["n0", net.incarnations["n0"], number] = "t", "k", net.now
    net.post("n0")
    while not net.runs["t"]:
        net.advance(0.05)
    net.pending_completions.clear()
    net.complete_run(("n0", net.incarnations["n0"], number), RecordState.SERVED, b"x" * (5 << 20))
    net.advance(2)
    assert not replica.own_claims.claims and len(net.routers_with_record("t")) == 2
    assert decision_at(net, "n3", "t", "k") == "FAIL"


# ---- slot placement ----


def test_slots_are_spread_evenly_and_few_holders_change():
    names = [f"n{n}" for n in range(20)]
    before = [holders(s, names, 3) for s in range(SLOTS)]
    count = [sum(name in slot_holders for slot_holders in before) for name in names]
    assert max(count) < 1.35 * min(count)
    after = [holders(s, names[1:], 3) for s in range(SLOTS)]
    for old, new in zip(before, after, strict=True):
        assert len(set(new) - set(old)) == ("n0" in old)
        assert [n for n in old if n != "n0"] == list(new[: len(old) - ("n0" in old)])


# ---- views ----


def test_restarted_router_grants_nothing_for_two_leases():
    views = ViewProtocol("a", 2, ["a", "b", "c"], EPOCH)
    assert views.adopt(EPOCH * 2, View(5, "b", {"a": 2, "b": 1}))
    too_early, later = EPOCH + 2 * VIEW_LEASE, int(EPOCH + 2 * VIEW_LEASE * (1 + MAX_CLOCK_DRIFT)) + 1
    assert not views.answer_heartbeat(too_early, ViewId(5, "b"), 0, 0).given
    assert not views.answer_request(too_early, ViewId(6, "b")).given
    assert views.answer_heartbeat(later, ViewId(5, "b"), 0, 0).given
    assert views.answer_request(later, ViewId(6, "b")).given


def test_router_grants_no_view_below_one_that_it_promised():
    now = EPOCH + 3 * VIEW_LEASE
    views = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH)
    views.adopt(EPOCH * 2, View(5, "b", {"a": 1, "b": 1}))
    assert views.answer_heartbeat(now, ViewId(5, "b"), 0, 0).given
    assert views.answer_request(now, ViewId(7, "c")).given
    assert not views.answer_heartbeat(now, ViewId(5, "b"), 0, 0).given
    assert not views.answer_request(now, ViewId(6, "b")).given
    assert not views.adopt(EPOCH * 2, View(6, "b", {"a": 1, "b": 1}))
    assert views.adopt(EPOCH * 2, View(7, "c", {"a": 1, "c": 1}))


def test_lease_counts_from_the_grant_and_is_limited():
    views = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH)
    views.adopt(EPOCH * 2, View(5, "b", {"a": 1, "b": 1}))
    views.extend_lease(EPOCH, ViewId(5, "b"), EPOCH, VIEW_LEASE // 2)
    assert views.in_force(EPOCH + VIEW_LEASE // 2 - 1) and not views.in_force(EPOCH + VIEW_LEASE // 2)
    views.extend_lease(EPOCH, ViewId(5, "b"), EPOCH, 100 * VIEW_LEASE)
    assert not views.in_force(EPOCH + VIEW_LEASE)
    views.extend_lease(EPOCH + VIEW_LEASE, ViewId(4, "b"), EPOCH + VIEW_LEASE, VIEW_LEASE)
    views.extend_lease(EPOCH + VIEW_LEASE, ViewId(5, "b"), EPOCH + 9 * VIEW_LEASE, VIEW_LEASE)
    assert not views.in_force(EPOCH + VIEW_LEASE)


def test_view_without_its_coordinator_or_a_majority_is_not_adopted():
    views = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH)
    for members in ({}, {"b": 1}, {"a": 1, "c": 1}):
        assert not views.adopt(EPOCH, View(5, "b", members))
    assert views.adopt(EPOCH, View(5, "b", {"a": 1, "b": 1}))


def test_view_number_far_ahead_of_the_clock_is_refused():
    views, number_ahead = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH), EPOCH // 10 + 2 * MAX_NUMBER_AHEAD
    now = EPOCH + 3 * VIEW_LEASE
    assert not views.answer_request(now, ViewId(number_ahead, "b")).given
    assert not views.adopt(now, View(number_ahead, "b", {"a": 1, "b": 1}))
    assert not views.answer_heartbeat(now, ViewId(number_ahead, "b"), now, 0).given
    assert views.answer_request(now, ViewId(EPOCH // 10, "b")).given


def proposer_after(
    granters: str, answers: str = "abcde", departed: str = ""
) -> tuple[ViewProtocol, View | None, int]:
    """Returns the view protocol of one of five routers, the view that it proposes and the promises it needed.

    `answers`: the routers that promise, in this order; `granters`: those that have granted an earlier view;
    `departed`: those that are no longer alive when the promises arrive.
    """
    live = dict.fromkeys("abcde", 1)
    views, now = ViewProtocol("a", 1, live, EPOCH), EPOCH + 3 * VIEW_LEASE
    views.next_action(now, live)
    assert views.next_action(now + SETTLE_TIME, live) is ProposerAction.REQUEST_PROMISES
    old = View(5, "e", live, 1)
    for promise_count, name in enumerate(answers, 1):
        granter = ViewProtocol(name, 1, live, EPOCH)
        if name in granters:
            granter.adopt(EPOCH * 2, old)
            granter.answer_heartbeat(now, ViewId(5, "e"), 0, 0)
        promise = granter.answer_request(now + SETTLE_TIME, views.requesting)
        still_live = {other: number for other, number in live.items() if other not in departed}
        if views.handle_promise(now + SETTLE_TIME, name, promise, still_live, 2):
            return views, views.proposed, promise_count
    return views, None, len(answers)


def test_view_takes_over_from_its_predecessor_only_if_a_majority_has_granted():
    _, view, promise_count = proposer_after("abc")
    assert (view.predecessor, view.predecessor_copies, view.copies, promise_count) == (
        ViewId(5, "e"),
        1,
        2,
        3,
    )
    assert view.predecessor_members.keys() == set("abcde") and view.number > 5 and not view.is_first
    _, view, promise_count = proposer_after("ab")
    assert view.predecessor is None and not view.is_first and promise_count == 5
    _, view, promise_count = proposer_after("")
    assert view.predecessor is None and view.is_first and promise_count == 5


def test_view_is_not_the_first_if_a_router_that_promised_is_no_member():
    """Guards against an empty history that is assumed though a router may have forgotten a view."""
    _, view, _ = proposer_after("", answers="cab", departed="cd")
    assert view.members.keys() == set("abe") and view.predecessor is None and not view.is_first
    _, view, _ = proposer_after("", answers="abe", departed="cd")
    assert view.is_first


def test_promises_of_restarted_routers_do_not_hide_earlier_grants():
    _, view, promise_count = proposer_after("cde", "abcde")
    assert view.predecessor == ViewId(5, "e") and promise_count == 5
    views, view, _ = proposer_after("cd", "abcd")
    assert view is None and views.requesting  # the fifth router may have granted a view, so it is asked again
    for _ in range(MAX_ATTEMPTS):
        views.next_action(views.requested_at + HEARTBEAT_INTERVAL + 1, dict.fromkeys("abcde", 1))
    assert views.attempts >= MAX_ATTEMPTS


def test_proposed_view_not_in_force_for_a_lease_is_dropped():
    views, view, _ = proposer_after("abc")
    now, live = views.proposed_at, dict.fromkeys("abcde", 1)
    for name in "abc":
        granter = ViewProtocol(name, 1, live, EPOCH)
        granter.adopt(EPOCH * 2, view)
        views.handle_grant(now, name, granter.answer_heartbeat(now, view.id, now, 0))
    assert 0 < views.lease_remaining(now) < VIEW_LEASE and views.lease_remaining(now + VIEW_LEASE) == 0
    assert views.next_action(now + VIEW_LEASE, live) is ProposerAction.SEND_HEARTBEATS
    assert (
        views.next_action(now + 2 * VIEW_LEASE, live) is ProposerAction.REQUEST_PROMISES
        and views.proposed is None
    )


def test_view_is_sent_as_changes_and_complete_to_a_router_without_the_predecessor():
    net = settled_net(copies=1)
    net.cut(["n3"], ["n0", "n1", "n2", "n4"])
    net.advance(12)
    net.kill("n4")  # brings a second view, which n3 does not receive
    net.advance(12)
    sent = []
    for replica in net.replicas.values():
        receive = replica.receive
        replica.receive = lambda now, sender, message, receive=receive, to=replica.name: (
            sent.append((to, type(message))),
            receive(now, sender, message),
        )
    net.heal()
    assert net.wait_until_settled()
    assert ("n1", messages.ViewUpdate) in sent and ("n1", messages.ViewAnnouncement) not in sent
    assert ("n3", messages.ViewAnnouncement) in sent
    views = [replica.views.view for replica in net.replicas.values()]
    assert all(view == views[0] for view in views) and len(views[0].members) == 4 > len(
        views[0].predecessor_members
    )


def test_minority_never_proposes_a_view():
    live = {"a": 1, "b": 1}
    views = ViewProtocol("a", 1, "abcde", EPOCH)
    assert views.next_action(EPOCH, live) is ProposerAction.NOTHING
    assert views.next_action(EPOCH + 9 * VIEW_LEASE, live) is ProposerAction.NOTHING
    assert majority_of(5) == 3 and majority_of(4) == 3 and NO_VIEW.id == ViewId(0, "")


# ---- messages ----


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_rejected(data):
    with cpu_limit():
        try:
            codec.decode(data, "n1")
        except InvalidDatagramError as error:
            assert error.location == "n1"


@pytest.mark.parametrize(
    ("message", "field"),
    [
        (messages.SlotRequest(ViewId(1, "n"), 1024, ViewId(1, "n")), "slot"),
        (messages.ReplicateRequest(ViewId(1, "n"), 1, record(state=9), 0), "state"),
        (messages.ReplicateRequest(ViewId(1, "n"), -1, record(), 0), "number"),
        (messages.ClaimReply(1, 1, 6, "", None), "decision"),
        (messages.ReplicateRequest(ViewId(1, "n" * 65), 1, record(), 0), "view"),
        (messages.ReplicateRequest(ViewId(1, "n"), 1, record(key="k" * 129), 0), "ordering_key"),
        (messages.SlotPart(ViewId(1, "n"), 1, 0, 1, (record(),), (), None), "ages"),
        (messages.ViewAnnouncement(View(1, "n", {"": 1})), "members"),
        (messages.PoliciesUpdate(RetentionPolicies(copies=99)), "copies"),
    ],
)
def test_field_out_of_bounds_is_named(message, field):
    with pytest.raises(ValueError, match=field):
        codec.encode(message)
    with pytest.raises(InvalidDatagramError, match=field):
        codec.decode(codec.encoder.encode(message), "n1")


# ---- several routers ----


def settled_net(count=5, copies=1, seed=1, policy=POLICY, **faults) -> HistoryNet:
    net = HistoryNet(seed, count, initial_policies(copies=copies, default=policy), **faults)
    assert net.wait_until_settled()
    return net


def key_first_held_by(net: HistoryNet, name: str) -> str:
    """Returns a key whose first holder is this router."""
    (members,) = {tuple(replica.views.view.members) for replica in net.replicas.values()}
    keys = (f"k{n}" for n in range(10_000))
    return next(key for key in keys if holders(slot_of("", key), members, 1) == (name,))


def decision_at(net: HistoryNet, name: str, token: str, key: str) -> str:
    """Sends a query to a router and returns the name of the decision."""
    before = net.verdict_counts.copy()
    net.ask(name, token, key)
    net.advance(5)
    (decided,) = [d.name for d in ClaimDecision if net.verdict_counts[d.name] > before[d.name]] or ["NONE"]
    return decided


def test_retry_is_answered_by_every_router():
    net = settled_net(loss_rate=0.05, duplicate_rate=0.05)
    assert decision_at(net, "n0", "t", "k") == "RUN"
    assert [decision_at(net, name, "t", "k") for name in net.names] == ["REPLAY"] * 5
    assert len(net.runs["t"]) == 1 and not net.broken_rules


def test_record_survives_the_loss_of_its_first_holder_and_is_replicated_again():
    net = settled_net(copies=1)
    key = key_first_held_by(net, "n2")
    assert decision_at(net, "n0", "t", key) == "RUN"
    for name in ("n2", "n4"):
        record_holders = net.routers_with_record("t")
        net.kill(record_holders[0])
        assert net.wait_until_settled()
        assert len(net.routers_with_record("t")) == 2, name
    assert decision_at(net, next(iter(net.replicas)), "t", key) == "REPLAY"
    assert not net.broken_rules


def test_query_whose_holders_all_died_is_rejected_for_the_least_time():
    net = settled_net(copies=0)
    key = key_first_held_by(net, "n2")
    assert decision_at(net, "n0", "t", key) == "RUN"
    net.kill("n2")
    assert net.wait_until_settled()
    assert decision_at(net, "n0", "t", key) == "REJECT"
    net.advance(30)
    assert decision_at(net, "n0", "t", key) == "RUN"  # after 20 s, the policy's least time
    assert not net.broken_rules


def test_slot_transfer_waits_for_a_live_source():
    net = settled_net(copies=0)
    keys = ((f"k{n}", holders(slot_of("", f"k{n}"), net.names, 2)) for n in range(1000))
    key, (_, other) = next(
        (k, key_holders) for k, key_holders in keys if key_holders[0] == "n4" and key_holders[1] != "n0"
    )
    assert decision_at(net, "n0", "t", key) == "RUN"
    net.cuts |= {("n4", other), (other, "n4")}  # the new holder cannot reach the source but takes it for live
    net.leave("n4")
    net.live_seen_by[other]["n4"] = net.incarnations["n4"]
    net.advance(15)
    assert net.replicas[other].slots.fetching and decision_at(net, "n1", "t", key) == "REJECT"
    net.cuts.clear()
    net.advance(3)
    assert not net.replicas[other].slots.fetching and decision_at(net, "n1", "t", key) == "REPLAY"


def test_query_whose_router_died_while_it_ran_is_not_run_again():
    net = settled_net(copies=1, policy=msgspec.structs.replace(POLICY, least_ms=90_000, most_ms=900_000))
    net.ask("n4", "t", key_first_held_by(net, "n0"))
    while not net.runs["t"]:
        net.advance(0.05)
    net.kill("n4")
    key = next(key for key in net.runs_by_key)
    assert decision_at(net, "n1", "t", key) == "REJECT"
    net.advance(COMPLETION_GRACE / SECOND + 10)
    assert decision_at(net, "n1", "t", key) == "FAIL"
    assert len(net.runs["t"]) == 1


def test_minority_side_of_a_partition_neither_replays_nor_runs():
    net = settled_net(copies=0, policy=msgspec.structs.replace(POLICY, least_ms=5_000))
    key = key_first_held_by(net, "n4")
    assert decision_at(net, "n4", "t", key) == "RUN"
    net.cut(["n3", "n4"], ["n0", "n1", "n2"])
    net.advance(20)
    assert decision_at(net, "n4", "t", key) == "REJECT"
    assert decision_at(net, "n0", "new", key) == "RUN"  # lost records would be past their least time
    assert decision_at(net, "n4", "new", key) == "REJECT"
    net.heal()
    assert net.wait_until_settled()
    assert decision_at(net, "n4", "new", key) == "REPLAY"
    assert not net.broken_rules


def test_no_run_starts_before_every_holder_has_the_record():
    net = settled_net(copies=1)
    key = key_first_held_by(net, "n2")
    second = holders(slot_of("", key), net.names, 2)[1]
    net.cuts |= {("n2", second), (second, "n2")}  # not yet detected by any router
    net.ask("n2", "t", key)
    net.advance(0.8)
    assert not net.runs["t"]
    net.kill("n2")
    net.heal()
    assert net.wait_until_settled()
    net.ask("n0", "t", key)
    net.advance(5)
    assert len(net.runs["t"]) == 1 and not net.broken_rules


def test_restart_of_a_majority_loses_records_and_rejects_their_queries():
    """The surviving router has outdated records of the slot, and no other router has kept a later view."""
    net = settled_net(copies=0)
    key = key_first_held_by(net, "n4")
    net.cut(["n4"], ["n0", "n1", "n2", "n3"])
    net.advance(15)
    net.advance(25)  # past the least time of records that n4 may have had
    assert decision_at(net, "n0", "t", key) == "RUN"
    for name in ("n0", "n1", "n2", "n3"):
        net.kill(name)
    net.heal()
    for name in ("n0", "n1", "n2", "n3"):
        net.start(name)
    assert net.wait_until_settled()
    assert decision_at(net, "n0", "t", key) == "REJECT"
    assert not net.broken_rules


def test_order_of_a_key_is_kept_across_routers():
    net = settled_net(copies=1, not_sent_rate=0.2)
    for n in range(12):
        net.ask(net.names[n % 5], f"t{n}", "k")
    net.advance(8)
    assert net.verdict_counts["RUN"] >= 4 and not net.broken_rules
    sequences = (
        sorted(
            r.record.sequence for r in net.replicas[net.routers_with_record("t0")[0]].records.all_records()
        )
        if net.routers_with_record("t0")
        else []
    )
    assert len(sequences) == len(set(sequences))


def test_queries_of_one_key_at_one_router_run_in_order_of_arrival():
    net = settled_net(copies=1, loss_rate=0.1, duplicate_rate=0.1)
    for n in range(8):
        net.ask("n1", f"t{n}", "k", 20 * SECOND)
    net.advance(20)
    starts = [net.runs[f"t{n}"][0][0] for n in range(8) if net.runs[f"t{n}"]]
    assert len(starts) >= 6 and starts == sorted(starts) and not net.broken_rules


def test_granted_run_that_its_router_does_not_know_is_ended():
    """Its replication was interrupted after the claim had been abandoned; nothing else ends the record."""
    net = settled_net(copies=1)
    key = key_first_held_by(net, "n2")
    key_holders = holders(slot_of("", key), net.names, 2)
    unknown = record(
        "unknown",
        RecordState.RUNNING,
        key=key,
        router="n1",
        incarnation=net.incarnations["n1"],
        claim_number=99,
        granted_at=net.now,
        rows=None,
    )
    for name in key_holders:
        net.replicas[name].records.put(unknown, net.now, 0, net.policies)
    net.ask("n0", "t", key)
    net.advance(1)
    assert not net.runs["t"]
    net.advance(VIEW_LEASE / SECOND + 3)
    states = {
        r.record.state
        for name in key_holders
        for r in net.replicas[name].records.all_records()
        if r.record.idempotency_key == "unknown"
    }
    assert states == {RecordState.NOT_RUN}
    assert decision_at(net, "n3", "t", key) in ("RUN", "REPLAY") and not net.broken_rules


def test_erasure_reaches_a_holder_that_was_partitioned():
    net = settled_net(copies=2)
    assert decision_at(net, "n0", "t", "k") == "RUN"
    t_holders = net.routers_with_record("t")
    assert len(t_holders) == 3
    isolated = t_holders[-1]
    net.cut([isolated], [n for n in net.names if n != isolated])
    net.advance(5)
    net.request_erasure(next(n for n in t_holders if n != isolated))
    net.advance(VIEW_LEASE / SECOND + 3)
    assert net.routers_with_record("t") == [isolated]  # it has not received the request, and answers nothing
    assert decision_at(net, isolated, "t", "k") == "REJECT"
    net.heal()
    assert net.wait_until_settled()
    assert net.routers_with_record("t") == []
    assert decision_at(net, isolated, "t", "k") == "RUN"
    assert not net.broken_rules


def test_hold_keeps_records_of_an_erasure_request_until_it_ends():
    hold = msgspec.structs.replace(POLICY, hold=True)
    net = settled_net(copies=1, policy=hold)
    assert decision_at(net, "n0", "t", "k") == "RUN"
    net.request_erasure("n1")
    net.advance(5)
    assert len(net.routers_with_record("t")) == 2
    net.policies = msgspec.structs.replace(net.policies, number=9, default=POLICY)
    net.replicas["n1"].apply_policies(net.clock("n1"), net.policies)
    net.advance(5)
    assert net.routers_with_record("t") == []


def test_erasure_reaches_holders_without_a_majority():
    net = settled_net()
    assert decision_at(net, "n0", "t", "k") == "RUN"
    net.advance(3)
    survivors = net.routers_with_record("t")
    assert len(survivors) == 2
    for name in [name for name in net.names if name not in survivors]:
        net.kill(name)
    net.advance(8)  # after this no view can be in force
    net.request_erasure(survivors[0])
    net.advance(2 * 2 + 2)
    assert not net.routers_with_record("t")


def test_holder_without_the_latest_policies_answers_nothing_and_is_reported():
    net = settled_net(copies=0)
    key = key_first_held_by(net, "n2")
    assert decision_at(net, "n0", "t", key) == "RUN"
    replica = net.replicas["n2"]
    replica.policy_distribution.apply = lambda policies: False  # it does not apply the new policies
    net.request_erasure("n0")
    net.advance(5)
    assert decision_at(net, "n0", "t", key) == "REJECT"
    (error,) = net.replicas["n0"].outdated_routers()
    assert error.location == "n2" and "applied policies 1, latest are 2" in str(error)


def test_paused_holder_does_not_answer_after_its_lease_has_expired():
    net = settled_net(copies=0, policy=msgspec.structs.replace(POLICY, least_ms=5_000))
    key = key_first_held_by(net, "n2")
    net.suspend("n2")
    net.advance(20)
    assert decision_at(net, "n0", "t", key) == "RUN"
    net.resume("n2")
    net.ask("n2", "t", key)
    net.advance(0.3)
    assert len(net.runs["t"]) == 1
    net.advance(5)
    assert not net.broken_rules


def test_clock_offsets_do_not_change_retention_times():
    offsets = [n * 20 * SECOND for n in range(5)]
    policies = initial_policies(copies=1, default=POLICY)
    # A router whose clock is ahead seems to have started late: the first start is that of the last clock.
    founded = policies.founded + max(offsets)
    net = HistoryNet(4, 5, msgspec.structs.replace(policies, founded=founded))
    for offset, name in zip(offsets, net.names, strict=True):
        net.clock_offsets[name] = offset
        net.kill(name)
        net.start(name)
    assert net.wait_until_settled(60)
    assert decision_at(net, "n0", "t", "k") == "RUN"
    net.kill(net.routers_with_record("t")[0])
    assert net.wait_until_settled()
    assert decision_at(net, next(iter(net.replicas)), "t", "k") == "REPLAY"
    net.advance(POLICY.most_ms / 1000 + 1)
    assert net.routers_with_record("t") == []


@pytest.mark.parametrize("name", ["n0", "n2"])  # n0, the first by name, is also the coordinator
def test_leaving_router_hands_over_the_only_copy(name):
    net = settled_net(copies=0)
    key = key_first_held_by(net, name)
    assert decision_at(net, "n1", "t", key) == "RUN"
    replica, views = net.replicas[name], net.replicas["n1"].counters["views"]
    assert not replica.is_handed_over
    net.leave(name)
    net.advance(12)
    assert replica.is_handed_over and net.replicas["n1"].counters["views"] == views + 1
    net.kill(name)
    assert net.wait_until_settled()
    assert decision_at(net, "n3", "t", key) == "REPLAY"


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_faults_violate_no_invariant(seed):
    policy = msgspec.structs.replace(POLICY, least_ms=8_000)
    net = settled_net(6, seed % 3, seed, policy, loss_rate=0.05, duplicate_rate=0.05, not_sent_rate=0.05)
    assert run_random_faults(net, seed, 90, with_erasures=seed % 2 == 0)
    assert net.verdict_counts["RUN"] > 30 and net.verdict_counts["REPLAY"] > 10
    assert not net.broken_rules


@pytest.mark.parametrize(
    ("seed", "with_erasures"),
    [
        pytest.param(20_060, True, id="a report of an erased run comes late"),
        pytest.param(20_098, True, id="a report of an erased run comes late, second"),
        pytest.param(20_013, False, id="all routers restart in the first minute"),
        pytest.param(30_227, True, id="two views have granted runs of one key"),
    ],
)
def test_cuts_between_two_routers_violate_no_invariant(seed, with_erasures):
    """Guards against runs beside each other after faults that the fleet as a whole does not notice."""
    least_ms = random.Random(seed).choice([8_000, 20_000, 60_000])
    policy = msgspec.structs.replace(POLICY, least_ms=least_ms)
    net = settled_net(5, seed % 3, seed, policy, loss_rate=0.05, duplicate_rate=0.05, not_sent_rate=0.05)
    run_random_faults(net, seed, 90, with_erasures=with_erasures, pair_cut_share=0.35)
    assert not net.broken_rules


def test_late_report_of_an_erased_run_leaves_the_run_in_progress_alone():
    """Guards against a second run beside one in progress: its router's report of an erased run comes late."""
    net = settled_net(3, copies=0)
    holder, runner, other = net.names
    key = key_first_held_by(net, holder)
    assert decision_at(net, runner, "t", key) == "RUN"
    net.advance(20)
    replica = net.replicas[holder]
    (ended,) = replica.records.records_of_key("", key)
    net.request_erasure(holder)
    net.advance(2)
    net.ask(other, "t", key)
    while not replica.records.records_of_key("", key):
        net.advance(0.1)
    (running,) = replica.records.records_of_key("", key)
    assert running.record.state == RecordState.RUNNING and running.record.run_id > ended.record.run_id
    report = msgspec.structs.replace(ended.record, state=RecordState.SERVED)
    replica.receive(net.clock(holder), runner, messages.Completion(replica.views.view.id, report))
    assert replica.records.records_of_key("", key) == [running]
    reply = messages.CompletionReply(report.claim_number, report.incarnation)
    assert (runner, reply) in replica.take_messages()


def settled_after_restarts(net: HistoryNet, names) -> HistoryNet:
    """Restarts these routers at once, and waits until the fleet has settled."""
    for name in names:
        net.kill(name)
    net.advance(1)
    for name in names:
        net.start(name)
    assert net.wait_until_settled(60)
    return net


@pytest.mark.parametrize("restarted", [2, 3], ids=["most routers", "all routers"])
def test_key_that_has_run_is_not_taken_for_new_after_restarts_in_the_first_minute(restarted):
    """Guards against a second run of a key: an empty history was assumed for a minute after `founded_ms`."""
    net = settled_net(3, copies=0, seed=restarted)
    assert decision_at(net, "n0", "t", "k") == "RUN"
    settled_after_restarts(net, net.names[:restarted])
    assert net.now - EPOCH < 60 * SECOND  # the first minute
    assert decision_at(net, "n0", "t", "k") in ("REPLAY", "REJECT")
    assert decision_at(net, "n0", "u", "k") == "REJECT" and not net.broken_rules


@pytest.mark.parametrize(
    ("delay_ms", "clock_lead_ms", "decision"),
    [(7_000, 0, "RUN"), (9_000, 0, "REJECT"), (0, 7_000, "RUN"), (0, 9_000, "REJECT")],
)
def test_history_counts_as_empty_if_all_routers_of_the_first_view_start_in_time(
    delay_ms, clock_lead_ms, decision
):
    """Guards against an empty history that is assumed where an earlier view may have existed, or never."""
    net = HistoryNet(1, 3, initial_policies(copies=0, default=POLICY))
    net.clock_offsets["n2"] = clock_lead_ms * SECOND // 1_000
    for name in net.names:
        net.kill(name)
    net.advance(delay_ms / 1_000)
    for name in net.names:
        net.start(name)
    assert net.wait_until_settled(60)
    assert decision_at(net, "n0", "t", "k") == decision


def test_run_granted_before_waits_while_another_of_its_key_may_be_in_progress():
    """Guards against two runs of a key that two views have granted, both of whose claims are repeated."""
    known = RetainedRecord(record(state=RecordState.RUNNING, rows=None), EPOCH)
    other = RetainedRecord(record("u", state=RecordState.RUNNING, rows=None), EPOCH)
    facts = ClaimFacts(customer="", known=known, is_router_live=True, is_repeated=True)
    policies = RetentionPolicies()
    assert decide(policies, facts, EPOCH, lambda: True).decision is ClaimDecision.RUN
    facts = msgspec.structs.replace(facts, earlier_running=other)
    assert decide(policies, facts, EPOCH, lambda: True).decision is ClaimDecision.WAIT


def test_grant_is_not_announced_again_while_two_runs_of_its_key_have_not_ended():
    """Guards against an announcement that grants a run beside another of its key."""
    net = settled_net(3, copies=0)
    (holder, runner, _), key = net.names, key_first_held_by(net, net.names[0])
    replica = net.replicas[holder]
    run = {"state": RecordState.RUNNING, "rows": None, "router": runner, "timeout": 60 * SECOND}
    run |= {"incarnation": net.incarnations[runner], "granted_at": net.now}
    first, second = record("t", key=key, **run), record("u", key=key, **run | {"claim_number": 2})

    def announced():
        replica.context.now = net.clock(holder)
        replica.replication.announce_running(slot_of("", key))
        return [message for _, message in replica.take_messages() if isinstance(message, messages.ClaimReply)]

    assert replica.records.put(first, net.clock(holder), VIEW_LEASE + 1, replica.policies)
    assert [reply.record for reply in announced()] == [first]
    assert replica.records.put(second, net.clock(holder), VIEW_LEASE + 1, replica.policies)
    assert announced() == []


def test_messages_to_a_replica_without_a_view_have_no_effect():
    replica = Replica(Membership("a", 1, ["a", "b", "c"], lambda: {"a": 1}), RetentionPolicies(), EPOCH)
    claim = messages.ClaimRequest(ViewId(1, "b"), 1, 1, "", "k", "t", SECOND, False)
    for message in (
        claim,
        messages.Completion(ViewId(1, "b"), record(router="b")),
        messages.ReplicateRequest(ViewId(1, "b"), 1, record(), 0),
        messages.ReplicateReply(ViewId(1, "b"), 1, True),
        messages.SlotRequest(ViewId(1, "b"), 3, ViewId(1, "b")),
        messages.SlotPart(ViewId(1, "b"), 3, 0, 1, (record(),), (0,), None),
        messages.SlotRedirect(ViewId(1, "b"), 3, ViewId(1, "b"), {}),
        messages.CompletionReply(1, 1),
        messages.ClaimReply(1, 1, 0, "new", record()),
        messages.Heartbeat(ViewId(1, "b"), 0, 0, 0, 7),
    ):
        replica.receive(EPOCH, "b", message)
    assert not list(replica.records.all_records())
    assert [type(m) for _, m in replica.take_messages() if isinstance(m, messages.ClaimReply)] == [
        messages.ClaimReply
    ]
