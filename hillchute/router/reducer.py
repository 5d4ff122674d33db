"""All state of queries and submissions of one router, and the only place that changes it: reduce(event, now)
gives the effects it asks for.

Owns the open queries and their submissions; drives the decision module; lines.py holds the connections. Must
never read or write, look at a clock, know a protocol, or decide what the module decides: what runs where and
when, what is deferred or killed, how long a submission may take. Times are whole tenths of a millisecond.
"""

import sys
from collections.abc import Callable, Mapping

from hillchute.decision import interface
from hillchute.decision.interface import (
    AttemptEnded,
    AttemptResult,
    Cancel,
    Decision,
    Fail,
    HealthCheck,
    NewQuery,
    Reject,
    Report,
    Scheduler,
    SetTerms,
    Submit,
    Time,
    Wake,
    WatchEndpoints,
)
from hillchute.engines import words
from hillchute.fronts.events import FIRST_GUEST
from hillchute.membership import event_bus
from hillchute.router.effects import (
    AbortStream,
    CancelForward,
    ClaimQuery,
    Effect,
    EndClaim,
    FailQuery,
    ForwardQuery,
    RejectQuery,
    SendCommand,
    SendResult,
    StartStream,
)
from hillchute.router.events import (
    AlarmDue,
    Asked,
    ClaimDecided,
    Connected,
    EndpointsChanged,
    Event,
    Left,
    Lost,
    NotConnected,
    NotSent,
    Passed,
    PeersChanged,
    Said,
    ShutdownStarted,
    Spoilt,
)
from hillchute.router.lines import Leg, Line, Lines, Query
from hillchute.router.loop_lag import LoopLag
from hillchute.router.reducer_context import ReducerContext
from hillchute.statements.request import Request

COUNT_EVERY = 10_000  # tenths of a millisecond between two lines of the log that count the answers
NEVER_RAN, MAY_STILL_RUN = frozenset(interface.NEVER_RAN), frozenset(interface.MAY_STILL_RUN)
TABLES = "\0tables "  # before a table group, where a key would stand: no key of a client begins so
AFTER_ALL: Time = 500  # 50 ms before a client's time is up a query gets an answer, whatever happens


