"""The agreement protocol at one router: exchange of ledgers, offers, proposals and signatures.

Performs no I/O: takes messages and the time, and returns messages. Signs only what its partner offered
(agreement_signer.py). slot_ownership.py decides which agreement is followed, and who owns each slot by it.

Routers merge the entries of their ledgers whenever they exchange them, so the order, loss or repetition of
messages does not matter. At each interval a router sends the digest of its ledger to one other router; a
router with another digest answers with its whole ledger.
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
from hillchute.partners.messages import AgreementMessage, LedgerDigest, LedgerEntries
from hillchute.partners.offers import Offer
from hillchute.partners.signatures import Verify, tagged_digest
from hillchute.partners.slot_ownership import SlotOwnership

EXCHANGE_INTERVAL: Time = 10_000  # one second; a new agreement reaches 24 routers in about five intervals
TARGETS_ON_CHANGE = 3  # routers that get the digest at once when this router's ledger has changed
DIGEST_TAG = b"Know"  # prefix of the digested bytes; must be the same in all versions


class PartnerMembership(NamedTuple):
    """The partners and their routers, as one router's operator file names them."""

    router: str
    partner: str  # the partner that operates this router
    routers: Mapping[str, Iterable[str]]  # by partner
    verify: Verify  # verifies signatures by the partners' public keys


