"""Parses a client statement: the fields in its leading comment, and the table group that it refers to.

Raises InvalidStatementError with the name of the offending field where a statement cannot be parsed. Never
modifies the SQL text after the comment.
"""

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

REQUIRED_FIELD = re.compile(rb"(^|,)\s*(route|trace|patience)\s*=")
LEADING_COMMENT = re.compile(rb"\s*/\*(.*?)\*/", re.DOTALL)
HEX_16_DIGITS = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)
HEX_DIGITS = re.compile(r"[0-9a-f]{1,64}", re.IGNORECASE)  # the platform sends 16 or 32 digits
NUMBER = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,3})?")


class InvalidStatementError(Exception):
    """The statement does not follow the platform's protocol; the text is sent to the client."""


class Request(NamedTuple):
    """One query as requested by a client.

    `client_timeout` and `cost` are in tenths of a millisecond, `memory_mb` is in MB.
    """

    id: str
    group: str
    client_timeout: int
    statement: bytes
    idempotency_key: str | None = None
    cost: int | None = None
    memory_mb: float = 0.0
    ordering_key: str | None = None
    customer: str = ""  # as authenticated by the frontend; "" where it does not distinguish customers

    @property
    def table_group(self) -> int | None:
        """The table group. Parsed on each access, since a rejected query never needs it."""
        return table_group(self.statement)


def parse_number(name: str, text: str, minimum: float, maximum: float) -> float:
    """The value of a numeric field; raises InvalidStatementError unless it is in range."""
    if not NUMBER.fullmatch(text):
        raise InvalidStatementError(f"field {name} is not a number: {text[:40]}")
    value = float(text)
    if not minimum <= value <= maximum:
        raise InvalidStatementError(f"field {name} is out of range: {text[:40]}")
    return value


def parse_hex(name: str, text: str | None) -> str | None:
    """The value of an optional field of hex digits, unchanged.

    Raises InvalidStatementError if it has other characters.
    """
    if text is not None and not HEX_DIGITS.fullmatch(text):
        raise InvalidStatementError(f"field {name} is not hex digits: {text[:40]}")
    return text


def parse_statement(
    text: bytes, headers: Mapping[str, str] | None = None, defaults: Mapping[str, str] | None = None
) -> Request:
    """Parses a statement and its fields; raises InvalidStatementError where a field is absent or invalid.

    Fields come from the leading comment and from `headers`; a field that is in both must have the same
    value. `defaults` apply to fields that are in neither. `headers` is None for a protocol without headers,
    where the comment is required.
    """
    comment = LEADING_COMMENT.match(text)
    if comment is not None and headers is not None and not REQUIRED_FIELD.search(comment[1]):
        comment = None  # a comment without fields, part of the statement
    fields = dict(headers or {})
    if comment is None:
        if headers is None:
            raise InvalidStatementError("no comment with fields ahead of the statement")
        comment_fields, statement = {}, text.lstrip()
    else:
        comment_fields, statement = parse_comment(comment[1]), text[comment.end() :].lstrip()
    for name, value in comment_fields.items():
        if fields.setdefault(name, value) != value:
            raise InvalidStatementError(f"field {name[:40]} stands twice")
    fields = {**(defaults or {}), **fields}
    for name in ("route", "trace", "patience"):
        if name not in fields:
            raise InvalidStatementError(f"field {name} is absent")
    if not HEX_16_DIGITS.fullmatch(fields["trace"]):
        raise InvalidStatementError("field trace is not 16 hex digits")
    if not statement:
        raise InvalidStatementError("no statement after the comment")
    return Request(
        id=fields["trace"],
        group=fields["route"],
        client_timeout=int(parse_number("patience", fields["patience"], 1, 86_400_000) * 10),
        statement=statement,
        idempotency_key=parse_hex("nonce", fields.get("nonce")),
        cost=round(parse_number("weight", fields["weight"], 0, 1e9) * 10) if "weight" in fields else None,
        memory_mb=parse_number("mb", fields["mb"], 0, 1e9) if "mb" in fields else 0.0,
        ordering_key=parse_hex("entity", fields.get("entity")),
    )


