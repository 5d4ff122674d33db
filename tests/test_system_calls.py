"""Every system call on a socket fails with each documented errno, at every call of a scripted run."""

import socket
import time
from collections.abc import Iterator

import pytest
from rounds_by_hand import LOGIN, PING, QUIT, SELECT, Rig, query, tcp_info

from hillchute.engines import events, words
from hillchute.engines.line.links import Link, Links
from hillchute.fronts.mysql.packets import FAILED, MOST_WAITING, OK
from hillchute.lab import deployment
from hillchute.lab.faulty_system import DOCUMENTED_ERRNOS, Fault, FaultySystemCalls
from hillchute.log import Log
from hillchute.net.poller import Poller, ReadySocket

LOCAL_ERRNO_NAMES = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"}


class ScriptedSystemCalls(FaultySystemCalls):
    """The kernel's idle times are the script's, since the router's time goes on by turns."""

    received_ms_ago = 0  # when the last bytes came on every connection

    def tcp_info(self, sock: socket.socket) -> bytes:
        """Fail where that is chosen, and else return the script's time."""
        super().tcp_info(sock)
        return tcp_info(self.received_ms_ago)


def scripted(fault: Fault) -> tuple[FaultySystemCalls, bool, list[str | int], list[int]]:
    """A query and one that is unsafe to repeat, a client that leaves, one that writes much ahead, one that
    says good-bye; then a client that must be served as before. Time goes on by turns: where a busy machine
    makes the reading of two queries take over 100 ms each, the second may rightly be rejected."""
    system = ScriptedSystemCalls(fault)
    rig = Rig(system, table=deployment.table(sockets=128, mutating=True), time_by_turns=True)
    try:
        first = rig.client(LOGIN + query(1))
        rig.until(lambda: first.answers() or first.ended)
        if not first.ended:
            first.write(query(2, "change"))
            rig.until(lambda: len(first.answers()) == 2 or first.ended)
        leaving = rig.client(LOGIN + query(3))
        rig.turn()
        leaving.close()
        ahead = rig.client(LOGIN + query(4) + 3 * MOST_WAITING * PING)
        rig.until(lambda: ahead.ended or ahead.hear().count(OK) == 3 * MOST_WAITING + 1)
        rig.client(LOGIN + QUIT)
        rig.turn(2)
        assert rig.wants.count(f"{2:016x}") <= 1
        system.fault = None
        last = rig.client(LOGIN + query(5))
        rig.until(lambda: last.answers())
        # An engine that refuses a connection is taken to have restarted: it gets little at first.
        assert last.answers() == ["served"] or (
            fault.errno_name == "ECONNREFUSED" and last.answers() == [1040]
        )
        assert rig.service.door.listener is not None
        assert not rig.log.faults()
        blamed = [e.failures for e in rig.service.reducer.scheduler.engines.values()]
        return system, first.ended, first.answers(), blamed
    finally:
        rig.close()


CASES = [(call, error) for call, errors in DOCUMENTED_ERRNOS.items() for error in errors]


@pytest.mark.parametrize(("call", "error"), CASES)
def test_router_goes_on_and_answers_whichever_call_fails(call: str, error: str) -> None:
    number = 0
    while True:
        number += 1
        system, ended, answers, blamed = scripted(Fault(call, error, number))
        if not system.triggered:
            break
        # The connection of the first client may break, as it would outside; else both answers have come.
        assert ended or len(answers) == 2
        if error in LOCAL_ERRNO_NAMES:
            assert not any(blamed)  # what this machine lacks is no engine's fault
    assert number > 1, f"the script makes no call of {call}"


@pytest.mark.parametrize("call", ["receive", "send"])
def test_short_reads_and_writes_of_every_size_change_nothing(call: str) -> None:
    for size in range(1, 120):
        _, _, answers, _ = scripted(Fault(call, max_bytes=size, count=10**6))
        assert answers == ["served", "served"]


