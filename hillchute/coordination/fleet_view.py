"""One router's view of the fleet: sends its own observations as gossip digests and merges those of others.

Decides which digests are sent to which routers, and computes the fleet state for the scheduler. Performs no
I/O. No other router is ever required: one that is isolated still has its own observations and the floor of
each limit.

A load report is sent only to the routers that have its engine in their subsets: as many as an engine serves,
independently of the fleet's size. Everything else is sent along with the failure detector's pings and
acknowledgements. Times are tenths of a millisecond.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

from hillchute.coordination import codec
from hillchute.coordination.load_signals import MAX_FIGURES, SECOND, LoadSignals
from hillchute.coordination.messages import (
    Demand,
    Digest,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    LoadReport,
    Observations,
)
from hillchute.coordination.own_observations import OwnObservations
from hillchute.coordination.quota_leases import QuotaLeases
from hillchute.coordination.report_relay import ReportRelay
from hillchute.coordination.subsetting import SUBSET_SIZE, Subset, first_routers, routers_per_engine
from hillchute.decision.interface import EngineId, FleetShares, Report, Time

LIMIT_UNITS = 1_000_000  # units of a limit: parts in a million
WARM_UP_LIMIT = "cold"  # name of the limit on work on warming engines, in messages
TENANT_LIMIT_PREFIX = "parties."  # of the names of limits on tenants' queries, in messages and settings
REPORT_BYTES_PER_DIGEST = 700  # with the other fields the datagram is still not fragmented
REPORT_HEADER_BYTES = 12
FIGURE_BYTES = 5
# Fraction of the work that overloads a warming engine: once all routers together are known to have sent it
# this much, it gets no more for a while. The two sides of a partition together then reach at most all of it.
MAX_WARM_UP_SHARE = 0.5
# Health checks per query, beyond those of the engines that queries select: routers share the results.
CHECKS_PER_QUERY = 0.25
STATE_LIFETIME: Time = SECOND  # a fleet state is recomputed at least this often


def tenant_limit(number: int) -> str:
    """The name of the limit on one tenant's queries."""
    return f"{TENANT_LIMIT_PREFIX}{number}"


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """The configuration of a router's view."""

    name: str
    router_names: Collection[str]  # all routers, this one included; the same list at every router
    columns: Collection[str]  # names of a load report's figures, in the settings' order
    limits: Collection[str]
    seed: int
    subset_size: int = SUBSET_SIZE


@dataclass(frozen=True, slots=True)
class FleetState:
    """The input of the scheduler: see its `on_subset` and `on_endpoint_list`."""

    subset: frozenset[EngineId]
    closed: frozenset[EngineId]  # by witnesses, ahead of the own endpoint list
    routers: int
    shares: FleetShares
    valid_until: Time  # shares may be smaller from then on


class RelayedReport(NamedTuple):
    """Another router's load report of an engine, for the scheduler."""

    engine: EngineId
    report: Report
    age: Time


