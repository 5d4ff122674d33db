"""Signatures of partners on offers, agreements and notices: what exactly is signed, and Ed25519 itself.

Uses the library `cryptography`, so it is imported only where partners are configured. Decides neither what is
signed (agreement_signer.py) nor what a signature is good for (agreement_ledger.py).
"""

from collections.abc import Callable, Mapping
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from hillchute.partners.agreements import Agreement, TerminationNotice
from hillchute.partners.offers import Offer

DIGEST_BYTES = 32  # of BLAKE2b
SIGNATURE_BYTES = 64  # of Ed25519

Sign = Callable[[bytes], bytes]
Verify = Callable[[str, bytes, bytes], bool]  # partner, signed bytes, signature

Signable = Offer | Agreement | TerminationNotice
_encoder = msgspec.msgpack.Encoder(order="sorted")


class SignedKind(Enum):
    """What a signature is on. The values are part of what is signed: they never change."""

    OFFER = b"Offer"
    AGREEMENT = b"Text"
    NOTICE = b"Notice"


class Signature(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's signature on an agreement, on an offer, or on its notice.

    `number` is the agreement's, or the offer's revision; `digest` that of the content; `value` the 64 bytes.
    """

    partner: str
    number: int
    digest: bytes
    value: bytes


class SignedOffer(NamedTuple):
    """An offer with its partner's signature."""

    offer: Offer
    signature: Signature


class SignedNotice(NamedTuple):
    """A notice with its partner's signature."""

    notice: TerminationNotice
    signature: Signature


class Equivocation(NamedTuple):
    """The proof that a partner signed two agreements of one number."""

    first: Signature
    second: Signature


def kind_of(content: Signable) -> SignedKind:
    """The kind under which a value is signed."""
    match content:
        case Offer():
            return SignedKind.OFFER
        case Agreement():
            return SignedKind.AGREEMENT
        case TerminationNotice():
            return SignedKind.NOTICE


def content_digest(content: Signable) -> bytes:
    """The digest of a value's kind and all its fields, the same at every router."""
    return tagged_digest(kind_of(content).value, content)


def tagged_digest(tag: bytes, content: msgspec.Struct) -> bytes:
    """The digest of a tag and of a value in one canonical encoding."""
    return blake2b(tag + _encoder.encode(content), digest_size=DIGEST_BYTES).digest()


def signed_bytes(kind: SignedKind, number: int, digest: bytes) -> bytes:
    """The bytes that are signed.

    They name the kind and the number, so that no signature can be shown as one of another kind or number, for
    example as the proof of an equivocation.
    """
    return b"%s %d " % (kind.value, number) + digest


def ed25519_signer(private_key: bytes) -> Sign:
    """A function that signs with the 32 bytes of a private key."""
    return Ed25519PrivateKey.from_private_bytes(private_key).sign


def ed25519_verifier(public_keys: Mapping[str, bytes]) -> Verify:
    """A function that verifies partners' signatures by the 32 bytes of each public key."""
    known = {partner: Ed25519PublicKey.from_public_bytes(key) for partner, key in public_keys.items()}

    def verify(partner: str, content: bytes, signature: bytes) -> bool:
        if partner not in known:
            return False
        try:
            known[partner].verify(signature, content)
        except InvalidSignature:
            return False
        return True

    return verify
