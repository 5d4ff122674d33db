"""Partners: slots by agreed shares with the fewest moves; texts that all of them have marked."""

import random

import msgspec
import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidAgreementError
from hillchute.history.slot_placement import SLOTS
from hillchute.lab.partners import least_moves
from hillchute.partners.agreement import (
    WHOLE,
    Ledger,
    Mark,
    Marker,
    Offer,
    Text,
    digest,
    settle,
    unfit,
    words,
)
from hillchute.partners.marks import checker, signer
from hillchute.partners.split import moves, split, split_by_work

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
    owners = split(held, shares)
    total = sum(shares.values())
    for name, share in shares.items():
        assert abs(owners.count(name) - SLOTS * share / total) < 1
        assert share or not owners.count(name)
    assert set(owners) <= shares.keys()
    assert moves(held, owners) == least_moves(held, shares)
    assert split(owners, shares) == owners


@settings(max_examples=60, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())), st.randoms(use_true_random=False))
def test_split_is_the_same_in_whatever_order_partners_are_named(seed, shares, chance):
    held, names = some_held(seed), list(shares)
    chance.shuffle(names)
    again = {name: shares[name] for name in names}
    work = [random.Random(seed).randrange(1000) for _ in range(SLOTS)]
    assert split(held, shares) == split(held, again)
    assert split_by_work(held, shares, work) == split_by_work(held, again, work)


def test_partner_that_comes_or_goes_moves_its_part_alone():
    first = split((None,) * SLOTS, {"a": 2, "b": 1})
    second = split(first, {"a": 2, "b": 1, "c": 1})
    assert moves(first, second) == second.count("c") == SLOTS // 4
    third = split(second, {"a": 2, "b": 1})
    assert moves(second, third) == SLOTS // 4
    assert split(third, {"a": 0, "b": 0}) == (None,) * SLOTS


@settings(max_examples=80, deadline=None)
@given(seeds, shares.filter(lambda s: sum(s.values())))
def test_split_by_work_is_within_two_hundredths_or_the_heaviest_slot(seed, shares):
    held, chance = some_held(seed), random.Random(seed)
    work = [int(1000 * chance.paretovariate(1.2)) for _ in range(SLOTS)]
    owners = split_by_work(held, shares, work)
    total, all_work = sum(shares.values()), sum(work)
    for name, share in shares.items():
        mine = sum(w for w, owner in zip(work, owners, strict=True) if owner == name)
        assert abs(mine - all_work * share / total) <= max(0.02 * all_work, max(work))
    assert all(shares[owner] for owner in owners)


def test_split_by_work_moves_few_slots():
    """From an even split by count, as work drifts apart: far fewer than dealing anew would."""
    shares, chance = {"a": 3, "b": 2, "c": 1}, random.Random(5)
    held = split((None,) * SLOTS, shares)
    work = [int(1000 * chance.paretovariate(1.5)) for _ in range(SLOTS)]
    owners = split_by_work(held, shares, work)
    off = {
        n: sum(work) * s / 6 - sum(w for w, o in zip(work, held, strict=True) if o == n)
        for n, s in shares.items()
    }
    deficit = sum(max(0, gap) for gap in off.values())
    mean = sum(work) / SLOTS
    assert moves(held, owners) <= 2 + deficit / mean
    assert split_by_work(owners, shares, work) == owners


def test_work_that_nobody_measured_is_split_by_count():
    held = some_held(3)
    assert split_by_work(held, {"a": 1, "b": 1}, [0] * SLOTS) == split(held, {"a": 1, "b": 1})


# ---- agreements ----

KEYS = {name: Ed25519PrivateKey.from_private_bytes(bytes([n]) * 32) for n, name in enumerate("abc", 1)}
PUBLIC = {name: key.public_key().public_bytes_raw() for name, key in KEYS.items()}
DAY = 864_000_000
CHECK = checker(PUBLIC)


def offer(partner, want=3000, least=1000, most=8000, turn=1, begins=0, ends=DAY, capacity=100):
    return Offer(partner, turn, capacity, want, least, most, begins, ends, grace=100, notice=1000)


def marker(name, kept=None, save=True):
    kept = {} if kept is None else kept

    def keep(number, sealed):
        if save:
            kept[number] = sealed
        return save

    return Marker(name, signer(bytes([1 + "abc".index(name)]) * 32), keep, kept)


def agreed(number=1, offers=None, ledger=None, **times):
    """A text with the marks of all, in a ledger."""
    offers = offers or [offer(name, **times) for name in "abc"]
    text = settle(offers, number)
    ledger = ledger or Ledger("abc", CHECK)
    ledger.hear(text)
    for one in offers:
        assert ledger.hear_mark(marker(one.partner).mark(text, one))
    return text, ledger


bounds = st.lists(
    st.tuples(st.integers(0, WHOLE), st.integers(0, WHOLE), st.integers(0, WHOLE)).map(sorted),
    min_size=1,
    max_size=6,
)


@settings(max_examples=200, deadline=None)
@given(bounds)
def test_shares_add_up_and_keep_everybodys_bounds(bounds):
    offers = [offer(f"p{n}", want, least, most) for n, (least, want, most) in enumerate(bounds)]
    if not sum(b[0] for b in bounds) <= WHOLE <= sum(b[2] for b in bounds):
        with pytest.raises(InvalidAgreementError):
            settle(offers, 1)
        return
    text = settle(offers, 1)
    assert sum(text.shares.values()) == WHOLE and not unfit(text)
    assert all(o.least <= text.shares[o.partner] <= o.most for o in offers)
    assert text == settle(offers[::-1], 1)
    if sum(o.want for o in offers) == WHOLE:
        assert all(text.shares[o.partner] == o.want for o in offers)


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
        settle(offers, 1)
    assert fault.value.location == where


