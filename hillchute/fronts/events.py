"""What clients do, whichever protocol they speak, as plain values.

Must never hold a protocol's spelling, nor say what follows: that is for whoever is told.
"""

from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

FIRST_CALL = 1 << 40  # sessions from here on are calls of the Flight front; those of MySQL are below 2**32
FIRST_GUEST = 1 << 50  # and from here on queries that another partner's router passed on


class Asked(NamedTuple):
    """A client's query has come whole, at the time `since`."""

    session: int
    request: Request
    since: Time


class Left(NamedTuple):
    """The client of a session gave its query up, or is gone."""

    session: int


class Passed(NamedTuple):
    """The client of a session has taken the last of a stream."""

    session: int


class Spoilt(NamedTuple):
    """A stream that is passed on to a session brings what can't be read."""

    session: int
    why: str


Event = Asked | Left | Passed | Spoilt
