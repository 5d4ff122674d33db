"""Limits that hold over the whole fleet: each router's part of a whole, lent from one to another for a time.

Owns what this router may use of each limit at an instant, what it has lent and what it was lent. Pure: events
and the time in, words for others out. Must never need an answer to stay within the whole, nor read a clock.

The whole belongs to the routers that the operator names, in equal homes. A quarter of a home, the floor, is
never lent, so that a router cut off from all others still has it. The rest may be lent: a loan ends by
itself, at the borrower so long after it *asked*, at the lender so long and a twentieth more after it
*granted*; so at no instant do two routers count on the same unit, whatever is lost, late, repeated or cut
between them. Guards besides:

- a router that starts has forgotten what its earlier life lent: it keeps to its floor until all that is over;
- a pair has one loan, replaced by the next: of grants only that for the last ask counts, and an ask says how
  much of the loan before is still used, so that the lender knows what may be out at the most;
- a clock that is slow or fast by up to one part in fifty is covered by the twentieth.

Of a limit whose homes are told (partners: by their shares) a router lends evenly within its own kin, and to
others only what it does not want itself; confined, it keeps to its floor, which is the same whatever homes
are told.

Times are whole tenths of a millisecond on a clock that goes on while a process stands still.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from hillchute.decision.interface import Time

SECOND = 10_000
SPAN: Time = 4 * SECOND  # of a loan: a router cut off falls back to its own within this
LONGER = 20  # the lender waits one part in so many longer: two clocks, each wrong by one in fifty at the most
LENT: Time = SPAN + SPAN // LONGER
FLOOR = 4  # one part in so many of a home is never lent
TO_ONE = 2  # one part in so many of a home is lent to one router at the most
AGAIN: Time = SPAN // 4  # between two asks to the same lender: a loan outlives three that are lost
LENDERS = 8  # loans that are sought at once: a crowd of a router comes from several others' rest
HEARD: Time = 5 * SECOND  # what a router said of its wants counts so long
NEAR = 0.02  # of what is asked: a smaller lack is not worth a word
KIN = 32  # routers that one may borrow from: so many halves of homes are all that a liar can get
TRIES = 4  # routers that a borrower compares, drawn by chance: all would ask the same best one


class Want(NamedTuple):
    """What a router says of itself in one limit: units asked of it, units that it may use."""

    asked: int
    usable: int


class Ask(NamedTuple):
    """Make our loan so large. `keeps`: what is still used of the one before, now that this is sent."""

    number: int
    level: int
    keeps: int
    asked: int
    usable: int


class Grant(NamedTuple):
    """The loan is so large from the ask of this number on, for a span."""

    number: int
    amount: int
    span: Time


class Word(NamedTuple):
    """To one router, in one limit."""

    to: str
    limit: str
    what: Ask | Grant


@dataclass(slots=True)
class Lent:
    number: int
    before: int = 0  # may still be out of the loan before, until
    before_until: Time = 0
    amount: int = 0
    until: Time = 0

    def out(self, now: Time) -> int:
        """Units that the borrower may count on."""
        return max(self.before * (now < self.before_until), self.amount * (now < self.until))


@dataclass(slots=True)
class Held:
    number: int  # of the last ask
    asked_at: Time
    level: int  # as it was asked for
    amount: int = 0
    until: Time = 0

    def counts(self, now: Time) -> int:
        return self.amount if now < self.until else 0


def home(whole: int, names: Iterable[str], me: str) -> int:
    """Equal parts of the whole; what is left over goes to the first by name. None for whom nobody names."""
    order = sorted(set(names))
    if me not in order:
        return 0
    each, more = divmod(whole, len(order))
    return each + (order.index(me) < more)


@dataclass
class Limit:
    """One limit as this router has it."""

    whole: int
    home: int
    changed: Time  # when this life began, or the home was changed
    before: int  # what it may use of its home until it is known that no loan of before is out
    wait: Time = LENT  # until that is known
    least: int | None = None  # the floor, where homes are told
    ours: frozenset[str] | None = None  # those that one lends to evenly; None: all
    confined: bool = False
    asked: int = 0  # units that this router's traffic would use now
    lent: dict[str, Lent] = field(default_factory=dict)
    held: dict[str, Held] = field(default_factory=dict)
    wants: dict[str, tuple[Time, Want]] = field(default_factory=dict)

    @property
    def floor(self) -> int:
        return self.home // FLOOR if self.least is None else min(self.least, self.home)

    def own(self, now: Time) -> int:
        """What it may use or lend of its home: all, once what an earlier life lent is over."""
        own = self.home if now >= self.changed + self.wait else min(self.home, self.before)
        return min(own, self.floor) if self.confined else own

    def out(self, now: Time) -> int:
        return sum(lent.out(now) for lent in self.lent.values())

    def usable(self, now: Time) -> int:
        """Units that it may use at this instant; of all routers together never more than the whole."""
        own = max(0, self.own(now) - self.out(now))
        return own + sum(held.counts(now) for held in self.held.values())


class Quotas:
    """All limits of one router. `limits`: their names and wholes, the same at all routers."""

    def __init__(
        self, me: str, names: Iterable[str], limits: Mapping[str, int], seed: int, now: Time
    ) -> None:
        self.me, self.seed, self.drawn = me, seed, 0
        self.number = now  # rises over all lives of this router, as its clock does
        self.names = frozenset(names)
        self.kin: dict[str, frozenset[str]] = {}  # borrower: whom it may borrow from
        homes = {name: home(whole, self.names, me) for name, whole in limits.items()}
        self.limits = {n: Limit(whole, homes[n], now, homes[n] // FLOOR) for n, whole in limits.items()}

    def named(self, now: Time, names: Iterable[str]) -> None:
        """The operator names other routers (docs/peers.md says in which order). A smaller home holds at once,
        and what is lent of it runs out before those that are new may start. A larger one holds once all that
        the routers no longer named may have lent, before they ended, has run out."""
        if frozenset(names) == self.names:
            return
        self.names = frozenset(names)
        self.kin.clear()
        for limit in self.limits.values():
            if limit.least is None:
                limit.before, limit.changed = limit.own(now), now
                limit.home = home(limit.whole, self.names, self.me)

    def told(
        self, now: Time, name: str, home: int, least: int, ours: Iterable[str], wait: Time, confined: bool
    ) -> None:
        """The home of a limit whose homes are told. A larger one holds once `wait` is over: by then whoever
        has less by what was told uses less, and all that it lent has run out."""
        limit = self.limits[name]
        if limit.least is None:
            limit.before = min(limit.before, least)
        limit.confined, limit.ours = confined, frozenset(ours)
        if (home, least) != (limit.home, limit.least) or limit.wait != wait:
            before = min(limit.own(now), limit.home)
            limit.home, limit.least, limit.wait = home, least, wait
            limit.before, limit.changed = before, now

    def kin_of(self, borrower: str) -> frozenset[str]:
        """Whom a router may borrow from: as many others as KIN, by chance that all draw alike."""
        if borrower not in self.kin:
            others = sorted(self.names - {borrower}, key=lambda n: (crc32(f"{borrower}:{n}".encode()), n))
            self.kin[borrower] = frozenset(others[:KIN])
        return self.kin[borrower]

    def asked(self, limit: str, units: int) -> None:
        self.limits[limit].asked = max(0, units)

    def usable(self, limit: str, now: Time) -> int:
        return self.limits[limit].usable(now)

    def part(self, limit: str, now: Time) -> float:
        """The same as a part of the whole."""
        return self.limits[limit].usable(now) / self.limits[limit].whole

    def wants(self, now: Time) -> dict[str, Want]:
        """What is said of itself to whoever is spoken to."""
        return {name: Want(limit.asked, limit.usable(now)) for name, limit in self.limits.items()}

    def heard(self, now: Time, sender: str, wants: Mapping[str, Want]) -> None:
        for name, want in wants.items():
            if name in self.limits:
                self.limits[name].wants[sender] = now, want

    # ---- borrowing --------------------------------------------------------------------------------

    def tick(self, now: Time, living: Iterable[str]) -> list[Word]:
        """Asks that are due: loans to be renewed at the size that is wanted now, and new ones."""
        living, said = frozenset(living) & self.kin_of(self.me), []
        for name, limit in self.limits.items():
            for lender, held in list(limit.held.items()):
                if now >= held.until and now - held.asked_at >= AGAIN:
                    del limit.held[lender]  # over, and not granted again
            for lender, held in limit.held.items():
                if lender in living and now - held.asked_at >= AGAIN:
                    said.append(self.ask(now, name, lender))
            lack = limit.asked - limit.usable(now)
            if lack > NEAR * limit.asked and len(limit.held) < LENDERS:
                lender = self.lender(now, limit, living)
                if lender is not None:
                    said.append(self.ask(now, name, lender))
        return said

    def lender(self, now: Time, limit: Limit, living: frozenset[str]) -> str | None:
        """Of a few that were heard of, the one from whom most would come; None if it asks for nothing."""
        known = [
            (name, want)
            for name, (at, want) in limit.wants.items()
            if now - at < HEARD and name in living and name not in limit.held
        ]
        self.drawn += 1
        known.sort(key=lambda entry: crc32(f"{self.seed}:{self.drawn}:{entry[0]}".encode()))
        usable = limit.usable(now)
        worth = [
            (fair(limit, name, limit.asked, usable, w.asked, w.usable), name) for name, w in known[:TRIES]
        ]
        most, name = max(worth, default=(0, ""))
        return name if most > NEAR * limit.asked else None

    def ask(self, now: Time, name: str, lender: str) -> Word:
        """One ask: for what would make both as well off, by what the lender said last. What is over what is
        wanted is given up here, before it is said."""
        limit, self.number = self.limits[name], self.number + 1
        held = limit.held.get(lender)
        had = held.counts(now) if held else 0
        usable = limit.usable(now)
        keeps = max(0, min(had, had - (usable - limit.asked)))
        at, want = limit.wants.get(lender, (-HEARD, Want(0, 0)))
        heard = now - at < HEARD
        more = fair(limit, lender, limit.asked, usable, want.asked, want.usable) if heard else 0
        level = max(0, min(keeps + more, limit.asked))
        until = held.until if held else now
        limit.held[lender] = Held(self.number, now, level, keeps, until)
        return Word(lender, name, Ask(self.number, level, keeps, limit.asked, limit.usable(now)))

    def granted(self, now: Time, sender: str, name: str, grant: Grant) -> None:
        limit = self.limits.get(name)
        held = limit and limit.held.get(sender)
        if not held or held.number != grant.number:
            return  # of an earlier ask: the lender knows from a later one that it is not used
        # Guards against a lender that gives more than it was asked for, or for longer than loans last.
        held.amount = min(grant.amount, held.level)
        held.until = held.asked_at + min(grant.span, SPAN)
        if not held.amount:
            del limit.held[sender]

    # ---- lending ----------------------------------------------------------------------------------

    def asks(self, now: Time, sender: str, name: str, ask: Ask) -> list[Word]:
        """An ask came; the grant, which may be smaller, or none."""
        limit = self.limits.get(name)
        if limit is None or sender not in self.names or self.me not in self.kin_of(sender):
            return []
        limit.wants[sender] = now, Want(ask.asked, ask.usable)
        lent = limit.lent.get(sender)
        if lent is not None and ask.number <= lent.number:
            return []  # an earlier one that came late
        before, before_until = 0, now
        if lent is not None:
            before = min(lent.out(now), max(0, ask.keeps))
            before_until = max(lent.until, lent.before_until)
        room = limit.own(now) - limit.floor - limit.out(now) + (lent.out(now) if lent else 0)
        mine = limit.usable(now) + (lent.out(now) if lent else 0)
        due = fair(limit, sender, ask.asked, ask.usable - ask.keeps, limit.asked, mine)
        amount = max(0, min(ask.level, due, room, limit.home // TO_ONE))
        until = now + LENT
        limit.lent[sender] = Lent(ask.number, before, before_until, amount, until)
        for other in [who for who, had in limit.lent.items() if not had.out(now) and who != sender]:
            if now >= max(limit.lent[other].until, limit.lent[other].before_until):
                del limit.lent[other]
        return [Word(sender, name, Grant(ask.number, amount, SPAN))]


def fair(limit: Limit, other: str, asked: int, usable: int, others: int, theirs: int) -> int:
    """What has to go from one who wants `others` and has `theirs` to one who wants `asked`: for both to have
    the same share of it, or, of one that is not of its own, at most what that one does not want."""
    if limit.ours is None or other in limit.ours:
        return even(asked, usable, others, theirs)
    return max(0, min(asked - usable, theirs - max(0, others)))


def even(asked: int, usable: int, others: int, theirs: int) -> int:
    """What has to come from the other for both to have the same share of what is asked of them. Of one who
    wants nothing all that it has may come."""
    if asked <= 0:
        return 0
    others = max(0, others)
    return int(max(0, min(asked * theirs - others * usable, (asked - usable) * (asked + others)))) // (
        asked + others
    )
