"""What the answer history costs, measured on routers as processes and on holders alone.

    python -m hillchute.lab.history --json

Owns the measurement: time added to a keyed query by copies and by the disk, what lookups pay, memory a
record, repair after a death. Must never be imported by anything that serves. Times are of one machine, in
turns, to be compared with each other alone.
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
from hillchute.lab.clients import MySQL, Query
from hillchute.lab.history_net import EPOCH, SECOND, HistoryNet, founded
from hillchute.lab.processes import Together

FORMS = ("off", "0 copies", "1 copy", "2 copies", "1 copy, disk")
ROUTERS, QUERIES, ROUNDS = 4, 40, 3
RECORDS = 100_000


class Measured(Together):
    """A fleet without faults, in one of the forms."""

    def __init__(self, seed: int, form: str) -> None:
        super().__init__(seed, ROUTERS, history=form != "off")
        self.form = form

    def policies(self, member) -> str:
        text = super().policies(member)
        copies = 0 if self.form == "off" else int(self.form[0])
        disk = "true" if "disk" in self.form else "false"
        return text.replace("copies: 1", f"copies: {copies}").replace("disk: true", f"disk: {disk}")

    async def ask(self, group: str, count: int, key: str) -> list[float]:
        """Milliseconds of so many queries, one after another over all routers."""
        took = []
        for n in range(count):
            member = self.members[n % len(self.members)]
            q = Query(group, "SELECT /* lab ms=2 rows=3 */ a FROM sales_1.orders", weight=2.0)
            if group == "event-load":
                q.token, q.key = f"{key}{n:08x}", f"{key}{n:04x}"
            client = MySQL(self.world, member.port)
            await client.open()
            await client.ask(q)
            await client.close()
            if q.how == "finished":
                took.append((q.answered[0][0] - q.sent) * 1000)
        return took


async def times(seed: int) -> dict[str, dict[str, object]]:
    """Each form in its own fleet, all in turns, so that a slow moment of the machine strikes all."""
    took = {form: {"event-load": [], "lookup": []} for form in FORMS}
    for turn in range(ROUNDS):
        for n, form in enumerate(FORMS):
            rig = Measured(seed + turn, form)
            with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
                async with anyio.create_task_group() as tasks:
                    await rig.up(Path(folder), tasks)
                    if rig.history:
                        await rig.settled()
                    for group in ("lookup", "event-load"):
                        await rig.ask(group, 2 * ROUTERS, f"{turn:02x}{n:02x}")  # connections come up
                        took[form][group] += await rig.ask(group, QUERIES, f"{turn:02x}{n + 16:02x}")
                    await rig.down()
                    tasks.cancel_scope.cancel()
    return {form: {group: quantiles(line) for group, line in by.items()} for form, by in took.items()}


def quantiles(line: list[float]) -> dict[str, object]:
    line = sorted(line)
    if not line:
        return {"count": 0}
    at = [round(line[min(len(line) - 1, int(share * len(line)))], 2) for share in (0.5, 0.99)]
    return {"count": len(line), "p50_ms": at[0], "p99_ms": at[1]}


def a_record(n: int) -> Record:
    whose = (1, f"router-{n % 200}", 1_700_000_000_000, n, 50_000)
    return Record("", f"{n % 20_000:016x}", f"{n:032x}", EPOCH + n, 1, *whose, RecordState.SERVED, None)


def memory() -> float:
    """Bytes that a record without rows takes."""
    policies, store = RetentionPolicies(default=RetentionPolicy(most=1000)), RecordStore()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(RECORDS):
        store.put(a_record(n), EPOCH + n, 0, policies)
    store.unsaved.clear()  # nobody reads it here: with a disk it is emptied at each write
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held / RECORDS


def repair(seed: int, routers: int = 6) -> dict[str, float]:
    """A holder of some of them dies; until all slots have their copies again: simulated time, and
    the processor's own that all routers needed."""
    net = HistoryNet(seed, routers, founded(copies=1, default=RetentionPolicy(most=1000)))
    if not net.settled():
        raise RuntimeError("no view came into force")
    view = net.replicas["n0"].views.view
    for n in range(RECORDS):
        record = a_record(n)
        for replica in net.replicas.values():
            if replica.name in replica.authority.holders_of(slot_of(record.customer, record.ordering_key)):
                replica.records.put(record, net.now, 0, net.policies)
    for replica in net.replicas.values():
        replica.records.unsaved.clear()
    held = sum(k.records.count_by_customer.total() for k in net.replicas.values())
    net.kill("n5")
    began, cpu = net.now, time.process_time()
    settled = net.settled(120)
    again = sum(k.records.count_by_customer.total() for k in net.replicas.values())
    return {
        "records": RECORDS,
        "members_before": len(view.members),
        "copies_before": held,
        "copies_after": again,
        "settled": settled,
        "simulated_s": (net.now - began) / SECOND,
        "cpu_s": round(time.process_time() - cpu, 2),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m hillchute.lab.history", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="what the runs are drawn from")
    parser.add_argument("--json", action="store_true", help="print JSON for a machine to read")
    asked = parser.parse_args()
    found = {
        "record_bytes": round(memory()),
        "repair": repair(asked.seed),
        "times": anyio.run(times, asked.seed),
    }
    option = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    sys.stdout.buffer.write(
        orjson.dumps(found, option=option if not asked.json else orjson.OPT_APPEND_NEWLINE)
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
