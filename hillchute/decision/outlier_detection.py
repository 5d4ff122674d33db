"""Outlier detection: ejects failing engines for a time that doubles with each consecutive failure."""

from hillchute.decision.engine_state import EnginePool, EngineState
from hillchute.decision.interface import MILLISECOND, SECOND, AttemptResult, Time
from hillchute.decision.query_state import QueryState
from hillchute.decision.retries import RetryPolicy

BASE_BACKOFF: Time = 100 * MILLISECOND  # doubled for each consecutive failure
MAX_BACKOFF: Time = 5 * SECOND  # an engine that has recovered gets attempts again within this time
MAX_DOUBLINGS = 10  # MAX_BACKOFF is reached long before

# Results that count as failures of the engine.
ENGINE_FAULTS = (
    AttemptResult.CONNECTION_REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.CONNECTION_LOST,
    AttemptResult.FAILED,
)


class OutlierDetector:
    """Counts failures of engines and ejects those that fail repeatedly."""

    def __init__(self, pool: EnginePool, retries: RetryPolicy) -> None:
        self.pool = pool
        self.retries = retries

    def count_failure(self, now: Time, engine: EngineState) -> None:
        """Counts a failure and ejects the engine from the second consecutive one on.

        Guards against an engine that is down, or that fails fast and so appears idle.
        """
        if engine.count_failure(now) > 1:
            backoff = BASE_BACKOFF << min(engine.failures, MAX_DOUBLINGS)
            engine.ejected_until = now + min(MAX_BACKOFF, backoff)

    def attempt_ended(self, now: Time, engine: EngineState, query: QueryState, result: AttemptResult) -> None:
        """Updates the failure count of the engine with the result of an attempt."""
        if result == AttemptResult.SERVED:
            engine.failures = 0
            failed = query.first_failed_engine
            if failed is not None and failed is not engine:
                self.count_failure(now, failed)
        elif result == AttemptResult.FAILED and self.retries.may_retry(now, query):
            # No engine may be able to run the query: this counts as a failure once another engine serves it.
            query.errors += 1
            query.first_failed_engine = query.first_failed_engine or engine
        elif result in ENGINE_FAULTS:
            self.count_failure(now, engine)
            if result == AttemptResult.CONNECTION_REFUSED:
                # The engine may restart and warm up before the endpoint list shows it.
                engine.started = max(engine.started, now)
                self.pool.warming_up[engine.id] = engine

    def health_check_failed(self, now: Time, engine: EngineState, result: AttemptResult) -> None:
        """Counts a health check without an answer as a failure if the result is the engine's fault."""
        if result == AttemptResult.TIMED_OUT or result in ENGINE_FAULTS:
            self.count_failure(now, engine)
