"""Merges other routers' observations of engines and decides how far they are trusted.

Performs no I/O. Observations of others never reopen an engine and never close all of them, and correctness
does not depend on receiving any.

Each observation has an age and a witness, the router that made it itself. The newest one of each witness
about each engine is kept, so order, repeats and loss do not matter. A single malicious or faulty router can
do the following:

- load: a witness is accepted only for engines of its own subset, so only their loads can be wrong, and none
  of an engine that reported to this router within OWN_PRECEDENCE;
- failures: one witness makes an engine the last choice; at most a third of a subset is treated so, and no
  engine that ran a query for this router within OWN_PRECEDENCE;
- drains: one witness makes an engine the last choice, two close it; at most a third of all engines. Only the
  endpoint list reopens it, once it has reached the event that the witnesses named.

Times are tenths of a millisecond on this router's own clock.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hillchute.coordination.jitter import delay_by_number
from hillchute.coordination.messages import (
    AdmissionCounts,
    DrainNotice,
    EngineFailure,
    LoadReport,
    Observations,
    WarmUpWork,
)
from hillchute.decision.interface import EngineId, Time

SECOND = 10_000
OWN_PRECEDENCE: Time = SECOND  # a router's own observation overrides those of others for this long
MAX_REPORT_AGE: Time = 3 * SECOND  # by then most queries counted in a report have ended
FAILURE_BACKOFF: Time = 3 * SECOND  # an engine reported as failing is the last choice for this long
RECOVERY_SPREAD: Time = 2 * SECOND  # afterwards routers return to it one after another within this time
WITNESSES_TO_CLOSE = 2
MAX_DISTRUSTED_SHARE = 1 / 3  # of the engines that others' observations may close or make the last choice
MAX_FIGURES = 8  # of a load report
MAX_TOTALS = 64  # kept per witness and engine: at most ten a second over the window
LONG_AGO: Time = -(10**12)  # earlier than any time of the clock
FAILURE_TOPIC = "ill"  # input of a hash: a change would shift every router's return to an engine
HUNDREDTH_OF_SECOND: Time = SECOND // 100  # the unit of warm-up work in messages


class TimedFigures(NamedTuple):
    """The figures of a load report, and when the witness received them."""

    measured_at: Time
    figures: tuple[int, ...]


class TimedTotal(NamedTuple):
    """A witness's total of warm-up work, in hundredths of a second, and when it was received here."""

    received_at: Time
    total: int


@dataclass(slots=True)
class EngineSignals:
    """What is known about one engine beyond its entry in the endpoint list; the maps are by witness."""

    own_result_at: Time = LONG_AGO  # this router's last load report or success
    own_report_at: Time = LONG_AGO  # this router's last load report
    load_reports: dict[str, TimedFigures] = field(default_factory=dict)
    failures: dict[str, Time] = field(default_factory=dict)  # when the last one happened
    drains: dict[str, int] = field(default_factory=dict)  # offset of the watch event
    warm_up_work: dict[str, deque[TimedTotal]] = field(default_factory=dict)


