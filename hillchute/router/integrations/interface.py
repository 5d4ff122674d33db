"""The interfaces between the service and its optional extensions, which the operator file enables."""

from collections.abc import Callable, Mapping
from typing import Protocol

import anyio.abc

from hillchute.decision.interface import Scheduler, Time
from hillchute.engines.words import Rows, Stream
from hillchute.router.effects import CancelForward, ClaimQuery, EndClaim, ForwardQuery

STATISTICS_INTERVAL: Time = 50_000  # five seconds between two log lines with an extension's statistics

ExtensionEffect = ClaimQuery | EndClaim | ForwardQuery | CancelForward


class PreparedReload(Protocol):
    """Reloaded settings that were checked."""

    @property
    def needs_restart(self) -> list[str]:
        """The paths of the changes that are not applied while the router runs."""

    @property
    def apply(self) -> Callable[[], None]:
        """Applies all other changes; raises nothing."""


class Frontend(Protocol):
    """Answers the clients of sessions, each session exactly once."""

    def finish(self, session: int, rows: Rows, /) -> None:
        """Answers with the complete rows of a served query."""

    def reject(self, session: int, retry_after: Time, /) -> None:
        """Answers that the query was rejected without effect; the client may retry after `retry_after` (0:
        not stated)."""

    def fail(self, session: int, reason: str, /) -> None:
        """Answers that the query failed; it may have run."""

    def abort_stream(self, session: int, reason: str, /) -> None:
        """Aborts the result stream that is being sent to the session."""


class ForwardingFrontend(Frontend, Protocol):
    """Answers queries forwarded by other routers."""

    def start_stream(self, session: int, stream: Stream, /) -> None:
        """Starts a streamed result."""


class RouterExtension(Protocol):
    """Peers and, if enabled, the answer history and partners.

    Events for the reducer go to the handler that was passed to the constructor. No method raises for a
    network or disk error; those are logged.
    """

    claims_idempotent: bool  # queries with an idempotency key make a claim before they run
    claims_non_idempotent: bool  # and so do queries that are unsafe to repeat

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler to use in place of the one passed to the constructor."""

    @property
    def forwarded_queries(self) -> ForwardingFrontend | None:
        """The frontend for forwarded queries; None if queries are not forwarded."""

    def connect_endpoint_list(self, offset: Callable[[], int]) -> None:
        """`offset` returns the offset of the last applied watch event. Called before any other method."""

    def carry_out(self, effect: ExtensionEffect) -> None:
        """Carries out one effect of the reducer."""

    def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets and starts serving them; raises PeerListenError if an address is in use."""

    def begin_shutdown(self) -> None:
        """Announces the shutdown of this router to its peers."""

    async def hand_over(self) -> None:
        """Waits, for a bounded time, until other routers have a copy of what only this one holds."""

    def prepare_reload(self, operator: Mapping[str, object]) -> PreparedReload:
        """Checks a reloaded operator file; raises HillchuteError if it can't be used."""
