"""Tickets and prepared statements: what was handed out, to whom, until when.

Owns both tables and their bounds. Must never do I/O nor look at a clock. Guards against tickets that are made
up, used twice, kept too long, or used by another client than the one that was given them.
"""

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

from hillchute.decision.interface import Time

Held = TypeVar("Held")
NUMBER, PROOF = 8, 16  # bytes of a ticket: which one, and that it is ours


class NotHeld(Exception):
    """Why a ticket or a handle is no good; the text is the client's to see."""


class Full(Exception):
    """No more can be held: the oldest are still good."""


@dataclass(slots=True)
class Entry(Generic[Held]):
    held: Held
    owner: str
    until: Time


class Table(Generic[Held]):
    """Things handed out under numbers with a proof, the oldest first. `most` at once, each for `span`."""

    def __init__(self, secret: bytes, most: int, span: Time | None) -> None:
        self.secret, self.most, self.span = secret, most, span
        self.entries: OrderedDict[int, Entry[Held]] = OrderedDict()
        self.count = 0

    def put(self, now: Time, owner: str, held: Held) -> bytes:
        """The token under which it is held; raises Full."""
        self.expire(now)
        if len(self.entries) >= self.most:
            raise Full(f"{self.most} are held already")
        self.count += 1
        until = now + self.span if self.span is not None else 2**63
        self.entries[self.count] = Entry(held, owner, until)
        return self.token(self.count)

    def token(self, number: int) -> bytes:
        text = number.to_bytes(NUMBER, "big")
        return text + hmac.new(self.secret, text, hashlib.sha256).digest()[:PROOF]

    def get(self, now: Time, owner: str, token: bytes) -> Held:
        """What is held under a token; raises NotHeld."""
        return self.entries[self.find(now, owner, token)].held

    def take(self, now: Time, owner: str, token: bytes) -> Held:
        """The same, once: the token is used up."""
        return self.entries.pop(self.find(now, owner, token)).held

    def find(self, now: Time, owner: str, token: bytes) -> int:
        number = int.from_bytes(token[:NUMBER], "big")
        if not hmac.compare_digest(token, self.token(number & (1 << 8 * NUMBER) - 1)):
            raise NotHeld("not one that was given out here")
        entry = self.entries.get(number)
        if entry is None or entry.until <= now:
            raise NotHeld("used already, closed, or too old")
        if entry.owner != owner:
            raise NotHeld("given to another client")
        return number

    def expire(self, now: Time) -> None:
        while self.entries:
            number, entry = next(iter(self.entries.items()))
            if entry.until > now:
                return
            del self.entries[number]
