"""What one holder has: records by slot, key and token, within each customer's bounds.

Owns the records in memory, how two versions of one become one, and which may go. Pure: the time comes in.
Must never decide what happens to a query, nor talk to another holder.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.retention import MS, RetentionPolicies
from hillchute.history.slot_placement import SLOTS, slot_of


class RecordState(IntEnum):
    """How far the run of a query has come. The numbers go over the wire and into stored files."""

    RUNNING = 0
    NOT_RUN = 1  # released: no attempt of it can have had an effect
    SERVED = 2
    FAILED = 3  # it may have had an effect, and there is no result


COMPLETION_GRACE: Time = (
    300_000  # past its patience no submission of a query is out: longer than any closing time
)
LOOK_AGAIN: Time = 10_000  # between two searches for what a customer's history could do without
OVERHEAD = 540  # bytes that a record takes beside its rows, as lab.history measures


Name = tuple[str, str, str]  # customer, key, token


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One keyed query. `attempt` counts the claims that were granted for its token: the last one's word
    holds."""

    customer: str
    key: str
    token: str
    taken: Time  # Unix, by the clock of the holder that granted it
    place: int  # in the order of its key; 0: it has no token to be known by again, and goes when it is over
    attempt: int
    owner: str  # the router that runs it
    life: int  # of the owner: `born`
    claim: int  # the owner's number for it
    patience: Time  # how long after `taken` it may still be sent
    state: int = RecordState.RUNNING
    rows: bytes | None = None
    title: int = 0  # the number of its slot's title when it was granted

    @property
    def name(self) -> Name:
        return self.customer, self.key, self.token

    @property
    def once(self) -> bool:
        """Whether it is listed only while it is out."""
        return self.place == 0

    @property
    def version(self) -> tuple[int, bool, int]:
        """Whatever comes first, in whatever order and how often: the highest stays."""
        return self.attempt, self.state != RecordState.RUNNING, self.state

    @property
    def size(self) -> int:
        return OVERHEAD + len(self.rows or b"")


class RetainedRecord(msgspec.Struct):
    record: Record
    since: Time  # by this holder's clock: when it was taken


