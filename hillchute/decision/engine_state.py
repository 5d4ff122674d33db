"""What a router knows of engines, and the order in which all routers see them. Nothing here decides."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from hillchute.decision.interface import EndpointState, EngineId, FleetShares, Listing, ListMode, Time
from hillchute.settings import Settings

NEVER: Time = -(10**9)  # before every time


@dataclass(slots=True, eq=False)
class EngineState:
    """One engine, as the endpoint list, its load reports and this router's own attempts show it."""

    id: EngineId
    kind: int = 0
    cell: int = 0
    zone: int = 0
    cores: int = 1
    memory_mb: float = 0.0  # that it has; 0: not stated
    warm_up_initial_share: float = 0.0  # of its cores' work that it does as it starts
    warm_up_duration: Time = 0
    ready: bool = False
    gone: bool = False
    started: Time = 0  # as the list says, or as refused connections suggest
    threads: int = 0  # of this router's open attempts
    attempts_memory_mb: float = 0.0  # of this router's open attempts
    open_attempts: int = 0
    running_loads: list[int | None] = field(default_factory=list)  # their table groups; of this router
    unreported: deque[tuple[Time, int, float]] = field(default_factory=deque)  # sent: time, threads, memory
    unreported_threads: int = 0  # the sums of it
    unreported_memory_mb: float = 0.0
    reported_threads: float | None = None  # in use at the last report
    memory_granted: float | None = None  # share of its memory at the last report
    reported_at: Time = NEVER
    checked_at: Time = NEVER
    under_pressure_until: Time = 0
    failures: int = 0  # moments of failure in a row
    failed_at: Time = -1
    ejected_until: Time = 0

    def is_warming_up(self, now: Time) -> bool:
        """Whether it has started of late."""
        return self.started > 0 and now < self.started + self.warm_up_duration

    def usable_cores(self, now: Time) -> float:
        """The cores' equivalent of what it can do now. How it warms up is not known: linearly is assumed."""
        if not self.is_warming_up(now):
            return self.cores
        warmed = (1 - self.warm_up_initial_share) * (now - self.started) / self.warm_up_duration
        return self.cores * (self.warm_up_initial_share + warmed)

    def update(self, listing: Listing, settings: Settings) -> None:
        """The endpoint list names it."""
        self.kind = listing.kind
        self.cell = listing.cell
        self.zone = listing.zone
        kind = settings.engine_kind(listing.kind)
        self.cores = kind.cores
        self.memory_mb = kind.memory_mb
        self.warm_up_initial_share = settings.warm_up.initial_share
        self.warm_up_duration = settings.warm_up.duration
        self.ready = listing.state == EndpointState.READY
        self.gone = listing.state == EndpointState.GONE

    def attempt_started(self, now: Time, threads: int, memory_mb: float) -> None:
        """An attempt of this router that takes so much goes out."""
        self.open_attempts += 1
        self.threads += threads
        self.attempts_memory_mb += memory_mb
        self.unreported.append((now, threads, memory_mb))
        self.unreported_threads += threads
        self.unreported_memory_mb += memory_mb

    def attempt_ended(self, threads: int, memory_mb: float) -> None:
        """An attempt of this router that took so much is over."""
        self.open_attempts -= 1
        self.threads -= threads
        self.attempts_memory_mb -= memory_mb

    def count_failure(self, now: Time) -> int:
        """Counts a failure; those of one moment count once. Failures in a row."""
        self.failures += now > self.failed_at
        self.failed_at = now
        return self.failures

    def sent_since(self, start: Time) -> tuple[int, float]:
        """Threads and memory that this router has sent since then and that are still in use."""
        while self.unreported and self.unreported[0][0] < start:
            _, threads, memory_mb = self.unreported.popleft()
            self.unreported_threads -= threads
            self.unreported_memory_mb -= memory_mb
        return (
            min(self.unreported_threads, self.threads),
            min(self.unreported_memory_mb, self.attempts_memory_mb),
        )


class EngineOrder:
    """One order of engines by hash that all routers work out alike; a change moves no more than it must."""

    __slots__ = ("_order", "_ranks")

    def __init__(self) -> None:
        self._order: list[tuple[int, EngineId]] = []
        self._ranks: dict[EngineId, tuple[int, EngineId]] = {}

    def __len__(self) -> int:
        return len(self._order)

    def add(self, engine: EngineId) -> None:
        """Adds an engine if it isn't there."""
        if engine not in self._ranks:
            rank = crc32(str(engine).encode()), engine
            self._ranks[engine] = rank
            insort(self._order, rank)

    def discard(self, engine: EngineId) -> None:
        """Removes an engine if it is there."""
        rank = self._ranks.pop(engine, None)
        if rank is not None:
            del self._order[bisect_left(self._order, rank)]

    def position(self, engine: EngineId) -> int:
        """The engine's position, from 0; KeyError if it isn't there."""
        return bisect_left(self._order, self._ranks[engine])


class EnginePool:
    """The engines that this router knows, its subset of them, and its part of what routers share."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.engines: dict[EngineId, EngineState] = {}
        self.order = EngineOrder()
        self.warming_up: dict[EngineId, EngineState] = {}  # those that may be
        self.leaving: dict[EngineId, EngineState] = {}  # gone with attempts open
        self.subset: frozenset[EngineId] = frozenset()  # to be preferred
        self.routers = max(1, settings.routers)
        self.shares = FleetShares()

    def update(self, now: Time, mode: ListMode, listings: Iterable[Listing]) -> list[EngineId]:
        """Takes in the endpoint list or a change of it; the engines that are forgotten with it."""
        changed: dict[EngineId, EngineState] = {}
        for listing in listings:
            engine = self.engines.setdefault(listing.engine, EngineState(listing.engine))
            changed[listing.engine] = engine
            engine.update(listing, self.settings)
            if listing.started > engine.started:
                engine.started = listing.started
                engine.failures = 0
                engine.ejected_until = now
                engine.reported_threads = None
        if mode != ListMode.PARTIAL:
            for engine in self.engines.values():
                if engine.id not in changed:
                    engine.ready = False
                    engine.gone = True
                    changed[engine.id] = engine
        return self._refile(now, changed.values())

    def _refile(self, now: Time, changed: Iterable[EngineState]) -> list[EngineId]:
        """What follows from the engines that have changed, without a look at all the others."""
        for engine in changed:
            if engine.gone:
                self.leaving[engine.id] = engine
            else:
                self.leaving.pop(engine.id, None)
                self.order.add(engine.id)
            if engine.is_warming_up(now):
                self.warming_up[engine.id] = engine
        forgotten = [engine.id for engine in self.leaving.values() if not engine.open_attempts]
        for engine_id in forgotten:  # new ids come all day
            for engines in (self.engines, self.leaving, self.warming_up):
                engines.pop(engine_id, None)
            self.order.discard(engine_id)
        return forgotten

    def subset_engines(self) -> list[EngineState]:
        """The engines of the subset that are known."""
        return [engine for engine in map(self.engines.get, self.subset) if engine]
