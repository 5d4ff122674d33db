"""Checks the settings of a deployment: required keys, types and bounds.

validate() raises ConfigurationError for the first error, which names the key by its full path. Contains no
values that affect decisions about queries, and no names of a particular deployment.
"""

import re
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hillchute.errors import ConfigurationError
from hillchute.settings_translation import without_separators

SEMANTICS = ("repeatable", "by_key", "once")  # the platform's terms for the effect of a query on the data
DEDUPLICATION_SCOPES = ("all", "zone", "cell")  # engines that share their record of idempotency keys
# Spaces and commas are allowed: settings_translation.without_separators() replaces them by underscores.
CLASS_NAME = re.compile(r"[^\x00-\x1f=]{1,256}")
MAX_NUMBER = 10**18  # upper bound of all numbers; in nanoseconds, thirty years
MAX_SHOWN_CHARACTERS = 40  # of an invalid value in a message

Number = int | float
NUMBER_TYPES = (int, float)


class NumberRule(NamedTuple):
    """The type and bounds of a number in the settings."""

    path: str
    minimum: Number
    maximum: Number = MAX_NUMBER
    required: bool = False  # must be present
    number_type: type | tuple[type, ...] = int
    exclusive_minimum: bool = False  # the minimum itself is not allowed


NUMBERS = (
    NumberRule("n_instances", 1),
    NumberRule("me", 0),
    NumberRule("tick_ns", 0),
    NumberRule("limits.connect_timeout_ns", 0, required=True, exclusive_minimum=True),
    NumberRule("limits.keepalive_ns", 0, required=True, exclusive_minimum=True),
    NumberRule("limits.streams_per_conn", 1),
    NumberRule("limits.most_tries", 1),
    NumberRule("limits.open_cap", 1),
    NumberRule("limits.max_retry_after_ns", 0),
    NumberRule("guarantees.cold_ns", 0),
    NumberRule("guarantees.cold_from", 0, 1, number_type=NUMBER_TYPES, exclusive_minimum=True),
    NumberRule("guarantees.tip_multiple", 0, number_type=NUMBER_TYPES, exclusive_minimum=True),
    NumberRule("guarantees.fall_ns", 0),
    NumberRule("guarantees.drain_grace_ns", 0),
    NumberRule("guarantees.order_pause_ns", 0),
    NumberRule("guarantees.look_back_ns", 0),
    NumberRule("guarantees.extra_share", 0, number_type=NUMBER_TYPES),
    NumberRule("guarantees.min_extra", 0, number_type=NUMBER_TYPES),
    NumberRule("domain.tells_every_ns", 0),
    NumberRule("costs.probe", 0, number_type=NUMBER_TYPES),
)
CLASS_NUMBERS = (
    NumberRule("goal_time_ns", 0, required=True, exclusive_minimum=True),
    NumberRule("deadline_ns", 0, required=True, exclusive_minimum=True),
    NumberRule("aim_stretch", 0, number_type=NUMBER_TYPES),
    NumberRule("worth", 0, number_type=NUMBER_TYPES),
    NumberRule("window_ns", 0),
)
# A list with a number for each machine kind or class, or one number for all.
NUMBERS_BY_KIND = (
    NumberRule("domain.kind_cores", 0, number_type=NUMBER_TYPES, exclusive_minimum=True),
    NumberRule("domain.ram_of_kind_mb", 0, number_type=NUMBER_TYPES),
)
NUMBERS_BY_CLASS = (NumberRule("domain.width_by_class", 1),)


def validate(settings: Mapping[str, object], path: str = "settings") -> None:
    """Checks all settings; raises ConfigurationError for the first error."""
    for rule in NUMBERS:
        check_number(settings, rule, path)
    classes = check_classes(settings, path)
    kinds = check_names(settings, "kinds", path)
    zones = check_names(settings, "dcs", path)
    for rule in NUMBERS_BY_KIND:
        check_number_list(settings, rule, path, max(1, len(kinds)))
    for rule in NUMBERS_BY_CLASS:
        check_number_list(settings, rule, path, len(classes))
    for index, item in enumerate(classes):
        check_indexes(item, f"{path}.classes[{index}]", "runs_on", len(kinds))
        check_indexes(item, f"{path}.classes[{index}]", "runs_in", len(zones))


