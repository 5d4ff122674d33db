"""Tests of race conditions: two events that arrive in one round of the event loop or on one connection.

docs/architecture.md lists the pairs with the names of these tests. Each race is forced: both events are ready
before the round that handles them, or one is sent from within the step that it races with.
"""

import errno
import socket

import pytest
from rounds_by_hand import LOGIN, MILLISECOND, SELECT, RouterHarness, packet, query

from hillchute.fronts import seats
from hillchute.fronts.mysql.packets import FAILED, REFUSED
from hillchute.lab import deployment
from hillchute.lab.faulty_system import FaultySystemCalls
from hillchute.router import config
from hillchute.router.event_loop import MAX_POLL_AGE

ORDERED_LOAD = {"route": "event-load", "entity": "ab", "patience": 8_000}
VALID_ANSWERS = {"served", REFUSED[0], FAILED[0]}
ACK_ANSWER = "{id} ACK work=20.0,peak=1.0 8\r\na\tb\tccc\n\r\n"


@pytest.fixture
def rig():
    rig = RouterHarness(FaultySystemCalls(), table=deployment.make_configuration(sockets=128, mutating=True))
    yield rig
    rig.close()


def ids(*numbers):
    """Returns the attempt ids, as the engine receives them, of queries with these trace numbers."""
    return [f"{number:016x}" for number in numbers]


def client_with_query_in_flight(rig, number=1, **fields):
    """Returns a client whose query the engine has received; the engine answers only when the test says so."""
    client = rig.client_after_served_query()
    rig.answers_at_once = False
    client.write(query(number, **fields))
    rig.run_until(lambda: rig.received_attempts)
    return client


def advance_clock_past(rig, time):
    """Advances the router's clock to just after `time`, if it is not later already."""
    rig.advance_clock(max(0, time - rig.clock() + 1) / 10_000)


# ---- deadlines --------------------------------------------------------------------------------------


@pytest.mark.parametrize("patience", [1, 5, 20, 50, 120, 400])
def test_query_with_little_time_left_is_answered_in_time_though_the_engine_drops_it(rig, patience):
    client = rig.client_after_served_query()
    rig.answers_at_once = False
    client.write(query(1, patience=patience))
    rig.service.event_loop.round()
    queries = list(rig.service.reducer.unanswered.values())
    for q in queries:
        assert q.deadline <= q.received_at + patience * MILLISECOND
        advance_clock_past(rig, q.deadline)
    rig.run_rounds(2)
    assert len(client.answers()) == 2 and client.answers()[1] in VALID_ANSWERS
    for fields in rig.attempt_fields.values():
        assert int(fields["ttl"]) <= max(3_000, patience)
    if ids(1)[0] in rig.attempt_fields:
        assert int(rig.attempt_fields[ids(1)[0]]["ttl"]) <= patience


def test_attempt_timeout_after_a_wait_in_the_queue_is_at_most_the_remaining_client_timeout(rig):
    first = client_with_query_in_flight(rig, 1, nonce="01", **ORDERED_LOAD)
    second = rig.connect_client(LOGIN + query(2, nonce="02", **ORDERED_LOAD))
    rig.run_until(lambda: len(rig.service.reducer.unanswered) == 2)
    rig.advance_clock(0.6)  # the second query waits for the first of its ordering key
    rig.engine_connections[0].serve(ids(1)[0])
    rig.run_until(lambda: len(rig.received_attempts) == 2)
    assert int(rig.attempt_fields[ids(2)[0]]["ttl"]) <= 7_400
    rig.engine_connections[0].serve(ids(2)[0])
    rig.run_until(lambda: second.answers())
    assert first.answers()[1] == "served" and second.answers() == ["served"]


def test_answer_in_the_round_after_its_deadline_is_not_a_second_answer(rig):
    client = client_with_query_in_flight(rig)
    (q,) = rig.service.reducer.unanswered.values()
    rig.engine_connections[0].serve(ids(1)[0])
    advance_clock_past(rig, q.deadline)
    rig.run_rounds(5)
    assert len(client.answers()) == 2  # the answer of client_after_served_query() and one more


def test_unsafe_attempt_whose_time_is_up_as_its_connection_breaks_is_answered_failed_once(rig):
    client = client_with_query_in_flight(rig, 1, route="change", patience=6_000)
    (q,) = rig.service.reducer.unanswered.values()
    rig.engine_connections[0].close()
    advance_clock_past(rig, q.deadline)
    rig.run_rounds(5)
    assert client.answers()[1:] == [FAILED[0]] and rig.received_attempts == ids(1)


