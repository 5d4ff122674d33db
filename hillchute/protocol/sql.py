"""Flight SQL's values: commands in their wrapping, schemas and batches as the protocol frames them.

Owns what both sides of Flight SQL need to put values into messages and take them out. Must never do I/O.
A message that is only passed on is never taken apart here: see batches().
"""

from collections.abc import Iterable, Iterator
from typing import TypeVar

import pyarrow as pa
from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message

from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql

Kind = TypeVar("Kind", bound=Message)

NAMES = ("c1", "c2", "c3")  # the platform's results: three text columns
PLAIN = pa.schema([(name, pa.string()) for name in NAMES])
SERVICE = "/arrow.flight.protocol.FlightService/"
LEAD = 8  # bytes of an encapsulated message ahead of its metadata: a marker and a length
STEP = 8_192  # rows of one batch made of rows


class Unreadable(Exception):
    """Bytes that are not what the protocol says."""


def wrap(message: Message) -> bytes:
    packed = Any()
    packed.Pack(message)
    return packed.SerializeToString()


def unwrap(data: bytes) -> Message:
    """The Flight SQL message in a descriptor's command, a ticket or an action's body."""
    packed = Any()
    try:
        packed.ParseFromString(data)
        name = packed.type_url.rpartition("/")[2].rpartition(".")
        kind = getattr(sql, name[2], None) if name[0] == "arrow.flight.protocol.sql" else None
        if kind is None:
            raise Unreadable(f"no Flight SQL command: {packed.type_url[:80]!r}")
        return kind.FromString(packed.value)
    except DecodeError:
        raise Unreadable("not a Flight SQL command") from None


def read(kind: type[Kind], data: bytes) -> Kind:
    try:
        return kind.FromString(data)
    except DecodeError:
        raise Unreadable(f"not a {kind.DESCRIPTOR.name}") from None


def command(message: Message) -> flight.FlightDescriptor:
    return flight.FlightDescriptor(type=flight.FlightDescriptor.CMD, cmd=wrap(message))


# ---- Arrow ----------------------------------------------------------------------------------------


def schema_bytes(schema: pa.Schema) -> bytes:
    """A schema as FlightInfo and SchemaResult hold it: one encapsulated message."""
    return schema.serialize().to_pybytes()


def split(message: bytes) -> tuple[bytes, bytes]:
    """An encapsulated message's metadata and body, as FlightData holds them."""
    size = int.from_bytes(message[4:LEAD], "little")
    return message[LEAD : LEAD + size], message[LEAD + size :]


def join(data: flight.FlightData) -> bytes:
    """The encapsulated message in a FlightData."""
    head = data.data_header
    return b"\xff\xff\xff\xff" + len(head).to_bytes(4, "little") + head + data.data_body


def framed(part: pa.Schema | pa.RecordBatch) -> flight.FlightData:
    head, body = split(part.serialize().to_pybytes())
    return flight.FlightData(data_header=head, data_body=body)


def batches(schema: pa.Schema, parts: Iterable[pa.RecordBatch]) -> Iterator[flight.FlightData]:
    yield framed(schema)
    for part in parts:
        yield framed(part)


def from_rows(rows: list[list[bytes]]) -> Iterator[flight.FlightData]:
    """The platform's rows as batches of text columns; raises Unreadable where one is not UTF-8."""
    yield framed(PLAIN)
    for start in range(0, len(rows), STEP):
        columns = zip(*rows[start : start + STEP], strict=True)
        try:
            arrays = [pa.array([value.decode() for value in column], pa.string()) for column in columns]
        except UnicodeDecodeError:
            raise Unreadable("a value is not UTF-8 text") from None
        yield framed(pa.record_batch(arrays, schema=PLAIN))


class Reading:
    """Batches out of FlightData, for a front that must take them apart."""

    def __init__(self) -> None:
        self.schema: pa.Schema | None = None

    def take(self, raw: bytes) -> pa.RecordBatch | None:
        """The batch in one message; None where it holds the schema, or nothing but metadata."""
        data = read(flight.FlightData, raw)
        if not data.data_header:
            return None
        try:
            message = pa.ipc.read_message(pa.py_buffer(join(data)))
            if message.type == "schema":
                if self.schema is not None:
                    raise Unreadable("the schema changes between two batches")
                self.schema = pa.ipc.read_schema(message)
                return None
            if self.schema is None:
                raise Unreadable("a batch ahead of its schema")
            batch = pa.ipc.read_record_batch(message, self.schema)
            batch.validate(full=True)
            return batch
        except (pa.ArrowException, OSError, ValueError) as fault:
            raise Unreadable(f"not an Arrow message: {str(fault)[:80]}") from None


def to_rows(batch: pa.RecordBatch) -> Iterator[list[bytes | None]]:
    """A batch's rows as text, the way the MySQL protocol gives values; None is NULL."""
    columns = [[text(value) for value in column.to_pylist()] for column in batch.columns]
    return map(list, zip(*columns, strict=True))


def text(value: object) -> bytes | None:
    match value:
        case None:
            return None
        case bytes():
            return value
        case bool():
            return b"1" if value else b"0"
        case _:
            return str(value).encode()
