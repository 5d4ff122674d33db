"""The event loop: rounds over all ready sockets, the alarm, and the sweep of slow sessions.

A round is synchronous code that never waits, so that tests can run it with simulated clocks and sockets. Its
order and bounds are defined in round_schedule.py. Makes no decisions and keeps no query state. Times are
integers in tenths of a millisecond unless stated otherwise.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
import anyio.lowlevel

from hillchute.decision.interface import MILLISECOND, Time
from hillchute.engines.line.links import LineConnection, LineConnections
from hillchute.fronts.events import QueryReceived
from hillchute.fronts.mysql.door import Client, MysqlFrontend
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.net.fault_barrier import FaultBarrier
from hillchute.net.poller import Poller, ReadySocket
from hillchute.router.alarm import Alarm
from hillchute.router.effect_executor import EffectExecutor
from hillchute.router.events import AlarmDue, Event
from hillchute.router.fault_log import FaultLog
from hillchute.router.loop_lag import LoopLag
from hillchute.router.round_schedule import ENGINE_READ_BUDGET, QUERY_BUDGET, RoundSchedule

SWEEP_INTERVAL = 0.1  # seconds between two checks for sessions that exceed the limit of 2 s for one step
CLIENTS_PER_ALARM_CHECK = 32  # clients read between two checks of the alarm: about 2 ms
MAX_POLL_AGE: Time = 200  # 20 ms: events that come later than this after a poll trigger another
PAUSE_THRESHOLD: Time = 500  # 50 ms without a poll: clients are then read before the alarm is handled
LOGGED_ALARM_LAG: Time = 500  # 50 ms: alarms handled later than this are logged


class ReadySockets(NamedTuple):
    """The ready sockets of one poll, by owner, in the kernel's order."""

    clients: dict[Client, ReadySocket]
    links: dict[LineConnection, ReadySocket]
    listener: bool  # new connections are in the backlog


