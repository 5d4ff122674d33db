"""No attempt begins for a client that has closed, reset or cancelled, wherever its query waits."""

from contextlib import suppress

import pytest
from rounds_by_hand import LOGIN, PING, Rig, packet, query

from hillchute.decision.interface import EndpointState
from hillchute.fronts.mysql.packets import MOST_WAITING

KEYED = {"route": "event-load", "entity": "ab", "patience": 8_000}
HALF = query(99)[:20]
MUCH = 3 * MOST_WAITING * PING + 40_000 * b"x"  # more than is read ahead of an answer


@pytest.fixture
def rig():
    rig = Rig()
    yield rig
    rig.close()


def ids(*numbers):
    return [f"{number:016x}" for number in numbers]


def behind_another(rig):
    """A query of a key runs; a second one of the key waits for it. Gives the second one's client."""
    first = rig.connected()
    rig.serving = False
    first.write(query(1, nonce="01", **KEYED))
    rig.until(lambda: rig.wants == ids(1))
    second = rig.client(LOGIN + query(2, nonce="02", **KEYED))
    rig.until(lambda: len(rig.service.reducer.unanswered) == 2)
    return second


def answer_first(rig):
    next(talk for talk in rig.talks if not talk.ended).serve(ids(1)[0])


@pytest.mark.parametrize("ahead", [b"", HALF, MUCH], ids=["nothing", "half a command", "much"])
@pytest.mark.parametrize("how", ["close", "reset"])
def test_query_behind_another_of_its_key_is_not_begun_in_the_round_that_finds_it_alone(rig, how, ahead):
    second = behind_another(rig)
    second.write(ahead)
    rig.turn(3)
    answer_first(rig)
    getattr(second, how)()  # both are ready in the next look
    rig.turn(5)
    assert rig.wants == ids(1) and len(rig.service.door.clients) == 1


@pytest.mark.parametrize("ahead", [b"", HALF, MUCH], ids=["nothing", "half a command", "much"])
def test_query_without_an_engine_is_dropped_with_its_client_though_bytes_stand_unread(rig, ahead):
    rig.list(2, state=EndpointState.DRAINING)
    client = rig.client(LOGIN + query(1) + ahead)
    rig.until(lambda: rig.service.reducer.unanswered)
    client.close()
    rig.turn()
    assert not rig.service.reducer.unanswered and not rig.service.door.clients
    rig.list(3)
    rig.turn(5)
    assert rig.wants == []


def test_query_on_hold_for_a_connect_is_looked_at_again_before_its_first_byte(rig):
    client = rig.client(LOGIN + query(1))
    rig.service.event_loop.round()  # accepted, read, and put in its place
    while not rig.service.links.links:
        rig.service.event_loop.round()
    (link,) = rig.service.links.links.values()
    assert link.pipe is None  # the connect is under way
    client.close()
    rig.turn(5)  # the connection comes up and the client is found gone, in one look
    assert rig.wants == [] and not rig.service.reducer.unanswered


def test_all_that_leave_in_one_look_are_let_go_before_a_place_is_given_on(rig):
    """The place of the first that left must not go to another that has left as well."""
    first = rig.connected()
    rig.serving = False
    first.write(query(1, nonce="01", **KEYED))
    rig.until(lambda: rig.wants == ids(1))
    waiting = []
    for number in range(2, 6):
        waiting.append(rig.client(LOGIN + query(number, nonce=f"0{number}", **KEYED)))
        rig.until(lambda number=number: len(rig.service.reducer.unanswered) == number)
    for client in (first, *waiting):
        client.close()
    rig.pass_time(0.2)
    answer_first(rig)
    rig.turn(5)
    assert rig.wants == ids(1) and not rig.service.reducer.unanswered


def kill(client):
    number = int.from_bytes(client.hear()[0].split(b"\0", 1)[1][:4], "little")
    return packet(0, b"\x03KILL QUERY %d" % number)


@pytest.mark.parametrize("closes", [False, True], ids=["waits for its answer", "closes at once"])
def test_cancel_on_a_new_session_is_heard_before_what_follows_a_pause(rig, closes):
    second = behind_another(rig)
    canceller = rig.client(LOGIN + kill(second))
    if closes:
        canceller.close()
    answer_first(rig)
    rig.pass_time(0.3)  # the router stood still
    rig.turn(5)
    assert rig.wants == ids(1)


def test_timer_after_a_pause_begins_nothing_for_who_left_meanwhile(rig):
    """The engine's rest ends while the router stands still; its alarm is due before it has looked."""
    client = rig.connected()
    engine = rig.service.reducer.scheduler.engines[1]
    engine.ejected_until = rig.clock() + 2_000
    client.write(query(1))
    rig.until(lambda: rig.service.reducer.unanswered)
    assert rig.wants == []
    client.close()
    rig.pass_time(0.5)
    assert rig.service.alarm.due_at < rig.clock()
    rig.turn(5)
    assert rig.wants == [] and not rig.service.reducer.unanswered


def test_client_that_stays_is_served_after_the_same_pause(rig):
    client = rig.connected()
    rig.service.reducer.scheduler.engines[1].ejected_until = rig.clock() + 2_000
    client.write(query(1))
    rig.until(lambda: rig.service.reducer.unanswered)
    rig.pass_time(0.3)
    rig.until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == "served"


def test_client_that_writes_without_end_and_never_reads_holds_no_more_than_its_part(rig):
    other = rig.connected()
    flood = rig.client(LOGIN)
    sent = 0
    for _ in range(400):
        with suppress(BlockingIOError):
            sent += flood.sock.send(64 * query(1))
        rig.turn()
        number = max(rig.service.door.clients)
        held = rig.service.door.clients[number].session
        assert held.ahead + len(held.buffer) <= rig.configuration.max_packet_bytes + 16_384 + 4
    assert sent > rig.configuration.max_packet_bytes
    other.write(query(2))
    rig.until(lambda: len(other.answers()) == 2)
    assert other.answers()[1] == "served"
