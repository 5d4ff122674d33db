"""Shutdown on SIGTERM: all received queries are answered, and the process exits before SIGKILL."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio
import orjson
import pytest
from rounds_by_hand import (
    LOGIN,
    MILLISECOND,
    RecordingLog,
    RouterHarness,
    SignalReceiverStandIn,
    ZeroIdleTimeSystemCalls,
    limit_deadlines,
    query,
)

from hillchute.fronts.mysql.packets import FAILED, REFUSED
from hillchute.lab import deployment
from hillchute.router import config, shutdown, signal_handling
from hillchute.router.lifecycle import Lifecycle, Phase
from hillchute.router.round_schedule import ACCEPT_LIMIT
from hillchute.router.shutdown import ShutdownStep

FINAL_ANSWERS = {"served", REFUSED[0], FAILED[0]}
ROOT = Path(__file__).parents[1]
LONGEST_TIMEOUTS_MS = [100, 500, 3_000, 30_000]


@pytest.fixture(params=LONGEST_TIMEOUTS_MS)
def rig(request):
    table = limit_deadlines(request.param, deployment.make_configuration(sockets=128))
    rig = RouterHarness(ZeroIdleTimeSystemCalls(), table=table, clock_advances_by_rounds=True)
    rig.longest = request.param
    yield rig
    rig.close()


def terminate(rig):
    rig.service.lifecycle.enter(Phase.CLOSING)
    rig.service.shutdown.begin()
    return rig.service.shutdown.schedule


def advance_clock_to(rig, time):
    """Advances the clock to a time unless it is already past."""
    rig.advance_clock(max(0, time - rig.clock()) / 10_000)


def step(rig):
    rig.advance_clock_one_round()
    due_step = rig.service.shutdown.advance()
    rig.run_engine()
    return due_step


def test_query_sent_with_its_login_in_the_backlog_is_answered_when_sessions_close(rig):
    schedule = terminate(rig)
    client = rig.connect_client(LOGIN + query(1, patience=rig.longest))
    advance_clock_to(rig, schedule.close_sessions_by)  # the loop paused: the connection was never accepted
    assert step(rig) is ShutdownStep.CLOSE_SESSIONS
    assert (
        len(client.answers()) == 1 and set(client.answers()) <= FINAL_ANSWERS and rig.received_attempts == []
    )


def test_query_on_an_open_connection_is_answered_in_the_step_that_closes_sessions(rig):
    client = rig.connect_client()
    rig.run_rounds(2)
    schedule = terminate(rig)
    advance_clock_to(rig, schedule.close_sessions_by)
    client.write(query(1, patience=rig.longest))
    assert step(rig) is ShutdownStep.CLOSE_SESSIONS
    assert len(client.answers()) == 1 and set(client.answers()) <= FINAL_ANSWERS
    rig.run_rounds(2)
    client.read_payloads()
    assert client.closed_by_peer and not client.was_reset


def test_connection_and_query_within_the_arrival_period_are_served(rig):
    rig.client_after_served_query()
    schedule = terminate(rig)
    advance_clock_to(rig, schedule.signalled_at + 3_000)
    assert step(rig) is ShutdownStep.ACCEPT
    client = rig.connect_client(LOGIN + query(1, patience=rig.longest))
    for _ in range(20):
        step(rig)
    assert client.answers() == ["served"]


def test_hanging_engines_do_not_delay_the_shutdown(rig):
    rig.client_after_served_query()
    rig.answers_at_once = False
    clients = [rig.connect_client(LOGIN + query(n, patience=rig.longest)) for n in range(1, 6)]
    rig.run_until(lambda: len(rig.received_attempts) + sum(len(c.answers()) for c in clients) == 5)
    schedule = terminate(rig)
    signalled_at = rig.clock()
    due_step = ShutdownStep.ACCEPT
    while due_step is not ShutdownStep.EXIT and rig.clock() < schedule.kill_at:
        rig.advance_clock(0.02)
        due_step = step(rig)
        if due_step is ShutdownStep.ACCEPT and rig.clock() < schedule.answer_by - 1_000:
            continue
    assert (
        due_step is ShutdownStep.EXIT
        and rig.clock() <= schedule.exit_by + 20 * MILLISECOND + 100 * MILLISECOND
    )
    for client in clients:
        answers = client.answers()
        assert len(answers) == 1 and answers[0] in FINAL_ANSWERS
    assert schedule.answer_by <= signalled_at + min(rig.longest, 3_000) * MILLISECOND + shutdown.SIGKILL_DELAY


def test_query_that_arrives_while_sessions_are_closed_is_not_run(rig, monkeypatch):
    """The query meets the close of an idle connection; its client sends it again elsewhere."""
    client = rig.client_after_served_query()
    schedule = terminate(rig)
    advance_clock_to(rig, schedule.close_sessions_by)
    close_sessions = rig.service.mysql_frontend.close_sessions

    def write_then_close_sessions():
        client.write(query(7, patience=rig.longest))  # after the last read, before the close
        close_sessions()

    monkeypatch.setattr(rig.service.mysql_frontend, "close_sessions", write_then_close_sessions)
    assert step(rig) is ShutdownStep.CLOSE_SESSIONS
    monkeypatch.undo()
    for _ in range(5):
        step(rig)
    client.read_payloads()
    assert rig.received_attempts == [] and client.closed_by_peer


def test_second_signal_has_no_effect_and_an_endpoint_list_during_shutdown_is_applied(rig, monkeypatch):
    client = rig.client_after_served_query()
    schedule = terminate(rig)
    assert not rig.service.lifecycle.enter(Phase.CLOSING)
    answer_by = schedule.answer_by
    watched = []
    moved_bus = rig.configuration._replace(event_bus_address=("127.0.0.1", 9))
    monkeypatch.setattr(config, "read_configuration", lambda: moved_bus)
    monkeypatch.setattr(rig.service.endpoint_watcher, "watch", lambda bus, tasks: watched.append(bus))
    monkeypatch.setattr(signal_handling.signal, "pthread_sigmask", lambda *_: None)
    monkeypatch.setattr(
        signal_handling.anyio,
        "open_signal_receiver",
        lambda *_: SignalReceiverStandIn(signal.SIGHUP, signal.SIGTERM),
    )
    monkeypatch.setattr(rig.service.signals, "record_arrival", lambda number: None)
    anyio.run(rig.service.signals.listen, rig.service.on_signal)
    assert watched == [("127.0.0.1", 9)] and rig.service.lifecycle.phase is Phase.CLOSING
    assert rig.service.shutdown.schedule is schedule and schedule.answer_by == answer_by
    rig.list_engine(2, state="Terminating")
    client.write(query(1, patience=rig.longest))
    for _ in range(10):
        step(rig)
    assert rig.received_attempts == []  # the engine is draining, so it gets no queries
    advance_clock_to(rig, schedule.close_sessions_by)
    step(rig)
    assert len(client.answers()) == 2


SIGNAL_DURING_STARTUP = """
import os, signal, sys
from hillchute.router import __main__ as program
read = program.config.read_configuration
def read_and_signal():
    os.kill(os.getpid(), signal.SIGTERM)  # it is blocked here
    return read()
