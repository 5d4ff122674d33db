"""Measures how late the event loop runs: its recent peak lag, and the standing delay of queries.

Callers record their measurements; this module reads no clock. The peak lag determines how long before a
client's timeout answers are due, and the scheduler rejects queries by the standing delay. Times are integers
in tenths of a millisecond.
"""

from hillchute.decision.interface import Time

# 0.4 s: with CONNECT_DELAY, this leaves time for every answer if a saturated core first pauses for 0.6 s.
MINIMUM_LAG: Time = 4_000
# 0.25 s: a client's timeout starts before it connects, and a client that found no free session has already
# waited this long. In five runs of the scenario disco+crowd with a connect timeout of 250 ms, it was 118 ms.
CONNECT_DELAY: Time = 2_500
DECAY_DIVISOR = 100  # the peak lag decays by a hundredth of the elapsed time
WINDOW: Time = 1_000  # 0.1 s; if no query in it is taken at once, this is more than a burst or a pause


class LoopLag:
    """The recent peak lag of the event loop, and its standing delay."""

    def __init__(self) -> None:
        self.peak_lag: Time = MINIMUM_LAG
        self.decayed_at: Time = 0
        self.window_start: Time = 0
        self.window_minimum: Time | None = None  # the shortest query delay in this window
        self.previous_minimum: Time = 0  # the shortest query delay in the previous window

    def record_lag(self, now: Time, lag: Time) -> None:
        """Records that a timer, a read or the end of a round was `lag` late."""
        decay = max(0, now - self.decayed_at) // DECAY_DIVISOR
        self.decayed_at += decay * DECAY_DIVISOR  # the remainder counts at the next call
        self.peak_lag = max(lag, MINIMUM_LAG, self.peak_lag - decay)

    def answer_margin(self, client_timeout: Time) -> Time:
        """Returns how long before a client's timeout its answer must be sent, at most half of the timeout."""
        return min(self.peak_lag + CONNECT_DELAY, client_timeout // 2)

    def record_query_delay(self, now: Time, delay: Time) -> None:
        """Records that a query was taken `delay` after it was ready."""
        delay = max(0, delay)
        if now - self.window_start >= WINDOW:
            self._begin_window(now)
        if self.window_minimum is None:
            self.window_minimum = delay
        else:
            self.window_minimum = min(delay, self.window_minimum)
        if delay > self.peak_lag:
            self.record_lag(now, delay)

    def _begin_window(self, now: Time) -> None:
        idle = self.window_minimum is None or now - self.window_start >= 2 * WINDOW
        self.previous_minimum = 0 if idle else self.window_minimum or 0
        self.window_start = now
        self.window_minimum = None

    @property
    def standing_delay(self) -> Time:
        """The shortest delay of any query in the last two windows.

        It is above zero on a saturated core, but not after a burst or a pause that is over. RFC 8289 (CoDel)
        distinguishes a standing queue from a harmless one in the same way.
        """
        return min(self.previous_minimum, self.window_minimum or 0)
