"""Flight SQL: the frontend's parts without I/O, then real clients and engine stand-ins with a router."""

import datetime
import socket
import time

import anyio
import anyio.from_thread
import grpc
import pyarrow as pa
import pyarrow.flight
import pytest
from adbc_driver_flightsql import DatabaseOptions, StatementOptions
from adbc_driver_flightsql import dbapi as adbc
from conftest import CATALOG
from rounds_by_hand import RecordingLog

from hillchute.decision.interface import SECOND, EndpointState
from hillchute.decision.scheduler import QueryScheduler
from hillchute.engines import words
from hillchute.engines.flight import links
from hillchute.errors import OperatorFileError
from hillchute.fronts.flight import answers, catalog, identity, server, tickets
from hillchute.lab import rules
from hillchute.lab.clients import FlightClient, MySQLClient, Query
from hillchute.lab.fleet import deployed
from hillchute.log import Log
from hillchute.operator import reading
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import DETAILS_TRAILER, error_reason
from hillchute.router import events
from hillchute.router.effects import (
    AbortStream,
    FailQuery,
    OpenConnection,
    RejectQuery,
    SendCommand,
    SendResult,
    SetAlarm,
    StartStream,
    WriteLog,
)
from hillchute.router.reducer import Reducer
from hillchute.settings import Settings
from hillchute.statements import request as statements

# Routers adapt to each query, so tests that share a deployment run in one worker, in order.
pytestmark = pytest.mark.xdist_group("flight_deployments")

# ---- tickets and users ----------------------------------------------------------------------------


def test_ticket_is_valid_once_for_its_owner_until_it_expires():
    table = tickets.TokenTable(b"k", 10, 100)
    token = table.put(0, "bi", "query")
    for owner, now, message in (("other", 0, "another client"), ("bi", 100, "too old")):
        with pytest.raises(tickets.InvalidTokenError, match=message):
            table.take(now, owner, token)
    assert table.take(99, "bi", token) == "query"
    with pytest.raises(tickets.InvalidTokenError, match="used already"):
        table.take(99, "bi", token)


@pytest.mark.parametrize(
    "forge", [lambda t: b"", lambda t: t[:-1] + b"x", lambda t: b"\1" + t[1:], lambda t: t + b"x"]
)
def test_forged_ticket_is_rejected(forge):
    table = tickets.TokenTable(b"k", 10, 100)
    token = table.put(0, "bi", "query")
    with pytest.raises(tickets.InvalidTokenError, match="not one that was given out"):
        table.take(0, "bi", forge(token))


