"""Measures the cost of results in the router for each pair of front end and engine protocol.

Engines and clients share one process. CPU time and memory are those of the router's process. The figures
depend on the machine, so this is not part of CI.
"""

import statistics
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from hillchute.lab.clients import FlightClient, MySQLClient, Query
from hillchute.lab.fleet import Router, deployed
from hillchute.lab.parity import operator
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow

CLOCK_TICKS_PER_SECOND = 100  # of CPU times in /proc on Linux
LINE_ROWS = 400  # of about 100 bytes each; a line protocol result has at most 48,000 bytes
WIDE_ROWS, WIDE_BATCHES = 400_000, 100  # of a wide result over Flight SQL
SLOW_CLIENTS = 64  # number of clients that read slowly at the same time
PAIRS = (("mysql", "line"), ("flight", "line"), ("mysql", "flight"), ("flight", "flight"))


def cpu_seconds(router: Router) -> float:
    """Return the CPU time that the router has used, in seconds."""
    fields = Path(f"/proc/{router.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_mb(router: Router, name: str) -> float:
    """Return the router's VmRSS or VmHWM in MB."""
    text = Path(f"/proc/{router.process.pid}/status").read_text()
    return int(text.partition(f"{name}:")[2].split()[0]) / 1024


def query(rows: int, batches: int, wide: int, client_timeout_ms: int = 9_000, group: str = "report") -> Query:
    text = f"SELECT /* lab ms=0.1 rows={rows} batches={batches} wide={wide} */ day FROM sales_3.orders"
    return Query(group, text, client_timeout_ms, weight=1.0)


def client_factory(front: str, fleet, router: Router) -> Callable[[], MySQLClient | FlightClient]:
    if front == "mysql":
        return lambda: MySQLClient(fleet.world, router.port)
    return lambda: ByteCountingFlight(fleet.world, router.flight_port)


class ByteCountingFlight(FlightClient):
    """A Flight SQL client that counts bytes and does not decode batches, to keep its own cost low."""

    bytes = 0
    pause = 0.0

    async def run_select(self, query: Query) -> None:
        get_info = self.channel.unary_unary(f"{arrow.SERVICE_PATH}GetFlightInfo")
        command = arrow.command_descriptor(sql.CommandStatementQuery(query=query.statement))
        raw = await get_info(command.SerializeToString(), metadata=self.metadata(query))
        ticket = flight.FlightInfo.FromString(raw).endpoint[0].ticket
        do_get = self.channel.unary_stream(f"{arrow.SERVICE_PATH}DoGet")
        async for raw in do_get(ticket.SerializeToString(), metadata=self.metadata(query)):
            self.bytes += len(raw)
            if self.pause:
                await anyio.sleep(self.pause)


async def measure_wide(front: str, engines: str, seconds: float) -> dict[str, float]:
    """Measure wide results for some seconds, with four clients on line engines and one on Flight engines."""
    rows, batches = (LINE_ROWS, 1) if engines == "line" else (WIDE_ROWS, WIDE_BATCHES)
    queries: list[Query] = []
    async with deployed(engines, 2, operator(engines)) as (fleet, router):
        make_client = client_factory(front, fleet, router)
        await run_query(make_client(), query(rows, batches, 84))
        cpu_used, started_at = cpu_seconds(router), time.monotonic()

        async def run_client() -> None:
            client = make_client()
            while time.monotonic() - started_at < seconds:
                q = query(rows, batches, 84)
                await client.run(q)
                queries.append(q)
            await client.close()

        async with anyio.create_task_group() as tasks:
            for _ in range(4 if engines == "line" else 1):
                tasks.start_soon(run_client)
        duration, cpu_used = time.monotonic() - started_at, cpu_seconds(router) - cpu_used
        peak_mb = memory_mb(router, "VmHWM")
    finished = sum(q.outcome == "finished" for q in queries)
    megabytes = finished * rows * 100 / 1e6
    return {
        "rows_a_second": round(finished * rows / duration),
        "megabytes_a_second": round(megabytes / duration, 1),
        "cpu_ms_a_megabyte": round(1000 * cpu_used / max(megabytes, 1e-9), 2),
        "rows_a_cpu_second": round(finished * rows / max(cpu_used, 1e-9)),
        "peak_mb": round(peak_mb, 1),
        "not_finished": len(queries) - finished,
    }


async def run_query(client: MySQLClient | FlightClient, q: Query) -> None:
    await client.run(q)
    await client.close()


async def measure_small(front: str, count: int) -> dict[str, float]:
    """Measure small lookups one after the other, on line engines."""
    times = []
    async with deployed("line", 2, operator("line")) as (fleet, router):
        client = client_factory(front, fleet, router)()
        cpu_used = 0.0
        for n in range(count + 20):
            if n == 20:
                cpu_used = cpu_seconds(router)
            q = query(5, 1, 8, group="lookup")
            started_at = time.monotonic()
            await client.run(q)
            if n >= 20 and q.outcome == "finished":
                times.append(1000 * (time.monotonic() - started_at))
        cpu_used = cpu_seconds(router) - cpu_used
        await client.close()
    return {
        "median_ms": round(statistics.median(times), 2),
        "p95_ms": round(statistics.quantiles(times, n=20)[18], 2),
        "cpu_ms": round(1000 * cpu_used / count, 2),
    }


async def measure_slow_clients(count: int, batches: int) -> dict[str, float]:
    """Measure the router's memory with clients that pause after each batch of a wide result."""
    async with deployed("flight", 2, operator("flight"), max_runs=2 * count) as (fleet, router):
        before_mb = memory_mb(router, "VmRSS")
        queries = [query(batches * 4_000, batches, 84) for _ in range(count)]

        async def read(q: Query) -> None:
            client = ByteCountingFlight(fleet.world, router.flight_port)
            client.pause = 0.1
            await run_query(client, q)

        async with anyio.create_task_group() as tasks:
            for q in queries:
                tasks.start_soon(read, q)
        peak_mb = memory_mb(router, "VmHWM")
    return {
        "clients": count,
        "megabytes_each": round(batches * 4_000 * 100 / 1e6, 1),
        "before_mb": round(before_mb, 1),
        "peak_mb": round(peak_mb, 1),
        "finished": sum(q.outcome == "finished" for q in queries),
    }


async def measure_large_result(megabytes: int) -> dict[str, float]:
    """Measure one result of this size, read as fast as possible."""
    batches = megabytes * 1_000_000 // 400_000
    async with deployed("flight", 1, operator("flight")) as (fleet, router):
        q, client = (
            query(batches * 4_000, batches, 84, client_timeout_ms=6_000),
            ByteCountingFlight(fleet.world, router.flight_port),
        )
        before_mb, started_at, cpu_used = memory_mb(router, "VmRSS"), time.monotonic(), cpu_seconds(router)
        await run_query(client, q)
        return {
            "megabytes": round(client.bytes / 1e6),
            "seconds": round(time.monotonic() - started_at, 2),
            "cpu_ms_a_megabyte": round(
                1000 * (cpu_seconds(router) - cpu_used) / max(client.bytes / 1e6, 1e-9), 2
            ),
            "before_mb": round(before_mb, 1),
            "peak_mb": round(memory_mb(router, "VmHWM"), 1),
            "how": q.outcome,
        }


async def measure(seconds: float) -> dict[str, object]:
    """Run all measurements; return their figures."""
    pairs = {f"{front} to {engines}": await measure_wide(front, engines, seconds) for front, engines in PAIRS}
    lookups = {front: await measure_small(front, 300) for front in ("mysql", "flight")}
    base = pairs["mysql to line"]["rows_a_second"]
    return {
        "wide": pairs,
        "flight_to_flight_over_mysql_to_line": round(pairs["flight to flight"]["rows_a_second"] / base, 1),
        "small_lookups": lookups,
        "flight_over_mysql": round(lookups["flight"]["median_ms"] / lookups["mysql"]["median_ms"], 2),
        "slow_clients": await measure_slow_clients(SLOW_CLIENTS, 8),
        "one_gigabyte": await measure_large_result(1_000),
    }
