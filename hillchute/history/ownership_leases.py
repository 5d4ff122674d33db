"""Ownership leases: which partner's routers run the queries of a slot.

The slot's first holder moves its lease, and all holders store it. hillchute/partners/ implements
PartnerAgreement and decides when a lease moves. Without partners slots have no leases, and queries of all
routers are treated alike.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision


class OwnershipLease(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's ownership of a slot."""

    number: int  # increases with each change of owner
    owner: str  # the partner whose routers run the slot's queries


class PartnerAgreement(Protocol):
    """This router's knowledge of the agreement between partners."""

    revision: int  # changes whenever the owners of slots may change

    def number_to_announce(self, now: Time) -> int:
        """Returns the number of the agreement in force, which this router announces as coordinator."""

    def followed_number(self) -> int:
        """Returns the number of the agreement that this router follows."""

    def on_announcement(self, now: Time, number: int) -> None:
        """Notes the number of the agreement in force, as announced by the coordinator."""

    def next_lease(self, now: Time, slot: int, lease: OwnershipLease | None) -> OwnershipLease | None:
        """Returns the lease that the slot should have; `lease` itself if it should not move."""

    def grant_refusal(
        self,
        now: Time,
        router: str,
        lease: OwnershipLease | None,
        is_earlier_running: Callable[[], bool],
    ) -> tuple[ClaimDecision, str] | None:
        """Returns why a router's query of the slot cannot be granted; None if it can.

        `is_earlier_running`: whether a run of its key, granted under an earlier lease, may not have ended.
        """