def parse_comment(text: bytes) -> dict[str, str]:
    """The fields of a leading comment, by name.

    Raises InvalidStatementError for a field without a value or given twice.
    """
    fields: dict[str, str] = {}
    try:
        pairs = text.decode("ascii").strip().split(",")
    except UnicodeDecodeError:
        raise InvalidStatementError("the comment with the fields is not ASCII") from None
    for pair in pairs:
        name, separator, value = pair.partition("=")
        name, value = name.strip(), value.strip()
        if not separator or not value:
            raise InvalidStatementError(f"field {name[:40]} has no value")
        if name in fields:
            raise InvalidStatementError(f"field {name[:40]} stands twice")
        fields[name] = value
    return fields


# One SQL token: a string (quotes doubled or escaped), a comment of any form, a quoted name, a word, a dot,
# white space, or other characters; tried in this order.
TOKEN = re.compile(
    rb"""'(?:[^'\\]|\\.|'')*'?|"(?:[^"\\]|\\.|"")*"?|/\*.*?(?:\*/|\Z)|--(?=[\s\x00-\x1f]|\Z)[^\n]*|\#[^\n]*"""
    rb"""|`(?P<quoted>(?:[^`]|``)*)`|(?P<word>[A-Za-z0-9_$\x80-\xff]+)|(?P<dot>\.)|\s+|[^\s'"/\-#`A-Za-z0-9_$\x80-\xff.]+|.""",
    re.DOTALL,
)
NUMBERED_SCHEMA = re.compile(rb".*_([0-9]{1,9})", re.DOTALL)
TABLE_KEYWORDS = {b"from", b"join", b"into", b"update", b"table", b"overwrite", b"only", b"ignore"}


def table_group(statement: bytes) -> int | None:
    """The number after the underscore in the name of the schema that the statement reads or writes.

    A schema that follows FROM, JOIN, INTO or a similar keyword takes precedence over other qualified names,
    since a column may be qualified with an alias that looks like a schema. Schemas without such a number, for
    example `staging`, are ignored. None if no schema has a number.
    """
    first_group: int | None = None
    name: bytes | None = None  # the last name, if only white space or comments follow it so far
    after_table_keyword = qualified = after_dot = False
    last_token: bytes = b""  # the last token that is neither white space nor a comment; b"" for a quoted name
    for token in TOKEN.finditer(statement):
        text = token["quoted"] if token["quoted"] is not None else token["word"]
        if text is not None:
            after_table_keyword = last_token.lower() in TABLE_KEYWORDS
            name, qualified, after_dot = text, after_dot, False
            last_token = b"" if token["quoted"] is not None else text
        elif token["dot"]:
            schema = NUMBERED_SCHEMA.fullmatch(name) if name and not qualified else None
            if schema:
                if after_table_keyword:
                    return int(schema[1])
                first_group = int(schema[1]) if first_group is None else first_group
            after_dot, name, last_token = True, None, b"."
        elif not token[0].isspace() and not token[0].startswith((b"/*", b"--", b"#")):
            name, after_dot, last_token = None, False, token[0]
    return first_group


def split_parameter_markers(statement: bytes) -> Iterator[bytes]:
    """The statement in pieces whose concatenation is the statement.

    A question mark outside of strings, names and comments (a parameter marker) is a piece of its own.
    """
    for token in TOKEN.finditer(statement):
        text = token[0]
        if (
            token["quoted"] is not None
            or token["word"] is not None
            or text[:1] in b"'\"#"
            or text[:2] in (b"/*", b"--")
        ):
            yield text
            continue
        parts = text.split(b"?")
        for n, part in enumerate(parts):
            if n:
                yield b"?"
            if part:
                yield part
