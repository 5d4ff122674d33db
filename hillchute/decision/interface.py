"""The scheduler's interface: the types of its inputs and decisions, and the `Scheduler` protocol.

Times are whole tenths of a millisecond on the caller's clock; ids are passed through unchanged.
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
Report: TypeAlias = Mapping[str, float]  # a load report: values by column name

SECOND: Time = 10_000
MILLISECOND: Time = 10


class EndpointState(StrEnum):
    """State of an engine in the endpoint list; the values are those of the event bus."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"


class ListMode(StrEnum):
    """How an endpoint list relates to the previous one; the values are those of the event bus."""

    COMPLETE = "Complete"  # engines that are not listed are gone
    PARTIAL = "Partial"  # engines that are not listed are unchanged
    PERSISTED = "Persisted"  # the complete list that this router stored last, possibly out of date
    ERROR = "Error"  # the list could not be read: the previous one remains in force


class AttemptResult(StrEnum):
    """Result of an attempt to run a query on an engine, or of a health check.

    The values are those of the simulator's wire; the log has the members' names in lower case.
    """

    SERVED = "finished"  # a result, or the answer to a health check
    OVERLOADED = "saturated"  # the engine rejected it because it is at capacity
    CONNECTION_REFUSED = "refused_conn"  # no process listens at the address
    UNREACHABLE = "unreached"  # no connection was established in time, or there is no route
    NOT_SENT = "superseded"  # this router sent no byte of it
    TIMED_OUT = "overdue"  # no answer within the time limit
    CONNECTION_LOST = "severed"  # the connection broke before the answer
    CANCELLED = "recalled"  # this router cancelled it
    FAILED = "errored"  # the engine answered with an error


# Results that prove that the engine did not run the query.
NOT_RUN_RESULTS = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECTION_REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.NOT_SENT,
)
# Results after which the engine may still run the query.
POSSIBLY_RUNNING_RESULTS = (
    AttemptResult.TIMED_OUT,
    AttemptResult.CONNECTION_LOST,
    AttemptResult.CANCELLED,
)

# ---- inputs ---------------------------------------------------------------------------------------


class EndpointEntry(NamedTuple):
    """An entry of the endpoint list: one engine."""

    engine: EngineId
    kind: int
    cell: int
    zone: int
    started: Time
    state: EndpointState
    weight: float


class NewQuery(NamedTuple):
    """An admitted query of a client."""

    id: QueryId
    group: int  # number of its resource group in the settings
    deadline: Time  # the client must have its answer by then
    table_group: int | None = None
    tenant: int = 0
    cost: Time | None = None  # estimated core time; None where there is no estimate
    memory_mb: float = 0.0
    ordering_key: str | None = None  # queries of a key run one after another if the group keeps order


class AttemptEnded(NamedTuple):
    """The end of an attempt."""

    query: QueryId
    attempt: int  # index among the query's attempts, from 0
    result: AttemptResult
    final: bool  # whether this result answers the client
    elapsed: Time  # since the attempt was sent
    cost: Time | None = None  # core time used, as the engine reports it
    report: Report | None = None  # load report that came with the answer


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShares:
    """This router's shares of the limits that all routers have in common.

    A limit without a stated share is divided equally among the routers.
    """

    warm_up: float | None = None  # share of the light queries that are sent to warming engines
    tenants: Mapping[int, float] = field(default_factory=dict)  # shares of the tenants' quotas, by tenant
    health_checks: float = 1  # maximum number of health checks per query
    # With partners: the inverse of this router's share of the pool. None: the number of routers is used.
    pool_routers: float | None = None
    excluded_engines: frozenset[EngineId] = frozenset()  # warming engines that must not get more queries now


# ---- decisions ------------------------------------------------------------------------------------


