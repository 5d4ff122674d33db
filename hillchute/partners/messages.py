"""The typed messages between partners' routers: what is known of agreements, and forwarded queries.

Each class is one message; `tag` is its number on the wire and the order of fields that of the wire. No I/O
and no clock. Durations are as of when the message was made: no clock is compared with another's. That a
message is from the router it names is ensured by peers/datagrams.py; partners' signatures
are in the messages.
"""

from enum import StrEnum

import msgspec

from hillchute.decision.interface import Time
from hillchute.partners.agreements import Agreement
from hillchute.partners.signatures import Equivocation, Signature, SignedNotice, SignedOffer


class ForwardOutcome(StrEnum):
    """How a forwarded query ended; the values are those of the wire."""

    SERVED = "finished"
    REJECTED = "deferred"  # it did not run
    FAILED = "killed"  # it may have run


class PartnerMessage(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag_field="type"
):
    """Any of the messages."""


class KnowledgeDigest(PartnerMessage, frozen=True, tag=1):
    """The digest of all that the sender knows; a receiver with another digest answers with Knowledge."""

    digest: bytes


class Knowledge(PartnerMessage, frozen=True, tag=2):
    """All that the sender knows of agreements. `reply_wanted`: it asks for what it lacks."""

    offers: tuple[SignedOffer, ...]
    agreements: tuple[Agreement, ...]
    signatures: tuple[Signature, ...]
    notices: tuple[SignedNotice, ...]
    equivocations: tuple[Equivocation, ...]
    reply_wanted: bool


class ForwardQuery(PartnerMessage, frozen=True, tag=3):
    """A query for a router of its slot's owner.

    `number` and `incarnation` are the sender's; `target_incarnation` is the receiver's, which alone takes it.
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
    time_left: Time  # until the client must have its answer


class ForwardAccepted(PartnerMessage, frozen=True, tag=4):
    """The query arrived, and runs if it may."""

    number: int
    incarnation: int


class ForwardResult(PartnerMessage, frozen=True, tag=5):
    """How the query ended; sent again until ForwardResultAck comes."""

    number: int
    incarnation: int
    outcome: ForwardOutcome
    reason: str
    rows: bytes | None


class ForwardResultAck(PartnerMessage, frozen=True, tag=6):
    """The result arrived."""

    number: int
    incarnation: int


class ForwardCancel(PartnerMessage, frozen=True, tag=7):
    """Nobody waits for the result any more."""

    number: int
    incarnation: int


AgreementMessage = KnowledgeDigest | Knowledge
ForwardingMessage = ForwardQuery | ForwardAccepted | ForwardResult | ForwardResultAck | ForwardCancel
Message = AgreementMessage | ForwardingMessage
