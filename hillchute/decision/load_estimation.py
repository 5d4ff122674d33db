"""What the load of engines is believed to be, from reports, from this router's own attempts and their pace.

Loads are in threads of all routers. A report ages: it fades into the mean of all engines.
"""

from zlib import crc32

from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.interface import MILLISECOND, SECOND, AttemptEnded, AttemptResult, Report, Time
from hillchute.decision.query_state import Attempt, QueryState
from hillchute.decision.statistics import SMOOTHING, PaceWindow, TrafficWindow
from hillchute.settings import Settings

THREADS_PER_CORE = 2.0  # of all routers together: the thread bound that the design starts from
OVERLOAD_FACTOR = 1.5  # times the bound: with so many threads a core a dashboard would only come too late
SLOW_RATIO = 3.0  # times its time alone that is pressure: objectives commonly leave room for about that
PRESSURE_STANDS: Time = 2 * SECOND  # a busy report counts until the next one, but no longer than this
BUSY_SHARE = 0.9  # of a resource in use that is a busy report: reports are noisy by a few hundredths
REPORT_LAG: Time = 500 * MILLISECOND  # a report may be this old as it comes: later attempts count beside it
REPORT_HALF_LIFE: Time = 1 * SECOND  # most queries that it counted have ended two or three of them later
FEW_THREADS = 4.0  # a few short queries; with less out, a router's part of an engine is mostly chance
LIGHT_LOAD = 1.5  # threads a core at which an engine does the most; others come too
PACE_RECOMPUTED_EVERY: Time = 5 * MILLISECOND  # it is asked for several times for each query
PACE_SPAN: Time = 4 * SECOND  # enough attempts at a quiet router, few of a time that has gone
UNDISTURBED_ATTEMPTS = 4  # counted with a quiet router's few before it gives up on a query
SHORTEST_TIME: Time = 20 * MILLISECOND  # shorter times are mostly the network's and the clock's
SAMPLED_QUERIES = 500  # of TRAFFIC_SPAN up to which each attempt counts in the pace; beyond, one in some
FULL_THREADS = 10.0  # a core that a rejection as full counts as: more than any objective leaves room for


