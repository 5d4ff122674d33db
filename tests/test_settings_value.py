"""The settings as one typed value: what the catalog's plain map becomes."""

import pytest

from hillchute.settings import (
    UNLIMITED,
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
    assert settings.retries.most_attempts == 1 and settings.retries.budget_window == 0
    assert not (settings.health_checks or settings.priorities or settings.cancels or settings.retry_after)


def test_group_without_settings_is_taken_as_not_to_be_repeated():
    (group,) = Settings.from_catalog({"groups.count": 1}).groups
    assert (group.effect, group.deduplication) == (Effect.NON_IDEMPOTENT, DeduplicationScope.CELL)
    assert (group.threads, group.weight, group.zones, group.kinds) == (1, 1.0, None, None)


def test_lists_by_group_are_parted_and_a_lone_value_is_the_first_groups():
    settings = Settings.from_catalog(
        {"groups.count": 3, "domain.width_by_group": [1, 4], "domain.group_load": True, "groups.2.runs_in": 5}
    )
    assert [group.threads for group in settings.groups] == [1, 4, 1]
    assert [group.is_load for group in settings.groups] == [True, False, False]
    assert [group.zones for group in settings.groups] == [None, None, frozenset({5})]


def test_figures_by_kind_may_be_one_number_or_a_list():
    one = Settings.from_catalog({"domain.kind_cores": 8, "domain.ram_of_kind_mb": 100.0})
    assert one.engine_kind(0) == one.engine_kind(3) == EngineKind(8, 100.0)
    mixed = Settings.from_catalog({"domain.kind_cores": [8, 16], "domain.ram_of_kind_mb": 100.0})
    assert [mixed.engine_kind(kind) for kind in (0, 1)] == [EngineKind(8, 100.0), EngineKind(16, 100.0)]
    assert mixed.fewest_cores == 8
    with pytest.raises(IndexError):
        mixed.engine_kind(2)


def test_tenants_are_found_by_their_numbers():
    settings = Settings.from_catalog(
        {"parties.count": 2, "parties.0.fraction": 0.5, "parties.11.quota_per_s": 3}
    )
    assert settings.tenants == {0: TenantSettings(fraction=0.5), 11: TenantSettings(quota_per_s=3)}


def test_report_columns_are_named_by_what_they_mean():
    settings = Settings.from_catalog(
        {
            "domain.report_x0": "share_of_disks_busy",
            "domain.report_x1": "share_of_memory_granted",
            "report.columns": "inflight",
        }
    )
    assert (settings.disk_column, settings.memory_column) == ("x0", "x1")
    assert settings.report_columns == {"inflight"}


@pytest.mark.parametrize(
    "via, allowed, enabled", [("probe", True, True), ("probe", False, False), ("answers", True, False)]
)
def test_health_checks_are_on_where_reports_come_by_them_alone(via, allowed, enabled):
    settings = Settings.from_catalog({"report.via": via, "limits.probes": allowed})
    assert settings.health_checks is enabled


def test_wait_for_rejected_clients_is_told_only_where_clients_heed_it():
    wait = {"limits.max_retry_after": 7_000}
    assert Settings.from_catalog(wait).retry_after == 0
    assert Settings.from_catalog(wait | {"limits.retry_after": True}).retry_after == 7_000


@pytest.mark.parametrize("name, value", [("effect", "sometimes"), ("repeats_dropped_by", "planet")])
def test_unknown_words_are_errors(name, value):
    with pytest.raises(ValueError, match=value):
        Settings.from_catalog({"groups.count": 1, f"groups.0.{name}": value})
