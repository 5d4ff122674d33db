"""What the parts of one router's replica share.

Owns who the replica is, the instant, the policies that it has applied, its view, and what it sends. It takes
no decision.
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.history.messages import Message
from hillchute.history.retention import RetentionPolicies
from hillchute.history.view_protocol import ViewProtocol

RETRY_INTERVAL: Time = 1_000  # a message without an answer goes again after 0.1 s: some network round trips


class Membership(NamedTuple):
    """Which router a replica is, and which other routers there are."""

    name: str
    incarnation: int  # its start: a router that restarts has a higher one
    named: Collection[str]  # the routers that the operator named, among whom a majority is counted
    living: Callable[[], Mapping[str, int]]  # routers that live, this one among them, with their incarnations


class ReplicaContext:
    """The shared state of one replica. `now` is set by the facade with each event."""

    def __init__(
        self,
        membership: Membership,
        now: Time,
        policies: RetentionPolicies,
        views: ViewProtocol,
    ) -> None:
        self.name = membership.name
        self.incarnation = membership.incarnation
        self.living = membership.living
        self.now = now
        self.policies = policies
        self.views = views
        self.outbox: list[tuple[str, Message]] = []
        self.counters: Counter[str] = Counter()
        self.deliver_to_self: Callable[[Message], None]  # set by the facade
        self._last_number = 0

    def send(self, to: str, message: Message) -> None:
        """A message to this router itself is delivered at once."""
        if to == self.name:
            self.deliver_to_self(message)
        else:
            self.outbox.append((to, message))

    def next_number(self) -> int:
        """A number for a claim or a replication round of this router, never used before."""
        self._last_number += 1
        return self._last_number
