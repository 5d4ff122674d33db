"""The clients' protocol: one session's packets in, typed commands out, answers as packets.

Owns the MySQL wire of one session: login, sequence numbers, result sets, error packets. Must never do
I/O, touch a statement or decide what is answered.
"""

import struct
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

VERSION = b"8.0.36-hillchute"
USER, DATABASE = b"app", b"lake"
HEAD = 4  # bytes ahead of a packet: its size and its number
MOST_WAITING = 32  # commands taken ahead of the answer; those that follow wait with the kernel

# Capabilities: long password, found rows, long flag, connect with a database, protocol 4.1, transactions,
# secure connection, plugin authentication and length-encoded authentication data.
CAPABILITIES = 0x1 | 0x2 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x200000
WITH_DATABASE, SECURE, LENGTH_ENCODED = 0x8, 0x8000, 0x200000
PROTOCOL_41 = 0x200
UTF8 = 45
AUTOCOMMIT = 2
VAR_STRING = 0xFD
COLUMNS = (b"c1", b"c2", b"c3")

# Error numbers with their states.
REFUSED = (1040, b"08004")  # the platform's word for: trying again is harmless
FAILED = (1317, b"70100")
ACCESS_DENIED = (1045, b"28000")
UNKNOWN_DATABASE = (1049, b"42000")
UNKNOWN_COMMAND = (1047, b"08S01")
BAD_STATEMENT = (1064, b"42000")
MALFORMED = (1835, b"HY000")
TOO_LARGE = (1153, b"08S01")
NO_SUCH_THREAD = (1094, b"HY000")

KILL_QUERY = b"kill query "


class Query(NamedTuple):
    text: bytes
    since: int = 0  # when its last byte came


class KillQuery(NamedTuple):
    session: int


class Ping(NamedTuple):
    pass


class Quit(NamedTuple):
    pass


Command = Query | KillQuery | Ping | Quit


def length(n: int) -> bytes:
    if n < 251:
        return bytes((n,))
    if n < 1 << 16:
        return b"\xfc" + n.to_bytes(2, "little")
    if n < 1 << 24:
        return b"\xfd" + n.to_bytes(3, "little")
    return b"\xfe" + n.to_bytes(8, "little")


def text(value: bytes) -> bytes:
    return length(len(value)) + value


def column(name: bytes) -> bytes:
    head = text(b"def") + text(DATABASE) + text(b"") + text(b"") + text(name) + text(name)
    return head + b"\x0c" + struct.pack("<HIBHB", UTF8, 48_000, VAR_STRING, 0, 0) + b"\0\0"


EOF = b"\xfe" + struct.pack("<HH", 0, AUTOCOMMIT)
NULL = b"\xfb"
OK = b"\0\0\0" + struct.pack("<HH", AUTOCOMMIT, 0)
ROW = b"%c\0\0%c%c%b%c%b%c%b"
HEADER = (length(len(COLUMNS)), *(column(name) for name in COLUMNS), EOF)


def error(kind: tuple[int, bytes], message: str) -> bytes:
    number, state = kind
    return b"\xff" + struct.pack("<H", number) + b"#" + state + message.encode()[:400]


