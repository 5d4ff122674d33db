"""Logs internal faults: what failed, and the events just before it."""

import traceback

from hillchute.decision.interface import SECOND, Time
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.router.event_trace import EventTrace

TRACEBACK_FRAMES = -6  # the innermost frames, which show where the fault is
EVENTS_BEFORE_FAULT = 200  # written with a fault: two lines, a tenth of a second of a busy router
TRACE_INTERVAL: Time = SECOND  # minimum interval between traces: repeated faults usually have one cause


class FaultLog:
    """Logs faults with their tracebacks, and the event trace at most once a second."""

    def __init__(self, log: Log, trace: EventTrace, clock: Clock) -> None:
        self.log = log
        self.trace = trace
        self.clock = clock
        self.trace_written_at: Time = 0

    def write(self, source: str, error: Exception) -> None:
        """Logs the exception being handled; `source` names the call or the object that failed."""
        stack = traceback.format_exc(limit=TRACEBACK_FRAMES)
        self.log.write("fault", what=source, reason=repr(error), trace=stack)
        self.write_trace()

    def write_trace(self) -> None:
        """Logs the last events, unless this was done within the last second."""
        now = self.clock()
        if now - self.trace_written_at < TRACE_INTERVAL:
            return
        self.trace_written_at = now
        for batch in self.trace.batches(EVENTS_BEFORE_FAULT):
            self.log.write("trace", events=batch)
