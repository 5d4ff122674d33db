"""Negotiation between partners: all routers reach one agreement, also under loss, crashes and restarts."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidAgreementError, InvalidDatagramError, SignatureJournalError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.slot_placement import SLOTS
from hillchute.lab.partners_net import EPOCH, SECOND, private_key_bytes, public_key_bytes
from hillchute.partners import codec
from hillchute.partners.agreement_ledger import MAX_SIGNED_AGREEMENTS
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.agreements import Agreement, derive_agreement
from hillchute.partners.capacity_pool import minimum_allocation, router_allocations
from hillchute.partners.handover import grant_refusal, next_lease
from hillchute.partners.messages import ForwardQuery, ForwardResult, LedgerDigest, LedgerEntries
from hillchute.partners.negotiation import EXCHANGE_INTERVAL, AgreementProtocol, PartnerMembership
from hillchute.partners.offers import SHARE_TOTAL, Offer
from hillchute.partners.signature_journal import SignatureJournal
from hillchute.partners.signatures import (
    Equivocation,
    Signature,
    SignedKind,
    content_digest,
    ed25519_signer,
    ed25519_verifier,
    signed_bytes,
)
from hillchute.partners.slot_allocation import count_moves

ROUTERS = {"a": ["a0", "a1"], "b": ["b0", "b1"], "c": ["c0", "c1"]}
VERIFY = ed25519_verifier({name: public_key_bytes(name) for name in ROUTERS})
LATER = EPOCH + 3_600 * SECOND


def signer_of(partner, journal=None):
    journal = {} if journal is None else journal
    record = lambda number, digest: journal.update({number: digest}) is None  # noqa: E731
    return AgreementSigner(partner, ed25519_signer(private_key_bytes(partner)), record, dict(journal))


def offer(
    partner,
    desired_share=3000,
    revision=1,
    minimum_share=500,
    maximum_share=8000,
    starts_at=0,
    ends_at=LATER,
    **other_terms,
):
    other_terms = {"capacity": 100, "grace_period": 5 * SECOND, "notice_period": 10 * SECOND} | other_terms
    return Offer(
        partner,
        revision=revision,
        desired_share=desired_share,
        minimum_share=minimum_share,
        maximum_share=maximum_share,
        starts_at=starts_at,
        ends_at=ends_at,
        **other_terms,
    )


class Fleet:
    """The agreement protocols of all routers, and the messages between them, in simulated time."""

    def __init__(self, routers=ROUTERS, seed=1):
        self.now, self.rng, self.routers = EPOCH, random.Random(seed), routers
        self.verify = ed25519_verifier({name: public_key_bytes(name) for name in routers})
        self.journals = {name: {} for name in routers}
        self.protocols = {}
        for partner, names in routers.items():
            for router in names:
                self.start(partner, router)
        self.loss = 0.0

    def start(self, partner, router):
        signer = signer_of(partner, self.journals[partner]) if router == self.routers[partner][0] else None
        membership = PartnerMembership(router, partner, self.routers, self.verify)
        self.protocols[router] = AgreementProtocol(membership, len(self.protocols), self.now, signer)

    def offer(self, partner, **other_terms):
        self.protocols[self.routers[partner][0]].make_offer(self.now, offer(partner, **other_terms))

    def advance(self, seconds=10.0, live=None):
        for _ in range(int(seconds * 10)):
            self.now += SECOND // 10
            for name, protocol in self.protocols.items():
                if live is None or name in live:
                    protocol.tick(self.now, live or self.protocols)
            self.deliver(live)

    def deliver(self, live=None):
        while messages := [(n, *sent) for n, p in self.protocols.items() for sent in p.outbox]:
            for protocol in self.protocols.values():
                protocol.outbox = []
            self.rng.shuffle(messages)
            for sender, receiver, message in messages:
                arrives = self.rng.random() >= self.loss
                if arrives and (live is None or {sender, receiver} <= set(live)):
                    data = codec.encode(message)
                    self.protocols[receiver].receive(self.now, sender, codec.decode(data, sender))

    def announce(self, number=None):
        """Announces an agreement as a view's coordinator does; by default the highest that has started."""
        number = (
            max(p.ownership.number_to_announce(self.now) for p in self.protocols.values())
            if number is None
            else number
        )
        for protocol in self.protocols.values():
            protocol.ownership.on_announcement(self.now, number)

    def agree(self, **desired_shares):
        """Makes an offer of each partner, and returns the agreement that follows."""
        for partner in self.routers:
            self.offer(partner, desired_share=desired_shares.get(partner, 3000))
        self.advance()
        self.announce()
        return self.protocols["a0"].ownership.agreement()