class Session:
    """One client's session. feed() takes bytes, command() gives the next command when its turn has come."""

    def __init__(self, number: int, longest: int) -> None:
        self.number = number
        self.longest = longest  # bytes of a packet, and of all that waits here
        self.buffer = bytearray()
        self.waiting: deque[tuple[int, bytes, int]] = deque()
        self.ahead = 0  # bytes of the commands that wait
        self.came = 0  # when the last bytes of the buffer came
        self.oversized: int | None = None  # bytes of a packet that is too large; it is the last that waits
        self.sequence = 0
        self.logged_in = False
        self.busy = False  # a command is open: its answer comes first
        self.over = False  # nothing more is read; the connection closes once all is written

    def packets(self, payloads: Iterable[bytes]) -> bytes:
        out = bytearray()
        for payload in payloads:
            out += len(payload).to_bytes(3, "little")
            out.append(self.sequence)
            out += payload
            self.sequence = self.sequence + 1 & 255
        return bytes(out)

    def greeting(self) -> bytes:
        salt = bytes(1 + (self.number * 7919 + 31 * n) % 251 % 126 for n in range(20))
        low, high = CAPABILITIES & 0xFFFF, CAPABILITIES >> 16
        payload = b"\x0a" + VERSION + b"\0" + struct.pack("<I", self.number & 0xFFFFFFFF) + salt[:8] + b"\0"
        payload += struct.pack("<HBHHB", low, UTF8, AUTOCOMMIT, high, 21) + bytes(10)
        return self.packets([payload + salt[8:] + b"\0" + b"mysql_native_password\0"])

    def feed(self, data: bytes, since: int = 0) -> None:
        """Takes in bytes that came at a time."""
        if self.over:
            return
        self.buffer += data
        self.came = since
        self.take_packets()

    @property
    def full(self) -> bool:
        """Whether so much has come ahead of its answers that no more is to be read for now."""
        ahead = self.ahead + len(self.buffer)
        return self.oversized is not None or len(self.waiting) >= MOST_WAITING or ahead > self.longest + HEAD

    def take_packets(self) -> None:
        """Commands out of the buffer, as many as may wait. What stays there came with the last read: while
        a whole command stays, the session is full and nothing more is read."""
        while len(self.buffer) >= HEAD and len(self.waiting) < MOST_WAITING and self.oversized is None:
            size = int.from_bytes(self.buffer[:3], "little")
            if size > self.longest:
                self.oversized = size
                self.waiting.append((self.buffer[3], b"", self.came))  # its turn ends the session
                return
            if len(self.buffer) < HEAD + size:
                return
            self.ahead += size
            self.waiting.append((self.buffer[3], bytes(self.buffer[HEAD : HEAD + size]), self.came))
            del self.buffer[: HEAD + size]

    def close(self, kind: tuple[int, bytes], message: str) -> bytes:
        self.over = True
        self.waiting.clear()
        self.buffer.clear()
        return self.packets([error(kind, message)])

    def command(self) -> tuple[Command | None, bytes]:
        """The next command, if its turn has come, and what is to be written ahead of acting on it."""
        out = b""
        while self.waiting and not self.busy and not self.over:
            number, payload, since = self.waiting.popleft()
            self.ahead -= len(payload)
            self.take_packets()
            self.sequence = number + 1 & 255
            if self.oversized is not None and not self.waiting:
                why = f"packet of {self.oversized} bytes; {self.longest} are allowed"
                return None, out + self.close(TOO_LARGE, why)
            if not self.logged_in:
                out += self.log_in(payload)
                continue
            command, answer = self.read(payload, since)
            out += answer
            if command is not None:
                self.busy = not isinstance(command, Quit)
                return command, out
        return None, out

    def read(self, payload: bytes, since: int = 0) -> tuple[Command | None, bytes]:
        code, rest = payload[:1], payload[1:]
        match code:
            case b"\x01":
                self.over = True
                return Quit(), b""
            case b"\x02":  # change of database
                if rest.rstrip(b"\0") != DATABASE:
                    return None, self.packets([error(UNKNOWN_DATABASE, "unknown database")])
                return None, self.packets([OK])
            case b"\x03":
                return self.statement(rest, since)
            case b"\x0e":
                return Ping(), b""
            case b"\x09":  # statistics: a plain string
                return None, self.packets([b"hillchute"])
            case b"\x1b":  # set option: multi statements on or off
                return None, self.packets([EOF])
            case b"\x1f":  # reset connection
                return None, self.packets([OK])
            case b"\x0c" if len(rest) == 4:  # process kill
                return KillQuery(int.from_bytes(rest, "little")), b""
        return None, self.packets([error(UNKNOWN_COMMAND, "unknown command")])

    def statement(self, sql: bytes, since: int = 0) -> tuple[Command | None, bytes]:
        if sql.startswith(b"/*"):
            return Query(sql, since), b""
        plain = b" ".join(sql.rstrip(b"\0; \t\r\n").split()).lower() if len(sql) < 200 else b""
        if plain.startswith(KILL_QUERY) and plain[len(KILL_QUERY) :].isdigit():
            return KillQuery(int(plain[len(KILL_QUERY) :])), b""
        if plain.startswith((b"set ", b"use lake")) or plain in (b"begin", b"commit", b"rollback"):
            return None, self.packets([OK])  # what usual client libraries say by themselves
        return Query(sql, since), b""

    def log_in(self, payload: bytes) -> bytes:
        try:
            user, answer, database = login(payload)
        except (ValueError, IndexError, struct.error):
            return self.close(MALFORMED, "malformed login packet")
        if user != USER or answer:
            return self.close(ACCESS_DENIED, "access denied: wrong user or password")
        if database not in (DATABASE, None):
            return self.close(UNKNOWN_DATABASE, "unknown database")
        self.logged_in = True
        return self.packets([OK])

    # ---- answers to the open command -------------------------------------------------------------

    def answer(self, payloads: Iterable[bytes]) -> bytes:
        self.busy = False
        return self.packets(payloads)

    def ok(self) -> bytes:
        return self.answer([OK])

    def failed(self, kind: tuple[int, bytes], message: str) -> bytes:
        return self.answer([error(kind, message)])

    def begin(self, names: Iterable[str]) -> bytes:
        """The head of a result set whose rows come bit by bit; the command stays open."""
        columns = [column(name.encode()) for name in names]
        return self.packets((length(len(columns)), *columns, EOF))

    def more(self, rows: Iterable[Sequence[bytes | None]]) -> bytes:
        """Rows of a result set that was begun; None is NULL."""
        return self.packets(b"".join(NULL if v is None else text(v) for v in row) for row in rows)

    def end(self) -> bytes:
        return self.answer([EOF])

    def result(self, rows: Iterable[Sequence[bytes]]) -> bytes:
        """A result set. Rows of short columns, nearly all there are, are written in one step each."""
        out = [self.packets(HEADER)]
        for row in rows:
            a, b, c = row
            size = len(a) + len(b) + len(c) + 3
            if size < 251:
                out.append(ROW % (size, self.sequence, len(a), a, len(b), b, len(c), c))
                self.sequence = self.sequence + 1 & 255
            else:
                out.append(self.packets([b"".join(map(text, row))]))
        out.append(self.answer([EOF]))
        return b"".join(out)


def login(payload: bytes) -> tuple[bytes, bytes, bytes | None]:
    """User, authentication answer and database of a login packet."""
    (flags,) = struct.unpack_from("<I", payload)
    if not flags & PROTOCOL_41:
        raise ValueError("not protocol 4.1")
    at = 32
    end = payload.index(b"\0", at)
    user, at = payload[at:end], end + 1
    if flags & (LENGTH_ENCODED | SECURE):
        size, at = payload[at], at + 1
        if size > 250 or at + size > len(payload):
            raise ValueError("authentication data too long")
        answer, at = payload[at : at + size], at + size
    else:
        end = payload.index(b"\0", at)
        answer, at = payload[at:end], end + 1
    database = None
    if flags & WITH_DATABASE and at < len(payload):
        end = payload.find(b"\0", at)
        database = payload[at : end if end >= 0 else len(payload)] or None
    return user, answer, database
