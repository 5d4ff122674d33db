"""The graceful shutdown: carries out the steps that shutdown.py schedules.

Runs between rounds of the event loop until all clients are answered and their connections are closed.
"""

import signal
from collections.abc import Callable
from dataclasses import dataclass, field

from hillchute.decision.interface import MILLISECOND, Time
from hillchute.fronts.mysql.door import MysqlFrontend
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.net.fault_barrier import FaultBarrier
from hillchute.router.effect_executor import EffectExecutor
from hillchute.router.event_loop import EventLoop
from hillchute.router.events import Event, ShutdownStarted
from hillchute.router.fault_log import FaultLog
from hillchute.router.integrations.interface import RouterExtension
from hillchute.router.lifecycle import Lifecycle, Phase
from hillchute.router.reducer import Reducer
from hillchute.router.round_schedule import LISTEN_BACKLOG, RoundSchedule
from hillchute.router.shutdown import ClientActivity, ShutdownSchedule, ShutdownStep
from hillchute.router.signal_handling import SignalReceiver


@dataclass(eq=False, kw_only=True)
class GracefulShutdown:
    """One shutdown: call begin(), then advance() repeatedly until it returns EXIT."""

    longest_timeout: Time  # of a client; the shutdown waits no longer than this
    event_loop: EventLoop
    executor: EffectExecutor
    reducer: Reducer
    rounds: RoundSchedule
    mysql_frontend: MysqlFrontend
    extension: RouterExtension | None
    signals: SignalReceiver
    lifecycle: Lifecycle
    faults: FaultLog
    log: Log
    clock: Clock
    handle: Callable[[Event], None]  # Service.handle
    schedule: ShutdownSchedule | None = field(init=False, default=None)  # None before begin()

    def begin(self) -> None:
        """Sets the schedule, counted from the arrival of SIGTERM; notifies the reducer and other routers."""
        signalled_at = self.signals.arrivals.get(signal.SIGTERM, self.clock())
        schedule = ShutdownSchedule(signalled_at, self.longest_timeout, self.reducer.loop_lag.peak_lag)
        self.schedule = schedule
        signalled_ms_ago = (self.clock() - signalled_at) / MILLISECOND
        exit_in_ms = (schedule.exit_by - self.clock()) / MILLISECOND
        self.log.write("shutdown", signalled_ms_ago=signalled_ms_ago, exit_in_ms=exit_in_ms)
        self.handle(ShutdownStarted(schedule.answer_by))
        if self.extension is not None:
            with FaultBarrier("begin_shutdown", self.faults.write):
                self.extension.begin_shutdown()

    def advance(self) -> ShutdownStep:
        """Runs a round and takes the step that is due after it; the round reads what the kernel has buffered.

        Raises RuntimeError before begin().
        """
        if self.schedule is None:
            raise RuntimeError("advance() called before begin()")
        self.event_loop.round()
        activity = self._client_activity()
        if self.schedule.sessions_closed_at is None and self.schedule.may_close_sessions(activity):
            # Connections in the backlog are accepted and read; if they have queries, closing is postponed.
            with FaultBarrier("accept", self.faults.write):
                self.mysql_frontend.accept(LISTEN_BACKLOG)
            self.event_loop.round()
            activity = self._client_activity()
        step = self.schedule.next_step(activity, len(self.mysql_frontend.clients))
        if step is not ShutdownStep.ACCEPT and self.lifecycle.enter(Phase.FLUSHING):
            self._reject_unhandled()
            self.mysql_frontend.close()
        if step is ShutdownStep.CLOSE_SESSIONS:
            # Again each time, for sessions whose last bytes have been sent since.
            self.mysql_frontend.close_sessions()
        return step

    def _client_activity(self) -> ClientActivity:
        """Returns the activity of clients as of the last round."""
        open_queries = len(self.reducer.unanswered) + len(self.rounds.pending)
        return ClientActivity(
            self.clock(),
            self.rounds.last_client_activity,
            open_queries,
            self.mysql_frontend.sessions_with_unsent_output(),
        )

    def _reject_unhandled(self) -> None:
        """Rejects queries that were read but not taken: their order within a key was not known in time."""
        for session in list(self.rounds.pending):
            self.rounds.discard(session)
            with FaultBarrier("reject", self.faults.write):
                self.executor.frontend_of(session).reject(session, 0)
