"""A stand-in engine on Arrow Flight SQL, from the published protocol.

Owns that protocol's server side on grpc. Must never know what a router is expected to do.
"""

from collections.abc import AsyncIterator

import anyio
import grpc
import grpc.aio
import orjson
import pyarrow as pa
from google.rpc import error_details_pb2

from hillchute.lab.world import Engine, Failed, Full, Plan
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import DETAILS, DOMAIN, packed


class FlightEngine:
    def __init__(self, engine: Engine, message_bytes: int = 1 << 26) -> None:
        self.engine, self.message_bytes = engine, message_bytes
        self.port = 0
        self.server: grpc.aio.Server | None = None
        self.tickets: dict[bytes, tuple[Plan, bytes]] = {}
        self.count = 0
        self.made: dict[tuple[int, int, int], list[bytes]] = {}

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
        name = arrow.SERVICE.strip("/")
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(name, handlers),))
        self.port = self.server.add_insecure_port(f"{host}:0")
        await self.server.start()

    async def close(self, grace: float | None = None) -> None:
        if self.server is not None:
            await self.server.stop(grace)

    async def refuse(self, context, code: grpc.StatusCode, reason: str) -> None:
        info = error_details_pb2.ErrorInfo(reason=reason, domain=DOMAIN)
        trailers = (*self.trailers(), (DETAILS, packed(code, reason, [info])))
        await context.abort(code, reason, trailers)

    def trailers(self, work: float | None = None) -> tuple[tuple[str, str], ...]:
        report = ";".join(f"{name}:{value:g}" for name, value in self.engine.report().items())
        known = (("x-hillchute-report", report),)
        return known if work is None else (*known, ("x-hillchute-work", f"{work:.1f}"))

    def headers(self, context) -> dict[str, str]:
        return {k.removeprefix("x-hillchute-"): v for k, v in context.invocation_metadata() or ()}

    async def get_info(self, data: bytes, context) -> bytes:
        descriptor = flight.FlightDescriptor.FromString(data)
        statement = arrow.unwrap(descriptor.cmd).query.encode()
        plan, id = Plan.of(statement), self.headers(context)["id"]
        try:
            self.engine.admit(id, plan)
        except Full:
            await self.refuse(context, grpc.StatusCode.RESOURCE_EXHAUSTED, "FULL")
        self.count += 1
        token = self.count.to_bytes(8, "big")
        self.tickets[token] = plan, statement
        ticket = arrow.wrap(sql.TicketStatementQuery(statement_handle=token))
        endpoint = flight.FlightEndpoint(ticket=flight.Ticket(ticket=ticket))
        return flight.FlightInfo(
            flight_descriptor=descriptor, endpoint=[endpoint], total_records=-1, total_bytes=-1
        ).SerializeToString()

    async def do_get(self, data: bytes, context) -> AsyncIterator[bytes]:
        ticket = arrow.unwrap(flight.Ticket.FromString(data).ticket)
        known = self.tickets.pop(ticket.statement_handle, None)
        if known is None:
            await self.refuse(context, grpc.StatusCode.NOT_FOUND, "STALE")
        plan, _ = known
        headers = self.headers(context)
        work = await self.worked(headers, plan, context)
        yield arrow.framed(arrow.PLAIN).SerializeToString()
        for number in range(plan.batches):
            if number == plan.cut:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by script")
            if plan.pause:
                await anyio.sleep(plan.pause / 1000)
            yield (
                flight.FlightData(data_header=b"spoilt").SerializeToString()
                if plan.spoilt
                else self.batch(plan, number)
            )
        if plan.cut >= plan.batches:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by script")
        context.set_trailing_metadata(self.trailers(work))

    def batch(self, plan: Plan, number: int) -> bytes:
        """A batch's message; equal ones are made once, so that a wide result costs its sender little."""
        first, last = (plan.rows * n // max(1, plan.batches) for n in (number, number + 1))
        key = (0 if plan.rows > 10_000 else first, last - first, plan.wide)
        if key not in self.made:
            rows = plan.batch(number)
            columns = [pa.array([row[n] for row in rows], pa.string()) for n in range(3)]
            batch = pa.record_batch(columns, schema=arrow.PLAIN)
            self.made[key] = [arrow.framed(batch).SerializeToString()]
            if len(self.made) > 64:
                del self.made[next(iter(self.made))]
        return self.made[key][0]

    async def worked(self, headers: dict[str, str], plan: Plan, context) -> float:
        try:
            return await self.engine.run(headers["id"], headers["lane"], headers.get("dedupe"), plan)
        except Failed:
            await self.refuse(context, grpc.StatusCode.INTERNAL, "FAILED")
        raise AssertionError("abort raises")

    async def do_put(self, messages, context) -> AsyncIterator[bytes]:
        first = flight.FlightData.FromString(await anext(aiter(messages)))
        statement = arrow.unwrap(first.flight_descriptor.cmd).query.encode()
        plan, headers = Plan.of(statement), self.headers(context)
        try:
            self.engine.admit(headers["id"], plan)
        except Full:
            await self.refuse(context, grpc.StatusCode.RESOURCE_EXHAUSTED, "FULL")
        work = await self.worked(headers, plan, context)
        if plan.cut >= 0:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by script")
        result = sql.DoPutUpdateResult(record_count=plan.rows)
        yield flight.PutResult(app_metadata=result.SerializeToString()).SerializeToString()
        context.set_trailing_metadata(self.trailers(work))

    async def do_action(self, data: bytes, context) -> AsyncIterator[bytes]:
        action = flight.Action.FromString(data)
        if action.type == "hillchute.busy":
            yield flight.Result(body=orjson.dumps(self.engine.report())).SerializeToString()
        elif action.type != "hillchute.hurry":
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, action.type[:40])
