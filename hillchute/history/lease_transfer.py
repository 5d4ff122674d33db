"""How a slot's ownership lease moves from one partner to another.

Owns the transfers that are under way at the slot's first holder, and what the other holders store. While a
lease moves nothing of its slot is granted; it stands once every holder has it.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision, ReasonedDecision
from hillchute.history.messages import LeaseReply, LeaseUpdate
from hillchute.history.ownership_leases import OwnershipLease, PartnerAgreement
from hillchute.history.record_store import RecordStore
from hillchute.history.records import RecordState
from hillchute.history.replica_context import RETRY_INTERVAL, ReplicaContext
from hillchute.history.slot_authority import SlotAuthority
from hillchute.history.slot_placement import SLOTS
from hillchute.history.slot_table import SlotTable

CHECKS_PER_TICK = 64  # slots whose leases are compared with the agreement in one tick


class LeaseTransfer(msgspec.Struct):
    """A lease on its way to the other holders."""

    lease: OwnershipLease
    pending: set[str]  # holders that have not stored it
    began_at: Time
    sent_at: Time


class LeaseTransfers:
    """One replica's part in the ownership of slots; only where there are partners."""

    def __init__(
        self,
        context: ReplicaContext,
        records: RecordStore,
        slots: SlotTable,
        authority: SlotAuthority,
        agreement: PartnerAgreement,
    ) -> None:
        self._context = context
        self._records = records
        self._slots = slots
        self._authority = authority
        self._agreement = agreement
        self.lease_moved: Callable[[int], None]  # set by the facade: called with a slot whose lease has moved
        self.transfers: dict[int, LeaseTransfer] = {}  # by slot
        self._unchecked: deque[int] = deque()  # slots to be compared with the agreement
        self._checked_revision = 0  # of the agreement

    def receive(self, sender: str, message: LeaseUpdate | LeaseReply) -> None:
        """A message about a slot's lease came."""
        match message:
            case LeaseUpdate():
                self.answer_update(sender, message)
            case LeaseReply():
                self.take_reply(sender, message)

    def view_adopted(self) -> None:
        """Transfers of the view before are begun again by the first holders of this one."""
        self.transfers.clear()
        self._unchecked = deque(range(SLOTS))

    # ---- what claims ask ------------------------------------------------------------------------------

    def objection(
        self, sender: str, customer: str, ordering_key: str, number: int
    ) -> ReasonedDecision | None:
        """Why a router's query of a slot can't be granted; None if it can."""
        if number in self.transfers:
            return ReasonedDecision(ClaimDecision.WAIT, "its slot changes hands")
        lease = self._slots.slots[number].lease

        def is_earlier_running() -> bool:
            return lease is not None and self.is_earlier_running(customer, ordering_key, lease)

        found = self._agreement.grant_refusal(self._context.now, sender, lease, is_earlier_running)
        return ReasonedDecision(*found) if found is not None else None

    def is_earlier_running(self, customer: str, ordering_key: str, lease: OwnershipLease) -> bool:
        """Whether a run of the key that was granted under an earlier lease may not be over."""
        return any(
            retained.record.state == RecordState.RUNNING and retained.may_be_running(self._context.now)
            for retained in self._records.records_of_key(customer, ordering_key)
            if retained.record.lease_number < lease.number
        )

    # ---- as the first holder --------------------------------------------------------------------------

    def tick(self) -> None:
        """Begins the transfers that the agreement wants, and sends again what was not answered."""
        if self._agreement.revision != self._checked_revision:
            self._checked_revision = self._agreement.revision
            self._unchecked = deque(range(SLOTS))
        for _ in range(min(CHECKS_PER_TICK, len(self._unchecked))):
            self._check(self._unchecked.popleft())
        for number, transfer in list(self.transfers.items()):
            if self._context.now - transfer.sent_at >= RETRY_INTERVAL:
                self._send(number, transfer)

    def _check(self, number: int) -> None:
        context = self._context
        if self._authority.holders_of(number)[:1] != (context.name,):
            return
        if self._authority.obstacle(number, context.views.view.id) or number in self.transfers:
            self._unchecked.append(number)
            return
        slot = self._slots.current(number)
        lease = self._agreement.next_lease(context.now, number, slot.lease)
        if lease is not None and lease != slot.lease:
            others = self._authority.other_holders_of(number)
            sent_at = context.now - RETRY_INTERVAL
            self.transfers[number] = LeaseTransfer(lease, others, context.now, sent_at)

    def _send(self, number: int, transfer: LeaseTransfer) -> None:
        transfer.sent_at = self._context.now
        for name in sorted(transfer.pending):
            self._context.send(name, LeaseUpdate(self._context.views.view.id, number, transfer.lease))
        if not transfer.pending:
            self.complete(number, transfer)

    def complete(self, number: int, transfer: LeaseTransfer) -> None:
        """All holders have the lease: it stands."""
        del self.transfers[number]
        self._slots.slots[number].lease = transfer.lease
        self._context.counters["leases moved"] += 1
        self.lease_moved(number)

    def take_reply(self, sender: str, reply: LeaseReply) -> None:
        """Another holder has stored a lease."""
        transfer = self.transfers.get(reply.slot)
        if transfer is None or reply.view != self._context.views.view.id:
            return
        if reply.number != transfer.lease.number:
            return
        transfer.pending.discard(sender)
        if not transfer.pending:
            self.complete(reply.slot, transfer)

    # ---- as another holder ----------------------------------------------------------------------------

    def answer_update(self, sender: str, update: LeaseUpdate) -> None:
        """The first holder sends a lease to be stored."""
        if self._authority.may_copy_from(sender, update.slot, update.view):
            self._slots.slots[update.slot].lease = update.lease
            self._context.send(sender, LeaseReply(update.view, update.slot, update.lease.number))
