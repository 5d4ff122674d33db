"""Failures of system calls on sockets: each documented errno, at each call of a scripted run."""

import socket
import time
from collections.abc import Iterator

import pytest
from rounds_by_hand import LOGIN, PING, QUIT, SELECT, Rig, query, tcp_info

from hillchute.engines import events, words
from hillchute.engines.line.links import Link, Links
from hillchute.fronts.mysql.packets import FAILED, MOST_WAITING, OK
from hillchute.lab import deployment
from hillchute.lab.faulty_system import DOCUMENTED_ERRNOS, Fault, FaultySystemCalls
from hillchute.log import Log
from hillchute.net.poller import Poller, ReadySocket

LOCAL_ERRNO_NAMES = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"}


class ScriptedSystemCalls(FaultySystemCalls):
    """Idle times come from the script, because the router's clock advances by turns in these tests."""

    received_ms_ago = 0  # age of the last bytes received, on every connection

    def tcp_info(self, sock: socket.socket) -> bytes:
        """Fail if this call was chosen, and otherwise return the script's idle time."""
        super().tcp_info(sock)
        return tcp_info(self.received_ms_ago)


def run_script(fault: Fault) -> tuple[FaultySystemCalls, bool, list[str | int], list[int]]:
    """Run an idempotent and a non-idempotent query, a client that leaves, one that pipelines many commands
    and one that logs out; then, without faults, a client that must be served as usual.

    The router's clock advances by turns. With the real clock, a busy machine may take over 100 ms to read
    each of two queries, and the router then rightly rejects the second.

    Returns the system calls, whether the first client's connection ended, the answers to the first client,
    and the failures counted against each engine.
    """
    system = ScriptedSystemCalls(fault)
    rig = Rig(system, table=deployment.table(sockets=128, mutating=True), time_by_turns=True)
    try:
        first = rig.client(LOGIN + query(1))
        rig.until(lambda: first.answers() or first.ended)
        if not first.ended:
            first.write(query(2, "change"))
            rig.until(lambda: len(first.answers()) == 2 or first.ended)
        leaving = rig.client(LOGIN + query(3))
        rig.turn()
        leaving.close()
        ahead = rig.client(LOGIN + query(4) + 3 * MOST_WAITING * PING)
        rig.until(lambda: ahead.ended or ahead.hear().count(OK) == 3 * MOST_WAITING + 1)
        rig.client(LOGIN + QUIT)
        rig.turn(2)
        assert rig.wants.count(f"{2:016x}") <= 1
        system.fault = None
        last = rig.client(LOGIN + query(5))
        rig.until(lambda: last.answers())
        # An engine that has refused a connection is treated as restarted: it gets few queries at first.
        assert last.answers() == ["served"] or (
            fault.errno_name == "ECONNREFUSED" and last.answers() == [1040]
        )
        assert rig.service.door.listener is not None
        assert not rig.log.faults()
        failures = [e.failures for e in rig.service.reducer.scheduler.engines.values()]
        return system, first.ended, first.answers(), failures
    finally:
        rig.close()


CASES = [(call, error) for call, errors in DOCUMENTED_ERRNOS.items() for error in errors]


@pytest.mark.parametrize(("call", "error"), CASES)
def test_router_survives_the_failure_of_any_system_call(call: str, error: str) -> None:
    number = 0
    while True:
        number += 1
        system, ended, answers, failures = run_script(Fault(call, error, number))
        if not system.triggered:
            break
        # The fault may end the first client's connection; otherwise both its queries were answered.
        assert ended or len(answers) == 2
        if error in LOCAL_ERRNO_NAMES:
            assert not any(failures)  # a lack of local resources doesn't count against an engine
    assert number > 1, f"the script never calls {call}"


@pytest.mark.parametrize("call", ["receive", "send"])
def test_partial_reads_and_writes_of_any_size_do_not_change_the_answers(call: str) -> None:
    for size in range(1, 120):
        _, _, answers, _ = run_script(Fault(call, max_bytes=size, count=10**6))
        assert answers == ["served", "served"]


