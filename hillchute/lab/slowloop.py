"""A router whose core is full, under a clock and sockets that are not real: one seed, one run.

The real service, door, links, reducer and module run here; only the kernel, the clients, the engines and the
time are played. Every call of the kernel and every event costs played time, so that more can be offered than
the loop carries, and stalls stop the clock's owner at any point. Owns that world and the check of rules 1, 2
and 5 on what crossed the sockets. Must never use a real socket, a real clock or a random number without seed.

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
CALL, PARSE, EVENT, SEND = 15, 180, 450, 450  # microseconds: a kernel call, a read, an event, a submission
LENGTH = 5_000  # of the load, in tenths of a millisecond
STALLS = (600, 2_000, 6_000)
NET = 3  # one way between client and router
NEAR, FAR = 62_000, 252_000  # µs between queries of one key, on an open and after one on a new connection
LONGEST = 30_000  # the longest patience of a client
HANGS = 0.05  # share of what engines run that never ends
KILL_AFTER = 7_000  # SIGKILL: the longest queue timeout (3 s at most) and so much after SIGTERM
COMING, ON_OPEN = 3_000, 2_000  # after SIGTERM new connections come so long, then queries on open ones
DEPARTED = 100_000  # µs after its client left in which an attempt may still begin
TOLERANCE = 500  # the protocol's, on each time limit
TEXT = "/* route={group},trace={id},patience={patience},weight=20.0,mb=1{more} */ SELECT 1 FROM sales_{key}.t"
LOGIN = struct.pack("<IIB23x", 0x8 | 0x200 | 0x8000, 1 << 24, 45) + b"app\0\0lake\0"


def packet(number: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3, "little") + bytes([number]) + payload


def would_block() -> BlockingIOError:
    return BlockingIOError(errno.EAGAIN, "would block")


class World:
    """The clock, what comes when, and the kernel's side of every socket."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.us = START * 100
        self.coming: list[tuple[int, int, object, tuple]] = []  # heap of (time in µs, order, call, values)
        self.count = 0
        self.ready: dict[Sock, None] = {}  # in the order in which they became ready
        self.stalls: list[tuple[int, int]] = []  # (when, how long) in µs
        self.stalled: list[tuple[int, int]] = []

    def time(self) -> Clock:
        """The played time as the router's clock."""
        return Clock(lambda: self.us * 1_000, lambda: self.us * 1_000)

    def spend(self, us: int) -> None:
        self.us += us
        while self.stalls and self.stalls[0][0] <= self.us:
            _, length = self.stalls.pop(0)
            self.stalled.append((self.us, length))
            self.us += length

    def at(self, us: int, call, *values) -> None:
        self.count += 1
        heappush(self.coming, (us, self.count, call, values))

    def pass_time(self) -> None:
        """What was under way until now has come."""
        while self.coming and self.coming[0][0] <= self.us:
            when, _, call, values = heappop(self.coming)
            call(when, *values)