def test_all_routers_follow_the_agreement_derived_from_all_offers():
    fleet = Fleet()
    agreement = fleet.agree(a=5000)
    assert (
        all(p.ownership.agreement() == agreement for p in fleet.protocols.values()) and agreement.number == 1
    )
    assert sum(agreement.shares.values()) == SHARE_TOTAL and agreement.shares["a"] > agreement.shares["b"]
    assert {p.ownership.slot_owners for p in fleet.protocols.values()} == {agreement.slot_owners()}
    assert abs(agreement.slot_owners().count("a") - SLOTS * agreement.shares["a"] / SHARE_TOTAL) < 1


def test_agreement_is_followed_only_once_announced_and_known():
    fleet = Fleet()
    for partner in ROUTERS:
        fleet.offer(partner)
    fleet.advance()
    protocol = fleet.protocols["b1"]
    assert (
        protocol.ownership.number_to_announce(fleet.now) == 1
        and protocol.ownership.followed_number() == 0
        and not protocol.ownership.is_in_force(fleet.now)
    )
    assert protocol.ownership.next_lease(fleet.now, 0, None) is None
    protocol.ownership.on_announcement(fleet.now, 7)  # an agreement unknown here
    assert protocol.ownership.followed_number() == 0 and not protocol.ownership.up_to_date()
    protocol.ownership.on_announcement(fleet.now, 1)
    assert (
        protocol.ownership.followed_number() == 1
        and protocol.ownership.up_to_date()
        and protocol.ownership.is_in_force(fleet.now)
    )
    protocol.ownership.on_announcement(fleet.now, 0)  # a router never returns to a lower number
    assert protocol.ownership.followed_number() == 1


def test_new_offer_leads_to_a_successor_agreement_with_few_moves():
    fleet = Fleet()
    first = fleet.agree()
    fleet.offer("b", desired_share=5000, revision=2)
    fleet.advance()
    assert fleet.protocols["c1"].ownership.agreement() == first  # until the new one is announced
    fleet.announce()
    second = fleet.protocols["c1"].ownership.agreement()
    assert (second.number, second.predecessor) == (2, 1) and second.shares["b"] > first.shares["b"]
    gain = second.slot_owners().count("b") - first.slot_owners().count("b")
    assert 0 < count_moves(first.slot_owners(), second.slot_owners()) <= gain + 1
    fleet.advance()
    assert max(fleet.protocols["a0"].ledger.accepted) == 2  # unchanged terms are not proposed again


def test_old_agreement_is_followed_until_the_new_one_starts():
    fleet = Fleet()
    first = fleet.agree()
    starts_at = fleet.now + 30 * SECOND
    fleet.offer("a", desired_share=6000, revision=2, starts_at=starts_at)
    fleet.advance(20)
    fleet.announce()
    assert fleet.protocols["a1"].ownership.agreement() == first
    fleet.advance(11)
    fleet.announce()
    assert fleet.protocols["a1"].ownership.agreement().starts_at == starts_at


def test_after_the_end_of_an_agreement_no_slot_gets_an_owner():
    fleet = Fleet()
    ends_at = fleet.now + 60 * SECOND
    for partner in ROUTERS:
        fleet.offer(partner, ends_at=ends_at)
    fleet.advance()
    fleet.announce()
    protocol = fleet.protocols["a0"]
    lease = protocol.ownership.next_lease(fleet.now, 3, None)
    assert protocol.ownership.grant_refusal(fleet.now, f"{lease.owner}0", lease, lambda: False) is None
    fleet.advance(60)
    assert (
        not protocol.ownership.is_in_force(fleet.now)
        and protocol.ownership.next_lease(fleet.now, 3, None) is None
    )
    decision, _ = protocol.ownership.grant_refusal(fleet.now, f"{lease.owner}0", lease, lambda: False)
    assert decision is ClaimDecision.REJECT
    fleet.offer("a", revision=2, ends_at=LATER)
    fleet.offer("b", revision=2, ends_at=LATER)
    fleet.advance()
    fleet.announce()
    assert not protocol.ownership.is_in_force(fleet.now)  # one offer is missing
    fleet.offer("c", revision=2, ends_at=LATER)
    fleet.advance()
    fleet.announce()
    assert protocol.ownership.is_in_force(fleet.now)


