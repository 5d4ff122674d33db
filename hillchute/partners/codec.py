"""What routers say to each other of agreements, and of queries that are passed on: typed values to bytes and
back, each field bounded.

Owns the messages, their layout and bounds. Must never do I/O, look at a clock, or believe anything: the mark
that says which router spoke is the peers' own (datagrams.py), the marks of partners are in the messages.

Ages and ends are durations, as of when the message was made: no clock is compared with another's.
"""

from typing import get_args

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.retention import MAX_TEXT
from hillchute.partners.agreement import NAME, PARTNERS, TEXTS, Mark, Notice, Offer, Text, unfit, unfit_offer
from hillchute.peers.messages import MessageCodec

WHOLE = 1 << 62
DAY: Time = 864_000_000
SEAL, SIGNED = 32, 64  # bytes of a digest, and of a mark on it
MARKS = PARTNERS * TEXTS
NOTICES = PARTNERS * 4


class Said(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag_field="type"):
    """Any of them."""


class Have(Said, tag=1):
    """What the sender knows, in short."""

    digest: bytes


class Know(Said, tag=2):
    """All that the sender knows. `back`: it wants to hear what it lacks."""

    offers: tuple[tuple[Offer, Mark], ...]
    texts: tuple[Text, ...]
    marks: tuple[Mark, ...]
    notices: tuple[tuple[Notice, Mark], ...]
    two_texts: tuple[tuple[Mark, Mark], ...]
    back: bool


class Pass(Said, tag=3):
    """A query for one of the owner's routers, in the life that it is for. `number` and `life` are the
    sender's; `left`: until its client must have its answer."""

    number: int
    life: int
    to_life: int
    id: str
    group: str
    statement: bytes
    token: str | None
    cost: int | None
    memory: float
    key: str | None
    customer: str
    left: Time


class Took(Said, tag=4):
    """It is here, and runs if it may."""

    number: int
    life: int


class Answer(Said, tag=5):
    """How it ended: finished with its rows, deferred or killed. It goes until Got comes."""

    number: int
    life: int
    how: str
    why: str
    rows: bytes | None


class Got(Said, tag=6):
    number: int
    life: int


class Drop(Said, tag=7):
    """Nobody waits for it any more."""

    number: int
    life: int


Message = Have | Know | Pass | Took | Answer | Got | Drop
KINDS = get_args(Message)
HOW = ("finished", "deferred", "killed")


def unfit_message(message: Message) -> str:
    """The first field out of its bounds. Guards against a peer that may mark what it likes."""
    match message:
        case Have(digest):
            return "" if len(digest) == SEAL else "digest"
        case Know():
            return unfit_know(message)
        case Pass():
            if not (0 < len(message.id) <= MAX_TEXT and 0 < len(message.group) <= MAX_TEXT):
                return "id"
            if max(len(message.token or ""), len(message.key or ""), len(message.customer)) > MAX_TEXT:
                return "token"
            if not 0 <= (message.cost or 0) <= WHOLE or not 0 <= message.memory <= WHOLE:
                return "cost"
            if not 0 <= message.left <= DAY:
                return "left"
        case Answer():
            if message.how not in HOW or len(message.why) > 4 * MAX_TEXT:
                return "how"
    return "" if 0 <= message.number < WHOLE and 0 <= message.life < WHOLE else "number"


def unfit_know(known: Know) -> str:
    many = (known.offers, PARTNERS), (known.marks, MARKS), (known.texts, MARKS)
    more = (known.notices, NOTICES), (known.two_texts, PARTNERS)
    if any(len(some) > most for some, most in (*many, *more)):
        return "too many"
    marks = [*known.marks, *(mark for _, mark in (*known.offers, *known.notices))]
    marks += [mark for pair in known.two_texts for mark in pair]
    if any(unfit_mark(mark) for mark in marks):
        return "marks"
    if any(unfit_offer(offer) for offer, _ in known.offers):
        return "offers"
    if any(unfit(text) for text in known.texts):
        return "texts"
    for notice, _ in known.notices:
        if (
            not 0 < len(notice.partner) <= NAME
            or not 0 <= notice.number < WHOLE
            or not 0 <= notice.at < WHOLE
        ):
            return "notices"
    return ""


def unfit_mark(mark: Mark) -> bool:
    sizes = len(mark.digest) == SEAL and len(mark.mark) == SIGNED
    return not (sizes and 0 < len(mark.partner) <= NAME and 0 <= mark.number < 1 << 53)


codec = MessageCodec("partners", Message, unfit_message)
encode, decode, encoder = codec.encode, codec.decode, codec.encoder
