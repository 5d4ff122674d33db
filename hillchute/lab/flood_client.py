"""A client that harms others: floods of small or unsound requests, and requests that never become complete.

    python -m hillchute.lab.flood_client --port N --form ping --connections 10 --seconds 5 --seed 1

Runs in a process of its own, so that it takes no time from the clients that are measured beside it. Prints
how many bytes it has written and how many connections it has opened, as JSON. Each form is a command of the
MySQL protocol or a kind of unsound input; `FLOODS` are sent at full speed, `STALLS` are begun and left so.
"""

import argparse
import random
import socket
import struct
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import orjson

LOGIN_PAYLOAD = struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0"
BLOCK_BYTES = 32_768  # bytes of commands that are made at once
READ_BYTES = 65_536
SLOW_BYTES = 16  # bytes that a slow writer sends at once
SLOW_INTERVAL = 0.02  # seconds between two of a slow writer's sends
LARGE_REQUEST_BYTES = 24_000  # just below what a router with 192 MB accepts
SHORT_FIELD_COUNT = 1_000
PAUSE = 0.001  # seconds without work before the sockets are looked at again


def packet(number: int, payload: bytes) -> bytes:
    """Return a packet of the MySQL protocol."""
    return len(payload).to_bytes(3, "little") + bytes([number]) + payload


LOGIN = packet(1, LOGIN_PAYLOAD)


def command(code: int, rest: bytes = b"") -> bytes:
    """Return a command in a packet."""
    return packet(0, bytes([code]) + rest)


def statement(rng: random.Random, fields: str, sql: str = "SELECT 1 FROM sales_17.orders") -> bytes:
    """Return a COM_QUERY with a new id and the given fields."""
    return command(3, f"/* trace={rng.getrandbits(64):016x},{fields} */ {sql}".encode())


VALID_FIELDS = "route=lookup,patience=3000,weight=1.0,mb=1"


def new_name(rng: random.Random) -> str:
    """Return a name that was not used before."""
    return f"n{rng.getrandbits(64):016x}"


def many_short_fields(rng: random.Random) -> bytes:
    """Return a statement whose comment has very many short fields."""
    fields = ",".join(f"{number:x}={rng.randrange(10)}" for number in range(SHORT_FIELD_COUNT))
    return statement(rng, fields)


def oversized(rng: random.Random) -> bytes:
    """Return the beginning of a packet that is larger than any router accepts."""
    return b"\xff\xff\xff\0" + rng.randbytes(64)


Maker = Callable[[random.Random], bytes]
# Sent again and again, at full speed.
FLOODS: dict[str, Maker] = {
    "ping": lambda rng: command(0x0E),
    "statistics": lambda rng: command(0x09),
    "set_option": lambda rng: command(0x1B, b"\0\0"),
    "reset_connection": lambda rng: command(0x1F),
    "init_db": lambda rng: command(0x02, b"lake"),
    "init_db_unknown": lambda rng: command(0x02, new_name(rng).encode()),
    "set_statement": lambda rng: command(3, b"SET NAMES utf8mb4"),
    "process_kill": lambda rng: command(0x0C, rng.randbytes(4)),
    "kill_query": lambda rng: command(3, b"KILL QUERY %d" % rng.getrandbits(31)),
    "unknown_command": lambda rng: command(0x80 + rng.randrange(100)),
    "empty_packet": lambda rng: packet(0, b""),
    "no_fields": lambda rng: command(3, b"SELECT 1"),
    "field_without_value": lambda rng: command(3, b"/* route */ SELECT 1"),
    "field_twice": lambda rng: statement(rng, f"{VALID_FIELDS},mb=1"),
    "not_ascii": lambda rng: command(3, b"/* route=\xff */ SELECT 1"),
    "number_invalid": lambda rng: statement(rng, "route=lookup,patience=x"),
    "out_of_range": lambda rng: statement(rng, "route=lookup,patience=2000000000"),
    "new_field_names": lambda rng: statement(rng, f"{VALID_FIELDS},{new_name(rng)}=1"),
    "new_routes": lambda rng: statement(rng, f"route={new_name(rng)},patience=3000"),
    "new_table_groups": lambda rng: statement(
        rng, VALID_FIELDS, f"SELECT 1 FROM sales_{rng.randrange(10**9)}.orders"
    ),
    "new_keys": lambda rng: statement(
        rng,
        f"route=event-load,patience=9000,weight=1.0,mb=1,nonce={rng.getrandbits(64):x},entity={rng.getrandbits(64):x}",
        f"INSERT INTO sales_{rng.randrange(10**9)}.orders SELECT 1",
    ),
    "valid": lambda rng: statement(rng, VALID_FIELDS),
    "many_short_fields": many_short_fields,
    # These end the session: useful with --reconnect.
    "oversized": oversized,
    "bad_login": lambda rng: packet(1, rng.randbytes(64)),
    "wrong_user": lambda rng: packet(1, LOGIN_PAYLOAD.replace(b"app", new_name(rng).encode())),
    "quit": lambda rng: command(0x01),
    "noise": lambda rng: rng.randbytes(256),
    "connect_only": lambda rng: b"",
}
WITHOUT_LOGIN = frozenset({"bad_login", "wrong_user", "noise", "connect_only"})


