"""The partner extension of a router: negotiation, forwarded queries, signature journal and the channel to
peers, configured by the operator file's `partners`.

Connects these, and logs statistics and errors. Imported only if the operator file has `partners`.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from hillchute.decision.interface import Time
from hillchute.errors import (
    HillchuteError,
    InvalidAgreementError,
    PartnerEquivocationError,
    SignatureJournalError,
)
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.codec import codec
from hillchute.partners.messages import AgreementMessage, Message
from hillchute.partners.negotiation import AgreementProtocol, PartnerMembership
from hillchute.partners.signature_journal import SignatureJournal, read_private_key
from hillchute.partners.signatures import Equivocation, ed25519_signer
from hillchute.peers.datagrams import DatagramKind
from hillchute.router.effects import CancelForward, ForwardQuery
from hillchute.router.integrations.forwarded_queries import ForwardedQueries
from hillchute.router.integrations.fragmented_channel import ExtensionContext, FragmentedChannel
from hillchute.router.integrations.interface import STATISTICS_INTERVAL
from hillchute.router.integrations.partner_settings import PartnerSettings


class PartnersReload(NamedTuple):
    """The reloaded section that was checked; implements `interface.PreparedReload`."""

    needs_restart: list[str]
    apply: Callable[[], None]


class PartnerExtension(FragmentedChannel[Message]):
    """The partner extension of one router."""

    def __init__(
        self,
        *,
        settings: Mapping[str, Any],
        context: ExtensionContext,
        seed: int,
        router_clock: Callable[[], Time],
    ) -> None:
        """`settings`: the operator file's `partners`. `seed`: for the negotiation's random choices.
        `router_clock`: the clock of the reducer's events. If the signature journal can't be read, that is
        logged and this router signs nothing.

        Raises OSError or ValueError if the private key can't be read.
        """
        node = context.node
        super().__init__(node, DatagramKind.PARTNERS_FRAGMENT, codec)
        self.context = context
        self.settings = PartnerSettings.from_operator_file(settings)
        self.signature_journal: SignatureJournal | None = None
        now = context.clock()
        membership = PartnerMembership(
            node.name, self.settings.own, self.settings.routers, self.settings.verifier
        )
        self.negotiation = AgreementProtocol(membership, seed, now, self._open_signer())
        self.forwarded_queries = ForwardedQueries(context=context, router_clock=router_clock)
        self.statistics_logged_at = now
        self.logged_errors: set[tuple[str, str]] = set()  # type and text of the errors that persist
        self._make_offer()

    def _open_signer(self) -> AgreementSigner | None:
        """The signer for the own partner, on the one router that signs; None on the others."""
        key_file = self.settings.key_file
        journal_file = self.settings.journal_file
        if key_file is None or journal_file is None:
            return None
        try:
            journal = SignatureJournal(journal_file)
        except SignatureJournalError as error:
            self.context.log.write("partners", **error.log_fields)
            return None
        self.signature_journal = journal
        sign = ed25519_signer(read_private_key(key_file))
        return AgreementSigner(self.settings.own, sign, journal.save, journal.signed)

    def _make_offer(self) -> None:
        """Makes the offer in the operator file, and gives notice if that is set; an invalid offer is
        logged."""
        if self.negotiation.signer is None:
            return
        now = self.context.clock()
        if self.settings.offer is not None:
            try:
                self.negotiation.make_offer(now, self.settings.offer)
            except InvalidAgreementError as error:
                self.context.log.write("partners", **error.log_fields)
        if self.settings.gives_notice:
            self.negotiation.give_notice(now)

    # ---- the reducer's queries ----------------------------------------------------------------------------

    def forward(self, effect: ForwardQuery) -> None:
        """Forwards a query to a router of the partner that owns its slot; the result is a ClaimDecided
        event."""
        self.forwarded_queries.forward(effect, self.negotiation.routers.get(effect.owner, frozenset()))

    def cancel(self, effect: CancelForward) -> None:
        """Cancels a forwarded query whose client has gone."""
        self.forwarded_queries.cancel(effect)

    # ---- the channel to peers -----------------------------------------------------------------------------

    def receive_message(self, now: Time, sender: str, message: Message) -> None:
        """Handles a message from another router, of the own or another partner."""
        if isinstance(message, AgreementMessage):
            self.negotiation.receive(now, sender, message)
        else:
            self.forwarded_queries.forwarder.receive(now, sender, message)
        self._deliver()

    def tick(self, now: Time, /) -> None:
        """Runs the periodic work of negotiation and forwarding, and logs statistics when due."""
        self.negotiation.tick(now, self.node.live_peers())
        self.forwarded_queries.forwarder.tick(now)
        self._deliver()
        if now - self.statistics_logged_at >= STATISTICS_INTERVAL:
            self.statistics_logged_at = now
            self.log_statistics(now)

    def take_messages(self) -> list[tuple[str, Message]]:
        """Removes and returns the messages to be sent, with their receivers."""
        forwarder = self.forwarded_queries.forwarder
        messages: list[tuple[str, Message]] = [*forwarder.outbox, *self.negotiation.outbox]
        forwarder.outbox = []
        self.negotiation.outbox = []
        return messages

    def _deliver(self) -> None:
        """Passes events on forwarded queries to the reducer and schedules messages."""
        self.forwarded_queries.deliver()
        if self.forwarded_queries.forwarder.outbox or self.negotiation.outbox:
            self.context.schedule_messages()

    # ---- log, reload --------------------------------------------------------------------------------------

    def log_statistics(self, now: Time) -> None:
        """Logs statistics on the agreement and forwarded queries, and errors that are new since the last
        call."""
        forwarder = self.forwarded_queries.forwarder
        ledger = self.negotiation.ledger
        ownership = self.negotiation.ownership
        agreement = ownership.agreement()
        self.context.log.write(
            "partners_count",
            agreement=ownership.agreement_number,
            announced_agreement=ownership.announced_number,
            latest_agreement=max(ledger.accepted, default=0),
            in_force=ownership.is_in_force(now),
            shares=ownership.effective_shares(now),
            departed=sorted(ledger.departed(agreement, now)) if agreement is not None else [],
            in_flight=len(forwarder.outgoing),
            **dict(forwarder.counts),
            **dict(self.negotiation.counts),
        )
        errors = self.present_errors()
        for error in errors:
            if (type(error).__name__, str(error)) not in self.logged_errors:
                self.context.log.write("partners", **error.log_fields)
        self.logged_errors = {(type(error).__name__, str(error)) for error in errors}

    def present_errors(self) -> list[HillchuteError]:
        """The errors that currently prevent an agreement, or compliance with it."""
        errors: list[HillchuteError] = []
        if self.negotiation.proposal_error is not None:
            errors.append(self.negotiation.proposal_error)
        errors += self.negotiation.signing_errors.values()
        errors += [
            PartnerEquivocationError(f"signed two agreements with number {proof.first.number}", partner)
            for partner, proof in self.equivocations()
        ]
        if self.signature_journal is not None and self.signature_journal.error is not None:
            errors.append(self.signature_journal.error)
        return errors

    def equivocations(self) -> list[tuple[str, Equivocation]]:
        """Partners that signed two agreements with one number, with the proofs."""
        return sorted(self.negotiation.ledger.equivocations.items())

    def prepare_reload(self, section: Mapping[str, Any]) -> PartnersReload:
        """Checks the reloaded `partners`. If one of its changes needs a restart, none is applied."""
        settings = PartnerSettings.from_operator_file(section)
        restart = self.settings.needs_restart(settings)
        verifier = settings.verifier

        def apply() -> None:
            if restart:
                return
            self.settings = settings
            self.negotiation.set_partners(settings.routers, verifier)
            self._make_offer()
            self.context.schedule_messages()

        return PartnersReload(restart, apply)
