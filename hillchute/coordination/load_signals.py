"""What routers tell each other of engines, and how much of it is believed.

Owns the merge of what was told and the rules of belief. Pure: what was seen or told and the time in, what is
believed out. Must never make a rule of the protocol hang on hearsay, reopen an engine, or close all.

Whatever is told has a witness, the router that saw it itself, and an age. The merge keeps the newest word of
each witness on each engine, so order, repeats and loss don't matter. What one lying or broken router can do:

- load: a witness is heard only on engines that it has in sight, some SIZE of them all, so the loads of no
  more engines than that can be wrong, and of those that this router looked at itself within OWN none;
- illness: one witness puts an engine last among those looked at, two leave it out; no more than a third of
  what a router has in sight is ever left out or put last, and nothing that ran for it within OWN;
- drains: one witness puts an engine last, two close it, a third of all engines at the most. Nothing that is
  told opens one: that is for the list of engines alone, once it has reached the event of which was told.

Times are whole tenths of a millisecond on this router's own clock; ages go between routers, not times.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hillchute.coordination.jitter import turn
from hillchute.decision.interface import EngineId, Time

SECOND = 10_000
OWN: Time = SECOND  # what a router saw itself goes before hearsay for so long
OLD: Time = 3 * SECOND  # a load told of longer ago says nothing any more: most of what it counted has ended
ILL: Time = 3 * SECOND  # an engine that was told of as ill is left alone for so long
BACK: Time = 2 * SECOND  # and then tried by one router after another within so much more
WITNESSES = 2  # that close or leave out, where one puts last
MOST = 1 / 3  # of the engines that hearsay may close, leave out or put last
FIGURES = 8  # figures of a report at the most
TELLINGS = 64  # totals of one witness on one engine that are kept: over a span, ten a second at the most


class Load(NamedTuple):
    """One report of an engine as its witness got it: figures in the order of the settings' columns."""

    engine: EngineId
    age: Time
    figures: tuple[int, ...]  # hundredths; -1 where the report had none


class Ill(NamedTuple):
    """An engine that failed for the witness more than once in a row; age of the last failure."""

    engine: EngineId
    age: Time


class Drain(NamedTuple):
    """An engine that the list called Terminating or Gone in the event of this number."""

    engine: EngineId
    number: int


class Spent(NamedTuple):
    """Work that the witness has sent to an engine that warms, all of its life; hundredths of a second of
    core time."""

    engine: EngineId
    total: int


class Turned(NamedTuple):
    """Queries of a group that the witness has taken and has turned away, all of its life."""

    group: int
    taken: int
    away: int


class News(NamedTuple):
    """All that goes from one router to another at once."""

    loads: tuple[Load, ...] = ()
    ills: tuple[Ill, ...] = ()
    drains: tuple[Drain, ...] = ()
    spent: tuple[Spent, ...] = ()
    turned: tuple[Turned, ...] = ()


@dataclass(slots=True)
class Known:
    """What is known of one engine beside what its list says."""

    own_at: Time = -(10**12)  # last report or success of our own
    looked_at: Time = -(10**12)  # last report of our own
    loads: dict[str, tuple[Time, tuple[int, ...]]] = field(default_factory=dict)  # by witness: when, what
    ills: dict[str, Time] = field(default_factory=dict)  # by witness: the last failure
    drains: dict[str, int] = field(default_factory=dict)  # by witness: the event
    spent: dict[str, deque[tuple[Time, int]]] = field(default_factory=dict)  # by witness: when, totals


