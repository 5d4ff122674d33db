"""Failures of system calls on sockets: each documented errno, at each call of a scripted run."""

import socket
import time
from collections.abc import Iterator

import pytest
from rounds_by_hand import LOGIN, PING, QUIT, SELECT, RouterHarness, query, tcp_info

from hillchute.engines import events, words
from hillchute.engines.line.links import LineConnection, LineConnections
from hillchute.fronts.mysql.packets import FAILED, MAX_QUEUED_COMMANDS, OK
from hillchute.lab import deployment
from hillchute.lab.faulty_system import DOCUMENTED_ERRNOS, Fault, FaultySystemCalls
from hillchute.log import Log
from hillchute.net.poller import Poller, ReadySocket

LOCAL_ERRNO_NAMES = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"}


class ScriptedSystemCalls(FaultySystemCalls):
    """Idle times come from the script, because the router's clock advances by rounds in these tests."""

    received_ms_ago = 0  # age of the last bytes received, on every connection

    def tcp_info(self, sock: socket.socket) -> bytes:
        """Fail if this call was chosen, and otherwise return the script's idle time."""
        super().tcp_info(sock)
        return tcp_info(self.received_ms_ago)


def run_script(fault: Fault) -> tuple[FaultySystemCalls, bool, list[str | int], list[int]]:
    """Run an idempotent and a non-idempotent query, a client that leaves, one that pipelines many commands
    and one that logs out; then, without faults, a client that must be served as usual.

    The router's clock advances by rounds. With the real clock, a busy machine may take over 100 ms to read
    each of two queries, and the router then rightly rejects the second.

    Returns the system calls, whether the first client's connection ended, the answers to the first client,
    and the failures counted against each engine.
    """
    system = ScriptedSystemCalls(fault)
    rig = RouterHarness(
        system, table=deployment.make_configuration(sockets=128, mutating=True), clock_advances_by_rounds=True
    )
    try:
        first = rig.connect_client(LOGIN + query(1))
        rig.run_until(lambda: first.answers() or first.closed_by_peer)
        if not first.closed_by_peer:
            first.write(query(2, "change"))
            rig.run_until(lambda: len(first.answers()) == 2 or first.closed_by_peer)
        leaving = rig.connect_client(LOGIN + query(3))
        rig.run_rounds()
        leaving.close()
        pipelining = rig.connect_client(LOGIN + query(4) + 3 * MAX_QUEUED_COMMANDS * PING)
        rig.run_until(
            lambda: pipelining.closed_by_peer
            or pipelining.read_payloads().count(OK) == 3 * MAX_QUEUED_COMMANDS + 1
        )
        rig.connect_client(LOGIN + QUIT)
        rig.run_rounds(2)
        assert rig.received_attempts.count(f"{2:016x}") <= 1
        system.fault = None
        last = rig.connect_client(LOGIN + query(5))
        rig.run_until(lambda: last.answers())
        # An engine that has refused a connection is treated as restarted: it gets few queries at first.
        assert last.answers() == ["served"] or (
            fault.errno_name == "ECONNREFUSED" and last.answers() == [1040]
        )
        assert rig.service.mysql_frontend.listener is not None
        assert not rig.log.faults()
        failures = [e.failures for e in rig.service.reducer.scheduler.engines.values()]
        return system, first.closed_by_peer, first.answers(), failures
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
    rig = RouterHarness(
        system, table=deployment.make_configuration(sockets=128, mutating=True), clock_advances_by_rounds=True
    )
    client = rig.client_after_served_query()
    for late_ms, route, answer in (
        (90, "lookup", "served"),
        (150, "lookup", "served"),
        (150, "change", 1040),
    ):
        rig.received_attempts.clear()
        # Each query is in a new window: a single late one may follow a pause that is over.
        rig.advance_clock(0.15)
        system.received_ms_ago = late_ms
        before = len(client.answers())
        client.write(query(2 + before, route))
        rig.run_until(lambda before=before: len(client.answers()) > before)
        assert client.answers()[before:] == [answer]
        assert len(rig.received_attempts) == (answer == "served")
    rig.close()


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOMEM"])
def test_accept_pauses_while_descriptors_or_memory_are_exhausted_and_resumes_after_that(error: str) -> None:
    system = FaultySystemCalls(Fault("accept", error, count=10**6))
    rig = RouterHarness(system)
    client = rig.connect_client(LOGIN + query(1))
    rig.run_rounds(50)
    assert system.calls["accept"] == 1
    assert rig.service.rounds.idle  # the next accept is made by the sweep, so the event loop does not spin
    rig.service.mysql_frontend.sweep()
    rig.run_rounds(50)
    assert system.calls["accept"] == 2
    faults = [fields for event, fields in rig.log.lines if event == "fault"]
    assert faults[0]["error"] == "AcceptPausedError"
    assert faults[0]["remedy"]
    system.fault = None
    rig.run_until(lambda: client.answers())
    assert client.answers() == ["served"]
    rig.close()


