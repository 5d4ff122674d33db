"""Settings.from_catalog: the typed settings that result from a catalog."""

import sys

import pytest

from hillchute.decision.engine_state import EnginePool
from hillchute.settings import (
    UNLIMITED,
    ConnectionSettings,
    DeduplicationScope,
    Effect,
    EngineKind,
    Settings,
    TenantSettings,
)


def test_empty_catalog_gives_the_defaults():
    settings = Settings.from_catalog({})
    assert (settings.router, settings.routers, settings.tick, settings.sessions) == (0, 1, 0, UNLIMITED)
    assert settings.groups == () and settings.tenants == {}
    assert settings.engine_kind(7) == EngineKind(cores=1, memory_mb=0.0)
    assert settings.retries.max_attempts == 1 and settings.retries.budget_window == 0
    assert not (settings.health_checks or settings.priorities or settings.cancels or settings.retry_after)


def test_empty_catalog_gives_the_defaults_for_the_router():
    settings = Settings.from_catalog({})
    assert settings.connections == ConnectionSettings(
        max_streams=1, connect_timeout=0, keepalive=0, progress_interval=0
    )
    assert (settings.max_open_queries, settings.longest_queue_timeout) == (sys.maxsize, 0)
    assert (settings.largest_engine_cores, settings.largest_engine_memory_mb) == (1.0, float(UNLIMITED))
    assert (
        settings.zone_names == settings.kind_names == settings.cores_by_kind == settings.report_columns == ()
    )
    assert (settings.named_engine_kinds, settings.tenant_count, settings.tenants_with_quota) == (1, 0, ())


def test_connection_settings_are_read_from_limits_and_the_progress_interval():
    settings = Settings.from_catalog(
        {
            "limits.streams_per_conn": 8,
            "limits.connect_timeout": 500,
            "limits.keepalive": 60_000,
            "domain.tells_every": 20_000,
        }
    )
    assert settings.connections == ConnectionSettings(
        max_streams=8, connect_timeout=500, keepalive=60_000, progress_interval=20_000
    )


def test_limit_on_open_queries_applies_if_it_is_stated():
    assert Settings.from_catalog({"limits.open_cap": 100}).max_open_queries == 100
    assert Settings.from_catalog({"limits.open_cap": 0}).max_open_queries == sys.maxsize


def test_groups_have_names_and_the_longest_queue_timeout_is_found():
    settings = Settings.from_catalog(
        {
            "groups.count": 3,
            "groups.0.name": "lookup",
            "groups.0.queue_timeout": 70_000,
            "groups.1.name": 7,
            "groups.1.queue_timeout": 80_000,
        }
    )
    assert [group.name for group in settings.groups] == ["lookup", "7", ""]
    assert [group.queue_timeout for group in settings.groups] == [70_000, 80_000, 0]
    assert settings.longest_queue_timeout == 80_000


def test_simulator_may_state_zero_routers():
    assert Settings.from_catalog({"n_instances": 0}).routers == 0
    assert EnginePool(Settings.from_catalog({"n_instances": 0})).routers == 1


@pytest.mark.parametrize(
    "stated, listed", [(["a", "b"], ("a", "b")), ("a", ("a",)), (("b", "a"), ("b", "a")), ("", ("",))]
)
def test_names_and_columns_keep_their_order_and_a_single_one_is_a_list_of_one(stated, listed):
    settings = Settings.from_catalog({"dcs": stated, "kinds": stated, "report.columns": stated})
    assert settings.zone_names == settings.kind_names == settings.report_columns == listed
    assert settings.named_engine_kinds == len(listed)


def test_kinds_that_differ_only_by_cores_are_counted():
    settings = Settings.from_catalog({"kinds": "std", "domain.kind_cores": [8, 32, 16]})
    assert (settings.named_engine_kinds, settings.cores_by_kind) == (3, (8, 32, 16))


