"""The running router: builds its components, runs them from start to exit, and handles signals.

Components know each other only through what this module passes to them. The event loop runs the rounds, the
effect executor receives events and carries out effects, the reducer holds all query state, and the scheduler
decides.
"""

import gc
import signal
import socket

import anyio
import anyio.abc

from hillchute.decision.interface import QueryId
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery.watcher import EndpointWatcher
from hillchute.engines.events import SendObstacle
from hillchute.engines.line.links import LineConnections
from hillchute.fronts.events import FIRST_FLIGHT_SESSION, ClientGone, StreamDelivered, StreamUnreadable
from hillchute.fronts.mysql.door import MysqlFrontend
from hillchute.log import Log
from hillchute.net.clock import Clock, EngineStartTimes
from hillchute.net.fault_barrier import FaultBarrier
from hillchute.net.poller import Poller
from hillchute.router.alarm import Alarm
from hillchute.router.config import RouterConfiguration
from hillchute.router.effect_executor import EffectExecutor
from hillchute.router.endpoint_updates import EndpointUpdates
from hillchute.router.event_loop import EventLoop
from hillchute.router.event_trace import EventTrace
from hillchute.router.events import Event
from hillchute.router.fault_log import FaultLog
from hillchute.router.graceful_shutdown import GracefulShutdown
from hillchute.router.integrations.interface import RouterExtension
from hillchute.router.interfaces import EngineLinks, FlightFrontend
from hillchute.router.lifecycle import Lifecycle, Phase
from hillchute.router.reducer import Reducer
from hillchute.router.reload import NO_OPERATOR_FILE, ConfigurationReloader, OperatorFile, OperatorSettings
from hillchute.router.retry_delays import RetryDelays
from hillchute.router.round_schedule import LISTEN_BACKLOG, RoundSchedule
from hillchute.router.shutdown import ShutdownStep
from hillchute.router.signal_handling import SignalReceiver

SHUTDOWN_STEP_INTERVAL = 0.01  # seconds between two steps of the shutdown
FLIGHT_CLOSE_GRACE = 0.3  # seconds that open calls of the Flight SQL frontend get at shutdown
# Garbage collection thresholds by generation; a few queries reach the interpreter's default of 700 objects.
GC_THRESHOLDS = (10_000, 10, 10)


