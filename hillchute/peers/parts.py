"""Messages longer than a datagram: cut into pieces, and put together again from pieces in any order.

Owns the pieces' layout and the bounds on what is not whole yet. Must never do I/O or look into a message.
"""

from collections.abc import Iterator

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError

PIECE = 900  # bytes that fit into a datagram, whatever the names of its sender and receiver
LARGE = 60_000  # bytes of a piece on a stream
MOST_PIECES = 256
MOST_OPEN = 64  # messages of one sender that are not whole: the oldest goes
OPEN_FOR: Time = 100_000  # ten seconds: by then it was sent again


class Piece(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    number: int  # of the message, by its sender
    part: int
    parts: int
    data: bytes


encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Piece)


def cut(number: int, message: bytes, size: int) -> Iterator[bytes]:
    parts = max(1, -(-len(message) // size))
    if parts > MOST_PIECES:
        raise ValueError(f"{len(message)} bytes in {parts} pieces, {MOST_PIECES} at most")
    for part in range(parts):
        yield encoder.encode(Piece(number, part, parts, message[part * size : (part + 1) * size]))


class Joiner:
    """All messages that are not whole yet, by sender."""

    def __init__(self) -> None:
        self.open: dict[str, dict[int, tuple[Time, dict[int, bytes]]]] = {}

    def take(self, now: Time, sender: str, data: bytes) -> bytes | None:
        """The message, once its last piece is there. Raises InvalidDatagramError for what is no piece."""
        try:
            piece = decoder.decode(data)
        except msgspec.DecodeError:
            raise InvalidDatagramError("piece: unreadable", sender) from None
        if not 0 <= piece.part < piece.parts <= MOST_PIECES or len(piece.data) > LARGE:
            raise InvalidDatagramError("piece: out of bounds", sender)
        if piece.parts == 1:
            return piece.data
        mine = self.open.setdefault(sender, {})
        for number in [n for n, (since, _) in mine.items() if now - since > OPEN_FOR]:
            del mine[number]
        if piece.number not in mine and len(mine) >= MOST_OPEN:
            del mine[min(mine)]
        _, have = mine.setdefault(piece.number, (now, {}))
        have[piece.part] = piece.data
        if len(have) < piece.parts:
            return None
        del mine[piece.number]
        return b"".join(have[part] for part in sorted(have))
