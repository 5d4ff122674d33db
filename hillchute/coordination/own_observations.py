"""What one router observed of engines and queries itself, in the form in which others are told of it.

Owns the router's own load reports, failures, drains, warm-up work and counts of queries. Pure. Times are
tenths of a millisecond.
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

DRAIN_RETENTION: Time = 120 * SECOND  # endpoint lists of different routers are never that far apart
MAX_FIGURE = 1 << 30  # hundredths; larger ones are cut to this
ENTRIES_BESIDE_PING = 8  # failures, drains or totals of warm-up work that go with one ping


class KnownDrain(NamedTuple):
    """The endpoint list's event that drained an engine, and when it was received."""

    event_number: int
    received_at: Time


class SentWork(NamedTuple):
    """Core time that was sent to a warming engine, and when."""

    sent_at: Time
    core_time: Time


class OwnObservations:
    """One router's own observations. `columns`: the figures of a load report that are sent, in order."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns
        self.load_reports: dict[EngineId, TimedFigures] = {}  # the last of each engine
        self.failures: dict[EngineId, Time] = {}  # when the last one happened
        self.drains: dict[EngineId, KnownDrain] = {}
        self.warm_up_totals: dict[EngineId, int] = {}  # hundredths of a second, since this router started
        self.recent_work: dict[EngineId, deque[SentWork]] = {}  # oldest first
        self.received: dict[int, int] = {}  # queries by group
        self.rejected: dict[int, int] = {}
        self.drain_page = 0  # which drains go next, where they are too many for one message

    def on_drains(
        self, now: Time, event_number: int, ready: frozenset[EngineId], closed: frozenset[EngineId]
    ) -> None:
        """The endpoint list has reached an event: new drains are kept, those that are over forgotten."""
        for engine in closed - self.drains.keys():
            self.drains[engine] = KnownDrain(event_number, now)
        over = [
            engine
            for engine, drain in self.drains.items()
            if engine in ready or now - drain.received_at > DRAIN_RETENTION
        ]
        for engine in over:
            del self.drains[engine]

    def keep_only(self, ready: frozenset[EngineId]) -> None:
        """Forgets engines that are no longer ready."""
        for engine in self.load_reports.keys() - ready:
            del self.load_reports[engine]
        for engine in self.failures.keys() - ready:
            del self.failures[engine]
        for engine in self.warm_up_totals.keys() - ready:
            del self.warm_up_totals[engine]
        for engine in self.recent_work.keys() - ready:
            del self.recent_work[engine]

    def on_load_report(self, now: Time, engine: EngineId, report: Mapping[str, float]) -> None:
        """An engine sent this router a load report."""
        self.failures.pop(engine, None)
        self.load_reports[engine] = TimedFigures(now, tuple(to_figure(report, name) for name in self.columns))

    def on_success(self, engine: EngineId) -> None:
        """An engine returned a result to this router."""
        self.failures.pop(engine, None)

    def on_failure(self, now: Time, engine: EngineId) -> None:
        """An engine failed more than once in a row for this router."""
        self.failures[engine] = now

    def on_warm_up_work(self, now: Time, engine: EngineId, core_time: Time) -> None:
        """A query was sent to a warming engine."""
        hundredths = max(0, core_time) // (SECOND // 100)
        self.warm_up_totals[engine] = self.warm_up_totals.get(engine, 0) + hundredths
        self.recent_work.setdefault(engine, deque()).append(SentWork(now, core_time))

    def count_query(self, group: int, *, rejected: bool) -> None:
        """A query of a group was received, or was rejected."""
        counts = self.rejected if rejected else self.received
        counts[group] = counts.get(group, 0) + 1

    # ---- for messages ------------------------------------------------------------------------------

    def fresh_load_reports(self, now: Time, engines: Iterable[EngineId]) -> list[LoadReport]:
        """The last load reports of some engines, but for those that are too old to matter."""
        reports = []
        for engine in engines:
            last = self.load_reports.get(engine)
            if last is not None and now - last.measured_at <= MAX_REPORT_AGE:
                reports.append(LoadReport(engine, max(0, now - last.measured_at), last.figures))
        return reports

    def warm_up_work(self, engines: Iterable[EngineId]) -> list[WarmUpWork]:
        """The totals of warm-up work of some engines."""
        totals = self.warm_up_totals
        return [WarmUpWork(engine, totals[engine]) for engine in engines if engine in totals]

    def drain_notices(self) -> list[DrainNotice]:
        """All drains that are kept."""
        return [DrainNotice(engine, drain.event_number) for engine, drain in self.drains.items()]

    def beside_ping(self, now: Time) -> Observations:
        """All but load reports, as much as goes with one ping; drains take turns."""
        self.drain_page += 1
        self.failures = {
            engine: failed_at
            for engine, failed_at in self.failures.items()
            if now - failed_at < FAILURE_BACKOFF
        }
        failures = [EngineFailure(engine, max(0, now - at)) for engine, at in self.failures.items()]
        drains = sorted(self.drain_notices())
        first = self.drain_page * ENTRIES_BESIDE_PING % max(1, len(drains))
        drains = drains[first:] + drains[:first]
        admissions = [
            AdmissionCounts(group, received, min(received, self.rejected.get(group, 0)))
            for group, received in sorted(self.received.items())
        ]
        return Observations(
            failures=tuple(failures[:ENTRIES_BESIDE_PING]),
            drains=tuple(drains[:ENTRIES_BESIDE_PING]),
            warm_up_work=tuple(self.warm_up_work(sorted(self.warm_up_totals))[:ENTRIES_BESIDE_PING]),
            admissions=tuple(admissions[: codec.MAX_ENTRIES["admissions"]]),
        )

    def recent_warm_up_work(self, now: Time, engine: EngineId, window: Time) -> Time:
        """Core time that this router sent to an engine within a window; forgets what is older."""
        work = self.recent_work.get(engine, deque())
        while work and work[0].sent_at <= now - window:
            work.popleft()
        return sum(entry.core_time for entry in work)


def to_figure(report: Mapping[str, float], name: str) -> int:
    """A figure of a load report in hundredths; -1 if the report has none of that name."""
    if name not in report:
        return -1
    return min(MAX_FIGURE, max(0, int(report[name] * 100)))
