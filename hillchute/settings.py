"""The deployment's settings for the scheduler and the router, as one typed, frozen value.

`Settings.from_catalog` builds it once from the flat map of dotted names that settings_translation.py makes.
Durations are whole tenths of a millisecond. The metadata of a field names the key that it is read from, and
the field's default applies where the key is absent.
"""

import re
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any, Self

Catalog = Mapping[str, object]

TENANT_KEY = re.compile(r"parties\.(\d+)\.")
UNLIMITED = 10**9  # sessions of a router, or MB of an engine, if no limit is stated

# Entries of a field's metadata.
KEY = "key"
LIST_BY_GROUP = "list by group"
CONVERT = "convert"
ZERO_IS_ABSENT = "zero is absent"


def from_key(
    key: str, convert: Callable[[Any], object] | None = None, *, zero_is_absent: bool = False
) -> dict[str, object]:
    """Returns the metadata of a field that is read from a key of the catalog.

    `convert` converts the catalog's value to the field's; with `zero_is_absent` a 0 means the default.
    """
    return {KEY: key, CONVERT: convert, ZERO_IS_ABSENT: zero_is_absent}


def from_list_by_group(key: str) -> dict[str, object]:
    """Returns the metadata of a resource group's field that is read from a list by group.

    A single value instead of a list applies to the first group.
    """
    return {LIST_BY_GROUP: key}


def as_tuple(value: Any) -> tuple[Any, ...]:
    """Returns the items of a list as a tuple; a single value is a list of one, and None is an empty list."""
    if value is None:
        return ()
    return tuple(value) if isinstance(value, list | tuple) else (value,)


def allowed_numbers(value: Any) -> frozenset[int] | None:
    """Returns the numbers of a list; None, which allows all numbers, for None."""
    return None if value is None else frozenset(as_tuple(value))


