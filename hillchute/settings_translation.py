"""The translation of the deployment's settings from the platform's spelling into the plain catalog.

The catalog is a map of dotted names to values, in the words and units of this code; `Settings.from_catalog`
reads it. The simulator's wire states settings as pairs of path and value, the router's configuration as
nested JSON: both come to the same catalog. Holds no default and no value of its own.
"""

from collections.abc import Iterable, Iterator, Mapping

from hillchute.net.clock import round_up_to_time_units

CATALOG_WORDS = {
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
"""The platform's words in a path, as the catalog has them; others stay as they are."""

CATALOG_EFFECTS = {"repeatable": "read-only", "by_key": "tokened", "once": "mutating"}
"""The platform's words for what a query does to the data, as the catalog has them."""

NANOSECONDS_SUFFIX = "_ns"  # of the paths whose values are durations or instants


def translate_settings(pairs: Iterable[tuple[str, object]]) -> dict[str, object]:
    """The catalog of pairs of path and value as the platform spells them.

    Nanoseconds become tenths of a millisecond, rounded up.
    """
    return dict(_translate_setting(path, value) for path, value in pairs)


def _translate_setting(path: str, value: object) -> tuple[str, object]:
    if path.endswith(NANOSECONDS_SUFFIX) and isinstance(value, int):
        path, value = path.removesuffix(NANOSECONDS_SUFFIX), round_up_to_time_units(value)
    parts = [CATALOG_WORDS.get(part, part) for part in path.split(".")]
    if parts[-1] == "effect" and isinstance(value, str):
        value = CATALOG_EFFECTS.get(value, value)
    return ".".join(parts), value


def flatten_settings(nested: Mapping[str, object], prefix: str = "") -> Iterator[tuple[str, object]]:
    """Nested settings as the pairs of path and value in which the simulator's wire gives them.

    An object in a list has its index in the path, a list of one value is that value, an empty list an empty
    text, and what is null is left out. `prefix` stands before each path.
    """
    for name, value in nested.items():
        path = prefix + name
        if isinstance(value, Mapping):
            yield from flatten_settings(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
            yield f"{path}.count", len(value)
            for index, item in enumerate(value):
                yield from flatten_settings(item, f"{path}.{index}.")
        elif isinstance(value, list):
            items = [without_separators(item) for item in value]
            yield path, items if len(items) > 1 else items[0] if items else ""
        elif value is not None:
            yield path, without_separators(value)


def without_separators(value: object) -> object:
    """A text with underscores for blanks and commas, which part values on the simulator's wire."""
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else value
