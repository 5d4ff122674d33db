"""The agreement that one router follows, and the partner that should own each slot by it.

Performs no I/O. The replica of the answer history consults it before it grants queries and replaces ownership
leases.

Routers learn of a new agreement at different times. They agree on the one to follow through the views of the
history: the coordinator of a view announces the agreement that is in force by its own clock, and the view
comes into force only with routers that do not follow a later one. A router follows the agreement with the
highest number that was announced to it and that it has accepted, and never returns to a lower one. Each
router decides by its own clock when an agreement or a notice period has ended, so a clock error shifts these
times by as much.

Times are in tenths of a millisecond since the Unix epoch.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.partners import handover
from hillchute.partners.agreement_ledger import AgreementLedger
from hillchute.partners.agreements import Agreement
from hillchute.partners.slot_allocation import NO_OWNERS, SlotOwners, allocate_slots


class OwnersBasis(NamedTuple):
    """The inputs from which the owners of the slots were derived."""

    agreement_number: int
    up_to_date: bool
    shares: dict[str, int]


class SlotOwnership:
    """The agreement that one router follows. `revision` changes whenever the owners of slots may change."""

    def __init__(self, ledger: AgreementLedger, partner_of: Mapping[str, str], counts: Counter[str]) -> None:
        """`partner_of`: the partner of each router. `counts`: statistics to which this object adds."""
        self.ledger = ledger
        self.partner_of = partner_of
        self.counts = counts
        self.agreement_number = 0  # of the followed agreement; 0: none yet
        self.announced_number = 0  # in the last view's announcement
        self.revision = 1
        self.capacities: dict[str, int] = {}  # ready cores by partner, where known
        self.below_capacity_since: dict[str, Time] = {}  # by partner that contributes less than agreed
        self.slot_owners: SlotOwners = NO_OWNERS
        self.basis: OwnersBasis | None = None

    def set_partner_of(self, partner_of: Mapping[str, str]) -> None:
        """Replace the partners of routers after a change of the operator file."""
        self.partner_of = partner_of
        self.revision += 1

    # ---- interface for the history's replica -------------------------------------------------------

    def number_to_announce(self, now: Time) -> int:
        """Return the number of the agreement that this router would announce."""
        started = [number for number, agreement in self.ledger.accepted.items() if agreement.starts_at <= now]
        return max([self.agreement_number, *started])

    def followed_number(self) -> int:
        """Return the number of the agreement that this router follows."""
        return self.agreement_number

    def on_announcement(self, now: Time, number: int) -> None:
        """Handle the announcement of an agreement by the coordinator of a view.

        While this router lacks the announced agreement, it leaves all ownership leases unchanged.
        """
        self.announced_number = number
        if number > self.agreement_number and number in self.ledger.accepted:
            self.agreement_number = number
            self.ledger.discard_before(number)
            self.counts["agreements_followed"] += 1
        self.update_owners(now)

    def next_lease(self, now: Time, slot: int, lease: OwnershipLease | None) -> OwnershipLease | None:
        """Return the lease that a slot should have: the given one, or a new one if the owner changes."""
        owner = self.slot_owners[slot] if self.up_to_date() and self.is_in_force(now) else None
        return handover.next_lease(lease, owner or "", now)

    def grant_refusal(
        self, now: Time, router: str, lease: OwnershipLease | None, is_earlier_running: Callable[[], bool]
    ) -> tuple[ClaimDecision, str] | None:
        """Return why a router's query of a slot is not granted; None if it may be granted."""
        partner = self.partner_of.get(router, "")
        return handover.grant_refusal(lease, partner, self.is_in_force(now), is_earlier_running)

    # ---- the followed agreement --------------------------------------------------------------------

    def agreement(self) -> Agreement | None:
        """Return the agreement that this router follows, whether or not it is in force."""
        return self.ledger.accepted.get(self.agreement_number)

    def up_to_date(self) -> bool:
        """Return whether this router has the last announced agreement or a later one."""
        return self.agreement_number >= self.announced_number

    def is_in_force(self, now: Time) -> bool:
        """Return whether this router follows an agreement that has not ended."""
        agreement = self.agreement()
        return agreement is not None and now < agreement.ends_at

    def set_capacities(self, now: Time, capacities: Mapping[str, int]) -> None:
        """Set the ready cores of each partner by the endpoint list."""
        self.capacities = dict(capacities)
        self.update_owners(now)

    def effective_shares(self, now: Time) -> dict[str, int]:
        """Return the shares that apply now; only their proportions matter.

        The share of a departed partner is 0. The share of a partner whose engines have been missing for
        longer than the grace period is reduced in proportion to the missing capacity.
        """
        agreement = self.agreement()
        if agreement is None:
            return {}
        departed = self.ledger.departed(agreement, now)
        effective: dict[str, int] = {}
        for partner, share in agreement.shares.items():
            reduced = self._share_by_capacity(now, partner, share, agreement)
            effective[partner] = 0 if partner in departed else reduced
        return effective

    def _share_by_capacity(self, now: Time, partner: str, share: int, agreement: Agreement) -> int:
        agreed = agreement.capacities[partner]
        ready = self.capacities.get(partner)
        if ready is None or ready >= agreed:
            self.below_capacity_since.pop(partner, None)
            return share
        since = self.below_capacity_since.setdefault(partner, now)
        return share * ready // agreed if now - since > agreement.grace_period else share

    def update_owners(self, now: Time) -> None:
        """Recalculate the owners of all slots if an input has changed."""
        agreement = self.agreement()
        shares = self.effective_shares(now)
        basis = OwnersBasis(self.agreement_number, self.up_to_date(), shares)
        if basis == self.basis:
            return
        self.basis = basis
        self.revision += 1
        if agreement is None or not sum(shares.values()):
            self.slot_owners = NO_OWNERS
            return
        agreed = agreement.slot_owners()
        self.slot_owners = agreed if shares == agreement.shares else allocate_slots(agreed, shares)
