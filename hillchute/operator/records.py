"""CUE-like typed records: text to constraints, and values held against constraints.

Owns the documented subset of CUE (definitions, types, bounds, defaults, disjunctions, lists, comments) and
the words in which a fault is told: file, line, path, what was expected. Must never know a setting by name.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from importlib.resources import files
from typing import Union

import orjson
from lark import Lark, Token, Tree, UnexpectedInput

from hillchute.errors import OperatorFileError

DEEPEST = 32  # records in records: a file that refers to itself ends here


@dataclass(frozen=True)
class Value:
    """A constraint that only one value meets."""

    value: object
    line: int = 0


@dataclass(frozen=True)
class Type:
    name: str
    line: int = 0


@dataclass(frozen=True)
class Bound:
    sign: str
    value: object
    line: int = 0


@dataclass(frozen=True)
class Meet:
    """All of these at once."""

    parts: tuple["Constraint", ...]
    line: int = 0


@dataclass(frozen=True)
class Choice:
    """One of these; `default` is taken where nothing is said."""

    parts: tuple["Constraint", ...]
    default: Union["Constraint", None] = None
    line: int = 0


@dataclass(frozen=True)
class Reference:
    name: str
    line: int = 0


@dataclass(frozen=True)
class Field:
    name: str
    constraint: "Constraint"
    optional: bool
    line: int
    doc: str = ""


@dataclass(frozen=True)
class Struct:
    fields: tuple[Field, ...]
    line: int = 0


@dataclass(frozen=True)
class ListOf:
    item: "Constraint"
    line: int = 0


@dataclass(frozen=True)
class Items:
    items: tuple["Constraint", ...]
    line: int = 0


Constraint = Value | Type | Bound | Meet | Choice | Reference | Struct | ListOf | Items


@dataclass
class Document:
    """A file as read: its definitions, and its fields as one record."""

    name: str
    definitions: dict[str, Constraint] = field(default_factory=dict)
    record: Struct = field(default_factory=lambda: Struct(()))


@cache
def grammar() -> Lark:
    text = files(__package__).joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text: str, name: str) -> Document:
    """A document out of its text; raises OperatorFileError with the line and what could have stood there."""
    try:
        tree = grammar().parse(text)
    except UnexpectedInput as fault:
        seen = text[fault.pos_in_stream :].split("\n")[0][:30] if fault.pos_in_stream is not None else ""
        raise OperatorFileError(f"{name}:{fault.line}: can't be read at {seen!r}") from fault
    try:
        return document(tree, docs(text), name)
    except OperatorFileError as fault:
        raise OperatorFileError(f"{name}:{fault}") from fault


def document(tree: Tree, comments: dict[int, str], name: str) -> Document:
    document = Document(name)
    fields = []
    for node in tree.children:
        if node.data == "definition":
            document.definitions[str(node.children[0])] = build(node.children[1], comments)
        else:
            fields.append(build_field(node, comments))
    document.record = Struct(tuple(fields), 1)
    twice = repeated(document.record)
    if twice is not None:
        raise OperatorFileError(f"{twice.line}: {twice.name}: stands twice")
    return document


def docs(text: str) -> dict[int, str]:
    """The comment lines right above a line, by that line's number."""
    found: dict[int, str] = {}
    above: list[str] = []
    for number, line in enumerate(text.split("\n"), 1):
        line = line.strip()
        if line.startswith("//"):
            above.append(line[2:].strip())
            continue
        if above and line:
            found[number] = " ".join(above)
        above = []
    return found


def repeated(struct: Struct) -> Field | None:
    names = set()
    for entry in struct.fields:
        if entry.name in names:
            return entry
        names.add(entry.name)
        deeper = repeated(entry.constraint) if isinstance(entry.constraint, Struct) else None
        if deeper is not None:
            return deeper
    return None


def build_field(node: Tree, comments: dict[int, str]) -> Field:
    name, *rest = node.children
    optional = isinstance(rest[0], Token) and rest[0].type == "OPTIONAL"
    text = unquote(name) if node.data == "quoted_field" else str(name)
    return Field(text, build(rest[-1], comments), optional, name.line, comments.get(name.line, ""))


def unquote(token: Token) -> str:
    try:
        return orjson.loads(str(token))
    except orjson.JSONDecodeError as fault:
        raise OperatorFileError(f"{token.line}: can't be read at {str(token)[:30]!r}") from fault


