"""Which rumours are gossiped with the next datagram: those sent least so far, each a bounded number of times.

Pure: it knows neither what a rumour means nor how it is sent.
"""

from collections.abc import Set
from dataclasses import dataclass
from math import log2

from hillchute.peers.datagrams import MAX_RUMOURS, Rumour

RETRANSMIT_MULTIPLIER = 3.0  # times the logarithm (2) of the fleet that each rumour is sent
MAX_GOSSIPED = MAX_RUMOURS // 2  # in one datagram; the rest is for its sender's and receiver's own states


@dataclass(slots=True)
class QueuedRumour:
    """A rumour that is still gossiped."""

    rumour: Rumour
    transmissions: int = 0


class GossipQueue:
    """The latest rumour about each router, until it has been sent often enough."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedRumour] = {}  # by whom they are about

    def add(self, rumour: Rumour) -> None:
        """To be gossiped, in place of what was gossiped about the same router."""
        self._queued[rumour.name] = QueuedRumour(rumour)

    def keep_only(self, names: Set[str]) -> None:
        """Forgets the rumours about all other routers."""
        self._queued = {name: queued for name, queued in self._queued.items() if name in names}

    def take_for(self, receiver: str, fleet_size: int) -> list[Rumour]:
        """The rumours for one datagram, counted as sent once more; none about its receiver."""
        max_transmissions = RETRANSMIT_MULTIPLIER * log2(fleet_size + 1)
        about_others = (queued for queued in self._queued.values() if queued.rumour.name != receiver)
        chosen = sorted(about_others, key=lambda queued: (queued.transmissions, queued.rumour.name))
        chosen = chosen[:MAX_GOSSIPED]
        for queued in chosen:
            queued.transmissions += 1
            if queued.transmissions >= max_transmissions:
                del self._queued[queued.rumour.name]
        return [queued.rumour for queued in chosen]