class Signals:
    """`sees(witness, engine)`: whether a router has an engine in sight, as all work it out alike."""

    def __init__(self, me: int, sees: Callable[[str, EngineId], bool]) -> None:
        self.me, self.sees = me, sees
        self.engines: dict[EngineId, Known] = {}
        self.listed_to = 0  # the event that the own list has reached
        self.turned: dict[tuple[str, int], tuple[int, int]] = {}
        self.refused = 0  # words of witnesses that could not have seen what they tell

    # ---- what is seen and told --------------------------------------------------------------------

    def listed(self, number: int, engines: Iterable[EngineId]) -> None:
        """The own list has reached an event; engines that it no longer has are forgotten."""
        self.listed_to = max(self.listed_to, number)
        known, self.engines = self.engines, {}
        for engine in engines:
            self.engines[engine] = found = known.get(engine) or Known()
            found.drains = {who: event for who, event in found.drains.items() if event > self.listed_to}

    def seen(self, now: Time, engine: EngineId, looked: bool = False) -> None:
        """This router had a result of it itself, or a report (looked)."""
        if engine in self.engines:
            self.engines[engine].own_at = now
            if looked:
                self.engines[engine].looked_at = now

    def heard(self, now: Time, witness: str, news: News) -> list[Load]:
        """Takes in what a router saw; the loads that are newer than anything known, to be told onwards to
        whoever decides. Hearsay at second hand is never passed on: a witness speaks for itself."""
        fresh = []
        for load in news.loads:
            known, at = self.engines.get(load.engine), now - max(0, load.age)
            if known is None or load.age > OLD:
                continue
            if not self.sees(witness, load.engine):
                self.refused += 1
                continue
            before = max((when for when, _ in known.loads.values()), default=known.looked_at)
            if witness not in known.loads or known.loads[witness][0] < at:
                known.loads[witness] = at, load.figures
            if at > max(before, known.looked_at) and now - known.looked_at >= OWN:
                fresh.append(load)
        for ill in news.ills:
            known = self.engines.get(ill.engine)
            if known is not None and self.sees(witness, ill.engine):
                known.ills[witness] = max(known.ills.get(witness, now - ILL), now - max(0, ill.age))
        for drain in news.drains:
            known = self.engines.get(drain.engine)
            if known is not None and drain.number > self.listed_to:
                known.drains[witness] = max(known.drains.get(witness, 0), drain.number)
        for spent in news.spent:
            known = self.engines.get(spent.engine)
            if known is not None:
                line = known.spent.setdefault(witness, deque(maxlen=TELLINGS))
                if not line or spent.total > line[-1][1]:  # totals only rise; a smaller one came late
                    line.append((now, spent.total))
        for turned in news.turned:
            taken, away = self.turned.get((witness, turned.group), (0, 0))
            self.turned[witness, turned.group] = max(taken, turned.taken), max(away, turned.away)
        return fresh

    def gone(self, witness: str) -> None:
        """A router lives no more: what it said of illness and loads was true when it said so, and ages; its
        word on drains goes, since nobody can take it back."""
        for known in self.engines.values():
            known.drains.pop(witness, None)
        for key in [key for key in self.turned if key[0] == witness]:
            del self.turned[key]

    # ---- what is believed -------------------------------------------------------------------------

    def ill(self, now: Time, engine: EngineId) -> int:
        """How many say that it is ill, and are believed. Routers come back one after another, so that an
        engine that is ill still does not get all of them in one instant."""
        known = self.engines.get(engine)
        if known is None or now - known.own_at < OWN:
            return 0
        until = ILL + turn(self.me, ("ill", engine), BACK)
        known.ills = {who: at for who, at in known.ills.items() if now - at < until}
        return len(known.ills)

    def draining(self, engine: EngineId) -> int:
        """How many say that it drains, by an event that the own list has not reached."""
        known = self.engines.get(engine)
        return len(known.drains) if known else 0

    def closed(self) -> frozenset[EngineId]:
        """Engines that take nothing new: by two witnesses, a third of all at the most, those first that most
        tell of."""
        told = [(self.draining(e), e) for e in self.engines if self.draining(e) >= WITNESSES]
        most = int(len(self.engines) * MOST)
        return frozenset(e for _, e in sorted(told, reverse=True)[:most])

    def order(self, now: Time, sight: frozenset[EngineId]) -> frozenset[EngineId]:
        """The engines to be looked at first, of those in sight: without those that are doubted, a third of
        them at the most. Whoever is left out is still drawn where none of these may take a query."""
        doubts = [(self.ill(now, e) + WITNESSES * self.draining(e), e) for e in sight]
        most = int(len(sight) * MOST)
        return sight - {e for doubt, e in sorted(doubts, reverse=True)[:most] if doubt}

    def cold_work(self, now: Time, engine: EngineId, span: Time) -> float:
        """Core time that others say they sent there within a span, as far as is known: from the last total
        told before it, or the first that was told at all."""
        known = self.engines.get(engine)
        if known is None:
            return 0.0
        sums = 0
        for line in known.spent.values():
            first = next((total for at, total in reversed(line) if at <= now - span), line[0][1])
            sums += line[-1][1] - first
        return 100.0 * sums

    def away(self, group: int) -> float:
        """The part of a group's queries that all routers together have turned away."""
        counts = [count for (_, g), count in self.turned.items() if g == group]
        taken = sum(taken for taken, _ in counts)
        return sum(away for _, away in counts) / taken if taken else 0.0
