"""The stand-in engines' model of work, independent of the protocol, and the record of their runs.

Models shared cores, cached (warm) table groups, bulk loads that lock a table group, idempotency tokens,
rejections, cold starts and injected faults. A statement states its own behaviour in a comment, which routers
pass on unchanged:

    SELECT /* lab ms=5 rows=40 batches=4 full=1 */ day FROM sales_17.orders

Keys: `ms` is the work on one core; `rows` and `batches` are those of the result; `full` is how many of the
first submissions are rejected because the engine is full (-1: all) and `error` how many of them fail; `hang`
is non-zero if a run never ends; `cut` is the number of batches after which the connection is closed; `spoilt`
is non-zero for a malformed result; `pause` is in milliseconds between two batches; `wide` is in bytes per
value.
"""

import random
import re
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

import anyio

BEHAVIOUR_COMMENT = re.compile(rb"/\*\s*lab\s+(.*?)\*/", re.DOTALL)
TABLE_GROUP = re.compile(rb"_([0-9]+)\s*\.")
WARM_TABLE_GROUPS = 4  # table groups in an engine's cache
COLD_READ_FACTOR = 1.4  # factor on the work of a query whose table group is not cached
BEHAVIOUR_KEYS = ("ms", "rows", "batches", "full", "error", "hang", "cut", "spoilt", "pause", "wide")


class EngineFullError(Exception):
    """The engine is full and rejects the submission; nothing ran."""


class RunFailedError(Exception):
    """The run failed; it may have had its effect."""


class ConnectionCutError(Exception):
    """The connection is closed here as an injected fault."""


