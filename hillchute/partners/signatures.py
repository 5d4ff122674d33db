"""Ed25519 marks of partners, by the library `cryptography`.

Owns nothing but the two calls. Must never be imported where partners are off.
"""

from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from hillchute.partners.agreement_ledger import Check, Sign


def signer(key: bytes) -> Sign:
    """From the 32 bytes of a private key."""
    return Ed25519PrivateKey.from_private_bytes(key).sign


def checker(keys: Mapping[str, bytes]) -> Check:
    """From each partner's 32 bytes of a public key."""
    known = {name: Ed25519PublicKey.from_public_bytes(key) for name, key in keys.items()}

    def check(partner: str, sealed: bytes, mark: bytes) -> bool:
        if partner not in known:
            return False
        try:
            known[partner].verify(mark, sealed)
        except InvalidSignature:
            return False
        return True

    return check
