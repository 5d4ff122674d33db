"""Several routers as processes of one fleet, faults between them, clients that count: one seed, one script.

    python -m hillchute.lab.processes --seed N --minutes M --json

Owns the routers' start, the script of faults and what came of it. The verdict rests on what clients and
engines saw, never on what routers say of themselves. Must never be imported by anything that serves.
"""

import argparse
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from contextlib import suppress
from itertools import pairwise
from pathlib import Path

import anyio
import anyio.abc
import orjson

from hillchute.history.records import RecordState
from hillchute.history.sqlite_store import SqliteStore
from hillchute.lab import deployment, rules
from hillchute.lab.between import Between
from hillchute.lab.clients import MySQL, Query
from hillchute.lab.fleet import Fleet, free_port
from hillchute.lab.partnership import (
    PARTNERS,
    Partnership,
    held,
    known,
    over_quota,
    partner_of,
    sockets,
    two_owners,
)
from hillchute.lab.world import Ran, World

ROUTERS, ENGINES, CORES = 4, 6, 8
MOST_SHARE = 9000  # the highest share that any partner offers to have, in parts of 10,000
EVERY = 0.08  # seconds between two queries of one router's clients, in the mean
FAULT_FOR = (0.5, 2.5)  # seconds that a fault stands
REST = 0.6  # seconds between two faults
LEAST = 60_000  # milliseconds that the history keeps a record at the least: longer than a script's faults
HONOURED = 8.0  # seconds after it was told in which a forget has reached all: a lease, two beats, a turn
AGAIN = 0.6  # part of the keyed queries that are sent again
AGAIN_AFTER = (0.3, 8.0)  # seconds after the first
ENDS = 8.0  # seconds after the last query in which all must be answered
KINDS = (
    "lost",
    "late",
    "again",
    "cut",
    "one way",
    "broken stream",
    "killed",
    "paused",
    "restarted",
    "drained",
)
REMEMBERED = ("policies", "forgotten in a cut", "old disk")  # kinds that need the history
AGREED = ("agreement",)  # and partners
SLACK = 2.0  # seconds: with more processes than cores the machine answers late, not the router
LOOKS = 3  # at who holds a connection: it may have ended meanwhile
SKEW = 0.5  # seconds by which a router's clock may be off, where there are partners


class Member:
    """One router of the fleet, in a process that may be ended and started again."""

    def __init__(
        self, name: str, number: int, folder: Path, bus: int, count: int, mutating: bool, skew: float
    ) -> None:
        self.name, self.number, self.folder, self.skew = name, number, folder, skew
        self.port, self.peer_port = free_port(), free_port()
        table = deployment.table(routers=count, mutating=mutating)
        table["settings"]["me"] = number
        table |= {"name": name, "listen": f"127.0.0.1:{self.port}", "bus": f"127.0.0.1:{bus}"}
        table["seed"] = f"{number + 1:016x}"
        (folder / f"{name}.json").write_bytes(orjson.dumps(table))
        self.log, self.disk = folder / f"{name}.log", folder / f"{name}.db"
        self.process: subprocess.Popen | None = None
        self.up = False  # whether clients may be sent there
        self.starts, self.back_at = 0, 0.0  # how often it started; since when it hears the others again

    def peers(self, others: dict[str, tuple[int, str]], history: str = "") -> None:
        """Writes the operator file; of each other its port on the relay and the pair's key."""
        self.others = others
        rows = ", ".join(
            f'{{name: "{name}", address: "127.0.0.1:{port}", key: "{key}"}}'
            for name, (port, key) in sorted(others.items())
        )
        own = f'name: "{self.name}", listen: "127.0.0.1:{self.peer_port}"'
        (self.folder / f"{self.name}.cue").write_text(f"peers: {{{own}, others: [{rows}]}}\n{history}\n")

    async def start(self) -> None:
        environ = os.environ | {
            "EDGE_CONFIG": str(self.folder / f"{self.name}.json"),
            "EDGE_NAME": self.name,
            "HILLCHUTE_OPERATOR": str(self.folder / f"{self.name}.cue"),
        }
        self.starts += 1
        before = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            arguments = [sys.executable, "-m", "hillchute.router"]
            if self.skew:
                arguments = [sys.executable, "-m", "hillchute.lab.skewed", str(self.skew)]
            self.process = subprocess.Popen(arguments, env=environ, stdout=log, stderr=log)
        with anyio.fail_after(20):
            while b'"phase":"serving"' not in self.log.read_bytes()[before:]:
                if self.process.poll() is not None:
                    raise RuntimeError(self.log.read_text()[-2000:])
                await anyio.sleep(0.05)
        self.up, self.back_at = True, time.time()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.up = False
        self.signal(signal.SIGKILL)
        await self.ended()

    async def stop(self) -> int | None:
        """SIGTERM; its exit code, which is 0 if it ended by itself in time."""
        self.up = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(12):
            return await self.ended()
        self.signal(signal.SIGKILL)
        await self.ended()
        return None

    async def ended(self) -> int:
        while self.process.poll() is None:
            await anyio.sleep(0.02)
        return self.process.returncode

    def told(self, event: str) -> list[dict]:
        """Its log's lines of one event, over all its lives."""
        lines = (orjson.loads(line) for line in self.log.read_bytes().splitlines() if line.startswith(b"{"))
        return [line for line in lines if line["event"] == event]


