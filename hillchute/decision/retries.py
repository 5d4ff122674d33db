"""Retries: whether a query may have a further attempt, and whether its client may be told to try again."""

from collections import deque

from hillchute.decision.interface import Time
from hillchute.decision.query_state import QueryPlace, QueryState
from hillchute.decision.statistics import TRAFFIC_SPAN, TrafficWindow
from hillchute.settings import DeduplicationScope, Effect, Settings

MOST_ERRORS = 1  # answers with an error after which a query is tried once more
CLOCK_ROUNDING: Time = 2  # by which two times of the caller's clock may differ from the true time between


class RetryPolicy:
    """The limits of the settings on attempts, and what a query's effect allows."""

    def __init__(self, settings: Settings, traffic: TrafficWindow) -> None:
        self.settings = settings.retries
        self.traffic = traffic
        self.retries: deque[Time] = deque()  # when they were sent
        self.span = max(TRAFFIC_SPAN, self.settings.budget_window)

    def forget_before(self, start: Time) -> None:
        """Drops the retries from before `start`."""
        while self.retries and self.retries[0] < start:
            self.retries.popleft()

    def count_attempt(self, now: Time, query: QueryState) -> None:
        """An attempt goes out."""
        if query.attempts:
            self.retries.append(now)

    def may_attempt(self, now: Time, query: QueryState) -> bool:
        """Whether an attempt is within the rules now, as far as the query alone goes."""
        return not query.attempts or self.may_retry(now, query)

    def may_retry(self, now: Time, query: QueryState) -> bool:
        """Whether a query may have a further attempt now: its effect must not happen twice, and the attempts
        and the retry budget have limits."""
        if query.place is QueryPlace.ANSWERED or query.errors > MOST_ERRORS:
            return False
        if len(query.attempts) >= self.settings.most_attempts:
            return False
        if query.open_attempts:
            return False  # never two at once, also where that is allowed: it would feed an overload
        if query.first_run is not None and not self._may_repeat(now, query, query.first_run.sent):
            return False
        return not query.attempts or self.has_budget(now)

    def _may_repeat(self, now: Time, query: QueryState, first_sent: Time) -> bool:
        """Whether a query that may have run may run again."""
        group = query.group.settings
        if group.effect is Effect.NON_IDEMPOTENT:
            return False
        if group.effect is Effect.IDEMPOTENT:
            return now + 1 < first_sent + group.deduplication_window
        return True

    def has_budget(self, now: Time) -> bool:
        """Whether the retry budget allows one more. Beyond it retries are held back by the admission of
        heavy queries alone, so that they do not feed an overload."""
        window = self.settings.budget_window
        if not window:
            return True
        # The clock is rounded: count a little more of what was used, a little less of what was admitted.
        used = sum(at >= now - window - CLOCK_ROUNDING for at in self.retries)
        admitted = self.traffic.since(now - window + CLOCK_ROUNDING)
        return used + 1 <= self.settings.budget_minimum + self.settings.budget_share * admitted

    def may_reject(self, query: QueryState) -> bool:
        """Whether a client may be told that trying again is harmless."""
        group = query.group.settings
        if group.effect is Effect.READ_ONLY:
            return True
        if query.first_run is None and not query.open_attempts:
            return True
        return group.effect is Effect.IDEMPOTENT and group.deduplication is DeduplicationScope.ALL
