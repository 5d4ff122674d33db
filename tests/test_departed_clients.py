"""No attempt is started for a client that has closed, reset or cancelled, wherever its query is queued."""

from contextlib import suppress

import pytest
from rounds_by_hand import LOGIN, PING, RouterHarness, packet, query

from hillchute.decision.interface import EndpointState
from hillchute.fronts.events import QueryReceived
from hillchute.fronts.mysql.packets import MAX_QUEUED_COMMANDS
from hillchute.router.event_loop import MAX_POLL_AGE

KEYED = {"route": "event-load", "entity": "ab", "patience": 8_000}
HALF_COMMAND = query(99)[:20]
# More than the router reads before an answer is sent.
LONG_INPUT = 3 * MAX_QUEUED_COMMANDS * PING + 40_000 * b"x"


@pytest.fixture
def rig():
    rig = RouterHarness()
    yield rig
    rig.close()


def ids(*numbers):
    return [f"{number:016x}" for number in numbers]


def queue_behind_another(rig):
    """Starts a query, and queues a second one with the same ordering key; returns the second one's client."""
    first = rig.client_after_served_query()
    rig.answers_at_once = False
    first.write(query(1, nonce="01", **KEYED))
    rig.run_until(lambda: rig.received_attempts == ids(1))
    second = rig.connect_client(LOGIN + query(2, nonce="02", **KEYED))
    rig.run_until(lambda: len(rig.service.reducer.unanswered) == 2)
    return second


def answer_first(rig):
    next(connection for connection in rig.engine_connections if not connection.closed_by_peer).serve(
        ids(1)[0]
    )


@pytest.mark.parametrize("unread", [b"", HALF_COMMAND, LONG_INPUT], ids=["nothing", "half a command", "much"])
@pytest.mark.parametrize("departure", ["close", "reset"])
def test_query_behind_another_of_its_key_is_not_started_in_the_round_that_finds_its_client_gone(
    rig, departure, unread
):
    second = queue_behind_another(rig)
    second.write(unread)
    rig.run_rounds(3)
    answer_first(rig)
    getattr(second, departure)()  # the next poll reports both
    rig.run_rounds(5)
    assert rig.received_attempts == ids(1) and len(rig.service.mysql_frontend.clients) == 1


@pytest.mark.parametrize("unread", [b"", HALF_COMMAND, LONG_INPUT], ids=["nothing", "half a command", "much"])
def test_query_without_an_engine_is_dropped_when_its_client_closes_with_unread_input(rig, unread):
    rig.list_engine(2, state=EndpointState.DRAINING)
    client = rig.connect_client(LOGIN + query(1) + unread)
    rig.run_until(lambda: rig.service.reducer.unanswered)
    client.close()
    rig.run_rounds()
    assert not rig.service.reducer.unanswered and not rig.service.mysql_frontend.clients
    rig.list_engine(3)
    rig.run_rounds(5)
    assert rig.received_attempts == []


def test_query_that_waits_for_a_connect_is_not_sent_if_its_client_has_gone(rig):
    client = rig.connect_client(LOGIN + query(1))
    rig.service.event_loop.round()  # accepted, read and queued
    while not rig.service.links.connections:
        rig.service.event_loop.round()
    (link,) = rig.service.links.connections.values()
    assert link.buffered_socket is None  # the connect is under way
    client.close()
    rig.run_rounds(5)  # one poll reports the connection and the client's close
    assert rig.received_attempts == [] and not rig.service.reducer.unanswered


def test_all_clients_that_leave_in_one_poll_are_removed_before_the_next_query_starts(rig):
    """The slot of the first client that left must not go to a query whose client has left as well."""
    first = rig.client_after_served_query()
    rig.answers_at_once = False
    first.write(query(1, nonce="01", **KEYED))
    rig.run_until(lambda: rig.received_attempts == ids(1))
    waiting = []
    for number in range(2, 6):
        waiting.append(rig.connect_client(LOGIN + query(number, nonce=f"0{number}", **KEYED)))
        rig.run_until(lambda number=number: len(rig.service.reducer.unanswered) == number)
    for client in (first, *waiting):
        client.close()
    rig.advance_clock(0.2)
    answer_first(rig)
    rig.run_rounds(5)
    assert rig.received_attempts == ids(1) and not rig.service.reducer.unanswered


