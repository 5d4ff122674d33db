"""One router's replica of the history: combines its parts and dispatches messages, calls and timers to them.

Performs no I/O and reads no clock: times are passed in, and outgoing messages are fetched by the caller.

The view determines the holders of each slot; the first of them decides on claims and sends records to the
others.

Invariants: a claim is granted only once every holder of its slot has stored the record, all in the same
adopted view. A router that becomes a holder in a new view decides for the slot only once it has fetched all
records from a holder of the previous view, which then no longer takes part in that view. If no such holder is
left, the slot starts empty and its earlier records count as lost from then on.

With partners a slot also has an ownership lease, which is stored and moved like a record: it takes effect
once every holder has stored it, and during its transfer no new claim of the slot is granted.
"""

from collections import Counter
from collections.abc import Iterable
from typing import assert_never

from hillchute.decision.interface import Time
from hillchute.errors import StalePoliciesError
from hillchute.history.claims import Claims
from hillchute.history.durability import Durability, DurableStore
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.history.messages import (
    ClaimReply,
    ClaimRequest,
    Completion,
    CompletionReply,
    Heartbeat,
    HeartbeatReply,
    LeaseReply,
    LeaseUpdate,
    Message,
    PoliciesRequest,
    PoliciesUpdate,
    PromiseReply,
    PromiseRequest,
    ReplicateReply,
    ReplicateRequest,
    SlotPart,
    SlotRedirect,
    SlotRequest,
    ViewAnnouncement,
    ViewUpdate,
)
from hillchute.history.own_claims import DecidedClaim, KeyedQuery, OwnClaims
from hillchute.history.ownership_leases import PartnerAgreement
from hillchute.history.policy_distribution import PolicyDistribution
from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record
from hillchute.history.replica_context import Membership, ReplicaContext
from hillchute.history.replication import Replication
from hillchute.history.retention import RetentionPolicies
from hillchute.history.retention_sweep import RetentionSweep
from hillchute.history.slot_authority import SlotAuthority
from hillchute.history.slot_table import SlotTable
from hillchute.history.slot_transfer import SlotTransfer
from hillchute.history.view_change import ViewChange
from hillchute.history.view_protocol import ViewProtocol
from hillchute.history.views import View