def test_queries_are_rejected_and_never_sent_if_all_are_read_late() -> None:
    system = ScriptedSystemCalls()
    rig = Rig(system, table=deployment.table(sockets=128, mutating=True), time_by_turns=True)
    client = rig.connected()
    for late_ms, route, answer in (
        (90, "lookup", "served"),
        (150, "lookup", "served"),
        (150, "change", 1040),
    ):
        rig.wants.clear()
        rig.pass_time(0.15)  # each query in a new window: a single late one may follow a pause that is over
        system.received_ms_ago = late_ms
        before = len(client.answers())
        client.write(query(2 + before, route))
        rig.until(lambda before=before: len(client.answers()) > before)
        assert client.answers()[before:] == [answer]
        assert len(rig.wants) == (answer == "served")
    rig.close()


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOMEM"])
def test_accept_pauses_while_descriptors_or_memory_are_exhausted_and_resumes_after_that(error: str) -> None:
    system = FaultySystemCalls(Fault("accept", error, count=10**6))
    rig = Rig(system)
    client = rig.client(LOGIN + query(1))
    rig.turn(50)
    assert system.calls["accept"] == 1
    assert rig.service.rounds.idle  # the next accept is made by the sweep, so the event loop does not spin
    rig.service.door.sweep()
    rig.turn(50)
    assert system.calls["accept"] == 2
    faults = [fields for event, fields in rig.log.lines if event == "fault"]
    assert faults[0]["error"] == "AcceptPausedError"
    assert faults[0]["remedy"]
    system.fault = None
    rig.until(lambda: client.answers())
    assert client.answers() == ["served"]
    rig.close()


def test_query_with_an_ordering_key_waits_while_earlier_connections_cannot_be_accepted() -> None:
    system = FaultySystemCalls()
    rig = Rig(system)
    connected = rig.connected()
    system.fault = Fault("accept", "ENFILE", system.calls["accept"] + 1, count=10**6)
    key = {"route": "event-load", "entity": "ab", "patience": 8_000}
    earlier = rig.client(LOGIN + query(1, nonce="01", **key))
    rig.turn()
    time.sleep(0.3)  # the protocol asks for 250 ms after a query of the same key on a new connection
    connected.write(query(2, nonce="02", **key))
    rig.turn(20)
    assert rig.wants == []  # an earlier query of the same key may still be in the kernel's backlog
    system.fault = None
    rig.until(lambda: len(earlier.answers()) == 1 and len(connected.answers()) == 2)
    assert rig.wants == [f"{1:016x}", f"{2:016x}"]
    rig.close()


@pytest.fixture
def rig() -> Iterator[Rig]:
    """A router with a non-idempotent resource group, a client that is logged in and an idle connection."""
    rig = Rig(FaultySystemCalls(), table=deployment.table(sockets=128, mutating=True))
    rig.first = rig.connected()
    yield rig
    rig.close()


