"""What a Flight SQL client is told: gRPC status codes with their details; and a query's fields in headers.

Owns the table of codes (docs/flightsql.md states it) and the names of the headers. Must never decide how a
query ends, nor do I/O.
"""

from collections.abc import Iterable
from typing import NamedTuple

import grpc
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import Message
from google.rpc import error_details_pb2

from hillchute.protocol.status import DOMAIN, packed

HEADER = "x-hillchute-"  # ahead of a field's name: x-hillchute-route, x-hillchute-patience, ...
FIELDS = ("route", "trace", "patience", "nonce", "weight", "mb", "entity")
LONGEST_TEXT = 400  # bytes of a message

DEFERRED = (grpc.StatusCode.UNAVAILABLE, "DEFERRED")
KILLED = (grpc.StatusCode.ABORTED, "KILLED")
CUT = (grpc.StatusCode.DATA_LOSS, "CUT")
MISREAD = (grpc.StatusCode.INVALID_ARGUMENT, "MISREAD")
NO_ENTRY = (grpc.StatusCode.UNAUTHENTICATED, "NO_ENTRY")
NO_TICKET = (grpc.StatusCode.NOT_FOUND, "NO_TICKET")
FULL = (grpc.StatusCode.RESOURCE_EXHAUSTED, "FULL")
UNSPOKEN = (grpc.StatusCode.UNIMPLEMENTED, "UNSPOKEN")
CLOSING = (grpc.StatusCode.UNAVAILABLE, "CLOSING")


class Status(NamedTuple):
    """How a call ends where it does not end well."""

    code: grpc.StatusCode
    text: str
    details: bytes

    @classmethod
    def of(cls, kind: tuple[grpc.StatusCode, str], text: str, after: int | None = None) -> "Status":
        """`after`: milliseconds until trying again makes sense; None where it is not said to be harmless."""
        code, reason = kind
        text = text[:LONGEST_TEXT]
        details: list[Message] = [error_details_pb2.ErrorInfo(reason=reason, domain=DOMAIN)]
        if after is not None:
            wait = Duration(seconds=after // 1000, nanos=after % 1000 * 1_000_000)
            details.append(error_details_pb2.RetryInfo(retry_delay=wait))
        return cls(code, text, packed(code, text, details))


def fields(metadata: Iterable[tuple[str, str | bytes]]) -> dict[str, str]:
    """A query's fields out of a call's headers, by the names that the leading comment gives them."""
    return {
        name: value
        for key, value in metadata
        if key.startswith(HEADER) and (name := key[len(HEADER) :]) in FIELDS and isinstance(value, str)
    }
