"""The router's codecs and its reducer, without sockets."""

import errno
import signal
import socket
import struct

import anyio
import orjson
import pytest
from conftest import CATALOG
from rounds_by_hand import Signals

from hillchute.benchlink.codec import Fields
from hillchute.decision.interface import SECOND, AttemptResult, EndpointState, Listing, Reason
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import ConnectFault
from hillchute.engines.line import wire
from hillchute.engines.line.exchange import Exchange
from hillchute.engines.line.wire import Answer
from hillchute.errors import ConfigurationError, EventBusProtocolError
from hillchute.fronts import seats
from hillchute.fronts.mysql import packets as mysql
from hillchute.log import MAX_LINES_PER_EVENT, Log
from hillchute.net.buffered_socket import BufferedSocket
from hillchute.net.system_calls import SYSTEM_CALLS
from hillchute.router import config, events, loop_lag, signal_handling
from hillchute.router.answer_log import outcome_text
from hillchute.router.effects import (
    CloseConnection,
    FailQuery,
    OpenConnection,
    RejectQuery,
    SendCommand,
    SendResult,
    WriteLog,
)
from hillchute.router.lifecycle import Phase
from hillchute.router.query_state import QueryOutcome
from hillchute.router.reducer import Reducer
from hillchute.router.service import Service
from hillchute.settings import Settings
from hillchute.statements import request as statement

COMMENT = b"/* route=report,trace=9b1f03aa5c7e2d41,patience=1500,weight=820.0,mb=96 */ "
SELECT = b"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"


# ---- statements -----------------------------------------------------------------------------------


def test_statement_goes_on_without_its_fields_and_unchanged():
    request = statement.read(COMMENT + SELECT + b"  ")
    assert request.statement == SELECT + b"  "
    assert (request.id, request.group, request.patience) == ("9b1f03aa5c7e2d41", "report", 15_000)
    assert (request.cost, request.memory, request.tables) == (8200, 96.0, 17)


