"""Stand-ins for a small deployment: SQL engines, an event bus, MySQL clients, and the start of a router.

Written from the protocol page (kit/real/PROTOCOL.md). Uses the standard library only and shares no code with
the project. Everything listens on loopback addresses. Times are seconds of the Unix clock.
"""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000  # nanoseconds
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REFUSED_CODES = (1040, 1203, 1226)


class CannotRun(Exception):
    """The case could not be played as intended; the verdict is exit code 2."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.time()

    def write(self, text):
        self.file.write(f"{time.time() - self.start:8.3f}  {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


# ---- engines -----------------------------------------------------------------------------------------------


class Engine:
    """A SQL engine on the line protocol. `work` gives the seconds that a query takes, by its class."""

    def __init__(self, number, record, work, dedupe_window=None, memory=None):
        self.number, self.record, self.work = number, record, work
        self.name = f"s-{number:08x}"
        self.dedupe_window = dedupe_window  # seconds for which a repeat of a key is dropped
        self.memory = {} if memory is None else memory  # key -> time of its run; shared by all engines of a group
        self.wants = []  # (time, id, class, key, ttl in ms)
        self.runs = []  # (time, id, class, key): what was really run
        self.connections = set()
        self.answers = lambda query: "ACK"  # how a run ends: ACK, EIO, AGAIN, silent, reset
        self.ready = True
        self.load = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.connections):
            reset(writer)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        tasks = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if not words:
                    continue
                verb, id = words[0], words[1]
                if verb == "want":
                    body = await reader.readexactly(int(words[3]) + 2)
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",")) if words[2] != "-" else {}
                    query = dict(id=id, group=fields.get("lane"), key=fields.get("dedupe"), ttl=int(fields.get("ttl", 0)),
                                 text=body[:-2].decode(), at=time.time(), writer=writer, engine=self)
                    self.wants.append((query["at"], id, query["group"], query["key"], query["ttl"]))
                    self.record.write(f"{self.name} got want {id} class {query['group']} key {query['key']} ttl {query['ttl']}")
                    tasks[id] = asyncio.ensure_future(self.run(query, writer))
                elif verb == "never_mind":
                    self.record.write(f"{self.name} got never_mind {id}")
                    if id in tasks:
                        tasks.pop(id).cancel()
                elif verb in ("busy", "there"):
                    word = "READY" if self.ready else "AILING"
                    report = f"rep={self.report()}" if verb == "busy" else "-"
                    writer.write(f"{id} {word} {report} 0\r\n\r\n".encode())
                elif verb == "turn":
                    writer.write(f"{id} EIO - 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            for task in tasks.values():
                task.cancel()
            writer.close()

    def report(self):
        return f"util:{min(1.0, 0.05 * self.load):.2f};inflight:{self.load};x0:0.1;x1:0.1"

    async def run(self, query, writer):
        end = self.answers(query)
        id = query["id"]
        if end == "AGAIN":
            writer.write(f"{id} AGAIN rep={self.report()} 0\r\n\r\n".encode())
            return
        key, now = query["key"], time.time()
        if key is not None and self.dedupe_window is not None:
            ran_at = self.memory.get(key)
            if ran_at is not None and now - ran_at < self.dedupe_window:
                self.record.write(f"{self.name} drops the repeat {id} of key {key}")
                self.answer(query, writer, [(b"1", b"repeat", id.encode())])
                return
            self.memory[key] = now
        self.runs.append((now, id, query["group"], key))
        self.record.write(f"{self.name} runs {id} class {query['group']} key {key}")
        self.load += 1
        try:
            await asyncio.sleep(self.work(query))
        finally:
            self.load -= 1
        if end == "ACK":
            self.answer(query, writer, [(b"1", b"ok", id.encode())])
        elif end == "EIO":
            writer.write(f"{id} EIO rep={self.report()} 0\r\n\r\n".encode())
        elif end == "reset":
            reset(writer)

    def answer(self, query, writer, rows):
        page = b"".join(b"\t".join(row) + b"\n" for row in rows)
        elapsed = max(1.0, (time.time() - query["at"]) * 1000)
        head = f"{query['id']} ACK parts=1,work={elapsed:.1f},peak=8,rep={self.report()} {len(page)}\r\n"
        writer.write(head.encode() + page + b"\r\n")


def reset(writer):
    """Ends a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- the event bus -----------------------------------------------------------------------------------------

STATES = {"Ready": 0, "Terminating": 1, "Gone": 2}


