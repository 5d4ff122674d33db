"""Partners: allocation of slots by shares with the fewest moves, and agreements signed by all partners."""

import random

import msgspec
import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidAgreementError
from hillchute.history.slot_placement import SLOTS
from hillchute.lab.partners import minimum_moves
from hillchute.partners.agreement_ledger import AgreementLedger
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.agreements import derive_agreement, invalid_agreement_field
from hillchute.partners.offers import SHARE_TOTAL, Offer
from hillchute.partners.signatures import (
    Signature,
    SignedKind,
    content_digest,
    ed25519_signer,
    ed25519_verifier,
    signed_bytes,
)
from hillchute.partners.slot_allocation import allocate_slots, allocate_slots_by_load, count_moves

NAMES = ["a", "b", "c", "d", "e"]
shares = st.dictionaries(st.sampled_from(NAMES), st.integers(0, 1000), min_size=1)
seeds = st.integers(0, 10**6)


def random_owners(seed: int, names=(*NAMES, "gone", None)):
    """Return random owners of all slots, unevenly distributed."""
    rng = random.Random(seed)
    weights = [rng.random() ** 3 + 0.001 for _ in names]
    return tuple(rng.choices(names, weights, k=SLOTS))


@settings(max_examples=150, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())))
def test_allocation_is_within_one_slot_of_shares_with_fewest_moves(seed, shares):
    current = random_owners(seed)
    owners = allocate_slots(current, shares)
    total = sum(shares.values())
    for name, share in shares.items():
        assert abs(owners.count(name) - SLOTS * share / total) < 1
        assert share or not owners.count(name)
    assert set(owners) <= shares.keys()
    assert count_moves(current, owners) == minimum_moves(current, shares)
    assert allocate_slots(owners, shares) == owners


@settings(max_examples=60, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())), st.randoms(use_true_random=False))
def test_allocation_does_not_depend_on_order_of_partners(seed, shares, rng):
    current, names = random_owners(seed), list(shares)
    rng.shuffle(names)
    reordered = {name: shares[name] for name in names}
    load = [random.Random(seed).randrange(1000) for _ in range(SLOTS)]
    assert allocate_slots(current, shares) == allocate_slots(current, reordered)
    assert allocate_slots_by_load(current, shares, load) == allocate_slots_by_load(current, reordered, load)


def test_joining_or_leaving_partner_moves_only_its_own_slots():
    first = allocate_slots((None,) * SLOTS, {"a": 2, "b": 1})
    second = allocate_slots(first, {"a": 2, "b": 1, "c": 1})
    assert count_moves(first, second) == second.count("c") == SLOTS // 4
    third = allocate_slots(second, {"a": 2, "b": 1})
    assert count_moves(second, third) == SLOTS // 4
    assert allocate_slots(third, {"a": 0, "b": 0}) == (None,) * SLOTS


@settings(max_examples=80, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())))
def test_allocation_by_load_is_within_two_hundredths_or_the_heaviest_slot(seed, shares):
    current, rng = random_owners(seed), random.Random(seed)
    load = [int(1000 * rng.paretovariate(1.2)) for _ in range(SLOTS)]
    owners = allocate_slots_by_load(current, shares, load)
    total, total_load = sum(shares.values()), sum(load)
    for name, share in shares.items():
        own_load = sum(w for w, owner in zip(load, owners, strict=True) if owner == name)
        assert abs(own_load - total_load * share / total) <= max(0.02 * total_load, max(load))
    assert all(shares[owner] for owner in owners)


def test_allocation_by_load_moves_few_slots():
    """Starts from an even allocation by count. The bound is the total deficit in slots of mean load."""
    shares, rng = {"a": 3, "b": 2, "c": 1}, random.Random(5)
    current = allocate_slots((None,) * SLOTS, shares)
    load = [int(1000 * rng.paretovariate(1.5)) for _ in range(SLOTS)]
    owners = allocate_slots_by_load(current, shares, load)
    deficits = {
        n: sum(load) * s / 6 - sum(w for w, o in zip(load, current, strict=True) if o == n)
        for n, s in shares.items()
    }
    total_deficit = sum(max(0, deficit) for deficit in deficits.values())
    mean = sum(load) / SLOTS
    assert count_moves(current, owners) <= 2 + total_deficit / mean
    assert allocate_slots_by_load(owners, shares, load) == owners


def test_allocation_without_measured_load_is_by_count():
    current = random_owners(3)
    assert allocate_slots_by_load(current, {"a": 1, "b": 1}, [0] * SLOTS) == allocate_slots(
        current, {"a": 1, "b": 1}
    )


# ---- agreements ----

