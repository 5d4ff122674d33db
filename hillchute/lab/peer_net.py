"""Failure detectors of many routers over one network that loses, delays and repeats, in simulated time.

Simulates the network, its faults and the clock; independent of how a failure detector decides.
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
EPOCH: Time = 17_000_000_000_000  # a plausible Unix time in units of 0.1 ms
STEP = PING_TIMEOUT // 4
GENERATION = 1  # of every datagram; no replay window checks it here


class InFlight(NamedTuple):
    """A datagram in transit; ordered by its arrival time."""

    arrives_at: Time
    order: int
    sender: str
    datagram: OutgoingDatagram


class PeerNetwork:
    """Routers named n0, n1, ... on one network.

    `loss_rate` and `repeat_rate` are fractions of the datagrams. `lies` are false rumours that a router
    adds to every datagram that it sends.
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
        self.cut_pairs: set[frozenset[str]] = set()  # pairs of routers that cannot reach each other
        self.paused: set[str] = set()  # suspended processes; arriving datagrams wait
        self.lies: dict[str, tuple[Rumour, ...]] = {}  # by the name of the lying router
        self.datagrams_sent: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a router with no state of an earlier process of the same name."""
        generation = self.now // 10
        seed = self.random.getrandbits(32)
        self.detectors[name] = FailureDetector(name, generation, self.names, seed, self.now)

    def kill(self, name: str) -> None:
        """Ends a router without a leave message."""
        del self.detectors[name]

    def leave(self, name: str) -> None:
        """Shuts a router down gracefully."""
        self.send(name, self.detectors[name].leave(self.now))
        del self.detectors[name]

    def cut(self, some: list[str], others: list[str]) -> None:
        """Blocks all traffic between the two sides."""
        self.cut_pairs |= {frozenset((one, other)) for one in some for other in others}

    def heal(self) -> None:
        """Removes all cuts."""
        self.cut_pairs.clear()

    def send(self, sender: str, datagrams: list[OutgoingDatagram]) -> None:
        """Counts the datagrams and schedules the arrival of those that are not lost."""
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
        """Returns the datagram in the form that the receiver's failure detector gets."""
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
        """Advances simulated time."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP
            while self.in_flight and self.in_flight[0].arrives_at <= self.now:
                self.deliver(heappop(self.in_flight))
            for name, detector in list(self.detectors.items()):
                if name not in self.paused:
                    self.send(name, detector.tick(self.now))

    def deliver(self, arrived: InFlight) -> None:
        """Delivers a datagram to its receiver if that runs and is not cut off."""
        receiver = arrived.datagram.receiver
        if receiver in self.paused:
            heappush(self.in_flight, arrived._replace(arrives_at=self.now + 1))
            return
        detector = self.detectors.get(receiver)
        if detector is not None and frozenset((arrived.sender, receiver)) not in self.cut_pairs:
            datagram = self.complete(arrived.sender, arrived.datagram)
            self.send(receiver, detector.receive(self.now, datagram))

    def agreed(self, names: list[str] | None = None) -> bool:
        """Returns whether each of `names` (default: all running ones) considers exactly the others alive."""
        names = names if names is not None else list(self.detectors)
        return all(set(self.detectors[name].live_peers()) == set(names) - {name} for name in names)

    def seconds_until_agreed(self, max_seconds: float, names: list[str] | None = None) -> float | None:
        """Simulates until all agree and returns the seconds; None if they still differ at `max_seconds`."""
        began = self.now
        while self.now - began < max_seconds * SECOND:
            self.play(0.25)
            if self.agreed(names):
                return (self.now - began) / SECOND
        return None
