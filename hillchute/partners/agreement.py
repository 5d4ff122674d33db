"""What partners offer each other, the text that follows from it, and which text is in force.

Owns offers, texts, marks and the rule by which one text holds. Pure: the time comes in, marks are made and
checked by what the caller gives (Ed25519, see marks.py). Must never know a slot, or send anything.

A text is in force from its own time on, once every partner has marked it; of several the one with the highest
number. A partner marks at most one text for a number, and numbers that rise; it keeps what it marked before
it gives the mark away. So whatever is lost, repeated, late or crashes in between, there is the old text or
the new one: a new one that lacks a mark is none, and the old one stands to its end. That routers hear of a
new text at different times is not settled here (docs/partners.md).

Times are whole tenths of a millisecond, Unix.
"""

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import TextNotTaken

WHOLE = 10_000  # parts that all shares add up to
PARTNERS = 64
NAME = 64


class Offer(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What one partner would agree to. A later one (a counter-offer) has a higher `turn`."""

    partner: str
    turn: int
    capacity: int  # cores that it brings
    want: int  # parts of the whole
    least: int
    most: int
    begins: Time
    ends: Time


class Text(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    number: int
    shares: dict[str, int]  # in parts; they add up to the whole
    capacities: dict[str, int]
    begins: Time
    ends: Time
    grace: Time  # a partner whose engines are gone for longer counts with what it still brings
    notice: Time  # so long before it goes a partner says so


class Mark(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's mark on a text, or on its notice."""

    partner: str
    number: int
    digest: bytes
    mark: bytes


class Notice(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A partner ends its part in a text at a time."""

    partner: str
    number: int
    at: Time


encoder = msgspec.msgpack.Encoder(order="sorted")
Sign = Callable[[bytes], bytes]
Check = Callable[[str, bytes, bytes], bool]  # partner, what was marked, the mark


def digest(value: Text | Notice) -> bytes:
    """What is marked: the kind and all fields, in one order."""
    return blake2b(type(value).__name__.encode() + encoder.encode(value), digest_size=32).digest()


def unfit(text: Text) -> str:
    """The first field that nobody could honour; empty for a sound text."""
    if not 0 < text.number < 1 << 53:
        return "number"
    if not 0 < len(text.shares) <= PARTNERS or any(not 0 < len(name) <= NAME for name in text.shares):
        return "shares"
    if any(share < 0 for share in text.shares.values()) or sum(text.shares.values()) != WHOLE:
        return "shares"
    if text.capacities.keys() != text.shares.keys() or any(c < 0 for c in text.capacities.values()):
        return "capacities"
    if not 0 <= text.begins < text.ends < 1 << 60:
        return "ends"
    if not (0 <= text.grace < 1 << 50 and 0 <= text.notice < 1 << 50):
        return "grace"
    return ""


def settle(offers: Iterable[Offer], number: int, grace: Time, notice: Time) -> Text:
    """The text that follows from all offers: each partner's share as it wants it, or as near as the others'
    bounds leave it. Everybody comes to the same one. Raises TextNotTaken with what can't be met."""
    offers = sorted(offers, key=lambda offer: offer.partner)
    if not offers:
        raise TextNotTaken("nobody offers anything")
    for offer in offers:
        if not 0 <= offer.least <= offer.want <= offer.most <= WHOLE:
            raise TextNotTaken("expected least <= want <= most", offer.partner)
    if sum(o.least for o in offers) > WHOLE:
        raise TextNotTaken("all want more at the least than there is", "least")
    if sum(o.most for o in offers) < WHOLE:
        raise TextNotTaken("all take less at the most than there is", "most")
    begins, ends = max(o.begins for o in offers), min(o.ends for o in offers)
    if begins >= ends:
        raise TextNotTaken("the times offered have none in common", "begins")
    shares = fitted({o.partner: (o.least, o.want, o.most) for o in offers})
    return Text(number, shares, {o.partner: o.capacity for o in offers}, begins, ends, grace, notice)


def fitted(bounds: Mapping[str, tuple[int, int, int]]) -> dict[str, int]:
    """Shares that add up to the whole, each within its bounds, each moved from what is wanted by the same
    part of the room it has on that side."""
    shares = {name: want for name, (_, want, _) in bounds.items()}
    short = WHOLE - sum(shares.values())
    room = {
        name: (most - want if short > 0 else want - least) for name, (least, want, most) in bounds.items()
    }
    total, sign, left = sum(room.values()), (1 if short > 0 else -1), abs(short)
    if not left:
        return shares
    exact = {name: left * each / total for name, each in room.items()}
    for name, each in exact.items():
        shares[name] += sign * int(each)
    rest = left - sum(int(each) for each in exact.values())
    line = sorted(exact, key=lambda name: (int(exact[name]) - exact[name], name))
    for name in [name for name in line if int(exact[name]) < room[name]][:rest]:
        shares[name] += sign
    return shares


class Marker:
    """One partner's hand: it marks what it has agreed to, and nothing else."""

    def __init__(
        self, me: str, sign: Sign, save: Callable[[int, bytes], bool], marked: Mapping[int, bytes]
    ) -> None:
        """`save` keeps what is marked for a number, before the mark is given; `marked` is what it kept."""
        self.me, self.sign, self.save, self.marked = me, sign, save, dict(marked)

    def mark(self, text: Text, own: Offer) -> Mark:
        """Raises TextNotTaken for what it has not offered, or can't mark any more."""
        if fault := unfit(text):
            raise TextNotTaken("can't be honoured by anybody", fault)
        share, capacity = text.shares.get(self.me), text.capacities.get(self.me)
        if own.partner != self.me or share is None or not own.least <= share <= own.most:
            raise TextNotTaken(f"share {share}, {own.least} to {own.most} were offered", self.me)
        if capacity != own.capacity or text.begins < own.begins or text.ends > own.ends:
            raise TextNotTaken("capacity or times are not as offered", self.me)
        sealed, last = digest(text), max(self.marked, default=0)
        if text.number < last or self.marked.get(text.number, sealed) != sealed:
            raise TextNotTaken(f"number {last} is marked already; a new text needs a higher one", self.me)
        if not self.save(text.number, sealed):
            raise TextNotTaken("what is marked can't be kept, so it is not given", self.me)
        self.marked[text.number] = sealed
        return Mark(self.me, text.number, sealed, self.sign(sealed))

    def leave(self, text: Text, now: Time) -> tuple[Notice, Mark]:
        """Notice to a text, as early as it allows."""
        notice = Notice(self.me, text.number, now + text.notice)
        return notice, Mark(self.me, text.number, digest(notice), self.sign(digest(notice)))


class Ledger:
    """All that one router knows of texts and marks; every router comes to the same from the same."""

    def __init__(self, partners: Iterable[str], check: Check) -> None:
        """`partners`: as the operator files name them; a text needs the marks of all of them."""
        self.partners, self.check = frozenset(partners), check
        self.texts: dict[bytes, Text] = {}
        self.marks: dict[bytes, dict[str, Mark]] = {}
        self.notices: dict[tuple[int, str], Notice] = {}
        self.two_texts: dict[str, int] = {}  # who marked two texts for one number, and the lowest such

    def hear(self, text: Text) -> bool:
        """A text; whether it is sound."""
        if unfit(text) or not text.shares.keys() <= self.partners:
            return False
        self.texts[digest(text)] = text
        return True

    def hear_mark(self, mark: Mark) -> bool:
        if mark.partner not in self.partners or not self.check(mark.partner, mark.digest, mark.mark):
            return False
        for sealed, marks in self.marks.items():
            other = marks.get(mark.partner)
            if other is not None and other.number == mark.number and sealed != mark.digest:
                self.two_texts[mark.partner] = min(self.two_texts.get(mark.partner, mark.number), mark.number)
        self.marks.setdefault(mark.digest, {})[mark.partner] = mark
        return True

    def hear_notice(self, notice: Notice, mark: Mark) -> bool:
        fits = mark.partner == notice.partner and mark.digest == digest(notice)
        if not fits or not self.check(mark.partner, mark.digest, mark.mark):
            return False
        known = self.notices.get((notice.number, notice.partner))
        if known is None or notice.at < known.at:
            self.notices[notice.number, notice.partner] = notice
        return True

    def complete(self) -> list[Text]:
        """Texts with every mark, by number. A mark whose number is not the text's is none."""
        return sorted(
            (
                text
                for sealed, text in self.texts.items()
                if {n for n, m in self.marks.get(sealed, {}).items() if m.number == text.number}
                >= self.partners
            ),
            key=lambda text: text.number,
        )

    def in_force(self, now: Time) -> Text | None:
        """The highest complete text whose time has come; none after its end, until another begins."""
        begun = [text for text in self.complete() if text.begins <= now]
        return begun[-1] if begun and now < begun[-1].ends else None

    def shares(self, now: Time) -> dict[str, int]:
        """Whose slots how many parts are. A partner whose notice has run out has none, nor has one that
        marked two texts for the number in force or an earlier one: the others have its part, as their shares
        are."""
        text = self.in_force(now)
        if text is None:
            return {}
        gone = {
            n for (number, n), notice in self.notices.items() if number == text.number and notice.at <= now
        }
        gone |= {name for name, number in self.two_texts.items() if number <= text.number}
        left = {name: share for name, share in text.shares.items() if name not in gone}
        if not sum(left.values()):
            return {}
        return {name: left.get(name, 0) for name in text.shares}
