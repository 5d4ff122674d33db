"""What the service asks of the optional parts, whichever of them the operator file switches on."""

from collections.abc import Callable, Mapping
from typing import Protocol

import anyio.abc

from hillchute.decision.interface import Scheduler, Time
from hillchute.engines.words import Rows, Stream
from hillchute.router.effects import CancelForward, ClaimQuery, EndClaim, ForwardQuery

STATISTICS_INTERVAL: Time = 50_000  # five seconds between two log lines with an extension's figures

ExtensionEffect = ClaimQuery | EndClaim | ForwardQuery | CancelForward


class Frontend(Protocol):
    """Answers the clients of sessions; a session gets one answer."""

    def finish(self, session: int, rows: Rows, /) -> None:
        """The query was served; its rows are complete."""

    def defer(self, session: int, after: Time, /) -> None:
        """The query was rejected without effect; the client may retry after so long (0: not stated)."""

    def kill(self, session: int, reason: str, /) -> None:
        """The query failed; it may have run."""

    def cut(self, session: int, reason: str, /) -> None:
        """The stream that the session is being sent can't go on."""


class ForwardingFrontend(Frontend, Protocol):
    """Answers queries that other routers forwarded to this one."""

    def begin(self, session: int, stream: Stream, /) -> None:
        """The result comes as a stream."""


class RouterExtension(Protocol):
    """Peers and, where they are on, the answer history and partners.

    Events for the reducer go to the handler that the constructor was given. None of the methods raises for a
    fault of the network or of a disk; those are logged.
    """

    claims_idempotent: bool  # queries with an idempotency key ask the answer history before they run
    claims_non_idempotent: bool  # so do queries that are unsafe to repeat

    @property
    def scheduler(self) -> Scheduler:
        """Stands in the place of the router's own, which the constructor was given."""

    @property
    def forwarded_queries(self) -> ForwardingFrontend | None:
        """None: no query is forwarded."""

    def connect_endpoint_list(self, offset: Callable[[], int]) -> None:
        """`offset` gives the event that the endpoint list has reached; called before anything else."""

    def carry_out(self, effect: ExtensionEffect) -> None:
        """Carries out one effect of the reducer."""

    def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets and starts the loop that serves them; PeerListenError if an address is taken."""

    def begin_shutdown(self) -> None:
        """The router ends: others are told."""

    async def hand_over(self) -> None:
        """Waits, for a bounded time, until others hold what this router alone has."""

    def reload(self, operator: Mapping[str, object]) -> list[str]:
        """Takes an operator file read again; returns the paths of what needs a restart."""
