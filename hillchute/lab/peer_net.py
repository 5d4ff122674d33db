"""Rosters of many routers over one network that loses, delays and repeats, in simulated time.

Owns the network, its faults and the clock. Must never know how a roster decides.
"""

import random
from collections import Counter
from heapq import heappop, heappush

from hillchute.decision.interface import Time
from hillchute.peers.datagrams import Datagram, encode
from hillchute.peers.failure_detector import ANSWER, Roster, Send

KEY = b"k" * 32
DELAY: tuple[Time, Time] = (2, 20)  # 0.2 to 2 ms there
EPOCH: Time = 17_000_000_000_000  # as the Unix clock would have it


class Net:
    """`loss` and `twice`: parts of the datagrams; `liar`: what one router puts in beside its own rumours."""

    def __init__(self, seed: int, count: int, loss: float = 0.0, twice: float = 0.0) -> None:
        self.chance, self.now, self.loss, self.twice = random.Random(seed), EPOCH, loss, twice
        self.names = [f"n{n}" for n in range(count)]
        self.rosters: dict[str, Roster] = {}
        self.line: list[tuple[Time, int, str, Send]] = []
        self.order = 0
        self.cuts: set[frozenset[str]] = set()  # pairs that hear nothing of each other
        self.stopped: set[str] = set()  # processes that stand still: what comes waits
        self.lies: dict[str, tuple] = {}  # name: rumours that it adds to all it sends
        self.sent, self.bytes = Counter(), Counter()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        born = self.now // 10
        self.rosters[name] = Roster(name, born, self.names, self.chance.getrandbits(32), self.now)

    def kill(self, name: str) -> None:
        del self.rosters[name]

    def leave(self, name: str) -> None:
        self.post(name, self.rosters[name].leave(self.now))
        del self.rosters[name]

    def cut(self, some: list[str], others: list[str]) -> None:
        self.cuts |= {frozenset((a, b)) for a in some for b in others}

    def mend(self) -> None:
        self.cuts.clear()

    def post(self, sender: str, sends: list[Send]) -> None:
        for send in sends:
            rumours = (*send.rumours, *self.lies.get(sender, ()))
            self.sent[sender] += 1
            datagram = Datagram(sender, send.to, 1, 1, 1, send.kind, send.number, send.about, rumours)
            self.bytes[sender] += len(encode(datagram, KEY))
            for _ in range(1 + (self.chance.random() < self.twice)):
                if self.chance.random() >= self.loss:
                    self.order += 1
                    at = self.now + self.chance.randint(*DELAY)
                    send = Send(send.to, send.kind, send.number, send.about, rumours)
                    heappush(self.line, (at, self.order, sender, send))

    def play(self, seconds: float) -> None:
        end = self.now + int(seconds * 10_000)
        while self.now < end:
            self.now += ANSWER // 4
            while self.line and self.line[0][0] <= self.now:
                _, order, sender, send = heappop(self.line)
                if send.to in self.stopped:
                    heappush(self.line, (self.now + 1, order, sender, send))
                    continue
                roster = self.rosters.get(send.to)
                if roster is not None and frozenset((sender, send.to)) not in self.cuts:
                    told = send.rumours
                    said = roster.heard(self.now, sender, send.kind, send.number, send.about, told)
                    self.post(send.to, said)
            for name, roster in list(self.rosters.items()):
                if name not in self.stopped:
                    self.post(name, roster.tick(self.now))

    def agreed(self, names: list[str] | None = None) -> bool:
        """Whether all of these that run know that just these live."""
        names = names if names is not None else list(self.rosters)
        return all(set(self.rosters[n].living()) == set(names) - {n} for n in names)

    def after(self, most: float, names: list[str] | None = None) -> float | None:
        """Seconds until all agree; None if they don't within so many."""
        since = self.now
        while self.now - since < most * 10_000:
            self.play(0.25)
            if self.agreed(names):
                return (self.now - since) / 10_000
        return None
