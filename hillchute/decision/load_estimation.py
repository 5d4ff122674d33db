"""Estimates the load of engines from load reports and from this router's own attempts and their slowdown.

Loads are in threads of all routers. The estimate from a report decays to the mean of all engines as it ages.
"""

from zlib import crc32

from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.interface import MILLISECOND, SECOND, AttemptEnded, AttemptResult, Report, Time
from hillchute.decision.query_state import Attempt, QueryState
from hillchute.decision.statistics import SMOOTHING, SlowdownWindow, TrafficWindow
from hillchute.settings import Settings

THREADS_PER_CORE = 2.0  # thread limit of an engine for all routers together: the design's starting point
OVERLOAD_FACTOR = 1.5  # times the thread limit; at that load a dashboard would finish too late
PRESSURE_SLOWDOWN = 3.0  # slowdown that shows pressure; objectives commonly leave room for about that much
PRESSURE_DURATION: Time = 2 * SECOND  # a busy report counts until the next report, for at most this time
# Share of a resource in use from which a report counts as busy; reports are noisy by a few hundredths.
BUSY_UTILIZATION = 0.9
REPORT_LAG: Time = 500 * MILLISECOND  # possible age of a report on arrival; later attempts are added to it
REPORT_HALF_LIFE: Time = 1 * SECOND  # after two or three of them most queries in the report have ended
# Own threads on an engine at which the extrapolation to all routers has a weight of one half. This is a few
# short queries; with fewer, a router's share of an engine's load is mostly chance.
HALF_CONFIDENCE_THREADS = 4.0
LIGHT_LOAD = 1.5  # threads per core with the highest throughput; other routers send queries as well
SLOWDOWN_UPDATE_INTERVAL: Time = 5 * MILLISECOND  # the slowdown is read several times for each query
SLOWDOWN_WINDOW: Time = 4 * SECOND  # long enough for a quiet router's attempts, short enough to be current
# Attempts without slowdown that are added to the sample, so that a quiet router does not give up on a query
# because of a few slow attempts.
BASELINE_ATTEMPTS = 4
MIN_RUNTIME: Time = 20 * MILLISECOND  # shorter times are mostly network latency and clock error
# Queries within TRAFFIC_SPAN up to which every attempt is sampled for the slowdown; above, one in several is.
FULLY_SAMPLED_QUERIES = 500
# Load of an engine that rejected an attempt as full; more than any latency objective leaves room for.
REJECTED_THREADS_PER_CORE = 10.0


