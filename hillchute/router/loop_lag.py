"""How late the event loop is: its worst lag of late, and the delay that every query meets.

The callers record what they measure; this module never reads a clock and decides nothing. From its figures
follow the margin that answers are given before a client's timeout, and, in the scheduler, which
queries are rejected. Times are whole tenths of a millisecond.
"""

from hillchute.decision.interface import Time

# 0.4 s: with CONNECT_DELAY, a first pause of 0.6 s on a full core leaves time for every answer.
MINIMUM_LAG: Time = 4_000
# A quarter of a second: a client that found no free session has waited that long already, its timeout running
# since before it connected; 118 ms in five plays of disco+crowd with a connect timeout of 250 ms.
CONNECT_DELAY: Time = 2_500
DECAY_DIVISOR = 100  # the worst lag shrinks by a hundredth of the time that passes
WINDOW: Time = 1_000  # 0.1 s in which no query is taken at once is more than a burst or a pause


class LoopLag:
    """The worst recent lag of the loop, and its standing delay."""

    def __init__(self) -> None:
        self.worst: Time = MINIMUM_LAG
        self.decayed_at: Time = 0
        self.window_start: Time = 0
        self.window_minimum: Time | None = None  # the shortest delay of a query in this window
        self.previous_minimum: Time = 0  # the same of the window before

    def record_lag(self, now: Time, lag: Time) -> None:
        """A timer, a read or the end of a round came `lag` later than it should have."""
        decay = max(0, now - self.decayed_at) // DECAY_DIVISOR
        self.decayed_at += decay * DECAY_DIVISOR  # the remainder of the time counts at the next call
        self.worst = max(lag, MINIMUM_LAG, self.worst - decay)

    def answer_margin(self, client_timeout: Time) -> Time:
        """How long before a client's timeout its answer must be on its way: at most half of the timeout."""
        return min(self.worst + CONNECT_DELAY, client_timeout // 2)

    def record_query_delay(self, now: Time, delay: Time) -> None:
        """A query was taken `delay` after it could have been."""
        delay = max(0, delay)
        if now - self.window_start >= WINDOW:
            self._begin_window(now)
        if self.window_minimum is None:
            self.window_minimum = delay
        else:
            self.window_minimum = min(delay, self.window_minimum)
        if delay > self.worst:
            self.record_lag(now, delay)

    def _begin_window(self, now: Time) -> None:
        idle = self.window_minimum is None or now - self.window_start >= 2 * WINDOW
        self.previous_minimum = 0 if idle else self.window_minimum or 0
        self.window_start = now
        self.window_minimum = None

    @property
    def standing_delay(self) -> Time:
        """The delay that even the luckiest query of two windows met.

        It is the sign of a full core, not of a burst or of a pause that is over: RFC 8289 tells a standing
        queue from a good one in this way.
        """
        return min(self.previous_minimum, self.window_minimum or 0)
