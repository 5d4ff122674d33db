"""Relays load reports to other routers at a bounded rate: a queue that is emptied by a token bucket.

Performs no I/O. Times are tenths of a millisecond.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from hillchute.coordination.load_signals import MAX_REPORT_AGE, SECOND
from hillchute.decision.interface import EngineId, Time

BYTES_PER_SECOND = 6_000  # reports beyond it wait, and are dropped when too old
BURST_BYTES = 12_000  # enough for one report to every router that an engine of a large fleet serves
DATAGRAM_BYTES = 110  # of a datagram with one report
FURTHER_REPORT_BYTES = 12  # of each further report in the same datagram


class QueuedReport(NamedTuple):
    """A load report of an engine, to be sent to a router."""

    observed_at: Time
    recipient: str
    engine: EngineId


class ReportRelay:
    """The queue of load reports to be sent."""

    def __init__(self, now: Time) -> None:
        self.queue: deque[QueuedReport] = deque()
        self.credit = float(BURST_BYTES)
        self.credited_at = now
        self.dropped = 0  # reports that were too old when they could be sent

    def enqueue(self, now: Time, engine: EngineId, recipients: Iterable[str]) -> None:
        """Queues a load report of an engine for these routers."""
        self.queue.extend(QueuedReport(now, recipient, engine) for recipient in recipients)

    def take_due(self, now: Time, alive: frozenset[str]) -> dict[str, set[EngineId]]:
        """The engines whose last reports are to be sent now, by recipient, within the available credit."""
        self.credit = min(BURST_BYTES, self.credit + BYTES_PER_SECOND * (now - self.credited_at) / SECOND)
        self.credited_at = now
        due: dict[str, set[EngineId]] = {}
        while self.queue and self.credit > 0:
            observed_at, recipient, engine = self.queue.popleft()
            if now - observed_at > MAX_REPORT_AGE:
                self.dropped += 1
            elif recipient in alive and engine not in due.get(recipient, ()):
                self.credit -= FURTHER_REPORT_BYTES if recipient in due else DATAGRAM_BYTES
                due.setdefault(recipient, set()).add(engine)
        return due
