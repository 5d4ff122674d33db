"""The event bus: changes of the list of sql engines, as JSON at the start and as frames afterwards.

Owns the two forms and gives both as the same value. Must never do I/O, nor keep a list of its own.
"""

import struct
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from hillchute.decision.interface import EndpointState, Listing
from hillchute.errors import EventBusProtocolError

LONGEST_FRAME = 27 * 100_000  # bytes; no fleet is larger, and an endless length must not fill the memory
FRAME = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
STATES = (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)
HEAD = FRAME.size - 4  # what the length counts beside the payload


class Entry(NamedTuple):
    """One engine: what the decisions need of it, and where it listens."""

    listing: Listing
    host: str
    port: int


class Update(NamedTuple):
    number: int
    mode: str  # Complete, Partial or Nothing
    entries: tuple[Entry, ...]


def subscribe(last: int) -> bytes:
    return struct.pack(">Q", last)


def engine_name(number: int) -> str:
    return f"s-{number:08x}"


class Decoder:
    """Updates out of bytes that come in pieces."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Update]:
        self.buffer += data
        while (news := self.next_update()) is not None:
            yield news

    def next_update(self) -> Update | None:
        if len(self.buffer) < FRAME.size:
            return None
        length, number, kind = FRAME.unpack_from(self.buffer)
        size = length - HEAD
        if not 0 <= size <= LONGEST_FRAME or kind > 2 or size % RECORD.size:
            raise EventBusProtocolError(f"a frame of kind {kind} and length {length}")
        if len(self.buffer) < FRAME.size + size:
            return None
        payload = bytes(self.buffer[FRAME.size : FRAME.size + size])
        del self.buffer[: FRAME.size + size]
        mode = ("Nothing", "Complete", "Partial")[kind]
        return Update(number, mode, tuple(entry(fields) for fields in RECORD.iter_unpack(payload)))


def entry(fields: tuple) -> Entry:
    engine, host, port, state, zone, kind, cell, weight, started = fields
    if state >= len(STATES):
        raise EventBusProtocolError(f"engine {engine_name(engine)} in state {state}")
    listing = Listing(engine, kind, cell, zone, started * 10, STATES[state], weight / 1000)
    return Entry(listing, ".".join(str(part) for part in host), port)


def from_json(known: Mapping[str, object], zones: Iterable[str], kinds: Iterable[str]) -> Iterator[Update]:
    """The events told at the start; a KeyError, TypeError or ValueError says what is wrong with them."""
    zones, kinds = list(zones), list(kinds)
    for event in known["batch"]:
        topology = event["topology"]
        entries = []
        for item in topology["endpoints"]:
            host, _, port = item["address"].rpartition(":")
            if not item["name"].startswith("s-") or item["status"] not in STATES:
                raise ValueError(f"engine {item['name']} in state {item['status']}")
            listing = Listing(
                engine=int(item["name"][2:], 16),
                kind=kinds.index(item["type"]) if item.get("type") in kinds else 0,
                cell=int(item.get("group") or 0),
                zone=zones.index(item["zone"]) if item.get("zone") in zones else 0,
                started=int(item.get("since_ms") or 0) * 10,
                state=item["status"],
                nominal=float(item.get("weight", 1.0)),
            )
            entries.append(Entry(listing, host, int(port)))
        mode = "Complete" if topology.get("snapshot") else "Partial"
        yield Update(int(event["offset"]), mode, tuple(entries))
