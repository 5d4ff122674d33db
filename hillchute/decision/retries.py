"""Retry policy: whether a query may have another attempt, and whether its client may be told to retry."""

from collections import deque

from hillchute.decision.interface import Time
from hillchute.decision.query_state import QueryStage, QueryState
from hillchute.decision.statistics import TRAFFIC_SPAN, TrafficWindow
from hillchute.settings import DeduplicationScope, Effect, Settings

MAX_ERRORS = 1  # error answers of engines after which a query is still retried
CLOCK_ROUNDING: Time = 2  # largest error of the difference between two times of the caller's clock


class RetryPolicy:
    """Applies the settings' limits on attempts, and the limits that follow from the query's effect."""

    def __init__(self, settings: Settings, traffic: TrafficWindow) -> None:
        self.settings = settings.retries
        self.traffic = traffic
        self.retry_times: deque[Time] = deque()  # when retries were sent
        self.window = max(TRAFFIC_SPAN, self.settings.budget_window)

    def forget_before(self, start: Time) -> None:
        """Drops the retries that were sent before `start`."""
        while self.retry_times and self.retry_times[0] < start:
            self.retry_times.popleft()

    def count_attempt(self, now: Time, query: QueryState) -> None:
        """Records an attempt that starts, if it is a retry."""
        if query.attempts:
            self.retry_times.append(now)

    def may_attempt(self, now: Time, query: QueryState) -> bool:
        """Returns whether the query itself allows an attempt now."""
        return not query.attempts or self.may_retry(now, query)

    def may_retry(self, now: Time, query: QueryState) -> bool:
        """Returns whether a query may have another attempt now.

        Its effect must not happen twice, and the number of attempts and the retry budget are limited.
        """
        if query.stage is QueryStage.ANSWERED or query.errors > MAX_ERRORS:
            return False
        if len(query.attempts) >= self.settings.max_attempts:
            return False
        if query.open_attempts:
            return False  # no concurrent attempts, even where allowed: they would worsen an overload
        if query.first_run is not None and query.group.settings.effect is Effect.NON_IDEMPOTENT:
            return False
        send_by = self.send_by(query)
        if send_by is not None and now > send_by:
            return False
        return not query.attempts or self.has_budget(now)

    def send_by(self, query: QueryState) -> Time | None:
        """Returns the last time at which the query may be sent again; None if no such limit binds.

        Engines drop a repeat of an idempotent query for the deduplication window, which counts from the first
        attempt that may have run.
        """
        group = query.group.settings
        if query.first_run is None or group.effect is not Effect.IDEMPOTENT:
            return None
        return query.first_run.sent + group.deduplication_window - CLOCK_ROUNDING

    def has_budget(self, now: Time) -> bool:
        """Returns whether the retry budget allows another retry.

        Apart from the budget, only the rejection of heavy queries keeps retries from worsening an overload.
        """
        window = self.settings.budget_window
        if not window:
            return True
        # Allows for clock rounding: a slightly longer window for retries, a shorter one for admitted queries.
        used = sum(at >= now - window - CLOCK_ROUNDING for at in self.retry_times)
        admitted = self.traffic.since(now - window + CLOCK_ROUNDING)
        return used + 1 <= self.settings.budget_minimum + self.settings.budget_share * admitted

    def may_reject(self, query: QueryState) -> bool:
        """Returns whether a client may be told that a retry is safe."""
        group = query.group.settings
        if group.effect is Effect.READ_ONLY:
            return True
        if query.first_run is None and not query.open_attempts:
            return True
        return group.effect is Effect.IDEMPOTENT and group.deduplication is DeduplicationScope.ALL
