"""Running figures over recent queries and attempts. Nothing here decides."""

from bisect import bisect
from collections import Counter, deque
from dataclasses import dataclass, field

from hillchute.decision.engine_state import NEVER
from hillchute.decision.interface import SECOND, Time
from hillchute.decision.query_state import Attempt

TRAFFIC_SPAN: Time = 10 * SECOND  # over which tenants' traffic is counted: longer than a short fault
SMOOTHING = 0.1  # share of the newest figure in a running mean: the last ten or so count
FEWEST_FOR_MEDIAN = 3  # attempts; of fewer a median is mostly chance


def smoothed(mean: float, newest: float) -> float:
    """The running mean with one more figure; a mean of 0 has none yet."""
    return mean + SMOOTHING * (newest - mean) if mean else newest


@dataclass(slots=True)
class PaceWindow:
    """Recent attempts, and the median of their times over the times that they would take alone."""

    attempts: deque[tuple[Time, Attempt]] = field(default_factory=deque)  # with the times they were sent
    ratios: list[float] = field(default_factory=list)  # in order
    computed_at: Time = NEVER

    def add(self, now: Time, attempt: Attempt) -> None:
        """Counts an attempt from now on."""
        self.attempts.append((now, attempt))

    def median(self, now: Time, span: Time, recompute_every: Time, undisturbed: int) -> float:
        """The median over `span`, with so many attempts at their time alone counted in; 1 where too few are
        known. An attempt that is open counts once it takes longer than alone."""
        if now - self.computed_at >= recompute_every:
            self.computed_at = now
            self._recompute(now, span)
        count = len(self.ratios) + undisturbed
        if count < FEWEST_FOR_MEDIAN:
            return 1.0
        below_one = bisect(self.ratios, 1.0)  # the undisturbed ones stand after these
        middle = count // 2
        if middle < below_one:
            return self.ratios[middle]
        return 1.0 if middle < below_one + undisturbed else self.ratios[middle - undisturbed]

    def _recompute(self, now: Time, span: Time) -> None:
        start = now - span
        attempts = self.attempts
        while attempts and attempts[0][0] < start:
            attempts.popleft()
        aged = ((a, a.ratio or a.open * (now - a.sent) / a.runtime_alone) for _, a in attempts)
        self.ratios = [ratio for attempt, ratio in aged if attempt.ratio or ratio > 1]
        self.ratios.sort()


@dataclass(slots=True)
class TrafficWindow:
    """The queries admitted of late, and how many by each tenant."""

    arrivals: deque[tuple[Time, int]] = field(default_factory=deque)  # time and tenant
    by_tenant: Counter[int] = field(default_factory=Counter)

    def add(self, now: Time, tenant: int, start: Time) -> None:
        """Counts a query, and drops those from before `start`."""
        while self.arrivals and self.arrivals[0][0] < start:
            self.by_tenant[self.arrivals.popleft()[1]] -= 1
        self.arrivals.append((now, tenant))
        self.by_tenant[tenant] += 1

    def span(self, now: Time) -> Time:
        """The time that the counts cover; a second at the least."""
        return max(SECOND, now - self.arrivals[0][0]) if self.arrivals else SECOND

    def since(self, start: Time) -> int:
        """How many queries have come since then."""
        return sum(at >= start for at, _ in self.arrivals)


@dataclass(slots=True)
class WorkWindow:
    """Recent work in core time."""

    began: Time
    queries: deque[tuple[Time, float]] = field(default_factory=deque)  # time and work
    work: float = 0.0  # the sum

    def add(self, now: Time, work: float, span: Time) -> float:
        """Counts a query's work; the rate over `span`, in cores."""
        self.queries.append((now, work))
        self.work += work
        return self.rate(now, span)

    def rate(self, now: Time, span: Time) -> float:
        """In cores. Over a time that has just begun it is high, never low."""
        while self.queries and self.queries[0][0] < now - span:
            self.work -= self.queries.popleft()[1]
        return self.recorded_rate(now, span)

    def recorded_rate(self, now: Time, span: Time) -> float:
        """The rate without dropping what has grown old since the last query."""
        return self.work / max(1, min(span, now - self.began))
