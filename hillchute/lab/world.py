"""What stand-in engines are made of, whichever protocol they speak: one small model of work, and its record.

Owns cores that are shared, table groups that are warm, loads that hold theirs, tokens whose repeats are
dropped, refusals, cold starts and faults by script. Must never speak a protocol. A statement says itself what
is to become of it, in a comment that routers pass on unchanged:

    SELECT /* lab ms=5 rows=40 batches=4 full=1 */ day FROM sales_17.orders

`ms` work on one core, `rows` and `batches` of its result, `full` so many first submissions that are refused
as full (-1: all), `error` so many that fail, `hang` any that never end, `cut` batches after which the
connection breaks, `spoilt` a result that can't be read, `pause` milliseconds between two batches, `wide`
bytes a value.
"""

import random
import re
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

import anyio

LAB = re.compile(rb"/\*\s*lab\s+(.*?)\*/", re.DOTALL)
GROUP = re.compile(rb"_([0-9]+)\s*\.")
WARM = 4  # table groups that an engine keeps warm
COLD_READ = 1.4  # times the work where the group is not warm
FIGURES = ("ms", "rows", "batches", "full", "error", "hang", "cut", "spoilt", "pause", "wide")


class Full(Exception):
    """The engine refuses; nothing ran."""


class Failed(Exception):
    """The run failed; it may have had its effect."""


class Cut(Exception):
    """The connection breaks here, by script."""


@dataclass
class Plan:
    """What a statement is to become."""

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
    tables: int | None = None

    @classmethod
    def of(cls, statement: bytes) -> "Plan":
        plan = cls()
        found = LAB.search(statement)
        for pair in found[1].split() if found else ():
            name, _, value = pair.partition(b"=")
            if name.decode() in FIGURES:
                kind = type(getattr(plan, name.decode()))
                setattr(plan, name.decode(), kind(float(value)))
        group = GROUP.search(LAB.sub(b"", statement))
        plan.tables = int(group[1]) if group else None
        return plan

    def batch(self, number: int) -> list[tuple[str, str, str]]:
        """The rows of one batch, from 0."""
        first, last = (self.rows * n // max(1, self.batches) for n in (number, number + 1))
        return [(f"{n}", f"{n * 7919 % 1000}", "x" * self.wide) for n in range(first, last)]


@dataclass
class Ran:
    """One submission as an engine saw it; times in seconds on the Unix clock."""

    id: str
    group: str
    token: str | None
    engine: str
    began: float
    ended: float | None = None
    result: str = "open"
    effect: bool = False  # it changed something, or would have
    talk: int = 0  # the connection that it came by


@dataclass
class World:
    """What all stand-in engines of one run share: the record, and what their scripts have used up."""

    seed: int = 1
    window: float = 25.0  # seconds for which a token's repeats are dropped
    ran: list[Ran] = field(default_factory=list)
    tokens: dict[str, float] = field(default_factory=dict)
    used: Counter = field(default_factory=Counter)
    drained: dict[str, float] = field(default_factory=dict)  # engine: when it was told
    talks: dict[int, int] = field(default_factory=dict)  # connections that are open: the other end's port
    talked: int = 0  # how many there ever were

    def clock(self) -> float:
        return time.time()

    def next_of(self, kind: str, id: str, most: int) -> bool:
        """Whether this submission of a query is one that the script spoils."""
        if most < 0:
            return True
        self.used[kind, id] += 1
        return self.used[kind, id] <= most


class Engine:
    """One engine's work, for whichever server speaks for it."""

    def __init__(self, world: World, name: str, cores: int = 8, most: int = 64, cold: float = 0.0) -> None:
        """`most`: submissions held; `cold`: seconds from its start with a third of its speed."""
        self.world, self.name, self.cores, self.most = world, name, cores, most
        self.started, self.cold = world.clock(), cold
        self.held: dict[str, Ran] = {}
        self.threads = 0
        self.warm: OrderedDict[int, None] = OrderedDict()
        self.holding: dict[int, anyio.Event] = {}  # table groups that a load holds
        self.chance = random.Random(f"{world.seed}:{name}")
        self.dead = False

    def report(self) -> dict[str, float]:
        return {"util": min(1.0, self.threads / self.cores), "inflight": float(len(self.held))}

    def admit(self, id: str, plan: Plan) -> None:
        """Raises Full where the script or the engine's size says so; nothing has run then."""
        if self.world.next_of("full", id, plan.full) or len(self.held) >= self.most:
            raise Full

    async def run(self, id: str, group: str, token: str | None, plan: Plan, talk: int = 0) -> float:
        """Runs a submission to its end; the work in milliseconds. Raises Failed."""
        ran = Ran(id, group, token, self.name, self.world.clock(), talk=talk)
        self.world.ran.append(ran)
        self.held[id] = ran
        is_load = token is not None
        try:
            await self.wait_for_loads(plan, is_load)
            if plan.hang:
                await anyio.sleep_forever()
            work = plan.ms * self.reading(plan)
            self.threads += 1
            try:
                await anyio.sleep(work * max(1.0, self.threads / self.cores) / self.speed() / 1000)
            finally:
                self.threads -= 1
            if self.world.next_of("error", id, plan.error):
                raise Failed
            ran.effect = token is not None and self.fresh(token)
            ran.result = "finished"
            return work
        except Failed:
            ran.result = "failed"
            raise
        except anyio.get_cancelled_exc_class():
            ran.result = "given up"
            raise
        finally:
            ran.ended = self.world.clock()
            self.held.pop(id, None)
            if is_load and plan.tables in self.holding:
                self.holding.pop(plan.tables).set()

    def fresh(self, token: str) -> bool:
        """Whether this token's effect is not there yet: repeats within the window are dropped."""
        now, before = self.world.clock(), self.world.tokens.get(token)
        if before is not None and now - before < self.world.window:
            return False
        self.world.tokens[token] = now
        return True

    async def wait_for_loads(self, plan: Plan, is_load: bool) -> None:
        """A query stands still while a load holds its table group; loads of one group come in turn."""
        while plan.tables in self.holding:
            await self.holding[plan.tables].wait()
        if is_load and plan.tables is not None:
            self.holding[plan.tables] = anyio.Event()

    def reading(self, plan: Plan) -> float:
        if plan.tables is None:
            return 1.0
        known = plan.tables in self.warm
        self.warm[plan.tables] = None
        self.warm.move_to_end(plan.tables)
        if len(self.warm) > WARM:
            self.warm.popitem(last=False)
        return 1.0 if known else COLD_READ

    def speed(self) -> float:
        return 1.0 if self.world.clock() - self.started >= self.cold else 1 / 3
