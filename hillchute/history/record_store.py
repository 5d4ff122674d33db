"""The in-memory records of one holder, by slot, key and idempotency key, within each customer's limits.

Decides which version of a record is current, and which records are evicted where capacity is short. Performs
no I/O and reads no clock.
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

EVICTION_RETRY: Time = 10_000  # one second between two searches for evictable records of a customer
EVICTION_DIVISOR = 64  # one search evicts at most `most_records` divided by this

ATTEMPT_TICK: Time = 100  # 10 ms; attempts that are times stay far below the codec's bound
# Two hours, in ticks: numbers further ahead of the clock are a faulty router's.
MAX_ATTEMPT_LEAD = 2 * 3_600 * 100

RecordsOfKey = dict[str, RetainedRecord]  # by idempotency key


class RecordStore:
    """All records of one holder."""

    def __init__(self) -> None:
        self.slots: list[dict[tuple[str, str], RecordsOfKey]] = [{} for _ in range(SLOTS)]
        self.count_by_customer: Counter[str] = Counter()
        self.size_bytes = 0
        self.full_until: dict[str, Time] = {}  # by customer: the time before which no record can be evicted
        self.unsaved: dict[RecordId, Record | None] = {}  # not yet in the durable store; None: a removal
        self.highest_removed_attempt = 0

    # ---- queries --------------------------------------------------------------------------------------

    def find(self, customer: str, ordering_key: str, idempotency_key: str) -> RetainedRecord | None:
        """Returns the record with this id, or None."""
        key_records = self.slots[slot_of(customer, ordering_key)].get((customer, ordering_key), {})
        return key_records.get(idempotency_key)

    def records_of_key(self, customer: str, ordering_key: str) -> list[RetainedRecord]:
        """Returns all records of one key, in order of arrival."""
        return list(self.slots[slot_of(customer, ordering_key)].get((customer, ordering_key), {}).values())

    def next_sequence(self, customer: str, ordering_key: str) -> int:
        """Returns the next position in the order of a key."""
        sequences = (each.record.sequence for each in self.records_of_key(customer, ordering_key))
        return 1 + max(sequences, default=0)

    def next_attempt(self, known: RetainedRecord | None, now: Time) -> int:
        """Returns the number of the next run of the id whose record is `known`, or that has no record.

        It is above that of any earlier run, also of one whose record was removed: a late report of that run
        must not be taken for one of the new run. Numbers are times, in case the removal was not seen here.
        """
        highest = known.record.attempt if known is not None else 0
        time = now // ATTEMPT_TICK
        if self.highest_removed_attempt <= time + MAX_ATTEMPT_LEAD:
            highest = max(highest, self.highest_removed_attempt)
        return max(highest + 1, time)

    def records_of_slot(self, slot: int) -> Iterator[RetainedRecord]:
        """Yields all records of one slot."""
        for key_records in self.slots[slot].values():
            yield from key_records.values()

    def all_records(self) -> Iterator[RetainedRecord]:
        """Yields all records, slot by slot."""
        for slot in range(SLOTS):
            yield from self.records_of_slot(slot)

    # ---- adding and removing --------------------------------------------------------------------------

    def put(self, record: Record, now: Time, age: Time, policies: RetentionPolicies) -> bool:
        """Stores a version of a record; returns whether it is now the current one.

        A record that must be erased is not stored, so that a late copy does not bring it back. The record of
        a run in progress is stored whatever the policies say, and stays until the run ends.
        """
        if self._is_erased(record, age, policies):
            self.highest_removed_attempt = max(self.highest_removed_attempt, record.attempt)
            older = self.find(*record.id)
            if older is not None and older.record.run_id == record.run_id:
                self.remove(older.record)
            return False
        key = (record.customer, record.ordering_key)
        key_records = self.slots[slot_of(*key)].setdefault(key, {})
        old = key_records.get(record.idempotency_key)
        if old is not None and old.record.version >= record.version:
            return old.record.version == record.version
        if record.rows is not None and not policies.policy_for(record.customer).rows:
            record = msgspec.structs.replace(record, rows=None)
        if old is None:
            self.count_by_customer[record.customer] += 1
        else:
            self.size_bytes -= old.record.size
        since = now - age
        if old is not None and old.record.run_id == record.run_id:
            # Of two ages of one run the higher is right: a copy does not age while it is being sent.
            since = min(since, old.since)
        key_records[record.idempotency_key] = RetainedRecord(record, since)
        self.size_bytes += record.size
        self.unsaved[record.id] = record
        return True

    @staticmethod
    def _is_erased(record: Record, age: Time, policies: RetentionPolicies) -> bool:
        if record.state == RecordState.RUNNING:
            return False
        return policies.must_be_erased(record.customer, record.ordering_key, record.granted_at, age)

    def remove(self, record: Record) -> None:
        """Removes the record with the same id, which must be present."""
        key = (record.customer, record.ordering_key)
        slot = self.slots[slot_of(*key)]
        key_records = slot[key]
        del key_records[record.idempotency_key]
        if not key_records:
            del slot[key]
        self.count_by_customer[record.customer] -= 1
        self.size_bytes -= record.size
        self.unsaved[record.id] = None
        self.highest_removed_attempt = max(self.highest_removed_attempt, record.attempt)

    def remove_slot(self, slot: int) -> None:
        """Removes all records of a slot."""
        for retained in list(self.records_of_slot(slot)):
            self.remove(retained.record)

    def erase_due(self, now: Time, policies: RetentionPolicies, slots: Iterable[int] = range(SLOTS)) -> int:
        """Removes the records in these slots that the policies no longer allow, and rows where only outcomes
        may be kept; returns the number of changed records."""
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
        is_expired = record.is_transient and not may_be_running  # no copy is still in transit by then
        age = now - retained.since
        identity = (record.customer, record.ordering_key, record.granted_at)
        if is_expired or policies.must_be_erased(*identity, age):
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
        """Returns the record with its rows if they fit within the key's bytes, else without them.

        Evicts older records of the key to make room.
        """
        if record.rows is None:
            return record
        fits = self._make_room_for_key(record.id, record.size, now, policies)
        return record if fits else msgspec.structs.replace(record, rows=None)

    def has_capacity(self, customer: str, ordering_key: str, now: Time, policies: RetentionPolicies) -> bool:
        """Whether one more record may be stored.

        Evicts records past their least retention time to make room, oldest first. Records within it are never
        evicted, even if a new query has to be rejected.
        """
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
        """Evicts some of a customer's records; returns the oldest record before that.

        The search reads all records, so several are evicted at once.
        """
        customer_records = (each for each in self.all_records() if each.record.customer == customer)
        by_age = sorted(customer_records, key=lambda each: each.since)
        count = max(1, policies.policy_for(customer).most_records // EVICTION_DIVISOR)
        for retained in [each for each in by_age if self.may_evict(each, now, policies)][:count]:
            self.remove(retained.record)
        return by_age[0]

    def _make_room_for_key(
        self, new: RecordId, new_size: int, now: Time, policies: RetentionPolicies
    ) -> bool:
        """Evicts records of a key, oldest first, until one of this size fits; returns whether it fits."""
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
        """Whether a record may be evicted where capacity is short."""
        if retained.record.state == RecordState.RUNNING:
            return False
        return policies.may_evict(retained.record.customer, now - retained.since)
