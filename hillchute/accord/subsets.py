"""Which engines a router looks at, keeps connections to and draws from first: a small share of them all.

Owns the pairs of router and engine. They follow from the number of routers, the router's own number and the
engines that are ready, so all routers work out the same pairs without a word. Must never hold a state that
two routers could have differently, know why an engine is left, or close one to a query that needs it.

Each engine serves its first routers in an order of its own. Even by construction: the pairs are dealt to the
engines alike, the remainder to the first in an order that all share, so two engines differ by one at the
most, of whatever kind and zone. An engine that goes or comes moves its own pairs and no others, and they
move from or to as many others as it has pairs, since each of those grows or shrinks by one. A router that
goes or comes moves one pair of each engine that it stood among the first of: SIZE in the mean.
"""

from collections.abc import Iterable

SIZE = 10  # engines a router: enough that ill and crowded ones leave some; each is heard of every few queries

BITS = 0xFFFFFFFF


def mixed(number: int) -> int:
    """32 bits in which every bit of the number counts (the finaliser of MurmurHash3)."""
    number &= BITS
    number = ((number ^ number >> 16) * 0x85EBCA6B) & BITS
    number = ((number ^ number >> 13) * 0xC2B2AE35) & BITS
    return number ^ number >> 16


def place(engine: int, router: int) -> int:
    """Where a router stands in the order of an engine; ties, which are rare, go by the router's number."""
    return mixed(mixed(engine) + 0x9E3779B9 * (router + 1)) << 20 | router


def rank(engine: int, router: int, routers: int) -> int:
    """How many routers stand before this one in the order of an engine."""
    own = place(engine, router)
    return sum(place(engine, other) < own for other in range(routers))


def first(engine: int, routers: int, width: int) -> tuple[int, ...]:
    """So many routers that stand first in the order of an engine."""
    return tuple(sorted(range(routers), key=lambda router: place(engine, router))[:width])


def widths(engines: Iterable[int], routers: int, size: int = SIZE) -> dict[int, int]:
    """How many routers each engine serves."""
    order = sorted(engines, key=lambda engine: (mixed(engine), engine))
    if not order:
        return {}
    each, more = divmod(routers * min(size, len(order)), len(order))
    return {engine: each + (n < more) for n, engine in enumerate(order)}


def pairs(engines: Iterable[int], routers: int, size: int = SIZE) -> set[tuple[int, int]]:
    """All (router, engine), for rigs: a router works out its own alone."""
    found = set()
    for engine, width in widths(engines, routers, size).items():
        found |= {(router, engine) for router in first(engine, routers, width)}
    return found


class Sight:
    """What one router has in sight. It keeps its rank with each engine, which takes as long as there are
    routers to work out, so that a change of the list costs no more than the engines that are new."""

    def __init__(self, me: int, routers: int, size: int = SIZE) -> None:
        self.routers, self.size = max(1, routers), size
        self.me = me % self.routers  # guards against settings that number routers from one
        self.ranks: dict[int, int] = {}
        self.seen: frozenset[int] = frozenset()  # the engines it was last asked about, and its own of them
        self.own: frozenset[int] = frozenset()

    def near(self, engines: Iterable[int]) -> frozenset[int]:
        """Its engines of these, which are the ones that are ready."""
        engines = frozenset(engines)
        if engines == self.seen:
            return self.own  # lists come all day, and say mostly the same
        width = widths(engines, self.routers, self.size)
        ranks, self.ranks = self.ranks, {}
        for engine in width:
            known = ranks.get(engine)
            self.ranks[engine] = rank(engine, self.me, self.routers) if known is None else known
        self.seen = engines
        self.own = frozenset(engine for engine, served in width.items() if self.ranks[engine] < served)
        return self.own