class Replica:
    """One router's replica. All times are by the caller's clock, in whole tenths of a millisecond."""

    def __init__(
        self,
        membership: Membership,
        policies: RetentionPolicies,
        now: Time,
        durable_store: DurableStore | None = None,
        agreement: PartnerAgreement | None = None,
    ) -> None:
        """`durable_store`: None without a disk; `agreement`: None without partners."""
        views = ViewProtocol(membership.name, membership.incarnation, membership.configured, now)
        self.context = context = ReplicaContext(membership, now, policies, views)
        context.deliver_to_self = self._deliver_to_self
        self.records = RecordStore()
        self.durability = Durability(context, self.records, durable_store)
        self.policy_distribution = PolicyDistribution(context, self.records, self.durability)
        self.slots = SlotTable(context)
        self.authority = SlotAuthority(context, self.slots, self.policy_distribution)
        self.replication = Replication(context, self.records, self.authority, self.durability)
        self.claims = Claims(context, self.records, self.slots, self.authority, self.replication)
        self.own_claims = OwnClaims(context, self.authority, self.policy_distribution)
        self.slot_transfer = SlotTransfer(context, self.records, self.slots, self.authority, self.durability)
        self.leases: LeaseTransfers | None = None
        if agreement is not None:
            self.leases = LeaseTransfers(context, self.records, self.slots, self.authority, agreement)
            self.leases.on_lease_moved = self.claims.decide_waiting_of_slot
            self.claims.leases = self.leases
        self.view_change = ViewChange(context, self.policy_distribution, agreement, self._on_view_adopted)
        self.sweep = RetentionSweep(context, self.records, self.slots, self.replication, self.durability)

    def _on_view_adopted(self, view: View) -> None:
        self.slot_transfer.on_view_adopted()
        self.authority.on_view_adopted()
        self.claims.on_view_adopted()
        self.replication.on_view_adopted()
        if self.leases is not None:
            self.leases.on_view_adopted()
        self.slots.add_view(view)

    # ---- state and output -----------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """This router's name."""
        return self.context.name

    @property
    def policies(self) -> RetentionPolicies:
        """The applied policies."""
        return self.context.policies

    @property
    def views(self) -> ViewProtocol:
        """The state of the view protocol: the adopted view, and whether it is in force."""
        return self.context.views

    @property
    def counters(self) -> Counter[str]:
        """Counts of events since the start, for the log."""
        return self.context.counters

    @property
    def has_messages(self) -> bool:
        """Whether messages wait to be sent."""
        return bool(self.context.outbox)

    def take_messages(self) -> list[tuple[str, Message]]:
        """Returns the messages to send, each with its receiver, and clears them."""
        messages = self.context.outbox
        self.context.outbox = []
        return messages

    def take_decided_claims(self) -> list[DecidedClaim]:
        """Returns the decisions on this router's claims since the last call."""
        decided = self.own_claims.decided
        self.own_claims.decided = []
        return decided

    @property
    def is_handed_over(self) -> bool:
        """Whether no other router needs this one's records any more.

        Its own claims have ended, and other routers have fetched all its slots that have records.
        """
        needed = [
            number
            for number, slot in enumerate(self.slots.slots)
            if slot.released_at is None and self.records.slots[number]
        ]
        return not self.own_claims.claims and self.slot_transfer.handed_over.issuperset(needed)

    # ---- this router's queries ------------------------------------------------------------------------

    def claim(self, now: Time, query: KeyedQuery) -> int:
        """Makes a claim for a query and returns its number.

        `take_decided_claims` returns the decision under that number, by the query's deadline.
        """
        self.context.now = now
        return self.own_claims.add(query)

    def end_claim(self, now: Time, number: int, state: int, rows: bytes | None = None) -> None:
        """Ends the claim of a finished query, granted or not.

        `state`: NOT_RUN if no attempt can have had an effect.
        """
        self.context.now = now
        self.own_claims.end(number, state, rows)

    # ---- messages -------------------------------------------------------------------------------------

    def _deliver_to_self(self, message: Message) -> None:
        self.receive(self.context.now, self.context.name, message)

    def receive(self, now: Time, sender: str, message: Message) -> None:
        """Handles a message from an authenticated router or from this one."""
        self.context.now = now
        match message:
            case (
                PromiseRequest()
                | PromiseReply()
                | Heartbeat()
                | HeartbeatReply()
                | ViewAnnouncement()
                | ViewUpdate()
            ):
                self.view_change.receive(sender, message)
            case PoliciesRequest() | PoliciesUpdate():
                self.policy_distribution.receive(sender, message)
            case ClaimRequest() | Completion():
                self.claims.receive(sender, message)
            case ClaimReply() | CompletionReply():
                self.own_claims.receive(message)
            case ReplicateRequest() | ReplicateReply():
                self.replication.receive(sender, message)
            case SlotRequest() | SlotPart() | SlotRedirect():
                self.slot_transfer.receive(sender, message)
            case LeaseUpdate() | LeaseReply():
                if self.leases is not None:
                    self.leases.receive(sender, message)
            case _:
                assert_never(message)

    # ---- timers ---------------------------------------------------------------------------------------

    def tick(self, now: Time) -> None:
        """Runs the periodic work of all parts; to be called about every RETRY_INTERVAL."""
        self.context.now = now
        self.view_change.tick()
        self.slot_transfer.tick()
        if self.leases is not None:
            self.leases.tick()
        self.replication.tick()
        self.own_claims.tick()
        self.policy_distribution.tick()
        self.sweep.tick()

    # ---- operator settings and shutdown ---------------------------------------------------------------

    def apply_policies(self, now: Time, policies: RetentionPolicies) -> bool:
        """Applies policies with a higher number at once; returns False for others, which change nothing."""
        self.context.now = now
        return self.policy_distribution.apply(policies)

    def outdated_routers(self) -> list[StalePoliciesError]:
        """Returns an error for each live router known not to have applied the latest policies.

        Only the coordinator knows of any.
        """
        return self.policy_distribution.outdated_routers()

    def set_configured_routers(self, configured: Iterable[str], now: Time) -> None:
        """Replaces the set of configured routers.

        Majorities of the old and of the new set may share no router. Therefore, as after a restart, nothing
        is granted for a while, and no later view takes over from a view of the old set.
        """
        old = self.context.views
        if old.configured == frozenset(configured) | {self.name}:
            return
        new = ViewProtocol(self.name, self.context.incarnation, configured, now)
        new.view = old.view
        new.highest = old.highest
        self.context.views = new

    def restore(self, now: Time, records: Iterable[tuple[Record, Time]]) -> None:
        """Adds the records of the durable store, each with the Unix time when it was granted."""
        self.context.now = now
        self.durability.restore(records)

    def prepare_to_leave(self) -> None:
        """Prepares for shutdown: this router still hands over its slots but proposes no more views."""
        self.view_change.is_leaving = True
