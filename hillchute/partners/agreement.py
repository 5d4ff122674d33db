"""What partners offer each other, the text that follows from it, and which text is in force.

Owns offers, texts, marks and the rule by which one text holds. Pure: the time comes in, marks are made and
checked by what the caller gives (Ed25519, see marks.py). Must never know a slot, or send anything.

A text names the owner of every slot: they follow from the owners by the text before and the shares, so that a
router that has this text alone knows as much as all others. It is in force from its own time on, once every
partner has marked it; of several the one with the highest number. A partner marks at most one text for a
number, and numbers that rise; it keeps what it marked before it gives the mark away. So whatever is lost,
repeated, late or crashes in between, there is the old text or the new one: a new one that lacks a mark is
none, and the old one stands to its end. That routers hear of a new text at different times is settled in
council.py.

Times are whole tenths of a millisecond, Unix.
"""

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError
from hillchute.history.slot_placement import SLOTS
from hillchute.partners.split import Owners, split

WHOLE = 10_000  # parts that all shares add up to
PARTNERS = 64
NAME = 64
TEXTS = 16  # of one partner: texts that it marked and that are remembered, the highest numbers


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
    grace: Time = 0  # it bears that a partner's engines are gone for so long
    notice: Time = 0  # and wants to hear so long before that one goes