def test_open_tickets_are_limited_and_expired_ones_make_room():
    table = tickets.TokenTable(b"k", 10_000, 100)
    for n in range(10_000):
        table.put(n // 1000, "bi", n)
    with pytest.raises(tickets.LimitReachedError):
        table.put(99, "bi", "one more")
    table.put(100, "bi", "the first thousand are too old now")
    assert len(table.entries) == 9_001


def test_users_authenticate_by_password_or_token_only():
    authenticator = identity.Authenticator(
        [{"name": "bi", "password": "p:w"}, {"name": "etl", "token": "secret"}], b"k"
    )
    basic = identity.base64.b64encode(b"bi:p:w").decode()
    issued_token = authenticator.issue_token(0, "bi")
    assert authenticator.authenticate(0, f"Basic {basic}") == "bi"
    assert authenticator.authenticate(0, "Bearer secret") == "etl"
    assert authenticator.authenticate(identity.TOKEN_LIFETIME - 1, f"Bearer {issued_token}") == "bi"
    no_password = identity.base64.b64encode(b"etl:").decode()
    for header in (
        None,
        "",
        f"Basic {no_password}",
        "Basic %",
        "Bearer x",
        "Bearer bi.9.9",
        f"Bearer {issued_token}0",
    ):
        with pytest.raises(identity.AuthenticationError):
            authenticator.authenticate(0, header)
    with pytest.raises(identity.AuthenticationError):
        authenticator.authenticate(identity.TOKEN_LIFETIME, f"Bearer {issued_token}")
    assert identity.Authenticator([], b"k").authenticate(0, None) == identity.ANONYMOUS


def test_reload_applies_settings_and_names_those_that_need_a_restart(tmp_path):
    text = 'flight: {listen: "127.0.0.1:1", tickets: 5, users: [{name: "bi", token: "old"}]}'
    flight_server = server.Server(
        reading.parse_settings(text)["flight"], {}, Log("n", -1), lambda: 0, None, None, 64
    )
    issued_token = flight_server.authenticator.issue_token(0, "bi")
    text = text.replace("old", "new").replace(":1", ":2").replace("tickets: 5", "tickets: 1")
    reload = flight_server.prepare_reload(reading.parse_settings(text)["flight"])
    assert reload.needs_restart == ["flight.listen"] and flight_server.tickets.max_entries == 5
    reload.apply()
    assert flight_server.settings["listen"] == "127.0.0.1:1" and flight_server.tickets.max_entries == 1
    assert (
        flight_server.authenticator.authenticate(0, "Bearer new")
        == flight_server.authenticator.authenticate(0, f"Bearer {issued_token}")
        == "bi"
    )
    with pytest.raises(identity.AuthenticationError):
        flight_server.authenticator.authenticate(0, "Bearer old")
    text_with_missing_file = text.replace('token: "new"', f'token_file: "{tmp_path}/none"')
    with pytest.raises(OperatorFileError, match=r"flight.users\[0\].token_file"):
        reading.parse_settings(text_with_missing_file)
    removed_file = {"users": [{"name": "bi", "token_file": f"{tmp_path}/none"}]}  # after it was checked
    with pytest.raises(OperatorFileError, match="flight.users"):
        flight_server.prepare_reload(reading.parse_settings(text)["flight"] | removed_file)
    assert flight_server.authenticator.authenticate(0, "Bearer new") == "bi"


# ---- fields and parameters --------------------------------------------------------------------------


def test_fields_come_from_headers_comment_or_defaults_and_must_not_repeat():
    text = b"/* route=report */ SELECT 1"
    headers = {"route": "report", "patience": "5"}
    request = statements.parse_statement(text, headers, {"trace": "a" * 16, "patience": "9"})
    assert (request.group, request.client_timeout, request.id, request.statement) == (
        "report",
        50,
        "a" * 16,
        b"SELECT 1",
    )
    with pytest.raises(statements.InvalidStatementError, match="route stands twice"):
        statements.parse_statement(text, {"route": "lookup"}, {"trace": "a" * 16, "patience": "9"})
    without_comment_fields = statements.parse_statement(b"/* of BI */ SELECT 1", headers, {"trace": "a" * 16})
    assert without_comment_fields.statement == b"/* of BI */ SELECT 1"
    with pytest.raises(statements.InvalidStatementError, match="no comment"):
        statements.parse_statement(b"SELECT 1")


def test_parameters_replace_question_marks_outside_strings_names_and_comments():
    text = "SELECT '?', `a?b`, \"?\" /* ? */ FROM t -- ?\nWHERE a=? AND b = ?"
    assert catalog.count_parameters(text) == 2
    bound = catalog.bind_parameters(text, ["it's \\", None])
    assert bound == text.replace("a=? AND b = ?", "a='it''s \\\\' AND b = NULL")
    with pytest.raises(statements.InvalidStatementError, match="2 are wanted, 1 are bound"):
        catalog.bind_parameters(text, [1])


# ---- batches ------------------------------------------------------------------------------------------


def test_rows_are_encoded_as_batches_and_decoded_again():
    rows = [[b"1", b"", "ü".encode()]] * (arrow.MAX_ROWS_PER_BATCH + 1)
    decoder = arrow.BatchDecoder()
    parts = [decoder.decode(part.SerializeToString()) for part in arrow.from_rows(rows)]
    assert [row for part in parts[1:] for row in arrow.to_rows(part)] == rows
    assert len(list(arrow.from_rows([]))) == 1  # the schema alone
    with pytest.raises(arrow.InvalidFlightDataError, match="UTF-8"):
        list(arrow.from_rows([[b"\xff", b"", b""]]))


def test_batches_that_do_not_match_the_schema_or_are_truncated_are_unreadable():
    schema = arrow.to_flight_data(arrow.TEXT_RESULT_SCHEMA).SerializeToString()
    other_schema = arrow.to_flight_data(pa.schema([("x", pa.int32())])).SerializeToString()
    batch = arrow.to_flight_data(
        pa.record_batch([["a"]] * 3, schema=arrow.TEXT_RESULT_SCHEMA)
    ).SerializeToString()
    for parts in ([batch], [schema, other_schema], [schema, batch[:-9]], [schema, b"\xff\xff"]):
        decoder = arrow.BatchDecoder()
        with pytest.raises(arrow.InvalidFlightDataError):
            for part in parts:
                decoder.decode(part)


def test_message_that_is_not_a_command_is_unreadable():
    for data in (b"\xff", b"", arrow.wrap(flight.Ticket(ticket=b"x"))):
        with pytest.raises(arrow.InvalidFlightDataError):
            arrow.unwrap(data)


# ---- streams in the reducer -----------------------------------------------------------------------


class StreamStandIn:
    """A stand-in for a result stream that records whether it was closed."""

    closed = False

    def close(self):
        self.closed = True


class StreamingReducer:
    """A reducer with one query whose result stream has started."""

    def __init__(self):
        catalog = CATALOG | {f"groups.{n}.name": name for n, name in enumerate(("lookup", "report", "load"))}
        catalog |= {"limits.open_cap": 10, "limits.connect_timeout": 500, "limits.streams_per_conn": 8}
        settings = Settings.from_catalog(catalog)
        self.reducer = Reducer(QueryScheduler(7, settings, 0), settings, 10)
        entry = events.event_bus.EndpointEntry(1, 0, 0, 0, 0, EndpointState.READY, 1.0)
        endpoint = events.event_bus.Endpoint(entry, "127.0.0.1", 1)
        self.do(events.EndpointsChanged(events.event_bus.WatchEvent(1, "Complete", (endpoint,))))
        request = statements.Request("a" * 16, "lookup", 5 * SECOND, b"SELECT 1", cost=100)
        (open_connection,) = self.do(events.QueryReceived(1, request, 0), kind=OpenConnection)
        self.connection, self.stream = open_connection.connection, StreamStandIn()
        self.do(events.Connected(self.connection))
        self.start_effects = self.do(
            events.MessageReceived(self.connection, words.StreamStarted("a" * 16, self.stream)), 10
        )

    def do(self, event, now=0, kind=None):
        effects = self.reducer.reduce(event, now)
        return [e for e in effects if kind is None or isinstance(e, kind)]

    def final_effects(self, event, now=20):
        return self.do(event, now, SendResult | RejectQuery | FailQuery | AbortStream)


@pytest.fixture
def streaming():
    return StreamingReducer()


def test_complete_stream_is_finished_once_it_is_delivered(streaming):
    assert StartStream(1, streaming.stream) in streaming.start_effects
    assert not streaming.final_effects(
        events.MessageReceived(streaming.connection, words.RunEnded("a" * 16, "finished"))
    )
    assert streaming.reducer.unanswered
    assert not streaming.final_effects(events.StreamDelivered(1)) and not streaming.reducer.queries
    assert streaming.reducer.answer_log.counts[("lookup", "served")][0] == 1


@pytest.mark.parametrize(
    "event",
    [
        lambda s: events.MessageReceived(s.connection, words.RunEnded("a" * 16, "severed")),
        lambda s: events.ConnectionLost(s.connection, "reset"),
        lambda s: events.StreamUnreadable(1, "noise"),
    ],
)
def test_broken_stream_has_one_answer_and_no_retry(streaming, event):
    assert [type(e) for e in streaming.final_effects(event(streaming))] == [AbortStream]
    assert streaming.stream.closed and not streaming.reducer.unanswered
    later = [streaming.do(events.AlarmDue(), now) for now in (SECOND, 5 * SECOND)]
    assert not [e for effects in later for e in effects if not isinstance(e, SetAlarm | WriteLog)]


def test_run_is_cancelled_when_its_client_leaves_the_stream(streaming):
    effects = streaming.do(events.ClientGone(1), 20)
    assert SendCommand(streaming.connection, words.CancelRun("a" * 16)) in effects and streaming.stream.closed
    assert not [e for e in effects if isinstance(e, AbortStream | FailQuery | RejectQuery)]


def test_stream_that_is_not_read_is_aborted_at_the_deadline(streaming):
    streaming.do(events.MessageReceived(streaming.connection, words.RunEnded("a" * 16, "finished")), 20)
    due = streaming.reducer.queries["a" * 16].deadline
    assert not streaming.final_effects(events.AlarmDue(), due - 1)
    assert [type(e) for e in streaming.final_effects(events.AlarmDue(), due)] == [AbortStream]
    assert not streaming.final_effects(events.StreamDelivered(1), due + 1)


def test_call_that_is_cancelled_or_raises_ends_only_its_own_task():
    faults = []
    connections = links.FlightConnections(
        {},
        Log("n", -1),
        links.ConnectionLimits(1, 1),
        links.ConnectionCallbacks(
            handle=None,
            send_obstacle=None,
            on_fault=lambda source, error: faults.append((source, repr(error))),
        ),
    )

    async def cancelled():
        raise anyio.get_cancelled_exc_class()

    async def faulty():
        raise KeyError("x")

    async def run():
        async with anyio.create_task_group() as connections.tasks:
            for work in (cancelled, faulty):
                connections.tasks.start_soon(connections.run_isolated, work)
            await anyio.sleep(0.01)
            assert not connections.tasks.cancel_scope.cancel_called

    anyio.run(run)
    assert faults == [("faulty", "KeyError('x')")]


@pytest.mark.parametrize("is_unreadable", [True, False], ids=["unreadable result", "internal error"])
def test_unreadable_result_of_an_engine_is_not_counted_as_a_fault_of_the_router(is_unreadable):
    """Guards against an engine's malformed results that are logged as the router's own faults."""
    faults, handled, log = [], [], RecordingLog()
    run = words.StartRun("a" * 16, "lookup", 1_000, None, None, b"SELECT 1")

    async def run_query(connection, run):
        raise arrow.InvalidFlightDataError("no schema") if is_unreadable else KeyError("x")

    async def run_on_a_connection():
        connections = links.FlightConnections(
            {},
            log,
            links.ConnectionLimits(1, 1),
            links.ConnectionCallbacks(handled.append, lambda *_: None, lambda *fault: faults.append(fault)),
        )
        connections.run_query = run_query
        connection = links.FlightConnection(connections, 7)
        connection.is_open = True
        await connections.run(connection, run)

    anyio.run(run_on_a_connection)
    assert handled == [events.MessageReceived(7, words.RunEnded(run.id, "severed", None, None))]
    assert bool(faults) != is_unreadable
    assert ("result_unreadable" in [event for event, _ in log.lines]) == is_unreadable


# ---- a router in a process --------------------------------------------------------------------------

USERS = """
flight: {
    listen: "127.0.0.1:FLIGHT_PORT"
    default_route: "lookup"
    message_bytes: 1048576
    users: [{name: "bi", password: "pw"}, {name: "etl", token: "secret"}, {name: "two", token: "other"}]
}
engines: {protocol: "ENGINES"}
"""
SELECT = "SELECT /* lab rows=30 batches=3 */ day FROM sales_17.orders"
LOAD = "INSERT /* lab rows=1 ms=3 */ INTO sales_4.orders SELECT * FROM staging.orders"


class Deployment:
    """A small deployment on a background event loop, for blocking clients."""

    def __init__(self, portal, fleet, router):
        self.portal, self.fleet, self.router = portal, fleet, router
        self.uri = f"grpc://127.0.0.1:{router.flight_port}"

    def connect(self, **headers):
        headers = {f"x-hillchute-{name}": value for name, value in headers.items()}
        options = {DatabaseOptions.AUTHORIZATION_HEADER.value: "Bearer secret"}
        prefix = DatabaseOptions.RPC_CALL_HEADER_PREFIX.value
        options |= {prefix + name: value for name, value in headers.items()}
        return adbc.connect(self.uri, db_kwargs=options, autocommit=True)

    def ask(self, *queries, front=FlightClient):
        """Sends queries one after the other on one connection of the lab's client; returns their outcomes."""

        async def send_all():
            port = self.router.flight_port if front is FlightClient else self.router.port
            client = (
                FlightClient(self.fleet.world, port, "secret")
                if front is FlightClient
                else front(self.fleet.world, port)
            )
            for q in queries:
                await client.run(q)
            await client.close()

        self.portal.call(send_all)
        return [q.outcome for q in queries]

    def runs(self, q):
        return [r for r in self.fleet.world.runs if r.id == q.id]


def run_deployment(engines):
    with anyio.from_thread.start_blocking_portal() as portal:
        deployment_context = deployed(engines, 3, USERS.replace("ENGINES", engines))
        with portal.wrap_async_context_manager(deployment_context) as (fleet, router):
            yield Deployment(portal, fleet, router)
            assert not router.faults()


@pytest.fixture(scope="module")
def on_flight():
    yield from run_deployment("flight")


@pytest.fixture(scope="module")
def on_line():
    yield from run_deployment("line")


@pytest.fixture(params=["flight", "line"])
def deployment(request):
    return request.getfixturevalue(f"on_{request.param}")


@pytest.fixture(params=["flight", "line"])
def own_deployment(request):
    """A deployment that is not shared, for tests that stop engines."""
    yield from run_deployment(request.param)


def test_adbc_client_connects_lists_queries_and_updates(deployment):
    with deployment.connect() as connection, connection.cursor() as cursor:
        assert connection.adbc_get_info()["vendor_name"] == "hillchute"
        assert connection.adbc_get_table_types() == ["RESOURCE GROUP"]
        objects = connection.adbc_get_objects(depth="tables").read_all().to_pylist()
        tables = objects[0]["catalog_db_schemas"][0]["db_schema_tables"]
        assert {t["table_name"] for t in tables} == {"lookup", "report", "event-load"}
        cursor.execute(SELECT)
        rows = cursor.fetchall()
        assert len(rows) == 30 and rows[29][0] == "29"
        cursor.execute("SELECT /* lab rows=0 */ day FROM sales_17.orders")
        assert cursor.fetchall() == []


def test_adbc_client_prepares_binds_and_runs_repeatedly(deployment):
    with deployment.connect() as connection, connection.cursor() as cursor:
        for day in ("1", "2"):
            cursor.execute(f"{SELECT} WHERE day = ?", parameters=(day,))
            assert len(cursor.fetchall()) == 30
        cursor.adbc_prepare(SELECT)
        cursor.execute(SELECT)
        assert len(cursor.fetchall()) == 30


def test_adbc_update_has_its_effect_once_for_its_idempotency_key(deployment):
    headers = {"route": "event-load", "nonce": "ab" * 16, "entity": "0f" * 8}
    with deployment.connect(**headers) as connection, connection.cursor() as cursor:
        for _ in range(2):
            cursor.adbc_statement.set_sql_query(LOAD)
            assert cursor.adbc_statement.execute_update() == 1
    effects = [r for r in deployment.fleet.world.runs if r.idempotency_key == "ab" * 16 and r.had_effect]
    assert len(effects) == 1


def test_adbc_errors_name_the_invalid_field(deployment):
    with deployment.connect(route="nobody") as connection, connection.cursor() as cursor:
        with pytest.raises(adbc.Error, match="route names no resource group"):
            cursor.execute(SELECT)
            cursor.fetchall()
    with deployment.connect(patience="soon") as connection, connection.cursor() as cursor:
        with pytest.raises(adbc.Error, match="patience is not a number"):
            cursor.execute(SELECT)


def test_adbc_cancel_ends_the_run(on_flight):
    with on_flight.connect() as connection, connection.cursor() as cursor:
        cursor.adbc_statement.set_options(**{StatementOptions.TIMEOUT_FETCH.value: 0.3})
        with pytest.raises(adbc.Error):
            cursor.execute("SELECT /* lab hang=1 */ day FROM sales_17.orders")
            cursor.fetchall()
    wait_for(lambda: all(r.ended_at for r in on_flight.fleet.world.runs if r.result != "finished"))


def test_pyarrow_client_is_served_with_its_password_and_rejected_with_a_wrong_one(deployment):
    client = pa.flight.connect(deployment.uri)
    token = client.authenticate_basic_token(b"bi", b"pw")
    options = pa.flight.FlightCallOptions(headers=[token])
    command = arrow.command_descriptor(sql.CommandStatementQuery(query=SELECT)).cmd
    info = client.get_flight_info(pa.flight.FlightDescriptor.for_command(command), options)
    assert client.do_get(info.endpoints[0].ticket, options).read_all().num_rows == 30
    with pytest.raises(pa.ArrowException, match="used already"):
        client.do_get(info.endpoints[0].ticket, options).read_all()
    with pytest.raises(pa.flight.FlightUnauthenticatedError):
        client.authenticate_basic_token(b"bi", b"no")
    with pytest.raises(pa.flight.FlightUnauthenticatedError):
        client.get_flight_info(pa.flight.FlightDescriptor.for_command(command))
    client.close()


def test_ticket_of_another_client_is_refused(deployment):
    client = pa.flight.connect(deployment.uri)
    own_options, other_options = (
        pa.flight.FlightCallOptions(headers=[(b"authorization", b"Bearer " + token)])
        for token in (b"secret", b"other")
    )
    command = arrow.command_descriptor(sql.CommandStatementQuery(query=SELECT)).cmd
    info = client.get_flight_info(pa.flight.FlightDescriptor.for_command(command), own_options)
    with pytest.raises(pa.ArrowException, match="another client"):
        client.do_get(info.endpoints[0].ticket, other_options).read_all()
    with pytest.raises(pa.ArrowException, match="not one that was given out"):
        forged = arrow.wrap(sql.TicketStatementQuery(statement_handle=b"x" * 24))
        client.do_get(pa.flight.Ticket(forged), own_options).read_all()
    client.close()


def test_statement_over_the_message_limit_is_rejected(on_flight):
    (outcome,) = on_flight.ask(Query("lookup", "SELECT '" + "x" * 100_000_000 + "'"))
    assert outcome == "unknown StatusCode.RESOURCE_EXHAUSTED"
    assert on_flight.ask(Query("lookup", SELECT)) == ["finished"]


@pytest.mark.parametrize("front", [MySQLClient, FlightClient])
def test_stream_aborted_by_its_engine_has_one_answer_and_one_run(on_flight, front):
    q = Query("report", "SELECT /* lab rows=30 batches=3 cut=2 */ day FROM sales_17.orders")
    assert on_flight.ask(q, front=front) == ["killed"]
    assert len(on_flight.runs(q)) == 1 and 0 < q.rows < 30


@pytest.mark.parametrize("front", [MySQLClient, FlightClient])
def test_corrupt_result_is_not_delivered_as_finished(deployment, front):
    q = Query(
        "lookup",
        "SELECT /* lab rows=30 batches=3 spoilt=1 */ day FROM sales_17.orders",
        client_timeout_ms=900,
    )
    (outcome,) = deployment.ask(q, front=front)
    undecoded = (front, deployment.fleet.protocol) == (FlightClient, "flight")
    assert outcome in (("unreadable",) if undecoded else ("killed", "deferred"))


@pytest.mark.parametrize("front", [MySQLClient, FlightClient])
def test_deadline_aborts_a_stream(on_flight, front):
    slow = "SELECT /* lab rows=30 batches=30 pause=100 */ day FROM sales_17.orders"
    q = Query("report", slow, client_timeout_ms=1_500)
    assert on_flight.ask(q, front=front) == ["killed"]
    assert not rules.check_answer(q) and len(on_flight.runs(q)) == 1 and 0 < q.rows < 30


def test_load_retried_over_the_other_frontend_has_its_effect_once(deployment):
    token, key = "cd" * 16, "1e" * 8
    light = {"ordering_key": key, "weight": 0.1}  # admitted even if earlier tests made engines appear slow
    first, second = (Query("event-load", LOAD, idempotency_key=token, **light) for _ in range(2))
    assert deployment.ask(first, front=MySQLClient) + deployment.ask(second) == ["finished"] * 2
    third, fourth = (Query("event-load", LOAD, idempotency_key="ef" * 16, **light) for _ in range(2))
    assert deployment.ask(third) + deployment.ask(fourth, front=MySQLClient) == ["finished"] * 2
    assert not rules.find_violations(deployment.fleet.world, [first, second, third, fourth])
    assert sum(r.had_effect for q in (first, second, third, fourth) for r in deployment.runs(q)) == 2


def test_calls_that_are_not_served_have_their_status_codes(deployment):
    always_full = Query("lookup", "SELECT /* lab full=-1 */ day FROM sales_17.orders", client_timeout_ms=400)
    hanging = Query("lookup", "SELECT /* lab hang=1 */ day FROM sales_17.orders", client_timeout_ms=400)
    failing = Query("lookup", "SELECT /* lab error=-1 */ day FROM sales_17.orders")
    assert deployment.ask(always_full, hanging, failing) == ["deferred"] * 3
    status = answers.Status.of(answers.DEFERRED, "x", retry_after_ms=1500)
    assert status.code is grpc.StatusCode.UNAVAILABLE
    assert error_reason([(DETAILS_TRAILER, status.details)]) == "DEFERRED"


def test_draining_or_killed_engines_get_no_queries_and_no_query_is_lost(own_deployment):
    number = own_deployment.portal.call(own_deployment.fleet.add)
    time.sleep(0.5)
    assert own_deployment.ask(*[Query("lookup", SELECT) for _ in range(20)]) == ["finished"] * 20
    own_deployment.portal.call(own_deployment.fleet.drain, number)
    time.sleep(0.3)
    own_deployment.fleet.world.runs.clear()
    assert own_deployment.ask(*[Query("lookup", SELECT) for _ in range(20)]) == ["finished"] * 20
    assert f"s-{number:08x}" not in {r.engine for r in own_deployment.fleet.world.runs}
    # The engine ends without notice: with a reset on one protocol, with GOAWAY on the other.
    own_deployment.portal.call(own_deployment.fleet.kill, 1)
    queries = [Query("lookup", SELECT) for _ in range(20)]
    assert own_deployment.ask(*queries) == ["finished"] * 20
    assert not rules.find_violations(own_deployment.fleet.world, queries)


def wait_for(condition, seconds=5):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.05)


