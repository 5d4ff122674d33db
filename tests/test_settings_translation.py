"""Translation of the platform's settings into the settings catalog."""

import pytest

from hillchute.settings_translation import flatten_settings, translate_settings, without_separators


@pytest.mark.parametrize(
    "path, value, translated",
    [
        ("classes.0.goal_time_ns", 150_000, {"groups.0.target_runtime": 2}),  # tenths of a ms, rounded up
        ("classes.1.deadline_ns", 9_000_000, {"groups.1.queue_timeout": 90}),
        ("classes.0.aim_stretch", 1.5, {"groups.0.target_stretch": 1.5}),
        ("classes.0.worth", 2.5, {"groups.0.value": 2.5}),
        ("classes.0.group", "zone", {"groups.0.repeats_dropped_by": "zone"}),
        ("classes.0.semantics", "repeatable", {"groups.0.effect": "read-only"}),
        ("classes.0.semantics", "by_key", {"groups.0.effect": "tokened"}),
        ("classes.0.semantics", "once", {"groups.0.effect": "mutating"}),
        ("classes.0.semantics", "sometimes", {"groups.0.effect": "sometimes"}),
        ("domain.class_load", [False, True], {"domain.group_load": [False, True]}),
        ("domain.width_by_class", 1, {"domain.width_by_group": 1}),
        ("tick_ns", "soon", {"tick_ns": "soon"}),
        ("n_instances", 3, {"n_instances": 3}),
    ],
)
def test_setting_is_translated(path, value, translated):
    assert translate_settings([(path, value)]) == translated


def test_nested_settings_become_the_pairs_of_the_wire_format():
    nested = {
        "me": 4,
        "classes": [{"name": "a b,c", "window_ns": 5}, {"name": "d"}],
        "limits": {"cancel": True, "connect_timeout_ns": None},
        "kinds": ["std"],
        "dcs": ["east 1", "west"],
        "parties": [],
    }
    assert list(flatten_settings(nested)) == [
        ("me", 4),
        ("classes.count", 2),
        ("classes.0.name", "a_b_c"),
        ("classes.0.window_ns", 5),
        ("classes.1.name", "d"),
        ("limits.cancel", True),
        ("kinds", "std"),
        ("dcs", ["east_1", "west"]),
        ("parties", ""),
    ]


@pytest.mark.parametrize("value", [5, 1.5, True, None, ["a b"]])
def test_values_other_than_strings_are_unchanged(value):
    assert without_separators(value) is value
