"""Signatures of partners on offers, agreements and notices: the signed bytes, and Ed25519 operations.

Imported only where partners are configured, because it needs the library `cryptography`. agreement_signer.py
decides what is signed, and agreement_ledger.py what follows from a signature.
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

DIGEST_BYTES = 32  # BLAKE2b
SIGNATURE_BYTES = 64  # Ed25519

Sign = Callable[[bytes], bytes]
Verify = Callable[[str, bytes, bytes], bool]  # arguments: partner, signed bytes, signature

Signable = Offer | Agreement | TerminationNotice
_encoder = msgspec.msgpack.Encoder(order="sorted")


class SignedKind(Enum):
    """The kind of content that is signed. The values are part of the signed bytes and must never change."""

    OFFER = b"Offer"
    AGREEMENT = b"Text"
    NOTICE = b"Notice"


class Signature(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's signature on an agreement, on an offer, or on its notice.

    `number` is the number of the agreement, or the revision of the offer. `digest` is the digest of the
    signed content, and `value` the signature's 64 bytes.
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
    """The proof that a partner signed two agreements with the same number."""

    first: Signature
    second: Signature


def kind_of(content: Signable) -> SignedKind:
    """Return the kind under which a value is signed."""
    match content:
        case Offer():
            return SignedKind.OFFER
        case Agreement():
            return SignedKind.AGREEMENT
        case TerminationNotice():
            return SignedKind.NOTICE


def content_digest(content: Signable) -> bytes:
    """Return the digest of a value's kind and all its fields, the same at every router."""
    return tagged_digest(kind_of(content).value, content)


def tagged_digest(tag: bytes, content: msgspec.Struct) -> bytes:
    """Return the digest of a tag followed by the canonical encoding of a value."""
    return blake2b(tag + _encoder.encode(content), digest_size=DIGEST_BYTES).digest()


def signed_bytes(kind: SignedKind, number: int, digest: bytes) -> bytes:
    """Return the bytes that are signed.

    They include the kind and the number, so that a signature can't be presented as one of another kind or
    number, for example in a false proof of equivocation.
    """
    return b"%s %d " % (kind.value, number) + digest


def ed25519_signer(private_key: bytes) -> Sign:
    """Return a function that signs with a private key of 32 bytes."""
    return Ed25519PrivateKey.from_private_bytes(private_key).sign


def ed25519_verifier(public_keys: Mapping[str, bytes]) -> Verify:
    """Return a function that verifies partners' signatures; `public_keys` has 32 bytes for each partner."""
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
