"""The decision module in company: what it is told and what it decides also goes to the company, and what the
company makes of other routers' words goes to it.

Owns which event of the module is worth telling, and the engines that are closed by others' word. Must never
decide, hold a tuned value, or touch a socket. Only a router with peers has one.
"""

from collections.abc import Callable, Iterable, Mapping

from hillchute.coordination.fleet_view import LIMIT_UNITS, FleetView
from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    Decision,
    EndpointState,
    EngineId,
    Fail,
    Listing,
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


class Telling:
    """Stands where the module stood: what is not told of here passes through."""

    def __init__(
        self,
        module: QueryScheduler,
        company: FleetView,
        catalog: Mapping[str, object],
        clock: Callable[[], Time],
        living: Callable[[], list[str]],
        soon: Callable[[], None],
    ) -> None:
        """`clock` is the company's, which never jumps; times that the module gets are of another. `soon` is
        told when something waits to be said."""
        self.module, self.company, self.catalog = module, company, catalog
        self.clock, self.living, self.soon = clock, living, soon
        self.multiple, self.span = (catalog.get(f"guarantees.{x}", 0) for x in ("tip_multiple", "fall"))
        self.listings: dict[EngineId, Listing] = {}
        self.closed: frozenset[EngineId] = frozenset()
        self.reached: Callable[[], int] = lambda: 0  # the event that the list has reached
        self.until: Time = 0
        self.partnering = None  # where there are partners
        self.work = WorkWindow(0)  # of late, all of it: what this router wants of the pool
        self.asking: dict[QueryId, int] = {}  # the resource group of each query that is not answered

    def __getattr__(self, name: str) -> object:
        return getattr(self.module, name)

    # ---- from the router to the module, and to the company --------------------------------------------

    def on_endpoint_list(self, now: Time, mode: ListMode, listings: Iterable[Listing]) -> None:
        listings = list(listings)
        self.module.on_endpoint_list(now, mode, listings)
        if mode != ListMode.ERROR:
            known = {} if mode == ListMode.COMPLETE else self.listings
            self.listings = known | {entry.engine: entry for entry in listings}

    def on_subset(self, now: Time, engines: frozenset[EngineId]) -> None:
        """The list has changed: sights and circles follow from the names of the peers, not from settings."""
        ready = {e for e, entry in self.listings.items() if entry.state == EndpointState.READY}
        self.company.on_endpoint_list(self.clock(), self.reached(), ready, self.listings.keys() - ready)
        if self.partnering is not None:
            self.partnering.listed(self.listings.values())
        self.stand(now)

    def on_query(self, now: Time, query: NewQuery) -> None:
        self.company.count_query(query.group, rejected=False)
        self.asking[query.id] = query.group
        self.module.on_query(now, query)
        if self.partnering is not None and query.id in self.module.queries:
            self.work.add(now, self.module.queries[query.id].work, TRAFFIC_SPAN)

    def on_client_left(self, now: Time, query: QueryId) -> None:
        self.asking.pop(query, None)
        self.module.on_client_left(now, query)

    def on_attempt_ended(self, now: Time, ended: AttemptEnded) -> None:
        query = self.module.queries.get(ended.query)
        engine = None
        if query is not None and ended.attempt < len(query.attempts):
            engine = query.attempts[ended.attempt].engine
        self.module.on_attempt_ended(now, ended)
        if ended.final:
            self.asking.pop(ended.query, None)
        if engine is not None:
            self.saw(engine, ended.result, ended.report)

    def on_health_check(
        self, now: Time, engine: EngineId, result: AttemptResult, report: Report | None
    ) -> None:
        self.module.on_health_check(now, engine, result, report)
        self.saw(engine, result, report)

    def saw(self, engine: EngineId, result: AttemptResult, report: Report | None) -> None:
        known, now = self.module.engines.get(engine), self.clock()
        if report:
            self.company.on_load_report(now, engine, report)
            self.soon()
        elif result == AttemptResult.SERVED:
            self.company.on_success(now, engine)
        elif known is not None and known.failures > 1:
            self.company.on_failure(now, engine)

    # ---- from the module to the router ----------------------------------------------------------------

    def next_decision(self, now: Time) -> Decision | None:
        # Guards against a process that stood still: what it was lent is looked at before it decides again.
        if self.clock() >= self.until:
            self.stand(now)
        decision = self.module.next_decision(now)
        match decision:
            case Submit(query, engine):
                self.submitted(now, query, engine)
            case Reject(query) | Fail(query):
                self.company.count_query(self.asking.pop(query, 0), rejected=True)
        return decision

    def submitted(self, now: Time, query: QueryId, engine: EngineId) -> None:
        known = self.module.engines[engine]
        if known.is_warming_up(now):
            self.company.on_warm_up_work(self.clock(), engine, int(self.module.queries[query].work))

    # ---- from the company to the module -----------------------------------------------------------------

    def stand(self, now: Time) -> None:
        """The module is told how things stand with the others, as of now."""
        self.wants(now)
        tips = {e.id: self.multiple * self.span * e.usable_cores(now) for e in self.warming(now)}
        standing = self.company.state(self.clock(), self.living(), tips, self.span)
        self.until = standing.valid_until
        self.module.on_subset(now, standing.subset, standing.routers, {**standing.shares, **self.pool()})
        engines, listings = self.module.engines, self.listings
        shut = [e for e in standing.closed if e in listings and e in engines and engines[e].ready]
        changed = [listings[e]._replace(state=EndpointState.DRAINING) for e in shut]
        changed += [listings[e] for e in self.closed - standing.closed if e in listings]
        self.closed = standing.closed
        if changed:
            self.module.on_endpoint_list(now, ListMode.PARTIAL, changed)

    def pool(self) -> dict[str, float]:
        """With partners: how many routers of this one's size the pool would have, by its part of it."""
        if self.partnering is None:
            return {}
        return {"pool": 1 / max(1 / LIMIT_UNITS, self.company.quotas.usable_share("pool", self.clock()))}

    def warming(self, now: Time) -> list[EngineState]:
        return [e for e in self.module.engines.values() if e.ready and e.is_warming_up(now)]

    def wants(self, now: Time) -> None:
        """What this router's traffic would use of each shared limit now."""
        module, quotas = self.module, self.company.quotas
        if self.partnering is not None:
            self.partnering.pool(quotas)
            cores = sum(e.usable_cores(now) for e in module.engines.values() if e.ready)
            rate = self.work.rate(now, TRAFFIC_SPAN)
            quotas.set_requested("pool", int(LIMIT_UNITS * min(1.0, rate / cores)) if cores else 0)
        if "cold" in quotas.limits:
            able = sum(e.usable_cores(now) for e in self.warming(now))
            rate = module.light_query_rate(now)
            quotas.set_requested("cold", int(LIMIT_UNITS * rate / able / WARM_UP_BUDGET_SHARE) if able else 0)
        for tenant, taken in module.traffic.by_tenant.items():
            rate = self.catalog.get(f"parties.{tenant}.quota_per_s")
            if rate and f"parties.{tenant}" in quotas.limits:
                span = module.traffic.span(now)
                quotas.set_requested(f"parties.{tenant}", int(LIMIT_UNITS * taken * SECOND / span / rate))