def build(node: Tree, comments: dict[int, str]) -> Constraint:
    line = getattr(node.meta, "line", 0)
    parts = node.children
    match node.data:
        case "string":
            return Value(unquote(parts[0]), line)
        case "number":
            text = str(parts[0]).replace("_", "")
            return Value(float(text) if re.search(r"[.eE]", text) else int(text), line)
        case "true" | "false" | "null":
            return Value({"true": True, "false": False, "null": None}[node.data], line)
        case "type":
            return Type(str(parts[0]), line)
        case "reference":
            return Reference(str(parts[0]), line)
        case "bound":
            return Bound(str(parts[0]), build(parts[1], comments).value, line)
        case "meet":
            return Meet(tuple(build(part, comments) for part in parts), line)
        case "default":
            chosen = build(parts[0], comments)
            return Choice((chosen,), chosen, line)
        case "choice":
            built = [build(part, comments) for part in parts]
            marked = [b.default for b in built if isinstance(b, Choice) and b.default is not None]
            flat = tuple(p for b in built for p in (b.parts if isinstance(b, Choice) else (b,)))
            return Choice(flat, marked[0] if marked else None, line)
        case "struct":
            entries = parts[0].children if parts else ()
            return Struct(tuple(build_field(entry, comments) for entry in entries), line)
        case "list_of":
            return ListOf(build(parts[0], comments), line)
        case "list":
            return Items(tuple(build(part, comments) for part in parts), line)
    raise AssertionError(node.data)


# ---- a value against a constraint -----------------------------------------------------------------

KINDS = {
    "string": lambda v: isinstance(v, str),
    "int": lambda v: isinstance(v, int) and not isinstance(v, bool),
    "number": lambda v: isinstance(v, int | float) and not isinstance(v, bool),
    "bool": lambda v: isinstance(v, bool),
}
SIGNS = {
    ">=": lambda a, b: a >= b,
    "<=": lambda a, b: a <= b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
    "!=": lambda a, b: a != b,
    "=~": lambda a, b: re.search(b, a) is not None,
}


def told(constraint: Constraint) -> str:
    """A constraint in the words of the file."""
    match constraint:
        case Value(value):
            return shown(value)
        case Type(name) | Reference(name):
            return name
        case Bound(sign, value):
            return f"{sign}{shown(value)}"
        case Meet(parts):
            return " & ".join(map(told, parts))
        case Choice(parts):
            return " | ".join(map(told, parts))
        case Struct():
            return "a record"
        case ListOf(item):
            return f"[...{told(item)}]"
        case Items(items):
            return f"[{', '.join(map(told, items))}]"
    raise AssertionError(constraint)


def shown(value: object) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "true", False: "false", None: "null"}[value]
    return orjson.dumps(value).decode() if isinstance(value, str) else str(value)