def test_text_is_in_force_with_every_mark_from_its_time_to_its_end():
    text, ledger = agreed(begins=50)
    assert [ledger.in_force(now) for now in (49, 50, DAY - 1, DAY)] == [None, text, text, None]
    assert sum(ledger.shares(50).values()) == WHOLE and ledger.shares(DAY) == {}


@settings(max_examples=120, deadline=None)
@given(st.randoms(use_true_random=False), st.sets(st.integers(0, 7)))
def test_old_or_new_text_whatever_is_lost_repeated_or_late(chance, lost):
    """Two routers hear the same in other orders, and not all of it: each has the old text or the new one, the
    new one only with all marks, and both the same once they have heard the same."""
    old, _ = agreed()
    ledgers = [agreed(ledger=Ledger("abc", CHECK))[1] for _ in range(2)]
    offers = [offer(name, want=3000 + 500 * n, begins=100) for n, name in enumerate("abc")]
    new = settle(offers, 2)
    messages = [new, *(marker(o.partner).mark(new, o) for o in offers)]
    heard = [set(), set()]
    line = [(router, n) for router in (0, 1) for n in range(4) if router * 4 + n not in lost] * 2
    chance.shuffle(line)
    for router, n in line:
        (ledgers[router].hear if n == 0 else ledgers[router].hear_mark)(messages[n])
        heard[router].add(n)
        want = new if heard[router] == {0, 1, 2, 3} else old
        assert ledgers[router].in_force(200) == want
        assert ledgers[router].in_force(99) == old
    for ledger in ledgers:
        ledger.hear(new)
        assert all(ledger.hear_mark(mark) for mark in messages[1:])
    assert [ledger.in_force(200) for ledger in ledgers] == [new, new]


def test_partner_marks_one_text_for_a_number_also_after_a_crash():
    kept, own = {}, offer("a")
    text, other = (settle([own, offer("b", want=w)], 3) for w in (3000, 5000))
    first = marker("a", kept).mark(text, own)
    again = marker("a", kept)  # it has crashed, and read what it kept
    assert again.mark(text, own) == first
    with pytest.raises(InvalidAgreementError, match="number 3"):
        again.mark(other, own)
    with pytest.raises(InvalidAgreementError, match="number 3"):
        again.mark(settle([own, offer("b")], 2), own)
    assert again.mark(settle([own, offer("b", want=5000)], 4), own).number == 4


def test_mark_that_cannot_be_kept_is_not_given():
    own = offer("a")
    hand = marker("a", save=False)
    with pytest.raises(InvalidAgreementError, match="kept"):
        hand.mark(settle([own, offer("b")], 1), own)
    assert not hand.marked


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
def test_partner_marks_nothing_that_it_did_not_offer(own):
    text = settle([offer("a"), offer("b", want=7000)], 1)
    with pytest.raises(InvalidAgreementError):
        marker("a").mark(text, own)


def test_marks_of_others_or_on_other_texts_count_for_nothing():
    text = settle([offer(name) for name in "abc"], 1)
    ledger = Ledger("abc", CHECK)
    ledger.hear(text)
    good = marker("a").mark(text, offer("a"))
    assert not ledger.hear_mark(msgspec.structs.replace(good, partner="b"))
    assert not ledger.hear_mark(msgspec.structs.replace(good, partner="x"))
    assert not ledger.hear_mark(msgspec.structs.replace(good, digest=b"other"))
    assert not ledger.hear(msgspec.structs.replace(text, shares={"a": WHOLE + 1}))
    for name in "bc":
        ledger.hear_mark(marker(name).mark(text, offer(name)))
    assert ledger.in_force(1) is None
    ledger.hear_mark(good)
    assert ledger.in_force(1) == text


def test_partner_that_marks_two_texts_has_no_part_any_more():
    text, ledger = agreed()
    hand = signer(bytes([1]) * 32)
    other = settle([offer("a", want=8000, least=8000), offer("b"), offer("c")], 1)
    ledger.hear(other)
    ledger.hear_mark(Mark("a", 1, digest(other), hand(words(Text, 1, digest(other)))))
    assert ledger.in_force(1) == text
    assert ledger.shares(1)["a"] == 0 and ledger.shares(1)["b"] == text.shares["b"]


def test_partner_that_withdraws_has_its_part_until_its_notice_has_run_out():
    text, ledger = agreed()
    notice, mark = marker("b").leave(text, 500)
    assert not ledger.hear_notice(msgspec.structs.replace(notice, at=0), mark)
    assert not ledger.hear_notice(msgspec.structs.replace(notice, partner="a"), mark)
    assert ledger.hear_notice(notice, mark)
    assert ledger.shares(1499)["b"] > 0 and ledger.shares(1500)["b"] == 0
    assert split(split((None,) * SLOTS, ledger.shares(0)), ledger.shares(1500)).count("b") == 0


def test_silent_partner_keeps_the_old_text_to_its_end():
    old, ledger = agreed()
    offers = [offer(name, want=2000, begins=100) for name in "abc"]
    new = settle(offers, 2)
    ledger.hear(new)
    for one in offers[:2]:
        ledger.hear_mark(marker(one.partner).mark(new, one))
    assert ledger.in_force(DAY - 1) == old and ledger.in_force(DAY) is None
