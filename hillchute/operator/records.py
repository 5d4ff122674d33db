"""Typed records in a subset of CUE: parses text to constraints, and validates values against constraints.

The subset has definitions, types, bounds, defaults, disjunctions, lists and comments. An error names the
file, the line, the path of the field, and what was expected. This module does not depend on any setting.
"""

import math
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from importlib.resources import files
from typing import Union

import orjson
from lark import Lark, Token, Tree, UnexpectedInput

from hillchute.errors import OperatorFileError

MAX_NUMBER_CHARACTERS = 64  # more than any bound in the schema has
MAX_DEPTH = 32  # of nesting; ends the validation of a file that refers to itself


@dataclass(frozen=True)
class Value:
    """A constraint that only one value satisfies."""

    value: object
    line: int = 0


@dataclass(frozen=True)
class Type:
    """A basic type: `string`, `int`, `number` or `bool`."""

    name: str
    line: int = 0


@dataclass(frozen=True)
class Bound:
    """A comparison of the value with another one, or with a regular expression (`=~`)."""

    comparison: str
    value: object
    line: int = 0


@dataclass(frozen=True)
class Conjunction:
    """All of these constraints at once."""

    parts: tuple["Constraint", ...]
    line: int = 0


@dataclass(frozen=True)
class Disjunction:
    """One of these constraints; `default` applies where no value is given."""

    parts: tuple["Constraint", ...]
    default: Union["Constraint", None] = None
    line: int = 0


@dataclass(frozen=True)
class Reference:
    """A definition, by its name with the leading `#`."""

    name: str
    line: int = 0


@dataclass(frozen=True)
class Field:
    """A field of a record; `doc` is the comment above it."""

    name: str
    constraint: "Constraint"
    optional: bool
    line: int
    doc: str = ""


@dataclass(frozen=True)
class Struct:
    """A record with the given fields."""

    fields: tuple[Field, ...]
    line: int = 0


@dataclass(frozen=True)
class ListOf:
    """A list of any length whose items all satisfy one constraint."""

    item: "Constraint"
    line: int = 0


@dataclass(frozen=True)
class ListLiteral:
    """A list with the given items."""

    items: tuple["Constraint", ...]
    line: int = 0


Constraint = Value | Type | Bound | Conjunction | Disjunction | Reference | Struct | ListOf | ListLiteral


@dataclass
class Document:
    """A parsed file: its definitions, and its fields as one record."""

    name: str
    definitions: dict[str, Constraint] = field(default_factory=dict)
    record: Struct = field(default_factory=lambda: Struct(()))


@cache
def parser() -> Lark:
    text = files(__package__).joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text: str, name: str) -> Document:
    """Return the document in a text. Raises OperatorFileError with the line of a syntax error."""
    try:
        tree = parser().parse(text)
    except UnexpectedInput as error:
        rest = text[error.pos_in_stream :].split("\n")[0][:30] if error.pos_in_stream is not None else ""
        raise OperatorFileError(f"{name}:{error.line}: syntax error at {rest!r}") from error
    try:
        return build_document(tree, doc_comments(text), name)
    except OperatorFileError as error:
        raise OperatorFileError(f"{name}:{error}") from error


def build_document(tree: Tree, comments: dict[int, str], name: str) -> Document:
    """Return the document of a syntax tree; `comments` are the doc comments by line."""
    document = Document(name)
    fields = []
    for node in tree.children:
        if node.data == "definition":
            document.definitions[str(node.children[0])] = build(node.children[1], comments)
        else:
            fields.append(build_field(node, comments))
    document.record = Struct(tuple(fields), 1)
    duplicate = find_duplicate_field(document.record)
    if duplicate is not None:
        raise OperatorFileError(f"{duplicate.line}: {duplicate.name}: duplicate field")
    return document


def doc_comments(text: str) -> dict[int, str]:
    """Return the text of the comment lines directly above a line, by the number of that line."""
    comments: dict[int, str] = {}
    above: list[str] = []
    for number, line in enumerate(text.split("\n"), 1):
        line = line.strip()
        if line.startswith("//"):
            above.append(line[2:].strip())
            continue
        if above and line:
            comments[number] = " ".join(above)
        above = []
    return comments


def find_duplicate_field(struct: Struct) -> Field | None:
    """Return the first field with the name of an earlier one in the same record, or None."""
    names = set()
    for entry in struct.fields:
        if entry.name in names:
            return entry
        names.add(entry.name)
        nested = find_duplicate_field(entry.constraint) if isinstance(entry.constraint, Struct) else None
        if nested is not None:
            return nested
    return None


def build_field(node: Tree, comments: dict[int, str]) -> Field:
    name, *rest = node.children
    optional = isinstance(rest[0], Token) and rest[0].type == "OPTIONAL"
    text = unquote(name) if node.data == "quoted_field" else str(name)
    return Field(text, build(rest[-1], comments), optional, name.line, comments.get(name.line, ""))


def unquote(token: Token) -> str:
    """Return the text of a quoted string, whose escapes are those of JSON."""
    try:
        return orjson.loads(str(token))
    except orjson.JSONDecodeError as error:
        raise OperatorFileError(f"{token.line}: syntax error at {str(token)[:30]!r}") from error


