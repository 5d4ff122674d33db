"""Messages about the history to bytes and back, each field bounded.

Owns the bounds. It does no I/O and believes nothing; the signature that says who sent a message is the peers'
own (peers/datagrams.py).
"""

from collections.abc import Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.messages import Message, SlotPart, TaggedMessage
from hillchute.history.records import Record, RecordState
from hillchute.history.retention import MAX_TEXT, RetentionPolicies, first_invalid_field
from hillchute.history.slot_placement import SLOTS
from hillchute.peers.messages import MessageCodec

MAX_ROUTER_NAME = 64  # characters
MAX_MEMBERS = 4096
MAX_INTEGER = 1 << 62
MAX_DURATION: Time = 864_000_000  # a day
MAX_COUNT = 1 << 40
MAX_PARTS = 4096  # messages that a slot's records go in
BOUNDS = {
    "slot": SLOTS - 1,
    "time_left": MAX_DURATION,
    "timeout": MAX_DURATION,
    "attempt": MAX_COUNT,
    "sequence": MAX_COUNT,
    "decision": max(decision.value for decision in ClaimDecision),
    "state": max(RecordState),
}  # by field name, of whichever message; other integers are bounded by MAX_INTEGER


def first_out_of_bounds(message: object) -> str:
    """The name of a message's first field that is out of its bounds; "" for a sound message. Guards against
    a peer that may sign whatever it likes."""
    if not isinstance(message, TaggedMessage):
        return "type"
    if field := _first_field_out_of_bounds(message):
        return field
    if isinstance(message, SlotPart):
        if len(message.records) != len(message.ages):
            return "ages"
        return "" if message.part < message.parts <= MAX_PARTS else "part"
    return ""


def first_record_field_out_of_bounds(record: Record) -> str:
    """The same of a record alone, as it is read from a stored file."""
    return _first_field_out_of_bounds(record)


def _first_field_out_of_bounds(struct: msgspec.Struct) -> str:
    faults = (_check_field(name, getattr(struct, name)) for name in struct.__struct_fields__)
    return next(filter(None, faults), "")


def _check_field(name: str, value: object) -> str:
    """The name of the field, or of one inside its value, that is out of its bounds."""
    match value:
        case bool() | None | bytes():
            fits = True  # rows are bounded by the length of the whole message
        case int():
            fits = 0 <= value <= BOUNDS.get(name, MAX_INTEGER)
        case str():
            fits = len(value) <= MAX_TEXT
        case (int() as number, str() as router):  # a ViewId
            fits = 0 <= number < MAX_INTEGER and len(router) <= MAX_ROUTER_NAME
        case dict():
            fits = _are_members_in_bounds(value)
        case RetentionPolicies():
            return first_invalid_field(value)
        case tuple():
            return next(filter(None, (_check_field(name, each) for each in value)), "")
        case msgspec.Struct():  # a record, a view, a promise, a grant, a lease
            return _first_field_out_of_bounds(value)
        case _:
            raise TypeError(f"no message has a {type(value).__name__}")
    return "" if fits else name


def _are_members_in_bounds(members: Mapping[str, int]) -> bool:
    """Of a mapping of routers to incarnations."""
    if len(members) > MAX_MEMBERS:
        return False
    return all(
        0 < len(name) <= MAX_ROUTER_NAME and 0 <= incarnation < MAX_INTEGER
        for name, incarnation in members.items()
    )


codec = MessageCodec("history", Message, first_out_of_bounds)
encode = codec.encode
decode = codec.decode
encoder = codec.encoder
