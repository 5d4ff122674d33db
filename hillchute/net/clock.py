"""The router's clock: it only ever goes forward, whatever happens to the wall clock.

Owns the one reading of the Unix time that the clock starts from and the translation of start times that the
settings and the list of engines state as Unix time. Deadlines, timers, windows, backoff and leases are
counted by Clock(); nothing that serves reads the wall clock beside the files that tests/test_clock.py
names. Must never know what a time is for. Times are whole tenths of a millisecond.
"""

import time
from collections.abc import Callable

NS = 100_000  # nanoseconds in a tenth of a millisecond


def up(ns: int) -> int:
    """Tenths of a millisecond, rounded up."""
    return -(-ns // NS)


class Clock:
    """Unix time as it was when the clock was made, continued by the monotonic clock.

    A step of the wall clock, backward or forward, does not move it. A wall clock that is wrong when the
    program starts moves the numbers, not the distances between them.
    """

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self.monotonic_ns, self.unix_ns = monotonic_ns, unix_ns
        self.offset = unix_ns() - monotonic_ns()

    def __call__(self) -> int:
        return up(self.offset + self.monotonic_ns())

    def age(self, unix: int) -> int:
        """How long ago a moment was that somebody else states as Unix time; never below 0.

        This clock and the wall clock differ after a step, and which of them is right is not known. The
        smaller age is taken: an engine that may have just started is treated as if it had.
        """
        wall = up(self.unix_ns())
        return max(0, min(self() - unix, wall - unix))


class StartTimes:
    """When engines started, on the router's clock. Each statement is translated once, when it is first read:
    the same statement read again after a step of the wall clock is not a new start."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.known: dict[int, tuple[int, int]] = {}  # engine: the start as stated, and on this clock

    def translate(self, engine: int, stated: int) -> int:
        """0 stands for an engine that was there before the list began."""
        if not stated:
            self.known.pop(engine, None)
            return 0
        before, started = self.known.get(engine, (None, 0))
        if before != stated:
            started = max(1, self.clock() - self.clock.age(stated))
            self.known[engine] = stated, started
        return started

    def forget(self, engine: int) -> None:
        self.known.pop(engine, None)
