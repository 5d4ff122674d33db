"""Codec of the datagrams between two routers: layout, bounds, authentication tag and replay window.

Performs no I/O, reads no clock and does not interpret payloads.

    version:1  tag:16  body       the body is MessagePack; the tag is keyed BLAKE2b over version and body

Each pair of routers shares a key of its own, so no third router can impersonate either of them to the other.
The body, which the tag covers, contains sender and receiver, so a datagram can be neither reflected nor sent
on to another router.
"""

import hashlib
import hmac
from collections.abc import Mapping
from enum import IntEnum, StrEnum

import msgspec

from hillchute.errors import InvalidDatagramError

VERSION = 1
TAG_BYTES = 16
HEADER_BYTES = 1 + TAG_BYTES  # version and tag
BLAKE2B_MAX_KEY_BYTES = 64
MAX_DATAGRAM_BYTES = 1200  # below usual MTUs: with IP fragmentation one lost fragment loses all
MAX_FRAME_BYTES = 65_535  # of a datagram on a stream, after a length prefix of two bytes
MAX_RUMOURS = 24  # in a datagram
MAX_NAME_CHARACTERS = 64
COUNTER_LIMIT = 1 << 63  # exclusive upper bound of every number in a datagram


class PeerState(IntEnum):
    """The state of a peer as a router knows it; the values are those on the wire."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class DatagramKind(IntEnum):
    """The kind of a datagram; the values are those on the wire."""

    PING = 0
    PING_ACK = 1
    INDIRECT_PING = 2  # requests that the receiver ping `subject`
    INDIRECT_PING_ACK = 3  # `subject` has acknowledged the requested ping
    PAYLOAD = 4
    STATE_REQUEST = 5  # requests the receiver's full state
    HISTORY_FRAGMENT = 6
    PARTNERS_FRAGMENT = 7


KINDS_WITH_SUBJECT = frozenset({DatagramKind.INDIRECT_PING, DatagramKind.INDIRECT_PING_ACK})


class DropReason(StrEnum):
    """Why a datagram is dropped; the log counts drops under these values."""

    TOO_LONG = "too long"
    TOO_SHORT = "too short"
    UNKNOWN_VERSION = "unknown version"
    UNREADABLE = "unreadable"
    UNKNOWN_PEER = "unknown peer"
    WRONG_TAG = "wrong tag"
    OTHER_RECEIVER = "other receiver"
    TO_EARLIER_GENERATION = "to earlier generation"
    # The wall clock was set back before this start: the peers know a higher generation than the present one.
    TO_LATER_GENERATION = "to later generation"
    FROM_EARLIER_GENERATION = "from earlier generation"
    REPLAYED = "replayed"


class Rumour(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A witness's statement on a router's state, spread by gossip; on the wire an array in this order."""

    name: str
    state: int  # a PeerState; bounded by invalid_field() once the tag is verified
    incarnation: int
    witness: str  # the router that observed it; the router itself if it is alive or leaves


