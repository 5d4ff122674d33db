"""The Flight SQL frontend: a gRPC server in the router's event loop.

Owns the listening port, the open calls, the tickets and the prepared statements. Queries are reported as
events, and the caller supplies their answers by the call's number; no query state is kept here.
"""

import os
import secrets
import ssl
from collections.abc import AsyncIterator, Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import anyio
import anyio.abc
import grpc
import grpc.aio

from hillchute.engines import words
from hillchute.errors import FlightKeysError, OperatorFileError
from hillchute.fronts import events
from hillchute.fronts.flight import answers, catalog
from hillchute.fronts.flight.answers import Status
from hillchute.fronts.flight.identity import ANONYMOUS, AuthenticationError, Authenticator
from hillchute.fronts.flight.tickets import InvalidTokenError, LimitReachedError, TokenTable
from hillchute.log import Log
from hillchute.net.fault_barrier import FaultReport
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import DETAILS_TRAILER
from hillchute.statements import request as statements
from hillchute.statements.request import Request

SECOND = 10_000  # tenths of a millisecond
MAX_HEADER_BYTES = 4_096  # of one call's fields; as objects they take many times as much
MAX_CALLS_PER_CONNECTION = 8  # gRPC holds each incomplete request of up to `message_bytes`
SHORT_CALLS = 64  # calls at once beside the streams
MAX_IDLE_MS = 60_000  # connections without a call are closed after this time


class Call:
    """One query of a client, from its submission to its answer."""

    __slots__ = ("number", "owner", "answered", "rows", "stream", "status")

    def __init__(self, number: int, owner: str) -> None:
        self.number, self.owner = number, owner
        self.answered = anyio.Event()
        self.rows: words.Rows | None = None
        self.stream: words.Stream | None = None
        self.status: Status | None = None


class Prepared(NamedTuple):
    """A prepared statement: its text, the fields of the call that created it, and its parameters' values."""

    text: str
    fields: Mapping[str, str]
    values: tuple[object, ...] = ()


class FlightReload(NamedTuple):
    """Reloaded settings that were checked; `apply` raises nothing."""

    needs_restart: list[str]  # the changed keys that are not applied
    apply: Callable[[], None]