def large_request(rng: random.Random) -> bytes:
    """Return a large statement."""
    filler = "x" * LARGE_REQUEST_BYTES
    return statement(rng, VALID_FIELDS, f"SELECT '{filler}' FROM sales_17.orders")


def half(data: bytes) -> bytes:
    """Return the first half."""
    return data[: len(data) // 2]


# Begun once on each connection; the connection then stays open.
STALLS: dict[str, Maker] = {
    "half_login": lambda rng: half(LOGIN),
    "half_large_request": lambda rng: LOGIN + half(large_request(rng)),
    "almost_whole_request": lambda rng: LOGIN + statement(rng, VALID_FIELDS, "SELECT '" + "x" * 4_000)[:-1],
    "half_short_fields": lambda rng: LOGIN + half(many_short_fields(rng)),
    "whole_short_fields": lambda rng: LOGIN + many_short_fields(rng),
    "pipelined_behind_half": lambda rng: LOGIN
    + 100 * statement(rng, VALID_FIELDS)
    + half(large_request(rng)),
}
# The same, written in small pieces.
SLOW_PREFIX = "slow_"
FORMS = (*FLOODS, *STALLS, *(SLOW_PREFIX + name for name in STALLS))


@dataclass
class Connection:
    """One connection, which is opened anew if it ends and `reconnects` is set."""

    address: tuple[str, int]
    form: str
    reconnects: bool
    rng: random.Random
    sock: socket.socket | None = None
    unsent: bytes = b""
    written: int = 0
    opened: int = 0
    next_write: float = 0.0
    finished: bool = False

    def open(self) -> None:
        """Connect and prepare the first bytes."""
        self.sock = socket.create_connection(self.address, timeout=2)
        self.sock.setblocking(False)
        self.opened += 1
        name = self.form.removeprefix(SLOW_PREFIX)
        if name in STALLS:
            self.unsent = STALLS[name](self.rng)
        else:
            self.unsent = b"" if name in WITHOUT_LOGIN else LOGIN

    def step(self) -> bool:
        """Read, write as much as is due; return whether anything was done."""
        try:
            if self.sock is None:
                if self.finished:
                    return False
                self.open()
            done = self.read()
            return self.write() or done
        except OSError:
            self.close()
            return True

    def read(self) -> bool:
        with suppress(BlockingIOError):
            if not self.sock.recv(READ_BYTES):
                raise ConnectionResetError
            return True
        return False

    def write(self) -> bool:
        is_slow = self.form.startswith(SLOW_PREFIX)
        if is_slow and time.monotonic() < self.next_write:
            return False
        if not self.unsent and self.form in FLOODS:
            self.unsent = self.make_block()
        if not self.unsent:
            return False
        try:
            sent = self.sock.send(self.unsent[:SLOW_BYTES] if is_slow else self.unsent)
        except BlockingIOError:
            return False
        self.next_write = time.monotonic() + SLOW_INTERVAL
        self.unsent = self.unsent[sent:]
        self.written += sent
        return True

    def make_block(self) -> bytes:
        """Return commands of the form; a form without any ends the connection."""
        if self.form == "connect_only":
            raise ConnectionResetError
        block = bytearray()
        while len(block) < BLOCK_BYTES:
            block += FLOODS[self.form](self.rng)
        return bytes(block)

    def close(self) -> None:
        """Close the connection; it is not opened again unless `reconnects` is set."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        self.finished = not self.reconnects


def flood(
    port: int, form: str, connections: int, seconds: float, seed: int, reconnects: bool
) -> dict[str, int]:
    """Run one form for so many seconds; return bytes written and connections opened."""
    rng = random.Random(seed)
    clients = [Connection(("127.0.0.1", port), form, reconnects, rng) for _ in range(connections)]
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if not any([client.step() for client in clients]):
            time.sleep(PAUSE)
    for client in clients:
        client.close()
    return {
        "written": sum(client.written for client in clients),
        "opened": sum(client.opened for client in clients),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--form", choices=FORMS, required=True)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reconnect", action="store_true")
    options = parser.parse_args()
    result = flood(
        options.port, options.form, options.connections, options.seconds, options.seed, options.reconnect
    )
    print(orjson.dumps(result).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
