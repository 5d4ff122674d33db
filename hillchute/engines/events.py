"""What happens on connections to engines, whichever protocol they speak, as plain values.

Must never hold a protocol's spelling, nor say what follows: that is for whoever is told.
"""

from enum import Enum
from typing import NamedTuple

from hillchute.engines import words


class Connected(NamedTuple):
    line: int


class ConnectFault(Enum):
    """Why a connection did not come up; the values are the endings of attempts that waited for it."""

    REFUSED = "refused_conn"  # the other side said so: no process listens there
    UNREACHED = "unreached"  # nothing came back, or the network knows no way
    LOCAL = "superseded"  # this machine lacked something: says nothing of the engine


class NotConnected(NamedTuple):
    line: int
    fault: ConnectFault


class Said(NamedTuple):
    line: int
    what: words.Said


class NotSent(NamedTuple):
    """A run was not written: its client had left, or its time was up."""

    line: int
    id: str


class Lost(NamedTuple):
    """A connection to an engine has ended, in whatever way."""

    line: int
    why: str
    never_left: frozenset[str] = frozenset()  # runs and probes of which no byte can have reached the engine


Event = Connected | NotConnected | Said | NotSent | Lost