def to_number(token: Token) -> int | float:
    """Return a number, which must be finite and of at most MAX_NUMBER_CHARACTERS."""
    text = str(token).replace("_", "")
    if len(text) <= MAX_NUMBER_CHARACTERS:
        number = float(text) if re.search(r"[.eE]", text) else int(text)
        if math.isfinite(number):
            return number
    raise OperatorFileError(f"{token.line}: number too large: {text[:30]!r}")


def build(node: Tree, comments: dict[int, str]) -> Constraint:
    """Return the constraint of a syntax tree. The cases are rule names and aliases in grammar.lark."""
    line = getattr(node.meta, "line", 0)
    parts = node.children
    match node.data:
        case "string":
            return Value(unquote(parts[0]), line)
        case "number":
            return Value(to_number(parts[0]), line)
        case "true" | "false" | "null":
            return Value({"true": True, "false": False, "null": None}[node.data], line)
        case "type":
            return Type(str(parts[0]), line)
        case "reference":
            return Reference(str(parts[0]), line)
        case "bound":
            return Bound(str(parts[0]), build(parts[1], comments).value, line)
        case "conjunction":
            return Conjunction(tuple(build(part, comments) for part in parts), line)
        case "default":
            default = build(parts[0], comments)
            return Disjunction((default,), default, line)
        case "disjunction":
            built = [build(part, comments) for part in parts]
            defaults = [b.default for b in built if isinstance(b, Disjunction) and b.default is not None]
            flat = tuple(p for b in built for p in (b.parts if isinstance(b, Disjunction) else (b,)))
            return Disjunction(flat, defaults[0] if defaults else None, line)
        case "struct":
            entries = parts[0].children if parts else ()
            return Struct(tuple(build_field(entry, comments) for entry in entries), line)
        case "list_of":
            return ListOf(build(parts[0], comments), line)
        case "list":
            return ListLiteral(tuple(build(part, comments) for part in parts), line)
    raise AssertionError(node.data)


# ---- validation -----------------------------------------------------------------------------------

TYPE_CHECKS = {
    "string": lambda v: isinstance(v, str),
    "int": lambda v: isinstance(v, int) and not isinstance(v, bool),
    "number": lambda v: isinstance(v, int | float) and not isinstance(v, bool),
    "bool": lambda v: isinstance(v, bool),
}
COMPARISONS = {
    ">=": lambda a, b: a >= b,
    "<=": lambda a, b: a <= b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
    "!=": lambda a, b: a != b,
    "=~": lambda a, b: re.search(b, a) is not None,
}


def format_constraint(constraint: Constraint) -> str:
    """Return a constraint in the notation of the operator file."""
    match constraint:
        case Value(value):
            return format_value(value)
        case Type(name) | Reference(name):
            return name
        case Bound(comparison, value):
            return f"{comparison}{format_value(value)}"
        case Conjunction(parts):
            return " & ".join(map(format_constraint, parts))
        case Disjunction(parts):
            return " | ".join(map(format_constraint, parts))
        case Struct():
            return "a record"
        case ListOf(item):
            return f"[...{format_constraint(item)}]"
        case ListLiteral(items):
            return f"[{', '.join(map(format_constraint, items))}]"
    raise AssertionError(constraint)


def format_value(value: object) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "true", False: "false", None: "null"}[value]
    return orjson.dumps(value).decode() if isinstance(value, str) else str(value)


