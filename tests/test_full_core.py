"""A saturated event loop: order of work, lag, rejections and shutdown; runs of the slow-loop simulation."""

from types import SimpleNamespace

import pytest
from conftest import LOAD, LOOKUP, REPORT

from hillchute.decision.admission import MAX_LOOP_LAG
from hillchute.decision.interface import SECOND
from hillchute.fronts.mysql.door import Client, MysqlFrontend
from hillchute.fronts.seats import STEP_TIMEOUT
from hillchute.lab import slowloop
from hillchute.net.system_calls import SYSTEM_CALLS
from hillchute.router import loop_lag, round_schedule, shutdown
from hillchute.router.event_trace import EventTrace
from hillchute.router.loop_lag import LoopLag
from hillchute.router.round_schedule import RoundSchedule
from hillchute.router.shutdown import ClientActivity, ShutdownSchedule, ShutdownStep
from hillchute.statements.request import Request


def request(key=None):
    return Request("a" * 16, "lookup", SECOND, b"SELECT 1", ordering_key=key)


# ---- simulations ----------------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(1, 201, 25))
def test_rules_hold_at_three_times_the_load_with_stalls_and_a_shutdown(first):
    failed = {
        seed: rig.violations for seed in range(first, first + 25) if (rig := slowloop.play(seed)).violations
    }
    assert not failed


def find_violations(seeds=12, **options):
    return [
        violation for seed in range(1, seeds + 1) for violation in slowloop.play(seed, **options).violations
    ]


def test_checker_finds_answers_that_leave_no_time_for_a_pause(monkeypatch):
    monkeypatch.setattr(LoopLag, "answer_margin", lambda self, client_timeout: 0)
    assert any("too late" in violation for violation in find_violations())


def test_checker_finds_queries_lost_by_a_shutdown_that_ignores_client_activity(monkeypatch):
    monkeypatch.setattr(
        ShutdownSchedule,
        "next_step",
        lambda self, activity, open_sessions: (
            ShutdownStep.EXIT if activity.now > self.signalled_at + 100 else ShutdownStep.CLOSE_SESSIONS
        ),
    )
    assert any("0 answers" in violation for violation in find_violations())


@pytest.fixture
def no_hangs(monkeypatch):
    monkeypatch.setattr(slowloop, "HANGING_RUN_SHARE", 0)


def stalled_key():
    """Returns the violations of a run in which two queries of a key arrive during one stall.

    The first arrives on a new connection, the second on an open one.
    """
    rig = slowloop.OverloadSimulation(1, load_factor=0, with_sigterm=False)
    start = rig.world.now_us
    rig.world.event_queue.clear()
    rig.world.stalls = [(start + 500_000, 600_000)]
    times = {"a" * 16: 0, "b" * 16: 550_000, "c" * 16: 810_000}
    for id, at in times.items():
        key = None if id[0] == "a" else "1" * 16
        rig.queries[id] = slowloop.SimulatedQuery(
            id,
            "event-load" if key else "lookup",
            30_000,
            key,
            needs_new_connection=(id[0] == "b") if key else None,
        )
        rig.world.call_at(start + at, rig.send_query, rig.queries[id])
    slowloop.anyio.run(rig.play)
    assert [query.answers[0][1] for query in rig.queries.values()] == ["finished"] * 3
    return rig.violations


def test_key_keeps_its_order_over_a_stall_even_if_its_second_query_is_read_first(no_hangs):
    assert stalled_key() == []


def test_checker_finds_a_key_out_of_order(monkeypatch, no_hangs):
    monkeypatch.setattr(round_schedule, "ORDER_SPACING", 10**9)
    assert ["after a later one" in violation for violation in stalled_key()] == [True]


# ---- rounds ---------------------------------------------------------------------------------------


def test_queries_are_taken_in_order_of_arrival():
    schedule = RoundSchedule()
    for session, received_at in ((1, 30), (2, 10), (3, 20)):
        schedule.enqueue(session, request(), received_at, received_at, 99 * SECOND)
    assert schedule.discard(3) and not schedule.discard(3)
    assert [query.session for query in schedule.take_queries(0)] == [2, 1]
    assert schedule.idle


def test_query_of_a_key_waits_until_all_earlier_input_is_read():
    schedule = RoundSchedule()
    now = 10 * SECOND
    schedule.record_sockets_read(now, connections_waiting=True)
    schedule.enqueue(1, request(key="k"), now, now, 99 * SECOND)
    schedule.enqueue(2, request(), now + 1, now + 1, 99 * SECOND)
    assert [query.session for query in schedule.take_queries(0)] == [2]
    assert schedule.waits_for_horizon and not schedule.idle
    assert schedule.accept_limit == round_schedule.LISTEN_BACKLOG
    schedule.record_connections_accepted(now, backlog_empty=False)
    schedule.record_sockets_read(now + 10, connections_waiting=True)
    assert not list(schedule.take_queries(0))  # the backlog still holds older connections
    schedule.record_connections_accepted(now + 10, backlog_empty=True)
    schedule.record_sockets_read(now + 20, connections_waiting=True)
    assert [query.session for query in schedule.take_queries(0)] == [1]
    assert schedule.accept_limit == round_schedule.ACCEPT_LIMIT


