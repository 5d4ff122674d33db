"""The last events with their times: what happened just before something went wrong.

A ring buffer of fixed length. Nothing is formatted or written while things go well: an event costs one tuple.
"""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from hillchute.decision.interface import MILLISECOND, Time

CAPACITY = 2_000  # events: about a second of a busy router, 300 kB
EVENTS_PER_BATCH = 100  # in one line of the log, so that the whole trace stays within its lines a second


class TracedEvent(NamedTuple):
    """When something happened, in whole tenths of a millisecond; its name and what identifies its subject."""

    time: Time
    details: tuple[object, ...]


class EventTrace:
    """A ring buffer of the last `capacity` events."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self.events: deque[TracedEvent] = deque(maxlen=capacity)

    def record(self, time: Time, details: tuple[object, ...]) -> None:
        """Adds an event; the oldest one gives way."""
        self.events.append(TracedEvent(time, details))

    def batches(self, last: int = CAPACITY) -> Iterator[list[list[object]]]:
        """The `last` events, oldest first, a line of the log at a time.

        Their times are milliseconds relative to the newest event.
        """
        events = list(self.events)[-last:]
        if not events:
            return
        newest = events[-1].time
        for start in range(0, len(events), EVENTS_PER_BATCH):
            batch = events[start : start + EVENTS_PER_BATCH]
            yield [[(event.time - newest) / MILLISECOND, *event.details] for event in batch]