class Reason(StrEnum):
    """Which check rejected or failed a query.

    The log has the members' names in lower case; simulations print the values.
    """

    DEADLINE = "its end"  # its deadline is reached
    NO_RETRY = "tried"  # its attempt had no result, and a retry is not allowed or would be too late
    TOO_LATE = "too late"  # a start would no longer meet the latency objective
    TOO_HEAVY = "too heavy"  # too heavy for the load of the engines or for the number of free sessions
    ENGINES_OVERLOADED = "crowd"  # the query is a dashboard, and all engines are overloaded
    LOADS_AHEAD = "line of loads"  # a bulk load that can't start in time behind others of its table group


@dataclass(frozen=True, slots=True)
class Submit:
    """Start an attempt: send the query to this engine, which has `time_limit` for it.

    After `send_by` a query that still waits for its connection must not be sent: it may already have run, and
    the engines may have forgotten its idempotency key. None: only the time limit binds.
    """

    query: QueryId
    engine: EngineId
    time_limit: Time
    send_by: Time | None = None


@dataclass(frozen=True, slots=True)
class SetExecutionOptions:
    """Set the memory and the priority with which engines run the query; higher priorities run first."""

    query: QueryId
    memory_mb: float  # 0: the engine's default is used
    priority: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Tell the client that nothing ran and a retry is safe after a wait; `retry_after` of 0 names no wait."""

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
    """Cancel an attempt."""

    query: QueryId
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Ask an engine for its load."""

    engine: EngineId


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer: call `on_timer` at this time with this name."""

    at: Time
    name: str


Decision: TypeAlias = (
    Submit | SetExecutionOptions | Reject | Fail | Cancel | HealthCheck | WatchEndpoints | SetTimer
)


class Scheduler(Protocol):
    """Makes the decisions of one router.

    The inputs (`on_...`) only update its state; the caller then calls `next_decision` until it returns None.
    """

    @property
    def engines(self) -> "Mapping[EngineId, EngineState]":
        """All known engines, by id; callers must not change them."""

    def on_endpoint_list(self, now: Time, mode: ListMode, entries: Iterable[EndpointEntry]) -> None:
        """Handles the endpoint list or a change of it."""

    def on_subset(
        self,
        now: Time,
        engines: frozenset[EngineId],
        routers: int | None = None,
        shares: FleetShares | None = None,
    ) -> None:
        """Sets the preferred engines (subsetting), the number of live routers and this router's shares.

        None keeps the previous value.
        """

    def admits(self, now: Time, group: int, loop_lag: float) -> bool:
        """Returns whether a query of this group is admitted; called before the query is read.

        `loop_lag` is the event loop lag in tenths of a millisecond.
        """

    def on_query(self, now: Time, query: NewQuery) -> None:
        """Handles an admitted query."""

    def on_attempt_ended(self, now: Time, ended: AttemptEnded) -> None:
        """Handles the end of an attempt; an unknown attempt or one that has already ended is ignored."""

    def on_health_check(
        self, now: Time, engine: EngineId, result: AttemptResult, report: Report | None
    ) -> None:
        """Handles the result of a health check of this router."""

    def on_load_report(self, now: Time, engine: EngineId, report: Report, age: Time) -> None:
        """Handles a load report of this age relayed by another router; one older than the last is ignored."""

    def on_fleet_changed(self, now: Time) -> None:
        """Called when other routers' observations, liveness or quota leases may have changed.

        A scheduler without peers ignores it.
        """

    def on_progress(self, now: Time, query: QueryId, attempt: int, topic: int, value: float) -> None:
        """Handles an engine's progress report on an attempt."""

    def on_stream_started(self, now: Time, query: QueryId) -> None:
        """Handles the first part of a streamed result: the query is no longer retried or rejected."""

    def on_client_left(self, now: Time, query: QueryId) -> None:
        """Called when no client waits for the query any more."""

    def on_shutdown(self, now: Time, deadline: Time) -> None:
        """Handles the shutdown of this router: every query is answered by the deadline."""

    def on_timer(self, now: Time, name: str) -> None:
        """Handles the expiry of a `SetTimer`."""

    def next_decision(self, now: Time) -> Decision | None:
        """Returns the next decision, or None if there is nothing to decide at this time."""
