"""Events of the connections to engines, as plain values that are independent of the engines' protocol."""

from enum import Enum
from typing import NamedTuple

from hillchute.engines import words


class Connected(NamedTuple):
    """A connection to an engine is open; `line` is its number, here and in the other events."""

    line: int


class ConnectFault(Enum):
    """Why a connection could not be opened; the values are the results of the attempts that waited for it."""

    REFUSED = "refused_conn"  # the engine's machine refused it: no process listens on the port
    UNREACHED = "unreached"  # nothing came back, or there is no route
    LOCAL = "superseded"  # this machine lacked a resource, which says nothing about the engine


class NotConnected(NamedTuple):
    """A connection to an engine could not be opened."""

    line: int
    fault: ConnectFault


class Said(NamedTuple):
    """An engine has sent a message; `what` is None if the message only shows that the engine is alive."""

    line: int
    what: words.Said


class NotSent(NamedTuple):
    """A run was not sent, because its client had left or its time limit had passed; `id` is the query's."""

    line: int
    id: str


class Lost(NamedTuple):
    """An open connection to an engine has ended, for whatever reason."""

    line: int
    why: str
    never_left: frozenset[str] = frozenset()  # query ids and health check tags of which no byte was sent


Event = Connected | NotConnected | Said | NotSent | Lost
