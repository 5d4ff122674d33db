"""Test clients of the MySQL and the Flight SQL front end; each runs a query and records its outcome.

Implements the client side of both protocols as far as the workloads need it.
"""

import secrets
import struct
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import anyio.abc
import grpc
import grpc.aio

from hillchute.fronts.mysql import packets
from hillchute.lab.world import EngineWorld
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import error_reason

LOGIN = struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0"
DEFERRED = ("DEFERRED", "CLOSING", "FULL")


@dataclass
class Query:
    """One query of a workload with its client's record of it."""

    group: str
    statement: str
    client_timeout_ms: int = 5_000
    idempotency_key: str | None = None
    ordering_key: str | None = None
    cancel_after: float | None = None  # seconds after which the client cancels the query
    weight: float = 20.0  # estimated work in milliseconds
    id: str = field(default_factory=lambda: secrets.token_hex(8))
    router: str = ""  # name of the router that it was sent to
    sent: float = 0.0  # Unix time in seconds
    answers: list[tuple[float, str]] = field(default_factory=list)
    rows: int = 0

    @property
    def fields(self) -> dict[str, str]:
        """The protocol's fields of the query, by name."""
        fields = {"route": self.group, "trace": self.id, "patience": str(self.client_timeout_ms)}
        fields |= {"weight": f"{self.weight:.1f}", "mb": "1"}
        fields |= {"nonce": self.idempotency_key} if self.idempotency_key else {}
        return fields | ({"entity": self.ordering_key} if self.ordering_key else {})

    @property
    def text(self) -> str:
        """The statement with its fields as a leading comment."""
        pairs = ",".join(f"{name}={value}" for name, value in self.fields.items())
        return f"/* {pairs} */ {self.statement}"

    @property
    def outcome(self) -> str:
        """The outcome; `lost` without an answer, `twice` with more than one."""
        return self.answers[0][1] if len(self.answers) == 1 else "lost" if not self.answers else "twice"


class Client(Protocol):
    """A client of either protocol."""

    async def run(self, query: Query) -> None: ...

    async def close(self) -> None: ...


class MySQLClient:
    """One MySQL session, reopened by the next query if it was closed."""

    def __init__(self, world: EngineWorld, port: int) -> None:
        self.world, self.port = world, port
        self.stream: anyio.abc.SocketStream | None = None
        self.buffer = b""

    async def read_packet(self) -> bytes:
        while len(self.buffer) < 4 or len(self.buffer) < 4 + int.from_bytes(self.buffer[:3], "little"):
            self.buffer += await self.stream.receive()
        size = int.from_bytes(self.buffer[:3], "little")
        payload, self.buffer = self.buffer[4 : 4 + size], self.buffer[4 + size :]
        return payload

    async def write_packet(self, number: int, payload: bytes) -> None:
        await self.stream.send(len(payload).to_bytes(3, "little") + bytes([number]) + payload)

    async def connect(self) -> None:
        self.stream, self.buffer = await anyio.connect_tcp("127.0.0.1", self.port), b""
        await self.read_packet()
        await self.write_packet(1, LOGIN)
        await self.read_packet()

    async def run(self, query: Query) -> None:
        try:
            if self.stream is None:
                await self.connect()
            query.sent = self.world.clock()
            with anyio.move_on_after(query.cancel_after) as scope:
                await self.write_packet(0, b"\x03" + query.text.encode())
                outcome = await self.read_result(query)
            if scope.cancelled_caught:
                await self.close()
                return
            query.answers.append((self.world.clock(), outcome))
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            await self.close()

    async def read_result(self, query: Query) -> str:
        eof_packets = 0
        while True:
            payload = await self.read_packet()
            if payload[:1] == b"\xff":
                number = int.from_bytes(payload[1:3], "little")
                return "deferred" if number == packets.REFUSED[0] else "killed"
            if payload[:1] == b"\xfe" and len(payload) == 5:
                eof_packets += 1
                if eof_packets == 2:
                    return "finished"
            elif eof_packets == 1:
                query.rows += 1

    async def close(self) -> None:
        if self.stream is not None:
            stream, self.stream = self.stream, None
            await stream.aclose()


class FlightClient:
    """A Flight SQL client on one gRPC channel."""

    def __init__(self, world: EngineWorld, port: int, token: str | None = None) -> None:
        self.world, self.token = world, token
        options = [("grpc.max_receive_message_length", -1), ("grpc.use_local_subchannel_pool", 1)]
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options)

    def metadata(self, query: Query) -> list[tuple[str, str]]:
        headers = [(f"x-hillchute-{name}", value) for name, value in query.fields.items()]
        return headers + ([("authorization", f"Bearer {self.token}")] if self.token else [])

    async def run(self, query: Query) -> None:
        query.sent = self.world.clock()
        try:
            with anyio.move_on_after(query.cancel_after) as scope:
                await (self.run_update if query.idempotency_key else self.run_select)(query)
            if not scope.cancelled_caught:
                query.answers.append((self.world.clock(), "finished"))
        except arrow.InvalidFlightDataError:
            query.answers.append((self.world.clock(), "unreadable"))
        except grpc.aio.AioRpcError as error:
            code = error_reason(error.trailing_metadata())
            outcome = "deferred" if code in DEFERRED else "killed" if code else f"unknown {error.code()}"
            query.answers.append((self.world.clock(), outcome))

    async def run_select(self, query: Query) -> None:
        get_info = self.channel.unary_unary(f"{arrow.SERVICE_PATH}GetFlightInfo")
        command = arrow.command_descriptor(sql.CommandStatementQuery(query=query.statement))
        raw = await get_info(command.SerializeToString(), metadata=self.metadata(query))
        ticket = flight.FlightInfo.FromString(raw).endpoint[0].ticket
        query.sent = self.world.clock()
        do_get = self.channel.unary_stream(f"{arrow.SERVICE_PATH}DoGet")
        reader = arrow.BatchDecoder()
        async for raw in do_get(ticket.SerializeToString(), metadata=self.metadata(query)):
            batch = reader.decode(raw)
            query.rows += batch.num_rows if batch is not None else 0

    async def run_update(self, query: Query) -> None:
        do_put = self.channel.stream_stream(f"{arrow.SERVICE_PATH}DoPut")
        command = arrow.command_descriptor(sql.CommandStatementUpdate(query=query.statement))
        call = do_put(metadata=self.metadata(query))
        await call.write(flight.FlightData(flight_descriptor=command).SerializeToString())
        await call.done_writing()
        async for raw in call:
            result = flight.PutResult.FromString(raw)
            query.rows += sql.DoPutUpdateResult.FromString(result.app_metadata).record_count

    async def close(self) -> None:
        await self.channel.close(None)
