"""Slot handover and query forwarding over a faulty network, in simulated time."""

import msgspec
import pytest

from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.records import COMPLETION_GRACE
from hillchute.history.retention import RetentionPolicy
from hillchute.history.slot_placement import holders, slot_of
from hillchute.lab.partners_net import (
    SECOND,
    PartnersNet,
    initial_policies,
    move_slots_under_load,
    run_random_faults,
)
from hillchute.partners import forwarding, handover
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.forwarding import KEPT_AFTER_DEADLINE, RETRANSMIT_AFTER, QueryForwarder
from hillchute.partners.messages import (
    ForwardAccepted,
    ForwardCancel,
    ForwardOutcome,
    ForwardQuery,
    ForwardResult,
    ForwardResultAck,
    LedgerEntries,
)
from hillchute.partners.negotiation import AgreementProtocol
from hillchute.partners.signatures import Signature
from hillchute.partners.slot_ownership import SlotOwnership

POLICY = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)


def net_of(count=6, seed=1, copies=1, **faults) -> PartnersNet:
    net = PartnersNet(seed, count, initial_policies(copies=copies, default=POLICY), **faults)
    net.make_offers()
    assert net.wait_until_settled() and net.wait_until_agreed()
    return net


def key_of(net, partner, avoid=()):
    """Returns a key whose slot a partner owns, and whose first holder is none of `avoid`."""
    owners, view = net.owners(), next(iter(net.replicas.values())).views.view
    keys = (f"k{n}" for n in range(5000))
    for key in keys:
        slot = slot_of("", key)
        if owners[slot] == partner and holders(slot, view.members, 1)[0] not in avoid:
            return key
    raise AssertionError(partner)


def assert_no_violations(net):
    assert not +net.broken_rules and not net.unanswered()


def test_owner_runs_queries_and_others_forward_them_with_one_answer_each():
    net = net_of()
    key = key_of(net, "a")
    net.ask("n0", "t0", key)
    net.advance(3)
    assert net.verdict_counts["RUN: new"] == 1 and not net.forwarding_counts["forwarded"]
    net.ask("n1", "t1", key)
    net.advance(3)
    assert (
        net.forwarding_counts["forwarded"] == net.forwarding_counts["arrived"] == 1
        and net.verdict_counts["RUN: new"] == 2
    )
    assert net.verdict_counts["answered finished"] == 2
    assert {partner for _, _, partner in net.coordinated_runs[key]} == {"a"}
    assert_no_violations(net)


def test_query_that_is_lost_in_transit_is_not_overtaken_by_the_next_of_its_key():
    net, lost = net_of(), []
    key, send = key_of(net, "a"), net.send

    def lose_first_query(sender, receiver, message):
        if isinstance(message, ForwardQuery) and not lost:
            lost.append(message.query_id)
        else:
            send(sender, receiver, message)

    net.send = lose_first_query
    net.ask("n1", "t0", key)
    net.ask("n1", "t1", key)
    net.advance(6)
    assert lost == ["t0"] and net.runs["t0"][0][1] <= net.runs["t1"][0][0]
    assert_no_violations(net)


def test_resent_query_is_answered_at_any_router_without_being_forwarded():
    net = net_of()
    key = key_of(net, "a")
    net.ask("n0", "t0", key)
    net.advance(3)
    net.ask("n2", "t0", key)
    net.advance(2)
    assert net.verdict_counts["REPLAY: finished before"] == 1 and not net.forwarding_counts["forwarded"]
    assert_no_violations(net)


def test_mutating_query_runs_at_its_table_groups_owner_and_is_recorded_only_while_in_flight():
    net = net_of()
    for tables in range(9):
        net.ask_mutating("n0", tables)
    net.advance(4)
    assert (
        net.verdict_counts["answered finished"] + net.verdict_counts["answered killed"] == 9
        and net.forwarding_counts["forwarded"]
    )
    assert any(
        k.record.is_transient for replica in net.replicas.values() for k in replica.records.all_records()
    )
    net.advance((COMPLETION_GRACE + 6 * SECOND) / SECOND)
    assert not any(
        k.record.is_transient for replica in net.replicas.values() for k in replica.records.all_records()
    )
    assert_no_violations(net)


def test_new_agreement_moves_leases_and_new_owner_waits_for_queries_in_flight():
    net = net_of(copies=2)
    before = net.owners()
    net.offer("a", 8000)
    assert net.wait_until_agreed()
    after = net.owners()
    moved = [slot for slot in range(1024) if before[slot] != after[slot]]
    assert moved and all(after[slot] == "a" for slot in moved)
    # Back to equal shares, with queries of a's routers in flight in a slot that moves.
    rng = net.random
    net.offer("a", 3333)
    key = next(key for n in range(9999) if slot_of("", key := f"k{n}") in moved)
    slot = slot_of("", key)
    while net.owners()[slot] == "a":
        for n in range(3):
            net.ask(rng.choice(net.names), f"{net.now}{n}", key)
        net.advance(0.3)
    for n in range(6):
        net.ask(rng.choice(net.names), f"after{n}", key)
        net.advance(1)
    assert {partner for _, _, partner in net.coordinated_runs[key]} >= {"a"} and len(
        net.coordinated_runs[key]
    ) >= 3
    assert len({partner for _, _, partner in net.coordinated_runs[key]}) == 2
    assert_no_violations(net)