def test_non_idempotent_run_is_sent_on_another_connection_if_the_engine_closes_an_idle_one(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine closes the connection after the round has polled and before the run is written."""
    poll = rig.service.poller.poll

    def poll_then_close() -> list[ReadySocket]:
        ready = poll()
        rig.talks[0].close()
        return ready

    monkeypatch.setattr(rig.service.poller, "poll", poll_then_close)
    rig.first.write(query(5, "change"))
    rig.service.event_loop.round()
    monkeypatch.undo()
    rig.until(lambda: len(rig.first.answers()) == 2)
    assert rig.first.answers()[1] == "served"
    assert rig.wants == [f"{5:016x}"]


def test_non_idempotent_run_is_retried_if_no_byte_of_it_was_sent(rig: Rig) -> None:
    rig.serving = False
    other = rig.client(LOGIN + query(4))
    rig.until(lambda: len(rig.wants) == 1)  # the connection is in use
    calls = rig.system.calls["send"]
    rig.system.fault = Fault("send", "ECONNRESET", calls + 1)
    rig.serving = True
    rig.first.write(query(5, "change"))
    rig.until(lambda: len(rig.first.answers()) == 2 and other.answers())
    assert rig.first.answers()[1] == "served"
    assert rig.wants.count(f"{5:016x}") == 1


def test_non_idempotent_run_is_not_retried_if_a_byte_of_it_was_sent(rig: Rig) -> None:
    calls = rig.system.calls["send"]
    rig.system.fault = Fault("send", max_bytes=1, first=calls + 1)
    rig.first.write(query(5, "change"))
    rig.service.event_loop.round()
    rig.system.fault = Fault("send", "ECONNRESET", calls + 2)
    rig.until(lambda: len(rig.first.answers()) == 2)
    assert rig.first.answers()[1] == FAILED[0]
    assert rig.wants == []


def test_runs_of_a_batch_that_the_kernel_has_not_accepted_can_be_withdrawn(rig: Rig) -> None:
    (connection,) = rig.service.links.links.values()
    runs = [words.Run(f"{n:016x}", "lookup", 900, None, None, SELECT.encode()) for n in (6, 7, 8)]
    rig.service.links.client_is_waiting = lambda id: True
    rig.system.fault = Fault("send", max_bytes=5, first=rig.system.calls["send"] + 1)
    rig.service.links.write(connection, runs)
    assert [item.command for item in connection.queue] == runs[1:]
    connection.enqueue(words.GiveUp(runs[1].id), 0)
    connection.pipe.flush()
    rig.service.links.write_queued(connection)
    rig.turn(2)
    assert rig.wants == [runs[0].id, runs[2].id]


def test_run_is_not_written_if_its_client_does_not_wait_any_more(rig: Rig) -> None:
    (connection,) = rig.service.links.links.values()
    run = words.Run("a" * 16, "lookup", 900, None, None, SELECT.encode())
    rig.service.links.write(connection, [run])
    rig.turn(2)
    assert rig.wants == []


def test_queued_run_is_withdrawn_if_its_client_leaves_while_the_engine_does_not_read() -> None:
    """The first runs fill the connection; runs queued after them are withdrawn when their clients leave."""
    system = FaultySystemCalls()
    rig = Rig(system)
    rig.connected()
    rig.serving = False
    connection = next(iter(rig.service.links.links.values()))
    staying, leaving = rig.client(), rig.client()
    rig.until(lambda: len(rig.service.door.clients) == 3 and not rig.service.door.seats.steps)
    staying.write(query(6))
    system.fault = Fault("send", max_bytes=9, first=system.calls["send"] + 1, count=1)
    rig.service.event_loop.round()
    assert connection.pipe.unsent  # only nine bytes of the first run were sent
    system.fault = Fault("send", "EAGAIN", first=1, count=10**9)
    leaving.write(query(7))
    rig.turn()
    assert [item.command.id for item in connection.queue] == [f"{7:016x}"]
    leaving.reset()
    rig.turn()
    system.fault = None
    rig.turn(5)
    assert rig.wants == [f"{6:016x}"]
    rig.close()


def test_time_limit_of_a_run_is_reduced_by_its_time_in_the_queue() -> None:
    connection = Link(1)
    connection.enqueue(words.Run("a", "lookup", 100, None, None, b"SELECT"), 0)
    connection.enqueue(words.Run("b", "lookup", 100, None, None, b"SELECT"), 0)
    assert connection.dequeue(700).within == 30
    assert connection.dequeue(1_700).within <= 0


def test_connection_aborted_before_it_was_accepted_does_not_delay_the_next() -> None:
    rig = Rig(FaultySystemCalls(Fault("accept", "ECONNABORTED")))
    client = rig.client(LOGIN + query(1))
    rig.turn(4)  # without a sweep
    assert not rig.service.door.paused
    assert client.answers() == ["served"]
    rig.close()


def test_ready_connection_that_was_closed_since_the_poll_is_ignored() -> None:
    with socket.create_server(("127.0.0.1", 0)) as engine:
        poller = Poller()
        handled: list[events.Event] = []
        links = Links(poller, Log("n", -1), handled.append, lambda: 0, lambda _: True)
        links.open(1, *engine.getsockname(), tasks=None)
        connection = links.links[1]
        assert connection.pipe is None
        links.hang_up(1)
        links.ready(connection, readable=False, writable=True)
        assert not handled
        poller.epoll.close()
