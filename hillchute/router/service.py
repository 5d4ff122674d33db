"""The running router: rounds of the loop, timers, signals, and the way from events to effects.

Owns the task group and the order in which fronts, engine links and the reducer are called. Must never change
the state of a query, an engine or a submission, nor decide anything. A round is plain code without a wait in
it, so that it can be driven under a clock and sockets that are not real.
"""

import gc
import signal
import socket
import traceback
from collections import deque
from collections.abc import Callable, Mapping
from zlib import crc32

import anyio
import anyio.abc
import anyio.lowlevel

from hillchute.coordination import jitter
from hillchute.decision.interface import Listing
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery import event_bus
from hillchute.discovery.watcher import EndpointWatcher
from hillchute.engines import words
from hillchute.engines.line.links import Link, Links
from hillchute.errors import ConfigurationError, HillchuteError, UnknownEngineKindError
from hillchute.fronts.events import FIRST_CALL, FIRST_GUEST
from hillchute.fronts.mysql.door import Client, Door
from hillchute.log import Log
from hillchute.net.clock import Clock, EngineStartTimes
from hillchute.net.poller import Poller, ReadySocket
from hillchute.router import config, events
from hillchute.router.config import SECOND, Station
from hillchute.router.effects import (
    AbortStream,
    CancelForward,
    ClaimQuery,
    CloseConnection,
    Effect,
    EndClaim,
    FailQuery,
    ForwardQuery,
    OpenConnection,
    RejectQuery,
    SendCommand,
    SendResult,
    SetAlarm,
    StartStream,
    WriteLog,
)
from hillchute.router.event_trace import EventTrace
from hillchute.router.integrations.interface import RouterExtension
from hillchute.router.lifecycle import Lifecycle, Phase
from hillchute.router.reducer import Reducer
from hillchute.router.round_schedule import (
    ENGINE_READ_BUDGET,
    LISTEN_BACKLOG,
    QUERY_BUDGET,
    RoundSchedule,
)
from hillchute.router.shutdown import ClientActivity, ShutdownSchedule, ShutdownStep
from hillchute.router.signal_handling import SignalReceiver

SWEEP = 0.1  # seconds between two looks for sessions too long in one step
STEP = 0.01  # seconds between two looks at how far the end has come
CLIENTS = 32  # sessions read between two looks at the alarm: about 2 ms
COLLECT = (10_000, 10, 10)  # objects made before a collection: the usual 700 are a few queries only
FRESH = 200  # 20 ms: events that come later after a look at the sockets begin with another
STALE = 500  # 50 ms without a look is a pause: clients are then read before timers are looked at
LAG = 0.05  # seconds that a timer may come late before it is logged
BEFORE_A_FAULT = 200  # events of the trace that are written with a fault
HANG_UP_TIME = 0.3  # seconds that calls of the Flight front have when the router hangs up


def kinds_named(catalog: Mapping[str, object]) -> int:
    """How many kinds of machine the settings name; one where they tell none apart."""
    lists = (catalog.get(name) for name in ("kinds", "domain.kind_cores"))
    return max((len(found) for found in lists if isinstance(found, list)), default=1)


