"""Decides what happens to a keyed query on arrival: run, replay, wait, reject, fail or forward.

Performs no I/O and keeps no state: all facts are passed in.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.records import Record, RecordState, RetainedRecord
from hillchute.history.retention import MS, RetentionPolicies


class ClaimDecision(Enum):
    """The decision on a claim. The values are sent between routers."""

    RUN = 0  # it has not run, and every holder has stored the record of its run
    REPLAY = 1  # it has run: its retained outcome and rows are returned
    WAIT = 2  # a run of it, or of an earlier query in its key's order, has not ended
    REJECT = 3  # cannot be determined at present; a retry may succeed
    FAIL = 4  # it may have run, and no result is available: a retry fails too
    FORWARD = 5  # another partner owns its slot; the reason is that partner's name


class ReasonedDecision(NamedTuple):
    """A decision and its reason, which is sent to the client."""

    decision: ClaimDecision
    reason: str


class ClaimFacts(msgspec.Struct, frozen=True, kw_only=True):
    """The facts known to a holder on which the decision on a claim depends."""

    customer: str
    known: RetainedRecord | None = None  # the record with the claim's idempotency key
    earlier_running: RetainedRecord | None = None  # another run of the same key, for ordered queries
    time_since_loss: Time | None = None  # since records of the slot may have been lost; None: no known loss
    is_router_live: bool = False  # the router running the known record is live, in the same incarnation
    is_repeated: bool = False  # the known record was granted for this very claim


def decide(
    policies: RetentionPolicies, facts: ClaimFacts, now: Time, has_capacity: Callable[[], bool]
) -> ReasonedDecision:
    """Returns the decision on a claim. `has_capacity` may evict records and is called last."""
    known = facts.known
    if known is not None and known.record.state == RecordState.RUNNING:
        return _decide_running(facts, known, now)
    if known is not None and known.record.state != RecordState.NOT_RUN:
        return _decide_completed(policies, known.record, now - known.since)
    policy = policies.policy_for(facts.customer)
    may_be_lost = facts.time_since_loss is not None and facts.time_since_loss < policy.least_ms * MS
    if may_be_lost and policy.lost == "defer":
        return ReasonedDecision(ClaimDecision.REJECT, "its history may be lost")
    if facts.earlier_running is not None:
        return ReasonedDecision(ClaimDecision.WAIT, "one of its key is out")
    if not has_capacity():
        return ReasonedDecision(ClaimDecision.REJECT, "the customer's history is full")
    return ReasonedDecision(ClaimDecision.RUN, "new")


def _decide_running(facts: ClaimFacts, known: RetainedRecord, now: Time) -> ReasonedDecision:
    if facts.is_repeated and facts.earlier_running is not None:
        # Two views may each have granted a run of the key, of which at least one was stored by some holders
        # only. Which of them has begun is not known here.
        return ReasonedDecision(ClaimDecision.WAIT, "one of its key is out")
    if facts.is_repeated:
        return ReasonedDecision(ClaimDecision.RUN, "granted before")
    if not known.may_be_running(now):
        return ReasonedDecision(ClaimDecision.FAIL, "it may have run: its router never said")
    if facts.is_router_live:
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
