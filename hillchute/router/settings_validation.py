"""The checks on a deployment's settings: which keys must be there, of what kind, within which bounds.

`validate` raises ConfigurationError for the first fault, which names its key by the full path. The module
holds no value that decides anything about a query, and no name of one deployment.
"""

import re
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hillchute.errors import ConfigurationError
from hillchute.settings_translation import without_separators

SEMANTICS = ("repeatable", "by_key", "once")  # the platform's words for what a query does to the data
DEDUPLICATION_SCOPES = ("all", "zone", "cell")  # engines that drop repeats of an idempotency key together
# Blanks and commas become underscores: settings_translation.without_separators.
CLASS_NAME = re.compile(r"[^\x00-\x1f=]{1,256}")
LARGEST_FIGURE = 10**18  # nanoseconds, or any other figure: thirty years
SHOWN_CHARACTERS = 40  # of a wrong value in a message

Number = int | float
NUMBER_TYPES = (int, float)


class NumberRule(NamedTuple):
    """What one number of the settings must be."""

    path: str
    least: Number
    most: Number = LARGEST_FIGURE
    required: bool = False  # the router can't do without it
    kind: type | tuple[type, ...] = int
    above_least: bool = False  # `least` itself is not allowed


NUMBERS = (
    NumberRule("n_instances", 1),
    NumberRule("me", 0),
    NumberRule("tick_ns", 0),
    NumberRule("limits.connect_timeout_ns", 0, required=True, above_least=True),
    NumberRule("limits.keepalive_ns", 0, required=True, above_least=True),
    NumberRule("limits.streams_per_conn", 1),
    NumberRule("limits.most_tries", 1),
    NumberRule("limits.open_cap", 1),
    NumberRule("limits.max_retry_after_ns", 0),
    NumberRule("guarantees.cold_ns", 0),
    NumberRule("guarantees.cold_from", 0, 1, kind=NUMBER_TYPES, above_least=True),
    NumberRule("guarantees.tip_multiple", 0, kind=NUMBER_TYPES, above_least=True),
    NumberRule("guarantees.fall_ns", 0),
    NumberRule("guarantees.drain_grace_ns", 0),
    NumberRule("guarantees.order_pause_ns", 0),
    NumberRule("guarantees.look_back_ns", 0),
    NumberRule("guarantees.extra_share", 0, kind=NUMBER_TYPES),
    NumberRule("guarantees.min_extra", 0, kind=NUMBER_TYPES),
    NumberRule("domain.tells_every_ns", 0),
    NumberRule("costs.probe", 0, kind=NUMBER_TYPES),
)
CLASS_NUMBERS = (
    NumberRule("goal_time_ns", 0, required=True, above_least=True),
    NumberRule("deadline_ns", 0, required=True, above_least=True),
    NumberRule("aim_stretch", 0, kind=NUMBER_TYPES),
    NumberRule("worth", 0, kind=NUMBER_TYPES),
    NumberRule("window_ns", 0),
)
# Lists with a number for each kind of machine or each class, or one number for all.
NUMBERS_BY_KIND = (
    NumberRule("domain.kind_cores", 0, kind=NUMBER_TYPES, above_least=True),
    NumberRule("domain.ram_of_kind_mb", 0, kind=NUMBER_TYPES),
)
NUMBERS_BY_CLASS = (NumberRule("domain.width_by_class", 1),)


def validate(settings: Mapping[str, object], path: str = "settings") -> None:
    """Checks the whole settings; raises ConfigurationError for the first fault."""
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


def value_at(table: Mapping[str, object], dotted: str, path: str) -> object:
    """The value at a dotted key below `path`; None where it is absent."""
    value: object = table
    for part in dotted.split("."):
        if not isinstance(value, Mapping):
            raise ConfigurationError("not an object", f"{path}.{dotted}".rpartition(".")[0])
        value = value.get(part)
        if value is None:
            return None
    return value


def check_number(table: Mapping[str, object], rule: NumberRule, path: str) -> None:
    """Checks the number that a rule names, where it is there or required."""
    value = value_at(table, rule.path, path)
    if value is not None:
        check_value(value, rule, f"{path}.{rule.path}")
    elif rule.required:
        raise ConfigurationError("missing", f"{path}.{rule.path}")


def check_value(value: object, rule: NumberRule, path: str) -> None:
    """Checks a number's kind and bounds."""
    if isinstance(value, bool) or not isinstance(value, rule.kind):
        kind = "a whole number" if rule.kind is int else "a number"
        raise ConfigurationError(f"expected {kind}, got {quoted(value)}", path)
    number: Number = value  # type: ignore[assignment]  # rule.kind allows only numbers
    if not rule.least <= number <= rule.most or (rule.above_least and number == rule.least):
        bound = f"above {rule.least}" if rule.above_least else f"at least {rule.least}"
        raise ConfigurationError(f"expected {bound} and at most {rule.most:g}, got {number}", path)


def check_classes(settings: Mapping[str, object], path: str) -> list[Mapping[str, object]]:
    """Checks the list of classes and gives it."""
    classes = settings.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigurationError("expected a list of classes, and one at the least", f"{path}.classes")
    known: set[str] = set()
    for index, item in enumerate(classes):
        item_path = f"{path}.classes[{index}]"
        if not isinstance(item, Mapping):
            raise ConfigurationError("not an object", item_path)
        check_class(item, item_path)
        name = str(without_separators(item["name"]))
        if name in known:
            raise ConfigurationError(f"{name} names another class already", f"{item_path}.name")
        known.add(name)
    return classes


def check_class(item: Mapping[str, object], path: str) -> None:
    """Checks the fields of one class."""
    name = item.get("name")
    if not isinstance(name, str) or not CLASS_NAME.fullmatch(name):
        expected = "expected a name without control characters and ="
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
    """Checks that a field is one of some words."""
    value = item.get(key)
    if value is None and not required:
        return
    if value not in choices:
        raise ConfigurationError(
            f"expected one of {', '.join(choices)}, got {quoted(value)}", f"{path}.{key}"
        )


def check_names(settings: Mapping[str, object], key: str, path: str) -> list[str]:
    """Checks a list of names and gives it; an empty one where it is absent."""
    found = settings.get(key, [])
    if not isinstance(found, list) or not all(isinstance(name, str) for name in found):
        raise ConfigurationError("expected a list of names", f"{path}.{key}")
    return found


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
        raise ConfigurationError(f"expected a figure for each of {count}, got {len(value)}", value_path)
    for index, number in enumerate(value):
        check_value(number, rule, f"{value_path}[{index}]")


def check_indexes(item: Mapping[str, object], path: str, key: str, count: int) -> None:
    """Checks the indexes of kinds or zones, in a list of `count`, that a class may run on or in."""
    value = item.get(key)
    if value is None:
        return
    rule = NumberRule(key, 0, max(0, count - 1))
    for number, index in enumerate(value if isinstance(value, list) else [value]):
        check_value(index, rule, f"{path}.{key}[{number}]")


def quoted(value: object) -> str:
    """A wrong value as a message shows it."""
    return repr(str(value)[:SHOWN_CHARACTERS])
