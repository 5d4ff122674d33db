"""The answer history: what policies allow, who holds what, and that no fault runs a query twice."""

import msgspec
import pytest
from cpu_limit import cpu_limit
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidDatagramError
from hillchute.history import codec, messages
from hillchute.history.claim_decision import ClaimDecision, ClaimFacts, decide
from hillchute.history.own_claims import KeyedQuery
from hillchute.history.record_store import RecordStore
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
from hillchute.history.views import DRIFT, HEARTBEAT_INTERVAL, LEASE, NO_VIEW, View, ViewId, majority_of
from hillchute.lab.history_net import EPOCH, SECOND, HistoryNet, founded, storm

KEEPS = RetentionPolicy(rows=True, least_ms=20_000, most_ms=60_000)


def record(
    token="t", state=RecordState.SERVED, attempt=1, taken=EPOCH, key="k", customer="", rows=b"rows", **about
):
    whose = {"router": "n0", "incarnation": 1, "claim_number": 1, "timeout": SECOND} | about
    return Record(customer, key, token, taken, 1, attempt, state=state, rows=rows, **whose)


# ---- what policies allow ----


def test_hold_goes_before_forget_and_age_but_nothing_old_is_answered():
    forgets = (ErasureRequest(EPOCH + 1),)
    policies = RetentionPolicies(default=KEEPS, erasure_requests=forgets)
    held = RetentionPolicies(default=msgspec.structs.replace(KEEPS, hold=True), erasure_requests=forgets)
    assert policies.must_be_erased("", "k", EPOCH, 0) and not held.must_be_erased("", "k", EPOCH, 0)
    assert not policies.must_be_erased("", "k", EPOCH + 1, 0)
    old = KEEPS.most_ms * MS + 1
    assert policies.must_be_erased("", "k", EPOCH + 1, old) and not held.must_be_erased(
        "", "k", EPOCH + 1, old
    )
    assert not held.may_replay("", "k", EPOCH + 1, old)
    assert held.may_replay("", "k", EPOCH, 0)  # the forget waits until the hold ends


def test_forget_names_a_customer_or_one_of_its_keys():
    policies = RetentionPolicies(
        erasure_requests=(ErasureRequest(EPOCH, "a"), ErasureRequest(EPOCH, "b", "k"))
    )
    told = [
        policies.is_erasure_requested(c, k, EPOCH - 1)
        for c, k in (("a", "x"), ("b", "k"), ("b", "x"), ("", "k"))
    ]
    assert told == [True, True, False, False]


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
def test_policies_that_nobody_could_honour_name_the_field(policies, field):
    assert first_invalid_field(policies) == field
    assert first_invalid_field(RetentionPolicies()) == ""


def verdict(kept=None, before=None, lost_for=None, lives=True, mine=False, room=True, age=0, **policy):
    policies = RetentionPolicies(default=RetentionPolicy(rows=True, **policy))
    kept = kept and RetainedRecord(kept, EPOCH - age)
    facts = ClaimFacts(
        customer="",
        known=kept,
        earlier_running=before,
        lost_for=lost_for,
        router_lives=lives,
        is_repeated=mine,
    )
    return decide(policies, facts, EPOCH, lambda: room).decision


def test_verdict_on_each_thing_known():
    out = record(state=RecordState.RUNNING, rows=None)
    assert verdict() is ClaimDecision.RUN
    assert verdict(record()) is ClaimDecision.REPLAY
    assert verdict(record(), replay=False) is ClaimDecision.FAIL
    assert verdict(record(rows=None)) is ClaimDecision.FAIL
    assert verdict(record(state=RecordState.FAILED)) is ClaimDecision.FAIL
    assert verdict(record(state=RecordState.NOT_RUN)) is ClaimDecision.RUN
    assert (
        verdict(record(), age=3_600_001 * MS) is ClaimDecision.FAIL
    )  # nothing is run that is known to have run
    assert verdict(out) is ClaimDecision.WAIT
    assert verdict(out, mine=True) is ClaimDecision.RUN
    assert verdict(out, lives=False) is ClaimDecision.REJECT
    for lives in (True, False):
        assert verdict(out, lives=lives, age=out.timeout + COMPLETION_GRACE + 1) is ClaimDecision.FAIL
    assert verdict(before=RetainedRecord(out, EPOCH)) is ClaimDecision.WAIT
    assert verdict(room=False) is ClaimDecision.REJECT
    assert verdict(lost_for=0) is ClaimDecision.REJECT
    assert verdict(lost_for=0, lost="run") is ClaimDecision.RUN
    assert verdict(lost_for=600_000 * MS) is ClaimDecision.RUN
    assert verdict(record(), lost_for=0) is ClaimDecision.REPLAY


