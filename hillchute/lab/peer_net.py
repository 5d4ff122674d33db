"""Failure detectors of many routers over one network that loses, delays and repeats, in simulated time.

Owns the network, its faults and the clock; it does not know how a failure detector decides.
"""

import random
from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush
from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.peers.datagrams import Datagram, Rumour, encode
from hillchute.peers.failure_detector import PING_TIMEOUT, SECOND, FailureDetector, OutgoingDatagram

KEY = b"k" * 32
MIN_DELAY: Time = 2
MAX_DELAY: Time = 20
EPOCH: Time = 17_000_000_000_000  # as the Unix clock would have it
STEP = PING_TIMEOUT // 4
GENERATION = 1  # in every datagram: no replay window looks at it here


class InFlight(NamedTuple):
    """A datagram on its way; ordered by its arrival."""

    arrives_at: Time
    order: int
    sender: str
    datagram: OutgoingDatagram


class PeerNetwork:
    """Routers named n0, n1, ... on one network.

    `loss_rate` and `repeat_rate` are fractions of the datagrams; `lies` are rumours that a router adds to all
    it sends.
    """

    def __init__(self, seed: int, count: int, loss_rate: float = 0.0, repeat_rate: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.now = EPOCH
        self.loss_rate = loss_rate
        self.repeat_rate = repeat_rate
        self.names = [f"n{n}" for n in range(count)]
        self.detectors: dict[str, FailureDetector] = {}
        self.in_flight: list[InFlight] = []  # a heap
        self.last_order = 0
        self.cut_pairs: set[frozenset[str]] = set()  # that hear nothing of each other
        self.paused: set[str] = set()  # processes that stand still: what arrives waits
        self.lies: dict[str, tuple[Rumour, ...]] = {}  # by the liar's name
        self.datagrams_sent: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a router, which remembers nothing of an earlier process of its name."""
        generation = self.now // 10
        seed = self.random.getrandbits(32)
        self.detectors[name] = FailureDetector(name, generation, self.names, seed, self.now)

    def kill(self, name: str) -> None:
        """Ends a router without a farewell."""
        del self.detectors[name]

    def leave(self, name: str) -> None:
        """Shuts a router down in good order."""
        self.send(name, self.detectors[name].leave(self.now))
        del self.detectors[name]

    def cut(self, some: list[str], others: list[str]) -> None:
        """Nothing passes between the two sides any more."""
        self.cut_pairs |= {frozenset((one, other)) for one in some for other in others}

    def heal(self) -> None:
        """Ends all cuts."""
        self.cut_pairs.clear()

    def send(self, sender: str, datagrams: list[OutgoingDatagram]) -> None:
        """Counts the datagrams and puts on the way what is not lost."""
        for outgoing in datagrams:
            datagram = replace(outgoing, rumours=(*outgoing.rumours, *self.lies.get(sender, ())))
            self.datagrams_sent[sender] += 1
            self.bytes_sent[sender] += len(encode(self.complete(sender, datagram), KEY))
            for _ in range(1 + (self.random.random() < self.repeat_rate)):
                if self.random.random() >= self.loss_rate:
                    self.last_order += 1
                    arrives_at = self.now + self.random.randint(MIN_DELAY, MAX_DELAY)
                    heappush(self.in_flight, InFlight(arrives_at, self.last_order, sender, datagram))

    @staticmethod
    def complete(sender: str, outgoing: OutgoingDatagram) -> Datagram:
        """The datagram as the receiver's failure detector is given it."""
        return Datagram(
            sender=sender,
            receiver=outgoing.receiver,
            generation=GENERATION,
            receiver_generation=GENERATION,
            sequence=1,
            kind=outgoing.kind,
            ping_number=outgoing.ping_number,
            subject=outgoing.subject,
            rumours=outgoing.rumours,
        )

    def play(self, seconds: float) -> None:
        """Lets the time go on."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP
            while self.in_flight and self.in_flight[0].arrives_at <= self.now:
                self.deliver(heappop(self.in_flight))
            for name, detector in list(self.detectors.items()):
                if name not in self.paused:
                    self.send(name, detector.tick(self.now))

    def deliver(self, arrived: InFlight) -> None:
        """Hands a datagram to its receiver, if that runs and is not cut off."""
        receiver = arrived.datagram.receiver
        if receiver in self.paused:
            heappush(self.in_flight, arrived._replace(arrives_at=self.now + 1))
            return
        detector = self.detectors.get(receiver)
        if detector is not None and frozenset((arrived.sender, receiver)) not in self.cut_pairs:
            datagram = self.complete(arrived.sender, arrived.datagram)
            self.send(receiver, detector.receive(self.now, datagram))

    def agreed(self, names: list[str] | None = None) -> bool:
        """Whether each of these (of all that run) knows that exactly these live."""
        names = names if names is not None else list(self.detectors)
        return all(set(self.detectors[name].live_peers()) == set(names) - {name} for name in names)

    def seconds_until_agreed(self, max_seconds: float, names: list[str] | None = None) -> float | None:
        """Plays until all agree; None if they don't in time."""
        began = self.now
        while self.now - began < max_seconds * SECOND:
            self.play(0.25)
            if self.agreed(names):
                return (self.now - began) / SECOND
        return None
