"""What the cases share: settings of a small deployment, router processes, the event bus and MySQL clients.

Uses the standard library only. Everything listens on loopback addresses and free ports; `Stage` ends every
process that it started and removes its temporary folder.
"""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv" / "bin" / "python")
HERE = Path(__file__).resolve().parent
MS = 1_000_000  # nanoseconds
FRAME = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
STATES = {"Ready": 0, "Terminating": 1, "Gone": 2}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't run on this machine: exit status 2."""


def settings(routers=1, number=0, **changes):
    """Settings like those of a small deployment of `stats-levis`."""
    classes = [
        {
            "name": "lookup",
            "goal_time_ns": 1500 * MS,
            "aim_stretch": 1.5,
            "deadline_ns": 7500 * MS,
            "semantics": "repeatable",
            "worth": 1.0,
            "late_value": 0.0,
        },
        {
            "name": "report",
            "goal_time_ns": 2000 * MS,
            "aim_stretch": 2.5,
            "deadline_ns": 15000 * MS,
            "semantics": "repeatable",
            "worth": 5.0,
            "late_value": 0.4,
        },
        {
            "name": "event-load",
            "goal_time_ns": 3000 * MS,
            "aim_stretch": 3.0,
            "deadline_ns": 25000 * MS,
            "semantics": "by_key",
            "group": "all",
            "window_ns": 25000 * MS,
            "keep_order": True,
            "worth": 4.0,
            "late_value": 0.5,
        },
    ]
    value = {
        "me": number,
        "n_instances": routers,
        "tick_ns": 5 * MS,
        "discovery": "pushed",
        "family": "queries",
        "kinds": ["std-16"],
        "dcs": ["levis"],
        "zone": 0,
        "classes": classes,
        "worth_by": "request",
        "domain": {
            "kind_cores": [16],
            "ram_of_kind_mb": [65536],
            "width_by_class": [1, 4, 2],
            "class_load": [False, False, True],
            "yields_to_loads": [True, False, False],
            "ranks_heeded": True,
            "grants": False,
            "tells_every_ns": 1000 * MS,
            "says_cost": True,
            "on_shortage": "overcommit",
        },
        "limits": {
            "connect_timeout_ns": 250 * MS,
            "keepalive_ns": 30000 * MS,
            "streams_per_conn": 100,
            "most_tries": 5,
            "open_cap": 2000,
            "probes": True,
            "cancel": False,
            "may_duplicate": True,
            "retry_after": False,
            "peer_messages": False,
        },
        "report": {"via": "probe", "columns": ["util", "inflight", "x0", "x1"]},
        "costs": {"probe": 0.0086, "waste": 0.08, "late_fail": 0.11},
        "guarantees": {
            "answer_slack_ns": 50 * MS,
            "drain_grace_ns": 1000 * MS,
            "order_pause_ns": 300 * MS,
            "cold_from": 0.31,
            "cold_ns": 15000 * MS,
            "tip_multiple": 4.0,
            "fall_ns": 1500 * MS,
        },
    }
    for path, item in changes.items():
        at = value
        *parents, last = path.split("__")
        for name in parents:
            at = at[int(name)] if isinstance(at, list) else at[name]
        at[last] = item
    return value


def fraser():
    """Changes of `settings` for a small deployment of `fraser-bend-dev`: no probes, no progress notes."""
    classes = [
        {
            "name": "lookup",
            "goal_time_ns": 1500 * MS,
            "aim_stretch": 1.5,
            "deadline_ns": 7500 * MS,
            "semantics": "repeatable",
            "worth": 1.0,
            "late_value": 0.1,
        },
        {
            "name": "report",
            "goal_time_ns": 2000 * MS,
            "aim_stretch": 2.5,
            "deadline_ns": 25000 * MS,
            "semantics": "repeatable",
            "worth": 5.0,
            "late_value": 0.4,
        },
        {
            "name": "load",
            "goal_time_ns": 3000 * MS,
            "aim_stretch": 2.5,
            "deadline_ns": 20000 * MS,
            "semantics": "by_key",
            "group": "all",
            "window_ns": 12000 * MS,
            "keep_order": True,
            "worth": 5.0,
            "late_value": 0.6,
        },
    ]
    return {
        "kinds": ["std-12"],
        "dcs": ["works-yard-dc"],
        "classes": classes,
        "domain__kind_cores": [12],
        "domain__tells_every_ns": 0,
        "domain__ranks_heeded": False,
        "domain__on_shortage": "cut",
        "limits__probes": False,
        "limits__cancel": True,
        "limits__may_duplicate": False,
        "limits__most_tries": 6,
        "report": {"via": "answers", "columns": ["queue", "util"]},
        "guarantees__tip_multiple": 3.0,
        "guarantees__fall_ns": 3000 * MS,
        "guarantees__order_pause_ns": 500 * MS,
        "costs__probe": 0.0,
    }


