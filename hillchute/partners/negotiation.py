"""The agreement protocol at one router: exchange of what is known, offers, proposals and signatures.

Pure: messages and the time in, messages out. Signs only what its partner offered (agreement_signer.py). Which
agreement is followed, and who owns each slot by it, is slot_ownership.py's.

All that is known is a set that only grows, merged whenever two routers exchange it: so no order, loss or
repeat matters. At each interval one other router is sent a digest of it; who has another digest answers with
all it knows.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple
from zlib import crc32

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError
from hillchute.partners.agreement_ledger import AgreementLedger
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.agreements import Agreement, derive_agreement, same_terms
from hillchute.partners.codec import MAX_SIGNATURES
from hillchute.partners.messages import AgreementMessage, Knowledge, KnowledgeDigest
from hillchute.partners.offers import Offer
from hillchute.partners.signatures import Verify, tagged_digest
from hillchute.partners.slot_ownership import SlotOwnership

EXCHANGE_INTERVAL: Time = 10_000  # one second: a new agreement reaches 24 routers in some five intervals
EAGER_TARGETS = 3  # routers that are sent the digest at once when anything changed here
KNOWLEDGE_TAG = b"Know"  # under which all that is known is digested: the same in every version


class PartnerMembership(NamedTuple):
    """The partners as one router's operator file names them."""

    router: str
    partner: str  # whose router it is
    routers: Mapping[str, Iterable[str]]  # of each partner
    verify: Verify  # by the partners' public keys


