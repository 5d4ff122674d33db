"""What results cost the router on each pair of front and engine: rows, bytes, CPU, memory, times.

Owns the measurement and its table. Must never be part of CI: its seconds are the machine's. Engines and
clients share one process beside the router's; what is told of CPU and memory is the router's alone.
"""

import statistics
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from hillchute.lab.clients import Flight, MySQL, Query
from hillchute.lab.fleet import Router, deployed
from hillchute.lab.parity import operator
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow

TICKS = 100  # of a process's CPU time a second, on Linux
LINE_ROWS = 400  # rows of about 100 bytes: a result of the line protocol holds 48,000 bytes at most
WIDE_ROWS, WIDE_BATCHES = 400_000, 100  # of one wide result over Flight
SLOW = 64  # clients that read slowly at once
PAIRS = (("mysql", "line"), ("flight", "line"), ("mysql", "flight"), ("flight", "flight"))


def cpu(router: Router) -> float:
    """Seconds of CPU that the router has used."""
    fields = Path(f"/proc/{router.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory(router: Router, name: str) -> float:
    """VmRSS or VmHWM, in MB."""
    text = Path(f"/proc/{router.process.pid}/status").read_text()
    return int(text.partition(f"{name}:")[2].split()[0]) / 1024


def query(rows: int, batches: int, wide: int, patience: int = 9_000, group: str = "report") -> Query:
    text = f"SELECT /* lab ms=0.1 rows={rows} batches={batches} wide={wide} */ day FROM sales_3.orders"
    return Query(group, text, patience, weight=1.0)


def kind_of(front: str, fleet, router: Router) -> Callable[[], MySQL | Flight]:
    if front == "mysql":
        return lambda: MySQL(fleet.world, router.port)
    return lambda: Raw(fleet.world, router.flight_port)


class Raw(Flight):
    """A Flight client that counts bytes and takes no batch apart, so that it is not what is measured."""

    bytes = 0
    pause = 0.0

    async def get(self, query: Query) -> None:
        ask = self.channel.unary_unary(f"{arrow.SERVICE}GetFlightInfo")
        command = arrow.command(sql.CommandStatementQuery(query=query.statement))
        raw = await ask(command.SerializeToString(), metadata=self.metadata(query))
        ticket = flight.FlightInfo.FromString(raw).endpoint[0].ticket
        fetch = self.channel.unary_stream(f"{arrow.SERVICE}DoGet")
        async for raw in fetch(ticket.SerializeToString(), metadata=self.metadata(query)):
            self.bytes += len(raw)
            if self.pause:
                await anyio.sleep(self.pause)


async def wide(front: str, engines: str, seconds: float) -> dict[str, float]:
    """Wide results, four clients at once, for some seconds."""
    rows, batches = (LINE_ROWS, 1) if engines == "line" else (WIDE_ROWS, WIDE_BATCHES)
    done: list[Query] = []
    async with deployed(engines, 2, operator(engines)) as (fleet, router):
        make = kind_of(front, fleet, router)
        await one(make(), query(rows, batches, 84))
        used, began = cpu(router), time.monotonic()

        async def work() -> None:
            client = make()
            while time.monotonic() - began < seconds:
                q = query(rows, batches, 84)
                await client.ask(q)
                done.append(q)
            await client.close()

        async with anyio.create_task_group() as tasks:
            for _ in range(4 if engines == "line" else 1):
                tasks.start_soon(work)
        took, used = time.monotonic() - began, cpu(router) - used
        peak = memory(router, "VmHWM")
    finished = sum(q.how == "finished" for q in done)
    megabytes = finished * rows * 100 / 1e6
    return {
        "rows_a_second": round(finished * rows / took),
        "megabytes_a_second": round(megabytes / took, 1),
        "cpu_ms_a_megabyte": round(1000 * used / max(megabytes, 1e-9), 2),
        "rows_a_cpu_second": round(finished * rows / max(used, 1e-9)),
        "peak_mb": round(peak, 1),
        "not_finished": len(done) - finished,
    }


async def one(client: MySQL | Flight, q: Query) -> None:
    await client.ask(q)
    await client.close()


async def small(front: str, count: int) -> dict[str, float]:
    """Small lookups one after the other, on line engines."""
    times = []
    async with deployed("line", 2, operator("line")) as (fleet, router):
        client = kind_of(front, fleet, router)()
        used = 0.0
        for n in range(count + 20):
            if n == 20:
                used = cpu(router)
            q = query(5, 1, 8, group="lookup")
            began = time.monotonic()
            await client.ask(q)
            if n >= 20 and q.how == "finished":
                times.append(1000 * (time.monotonic() - began))
        used = cpu(router) - used
        await client.close()
    return {
        "median_ms": round(statistics.median(times), 2),
        "p95_ms": round(statistics.quantiles(times, n=20)[18], 2),
        "cpu_ms": round(1000 * used / count, 2),
    }


async def slow(count: int, batches: int) -> dict[str, float]:
    """Clients that read a wide result a batch at a time with pauses between."""
    async with deployed("flight", 2, operator("flight"), most=2 * count) as (fleet, router):
        before = memory(router, "VmRSS")
        asked = [query(batches * 4_000, batches, 84) for _ in range(count)]

        async def read(q: Query) -> None:
            client = Raw(fleet.world, router.flight_port)
            client.pause = 0.1
            await one(client, q)

        async with anyio.create_task_group() as tasks:
            for q in asked:
                tasks.start_soon(read, q)
        peak = memory(router, "VmHWM")
    return {
        "clients": count,
        "megabytes_each": round(batches * 4_000 * 100 / 1e6, 1),
        "before_mb": round(before, 1),
        "peak_mb": round(peak, 1),
        "finished": sum(q.how == "finished" for q in asked),
    }


async def gigabyte(megabytes: int) -> dict[str, float]:
    """One result of so many megabytes through one router, whose client reads as fast as it can."""
    batches = megabytes * 1_000_000 // 400_000
    async with deployed("flight", 1, operator("flight")) as (fleet, router):
        q, client = query(batches * 4_000, batches, 84, patience=6_000), Raw(fleet.world, router.flight_port)
        before, began, used = memory(router, "VmRSS"), time.monotonic(), cpu(router)
        await one(client, q)
        return {
            "megabytes": round(client.bytes / 1e6),
            "seconds": round(time.monotonic() - began, 2),
            "cpu_ms_a_megabyte": round(1000 * (cpu(router) - used) / max(client.bytes / 1e6, 1e-9), 2),
            "before_mb": round(before, 1),
            "peak_mb": round(memory(router, "VmHWM"), 1),
            "how": q.how,
        }


async def measure(seconds: float) -> dict[str, object]:
    """Everything, pair by pair, in one run."""
    pairs = {f"{front} to {engines}": await wide(front, engines, seconds) for front, engines in PAIRS}
    lookups = {front: await small(front, 300) for front in ("mysql", "flight")}
    base = pairs["mysql to line"]["rows_a_second"]
    return {
        "wide": pairs,
        "flight_to_flight_over_mysql_to_line": round(pairs["flight to flight"]["rows_a_second"] / base, 1),
        "small_lookups": lookups,
        "flight_over_mysql": round(lookups["flight"]["median_ms"] / lookups["mysql"]["median_ms"], 2),
        "slow_clients": await slow(SLOW, 8),
        "one_gigabyte": await gigabyte(1_000),
    }