# ---- what one holder has ----

versions = st.builds(
    record,
    token=st.sampled_from("ab"),
    state=st.sampled_from((RecordState.RUNNING, RecordState.NOT_RUN, RecordState.SERVED, RecordState.FAILED)),
    attempt=st.integers(1, 3),
    rows=st.just(None),
)


@settings(deadline=None)
@given(st.lists(versions, max_size=12), st.randoms(use_true_random=False))
def test_versions_become_one_whatever_their_order_and_number(some, chance):
    stores = RecordStore(), RecordStore()
    again = some + some[:3]
    chance.shuffle(again)
    with cpu_limit():
        for store, line in zip(stores, (some, again), strict=True):
            for one in line:
                store.put(one, EPOCH, 0, RetentionPolicies())
    first, second = ({k.record.idempotency_key: k.record for k in store.all_records()} for store in stores)
    assert first == second
    assert stores[0].size_bytes == sum(r.size for r in first.values())
    assert stores[0].count_by_customer.total() == len(first)


def test_late_copy_does_not_bring_back_what_was_forgotten():
    store, policies = (
        RecordStore(),
        RetentionPolicies(default=KEEPS, erasure_requests=(ErasureRequest(EPOCH + 1),)),
    )
    assert store.put(record(), EPOCH, 0, RetentionPolicies(default=KEEPS))
    assert store.erase_due(EPOCH, policies) == 1
    assert not store.put(record(), EPOCH, 0, policies)
    assert not list(store.all_records())


def test_run_that_is_out_is_forgotten_when_it_ends():
    store, policies = (
        RecordStore(),
        RetentionPolicies(default=KEEPS, erasure_requests=(ErasureRequest(EPOCH + 1),)),
    )
    store.put(record(state=RecordState.RUNNING, rows=None), EPOCH, 0, policies)
    assert store.erase_due(EPOCH, policies) == 0 and len(list(store.all_records())) == 1
    assert not store.put(record(), EPOCH, 0, policies)
    assert not list(store.all_records()) and store.size_bytes == 0


def test_rows_go_where_the_ending_alone_is_kept():
    store = RecordStore()
    store.put(record(), EPOCH, 0, RetentionPolicies(default=KEEPS))
    assert store.erase_due(EPOCH, RetentionPolicies(default=RetentionPolicy(rows=False))) == 1
    assert [k.record.rows for k in store.all_records()] == [None]
    assert store.size_bytes == sum(k.record.size for k in store.all_records())


def test_flood_of_one_customer_pushes_out_nothing_within_a_least_time():
    few = RetentionPolicy(least_ms=20_000, most_ms=60_000, most=2, most_records=4)
    store, policies = RecordStore(), RetentionPolicies(default=KEEPS, customers={"flood": few})
    for n in range(3):
        store.put(record(f"x{n}", key="x", customer="other"), EPOCH, 0, policies)
    taken = 0
    for n in range(40):
        if store.has_capacity("flood", f"k{n % 8}", EPOCH, policies):
            taken += store.put(record(f"t{n}", key=f"k{n % 8}", customer="flood"), EPOCH, 0, policies)
    assert taken == 4 and store.count_by_customer["other"] == 3
    later = EPOCH + 20_000 * MS + 1
    assert store.has_capacity("flood", "k0", later, policies)  # past its least time the oldest gives way
    assert store.count_by_customer["flood"] < 4 and store.count_by_customer["other"] == 3


def test_rows_that_a_key_has_no_room_for_leave_their_ending():
    few = RetentionPolicies(default=msgspec.structs.replace(KEEPS, most_bytes=3_000))
    store = RecordStore()
    for n, size in enumerate((1_000, 2_000, 5_000)):
        one = store.fit_rows(record(f"t{n}", rows=b"x" * size), EPOCH, few)
        assert (one.rows is None) == (n > 0)
        store.put(one, EPOCH, 0, few)
    assert store.fit_rows(record("t3", rows=b"x" * 1_500), EPOCH, few).rows is None
    later = EPOCH + KEEPS.least_ms * MS + 1
    assert store.fit_rows(record("t3", rows=b"x" * 1_500), later, few).rows is not None
    assert store.find("", "k", "t0") is None


