"""Slots to partners by agreed shares, with the fewest moves from what each holds.

Owns that mapping alone. Pure: the same inputs give every router the same owners, in whatever order partners
are named. Must never know what an agreement is, or when a slot may change hands.
"""

from collections.abc import Mapping, Sequence

from hillchute.history.slot_placement import SLOTS, weight

EVEN = (
    0.01  # part of all work by which a partner may be off: half of what is promised, as work is an estimate
)

Owners = tuple[str | None, ...]  # of each slot; None: nobody's


def targets(held: Sequence[str | None], shares: Mapping[str, int]) -> dict[str, int]:
    """Slots for each partner, within one of its exact part. Where the rounding leaves a choice, who holds one
    more already keeps it: so there is no split with fewer moves."""
    total = sum(shares.values())
    if not total:
        return dict.fromkeys(shares, 0)
    least = {name: SLOTS * share // total for name, share in shares.items()}
    over = SLOTS - sum(least.values())
    has = {name: held.count(name) for name in shares}
    rests = [name for name in shares if SLOTS * shares[name] % total]
    rests.sort(key=lambda name: (has[name] <= least[name], -(SLOTS * shares[name] % total), name))
    return {name: least[name] + (name in rests[:over]) for name in shares}


def split(held: Sequence[str | None], shares: Mapping[str, int]) -> Owners:
    """The owners by shares (whole numbers, whatever their sum), from those that hold the slots now. A partner
    without a share, or that is named no more, gives all."""
    if not sum(shares.values()):
        return (None,) * SLOTS
    wants = targets(held, shares)
    owners: list[str | None] = [None] * SLOTS
    for name, want in wants.items():
        mine = sorted(
            (s for s in range(SLOTS) if held[s] == name), key=lambda s: weight(s, name), reverse=True
        )
        for slot in mine[:want]:
            owners[slot] = name
        wants[name] = want - min(want, len(mine))
    for slot in range(SLOTS):
        if owners[slot] is None:
            name = max((n for n, want in wants.items() if want), key=lambda n: (weight(slot, n), n))
            owners[slot] = name
            wants[name] -= 1
    return tuple(owners)


def split_by_work(held: Sequence[str | None], shares: Mapping[str, int], work: Sequence[int]) -> Owners:
    """The owners by shares of the work that was measured a slot: each within two hundredths of all work of
    its part, or within the heaviest slot, which can't be parted. Heavy slots move first, so few do."""
    total, all_work = sum(shares.values()), sum(work)
    if not total or not all_work:
        return split(held, shares)
    owners: list[str | None] = [name if shares.get(name) else None for name in held]
    off = {name: -all_work * share / total for name, share in shares.items()}
    for slot, name in enumerate(owners):
        if name is not None:
            off[name] += work[slot]
    nobodys = sorted((s for s in range(SLOTS) if owners[s] is None), key=lambda s: (-work[s], s))
    for slot in nobodys:
        name = min((n for n in shares if shares[n]), key=lambda n: (off[n], n))
        owners[slot] = name
        off[name] += work[slot]
    for _ in range(SLOTS):
        giver = max(off, key=lambda n: (off[n], n))
        taker = min((n for n in off if shares[n]), key=lambda n: (off[n], n))
        if max(off[giver], -off[taker]) <= EVEN * all_work:
            break
        slot = to_move(owners, work, giver, off[giver], -off[taker])
        if slot is None:
            break
        owners[slot] = taker
        off[giver] -= work[slot]
        off[taker] += work[slot]
    return tuple(owners)


def to_move(
    owners: Sequence[str | None], work: Sequence[int], giver: str, over: float, under: float
) -> int | None:
    """The giver's slot that brings both nearest to their parts; None if none brings them nearer."""
    worst = max(over, under)
    best: tuple[float, int] | None = None
    for slot, name in enumerate(owners):
        if name == giver and work[slot]:
            left = max(abs(over - work[slot]), abs(under - work[slot]))
            if left < worst and (best is None or (left, slot) < best):
                best = left, slot
    return best[1] if best else None


def moves(held: Sequence[str | None], owners: Sequence[str | None]) -> int:
    return sum(before != after for before, after in zip(held, owners, strict=True))
