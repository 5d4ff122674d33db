"""Typed messages of riders to bytes and back, each field bounded by whoever owns the message.

Owns the order of checks. Must never know a message.
"""

from collections.abc import Callable

import msgspec

from hillchute.errors import InvalidDatagramError

MOST = 8 << 20  # bytes of one message


class Codec:
    def __init__(self, whose: str, message: object, unfit: Callable[[object], str]) -> None:
        """`message`: the union of all; `unfit` names the first field of one that is out of its bounds."""
        self.whose, self.unfit = whose, unfit
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(message)

    def encode(self, message: object) -> bytes:
        """The bytes; raises ValueError for what no receiver would take."""
        if fault := self.unfit(message):
            raise ValueError(fault)
        data = self.encoder.encode(message)
        if len(data) > MOST:
            raise ValueError(f"{len(data)} bytes, {MOST} at most")
        return data

    def decode(self, data: bytes, sender: str) -> object:
        """Raises InvalidDatagramError with the field that is out of its bounds."""
        if len(data) > MOST:
            raise InvalidDatagramError(f"{self.whose}: too long", sender)
        try:
            message = self.decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as fault:
            raise InvalidDatagramError(f"{self.whose}: {fault}", sender) from None
        if fault := self.unfit(message):
            raise InvalidDatagramError(f"{self.whose}: {fault}", sender)
        return message