def test_unreachable_partner_delays_the_new_agreement():
    fleet = Fleet()
    first = fleet.agree()
    without = [n for n in fleet.protocols if n[0] != "c"]
    fleet.offer("a", desired_share=6000, revision=2)
    fleet.advance(20, live=without)
    fleet.announce()
    assert fleet.protocols["a1"].ownership.agreement() == first
    fleet.advance(20)
    fleet.announce()
    assert fleet.protocols["a1"].ownership.agreement().number == 2


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 10**6))
def test_losses_crashes_and_restarts_leave_one_agreement(seed):
    """At any time, no two routers have accepted different agreements of one number."""
    fleet, rng = Fleet(seed=seed), random.Random(seed)
    fleet.loss = 0.3
    revisions = dict.fromkeys(ROUTERS, 0)
    seen = {}
    for _ in range(25):
        partner = rng.choice("abc")
        match rng.randrange(4):
            case 0 | 1:
                revisions[partner] += 1
                fleet.offer(partner, desired_share=rng.randint(500, 6000), revision=revisions[partner])
            case 2:
                router = rng.choice(ROUTERS[partner])
                fleet.start(partner, router)
                if router == ROUTERS[partner][0] and revisions[partner]:
                    # The operator file still has the last offer.
                    known_offers = [p.ledger.offers.get(partner) for p in fleet.protocols.values()]
                    latest = max(
                        (signed_offer[0] for signed_offer in known_offers if signed_offer),
                        key=lambda o: o.revision,
                        default=None,
                    )
                    if latest is not None:
                        fleet.protocols[router].make_offer(fleet.now, latest)
        fleet.advance(rng.choice([0.2, 1, 3]))
        if rng.random() < 0.5:
            fleet.announce()
        for protocol in fleet.protocols.values():
            for number, agreement in protocol.ledger.accepted.items():
                assert seen.setdefault(number, agreement) == agreement
    for partner in ROUTERS:
        if not revisions[partner]:
            fleet.offer(partner)
    fleet.loss = 0.0
    fleet.advance(20)
    fleet.announce()
    assert (
        len({(p.ownership.followed_number(), p.ownership.slot_owners) for p in fleet.protocols.values()}) == 1
    )
    offers = [o for o, _ in fleet.protocols["a0"].ledger.offers.values()]
    agreement = fleet.protocols["a0"].ownership.agreement()
    assert agreement.shares == derive_agreement(offers, 1).shares


def test_forged_offer_and_underived_agreement_are_rejected():
    fleet = Fleet()
    fleet.agree()
    protocol = fleet.protocols["b0"]
    forged = offer("a", desired_share=500, revision=9)
    signature = signer_of("b").sign_offer(forged).signature
    assert not protocol.ledger.record_offer(forged, signature)
    assert not protocol.ledger.record_offer(forged, msgspec.structs.replace(signature, partner="a"))
    # An agreement that all but b have signed, in which b has the smallest share.
    agreement = derive_agreement(
        [offer(n, desired_share=w, revision=1) for n, w in (("a", 6000), ("b", 500), ("c", 3500))], 2
    )
    for name in "ac":
        signer = signer_of(name)
        protocol.ledger.record_signature(
            signer.sign_agreement(agreement, offer(name, desired_share=agreement.shares[name]))
        )
    protocol.ledger.record_agreement(agreement)
    protocol.update(fleet.now)
    assert 2 not in protocol.ledger.accepted and protocol.signing_errors[2].detail


def test_lower_revision_than_known_is_rejected_with_a_reason():
    fleet = Fleet()
    fleet.agree()
    fleet.offer("a", desired_share=4000, revision=5)
    with pytest.raises(InvalidAgreementError, match="turn 4; 5"):
        fleet.offer("a", desired_share=500, revision=4)