def test_query_of_a_key_does_not_wait_while_the_backlog_is_empty():
    schedule = RoundSchedule()
    schedule.enqueue(1, request(key="k"), SECOND + 400, SECOND + 400, 99 * SECOND)
    schedule.record_sockets_read(SECOND, connections_waiting=False)
    assert [query.session for query in schedule.take_queries(0)] == [1]


def test_timed_out_query_is_taken_before_older_ones():
    schedule = RoundSchedule()
    schedule.enqueue(1, request(), 10, 10, 9000)
    schedule.enqueue(2, request(), 20, 20, 5000)
    schedule.enqueue(3, request(key="k"), 3000, 3000, 5000)
    assert [query.session for query in schedule.take_queries(5000)] == [2, 1]
    assert [
        query.session for query in schedule.take_queries(5000 + round_schedule.ORDERED_TIMEOUT_GRACE)
    ] == [3]
    assert schedule.idle and not list(schedule.take_queries(99 * SECOND))


def test_connections_left_over_from_a_round_are_served_first_in_the_next():
    schedule = RoundSchedule()
    clients = [Client(n, 100) for n in (1, 2, 3)]
    clients[0].last_served_round, clients[1].last_served_round = 7, 6
    assert schedule.least_recently_served(clients) == [clients[2], clients[1], clients[0]]


# ---- loop lag ---------------------------------------------------------------------------------------


def test_peak_lag_decays_slowly_however_often_it_is_updated():
    lag = LoopLag()
    lag.record_lag(SECOND, loop_lag.MINIMUM_LAG + 1000)
    for now in range(SECOND, 3 * SECOND, 7):
        lag.record_lag(now, 0)
    assert loop_lag.MINIMUM_LAG + 790 <= lag.peak_lag <= loop_lag.MINIMUM_LAG + 810


def test_margin_leaves_half_of_a_short_client_timeout():
    lag = LoopLag()
    assert lag.answer_margin(1000) == 500
    assert lag.answer_margin(9 * SECOND) == loop_lag.MINIMUM_LAG + loop_lag.CONNECT_DELAY
    lag.record_query_delay(0, SECOND)
    assert lag.answer_margin(9 * SECOND) == SECOND + loop_lag.CONNECT_DELAY


def test_pause_that_is_over_gives_no_standing_delay():
    lag = LoopLag()
    for now in range(0, 3000, 50):  # a pause of 0.2 s, then the queued queries, each less late
        lag.record_query_delay(now, max(0, 2000 - now))
    assert lag.standing_delay == 0
    for now in range(3000, 6000, 50):
        lag.record_query_delay(now, 700 + now % 300)
    assert lag.standing_delay >= 700
    lag.record_query_delay(6001, 3)
    assert lag.standing_delay == 3
    lag.record_query_delay(10 * SECOND, 900)
    assert lag.standing_delay == 0  # no query came for a while


def test_late_loop_rejects_the_least_valuable_group_first(harness):
    for _ in range(20):
        harness.scheduler.admits(0, LOOKUP, 0.0)
        harness.scheduler.admits(0, REPORT, 0.0)
    assert harness.scheduler.admits(0, LOOKUP, MAX_LOOP_LAG / 10)
    assert not harness.scheduler.admits(0, LOOKUP, MAX_LOOP_LAG / 2)
    assert harness.scheduler.admits(0, REPORT, MAX_LOOP_LAG - 1) and harness.scheduler.admits(
        0, LOAD, MAX_LOOP_LAG - 1
    )
    assert not harness.scheduler.admits(0, REPORT, MAX_LOOP_LAG)


# ---- shutdown ---------------------------------------------------------------------------------------


def step(schedule, *activity, sessions):
    return schedule.next_step(ClientActivity(*activity), sessions)


def test_shutdown_waits_for_quiet_and_for_the_arrival_period():
    schedule, now = ShutdownSchedule(0, 3 * SECOND, 0), shutdown.MIN_OPEN_TIME
    accept, close = ShutdownStep.ACCEPT, ShutdownStep.CLOSE_SESSIONS
    assert step(schedule, now - 1, 0, 0, 0, sessions=5) is accept
    assert step(schedule, now, now - 1, 0, 0, sessions=5) is accept  # input has just arrived
    assert step(schedule, now, 0, 1, 0, sessions=5) is accept  # a query is open
    assert step(schedule, now, 0, 0, 1, sessions=5) is accept  # an answer is not sent
    assert step(schedule, now, 0, 0, 0, sessions=5) is close
    assert step(schedule, now + 1, 0, 0, 0, sessions=5) is close  # clients read their answers
    assert step(schedule, now + 2, 0, 0, 0, sessions=0) is ShutdownStep.EXIT


