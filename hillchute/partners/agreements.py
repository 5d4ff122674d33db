"""Agreements between partners: their terms, their derivation from offers, and termination notices.

Performs no I/O. An agreement names the owner of every slot, derived from its predecessor's owners and from
the shares, so a router with this agreement needs no earlier one to know all owners. agreement_ledger.py
records who signed an agreement and whether it is in force. Times are in tenths of a millisecond since the
Unix epoch.
"""

from collections.abc import Iterable

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.slot_placement import SLOTS
from hillchute.partners.offers import (
    MAX_COUNTER,
    MAX_NAME_LENGTH,
    MAX_PERIOD,
    MAX_TIMESTAMP,
    SHARE_TOTAL,
    Offer,
    ShareBounds,
    fit_shares,
    require_compatible,
)
from hillchute.partners.slot_allocation import NO_OWNERS, SlotOwners, allocate_slots

MAX_PARTNERS = 64  # in one agreement


class Agreement(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The terms that bind all partners from `starts_at` to `ends_at`, once every one of them has signed.

    The order of the fields is part of the wire format and of the signed bytes.
    """

    number: int  # the agreement with the highest number takes precedence
    shares: dict[str, int]  # by partner; they add up to SHARE_TOTAL
    capacities: dict[str, int]  # cores by partner
    starts_at: Time
    ends_at: Time
    grace_period: Time  # a partner whose engines are missing for longer than this has its share reduced
    notice_period: Time  # from a partner's notice until its participation ends
    owners: bytes  # for each slot, an index into the sorted names of the partners
    predecessor: int = 0  # number of the agreement whose slot owners this one was derived from; 0: none

    def slot_owners(self) -> SlotOwners:
        """Return the partner that owns each slot."""
        names = sorted(self.shares)
        return tuple(names[index] for index in self.owners)


class TerminationNotice(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's notice that it leaves an agreement at `effective_at`."""

    partner: str
    agreement_number: int
    effective_at: Time


def invalid_agreement_field(agreement: Agreement) -> str:
    """Return the name of the first field that is out of bounds; "" for a valid agreement."""
    checks = (
        ("number", 0 < agreement.number < MAX_COUNTER),
        ("shares", _valid_shares(agreement)),
        ("capacities", _valid_capacities(agreement)),
        ("ends_at", 0 <= agreement.starts_at < agreement.ends_at < MAX_TIMESTAMP),
        ("grace_period", 0 <= agreement.grace_period < MAX_PERIOD),
        ("notice_period", 0 <= agreement.notice_period < MAX_PERIOD),
        ("predecessor", 0 <= agreement.predecessor < agreement.number),
        ("owners", len(agreement.owners) == SLOTS and max(agreement.owners) < len(agreement.shares)),
    )
    return next((field for field, valid in checks if not valid), "")


def _valid_shares(agreement: Agreement) -> bool:
    return (
        0 < len(agreement.shares) <= MAX_PARTNERS
        and all(0 < len(name) <= MAX_NAME_LENGTH for name in agreement.shares)
        and all(share >= 0 for share in agreement.shares.values())
        and sum(agreement.shares.values()) == SHARE_TOTAL
    )


def _valid_capacities(agreement: Agreement) -> bool:
    same_partners = agreement.capacities.keys() == agreement.shares.keys()
    return same_partners and all(cores >= 0 for cores in agreement.capacities.values())


def derive_agreement(offers: Iterable[Offer], number: int, predecessor: Agreement | None = None) -> Agreement:
    """Return the agreement that follows from all offers and the predecessor.

    The result is deterministic, so every router derives the same agreement. Each partner gets its desired
    share, or one as near to it as the bounds of the others allow. Slots are allocated with the fewest moves.
    The longest of the offered grace periods applies, and the longest notice period. Raises
    InvalidAgreementError, with the condition that can't be met, if the offers are incompatible.
    """
    offers = sorted(offers, key=lambda offer: offer.partner)
    require_compatible(offers)
    shares = fit_shares(
        {
            offer.partner: ShareBounds(offer.minimum_share, offer.desired_share, offer.maximum_share)
            for offer in offers
        }
    )
    current = predecessor.slot_owners() if predecessor is not None else NO_OWNERS
    names = sorted(shares)
    return Agreement(
        number=number,
        shares=shares,
        capacities={offer.partner: offer.capacity for offer in offers},
        starts_at=max(offer.starts_at for offer in offers),
        ends_at=min(offer.ends_at for offer in offers),
        grace_period=max(offer.grace_period for offer in offers),
        notice_period=max(offer.notice_period for offer in offers),
        owners=bytes(names.index(owner) for owner in allocate_slots(current, shares) if owner is not None),
        predecessor=predecessor.number if predecessor is not None else 0,
    )


def same_terms(agreement: Agreement, other: Agreement) -> bool:
    """Return whether two agreements differ only in number, predecessor and owners."""
    renumbered = msgspec.structs.replace(
        agreement, number=other.number, predecessor=other.predecessor, owners=other.owners
    )
    return renumbered == other