@dataclass(eq=False, kw_only=True)
class EventLoop:
    """Runs rounds: round() runs one, run() one after another.

    An exception in one session or connection is logged and ends only that session or connection; one in
    another step of a round ends only that step. Only a poller that fails ends run().
    """

    poller: Poller
    mysql_frontend: MysqlFrontend
    # None if engines speak another protocol, whose sockets are not in the poller.
    line_links: LineConnections | None
    rounds: RoundSchedule
    loop_lag: LoopLag
    alarm: Alarm
    executor: EffectExecutor
    faults: FaultLog
    log: Log
    clock: Clock
    handle: Callable[[Event], None]  # Service.handle
    polled_at: Time = field(init=False)  # time of the last poll

    def __post_init__(self) -> None:
        self.polled_at = self.clock()

    # ---- tasks ------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Runs rounds forever; signals, timers and the event bus are served between two rounds."""
        while True:
            if self.rounds.idle:
                await self.poller.wait_until_ready()
            else:
                await anyio.lowlevel.checkpoint()
            self.round()

    async def run_alarm(self) -> None:
        """Handles the alarm also while no socket is ready, forever."""
        while True:
            await self.alarm.wait()
            if self.alarm.due_at is not None and self.clock() >= self.alarm.due_at:
                self.round()  # a whole round, so that disconnected clients are dropped first
            self.log.flush()

    async def run_sweep(self) -> None:
        """Ends sessions that exceed the time limit of one protocol step, forever."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL)
            with FaultBarrier("sweep", self.faults.write):
                self.mysql_frontend.sweep()

    # ---- rounds -----------------------------------------------------------------------------------

    def round(self) -> None:
        """Serves all ready sockets once, in the order and within the bounds of round_schedule.py."""
        self.rounds.begin()
        began = self.clock()
        paused = began - self.polled_at > PAUSE_THRESHOLD
        clients, links, listener_ready = self._poll()
        self._drop_disconnected(clients)
        if paused:  # clients that left during the pause are dropped before timers start work for them
            self._read_clients(clients)
            clients = {}
            if listener_ready:
                self._accept()
                listener_ready = not self.mysql_frontend.paused
        self.check_alarm(began)
        self._read_engines(links, began)
        self._read_clients(clients)
        self.rounds.record_sockets_read(began, listener_ready or self.mysql_frontend.paused)
        with FaultBarrier("take_queries", self.faults.write):
            self._take_queries()
        if listener_ready:
            before = self.clock()
            backlog_empty = self._accept()
            self.rounds.record_connections_accepted(before, backlog_empty=backlog_empty)
        ended = self.clock()
        if ended - began > ENGINE_READ_BUDGET + QUERY_BUDGET:
            self.loop_lag.record_lag(ended, ended - began)

    def _accept(self) -> bool:
        """Accepts connections up to this round's limit; returns whether the backlog is empty."""
        with FaultBarrier("accept", self.faults.write):
            return self.mysql_frontend.accept(self.rounds.accept_limit)
        return False

    def _poll(self) -> ReadySockets:
        self.polled_at = self.clock()
        clients: dict[Client, ReadySocket] = {}
        links: dict[LineConnection, ReadySocket] = {}
        listener = False
        for ready in self.poller.poll():
            owner = ready.owner
            if isinstance(owner, Client):
                clients[owner] = ready
            elif isinstance(owner, LineConnection):
                links[owner] = ready
            else:
                listener = True
        return ReadySockets(clients, links, listener)

    def drop_disconnected_clients(self) -> None:
        """Drops clients that have closed their connections, unless the last poll was within MAX_POLL_AGE.

        Other input is left for the next round.
        """
        if self.clock() - self.polled_at > MAX_POLL_AGE:
            self._drop_disconnected(self._poll().clients)

    def _drop_disconnected(self, clients: dict[Client, ReadySocket]) -> None:
        """Drops all disconnected clients before handling the resulting events.

        Otherwise the capacity that one frees could go to a query of another disconnected client.
        """
        disconnected = [client for client, ready in clients.items() if ready.ended]
        if not disconnected:
            return
        with self.executor.events_held():
            for client in disconnected:
                if client.buffered_socket.closed:
                    continue
                try:
                    self.mysql_frontend.ended(client)
                except Exception as error:  # noqa: BLE001 - an exception ends only this session
                    self.mysql_frontend.end_faulty_session(client, error)

    def _read_clients(self, clients: dict[Client, ReadySocket]) -> None:
        for count, (client, ready) in enumerate(clients.items(), start=1):
            if count % CLIENTS_PER_ALARM_CHECK == 0:
                self.check_alarm(self.clock())
            if client.buffered_socket.closed:
                continue
            try:
                self.mysql_frontend.ready(client, ready.readable, ready.writable, ready.ended)
            except Exception as error:  # noqa: BLE001 - an exception ends only this session
                self.mysql_frontend.end_faulty_session(client, error)

    def _read_engines(self, links: dict[LineConnection, ReadySocket], began: Time) -> None:
        """Reads engine connections, least recently served first, until the budget since `began` is spent."""
        if self.line_links is None:
            return
        for count, link in enumerate(self.rounds.least_recently_served(links)):
            if count and self.clock() - began > ENGINE_READ_BUDGET:
                self.rounds.work_left = True
                break
            link.last_served_round = self.rounds.number
            ready = links[link]
            try:
                self.line_links.ready(link, ready.readable, ready.writable)
            except Exception as error:  # noqa: BLE001 - an exception ends only this connection
                self.faults.write(type(link).__name__, error)
                with FaultBarrier("drop_connection", self.faults.write):
                    self.line_links.drop(link, "internal error")

    def _take_queries(self) -> None:
        """Takes due queries, at least one if there are any, until the time budget is spent."""
        began = self.clock()
        for count, query in enumerate(self.rounds.take_queries(began)):
            self.drop_disconnected_clients()
            if query.session not in self.mysql_frontend.clients:
                continue  # its client was dropped after the query was taken from the schedule
            now = self.clock()
            self.loop_lag.record_query_delay(now, now - query.ready_at)
            self.handle(QueryReceived(query.session, query.request, query.received_at))
            if count and now - began > QUERY_BUDGET:
                break

    def check_alarm(self, now: Time) -> None:
        """Handles the alarm if it is due."""
        due_at = self.alarm.due_at
        if due_at is None or now < due_at:
            return
        lag = now - due_at
        if lag > LOGGED_ALARM_LAG:
            self.log.write("loop_lag", ms=lag / MILLISECOND)
        self.alarm.clear()
        with FaultBarrier("alarm", self.faults.write):
            self.handle(AlarmDue())