def test_partner_that_signs_two_agreements_loses_its_share_at_all_routers():
    fleet = Fleet()
    agreement = fleet.agree()
    other = derive_agreement(
        [offer(n, desired_share=w) for n, w in (("a", 8000), ("b", 1000), ("c", 1000))], 1
    )
    conflicting = Signature(
        "a",
        1,
        content_digest(other),
        ed25519_signer(private_key_bytes("a"))(signed_bytes(SignedKind.AGREEMENT, 1, content_digest(other))),
    )
    fleet.protocols["c1"].ledger.record_signature(conflicting)
    fleet.advance()
    for protocol in fleet.protocols.values():
        assert set(protocol.ledger.equivocations) == {"a"}
        assert (
            protocol.ownership.agreement() == agreement
            and protocol.ownership.effective_shares(fleet.now)["a"] == 0
        )
        assert set(protocol.ownership.slot_owners) == {"b", "c"}


def test_honest_signatures_are_no_proof_of_equivocation():
    """A dishonest router presents an offer's and an agreement's signature of one number as a proof.

    It also presents the signature of a later agreement with its number changed.
    """
    fleet = Fleet()
    fleet.agree()
    fleet.offer("a", desired_share=6000, revision=2)
    fleet.advance()
    ledger = fleet.protocols["b1"].ledger
    by_number = sorted(
        (m["a"] for m in ledger.signatures.values() if "a" in m), key=lambda signature: signature.number
    )
    first, second = by_number
    of_offer = signer_of("a").sign_offer(offer("a", desired_share=3000)).signature
    assert first.number == of_offer.number == 1
    assert not ledger.record_equivocation(first, of_offer) and not ledger.record_equivocation(of_offer, first)
    assert not ledger.record_equivocation(first, msgspec.structs.replace(second, number=1))
    assert not ledger.record_signature(msgspec.structs.replace(of_offer, number=1))
    fresh = Fleet().protocols["b0"].ledger
    assert not fresh.record_signature(msgspec.structs.replace(second, number=1)) and fresh.record_signature(
        second
    )
    assert not ledger.equivocations and not fresh.equivocations


def test_leaving_partner_keeps_its_slots_until_its_notice_ends():
    fleet = Fleet()
    fleet.agree()
    fleet.protocols["c0"].give_notice(fleet.now)
    fleet.advance(5)
    assert fleet.protocols["a1"].ownership.slot_owners.count("c") > 300
    fleet.advance(6)
    assert {p.ownership.slot_owners.count("c") for p in fleet.protocols.values()} == {0}


def test_engines_missing_longer_than_the_grace_period_reduce_the_share():
    fleet = Fleet()
    agreement = fleet.agree()
    protocol = fleet.protocols["a0"]
    protocol.ownership.set_capacities(fleet.now, {"a": 100, "b": 50, "c": 100})
    assert protocol.ownership.slot_owners == agreement.slot_owners()
    fleet.advance(4)
    assert protocol.ownership.slot_owners == agreement.slot_owners()
    fleet.advance(2)
    assert protocol.ownership.slot_owners.count("b") < 0.7 * agreement.slot_owners().count("b")
    protocol.ownership.set_capacities(fleet.now, {"a": 100, "b": 100, "c": 100})
    assert protocol.ownership.slot_owners == agreement.slot_owners()


def test_number_of_stored_signatures_is_bounded():
    fleet = Fleet()
    fleet.agree()
    ledger = fleet.protocols["a0"].ledger
    sign = ed25519_signer(private_key_bytes("c"))
    for n in range(3 * MAX_SIGNED_AGREEMENTS):
        digest = bytes([n]) * 32
        assert ledger.record_signature(
            Signature("c", 100 + n, digest, sign(signed_bytes(SignedKind.AGREEMENT, 100 + n, digest)))
        )
    for n in range(3 * MAX_SIGNED_AGREEMENTS):
        ledger.record_agreement(
            msgspec.structs.replace(fleet.protocols["a0"].ownership.agreement(), number=500 + n)
        )
    assert (
        len(ledger.signatures) <= MAX_SIGNED_AGREEMENTS + 1
        and len(ledger.agreements) <= MAX_SIGNED_AGREEMENTS + 1
    )
    assert 1 in ledger.accepted


def test_joining_partner_is_in_the_next_agreement():
    two = {name: ROUTERS[name] for name in "ab"}
    fleet = Fleet(two)
    first = fleet.agree()
    assert set(first.slot_owners()) == {"a", "b"}
    fleet.routers = ROUTERS
    fleet.journals["c"] = {}
    for protocol in fleet.protocols.values():
        protocol.set_partners(ROUTERS, VERIFY)
    fleet.verify = VERIFY
    for router in ROUTERS["c"]:
        fleet.start("c", router)
    fleet.advance(5)
    assert fleet.protocols["a0"].ownership.agreement() == first
    fleet.offer("c")
    fleet.advance()
    fleet.announce()
    second = fleet.protocols["c1"].ownership.agreement()
    assert set(second.slot_owners()) == {"a", "b", "c"}
    assert count_moves(first.slot_owners(), second.slot_owners()) == second.slot_owners().count("c")


