"""Which agreement one router follows, and which partner is to own each slot by it.

Pure. Answers what the history's replica asks before it grants queries and moves ownership leases; it moves
none itself.

That routers learn of a new agreement at different times is settled by the lease requests of the history's
views: the router that calls a view announces the agreement that holds by its own clock, and its view comes
into force only with routers that do not follow a later one. A router follows the highest agreement that was
announced to it and that it has; it never goes back. The end of an agreement, and of a notice, is by each
router's own clock: a clock that is wrong makes its router wrong by as much.

Times are tenths of a millisecond since the Unix epoch.
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
    """What the owners of the slots were derived from."""

    agreement_number: int
    up_to_date: bool
    shares: dict[str, int]


class SlotOwnership:
    """The agreement that one router follows; `revision` changes whenever slots may have other owners."""

    def __init__(self, ledger: AgreementLedger, partner_of: Mapping[str, str], counts: Counter[str]) -> None:
        """`partner_of`: each router's partner. `counts`: the statistics to which this adds."""
        self.ledger = ledger
        self.partner_of = partner_of
        self.counts = counts
        self.agreement_number = 0  # of the one that this router follows; 0: none yet
        self.announced_number = 0  # as the last view's call has it
        self.revision = 1
        self.capacities: dict[str, int] = {}  # cores of each partner that are ready, where that is known
        self.below_capacity_since: dict[str, Time] = {}  # partners that contribute less than agreed
        self.slot_owners: SlotOwners = NO_OWNERS
        self.basis: OwnersBasis | None = None

    def set_partner_of(self, partner_of: Mapping[str, str]) -> None:
        """The operator names other routers."""
        self.partner_of = partner_of
        self.revision += 1

    # ---- what the history's replica asks -----------------------------------------------------------

    def number_to_announce(self, now: Time) -> int:
        """The number of the agreement that this router would announce."""
        started = [number for number, agreement in self.ledger.accepted.items() if agreement.starts_at <= now]
        return max([self.agreement_number, *started])

    def followed_number(self) -> int:
        """The number of the agreement that this router follows."""
        return self.agreement_number

    def on_announcement(self, now: Time, number: int) -> None:
        """A view's call announces an agreement.

        One that nobody has leaves this router without any to follow, until the next valid announcement.
        """
        self.announced_number = number
        if number > self.agreement_number and number in self.ledger.accepted:
            self.agreement_number = number
            self.ledger.discard_before(number)
            self.counts["agreements_followed"] += 1
        self.update_owners(now)

    def next_lease(self, now: Time, slot: int, lease: OwnershipLease | None) -> OwnershipLease | None:
        """The lease that is to stand for a slot; the given one where nothing is to change."""
        owner = self.slot_owners[slot] if self.up_to_date() and self.is_in_force(now) else None
        return handover.next_lease(lease, owner or "", now)

    def grant_refusal(
        self, now: Time, router: str, lease: OwnershipLease | None, is_earlier_running: Callable[[], bool]
    ) -> tuple[ClaimDecision, str] | None:
        """Why a router's query of a slot can't be granted; None where it can."""
        partner = self.partner_of.get(router, "")
        return handover.grant_refusal(lease, partner, self.is_in_force(now), is_earlier_running)

    # ---- the agreement that is followed ------------------------------------------------------------

    def agreement(self) -> Agreement | None:
        """The agreement that this router follows, in force or not."""
        return self.ledger.accepted.get(self.agreement_number)

    def up_to_date(self) -> bool:
        """Whether this router has the agreement that was last announced."""
        return self.agreement_number >= self.announced_number

    def is_in_force(self, now: Time) -> bool:
        """Whether the agreement that this router follows has not ended."""
        agreement = self.agreement()
        return agreement is not None and now < agreement.ends_at

    def set_capacities(self, now: Time, capacities: Mapping[str, int]) -> None:
        """Cores of each partner that the endpoint list has as ready now."""
        self.capacities = dict(capacities)
        self.update_owners(now)

    def effective_shares(self, now: Time) -> dict[str, int]:
        """Shares as they count now; only their proportions matter.

        0 for a partner that departed; of one whose engines are missing for longer than the grace period as
        much less as it contributes less.
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
        """Derive the owners of all slots anew, if anything that they follow from has changed."""
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
