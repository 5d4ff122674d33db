"""Runs that waited for their connection are checked again right before their first byte is sent."""

from collections.abc import Callable, Iterator

import pytest
from rounds_by_hand import RouterHarness, limit_deadlines, query

from hillchute.decision.interface import MILLISECOND, Submit
from hillchute.decision.query_state import Attempt, QueryState, ResourceGroup
from hillchute.decision.retries import RetryPolicy
from hillchute.decision.statistics import TrafficWindow
from hillchute.engines import words
from hillchute.engines.line.exchange import LineProtocol
from hillchute.engines.line.links import LineConnections
from hillchute.fronts.mysql.packets import FAILED, REFUSED
from hillchute.lab import deployment
from hillchute.lab.faulty_system import Fault, FaultySystemCalls
from hillchute.router import config
from hillchute.router.attempts import Attempts

WINDOW_MS = 200  # for so long engines drop repeats of a keyed query; below the time limit of a connect
KEYED_QUERY = 2
PARTLY_SENT_BYTES = 9


@pytest.fixture
def rig() -> Iterator[RouterHarness]:
    """A router whose engine has lost the answer to a keyed query; the repeat is not sent yet."""
    table = limit_deadlines(8_000, deployment.make_configuration(sockets=128))
    table["settings"]["classes"][2]["window_ns"] = WINDOW_MS * 10**6
    rig = RouterHarness(FaultySystemCalls(), table=table, clock_advances_by_rounds=True)
    rig.client = rig.client_after_served_query()
    rig.answers_at_once = False
    rig.client.write(query(KEYED_QUERY, "event-load", 8_000, nonce="0a", entity="0b"))
    rig.run_until(lambda: rig.received_attempts == [f"{KEYED_QUERY:016x}"])
    rig.engine_connections[0].close()
    rig.engine_connections.clear()
    yield rig
    assert not rig.log.faults()
    rig.close()


def assert_not_sent_again(rig: RouterHarness) -> None:
    rig.run_until(lambda: len(rig.client.answers()) == 2)
    assert rig.client.answers()[1] in (REFUSED[0], FAILED[0])
    rig.run_rounds(10)
    assert rig.received_attempts == [f"{KEYED_QUERY:016x}"]
    assert any(e == "attempt_withheld" and f["reason"] == "repeat_window" for e, f in rig.log.lines)


def let_engine_stop_reading(rig: RouterHarness, accepted_bytes: int = 0) -> None:
    """The kernel accepts only so many bytes of the repeat; then the window of repeats passes."""
    calls = rig.system.calls["send"]
    if accepted_bytes:
        rig.system.fault = Fault("send", max_bytes=accepted_bytes, first=calls + 1, count=1)
    else:
        rig.system.fault = Fault("send", "EAGAIN", first=1, count=10**9)
    rig.run_until(lambda: rig.system.calls["send"] > calls)
    rig.system.fault = Fault("send", "EAGAIN", first=1, count=10**9)
    rig.advance_clock(2 * WINDOW_MS / 1000)


@pytest.mark.parametrize("timer_runs", [True, False], ids=["timer first", "engine reads first"])
def test_repeat_is_not_written_after_the_window_of_repeats(
    rig: RouterHarness, timer_runs: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a keyed query that is applied twice when its repeat waits for a hung engine."""
    if not timer_runs:
        monkeypatch.setattr(Attempts, "on_send_limit", lambda *_: None)
    let_engine_stop_reading(rig)
    if timer_runs:
        rig.run_until(lambda: len(rig.client.answers()) == 2 or not rig.service.reducer.unanswered)
    rig.system.fault = None
    assert_not_sent_again(rig)


def test_repeat_that_was_written_in_part_is_not_completed_after_the_window_of_repeats(
    rig: RouterHarness,
) -> None:
    """Guards against a keyed query that is applied twice when a hung engine reads the rest of its repeat."""
    let_engine_stop_reading(rig, PARTLY_SENT_BYTES)
    rig.run_rounds(2)
    rig.system.fault = None
    rig.run_until(lambda: len(rig.client.answers()) == 2)
    rig.run_rounds(10)
    assert rig.client.answers()[1] in (REFUSED[0], FAILED[0])
    assert rig.received_attempts == [f"{KEYED_QUERY:016x}"]


def test_repeat_is_not_sent_on_a_connection_that_opens_after_the_window_of_repeats(
    rig: RouterHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a keyed query that is applied twice when its repeat waits for a late connect."""
    monkeypatch.setattr(Attempts, "on_send_limit", lambda *_: None)
    finish_connect: Callable[..., None] = LineConnections.finish_connect
    monkeypatch.setattr(LineConnections, "start_connect", start_connect_in_background)
    monkeypatch.setattr(LineConnections, "finish_connect", lambda *_: None)
    rig.run_until(lambda: any(c.connecting_socket for c in rig.service.links.connections.values()))
    rig.advance_clock(WINDOW_MS / 1000)
    monkeypatch.setattr(LineConnections, "finish_connect", finish_connect)
    assert_not_sent_again(rig)


def start_connect_in_background(links: LineConnections, connection, address) -> bool:
    """Connects, but reports that the connect is still under way."""
    connection.connecting_socket.setblocking(True)
    connection.connecting_socket.connect(address)
    connection.connecting_socket.setblocking(False)
    return False


def test_only_a_repeat_that_may_have_run_before_has_a_time_by_which_it_must_be_sent() -> None:
    """Guards against first attempts that are withheld because of the window of repeats."""
    settings = config.parse_configuration(deployment.make_configuration(), {}).settings
    policy = RetryPolicy(settings, TrafficWindow())
    for group in settings.groups:
        state = QueryState("a", ResourceGroup(group), 0, 90_000, None, 0, 1.0, 1.0, None, 1)
        assert policy.send_by(state) is None
        state.first_run = Attempt(1, 500, 1.0, 1.0, open=False)
        keyed = group.name == "event-load"
        window_end = 500 + 25_000 * MILLISECOND
        assert policy.send_by(state) == (window_end - 2 if keyed else None)
        assert policy.may_retry(window_end - 2, state)
        assert policy.may_retry(window_end - 1, state) is not keyed
    assert Submit("a", 1, 10).send_by is None


def test_engine_gets_no_command_on_a_run_that_was_not_written() -> None:
    """Guards against an engine that is asked to cancel a run which it never received."""
    protocol = LineProtocol()
    for command in (words.CancelRun("a"), words.DiscardResult("a"), words.SetPriority("a", 2)):
        assert protocol.encode(command) == b""
        protocol.encode(words.StartRun("a", "lookup", 100, None, None, b"SELECT 1"))
        assert protocol.encode(command)
        protocol.open_runs.clear()
