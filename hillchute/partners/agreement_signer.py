"""Signs offers, agreements and notices for one partner, and only terms that its operator offered.

Performs I/O only through the two functions that it is given: one signs bytes, the other stores durably what
is signed. A partner signs at most one agreement for each number, in rising order of numbers, and stores the
digest before it hands out the signature. So no lost or late message and no crash makes it sign two agreements
of one number.
"""

from collections.abc import Callable, Mapping

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError
from hillchute.partners.agreements import Agreement, TerminationNotice, invalid_agreement_field
from hillchute.partners.offers import Offer
from hillchute.partners.signatures import (
    Sign,
    Signature,
    SignedKind,
    SignedNotice,
    SignedOffer,
    content_digest,
    signed_bytes,
)


class AgreementSigner:
    """Signs for one partner. `signed`: the digests of the agreements that it has signed, by number."""

    def __init__(
        self, partner: str, sign: Sign, record: Callable[[int, bytes], bool], signed: Mapping[int, bytes]
    ) -> None:
        """`record` stores a number and a digest durably and returns whether it did.

        `signed` is what was stored before.
        """
        self.partner = partner
        self.sign = sign
        self.record = record
        self.signed = dict(signed)

    def sign_agreement(self, agreement: Agreement, own_offer: Offer) -> Signature:
        """Return the signature on an agreement.

        Raises InvalidAgreementError if the partner did not offer these terms, has signed this number or a
        higher one before, or can't store the digest.
        """
        if invalid := invalid_agreement_field(agreement):
            raise InvalidAgreementError("value is out of bounds", invalid)
        self._require_as_offered(agreement, own_offer)
        digest = content_digest(agreement)
        highest = max(self.signed, default=0)
        if agreement.number < highest or self.signed.get(agreement.number, digest) != digest:
            raise InvalidAgreementError(
                f"number {highest} is already signed; a new agreement needs a higher number", self.partner
            )
        if not self.record(agreement.number, digest):
            raise InvalidAgreementError(
                "not signed: the digest can't be kept in the signature journal", self.partner
            )
        self.signed[agreement.number] = digest
        return self._signature(SignedKind.AGREEMENT, agreement.number, digest)

    def _require_as_offered(self, agreement: Agreement, own_offer: Offer) -> None:
        share = agreement.shares.get(self.partner)
        minimum = own_offer.minimum_share
        maximum = own_offer.maximum_share
        if own_offer.partner != self.partner or share is None or not minimum <= share <= maximum:
            raise InvalidAgreementError(
                f"share {share} is not within the offered {minimum} to {maximum}", self.partner
            )
        same_capacity = agreement.capacities.get(self.partner) == own_offer.capacity
        within_times = agreement.starts_at >= own_offer.starts_at and agreement.ends_at <= own_offer.ends_at
        if not same_capacity or not within_times:
            raise InvalidAgreementError("capacity or times differ from the own offer", self.partner)

    def sign_offer(self, offer: Offer) -> SignedOffer:
        """Return the partner's own offer with its signature, so that nobody else can make one in its name."""
        return SignedOffer(offer, self._signature(SignedKind.OFFER, offer.revision, content_digest(offer)))

    def give_notice(self, agreement: Agreement, now: Time) -> SignedNotice:
        """Return a signed notice that ends the partner's participation as early as the agreement allows."""
        notice = TerminationNotice(self.partner, agreement.number, now + agreement.notice_period)
        return SignedNotice(
            notice, self._signature(SignedKind.NOTICE, agreement.number, content_digest(notice))
        )

    def _signature(self, kind: SignedKind, number: int, digest: bytes) -> Signature:
        return Signature(self.partner, number, digest, self.sign(signed_bytes(kind, number, digest)))