class Bus:
    """The event bus: all events after the number that a router writes, and an empty frame each second."""

    def __init__(self, record):
        self.record, self.events, self.changed, self.port = record, [], asyncio.Event(), 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, kind, records):
        """`kind` 1: the whole list, 2: changes; records are (id, port, state, since in ms)."""
        payload = b"".join(
            RECORD.pack(id, socket.inet_aton("127.0.0.1"), port, STATES[state], 0, 0, 0, 1000, since)
            for id, port, state, since in records
        )
        self.events.append((len(self.events) + 1, kind, payload))
        self.record(
            "bus",
            number=len(self.events),
            kind=kind,
            entries=[(f"s-{id:08x}", state) for id, _, state, _ in records],
        )
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            while True:
                for number, kind, payload in self.events[last:]:
                    writer.write(FRAME.pack(9 + len(payload), number, kind) + payload)
                    last = number
                await writer.drain()
                changed = self.changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
                    continue
                writer.write(FRAME.pack(9, last, 0))
        writer.close()


class Router:
    """One router as the deploy file's `run` line starts it, or with an operator file."""

    def __init__(self, stage, name, config, operator=None):
        self.stage, self.name, self.operator = stage, name, operator
        self.port = int(config["listen"].rpartition(":")[2])
        self.config_path = stage.folder / f"{name}.json"
        self.operator_path = stage.folder / f"{name}.cue"
        self.log_path = stage.folder / f"{name}.log"
        self.config_path.write_text(json.dumps(config))
        self.listen = config["listen"]
        if operator is not None:
            self.operator_path.write_text(operator)
        self.process = None

    def start(self):
        environ = {name: value for name, value in os.environ.items() if name != "HILLCHUTE_OPERATOR"}
        environ |= {"EDGE_NAME": self.name, "EDGE_LISTEN": self.listen, "EDGE_CONFIG": str(self.config_path)}
        if self.operator is None:
            run = next(
                line
                for line in (ROOT / "deploy/balancer.toml").read_text().splitlines()
                if line.startswith("run = ")
            )
            command = run.split('"')[1]
        else:  # the same program with an operator file, as docs/operator.md has it
            environ["HILLCHUTE_OPERATOR"] = str(self.operator_path)
            command = "exec .venv/bin/python -m hillchute.router"
        log = self.log_path.open("ab")
        self.process = self.stage.spawn(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdout=log, stderr=log
        )
        self.stage.record("router started", router=self.name, pid=self.process.pid)

    async def ready(self, seconds=30):
        until = time.time() + seconds
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self.log_path.read_text()[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                client = await Client.connect(self.port)
                ok = await asyncio.wait_for(client.ping(), 2)
                client.close()
                if ok:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {seconds} s")

    def signal(self, number):
        self.stage.record("signal", router=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def exited(self, seconds):
        until = time.time() + seconds
        while time.time() < until:
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.05)
        return False

    def log_lines(self, event):
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("event") == event:
                    lines.append(entry)
        return lines


class Client:
    """One MySQL session."""

    @classmethod
    async def connect(cls, port):
        self = cls()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        greeting = await self.packet()
        self.number = struct.unpack("<I", greeting[greeting.index(b"\0", 1) + 1 :][:4])[0]
        login = struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0"
        self.write(1, login)
        if (await self.packet())[:1] != b"\0":
            raise OSError("login refused")
        return self

    async def packet(self):
        head = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(head[:3], "little"))

    def write(self, number, payload):
        self.writer.write(len(payload).to_bytes(3, "little") + bytes([number]) + payload)

    async def ping(self):
        self.write(0, b"\x0e")
        return (await self.packet())[:1] == b"\0"

    async def query(self, text):
        """('served', rows), ('refused', text) or ('failed', text)."""
        self.write(0, b"\x03" + text.encode())
        await self.writer.drain()
        rows, ends = [], 0
        while True:
            payload = await self.packet()
            if payload[:1] == b"\xff":
                number = int.from_bytes(payload[1:3], "little")
                word = "refused" if number in (1040, 1203, 1226) else "failed"
                return word, f"{number} {payload[9:].decode(errors='replace')}"
            if payload[:1] == b"\xfe" and len(payload) < 9:
                ends += 1
                if ends == 2:
                    return "served", rows
            elif ends:
                rows.append(payload)

    def close(self):
        self.writer.close()


