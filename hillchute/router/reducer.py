"""All state of one router, and the only place that changes it: reduce(event, now) gives the effects it asks
for.

Owns the open queries, the submissions and the connections to sql engines as far as they matter to them;
drives the decision module. Must never read or write, look at a clock, or decide what the module decides:
what runs where and when, what is deferred or killed, how long a submission may take. Times are whole
tenths of a millisecond.
"""

import traceback
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from hillchute.decision.interface import Router, Time
from hillchute.engines.line import wire
from hillchute.membership import event_bus
from hillchute.router.lateness import Lateness
from hillchute.statements.request import Request

COUNT_EVERY = 10_000  # tenths of a millisecond between two lines of the log that count the answers
AFTER_ALL: Time = 500  # 50 ms before a client's time is up a query gets an answer, whatever happens

# ---- events ---------------------------------------------------------------------------------------


class Asked(NamedTuple):
    """A client's query has come whole, at the time `since`."""

    session: int
    request: Request
    since: Time


class Left(NamedTuple):
    """The client of a session gave its query up, or is gone."""

    session: int


class Connected(NamedTuple):
    line: int


class NotConnected(NamedTuple):
    line: int


class Said(NamedTuple):
    line: int
    answer: wire.Answer


class Lost(NamedTuple):
    """A connection to an engine has ended, in whatever way."""

    line: int
    why: str


class Told(NamedTuple):
    news: event_bus.News


class Tick(NamedTuple):
    """The time that an Alarm named has come."""


class Closing(NamedTuple):
    """The router ends: by `end` everything must be answered."""

    end: Time


Event = Asked | Left | Connected | NotConnected | Said | Lost | Told | Tick | Closing


def told_by(event: Event) -> tuple:
    """An event as the trace keeps it: its name, and what tells whose it is."""
    match event:
        case Asked(session, request, since):
            return "Asked", request.id, session, since
        case Said(line, answer):
            return "Said", answer.id, line, answer.word
        case Told(news):
            return "Told", news.number
        case _:
            return type(event).__name__, *event


# ---- effects --------------------------------------------------------------------------------------


class Finish(NamedTuple):
    session: int
    rows: list[list[bytes]]


class Defer(NamedTuple):
    session: int
    after: Time


class Kill(NamedTuple):
    session: int
    why: str


class Send(NamedTuple):
    line: int
    command: wire.Command


class Connect(NamedTuple):
    line: int
    host: str
    port: int


class HangUp(NamedTuple):
    line: int


class Alarm(NamedTuple):
    at: Time


class Note(NamedTuple):
    event: str
    fields: dict[str, object]


Effect = Finish | Defer | Kill | Send | Connect | HangUp | Alarm | Note

# ---- state, by how long it lives ------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class Leg:
    """One submission."""

    query: "Query"
    number: int
    engine: int
    sent: Time
    until: Time
    line: "Line | None" = None
    written: bool = False
    over: bool = False
    pages: list[list[list[bytes]] | None] | None = None  # once the engine has answered
    answer: wire.Answer | None = None


@dataclass(slots=True, eq=False)
class Query:
    """One query, until it is answered and its last submission is over."""

    request: Request
    session: int
    taken: Time
    due: Time
    rank: int | None = None
    legs: list[Leg] = field(default_factory=list)
    answered: bool = False


@dataclass(slots=True, eq=False)
class Line:
    """One connection to an engine."""

    number: int
    engine: int
    up: bool = False
    heard: Time = 0
    used: Time = 0
    waiting: deque[Leg] = field(default_factory=deque)  # for the connection to come up
    probes: dict[str, Time] = field(default_factory=dict)
    legs: dict[str, Leg] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Peer:
    """One engine, as its last listing says."""

    engine: int
    host: str
    port: int
    ready: bool
    lines: dict[int, Line] = field(default_factory=dict)


