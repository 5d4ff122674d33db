"""Records of queries by idempotency key: what was granted to run, and how it ended.

Owns the record and how two versions of one compare. Pure. It does not decide what happens to a query.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time

# By then no attempt of a query past its timeout can be out: longer than any closing time.
COMPLETION_GRACE: Time = 300_000
RECORD_OVERHEAD = 540  # bytes that a record takes beside its rows, as the history's own measurement shows


class RecordState(IntEnum):
    """How far the run of a query has come. The numbers go over the wire and into stored files."""

    RUNNING = 0
    NOT_RUN = 1  # released: no attempt of it can have had an effect
    SERVED = 2
    FAILED = 3  # it may have had an effect, and there is no result


class RecordId(NamedTuple):
    """What identifies a record."""

    customer: str
    ordering_key: str
    idempotency_key: str


class ClaimId(NamedTuple):
    """What identifies one router's claim to run a query."""

    router: str
    incarnation: int
    number: int


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One keyed query. Its fields' order is that of the wire and of stored files."""

    customer: str
    ordering_key: str
    idempotency_key: str
    granted_at: Time  # Unix, by the clock of the holder that granted it
    sequence: int  # its position in the order of its key; 0 for a transient record, see `is_transient`
    attempt: int  # claims granted for its idempotency key so far: what the last one's router says counts
    router: str  # that runs it
    incarnation: int  # of that router
    claim_number: int  # that router's number for it
    timeout: Time  # an attempt may still be sent for so long after `granted_at`
    state: int = RecordState.RUNNING
    rows: bytes | None = None
    lease_number: int = 0  # of the ownership lease of its slot when it was granted

    @property
    def id(self) -> RecordId:
        """What identifies it among records."""
        return RecordId(self.customer, self.ordering_key, self.idempotency_key)

    @property
    def claim_id(self) -> ClaimId:
        """The claim that it was granted for."""
        return ClaimId(self.router, self.incarnation, self.claim_number)

    @property
    def is_transient(self) -> bool:
        """Whether it is listed only while it runs: its query has no idempotency key of its own."""
        return self.sequence == 0

    @property
    def version(self) -> tuple[int, bool, int]:
        """Versions arrive in any order and any number of times: the highest stays."""
        return self.attempt, self.state != RecordState.RUNNING, self.state

    @property
    def size(self) -> int:
        """Bytes of memory that it takes."""
        return RECORD_OVERHEAD + len(self.rows or b"")


class RetainedRecord(msgspec.Struct):
    """A record with its age at one holder."""

    record: Record
    since: Time  # when it was granted, by this holder's clock

    def may_be_running(self, now: Time) -> bool:
        """Whether its run may still be out, though its router never said how it ended."""
        return now - self.since <= self.record.timeout + COMPLETION_GRACE
