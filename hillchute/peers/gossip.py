"""Selects the rumours for the next datagram: those sent least so far, each a bounded number of times.

Performs no I/O and does not interpret rumours.
"""

from collections.abc import Set
from dataclasses import dataclass
from math import log2

from hillchute.peers.datagrams import MAX_RUMOURS, Rumour

RETRANSMIT_MULTIPLIER = 3.0  # transmissions of a rumour, times the binary logarithm of the fleet size
MAX_GOSSIPED = MAX_RUMOURS // 2  # per datagram; the rest is for the states of sender and receiver


@dataclass(slots=True)
class QueuedRumour:
    """A rumour and the number of its transmissions so far."""

    rumour: Rumour
    transmissions: int = 0


class GossipQueue:
    """The latest rumour about each router, until it has been sent often enough."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedRumour] = {}  # by the router that they are about

    def add(self, rumour: Rumour) -> None:
        """Queues a rumour, replacing an earlier one about the same router."""
        self._queued[rumour.name] = QueuedRumour(rumour)

    def keep_only(self, names: Set[str]) -> None:
        """Removes the rumours about all other routers."""
        self._queued = {name: queued for name, queued in self._queued.items() if name in names}

    def take_for(self, receiver: str, fleet_size: int) -> list[Rumour]:
        """The rumours for one datagram, none about its receiver; counts their transmission."""
        max_transmissions = RETRANSMIT_MULTIPLIER * log2(fleet_size + 1)
        about_others = (queued for queued in self._queued.values() if queued.rumour.name != receiver)
        chosen = sorted(about_others, key=lambda queued: (queued.transmissions, queued.rumour.name))
        chosen = chosen[:MAX_GOSSIPED]
        for queued in chosen:
            queued.transmissions += 1
            if queued.transmissions >= max_transmissions:
                del self._queued[queued.rumour.name]
        return [queued.rumour for queued in chosen]
