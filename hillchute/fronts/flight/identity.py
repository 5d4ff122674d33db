"""Who a call comes from: basic and bearer authentication by the users of the operator file.

Owns the users' secrets and the tokens given out at a handshake. Must never do I/O after the start, and never
say which half of a name and password was wrong.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping, Sequence
from pathlib import Path

ANYBODY = "-"  # the owner of what is handed out where no users are set
SPAN = 36_000_000  # an hour: how long a token that was given out at a handshake is good


class Refused(Exception):
    """The call names nobody that may come in."""


def secret(user: Mapping[str, str], kind: str) -> str | None:
    """A user's password or token, from the file or from the file that it names."""
    if kind in user:
        return user[kind]
    if f"{kind}_file" in user:
        return Path(user[f"{kind}_file"]).read_text(encoding="utf-8").strip()
    return None


class Gate:
    """Tells the owner of a call by its `authorization` header."""

    def __init__(self, users: Sequence[Mapping[str, str]], key: bytes) -> None:
        self.key = key
        self.passwords = {u["name"]: s for u in users if (s := secret(u, "password")) is not None}
        self.tokens = {s: u["name"] for u in users if (s := secret(u, "token")) is not None}
        self.open = not users

    def owner(self, now: int, header: str | None) -> str:
        """The user's name; raises Refused."""
        if self.open:
            return ANYBODY
        kind, _, value = (header or "").partition(" ")
        match kind.lower():
            case "basic":
                return self.basic(value)
            case "bearer":
                return self.bearer(now, value)
        raise Refused("authentication is needed: basic or bearer")

    def basic(self, value: str) -> str:
        try:
            name, sign, password = base64.b64decode(value, validate=True).decode().partition(":")
        except (binascii.Error, UnicodeDecodeError):
            raise Refused("malformed basic authentication") from None
        if not sign:
            raise Refused("malformed basic authentication")
        return self.password(name, password)

    def password(self, name: str, password: str) -> str:
        known = self.passwords.get(name, "")
        same = hmac.compare_digest(known.encode(), password.encode())
        if not same or name not in self.passwords:
            raise Refused("wrong user or password")
        return name

    def bearer(self, now: int, value: str) -> str:
        for token, name in self.tokens.items():
            if hmac.compare_digest(token.encode(), value.encode()):
                return name
        name, _, rest = value.rpartition(".")
        name, _, until = name.rpartition(".")
        if until.isdigit() and hmac.compare_digest(value, self.sign(name, int(until))) and int(until) > now:
            return name
        raise Refused("wrong or expired token")

    def give(self, now: int, name: str) -> str:
        """A token for the hour to come, told by itself: nothing is kept of it."""
        return self.sign(name, now + SPAN)

    def sign(self, name: str, until: int) -> str:
        text = f"{name}.{until}"
        return f"{text}.{hmac.new(self.key, text.encode(), hashlib.sha256).hexdigest()}"
