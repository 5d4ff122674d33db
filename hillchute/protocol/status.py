"""gRPC's richer statuses: details packed into a call's trailers, and the reason read out of them.

Owns that form alone. Must never say which code a query's end gets: see fronts/flight/answers.py.
"""

from collections.abc import Iterable

import grpc
from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message
from google.rpc import error_details_pb2, status_pb2

DETAILS = "grpc-status-details-bin"
DOMAIN = "hillchute"


def packed(code: grpc.StatusCode, text: str, details: Iterable[Message]) -> bytes:
    """The value of the trailer DETAILS."""
    status = status_pb2.Status(code=code.value[0], message=text)
    for detail in details:
        wrapped = Any()
        wrapped.Pack(detail)
        status.details.append(wrapped)
    return status.SerializeToString()


def reason(trailers: Iterable[tuple[str, str | bytes]] | None) -> str | None:
    """The reason of the ErrorInfo in a call's trailers, if there is one that is ours."""
    for name, value in trailers or ():
        if name != DETAILS:
            continue
        try:
            status = status_pb2.Status.FromString(value)
            info = error_details_pb2.ErrorInfo()
            for detail in status.details:
                if detail.Is(info.DESCRIPTOR) and detail.Unpack(info) and info.domain == DOMAIN:
                    return info.reason
        except DecodeError:
            return None
    return None