# ---- answers ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("in_later_round", [False, True], ids=["in one piece", "a round later"])
def test_second_answer_of_an_engine_is_ignored(rig, in_later_round):
    client = client_with_query_in_flight(rig)
    answer = ACK_ANSWER.format(id=ids(1)[0]).encode()
    rig.engine_connections[0].sock.sendall(answer if in_later_round else 2 * answer)
    rig.run_rounds(3)
    if in_later_round:
        rig.engine_connections[0].sock.sendall(answer)
    client.write(query(2))
    rig.run_until(lambda: len(rig.received_attempts) == 2)
    assert client.answers()[1:] == ["served"]
    rig.engine_connections[0].serve(ids(2)[0])
    rig.run_until(lambda: len(client.answers()) == 3)


def test_answer_and_cancel_in_one_round_give_one_answer(rig):
    client = client_with_query_in_flight(rig)
    session_id = int.from_bytes(client.read_payloads()[0].split(b"\0", 1)[1][:4], "little")
    other = rig.connect_client()
    rig.run_rounds(2)
    other.write(packet(0, b"\x03KILL QUERY %d" % session_id))
    rig.engine_connections[0].serve(ids(1)[0])
    rig.run_rounds(5)
    assert len(client.answers()) <= 2 and not rig.service.reducer.unanswered
    client.write(query(2))  # the session stays usable if the cancel came after the answer
    rig.run_rounds(3)
    assert not rig.log.faults()


@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_client_that_leaves_as_its_answer_is_written_ends_nothing_else(rig, monkeypatch, disconnect):
    client = client_with_query_in_flight(rig)
    finish = rig.service.mysql_frontend.finish

    def disconnect_then_finish(session, rows):
        getattr(client, disconnect)()
        finish(session, rows)

    monkeypatch.setattr(rig.service.mysql_frontend, "finish", disconnect_then_finish)
    rig.engine_connections[0].serve(ids(1)[0])
    rig.run_rounds(3)
    monkeypatch.undo()
    assert not rig.service.mysql_frontend.clients and not rig.log.faults()
    rig.answers_at_once = True
    other = rig.connect_client(LOGIN + query(2))
    rig.run_until(lambda: other.answers())
    assert other.answers() == ["served"]


@pytest.mark.parametrize(
    "malformed",
    [
        b"\xff\xfe\r\n",
        b"{id} ACK parts=2,work=1 4\r\nab\tc\r\n",
        b"{id} ACK parts=-5 0\r\n\r\n",
        b"{id} ACK work=1 8\r\nno rows!\r\n",
        b"x" * 10_000,  # a line without a terminator
        b"{id} ACK work=1 6000\r\n" + b"y" * 9_000,  # a body that exceeds its stated length
    ],
    ids=["not ASCII", "wrong length", "no number", "no rows", "endless line", "endless body"],
)
@pytest.mark.parametrize("route", ["lookup", "change"])
def test_malformed_answer_leaves_no_query_unanswered(rig, malformed, route):
    client = client_with_query_in_flight(rig, 1, route=route)
    rig.answers_at_once = True
    rig.engine_connections[0].sock.sendall(malformed.replace(b"{id}", ids(1)[0].encode()))
    rig.run_until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == ("served" if route == "lookup" else FAILED[0])
    assert rig.received_attempts.count(ids(1)[0]) == (2 if route == "lookup" else 1)


def test_engine_that_writes_without_end_holds_up_no_other_query(rig):
    client = client_with_query_in_flight(rig)
    other = rig.connect_client(LOGIN)
    progress = f"{ids(1)[0]} EVENT why=advance,value=0.5 0\r\n\r\n".encode()
    rig.engine_connections[0].sock.settimeout(0)
    for n in range(40):
        try:
            rig.engine_connections[0].sock.sendall(500 * progress)
        except OSError:
            break
        if n == 20:
            other.write(query(2, route="nobody"))
        rig.service.event_loop.round()
    rig.run_rounds(3)
    assert other.answers() == [FAILED[0]] and len(client.answers()) == 1
    (q,) = rig.service.reducer.unanswered.values()
    advance_clock_past(rig, q.deadline)
    rig.run_rounds(3)
    assert len(client.answers()) == 2


# ---- connections to engines -------------------------------------------------------------------------


def test_engine_drains_while_a_connect_to_it_is_under_way(rig):
    client = rig.connect_client(LOGIN + query(1))
    while not rig.service.links.connections:
        rig.service.event_loop.round()
    rig.list_engine(2, state="Terminating")
    rig.run_rounds(5)
    assert rig.received_attempts == [] and len(rig.service.reducer.unanswered) == 1
    (q,) = rig.service.reducer.unanswered.values()
    advance_clock_past(rig, q.deadline)
    rig.run_rounds(2)
    assert client.answers() == [REFUSED[0]]


