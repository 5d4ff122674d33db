"""Whose queries a slot is for: an ownership lease, moved by the slot's first holder and kept by all holders.

Owns the lease, and what the history asks whoever knows the partners' agreement. It does not know why a lease
moves: whoever has partners (hillchute/partners/) says that. Without partners slots have no leases, and every
router's queries are alike.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision


class OwnershipLease(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's ownership of a slot."""

    number: int  # only rises; each belongs to another owner than the one before
    owner: str  # the partner whose routers run the slot's queries


class PartnerAgreement(Protocol):
    """What this router knows of its partners' agreement."""

    revision: int  # changes whenever slots may be due to others

    def number_to_announce(self, now: Time) -> int:
        """The number of the agreement that holds, as this router announces it if it coordinates."""

    def followed_number(self) -> int:
        """The number of the agreement that this router follows."""

    def on_announcement(self, now: Time, number: int) -> None:
        """The coordinator announces which agreement holds."""

    def next_lease(self, now: Time, slot: int, lease: OwnershipLease | None) -> OwnershipLease | None:
        """The lease that is to stand; the same one where nothing is to move."""

    def grant_refusal(
        self,
        now: Time,
        router: str,
        lease: OwnershipLease | None,
        is_earlier_running: Callable[[], bool],
    ) -> tuple[ClaimDecision, str] | None:
        """Why a router's query of the slot can't be granted; None if it can.

        `is_earlier_running`: whether a run of its key, granted under an earlier lease, may not be over.
        """