def test_long_rows_leave_their_ending_and_nothing_is_stuck():
    net = net_of(copies=1, policy=msgspec.structs.replace(KEEPS, most_bytes=1 << 30))
    replica = net.replicas["n0"]
    query = KeyedQuery(ordering_key="k", idempotency_key="t", deadline=net.clock("n0") + 9 * SECOND)
    number = replica.claim(net.clock("n0"), query)
    net.open["n0", net.lives["n0"], number] = "t", "k", net.now
    net.post("n0")
    while not net.runs["t"]:
        net.advance(0.05)
    net.endings.clear()
    net.ended(("n0", net.lives["n0"], number), RecordState.SERVED, b"x" * (5 << 20))
    net.advance(2)
    assert not replica.own_claims.claims and len(net.held("t")) == 2
    assert asked(net, "n3", "t", "k") == "FAIL"


# ---- who holds what ----


def test_slots_are_spread_and_move_little():
    names = [f"n{n}" for n in range(20)]
    before = [holders(s, names, 3) for s in range(SLOTS)]
    count = [sum(name in held for held in before) for name in names]
    assert max(count) < 1.35 * min(count)
    after = [holders(s, names[1:], 3) for s in range(SLOTS)]
    for old, new in zip(before, after, strict=True):
        assert len(set(new) - set(old)) == ("n0" in old)
        assert [n for n in old if n != "n0"] == list(new[: len(old) - ("n0" in old)])


# ---- views ----


def test_router_that_restarted_grants_nothing_for_two_leases():
    views = ViewProtocol("a", 2, ["a", "b", "c"], EPOCH)
    assert views.adopt(EPOCH * 2, View(5, "b", {"a": 2, "b": 1}))
    soon, later = EPOCH + 2 * LEASE, int(EPOCH + 2 * LEASE * (1 + DRIFT)) + 1
    assert not views.answer_heartbeat(soon, ViewId(5, "b"), 0, 0).given
    assert not views.answer_request(soon, ViewId(6, "b")).given
    assert views.answer_heartbeat(later, ViewId(5, "b"), 0, 0).given
    assert views.answer_request(later, ViewId(6, "b")).given


def test_what_was_promised_to_a_later_view_is_granted_to_no_earlier_one():
    now = EPOCH + 3 * LEASE
    views = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH)
    views.adopt(EPOCH * 2, View(5, "b", {"a": 1, "b": 1}))
    assert views.answer_heartbeat(now, ViewId(5, "b"), 0, 0).given
    assert views.answer_request(now, ViewId(7, "c")).given
    assert not views.answer_heartbeat(now, ViewId(5, "b"), 0, 0).given
    assert not views.answer_request(now, ViewId(6, "b")).given
    assert not views.adopt(EPOCH * 2, View(6, "b", {"a": 1, "b": 1}))
    assert views.adopt(EPOCH * 2, View(7, "c", {"a": 1, "c": 1}))


