"""How a new set of retention policies reaches every router.

Owns which number was announced, and when other routers are asked for their policies. A set with a higher
number replaces a lower one, from wherever it comes.
"""

from hillchute.decision.interface import Time
from hillchute.errors import StalePoliciesError
from hillchute.history.durability import Durability
from hillchute.history.messages import Heartbeat, PoliciesRequest, PoliciesUpdate
from hillchute.history.record_store import RecordStore
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.retention import RetentionPolicies, changed_policies
from hillchute.history.views import HEARTBEAT_INTERVAL, NO_VIEW_ID, ViewId


class PolicyDistribution:
    """One replica's part in the distribution of policies."""

    def __init__(self, context: ReplicaContext, records: RecordStore, durability: Durability) -> None:
        self._context = context
        self._records = records
        self._durability = durability
        self.announced_number = context.policies.number
        self._announced_by: tuple[ViewId, Time] = (NO_VIEW_ID, 0)  # the heartbeat's view and time
        self._asked_at = context.now
        self._asked_routers = 0

    def receive(self, sender: str, message: PoliciesRequest | PoliciesUpdate) -> None:
        """A message about policies came."""
        match message:
            case PoliciesRequest():
                self.answer_request(sender, message)
            case PoliciesUpdate(policies):
                self.apply(policies)

    @property
    def are_current(self) -> bool:
        """Whether this replica has applied what the last heartbeat announced."""
        return self._context.policies.number >= self.announced_number

    def note_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """The announcement of a heartbeat counts if it is the coordinator's last, be the number higher or
        not: one that was wrong once is right again. Whether it counts."""
        announced_by = (heartbeat.view, heartbeat.sent_at)
        if heartbeat.view < self._context.views.highest or announced_by < self._announced_by:
            return False
        self.announced_number = heartbeat.policies_number
        self._announced_by = announced_by
        return True

    def request_if_outdated(self, router: str) -> None:
        """Asks a router for what was announced, if that is not here."""
        if not self.are_current:
            self.request_from(router)

    def request_from(self, router: str) -> None:
        """Asks a router for its policies, if they are later."""
        self._context.send(router, PoliciesRequest(self._context.policies.number))

    def answer_request(self, sender: str, request: PoliciesRequest) -> None:
        """Another router asks for later policies than its own."""
        if self._context.policies.number > request.above:
            self._context.send(sender, PoliciesUpdate(self._context.policies))

    def apply(self, policies: RetentionPolicies) -> bool:
        """A set with a higher number holds from now: what it forbids is answered no more, and soon erased.
        False for any other."""
        old = self._context.policies
        if policies.number <= old.number:
            return False
        changes = changed_policies(old, policies).values()
        self._context.policies = policies
        self._records.full_until.clear()
        if any(before.disk != after.disk for before, after in changes):
            self._durability.mark_for_disk()
        self._durability.save_changes()
        return True

    def tick(self) -> None:
        """Asks the other routers in turn for later policies.

        Guards what must be erased where fewer than half of the routers reach each other: no view is proposed
        there, and so no heartbeat announces the last policies."""
        if self._context.now - self._asked_at < HEARTBEAT_INTERVAL:
            return
        self._asked_at = self._context.now
        others = sorted(self._context.living().keys() - {self._context.name})
        if others:
            self._asked_routers += 1
            self.request_from(others[self._asked_routers % len(others)])

    def outdated_routers(self) -> list[StalePoliciesError]:
        """As far as this router knows, if it coordinates: who has not applied the last policies."""
        views = self._context.views
        if not views.proposed:
            return []
        last = self._context.policies.number
        numbers = {
            name: views.policies_numbers.get(name, 0)
            for name in self._context.living()
            if name != self._context.name
        }
        return [
            StalePoliciesError(f"policies {number}, not {last}", name)
            for name, number in numbers.items()
            if number < last
        ]
