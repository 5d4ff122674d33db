"""State shared by the reducer's components while an event is reduced: the time, the effects and the timers.

Owns the heap of timers and the alarm that wakes the event loop for the earliest of them. Times are integers
in tenths of a millisecond.
"""

import traceback
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any, NamedTuple

from hillchute.decision.interface import Time
from hillchute.router.effects import Effect, SetAlarm, WriteLog

TRACEBACK_FRAMES = -8  # the innermost frames, which show where the fault is
MIN_TIMERS_TO_COMPACT = 2_048


class Timer(NamedTuple):
    """A call that is due at a time; `number` orders timers that are due at the same time."""

    due: Time
    number: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]
    query_number: int = 0  # of the query that the timer is for; 0: for none


class ReducerContext:
    """The time and effects of the current event, and all timers.

    Timer arguments identify queries instead of referring to them, since a query may end long before. The
    timers of queries that have ended are dropped whenever the number of timers has doubled.
    """

    def __init__(self, alarm_resolution: Time) -> None:
        self.alarm_resolution = alarm_resolution
        self.now: Time = 0
        self.effects: list[Effect] = []
        self.scheduler_notified = False  # whether the scheduler was given anything new by this event
        self.last_number = 0
        self.timers: list[Timer] = []  # heap by due time
        self.timers_to_compact = MIN_TIMERS_TO_COMPACT  # number of timers at which they are compacted next
        self.open_queries: set[int] = set()  # numbers of the queries that have not ended
        self.alarm: Time | None = None

    def begin_event(self, now: Time, scheduler_notified: bool) -> None:
        """Starts the reduction of an event at the time `now`."""
        self.now = now
        self.effects = []
        self.scheduler_notified = scheduler_notified

    def next_number(self) -> int:
        """Returns a new number, unique among timers, connections, queries and health checks."""
        self.last_number += 1
        return self.last_number

    def emit(self, effect: Effect) -> None:
        """Adds an effect of the current event."""
        self.effects.append(effect)

    def log(self, event: str, **fields: object) -> None:
        """Adds an effect that writes a log line."""
        self.effects.append(WriteLog(event, fields))

    def log_exception(self, source: str) -> None:
        """Logs the exception being handled; the program goes on, and the effects so far are kept."""
        self.log("fault", what=source, trace=traceback.format_exc(limit=TRACEBACK_FRAMES))

    def call_at(self, time: Time, callback: Callable[..., None], *arguments: object) -> None:
        """Sets a timer, which calls back with the first event at `time` or later."""
        heappush(self.timers, Timer(time, self.next_number(), callback, arguments))

    def call_for_query_at(
        self, time: Time, query_number: int, callback: Callable[..., None], *arguments: object
    ) -> None:
        """Sets a timer that is not needed once the query with this number has ended."""
        heappush(self.timers, Timer(time, self.next_number(), callback, arguments, query_number))
        if len(self.timers) >= self.timers_to_compact:
            self._compact_timers()

    def _compact_timers(self) -> None:
        """Drops the timers of queries that have ended; queries may end far faster than timers are due."""
        self.timers = [
            timer
            for timer in self.timers
            if not timer.query_number or timer.query_number in self.open_queries
        ]
        heapify(self.timers)
        self.timers_to_compact = max(MIN_TIMERS_TO_COMPACT, 2 * len(self.timers))

    def run_due_timers(self) -> None:
        """Runs all due timers, including those that these calls set."""
        while self.timers and self.timers[0].due <= self.now:
            timer = heappop(self.timers)
            self.scheduler_notified = True
            try:
                timer.callback(*timer.arguments)
            except Exception:  # noqa: BLE001 - an exception in one timer must not delay others
                self.log_exception(timer.callback.__name__)

    def update_alarm(self) -> None:
        """Emits a new alarm if the time of the earliest timer has changed.

        Alarm times are rounded up to the resolution, since the scheduler asks for thousands of wake-ups a
        second under load.
        """
        first = None
        if self.timers:
            first = -(-self.timers[0].due // self.alarm_resolution) * self.alarm_resolution
        if first is not None and first != self.alarm:
            self.effects.append(SetAlarm(first))
        self.alarm = first
