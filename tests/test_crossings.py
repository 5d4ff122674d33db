"""Tests of race conditions: two events that arrive in one round of the event loop or on one connection.

docs/architecture.md lists the pairs with the names of these tests. Each race is forced: both events are ready
before the round that handles them, or one is sent from within the step that it races with.
"""

import errno
import socket

import pytest
from rounds_by_hand import LOGIN, MILLISECOND, SELECT, Rig, packet, query

from hillchute.fronts import seats
from hillchute.fronts.mysql.packets import FAILED, REFUSED
from hillchute.lab import deployment
from hillchute.lab.faulty_system import FaultySystemCalls
from hillchute.router import config

ORDERED_LOAD = {"route": "event-load", "entity": "ab", "patience": 8_000}
VALID_ANSWERS = {"served", REFUSED[0], FAILED[0]}
ACK_ANSWER = "{id} ACK work=20.0,peak=1.0 8\r\na\tb\tccc\n\r\n"


@pytest.fixture
def rig():
    rig = Rig(FaultySystemCalls(), table=deployment.table(sockets=128, mutating=True))
    yield rig
    rig.close()


def ids(*numbers):
    """Returns the attempt ids, as the engine receives them, of queries with these trace numbers."""
    return [f"{number:016x}" for number in numbers]


def client_with_query_in_flight(rig, number=1, **fields):
    """Returns a client whose query the engine has received; the engine answers only when the test says so."""
    client = rig.connected()
    rig.serving = False
    client.write(query(number, **fields))
    rig.until(lambda: rig.wants)
    return client


def advance_clock_past(rig, time):
    """Advances the router's clock to just after `time`, if it is not later already."""
    rig.pass_time(max(0, time - rig.clock() + 1) / 10_000)


# ---- deadlines --------------------------------------------------------------------------------------


@pytest.mark.parametrize("patience", [1, 5, 20, 50, 120, 400])
def test_query_with_little_time_left_is_answered_in_time_though_the_engine_drops_it(rig, patience):
    client = rig.connected()
    rig.serving = False
    client.write(query(1, patience=patience))
    rig.service.event_loop.round()
    queries = list(rig.service.reducer.unanswered.values())
    for q in queries:
        assert q.deadline <= q.received_at + patience * MILLISECOND
        advance_clock_past(rig, q.deadline)
    rig.turn(2)
    assert len(client.answers()) == 2 and client.answers()[1] in VALID_ANSWERS
    for fields in rig.fields.values():
        assert int(fields["ttl"]) <= max(3_000, patience)
    if ids(1)[0] in rig.fields:
        assert int(rig.fields[ids(1)[0]]["ttl"]) <= patience


def test_engine_is_given_no_more_than_what_the_client_has_left_after_a_wait_for_its_turn(rig):
    first = client_with_query_in_flight(rig, 1, nonce="01", **ORDERED_LOAD)
    second = rig.client(LOGIN + query(2, nonce="02", **ORDERED_LOAD))
    rig.until(lambda: len(rig.service.reducer.unanswered) == 2)
    rig.pass_time(0.6)  # the second query waits for the first of its ordering key
    rig.talks[0].serve(ids(1)[0])
    rig.until(lambda: len(rig.wants) == 2)
    assert int(rig.fields[ids(2)[0]]["ttl"]) <= 7_400
    rig.talks[0].serve(ids(2)[0])
    rig.until(lambda: second.answers())
    assert first.answers()[1] == "served" and second.answers() == ["served"]


def test_answer_that_comes_in_the_look_after_its_deadline_is_no_second_answer(rig):
    client = client_with_query_in_flight(rig)
    (q,) = rig.service.reducer.unanswered.values()
    rig.talks[0].serve(ids(1)[0])
    advance_clock_past(rig, q.deadline)
    rig.turn(5)
    assert len(client.answers()) == 2  # the answer of connected() and one more