class Holding:
    """Holds a document's record against a schema; collects all faults rather than stop at the first."""

    def __init__(self, schema: Document, document: Document) -> None:
        self.schema, self.document = schema, document
        self.faults: list[str] = []

    def fault(self, line: int, path: str, what: str) -> None:
        self.faults.append(f"{self.document.name}:{line}: {path or 'the file'}: {what}")

    def whole(self) -> dict[str, object]:
        """The settings that hold after defaults; raises OperatorFileError."""
        value = self.hold(self.schema.record, self.document.record, "", 0)
        if self.faults:
            raise OperatorFileError("\n".join(self.faults))
        return value

    def hold(self, wanted: Constraint, given: Constraint, path: str, depth: int) -> object:
        """The value that is given, if it is as wanted; None after a fault."""
        if depth > DEEPEST:
            self.fault(given.line, path, "refers to itself")
            return None
        given = self.resolve(given, path)
        if given is None:
            return None
        match wanted:
            case Reference(name):
                return self.hold(self.schema.definitions[name], given, path, depth + 1)
            case Struct():
                return self.hold_struct(wanted, given, path, depth)
            case ListOf(item):
                if not isinstance(given, Items):
                    self.fault(given.line, path, f"expected {told(wanted)}, got {told(given)}")
                    return None
                at = f"{path}[{{}}]"
                return [self.hold(item, g, at.format(n), depth + 1) for n, g in enumerate(given.items)]
            case Choice(parts):
                return self.hold_choice(parts, wanted, given, path, depth)
        if not isinstance(given, Value) or not self.meets(wanted, given.value):
            self.fault(given.line, path, f"expected {told(wanted)}, got {told(given)}")
            return None
        value = given.value
        return float(value) if wanted == Type("number") and isinstance(value, int) else value

    def resolve(self, given: Constraint, path: str) -> Constraint | None:
        """A file may name its own definitions, and must come down to values."""
        seen: set[str] = set()
        while isinstance(given, Reference):
            if given.name in seen or given.name not in self.document.definitions:
                self.fault(given.line, path, f"{given.name} is not defined here")
                return None
            seen.add(given.name)
            given = self.document.definitions[given.name]
        if isinstance(given, Choice) and given.default is not None:
            return self.resolve(given.default, path)
        if not isinstance(given, Value | Struct | Items):
            self.fault(given.line, path, f"expected a value, got {told(given)}")
            return None
        return given

    def hold_choice(self, parts: tuple, wanted: Choice, given: Constraint, path: str, depth: int) -> object:
        for part in parts:
            trial = Holding(self.schema, self.document)
            value = trial.hold(part, given, path, depth + 1)
            if not trial.faults:
                return value
        if len(parts) == 1:
            return self.hold(parts[0], given, path, depth + 1)
        self.fault(given.line, path, f"expected {told(wanted)}, got {told(given)}")
        return None

    def hold_struct(self, wanted: Struct, given: Constraint, path: str, depth: int) -> object:
        if not isinstance(given, Struct):
            self.fault(given.line, path, f"expected a record, got {told(given)}")
            return None
        known = {entry.name: entry for entry in wanted.fields}
        said = {entry.name: entry for entry in given.fields}
        for name, entry in said.items():
            if name not in known:
                near = [n for n in known if n.startswith(name[:3])]
                hint = f"; did you mean {near[0]}?" if near else ""
                self.fault(entry.line, join(path, name), f"no such field{hint}")
        found = {}
        for name, entry in known.items():
            here = join(path, name)
            if name in said:
                found[name] = self.hold(entry.constraint, said[name].constraint, here, depth + 1)
            elif not entry.optional:
                default = self.default(entry.constraint, here, depth + 1)
                if default is MISSING:
                    self.fault(given.line, here, f"missing; expected {told(entry.constraint)}")
                else:
                    found[name] = default
        return found

    def default(self, wanted: Constraint, path: str, depth: int) -> object:
        """What holds where nothing is said, or MISSING."""
        match wanted:
            case Choice(_, default) if default is not None:
                return self.default(default, path, depth + 1)
            case Value(value):
                return value
            case Items(items):
                return [self.default(item, path, depth + 1) for item in items]
            case ListOf():
                return []
            case Reference(name):
                return self.default(self.schema.definitions[name], path, depth + 1)
            case Struct(fields):
                found = {}
                for entry in fields:
                    if entry.optional:
                        continue
                    value = self.default(entry.constraint, join(path, entry.name), depth + 1)
                    if value is MISSING:
                        return MISSING
                    found[entry.name] = value
                return found
        return MISSING

    def meets(self, wanted: Constraint, value: object) -> bool:
        match wanted:
            case Value(other):
                return type(value) is type(other) and value == other
            case Type(name):
                return KINDS[name](value)
            case Bound(sign, other):
                try:
                    return SIGNS[sign](value, other)
                except TypeError:
                    return False
            case Meet(parts):
                return all(self.meets(part, value) for part in parts)
            case Choice(parts):
                return any(self.meets(part, value) for part in parts)
            case Reference(name):
                return self.meets(self.schema.definitions[name], value)
        return False


MISSING = object()


def join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def explain(schema: Document) -> Iterator[tuple[str, str, str]]:
    """Every field of a schema: its path, what it may be, and its doc text."""

    def walk(struct: Struct, path: str) -> Iterator[tuple[str, str, str]]:
        for entry in struct.fields:
            here = join(path, entry.name) + ("?" if entry.optional else "")
            inner = entry.constraint
            while isinstance(inner, Reference):
                inner = schema.definitions[inner.name]
            if isinstance(inner, Struct):
                yield here, "a record", entry.doc
                yield from walk(inner, here)
            else:
                chosen = inner.default if isinstance(inner, Choice) else None
                default = f", default {told(chosen)}" if chosen else ""
                yield here, told(inner) + default, entry.doc

    yield from walk(schema.record, "")