class Server:
    """Serves calls; `handle` takes their events, in which a call's number is the session."""

    def __init__(
        self,
        settings: Mapping[str, object],
        tables: Mapping[str, object],
        log: Log,
        clock: Callable[[], int],
        handle: Callable[[events.Event], None],
        on_fault: FaultReport,
        max_connections: int,
    ) -> None:
        """`settings`: `flight` of the operator file; `tables`: the resource groups by name.

        `on_fault` is called with an exception in one call, which is then aborted.
        """
        self.settings, self.log, self.clock, self.handle = settings, log, clock, handle
        self.on_fault = on_fault
        self.max_connections = max_connections
        key = secrets.token_bytes(32)
        self.authenticator = Authenticator(settings["users"], key)
        self.tickets: TokenTable[Request] = TokenTable(key, settings["tickets"], settings["ticket_ms"] * 10)
        self.prepared: TokenTable[Prepared] = TokenTable(key[::-1], settings["prepared"], None)
        self.calls: dict[int, Call] = {}
        self.call_numbers_by_ticket: dict[bytes, int] = {}  # for cancellation
        self.last_call = events.FIRST_FLIGHT_SESSION
        self.tables = tables
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.closing = False

    # ---- the port ---------------------------------------------------------------------------------

    async def open(self) -> None:
        """Starts serving; raises OSError if the port is taken, FlightKeysError if a TLS key can't be used."""
        max_message_bytes = self.settings["message_bytes"]
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", max_message_bytes),
                ("grpc.max_send_message_length", -1),
                ("grpc.max_metadata_size", MAX_HEADER_BYTES),
                ("grpc.absolute_max_metadata_size", MAX_HEADER_BYTES),
                ("grpc.max_concurrent_streams", MAX_CALLS_PER_CONNECTION),
                ("grpc.max_allowed_incoming_connections", self.max_connections),
                ("grpc.max_connection_idle_ms", MAX_IDLE_MS),
                ("grpc.http2.bdp_probe", 0),  # it would let clients send far ahead on fast networks
                ("grpc.so_reuseport", 0),
            ],
            maximum_concurrent_rpcs=self.settings["streams"] + SHORT_CALLS,
        )
        handlers = {
            "Handshake": grpc.stream_stream_rpc_method_handler(self.stream_handler(self.handshake)),
            "GetFlightInfo": grpc.unary_unary_rpc_method_handler(self.unary_handler(self.get_info)),
            "GetSchema": grpc.unary_unary_rpc_method_handler(self.unary_handler(self.get_schema)),
            "DoGet": grpc.unary_stream_rpc_method_handler(self.stream_handler(self.do_get)),
            "DoPut": grpc.stream_stream_rpc_method_handler(self.stream_handler(self.do_put)),
            "DoAction": grpc.unary_stream_rpc_method_handler(self.stream_handler(self.do_action)),
            "ListActions": grpc.unary_stream_rpc_method_handler(self.stream_handler(self.list_actions)),
        }
        name = arrow.SERVICE_PATH.strip("/")
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(name, handlers),))
        tls = self.settings.get("tls")
        listen = self.settings["listen"]
        try:
            if tls is None:
                self.port = self.server.add_insecure_port(listen)
            else:
                self.port = self.server.add_secure_port(listen, self.credentials(tls))
        except RuntimeError as error:
            raise OSError(f"flight.listen: {listen}: {error}") from None
        await self.server.start()
        self.log.write("flight", phase="open", listen=listen, port=self.port, tls=tls is not None)

    def credentials(self, tls: Mapping[str, object]) -> grpc.ServerCredentials:
        """TLS credentials that are reloaded when their files change, without a restart."""
        authority = tls.get("client_authority")
        last_check = {"versions": self.file_versions(tls), "checked_at": self.clock()}
        try:
            first = self.load_keys(tls)
        except (OSError, ValueError) as error:
            raise FlightKeysError(str(error), "flight.tls") from error

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            now = self.clock()
            if now - last_check["checked_at"] < tls["reload_ms"] * 10:
                return None
            last_check["checked_at"], versions = now, self.file_versions(tls)
            if versions == last_check["versions"]:
                return None
            try:
                keys = self.load_keys(tls)
            except (OSError, ValueError) as error:  # files may be half-written: keep the current keys
                self.log.write("flight", kept="the running keys", reason=str(error))
                return None
            last_check["versions"] = versions
            self.log.write("flight", keys="reloaded")
            return keys

        return grpc.dynamic_ssl_server_credentials(
            first, fetch, require_client_authentication=authority is not None
        )

    def file_versions(self, tls: Mapping[str, object]) -> list[tuple[int, int]]:
        paths = [tls["certificate"], tls["key"], tls.get("client_authority")]
        versions = []
        for path in filter(None, paths):
            try:
                status = os.stat(path)
                versions.append((status.st_mtime_ns, status.st_size))
            except OSError:
                versions.append((0, 0))
        return versions

    def load_keys(self, tls: Mapping[str, object]) -> grpc.ServerCertificateConfiguration:
        """Reads the TLS keys; raises OSError or ValueError if certificate and key do not match."""
        key, chain = Path(tls["key"]).read_bytes(), Path(tls["certificate"]).read_bytes()
        try:
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(tls["certificate"], tls["key"])
        except ssl.SSLError as error:
            raise ValueError(f"flight.tls: {error}") from None
        authority = tls.get("client_authority")
        roots = Path(authority).read_bytes() if authority else None
        return grpc.ssl_server_certificate_configuration(((key, chain),), roots)

    async def close(self, grace: float) -> None:
        """Takes no more calls, and ends those that are open after `grace` seconds."""
        self.closing = True
        if self.server is not None:
            await self.server.stop(grace)

    def prepare_reload(self, settings: Mapping[str, object]) -> FlightReload:
        """Checks reloaded settings; raises OperatorFileError if a file of a user can't be read."""
        restart_keys = [
            key for key in ("listen", "tls", "message_bytes") if settings.get(key) != self.settings.get(key)
        ]
        try:
            authenticator = Authenticator(settings["users"], self.authenticator.key)
        except (OSError, ValueError) as error:
            raise OperatorFileError(str(error), "flight.users") from error

        def apply() -> None:
            """Applies users, defaults and limits."""
            self.settings = {**settings, **{key: self.settings.get(key) for key in restart_keys}}
            self.authenticator = authenticator
            self.tickets.max_entries, self.tickets.lifetime = settings["tickets"], settings["ticket_ms"] * 10
            self.prepared.max_entries = settings["prepared"]

        return FlightReload([f"flight.{key}" for key in restart_keys], apply)

    # ---- all calls --------------------------------------------------------------------------------

    async def abort(self, context: grpc.aio.ServicerContext, status: Status) -> None:
        await context.abort(status.code, status.text, ((DETAILS_TRAILER, status.details),))

    def authenticate(self, context: grpc.aio.ServicerContext) -> str:
        header = next((v for k, v in context.invocation_metadata() or () if k == "authorization"), None)
        return self.authenticator.authenticate(self.clock(), header)

    def status_of(self, error: Exception) -> Status:
        match error:
            case AuthenticationError():
                return Status.of(answers.NO_ENTRY, str(error))
            case InvalidTokenError():
                return Status.of(answers.NO_TICKET, str(error))
            case LimitReachedError():
                return Status.of(answers.FULL, str(error), retry_after_ms=100)
            case arrow.InvalidFlightDataError() | statements.InvalidStatementError():
                return Status.of(answers.MISREAD, str(error))
            case NotImplementedError():
                return Status.of(answers.UNSPOKEN, str(error))
            case CallEndedError():
                return error.status
        raise error

    def status_of_fault(self, method: Callable, error: Exception) -> Status:
        """Reports an exception in a call, and returns the status with which the call is aborted."""
        self.on_fault(method.__name__, error)
        return Status.of(answers.INTERNAL, "internal error of the router; the query may have run")

    def unary_handler(self, method: Callable) -> Callable:
        async def handle_call(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
            try:
                return await method(data, context)
            except CALL_ERRORS as error:
                status = self.status_of(error)
            except Exception as error:  # noqa: BLE001 - an exception ends only this call
                status = self.status_of_fault(method, error)
            await self.abort(context, status)

        return handle_call

    def stream_handler(self, method: Callable) -> Callable:
        async def handle_call(data, context: grpc.aio.ServicerContext) -> AsyncIterator[bytes]:
            status = None
            try:
                async for part in method(data, context):
                    yield part
            except CALL_ERRORS as error:
                status = self.status_of(error)
            except Exception as error:  # noqa: BLE001 - an exception ends only this call
                status = self.status_of_fault(method, error)
            if status is not None:
                await self.abort(context, status)

        return handle_call

    # ---- authentication -----------------------------------------------------------------------------

    async def handshake(self, messages, context) -> AsyncIterator[bytes]:
        """Basic authentication by header or by payload; the bearer token is returned in both."""
        now = self.clock()
        header = next((v for k, v in context.invocation_metadata() or () if k == "authorization"), None)
        if header is not None or self.authenticator.allows_anonymous:
            owner, version = self.authenticator.authenticate(now, header), 0
        else:
            first = await anext(aiter(messages), None)
            if first is None:
                raise AuthenticationError("authentication is needed: basic or bearer")
            sent = arrow.parse_message(flight.HandshakeRequest, first)
            credentials = arrow.parse_message(flight.BasicAuth, sent.payload)
            owner, version = (
                self.authenticator.check_password(credentials.username, credentials.password),
                sent.protocol_version,
            )
        token = self.authenticator.issue_token(now, owner)
        await context.send_initial_metadata((("authorization", f"Bearer {token}"),))
        yield flight.HandshakeResponse(protocol_version=version, payload=token.encode()).SerializeToString()

    # ---- metadata and tickets -----------------------------------------------------------------------

    async def get_info(self, data: bytes, context) -> bytes:
        owner = self.authenticate(context)
        descriptor = arrow.parse_message(flight.FlightDescriptor, data)
        command = self.parse_command(descriptor)
        if isinstance(command, sql.CommandStatementQuery | sql.CommandPreparedStatementQuery):
            schema, ticket = b"", self.issue_ticket(owner, command, context)
        else:
            answer_schema = catalog.answer_schema(command)
            if answer_schema is None:
                raise NotImplementedError(f"{command.DESCRIPTOR.name} is not spoken here")
            schema, ticket = arrow.schema_bytes(answer_schema), descriptor.cmd
        return flight.FlightInfo(
            schema=schema,
            flight_descriptor=descriptor,
            endpoint=[flight.FlightEndpoint(ticket=flight.Ticket(ticket=ticket))],
            total_records=-1,
            total_bytes=-1,
        ).SerializeToString()

    def parse_command(self, descriptor: flight.FlightDescriptor):
        if descriptor.type != flight.FlightDescriptor.CMD:
            raise NotImplementedError("only commands are spoken here, no paths")
        return arrow.unwrap(descriptor.cmd)

    async def get_schema(self, data: bytes, context) -> bytes:
        owner = self.authenticate(context)
        command = self.parse_command(arrow.parse_message(flight.FlightDescriptor, data))
        if isinstance(command, sql.CommandPreparedStatementQuery):
            self.prepared.get(self.clock(), owner, command.prepared_statement_handle)
        is_statement = isinstance(command, sql.CommandStatementQuery | sql.CommandPreparedStatementQuery)
        answer_schema = arrow.TEXT_RESULT_SCHEMA if is_statement else catalog.answer_schema(command)
        if answer_schema is None:
            raise NotImplementedError(f"{command.DESCRIPTOR.name} is not spoken here")
        return flight.SchemaResult(schema=arrow.schema_bytes(answer_schema)).SerializeToString()

    # ---- statements -----------------------------------------------------------------------------------

    def issue_ticket(self, owner: str, command, context) -> bytes:
        """A ticket for a statement, which is parsed here so that errors are reported before it is run."""
        now = self.clock()
        fields = answers.query_fields(context.invocation_metadata() or ())
        if isinstance(command, sql.CommandStatementQuery):
            text = command.query
        else:
            prepared = self.prepared.get(now, owner, command.prepared_statement_handle)
            text, fields = (
                catalog.bind_parameters(prepared.text, prepared.values),
                {**prepared.fields, **fields},
            )
        request = self.build_request(text, fields)
        token = self.tickets.put(now, owner, request, len(request.statement))
        return arrow.wrap(sql.TicketStatementQuery(statement_handle=token))

    def build_request(self, text: str, fields: Mapping[str, str]) -> Request:
        """A query from its text and the call's fields; missing fields have the operator's defaults."""
        missing = {
            "trace": secrets.token_hex(8),
            "patience": str(self.settings["default_patience_ms"]),
        }
        if self.settings["default_route"]:
            missing["route"] = self.settings["default_route"]
        return statements.parse_statement(text.encode(), fields, missing)

    async def do_get(self, data: bytes, context) -> AsyncIterator[bytes]:
        since = self.clock()
        owner = self.authenticate(context)
        ticket = arrow.parse_message(flight.Ticket, data).ticket
        command = arrow.unwrap(ticket)
        if not isinstance(command, sql.TicketStatementQuery):
            for part in catalog.answer(command, self.tables):
                yield part.SerializeToString()
            return
        request = self.tickets.take(since, owner, command.statement_handle)
        call = self.open_call(owner)
        self.call_numbers_by_ticket[ticket] = call.number
        try:
            await self.run_query(call, request, since)
            if call.rows is not None:
                for part in arrow.from_rows(call.rows):
                    yield part.SerializeToString()
            else:
                async for raw in self.stream_messages(call):
                    yield raw
        finally:
            self.call_numbers_by_ticket.pop(ticket, None)
            self.close_call(call)

    async def stream_messages(self, call: Call) -> AsyncIterator[bytes]:
        """The engine's messages unchanged; gRPC takes the next when the client can receive it."""
        while (raw := await call.stream.read()) is not None and call.status is None:
            yield raw
        if call.status is not None:
            raise CallEndedError(call.status)
        if call.stream.broken:
            raise CallEndedError(Status.of(answers.CUT, "the result broke off"))
        self.handle(events.StreamDelivered(call.number))

    def open_call(self, owner: str) -> Call:
        if self.closing:
            raise CallEndedError(Status.of(answers.CLOSING, "the router ends", retry_after_ms=100))
        if len(self.calls) >= self.settings["streams"]:
            raise LimitReachedError("too many calls are open")
        self.last_call += 1
        call = self.calls[self.last_call] = Call(self.last_call, owner)
        return call

    async def run_query(self, call: Call, request: Request, since: int) -> None:
        """Submits a query and waits for its answer, or for the start of its result stream."""
        customer = "" if call.owner == ANONYMOUS else call.owner
        self.handle(events.QueryReceived(call.number, request._replace(customer=customer), since))
        await call.answered.wait()
        if call.rows is None and call.stream is None:
            raise CallEndedError(call.status)

    def close_call(self, call: Call) -> None:
        """Removes a call and reports its client as gone, which cancels the query if it is still open."""
        if self.calls.pop(call.number, None) is not None:
            self.handle(events.ClientGone(call.number))

    # ---- updates and parameters -------------------------------------------------------------------------

    async def do_put(self, messages, context) -> AsyncIterator[bytes]:
        since = self.clock()
        owner = self.authenticate(context)
        parts = aiter(messages)
        first = await anext(parts, None)
        if first is None:
            raise arrow.InvalidFlightDataError("a put without a message")
        data = arrow.parse_message(flight.FlightData, first)
        command = self.parse_command(data.flight_descriptor)
        fields = answers.query_fields(context.invocation_metadata() or ())
        match command:
            case sql.CommandStatementUpdate():
                count = await self.run_update(owner, self.build_request(command.query, fields), since)
            case sql.CommandPreparedStatementUpdate():
                prepared = self.prepared.get(since, owner, command.prepared_statement_handle)
                values = await self.read_parameters(first, parts)
                text = catalog.bind_parameters(prepared.text, values or prepared.values)
                request = self.build_request(text, {**prepared.fields, **fields})
                count = await self.run_update(owner, request, since)
            case sql.CommandPreparedStatementQuery():
                handle = command.prepared_statement_handle
                prepared = self.prepared.get(since, owner, handle)
                values = await self.read_parameters(first, parts)
                size = len(prepared.text) + sum(len(v) for v in values if isinstance(v, str | bytes))
                self.prepared.replace(since, owner, handle, prepared._replace(values=values), size)
                result = sql.DoPutPreparedStatementResult(prepared_statement_handle=handle)
                yield flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString()
                return
            case _:
                raise NotImplementedError(f"{command.DESCRIPTOR.name} can't be put here")
        result = sql.DoPutUpdateResult(record_count=count)
        yield flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString()

    async def read_parameters(self, first: bytes, parts) -> tuple[object, ...]:
        """The row of parameters that a put carries; empty if it carries none."""
        decoder, raw, values = arrow.BatchDecoder(), first, ()
        while raw is not None:
            batch = decoder.decode(raw)
            if batch is not None and batch.num_rows:
                if batch.num_rows > 1 or values:
                    raise NotImplementedError("one row of parameters at a time")
                values = tuple(column[0].as_py() for column in batch.columns)
            raw = await anext(parts, None)
        return values

    async def run_update(self, owner: str, request: Request, since: int) -> int:
        """Runs a statement for its effect; returns the number of changed records, or else of result rows."""
        call = self.open_call(owner)
        try:
            await self.run_query(call, request, since)
            if call.rows is not None:
                return changed_count(call.rows)
            count, decoder = 0, arrow.BatchDecoder()
            async for raw in self.stream_messages(call):
                batch = decoder.decode(raw)
                count += batch.num_rows if batch is not None else 0
            return count
        finally:
            self.close_call(call)

    # ---- actions ----------------------------------------------------------------------------------------

    async def do_action(self, data: bytes, context) -> AsyncIterator[bytes]:
        owner, now = self.authenticate(context), self.clock()
        action = arrow.parse_message(flight.Action, data)
        match action.type:
            case "CreatePreparedStatement":
                command = arrow.unwrap(action.body)
                if not isinstance(command, sql.ActionCreatePreparedStatementRequest):
                    raise arrow.InvalidFlightDataError("not a request for a prepared statement")
                fields = answers.query_fields(context.invocation_metadata() or ())
                handle = self.prepared.put(now, owner, Prepared(command.query, fields), len(command.query))
                parameter_count = catalog.count_parameters(command.query)
                result = sql.ActionCreatePreparedStatementResult(
                    prepared_statement_handle=handle,
                    parameter_schema=arrow.schema_bytes(catalog.parameter_schema(parameter_count))
                    if parameter_count
                    else b"",
                )
                yield flight.Result(body=arrow.wrap(result)).SerializeToString()
            case "ClosePreparedStatement":
                command = arrow.unwrap(action.body)
                if not isinstance(command, sql.ActionClosePreparedStatementRequest):
                    raise arrow.InvalidFlightDataError("not a close of a prepared statement")
                self.prepared.take(now, owner, command.prepared_statement_handle)
            case "CancelFlightInfo":
                info = arrow.parse_message(flight.CancelFlightInfoRequest, action.body).info
                status = flight.CancelFlightInfoResult(status=self.cancel(owner, now, info))
                yield flight.Result(body=status.SerializeToString()).SerializeToString()
            case "CancelQuery":
                command = arrow.unwrap(action.body)
                info = arrow.parse_message(flight.FlightInfo, getattr(command, "info", b""))
                result = sql.ActionCancelQueryResult(result=self.cancel(owner, now, info))
                yield flight.Result(body=arrow.wrap(result)).SerializeToString()
            case other:
                raise NotImplementedError(f"no action of the name {other[:40]!r}")

    def cancel(self, owner: str, now: int, info: flight.FlightInfo) -> int:
        """Cancels the calls that run a FlightInfo's tickets, and revokes its unused tickets."""
        cancel_status = flight.CANCEL_STATUS_NOT_CANCELLABLE
        for endpoint in info.endpoint:
            ticket = endpoint.ticket.ticket
            call = self.calls.get(self.call_numbers_by_ticket.get(ticket, 0))
            if call is not None and call.owner == owner:
                self.handle(events.ClientGone(call.number))
                self.fail(call.number, "cancelled by its client")
                cancel_status = flight.CANCEL_STATUS_CANCELLED
                continue
            try:
                command = arrow.unwrap(ticket)
                if isinstance(command, sql.TicketStatementQuery):
                    self.tickets.take(now, owner, command.statement_handle)
                    cancel_status = flight.CANCEL_STATUS_CANCELLED
            except (InvalidTokenError, arrow.InvalidFlightDataError):
                continue
        return cancel_status

    async def list_actions(self, data: bytes, context) -> AsyncIterator[bytes]:
        self.authenticate(context)
        for kind, description in catalog.ACTION_DESCRIPTIONS.items():
            yield flight.ActionType(type=kind, description=description).SerializeToString()

    # ---- answers ----------------------------------------------------------------------------------------

    def finish(self, number: int, rows: words.Rows) -> None:
        if call := self.calls.get(number):
            call.rows = rows
            call.answered.set()

    def start_stream(self, number: int, stream: words.Stream) -> None:
        if call := self.calls.get(number):
            call.stream = stream
            call.answered.set()
        else:
            stream.close()

    def set_status(self, status: Status, number: int) -> None:
        if call := self.calls.get(number):
            call.status = call.status or status
            if call.stream is not None:
                call.stream.close()
            call.answered.set()

    def reject(self, number: int, retry_after: int) -> None:
        text = "not run, trying again is harmless"
        self.set_status(Status.of(answers.DEFERRED, text, retry_after_ms=retry_after // 10), number)

    def fail(self, number: int, reason: str) -> None:
        kind = answers.MISREAD if reason.startswith("field ") else answers.KILLED
        self.set_status(Status.of(kind, reason), number)

    def abort_stream(self, number: int, reason: str) -> None:
        self.set_status(Status.of(answers.CUT, reason), number)


class CallEndedError(Exception):
    """A call ends with a status."""

    def __init__(self, status: Status) -> None:
        self.status = status


CALL_ERRORS = (
    AuthenticationError,
    InvalidTokenError,
    LimitReachedError,
    arrow.InvalidFlightDataError,
    statements.InvalidStatementError,
    NotImplementedError,
    CallEndedError,
)


def changed_count(rows: words.Rows) -> int:
    """The count of changed records that the only row of a result states, or else its number of rows."""
    if len(rows) == 1 and rows[0][1] == words.CHANGED_COUNT_LABEL:
        return int(rows[0][0])
    return len(rows)
