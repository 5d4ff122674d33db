"""Records of keyed queries: which router was granted a run, and how the run ended."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time

# 30 s after its timeout no attempt of a query is still running: longer than any router takes to close.
COMPLETION_GRACE: Time = 300_000
RECORD_OVERHEAD = 540  # bytes of memory of a record without its rows, as measured by lab/history.py


class RecordState(IntEnum):
    """The state of a query's run. The values are sent between routers and written to stored files."""

    RUNNING = 0
    NOT_RUN = 1  # released: no attempt can have had an effect
    SERVED = 2
    FAILED = 3  # it may have had an effect, and there is no result


class RecordId(NamedTuple):
    """Identifies a record."""

    customer: str
    ordering_key: str
    idempotency_key: str


class ClaimId(NamedTuple):
    """Identifies a router's claim to run a query."""

    router: str
    incarnation: int
    number: int


class RunId(NamedTuple):
    """Identifies a run among all runs of one record's id, also after erasures; later runs are higher."""

    attempt: int
    granted_at: Time
    claim: ClaimId


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The record of one keyed query. The order of the fields is part of the wire and file formats."""

    customer: str
    ordering_key: str
    idempotency_key: str
    granted_at: Time  # Unix time, by the clock of the holder that granted the claim
    sequence: int  # position in the order of its key; 0 for a transient record
    attempt: int  # number of the run; later runs of its idempotency key have higher ones (next_attempt())
    router: str  # that runs the query
    incarnation: int  # of that router
    claim_number: int  # assigned by that router
    timeout: Time  # how long after `granted_at` attempts may still be sent
    state: int = RecordState.RUNNING
    rows: bytes | None = None
    lease_number: int = 0  # of the slot's ownership lease when the claim was granted

    @property
    def id(self) -> RecordId:
        """Its identity among records."""
        return RecordId(self.customer, self.ordering_key, self.idempotency_key)

    @property
    def claim_id(self) -> ClaimId:
        """The claim for which it was granted."""
        return ClaimId(self.router, self.incarnation, self.claim_number)

    @property
    def is_transient(self) -> bool:
        """Whether it is kept only while the query runs, as the query has no idempotency key of its own."""
        return self.sequence == 0

    @property
    def run_id(self) -> RunId:
        """The run that it records."""
        return RunId(self.attempt, self.granted_at, self.claim_id)

    @property
    def version(self) -> tuple[RunId, bool, int]:
        """Orders versions, which arrive in any order and repeatedly: the highest replaces all others."""
        return self.run_id, self.state != RecordState.RUNNING, self.state

    @property
    def size(self) -> int:
        """Its memory in bytes."""
        return RECORD_OVERHEAD + len(self.rows or b"")


class RetainedRecord(msgspec.Struct):
    """A record at one holder, with the time since when its age is counted."""

    record: Record
    since: Time  # when the claim was granted, by this holder's clock

    def may_be_running(self, now: Time) -> bool:
        """Whether its run may still be in progress, if its router has not reported an end."""
        return now - self.since <= self.record.timeout + COMPLETION_GRACE