class Reducer:
    def __init__(self, module: Scheduler, catalog: Mapping[str, object], most_lines: int) -> None:
        self.module = module
        self.context = ReducerContext(max(1, catalog.get("tick", 1)))
        self.lines = Lines(self.context, module, catalog, most_lines, self.send, self.leg_over)
        self.loop_lag = LoopLag()
        self.groups = {str(catalog.get(f"groups.{n}.name")): n for n in range(catalog.get("groups.count", 0))}
        self.open_cap = catalog.get("limits.open_cap") or sys.maxsize  # none is stated, none holds
        self.tokened = {n for n in self.groups.values() if catalog.get(f"groups.{n}.effect") == "tokened"}
        effects = {n: catalog.get(f"groups.{n}.effect", "mutating") for n in self.groups.values()}
        self.mutating = {n for n, effect in effects.items() if effect == "mutating"}
        self.ordered = {n for n in self.groups.values() if catalog.get(f"groups.{n}.keep_order")}
        times = [catalog.get(f"groups.{n}.queue_timeout", 0) for n in self.groups.values()]
        self.longest: Time = max(times, default=0) or 10**9
        self.cores, self.ram = (
            max(value) if isinstance(value, list) else value
            for value in (catalog.get("domain.kind_cores", 1), catalog.get("domain.ram_of_kind_mb") or 10**9)
        )
        self.history = False  # whether keyed queries wait for the answer history's word
        self.partners = False  # whether mutating ones do, too: only a slot's owner leads them
        self.order_pause: Time = catalog.get("guarantees.order_pause", 0)
        self.end: Time | None = None
        self.queries: dict[str, Query] = {}
        self.asking: dict[int, Query] = {}  # by session, while unanswered
        self.counts: dict[tuple[str, str], list[float]] = {}  # answers since the last line in the log
        self.counted_at: Time = 0
        self.takes: dict[type, Callable[..., None]] = {
            Asked: self.take,
            Left: self.left,
            Passed: self.passed,
            Spoilt: self.spoilt,
            Connected: self.lines.connected,
            NotConnected: self.lines.not_connected,
            Said: self.said,
            NotSent: self.not_sent,
            Lost: self.lines.lost,
            EndpointsChanged: self.lines.told,
            PeersChanged: self.peered,
            ClaimDecided: self.judged,
            AlarmDue: self.tick_came,
            ShutdownStarted: self.closing,
        }

    def reduce(self, event: Event, now: Time) -> list[Effect]:
        """Takes one event in; the effects that follow from it, in order."""
        context = self.context
        # What engines say part by part tells the module nothing that it decides by, unless a part says so.
        context.begin_event(now, module_notified=not isinstance(event, Said))
        if context.timers and context.timers[0].due <= now:
            # Whatever event comes first after a pause finds the timers late, not only the one that rings.
            self.loop_lag.record_lag(now, now - context.timers[0].due)
        try:
            self.takes[type(event)](*event)
        except Exception:
            context.log_exception(type(event).__name__)
        context.run_due_timers()
        if context.module_notified:
            self.pull()
        context.update_alarm()
        return context.effects

    def pull(self) -> None:
        """Takes decisions until there is none."""
        try:
            while (decision := self.module.next_decision(self.context.now)) is not None:
                self.carry_out(decision)
        except Exception:
            self.context.log_exception("decision")

    def carry_out(self, decision: Decision) -> None:
        match decision:
            case Submit(id, engine, within):
                self.submit(self.queries[id], engine, within)
            case SetTerms(id, _, rank):
                self.set_rank(self.queries[id], rank)
            case Reject(id, after, why):
                self.answer(self.queries[id], RejectQuery(self.queries[id].session, after), "deferred", why)
            case Fail(id, why):
                self.answer(self.queries[id], FailQuery(self.queries[id].session, "killed"), "killed", why)
            case Cancel(id, number):
                if id in self.queries:
                    self.leg_over(self.queries[id].legs[number], AttemptResult.CANCELLED, give_up=True)
            case HealthCheck(engine):
                self.lines.probe(engine)
            case Wake(at, name):
                self.context.call_at(at, self.woken, name)
            case WatchEndpoints():
                pass  # the event bus is always followed

    def woken(self, name: str) -> None:
        self.module.on_timer(self.context.now, name)

    def peered(self, news: list[tuple[int, Report, Time]]) -> None:
        for engine, report, age in news:
            self.module.on_load_report(self.context.now, engine, report, age)
        self.module.stand(self.context.now)

    # ---- queries ----------------------------------------------------------------------------------

    def tick_came(self) -> None:
        """The timers that are due are looked at with every event."""

    def take(self, session: int, request: Request, since: Time) -> None:
        now = self.context.now
        fault = self.misfit(session, request)
        if fault:
            self.context.emit(FailQuery(session, fault))
            self.context.log("misread", session=session, why=fault)
            return
        if len(self.asking) >= self.open_cap:
            self.context.emit(RejectQuery(session, 0))
            return
        group = self.groups[request.group]
        if not self.module.admits(now, group, self.loop_lag.standing_delay):
            self.context.emit(RejectQuery(session, 0))
            self.tally(request.group, "turned away", now - since)
            return
        # Guards rule 1 on a loaded machine: bytes are read and answers written as late as timers come.
        due = since + request.patience - self.loop_lag.answer_margin(request.patience)
        if self.end is not None:
            due = min(due, self.end)
        q = Query(request, session, since, due, self.context.next_number())
        self.queries[request.id] = self.asking[session] = q
        self.context.call_at(
            max(due, since + request.patience - AFTER_ALL), self.overdue, request.id, q.number
        )
        if self.history and group in self.tokened and request.token is not None:
            q.claim = "asked"
            self.context.emit(
                ClaimQuery(request.id, q.number, *place(request), max(0, due - now), group in self.ordered)
            )
            return
        if self.partners and group in self.mutating:
            q.claim = "asked"
            self.context.emit(
                ClaimQuery(request.id, q.number, *place(request), max(0, due - now), False, once=True)
            )
            return
        self.hand_on(q)

    def hand_on(self, q: Query) -> None:
        """The module has it from now on."""
        request, group = q.request, self.groups[q.request.group]
        key = request.key if group in self.ordered else None
        arrival = NewQuery(
            request.id,
            group,
            q.due,
            table_group=request.tables,
            cost=request.cost,
            memory_mb=request.memory,
            ordering_key=key,
        )
        self.module.on_query(self.context.now, arrival)

    def judged(self, id: str, number: int, verdict: str, why: str, rows: words.Rows | None) -> None:
        """The answer history's word on a query that waits for it."""
        q = self.named(id, number)
        if q is None or q.answered or q.claim not in ("asked", "passed on"):
            return
        if q.claim == "passed on" or verdict == "PASS":
            q.claim = "passed back"  # it is over there, and the history hears that it is here
        else:
            q.claim = ""
        if verdict == "PASS" and q.session >= FIRST_GUEST:
            verdict, why = "DEFER", "its slot has another owner meanwhile"  # there is no second hop
        match verdict:
            case "RUN":
                q.claim = "granted"
                self.hand_on(q)
                return
            case "PASS":
                q.claim = "passed on"
                left = max(0, q.due - self.context.now)
                self.context.emit(ForwardQuery(q.request.id, q.number, why, q.request, left))
                return
            case "ANSWER":
                effect, how = SendResult(q.session, rows), "finished"
            case "KILL":
                effect, how = FailQuery(q.session, why), "killed"
            case _:
                effect, how = RejectQuery(q.session, 0), "deferred"
        self.answer(q, effect, how, f"history: {why}")

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

    def named(self, id: str, number: int) -> Query | None:
        """The query that a timer was set for. Guards against a client that names its next query like its
        last: the timers of the one that is over must not answer the other."""
        q = self.queries.get(id)
        return q if q is not None and q.number == number else None

    def overdue(self, id: str, number: int) -> None:
        """Guards rule 1 against a fault in the decisions: the client gets an answer whatever happens."""
        q = self.named(id, number)
        if q is not None and not q.answered:
            if q.claim == "asked":
                self.answer(q, RejectQuery(q.session, 0), "deferred", "history: no verdict in time")
                return
            if q.claim == "passed on":
                self.answer(
                    q, FailQuery(q.session, "no answer in time"), "killed", "passed on: no answer in time"
                )
                return
            # A process that stood still wakes with this timer and the module's own all due at once.
            stood = self.context.now - max(q.due, q.taken + q.request.patience - AFTER_ALL)
            event = "late" if stood > AFTER_ALL else "fault"
            self.context.log(event, what="unanswered at its end", query=q.request.id)
            self.module.on_client_left(self.context.now, q.request.id)
            self.answer(q, FailQuery(q.session, "no answer in time"), "unanswered")

    def left(self, session: int) -> None:
        q = self.asking.get(session)
        if q is not None:
            self.module.on_client_left(self.context.now, q.request.id)
            self.answer(q, None, "left")

    def answer(self, q: Query, effect: Effect | None, how: str, why: str = "") -> None:
        """The one final answer of a query; None where nobody waits for it any more, or has had it all. `why`:
        which check of the module turned it away."""
        if q.answered:
            return
        q.answered = True
        self.asking.pop(q.session, None)
        if effect is not None:
            self.context.emit(effect)
        for leg in q.legs:
            if leg.over:
                continue
            if leg.stream is not None:  # nobody reads on: the run is given up
                self.leg_over(leg, AttemptResult.TIMED_OUT, give_up=True)
            elif leg.ran is not None:  # its pages are wanted no more; the run itself is over
                self.context.emit(SendCommand(leg.line.number, words.Unwanted(q.request.id)))
                self.leg_over(leg, AttemptResult.SERVED)
        now = self.context.now
        self.tally(q.request.group, f"{how}: {why}" if why else how, now - q.taken)
        if how not in ("finished", "deferred"):
            tries = [(event_bus.engine_name(leg.engine), (leg.sent - q.taken) / 10) for leg in q.legs]
            after, patience = (now - q.taken) / 10, q.request.patience / 10
            known = {"id": q.request.id, "group": q.request.group, "how": how, "tries": tries}
            self.context.log("query", **known, after=after, patience=patience, session=q.session)
        self.forget(q)

    def tally(self, group: str, how: str, took: Time) -> None:
        count = self.counts.setdefault((group, how), [0, 0.0])
        count[0] += 1
        count[1] += took / 10
        if self.context.now - self.counted_at >= COUNT_EVERY:
            self.count_up()

    def count_up(self) -> None:
        """One line a second for all answers, not one each: the log is read by people."""
        answers = {f"{group} {how}": [n, round(ms / n, 1)] for (group, how), (n, ms) in self.counts.items()}
        now = self.context.now
        late, behind = self.loop_lag.worst / 10, self.loop_lag.standing_delay / 10
        self.context.log(
            "answers", count_and_mean_ms=answers, open=len(self.asking), late=late, behind=behind
        )
        # Hundreds of engines in each line would cost more than queries do: only those that there is news of.
        told = [p for e, p in self.lines.peers.items() if self.lines.news_of(e, now - COUNT_EVERY)]
        pictures = {event_bus.engine_name(p.engine): self.lines.picture(p) for p in told}
        self.context.log("engines", listed=len(self.lines.peers), **pictures)
        self.counts.clear()
        self.counted_at = now

    def forget(self, q: Query) -> None:
        if q.answered and all(leg.over for leg in q.legs):
            self.queries.pop(q.request.id, None)
            self.close(q)
            q.legs.clear()  # a ring of references would wait for the collector, results and all

    def close(self, q: Query) -> None:
        """The answer history hears how a query that it was asked for ended."""
        if not q.claim:
            return
        if q.claim == "passed on":
            self.context.emit(CancelForward(q.request.id, q.number))
        q.claim, results = "", {leg.result for leg in q.legs}
        how = "freed" if results <= NEVER_RAN else "finished" if AttemptResult.SERVED in results else "killed"
        close = EndClaim(q.request.id, q.number, how, q.rows)
        if results & MAY_STILL_RUN and how == "killed":  # the next of its key must not overtake it
            self.context.call_at(self.context.now + self.order_pause + 1, self.context.emit, close)
        else:
            self.context.emit(close)

    def closing(self, end: Time) -> None:
        self.end = end
        self.module.on_shutdown(self.context.now, end)
        for q in list(self.asking.values()):
            q.due = min(q.due, end)
            self.context.call_at(q.due + 2 * AFTER_ALL, self.overdue, q.request.id, q.number)
            self.context.call_at(q.due, self.stream_over, q.request.id, q.number)

    # ---- submissions ------------------------------------------------------------------------------

    def submit(self, q: Query, engine: int, within: Time) -> None:
        now = self.context.now
        leg = Leg(q, len(q.legs), engine, now, now + within)
        q.legs.append(leg)
        self.context.call_at(leg.until, self.time_out, q.request.id, q.number, leg.number)
        line = self.lines.line_for(self.lines.peers[engine], q)
        if line is None:
            self.leg_over(leg, AttemptResult.NOT_SENT)  # never sent: the want of connections is ours
        elif line.up:
            self.send(leg, line)
        else:
            leg.line = line
            line.waiting.append(leg)

    def send(self, leg: Leg, line: Line) -> None:
        """The bytes go now, so that what may have changed since the decision is looked at again here."""
        q, now = leg.query, self.context.now
        if q.answered or not self.lines.peers[leg.engine].ready or now >= leg.until:
            self.leg_over(leg, AttemptResult.NOT_SENT)  # never sent
            return
        leg.line, leg.written = line, True
        line.legs[q.request.id] = leg
        line.used = now
        within = -(-(leg.until - now) // 10)
        token = q.request.token if self.groups[q.request.group] in self.tokened else None
        run = words.Run(q.request.id, q.request.group, within, q.rank, token, q.request.statement)
        self.context.emit(SendCommand(line.number, run))

    def not_sent(self, number: int, id: str) -> None:
        """Whoever wrote to the line found that nobody waits any more; no byte of the attempt has left."""
        line = self.lines.lines.get(number)
        leg = line.legs.get(id) if line is not None else None
        if leg is not None:
            self.leg_over(leg, AttemptResult.NOT_SENT)

    def wants(self, id: str) -> int | None:
        """The session that waits for the answer to a query; None where none does."""
        q = self.queries.get(id)
        return None if q is None or q.answered else q.session

    def set_rank(self, q: Query, rank: int) -> None:
        q.rank = rank
        for leg in q.legs:
            if leg.written and not leg.over and leg.ran is None:
                self.context.emit(SendCommand(leg.line.number, words.Hurry(q.request.id, rank)))

    def time_out(self, id: str, query: int, number: int) -> None:
        q = self.named(id, query)
        if q is None or q.legs[number].over:
            return
        leg = q.legs[number]
        if not leg.written:
            self.leg_over(leg, AttemptResult.NOT_SENT)
        else:
            self.leg_over(leg, AttemptResult.TIMED_OUT, give_up=True)

    def leg_over(
        self,
        leg: Leg,
        result: AttemptResult,
        give_up: bool = False,
        final: bool = False,
        end: words.Said = None,
    ) -> None:
        """A submission has its ending; the module is told. `end`: what the engine said with it."""
        if leg.over:
            return
        leg.over, leg.result = True, result
        q, line, end = leg.query, leg.line, end or leg.ran
        if line is not None:
            if leg.written:
                line.legs.pop(q.request.id, None)
                if give_up:
                    self.context.emit(SendCommand(line.number, words.GiveUp(q.request.id)))
            elif leg in line.waiting:
                line.waiting.remove(leg)
        self.context.module_notified = True
        cost = report = None
        if end is not None:
            cost, report = round((end.work or 0) * 10) or None, end.report
        now, begun = self.context.now, leg.stream is not None
        ended = AttemptEnded(
            q.request.id,
            leg.number,
            result,
            final or begun or q.answered,
            now - leg.sent,
            cost,
            report,
        )
        self.module.on_attempt_ended(now, ended)
        if result not in (AttemptResult.SERVED, AttemptResult.TIMED_OUT):
            name = event_bus.engine_name(leg.engine)
            self.context.log("submission", id=q.request.id, engine=name, result=result)
        leg.ran = None
        if begun and result != AttemptResult.SERVED:
            # What was begun can't be run again: the client may have seen some of it.
            leg.stream.close()
            self.answer(q, AbortStream(q.session, f"the result broke off: {result}"), "cut")
        self.forget(q)

    # ---- what engines say -------------------------------------------------------------------------

    def said(self, number: int, what: words.Said) -> None:
        line = self.lines.lines.get(number)
        if line is None:
            return
        line.heard = self.context.now
        if what is None:
            return
        if isinstance(what, words.Probed):
            self.lines.probed(line, what)
            return
        leg = line.legs.get(what.id)
        if leg is None:
            return  # of a submission that was given up: its answer crossed with that
        match what:
            case words.Whole(_, rows):
                self.whole(leg, rows, what)
            case words.Over(id):
                leg.ran = what
                if leg.query.answered:
                    self.context.emit(SendCommand(number, words.Unwanted(id)))
                    self.leg_over(leg, AttemptResult.SERVED)
            case words.Began(_, stream):
                self.began(leg, stream)
            case words.Noted(id, topic, value):
                self.module.on_progress(self.context.now, id, leg.number, topic, value)
            case words.Ended(_, result):
                self.leg_over(leg, AttemptResult(result), end=what)

    def whole(self, leg: Leg, rows: words.Rows, end: words.Whole) -> None:
        q = leg.query
        if q.claim:
            q.rows = rows
        self.leg_over(leg, AttemptResult.SERVED, final=True, end=end)
        self.answer(q, SendResult(q.session, rows), "finished")

    def began(self, leg: Leg, stream: words.Stream) -> None:
        """The first of a stream has come: from here on there is no further submission."""
        q = leg.query
        leg.stream = stream
        if q.answered:
            self.leg_over(leg, AttemptResult.TIMED_OUT, give_up=True)
            return
        self.module.on_stream_started(self.context.now, q.request.id)
        self.context.call_at(q.due, self.stream_over, q.request.id, q.number)
        self.context.emit(StartStream(q.session, stream))

    def passed(self, session: int) -> None:
        """The client has had all of a stream."""
        q = self.asking.get(session)
        if q is not None:
            self.answer(q, None, "finished")

    def spoilt(self, session: int, why: str) -> None:
        q = self.asking.get(session)
        if q is None:
            return
        for leg in q.legs:
            if leg.stream is not None and not leg.over:
                self.leg_over(leg, AttemptResult.CONNECTION_LOST, give_up=True)
        self.module.on_client_left(self.context.now, q.request.id)
        self.answer(q, AbortStream(session, f"the result can't be read: {why}"), "cut")

    def stream_over(self, id: str, number: int) -> None:
        """The end of a query whose client has not read all of its stream."""
        q = self.named(id, number)
        if q is None or q.answered or not any(leg.stream is not None for leg in q.legs):
            return
        self.module.on_client_left(self.context.now, id)
        for leg in q.legs:
            if leg.stream is not None:
                leg.stream.close()
        self.answer(q, AbortStream(q.session, "the time for the result is up"), "cut")


def place(request: Request) -> tuple[str, str, str]:
    """Customer, key and token as the history has them. A keyed query without a key has no order: it is a key
    of its own. A mutating one is listed by its table group, whoever sent it, and its id tells it apart."""
    if request.token is None:
        return "", f"{TABLES}{request.tables}", request.id
    return request.customer, request.key or request.token, request.token
