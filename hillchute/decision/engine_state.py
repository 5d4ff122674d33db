"""State of the engines that a router knows, and their order by hash. Takes no decisions."""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from hillchute.decision.interface import EndpointEntry, EndpointState, EngineId, FleetShares, ListMode, Time
from hillchute.settings import Settings

NEVER: Time = -(10**9)  # earlier than any time of the caller's clock


@dataclass(slots=True, eq=False)
class EngineState:
    """One engine, by the endpoint list, its load reports and this router's attempts on it."""

    id: EngineId
    kind: int = 0
    cell: int = 0
    zone: int = 0
    cores: int = 1
    memory_mb: float = 0.0  # total; 0: not stated
    warm_up_initial_share: float = 0.0  # share of its cores' capacity that is usable at its start
    warm_up_duration: Time = 0
    ready: bool = False
    gone: bool = False
    started: Time = 0  # by the endpoint list, or the time of a refused connection if that is later
    threads: int = 0  # used by this router's open attempts
    attempts_memory_mb: float = 0.0  # used by this router's open attempts
    open_attempts: int = 0
    # Table groups of this router's bulk loads.
    running_bulk_loads: list[int | None] = field(default_factory=list)
    # Attempts that the last report may not include: time sent, threads, memory.
    unreported: deque[tuple[Time, int, float]] = field(default_factory=deque)
    unreported_threads: int = 0  # sums over `unreported`
    unreported_memory_mb: float = 0.0
    reported_threads: float | None = None  # used by all routers at the last report
    memory_granted: float | None = None  # share of its memory that was granted at the last report
    reported_at: Time = NEVER
    checked_at: Time = NEVER
    under_pressure_until: Time = 0
    failures: int = 0  # consecutive failures; those at the same time count as one
    failed_at: Time = -1
    ejected_until: Time = 0

    def is_warming_up(self, now: Time) -> bool:
        """Returns whether the engine started within the warm-up duration."""
        return self.started > 0 and now < self.started + self.warm_up_duration

    def usable_cores(self, now: Time) -> float:
        """Returns its present capacity in cores.

        How the capacity grows during warm-up is not known; linear growth is assumed.
        """
        if not self.is_warming_up(now):
            return self.cores
        warmed = (1 - self.warm_up_initial_share) * (now - self.started) / self.warm_up_duration
        return self.cores * (self.warm_up_initial_share + warmed)

    def update(self, entry: EndpointEntry, settings: Settings) -> None:
        """Applies an entry of the endpoint list to this engine."""
        self.kind = entry.kind
        self.cell = entry.cell
        self.zone = entry.zone
        kind = settings.engine_kind(entry.kind)
        self.cores = kind.cores
        self.memory_mb = kind.memory_mb
        self.warm_up_initial_share = settings.warm_up.initial_share
        self.warm_up_duration = settings.warm_up.duration
        self.ready = entry.state == EndpointState.READY
        self.gone = entry.state == EndpointState.GONE

    def attempt_started(self, now: Time, threads: int, memory_mb: float) -> None:
        """Counts an attempt of this router that starts, with its threads and memory."""
        self.open_attempts += 1
        self.threads += threads
        self.attempts_memory_mb += memory_mb
        self.unreported.append((now, threads, memory_mb))
        self.unreported_threads += threads
        self.unreported_memory_mb += memory_mb

    def attempt_ended(self, threads: int, memory_mb: float) -> None:
        """Removes an ended attempt of this router, with its threads and memory."""
        self.open_attempts -= 1
        self.threads -= threads
        self.attempts_memory_mb -= memory_mb

    def count_failure(self, now: Time) -> int:
        """Counts a failure, those at the same time once, and returns the number of consecutive failures."""
        self.failures += now > self.failed_at
        self.failed_at = now
        return self.failures

    def sent_since(self, start: Time) -> tuple[int, float]:
        """Returns the threads and memory (MB) of attempts sent since `start` that may still be in use."""
        while self.unreported and self.unreported[0][0] < start:
            _, threads, memory_mb = self.unreported.popleft()
            self.unreported_threads -= threads
            self.unreported_memory_mb -= memory_mb
        return (
            min(self.unreported_threads, self.threads),
            min(self.unreported_memory_mb, self.attempts_memory_mb),
        )


class EngineOrder:
    """Engines ordered by the hash of their id: every router computes the same order.

    Adding or removing an engine keeps the order of the others.
    """

    __slots__ = ("_order", "_ranks")

    def __init__(self) -> None:
        self._order: list[tuple[int, EngineId]] = []
        self._ranks: dict[EngineId, tuple[int, EngineId]] = {}

    def __len__(self) -> int:
        return len(self._order)

    def add(self, engine: EngineId) -> None:
        """Adds an engine if it is not present."""
        if engine not in self._ranks:
            rank = crc32(str(engine).encode()), engine
            self._ranks[engine] = rank
            insort(self._order, rank)

    def discard(self, engine: EngineId) -> None:
        """Removes an engine if it is present."""
        rank = self._ranks.pop(engine, None)
        if rank is not None:
            del self._order[bisect_left(self._order, rank)]

    def position(self, engine: EngineId) -> int:
        """Returns the engine's position, from 0; raises KeyError if it is not present."""
        return bisect_left(self._order, self._ranks[engine])


class EnginePool:
    """The engines that this router knows, its subset of them, and its shares of the common limits."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.engines: dict[EngineId, EngineState] = {}
        self.order = EngineOrder()
        self.warming_up: dict[EngineId, EngineState] = {}  # may include engines that have warmed up since
        self.gone_engines: dict[EngineId, EngineState] = {}  # gone, but with open attempts
        self.subset: frozenset[EngineId] = frozenset()  # the preferred engines
        self.routers = max(1, settings.routers)
        self.shares = FleetShares()

    def update(self, now: Time, mode: ListMode, entries: Iterable[EndpointEntry]) -> list[EngineId]:
        """Applies the endpoint list or a change of it and returns the engines that were removed."""
        changed: dict[EngineId, EngineState] = {}
        for entry in entries:
            engine = self.engines.setdefault(entry.engine, EngineState(entry.engine))
            changed[entry.engine] = engine
            engine.update(entry, self.settings)
            if entry.started > engine.started:
                engine.started = entry.started
                engine.failures = 0
                engine.ejected_until = now
                engine.reported_threads = None
        if mode != ListMode.PARTIAL:
            for engine in self.engines.values():
                if engine.id not in changed:
                    engine.ready = False
                    engine.gone = True
                    changed[engine.id] = engine
        return self._update_indexes(now, changed.values())

    def _update_indexes(self, now: Time, changed: Iterable[EngineState]) -> list[EngineId]:
        """Updates the collections for the changed engines only and returns the engines that were removed."""
        for engine in changed:
            if engine.gone:
                self.gone_engines[engine.id] = engine
            else:
                self.gone_engines.pop(engine.id, None)
                self.order.add(engine.id)
            if engine.is_warming_up(now):
                self.warming_up[engine.id] = engine
        removed = [engine.id for engine in self.gone_engines.values() if not engine.open_attempts]
        for engine_id in removed:  # new ids keep coming, so the state would grow without limit
            for engines in (self.engines, self.gone_engines, self.warming_up):
                engines.pop(engine_id, None)
            self.order.discard(engine_id)
        return removed

    def subset_engines(self) -> list[EngineState]:
        """Returns the engines of the subset that are known."""
        return [engine for engine in map(self.engines.get, self.subset) if engine]