class LoadEstimator:
    """Estimates the load of each engine and the present slowdown of attempts."""

    def __init__(self, settings: Settings, pool: EnginePool, traffic: TrafficWindow) -> None:
        self.settings = settings
        self.pool = pool
        self.traffic = traffic
        self.mean_load: float | None = None  # reported threads per core
        self.mean_own_threads = 0.0  # of this router on an engine when its report arrives
        self.total_work = 0.0  # core time of all attempts
        self.total_runtime_alone = 0.0  # of all attempts
        self.recent_attempts = SlowdownWindow()
        self.reports_count_queries = "inflight" in settings.report_columns

    # ---- inputs -----------------------------------------------------------------------------------

    def attempt_started(self, now: Time, query: QueryState, attempt: Attempt) -> None:
        """Counts an attempt that starts."""
        self.total_work += attempt.work
        self.total_runtime_alone += attempt.runtime_alone
        one_in = 1 + len(self.traffic.arrivals) // FULLY_SAMPLED_QUERIES
        if crc32(query.id.encode()) % one_in == 0:
            self.recent_attempts.add(now, attempt)

    def attempt_ended(
        self, now: Time, engine: EngineState, query: QueryState, attempt: Attempt, ended: AttemptEnded
    ) -> None:
        """Records the slowdown of an ended attempt; a high one, or a rejection as full, shows pressure."""
        if ended.result in (AttemptResult.SERVED, AttemptResult.TIMED_OUT):
            alone = ended.cost / query.threads if ended.cost else attempt.runtime_alone
            attempt.slowdown = max(MIN_RUNTIME, ended.elapsed) / max(MIN_RUNTIME, alone)
        if attempt.slowdown > PRESSURE_SLOWDOWN or ended.result == AttemptResult.OVERLOADED:
            engine.under_pressure_until = now + PRESSURE_DURATION

    def rejected_as_full(self, now: Time, engine: EngineState) -> None:
        """Records that an engine rejected an attempt as full without a report."""
        engine.reported_threads = REJECTED_THREADS_PER_CORE * engine.cores
        engine.reported_at = now

    def read_report(self, now: Time, engine: EngineState, report: Report, age: Time = 0) -> None:
        """Applies a load report of this age."""
        if "inflight" in report:
            queries = report["inflight"]
            if self.total_runtime_alone:
                queries = queries * self.total_work / self.total_runtime_alone  # queries to threads
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
        busy = busiest >= BUSY_UTILIZATION or report.get("queue", 0) >= 1
        engine.under_pressure_until = now + (PRESSURE_DURATION if busy else 0)

    def _column(self, report: Report, name: str | None) -> float | None:
        return None if name is None else report.get(name)

    def _count_in_mean(self, threads_per_core: float) -> None:
        """Adds a report to the mean load, capped: one overloaded engine does not mean that all are."""
        load = min(2 * OVERLOAD_FACTOR * THREADS_PER_CORE, threads_per_core)
        if self.mean_load is None:
            self.mean_load = load
        else:
            self.mean_load += SMOOTHING * (load - self.mean_load)

    # ---- the load of an engine --------------------------------------------------------------------

    def sent_since_report(self, now: Time, engine: EngineState) -> tuple[int, float]:
        """Returns threads and memory (MB) of this router's attempts that the last report may not include."""
        return engine.sent_since(max(engine.reported_at - REPORT_LAG, now - PRESSURE_DURATION))

    def estimated_threads(self, now: Time, engine: EngineState) -> float:
        """Returns an upper estimate of the threads on an engine.

        It adds this router's attempts since the report to the reported threads, as if none had ended.
        """
        if self.mean_load is None:
            return engine.threads
        since_report = self.sent_since_report(now, engine)[0]
        return max(engine.threads, since_report + self.reported_load(now, engine))

    def reported_load(self, now: Time, engine: EngineState) -> float:
        """Returns the threads of all routers by the last report, which decays to the mean as it ages."""
        # A warming engine starts empty and gets queries by permit only, so the mean of others does not apply.
        mean = 0.0 if engine.is_warming_up(now) or self.mean_load is None else self.mean_load * engine.cores
        if engine.reported_threads is None:
            return mean
        return mean + (engine.reported_threads - mean) * self.report_weight(now, engine)

    def report_weight(self, now: Time, engine: EngineState) -> float:
        """Returns the weight of the last report, from 0 to 1; the higher the load, the slower it decays."""
        overload = max(1.0, (engine.reported_threads or 0.0) / engine.cores)
        weight: float = 0.5 ** ((now - engine.reported_at) / (REPORT_HALF_LIFE * overload))
        return weight

    def total_threads(self, now: Time, engine: EngineState) -> float:
        """Returns the estimated threads of all routers on an engine.

        Extrapolates from this router's open attempts where that gives more: the engine may hang between two
        reports.
        """
        own = self.mean_own_threads
        routers = self.pool.routers
        total_to_own: float = routers
        if self.reports_count_queries and own:
            total_to_own = (self.mean_load or 0.0) * engine.cores / own
        confidence = own / (own + HALF_CONFIDENCE_THREADS) if own else 1
        others = (min(routers, total_to_own) - 1) * confidence
        return max(self.estimated_threads(now, engine), engine.threads * (1 + max(0.0, others)))

    def is_lightly_loaded(self, now: Time, engine: EngineState) -> bool:
        """Returns whether one more query would not slow down the engine's other queries."""
        return self.total_threads(now, engine) <= LIGHT_LOAD * engine.usable_cores(now)

    def has_capacity_for_dashboard(self, now: Time, engine: EngineState) -> bool:
        """Returns whether a dashboard would finish in time on the engine.

        Guards against an overload that clients' retries keep up. Harmful where reports lag behind a load that
        is over.
        """
        limit = OVERLOAD_FACTOR * THREADS_PER_CORE * engine.usable_cores(now)
        return self.total_threads(now, engine) < limit

    # ---- how long a query takes -------------------------------------------------------------------

    def slowdown(self, now: Time, baseline_attempts: int = 0) -> float:
        """Returns the present median slowdown: elapsed time over runtime alone.

        Open attempts count once they exceed their runtime alone, so that an overload shows early.
        """
        return self.recent_attempts.median(now, SLOWDOWN_WINDOW, SLOWDOWN_UPDATE_INTERVAL, baseline_attempts)

    def expected_runtime(self, now: Time, query: QueryState) -> Time:
        """Returns the runtime of a query that starts now."""
        return int(query.runtime_alone * max(1.0, self.slowdown(now, BASELINE_ATTEMPTS)))

    def latest_start(self, now: Time, query: QueryState) -> Time:
        """Returns the latest time at which a start still meets the latency objective."""
        group = query.group.settings
        stretch = int(group.target_stretch * query.runtime_alone)
        return query.admitted + group.target_runtime + stretch - self.expected_runtime(now, query)

    def slack_used(self, now: Time, query: QueryState) -> float:
        """Returns the share of its slack for which a query has waited."""
        return (now - query.admitted) / max(1, self.latest_start(now, query) - query.admitted)
