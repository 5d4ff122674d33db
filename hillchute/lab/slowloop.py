"""Deterministic simulation of a router under CPU overload; each seed gives one run.

The service, the MySQL front end, the engine connections, the reducer and the scheduler are the real ones. The
kernel, the clients, the engines and the clock are simulated. Each system call and each event takes simulated
time, so that the offered load can exceed what the event loop can do, and stalls stop the process at random
points. After a run, rules 1, 2 and 5 are checked on the data that crossed the sockets. Uses no real socket,
no real clock and no unseeded random number.

    python -m hillchute lab slowloop --seeds 200
"""

import errno
import random
import struct
from collections import Counter, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

import anyio
import anyio.lowlevel

from hillchute.fronts.mysql import packets
from hillchute.lab import deployment
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.net.poller import ReadySocket
from hillchute.net.system_calls import SystemCalls
from hillchute.router import config, events
from hillchute.router.effects import SendCommand
from hillchute.router.lifecycle import Phase
from hillchute.router.service import Service
from hillchute.router.shutdown import ShutdownStep

START = 17_000_000_000_000  # tenths of a millisecond on the Unix clock
# CPU time of a system call, of reading a query, of any other event, and of submitting a query to an engine.
SYSTEM_CALL_US, QUERY_US, EVENT_US, SUBMISSION_US = 15, 180, 450, 450
# Times without a unit in their names are in tenths of a millisecond.
LOAD_DURATION = 5_000  # clients send queries for this long
STALLS = (600, 2_000, 6_000)  # lengths of stalls of the process
NETWORK_DELAY = 3  # one way
# Least time between two queries of one ordering key, after one on an open and after one on a new connection.
KEY_INTERVAL_US, KEY_INTERVAL_NEW_CONNECTION_US = 62_000, 252_000
MAX_CLIENT_TIMEOUT = 30_000
HANGING_RUN_SHARE = 0.05  # fraction of the runs on engines that never end
# SIGKILL follows SIGTERM after the longest queue timeout (at most 3 s) and this margin.
SIGKILL_MARGIN = 7_000
# After SIGTERM clients open connections for the first of these times, then use only open ones for the second.
NEW_CONNECTIONS_AFTER_SIGTERM, QUERIES_AFTER_SIGTERM = 3_000, 2_000
# An attempt may still start this long after its client has disconnected.
MAX_START_DELAY_AFTER_DISCONNECT_US = 100_000
TOLERANCE = 500  # the protocol's tolerance on each time limit
QUERY_TEXT = (
    "/* route={group},trace={id},patience={patience},weight=20.0,mb=1{more} */ SELECT 1 FROM sales_{key}.t"
)
LOGIN = struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0"


def packet(number: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3, "little") + bytes([number]) + payload


def would_block() -> BlockingIOError:
    return BlockingIOError(errno.EAGAIN, "would block")


class SimulatedKernel:
    """The clock, the queue of future events and the readiness of sockets."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_us = START * 100
        # A heap of (time in µs, sequence number, function, arguments).
        self.event_queue: list[tuple[int, int, object, tuple]] = []
        self.event_count = 0
        self.ready: dict[SimulatedSocket, None] = {}  # sockets in the order in which they became ready
        self.stalls: list[tuple[int, int]] = []  # future stalls: (time, duration) in µs
        self.past_stalls: list[tuple[int, int]] = []

    def clock(self) -> Clock:
        """Return the simulated time as the router's clock."""
        return Clock(lambda: self.now_us * 1_000, lambda: self.now_us * 1_000)

    def spend(self, us: int) -> None:
        """Advance the clock by CPU time and by the stalls that begin in it."""
        self.now_us += us
        while self.stalls and self.stalls[0][0] <= self.now_us:
            _, length = self.stalls.pop(0)
            self.past_stalls.append((self.now_us, length))
            self.now_us += length

    def call_at(self, us: int, call, *values) -> None:
        """Schedule `call(us, *values)` at an absolute time in µs."""
        self.event_count += 1
        heappush(self.event_queue, (us, self.event_count, call, values))

    def run_due_events(self) -> None:
        """Run the events that were due until now."""
        while self.event_queue and self.event_queue[0][0] <= self.now_us:
            when, _, call, values = heappop(self.event_queue)
            call(when, *values)


