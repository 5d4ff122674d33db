"""Codec of the line protocol: commands to engines and answers from them, including load reports.

An answer is a line of four words and a body whose length the fourth word states; of the commands only `want`
has a body. Performs no I/O. After Unreadable is raised, the connection can't be used any more.
"""

from collections.abc import Iterator
from typing import NamedTuple

MAX_LINE_SIZE = 4_096  # bytes of an answer's line; the protocol needs a few hundred at most
MAX_BODY_SIZE = 6_000  # bytes of a page, as the protocol defines
MAX_PAGES = 64  # per result: a result has at most 48,000 bytes, and a page holds whole rows
MAX_NUMBER = 1e9  # limit of all values: 11 days of CPU time, or a thousand times the memory of any engine

ENDINGS = {"AGAIN": "saturated", "EIO": "errored", "STALE": "superseded"}  # values of AttemptResult
# The second word of an answer's line.
WORDS = {"ACK", "BLOCK", "EVENT", "READY", "AILING", *ENDINGS}
TOPICS = {"advance": 1, "disk": 2, "stall": 3}  # the topics of words.Noted


class Unreadable(Exception):
    """Bytes from an engine that violate the protocol."""


class Want(NamedTuple):
    """Run a statement."""

    id: str
    group: str
    ttl: int  # time limit for the result, in milliseconds
    rank: int | None
    token: str | None
    statement: bytes


class NeverMind(NamedTuple):
    """Cancel a run."""

    id: str


class Hurry(NamedTuple):
    """Change the priority of a run."""

    id: str
    rank: int


class Turn(NamedTuple):
    """Request a page of a result; the first page has number 0."""

    id: str
    page: int


class Shut(NamedTuple):
    """Discard the rest of a result."""

    id: str


class Busy(NamedTuple):
    """Request a load report."""

    tag: str


Command = Want | NeverMind | Hurry | Turn | Shut | Busy


class Answer(NamedTuple):
    """A decoded and validated answer; fields that it lacks have their defaults."""

    id: str
    word: str
    body: bytes = b""
    parts: int = 1
    part: int = 0
    topic: int = 0  # of a progress report; 0 if unknown
    value: float = 0.0  # of a progress report
    work: float | None = None  # CPU time in milliseconds on one core
    report: dict[str, float] | None = None


def parse_integer(text: str, name: str, minimum: int, maximum: int) -> int:
    """An integer within bounds; raises Unreadable for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not minimum <= int(text) <= maximum:
        raise Unreadable(f"{name}: expected an integer from {minimum} to {maximum}, got {text[:40]}")
    return int(text)


def parse_number(text: str, name: str) -> float:
    """A number from 0 to MAX_NUMBER; raises Unreadable for any other text."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_NUMBER:  # also rejects NaN
        raise Unreadable(f"{name}: expected a number from 0 to {MAX_NUMBER:g}, got {text[:40]}")
    return value


def parse_load_report(text: str) -> dict[str, float]:
    pairs = (pair.partition(":") for pair in text.split(";"))
    return {name: parse_number(value, f"rep: {name}") for name, _, value in pairs}


# By name on the wire: the field of Answer, and the parser of its value.
FIELD_PARSERS = {
    "parts": ("parts", lambda text: parse_integer(text, "parts", 1, MAX_PAGES)),
    "part_no": ("part", lambda text: parse_integer(text, "part_no", 1, MAX_PAGES)),
    "why": ("topic", lambda text: TOPICS.get(text, 0)),
    "value": ("value", lambda text: parse_number(text, "value")),
    "work": ("work", lambda text: parse_number(text, "work")),
    "rep": ("report", parse_load_report),
}


def encode(command: Command) -> bytes:
    """The bytes of a command."""
    match command:
        case Want(id, group, ttl, rank, token, statement):
            fields = f"lane={group},ttl={ttl}"
            if token is not None:
                fields += f",dedupe={token}"
            if rank is not None:
                fields += f",rank={rank}"
            return b"want %s %s %d\r\n%s\r\n" % (id.encode(), fields.encode(), len(statement), statement)
        case NeverMind(id):
            line = f"never_mind {id}"
        case Hurry(id, rank):
            line = f"hurry {id} {rank}"
        case Turn(id, page):
            line = f"turn {id} {page}"
        case Shut(id):
            line = f"shut {id}"
        case Busy(tag):
            line = f"busy {tag}"
    return line.encode() + b"\r\n"


class Decoder:
    """Decodes answers from chunks of bytes."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[Answer]:
        """Yields the answers that are complete; raises Unreadable after those before an invalid one."""
        self.buffer += data
        at = 0
        try:
            while (parsed := parse_answer(self.buffer, at)) is not None:
                answer, at = parsed
                yield answer
        finally:
            self.buffer = self.buffer[at:]


def parse_answer(data: bytes, at: int) -> tuple[Answer, int] | None:
    """The answer that starts at offset `at`, and the offset after it; None if the answer is incomplete."""
    end = data.find(b"\r\n", at, at + MAX_LINE_SIZE)
    if end < 0:
        if len(data) - at >= MAX_LINE_SIZE:
            raise Unreadable(f"a line exceeds {MAX_LINE_SIZE} bytes")
        return None
    try:
        words = data[at:end].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise Unreadable("a line is not ASCII") from None
    if len(words) != 4 or words[1] not in WORDS:
        raise Unreadable(f"expected four words with a known kind of answer, got: {' '.join(words)[:80]}")
    id, word, pairs, size = words
    start = end + 2
    stop = start + parse_integer(size, "length", 0, MAX_BODY_SIZE)
    if len(data) < stop + 2:
        return None
    if data[stop : stop + 2] != b"\r\n":
        raise Unreadable(f"{word}: the body does not end with CRLF after {stop - start} bytes")
    fields = {}
    for pair in pairs.split(",") if pairs != "-" else ():
        name, sign, text = pair.partition("=")
        if not sign:
            raise Unreadable(f"{word}: field {name[:40]} has no value")
        if name in FIELD_PARSERS:
            field, parse = FIELD_PARSERS[name]
            fields[field] = parse(text)
    return Answer(id, word, data[start:stop], **fields), stop + 2


def rows(text: bytes) -> list[list[bytes]]:
    """The rows in the body of a page, with three columns each; raises Unreadable if it is malformed."""
    if not text:
        return []
    if not text.endswith(b"\n"):
        raise Unreadable("the last row does not end with a line feed")
    parsed = [line.split(b"\t") for line in text[:-1].split(b"\n")]
    if set(map(len, parsed)) != {3}:
        raise Unreadable("a row does not have three columns")
    return parsed
