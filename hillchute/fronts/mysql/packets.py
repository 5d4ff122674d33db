"""The MySQL client/server protocol of one session: decodes packets to commands and encodes answers.

Covers login, sequence numbers, result sets and error packets. Performs no I/O and does not interpret
statements beyond those that client libraries send by themselves.
"""

import struct
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

SERVER_VERSION = b"8.0.36-hillchute"
USER, DATABASE = b"app", b"lake"
HEADER_BYTES = 4  # bytes of a packet's header: its size and its sequence number
UNLIMITED_PACKETS = 1 << 32
MAX_QUEUED_COMMANDS = 32  # commands queued behind the open one; further ones stay in the kernel's buffer

# Capability flags: long password, found rows, long flag, connect with a database, protocol 4.1, transactions,
# secure connection, plugin authentication and length-encoded authentication data.
CAPABILITIES = 0x1 | 0x2 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x200000
CLIENT_CONNECT_WITH_DB, CLIENT_SECURE_CONNECTION, CLIENT_LENGTH_ENCODED_AUTH = 0x8, 0x8000, 0x200000
CLIENT_PROTOCOL_41 = 0x200
UTF8MB4_GENERAL_CI = 45
STATUS_AUTOCOMMIT = 2
TYPE_VAR_STRING = 0xFD
COLUMNS = (b"c1", b"c2", b"c3")

# Error codes with their SQL states.
REFUSED = (1040, b"08004")  # the platform's code for a query that was not run and may be retried
FAILED = (1317, b"70100")
ACCESS_DENIED = (1045, b"28000")
UNKNOWN_DATABASE = (1049, b"42000")
UNKNOWN_COMMAND = (1047, b"08S01")
BAD_STATEMENT = (1064, b"42000")
MALFORMED = (1835, b"HY000")
TOO_LARGE = (1153, b"08S01")
NO_SUCH_THREAD = (1094, b"HY000")

KILL_QUERY_PREFIX = b"kill query "


class Query(NamedTuple):
    text: bytes
    received_at: int = 0  # when its last byte was received


class KillQuery(NamedTuple):
    session: int


class Ping(NamedTuple):
    pass


class Quit(NamedTuple):
    pass


Command = Query | KillQuery | Ping | Quit


def lenenc_integer(n: int) -> bytes:
    if n < 251:
        return bytes((n,))
    if n < 1 << 16:
        return b"\xfc" + n.to_bytes(2, "little")
    if n < 1 << 24:
        return b"\xfd" + n.to_bytes(3, "little")
    return b"\xfe" + n.to_bytes(8, "little")


def lenenc_string(value: bytes) -> bytes:
    return lenenc_integer(len(value)) + value


def column_definition(name: bytes) -> bytes:
    head = (
        lenenc_string(b"def")
        + lenenc_string(DATABASE)
        + lenenc_string(b"")
        + lenenc_string(b"")
        + lenenc_string(name)
        + lenenc_string(name)
    )
    return head + b"\x0c" + struct.pack("<HIBHB", UTF8MB4_GENERAL_CI, 48_000, TYPE_VAR_STRING, 0, 0) + b"\0\0"


EOF = b"\xfe" + struct.pack("<HH", 0, STATUS_AUTOCOMMIT)
NULL = b"\xfb"
OK = b"\0\0\0" + struct.pack("<HH", STATUS_AUTOCOMMIT, 0)
# A packet with a row of three strings, all lengths in one byte: packet size, sequence number, strings.
SHORT_ROW_FORMAT = b"%c\0\0%c%c%b%c%b%c%b"
RESULT_HEADER = (lenenc_integer(len(COLUMNS)), *(column_definition(name) for name in COLUMNS), EOF)


def error(kind: tuple[int, bytes], message: str) -> bytes:
    number, state = kind
    return b"\xff" + struct.pack("<H", number) + b"#" + state + message.encode()[:400]


