"""A loop that is late: the order of its work, what it turns away, how it ends; runs of the slow loop."""

from types import SimpleNamespace

import pytest
from conftest import LOAD, LOOKUP, REPORT

from hillchute.decision.admission import MOST_LATE
from hillchute.decision.interface import SECOND
from hillchute.fronts.mysql.door import Client, Door
from hillchute.lab import slowloop
from hillchute.net.system_calls import SYSTEM_CALLS
from hillchute.router import loop_lag, round_schedule, shutdown
from hillchute.router.event_trace import EventTrace
from hillchute.router.loop_lag import LoopLag
from hillchute.router.round_schedule import RoundSchedule
from hillchute.router.shutdown import ClientActivity, ShutdownSchedule, ShutdownStep
from hillchute.statements.request import Request


def request(key=None):
    return Request("a" * 16, "lookup", SECOND, b"SELECT 1", key=key)


# ---- whole runs -----------------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(1, 201, 25))
def test_rules_hold_at_three_times_the_load_with_stalls_and_an_end(first):
    broken = {seed: rig.faults for seed in range(first, first + 25) if (rig := slowloop.play(seed)).faults}
    assert not broken


def faults(seeds=12, **known):
    return [fault for seed in range(1, seeds + 1) for fault in slowloop.play(seed, **known).faults]


def test_checker_finds_answers_that_leave_no_time_for_a_pause(monkeypatch):
    monkeypatch.setattr(LoopLag, "answer_margin", lambda self, client_timeout: 0)
    assert any("too late" in fault for fault in faults())


def test_checker_finds_queries_lost_by_an_end_that_does_not_look(monkeypatch):
    monkeypatch.setattr(
        ShutdownSchedule,
        "next_step",
        lambda self, activity, open_sessions: (
            ShutdownStep.EXIT if activity.now > self.signalled_at + 100 else ShutdownStep.CLOSE_SESSIONS
        ),
    )
    assert any("0 answers" in fault for fault in faults())


@pytest.fixture
def no_hangs(monkeypatch):
    monkeypatch.setattr(slowloop, "HANGS", 0)


def stalled_key():
    """Two queries of a key that come during one stall: on a new connection, then on one that is open."""
    rig = slowloop.Rig(1, times=0, term=False)
    start = rig.world.us
    rig.world.coming.clear()
    rig.world.stalls = [(start + 500_000, 600_000)]
    times = {"a" * 16: 0, "b" * 16: 550_000, "c" * 16: 810_000}
    for id, at in times.items():
        key = None if id[0] == "a" else "1" * 16
        rig.asked[id] = slowloop.Asked(
            id, "event-load" if key else "lookup", 30_000, key, fresh=(id[0] == "b") if key else None
        )
        rig.world.at(start + at, rig.come, rig.asked[id])
    slowloop.anyio.run(rig.play)
    assert [a.answers[0][1] for a in rig.asked.values()] == ["finished"] * 3
    return rig.faults


def test_key_keeps_its_order_over_a_stall_though_its_second_query_is_read_first(no_hangs):
    assert stalled_key() == []


def test_checker_finds_a_key_out_of_order(monkeypatch, no_hangs):
    monkeypatch.setattr(round_schedule, "ORDER_SPACING", 10**9)
    assert ["after a later one" in fault for fault in stalled_key()] == [True]


# ---- rounds ---------------------------------------------------------------------------------------


def test_queries_are_taken_in_the_order_in_which_their_bytes_came():
    schedule = RoundSchedule()
    for session, since in ((1, 30), (2, 10), (3, 20)):
        schedule.enqueue(session, request(), since, since, 99 * SECOND)
    assert schedule.discard(3) and not schedule.discard(3)
    assert [w.session for w in schedule.take_queries(0)] == [2, 1]
    assert schedule.idle


def test_query_of_a_key_waits_until_all_that_came_before_is_read():
    schedule = RoundSchedule()
    now = 10 * SECOND
    schedule.record_sockets_read(now, connections_waiting=True)
    schedule.enqueue(1, request(key="k"), now, now, 99 * SECOND)
    schedule.enqueue(2, request(), now + 1, now + 1, 99 * SECOND)
    assert [w.session for w in schedule.take_queries(0)] == [2]
    assert schedule.waits_for_horizon and not schedule.idle
    assert schedule.accept_limit == round_schedule.LISTEN_BACKLOG
    schedule.record_connections_accepted(now, backlog_empty=False)
    schedule.record_sockets_read(now + 10, connections_waiting=True)
    assert not list(schedule.take_queries(0))  # the kernel still holds connections that are older
    schedule.record_connections_accepted(now + 10, backlog_empty=True)
    schedule.record_sockets_read(now + 20, connections_waiting=True)
    assert [w.session for w in schedule.take_queries(0)] == [1]
    assert schedule.accept_limit == round_schedule.ACCEPT_LIMIT


