"""Partners: slots by agreed shares, with the fewest moves."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.history.slots import SLOTS
from hillchute.partners.split import moves, split, split_by_work

NAMES = ["a", "b", "c", "d", "e"]
shares = st.dictionaries(st.sampled_from(NAMES), st.integers(0, 1000), min_size=1)
seeds = st.integers(0, 10**6)


def some_held(seed: int, names=(*NAMES, "gone", None)):
    """Slots as they might be held, evenly or not."""
    chance = random.Random(seed)
    weights = [chance.random() ** 3 + 0.001 for _ in names]
    return tuple(chance.choices(names, weights, k=SLOTS))


def least_moves(held, shares):
    """By the rule of it: whoever gets less than before gives, and each given or unheld slot moves once. The
    rounding is tried in all ways that keep each within one slot of its exact part."""
    total = sum(shares.values())
    floors = {n: SLOTS * s // total for n, s in shares.items()}
    over = SLOTS - sum(floors.values())
    kept = sum(min(held.count(n), floors[n]) for n in shares)
    gain = sum(1 for n in shares if SLOTS * shares[n] % total and held.count(n) > floors[n])
    return SLOTS - kept - min(over, gain)


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