def test_queries_that_are_all_read_late_are_rejected_and_never_sent() -> None:
    system = ScriptedSystemCalls()
    rig = Rig(system, table=deployment.table(sockets=128, mutating=True), time_by_turns=True)
    client = rig.connected()
    for late_ms, route, answer in (
        (90, "lookup", "served"),
        (150, "lookup", "served"),
        (150, "change", 1040),
    ):
        rig.wants.clear()
        rig.pass_time(0.15)  # each in a window of its own: one late query may be a pause that is over
        system.received_ms_ago = late_ms
        before = len(client.answers())
        client.write(query(2 + before, route))
        rig.until(lambda before=before: len(client.answers()) > before)
        assert client.answers()[before:] == [answer]
        assert len(rig.wants) == (answer == "served")
    rig.close()


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOMEM"])
def test_want_of_descriptors_neither_spins_nor_ends_the_router_and_ends_with_the_want(error: str) -> None:
    system = FaultySystemCalls(Fault("accept", error, count=10**6))
    rig = Rig(system)
    client = rig.client(LOGIN + query(1))
    rig.turn(50)
    assert system.calls["accept"] == 1
    assert rig.service.rounds.idle  # it waits for the next sweep
    rig.service.door.sweep()
    rig.turn(50)
    assert system.calls["accept"] == 2
    told = [fields for event, fields in rig.log.lines if event == "fault"]
    assert told[0]["error"] == "AcceptPausedError"
    assert told[0]["remedy"]
    system.fault = None
    rig.until(lambda: client.answers())
    assert client.answers() == ["served"]
    rig.close()


def test_keyed_query_waits_while_connections_that_came_before_it_cannot_be_accepted() -> None:
    system = FaultySystemCalls()
    rig = Rig(system)
    open_one = rig.connected()
    system.fault = Fault("accept", "ENFILE", system.calls["accept"] + 1, count=10**6)
    key = {"route": "event-load", "entity": "ab", "patience": 8_000}
    earlier = rig.client(LOGIN + query(1, nonce="01", **key))
    rig.turn()
    time.sleep(0.3)  # the protocol: 250 ms after one on a new connection
    open_one.write(query(2, nonce="02", **key))
    rig.turn(20)
    assert rig.wants == []  # the earlier one of the key may still be with the kernel
    system.fault = None
    rig.until(lambda: len(earlier.answers()) == 1 and len(open_one.answers()) == 2)
    assert rig.wants == [f"{1:016x}", f"{2:016x}"]
    rig.close()


@pytest.fixture
def unsafe() -> Iterator[Rig]:
    """A router with a class that is unsafe to repeat, a client that is logged in and an idle connection."""
    rig = Rig(FaultySystemCalls(), table=deployment.table(sockets=128, mutating=True))
    rig.first = rig.connected()
    yield rig
    rig.close()