@pytest.mark.parametrize(
    "fields, named",
    [
        ("route=report,patience=5", "trace"),
        ("route=report,trace=9b1f03aa5c7e2d4,patience=5", "trace"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=x", "patience"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=nan", "patience"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=-1", "patience"),
        ("route=report,route=lookup,trace=9b1f03aa5c7e2d41,patience=5", "route"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=5,weight=", "weight"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=5,entity=a b", "entity"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=5,nonce=x\0y", "nonce"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=5,weight=1_0", "weight"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=5,mb=inf", "mb"),
        ("route=report,trace=9b1f03aa5c7e2d41,patience=0", "patience"),
    ],
)
def test_misread_names_the_field(fields, named):
    with pytest.raises(statement.Misread, match=named):
        statement.read(b"/* %s */ SELECT 1" % fields.encode())


@pytest.mark.parametrize(
    "sql, tables",
    [
        (b"SELECT 1 FROM sales_17.orders", 17),
        (b"SELECT 'from x_1.y' FROM `sales_3`.`orders`", 3),
        (b"SELECT 'it''s \\' a_9.b' /* from c_8.d */ FROM sales_4.orders -- e_7.f", 4),
        (b"SELECT o_2.day FROM sales_5.orders o_2", 5),
        (b"INSERT INTO sales_6.orders SELECT * FROM staging.orders", 6),
        (b"SELECT * FROM staging.x JOIN sales_8 . y", 8),
        (b"# from a_1.b\nUPDATE sales_9.orders SET note = 'z'", 9),
        (b"SELECT 1.5 FROM orders", None),
        (b"SELECT 1 FROM sales_" + b"9" * 5000 + b".orders", None),
    ],
)
def test_table_group(sql, tables):
    assert statement.table_group(sql) == tables


# ---- clients --------------------------------------------------------------------------------------


def packet(number, payload):
    return len(payload).to_bytes(3, "little") + bytes([number]) + payload


def login(user=b"app", database=b"lake", password=b""):
    flags = 0x8 | 0x200 | 0x8000
    head = struct.pack("<IIB23x", flags, 1 << 24, 45)
    return head + user + b"\0" + bytes([len(password)]) + password + database + b"\0"


@pytest.fixture
def session():
    session = mysql.Session(7, config.MAX_PACKET_BYTES)
    session.greeting()
    return session


def test_login_and_query_come_in_pieces_and_before_the_greeting_is_read(session):
    data = packet(1, login()) + packet(0, b"\x03" + SELECT)
    for n in range(len(data)):
        session.feed(data[n : n + 1])
    command, out = session.command()
    assert out == packet(2, mysql.OK)
    assert command == mysql.Query(SELECT)


@pytest.mark.parametrize(
    "changed, number", [({"user": b"x"}, 1045), ({"password": b"x"}, 1045), ({"database": b"x"}, 1049)]
)
def test_wrong_login_is_an_access_error(session, changed, number):
    session.feed(packet(1, login(**changed)))
    command, out = session.command()
    assert command is None and session.over
    assert struct.unpack_from("<H", out, 5)[0] == number


def test_garbage_ends_the_session_with_an_error(session):
    session.feed(packet(1, b"\xff" * 9))
    assert session.command()[1][4] == 0xFF and session.over


def test_next_command_waits_for_the_answer_of_the_one_before(session):
    session.feed(packet(1, login()) + packet(0, b"\x0e") + packet(0, b"\x03KILL QUERY 12"))
    assert session.command()[0] == mysql.Ping()
    assert session.command()[0] is None
    assert session.ok() == packet(1, mysql.OK)
    assert session.command()[0] == mysql.KillQuery(12)


@pytest.mark.parametrize("size", [0, 1, 240, 250, 251, 70_000])
def test_result_set_holds_every_size_of_column(session, size):
    session.sequence = 1
    data = session.result([[b"a", b"x" * size, b""]])
    payloads = []
    while data:
        end = 4 + int.from_bytes(data[:3], "little")
        assert data[3] == len(payloads) + 1
        payloads.append(data[4:end])
        data = data[end:]
    assert payloads[0] == b"\x03" and payloads[4] == payloads[6] == mysql.EOF
    assert payloads[5] == b"\x01a" + mysql.length(size) + b"x" * size + b"\x00"


# ---- engines and the event bus --------------------------------------------------------------------


def test_answers_come_in_pieces_and_several_at_once():
    decoder = wire.Decoder()
    data = b"q1 ACK parts=2,work=12.5,rep=util:0.5;inflight:7 6\r\na\tb\tc\n\r\nq2 EIO - 0\r\n\r\n"
    answers = [answer for n in range(len(data)) for answer in decoder.feed(data[n : n + 1])]
    assert answers == list(wire.Decoder().feed(data))
    assert [a.word for a in answers] == ["ACK", "EIO"]
    assert (answers[0].report, answers[0].work) == ({"util": 0.5, "inflight": 7.0}, 12.5)
    assert wire.rows(answers[0].body) == [[b"a", b"b", b"c"]]


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"q ACK - z\r\n",
        b"q ACK - 1\r\nabc",
        b"q ACK - 3000000000\r\n",
        b"q NOISE - 0\r\n\r\n",
        b"\xff\xfe ACK - 0\r\n\r\n",
        b"q ACK work=-1 0\r\n\r\n",
        b"q ACK work=inf 0\r\n\r\n",
        b"q ACK parts=0 0\r\n\r\n",
        b"q EVENT why=advance,value=nan 0\r\n\r\n",
        b"q READY rep=util:x 0\r\n\r\n",
        b"q ACK parts 0\r\n\r\n",
        b"q" * 5000,
    ],
    ids=range(13),
)
def test_answers_before_one_that_cannot_be_read_are_given(data):
    answers = wire.Decoder().feed(b"q1 EIO - 0\r\n\r\n" + data)
    assert next(answers).id == "q1"
    with pytest.raises(wire.Unreadable):
        next(answers)


def test_known_and_frames_give_the_same_listing():
    endpoint = {"name": "s-00c41f7a", "address": "10.1.0.9:6565", "zone": "west", "type": "big", "group": 2}
    endpoint |= {"status": "Terminating", "weight": 4, "since_ms": 1234}
    batch = [{"offset": 41, "topology": {"index": 7, "snapshot": True, "endpoints": [endpoint]}}]
    (known,) = event_bus.initial_watch_events({"batch": batch}, ["east", "west"], ["std", "big"])
    record = event_bus.ENDPOINT_RECORD.pack(0xC41F7A, bytes([10, 1, 0, 9]), 6565, 1, 1, 1, 2, 4000, 1234)
    frame = event_bus.FRAME_HEADER.pack(9 + len(record), 41, 1) + record
    decoder = event_bus.WatchEventDecoder()
    assert not list(decoder.feed(frame[:20]))
    assert list(decoder.feed(frame[20:])) == [known]


def test_unreadable_frame_is_said_to_be():
    with pytest.raises(EventBusProtocolError):
        list(event_bus.WatchEventDecoder().feed(event_bus.FRAME_HEADER.pack(9 + 5, 1, 2)))


# ---- configuration --------------------------------------------------------------------------------

