"""Slots that change hands, and queries that are passed on, over a network that fails: simulated time."""

import msgspec
import pytest

from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.records import COMPLETION_GRACE
from hillchute.history.retention import RetentionPolicy
from hillchute.history.slot_placement import holders, slot_of
from hillchute.lab.partners_net import SECOND, PartnersNet, founded, rush, storm
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
    Knowledge,
)
from hillchute.partners.negotiation import AgreementProtocol
from hillchute.partners.signatures import Signature
from hillchute.partners.slot_ownership import SlotOwnership

KEEPS = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)


def net_of(count=6, seed=1, copies=1, **faults) -> PartnersNet:
    net = PartnersNet(seed, count, founded(copies=copies, default=KEEPS), **faults)
    net.agree()
    assert net.settled() and net.agreed()
    return net


def key_of(net, partner, avoid=()):
    """A key whose slot is a partner's, first held by none of `avoid`."""
    owners, view = net.owners(), next(iter(net.replicas.values())).views.view
    keys = (f"k{n}" for n in range(5000))
    for key in keys:
        slot = slot_of("", key)
        if owners[slot] == partner and holders(slot, view.members, 1)[0] not in avoid:
            return key
    raise AssertionError(partner)


def clean(net):
    assert not +net.rule and not net.unanswered()


def test_owner_leads_and_others_pass_on_and_each_has_one_answer():
    net = net_of()
    key = key_of(net, "a")
    net.ask("n0", "t0", key)
    net.advance(3)
    assert net.said["RUN: new"] == 1 and not net.hops["forwarded"]
    net.ask("n1", "t1", key)
    net.advance(3)
    assert net.hops["forwarded"] == net.hops["arrived"] == 1 and net.said["RUN: new"] == 2
    assert net.said["answered finished"] == 2
    assert {partner for _, _, partner in net.led[key]} == {"a"}
    clean(net)


def test_first_of_a_key_that_is_lost_on_its_way_is_not_overtaken():
    net, lost = net_of(), []
    key, send = key_of(net, "a"), net.send

    def losing(name, to, message):
        if isinstance(message, ForwardQuery) and not lost:
            lost.append(message.query_id)
        else:
            send(name, to, message)

    net.send = losing
    net.ask("n1", "t0", key)
    net.ask("n1", "t1", key)
    net.advance(6)
    assert lost == ["t0"] and net.runs["t0"][0][1] <= net.runs["t1"][0][0]
    clean(net)


def test_resend_is_answered_wherever_it_arrives_without_being_passed_on():
    net = net_of()
    key = key_of(net, "a")
    net.ask("n0", "t0", key)
    net.advance(3)
    net.ask("n2", "t0", key)
    net.advance(2)
    assert net.said["REPLAY: finished before"] == 1 and not net.hops["forwarded"]
    clean(net)


def test_mutating_query_is_led_by_its_table_groups_owner_and_listed_only_while_it_is_out():
    net = net_of()
    for tables in range(9):
        net.change("n0", tables)
    net.advance(4)
    assert net.said["answered finished"] + net.said["answered killed"] == 9 and net.hops["forwarded"]
    assert any(
        k.record.is_transient for replica in net.replicas.values() for k in replica.records.all_records()
    )
    net.advance((COMPLETION_GRACE + 6 * SECOND) / SECOND)
    assert not any(
        k.record.is_transient for replica in net.replicas.values() for k in replica.records.all_records()
    )
    clean(net)


def test_new_agreement_moves_titles_and_new_owner_waits_for_what_is_out():
    net = net_of(copies=2)
    before = net.owners()
    net.offer("a", 8000)
    assert net.agreed()
    after = net.owners()
    moved = [slot for slot in range(1024) if before[slot] != after[slot]]
    assert moved and all(after[slot] == "a" for slot in moved)
    # Back again, with a run of a's out in a slot that moves.
    chance = net.chance
    net.offer("a", 3333)
    key = next(key for n in range(9999) if slot_of("", key := f"k{n}") in moved)
    slot = slot_of("", key)
    while net.owners()[slot] == "a":
        for n in range(3):
            net.ask(chance.choice(net.names), f"{net.now}{n}", key)
        net.advance(0.3)
    for n in range(6):
        net.ask(chance.choice(net.names), f"after{n}", key)
        net.advance(1)
    assert {partner for _, _, partner in net.led[key]} >= {"a"} and len(net.led[key]) >= 3
    assert len({partner for _, _, partner in net.led[key]}) == 2
    clean(net)