class FleetView:
    """What one router knows about the others, and what it sends to them."""

    def __init__(self, settings: FleetSettings, now: Time) -> None:
        self.name = settings.name
        self.subset_size = settings.subset_size
        self.columns = tuple(settings.columns)[:MAX_FIGURES]
        report_bytes = REPORT_HEADER_BYTES + FIGURE_BYTES * len(self.columns)
        self.reports_per_digest = min(
            codec.MAX_ENTRIES["load_reports"], REPORT_BYTES_PER_DIGEST // report_bytes
        )
        limits = dict.fromkeys(settings.limits, LIMIT_UNITS)
        self.quotas = QuotaLeases(self.name, settings.router_names, limits, settings.seed, now)
        self.own = OwnObservations(self.columns)
        self.relay = ReportRelay(now)
        self.lease_messages: dict[str, list[LeaseMessage]] = {}  # by recipient
        self.relayed_reports: list[RelayedReport] = []  # not passed to the scheduler yet
        self.router_names: list[str] = []
        self.ready: frozenset[EngineId] = frozenset()
        self.signals = LoadSignals(0, self.has_in_subset)
        self.set_router_names(now, settings.router_names)

    def set_router_names(self, now: Time, router_names: Iterable[str]) -> None:
        """Sets the router names from the operator file; subsets are recomputed over the ready engines."""
        router_names = sorted(set(router_names) | {self.name})
        if router_names == self.router_names:
            return
        self.router_names = router_names
        router_number = router_names.index(self.name)
        self.membership_checksum = crc32("\n".join(router_names).encode())
        self.quotas.set_router_names(now, router_names)
        self.subset_rule = Subset(router_number, len(router_names), self.subset_size)
        self.differing_routers: set[str] = set()  # routers configured with other names than this one
        self.subset: frozenset[EngineId] = frozenset()
        self.serving_routers: dict[EngineId, frozenset[str]] = {}  # of the subset's engines
        list_event = self.signals.list_event
        ready = self.ready
        self.ready = frozenset()
        self.signals = LoadSignals(router_number, self.has_in_subset)
        self.on_endpoint_list(now, list_event, ready, ())

    def has_in_subset(self, witness: str, engine: EngineId) -> bool:
        """Whether a router and this one both have an engine in their subsets."""
        return witness in self.serving_routers.get(engine, ())

    # ---- own observations --------------------------------------------------------------------------

    def on_endpoint_list(
        self, now: Time, event_number: int, ready: Iterable[EngineId], closed: Iterable[EngineId]
    ) -> None:
        """Handles an event of the endpoint list. `closed`: engines that are draining or gone."""
        ready = frozenset(ready)
        self.own.on_drains(now, event_number, ready, frozenset(closed))
        self.signals.on_endpoint_list(event_number, ready)
        if ready == self.ready:
            return
        self.ready = ready
        self.subset = self.subset_rule.select(ready)
        self.find_serving_routers()
        self.own.keep_only(ready)

    def find_serving_routers(self) -> None:
        """Computes which routers the engines of the subset serve; reuses what has not changed."""
        counts = routers_per_engine(self.ready, len(self.router_names), self.subset_size)
        before = self.serving_routers
        self.serving_routers = {}
        for engine in self.subset:
            known = before.get(engine, frozenset())
            if len(known) == counts[engine]:
                self.serving_routers[engine] = known
                continue
            numbers = first_routers(engine, len(self.router_names), counts[engine])
            self.serving_routers[engine] = frozenset(self.router_names[number] for number in numbers)

    def on_load_report(self, now: Time, engine: EngineId, report: Report) -> None:
        """Handles a load report from an engine; it is relayed to all routers with the engine in their
        subsets."""
        self.signals.on_own_result(now, engine, has_report=True)
        self.own.on_load_report(now, engine, report)
        recipients = self.serving_routers.get(engine, frozenset()) - {self.name}
        self.relay.enqueue(now, engine, sorted(recipients))  # sorted, so that simulations are reproducible

    def on_success(self, now: Time, engine: EngineId) -> None:
        """Handles a result that an engine returned to this router."""
        self.signals.on_own_result(now, engine)
        self.own.on_success(engine)

    def on_failure(self, now: Time, engine: EngineId) -> None:
        """Handles an engine's second or later consecutive failure at this router."""
        self.own.on_failure(now, engine)

    def on_warm_up_work(self, now: Time, engine: EngineId, core_time: Time) -> None:
        """Handles the sending of a query to a warming engine."""
        self.own.on_warm_up_work(now, engine, core_time)

    def count_query(self, group: int, *, rejected: bool) -> None:
        """Counts a query of a group as received, or as rejected."""
        self.own.count_query(group, rejected=rejected)

    # ---- from other routers ------------------------------------------------------------------------

    def on_digest(self, now: Time, sender: str, data: bytes) -> None:
        """Handles an authentic digest. Raises InvalidDatagramError for an invalid one, of which nothing is
        used. Lease messages are accepted only from routers configured with the same names, since only those
        compute the same entitlements."""
        digest = codec.decode(data, sender)
        newest = self.signals.on_observations(now, sender, digest.observations)
        if digest.membership_checksum == self.membership_checksum:
            self.differing_routers.discard(sender)
            self.on_lease_messages(now, sender, digest)
        else:
            self.differing_routers.add(sender)
        for load_report in newest:
            report = self.to_report(load_report)
            self.relayed_reports.append(RelayedReport(load_report.engine, report, load_report.age))

    def on_lease_messages(self, now: Time, sender: str, digest: Digest) -> None:
        """Passes demands, requests and grants to the quota leases; grants go out with the next digest."""
        self.quotas.on_demands(now, sender, digest.demands)
        for limit, request in digest.lease_requests.items():
            messages = self.quotas.on_request(now, sender, limit, request)
            self.lease_messages.setdefault(sender, []).extend(messages)
        for limit, grant in digest.lease_grants.items():
            self.quotas.on_grant(sender, limit, grant)

    def on_router_lost(self, name: str) -> None:
        """Handles the death or departure of a router, as found by failure detection."""
        self.signals.on_router_lost(name)
        self.differing_routers.discard(name)

    def take_relayed_reports(self) -> list[RelayedReport]:
        """Removes and returns the load reports that other routers have relayed since the last call."""
        reports = self.relayed_reports
        self.relayed_reports = []
        return reports

    def to_report(self, load_report: LoadReport) -> Report:
        """A load report in the form in which engines send it."""
        pairs = zip(self.columns, load_report.figures, strict=False)
        return {name: figure / 100 for name, figure in pairs if figure >= 0}

    # ---- to other routers --------------------------------------------------------------------------

    def due_digests(self, now: Time, alive: Iterable[str]) -> list[tuple[str, bytes]]:
        """The digests that are due, with their recipients: load reports and lease messages."""
        alive = frozenset(alive)
        for message in self.quotas.due_requests(now, alive):
            self.lease_messages.setdefault(message.recipient, []).append(message)
        due = self.relay.take_due(now, alive)
        digests = []
        for recipient in sorted(due.keys() | (self.lease_messages.keys() & alive)):
            engines = sorted(due.get(recipient, ()))[: self.reports_per_digest]
            work = self.own.warm_up_work(engines)[: codec.MAX_ENTRIES["warm_up_work"]]
            observations = Observations(
                load_reports=tuple(self.own.fresh_load_reports(now, engines)), warm_up_work=tuple(work)
            )
            messages = self.lease_messages.pop(recipient, [])
            digests.append((recipient, self.encode_digest(observations, messages)))
        self.lease_messages.clear()  # discards those to routers that are not alive
        return digests

    def ping_digest(self, now: Time, recipient: str) -> bytes:
        """The digest sent along with a ping or its acknowledgement: everything except load reports."""
        observations = self.own.ping_observations(now)
        messages = self.lease_messages.pop(recipient, [])
        return self.encode_digest(observations, messages, self.own_demands(now))

    def newcomer_digests(self, now: Time, recipient: str) -> list[bytes]:
        """The digests with all own observations that a router needs after its start."""
        digests = [self.encode_digest(self.own.ping_observations(now), (), self.own_demands(now))]
        engines = [engine for engine, names in self.serving_routers.items() if recipient in names]
        reports = self.own.fresh_load_reports(now, engines)
        for start in range(0, len(reports), self.reports_per_digest):
            page = tuple(reports[start : start + self.reports_per_digest])
            digests.append(self.encode_digest(Observations(load_reports=page)))
        drains = self.own.drain_notices()
        for start in range(0, len(drains), codec.MAX_ENTRIES["drains"]):
            notices = tuple(drains[start : start + codec.MAX_ENTRIES["drains"]])
            digests.append(self.encode_digest(Observations(drains=notices)))
        return digests

    def own_demands(self, now: Time) -> dict[str, Demand]:
        """This router's demands, up to the maximum of a digest."""
        return dict(list(self.quotas.demands(now).items())[: codec.MAX_ENTRIES["demands"]])

    def encode_digest(
        self,
        observations: Observations,
        messages: Iterable[LeaseMessage] = (),
        demands: Mapping[str, Demand] | None = None,
    ) -> bytes:
        """The encoded digest, with the last request and the last grant for each limit."""
        requests: dict[str, LeaseRequest] = {}
        grants: dict[str, LeaseGrant] = {}
        for message in messages:
            match message.body:
                case LeaseRequest():
                    requests[message.limit] = message.body
                case LeaseGrant():
                    grants[message.limit] = message.body
        digest = Digest(
            membership_checksum=self.membership_checksum,
            load_reports=observations.load_reports,
            failures=observations.failures,
            drains=observations.drains,
            warm_up_work=observations.warm_up_work,
            admissions=observations.admissions,
            demands=dict(demands or {}),
            lease_requests=requests,
            lease_grants=grants,
        )
        return codec.encode(digest)

    # ---- for the scheduler -------------------------------------------------------------------

    def warm_up_capacity(self, now: Time, engine: EngineId, overload_work: float, window: Time) -> float:
        """Core time that may still be sent to a warming engine, given the known work of all routers. Permits
        (decision/slow_start.py) bound the sum on average, even without contact to other routers; this bounds
        the random excess. `overload_work`: core time within the window that overloads the engine."""
        own_work = self.own.recent_warm_up_work(now, engine, window)
        others_work = self.signals.recent_warm_up_work(now, engine, window)
        return max(0.0, MAX_WARM_UP_SHARE * overload_work - own_work - others_work)

    def state(
        self, now: Time, alive: Iterable[str], warming: Mapping[EngineId, float], window: Time
    ) -> FleetState:
        """The fleet's state until an input changes or a lease expires. `warming`: the core time within the
        window that overloads each warming engine."""
        return FleetState(
            subset=self.signals.preferred_engines(now, self.subset),
            closed=self.signals.closed_engines(),
            routers=1 + len(frozenset(alive) - {self.name}),
            shares=self.shares(now, warming, window),
            valid_until=self.next_lease_expiry(now),
        )

    def shares(self, now: Time, warming: Mapping[EngineId, float], window: Time) -> FleetShares:
        """This router's share of each limit, and the warming engines to exclude."""
        limits = {
            name: max(1 / LIMIT_UNITS, self.quotas.usable_share(name, now)) for name in self.quotas.limits
        }
        warm_up = limits.get(WARM_UP_LIMIT)
        excluded = {
            engine
            for engine, overload_work in warming.items()
            if not self.warm_up_capacity(now, engine, overload_work, window)
        }
        own_warming = self.subset & warming.keys()
        if own_warming:
            # Warming engines outside the subset are left to the routers that have them in theirs; in return,
            # this router's share of all warming engines is concentrated on those of its subset.
            excluded |= warming.keys() - own_warming
            share = 1 / len(self.router_names) if warm_up is None else warm_up
            warm_up = min(1.0, share * len(warming) / len(own_warming))
        return FleetShares(
            warm_up=warm_up,
            tenants={
                int(name.removeprefix(TENANT_LIMIT_PREFIX)): share
                for name, share in limits.items()
                if name.startswith(TENANT_LIMIT_PREFIX)
            },
            health_checks=CHECKS_PER_QUERY,
            excluded_engines=frozenset(excluded),
        )

    def next_lease_expiry(self, now: Time) -> Time:
        """When the first borrowed lease expires, at most STATE_LIFETIME from now."""
        expiries = [now + STATE_LIFETIME]
        for limit in self.quotas.limits.values():
            expiries += [lease.expires_at for lease in limit.borrowed.values() if lease.expires_at > now]
        return min(expiries)
