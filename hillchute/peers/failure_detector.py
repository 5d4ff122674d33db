"""Which other routers live: who is pinged, suspected, dead, has left or returned. SWIM, with Lifeguard.

Owns what is believed of each peer and what is passed on of it. Pure: events and the time in, datagrams out.
Must never know what a message is for, make a mark, or hold a queue. What routers decide never waits for
it: where it is wrong, a share is counted wrongly for a while.

Each round one peer is pinged, all in turn; without an answer others are asked to; without theirs it is
suspected, and dead unless it is heard of in time. Rumours go out with pings and answers, each so often as the
logarithm of the fleet: what a router sends does not grow with the number of routers but by that.

Guards against lying and broken peers: a voice is a peer that says it saw for itself, and it speaks for nobody
else. One can raise a suspicion, never a death; own sight of the last rounds goes before any number; and the
suspected router hears of it in time to say that it lives. Times are whole tenths of a millisecond.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import log, log2
from zlib import crc32

from hillchute.decision.interface import Time
from hillchute.peers.datagrams import RUMOURS, Rumour

SECOND = 10_000
ROUND: Time = 1 * SECOND  # between two pings: a dead router is found within a few of them
ANSWER: Time = 2_000  # a ping's answer comes within this: a slow loop's turn, there and back
RELAYS = 3  # others that are asked to ping one that does not answer: one broken way there is no death
SUSPECTED = 8.0  # rounds, times the logarithm (10) of the fleet, that a suspicion lasts with one voice
AT_FIRST = 16  # pings a round while some were never heard of: 200 are found in some 8 s, 2 kB a second
VOICES = 3  # that shorten it to a third: as many who saw the same by themselves
TELLS = 3.0  # times the logarithm (2) of the fleet that each rumour is passed on
SLOWEST = 8  # a router that fails at its own pings takes so many times as long before it blames others
AHEAD = 3_600_000  # milliseconds that an incarnation may lie ahead of our clock

ALIVE, SUSPECT, DEAD, LEFT = range(4)
PING, ANSWERED, ASK, TOLD = range(4)


@dataclass(slots=True)
class Send:
    """A datagram to a peer, but for what the window and the mark add."""

    to: str
    kind: int
    number: int
    about: str = ""
    rumours: tuple[Rumour, ...] = ()


@dataclass(slots=True)
class Peer:
    name: str
    state: int = DEAD  # until it is heard of: an address in a file is no router
    incarnation: int = 0
    since: Time = 0  # when the state began
    heard_at: Time = -(10**12)  # by ourselves
    voices: frozenset[str] = frozenset()  # who say that this incarnation is ill or dead


@dataclass(slots=True)
class Ping:
    to: str
    began: Time
    asked: bool = False  # others have been asked
    on_behalf: tuple[str, int] | None = None  # who asked us, and the number there


class Roster:
    def __init__(self, me: str, born: int, peers: Iterable[str], seed: int, now: Time) -> None:
        """`born`: Unix milliseconds of this start; each later life of a name has a higher one."""
        self.me, self.incarnation, self.seed, self.now = me, born, seed, now
        self.peers = {name: Peer(name, since=now) for name in peers if name != me}
        self.suspects: set[str] = set()
        self.version = 0  # another one whenever somebody's state is
        self.alive: tuple[int, list[str]] = (-1, [])  # as of a version: who lives; asked with every datagram
        self.pings: dict[int, Ping] = {}
        self.line: list[str] = []  # whose turn it is
        self.next_round, self.numbers, self.drawn = now, 0, 0
        self.rumours: dict[str, list] = {}  # name: [times told, rumour]
        self.slow = 1  # Lifeguard's health of our own: 1 is well
        self.left = False

    # ---- what is known ------------------------------------------------------------------------------

    def living(self) -> list[str]:
        """The peers that live as far as is known; a suspicion is no death. Not to be changed."""
        if self.alive[0] != self.version:
            names = sorted(p.name for p in self.peers.values() if p.state in (ALIVE, SUSPECT))
            self.alive = self.version, names
        return self.alive[1]

    def fleet(self) -> int:
        return 1 + len(self.living())

    def named(self, peers: Iterable[str], now: Time) -> None:
        """The operator names other routers: those that are new are as yet unheard of, others forgotten."""
        names = set(peers) - {self.me}
        self.peers = {name: self.peers.get(name) or Peer(name, since=now) for name in sorted(names)}
        self.version += 1
        self.suspects &= names
        self.pings = {
            number: ping
            for number, ping in self.pings.items()
            if ping.to in names and (ping.on_behalf is None or ping.on_behalf[0] in names)
        }
        self.line = [name for name in self.line if name in names]
        self.rumours = {name: told for name, told in self.rumours.items() if name in names | {self.me}}

    # ---- what happens -------------------------------------------------------------------------------

    def leave(self, now: Time) -> list[Send]:
        """This router ends: all are told by itself, since nobody takes a farewell from another."""
        self.now, self.left = now, True
        self.incarnation += 1
        self.tell(Rumour(self.me, LEFT, self.incarnation, self.me))
        return [self.send(name, PING, self.number()) for name in self.living()]

    def heard(
        self, now: Time, sender: str, kind: int, number: int, about: str, rumours: Iterable[Rumour]
    ) -> list[Send]:
        """A datagram that may be believed came from a peer."""
        self.now, peer = now, self.peers.get(sender)
        if peer is None or self.left:
            return []
        peer.heard_at = now
        if peer.state in (DEAD, LEFT) and sender not in self.line:
            self.line.append(sender)  # next to be pinged: its answer tells whether it lives and serves
        for rumour in rumours:
            self.rumour(sender, rumour)
        if peer.state == SUSPECT:
            self.change(peer, ALIVE, peer.incarnation)  # our own sight of it; others hear it from itself
        match kind:
            case 0:
                return [self.send(sender, ANSWERED, number)]
            case 1:
                return self.answered(sender, number)
            case 2 if about in self.peers:
                mine = self.number()
                self.pings[mine] = Ping(about, now, True, (sender, number))
                return [self.send(about, PING, mine)]
            case 3:
                ping = self.pings.get(number)
                if ping is not None and ping.to == about:
                    del self.pings[number]
                    self.slow = max(1, self.slow - 1)
        return []

    def answered(self, sender: str, number: int) -> list[Send]:
        ping = self.pings.get(number)
        if ping is None or ping.to != sender:
            return []
        del self.pings[number]
        if ping.on_behalf:
            who, theirs = ping.on_behalf
            return [self.send(who, TOLD, theirs, sender)]
        self.slow = max(1, self.slow - 1)
        return []

    def tick(self, now: Time) -> list[Send]:
        """Called at least every ANSWER / 2: pings that are due, or unanswered; suspicions that end."""
        self.now = now
        said = []
        for number, ping in list(self.pings.items()):
            said += self.unanswered(number, ping)
        for peer in [self.peers[name] for name in sorted(self.suspects)]:
            if now - peer.since >= self.suspicion(peer):
                self.tell(
                    Rumour(peer.name, DEAD, peer.incarnation, self.me if self.me in peer.voices else "")
                )
                self.change(peer, DEAD, peer.incarnation)
        if now >= self.next_round and not self.left:
            self.next_round = max(now, self.next_round + ROUND)
            never = any(not peer.incarnation for peer in self.peers.values())
            for name in filter(None, (self.turn() for _ in range(AT_FIRST if never else 1))):
                said.append(self.ping(name))
        return said

    def ping(self, name: str) -> Send:
        number = self.number()
        self.pings[number] = Ping(name, self.now)
        return self.send(name, PING, number)

    # ---- inside ---------------------------------------------------------------------------------------

    def unanswered(self, number: int, ping: Ping) -> list[Send]:
        age, peer = self.now - ping.began, self.peers[ping.to]
        if ping.on_behalf:
            if age >= ROUND:
                del self.pings[number]
            return []
        if not ping.asked and age >= ANSWER * self.slow:
            ping.asked = True
            if peer.state in (ALIVE, SUSPECT):
                return [self.send(name, ASK, number, ping.to) for name in self.some(RELAYS, (ping.to,))]
        if age >= ROUND * self.slow:
            del self.pings[number]
            if peer.state == ALIVE and self.now - peer.heard_at >= ROUND:
                self.slow = min(SLOWEST, self.slow + 1)  # it may be us
                self.change(peer, SUSPECT, peer.incarnation)
                peer.voices = frozenset({self.me})
                self.tell(Rumour(peer.name, SUSPECT, peer.incarnation, self.me))
        return []

    def rumour(self, sender: str, told: Rumour) -> None:
        """One voice about a router; ordered by incarnation, so that order, repeats and loss don't matter."""
        if told.incarnation > self.now // 10 + AHEAD:
            return  # guards against one that claims a life that can't be gainsaid
        if told.name == self.me:
            if told.state != ALIVE and told.incarnation >= self.incarnation:
                self.incarnation = told.incarnation + 1
                self.slow = min(SLOWEST, self.slow + 1)  # others did not hear us: we may be slow
                self.tell(Rumour(self.me, ALIVE, self.incarnation, self.me))
            return
        peer = self.peers.get(told.name)
        if peer is None:
            return  # not one that the operator names
        first_hand = sender == told.name
        match told.state:
            case 0 if told.incarnation > peer.incarnation:
                # Hearsay brings one to be pinged, not to life: a liar could keep the dead alive.
                if first_hand or peer.state in (ALIVE, SUSPECT):
                    self.change(peer, ALIVE, told.incarnation)
                    self.tell(told)
                elif told.name not in self.line:
                    self.line.append(told.name)
            case 1 | 2 if told.incarnation >= peer.incarnation and peer.state in (ALIVE, SUSPECT):
                if self.now - peer.heard_at < 2 * ROUND:
                    return  # own sight goes before hearsay
                if peer.state == ALIVE:
                    self.change(peer, SUSPECT, told.incarnation)
                    self.tell(Rumour(told.name, SUSPECT, told.incarnation, told.witness))
                peer.voices |= {sender} if told.witness == sender else frozenset()
            case 3 if first_hand and told.incarnation >= peer.incarnation:
                self.change(peer, LEFT, told.incarnation)
                self.tell(told)
            case 3 if told.incarnation > peer.incarnation and peer.state in (ALIVE, SUSPECT):
                if self.now - peer.heard_at >= 2 * ROUND or peer.state == SUSPECT:
                    # Hearsay of a farewell is a suspicion: its silence, or its own word, tells the rest.
                    self.change(peer, SUSPECT, told.incarnation)
                    self.tell(Rumour(told.name, SUSPECT, told.incarnation, told.witness))

    def change(self, peer: Peer, state: int, incarnation: int) -> None:
        if state != peer.state:
            peer.since = self.now
        if state == SUSPECT:
            self.suspects.add(peer.name)
        else:
            self.suspects.discard(peer.name)
            peer.voices = frozenset()
        peer.state, peer.incarnation = state, max(peer.incarnation, incarnation)
        self.version += 1

    def suspicion(self, peer: Peer) -> Time:
        """How long it may still speak for itself: shorter the more have seen the same."""
        longest = SUSPECTED * ROUND * max(1.0, log(self.fleet() + 1, 10))
        part = min(1.0, log(len(peer.voices) or 1) / log(VOICES))
        return int(longest * (1 - part * 2 / 3))

    def tell(self, rumour: Rumour) -> None:
        self.rumours[rumour.name] = [0, rumour]

    def send(self, to: str, kind: int, number: int, about: str = "") -> Send:
        """With the rumours that were told least, and what is said of the receiver in any case."""
        most = TELLS * log2(self.fleet() + 1)
        first = [Rumour(self.me, LEFT if self.left else ALIVE, self.incarnation, self.me)]
        receiver = self.peers[to]
        if receiver.state in (SUSPECT, DEAD) and receiver.incarnation:
            first.append(Rumour(to, receiver.state, receiver.incarnation, self.me))
        line = sorted(self.rumours.values(), key=lambda entry: (entry[0], entry[1].name))
        line = [entry for entry in line if entry[1].name not in (to, self.me)][: RUMOURS // 2]
        for entry in line:
            entry[0] += 1
            if entry[0] >= most:
                del self.rumours[entry[1].name]
        return Send(to, kind, number, about, (*first, *(entry[1] for entry in line)))

    def turn(self) -> str | None:
        """Whose turn it is: all in a shuffled row, the dead too but seldom: an address may live again."""
        if not self.line:
            fresh = [p for p in self.peers.values() if p.state in (ALIVE, SUSPECT) or not p.incarnation]
            names = [p.name for p in fresh]
            rest = [p.name for p in self.peers.values() if p not in fresh]
            rest.sort(key=self.shuffled)
            names += rest[: 1 + len(names) // 4]
            self.drawn += 1
            self.line = sorted(names, key=self.shuffled)
        return self.line.pop() if self.line else None

    def some(self, count: int, but: Iterable[str]) -> list[str]:
        self.drawn += 1
        names = [name for name in self.living() if name not in but]
        return sorted(names, key=self.shuffled)[:count]

    def shuffled(self, name: str) -> int:
        return crc32(f"{self.seed}:{self.drawn}:{name}".encode())

    def number(self) -> int:
        self.numbers += 1
        return self.numbers