def test_query_of_a_key_does_not_wait_where_nobody_knocks():
    schedule = RoundSchedule()
    schedule.enqueue(1, request(key="k"), SECOND + 400, SECOND + 400, 99 * SECOND)
    schedule.record_sockets_read(SECOND, connections_waiting=False)
    assert [w.session for w in schedule.take_queries(0)] == [1]


def test_query_whose_end_has_come_is_taken_before_older_ones():
    schedule = RoundSchedule()
    schedule.enqueue(1, request(), 10, 10, 9000)
    schedule.enqueue(2, request(), 20, 20, 5000)
    schedule.enqueue(3, request(key="k"), 3000, 3000, 5000)
    assert [w.session for w in schedule.take_queries(5000)] == [2, 1]
    assert [w.session for w in schedule.take_queries(5000 + round_schedule.ORDERED_TIMEOUT_GRACE)] == [3]
    assert schedule.idle and not list(schedule.take_queries(99 * SECOND))


def test_what_a_round_left_goes_first_in_the_next():
    schedule = RoundSchedule()
    links = [Client(n, 100) for n in (1, 2, 3)]
    links[0].served, links[1].served = 7, 6
    assert schedule.least_recently_served(links) == [links[2], links[1], links[0]]


# ---- how late ---------------------------------------------------------------------------------------


def test_pause_is_forgotten_slowly_however_often_it_is_asked():
    late = LoopLag()
    late.record_lag(SECOND, loop_lag.MINIMUM_LAG + 1000)
    for now in range(SECOND, 3 * SECOND, 7):
        late.record_lag(now, 0)
    assert loop_lag.MINIMUM_LAG + 790 <= late.peak_lag <= loop_lag.MINIMUM_LAG + 810


def test_margin_leaves_half_of_a_short_patience():
    late = LoopLag()
    assert late.answer_margin(1000) == 500
    assert late.answer_margin(9 * SECOND) == loop_lag.MINIMUM_LAG + loop_lag.CONNECT_DELAY
    late.record_query_delay(0, SECOND)
    assert late.answer_margin(9 * SECOND) == SECOND + loop_lag.CONNECT_DELAY


def test_pause_that_is_over_is_no_standing_delay():
    late = LoopLag()
    for now in range(0, 3000, 50):  # a pause of 0.2 s, then what came meanwhile, ever less late
        late.record_query_delay(now, max(0, 2000 - now))
    assert late.standing_delay == 0
    for now in range(3000, 6000, 50):
        late.record_query_delay(now, 700 + now % 300)
    assert late.standing_delay >= 700
    late.record_query_delay(6001, 3)
    assert late.standing_delay == 3
    late.record_query_delay(10 * SECOND, 900)
    assert late.standing_delay == 0  # nothing was asked for a while


def test_late_loop_turns_away_what_is_of_least_value_first(harness):
    for _ in range(20):
        harness.router.admits(0, LOOKUP, 0.0)
        harness.router.admits(0, REPORT, 0.0)
    assert harness.router.admits(0, LOOKUP, MOST_LATE / 10)
    assert not harness.router.admits(0, LOOKUP, MOST_LATE / 2)
    assert harness.router.admits(0, REPORT, MOST_LATE - 1) and harness.router.admits(0, LOAD, MOST_LATE - 1)
    assert not harness.router.admits(0, REPORT, MOST_LATE)


# ---- the end ----------------------------------------------------------------------------------------


def step(schedule, *activity, sessions):
    return schedule.next_step(ClientActivity(*activity), sessions)


def test_end_waits_for_quiet_and_for_the_time_in_which_clients_still_come():
    schedule, come = ShutdownSchedule(0, 3 * SECOND, 0), shutdown.MIN_OPEN_TIME
    accept, close = ShutdownStep.ACCEPT, ShutdownStep.CLOSE_SESSIONS
    assert step(schedule, come - 1, 0, 0, 0, sessions=5) is accept
    assert step(schedule, come, come - 1, 0, 0, sessions=5) is accept  # just heard
    assert step(schedule, come, 0, 1, 0, sessions=5) is accept  # a query is open
    assert step(schedule, come, 0, 0, 1, sessions=5) is accept  # an answer is not out
    assert step(schedule, come, 0, 0, 0, sessions=5) is close
    assert step(schedule, come + 1, 0, 0, 0, sessions=5) is close  # they read
    assert step(schedule, come + 2, 0, 0, 0, sessions=0) is ShutdownStep.EXIT


