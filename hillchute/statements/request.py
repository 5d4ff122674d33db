"""Reads a statement: the fields in its leading comment, and the group of tables that it names.

Owns the form of the fields and the scan for table names. Must never change the statement's own text, nor
decide anything about a query; what can't be read is a Misread that names the field.
"""

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

FIELD = re.compile(rb"(^|,)\s*(route|trace|patience)\s*=")
WANTED = re.compile(rb"\s*/\*(.*?)\*/", re.DOTALL)
HEX16 = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)
HEX = re.compile(r"[0-9a-f]{1,64}", re.IGNORECASE)  # the protocol's own are 16 or 32 digits
FIGURE = re.compile(r"-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,3})?")


class Misread(Exception):
    """The statement is not one that a client of this platform sends."""


class Request(NamedTuple):
    """One query as a client asks for it; times in tenths of a millisecond, memory in MB."""

    id: str
    group: str
    patience: int
    statement: bytes
    token: str | None = None
    cost: int | None = None
    memory: float = 0.0
    key: str | None = None
    customer: str = ""  # as the front knows it; "" where it tells nobody apart

    @property
    def tables(self) -> int | None:
        """The table group. Read each time: a query that is turned away never needs it."""
        return table_group(self.statement)


def number(name: str, text: str, least: float, most: float) -> float:
    if not FIGURE.fullmatch(text):
        raise Misread(f"field {name} is not a number: {text[:40]}")
    value = float(text)
    if not least <= value <= most:
        raise Misread(f"field {name} is out of range: {text[:40]}")
    return value


def digits(name: str, text: str | None) -> str | None:
    if text is not None and not HEX.fullmatch(text):
        raise Misread(f"field {name} is not hex digits: {text[:40]}")
    return text


def read(
    text: bytes, beside: Mapping[str, str] | None = None, missing: Mapping[str, str] | None = None
) -> Request:
    """The request that a statement and its fields make: those in the comment ahead of it, those that came
    `beside` it where the protocol has a place for them (then the comment may be absent), and what a front
    gives where both are silent. A field that both state must be the same."""
    head = WANTED.match(text)
    if head is not None and beside is not None and not FIELD.search(head[1]):
        head = None  # an ordinary comment
    fields = dict(beside or {})
    if head is None:
        if beside is None:
            raise Misread("no comment with fields ahead of the statement")
        own, statement = {}, text.lstrip()
    else:
        own, statement = comment(head[1]), text[head.end() :].lstrip()
    for name, value in own.items():
        if fields.setdefault(name, value) != value:
            raise Misread(f"field {name[:40]} stands twice")
    fields = {**(missing or {}), **fields}
    for name in ("route", "trace", "patience"):
        if name not in fields:
            raise Misread(f"field {name} is absent")
    if not HEX16.fullmatch(fields["trace"]):
        raise Misread("field trace is not 16 hex digits")
    if not statement:
        raise Misread("no statement after the comment")
    return Request(
        id=fields["trace"],
        group=fields["route"],
        patience=int(number("patience", fields["patience"], 1, 86_400_000) * 10),
        statement=statement,
        token=digits("nonce", fields.get("nonce")),
        cost=round(number("weight", fields["weight"], 0, 1e9) * 10) if "weight" in fields else None,
        memory=number("mb", fields["mb"], 0, 1e9) if "mb" in fields else 0.0,
        key=digits("entity", fields.get("entity")),
    )


def comment(text: bytes) -> dict[str, str]:
    """The fields of a leading comment."""
    fields: dict[str, str] = {}
    try:
        pairs = text.decode("ascii").strip().split(",")
    except UnicodeDecodeError:
        raise Misread("the comment with the fields is not ASCII") from None
    for pair in pairs:
        name, sign, value = pair.partition("=")
        name, value = name.strip(), value.strip()
        if not sign or not value:
            raise Misread(f"field {name[:40]} has no value")
        if name in fields:
            raise Misread(f"field {name[:40]} stands twice")
        fields[name] = value
    return fields


# Strings with doubled or escaped quotes, all comment forms, quoted names, words and dots, in that order.
TOKEN = re.compile(
    rb"""'(?:[^'\\]|\\.|'')*'?|"(?:[^"\\]|\\.|"")*"?|/\*.*?(?:\*/|\Z)|--(?=[\s\x00-\x1f]|\Z)[^\n]*|\#[^\n]*"""
    rb"""|`(?P<quoted>(?:[^`]|``)*)`|(?P<word>[A-Za-z0-9_$\x80-\xff]+)|(?P<dot>\.)|\s+|[^\s'"/\-#`A-Za-z0-9_$\x80-\xff.]+|.""",
    re.DOTALL,
)
SCHEMA = re.compile(rb".*_([0-9]{1,9})", re.DOTALL)
BEFORE_TABLES = {b"from", b"join", b"into", b"update", b"table", b"overwrite", b"only", b"ignore"}


def table_group(statement: bytes) -> int | None:
    """The number behind the underscore in the schema that the statement reads or writes.

    A name behind FROM, JOIN, INTO and the like goes before any other, since a column may be qualified by
    an alias that looks like a schema. Schemas without such a number, `staging` among them, don't count.
    """
    first: int | None = None
    name: bytes | None = None  # the last name, while nothing but blanks or comments came after it
    names_table = qualified = after_dot = False
    last: bytes = b""  # the last token that is neither blank nor comment
    for token in TOKEN.finditer(statement):
        text = token["quoted"] if token["quoted"] is not None else token["word"]
        if text is not None:
            names_table = last.lower() in BEFORE_TABLES
            name, qualified, after_dot = text, after_dot, False
            last = b"" if token["quoted"] is not None else text
        elif token["dot"]:
            found = SCHEMA.fullmatch(name) if name and not qualified else None
            if found:
                if names_table:
                    return int(found[1])
                first = int(found[1]) if first is None else first
            after_dot, name, last = True, None, b"."
        elif not token[0].isspace() and not token[0].startswith((b"/*", b"--", b"#")):
            name, after_dot, last = None, False, token[0]
    return first


def tokens(statement: bytes) -> Iterator[bytes]:
    """The statement in pieces that give it again when joined; a question mark that is none of a string, a
    name or a comment is a piece of its own."""
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
