"""What a Flight SQL client may ask about the router itself, and prepared statements' marks.

Owns the answers to GetSqlInfo, catalogs, schemas, tables and table types, and the putting of parameters into
a statement's text. Must never do I/O. What it calls tables are the resource groups: a router knows no others.
"""

from collections.abc import Iterator, Mapping, Sequence
from fnmatch import fnmatchcase

import pyarrow as pa
from google.protobuf.message import Message

from hillchute import __version__
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.statements.request import Misread, tokens

CATALOG, TYPE = "lake", "RESOURCE GROUP"

ACTIONS = {
    "CreatePreparedStatement": "makes a prepared statement; its parameters are question marks",
    "ClosePreparedStatement": "closes a prepared statement",
    "CancelFlightInfo": "gives up what a FlightInfo's tickets run",
    "CancelQuery": "the older form of CancelFlightInfo",
}

# Numbers of GetSqlInfo, as the protocol gives them.
SERVER_NAME, SERVER_VERSION, ARROW_VERSION, READ_ONLY, HAS_SQL, HAS_SUBSTRAIT = 0, 1, 2, 3, 4, 5
TRANSACTIONS, CANCELS = 8, 9
INFOS: dict[int, str | bool | int] = {
    SERVER_NAME: "hillchute",
    SERVER_VERSION: __version__,
    ARROW_VERSION: pa.__version__,
    READ_ONLY: False,
    HAS_SQL: True,
    HAS_SUBSTRAIT: False,
    TRANSACTIONS: 0,
    CANCELS: True,
}

INFO_VALUE = pa.dense_union(
    [
        pa.field("string_value", pa.string()),
        pa.field("bool_value", pa.bool_()),
        pa.field("bigint_value", pa.int64()),
        pa.field("int32_bitmask", pa.int32()),
        pa.field("string_list", pa.list_(pa.string())),
        pa.field("int32_to_int32_list_map", pa.map_(pa.int32(), pa.list_(pa.int32()))),
    ]
)
INFO = pa.schema([pa.field("info_name", pa.uint32(), False), pa.field("value", INFO_VALUE, False)])
CATALOGS = pa.schema([pa.field("catalog_name", pa.string(), False)])
SCHEMAS = pa.schema([("catalog_name", pa.string()), pa.field("db_schema_name", pa.string(), False)])
TABLES = pa.schema(
    [
        ("catalog_name", pa.string()),
        ("db_schema_name", pa.string()),
        pa.field("table_name", pa.string(), False),
        pa.field("table_type", pa.string(), False),
    ]
)
WITH_SCHEMA = TABLES.append(pa.field("table_schema", pa.binary(), False))
TYPES = pa.schema([pa.field("table_type", pa.string(), False)])


def schema(asked: Message) -> pa.Schema | None:
    """The columns of the answer to a command about the router; None where it is not spoken here."""
    match asked:
        case sql.CommandGetSqlInfo():
            return INFO
        case sql.CommandGetCatalogs():
            return CATALOGS
        case sql.CommandGetDbSchemas():
            return SCHEMAS
        case sql.CommandGetTables():
            return WITH_SCHEMA if asked.include_schema else TABLES
        case sql.CommandGetTableTypes():
            return TYPES
    return None


def table(asked: Message, groups: Mapping[str, object]) -> Iterator[flight.FlightData]:
    """The answer to a command about the router, as messages."""
    columns = schema(asked)
    if columns is None:
        raise NotImplementedError(f"{asked.DESCRIPTOR.name} is not spoken here")
    match asked:
        case sql.CommandGetSqlInfo():
            batch = infos(asked.info)
        case sql.CommandGetCatalogs():
            batch = made(columns, [(CATALOG,)])
        case sql.CommandGetDbSchemas():
            wanted = asked.db_schema_filter_pattern if asked.HasField("db_schema_filter_pattern") else "%"
            fits = like("", wanted)
            here = not asked.HasField("catalog") or asked.catalog == CATALOG
            batch = made(columns, [(CATALOG, "")] if fits and here else [])
        case sql.CommandGetTables():
            batch = made(columns, list(tables(asked, groups)))
        case _:
            batch = made(columns, [(TYPE,)])
    return arrow.batches(columns, [batch])


def made(columns: pa.Schema, rows: Sequence[tuple]) -> pa.RecordBatch:
    values = list(zip(*rows, strict=True)) if rows else [[] for _ in columns]
    arrays = [pa.array(list(v), field.type) for v, field in zip(values, columns, strict=True)]
    return pa.record_batch(arrays, schema=columns)


def infos(wanted: Sequence[int]) -> pa.RecordBatch:
    known = {n: INFOS[n] for n in (wanted or INFOS) if n in INFOS}
    kinds, offsets, strings, flags, numbers = [], [], [], [], []
    for value in known.values():
        column = flags if isinstance(value, bool) else strings if isinstance(value, str) else numbers
        kinds.append(0 if column is strings else 1 if column is flags else 2)
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
    names = [INFO_VALUE.field(n).name for n in range(INFO_VALUE.num_fields)]
    places = pa.array(kinds, pa.int8()), pa.array(offsets, pa.int32())
    union = pa.UnionArray.from_dense(*places, children, names)
    return pa.record_batch([pa.array(list(known), pa.uint32()), union], schema=INFO)


def tables(asked: sql.CommandGetTables, groups: Mapping[str, object]) -> Iterator[tuple]:
    if asked.HasField("catalog") and asked.catalog != CATALOG:
        return
    if asked.table_types and TYPE not in asked.table_types:
        return
    if asked.HasField("db_schema_filter_pattern") and not like("", asked.db_schema_filter_pattern):
        return
    pattern = asked.table_name_filter_pattern if asked.HasField("table_name_filter_pattern") else "%"
    for name in sorted(groups):
        if like(name, pattern):
            row = (CATALOG, "", name, TYPE)
            yield (*row, arrow.schema_bytes(arrow.PLAIN)) if asked.include_schema else row


def like(text: str, pattern: str) -> bool:
    """SQL's LIKE."""
    shell = pattern.replace("[", "[[]").replace("*", "[*]").replace("?", "[?]")
    return fnmatchcase(text, shell.replace("%", "*").replace("_", "?"))


# ---- prepared statements --------------------------------------------------------------------------


def marks(text: str) -> int:
    """How many parameters a statement has: question marks outside of strings, names and comments."""
    return sum(token == b"?" for token in tokens(text.encode()))


def parameters(count: int) -> pa.Schema:
    return pa.schema([(f"parameter_{n + 1}", pa.string()) for n in range(count)])


def bound(text: str, values: Sequence[object]) -> str:
    """A statement with its parameters in it, as literals; raises Misread where their number is wrong."""
    left, out = list(values), []
    for token in tokens(text.encode()):
        if token == b"?":
            if not left:
                raise Misread(f"parameters: {marks(text)} are wanted, {len(values)} are bound")
            out.append(literal(left.pop(0)).encode())
        else:
            out.append(token)
    if left:
        raise Misread(f"parameters: {marks(text)} are wanted, {len(values)} are bound")
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
