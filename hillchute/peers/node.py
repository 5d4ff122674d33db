"""One router among its peers, whole but for the sockets: bytes and the time in, bytes for others out.

Owns the roster, a window, a key and a count for each peer, and the order in which a datagram is looked at:
readable, marked, new, believed. Must never do I/O, look at a clock, or know what a load is for: that is the
passenger's. Nothing that comes in raises: what can't be believed is counted by its reason.

Times are whole tenths of a millisecond, on a clock that began at the Unix time and then never jumps.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from typing import Protocol

from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError
from hillchute.peers.codec import MOST, MOST_ON_STREAM, Datagram, Rumour, Window, decode, encode
from hillchute.peers.parts import LARGE, PIECE, cut
from hillchute.peers.roster import ALIVE, ANSWERED, PING, Roster, Send

LOAD, ALL, HISTORY, PARTNERS = 4, 5, 6, 7  # kinds beside those of the roster; the last two are riders'
ALL_EVERY: Time = 50_000  # between two wishes for all: a router that comes back, or a cut that ends


class Passenger(Protocol):
    """Who rides with the datagrams."""

    def ping_digest(self, now: Time, recipient: str) -> bytes: ...

    def on_digest(self, now: Time, sender: str, data: bytes) -> None: ...

    def newcomer_digests(self, now: Time, recipient: str) -> list[bytes]: ...

    def on_router_lost(self, name: str) -> None: ...


class Rider(Protocol):
    """Who has messages of its own, of any length: the answer history, the partners."""

    def heard(self, now: Time, sender: str, piece: bytes) -> None: ...

    def tick(self, now: Time) -> None: ...

    def out(self) -> list[tuple[str, bytes]]: ...


class Node:
    def __init__(
        self, me: str, born: int, keys: Mapping[str, bytes], seed: int, now: Time, passenger: Passenger
    ) -> None:
        """`born`: Unix milliseconds of this start. `keys`: of the pair with each peer."""
        self.me, self.born, self.keys, self.passenger = me, born, keys, passenger
        self.roster = Roster(me, born, keys, seed, now)
        self.riders: dict[int, Rider] = {}  # by the kind of their datagrams
        self.messages = 0
        self.windows: defaultdict[str, Window] = defaultdict(Window)  # of those that were ever spoken to
        self.counts: Counter[str] = Counter()  # datagrams to each peer
        self.dropped: Counter[str] = Counter()  # by reason
        self.wishes: list[str] = []  # peers to be asked for all that they know, over a stream
        self.wished = -ALL_EVERY
        self.alive: frozenset[str] = frozenset()
        self.version = -1  # of the roster, as of which that is so

    def living(self) -> list[str]:
        return self.roster.living()

    def named(self, keys: Mapping[str, bytes], now: Time) -> None:
        """The operator names other routers, or other keys."""
        self.keys = keys
        for name in self.windows.keys() - keys.keys():
            del self.windows[name]
        self.roster.named(keys, now)

    def receive(self, now: Time, data: bytes, most: int = MOST) -> list[tuple[str, bytes]]:
        """A datagram from wherever; what goes back or on."""
        try:
            datagram = decode(data, self.me, self.keys, most)
            believed = self.windows[datagram.sender].take(datagram, self.born)
            if not believed:
                return self.unheard(now, datagram)
            if datagram.kind in (HISTORY, PARTNERS):
                if datagram.kind in self.riders:
                    self.riders[datagram.kind].heard(now, datagram.sender, datagram.load)
            elif datagram.load:
                self.passenger.on_digest(now, datagram.sender, datagram.load)
        except InvalidDatagramError as fault:
            self.dropped[fault.detail.split(":")[0]] += 1
            return []
        # Whatever is believed shows that its sender lives, in this life of it at the least; a farewell has a
        # higher incarnation. Guards against one that is heard by loads alone and taken for gone.
        lives = Rumour(datagram.sender, ALIVE, datagram.born, datagram.sender)
        told = (datagram.kind, datagram.number, datagram.about, (lives, *datagram.rumours))
        said = self.roster.heard(now, datagram.sender, *told)
        self.changes(now)
        if datagram.kind == ALL:
            loads = self.passenger.newcomer_digests(now, datagram.sender)
            return [said for load in loads for said in self.say(datagram.sender, load)]
        return [self.encoded(now, send) for send in said]

    def unheard(self, now: Time, datagram: Datagram) -> list[tuple[str, bytes]]:
        """From one that has not heard of this life of ours: an answer tells it, and nothing is believed."""
        if datagram.kind != PING:
            return []
        return [self.encoded(now, Send(datagram.sender, ANSWERED, datagram.number), bare=True)]

    def tick(self, now: Time) -> list[tuple[str, bytes]]:
        said = [self.encoded(now, send) for send in self.roster.tick(now)]
        self.changes(now)
        return said

    def leave(self, now: Time) -> list[tuple[str, bytes]]:
        return [self.encoded(now, send, bare=True) for send in self.roster.leave(now)]

    def say(self, to: str, load: bytes) -> list[tuple[str, bytes]]:
        """A load alone; none where it does not pass whole."""
        try:
            return [(to, self.marked(Send(to, LOAD, 0), load))]
        except ValueError:
            self.dropped["load too long to go"] += 1
            return []

    def wish(self, to: str) -> bytes:
        """What a stream to a peer begins with."""
        return self.marked(Send(to, ALL, 0), b"")

    def changes(self, now: Time) -> None:
        """Who lives now and did not, or the other way round."""
        if self.roster.version == self.version:
            return
        self.version, alive = self.roster.version, frozenset(self.roster.living())
        if alive == self.alive:
            return
        for name in sorted(self.alive - alive):
            self.passenger.on_router_lost(name)
        fresh = sorted(alive - self.alive)
        if fresh and now - self.wished >= ALL_EVERY:
            self.wished = now
            self.wishes += fresh[:2]
        self.alive = alive

    def encoded(self, now: Time, send: Send, bare: bool = False) -> tuple[str, bytes]:
        """With the passenger's load where there is room for it. Who lives goes first, and of that whom the
        datagram is about: long names may leave no room for all rumours."""
        load = b"" if bare else self.passenger.ping_digest(now, send.to)
        while True:
            try:
                return send.to, self.marked(send, load)
            except ValueError:
                if not load:
                    send.rumours = send.rumours[: len(send.rumours) // 2]
                load = b""

    def pieces(self, to: str, kind: int, message: bytes, large: bool = False) -> Iterator[bytes]:
        """A rider's message as marked pieces; each gets its number as it is taken, so that what goes by a
        stream is not behind what goes meanwhile."""
        self.messages += 1
        for piece in cut(self.messages, message, LARGE if large else PIECE):
            yield self.marked(Send(to, kind, 0), piece, MOST_ON_STREAM if large else MOST)

    def lives(self) -> dict[str, int]:
        """Of this router and of all others that live, as far as is known: when each started."""
        born = ((name, self.windows[name].born) for name in self.living() if name in self.windows)
        return {name: life for name, life in born if life} | {self.me: self.born}

    def marked(self, send: Send, load: bytes, most: int = MOST) -> bytes:
        self.counts[send.to] += 1
        datagram = Datagram(
            sender=self.me,
            receiver=send.to,
            born=self.born,
            heard=self.windows[send.to].heard,
            sequence=self.counts[send.to],
            kind=send.kind,
            number=send.number,
            about=send.about,
            rumours=send.rumours,
            load=load,
        )
        return encode(datagram, self.keys[send.to], most)
