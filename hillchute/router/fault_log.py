"""Faults of this program in the log: what failed, and the events just before it."""

import traceback

from hillchute.decision.interface import SECOND, Time
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.router.event_trace import EventTrace

TRACEBACK_FRAMES = -6  # the innermost ones: those name the fault
EVENTS_BEFORE_FAULT = 200  # of the trace, written with a fault: two lines, a tenth of a busy second
TRACE_INTERVAL: Time = SECOND  # between two traces written with faults: a row of faults has one cause


class FaultLog:
    """Writes faults, each with its traceback, and the trace of events with the first in a second."""

    def __init__(self, log: Log, trace: EventTrace, clock: Clock) -> None:
        self.log = log
        self.trace = trace
        self.clock = clock
        self.trace_written_at: Time = 0

    def write(self, source: str, error: Exception) -> None:
        """Logs the exception that is being handled; `source` names the call or the object that failed."""
        stack = traceback.format_exc(limit=TRACEBACK_FRAMES)
        self.log.write("fault", what=source, reason=repr(error), trace=stack)
        self.write_trace()

    def write_trace(self) -> None:
        """Writes the last events, unless that was done within the last second."""
        now = self.clock()
        if now - self.trace_written_at < TRACE_INTERVAL:
            return
        self.trace_written_at = now
        for batch in self.trace.batches(EVENTS_BEFORE_FAULT):
            self.log.write("trace", events=batch)
