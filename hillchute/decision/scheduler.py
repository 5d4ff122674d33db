"""Query Teamwork: every decision of one router. One instance is one router.

This is the facade over the modules that decide: the inputs (`on_query`, `on_attempt_ended`...) only update
what is known, and the caller calls `next_decision` until it returns None: see interface.py. Times are whole
tenths of a millisecond. docs/design.md says where and why this departs from the paper.
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
    MAY_STILL_RUN,
    MILLISECOND,
    NEVER_RAN,
    AttemptEnded,
    AttemptResult,
    Decision,
    EngineId,
    FleetShares,
    Listing,
    ListMode,
    NewQuery,
    QueryId,
    Report,
    Time,
    Wake,
    WatchEndpoints,
)
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.outlier_detection import OutlierDetector
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import Attempt, QueryPlace, QueryState, ResourceGroup
from hillchute.decision.retries import CLOCK_ROUNDING, RetryPolicy
from hillchute.decision.reviews import Reviews
from hillchute.decision.slow_start import SlowStart
from hillchute.decision.statistics import TRAFFIC_SPAN, TrafficWindow
from hillchute.decision.teams import Teams
from hillchute.settings import Settings

SWEEP_EVERY: Time = 25 * MILLISECOND  # waiting work is looked at this often; far under any latency objective
TIMER_NAME = "look"


class QueryScheduler:
    """The scheduler of one router; implements `interface.Scheduler`."""

    def __init__(self, seed: int, settings: Settings, now: Time) -> None:
        """`seed`: of all draws by chance, another for each router."""
        self.settings = settings
        self.now = now  # of the last call
        self.wake_at: Time | None = None
        self.watch_wanted = settings.watches_on_request
        self.planned: deque[Decision] = deque()
        self.groups = [ResourceGroup(group) for group in settings.groups]
        self.pool = EnginePool(settings)
        self.traffic = TrafficWindow()
        draws = DrawSequence(seed)
        self.load = LoadEstimator(settings, self.pool, self.traffic)
        self.slow_start = SlowStart(settings, self.pool, draws.chance, now)
        self.retries = RetryPolicy(settings, self.traffic)
        self.outliers = OutlierDetector(self.pool, self.retries)
        self.placement = Placement(settings, self.load, self.retries, self.slow_start, draws.chance)
        self.queues = QueryQueues(settings, draws, self.load, self.slow_start)
        self.admission = Admission(settings, self.load, self.placement, self.queues)
        self.health_checks = HealthChecks(settings, self.load, self.placement, self.admission, self.planned)
        self.dispatcher = Dispatcher(settings, self.load, self.placement, self.queues, self.planned)
        self.teams = Teams(self.load, self.placement, self.health_checks, self.queues, self.dispatcher)
        self.dashboards = Dashboards(
            self.load, self.placement, self.health_checks, self.queues, self.dispatcher
        )
        self.reviews = Reviews(self.load, self.retries, self.admission, self.queues, self.dispatcher)

    # ---- what callers may look at -----------------------------------------------------------------

    @property
    def engines(self) -> Mapping[EngineId, EngineState]:
        """All engines that are known, by id."""
        return self.pool.engines

    @property
    def queries(self) -> Mapping[QueryId, QueryState]:
        """All queries that are not over, by id."""
        return self.queues.queries

    @property
    def answer_margin(self) -> Time:
        """A final answer goes out so long before the query's deadline."""
        return self.dispatcher.answer_margin

    def light_query_rate(self, now: Time) -> float:
        """Cores that recent queries that are light enough for an engine that warms up have used."""
        return self.slow_start.light_traffic.recorded_rate(now, TRAFFIC_SPAN)

    # ---- inputs -----------------------------------------------------------------------------------

    def on_endpoint_list(self, now: Time, mode: ListMode, listings: Iterable[Listing]) -> None:
        """The endpoint list, or a change of it, has come."""
        self.now = now
        if mode == ListMode.ERROR:
            self.watch_wanted |= self.settings.watches_on_request
            return  # the earlier list remains in force
        for engine in self.pool.update(now, mode, listings):
            self.slow_start.permits.forget(engine)

    def on_subset(
        self,
        now: Time,
        engines: frozenset[EngineId],
        routers: int | None = None,
        shares: FleetShares | None = None,
    ) -> None:
        """The engines to prefer, the number of live routers or this router's shares have changed."""
        self.now = now
        self.pool.subset = engines
        self.pool.routers = routers or self.pool.routers
        if shares is not None:
            self.pool.shares = shares

    def admits(self, now: Time, group: int, lateness: float) -> bool:
        """Whether a query of this group is admitted while the event loop runs so late."""
        del now  # a query that is not admitted is no event: nothing is due because of it
        return self.admission.admits(self.groups[group], lateness)

    def on_query(self, now: Time, query: NewQuery) -> None:
        """A query was admitted."""
        self.now = now
        start = now - self.retries.span - CLOCK_ROUNDING
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
        """An attempt has ended; one that is not known, or has ended before, is ignored."""
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
        if ended.result not in NEVER_RAN and query.first_run is None:
            query.first_run = attempt
        if ended.result in MAY_STILL_RUN:
            self._pause_key(now, query)
        self._learn(now, engine, query, attempt, ended)
        if ended.final or query.place is QueryPlace.ANSWERED:
            self.queues.end(query)
        elif not query.open_attempts:
            query.place = QueryPlace.RETRYING
            self.queues.review_at(query, now)

    def _release(self, now: Time, engine: EngineState, query: QueryState, attempt: Attempt) -> None:
        """What an attempt used is free."""
        attempt.open = False
        engine.attempt_ended(query.threads, query.memory_mb)
        if query.group.settings.is_load:
            engine.running_loads.remove(query.table_group)
            self.queues.load_ended(now, query)

    def _pause_key(self, now: Time, query: QueryState) -> None:
        """The next query of a key must not overtake an attempt that may still run."""
        if query.ordering_key is not None and query.group.settings.keeps_order:
            pause = self.settings.retries.order_pause + 1
            self.queues.keys[query.ordering_key].paused_until = now + pause

    def _learn(
        self, now: Time, engine: EngineState, query: QueryState, attempt: Attempt, ended: AttemptEnded
    ) -> None:
        """Updates the beliefs about the engine and the group by the end of an attempt."""
        self.load.attempt_ended(now, engine, query, attempt, ended)
        self.outliers.attempt_ended(now, engine, query, ended.result)
        if ended.result == AttemptResult.SERVED:
            self.admission.count_served(query, ended.elapsed, ended.cost)

    def on_health_check(
        self, now: Time, engine: EngineId, result: AttemptResult, report: Report | None
    ) -> None:
        """A health check of this router has ended."""
        self.now = now
        state = self.pool.engines.get(engine)
        if state is None:
            return
        if report and now >= state.reported_at:
            self.load.read_report(now, state, report)
        else:
            self.outliers.health_check_failed(now, state, result)

    def on_load_report(self, now: Time, engine: EngineId, report: Report, age: Time) -> None:
        """Another router passed on a load report, which is so old; an older one than is known is ignored."""
        self.now = now
        state = self.pool.engines.get(engine)
        if state is not None and report and now - age >= state.reported_at:
            self.load.read_report(now, state, report, age)

    def on_fleet_changed(self, now: Time) -> None:
        """Ignored: what follows from other routers comes by `on_subset` and `on_load_report`."""
        self.now = now

    def on_progress(self, now: Time, query: QueryId, attempt: int, topic: int, figure: float) -> None:
        """Ignored: it concerns one attempt, and the open attempts show an engine's load sooner."""
        del query, attempt, topic, figure
        self.now = now

    def on_stream_started(self, now: Time, query: QueryId) -> None:
        """The first part of a streamed result has come."""
        self.now = now
        if query in self.queues.queries:
            self.queues.queries[query].streaming = True

    def on_client_left(self, now: Time, query: QueryId) -> None:
        """Nobody waits for the query any more."""
        self.now = now
        if query in self.queues.queries:
            self.queues.end(self.queues.queries[query])

    def on_shutdown(self, now: Time, deadline: Time) -> None:
        """This router ends: every query is answered by then."""
        self.now = now
        for query in self.queues.queries.values():
            query.deadline = min(query.deadline, deadline)
            self.queues.review_at(query, query.deadline - self.answer_margin)

    def on_timer(self, now: Time, name: str) -> None:
        """The time of a `Wake` has come."""
        del name  # there is one timer
        self.now = now
        self.wake_at = None

    # ---- decisions --------------------------------------------------------------------------------

    def next_decision(self, now: Time) -> Decision | None:
        """The next decision, or None if there is nothing to do at this time."""
        self.now = now
        if not self.planned:
            if self.watch_wanted:
                self.watch_wanted = False
                return WatchEndpoints()
            self._plan(now)
        return self.planned.popleft() if self.planned else None

    def _plan(self, now: Time) -> None:
        """Goes through what may have to be decided until something is."""
        # Keys first: a query whose turn comes too late is then answered, not sent, and the next may start.
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
        self.health_checks.send_paced(now)
        if not self.planned:
            self._set_timer(now)

    def _set_timer(self, now: Time) -> None:
        """One timer: for the next review, or a sweep while something waits."""
        times = [time for time, _, _ in self.queues.reviews[:1]]
        if self.queues.anything_waits:
            times.append(now + SWEEP_EVERY)
        if times and (self.wake_at is None or min(times) < self.wake_at):
            self.wake_at = max(min(times), now + 1)
            self.planned.append(Wake(self.wake_at, TIMER_NAME))