class SimulatedSocket:
    """The router's side of a connection."""

    numbers = 0

    def __init__(self, world: SimulatedKernel, peer) -> None:
        SimulatedSocket.numbers += 1
        self.number, self.world, self.peer = SimulatedSocket.numbers, world, peer
        self.inbox, self.last_received, self.opened_at = bytearray(), world.now_us, world.now_us
        self.ended = self.closed = self.shut_down = self.accepted = False

    def deliver(self, when: int, data: bytes) -> None:
        if self.closed:
            self.peer.on_reset(when)
            return
        self.last_received = when
        self.inbox += data
        self.world.ready[self] = None

    def end_of_stream(self, when: int) -> None:
        self.ended = True
        self.world.ready[self] = None

    def recv(self, size: int, flags: int = 0) -> bytes:
        self.world.spend(SYSTEM_CALL_US)
        if not self.inbox and not self.ended:
            raise would_block()
        data = bytes(self.inbox[:size])
        if not flags:
            del self.inbox[:size]
        return data

    def send(self, data: bytes) -> int:
        self.world.call_at(self.world.now_us + NETWORK_DELAY * 100, self.peer.receive, bytes(data))
        self.world.spend(SYSTEM_CALL_US)  # a stall can begin before the call or after it
        return len(data)

    def getsockopt(self, *_) -> bytes:
        self.world.spend(SYSTEM_CALL_US)
        ms_since_send, ms_since_receive = (
            (self.world.now_us - t) // 1000 for t in (self.opened_at, self.last_received)
        )
        return struct.pack("=44xI4xI8x", ms_since_send, ms_since_receive)

    def shutdown(self, _) -> None:
        self.shut_down = True
        self.world.call_at(self.world.now_us + NETWORK_DELAY * 100, self.peer.on_close)

    def close(self) -> None:
        self.closed = True
        self.world.ready.pop(self, None)
        self.world.call_at(self.world.now_us, self.peer.on_reset if self.inbox else self.peer.on_close)

    def fileno(self) -> int:
        return -1 if self.closed else self.number

    def setblocking(self, _) -> None:
        pass

    setsockopt = lambda self, *_: None  # noqa: E731


class ListeningSocket(SimulatedSocket):
    """The router's listening socket with its backlog."""

    def __init__(self, world: SimulatedKernel) -> None:
        super().__init__(world, None)
        self.waiting: deque[SimulatedSocket] = deque()

    def add_connection(self, when: int, client: "Client") -> None:
        if self.closed:
            client.on_reset(when)
            return
        client.sock = sock = SimulatedSocket(self.world, client)
        sock.opened_at = sock.last_received = when
        self.waiting.append(sock)
        self.world.ready[self] = None
        client.on_connected(when)

    def accept(self) -> tuple[SimulatedSocket, None]:
        self.world.spend(4 * SYSTEM_CALL_US)
        if not self.waiting:
            self.world.ready.pop(self, None)
            raise would_block()
        sock = self.waiting.popleft()
        sock.accepted = True
        return sock, None

    def close(self) -> None:
        self.closed = True
        for sock in self.waiting:
            sock.peer.on_reset(self.world.now_us)


class SimulatedSystemCalls(SystemCalls):
    """Connects to engines at once; all other calls go to the simulated sockets unchanged."""

    def __init__(self, simulation: "OverloadSimulation") -> None:
        self.simulation = simulation

    def open_stream(self, family: int) -> SimulatedSocket:
        engine = Engine(self.simulation)
        engine.sock = SimulatedSocket(self.simulation.world, engine)
        return engine.sock

    def connect(self, sock: SimulatedSocket, address: tuple[str, int]) -> None:
        pass