class Bus:
    """The event bus: numbered events, each sent at once to every open watch; an empty frame each second."""

    def __init__(self, record):
        self.record = record
        self.events = []  # (number, kind, payload)
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            await asyncio.sleep(1)
            self.broadcast(struct.pack(">IQB", 9, len(self.events), 0))

    def broadcast(self, frame):
        for writer in list(self.watches):
            writer.write(frame)

    async def serve(self, reader, writer):
        try:
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            self.record.write(f"bus: a watch from number {last}")
            for number, kind, payload in self.events:
                if number > last:
                    writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
            self.watches.add(writer)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def tell(self, engines, whole=False):
        """Adds an event; `engines` are (engine, state, start in Unix ms). Returns when it was told."""
        payload = b"".join(
            struct.pack(">I4sHBBBHIQ", e.number, socket.inet_aton("127.0.0.1"), e.port, STATES[state], 0, 0, 0, 1000, since)
            for e, state, since in engines
        )
        number, kind = len(self.events) + 1, 1 if whole else 2
        self.events.append((number, kind, payload))
        self.broadcast(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
        told = time.time()
        self.record.write(f"bus: event {number}: " + ", ".join(f"{e.name} {state}" for e, state, _ in engines)
                          + f" (to {len(self.watches)} open watches)")
        return told


# ---- clients -----------------------------------------------------------------------------------------------

LOGIN = struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0"


class Session:
    """One MySQL session of a client."""

    def __init__(self, record, port):
        self.record, self.port, self.number = record, port, 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        greeting = await self.packet()
        self.number = struct.unpack_from("<I", greeting, greeting.index(b"\0", 1) + 1)[0]
        self.send(1, LOGIN)
        answer = await self.packet()
        if answer[:1] != b"\0":
            raise ConnectionError(f"login: {answer!r}")
        return self

    def send(self, sequence, payload):
        self.writer.write(len(payload).to_bytes(3, "little") + bytes([sequence]) + payload)

    async def packet(self):
        head = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(head[:3], "little"))

    async def ping(self):
        self.send(0, b"\x0e")
        return (await self.packet())[:1] == b"\0"

    async def ask(self, group, patience_ms, statement="SELECT a, b, c FROM sales_17.orders", **fields):
        """Sends a query and returns (outcome, detail, rows): finished, deferred, killed or lost."""
        trace = secrets.token_hex(8)
        pairs = {"route": group, "trace": trace, "patience": patience_ms, **fields}
        text = "/* " + ",".join(f"{k}={v}" for k, v in pairs.items()) + " */ " + statement
        self.record.write(f"client sends {trace} {group} {fields}")
        sent = time.time()
        self.send(0, b"\x03" + text.encode())
        self.trace, self.sent = trace, sent
        try:
            outcome = await asyncio.wait_for(self.result(), patience_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            outcome = ("lost", "no answer by half a second past its time", [])
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            outcome = ("lost", f"connection ended: {error!r}", [])
        self.record.write(f"client has {outcome[0]} for {trace} after {time.time() - sent:.3f} s: {outcome[1]}")
        return outcome

    async def result(self):
        rows, ends = [], 0
        while True:
            payload = await self.packet()
            if payload[:1] == b"\xff":
                code = int.from_bytes(payload[1:3], "little")
                kind = "deferred" if code in REFUSED_CODES else "killed"
                return kind, f"{code} {payload[9:].decode(errors='replace')}", rows
            if payload[:1] == b"\xfe" and len(payload) == 5:
                ends += 1
                if ends == 2:
                    return "finished", f"{len(rows)} rows", rows
            elif ends == 1:
                rows.append(payload)

    def close(self):
        self.writer.close()


# ---- the router --------------------------------------------------------------------------------------------


class Router:
    """A router, started as the `run` line of deploy/balancer.toml says, from the repository's root."""

    def __init__(self, record, folder, name, configuration, operator=None, log_folder=None):
        self.record, self.name = record, name
        self.port = free_port()
        self.folder = Path(folder)
        self.file = self.folder / f"{name}.json"
        self.configuration = configuration | {"name": name, "listen": f"127.0.0.1:{self.port}"}
        self.file.write_text(json.dumps(self.configuration))
        self.operator = operator
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        run = deploy["run"]
        environ = {k: v for k, v in os.environ.items() if k != "HILLCHUTE_OPERATOR"}
        if self.operator is not None:
            # The run line drops the operator file's variable; with an operator file the same program starts
            # as docs/operator.md says.
            run = "exec .venv/bin/python -m hillchute.router"
            environ["HILLCHUTE_OPERATOR"] = str(self.operator)
        environ |= {"EDGE_NAME": self.name, "EDGE_LISTEN": f"127.0.0.1:{self.port}", "EDGE_CONFIG": str(self.file),
                    "TMPDIR": str(self.folder)}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.record.write(f"router {self.name} started as process {self.process.pid}")
        limit = time.time() + 20
        while True:
            if self.process.returncode is not None:
                raise CannotRun(f"router {self.name} ended at its start: {self.log_text()[-800:]}")
            try:
                session = await Session(self.record, self.port).open()
                if await session.ping():
                    session.close()
                    self.record.write(f"router {self.name} answers COM_PING")
                    return self
            except (OSError, asyncio.IncompleteReadError):
                pass
            if time.time() > limit:
                raise CannotRun(f"router {self.name} is not ready after 20 s")
            await asyncio.sleep(0.05)

    def signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to router {self.name}")
        self.process.send_signal(number)

    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


def group(name, goal_ms, stretch, deadline_ms, semantics, worth, window_ms=5_000, keep_order=False):
    entry = {"name": name, "goal_time_ns": goal_ms * MS, "aim_stretch": stretch, "deadline_ns": deadline_ms * MS,
             "semantics": semantics, "group": "all", "window_ns": window_ms * MS, "worth": worth, "late_value": 0.4,
             "streamed": False}
    return entry | ({"keep_order": True} if keep_order else {})


def configuration(engines, bus_port, classes, *, cores=12, cancel=True, progress_ms=0, probes=False, routers=1,
                  most_tries=5, drain_grace_ms=1000, order_pause_ms=500, load_class=True, me=0, columns=("util", "inflight", "x0", "x1")):
    """The router's configuration file, in the form of kit/real/DEPLOY.md, for engines that have run for long."""
    endpoints = [{"name": e.name, "address": f"127.0.0.1:{e.port}", "zone": "here", "type": "std-12", "group": 0,
                  "status": "Ready", "weight": 1, "since_ms": 0} for e in engines]
    n = len(classes)
    return {
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "bus": f"127.0.0.1:{bus_port}",
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"index": 1, "snapshot": True, "endpoints": endpoints}}]},
        "settings": {
            "me": me, "n_instances": routers, "tick_ns": 5 * MS, "discovery": "pushed", "family": "queries",
            "kinds": ["std-12"], "dcs": ["here"], "zone": 0, "tier": 0, "tiers": ["engines"], "weight_kind": "rough",
            "worth_by": "request", "parties": [], "classes": classes,
            "domain": {"kind_cores": [cores], "ram_of_kind_mb": [32768.0],
                       "width_by_class": [1] * n, "class_load": [load_class and c["semantics"] == "by_key" for c in classes],
                       "yields_to_loads": [False] * n, "ranks_heeded": False, "tells_every_ns": progress_ms * MS,
                       "on_shortage": "cut", "says_cost": True, "grants": False,
                       "report_x0": "share_of_memory_granted", "report_x1": "share_of_disks_busy"},
            "limits": {"connect_timeout_ns": 250 * MS, "keepalive_ns": 30_000 * MS, "streams_per_conn": 100,
                       "most_tries": most_tries, "open_cap": 20_000, "probes": probes, "cancel": cancel,
                       "may_duplicate": False, "retry_after": True, "max_retry_after_ns": 500 * MS},
            "report": {"via": "probe" if probes else "answers", "columns": list(columns)},
            "guarantees": {"answer_slack_ns": 20 * MS, "ask_within_ns": 10_000 * MS, "order_pause_ns": order_pause_ms * MS,
                           "cold_ns": 15_000 * MS, "cold_from": 0.31, "fall_ns": 3_000 * MS, "tip_multiple": 3.0,
                           "drain_grace_ns": drain_grace_ms * MS},
            "costs": {"probe": 0.0},
        },
    }


def play(folder, case, limit=115):
    """Runs a case: `case(record, temporary folder, ends)` returns the list of breaks. Exits as the issue asks."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def run():
        ends = []  # routers to end, whatever happens
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                return await asyncio.wait_for(case(record, Path(temporary), ends), limit)
            finally:
                for router in ends:
                    if keep := os.environ.get("KEEP_LOGS"):
                        Path(keep).mkdir(parents=True, exist_ok=True)
                        (Path(keep) / f"{router.name}.log").write_text(router.log_text() if router.process else "")
                    await router.end()

    try:
        breaks = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record.write(f"BREAK: {text}")
        print(f"BREAK: {text}")
    verdict = "rule broken" if breaks else "rule held"
    record.write(f"verdict: {verdict}")
    print(verdict)
    sys.exit(1 if breaks else 0)
