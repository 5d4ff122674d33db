"""The router's clock, which never goes back, whatever happens to the wall clock.

Also converts the start times of engines, which the settings and the endpoint list give as Unix time, to this
clock. Deadlines, timers, windows, backoff and leases are measured with Clock; outside of hillchute/lab only
the files listed in tests/test_clock.py read the wall clock. Times are integers in time units of a tenth of a
millisecond.
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
    """The Unix time at which the clock was created, plus the monotonic time that has passed since.

    A step of the wall clock, backward or forward, does not affect it. If the wall clock is wrong when the
    program starts, all readings are shifted, but differences between them are correct.
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
        """Return the current time, in time units."""
        return round_up_to_time_units(self._offset + self._monotonic_ns())

    def age(self, unix_time: int) -> int:
        """Return the age of a Unix time reported by another program, in time units; at least 0.

        After a step of the wall clock, this clock and the wall clock differ, and it is unknown which of them
        is right. The smaller of the two ages is returned, so that an engine that may have just started is
        treated as newly started.
        """
        wall_time = round_up_to_time_units(self._unix_ns())
        return max(0, min(self() - unix_time, wall_time - unix_time))


class StartTime(NamedTuple):
    """The start time of one engine, in time units."""

    stated: int
    """As given by the endpoint list, in Unix time."""
    started: int
    """The same time on the router's clock."""


class EngineStartTimes:
    """The start times of engines, on the router's clock.

    Each start time is converted once, when it is first read, so that the same start time read again after a
    step of the wall clock does not look like a restart.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start_times: dict[int, StartTime] = {}  # by engine

    def to_router_clock(self, engine: int, stated: int) -> int:
        """Convert a stated start time; 0 means that the engine started before the endpoint list began."""
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
        """Forget the start time of an engine, if it is known."""
        self._start_times.pop(engine, None)
