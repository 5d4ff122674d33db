"""Who may do a costly common thing when: so that what all routers do adds up to a stated bound.

Owns the moment that one router takes for such a thing, and the bound that follows. Must never hold a state,
look at a clock or wait for another router's turn: a turn that nobody takes is lost and costs nothing.

Two ways to part the time. By number, where all learn of the same thing in the same instant: each router's
place in a window follows from its number by steps of the golden ratio, so that the routers in any part of
the window are its share of all and a few more, however many there are. By chance, where they learn of it one
by one. Both are drawn anew for each thing, so that no router is always the first. A router that restarts
finds the same place by number, and draws again by chance. A count that is wrong by half makes the window as
much too short or too long, and the sum as much larger or smaller; nothing else.
"""

from math import comb
from zlib import crc32

from hillchute.decision.interface import Time

GOLDEN = 0x9E3779B1  # the odd number next to 2^32 over the golden ratio
WHOLE = 1 << 32
MORE = 3  # routers beyond their share in any part of a window: what steps of the golden ratio leave uneven


def window(routers: int, at_once: float, each: Time) -> Time:
    """So long that no more than `at_once` routers begin within `each` in the mean."""
    return max(0, int(routers * each / at_once))


def place(router: int, thing: object) -> float:
    """A router's place in a window about a thing, from 0 to 1: even over routers, another for each thing."""
    return (router * GOLDEN + crc32(repr(thing).encode())) % WHOLE / WHOLE


def turn(router: int, thing: object, span: Time) -> Time:
    """How long after all have learned of a thing this router does what it calls for."""
    return int(place(router, thing) * span)


def spread(wait: Time, chance: float) -> Time:
    """A wait that does not end together with others that began together: half of it to half as much again."""
    return int(wait * (0.5 + chance))


def most_by_number(routers: int, part: float) -> int:
    """At the most so many begin within a part of the window, all having learned in one instant."""
    return min(routers, int(routers * part) + MORE)


def most_by_chance(routers: int, part: float, odds: float) -> int:
    """The least number that is passed with at most these odds in a given part of the window, each router
    having drawn its moment for itself: the tail of the binomial."""
    part = min(1.0, part)
    below = 0.0
    for number in range(routers + 1):
        below += comb(routers, number) * part**number * (1 - part) ** (routers - number)
        if 1 - below <= odds:
            return number
    return routers
