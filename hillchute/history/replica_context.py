"""The state shared by the parts of one router's replica: identity, time, policies, view and messages."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.history.messages import Message
from hillchute.history.retention import RetentionPolicies
from hillchute.history.view_protocol import ViewProtocol

RETRY_INTERVAL: Time = 1_000  # 0.1 s, several network round trips; unanswered messages are then sent again


class Membership(NamedTuple):
    """The identity of a replica's router, and the other routers."""

    name: str
    incarnation: int  # rises with each restart of the router
    configured: Collection[str]  # the routers in the operator file, of which a majority is counted
    live_routers: Callable[[], Mapping[str, int]]  # incarnations by router, this one included


class ReplicaContext:
    """The shared state of one replica. Replica sets `now` at each event."""

    def __init__(
        self,
        membership: Membership,
        now: Time,
        policies: RetentionPolicies,
        views: ViewProtocol,
    ) -> None:
        self.name = membership.name
        self.incarnation = membership.incarnation
        self.live_routers = membership.live_routers
        self.now = now
        self.policies = policies
        self.views = views
        self.outbox: list[tuple[str, Message]] = []
        self.counters: Counter[str] = Counter()
        self.deliver_to_self: Callable[[Message], None]  # set by Replica
        self._last_number = 0

    def send(self, to: str, message: Message) -> None:
        """Queues a message; one to this router itself is delivered at once."""
        if to == self.name:
            self.deliver_to_self(message)
        else:
            self.outbox.append((to, message))

    def next_number(self) -> int:
        """Returns an unused number for a claim or a replication round of this router."""
        self._last_number += 1
        return self._last_number
