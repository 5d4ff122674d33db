"""A keyed load loses its answer; the repeat waits for an sql engine that hangs, beyond the window of repeats."""

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import stage as st  # noqa: E402

WINDOW = 12.0 + 0.05  # window_ms of the site's keyed class, and the 50 ms of the protocol page
REQUESTS = 44
WORK = 600.0  # ms of each lookup
SIZE = 14000  # bytes of its statement
GROUP = 5


def in_kernel(engine_port):
    """By the router's port: bytes that the kernel holds for the engine, not acknowledged or unread.

    Both counts may hold the same bytes, so the sum is an upper bound.
    """
    held = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        local, remote = (int(words[n].rpartition(":")[2], 16) for n in (1, 2))
        unsent, unread = (int(number, 16) for number in words[4].split(":"))
        if remote == engine_port:
            held[local] = held.get(local, 0) + unsent
        elif local == engine_port and remote:
            held[remote] = held.get(remote, 0) + unread
    return held


async def body(stage):
    options = (
        "--mss",
        "1460",
        "--rcvbuf",
        "4096",
        "--window",
        "12",
        "--notes",
        "0",
        "--cores",
        "12",
        "--reads",
    )
    engines = {n: stage.engine(f"engine{n}", *options) for n in (1, 2, 3, 4)}
    known = [(n, engines[n][0], "Ready", 0) for n in engines]
    bus = st.Bus(stage.record)
    await bus.start()
    bus.publish(1, known)
    router = st.Router(stage, "n1", stage.config("n1", bus.port, known, **st.fraser()))
    router.start()
    await router.ready()

    def look(group, work, label, bytes_=200):
        tags = ", ".join(f"'{n:08d}'" for n in range(bytes_ // 12))
        statement = f"SELECT /* work={work} */ day, count(*), max(note) FROM yard_{group}.readings WHERE tag IN ({tags})"
        return stage.ask(router.port, "lookup", statement + " GROUP BY day", 5000, weight=work, label=label)

    def load(work, more, key, label):
        statement = (
            f"INSERT /* work={work} {more} */ INTO yard_{GROUP}.readings SELECT day, tag FROM staging.rows"
        )
        return asyncio.create_task(
            stage.ask(router.port, "load", statement, 19000, key, secrets.token_hex(8), float(work), label)
        )

    for n in range(40):
        await look(n % 24, 30.0, "before")
    key = secrets.token_hex(16)
    first = load(4000, "lose=1", key, "the load")
    await asyncio.sleep(0.2)
    await load(30, "", secrets.token_hex(16), "another load")
    wants = {
        line["id"]: (n, line)
        for n in engines
        for line in st.read_jsonl(engines[n][1])
        if line["event"] == "want" and line["key"]
    }
    by_key = {line["key"]: (n, line["at"]) for n, line in wants.values()}
    home, sent = by_key[key]
    other = next(n for k, (n, _) in by_key.items() if k != key)
    stage.record("engines", load=home, other=other)
    if other == home:
        raise st.CannotRun("both loads went to one engine")
    process = engines[other][2]
    if st.TROUBLE:
        process.send_signal(signal.SIGSTOP)
        stage.record("engine hangs", engine=other)
    burst = [asyncio.create_task(look(n % 24, WORK, "burst", SIZE)) for n in range(REQUESTS)]
    await asyncio.sleep(sent + 13.5 - time.time())
    handed_over = {}
    if st.TROUBLE:
        # How far the router had handed its bytes to the kernel by now: what the engine has read, and what
        # the kernel holds. Anything beyond that is sent later.
        held = in_kernel(engines[other][0])
        for line in st.read_jsonl(engines[other][1]):
            if line["event"] in ("connection", "read"):
                handed_over[line["peer"]] = line.get("total", 0) + held.get(line["peer"], 0)
        for peer, count in held.items():
            handed_over.setdefault(peer, count)
        stage.record(
            "engine goes on", engine=other, after=round(time.time() - sent, 2), handed_over=handed_over
        )
        process.send_signal(signal.SIGCONT)
    await first
    await asyncio.gather(*burst)
    await asyncio.sleep(0.3)
    broken = []
    lines = sorted(
        (line["at"], n, line)
        for n in engines
        for line in st.read_jsonl(engines[n][1])
        if line["event"] == "want" and line["key"] == key
    )
    for at, number, line in lines:
        stage.record(
            "the load's submissions",
            engine=number,
            after=round(at - sent, 2),
            begin=line["begin"],
            peer=line["peer"],
        )
        if at - sent > WINDOW and not (number == other and line["begin"] < handed_over.get(line["peer"], 0)):
            broken.append(
                f"load {line['id']}, which had run on s-{home:08x}, came to s-{number:08x} {at - sent:.2f} s "
                "after its first submission: the engines remember its key for 12 s, and it ran again"
            )
    return broken


st.play(HERE, body)