@dataclass
class StatementBehaviour:
    """How a statement behaves on an engine, by the comment in its text; see the module's docstring."""

    ms: float = 5.0
    rows: int = 1
    batches: int = 1
    full: int = 0
    error: int = 0
    hang: int = 0
    cut: int = -1
    spoilt: int = 0
    pause: float = 0.0
    wide: int = 8
    table_group: int | None = None

    @classmethod
    def from_statement(cls, statement: bytes) -> "StatementBehaviour":
        behaviour = cls()
        comment = BEHAVIOUR_COMMENT.search(statement)
        for pair in comment[1].split() if comment else ():
            name, _, value = pair.partition(b"=")
            if name.decode() in BEHAVIOUR_KEYS:
                value_type = type(getattr(behaviour, name.decode()))
                setattr(behaviour, name.decode(), value_type(float(value)))
        group = TABLE_GROUP.search(BEHAVIOUR_COMMENT.sub(b"", statement))
        behaviour.table_group = int(group[1]) if group else None
        return behaviour

    def batch(self, number: int) -> list[tuple[str, str, str]]:
        """Return the rows of one batch; batches are numbered from 0."""
        first, last = (self.rows * n // max(1, self.batches) for n in (number, number + 1))
        return [(f"{n}", f"{n * 7919 % 1000}", "x" * self.wide) for n in range(first, last)]


@dataclass
class RunRecord:
    """One run on an engine, as the engine recorded it; times are Unix times in seconds."""

    id: str
    group: str
    idempotency_key: str | None
    engine: str
    started_at: float
    ended_at: float | None = None
    result: str = "open"
    had_effect: bool = False  # whether it changed data
    connection: int = 0  # number of the connection that submitted it


@dataclass
class EngineWorld:
    """State shared by all stand-in engines of a test: the record of runs, tokens and applied faults."""

    seed: int = 1
    dedupe_window: float = 25.0  # seconds for which an engine drops repeats of an idempotency token
    runs: list[RunRecord] = field(default_factory=list)
    tokens: dict[str, float] = field(default_factory=dict)
    faults_applied: Counter = field(default_factory=Counter)
    drained: dict[str, float] = field(default_factory=dict)  # time of the drain notice, by engine
    # Port of the peer, by number of the open connection.
    open_connections: dict[int, int] = field(default_factory=dict)
    connection_count: int = 0  # connections ever opened

    def clock(self) -> float:
        return time.time()

    def fault_applies(self, kind: str, id: str, limit: int) -> bool:
        """Return whether a fault applies to this submission: to the first `limit`, or to all if negative."""
        if limit < 0:
            return True
        self.faults_applied[kind, id] += 1
        return self.faults_applied[kind, id] <= limit


class Engine:
    """One engine's work, used by the server of either protocol."""

    def __init__(
        self, world: EngineWorld, name: str, cores: int = 8, max_runs: int = 64, cold_seconds: float = 0.0
    ) -> None:
        """`max_runs` limits the runs at once; for `cold_seconds` from its start the speed is a third."""
        self.world, self.name, self.cores, self.max_runs = world, name, cores, max_runs
        self.started_at, self.cold_seconds = world.clock(), cold_seconds
        self.running: dict[str, RunRecord] = {}
        self.active_runs = 0
        self.warm_table_groups: OrderedDict[int, None] = OrderedDict()
        self.bulk_loads: dict[int, anyio.Event] = {}  # table groups locked by a bulk load
        self.rng = random.Random(f"{world.seed}:{name}")
        self.dead = False

    def report(self) -> dict[str, float]:
        return {"util": min(1.0, self.active_runs / self.cores), "inflight": float(len(self.running))}

    def admit(self, id: str, behaviour: StatementBehaviour) -> None:
        """Raise EngineFullError if the engine is full or the behaviour says so."""
        if self.world.fault_applies("full", id, behaviour.full) or len(self.running) >= self.max_runs:
            raise EngineFullError

    async def run(
        self, id: str, group: str, token: str | None, behaviour: StatementBehaviour, connection: int = 0
    ) -> float:
        """Run a submission to its end and return its work in milliseconds; raise RunFailedError."""
        record = RunRecord(id, group, token, self.name, self.world.clock(), connection=connection)
        self.world.runs.append(record)
        self.running[id] = record
        is_bulk_load = token is not None
        try:
            await self.wait_for_bulk_loads(behaviour, is_bulk_load)
            if behaviour.hang:
                await anyio.sleep_forever()
            work = behaviour.ms * self.read_factor(behaviour)
            self.active_runs += 1
            try:
                await anyio.sleep(work * max(1.0, self.active_runs / self.cores) / self.speed() / 1000)
            finally:
                self.active_runs -= 1
            if self.world.fault_applies("error", id, behaviour.error):
                raise RunFailedError
            record.had_effect = token is not None and self.record_token(token)
            record.result = "finished"
            return work
        except RunFailedError:
            record.result = "failed"
            raise
        except anyio.get_cancelled_exc_class():
            record.result = "given up"
            raise
        finally:
            record.ended_at = self.world.clock()
            self.running.pop(id, None)
            if is_bulk_load and behaviour.table_group in self.bulk_loads:
                self.bulk_loads.pop(behaviour.table_group).set()

    def record_token(self, token: str) -> bool:
        """Record a token and return whether its effect is new; repeats within the window have none."""
        now, previous = self.world.clock(), self.world.tokens.get(token)
        if previous is not None and now - previous < self.world.dedupe_window:
            return False
        self.world.tokens[token] = now
        return True

    async def wait_for_bulk_loads(self, behaviour: StatementBehaviour, is_bulk_load: bool) -> None:
        """Wait while a bulk load has locked the table group; a bulk load then locks it itself."""
        while behaviour.table_group in self.bulk_loads:
            await self.bulk_loads[behaviour.table_group].wait()
        if is_bulk_load and behaviour.table_group is not None:
            self.bulk_loads[behaviour.table_group] = anyio.Event()

    def read_factor(self, behaviour: StatementBehaviour) -> float:
        """Put the table group in the cache and return the factor on the work of the query."""
        if behaviour.table_group is None:
            return 1.0
        is_warm = behaviour.table_group in self.warm_table_groups
        self.warm_table_groups[behaviour.table_group] = None
        self.warm_table_groups.move_to_end(behaviour.table_group)
        if len(self.warm_table_groups) > WARM_TABLE_GROUPS:
            self.warm_table_groups.popitem(last=False)
        return 1.0 if is_warm else COLD_READ_FACTOR

    def speed(self) -> float:
        """Return the factor on the engine's speed, which is lower after a cold start."""
        return 1.0 if self.world.clock() - self.started_at >= self.cold_seconds else 1 / 3