def test_run_of_a_router_that_died_holds_its_slot_until_it_cannot_be_out():
    net = net_of()
    net.offer("a", 8000)
    net.offer("b", 1000)
    net.offer("c", 1000)
    assert net.agreed()
    before = net.owners()
    key = key_of(net, "a", avoid=("n0", "n3"))
    claim = net.claim("n0", "t0", key, 4 * SECOND)  # granted, and then its router dies
    net.post("n0")
    while not any(
        k.record.idempotency_key == "t0"
        for replica in net.replicas.values()
        for k in replica.records.all_records()
    ):
        net.play(0.05)
    died, slot = net.now, slot_of("", key)
    net.kill("n0")
    assert claim not in net.open
    net.start("n0")
    net.offers.clear()  # their turns begin again with this: nobody is to know an earlier one
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
    assert net.settled() and net.agreed()
    assert before[slot] == "a" != net.owners()[slot]
    other = next(n for n in net.names if net.partner_of[n] == net.owners()[slot])
    net.ask(other, "t1", key)
    net.advance(6)
    assert not net.runs["t1"] and net.now < died + COMPLETION_GRACE
    net.play((died + COMPLETION_GRACE + 5 * SECOND - net.now) / SECOND)
    net.ask(other, "t2", key)
    net.advance(4)
    assert net.runs["t2"]
    clean(net)


def test_first_holder_that_dies_while_a_title_moves_leaves_one_title():
    net = net_of(copies=2)
    net.offer("a", 8000)
    while not any(replica.leases.transfers for replica in net.replicas.values()):
        net.play(0.05)
    mover = next(name for name, replica in net.replicas.items() if replica.leases.transfers)
    net.kill(mover)
    net.play(10)
    for n in range(40):
        net.ask(net.chance.choice([n for n in net.names if n != mover]), f"t{n}", f"k{n % 9}")
        net.advance(0.2)
    net.start(mover)
    assert net.settled() and net.agreed()
    clean(net)


def test_side_of_a_cut_without_a_view_leads_nothing():
    net = net_of()
    net.cut(["n0", "n3"], ["n1", "n2", "n4", "n5"])  # all of a's
    net.advance(12)
    for n in range(5):
        net.ask("n0", f"t{n}", key := f"k{n}")
        net.change("n3", n)
    net.advance(6)
    assert not net.runs and net.said["answered deferred"] == 10
    assert key
    clean(net)


def test_owners_routers_all_gone_queries_are_deferred_and_nothing_runs_elsewhere():
    net = net_of()
    key = key_of(net, "a", avoid=("n0", "n3"))
    net.kill("n0")
    net.kill("n3")
    net.advance(15)
    net.ask("n1", "t0", key)
    net.advance(5)
    assert not net.runs and net.said["answered deferred"] == 1
    clean(net)


def test_paused_router_of_the_old_owner_sends_nothing_when_it_wakes():
    """Its claim was granted and it stood still: by the time that it wakes its query is past its end."""
    net = net_of()
    key = key_of(net, "a", avoid=("n0",))
    net.ask("n0", "t0", key)
    net.stop("n0")
    net.advance(3)
    net.offer("a", 500, 0, 600)
    net.offer("b", 7000)
    net.advance(20)
    net.go_on("n0")
    net.advance(5)
    assert not net.runs["t0"]  # the reducer finds it past its end; here the claim is
    assert net.settled() and net.agreed()
    clean(net)


def test_no_agreement_no_title_nothing_runs_until_partners_agree():
    net = PartnersNet(1, 6, founded(copies=1, default=KEEPS))
    assert net.settled()
    net.ask("n0", "t0", "k0")
    net.advance(5)
    assert not net.runs and net.said["answered deferred"] == 1
    net.agree()
    assert net.agreed()
    net.ask("n0", "t1", "k0")
    net.advance(4)
    assert net.runs["t1"]
    clean(net)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_storm_breaks_no_rule(seed):
    net = net_of(seed=seed, loss=0.05, twice=0.05, never=0.05)
    assert storm(net, seed, 45)
    assert net.hops["forwarded"] and len(net.runs) > 10
    clean(net)


