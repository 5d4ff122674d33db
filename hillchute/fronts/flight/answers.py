"""The gRPC statuses that Flight SQL clients receive, and the headers that carry a query's fields.

Owns the status codes with their reasons, documented in docs/flightsql.md, and the names of the headers.
Performs no I/O.
"""

from collections.abc import Iterable
from typing import NamedTuple

import grpc
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import Message
from google.rpc import error_details_pb2

from hillchute.protocol.status import ERROR_DOMAIN, encode_status

HEADER_PREFIX = "x-hillchute-"  # prefix of a field's name: x-hillchute-route, x-hillchute-patience, ...
FIELD_NAMES = ("route", "trace", "patience", "nonce", "weight", "mb", "entity")
MAX_TEXT_LENGTH = 400  # characters of a message

DEFERRED = (grpc.StatusCode.UNAVAILABLE, "DEFERRED")
KILLED = (grpc.StatusCode.ABORTED, "KILLED")
CUT = (grpc.StatusCode.DATA_LOSS, "CUT")
MISREAD = (grpc.StatusCode.INVALID_ARGUMENT, "MISREAD")
NO_ENTRY = (grpc.StatusCode.UNAUTHENTICATED, "NO_ENTRY")
NO_TICKET = (grpc.StatusCode.NOT_FOUND, "NO_TICKET")
FULL = (grpc.StatusCode.RESOURCE_EXHAUSTED, "FULL")
UNSPOKEN = (grpc.StatusCode.UNIMPLEMENTED, "UNSPOKEN")
INTERNAL = (grpc.StatusCode.INTERNAL, "INTERNAL")
CLOSING = (grpc.StatusCode.UNAVAILABLE, "CLOSING")


class Status(NamedTuple):
    """The status of a call that does not succeed."""

    code: grpc.StatusCode
    text: str
    details: bytes

    @classmethod
    def of(cls, kind: tuple[grpc.StatusCode, str], text: str, retry_after_ms: int | None = None) -> "Status":
        """`retry_after_ms`: milliseconds until a retry makes sense; None if a retry may not be safe."""
        code, reason = kind
        text = text[:MAX_TEXT_LENGTH]
        details: list[Message] = [error_details_pb2.ErrorInfo(reason=reason, domain=ERROR_DOMAIN)]
        if retry_after_ms is not None:
            retry_delay = Duration(seconds=retry_after_ms // 1000, nanos=retry_after_ms % 1000 * 1_000_000)
            details.append(error_details_pb2.RetryInfo(retry_delay=retry_delay))
        return cls(code, text, encode_status(code, text, details))


def query_fields(metadata: Iterable[tuple[str, str | bytes]]) -> dict[str, str]:
    """A query's fields from a call's headers, under the names that the leading comment uses for them."""
    return {
        name: value
        for key, value in metadata
        if key.startswith(HEADER_PREFIX)
        and (name := key[len(HEADER_PREFIX) :]) in FIELD_NAMES
        and isinstance(value, str)
    }