def test_end_comes_in_time_where_clients_go_on_without_end():
    schedule = ShutdownSchedule(0, 3 * SECOND, SECOND // 10)
    assert schedule.answer_by == 3 * SECOND - SECOND // 10
    now = schedule.close_sessions_by
    assert now >= schedule.answer_by + shutdown.ANSWER_SLACK
    assert step(schedule, now - 1, now - 1, 7, 1, sessions=5) is ShutdownStep.ACCEPT
    assert step(schedule, now, now, 7, 1, sessions=5) is ShutdownStep.CLOSE_SESSIONS
    assert step(schedule, schedule.exit_by - 1, now, 7, 1, sessions=5) is ShutdownStep.CLOSE_SESSIONS
    assert step(schedule, schedule.exit_by, now, 7, 1, sessions=5) is ShutdownStep.EXIT


@pytest.mark.parametrize("longest", [100, 300, 1_000, 3_000, 10_000, 30_000])  # 10 ms to 3 s, the most of it
@pytest.mark.parametrize("late", [0, 4_000, 60_000])
def test_sums_of_the_end_fit_before_sigkill_for_every_deadline(longest, late):
    schedule = ShutdownSchedule(0, longest, late)
    assert schedule.answer_by <= schedule.close_sessions_by - min(shutdown.ANSWER_SLACK, longest)
    assert shutdown.ARRIVAL_PERIOD <= schedule.close_sessions_by < schedule.exit_by
    assert schedule.exit_by + shutdown.EXIT_TIME <= longest + shutdown.SIGKILL_DELAY
    # Nobody is hung up on while the protocol lets clients come, whatever the deadline.
    assert not schedule.may_close_sessions(ClientActivity(shutdown.ARRIVAL_PERIOD - 1, 0, 0, 0))
    assert schedule.may_close_sessions(
        ClientActivity(schedule.close_sessions_by, schedule.close_sessions_by, 9, 9)
    )


def test_trace_keeps_the_last_events_with_their_times():
    trace = EventTrace(capacity=150)
    for n in range(200):
        trace.record(n, ("AlarmDue", n))
    batches = list(trace.batches())
    assert [len(batch) for batch in batches] == [100, 50]
    assert batches[-1][-1] == [0.0, "AlarmDue", 199] and batches[0][0] == [-14.9, "AlarmDue", 50]


# ---- sessions ---------------------------------------------------------------------------------------


class Wire:
    """Stands in for a session's pipe."""

    def __init__(self, left=b"", unread=False):
        self.unsent, self.waiting, self.closed = left, unread, False

    def has_unread(self):
        return self.waiting

    def close(self):
        self.closed = True


def door(*wires):
    """A door whose places are all taken by sessions in a step that is not complete."""
    poller = SimpleNamespace(system=SYSTEM_CALLS)
    made = Door(
        len(wires), 1000, poller, RoundSchedule(), None, lambda: 0, lambda session: None, None, None, None
    )
    for number, wire in enumerate(wires):
        client = made.clients[number] = Client(number, 1000)
        client.pipe = wire
        made.seats.in_step(number, number)
    return made


def test_answer_that_is_not_out_keeps_its_place():
    made = door(Wire(left=b"rows"), Wire(unread=True), Wire())
    giving = made.seats.give_way()
    assert made.make_room(iter(list(giving)))
    assert sorted(made.clients) == [0, 1]
    assert made.make_room(iter(()))  # a place is free now


def test_burst_of_unread_sessions_is_asked_once_for_all_newcomers():
    made = door(*[Wire(unread=True) for _ in range(5)], Wire())
    giving = iter(list(made.seats.give_way()))
    assert made.make_room(giving)
    made.seats.in_step(9, 0)
    assert not made.make_room(giving) and next(giving, None) is None


def test_first_query_written_along_with_the_login_counts_from_its_connection():
    made = door(Wire(), Wire())
    early, later = made.clients[0], made.clients[1]
    early.knocked = later.knocked = SECOND
    early.let_in = later.let_in = 2 * SECOND
    assert made.sent(early, 2 * SECOND) == SECOND
    assert made.sent(early, 2 * SECOND) == 2 * SECOND  # not the first any more
    assert made.sent(later, 3 * SECOND) == 3 * SECOND  # it waited for the login's answer
