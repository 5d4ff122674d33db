"""One router's replica of the history: messages, the router's own queries and the time in, messages out.

Owns the parts of the replica and which of them takes a message. It does no I/O, looks at no clock, and takes
no decision itself.

What is relied on: a claim is granted only once every holder of its slot, in one view that all of them have
adopted, has the record. A holder in a new view that was none before answers for a slot only once it has all
records that a holder of the view before had, which takes part in that view no more from then on. Where no
such holder is left the slot is empty, and counts as lost from then.

Where there are partners a slot has an ownership lease, too, which is kept and moves like a record: it stands
once every holder has it, and while it moves nothing of the slot is granted.
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
from hillchute.history.own_claims import Decided, KeyedQuery, OwnClaims
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
    """One router's replica. All times are the caller's clock, whole tenths of a millisecond."""

    def __init__(
        self,
        membership: Membership,
        policies: RetentionPolicies,
        now: Time,
        durable_store: DurableStore | None = None,
        agreement: PartnerAgreement | None = None,
    ) -> None:
        """`durable_store`: where there is a disk; `agreement`: where there are partners."""
        views = ViewProtocol(membership.name, membership.incarnation, membership.named, now)
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
            self.leases.lease_moved = self.claims.decide_waiting_of_slot
            self.claims.leases = self.leases
        self.view_change = ViewChange(context, self.policy_distribution, agreement, self._view_adopted)
        self.sweep = RetentionSweep(context, self.records, self.slots, self.replication, self.durability)

    def _view_adopted(self, view: View) -> None:
        self.slot_transfer.view_adopted()
        self.authority.view_adopted()
        self.claims.view_adopted()
        self.replication.view_adopted()
        if self.leases is not None:
            self.leases.view_adopted()
        self.slots.add_view(view)

    # ---- what is read of it ---------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """This router's name."""
        return self.context.name

    @property
    def policies(self) -> RetentionPolicies:
        """The policies that it has applied."""
        return self.context.policies

    @property
    def views(self) -> ViewProtocol:
        """The view that it adopted, and whether that is in force."""
        return self.context.views

    @property
    def counters(self) -> Counter[str]:
        """What happened since the start, for the log."""
        return self.context.counters

    @property
    def has_messages(self) -> bool:
        """Whether messages wait to be sent."""
        return bool(self.context.outbox)

    def take_messages(self) -> list[tuple[str, Message]]:
        """The messages to be sent, with the routers they go to; they wait no more."""
        messages = self.context.outbox
        self.context.outbox = []
        return messages

    def take_decided(self) -> list[Decided]:
        """What became of this router's own claims since the last call."""
        decided = self.own_claims.decided
        self.own_claims.decided = []
        return decided

    @property
    def is_handed_over(self) -> bool:
        """Whether no router needs this one's records any more: its own claims are over, and other routers
        have fetched all slots that have records."""
        needed = [
            number
            for number, slot in enumerate(self.slots.slots)
            if slot.released_at is None and self.records.slots[number]
        ]
        return not self.own_claims.claims and self.slot_transfer.given.issuperset(needed)

    # ---- this router's own queries --------------------------------------------------------------------

    def claim(self, now: Time, query: KeyedQuery) -> int:
        """Asks whether a query may run; what becomes of it comes with `take_decided`, under the number that
        is returned, by its deadline."""
        self.context.now = now
        return self.own_claims.add(query)

    def end_claim(self, now: Time, number: int, state: int, rows: bytes | None = None) -> None:
        """The query of a claim is over, granted or not: NOT_RUN if no attempt can have had an effect."""
        self.context.now = now
        self.own_claims.end(number, state, rows)

    # ---- messages -------------------------------------------------------------------------------------

    def _deliver_to_self(self, message: Message) -> None:
        self.receive(self.context.now, self.context.name, message)

    def receive(self, now: Time, sender: str, message: Message) -> None:
        """A message came from a router whose signature was checked, or from this one."""
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

    # ---- time -----------------------------------------------------------------------------------------

    def tick(self, now: Time) -> None:
        """Called every RETRY_INTERVAL or so."""
        self.context.now = now
        self.view_change.tick()
        self.slot_transfer.tick()
        if self.leases is not None:
            self.leases.tick()
        self.replication.tick()
        self.own_claims.tick()
        self.policy_distribution.tick()
        self.sweep.tick()

    # ---- what the operator wants ----------------------------------------------------------------------

    def apply_policies(self, now: Time, policies: RetentionPolicies) -> bool:
        """Policies with a higher number hold from now; False for others, which change nothing."""
        self.context.now = now
        return self.policy_distribution.apply(policies)

    def outdated_routers(self) -> list[StalePoliciesError]:
        """As far as this router knows, if it coordinates: who has not applied the last policies."""
        return self.policy_distribution.outdated_routers()

    def name_routers(self, named: Iterable[str], now: Time) -> None:
        """The operator names other routers. Guards against two halves that share no router: as after a
        restart, nothing is granted for a while, and no view takes over from one that had other names."""
        old = self.context.views
        if old.named == frozenset(named) | {self.name}:
            return
        new = ViewProtocol(self.name, self.context.incarnation, named, now)
        new.view = old.view
        new.highest = old.highest
        self.context.views = new

    def recall(self, now: Time, records: Iterable[tuple[Record, Time]]) -> None:
        """Takes in what the durable store has kept over a restart, with the Unix time since when."""
        self.context.now = now
        self.durability.recall(records)

    def prepare_to_leave(self) -> None:
        """This router shuts down: it gives what it has, and proposes no view any more."""
        self.view_change.is_leaving = True