# ---- codec ----


def ledger_entries():
    fleet = Fleet()
    fleet.agree()
    fleet.protocols["a0"].give_notice(fleet.now)
    return fleet.protocols["a0"].ledger_entries(reply_wanted=True)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_rejected(data):
    try:
        message = codec.decode(data, "x")
    except InvalidDatagramError:
        return
    assert codec.decode(codec.encode(message), "x") == message


QUERY = ForwardQuery(1, 1, 1, "id", "g", b"s", "t", 5, 1.0, "k", "", 10)


@pytest.mark.parametrize(
    ("message", "field"),
    [
        (LedgerDigest(b"short"), "digest"),
        (msgspec.structs.replace(QUERY, query_id=""), "query_id"),
        (msgspec.structs.replace(QUERY, idempotency_key="t" * 500), "idempotency_key"),
        (msgspec.structs.replace(QUERY, cost=-1), "cost"),
        (msgspec.structs.replace(QUERY, time_left=-1), "time_left"),
        (msgspec.structs.replace(QUERY, number=-1), "number"),
        (
            LedgerEntries((), (), (), (), (Equivocation(*[Signature("a", 1, b"", b"")] * 2),), False),
            "signatures",
        ),
    ],
)
def test_field_out_of_bounds_is_named(message, field):
    with pytest.raises(ValueError, match=field):
        codec.encode(message)
    with pytest.raises(InvalidDatagramError, match=field):
        codec.decode(codec.encoder.encode(message), "x")


def test_unknown_outcome_is_neither_encoded_nor_decoded():
    message = ForwardResult(1, 1, "perhaps", "", None)
    with pytest.raises(ValueError, match="outcome"):
        codec.encode(message)
    with pytest.raises(InvalidDatagramError, match="perhaps"):
        codec.decode(codec.encoder.encode(message), "x")


def test_ledger_entries_survive_encoding():
    known = ledger_entries()
    assert known.offers and known.agreements and known.signatures and known.notices
    assert codec.decode(codec.encode(known), "x") == known
    bad = msgspec.structs.replace(
        known, agreements=(msgspec.structs.replace(known.agreements[0], owners=b""),)
    )
    with pytest.raises(ValueError, match="agreements"):
        codec.encode(bad)


# ---- ownership leases ----


def test_lease_follows_the_agreed_owner_and_its_number_only_rises():
    first = next_lease(None, "a", 70)
    assert first == OwnershipLease(7, "a") and next_lease(first, "a", 10**9) is first
    assert next_lease(first, "b", 0) == OwnershipLease(8, "b")
    assert next_lease(None, "a", EPOCH).number > 10**12  # higher than any lost lease's
    assert next_lease(first, "", 0) is first and next_lease(None, "", 0) is None


@pytest.mark.parametrize(
    ("lease", "partner", "in_force", "is_earlier_running", "decision"),
    [
        (OwnershipLease(1, "a"), "a", True, False, None),
        (OwnershipLease(1, "a"), "a", False, False, ClaimDecision.REJECT),
        (None, "a", True, False, ClaimDecision.REJECT),
        (OwnershipLease(1, "a"), "", True, False, ClaimDecision.REJECT),
        (OwnershipLease(1, "a"), "b", True, True, ClaimDecision.FORWARD),
        (OwnershipLease(1, "a"), "a", True, True, ClaimDecision.WAIT),
    ],
)
def test_only_the_owner_is_granted_once_no_earlier_query_is_in_flight(
    lease, partner, in_force, is_earlier_running, decision
):
    refusal = grant_refusal(lease, partner, in_force, lambda: is_earlier_running)
    assert (refusal and refusal[0]) == decision
    if decision is ClaimDecision.FORWARD:
        assert refusal[1] == "a"


# ---- signature journal ----