# ---- passing on, by itself ----


def pair():
    """Two ends; `dead` holds lives that are over."""
    dead: set[tuple[str, int]] = set()
    lives = {"r": 1, "s": 2}
    over = lambda name, life: (name, life) in dead  # noqa: E731
    return QueryForwarder("r", 1, lambda: lives, over), QueryForwarder("s", 2, lambda: lives, over), dead


QUERY = ForwardQuery(0, 0, 0, "id", "g", b"s", "t", None, 0.0, "k", "", 0)


def carry(sender, receiver, now=0, most=99):
    out, sender.outbox = sender.outbox, []
    for _, message in out[:most]:
        receiver.receive(now, sender.router, message)


def test_query_goes_and_its_answer_comes_once_however_often_each_is_said():
    r, s, _ = pair()
    number = r.forward(0, "s", QUERY, 10 * SECOND)
    for _ in range(3):
        r.transmit_query(0, r.outgoing[number])
    carry(r, s)
    assert len(s.arrivals) == 1 and s.arrivals[0][1].time_left == 10 * SECOND
    session = s.arrivals[0][0]
    s.answer(0, session, ForwardOutcome.SERVED, "", b"rows")
    s.answer(0, session, ForwardOutcome.FAILED, "", None)
    for _ in range(3):
        s.transmit_result(0, s.by_session[session], s.by_session[session].result)
    carry(s, r)
    assert r.completions == [(number, ForwardOutcome.SERVED, "", b"rows")]
    carry(r, s)
    assert s.by_session[session].over and not s.outbox


def test_answer_that_is_lost_comes_again_and_a_late_repeat_starts_nothing():
    r, s, _ = pair()
    r.forward(0, "s", QUERY, 10 * SECOND)
    again = r.outbox[0][1]
    carry(r, s)
    s.answer(0, s.arrivals[0][0], ForwardOutcome.REJECTED, "full")
    s.outbox.clear()  # lost
    s.tick(8 * RETRANSMIT_AFTER)
    carry(s, r)
    assert [how for _, how, _, _ in r.completions] == ["deferred"]
    s.receive(KEPT_AFTER_DEADLINE, "r", again)
    assert len(s.arrivals) == 1
    s.tick(10 * SECOND + KEPT_AFTER_DEADLINE + 1)
    assert not s.incoming and not s.by_session


def test_answer_that_nobody_hears_is_given_up():
    r, s, _ = pair()
    r.forward(0, "s", QUERY, SECOND)
    carry(r, s)
    s.answer(0, s.arrivals[0][0], ForwardOutcome.SERVED, "", b"rows")
    assert s.has_unacknowledged_results
    for now in range(0, 4 * SECOND, RETRANSMIT_AFTER):
        s.tick(now)
    assert not s.has_unacknowledged_results and len(s.outbox) < 12
    s.outbox.clear()
    s.tick(5 * SECOND)
    assert not s.outbox and s.incoming


def test_query_for_a_life_that_is_over_is_not_taken_by_the_next():
    r, s, dead = pair()
    number = r.forward(0, "s", QUERY, 10 * SECOND)
    anew = QueryForwarder("s", 3, s.live_routers, s.is_over)
    carry(r, anew)
    assert not anew.arrivals
    dead.add(("s", 2))
    r.tick(RETRANSMIT_AFTER)
    assert r.completions == [(number, "killed", "its owner's router is gone; it may have run", None)]


def test_query_without_an_answer_has_failed_when_it_is_due_and_is_dropped_there():
    r, s, _ = pair()
    number = r.forward(0, "s", QUERY, SECOND)
    carry(r, s)
    r.tick(SECOND)
    assert [(n, how) for n, how, _, _ in r.completions] == [(number, "killed")]
    assert any(isinstance(message, ForwardCancel) for _, message in r.outbox)
    carry(r, s)
    assert s.abandoned == [s.arrivals[0][0]]
    s.answer(SECOND, s.arrivals[0][0], ForwardOutcome.SERVED, "", b"")
    assert not any(isinstance(message, ForwardResult) for _, message in s.outbox)


