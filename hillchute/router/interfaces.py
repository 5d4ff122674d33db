"""Interfaces of the parts that the operator file chooses: engine links and the Flight SQL frontend.

The router's extension, which it chooses as well, has its interface in integrations/interface.py.
"""

from collections.abc import Mapping
from typing import Any, Protocol

import anyio.abc

from hillchute.engines import words
from hillchute.router.integrations.interface import ForwardingFrontend


class EngineLinks(Protocol):
    """Connections to engines by number, whichever protocol the engines speak.

    What happens on them comes back as events. None of the methods raises for a fault of the network.
    """

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to connect; a Connected or NotConnected follows unless the connection is closed first."""

    def send(self, number: int, commands: list[words.Command]) -> None:
        """Sends commands, in order; a connection that is not there any more gets none."""

    def hang_up(self, number: int) -> None:
        """Closes a connection; no event follows."""


class FlightFrontend(ForwardingFrontend, Protocol):
    """Clients that speak Arrow Flight SQL; their sessions are calls."""

    async def open(self) -> None:
        """Serves from here on; raises OSError if the address is taken, ValueError if keys can't be used."""

    async def close(self, grace: float) -> None:
        """Takes no more calls, and ends those that are open after `grace` seconds."""

    def renew(self, settings: Mapping[str, Any]) -> list[str]:
        """Takes settings read again; returns the names of those that need a restart."""