def test_unsafe_attempt_that_meets_the_end_of_an_idle_connection_is_made_on_another(
    unsafe: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine closes after the round has polled and before the attempt is written."""
    poll = unsafe.service.poller.poll

    def poll_then_close() -> list[ReadySocket]:
        found = poll()
        unsafe.talks[0].close()
        return found

    monkeypatch.setattr(unsafe.service.poller, "poll", poll_then_close)
    unsafe.first.write(query(5, "change"))
    unsafe.service.event_loop.round()
    monkeypatch.undo()
    unsafe.until(lambda: len(unsafe.first.answers()) == 2)
    assert unsafe.first.answers()[1] == "served"
    assert unsafe.wants == [f"{5:016x}"]


def test_unsafe_attempt_is_made_again_where_the_write_failed_whole(unsafe: Rig) -> None:
    unsafe.serving = False
    other = unsafe.client(LOGIN + query(4))
    unsafe.until(lambda: len(unsafe.wants) == 1)  # the connection is in use
    calls = unsafe.system.calls["send"]
    unsafe.system.fault = Fault("send", "ECONNRESET", calls + 1)
    unsafe.serving = True
    unsafe.first.write(query(5, "change"))
    unsafe.until(lambda: len(unsafe.first.answers()) == 2 and other.answers())
    assert unsafe.first.answers()[1] == "served"
    assert unsafe.wants.count(f"{5:016x}") == 1


def test_unsafe_attempt_is_not_made_again_where_a_byte_of_it_left(unsafe: Rig) -> None:
    calls = unsafe.system.calls["send"]
    unsafe.system.fault = Fault("send", max_bytes=1, first=calls + 1)
    unsafe.first.write(query(5, "change"))
    unsafe.service.event_loop.round()
    unsafe.system.fault = Fault("send", "ECONNRESET", calls + 2)
    unsafe.until(lambda: len(unsafe.first.answers()) == 2)
    assert unsafe.first.answers()[1] == FAILED[0]
    assert unsafe.wants == []


def test_of_a_batch_of_which_the_kernel_took_a_part_the_rest_can_be_taken_back(unsafe: Rig) -> None:
    (link,) = unsafe.service.links.links.values()
    runs = [words.Run(f"{n:016x}", "lookup", 900, None, None, SELECT.encode()) for n in (6, 7, 8)]
    unsafe.service.links.wanted = lambda id: True
    unsafe.system.fault = Fault("send", max_bytes=5, first=unsafe.system.calls["send"] + 1)
    unsafe.service.links.write(link, runs)
    assert [item.command for item in link.held] == runs[1:]
    link.hold(words.GiveUp(runs[1].id), 0)
    link.pipe.flush()
    unsafe.service.links.release(link)
    unsafe.turn(2)
    assert unsafe.wants == [runs[0].id, runs[2].id]


def test_client_that_is_gone_by_the_last_look_is_written_nothing_for(unsafe: Rig) -> None:
    (link,) = unsafe.service.links.links.values()
    run = words.Run("a" * 16, "lookup", 900, None, None, SELECT.encode())
    unsafe.service.links.write(link, [run])
    unsafe.turn(2)
    assert unsafe.wants == []


def test_engine_that_does_not_read_is_written_nothing_for_a_client_that_has_left() -> None:
    """The first attempts fill the connection; those that wait behind them are taken back with their
    clients."""
    system = FaultySystemCalls()
    rig = Rig(system)
    rig.connected()
    rig.serving = False
    link = next(iter(rig.service.links.links.values()))
    staying, leaving = rig.client(), rig.client()
    rig.until(lambda: len(rig.service.door.clients) == 3 and not rig.service.door.seats.steps)
    staying.write(query(6))
    system.fault = Fault("send", max_bytes=9, first=system.calls["send"] + 1, count=1)
    rig.service.event_loop.round()
    assert link.pipe.unsent  # the engine took nine bytes of the first
    system.fault = Fault("send", "EAGAIN", first=1, count=10**9)
    leaving.write(query(7))
    rig.turn()
    assert [item.command.id for item in link.held] == [f"{7:016x}"]
    leaving.reset()
    rig.turn()
    system.fault = None
    rig.turn(5)
    assert rig.wants == [f"{6:016x}"]
    rig.close()


def test_attempt_that_waits_behind_a_full_connection_is_given_only_the_time_that_is_left() -> None:
    link = Link(1)
    link.hold(words.Run("a", "lookup", 100, None, None, b"SELECT"), 0)
    link.hold(words.Run("b", "lookup", 100, None, None, b"SELECT"), 0)
    assert link.release(700).within == 30
    assert link.release(1_700).within <= 0


def test_connection_that_failed_before_it_was_accepted_does_not_hold_up_the_next() -> None:
    rig = Rig(FaultySystemCalls(Fault("accept", "ECONNABORTED")))
    client = rig.client(LOGIN + query(1))
    rig.turn(4)  # no sweep in between
    assert not rig.service.door.paused
    assert client.answers() == ["served"]
    rig.close()


def test_connection_hung_up_between_the_poll_and_its_turn_is_left_alone() -> None:
    with socket.create_server(("127.0.0.1", 0)) as engine:
        poller = Poller()
        handled: list[events.Event] = []
        links = Links(poller, Log("n", -1), handled.append, lambda: 0, lambda _: True)
        links.open(1, *engine.getsockname(), tasks=None)
        link = links.links[1]
        assert link.pipe is None
        links.hang_up(1)
        links.ready(link, readable=False, writable=True)
        assert not handled
        poller.epoll.close()