def test_query_of_a_dead_router_blocks_its_key_until_it_cannot_be_in_flight():
    net = net_of()
    net.offer("a", 8000)
    net.offer("b", 1000)
    net.offer("c", 1000)
    assert net.wait_until_agreed()
    before = net.owners()
    key = key_of(net, "a", avoid=("n0", "n3"))
    claim = net.claim("n0", "t0", key, 4 * SECOND)  # is granted before its router dies
    net.post("n0")
    while not any(
        k.record.idempotency_key == "t0"
        for replica in net.replicas.values()
        for k in replica.records.all_records()
    ):
        net.play(0.05)
    died_at, slot = net.now, slot_of("", key)
    net.kill("n0")
    assert claim not in net.open_claims
    net.start("n0")
    net.offers.clear()  # revisions start again below, so all routers must forget the earlier offers
    net.offer("a", 500, 0, 600)
    for protocol in net.protocols.values():
        protocol.ledger.offers.clear()
    net.offers["a"] = msgspec.structs.replace(net.offers["a"], revision=9)
    net.publish_offer("n0", net.offers["a"])
    for partner in "bc":
        net.offers[partner] = msgspec.structs.replace(
            net.offers["a"], partner=partner, maximum_share=8000, desired_share=5000
        )
        net.publish_offer(net.partners[partner][0], net.offers[partner])
    assert net.wait_until_settled() and net.wait_until_agreed()
    assert before[slot] == "a" != net.owners()[slot]
    other = next(n for n in net.names if net.partner_of[n] == net.owners()[slot])
    net.ask(other, "t1", key)
    net.advance(6)
    assert not net.runs["t1"] and net.now < died_at + COMPLETION_GRACE
    net.play((died_at + COMPLETION_GRACE + 5 * SECOND - net.now) / SECOND)
    net.ask(other, "t2", key)
    net.advance(4)
    assert net.runs["t2"]
    assert_no_violations(net)


def test_first_holder_that_dies_while_a_lease_moves_leaves_one_lease():
    net = net_of(copies=2)
    net.offer("a", 8000)
    while not any(replica.leases.transfers for replica in net.replicas.values()):
        net.play(0.05)
    mover = next(name for name, replica in net.replicas.items() if replica.leases.transfers)
    net.kill(mover)
    net.play(10)
    for n in range(40):
        net.ask(net.random.choice([n for n in net.names if n != mover]), f"t{n}", f"k{n % 9}")
        net.advance(0.2)
    net.start(mover)
    assert net.wait_until_settled() and net.wait_until_agreed()
    assert_no_violations(net)


def test_minority_side_of_a_partition_runs_nothing():
    net = net_of()
    net.cut(["n0", "n3"], ["n1", "n2", "n4", "n5"])  # both routers of partner a
    net.advance(12)
    for n in range(5):
        net.ask("n0", f"t{n}", key := f"k{n}")
        net.ask_mutating("n3", n)
    net.advance(6)
    assert not net.runs and net.verdict_counts["answered deferred"] == 10
    assert key
    assert_no_violations(net)


def test_queries_are_rejected_and_run_nowhere_when_all_routers_of_the_owner_are_dead():
    net = net_of()
    key = key_of(net, "a", avoid=("n0", "n3"))
    net.kill("n0")
    net.kill("n3")
    net.advance(15)
    net.ask("n1", "t0", key)
    net.advance(5)
    assert not net.runs and net.verdict_counts["answered deferred"] == 1
    assert_no_violations(net)


def test_stalled_router_of_the_old_owner_sends_nothing_when_it_resumes():
    """The router stalls after its claim was granted; when it resumes, the query is past its deadline."""
    net = net_of()
    key = key_of(net, "a", avoid=("n0",))
    net.ask("n0", "t0", key)
    net.suspend("n0")
    net.advance(3)
    net.offer("a", 500, 0, 600)
    net.offer("b", 7000)
    net.advance(20)
    net.resume("n0")
    net.advance(5)
    assert not net.runs["t0"]  # its claim is past the deadline; the reducer also checks that
    assert net.wait_until_settled() and net.wait_until_agreed()
    assert_no_violations(net)


