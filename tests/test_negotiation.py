"""What partners agree on, as it goes round among routers: one agreement for all, whatever is lost."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidAgreementError, InvalidDatagramError, SignatureJournalError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.slot_placement import SLOTS
from hillchute.lab.partners_net import EPOCH, SECOND, private, public
from hillchute.partners import codec
from hillchute.partners.agreement_ledger import MAX_SIGNED_AGREEMENTS
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.agreements import Agreement, derive_agreement
from hillchute.partners.capacity_pool import minimum_allocation, router_allocations
from hillchute.partners.handover import grant_refusal, next_lease
from hillchute.partners.messages import ForwardQuery, ForwardResult, Knowledge, KnowledgeDigest
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
CHECK = ed25519_verifier({name: public(name) for name in ROUTERS})
LATER = EPOCH + 3_600 * SECOND


def signer_of(partner, kept=None):
    kept = {} if kept is None else kept
    save = lambda number, digest: kept.update({number: digest}) is None  # noqa: E731
    return AgreementSigner(partner, ed25519_signer(private(partner)), save, dict(kept))


def offer(partner, want=3000, turn=1, least=500, most=8000, begins=0, ends=LATER, **about):
    about = {"capacity": 100, "grace_period": 5 * SECOND, "notice_period": 10 * SECOND} | about
    return Offer(
        partner,
        revision=turn,
        desired_share=want,
        minimum_share=least,
        maximum_share=most,
        starts_at=begins,
        ends_at=ends,
        **about,
    )


class Round:
    """All protocols and what passes between them."""

    def __init__(self, routers=ROUTERS, seed=1):
        self.now, self.chance, self.routers = EPOCH, random.Random(seed), routers
        self.check = ed25519_verifier({name: public(name) for name in routers})
        self.files = {name: {} for name in routers}
        self.protocols = {}
        for name, some in routers.items():
            for router in some:
                self.start(name, router)
        self.loss = 0.0

    def start(self, partner, router):
        signer = signer_of(partner, self.files[partner]) if router == self.routers[partner][0] else None
        membership = PartnerMembership(router, partner, self.routers, self.check)
        self.protocols[router] = AgreementProtocol(membership, len(self.protocols), self.now, signer)

    def offer(self, partner, **about):
        self.protocols[self.routers[partner][0]].make_offer(self.now, offer(partner, **about))

    def play(self, seconds=10.0, living=None):
        for _ in range(int(seconds * 10)):
            self.now += SECOND // 10
            for name, protocol in self.protocols.items():
                if living is None or name in living:
                    protocol.tick(self.now, living or self.protocols)
            self.deliver(living)

    def deliver(self, living=None):
        while line := [(n, *said) for n, c in self.protocols.items() for said in c.outbox]:
            for protocol in self.protocols.values():
                protocol.outbox = []
            self.chance.shuffle(line)
            for sender, to, message in line:
                heard = self.chance.random() >= self.loss
                if heard and (living is None or {sender, to} <= set(living)):
                    data = codec.encode(message)
                    self.protocols[to].receive(self.now, sender, codec.decode(data, sender))

    def tell(self, number=None):
        """As the calls of a view do it: the highest that has begun at one of them."""
        number = (
            max(c.ownership.number_to_announce(self.now) for c in self.protocols.values())
            if number is None
            else number
        )
        for protocol in self.protocols.values():
            protocol.ownership.on_announcement(self.now, number)

    def agreed(self, **wants):
        for partner in self.routers:
            self.offer(partner, want=wants.get(partner, 3000))
        self.play()
        self.tell()
        return self.protocols["a0"].ownership.agreement()


def test_agreement_that_follows_from_all_offers_holds_at_all_routers():
    fleet = Round()
    agreement = fleet.agreed(a=5000)
    assert (
        all(c.ownership.agreement() == agreement for c in fleet.protocols.values()) and agreement.number == 1
    )
    assert sum(agreement.shares.values()) == SHARE_TOTAL and agreement.shares["a"] > agreement.shares["b"]
    assert {c.ownership.slot_owners for c in fleet.protocols.values()} == {agreement.slot_owners()}
    assert abs(agreement.slot_owners().count("a") - SLOTS * agreement.shares["a"] / SHARE_TOTAL) < 1


def test_nothing_holds_until_a_call_names_it_and_each_has_it():
    fleet = Round()
    for partner in ROUTERS:
        fleet.offer(partner)
    fleet.play()
    protocol = fleet.protocols["b1"]
    assert (
        protocol.ownership.number_to_announce(fleet.now) == 1
        and protocol.ownership.followed_number() == 0
        and not protocol.ownership.is_in_force(fleet.now)
    )
    assert protocol.ownership.next_lease(fleet.now, 0, None) is None
    protocol.ownership.on_announcement(fleet.now, 7)  # named by a caller that has what this one has not
    assert protocol.ownership.followed_number() == 0 and not protocol.ownership.up_to_date()
    protocol.ownership.on_announcement(fleet.now, 1)
    assert (
        protocol.ownership.followed_number() == 1
        and protocol.ownership.up_to_date()
        and protocol.ownership.is_in_force(fleet.now)
    )
    protocol.ownership.on_announcement(fleet.now, 0)  # it never goes back
    assert protocol.ownership.followed_number() == 1


def test_new_offer_makes_a_new_agreement_that_goes_on_from_the_last_with_few_moves():
    fleet = Round()
    first = fleet.agreed()
    fleet.offer("b", want=5000, turn=2)
    fleet.play()
    assert fleet.protocols["c1"].ownership.agreement() == first  # until a call names it
    fleet.tell()
    second = fleet.protocols["c1"].ownership.agreement()
    assert (second.number, second.predecessor) == (2, 1) and second.shares["b"] > first.shares["b"]
    gain = second.slot_owners().count("b") - first.slot_owners().count("b")
    assert 0 < count_moves(first.slot_owners(), second.slot_owners()) <= gain + 1
    fleet.play()
    assert max(fleet.protocols["a0"].ledger.accepted) == 2  # what says the same again is not written


def test_agreement_begins_in_its_time_and_the_old_one_stands_until_then():
    fleet = Round()
    first = fleet.agreed()
    begins = fleet.now + 30 * SECOND
    fleet.offer("a", want=6000, turn=2, begins=begins)
    fleet.play(20)
    fleet.tell()
    assert fleet.protocols["a1"].ownership.agreement() == first
    fleet.play(11)
    fleet.tell()
    assert fleet.protocols["a1"].ownership.agreement().starts_at == begins


def test_after_its_end_nothing_holds_and_nobody_owns_a_slot_anew():
    fleet = Round()
    ends = fleet.now + 60 * SECOND
    for partner in ROUTERS:
        fleet.offer(partner, ends=ends)
    fleet.play()
    fleet.tell()
    protocol = fleet.protocols["a0"]
    lease = protocol.ownership.next_lease(fleet.now, 3, None)
    assert protocol.ownership.grant_refusal(fleet.now, f"{lease.owner}0", lease, lambda: False) is None
    fleet.play(60)
    assert (
        not protocol.ownership.is_in_force(fleet.now)
        and protocol.ownership.next_lease(fleet.now, 3, None) is None
    )
    verdict, _ = protocol.ownership.grant_refusal(fleet.now, f"{lease.owner}0", lease, lambda: False)
    assert verdict is ClaimDecision.REJECT
    fleet.offer("a", turn=2, ends=LATER)
    fleet.offer("b", turn=2, ends=LATER)
    fleet.play()
    fleet.tell()
    assert not protocol.ownership.is_in_force(fleet.now)  # the third is silent
    fleet.offer("c", turn=2, ends=LATER)
    fleet.play()
    fleet.tell()
    assert protocol.ownership.is_in_force(fleet.now)


def test_partner_that_is_silent_leaves_the_old_agreement_and_its_offer_is_heard_later():
    fleet = Round()
    first = fleet.agreed()
    without = [n for n in fleet.protocols if n[0] != "c"]
    fleet.offer("a", want=6000, turn=2)
    fleet.play(20, living=without)
    fleet.tell()
    assert fleet.protocols["a1"].ownership.agreement() == first
    fleet.play(20)
    fleet.tell()
    assert fleet.protocols["a1"].ownership.agreement().number == 2


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 10**6))
def test_losses_crashes_and_restarts_leave_one_agreement(seed):
    """At every moment all agreements that any router has are signed by all, and no number has two."""
    fleet, chance = Round(seed=seed), random.Random(seed)
    fleet.loss = 0.3
    turns = dict.fromkeys(ROUTERS, 0)
    seen = {}
    for _ in range(25):
        partner = chance.choice("abc")
        match chance.randrange(4):
            case 0 | 1:
                turns[partner] += 1
                fleet.offer(partner, want=chance.randint(500, 6000), turn=turns[partner])
            case 2:
                router = chance.choice(ROUTERS[partner])
                fleet.start(partner, router)
                if router == ROUTERS[partner][0] and turns[partner]:
                    # The operator's file has its last offer still.
                    last = [c.ledger.offers.get(partner) for c in fleet.protocols.values()]
                    best = max((known[0] for known in last if known), key=lambda o: o.revision, default=None)
                    if best is not None:
                        fleet.protocols[router].make_offer(fleet.now, best)
        fleet.play(chance.choice([0.2, 1, 3]))
        if chance.random() < 0.5:
            fleet.tell()
        for protocol in fleet.protocols.values():
            for number, agreement in protocol.ledger.accepted.items():
                assert seen.setdefault(number, agreement) == agreement
    for partner in ROUTERS:
        if not turns[partner]:
            fleet.offer(partner)
    fleet.loss = 0.0
    fleet.play(20)
    fleet.tell()
    assert (
        len({(c.ownership.followed_number(), c.ownership.slot_owners) for c in fleet.protocols.values()}) == 1
    )
    offers = [o for o, _ in fleet.protocols["a0"].ledger.offers.values()]
    agreement = fleet.protocols["a0"].ownership.agreement()
    assert agreement.shares == derive_agreement(offers, 1).shares


def test_offer_in_anothers_name_and_agreement_that_does_not_follow_are_nothing():
    fleet = Round()
    fleet.agreed()
    protocol = fleet.protocols["b0"]
    false = offer("a", want=500, turn=9)
    signature = signer_of("b").sign_offer(false).signature
    assert not protocol.ledger.record_offer(false, signature)
    assert not protocol.ledger.record_offer(false, msgspec.structs.replace(signature, partner="a"))
    # One that all but b have signed, in which b has next to nothing.
    agreement = derive_agreement(
        [offer(n, want=w, turn=1) for n, w in (("a", 6000), ("b", 500), ("c", 3500))], 2
    )
    for name in "ac":
        kept = signer_of(name)
        protocol.ledger.record_signature(
            kept.sign_agreement(agreement, offer(name, want=agreement.shares[name]))
        )
    protocol.ledger.record_agreement(agreement)
    protocol.update(fleet.now)
    assert 2 not in protocol.ledger.accepted and protocol.signing_errors[2].detail


def test_lower_turn_than_is_known_is_refused_and_said():
    fleet = Round()
    fleet.agreed()
    fleet.offer("a", want=4000, turn=5)
    with pytest.raises(InvalidAgreementError, match="turn 4; 5"):
        fleet.offer("a", want=500, turn=4)


def test_partner_that_signs_two_agreements_loses_its_part_at_all_routers():
    fleet = Round()
    agreement = fleet.agreed()
    other = derive_agreement([offer(n, want=w) for n, w in (("a", 8000), ("b", 1000), ("c", 1000))], 1)
    false = Signature(
        "a",
        1,
        content_digest(other),
        ed25519_signer(private("a"))(signed_bytes(SignedKind.AGREEMENT, 1, content_digest(other))),
    )
    fleet.protocols["c1"].ledger.record_signature(false)
    fleet.play()
    for protocol in fleet.protocols.values():
        assert set(protocol.ledger.equivocations) == {"a"}
        assert (
            protocol.ownership.agreement() == agreement
            and protocol.ownership.effective_shares(fleet.now)["a"] == 0
        )
        assert set(protocol.ownership.slot_owners) == {"b", "c"}


def test_signatures_that_a_partner_gave_are_no_proof_against_it():
    """A router that lies has an offer's and an agreement's of one number, a later agreement's
    with its number changed."""
    fleet = Round()
    fleet.agreed()
    fleet.offer("a", want=6000, turn=2)
    fleet.play()
    ledger = fleet.protocols["b1"].ledger
    by_text = sorted(
        (m["a"] for m in ledger.signatures.values() if "a" in m), key=lambda signature: signature.number
    )
    first, second = by_text
    offers = signer_of("a").sign_offer(offer("a", want=3000)).signature
    assert first.number == offers.number == 1
    assert not ledger.record_equivocation(first, offers) and not ledger.record_equivocation(offers, first)
    assert not ledger.record_equivocation(first, msgspec.structs.replace(second, number=1))
    assert not ledger.record_signature(msgspec.structs.replace(offers, number=1))
    fresh = Round().protocols["b0"].ledger
    assert not fresh.record_signature(msgspec.structs.replace(second, number=1)) and fresh.record_signature(
        second
    )
    assert not ledger.equivocations and not fresh.equivocations


def test_partner_that_leaves_has_its_part_until_its_notice_is_over():
    fleet = Round()
    fleet.agreed()
    fleet.protocols["c0"].give_notice(fleet.now)
    fleet.play(5)
    assert fleet.protocols["a1"].ownership.slot_owners.count("c") > 300
    fleet.play(6)
    assert {c.ownership.slot_owners.count("c") for c in fleet.protocols.values()} == {0}


def test_engines_that_are_gone_longer_than_the_grace_count_as_less():
    fleet = Round()
    agreement = fleet.agreed()
    protocol = fleet.protocols["a0"]
    protocol.ownership.set_capacities(fleet.now, {"a": 100, "b": 50, "c": 100})
    assert protocol.ownership.slot_owners == agreement.slot_owners()
    fleet.play(4)
    assert protocol.ownership.slot_owners == agreement.slot_owners()
    fleet.play(2)
    assert protocol.ownership.slot_owners.count("b") < 0.7 * agreement.slot_owners().count("b")
    protocol.ownership.set_capacities(fleet.now, {"a": 100, "b": 100, "c": 100})
    assert protocol.ownership.slot_owners == agreement.slot_owners()


def test_signatures_without_end_are_bounded():
    fleet = Round()
    fleet.agreed()
    ledger = fleet.protocols["a0"].ledger
    sign = ed25519_signer(private("c"))
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


def test_partner_that_comes_is_in_the_next_agreement():
    two = {name: ROUTERS[name] for name in "ab"}
    fleet = Round(two)
    first = fleet.agreed()
    assert set(first.slot_owners()) == {"a", "b"}
    fleet.routers = ROUTERS
    fleet.files["c"] = {}
    for protocol in fleet.protocols.values():
        protocol.set_partners(ROUTERS, CHECK)
    fleet.check = CHECK
    for router in ROUTERS["c"]:
        fleet.start("c", router)
    fleet.play(5)
    assert fleet.protocols["a0"].ownership.agreement() == first
    fleet.offer("c")
    fleet.play()
    fleet.tell()
    second = fleet.protocols["c1"].ownership.agreement()
    assert set(second.slot_owners()) == {"a", "b", "c"}
    assert count_moves(first.slot_owners(), second.slot_owners()) == second.slot_owners().count("c")


# ---- what goes over the wire ----


def some_know():
    fleet = Round()
    fleet.agreed()
    fleet.protocols["a0"].give_notice(fleet.now)
    return fleet.protocols["a0"].knowledge(reply_wanted=True)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_whatever_comes_is_read_or_dropped(data):
    try:
        message = codec.decode(data, "x")
    except InvalidDatagramError:
        return
    assert codec.decode(codec.encode(message), "x") == message


ONE = ForwardQuery(1, 1, 1, "id", "g", b"s", "t", 5, 1.0, "k", "", 10)


@pytest.mark.parametrize(
    ("message", "field"),
    [
        (KnowledgeDigest(b"short"), "digest"),
        (msgspec.structs.replace(ONE, query_id=""), "query_id"),
        (msgspec.structs.replace(ONE, idempotency_key="t" * 500), "idempotency_key"),
        (msgspec.structs.replace(ONE, cost=-1), "cost"),
        (msgspec.structs.replace(ONE, time_left=-1), "time_left"),
        (msgspec.structs.replace(ONE, number=-1), "number"),
        (Knowledge((), (), (), (), (Equivocation(*[Signature("a", 1, b"", b"")] * 2),), False), "signatures"),
    ],
)
def test_field_out_of_bounds_is_named(message, field):
    with pytest.raises(ValueError, match=field):
        codec.encode(message)
    with pytest.raises(InvalidDatagramError, match=field):
        codec.decode(codec.encoder.encode(message), "x")


def test_outcome_that_is_none_is_neither_written_nor_read():
    message = ForwardResult(1, 1, "perhaps", "", None)
    with pytest.raises(ValueError, match="outcome"):
        codec.encode(message)
    with pytest.raises(InvalidDatagramError, match="perhaps"):
        codec.decode(codec.encoder.encode(message), "x")


def test_all_that_is_known_comes_back_as_it_was():
    known = some_know()
    assert known.offers and known.agreements and known.signatures and known.notices
    assert codec.decode(codec.encode(known), "x") == known
    bad = msgspec.structs.replace(
        known, agreements=(msgspec.structs.replace(known.agreements[0], owners=b""),)
    )
    with pytest.raises(ValueError, match="agreements"):
        codec.encode(bad)


# ---- ownership leases ----


def test_title_follows_who_is_due_and_its_number_only_rises():
    first = next_lease(None, "a", 70)
    assert first == OwnershipLease(7, "a") and next_lease(first, "a", 10**9) is first
    assert next_lease(first, "b", 0) == OwnershipLease(8, "b")
    assert next_lease(None, "a", EPOCH).number > 10**12  # after a loss: higher than any before
    assert next_lease(first, "", 0) is first and next_lease(None, "", 0) is None


@pytest.mark.parametrize(
    ("lease", "partner", "holds", "out", "verdict"),
    [
        (OwnershipLease(1, "a"), "a", True, False, None),
        (OwnershipLease(1, "a"), "a", False, False, ClaimDecision.REJECT),
        (None, "a", True, False, ClaimDecision.REJECT),
        (OwnershipLease(1, "a"), "", True, False, ClaimDecision.REJECT),
        (OwnershipLease(1, "a"), "b", True, True, ClaimDecision.FORWARD),
        (OwnershipLease(1, "a"), "a", True, True, ClaimDecision.WAIT),
    ],
)
def test_only_the_owner_leads_and_only_once_nothing_of_the_one_before_is_out(
    lease, partner, holds, out, verdict
):
    found = grant_refusal(lease, partner, holds, lambda: out)
    assert (found and found[0]) == verdict
    if verdict is ClaimDecision.FORWARD:
        assert found[1] == "a"


# ---- the file of signatures ----


def test_signatures_come_back_from_their_file_and_a_broken_last_line_was_never_given(tmp_path):
    path = tmp_path / "marks"
    file = SignatureJournal(path)
    assert file.save(1, b"\1" * 32) and file.save(2, b"\2" * 32)
    with path.open("ab") as broken:
        broken.write(b"3 0303")
    again = SignatureJournal(path)
    assert again.signed == {1: b"\1" * 32, 2: b"\2" * 32}
    assert again.save(3, b"\3" * 32) and SignatureJournal(path).signed[3] == b"\3" * 32


def test_file_that_was_changed_or_cannot_be_written_gives_no_signature(tmp_path):
    path = tmp_path / "marks"
    path.write_text("1 zz\n")
    with pytest.raises(SignatureJournalError, match="marks"):
        SignatureJournal(path)
    path.write_text("")
    file = SignatureJournal(path)
    file.path = tmp_path / "none" / "marks"
    assert not file.save(1, b"") and file.error is not None
    signer = AgreementSigner("a", ed25519_signer(private("a")), file.save, file.signed)
    with pytest.raises(InvalidAgreementError, match="kept"):
        signer.sign_agreement(derive_agreement([offer(n) for n in "abc"], 1), offer("a"))


def test_old_file_of_signatures_is_made_whole_by_what_others_know():
    """A copy of yesterday was put back: the partner would sign a second agreement for a number."""
    fleet = Round()
    fleet.agreed()
    fleet.files["b"].clear()
    fleet.start("b", "b0")
    fleet.play(3 * EXCHANGE_INTERVAL / SECOND)
    fleet.offer("b", want=5000, turn=2)
    fleet.play()
    fleet.tell()
    assert (
        fleet.protocols["b0"].ownership.agreement().number == 2
        and not fleet.protocols["a0"].ledger.equivocations
    )


def test_second_agreement_for_a_number_is_not_signed_though_the_file_forgot_the_first():
    fleet = Round()
    first = fleet.agreed()
    fleet.offer("a", want=5000, turn=2)
    fleet.play(living=[n for n in fleet.protocols if n[0] != "c"])  # a and b have signed it, c is silent
    fleet.files["b"].clear()
    fleet.start("b", "b0")
    fleet.play(4, living=["a1", "b0", "b1"])
    protocol = fleet.protocols["b0"]
    protocol.make_offer(fleet.now, offer("b"))
    changed = offer("a", want=6000, turn=3)
    protocol.ledger.record_offer(changed, signer_of("a").sign_offer(changed).signature)
    other = derive_agreement(protocol.offers(), 2, first)
    false = Signature(
        "a",
        2,
        content_digest(other),
        ed25519_signer(private("a"))(signed_bytes(SignedKind.AGREEMENT, 2, content_digest(other))),
    )
    protocol.ledger.record_signature(false)
    protocol.ledger.record_agreement(other)
    protocol.update(fleet.now)
    assert (
        sum("b" in m for m in protocol.ledger.signatures.values() if any(x.number == 2 for x in m.values()))
        == 1
    )
    assert "b" not in protocol.ledger.equivocations and protocol.signing_errors[2].detail


# ---- shares of the pool ----


@settings(max_examples=150, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from("abcde"), st.tuples(st.integers(0, SHARE_TOTAL), st.integers(0, 9)), min_size=1
    )
)
def test_homes_are_the_shares_and_never_more_than_the_whole(partners):
    whole = 1_000_000
    routers = {name: [f"{name}{n}" for n in range(many)] for name, (_, many) in partners.items()}
    count = sum(map(len, routers.values()))
    if not count:
        return
    found = router_allocations(whole, {name: share for name, (share, _) in partners.items()}, routers)
    least = minimum_allocation(whole, count)
    assert sum(found.values()) <= whole and all(units >= least for units in found.values())
    total = sum(share for share, many in partners.values() if many)
    for name, (share, many) in partners.items():
        if total and many and share * whole // total >= many * least:
            mine = sum(found[router] for router in routers[name])
            assert mine >= (1 - 1 / 16) * share * whole / total - 2 * count


def test_agreement_has_what_every_router_needs():
    agreement = derive_agreement([offer(n) for n in "abc"], 4, None)
    assert (
        isinstance(agreement, Agreement)
        and len(agreement.owners) == SLOTS
        and agreement.grace_period == 5 * SECOND
    )
