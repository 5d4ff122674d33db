"""Metadata that Flight SQL clients request, and the parameters of prepared statements.

Answers GetSqlInfo and the requests for catalogs, schemas, tables and table types, and inserts parameters into
a statement's text. Resource groups are listed as tables, since a router knows no others. Performs no I/O.
"""

from collections.abc import Iterator, Mapping, Sequence
from fnmatch import fnmatchcase

import pyarrow as pa
from google.protobuf.message import Message

from hillchute import __version__
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.statements.request import InvalidStatementError, split_parameter_markers

CATALOG_NAME, TABLE_TYPE = "lake", "RESOURCE GROUP"

ACTION_DESCRIPTIONS = {
    "CreatePreparedStatement": "makes a prepared statement; its parameters are question marks",
    "ClosePreparedStatement": "closes a prepared statement",
    "CancelFlightInfo": "gives up what a FlightInfo's tickets run",
    "CancelQuery": "the older form of CancelFlightInfo",
}

# Codes of GetSqlInfo, as the protocol defines them.
(
    SQL_INFO_SERVER_NAME,
    SQL_INFO_SERVER_VERSION,
    SQL_INFO_ARROW_VERSION,
    SQL_INFO_READ_ONLY,
    SQL_INFO_SQL,
    SQL_INFO_SUBSTRAIT,
) = 0, 1, 2, 3, 4, 5
SQL_INFO_TRANSACTION, SQL_INFO_CANCEL = 8, 9
SQL_INFO: dict[int, str | bool | int] = {
    SQL_INFO_SERVER_NAME: "hillchute",
    SQL_INFO_SERVER_VERSION: __version__,
    SQL_INFO_ARROW_VERSION: pa.__version__,
    SQL_INFO_READ_ONLY: False,
    SQL_INFO_SQL: True,
    SQL_INFO_SUBSTRAIT: False,
    SQL_INFO_TRANSACTION: 0,
    SQL_INFO_CANCEL: True,
}

SQL_INFO_VALUE = pa.dense_union(
    [
        pa.field("string_value", pa.string()),
        pa.field("bool_value", pa.bool_()),
        pa.field("bigint_value", pa.int64()),
        pa.field("int32_bitmask", pa.int32()),
        pa.field("string_list", pa.list_(pa.string())),
        pa.field("int32_to_int32_list_map", pa.map_(pa.int32(), pa.list_(pa.int32()))),
    ]
)
SQL_INFO_SCHEMA = pa.schema(
    [pa.field("info_name", pa.uint32(), False), pa.field("value", SQL_INFO_VALUE, False)]
)
CATALOGS_SCHEMA = pa.schema([pa.field("catalog_name", pa.string(), False)])
DB_SCHEMAS_SCHEMA = pa.schema([("catalog_name", pa.string()), pa.field("db_schema_name", pa.string(), False)])
TABLES_SCHEMA = pa.schema(
    [
        ("catalog_name", pa.string()),
        ("db_schema_name", pa.string()),
        pa.field("table_name", pa.string(), False),
        pa.field("table_type", pa.string(), False),
    ]
)
TABLES_WITH_COLUMNS_SCHEMA = TABLES_SCHEMA.append(pa.field("table_schema", pa.binary(), False))
TABLE_TYPES_SCHEMA = pa.schema([pa.field("table_type", pa.string(), False)])


def answer_schema(command: Message) -> pa.Schema | None:
    """The schema of the answer to a metadata command; None if the command is not supported."""
    match command:
        case sql.CommandGetSqlInfo():
            return SQL_INFO_SCHEMA
        case sql.CommandGetCatalogs():
            return CATALOGS_SCHEMA
        case sql.CommandGetDbSchemas():
            return DB_SCHEMAS_SCHEMA
        case sql.CommandGetTables():
            return TABLES_WITH_COLUMNS_SCHEMA if command.include_schema else TABLES_SCHEMA
        case sql.CommandGetTableTypes():
            return TABLE_TYPES_SCHEMA
    return None


def answer(command: Message, groups: Mapping[str, object]) -> Iterator[flight.FlightData]:
    """The answer to a metadata command, as messages; raises NotImplementedError if it is not supported."""
    columns = answer_schema(command)
    if columns is None:
        raise NotImplementedError(f"{command.DESCRIPTOR.name} is not spoken here")
    match command:
        case sql.CommandGetSqlInfo():
            batch = sql_info_batch(command.info)
        case sql.CommandGetCatalogs():
            batch = to_batch(columns, [(CATALOG_NAME,)])
        case sql.CommandGetDbSchemas():
            schema_pattern = (
                command.db_schema_filter_pattern if command.HasField("db_schema_filter_pattern") else "%"
            )
            schema_matches = matches_like("", schema_pattern)
            catalog_matches = not command.HasField("catalog") or command.catalog == CATALOG_NAME
            batch = to_batch(columns, [(CATALOG_NAME, "")] if schema_matches and catalog_matches else [])
        case sql.CommandGetTables():
            batch = to_batch(columns, list(table_rows(command, groups)))
        case _:
            batch = to_batch(columns, [(TABLE_TYPE,)])
    return arrow.encode_batches(columns, [batch])


