"""Which routers hold the history now: numbered views, each in force while most of the named routers say so.

Owns who calls a view, what a router promises and grants, how long a view is in force for it, and from which
view the next one goes on. Pure: events and the time in, values out. Must never know a record, or send
anything.

One who wants a new view asks with a number; a router that answers promises to grant nothing lower and says
which view it took up last; with more than half of the named, the new view goes on from the highest of those
(Paxos, of the views alone). A view is in force while more than half granted it within LEASE: any two such
halves share a router, so an earlier view can't be renewed once a later one is in force, and ends within LEASE
at every router, cut off or not.

A router that restarts has forgotten what it promised. Guards: it grants and promises nothing for twice LEASE
and a drift; a speaker drops a view that was not in force for LEASE; and a view goes on from the one before
only where more than half of the named remember, that is have granted a view in this life. Otherwise the
history of all slots counts as lost, as of the new view.
"""

from collections.abc import Iterable, Mapping

import msgspec

from hillchute.decision.interface import Time

LEASE: Time = 40_000  # four seconds: rides out three beats that the network lost
DRIFT = 0.01  # part by which two monotonic clocks may differ over one lease; crystals keep to 0.0001
BEAT: Time = 10_000  # between two calls
ASKS = 4  # times that all are asked before a view begins without those who may remember
AHEAD = 3_600_000  # milliseconds that a view's number, a time, may lie ahead of our clock
STEADY: Time = 10_000  # so long who lives must be the same before a view is asked for: deaths come in crowds

Id = tuple[int, str]  # of a view: a number that rises, and its speaker


