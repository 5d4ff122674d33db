"""The engines as they are listed, and the connections to them: which can take one more, which are of no use.

Owns peers, lines and probes. Must never know what a query is for, nor judge an engine: what becomes of a
submission whose connection ends is told to whoever owns submissions. Times are whole tenths of a millisecond.
"""

from collections import deque
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass, field

from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import AttemptResult, EndpointState, ListMode, Scheduler, Time
from hillchute.engines import words
from hillchute.engines.events import ConnectFault
from hillchute.membership import event_bus
from hillchute.router.effects import CloseConnection, OpenConnection, SendCommand
from hillchute.router.reducer_context import ReducerContext
from hillchute.statements.request import Request


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
    result: str = ""  # its ending
    ran: words.Over | None = None  # the run is over, its result is on its way
    stream: words.Stream | None = None  # the result that has begun


@dataclass(slots=True, eq=False)
class Query:
    """One query, until it is answered and its last submission is over."""

    request: Request
    session: int
    taken: Time
    due: Time
    number: int = 0  # tells it from another of the same id
    rank: int | None = None
    legs: list[Leg] = field(default_factory=list)
    answered: bool = False
    rows: words.Rows | None = None  # for the answer history, if it was claimed
    claim: str = ""  # its standing in the answer history: asked, granted, passed on or back; none without one


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
    started: Time = 0
    lines: dict[int, Line] = field(default_factory=dict)