def largest(numbers: Any) -> float:
    """Returns the largest number of a list, or the single number that applies to all."""
    return float(max(numbers)) if isinstance(numbers, list) else float(numbers)


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the settings."""

    @classmethod
    def read(cls, catalog: Catalog, prefix: str = "", **others: Any) -> Self:
        """Reads each field that has a key from that key below `prefix`; `others` are the remaining fields."""
        for item in fields(cls):
            key = prefix + item.metadata.get(KEY, "")
            if KEY not in item.metadata or key not in catalog:
                continue
            value, convert = catalog[key], item.metadata[CONVERT]
            if value or not item.metadata[ZERO_IS_ABSENT]:
                others[item.name] = convert(value) if convert else value
        return cls(**others)


class Effect(Enum):
    """Effect of a query on the data, which determines when it may be repeated; values of the catalog."""

    READ_ONLY = "read-only"
    IDEMPOTENT = "tokened"  # with an idempotency key
    NON_IDEMPOTENT = "mutating"


class DeduplicationScope(Enum):
    """The set of engines that drop a repeat of an idempotency key which one of them has seen."""

    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class EngineKind:
    """A kind of machine that engines run on."""

    cores: int = 1
    memory_mb: float = 0.0  # 0: not stated


@dataclass(frozen=True, slots=True, kw_only=True)
class TenantSettings(Section):
    """The share of the traffic that a tenant is entitled to."""

    # The tenant's fraction of all queries.
    fraction: float | None = field(default=None, metadata=from_key("fraction"))
    # Queries per second, over all routers.
    quota_per_s: float | None = field(default=None, metadata=from_key("quota_per_s"))


@dataclass(frozen=True, slots=True, kw_only=True)
class ResourceGroupSettings(Section):
    """A resource group."""

    number: int
    # The name by which clients choose the group; a router requires it, the simulator may omit it.
    name: str = field(default="", metadata=from_key("name", str))
    # The longest accepted client timeout; 0: not stated.
    queue_timeout: int = field(default=0, metadata=from_key("queue_timeout"))
    # Latency objective: `target_runtime` plus `target_stretch` times the runtime of the query alone.
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
    # Priority weight: the value of an answer in time.
    weight: float = field(default=1.0, metadata=from_key("value", zero_is_absent=True))
    # Whether its queries are bulk loads: those of one table group block each other on an engine.
    is_bulk_load: bool = field(default=False, metadata=from_list_by_group("domain.group_load"))
    # Whether a bulk load of the same table group blocks its queries on an engine.
    waits_for_bulk_loads: bool = field(default=False, metadata=from_list_by_group("domain.yields_to_loads"))
    # Whether queries with the same ordering key run one after another.
    keeps_order: bool = field(default=False, metadata=from_key("keep_order"))
    # The zones and the kinds of machines where its queries may run; None: all.
    zones: frozenset[int] | None = field(default=None, metadata=from_key("runs_in", allowed_numbers))
    kinds: frozenset[int] | None = field(default=None, metadata=from_key("runs_on", allowed_numbers))

    @classmethod
    def of_group(cls, catalog: Catalog, number: int) -> Self:
        """Reads the group with this number from the catalog."""
        entries: dict[str, Any] = {}
        for item in fields(cls):
            by_group = as_tuple(catalog.get(item.metadata.get(LIST_BY_GROUP, "")))
            if number < len(by_group):
                entries[item.name] = by_group[number]
        return cls.read(catalog, f"groups.{number}.", number=number, **entries)


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmUpSettings(Section):
    """Warm-up of an engine after its start."""

    duration: int = field(default=0, metadata=from_key("guarantees.cold"))
    # Share of its cores' capacity that is usable at the start.
    initial_share: float = field(default=0, metadata=from_key("guarantees.cold_from"))
    budget_window: int = field(default=0, metadata=from_key("guarantees.fall"))
    # Work per window, as a multiple of its capacity, that overloads an engine while it warms up.
    budget_multiple: float = field(default=0, metadata=from_key("guarantees.tip_multiple"))


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings(Section):
    """Limits on retries."""

    # Attempts of one query, the first included.
    max_attempts: int = field(default=1, metadata=from_key("limits.most_tries"))
    # The window of the retry budget; 0: there is no budget.
    budget_window: int = field(default=0, metadata=from_key("guarantees.look_back", zero_is_absent=True))
    # Retries per window that are always allowed.
    budget_minimum: float = field(default=0, metadata=from_key("guarantees.min_extra"))
    # Further retries allowed per window, as a share of its queries.
    budget_share: float = field(default=0, metadata=from_key("guarantees.extra_share"))
    # Pause of an ordering key after an attempt that may still run.
    order_pause: int = field(default=0, metadata=from_key("guarantees.order_pause"))


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionSettings(Section):
    """Connections of a router to engines."""

    # Most attempts in flight on one connection.
    max_streams: int = field(default=1, metadata=from_key("limits.streams_per_conn"))
    connect_timeout: int = field(default=0, metadata=from_key("limits.connect_timeout"))
    # How long an engine keeps an idle connection.
    keepalive: int = field(default=0, metadata=from_key("limits.keepalive"))
    # Interval of engines' progress reports on an attempt; 0: there are none.
    progress_interval: int = field(default=0, metadata=from_key("domain.tells_every"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings(Section):
    """All settings of a deployment that a router or the simulator adapter uses."""

    # This router's number.
    router: int = field(default=0, metadata=from_key("me"))
    # Number of routers in the deployment; a simulator may state 0.
    routers: int = field(default=1, metadata=from_key("n_instances"))
    # The step of the caller's clock; 0: not stated.
    tick: int = field(default=0, metadata=from_key("tick"))
    # Most clients that may be connected to this router at once.
    sessions: int = field(default=UNLIMITED, metadata=from_key("sessions", zero_is_absent=True))
    # Most queries that may be open on this router; further ones are rejected.
    max_open_queries: int = field(
        default=sys.maxsize, metadata=from_key("limits.open_cap", zero_is_absent=True)
    )
    groups: tuple[ResourceGroupSettings, ...]
    tenants: Mapping[int, TenantSettings]
    # Number of tenants; `tenants` has only those with settings.
    tenant_count: int = field(default=0, metadata=from_key("parties.count"))
    # Names of zones, by number.
    zone_names: tuple[str, ...] = field(default=(), metadata=from_key("dcs", as_tuple))
    # Names of kinds of machines, by number.
    kind_names: tuple[str, ...] = field(default=(), metadata=from_key("kinds", as_tuple))
    # Cores as stated: empty if they are not, a single number if it applies to all kinds.
    cores_by_kind: tuple[int, ...] = field(default=(), metadata=from_key("domain.kind_cores", as_tuple))
    # The largest values of any kind of machine.
    largest_engine_cores: float = field(default=1.0, metadata=from_key("domain.kind_cores", largest))
    largest_engine_memory_mb: float = field(
        default=float(UNLIMITED), metadata=from_key("domain.ram_of_kind_mb", largest, zero_is_absent=True)
    )
    engine_kinds: tuple[EngineKind, ...]
    one_engine_kind: bool  # the first kind's values apply to all kinds
    warm_up: WarmUpSettings
    retries: RetrySettings
    connections: ConnectionSettings
    health_checks: bool  # engines send load reports in answer to health checks only, and these are allowed
    # Cost of a health check over the value of a served query.
    health_check_cost: float = field(default=0, metadata=from_key("costs.probe"))
    # Columns of load reports, in the order in which engines send them.
    report_columns: tuple[str, ...] = field(default=(), metadata=from_key("report.columns", as_tuple))
    memory_column: str | None  # report column with the share of memory granted
    disk_column: str | None  # report column with the share of disks busy
    # Whether attempts are queued on the engine while memory is short; otherwise they are cut short.
    queues_for_memory: bool = field(
        default=False, metadata=from_key("domain.on_shortage", lambda word: word == "line_up")
    )
    # Whether engines honour priorities.
    priorities: bool = field(default=False, metadata=from_key("domain.ranks_heeded"))
    # Whether cancelling an attempt frees its engine.
    cancels: bool = field(default=False, metadata=from_key("limits.cancel"))
    retry_after: int  # wait that rejected clients are told; 0: none is told
    # Whether the endpoint list is sent only on request.
    watches_on_request: bool = field(
        default=False, metadata=from_key("discovery", lambda word: word == "on_request")
    )

    def engine_kind(self, kind: int) -> EngineKind:
        """Returns the kind of machine with this number; raises IndexError if there is none."""
        return self.engine_kinds[0 if self.one_engine_kind else kind]

    @property
    def fewest_cores(self) -> int:
        """The fewest cores that any kind of machine has."""
        return min(kind.cores for kind in self.engine_kinds)

    @property
    def longest_queue_timeout(self) -> int:
        """The longest queue timeout of any resource group; 0 if none is stated."""
        return max((group.queue_timeout for group in self.groups), default=0)

    @property
    def named_engine_kinds(self) -> int:
        """The number of kinds of machine that the settings distinguish, at least one."""
        return max(1, len(self.kind_names), len(self.cores_by_kind))

    @property
    def tenants_with_quota(self) -> tuple[int, ...]:
        """The numbers of the tenants that have a quota, in order."""
        quotas = ((number, self.tenants.get(number)) for number in range(self.tenant_count))
        return tuple(number for number, tenant in quotas if tenant is not None and tenant.quota_per_s)

    @classmethod
    def from_catalog(cls, catalog: Catalog) -> "Settings":
        """Reads the flat map of dotted names.

        Raises ValueError for an unknown effect or scope, and TypeError for a value of the wrong type.
        """
        values: Mapping[str, Any] = catalog
        kinds, one_kind = _engine_kinds(values)
        columns = {values.get(f"domain.report_{column}"): column for column in ("x0", "x1")}
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
            memory_column=columns.get("share_of_memory_granted"),
            disk_column=columns.get("share_of_disks_busy"),
            retry_after=(clients_wait and values.get("limits.max_retry_after")) or 0,
        )


def _engine_kinds(values: Mapping[str, Any]) -> tuple[tuple[EngineKind, ...], bool]:
    """Returns the kinds of machines, and whether a single one applies to all.

    Cores and memory are each one number or a list by kind.
    """
    unstated = EngineKind()
    cores = values.get("domain.kind_cores", unstated.cores)
    memory = values.get("domain.ram_of_kind_mb", unstated.memory_mb)
    lengths = [len(numbers) for numbers in (cores, memory) if isinstance(numbers, list)]
    kinds = tuple(
        EngineKind(
            cores[kind] if isinstance(cores, list) else cores,
            memory[kind] if isinstance(memory, list) else memory,
        )
        for kind in range(min(lengths, default=1))
    )
    return kinds, not lengths


def _tenants(catalog: Catalog) -> dict[int, TenantSettings]:
    numbers = {int(match[1]) for match in map(TENANT_KEY.match, catalog) if match}
    return {number: TenantSettings.read(catalog, f"parties.{number}.") for number in numbers}