class AgreementProtocol:
    """One router's part in the negotiation between partners.

    The caller sends what collects in `outbox` (messages with their receivers) and empties it.
    """

    def __init__(
        self, membership: PartnerMembership, seed: int, now: Time, signer: AgreementSigner | None = None
    ) -> None:
        """`signer`: only at the router that has its partner's key. `seed`: of the choice of targets."""
        self.router = membership.router
        self.partner = membership.partner
        self.seed = seed
        self.signer = signer
        self.counts: Counter[str] = Counter()
        self.ledger = AgreementLedger(membership.routers, membership.verify)
        self._set_routers(membership.routers)
        self.ownership = SlotOwnership(self.ledger, self.partner_of, self.counts)
        self.own_offer: Offer | None = None  # as the operator file has it
        self.outbox: list[tuple[str, AgreementMessage]] = []
        self.proposal_error: InvalidAgreementError | None = None  # why no agreement follows from the offers
        self.signing_errors: dict[
            int, InvalidAgreementError
        ] = {}  # by number: agreements that are not signed here
        self.last_exchange_at = now
        self.draws = 0  # of targets so far
        self.last_digest = b""

    def _set_routers(self, routers: Mapping[str, Iterable[str]]) -> None:
        self.routers = {partner: frozenset(names) for partner, names in routers.items()}
        self.partner_of = {router: partner for partner, names in self.routers.items() for router in names}

    def set_partners(self, routers: Mapping[str, Iterable[str]], verify: Verify) -> None:
        """The operator names other partners, or other routers of them."""
        self._set_routers(routers)
        self.ledger.set_partners(routers, verify)
        self.ownership.set_partner_of(self.partner_of)

    # ---- what the operator decides -----------------------------------------------------------------

    def make_offer(self, now: Time, offer: Offer) -> None:
        """This router's partner makes an offer. Raises InvalidAgreementError if its revision is not new."""
        if self.signer is None:
            raise InvalidAgreementError("this router has no key to sign with", "partners.offer")
        known = self.ledger.offers.get(offer.partner)
        if known is not None and offer != known.offer and offer.revision <= known.offer.revision:
            raise InvalidAgreementError(
                f"turn {offer.revision}; {known.offer.revision} is known already", "partners.offer.turn"
            )
        self.own_offer = offer
        self.ledger.record_offer(*self.signer.sign_offer(offer))
        self.update(now)

    def give_notice(self, now: Time) -> None:
        """This router's partner gives notice to the agreement that is followed; once is enough."""
        agreement = self.ownership.agreement()
        if agreement is None or self.signer is None:
            return
        if (agreement.number, self.partner) not in self.ledger.notices:
            self.ledger.record_notice(*self.signer.give_notice(agreement, now))
            self.update(now)

    # ---- exchange of what is known -----------------------------------------------------------------

    def receive(self, now: Time, sender: str, message: AgreementMessage) -> None:
        """Handle a message of another router."""
        match message:
            case KnowledgeDigest(digest):
                if digest != self.state_digest():
                    self.outbox.append((sender, self.knowledge(reply_wanted=True)))
            case Knowledge():
                self._merge(message)
                if message.reply_wanted and self.state_digest() != _digest_of(message):
                    self.outbox.append((sender, self.knowledge(reply_wanted=False)))
                self.update(now)

    def _merge(self, known: Knowledge) -> None:
        ledger = self.ledger
        genuine = [
            *(ledger.record_offer(offer, signature) for offer, signature in known.offers),
            *(ledger.record_signature(signature) for signature in known.signatures),
            *(ledger.record_agreement(agreement) for agreement in known.agreements),
            *(ledger.record_notice(notice, signature) for notice, signature in known.notices),
            *(ledger.record_equivocation(first, second) for first, second in known.equivocations),
        ]
        self.counts["entries_rejected"] += genuine.count(False)

    def knowledge(self, *, reply_wanted: bool) -> Knowledge:
        """All that this router knows, in one order."""
        ledger = self.ledger
        signatures = [each for signed in ledger.signatures.values() for each in signed.values()]
        signatures.sort(key=lambda each: (each.number, each.partner, each.digest), reverse=True)
        return Knowledge(
            offers=tuple(ledger.offers[partner] for partner in sorted(ledger.offers)),
            agreements=tuple(
                ledger.agreements[digest]
                for digest in sorted(ledger.agreements)
                if digest in ledger.signatures
            ),
            signatures=tuple(signatures[:MAX_SIGNATURES]),
            notices=tuple(ledger.notices[key] for key in sorted(ledger.notices)),
            equivocations=tuple(ledger.equivocations[partner] for partner in sorted(ledger.equivocations)),
            reply_wanted=reply_wanted,
        )

    def state_digest(self) -> bytes:
        """The digest of all that this router knows."""
        return _digest_of(self.knowledge(reply_wanted=False))

    def tick(self, now: Time, live_routers: Iterable[str]) -> None:
        """Send the digest when its time has come, or at once when anything changed."""
        others = sorted(set(live_routers) & self.partner_of.keys() - {self.router})
        digest = self.state_digest()
        changed = digest != self.last_digest
        self.last_digest = digest
        if others and (changed or now - self.last_exchange_at >= EXCHANGE_INTERVAL):
            self.last_exchange_at = now
            for name in self._draw_targets(others, EAGER_TARGETS if changed else 1):
                self.outbox.append((name, KnowledgeDigest(digest)))
        if changed:
            self.update(now)
        self.ownership.update_owners(now)

    def _draw_targets(self, routers: list[str], count: int) -> list[str]:
        """Some of the routers, others each time, the same for one seed."""
        self.draws += 1
        return sorted(routers, key=lambda name: crc32(f"{self.seed}:{self.draws}:{name}".encode()))[:count]

    # ---- proposals and signatures ------------------------------------------------------------------

    def update(self, now: Time) -> None:
        """After anything new: propose and sign what is due, and derive the slots' owners."""
        if self.signer is not None:
            self._propose(now, self.signer)
            self._sign_pending(self.signer)
        self.ownership.update_owners(now)

    def offers(self) -> list[Offer]:
        """The latest offer of each partner that has made any."""
        return [offer for offer, _ in self.ledger.offers.values()]

    def _propose(self, now: Time, signer: AgreementSigner) -> None:
        """The first partner by name proposes what follows from all offers, if its terms are new."""
        offers = self.offers()
        ledger = self.ledger
        all_offered = {offer.partner for offer in offers} == ledger.partners
        if not all_offered or min(ledger.partners) != self.partner:
            return
        latest = ledger.latest()
        try:
            proposal = derive_agreement(offers, self._next_number(signer), latest)
        except InvalidAgreementError as error:
            self.proposal_error = error
            return
        self.proposal_error = None
        signed = (ledger.agreements.get(digest) for digest in signer.signed.values())
        standing = [known for known in (latest, *signed) if known is not None]
        if proposal.ends_at <= now or any(_is_stated_by(proposal, known, latest) for known in standing):
            return
        ledger.record_agreement(proposal)

    def _next_number(self, signer: AgreementSigner) -> int:
        """One more than the number of anything that is known to be signed or accepted."""
        latest = self.ledger.latest()
        numbers = [each.number for signed in self.ledger.signatures.values() for each in signed.values()]
        return 1 + max([*numbers, *signer.signed, latest.number if latest is not None else 0])

    def _sign_pending(self, signer: AgreementSigner) -> None:
        """Sign each agreement that is exactly what follows from the offers known here."""
        ledger = self.ledger
        latest_number = self._latest_number()
        self._adopt_own_signatures(signer)
        self.signing_errors = {}
        if self.own_offer is None:
            return
        for digest, agreement in sorted(ledger.agreements.items(), key=lambda item: item[1].number):
            if self.partner in ledger.signatures.get(digest, {}) or agreement.number <= latest_number:
                continue
            try:
                self._require_derived(agreement, latest_number)
                signature = signer.sign_agreement(agreement, self.own_offer)
            except InvalidAgreementError as error:
                self.signing_errors[agreement.number] = error
            else:
                ledger.record_signature(signature)

    def _latest_number(self) -> int:
        latest = self.ledger.latest()
        return latest.number if latest is not None else 0

    def _adopt_own_signatures(self, signer: AgreementSigner) -> None:
        """Take over what others have of this partner's signatures, in case its journal is an old copy."""
        for signed in self.ledger.signatures.values():
            if self.partner in signed:
                signature = signed[self.partner]
                signer.signed.setdefault(signature.number, signature.digest)

    def _require_derived(self, agreement: Agreement, latest_number: int) -> None:
        """Raise InvalidAgreementError unless the agreement follows from what is known here."""
        number = agreement.number
        predecessor = self.ledger.fully_signed.get(agreement.predecessor)
        unknown = agreement.predecessor != 0 and predecessor is None
        if agreement.predecessor < latest_number or unknown:
            raise InvalidAgreementError(
                f"agreement {number} goes on from {agreement.predecessor}, not the last known here"
            )
        if agreement != derive_agreement(self.offers(), number, predecessor):
            raise InvalidAgreementError(f"agreement {number} is not what follows from the offers known here")


def _digest_of(known: Knowledge) -> bytes:
    return tagged_digest(KNOWLEDGE_TAG, msgspec.structs.replace(known, reply_wanted=False))


def _is_stated_by(proposal: Agreement, known: Agreement, latest: Agreement | None) -> bool:
    """Whether an agreement that is accepted, or on its way to be, states the proposal's terms already."""
    pending = latest is None or known.number > latest.number
    return same_terms(proposal, known) and (not pending or known.predecessor == proposal.predecessor)
