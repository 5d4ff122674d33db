"""The scheduler's interface: what has happened goes in, typed decisions come out. Types only.

Times are whole tenths of a millisecond on the caller's clock; ids are kept as the caller gives them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol, TypeAlias

if TYPE_CHECKING:
    from hillchute.decision.engine_state import EngineState

Time: TypeAlias = int
QueryId: TypeAlias = str
EngineId: TypeAlias = int
Report: TypeAlias = Mapping[str, float]  # a load report: column names to figures

SECOND: Time = 10_000
MILLISECOND: Time = 10


class EndpointState(StrEnum):
    """State of an engine in the endpoint list; the values are the event bus's spelling."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"


class ListMode(StrEnum):
    """How an endpoint list relates to the one before; the values are the event bus's spelling."""

    COMPLETE = "Complete"  # engines that it does not name are gone
    PARTIAL = "Partial"  # engines that it does not name are as they were
    PERSISTED = "Persisted"  # the complete list as this router kept it last, possibly out of date
    ERROR = "Error"  # the list could not be read: the earlier one remains in force


class AttemptResult(StrEnum):
    """How an attempt to run a query on an engine, or a health check, ended.

    The values are the spelling that the simulator's wire has; the log has the members' names in lower case.
    """

    SERVED = "finished"  # a result, or the answer to a health check
    OVERLOADED = "saturated"  # the engine rejected it because it is full
    CONNECTION_REFUSED = "refused_conn"  # no process listens there
    UNREACHABLE = "unreached"  # no connection came up in time, or there is no route
    NOT_SENT = "superseded"  # no byte left this router
    TIMED_OUT = "overdue"  # no answer within the time limit
    CONNECTION_LOST = "severed"  # the connection broke with the answer outstanding
    CANCELLED = "recalled"  # this router gave it up
    FAILED = "errored"  # the engine answered with an error


NEVER_RAN = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECTION_REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.NOT_SENT,
)  # results that prove that the engine did not run the query
MAY_STILL_RUN = (
    AttemptResult.TIMED_OUT,
    AttemptResult.CONNECTION_LOST,
    AttemptResult.CANCELLED,
)  # results after which the engine may still run the query

# ---- inputs ---------------------------------------------------------------------------------------


class Listing(NamedTuple):
    """One engine of the endpoint list."""

    engine: EngineId
    kind: int
    cell: int
    zone: int
    started: Time
    state: EndpointState
    nominal: float


class NewQuery(NamedTuple):
    """A query that a client has sent and that was admitted."""

    id: QueryId
    group: int  # number of its resource group in the settings
    deadline: Time  # the client gives up then
    table_group: int | None = None
    tenant: int = 0
    cost: Time | None = None  # estimated core time; None where there is no estimate
    memory_mb: float = 0.0
    ordering_key: str | None = None  # queries of a key run one after another, if the group keeps order


class AttemptEnded(NamedTuple):
    """The end of an attempt."""

    query: QueryId
    attempt: int  # its number among the query's attempts, from 0
    result: AttemptResult
    final: bool  # whether the client has its answer with this
    elapsed: Time  # since the attempt was sent
    cost: Time | None = None  # core time that the engine says it used
    report: Report | None = None  # the load report that came with the answer


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShares:
    """This router's shares of the limits that all routers have in common.

    A limit of which no share is stated is divided equally among the routers.
    """

    warm_up: float | None = None  # of the light queries that warming engines get
    tenants: Mapping[int, float] = field(default_factory=dict)  # of tenants' quotas, by tenant
    health_checks: float = 1  # checks for each query at the most
    pool_routers: float | None = None  # with partners: as many routers with this one's share fill the pool
    excluded_engines: frozenset[EngineId] = frozenset()  # warming engines that get no more queries for now


# ---- decisions ------------------------------------------------------------------------------------


