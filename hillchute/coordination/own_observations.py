"""One router's own observations of engines and queries, in the form in which they are sent to others.

Stores load reports, failures, drains, warm-up work and query counts. Performs no I/O. Times are tenths of a
millisecond.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hillchute.coordination import codec
from hillchute.coordination.load_signals import FAILURE_BACKOFF, MAX_REPORT_AGE, SECOND, TimedFigures
from hillchute.coordination.messages import (
    AdmissionCounts,
    DrainNotice,
    EngineFailure,
    LoadReport,
    Observations,
    WarmUpWork,
)
from hillchute.decision.interface import EngineId, Time

DRAIN_RETENTION: Time = 120 * SECOND  # longer than the endpoint lists of two routers ever differ
MAX_FIGURE = 1 << 30  # hundredths; larger figures are clamped
MAX_ENTRIES_PER_PING = 8  # of failures, drains and warm-up totals each


class KnownDrain(NamedTuple):
    """The watch event that drained an engine, and when it was received."""

    event_number: int
    received_at: Time


class SentWork(NamedTuple):
    """Core time of a query sent to a warming engine, and when it was sent."""

    sent_at: Time
    core_time: Time


class OwnObservations:
    """One router's own observations. `columns`: the figures of a load report that are sent, in order."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns
        self.load_reports: dict[EngineId, TimedFigures] = {}  # the last one of each engine
        self.failures: dict[EngineId, Time] = {}  # when the last one happened
        self.drains: dict[EngineId, KnownDrain] = {}
        self.warm_up_totals: dict[EngineId, int] = {}  # hundredths of a second, since this router started
        self.recent_work: dict[EngineId, deque[SentWork]] = {}  # oldest first
        self.received: dict[int, int] = {}  # queries by group
        self.rejected: dict[int, int] = {}
        self.drain_page = 0  # the next page of drains, if they do not fit into one message

    def on_drains(
        self, now: Time, event_number: int, ready: frozenset[EngineId], closed: frozenset[EngineId]
    ) -> None:
        """Handles an event of the endpoint list: stores new drains and removes those that have ended."""
        for engine in closed - self.drains.keys():
            self.drains[engine] = KnownDrain(event_number, now)
        ended = [
            engine
            for engine, drain in self.drains.items()
            if engine in ready or now - drain.received_at > DRAIN_RETENTION
        ]
        for engine in ended:
            del self.drains[engine]

    def keep_only(self, ready: frozenset[EngineId]) -> None:
        """Removes engines that are no longer ready."""
        for engine in self.load_reports.keys() - ready:
            del self.load_reports[engine]
        for engine in self.failures.keys() - ready:
            del self.failures[engine]
        for engine in self.warm_up_totals.keys() - ready:
            del self.warm_up_totals[engine]
        for engine in self.recent_work.keys() - ready:
            del self.recent_work[engine]

    def on_load_report(self, now: Time, engine: EngineId, report: Mapping[str, float]) -> None:
        """Handles a load report that an engine sent to this router."""
        self.failures.pop(engine, None)
        self.load_reports[engine] = TimedFigures(now, tuple(to_figure(report, name) for name in self.columns))

    def on_success(self, engine: EngineId) -> None:
        """Handles a result that an engine returned to this router."""
        self.failures.pop(engine, None)

    def on_failure(self, now: Time, engine: EngineId) -> None:
        """Handles an engine's second or later consecutive failure at this router."""
        self.failures[engine] = now

    def on_warm_up_work(self, now: Time, engine: EngineId, core_time: Time) -> None:
        """Handles the sending of a query to a warming engine."""
        hundredths = max(0, core_time) // (SECOND // 100)
        self.warm_up_totals[engine] = self.warm_up_totals.get(engine, 0) + hundredths
        self.recent_work.setdefault(engine, deque()).append(SentWork(now, core_time))

    def count_query(self, group: int, *, rejected: bool) -> None:
        """Counts a query of a group as received, or as rejected."""
        counts = self.rejected if rejected else self.received
        counts[group] = counts.get(group, 0) + 1

    # ---- for messages ------------------------------------------------------------------------------

    def fresh_load_reports(self, now: Time, engines: Iterable[EngineId]) -> list[LoadReport]:
        """The last load reports of these engines, except those older than MAX_REPORT_AGE."""
        reports = []
        for engine in engines:
            last = self.load_reports.get(engine)
            if last is not None and now - last.measured_at <= MAX_REPORT_AGE:
                reports.append(LoadReport(engine, max(0, now - last.measured_at), last.figures))
        return reports

    def warm_up_work(self, engines: Iterable[EngineId]) -> list[WarmUpWork]:
        """The totals of warm-up work of these engines."""
        totals = self.warm_up_totals
        return [WarmUpWork(engine, totals[engine]) for engine in engines if engine in totals]

    def drain_notices(self) -> list[DrainNotice]:
        """All stored drains."""
        return [DrainNotice(engine, drain.event_number) for engine, drain in self.drains.items()]

    def ping_observations(self, now: Time) -> Observations:
        """Everything except load reports, up to the maximum for one ping; drains are sent page by page."""
        self.drain_page += 1
        self.failures = {
            engine: failed_at
            for engine, failed_at in self.failures.items()
            if now - failed_at < FAILURE_BACKOFF
        }
        failures = [EngineFailure(engine, max(0, now - at)) for engine, at in self.failures.items()]
        drains = sorted(self.drain_notices())
        first = self.drain_page * MAX_ENTRIES_PER_PING % max(1, len(drains))
        drains = drains[first:] + drains[:first]
        admissions = [
            AdmissionCounts(group, received, min(received, self.rejected.get(group, 0)))
            for group, received in sorted(self.received.items())
        ]
        return Observations(
            failures=tuple(failures[:MAX_ENTRIES_PER_PING]),
            drains=tuple(drains[:MAX_ENTRIES_PER_PING]),
            warm_up_work=tuple(self.warm_up_work(sorted(self.warm_up_totals))[:MAX_ENTRIES_PER_PING]),
            admissions=tuple(admissions[: codec.MAX_ENTRIES["admissions"]]),
        )

    def recent_warm_up_work(self, now: Time, engine: EngineId, window: Time) -> Time:
        """Core time that this router sent to an engine within a window; removes older entries."""
        work = self.recent_work.get(engine, deque())
        while work and work[0].sent_at <= now - window:
            work.popleft()
        return sum(entry.core_time for entry in work)


def to_figure(report: Mapping[str, float], name: str) -> int:
    """A figure of a load report, in hundredths; -1 if the report has none of this name."""
    if name not in report:
        return -1
    return min(MAX_FIGURE, max(0, int(report[name] * 100)))
