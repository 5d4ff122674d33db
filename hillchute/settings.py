"""The deployment's settings as one typed, frozen value: those that decisions depend on, and the router's own.

Built once by `Settings.from_catalog` from the plain map of dotted names that settings_translation.py makes.
Durations are whole tenths of a millisecond. A field that is the value of one key states that key, and the
default where the key is absent.
"""

import re
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any, Self

Catalog = Mapping[str, object]

TENANT_KEY = re.compile(r"parties\.(\d+)\.")
UNLIMITED = 10**9  # sessions of a router, or MB of an engine, where no limit is stated

# Entries of a field's metadata.
KEY = "key"
LIST_BY_GROUP = "list by group"
CONVERT = "convert"
ZERO_IS_ABSENT = "zero is absent"


def from_key(
    key: str, convert: Callable[[Any], object] | None = None, *, zero_is_absent: bool = False
) -> dict[str, object]:
    """Metadata of a field that is read from a key of the catalog.

    `convert` makes the field's value of the catalog's; with `zero_is_absent` a 0 there means the default.
    """
    return {KEY: key, CONVERT: convert, ZERO_IS_ABSENT: zero_is_absent}


def from_list_by_group(key: str) -> dict[str, object]:
    """Metadata of a resource group's field that is read from a list by group; a lone value is the first's."""
    return {LIST_BY_GROUP: key}


def listed(value: Any) -> tuple[Any, ...]:
    """The items of a list; a lone value is a list of one, and none is an empty one."""
    if value is None:
        return ()
    return tuple(value) if isinstance(value, list | tuple) else (value,)


def allowed_numbers(value: Any) -> frozenset[int] | None:
    """The numbers of a list; None, which allows all, where there is none."""
    return None if value is None else frozenset(listed(value))


def largest(figure: Any) -> float:
    """The largest of a list, or the one figure that stands for all."""
    return float(max(figure)) if isinstance(figure, list) else float(figure)


@dataclass(frozen=True, slots=True)
class Section:
    """A part of the settings."""

    @classmethod
    def read(cls, catalog: Catalog, prefix: str = "", **others: Any) -> Self:
        """Reads each field that has a key from it, below `prefix`; `others` are the other fields."""
        for item in fields(cls):
            key = prefix + item.metadata.get(KEY, "")
            if KEY not in item.metadata or key not in catalog:
                continue
            value, convert = catalog[key], item.metadata[CONVERT]
            if value or not item.metadata[ZERO_IS_ABSENT]:
                others[item.name] = convert(value) if convert else value
        return cls(**others)


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
class TenantSettings(Section):
    """One customer's agreed part of the traffic."""

    # The tenant's part of all queries.
    fraction: float | None = field(default=None, metadata=from_key("fraction"))
    # Queries a second, over all routers.
    quota_per_s: float | None = field(default=None, metadata=from_key("quota_per_s"))


