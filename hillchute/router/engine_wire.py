"""The sql engines' protocol: commands out, answers in, as lines of words with a counted body.

Owns the spelling of commands and answers, and the form of load reports. Must never do I/O or know what a
query is for; what can't be read is an Unreadable, after which the connection is of no more use.
"""

from typing import NamedTuple

LONGEST_LINE = 4_096  # bytes of an answer's words; the protocol's own are a few hundred at most
LONGEST_BODY = 65_536  # bytes of a page; the protocol allows 6,000

ENDINGS = {"AGAIN": "saturated", "EIO": "errored", "STALE": "superseded"}
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
    id: str
    word: str
    fields: dict[str, str]
    body: bytes

    def whole(self, name: str, default: int = 0) -> int:
        text = self.fields.get(name)
        if text is None:
            return default
        try:
            return int(text)
        except ValueError:
            raise Unreadable(f"{self.word}: {name} is no whole number: {text[:40]}") from None

    def figure(self, name: str, default: float = 0.0) -> float:
        return real(self.fields.get(name, default), f"{self.word}: {name}")

    def report(self) -> dict[str, float] | None:
        text = self.fields.get("rep")
        if not text:
            return None
        pairs = (pair.partition(":") for pair in text.split(";"))
        return {name: real(value, f"{self.word}: rep: {name}") for name, _, value in pairs}


def real(text: str | float, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise Unreadable(f"{what} is no number: {str(text)[:40]}") from None
    if value - value != 0:  # infinite or no number: nothing to reckon with
        raise Unreadable(f"{what} is not finite")
    return value


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

    def feed(self, data: bytes) -> list[Answer]:
        if self.rest:
            data = self.rest + data
        answers = []
        at = 0
        while (read := read_answer(data, at)) is not None:
            answer, at = read
            answers.append(answer)
        self.rest = data[at:]
        return answers


def read_answer(data: bytes, at: int) -> tuple[Answer, int] | None:
    """The answer that begins at this place and where the next one does; None if it has not come whole."""
    end = data.find(b"\r\n", at)
    if end < 0:
        if len(data) - at > LONGEST_LINE:
            raise Unreadable("a line is too long")
        return None
    words = data[at:end].decode("utf-8", "replace").split(" ")
    if len(words) != 4 or end - at > LONGEST_LINE:
        raise Unreadable(f"not four words: {' '.join(words)[:80]}")
    id, word, listed, size = words
    if not size.isascii() or not size.isdigit() or int(size) > LONGEST_BODY:
        raise Unreadable(f"{word}: not a length: {size[:40]}")
    start = end + 2
    stop = start + int(size)
    if len(data) < stop + 2:
        return None
    if data[stop : stop + 2] != b"\r\n":
        raise Unreadable(f"{word}: no line end after the body")
    fields = {}
    if listed != "-":
        for pair in listed.split(","):
            name, _, value = pair.partition("=")
            fields[name] = value
    return Answer(id, word, fields, data[start:stop]), stop + 2


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
