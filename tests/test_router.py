"""The codecs, the reducer and the configuration of a router, and its MySQL sessions on sockets."""

import errno
import signal
import socket
import struct

import anyio
import orjson
import pytest
from conftest import CATALOG
from rounds_by_hand import SignalReceiverStandIn

from hillchute.benchlink.codec import Fields
from hillchute.decision.interface import SECOND, AttemptResult, EndpointEntry, EndpointState, Reason
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import ConnectFailure
from hillchute.engines.line import wire
from hillchute.engines.line.exchange import LineProtocol
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


def test_statement_is_passed_on_unchanged_without_its_fields():
    request = statement.parse_statement(COMMENT + SELECT + b"  ")
    assert request.statement == SELECT + b"  "
    assert (request.id, request.group, request.client_timeout) == ("9b1f03aa5c7e2d41", "report", 15_000)
    assert (request.cost, request.memory_mb, request.table_group) == (8200, 96.0, 17)


@pytest.mark.parametrize(
    "fields, invalid_field",
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
def test_error_names_the_invalid_field(fields, invalid_field):
    with pytest.raises(statement.InvalidStatementError, match=invalid_field):
        statement.parse_statement(b"/* %s */ SELECT 1" % fields.encode())


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


def test_login_and_query_sent_byte_by_byte_before_reading_the_greeting(session):
    data = packet(1, login()) + packet(0, b"\x03" + SELECT)
    for n in range(len(data)):
        session.feed(data[n : n + 1])
    command, out = session.command()
    assert out == packet(2, mysql.OK)
    assert command == mysql.Query(SELECT)


@pytest.mark.parametrize(
    "changed, number", [({"user": b"x"}, 1045), ({"password": b"x"}, 1045), ({"database": b"x"}, 1049)]
)
def test_invalid_login_gets_its_error_code(session, changed, number):
    session.feed(packet(1, login(**changed)))
    command, out = session.command()
    assert command is None and session.closing
    assert struct.unpack_from("<H", out, 5)[0] == number


def test_malformed_login_ends_the_session_with_an_error(session):
    session.feed(packet(1, b"\xff" * 9))
    assert session.command()[1][4] == 0xFF and session.closing


def test_next_command_waits_for_the_answer_to_the_previous_one(session):
    session.feed(packet(1, login()) + packet(0, b"\x0e") + packet(0, b"\x03KILL QUERY 12"))
    assert session.command()[0] == mysql.Ping()
    assert session.command()[0] is None
    assert session.ok() == packet(1, mysql.OK)
    assert session.command()[0] == mysql.KillQuery(12)


@pytest.mark.parametrize("size", [0, 1, 240, 250, 251, 70_000])
def test_result_set_encodes_every_size_of_column(session, size):
    session.sequence = 1
    data = session.result([[b"a", b"x" * size, b""]])
    payloads = []
    while data:
        end = 4 + int.from_bytes(data[:3], "little")
        assert data[3] == len(payloads) + 1
        payloads.append(data[4:end])
        data = data[end:]
    assert payloads[0] == b"\x03" and payloads[4] == payloads[6] == mysql.EOF
    assert payloads[5] == b"\x01a" + mysql.lenenc_integer(size) + b"x" * size + b"\x00"


# ---- engines and the event bus --------------------------------------------------------------------


def test_decoder_accepts_partial_and_multiple_answers():
    decoder = wire.Decoder()
    data = b"q1 ACK parts=2,work=12.5,rep=util:0.5;inflight:7 6\r\na\tb\tc\n\r\nq2 EIO - 0\r\n\r\n"
    answers = [answer for n in range(len(data)) for answer in decoder.feed(data[n : n + 1])]
    assert answers == list(wire.Decoder().feed(data))
    assert [a.kind for a in answers] == ["ACK", "EIO"]
    assert (answers[0].report, answers[0].cpu_ms) == ({"util": 0.5, "inflight": 7.0}, 12.5)
    assert wire.parse_rows(answers[0].body) == [[b"a", b"b", b"c"]]


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
def test_answers_before_an_unreadable_one_are_returned(data):
    answers = wire.Decoder().feed(b"q1 EIO - 0\r\n\r\n" + data)
    assert next(answers).id == "q1"
    with pytest.raises(wire.MalformedAnswerError):
        next(answers)


def test_configured_and_received_endpoint_lists_are_equal():
    endpoint = {"name": "s-00c41f7a", "address": "10.1.0.9:6565", "zone": "west", "type": "big", "group": 2}
    endpoint |= {"status": "Terminating", "weight": 4, "since_ms": 1234}
    batch = [{"offset": 41, "topology": {"index": 7, "snapshot": True, "endpoints": [endpoint]}}]
    (configured,) = event_bus.initial_watch_events({"batch": batch}, ["east", "west"], ["std", "big"])
    record = event_bus.ENDPOINT_RECORD.pack(0xC41F7A, bytes([10, 1, 0, 9]), 6565, 1, 1, 1, 2, 4000, 1234)
    frame = event_bus.FRAME_HEADER.pack(9 + len(record), 41, 1) + record
    decoder = event_bus.WatchEventDecoder()
    assert not list(decoder.feed(frame[:20]))
    assert list(decoder.feed(frame[20:])) == [configured]


def test_malformed_frame_raises_a_protocol_error():
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
PLATFORM_CONFIGURATION = {
    "name": "n1",
    "listen": "127.0.0.1:6565",
    "seed": "ff",
    "bus": "127.0.0.1:8500",
    "known": {"offset": 0, "batch": []},
    "settings": SETTINGS,
}


def test_configuration_gives_the_same_catalog_as_the_simulator_adapter():
    pairs = (
        "classes.count=1 classes.0.name=a_lookup classes.0.goal_time_ns=150000 classes.0.deadline_ns=9000000"
    )
    pairs += " classes.0.semantics=by_key classes.0.worth=2.5 kinds=std dcs=east domain.width_by_class=1"
    pairs += " domain.kind_cores=8,16 domain.grants=false limits.connect_timeout_ns=250000000"
    pairs += " limits.keepalive_ns=30000000000 parties="
    fields = Fields(f"UP 7 {pairs}", 1)
    fields.required_integer("init_seed")
    configuration = config.parse_configuration(PLATFORM_CONFIGURATION, {})
    assert configuration.catalog == fields.catalog() | {"sessions": 1024 // 3}
    assert configuration.settings == Settings.from_catalog(configuration.catalog)


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
def test_error_names_the_faulty_key_by_its_path(path, value):
    table = orjson.loads(orjson.dumps(PLATFORM_CONFIGURATION | {"limits": {}}))
    *parents, last = path.split(".")
    section = table
    for name in parents:
        section = section[name]
    section[last] = value
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


class ReducerHarness:
    """A reducer with engines 1 to 6, and the encoded commands by connection."""

    def __init__(self, **changes):
        catalog = CATALOG | NAMES | LIMITS | {name.replace("__", "."): v for name, v in changes.items()}
        self.protocols = {}
        settings = Settings.from_catalog(catalog)
        self.reducer = Reducer(QueryScheduler(7, settings, 0), settings, 10)
        entries = [EndpointEntry(e, 0, 0, 0, 0, EndpointState.READY, 1.0) for e in range(1, 7)]
        endpoints = [event_bus.Endpoint(entry, "127.0.0.1", entry.engine) for entry in entries]
        self.handle(events.EndpointsChanged(event_bus.WatchEvent(1, "Complete", tuple(endpoints))))

    def handle(self, event, now=0, kind=None):
        """Reduces an event; returns its effects, or only those of the given type."""
        effects = self.reducer.reduce(event, now)
        for effect in effects:
            if isinstance(effect, SendCommand):
                self.protocols.setdefault(effect.connection, LineProtocol()).encode(effect.command)
        return [e for e in effects if kind is None or isinstance(e, kind)]

    def submit(
        self, group="lookup", id="a" * 16, session=1, now=0, client_timeout=5 * SECOND, cost=1000, **fields
    ):
        request = statement.Request(
            id, group, client_timeout, b"SELECT 1 FROM sales_4.orders", cost=cost, **fields
        )
        return self.handle(events.QueryReceived(session, request, now), now)

    def send_query(self, now=0, **fields):
        """Submits a query that is sent to an engine; returns the number of its connection."""
        (connection,) = [
            e.connection for e in self.submit(now=now, **fields) if isinstance(e, OpenConnection)
        ]
        assert [type(e.command) for e in self.handle(events.Connected(connection), now, SendCommand)] == [
            words.StartRun
        ]
        return connection

    def receive(self, connection, word, now=10, id="a" * 16, kind=None, **fields):
        """Handles an answer of an engine."""
        try:
            message = self.protocols[connection].handle_answer(Answer(id, word, **fields))
        except wire.MalformedAnswerError as error:
            return self.handle(events.ConnectionLost(connection, str(error)), now, kind)
        return self.handle(events.MessageReceived(connection, message), now, kind)


@pytest.fixture
def rig():
    return ReducerHarness()


def test_all_pages_are_requested_at_once_and_put_in_order(rig):
    connection = rig.send_query()
    rig.receive(connection, "ACK", page_count=3, body=b"1\t1\t1\n")
    assert rig.protocols[connection].pending_output == b"".join(
        wire.encode(wire.FetchPage("a" * 16, n)) for n in (1, 2)
    )
    assert not rig.receive(connection, "BLOCK", page=2, body=b"3\t3\t3\n", kind=SendResult)
    (result,) = rig.receive(connection, "BLOCK", page=1, body=b"2\t2\t2\n", kind=SendResult)
    assert result.rows == [[b"1"] * 3, [b"2"] * 3, [b"3"] * 3]
    assert not rig.reducer.queries and not rig.reducer.unanswered


def test_unreadable_page_ends_its_connection_and_is_not_passed_on(rig):
    connection = rig.send_query()
    engine_connection = rig.reducer.pool.connections[connection]
    effects = rig.receive(connection, "ACK", body=b"1\t1\n")
    assert not [e for e in effects if isinstance(e, SendResult)]
    assert connection not in rig.reducer.pool.connections and engine_connection.attempts == {}


def test_duplicate_and_unrequested_pages_are_ignored(rig):
    connection = rig.send_query()
    rig.receive(connection, "BLOCK", page=1, body=b"0\t0\t0\n")
    rig.receive(connection, "ACK", page_count=3, body=b"1\t1\t1\n")
    rig.receive(connection, "ACK", page_count=1, body=b"0\t0\t0\n")
    rig.receive(connection, "BLOCK", page=2, body=b"3\t3\t3\n")
    rig.receive(connection, "BLOCK", page=2, body=b"0\t0\t0\n")
    rig.receive(connection, "BLOCK", page=9, body=b"0\t0\t0\n")
    (result,) = rig.receive(connection, "BLOCK", page=1, body=b"2\t2\t2\n", kind=SendResult)
    assert result.rows == [[b"1"] * 3, [b"2"] * 3, [b"3"] * 3]


def test_silent_connection_is_closed_and_its_queries_are_retried_elsewhere(rig):
    connection = rig.send_query(group="report")
    engine = rig.reducer.pool.connections[connection].engine
    for now in range(0, rig.reducer.pool.silence_limit, 1000):
        assert not rig.handle(events.AlarmDue(), now, CloseConnection)
    effects = [
        e
        for now in (4, 5)
        for e in rig.handle(events.AlarmDue(), rig.reducer.pool.silence_limit * now // 4 + 2)
    ]
    assert CloseConnection(connection) in effects
    assert [e for e in effects if isinstance(e, OpenConnection) and e.port != engine]


def test_engine_that_is_gone_is_removed_once_it_has_no_open_attempts(rig):
    def list_engine(offset, state):
        endpoint = event_bus.Endpoint(EndpointEntry(engine, 0, 0, 0, 0, state, 1.0), "127.0.0.1", engine)
        rig.handle(events.EndpointsChanged(event_bus.WatchEvent(offset, "Partial", (endpoint,))), 5)

    connection = rig.send_query()
    engine = rig.reducer.pool.connections[connection].engine
    list_engine(2, "Gone")
    assert engine in rig.reducer.pool.endpoints
    rig.handle(events.ConnectionLost(connection, "reset"), 10)
    list_engine(3, "Gone")
    assert engine not in rig.reducer.pool.endpoints and engine not in rig.reducer.scheduler.engines
    list_engine(4, "Ready")
    assert rig.reducer.pool.endpoints[engine].ready


def test_exception_in_one_event_is_logged_and_its_query_is_still_answered(rig):
    rig.reducer.scheduler.on_query = lambda *_: 1 / 0
    (log_line,) = [e for e in rig.submit() if isinstance(e, WriteLog)]
    assert log_line.event == "fault" and "ZeroDivisionError" in log_line.fields["trace"]
    assert [type(e) for e in rig.handle(events.AlarmDue(), 5 * SECOND, FailQuery)] == [FailQuery]


@pytest.mark.parametrize(
    "event, result",
    [
        (
            lambda connection: events.MessageReceived(connection, words.RunEnded("a" * 16, "saturated")),
            "saturated",
        ),
        (
            lambda connection: events.MessageReceived(connection, words.RunEnded("a" * 16, "errored")),
            "errored",
        ),
        (
            lambda connection: events.MessageReceived(connection, words.RunEnded("a" * 16, "superseded")),
            "superseded",
        ),
        (lambda connection: events.ConnectionLost(connection, "reset"), "severed"),
    ],
)
def test_results_of_attempts_are_distinguished(rig, event, result):
    connection = rig.send_query()
    results = []
    rig.reducer.scheduler.on_attempt_ended = lambda now, ended: results.append(ended.result)
    rig.handle(event(connection), 10)
    assert results == [result]


def test_query_is_retried_on_another_engine_after_a_refused_connection(rig):
    (first,) = [e for e in rig.submit() if isinstance(e, OpenConnection)]
    (second,) = rig.handle(events.ConnectFailed(first.connection, ConnectFailure.REFUSED), 10, OpenConnection)
    assert second.port != first.port


def test_timers_of_a_query_do_not_affect_the_next_one_with_its_id(rig):
    # The first one was never sent: an id that may have run is not accepted again (test_repeated_ids.py).
    (connection,) = [
        e.connection for e in rig.submit(client_timeout=2 * SECOND) if isinstance(e, OpenConnection)
    ]
    rig.handle(events.ClientGone(1))
    rig.handle(events.ConnectFailed(connection, ConnectFailure.LOCAL_RESOURCE))
    assert not rig.reducer.queries
    rig.submit(now=SECOND, client_timeout=4 * SECOND, session=2)
    effects = rig.handle(events.AlarmDue(), 2 * SECOND + 1)
    assert not [e for e in effects if isinstance(e, WriteLog) and e.event == "fault"]
    assert 2 in rig.reducer.unanswered


def test_longest_idle_connection_is_closed_when_the_pool_is_full(rig):
    pool = rig.reducer.pool
    pool.max_connections = 3
    opened = [pool.connection_for(pool.endpoints[n], None) for n in (1, 2, 3)]
    for used, connection in zip((5, 3, 4), opened, strict=True):
        rig.handle(events.Connected(connection.number))
        connection.last_used_at = used
    assert pool.connection_for(pool.endpoints[4], None) is not None
    assert {connection.engine for connection in pool.connections.values()} == {1, 3, 4}


def test_lack_of_connections_does_not_count_against_the_engine(rig):
    rig.reducer.pool.max_connections = 0
    assert [type(e) for e in rig.submit() if isinstance(e, RejectQuery | OpenConnection)] == [RejectQuery]
    assert not [e for e in rig.reducer.scheduler.engines.values() if e.failures or e.started]


def test_second_attempt_never_shares_the_connection_of_the_first(rig):
    connection = rig.send_query()
    query = rig.reducer.queries["a" * 16]
    endpoint = rig.reducer.pool.endpoints[query.attempts[0].engine]
    assert rig.reducer.pool.connection_for(endpoint, None).number == connection
    assert rig.reducer.pool.connection_for(endpoint, query).number != connection


def test_silent_connection_gets_no_new_attempt(rig):
    connection = rig.send_query()
    endpoint = rig.reducer.pool.endpoints[rig.reducer.pool.connections[connection].engine]
    rig.reducer.context.now = rig.reducer.pool.silence_limit + 1
    assert rig.reducer.pool.connection_for(endpoint, None).number != connection
    rig.receive(connection, "EVENT", now=rig.reducer.context.now, topic=1, value=0.1)
    assert rig.reducer.pool.connection_for(endpoint, None).number == connection


def test_timed_out_attempt_is_cancelled_and_its_late_answer_is_ignored(rig):
    connection = rig.send_query(client_timeout=SECOND)
    margin = loop_lag.LoopLag().answer_margin(SECOND) + rig.reducer.scheduler.answer_margin
    effects = rig.handle(events.AlarmDue(), SECOND - margin)
    assert words.CancelRun("a" * 16) in [e.command for e in effects if isinstance(e, SendCommand)]
    assert [type(e) for e in effects if isinstance(e, RejectQuery | FailQuery)] == [RejectQuery]
    assert not rig.receive(connection, "ACK", now=SECOND, kind=SendResult)


def test_drain_while_a_connection_is_opened_prevents_the_send(rig):
    (opening,) = [e for e in rig.submit() if isinstance(e, OpenConnection)]
    engine = rig.reducer.pool.connections[opening.connection].engine
    endpoint = event_bus.Endpoint(
        EndpointEntry(engine, 0, 0, 0, 0, EndpointState.DRAINING, 1.0), "127.0.0.1", engine
    )
    rig.handle(events.EndpointsChanged(event_bus.WatchEvent(2, "Partial", (endpoint,))), 5)
    sends = rig.handle(events.Connected(opening.connection), 10, SendCommand)
    assert not [e for e in sends if isinstance(e.command, words.StartRun)]
    assert rig.reducer.queries["a" * 16].attempts[0].ended


def test_client_that_left_gets_no_answer(rig):
    connection = rig.send_query()
    assert not rig.handle(events.ClientGone(1), 5, FailQuery | RejectQuery)
    assert not rig.receive(connection, "ACK", kind=SendResult)
    assert not rig.reducer.queries


def test_priority_change_of_a_running_query_is_sent_to_its_engine(rig):
    connection = rig.send_query()
    rig.reducer.context.effects = []
    rig.reducer.attempts.set_priority(rig.reducer.queries["a" * 16], 3)
    assert rig.reducer.context.effects == [SendCommand(connection, words.SetPriority("a" * 16, 3))]


@pytest.mark.parametrize(
    "fields, invalid_field",
    [
        ({"group": "x"}, "route"),
        ({"group": "load"}, "nonce"),
        ({"group": "load", "idempotency_key": "t"}, "entity"),
        ({"client_timeout": 20 * SECOND}, "patience"),
        ({"cost": 9 * SECOND * 8}, "weight"),
        ({"memory_mb": 1001.0}, "mb"),
    ],
)
def test_invalid_query_is_failed_with_the_name_of_its_field(fields, invalid_field):
    rig = ReducerHarness(groups__2__queue_timeout=9 * SECOND - 1, domain__ram_of_kind_mb=[500, 1000])
    (answer,) = [e for e in rig.submit(**fields) if isinstance(e, FailQuery)]
    assert invalid_field in answer.reason
    assert not rig.reducer.queries


def test_exception_in_the_scheduler_leaves_no_query_unanswered(rig):
    rig.reducer.scheduler.next_decision = lambda now: 1 / 0
    log_lines = [e for e in rig.submit(client_timeout=SECOND) if isinstance(e, WriteLog)]
    assert "ZeroDivisionError" in log_lines[0].fields["trace"]
    assert [type(e) for e in rig.handle(events.AlarmDue(), SECOND, FailQuery)] == [FailQuery]


def test_pause_of_the_loop_shortens_the_deadline_whichever_event_comes_first(rig):
    rig.submit(id="b" * 16, session=2, client_timeout=SECOND // 2)
    first_timer = rig.reducer.context.timers[0].due
    rig.submit(now=first_timer + 6000, client_timeout=5 * SECOND)
    assert rig.reducer.queries["a" * 16].deadline == first_timer + 5 * SECOND - loop_lag.CONNECT_DELAY


def test_shutdown_answers_everything_by_its_deadline(rig):
    rig.send_query(client_timeout=9 * SECOND)
    rig.handle(events.ShutdownStarted(2 * SECOND), SECOND)
    rejections = rig.handle(events.AlarmDue(), 2 * SECOND - rig.reducer.scheduler.answer_margin, RejectQuery)
    assert [e.session for e in rejections] == [1]


def test_connections_to_engines_are_bounded():
    rig = ReducerHarness()
    rig.reducer.pool.max_connections = 0
    assert not [e for e in rig.submit() if isinstance(e, OpenConnection)]


def test_repeated_watch_event_does_not_restore_an_older_endpoint_list(rig):
    def is_ready_after(offset, state):
        endpoint = event_bus.Endpoint(EndpointEntry(1, 0, 0, 0, 0, state, 1.0), "127.0.0.1", 1)
        rig.handle(events.EndpointsChanged(event_bus.WatchEvent(offset, "Partial", (endpoint,))))
        return rig.reducer.pool.endpoints[1].ready

    assert not is_ready_after(3, "Terminating")
    assert not is_ready_after(2, "Ready") and not is_ready_after(3, "Ready")
    assert is_ready_after(4, "Ready")


# ---- sockets --------------------------------------------------------------------------------------


class PartialSocket:
    """A socket that is full, then wakes its writer spuriously, then accepts only a few bytes."""

    def __init__(self):
        self.accepted_sizes = iter([None, None, 3])
        self.accepted = b""

    def send(self, data):
        size = next(self.accepted_sizes, len(data))
        if size is None:
            raise BlockingIOError(errno.EAGAIN, "would block")
        self.accepted += bytes(data[:size])
        return min(size, len(data))


def test_bytes_that_a_full_socket_does_not_accept_are_sent_later():
    buffered_socket = BufferedSocket(PartialSocket(), PollerStub(), None, 1024)
    buffered_socket.write(b"an answer")
    while buffered_socket.unsent:
        assert buffered_socket.poller.writing
        buffered_socket.flush()
    assert not buffered_socket.poller.writing
    assert buffered_socket.sock.accepted == b"an answer" and not buffered_socket.unsent


class PollerStub:
    """Stands in for the poller; records whether writability is watched."""

    writing = False
    system = SYSTEM_CALLS

    def add(self, sock, owner):
        pass

    def watch_writing(self, sock, enabled):
        self.writing = enabled


@pytest.fixture
def configuration():
    return config.parse_configuration(PLATFORM_CONFIGURATION, {})


@pytest.fixture
def router(configuration):
    router = Service(configuration, Log("n1", -1))
    router.lifecycle.enter(Phase.SERVING)
    return router


def test_reload_moves_the_event_bus_and_resumes_after_the_last_offset(router, configuration, monkeypatch):
    async def run():
        buses = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        configurations = iter(
            [
                ConfigurationError("missing", "bus"),
                configuration._replace(event_bus_address=buses[1].getsockname()),
            ]
        )

        def read():
            result = next(configurations)
            if isinstance(result, Exception):
                raise result
            return result

        monkeypatch.setattr(config, "read_configuration", read)
        monkeypatch.setattr(router.signals, "record_arrival", lambda number: None)  # not in the main thread
        monkeypatch.setattr(
            signal_handling.anyio,
            "open_signal_receiver",
            lambda *_: SignalReceiverStandIn(*[signal.SIGHUP] * 2),
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
            assert await anyio.to_thread.run_sync(first.recv, 8) == b""  # closed by the router
            tasks.cancel_scope.cancel()
        for sock in (*buses, first, second):
            sock.close()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run)
    assert router.lifecycle.phase is Phase.SERVING


def test_changes_that_need_a_restart_are_named(configuration):
    table = orjson.loads(orjson.dumps(PLATFORM_CONFIGURATION))
    table["settings"]["limits"]["keepalive_ns"] = 1_000_000
    table["bus"] = "127.0.0.1:9"
    assert config.needs_restart(configuration, config.parse_configuration(table, {})) == ["limits.keepalive"]


def test_changed_sockets_are_named_with_the_sessions_derived_from_them(configuration):
    changed = config.parse_configuration(PLATFORM_CONFIGURATION | {"limits": {"sockets": 512}}, {})
    assert config.needs_restart(configuration, changed) == ["sockets", "sessions"]


@pytest.mark.parametrize("seed, number", [("ff", 255), (17, 17)])
def test_seed_is_hexadecimal_text_or_a_number(seed, number):
    assert config.parse_configuration(PLATFORM_CONFIGURATION | {"seed": seed}, {}).seed == number


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
def test_configuration_error_describes_the_problem(path, value, message):
    with pytest.raises(ConfigurationError) as error:
        config.parse_configuration(PLATFORM_CONFIGURATION | {path: value}, {})
    assert str(error.value) == message


def test_malformed_setting_without_a_check_of_its_own_is_rejected():
    domain = SETTINGS["domain"] | {"report_x0": ["a", "b"]}
    with pytest.raises(ConfigurationError) as error:
        config.parse_configuration(PLATFORM_CONFIGURATION | {"settings": SETTINGS | {"domain": domain}}, {})
    assert error.value.location == "settings"


# ---- session limits -------------------------------------------------------------------------------


def test_incomplete_sessions_are_evicted_first_then_the_longest_idle_and_never_one_with_a_query():
    sessions = seats.SessionLimiter(4)
    for session in (1, 2, 3, 4):
        sessions.mark_in_step(session, 0)
    sessions.mark_busy(1)
    sessions.mark_idle(2)
    sessions.mark_idle(3)
    sessions.mark_idle(2)
    assert sessions.full and list(sessions.eviction_candidates()) == [4, 3, 2]


def test_step_is_late_by_its_start_time_and_an_idle_session_never_is():
    sessions = seats.SessionLimiter(4)
    sessions.mark_in_step(1, 0)
    sessions.mark_in_step(2, 5)
    sessions.mark_idle(2)
    sessions.mark_in_step(3, 10)
    sessions.mark_in_step(1, 20)
    assert sessions.timed_out_sessions(seats.STEP_TIMEOUT) == [1]


def test_waiting_commands_are_bounded_in_total_size_and_each_is_answered():
    session = mysql.Session(7, max_packet_bytes=1000)
    session.greeting()
    session.feed(packet(1, login()))
    session.command()
    session.feed(packet(0, b"\x03" + b"x" * 600))
    assert not session.full
    session.feed(packet(0, b"\x03" + b"y" * 600))
    assert session.full and not session.closing  # no more is read until one of them is answered
    assert session.command()[0].text == b"x" * 600
    assert not session.full
    session.ok()
    assert session.command()[0].text == b"y" * 600


def test_more_commands_than_the_queue_limit_are_all_answered_in_order(session):
    session.feed(packet(1, login()))
    session.command()
    count = 3 * mysql.MAX_QUEUED_COMMANDS
    session.feed(b"".join(packet(0, b"\x03%d" % n) for n in range(count)), received_at=5)
    assert len(session.queue) == mysql.MAX_QUEUED_COMMANDS and session.full
    for n in range(count):
        command, _ = session.command()
        assert command == mysql.Query(b"%d" % n, 5)
        session.ok()
    assert not session.full and not session.buffer


def test_commands_before_an_oversized_packet_are_answered_before_it_ends_the_session():
    session = mysql.Session(7, max_packet_bytes=1000)
    session.greeting()
    session.feed(packet(1, login()) + packet(0, b"\x03one") + packet(0, b"x" * 1001) + packet(0, b"\x0e"))
    assert session.command()[0] == mysql.Query(b"one")
    assert session.full and session.command() == (None, b"")
    session.ok()
    command, out = session.command()
    assert command is None and session.closing
    assert struct.unpack_from("<H", out, 5)[0] == mysql.TOO_LARGE[0]


async def serve(router, client):
    """Serves MySQL clients on a free port while `client` runs in a thread with the router's address."""
    listener = socket.create_server(("127.0.0.1", 0))
    router.mysql_frontend.open(listener)
    async with anyio.create_task_group() as tasks:
        router.attach_tasks(tasks)
        tasks.start_soon(router.event_loop.run)
        tasks.start_soon(router.event_loop.run_sweep)
        await anyio.to_thread.run_sync(client, listener.getsockname())
        tasks.cancel_scope.cancel()
    router.mysql_frontend.close()


def read_until_closed(sock):
    """Returns all that the router sends until it closes the connection."""
    sock.settimeout(5)
    received = b""
    while data := sock.recv(65_536):
        received += data
    return received


def test_active_client_is_served_among_hundreds_of_silent_ones(router):
    def client(address):
        silent = [
            socket.create_connection(address)
            for _ in range(router.mysql_frontend.session_limiter.max_sessions + 20)
        ]
        with socket.create_connection(address) as sock:
            sock.sendall(packet(1, login()) + packet(0, b"\x0e") + packet(0, b"\x01"))
            assert read_until_closed(sock).endswith(packet(2, mysql.OK) + packet(1, mysql.OK))
        assert len(router.mysql_frontend.clients) <= router.mysql_frontend.session_limiter.max_sessions
        for sock in silent:
            sock.close()

    anyio.run(serve, router, client)


def test_error_reaches_a_client_that_keeps_sending(router):
    def client(address):
        with socket.create_connection(address) as sock:
            sock.sendall(packet(1, login()) + b"\xff\xff\xff\0")
            for _ in range(300):
                sock.sendall(b"x" * 10_000)
            sock.shutdown(socket.SHUT_WR)
            assert b"are allowed" in read_until_closed(sock)

    anyio.run(serve, router, client)


def test_stalled_login_is_ended(router, monkeypatch):
    monkeypatch.setattr(seats, "STEP_TIMEOUT", 500)

    def client(address):
        with socket.create_connection(address) as sock:
            sock.sendall(packet(1, login())[:9])
            assert b"not complete in time" in read_until_closed(sock)

    anyio.run(serve, router, client)


def test_event_raised_by_an_effect_waits_until_earlier_effects_are_carried_out(router, monkeypatch):
    carried_out = []
    monkeypatch.setattr(router.reducer, "reduce", lambda event, now: [f"{event} one", f"{event} two"])

    def carry_out(effect):
        carried_out.append(effect)
        if effect == "first one":
            router.handle("second")

    monkeypatch.setattr(router.executor, "carry_out", carry_out)
    router.handle("first")
    assert carried_out == ["first one", "first two", "second one", "second two"]


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


def test_log_counts_answers_by_outcome_and_name_of_the_reason():
    assert LOGGED_REASONS.keys() == set(Reason)
    for reason, name in LOGGED_REASONS.items():
        assert outcome_text(QueryOutcome.REJECTED, reason) == f"rejected: {name}"
    assert outcome_text(QueryOutcome.SERVED, "") == "served"
    assert outcome_text(QueryOutcome.REJECTED, "history: no verdict in time").endswith(": no verdict in time")


@pytest.mark.parametrize(("result", "name"), LOGGED_RESULTS.items())
def test_log_has_the_member_name_of_an_attempt_result(rig, result, name):
    connection = rig.send_query()
    log_lines = rig.handle(events.MessageReceived(connection, words.RunEnded("a" * 16, result)), 10, WriteLog)
    (ended,) = [line for line in log_lines if line.event == "attempt_ended"]
    assert ended.fields["result"] == name


def test_repeated_log_lines_are_counted_instead_of_written():
    log = Log("n1", -1)
    for _ in range(100):
        log.write("invalid_query", reason="x")
    log.window_start = 0
    log.write("invalid_query", reason="x")
    lines = [orjson.loads(line) for line in log.buffer.splitlines()]
    assert len(lines) == MAX_LINES_PER_EVENT + 2
    assert lines[-2]["left_out"] == {"invalid_query": 100 - MAX_LINES_PER_EVENT}
