"""How the records of a slot come from its earlier holders to those of the adopted view.

Owns the requests for slots and their answers, and which slots this replica has given to others.
"""

from hillchute.decision.interface import Time
from hillchute.history.durability import Durability
from hillchute.history.messages import SlotPart, SlotRedirect, SlotRequest
from hillchute.history.record_store import RecordStore
from hillchute.history.records import RetainedRecord
from hillchute.history.replica_context import RETRY_INTERVAL, ReplicaContext
from hillchute.history.slot_authority import SlotAuthority
from hillchute.history.slot_placement import slot_of
from hillchute.history.slot_table import SlotState, SlotTable
from hillchute.history.views import LEASE

# Brought to the last view, or requested: about a quarter of a second of a loaded loop's messages.
SLOTS_PER_TICK = 64
SOURCE_TIMEOUT: Time = 600_000  # for a source that lives: it may have much to send, or a slow network
REQUEST_INTERVAL: Time = 4 * RETRY_INTERVAL
PART_SIZE = 1 << 20  # bytes of a slot's records that go in one message


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
        self.given: set[int] = set()  # slots that another router has fetched in the adopted view
        self._requested_at = context.now - RETRY_INTERVAL

    def receive(self, sender: str, message: SlotRequest | SlotPart | SlotRedirect) -> None:
        """A message about a slot's transfer came."""
        match message:
            case SlotRequest():
                self.answer_request(sender, message)
            case SlotPart():
                self.take_part(sender, message)
            case SlotRedirect():
                self.take_redirect(sender, message)

    def view_adopted(self) -> None:
        """What was given in the view before does not count in this one."""
        self.given.clear()

    def tick(self) -> None:
        """Brings some slots to the last view, and requests those that are wanted."""
        outdated = self._slots.outdated
        for _ in range(min(SLOTS_PER_TICK, len(outdated))):
            self._slots.current(outdated.popleft())
        if self._context.now - self._requested_at >= RETRY_INTERVAL:
            self._requested_at = self._context.now
            for number in list(self._slots.wanted)[:SLOTS_PER_TICK]:
                self._request(number)

    def _request(self, number: int) -> None:
        context = self._context
        slot = self._slots.current(number)
        if slot.wanted_epoch is None or slot.released_at is not None:
            self._slots.wanted.pop(number, None)
            return
        sources = slot.open_sources()
        living = context.living()
        a_source_lives = any(living.get(name) == incarnation for name, incarnation in sources.items())
        timeout = SOURCE_TIMEOUT if a_source_lives else LEASE
        if not sources or context.now - slot.wanted_since > timeout:
            self._slots.declare_lost(number, slot, context.views.view)
            return
        if context.now - slot.requested_at < REQUEST_INTERVAL:
            return
        slot.requested_at = context.now
        for name in sources:
            context.send(name, SlotRequest(context.views.view.id, number, slot.wanted_epoch))

    def answer_request(self, sender: str, request: SlotRequest) -> None:
        """Another router holds a slot now and wants its records."""
        context = self._context
        if request.view < self._authority.lowest_accepted_view:
            return
        if not context.views.is_believable(context.now, request.view):
            return
        self._authority.accept_from(request.view)
        slot = self._slots.current(request.slot)
        if slot.complete_in in (request.epoch, request.view):
            self._send_slot(sender, request, slot)
        elif slot.wanted_epoch is not None and slot.held_in in (request.epoch, request.view):
            sources = slot.open_sources()
            context.send(sender, SlotRedirect(request.view, request.slot, slot.wanted_epoch, sources))
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
        self.given.add(request.slot)

    def _parts_of(self, number: int) -> list[list[RetainedRecord]]:
        """A slot's records, as many at a time as go in one message; at least one part."""
        parts: list[list[RetainedRecord]] = [[]]
        size = 0
        for retained in self._records.records_of_slot(number):
            if size + retained.record.size > PART_SIZE and parts[-1]:
                parts.append([])
                size = 0
            parts[-1].append(retained)
            size += retained.record.size
        return parts

    def take_part(self, sender: str, part: SlotPart) -> None:
        """A part of a slot has come; the slot is complete with its last part."""
        context = self._context
        slot = self._slots.current(part.slot)
        if part.view != context.views.view.id or slot.wanted_epoch is None or sender not in slot.sources:
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

    def take_redirect(self, sender: str, redirect: SlotRedirect) -> None:
        """A source has not got a slot, and says who may have it."""
        slot = self._slots.current(redirect.slot)
        is_ours = redirect.view == self._context.views.view.id
        if not is_ours or slot.wanted_epoch is None or sender not in slot.sources:
            return
        if redirect.epoch == slot.wanted_epoch:
            slot.refusals |= {sender}
        elif redirect.epoch == slot.complete_in:
            self._slots.mark_complete(redirect.slot, slot)
        else:
            # It was fetching the slot itself, so nothing was granted there: its sources are ours.
            self._slots.want(redirect.slot, slot, redirect.epoch, redirect.sources)