class Lines:
    """`send` is called with a submission and the line that is up for it, `over` with one that ended there."""

    def __init__(
        self,
        context: ReducerContext,
        module: Scheduler,
        catalog: Mapping[str, object],
        most: int,
        send: Callable[[Leg, Line], None],
        over: Callable[[Leg, str], None],
    ) -> None:
        self.context, self.module, self.most = context, module, most
        self.send, self.over = send, over
        self.streams = catalog.get("limits.streams_per_conn", 1)
        self.connect_wait: Time = catalog.get("limits.connect_timeout", 0)
        self.keepalive: Time = catalog.get("limits.keepalive", 0)
        self.notes_every: Time = catalog.get("domain.tells_every", 0)
        # Notes come as often as the settings say; the rest is the way there and back.
        self.silence: Time = self.notes_every + 2 * self.connect_wait
        self.sight = Subset(catalog.get("me", 0), catalog.get("n_instances", 1))
        self.told_to = 0  # number of the last event of the list of engines
        self.peers: dict[int, Peer] = {}
        self.lines: dict[int, Line] = {}

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
        now = self.context.now
        if now - line.heard <= self.silence:
            return False
        # A stream is silent while its client does not read: its own end bounds it.
        legs = line.legs.values() if self.notes_every else ()
        sent = [leg.sent for leg in legs if leg.stream is None]
        open_since = min([*line.probes.values(), *sent], default=None)
        return open_since is not None and now - open_since > self.silence

    def listen(self, number: int) -> None:
        """Guards against answers that stop short or never come, and machines that vanish: the connection
        stays open, says nothing any more and is of no use to any submission on it."""
        line = self.lines.get(number)
        if line is None:
            return
        if self.silent(line):
            self.cut(line, "silent")
        else:
            self.context.call_at(self.context.now + self.silence // 4, self.listen, number)

    def cut(self, line: Line, why: str) -> None:
        """Ends a connection of no more use from this side."""
        self.context.emit(CloseConnection(line.number))
        self.lost(line.number, why)

    def open_line(self, peer: Peer) -> Line | None:
        if len(self.lines) >= self.most and not self.make_room():
            self.context.log("no_connection", engine=event_bus.engine_name(peer.engine), open=len(self.lines))
            return None
        line = Line(self.context.next_number(), peer.engine, used=self.context.now)
        self.lines[line.number] = peer.lines[line.number] = line
        self.context.emit(OpenConnection(line.number, peer.host, peer.port))
        self.context.call_at(self.context.now + self.connect_wait, self.connect_over, line.number)
        return line

    def make_room(self) -> bool:
        """Guards a fleet with more engines than connections: the one that was idle longest gives way."""
        idle = (line for line in self.lines.values() if not (line.legs or line.waiting or line.probes))
        line = min(idle, key=lambda line: line.used, default=None)
        if line is not None:
            self.drop(line)
        return line is not None

    def connected(self, number: int) -> None:
        line = self.lines.get(number)
        if line is None:
            return
        now = self.context.now
        line.up, line.heard = True, now
        for tag in line.probes:
            self.context.emit(SendCommand(line.number, words.Probe(tag)))
        while line.waiting:
            self.send(line.waiting.popleft(), line)
        self.context.call_at(now + self.silence, self.listen, number)
        if self.keepalive:
            self.context.call_at(now + self.keepalive // 2, self.rest, line)

    def rest(self, line: Line) -> None:
        """Closes an idle connection before the engine does, so that no request crosses a close."""
        if line.number not in self.lines:
            return
        if not line.legs and self.context.now - line.used >= self.keepalive // 2:
            self.drop(line)
        else:
            self.context.call_at(max(line.used, self.context.now) + self.keepalive // 2, self.rest, line)

    def drop(self, line: Line) -> None:
        self.forget(line)
        self.context.emit(CloseConnection(line.number))

    def connect_over(self, number: int) -> None:
        """A connection that has not come up in its time is given up."""
        line = self.lines.get(number)
        if line is not None and not line.up:
            self.context.emit(CloseConnection(number))
            self.not_connected(number, ConnectFault.UNREACHED)

    def not_connected(self, number: int, fault: ConnectFault) -> None:
        """Guards engines against blame for what this machine lacks: see ConnectFault."""
        line = self.lines.get(number)
        if line is None:
            return
        self.forget(line)
        result = AttemptResult(fault.value)
        for tag in line.probes:
            self.module.on_health_check(self.context.now, line.engine, result, None)
            self.context.log("probe", engine=event_bus.engine_name(line.engine), tag=tag, result=result)
        while line.waiting:
            self.over(line.waiting.popleft(), result)

    def lost(self, number: int, why: str, never_left: Container[str] = ()) -> None:
        line = self.lines.get(number)
        if line is None:
            return
        self.forget(line)
        name = event_bus.engine_name(line.engine)
        self.context.log("line_lost", engine=name, why=why, open=len(line.legs))
        for id, leg in list(line.legs.items()):
            self.over(leg, AttemptResult.NOT_SENT if id in never_left else AttemptResult.CONNECTION_LOST)
        for tag in line.probes:
            result = AttemptResult.NOT_SENT if tag in never_left else AttemptResult.CONNECTION_LOST
            self.module.on_health_check(self.context.now, line.engine, result, None)

    def forget(self, line: Line) -> None:
        self.lines.pop(line.number, None)
        if line.engine in self.peers:
            self.peers[line.engine].lines.pop(line.number, None)

    # ---- probes -----------------------------------------------------------------------------------

    def probe(self, engine: int) -> None:
        now, line = self.context.now, self.line_for(self.peers[engine], None)
        if line is None:
            self.module.on_health_check(now, engine, AttemptResult.NOT_SENT, None)
            return
        tag = f"p{self.context.next_number()}"
        line.probes[tag] = now
        line.used = now
        self.context.call_at(now + self.connect_wait, self.probe_over, line, tag)
        if line.up:
            self.context.emit(SendCommand(line.number, words.Probe(tag)))

    def probed(self, line: Line, answer: words.Probed) -> None:
        sent = line.probes.pop(answer.tag, None)
        if sent is None:
            return
        self.context.module_notified = True
        if self.context.now - sent <= self.connect_wait:
            result = AttemptResult(answer.result)
            self.module.on_health_check(self.context.now, line.engine, result, answer.report)

    def probe_over(self, line: Line, tag: str) -> None:
        """No answer in time. The tag stays known: it may still come, and a silent line is told by it."""
        if tag in line.probes and line.number in self.lines:
            self.module.on_health_check(self.context.now, line.engine, AttemptResult.TIMED_OUT, None)

    # ---- the list of engines ----------------------------------------------------------------------

    def told(self, news: event_bus.Update) -> None:
        if news.mode == "Nothing" or news.number <= self.told_to:
            return  # an event bus may write an event again; an older list must not come back
        self.told_to = news.number
        listed = {entry.listing.engine: entry for entry in news.entries}
        for engine, entry in listed.items():
            ready = entry.listing.state == EndpointState.READY
            peer = self.peers.get(engine)
            if peer is None:
                self.peers[engine] = Peer(engine, entry.host, entry.port, ready, entry.listing.started)
                continue
            peer.ready = ready
            # An engine that has started anew knows nothing of the connections to the process before.
            anew = entry.listing.started > peer.started
            if anew or (peer.host, peer.port) != (entry.host, entry.port):
                peer.host, peer.port, peer.started = entry.host, entry.port, entry.listing.started
                self.move(peer)
        if news.mode == "Complete":
            for engine, peer in self.peers.items():
                peer.ready = peer.ready and engine in listed
        listings = [entry.listing for entry in news.entries]
        self.module.on_endpoint_list(self.context.now, ListMode(news.mode), listings)
        ready = [engine for engine, known in self.module.engines.items() if known.ready]
        self.module.on_subset(self.context.now, self.sight.select(ready))
        forgotten = len(self.peers) != len(self.module.engines)
        for engine, peer in list(self.peers.items()) if forgotten else ():
            if engine not in self.module.engines:  # gone, with nothing out
                for line in list(peer.lines.values()):
                    self.drop(line)
                del self.peers[engine]
        states = {event_bus.engine_name(e): entry.listing.state for e, entry in listed.items()}
        self.context.log("roster", number=news.number, mode=news.mode, engines=states)

    def move(self, peer: Peer) -> None:
        """The engine is another process now: what waits for a connection to the old one was never sent."""
        for line in list(peer.lines.values()):
            if not line.up:
                waiting, line.waiting = list(line.waiting), deque()
                for leg in waiting:
                    self.over(leg, AttemptResult.NOT_SENT)
            if not line.legs:
                self.drop(line)
            else:
                peer.lines.pop(line.number)  # its submissions may still answer; it takes nothing new

    def news_of(self, engine: int, since: Time) -> bool:
        """Whether something is out there, was heard of it since then, or it rests."""
        known = self.module.engines[engine]
        return (
            bool(known.open_attempts) or known.reported_at >= since or known.ejected_until > self.context.now
        )

    def picture(self, peer: Peer) -> dict[str, object]:
        """What is believed of an engine, beside what is open on the connections to it."""
        known, now = self.module.engines[peer.engine], self.context.now
        return {
            "ready": peer.ready,
            "lines": len(peer.lines),
            "open": sum(len(line.legs) + len(line.waiting) for line in peer.lines.values()),
            "out": known.open_attempts,
            "reported": known.reported_threads and round(known.reported_threads, 1),
            "granted": known.memory_granted,
            "age_ms": (now - known.reported_at) / 10,
            "rests_ms": max(0, known.ejected_until - now) / 10,
        }
