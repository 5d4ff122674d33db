"""gRPC statuses with error details, which are carried in a call's trailers.

Encodes the details and reads the reason. Which status a query gets is decided in fronts/flight/answers.py.
"""

from collections.abc import Iterable

import grpc
from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message
from google.rpc import error_details_pb2, status_pb2

DETAILS_TRAILER = "grpc-status-details-bin"  # name of the trailer
ERROR_DOMAIN = "hillchute"  # of the ErrorInfo in statuses that hillchute and its engines send


def encode_status(code: grpc.StatusCode, text: str, details: Iterable[Message]) -> bytes:
    """The value of the trailer DETAILS_TRAILER for a status with these details."""
    status = status_pb2.Status(code=code.value[0], message=text)
    for detail in details:
        packed_detail = Any()
        packed_detail.Pack(detail)
        status.details.append(packed_detail)
    return status.SerializeToString()


def error_reason(trailers: Iterable[tuple[str, str | bytes]] | None) -> str | None:
    """The reason of the ErrorInfo with domain ERROR_DOMAIN in a call's trailers; None if there is none."""
    for name, value in trailers or ():
        if name != DETAILS_TRAILER:
            continue
        try:
            status = status_pb2.Status.FromString(value)
            info = error_details_pb2.ErrorInfo()
            for detail in status.details:
                if detail.Is(info.DESCRIPTOR) and detail.Unpack(info) and info.domain == ERROR_DOMAIN:
                    return info.reason
        except DecodeError:
            return None
    return None
