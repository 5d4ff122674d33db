"""Division of the engine pool's capacity among routers, by the shares of their partners.

Performs no I/O. The limit `pool` of coordination/quota_leases.py takes its allocations from here; that module
tracks what is in use, lent or requested.
"""

from collections.abc import Iterable, Mapping

# Every router may always use 1/16 of an equal part of the pool, under any agreement and also while it is
# partitioned from all others: small enough to change the agreed shares little, and large enough to keep a
# router serving.
MINIMUM_DIVISOR = 16


def minimum_allocation(total: int, router_count: int) -> int:
    """Return the units that a router may use under every agreement, without a message from other routers."""
    return total // (MINIMUM_DIVISOR * router_count)


def router_allocations(
    total: int, shares: Mapping[str, int], routers: Mapping[str, Iterable[str]]
) -> dict[str, int]:
    """Return the units of the pool for each router; their sum never exceeds `total`.

    A partner's share is divided equally among its routers. Routers below the minimum are raised to it; the
    others give up units for that, in proportion to what they have above the minimum.
    """
    routers_of = {partner: sorted(names) for partner, names in routers.items()}
    minimum = minimum_allocation(total, max(1, sum(map(len, routers_of.values()))))
    total_share = sum(shares.get(partner, 0) for partner, names in routers_of.items() if names)
    if not total_share:
        return {router: minimum for names in routers_of.values() for router in names}
    exact = {
        router: total * shares.get(partner, 0) // (total_share * len(names))
        for partner, names in routers_of.items()
        for router in names
    }
    above_minimum = {router: max(0, units - minimum) for router, units in exact.items()}
    available = total - minimum * len(exact)
    requested = sum(above_minimum.values())
    if requested > available:
        return {router: minimum + units * available // requested for router, units in above_minimum.items()}
    return {router: minimum + units for router, units in above_minimum.items()}
