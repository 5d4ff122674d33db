"""Events that frontends report about their clients, independent of the protocol.

The types hold nothing of a protocol's encoding; the receiver of an event decides what follows from it.
"""

from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

FIRST_FLIGHT_SESSION = 1 << 40  # first session number of the Flight SQL frontend; MySQL's are below 2**32
FIRST_FORWARDED_SESSION = 1 << 50  # first session number of queries that another partner's router forwarded


class QueryReceived(NamedTuple):
    """A query of a client has been received completely; `received_at` is the time of its receipt."""

    session: int
    request: Request
    received_at: Time


class ClientGone(NamedTuple):
    """The client of a session cancelled its query or closed its connection."""

    session: int


class StreamDelivered(NamedTuple):
    """A result stream has been delivered to the client of a session to its end."""

    session: int


class StreamUnreadable(NamedTuple):
    """The result stream for a session contains data that can't be decoded."""

    session: int
    reason: str


Event = QueryReceived | ClientGone | StreamDelivered | StreamUnreadable
