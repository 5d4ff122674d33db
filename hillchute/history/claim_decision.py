"""What becomes of a keyed query that arrives: run, answer from the record, wait, defer, kill.

Owns that one choice. Pure: what the holder knows comes in. Must never hold a record or ask anybody.
"""

from collections.abc import Callable
from enum import Enum

from hillchute.decision.interface import Time
from hillchute.history.records import FINISHED, FREED, KILLED, OUT, STILL_OUT, Kept
from hillchute.history.retention import MS, Book

FOUNDING: Time = 600_000  # a minute after `founded` in which routers start and find each other


class Verdict(Enum):
    RUN = 0  # nobody has run it, and the record that it runs is with all holders
    ANSWER = 1  # it has run: its ending, with the rows if they are kept
    WAIT = 2  # a run of it, or of one before it in its key's order, is out
    DEFER = 3  # it can't be known now; a resend may be luckier
    KILL = 4  # it may have run, and there is no answer: a resend gets the same
    PASS = 5  # another partner leads its slot: the reason is its name


def judge(
    book: Book,
    customer: str,
    kept: Kept | None,
    before: Kept | None,
    now: Time,
    lost_for: Time | None,
    owner_lives: bool,
    mine: bool,
    room: Callable[[], bool],
) -> tuple[Verdict, str]:
    """With the reason. `kept`: the token's record; `before`: a run of the same key that is out, if order is
    kept; `lost_for`: time since records of this slot may have been lost, None if none ever were;
    `owner_lives`: the router that has the token's run out, in that life; `mine`: this very claim was granted
    before."""
    policy = book.of(customer)
    if kept is not None and kept.record.state != FREED:
        record, age = kept.record, now - kept.since
        if record.state == OUT:
            if mine:
                return Verdict.RUN, "granted before"
            if age > record.patience + STILL_OUT:
                return Verdict.KILL, "it may have run: its router never said"
            if owner_lives:
                return Verdict.WAIT, "it is out"
            return Verdict.DEFER, "its router is gone, its run may be out"
        if not book.answers(customer, record.key, record.taken, age):
            return Verdict.KILL, "it has run; the policy gives no answer"
        if record.state == KILLED:
            return Verdict.KILL, "it may have run: no answer came"
        if record.state == FINISHED and record.rows is None:
            return Verdict.KILL, "it has finished; its rows are not kept"
        return Verdict.ANSWER, "finished before"
    if lost_for is not None and lost_for < policy.least_ms * MS and policy.lost == "defer":
        return Verdict.DEFER, "its history may be lost"
    if before is not None:
        return Verdict.WAIT, "one of its key is out"
    if not room():
        return Verdict.DEFER, "the customer's history is full"
    return Verdict.RUN, "new"
