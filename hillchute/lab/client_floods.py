"""Measures what one harmful client does to a router and its other clients; flood_client.py has the forms.

    python -m hillchute.lab.client_floods --forms ping valid --connections 1 --seconds 5 --seed 1

One router process serves stand-in engines. Probe clients ask twenty times a second, first on a quiet router,
then beside the flood. Reported are their answers, and what the router holds: memory, descriptors and log
bytes. The verdict rests on what the probes and the kernel show, not on what the router reports.
"""

import argparse
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path
from statistics import median

import anyio
import orjson

from hillchute.lab.clients import MySQLClient, Query
from hillchute.lab.fleet import Fleet, Router
from hillchute.lab.flood_client import FORMS
from hillchute.lab.world import EngineWorld

ENGINES = 3
SOCKETS = 1024  # the router's limit on descriptors
PROBE_RATE = 20.0  # queries a second
PROBE_TIMEOUT_MS = 3_000
QUIET_SECONDS = 3.0
SETTLE_SECONDS = 0.5  # after a flood, until memory is read
MAX_MEDIAN_FACTOR = 1.5  # of the quiet router's median
MAX_SLOWEST_FACTOR = 3.0  # of the quiet router's slowest answer
BYTES_PER_MB = 1_048_576


@dataclass
class ProbeResult:
    """The answers that probe clients got."""

    elapsed_ms: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)

    @property
    def median_ms(self) -> float:
        return median(self.elapsed_ms) if self.elapsed_ms else float("inf")

    @property
    def slowest_ms(self) -> float:
        return max(self.elapsed_ms, default=float("inf"))

    @property
    def all_served(self) -> bool:
        return set(self.outcomes) == {"finished"}


@dataclass(frozen=True)
class Held:
    """What a router process holds."""

    memory_mb: float
    peak_memory_mb: float
    descriptors: int
    log_bytes: int

    @classmethod
    def of(cls, router: Router) -> "Held":
        status = Path(f"/proc/{router.process.pid}/status").read_text()
        sizes = {
            line.split(":")[0]: int(line.split()[1]) / 1024
            for line in status.splitlines()
            if line.startswith(("VmRSS", "VmHWM"))
        }
        return cls(
            memory_mb=sizes["VmRSS"],
            peak_memory_mb=sizes["VmHWM"],
            descriptors=len(list(Path(f"/proc/{router.process.pid}/fd").iterdir())),
            log_bytes=(router.folder / "router.log").stat().st_size,
        )


async def probe(world: EngineWorld, port: int, seconds: float, result: ProbeResult) -> None:
    """Asks at PROBE_RATE for so many seconds, each query on a free session of its own."""
    idle: list[MySQLClient] = []
    rng = random.Random(0)

    async def ask() -> None:
        client = idle.pop() if idle else MySQLClient(world, port)
        query = Query(
            "lookup", f"SELECT /* lab ms=5 */ 1 FROM sales_{rng.randrange(8)}.orders", PROBE_TIMEOUT_MS
        )
        began = time.monotonic()
        with anyio.move_on_after(2 * PROBE_TIMEOUT_MS / 1000):
            await client.run(query)
        result.elapsed_ms.append((time.monotonic() - began) * 1000)
        result.outcomes[query.outcome] += 1
        if query.outcome == "lost":
            await client.close()
        idle.append(client)

    async with anyio.create_task_group() as tasks:
        began = time.monotonic()
        for number in range(int(seconds * PROBE_RATE)):
            await anyio.sleep(max(0.0, began + number / PROBE_RATE - time.monotonic()))
            tasks.start_soon(ask)
    for client in idle:
        await client.close()


async def measure(
    form: str, connections: int, seconds: float, seed: int, reconnects: bool = False, **overrides: object
) -> dict[str, object]:
    """Runs one form against one router; returns what was seen."""
    with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
        async with anyio.create_task_group() as tasks:
            world = EngineWorld(seed=seed)
            fleet = Fleet(world, "line", tasks)
            await fleet.start(ENGINES)
            router = Router(Path(folder), fleet.bus.port, **overrides)
            await router.start()
            try:
                await anyio.sleep(SETTLE_SECONDS)
                return await flood_router(world, router, form, connections, seconds, seed, reconnects)
            finally:
                with anyio.CancelScope(shield=True):
                    await router.stop()
                    await fleet.close()
                tasks.cancel_scope.cancel()


async def flood_router(
    world: EngineWorld,
    router: Router,
    form: str,
    connections: int,
    seconds: float,
    seed: int,
    reconnects: bool,
) -> dict[str, object]:
    quiet, flooded = ProbeResult(), ProbeResult()
    await probe(world, router.port, 1.0, ProbeResult())  # opens the connections to the engines
    await probe(world, router.port, QUIET_SECONDS, quiet)
    before = Held.of(router)
    arguments = ["--port", router.port, "--form", form, "--connections", connections, "--seed", seed]
    arguments += ["--seconds", seconds, *(["--reconnect"] if reconnects else [])]
    flooder = subprocess.Popen(
        [sys.executable, "-m", "hillchute.lab.flood_client", *map(str, arguments)], stdout=subprocess.PIPE
    )
    await anyio.sleep(SETTLE_SECONDS)  # the flooder starts
    await probe(world, router.port, seconds - SETTLE_SECONDS, flooded)
    during = Held.of(router)
    written = await anyio.to_thread.run_sync(flooder.communicate)
    await anyio.sleep(SETTLE_SECONDS)
    after = Held.of(router)
    return {
        "form": form,
        "connections": connections,
        "reconnects": reconnects,
        "seed": seed,
        "flood": orjson.loads(written[0]),
        "alive": router.process.poll() is None,
        "faults": len(router.faults()),
        "quiet": summary(quiet),
        "flooded": summary(flooded),
        "median_factor": round(flooded.median_ms / quiet.median_ms, 2),
        "slowest_factor": round(flooded.slowest_ms / quiet.slowest_ms, 2),
        "all_served": flooded.all_served,
        "before": asdict(before),
        "during": asdict(during),
        "after": asdict(after),
    }


def summary(result: ProbeResult) -> dict[str, object]:
    """The answers of the probes, as reported."""
    return {
        "median_ms": round(result.median_ms, 1),
        "slowest_ms": round(result.slowest_ms, 1),
        "outcomes": dict(result.outcomes),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--forms", nargs="+", choices=FORMS, default=FORMS)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reconnect", action="store_true")
    parser.add_argument("--memory-mb", type=int, default=192, help="the router's limit")
    options = parser.parse_args()
    limits = {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": SOCKETS}
    for form in options.forms:
        run = partial(
            measure,
            form,
            options.connections,
            options.seconds,
            options.seed,
            options.reconnect,
            limits=limits,
        )
        result = anyio.run(run)
        print(orjson.dumps(result).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
