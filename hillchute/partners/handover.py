"""The two rules by which a slot changes hands: which lease follows another, and who may lead under one.

Pure. Who is to own a slot follows from the agreement (slot_allocation.py); leases are stored by the slot's
holders, replicated like records of the history, and only its first holder moves one. So at any instant a slot
has one lease.

Every query with an ordering key and every mutating query is granted by the slot's first holder, and recorded
with all holders before it runs. So the previous owner has nothing to hand over but the lease: its queries in
flight are recorded where the new owner's queries are granted, and none of the same key or table group is
granted until they are over. That is reported by the router that led them, or, where that router died, stalled
or was cut off, follows from time: after the query's timeout and the longest time that an attempt can remain
in flight, nothing of it is left (COMPLETION_GRACE). A router that stalled finds its query past its deadline
when it resumes, and sends nothing.

Times are tenths of a millisecond since the Unix epoch.
"""

from collections.abc import Callable

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease

UNITS_PER_MILLISECOND = 10  # of Time


def next_lease(lease: OwnershipLease | None, owner: str, now: Time) -> OwnershipLease | None:
    """The lease that is to stand for a slot; the given one where nothing is to change.

    `owner` is the partner that the agreement in force names, "" if there is none: then the present owner
    continues, and nobody succeeds it. A new number is at least the clock's milliseconds, so that it is higher
    than any before also where a lease was lost with all its holders.
    """
    if not owner or (lease is not None and lease.owner == owner):
        return lease
    successor = lease.number + 1 if lease is not None else 1
    return OwnershipLease(max(successor, now // UNITS_PER_MILLISECOND), owner)


def grant_refusal(
    lease: OwnershipLease | None, partner: str, in_force: bool, is_earlier_running: Callable[[], bool]
) -> tuple[ClaimDecision, str] | None:
    """Why a query of the slot from one of `partner`'s routers is not granted, or None where it may be.

    `in_force`: whether any agreement is. `is_earlier_running`: whether a query of the same key that was led
    under an earlier lease may still be running.
    """
    if not in_force:
        return ClaimDecision.REJECT, "no agreement of the partners holds"
    if lease is None:
        return ClaimDecision.REJECT, "nobody owns its slot yet"
    if not partner:
        return ClaimDecision.REJECT, "its router is no partner's"
    if lease.owner != partner:
        return ClaimDecision.FORWARD, lease.owner
    if is_earlier_running():
        return ClaimDecision.WAIT, "the owner before has something out"
    return None
