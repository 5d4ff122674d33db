"""The one place where configuration is read, checked and given defaults.

Owns the environment variables, the file that they name and the checks on both; a fault names its key by
the full path. Must never hold a value that decides anything about a query: those are the module's, or
come from the file.
"""

import os
from collections.abc import Mapping
from typing import NamedTuple

import orjson

from hillchute.catalog import flatten, translate
from hillchute.discovery import event_bus
from hillchute.errors import ConfigurationError, EventBusProtocolError
from hillchute.router.settings_validation import validate
from hillchute.settings import Settings

SECOND = 10_000  # tenths of a millisecond
CLOSING = 3 * SECOND  # the protocol: a planned restart leaves the longest deadline, but no more than this
SOCKETS = 1024  # where the file states no limit: the least that any deployment gives
MEMORY = 64  # MB, likewise
MB = 1_048_576
SHARE = 16  # part of the memory that all sessions' unread input may take together; the program needs a third
LONGEST_PACKET = 65_536  # bytes of a client's packet: statements of this platform are far shorter


class Station(NamedTuple):
    """What this router is told at its start."""

    name: str
    host: str
    port: int
    seed: int
    sockets: int
    packet: int  # bytes that one session's unread input may take
    bus: tuple[str, int]
    offset: int
    known: tuple[event_bus.WatchEvent, ...]
    catalog: dict[str, object]
    settings: Settings
    closing: int  # how long after a planned end all must be answered


def bad(path: str, what: str) -> ConfigurationError:
    return ConfigurationError(what, path)


def get(table: Mapping[str, object], path: str, kind: type | tuple[type, ...], default: object = None):
    """The value at a dotted path, checked for its kind; a default of None makes the key a must."""
    value: object = table
    for n, part in enumerate(path.split(".")):
        if not isinstance(value, Mapping):
            raise bad(".".join(path.split(".")[:n]), "not an object")
        value = value.get(part)
        if value is None:
            break
    if value is None:
        if default is None:
            raise bad(path, "missing")
        return default
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        names = kind.__name__ if isinstance(kind, type) else " or ".join(k.__name__ for k in kind)
        raise bad(path, f"expected {names}, got {str(value)[:40]!r}")
    return value


def address(text: str, path: str) -> tuple[str, int]:
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise bad(path, f"not an address of the form host:port: {text[:60]!r}")
    return host.strip("[]"), int(port)


def read(environ: Mapping[str, str] = os.environ) -> Station:
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise bad("EDGE_CONFIG", "missing: it names the configuration file")
    try:
        with open(path, "rb") as file:
            table = orjson.loads(file.read())
    except OSError as fault:
        raise bad("EDGE_CONFIG", f"{path}: {fault.strerror}") from fault
    except orjson.JSONDecodeError as fault:
        raise bad("EDGE_CONFIG", f"{path}: not JSON: {fault}") from fault
    if not isinstance(table, dict):
        raise bad("EDGE_CONFIG", f"{path}: not a JSON object")
    return station(table, environ)


def station(table: Mapping[str, object], environ: Mapping[str, str]) -> Station:
    listen = environ.get("EDGE_LISTEN")
    host, port = address(listen, "EDGE_LISTEN") if listen else address(get(table, "listen", str), "listen")
    sockets = get(table, "limits.sockets", int, SOCKETS)
    if sockets < 64:
        raise bad("limits.sockets", f"{sockets} are too few to serve with")
    memory = get(table, "limits.memory_mb", int, MEMORY)
    if memory < 24:
        raise bad("limits.memory_mb", f"{memory} are too few to serve with")
    catalog = settings(table)
    seed = get(table, "seed", (str, int))
    try:
        seed = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError as fault:
        raise bad("seed", f"not a hexadecimal number: {seed[:40]!r}") from fault
    offset, known = events(table)
    catalog["sessions"] = sockets // 3  # the protocol: clients hold a third of the descriptors at most
    try:
        typed = Settings.from_catalog(catalog)
    except (TypeError, ValueError) as fault:
        raise bad("settings", f"{type(fault).__name__}: {fault}") from fault
    return Station(
        name=environ.get("EDGE_NAME") or get(table, "name", str),
        host=host,
        port=port,
        seed=seed,
        sockets=sockets,
        packet=min(LONGEST_PACKET, memory * MB // SHARE // (sockets // 2)),
        bus=address(get(table, "bus", str), "bus"),
        offset=offset,
        known=known,
        catalog=catalog,
        settings=typed,
        closing=min(typed.longest_queue_timeout, CLOSING),
    )


def needs_restart(running: Station, read_again: Station) -> list[str]:
    """What a configuration read again changes beside the event bus; that can't be moved under load."""
    keys = [
        key
        for key in ("name", "host", "port", "seed", "sockets")
        if getattr(running, key) != getattr(read_again, key)
    ]
    names = {*running.catalog, *read_again.catalog}
    return keys + sorted(key for key in names if running.catalog.get(key) != read_again.catalog.get(key))


def settings(table: Mapping[str, object]) -> dict[str, object]:
    """The settings in our words, once they are checked."""
    nested = get(table, "settings", dict)
    validate(nested)
    return translate(flatten(nested))


def events(table: Mapping[str, object]) -> tuple[int, tuple[event_bus.WatchEvent, ...]]:
    offset = get(table, "known.offset", int)
    get(table, "known.batch", list)
    zones = get(table, "settings.dcs", list, [])
    kinds = get(table, "settings.kinds", list, [])
    try:
        return offset, tuple(event_bus.initial_watch_events(table["known"], zones, kinds))
    except (EventBusProtocolError, KeyError, TypeError, ValueError, AttributeError) as fault:
        raise bad("known.batch", f"{type(fault).__name__}: {fault}") from fault
