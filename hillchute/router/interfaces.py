"""Interfaces of the components that the operator file selects: engine links and the Flight SQL frontend.

The interface of the router extension, which it also selects, is in integrations/interface.py.
"""

from collections.abc import Mapping
from typing import Any, Protocol

import anyio.abc

from hillchute.engines import words
from hillchute.router.integrations.interface import ForwardingFrontend, PreparedReload


class EngineLinks(Protocol):
    """Connections to engines by number, independent of the engines' protocol.

    Connections report through events. No method raises for a network error.
    """

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to connect; Connected or ConnectFailed follows unless the connection is closed first."""

    def send(self, number: int, commands: list[words.Command]) -> None:
        """Sends commands in order; they are dropped if the connection no longer exists."""

    def close_connection(self, number: int) -> None:
        """Closes a connection without an event."""


class FlightFrontend(ForwardingFrontend, Protocol):
    """Serves clients over Arrow Flight SQL; each call is a session."""

    async def open(self) -> None:
        """Starts serving; raises OSError if the address is in use, FlightKeysError for an unusable key."""

    async def close(self, grace: float) -> None:
        """Stops accepting calls, and ends calls that are still open after `grace` seconds."""

    def prepare_reload(self, settings: Mapping[str, Any]) -> PreparedReload:
        """Checks reloaded settings; raises OperatorFileError if they can't be used."""
