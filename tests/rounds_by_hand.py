"""A router on real sockets whose rounds are driven by hand, with clients and an engine in the same thread.

Every step is forced: nothing runs between two calls of turn(), so that a test can let two events cross.
"""

import socket
import struct
import time
from contextlib import suppress

from hillchute.decision.interface import EndpointState, Listing
from hillchute.discovery.event_bus import Endpoint, WatchEvent
from hillchute.fronts.mysql import packets
from hillchute.lab import deployment
from hillchute.log import Log
from hillchute.net.buffered_socket import TCP_INFO
from hillchute.net.clock import Clock
from hillchute.net.poller import Poller
from hillchute.net.system_calls import SYSTEM_CALLS, TCP_INFO_SIZE, SystemCalls
from hillchute.router import config, events
from hillchute.router.lifecycle import Phase
from hillchute.router.service import Service

MILLISECOND = 10  # tenths of a millisecond
PATIENCE = 3_000
WAIT = 10.0  # seconds until a test that waits for something gives up
TURN_TIME = 500_000  # nanoseconds of a turn, where the router's time goes on by turns alone
SELECT = "SELECT 1 FROM sales_17.orders"


def short_deadlines(longest, table):
    """The table with no deadline longer than so many milliseconds."""
    for kind in table["settings"]["classes"]:
        kind["deadline_ns"] = min(longest, kind["deadline_ns"] // 10**6) * 10**6
        kind["goal_time_ns"] = min(kind["goal_time_ns"], kind["deadline_ns"])
    table["settings"]["classes"][0]["deadline_ns"] = longest * 10**6
    return table


def packet(number, payload):
    return len(payload).to_bytes(3, "little") + bytes([number]) + payload


LOGIN = packet(1, struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0")
QUIT = packet(0, b"\x01")
PING = packet(0, b"\x0e")


def query(id, route="lookup", patience=PATIENCE, **fields):
    """COM_QUERY as a client writes it."""
    more = "".join(f",{name}={value}" for name, value in fields.items())
    text = f"/* route={route},trace={id:016x},patience={patience},weight=20.0,mb=1{more} */ {SELECT}"
    return packet(0, b"\x03" + text.encode())


def tcp_info(received_ms_ago=0):
    """The kernel's struct tcp_info as the router reads it: when bytes last came."""
    return TCP_INFO.pack(0, received_ms_ago).ljust(TCP_INFO_SIZE, b"\0")


class JustReceived(SystemCalls):
    """Bytes have always come just now: the kernel's idle times go by the machine's clock."""

    def tcp_info(self, sock):
        return tcp_info()


class Signals:
    """Stands in for the receiver of signals."""

    def __init__(self, *numbers):
        self.numbers = numbers

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    async def __aiter__(self):
        for number in self.numbers:
            yield number


class Kept(Log):
    """A log whose lines a test can look through."""

    def __init__(self):
        super().__init__("n1", -1)
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def faults(self):
        return [fields for event, fields in self.lines if event == "fault" and "trace" in fields]


class Client:
    def __init__(self, rig):
        self.rig, self.heard, self.ended, self.was_reset = rig, b"", False, False
        self.sock = socket.create_connection(rig.address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)

    def write(self, data):
        self.sock.sendall(data)

    def hear(self):
        with suppress(BlockingIOError):
            try:
                while data := self.sock.recv(65_536):
                    self.heard += data
                self.ended = True
            except ConnectionError:
                self.ended = self.was_reset = True
        return self.payloads()

    def payloads(self):
        found, rest = [], self.heard
        while len(rest) >= 4 and len(rest) >= 4 + int.from_bytes(rest[:3], "little"):
            size = int.from_bytes(rest[:3], "little")
            found.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        return found

    def answers(self):
        """The answers to queries so far: served, an error's number, or ok."""
        found, ends = [], 0
        for payload in self.hear()[1:]:  # the greeting is the first
            if payload[:1] == b"\xff":
                found.append(int.from_bytes(payload[1:3], "little"))
            elif payload == packets.EOF:
                ends += 1
                if ends % 2 == 0:
                    found.append("served")
        return found

    def reset(self):
        """Closes so that the router is sent RST."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self):
        self.sock.close()


class Talk:
    """The engine's side of one connection."""

    def __init__(self, sock):
        sock.setblocking(False)
        self.sock, self.rest, self.ended = sock, b"", False

    def commands(self):
        """What has come whole since the last call, as (verb, words, statement)."""
        with suppress(BlockingIOError):
            try:
                while data := self.sock.recv(65_536):
                    self.rest += data
                self.ended = True
            except ConnectionError:
                self.ended = True
        found = []
        while (end := self.rest.find(b"\r\n")) >= 0:
            verb, *words = self.rest[:end].decode().split(" ")
            stop = end + 2
            statement = b""
            if verb == "want":
                statement = self.rest[stop : stop + int(words[2])]
                stop += int(words[2]) + 2
                if len(self.rest) < stop:
                    break
            self.rest = self.rest[stop:]
            found.append((verb, words, statement))
        return found

    def serve(self, id):
        self.sock.sendall(f"{id} ACK work=20.0,peak=1.0 8\r\na\tb\tccc\n\r\n".encode())

    def close(self):
        self.sock.close()


class Rig:
    """One router and one engine. `self.wants` are the attempts that have come to the engine, in order."""

    def __init__(
        self, system=SYSTEM_CALLS, backlog=64, sockets=128, table=None, clock=None, time_by_turns=False
    ):
        """`time_by_turns`: the router's time goes on by TURN_TIME with each turn and by pass_time, never by
        itself, so that a pause of the machine changes nothing."""
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.setblocking(False)
        self.door = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.door.getsockname()
        table = table or deployment.table(sockets=sockets)
        table["settings"]["limits"]["probes"] = False
        self.configuration = config.parse_configuration(table, {})
        self.log, self.system = Kept(), system
        self.ahead = 0  # nanoseconds by which this router's time is ahead of the machine's
        self.turn_time, start = (TURN_TIME if time_by_turns else 0), time.monotonic_ns()
        self.clock = clock or Clock(lambda: (start if time_by_turns else time.monotonic_ns()) + self.ahead)
        self.service = Service(self.configuration, self.log, poller=Poller(system), clock=self.clock)
        self.service.attach_tasks(None)
        self.service.door.open(self.door)
        self.service.lifecycle.enter(Phase.SERVING)
        self.talks, self.wants, self.clients = [], [], []
        self.fields = {}  # of each attempt that came to the engine
        self.serving = True
        self.list(1)

    def list(self, number, state=EndpointState.READY, started=0, engine=1, port=None):
        listing = Listing(engine, 0, 0, 0, started, state, 1.0)
        port = port or self.listener.getsockname()[1]
        self.service.endpoint_updates.on_watch_event(
            WatchEvent(number, "Partial", (Endpoint(listing, "127.0.0.1", port),))
        )

    def client(self, data=LOGIN):
        client = Client(self)
        self.clients.append(client)
        client.write(data)
        return client

    def engine(self):
        """The engine's turn: takes connections, reads, and serves what it is asked unless told not to."""
        with suppress(BlockingIOError):
            while True:
                self.talks.append(Talk(self.listener.accept()[0]))
        for talk in [talk for talk in self.talks if talk.sock.fileno() >= 0]:
            for verb, words, statement in talk.commands():
                if verb == "want":
                    self.wants.append(words[0])
                    self.fields[words[0]] = dict(pair.split("=") for pair in words[1].split(","))
                    assert statement == SELECT.encode()
                    if self.serving:
                        with suppress(ConnectionError):
                            talk.serve(words[0])

    def pass_time(self, seconds):
        """The router's clock goes on by so much at once."""
        self.ahead += int(seconds * 1e9)

    def pass_turn_time(self):
        """The time of one turn goes by, where the router's time goes on by turns."""
        self.ahead += self.turn_time

    def turn(self, rounds=1):
        for _ in range(rounds):
            self.pass_turn_time()
            self.service.event_loop.round()
            self.engine()

    def until(self, done):
        end = time.monotonic() + WAIT
        while not done():
            assert time.monotonic() < end, "nothing came of it"
            self.turn()
            self.service.door.sweep()
            time.sleep(0.0005)

    def connected(self):
        """A connection to the engine is up, and one client is logged in."""
        patience = self.configuration.settings.groups[0].queue_timeout // MILLISECOND
        client = self.client(LOGIN + query(0xFFFF, patience=patience))
        self.until(lambda: client.answers() == ["served"])
        self.wants.clear()
        return client

    def closing(self, end):
        self.service.handle(events.ShutdownStarted(end))

    def close(self):
        for thing in (*self.clients, *self.talks, self.listener):
            thing.close()
        self.service.door.close()
        for client in list(self.service.door.clients.values()):
            client.pipe.close()
        for link in list(self.service.links.links.values()):
            self.service.links.hang_up(link.number)
        self.service.poller.epoll.close()
