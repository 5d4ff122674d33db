"""Fragmentation of messages that are longer than a datagram, and reassembly from fragments in any order.

Defines the layout of a fragment and bounds the incomplete messages. Performs no I/O and does not interpret
messages.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError

DATAGRAM_FRAGMENT_BYTES = 900  # fits into a datagram with the longest names of sender and receiver
STREAM_FRAGMENT_BYTES = 60_000
MAX_FRAGMENTS = 256  # of one message
MAX_INCOMPLETE_MESSAGES = 64  # of one sender; the oldest is discarded
REASSEMBLY_TIMEOUT: Time = 100_000  # ten seconds: by then the sender has retransmitted the message


class Fragment(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One part of a message; on the wire an array of these fields in this order."""

    message_number: int  # increasing, per sender
    index: int  # from 0
    total: int  # fragments of the message
    data: bytes


fragment_encoder = msgspec.msgpack.Encoder()
fragment_decoder = msgspec.msgpack.Decoder(Fragment)


def split_message(message_number: int, message: bytes, fragment_bytes: int) -> Iterator[bytes]:
    """The encoded fragments of a message; raises ValueError if there are more than MAX_FRAGMENTS."""
    total = max(1, -(-len(message) // fragment_bytes))
    if total > MAX_FRAGMENTS:
        raise ValueError(f"{len(message)} bytes in {total} fragments, {MAX_FRAGMENTS} at most")
    for index in range(total):
        data = message[index * fragment_bytes : (index + 1) * fragment_bytes]
        yield fragment_encoder.encode(Fragment(message_number, index, total, data))


@dataclass(slots=True)
class IncompleteMessage:
    """A message with fragments that have not arrived yet."""

    started_at: Time  # when its first fragment arrived
    data_by_index: dict[int, bytes] = field(default_factory=dict)


class Reassembler:
    """The incomplete messages of all senders, bounded in number and age."""

    def __init__(self) -> None:
        self.incomplete: dict[str, dict[int, IncompleteMessage]] = {}  # by sender and message number

    def add(self, now: Time, sender: str, data: bytes) -> bytes | None:
        """The message that this fragment completes, or None; raises InvalidDatagramError for an invalid
        one."""
        fragment = decode_fragment(data, sender)
        if fragment.total == 1:
            return fragment.data
        messages = self.incomplete.setdefault(sender, {})
        discard_expired(messages, now)
        if fragment.message_number not in messages and len(messages) >= MAX_INCOMPLETE_MESSAGES:
            del messages[min(messages)]
        message = messages.setdefault(fragment.message_number, IncompleteMessage(now))
        message.data_by_index[fragment.index] = fragment.data
        if len(message.data_by_index) < fragment.total:
            return None
        del messages[fragment.message_number]
        return b"".join(message.data_by_index[index] for index in sorted(message.data_by_index))


def decode_fragment(data: bytes, sender: str) -> Fragment:
    """The decoded fragment; raises InvalidDatagramError if it is unreadable or a field is out of bounds."""
    try:
        fragment = fragment_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidDatagramError("piece: unreadable", sender) from error
    in_bounds = 0 <= fragment.index < fragment.total <= MAX_FRAGMENTS
    if not in_bounds or len(fragment.data) > STREAM_FRAGMENT_BYTES:
        raise InvalidDatagramError("piece: out of bounds", sender)
    return fragment


def discard_expired(messages: dict[int, IncompleteMessage], now: Time) -> None:
    """Removes the messages of one sender that are older than REASSEMBLY_TIMEOUT."""
    for number in [n for n, message in messages.items() if now - message.started_at > REASSEMBLY_TIMEOUT]:
        del messages[number]