KIND = {
    "name": "a lookup",
    "goal_time_ns": 150_000,
    "deadline_ns": 9_000_000,
    "semantics": "by_key",
    "worth": 2.5,
}
SETTINGS = {
    "classes": [KIND],
    "kinds": ["std"],
    "dcs": ["east"],
    "domain": {"width_by_class": [1], "kind_cores": [8, 16], "grants": False},
    "limits": {"connect_timeout_ns": 250_000_000, "keepalive_ns": 30_000_000_000},
    "parties": [],
}
TABLE = {
    "name": "n1",
    "listen": "127.0.0.1:6565",
    "seed": "ff",
    "bus": "127.0.0.1:8500",
    "known": {"offset": 0, "batch": []},
    "settings": SETTINGS,
}


def test_configuration_gives_the_map_that_the_bench_gives():
    pairs = (
        "classes.count=1 classes.0.name=a_lookup classes.0.goal_time_ns=150000 classes.0.deadline_ns=9000000"
    )
    pairs += " classes.0.semantics=by_key classes.0.worth=2.5 kinds=std dcs=east domain.width_by_class=1"
    pairs += " domain.kind_cores=8,16 domain.grants=false limits.connect_timeout_ns=250000000"
    pairs += " limits.keepalive_ns=30000000000 parties="
    fields = Fields(f"UP 7 {pairs}", 1)
    fields.required_integer("init_seed")
    configuration = config.parse_configuration(TABLE, {})
    assert configuration.stated_catalog == fields.catalog() | {"sessions": 1024 // 3}
    assert configuration.settings == Settings.from_catalog(configuration.stated_catalog)


@pytest.mark.parametrize(
    "path, value",
    [
        ("listen", "nowhere"),
        ("seed", "xyz"),
        ("bus", None),
        ("limits.sockets", 3),
        ("known.offset", "1"),
        ("settings.classes", []),
        ("settings.limits.keepalive_ns", 0),
    ],
)
def test_faulty_key_is_named_by_its_path(path, value):
    table = orjson.loads(orjson.dumps(TABLE | {"limits": {}}))
    *parents, last = path.split(".")
    place = table
    for name in parents:
        place = place[name]
    place[last] = value
    with pytest.raises(ConfigurationError, match=path.replace(".", r"\.")):
        config.parse_configuration(table, {})


# ---- the reducer ----------------------------------------------------------------------------------

NAMES = {f"groups.{n}.name": name for n, name in enumerate(["lookup", "report", "load", "write"])}
LIMITS = {
    "limits.open_cap": 100,
    "limits.connect_timeout": 2500,
    "limits.streams_per_conn": 8,
    "domain.tells_every": SECOND,
}


class Rig:
    """A reducer with engines 1 to 6, and what it has asked for."""

    def __init__(self, **changed):
        catalog = CATALOG | NAMES | LIMITS | {name.replace("__", "."): v for name, v in changed.items()}
        self.exchanges = {}
        settings = Settings.from_catalog(catalog)
        self.reducer = Reducer(QueryScheduler(7, settings, 0), settings, 10)
        listings = [Listing(e, 0, 0, 0, 0, EndpointState.READY, 1.0) for e in range(1, 7)]
        entries = [event_bus.Endpoint(listing, "127.0.0.1", listing.engine) for listing in listings]
        self.do(events.EndpointsChanged(event_bus.WatchEvent(1, "Complete", tuple(entries))))

    def do(self, event, now=0, kind=None):
        effects = self.reducer.reduce(event, now)
        for effect in effects:
            if isinstance(effect, SendCommand):
                self.exchanges.setdefault(effect.connection, Exchange()).encode(effect.command)
        return [e for e in effects if kind is None or isinstance(e, kind)]

    def ask(self, group="lookup", id="a" * 16, session=1, now=0, patience=5 * SECOND, cost=1000, **known):
        request = statement.Request(id, group, patience, b"SELECT 1 FROM sales_4.orders", cost=cost, **known)
        return self.do(events.Asked(session, request, now), now)

    def sent(self, now=0, **known):
        """A query whose submission is out; the number of its connection."""
        (line,) = [e.connection for e in self.ask(now=now, **known) if isinstance(e, OpenConnection)]
        assert [type(e.command) for e in self.do(events.Connected(line), now, SendCommand)] == [words.Run]
        return line

    def say(self, line, word, now=10, id="a" * 16, kind=None, **known):
        try:
            said = self.exchanges[line].said(Answer(id, word, **known))
        except wire.Unreadable as fault:
            return self.do(events.Lost(line, str(fault)), now, kind)
        return self.do(events.Said(line, said), now, kind)


@pytest.fixture
def rig():
    return Rig()


def test_pages_are_asked_for_at_once_and_put_in_order(rig):
    line = rig.sent()
    rig.say(line, "ACK", parts=3, body=b"1\t1\t1\n")
    assert rig.exchanges[line].owed == b"".join(wire.encode(wire.Turn("a" * 16, n)) for n in (1, 2))
    assert not rig.say(line, "BLOCK", part=2, body=b"3\t3\t3\n", kind=SendResult)
    (done,) = rig.say(line, "BLOCK", part=1, body=b"2\t2\t2\n", kind=SendResult)
    assert done.rows == [[b"1"] * 3, [b"2"] * 3, [b"3"] * 3]
    assert not rig.reducer.queries and not rig.reducer.unanswered


def test_spoilt_page_ends_its_connection_and_is_not_passed_on(rig):
    line = rig.sent()
    other = rig.reducer.pool.connections[line]
    effects = rig.say(line, "ACK", body=b"1\t1\n")
    assert not [e for e in effects if isinstance(e, SendResult)]
    assert line not in rig.reducer.pool.connections and other.attempts == {}


def test_page_that_comes_twice_or_was_not_asked_for_changes_nothing(rig):
    line = rig.sent()
    rig.say(line, "BLOCK", part=1, body=b"0\t0\t0\n")
    rig.say(line, "ACK", parts=3, body=b"1\t1\t1\n")
    rig.say(line, "ACK", parts=1, body=b"0\t0\t0\n")
    rig.say(line, "BLOCK", part=2, body=b"3\t3\t3\n")
    rig.say(line, "BLOCK", part=2, body=b"0\t0\t0\n")
    rig.say(line, "BLOCK", part=9, body=b"0\t0\t0\n")
    (done,) = rig.say(line, "BLOCK", part=1, body=b"2\t2\t2\n", kind=SendResult)
    assert done.rows == [[b"1"] * 3, [b"2"] * 3, [b"3"] * 3]


def test_connection_on_which_nothing_is_heard_is_cut_and_its_queries_go_elsewhere(rig):
    line = rig.sent(group="report")
    engine = rig.reducer.pool.connections[line].engine
    for now in range(0, rig.reducer.pool.silence_limit, 1000):
        assert not rig.do(events.AlarmDue(), now, CloseConnection)
    effects = [
        e for now in (4, 5) for e in rig.do(events.AlarmDue(), rig.reducer.pool.silence_limit * now // 4 + 2)
    ]
    assert CloseConnection(line) in effects
    assert [e for e in effects if isinstance(e, OpenConnection) and e.port != engine]


def test_engine_that_is_gone_is_forgotten_once_nothing_is_out_there(rig):
    def told(number, state):
        entry = event_bus.Endpoint(Listing(engine, 0, 0, 0, 0, state, 1.0), "127.0.0.1", engine)
        rig.do(events.EndpointsChanged(event_bus.WatchEvent(number, "Partial", (entry,))), 5)

    line = rig.sent()
    engine = rig.reducer.pool.connections[line].engine
    told(2, "Gone")
    assert engine in rig.reducer.pool.endpoints
    rig.do(events.Lost(line, "reset"), 10)
    told(3, "Gone")
    assert engine not in rig.reducer.pool.endpoints and engine not in rig.reducer.scheduler.engines
    told(4, "Ready")
    assert rig.reducer.pool.endpoints[engine].ready


def test_fault_in_one_event_leaves_the_effects_before_it(rig):
    rig.reducer.scheduler.on_query = lambda *_: 1 / 0
    (note,) = [e for e in rig.ask() if isinstance(e, WriteLog)]
    assert note.event == "fault" and "ZeroDivisionError" in note.fields["trace"]
    assert [type(e) for e in rig.do(events.AlarmDue(), 5 * SECOND, FailQuery)] == [FailQuery]


@pytest.mark.parametrize(
    "event, result",
    [
        (lambda line: events.Said(line, words.Ended("a" * 16, "saturated")), "saturated"),
        (lambda line: events.Said(line, words.Ended("a" * 16, "errored")), "errored"),
        (lambda line: events.Said(line, words.Ended("a" * 16, "superseded")), "superseded"),
        (lambda line: events.Lost(line, "reset"), "severed"),
    ],
)
def test_endings_are_told_apart(rig, event, result):
    line = rig.sent()
    told = []
    rig.reducer.scheduler.on_attempt_ended = lambda now, ended: told.append(ended.result)
    rig.do(event(line), 10)
    assert told == [result]


def test_refused_connection_proves_that_nothing_ran_and_another_engine_is_tried(rig):
    (first,) = [e for e in rig.ask() if isinstance(e, OpenConnection)]
    (second,) = rig.do(events.NotConnected(first.connection, ConnectFault.REFUSED), 10, OpenConnection)
    assert second.port != first.port


def test_timers_of_a_query_leave_the_next_of_the_same_name_alone(rig):
    line = rig.sent(patience=2 * SECOND)
    rig.say(line, "ACK", parts=1, body=b"1\t1\t1\n")
    rig.ask(now=SECOND, patience=4 * SECOND, session=2)
    effects = rig.do(events.AlarmDue(), 2 * SECOND + 1)
    assert not [e for e in effects if isinstance(e, WriteLog) and e.event == "fault"]
    assert 2 in rig.reducer.unanswered


def test_longest_idle_connection_gives_way_where_there_are_no_more(rig):
    pool = rig.reducer.pool
    pool.max_connections = 3
    opened = [pool.connection_for(pool.endpoints[n], None) for n in (1, 2, 3)]
    for used, connection in zip((5, 3, 4), opened, strict=True):
        rig.do(events.Connected(connection.number))
        connection.last_used_at = used
    assert pool.connection_for(pool.endpoints[4], None) is not None
    assert {connection.engine for connection in pool.connections.values()} == {1, 3, 4}


def test_want_of_connections_is_no_verdict_on_the_engine(rig):
    rig.reducer.pool.max_connections = 0
    assert [type(e) for e in rig.ask() if isinstance(e, RejectQuery | OpenConnection)] == [RejectQuery]
    assert not [e for e in rig.reducer.scheduler.engines.values() if e.failures or e.started]


def test_second_submission_never_shares_the_connection_of_the_first(rig):
    line = rig.sent()
    q = rig.reducer.queries["a" * 16]
    peer = rig.reducer.pool.endpoints[q.attempts[0].engine]
    assert rig.reducer.pool.connection_for(peer, None).number == line
    assert rig.reducer.pool.connection_for(peer, q).number != line


def test_silent_connection_gets_nothing_new(rig):
    line = rig.sent()
    peer = rig.reducer.pool.endpoints[rig.reducer.pool.connections[line].engine]
    rig.reducer.context.now = rig.reducer.pool.silence_limit + 1
    assert rig.reducer.pool.connection_for(peer, None).number != line
    rig.say(line, "EVENT", now=rig.reducer.context.now, topic=1, value=0.1)
    assert rig.reducer.pool.connection_for(peer, None).number == line


def test_time_out_gives_the_submission_up_and_a_late_answer_is_passed_over(rig):
    line = rig.sent(patience=SECOND)
    margin = loop_lag.LoopLag().answer_margin(SECOND) + rig.reducer.scheduler.answer_margin
    effects = rig.do(events.AlarmDue(), SECOND - margin)
    assert words.GiveUp("a" * 16) in [e.command for e in effects if isinstance(e, SendCommand)]
    assert [type(e) for e in effects if isinstance(e, RejectQuery | FailQuery)] == [RejectQuery]
    assert not rig.say(line, "ACK", now=SECOND, kind=SendResult)


def test_drain_told_while_a_connection_comes_up_stops_the_send(rig):
    (wait,) = [e for e in rig.ask() if isinstance(e, OpenConnection)]
    engine = rig.reducer.pool.connections[wait.connection].engine
    entry = event_bus.Endpoint(Listing(engine, 0, 0, 0, 0, EndpointState.DRAINING, 1.0), "127.0.0.1", engine)
    rig.do(events.EndpointsChanged(event_bus.WatchEvent(2, "Partial", (entry,))), 5)
    sends = rig.do(events.Connected(wait.connection), 10, SendCommand)
    assert not [e for e in sends if isinstance(e.command, words.Run)]
    assert rig.reducer.queries["a" * 16].attempts[0].ended


def test_client_that_leaves_gets_nothing_and_the_answer_is_shut(rig):
    line = rig.sent()
    assert not rig.do(events.Left(1), 5, FailQuery | RejectQuery)
    assert not rig.say(line, "ACK", kind=SendResult)
    assert not rig.reducer.queries


def test_priority_changed_on_running_work_goes_to_its_engine(rig):
    line = rig.sent()
    rig.reducer.context.effects = []
    rig.reducer.attempts.set_priority(rig.reducer.queries["a" * 16], 3)
    assert rig.reducer.context.effects == [SendCommand(line, words.Hurry("a" * 16, 3))]


@pytest.mark.parametrize(
    "known, named",
    [
        ({"group": "x"}, "route"),
        ({"group": "load"}, "nonce"),
        ({"group": "load", "token": "t"}, "entity"),
        ({"patience": 20 * SECOND}, "patience"),
        ({"cost": 9 * SECOND * 8}, "weight"),
        ({"memory": 1001.0}, "mb"),
    ],
)
def test_query_that_does_not_fit_is_answered_with_its_field(known, named):
    rig = Rig(groups__2__queue_timeout=9 * SECOND - 1, domain__ram_of_kind_mb=[500, 1000])
    (answer,) = [e for e in rig.ask(**known) if isinstance(e, FailQuery)]
    assert named in answer.reason
    assert not rig.reducer.queries


def test_fault_in_the_decisions_leaves_no_query_unanswered(rig):
    rig.reducer.scheduler.next_decision = lambda now: 1 / 0
    notes = [e for e in rig.ask(patience=SECOND) if isinstance(e, WriteLog)]
    assert "ZeroDivisionError" in notes[0].fields["trace"]
    assert [type(e) for e in rig.do(events.AlarmDue(), SECOND, FailQuery)] == [FailQuery]


def test_pause_of_the_loop_is_taken_off_the_end_whichever_event_comes_first(rig):
    rig.ask(id="b" * 16, session=2, patience=SECOND // 2)
    first_look = rig.reducer.context.timers[0].due
    rig.ask(now=first_look + 6000, patience=5 * SECOND)
    assert rig.reducer.queries["a" * 16].deadline == first_look + 5 * SECOND - loop_lag.CONNECT_DELAY


def test_closing_answers_everything_by_its_end(rig):
    rig.sent(patience=9 * SECOND)
    rig.do(events.ShutdownStarted(2 * SECOND), SECOND)
    done = rig.do(events.AlarmDue(), 2 * SECOND - rig.reducer.scheduler.answer_margin, RejectQuery)
    assert [e.session for e in done] == [1]


def test_connections_to_engines_are_bounded():
    rig = Rig()
    rig.reducer.pool.max_connections = 0
    assert not [e for e in rig.ask() if isinstance(e, OpenConnection)]


def test_event_written_twice_brings_no_older_list_back(rig):
    def listed(number, state):
        entry = event_bus.Endpoint(Listing(1, 0, 0, 0, 0, state, 1.0), "127.0.0.1", 1)
        rig.do(events.EndpointsChanged(event_bus.WatchEvent(number, "Partial", (entry,))))
        return rig.reducer.pool.endpoints[1].ready

    assert not listed(3, "Terminating")
    assert not listed(2, "Ready") and not listed(3, "Ready")
    assert listed(4, "Ready")


# ---- sockets --------------------------------------------------------------------------------------


class Fickle:
    """A socket that is full, then wakes its writer for nothing, then takes a few bytes at a time."""

    def __init__(self):
        self.turns = iter([None, None, 3])
        self.taken = b""

    def send(self, data):
        size = next(self.turns, len(data))
        if size is None:
            raise BlockingIOError(errno.EAGAIN, "would block")
        self.taken += bytes(data[:size])
        return min(size, len(data))


def test_bytes_that_a_full_socket_does_not_take_are_still_owed():
    pipe = BufferedSocket(Fickle(), Watched(), None, 1024)
    pipe.write(b"an answer")
    while pipe.unsent:
        assert pipe.poller.writing
        pipe.flush()
    assert not pipe.poller.writing
    assert pipe.sock.taken == b"an answer" and not pipe.unsent


class Watched:
    """Stands in for the poller: whether the pipe asks to be told that its socket takes bytes."""

    writing = False
    system = SYSTEM_CALLS

    def add(self, sock, owner):
        pass

    def watch_writing(self, sock, on):
        self.writing = on


@pytest.fixture
def configuration():
    return config.parse_configuration(TABLE, {})


@pytest.fixture
def router(configuration):
    router = Service(configuration, Log("n1", -1))
    router.lifecycle.enter(Phase.SERVING)
    return router


def test_reload_moves_the_event_bus_and_goes_on_from_the_last_number(router, configuration, monkeypatch):
    async def run():
        buses = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        read_again = iter(
            [
                ConfigurationError("missing", "bus"),
                configuration._replace(event_bus_address=buses[1].getsockname()),
            ]
        )

        def read():
            found = next(read_again)
            if isinstance(found, Exception):
                raise found
            return found

        monkeypatch.setattr(config, "read_configuration", read)
        monkeypatch.setattr(router.signals, "record_arrival", lambda number: None)  # not the main thread
        monkeypatch.setattr(
            signal_handling.anyio, "open_signal_receiver", lambda *_: Signals(*[signal.SIGHUP] * 2)
        )
        router.configuration = configuration._replace(
            event_bus_address=buses[0].getsockname(), initial_offset=7
        )
        async with anyio.create_task_group() as tasks:
            router.attach_tasks(tasks)
            router.endpoint_watcher.watch(router.configuration.event_bus_address, router.tasks)
            first = (await anyio.to_thread.run_sync(buses[0].accept))[0]
            assert await anyio.to_thread.run_sync(first.recv, 8) == event_bus.encode_subscription(7)
            await router.signals.listen(router.on_signal)
            second = (await anyio.to_thread.run_sync(buses[1].accept))[0]
            assert await anyio.to_thread.run_sync(second.recv, 8) == event_bus.encode_subscription(7)
            assert await anyio.to_thread.run_sync(first.recv, 8) == b""  # left
            tasks.cancel_scope.cancel()
        for sock in (*buses, first, second):
            sock.close()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run)
    assert router.lifecycle.phase is Phase.SERVING


def test_changes_that_need_a_restart_are_named(configuration):
    table = orjson.loads(orjson.dumps(TABLE))
    table["settings"]["limits"]["keepalive_ns"] = 1_000_000
    table["bus"] = "127.0.0.1:9"
    assert config.needs_restart(configuration, config.parse_configuration(table, {})) == ["limits.keepalive"]


def test_fewer_sockets_are_named_with_the_sessions_that_follow_from_them(configuration):
    fewer = config.parse_configuration(TABLE | {"limits": {"sockets": 512}}, {})
    assert config.needs_restart(configuration, fewer) == ["sockets", "sessions"]


@pytest.mark.parametrize("seed, number", [("ff", 255), (17, 17)])
def test_seed_is_hexadecimal_text_or_a_number(seed, number):
    assert config.parse_configuration(TABLE | {"seed": seed}, {}).seed == number


@pytest.mark.parametrize(
    "path, value, message",
    [
        ("seed", True, "seed: expected str or int, got 'True'"),
        ("seed", "xyz", "seed: not a hexadecimal number: 'xyz'"),
        ("seed", None, "seed: missing"),
        ("known", [], "known: not an object"),
        ("bus", "nowhere", "bus: not an address of the form host:port: 'nowhere'"),
        ("limits", {"sockets": 63}, "limits.sockets: expected at least 64, got 63"),
        ("limits", {"memory_mb": 23}, "limits.memory_mb: expected at least 24, got 23"),
        ("limits", {"sockets": True}, "limits.sockets: expected int, got 'True'"),
    ],
)
def test_fault_of_a_configuration_is_told_in_words(path, value, message):
    with pytest.raises(ConfigurationError) as error:
        config.parse_configuration(TABLE | {path: value}, {})
    assert str(error.value) == message


def test_settings_of_a_shape_that_no_check_knows_are_refused_by_name():
    domain = SETTINGS["domain"] | {"report_x0": ["a", "b"]}
    with pytest.raises(ConfigurationError) as error:
        config.parse_configuration(TABLE | {"settings": SETTINGS | {"domain": domain}}, {})
    assert error.value.location == "settings"


# ---- who may stay connected -----------------------------------------------------------------------


def test_silent_sessions_give_way_first_then_the_longest_idle_and_never_one_with_a_query():
    places = seats.Seats(4)
    for session in (1, 2, 3, 4):
        places.in_step(session, 0)
    places.ask(1)
    places.rest(2)
    places.rest(3)
    places.rest(2)
    assert places.full and list(places.give_way()) == [4, 3, 2]


def test_step_is_late_by_its_own_clock_and_an_idle_session_never():
    places = seats.Seats(4)
    places.in_step(1, 0)
    places.in_step(2, 5)
    places.rest(2)
    places.in_step(3, 10)
    places.in_step(1, 20)
    assert places.late(seats.STEP) == [1]


def test_commands_that_wait_are_bounded_together_and_each_is_answered():
    session = mysql.Session(7, longest=1000)
    session.greeting()
    session.feed(packet(1, login()))
    session.command()
    session.feed(packet(0, b"\x03" + b"x" * 600))
    assert not session.full
    session.feed(packet(0, b"\x03" + b"y" * 600))
    assert session.full and not session.over  # nothing more is read until one of them is answered
    assert session.command()[0].text == b"x" * 600
    assert not session.full
    session.ok()
    assert session.command()[0].text == b"y" * 600


def test_more_commands_at_once_than_may_wait_are_all_answered_in_their_order(session):
    session.feed(packet(1, login()))
    session.command()
    many = 3 * mysql.MOST_WAITING
    session.feed(b"".join(packet(0, b"\x03%d" % n) for n in range(many)), since=5)
    assert len(session.waiting) == mysql.MOST_WAITING and session.full
    for n in range(many):
        command, _ = session.command()
        assert command == mysql.Query(b"%d" % n, 5)
        session.ok()
    assert not session.full and not session.buffer


def test_commands_ahead_of_a_packet_that_is_too_large_are_answered_before_it_ends_the_session():
    session = mysql.Session(7, longest=1000)
    session.greeting()
    session.feed(packet(1, login()) + packet(0, b"\x03one") + packet(0, b"x" * 1001) + packet(0, b"\x0e"))
    assert session.command()[0] == mysql.Query(b"one")
    assert session.full and session.command() == (None, b"")
    session.ok()
    command, out = session.command()
    assert command is None and session.over
    assert struct.unpack_from("<H", out, 5)[0] == mysql.TOO_LARGE[0]


async def serve(router, talk):
    """Runs a router's door on a port of its own while `talk` speaks to it in a thread."""
    listener = socket.create_server(("127.0.0.1", 0))
    router.door.open(listener)
    async with anyio.create_task_group() as tasks:
        router.attach_tasks(tasks)
        tasks.start_soon(router.event_loop.run)
        tasks.start_soon(router.event_loop.run_sweep)
        await anyio.to_thread.run_sync(talk, listener.getsockname())
        tasks.cancel_scope.cancel()
    router.door.close()


def hear(sock):
    """All that the router says until it closes."""
    sock.settimeout(5)
    said = b""
    while data := sock.recv(65_536):
        said += data
    return said


def test_usual_client_finds_room_among_hundreds_that_say_nothing(router):
    def talk(address):
        silent = [socket.create_connection(address) for _ in range(router.door.seats.most + 20)]
        with socket.create_connection(address) as sock:
            sock.sendall(packet(1, login()) + packet(0, b"\x0e") + packet(0, b"\x01"))
            assert hear(sock).endswith(packet(2, mysql.OK) + packet(1, mysql.OK))
        assert len(router.door.clients) <= router.door.seats.most
        for sock in silent:
            sock.close()

    anyio.run(serve, router, talk)


def test_error_reaches_a_client_that_goes_on_sending(router):
    def talk(address):
        with socket.create_connection(address) as sock:
            sock.sendall(packet(1, login()) + b"\xff\xff\xff\0")
            for _ in range(300):
                sock.sendall(b"x" * 10_000)
            sock.shutdown(socket.SHUT_WR)
            assert b"are allowed" in hear(sock)

    anyio.run(serve, router, talk)


def test_login_that_does_not_go_on_is_ended(router, monkeypatch):
    monkeypatch.setattr(seats, "STEP", 500)

    def talk(address):
        with socket.create_connection(address) as sock:
            sock.sendall(packet(1, login())[:9])
            assert b"not complete in time" in hear(sock)

    anyio.run(serve, router, talk)


def test_events_that_follow_from_an_effect_wait_until_those_before_are_out(router, monkeypatch):
    done = []
    monkeypatch.setattr(router.reducer, "reduce", lambda event, now: [f"{event} one", f"{event} two"])

    def carry_out(effect):
        done.append(effect)
        if effect == "first one":
            router.handle("second")

    monkeypatch.setattr(router.executor, "carry_out", carry_out)
    router.handle("first")
    assert done == ["first one", "first two", "second one", "second two"]


LOGGED_REASONS = {
    Reason.DEADLINE: "deadline",
    Reason.NO_RETRY: "no_retry",
    Reason.TOO_LATE: "too_late",
    Reason.TOO_HEAVY: "too_heavy",
    Reason.ENGINES_OVERLOADED: "engines_overloaded",
    Reason.LOADS_AHEAD: "loads_ahead",
}
LOGGED_RESULTS = {
    AttemptResult.OVERLOADED: "overloaded",
    AttemptResult.CONNECTION_REFUSED: "connection_refused",
    AttemptResult.UNREACHABLE: "unreachable",
    AttemptResult.NOT_SENT: "not_sent",
    AttemptResult.CONNECTION_LOST: "connection_lost",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.FAILED: "failed",
}


def test_log_counts_answers_by_outcome_and_the_name_of_the_check():
    assert LOGGED_REASONS.keys() == set(Reason)
    for reason, name in LOGGED_REASONS.items():
        assert outcome_text(QueryOutcome.REJECTED, reason) == f"rejected: {name}"
    assert outcome_text(QueryOutcome.SERVED, "") == "served"
    assert outcome_text(QueryOutcome.REJECTED, "history: no verdict in time").endswith(": no verdict in time")


@pytest.mark.parametrize(("result", "name"), LOGGED_RESULTS.items())
def test_log_has_the_name_of_an_attempts_result(rig, result, name):
    line = rig.sent()
    said = rig.do(events.Said(line, words.Ended("a" * 16, result)), 10, WriteLog)
    (ended,) = [note for note in said if note.event == "attempt_ended"]
    assert ended.fields["result"] == name


def test_lines_alike_are_counted_not_written():
    log = Log("n1", -1)
    for _ in range(100):
        log.write("invalid_query", reason="x")
    log.window_start = 0
    log.write("invalid_query", reason="x")
    lines = [orjson.loads(line) for line in log.buffer.splitlines()]
    assert len(lines) == MAX_LINES_PER_EVENT + 2
    assert lines[-2]["left_out"] == {"invalid_query": 100 - MAX_LINES_PER_EVENT}
