"""The typed messages between partners' routers: exchange of agreements, and forwarded queries.

Performs no I/O. Each class is one message; its `tag` and the order of its fields are part of the wire format.
Durations count from the time at which the message was made, so that no two routers' clocks are compared.
peers/datagrams.py authenticates the sending router; the signatures of partners are part of the messages.
"""

from enum import StrEnum

import msgspec

from hillchute.decision.interface import Time
from hillchute.partners.agreements import Agreement
from hillchute.partners.signatures import Equivocation, Signature, SignedNotice, SignedOffer


class ForwardOutcome(StrEnum):
    """How a forwarded query ended. The values are part of the wire format."""

    SERVED = "finished"
    REJECTED = "deferred"  # it did not run
    FAILED = "killed"  # it may have run


class PartnerMessage(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag_field="type"
):
    """Base class of the messages."""


class LedgerDigest(PartnerMessage, frozen=True, tag=1):
    """The digest of the sender's ledger; a receiver with another digest answers with LedgerEntries."""

    digest: bytes


class LedgerEntries(PartnerMessage, frozen=True, tag=2):
    """The content of the sender's ledger. `reply_wanted`: the sender asks for the receiver's in return."""

    offers: tuple[SignedOffer, ...]
    agreements: tuple[Agreement, ...]
    signatures: tuple[Signature, ...]
    notices: tuple[SignedNotice, ...]
    equivocations: tuple[Equivocation, ...]
    reply_wanted: bool


class ForwardQuery(PartnerMessage, frozen=True, tag=3):
    """A query for a router of its slot's owner.

    `number` and `incarnation` are the sender's. Only the receiver's incarnation `target_incarnation` accepts
    the query.
    """

    number: int
    incarnation: int
    target_incarnation: int
    query_id: str
    group: str
    statement: bytes
    idempotency_key: str | None
    cost: int | None
    memory: float  # MB
    ordering_key: str | None
    customer: str
    time_left: Time  # until the client's deadline


class ForwardAccepted(PartnerMessage, frozen=True, tag=4):
    """Confirms that the query arrived; it runs if it is granted."""

    number: int
    incarnation: int


class ForwardResult(PartnerMessage, frozen=True, tag=5):
    """The result of the query, retransmitted until a ForwardResultAck arrives."""

    number: int
    incarnation: int
    outcome: ForwardOutcome
    reason: str
    rows: bytes | None


class ForwardResultAck(PartnerMessage, frozen=True, tag=6):
    """Confirms that the result arrived."""

    number: int
    incarnation: int


class ForwardCancel(PartnerMessage, frozen=True, tag=7):
    """Tells the receiver that the sender no longer waits for the result."""

    number: int
    incarnation: int


AgreementMessage = LedgerDigest | LedgerEntries
ForwardingMessage = ForwardQuery | ForwardAccepted | ForwardResult | ForwardResultAck | ForwardCancel
Message = AgreementMessage | ForwardingMessage