class View(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    number: int = 0  # 0 is none
    speaker: str = ""
    members: dict[str, int] = {}  # name: life
    copies: int = 0
    before: Id | None = None  # the view that it goes on from; none: all is lost
    were: dict[str, int] = {}  # the members of that
    had: int = 0  # and its copies
    first: bool = False  # nobody who promised remembers any view

    @property
    def id(self) -> Id:
        return self.number, self.speaker


NONE = View()


class Promise(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The answer to one who asks."""

    asked: Id
    given: bool
    highest: Id  # that it has promised or granted
    remembers: bool  # it has granted a view in this life
    adopted: View  # the last that it took up


class Grant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The answer to a call. `sent` is the call's, by the speaker's clock; `at` by the granter's."""

    view: Id
    sent: Time
    at: Time
    given: bool
    lacks: bool  # it has not seen the view's text
    have: Id  # the view that it took up last
    highest: Id
    book: int  # the number of the policies that it has applied
    text: int = 0  # the number of the partners' text that it goes by


def most_of(named: int) -> int:
    return named // 2 + 1


class Views:
    """One router's."""

    def __init__(self, me: str, life: int, named: Iterable[str], now: Time) -> None:
        self.me, self.life, self.named, self.born = me, life, frozenset(named) | {me}, now
        self.view = NONE  # the last one that was taken up
        self.highest: Id = (0, "")
        self.remembers = False
        self.until: Time = 0  # in force for this router until then
        # As a speaker:
        self.seen: tuple[frozenset, Time] = frozenset(), now  # who lived, and since when
        self.asking: Id | None = None
        self.asked_at: Time = now
        self.asks = 0  # since a view was called
        self.promises: dict[str, Promise] = {}
        self.proposed: View | None = None
        self.proposed_at: Time = now
        self.granted: dict[str, Time] = {}  # until when each grants what is proposed
        self.echoes: dict[str, Time] = {}  # `at` of each one's last grant
        self.books: dict[str, int] = {}

    # ---- as one who promises and grants -----------------------------------------------------------

    def may_grant(self, now: Time) -> bool:
        """Guards against what a life before this one promised and this one forgot."""
        return now >= self.born + 2 * LEASE * (1 + DRIFT)

    def believable(self, now: Time, id: Id) -> bool:
        """Guards against one that names the highest number of all, after which there could be no view."""
        return id[0] <= now // 10 + AHEAD and id[1] in self.named

    def ask(self, now: Time, id: Id, have: Id = (0, "")) -> Promise:
        """`have`: the view that who asks took up last; of that its name is enough."""
        given = id > self.highest and self.may_grant(now) and self.believable(now, id)
        if given:
            self.highest = id
        adopted = View(*have) if have == self.view.id else self.view
        return Promise(id, given, max(self.highest, self.view.id), self.remembers, adopted)

    def called(self, now: Time, id: Id, sent: Time, book: int, text: int = 0) -> Grant:
        lacks = id != self.view.id
        given = not lacks and id >= self.highest and self.may_grant(now)
        if given:
            self.highest, self.remembers = id, True
        # Guards against a view here that nobody calls: who does call learns that it needs a higher number.
        highest = max(self.highest, self.view.id)
        return Grant(id, sent, now, given, lacks, self.view.id, highest, book, text)

    def take_up(self, now: Time, view: View) -> bool:
        """A view's text has come. Whether it holds now where another did; a lower one is none any more."""
        if view.id < self.highest or view.id <= self.view.id or not self.believable(now, view.id):
            return False
        if view.speaker not in view.members or len(view.members) < most_of(len(self.named)):
            return False  # no speaker calls such a one
        self.view, self.until = view, 0
        return True

    def forced(self, now: Time, id: Id, at: Time, rest: Time) -> None:
        """The speaker says that the view was in force for so long still, after we granted it at `at`."""
        if at <= now and id == self.view.id and self.view.members.get(self.me) == self.life:
            self.until = max(self.until, at + min(rest, LEASE))

    def in_force(self, now: Time) -> bool:
        return now < self.until

    # ---- as a speaker ---------------------------------------------------------------------------------

    def look(self, now: Time, living: Mapping[str, int]) -> str:
        """What this router is to do for all: "", "ask" with `asking`, or "call" what is proposed. `living`
        holds this router too, and the life of each. The first of them by name speaks, if most of the named
        live."""
        names = frozenset(living.items())
        if names != self.seen[0]:
            self.seen = names, now
        if len(living) < most_of(len(self.named)) or min(living) != self.me:
            self.proposed = self.asking = None
            return ""
        if self.proposed and self.proposed.id < self.highest:
            self.proposed = None  # somebody else asked with a higher number
        if self.proposed and now - self.last_forced() > LEASE:
            self.proposed = None  # guards against one that routers which forgot a later one would bring back
        if self.proposed and self.proposed.members == dict(living):
            self.asking = None
            return "call"
        if now - self.seen[1] >= STEADY and self.may_grant(now):
            if self.asking is None or now - self.asked_at > BEAT:
                # Milliseconds: no life of this router that has been forgotten asked with the same number.
                number = max(self.highest[0] + 1, now // 10)
                self.asking, self.asked_at, self.promises = (number, self.me), now, {}
                self.asks += 1
            return "ask"
        return "call" if self.proposed else ""

    def last_forced(self) -> Time:
        """When what is proposed ends, or ended, to be in force; when it was proposed, if it never was."""
        ends = sorted(self.granted.values(), reverse=True)
        need = most_of(len(self.named))
        return ends[need - 1] if len(ends) >= need else self.proposed_at

    def promised(
        self, now: Time, sender: str, promise: Promise, living: Mapping[str, int], copies: int
    ) -> bool:
        """Whether there is a view to be called now."""
        if sender not in self.named or promise.asked != self.asking:
            return False
        if not promise.given:
            if promise.highest > self.asking and self.believable(now, promise.highest):
                self.highest = max(self.highest, (promise.highest[0], ""))
                self.asking = None
            return False
        self.promises[sender] = promise
        if len(self.promises) < most_of(len(self.named)) or self.me not in self.promises:
            return False
        adopted = [self.view if p.adopted.id == self.view.id else p.adopted for p in self.promises.values()]
        believed = [view for view in adopted if self.believable(now, view.id)]
        last = max((*believed, NONE), key=lambda view: view.id)
        known = sum(p.remembers for p in self.promises.values()) >= most_of(len(self.named))
        # Those that restarted answer as soon as others: without those that remember all would be lost.
        if not known and len(self.promises) < len(living) and self.asks < ASKS:
            return False
        went_on = (last.id, last.members, last.copies) if known and last.number else (None, {}, 0)
        first = not any(p.remembers for p in self.promises.values())
        self.proposed = View(self.asking[0], self.me, dict(living), copies, *went_on, first)
        self.proposed_at, self.asking, self.asks = now, None, 0
        self.granted, self.echoes, self.promises = {}, {}, {}
        return True

    def answered(self, now: Time, sender: str, grant: Grant) -> None:
        if sender not in self.named or grant.sent > now:
            return
        self.books[sender] = grant.book
        if grant.highest > self.highest and self.believable(now, grant.highest):
            self.highest = (grant.highest[0], "")  # known of, not promised
        if self.proposed and grant.view == self.proposed.id and grant.given:
            until = int(grant.sent + LEASE * (1 - DRIFT))
            if until >= self.granted.get(sender, 0):
                self.granted[sender], self.echoes[sender] = until, grant.at

    def rest(self, now: Time) -> Time:
        """How long what is proposed is in force still: by the grant that makes more than half."""
        return max(0, self.last_forced() - now) if self.proposed else 0
