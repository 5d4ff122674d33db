"""What a router knows of one engine, and the order in which routers see them. Nothing here decides."""

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from hillchute.decision.interface import Catalog, EndpointState, EngineId, Listing, Time


@dataclass(slots=True)
class EngineState:
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
    open_attempts: int = 0
    running_loads: list[int | None] = field(default_factory=list)  # their table groups; of this router
    sent: deque = field(default_factory=deque)  # (time, threads) not yet in a report
    fresh: int = 0  # threads in sent
    fresh_memory: float = 0.0
    reported_threads: float | None = None  # threads in use at the last report
    memory_granted: float | None = None  # share of its memory granted at the last report
    reported_at: Time = -(10**9)
    probed_at: Time = -(10**9)
    pressed_until: Time = 0
    failures: int = 0  # moments of failure in a row
    failed_at: Time = -1
    ejected_until: Time = 0

    def is_warming_up(self, now: Time) -> bool:
        return self.started > 0 and now < self.started + self.cold_for

    def usable_cores(self, now: Time) -> float:
        """Cores that it is worth: how it warms is not told; evenly, at the slowest that is stated."""
        if not self.is_warming_up(now):
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
        self.ready, self.gone = entry.state == EndpointState.READY, entry.state == EndpointState.GONE

    def attempt_started(
        self, now: Time, threads: int, memory: float, is_load: bool, table_group: int | None
    ) -> None:
        """An attempt that takes so many threads and megabytes goes out."""
        self.open_attempts += 1
        self.threads += threads
        self.memory += memory
        self.sent.append((now, threads, memory))
        self.fresh += threads
        self.fresh_memory += memory
        if is_load:
            self.running_loads.append(table_group)

    def attempt_ended(self, threads: int, memory: float, is_load: bool, table_group: int | None) -> None:
        """An attempt that took so many threads and megabytes is over."""
        self.open_attempts -= 1
        self.threads -= threads
        self.memory -= memory
        if is_load:
            self.running_loads.remove(table_group)

    def failed(self, now: Time) -> int:
        """Counts a failure; those of one moment count once."""
        self.failures, self.failed_at = self.failures + (now > self.failed_at), now
        return self.failures

    def since(self, start: Time) -> tuple[int, float]:
        """Threads and memory that this router has sent since then and that are still out."""
        while self.sent and self.sent[0][0] < start:
            _, threads, memory = self.sent.popleft()
            self.fresh, self.fresh_memory = self.fresh - threads, self.fresh_memory - memory
        return min(self.fresh, self.threads), min(self.fresh_memory, self.memory)


class EngineOrder:
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
