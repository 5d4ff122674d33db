"""One router in company: what it saw goes out as parcels, what others say comes in and is weighed.

Owns what waits to be told, to whom, and what follows for the decision module from all that is known. Pure:
events and the time in, parcels and a standing out. Must never need company: cut off from all, a router
has its own sight, its floor of each limit, and decides as alone.

A report goes straight to the routers that have its engine in sight, and to no other: as many as an engine
serves, whatever the fleet's size. All else is told with the pings and answers that go round anyway.
Times are whole tenths of a millisecond.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

from hillchute.accord import codec
from hillchute.accord.quotas import Quotas, Word
from hillchute.accord.signals import FIGURES, ILL, OLD, Drain, Ill, Load, News, Signals, Spent, Turned
from hillchute.accord.subsets import SIZE, Sight, first, widths
from hillchute.decision.interface import EngineId, Report, Time

SECOND = 10_000
WHOLE = 1_000_000  # units of a limit: parts in a million
BYTES = 6_000  # a second that loads may take on the way out: what is over waits, and is dropped when old
BURST = 12_000  # bytes that may go at once: a report to all of a large circle
ROOM = 700  # bytes of reports in one parcel: with all else in it a datagram is still whole
A_PARCEL = 110  # bytes of a datagram with one load in it, for the count above
TIPPED = 0.5  # of what tips a cold engine: known to be sent there by all, it gets no more for the while; two
# sides of a cut that hear nothing of each other then come to the whole of it at the most
PROBES = 0.25  # probes a query beside looks: what one learns all of a circle know
DRAINS = 120 * SECOND  # a drain is told for so long after the list had it: lists come later by far less


@dataclass(frozen=True, slots=True)
class Standing:
    """What the decision module is told: see its `nearby` and `roster`."""

    near: frozenset[EngineId]
    closed: frozenset[EngineId]  # by others' word; the list has not said so yet
    routers: int
    parts: Mapping[str | EngineId, float]  # of a limit, by name; 0 for a cold engine that has had enough
    until: Time  # parts may be less from then on


class Company:
    def __init__(
        self,
        me: str,
        names: Iterable[str],
        columns: Iterable[str],
        limits: Iterable[str],
        seed: int,
        now: Time,
        size: int = SIZE,
    ) -> None:
        """`names`: all routers, this one too, which the operator named alike to all. `columns`: the figures
        of a report, in the order that the settings give to all routers."""
        self.me, self.columns, self.size = me, tuple(columns)[:FIGURES], size
        self.most = min(codec.MOST["loads"], ROOM // (12 + 5 * len(self.columns)))  # reports in a parcel
        self.quotas = Quotas(me, names, dict.fromkeys(limits, WHOLE), seed, now)
        self.credit, self.credited = float(BURST), now
        self.dropped = 0  # loads that were too old by the time that there was room for them
        self.reports: dict[EngineId, tuple[Time, tuple[int, ...]]] = {}  # the last of our own
        self.failures: dict[EngineId, Time] = {}
        self.drains: dict[EngineId, tuple[int, Time]] = {}  # engine: event, when we heard
        self.spent: dict[EngineId, int] = {}  # hundredths of seconds of core time, all our life
        self.sent: dict[EngineId, deque[tuple[Time, int]]] = {}  # of late, in core time
        self.taken: dict[int, int] = {}
        self.away: dict[int, int] = {}
        self.line: deque[tuple[Time, str, EngineId]] = deque()  # loads to be told: when seen, to whom
        self.words: dict[str, list[Word]] = {}
        self.fresh: list[tuple[EngineId, Report, Time]] = []  # reports for the module, with their ages
        self.turn = 0  # whose turn it is among drains, where they are too many for one parcel
        self.names: list[str] = []
        self.ready: frozenset[EngineId] = frozenset()
        self.signals = Signals(0, self.sees)
        self.named(now, names)

    def named(self, now: Time, names: Iterable[str]) -> None:
        """The operator names other routers: all numbers are dealt anew, over the engines that are listed."""
        names = sorted(set(names) | {self.me})
        if names == self.names:
            return
        self.names = names
        self.number = {name: n for n, name in enumerate(self.names)}
        self.edition = crc32("\n".join(self.names).encode())
        self.quotas.named(now, self.names)
        self.sight = Sight(self.number[self.me], len(self.names), self.size)
        self.unlike: set[str] = set()  # those that were named other routers than we were
        self.near: frozenset[EngineId] = frozenset()
        self.circles: dict[EngineId, frozenset[str]] = {}
        listed_to, ready, self.ready = self.signals.listed_to, self.ready, frozenset()
        self.signals = Signals(self.number[self.me], self.sees)
        self.listed(now, listed_to, ready, ())

    def sees(self, witness: str, engine: EngineId) -> bool:
        return witness in self.circles.get(engine, ())

    # ---- what this router sees ----------------------------------------------------------------------

    def listed(self, now: Time, number: int, ready: Iterable[EngineId], closed: Iterable[EngineId]) -> None:
        """The list of engines at an event: those that are ready, those that drain or are gone."""
        ready, closed = frozenset(ready), frozenset(closed)
        for engine in closed - self.drains.keys():
            self.drains[engine] = number, now
        for engine in [e for e, (_, at) in self.drains.items() if e in ready or now - at > DRAINS]:
            del self.drains[engine]
        self.signals.listed(number, ready)
        if ready == self.ready:
            return
        self.ready = ready
        self.near, width = self.sight.near(ready), widths(ready, len(self.names), self.size)
        circles, self.circles = self.circles, {}
        for engine in self.near:
            before = circles.get(engine, ())
            if len(before) == width[engine]:
                self.circles[engine] = before
                continue
            circle = first(engine, len(self.names), width[engine])
            self.circles[engine] = frozenset(self.names[n] for n in circle)
        for kept in (self.reports, self.failures, self.spent, self.sent):
            for engine in kept.keys() - ready:
                del kept[engine]

    def reported(self, now: Time, engine: EngineId, report: Report) -> None:
        """A report that came to this router itself."""
        self.signals.seen(now, engine, looked=True)
        self.failures.pop(engine, None)
        figures = tuple(
            min(1 << 30, max(0, int(report[name] * 100))) if name in report else -1 for name in self.columns
        )
        self.reports[engine] = now, figures
        self.tell(now, engine)

    def tell(self, now: Time, engine: EngineId) -> None:
        """All that have it in sight hear of it with the next parcels."""
        circle = sorted(self.circles.get(engine, ()))  # the same seed gives the same run
        self.line.extend((now, name, engine) for name in circle if name != self.me)

    def ran(self, now: Time, engine: EngineId) -> None:
        """An engine gave this router a result."""
        self.signals.seen(now, engine)
        self.failures.pop(engine, None)

    def failed(self, now: Time, engine: EngineId) -> None:
        """An engine failed more than once in a row for this router."""
        self.failures[engine] = now

    def sent_cold(self, now: Time, engine: EngineId, work: Time) -> None:
        """A submission to an engine that warms."""
        self.spent[engine] = self.spent.get(engine, 0) + max(0, work) // 100
        self.sent.setdefault(engine, deque()).append((now, work))

    def counted(self, group: int, away: bool) -> None:
        """A query of a group came, or was turned away."""
        counts = self.away if away else self.taken
        counts[group] = counts.get(group, 0) + 1

    # ---- what others say ----------------------------------------------------------------------------

    def heard(self, now: Time, sender: str, data: bytes) -> None:
        """A parcel that its sender marked; what of it is news to the module waits in `fresh`. Raises
        InvalidDatagramError for what can't be read, of which nothing counts."""
        parcel = codec.decode(data, sender)
        fresh = self.signals.heard(now, sender, parcel.news)
        (self.unlike.discard if parcel.edition == self.edition else self.unlike.add)(sender)
        if parcel.edition == self.edition:  # homes are of one size only among those that were named alike
            self.quotas.heard(now, sender, parcel.wants)
            for limit, ask in parcel.asks.items():
                self.words.setdefault(sender, []).extend(self.quotas.asks(now, sender, limit, ask))
            for limit, grant in parcel.grants.items():
                self.quotas.granted(now, sender, limit, grant)
        self.fresh += [(load.engine, self.report(load), load.age) for load in fresh]

    def gone(self, name: str) -> None:
        """A router lives no more, as far as is known."""
        self.signals.gone(name)
        self.unlike.discard(name)

    def news(self) -> list[tuple[EngineId, Report, Time]]:
        fresh, self.fresh = self.fresh, []
        return fresh

    def report(self, load: Load) -> Report:
        pairs = zip(self.columns, load.figures)
        return {name: figure / 100 for name, figure in pairs if figure >= 0}

    # ---- what is said ---------------------------------------------------------------------------------

    def tick(self, now: Time, living: Iterable[str]) -> list[tuple[str, bytes]]:
        """Parcels that are due: loads to whom they matter, words on loans."""
        living = frozenset(living)
        for word in self.quotas.tick(now, living):
            self.words.setdefault(word.to, []).append(word)
        self.credit = min(BURST, self.credit + BYTES * (now - self.credited) / SECOND)
        self.credited = now
        loads: dict[str, set[EngineId]] = {}
        while self.line and self.credit > 0:
            at, name, engine = self.line.popleft()
            if now - at > OLD:
                self.dropped += 1
            elif name in living and engine not in loads.get(name, ()):
                self.credit -= 12 if name in loads else A_PARCEL
                loads.setdefault(name, set()).add(engine)
        said = []
        for name in sorted(loads.keys() | (self.words.keys() & living)):
            engines = sorted(loads.get(name, ()))[: self.most]
            told = [self.load(now, engine) for engine in engines if engine in self.reports]
            spent = [Spent(engine, self.spent[engine]) for engine in engines if engine in self.spent]
            news = News(
                tuple(load for load in told if load.age <= OLD), spent=tuple(spent)[: codec.MOST["spent"]]
            )
            said.append((name, self.parcel(now, news, self.words.pop(name, ()))))
        self.words.clear()  # to those that don't live as far as is known
        return said

    def beside(self, now: Time, to: str) -> bytes:
        """What goes with a ping or its answer: all but reports."""
        return self.parcel(now, self.rest(now), self.words.pop(to, ()), wants=True)

    def all(self, now: Time, to: str) -> list[bytes]:
        """All that this router saw itself and that may matter to another, which has just come."""
        rest = self.rest(now)
        circles = [e for e, circle in self.circles.items() if to in circle and e in self.reports]
        loads = [load for load in (self.load(now, engine) for engine in circles) if load.age <= OLD]
        drains = [Drain(engine, number) for engine, (number, _) in self.drains.items()]
        said = [self.parcel(now, rest, (), wants=True)]
        for n in range(0, len(loads), self.most):
            said.append(self.parcel(now, News(tuple(loads[n : n + self.most])), ()))
        for n in range(0, len(drains), codec.MOST["drains"]):
            said.append(self.parcel(now, News(drains=tuple(drains[n : n + codec.MOST["drains"]])), ()))
        return said

    def load(self, now: Time, engine: EngineId) -> Load:
        at, figures = self.reports[engine]
        return Load(engine, max(0, now - at), figures)

    def rest(self, now: Time) -> News:
        self.turn += 1
        self.failures = {e: at for e, at in self.failures.items() if now - at < ILL}
        ills = tuple(Ill(engine, max(0, now - at)) for engine, at in self.failures.items())
        drains = sorted(self.drains.items())
        first = self.turn * 8 % max(1, len(drains))
        drains = (drains[first:] + drains[:first])[:8]
        turned = [Turned(g, n, min(n, self.away.get(g, 0))) for g, n in sorted(self.taken.items())]
        return News(
            ills=ills[:8],
            drains=tuple(Drain(engine, number) for engine, (number, _) in drains),
            spent=tuple(Spent(engine, total) for engine, total in sorted(self.spent.items())[:8]),
            turned=tuple(turned[: codec.MOST["turned"]]),
        )

    def parcel(self, now: Time, news: News, words: Iterable[Word], wants: bool = False) -> bytes:
        said = dict(list(self.quotas.wants(now).items())[: codec.MOST["wants"]]) if wants else {}
        return codec.encode(codec.parcel(self.edition, news, said, words))

    # ---- what follows ---------------------------------------------------------------------------------

    def room(self, now: Time, engine: EngineId, tips: float, span: Time) -> float:
        """Core time that may still go to an engine that warms, by what is known of all that has. Permits
        (slow_start.draw_permit) keep the sum in the mean, also where nothing is heard; this closes what
        chance has let past."""
        sent = self.sent.get(engine, deque())
        while sent and sent[0][0] <= now - span:
            sent.popleft()
        own = sum(work for _, work in sent)
        return max(0.0, TIPPED * tips - own - self.signals.cold_work(now, engine, span))

    def standing(
        self, now: Time, living: Iterable[str], warming: Mapping[EngineId, float], span: Time
    ) -> Standing:
        """For the module, until something changes: what is lent and borrowed is over at some moment.
        `warming`: engines that warm, with the core time that tips each now if it comes within the span."""
        living = frozenset(living)
        ends = [now + SECOND]
        for limit in self.quotas.limits.values():
            ends += [held.until for held in limit.held.values() if held.until > now]
        parts = {name: max(1 / WHOLE, self.quotas.part(name, now)) for name in self.quotas.limits}
        shut = {engine: 0.0 for engine, tips in warming.items() if not self.room(now, engine, tips, span)}
        if seen := self.near & warming.keys():
            # Where some are in sight the others are left to those that see them, who then are fewer each:
            # its part of all cold engines goes to these.
            shut |= dict.fromkeys(warming.keys() - seen, 0.0)
            parts["cold"] = min(1.0, parts.get("cold", 1 / len(self.names)) * len(warming) / len(seen))
        return Standing(
            near=self.signals.order(now, self.near),
            closed=self.signals.closed(),
            routers=1 + len(living - {self.me}),
            parts=parts | {"probes": PROBES} | shut,
            until=min(ends),
        )
