"""The offers, agreements and signatures that one router knows, and the agreements that it has accepted.

Performs no I/O and sends no messages. The entries form a set to which received ones are added, so all routers
reach the same state from the same messages, whatever their order and however often they are repeated. An
agreement is accepted once every partner has signed it. Lost, repeated or late messages and crashes therefore
leave either the old agreement or the new one in force: an agreement that lacks a signature has no effect, and
the old one stays in force until its end. slot_ownership.py handles routers that learn of a new agreement at
different times.

Times are in tenths of a millisecond since the Unix epoch.
"""

from collections.abc import Iterable

from hillchute.decision.interface import Time
from hillchute.partners.agreements import Agreement, TerminationNotice, invalid_agreement_field
from hillchute.partners.offers import Offer, invalid_offer_field
from hillchute.partners.signatures import (
    Equivocation,
    Signature,
    SignedKind,
    SignedNotice,
    SignedOffer,
    Verify,
    content_digest,
    signed_bytes,
)

# Limits the memory that a partner can occupy at other routers by signing without end. Of each partner's
# signatures, those with the highest agreement numbers are kept. The same limit applies to the number of
# agreements without any signature.
MAX_SIGNED_AGREEMENTS = 16


class AgreementLedger:
    """Offers, agreements, signatures, notices and equivocation proofs, each verified before it is stored."""

    def __init__(self, partners: Iterable[str], verify: Verify) -> None:
        """`partners`: the partners in the operator file. An agreement needs the signatures of all of them."""
        self.partners = frozenset(partners)
        self.verify = verify
        self.offers: dict[str, SignedOffer] = {}  # by partner: the offer with the highest revision
        self.agreements: dict[bytes, Agreement] = {}  # by digest
        self.signatures: dict[bytes, dict[str, Signature]] = {}  # by digest, then by partner
        self.notices: dict[tuple[int, str], SignedNotice] = {}  # by agreement number and partner
        self.equivocations: dict[str, Equivocation] = {}  # by partner
        # By number: agreements signed by every partner that has a share in them.
        self.fully_signed: dict[int, Agreement] = {}
        # By number: fully signed agreements in which every partner has a share.
        self.accepted: dict[int, Agreement] = {}

    def set_partners(self, partners: Iterable[str], verify: Verify) -> None:
        """Replace the partners after a change of the operator file. Accepted agreements stay accepted."""
        self.partners = frozenset(partners)
        self.verify = verify

    # ---- recording of received entries -------------------------------------------------------------

    def record_offer(self, offer: Offer, signature: Signature) -> bool:
        """Record an offer if it is genuine, and return whether it is.

        Of two offers with the same revision, every router keeps the one with the higher digest.
        """
        known = self.offers.get(offer.partner)
        if known == (offer, signature):
            return True  # verified before; each exchange repeats it
        matches = (
            signature.partner == offer.partner
            and signature.digest == content_digest(offer)
            and signature.number == offer.revision
            and not invalid_offer_field(offer)
        )
        if not matches or not self.is_genuine(SignedKind.OFFER, signature):
            return False
        if known is None or (offer.revision, signature.digest) > (
            known.offer.revision,
            known.signature.digest,
        ):
            self.offers[offer.partner] = SignedOffer(offer, signature)
        return True

    def record_agreement(self, agreement: Agreement) -> bool:
        """Record an agreement if it is valid and between known partners, and return whether it is.

        At most MAX_SIGNED_AGREEMENTS agreements without a signature are kept; the oldest is dropped first.
        """
        if invalid_agreement_field(agreement) or not agreement.shares.keys() <= self.partners:
            return False
        digest = content_digest(agreement)
        unsigned = [known for known in self.agreements if known not in self.signatures]
        if digest not in self.signatures and len(unsigned) >= MAX_SIGNED_AGREEMENTS:
            del self.agreements[unsigned[0]]
        self.agreements[digest] = agreement
        self.accept_if_signed(digest)
        return True

    def record_signature(self, signature: Signature) -> bool:
        """Record a signature on an agreement if it is genuine, and return whether it is.

        At most MAX_SIGNED_AGREEMENTS signatures of each partner are kept, those with the highest numbers.
        """
        if signature.partner in self.signatures.get(signature.digest, {}):
            return True
        if not self.is_genuine(SignedKind.AGREEMENT, signature):
            return False
        known = self._signed_by(signature.partner)
        for number, digest in known:
            if number == signature.number and digest != signature.digest:
                self.record_equivocation(self.signatures[digest][signature.partner], signature)
        if len(known) >= MAX_SIGNED_AGREEMENTS:
            lowest_number, lowest_digest = known[0]
            if signature.number <= lowest_number:
                return True
            self._remove_signature(lowest_digest, signature.partner)
        self.signatures.setdefault(signature.digest, {})[signature.partner] = signature
        self.accept_if_signed(signature.digest)
        return True

    def record_equivocation(self, one: Signature, other: Signature) -> bool:
        """Record two signatures as a proof of equivocation if they are one, and return whether they are.

        Of several proofs against one partner, every router keeps the first in the order of `_proof_order`.
        """
        known = self.equivocations.get(one.partner)
        if known == (one, other):
            return True
        conflict = one.partner == other.partner and one.number == other.number and one.digest != other.digest
        if not conflict or not all(self.is_genuine(SignedKind.AGREEMENT, each) for each in (one, other)):
            return False
        proof = Equivocation(one, other) if one.digest < other.digest else Equivocation(other, one)
        if known is None or _proof_order(proof) < _proof_order(known):
            self.equivocations[one.partner] = proof
        return True

    def record_notice(self, notice: TerminationNotice, signature: Signature) -> bool:
        """Record a termination notice if it is genuine, and return whether it is.

        Of several notices of one partner to one agreement, the earliest is kept.
        """
        key = (notice.agreement_number, notice.partner)
        known = self.notices.get(key)
        if known == (notice, signature):
            return True
        matches = (
            signature.partner == notice.partner
            and signature.digest == content_digest(notice)
            and signature.number == notice.agreement_number
        )
        if not matches or not self.is_genuine(SignedKind.NOTICE, signature):
            return False
        if known is None or notice.effective_at < known.notice.effective_at:
            self.notices[key] = SignedNotice(notice, signature)
        return True

    def is_genuine(self, kind: SignedKind, signature: Signature) -> bool:
        """Return whether the signature was made by a known partner on content of this kind."""
        content = signed_bytes(kind, signature.number, signature.digest)
        return signature.partner in self.partners and self.verify(signature.partner, content, signature.value)

    def _signed_by(self, partner: str) -> list[tuple[int, bytes]]:
        """Return number and digest of each agreement that a partner signed, in rising order."""
        return sorted(
            (signatures[partner].number, digest)
            for digest, signatures in self.signatures.items()
            if partner in signatures
        )

    def _remove_signature(self, digest: bytes, partner: str) -> None:
        self.signatures[digest].pop(partner)
        if not self.signatures[digest]:
            del self.signatures[digest]
            self.agreements.pop(digest, None)

    def accept_if_signed(self, digest: bytes) -> None:
        """Accept an agreement that every partner has signed under the agreement's own number.

        An agreement between some of the partners that all of them signed is not accepted, but a later
        agreement may name it as its predecessor.
        """
        agreement = self.agreements.get(digest)
        if agreement is None:
            return
        signatures = self.signatures.get(digest, {})
        for partner in agreement.shares:
            if partner not in signatures or signatures[partner].number != agreement.number:
                return
        self.fully_signed[agreement.number] = agreement
        if agreement.shares.keys() >= self.partners:
            self.accepted[agreement.number] = agreement

    # ---- accepted agreements -----------------------------------------------------------------------

    def latest(self) -> Agreement | None:
        """Return the accepted agreement with the highest number."""
        return self.accepted[max(self.accepted)] if self.accepted else None

    def in_force(self, now: Time) -> Agreement | None:
        """Return the highest-numbered accepted agreement that has started; None if that one has ended."""
        started = [number for number, agreement in self.accepted.items() if agreement.starts_at <= now]
        agreement = self.accepted[max(started)] if started else None
        return agreement if agreement is not None and now < agreement.ends_at else None

    def departed(self, agreement: Agreement, now: Time) -> frozenset[str]:
        """Return the partners that no longer take part: their notice has taken effect, or they equivocated.

        An equivocation counts if its number is that of the agreement or a lower one.
        """
        left = {
            partner
            for (number, partner), (notice, _) in self.notices.items()
            if number == agreement.number and notice.effective_at <= now
        }
        equivocated = {
            partner for partner, proof in self.equivocations.items() if proof.first.number <= agreement.number
        }
        return frozenset(left | equivocated)

    def shares(self, now: Time) -> dict[str, int]:
        """Return the shares by the agreement in force, with 0 for departed partners.

        Only the proportions of shares matter. Empty if no agreement is in force or no remaining partner has a
        share.
        """
        agreement = self.in_force(now)
        if agreement is None:
            return {}
        departed = self.departed(agreement, now)
        remaining = {
            partner: 0 if partner in departed else share for partner, share in agreement.shares.items()
        }
        return remaining if sum(remaining.values()) else {}

    def discard_before(self, number: int) -> None:
        """Discard agreements with lower numbers than the followed one, with their signatures and notices."""
        for agreements in (self.accepted, self.fully_signed):
            for old in [known for known in agreements if known < number]:
                del agreements[old]
        for digest, signatures in list(self.signatures.items()):
            if max(signature.number for signature in signatures.values()) < number:
                del self.signatures[digest]
                self.agreements.pop(digest, None)
        for key in [key for key in self.notices if key[0] < number]:
            del self.notices[key]


def _proof_order(proof: Equivocation) -> tuple[int, bytes, bytes]:
    return proof.first.number, proof.first.digest, proof.second.digest