def test_without_an_agreement_no_query_runs():
    net = PartnersNet(1, 6, initial_policies(copies=1, default=POLICY))
    assert net.wait_until_settled()
    net.ask("n0", "t0", "k0")
    net.advance(5)
    assert not net.runs and net.verdict_counts["answered deferred"] == 1
    net.make_offers()
    assert net.wait_until_agreed()
    net.ask("n0", "t1", "k0")
    net.advance(4)
    assert net.runs["t1"]
    assert_no_violations(net)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_violate_no_rule(seed):
    net = net_of(seed=seed, loss_rate=0.05, duplicate_rate=0.05, not_sent_rate=0.05)
    assert run_random_faults(net, seed, 45)
    assert net.forwarding_counts["forwarded"] and len(net.runs) > 10
    assert_no_violations(net)


# ---- QueryForwarder ----


def forwarder_pair():
    """Returns the forwarders of two routers, and the set of incarnations that have ended."""
    ended: set[tuple[str, int]] = set()
    live = {"r": 1, "s": 2}
    is_over = lambda name, incarnation: (name, incarnation) in ended  # noqa: E731
    return QueryForwarder("r", 1, lambda: live, is_over), QueryForwarder("s", 2, lambda: live, is_over), ended


QUERY = ForwardQuery(0, 0, 0, "id", "g", b"s", "t", None, 0.0, "k", "", 0)


def deliver(sender, receiver, now=0, limit=99):
    messages, sender.outbox = sender.outbox, []
    for _, message in messages[:limit]:
        receiver.receive(now, sender.router, message)


def test_repeated_messages_give_one_arrival_and_one_completion():
    r, s, _ = forwarder_pair()
    number = r.forward(0, "s", QUERY, 10 * SECOND)
    for _ in range(3):
        r.transmit_query(0, r.outgoing[number])
    deliver(r, s)
    assert len(s.arrivals) == 1 and s.arrivals[0][1].time_left == 10 * SECOND
    session = s.arrivals[0][0]
    s.answer(0, session, ForwardOutcome.SERVED, "", b"rows")
    s.answer(0, session, ForwardOutcome.FAILED, "", None)
    for _ in range(3):
        s.transmit_result(0, s.by_session[session], s.by_session[session].result)
    deliver(s, r)
    assert r.completions == [(number, ForwardOutcome.SERVED, "", b"rows")]
    deliver(r, s)
    assert s.by_session[session].closed and not s.outbox


def test_lost_result_is_retransmitted_and_a_late_query_message_starts_nothing():
    r, s, _ = forwarder_pair()
    r.forward(0, "s", QUERY, 10 * SECOND)
    query_message = r.outbox[0][1]
    deliver(r, s)
    s.answer(0, s.arrivals[0][0], ForwardOutcome.REJECTED, "full")
    s.outbox.clear()  # lost
    s.tick(8 * RETRANSMIT_AFTER)
    deliver(s, r)
    assert [outcome for _, outcome, _, _ in r.completions] == ["deferred"]
    s.receive(KEPT_AFTER_DEADLINE, "r", query_message)
    assert len(s.arrivals) == 1
    s.tick(10 * SECOND + KEPT_AFTER_DEADLINE + 1)
    assert not s.incoming and not s.by_session


def test_unacknowledged_result_is_eventually_dropped():
    r, s, _ = forwarder_pair()
    r.forward(0, "s", QUERY, SECOND)
    deliver(r, s)
    s.answer(0, s.arrivals[0][0], ForwardOutcome.SERVED, "", b"rows")
    assert s.has_unacknowledged_results
    for now in range(0, 4 * SECOND, RETRANSMIT_AFTER):
        s.tick(now)
    assert not s.has_unacknowledged_results and len(s.outbox) < 12
    s.outbox.clear()
    s.tick(5 * SECOND)
    assert not s.outbox and s.incoming


def test_query_for_an_ended_incarnation_is_not_accepted_by_the_next():
    r, s, ended = forwarder_pair()
    number = r.forward(0, "s", QUERY, 10 * SECOND)
    restarted = QueryForwarder("s", 3, s.live_routers, s.is_over)
    deliver(r, restarted)
    assert not restarted.arrivals
    ended.add(("s", 2))
    r.tick(RETRANSMIT_AFTER)
    assert r.completions == [(number, "killed", "its owner's router is gone; it may have run", None)]


def test_query_without_a_result_fails_at_its_deadline_and_is_cancelled():
    r, s, _ = forwarder_pair()
    number = r.forward(0, "s", QUERY, SECOND)
    deliver(r, s)
    r.tick(SECOND)
    assert [(n, outcome) for n, outcome, _, _ in r.completions] == [(number, "killed")]
    assert any(isinstance(message, ForwardCancel) for _, message in r.outbox)
    deliver(r, s)
    assert s.abandoned == [s.arrivals[0][0]]
    s.answer(SECOND, s.arrivals[0][0], ForwardOutcome.SERVED, "", b"")
    assert not any(isinstance(message, ForwardResult) for _, message in s.outbox)


