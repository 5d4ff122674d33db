"""Transfers the records of slots from their earlier holders to the holders in the adopted view."""

from hillchute.decision.interface import Time
from hillchute.history.durability import Durability
from hillchute.history.messages import SlotPart, SlotRedirect, SlotRequest
from hillchute.history.record_store import RecordStore
from hillchute.history.records import RetainedRecord
from hillchute.history.replica_context import RETRY_INTERVAL, ReplicaContext
from hillchute.history.slot_authority import SlotAuthority
from hillchute.history.slot_placement import slot_of
from hillchute.history.slot_table import SlotState, SlotTable
from hillchute.history.views import VIEW_LEASE

# Slots updated to the last view, and slots requested, in one tick. A busy event loop handles the messages of
# one tick in about a quarter of a second.
SLOTS_PER_TICK = 64
SOURCE_TIMEOUT: Time = 600_000  # one minute for a live source: it may have much to send or a slow network
REQUEST_INTERVAL: Time = 4 * RETRY_INTERVAL
PART_SIZE = 1 << 20  # bytes of records in one message


class SlotTransfer:
    """One replica's part in the transfer of slots."""

    def __init__(
        self,
        context: ReplicaContext,
        records: RecordStore,
        slots: SlotTable,
        authority: SlotAuthority,
        durability: Durability,
    ) -> None:
        self._context = context
        self._records = records
        self._slots = slots
        self._authority = authority
        self._durability = durability
        self.handed_over: set[int] = set()  # slots sent to another router in the adopted view
        self._requested_at = context.now - RETRY_INTERVAL

    def receive(self, sender: str, message: SlotRequest | SlotPart | SlotRedirect) -> None:
        """Handles a message about a slot's transfer."""
        match message:
            case SlotRequest():
                self.answer_request(sender, message)
            case SlotPart():
                self.handle_part(sender, message)
            case SlotRedirect():
                self.handle_redirect(sender, message)

    def on_view_adopted(self) -> None:
        """Clears the slots that were handed over in the previous view."""
        self.handed_over.clear()

    def tick(self) -> None:
        """Applies the last view to some slots, and requests those that are to be fetched."""
        outdated = self._slots.outdated
        for _ in range(min(SLOTS_PER_TICK, len(outdated))):
            self._slots.current(outdated.popleft())
        if self._context.now - self._requested_at >= RETRY_INTERVAL:
            self._requested_at = self._context.now
            for number in list(self._slots.fetching)[:SLOTS_PER_TICK]:
                self._request(number)

    def _request(self, number: int) -> None:
        context = self._context
        slot = self._slots.current(number)
        if slot.fetch_epoch is None or slot.released_at is not None:
            self._slots.fetching.pop(number, None)
            return
        sources = slot.remaining_sources()
        live_routers = context.live_routers()
        is_source_live = any(live_routers.get(name) == incarnation for name, incarnation in sources.items())
        timeout = SOURCE_TIMEOUT if is_source_live else VIEW_LEASE
        if not sources or context.now - slot.fetch_started_at > timeout:
            self._slots.declare_lost(number, slot, context.views.view)
            return
        if context.now - slot.requested_at < REQUEST_INTERVAL:
            return
        slot.requested_at = context.now
        for name in sources:
            context.send(name, SlotRequest(context.views.view.id, number, slot.fetch_epoch))

    def answer_request(self, sender: str, request: SlotRequest) -> None:
        """Answers a router that holds a slot now and requests its records."""
        context = self._context
        if request.view < self._authority.lowest_accepted_view:
            return
        if not context.views.is_plausible(context.now, request.view):
            return
        self._authority.raise_lowest_accepted(request.view)
        slot = self._slots.current(request.slot)
        if slot.complete_in in (request.epoch, request.view):
            self._send_slot(sender, request, slot)
        elif slot.fetch_epoch is not None and slot.held_in in (request.epoch, request.view):
            sources = slot.remaining_sources()
            context.send(sender, SlotRedirect(request.view, request.slot, slot.fetch_epoch, sources))
        else:
            context.send(sender, SlotRedirect(request.view, request.slot, request.epoch, {}))

    def _send_slot(self, to: str, request: SlotRequest, slot: SlotState) -> None:
        now = self._context.now
        parts = self._parts_of(request.slot)
        for index, part in enumerate(parts):
            message = SlotPart(
                view=request.view,
                slot=request.slot,
                part=index,
                parts=len(parts),
                records=tuple(retained.record for retained in part),
                ages=tuple(max(0, now - retained.since) for retained in part),
                lost=None if slot.lost_at is None else max(0, now - slot.lost_at),
                lease=slot.lease,
            )
            self._context.send(to, message)
        self.handed_over.add(request.slot)

    def _parts_of(self, number: int) -> list[list[RetainedRecord]]:
        """Returns a slot's records split by message size; at least one part, which may be empty."""
        parts: list[list[RetainedRecord]] = [[]]
        size = 0
        for retained in self._records.records_of_slot(number):
            if size + retained.record.size > PART_SIZE and parts[-1]:
                parts.append([])
                size = 0
            parts[-1].append(retained)
            size += retained.record.size
        return parts

    def handle_part(self, sender: str, part: SlotPart) -> None:
        """Stores a part of a slot; the slot is complete once all parts have arrived."""
        context = self._context
        slot = self._slots.current(part.slot)
        if part.view != context.views.view.id or slot.fetch_epoch is None or sender not in slot.sources:
            return
        for record, age in zip(part.records, part.ages, strict=True):
            if slot_of(record.customer, record.ordering_key) == part.slot:
                self._records.put(record, context.now, age, context.policies)
        received = slot.received_parts.setdefault((sender, part.parts), set())
        received.add(part.part)
        if len(received) < part.parts:
            return
        if part.lost is not None:
            slot.lost_at = max(slot.lost_at or 0, context.now - part.lost)
        slot.lease = part.lease
        self._slots.mark_complete(part.slot, slot)
        context.counters["slots fetched"] += 1
        self._durability.save_changes()

    def handle_redirect(self, sender: str, redirect: SlotRedirect) -> None:
        """Handles the reply of a source that does not have a slot and names routers that may."""
        slot = self._slots.current(redirect.slot)
        is_current_view = redirect.view == self._context.views.view.id
        if not is_current_view or slot.fetch_epoch is None or sender not in slot.sources:
            return
        if redirect.epoch == slot.fetch_epoch:
            slot.refusals |= {sender}
        elif redirect.epoch == slot.complete_in:
            self._slots.mark_complete(redirect.slot, slot)
        else:
            # The source is fetching the slot itself, so it granted nothing: use its sources instead.
            self._slots.start_fetch(redirect.slot, slot, redirect.epoch, redirect.sources)