KEYS = {name: Ed25519PrivateKey.from_private_bytes(bytes([n]) * 32) for n, name in enumerate("abc", 1)}
PUBLIC = {name: key.public_key().public_bytes_raw() for name, key in KEYS.items()}
DAY = 864_000_000
VERIFY = ed25519_verifier(PUBLIC)


def offer(
    partner,
    desired_share=3000,
    minimum_share=1000,
    maximum_share=8000,
    revision=1,
    starts_at=0,
    ends_at=DAY,
    capacity=100,
):
    return Offer(
        partner,
        revision,
        capacity,
        desired_share,
        minimum_share,
        maximum_share,
        starts_at,
        ends_at,
        grace_period=100,
        notice_period=1000,
    )


def signer_for(name, journal=None, is_writable=True):
    journal = {} if journal is None else journal

    def record(number, digest):
        if is_writable:
            journal[number] = digest
        return is_writable

    return AgreementSigner(name, ed25519_signer(bytes([1 + "abc".index(name)]) * 32), record, journal)


def agreed(number=1, offers=None, ledger=None, **times):
    """Return an agreement and a ledger that has it with the signatures of all partners."""
    offers = offers or [offer(name, **times) for name in "abc"]
    agreement = derive_agreement(offers, number)
    ledger = ledger or AgreementLedger("abc", VERIFY)
    ledger.record_agreement(agreement)
    for own_offer in offers:
        assert ledger.record_signature(signer_for(own_offer.partner).sign_agreement(agreement, own_offer))
    return agreement, ledger


bounds = st.lists(
    st.tuples(st.integers(0, SHARE_TOTAL), st.integers(0, SHARE_TOTAL), st.integers(0, SHARE_TOTAL)).map(
        sorted
    ),
    min_size=1,
    max_size=6,
)


@settings(max_examples=200, deadline=None)
@given(bounds)
def test_shares_add_up_and_are_within_all_bounds(bounds):
    offers = [
        offer(f"p{n}", desired, minimum, maximum) for n, (minimum, desired, maximum) in enumerate(bounds)
    ]
    if not sum(b[0] for b in bounds) <= SHARE_TOTAL <= sum(b[2] for b in bounds):
        with pytest.raises(InvalidAgreementError):
            derive_agreement(offers, 1)
        return
    agreement = derive_agreement(offers, 1)
    assert sum(agreement.shares.values()) == SHARE_TOTAL and not invalid_agreement_field(agreement)
    assert all(o.minimum_share <= agreement.shares[o.partner] <= o.maximum_share for o in offers)
    assert agreement == derive_agreement(offers[::-1], 1)
    if sum(o.desired_share for o in offers) == SHARE_TOTAL:
        assert all(agreement.shares[o.partner] == o.desired_share for o in offers)


@pytest.mark.parametrize(
    ("offers", "location"),
    [
        ([], ""),
        ([offer("a", desired_share=500)], "a"),
        (
            [
                offer("a", minimum_share=6000, desired_share=6000),
                offer("b", minimum_share=6000, desired_share=6000),
            ],
            "least",
        ),
        ([offer("a", maximum_share=4000), offer("b", maximum_share=4000)], "most"),
        ([offer("a", ends_at=10), offer("b", starts_at=10)], "begins"),
    ],
)
def test_incompatible_offers_name_the_conflicting_term(offers, location):
    with pytest.raises(InvalidAgreementError) as error:
        derive_agreement(offers, 1)
    assert error.value.location == location


def test_fully_signed_agreement_is_in_force_from_start_to_end():
    agreement, ledger = agreed(starts_at=50)
    assert [ledger.in_force(now) for now in (49, 50, DAY - 1, DAY)] == [None, agreement, agreement, None]
    assert sum(ledger.shares(50).values()) == SHARE_TOTAL and ledger.shares(DAY) == {}


@settings(max_examples=120, deadline=None)
@given(st.randoms(use_true_random=False), st.sets(st.integers(0, 7)))
def test_old_or_new_agreement_is_in_force_under_loss_repeats_and_delay(rng, lost):
    """Two routers get the same messages in different orders, and not all of them.

    Each has either the old agreement in force or the new one, the new one only with all signatures. Both have
    the same once they have received the same messages.
    """
    old, _ = agreed()
    ledgers = [agreed(ledger=AgreementLedger("abc", VERIFY))[1] for _ in range(2)]
    offers = [offer(name, desired_share=3000 + 500 * n, starts_at=100) for n, name in enumerate("abc")]
    new = derive_agreement(offers, 2)
    messages = [new, *(signer_for(o.partner).sign_agreement(new, o) for o in offers)]
    received = [set(), set()]
    deliveries = [(router, n) for router in (0, 1) for n in range(4) if router * 4 + n not in lost] * 2
    rng.shuffle(deliveries)
    for router, n in deliveries:
        (ledgers[router].record_agreement if n == 0 else ledgers[router].record_signature)(messages[n])
        received[router].add(n)
        expected = new if received[router] == {0, 1, 2, 3} else old
        assert ledgers[router].in_force(200) == expected
        assert ledgers[router].in_force(99) == old
    for ledger in ledgers:
        ledger.record_agreement(new)
        assert all(ledger.record_signature(signature) for signature in messages[1:])
    assert [ledger.in_force(200) for ledger in ledgers] == [new, new]