class RecordStore:
    """All records of one holder."""

    def __init__(self) -> None:
        self.slots: list[dict[tuple[str, str], dict[str, RetainedRecord]]] = [{} for _ in range(SLOTS)]
        self.of: Counter[str] = Counter()  # records of each customer
        self.bytes = 0
        self.full: dict[str, Time] = {}  # customers that have all that they may, and until when at the least
        self.moved: dict[Name, Record | None] = {}  # for the disk: as it is now

    def find(self, customer: str, key: str, token: str) -> RetainedRecord | None:
        return self.slots[slot_of(customer, key)].get((customer, key), {}).get(token)

    def of_key(self, customer: str, key: str) -> list[RetainedRecord]:
        return list(self.slots[slot_of(customer, key)].get((customer, key), {}).values())

    def next_place(self, customer: str, key: str) -> int:
        return 1 + max((k.record.place for k in self.of_key(customer, key)), default=0)

    def in_slot(self, slot: int) -> Iterator[RetainedRecord]:
        for tokens in self.slots[slot].values():
            yield from tokens.values()

    def all(self) -> Iterator[RetainedRecord]:
        for slot in range(SLOTS):
            yield from self.in_slot(slot)

    def put(self, record: Record, now: Time, age: Time, book: RetentionPolicies) -> bool:
        """Takes a version in; whether it is the one that stands now. What the book has erased does not come
        back: a late copy of it is no news. A run that is out stays, whatever the book says, until it ends."""
        erased = book.erased(record.customer, record.key, record.taken, age)
        if erased and record.state != RecordState.RUNNING:
            old = self.find(*record.name)
            if old is not None and old.record.version < record.version:
                self.drop(old.record)
            return False
        tokens = self.slots[slot_of(record.customer, record.key)].setdefault(
            (record.customer, record.key), {}
        )
        old = tokens.get(record.token)
        if old is not None and old.record.version >= record.version:
            return old.record.version == record.version
        if not book.of(record.customer).rows and record.rows is not None:
            record = msgspec.structs.replace(record, rows=None)
        if old is None:
            self.of[record.customer] += 1
        else:
            self.bytes -= old.record.size
        # Of two ages of one attempt the higher: a copy's way only makes it look younger.
        same = old is not None and old.record.attempt == record.attempt
        tokens[record.token] = RetainedRecord(record, min(now - age, old.since) if same else now - age)
        self.bytes += record.size
        self.moved[record.name] = record
        return True

    def fitting(self, record: Record, now: Time, book: RetentionPolicies) -> Record:
        """With its rows if the key's bytes leave room for them, once what is due has gone; else with its
        ending alone."""
        if record.rows is None:
            return record
        fits = self.make_room(*record.name, record.size, now, book)
        return record if fits else msgspec.structs.replace(record, rows=None)

    def make_room(
        self, customer: str, key: str, token: str, size: int, now: Time, book: RetentionPolicies
    ) -> bool:
        """Whether the key has room for a token's record of this size, once what is due has gone, the oldest
        first."""
        policy = book.of(customer)
        others = [k for k in self.of_key(customer, key) if k.record.token != token and not k.record.once]
        many, size = len(others), size + sum(kept.record.size for kept in others)
        for kept in sorted(others, key=lambda kept: kept.since):
            if many < policy.most and size <= policy.most_bytes:
                break
            if self.may_go(kept, now, book):
                many, size = many - 1, size - kept.record.size
                self.drop(kept.record)
        return many < policy.most and size <= policy.most_bytes

    def drop(self, record: Record) -> None:
        tokens = self.slots[slot_of(record.customer, record.key)]
        mine = tokens[record.customer, record.key]
        del mine[record.token]
        if not mine:
            del tokens[record.customer, record.key]
        self.of[record.customer] -= 1
        self.bytes -= record.size
        self.moved[record.name] = None

    def drop_slot(self, slot: int) -> None:
        for kept in list(self.in_slot(slot)):
            self.drop(kept.record)

    def sweep(self, now: Time, book: RetentionPolicies, slots: Iterable[int] = range(SLOTS)) -> int:
        """Erases what the book forbids, in these slots; how many went. Rows go where the ending alone is
        kept."""
        gone = 0
        for kept in [kept for slot in slots for kept in self.in_slot(slot)]:
            record, age = kept.record, now - kept.since
            if record.state == RecordState.RUNNING and age <= record.patience + COMPLETION_GRACE:
                continue
            over = (
                record.once and age > record.patience + COMPLETION_GRACE
            )  # no copy of it is under way any more
            if over or book.erased(record.customer, record.key, record.taken, age):
                self.drop(record)
                gone += 1
            elif record.rows is not None and not book.of(record.customer).rows:
                self.bytes -= len(record.rows)
                kept.record = msgspec.structs.replace(record, rows=None)
                self.moved[record.name] = kept.record
                gone += 1
        return gone

    def room(self, customer: str, key: str, now: Time, book: RetentionPolicies) -> bool:
        """Whether one more may be taken. What is past its least time makes room, the oldest first; where all
        is within it, there is none: nobody's least time gives way to new work, its own customer's least of
        all."""
        policy = book.of(customer)
        if not self.make_room(customer, key, "", OVERHEAD, now, book):
            return False
        if self.of[customer] < policy.most_records:
            return True
        if now < self.full.get(customer, 0):
            return False
        # Looking for them costs, so some go at once, and where none may it is looked for later.
        mine = sorted((k for k in self.all() if k.record.customer == customer), key=lambda k: k.since)
        for kept in [k for k in mine if self.may_go(k, now, book)][: max(1, policy.most_records // 64)]:
            self.drop(kept.record)
        if self.of[customer] < policy.most_records:
            return True
        self.full[customer] = max(mine[0].since + policy.least_ms * MS, now + LOOK_AGAIN)
        return False

    @staticmethod
    def may_go(kept: RetainedRecord, now: Time, book: RetentionPolicies) -> bool:
        return kept.record.state != RecordState.RUNNING and book.due(kept.record.customer, now - kept.since)