class Stage:
    """The processes, the record and the temporary folder of one case."""

    def __init__(self, case_folder):
        self.record_file = (Path(case_folder) / "record.txt").open("w", buffering=1)
        self.holder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.holder.name)
        self.processes, self.ports, self.answers = [], set(), []
        self.began = time.time()

    def record(self, event, **fields):
        self.record_file.write(f"{time.time() - self.began:8.3f} {event} {json.dumps(fields)}\n")

    def spawn(self, command, **options):
        process = subprocess.Popen(command, **options)
        self.processes.append(process)
        return process

    def free_port(self):
        """A port free for TCP and UDP, below the range that the kernel gives to connections."""
        while True:
            port = 20_000 + secrets.randbelow(10_000)
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                with contextlib.suppress(OSError):
                    tcp.bind(("127.0.0.1", port))
                    udp.bind(("127.0.0.1", port))
                    if port not in self.ports:
                        self.ports.add(port)
                        return port

    def engine(self, name, *arguments):
        """Starts an engine; returns its port, its record file and its process."""
        path = self.folder / f"{name}.jsonl"
        process = self.spawn([PYTHON, str(HERE / "engine.py"), str(path), *arguments], stdout=subprocess.PIPE)
        return int(process.stdout.readline()), path, process

    def config(self, name, bus_port, known, **changes):
        value = settings(**changes)
        return {
            "name": name,
            "listen": f"127.0.0.1:{self.free_port()}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": f"127.0.0.1:{bus_port}",
            "known": {
                "offset": 1 if known else 0,
                "batch": [
                    {
                        "offset": 1,
                        "topology": {
                            "index": 1,
                            "snapshot": True,
                            "endpoints": [
                                {
                                    "name": f"s-{id:08x}",
                                    "address": f"127.0.0.1:{port}",
                                    "zone": value["dcs"][0],
                                    "type": value["kinds"][0],
                                    "group": 0,
                                    "status": state,
                                    "weight": 1,
                                    "since_ms": since,
                                }
                                for id, port, state, since in known
                            ],
                        },
                    }
                ]
                if known
                else [],
            },
            "settings": value,
        }

    async def ask(
        self, port, route, statement, patience=5000, nonce=None, entity=None, weight=20.0, label=""
    ):
        """One request on a session of its own; returns (word, detail, trace)."""
        trace = secrets.token_hex(8)
        fields = f"route={route},trace={trace},patience={patience}"
        fields += f",nonce={nonce}" if nonce else ""
        fields += f",weight={weight:.1f},mb=4" + (f",entity={entity}" if entity else "")
        began = time.time()
        word, detail = "no answer", ""
        client = None
        try:
            client = await Client.connect(port)
            began = time.time()
            self.record("sent", trace=trace, route=route, nonce=nonce, entity=entity, label=label, port=port)
            limit = patience / 1000 + 1.0
            word, detail = await asyncio.wait_for(client.query(f"/* {fields} */ {statement}"), limit)
        except (OSError, asyncio.IncompleteReadError) as error:
            detail = f"connection: {type(error).__name__}"
        except (asyncio.TimeoutError, TimeoutError):
            detail = "time is up"
        finally:
            if client is not None:
                client.close()
        shown = detail if isinstance(detail, str) else f"{len(detail)} rows"
        self.record(
            "answer",
            trace=trace,
            word=word,
            detail=shown,
            label=label,
            after_ms=round(1000 * (time.time() - began)),
        )
        self.answers.append((trace, word, shown, label))
        return word, shown, trace

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            process.wait()
        self.holder.cleanup()
        self.record_file.close()


def read_jsonl(path):
    return [json.loads(line) for line in Path(path).read_text().splitlines()]


def play(case_folder, body, seconds=115):
    """Runs `body(stage)`, which returns the lines that say how the rule was broken; exits 0, 1 or 2."""
    stage = Stage(case_folder)
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(body(stage), seconds))
        for line in broken:
            stage.record("BROKEN", what=line)
            print("broken:", line)
        if not broken:
            print("the rule held")
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, TimeoutError) as error:
        stage.record("cannot run", reason=str(error))
        print("could not run:", error or "time is up")
    except Exception as error:  # a fault of the case itself
        stage.record("cannot run", reason=repr(error))
        print("could not run:", repr(error))
    finally:
        for entry in sorted(stage.folder.glob("*.jsonl")):
            for line in read_jsonl(entry):
                at = line.pop("at") - stage.began
                stage.record_file.write(f"{at:8.3f} engine {entry.stem} {json.dumps(line)}\n")
        stage.close()
    sys.exit(status)
