"""Running figures over the queries and attempts of late. Nothing here decides."""

from bisect import bisect
from collections import Counter, deque
from dataclasses import dataclass, field

from hillchute.decision.interface import SECOND, Time
from hillchute.decision.query_state import Attempt

TRAFFIC_SPAN = 10 * SECOND  # over which customers' traffic is counted: longer than a short fault


def trim(line: deque, start: Time) -> None:
    """Drops what came before start from a line of (time, ...)."""
    while line and line[0][0] < start:
        line.popleft()


@dataclass(slots=True)
class PaceSample:
    """Submissions of late, and the median of the times that they took over their times alone."""

    line: deque = field(default_factory=deque)  # (time, submission)
    ratios: list = field(default_factory=list)
    at: Time = -(10**9)

    def add(self, now: Time, sub: Attempt) -> None:
        self.line.append((now, sub))

    def median(self, now: Time, span: Time, every: Time, calm: int) -> float:
        """With so many calm ones counted in; 1 where fewer than three are known: they are mostly chance."""
        if now - self.at >= every:
            self.at = now
            trim(self.line, now - span)
            aged = ((s, s.ratio or s.open * (now - s.sent) / s.alone) for _, s in self.line)
            self.ratios = [r for s, r in aged if s.ratio or r > 1]
            self.ratios.sort()
        n = len(self.ratios) + calm
        if n < 3:
            return 1.0
        low = bisect(self.ratios, 1.0)  # the calm ones stand there
        middle = n // 2
        if middle < low:
            return self.ratios[middle]
        return 1.0 if middle < low + calm else self.ratios[middle - calm]


@dataclass(slots=True)
class TrafficWindow:
    """The queries taken of late, and how many by each customer."""

    line: deque = field(default_factory=deque)  # (time, customer)
    by_tenant: Counter = field(default_factory=Counter)

    def add(self, now: Time, tenant: int, start: Time) -> None:
        while self.line and self.line[0][0] < start:
            self.by_tenant[self.line.popleft()[1]] -= 1
        self.line.append((now, tenant))
        self.by_tenant[tenant] += 1

    def span(self, now: Time) -> Time:
        """The time that the counts cover; a second at the least."""
        return max(SECOND, now - self.line[0][0]) if self.line else SECOND


@dataclass(slots=True)
class LightTraffic:
    """The work of late that is light enough for an engine that warms; at most so much in one query."""

    most: float
    began: Time
    line: deque = field(default_factory=deque)  # (time, work)
    work: float = 0.0

    def add(self, now: Time, work: float, span: Time) -> float:
        """Takes one in; the rate, in cores."""
        self.line.append((now, work))
        self.work += work
        return self.rate(now, span)

    def rate(self, now: Time, span: Time) -> float:
        """In cores. Over a time that has just begun it is high, never low."""
        while self.line and self.line[0][0] < now - span:
            self.work -= self.line.popleft()[1]
        return self.work / max(1, min(span, now - self.began))