class Sock:
    """The router's side of a connection."""

    numbers = 0

    def __init__(self, world: World, peer) -> None:
        Sock.numbers += 1
        self.number, self.world, self.peer = Sock.numbers, world, peer
        self.inbox, self.last, self.began = bytearray(), world.us, world.us
        self.ended = self.closed = self.shut = self.taken = False

    def came(self, when: int, data: bytes) -> None:
        if self.closed:
            self.peer.reset(when)
            return
        self.last = when
        self.inbox += data
        self.world.ready[self] = None

    def end(self, when: int) -> None:
        self.ended = True
        self.world.ready[self] = None

    def recv(self, size: int, flags: int = 0) -> bytes:
        self.world.spend(CALL)
        if not self.inbox and not self.ended:
            raise would_block()
        data = bytes(self.inbox[:size])
        if not flags:
            del self.inbox[:size]
        return data

    def send(self, data: bytes) -> int:
        self.world.at(self.world.us + NET * 100, self.peer.hear, bytes(data))
        self.world.spend(CALL)  # a stall strikes before the call or after it
        return len(data)

    def getsockopt(self, *_) -> bytes:
        self.world.spend(CALL)
        sent, came = ((self.world.us - t) // 1000 for t in (self.began, self.last))
        return struct.pack("=44xI4xI8x", sent, came)

    def shutdown(self, _) -> None:
        self.shut = True
        self.world.at(self.world.us + NET * 100, self.peer.hung_up)

    def close(self) -> None:
        self.closed = True
        self.world.ready.pop(self, None)
        self.world.at(self.world.us, self.peer.reset if self.inbox else self.peer.hung_up)

    def fileno(self) -> int:
        return -1 if self.closed else self.number

    def setblocking(self, _) -> None:
        pass

    setsockopt = lambda self, *_: None  # noqa: E731


class Listener(Sock):
    def __init__(self, world: World) -> None:
        super().__init__(world, None)
        self.waiting: deque[Sock] = deque()

    def knock(self, when: int, client: "Client") -> None:
        if self.closed:
            client.reset(when)
            return
        client.sock = sock = Sock(self.world, client)
        sock.began = sock.last = when
        self.waiting.append(sock)
        self.world.ready[self] = None
        client.connected(when)

    def accept(self) -> tuple[Sock, None]:
        self.world.spend(4 * CALL)
        if not self.waiting:
            self.world.ready.pop(self, None)
            raise would_block()
        sock = self.waiting.popleft()
        sock.taken = True
        return sock, None

    def close(self) -> None:
        self.closed = True
        for sock in self.waiting:
            sock.peer.reset(self.world.us)


class Calls(SystemCalls):
    """Connections to engines are up at once; everything else goes to the played sockets as it is."""

    def __init__(self, rig: "Rig") -> None:
        self.rig = rig

    def open_stream(self, family: int) -> Sock:
        engine = Engine(self.rig)
        engine.sock = Sock(self.rig.world, engine)
        return engine.sock

    def connect(self, sock: Sock, address: tuple[str, int]) -> None:
        pass


class Poller:
    """In place of the kernel's list: who is ready, in the order in which they became so."""

    def __init__(self, rig: "Rig") -> None:
        self.world, self.owners, self.system = rig.world, {}, Calls(rig)

    def add(self, sock: Sock, owner, writing: bool = False) -> None:
        self.owners[sock.number] = owner

    def watch_writing(self, sock: Sock, on: bool) -> None:
        raise AssertionError("these sockets take all bytes")

    def watch_reading(self, sock: Sock, on: bool) -> None:
        pass

    def resume(self) -> None:
        pass

    def remove(self, sock: Sock) -> None:
        self.owners.pop(sock.number, None)

    def poll(self) -> list[ReadySocket]:
        self.world.spend(CALL)
        self.world.pass_time()
        still = [s for s in self.world.ready if s.inbox or s.ended or getattr(s, "waiting", None)]
        self.world.ready = dict.fromkeys(still)
        return [
            ReadySocket(self.owners[s.number], True, False, s.ended) for s in still if s.number in self.owners
        ]


@dataclass
class Asked:
    """One query as its client knows it; times in tenths of a millisecond."""

    id: str
    group: str
    patience: int
    key: str | None
    fresh: bool | None = None  # on a new connection, or on an open one; None: whichever
    sent: int | None = None
    answers: list[tuple[int, str]] = field(default_factory=list)
    excused: bool = False  # its connection ended while it was on its way, or there was none
    nobody: bool = False  # its client is gone
    left: int | None = None  # when it went, in µs


class Client:
    """One connection of a client: writes its query along with the login, later ones when it is answered."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.sock, self.open, self.over = rig, None, [], False
        self.heard, self.state, self.ends = bytearray(), "greeting", 0
        self.first: Asked | None = None

    def connected(self, when: int) -> None:
        self.write(when, packet(1, LOGIN), self.first)

    def write(self, when: int, ahead: bytes, asked: Asked) -> None:
        asked.sent = -(-when // 100)
        self.open.append(asked)
        text = TEXT.format(
            group=asked.group,
            id=asked.id,
            patience=asked.patience // 10,
            key=int(asked.key, 16) if asked.key else 1,
            more=f",nonce={asked.id},entity={asked.key}" if asked.key else "",
        )
        self.sock.came(when, ahead + packet(0, b"\x03" + text.encode()))

    def ask(self, when: int, asked: Asked) -> None:
        """A further query on this connection; one that is gone or busy sends it on a new one."""
        if self.over or self.open or self.state != "idle":
            self.rig.knock(when, asked)
        else:
            self.state = "result"
            self.write(when, b"", asked)

    def leave(self, when: int) -> None:
        for asked in self.open:
            asked.nobody, asked.left = True, when
        if self.sock and not self.sock.closed:
            self.sock.end(when)
        self.over = True

    def hear(self, when: int, data: bytes) -> None:
        if self.over:
            return
        self.heard += data
        while len(self.heard) >= 4:
            size = int.from_bytes(self.heard[:3], "little")
            if len(self.heard) < 4 + size:
                break
            payload = bytes(self.heard[4 : 4 + size])
            del self.heard[: 4 + size]
            self.packet(when, payload)

    def packet(self, when: int, payload: bytes) -> None:
        if payload[:1] == b"\xff":
            number = int.from_bytes(payload[1:3], "little")
            refused = number == packets.REFUSED[0]
            self.answered(when, "deferred" if refused else "killed")
        elif self.state == "greeting":
            self.state = "login"
        elif self.state == "login":
            self.state = "result" if self.open else "idle"
        elif payload == packets.EOF:
            self.ends += 1
            if self.ends == 2:
                self.answered(when, "finished")

    def answered(self, when: int, how: str) -> None:
        self.ends, self.state = 0, "idle"
        if not self.open and self.first is None:
            return  # one of a crowd that says nothing is turned away
        if not self.open:
            self.rig.faults.append(f"an answer that nobody asked for: {how}")
            return
        asked = self.open.pop(0)
        asked.answers.append((-(-when // 100), how))

    def reset(self, when: int) -> None:
        self.rig.resets += bool(self.open)
        self.hung_up(when)

    def hung_up(self, when: int) -> None:
        """The router ended the connection: what was written within 50 ms of that goes on another one."""
        if self.over:
            return
        self.over = True
        # The protocol also excuses the first query of a connection that is taken and closed without a word.
        unheard = self.state == "greeting" and self.sock is not None and self.sock.taken
        for asked in self.open:
            if unheard or when - asked.sent * 100 <= 50_000:
                asked.excused = True
        if self.first is not None and self.first.sent is None:
            self.first.excused = True
        if self.sock and not self.sock.closed:
            self.sock.end(when)


class Engine:
    """Runs what it is sent, each for a time of its own; knows which keys ran when."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.sock, self.buffer, self.given_up = rig, None, b"", set()

    def hear(self, when: int, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n")) >= 0:
            words = self.buffer[:end].decode().split(" ")
            stop = end + 2
            if words[0] == "want":
                stop += int(words[3]) + 2
                if len(self.buffer) < stop:
                    return
                self.want(when, words[1])
            elif words[0] == "busy":
                self.say(when + 2_000, f"{words[1]} READY rep=util:0.3;inflight:4 0\r\n\r\n")
            elif words[0] == "never_mind":
                self.give_up(when, words[1])
            self.buffer = self.buffer[stop:]

    def want(self, when: int, id: str) -> None:
        asked = self.rig.asked[id]
        if asked.left is not None and when - asked.left > DEPARTED:
            self.rig.faults.append(f"{id} began {(when - asked.left) // 1000} ms after its client had left")
        key = asked.key
        if key:
            self.rig.runs.setdefault(key, []).append((when, "start", id))
        chance = self.rig.world.chance
        if chance.random() >= HANGS:
            self.rig.world.at(when + int(1_000 * chance.choice((20, 40, 80, 300))), self.done, id)

    def give_up(self, when: int, id: str) -> None:
        self.given_up.add(id)
        key = self.rig.asked[id].key
        if key:
            self.rig.runs[key].append((when, "given up", id))

    def done(self, when: int, id: str) -> None:
        key = self.rig.asked[id].key
        if id not in self.given_up:
            if key:
                self.rig.runs[key].append((when, "end", id))
            self.say(when, f"{id} ACK work=20.0,peak=1.0 8\r\na\tb\t{'c' * 3}\n\r\n")

    def say(self, when: int, text: str) -> None:
        self.rig.world.at(when + NET * 100, lambda at: self.sock.came(at, text.encode()))

    def hung_up(self, when: int) -> None:
        pass

    reset = hung_up


class Rig:
    """One run: clients' traffic at `times` what the loop carries, stalls and an end, all from the seed."""

    def __init__(self, seed: int, times: float = 3.0, term: bool = True) -> None:
        self.world = World(seed)
        self.asked: dict[str, Asked] = {}
        self.runs: dict[str, list] = {}
        self.faults: list[str] = []
        self.resets = 0
        self.clients: list[Client] = []
        self.configuration = config.parse_configuration(deployment.table(engines=4, sockets=256), {})
        clock = self.world.time()
        self.service = Service(self.configuration, Log("rig", -1), poller=Poller(self), clock=clock)
        self.listener = Listener(self.world)
        self.service.door.open(self.listener)
        self.told: int | None = None
        self.gone: int | None = None
        self.late: list[int] = []
        self.script(times, term)
        self.charge()

    def charge(self) -> None:
        """Lets events and reads cost their time, where the real ones do."""
        world, reduce = self.world, self.service.reducer.reduce
        took = self.service.reducer.loop_lag.record_query_delay

        def reduce_at_a_price(event, now):
            effects = reduce(event, now)
            world.spend(EVENT if type(event) is not events.Asked else PARSE)
            world.spend(SEND * sum(isinstance(e, SendCommand) for e in effects))
            return effects

        def took_late(now, by):
            self.late.append(by)
            took(now, by)

        self.service.reducer.reduce = reduce_at_a_price
        self.service.reducer.loop_lag.record_query_delay = took_late

    # ---- the script -------------------------------------------------------------------------------

    def script(self, times: float, term: bool) -> None:
        chance, start = self.world.chance, self.world.us
        carried = 1e6 / (PARSE + 2 * EVENT + SEND + 12 * CALL)
        count = int(times * carried * LENGTH / 10_000)
        at = 0.0
        keys: dict[str, int] = {}
        for n in range(count):
            at += chance.expovariate(count / LENGTH)
            when = start + int(at * 100)
            id = f"{n:016x}"
            group = chance.choices(("lookup", "report", "event-load"), (75, 10, 15))[0]
            key = fresh = None
            if group == "event-load":
                free = [f"{k:016x}" for k in range(1, 20) if keys.get(f"{k:016x}", 0) <= when]
                if not free:
                    continue
                key = chance.choice(free)
                fresh = chance.random() < 0.3
                keys[key] = when + (FAR if fresh else NEAR)
            patience = int(chance.choice((1_400, 2_000, 3_000))) * 10
            asked = self.asked[id] = Asked(id, group, patience, key, fresh=fresh)
            self.world.at(when, self.come, asked)
        for _ in range(chance.choice((0, 1, 2))):
            self.world.at(start + int(chance.uniform(0, LENGTH) * 100), self.crowd, chance.randint(20, 150))
        when = start + int(chance.uniform(0, LENGTH) * 100)
        while when < start + (LENGTH + LONGEST) * 100:
            self.world.stalls.append((when, chance.choice(STALLS) * 100))
            when += int(chance.uniform(1.2, 3) * max(STALLS) * 100)
        if term:
            self.world.at(start + int(chance.uniform(0.1, 1.2) * LENGTH * 100), self.terminate)

    def come(self, when: int, asked: Asked) -> None:
        """A client asks: mostly on a connection that it has, else on a new one."""
        after = None if self.told is None else when - self.told
        if after is not None and after > (COMING + ON_OPEN) * 100:
            del self.asked[asked.id]
            return
        idle = [c for c in self.clients if not c.over and not c.open and c.state == "idle"]
        new = self.world.chance.random() < 0.2 if asked.fresh is None else asked.fresh
        if idle and not new:
            self.world.chance.choice(idle).ask(when, asked)
        elif asked.fresh is not False and (after is None or after <= COMING * 100):
            self.knock(when, asked)
        else:
            del self.asked[asked.id]
        if self.world.chance.random() < 0.01 and self.clients:
            self.world.chance.choice(self.clients).leave(when)

    def knock(self, when: int, asked: Asked) -> None:
        client = Client(self)
        client.first = asked
        self.clients = [c for c in self.clients if not c.over]
        self.clients.append(client)
        self.listener.knock(when, client)

    def crowd(self, when: int, many: int) -> None:
        """Many connect at once and say nothing."""
        for _ in range(many):
            client = Client(self)
            client.connected = lambda when: None
            self.listener.knock(when, client)

    def terminate(self, when: int) -> None:
        """SIGTERM; the program hears of it when its loop next turns."""
        self.told = when

    # ---- the run ----------------------------------------------------------------------------------

    async def play(self) -> "Rig":
        service, world = self.service, self.world
        async with anyio.create_task_group() as tasks:
            service.attach_tasks(tasks)
            for news in self.configuration.initial_watch_events:
                service.handle(events.EndpointsChanged(news))
            service.lifecycle.enter(Phase.SERVING)
            sweep = world.us
            while self.gone is None:
                await anyio.lowlevel.checkpoint()
                if self.told is not None and service.shutdown.schedule is None:
                    service.lifecycle.enter(Phase.CLOSING)
                    service.shutdown.begin()
                if service.shutdown.schedule is None:
                    service.event_loop.round()
                elif service.shutdown.advance() is ShutdownStep.EXIT:
                    self.gone = world.us
                if world.us - sweep >= 100_000:
                    sweep = world.us
                    service.door.sweep()
                if service.rounds.idle and not world.ready:
                    self.sleep()
                if service.shutdown.schedule is None and world.us - START * 100 > LENGTH * 100 * 12:
                    break
            tasks.cancel_scope.cancel()
        self.check()
        return self

    def sleep(self) -> None:
        """Nothing is ready: the clock goes on to the next thing that comes."""
        world = self.world
        times = [world.us + 10_000]
        if world.coming:
            times.append(world.coming[0][0])
        if self.service.alarm.due_at is not None:
            times.append(self.service.alarm.due_at * 100)
        world.us = max(world.us, min(times))

    # ---- the check of the rules -------------------------------------------------------------------

    def check(self) -> None:
        """Rules 1 and 2 for every query that came whole, rule 5 for every key."""
        for asked in self.asked.values():
            if asked.sent is None or asked.nobody or asked.excused:
                continue
            end = asked.sent + asked.patience + TOLERANCE
            if len(asked.answers) != 1:
                self.faults.append(f"{asked.id} {asked.group} got {len(asked.answers)} answers")
            elif asked.answers[0][0] > end:
                self.faults.append(f"{asked.id} {asked.group} answered {asked.answers[0][0] - end} too late")
        if self.told is not None and self.gone is not None:
            took = (self.gone - self.told) // 100
            if took > self.configuration.longest_shutdown + KILL_AFTER:
                self.faults.append(f"the end took {took}")
        for key, seen in self.runs.items():
            self.check_key(key, sorted(seen))

    def check_key(self, key: str, seen: list[tuple[int, str, str]]) -> None:
        running: set[str] = set()
        started: list[str] = []
        rests = 0
        for when, what, id in seen:
            if what != "start":
                running.discard(id)
                if what == "given up":
                    rests = when + self.configuration.settings.retries.order_pause * 100
                continue
            if when < rests - TOLERANCE * 100:
                self.faults.append(f"key {key}: {id} began {(rests - when) // 100} before its rest was over")
            if running:
                self.faults.append(f"key {key}: {id} began beside {sorted(running)}")
            if id in started:
                self.faults.append(f"key {key}: {id} ran twice")
            if started and self.asked[id].sent < self.asked[started[-1]].sent:
                self.faults.append(f"key {key}: {id} ran after a later one")
            running.add(id)
            started.append(id)

    def summary(self) -> Counter:
        return Counter(a.answers[0][1] for a in self.asked.values() if a.answers)


def play(seed: int, **known) -> Rig:
    return anyio.run(Rig(seed, **known).play)
