"""Authenticates calls: basic and bearer authentication for the users of the operator file.

Holds the users' secrets and issues tokens at a handshake. Performs no I/O except when it is created. An error
never tells whether the name or the password was wrong.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping, Sequence
from pathlib import Path

ANONYMOUS = "-"  # owner of tickets and prepared statements if no users are configured
# Validity of a token that is issued at a handshake: 1 h, in tenths of a millisecond.
TOKEN_LIFETIME = 36_000_000


class AuthenticationError(Exception):
    """The call has no valid credentials; the text is sent to the client."""


def read_secret(user: Mapping[str, str], kind: str) -> str | None:
    """A user's password or token, from the operator file or from the file that it names; None if not set."""
    if kind in user:
        return user[kind]
    if f"{kind}_file" in user:
        return Path(user[f"{kind}_file"]).read_text(encoding="utf-8").strip()
    return None


class Authenticator:
    """Identifies the user of a call by its `authorization` header."""

    def __init__(self, users: Sequence[Mapping[str, str]], key: bytes) -> None:
        self.key = key
        self.passwords = {u["name"]: s for u in users if (s := read_secret(u, "password")) is not None}
        self.tokens = {s: u["name"] for u in users if (s := read_secret(u, "token")) is not None}
        self.allows_anonymous = not users

    def authenticate(self, now: int, header: str | None) -> str:
        """The name of the call's user, ANONYMOUS if none are configured; raises AuthenticationError."""
        if self.allows_anonymous:
            return ANONYMOUS
        kind, _, value = (header or "").partition(" ")
        match kind.lower():
            case "basic":
                return self.check_basic(value)
            case "bearer":
                return self.check_bearer(now, value)
        raise AuthenticationError("authentication is needed: basic or bearer")

    def check_basic(self, value: str) -> str:
        try:
            name, separator, password = base64.b64decode(value, validate=True).decode().partition(":")
        except (binascii.Error, UnicodeDecodeError):
            raise AuthenticationError("malformed basic authentication") from None
        if not separator:
            raise AuthenticationError("malformed basic authentication")
        return self.check_password(name, password)

    def check_password(self, name: str, password: str) -> str:
        known = self.passwords.get(name, "")
        matches = hmac.compare_digest(known.encode(), password.encode())
        if not matches or name not in self.passwords:
            raise AuthenticationError("wrong user or password")
        return name

    def check_bearer(self, now: int, value: str) -> str:
        for token, name in self.tokens.items():
            if hmac.compare_digest(token.encode(), value.encode()):
                return name
        name, _, rest = value.rpartition(".")
        name, _, expires_at = name.rpartition(".")
        if (
            expires_at.isdigit()
            and hmac.compare_digest(value, self.sign_token(name, int(expires_at)))
            and int(expires_at) > now
        ):
            return name
        raise AuthenticationError("wrong or expired token")

    def issue_token(self, now: int, name: str) -> str:
        """A token that is valid for TOKEN_LIFETIME; it is verified by its signature, so none is stored."""
        return self.sign_token(name, now + TOKEN_LIFETIME)

    def sign_token(self, name: str, expires_at: int) -> str:
        text = f"{name}.{expires_at}"
        return f"{text}.{hmac.new(self.key, text.encode(), hashlib.sha256).hexdigest()}"
