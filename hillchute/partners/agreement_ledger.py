"""All that one router knows of offers, agreements and signatures, and which agreement is accepted by it.

Pure, and it sends nothing. What is known is a set that only grows, so every router comes to the same state
from the same messages, in whatever order and however often they arrive. An agreement is accepted once every
partner has signed it. So whatever is lost, repeated, late or crashes in between, either the old agreement
holds or the new one: one that lacks a signature is none, and the old one stands to its end. That routers
learn of a new agreement at different times is settled in slot_ownership.py.

Times are tenths of a millisecond since the Unix epoch.
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

# Bounds what a partner that signs without end can make others store: of each partner's signatures those with
# the highest numbers are kept, and as many agreements that nobody signed.
MAX_SIGNED_AGREEMENTS = 16


class AgreementLedger:
    """Offers, agreements, signatures, notices and proofs of equivocation, each verified before it is kept."""

    def __init__(self, partners: Iterable[str], verify: Verify) -> None:
        """`partners`: as the operator files name them; an agreement needs the signatures of all of them."""
        self.partners = frozenset(partners)
        self.verify = verify
        self.offers: dict[str, SignedOffer] = {}  # the latest of each partner
        self.agreements: dict[bytes, Agreement] = {}  # by digest
        self.signatures: dict[bytes, dict[str, Signature]] = {}  # by digest, then by partner
        self.notices: dict[tuple[int, str], SignedNotice] = {}  # by agreement number and partner
        self.equivocations: dict[str, Equivocation] = {}  # by partner
        self.fully_signed: dict[
            int, Agreement
        ] = {}  # by number: with the signatures of all that have a share
        self.accepted: dict[
            int, Agreement
        ] = {}  # by number: those of them in which every partner has a share

    def set_partners(self, partners: Iterable[str], verify: Verify) -> None:
        """The operator names other partners. What was accepted stays accepted."""
        self.partners = frozenset(partners)
        self.verify = verify

    # ---- what is received --------------------------------------------------------------------------

    def record_offer(self, offer: Offer, signature: Signature) -> bool:
        """Whether the offer is genuine. Of two with one revision every router keeps the same."""
        known = self.offers.get(offer.partner)
        if known == (offer, signature):
            return True  # it comes again with each exchange
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
        """Whether the agreement is valid. Of those that nobody signed, a bounded number is kept."""
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
        """Whether the signature on an agreement is genuine. Of each partner a bounded number is kept."""
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
            self._forget_signature(lowest_digest, signature.partner)
        self.signatures.setdefault(signature.digest, {})[signature.partner] = signature
        self.accept_if_signed(signature.digest)
        return True

    def record_equivocation(self, one: Signature, other: Signature) -> bool:
        """Whether two signatures prove an equivocation. Of several proofs every router keeps the lowest."""
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
        """Whether the notice is genuine. Of several to one agreement the earliest counts."""
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
        """Whether a known partner made the signature, on content of this kind."""
        content = signed_bytes(kind, signature.number, signature.digest)
        return signature.partner in self.partners and self.verify(signature.partner, content, signature.value)

    def _signed_by(self, partner: str) -> list[tuple[int, bytes]]:
        """Number and digest of what a partner signed, the lowest first."""
        return sorted(
            (signatures[partner].number, digest)
            for digest, signatures in self.signatures.items()
            if partner in signatures
        )

    def _forget_signature(self, digest: bytes, partner: str) -> None:
        self.signatures[digest].pop(partner)
        if not self.signatures[digest]:
            del self.signatures[digest]
            self.agreements.pop(digest, None)

    def accept_if_signed(self, digest: bytes) -> None:
        """Accept an agreement that every partner has signed under the agreement's own number.

        One that only some partners share and signed is not accepted, but kept as what a later agreement may
        have as its predecessor.
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

    # ---- what follows from it ----------------------------------------------------------------------

    def latest(self) -> Agreement | None:
        """The accepted agreement with the highest number."""
        return self.accepted[max(self.accepted)] if self.accepted else None

    def in_force(self, now: Time) -> Agreement | None:
        """Of the accepted agreements that have started the highest, unless it has ended."""
        started = [number for number, agreement in self.accepted.items() if agreement.starts_at <= now]
        agreement = self.accepted[max(started)] if started else None
        return agreement if agreement is not None and now < agreement.ends_at else None

    def departed(self, agreement: Agreement, now: Time) -> frozenset[str]:
        """Partners without a part any more: whose notice has taken effect, and who equivocated.

        An equivocation counts if it is of the agreement's number or of an earlier one.
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
        """Shares by the agreement in force, 0 for who departed; only their proportions matter."""
        agreement = self.in_force(now)
        if agreement is None:
            return {}
        departed = self.departed(agreement, now)
        remaining = {
            partner: 0 if partner in departed else share for partner, share in agreement.shares.items()
        }
        return remaining if sum(remaining.values()) else {}

    def discard_before(self, number: int) -> None:
        """Forget agreements with a lower number than the one that is followed, and what belongs to them."""
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
