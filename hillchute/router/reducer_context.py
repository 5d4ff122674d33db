"""What the parts of the reducer share while an event is reduced: the time, the effects so far, timers.

Owns the heap of timers and the alarm that wakes the event loop for the first of them; does not know what a
timer or an effect is for. Times are whole tenths of a millisecond.
"""

import traceback
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple

from hillchute.decision.interface import Time
from hillchute.router.effects import Effect, SetAlarm, WriteLog

TRACEBACK_FRAMES = -8  # the innermost ones: those name the fault


class Timer(NamedTuple):
    """A call that is due at a time; `number` keeps the order of those that are due at once."""

    due: Time
    number: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class ReducerContext:
    """One event's time and effects, and the timers of all events.

    A timer's arguments are names of queries, not the queries themselves: those may end long before.
    """

    def __init__(self, alarm_resolution: Time) -> None:
        self.alarm_resolution = alarm_resolution
        self.now: Time = 0
        self.effects: list[Effect] = []
        self.scheduler_notified = False  # whether the scheduler learned anything from this event
        self.last_number = 0
        self.timers: list[Timer] = []  # a heap
        self.alarm: Time | None = None

    def begin_event(self, now: Time, scheduler_notified: bool) -> None:
        """Starts the reduction of an event that came at `now`."""
        self.now = now
        self.effects = []
        self.scheduler_notified = scheduler_notified

    def next_number(self) -> int:
        """A number that no timer, connection, query or health check has had."""
        self.last_number += 1
        return self.last_number

    def emit(self, effect: Effect) -> None:
        """Adds an effect to those of the event."""
        self.effects.append(effect)

    def log(self, event: str, **fields: object) -> None:
        """Adds a line of the log to the effects."""
        self.effects.append(WriteLog(event, fields))

    def log_exception(self, source: str) -> None:
        """Logs the exception that is being handled: it ends the call that raised it, not the program, and the
        effects before it stand."""
        self.log("fault", what=source, trace=traceback.format_exc(limit=TRACEBACK_FRAMES))

    def call_at(self, time: Time, callback: Callable[..., None], *arguments: object) -> None:
        """Sets a timer: calls back with the first event at `time` or later."""
        heappush(self.timers, Timer(time, self.next_number(), callback, arguments))

    def run_due_timers(self) -> None:
        """Calls back for all timers that are due, also those that such a call sets."""
        while self.timers and self.timers[0].due <= self.now:
            timer = heappop(self.timers)
            self.scheduler_notified = True
            try:
                timer.callback(*timer.arguments)
            except Exception:  # noqa: BLE001 - a fault in one timer keeps no other from its time
                self.log_exception(timer.callback.__name__)

    def update_alarm(self) -> None:
        """Emits an alarm if the first timer has changed.

        Alarms come at multiples of the resolution: the scheduler asks for a wake-up at every query's turns,
        thousands a second when it is busy.
        """
        first = None
        if self.timers:
            first = -(-self.timers[0].due // self.alarm_resolution) * self.alarm_resolution
        if first is not None and first != self.alarm:
            self.effects.append(SetAlarm(first))
        self.alarm = first
