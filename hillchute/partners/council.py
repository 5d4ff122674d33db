"""One router's part in what partners agree on: who knows what is told on, who must mark marks, and from it
follows which text holds and whose each slot is.

Owns what this router knows (a ledger), its partner's hand if it has it, and the text that it goes by. Pure:
messages and the time in, messages out. Must never move a title (the slots' holders do), or mark what its
partner did not offer.

All that is known is a set that only grows, made one by those that meet: so no order, loss or repeat matters.
Each beat one other is told a digest of it; who has another digest answers with all.

That routers hear of a new text at different times is settled by the calls of the history's views: the router
that calls names the text that holds, by its own clock, and its view comes into force only with those that do
not go by a later one. A router goes by the highest text that a call named and that it has; it never goes
back. Each text's end, and the end of a notice, is by each router's own clock: from then on nothing is granted
by it, and whoever is wrong in its clock is wrong by as much.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from zlib import crc32

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.slot_placement import SLOTS
from hillchute.partners import handover
from hillchute.partners.agreement import Check, Ledger, Marker, Offer, Text, digest, settle
from hillchute.partners.codec import MARKS, Have, Know
from hillchute.partners.split import Owners, split

BEAT: Time = 10_000  # between two tellings: a new text has gone round 24 routers in some five of them
AT_ONCE = 3  # others that are told at once of what began here


class Council:
    def __init__(
        self,
        me: str,
        partner: str,
        partners: Mapping[str, Iterable[str]],
        check: Check,
        seed: int,
        now: Time,
        marker: Marker | None = None,
    ) -> None:
        """`partners`: the routers of each. `marker`: this router has its partner's key."""
        self.me, self.partner, self.seed, self.marker = me, partner, seed, marker
        self.ledger = Ledger(partners, check)
        self.name_partners(partners)
        self.own: Offer | None = None  # as the operator file has it
        self.out: list[tuple[str, Have | Know]] = []
        self.refused: dict[
            int, InvalidAgreementError
        ] = {}  # texts that this partner does not mark, by number
        self.number = 0  # of the text that this router goes by
        self.named_last = 0  # as the last call has it
        self.revision = 1
        self.beat_at, self.drawn = now, 0
        self.digest = b""
        self.capacities: dict[str, int] = {}  # cores of each partner that are there, if that is known
        self.short: dict[str, Time] = {}  # since when a partner brings less than it agreed to
        self.owners: Owners = (None,) * SLOTS
        self.due: tuple = ()  # what the owners were worked out from
        self.counts: Counter[str] = Counter()

    def name_partners(self, partners: Mapping[str, Iterable[str]]) -> None:
        self.routers = {name: frozenset(routers) for name, routers in partners.items()}
        self.partner_of = {router: name for name, routers in self.routers.items() for router in routers}

    def named_anew(self, partners: Mapping[str, Iterable[str]], check: Check) -> None:
        """The operator names other partners."""
        self.name_partners(partners)
        self.ledger.named(partners, check)
        self.revision += 1

    # ---- what goes round ----------------------------------------------------------------------------

    def offer(self, now: Time, offer: Offer) -> None:
        """This router's partner offers something; one of a lower turn than is known is none."""
        known = self.ledger.offers.get(offer.partner)
        if known is not None and offer != known[0] and offer.turn <= known[0].turn:
            raise InvalidAgreementError(
                f"turn {offer.turn}; {known[0].turn} is known already", "partners.offer.turn"
            )
        self.own = offer
        self.ledger.hear_offer(offer, self.marker.offer(offer))
        self.look(now)

    def leave(self, now: Time) -> None:
        """This router's partner gives notice to the text that holds."""
        text = self.text()
        if text is not None and (text.number, self.partner) not in self.ledger.notices:
            self.ledger.hear_notice(*self.marker.leave(text, now))
            self.look(now)

    def heard(self, now: Time, sender: str, message: Have | Know) -> None:
        match message:
            case Have(digest):
                if digest != self.state_digest():
                    self.out.append((sender, self.all(back=True)))
            case Know():
                self.take_in(message)
                if message.back and self.state_digest() != self.digest_of(message):
                    self.out.append((sender, self.all(back=False)))
                self.look(now)

    def take_in(self, known: Know) -> None:
        ledger = self.ledger
        for offer, mark in known.offers:
            self.counts["not believed"] += not ledger.hear_offer(offer, mark)
        for mark in known.marks:
            self.counts["not believed"] += not ledger.hear_mark(mark)
        for text in known.texts:
            self.counts["not believed"] += not ledger.hear(text)
        for notice, mark in known.notices:
            self.counts["not believed"] += not ledger.hear_notice(notice, mark)
        for one, other in known.two_texts:
            self.counts["not believed"] += not ledger.hear_two(one, other)

    def all(self, back: bool) -> Know:
        """All that this router knows, in one order."""
        ledger = self.ledger
        marks = [mark for marks in ledger.marks.values() for mark in marks.values()]
        marks.sort(key=lambda mark: (mark.number, mark.partner, mark.digest), reverse=True)
        return Know(
            tuple(ledger.offers[name] for name in sorted(ledger.offers)),
            tuple(ledger.texts[sealed] for sealed in sorted(ledger.texts) if sealed in ledger.marks),
            tuple(marks[:MARKS]),
            tuple(ledger.notices[key] for key in sorted(ledger.notices)),
            tuple(ledger.two_texts[name] for name in sorted(ledger.two_texts)),
            back,
        )

    @staticmethod
    def digest_of(known: Know) -> bytes:
        return digest(msgspec.structs.replace(known, back=False))

    def state_digest(self) -> bytes:
        return self.digest_of(self.all(back=False))

    def tick(self, now: Time, living: Iterable[str]) -> None:
        living = sorted(set(living) & self.partner_of.keys() - {self.me})
        digest = self.state_digest()
        news, self.digest = digest != self.digest, digest
        if living and (news or now - self.beat_at >= BEAT):
            self.beat_at = now
            for name in self.some(living, AT_ONCE if news else 1):
                self.out.append((name, Have(digest)))
        if news:
            self.look(now)
        self.due_slots(now)

    def some(self, names: list[str], many: int) -> list[str]:
        self.drawn += 1
        return sorted(names, key=lambda n: crc32(f"{self.seed}:{self.drawn}:{n}".encode()))[:many]

    # ---- this partner's hand --------------------------------------------------------------------------

    def look(self, now: Time) -> None:
        """After anything new: what is to be marked is marked; what follows for the slots is worked out."""
        if self.marker is not None:
            self.propose(now)
            self.mark()
        self.due_slots(now)

    def offers(self) -> list[Offer]:
        return [offer for offer, _ in self.ledger.offers.values()]

    def propose(self, now: Time) -> None:
        """The first partner by name writes the text that follows from all offers, if it says anything new."""
        offers, last = self.offers(), self.ledger.last()
        if {offer.partner for offer in offers} != self.ledger.partners or min(
            self.ledger.partners
        ) != self.partner:
            return
        known = [mark.number for marks in self.ledger.marks.values() for mark in marks.values()]
        number = 1 + max([*known, *self.marker.marked, last.number if last is not None else 0])
        try:
            text = settle(offers, number, last)
        except InvalidAgreementError as fault:
            self.refused[0] = fault
            return
        self.refused.pop(0, None)
        waits = (self.ledger.texts.get(sealed) for sealed in self.marker.marked.values())
        standing = [known for known in (last, *waits) if known is not None]
        if text.ends <= now or any(like(text, known, last) for known in standing):
            return
        self.ledger.hear(text)

    def mark(self) -> None:
        """Marks a text that is exactly what follows from all offers that are known here."""
        last, ledger, refused = self.ledger.last(), self.ledger, {}
        # Guards against an old file of marks: what others have of our own hand is marked, too.
        mine = (marks[self.partner] for marks in ledger.marks.values() if self.partner in marks)
        for mark in mine:
            self.marker.marked.setdefault(mark.number, mark.digest)
        for sealed, text in sorted(ledger.texts.items(), key=lambda item: item[1].number):
            done = self.partner in ledger.marks.get(sealed, {})
            if done or self.own is None or (last is not None and text.number <= last.number):
                continue
            try:
                before = ledger.complete.get(text.before)
                if text.before < (last.number if last is not None else 0) or (text.before and before is None):
                    raise InvalidAgreementError(
                        f"text {text.number} goes on from {text.before}, not the last known here"
                    )
                if text != settle(self.offers(), text.number, before):
                    raise InvalidAgreementError(
                        f"text {text.number} is not what follows from the offers known here"
                    )
                mark = self.marker.mark(text, self.own)
            except InvalidAgreementError as fault:
                refused[text.number] = fault
            else:
                ledger.hear_mark(mark)
        self.refused = {n: fault for n, fault in self.refused.items() if n == 0} | refused

    # ---- which text holds, and whose each slot is: what the slots' holders ask --------------------------

    def text(self) -> Text | None:
        return self.ledger.accepted.get(self.number)

    def named(self, now: Time) -> int:
        begun = [number for number, text in self.ledger.accepted.items() if text.begins <= now]
        return max([self.number, *begun])

    def held(self) -> int:
        return self.number

    def told(self, now: Time, number: int) -> None:
        """Guards against a caller that names what nobody has: there is nothing to go by then, and the next
        sane call mends it."""
        self.named_last = number
        if number > self.number and number in self.ledger.accepted:
            self.number = number
            self.ledger.prune(number)
            self.counts["texts"] += 1
        self.due_slots(now)

    def current(self) -> bool:
        """Whether this router has what the last call named."""
        return self.number >= self.named_last

    def holds(self, now: Time) -> bool:
        text = self.text()
        return text is not None and now < text.ends

    def follows(self, now: Time, slot: int, title: OwnershipLease | None) -> OwnershipLease | None:
        wanted = self.owners[slot] if self.current() and self.holds(now) else None
        return handover.follows(title, wanted or "", now)

    def leads(
        self, now: Time, router: str, title: OwnershipLease | None, others_out: Callable[[], bool]
    ) -> tuple[ClaimDecision, str] | None:
        return handover.leads(title, self.partner_of.get(router, ""), self.holds(now), others_out)

    def brings(self, now: Time, capacities: Mapping[str, int]) -> None:
        """Cores of each partner that are listed as ready now."""
        self.capacities = dict(capacities)
        self.due_slots(now)

    def counted(self, now: Time) -> dict[str, int]:
        """Shares as they count: of one that is gone none, of one whose engines are gone for longer than the
        text bears as much less. In parts of which only the proportions matter."""
        text = self.text()
        if text is None:
            return {}
        gone, counted = self.ledger.gone(text, now), {}
        for name, share in text.shares.items():
            agreed, there = text.capacities[name], self.capacities.get(name)
            whole = there is None or there >= agreed
            if whole:
                self.short.pop(name, None)
            elif now - self.short.setdefault(name, now) > text.grace:
                share = share * there // agreed
            counted[name] = 0 if name in gone else share
        return counted

    def due_slots(self, now: Time) -> None:
        text, shares = self.text(), self.counted(now)
        due = (self.number, self.current(), tuple(sorted(shares.items())))
        if due == self.due:
            return
        self.due = due
        self.revision += 1
        if text is None or not sum(shares.values()):
            self.owners = (None,) * SLOTS
            return
        agreed = text.owner_names()
        self.owners = agreed if shares == text.shares else split(agreed, shares)


def like(text: Text, known: Text, last: Text | None) -> bool:
    """Whether a text that is marked, or on its way to be, says the same already."""
    same = msgspec.structs.replace(text, number=known.number, before=known.before, owners=known.owners)
    on_its_way = last is None or known.number > last.number
    return same == known and (not on_its_way or known.before == text.before)
