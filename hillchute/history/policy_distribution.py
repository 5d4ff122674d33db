"""Distributes a new set of retention policies to every router.

A set with a higher number replaces one with a lower number, whichever router it comes from. The coordinator
announces its number in heartbeats; in addition each router regularly asks the others.
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
        self._announced_by: tuple[ViewId, Time] = (NO_VIEW_ID, 0)  # view and time of the heartbeat
        self._requested_at = context.now
        self._request_count = 0

    def receive(self, sender: str, message: PoliciesRequest | PoliciesUpdate) -> None:
        """Handles a message about policies."""
        match message:
            case PoliciesRequest():
                self.answer_request(sender, message)
            case PoliciesUpdate(policies):
                self.apply(policies)

    @property
    def are_current(self) -> bool:
        """Whether this replica has applied the policies announced in the last heartbeat."""
        return self._context.policies.number >= self.announced_number

    def note_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Takes the announced policies number from a heartbeat; returns whether it was accepted.

        The coordinator's latest heartbeat is accepted even if its number is lower, so that a wrong number is
        corrected by the next heartbeat.
        """
        announced_by = (heartbeat.view, heartbeat.sent_at)
        if heartbeat.view < self._context.views.highest or announced_by < self._announced_by:
            return False
        self.announced_number = heartbeat.policies_number
        self._announced_by = announced_by
        return True

    def request_if_outdated(self, router: str) -> None:
        """Asks a router for its policies if the announced ones have not been applied."""
        if not self.are_current:
            self.request_from(router)

    def request_from(self, router: str) -> None:
        """Asks a router for its policies if they are later than the applied ones."""
        self._context.send(router, PoliciesRequest(self._context.policies.number))

    def answer_request(self, sender: str, request: PoliciesRequest) -> None:
        """Sends this router's policies if they are later than the requesting router's."""
        if self._context.policies.number > request.above:
            self._context.send(sender, PoliciesUpdate(self._context.policies))

    def apply(self, policies: RetentionPolicies) -> bool:
        """Applies a set with a higher number at once; returns False for any other set.

        Records that it forbids are no longer replayed and are erased within `erase_ms`.
        """
        old = self._context.policies
        if policies.number <= old.number:
            return False
        changes = changed_policies(old, policies).values()
        self._context.policies = policies
        self._records.full_until.clear()
        if any(before.disk != after.disk for before, after in changes):
            self._durability.mark_all_unsaved()
        self._durability.save_changes()
        return True

    def tick(self) -> None:
        """Asks the other routers in turn for later policies.

        Erasure must also reach routers that are cut off from the majority. There no view is proposed, so no
        heartbeat announces the latest policies.
        """
        if self._context.now - self._requested_at < HEARTBEAT_INTERVAL:
            return
        self._requested_at = self._context.now
        others = sorted(self._context.live_routers().keys() - {self._context.name})
        if others:
            self._request_count += 1
            self.request_from(others[self._request_count % len(others)])

    def outdated_routers(self) -> list[StalePoliciesError]:
        """Returns an error for each live router known not to have applied the latest policies.

        Only the coordinator knows of any.
        """
        views = self._context.views
        if not views.proposed:
            return []
        last = self._context.policies.number
        numbers = {
            name: views.policies_numbers.get(name, 0)
            for name in self._context.live_routers()
            if name != self._context.name
        }
        return [
            StalePoliciesError(f"has applied policies {number}, latest are {last}", name)
            for name, number in numbers.items()
            if number < last
        ]
