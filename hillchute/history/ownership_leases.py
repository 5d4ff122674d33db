"""Whose queries a slot is for: a title, moved by the slot's first holder and kept by all of its holders.

Owns the title and what a keeper must be told to move one. Must never know why it moves: whoever has partners
(hillchute/partners/) says that. Without partners slots have no titles, and every router's queries are alike.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision


class OwnershipLease(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    number: int  # only rises; with each the owner is another
    owner: str  # the partner that leads the slot's queries


class LeaseTransfer(msgspec.Struct):
    """A title on its way to the other holders; it holds once all have it."""

    title: OwnershipLease
    waits: set[str]
    began: Time
    sent: Time


class PartnerAgreement(Protocol):
    """What this router knows of its partners' agreement."""

    revision: int  # another one whenever slots may be due to others

    def named(self, now: Time) -> int:
        """The number of the text that holds, as this router would tell all if it speaks for them."""

    def held(self) -> int:
        """The number of the text that this router goes by."""

    def told(self, now: Time, number: int) -> None:
        """Who speaks for all says which text holds."""

    def follows(self, now: Time, slot: int, title: OwnershipLease | None) -> OwnershipLease | None:
        """The title that is to stand; the same one where nothing is to move."""

    def leads(
        self, now: Time, router: str, title: OwnershipLease | None, others_out: Callable[[], bool]
    ) -> tuple[ClaimDecision, str] | None:
        """Why a router's query of the slot can't be granted; None if it can. `others_out`: whether something
        of its key that was led under an earlier title may still be out."""
