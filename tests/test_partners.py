"""Partners: slots by agreed shares with the fewest moves; agreements that all of them have signed."""

import random

import msgspec
import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidAgreementError
from hillchute.history.slot_placement import SLOTS
from hillchute.lab.partners import least_moves
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


def some_held(seed: int, names=(*NAMES, "gone", None)):
    """Slots as they might be held, evenly or not."""
    chance = random.Random(seed)
    weights = [chance.random() ** 3 + 0.001 for _ in names]
    return tuple(chance.choices(names, weights, k=SLOTS))


@settings(max_examples=150, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())))
def test_split_is_within_one_slot_of_exact_with_the_fewest_moves(seed, shares):
    held = some_held(seed)
    owners = allocate_slots(held, shares)
    total = sum(shares.values())
    for name, share in shares.items():
        assert abs(owners.count(name) - SLOTS * share / total) < 1
        assert share or not owners.count(name)
    assert set(owners) <= shares.keys()
    assert count_moves(held, owners) == least_moves(held, shares)
    assert allocate_slots(owners, shares) == owners


@settings(max_examples=60, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())), st.randoms(use_true_random=False))
def test_split_is_the_same_in_whatever_order_partners_are_named(seed, shares, chance):
    held, names = some_held(seed), list(shares)
    chance.shuffle(names)
    again = {name: shares[name] for name in names}
    work = [random.Random(seed).randrange(1000) for _ in range(SLOTS)]
    assert allocate_slots(held, shares) == allocate_slots(held, again)
    assert allocate_slots_by_load(held, shares, work) == allocate_slots_by_load(held, again, work)


def test_partner_that_comes_or_goes_moves_its_part_alone():
    first = allocate_slots((None,) * SLOTS, {"a": 2, "b": 1})
    second = allocate_slots(first, {"a": 2, "b": 1, "c": 1})
    assert count_moves(first, second) == second.count("c") == SLOTS // 4
    third = allocate_slots(second, {"a": 2, "b": 1})
    assert count_moves(second, third) == SLOTS // 4
    assert allocate_slots(third, {"a": 0, "b": 0}) == (None,) * SLOTS


@settings(max_examples=80, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())))
def test_split_by_work_is_within_two_hundredths_or_the_heaviest_slot(seed, shares):
    held, chance = some_held(seed), random.Random(seed)
    work = [int(1000 * chance.paretovariate(1.2)) for _ in range(SLOTS)]
    owners = allocate_slots_by_load(held, shares, work)
    total, all_work = sum(shares.values()), sum(work)
    for name, share in shares.items():
        mine = sum(w for w, owner in zip(work, owners, strict=True) if owner == name)
        assert abs(mine - all_work * share / total) <= max(0.02 * all_work, max(work))
    assert all(shares[owner] for owner in owners)


def test_split_by_work_moves_few_slots():
    """From an even split by count, as work drifts apart: far fewer than dealing anew would."""
    shares, chance = {"a": 3, "b": 2, "c": 1}, random.Random(5)
    held = allocate_slots((None,) * SLOTS, shares)
    work = [int(1000 * chance.paretovariate(1.5)) for _ in range(SLOTS)]
    owners = allocate_slots_by_load(held, shares, work)
    off = {
        n: sum(work) * s / 6 - sum(w for w, o in zip(work, held, strict=True) if o == n)
        for n, s in shares.items()
    }
    deficit = sum(max(0, gap) for gap in off.values())
    mean = sum(work) / SLOTS
    assert count_moves(held, owners) <= 2 + deficit / mean
    assert allocate_slots_by_load(owners, shares, work) == owners


def test_work_that_nobody_measured_is_split_by_count():
    held = some_held(3)
    assert allocate_slots_by_load(held, {"a": 1, "b": 1}, [0] * SLOTS) == allocate_slots(
        held, {"a": 1, "b": 1}
    )


# ---- agreements ----