class Reducer:
    def __init__(self, module: Router, catalog: Mapping[str, object], most_lines: int) -> None:
        self.module = module
        self.groups = {str(catalog.get(f"groups.{n}.name")): n for n in range(catalog.get("groups.count", 0))}
        self.streams = catalog.get("limits.streams_per_conn", 1)
        self.connect_wait: Time = catalog.get("limits.connect_timeout", 0)
        self.keepalive: Time = catalog.get("limits.keepalive", 0)
        self.notes_every: Time = catalog.get("domain.tells_every", 0)
        # Notes come as often as the settings say; the rest is the way there and back.
        self.silence: Time = self.notes_every + 2 * self.connect_wait
        self.open_cap = catalog.get("limits.open_cap", 0)
        self.tick: Time = max(1, catalog.get("tick", 1))
        self.tokened = {n for n in self.groups.values() if catalog.get(f"groups.{n}.effect") == "tokened"}
        self.ordered = {n for n in self.groups.values() if catalog.get(f"groups.{n}.keep_order")}
        times = [catalog.get(f"groups.{n}.queue_timeout", 0) for n in self.groups.values()]
        self.longest: Time = max(times, default=0) or 10**9
        self.cores, self.ram = (
            max(value) if isinstance(value, list) else value
            for value in (catalog.get("domain.kind_cores", 1), catalog.get("domain.ram_of_kind_mb") or 10**9)
        )
        self.most_lines = most_lines
        self.now: Time = 0
        self.told_to = 0  # number of the last event of the list of engines
        self.end: Time | None = None
        self.queries: dict[str, Query] = {}
        self.asking: dict[int, Query] = {}  # by session, while unanswered
        self.peers: dict[int, Peer] = {}
        self.lines: dict[int, Line] = {}
        self.count = 0
        # Timers hold names, not the queries that they name: those may end long before.
        self.due: list[tuple[Time, int, Callable[..., None], tuple]] = []
        self.alarm: Time | None = None
        self.effects: list[Effect] = []
        self.informed = False  # whether the module was told anything in this round
        self.lateness = Lateness()
        self.counts: dict[tuple[str, str], list[float]] = {}  # answers since the last line in the log
        self.counted_at: Time = 0
        self.takes: dict[type, Callable[..., None]] = {
            Asked: self.take,
            Left: self.left,
            Connected: self.connected,
            NotConnected: self.not_connected,
            Said: self.said,
            Lost: self.lost,
            Told: self.told,
            Tick: self.tick_came,
            Closing: self.closing,
        }

    def reduce(self, event: Event, now: Time) -> list[Effect]:
        """Takes one event in; the effects that follow from it, in order."""
        self.now = now
        self.effects = []
        self.informed = not isinstance(event, Said)
        if self.due and self.due[0][0] <= now:
            # Whatever event comes first after a pause finds the timers late, not only the one that rings.
            self.lateness.seen(now, now - self.due[0][0])
        try:
            self.takes[type(event)](*event)
        except Exception:
            self.fault(type(event).__name__)
        while self.due and self.due[0][0] <= now:
            _, _, call, names = heappop(self.due)
            self.informed = True
            try:
                call(*names)
            except Exception:
                self.fault(call.__name__)
        if self.informed:  # a page or a note alone tells the module nothing that it decides by
            self.pull()
        self.set_alarm()
        return self.effects

    def fault(self, what: str) -> None:
        """A fault ends the call that raised it, not the program; the effects before it stand."""
        self.note("fault", what=what, trace=traceback.format_exc(limit=-8))

    def pull(self) -> None:
        """Takes decisions until there is none."""
        try:
            while (decision := self.module.decide(self.now)) is not None:
                self.carry_out(decision)
        except Exception:
            self.fault("decision")

    def carry_out(self, decision: tuple) -> None:
        match decision:
            case ("submit", id, engine, within):
                self.submit(self.queries[id], engine, within)
            case ("terms", id, _, rank):
                self.set_rank(self.queries[id], rank)
            case ("defer", id, after):
                self.answer(self.queries[id], Defer(self.queries[id].session, after), "deferred")
            case ("kill", id):
                self.answer(self.queries[id], Kill(self.queries[id].session, "killed"), "killed")
            case ("cancel", id, number):
                if id in self.queries:
                    self.leg_over(self.queries[id].legs[number], "recalled", give_up=True)
            case ("probe", engine):
                self.probe(engine)
            case ("wake", at, name):
                self.at(at, self.woken, name)
            case ("watch",):
                pass  # the event bus is always followed

    def note(self, event: str, **fields: object) -> None:
        self.effects.append(Note(event, fields))

    def at(self, when: Time, call: Callable[..., None], *names: object) -> None:
        self.count += 1
        heappush(self.due, (when, self.count, call, names))

    def woken(self, name: str) -> None:
        self.module.woken(self.now, name)

    def set_alarm(self) -> None:
        # Whole ticks: the module asks for a look at every query's turns, thousands a second when it is busy.
        first = -(-self.due[0][0] // self.tick) * self.tick if self.due else None
        if first is not None and first != self.alarm:
            self.effects.append(Alarm(first))
        self.alarm = first

    # ---- queries ----------------------------------------------------------------------------------

    def tick_came(self) -> None:
        """The timers that are due are looked at with every event."""

    def take(self, session: int, request: Request, since: Time) -> None:
        fault = self.misfit(session, request)
        if fault:
            self.effects.append(Kill(session, fault))
            self.note("misread", session=session, why=fault)
            return
        if len(self.asking) >= self.open_cap:
            self.effects.append(Defer(session, 0))
            return
        if not self.module.welcome(self.now, self.groups[request.group], self.lateness.standing):
            self.effects.append(Defer(session, 0))
            self.tally(request.group, "turned away", self.now - since)
            return
        # Guards rule 1 on a loaded machine: bytes are read and answers written as late as timers come.
        due = since + request.patience - self.lateness.margin(request.patience)
        if self.end is not None:
            due = min(due, self.end)
        q = Query(request, session, since, due)
        self.queries[request.id] = self.asking[session] = q
        group = self.groups[request.group]
        key = request.key if group in self.ordered else None
        self.at(max(due, since + request.patience - AFTER_ALL), self.overdue, request.id)
        self.module.take(
            self.now, request.id, group, due, request.tables, 0, request.cost, request.memory, key
        )

    def misfit(self, session: int, request: Request) -> str | None:
        """Why this request can't be a query here."""
        if request.group not in self.groups:
            return f"field route names no resource group: {request.group[:40]}"
        group = self.groups[request.group]
        if request.id in self.queries:
            return "field trace has been used before"
        if session in self.asking:
            return "a query is open on this session"
        if group in self.tokened and request.token is None:
            return "field nonce is absent"
        if group in self.ordered and request.key is None:
            return "field entity is absent"
        # More than any engine could do in the longest time: no estimate, and the averages must not hear it.
        if request.patience > self.longest:
            return "field patience is out of range"
        if (request.cost or 0) > self.longest * self.cores:
            return "field weight is out of range"
        if request.memory > self.ram:
            return "field mb is out of range"
        return None

    def overdue(self, id: str) -> None:
        """Guards rule 1 against a fault in the decisions: the client gets an answer whatever happens."""
        q = self.queries.get(id)
        if q is not None and not q.answered:
            self.note("fault", what="unanswered at its end", query=q.request.id)
            self.module.left(self.now, q.request.id)
            self.answer(q, Kill(q.session, "no answer in time"), "unanswered")

    def left(self, session: int) -> None:
        q = self.asking.get(session)
        if q is not None:
            self.module.left(self.now, q.request.id)
            self.answer(q, None, "left")

    def answer(self, q: Query, effect: Effect | None, how: str) -> None:
        """The one final answer of a query; None where nobody waits for it any more."""
        if q.answered:
            return
        q.answered = True
        self.asking.pop(q.session, None)
        if effect is not None:
            self.effects.append(effect)
        for leg in q.legs:
            if leg.pages is not None and not leg.over:  # its pages are wanted no more; the run itself is over
                self.effects.append(Send(leg.line.number, wire.Shut(q.request.id)))
                self.leg_over(leg, "finished")
        self.tally(q.request.group, how, self.now - q.taken)
        if how not in ("finished", "deferred"):
            tries = [(event_bus.engine_name(leg.engine), (leg.sent - q.taken) / 10) for leg in q.legs]
            after, patience = (self.now - q.taken) / 10, q.request.patience / 10
            known = {"id": q.request.id, "group": q.request.group, "how": how, "tries": tries}
            self.note("query", **known, after=after, patience=patience, session=q.session)
        self.forget(q)

    def tally(self, group: str, how: str, took: Time) -> None:
        count = self.counts.setdefault((group, how), [0, 0.0])
        count[0] += 1
        count[1] += took / 10
        if self.now - self.counted_at >= COUNT_EVERY:
            self.count_up()

    def count_up(self) -> None:
        """One line a second for all answers, not one each: the log is read by people."""
        answers = {f"{group} {how}": [n, round(ms / n, 1)] for (group, how), (n, ms) in self.counts.items()}
        late, behind = self.lateness.worst / 10, self.lateness.standing / 10
        self.note("answers", count_and_mean_ms=answers, open=len(self.asking), late=late, behind=behind)
        self.note(
            "engines", **{event_bus.engine_name(e): self.picture(peer) for e, peer in self.peers.items()}
        )
        self.counts.clear()
        self.counted_at = self.now

    def picture(self, peer: Peer) -> dict[str, object]:
        """What is believed of an engine, beside what is open on the connections to it."""
        known = self.module.engines[peer.engine]
        return {
            "ready": peer.ready,
            "lines": len(peer.lines),
            "open": sum(len(line.legs) + len(line.waiting) for line in peer.lines.values()),
            "out": known.out,
            "reported": known.reported and round(known.reported, 1),
            "granted": known.granted,
            "age_ms": (self.now - known.reported_at) / 10,
            "rests_ms": max(0, known.rest_until - self.now) / 10,
        }

    def forget(self, q: Query) -> None:
        if q.answered and all(leg.over for leg in q.legs):
            self.queries.pop(q.request.id, None)
            q.legs.clear()  # a ring of references would wait for the collector, results and all

    def closing(self, end: Time) -> None:
        self.end = end
        self.module.closing(self.now, end)
        for q in list(self.asking.values()):
            q.due = min(q.due, end)
            self.at(q.due + 2 * AFTER_ALL, self.overdue, q.request.id)

    # ---- submissions ------------------------------------------------------------------------------

    def submit(self, q: Query, engine: int, within: Time) -> None:
        leg = Leg(q, len(q.legs), engine, self.now, self.now + within)
        q.legs.append(leg)
        self.at(leg.until, self.time_out, q.request.id, leg.number)
        line = self.line_for(self.peers[engine], q)
        if line is None:
            self.leg_over(leg, "refused_conn")
        elif line.up:
            self.send(leg, line)
        else:
            leg.line = line
            line.waiting.append(leg)

    def send(self, leg: Leg, line: Line) -> None:
        """The bytes go now, so that what may have changed since the decision is looked at again here."""
        q = leg.query
        if q.answered or not self.peers[leg.engine].ready or self.now >= leg.until:
            self.leg_over(leg, "superseded")  # never sent
            return
        leg.line, leg.written = line, True
        line.legs[q.request.id] = leg
        line.used = self.now
        ttl = -(-(leg.until - self.now) // 10)
        token = q.request.token if self.groups[q.request.group] in self.tokened else None
        want = wire.Want(q.request.id, q.request.group, ttl, q.rank, token, q.request.statement)
        self.effects.append(Send(line.number, want))

    def set_rank(self, q: Query, rank: int) -> None:
        q.rank = rank
        for leg in q.legs:
            if leg.written and not leg.over and leg.pages is None:
                self.effects.append(Send(leg.line.number, wire.Hurry(q.request.id, rank)))

    def time_out(self, id: str, number: int) -> None:
        q = self.queries.get(id)
        if q is None or q.legs[number].over:
            return
        leg = q.legs[number]
        if not leg.written:
            self.leg_over(leg, "superseded")
        else:
            self.leg_over(leg, "overdue", give_up=True)

    def leg_over(self, leg: Leg, result: str, give_up: bool = False, final: bool = False) -> None:
        """A submission has its ending; the module is told."""
        if leg.over:
            return
        leg.over = True
        q, line, answer = leg.query, leg.line, leg.answer
        if line is not None:
            if leg.written:
                line.legs.pop(q.request.id, None)
                if give_up:
                    self.effects.append(Send(line.number, wire.NeverMind(q.request.id)))
            elif leg in line.waiting:
                line.waiting.remove(leg)
        self.informed = True
        cost = report = None
        if answer is not None:
            cost, report = round((answer.work or 0) * 10) or None, answer.report
        self.module.outcome(
            self.now, q.request.id, leg.number, result, final or q.answered, self.now - leg.sent, cost, report
        )
        if result not in ("finished", "overdue"):
            self.note("submission", id=q.request.id, engine=event_bus.engine_name(leg.engine), result=result)
        leg.pages = leg.answer = None
        self.forget(q)

    # ---- what engines say -------------------------------------------------------------------------

    def said(self, number: int, answer: wire.Answer) -> None:
        line = self.lines.get(number)
        if line is None:
            return
        line.heard = self.now
        if answer.id in line.probes:
            self.probe_answered(line, answer)
            return
        leg = line.legs.get(answer.id)
        if leg is None:
            return  # of a submission that was given up: its answer crossed with that
        match answer.word:
            case "ACK":
                self.acknowledged(line, leg, answer)
            case "BLOCK":
                self.page(line, leg, answer)
            case "EVENT":
                if answer.topic:
                    self.module.progress(self.now, answer.id, leg.number, answer.topic, answer.value)
            case word if word in wire.ENDINGS:
                leg.answer = answer
                self.leg_over(leg, wire.ENDINGS[word])

    def acknowledged(self, line: Line, leg: Leg, answer: wire.Answer) -> None:
        if leg.pages is not None:
            return
        leg.answer = answer
        leg.pages = [None] * answer.parts
        if leg.query.answered:
            if answer.parts > 1:
                self.effects.append(Send(line.number, wire.Shut(answer.id)))
            self.leg_over(leg, "finished")
            return
        self.effects.extend(Send(line.number, wire.Turn(answer.id, page)) for page in range(1, answer.parts))
        self.page(line, leg, answer)

    def page(self, line: Line, leg: Leg, answer: wire.Answer) -> None:
        """One page of a result. One that was not asked for, or that is here already, is passed over."""
        if leg.pages is None or answer.part >= len(leg.pages) or leg.pages[answer.part] is not None:
            return
        try:
            leg.pages[answer.part] = wire.rows(answer.body)
        except wire.Unreadable as fault:
            self.cut(line, f"spoilt page: {fault}")
            return
        if any(page is None for page in leg.pages):
            return
        q, rows = leg.query, [row for page in leg.pages for row in page]
        self.leg_over(leg, "finished", final=True)
        self.answer(q, Finish(q.session, rows), "finished")

    def probe(self, engine: int) -> None:
        line = self.line_for(self.peers[engine], None)
        if line is None:
            self.module.probed(self.now, engine, "refused_conn", None)
            return
        self.count += 1
        tag = f"p{self.count}"
        line.probes[tag] = self.now
        line.used = self.now
        self.at(self.now + self.connect_wait, self.probe_over, line, tag)
        if line.up:
            self.effects.append(Send(line.number, wire.Busy(tag)))

    def probe_answered(self, line: Line, answer: wire.Answer) -> None:
        sent = line.probes.pop(answer.id)
        self.informed = True
        if self.now - sent <= self.connect_wait:
            result = "finished" if answer.word == "READY" else wire.ENDINGS.get(answer.word, "errored")
            self.module.probed(self.now, line.engine, result, answer.report)

    def probe_over(self, line: Line, tag: str) -> None:
        """No answer in time. The tag stays known: it may still come, and a silent line is told by it."""
        if tag in line.probes and line.number in self.lines:
            self.module.probed(self.now, line.engine, "overdue", None)

    # ---- connections ------------------------------------------------------------------------------

    def line_for(self, peer: Peer, q: Query | None) -> Line | None:
        """A connection that can take one more: an open one that is heard, one coming up, or a new one.

        Never the one on which an earlier submission of the same query went, so that no answer is taken for
        another's; never one that has fallen silent, since nothing would come of it.
        """
        coming = None
        for line in peer.lines.values():
            if len(line.legs) + len(line.waiting) >= self.streams:
                continue
            if not line.up:
                coming = coming or line
            elif not self.silent(line) and not (q and any(leg.line is line for leg in q.legs)):
                return line
        return coming or self.open_line(peer)

    def silent(self, line: Line) -> bool:
        """Something is open on it, and nothing has come for longer than notes and probes take."""
        if self.now - line.heard <= self.silence:
            return False
        sent = [leg.sent for leg in line.legs.values()] if self.notes_every else []
        open_since = min([*line.probes.values(), *sent], default=None)
        return open_since is not None and self.now - open_since > self.silence

    def listen(self, number: int) -> None:
        """Guards against answers that stop short or never come, and machines that vanish: the connection
        stays open, says nothing any more and is of no use to any submission on it."""
        line = self.lines.get(number)
        if line is None:
            return
        if self.silent(line):
            self.cut(line, "silent")
        else:
            self.at(self.now + self.silence // 4, self.listen, number)

    def cut(self, line: Line, why: str) -> None:
        """Ends a connection of no more use from this side."""
        self.effects.append(HangUp(line.number))
        self.lost(line.number, why)

    def open_line(self, peer: Peer) -> Line | None:
        if len(self.lines) >= self.most_lines:
            self.note("fault", what="too many connections to engines", open=len(self.lines))
            return None
        self.count += 1
        line = Line(self.count, peer.engine, used=self.now)
        self.lines[line.number] = peer.lines[line.number] = line
        self.effects.append(Connect(line.number, peer.host, peer.port))
        return line

    def connected(self, number: int) -> None:
        line = self.lines.get(number)
        if line is None:
            return
        line.up, line.heard = True, self.now
        for tag in line.probes:
            self.effects.append(Send(line.number, wire.Busy(tag)))
        while line.waiting:
            self.send(line.waiting.popleft(), line)
        self.at(self.now + self.silence, self.listen, number)
        if self.keepalive:
            self.at(self.now + self.keepalive // 2, self.rest, line)

    def rest(self, line: Line) -> None:
        """Closes an idle connection before the engine does, so that no request crosses a close."""
        if line.number not in self.lines:
            return
        if not line.legs and self.now - line.used >= self.keepalive // 2:
            self.drop(line)
        else:
            self.at(max(line.used, self.now) + self.keepalive // 2, self.rest, line)

    def drop(self, line: Line) -> None:
        self.forget_line(line)
        self.effects.append(HangUp(line.number))

    def not_connected(self, number: int) -> None:
        line = self.lines.get(number)
        if line is None:
            return
        self.forget_line(line)
        for tag in line.probes:
            self.module.probed(self.now, line.engine, "refused_conn", None)
            self.note("probe", engine=event_bus.engine_name(line.engine), tag=tag, result="refused_conn")
        while line.waiting:
            self.leg_over(line.waiting.popleft(), "refused_conn")

    def lost(self, number: int, why: str) -> None:
        line = self.lines.get(number)
        if line is None:
            return
        self.forget_line(line)
        self.note("line_lost", engine=event_bus.engine_name(line.engine), why=why, open=len(line.legs))
        for leg in list(line.legs.values()):
            self.leg_over(leg, "severed")
        for _ in line.probes:
            self.module.probed(self.now, line.engine, "severed", None)

    def forget_line(self, line: Line) -> None:
        self.lines.pop(line.number, None)
        if line.engine in self.peers:
            self.peers[line.engine].lines.pop(line.number, None)

    # ---- the list of engines ----------------------------------------------------------------------

    def told(self, news: event_bus.News) -> None:
        if news.mode == "Nothing" or news.number <= self.told_to:
            return  # an event bus may write an event again; an older list must not come back
        self.told_to = news.number
        listed = {entry.listing.engine: entry for entry in news.entries}
        for engine, entry in listed.items():
            ready = entry.listing.state == "Ready"
            peer = self.peers.get(engine)
            if peer is None:
                self.peers[engine] = Peer(engine, entry.host, entry.port, ready)
                continue
            peer.ready = ready
            if (peer.host, peer.port) != (entry.host, entry.port):
                peer.host, peer.port = entry.host, entry.port
                self.move(peer)
        if news.mode == "Complete":
            for engine, peer in self.peers.items():
                peer.ready = peer.ready and engine in listed
        self.module.roster(self.now, news.mode, [entry.listing for entry in news.entries])
        for engine, peer in list(self.peers.items()):
            if engine not in self.module.engines:  # forgotten there: gone, with nothing out
                for line in list(peer.lines.values()):
                    self.drop(line)
                del self.peers[engine]
        states = {event_bus.engine_name(e): entry.listing.state for e, entry in listed.items()}
        self.note("roster", number=news.number, mode=news.mode, engines=states)

    def move(self, peer: Peer) -> None:
        """The engine has a new address: what waits for the old one was never sent."""
        for line in list(peer.lines.values()):
            if not line.up:
                waiting, line.waiting = list(line.waiting), deque()
                for leg in waiting:
                    self.leg_over(leg, "superseded")
            if not line.legs:
                self.drop(line)
            else:
                peer.lines.pop(line.number)  # its submissions may still answer; it takes nothing new