class Reason(StrEnum):
    """Which check rejected or failed a query.

    The log has the members' names in lower case; the values are what simulations print.
    """

    DEADLINE = "its end"  # its deadline has come
    NO_RETRY = "tried"  # its attempt ended without a result, and there may be no further one, or none in time
    TOO_LATE = "too late"  # a start would not meet the latency objective any more
    TOO_HEAVY = "too heavy"  # for the load of the engines, or for the sessions that are free
    ENGINES_OVERLOADED = "crowd"  # a dashboard, and every engine is crowded
    LOADS_AHEAD = "line of loads"  # a load that can't start in time behind those of its table group


@dataclass(frozen=True, slots=True)
class Submit:
    """Start an attempt: send the query to this engine, which may take so long for it."""

    query: QueryId
    engine: EngineId
    time_limit: Time


@dataclass(frozen=True, slots=True)
class SetTerms:
    """On which terms engines take the query: how much memory, and its priority; higher runs first."""

    query: QueryId
    memory_mb: float  # 0: the engine's own figure is used
    priority: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the client that nothing ran and trying again is harmless, after a wait (0: none is named)."""

    query: QueryId
    retry_after: Time
    reason: Reason


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the client with an error: the query may have run."""

    query: QueryId
    reason: Reason


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up an attempt."""

    query: QueryId
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Ask an engine for its load."""

    engine: EngineId


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start to follow the endpoint list."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Call `on_timer` at this time with this name."""

    at: Time
    name: str


Decision: TypeAlias = Submit | SetTerms | Reject | Fail | Cancel | HealthCheck | WatchEndpoints | Wake


class Scheduler(Protocol):
    """The inputs (`on_...`) only update what is known; `next_decision` is called until it returns None."""

    @property
    def engines(self) -> "Mapping[EngineId, EngineState]":
        """All engines that are known; callers only look at them."""

    def on_endpoint_list(self, now: Time, mode: ListMode, listings: Iterable[Listing]) -> None:
        """The endpoint list, or a change of it, has come."""

    def on_subset(
        self,
        now: Time,
        engines: frozenset[EngineId],
        routers: int | None = None,
        shares: FleetShares | None = None,
    ) -> None:
        """The engines to prefer have changed (subsetting), the number of live routers, or this router's
        shares of the limits that routers have in common; None leaves the earlier value."""

    def admits(self, now: Time, group: int, lateness: float) -> bool:
        """Whether a query of this group is admitted while the event loop runs so late (tenths of a
        millisecond). Called before the query is read."""

    def on_query(self, now: Time, query: NewQuery) -> None:
        """A query was admitted."""

    def on_attempt_ended(self, now: Time, ended: AttemptEnded) -> None:
        """An attempt has ended; one that is not known, or has ended before, is ignored."""

    def on_health_check(
        self, now: Time, engine: EngineId, result: AttemptResult, report: Report | None
    ) -> None:
        """A health check of this router has ended."""

    def on_load_report(self, now: Time, engine: EngineId, report: Report, age: Time) -> None:
        """Another router passed on a load report, which is so old; an older one than is known is ignored."""

    def on_fleet_changed(self, now: Time) -> None:
        """What other routers observe, which of them live, or what they lend may have changed. A scheduler
        that knows of no peers has nothing to read anew."""

    def on_progress(self, now: Time, query: QueryId, attempt: int, topic: int, figure: float) -> None:
        """An engine reports how far an attempt has come."""

    def on_stream_started(self, now: Time, query: QueryId) -> None:
        """The first part of a streamed result has come: the query is not retried or rejected from here on."""

    def on_client_left(self, now: Time, query: QueryId) -> None:
        """Nobody waits for the query any more."""

    def on_shutdown(self, now: Time, deadline: Time) -> None:
        """This router ends: every query is answered by then."""

    def on_timer(self, now: Time, name: str) -> None:
        """The time of a `Wake` has come."""

    def next_decision(self, now: Time) -> Decision | None:
        """The next decision, or None if there is nothing to do at this time."""
