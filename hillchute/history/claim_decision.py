"""What becomes of a keyed query that arrives: run, replay, wait, reject, fail, forward.

Owns that one choice. Pure: what the holder knows comes in. It holds no record and asks nobody.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.records import Record, RecordState, RetainedRecord
from hillchute.history.retention import MS, RetentionPolicies

FOUNDING_TIME: Time = 600_000  # a minute after `founded`, in which routers start and find each other


class ClaimDecision(Enum):
    """What becomes of a claim. The numbers go over the wire."""

    RUN = 0  # nobody has run it, and the record that it runs is with all holders
    REPLAY = 1  # it has run: its outcome, with the rows if they are kept
    WAIT = 2  # a run of it, or of one before it in its key's order, is not over
    REJECT = 3  # it can't be known now; a retry may succeed
    FAIL = 4  # it may have run, and there is no result: a retry gets the same
    FORWARD = 5  # another partner owns its slot: the reason is that partner's name


class ReasonedDecision(NamedTuple):
    """A decision with the reason that the client gets."""

    decision: ClaimDecision
    reason: str


class ClaimFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What a holder knows that bears on a claim."""

    customer: str
    known: RetainedRecord | None = None  # the record with the claim's idempotency key
    earlier_running: RetainedRecord | None = None  # another run of the same key, where order is kept
    lost_for: Time | None = None  # since records of this slot may have been lost; None: none ever were
    router_lives: bool = False  # the router that runs the known record, in the same incarnation
    is_repeated: bool = False  # the known record was granted for this very claim


def decide(
    policies: RetentionPolicies, facts: ClaimFacts, now: Time, has_capacity: Callable[[], bool]
) -> ReasonedDecision:
    """What becomes of a claim. `has_capacity` may evict records, and is asked last."""
    known = facts.known
    if known is not None and known.record.state == RecordState.RUNNING:
        return _decide_running(facts, known, now)
    if known is not None and known.record.state != RecordState.NOT_RUN:
        return _decide_completed(policies, known.record, now - known.since)
    policy = policies.policy_for(facts.customer)
    is_lost = facts.lost_for is not None and facts.lost_for < policy.least_ms * MS
    if is_lost and policy.lost == "defer":
        return ReasonedDecision(ClaimDecision.REJECT, "its history may be lost")
    if facts.earlier_running is not None:
        return ReasonedDecision(ClaimDecision.WAIT, "one of its key is out")
    if not has_capacity():
        return ReasonedDecision(ClaimDecision.REJECT, "the customer's history is full")
    return ReasonedDecision(ClaimDecision.RUN, "new")


def _decide_running(facts: ClaimFacts, known: RetainedRecord, now: Time) -> ReasonedDecision:
    if facts.is_repeated:
        return ReasonedDecision(ClaimDecision.RUN, "granted before")
    if not known.may_be_running(now):
        return ReasonedDecision(ClaimDecision.FAIL, "it may have run: its router never said")
    if facts.router_lives:
        return ReasonedDecision(ClaimDecision.WAIT, "it is out")
    return ReasonedDecision(ClaimDecision.REJECT, "its router is gone, its run may be out")


def _decide_completed(policies: RetentionPolicies, record: Record, age: Time) -> ReasonedDecision:
    if not policies.may_replay(record.customer, record.ordering_key, record.granted_at, age):
        return ReasonedDecision(ClaimDecision.FAIL, "it has run; the policy gives no answer")
    if record.state == RecordState.FAILED:
        return ReasonedDecision(ClaimDecision.FAIL, "it may have run: no answer came")
    if record.rows is None:
        return ReasonedDecision(ClaimDecision.FAIL, "it has finished; its rows are not kept")
    return ReasonedDecision(ClaimDecision.REPLAY, "finished before")