KEYS = {name: Ed25519PrivateKey.from_private_bytes(bytes([n]) * 32) for n, name in enumerate("abc", 1)}
PUBLIC = {name: key.public_key().public_bytes_raw() for name, key in KEYS.items()}
DAY = 864_000_000
CHECK = ed25519_verifier(PUBLIC)


def offer(partner, want=3000, least=1000, most=8000, turn=1, begins=0, ends=DAY, capacity=100):
    return Offer(
        partner, turn, capacity, want, least, most, begins, ends, grace_period=100, notice_period=1000
    )


def signer_for(name, kept=None, save=True):
    kept = {} if kept is None else kept

    def keep(number, digest):
        if save:
            kept[number] = digest
        return save

    return AgreementSigner(name, ed25519_signer(bytes([1 + "abc".index(name)]) * 32), keep, kept)


def agreed(number=1, offers=None, ledger=None, **times):
    """An agreement with the signatures of all, in a ledger."""
    offers = offers or [offer(name, **times) for name in "abc"]
    agreement = derive_agreement(offers, number)
    ledger = ledger or AgreementLedger("abc", CHECK)
    ledger.record_agreement(agreement)
    for one in offers:
        assert ledger.record_signature(signer_for(one.partner).sign_agreement(agreement, one))
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
def test_shares_add_up_and_keep_everybodys_bounds(bounds):
    offers = [offer(f"p{n}", want, least, most) for n, (least, want, most) in enumerate(bounds)]
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
    ("offers", "where"),
    [
        ([], ""),
        ([offer("a", want=500)], "a"),
        ([offer("a", least=6000, want=6000), offer("b", least=6000, want=6000)], "least"),
        ([offer("a", most=4000), offer("b", most=4000)], "most"),
        ([offer("a", ends=10), offer("b", begins=10)], "begins"),
    ],
)
def test_offers_that_do_not_meet_say_where(offers, where):
    with pytest.raises(InvalidAgreementError) as fault:
        derive_agreement(offers, 1)
    assert fault.value.location == where


def test_agreement_is_in_force_with_every_signature_from_its_time_to_its_end():
    agreement, ledger = agreed(begins=50)
    assert [ledger.in_force(now) for now in (49, 50, DAY - 1, DAY)] == [None, agreement, agreement, None]
    assert sum(ledger.shares(50).values()) == SHARE_TOTAL and ledger.shares(DAY) == {}


@settings(max_examples=120, deadline=None)
@given(st.randoms(use_true_random=False), st.sets(st.integers(0, 7)))
def test_old_or_new_agreement_whatever_is_lost_repeated_or_late(chance, lost):
    """Two routers hear the same in other orders, and not all of it: each has the old agreement or the new
    one, the new one only with all signatures, and both the same once they have heard the same."""
    old, _ = agreed()
    ledgers = [agreed(ledger=AgreementLedger("abc", CHECK))[1] for _ in range(2)]
    offers = [offer(name, want=3000 + 500 * n, begins=100) for n, name in enumerate("abc")]
    new = derive_agreement(offers, 2)
    messages = [new, *(signer_for(o.partner).sign_agreement(new, o) for o in offers)]
    heard = [set(), set()]
    line = [(router, n) for router in (0, 1) for n in range(4) if router * 4 + n not in lost] * 2
    chance.shuffle(line)
    for router, n in line:
        (ledgers[router].record_agreement if n == 0 else ledgers[router].record_signature)(messages[n])
        heard[router].add(n)
        want = new if heard[router] == {0, 1, 2, 3} else old
        assert ledgers[router].in_force(200) == want
        assert ledgers[router].in_force(99) == old
    for ledger in ledgers:
        ledger.record_agreement(new)
        assert all(ledger.record_signature(signature) for signature in messages[1:])
    assert [ledger.in_force(200) for ledger in ledgers] == [new, new]