program.config.read_configuration = read_and_signal
sys.exit(program.main())
"""
SIGNAL_DURING_A_LONG_ROUND = """
import os, signal, sys, time
from hillchute.fronts.mysql.door import MysqlFrontend
from hillchute.router import __main__ as program
sweep = MysqlFrontend.sweep
def long_sweep(frontend):
    sweep(frontend)
    if frontend.clock() - frontend.made > 2_000:
        os.kill(os.getpid(), signal.SIGTERM)
        end = time.monotonic() + 0.5
        while time.monotonic() < end:
            pass
        MysqlFrontend.sweep = sweep
MysqlFrontend.made = property(lambda frontend: frontend.__dict__.setdefault("since", frontend.clock()))
MysqlFrontend.sweep = long_sweep
sys.exit(program.main())
"""


@pytest.mark.parametrize(
    ("program", "min_ms_ago"),
    [(SIGNAL_DURING_STARTUP, 0), (SIGNAL_DURING_A_LONG_ROUND, 500)],
    ids=["start", "long round"],
)
def test_signal_is_handled_and_timed_from_its_arrival(tmp_path, program, min_ms_ago):
    with socket.create_server(("127.0.0.1", 0)) as free_port:
        port = free_port.getsockname()[1]
    path = tmp_path / "config.json"
    path.write_bytes(
        orjson.dumps(deployment.make_configuration() | {"listen": f"127.0.0.1:{port}", "bus": "127.0.0.1:9"})
    )
    environ = {**os.environ, "EDGE_CONFIG": str(path)}
    process = subprocess.run(
        [sys.executable, "-c", program], env=environ, cwd=ROOT, capture_output=True, timeout=30
    )
    lines = [orjson.loads(line) for line in process.stdout.splitlines()]
    assert process.returncode == 0, process.stderr
    phases = [line["phase"] for line in lines if line["event"] == "phase"]
    assert phases[-3:] == ["closing", "flushing", "stopped"]
    (shutdown_line,) = [line for line in lines if line["event"] == "shutdown"]
    assert shutdown_line["signalled_ms_ago"] >= min_ms_ago


def test_backlog_beyond_the_limit_of_one_round_is_answered_completely():
    rig = RouterHarness(sockets=512)
    schedule = terminate(rig)
    clients = [rig.connect_client(LOGIN + query(n)) for n in range(3 * ACCEPT_LIMIT)]
    advance_clock_to(rig, schedule.close_sessions_by)
    assert step(rig) is ShutdownStep.CLOSE_SESSIONS
    assert all(len(client.answers()) == 1 for client in clients)
    rig.close()


def test_signal_before_the_router_serves_leads_to_shutdown():
    lifecycle = Lifecycle(RecordingLog())
    assert lifecycle.enter(Phase.CLOSING) and not lifecycle.enter(Phase.SERVING)
