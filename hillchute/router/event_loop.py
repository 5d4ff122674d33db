"""The event loop: rounds over all sockets that are ready, the alarm, and the sweep of slow sessions.

A round is plain code without a wait in it, so that it can be driven under a clock and sockets that are not
real; its order and bounds are those of round_schedule.py. Decides nothing and keeps no state of queries.
Times are whole tenths of a millisecond where nothing else is said.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
import anyio.lowlevel

from hillchute.decision.interface import MILLISECOND, Time
from hillchute.engines.line.links import Link, Links
from hillchute.fronts.events import Asked
from hillchute.fronts.mysql.door import Client, Door
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.net.poller import Poller, ReadySocket
from hillchute.router.alarm import Alarm
from hillchute.router.effect_executor import EffectExecutor
from hillchute.router.events import AlarmDue, Event
from hillchute.router.fault_log import FaultLog
from hillchute.router.loop_lag import LoopLag
from hillchute.router.round_schedule import ENGINE_READ_BUDGET, QUERY_BUDGET, RoundSchedule

SWEEP_INTERVAL = 0.1  # seconds between two looks for sessions too long in one step, whose limit is 2 s
CLIENTS_PER_ALARM_CHECK = 32  # clients read between two looks at the alarm: about 2 ms
PAUSE_THRESHOLD: Time = 500  # 50 ms without a poll: clients are then read before the alarm is acted on
LOGGED_ALARM_LAG: Time = 500  # 50 ms: an alarm that is acted on later than that is logged


class ReadySockets(NamedTuple):
    """What one poll has found, by owner, in the kernel's order."""

    clients: dict[Client, ReadySocket]
    links: dict[Link, ReadySocket]
    listener: bool  # the kernel holds new connections


@dataclass(eq=False, kw_only=True)
class EventLoop:
    """Makes rounds: round() makes one, run() one after another.

    A fault in one session or connection is logged and ends that one alone.
    """

    poller: Poller
    door: Door
    line_links: Links | None  # None: engines speak another protocol, on sockets that the poller does not have
    rounds: RoundSchedule
    loop_lag: LoopLag
    alarm: Alarm
    executor: EffectExecutor
    faults: FaultLog
    log: Log
    clock: Clock
    handle: Callable[[Event], None]  # Service.handle
    polled_at: Time = field(init=False)  # when the poller was last asked

    def __post_init__(self) -> None:
        self.polled_at = self.clock()

    # ---- tasks ------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Rounds without end. Between two of them signals, timers and the event bus have their turn."""
        while True:
            if self.rounds.idle:
                await self.poller.wait_until_ready()
            else:
                await anyio.lowlevel.checkpoint()
            self.round()

    async def run_alarm(self) -> None:
        """Acts on the alarm where no socket is ready, without end."""
        while True:
            await self.alarm.wait()
            if self.alarm.due_at is not None and self.clock() >= self.alarm.due_at:
                self.round()  # not the alarm alone: clients that have left are noticed first
            self.log.flush()

    async def run_sweep(self) -> None:
        """Ends sessions that are too long in one step of their protocol, without end."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL)
            self.door.sweep()

    # ---- rounds -----------------------------------------------------------------------------------

    def round(self) -> None:
        """One turn through all that is ready, in the order and within the bounds of round_schedule.py."""
        self.rounds.begin()
        began = self.clock()
        paused = began - self.polled_at > PAUSE_THRESHOLD
        clients, links, listener_ready = self._poll()
        self._drop_departed(clients)
        if paused:  # who gave up meanwhile is noticed before timers start anything
            self._read_clients(clients)
            clients = {}
            if listener_ready:
                self.door.accept(self.rounds.accept_limit)
                listener_ready = not self.door.paused
        self.check_alarm(began)
        self._read_engines(links, began)
        self._read_clients(clients)
        self.rounds.sockets_read(began, listener_ready or self.door.paused)
        self._take_queries()
        if listener_ready:
            before = self.clock()
            backlog_empty = self.door.accept(self.rounds.accept_limit)
            self.rounds.connections_accepted(before, backlog_empty=backlog_empty)
        ended = self.clock()
        if ended - began > ENGINE_READ_BUDGET + QUERY_BUDGET:
            self.loop_lag.record_lag(ended, ended - began)

    def _poll(self) -> ReadySockets:
        self.polled_at = self.clock()
        clients: dict[Client, ReadySocket] = {}
        links: dict[Link, ReadySocket] = {}
        listener = False
        for ready in self.poller.poll():
            owner = ready.owner
            if isinstance(owner, Client):
                clients[owner] = ready
            elif isinstance(owner, Link):
                links[owner] = ready
            else:
                listener = True
        return ReadySockets(clients, links, listener)

    def notice_departures(self) -> None:
        """Drops clients that have closed their connections; all else waits for its turn in the round."""
        self._drop_departed(self._poll().clients)

    def _drop_departed(self, clients: dict[Client, ReadySocket]) -> None:
        """All that have left are dropped before anything follows from it: the place of one must not go to a
        query of another."""
        departed = [client for client, ready in clients.items() if ready.ended]
        if not departed:
            return
        with self.executor.events_held():
            for client in departed:
                if client.pipe.closed:
                    continue
                try:
                    self.door.ended(client)
                except Exception as error:  # noqa: BLE001 - a fault in one session ends that one alone
                    self._end_faulty_session(client, error)

    def _read_clients(self, clients: dict[Client, ReadySocket]) -> None:
        for count, (client, ready) in enumerate(clients.items(), start=1):
            if count % CLIENTS_PER_ALARM_CHECK == 0:
                self.check_alarm(self.clock())
            if client.pipe.closed:
                continue
            try:
                self.door.ready(client, ready.readable, ready.writable, ready.ended)
            except Exception as error:  # noqa: BLE001 - a fault in one session ends that one alone
                self._end_faulty_session(client, error)

    def _end_faulty_session(self, client: Client, error: Exception) -> None:
        self.faults.write(type(client).__name__, error)
        self.door.drop(client)

    def _read_engines(self, links: dict[Link, ReadySocket], began: Time) -> None:
        """Reads engines, the least recently served first, until the budget since `began` is used up."""
        if self.line_links is None:
            return
        for count, link in enumerate(self.rounds.least_recently_served(links)):
            if count and self.clock() - began > ENGINE_READ_BUDGET:
                self.rounds.work_left = True
                break
            link.served = self.rounds.number
            ready = links[link]
            try:
                self.line_links.ready(link, ready.readable, ready.writable)
            except Exception as error:  # noqa: BLE001 - a fault in one connection ends that one alone
                self.faults.write(type(link).__name__, error)
                self.line_links.lost(link, "a fault of ours")

    def _take_queries(self) -> None:
        """Takes the queries whose turn it is, one at least, until the budget is used up."""
        began = self.clock()
        for count, query in enumerate(self.rounds.take_queries(began)):
            now = self.clock()
            self.loop_lag.record_query_delay(now, now - query.ready_at)
            self.handle(Asked(query.session, query.request, query.received_at))
            if count and now - began > QUERY_BUDGET:
                break

    def check_alarm(self, now: Time) -> None:
        """Acts on the alarm if it is due."""
        due_at = self.alarm.due_at
        if due_at is None or now < due_at:
            return
        lag = now - due_at
        if lag > LOGGED_ALARM_LAG:
            self.log.write("loop_lag", ms=lag / MILLISECOND)
        self.alarm.clear()
        self.handle(AlarmDue())
