"""Idle clients fill the sessions of a router; some clients give up (KILL QUERY), others leave and come."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import *  # noqa: F403

CYCLES = 90
ACTIVE = 150  # sessions that are kept and send a lookup in each cycle
GIVING_UP = 25  # clients per cycle that give up a report
CROWD = 420  # clients that asked once and keep their connection: with the others more than the router admits
STEPS = 150  # of a burst, about a millisecond each: in each step a client comes, asks once and stays
LEAVING = 50  # idle clients that leave during a burst


def packet(sequence, payload):
    return len(payload).to_bytes(3, "little") + bytes([sequence]) + payload


def connect(port, *commands):
    """A session whose login and first command are written before the greeting was read."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(packet(1, LOGIN) + b"".join(packet(0, command) for command in commands))
    sock.setblocking(False)
    return sock


def connection_id(sock):
    data = sock.recv(65536)
    return struct.unpack_from("<I", data, data.index(b"\0", 5) + 1)[0]


def query(group, work_ms, patience_ms):
    trace = secrets.token_hex(8)
    fields = f"route={group},trace={trace},patience={patience_ms},weight={work_ms},mb=8"
    return packet(0, b"\x03" + f"/* {fields} */ SELECT a, b, c FROM sales_{int(trace[:2], 16) % 40}.orders".encode())


def is_open(sock):
    """Reads what has arrived; False once the router has closed the connection."""
    try:
        return sock.recv(65536) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False


def burst(port, active, numbers, idle, newcomers, refused):
    """Lookups on kept sessions; clients that give up; with the disruption, idle clients that come and leave."""
    for sock in active:
        try:
            sock.sendall(query("lookup", 200, 7000))
        except OSError:
            pass
    killers, left = [], 0
    for step in range(STEPS):
        try:
            if step % (STEPS // GIVING_UP) == 0 and numbers:
                killers.append(connect(port, b"\x03KILL QUERY %d" % numbers.pop()))
            if TROUBLE:
                newcomers.append(connect(port, query("lookup", 200, 7000)[4:]))
        except OSError as error:
            refused.append(error)
        if TROUBLE and step % (STEPS // LEAVING) == 0 and idle:
            sock = idle.pop(random.randrange(-(-len(idle) // 2)))  # of the half that has been idle for longer
            sock.close()
            left += 1
        time.sleep(0.0002)
    return killers, left


async def case(record, folder, ends):
    bus = Bus(record)
    await bus.start()
    engines = [Engine(n, record, lambda q: 6.0 if q["group"] == "report" else 0.03) for n in range(1, 9)]
    for engine in engines:
        await engine.start()
    bus.tell([(engine, "Ready", 0) for engine in engines], whole=True)
    classes = [
        group("lookup", 1500, 1.5, 7500, "repeatable", 1.0),
        group("report", 2000, 2.5, 15000, "repeatable", 5.0),
        group("event-load", 3000, 3.0, 25000, "by_key", 4.0, 25000, True),
    ]
    router = Router(record, folder, "n1", configuration(engines, bus.port, classes, cores=16))
    ends.append(router)
    await router.start()
    port = router.port
    active = [connect(port) for _ in range(ACTIVE)]
    idle, giving_up, cycle = [], [], 0
    for cycle in range(CYCLES):
        started = time.time()
        if router.process.returncode is not None:
            break
        try:
            idle = [sock for sock in idle if is_open(sock)]
            while TROUBLE and len(idle) < CROWD:
                idle.append(connect(port))
                if len(idle) % 60 == 0:
                    await asyncio.sleep(0.02)
            active = [sock for sock in active if is_open(sock)]
            active += [connect(port) for _ in range(ACTIVE - len(active))]
            for sock in giving_up:
                sock.close()
            giving_up = [connect(port) for _ in range(GIVING_UP)]
        except OSError as error:
            record.write(f"connect: {error!r}")
            await asyncio.sleep(0.2)
            continue
        await asyncio.sleep(0.15)
        numbers = []
        for sock in giving_up:
            try:
                numbers.append(connection_id(sock))
                sock.sendall(query("report", 2000, 12_000))
            except (OSError, ValueError):
                pass
        await asyncio.sleep(0.2)
        newcomers, refused = [], []
        killers, left = await asyncio.to_thread(burst, port, active, numbers, idle, newcomers, refused)
        record.write(f"cycle {cycle}: {len(active)} lookups, {len(killers)} clients give up, {left} idle clients leave, "
                     f"{len(newcomers)} come, ask once and stay; {len(refused)} connects failed")
        idle += newcomers
        await asyncio.sleep(0.5)  # a client that has given up closes its own session half a second later
        for sock in killers:
            sock.close()
    await asyncio.sleep(0.5)
    if router.process.returncode is None:
        check = await Session(record, port).open()
        await check.ping()
        return []
    lines = [line.strip(" |") for line in router.log_text().splitlines() if "Error" in line or "File" in line]
    record.write("last lines of the router's output: " + " / ".join(lines[-4:]))
    return [f"the router process ended by itself with exit code {router.process.returncode} in cycle {cycle}: {lines[-1]}"]


play(Path(__file__).parent, case)