class Session:
    """One client's session: feed() takes received bytes, command() returns the next command to execute."""

    def __init__(self, number: int, max_packet_bytes: int) -> None:
        self.number = number
        self.max_packet_bytes = max_packet_bytes  # limit in bytes for a packet, and for all queued input
        self.buffer = bytearray()
        self.queue: deque[tuple[int, bytes, int]] = deque()
        self.queued_bytes = 0  # bytes of the queued commands
        self.received_at = 0  # when the last bytes of the buffer were received
        self.oversized_bytes: int | None = None  # size of a too large packet, the last in the queue
        self.sequence = 0
        self.logged_in = False
        self.busy = False  # a command is open; the next one waits for its answer
        self.closing = False  # no more input is taken; the connection closes once all output is sent
        self.taken_count = 0  # packets that command() has taken from the queue

    def to_packets(self, payloads: Iterable[bytes]) -> bytes:
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
        payload = (
            b"\x0a" + SERVER_VERSION + b"\0" + struct.pack("<I", self.number & 0xFFFFFFFF) + salt[:8] + b"\0"
        )
        payload += struct.pack("<HBHHB", low, UTF8MB4_GENERAL_CI, STATUS_AUTOCOMMIT, high, 21) + bytes(10)
        return self.to_packets([payload + salt[8:] + b"\0" + b"mysql_native_password\0"])

    def feed(self, data: bytes, received_at: int = 0) -> None:
        """Takes bytes that were received at the time `received_at`."""
        if self.closing:
            return
        if not self.buffer or len(self.queue) < MAX_QUEUED_COMMANDS:
            self.received_at = received_at  # else the buffer may hold complete packets that came earlier
        self.buffer += data
        self.take_packets()

    @property
    def full(self) -> bool:
        """Whether so much input is queued that no more should be read for now."""
        return len(self.queue) >= MAX_QUEUED_COMMANDS or self.holds_maximum

    @property
    def holds_maximum(self) -> bool:
        """Whether the session holds as many bytes of input as it may."""
        queued_bytes = self.queued_bytes + len(self.buffer)
        return self.oversized_bytes is not None or queued_bytes > self.max_packet_bytes + HEADER_BYTES

    def take_packets(self) -> None:
        """Moves complete packets from the buffer to the queue, as many as it may hold.

        `received_at` holds for each packet that is left in the buffer, or is earlier: while a complete one is
        left there, the session is full, and a read ahead of its answers does not change it.
        """
        while (
            len(self.buffer) >= HEADER_BYTES
            and len(self.queue) < MAX_QUEUED_COMMANDS
            and self.oversized_bytes is None
        ):
            size = int.from_bytes(self.buffer[:3], "little")
            if size > self.max_packet_bytes:
                self.oversized_bytes = size
                self.queue.append((self.buffer[3], b"", self.received_at))  # ends the session when reached
                return
            if len(self.buffer) < HEADER_BYTES + size:
                return
            self.queued_bytes += size
            self.queue.append(
                (self.buffer[3], bytes(self.buffer[HEADER_BYTES : HEADER_BYTES + size]), self.received_at)
            )
            del self.buffer[: HEADER_BYTES + size]

    def close(self, kind: tuple[int, bytes], message: str) -> bytes:
        """Ends the session with an error; returns its packet."""
        self.closing = True
        self.queue.clear()
        self.buffer.clear()
        return self.to_packets([error(kind, message)])

    @property
    def has_command(self) -> bool:
        """Whether command() would take a packet."""
        return bool(self.queue) and not self.busy and not self.closing

    def command(self, max_packets: int = UNLIMITED_PACKETS) -> tuple[Command | None, bytes]:
        """The next command, or None while another is open, and output to write before executing it.

        Takes no more than `max_packets` packets, some of which are answered here and are no command.
        """
        out = b""
        end = self.taken_count + max_packets
        while self.has_command and self.taken_count < end:
            self.taken_count += 1
            number, payload, received_at = self.queue.popleft()
            self.queued_bytes -= len(payload)
            self.take_packets()
            self.sequence = number + 1 & 255
            if self.oversized_bytes is not None and not self.queue:
                message = f"packet of {self.oversized_bytes} bytes; {self.max_packet_bytes} are allowed"
                return None, out + self.close(TOO_LARGE, message)
            if not self.logged_in:
                out += self.authenticate(payload)
                continue
            command, answer = self.parse_command(payload, received_at)
            out += answer
            if command is not None:
                self.busy = not isinstance(command, Quit)
                return command, out
        return None, out

    def parse_command(self, payload: bytes, received_at: int = 0) -> tuple[Command | None, bytes]:
        code, rest = payload[:1], payload[1:]
        match code:
            case b"\x01":  # COM_QUIT
                self.closing = True
                return Quit(), b""
            case b"\x02":  # COM_INIT_DB: change of database
                if rest.rstrip(b"\0") != DATABASE:
                    return None, self.to_packets([error(UNKNOWN_DATABASE, "unknown database")])
                return None, self.to_packets([OK])
            case b"\x03":  # COM_QUERY
                return self.parse_statement(rest, received_at)
            case b"\x0e":  # COM_PING
                return Ping(), b""
            case b"\x09":  # COM_STATISTICS: the answer is a plain string
                return None, self.to_packets([b"hillchute"])
            case b"\x1b":  # COM_SET_OPTION: multi-statements on or off
                return None, self.to_packets([EOF])
            case b"\x1f":  # COM_RESET_CONNECTION
                return None, self.to_packets([OK])
            case b"\x0c" if len(rest) == 4:  # COM_PROCESS_KILL
                return KillQuery(int.from_bytes(rest, "little")), b""
        return None, self.to_packets([error(UNKNOWN_COMMAND, "unknown command")])

    def parse_statement(self, sql: bytes, received_at: int = 0) -> tuple[Command | None, bytes]:
        if sql.startswith(b"/*"):
            return Query(sql, received_at), b""
        plain = b" ".join(sql.rstrip(b"\0; \t\r\n").split()).lower() if len(sql) < 200 else b""
        if plain.startswith(KILL_QUERY_PREFIX) and plain[len(KILL_QUERY_PREFIX) :].isdigit():
            return KillQuery(int(plain[len(KILL_QUERY_PREFIX) :])), b""
        if plain.startswith((b"set ", b"use lake")) or plain in (b"begin", b"commit", b"rollback"):
            return None, self.to_packets([OK])  # sent by common client libraries by themselves
        return Query(sql, received_at), b""

    def authenticate(self, payload: bytes) -> bytes:
        try:
            user, answer, database = parse_login(payload)
        except (ValueError, IndexError, struct.error):
            return self.close(MALFORMED, "malformed login packet")
        if user != USER or answer:
            return self.close(ACCESS_DENIED, "access denied: wrong user or password")
        if database not in (DATABASE, None):
            return self.close(UNKNOWN_DATABASE, "unknown database")
        self.logged_in = True
        return self.to_packets([OK])

    # ---- answers to the open command -------------------------------------------------------------

    def finish_command(self, payloads: Iterable[bytes]) -> bytes:
        self.busy = False
        return self.to_packets(payloads)

    def ok(self) -> bytes:
        return self.finish_command([OK])

    def error_answer(self, kind: tuple[int, bytes], message: str) -> bytes:
        return self.finish_command([error(kind, message)])

    def begin_result(self, names: Iterable[str]) -> bytes:
        """The column definitions of a result set whose rows follow; the command stays open."""
        columns = [column_definition(name.encode()) for name in names]
        return self.to_packets((lenenc_integer(len(columns)), *columns, EOF))

    def result_rows(self, rows: Iterable[Sequence[bytes | None]]) -> bytes:
        """Rows of a result set started with begin_result(); None is NULL."""
        return self.to_packets(b"".join(NULL if v is None else lenenc_string(v) for v in row) for row in rows)

    def end_result(self) -> bytes:
        return self.finish_command([EOF])

    def result(self, rows: Iterable[Sequence[bytes]]) -> bytes:
        """A complete result set. Rows of less than 251 bytes, nearly all of them, have a fast path."""
        out = [self.to_packets(RESULT_HEADER)]
        for row in rows:
            a, b, c = row
            size = len(a) + len(b) + len(c) + 3
            if size < 251:
                out.append(SHORT_ROW_FORMAT % (size, self.sequence, len(a), a, len(b), b, len(c), c))
                self.sequence = self.sequence + 1 & 255
            else:
                out.append(self.to_packets([b"".join(map(lenenc_string, row))]))
        out.append(self.finish_command([EOF]))
        return b"".join(out)


def parse_login(payload: bytes) -> tuple[bytes, bytes, bytes | None]:
    """User, authentication response and database of a login packet.

    Raises ValueError, IndexError or struct.error if the packet is malformed.
    """
    (flags,) = struct.unpack_from("<I", payload)
    if not flags & CLIENT_PROTOCOL_41:
        raise ValueError("not protocol 4.1")
    offset = 32
    end = payload.index(b"\0", offset)
    user, offset = payload[offset:end], end + 1
    if flags & (CLIENT_LENGTH_ENCODED_AUTH | CLIENT_SECURE_CONNECTION):
        size, offset = payload[offset], offset + 1
        if size > 250 or offset + size > len(payload):
            raise ValueError("authentication data too long")
        answer, offset = payload[offset : offset + size], offset + size
    else:
        end = payload.index(b"\0", offset)
        answer, offset = payload[offset:end], end + 1
    database = None
    if flags & CLIENT_CONNECT_WITH_DB and offset < len(payload):
        end = payload.find(b"\0", offset)
        database = payload[offset : end if end >= 0 else len(payload)] or None
    return user, answer, database