def test_client_that_leaves_takes_its_query_back():
    r, s, _ = pair()
    number = r.forward(0, "s", QUERY, SECOND)
    carry(r, s)
    r.cancel(number)
    carry(r, s)
    assert s.abandoned and not r.outgoing
    r.receive(0, "s", ForwardResult(number, 1, ForwardOutcome.SERVED, "", b""))
    assert not r.completions and any(isinstance(message, ForwardResultAck) for _, message in r.outbox)


def test_words_of_another_router_end_nothing():
    r, s, _ = pair()
    number = r.forward(0, "s", QUERY, SECOND)
    for word in (ForwardAccepted(number, 1), ForwardResult(number, 1, ForwardOutcome.SERVED, "", b"")):
        r.receive(0, "x", word)
    assert not r.outgoing[number].accepted and not r.completions
    carry(r, s)
    s.receive(0, "x", ForwardCancel(number, 1))
    assert not s.abandoned


def test_result_that_is_too_long_to_pass_fails_and_says_so():
    r, s, _ = pair()
    r.forward(0, "s", QUERY, SECOND)
    carry(r, s)
    s.answer(0, s.arrivals[0][0], ForwardOutcome.SERVED, "", b"x" * (forwarding.MAX_RESULT_BYTES + 1))
    carry(s, r)
    (_, how, why, rows) = r.completions[0]
    assert how == "killed" and "bytes" in why and rows is None


# ---- planted faults are found ----


def test_agreements_that_swing_under_load_break_no_rule():
    net = net_of(loss=0.05, twice=0.05)
    assert rush(net, 1)
    assert net.hops["arrived"] > 200 and len(net.runs) > 200
    clean(net)


LEADS, END = handover.grant_refusal, QueryForwarder.complete


def anybody_leads(lease, partner, holds, is_earlier_running):
    found = LEADS(lease, partner, holds, is_earlier_running)
    return None if found and found[0] is ClaimDecision.FORWARD else found


def has_not_run(self, number, how, why, rows=None):
    END(self, number, ForwardOutcome.REJECTED if how == "killed" else how, why, rows)


def is_no_answer(self, number, how, why, rows=None):
    if how == "killed":
        del self.outgoing[number]
    else:
        END(self, number, how, why, rows)


PLANTED = {
    "nobody waits for what is out": (LeaseTransfers, "is_earlier_running", lambda self, *about: False),
    "anybody leads": (handover, "grant_refusal", anybody_leads),
    "what may have run is deferred": (QueryForwarder, "complete", has_not_run),
    "what has no answer ends without one": (QueryForwarder, "complete", is_no_answer),
    "leases are never moved": (
        handover,
        "next_lease",
        lambda lease, wanted, now: lease or OwnershipLease(1, wanted),
    ),
    "nothing is told on": (
        AgreementProtocol,
        "knowledge",
        lambda self, reply_wanted: Knowledge((), (), (), (), (), reply_wanted),
    ),
    "a call is not heeded": (SlotOwnership, "on_announcement", lambda self, now, number: None),
    "a signature is for what it was not": (
        AgreementSigner,
        "sign_agreement",
        lambda self, agreement, own: Signature(
            self.partner, agreement.number, bytes(32), self.sign(bytes(32))
        ),
    ),
    "slots go to no one": (SlotOwnership, "update_owners", lambda self, now: None),
}


@pytest.mark.parametrize("what", PLANTED)
def test_fault_planted_in_the_code_is_found(what, monkeypatch):
    owner, name, fault = PLANTED[what]
    monkeypatch.setattr(owner, name, fault)
    net = PartnersNet(1, 6, founded(copies=1, default=KEEPS), loss=0.05, twice=0.05)
    net.agree()
    came_to_rest = net.settled() and net.agreed(20) and rush(net, 1, 3)
    assert not came_to_rest or +net.rule or net.unanswered()


def test_records_say_under_which_title_they_were_led():
    net = net_of()
    key = key_of(net, "b")
    net.ask("n1", "t0", key)
    net.play(0.3)
    leases = {k.slots.slots[slot_of("", key)].lease for k in net.replicas.values()} - {None}
    led = {kept.record.lease_number for k in net.replicas.values() for kept in k.records.all_records()}
    assert led == {lease.number for lease in leases} and len(led) == 1
