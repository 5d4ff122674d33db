"""Queries that are passed on, once, to a router of the partner that owns their slot: as the one who passes on
and as the one who takes.

Owns what is out on the way, until it is answered here or its answer has arrived there. Pure: events and the
time in, messages out. Must never run a query, ask the history, or pass on what was passed on to it.

Whoever passes on answers its client at the latest when that is due, whatever has come. What was sent may have
been taken, so a query without an answer has failed, unless nothing of it was ever sent. It is for one life of
one router: a router that started anew takes nothing that was sent to the life before, and a router whose life
is over answers nothing, so its queries fail at once. Each message goes again until the next step shows that
it came; each is known by the sender's life and number, so a repeat starts nothing.

Times are whole tenths of a millisecond on a clock of one router.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.fronts.events import FIRST_GUEST
from hillchute.history.slot_placement import slot_of, weight
from hillchute.partners.codec import Answer, Drop, Got, Pass, Took
from hillchute.peers.messages import MAX_MESSAGE_BYTES

AGAIN: Time = 1_000  # after 0.1 s without a word a message goes again: some ways there and back
SLOWEST = 4  # doublings of that time
KEPT: Time = 6_000_000  # so long after its end a query that was taken is known, so that a late repeat is one
ANSWER_FOR: Time = 20_000  # after its end an answer is sent so long still: its asker has answered by then
ROWS = MAX_MESSAGE_BYTES - 4096  # bytes of a result that pass: the message has other fields, too


class Errand(msgspec.Struct):
    """One that this router passed on."""

    message: Pass
    to: str
    due: Time
    sent: Time
    tries: int = 0
    took: bool = False


class Guest(msgspec.Struct):
    """One that was passed on to this router."""

    sender: str
    number: int
    life: int
    session: int
    due: Time
    answer: Answer | None = None
    sent: Time = 0
    tries: int = 0
    over: bool = False  # its answer has arrived, or nobody wants it


class Passing:
    def __init__(
        self,
        me: str,
        life: int,
        living: Callable[[], Mapping[str, int]],
        over: Callable[[str, int], bool],
    ) -> None:
        """`living`: all routers that live, with their lives. `over`: whether a life of a router is known to
        be over; one that has said farewell still answers."""
        self.me, self.life, self.living, self.over = me, life, living, over
        self.numbers = 0
        self.errands: dict[int, Errand] = {}
        self.guests: dict[tuple[str, int, int], Guest] = {}
        self.by_session: dict[int, Guest] = {}
        self.sessions = FIRST_GUEST
        self.out: list[tuple[str, msgspec.Struct]] = []
        self.ended: list[tuple[int, str, str, bytes | None]] = []  # errands: number, how, why, rows
        self.came: list[tuple[int, Pass]] = []  # guests to be run, with their sessions
        self.left: list[int] = []  # sessions that nobody waits for any more
        self.counts: Counter[str] = Counter()

    # ---- as the one who passes on ---------------------------------------------------------------------

    def choose(self, routers: Iterable[str], customer: str, key: str) -> str | None:
        """Of the owner's routers that live, the same one for all that comes of a slot: so one router leads
        it, and keeps its homes."""
        living, slot = self.living(), slot_of(customer, key)
        lives = [name for name in routers if name in living and name != self.me]
        return max(lives, key=lambda name: (weight(slot, name), name), default=None)

    def send(self, now: Time, to: str, message: Pass, due: Time) -> int:
        """Takes a query on, whose numbers and lives are filled in here; its number."""
        self.numbers += 1
        about = {"number": self.numbers, "life": self.life, "to_life": self.living().get(to, 0)}
        errand = Errand(msgspec.structs.replace(message, **about), to, due, now)
        self.errands[self.numbers] = errand
        self.counts["passed on"] += 1
        self.send_errand(now, errand)
        return self.numbers

    def send_errand(self, now: Time, errand: Errand) -> None:
        errand.sent, errand.tries = now, errand.tries + 1
        left = max(0, errand.due - now)
        self.out.append((errand.to, msgspec.structs.replace(errand.message, left=left)))

    def recall(self, number: int) -> None:
        """The client has left."""
        errand = self.errands.pop(number, None)
        if errand is not None:
            self.out.append((errand.to, Drop(number, self.life)))

    def end(self, number: int, how: str, why: str, rows: bytes | None = None) -> None:
        del self.errands[number]
        self.ended.append((number, how, why, rows))

    # ---- as the one who takes -------------------------------------------------------------------------

    def take(self, now: Time, sender: str, message: Pass) -> None:
        if message.to_life != self.life:
            return  # to a life of this router that is over: what it did is not known here
        name = sender, message.life, message.number
        guest = self.guests.get(name)
        if guest is None:
            self.sessions += 1
            due = now + message.left
            guest = Guest(sender, message.number, message.life, self.sessions, due)
            self.guests[name] = self.by_session[guest.session] = guest
            self.came.append((guest.session, message))
            self.counts["taken"] += 1
        if guest.answer is None and not guest.over:
            self.out.append((sender, Took(message.number, message.life)))

    def answered(self, now: Time, session: int, how: str, why: str, rows: bytes | None = None) -> None:
        """The one final answer of a query that was taken."""
        guest = self.by_session.get(session)
        if guest is None or guest.answer is not None or guest.over:
            return
        if rows is not None and len(rows) > ROWS:
            how, why, rows = "killed", f"its result has {len(rows)} bytes, {ROWS} can be passed on", None
        guest.answer = Answer(guest.number, guest.life, how, why[:256], rows)
        self.send_answer(now, guest)

    def send_answer(self, now: Time, guest: Guest) -> None:
        guest.sent, guest.tries = now, guest.tries + 1
        self.out.append((guest.sender, guest.answer))

    @property
    def owes(self) -> bool:
        """Whether an answer is on its way, of which nobody has said that it came."""
        return any(guest.answer is not None for guest in self.guests.values())

    # ---- in and out -----------------------------------------------------------------------------------

    def receive(self, now: Time, sender: str, message: msgspec.Struct) -> None:
        if isinstance(message, Pass):
            self.take(now, sender, message)
            return
        mine = self.errands.get(message.number) if message.life == self.life else None
        theirs = self.guests.get((sender, message.life, message.number))
        match message:
            case Took() if mine is not None and mine.to == sender:
                mine.took = True
            case Answer(number, life, how, why, rows):
                if life == self.life:
                    self.out.append((sender, Got(number, life)))
                if mine is not None and mine.to == sender:
                    self.end(number, how, why, rows)
            case Got() if theirs is not None and theirs.answer is not None:
                theirs.over, theirs.answer = True, None
            case Drop() if theirs is not None and not theirs.over:
                theirs.over = True
                if theirs.answer is None:
                    self.left.append(theirs.session)

    def tick(self, now: Time) -> None:
        for number, errand in list(self.errands.items()):
            if self.over(errand.to, errand.message.to_life):
                self.end(number, "killed", "its owner's router is gone; it may have run")
            elif now >= errand.due:
                self.out.append((errand.to, Drop(number, self.life)))
                self.end(number, "killed", "no answer from its owner's router; it may have run")
            elif now - errand.sent >= AGAIN << (SLOWEST if errand.took else min(errand.tries, SLOWEST)):
                # Where it was taken, too, but seldom: Took may be of a message before the last.
                self.send_errand(now, errand)
        for name, guest in list(self.guests.items()):
            if now - guest.due > KEPT:
                del self.guests[name], self.by_session[guest.session]
            elif guest.answer is not None and now - guest.due > ANSWER_FOR:
                guest.over, guest.answer = True, None
            elif guest.answer is not None and now - guest.sent >= AGAIN << min(guest.tries, SLOWEST):
                self.send_answer(now, guest)