def test_partner_signs_one_agreement_for_a_number_also_after_a_crash():
    kept, own = {}, offer("a")
    agreement, other = (derive_agreement([own, offer("b", want=w)], 3) for w in (3000, 5000))
    first = signer_for("a", kept).sign_agreement(agreement, own)
    again = signer_for("a", kept)  # it has crashed, and read what it kept
    assert again.sign_agreement(agreement, own) == first
    with pytest.raises(InvalidAgreementError, match="number 3"):
        again.sign_agreement(other, own)
    with pytest.raises(InvalidAgreementError, match="number 3"):
        again.sign_agreement(derive_agreement([own, offer("b")], 2), own)
    assert again.sign_agreement(derive_agreement([own, offer("b", want=5000)], 4), own).number == 4


def test_signature_that_cannot_be_kept_is_not_given():
    own = offer("a")
    hand = signer_for("a", save=False)
    with pytest.raises(InvalidAgreementError, match="kept"):
        hand.sign_agreement(derive_agreement([own, offer("b")], 1), own)
    assert not hand.signed


@pytest.mark.parametrize(
    "own",
    [
        offer("a", least=4000, want=4000),
        offer("a", capacity=50),
        offer("a", begins=50),
        offer("a", ends=100),
        offer("b"),
    ],
)
def test_partner_signs_nothing_that_it_did_not_offer(own):
    agreement = derive_agreement([offer("a"), offer("b", want=7000)], 1)
    with pytest.raises(InvalidAgreementError):
        signer_for("a").sign_agreement(agreement, own)


def test_signatures_of_others_or_on_other_agreements_count_for_nothing():
    agreement = derive_agreement([offer(name) for name in "abc"], 1)
    ledger = AgreementLedger("abc", CHECK)
    ledger.record_agreement(agreement)
    good = signer_for("a").sign_agreement(agreement, offer("a"))
    assert not ledger.record_signature(msgspec.structs.replace(good, partner="b"))
    assert not ledger.record_signature(msgspec.structs.replace(good, partner="x"))
    assert not ledger.record_signature(msgspec.structs.replace(good, digest=b"other"))
    assert not ledger.record_agreement(msgspec.structs.replace(agreement, shares={"a": SHARE_TOTAL + 1}))
    for name in "bc":
        ledger.record_signature(signer_for(name).sign_agreement(agreement, offer(name)))
    assert ledger.in_force(1) is None
    ledger.record_signature(good)
    assert ledger.in_force(1) == agreement


def test_partner_that_signs_two_agreements_has_no_part_any_more():
    agreement, ledger = agreed()
    hand = ed25519_signer(bytes([1]) * 32)
    other = derive_agreement([offer("a", want=8000, least=8000), offer("b"), offer("c")], 1)
    ledger.record_agreement(other)
    ledger.record_signature(
        Signature(
            "a", 1, content_digest(other), hand(signed_bytes(SignedKind.AGREEMENT, 1, content_digest(other)))
        )
    )
    assert ledger.in_force(1) == agreement
    assert ledger.shares(1)["a"] == 0 and ledger.shares(1)["b"] == agreement.shares["b"]


def test_partner_that_withdraws_has_its_part_until_its_notice_has_run_out():
    agreement, ledger = agreed()
    notice, signature = signer_for("b").give_notice(agreement, 500)
    assert not ledger.record_notice(msgspec.structs.replace(notice, effective_at=0), signature)
    assert not ledger.record_notice(msgspec.structs.replace(notice, partner="a"), signature)
    assert ledger.record_notice(notice, signature)
    assert ledger.shares(1499)["b"] > 0 and ledger.shares(1500)["b"] == 0
    assert (
        allocate_slots(allocate_slots((None,) * SLOTS, ledger.shares(0)), ledger.shares(1500)).count("b") == 0
    )


def test_silent_partner_keeps_the_old_agreement_to_its_end():
    old, ledger = agreed()
    offers = [offer(name, want=2000, begins=100) for name in "abc"]
    new = derive_agreement(offers, 2)
    ledger.record_agreement(new)
    for one in offers[:2]:
        ledger.record_signature(signer_for(one.partner).sign_agreement(new, one))
    assert ledger.in_force(DAY - 1) == old and ledger.in_force(DAY) is None
