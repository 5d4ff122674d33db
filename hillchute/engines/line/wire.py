"""The sql engines' protocol: commands out, answers in, as lines of words with a counted body.

Owns the spelling of commands and answers, and the form of load reports. Must never do I/O or know what a
query is for; what can't be read is an Unreadable, after which the connection is of no more use.
"""

from collections.abc import Iterator
from typing import NamedTuple

LONGEST_LINE = 4_096  # bytes of an answer's words; the protocol's own are a few hundred at most
LONGEST_BODY = 6_000  # bytes of a page, by the protocol
MOST_PARTS = 64  # pages of a result: it holds 48,000 bytes at most, and a page whole rows
LARGEST = 1e9  # of any figure: 11 days of work, or a thousand times the memory of any engine

ENDINGS = {"AGAIN": "saturated", "EIO": "errored", "STALE": "superseded"}
WORDS = {"ACK", "BLOCK", "EVENT", "READY", "AILING", *ENDINGS}
TOPICS = {"advance": 1, "disk": 2, "stall": 3}  # as the module counts notes


class Unreadable(Exception):
    """Bytes that are not what the protocol says."""


class Want(NamedTuple):
    id: str
    group: str
    ttl: int  # milliseconds
    rank: int | None
    token: str | None
    statement: bytes


class NeverMind(NamedTuple):
    id: str


class Hurry(NamedTuple):
    id: str
    rank: int


class Turn(NamedTuple):
    id: str
    page: int


class Shut(NamedTuple):
    id: str


class Busy(NamedTuple):
    tag: str


Command = Want | NeverMind | Hurry | Turn | Shut | Busy


class Answer(NamedTuple):
    """One answer, decoded and checked: what is not in it stands at its default."""

    id: str
    word: str
    body: bytes = b""
    parts: int = 1
    part: int = 0
    topic: int = 0  # of a note; 0: none that the module knows
    value: float = 0.0  # of a note
    work: float | None = None  # milliseconds on one core
    report: dict[str, float] | None = None


def whole(text: str, what: str, least: int, most: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not least <= int(text) <= most:
        raise Unreadable(f"{what}: {text[:40]} is not a whole number from {least} to {most}")
    return int(text)


def figure(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= LARGEST:  # also false where it is no number: nothing to reckon with
        raise Unreadable(f"{what}: {text[:40]} is no figure in range")
    return value


def load_report(text: str) -> dict[str, float]:
    pairs = (pair.partition(":") for pair in text.split(";"))
    return {name: figure(value, f"rep: {name}") for name, _, value in pairs}


READERS = {
    "parts": ("parts", lambda text: whole(text, "parts", 1, MOST_PARTS)),
    "part_no": ("part", lambda text: whole(text, "part_no", 1, MOST_PARTS)),
    "why": ("topic", lambda text: TOPICS.get(text, 0)),
    "value": ("value", lambda text: figure(text, "value")),
    "work": ("work", lambda text: figure(text, "work")),
    "rep": ("report", load_report),
}


def encode(command: Command) -> bytes:
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
    """Answers out of bytes that come in pieces."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> Iterator[Answer]:
        """The answers that are whole now; those before one that can't be read are given first."""
        self.rest += data
        at = 0
        try:
            while (read := read_answer(self.rest, at)) is not None:
                answer, at = read
                yield answer
        finally:
            self.rest = self.rest[at:]


def read_answer(data: bytes, at: int) -> tuple[Answer, int] | None:
    """The answer that begins at this place and where the next one does; None if it has not come whole."""
    end = data.find(b"\r\n", at, at + LONGEST_LINE)
    if end < 0:
        if len(data) - at >= LONGEST_LINE:
            raise Unreadable("a line is too long")
        return None
    try:
        words = data[at:end].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise Unreadable("a line is not ASCII") from None
    if len(words) != 4 or words[1] not in WORDS:
        raise Unreadable(f"not four words, or not an answer's: {' '.join(words)[:80]}")
    id, word, listed, size = words
    start = end + 2
    stop = start + whole(size, "length", 0, LONGEST_BODY)
    if len(data) < stop + 2:
        return None
    if data[stop : stop + 2] != b"\r\n":
        raise Unreadable(f"{word}: no line end after the body")
    known = {}
    for pair in listed.split(",") if listed != "-" else ():
        name, sign, text = pair.partition("=")
        if not sign:
            raise Unreadable(f"{word}: field {name[:40]} has no value")
        if name in READERS:
            key, read = READERS[name]
            known[key] = read(text)
    return Answer(id, word, data[start:stop], **known), stop + 2


def rows(text: bytes) -> list[list[bytes]]:
    """The rows of a whole result: three columns each."""
    if not text:
        return []
    if not text.endswith(b"\n"):
        raise Unreadable("the last row has no end")
    found = [line.split(b"\t") for line in text[:-1].split(b"\n")]
    if set(map(len, found)) != {3}:
        raise Unreadable("a row has not three columns")
    return found
