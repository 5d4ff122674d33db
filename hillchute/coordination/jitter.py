"""Jitter for expensive actions that every router has to take, so that their sum at any time stays bounded.

Stateless: uses no clock and never waits for another router. A position that no router uses costs nothing.

Routers are spread over a time window in one of two ways. By number, if all learn of an event at the same
instant: a router's position follows from its number by steps of the golden ratio (a Weyl sequence), so that
any part of the window has at most its proportion of the routers and a few more, for any number of routers. At
random, if routers learn of an event one by one. In both cases the order depends on the topic, so that no
router is always first. After a restart, a router has the same position by number, or draws a new random one.
If the router count is wrong by half, the window is too short or too long by as much and the sum larger or
smaller by as much, without any other effect.
"""

from math import comb
from zlib import crc32

from hillchute.decision.interface import Time

GOLDEN_RATIO_STEP = 0x9E3779B1  # the odd number next to 2^32 over the golden ratio
HASH_RANGE = 1 << 32
GOLDEN_RATIO_EXCESS = 3  # routers beyond their share in any part of a window: the sequence's unevenness


def window_length(routers: int, at_once: float, duration: Time) -> Time:
    """The length of a window in which on average at most `at_once` routers start within any `duration`."""
    return max(0, int(routers * duration / at_once))


def position(router: int, topic: object) -> float:
    """A router's position in the window for a topic, from 0 to 1: evenly spread, in an order by topic."""
    return (router * GOLDEN_RATIO_STEP + crc32(repr(topic).encode())) % HASH_RANGE / HASH_RANGE


def delay_by_number(router: int, topic: object, window: Time) -> Time:
    """How long this router waits before it acts, after all routers have learned of a topic at one instant."""
    return int(position(router, topic) * window)


def randomized(wait: Time, random_fraction: float) -> Time:
    """A wait with jitter: from 0.5 to 1.5 times its length, for a `random_fraction` from 0 to 1."""
    return int(wait * (0.5 + random_fraction))


def max_by_number(routers: int, fraction: float) -> int:
    """The maximum number of routers that act within a fraction of the window, if spread by number."""
    return min(routers, int(routers * fraction) + GOLDEN_RATIO_EXCESS)


def max_by_chance(routers: int, fraction: float, odds: float) -> int:
    """The smallest count that the number of routers acting within a fraction of the window exceeds with at
    most probability `odds`, if each draws its time independently: the tail of the binomial distribution."""
    fraction = min(1.0, fraction)
    cumulative = 0.0
    for count in range(routers + 1):
        cumulative += comb(routers, count) * fraction**count * (1 - fraction) ** (routers - count)
        if 1 - cumulative <= odds:
            return count
    return routers
