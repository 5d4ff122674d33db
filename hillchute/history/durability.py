"""Writes changed records to the durable store and restores them after a restart.

sqlite_store.py implements the store.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from hillchute.decision.interface import Time
from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record, RecordId
from hillchute.history.replica_context import ReplicaContext


class DurableStore(Protocol):
    """Storage in which records survive a restart."""

    def write(self, changes: Mapping[RecordId, Record | None], since: Mapping[RecordId, Time]) -> bool:
        """Writes all changes or none, and returns whether they are durable.

        A value of None removes the record. `since`: when each record that is not removed was granted, by this
        holder's clock.
        """


class Durability:
    """Writes one replica's records to its durable store, if it has one."""

    def __init__(
        self, context: ReplicaContext, records: RecordStore, durable_store: DurableStore | None
    ) -> None:
        self._context = context
        self._records = records
        self.durable_store = durable_store

    def save(self, record: Record) -> bool:
        """Writes pending changes; returns whether this record is as durable as its policy requires."""
        self.save_changes()
        return record.id not in self._records.unsaved

    def save_changes(self) -> None:
        """Writes the pending changes that policies require on the disk; failed writes stay pending."""
        policies = self._context.policies
        wanted = {
            record_id: record
            for record_id, record in self._records.unsaved.items()
            if record is None or policies.policy_for(record_id.customer).disk
        }
        self._records.unsaved = {}
        if self.durable_store is None:
            self._records.unsaved = {
                record_id: record for record_id, record in wanted.items() if record is not None
            }
        elif wanted and not self.durable_store.write(wanted, self._since(wanted)):
            self._records.unsaved = wanted

    def _since(self, ids: Iterable[RecordId]) -> dict[RecordId, Time]:
        """Returns when each of these records was granted, without those that are no longer present."""
        records = {record_id: self._records.find(*record_id) for record_id in ids}
        return {record_id: retained.since for record_id, retained in records.items() if retained is not None}

    def mark_all_unsaved(self) -> None:
        """Marks all records for writing, or for removal from the store, as the changed policies require."""
        policies = self._context.policies
        for retained in self._records.all_records():
            record = retained.record
            on_disk = policies.policy_for(record.customer).disk
            self._records.unsaved[record.id] = record if on_disk else None

    def restore(self, records: Iterable[tuple[Record, Time]]) -> None:
        """Adds the stored records, each with the Unix time when it was granted.

        They answer retries but make no slot complete, as the file may lack later records.
        """
        context = self._context
        for record, since in records:
            age = max(0, context.now - since)
            self._records.put(record, context.now, age, context.policies)
            if self._records.find(*record.id) is None:
                self._records.unsaved[record.id] = None  # its erasure fell due while this router was down
        self.save_changes()
