"""What one router knows, grouped by how long it lives. Nothing here decides."""

from bisect import bisect, bisect_left, insort
from collections import Counter, deque
from dataclasses import dataclass, field
from zlib import crc32

from hillchute.decision.interface import Catalog, EngineId, Listing, QueryId, Time


def trim(line: deque, start: Time) -> None:
    """Drops what came before start from a line of (time, ...)."""
    while line and line[0][0] < start:
        line.popleft()


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
    place: str = "new"  # new, lane, queue, dash, behind, out, again, ended
    line: deque | None = None  # where it stands while it waits in one
    legs: list[Submission] = field(default_factory=list)
    ran: Submission | None = None  # the first submission that may have run
    errors: int = 0
    lot: EngineId | None = None  # the recovering engine that is open to it
    lot_at: Time = 0  # when that was drawn: it does not stand for ever
    drawn: EngineId | None = None  # the engine that is looked at before it is sent there
    drawn_at: Time = 0
    crowded: int = 0  # engines that it looked at and passed over
    start: int = 0  # where its table group begins in the order of the engines
    blamed: "Engine | None" = None  # the first engine that answered it with an error
    streaming: bool = False

    def __post_init__(self) -> None:
        self.start = crc32(str(self.tables).encode())

    @property
    def out(self) -> int:
        return sum(leg.open for leg in self.legs)

    @property
    def work(self) -> float:
        """Core time that it takes, at the least: estimates may be low, and rule 4 weighs true work."""
        return self.cost * max(1.0, self.group.scale)


@dataclass(slots=True)
class Engine:
    id: EngineId
    kind: int = 0
    cell: int = 0
    zone: int = 0
    cores: int = 1
    cold_from: float = 0.0
    cold_for: Time = 0
    ram: float = 0.0
    ready: bool = False
    gone: bool = False
    started: Time = 0  # as told, or as guessed from broken connections
    threads: int = 0  # of this router's submissions that are out
    memory: float = 0.0
    out: int = 0
    holds: list = field(default_factory=list)  # table groups of this router's loads running there
    sent: deque = field(default_factory=deque)  # (time, threads) not yet in a report
    fresh: int = 0  # threads in sent
    fresh_memory: float = 0.0
    reported: float | None = None  # threads in use at the last report
    granted: float | None = None  # share of its memory granted at the last report
    reported_at: Time = -(10**9)
    probed_at: Time = -(10**9)
    pressed_until: Time = 0
    fails: int = 0  # moments of failure in a row
    failed_at: Time = -1
    rest_until: Time = 0

    def cold(self, now: Time) -> bool:
        return self.started > 0 and now < self.started + self.cold_for

    def able(self, now: Time) -> float:
        """Cores that it is worth: how it warms is not told; evenly, at the slowest that is stated."""
        if not self.cold(now):
            return self.cores
        return self.cores * (self.cold_from + (1 - self.cold_from) * (now - self.started) / self.cold_for)

    def listed(self, entry: Listing, catalog: Catalog) -> None:
        def per_kind(name: str, default: float) -> float:
            values = catalog.get(name, default)
            return values[entry.kind] if isinstance(values, list) else values

        self.kind, self.cell, self.zone = entry.kind, entry.cell, entry.zone
        self.cores = per_kind("domain.kind_cores", 1)
        self.cold_from, self.cold_for = (catalog.get(f"guarantees.{x}", 0) for x in ("cold_from", "cold"))
        self.ram = per_kind("domain.ram_of_kind_mb", 0.0)
        self.ready, self.gone = entry.state == "Ready", entry.state == "Gone"

    def began(self, now: Time, q: Query, sub: Submission) -> None:
        q.legs.append(sub)
        self.out, self.threads, self.memory = (
            self.out + 1,
            self.threads + q.group.width,
            self.memory + q.memory,
        )
        self.sent.append((now, q.group.width, q.memory))
        self.fresh, self.fresh_memory = self.fresh + q.group.width, self.fresh_memory + q.memory
        if q.group.is_load:
            self.holds.append(q.tables)

    def ended(self, q: Query, sub: Submission) -> None:
        sub.open = False
        self.out, self.threads, self.memory = (
            self.out - 1,
            self.threads - q.group.width,
            self.memory - q.memory,
        )
        if q.group.is_load:
            self.holds.remove(q.tables)

    def failed(self, now: Time) -> int:
        """Counts a failure; those of one moment count once."""
        self.fails, self.failed_at = self.fails + (now > self.failed_at), now
        return self.fails

    def since(self, start: Time) -> tuple[int, float]:
        """Threads and memory that this router has sent since then and that are still out."""
        while self.sent and self.sent[0][0] < start:
            _, threads, memory = self.sent.popleft()
            self.fresh, self.fresh_memory = self.fresh - threads, self.fresh_memory - memory
        return min(self.fresh, self.threads), min(self.fresh_memory, self.memory)


