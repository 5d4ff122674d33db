"""Encoding of results for the answer history and for forwarded queries."""

import msgspec

from hillchute.engines.words import Rows

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Rows)


def encode_rows(rows: Rows) -> bytes:
    """The encoded bytes of a complete result."""
    return _encoder.encode(rows)


def decode_rows(data: bytes) -> Rows:
    """The inverse of `encode_rows`; raises msgspec.DecodeError for invalid bytes."""
    return _decoder.decode(data)
