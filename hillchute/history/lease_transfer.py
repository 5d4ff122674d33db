"""Moves a slot's ownership lease from one partner to another.

The first holder sends the new lease to the other holders; it takes effect once all of them have stored it.
During the transfer no new claim of the slot is granted.
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
    """A lease that is being sent to the other holders."""

    lease: OwnershipLease
    pending: set[str]  # holders that have not stored it
    began_at: Time
    sent_at: Time


class LeaseTransfers:
    """One replica's part in the transfer of ownership leases; exists only with partners."""

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
        self.on_lease_moved: Callable[[int], None]  # set by Replica; called with the slot
        self.transfers: dict[int, LeaseTransfer] = {}  # by slot
        self._unchecked: deque[int] = deque()  # slots to be compared with the agreement
        self._checked_revision = 0  # of the agreement

    def receive(self, sender: str, message: LeaseUpdate | LeaseReply) -> None:
        """Handles a message about a slot's lease."""
        match message:
            case LeaseUpdate():
                self.answer_update(sender, message)
            case LeaseReply():
                self.handle_reply(sender, message)

    def on_view_adopted(self) -> None:
        """Drops the transfers of the previous view: the first holders in the new view start them again."""
        self.transfers.clear()
        self._unchecked = deque(range(SLOTS))

    # ---- checks for claims ----------------------------------------------------------------------------

    def refusal(self, sender: str, customer: str, ordering_key: str, number: int) -> ReasonedDecision | None:
        """Returns why a router's query of a slot cannot be granted; None if it can."""
        if number in self.transfers:
            return ReasonedDecision(ClaimDecision.WAIT, "its slot changes hands")
        lease = self._slots.slots[number].lease

        def is_earlier_running() -> bool:
            return lease is not None and self.is_earlier_running(customer, ordering_key, lease)

        refusal = self._agreement.grant_refusal(self._context.now, sender, lease, is_earlier_running)
        return ReasonedDecision(*refusal) if refusal is not None else None

    def is_earlier_running(self, customer: str, ordering_key: str, lease: OwnershipLease) -> bool:
        """Whether a run of the key that was granted under an earlier lease may not have ended."""
        return any(
            retained.record.state == RecordState.RUNNING and retained.may_be_running(self._context.now)
            for retained in self._records.records_of_key(customer, ordering_key)
            if retained.record.lease_number < lease.number
        )

    # ---- as the first holder --------------------------------------------------------------------------

    def tick(self) -> None:
        """Starts the transfers that the agreement calls for, and repeats unanswered lease updates."""
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
        if self._authority.rejection_reason(number, context.views.view.id) or number in self.transfers:
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
        """Puts the lease into effect: all holders have stored it."""
        del self.transfers[number]
        self._slots.slots[number].lease = transfer.lease
        self._context.counters["leases moved"] += 1
        self.on_lease_moved(number)

    def handle_reply(self, sender: str, reply: LeaseReply) -> None:
        """Notes that another holder has stored a lease."""
        transfer = self.transfers.get(reply.slot)
        if transfer is None or reply.view != self._context.views.view.id:
            return
        if reply.number != transfer.lease.number:
            return
        transfer.pending.discard(sender)
        if not transfer.pending:
            self.complete(reply.slot, transfer)

    # ---- as one of the other holders ------------------------------------------------------------------

    def answer_update(self, sender: str, update: LeaseUpdate) -> None:
        """Stores a lease sent by the first holder."""
        if self._authority.may_copy_from(sender, update.slot, update.view):
            self._slots.slots[update.slot].lease = update.lease
            self._context.send(sender, LeaseReply(update.view, update.slot, update.lease.number))
