"""Codec of the event bus: watch events of the endpoint list, as JSON in the configuration and as frames.

Performs no I/O and does not store the endpoint list.

A frame is a header, `length:4 offset:8 kind:1` in network byte order, and `length - 9` bytes of payload:
whole endpoint records.
"""

import math
import struct
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from hillchute.decision.interface import EndpointEntry, EndpointState
from hillchute.errors import EventBusProtocolError
from hillchute.net.address import parse_address

FRAME_HEADER = struct.Struct(">IQB")  # length, offset of the event, kind
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")  # engine, IPv4, port, state, zone, kind, cell, weight, start
SUBSCRIPTION = struct.Struct(">Q")  # offset of the last event that the subscriber has

HEADER_BYTES_IN_LENGTH = FRAME_HEADER.size - 4  # the length field does not count itself
# 100,000 records of 27 bytes, more than any fleet has; bounds the buffer for a frame with a wrong length.
MAX_PAYLOAD_BYTES = 27 * 100_000

WEIGHT_PER_UNIT = 1000  # a record has its weight in thousandths
TICKS_PER_MILLISECOND = 10  # `Time` counts tenths of a millisecond, the event bus milliseconds

MAX_OFFSET = (1 << 64) - 1  # eight bytes in a frame
MAX_ENGINE_NUMBER = (1 << 32) - 1  # four bytes in a record
ENGINE_NAME_PREFIX = "s-"
ENGINE_STATES = (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)  # by number in a record


class WatchEventKind(StrEnum):
    """What a watch event contains; the values are the names used in decisions and the log."""

    KEEPALIVE = "Nothing"
    SNAPSHOT = "Complete"
    DELTA = "Partial"


KINDS_BY_CODE = (WatchEventKind.KEEPALIVE, WatchEventKind.SNAPSHOT, WatchEventKind.DELTA)


class Endpoint(NamedTuple):
    """One engine: its entry for the scheduler, and the address at which it listens."""

    entry: EndpointEntry
    host: str
    port: int


class WatchEvent(NamedTuple):
    """One event of the watch: all endpoints (snapshot), those that changed (delta) or none (keepalive).

    Offsets increase with each change of the endpoint list.
    """

    offset: int
    kind: WatchEventKind
    endpoints: tuple[Endpoint, ...]


def encode_subscription(last_offset: int) -> bytes:
    """The request for all events after `last_offset`; 0 requests the list from the beginning."""
    return SUBSCRIPTION.pack(last_offset)


def engine_name(engine: int) -> str:
    """An engine's name in the deployment."""
    return f"{ENGINE_NAME_PREFIX}{engine:08x}"


class WatchEventDecoder:
    """Decodes watch events from a byte stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[WatchEvent]:
        """The events that `data` completes; raises EventBusProtocolError for an invalid frame."""
        self._buffer += data
        while (event := self._next_event()) is not None:
            yield event

    def _next_event(self) -> WatchEvent | None:
        if len(self._buffer) < FRAME_HEADER.size:
            return None
        length, offset, kind = FRAME_HEADER.unpack_from(self._buffer)
        payload_bytes = length - HEADER_BYTES_IN_LENGTH
        in_bounds = 0 <= payload_bytes <= MAX_PAYLOAD_BYTES and kind < len(KINDS_BY_CODE)
        if not in_bounds or payload_bytes % ENDPOINT_RECORD.size:
            raise EventBusProtocolError(f"invalid frame of kind {kind} and length {length}")
        frame_bytes = FRAME_HEADER.size + payload_bytes
        if len(self._buffer) < frame_bytes:
            return None
        payload = bytes(self._buffer[FRAME_HEADER.size : frame_bytes])
        del self._buffer[:frame_bytes]
        endpoints = tuple(_endpoint_of_record(record) for record in ENDPOINT_RECORD.iter_unpack(payload))
        return WatchEvent(offset, KINDS_BY_CODE[kind], endpoints)


def _endpoint_of_record(record: tuple[Any, ...]) -> Endpoint:
    """An endpoint from the unpacked fields of an ENDPOINT_RECORD."""
    engine, host, port, state, zone, kind, cell, weight, started = record
    if state >= len(ENGINE_STATES):
        raise EventBusProtocolError(f"engine {engine_name(engine)} in unknown state {state}")
    entry = EndpointEntry(
        engine=engine,
        kind=kind,
        cell=cell,
        zone=zone,
        started=started * TICKS_PER_MILLISECOND,
        state=ENGINE_STATES[state],
        weight=weight / WEIGHT_PER_UNIT,
    )
    return Endpoint(entry, ".".join(str(octet) for octet in host), port)


def initial_watch_events(
    known: Mapping[str, Any], zones: Iterable[str], kinds: Iterable[str]
) -> Iterator[WatchEvent]:
    """The events in the configuration's JSON; `zones` and `kinds` are the names that the numbers stand for.

    Raises KeyError, TypeError, ValueError or AttributeError, whose text states what is wrong with the JSON.
    """
    zone_names = list(zones)
    kind_names = list(kinds)
    for event in known["batch"]:
        topology = event["topology"]
        endpoints = tuple(
            _endpoint_of_json(endpoint, zone_names, kind_names) for endpoint in topology["endpoints"]
        )
        kind = WatchEventKind.SNAPSHOT if topology.get("snapshot") else WatchEventKind.DELTA
        offset = int(event["offset"])
        if not 0 <= offset <= MAX_OFFSET:
            raise ValueError(f"offset {offset}: expected 0 to {MAX_OFFSET}")
        yield WatchEvent(offset, kind, endpoints)


def _endpoint_of_json(endpoint: Mapping[str, Any], zones: Sequence[str], kinds: Sequence[str]) -> Endpoint:
    host, port = parse_address(endpoint["address"])
    name = endpoint["name"]
    if not name.startswith(ENGINE_NAME_PREFIX) or endpoint["status"] not in ENGINE_STATES:
        raise ValueError(f"engine {name} in state {endpoint['status']}: invalid name or state")
    entry = EndpointEntry(
        engine=int(name.removeprefix(ENGINE_NAME_PREFIX), 16),
        kind=_index_or_first(kinds, endpoint.get("type")),
        cell=int(endpoint.get("group") or 0),
        zone=_index_or_first(zones, endpoint.get("zone")),
        started=int(endpoint.get("since_ms") or 0) * TICKS_PER_MILLISECOND,
        state=EndpointState(endpoint["status"]),
        weight=float(endpoint.get("weight", 1.0)),
    )
    if not 0 <= entry.engine <= MAX_ENGINE_NUMBER or not 0 <= entry.weight < math.inf:
        raise ValueError(f"engine {name} of weight {entry.weight}: number or weight out of range")
    return Endpoint(entry, host, port)


def _index_or_first(names: Sequence[str], name: str | None) -> int:
    """The index of a name; 0 for an unknown or missing one."""
    return names.index(name) if name in names else 0
