"""Runs several routers of one fleet as processes under clients and injected faults; reports broken rules.

    python -m hillchute.lab.processes --seed N --minutes M --json

The faults and the clients' queries are drawn from the seed. The verdict rests on what clients and engines
observed, never on what routers report about themselves. Not to be imported by serving code.
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
from hillchute.lab.between import FaultyRelay
from hillchute.lab.clients import MySQLClient, Query
from hillchute.lab.fleet import Fleet, free_port
from hillchute.lab.partnership import (
    PARTNERS,
    PartnerSettings,
    held_ports,
    over_quota,
    partner_of,
    query_info_by_id,
    socket_inodes,
    two_owners,
)
from hillchute.lab.world import EngineWorld, RunRecord

ROUTERS, ENGINES, CORES = 4, 6, 8
MAX_OFFERED_SHARE = 9000  # highest share that any partner offers to take, in parts of 10,000
MEAN_QUERY_INTERVAL = 0.08  # mean seconds between two queries to one router
FAULT_DURATION = (0.5, 2.5)  # range of a fault's duration, in seconds
FAULT_PAUSE = 0.6  # seconds without a fault between two faults
MIN_RETENTION_MS = 60_000  # of a history record; longer than the faults of a run last
# Seconds until an erasure request has reached all routers: a lease, two heartbeats, one transfer.
ERASURE_PROPAGATION_TIME = 8.0
RESEND_FRACTION = 0.6  # fraction of the queries with an idempotency key that are sent again
RESEND_DELAY = (0.3, 8.0)  # range of the delay of a resend after the first query, in seconds
ANSWER_GRACE = 8.0  # seconds after the last query within which all queries must be answered
FAULT_KINDS = (
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
HISTORY_FAULT_KINDS = ("policies", "forgotten in a cut", "old disk")  # need the answer history
PARTNER_FAULT_KINDS = ("agreement",)  # needs partners
TIMING_SLACK = 2.0  # seconds; with more processes than cores, answers are late because of the machine
MAX_LOOKUPS = 3  # attempts to find the process of a connection, which may have been closed already
MAX_CLOCK_SKEW = 0.5  # seconds by which a router's clock may be off in runs with partners


class RouterProcess:
    """One router of the fleet, in a process that can be stopped and restarted."""

    def __init__(
        self, name: str, number: int, folder: Path, bus: int, router_count: int, mutating: bool, skew: float
    ) -> None:
        self.name, self.number, self.folder, self.skew = name, number, folder, skew
        self.port, self.peer_port = free_port(), free_port()
        configuration = deployment.make_configuration(routers=router_count, mutating=mutating)
        configuration["settings"]["me"] = number
        configuration |= {"name": name, "listen": f"127.0.0.1:{self.port}", "bus": f"127.0.0.1:{bus}"}
        configuration["seed"] = f"{number + 1:016x}"
        (folder / f"{name}.json").write_bytes(orjson.dumps(configuration))
        self.log, self.history_file = folder / f"{name}.log", folder / f"{name}.db"
        self.process: subprocess.Popen | None = None
        self.accepting = False  # whether clients send queries to it
        self.starts, self.resumed_at = 0, 0.0  # number of starts; time of the last start or resume

    def write_operator_file(self, others: dict[str, tuple[int, str]], history: str = "") -> None:
        """Writes the operator file; `others` has the relay port and the shared key of each other router."""
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
        self.accepting, self.resumed_at = True, time.time()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.accepting = False
        self.signal(signal.SIGKILL)
        await self.wait_for_exit()

    async def stop(self) -> int | None:
        """Sends SIGTERM. Returns the exit code, or None if the process had to be killed after 12 s."""
        self.accepting = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(12):
            return await self.wait_for_exit()
        self.signal(signal.SIGKILL)
        await self.wait_for_exit()
        return None

    async def wait_for_exit(self) -> int:
        while self.process.poll() is None:
            await anyio.sleep(0.02)
        return self.process.returncode

    def log_events(self, event: str) -> list[dict]:
        """Returns the log lines of one event, over all starts of the router."""
        lines = (orjson.loads(line) for line in self.log.read_bytes().splitlines() if line.startswith(b"{"))
        return [line for line in lines if line["event"] == event]


class RouterCluster:
    """A running fleet: engines and event bus in this process, routers as processes, a relay between them."""

    def __init__(
        self,
        seed: int,
        routers: int = ROUTERS,
        engines: int = ENGINES,
        history: bool = False,
        partners: bool = False,
    ) -> None:
        self.seed, self.router_count, self.engines, self.history = seed, routers, engines, history or partners
        self.partners, self.partner_settings = partners, None
        self.partner_by_connection: dict[int, str] = {}  # of the router that opened it to an engine
        self.resends: list[tuple[Query, Query]] = []  # (resend, original query)
        self.number, self.founded_ms = 1, 0
        # Erasure requests: (time before which accepted queries are erased, time at which the cut ends and the
        # request can reach all routers).
        self.erasures: list[tuple[float, float]] = []
        self.random = random.Random(seed)
        self.world, self.relay = EngineWorld(seed=seed), FaultyRelay(seed)
        self.members: list[RouterProcess] = []
        self.queries: list[Query] = []
        self.excused: set[str] = set()  # queries whose router was killed or paused while they were open
        self.fault_counts: Counter[str] = Counter()
        self.open_queries: dict[str, set[str]] = {}  # ids of open queries, by router
        self.exit_codes: list[int | None] = []
        self.draining: list[int] = []
        self.fleet: Fleet

    async def start(self, folder: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.fleet = Fleet(self.world, "line", tasks)
        await self.fleet.start(self.engines)
        names = [f"r{n}" for n in range(self.router_count)]
        bus = self.fleet.bus.port
        skews = [
            self.random.uniform(-MAX_CLOCK_SKEW, MAX_CLOCK_SKEW) if self.partners else 0.0 for _ in names
        ]
        self.members = [
            RouterProcess(name, n, folder, bus, self.router_count, self.partners, skews[n])
            for n, name in enumerate(names)
        ]
        if self.partners:
            self.partner_settings = PartnerSettings(folder, names, self.world.clock())
            tasks.start_soon(self.attribute_connections)
        ports = {member.name: member.peer_port for member in self.members}
        for member in self.members:
            others = {}
            for other in names:
                if other != member.name:
                    port = self.relay.open_channel(member.name, other, ("127.0.0.1", ports[other]))
                    others[other] = port, "-".join(sorted((member.name, other))) + "-0123456789abcdef"
            member.write_operator_file(others, self.policies(member) if self.history else "")
            self.open_queries[member.name] = set()
        tasks.start_soon(self.relay.serve)
        async with anyio.create_task_group() as starts:
            for member in self.members:
                starts.start_soon(member.start)

    async def stop(self) -> None:
        # Concurrently, so that no router waits for another to fetch its records.
        async with anyio.create_task_group() as stops:
            for member in self.members:
                if member.process is not None and member.process.poll() is None:
                    stops.start_soon(self.stop_router, member)
        await self.fleet.close()

    def policies(self, member: RouterProcess) -> str:
        """Returns the current `history` section of the operator file, with `partners` if there are any."""
        self.founded_ms = self.founded_ms or int(self.world.clock() * 1000)
        retention = f"least_ms: {MIN_RETENTION_MS}, most_ms: {10 * MIN_RETENTION_MS}, rows: true, disk: true"
        erasures = ", ".join(f"{{before_ms: {int(before * 1000)}}}" for before, _ in self.erasures)
        fields = f"number: {self.number}, copies: 1, founded_ms: {self.founded_ms}"
        fields += f', disk: "{member.history_file}", forget: [{erasures}]'
        partners = f"\n{self.partner_settings.settings(member.number)}" if self.partner_settings else ""
        return f"history: {{{fields}, default: {{{retention}}}}}{partners}"

    def publish_policies(self, member: RouterProcess) -> None:
        """Gives policies with the next number to one router, from which the others learn of them."""
        self.number += 1
        member.write_operator_file(member.others, self.policies(member))
        member.signal(signal.SIGHUP)

    async def wait_until_in_force(self) -> None:
        """Waits until the history is in force at every router, so that faults start in a working fleet."""
        with anyio.fail_after(60):
            for member in self.members:
                while not any(
                    line["in_force"] and not line["fetching"] for line in member.log_events("history")
                ):
                    await anyio.sleep(0.2)
                while self.partners and not any(
                    line["in_force"] for line in member.log_events("partners_count")
                ):
                    await anyio.sleep(0.2)

    async def attribute_connections(self) -> None:
        """Records, for each open connection to an engine, which partner's router opened it."""
        lookups: Counter[int] = Counter()
        while True:
            new = {
                number: port
                for number, port in self.world.open_connections.items()
                if number not in self.partner_by_connection
            }
            new = {number: port for number, port in new.items() if lookups[number] < MAX_LOOKUPS}
            lookups.update(new.keys())
            known = socket_inodes(set(new.values())) if new else {}
            for member in self.members if known else ():
                if member.process is not None and member.process.poll() is None:
                    ports = held_ports(member.process.pid, known)
                    mine = [number for number, port in new.items() if port in ports]
                    self.partner_by_connection |= dict.fromkeys(mine, partner_of(member.number))
            await anyio.sleep(0.05)

    def make_offer(self) -> RouterProcess:
        """Makes another offer of a random partner, at the router that signs for it."""
        partner = self.random.choice(PARTNERS)
        self.partner_settings.offer(partner, self.random.randint(1000, 6000))
        member = self.members[PARTNERS.index(partner)]
        member.write_operator_file(member.others, self.policies(member))
        member.signal(signal.SIGHUP)
        return member

    async def stop_router(self, member: RouterProcess) -> None:
        self.exit_codes.append(await member.stop())

    # ---- clients ----------------------------------------------------------------------------------

    async def clients(self, member: RouterProcess, until: float, tasks: anyio.abc.TaskGroup) -> None:
        key = 0
        while self.world.clock() < until:
            await anyio.sleep(self.random.expovariate(1 / MEAN_QUERY_INTERVAL))
            if not member.accepting:
                continue
            key += 1
            kinds = ("lookup", "report", "event-load", "change")
            group = self.random.choices(kinds, (6, 2, 1, int(self.partners)))[0]
            tables, work = self.random.randrange(8), self.random.choice((2, 5, 20, 60))
            statement = f"SELECT /* lab ms={work} rows=3 */ a FROM sales_{tables}.orders"
            query = Query(group, statement, weight=float(work))
            if group == "event-load":
                query.idempotency_key = f"{self.seed % 65536:04x}{self.members.index(member):04x}{key:08x}"
                # With partners, the same ordering key is used at routers of all partners.
                key_prefix = self.random.randrange(4) if self.partners else self.members.index(member)
                query.ordering_key = f"{key_prefix:04x}{key % 3:04x}"
            self.start_query(member, query, tasks)
            if self.history and query.idempotency_key and self.random.random() < RESEND_FRACTION:
                tasks.start_soon(self.resend, query, until)

    def start_query(self, member: RouterProcess, query: Query, tasks: anyio.abc.TaskGroup) -> None:
        """Sends a query in a task of its own.

        The query counts as open at once, so that it is excused if its router fails before the task has run.
        """
        query.router = member.name
        self.queries.append(query)
        self.open_queries[member.name].add(query.id)
        tasks.start_soon(self.run_query, member, query)

    async def resend(self, original: Query, until: float) -> None:
        """Sends a query again, to any router, as a client does that did not get or keep the answer."""
        await anyio.sleep(self.random.uniform(*RESEND_DELAY))
        available = [member for member in self.members if member.accepting]
        if not available or self.world.clock() > until:
            return
        member = self.random.choice(available)
        query = Query(
            original.group,
            original.statement,
            weight=original.weight,
            idempotency_key=original.idempotency_key,
            ordering_key=original.ordering_key,
        )
        query.router = member.name
        self.queries.append(query)
        self.resends.append((query, original))
        await self.run_query(member, query)

    async def run_query(self, member: RouterProcess, query: Query) -> None:
        client, open_ids = MySQLClient(self.world, member.port), self.open_queries[member.name]
        open_ids.add(query.id)
        try:
            await client.run(query)
        finally:
            open_ids.discard(query.id)
            await client.close()

    # ---- faults -----------------------------------------------------------------------------------

    async def faults(self, until: float) -> None:
        """Injects faults one after another; every kind comes once before any is repeated."""
        pending_kinds: list[str] = []
        while self.world.clock() < until:
            kinds = FAULT_KINDS + HISTORY_FAULT_KINDS * self.history + PARTNER_FAULT_KINDS * self.partners
            pending_kinds = pending_kinds or self.random.sample(kinds, len(kinds))
            kind = pending_kinds.pop()
            duration = min(self.random.uniform(*FAULT_DURATION), max(0.1, until - self.world.clock()))
            self.fault_counts[kind] += 1
            await self.inject_fault(kind, duration)
            self.relay.heal()
            await anyio.sleep(FAULT_PAUSE)

    async def inject_fault(self, kind: str, duration: float) -> None:
        member = self.random.choice(self.members)
        names = [member.name for member in self.members]
        some = self.random.sample(names, self.random.randint(1, len(names) // 2))
        others = [name for name in names if name not in some]
        channels = [channel for (sender, receiver), channel in self.relay.channels.items() if sender in some]
        match kind:
            case "lost" | "again":
                for channel in channels:
                    setattr(channel, kind, 0.5)
            case "late":
                for channel in channels:
                    channel.delay = (0.0, 0.4)
            case "cut" | "one way":
                self.relay.cut(some, others, one_way=kind == "one way")
            case "broken stream":
                for channel in self.relay.channels.values():
                    channel.break_after_bytes = self.random.randrange(1, 400)
                await self.restart(member)
            case "killed":
                self.excuse(member)
                await member.kill()
                await anyio.sleep(duration)
                await member.start()
                return
            case "paused":
                self.excuse(member)
                member.accepting = False
                member.signal(signal.SIGSTOP)
                await anyio.sleep(duration)
                self.excuse(member)
                member.signal(signal.SIGCONT)
                member.accepting, member.resumed_at = True, self.world.clock()
                return
            case "restarted":
                await self.restart(member)
            case "drained":
                await self.drain()
            case "policies":
                self.publish_policies(member)
            case "agreement":
                self.make_offer()
            case "forgotten in a cut":
                self.relay.cut(some, others)
                await anyio.sleep(duration)
                recipient = next(m for m in self.members if m.name == others[0])
                self.erasures.append((self.world.clock(), self.world.clock() + duration))
                self.publish_policies(recipient)
            case "old disk":
                await self.restore_old_disk(member, duration)
                return
        await anyio.sleep(duration)

    async def restart(self, member: RouterProcess) -> None:
        self.exit_codes.append(await member.stop())
        await member.start()

    async def restore_old_disk(self, member: RouterProcess, duration: float) -> None:
        """Restores an older copy of a router's history file, as from a backup."""
        files = [member.history_file.with_name(member.history_file.name + end) for end in ("", "-wal")]
        copy = {file: file.read_bytes() for file in files if file.exists()}
        await anyio.sleep(duration)
        self.excuse(member)
        await member.kill()
        for file in (*files, member.history_file.with_name(member.history_file.name + "-shm")):
            file.unlink(missing_ok=True)
        for file, data in copy.items():
            file.write_bytes(data)
        await member.start()

    async def drain(self) -> None:
        """Drains an engine and starts a new one."""
        remaining = [n for n in self.fleet.servers if n not in self.draining]
        number = self.random.choice(remaining)
        self.draining.append(number)
        self.fleet.drain(number)
        await self.fleet.add()

    def excuse(self, member: RouterProcess) -> None:
        """Excuses the open queries of a router: they cannot be answered, or not in time."""
        self.excused |= self.open_queries[member.name]

    # ---- results --------------------------------------------------------------------------------

    def results(self) -> dict[str, object]:
        counted = [q for q in self.queries if q.id not in self.excused]
        outcomes = Counter(q.outcome for q in counted)
        violations = rules.find_violations(self.world, counted, slack=TIMING_SLACK)
        # Keyed queries wait while the history cannot decide on them, so they are counted separately.
        keyed = [q for q in counted if self.history and q.idempotency_key]
        plain = [q for q in counted if not (self.history and q.idempotency_key)]
        served, keyed_served = (
            sum(q.outcome == "finished" for q in queries) / max(1, len(queries)) for queries in (plain, keyed)
        )
        ids = {run.id for run in self.world.runs}
        replayed = [q for q, _ in self.resends if q.outcome == "finished" and q.id not in ids]
        faults = [line for member in self.members for line in member.log_events("fault")]
        return {
            "processes": sum(member.starts for member in self.members),
            "faults": sum(self.fault_counts.values()),
            "kinds": dict(self.fault_counts),
            "queries": len(self.queries),
            "finished": outcomes["finished"],
            "deferred": outcomes["deferred"],
            "killed": outcomes["killed"],
            "excused": len(self.queries) - len(counted),
            "broken_rules": len(violations),
            "first_broken": violations[:3],
            "resent": len(self.resends),
            "replayed": len(replayed),
            "ran_twice": len(self.ran_twice()),
            "out_of_order": sum(violation.startswith("rule 5") for violation in violations),
            "forgotten_too_soon": len(self.forgotten_too_soon()),
            "passed_on": self.forwarded_count(),
            "led_known": round(self.attributed_fraction(), 3),
            "two_owners": len(double_owned := self.two_owners()),
            "first_two": double_owned[:1],
            "over_quota": len(quota_violations := self.over_quota()),
            "first_over": quota_violations[:1],
            "kept_too_long": len(kept_answers := self.kept_too_long(replayed)),
            "first_kept": kept_answers[:1],
            "bad_exits": sum(code != 0 for code in self.exit_codes),
            "router_faults": len(faults),
            "first_fault": faults[:1],
            "served_share": round(served, 3),
            "keyed_served_share": round(keyed_served, 3),
            "relay": dict(self.relay.counts),
        }

    def two_owners(self) -> list[str]:
        return (
            two_owners(self.world, self.partner_by_connection, query_info_by_id(self.queries))
            if self.partners
            else []
        )

    def coordinated_runs(self) -> list[RunRecord]:
        return [run for run in self.world.runs if run.group in ("event-load", "change")]

    def attributed_fraction(self) -> float:
        """Returns the fraction of keyed and mutating runs whose partner is known."""
        coordinated_runs = self.coordinated_runs()
        return (
            sum(run.connection in self.partner_by_connection for run in coordinated_runs)
            / max(1, len(coordinated_runs))
            if self.partners
            else 0.0
        )

    def forwarded_count(self) -> int:
        """Counts the queries that ran for another partner than the one whose router the client asked."""
        partner_by_query = {q.id: partner_of(int(q.router[1:])) for q in self.queries}
        attributed = (
            run
            for run in self.coordinated_runs()
            if run.connection in self.partner_by_connection and run.id in partner_by_query
        )
        return sum(
            self.partner_by_connection[run.connection] != partner_by_query[run.id] for run in attributed
        )

    def over_quota(self) -> list[str]:
        if not self.partners:
            return []
        return over_quota(self.world, self.partner_by_connection, CORES, self.router_count, MAX_OFFERED_SHARE)

    def ran_twice(self) -> list[str]:
        """Returns what ran twice without being allowed to.

        These are the idempotency keys that ran for two queries within the retention time with no erasure
        request in between, and the ids of mutating queries that ran more than once.
        """
        runs = defaultdict(list)
        for run in sorted(self.world.runs, key=lambda run: run.started_at):
            if run.idempotency_key:
                runs[run.idempotency_key].append(run)
        sent = {q.id: q.sent for q in self.queries}
        changes = Counter(run.id for run in self.world.runs if run.group == "change")
        return [
            token
            for token, runs_of_token in runs.items()
            for first, again in pairwise(runs_of_token)
            if first.id != again.id
            and again.started_at - first.started_at < MIN_RETENTION_MS / 1000
            and not any(sent[first.id] < before + MAX_CLOCK_SKEW for before, _ in self.erasures)
        ] + [id for id, count in changes.items() if count > 1]

    def forgotten_too_soon(self) -> list[str]:
        """Returns those of `ran_twice` whose client had its answer: the history lost a finished record."""
        finished = {q.idempotency_key for q in self.queries if q.outcome == "finished"}
        return [token for token in self.ran_twice() if token in finished]

    @staticmethod
    def may_stay(member: RouterProcess, before: float) -> set[str]:
        """Returns the idempotency keys that may stay on a router's disk after an erasure request.

        These are runs with an unknown end, as of a router that was killed during them, which stay until they
        cannot be running any more, and queries that were granted again after the request.
        """
        if not member.history_file.exists():
            return set()
        records = [record for record, _ in SqliteStore(member.history_file).read()]
        return {
            r.idempotency_key
            for r in records
            if r.state == RecordState.RUNNING or r.granted_at / 10_000 >= before - MAX_CLOCK_SKEW
        }

    def kept_too_long(self, replayed: list[Query]) -> list[str]:
        """Describes erased answers that were still given to clients, or still on a disk, too late."""
        kept, ended_at = [], defaultdict(float)
        for run in self.world.runs:
            if run.idempotency_key:
                ended_at[run.idempotency_key] = max(
                    ended_at[run.idempotency_key], run.ended_at or self.world.clock()
                )
        for before, reachable_at in self.erasures:
            erased = {token for token, end in ended_at.items() if end < before - MAX_CLOCK_SKEW}
            late = [
                q
                for q in replayed
                if q.idempotency_key in erased and q.sent > reachable_at + ERASURE_PROPAGATION_TIME
            ]
            kept += [
                f"{q.idempotency_key} answered by {q.router}, {q.sent - reachable_at:.1f} s after"
                for q in late
            ]
            if self.world.clock() > reachable_at + 2 * ERASURE_PROPAGATION_TIME:
                for member in self.members:
                    if self.world.clock() < member.resumed_at + ERASURE_PROPAGATION_TIME:
                        continue  # it may not know of the request yet, and answers nothing until it does
                    files = member.folder.glob(f"{member.name}.db*")
                    data = b"".join(file.read_bytes() for file in files)
                    may_remain = self.may_stay(member, before)
                    remaining = [t for t in sorted(erased - may_remain) if t.encode() in data]
                    location = (
                        f"on the disk of {member.name},"
                        f" back for {self.world.clock() - member.resumed_at:.1f} s"
                    )
                    kept += [f"{token} {location}" for token in remaining]
        return kept


async def run(
    seed: int,
    seconds: float,
    routers: int = ROUTERS,
    engines: int = ENGINES,
    history: bool = False,
    partners: bool = False,
) -> dict[str, object]:
    """Runs one fleet for `seconds` and returns its results."""
    cluster = RouterCluster(seed, routers, engines, history, partners)
    with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
        async with anyio.create_task_group() as tasks:
            try:
                await cluster.start(Path(folder), tasks)
                if cluster.history:
                    await cluster.wait_until_in_force()
                until = cluster.world.clock() + seconds
                with suppress(TimeoutError), anyio.fail_after(seconds + ANSWER_GRACE + 30):
                    async with anyio.create_task_group() as work:
                        work.start_soon(cluster.faults, until)
                        for member in cluster.members:
                            work.start_soon(cluster.clients, member, until, work)
            finally:
                with anyio.CancelScope(shield=True):
                    await cluster.stop()
                tasks.cancel_scope.cancel()
        return cluster.results()


def verdict(results: dict[str, object]) -> bool:
    """Returns whether no rule was broken and at least 90% of the counted plain queries were served."""
    counts = ("broken_rules", "two_owners", "ran_twice", "kept_too_long", "over_quota")
    counts += ("bad_exits", "router_faults")
    is_clean = not any(results[kind] for kind in counts)
    return is_clean and results["served_share"] >= 0.9


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m hillchute.lab.processes", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the faults and queries")
    parser.add_argument("--minutes", type=float, default=0.5, help="how long faults are injected")
    parser.add_argument("--routers", type=int, default=ROUTERS, help="number of routers")
    parser.add_argument(
        "--history", action="store_true", help="with the answer history: queries with keys and resends"
    )
    parser.add_argument(
        "--partners", action="store_true", help="routers of three partners, with the answer history"
    )
    parser.add_argument("--json", action="store_true", help="print the results as JSON")
    options = parser.parse_args()
    arguments = options.routers, ENGINES, options.history, options.partners
    results = anyio.run(run, options.seed, options.minutes * 60, *arguments)
    if options.json:
        sys.stdout.buffer.write(orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    else:
        for name, figure in results.items():
            print(f"{name}: {figure}")
    return int(not verdict(results))


if __name__ == "__main__":
    sys.exit(main())
