"""The checks on the settings of a deployment: what the router and its decisions lean on is there, and
makes sense.

Owns which keys must be there, of what kind and within which bounds; a fault names its key by the full
path. Must never hold a value that decides anything about a query, nor a name of one deployment.
"""

import re
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from hillchute.catalog import plain_text
from hillchute.errors import ConfigurationError

EFFECTS = ("repeatable", "by_key", "once")
DROPPED_BY = ("all", "zone", "cell")
NAME = re.compile(r"[^\x00-\x1f=]{1,256}")  # blanks and commas become underscores: catalog.plain_text
LONGEST = 10**18  # nanoseconds, or any other figure: thirty years

Number = int | float
NUMBER = (int, float)


class Key(NamedTuple):
    """One figure of the settings; `must`: the router can't do without it."""

    path: str
    least: Number
    most: Number = LONGEST
    must: bool = False
    kind: type | tuple[type, ...] = int
    above: bool = False  # above `least`, not at it


FIGURES = (
    Key("n_instances", 1),
    Key("me", 0),
    Key("tick_ns", 0),
    Key("limits.connect_timeout_ns", 0, must=True, above=True),
    Key("limits.keepalive_ns", 0, must=True, above=True),
    Key("limits.streams_per_conn", 1),
    Key("limits.most_tries", 1),
    Key("limits.open_cap", 1),
    Key("limits.max_retry_after_ns", 0),
    Key("guarantees.cold_ns", 0),
    Key("guarantees.cold_from", 0, 1, kind=NUMBER, above=True),
    Key("guarantees.tip_multiple", 0, kind=NUMBER, above=True),
    Key("guarantees.fall_ns", 0),
    Key("guarantees.drain_grace_ns", 0),
    Key("guarantees.order_pause_ns", 0),
    Key("guarantees.look_back_ns", 0),
    Key("guarantees.extra_share", 0, kind=NUMBER),
    Key("guarantees.min_extra", 0, kind=NUMBER),
    Key("domain.tells_every_ns", 0),
    Key("costs.probe", 0, kind=NUMBER),
)
OF_A_CLASS = (
    Key("goal_time_ns", 0, must=True, above=True),
    Key("deadline_ns", 0, must=True, above=True),
    Key("aim_stretch", 0, kind=NUMBER),
    Key("worth", 0, kind=NUMBER),
    Key("window_ns", 0),
)
# Lists with a figure for each kind of machine or each class, or one figure for all.
OF_KINDS = (
    Key("domain.kind_cores", 0, kind=NUMBER, above=True),
    Key("domain.ram_of_kind_mb", 0, kind=NUMBER),
)
OF_CLASSES = (Key("domain.width_by_class", 1),)


def bad(path: str, what: str) -> ConfigurationError:
    return ConfigurationError(what, path)


def check(nested: Mapping[str, object], at: str = "settings") -> None:
    """Raises ConfigurationError for the first fault."""
    for key in FIGURES:
        check_figure(nested, key, at)
    classes = check_classes(nested, at)
    kinds, zones = names(nested, "kinds", at), names(nested, "dcs", at)
    for key in OF_KINDS:
        check_list(nested, key, at, max(1, len(kinds)))
    for key in OF_CLASSES:
        check_list(nested, key, at, len(classes))
    for n, item in enumerate(classes):
        check_places(item, f"{at}.classes[{n}]", "runs_on", len(kinds))
        check_places(item, f"{at}.classes[{n}]", "runs_in", len(zones))


def find(table: Mapping[str, object], path: str, at: str) -> object:
    value: object = table
    for part in path.split("."):
        if not isinstance(value, Mapping):
            raise bad(f"{at}.{path}".rpartition(".")[0], "not an object")
        value = value.get(part)
        if value is None:
            return None
    return value


def check_figure(table: Mapping[str, object], key: Key, at: str) -> None:
    value = find(table, key.path, at)
    if value is not None:
        fits(value, key, f"{at}.{key.path}")
    elif key.must:
        raise bad(f"{at}.{key.path}", "missing")


def fits(value: object, key: Key, path: str) -> None:
    if isinstance(value, bool) or not isinstance(value, key.kind):
        kind = "a whole number" if key.kind is int else "a number"
        raise bad(path, f"expected {kind}, got {str(value)[:40]!r}")
    if not key.least <= value <= key.most or (key.above and value == key.least):
        bound = f"above {key.least}" if key.above else f"at least {key.least}"
        raise bad(path, f"expected {bound} and at most {key.most:g}, got {value}")


def check_classes(nested: Mapping[str, object], at: str) -> list[Mapping[str, object]]:
    classes = nested.get("classes")
    if not isinstance(classes, list) or not classes:
        raise bad(f"{at}.classes", "expected a list of classes, and one at the least")
    known: set[str] = set()
    for n, item in enumerate(classes):
        here = f"{at}.classes[{n}]"
        if not isinstance(item, Mapping):
            raise bad(here, "not an object")
        check_class(item, here)
        name = plain_text(item["name"])
        if name in known:
            raise bad(f"{here}.name", f"{name} names another class already")
        known.add(name)
    return classes


def check_class(item: Mapping[str, object], here: str) -> None:
    name = item.get("name")
    if not isinstance(name, str) or not NAME.fullmatch(name):
        raise bad(f"{here}.name", f"expected a name without control characters and =, got {str(name)[:40]!r}")
    for key in OF_A_CLASS:
        check_figure(item, key, here)
    one_of(item, "semantics", EFFECTS, here, must=True)
    one_of(item, "group", DROPPED_BY, here)
    if not isinstance(item.get("keep_order", False), bool):
        raise bad(f"{here}.keep_order", "expected true or false")


def one_of(item: Mapping[str, object], key: str, known: Sequence[str], here: str, must: bool = False) -> None:
    value = item.get(key)
    if value is None and not must:
        return
    if value not in known:
        raise bad(f"{here}.{key}", f"expected one of {', '.join(known)}, got {str(value)[:40]!r}")


def names(nested: Mapping[str, object], key: str, at: str) -> list[str]:
    found = nested.get(key, [])
    if not isinstance(found, list) or not all(isinstance(name, str) for name in found):
        raise bad(f"{at}.{key}", "expected a list of names")
    return found


def check_list(nested: Mapping[str, object], key: Key, at: str, count: int) -> None:
    value = find(nested, key.path, at)
    if value is None:
        return
    path = f"{at}.{key.path}"
    if not isinstance(value, list):
        fits(value, key, path)
        return
    if len(value) < count:
        raise bad(path, f"expected a figure for each of {count}, got {len(value)}")
    for n, figure in enumerate(value):
        fits(figure, key, f"{path}[{n}]")


def check_places(item: Mapping[str, object], here: str, key: str, count: int) -> None:
    """Places in the lists of kinds or zones to which a class is bound."""
    value = item.get(key)
    if value is None:
        return
    for n, place in enumerate(each(value)):
        fits(place, Key(key, 0, max(0, count - 1)), f"{here}.{key}[{n}]")


def each(value: object) -> Iterator[object]:
    yield from value if isinstance(value, list) else [value]