class LoadSignals:
    """The merged observations of other routers. `has_in_subset(witness, engine)`: whether a router has an
    engine in its subset, which all routers compute identically."""

    def __init__(self, router_number: int, has_in_subset: Callable[[str, EngineId], bool]) -> None:
        self.router_number = router_number
        self.has_in_subset = has_in_subset
        self.engines: dict[EngineId, EngineSignals] = {}
        self.list_event = 0  # offset of the last watch event of the own endpoint list
        self.admissions: dict[tuple[str, int], AdmissionCounts] = {}  # by witness and group
        self.implausible_reports = 0  # by witnesses that do not have the engine in their subset

    # ---- observations ------------------------------------------------------------------------------

    def on_endpoint_list(self, event_number: int, engines: Iterable[EngineId]) -> None:
        """Handles an event of the own endpoint list; engines that it no longer contains are removed."""
        self.list_event = max(self.list_event, event_number)
        known = self.engines
        self.engines = {}
        for engine in engines:
            signals = known.get(engine) or EngineSignals()
            signals.drains = {
                witness: event for witness, event in signals.drains.items() if event > self.list_event
            }
            self.engines[engine] = signals

    def on_own_result(self, now: Time, engine: EngineId, has_report: bool = False) -> None:
        """Handles a result, or a load report, that this router itself received from an engine."""
        signals = self.engines.get(engine)
        if signals is None:
            return
        signals.own_result_at = now
        if has_report:
            signals.own_report_at = now

    def on_observations(self, now: Time, witness: str, observations: Observations) -> list[LoadReport]:
        """Merges another router's observations. Returns the load reports that are newer than all known ones,
        for the scheduler. They are not relayed further: every witness sends its own."""
        newest = []
        for report in observations.load_reports:
            if self.merge_load_report(now, witness, report):
                newest.append(report)
        for failure in observations.failures:
            self.merge_failure(now, witness, failure)
        for notice in observations.drains:
            self.merge_drain(witness, notice)
        for work in observations.warm_up_work:
            self.merge_warm_up_work(now, witness, work)
        for counts in observations.admissions:
            self.merge_admissions(witness, counts)
        return newest

    def merge_load_report(self, now: Time, witness: str, report: LoadReport) -> bool:
        """Stores a load report; returns whether it is the newest known one of its engine."""
        signals = self.engines.get(report.engine)
        if signals is None or report.age > MAX_REPORT_AGE:
            return False
        if not self.has_in_subset(witness, report.engine):
            self.implausible_reports += 1
            return False
        measured_at = now - max(0, report.age)
        newest_before = max(
            (known.measured_at for known in signals.load_reports.values()), default=signals.own_report_at
        )
        last = signals.load_reports.get(witness)
        if last is None or last.measured_at < measured_at:
            signals.load_reports[witness] = TimedFigures(measured_at, report.figures)
        is_newest = measured_at > max(newest_before, signals.own_report_at)
        return is_newest and now - signals.own_report_at >= OWN_PRECEDENCE

    def merge_failure(self, now: Time, witness: str, failure: EngineFailure) -> None:
        """Stores the time of the last failure observed by a witness."""
        signals = self.engines.get(failure.engine)
        if signals is None or not self.has_in_subset(witness, failure.engine):
            return
        last = signals.failures.get(witness, now - FAILURE_BACKOFF)
        signals.failures[witness] = max(last, now - max(0, failure.age))

    def merge_drain(self, witness: str, notice: DrainNotice) -> None:
        """Stores the last drain known to a witness, unless the own endpoint list has reached it."""
        signals = self.engines.get(notice.engine)
        if signals is not None and notice.event_number > self.list_event:
            signals.drains[witness] = max(signals.drains.get(witness, 0), notice.event_number)

    def merge_warm_up_work(self, now: Time, witness: str, work: WarmUpWork) -> None:
        """Appends a witness's total; totals only rise, so a smaller one is outdated."""
        signals = self.engines.get(work.engine)
        if signals is None:
            return
        totals = signals.warm_up_work.setdefault(witness, deque(maxlen=MAX_TOTALS))
        if not totals or work.total > totals[-1].total:
            totals.append(TimedTotal(now, work.total))

    def merge_admissions(self, witness: str, counts: AdmissionCounts) -> None:
        """Stores the largest counts of a witness, since counts only rise."""
        group = counts.group
        last = self.admissions.get((witness, group), AdmissionCounts(group, 0, 0))
        received = max(last.received, counts.received)
        rejected = max(last.rejected, counts.rejected)
        self.admissions[witness, group] = AdmissionCounts(group, received, rejected)

    def on_router_lost(self, witness: str) -> None:
        """Handles the loss of a router. Its load reports and failures were true when sent and will expire;
        its drains are removed, since no router could withdraw them."""
        for signals in self.engines.values():
            signals.drains.pop(witness, None)
        for key in [key for key in self.admissions if key[0] == witness]:
            del self.admissions[key]

    # ---- conclusions -------------------------------------------------------------------------------

    def count_failure_witnesses(self, now: Time, engine: EngineId) -> int:
        """The number of accepted witnesses of an engine's failure. Each router returns to the engine at a
        different time, so that one that still fails does not receive the traffic of all at once."""
        signals = self.engines.get(engine)
        if signals is None or now - signals.own_result_at < OWN_PRECEDENCE:
            return 0
        delay = delay_by_number(self.router_number, (FAILURE_TOPIC, engine), RECOVERY_SPREAD)
        backoff = FAILURE_BACKOFF + delay
        signals.failures = {witness: at for witness, at in signals.failures.items() if now - at < backoff}
        return len(signals.failures)

    def count_drain_witnesses(self, engine: EngineId) -> int:
        """The number of witnesses of an engine's drain, in events that the own list has not reached."""
        signals = self.engines.get(engine)
        return len(signals.drains) if signals else 0

    def closed_engines(self) -> frozenset[EngineId]:
        """Engines that get no new queries: those with at least WITNESSES_TO_CLOSE drain witnesses, limited to
        MAX_DISTRUSTED_SHARE of all engines, with the most witnesses first."""
        candidates = [(self.count_drain_witnesses(engine), engine) for engine in self.engines]
        confirmed = [entry for entry in candidates if entry[0] >= WITNESSES_TO_CLOSE]
        max_closed = int(len(self.engines) * MAX_DISTRUSTED_SHARE)
        return frozenset(engine for _, engine in sorted(confirmed, reverse=True)[:max_closed])

    def preferred_engines(self, now: Time, subset: frozenset[EngineId]) -> frozenset[EngineId]:
        """A subset without the distrusted engines, which are at most MAX_DISTRUSTED_SHARE of it. The
        scheduler falls back to those if no other engine can take a query."""
        doubts = [(self.doubt(now, engine), engine) for engine in subset]
        max_excluded = int(len(subset) * MAX_DISTRUSTED_SHARE)
        return subset - {engine for doubt, engine in sorted(doubts, reverse=True)[:max_excluded] if doubt}

    def doubt(self, now: Time, engine: EngineId) -> int:
        """The distrust of an engine: one for each failure witness, WITNESSES_TO_CLOSE for each drain
        witness."""
        failure_witnesses = self.count_failure_witnesses(now, engine)
        return failure_witnesses + WITNESSES_TO_CLOSE * self.count_drain_witnesses(engine)

    def recent_warm_up_work(self, now: Time, engine: EngineId, window: Time) -> float:
        """Core time that others sent to an engine within a window: for each witness, its last total minus its
        last one before the window, or minus the first known one."""
        signals = self.engines.get(engine)
        if signals is None:
            return 0.0
        work = 0
        for totals in signals.warm_up_work.values():
            before = (entry.total for entry in reversed(totals) if entry.received_at <= now - window)
            work += totals[-1].total - next(before, totals[0].total)
        return float(HUNDREDTH_OF_SECOND * work)

    def rejected_share(self, group: int) -> float:
        """The fraction of a group's queries that all other routers together have rejected."""
        counts = [entry for entry in self.admissions.values() if entry.group == group]
        received = sum(entry.received for entry in counts)
        return sum(entry.rejected for entry in counts) / received if received else 0.0