def test_partner_signs_one_agreement_per_number_also_after_a_crash():
    journal, own = {}, offer("a")
    agreement, other = (derive_agreement([own, offer("b", desired_share=w)], 3) for w in (3000, 5000))
    first = signer_for("a", journal).sign_agreement(agreement, own)
    restarted = signer_for("a", journal)  # after a crash, with what the journal has
    assert restarted.sign_agreement(agreement, own) == first
    with pytest.raises(InvalidAgreementError, match="number 3"):
        restarted.sign_agreement(other, own)
    with pytest.raises(InvalidAgreementError, match="number 3"):
        restarted.sign_agreement(derive_agreement([own, offer("b")], 2), own)
    assert (
        restarted.sign_agreement(derive_agreement([own, offer("b", desired_share=5000)], 4), own).number == 4
    )


def test_signature_that_cannot_be_stored_is_not_handed_out():
    own = offer("a")
    signer = signer_for("a", is_writable=False)
    with pytest.raises(InvalidAgreementError, match="kept"):
        signer.sign_agreement(derive_agreement([own, offer("b")], 1), own)
    assert not signer.signed


@pytest.mark.parametrize(
    "own",
    [
        offer("a", minimum_share=4000, desired_share=4000),
        offer("a", capacity=50),
        offer("a", starts_at=50),
        offer("a", ends_at=100),
        offer("b"),
    ],
)
def test_partner_signs_only_what_it_offered(own):
    agreement = derive_agreement([offer("a"), offer("b", desired_share=7000)], 1)
    with pytest.raises(InvalidAgreementError):
        signer_for("a").sign_agreement(agreement, own)


def test_signatures_of_others_or_on_other_agreements_are_rejected():
    agreement = derive_agreement([offer(name) for name in "abc"], 1)
    ledger = AgreementLedger("abc", VERIFY)
    ledger.record_agreement(agreement)
    signature = signer_for("a").sign_agreement(agreement, offer("a"))
    assert not ledger.record_signature(msgspec.structs.replace(signature, partner="b"))
    assert not ledger.record_signature(msgspec.structs.replace(signature, partner="x"))
    assert not ledger.record_signature(msgspec.structs.replace(signature, digest=b"other"))
    assert not ledger.record_agreement(msgspec.structs.replace(agreement, shares={"a": SHARE_TOTAL + 1}))
    for name in "bc":
        ledger.record_signature(signer_for(name).sign_agreement(agreement, offer(name)))
    assert ledger.in_force(1) is None
    ledger.record_signature(signature)
    assert ledger.in_force(1) == agreement


def test_partner_that_signs_two_agreements_loses_its_share():
    agreement, ledger = agreed()
    sign = ed25519_signer(bytes([1]) * 32)
    other = derive_agreement([offer("a", desired_share=8000, minimum_share=8000), offer("b"), offer("c")], 1)
    ledger.record_agreement(other)
    ledger.record_signature(
        Signature(
            "a", 1, content_digest(other), sign(signed_bytes(SignedKind.AGREEMENT, 1, content_digest(other)))
        )
    )
    assert ledger.in_force(1) == agreement
    assert ledger.shares(1)["a"] == 0 and ledger.shares(1)["b"] == agreement.shares["b"]


def test_partner_that_gives_notice_keeps_its_share_until_the_notice_ends():
    agreement, ledger = agreed()
    notice, signature = signer_for("b").give_notice(agreement, 500)
    assert not ledger.record_notice(msgspec.structs.replace(notice, effective_at=0), signature)
    assert not ledger.record_notice(msgspec.structs.replace(notice, partner="a"), signature)
    assert ledger.record_notice(notice, signature)
    assert ledger.shares(1499)["b"] > 0 and ledger.shares(1500)["b"] == 0
    assert (
        allocate_slots(allocate_slots((None,) * SLOTS, ledger.shares(0)), ledger.shares(1500)).count("b") == 0
    )


def test_without_one_signature_the_old_agreement_stays_in_force_to_its_end():
    old, ledger = agreed()
    offers = [offer(name, desired_share=2000, starts_at=100) for name in "abc"]
    new = derive_agreement(offers, 2)
    ledger.record_agreement(new)
    for one in offers[:2]:
        ledger.record_signature(signer_for(one.partner).sign_agreement(new, one))
    assert ledger.in_force(DAY - 1) == old and ledger.in_force(DAY) is None
