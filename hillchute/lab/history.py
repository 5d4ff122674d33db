"""Measures the cost of the answer history, on router processes and on simulated replicas.

    python -m hillchute.lab.history --json

Measures the time that copies and the disk add to a keyed query, the effect on lookups, memory per record, and
repair after a router's death. Not to be imported by serving code. The forms are measured in alternation on
one machine, so their times can be compared only with each other.
"""

import argparse
import gc
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import anyio
import orjson

from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record, RecordState
from hillchute.history.retention import RetentionPolicies, RetentionPolicy
from hillchute.history.slot_placement import slot_of
from hillchute.lab.clients import MySQLClient, Query
from hillchute.lab.history_net import EPOCH, SECOND, HistoryNet, initial_policies
from hillchute.lab.processes import RouterCluster

FORMS = ("off", "0 copies", "1 copy", "2 copies", "1 copy, disk")
ROUTERS, QUERIES, ROUNDS = 4, 40, 3
RECORDS = 100_000


class MeasuredCluster(RouterCluster):
    """A fleet without faults, with the history in one of the forms."""

    def __init__(self, seed: int, form: str) -> None:
        super().__init__(seed, ROUTERS, history=form != "off")
        self.form = form

    def policies(self, member) -> str:
        text = super().policies(member)
        copies = 0 if self.form == "off" else int(self.form[0])
        disk = "true" if "disk" in self.form else "false"
        return text.replace("copies: 1", f"copies: {copies}").replace("disk: true", f"disk: {disk}")

    async def ask(self, group: str, count: int, key: str) -> list[float]:
        """Returns the milliseconds of `count` sequential queries, spread over all routers."""
        measured = []
        for n in range(count):
            member = self.members[n % len(self.members)]
            query = Query(group, "SELECT /* lab ms=2 rows=3 */ a FROM sales_1.orders", weight=2.0)
            if group == "event-load":
                query.idempotency_key, query.ordering_key = f"{key}{n:08x}", f"{key}{n:04x}"
            client = MySQLClient(self.world, member.port)
            await client.connect()
            await client.run(query)
            await client.close()
            if query.outcome == "finished":
                measured.append((query.answers[0][0] - query.sent) * 1000)
        return measured


async def measure_query_times(seed: int) -> dict[str, dict[str, object]]:
    """Measures each form in its own fleet; alternates, so that a slow phase of the machine affects all."""
    measured = {form: {"event-load": [], "lookup": []} for form in FORMS}
    for round_number in range(ROUNDS):
        for n, form in enumerate(FORMS):
            cluster = MeasuredCluster(seed + round_number, form)
            with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
                async with anyio.create_task_group() as tasks:
                    await cluster.start(Path(folder), tasks)
                    if cluster.history:
                        await cluster.wait_until_in_force()
                    for group in ("lookup", "event-load"):
                        # Warm-up: opens the connections.
                        await cluster.ask(group, 2 * ROUTERS, f"{round_number:02x}{n:02x}")
                        measured[form][group] += await cluster.ask(
                            group, QUERIES, f"{round_number:02x}{n + 16:02x}"
                        )
                    await cluster.stop()
                    tasks.cancel_scope.cancel()
    return {
        form: {group: quantiles(milliseconds) for group, milliseconds in by.items()}
        for form, by in measured.items()
    }


def quantiles(milliseconds: list[float]) -> dict[str, object]:
    """Returns count, median and 99th percentile of times in milliseconds."""
    milliseconds = sorted(milliseconds)
    if not milliseconds:
        return {"count": 0}
    values = [
        round(milliseconds[min(len(milliseconds) - 1, int(fraction * len(milliseconds)))], 2)
        for fraction in (0.5, 0.99)
    ]
    return {"count": len(milliseconds), "p50_ms": values[0], "p99_ms": values[1]}


def make_record(n: int) -> Record:
    coordinator = (1, f"router-{n % 200}", 1_700_000_000_000, n, 50_000)
    return Record("", f"{n % 20_000:016x}", f"{n:032x}", EPOCH + n, 1, *coordinator, RecordState.SERVED, None)


def measure_record_memory() -> float:
    """Returns the bytes of memory per record without rows."""
    policies, store = RetentionPolicies(default=RetentionPolicy(most=1000)), RecordStore()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(RECORDS):
        store.put(make_record(n), EPOCH + n, 0, policies)
    store.unsaved.clear()  # not read here; with a disk it is emptied at each write
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used_bytes / RECORDS


def measure_repair(seed: int, routers: int = 6) -> dict[str, float]:
    """Measures the repair after the death of a replica, until all slots have their copies again.

    Returns the simulated time and the CPU time of all replicas together.
    """
    net = HistoryNet(seed, routers, initial_policies(copies=1, default=RetentionPolicy(most=1000)))
    if not net.wait_until_settled():
        raise RuntimeError("no view is in force after 30 s of simulated time")
    view = net.replicas["n0"].views.view
    for n in range(RECORDS):
        record = make_record(n)
        for replica in net.replicas.values():
            if replica.name in replica.authority.holders_of(slot_of(record.customer, record.ordering_key)):
                replica.records.put(record, net.now, 0, net.policies)
    for replica in net.replicas.values():
        replica.records.unsaved.clear()
    copies_before = sum(replica.records.count_by_customer.total() for replica in net.replicas.values())
    net.kill("n5")
    began_at, cpu_before = net.now, time.process_time()
    settled = net.wait_until_settled(120)
    copies_after = sum(replica.records.count_by_customer.total() for replica in net.replicas.values())
    return {
        "records": RECORDS,
        "members_before": len(view.members),
        "copies_before": copies_before,
        "copies_after": copies_after,
        "settled": settled,
        "simulated_s": (net.now - began_at) / SECOND,
        "cpu_s": round(time.process_time() - cpu_before, 2),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m hillchute.lab.history", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the runs")
    parser.add_argument("--json", action="store_true", help="print compact JSON")
    options = parser.parse_args()
    results = {
        "record_bytes": round(measure_record_memory()),
        "repair": measure_repair(options.seed),
        "times": anyio.run(measure_query_times, options.seed),
    }
    option = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    sys.stdout.buffer.write(
        orjson.dumps(results, option=option if not options.json else orjson.OPT_APPEND_NEWLINE)
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
