"""Encoding and decoding of Flight SQL messages, Arrow schemas and record batches, for servers and clients.

Performs no I/O. FlightData messages that are only relayed are not decoded.
"""

from collections.abc import Iterable, Iterator
from typing import TypeVar

import pyarrow as pa
from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message

from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql

MessageType = TypeVar("MessageType", bound=Message)

COLUMN_NAMES = ("c1", "c2", "c3")  # each result of the platform has three text columns
TEXT_RESULT_SCHEMA = pa.schema([(name, pa.string()) for name in COLUMN_NAMES])
SERVICE_PATH = "/arrow.flight.protocol.FlightService/"
PREFIX_BYTES = 8  # of an encapsulated message before its metadata: continuation marker and metadata length
MAX_ROWS_PER_BATCH = 8_192  # maximum rows of a batch that is built from rows


class InvalidFlightDataError(Exception):
    """A message does not follow the Flight SQL protocol; the text may be sent to the client."""


def wrap(message: Message) -> bytes:
    """The message serialized in a protobuf Any, as Flight SQL carries its commands."""
    packed = Any()
    packed.Pack(message)
    return packed.SerializeToString()


def unwrap(data: bytes) -> Message:
    """The Flight SQL message in a descriptor's command, a ticket or an action's body.

    Raises InvalidFlightDataError if there is none.
    """
    packed = Any()
    try:
        packed.ParseFromString(data)
        parts = packed.type_url.rpartition("/")[2].rpartition(".")
        message_type = getattr(sql, parts[2], None) if parts[0] == "arrow.flight.protocol.sql" else None
        if message_type is None:
            raise InvalidFlightDataError(f"no Flight SQL command: {packed.type_url[:80]!r}")
        return message_type.FromString(packed.value)
    except DecodeError:
        raise InvalidFlightDataError("not a Flight SQL command") from None


def parse_message(message_type: type[MessageType], data: bytes) -> MessageType:
    """Parses a message of the given type; raises InvalidFlightDataError if the data is not one."""
    try:
        return message_type.FromString(data)
    except DecodeError:
        raise InvalidFlightDataError(f"not a {message_type.DESCRIPTOR.name}") from None


def command_descriptor(message: Message) -> flight.FlightDescriptor:
    """The descriptor of a Flight SQL command."""
    return flight.FlightDescriptor(type=flight.FlightDescriptor.CMD, cmd=wrap(message))


# ---- Arrow ----------------------------------------------------------------------------------------


def schema_bytes(schema: pa.Schema) -> bytes:
    """A schema as one encapsulated message, the form in FlightInfo and SchemaResult."""
    return schema.serialize().to_pybytes()


def split_message(message: bytes) -> tuple[bytes, bytes]:
    """The metadata and the body of an encapsulated message, the two parts of a FlightData."""
    size = int.from_bytes(message[4:PREFIX_BYTES], "little")
    return message[PREFIX_BYTES : PREFIX_BYTES + size], message[PREFIX_BYTES + size :]


def join_message(data: flight.FlightData) -> bytes:
    """The encapsulated message that a FlightData holds in two parts."""
    metadata = data.data_header
    return b"\xff\xff\xff\xff" + len(metadata).to_bytes(4, "little") + metadata + data.data_body


def to_flight_data(part: pa.Schema | pa.RecordBatch) -> flight.FlightData:
    """A schema or a record batch as one FlightData."""
    metadata, body = split_message(part.serialize().to_pybytes())
    return flight.FlightData(data_header=metadata, data_body=body)


def encode_batches(schema: pa.Schema, parts: Iterable[pa.RecordBatch]) -> Iterator[flight.FlightData]:
    """A result as FlightData: its schema, then each record batch."""
    yield to_flight_data(schema)
    for part in parts:
        yield to_flight_data(part)


def from_rows(rows: list[list[bytes]]) -> Iterator[flight.FlightData]:
    """Rows of three text columns as FlightData, schema first.

    Raises InvalidFlightDataError if a value is not UTF-8.
    """
    yield to_flight_data(TEXT_RESULT_SCHEMA)
    for start in range(0, len(rows), MAX_ROWS_PER_BATCH):
        columns = zip(*rows[start : start + MAX_ROWS_PER_BATCH], strict=True)
        try:
            arrays = [pa.array([value.decode() for value in column], pa.string()) for column in columns]
        except UnicodeDecodeError:
            raise InvalidFlightDataError("a value is not UTF-8 text") from None
        yield to_flight_data(pa.record_batch(arrays, schema=TEXT_RESULT_SCHEMA))


class BatchDecoder:
    """Decodes the record batches of one stream of FlightData."""

    def __init__(self) -> None:
        self.schema: pa.Schema | None = None

    def decode(self, raw: bytes) -> pa.RecordBatch | None:
        """The record batch in one serialized FlightData; None if it holds the schema or only metadata.

        Raises InvalidFlightDataError if it is neither, or does not fit the schema that came before.
        """
        data = parse_message(flight.FlightData, raw)
        if not data.data_header:
            return None
        try:
            message = pa.ipc.read_message(pa.py_buffer(join_message(data)))
            if message.type == "schema":
                if self.schema is not None:
                    raise InvalidFlightDataError("the schema changes between two batches")
                self.schema = pa.ipc.read_schema(message)
                return None
            if self.schema is None:
                raise InvalidFlightDataError("a batch ahead of its schema")
            batch = pa.ipc.read_record_batch(message, self.schema)
            batch.validate(full=True)
            return batch
        except (pa.ArrowException, OSError, ValueError) as error:
            raise InvalidFlightDataError(f"not an Arrow message: {str(error)[:80]}") from None


def to_rows(batch: pa.RecordBatch) -> Iterator[list[bytes | None]]:
    """The rows of a batch with values as text, the form of the MySQL protocol; None is NULL."""
    columns = [[to_text(value) for value in column.to_pylist()] for column in batch.columns]
    return map(list, zip(*columns, strict=True))


def to_text(value: object) -> bytes | None:
    """A value as text of the MySQL protocol; None is NULL."""
    match value:
        case None:
            return None
        case bytes():
            return value
        case bool():
            return b"1" if value else b"0"
        case _:
            return str(value).encode()
