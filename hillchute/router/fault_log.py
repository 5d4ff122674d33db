"""Logs and counts internal faults: what failed, and the events just before it."""

import traceback
from collections import Counter

from hillchute.decision.interface import SECOND, Time
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.router.event_trace import EventTrace

TRACEBACK_FRAMES = -6  # the innermost frames, which show where the fault is
EVENTS_BEFORE_FAULT = 200  # written with a fault: two lines, a tenth of a second of a busy router
TRACE_INTERVAL: Time = SECOND  # minimum interval between traces: repeated faults usually have one cause


class FaultLog:
    """Logs faults with their tracebacks and their number, and the event trace at most once a second."""

    def __init__(self, log: Log, trace: EventTrace, clock: Clock) -> None:
        self.log = log
        self.trace = trace
        self.clock = clock
        self.trace_written_at: Time = 0
        self.counts: Counter[str] = Counter()  # since the start, by source

    def write(self, source: str, error: BaseException) -> None:
        """Logs and counts an exception; `source` names the call or the object that failed.

        The log limits the lines per second, so that `count` may rise by more than one from line to line.
        """
        stack = "".join(traceback.format_exception(error, limit=TRACEBACK_FRAMES))
        self.log.write("fault", what=source, count=self.count(source), reason=repr(error), trace=stack)
        self.write_trace()

    def count(self, source: str) -> int:
        """Counts a fault of this source; returns how many there have been."""
        self.counts[source] += 1
        return self.counts[source]

    def write_trace(self) -> None:
        """Logs the last events, unless this was done within the last second."""
        now = self.clock()
        if now - self.trace_written_at < TRACE_INTERVAL:
            return
        self.trace_written_at = now
        for batch in self.trace.batches(EVENTS_BEFORE_FAULT):
            self.log.write("trace", events=batch)
