"""Codec of the messages between partners' routers, with bounds on each field.

Performs no I/O. Messages with a field out of bounds are rejected, because a partner's router is not trusted.
"""

from hillchute.decision.interface import Time
from hillchute.history.retention import MAX_TEXT
from hillchute.partners.agreement_ledger import MAX_SIGNED_AGREEMENTS
from hillchute.partners.agreements import MAX_PARTNERS, TerminationNotice, invalid_agreement_field
from hillchute.partners.messages import (
    ForwardAccepted,
    ForwardCancel,
    ForwardOutcome,
    ForwardQuery,
    ForwardResult,
    ForwardResultAck,
    LedgerDigest,
    LedgerEntries,
    Message,
)
from hillchute.partners.offers import MAX_COUNTER, MAX_NAME_LENGTH, invalid_offer_field
from hillchute.partners.signatures import DIGEST_BYTES, SIGNATURE_BYTES, Signature
from hillchute.peers.messages import MessageCodec

MAX_NUMBER = 1 << 62  # exclusive bound of numbers, incarnations and times; fits in a signed 64-bit integer
MAX_TIME_LEFT: Time = 864_000_000  # one day
MAX_SIGNATURES = MAX_PARTNERS * MAX_SIGNED_AGREEMENTS  # in one message; the same limit applies to agreements
MAX_NOTICES = MAX_PARTNERS * 4  # in one message: a partner has one for each of the few agreements kept


def invalid_message_field(message: Message) -> str:
    """Return the name of the first field that is out of bounds; "" for a valid message."""
    match message:
        case LedgerDigest(digest):
            return "" if len(digest) == DIGEST_BYTES else "digest"
        case LedgerEntries():
            return _invalid_entries_field(message)
        case ForwardQuery():
            return _invalid_query_field(message) or _invalid_number(message.number, message.incarnation)
        case ForwardResult():
            return _invalid_result_field(message) or _invalid_number(message.number, message.incarnation)
        case ForwardAccepted() | ForwardResultAck() | ForwardCancel():
            return _invalid_number(message.number, message.incarnation)


def _invalid_number(number: int, incarnation: int) -> str:
    return "" if 0 <= number < MAX_NUMBER and 0 <= incarnation < MAX_NUMBER else "number"


def _invalid_query_field(query: ForwardQuery) -> str:
    if not (0 < len(query.query_id) <= MAX_TEXT and 0 < len(query.group) <= MAX_TEXT):
        return "query_id"
    if max(len(query.idempotency_key or ""), len(query.ordering_key or ""), len(query.customer)) > MAX_TEXT:
        return "idempotency_key"
    if not 0 <= (query.cost or 0) <= MAX_NUMBER or not 0 <= query.memory <= MAX_NUMBER:
        return "cost"
    if not 0 <= query.time_left <= MAX_TIME_LEFT:
        return "time_left"
    return ""


def _invalid_result_field(result: ForwardResult) -> str:
    known_outcome = isinstance(result.outcome, ForwardOutcome)
    return "" if known_outcome and len(result.reason) <= 4 * MAX_TEXT else "outcome"


def _invalid_entries_field(message: LedgerEntries) -> str:
    sizes = (
        (len(message.offers), MAX_PARTNERS),
        (len(message.agreements), MAX_SIGNATURES),
        (len(message.signatures), MAX_SIGNATURES),
        (len(message.notices), MAX_NOTICES),
        (len(message.equivocations), MAX_PARTNERS),
    )
    if any(size > limit for size, limit in sizes):
        return "too many"
    signatures = [
        *message.signatures,
        *(signed.signature for signed in message.offers),
        *(signed.signature for signed in message.notices),
        *(signature for proof in message.equivocations for signature in proof),
    ]
    if not all(map(_is_valid_signature, signatures)):
        return "signatures"
    if any(invalid_offer_field(signed.offer) for signed in message.offers):
        return "offers"
    if any(invalid_agreement_field(agreement) for agreement in message.agreements):
        return "agreements"
    if not all(_is_valid_notice(signed.notice) for signed in message.notices):
        return "notices"
    return ""


def _is_valid_signature(signature: Signature) -> bool:
    return (
        len(signature.digest) == DIGEST_BYTES
        and len(signature.value) == SIGNATURE_BYTES
        and 0 < len(signature.partner) <= MAX_NAME_LENGTH
        and 0 <= signature.number < MAX_COUNTER
    )


def _is_valid_notice(notice: TerminationNotice) -> bool:
    return (
        0 < len(notice.partner) <= MAX_NAME_LENGTH
        and 0 <= notice.agreement_number < MAX_NUMBER
        and 0 <= notice.effective_at < MAX_NUMBER
    )


codec = MessageCodec("partners", Message, invalid_message_field)
encode = codec.encode
decode = codec.decode
encoder = codec.encoder
