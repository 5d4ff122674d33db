"""Which records are on the disk, and which may be relied on.

Owns when changed records are written, and what is read back after a restart. The disk itself is
sqlite_store.py's.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from hillchute.decision.interface import Time
from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record, RecordId
from hillchute.history.replica_context import ReplicaContext


class DurableStore(Protocol):
    """Keeps records over a restart."""

    def write(self, changes: Mapping[RecordId, Record | None], since: Mapping[RecordId, Time]) -> bool:
        """Writes all changes or none, None standing for a removal; whether they are there. `since`: when each
        record that is not removed was granted, by this holder's clock."""


class Durability:
    """Brings one replica's records to its durable store, if it has one."""

    def __init__(
        self, context: ReplicaContext, records: RecordStore, durable_store: DurableStore | None
    ) -> None:
        self._context = context
        self._records = records
        self.durable_store = durable_store

    def save(self, record: Record) -> bool:
        """Writes what has changed; whether this record may be relied on: its policy does not want the disk,
        or it is there."""
        self.save_changes()
        return record.id not in self._records.unsaved

    def save_changes(self) -> None:
        """Writes what has changed where policies want the disk. What can't be written stays to be written."""
        policies = self._context.policies
        wanted = {
            record_id: record
            for record_id, record in self._records.unsaved.items()
            if record is None or policies.policy_for(record_id.customer).disk
        }
        self._records.unsaved = {}
        if self.durable_store is None:
            self._records.unsaved = {each: record for each, record in wanted.items() if record is not None}
        elif wanted and not self.durable_store.write(wanted, self._ages(wanted)):
            self._records.unsaved = wanted

    def _ages(self, ids: Iterable[RecordId]) -> dict[RecordId, Time]:
        found = {record_id: self._records.find(*record_id) for record_id in ids}
        return {record_id: retained.since for record_id, retained in found.items() if retained is not None}

    def mark_for_disk(self) -> None:
        """After policies changed whether they want the disk: all records are written, or removed there."""
        policies = self._context.policies
        for retained in self._records.all_records():
            record = retained.record
            on_disk = policies.policy_for(record.customer).disk
            self._records.unsaved[record.id] = record if on_disk else None

    def recall(self, records: Iterable[tuple[Record, Time]]) -> None:
        """What a disk has kept over a restart, with the Unix time since when. It is known of, and answered
        from; that it is all, a disk can't say, so no slot is complete by it."""
        context = self._context
        for record, since in records:
            age = max(0, context.now - since)
            self._records.put(record, context.now, age, context.policies)
            if self._records.find(*record.id) is None:
                self._records.unsaved[record.id] = None  # it had to be erased while this router was down
        self.save_changes()
