"""The deployment's settings as one typed, frozen value: those that decisions depend on, and the router's own.

Built once by `Settings.from_catalog` from the plain map of dotted names that settings_translation.py makes.
Durations are whole tenths of a millisecond. A setting that is absent has the default stated here and nowhere
else.
"""

import re
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

Catalog = Mapping[str, object]

TENANT_KEY = re.compile(r"parties\.(\d+)\.")
UNLIMITED = 10**9  # sessions of a router, or MB of an engine, where no limit is stated


class Effect(Enum):
    """What a query does to the data, and so when it may be repeated; the values are the catalog's words."""

    READ_ONLY = "read-only"
    IDEMPOTENT = "tokened"  # with an idempotency key
    NON_IDEMPOTENT = "mutating"


class DeduplicationScope(Enum):
    """Engines that drop a repeat of an idempotency key that one of them has seen."""

    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class EngineKind:
    """One kind of machine."""

    cores: int = 1
    memory_mb: float = 0.0  # 0: not stated


@dataclass(frozen=True, slots=True, kw_only=True)
class TenantSettings:
    """One customer's agreed part of the traffic."""

    fraction: float | None = None  # of all queries
    quota_per_s: float | None = None  # queries a second, over all routers


@dataclass(frozen=True, slots=True, kw_only=True)
class ResourceGroupSettings:
    """One resource group."""

    number: int
    name: str = ""  # by which clients choose it; a router requires one, the simulator need not state any
    queue_timeout: int = 0  # the longest that a client may say it waits; 0: not stated
    target_runtime: int = 0  # latency objective: this, and the stretch times the time that it takes alone
    target_stretch: float = 0.0
    effect: Effect = Effect.NON_IDEMPOTENT
    deduplication: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window: int = 0  # for which engines remember an idempotency key
    threads: int = 1  # that a query of the group uses on its engine
    weight: float = 1.0  # priority weight: what an answer in time is worth
    is_load: bool = False  # loads of one table group stand still behind each other on an engine
    waits_for_loads: bool = False  # stands still behind a load of its table group on the same engine
    keeps_order: bool = False  # queries of one key run one after another
    zones: frozenset[int] | None = None  # where it may run; None: everywhere
    kinds: frozenset[int] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmUpSettings:
    """How an engine recovers after a start."""

    duration: int = 0
    initial_share: float = 0  # of its cores' work that it does as it starts
    budget_window: int = 0
    budget_multiple: float = (
        0  # work within a window, over what it can do, that overloads it while it warms up
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Limits on further attempts."""

    most_attempts: int = 1  # of one query
    budget_window: int = 0  # over which retries are rationed; 0: they are not
    budget_minimum: float = 0  # retries in a window that are always allowed
    budget_share: float = 0  # retries allowed beyond them, as a share of the queries of the window
    order_pause: int = 0  # a key rests so long after an attempt that may still run


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionSettings:
    """How a router uses its connections to engines."""

    max_streams: int = 1  # attempts in flight on one connection
    connect_timeout: int = 0
    keepalive: int = 0  # for which an engine keeps an idle connection
    progress_interval: int = 0  # at which engines report progress of an attempt; 0: they do not


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a deployment that a router or the simulator adapter heeds."""

    router: int = 0  # this router's number
    routers: int = 1  # of the deployment; a simulator may state 0
    tick: int = 0  # of the caller's clock
    sessions: int = UNLIMITED
    max_open_queries: int = sys.maxsize  # of one router; further ones are rejected
    groups: tuple[ResourceGroupSettings, ...] = ()
    tenants: Mapping[int, TenantSettings]
    tenant_count: int = 0  # as stated; `tenants` has those of which anything is
    zone_names: tuple[str, ...] = ()  # by zone number
    kind_names: tuple[str, ...] = ()  # by kind number
    cores_by_kind: tuple[int, ...] = ()  # as stated: empty where no figure is, one figure may hold for all
    largest_engine_cores: float = 1.0  # of any kind of machine
    largest_engine_memory_mb: float = UNLIMITED
    engine_kinds: tuple[EngineKind, ...] = (EngineKind(),)
    one_engine_kind: bool = True  # the first kind's figures hold for all kinds
    warm_up: WarmUpSettings
    retries: RetrySettings
    connections: ConnectionSettings
    health_checks: bool = False  # load reports come by health checks alone, and these may be sent
    health_check_cost: float = 0  # over the value of a served query
    report_columns: tuple[str, ...] = ()  # of load reports, in the order that engines send them
    memory_column: str | None = None  # report column with the share of the memory granted
    disk_column: str | None = None  # report column with the share of the disks busy
    queues_for_memory: bool = False  # attempts wait on the engine for memory, none is cut short
    priorities: bool = False  # engines heed priorities
    cancels: bool = False  # an attempt that is given up frees its engine
    retry_after: int = 0  # that rejected clients are told to wait; 0: nothing is told
    watches_on_request: bool = False  # the endpoint list comes only when it is asked for

    def engine_kind(self, kind: int) -> EngineKind:
        """The kind of machine with a number; IndexError if there is none."""
        return self.engine_kinds[0 if self.one_engine_kind else kind]

    @property
    def fewest_cores(self) -> int:
        """Of any kind of machine."""
        return min(kind.cores for kind in self.engine_kinds)

    @property
    def longest_queue_timeout(self) -> int:
        """Of any resource group, in tenths of a millisecond; 0 where none is stated."""
        return max((group.queue_timeout for group in self.groups), default=0)

    @property
    def named_engine_kinds(self) -> int:
        """How many kinds of machine the settings tell apart; one where they tell none apart."""
        return max(1, len(self.kind_names), len(self.cores_by_kind))

    @property
    def tenants_with_quota(self) -> tuple[int, ...]:
        """The numbers of the tenants that have a quota, in order."""
        quotas = ((number, self.tenants.get(number)) for number in range(self.tenant_count))
        return tuple(number for number, tenant in quotas if tenant is not None and tenant.quota_per_s)

    @classmethod
    def from_catalog(cls, catalog: Catalog) -> "Settings":
        """Reads the plain map of dotted names.

        Raises ValueError for an effect or scope that is not known, TypeError for a figure of another kind.
        """
        values: Mapping[str, Any] = catalog
        kinds, one_kind = _engine_kinds(values)
        meanings = {values.get(f"domain.report_{column}"): column for column in ("x0", "x1")}
        retry_after = values.get("limits.retry_after") and values.get("limits.max_retry_after")
        return cls(
            router=values.get("me", 0),
            routers=values.get("n_instances", 1),
            tick=values.get("tick", 0),
            sessions=values.get("sessions") or UNLIMITED,
            max_open_queries=values.get("limits.open_cap") or sys.maxsize,
            groups=tuple(_resource_group(values, n) for n in range(values.get("groups.count", 0))),
            tenants=_tenants(values),
            tenant_count=values.get("parties.count", 0),
            zone_names=_listed(values.get("dcs")),
            kind_names=_listed(values.get("kinds")),
            cores_by_kind=_listed(values.get("domain.kind_cores")),
            largest_engine_cores=_largest(values.get("domain.kind_cores", 1)),
            largest_engine_memory_mb=_largest(values.get("domain.ram_of_kind_mb") or UNLIMITED),
            engine_kinds=kinds,
            one_engine_kind=one_kind,
            warm_up=_warm_up(values),
            retries=_retries(values),
            connections=_connections(values),
            health_checks=values.get("report.via") == "probe" and bool(values.get("limits.probes", False)),
            health_check_cost=values.get("costs.probe", 0),
            report_columns=_listed(values.get("report.columns")),
            memory_column=meanings.get("share_of_memory_granted"),
            disk_column=meanings.get("share_of_disks_busy"),
            queues_for_memory=values.get("domain.on_shortage") == "line_up",
            priorities=values.get("domain.ranks_heeded", False),
            cancels=values.get("limits.cancel", False),
            retry_after=retry_after or 0,
            watches_on_request=values.get("discovery") == "on_request",
        )


def _listed(value: Any) -> tuple[Any, ...]:
    """The items of a list; a lone value is a list of one, and none is an empty one."""
    if value is None:
        return ()
    return tuple(value) if isinstance(value, list | tuple) else (value,)


def _largest(figure: Any) -> float:
    """The largest of a list, or the one figure that stands for all."""
    return float(max(figure)) if isinstance(figure, list) else float(figure)


def _connections(values: Mapping[str, Any]) -> ConnectionSettings:
    return ConnectionSettings(
        max_streams=values.get("limits.streams_per_conn", 1),
        connect_timeout=values.get("limits.connect_timeout", 0),
        keepalive=values.get("limits.keepalive", 0),
        progress_interval=values.get("domain.tells_every", 0),
    )


def _warm_up(values: Mapping[str, Any]) -> WarmUpSettings:
    return WarmUpSettings(
        duration=values.get("guarantees.cold", 0),
        initial_share=values.get("guarantees.cold_from", 0),
        budget_window=values.get("guarantees.fall", 0),
        budget_multiple=values.get("guarantees.tip_multiple", 0),
    )


def _retries(values: Mapping[str, Any]) -> RetrySettings:
    return RetrySettings(
        most_attempts=values.get("limits.most_tries", 1),
        budget_window=values.get("guarantees.look_back") or 0,
        budget_minimum=values.get("guarantees.min_extra", 0),
        budget_share=values.get("guarantees.extra_share", 0),
        order_pause=values.get("guarantees.order_pause", 0),
    )


def _engine_kinds(values: Mapping[str, Any]) -> tuple[tuple[EngineKind, ...], bool]:
    """The kinds of machines, and whether one stands for all: each figure is one number or a list by kind."""
    cores = values.get("domain.kind_cores", 1)
    memory = values.get("domain.ram_of_kind_mb", 0.0)
    lengths = [len(figure) for figure in (cores, memory) if isinstance(figure, list)]
    kinds = tuple(
        EngineKind(
            cores[kind] if isinstance(cores, list) else cores,
            memory[kind] if isinstance(memory, list) else memory,
        )
        for kind in range(min(lengths, default=1))
    )
    return kinds, not lengths


def _tenants(values: Mapping[str, Any]) -> dict[int, TenantSettings]:
    numbers = {int(found[1]) for found in map(TENANT_KEY.match, values) if found}
    return {
        number: TenantSettings(
            fraction=values.get(f"parties.{number}.fraction"),
            quota_per_s=values.get(f"parties.{number}.quota_per_s"),
        )
        for number in numbers
    }


def _resource_group(values: Mapping[str, Any], number: int) -> ResourceGroupSettings:
    def own(name: str, default: Any) -> Any:
        return values.get(f"groups.{number}.{name}", default)

    def of_the_list(name: str, default: Any) -> Any:
        """This group's entry of a list by group; a lone value is that of the first group."""
        listed = values.get(name, default)
        listed = listed if isinstance(listed, list) else [listed]
        return listed[number] if number < len(listed) else default

    def restricted_to(name: str) -> frozenset[int] | None:
        allowed = own(name, None)
        if allowed is None:
            return None
        return frozenset(allowed if isinstance(allowed, list) else [allowed])

    return ResourceGroupSettings(
        number=number,
        name=str(own("name", "")),
        queue_timeout=own("queue_timeout", 0),
        target_runtime=own("target_runtime", 0),
        target_stretch=own("target_stretch", 0.0),
        effect=Effect(own("effect", "mutating")),
        deduplication=DeduplicationScope(own("repeats_dropped_by", "cell")),
        deduplication_window=own("window", 0),
        threads=of_the_list("domain.width_by_group", 1),
        weight=own("value", 1.0) or 1.0,
        is_load=of_the_list("domain.group_load", False),
        waits_for_loads=of_the_list("domain.yields_to_loads", False),
        keeps_order=own("keep_order", False),
        zones=restricted_to("runs_in"),
        kinds=restricted_to("runs_on"),
    )
