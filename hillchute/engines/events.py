"""Events of the connections to engines, as plain values that are independent of the engines' protocol."""

from collections.abc import Callable
from enum import Enum, StrEnum
from typing import NamedTuple

from hillchute.engines import words


class Connected(NamedTuple):
    """A connection to an engine is open; `connection` is its number, here and in the other events."""

    connection: int


class ConnectFailure(Enum):
    """Why a connection could not be opened; the values are the results of the attempts that waited for it."""

    REFUSED = "refused_conn"  # the engine's machine refused it: no process listens on the port
    UNREACHABLE = "unreached"  # nothing came back, or there is no route
    LOCAL_RESOURCE = "superseded"  # this machine lacked a resource, which says nothing about the engine


class ConnectFailed(NamedTuple):
    """A connection to an engine could not be opened."""

    connection: int
    failure: ConnectFailure


class MessageReceived(NamedTuple):
    """An engine has sent a message; `message` is None if the message only shows that the engine is alive."""

    connection: int
    message: words.EngineMessage


class SendObstacle(StrEnum):
    """Why a run of which no byte was sent must not be sent any more; the values are written to the log."""

    NOT_OPEN = "not_open"  # its attempt has ended, or its query is answered
    CLIENT_LEFT = "client_left"
    TIME_LIMIT = "time_limit"
    REPEAT_WINDOW = "repeat_window"  # the engines may have forgotten its idempotency key


SendCheck = Callable[[int, str], SendObstacle | None]
"""Returns why a run must not be sent any more; called with the connection's number and the run's id."""


class RunNotSent(NamedTuple):
    """A run was not sent, since it must not start any more; `id` is the query's."""

    connection: int
    id: str
    reason: SendObstacle


class ConnectionLost(NamedTuple):
    """An open connection to an engine has ended, for whatever reason."""

    connection: int
    reason: str
    never_sent: frozenset[str] = frozenset()  # query ids and health check tags of which no byte was sent


Event = Connected | ConnectFailed | MessageReceived | RunNotSent | ConnectionLost
