"""The scheduler of one router, after the Query Teamwork algorithm.

Facade over the modules that make the decisions: the inputs (`on_query`, `on_attempt_ended`...) only update
state, and the caller then calls `next_decision` until it returns None; see interface.py. Times are whole
tenths of a millisecond. docs/design.md describes where and why this differs from the paper.
"""

from collections import deque
from collections.abc import Iterable, Mapping

from hillchute.decision.admission import Admission
from hillchute.decision.dashboards import Dashboards
from hillchute.decision.dispatch import Dispatcher
from hillchute.decision.draws import DrawSequence
from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.health_checks import HealthChecks
from hillchute.decision.interface import (
    MILLISECOND,
    NOT_RUN_RESULTS,
    POSSIBLY_RUNNING_RESULTS,
    AttemptEnded,
    AttemptResult,
    Decision,
    EndpointEntry,
    EngineId,
    FleetShares,
    ListMode,
    NewQuery,
    QueryId,
    Report,
    SetTimer,
    Time,
    WatchEndpoints,
)
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.outlier_detection import OutlierDetector
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import Attempt, QueryStage, QueryState, ResourceGroup
from hillchute.decision.retries import CLOCK_ROUNDING, RetryPolicy
from hillchute.decision.reviews import Reviews
from hillchute.decision.slow_start import SlowStart
from hillchute.decision.statistics import TRAFFIC_SPAN, TrafficWindow
from hillchute.decision.teams import Teams
from hillchute.settings import Settings

SWEEP_INTERVAL: Time = 25 * MILLISECOND  # while queries wait; far below any latency objective
# Sent to the simulator with a timer, and sent back when the timer expires (SetTimer in benchlink/codec.py).
TIMER_NAME = "look"


