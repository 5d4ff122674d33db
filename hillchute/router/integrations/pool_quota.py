"""The engines that partners share: what each partner contributes, and this router's quota of them.

Decides when this router is confined to the floor of its entitlement. The pool is divided in
partners/capacity_pool.py; lending and borrowing are in coordination/quota_leases.py.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hillchute.coordination.quota_leases import LENDER_HOLD, Entitlement, QuotaLeases
from hillchute.decision.interface import EndpointEntry, EndpointState, Time
from hillchute.history.view_protocol import ViewProtocol
from hillchute.history.views import MAX_CLOCK_DRIFT, VIEW_LEASE
from hillchute.partners.capacity_pool import minimum_allocation, router_allocations
from hillchute.partners.negotiation import AgreementProtocol
from hillchute.router.integrations.fleet_scheduler import POOL_LIMIT
from hillchute.router.integrations.partner_settings import PartnerMember
from hillchute.settings import Settings

# A larger share under a new agreement takes effect after this time: by then all smaller shares are in effect.
ENTITLEMENT_SETTLING_TIME: Time = int(VIEW_LEASE * (1 + 2 * MAX_CLOCK_DRIFT)) + LENDER_HOLD


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineNames:
    """Names of zones and kinds by their numbers in the endpoint list, and the cores of each kind."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    cores: tuple[int, ...]  # by kind; an engine of a kind beyond these contributes nothing

    @classmethod
    def from_settings(cls, settings: Settings) -> "EngineNames":
        """The names and cores in the deployment's settings."""
        return cls(zones=settings.zone_names, kinds=settings.kind_names, cores=settings.cores_by_kind)

    def is_contributed_by(self, member: PartnerMember, engine: EndpointEntry) -> bool:
        """Whether an engine is in one of a partner's zones and of one of its kinds."""
        return _is_among(member.zones, self.zones, engine.zone) and _is_among(
            member.kinds, self.kinds, engine.kind
        )


def _is_among(names: frozenset[str], known: tuple[str, ...], number: int) -> bool:
    """Whether a number stands for one of the names; always true if there are no names."""
    return not names or (number < len(known) and known[number] in names)


class PoolQuota:
    """This router's quota of the pool; implements `fleet_scheduler.CapacityPool`."""

    def __init__(
        self,
        *,
        clock: Callable[[], Time],
        members: Callable[[], Iterable[PartnerMember]],
        engine_names: EngineNames,
        negotiation: AgreementProtocol,
        views: ViewProtocol | None,
    ) -> None:
        """`members`: returns the partners in the current operator file. `views`: those of the answer history;
        without them no agreement is known to be in force."""
        self.clock = clock
        self.members = members
        self.engine_names = engine_names
        self.negotiation = negotiation
        self.views = views
        self.allocations: dict[str, int] = {}  # units of the pool, by router
        self.allocations_revision = 0  # of the slot ownership that the allocations are computed from

    def on_endpoint_list(self, entries: Iterable[EndpointEntry]) -> None:
        """Handles a change of the endpoint list; `entries` is the whole list."""
        capacities = self.contributed_cores(entries)
        self.negotiation.ownership.set_capacities(self.clock(), capacities)

    def contributed_cores(self, entries: Iterable[EndpointEntry]) -> dict[str, int]:
        """Cores of the ready engines, by partner. An engine that matches several counts for the first."""
        members = list(self.members())
        cores = {member.name: 0 for member in members}
        for engine in entries:
            owner = next((m for m in members if self.engine_names.is_contributed_by(m, engine)), None)
            if owner is None or engine.state != EndpointState.READY:
                continue
            if engine.kind < len(self.engine_names.cores):
                cores[owner.name] += self.engine_names.cores[engine.kind]
        return cores

    def update_entitlement(self, quotas: QuotaLeases) -> None:
        """Sets this router's entitlement to the pool by the agreement in force.

        The router is confined to the floor if the agreement is not known to be in force, because it has no
        valid view or not the agreement that others follow.
        """
        now = self.clock()
        ownership = self.negotiation.ownership
        routers = self.negotiation.routers
        total = quotas.limits[POOL_LIMIT].total
        if self.allocations_revision != ownership.revision:
            self.allocations_revision = ownership.revision
            self.allocations = router_allocations(total, ownership.effective_shares(now), routers)
        has_view = self.views is not None and self.views.in_force(now)
        entitlement = Entitlement(
            units=self.allocations.get(self.negotiation.router, 0),
            floor=minimum_allocation(total, max(1, sum(map(len, routers.values())))),
            group=routers.get(self.negotiation.partner, frozenset()),
            settling_time=ENTITLEMENT_SETTLING_TIME,
            confined=not (has_view and ownership.up_to_date() and ownership.is_in_force(now)),
        )
        quotas.set_entitlement(now, POOL_LIMIT, entitlement)
