"""The scheduler of a router with peers.

Wraps `QueryScheduler`: reports the router's own observations to the fleet view, and passes the resulting
fleet state (subset, shares and closed engines) to the scheduler. Makes no scheduling decision of its own and
performs no I/O. Times passed in by the router are on its own clock; the fleet view uses another clock, which
never jumps. Both count tenths of a millisecond.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from hillchute.coordination.fleet_view import LIMIT_UNITS, WARM_UP_LIMIT, FleetView, tenant_limit
from hillchute.coordination.quota_leases import QuotaLeases
from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    Decision,
    EndpointEntry,
    EndpointState,
    EngineId,
    Fail,
    FleetShares,
    ListMode,
    NewQuery,
    QueryId,
    Reject,
    Report,
    Submit,
    Time,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.decision.slow_start import WARM_UP_BUDGET_SHARE
from hillchute.decision.statistics import TRAFFIC_SPAN, WorkWindow

POOL_LIMIT = "pool"  # name of the limit on the use of partners' engines in messages and settings


class CapacityPool(Protocol):
    """The engines shared between partners, divided by their agreement."""

    def on_endpoint_list(self, entries: Iterable[EndpointEntry]) -> None:
        """Handles a change of the endpoint list; `entries` is the whole list."""

    def update_entitlement(self, quotas: QuotaLeases) -> None:
        """Sets this router's current entitlement to the pool."""


def _offset_before_any_list() -> int:
    return 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetAccess:
    """What a `FleetScheduler` needs from the peer extension."""

    view: FleetView
    clock: Callable[[], Time]  # the clock of the view
    live_peers: Callable[[], list[str]]
    schedule_digests: Callable[[], None]  # called when a digest is to be sent