def test_lease_is_counted_from_before_it_was_granted():
    views = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH)
    views.adopt(EPOCH * 2, View(5, "b", {"a": 1, "b": 1}))
    views.extend_lease(EPOCH, ViewId(5, "b"), EPOCH, LEASE // 2)
    assert views.in_force(EPOCH + LEASE // 2 - 1) and not views.in_force(EPOCH + LEASE // 2)
    views.extend_lease(EPOCH, ViewId(5, "b"), EPOCH, 100 * LEASE)
    assert not views.in_force(EPOCH + LEASE)
    views.extend_lease(EPOCH + LEASE, ViewId(4, "b"), EPOCH + LEASE, LEASE)
    views.extend_lease(EPOCH + LEASE, ViewId(5, "b"), EPOCH + 9 * LEASE, LEASE)
    assert not views.in_force(EPOCH + LEASE)


def test_view_without_its_speaker_or_most_of_the_named_is_none():
    views = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH)
    for members in ({}, {"b": 1}, {"a": 1, "c": 1}):
        assert not views.adopt(EPOCH, View(5, "b", members))
    assert views.adopt(EPOCH, View(5, "b", {"a": 1, "b": 1}))


def test_number_far_ahead_of_the_clock_ends_no_views():
    views, far = ViewProtocol("a", 1, ["a", "b", "c"], EPOCH), EPOCH // 10 + 2 * MAX_NUMBER_AHEAD
    now = EPOCH + 3 * LEASE
    assert not views.answer_request(now, ViewId(far, "b")).given
    assert not views.adopt(now, View(far, "b", {"a": 1, "b": 1}))
    assert not views.answer_heartbeat(now, ViewId(far, "b"), now, 0).given
    assert views.answer_request(now, ViewId(EPOCH // 10, "b")).given


def speaker(remembering: str, answers: str = "abcde") -> tuple[ViewProtocol, View | None, int]:
    """One of five that has asked for a view, what comes of the answers, and after how many."""
    living = dict.fromkeys("abcde", 1)
    views, now = ViewProtocol("a", 1, living, EPOCH), EPOCH + 3 * LEASE
    views.next_action(now, living)
    assert views.next_action(now + SETTLE_TIME, living) is ProposerAction.REQUEST_PROMISES
    old = View(5, "e", living, 1)
    for n, name in enumerate(answers, 1):
        granter = ViewProtocol(name, 1, living, EPOCH)
        if name in remembering:
            granter.adopt(EPOCH * 2, old)
            granter.answer_heartbeat(now, ViewId(5, "e"), 0, 0)
        if views.take_promise(
            now + SETTLE_TIME, name, granter.answer_request(now + SETTLE_TIME, views.requesting), living, 2
        ):
            return views, views.proposed, n
    return views, None, len(answers)


def test_view_goes_on_from_the_last_only_where_most_remember():
    _, view, after = speaker("abc")
    assert (view.predecessor, view.predecessor_copies, view.copies, after) == (ViewId(5, "e"), 1, 2, 3)
    assert view.predecessor_members.keys() == set("abcde") and view.number > 5 and not view.is_first
    _, view, after = speaker("ab")
    assert view.predecessor is None and not view.is_first and after == 5
    _, view, after = speaker("")
    assert view.predecessor is None and view.is_first and after == 5


def test_answers_of_those_that_restarted_do_not_hide_those_that_remember():
    _, view, after = speaker("cde", "abcde")
    assert view.predecessor == ViewId(5, "e") and after == 5
    views, view, _ = speaker("cd", "abcd")
    assert view is None and views.requesting  # the fifth may remember: it is asked again
    for _ in range(MAX_ATTEMPTS):
        views.next_action(views.requested_at + HEARTBEAT_INTERVAL + 1, dict.fromkeys("abcde", 1))
    assert views.attempts >= MAX_ATTEMPTS


def test_view_that_was_not_in_force_for_a_lease_is_dropped():
    views, view, _ = speaker("abc")
    now, living = views.proposed_at, dict.fromkeys("abcde", 1)
    for name in "abc":
        granter = ViewProtocol(name, 1, living, EPOCH)
        granter.adopt(EPOCH * 2, view)
        views.take_grant(now, name, granter.answer_heartbeat(now, view.id, now, 0))
    assert 0 < views.lease_remaining(now) < LEASE and views.lease_remaining(now + LEASE) == 0
    assert views.next_action(now + LEASE, living) is ProposerAction.SEND_HEARTBEATS
    assert (
        views.next_action(now + 2 * LEASE, living) is ProposerAction.REQUEST_PROMISES
        and views.proposed is None
    )


def test_view_that_goes_on_is_told_by_what_changed_and_whole_to_who_lacks_that():
    net = net_of(copies=1)
    net.cut(["n3"], ["n0", "n1", "n2", "n4"])
    net.advance(12)
    net.kill("n4")  # a second view that n3 misses
    net.advance(12)
    told = []
    for replica in net.replicas.values():
        receive = replica.receive
        replica.receive = lambda now, sender, message, receive=receive, to=replica.name: (
            told.append((to, type(message))),
            receive(now, sender, message),
        )
    net.mend()
    assert net.settled()
    assert ("n1", messages.ViewUpdate) in told and ("n1", messages.ViewAnnouncement) not in told
    assert ("n3", messages.ViewAnnouncement) in told
    views = [k.views.view for k in net.replicas.values()]
    assert all(view == views[0] for view in views) and len(views[0].members) == 4 > len(
        views[0].predecessor_members
    )


def test_fewer_than_half_never_speak():
    living = {"a": 1, "b": 1}
    views = ViewProtocol("a", 1, "abcde", EPOCH)
    assert views.next_action(EPOCH, living) is ProposerAction.NOTHING
    assert views.next_action(EPOCH + 9 * LEASE, living) is ProposerAction.NOTHING
    assert majority_of(5) == 3 and majority_of(4) == 3 and NO_VIEW.id == ViewId(0, "")


# ---- messages ----


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_whatever_comes_is_read_or_dropped(data):
    with cpu_limit():
        try:
            codec.decode(data, "n1")
        except InvalidDatagramError as fault:
            assert fault.location == "n1"


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


# ---- several holders ----


def net_of(count=5, copies=1, seed=1, policy=KEEPS, **faults) -> HistoryNet:
    net = HistoryNet(seed, count, founded(copies=copies, default=policy), **faults)
    assert net.settled()
    return net


def key_held_by(net: HistoryNet, name: str) -> str:
    """A key whose first holder is this router."""
    (members,) = {tuple(k.views.view.members) for k in net.replicas.values()}
    keys = (f"k{n}" for n in range(10_000))
    return next(k for k in keys if holders(slot_of("", k), members, 1) == (name,))


def asked(net: HistoryNet, name: str, token: str, key: str) -> str:
    """What becomes of a query that arrives there."""
    before = net.said.copy()
    net.ask(name, token, key)
    net.advance(5)
    (said,) = [v.name for v in ClaimDecision if net.said[v.name] > before[v.name]] or ["NONE"]
    return said


def test_resend_is_answered_on_whichever_router_it_arrives():
    net = net_of(loss=0.05, twice=0.05)
    assert asked(net, "n0", "t", "k") == "RUN"
    assert [asked(net, name, "t", "k") for name in net.names] == ["REPLAY"] * 5
    assert len(net.runs["t"]) == 1 and not net.rule


def test_record_outlives_its_first_holder_and_is_copied_again():
    net = net_of(copies=1)
    key = key_held_by(net, "n2")
    assert asked(net, "n0", "t", key) == "RUN"
    for name in ("n2", "n4"):
        first = net.held("t")
        net.kill(first[0])
        assert net.settled()
        assert len(net.held("t")) == 2, name
    assert asked(net, next(iter(net.replicas)), "t", key) == "REPLAY"
    assert not net.rule


def test_query_whose_holders_all_died_is_deferred_until_its_least_time_is_over():
    net = net_of(copies=0)
    key = key_held_by(net, "n2")
    assert asked(net, "n0", "t", key) == "RUN"
    net.kill("n2")
    assert net.settled()
    assert asked(net, "n0", "t", key) == "REJECT"
    net.advance(30)
    assert asked(net, "n0", "t", key) == "RUN"  # twenty seconds: the policy's least time
    assert not net.rule


def test_holder_that_lives_is_waited_for_and_one_that_died_is_not():
    net = net_of(copies=0)
    keys = ((f"k{n}", holders(slot_of("", f"k{n}"), net.names, 2)) for n in range(1000))
    key, (_, other) = next((k, held) for k, held in keys if held[0] == "n4" and held[1] != "n0")
    assert asked(net, "n0", "t", key) == "RUN"
    net.cuts |= {("n4", other), (other, "n4")}  # who is to fetch does not reach it, and takes it for alive
    net.leave("n4")
    net.seen[other]["n4"] = net.lives["n4"]
    net.advance(15)
    assert net.replicas[other].slots.wanted and asked(net, "n1", "t", key) == "REJECT"
    net.cuts.clear()
    net.advance(3)
    assert not net.replicas[other].slots.wanted and asked(net, "n1", "t", key) == "REPLAY"


def test_run_whose_router_died_runs_nowhere_else():
    net = net_of(copies=1, policy=msgspec.structs.replace(KEEPS, least_ms=90_000, most_ms=900_000))
    net.ask("n4", "t", key_held_by(net, "n0"))
    while not net.runs["t"]:
        net.advance(0.05)
    net.kill("n4")
    key = next(about for about in net.keys)
    assert asked(net, "n1", "t", key) == "REJECT"
    net.advance(COMPLETION_GRACE / SECOND + 10)
    assert asked(net, "n1", "t", key) == "FAIL"
    assert len(net.runs["t"]) == 1


def test_side_of_a_cut_with_fewer_than_half_neither_answers_nor_runs():
    net = net_of(copies=0, policy=msgspec.structs.replace(KEEPS, least_ms=5_000))
    key = key_held_by(net, "n4")
    assert asked(net, "n4", "t", key) == "RUN"
    net.cut(["n3", "n4"], ["n0", "n1", "n2"])
    net.advance(20)
    assert asked(net, "n4", "t", key) == "REJECT"
    assert asked(net, "n0", "new", key) == "RUN"  # its least time is over for what may have been lost
    assert asked(net, "n4", "new", key) == "REJECT"
    net.mend()
    assert net.settled()
    assert asked(net, "n4", "new", key) == "REPLAY"
    assert not net.rule


def test_record_that_has_not_reached_every_holder_starts_nothing():
    net = net_of(copies=1)
    key = key_held_by(net, "n2")
    second = holders(slot_of("", key), net.names, 2)[1]
    net.cuts |= {("n2", second), (second, "n2")}  # nobody has noticed yet
    net.ask("n2", "t", key)
    net.advance(0.8)
    assert not net.runs["t"]
    net.kill("n2")
    net.mend()
    assert net.settled()
    net.ask("n0", "t", key)
    net.advance(5)
    assert len(net.runs["t"]) == 1 and not net.rule


def test_most_restarting_at_once_lose_what_they_had_and_say_so():
    """The one that lived on has an older history of the slot; nobody else remembers that it is older."""
    net = net_of(copies=0)
    key = key_held_by(net, "n4")
    net.cut(["n4"], ["n0", "n1", "n2", "n3"])
    net.advance(15)
    net.advance(25)  # past the least time of what n4 may have had
    assert asked(net, "n0", "t", key) == "RUN"
    for name in ("n0", "n1", "n2", "n3"):
        net.kill(name)
    net.mend()
    for name in ("n0", "n1", "n2", "n3"):
        net.start(name)
    assert net.settled()
    assert asked(net, "n0", "t", key) == "REJECT"
    assert not net.rule


def test_key_keeps_the_order_of_its_history_over_routers():
    net = net_of(copies=1, never=0.2)
    for n in range(12):
        net.ask(net.names[n % 5], f"t{n}", "k")
    net.advance(8)
    assert net.said["RUN"] >= 4 and not net.rule
    places = (
        sorted(k.record.sequence for k in net.replicas[net.held("t0")[0]].records.all_records())
        if net.held("t0")
        else []
    )
    assert len(places) == len(set(places))


def test_queries_of_one_key_at_one_router_run_in_the_order_in_which_they_came():
    net = net_of(copies=1, loss=0.1, twice=0.1)
    for n in range(8):
        net.ask("n1", f"t{n}", "k", 20 * SECOND)
    net.advance(20)
    began = [net.runs[f"t{n}"][0][0] for n in range(8) if net.runs[f"t{n}"]]
    assert len(began) >= 6 and began == sorted(began) and not net.rule


def test_run_that_its_router_knows_nothing_of_is_ended():
    """Its round was broken off after the claim was given up: nobody else would end it."""
    net = net_of(copies=1)
    key = key_held_by(net, "n2")
    held = holders(slot_of("", key), net.names, 2)
    lost = record(
        "lost",
        RecordState.RUNNING,
        key=key,
        router="n1",
        incarnation=net.lives["n1"],
        claim_number=99,
        taken=net.now,
        rows=None,
    )
    for name in held:
        net.replicas[name].records.put(lost, net.now, 0, net.policies)
    net.ask("n0", "t", key)
    net.advance(1)
    assert not net.runs["t"]
    net.advance(LEASE / SECOND + 3)
    states = {
        k.record.state
        for name in held
        for k in net.replicas[name].records.all_records()
        if k.record.idempotency_key == "lost"
    }
    assert states == {RecordState.NOT_RUN}
    assert asked(net, "n3", "t", key) in ("RUN", "REPLAY") and not net.rule


def test_forget_holds_over_a_cut_and_a_return():
    net = net_of(copies=2)
    assert asked(net, "n0", "t", "k") == "RUN"
    kept_by = net.held("t")
    assert len(kept_by) == 3
    away = kept_by[-1]
    net.cut([away], [n for n in net.names if n != away])
    net.advance(5)
    net.forget(next(n for n in kept_by if n != away))
    net.advance(LEASE / SECOND + 3)
    assert net.held("t") == [away]  # it can't know; it answers nothing either
    assert asked(net, away, "t", "k") == "REJECT"
    net.mend()
    assert net.settled()
    assert net.held("t") == []
    assert asked(net, away, "t", "k") == "RUN"
    assert not net.rule


def test_hold_keeps_what_a_forget_names_until_it_ends():
    held = msgspec.structs.replace(KEEPS, hold=True)
    net = net_of(copies=1, policy=held)
    assert asked(net, "n0", "t", "k") == "RUN"
    net.forget("n1")
    net.advance(5)
    assert len(net.held("t")) == 2
    net.policies = msgspec.structs.replace(net.policies, number=9, default=KEEPS)
    net.replicas["n1"].apply_policies(net.clock("n1"), net.policies)
    net.advance(5)
    assert net.held("t") == []


def test_forget_reaches_holders_of_whom_fewer_than_half_are_left():
    net = net_of()
    assert asked(net, "n0", "t", "k") == "RUN"
    net.advance(3)
    held = net.held("t")
    assert len(held) == 2
    for name in [name for name in net.names if name not in held]:
        net.kill(name)
    net.advance(8)  # no view can be in force any more
    net.forget(held[0])
    net.advance(2 * 2 + 2)
    assert not net.held("t")


def test_holder_that_has_not_the_last_policies_answers_nothing_and_is_named():
    net = net_of(copies=0)
    key = key_held_by(net, "n2")
    assert asked(net, "n0", "t", key) == "RUN"
    replica = net.replicas["n2"]
    replica.policy_distribution.apply = lambda policies: False  # it does not take the new one up
    net.forget("n0")
    net.advance(5)
    assert asked(net, "n0", "t", key) == "REJECT"
    (late,) = net.replicas["n0"].outdated_routers()
    assert late.location == "n2" and "policies 1, not 2" in str(late)


def test_paused_holder_does_not_answer_from_a_lease_that_is_over():
    net = net_of(copies=0, policy=msgspec.structs.replace(KEEPS, least_ms=5_000))
    key = key_held_by(net, "n2")
    net.stop("n2")
    net.advance(20)
    assert asked(net, "n0", "t", key) == "RUN"
    net.go_on("n2")
    net.ask("n2", "t", key)
    net.advance(0.3)
    assert len(net.runs["t"]) == 1
    net.advance(5)
    assert not net.rule


def test_clocks_apart_change_no_keep_time():
    net = HistoryNet(4, 5, founded(copies=1, default=KEEPS))
    for n, name in enumerate(net.names):
        net.offset[name] = n * 20 * SECOND
        net.kill(name)
        net.start(name)
    assert net.settled(60)
    assert asked(net, "n0", "t", "k") == "RUN"
    net.kill(net.held("t")[0])
    assert net.settled()
    assert asked(net, next(iter(net.replicas)), "t", "k") == "REPLAY"
    net.advance(KEEPS.most_ms / 1000 + 1)
    assert net.held("t") == []


@pytest.mark.parametrize("name", ["n0", "n2"])  # the first by name calls the views, too
def test_router_that_leaves_hands_over_what_it_alone_has(name):
    net = net_of(copies=0)
    key = key_held_by(net, name)
    assert asked(net, "n1", "t", key) == "RUN"
    replica, views = net.replicas[name], net.replicas["n1"].counters["views"]
    assert not replica.is_handed_over
    net.leave(name)
    net.advance(12)
    assert replica.is_handed_over and net.replicas["n1"].counters["views"] == views + 1
    net.kill(name)
    assert net.settled()
    assert asked(net, "n3", "t", key) == "REPLAY"


@pytest.mark.parametrize("seed", range(1, 9))
def test_storm_breaks_no_rule(seed):
    policy = msgspec.structs.replace(KEEPS, least_ms=8_000)
    net = net_of(6, seed % 3, seed, policy, loss=0.05, twice=0.05, never=0.05)
    assert storm(net, seed, 90, forgets=seed % 2 == 0)
    assert net.said["RUN"] > 30 and net.said["REPLAY"] > 10
    assert not net.rule


def test_messages_of_a_router_that_knows_no_view_harm_nobody():
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
