"""One datagram between two routers: typed values to bytes and back, with a mark that only the two can make.

Owns the layout, its bounds and the mark. Must never do I/O, look at a clock, or know what a message is for.

    version:1  mark:16  body       the body is MessagePack; the mark is keyed BLAKE2b over version and body

The two routers of a pair share a key of their own, so no third can speak as either to the other. Sender and
receiver stand in the body, under the mark: a datagram can't be turned round or handed on as new.
"""

import hashlib
import hmac
from collections.abc import Mapping

import msgspec

from hillchute.errors import InvalidDatagramError

VERSION = 1
MARK = 16  # bytes of the mark
MOST = 1200  # bytes of a datagram: passes every path whole, where one in parts is lost with any part
MOST_ON_STREAM = 65_535  # bytes of one on a stream, where nothing is lost in parts
RUMOURS = 24  # rumours in a datagram at the most
NAME = 64  # characters of a name at the most


class Rumour(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What somebody believes of a router. `state`: 0 alive, 1 suspected, 2 dead, 3 left."""

    name: str
    state: int
    incarnation: int
    witness: str  # who saw it: the router itself, where it says that it lives or leaves


class Datagram(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """`kind`: 0 ping, 1 answer to it, 2 ping asked for through another, 3 word that it was answered, 4 a load
    alone, 5 a wish for all that the receiver can tell, 6 a piece of a message of the history, 7 one of the
    partners'."""

    sender: str
    receiver: str
    born: int  # when the sender started, Unix milliseconds: tells its lives apart
    heard: int  # `born` of the receiver as the sender last heard it; 0 if never
    sequence: int  # rises with each datagram of one life to one receiver
    kind: int
    number: int  # of the ping that this belongs to
    about: str = ""  # whom the asked ping goes to, or who answered it
    rumours: tuple[Rumour, ...] = ()
    load: bytes = b""  # what other packages put in


WHOLE = 1 << 63
encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Datagram)


def marked(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(bytes([VERSION]) + body, digest_size=MARK, key=key[:64]).digest()


def encode(datagram: Datagram, key: bytes, most: int = MOST) -> bytes:
    """The bytes; raises ValueError for what no receiver would take."""
    body = encoder.encode(datagram)
    fault = unfit(datagram)
    if fault or 1 + MARK + len(body) > most:
        raise ValueError(fault or f"{1 + MARK + len(body)} bytes, {most} at most")
    return bytes([VERSION]) + marked(key, body) + body


def decode(data: bytes, receiver: str, keys: Mapping[str, bytes], most: int = MOST) -> Datagram:
    """The datagram, whose mark is that of its sender's pair with this receiver.
    Raises InvalidDatagramError."""
    if len(data) > most:
        raise InvalidDatagramError("too long")
    if len(data) <= 1 + MARK:
        raise InvalidDatagramError("too short")
    if data[0] != VERSION:
        raise InvalidDatagramError("version")
    mark, body = data[1 : 1 + MARK], data[1 + MARK :]
    try:
        datagram = decoder.decode(body)
    except msgspec.DecodeError:  # of one that may well be nobody's: the reason helps no one
        raise InvalidDatagramError("unreadable") from None
    key = keys.get(datagram.sender)
    if key is None:
        raise InvalidDatagramError("unknown peer")
    if not hmac.compare_digest(mark, marked(key, body)):
        raise InvalidDatagramError("mark", datagram.sender)
    if datagram.receiver != receiver:
        raise InvalidDatagramError("another's", datagram.sender)
    if fault := unfit(datagram):
        raise InvalidDatagramError(f"field {fault}", datagram.sender)
    return datagram


def unfit(datagram: Datagram) -> str:
    """The first field that is out of its bounds. Guards against a peer that may mark what it likes."""
    for name in ("born", "heard", "sequence", "number"):
        if not 0 <= getattr(datagram, name) < WHOLE:
            return name
    if not 0 <= datagram.kind <= 7:
        return "kind"
    if datagram.kind in (2, 3) and not datagram.about:
        return "about"
    if len(datagram.rumours) > RUMOURS:
        return "rumours"
    for rumour in datagram.rumours:
        if not 0 <= rumour.state <= 3 or not 0 <= rumour.incarnation < WHOLE:
            return "rumours"
        if max(len(rumour.name), len(rumour.witness)) > NAME or not rumour.name:
            return "rumours"
    return "sender" if len(datagram.sender) > NAME or len(datagram.about) > NAME else ""


# A life's number is the time of its start: after a restart with the clock set back it is below that of the
# life before, and the others believe nothing of this one.
CLOCK_BEHIND = "to a later life of this router"


class Window:
    """What has come of one peer: which life of it, which numbers. Each datagram counts once, in any order.

    Guards against datagrams that the network, or somebody on it, sends again, also to a router that has
    restarted since and forgot what came: only one that was sent to this life of the receiver is believed."""

    SPAN = 64  # numbers behind the highest that may still come

    def __init__(self) -> None:
        self.born, self.highest, self.seen = 0, -1, 0
        self.hint = 0  # the latest life of it that anything came from, believed or not

    @property
    def heard(self) -> int:
        """What goes back as `heard`: that life then knows ours, and what it sends next is believed."""
        return max(self.born, self.hint)

    def take(self, datagram: Datagram, own: int) -> bool:
        """Whether it may be believed; if not, it is from one that has not heard of this life of ours, and
        does once it is answered. Raises InvalidDatagramError for what an earlier life sent or got, or
        a repeat."""
        if datagram.heard != own:
            self.hint = max(self.hint, datagram.born)
            if datagram.heard > own:
                raise InvalidDatagramError(CLOCK_BEHIND, datagram.sender)
            if datagram.heard:
                raise InvalidDatagramError("to an earlier life", datagram.sender)
            return False
        if datagram.born < self.born:
            raise InvalidDatagramError("of an earlier life", datagram.sender)
        if datagram.born > self.born:
            self.born, self.highest, self.seen = datagram.born, -1, 0
        behind = self.highest - datagram.sequence
        if behind >= self.SPAN or behind >= 0 and self.seen >> behind & 1:
            raise InvalidDatagramError("repeat", datagram.sender)
        if behind < 0:
            self.seen = (self.seen << min(-behind, self.SPAN) | 1) & (1 << self.SPAN) - 1
            self.highest = datagram.sequence
        else:
            self.seen |= 1 << behind
        return True
