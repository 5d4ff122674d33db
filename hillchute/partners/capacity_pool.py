"""Division of the engine pool's capacity among routers, by the shares of their partners.

Pure. What is in use, lent or requested is the quota leases' business (coordination/quota_leases.py), whose
limit `pool` takes its allocations from here.
"""

from collections.abc import Iterable, Mapping

# Every router may always use 1/16 of an equal part, whatever the agreement, also where it is cut off from all
# others: small enough to leave shares almost as agreed, and large enough to keep a router working.
MINIMUM_DIVISOR = 16


def minimum_allocation(total: int, router_count: int) -> int:
    """Units that a router may use under every agreement, so that it needs no message to know them."""
    return total // (MINIMUM_DIVISOR * router_count)


def router_allocations(
    total: int, shares: Mapping[str, int], routers: Mapping[str, Iterable[str]]
) -> dict[str, int]:
    """Units of the pool for each router, never more than `total` together.

    A partner's share is divided equally among its routers, and no router is below the minimum: for that the
    others give up units in proportion to what they have above it.
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