@dataclass(frozen=True, slots=True, kw_only=True)
class ResourceGroupSettings(Section):
    """One resource group."""

    number: int
    # The name by which clients choose it; a router requires one, the simulator need not state any.
    name: str = field(default="", metadata=from_key("name", str))
    # The longest client timeout that is accepted; 0: not stated.
    queue_timeout: int = field(default=0, metadata=from_key("queue_timeout"))
    # Latency objective: this, and the stretch times the time that a query takes alone.
    target_runtime: int = field(default=0, metadata=from_key("target_runtime"))
    target_stretch: float = field(default=0.0, metadata=from_key("target_stretch"))
    effect: Effect = field(default=Effect.NON_IDEMPOTENT, metadata=from_key("effect", Effect))
    deduplication: DeduplicationScope = field(
        default=DeduplicationScope.CELL, metadata=from_key("repeats_dropped_by", DeduplicationScope)
    )
    # How long engines remember an idempotency key.
    deduplication_window: int = field(default=0, metadata=from_key("window"))
    # Threads that a query of the group uses on its engine.
    threads: int = field(default=1, metadata=from_list_by_group("domain.width_by_group"))
    # Priority weight: what an answer in time is worth.
    weight: float = field(default=1.0, metadata=from_key("value", zero_is_absent=True))
    # Loads of one table group stand still behind each other on an engine.
    is_load: bool = field(default=False, metadata=from_list_by_group("domain.group_load"))
    # Stands still behind a load of its table group on the same engine.
    waits_for_loads: bool = field(default=False, metadata=from_list_by_group("domain.yields_to_loads"))
    # Queries of one key run one after another.
    keeps_order: bool = field(default=False, metadata=from_key("keep_order"))
    # Where it may run; None: everywhere.
    zones: frozenset[int] | None = field(default=None, metadata=from_key("runs_in", allowed_numbers))
    kinds: frozenset[int] | None = field(default=None, metadata=from_key("runs_on", allowed_numbers))

    @classmethod
    def of_group(cls, catalog: Catalog, number: int) -> Self:
        """Reads the group with this number."""
        entries: dict[str, Any] = {}
        for item in fields(cls):
            by_group = listed(catalog.get(item.metadata.get(LIST_BY_GROUP, "")))
            if number < len(by_group):
                entries[item.name] = by_group[number]
        return cls.read(catalog, f"groups.{number}.", number=number, **entries)


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmUpSettings(Section):
    """How an engine recovers after a start."""

    duration: int = field(default=0, metadata=from_key("guarantees.cold"))
    # Part of its cores' work that it does as it starts.
    initial_share: float = field(default=0, metadata=from_key("guarantees.cold_from"))
    budget_window: int = field(default=0, metadata=from_key("guarantees.fall"))
    # Work within a window, over what it can do, that overloads it while it warms up.
    budget_multiple: float = field(default=0, metadata=from_key("guarantees.tip_multiple"))


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings(Section):
    """Limits on further attempts."""

    # Attempts of one query.
    most_attempts: int = field(default=1, metadata=from_key("limits.most_tries"))
    # The time over which retries are rationed; 0: they are not.
    budget_window: int = field(default=0, metadata=from_key("guarantees.look_back", zero_is_absent=True))
    # Retries in a window that are always allowed.
    budget_minimum: float = field(default=0, metadata=from_key("guarantees.min_extra"))
    # Retries allowed beyond them, as a share of the queries of the window.
    budget_share: float = field(default=0, metadata=from_key("guarantees.extra_share"))
    # A key rests so long after an attempt that may still run.
    order_pause: int = field(default=0, metadata=from_key("guarantees.order_pause"))


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionSettings(Section):
    """How a router uses its connections to engines."""

    # Attempts in flight on one connection.
    max_streams: int = field(default=1, metadata=from_key("limits.streams_per_conn"))
    connect_timeout: int = field(default=0, metadata=from_key("limits.connect_timeout"))
    # How long an engine keeps an idle connection.
    keepalive: int = field(default=0, metadata=from_key("limits.keepalive"))
    # How often engines report progress of an attempt; 0: they do not.
    progress_interval: int = field(default=0, metadata=from_key("domain.tells_every"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings(Section):
    """All settings of a deployment that a router or the simulator adapter heeds."""

    # This router's number.
    router: int = field(default=0, metadata=from_key("me"))
    # Routers of the deployment; a simulator may state 0.
    routers: int = field(default=1, metadata=from_key("n_instances"))
    # The step of the caller's clock; 0: not stated.
    tick: int = field(default=0, metadata=from_key("tick"))
    # Clients that may be connected to this router at once.
    sessions: int = field(default=UNLIMITED, metadata=from_key("sessions", zero_is_absent=True))
    # Queries that may be open on this router; further ones are rejected.
    max_open_queries: int = field(
        default=sys.maxsize, metadata=from_key("limits.open_cap", zero_is_absent=True)
    )
    groups: tuple[ResourceGroupSettings, ...]
    tenants: Mapping[int, TenantSettings]
    # Tenants that there are; `tenants` has those of which anything is stated.
    tenant_count: int = field(default=0, metadata=from_key("parties.count"))
    # The names of zones, by number.
    zone_names: tuple[str, ...] = field(default=(), metadata=from_key("dcs", listed))
    # The names of kinds of machines, by number.
    kind_names: tuple[str, ...] = field(default=(), metadata=from_key("kinds", listed))
    # Cores as they are stated: empty where they are not, and one figure may hold for all kinds.
    cores_by_kind: tuple[int, ...] = field(default=(), metadata=from_key("domain.kind_cores", listed))
    # The largest figures of any kind of machine.
    largest_engine_cores: float = field(default=1.0, metadata=from_key("domain.kind_cores", largest))
    largest_engine_memory_mb: float = field(
        default=float(UNLIMITED), metadata=from_key("domain.ram_of_kind_mb", largest, zero_is_absent=True)
    )
    engine_kinds: tuple[EngineKind, ...]
    one_engine_kind: bool  # the first kind's figures hold for all kinds
    warm_up: WarmUpSettings
    retries: RetrySettings
    connections: ConnectionSettings
    health_checks: bool  # load reports come by health checks alone, and these may be sent
    # The cost of a health check over the value of a served query.
    health_check_cost: float = field(default=0, metadata=from_key("costs.probe"))
    # The columns of load reports, in the order that engines send them.
    report_columns: tuple[str, ...] = field(default=(), metadata=from_key("report.columns", listed))
    memory_column: str | None  # report column with the share of the memory granted
    disk_column: str | None  # report column with the share of the disks busy
    # Attempts wait on the engine for memory, none is cut short.
    queues_for_memory: bool = field(
        default=False, metadata=from_key("domain.on_shortage", lambda word: word == "line_up")
    )
    # Engines heed priorities.
    priorities: bool = field(default=False, metadata=from_key("domain.ranks_heeded"))
    # An attempt that is given up frees its engine.
    cancels: bool = field(default=False, metadata=from_key("limits.cancel"))
    retry_after: int  # that rejected clients are told to wait; 0: nothing is told
    # The endpoint list comes only when it is asked for.
    watches_on_request: bool = field(
        default=False, metadata=from_key("discovery", lambda word: word == "on_request")
    )

    def engine_kind(self, kind: int) -> EngineKind:
        """The kind of machine with a number; IndexError if there is none."""
        return self.engine_kinds[0 if self.one_engine_kind else kind]

    @property
    def fewest_cores(self) -> int:
        """The fewest cores that any kind of machine has."""
        return min(kind.cores for kind in self.engine_kinds)

    @property
    def longest_queue_timeout(self) -> int:
        """The longest of any resource group, in tenths of a millisecond; 0 where none is stated."""
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
        clients_wait = values.get("limits.retry_after", False)
        return cls.read(
            catalog,
            groups=tuple(
                ResourceGroupSettings.of_group(catalog, number)
                for number in range(values.get("groups.count", 0))
            ),
            tenants=_tenants(catalog),
            engine_kinds=kinds,
            one_engine_kind=one_kind,
            warm_up=WarmUpSettings.read(catalog),
            retries=RetrySettings.read(catalog),
            connections=ConnectionSettings.read(catalog),
            health_checks=values.get("report.via") == "probe" and bool(values.get("limits.probes")),
            memory_column=meanings.get("share_of_memory_granted"),
            disk_column=meanings.get("share_of_disks_busy"),
            retry_after=(clients_wait and values.get("limits.max_retry_after")) or 0,
        )


def _engine_kinds(values: Mapping[str, Any]) -> tuple[tuple[EngineKind, ...], bool]:
    """The kinds of machines, and whether one stands for all: each figure is one number or a list by kind."""
    unstated = EngineKind()
    cores = values.get("domain.kind_cores", unstated.cores)
    memory = values.get("domain.ram_of_kind_mb", unstated.memory_mb)
    lengths = [len(figure) for figure in (cores, memory) if isinstance(figure, list)]
    kinds = tuple(
        EngineKind(
            cores[kind] if isinstance(cores, list) else cores,
            memory[kind] if isinstance(memory, list) else memory,
        )
        for kind in range(min(lengths, default=1))
    )
    return kinds, not lengths


def _tenants(catalog: Catalog) -> dict[int, TenantSettings]:
    numbers = {int(found[1]) for found in map(TENANT_KEY.match, catalog) if found}
    return {number: TenantSettings.read(catalog, f"parties.{number}.") for number in numbers}