def test_unsafe_attempt_whose_time_is_up_as_its_connection_breaks_is_answered_failed_once(rig):
    client = client_with_query_in_flight(rig, 1, route="change", patience=6_000)
    (q,) = rig.service.reducer.unanswered.values()
    rig.talks[0].close()
    advance_clock_past(rig, q.deadline)
    rig.turn(5)
    assert client.answers()[1:] == [FAILED[0]] and rig.wants == ids(1)


# ---- answers ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("in_later_round", [False, True], ids=["in one piece", "a round later"])
def test_second_answer_of_an_engine_is_passed_over(rig, in_later_round):
    client = client_with_query_in_flight(rig)
    answer = ACK_ANSWER.format(id=ids(1)[0]).encode()
    rig.talks[0].sock.sendall(answer if in_later_round else 2 * answer)
    rig.turn(3)
    if in_later_round:
        rig.talks[0].sock.sendall(answer)
    client.write(query(2))
    rig.until(lambda: len(rig.wants) == 2)
    assert client.answers()[1:] == ["served"]
    rig.talks[0].serve(ids(2)[0])
    rig.until(lambda: len(client.answers()) == 3)


def test_answer_and_cancel_in_one_look_are_one_answer(rig):
    client = client_with_query_in_flight(rig)
    session_id = int.from_bytes(client.hear()[0].split(b"\0", 1)[1][:4], "little")
    other = rig.client()
    rig.turn(2)
    other.write(packet(0, b"\x03KILL QUERY %d" % session_id))
    rig.talks[0].serve(ids(1)[0])
    rig.turn(5)
    assert len(client.answers()) <= 2 and not rig.service.reducer.unanswered
    client.write(query(2))  # the session stays usable if the cancel came after the answer
    rig.turn(3)
    assert not rig.log.faults()


@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_client_that_leaves_as_its_answer_is_written_ends_nothing_else(rig, monkeypatch, disconnect):
    client = client_with_query_in_flight(rig)
    finish = rig.service.door.finish

    def disconnect_then_finish(session, rows):
        getattr(client, disconnect)()
        finish(session, rows)

    monkeypatch.setattr(rig.service.door, "finish", disconnect_then_finish)
    rig.talks[0].serve(ids(1)[0])
    rig.turn(3)
    monkeypatch.undo()
    assert not rig.service.door.clients and not rig.log.faults()
    rig.serving = True
    other = rig.client(LOGIN + query(2))
    rig.until(lambda: other.answers())
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
def test_answer_that_cannot_be_read_frees_no_query_of_its_answer(rig, malformed, route):
    client = client_with_query_in_flight(rig, 1, route=route)
    rig.serving = True
    rig.talks[0].sock.sendall(malformed.replace(b"{id}", ids(1)[0].encode()))
    rig.until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == ("served" if route == "lookup" else FAILED[0])
    assert rig.wants.count(ids(1)[0]) == (2 if route == "lookup" else 1)


def test_engine_that_writes_without_end_holds_up_no_other_query(rig):
    client = client_with_query_in_flight(rig)
    other = rig.client(LOGIN)
    progress = f"{ids(1)[0]} EVENT why=advance,value=0.5 0\r\n\r\n".encode()
    rig.talks[0].sock.settimeout(0)
    for n in range(40):
        try:
            rig.talks[0].sock.sendall(500 * progress)
        except OSError:
            break
        if n == 20:
            other.write(query(2, route="nobody"))
        rig.service.event_loop.round()
    rig.turn(3)
    assert other.answers() == [FAILED[0]] and len(client.answers()) == 1
    (q,) = rig.service.reducer.unanswered.values()
    advance_clock_past(rig, q.deadline)
    rig.turn(3)
    assert len(client.answers()) == 2


# ---- connections to engines -------------------------------------------------------------------------


