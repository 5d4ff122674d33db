"""The router's clock: it only ever goes forward, whatever happens to the wall clock.

Owns the one reading of the Unix time that the clock starts from, and the translation of engines' start times,
which settings and the endpoint list state as Unix time. Deadlines, timers, windows, backoff and leases are
counted by Clock; nothing that serves reads the wall clock except the files that tests/test_clock.py names.
Must never know what a time is for. Times are whole time units of a tenth of a millisecond.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

NANOSECONDS_PER_TIME_UNIT = 100_000
"""A time unit is a tenth of a millisecond."""


def round_up_to_time_units(nanoseconds: int) -> int:
    """Convert nanoseconds to time units, rounded up."""
    return -(-nanoseconds // NANOSECONDS_PER_TIME_UNIT)


def round_down_to_time_units(nanoseconds: int) -> int:
    """Convert nanoseconds to time units, rounded down."""
    return nanoseconds // NANOSECONDS_PER_TIME_UNIT


class Clock:
    """Unix time as it was when the clock was made, continued by the monotonic clock.

    A step of the wall clock, backward or forward, does not move it. A wall clock that is wrong when the
    program starts shifts all readings, not the distances between them.
    """

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        unix_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._monotonic_ns = monotonic_ns
        self._unix_ns = unix_ns
        self._offset = unix_ns() - monotonic_ns()  # nanoseconds

    def __call__(self) -> int:
        """Return the time now, in time units."""
        return round_up_to_time_units(self._offset + self._monotonic_ns())

    def age(self, unix_time: int) -> int:
        """Return how long ago a moment was that another program states as Unix time; never below 0.

        This clock and the wall clock differ after a step, and which of them is right is not known. The
        smaller age is taken: an engine that may have just started is treated as if it had.
        """
        wall_time = round_up_to_time_units(self._unix_ns())
        return max(0, min(self() - unix_time, wall_time - unix_time))


class StartTime(NamedTuple):
    """One engine's start."""

    stated: int
    """As the endpoint list states it, in Unix time."""
    started: int
    """On the router's clock."""


class EngineStartTimes:
    """When engines started, on the router's clock.

    Each statement is translated once, when it is first read: the same statement read again after a step of
    the wall clock is not a new start.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start_times: dict[int, StartTime] = {}  # by engine

    def to_router_clock(self, engine: int, stated: int) -> int:
        """Translate a stated start; 0 stands for an engine that was there before the list began."""
        if not stated:
            self.forget(engine)
            return 0
        known = self._start_times.get(engine)
        if known is not None and known.stated == stated:
            return known.started
        started = max(1, self._clock() - self._clock.age(stated))
        self._start_times[engine] = StartTime(stated, started)
        return started

    def forget(self, engine: int) -> None:
        """Drop what is known of an engine; one that is not known is no error."""
        self._start_times.pop(engine, None)