def test_connect_past_its_timeout_is_closed_and_nothing_is_written_on_it():
    """Guards against a connection that is used after its connect timeout.

    The listen backlog is full, so the kernel completes no further connect until the engine accepts.
    """
    rig = RouterHarness(backlog=0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(rig.listener.getsockname())
    client = rig.connect_client(LOGIN + query(1))
    while not rig.service.links.connections:
        rig.service.event_loop.round()
    (link,) = rig.service.links.connections.values()
    connecting = link.connecting_socket
    rig.service.event_loop.round()
    assert connecting.fileno() >= 0 and link.buffered_socket is None  # the connect is in progress
    rig.advance_clock(rig.service.reducer.pool.connect_timeout / 10_000 + 0.01)
    rig.service.event_loop.round()
    assert connecting.fileno() < 0  # closed before the connect completed
    for filler in fillers:
        filler.close()
    (q,) = rig.service.reducer.unanswered.values()
    advance_clock_past(rig, q.deadline)
    rig.run_until(lambda: client.answers())
    assert rig.received_attempts in (ids(1), []) and client.answers()[0] in VALID_ANSWERS
    rig.close()


def test_engine_closes_an_idle_connection_as_the_router_closes_it_too(rig):
    client = rig.client_after_served_query()
    rig.advance_clock(rig.service.reducer.pool.keepalive / 10_000)
    rig.engine_connections[0].close()
    rig.run_rounds(3)
    assert not rig.service.links.connections and not rig.log.faults()
    client.write(query(1))
    rig.run_until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == "served"


def test_next_query_of_a_key_waits_out_the_attempt_whose_connection_broke(rig):
    first = client_with_query_in_flight(rig, 1, nonce="01", **ORDERED_LOAD)
    second = rig.connect_client(LOGIN + query(2, nonce="02", **ORDERED_LOAD))
    rig.run_until(lambda: len(rig.service.reducer.unanswered) == 2)
    first.close()  # the first client is gone, but its attempt may still be running
    rig.engine_connections[0].close()
    rig.answers_at_once = True
    rig.run_rounds(3)
    assert rig.received_attempts == ids(1)  # no attempt of this ordering key may start during the order pause
    rig.advance_clock(rig.service.reducer.claims.order_pause / 10_000 + 0.01)
    rig.run_until(lambda: second.answers())
    assert rig.received_attempts == ids(1, 2) and second.answers() == ["served"]


@pytest.mark.parametrize("route", ["lookup", "change"])
def test_attempts_that_fail_at_once_stay_within_the_limit_of_tries(rig, route):
    client = rig.client_after_served_query()
    rig.answers_at_once = False
    client.write(query(1, route=route))
    for _ in range(60):
        rig.run_rounds()
        for connection in [
            connection for connection in rig.engine_connections if connection.sock.fileno() >= 0
        ]:
            if rig.received_attempts:
                connection.close()
        rig.advance_clock(0.02)
    rig.answers_at_once = True
    rig.run_until(lambda: len(client.answers()) == 2)
    assert rig.received_attempts.count(ids(1)[0]) <= (3 if route == "lookup" else 1)


# ---- sessions ---------------------------------------------------------------------------------------


def test_idle_session_with_an_unread_query_is_not_evicted(rig):
    mysql_frontend = rig.service.mysql_frontend
    idle = [rig.connect_client() for _ in range(mysql_frontend.session_limiter.max_sessions)]
    rig.run_until(
        lambda: len(mysql_frontend.clients) == mysql_frontend.session_limiter.max_sessions
        and not mysql_frontend.session_limiter.incomplete_steps
    )
    longest_idle = idle[0]
    longest_idle.write(query(1))  # not read yet when the new client is accepted
    new_client = rig.connect_client(LOGIN + query(2))
    mysql_frontend.accept(1)
    rig.run_until(lambda: new_client.answers() and longest_idle.answers())
    assert new_client.answers() == ["served"] and longest_idle.answers() == ["served"]
    assert [client.closed_by_peer for client in idle].count(True) == 0 and len(
        mysql_frontend.clients
    ) <= mysql_frontend.session_limiter.max_sessions


def test_idle_client_that_leaves_while_connections_are_accepted_does_not_end_the_router(rig):
    """Guards against KeyError in accept(): a session chosen for eviction was dropped by a poll in between."""
    frontend, accept = rig.service.mysql_frontend, rig.system.accept
    busy = client_with_query_in_flight(rig)
    number = int.from_bytes(busy.read_payloads()[0].split(b"\0", 1)[1][:4], "little")
    idle = [rig.connect_client() for _ in range(frontend.session_limiter.max_sessions - 1)]
    rig.run_until(lambda: len(frontend.session_limiter.idle) == len(idle))
    leaving = [idle[1]]  # the first is evicted for the client that cancels

    def accept_while_idle_client_leaves(listener):
        while leaving:
            leaving.pop().close()
            rig.advance_clock(2 * MAX_POLL_AGE / 10_000)  # so that the cancellation is preceded by a poll
        return accept(listener)

    rig.system.accept = accept_while_idle_client_leaves
    rig.connect_client(LOGIN + packet(0, b"\x03KILL QUERY %d" % number))
    newcomers = [rig.connect_client(LOGIN + query(id)) for id in (2, 3, 4)]
    rig.answers_at_once = True
    rig.run_until(lambda: all(client.answers() for client in newcomers))
    assert not leaving and [client.answers() for client in newcomers] == [["served"]] * 3
    assert not rig.log.faults() and len(frontend.clients) == frontend.session_limiter.max_sessions


def test_client_that_never_reads_delays_no_other_client_and_is_closed_at_its_time_limit(rig):
    client = client_with_query_in_flight(rig)
    session = next(iter(rig.service.mysql_frontend.clients.values()))
    send = rig.system.send

    def send_with_full_buffer(sock, data):
        if sock is session.buffered_socket.sock:
            raise BlockingIOError(errno.EAGAIN, "send buffer full")
        return send(sock, data)

    rig.system.send = send_with_full_buffer
    rig.engine_connections[0].serve(ids(1)[0])
    rig.run_rounds(3)
    assert session.buffered_socket.unsent and not rig.service.reducer.unanswered
    rig.answers_at_once = True
    other = rig.connect_client(LOGIN + query(2))
    rig.run_until(lambda: other.answers())
    assert other.answers() == ["served"]
    rig.advance_clock(seats.STEP_TIMEOUT / 10_000 + 0.1)
    rig.service.mysql_frontend.sweep()
    assert session.buffered_socket.closed and client is not None


def test_error_of_a_timed_out_step_reaches_the_client_if_bytes_arrive_while_it_is_written(rig, monkeypatch):
    """Closing a socket with unread bytes would send RST, and the client would lose the error message."""
    client = rig.connect_client(LOGIN[:9])
    rig.run_rounds(2)
    (session,) = rig.service.mysql_frontend.clients.values()
    rig.advance_clock(seats.STEP_TIMEOUT / 10_000)
    write = session.buffered_socket.write

    def write_after_client(data):
        client.write(LOGIN[9:12])
        return write(data)

    session.buffered_socket.write = write_after_client
    rig.service.mysql_frontend.sweep()
    rig.run_rounds(3)
    client.read_payloads()
    assert b"not complete in time" in client.received and client.closed_by_peer and not client.was_reset


def test_reload_under_an_open_query_changes_nothing_for_it(rig, monkeypatch):
    client = client_with_query_in_flight(rig)
    changed_configuration = rig.configuration._replace(event_bus_address=("127.0.0.1", 9))
    monkeypatch.setattr(config, "read_configuration", lambda: changed_configuration)
    monkeypatch.setattr(rig.service.endpoint_watcher, "watch", lambda *args: None)
    rig.engine_connections[0].serve(ids(1)[0])  # the answer has been sent but not read when the reload runs
    rig.service.reloader.reload(rig.service.tasks)
    rig.run_rounds(2)
    assert client.answers() == ["served", "served"]


def test_login_and_query_in_one_segment_beyond_the_session_limit_get_an_answer(rig):
    mysql_frontend = rig.service.mysql_frontend
    busy = [rig.connect_client() for _ in range(mysql_frontend.session_limiter.max_sessions)]
    rig.run_until(lambda: len(mysql_frontend.clients) == mysql_frontend.session_limiter.max_sessions)
    for client in busy:
        client.write(query(99)[:30])  # all have unread bytes, so none is closed to make room
    excess = rig.connect_client(LOGIN + query(1))
    mysql_frontend.accept(1)
    rig.run_rounds(2)
    excess.read_payloads()
    assert excess.payloads()[0][:1] == b"\xff"
    assert int.from_bytes(excess.payloads()[0][1:3], "little") == REFUSED[0]
    assert SELECT and not rig.log.faults()


def test_exception_in_one_answer_delays_no_other_query(rig, monkeypatch):
    first, second = rig.client_after_served_query(), rig.connect_client()
    rig.run_until(
        lambda: len(rig.service.mysql_frontend.clients) == 2
        and not rig.service.mysql_frontend.session_limiter.incomplete_steps
    )
    fail, failing_session = rig.service.mysql_frontend.fail, min(rig.service.mysql_frontend.clients)

    def fail_or_raise(session, reason):
        if session == failing_session:
            raise IndexError("injected programming error")
        fail(session, reason)

    monkeypatch.setattr(rig.service.mysql_frontend, "fail", fail_or_raise)
    first.write(query(1, route="nobody"))
    second.write(query(2, route="nobody"))  # both queries are handled in one round
    rig.run_until(lambda: second.answers() and rig.log.faults())
    assert second.answers() == [FAILED[0]] and len(rig.log.faults()) == 1
