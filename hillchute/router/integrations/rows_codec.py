"""Results as bytes, as the answer history keeps them and partners' routers send them."""

import msgspec

from hillchute.engines.words import Rows

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Rows)


def encode_rows(rows: Rows) -> bytes:
    """The bytes of a complete result."""
    return _encoder.encode(rows)


def decode_rows(data: bytes) -> Rows:
    """The result that `encode_rows` was given; raises msgspec.DecodeError for other bytes."""
    return _decoder.decode(data)
