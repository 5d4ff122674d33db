"""Statistics of recent queries and attempts. Takes no decisions."""

from bisect import bisect
from collections import Counter, deque
from dataclasses import dataclass, field

from hillchute.decision.engine_state import NEVER
from hillchute.decision.interface import SECOND, Time
from hillchute.decision.query_state import Attempt

TRAFFIC_SPAN: Time = 10 * SECOND  # window of the tenants' traffic; longer than a short fault
SMOOTHING = 0.1  # weight of a new value in a running mean: about the last ten values count
MIN_MEDIAN_SAMPLES = 3  # attempts; the median of fewer is mostly chance


def smoothed(mean: float, newest: float) -> float:
    """Returns the running mean with one more value; a mean of 0 has no value yet."""
    return mean + SMOOTHING * (newest - mean) if mean else newest


@dataclass(slots=True)
class SlowdownWindow:
    """Recent attempts, and the median of their slowdowns (elapsed time over runtime alone)."""

    attempts: deque[tuple[Time, Attempt]] = field(default_factory=deque)  # with the time each was sent
    slowdowns: list[float] = field(default_factory=list)  # sorted
    updated_at: Time = NEVER

    def add(self, now: Time, attempt: Attempt) -> None:
        """Adds an attempt that is sent now."""
        self.attempts.append((now, attempt))

    def median(self, now: Time, span: Time, update_interval: Time, baseline_attempts: int) -> float:
        """Returns the median slowdown over `span`; 1 where there are too few attempts.

        `baseline_attempts` attempts without slowdown are added to the sample. An open attempt counts once it
        exceeds its runtime alone.
        """
        if now - self.updated_at >= update_interval:
            self.updated_at = now
            self._update(now, span)
        count = len(self.slowdowns) + baseline_attempts
        if count < MIN_MEDIAN_SAMPLES:
            return 1.0
        below_one = bisect(self.slowdowns, 1.0)  # the baseline attempts rank after these
        middle = count // 2
        if middle < below_one:
            return self.slowdowns[middle]
        return 1.0 if middle < below_one + baseline_attempts else self.slowdowns[middle - baseline_attempts]

    def _update(self, now: Time, span: Time) -> None:
        start = now - span
        attempts = self.attempts
        while attempts and attempts[0][0] < start:
            attempts.popleft()
        samples = ((a, a.slowdown or a.open * (now - a.sent) / a.runtime_alone) for _, a in attempts)
        self.slowdowns = [slowdown for attempt, slowdown in samples if attempt.slowdown or slowdown > 1]
        self.slowdowns.sort()


@dataclass(slots=True)
class TrafficWindow:
    """The recently admitted queries, and their number by tenant."""

    arrivals: deque[tuple[Time, int]] = field(default_factory=deque)  # time and tenant
    by_tenant: Counter[int] = field(default_factory=Counter)

    def add(self, now: Time, tenant: int, start: Time) -> None:
        """Adds a query, and drops those from before `start`."""
        while self.arrivals and self.arrivals[0][0] < start:
            self.by_tenant[self.arrivals.popleft()[1]] -= 1
        self.arrivals.append((now, tenant))
        self.by_tenant[tenant] += 1

    def span(self, now: Time) -> Time:
        """Returns the time that the counts cover, at least one second."""
        return max(SECOND, now - self.arrivals[0][0]) if self.arrivals else SECOND

    def since(self, start: Time) -> int:
        """Returns the number of queries admitted since `start`."""
        return sum(at >= start for at, _ in self.arrivals)


@dataclass(slots=True)
class WorkWindow:
    """Recent work, in core time."""

    began: Time
    queries: deque[tuple[Time, float]] = field(default_factory=deque)  # time and work
    work: float = 0.0  # sum over `queries`

    def add(self, now: Time, work: float, span: Time) -> float:
        """Adds a query's work and returns the rate over `span`, in cores."""
        self.queries.append((now, work))
        self.work += work
        return self.rate(now, span)

    def rate(self, now: Time, span: Time) -> float:
        """Returns the rate over `span`, in cores; shortly after the start it is too high, never too low."""
        while self.queries and self.queries[0][0] < now - span:
            self.work -= self.queries.popleft()[1]
        return self.recorded_rate(now, span)

    def recorded_rate(self, now: Time, span: Time) -> float:
        """Returns the rate without dropping queries that have become too old since the last call."""
        return self.work / max(1, min(span, now - self.began))
