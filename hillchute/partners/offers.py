"""The offer of one partner, and the calculation of shares from the offers of all partners.

Performs no I/O. Times are in tenths of a millisecond since the Unix epoch.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError

SHARE_TOTAL = 10_000  # sum of the shares of an agreement; a share is in hundredths of a percent
MAX_NAME_LENGTH = 64  # characters in a partner's name
MAX_COUNTER = 1 << 53  # exclusive bound of counters; JSON readers represent smaller integers exactly
MAX_TIMESTAMP = 1 << 60  # exclusive bound of times
MAX_PERIOD = 1 << 50  # exclusive bound of durations


class Offer(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The terms that one partner would agree to; a later offer of it has a higher revision.

    The order of the fields is part of the wire format and of the signed bytes.
    """

    partner: str
    revision: int  # `turn` in the operator file
    capacity: int  # cores that the partner contributes
    desired_share: int  # like its two bounds in parts of SHARE_TOTAL
    minimum_share: int
    maximum_share: int
    starts_at: Time
    ends_at: Time
    grace_period: Time = 0  # tolerated absence of a partner's engines before its share is reduced
    notice_period: Time = 0  # from a partner's notice until its participation ends


class ShareBounds(NamedTuple):
    """A partner's desired share, with the lowest and the highest that it accepts."""

    minimum: int
    desired: int
    maximum: int


def invalid_offer_field(offer: Offer) -> str:
    """Return the name of the first field that is out of bounds; "" for a valid offer."""
    if not 0 < len(offer.partner) <= MAX_NAME_LENGTH:
        return "partner"
    if not 0 <= offer.minimum_share <= offer.desired_share <= offer.maximum_share <= SHARE_TOTAL:
        return "desired_share"
    if not (0 <= offer.revision < MAX_COUNTER and 0 <= offer.capacity < MAX_COUNTER):
        return "revision"
    if not 0 <= offer.starts_at < offer.ends_at < MAX_TIMESTAMP:
        return "ends_at"
    if not (0 <= offer.grace_period < MAX_PERIOD and 0 <= offer.notice_period < MAX_PERIOD):
        return "grace_period"
    return ""


def require_compatible(offers: Iterable[Offer]) -> None:
    """Raise InvalidAgreementError, with the conflicting terms, unless an agreement can satisfy all offers."""
    offers = list(offers)
    if not offers:
        raise InvalidAgreementError("no partner has made an offer")
    for offer in offers:
        if not 0 <= offer.minimum_share <= offer.desired_share <= offer.maximum_share <= SHARE_TOTAL:
            raise InvalidAgreementError("expected least <= want <= most", offer.partner)
    if sum(offer.minimum_share for offer in offers) > SHARE_TOTAL:
        raise InvalidAgreementError(f"the minimum shares add up to more than {SHARE_TOTAL}", "least")
    if sum(offer.maximum_share for offer in offers) < SHARE_TOTAL:
        raise InvalidAgreementError(f"the maximum shares add up to less than {SHARE_TOTAL}", "most")
    if max(offer.starts_at for offer in offers) >= min(offer.ends_at for offer in offers):
        raise InvalidAgreementError("the offered times do not overlap", "begins")


def fit_shares(bounds: Mapping[str, ShareBounds]) -> dict[str, int]:
    """Return shares that add up to SHARE_TOTAL, each within its bounds.

    Each share is moved from the desired one by the same fraction of the distance to the bound on that side.
    Units left over by rounding go to the largest remainders, and among equal ones by name. The bounds must
    allow SHARE_TOTAL.
    """
    shares = {name: bound.desired for name, bound in bounds.items()}
    missing = SHARE_TOTAL - sum(shares.values())
    if not missing:
        return shares
    direction = 1 if missing > 0 else -1
    distances = {
        name: bound.maximum - bound.desired if missing > 0 else bound.desired - bound.minimum
        for name, bound in bounds.items()
    }
    total_distance = sum(distances.values())
    exact = {name: abs(missing) * distance / total_distance for name, distance in distances.items()}
    for name, change in exact.items():
        shares[name] += direction * int(change)
    rounding = abs(missing) - sum(int(change) for change in exact.values())
    by_remainder = sorted(exact, key=lambda name: (int(exact[name]) - exact[name], name))
    movable = [name for name in by_remainder if int(exact[name]) < distances[name]]
    for name in movable[:rounding]:
        shares[name] += direction
    return shares
