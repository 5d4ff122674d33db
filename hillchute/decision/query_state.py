"""State of queries, their attempts, resource groups and ordering keys. Takes no decisions."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import EngineId, QueryId, Time
from hillchute.settings import ResourceGroupSettings


class QueryStage(Enum):
    """The stage of a query."""

    ADMITTED = auto()
    ORDERED = auto()  # waits for earlier queries of its key
    TEAM_QUEUE = auto()
    DASHBOARD_QUEUE = auto()
    BLOCKED_BULK_LOAD = auto()  # waits for bulk loads of its table group
    RUNNING = auto()  # an attempt is open
    RETRYING = auto()  # its attempt ended without a result
    ANSWERED = auto()


WAITING = frozenset(
    {QueryStage.ORDERED, QueryStage.TEAM_QUEUE, QueryStage.DASHBOARD_QUEUE, QueryStage.BLOCKED_BULK_LOAD}
)


@dataclass(slots=True)
class ResourceGroup:
    """A resource group, with this router's running means of its queries."""

    settings: ResourceGroupSettings
    cost_ratio: float = 1.0  # true cost over estimated cost, running mean
    mean_cost: float = 0.0  # of the estimates, in core time
    mean_elapsed: float = 0.0  # of served attempts


@dataclass(slots=True)
class Attempt:
    """One attempt to run a query on an engine."""

    engine: EngineId
    sent: Time
    work: float  # expected core time
    runtime_alone: float  # expected runtime without other queries on the engine
    open: bool = True
    slowdown: float = 0.0  # elapsed time over runtime alone; 0 until known


@dataclass(slots=True, eq=False)
class QueryState:
    """A query, from its admission to its answer or to the end of its last attempt, whichever is later."""

    id: QueryId
    group: ResourceGroup
    admitted: Time
    deadline: Time
    table_group: int | None
    tenant: int
    cost: float  # estimated core time
    memory_mb: float
    ordering_key: str | None
    threads: int  # used on its engine
    stage: QueryStage = QueryStage.ADMITTED
    queue: "deque[QueryState] | None" = None  # the one it waits in while `stage` is in WAITING
    attempts: list[Attempt] = field(default_factory=list)
    first_run: Attempt | None = None  # the first attempt that the engine may have run
    errors: int = 0
    permit_engine: EngineId | None = None  # the warming engine that is open to it
    permit_at: Time = 0  # when the permit was drawn, for its expiry
    checked_engine: EngineId | None = None  # the engine whose health check it waits for
    checked_at: Time = 0
    overloaded_checks: int = 0  # engines that were checked for it and found overloaded
    placement_offset: int = 0  # offset of its table group in the order of the engines
    first_failed_engine: EngineState | None = None  # the first engine that answered with an error
    streaming: bool = False

    def __post_init__(self) -> None:
        """Derives the offset from the table group, equal on all routers."""
        self.placement_offset = crc32(str(self.table_group).encode())

    @property
    def open_attempts(self) -> int:
        """The number of attempts that have not ended."""
        return sum(attempt.open for attempt in self.attempts)

    @property
    def work(self) -> float:
        """Core time, never below the estimate; slow start counts true work, and estimates may be low."""
        return self.cost * max(1.0, self.group.cost_ratio)

    @property
    def runtime_alone(self) -> float:
        """Expected runtime without other queries on the engine."""
        return self.cost * self.group.cost_ratio / self.threads


@dataclass(slots=True)
class OrderedKey:
    """The queries of one ordering key, in order of admission."""

    queries: deque[QueryState] = field(default_factory=deque)
    paused_until: Time = 0

    def next_query(self) -> QueryState | None:
        """Returns the first query that has not ended, if any, and drops those before it."""
        queries = self.queries
        while queries and queries[0].stage is QueryStage.ANSWERED and not queries[0].open_attempts:
            queries.popleft()
        return queries[0] if queries else None
