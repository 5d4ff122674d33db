"""Allocation of slots to partners by their agreed shares, with the fewest moves from the present owners.

Performs no I/O and is deterministic: the same inputs give the same owners at every router, in whatever order
the partners are named.
"""

from collections.abc import Mapping, Sequence

from hillchute.history.slot_placement import SLOTS, weight

# Fraction of the total load by which a partner may miss its share: half of the documented 0.02, because load
# is an estimate.
LOAD_TOLERANCE = 0.01

SlotOwners = tuple[str | None, ...]  # the partner that owns each slot, or None
NO_OWNERS: SlotOwners = (None,) * SLOTS


def target_slot_counts(current: Sequence[str | None], shares: Mapping[str, int]) -> dict[str, int]:
    """Return how many slots each partner should own, within one of its exact share.

    Where rounding leaves a choice, the extra slot goes to a partner that already owns it, so that the number
    of moves is minimal.
    """
    total = sum(shares.values())
    if not total:
        return dict.fromkeys(shares, 0)
    rounded_down = {name: SLOTS * share // total for name, share in shares.items()}
    unassigned = SLOTS - sum(rounded_down.values())
    owned = {name: current.count(name) for name in shares}
    fractional = [name for name in shares if SLOTS * shares[name] % total]
    fractional.sort(
        key=lambda name: (owned[name] <= rounded_down[name], -(SLOTS * shares[name] % total), name)
    )
    rounded_up = fractional[:unassigned]
    return {name: rounded_down[name] + (name in rounded_up) for name in shares}


def allocate_slots(current: Sequence[str | None], shares: Mapping[str, int]) -> SlotOwners:
    """Return the owners of all slots by shares, which are integers of any sum.

    A partner without a share, or not in `shares`, loses all its slots.
    """
    if not sum(shares.values()):
        return NO_OWNERS
    missing = target_slot_counts(current, shares)
    owners: list[str | None] = [None] * SLOTS
    for name, target in missing.items():
        owned = [slot for slot in range(SLOTS) if current[slot] == name]
        owned.sort(key=lambda slot: weight(slot, name), reverse=True)
        for slot in owned[:target]:
            owners[slot] = name
        missing[name] = target - min(target, len(owned))
    for slot in range(SLOTS):
        if owners[slot] is None:
            candidates = [name for name, count in missing.items() if count]
            new_owner = max(candidates, key=lambda name: (weight(slot, name), name))
            owners[slot] = new_owner
            missing[new_owner] -= 1
    return tuple(owners)


def allocate_slots_by_load(
    current: Sequence[str | None], shares: Mapping[str, int], load: Sequence[int]
) -> SlotOwners:
    """Return the owners of all slots by shares of the load, given the load of each slot.

    Each partner's load differs from its share by at most 0.02 of the total load, or by the load of the
    heaviest slot if that is more, because a slot can't be divided. Heavy slots are moved first, so that few
    slots move. Without any load, slots are allocated by count.
    """
    total_share = sum(shares.values())
    total_load = sum(load)
    if not total_share or not total_load:
        return allocate_slots(current, shares)
    owners: list[str | None] = [name if name is not None and shares.get(name) else None for name in current]
    excess = {name: -total_load * share / total_share for name, share in shares.items()}
    for slot, owner in enumerate(owners):
        if owner is not None:
            excess[owner] += load[slot]
    _assign_unowned(owners, excess, shares, load)
    _rebalance(owners, excess, shares, load)
    return tuple(owners)


def _assign_unowned(
    owners: list[str | None], excess: dict[str, float], shares: Mapping[str, int], load: Sequence[int]
) -> None:
    """Give each unowned slot, the heaviest first, to the partner that is furthest below its share."""
    unowned = [slot for slot in range(SLOTS) if owners[slot] is None]
    unowned.sort(key=lambda slot: (-load[slot], slot))
    for slot in unowned:
        new_owner = _furthest_below(excess, shares)
        owners[slot] = new_owner
        excess[new_owner] += load[slot]


def _rebalance(
    owners: list[str | None], excess: dict[str, float], shares: Mapping[str, int], load: Sequence[int]
) -> None:
    """Move slots from the partner furthest above its share to the one furthest below, while both improve."""
    tolerance = LOAD_TOLERANCE * sum(load)
    for _ in range(SLOTS):
        donor = max(excess, key=lambda name: (excess[name], name))
        recipient = _furthest_below(excess, shares)
        if max(excess[donor], -excess[recipient]) <= tolerance:
            return
        slot = _best_slot_to_move(owners, load, donor, excess[donor], -excess[recipient])
        if slot is None:
            return
        owners[slot] = recipient
        excess[donor] -= load[slot]
        excess[recipient] += load[slot]


def _furthest_below(excess: Mapping[str, float], shares: Mapping[str, int]) -> str:
    """Return the partner that is furthest below its share; partners without a share do not count."""
    return min((name for name in excess if shares[name]), key=lambda name: (excess[name], name))


def _best_slot_to_move(
    owners: Sequence[str | None], load: Sequence[int], donor: str, surplus: float, deficit: float
) -> int | None:
    """Return the donor's slot whose move reduces the larger of both deviations most; None if no move does."""
    worst = max(surplus, deficit)
    best: tuple[float, int] | None = None
    for slot, owner in enumerate(owners):
        if owner != donor or not load[slot]:
            continue
        remaining = max(abs(surplus - load[slot]), abs(deficit - load[slot]))
        if remaining < worst and (best is None or (remaining, slot) < best):
            best = (remaining, slot)
    return best[1] if best else None


def count_moves(before: Sequence[str | None], after: Sequence[str | None]) -> int:
    """Return the number of slots whose owner differs."""
    return sum(old != new for old, new in zip(before, after, strict=True))