def test_departed_client_cancels_its_query():
    r, s, _ = forwarder_pair()
    number = r.forward(0, "s", QUERY, SECOND)
    deliver(r, s)
    r.cancel(number)
    deliver(r, s)
    assert s.abandoned and not r.outgoing
    r.receive(0, "s", ForwardResult(number, 1, ForwardOutcome.SERVED, "", b""))
    assert not r.completions and any(isinstance(message, ForwardResultAck) for _, message in r.outbox)


def test_messages_of_a_third_router_are_ignored():
    r, s, _ = forwarder_pair()
    number = r.forward(0, "s", QUERY, SECOND)
    for message in (ForwardAccepted(number, 1), ForwardResult(number, 1, ForwardOutcome.SERVED, "", b"")):
        r.receive(0, "x", message)
    assert not r.outgoing[number].accepted and not r.completions
    deliver(r, s)
    s.receive(0, "x", ForwardCancel(number, 1))
    assert not s.abandoned


def test_result_that_is_too_long_to_forward_fails_with_a_reason():
    r, s, _ = forwarder_pair()
    r.forward(0, "s", QUERY, SECOND)
    deliver(r, s)
    s.answer(0, s.arrivals[0][0], ForwardOutcome.SERVED, "", b"x" * (forwarding.MAX_RESULT_BYTES + 1))
    deliver(s, r)
    (_, outcome, reason, rows) = r.completions[0]
    assert outcome == "killed" and "bytes" in reason and rows is None


def test_alternating_agreements_under_load_violate_no_rule():
    net = net_of(loss_rate=0.05, duplicate_rate=0.05)
    assert move_slots_under_load(net, 1)
    assert net.forwarding_counts["arrived"] > 200 and len(net.runs) > 200
    assert_no_violations(net)


# ---- planted faults ----

GRANT_REFUSAL, COMPLETE = handover.grant_refusal, QueryForwarder.complete


def grant_to_any_partner(lease, partner, in_force, is_earlier_running):
    refusal = GRANT_REFUSAL(lease, partner, in_force, is_earlier_running)
    return None if refusal and refusal[0] is ClaimDecision.FORWARD else refusal


def reject_failed(self, number, outcome, reason, rows=None):
    COMPLETE(self, number, ForwardOutcome.REJECTED if outcome == "killed" else outcome, reason, rows)


def drop_failed(self, number, outcome, reason, rows=None):
    if outcome == "killed":
        del self.outgoing[number]
    else:
        COMPLETE(self, number, outcome, reason, rows)


PLANTED = {
    "queries in flight are not waited for": (LeaseTransfers, "is_earlier_running", lambda self, *args: False),
    "any partner's queries are granted": (handover, "grant_refusal", grant_to_any_partner),
    "failed queries are reported as rejected": (QueryForwarder, "complete", reject_failed),
    "failed queries are not answered": (QueryForwarder, "complete", drop_failed),
    "leases are never moved": (
        handover,
        "next_lease",
        lambda lease, owner, now: lease or OwnershipLease(1, owner),
    ),
    "ledger entries are not sent": (
        AgreementProtocol,
        "ledger_entries",
        lambda self, reply_wanted: LedgerEntries((), (), (), (), (), reply_wanted),
    ),
    "announcements are ignored": (SlotOwnership, "on_announcement", lambda self, now, number: None),
    "signatures are on another digest": (
        AgreementSigner,
        "sign_agreement",
        lambda self, agreement, own: Signature(
            self.partner, agreement.number, bytes(32), self.sign(bytes(32))
        ),
    ),
    "slots get no owners": (SlotOwnership, "update_owners", lambda self, now: None),
}


@pytest.mark.parametrize("description", PLANTED)
def test_planted_fault_is_detected(description, monkeypatch):
    owner, name, fault = PLANTED[description]
    monkeypatch.setattr(owner, name, fault)
    net = PartnersNet(1, 6, initial_policies(copies=1, default=POLICY), loss_rate=0.05, duplicate_rate=0.05)
    net.make_offers()
    settled = net.wait_until_settled() and net.wait_until_agreed(20) and move_slots_under_load(net, 1, 3)
    assert not settled or +net.broken_rules or net.unanswered()


def test_records_have_the_number_of_their_lease():
    net = net_of()
    key = key_of(net, "b")
    net.ask("n1", "t0", key)
    net.play(0.3)
    leases = {replica.slots.slots[slot_of("", key)].lease for replica in net.replicas.values()} - {None}
    recorded = {
        retained.record.lease_number
        for replica in net.replicas.values()
        for retained in replica.records.all_records()
    }
    assert recorded == {lease.number for lease in leases} and len(recorded) == 1
