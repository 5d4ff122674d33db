"""What must be erased is found in time: all slots are looked through, some with each tick.

Owns which slots are looked through when. What must be erased the policies say (retention.py).
"""

from hillchute.decision.interface import Time
from hillchute.history.durability import Durability
from hillchute.history.record_store import RecordStore
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.replication import Replication
from hillchute.history.retention import MS
from hillchute.history.slot_placement import SLOTS
from hillchute.history.slot_table import SlotTable

SWEEPS = 2  # times within the time for erasing that each slot is looked through
RELEASED_SLOT_TIME: Time = 600_000  # a slot that others hold now is kept so long for them to fetch


class RetentionSweep:
    """One replica's search for what must be erased."""

    def __init__(
        self,
        context: ReplicaContext,
        records: RecordStore,
        slots: SlotTable,
        replication: Replication,
        durability: Durability,
    ) -> None:
        self._context = context
        self._records = records
        self._slots = slots
        self._replication = replication
        self._durability = durability
        self._swept_at = context.now
        self._next_slot = 0

    def tick(self) -> None:
        """Looks through some slots: so many that all are through well within the time for erasing, and no
        tick takes long."""
        context = self._context
        numbers = self._due_slots()
        filled = [number for number in numbers if self._records.slots[number]]
        context.counters["erased"] += self._records.erase_due(context.now, context.policies, filled)
        for number in filled:
            self._replication.announce_running(number)
        for number in numbers:
            self._remove_if_released(number)
        if self._records.unsaved:
            self._durability.save_changes()

    def _due_slots(self) -> list[int]:
        elapsed = self._context.now - self._swept_at
        self._swept_at = self._context.now
        time_for_all = self._context.policies.erase_ms * MS
        count = min(SLOTS, -(-SLOTS * elapsed * SWEEPS // time_for_all))  # rounded up
        numbers = [(self._next_slot + offset) % SLOTS for offset in range(count)]
        self._next_slot = (self._next_slot + len(numbers)) % SLOTS
        return numbers

    def _remove_if_released(self, number: int) -> None:
        now = self._context.now
        slot = self._slots.slots[number]
        if slot.released_at is not None and now - slot.released_at > RELEASED_SLOT_TIME:
            self._records.remove_slot(number)
            slot.complete_in = None
            slot.released_at = now