def test_query_with_an_ordering_key_waits_while_earlier_connections_cannot_be_accepted() -> None:
    system = FaultySystemCalls()
    rig = RouterHarness(system)
    connected = rig.client_after_served_query()
    system.fault = Fault("accept", "ENFILE", system.calls["accept"] + 1, count=10**6)
    key = {"route": "event-load", "entity": "ab", "patience": 8_000}
    earlier = rig.connect_client(LOGIN + query(1, nonce="01", **key))
    rig.run_rounds()
    time.sleep(0.3)  # the protocol asks for 250 ms after a query of the same key on a new connection
    connected.write(query(2, nonce="02", **key))
    rig.run_rounds(20)
    # An earlier query of the same key may still be in the kernel's backlog.
    assert rig.received_attempts == []
    system.fault = None
    rig.run_until(lambda: len(earlier.answers()) == 1 and len(connected.answers()) == 2)
    assert rig.received_attempts == [f"{1:016x}", f"{2:016x}"]
    rig.close()


@pytest.fixture
def rig() -> Iterator[RouterHarness]:
    """A router with a non-idempotent resource group, a client that is logged in and an idle connection."""
    rig = RouterHarness(FaultySystemCalls(), table=deployment.make_configuration(sockets=128, mutating=True))
    rig.first = rig.client_after_served_query()
    yield rig
    rig.close()


