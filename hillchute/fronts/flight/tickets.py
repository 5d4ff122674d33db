"""A bounded table of values that clients refer to by tokens: tickets and handles of prepared statements.

Rejects tokens that are forged, already used, expired, or issued to another user. Performs no I/O and reads no
clock.
"""

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

from hillchute.decision.interface import Time

Value = TypeVar("Value")
MAX_BYTES = 4 << 20  # of the statements that one table holds
NUMBER_BYTES, MAC_BYTES = 8, 16  # bytes of a token: its number, and a truncated HMAC of it


class InvalidTokenError(Exception):
    """A token is not valid; the text is sent to the client."""


class LimitReachedError(Exception):
    """A limit on open entries or calls is reached; the text is sent to the client."""


@dataclass(slots=True)
class Entry(Generic[Value]):
    value: Value
    owner: str
    expires_at: Time
    size: int


class TokenTable(Generic[Value]):
    """Up to `max_entries` entries, oldest first; they expire after `lifetime`, or never if it is None.

    The sizes of all entries together are MAX_BYTES at most.
    """

    def __init__(self, secret: bytes, max_entries: int, lifetime: Time | None) -> None:
        self.secret, self.max_entries, self.lifetime = secret, max_entries, lifetime
        self.held_bytes = 0
        self.entries: OrderedDict[int, Entry[Value]] = OrderedDict()
        self.last_number = 0

    def put(self, now: Time, owner: str, value: Value, size: int = 0) -> bytes:
        """Stores a value of `size` bytes and returns its token; raises LimitReachedError."""
        self.expire(now)
        if len(self.entries) >= self.max_entries:
            raise LimitReachedError(f"{self.max_entries} are held already")
        self._hold(size)
        self.last_number += 1
        expires_at = now + self.lifetime if self.lifetime is not None else 2**63
        self.entries[self.last_number] = Entry(value, owner, expires_at, size)
        return self.token(self.last_number)

    def token(self, number: int) -> bytes:
        number_bytes = number.to_bytes(NUMBER_BYTES, "big")
        return number_bytes + hmac.new(self.secret, number_bytes, hashlib.sha256).digest()[:MAC_BYTES]

    def get(self, now: Time, owner: str, token: bytes) -> Value:
        """The value of a token; raises InvalidTokenError."""
        return self.entries[self.find(now, owner, token)].value

    def take(self, now: Time, owner: str, token: bytes) -> Value:
        """Removes a token and returns its value; raises InvalidTokenError."""
        return self._remove(self.find(now, owner, token)).value

    def replace(self, now: Time, owner: str, token: bytes, value: Value, size: int) -> None:
        """Replaces the value of a token; raises InvalidTokenError or LimitReachedError."""
        entry = self.entries[self.find(now, owner, token)]
        self._hold(size - entry.size)
        entry.value, entry.size = value, size

    def find(self, now: Time, owner: str, token: bytes) -> int:
        """The number of the entry of a token; raises InvalidTokenError."""
        number = int.from_bytes(token[:NUMBER_BYTES], "big")
        if not hmac.compare_digest(token, self.token(number & (1 << 8 * NUMBER_BYTES) - 1)):
            raise InvalidTokenError("not one that was given out here")
        entry = self.entries.get(number)
        if entry is None or entry.expires_at <= now:
            raise InvalidTokenError("used already, closed, or too old")
        if entry.owner != owner:
            raise InvalidTokenError("given to another client")
        return number

    def expire(self, now: Time) -> None:
        while self.entries:
            number, entry = next(iter(self.entries.items()))
            if entry.expires_at > now:
                return
            self._remove(number)

    def _hold(self, size: int) -> None:
        """Counts so many bytes more; raises LimitReachedError."""
        if self.held_bytes + size > MAX_BYTES:
            raise LimitReachedError(f"those that are held have {self.held_bytes} bytes already")
        self.held_bytes += size

    def _remove(self, number: int) -> Entry[Value]:
        entry = self.entries.pop(number)
        self.held_bytes -= entry.size
        return entry