class LoadEstimator:
    """Beliefs about the load of each engine, and about how slow attempts are now."""

    def __init__(self, settings: Settings, pool: EnginePool, traffic: TrafficWindow) -> None:
        self.settings = settings
        self.pool = pool
        self.traffic = traffic
        self.mean_load: float | None = None  # threads a core, as reported
        self.mean_own_threads = 0.0  # this router's on an engine as it reports
        self.total_work = 0.0  # core time of all attempts, and the sum of their times alone
        self.total_runtime_alone = 0.0
        self.recent_attempts = PaceWindow()
        self.reports_count_queries = "inflight" in settings.report_columns

    # ---- what has happened ------------------------------------------------------------------------

    def attempt_started(self, now: Time, query: QueryState, attempt: Attempt) -> None:
        """An attempt goes out."""
        self.total_work += attempt.work
        self.total_runtime_alone += attempt.runtime_alone
        one_in = 1 + len(self.traffic.arrivals) // SAMPLED_QUERIES
        if crc32(query.id.encode()) % one_in == 0:
            self.recent_attempts.add(now, attempt)

    def attempt_ended(
        self, now: Time, engine: EngineState, query: QueryState, attempt: Attempt, ended: AttemptEnded
    ) -> None:
        """An attempt has ended: how long it took shows pressure."""
        if ended.result in (AttemptResult.SERVED, AttemptResult.TIMED_OUT):
            alone = ended.cost / query.threads if ended.cost else attempt.runtime_alone
            attempt.ratio = max(SHORTEST_TIME, ended.elapsed) / max(SHORTEST_TIME, alone)
        if attempt.ratio > SLOW_RATIO or ended.result == AttemptResult.OVERLOADED:
            engine.under_pressure_until = now + PRESSURE_STANDS

    def rejected_as_full(self, now: Time, engine: EngineState) -> None:
        """An engine rejected an attempt because it is full, and sent no report."""
        engine.reported_threads = FULL_THREADS * engine.cores
        engine.reported_at = now

    def read_report(self, now: Time, engine: EngineState, report: Report, age: Time = 0) -> None:
        """Takes in a load report, which is so old."""
        if "inflight" in report:
            queries = report["inflight"]
            if self.total_runtime_alone:
                queries = queries * self.total_work / self.total_runtime_alone  # times their mean threads
            engine.reported_threads = queries
        elif "util" in report:
            engine.reported_threads = report["util"] * engine.cores
        self.mean_own_threads += SMOOTHING * (engine.threads - self.mean_own_threads)
        engine.memory_granted = self._column(report, self.settings.memory_column)
        if engine.reported_threads is not None:
            granted = (engine.memory_granted or 0) * THREADS_PER_CORE * engine.cores
            engine.reported_threads = max(engine.reported_threads, granted)
            self._count_in_mean(engine.reported_threads / engine.cores)
        engine.reported_at = now - age
        disks_busy = self._column(report, self.settings.disk_column)
        busiest = max(share or 0 for share in (report.get("util"), engine.memory_granted, disks_busy))
        busy = busiest >= BUSY_SHARE or report.get("queue", 0) >= 1
        engine.under_pressure_until = now + (PRESSURE_STANDS if busy else 0)

    def _column(self, report: Report, name: str | None) -> float | None:
        return None if name is None else report.get(name)

    def _count_in_mean(self, threads_per_core: float) -> None:
        """A single report counts up to a bound: one overloaded engine does not mean that all are."""
        load = min(2 * OVERLOAD_FACTOR * THREADS_PER_CORE, threads_per_core)
        if self.mean_load is None:
            self.mean_load = load
        else:
            self.mean_load += SMOOTHING * (load - self.mean_load)

    # ---- the load of an engine --------------------------------------------------------------------

    def sent_since_report(self, now: Time, engine: EngineState) -> tuple[int, float]:
        """Threads and memory of this router's attempts that the last report can't have counted."""
        return engine.sent_since(max(engine.reported_at - REPORT_LAG, now - PRESSURE_STANDS))

    def believed_threads(self, now: Time, engine: EngineState) -> float:
        """Threads there, at the most: as reported, and this router's since, none of which has ended."""
        if self.mean_load is None:
            return engine.threads
        since_report = self.sent_since_report(now, engine)[0]
        return max(engine.threads, since_report + self.reported_load(now, engine))

    def reported_load(self, now: Time, engine: EngineState) -> float:
        """Threads of all routers there by its last report, which fades into the mean as it ages."""
        # One that warms up starts empty and gets what permits give: others' mean says nothing of it.
        mean = 0.0 if engine.is_warming_up(now) or self.mean_load is None else self.mean_load * engine.cores
        if engine.reported_threads is None:
            return mean
        return mean + (engine.reported_threads - mean) * self.report_weight(now, engine)

    def report_weight(self, now: Time, engine: EngineState) -> float:
        """How much of the last report still holds: it fades the more slowly the more was waiting there."""
        overload = max(1.0, (engine.reported_threads or 0.0) / engine.cores)
        weight: float = 0.5 ** ((now - engine.reported_at) / (REPORT_HALF_LIFE * overload))
        return weight

    def total_threads(self, now: Time, engine: EngineState) -> float:
        """Threads of all routers there: as reported or, if it stalls between two reports, by what is out."""
        own = self.mean_own_threads
        routers = self.pool.routers
        part: float = routers
        if self.reports_count_queries and own:
            part = (self.mean_load or 0.0) * engine.cores / own
        confidence = own / (own + FEW_THREADS) if own else 1
        others = (min(routers, part) - 1) * confidence
        return max(self.believed_threads(now, engine), engine.threads * (1 + max(0.0, others)))

    def is_lightly_loaded(self, now: Time, engine: EngineState) -> bool:
        """Whether one more query slows nothing there."""
        return self.total_threads(now, engine) <= LIGHT_LOAD * engine.usable_cores(now)

    def has_room_for_dashboard(self, now: Time, engine: EngineState) -> bool:
        """Whether a dashboard would come in time there. Guards against a jam kept up by clients' retries.
        Does harm where reports lag behind a load that has gone."""
        bound = OVERLOAD_FACTOR * THREADS_PER_CORE * engine.usable_cores(now)
        return self.total_threads(now, engine) < bound

    # ---- how long a query takes -------------------------------------------------------------------

    def pace(self, now: Time, undisturbed: int = 0) -> float:
        """How many times its time alone a query takes now; open ones count once they take longer, so that a
        jam shows early."""
        return self.recent_attempts.median(now, PACE_SPAN, PACE_RECOMPUTED_EVERY, undisturbed)

    def expected_runtime(self, now: Time, query: QueryState) -> Time:
        """The time that it takes now, if it starts."""
        return int(query.runtime_alone * max(1.0, self.pace(now, UNDISTURBED_ATTEMPTS)))

    def latest_start(self, now: Time, query: QueryState) -> Time:
        """The last moment at which a start still meets the latency objective."""
        group = query.group.settings
        stretch = int(group.target_stretch * query.runtime_alone)
        return query.admitted + group.target_runtime + stretch - self.expected_runtime(now, query)

    def slack_used(self, now: Time, query: QueryState) -> float:
        """The share of its slack that a query has waited."""
        return (now - query.admitted) / max(1, self.latest_start(now, query) - query.admitted)
