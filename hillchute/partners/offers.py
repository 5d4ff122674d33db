"""What one partner offers to agree to, and how shares follow from all partners' offers.

Pure. Knows no slots, no signatures and no messages. Times are tenths of a millisecond since the Unix epoch.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError

SHARE_TOTAL = 10_000  # parts that the shares of an agreement add up to: hundredths of a percent
MAX_NAME_LENGTH = 64  # characters of a partner's name
MAX_COUNTER = 1 << 53  # exclusive bound of numbers that count up: the integers that a JSON reader keeps exact
MAX_TIMESTAMP = 1 << 60  # exclusive bound of a point in time
MAX_PERIOD = 1 << 50  # exclusive bound of a duration


class Offer(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The terms that one partner would agree to; a counter-offer is one with a higher revision.

    The order of the fields is that of the wire and of what is signed.
    """

    partner: str
    revision: int  # `turn` in the operator file
    capacity: int  # cores that the partner contributes
    desired_share: int  # this and the two bounds in parts of SHARE_TOTAL
    minimum_share: int
    maximum_share: int
    starts_at: Time
    ends_at: Time
    grace_period: Time = 0  # how long it tolerates that a partner's engines are missing
    notice_period: Time = 0  # how long before it leaves a partner is to say so


class ShareBounds(NamedTuple):
    """A partner's desired share between the least and the most that it accepts."""

    minimum: int
    desired: int
    maximum: int


def invalid_offer_field(offer: Offer) -> str:
    """The first field that is out of its bounds; "" for a valid offer."""
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
    """Raise InvalidAgreementError, with what can't be met, unless some agreement satisfies all offers."""
    offers = list(offers)
    if not offers:
        raise InvalidAgreementError("nobody offers anything")
    for offer in offers:
        if not 0 <= offer.minimum_share <= offer.desired_share <= offer.maximum_share <= SHARE_TOTAL:
            raise InvalidAgreementError("expected least <= want <= most", offer.partner)
    if sum(offer.minimum_share for offer in offers) > SHARE_TOTAL:
        raise InvalidAgreementError("all want more at the least than there is", "least")
    if sum(offer.maximum_share for offer in offers) < SHARE_TOTAL:
        raise InvalidAgreementError("all take less at the most than there is", "most")
    if max(offer.starts_at for offer in offers) >= min(offer.ends_at for offer in offers):
        raise InvalidAgreementError("the times offered have none in common", "begins")


def fit_shares(bounds: Mapping[str, ShareBounds]) -> dict[str, int]:
    """Shares that add up to SHARE_TOTAL, each within its bounds.

    Each is moved from the desired share by the same fraction of the distance to its bound on that side;
    rounding goes to the largest remainders, then by name. The bounds must allow SHARE_TOTAL.
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
