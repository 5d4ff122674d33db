"""Outlier detection: engines that fail are ejected for a time that doubles with each failure in a row."""

from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.interface import MILLISECOND, SECOND, AttemptResult, Time
from hillchute.decision.query_state import QueryState
from hillchute.decision.retries import RetryPolicy

FIRST_BACKOFF: Time = 100 * MILLISECOND  # doubles with each failure in a row
LONGEST_BACKOFF: Time = 5 * SECOND  # an engine that is back is found at the latest after this
MOST_DOUBLINGS = 10  # the longest backoff is reached long before

ENGINE_FAULTS = (
    AttemptResult.CONNECTION_REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.CONNECTION_LOST,
    AttemptResult.FAILED,
)  # results that speak against the engine


class OutlierDetector:
    """Counts failures of engines and ejects those that fail in a row."""

    def __init__(self, pool: EnginePool, retries: RetryPolicy) -> None:
        self.pool = pool
        self.retries = retries

    def count_failure(self, now: Time, engine: EngineState) -> None:
        """Guards against an engine that is down, or that fails fast and so looks idle. A lone failure
        is free."""
        if engine.count_failure(now) > 1:
            backoff = FIRST_BACKOFF << min(engine.failures, MOST_DOUBLINGS)
            engine.ejected_until = now + min(LONGEST_BACKOFF, backoff)

    def attempt_ended(self, now: Time, engine: EngineState, query: QueryState, result: AttemptResult) -> None:
        """Counts the end of an attempt for or against its engine."""
        if result == AttemptResult.SERVED:
            engine.failures = 0
            failed = query.first_failed_on
            if failed is not None and failed is not engine:
                self.count_failure(now, failed)
        elif result == AttemptResult.FAILED and self.retries.may_retry(now, query):
            # Guards against queries that no engine can run: the engine is at fault once another ran it.
            query.errors += 1
            query.first_failed_on = query.first_failed_on or engine
        elif result in ENGINE_FAULTS:
            self.count_failure(now, engine)
            if result == AttemptResult.CONNECTION_REFUSED:
                # It may come back and warm up before the endpoint list says so.
                engine.started = max(engine.started, now)
                self.pool.warming_up[engine.id] = engine

    def health_check_failed(self, now: Time, engine: EngineState, result: AttemptResult) -> None:
        """A health check has no answer."""
        if result == AttemptResult.TIMED_OUT or result in ENGINE_FAULTS:
            self.count_failure(now, engine)