class QueryScheduler:
    """Makes all decisions of one router; implements `interface.Scheduler`."""

    def __init__(self, seed: int, settings: Settings, now: Time) -> None:
        """`seed` determines all random choices and differs between routers."""
        self.settings = settings
        self.now = now  # time of the last call
        self.wake_at: Time | None = None
        self.watch_pending = settings.watches_on_request
        self.planned: deque[Decision] = deque()
        self.groups = [ResourceGroup(group) for group in settings.groups]
        self.pool = EnginePool(settings)
        self.traffic = TrafficWindow()
        draws = DrawSequence(seed)
        self.load = LoadEstimator(settings, self.pool, self.traffic)
        self.slow_start = SlowStart(settings, self.pool, draws.next_fraction, now)
        self.retries = RetryPolicy(settings, self.traffic)
        self.outliers = OutlierDetector(self.pool, self.retries)
        self.placement = Placement(settings, self.load, self.retries, self.slow_start, draws.next_fraction)
        self.queues = QueryQueues(settings, draws, self.load, self.slow_start)
        self.admission = Admission(settings, self.load, self.placement, self.queues)
        self.health_checks = HealthChecks(settings, self.load, self.placement, self.admission, self.planned)
        self.dispatcher = Dispatcher(settings, self.load, self.placement, self.queues, self.planned)
        self.teams = Teams(self.load, self.placement, self.health_checks, self.queues, self.dispatcher)
        self.dashboards = Dashboards(
            self.load, self.placement, self.health_checks, self.queues, self.dispatcher
        )
        self.reviews = Reviews(self.load, self.retries, self.admission, self.queues, self.dispatcher)

    # ---- state for callers ------------------------------------------------------------------------

    @property
    def engines(self) -> Mapping[EngineId, EngineState]:
        """All known engines, by id."""
        return self.pool.engines

    @property
    def queries(self) -> Mapping[QueryId, QueryState]:
        """All open queries, by id."""
        return self.queues.queries

    @property
    def answer_margin(self) -> Time:
        """How long before its deadline a query gets its final answer at the latest."""
        return self.dispatcher.answer_margin

    def light_query_rate(self, now: Time) -> float:
        """Returns the cores used by recent queries that are light enough for warming engines."""
        return self.slow_start.light_traffic.recorded_rate(now, TRAFFIC_SPAN)

    # ---- inputs -----------------------------------------------------------------------------------

    def on_endpoint_list(self, now: Time, mode: ListMode, entries: Iterable[EndpointEntry]) -> None:
        """Applies the endpoint list or a change of it."""
        self.now = now
        if mode == ListMode.ERROR:
            self.watch_pending |= self.settings.watches_on_request
            return  # the previous list remains in force
        for engine in self.pool.update(now, mode, entries):
            self.slow_start.permits.forget(engine)

    def on_subset(
        self,
        now: Time,
        engines: frozenset[EngineId],
        routers: int | None = None,
        shares: FleetShares | None = None,
    ) -> None:
        """Sets the preferred engines, the number of live routers and this router's shares."""
        self.now = now
        self.pool.subset = engines
        self.pool.routers = routers or self.pool.routers
        if shares is not None:
            self.pool.shares = shares

    def admits(self, now: Time, group: int, loop_lag: float) -> bool:
        """Returns whether a query of this group is admitted at this event loop lag."""
        del now  # not an event: a query that is not admitted makes nothing due
        return self.admission.admits(self.groups[group], loop_lag)

    def on_query(self, now: Time, query: NewQuery) -> None:
        """Adds an admitted query."""
        self.now = now
        start = now - self.retries.window - CLOCK_ROUNDING
        self.retries.forget_before(start)
        self.traffic.add(now, query.tenant, start)
        group = self.groups[query.group]
        state = QueryState(
            query.id,
            group,
            now,
            query.deadline,
            query.table_group,
            query.tenant,
            self.admission.count_query(group, query.cost),
            query.memory_mb,
            query.ordering_key,
            group.settings.threads,
        )
        self.queues.queries[query.id] = state
        self.health_checks.query_arrived()
        self.queues.review_at(state, query.deadline - self.answer_margin)
        if group.settings.keeps_order and query.ordering_key is not None:
            self.queues.enqueue_by_key(now, state, query.ordering_key)
        else:
            self.queues.enqueue(now, state)

    def on_attempt_ended(self, now: Time, ended: AttemptEnded) -> None:
        """Applies the end of an attempt; an unknown attempt or one that has already ended is ignored."""
        self.now = now
        query = self.queues.queries.get(ended.query)
        if query is None or ended.attempt >= len(query.attempts):
            return
        attempt = query.attempts[ended.attempt]
        if not attempt.open:
            return
        engine = self.pool.engines[attempt.engine]
        self._release(now, engine, query, attempt)
        if ended.report:
            self.load.read_report(now, engine, ended.report)
        elif ended.result == AttemptResult.OVERLOADED:
            self.load.rejected_as_full(now, engine)
        if ended.result not in NOT_RUN_RESULTS and query.first_run is None:
            query.first_run = attempt
        if ended.result in POSSIBLY_RUNNING_RESULTS:
            self._pause_key(now, query)
        self._learn(now, engine, query, attempt, ended)
        if ended.final or query.stage is QueryStage.ANSWERED:
            self.queues.end(query)
        elif not query.open_attempts:
            query.stage = QueryStage.RETRYING
            self.queues.review_at(query, now)

    def _release(self, now: Time, engine: EngineState, query: QueryState, attempt: Attempt) -> None:
        """Releases what an attempt used on its engine."""
        attempt.open = False
        engine.attempt_ended(query.threads, query.memory_mb)
        if query.group.settings.is_bulk_load:
            engine.running_bulk_loads.remove(query.table_group)
            self.queues.bulk_load_ended(now, query)

    def _pause_key(self, now: Time, query: QueryState) -> None:
        """Pauses the key: its next query must not overtake an attempt that may still run."""
        if query.ordering_key is not None and query.group.settings.keeps_order:
            pause = self.settings.retries.order_pause + 1
            self.queues.keys[query.ordering_key].paused_until = now + pause

    def _learn(
        self, now: Time, engine: EngineState, query: QueryState, attempt: Attempt, ended: AttemptEnded
    ) -> None:
        """Updates the estimates for the engine and the group with the result of an attempt."""
        self.load.attempt_ended(now, engine, query, attempt, ended)
        self.outliers.attempt_ended(now, engine, query, ended.result)
        if ended.result == AttemptResult.SERVED:
            self.admission.count_served(query, ended.elapsed, ended.cost)

    def on_health_check(
        self, now: Time, engine: EngineId, result: AttemptResult, report: Report | None
    ) -> None:
        """Applies the result of a health check of this router."""
        self.now = now
        state = self.pool.engines.get(engine)
        if state is None:
            return
        if report and now >= state.reported_at:
            self.load.read_report(now, state, report)
        else:
            self.outliers.health_check_failed(now, state, result)

    def on_load_report(self, now: Time, engine: EngineId, report: Report, age: Time) -> None:
        """Applies a load report of this age from another router; one older than the last is ignored."""
        self.now = now
        state = self.pool.engines.get(engine)
        if state is not None and report and now - age >= state.reported_at:
            self.load.read_report(now, state, report, age)

    def on_fleet_changed(self, now: Time) -> None:
        """Ignored: effects of other routers arrive by `on_subset` and `on_load_report`."""
        self.now = now

    def on_progress(self, now: Time, query: QueryId, attempt: int, topic: int, value: float) -> None:
        """Ignored: it concerns one attempt only, and open attempts show an engine's load sooner."""
        del query, attempt, topic, value
        self.now = now

    def on_stream_started(self, now: Time, query: QueryId) -> None:
        """Marks a query as streaming: the first part of its result has arrived."""
        self.now = now
        if query in self.queues.queries:
            self.queues.queries[query].streaming = True

    def on_client_left(self, now: Time, query: QueryId) -> None:
        """Ends a query for which no client waits any more."""
        self.now = now
        if query in self.queues.queries:
            self.queues.end(self.queues.queries[query])

    def on_shutdown(self, now: Time, deadline: Time) -> None:
        """Limits the deadline of every query to that of the shutdown."""
        self.now = now
        for query in self.queues.queries.values():
            query.deadline = min(query.deadline, deadline)
            self.queues.review_at(query, query.deadline - self.answer_margin)

    def on_timer(self, now: Time, name: str) -> None:
        """Notes that the timer of a `SetTimer` has expired."""
        del name  # there is only one timer
        self.now = now
        self.wake_at = None

    # ---- decisions --------------------------------------------------------------------------------

    def next_decision(self, now: Time) -> Decision | None:
        """Returns the next decision, or None if there is nothing to decide at this time."""
        self.now = now
        if not self.planned:
            if self.watch_pending:
                self.watch_pending = False
                return WatchEndpoints()
            self._plan(now)
        return self.planned.popleft() if self.planned else None

    def _plan(self, now: Time) -> None:
        """Runs the deciding modules in order until one of them plans a decision."""
        # Keys first: the reviews then answer a query whose turn came too late, so that the next may start.
        self.queues.release_ordered(now)
        self.reviews.run(now)
        if self.planned:
            return
        self.dashboards.send_next(now)
        if self.planned:
            return
        self.teams.send_next(now)
        if self.planned:
            return
        self.health_checks.send_periodic(now)
        if not self.planned:
            self._set_timer(now)

    def _set_timer(self, now: Time) -> None:
        """Sets the one timer: for the next review, or for a sweep while queries wait."""
        times = [time for time, _, _ in self.queues.reviews[:1]]
        if self.queues.has_waiting_queries:
            times.append(now + SWEEP_INTERVAL)
        if times and (self.wake_at is None or min(times) < self.wake_at):
            self.wake_at = max(min(times), now + 1)
            self.planned.append(SetTimer(self.wake_at, TIMER_NAME))