class Validator:
    """Validates a document's record against a schema; collects all errors rather than stop at the first."""

    def __init__(self, schema: Document, document: Document) -> None:
        self.schema, self.document = schema, document
        self.errors: list[str] = []

    def add_error(self, line: int, path: str, detail: str) -> None:
        self.errors.append(f"{self.document.name}:{line}: {path or 'the file'}: {detail}")

    def validate(self) -> dict[str, object]:
        """Return the settings with defaults filled in. Raises OperatorFileError with all errors."""
        value = self.validate_value(self.schema.record, self.document.record, "", 0)
        if self.errors:
            raise OperatorFileError("\n".join(self.errors))
        return value

    def validate_value(self, expected: Constraint, given: Constraint, path: str, depth: int) -> object:
        """Return the given value if it satisfies the expected constraint; None after an error."""
        if depth > MAX_DEPTH:
            self.add_error(given.line, path, f"nested more than {MAX_DEPTH} levels deep, or refers to itself")
            return None
        given = self.resolve(given, path)
        if given is None:
            return None
        match expected:
            case Reference(name):
                return self.validate_value(self.schema.definitions[name], given, path, depth + 1)
            case Struct():
                return self.validate_struct(expected, given, path, depth)
            case ListOf(item):
                if not isinstance(given, ListLiteral):
                    self.add_error(
                        given.line,
                        path,
                        f"expected {format_constraint(expected)}, got {format_constraint(given)}",
                    )
                    return None
                item_path = f"{path}[{{}}]"
                return [
                    self.validate_value(item, given_item, item_path.format(index), depth + 1)
                    for index, given_item in enumerate(given.items)
                ]
            case Disjunction(parts):
                return self.validate_disjunction(parts, expected, given, path, depth)
        if not isinstance(given, Value) or not self.satisfies(expected, given.value):
            self.add_error(
                given.line, path, f"expected {format_constraint(expected)}, got {format_constraint(given)}"
            )
            return None
        value = given.value
        return float(value) if expected == Type("number") and isinstance(value, int) else value

    def resolve(self, given: Constraint, path: str) -> Constraint | None:
        """Follow references to the file's definitions. Returns a concrete value, or None after an error."""
        seen: set[str] = set()
        while isinstance(given, Reference):
            if given.name in seen or given.name not in self.document.definitions:
                self.add_error(given.line, path, f"{given.name} is not defined here, or refers to itself")
                return None
            seen.add(given.name)
            given = self.document.definitions[given.name]
        if isinstance(given, Disjunction) and given.default is not None:
            return self.resolve(given.default, path)
        if not isinstance(given, Value | Struct | ListLiteral):
            self.add_error(given.line, path, f"expected a value, got {format_constraint(given)}")
            return None
        return given

    def validate_disjunction(
        self, parts: tuple, expected: Disjunction, given: Constraint, path: str, depth: int
    ) -> object:
        for part in parts:
            trial = Validator(self.schema, self.document)
            value = trial.validate_value(part, given, path, depth + 1)
            if not trial.errors:
                return value
        if len(parts) == 1:
            return self.validate_value(parts[0], given, path, depth + 1)
        self.add_error(
            given.line, path, f"expected {format_constraint(expected)}, got {format_constraint(given)}"
        )
        return None

    def validate_struct(self, expected: Struct, given: Constraint, path: str, depth: int) -> object:
        if not isinstance(given, Struct):
            self.add_error(given.line, path, f"expected a record, got {format_constraint(given)}")
            return None
        schema_fields = {entry.name: entry for entry in expected.fields}
        given_fields = {entry.name: entry for entry in given.fields}
        for name, entry in given_fields.items():
            if name not in schema_fields:
                similar = [n for n in schema_fields if n.startswith(name[:3])]
                hint = f"; did you mean {similar[0]}?" if similar else ""
                self.add_error(entry.line, join_path(path, name), f"no such field{hint}")
        values = {}
        for name, entry in schema_fields.items():
            field_path = join_path(path, name)
            if name in given_fields:
                values[name] = self.validate_value(
                    entry.constraint, given_fields[name].constraint, field_path, depth + 1
                )
            elif not entry.optional:
                default = self.default_value(entry.constraint, field_path, depth + 1)
                if default is MISSING:
                    self.add_error(
                        given.line, field_path, f"missing; expected {format_constraint(entry.constraint)}"
                    )
                else:
                    values[name] = default
        return values

    def default_value(self, expected: Constraint, path: str, depth: int) -> object:
        """Return the value that applies where none is given, or MISSING if there is no default."""
        match expected:
            case Disjunction(_, default) if default is not None:
                return self.default_value(default, path, depth + 1)
            case Value(value):
                return value
            case ListLiteral(items):
                return [self.default_value(item, path, depth + 1) for item in items]
            case ListOf():
                return []
            case Reference(name):
                return self.default_value(self.schema.definitions[name], path, depth + 1)
            case Struct(fields):
                values = {}
                for entry in fields:
                    if entry.optional:
                        continue
                    value = self.default_value(entry.constraint, join_path(path, entry.name), depth + 1)
                    if value is MISSING:
                        return MISSING
                    values[entry.name] = value
                return values
        return MISSING

    def satisfies(self, expected: Constraint, value: object) -> bool:
        """Return whether a value satisfies a constraint that is not a struct or list."""
        match expected:
            case Value(other):
                return type(value) is type(other) and value == other
            case Type(name):
                return TYPE_CHECKS[name](value)
            case Bound(comparison, other):
                try:
                    return COMPARISONS[comparison](value, other)
                except TypeError:
                    return False
            case Conjunction(parts):
                return all(self.satisfies(part, value) for part in parts)
            case Disjunction(parts):
                return any(self.satisfies(part, value) for part in parts)
            case Reference(name):
                return self.satisfies(self.schema.definitions[name], value)
        return False


MISSING = object()


def join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def describe_fields(schema: Document) -> Iterator[tuple[str, str, str]]:
    """Yield the path of every field of a schema, its constraint and default as text, and its doc comment."""

    def walk(struct: Struct, path: str) -> Iterator[tuple[str, str, str]]:
        for entry in struct.fields:
            field_path = join_path(path, entry.name) + ("?" if entry.optional else "")
            inner = entry.constraint
            while isinstance(inner, Reference):
                inner = schema.definitions[inner.name]
            if isinstance(inner, Struct):
                yield field_path, "a record", entry.doc
                yield from walk(inner, field_path)
            else:
                default = inner.default if isinstance(inner, Disjunction) else None
                suffix = f", default {format_constraint(default)}" if default else ""
                yield field_path, format_constraint(inner) + suffix, entry.doc

    yield from walk(schema.record, "")
