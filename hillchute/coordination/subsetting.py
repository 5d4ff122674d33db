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

from bisect import bisect_left, insort
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


class Rank:
    """How many routers stand before this one in the order of an engine, counted only as far as is asked."""

    __slots__ = ("engine", "own", "before", "next")

    def __init__(self, engine: int, router: int) -> None:
        self.engine, self.own = engine, place(engine, router)
        self.before = 0  # of the routers below `next`
        self.next = 0

    def below(self, width: int, routers: int) -> bool:
        """Whether fewer than `width` routers stand before this one."""
        while self.before < width and self.next < routers:
            self.before += place(self.engine, self.next) < self.own
            self.next += 1
        return self.before < width


class Sight:
    """What one router has in sight. A change of the list costs no more than the engines that are new: their
    order is kept sorted, and only those that this router may serve by its rank are looked at again."""

    def __init__(self, me: int, routers: int, size: int = SIZE) -> None:
        self.routers, self.size = max(1, routers), size
        self.me = me % self.routers  # guards against settings that number routers from one
        self.order: list[tuple[int, int]] = []  # the engines that are ready, as widths() orders them
        self.ranks: dict[int, Rank] = {}  # of those
        self.may: set[int] = set()  # engines that are this router's at `most` routers each
        self.most = -1
        self.seen: frozenset[int] = frozenset()  # the engines it was last asked about, and its own of them
        self.own: frozenset[int] = frozenset()

    def near(self, engines: Iterable[int]) -> frozenset[int]:
        """Its engines of these, which are the ones that are ready."""
        engines = frozenset(engines)
        if engines == self.seen:
            return self.own  # lists come all day, and say mostly the same
        come, gone = engines - self.seen, self.seen - engines
        self.seen = engines
        for engine in gone:
            del self.order[bisect_left(self.order, (mixed(engine), engine))]
            del self.ranks[engine]
            self.may.discard(engine)
        for engine in come:
            self.ranks[engine] = Rank(engine, self.me)
        if len(come) > len(engines) // 4:
            self.order = sorted((mixed(engine), engine) for engine in engines)
        else:
            for engine in come:
                insort(self.order, (mixed(engine), engine))
        self.own = self.mine(come)
        return self.own

    def mine(self, come: Iterable[int]) -> frozenset[int]:
        count = len(self.order)
        if not count:
            self.may, self.most = set(), -1
            return frozenset()
        each, more = divmod(self.routers * min(self.size, count), count)
        again = self.ranks if each + 1 != self.most else come
        self.most = each + 1
        for engine in again:
            if self.ranks[engine].below(self.most, self.routers):
                self.may.add(engine)
            else:
                self.may.discard(engine)
        return frozenset(engine for engine in self.may if self.serves(engine, each, more))

    def serves(self, engine: int, each: int, more: int) -> bool:
        at = bisect_left(self.order, (mixed(engine), engine))
        return self.ranks[engine].below(each + (at < more), self.routers)
