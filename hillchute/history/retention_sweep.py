"""Erases records in time: sweeps all slots in turn, some of them at each tick.

retention.py defines which records must be erased.
"""

from hillchute.decision.interface import Time
from hillchute.history.durability import Durability
from hillchute.history.record_store import RecordStore
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.replication import Replication
from hillchute.history.retention import MS
from hillchute.history.slot_placement import SLOTS
from hillchute.history.slot_table import SlotTable

SWEEPS_PER_ERASE_TIME = 2  # sweeps of each slot within `erase_ms`
RELEASED_SLOT_RETENTION: Time = 600_000  # one minute for the new holders of a slot to fetch its records


class RetentionSweep:
    """One replica's sweep for records that must be erased."""

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
        """Sweeps as many slots as the elapsed time requires to cover all slots well within `erase_ms`."""
        context = self._context
        numbers = self._due_slots()
        non_empty = [number for number in numbers if self._records.slots[number]]
        context.counters["erased"] += self._records.erase_due(context.now, context.policies, non_empty)
        for number in non_empty:
            self._replication.announce_running(number)
        for number in numbers:
            self._remove_if_released(number)
        if self._records.unsaved:
            self._durability.save_changes()

    def _due_slots(self) -> list[int]:
        elapsed = self._context.now - self._swept_at
        self._swept_at = self._context.now
        erase_time = self._context.policies.erase_ms * MS
        count = min(SLOTS, -(-SLOTS * elapsed * SWEEPS_PER_ERASE_TIME // erase_time))  # rounded up
        numbers = [(self._next_slot + offset) % SLOTS for offset in range(count)]
        self._next_slot = (self._next_slot + len(numbers)) % SLOTS
        return numbers

    def _remove_if_released(self, number: int) -> None:
        now = self._context.now
        slot = self._slots.slots[number]
        if slot.released_at is not None and now - slot.released_at > RELEASED_SLOT_RETENTION:
            self._records.remove_slot(number)
            slot.complete_in = None
            slot.released_at = now