class SimulatedPoller:
    """Replaces epoll: reports ready sockets in the order in which they became ready."""

    def __init__(self, simulation: "OverloadSimulation") -> None:
        self.world, self.owners, self.system = simulation.world, {}, SimulatedSystemCalls(simulation)

    def add(self, sock: SimulatedSocket, owner, writing: bool = False) -> None:
        self.owners[sock.number] = owner

    def watch_writing(self, sock: SimulatedSocket, on: bool) -> None:
        raise AssertionError("simulated sockets accept all bytes of a send")

    def watch_reading(self, sock: SimulatedSocket, on: bool) -> None:
        pass

    def resume(self) -> None:
        pass

    def remove(self, sock: SimulatedSocket) -> None:
        self.owners.pop(sock.number, None)

    def poll(self) -> list[ReadySocket]:
        self.world.spend(SYSTEM_CALL_US)
        self.world.run_due_events()
        ready = [s for s in self.world.ready if s.inbox or s.ended or getattr(s, "waiting", None)]
        self.world.ready = dict.fromkeys(ready)
        return [
            ReadySocket(self.owners[s.number], True, False, s.ended) for s in ready if s.number in self.owners
        ]


@dataclass
class SimulatedQuery:
    """One query with its client's view of it; times in tenths of a millisecond."""

    id: str
    group: str
    patience: int
    key: str | None
    needs_new_connection: bool | None = None  # whether it needs a new connection or an open one; None: either
    sent: int | None = None
    answers: list[tuple[int, str]] = field(default_factory=list)
    excluded: bool = False  # not checked: its connection closed while it was in transit, or never opened
    abandoned: bool = False  # its client has disconnected
    left_at: int | None = None  # time of the disconnect, in µs