@pytest.mark.parametrize(
    "cores, memory_mb, largest",
    [
        (8, 100.0, (8.0, 100.0)),
        ([8, 32, 16], [100.0, 50.0], (32.0, 100.0)),  # counts the entries of the longer list that no kind has
        (8, 0, (8.0, float(UNLIMITED))),
        (8, [0, 0], (8.0, 0.0)),
    ],
)
def test_largest_values_of_any_kind(cores, memory_mb, largest):
    settings = Settings.from_catalog({"domain.kind_cores": cores, "domain.ram_of_kind_mb": memory_mb})
    assert (settings.largest_engine_cores, settings.largest_engine_memory_mb) == largest


def test_group_without_settings_is_not_idempotent():
    (group,) = Settings.from_catalog({"groups.count": 1}).groups
    assert (group.effect, group.deduplication) == (Effect.NON_IDEMPOTENT, DeduplicationScope.CELL)
    assert (group.threads, group.weight, group.zones, group.kinds) == (1, 1.0, None, None)


def test_lists_by_group_are_split_and_a_single_value_applies_to_the_first_group():
    settings = Settings.from_catalog(
        {"groups.count": 3, "domain.width_by_group": [1, 4], "domain.group_load": True, "groups.2.runs_in": 5}
    )
    assert [group.threads for group in settings.groups] == [1, 4, 1]
    assert [group.is_bulk_load for group in settings.groups] == [True, False, False]
    assert [group.zones for group in settings.groups] == [None, None, frozenset({5})]


def test_values_by_kind_may_be_one_number_or_a_list():
    one = Settings.from_catalog({"domain.kind_cores": 8, "domain.ram_of_kind_mb": 100.0})
    assert one.engine_kind(0) == one.engine_kind(3) == EngineKind(8, 100.0)
    mixed = Settings.from_catalog({"domain.kind_cores": [8, 16], "domain.ram_of_kind_mb": 100.0})
    assert [mixed.engine_kind(kind) for kind in (0, 1)] == [EngineKind(8, 100.0), EngineKind(16, 100.0)]
    assert mixed.fewest_cores == 8
    with pytest.raises(IndexError):
        mixed.engine_kind(2)


def test_tenants_are_read_by_number():
    settings = Settings.from_catalog(
        {"parties.count": 2, "parties.0.fraction": 0.5, "parties.11.quota_per_s": 3}
    )
    assert settings.tenants == {0: TenantSettings(fraction=0.5), 11: TenantSettings(quota_per_s=3)}


def test_tenants_with_a_quota_are_limited_to_the_tenant_count():
    quotas = {f"parties.{number}.quota_per_s": 3 for number in (3, 1, 5)}
    settings = Settings.from_catalog({"parties.count": 4, "parties.0.fraction": 0.5} | quotas)
    assert (settings.tenant_count, settings.tenants_with_quota) == (4, (1, 3))


def test_report_columns_are_found_by_their_meaning():
    settings = Settings.from_catalog(
        {
            "domain.report_x0": "share_of_disks_busy",
            "domain.report_x1": "share_of_memory_granted",
            "report.columns": "inflight",
        }
    )
    assert (settings.disk_column, settings.memory_column) == ("x0", "x1")
    assert settings.report_columns == ("inflight",)


@pytest.mark.parametrize(
    "via, allowed, enabled", [("probe", True, True), ("probe", False, False), ("answers", True, False)]
)
def test_health_checks_are_enabled_only_if_reports_come_by_them_alone(via, allowed, enabled):
    settings = Settings.from_catalog({"report.via": via, "limits.probes": allowed})
    assert settings.health_checks is enabled


def test_rejected_clients_are_told_a_wait_only_if_they_honour_it():
    wait = {"limits.max_retry_after": 7_000}
    assert Settings.from_catalog(wait).retry_after == 0
    assert Settings.from_catalog(wait | {"limits.retry_after": True}).retry_after == 7_000


@pytest.mark.parametrize("name, value", [("effect", "sometimes"), ("repeats_dropped_by", "planet")])
def test_unknown_effect_or_scope_is_an_error(name, value):
    with pytest.raises(ValueError, match=value):
        Settings.from_catalog({"groups.count": 1, f"groups.0.{name}": value})