class Service:
    def __init__(
        self,
        station: Station,
        log: Log,
        lifecycle: Lifecycle,
        poller: Poller | None = None,
        clock: Clock | None = None,
        operator: Mapping[str, object] | None = None,
        read_operator: Callable[[], Mapping[str, object]] | None = None,
    ) -> None:
        """`operator`: what holds of the operator file; nothing of it is on without one. `read_operator` reads
        it again, and raises OperatorFileError where it can't be used."""
        self.station = station
        self.log = log
        self.lifecycle = lifecycle
        self.clock = clock = clock or Clock()
        self.start_times = EngineStartTimes(clock)
        self.kinds = kinds_named(station.catalog)
        self.poller = poller or Poller()
        self.rounds = RoundSchedule()
        self.trace = EventTrace()
        operator = operator or {}
        module = QueryScheduler(station.seed, station.catalog, clock())
        self.extension = self.router_extension(operator, module) if operator.get("peers") else None
        if self.extension is not None:
            module = self.extension.scheduler
        self.reducer = Reducer(module, station.catalog, station.sockets // 3)
        if self.extension is not None:
            self.extension.connect_endpoint_list(lambda: self.reducer.pool.list_offset)
            self.reducer.claims_idempotent = self.extension.claims_idempotent
            self.reducer.claims_non_idempotent = self.extension.claims_non_idempotent
        self.door = Door(
            station.sockets // 2,
            station.packet,
            self.poller,
            self.rounds,
            log,
            clock,
            left=self.gave_up,
            margin=self.reducer.loop_lag.answer_margin,
            passed=lambda session: self.handle(events.Passed(session)),
            unreadable=lambda session, why: self.handle(events.Spoilt(session, why)),
        )
        self.operator, self.read_operator = operator, read_operator
        self.links = self.engine_links(operator.get("engines", {}))
        self.flight = self.flight_front(operator["flight"]) if operator.get("flight") else None
        self.endpoint_watcher = EndpointWatcher(
            log,
            on_event=self.told,
            last_offset=lambda: max(self.reducer.pool.list_offset, self.station.offset),
            jittered=self.wait,
        )
        self.waits = 0
        self.queue: deque[events.Event] = deque()  # those that came of carrying out an earlier one
        self.handling = False
        self.signals = SignalReceiver(clock)
        self.looked_at = clock()  # when the poller was last asked
        self.alarm: int | None = None
        self.rings: int | None = None  # when ring() wakes by itself
        self.alarm_set = anyio.Event()
        self.shutdown: ShutdownSchedule | None = None
        self.dumped = 0  # when the trace was last written with a fault
        self.tasks: anyio.abc.TaskGroup

    def wait(self, seconds: float) -> float:
        """One wait of so many seconds in the mean, that does not end with those of other routers."""
        self.waits += 1
        chance = crc32(f"{self.station.seed}:wait:{self.waits}".encode()) / 2**32
        return jitter.randomized(int(seconds * SECOND), chance) / SECOND

    def engine_links(self, settings: Mapping[str, object]) -> Links:
        pool = self.reducer.pool
        if settings.get("protocol") != "flight":
            return Links(self.poller, self.log, self.handle, self.clock, self.wanted)
        from hillchute.engines.flight.links import Links as FlightLinks

        return FlightLinks(settings, self.log, self.handle, pool.connect_timeout, pool.silence_limit)

    def flight_front(self, settings: Mapping[str, object]):
        from hillchute.fronts.flight.server import Server

        return Server(settings, self.reducer.rules.groups, self.log, self.clock, self.handle)

    def router_extension(self, operator: Mapping[str, object], module: QueryScheduler) -> RouterExtension:
        from hillchute.router.peering import Peering

        return Peering(operator, self.station, module, self.log, self.handle, self.clock)

    def front(self, session: int):
        """Who has the client of a session: calls of the Flight front have their numbers above those of MySQL,
        and queries that other routers passed on above both."""
        if session >= FIRST_GUEST:
            return self.extension.forwarded_queries
        return self.door if self.flight is None or session < FIRST_CALL else self.flight

    # ---- events in, effects out -------------------------------------------------------------------

    def handle(self, event: events.Event) -> None:
        """One event after another: what follows from an effect waits until all effects before are out.

        Guards rule 1's bound on departed clients: what an event starts, it starts for clients that were there
        a moment ago, also where a timer or an engine's word comes first after a pause."""
        if not self.handling and self.clock() - self.looked_at > FRESH:
            self.notice_departures()
        self.queue.append(event)
        if not self.handling:
            self.handle_queue()

    def handle_queue(self) -> None:
        self.handling = True
        try:
            while self.queue:
                self.handle_one(self.queue.popleft())
        finally:
            self.handling = False

    def handle_one(self, event: events.Event) -> None:
        now = self.clock()
        self.trace.record(now, events.describe(event))
        sends: dict[int, list[words.Command]] = {}
        for effect in self.reducer.reduce(event, now):
            if isinstance(effect, SendCommand):
                sends.setdefault(effect.connection, []).append(effect.command)
            else:
                self.attempt(self.carry_out, effect)
        for line, commands in sends.items():
            self.attempt(self.links.send, line, commands)

    def attempt(self, work: Callable[..., None], *about: object) -> None:
        """A fault in one effect keeps none of the others from being carried out, nor ends the router."""
        try:
            work(*about)
        except Exception as fault:
            self.log.write(
                "fault", what=work.__name__, reason=repr(fault), trace=traceback.format_exc(limit=-6)
            )
            self.dump(BEFORE_A_FAULT)

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case SendResult(session, rows):
                self.front(session).finish(session, rows)
            case StartStream(session, stream):
                if session >= FIRST_GUEST:
                    self.extension.forwarded_queries.begin(session, stream)
                elif session < FIRST_CALL:
                    self.tasks.start_soon(self.pass_on, session, stream)
                else:
                    self.flight.begin(session, stream)
            case AbortStream(session, why):
                self.front(session).cut(session, why)
            case RejectQuery(session, after):
                self.front(session).defer(session, after)
            case FailQuery(session, why):
                self.front(session).kill(session, why)
            case OpenConnection(line, host, port):
                self.links.open(line, host, port, self.tasks)
            case CloseConnection(line):
                self.links.hang_up(line)
            case ClaimQuery() | EndClaim() | ForwardQuery() | CancelForward():
                self.extension.carry_out(effect)
            case SetAlarm(at):
                self.alarm = at
                if self.rings is None or at < self.rings:  # a later one is found when it wakes
                    self.alarm_set.set()
            case WriteLog(event, fields):
                self.log.write(event, **fields)
                if event == "fault":
                    self.dump(BEFORE_A_FAULT)

    async def pass_on(self, session: int, stream: words.Stream) -> None:
        """A fault in one stream ends that one alone."""
        try:
            await self.door.pass_on(session, stream)
        except BaseException as fault:
            if not isinstance(fault, Exception) and self.tasks.cancel_scope.cancel_called:
                raise
            self.log.write("fault", what=f"stream of {session}", reason=repr(fault))
            stream.close()
            self.handle(events.Spoilt(session, "a fault of ours"))

    def gave_up(self, session: int) -> None:
        """A client gave its query up, or is gone; the query may not have been handed on yet."""
        if not self.rounds.discard(session) and session in self.reducer.unanswered:
            self.handle(events.Left(session))

    def look(self) -> list[ReadySocket]:
        self.looked_at = self.clock()
        return self.poller.poll()

    def notice_departures(self) -> None:
        """Clients that have closed their connections are let go; all else waits for its turn in the round."""
        self.departures([ready for ready in self.look() if isinstance(ready.owner, Client)])

    def wanted(self, id: str) -> bool:
        """Whether the client of a query still waits, as of a look at its connection made just now."""
        if self.clock() - self.looked_at > FRESH:
            self.notice_departures()
        session = self.reducer.waiting_session(id)
        if session is None:
            return False
        return session >= FIRST_CALL or session in self.door.clients

    def told(self, news: event_bus.WatchEvent) -> None:
        """An update of the list of engines; their start times as this router's clock has them."""
        entries = []
        for entry in news.endpoints:
            listing = entry.listing
            started = self.start_times.to_router_clock(listing.engine, listing.started)
            listing = self.usable(listing._replace(started=started))
            entries.append(entry._replace(listing=listing))
        self.handle(events.EndpointsChanged(news._replace(endpoints=tuple(entries))))

    def usable(self, listing: Listing) -> Listing:
        """An engine of a kind that the settings do not name is no place for any query."""
        if listing.kind < self.kinds:
            return listing
        name = event_bus.engine_name(listing.engine)
        fault = UnknownEngineKindError(f"kind {listing.kind} of {self.kinds}", name)
        self.log.write("endpoint_unusable", **fault.log_fields)
        state = "Gone" if listing.state == "Gone" else "Terminating"
        return listing._replace(kind=0, state=state)

    def dump(self, last: int) -> None:
        """Writes the trace's last events, with faults once a second at the most."""
        now = self.clock()
        if now - self.dumped < SECOND:
            return
        self.dumped = now
        for part in self.trace.batches(last):
            self.log.write("trace", events=part)

    # ---- rounds -----------------------------------------------------------------------------------

    def round(self) -> None:
        """One turn through all that is ready, in the order and within the bounds of round_schedule.py."""
        rounds = self.rounds
        rounds.begin()
        began = self.clock()
        stale = began - self.looked_at > STALE
        links: list[ReadySocket] = []
        clients: list[ReadySocket] = []
        knocks = False
        for ready in self.look():
            if isinstance(ready.owner, Client):
                clients.append(ready)
            elif isinstance(ready.owner, Link):
                links.append(ready)
            else:
                knocks = True
        self.departures(clients)
        if stale:  # after a pause: who gave up meanwhile is heard before timers start anything
            self.read_clients(clients)
            clients = []
            if knocks:
                self.door.accept(rounds.accept_limit)
                knocks = not self.door.paused
        self.look_at_alarm(began)
        self.hear_engines(links, began)
        self.read_clients(clients)
        rounds.sockets_read(began, knocks or self.door.paused)
        start = self.clock()
        for taken, query in enumerate(rounds.take_queries(start)):
            now = self.clock()
            self.reducer.loop_lag.record_query_delay(now, now - query.ready_at)
            self.handle(events.Asked(query.session, query.request, query.received_at))
            if taken and now - start > QUERY_BUDGET:
                break
        if knocks:
            before = self.clock()
            rounds.connections_accepted(before, backlog_empty=self.door.accept(rounds.accept_limit))
        ended = self.clock()
        if ended - began > ENGINE_READ_BUDGET + QUERY_BUDGET:
            self.reducer.loop_lag.record_lag(ended, ended - began)

    def departures(self, clients: list[ReadySocket]) -> None:
        """All that have left are let go before anything follows from it: the place of one must not go to a
        query of another."""
        ended = [ready.owner for ready in clients if ready.ended]
        outer, self.handling = self.handling, True
        try:
            for client in ended:
                if not client.pipe.closed:
                    self.guarded(self.door.ended, client)
        finally:
            self.handling = outer
        if not outer:
            self.handle_queue()

    def hear_engines(self, links: list[ReadySocket], began: int) -> None:
        by_owner = {ready.owner: ready for ready in links}
        for n, link in enumerate(self.rounds.least_recently_served(by_owner)):
            if n and self.clock() - began > ENGINE_READ_BUDGET:
                self.rounds.work_left = True
                break
            link.served = self.rounds.number
            self.guarded(self.links.ready, link, by_owner[link].readable, by_owner[link].writable)

    def read_clients(self, clients: list[ReadySocket]) -> None:
        for n, ready in enumerate(clients):
            if n % CLIENTS == CLIENTS - 1:
                self.look_at_alarm(self.clock())
            if not ready.owner.pipe.closed:
                self.guarded(self.door.ready, *ready)

    def guarded(self, work: Callable[..., None], *about: object) -> None:
        """A fault in one session or connection ends that one alone."""
        try:
            work(*about)
        except Exception as fault:
            owner = about[0]
            self.log.write(
                "fault", what=type(owner).__name__, reason=repr(fault), trace=traceback.format_exc(limit=-6)
            )
            self.dump(BEFORE_A_FAULT)
            self.door.drop(owner) if isinstance(owner, Client) else self.links.lost(owner, "a fault of ours")

    def look_at_alarm(self, now: int) -> None:
        if self.alarm is not None and now >= self.alarm:
            if now - self.alarm > LAG * SECOND:
                self.log.write("loop_lag", ms=(now - self.alarm) / 10)
            self.alarm = None
            self.handle(events.AlarmDue())

    async def work(self) -> None:
        """Rounds without end. Between two of them signals, timers and the event bus have their turn."""
        while True:
            if self.rounds.idle:
                await self.poller.wait_until_ready()
            else:
                await anyio.lowlevel.checkpoint()
            self.round()

    # ---- the life of the program ------------------------------------------------------------------

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            for news in self.station.known:
                self.told(news)
            family = socket.AF_INET6 if ":" in self.station.host else socket.AF_INET
            address = (self.station.host, self.station.port)
            self.door.open(socket.create_server(address, family=family, backlog=LISTEN_BACKLOG))
            self.tasks.start_soon(self.signals.listen, self.on_signal)
            self.tasks.start_soon(self.ring)
            self.tasks.start_soon(self.sweep)
            self.endpoint_watcher.watch(self.station.bus, self.tasks)
            self.tasks.start_soon(self.work)
            if self.flight is not None:
                await self.flight.open()
            if self.extension is not None:
                self.extension.open(self.tasks)
            gc.collect()
            gc.freeze()  # what the start has made lives to the end: no later collection need look at it
            gc.set_threshold(*COLLECT)
            self.lifecycle.enter(Phase.SERVING)
            await self.lifecycle.wait_for(Phase.CLOSING)
            self.leave()
            while self.step_out() is not ShutdownStep.EXIT:
                await anyio.sleep(STEP)
            if self.flight is not None:
                await self.flight.close(HANG_UP_TIME)
            if self.extension is not None:
                await self.extension.hand_over()
            self.tasks.cancel_scope.cancel()
        self.lifecycle.enter(Phase.STOPPED)

    def leave(self) -> None:
        """The router was told to end."""
        signalled = self.signals.arrivals.get(signal.SIGTERM, self.clock())
        self.shutdown = ShutdownSchedule(signalled, self.station.closing, self.reducer.loop_lag.worst)
        ago, left = self.clock() - signalled, self.shutdown.exit_by - self.clock()
        self.log.write("shutdown", signalled_ms_ago=ago / 10, exit_in_ms=left / 10)
        self.handle(events.ShutdownStarted(self.shutdown.answer_by))
        if self.extension is not None:
            self.extension.begin_shutdown()

    def step_out(self) -> ShutdownStep:
        """How far the end has come, as of a round made now: only that sees what the kernel holds."""
        self.round()
        seen = self.client_activity()
        if self.shutdown.sessions_closed_at is None and self.shutdown.may_close_sessions(seen):
            # What the kernel holds at this moment is taken in and, if need be, waited for.
            self.door.accept(LISTEN_BACKLOG)
            self.round()
            seen = self.client_activity()
        step = self.shutdown.next_step(seen, len(self.door.clients))
        if step is not ShutdownStep.ACCEPT and self.lifecycle.enter(Phase.FLUSHING):
            self.refuse_the_rest()
            self.door.close()
        if step is ShutdownStep.CLOSE_SESSIONS:
            self.door.hang_up()  # also those whose last bytes have gone out meanwhile
        return step

    def client_activity(self) -> ClientActivity:
        """What is known of the clients as of the last round."""
        open = len(self.reducer.unanswered) + len(self.rounds.pending)
        return ClientActivity(self.clock(), self.rounds.last_client_activity, open, self.door.owed())

    def refuse_the_rest(self) -> None:
        """Queries that were read and not handed on: a key's order could not be told in time."""
        for session in list(self.rounds.pending):
            self.rounds.discard(session)
            self.front(session).defer(session, 0)

    def on_signal(self, number: int) -> None:
        """Does what a signal asks for; a second SIGTERM changes nothing."""
        self.log.write("signal", number=int(number))
        if number == signal.SIGUSR1:
            for part in self.trace.batches():
                self.log.write("trace", events=part)
        elif number != signal.SIGHUP:
            self.lifecycle.enter(Phase.CLOSING)
        elif self.lifecycle.phase in (Phase.CLOSING, Phase.FLUSHING):
            self.reload()  # the endpoint list matters until the last answer
        elif self.lifecycle.enter(Phase.RELOADING):
            self.reload()
            self.lifecycle.enter(Phase.SERVING)

    def reload(self) -> None:
        """A new configuration under load. One that can't be read changes nothing."""
        try:
            station = config.read()
        except ConfigurationError as fault:
            self.log.write("reload", kept="the running configuration", reason=str(fault), **fault.log_fields)
            return
        restart = config.needs_restart(self.station, station)
        if self.read_operator is not None:
            try:
                restart += self.renew(self.read_operator())
            except ValueError as fault:
                told = fault.log_fields if isinstance(fault, HillchuteError) else {}
                self.log.write("reload", kept="the running operator file", reason=str(fault), **told)
        self.log.write("reload", bus=list(station.bus), needs_restart=restart)
        self.station = self.station._replace(bus=station.bus)
        for news in station.known:
            self.told(news)
        self.endpoint_watcher.watch(self.station.bus, self.tasks)

    def renew(self, operator: Mapping[str, object]) -> list[str]:
        """An operator file read again: what moves under load is moved, the paths of the rest are given."""
        restart = [key for key in ("engines", "log") if operator[key] != self.operator[key]]
        before, after = self.operator.get("flight"), operator.get("flight")
        if self.flight is not None and after is not None:
            restart += [f"flight.{key}" for key in self.flight.renew(after)]
        elif before != after:
            restart.append("flight")
        before, after = self.operator.get("peers"), operator.get("peers")
        if self.extension is not None and after is not None:
            restart += self.extension.reload(operator)
        elif before != after:
            restart.append("peers")
        self.operator = operator
        return restart

    async def ring(self) -> None:
        """Sees to the alarm where no socket is ready."""
        while True:
            self.alarm_set = anyio.Event()
            self.rings = self.alarm
            wait = 3600.0 if self.alarm is None else (self.alarm - self.clock()) / SECOND
            if wait > 0:
                with anyio.move_on_after(wait):
                    await self.alarm_set.wait()
            if self.alarm is not None and self.clock() >= self.alarm:
                self.round()  # not the alarm alone: clients that have left are heard first
            self.log.flush()

    async def sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP)
            self.door.sweep()
