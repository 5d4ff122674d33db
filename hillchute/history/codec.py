"""Encodes and decodes the messages of the history and checks the bounds of every field.

Performs no I/O. Senders are authenticated by peers/datagrams.py.
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
MAX_DURATION: Time = 864_000_000  # one day
MAX_COUNT = 1 << 40
MAX_PARTS = 4096  # messages in which the records of one slot are sent
# Upper bounds by field name, in any message; other integers are bounded by MAX_INTEGER.
BOUNDS = {
    "slot": SLOTS - 1,
    "time_left": MAX_DURATION,
    "timeout": MAX_DURATION,
    "attempt": MAX_COUNT,
    "sequence": MAX_COUNT,
    "decision": max(decision.value for decision in ClaimDecision),
    "state": max(RecordState),
}


def first_out_of_bounds(message: object) -> str:
    """Returns the name of a message's first field that is out of bounds; "" for a valid message.

    A peer with a valid key may still send arbitrary values.
    """
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
    """Returns the name of the first field out of bounds of a record read from a stored file; "" if valid."""
    return _first_field_out_of_bounds(record)


def _first_field_out_of_bounds(struct: msgspec.Struct) -> str:
    invalid = (_check_field(name, getattr(struct, name)) for name in struct.__struct_fields__)
    return next(filter(None, invalid), "")


def _check_field(name: str, value: object) -> str:
    """Returns the name of the field, or of one nested in its value, that is out of bounds; "" if none is."""
    match value:
        case bool() | None | bytes():
            fits = True  # the length of rows is bounded by that of the whole message
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
        case msgspec.Struct():  # a record, view, promise, grant or lease
            return _first_field_out_of_bounds(value)
        case _:
            raise TypeError(f"unsupported field type {type(value).__name__}")
    return "" if fits else name


def _are_members_in_bounds(members: Mapping[str, int]) -> bool:
    """Whether a mapping of routers to incarnations is within its bounds."""
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