def test_engine_drains_while_a_connect_to_it_is_under_way(rig):
    client = rig.client(LOGIN + query(1))
    while not rig.service.links.links:
        rig.service.event_loop.round()
    rig.list(2, state="Terminating")
    rig.turn(5)
    assert rig.wants == [] and len(rig.service.reducer.unanswered) == 1
    (q,) = rig.service.reducer.unanswered.values()
    advance_clock_past(rig, q.deadline)
    rig.turn(2)
    assert client.answers() == [REFUSED[0]]


def test_connect_that_would_come_up_late_is_given_up_and_nothing_is_written_on_it():
    """Guards against a connection that is used after its connect timeout.

    The listen backlog is full, so the kernel completes no further connect until the engine accepts.
    """
    rig = Rig(backlog=0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(rig.listener.getsockname())
    client = rig.client(LOGIN + query(1))
    while not rig.service.links.links:
        rig.service.event_loop.round()
    (link,) = rig.service.links.links.values()
    connecting = link.sock
    rig.service.event_loop.round()
    assert connecting.fileno() >= 0 and link.pipe is None  # the connect is in progress
    rig.pass_time(rig.service.reducer.pool.connect_timeout / 10_000 + 0.01)
    rig.service.event_loop.round()
    assert connecting.fileno() < 0  # closed before the connect completed
    for filler in fillers:
        filler.close()
    (q,) = rig.service.reducer.unanswered.values()
    advance_clock_past(rig, q.deadline)
    rig.until(lambda: client.answers())
    assert rig.wants in (ids(1), []) and client.answers()[0] in VALID_ANSWERS
    rig.close()


def test_engine_closes_an_idle_connection_as_the_router_closes_it_too(rig):
    client = rig.connected()
    rig.pass_time(rig.service.reducer.pool.keepalive / 10_000)
    rig.talks[0].close()
    rig.turn(3)
    assert not rig.service.links.links and not rig.log.faults()
    client.write(query(1))
    rig.until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == "served"


def test_next_query_of_a_key_waits_out_the_attempt_whose_connection_broke(rig):
    first = client_with_query_in_flight(rig, 1, nonce="01", **ORDERED_LOAD)
    second = rig.client(LOGIN + query(2, nonce="02", **ORDERED_LOAD))
    rig.until(lambda: len(rig.service.reducer.unanswered) == 2)
    first.close()  # the first client is gone, but its attempt may still be running
    rig.talks[0].close()
    rig.serving = True
    rig.turn(3)
    assert rig.wants == ids(1)  # no attempt of this ordering key may start during the order pause
    rig.pass_time(rig.service.reducer.claims.order_pause / 10_000 + 0.01)
    rig.until(lambda: second.answers())
    assert rig.wants == ids(1, 2) and second.answers() == ["served"]


@pytest.mark.parametrize("route", ["lookup", "change"])
def test_attempts_that_fail_at_once_stay_within_the_limit_of_tries(rig, route):
    client = rig.connected()
    rig.serving = False
    client.write(query(1, route=route))
    for _ in range(60):
        rig.turn()
        for talk in [talk for talk in rig.talks if talk.sock.fileno() >= 0]:
            if rig.wants:
                talk.close()
        rig.pass_time(0.02)
    rig.serving = True
    rig.until(lambda: len(client.answers()) == 2)
    assert rig.wants.count(ids(1)[0]) <= (3 if route == "lookup" else 1)


# ---- sessions ---------------------------------------------------------------------------------------


def test_idle_session_that_has_just_asked_is_not_the_one_that_gives_way(rig):
    door = rig.service.door
    idle = [rig.client() for _ in range(door.seats.most)]
    rig.until(lambda: len(door.clients) == door.seats.most and not door.seats.steps)
    asking = idle[0]  # it has been idle longest
    asking.write(query(1))  # not read yet when the new client is accepted
    new_client = rig.client(LOGIN + query(2))
    door.accept(1)
    rig.until(lambda: new_client.answers() and asking.answers())
    assert new_client.answers() == ["served"] and asking.answers() == ["served"]
    assert [client.ended for client in idle].count(True) == 0 and len(door.clients) <= door.seats.most


def test_client_that_never_reads_keeps_its_result_to_itself_and_is_dropped_in_time(rig):
    client = client_with_query_in_flight(rig)
    session = next(iter(rig.service.door.clients.values()))
    send = rig.system.send

    def send_with_full_buffer(sock, data):
        if sock is session.pipe.sock:
            raise BlockingIOError(errno.EAGAIN, "send buffer full")
        return send(sock, data)

    rig.system.send = send_with_full_buffer
    rig.talks[0].serve(ids(1)[0])
    rig.turn(3)
    assert session.pipe.unsent and not rig.service.reducer.unanswered
    rig.serving = True
    other = rig.client(LOGIN + query(2))
    rig.until(lambda: other.answers())
    assert other.answers() == ["served"]
    rig.pass_time(seats.STEP / 10_000 + 0.1)
    rig.service.door.sweep()
    assert session.pipe.closed and client is not None


def test_error_of_a_late_step_is_read_though_bytes_came_as_it_was_written(rig, monkeypatch):
    """Closing a socket with unread bytes would send RST, and the client would lose the error message."""
    client = rig.client(LOGIN[:9])
    rig.turn(2)
    (session,) = rig.service.door.clients.values()
    rig.pass_time(seats.STEP / 10_000)
    write = session.pipe.write

    def write_after_client(data):
        client.write(LOGIN[9:12])
        return write(data)

    session.pipe.write = write_after_client
    rig.service.door.sweep()
    rig.turn(3)
    client.hear()
    assert b"not complete in time" in client.heard and client.ended and not client.was_reset


def test_reload_under_an_open_query_changes_nothing_for_it(rig, monkeypatch):
    client = client_with_query_in_flight(rig)
    changed_configuration = rig.configuration._replace(event_bus_address=("127.0.0.1", 9))
    monkeypatch.setattr(config, "read_configuration", lambda: changed_configuration)
    monkeypatch.setattr(rig.service.endpoint_watcher, "watch", lambda *args: None)
    rig.talks[0].serve(ids(1)[0])  # the answer has been sent but not read when the reload runs
    rig.service.reloader.reload(rig.service.tasks)
    rig.turn(2)
    assert client.answers() == ["served", "served"]


def test_login_and_query_in_one_segment_on_a_session_that_finds_no_room_get_an_answer(rig):
    door = rig.service.door
    busy = [rig.client() for _ in range(door.seats.most)]
    rig.until(lambda: len(door.clients) == door.seats.most)
    for client in busy:
        client.write(query(99)[:30])  # all have unread bytes, so none is closed to make room
    excess = rig.client(LOGIN + query(1))
    door.accept(1)
    rig.turn(2)
    excess.hear()
    assert excess.payloads()[0][:1] == b"\xff"
    assert int.from_bytes(excess.payloads()[0][1:3], "little") == REFUSED[0]
    assert SELECT and not rig.log.faults()


def test_fault_of_ours_in_one_answer_keeps_no_other_query_from_its_own(rig, monkeypatch):
    first, second = rig.connected(), rig.client()
    rig.until(lambda: len(rig.service.door.clients) == 2 and not rig.service.door.seats.steps)
    kill, failing_session = rig.service.door.kill, min(rig.service.door.clients)

    def kill_or_raise(session, reason):
        if session == failing_session:
            raise IndexError("injected programming error")
        kill(session, reason)

    monkeypatch.setattr(rig.service.door, "kill", kill_or_raise)
    first.write(query(1, route="nobody"))
    second.write(query(2, route="nobody"))  # both queries are handled in one round
    rig.until(lambda: second.answers() and rig.log.faults())
    assert second.answers() == [FAILED[0]] and len(rig.log.faults()) == 1