# ---- TLS keys ---------------------------------------------------------------------------------------


def make_keys(folder, days=1, name="key"):
    """Writes a self-signed certificate for localhost and its key; returns their paths."""
    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec
    from cryptography.x509.oid import NameOID

    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName([x509.DNSName("localhost")])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=9))
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(names, critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    private_key_format = serialization.PrivateFormat.TraditionalOpenSSL, serialization.NoEncryption()
    (folder / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    (folder / f"{name}.key").write_bytes(key.private_bytes(pem, *private_key_format))
    return folder / f"{name}.crt", folder / f"{name}.key"


def tls_client_is_served(authority, port, client_keys=None):
    """Whether a client that trusts `authority` gets an answer on a port."""
    client_certificate = {}
    if client_keys is not None:
        client_certificate = {
            "private_key": client_keys[1].read_bytes(),
            "certificate_chain": client_keys[0].read_bytes(),
        }
    credentials = grpc.ssl_channel_credentials(authority.read_bytes(), **client_certificate)
    options = [("grpc.use_local_subchannel_pool", 1)]
    with grpc.secure_channel(f"localhost:{port}", credentials, options=options) as channel:
        get_schema = channel.unary_unary(f"{arrow.SERVICE_PATH}GetSchema")
        command = arrow.command_descriptor(sql.CommandGetCatalogs()).SerializeToString()
        try:
            return bool(get_schema(command, timeout=3))
        except grpc.RpcError:
            return False


def test_tls_keys_are_reloaded_and_expired_or_unknown_ones_are_rejected(tmp_path):
    certificate, key = make_keys(tmp_path)
    client = make_keys(tmp_path, name="client")
    stranger = make_keys(tmp_path, name="stranger")
    text = f"""
        flight: {{
            listen: "127.0.0.1:FLIGHT_PORT"
            tls: {{
                certificate: "{certificate}", key: "{key}"
                client_authority: "{client[0]}", reload_ms: 100
            }}
        }}"""
    with anyio.from_thread.start_blocking_portal() as portal:
        with portal.wrap_async_context_manager(deployed("line", 1, text)) as (_, router):
            port = router.flight_port
            assert tls_client_is_served(certificate, port, client)
            assert not tls_client_is_served(certificate, port) and not tls_client_is_served(
                certificate, port, stranger
            )
            old = certificate.read_bytes()
            make_keys(tmp_path, days=-1)
            time.sleep(0.3)
            assert not tls_client_is_served(certificate, port, client)  # the reloaded certificate is expired
            make_keys(tmp_path)
            time.sleep(0.3)
            assert tls_client_is_served(certificate, port, client)
            (tmp_path / "old.crt").write_bytes(old)
            assert not tls_client_is_served(tmp_path / "old.crt", port, client)


def test_start_fails_with_the_setting_name_if_the_port_is_taken():
    with socket.create_server(("127.0.0.1", 0)) as taken, anyio.from_thread.start_blocking_portal() as portal:
        text = f'flight: {{listen: "127.0.0.1:{taken.getsockname()[1]}"}}'
        with pytest.raises(BaseExceptionGroup) as error:
            with portal.wrap_async_context_manager(deployed("line", 1, text)):
                pass
        assert "flight.listen" in str(error.value.exceptions[0])
