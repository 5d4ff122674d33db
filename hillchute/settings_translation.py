"""Translates the deployment's settings from the platform's names into the settings catalog.

The catalog is a flat map of dotted names to values, in the names and units of this code;
`Settings.from_catalog` reads it. The simulator's wire has settings as pairs of path and value, the router's
configuration as nested JSON; both are translated to the same catalog. This module defines no defaults or
values.
"""

from collections.abc import Iterable, Iterator, Mapping

from hillchute.net.clock import round_up_to_time_units

CATALOG_NAMES = {
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
"""Catalog names of the platform's words in a path; other words are unchanged."""

CATALOG_EFFECTS = {"repeatable": "read-only", "by_key": "tokened", "once": "mutating"}
"""Catalog values of the platform's words for the effect of a query on the data."""

NANOSECONDS_SUFFIX = "_ns"  # of paths whose values are durations or times


def translate_settings(pairs: Iterable[tuple[str, object]]) -> dict[str, object]:
    """Returns the catalog for pairs of path and value in the platform's names.

    Nanoseconds become tenths of a millisecond, rounded up.
    """
    return dict(_translate_setting(path, value) for path, value in pairs)


def _translate_setting(path: str, value: object) -> tuple[str, object]:
    if path.endswith(NANOSECONDS_SUFFIX) and isinstance(value, int):
        path, value = path.removesuffix(NANOSECONDS_SUFFIX), round_up_to_time_units(value)
    parts = [CATALOG_NAMES.get(part, part) for part in path.split(".")]
    if parts[-1] == "effect" and isinstance(value, str):
        value = CATALOG_EFFECTS.get(value, value)
    return ".".join(parts), value


def flatten_settings(nested: Mapping[str, object], prefix: str = "") -> Iterator[tuple[str, object]]:
    """Yields nested settings as pairs of path and value, in the form of the simulator's wire.

    The path of an object in a list contains its index. A list of one value becomes that value, an empty
    list an empty string, and null values are left out. `prefix` is prepended to each path.
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
    """Returns a string with its spaces and commas replaced by underscores, and other values unchanged.

    Spaces and commas separate values on the simulator's wire.
    """
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else value
