"""A ring buffer of the most recent events and their times, for diagnosing faults.

Recording an event costs one tuple; events are formatted only when the trace is written.
"""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from hillchute.decision.interface import MILLISECOND, Time

CAPACITY = 2_000  # events: about one second of a busy router, 300 kB
EVENTS_PER_BATCH = 100  # per log line, so that the whole trace stays within the limit of lines a second


class TracedEvent(NamedTuple):
    """An event's time in tenths of a millisecond, its name and the identifiers of its subject."""

    time: Time
    details: tuple[object, ...]


class EventTrace:
    """A ring buffer of the last `capacity` events."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self.events: deque[TracedEvent] = deque(maxlen=capacity)

    def record(self, time: Time, details: tuple[object, ...]) -> None:
        """Adds an event; the oldest one is dropped if the buffer is full."""
        self.events.append(TracedEvent(time, details))

    def batches(self, last: int = CAPACITY) -> Iterator[list[list[object]]]:
        """Yields the `last` events, oldest first, in batches for one log line each.

        Times are in milliseconds relative to the newest event.
        """
        events = list(self.events)[-last:]
        if not events:
            return
        newest = events[-1].time
        for start in range(0, len(events), EVENTS_PER_BATCH):
            batch = events[start : start + EVENTS_PER_BATCH]
            yield [[(event.time - newest) / MILLISECOND, *event.details] for event in batch]