class Datagram(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One datagram; on the wire an array of these fields in this order.

    A router's generation is the time of its start in Unix milliseconds. It distinguishes a restarted router
    from the previous process.
    """

    sender: str
    receiver: str
    generation: int  # of the sender
    receiver_generation: int  # the latest known to the sender; 0 if none
    sequence: int  # increases with each datagram of a generation to a receiver
    kind: int  # a DatagramKind; bounded by invalid_field() once the tag is verified
    ping_number: int  # of the ping that this datagram belongs to
    subject: str = ""  # the router to ping, or the one that acknowledged
    rumours: tuple[Rumour, ...] = ()
    payload: bytes = b""  # opaque bytes of another subsystem


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Datagram)


def authentication_tag(key: bytes, body: bytes) -> bytes:
    """The tag of this body under `key`."""
    version = bytes([VERSION])
    return hashlib.blake2b(version + body, digest_size=TAG_BYTES, key=key[:BLAKE2B_MAX_KEY_BYTES]).digest()


def encode(datagram: Datagram, key: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
    """The encoded datagram; raises ValueError for one that no receiver would accept."""
    body = encoder.encode(datagram)
    if field := invalid_field(datagram):
        raise ValueError(field)
    if HEADER_BYTES + len(body) > max_bytes:
        raise ValueError(f"{HEADER_BYTES + len(body)} bytes, {max_bytes} at most")
    return bytes([VERSION]) + authentication_tag(key, body) + body


def decode(
    data: bytes, receiver: str, keys: Mapping[str, bytes], max_bytes: int = MAX_DATAGRAM_BYTES
) -> Datagram:
    """The datagram, verified with the key of its sender; raises InvalidDatagramError for an invalid one."""
    datagram = _decode_verified(data, keys, max_bytes)
    if datagram.receiver != receiver:
        raise InvalidDatagramError(DropReason.OTHER_RECEIVER, datagram.sender)
    if field := invalid_field(datagram):
        raise InvalidDatagramError(f"field {field}", datagram.sender)
    return datagram


def _decode_verified(data: bytes, keys: Mapping[str, bytes], max_bytes: int) -> Datagram:
    if len(data) > max_bytes:
        raise InvalidDatagramError(DropReason.TOO_LONG)
    if len(data) <= HEADER_BYTES:
        raise InvalidDatagramError(DropReason.TOO_SHORT)
    if data[0] != VERSION:
        raise InvalidDatagramError(DropReason.UNKNOWN_VERSION)
    tag = data[1:HEADER_BYTES]
    body = data[HEADER_BYTES:]
    try:
        datagram = decoder.decode(body)
    except msgspec.DecodeError as error:
        raise InvalidDatagramError(DropReason.UNREADABLE) from error
    key = keys.get(datagram.sender)
    if key is None:
        raise InvalidDatagramError(DropReason.UNKNOWN_PEER)
    if not hmac.compare_digest(tag, authentication_tag(key, body)):
        raise InvalidDatagramError(DropReason.WRONG_TAG, datagram.sender)
    return datagram


def invalid_field(datagram: Datagram) -> str:
    """The name of the first field that is out of bounds, or "": even an authentic peer may send any value."""
    for name in ("generation", "receiver_generation", "sequence", "ping_number"):
        if not 0 <= getattr(datagram, name) < COUNTER_LIMIT:
            return name
    if not DatagramKind.PING <= datagram.kind <= DatagramKind.PARTNERS_FRAGMENT:
        return "kind"
    if datagram.kind in KINDS_WITH_SUBJECT and not datagram.subject:
        return "subject"
    if len(datagram.rumours) > MAX_RUMOURS or not all(map(rumour_in_bounds, datagram.rumours)):
        return "rumours"
    if max(len(datagram.sender), len(datagram.subject)) > MAX_NAME_CHARACTERS:
        return "sender"
    return ""


def rumour_in_bounds(rumour: Rumour) -> bool:
    """Whether all fields of a rumour are within their bounds."""
    return (
        PeerState.ALIVE <= rumour.state <= PeerState.LEFT
        and 0 <= rumour.incarnation < COUNTER_LIMIT
        and 0 < len(rumour.name) <= MAX_NAME_CHARACTERS
        and len(rumour.witness) <= MAX_NAME_CHARACTERS
    )


class ReplayWindow:
    """The datagrams accepted from one peer: each is accepted once, in any order.

    Guards against datagrams that the network duplicates or an attacker replays, also to a router that has
    restarted since and has lost its window: only datagrams to the receiver's present generation are accepted.
    """

    SPAN = 64  # sequence numbers below the highest that are still accepted

    def __init__(self) -> None:
        self.generation = 0  # of the peer: the latest one accepted
        self.highest_sequence = -1
        self.accepted_bits = 0  # bit n is set if highest_sequence - n was accepted
        self.latest_unaccepted_generation = 0

    @property
    def known_generation(self) -> int:
        """The value to send as `receiver_generation`; with it the peer accepts the datagram and learns our
        generation."""
        return max(self.generation, self.latest_unaccepted_generation)

    def accept(self, datagram: Datagram, own_generation: int) -> bool:
        """Whether the datagram is accepted. False: its sender does not know this router's generation yet and
        needs an answer first. Raises InvalidDatagramError for a datagram from or to an earlier generation, or
        to a later one, and for a repeated one.
        """
        if datagram.receiver_generation != own_generation:
            self.latest_unaccepted_generation = max(self.latest_unaccepted_generation, datagram.generation)
            if datagram.receiver_generation > own_generation:
                raise InvalidDatagramError(DropReason.TO_LATER_GENERATION, datagram.sender)
            if datagram.receiver_generation:
                raise InvalidDatagramError(DropReason.TO_EARLIER_GENERATION, datagram.sender)
            return False
        if datagram.generation < self.generation:
            raise InvalidDatagramError(DropReason.FROM_EARLIER_GENERATION, datagram.sender)
        if datagram.generation > self.generation:
            self.generation = datagram.generation
            self.highest_sequence = -1
            self.accepted_bits = 0
        self._accept_sequence(datagram)
        return True

    def _accept_sequence(self, datagram: Datagram) -> None:
        behind = self.highest_sequence - datagram.sequence
        if behind >= self.SPAN or (behind >= 0 and self.accepted_bits >> behind & 1):
            raise InvalidDatagramError(DropReason.REPLAYED, datagram.sender)
        if behind >= 0:
            self.accepted_bits |= 1 << behind
            return
        shifted = self.accepted_bits << min(-behind, self.SPAN)
        self.accepted_bits = (shifted | 1) & ((1 << self.SPAN) - 1)
        self.highest_sequence = datagram.sequence