def test_non_idempotent_run_is_sent_on_another_connection_if_the_engine_closes_an_idle_one(
    rig: RouterHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine closes the connection after the round has polled and before the run is written."""
    poll = rig.service.poller.poll

    def poll_then_close() -> list[ReadySocket]:
        ready = poll()
        rig.engine_connections[0].close()
        return ready

    monkeypatch.setattr(rig.service.poller, "poll", poll_then_close)
    rig.first.write(query(5, "change"))
    rig.service.event_loop.round()
    monkeypatch.undo()
    rig.run_until(lambda: len(rig.first.answers()) == 2)
    assert rig.first.answers()[1] == "served"
    assert rig.received_attempts == [f"{5:016x}"]


def test_non_idempotent_run_is_retried_if_no_byte_of_it_was_sent(rig: RouterHarness) -> None:
    rig.answers_at_once = False
    other = rig.connect_client(LOGIN + query(4))
    rig.run_until(lambda: len(rig.received_attempts) == 1)  # the connection is in use
    calls = rig.system.calls["send"]
    rig.system.fault = Fault("send", "ECONNRESET", calls + 1)
    rig.answers_at_once = True
    rig.first.write(query(5, "change"))
    rig.run_until(lambda: len(rig.first.answers()) == 2 and other.answers())
    assert rig.first.answers()[1] == "served"
    assert rig.received_attempts.count(f"{5:016x}") == 1


def test_non_idempotent_run_is_not_retried_if_a_byte_of_it_was_sent(rig: RouterHarness) -> None:
    calls = rig.system.calls["send"]
    rig.system.fault = Fault("send", max_bytes=1, first=calls + 1)
    rig.first.write(query(5, "change"))
    rig.service.event_loop.round()
    rig.system.fault = Fault("send", "ECONNRESET", calls + 2)
    rig.run_until(lambda: len(rig.first.answers()) == 2)
    assert rig.first.answers()[1] == FAILED[0]
    assert rig.received_attempts == []


def test_runs_of_a_batch_that_the_kernel_has_not_accepted_can_be_withdrawn(rig: RouterHarness) -> None:
    (connection,) = rig.service.links.connections.values()
    runs = [words.StartRun(f"{n:016x}", "lookup", 900, None, None, SELECT.encode()) for n in (6, 7, 8)]
    rig.service.links.send_obstacle = lambda connection, id: None
    rig.system.fault = Fault("send", max_bytes=5, first=rig.system.calls["send"] + 1)
    rig.service.links.write(connection, runs)
    assert [item.command for item in connection.queue] == runs[1:]
    connection.enqueue(words.CancelRun(runs[1].id), 0)
    connection.buffered_socket.flush()
    rig.service.links.write_queued(connection)
    rig.run_rounds(2)
    assert rig.received_attempts == [runs[0].id, runs[2].id]


def test_run_is_not_written_if_its_client_does_not_wait_any_more(rig: RouterHarness) -> None:
    (connection,) = rig.service.links.connections.values()
    run = words.StartRun("a" * 16, "lookup", 900, None, None, SELECT.encode())
    rig.service.links.write(connection, [run])
    rig.run_rounds(2)
    assert rig.received_attempts == []


def test_queued_run_is_withdrawn_if_its_client_leaves_while_the_engine_does_not_read() -> None:
    """The first runs fill the connection; runs queued after them are withdrawn when their clients leave."""
    system = FaultySystemCalls()
    rig = RouterHarness(system)
    rig.client_after_served_query()
    rig.answers_at_once = False
    connection = next(iter(rig.service.links.connections.values()))
    staying, leaving = rig.connect_client(), rig.connect_client()
    rig.run_until(
        lambda: len(rig.service.mysql_frontend.clients) == 3
        and not rig.service.mysql_frontend.session_limiter.incomplete_steps
    )
    staying.write(query(6))
    system.fault = Fault("send", max_bytes=9, first=system.calls["send"] + 1, count=1)
    rig.service.event_loop.round()
    assert connection.buffered_socket.unsent  # only nine bytes of the first run were sent
    system.fault = Fault("send", "EAGAIN", first=1, count=10**9)
    leaving.write(query(7))
    rig.run_rounds()
    assert [item.command.id for item in connection.queue] == [f"{7:016x}"]
    leaving.reset()
    rig.run_rounds()
    system.fault = None
    rig.run_rounds(5)
    assert rig.received_attempts == [f"{6:016x}"]
    rig.close()


def test_time_limit_of_a_run_is_reduced_by_its_time_in_the_queue() -> None:
    connection = LineConnection(1)
    connection.enqueue(words.StartRun("a", "lookup", 100, None, None, b"SELECT"), 0)
    connection.enqueue(words.StartRun("b", "lookup", 100, None, None, b"SELECT"), 0)
    assert connection.dequeue(700).timeout_ms == 30
    assert connection.dequeue(1_700).timeout_ms <= 0


def test_connection_aborted_before_it_was_accepted_does_not_delay_the_next() -> None:
    rig = RouterHarness(FaultySystemCalls(Fault("accept", "ECONNABORTED")))
    client = rig.connect_client(LOGIN + query(1))
    rig.run_rounds(4)  # without a sweep
    assert not rig.service.mysql_frontend.paused
    assert client.answers() == ["served"]
    rig.close()


def test_ready_connection_that_was_closed_since_the_poll_is_ignored() -> None:
    with socket.create_server(("127.0.0.1", 0)) as engine:
        poller = Poller()
        handled: list[events.Event] = []
        links = LineConnections(poller, Log("n", -1), handled.append, lambda: 0, lambda *_: None)
        links.open(1, *engine.getsockname(), tasks=None)
        connection = links.connections[1]
        assert connection.buffered_socket is None
        links.close_connection(1)
        links.ready(connection, readable=False, writable=True)
        assert not handled
        poller.epoll.close()
