"""Clients that close with much unread, on processes: nothing is begun for them 0.1 s after they have left."""

import secrets
import socket
import struct
import tempfile
import time
from enum import Enum
from pathlib import Path

import anyio
import pytest

from hillchute.lab.clients import MySQLClient, Query
from hillchute.lab.fleet import Fleet, Router
from hillchute.lab.flood_client import LOGIN, packet
from hillchute.lab.world import EngineWorld, RunRecord

MAX_BEGIN_DELAY = 0.1  # seconds after its client left in which a run may still begin
WRITE_SECONDS = 0.15
WATCH_SECONDS = 1.5
FEW, MANY = 50, 2_000  # commands written at once; many are more than the kernel's buffers hold unread
RESET = struct.pack("ii", 1, 0)


class Close(Enum):
    """How the client leaves."""

    CLOSE = "close"
    RESET = "reset"
    SHUTDOWN = "shutdown"  # as a close whose answers were all read: no reset tells the router of it


def query(id: str, ms: int) -> bytes:
    fields = f"route=lookup,trace={id},patience=2900,weight=20.0,mb=1"
    return packet(0, f"\x03/* {fields} */ SELECT /* lab ms={ms} */ 1 FROM sales_17.orders".encode())


async def write_and_leave(
    port: int, ids: list[str], first_ms: int, how: Close
) -> tuple[socket.socket, float]:
    """Writes a login and all queries without reading; returns the socket and when the client left."""
    client = socket.create_connection(("127.0.0.1", port))
    client.setblocking(False)
    data = LOGIN + b"".join(query(id, first_ms if id == ids[0] else 5) for id in ids)
    until = time.monotonic() + WRITE_SECONDS
    while data and time.monotonic() < until:
        try:
            data = data[client.send(data) :]
        except BlockingIOError:
            await anyio.sleep(0.005)
    await anyio.sleep(0.05)
    if how is Close.SHUTDOWN:
        client.shutdown(socket.SHUT_WR)
    else:
        if how is Close.RESET:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        client.close()
    return client, time.time()


async def runs_begun_late(count: int, first_ms: int, how: Close) -> list[RunRecord]:
    with tempfile.TemporaryDirectory(prefix="hillchute-") as folder:
        async with anyio.create_task_group() as tasks:
            world = EngineWorld(seed=1)
            fleet = Fleet(world, "line", tasks)
            await fleet.start(3)
            router = Router(Path(folder), fleet.bus.port)
            await router.start()
            try:
                await anyio.sleep(0.3)
                ids = [secrets.token_hex(8) for _ in range(count)]
                client, left_at = await write_and_leave(router.port, ids, first_ms, how)
                await anyio.sleep(WATCH_SECONDS)
                client.close()
                late = [run for run in world.runs if run.started_at > left_at + MAX_BEGIN_DELAY]
                probe = Query("lookup", "SELECT 1 FROM sales_17.orders")
                await MySQLClient(world, router.port).run(probe)
                assert probe.outcome == "finished"
                assert probe.id in {run.id for run in world.runs}
                return late
            finally:
                with anyio.CancelScope(shield=True):
                    await router.stop()
                    await fleet.close()
                tasks.cancel_scope.cancel()


@pytest.mark.real_time
@pytest.mark.parametrize(
    ("count", "first_ms", "how"),
    [
        (FEW, 300, Close.CLOSE),
        (FEW, 5, Close.SHUTDOWN),
        (MANY, 300, Close.CLOSE),
        (MANY, 5, Close.RESET),
    ],
)
def test_queries_of_a_client_that_left_with_much_unread_are_not_begun(
    count: int, first_ms: int, how: Close
) -> None:
    """Guards against requests that are sent on after their client has closed its connection."""
    assert anyio.run(runs_begun_late, count, first_ms, how) == []


@pytest.mark.real_time
def test_queries_of_a_client_that_shut_down_with_more_unread_than_the_kernel_holds_are_not_begun() -> None:
    """Guards against requests that are sent on because the end of the connection is behind unread bytes."""
    assert anyio.run(runs_begun_late, MANY, 300, Close.SHUTDOWN) == []