def value_at(table: Mapping[str, object], dotted_key: str, path: str) -> object:
    """Returns the value at a dotted key below `path`, or None if it is absent."""
    value: object = table
    for part in dotted_key.split("."):
        if not isinstance(value, Mapping):
            raise ConfigurationError("not an object", f"{path}.{dotted_key}".rpartition(".")[0])
        value = value.get(part)
        if value is None:
            return None
    return value


def check_number(table: Mapping[str, object], rule: NumberRule, path: str) -> None:
    """Checks the number that a rule names if it is present; raises if it is required and missing."""
    value = value_at(table, rule.path, path)
    if value is not None:
        check_value(value, rule, f"{path}.{rule.path}")
    elif rule.required:
        raise ConfigurationError("missing", f"{path}.{rule.path}")


def check_value(value: object, rule: NumberRule, path: str) -> None:
    """Checks the type and bounds of a number."""
    if isinstance(value, bool) or not isinstance(value, rule.number_type):
        expected = "an integer" if rule.number_type is int else "a number"
        raise ConfigurationError(f"expected {expected}, got {quoted(value)}", path)
    number: Number = value  # type: ignore[assignment]  # rule.number_type only allows numbers
    if not rule.minimum <= number <= rule.maximum or (rule.exclusive_minimum and number == rule.minimum):
        bound = f"above {rule.minimum}" if rule.exclusive_minimum else f"at least {rule.minimum}"
        raise ConfigurationError(f"expected {bound} and at most {rule.maximum:g}, got {number}", path)


def check_classes(settings: Mapping[str, object], path: str) -> list[Mapping[str, object]]:
    """Checks and returns the list of classes."""
    classes = settings.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigurationError("expected a list of at least one class", f"{path}.classes")
    known: set[str] = set()
    for index, item in enumerate(classes):
        item_path = f"{path}.classes[{index}]"
        if not isinstance(item, Mapping):
            raise ConfigurationError("not an object", item_path)
        check_class(item, item_path)
        name = str(without_separators(item["name"]))
        if name in known:
            raise ConfigurationError(f"duplicate class name {name}", f"{item_path}.name")
        known.add(name)
    return classes


def check_class(item: Mapping[str, object], path: str) -> None:
    """Checks the fields of one class."""
    name = item.get("name")
    if not isinstance(name, str) or not CLASS_NAME.fullmatch(name):
        expected = "expected a name of 1 to 256 characters without control characters or ="
        raise ConfigurationError(f"{expected}, got {quoted(name)}", f"{path}.name")
    for rule in CLASS_NUMBERS:
        check_number(item, rule, path)
    check_choice(item, "semantics", SEMANTICS, path, required=True)
    check_choice(item, "group", DEDUPLICATION_SCOPES, path)
    if not isinstance(item.get("keep_order", False), bool):
        raise ConfigurationError("expected true or false", f"{path}.keep_order")


def check_choice(
    item: Mapping[str, object], key: str, choices: Sequence[str], path: str, required: bool = False
) -> None:
    """Checks that a field has one of the given values."""
    value = item.get(key)
    if value is None and not required:
        return
    if value not in choices:
        raise ConfigurationError(
            f"expected one of {', '.join(choices)}, got {quoted(value)}", f"{path}.{key}"
        )


def check_names(settings: Mapping[str, object], key: str, path: str) -> list[str]:
    """Checks and returns a list of names; returns an empty list if it is absent."""
    names = settings.get(key, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigurationError("expected a list of names", f"{path}.{key}")
    return names


def check_number_list(table: Mapping[str, object], rule: NumberRule, path: str, count: int) -> None:
    """Checks a list of at least `count` numbers, or one number for all."""
    value = value_at(table, rule.path, path)
    if value is None:
        return
    value_path = f"{path}.{rule.path}"
    if not isinstance(value, list):
        check_value(value, rule, value_path)
        return
    if len(value) < count:
        raise ConfigurationError(f"expected at least {count} numbers, got {len(value)}", value_path)
    for index, number in enumerate(value):
        check_value(number, rule, f"{value_path}[{index}]")


def check_indexes(item: Mapping[str, object], path: str, key: str, count: int) -> None:
    """Checks the indexes, below `count`, of the machine kinds or zones that a class may run on or in."""
    value = item.get(key)
    if value is None:
        return
    rule = NumberRule(key, 0, max(0, count - 1))
    for number, index in enumerate(value if isinstance(value, list) else [value]):
        check_value(index, rule, f"{path}.{key}[{number}]")


def quoted(value: object) -> str:
    """Returns an invalid value as shown in messages."""
    return repr(str(value)[:MAX_SHOWN_CHARACTERS])
