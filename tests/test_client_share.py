"""No client's commands delay or starve another's: the share of a session in a round of the event loop."""

from collections.abc import Iterator

import pytest
from rounds_by_hand import LOGIN, PING, RouterHarness, packet, query

from hillchute.fronts.mysql import door
from hillchute.fronts.mysql.packets import MAX_QUEUED_COMMANDS, OK, Session
from hillchute.router.round_schedule import RoundSchedule
from hillchute.statements.request import Request

FLOOD_COMMANDS = 1_000
UNSOUND_STATEMENT = packet(0, b"\x03SELECT 1")
KILL_UNKNOWN = packet(0, b"\x0c\x01\x00\x00\x00")
INIT_DATABASE = packet(0, b"\x02lake")


@pytest.fixture
def rig() -> Iterator[RouterHarness]:
    rig = RouterHarness()
    yield rig
    assert not rig.log.faults()
    rig.close()


@pytest.mark.parametrize(
    "command",
    [PING, UNSOUND_STATEMENT, KILL_UNKNOWN, INIT_DATABASE],
    ids=["ping", "unsound", "kill", "init db"],
)
def test_commands_written_without_pause_are_executed_a_few_a_round(
    rig: RouterHarness, command: bytes
) -> None:
    """Guards against a client that delays all others by the commands that it writes without pause."""
    client = rig.connect_client()
    rig.run_until(lambda: client.read_payloads().count(OK) == 1)
    client.write(FLOOD_COMMANDS * command)
    before = len(client.read_payloads())
    for _ in range(20):
        rig.run_rounds()
        answered = len(client.read_payloads())
        assert answered - before <= door.WORK_PER_ROUND
        before = answered
    rig.run_until(lambda: len(client.read_payloads()) == 2 + FLOOD_COMMANDS)


def test_commands_that_wait_for_their_round_are_executed_without_new_input(rig: RouterHarness) -> None:
    """Guards against commands that wait until their client writes again."""
    client = rig.connect_client(LOGIN + MAX_QUEUED_COMMANDS * PING)
    rig.run_rounds()
    assert rig.service.poller.poll(), "the next round is not due"
    rig.run_until(lambda: client.read_payloads().count(OK) == 1 + MAX_QUEUED_COMMANDS)
    rig.run_rounds(2)
    assert not rig.service.poller.poll(), "the event loop goes on without work"


def test_session_with_commands_that_wait_is_not_evicted(rig: RouterHarness) -> None:
    """Guards against commands that are lost because their session counts as idle."""
    client = rig.connect_client(LOGIN + MAX_QUEUED_COMMANDS * PING)
    rig.run_rounds()
    (session,) = rig.service.mysql_frontend.clients.values()
    assert session.session.has_command and session.has_unread()
    assert client.read_payloads()


def test_last_commands_of_a_client_that_closes_include_its_cancellation(rig: RouterHarness) -> None:
    """Guards against a KILL QUERY that is not executed because of the commands before it."""
    rig.answers_at_once = False
    waiting = rig.connect_client(LOGIN + query(1))
    rig.run_until(lambda: rig.received_attempts)
    (number,) = rig.service.reducer.unanswered
    leaving = rig.connect_client()
    rig.run_until(lambda: leaving.read_payloads().count(OK) == 1)
    leaving.write(3 * MAX_QUEUED_COMMANDS * PING + packet(0, b"\x03KILL QUERY %d" % number))
    leaving.close()
    rig.run_until(lambda: not rig.service.reducer.unanswered)
    assert not waiting.answers()


def test_read_ahead_leaves_commands_with_their_time_of_arrival() -> None:
    """Guards against queries whose deadline counts from when a later one was read."""
    session = Session(1, 65_536)
    session.feed(LOGIN + 2 * MAX_QUEUED_COMMANDS * PING, received_at=100)
    session.feed(PING, received_at=900)
    arrivals = []
    while session.queue:
        arrivals.append(session.queue[0][2])
        session.command(1)
        session.busy = False
    assert len(arrivals) == 2 + 2 * MAX_QUEUED_COMMANDS
    assert set(arrivals) == {100}


def request(number: int) -> Request:
    return Request(f"{number:016x}", "lookup", 30_000, b"SELECT 1")


def test_queries_that_timed_out_do_not_hold_up_the_others() -> None:
    """Guards against queries that are never taken beside a client that writes far ahead of its answers."""
    schedule = RoundSchedule()
    for number in range(20):
        schedule.enqueue(number, request(number), received_at=0, ready_at=100_000, answer_by=50_000)
    schedule.enqueue(99, request(99), received_at=100_000, ready_at=100_000, answer_by=130_000)
    taken = [pending.session for pending in schedule.take_queries(100_000)]
    assert sorted(taken) == [*range(20), 99]

    class Endless:
        """A client that has the next overdue query ready whenever one was taken."""

        def __iter__(self) -> Iterator[int]:
            schedule.enqueue(100, request(100), received_at=90_000, ready_at=100_000, answer_by=130_000)
            for count, pending in enumerate(schedule.take_queries(100_000)):
                yield pending.session
                schedule.enqueue(count, request(count), received_at=0, ready_at=100_000, answer_by=50_000)
                if count == 10:
                    return

    schedule.enqueue(1, request(1), received_at=0, ready_at=100_000, answer_by=50_000)
    assert 100 in list(Endless())[:4]


def test_query_written_ahead_counts_from_when_it_could_be_taken() -> None:
    """Guards against queries that are taken before all others because they were written long ahead."""
    schedule = RoundSchedule()
    schedule.enqueue(1, request(1), received_at=0, ready_at=5_000, answer_by=30_000)
    schedule.enqueue(2, request(2), received_at=4_000, ready_at=4_000, answer_by=30_000)
    assert [pending.session for pending in schedule.take_queries(5_000)] == [2, 1]


def test_query_that_is_overdue_when_it_is_taken_is_rejected_and_no_fault() -> None:
    """Guards against fault lines, with the trace of the last events, that any client can cause."""
    rig = RouterHarness(clock_advances_by_rounds=True)
    client = rig.client_after_served_query()
    rig.answers_at_once = False
    client.write(query(1, patience=3_000) + query(2, patience=200))
    rig.run_rounds(3)
    rig.advance_clock(0.4)
    rig.run_rounds(1)
    rig.engine_connections[0].serve(f"{1:016x}")
    rig.run_until(lambda: len(client.answers()) == 3)
    assert client.answers()[1:] == ["served", 1040]
    assert not [fields for event, fields in rig.log.lines if event in ("fault", "answered_late")]
    assert rig.received_attempts == [f"{1:016x}"]
    rig.close()
