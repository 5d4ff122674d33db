"""Codec of the typed messages that subsystems of two routers exchange.

Independent of the message types: each subsystem supplies its types and the bounds of their fields. Performs
no I/O.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from hillchute.errors import InvalidDatagramError

MAX_MESSAGE_BYTES = 8 << 20


class MessageCodec:
    """Encodes the messages of one subsystem as MessagePack."""

    def __init__(self, subsystem: str, message_types: Any, invalid_field: Callable[[Any], str]) -> None:
        """`message_types` is the union of all messages; `subsystem` names them in reasons and in the log.

        `invalid_field` returns the name of the first field of a message that is out of bounds, or "".
        """
        self.subsystem = subsystem
        self.invalid_field = invalid_field
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(message_types)

    def encode(self, message: object) -> bytes:
        """The encoded message; raises ValueError for one that no receiver would accept."""
        if field := self.invalid_field(message):
            raise ValueError(field)
        data = self.encoder.encode(message)
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"{len(data)} bytes, {MAX_MESSAGE_BYTES} at most")
        return data

    def decode(self, data: bytes, sender: str) -> Any:
        """The decoded message; raises InvalidDatagramError, with the field if one is out of bounds."""
        if len(data) > MAX_MESSAGE_BYTES:
            raise InvalidDatagramError(f"{self.subsystem}: too long", sender)
        try:
            message = self.decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidDatagramError(f"{self.subsystem}: {error}", sender) from error
        if field := self.invalid_field(message):
            raise InvalidDatagramError(f"{self.subsystem}: {field}", sender)
        return message
