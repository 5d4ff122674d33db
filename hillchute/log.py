"""The structured log: one line with a JSON object per event, on standard output.

Owns the file descriptor and a bounded buffer. Never blocks the event loop, and never raises because of a
failed write: lines that a full pipe does not accept are buffered; lines that exceed the buffer are dropped
and counted.
"""

import os
import time
from collections import Counter

import orjson

MAX_LINES_PER_EVENT = 20
"""Lines per event and window; further ones are only counted, as writing a line costs as much as a query."""

WINDOW_NS = 1_000_000_000
"""Length of the window in which the lines of each event are counted: one second."""

MAX_BUFFER_SIZE = 256 * 1024
"""Bytes buffered for a slow reader: a few seconds of lines."""

FLUSH_SIZE = 4096
"""Bytes of routine lines that are collected before they are written in one call."""

MAX_WRITE_SIZE = 65_536
"""Bytes passed to one write(2): the capacity of a Linux pipe."""

ROUTINE_EVENTS = frozenset({"query"})
"""Events so frequent that their lines are written in batches; all other lines are written immediately."""

CLOSED = -1
"""Replaces a descriptor that has failed, for example because its reader has gone."""

TIMESTAMP_UNIT_NS = 100_000
TIMESTAMP_UNITS_PER_SECOND = 10_000


class Log:
    """The log of one router."""

    def __init__(
        self, name: str, descriptor: int = 1, max_lines_per_event: int = MAX_LINES_PER_EVENT
    ) -> None:
        """Log for the router `name` on `descriptor`, which is made non-blocking."""
        self.name = name
        self.descriptor = descriptor
        self.max_lines_per_event = max_lines_per_event
        self.buffer = bytearray()
        self.dropped = 0
        """Lines dropped for lack of buffer space since the last `log_dropped` line."""
        self.window_start = 0  # nanoseconds of the monotonic clock, which no step of the wall clock affects
        self.lines_by_event: Counter[str] = Counter()  # in the current window
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            self.descriptor = CLOSED

    def write(self, event: str, **fields: object) -> None:
        """Write one line, unless the event has reached its maximum number of lines in this window."""
        now = time.monotonic_ns()
        if now - self.window_start >= WINDOW_NS:
            self._start_window(now)
        self.lines_by_event[event] += 1
        if self.lines_by_event[event] > self.max_lines_per_event:
            return
        timestamp = time.time_ns() // TIMESTAMP_UNIT_NS / TIMESTAMP_UNITS_PER_SECOND
        line = orjson.dumps(
            {"time": timestamp, "router": self.name, "event": event, **fields},
            default=str,
            option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
        )
        if len(self.buffer) + len(line) > MAX_BUFFER_SIZE:
            self.flush()
        if len(self.buffer) + len(line) > MAX_BUFFER_SIZE:
            self.dropped += 1
            return
        self.buffer += line
        if len(self.buffer) > FLUSH_SIZE or event not in ROUTINE_EVENTS:
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if self.dropped and len(self.buffer) < MAX_BUFFER_SIZE // 2:
            self.buffer += orjson.dumps(
                {"event": "log_dropped", "router": self.name, "lines": self.dropped},
                option=orjson.OPT_APPEND_NEWLINE,
            )
            self.dropped = 0
        try:
            while self.buffer and self.descriptor != CLOSED:
                written = os.write(self.descriptor, self.buffer[:MAX_WRITE_SIZE])
                del self.buffer[:written]
        except BlockingIOError:
            pass
        except OSError:
            self.descriptor = CLOSED
            self.buffer.clear()

    def _start_window(self, now: int) -> None:
        """Start a new window, and log the number of lines suppressed in the last one, by event."""
        suppressed = {
            event: lines - self.max_lines_per_event
            for event, lines in self.lines_by_event.items()
            if lines > self.max_lines_per_event
        }
        self.window_start = now
        self.lines_by_event = Counter()
        if suppressed:
            self.write("log_suppressed", left_out=suppressed)