def test_journal_restores_signatures_and_drops_an_incomplete_last_line(tmp_path):
    path = tmp_path / "signatures.txt"
    journal = SignatureJournal(path)
    assert journal.save(1, b"\1" * 32) and journal.save(2, b"\2" * 32)
    with path.open("ab") as file:
        file.write(b"3 0303")
    reopened = SignatureJournal(path)
    assert reopened.signed == {1: b"\1" * 32, 2: b"\2" * 32}
    assert reopened.save(3, b"\3" * 32) and SignatureJournal(path).signed[3] == b"\3" * 32


def test_malformed_or_unwritable_journal_prevents_signatures(tmp_path):
    path = tmp_path / "signatures.txt"
    path.write_text("1 zz\n")
    with pytest.raises(SignatureJournalError, match=r"signatures\.txt"):
        SignatureJournal(path)
    path.write_text("")
    journal = SignatureJournal(path)
    journal.path = tmp_path / "none" / "signatures.txt"
    assert not journal.save(1, b"") and journal.error is not None
    signer = AgreementSigner("a", ed25519_signer(private_key_bytes("a")), journal.save, journal.signed)
    with pytest.raises(InvalidAgreementError, match="kept"):
        signer.sign_agreement(derive_agreement([offer(n) for n in "abc"], 1), offer("a"))


def test_old_copy_of_a_journal_is_completed_from_other_routers():
    """With an old copy of its journal, a partner could sign a second agreement of one number."""
    fleet = Fleet()
    fleet.agree()
    fleet.journals["b"].clear()
    fleet.start("b", "b0")
    fleet.advance(3 * EXCHANGE_INTERVAL / SECOND)
    fleet.offer("b", desired_share=5000, revision=2)
    fleet.advance()
    fleet.announce()
    assert (
        fleet.protocols["b0"].ownership.agreement().number == 2
        and not fleet.protocols["a0"].ledger.equivocations
    )


def test_second_agreement_of_a_number_is_not_signed_after_loss_of_the_journal():
    fleet = Fleet()
    first = fleet.agree()
    fleet.offer("a", desired_share=5000, revision=2)
    fleet.advance(live=[n for n in fleet.protocols if n[0] != "c"])  # a and b sign it, c does not
    fleet.journals["b"].clear()
    fleet.start("b", "b0")
    fleet.advance(4, live=["a1", "b0", "b1"])
    protocol = fleet.protocols["b0"]
    protocol.make_offer(fleet.now, offer("b"))
    changed = offer("a", desired_share=6000, revision=3)
    protocol.ledger.record_offer(changed, signer_of("a").sign_offer(changed).signature)
    other = derive_agreement(protocol.offers(), 2, first)
    conflicting = Signature(
        "a",
        2,
        content_digest(other),
        ed25519_signer(private_key_bytes("a"))(signed_bytes(SignedKind.AGREEMENT, 2, content_digest(other))),
    )
    protocol.ledger.record_signature(conflicting)
    protocol.ledger.record_agreement(other)
    protocol.update(fleet.now)
    assert (
        sum("b" in m for m in protocol.ledger.signatures.values() if any(x.number == 2 for x in m.values()))
        == 1
    )
    assert "b" not in protocol.ledger.equivocations and protocol.signing_errors[2].detail


# ---- capacity pool ----


@settings(max_examples=150, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from("abcde"), st.tuples(st.integers(0, SHARE_TOTAL), st.integers(0, 9)), min_size=1
    )
)
def test_allocations_follow_shares_and_never_exceed_the_total(partners):
    total = 1_000_000
    routers = {name: [f"{name}{n}" for n in range(size)] for name, (_, size) in partners.items()}
    count = sum(map(len, routers.values()))
    if not count:
        return
    allocations = router_allocations(total, {name: share for name, (share, _) in partners.items()}, routers)
    minimum = minimum_allocation(total, count)
    assert sum(allocations.values()) <= total and all(units >= minimum for units in allocations.values())
    total_share = sum(share for share, size in partners.values() if size)
    for name, (share, size) in partners.items():
        if total_share and size and share * total // total_share >= size * minimum:
            own_units = sum(allocations[router] for router in routers[name])
            assert own_units >= (1 - 1 / 16) * share * total / total_share - 2 * count


def test_agreement_has_an_owner_for_every_slot_and_the_periods():
    agreement = derive_agreement([offer(n) for n in "abc"], 4, None)
    assert (
        isinstance(agreement, Agreement)
        and len(agreement.owners) == SLOTS
        and agreement.grace_period == 5 * SECOND
    )