class AgreementProtocol:
    """One router's side of the negotiation between partners.

    The caller sends the messages in `outbox`, each with its receiver, and empties the list.
    """

    def __init__(
        self, membership: PartnerMembership, seed: int, now: Time, signer: AgreementSigner | None = None
    ) -> None:
        """`signer`: only at the router that has its partner's key. `seed` of the selection of targets."""
        self.router = membership.router
        self.partner = membership.partner
        self.seed = seed
        self.signer = signer
        self.counts: Counter[str] = Counter()
        self.ledger = AgreementLedger(membership.routers, membership.verify)
        self._set_routers(membership.routers)
        self.ownership = SlotOwnership(self.ledger, self.partner_of, self.counts)
        self.own_offer: Offer | None = None  # the offer in the operator file
        self.outbox: list[tuple[str, AgreementMessage]] = []
        self.proposal_error: InvalidAgreementError | None = None  # why the offers allow no agreement
        self.signing_errors: dict[int, InvalidAgreementError] = {}  # by number of the unsigned agreement
        self.last_exchange_at = now
        self.rounds = 0  # of target selection so far
        self.last_digest = b""

    def _set_routers(self, routers: Mapping[str, Iterable[str]]) -> None:
        self.routers = {partner: frozenset(names) for partner, names in routers.items()}
        self.partner_of = {router: partner for partner, names in self.routers.items() for router in names}

    def set_partners(self, routers: Mapping[str, Iterable[str]], verify: Verify) -> None:
        """Replace the partners and their routers after a change of the operator file."""
        self._set_routers(routers)
        self.ledger.set_partners(routers, verify)
        self.ownership.set_partner_of(self.partner_of)

    # ---- offers and notices of the own partner -----------------------------------------------------

    def make_offer(self, now: Time, offer: Offer) -> None:
        """Publish an offer of this router's partner.

        Raises InvalidAgreementError if this router can't sign, or if it knows another offer with the same
        revision or a higher one.
        """
        if self.signer is None:
            raise InvalidAgreementError("this router has no key to sign with", "partners.offer")
        known = self.ledger.offers.get(offer.partner)
        if known is not None and offer != known.offer and offer.revision <= known.offer.revision:
            raise InvalidAgreementError(
                f"turn {offer.revision}; {known.offer.revision} is already known, use a higher one",
                "partners.offer.turn",
            )
        self.own_offer = offer
        self.ledger.record_offer(*self.signer.sign_offer(offer))
        self.update(now)

    def give_notice(self, now: Time) -> None:
        """Give notice to the followed agreement for this router's partner, unless it was given before."""
        agreement = self.ownership.agreement()
        if agreement is None or self.signer is None:
            return
        if (agreement.number, self.partner) not in self.ledger.notices:
            self.ledger.record_notice(*self.signer.give_notice(agreement, now))
            self.update(now)

    # ---- exchange of ledgers -----------------------------------------------------------------------

    def receive(self, now: Time, sender: str, message: AgreementMessage) -> None:
        """Handle a message from another router."""
        match message:
            case LedgerDigest(digest):
                if digest != self.state_digest():
                    self.outbox.append((sender, self.ledger_entries(reply_wanted=True)))
            case LedgerEntries():
                self._merge(message)
                if message.reply_wanted and self.state_digest() != _digest_of(message):
                    self.outbox.append((sender, self.ledger_entries(reply_wanted=False)))
                self.update(now)

    def _merge(self, entries: LedgerEntries) -> None:
        ledger = self.ledger
        genuine = [
            *(ledger.record_offer(offer, signature) for offer, signature in entries.offers),
            *(ledger.record_signature(signature) for signature in entries.signatures),
            *(ledger.record_agreement(agreement) for agreement in entries.agreements),
            *(ledger.record_notice(notice, signature) for notice, signature in entries.notices),
            *(ledger.record_equivocation(first, second) for first, second in entries.equivocations),
        ]
        self.counts["entries_rejected"] += genuine.count(False)

    def ledger_entries(self, *, reply_wanted: bool) -> LedgerEntries:
        """Return the content of this router's ledger as a message, with its entries in a canonical order."""
        ledger = self.ledger
        signatures = [each for signed in ledger.signatures.values() for each in signed.values()]
        signatures.sort(key=lambda each: (each.number, each.partner, each.digest), reverse=True)
        return LedgerEntries(
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
        """Return the digest of this router's ledger."""
        return _digest_of(self.ledger_entries(reply_wanted=False))

    def tick(self, now: Time, live_routers: Iterable[str]) -> None:
        """Send the digest of the ledger once an interval, or at once when the ledger has changed."""
        others = sorted(set(live_routers) & self.partner_of.keys() - {self.router})
        digest = self.state_digest()
        changed = digest != self.last_digest
        self.last_digest = digest
        if others and (changed or now - self.last_exchange_at >= EXCHANGE_INTERVAL):
            self.last_exchange_at = now
            for name in self._select_targets(others, TARGETS_ON_CHANGE if changed else 1):
                self.outbox.append((name, LedgerDigest(digest)))
        if changed:
            self.update(now)
        self.ownership.update_owners(now)

    def _select_targets(self, routers: list[str], count: int) -> list[str]:
        """Return `count` of the routers, chosen pseudo-randomly by the seed, anew at each call."""
        self.rounds += 1
        return sorted(routers, key=lambda name: crc32(f"{self.seed}:{self.rounds}:{name}".encode()))[:count]

    # ---- proposals and signatures ------------------------------------------------------------------

    def update(self, now: Time) -> None:
        """After a change: propose and sign agreements where possible, and derive the owners of slots."""
        if self.signer is not None:
            self._propose(now, self.signer)
            self._sign_pending(self.signer)
        self.ownership.update_owners(now)

    def offers(self) -> list[Offer]:
        """Return the latest offer of each partner that has made one."""
        return [offer for offer, _ in self.ledger.offers.values()]

    def _propose(self, now: Time, signer: AgreementSigner) -> None:
        """Propose the agreement that follows from all offers, if its terms are new.

        Only the first partner by name proposes.
        """
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
        existing = [known for known in (latest, *signed) if known is not None]
        if proposal.ends_at <= now or any(_is_redundant(proposal, known, latest) for known in existing):
            return
        ledger.record_agreement(proposal)

    def _next_number(self, signer: AgreementSigner) -> int:
        """Return one more than the highest number that is known to be signed or accepted."""
        latest = self.ledger.latest()
        numbers = [each.number for signed in self.ledger.signatures.values() for each in signed.values()]
        return 1 + max([*numbers, *signer.signed, latest.number if latest is not None else 0])

    def _sign_pending(self, signer: AgreementSigner) -> None:
        """Sign each agreement that is equal to the one derived from the offers known here."""
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
        """Take over this partner's signatures that other routers know, in case its journal is an old copy."""
        for signed in self.ledger.signatures.values():
            if self.partner in signed:
                signature = signed[self.partner]
                signer.signed.setdefault(signature.number, signature.digest)

    def _require_derived(self, agreement: Agreement, latest_number: int) -> None:
        """Raise InvalidAgreementError unless the agreement follows from what this router knows."""
        number = agreement.number
        predecessor = self.ledger.fully_signed.get(agreement.predecessor)
        unknown = agreement.predecessor != 0 and predecessor is None
        if agreement.predecessor < latest_number or unknown:
            raise InvalidAgreementError(
                f"agreement {number} has predecessor {agreement.predecessor}, not the latest one known here"
            )
        if agreement != derive_agreement(self.offers(), number, predecessor):
            raise InvalidAgreementError(f"agreement {number} does not follow from the offers known here")


def _digest_of(entries: LedgerEntries) -> bytes:
    return tagged_digest(DIGEST_TAG, msgspec.structs.replace(entries, reply_wanted=False))


def _is_redundant(proposal: Agreement, known: Agreement, latest: Agreement | None) -> bool:
    """Return whether `known`, an accepted or pending agreement, already has the terms of the proposal."""
    pending = latest is None or known.number > latest.number
    return same_terms(proposal, known) and (not pending or known.predecessor == proposal.predecessor)
