"""The records that one holder has: by slot, key and idempotency key, within each customer's bounds.

Owns the records in memory, which of two versions stands, and which may be evicted. Pure: the time comes in.
It does not decide what happens to a query, and talks to no other holder.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.records import (
    RECORD_OVERHEAD,
    Record,
    RecordId,
    RecordState,
    RetainedRecord,
)
from hillchute.history.retention import MS, RetentionPolicies
from hillchute.history.slot_placement import SLOTS, slot_of

EVICTION_RETRY: Time = 10_000  # between two searches for what a customer's history could do without
EVICTION_PART = 64  # one search evicts at the most this part of what the customer may have

RecordsOfKey = dict[str, RetainedRecord]  # by idempotency key


class RecordStore:
    """All records of one holder."""

    def __init__(self) -> None:
        self.slots: list[dict[tuple[str, str], RecordsOfKey]] = [{} for _ in range(SLOTS)]
        self.count_by_customer: Counter[str] = Counter()
        self.size_bytes = 0
        self.full_until: dict[str, Time] = {}  # by customer: no record can be evicted before
        self.unsaved: dict[RecordId, Record | None] = {}  # what changed since it was written; None: removed

    # ---- reading --------------------------------------------------------------------------------------

    def find(self, customer: str, ordering_key: str, idempotency_key: str) -> RetainedRecord | None:
        """The record with this id, if it is here."""
        of_key = self.slots[slot_of(customer, ordering_key)].get((customer, ordering_key), {})
        return of_key.get(idempotency_key)

    def records_of_key(self, customer: str, ordering_key: str) -> list[RetainedRecord]:
        """All records of one key, in the order in which they came here."""
        return list(self.slots[slot_of(customer, ordering_key)].get((customer, ordering_key), {}).values())

    def next_sequence(self, customer: str, ordering_key: str) -> int:
        """The next position in the order of a key."""
        sequences = (each.record.sequence for each in self.records_of_key(customer, ordering_key))
        return 1 + max(sequences, default=0)

    def records_of_slot(self, slot: int) -> Iterator[RetainedRecord]:
        """All records of one slot."""
        for of_key in self.slots[slot].values():
            yield from of_key.values()

    def all_records(self) -> Iterator[RetainedRecord]:
        """All records, slot by slot."""
        for slot in range(SLOTS):
            yield from self.records_of_slot(slot)

    # ---- adding and removing --------------------------------------------------------------------------

    def put(self, record: Record, now: Time, age: Time, policies: RetentionPolicies) -> bool:
        """Takes in a version; whether it is the one that stands now. What had to be erased does not come back
        with a late copy. A record that is running stays until its run ends, whatever the policies say."""
        if self._is_erased(record, age, policies):
            older = self.find(*record.id)
            if older is not None and older.record.version < record.version:
                self.remove(older.record)
            return False
        key = (record.customer, record.ordering_key)
        of_key = self.slots[slot_of(*key)].setdefault(key, {})
        old = of_key.get(record.idempotency_key)
        if old is not None and old.record.version >= record.version:
            return old.record.version == record.version
        if record.rows is not None and not policies.policy_for(record.customer).rows:
            record = msgspec.structs.replace(record, rows=None)
        if old is None:
            self.count_by_customer[record.customer] += 1
        else:
            self.size_bytes -= old.record.size
        since = now - age
        if old is not None and old.record.attempt == record.attempt:
            # Of two ages of one attempt the higher: the time that a copy travels makes it look younger.
            since = min(since, old.since)
        of_key[record.idempotency_key] = RetainedRecord(record, since)
        self.size_bytes += record.size
        self.unsaved[record.id] = record
        return True

    @staticmethod
    def _is_erased(record: Record, age: Time, policies: RetentionPolicies) -> bool:
        if record.state == RecordState.RUNNING:
            return False
        return policies.must_be_erased(record.customer, record.ordering_key, record.granted_at, age)

    def remove(self, record: Record) -> None:
        """Removes the record with this one's id, which must be here."""
        key = (record.customer, record.ordering_key)
        slot = self.slots[slot_of(*key)]
        of_key = slot[key]
        del of_key[record.idempotency_key]
        if not of_key:
            del slot[key]
        self.count_by_customer[record.customer] -= 1
        self.size_bytes -= record.size
        self.unsaved[record.id] = None

    def remove_slot(self, slot: int) -> None:
        """Removes all records of a slot."""
        for retained in list(self.records_of_slot(slot)):
            self.remove(retained.record)

    def erase_due(self, now: Time, policies: RetentionPolicies, slots: Iterable[int] = range(SLOTS)) -> int:
        """Removes what the policies do not allow to be kept, in these slots, and the rows of records whose
        outcome alone is kept; how many records changed."""
        changed = 0
        for retained in [each for slot in slots for each in self.records_of_slot(slot)]:
            if self._erase_if_due(retained, now, policies):
                changed += 1
        return changed

    def _erase_if_due(self, retained: RetainedRecord, now: Time, policies: RetentionPolicies) -> bool:
        record = retained.record
        may_be_running = retained.may_be_running(now)
        if record.state == RecordState.RUNNING and may_be_running:
            return False
        is_over = record.is_transient and not may_be_running  # no copy of it is under way any more
        age = now - retained.since
        about = (record.customer, record.ordering_key, record.granted_at)
        if is_over or policies.must_be_erased(*about, age):
            self.remove(record)
            return True
        if record.rows is not None and not policies.policy_for(record.customer).rows:
            self.size_bytes -= len(record.rows)
            retained.record = msgspec.structs.replace(record, rows=None)
            self.unsaved[record.id] = retained.record
            return True
        return False

    # ---- capacity -------------------------------------------------------------------------------------

    def fit_rows(self, record: Record, now: Time, policies: RetentionPolicies) -> Record:
        """The record with its rows if the key's bytes leave capacity for them, else with its outcome alone.
        Evicts what may go to make room."""
        if record.rows is None:
            return record
        fits = self._make_room_for_key(record.id, record.size, now, policies)
        return record if fits else msgspec.structs.replace(record, rows=None)

    def has_capacity(self, customer: str, ordering_key: str, now: Time, policies: RetentionPolicies) -> bool:
        """Whether one more record may be taken in. What is past its least time is evicted for it, the oldest
        first; records within it never are: no policy's least time gives way to new work."""
        policy = policies.policy_for(customer)
        new = RecordId(customer, ordering_key, "")
        if not self._make_room_for_key(new, RECORD_OVERHEAD, now, policies):
            return False
        if self.count_by_customer[customer] < policy.most_records:
            return True
        if now < self.full_until.get(customer, 0):
            return False
        oldest = self._evict_of_customer(customer, now, policies)
        if self.count_by_customer[customer] < policy.most_records:
            return True
        self.full_until[customer] = max(oldest.since + policy.least_ms * MS, now + EVICTION_RETRY)
        return False

    def _evict_of_customer(self, customer: str, now: Time, policies: RetentionPolicies) -> RetainedRecord:
        """Evicts some of a customer's records; returns the oldest that there was. The search costs, so that
        some go at once."""
        of_customer = (each for each in self.all_records() if each.record.customer == customer)
        by_age = sorted(of_customer, key=lambda each: each.since)
        count = max(1, policies.policy_for(customer).most_records // EVICTION_PART)
        for retained in [each for each in by_age if self.may_evict(each, now, policies)][:count]:
            self.remove(retained.record)
        return by_age[0]

    def _make_room_for_key(
        self, new: RecordId, new_size: int, now: Time, policies: RetentionPolicies
    ) -> bool:
        """Whether the key has capacity for a record of this size, once what may go has been evicted, the
        oldest first."""
        policy = policies.policy_for(new.customer)
        others = [
            each
            for each in self.records_of_key(new.customer, new.ordering_key)
            if each.record.idempotency_key != new.idempotency_key and not each.record.is_transient
        ]
        count = len(others)
        size = new_size + sum(each.record.size for each in others)
        for retained in sorted(others, key=lambda each: each.since):
            if count < policy.most and size <= policy.most_bytes:
                break
            if self.may_evict(retained, now, policies):
                count -= 1
                size -= retained.record.size
                self.remove(retained.record)
        return count < policy.most and size <= policy.most_bytes

    @staticmethod
    def may_evict(retained: RetainedRecord, now: Time, policies: RetentionPolicies) -> bool:
        """Whether a record may go where capacity is short."""
        if retained.record.state == RecordState.RUNNING:
            return False
        return policies.may_evict(retained.record.customer, now - retained.since)
