"""What a router knows of a query, its attempts, its resource group and its key. Nothing here decides."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import EngineId, QueryId, Time
from hillchute.settings import ResourceGroupSettings


class QueryPlace(Enum):
    """The stage that a query has reached."""

    ADMITTED = auto()
    ORDERED = auto()  # behind earlier queries of its key
    TEAM_QUEUE = auto()
    DASHBOARD_QUEUE = auto()
    BEHIND_LOADS = auto()  # behind loads of its table group
    RUNNING = auto()  # an attempt is out
    RETRYING = auto()  # its attempt has ended without a result
    ANSWERED = auto()


WAITING = frozenset(
    {QueryPlace.ORDERED, QueryPlace.TEAM_QUEUE, QueryPlace.DASHBOARD_QUEUE, QueryPlace.BEHIND_LOADS}
)


@dataclass(slots=True)
class ResourceGroup:
    """A resource group, with what this router has learned of it."""

    settings: ResourceGroupSettings
    cost_ratio: float = 1.0  # true cost over estimated cost
    mean_cost: float = 0.0  # of the estimates, in core time
    mean_elapsed: float = 0.0  # of attempts that were served


@dataclass(slots=True)
class Attempt:
    """One attempt to run a query on an engine."""

    engine: EngineId
    sent: Time
    work: float  # core time that it is expected to take
    runtime_alone: float  # the time that it would take alone on the engine
    open: bool = True
    ratio: float = 0.0  # time taken over time alone, once known


@dataclass(slots=True, eq=False)
class QueryState:
    """A query from its admission to its answer, or to the end of its last attempt if that is later."""

    id: QueryId
    group: ResourceGroup
    admitted: Time
    deadline: Time
    table_group: int | None
    tenant: int
    cost: float  # estimated core time
    memory_mb: float
    ordering_key: str | None
    threads: int  # that it uses on its engine
    place: QueryPlace = QueryPlace.ADMITTED
    waiting_line: "deque[QueryState] | None" = None  # that it is in while its place is one of WAITING
    attempts: list[Attempt] = field(default_factory=list)
    first_run: Attempt | None = None  # the first attempt that may have run
    errors: int = 0
    permit_engine: EngineId | None = None  # the engine that warms up and is open to it
    permit_at: Time = 0  # when that was drawn: it expires
    checked_engine: EngineId | None = None  # whose health check it waits for before it is sent there
    checked_at: Time = 0
    overloaded_checks: int = 0  # engines that it had checked and passed over
    placement_offset: int = 0  # where its table group begins in the order of the engines
    first_failed_on: EngineState | None = None  # the first engine that answered it with an error
    streaming: bool = False

    def __post_init__(self) -> None:
        """Hashes the table group, alike on all routers."""
        self.placement_offset = crc32(str(self.table_group).encode())

    @property
    def open_attempts(self) -> int:
        """Attempts that have not ended."""
        return sum(attempt.open for attempt in self.attempts)

    @property
    def work(self) -> float:
        """Core time that it takes, at the least: estimates may be low, and slow start weighs true work."""
        return self.cost * max(1.0, self.group.cost_ratio)

    @property
    def runtime_alone(self) -> float:
        """The time that it would take alone on an engine."""
        return self.cost * self.group.cost_ratio / self.threads


@dataclass(slots=True)
class OrderedKey:
    """The queries of one key, in the order they were admitted."""

    queries: deque[QueryState] = field(default_factory=deque)
    paused_until: Time = 0

    def next_query(self) -> QueryState | None:
        """The query whose turn it is, once all before it are over."""
        queries = self.queries
        while queries and queries[0].place is QueryPlace.ANSWERED and not queries[0].open_attempts:
            queries.popleft()
        return queries[0] if queries else None
