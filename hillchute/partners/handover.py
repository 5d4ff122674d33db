"""The two rules of slot handover: which ownership lease follows another, and whose queries a lease admits.

Performs no I/O. The owner of a slot follows from the agreement (slot_allocation.py). Leases are stored by the
slot's holders and replicated like records of the history. Only the slot's first holder replaces a lease, so a
slot has one lease at any time.

Every query with an ordering key and every mutating query is granted by the slot's first holder, and recorded
at all holders before it runs. The previous owner therefore hands over nothing but the lease: its queries in
flight are recorded where the new owner's queries are granted, and no query of the same key or table group is
granted until they have ended. The router that ran them reports their end. If that router died, stalled or was
partitioned, their end follows from the time: after the query's timeout and the longest time that an attempt
can remain in flight (COMPLETION_GRACE), no attempt is left. A router that stalled finds its query past its
deadline when it resumes, and sends nothing.

Times are in tenths of a millisecond since the Unix epoch.
"""

from collections.abc import Callable

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease

UNITS_PER_MILLISECOND = 10  # units of Time in a millisecond


def next_lease(lease: OwnershipLease | None, owner: str, now: Time) -> OwnershipLease | None:
    """Return the lease that a slot should have: the given one, or a new one if the owner changes.

    `owner` is the partner that the agreement in force names, or "" without such an agreement; then the lease
    stays with its present owner. The number of a new lease is at least the clock's milliseconds, so that it
    is higher than all earlier numbers even if the last lease was lost with all its holders.
    """
    if not owner or (lease is not None and lease.owner == owner):
        return lease
    successor = lease.number + 1 if lease is not None else 1
    return OwnershipLease(max(successor, now // UNITS_PER_MILLISECOND), owner)


def grant_refusal(
    lease: OwnershipLease | None, partner: str, in_force: bool, is_earlier_running: Callable[[], bool]
) -> tuple[ClaimDecision, str] | None:
    """Return why a query of a slot from one of `partner`'s routers is not granted; None if it may be granted.

    `in_force`: whether an agreement is in force. `is_earlier_running` returns whether a query of the same key
    that was granted under an earlier lease may still be running.
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