class Text(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    number: int
    shares: dict[str, int]  # in parts; they add up to the whole
    capacities: dict[str, int]
    begins: Time
    ends: Time
    grace: Time  # a partner whose engines are gone for longer counts with what it still brings
    notice: Time  # so long before it goes a partner says so
    owners: bytes  # of each slot, as a place in the partners' names in order
    before: int = 0  # the number of the text that it goes on from

    def owner_names(self) -> Owners:
        names = sorted(self.shares)
        return tuple(names[n] for n in self.owners)


class Mark(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One partner's mark on a text, on an offer of a turn (`number`), or on its notice."""

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


def digest(value: Text | Notice | Offer) -> bytes:
    """What is marked: the kind and all fields, in one order."""
    return blake2b(type(value).__name__.encode() + encoder.encode(value), digest_size=32).digest()


def words(kind: type, number: int, sealed: bytes) -> bytes:
    """What is signed. Guards against a mark that is shown as another: of an offer as of a text, or with
    another number, as a proof of two texts."""
    return b"%s %d " % (kind.__name__.encode(), number) + sealed


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
    if not 0 <= text.before < text.number:
        return "before"
    if len(text.owners) != SLOTS or max(text.owners) >= len(text.shares):
        return "owners"
    return ""


def unfit_offer(offer: Offer) -> str:
    if not 0 < len(offer.partner) <= NAME:
        return "partner"
    if not 0 <= offer.least <= offer.want <= offer.most <= WHOLE:
        return "want"
    if not (0 <= offer.turn < 1 << 53 and 0 <= offer.capacity < 1 << 53):
        return "turn"
    if not 0 <= offer.begins < offer.ends < 1 << 60:
        return "ends"
    return "" if 0 <= offer.grace < 1 << 50 and 0 <= offer.notice < 1 << 50 else "grace"


def settle(offers: Iterable[Offer], number: int, last: Text | None = None) -> Text:
    """The text that follows from all offers and the text before: each partner's share as it wants it, or as
    near as the others' bounds leave it, the slots with the fewest moves, of grace and notice the longest that
    anybody wants. Everybody comes to the same one. Raises InvalidAgreementError with what can't be met."""
    offers = sorted(offers, key=lambda offer: offer.partner)
    if not offers:
        raise InvalidAgreementError("nobody offers anything")
    for offer in offers:
        if not 0 <= offer.least <= offer.want <= offer.most <= WHOLE:
            raise InvalidAgreementError("expected least <= want <= most", offer.partner)
    if sum(o.least for o in offers) > WHOLE:
        raise InvalidAgreementError("all want more at the least than there is", "least")
    if sum(o.most for o in offers) < WHOLE:
        raise InvalidAgreementError("all take less at the most than there is", "most")
    begins, ends = max(o.begins for o in offers), min(o.ends for o in offers)
    if begins >= ends:
        raise InvalidAgreementError("the times offered have none in common", "begins")
    shares = fitted({o.partner: (o.least, o.want, o.most) for o in offers})
    held = last.owner_names() if last is not None else (None,) * SLOTS
    names, owners = sorted(shares), split(held, shares)
    return Text(
        number,
        shares,
        {o.partner: o.capacity for o in offers},
        begins,
        ends,
        max(o.grace for o in offers),
        max(o.notice for o in offers),
        bytes(names.index(owner) for owner in owners),
        last.number if last is not None else 0,
    )


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
        """Raises InvalidAgreementError for what it has not offered, or can't mark any more."""
        if fault := unfit(text):
            raise InvalidAgreementError("can't be honoured by anybody", fault)
        share, capacity = text.shares.get(self.me), text.capacities.get(self.me)
        if own.partner != self.me or share is None or not own.least <= share <= own.most:
            raise InvalidAgreementError(f"share {share}, {own.least} to {own.most} were offered", self.me)
        if capacity != own.capacity or text.begins < own.begins or text.ends > own.ends:
            raise InvalidAgreementError("capacity or times are not as offered", self.me)
        sealed, last = digest(text), max(self.marked, default=0)
        if text.number < last or self.marked.get(text.number, sealed) != sealed:
            raise InvalidAgreementError(
                f"number {last} is marked already; a new text needs a higher one", self.me
            )
        if not self.save(text.number, sealed):
            raise InvalidAgreementError("what is marked can't be kept, so it is not given", self.me)
        self.marked[text.number] = sealed
        return self.signed(Text, text.number, sealed)

    def offer(self, offer: Offer) -> Mark:
        """Guards against an offer that somebody else makes in this partner's name."""
        return self.signed(Offer, offer.turn, digest(offer))

    def signed(self, kind: type, number: int, sealed: bytes) -> Mark:
        return Mark(self.me, number, sealed, self.sign(words(kind, number, sealed)))

    def leave(self, text: Text, now: Time) -> tuple[Notice, Mark]:
        """Notice to a text, as early as it allows."""
        notice = Notice(self.me, text.number, now + text.notice)
        return notice, self.signed(Notice, text.number, digest(notice))


class Ledger:
    """All that one router knows of offers, texts and marks; every router comes to the same from the same, in
    whatever order and however often it comes."""

    def __init__(self, partners: Iterable[str], check: Check) -> None:
        """`partners`: as the operator files name them; a text needs the marks of all of them."""
        self.partners, self.check = frozenset(partners), check
        self.offers: dict[str, tuple[Offer, Mark]] = {}  # the last of each
        self.texts: dict[bytes, Text] = {}
        self.marks: dict[bytes, dict[str, Mark]] = {}
        self.notices: dict[tuple[int, str], tuple[Notice, Mark]] = {}
        self.two_texts: dict[str, tuple[Mark, Mark]] = {}  # of whom there are two marks for one number
        self.complete: dict[int, Text] = {}  # by number: texts with the marks of all that have a part in it
        self.accepted: dict[int, Text] = {}  # those of them in which every partner has one

    def named(self, partners: Iterable[str], check: Check) -> None:
        """The operator names other partners. What was accepted stays."""
        self.partners, self.check = frozenset(partners), check

    # ---- what is heard ----------------------------------------------------------------------------

    def hear_offer(self, offer: Offer, mark: Mark) -> bool:
        """Of two offers of one turn everybody keeps the same."""
        if self.offers.get(offer.partner) == (offer, mark):
            return True  # it comes again with each telling
        fits = mark.partner == offer.partner and mark.digest == digest(offer) and not unfit_offer(offer)
        if not fits or mark.number != offer.turn or not self.signed(Offer, mark):
            return False
        known = self.offers.get(offer.partner)
        if known is None or (offer.turn, mark.digest) > (known[0].turn, known[1].digest):
            self.offers[offer.partner] = offer, mark
        return True

    def hear(self, text: Text) -> bool:
        """A text; whether it is sound. Guards against texts without end: of those that nobody has marked some
        are remembered."""
        if unfit(text) or not text.shares.keys() <= self.partners:
            return False
        sealed = digest(text)
        loose = [known for known in self.texts if known not in self.marks]
        if sealed not in self.marks and len(loose) >= TEXTS:
            del self.texts[loose[0]]
        self.texts[sealed] = text
        self.accept(sealed)
        return True

    def hear_mark(self, mark: Mark) -> bool:
        """Guards against one that marks without end: of each partner some of the highest are remembered."""
        if mark.partner in self.marks.get(mark.digest, {}):
            return True
        if not self.signed(Text, mark):
            return False
        mine = sorted(
            (marks[mark.partner].number, sealed)
            for sealed, marks in self.marks.items()
            if mark.partner in marks
        )
        for number, sealed in mine:
            if number == mark.number and sealed != mark.digest:
                self.hear_two(self.marks[sealed][mark.partner], mark)
        if len(mine) >= TEXTS:
            if mark.number <= mine[0][0]:
                return True
            self.forget(mine[0][1], mark.partner)
        self.marks.setdefault(mark.digest, {})[mark.partner] = mark
        self.accept(mark.digest)
        return True

    def hear_two(self, one: Mark, other: Mark) -> bool:
        """Two marks of one partner for one number: of several such pairs the lowest counts."""
        if self.two_texts.get(one.partner) == (one, other):
            return True
        fits = one.partner == other.partner and one.number == other.number and one.digest != other.digest
        if not fits or not (self.signed(Text, one) and self.signed(Text, other)):
            return False
        pair = (one, other) if one.digest < other.digest else (other, one)
        known = self.two_texts.get(one.partner)
        if known is None or proof(pair) < proof(known):
            self.two_texts[one.partner] = pair
        return True

    def hear_notice(self, notice: Notice, mark: Mark) -> bool:
        if self.notices.get((notice.number, notice.partner)) == (notice, mark):
            return True
        fits = mark.partner == notice.partner and mark.digest == digest(notice)
        if not fits or mark.number != notice.number or not self.signed(Notice, mark):
            return False
        known = self.notices.get((notice.number, notice.partner))
        if known is None or notice.at < known[0].at:
            self.notices[notice.number, notice.partner] = notice, mark
        return True

    def signed(self, kind: type, mark: Mark) -> bool:
        said = words(kind, mark.number, mark.digest)
        return mark.partner in self.partners and self.check(mark.partner, said, mark.mark)

    def forget(self, sealed: bytes, partner: str) -> None:
        self.marks[sealed].pop(partner)
        if not self.marks[sealed]:
            del self.marks[sealed]
            self.texts.pop(sealed, None)

    def accept(self, sealed: bytes) -> None:
        """A text with every mark is accepted. A mark whose number is not the text's is none. Guards against
        some that agree without the others: theirs is complete, as what a later one goes on from, no more."""
        text, marks = self.texts.get(sealed), self.marks.get(sealed, {})
        if text is None or any(
            name not in marks or marks[name].number != text.number for name in text.shares
        ):
            return
        self.complete[text.number] = text
        if text.shares.keys() >= self.partners:
            self.accepted[text.number] = text

    # ---- what follows -----------------------------------------------------------------------------

    def last(self) -> Text | None:
        """The accepted text with the highest number."""
        return self.accepted[max(self.accepted)] if self.accepted else None

    def in_force(self, now: Time) -> Text | None:
        """The highest accepted text whose time has come; none after its end, until another begins."""
        begun = [number for number, text in self.accepted.items() if text.begins <= now]
        text = self.accepted[max(begun)] if begun else None
        return text if text is not None and now < text.ends else None

    def gone(self, text: Text, now: Time) -> frozenset[str]:
        """Who has no part any more, though the text holds: whose notice has run out, and who marked two texts
        for its number or an earlier one."""
        left = {
            name
            for (number, name), (notice, _) in self.notices.items()
            if number == text.number and notice.at <= now
        }
        two = {name for name, (mark, _) in self.two_texts.items() if mark.number <= text.number}
        return frozenset(left | two)

    def shares(self, now: Time) -> dict[str, int]:
        """Whose slots how many parts are; the others have the part of one that is gone, as their shares
        are."""
        text = self.in_force(now)
        if text is None:
            return {}
        left = {name: share for name, share in text.shares.items() if name not in self.gone(text, now)}
        if not sum(left.values()):
            return {}
        return {name: left.get(name, 0) for name in text.shares}

    def prune(self, held: int) -> None:
        """Texts before the one that holds are over, with their marks and notices."""
        for kept in (self.accepted, self.complete):
            for number in [n for n in kept if n < held]:
                del kept[number]
        for sealed, marks in list(self.marks.items()):
            if max(mark.number for mark in marks.values()) < held:
                del self.marks[sealed]
                self.texts.pop(sealed, None)
        for number, name in [key for key in self.notices if key[0] < held]:
            del self.notices[number, name]


def proof(pair: tuple[Mark, Mark]) -> tuple[int, bytes, bytes]:
    """What tells one pair of marks from another."""
    return pair[0].number, pair[0].digest, pair[1].digest
