"""Events that frontends report about their clients, independent of the protocol.

The types hold nothing of a protocol's encoding; the receiver of an event decides what follows from it.
"""

from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

FIRST_CALL = 1 << 40  # first session number of the Flight SQL frontend; MySQL's are below 2**32
FIRST_GUEST = 1 << 50  # first session number of queries that another partner's router forwarded


class Asked(NamedTuple):
    """A query of a client has been received completely; `since` is the time of its receipt."""

    session: int
    request: Request
    since: Time


class Left(NamedTuple):
    """The client of a session cancelled its query or closed its connection."""

    session: int


class Passed(NamedTuple):
    """A result stream has been delivered to the client of a session to its end."""

    session: int


class Spoilt(NamedTuple):
    """The result stream for a session contains data that can't be decoded."""

    session: int
    why: str


Event = Asked | Left | Passed | Spoilt