class Service:
    """One router.

    Components call back through methods of this class, since each needs others that are built after it.
    """

    tasks: anyio.abc.TaskGroup
    """The task group of all tasks of the router, set by attach_tasks()."""

    def __init__(
        self,
        configuration: RouterConfiguration,
        log: Log,
        *,
        poller: Poller | None = None,
        clock: Clock | None = None,
        operator_file: OperatorFile = NO_OPERATOR_FILE,
    ) -> None:
        """`poller` and `clock` default to the system's.

        Raises HillchuteError or OSError if a key, disk or address of an optional component can't be used.
        """
        self.configuration = configuration  # as read at startup; the reloader has the one in force
        self.log = log
        self.poller = poller or Poller()
        self.clock = clock = clock or Clock()
        self.lifecycle = Lifecycle(log)
        self.signals = SignalReceiver(clock)
        self.rounds = RoundSchedule()
        self.alarm = Alarm(clock)
        self.trace = EventTrace()
        self.faults = FaultLog(log, self.trace, clock)
        settings = operator_file.settings
        local_scheduler = QueryScheduler(configuration.seed, configuration.settings, clock())
        self.extension = self._build_extension(settings, local_scheduler)
        scheduler = local_scheduler if self.extension is None else self.extension.scheduler
        self.reducer = Reducer(scheduler, configuration.settings, configuration.max_engine_connections)
        if self.extension is not None:
            self._connect_extension(self.extension)
        self.mysql_frontend = self._build_mysql_frontend()
        self.links = self._build_links(settings.get("engines", {}))
        self.flight = self._build_flight_frontend(settings.get("flight"))
        self.executor = self._build_executor()
        self.event_loop = self._build_event_loop()
        self.endpoint_updates = self._build_endpoint_updates()
        self.endpoint_watcher = self._build_endpoint_watcher()
        self.reloader = self._build_reloader(operator_file)
        self.shutdown = self._build_shutdown()

    # ---- components -------------------------------------------------------------------------------

    def _build_extension(
        self, settings: OperatorSettings, scheduler: QueryScheduler
    ) -> RouterExtension | None:
        if not settings.get("peers"):
            return None
        from hillchute.router.integrations.peers import PeerExtension, RouterContext

        router = RouterContext(
            configuration=self.configuration,
            log=self.log,
            handle=self.handle,
            clock=self.clock,
            on_fault=self.faults.write,
        )
        return PeerExtension(operator=settings, router=router, scheduler=scheduler)

    def _connect_extension(self, extension: RouterExtension) -> None:
        extension.connect_endpoint_list(self.endpoint_list_offset)
        self.reducer.claims_idempotent = extension.claims_idempotent
        self.reducer.claims_non_idempotent = extension.claims_non_idempotent

    def _build_mysql_frontend(self) -> MysqlFrontend:
        return MysqlFrontend(
            self.configuration.max_connected_sessions,
            self.configuration.max_packet_bytes,
            self.poller,
            self.rounds,
            self.log,
            self.clock,
            on_client_gone=self.on_client_gone,
            answer_margin=self.reducer.loop_lag.answer_margin,
            on_stream_delivered=self.on_stream_delivered,
            on_stream_unreadable=self.on_stream_unreadable,
            on_fault=self.faults.write,
        )

    def _build_links(self, settings: OperatorSettings) -> EngineLinks:
        if settings.get("protocol") != "flight":
            return LineConnections(self.poller, self.log, self.handle, self.clock, self.send_obstacle)
        from hillchute.engines.flight.links import ConnectionCallbacks, ConnectionLimits, FlightConnections

        pool = self.reducer.pool
        limits = ConnectionLimits(pool.connect_timeout, pool.silence_limit)
        callbacks = ConnectionCallbacks(self.handle, self.send_obstacle, self.faults.write)
        return FlightConnections(settings, self.log, limits, callbacks)

    def _build_flight_frontend(self, settings: OperatorSettings | None) -> FlightFrontend | None:
        if not settings:
            return None
        from hillchute.fronts.flight.server import Server

        groups = self.reducer.rules.groups
        max_connections = self.configuration.max_flight_connections
        return Server(settings, groups, self.log, self.clock, self.handle, self.faults.write, max_connections)

    def _build_executor(self) -> EffectExecutor:
        return EffectExecutor(
            reducer=self.reducer,
            mysql_frontend=self.mysql_frontend,
            flight=self.flight,
            extension=self.extension,
            links=self.links,
            alarm=self.alarm,
            trace=self.trace,
            faults=self.faults,
            log=self.log,
            clock=self.clock,
        )

    def _build_event_loop(self) -> EventLoop:
        return EventLoop(
            poller=self.poller,
            mysql_frontend=self.mysql_frontend,
            line_links=self.links if isinstance(self.links, LineConnections) else None,
            rounds=self.rounds,
            loop_lag=self.reducer.loop_lag,
            alarm=self.alarm,
            executor=self.executor,
            faults=self.faults,
            log=self.log,
            clock=self.clock,
            handle=self.handle,
        )

    def _build_endpoint_updates(self) -> EndpointUpdates:
        return EndpointUpdates(
            start_times=EngineStartTimes(self.clock),
            machine_kinds=self.configuration.settings.named_engine_kinds,
            log=self.log,
            handle=self.handle,
        )

    def _build_endpoint_watcher(self) -> EndpointWatcher:
        return EndpointWatcher(
            self.log,
            on_event=self.endpoint_updates.on_watch_event,
            last_offset=self.last_watch_offset,
            jittered=RetryDelays(self.configuration.seed).next_delay,
            on_fault=self.faults.write,
        )

    def _build_reloader(self, operator_file: OperatorFile) -> ConfigurationReloader:
        return ConfigurationReloader(
            configuration=self.configuration,
            operator_file=operator_file,
            endpoint_updates=self.endpoint_updates,
            endpoint_watcher=self.endpoint_watcher,
            flight=self.flight,
            extension=self.extension,
            log=self.log,
        )

    def _build_shutdown(self) -> GracefulShutdown:
        return GracefulShutdown(
            longest_timeout=self.configuration.max_shutdown_time,
            event_loop=self.event_loop,
            executor=self.executor,
            reducer=self.reducer,
            rounds=self.rounds,
            mysql_frontend=self.mysql_frontend,
            extension=self.extension,
            signals=self.signals,
            lifecycle=self.lifecycle,
            faults=self.faults,
            log=self.log,
            clock=self.clock,
            handle=self.handle,
        )

    # ---- callbacks of the components --------------------------------------------------------------

    def handle(self, event: Event) -> None:
        """Handles one event of any component.

        Polls first if the last poll is not recent, so that nothing is started for clients that left before,
        even if a timer or an engine's message comes first after a pause.
        """
        if not self.executor.busy:
            self.event_loop.drop_disconnected_clients()
        self.executor.handle(event)

    def on_client_gone(self, session: int) -> None:
        """Handles a client that cancelled its query, which may not have been taken yet, or disconnected."""
        if not self.rounds.discard(session) and session in self.reducer.unanswered:
            self.handle(ClientGone(session))

    def on_stream_delivered(self, session: int) -> None:
        """Handles a stream that was delivered completely."""
        self.handle(StreamDelivered(session))

    def on_stream_unreadable(self, session: int, reason: str) -> None:
        """Handles a stream that can't be read while it is passed on to a client."""
        self.handle(StreamUnreadable(session, reason))

    def send_obstacle(self, connection: int, query_id: QueryId) -> SendObstacle | None:
        """Returns why a run must not be sent any more, by what a recent poll has shown; None if it may be."""
        self.event_loop.drop_disconnected_clients()
        session = self.reducer.waiting_session(query_id)
        is_mysql = session is not None and session < FIRST_FLIGHT_SESSION
        if session is None or (is_mysql and session not in self.mysql_frontend.clients):
            return SendObstacle.CLIENT_LEFT
        return self.reducer.send_obstacle(connection, query_id, self.clock())

    def endpoint_list_offset(self) -> int:
        """Returns the offset of the last watch event that was applied."""
        return self.reducer.pool.list_offset

    def last_watch_offset(self) -> int:
        """Returns the offset to resume the event bus after: the configuration's until an event is applied."""
        return max(self.endpoint_list_offset(), self.configuration.initial_offset)

    # ---- lifecycle --------------------------------------------------------------------------------

    def attach_tasks(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sets the task group of the components; must be called before the first event."""
        self.tasks = tasks
        self.executor.tasks = tasks

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        Raises an exception group with an OSError if an address is in use, and with the errors of other tasks.
        """
        async with anyio.create_task_group() as tasks:
            self.attach_tasks(tasks)
            await self._start()
            self.lifecycle.enter(Phase.SERVING)
            await self.lifecycle.wait_for(Phase.CLOSING)
            self.shutdown.begin()
            while self.shutdown.advance() is not ShutdownStep.EXIT:
                await anyio.sleep(SHUTDOWN_STEP_INTERVAL)
            await self._close_optional_parts()
            tasks.cancel_scope.cancel()
        self.lifecycle.enter(Phase.STOPPED)

    async def _start(self) -> None:
        for update in self.configuration.initial_watch_events:
            self.endpoint_updates.on_watch_event(update)
        family = socket.AF_INET6 if ":" in self.configuration.host else socket.AF_INET
        address = (self.configuration.host, self.configuration.port)
        self.mysql_frontend.open(socket.create_server(address, family=family, backlog=LISTEN_BACKLOG))
        self.tasks.start_soon(self.signals.listen, self.on_signal)
        self.tasks.start_soon(self.event_loop.run_alarm)
        self.tasks.start_soon(self.event_loop.run_sweep)
        self.endpoint_watcher.watch(self.configuration.event_bus_address, self.tasks)
        self.tasks.start_soon(self.event_loop.run)
        if self.flight is not None:
            await self.flight.open()
        if self.extension is not None:
            self.extension.open(self.tasks)
        gc.collect()
        gc.freeze()  # objects made at startup live until exit; later collections can skip them
        gc.set_threshold(*GC_THRESHOLDS)

    async def _close_optional_parts(self) -> None:
        if self.flight is not None:
            with FaultBarrier("close_flight", self.faults.write):
                await self.flight.close(FLIGHT_CLOSE_GRACE)
        if self.extension is not None:
            with FaultBarrier("hand_over", self.faults.write):
                await self.extension.hand_over()

    def on_signal(self, number: int) -> None:
        """Handles a signal; a second SIGTERM has no effect. An exception in it is logged, nothing ends."""
        with FaultBarrier("signal", self.faults.write):
            self._handle_signal(number)

    def _handle_signal(self, number: int) -> None:
        self.log.write("signal", number=int(number))
        if number == signal.SIGUSR1:
            for batch in self.trace.batches():
                self.log.write("trace", events=batch)
        elif number != signal.SIGHUP:
            self.lifecycle.enter(Phase.CLOSING)
        elif self.lifecycle.phase in (Phase.CLOSING, Phase.FLUSHING):
            self.reloader.reload(self.tasks)  # the endpoint list is needed until the last answer
        elif self.lifecycle.enter(Phase.RELOADING):
            try:
                self.reloader.reload(self.tasks)
            finally:
                self.lifecycle.enter(Phase.SERVING)
