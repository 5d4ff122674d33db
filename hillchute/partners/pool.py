"""What each router may use of the pool of engines by its partner's share.

Owns that one division. Pure. Must never know what is used, lent or asked for: that is
coordination/quota_leases.py, whose limit `pool` has these homes.
"""

from collections.abc import Iterable, Mapping

LEAST = 16  # one part in so many of an even part is each router's by every text, also where it is cut off


def floor(whole: int, routers: int) -> int:
    """Units that a router may always use: the same by all texts, so that nothing need be heard for it."""
    return whole // (LEAST * routers)


def homes(whole: int, shares: Mapping[str, int], routers: Mapping[str, Iterable[str]]) -> dict[str, int]:
    """Units of the whole for each router: its partner's share in equal parts, and never below the floor, for
    which the others give up a little, as their parts above it are. Never more than the whole together."""
    named = {name: sorted(some) for name, some in routers.items()}
    least = floor(whole, max(1, sum(map(len, named.values()))))
    total = sum(shares.get(name, 0) for name, some in named.items() if some)
    if not total:
        return {router: least for some in named.values() for router in some}
    parts = {r: whole * shares.get(n, 0) // (total * len(some)) for n, some in named.items() for r in some}
    above = {router: max(0, part - least) for router, part in parts.items()}
    room, over = whole - least * len(parts), sum(above.values())
    return {r: least + (extra * room // over if over > room else extra) for r, extra in above.items()}
