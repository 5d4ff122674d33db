"""The decision module in company: what it is told and what it decides also goes to the company, and what the
company makes of other routers' words goes to it.

Owns which event of the module is worth telling, and the engines that are closed by others' word. Must never
decide, hold a tuned value, or touch a socket. Only a router with peers has one.
"""

from collections.abc import Callable, Iterable, Mapping

from hillchute.coordination.fleet_view import LIMIT_UNITS, FleetView
from hillchute.decision.interface import Decision, EngineId, Listing, QueryId, Report, Time
from hillchute.decision.slow_start import COLD_SHARE
from hillchute.decision.state import Engine, Light
from hillchute.decision.teamwork import SECOND, TRAFFIC_SPAN, Teamwork


class Telling:
    """Stands where the module stood: what is not told of here passes through."""

    def __init__(
        self,
        module: Teamwork,
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
        self.work = Light(1 << 62, 0)  # of late, all of it: what this router wants of the pool
        self.asking: dict[QueryId, int] = {}  # the resource group of each query that is not answered

    def __getattr__(self, name: str) -> object:
        return getattr(self.module, name)

    # ---- from the router to the module, and to the company --------------------------------------------

    def roster(self, now: Time, mode: str, listings: Iterable[Listing]) -> None:
        listings = list(listings)
        self.module.roster(now, mode, listings)
        if mode != "Error":
            known = {} if mode == "Complete" else self.listings
            self.listings = known | {entry.engine: entry for entry in listings}

    def nearby(self, now: Time, engines: frozenset[EngineId]) -> None:
        """The list has changed: sights and circles follow from the names of the peers, not from settings."""
        ready = {e for e, entry in self.listings.items() if entry.state == "Ready"}
        self.company.on_endpoint_list(self.clock(), self.reached(), ready, self.listings.keys() - ready)
        if self.partnering is not None:
            self.partnering.listed(self.listings.values())
        self.stand(now)

    def take(self, now: Time, query: QueryId, group: int, *about: object) -> None:
        self.company.count_query(group, rejected=False)
        self.asking[query] = group
        self.module.take(now, query, group, *about)
        if self.partnering is not None and query in self.module.queries:
            self.work.add(now, self.module.queries[query].work, TRAFFIC_SPAN)

    def left(self, now: Time, query: QueryId) -> None:
        self.asking.pop(query, None)
        self.module.left(now, query)

    def outcome(
        self,
        now: Time,
        query: QueryId,
        leg: int,
        result: str,
        final: bool,
        elapsed: Time,
        cost: Time | None = None,
        report: Report | None = None,
    ) -> None:
        q = self.module.queries.get(query)
        engine = q.legs[leg].engine if q is not None and leg < len(q.legs) else None
        self.module.outcome(now, query, leg, result, final, elapsed, cost, report)
        if final:
            self.asking.pop(query, None)
        if engine is not None:
            self.saw(engine, result, report)

    def probed(self, now: Time, engine: EngineId, result: str, report: Report | None, age: Time = 0) -> None:
        self.module.probed(now, engine, result, report, age)
        if result != "heard":
            self.saw(engine, result, report)

    def saw(self, engine: EngineId, result: str, report: Report | None) -> None:
        known, now = self.module.engines.get(engine), self.clock()
        if report:
            self.company.on_load_report(now, engine, report)
            self.soon()
        elif result == "finished":
            self.company.on_success(now, engine)
        elif known is not None and known.fails > 1:
            self.company.on_failure(now, engine)

    # ---- from the module to the router ----------------------------------------------------------------

    def decide(self, now: Time) -> Decision | None:
        # Guards against a process that stood still: what it was lent is looked at before it decides again.
        if self.clock() >= self.until:
            self.stand(now)
        decision = self.module.decide(now)
        match decision:
            case ("submit", query, engine, _):
                self.submitted(now, query, engine)
            case ("defer" | "kill", query, *_):
                self.company.count_query(self.asking.pop(query, 0), rejected=True)
        return decision

    def submitted(self, now: Time, query: QueryId, engine: EngineId) -> None:
        known = self.module.engines[engine]
        if known.cold(now):
            self.company.on_warm_up_work(self.clock(), engine, int(self.module.queries[query].work))

    # ---- from the company to the module -----------------------------------------------------------------

    def stand(self, now: Time) -> None:
        """The module is told how things stand with the others, as of now."""
        self.wants(now)
        tips = {e.id: self.multiple * self.span * e.able(now) for e in self.warming(now)}
        standing = self.company.state(self.clock(), self.living(), tips, self.span)
        self.until = standing.valid_until
        self.module.nearby(now, standing.subset, standing.routers, {**standing.shares, **self.pool()})
        engines, listings = self.module.engines, self.listings
        shut = [e for e in standing.closed if e in listings and e in engines and engines[e].ready]
        changed = [listings[e]._replace(state="Terminating") for e in shut]
        changed += [listings[e] for e in self.closed - standing.closed if e in listings]
        self.closed = standing.closed
        if changed:
            self.module.roster(now, "Partial", changed)

    def pool(self) -> dict[str, float]:
        """With partners: how many routers of this one's size the pool would have, by its part of it."""
        if self.partnering is None:
            return {}
        return {"pool": 1 / max(1 / LIMIT_UNITS, self.company.quotas.usable_share("pool", self.clock()))}

    def warming(self, now: Time) -> list[Engine]:
        return [e for e in self.module.engines.values() if e.ready and e.cold(now)]

    def wants(self, now: Time) -> None:
        """What this router's traffic would use of each shared limit now."""
        module, quotas = self.module, self.company.quotas
        if self.partnering is not None:
            self.partnering.pool(quotas)
            cores = sum(e.able(now) for e in module.engines.values() if e.ready)
            rate = self.work.rate(now, TRAFFIC_SPAN)
            quotas.set_requested("pool", int(LIMIT_UNITS * min(1.0, rate / cores)) if cores else 0)
        if "cold" in quotas.limits:
            able = sum(e.able(now) for e in self.warming(now))
            rate = module.light.work / max(1, min(TRAFFIC_SPAN, now - module.light.began))
            quotas.set_requested("cold", int(LIMIT_UNITS * rate / able / COLD_SHARE) if able else 0)
        for tenant, taken in module.taken.of.items():
            rate = self.catalog.get(f"parties.{tenant}.quota_per_s")
            if rate and f"parties.{tenant}" in quotas.limits:
                span = max(SECOND, now - module.taken.line[0][0]) if module.taken.line else SECOND
                quotas.set_requested(f"parties.{tenant}", int(LIMIT_UNITS * taken * SECOND / span / rate))
