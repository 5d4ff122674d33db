"""Stand-in engine that serves Arrow Flight SQL over gRPC."""

from collections.abc import AsyncIterator

import anyio
import grpc
import grpc.aio
import orjson
import pyarrow as pa
from google.rpc import error_details_pb2

from hillchute.lab.world import Engine, EngineFullError, RunFailedError, StatementBehaviour
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import DETAILS_TRAILER, ERROR_DOMAIN, encode_status


class FlightEngine:
    """The server of one engine."""

    def __init__(self, engine: Engine, message_bytes: int = 1 << 26) -> None:
        self.engine, self.message_bytes = engine, message_bytes
        self.port = 0
        self.server: grpc.aio.Server | None = None
        self.tickets: dict[bytes, tuple[StatementBehaviour, bytes]] = {}
        self.ticket_count = 0
        self.batch_messages: dict[tuple[int, int, int], list[bytes]] = {}

    async def open(self, host: str = "127.0.0.1") -> None:
        self.server = grpc.aio.server(
            options=[("grpc.max_send_message_length", -1), ("grpc.so_reuseport", 0)]
        )
        handlers = {
            "GetFlightInfo": grpc.unary_unary_rpc_method_handler(self.get_info),
            "DoGet": grpc.unary_stream_rpc_method_handler(self.do_get),
            "DoPut": grpc.stream_stream_rpc_method_handler(self.do_put),
            "DoAction": grpc.unary_stream_rpc_method_handler(self.do_action),
        }
        name = arrow.SERVICE_PATH.strip("/")
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(name, handlers),))
        self.port = self.server.add_insecure_port(f"{host}:0")
        await self.server.start()

    async def close(self, grace: float | None = None) -> None:
        if self.server is not None:
            await self.server.stop(grace)

    async def abort(self, context, code: grpc.StatusCode, reason: str) -> None:
        info = error_details_pb2.ErrorInfo(reason=reason, domain=ERROR_DOMAIN)
        trailers = (*self.trailers(), (DETAILS_TRAILER, encode_status(code, reason, [info])))
        await context.abort(code, reason, trailers)

    def trailers(self, work: float | None = None) -> tuple[tuple[str, str], ...]:
        report = ";".join(f"{name}:{value:g}" for name, value in self.engine.report().items())
        trailers = (("x-hillchute-report", report),)
        return trailers if work is None else (*trailers, ("x-hillchute-work", f"{work:.1f}"))

    def headers(self, context) -> dict[str, str]:
        return {k.removeprefix("x-hillchute-"): v for k, v in context.invocation_metadata() or ()}

    async def get_info(self, data: bytes, context) -> bytes:
        descriptor = flight.FlightDescriptor.FromString(data)
        statement = arrow.unwrap(descriptor.cmd).query.encode()
        behaviour, id = StatementBehaviour.from_statement(statement), self.headers(context)["id"]
        try:
            self.engine.admit(id, behaviour)
        except EngineFullError:
            await self.abort(context, grpc.StatusCode.RESOURCE_EXHAUSTED, "FULL")
        self.ticket_count += 1
        token = self.ticket_count.to_bytes(8, "big")
        self.tickets[token] = behaviour, statement
        ticket = arrow.wrap(sql.TicketStatementQuery(statement_handle=token))
        endpoint = flight.FlightEndpoint(ticket=flight.Ticket(ticket=ticket))
        return flight.FlightInfo(
            flight_descriptor=descriptor, endpoint=[endpoint], total_records=-1, total_bytes=-1
        ).SerializeToString()

    async def do_get(self, data: bytes, context) -> AsyncIterator[bytes]:
        ticket = arrow.unwrap(flight.Ticket.FromString(data).ticket)
        entry = self.tickets.pop(ticket.statement_handle, None)
        if entry is None:
            await self.abort(context, grpc.StatusCode.NOT_FOUND, "STALE")
        behaviour, _ = entry
        headers = self.headers(context)
        work = await self.run_statement(headers, behaviour, context)
        yield arrow.to_flight_data(arrow.TEXT_RESULT_SCHEMA).SerializeToString()
        for number in range(behaviour.batches):
            if number == behaviour.cut:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by script")
            if behaviour.pause:
                await anyio.sleep(behaviour.pause / 1000)
            yield (
                flight.FlightData(data_header=b"spoilt").SerializeToString()
                if behaviour.spoilt
                else self.batch_message(behaviour, number)
            )
        if behaviour.cut >= behaviour.batches:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by script")
        context.set_trailing_metadata(self.trailers(work))

    def batch_message(self, behaviour: StatementBehaviour, number: int) -> bytes:
        """Return a batch's message; equal ones are cached, so that a wide result takes little CPU time."""
        first, last = (behaviour.rows * n // max(1, behaviour.batches) for n in (number, number + 1))
        key = (0 if behaviour.rows > 10_000 else first, last - first, behaviour.wide)
        if key not in self.batch_messages:
            rows = behaviour.batch(number)
            columns = [pa.array([row[n] for row in rows], pa.string()) for n in range(3)]
            batch = pa.record_batch(columns, schema=arrow.TEXT_RESULT_SCHEMA)
            self.batch_messages[key] = [arrow.to_flight_data(batch).SerializeToString()]
            if len(self.batch_messages) > 64:
                del self.batch_messages[next(iter(self.batch_messages))]
        return self.batch_messages[key][0]

    async def run_statement(self, headers: dict[str, str], behaviour: StatementBehaviour, context) -> float:
        try:
            return await self.engine.run(headers["id"], headers["lane"], headers.get("dedupe"), behaviour)
        except RunFailedError:
            await self.abort(context, grpc.StatusCode.INTERNAL, "FAILED")
        raise AssertionError("abort raises")

    async def do_put(self, messages, context) -> AsyncIterator[bytes]:
        first = flight.FlightData.FromString(await anext(aiter(messages)))
        statement = arrow.unwrap(first.flight_descriptor.cmd).query.encode()
        behaviour, headers = StatementBehaviour.from_statement(statement), self.headers(context)
        try:
            self.engine.admit(headers["id"], behaviour)
        except EngineFullError:
            await self.abort(context, grpc.StatusCode.RESOURCE_EXHAUSTED, "FULL")
        work = await self.run_statement(headers, behaviour, context)
        if behaviour.cut >= 0:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by script")
        result = sql.DoPutUpdateResult(record_count=behaviour.rows)
        yield flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString()
        context.set_trailing_metadata(self.trailers(work))

    async def do_action(self, data: bytes, context) -> AsyncIterator[bytes]:
        action = flight.Action.FromString(data)
        if action.type == "hillchute.busy":
            yield flight.Result(body=orjson.dumps(self.engine.report())).SerializeToString()
        elif action.type != "hillchute.hurry":
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, action.type[:40])
