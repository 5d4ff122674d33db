"""The Flight SQL front: calls on grpc, inside the router's own event loop.

Owns the listening port, the open calls and what was handed out to clients. Must never decide what is answered
nor keep a query's state: what clients ask is handed in, answers come from outside, by the call's number.
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
from hillchute.fronts import events
from hillchute.fronts.flight import answers, catalog
from hillchute.fronts.flight.answers import Status
from hillchute.fronts.flight.identity import ANYBODY, Gate, Refused
from hillchute.fronts.flight.tickets import Full, NotHeld, Table
from hillchute.log import Log
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import DETAILS
from hillchute.statements import request as statements
from hillchute.statements.request import Request

SECOND = 10_000  # tenths of a millisecond
LONGEST_HEADERS = 65_536


class Call:
    """One query of a client, from its asking to its answer."""

    __slots__ = ("number", "owner", "done", "rows", "stream", "status")

    def __init__(self, number: int, owner: str) -> None:
        self.number, self.owner = number, owner
        self.done = anyio.Event()
        self.rows: words.Rows | None = None
        self.stream: words.Stream | None = None
        self.status: Status | None = None


class Prepared(NamedTuple):
    """A prepared statement: its text, the fields of the call that made it, and values for its marks."""

    text: str
    fields: Mapping[str, str]
    values: tuple[object, ...] = ()


class Server:
    """`handle` takes events; numbers of calls are sessions there."""

    def __init__(
        self,
        settings: Mapping[str, object],
        tables: Mapping[str, object],
        log: Log,
        clock: Callable[[], int],
        handle: Callable[[events.Event], None],
    ) -> None:
        """`settings`: the operator file's `flight`; `tables`: the resource groups' names, for the catalog."""
        self.settings, self.log, self.clock, self.handle = settings, log, clock, handle
        key = secrets.token_bytes(32)
        self.gate = Gate(settings["users"], key)
        self.tickets: Table[Request] = Table(key, settings["tickets"], settings["ticket_ms"] * 10)
        self.prepared: Table[Prepared] = Table(key[::-1], settings["prepared"], None)
        self.calls: dict[int, Call] = {}
        self.by_ticket: dict[bytes, int] = {}  # calls that run a ticket, for those who cancel
        self.count = events.FIRST_CALL
        self.tables = tables
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.closing = False

    # ---- the port ---------------------------------------------------------------------------------

    async def open(self) -> None:
        """Serves from here on; raises OSError where the port is taken, ValueError where keys are no good."""
        most = self.settings["message_bytes"]
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", most),
                ("grpc.max_send_message_length", -1),
                ("grpc.max_metadata_size", LONGEST_HEADERS),
                ("grpc.so_reuseport", 0),
            ],
            maximum_concurrent_rpcs=self.settings["streams"] + self.settings["tickets"],
        )
        handlers = {
            "Handshake": grpc.stream_stream_rpc_method_handler(self.guarded_stream(self.handshake)),
            "GetFlightInfo": grpc.unary_unary_rpc_method_handler(self.guarded(self.get_info)),
            "GetSchema": grpc.unary_unary_rpc_method_handler(self.guarded(self.get_schema)),
            "DoGet": grpc.unary_stream_rpc_method_handler(self.guarded_stream(self.do_get)),
            "DoPut": grpc.stream_stream_rpc_method_handler(self.guarded_stream(self.do_put)),
            "DoAction": grpc.unary_stream_rpc_method_handler(self.guarded_stream(self.do_action)),
            "ListActions": grpc.unary_stream_rpc_method_handler(self.guarded_stream(self.list_actions)),
        }
        name = arrow.SERVICE.strip("/")
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(name, handlers),))
        tls = self.settings.get("tls")
        listen = self.settings["listen"]
        try:
            if tls is None:
                self.port = self.server.add_insecure_port(listen)
            else:
                self.port = self.server.add_secure_port(listen, self.credentials(tls))
        except RuntimeError as fault:
            raise OSError(f"flight.listen: {listen}: {fault}") from None
        await self.server.start()
        self.log.write("flight", phase="open", listen=listen, port=self.port, tls=tls is not None)

    def credentials(self, tls: Mapping[str, object]) -> grpc.ServerCredentials:
        """Keys of now; new ones are found when their files change, without a restart."""
        authority = tls.get("client_authority")
        known = {"marks": self.marks(tls), "at": self.clock()}
        first = self.keys(tls)

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            now = self.clock()
            if now - known["at"] < tls["reload_ms"] * 10:
                return None
            known["at"], marks = now, self.marks(tls)
            if marks == known["marks"]:
                return None
            try:
                keys = self.keys(tls)
            except (OSError, ValueError) as fault:  # half-written: the running keys stay
                self.log.write("flight", kept="the running keys", reason=str(fault))
                return None
            known["marks"] = marks
            self.log.write("flight", keys="reloaded")
            return keys

        return grpc.dynamic_ssl_server_credentials(
            first, fetch, require_client_authentication=authority is not None
        )

    def marks(self, tls: Mapping[str, object]) -> list[tuple[int, int]]:
        paths = [tls["certificate"], tls["key"], tls.get("client_authority")]
        found = []
        for path in filter(None, paths):
            try:
                known = os.stat(path)
                found.append((known.st_mtime_ns, known.st_size))
            except OSError:
                found.append((0, 0))
        return found

    def keys(self, tls: Mapping[str, object]) -> grpc.ServerCertificateConfiguration:
        """Raises OSError or ValueError where the files are no pair of keys."""
        key, chain = Path(tls["key"]).read_bytes(), Path(tls["certificate"]).read_bytes()
        try:
            ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(tls["certificate"], tls["key"])
        except ssl.SSLError as fault:
            raise ValueError(f"flight.tls: {fault}") from None
        authority = tls.get("client_authority")
        roots = Path(authority).read_bytes() if authority else None
        return grpc.ssl_server_certificate_configuration(((key, chain),), roots)

    async def close(self, grace: float) -> None:
        """No new call; those that are open have so many seconds."""
        self.closing = True
        if self.server is not None:
            await self.server.stop(grace)

    def renew(self, settings: Mapping[str, object]) -> list[str]:
        """Settings read again: users, defaults and bounds move; the keys of those that can't are given."""
        fixed = [
            key for key in ("listen", "tls", "message_bytes") if settings.get(key) != self.settings.get(key)
        ]
        try:
            gate = Gate(settings["users"], self.gate.key)
        except OSError as fault:
            raise ValueError(f"flight.users: {fault}") from None
        self.settings = {**settings, **{key: self.settings.get(key) for key in fixed}}
        self.gate = gate
        self.tickets.most, self.tickets.span = settings["tickets"], settings["ticket_ms"] * 10
        self.prepared.most = settings["prepared"]
        return fixed

    # ---- every call -------------------------------------------------------------------------------

    async def end(self, context: grpc.aio.ServicerContext, status: Status) -> None:
        await context.abort(status.code, status.text, ((DETAILS, status.details),))

    def owner(self, context: grpc.aio.ServicerContext) -> str:
        header = next((v for k, v in context.invocation_metadata() or () if k == "authorization"), None)
        return self.gate.owner(self.clock(), header)

    def fault(self, fault: Exception) -> Status:
        match fault:
            case Refused():
                return Status.of(answers.NO_ENTRY, str(fault))
            case NotHeld():
                return Status.of(answers.NO_TICKET, str(fault))
            case Full():
                return Status.of(answers.FULL, str(fault), after=100)
            case arrow.Unreadable() | statements.Misread():
                return Status.of(answers.MISREAD, str(fault))
            case NotImplementedError():
                return Status.of(answers.UNSPOKEN, str(fault))
            case Ended():
                return fault.status
        raise fault

    def guarded(self, work: Callable) -> Callable:
        async def served(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
            try:
                return await work(data, context)
            except FAULTS as fault:
                status = self.fault(fault)
            await self.end(context, status)

        return served

    def guarded_stream(self, work: Callable) -> Callable:
        async def served(data, context: grpc.aio.ServicerContext) -> AsyncIterator[bytes]:
            status = None
            try:
                async for part in work(data, context):
                    yield part
            except FAULTS as fault:
                status = self.fault(fault)
            if status is not None:
                await self.end(context, status)

        return served

    # ---- who ----------------------------------------------------------------------------------------

    async def handshake(self, messages, context) -> AsyncIterator[bytes]:
        """Basic authentication by header or by payload; a bearer token comes back both ways."""
        now = self.clock()
        header = next((v for k, v in context.invocation_metadata() or () if k == "authorization"), None)
        if header is not None or self.gate.open:
            owner, version = self.gate.owner(now, header), 0
        else:
            first = await anext(aiter(messages), None)
            if first is None:
                raise Refused("authentication is needed: basic or bearer")
            sent = arrow.read(flight.HandshakeRequest, first)
            known = arrow.read(flight.BasicAuth, sent.payload)
            owner, version = self.gate.password(known.username, known.password), sent.protocol_version
        token = self.gate.give(now, owner)
        await context.send_initial_metadata((("authorization", f"Bearer {token}"),))
        yield flight.HandshakeResponse(protocol_version=version, payload=token.encode()).SerializeToString()

    # ---- what is there ------------------------------------------------------------------------------

    async def get_info(self, data: bytes, context) -> bytes:
        owner = self.owner(context)
        descriptor = arrow.read(flight.FlightDescriptor, data)
        asked = self.asked(descriptor)
        if isinstance(asked, sql.CommandStatementQuery | sql.CommandPreparedStatementQuery):
            schema, ticket = b"", self.ticket(owner, asked, context)
        else:
            known = catalog.schema(asked)
            if known is None:
                raise NotImplementedError(f"{asked.DESCRIPTOR.name} is not spoken here")
            schema, ticket = arrow.schema_bytes(known), descriptor.cmd
        return flight.FlightInfo(
            schema=schema,
            flight_descriptor=descriptor,
            endpoint=[flight.FlightEndpoint(ticket=flight.Ticket(ticket=ticket))],
            total_records=-1,
            total_bytes=-1,
        ).SerializeToString()

    def asked(self, descriptor: flight.FlightDescriptor):
        if descriptor.type != flight.FlightDescriptor.CMD:
            raise NotImplementedError("only commands are spoken here, no paths")
        return arrow.unwrap(descriptor.cmd)

    async def get_schema(self, data: bytes, context) -> bytes:
        owner = self.owner(context)
        asked = self.asked(arrow.read(flight.FlightDescriptor, data))
        if isinstance(asked, sql.CommandPreparedStatementQuery):
            self.prepared.get(self.clock(), owner, asked.prepared_statement_handle)
        statement = isinstance(asked, sql.CommandStatementQuery | sql.CommandPreparedStatementQuery)
        known = arrow.PLAIN if statement else catalog.schema(asked)
        if known is None:
            raise NotImplementedError(f"{asked.DESCRIPTOR.name} is not spoken here")
        return flight.SchemaResult(schema=arrow.schema_bytes(known)).SerializeToString()

    # ---- statements -----------------------------------------------------------------------------------

    def ticket(self, owner: str, asked, context) -> bytes:
        """A ticket for a statement; it is read here, so that what can't run is told before."""
        now = self.clock()
        fields = answers.fields(context.invocation_metadata() or ())
        if isinstance(asked, sql.CommandStatementQuery):
            text = asked.query
        else:
            known = self.prepared.get(now, owner, asked.prepared_statement_handle)
            text, fields = catalog.bound(known.text, known.values), {**known.fields, **fields}
        token = self.tickets.put(now, owner, self.request(text, fields))
        return arrow.wrap(sql.TicketStatementQuery(statement_handle=token))

    def request(self, text: str, fields: Mapping[str, str]) -> Request:
        """A query out of its text and the call's headers; what neither states has the operator's default."""
        missing = {
            "trace": secrets.token_hex(8),
            "patience": str(self.settings["default_patience_ms"]),
        }
        if self.settings["default_route"]:
            missing["route"] = self.settings["default_route"]
        return statements.read(text.encode(), fields, missing)

    async def do_get(self, data: bytes, context) -> AsyncIterator[bytes]:
        since = self.clock()
        owner = self.owner(context)
        ticket = arrow.read(flight.Ticket, data).ticket
        asked = arrow.unwrap(ticket)
        if not isinstance(asked, sql.TicketStatementQuery):
            for part in catalog.table(asked, self.tables):
                yield part.SerializeToString()
            return
        request = self.tickets.take(since, owner, asked.statement_handle)
        call = self.call(owner)
        self.by_ticket[ticket] = call.number
        try:
            await self.ask(call, request, since)
            if call.rows is not None:
                for part in arrow.from_rows(call.rows):
                    yield part.SerializeToString()
            else:
                async for raw in self.passed_on(call):
                    yield raw
        finally:
            self.by_ticket.pop(ticket, None)
            self.forget(call)

    async def passed_on(self, call: Call) -> AsyncIterator[bytes]:
        """An engine's messages as they are, one at a time: grpc takes the next when the client has room."""
        while (raw := await call.stream.read()) is not None and call.status is None:
            yield raw
        if call.status is not None:
            raise Ended(call.status)
        if call.stream.broken:
            raise Ended(Status.of(answers.CUT, "the result broke off"))
        self.handle(events.Passed(call.number))

    def call(self, owner: str) -> Call:
        if self.closing:
            raise Ended(Status.of(answers.CLOSING, "the router ends", after=100))
        if len(self.calls) >= self.settings["streams"]:
            raise Full("too many calls are open")
        self.count += 1
        call = self.calls[self.count] = Call(self.count, owner)
        return call

    async def ask(self, call: Call, request: Request, since: int) -> None:
        """Hands a query in and waits for its answer, or for the first of its stream."""
        customer = "" if call.owner == ANYBODY else call.owner
        self.handle(events.Asked(call.number, request._replace(customer=customer), since))
        await call.done.wait()
        if call.rows is None and call.stream is None:
            raise Ended(call.status)

    def forget(self, call: Call) -> None:
        """The call is over, whoever ended it; a query that is still open was given up by its client."""
        if self.calls.pop(call.number, None) is not None:
            self.handle(events.Left(call.number))

    # ---- updates and parameters -------------------------------------------------------------------------

    async def do_put(self, messages, context) -> AsyncIterator[bytes]:
        since = self.clock()
        owner = self.owner(context)
        parts = aiter(messages)
        first = await anext(parts, None)
        if first is None:
            raise arrow.Unreadable("a put without a message")
        data = arrow.read(flight.FlightData, first)
        asked = self.asked(data.flight_descriptor)
        fields = answers.fields(context.invocation_metadata() or ())
        match asked:
            case sql.CommandStatementUpdate():
                count = await self.update(owner, self.request(asked.query, fields), since)
            case sql.CommandPreparedStatementUpdate():
                known = self.prepared.get(since, owner, asked.prepared_statement_handle)
                values = await self.parameters(first, parts)
                text = catalog.bound(known.text, values or known.values)
                request = self.request(text, {**known.fields, **fields})
                count = await self.update(owner, request, since)
            case sql.CommandPreparedStatementQuery():
                handle = asked.prepared_statement_handle
                known = self.prepared.get(since, owner, handle)
                values = await self.parameters(first, parts)
                number = self.prepared.find(since, owner, handle)
                self.prepared.entries[number].held = known._replace(values=values)
                result = sql.DoPutPreparedStatementResult(prepared_statement_handle=handle)
                yield flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString()
                return
            case _:
                raise NotImplementedError(f"{asked.DESCRIPTOR.name} can't be put here")
        result = sql.DoPutUpdateResult(record_count=count)
        yield flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString()

    async def parameters(self, first: bytes, parts) -> tuple[object, ...]:
        """The one row of parameters that a put brings; empty where it brings none."""
        reading, raw, values = arrow.Reading(), first, ()
        while raw is not None:
            batch = reading.take(raw)
            if batch is not None and batch.num_rows:
                if batch.num_rows > 1 or values:
                    raise NotImplementedError("one row of parameters at a time")
                values = tuple(column[0].as_py() for column in batch.columns)
            raw = await anext(parts, None)
        return values

    async def update(self, owner: str, request: Request, since: int) -> int:
        """Runs a statement for its effect; how many records it says it changed, or rows it gave."""
        call = self.call(owner)
        try:
            await self.ask(call, request, since)
            if call.rows is not None:
                return changed(call.rows)
            count, reading = 0, arrow.Reading()
            async for raw in self.passed_on(call):
                batch = reading.take(raw)
                count += batch.num_rows if batch is not None else 0
            return count
        finally:
            self.forget(call)

    # ---- actions ----------------------------------------------------------------------------------------

    async def do_action(self, data: bytes, context) -> AsyncIterator[bytes]:
        owner, now = self.owner(context), self.clock()
        action = arrow.read(flight.Action, data)
        match action.type:
            case "CreatePreparedStatement":
                asked = arrow.unwrap(action.body)
                if not isinstance(asked, sql.ActionCreatePreparedStatementRequest):
                    raise arrow.Unreadable("not a request for a prepared statement")
                fields = answers.fields(context.invocation_metadata() or ())
                handle = self.prepared.put(now, owner, Prepared(asked.query, fields))
                marks = catalog.marks(asked.query)
                result = sql.ActionCreatePreparedStatementResult(
                    prepared_statement_handle=handle,
                    parameter_schema=arrow.schema_bytes(catalog.parameters(marks)) if marks else b"",
                )
                yield flight.Result(body=arrow.wrap(result)).SerializeToString()
            case "ClosePreparedStatement":
                asked = arrow.unwrap(action.body)
                if not isinstance(asked, sql.ActionClosePreparedStatementRequest):
                    raise arrow.Unreadable("not a close of a prepared statement")
                self.prepared.take(now, owner, asked.prepared_statement_handle)
            case "CancelFlightInfo":
                info = arrow.read(flight.CancelFlightInfoRequest, action.body).info
                status = flight.CancelFlightInfoResult(status=self.cancel(owner, now, info))
                yield flight.Result(body=status.SerializeToString()).SerializeToString()
            case "CancelQuery":
                asked = arrow.unwrap(action.body)
                info = arrow.read(flight.FlightInfo, getattr(asked, "info", b""))
                result = sql.ActionCancelQueryResult(result=self.cancel(owner, now, info))
                yield flight.Result(body=arrow.wrap(result)).SerializeToString()
            case other:
                raise NotImplementedError(f"no action of the name {other[:40]!r}")

    def cancel(self, owner: str, now: int, info: flight.FlightInfo) -> int:
        """Gives up what a FlightInfo's tickets run, or takes back tickets that were not used."""
        done = flight.CANCEL_STATUS_NOT_CANCELLABLE
        for endpoint in info.endpoint:
            ticket = endpoint.ticket.ticket
            call = self.calls.get(self.by_ticket.get(ticket, 0))
            if call is not None and call.owner == owner:
                self.handle(events.Left(call.number))
                self.kill(call.number, "cancelled by its client")
                done = flight.CANCEL_STATUS_CANCELLED
                continue
            try:
                asked = arrow.unwrap(ticket)
                if isinstance(asked, sql.TicketStatementQuery):
                    self.tickets.take(now, owner, asked.statement_handle)
                    done = flight.CANCEL_STATUS_CANCELLED
            except (NotHeld, arrow.Unreadable):
                continue
        return done

    async def list_actions(self, data: bytes, context) -> AsyncIterator[bytes]:
        self.owner(context)
        for kind, words_of in catalog.ACTIONS.items():
            yield flight.ActionType(type=kind, description=words_of).SerializeToString()

    # ---- answers ----------------------------------------------------------------------------------------

    def finish(self, number: int, rows: words.Rows) -> None:
        if call := self.calls.get(number):
            call.rows = rows
            call.done.set()

    def begin(self, number: int, stream: words.Stream) -> None:
        if call := self.calls.get(number):
            call.stream = stream
            call.done.set()
        else:
            stream.close()

    def told(self, status: Status, number: int) -> None:
        if call := self.calls.get(number):
            call.status = call.status or status
            if call.stream is not None:
                call.stream.close()
            call.done.set()

    def defer(self, number: int, after: int) -> None:
        text = "not run, trying again is harmless"
        self.told(Status.of(answers.DEFERRED, text, after=after // 10), number)

    def kill(self, number: int, why: str) -> None:
        kind = answers.MISREAD if why.startswith("field ") else answers.KILLED
        self.told(Status.of(kind, why), number)

    def cut(self, number: int, why: str) -> None:
        self.told(Status.of(answers.CUT, why), number)


class Ended(Exception):
    """The query of a call has ended with a status."""

    def __init__(self, status: Status) -> None:
        self.status = status


FAULTS = (Refused, NotHeld, Full, arrow.Unreadable, statements.Misread, NotImplementedError, Ended)


def changed(rows: words.Rows) -> int:
    """The count of records that an update's one row states, or the number of its rows."""
    if len(rows) == 1 and rows[0][1] == words.CHANGED:
        return int(rows[0][0])
    return len(rows)