class Together:
    """A fleet that runs: engines and bus here, routers as processes, the relay between them."""

    def __init__(
        self,
        seed: int,
        routers: int = ROUTERS,
        engines: int = ENGINES,
        history: bool = False,
        partners: bool = False,
    ) -> None:
        self.seed, self.count, self.engines, self.history = seed, routers, engines, history or partners
        self.partners, self.partnership = partners, None
        self.whose: dict[int, str] = {}  # partners of those that opened connections to engines
        self.resends: list[tuple[Query, Query]] = []  # with what each is a resend of
        self.number, self.founded = 1, 0
        self.forgets: list[tuple[float, float]] = []  # what was taken before; when a router was told
        self.chance = random.Random(seed)
        self.world, self.between = World(seed=seed), Between(seed)
        self.members: list[Member] = []
        self.queries: list[Query] = []
        self.excused: set[str] = set()  # whose router was killed or stood still under them
        self.kinds: Counter[str] = Counter()
        self.open: dict[str, set[str]] = {}  # queries out, by router
        self.exits: list[int | None] = []
        self.draining: list[int] = []
        self.fleet: Fleet

    async def up(self, folder: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.fleet = Fleet(self.world, "line", tasks)
        await self.fleet.start(self.engines)
        names = [f"r{n}" for n in range(self.count)]
        bus = self.fleet.bus.port
        skews = [self.chance.uniform(-SKEW, SKEW) if self.partners else 0.0 for _ in names]
        self.members = [
            Member(name, n, folder, bus, self.count, self.partners, skews[n]) for n, name in enumerate(names)
        ]
        if self.partners:
            self.partnership = Partnership(folder, names, self.world.clock())
            tasks.start_soon(self.look_at_connections)
        ports = {member.name: member.peer_port for member in self.members}
        for member in self.members:
            others = {}
            for other in names:
                if other != member.name:
                    port = self.between.open(member.name, other, ("127.0.0.1", ports[other]))
                    others[other] = port, "-".join(sorted((member.name, other))) + "-0123456789abcdef"
            member.peers(others, self.policies(member) if self.history else "")
            self.open[member.name] = set()
        tasks.start_soon(self.between.serve)
        async with anyio.create_task_group() as starts:
            for member in self.members:
                starts.start_soon(member.start)

    async def down(self) -> None:
        async with anyio.create_task_group() as stops:  # at once: none waits for another to fetch what it has
            for member in self.members:
                if member.process is not None and member.process.poll() is None:
                    stops.start_soon(self.end, member)
        await self.fleet.close()

    def policies(self, member: Member) -> str:
        """The operator file's history as it stands now."""
        self.founded = self.founded or int(self.world.clock() * 1000)
        keeps = f"least_ms: {LEAST}, most_ms: {10 * LEAST}, rows: true, disk: true"
        forgets = ", ".join(f"{{before_ms: {int(before * 1000)}}}" for before, _ in self.forgets)
        about = f"number: {self.number}, copies: 1, founded_ms: {self.founded}"
        about += f', disk: "{member.disk}", forget: [{forgets}]'
        partners = f"\n{self.partnership.settings(member.number)}" if self.partnership else ""
        return f"history: {{{about}, default: {{{keeps}}}}}{partners}"

    def tell(self, member: Member) -> None:
        """Policies with the next number are told to one router; the others hear of them from it."""
        self.number += 1
        member.peers(member.others, self.policies(member))
        member.signal(signal.SIGHUP)

    async def settled(self) -> None:
        """Until every router has the history in force, so that the script strikes at a fleet that works."""
        with anyio.fail_after(60):
            for member in self.members:
                while not any(line["in_force"] and not line["fetching"] for line in member.told("history")):
                    await anyio.sleep(0.2)
                while self.partners and not any(line["in_force"] for line in member.told("partners_count")):
                    await anyio.sleep(0.2)

    async def look_at_connections(self) -> None:
        """Who holds the other end of each connection to an engine, while both are there."""
        looked: Counter[int] = Counter()
        while True:
            new = {number: port for number, port in self.world.talks.items() if number not in self.whose}
            new = {number: port for number, port in new.items() if looked[number] < LOOKS}
            looked.update(new.keys())
            known = sockets(set(new.values())) if new else {}
            for member in self.members if known else ():
                if member.process is not None and member.process.poll() is None:
                    ports = held(member.process.pid, known)
                    mine = [number for number, port in new.items() if port in ports]
                    self.whose |= dict.fromkeys(mine, partner_of(member.number))
            await anyio.sleep(0.05)

    def agreement(self) -> Member:
        """A partner's operator makes another offer, at the router that marks for it."""
        partner = self.chance.choice(PARTNERS)
        self.partnership.offer(partner, self.chance.randint(1000, 6000))
        member = self.members[PARTNERS.index(partner)]
        member.peers(member.others, self.policies(member))
        member.signal(signal.SIGHUP)
        return member

    async def end(self, member: Member) -> None:
        self.exits.append(await member.stop())

    # ---- clients ----------------------------------------------------------------------------------

    async def clients(self, member: Member, until: float, tasks: anyio.abc.TaskGroup) -> None:
        key = 0
        while self.world.clock() < until:
            await anyio.sleep(self.chance.expovariate(1 / EVERY))
            if not member.up:
                continue
            key += 1
            kinds = ("lookup", "report", "event-load", "change")
            group = self.chance.choices(kinds, (6, 2, 1, int(self.partners)))[0]
            tables, work = self.chance.randrange(8), self.chance.choice((2, 5, 20, 60))
            statement = f"SELECT /* lab ms={work} rows=3 */ a FROM sales_{tables}.orders"
            q = Query(group, statement, weight=float(work))
            if group == "event-load":
                q.token = f"{self.seed % 65536:04x}{self.members.index(member):04x}{key:08x}"
                # Keys of partners are asked for at routers of all of them.
                where = self.chance.randrange(4) if self.partners else self.members.index(member)
                q.key = f"{where:04x}{key % 3:04x}"
            self.start_query(member, q, tasks)
            if self.history and q.token and self.chance.random() < AGAIN:
                tasks.start_soon(self.resend, q, until)

    def start_query(self, member: Member, q: Query, tasks: anyio.abc.TaskGroup) -> None:
        """Sends a query in a task of its own. It is open from now on: a fault may strike its router before
        the task has run, and then it is excused."""
        q.router = member.name
        self.queries.append(q)
        self.open[member.name].add(q.id)
        tasks.start_soon(self.one, member, q)

    async def resend(self, first: Query, until: float) -> None:
        """A client that did not hear its answer, or did not keep it, asks again, wherever it gets to."""
        await anyio.sleep(self.chance.uniform(*AGAIN_AFTER))
        up = [member for member in self.members if member.up]
        if not up or self.world.clock() > until:
            return
        member = self.chance.choice(up)
        q = Query(first.group, first.statement, weight=first.weight, token=first.token, key=first.key)
        q.router = member.name
        self.queries.append(q)
        self.resends.append((q, first))
        await self.one(member, q)

    async def one(self, member: Member, q: Query) -> None:
        client, open = MySQL(self.world, member.port), self.open[member.name]
        open.add(q.id)
        try:
            await client.ask(q)
        finally:
            open.discard(q.id)
            await client.close()

    # ---- faults -----------------------------------------------------------------------------------

    async def faults(self, until: float) -> None:
        """One after another, each kind in turn before any comes again."""
        line: list[str] = []
        while self.world.clock() < until:
            kinds = KINDS + REMEMBERED * self.history + AGREED * self.partners
            line = line or self.chance.sample(kinds, len(kinds))
            kind = line.pop()
            span = min(self.chance.uniform(*FAULT_FOR), max(0.1, until - self.world.clock()))
            self.kinds[kind] += 1
            await self.strike(kind, span)
            self.between.mend()
            await anyio.sleep(REST)

    async def strike(self, kind: str, span: float) -> None:
        member = self.chance.choice(self.members)
        names = [member.name for member in self.members]
        some = self.chance.sample(names, self.chance.randint(1, len(names) // 2))
        others = [name for name in names if name not in some]
        ways = [way for (sender, receiver), way in self.between.ways.items() if sender in some]
        match kind:
            case "lost" | "again":
                for way in ways:
                    setattr(way, kind, 0.5)
            case "late":
                for way in ways:
                    way.late = (0.0, 0.4)
            case "cut" | "one way":
                self.between.cut(some, others, one_way=kind == "one way")
            case "broken stream":
                for way in self.between.ways.values():
                    way.breaks = self.chance.randrange(1, 400)
                await self.restart(member)
            case "killed":
                self.excuse(member)
                await member.kill()
                await anyio.sleep(span)
                await member.start()
                return
            case "paused":
                self.excuse(member)
                member.up = False
                member.signal(signal.SIGSTOP)
                await anyio.sleep(span)
                self.excuse(member)
                member.signal(signal.SIGCONT)
                member.up, member.back_at = True, self.world.clock()
                return
            case "restarted":
                await self.restart(member)
            case "drained":
                await self.drain()
            case "policies":
                self.tell(member)
            case "agreement":
                self.agreement()
            case "forgotten in a cut":
                self.between.cut(some, others)
                await anyio.sleep(span)
                told = next(m for m in self.members if m.name == others[0])
                self.forgets.append((self.world.clock(), self.world.clock() + span))
                self.tell(told)
            case "old disk":
                await self.old_disk(member, span)
                return
        await anyio.sleep(span)

    async def restart(self, member: Member) -> None:
        self.exits.append(await member.stop())
        await member.start()

    async def old_disk(self, member: Member, span: float) -> None:
        """A copy is put back that was made a while before, as from a backup."""
        files = [member.disk.with_name(member.disk.name + end) for end in ("", "-wal")]
        copy = {file: file.read_bytes() for file in files if file.exists()}
        await anyio.sleep(span)
        self.excuse(member)
        await member.kill()
        for file in (*files, member.disk.with_name(member.disk.name + "-shm")):
            file.unlink(missing_ok=True)
        for file, data in copy.items():
            file.write_bytes(data)
        await member.start()

    async def drain(self) -> None:
        """An engine is told to drain, and a new one starts."""
        left = [n for n in self.fleet.servers if n not in self.draining]
        number = self.chance.choice(left)
        self.draining.append(number)
        self.fleet.drain(number)
        await self.fleet.add()

    def excuse(self, member: Member) -> None:
        """What is out there can't be answered, or not in time."""
        self.excused |= self.open[member.name]

    # ---- what came of it --------------------------------------------------------------------------

    def figures(self) -> dict[str, object]:
        counted = [q for q in self.queries if q.id not in self.excused]
        ends = Counter(q.how for q in counted)
        broken = rules.broken(self.world, counted, slack=SLACK)
        # What the history is asked about waits where it can't be known; that is counted apart.
        keyed = [q for q in counted if self.history and q.token]
        plain = [q for q in counted if not (self.history and q.token)]
        served, known = (
            sum(q.how == "finished" for q in some) / max(1, len(some)) for some in (plain, keyed)
        )
        ids = {run.id for run in self.world.ran}
        replayed = [q for q, _ in self.resends if q.how == "finished" and q.id not in ids]
        faults = [line for member in self.members for line in member.told("fault")]
        return {
            "processes": sum(member.starts for member in self.members),
            "faults": sum(self.kinds.values()),
            "kinds": dict(self.kinds),
            "queries": len(self.queries),
            "finished": ends["finished"],
            "deferred": ends["deferred"],
            "killed": ends["killed"],
            "excused": len(self.queries) - len(counted),
            "broken_rules": len(broken),
            "first_broken": broken[:3],
            "resent": len(self.resends),
            "replayed": len(replayed),
            "ran_twice": len(self.ran_twice()),
            "out_of_order": sum(fault.startswith("rule 5") for fault in broken),
            "forgotten_too_soon": len(self.forgotten_too_soon()),
            "passed_on": self.passed_on(),
            "led_known": round(self.led_known(), 3),
            "two_owners": len(two := self.two_owners()),
            "first_two": two[:1],
            "over_quota": len(over := self.over_quota()),
            "first_over": over[:1],
            "kept_too_long": len(kept := self.kept_too_long(replayed)),
            "first_kept": kept[:1],
            "bad_exits": sum(code != 0 for code in self.exits),
            "router_faults": len(faults),
            "first_fault": faults[:1],
            "served_share": round(served, 3),
            "keyed_served_share": round(known, 3),
            "relay": dict(self.between.counts),
        }

    def two_owners(self) -> list[str]:
        return two_owners(self.world, self.whose, known(self.queries)) if self.partners else []

    def led(self) -> list[Ran]:
        return [run for run in self.world.ran if run.group in ("event-load", "change")]

    def led_known(self) -> float:
        """The part of keyed and mutating runs of which it is known whose they were."""
        led = self.led()
        return sum(run.talk in self.whose for run in led) / max(1, len(led)) if self.partners else 0.0

    def passed_on(self) -> int:
        """Queries that ran for another partner than the one whose router the client asked."""
        asked = {q.id: partner_of(int(q.router[1:])) for q in self.queries}
        known = (run for run in self.led() if run.talk in self.whose and run.id in asked)
        return sum(self.whose[run.talk] != asked[run.id] for run in known)

    def over_quota(self) -> list[str]:
        if not self.partners:
            return []
        return over_quota(self.world, self.whose, CORES, self.count, MOST_SHARE)

    def ran_twice(self) -> list[str]:
        """Tokens that ran for two queries within their keep time, with no wish to forget between."""
        runs = defaultdict(list)
        for run in sorted(self.world.ran, key=lambda run: run.began):
            if run.token:
                runs[run.token].append(run)
        sent = {q.id: q.sent for q in self.queries}
        changes = Counter(run.id for run in self.world.ran if run.group == "change")
        return [
            token
            for token, line in runs.items()
            for first, again in pairwise(line)
            if first.id != again.id
            and again.began - first.began < LEAST / 1000
            and not any(sent[first.id] < before + SKEW for before, _ in self.forgets)
        ] + [id for id, many in changes.items() if many > 1]

    def forgotten_too_soon(self) -> list[str]:
        """Of those, the tokens whose client had its answer: the history had it, and has lost it."""
        finished = {q.token for q in self.queries if q.how == "finished"}
        return [token for token in self.ran_twice() if token in finished]

    @staticmethod
    def may_stay(member: Member, before: float) -> set[str]:
        """Tokens that a holder's disk has as runs whose end nobody told, as of a router that was killed under
        them: those stay until they can't be out any more. And those that were asked for again since."""
        if not member.disk.exists():
            return set()
        records = [record for record, _ in SqliteStore(member.disk).read()]
        return {
            r.idempotency_key
            for r in records
            if r.state == RecordState.RUNNING or r.granted_at / 10_000 >= before - SKEW
        }

    def kept_too_long(self, replayed: list[Query]) -> list[str]:
        """Tokens whose last run was to be forgotten, and that were answered, or are on a disk, long after."""
        kept, ended = [], defaultdict(float)
        for run in self.world.ran:
            if run.token:
                ended[run.token] = max(ended[run.token], run.ended or self.world.clock())
        for before, told in self.forgets:
            gone = {token for token, end in ended.items() if end < before - SKEW}
            late = [q for q in replayed if q.token in gone and q.sent > told + HONOURED]
            kept += [f"{q.token} answered by {q.router}, {q.sent - told:.1f} s after" for q in late]
            if self.world.clock() > told + 2 * HONOURED:
                for member in self.members:
                    if self.world.clock() < member.back_at + HONOURED:
                        continue  # it has not heard of it, and answers nothing before it has
                    files = member.folder.glob(f"{member.name}.db*")
                    data = b"".join(file.read_bytes() for file in files)
                    out = self.may_stay(member, before)
                    found = [t for t in sorted(gone - out) if t.encode() in data]
                    where = (
                        f"on the disk of {member.name}, back for {self.world.clock() - member.back_at:.1f} s"
                    )
                    kept += [f"{token} {where}" for token in found]
        return kept


async def run(
    seed: int,
    seconds: float,
    routers: int = ROUTERS,
    engines: int = ENGINES,
    history: bool = False,
    partners: bool = False,
) -> dict[str, object]:
    """One script; its figures."""
    rig = Together(seed, routers, engines, history, partners)
    with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
        async with anyio.create_task_group() as tasks:
            try:
                await rig.up(Path(folder), tasks)
                if rig.history:
                    await rig.settled()
                until = rig.world.clock() + seconds
                with suppress(TimeoutError), anyio.fail_after(seconds + ENDS + 30):
                    async with anyio.create_task_group() as work:
                        work.start_soon(rig.faults, until)
                        for member in rig.members:
                            work.start_soon(rig.clients, member, until, work)
            finally:
                with anyio.CancelScope(shield=True):
                    await rig.down()
                tasks.cancel_scope.cancel()
        return rig.figures()


def verdict(found: dict[str, object]) -> bool:
    counts = ("broken_rules", "two_owners", "ran_twice", "kept_too_long", "over_quota")
    counts += ("bad_exits", "router_faults")
    clean = not any(found[kind] for kind in counts)
    return clean and found["served_share"] >= 0.9


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m hillchute.lab.processes", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="what the script is drawn from")
    parser.add_argument("--minutes", type=float, default=0.5, help="how long faults strike")
    parser.add_argument("--routers", type=int, default=ROUTERS, help="how many routers")
    parser.add_argument("--history", action="store_true", help="keyed queries and resends over the history")
    parser.add_argument("--partners", action="store_true", help="routers of three partners, with the history")
    parser.add_argument("--json", action="store_true", help="print JSON for a machine to read")
    asked = parser.parse_args()
    about = asked.routers, ENGINES, asked.history, asked.partners
    found = anyio.run(run, asked.seed, asked.minutes * 60, *about)
    if asked.json:
        sys.stdout.buffer.write(orjson.dumps(found, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    else:
        for name, figure in found.items():
            print(f"{name}: {figure}")
    return int(not verdict(found))


if __name__ == "__main__":
    sys.exit(main())