class FleetScheduler:
    """A `QueryScheduler` in a fleet of routers; implements `decision.interface.Scheduler`."""

    def __init__(
        self,
        *,
        scheduler: QueryScheduler,
        fleet: FleetAccess,
        pool: CapacityPool | None = None,
    ) -> None:
        """`pool`: set if there are partners."""
        self.scheduler = scheduler
        self.fleet = fleet.view
        self.clock = fleet.clock
        self.live_peers = fleet.live_peers
        self.schedule_digests = fleet.schedule_digests
        self.pool = pool
        self.list_offset = _offset_before_any_list
        self.endpoint_entries: dict[EngineId, EndpointEntry] = {}
        self.closed: frozenset[EngineId] = frozenset()  # engines closed by others' observations
        self.state_valid_until: Time = 0  # expiry of the last fleet state, on the view's clock
        self.recent_work = WorkWindow(0)  # with partners: the work that this router requests of the pool
        self.groups_by_query: dict[QueryId, int] = {}  # resource group of each unanswered query

    def connect_endpoint_list(self, offset: Callable[[], int]) -> None:
        """`offset` returns the offset of the last applied watch event; it is 0 until this call."""
        self.list_offset = offset

    @property
    def engines(self) -> Mapping[EngineId, EngineState]:
        """All known engines; callers must not change them."""
        return self.scheduler.engines

    # ---- inputs that update the fleet view --------------------------------------------------------------

    def on_endpoint_list(self, now: Time, mode: ListMode, entries: Iterable[EndpointEntry]) -> None:
        """Handles the endpoint list or a change of it; the caller then calls `on_subset`."""
        entries = list(entries)
        self.scheduler.on_endpoint_list(now, mode, entries)
        if mode != ListMode.ERROR:
            known = {} if mode == ListMode.COMPLETE else self.endpoint_entries
            self.endpoint_entries = known | {entry.engine: entry for entry in entries}

    def on_subset(
        self,
        now: Time,
        engines: frozenset[EngineId],
        routers: int | None = None,
        shares: FleetShares | None = None,
    ) -> None:
        """Handles a changed endpoint list. Subset, router count and shares are computed from the peers, so
        the arguments, which come from the settings, are ignored."""
        del engines, routers, shares
        ready = {
            engine for engine, entry in self.endpoint_entries.items() if entry.state == EndpointState.READY
        }
        closed = self.endpoint_entries.keys() - ready
        self.fleet.on_endpoint_list(self.clock(), self.list_offset(), ready, closed)
        if self.pool is not None:
            self.pool.on_endpoint_list(self.endpoint_entries.values())
        self.on_fleet_changed(now)

    def on_query(self, now: Time, query: NewQuery) -> None:
        """Handles an admitted query."""
        self.fleet.count_query(query.group, rejected=False)
        self.groups_by_query[query.id] = query.group
        self.scheduler.on_query(now, query)
        if self.pool is not None and query.id in self.scheduler.queries:
            self.recent_work.add(now, self.scheduler.queries[query.id].work, TRAFFIC_SPAN)

    def on_client_left(self, now: Time, query: QueryId) -> None:
        """Handles the disconnect of a query's client."""
        self.groups_by_query.pop(query, None)
        self.scheduler.on_client_left(now, query)

    def on_attempt_ended(self, now: Time, ended: AttemptEnded) -> None:
        """Handles the end of an attempt; an unknown one, or one that has ended before, is ignored."""
        query = self.scheduler.queries.get(ended.query)
        engine = None
        if query is not None and ended.attempt < len(query.attempts):
            engine = query.attempts[ended.attempt].engine
        self.scheduler.on_attempt_ended(now, ended)
        if ended.final:
            self.groups_by_query.pop(ended.query, None)
        if engine is not None:
            self._observe(engine, ended.result, ended.report)

    def on_health_check(
        self, now: Time, engine: EngineId, result: AttemptResult, report: Report | None
    ) -> None:
        """Handles the result of a health check made by this router."""
        self.scheduler.on_health_check(now, engine, result, report)
        self._observe(engine, result, report)

    def _observe(self, engine: EngineId, result: AttemptResult, report: Report | None) -> None:
        """Reports an engine's answer, or failure to answer, to the fleet view."""
        state = self.scheduler.engines.get(engine)
        now = self.clock()
        if report:
            self.fleet.on_load_report(now, engine, report)
            self.schedule_digests()
        elif result == AttemptResult.SERVED:
            self.fleet.on_success(now, engine)
        elif state is not None and state.failures > 1:
            self.fleet.on_failure(now, engine)

    # ---- inputs that only the scheduler needs -----------------------------------------------------------

    def admits(self, now: Time, group: int, loop_lag: float) -> bool:
        """Whether a query of this group is admitted at this event loop lag."""
        return self.scheduler.admits(now, group, loop_lag)

    def on_load_report(self, now: Time, engine: EngineId, report: Report, age: Time) -> None:
        """Handles a load report relayed by another router; it is not relayed again."""
        self.scheduler.on_load_report(now, engine, report, age)

    def on_progress(self, now: Time, query: QueryId, attempt: int, topic: int, value: float) -> None:
        """Handles an engine's progress report on an attempt."""
        self.scheduler.on_progress(now, query, attempt, topic, value)

    def on_stream_started(self, now: Time, query: QueryId) -> None:
        """Handles the first part of a streamed result."""
        self.scheduler.on_stream_started(now, query)

    def on_shutdown(self, now: Time, deadline: Time) -> None:
        """Handles the shutdown of this router: every query is answered before `deadline`."""
        self.scheduler.on_shutdown(now, deadline)

    def on_timer(self, now: Time, name: str) -> None:
        """Handles the expiry of a `SetTimer`."""
        self.scheduler.on_timer(now, name)

    # ---- decisions --------------------------------------------------------------------------------------

    def next_decision(self, now: Time) -> Decision | None:
        """The next decision, or None if nothing is due now."""
        # After a suspension of the process, leases may have expired: the state is refreshed first.
        if self.clock() >= self.state_valid_until:
            self.on_fleet_changed(now)
        decision = self.scheduler.next_decision(now)
        match decision:
            case Submit(query, engine):
                self._count_warm_up_work(now, query, engine)
            case Reject(query) | Fail(query):
                self.fleet.count_query(self.groups_by_query.pop(query, 0), rejected=True)
        return decision

    def _count_warm_up_work(self, now: Time, query: QueryId, engine: EngineId) -> None:
        """Reports the work of a submitted attempt to the fleet if its engine is warming up."""
        if self.scheduler.engines[engine].is_warming_up(now):
            work = int(self.scheduler.queries[query].work)
            self.fleet.on_warm_up_work(self.clock(), engine, work)

    # ---- from the fleet to the scheduler ----------------------------------------------------------------

    def on_fleet_changed(self, now: Time) -> None:
        """Passes the current fleet state to the scheduler; called when other routers' observations, the live
        routers or the leases may have changed."""
        self._request_quotas(now)
        warm_up = self.scheduler.settings.warm_up
        overload_work = {
            engine.id: warm_up.budget_multiple * warm_up.budget_window * engine.usable_cores(now)
            for engine in self._warming_engines(now)
        }
        state = self.fleet.state(self.clock(), self.live_peers(), overload_work, warm_up.budget_window)
        self.state_valid_until = state.valid_until
        shares = replace(state.shares, pool_routers=self._pool_routers())
        self.scheduler.on_subset(now, state.subset, state.routers, shares)
        self._close_engines(now, state.closed)

    def _close_engines(self, now: Time, closed: frozenset[EngineId]) -> None:
        """Marks closed engines as draining in the scheduler; restores the listed state of the others."""
        engines = self.scheduler.engines
        newly_closed = [
            engine
            for engine in closed
            if engine in self.endpoint_entries and engine in engines and engines[engine].ready
        ]
        changed = [
            self.endpoint_entries[engine]._replace(state=EndpointState.DRAINING) for engine in newly_closed
        ]
        changed += [
            self.endpoint_entries[engine]
            for engine in self.closed - closed
            if engine in self.endpoint_entries
        ]
        self.closed = closed
        if changed:
            self.scheduler.on_endpoint_list(now, ListMode.PARTIAL, changed)

    def _pool_routers(self) -> float | None:
        """The inverse of this router's share of the pool, as a number of routers; None without partners."""
        if self.pool is None:
            return None
        share = self.fleet.quotas.usable_share(POOL_LIMIT, self.clock())
        return 1 / max(1 / LIMIT_UNITS, share)

    def _warming_engines(self, now: Time) -> list[EngineState]:
        return [
            engine for engine in self.scheduler.engines.values() if engine.ready and engine.is_warming_up(now)
        ]

    # ---- quotas -----------------------------------------------------------------------------------------

    def _request_quotas(self, now: Time) -> None:
        """Sets what this router's traffic currently requests of each fleet-wide limit."""
        if self.pool is not None:
            self._request_pool(now, self.pool)
        if WARM_UP_LIMIT in self.fleet.quotas.limits:
            self._request_warm_up(now)
        self._request_tenant_quotas(now)

    def _request_pool(self, now: Time, pool: CapacityPool) -> None:
        quotas = self.fleet.quotas
        pool.update_entitlement(quotas)
        cores = sum(engine.usable_cores(now) for engine in self.scheduler.engines.values() if engine.ready)
        rate = self.recent_work.rate(now, TRAFFIC_SPAN)
        quotas.set_requested(POOL_LIMIT, int(LIMIT_UNITS * min(1.0, rate / cores)) if cores else 0)

    def _request_warm_up(self, now: Time) -> None:
        cores = sum(engine.usable_cores(now) for engine in self._warming_engines(now))
        rate = self.scheduler.light_query_rate(now)
        units = int(LIMIT_UNITS * rate / cores / WARM_UP_BUDGET_SHARE) if cores else 0
        self.fleet.quotas.set_requested(WARM_UP_LIMIT, units)

    def _request_tenant_quotas(self, now: Time) -> None:
        quotas = self.fleet.quotas
        traffic = self.scheduler.traffic
        for number, queries in traffic.by_tenant.items():
            tenant = self.scheduler.settings.tenants.get(number)
            limit = tenant_limit(number)
            if tenant is not None and tenant.quota_per_s and limit in quotas.limits:
                span = traffic.span(now)
                units = int(LIMIT_UNITS * queries * SECOND / span / tenant.quota_per_s)
                quotas.set_requested(limit, units)