class Client:
    """A client's connection. Sends its first query along with the login, and one further query at a time."""

    def __init__(self, simulation: "OverloadSimulation") -> None:
        self.simulation, self.sock, self.in_flight, self.closed = simulation, None, [], False
        self.buffer, self.state, self.eof_packets = bytearray(), "greeting", 0
        self.first: SimulatedQuery | None = None

    def on_connected(self, when: int) -> None:
        self.write(when, packet(1, LOGIN), self.first)

    def write(self, when: int, prefix: bytes, query: SimulatedQuery) -> None:
        query.sent = -(-when // 100)
        self.in_flight.append(query)
        text = QUERY_TEXT.format(
            group=query.group,
            id=query.id,
            patience=query.patience // 10,
            key=int(query.key, 16) if query.key else 1,
            more=f",nonce={query.id},entity={query.key}" if query.key else "",
        )
        self.sock.deliver(when, prefix + packet(0, b"\x03" + text.encode()))

    def send_query(self, when: int, query: SimulatedQuery) -> None:
        """Send a further query on this connection, or on a new one if this one is closed or busy."""
        if self.closed or self.in_flight or self.state != "idle":
            self.simulation.open_connection(when, query)
        else:
            self.state = "result"
            self.write(when, b"", query)

    def disconnect(self, when: int) -> None:
        for query in self.in_flight:
            query.abandoned, query.left_at = True, when
        if self.sock and not self.sock.closed:
            self.sock.end_of_stream(when)
        self.closed = True

    def receive(self, when: int, data: bytes) -> None:
        if self.closed:
            return
        self.buffer += data
        while len(self.buffer) >= 4:
            size = int.from_bytes(self.buffer[:3], "little")
            if len(self.buffer) < 4 + size:
                break
            payload = bytes(self.buffer[4 : 4 + size])
            del self.buffer[: 4 + size]
            self.handle_packet(when, payload)

    def handle_packet(self, when: int, payload: bytes) -> None:
        if payload[:1] == b"\xff":
            number = int.from_bytes(payload[1:3], "little")
            rejected = number == packets.REFUSED[0]
            self.on_answer(when, "deferred" if rejected else "killed")
        elif self.state == "greeting":
            self.state = "login"
        elif self.state == "login":
            self.state = "result" if self.in_flight else "idle"
        elif payload == packets.EOF:
            self.eof_packets += 1
            if self.eof_packets == 2:
                self.on_answer(when, "finished")

    def on_answer(self, when: int, outcome: str) -> None:
        self.eof_packets, self.state = 0, "idle"
        if not self.in_flight and self.first is None:
            return  # the router rejected a connection that sends nothing
        if not self.in_flight:
            self.simulation.violations.append(f"answer without a query: {outcome}")
            return
        query = self.in_flight.pop(0)
        query.answers.append((-(-when // 100), outcome))

    def on_reset(self, when: int) -> None:
        self.simulation.resets += bool(self.in_flight)
        self.on_close(when)

    def on_close(self, when: int) -> None:
        """The router closed the connection; queries that were sent within the last 50 ms are not checked."""
        if self.closed:
            return
        self.closed = True
        # By the protocol, the first query of a connection that is accepted and then closed without any data
        # needs no answer either.
        closed_unanswered = self.state == "greeting" and self.sock is not None and self.sock.accepted
        for query in self.in_flight:
            if closed_unanswered or when - query.sent * 100 <= 50_000:
                query.excluded = True
        if self.first is not None and self.first.sent is None:
            self.first.excluded = True
        if self.sock and not self.sock.closed:
            self.sock.end_of_stream(when)


class Engine:
    """An engine. Each run takes a random time; starts and ends are recorded by ordering key."""

    def __init__(self, simulation: "OverloadSimulation") -> None:
        self.simulation, self.sock, self.buffer, self.cancelled = simulation, None, b"", set()

    def receive(self, when: int, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n")) >= 0:
            words = self.buffer[:end].decode().split(" ")
            stop = end + 2
            if words[0] == "want":
                stop += int(words[3]) + 2
                if len(self.buffer) < stop:
                    return
                self.start_run(when, words[1])
            elif words[0] == "busy":
                self.send(when + 2_000, f"{words[1]} READY rep=util:0.3;inflight:4 0\r\n\r\n")
            elif words[0] == "never_mind":
                self.cancel_run(when, words[1])
            self.buffer = self.buffer[stop:]

    def start_run(self, when: int, id: str) -> None:
        query = self.simulation.queries[id]
        if query.left_at is not None and when - query.left_at > MAX_START_DELAY_AFTER_DISCONNECT_US:
            self.simulation.violations.append(
                f"{id} started {(when - query.left_at) // 1000} ms after its client had disconnected"
            )
        key = query.key
        if key:
            self.simulation.runs.setdefault(key, []).append((when, "start", id))
        rng = self.simulation.world.rng
        if rng.random() >= HANGING_RUN_SHARE:
            self.simulation.world.call_at(
                when + int(1_000 * rng.choice((20, 40, 80, 300))), self.finish_run, id
            )

    def cancel_run(self, when: int, id: str) -> None:
        self.cancelled.add(id)
        key = self.simulation.queries[id].key
        if key:
            self.simulation.runs[key].append((when, "given up", id))

    def finish_run(self, when: int, id: str) -> None:
        key = self.simulation.queries[id].key
        if id not in self.cancelled:
            if key:
                self.simulation.runs[key].append((when, "end", id))
            self.send(when, f"{id} ACK work=20.0,peak=1.0 8\r\na\tb\t{'c' * 3}\n\r\n")

    def send(self, when: int, text: str) -> None:
        self.simulation.world.call_at(
            when + NETWORK_DELAY * 100, lambda at: self.sock.deliver(at, text.encode())
        )

    def on_close(self, when: int) -> None:
        pass

    on_reset = on_close


class OverloadSimulation:
    """One simulation run.

    Clients offer `load_factor` times the load that the event loop can handle. Traffic, stalls and the time of
    SIGTERM (if `with_sigterm`) are drawn from the seed.
    """

    def __init__(self, seed: int, load_factor: float = 3.0, with_sigterm: bool = True) -> None:
        self.world = SimulatedKernel(seed)
        self.queries: dict[str, SimulatedQuery] = {}
        self.runs: dict[str, list] = {}
        self.violations: list[str] = []
        self.resets = 0
        self.clients: list[Client] = []
        self.configuration = config.parse_configuration(
            deployment.make_configuration(engines=4, sockets=256), {}
        )
        clock = self.world.clock()
        self.service = Service(self.configuration, Log("rig", -1), poller=SimulatedPoller(self), clock=clock)
        self.listener = ListeningSocket(self.world)
        self.service.mysql_frontend.open(self.listener)
        self.sigterm_at: int | None = None
        self.exited_at: int | None = None
        self.query_delays: list[int] = []
        self.schedule_traffic(load_factor, with_sigterm)
        self.charge_costs()

    def charge_costs(self) -> None:
        """Make each event of the reducer take its simulated CPU time, and record the delays of queries."""
        world, reduce = self.world, self.service.reducer.reduce
        record_query_delay = self.service.reducer.loop_lag.record_query_delay

        def reduce_at_cost(event, now):
            effects = reduce(event, now)
            world.spend(EVENT_US if type(event) is not events.QueryReceived else QUERY_US)
            world.spend(SUBMISSION_US * sum(isinstance(e, SendCommand) for e in effects))
            return effects

        def record_delay(now, delay):
            self.query_delays.append(delay)
            record_query_delay(now, delay)

        self.service.reducer.reduce = reduce_at_cost
        self.service.reducer.loop_lag.record_query_delay = record_delay

    # ---- traffic ----------------------------------------------------------------------------------

    def schedule_traffic(self, load_factor: float, with_sigterm: bool) -> None:
        rng, start = self.world.rng, self.world.now_us
        capacity = 1e6 / (QUERY_US + 2 * EVENT_US + SUBMISSION_US + 12 * SYSTEM_CALL_US)
        count = int(load_factor * capacity * LOAD_DURATION / 10_000)
        at = 0.0
        key_free_at: dict[str, int] = {}
        for n in range(count):
            at += rng.expovariate(count / LOAD_DURATION)
            when = start + int(at * 100)
            id = f"{n:016x}"
            group = rng.choices(("lookup", "report", "event-load"), (75, 10, 15))[0]
            key = new_connection = None
            if group == "event-load":
                free_keys = [f"{k:016x}" for k in range(1, 20) if key_free_at.get(f"{k:016x}", 0) <= when]
                if not free_keys:
                    continue
                key = rng.choice(free_keys)
                new_connection = rng.random() < 0.3
                key_free_at[key] = when + (
                    KEY_INTERVAL_NEW_CONNECTION_US if new_connection else KEY_INTERVAL_US
                )
            patience = int(rng.choice((1_400, 2_000, 3_000))) * 10
            query = self.queries[id] = SimulatedQuery(
                id, group, patience, key, needs_new_connection=new_connection
            )
            self.world.call_at(when, self.send_query, query)
        for _ in range(rng.choice((0, 1, 2))):
            self.world.call_at(
                start + int(rng.uniform(0, LOAD_DURATION) * 100),
                self.open_silent_connections,
                rng.randint(20, 150),
            )
        when = start + int(rng.uniform(0, LOAD_DURATION) * 100)
        while when < start + (LOAD_DURATION + MAX_CLIENT_TIMEOUT) * 100:
            self.world.stalls.append((when, rng.choice(STALLS) * 100))
            when += int(rng.uniform(1.2, 3) * max(STALLS) * 100)
        if with_sigterm:
            self.world.call_at(start + int(rng.uniform(0.1, 1.2) * LOAD_DURATION * 100), self.terminate)

    def send_query(self, when: int, query: SimulatedQuery) -> None:
        """Send a query, mostly on an open connection, else on a new one; drop it if neither is possible."""
        since_sigterm = None if self.sigterm_at is None else when - self.sigterm_at
        if (
            since_sigterm is not None
            and since_sigterm > (NEW_CONNECTIONS_AFTER_SIGTERM + QUERIES_AFTER_SIGTERM) * 100
        ):
            del self.queries[query.id]
            return
        idle = [c for c in self.clients if not c.closed and not c.in_flight and c.state == "idle"]
        new = (
            self.world.rng.random() < 0.2
            if query.needs_new_connection is None
            else query.needs_new_connection
        )
        if idle and not new:
            self.world.rng.choice(idle).send_query(when, query)
        elif query.needs_new_connection is not False and (
            since_sigterm is None or since_sigterm <= NEW_CONNECTIONS_AFTER_SIGTERM * 100
        ):
            self.open_connection(when, query)
        else:
            del self.queries[query.id]
        if self.world.rng.random() < 0.01 and self.clients:
            self.world.rng.choice(self.clients).disconnect(when)

    def open_connection(self, when: int, query: SimulatedQuery) -> None:
        client = Client(self)
        client.first = query
        self.clients = [c for c in self.clients if not c.closed]
        self.clients.append(client)
        self.listener.add_connection(when, client)

    def open_silent_connections(self, when: int, count: int) -> None:
        """Open many connections at once that send nothing."""
        for _ in range(count):
            client = Client(self)
            client.on_connected = lambda when: None
            self.listener.add_connection(when, client)

    def terminate(self, when: int) -> None:
        """Send SIGTERM; the router handles it in the next round of its event loop."""
        self.sigterm_at = when

    # ---- run --------------------------------------------------------------------------------------

    async def play(self) -> "OverloadSimulation":
        """Run the simulation and check the rules; return self."""
        service, world = self.service, self.world
        async with anyio.create_task_group() as tasks:
            service.attach_tasks(tasks)
            for watch_event in self.configuration.initial_watch_events:
                service.handle(events.EndpointsChanged(watch_event))
            service.lifecycle.enter(Phase.SERVING)
            last_sweep = world.now_us
            while self.exited_at is None:
                await anyio.lowlevel.checkpoint()
                if self.sigterm_at is not None and service.shutdown.schedule is None:
                    service.lifecycle.enter(Phase.CLOSING)
                    service.shutdown.begin()
                if service.shutdown.schedule is None:
                    service.event_loop.round()
                elif service.shutdown.advance() is ShutdownStep.EXIT:
                    self.exited_at = world.now_us
                if world.now_us - last_sweep >= 100_000:
                    last_sweep = world.now_us
                    service.mysql_frontend.sweep()
                if service.rounds.idle and not world.ready:
                    self.advance_clock()
                if (
                    service.shutdown.schedule is None
                    and world.now_us - START * 100 > LOAD_DURATION * 100 * 12
                ):
                    break
            tasks.cancel_scope.cancel()
        self.check()
        return self

    def advance_clock(self) -> None:
        """Advance the clock to the next event or alarm, by 10 ms at most."""
        world = self.world
        times = [world.now_us + 10_000]
        if world.event_queue:
            times.append(world.event_queue[0][0])
        if self.service.alarm.due_at is not None:
            times.append(self.service.alarm.due_at * 100)
        world.now_us = max(world.now_us, min(times))

    # ---- checks -----------------------------------------------------------------------------------

    def check(self) -> None:
        """Check rules 1 and 2 for every query that was received completely, and rule 5 for every key."""
        for query in self.queries.values():
            if query.sent is None or query.abandoned or query.excluded:
                continue
            latest = query.sent + query.patience + TOLERANCE
            if len(query.answers) != 1:
                self.violations.append(f"{query.id} {query.group} got {len(query.answers)} answers")
            elif query.answers[0][0] > latest:
                self.violations.append(
                    f"{query.id} {query.group} answered "
                    f"{query.answers[0][0] - latest} tenths of a ms too late"
                )
        if self.sigterm_at is not None and self.exited_at is not None:
            shutdown_time = (self.exited_at - self.sigterm_at) // 100
            if shutdown_time > self.configuration.max_shutdown_time + SIGKILL_MARGIN:
                self.violations.append(f"the shutdown took {shutdown_time} tenths of a ms")
        for key, history in self.runs.items():
            self.check_key(key, sorted(history))

    def check_key(self, key: str, history: list[tuple[int, str, str]]) -> None:
        running: set[str] = set()
        started: list[str] = []
        pause_until = 0
        for when, event, id in history:
            if event != "start":
                running.discard(id)
                if event == "given up":
                    pause_until = when + self.configuration.settings.retries.order_pause * 100
                continue
            if when < pause_until - TOLERANCE * 100:
                self.violations.append(
                    f"key {key}: {id} started "
                    f"{(pause_until - when) // 100} tenths of a ms before the end of a pause"
                )
            if running:
                self.violations.append(f"key {key}: {id} started while {sorted(running)} ran")
            if id in started:
                self.violations.append(f"key {key}: {id} ran twice")
            if started and self.queries[id].sent < self.queries[started[-1]].sent:
                self.violations.append(f"key {key}: {id} ran after a later one")
            running.add(id)
            started.append(id)

    def summary(self) -> Counter:
        """Return the number of queries by outcome."""
        return Counter(query.answers[0][1] for query in self.queries.values() if query.answers)


def play(seed: int, **known) -> OverloadSimulation:
    """Run the simulation of a seed; the finished OverloadSimulation has the results."""
    return anyio.run(OverloadSimulation(seed, **known).play)
