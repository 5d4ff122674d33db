"""What a router knows of one query, its attempts and its resource group. Nothing here decides."""

from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import Catalog, EngineId, QueryId, Time


@dataclass(slots=True)
class ResourceGroup:
    """A resource group as the catalog gives it, with what this router has learned of it."""

    number: int
    target: Time
    stretch: float
    effect: str
    repeats: str
    window: Time
    width: int
    value: float
    is_load: bool
    waits: bool
    in_order: bool
    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    scale: float = 1.0  # true cost over estimated cost
    usual: float = 0.0  # mean estimated work, in core time
    took: float = 0.0  # mean time of those that finished

    @classmethod
    def read(cls, catalog: Catalog, n: int) -> "ResourceGroup":
        def per_group(name: str, default: object) -> object:
            values = catalog.get(name, default)
            values = values if isinstance(values, list) else [values]
            return values[n] if n < len(values) else default

        def bound_to(name: str) -> frozenset[int] | None:
            values = catalog.get(f"groups.{n}.{name}")
            if values is None:
                return None
            return frozenset(values if isinstance(values, list) else [values])

        def own(name: str, default: object) -> object:
            return catalog.get(f"groups.{n}.{name}", default)

        return cls(
            number=n,
            target=own("target_runtime", 0),
            stretch=own("target_stretch", 0.0),
            effect=own("effect", "mutating"),
            repeats=own("repeats_dropped_by", "cell"),
            window=own("window", 0),
            width=per_group("domain.width_by_group", 1),
            value=own("value", 1.0) or 1.0,
            is_load=per_group("domain.group_load", False),
            waits=per_group("domain.yields_to_loads", False),
            in_order=own("keep_order", False),
            zones=bound_to("runs_in"),
            kinds=bound_to("runs_on"),
        )


@dataclass(slots=True)
class Attempt:
    engine: EngineId
    sent: Time
    work: float
    alone: float  # the time that it would take alone
    open: bool = True
    ratio: float = 0.0  # time taken over time alone, once known


@dataclass(slots=True)
class QueryState:
    id: QueryId
    group: ResourceGroup
    taken: Time
    deadline: Time
    table_group: int | None
    tenant: int
    cost: Time
    memory: float
    key: str | None
    place: str = "new"  # new, lane, queue, dash, behind, out, again, ended
    line: deque | None = None  # where it stands while it waits in one
    attempts: list[Attempt] = field(default_factory=list)
    ran: Attempt | None = None  # the first submission that may have run
    errors: int = 0
    lot: EngineId | None = None  # the recovering engine that is open to it
    lot_at: Time = 0  # when that was drawn: it does not stand for ever
    drawn: EngineId | None = None  # the engine that is looked at before it is sent there
    drawn_at: Time = 0
    crowded: int = 0  # engines that it looked at and passed over
    start: int = 0  # where its table group begins in the order of the engines
    blamed: EngineState | None = None  # the first engine that answered it with an error
    streaming: bool = False

    def __post_init__(self) -> None:
        self.start = crc32(str(self.table_group).encode())

    @property
    def open_attempts(self) -> int:
        return sum(attempt.open for attempt in self.attempts)

    @property
    def work(self) -> float:
        """Core time that it takes, at the least: estimates may be low, and rule 4 weighs true work."""
        return self.cost * max(1.0, self.group.scale)


@dataclass(slots=True)
class Lane:
    """The queries of one key, in the order they were taken."""

    turn: deque = field(default_factory=deque)
    paused_until: Time = 0

    def first(self) -> QueryState | None:
        """The query whose turn it is, once all before it are over."""
        while self.turn and self.turn[0].place == "ended" and not self.turn[0].open_attempts:
            self.turn.popleft()
        return self.turn[0] if self.turn else None