def kill_query(client):
    number = int.from_bytes(client.read_payloads()[0].split(b"\0", 1)[1][:4], "little")
    return packet(0, b"\x03KILL QUERY %d" % number)


@pytest.mark.parametrize("closes", [False, True], ids=["waits for its answer", "closes at once"])
def test_cancel_on_a_new_session_is_handled_before_queries_start_after_a_pause(rig, closes):
    second = queue_behind_another(rig)
    canceller = rig.connect_client(LOGIN + kill_query(second))
    if closes:
        canceller.close()
    answer_first(rig)
    rig.advance_clock(0.3)  # the router's process was paused
    rig.run_rounds(5)
    assert rig.received_attempts == ids(1)


def test_timer_after_a_pause_starts_nothing_for_clients_that_left_meanwhile(rig):
    """An engine's ejection ends while the router is paused; its alarm is due before the next poll."""
    client = rig.client_after_served_query()
    engine = rig.service.reducer.scheduler.engines[1]
    engine.ejected_until = rig.clock() + 2_000
    client.write(query(1))
    rig.run_until(lambda: rig.service.reducer.unanswered)
    assert rig.received_attempts == []
    client.close()
    rig.advance_clock(0.5)
    assert rig.service.alarm.due_at < rig.clock()
    rig.run_rounds(5)
    assert rig.received_attempts == [] and not rig.service.reducer.unanswered


def test_query_whose_client_is_found_gone_as_it_is_taken_is_not_started(rig):
    """Guards against a query that is started although the poll right before it has dropped its client."""
    clients = {ids(1)[0]: rig.client_after_served_query(), ids(2)[0]: rig.connect_client()}
    rig.run_rounds(3)
    handle, taken = rig.service.executor.handle, []

    def handle_while_the_other_client_leaves(event):
        handle(event)
        if isinstance(event, QueryReceived):
            taken.append(event.request.id)
            next(client for id, client in clients.items() if id != taken[0]).close()
            rig.advance_clock(2 * MAX_POLL_AGE / 10_000)

    rig.service.executor.handle = handle_while_the_other_client_leaves
    for number, client in enumerate(clients.values(), start=1):
        client.write(query(number))
    rig.run_until(lambda: taken and clients[taken[0]].answers()[-1:] == ["served"])
    rig.run_rounds(3)
    assert len(taken) == 1 and rig.received_attempts == taken
    assert not rig.service.reducer.queries and len(rig.service.mysql_frontend.clients) == 1


def test_connected_client_is_served_after_the_same_pause(rig):
    client = rig.client_after_served_query()
    rig.service.reducer.scheduler.engines[1].ejected_until = rig.clock() + 2_000
    client.write(query(1))
    rig.run_until(lambda: rig.service.reducer.unanswered)
    rig.advance_clock(0.3)
    rig.run_until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == "served"


def test_input_of_a_client_that_writes_endlessly_and_never_reads_is_bounded(rig):
    other = rig.client_after_served_query()
    writer = rig.connect_client(LOGIN)
    sent = 0
    for _ in range(400):
        with suppress(BlockingIOError):
            sent += writer.sock.send(64 * query(1))
        rig.run_rounds()
        number = max(rig.service.mysql_frontend.clients)
        session = rig.service.mysql_frontend.clients[number].session
        assert session.queued_bytes + len(session.buffer) <= rig.configuration.max_packet_bytes + 16_384 + 4
    assert sent > rig.configuration.max_packet_bytes
    other.write(query(2))
    rig.run_until(lambda: len(other.answers()) == 2)
    assert other.answers()[1] == "served"
