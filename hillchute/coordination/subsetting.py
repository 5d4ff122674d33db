"""Subsetting: the small subset of engines that a router prefers, with connections and load reports.

The pairs of router and engine are a function of the number of routers, the router's own number and the ready
engines, so all routers compute the same pairs without exchanging messages.

Each engine orders all routers by a hash of the pair (rendezvous hashing) and serves the first few. The pairs
are divided evenly over the engines, and the first engines in an order common to all routers get the
remainder, so two engines differ by at most one router, whatever their kind and zone. Adding or removing an
engine moves only its own pairs, from or to as many other engines as it has pairs. Adding or removing a router
moves one pair of each engine that it is among the first of: SUBSET_SIZE on average.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable

SUBSET_SIZE = 10  # engines per router: tolerates failures, and each still reports its load every few queries

MASK_32 = 0xFFFFFFFF
GOLDEN_RATIO_32 = 0x9E3779B9  # 2^32 over the golden ratio: spreads consecutive numbers
ROUTER_NUMBER_BITS = 20


def mix(number: int) -> int:
    """A 32-bit hash in which every bit of the number counts (the finaliser of MurmurHash3)."""
    number &= MASK_32
    number = ((number ^ number >> 16) * 0x85EBCA6B) & MASK_32
    number = ((number ^ number >> 13) * 0xC2B2AE35) & MASK_32
    return number ^ number >> 16


def rank_key(engine: int, router: int) -> int:
    """The sort key of a router in an engine's order; equal hashes, which are rare, go by router number."""
    return mix(mix(engine) + GOLDEN_RATIO_32 * (router + 1)) << ROUTER_NUMBER_BITS | router


def first_routers(engine: int, routers: int, count: int) -> tuple[int, ...]:
    """The first `count` routers in an engine's order."""
    return tuple(sorted(range(routers), key=lambda router: rank_key(engine, router))[:count])


def routers_per_engine(engines: Iterable[int], routers: int, size: int = SUBSET_SIZE) -> dict[int, int]:
    """The number of routers that each engine serves."""
    order = sorted(engines, key=lambda engine: (mix(engine), engine))
    if not order:
        return {}
    each, remainder = divmod(routers * min(size, len(order)), len(order))
    return {engine: each + (index < remainder) for index, engine in enumerate(order)}


def all_pairs(engines: Iterable[int], routers: int, size: int = SUBSET_SIZE) -> set[tuple[int, int]]:
    """All (router, engine), for tests and simulations: a router computes its own subset alone."""
    pairs = set()
    for engine, count in routers_per_engine(engines, routers, size).items():
        pairs |= {(router, engine) for router in first_routers(engine, routers, count)}
    return pairs


class RouterRank:
    """The number of routers before this one in an engine's order, counted only as far as needed."""

    __slots__ = ("counted_to", "engine", "own_key", "preceding")

    def __init__(self, engine: int, router: int) -> None:
        self.engine = engine
        self.own_key = rank_key(engine, router)
        self.counted_to = 0  # routers with smaller numbers have been compared
        self.preceding = 0  # of the compared routers

    def is_below(self, limit: int, routers: int) -> bool:
        """Whether fewer than `limit` routers come before this one."""
        while self.preceding < limit and self.counted_to < routers:
            self.preceding += rank_key(self.engine, self.counted_to) < self.own_key
            self.counted_to += 1
        return self.preceding < limit


class Subset:
    """One router's subset. The cost of a changed endpoint list is that of the added engines: the order is
    kept sorted, and only the candidates are examined again."""

    def __init__(self, router_number: int, routers: int, size: int = SUBSET_SIZE) -> None:
        self.routers = max(1, routers)
        self.size = size
        self.router_number = router_number % self.routers  # settings may count from one
        self.order: list[tuple[int, int]] = []  # the ready engines, in the order of routers_per_engine
        self.ranks: dict[int, RouterRank] = {}  # of the ready engines
        self.candidates: set[int] = set()  # engines with this router among the first `most_routers`
        self.most_routers = -1  # maximum number of routers that an engine serves
        self.engines: frozenset[int] = frozenset()  # the ready engines
        self.selected: frozenset[int] = frozenset()  # the subset of the ready engines

    def select(self, ready: Iterable[int]) -> frozenset[int]:
        """The subset of the engines that are ready now."""
        engines = frozenset(ready)
        if engines == self.engines:
            return self.selected  # most watch events leave the ready engines unchanged
        added = engines - self.engines
        removed = self.engines - engines
        self.engines = engines
        for engine in removed:
            del self.order[bisect_left(self.order, (mix(engine), engine))]
            del self.ranks[engine]
            self.candidates.discard(engine)
        for engine in added:
            self.ranks[engine] = RouterRank(engine, self.router_number)
        if len(added) > len(engines) // 4:  # sorting is cheaper than inserting one by one
            self.order = sorted((mix(engine), engine) for engine in engines)
        else:
            for engine in added:
                insort(self.order, (mix(engine), engine))
        self.selected = self.select_by_rank(added)
        return self.selected

    def select_by_rank(self, added: Iterable[int]) -> frozenset[int]:
        """The engines for which this router's rank is low enough; examines `added`, or all if the number of
        routers an engine serves has changed."""
        count = len(self.order)
        if not count:
            self.candidates = set()
            self.most_routers = -1
            return frozenset()
        each, remainder = divmod(self.routers * min(self.size, count), count)
        examined = self.ranks if each + 1 != self.most_routers else added
        self.most_routers = each + 1
        for engine in examined:
            if self.ranks[engine].is_below(self.most_routers, self.routers):
                self.candidates.add(engine)
            else:
                self.candidates.discard(engine)
        return frozenset(engine for engine in self.candidates if self.is_served_by(engine, each, remainder))

    def is_served_by(self, engine: int, each: int, remainder: int) -> bool:
        """Whether an engine serves this router, if each serves `each` routers and the first `remainder` one
        more."""
        index = bisect_left(self.order, (mix(engine), engine))
        return self.ranks[engine].is_below(each + (index < remainder), self.routers)
