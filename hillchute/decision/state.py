"""What one router knows, grouped by how long it lives. Nothing here decides."""

from collections import deque
from dataclasses import dataclass, field

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
class Submission:
    engine: EngineId
    sent: Time
    work: float
    alone: float  # the time that it would take alone
    open: bool = True
    ratio: float = 0.0  # time taken over time alone, once known


@dataclass(slots=True)
class Query:
    id: QueryId
    group: ResourceGroup
    taken: Time
    due: Time
    tables: int | None
    tenant: int
    cost: Time
    memory: float
    key: str | None
    place: str = "new"  # new, lane, queue, dash, out, ended
    legs: list[Submission] = field(default_factory=list)
    ran: Submission | None = None  # the first submission that may have run
    streaming: bool = False

    @property
    def out(self) -> int:
        return sum(leg.open for leg in self.legs)


@dataclass(slots=True)
class Engine:
    id: EngineId
    kind: int = 0
    cell: int = 0
    zone: int = 0
    cores: int = 1
    ram: float = 0.0
    ready: bool = False
    started: Time = 0  # as told, or as guessed from broken connections
    threads: int = 0  # of this router's submissions that are out
    memory: float = 0.0
    out: int = 0
    holds: list = field(default_factory=list)  # table groups of this router's loads running there
    sent: deque = field(default_factory=deque)  # (time, threads) not yet in a report
    fresh: int = 0  # threads in sent
    fresh_memory: float = 0.0
    cold: deque = field(default_factory=deque)  # (time, usual work) sent while cold
    reported: float | None = None  # threads in use at the last report
    granted: float | None = None  # share of its memory granted at the last report
    reported_at: Time = 0
    probed_at: Time = -(10**9)
    pressed_until: Time = 0
    fails: int = 0
    rest_until: Time = 0


@dataclass(slots=True)
class Lane:
    """The queries of one key, in the order they were taken."""

    turn: deque = field(default_factory=deque)
    rest_until: Time = 0