def to_batch(columns: pa.Schema, rows: Sequence[tuple]) -> pa.RecordBatch:
    values = list(zip(*rows, strict=True)) if rows else [[] for _ in columns]
    arrays = [pa.array(list(v), field.type) for v, field in zip(values, columns, strict=True)]
    return pa.record_batch(arrays, schema=columns)


def sql_info_batch(wanted: Sequence[int]) -> pa.RecordBatch:
    requested = {n: SQL_INFO[n] for n in (wanted or SQL_INFO) if n in SQL_INFO}
    type_ids, offsets, strings, flags, numbers = [], [], [], [], []
    for value in requested.values():
        column = flags if isinstance(value, bool) else strings if isinstance(value, str) else numbers
        type_ids.append(0 if column is strings else 1 if column is flags else 2)
        offsets.append(len(column))
        column.append(value)
    children = [
        pa.array(strings, pa.string()),
        pa.array(flags, pa.bool_()),
        pa.array(numbers, pa.int64()),
        pa.array([], pa.int32()),
        pa.array([], pa.list_(pa.string())),
        pa.array([], pa.map_(pa.int32(), pa.list_(pa.int32()))),
    ]
    names = [SQL_INFO_VALUE.field(n).name for n in range(SQL_INFO_VALUE.num_fields)]
    union_layout = pa.array(type_ids, pa.int8()), pa.array(offsets, pa.int32())
    union = pa.UnionArray.from_dense(*union_layout, children, names)
    return pa.record_batch([pa.array(list(requested), pa.uint32()), union], schema=SQL_INFO_SCHEMA)


def table_rows(command: sql.CommandGetTables, groups: Mapping[str, object]) -> Iterator[tuple]:
    if command.HasField("catalog") and command.catalog != CATALOG_NAME:
        return
    if command.table_types and TABLE_TYPE not in command.table_types:
        return
    if command.HasField("db_schema_filter_pattern") and not matches_like(
        "", command.db_schema_filter_pattern
    ):
        return
    pattern = command.table_name_filter_pattern if command.HasField("table_name_filter_pattern") else "%"
    for name in sorted(groups):
        if matches_like(name, pattern):
            row = (CATALOG_NAME, "", name, TABLE_TYPE)
            yield (*row, arrow.schema_bytes(arrow.TEXT_RESULT_SCHEMA)) if command.include_schema else row


def matches_like(text: str, pattern: str) -> bool:
    """Whether a text matches a pattern of SQL's LIKE."""
    glob = pattern.replace("[", "[[]").replace("*", "[*]").replace("?", "[?]")
    return fnmatchcase(text, glob.replace("%", "*").replace("_", "?"))


# ---- prepared statements --------------------------------------------------------------------------


def count_parameters(text: str) -> int:
    """The number of a statement's parameters: question marks outside of strings, names and comments."""
    return sum(token == b"?" for token in split_parameter_markers(text.encode()))


def parameter_schema(count: int) -> pa.Schema:
    return pa.schema([(f"parameter_{n + 1}", pa.string()) for n in range(count)])


def bind_parameters(text: str, values: Sequence[object]) -> str:
    """A statement with its parameters replaced by literals.

    Raises InvalidStatementError if their number is wrong.
    """
    remaining, out = list(values), []
    for token in split_parameter_markers(text.encode()):
        if token == b"?":
            if not remaining:
                raise InvalidStatementError(
                    f"parameters: {count_parameters(text)} are wanted, {len(values)} are bound"
                )
            out.append(literal(remaining.pop(0)).encode())
        else:
            out.append(token)
    if remaining:
        raise InvalidStatementError(
            f"parameters: {count_parameters(text)} are wanted, {len(values)} are bound"
        )
    return b"".join(out).decode()


def literal(value: object) -> str:
    match value:
        case None:
            return "NULL"
        case bool():
            return "TRUE" if value else "FALSE"
        case int() | float():
            return repr(value)
        case bytes():
            return f"X'{value.hex()}'"
        case _:
            return "'" + str(value).replace("\\", "\\\\").replace("'", "''") + "'"
