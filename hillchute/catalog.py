"""The settings as the decision module gets them: a plain map of dotted names, in our words and units.

Owns the translation from the platform's spelling, which the bench link reads from its wire and the router
from its configuration. Must never hold a default or a value of its own.
"""

from collections.abc import Iterable, Mapping

from hillchute.net.clock import NANOSECONDS_PER_TIME_UNIT, round_up_to_time_units

# The platform's words for settings and endings, in ours.
SETTING_WORDS = {
    "classes": "groups",
    "goal_time": "target_runtime",
    "aim_stretch": "target_stretch",
    "worth": "value",
    "semantics": "effect",
    "group": "repeats_dropped_by",
    "deadline": "queue_timeout",
    "class_load": "group_load",
    "width_by_class": "width_by_group",
}
EFFECTS = {"repeatable": "read-only", "by_key": "tokened", "once": "mutating"}


def down(ns: int) -> int:
    return ns // NANOSECONDS_PER_TIME_UNIT


def translate(pairs: Iterable[tuple[str, object]]) -> dict[str, object]:
    """Paths and values as the platform spells them, in our words; durations round up."""
    settings = {}
    for path, value in pairs:
        if path.endswith("_ns") and isinstance(value, int):
            path, value = path[:-3], round_up_to_time_units(value)
        parts = [SETTING_WORDS.get(part, part) for part in path.split(".")]
        if parts[-1] == "effect":
            value = EFFECTS.get(value, value)
        settings[".".join(parts)] = value
    return settings


def flatten(nested: Mapping[str, object], prefix: str = "") -> Iterable[tuple[str, object]]:
    """Nested settings as pairs of path and value, in the form that the bench's wire gives them."""
    for name, value in nested.items():
        path = prefix + name
        if isinstance(value, Mapping):
            yield from flatten(value, path + ".")
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            yield f"{path}.count", len(value)
            for n, item in enumerate(value):
                yield from flatten(item, f"{path}.{n}.")
        elif isinstance(value, list):
            items = [plain_text(item) for item in value]
            yield path, items if len(items) > 1 else items[0] if items else ""
        elif value is not None:
            yield path, plain_text(value)


def plain_text(value: object) -> object:
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else value