def test_shutdown_ends_in_time_while_clients_keep_sending():
    schedule = ShutdownSchedule(0, 3 * SECOND, SECOND // 10)
    assert schedule.answer_by == 3 * SECOND - SECOND // 10
    now = schedule.close_sessions_by
    assert now >= schedule.answer_by + shutdown.ANSWER_SLACK
    assert step(schedule, now - 1, now - 1, 7, 1, sessions=5) is ShutdownStep.ACCEPT
    assert step(schedule, now, now, 7, 1, sessions=5) is ShutdownStep.CLOSE_SESSIONS
    assert step(schedule, schedule.exit_by - 1, now, 7, 1, sessions=5) is ShutdownStep.CLOSE_SESSIONS
    assert step(schedule, schedule.exit_by, now, 7, 1, sessions=5) is ShutdownStep.EXIT


@pytest.mark.parametrize("longest", [100, 300, 1_000, 3_000, 10_000, 30_000])  # 10 ms to the maximum of 3 s
@pytest.mark.parametrize("lag", [0, 4_000, 60_000])
def test_shutdown_schedule_fits_before_sigkill_for_every_client_timeout(longest, lag):
    schedule = ShutdownSchedule(0, longest, lag)
    assert schedule.answer_by <= schedule.close_sessions_by - min(shutdown.ANSWER_SLACK, longest)
    assert shutdown.ARRIVAL_PERIOD <= schedule.close_sessions_by < schedule.exit_by
    assert schedule.exit_by + shutdown.EXIT_TIME <= longest + shutdown.SIGKILL_DELAY
    # No session is closed while the protocol lets clients connect, whatever the client timeout.
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


class BufferedSocketStub:
    """Stands in for a session's buffered socket."""

    def __init__(self, unsent=b"", unread=False):
        self.unsent, self.unread, self.closed = unsent, unread, False

    def has_unread(self):
        return self.unread

    def close(self):
        self.closed = True


def make_full_frontend(*buffered_sockets):
    """Returns a frontend whose places are all taken by sessions in an incomplete step."""
    poller = SimpleNamespace(system=SYSTEM_CALLS)
    frontend = MysqlFrontend(
        len(buffered_sockets),
        1000,
        poller,
        RoundSchedule(),
        None,
        lambda: 0,
        lambda session: None,
        None,
        None,
        None,
        on_fault=None,
    )
    for number, buffered_socket in enumerate(buffered_sockets):
        client = frontend.clients[number] = Client(number, 1000)
        client.buffered_socket = buffered_socket
        frontend.session_limiter.mark_in_step(number, number)
    return frontend


def test_session_with_an_unsent_answer_is_not_evicted():
    frontend = make_full_frontend(
        BufferedSocketStub(unsent=b"rows"), BufferedSocketStub(unread=True), BufferedSocketStub()
    )
    candidates = frontend.session_limiter.eviction_candidates()
    assert frontend.evict_session_if_full(iter(list(candidates)))
    assert sorted(frontend.clients) == [0, 1]
    assert frontend.evict_session_if_full(iter(()))  # there is a free place now


def test_sweep_survives_a_session_that_is_dropped_while_another_is_reported_as_gone():
    """Guards against KeyError in sweep(): handling a departed client can poll and drop further sessions."""
    frontend = make_full_frontend(*[BufferedSocketStub(unsent=b"rows") for _ in range(3)])
    frontend.clock = lambda: 2 * STEP_TIMEOUT
    frontend.poller.resume = lambda: None
    reported = []

    def drop_the_next_one(session):
        reported.append(session)
        if session == 0:
            frontend.drop(frontend.clients[1])

    frontend.on_client_gone = drop_the_next_one
    frontend.sweep()
    assert reported == [0, 1, 2] and not frontend.clients and len(frontend.session_limiter) == 0


def test_unread_sessions_are_checked_once_per_burst_of_new_connections():
    frontend = make_full_frontend(*[BufferedSocketStub(unread=True) for _ in range(5)], BufferedSocketStub())
    candidates = iter(list(frontend.session_limiter.eviction_candidates()))
    assert frontend.evict_session_if_full(candidates)
    frontend.session_limiter.mark_in_step(9, 0)
    assert not frontend.evict_session_if_full(candidates) and next(candidates, None) is None


def test_first_query_sent_with_the_login_is_timed_from_its_connection():
    frontend = make_full_frontend(BufferedSocketStub(), BufferedSocketStub())
    early, later = frontend.clients[0], frontend.clients[1]
    early.connected_at = later.connected_at = SECOND
    early.logged_in_at = later.logged_in_at = 2 * SECOND
    assert frontend.earliest_send_time(early, 2 * SECOND) == SECOND
    assert frontend.earliest_send_time(early, 2 * SECOND) == 2 * SECOND  # no longer the first
    assert frontend.earliest_send_time(later, 3 * SECOND) == 3 * SECOND  # sent after the answer to the login