class Order:
    """One order of engines by chance that all routers work out alike; a change moves no more than it must."""

    def __init__(self) -> None:
        self.line: list[tuple[int, EngineId]] = []
        self.marks: dict[EngineId, tuple[int, EngineId]] = {}

    def __len__(self) -> int:
        return len(self.line)

    def add(self, engine: EngineId) -> None:
        if engine not in self.marks:
            mark = self.marks[engine] = crc32(str(engine).encode()), engine
            insort(self.line, mark)

    def discard(self, engine: EngineId) -> None:
        mark = self.marks.pop(engine, None)
        if mark is not None:
            del self.line[bisect_left(self.line, mark)]

    def of(self, engine: EngineId) -> int:
        """Its place, from 0."""
        return bisect_left(self.line, self.marks[engine])


@dataclass(slots=True)
class Sample:
    """Submissions of late, and the median of the times that they took over their times alone."""

    line: deque = field(default_factory=deque)  # (time, submission)
    ratios: list = field(default_factory=list)
    at: Time = -(10**9)

    def add(self, now: Time, sub: Submission) -> None:
        self.line.append((now, sub))

    def median(self, now: Time, span: Time, every: Time, calm: int) -> float:
        """With so many calm ones counted in; 1 where fewer than three are known: they are mostly chance."""
        if now - self.at >= every:
            self.at = now
            trim(self.line, now - span)
            aged = ((s, s.ratio or s.open * (now - s.sent) / s.alone) for _, s in self.line)
            self.ratios = [r for s, r in aged if s.ratio or r > 1]
            self.ratios.sort()
        n = len(self.ratios) + calm
        if n < 3:
            return 1.0
        low = bisect(self.ratios, 1.0)  # the calm ones stand there
        middle = n // 2
        if middle < low:
            return self.ratios[middle]
        return 1.0 if middle < low + calm else self.ratios[middle - calm]


@dataclass(slots=True)
class Traffic:
    """The queries taken of late, and how many by each customer."""

    line: deque = field(default_factory=deque)  # (time, customer)
    of: Counter = field(default_factory=Counter)

    def add(self, now: Time, tenant: int, start: Time) -> None:
        while self.line and self.line[0][0] < start:
            self.of[self.line.popleft()[1]] -= 1
        self.line.append((now, tenant))
        self.of[tenant] += 1


@dataclass(slots=True)
class Light:
    """The work of late that is light enough for an engine that warms; at most so much in one query."""

    most: float
    began: Time
    line: deque = field(default_factory=deque)  # (time, work)
    work: float = 0.0

    def add(self, now: Time, work: float, span: Time) -> float:
        """Takes one in; the rate, in cores."""
        self.line.append((now, work))
        self.work += work
        return self.rate(now, span)

    def rate(self, now: Time, span: Time) -> float:
        """In cores. Over a time that has just begun it is high, never low."""
        while self.line and self.line[0][0] < now - span:
            self.work -= self.line.popleft()[1]
        return self.work / max(1, min(span, now - self.began))


@dataclass(slots=True)
class Lane:
    """The queries of one key, in the order they were taken."""

    turn: deque = field(default_factory=deque)
    rest_until: Time = 0

    def first(self) -> Query | None:
        """The query whose turn it is, once all before it are over."""
        while self.turn and self.turn[0].place == "ended" and not self.turn[0].out:
            self.turn.popleft()
        return self.turn[0] if self.turn else None
