"""A router on real sockets whose event loop is stepped by the test, with clients and an engine in one thread.

Nothing runs between two calls of run_rounds(), so a test decides the order of events and can make two of them
arrive in the same round.
"""

import socket
import struct
import time
from contextlib import suppress

from hillchute.decision.interface import EndpointEntry, EndpointState
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

MILLISECOND = 10  # in the router's time unit, 0.1 ms
DEFAULT_CLIENT_TIMEOUT_MS = 3_000
WAIT_SECONDS = 10.0  # run_until() fails after this time
ROUND_NS = 500_000  # by which the router's clock advances each round where `clock_advances_by_rounds` is set
SELECT = "SELECT 1 FROM sales_17.orders"


def limit_deadlines(max_ms, table):
    """Limits all deadlines of a platform configuration to `max_ms`; changes the table in place.

    The first resource group's deadline becomes exactly `max_ms`.
    """
    for group in table["settings"]["classes"]:
        group["deadline_ns"] = min(max_ms, group["deadline_ns"] // 10**6) * 10**6
        group["goal_time_ns"] = min(group["goal_time_ns"], group["deadline_ns"])
    table["settings"]["classes"][0]["deadline_ns"] = max_ms * 10**6
    return table


def packet(number, payload):
    """Returns a MySQL packet with the given sequence number."""
    return len(payload).to_bytes(3, "little") + bytes([number]) + payload


LOGIN = packet(1, struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0")
QUIT = packet(0, b"\x01")
PING = packet(0, b"\x0e")


def query(id, route="lookup", patience=DEFAULT_CLIENT_TIMEOUT_MS, **fields):
    """Returns a COM_QUERY packet whose comment carries the statement's fields; `patience` is in ms."""
    extra = "".join(f",{name}={value}" for name, value in fields.items())
    text = f"/* route={route},trace={id:016x},patience={patience},weight=20.0,mb=1{extra} */ {SELECT}"
    return packet(0, b"\x03" + text.encode())


def tcp_info(received_ms_ago=0):
    """Returns the kernel's struct tcp_info for a connection that last received bytes so long ago."""
    return TCP_INFO.pack(0, received_ms_ago).ljust(TCP_INFO_SIZE, b"\0")


class ZeroIdleTimeSystemCalls(SystemCalls):
    """System calls where each connection has received bytes just now.

    The kernel counts idle times by the machine's clock, which may differ from the router's clock in a test.
    """

    def tcp_info(self, sock):
        return tcp_info()


class SignalReceiverStandIn:
    """Stand-in for anyio's signal receiver: delivers the given signals in order and ends."""

    def __init__(self, *numbers):
        self.numbers = numbers

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    async def __aiter__(self):
        for number in self.numbers:
            yield number


class RecordingLog(Log):
    """A log that keeps its lines in memory as pairs of event and fields."""

    def __init__(self):
        super().__init__("n1", -1)
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def faults(self):
        """Returns the fields of the fault lines that have a trace."""
        return [fields for event, fields in self.lines if event == "fault" and "trace" in fields]


class Client:
    """A MySQL client's side of one connection to the router."""

    def __init__(self, rig):
        self.rig, self.received, self.closed_by_peer, self.was_reset = rig, b"", False, False
        self.sock = socket.create_connection(rig.address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)

    def write(self, data):
        self.sock.sendall(data)

    def read_payloads(self):
        """Reads what has arrived without waiting; returns the payloads of all complete packets so far."""
        with suppress(BlockingIOError):
            try:
                while data := self.sock.recv(65_536):
                    self.received += data
                self.closed_by_peer = True
            except ConnectionError:
                self.closed_by_peer = self.was_reset = True
        return self.payloads()

    def payloads(self):
        payloads, rest = [], self.received
        while len(rest) >= 4 and len(rest) >= 4 + int.from_bytes(rest[:3], "little"):
            size = int.from_bytes(rest[:3], "little")
            payloads.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        return payloads

    def answers(self):
        """Returns the answers to queries so far: "served" for a result set, else the number of the error.

        A result set has two EOF packets: after its columns and after its rows. OK packets are not listed.
        """
        answers, eof_packets = [], 0
        for payload in self.read_payloads()[1:]:  # the first packet is the greeting
            if payload[:1] == b"\xff":
                answers.append(int.from_bytes(payload[1:3], "little"))
            elif payload == packets.EOF:
                eof_packets += 1
                if eof_packets % 2 == 0:
                    answers.append("served")
        return answers

    def reset(self):
        """Closes the connection with RST instead of FIN."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self):
        self.sock.close()


class EngineConnection:
    """The engine's side of one connection of the line protocol."""

    def __init__(self, sock):
        sock.setblocking(False)
        self.sock, self.unparsed, self.closed_by_peer = sock, b"", False

    def commands(self):
        """Returns the complete commands since the last call, each as (verb, words, statement)."""
        with suppress(BlockingIOError):
            try:
                while data := self.sock.recv(65_536):
                    self.unparsed += data
                self.closed_by_peer = True
            except ConnectionError:
                self.closed_by_peer = True
        commands = []
        while (line_end := self.unparsed.find(b"\r\n")) >= 0:
            verb, *words = self.unparsed[:line_end].decode().split(" ")
            command_end = line_end + 2
            statement = b""
            if verb == "want":
                statement = self.unparsed[command_end : command_end + int(words[2])]
                command_end += int(words[2]) + 2
                if len(self.unparsed) < command_end:
                    break
            self.unparsed = self.unparsed[command_end:]
            commands.append((verb, words, statement))
        return commands

    def serve(self, id):
        """Answers an attempt with a result of one row."""
        self.sock.sendall(f"{id} ACK work=20.0,peak=1.0 8\r\na\tb\tccc\n\r\n".encode())

    def close(self):
        self.sock.close()


class RouterHarness:
    """One router and one engine.

    `self.received_attempts` has the ids of the attempts the engine received, in order.
    """

    def __init__(
        self,
        system=SYSTEM_CALLS,
        backlog=64,
        sockets=128,
        table=None,
        clock=None,
        clock_advances_by_rounds=False,
    ):
        """Starts the router's service and lists the engine as endpoint 1.

        With `clock_advances_by_rounds` the router's clock advances only by ROUND_NS each round and by
        advance_clock, so that a pause of the machine does not affect the test.
        """
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.setblocking(False)
        self.client_listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.client_listener.getsockname()
        table = table or deployment.make_configuration(sockets=sockets)
        table["settings"]["limits"]["probes"] = False
        self.configuration = config.parse_configuration(table, {})
        self.log, self.system = RecordingLog(), system
        self.clock_offset_ns = 0  # nanoseconds by which the router's clock is ahead of its base clock
        self.round_ns, start = (ROUND_NS if clock_advances_by_rounds else 0), time.monotonic_ns()
        self.clock = clock or Clock(
            lambda: (start if clock_advances_by_rounds else time.monotonic_ns()) + self.clock_offset_ns
        )
        self.service = Service(self.configuration, self.log, poller=Poller(system), clock=self.clock)
        self.service.attach_tasks(None)
        self.service.mysql_frontend.open(self.client_listener)
        self.service.lifecycle.enter(Phase.SERVING)
        self.engine_connections, self.received_attempts, self.clients = [], [], []
        self.attempt_fields = {}  # by attempt id: the fields of the command that started it
        self.answers_at_once = True  # the engine answers each attempt as soon as it reads it
        self.list_engine(1)

    def list_engine(self, offset, state=EndpointState.READY, started=0, engine=1, port=None):
        """Delivers a partial endpoint list with one engine to the router, as the watch event at `offset`."""
        entry = EndpointEntry(engine, 0, 0, 0, started, state, 1.0)
        port = port or self.listener.getsockname()[1]
        self.service.endpoint_updates.on_watch_event(
            WatchEvent(offset, "Partial", (Endpoint(entry, "127.0.0.1", port),))
        )

    def connect_client(self, data=LOGIN):
        """Connects a client, which writes `data` at once."""
        client = Client(self)
        self.clients.append(client)
        client.write(data)
        return client

    def run_engine(self):
        """Runs the engine once: accepts connections and reads commands.

        Answers attempts if `self.answers_at_once`.
        """
        with suppress(BlockingIOError):
            while True:
                self.engine_connections.append(EngineConnection(self.listener.accept()[0]))
        for connection in [
            connection for connection in self.engine_connections if connection.sock.fileno() >= 0
        ]:
            for verb, words, statement in connection.commands():
                if verb == "want":
                    self.received_attempts.append(words[0])
                    self.attempt_fields[words[0]] = dict(pair.split("=") for pair in words[1].split(","))
                    assert statement == SELECT.encode()
                    if self.answers_at_once:
                        with suppress(ConnectionError):
                            connection.serve(words[0])

    def advance_clock(self, seconds):
        """Advances the router's clock by `seconds`."""
        self.clock_offset_ns += int(seconds * 1e9)

    def advance_clock_one_round(self):
        """Advances the router's clock by one round's time, which is 0 without `clock_advances_by_rounds`."""
        self.clock_offset_ns += self.round_ns

    def run_rounds(self, rounds=1):
        """Runs the event loop and then the engine, `rounds` times."""
        for _ in range(rounds):
            self.advance_clock_one_round()
            self.service.event_loop.round()
            self.run_engine()

    def run_until(self, done):
        """Runs rounds until `done()` holds; fails after WAIT_SECONDS."""
        end = time.monotonic() + WAIT_SECONDS
        while not done():
            assert time.monotonic() < end, f"condition not met within {WAIT_SECONDS} s"
            self.run_rounds()
            self.service.mysql_frontend.sweep()
            time.sleep(0.0005)

    def client_after_served_query(self):
        """Returns a logged-in client after one served query, so that a connection to the engine is open.

        That query is not listed in `self.received_attempts`.
        """
        client_timeout_ms = self.configuration.settings.groups[0].queue_timeout // MILLISECOND
        client = self.connect_client(LOGIN + query(0xFFFF, patience=client_timeout_ms))
        self.run_until(lambda: client.answers() == ["served"])
        self.received_attempts.clear()
        return client

    def start_shutdown(self, end):
        """Starts the graceful shutdown, in which each query must be answered by time `end`."""
        self.service.handle(events.ShutdownStarted(end))

    def close(self):
        for resource in (*self.clients, *self.engine_connections, self.listener):
            resource.close()
        self.service.mysql_frontend.close()
        for client in list(self.service.mysql_frontend.clients.values()):
            client.buffered_socket.close()
        for link in list(self.service.links.connections.values()):
            self.service.links.close_connection(link.number)
        self.service.poller.epoll.close()
