"""How a slot changes hands: which title follows another, and who may lead under one.

Owns those two rules. Pure: what is known comes in. Must never decide who is to own a slot (split.py), or keep
a title: the slot's holders do that, like a record of the history, and its first holder alone moves it. So at
any instant there is one.

Every keyed or mutating query is granted by the slot's first holder, and listed with all holders before it
runs. So the old owner has nothing to hand over but the title: what it has out is listed where the new owner's
queries are granted, and none of the same key or table group is granted until that is over. That is said by
the router that led it, or, where that died, stands still or is cut off, shown by time: past its patience and
the longest time that a submission can still be out nothing of it is (COMPLETION_GRACE). A router that stood
still finds its query past its end when it wakes, and sends nothing.

Times are whole tenths of a millisecond, Unix.
"""

from collections.abc import Callable

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease

MS = 10  # titles are numbered by milliseconds where that is higher: see below


def follows(title: OwnershipLease | None, wanted: str, now: Time) -> OwnershipLease | None:
    """The title that is to stand. `wanted`: who is to own the slot by the text that holds; "" for nobody:
    then whoever owns it goes on, and nobody follows.

    Guards against a title that is lost with all its holders: a number by the clock is higher than any that
    went before."""
    if not wanted or (title is not None and title.owner == wanted):
        return title
    return OwnershipLease(max(title.number + 1 if title is not None else 1, now // MS), wanted)


def leads(
    title: OwnershipLease | None, partner: str, holds: bool, others_out: Callable[[], bool]
) -> tuple[ClaimDecision, str] | None:
    """Why a query of the slot from one of this partner's routers is not granted; None where it may be.
    `holds`: whether any text does."""
    if not holds:
        return ClaimDecision.REJECT, "no agreement of the partners holds"
    if title is None:
        return ClaimDecision.REJECT, "nobody owns its slot yet"
    if not partner:
        return ClaimDecision.REJECT, "its router is no partner's"
    if title.owner != partner:
        return ClaimDecision.FORWARD, title.owner
    if others_out():
        return ClaimDecision.WAIT, "the owner before has something out"
    return None
