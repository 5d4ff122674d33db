"""Codec of the line protocol: commands to engines and answers from them, including load reports.

An answer is a line of four words and a body whose length the fourth word states; of the commands only `want`
has a body. Performs no I/O. After MalformedAnswerError is raised, the connection can't be used any more.
"""

from collections.abc import Iterator
from typing import NamedTuple

MAX_LINE_SIZE = 4_096  # bytes of an answer's line; the protocol needs a few hundred at most
MAX_BODY_SIZE = 6_000  # bytes of a page, as the protocol defines
MAX_PAGES = 64  # per result: a result has at most 48,000 bytes, and a page holds whole rows
MAX_NUMBER = 1e9  # limit of all values: 11 days of CPU time, or a thousand times the memory of any engine

RESULT_BY_KIND = {"AGAIN": "saturated", "EIO": "errored", "STALE": "superseded"}  # values of AttemptResult
# The second word of an answer's line.
ANSWER_KINDS = {"ACK", "BLOCK", "EVENT", "READY", "AILING", *RESULT_BY_KIND}
TOPICS = {"advance": 1, "disk": 2, "stall": 3}  # the topics of words.ProgressReported


class MalformedAnswerError(Exception):
    """Bytes from an engine that violate the protocol."""


class StartRun(NamedTuple):
    """Run a statement."""

    id: str
    group: str
    timeout_ms: int  # time limit for the result, in milliseconds
    priority: int | None
    idempotency_key: str | None
    statement: bytes


class CancelRun(NamedTuple):
    """Cancel a run."""

    id: str


class SetPriority(NamedTuple):
    """Change the priority of a run."""

    id: str
    priority: int


class FetchPage(NamedTuple):
    """Request a page of a result; the first page has number 0."""

    id: str
    page: int


class DiscardResult(NamedTuple):
    """Discard the rest of a result."""

    id: str


class LoadReportRequest(NamedTuple):
    """Request a load report."""

    tag: str


Command = StartRun | CancelRun | SetPriority | FetchPage | DiscardResult | LoadReportRequest


class Answer(NamedTuple):
    """A decoded and validated answer; fields that it lacks have their defaults."""

    id: str
    kind: str
    body: bytes = b""
    page_count: int = 1
    page: int = 0
    topic: int = 0  # of a progress report; 0 if unknown
    value: float = 0.0  # of a progress report
    cpu_ms: float | None = None  # CPU time in milliseconds on one core
    report: dict[str, float] | None = None


def parse_integer(text: str, name: str, minimum: int, maximum: int) -> int:
    """An integer within bounds; raises MalformedAnswerError for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not minimum <= int(text) <= maximum:
        raise MalformedAnswerError(
            f"{name}: expected an integer from {minimum} to {maximum}, got {text[:40]}"
        )
    return int(text)


def parse_number(text: str, name: str) -> float:
    """A number from 0 to MAX_NUMBER; raises MalformedAnswerError for any other text."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_NUMBER:  # also rejects NaN
        raise MalformedAnswerError(f"{name}: expected a number from 0 to {MAX_NUMBER:g}, got {text[:40]}")
    return value


def parse_load_report(text: str) -> dict[str, float]:
    pairs = (pair.partition(":") for pair in text.split(";"))
    return {name: parse_number(value, f"rep: {name}") for name, _, value in pairs}


# By name on the wire: the field of Answer, and the parser of its value.
FIELD_PARSERS = {
    "parts": ("page_count", lambda text: parse_integer(text, "parts", 1, MAX_PAGES)),
    "part_no": ("page", lambda text: parse_integer(text, "part_no", 1, MAX_PAGES)),
    "why": ("topic", lambda text: TOPICS.get(text, 0)),
    "value": ("value", lambda text: parse_number(text, "value")),
    "work": ("cpu_ms", lambda text: parse_number(text, "work")),
    "rep": ("report", parse_load_report),
}


def encode(command: Command) -> bytes:
    """The bytes of a command."""
    match command:
        case StartRun(id, group, timeout_ms, priority, idempotency_key, statement):
            fields = f"lane={group},ttl={timeout_ms}"
            if idempotency_key is not None:
                fields += f",dedupe={idempotency_key}"
            if priority is not None:
                fields += f",rank={priority}"
            return b"want %s %s %d\r\n%s\r\n" % (id.encode(), fields.encode(), len(statement), statement)
        case CancelRun(id):
            line = f"never_mind {id}"
        case SetPriority(id, priority):
            line = f"hurry {id} {priority}"
        case FetchPage(id, page):
            line = f"turn {id} {page}"
        case DiscardResult(id):
            line = f"shut {id}"
        case LoadReportRequest(tag):
            line = f"busy {tag}"
    return line.encode() + b"\r\n"


class Decoder:
    """Decodes answers from chunks of bytes."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[Answer]:
        """Yields the complete answers; raises MalformedAnswerError after those before an invalid one."""
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
            raise MalformedAnswerError(f"a line exceeds {MAX_LINE_SIZE} bytes")
        return None
    try:
        words = data[at:end].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise MalformedAnswerError("a line is not ASCII") from None
    if len(words) != 4 or words[1] not in ANSWER_KINDS:
        raise MalformedAnswerError(
            f"expected four words with a known kind of answer, got: {' '.join(words)[:80]}"
        )
    id, kind, pairs, size = words
    start = end + 2
    stop = start + parse_integer(size, "length", 0, MAX_BODY_SIZE)
    if len(data) < stop + 2:
        return None
    if data[stop : stop + 2] != b"\r\n":
        raise MalformedAnswerError(f"{kind}: the body does not end with CRLF after {stop - start} bytes")
    fields = {}
    for pair in pairs.split(",") if pairs != "-" else ():
        name, sign, text = pair.partition("=")
        if not sign:
            raise MalformedAnswerError(f"{kind}: field {name[:40]} has no value")
        if name in FIELD_PARSERS:
            field, parse = FIELD_PARSERS[name]
            fields[field] = parse(text)
    return Answer(id, kind, data[start:stop], **fields), stop + 2


def parse_rows(text: bytes) -> list[list[bytes]]:
    """The rows of a page's body, with three columns each; raises MalformedAnswerError if it is malformed."""
    if not text:
        return []
    if not text.endswith(b"\n"):
        raise MalformedAnswerError("the last row does not end with a line feed")
    parsed = [line.split(b"\t") for line in text[:-1].split(b"\n")]
    if set(map(len, parsed)) != {3}:
        raise MalformedAnswerError("a row does not have three columns")
    return parsed
