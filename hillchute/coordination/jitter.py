"""When each router does a costly thing that all have to do, so that the sum over routers stays bounded.

Pure and stateless: no clock, and no waiting for another router. A turn that nobody takes costs nothing.

There are two ways to spread routers over a window of time. By number, where all learn of the same thing at
the same instant: a router's position follows from its number by steps of the golden ratio (a Weyl sequence),
so that any part of the window has its share of the routers and a few more, however many there are. By chance,
where they learn of it one by one. Either way the order differs from thing to thing, so that no router is
always first. A router that restarts finds the same position by number, and draws again by chance. A router
count that is wrong by half makes the window as much too short or too long, and the sum as much larger or
smaller; nothing else.
"""

from math import comb
from zlib import crc32

from hillchute.decision.interface import Time

GOLDEN_RATIO_STEP = 0x9E3779B1  # the odd number next to 2^32 over the golden ratio
HASH_RANGE = 1 << 32
GOLDEN_RATIO_EXCESS = 3  # routers beyond their share in any part of a window: the sequence's unevenness


def window_length(routers: int, at_once: float, duration: Time) -> Time:
    """So long a window that on average no more than `at_once` routers begin within any `duration`."""
    return max(0, int(routers * duration / at_once))


def position(router: int, topic: object) -> float:
    """A router's position in a window about a topic, from 0 to 1: even over routers, different by topic."""
    return (router * GOLDEN_RATIO_STEP + crc32(repr(topic).encode())) % HASH_RANGE / HASH_RANGE


def delay_by_number(router: int, topic: object, window: Time) -> Time:
    """How long after all have learned of a topic this router acts on it."""
    return int(position(router, topic) * window)


def randomized(wait: Time, chance: float) -> Time:
    """A wait with jitter, for a `chance` from 0 to 1: from half of it to half as much again."""
    return int(wait * (0.5 + chance))


def max_by_number(routers: int, fraction: float) -> int:
    """Upper bound of the routers that act within a fraction of the window, by number."""
    return min(routers, int(routers * fraction) + GOLDEN_RATIO_EXCESS)


def max_by_chance(routers: int, fraction: float, odds: float) -> int:
    """The least count that the routers acting within a given fraction of the window exceed with at most these
    odds, each having drawn its moment independently: the tail of the binomial distribution."""
    fraction = min(1.0, fraction)
    cumulative = 0.0
    for count in range(routers + 1):
        cumulative += comb(routers, count) * fraction**count * (1 - fraction) ** (routers - count)
        if 1 - cumulative <= odds:
            return count
    return routers
