"""What becomes of a keyed query that arrives: run, answer from the record, wait, defer, kill.

Owns that one choice. Pure: what the holder knows comes in. Must never hold a record or ask anybody.
"""

from collections.abc import Callable
from enum import Enum

from hillchute.decision.interface import Time
from hillchute.history.records import COMPLETION_GRACE, RecordState, RetainedRecord
from hillchute.history.retention import MS, RetentionPolicies

FOUNDING: Time = 600_000  # a minute after `founded` in which routers start and find each other


class ClaimDecision(Enum):
    RUN = 0  # nobody has run it, and the record that it runs is with all holders
    REPLAY = 1  # it has run: its ending, with the rows if they are kept
    WAIT = 2  # a run of it, or of one before it in its key's order, is out
    REJECT = 3  # it can't be known now; a resend may be luckier
    FAIL = 4  # it may have run, and there is no answer: a resend gets the same
    FORWARD = 5  # another partner leads its slot: the reason is its name


def judge(
    book: RetentionPolicies,
    customer: str,
    kept: RetainedRecord | None,
    before: RetainedRecord | None,
    now: Time,
    lost_for: Time | None,
    owner_lives: bool,
    mine: bool,
    room: Callable[[], bool],
) -> tuple[ClaimDecision, str]:
    """With the reason. `kept`: the token's record; `before`: a run of the same key that is out, if order is
    kept; `lost_for`: time since records of this slot may have been lost, None if none ever were;
    `owner_lives`: the router that has the token's run out, in that life; `mine`: this very claim was granted
    before."""
    policy = book.of(customer)
    if kept is not None and kept.record.state != RecordState.NOT_RUN:
        record, age = kept.record, now - kept.since
        if record.state == RecordState.RUNNING:
            if mine:
                return ClaimDecision.RUN, "granted before"
            if age > record.patience + COMPLETION_GRACE:
                return ClaimDecision.FAIL, "it may have run: its router never said"
            if owner_lives:
                return ClaimDecision.WAIT, "it is out"
            return ClaimDecision.REJECT, "its router is gone, its run may be out"
        if not book.answers(customer, record.key, record.taken, age):
            return ClaimDecision.FAIL, "it has run; the policy gives no answer"
        if record.state == RecordState.FAILED:
            return ClaimDecision.FAIL, "it may have run: no answer came"
        if record.state == RecordState.SERVED and record.rows is None:
            return ClaimDecision.FAIL, "it has finished; its rows are not kept"
        return ClaimDecision.REPLAY, "finished before"
    if lost_for is not None and lost_for < policy.least_ms * MS and policy.lost == "defer":
        return ClaimDecision.REJECT, "its history may be lost"
    if before is not None:
        return ClaimDecision.WAIT, "one of its key is out"
    if not room():
        return ClaimDecision.REJECT, "the customer's history is full"
    return ClaimDecision.RUN, "new"
