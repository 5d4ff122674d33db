"""The one place where a router's configuration is read, checked and given defaults.

Owns the environment variables, the JSON file that they name and the checks on both; a fault names its key by
the full path. Must never hold a value that decides anything about a query: those are the scheduler's,
or come from the file. Durations are whole tenths of a millisecond.
"""

import os
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

import orjson

from hillchute.decision.interface import SECOND, Time
from hillchute.discovery import event_bus
from hillchute.errors import ConfigurationError, EventBusProtocolError
from hillchute.router.settings_validation import validate
from hillchute.settings import Settings
from hillchute.settings_translation import flatten_settings, translate_settings

Value = TypeVar("Value")
JsonObject = Mapping[str, object]

LONGEST_SHUTDOWN: Time = 3 * SECOND
"""The platform's protocol: a planned restart leaves queries the longest queue timeout, but no more."""

DEFAULT_SOCKETS = 1024  # where the file states no limit: the least that any deployment gives
DEFAULT_MEMORY_MB = 64  # likewise
MIN_SOCKETS = 64
MIN_MEMORY_MB = 24
# Parts of the descriptors.
ADMITTED_SESSIONS_DIVISOR = 3  # the protocol: clients hold a third at most
ENGINE_CONNECTIONS_DIVISOR = 3
CONNECTED_SESSIONS_DIVISOR = 2  # clients that are connected, those among them that have yet to log in too

BYTES_PER_MB = 1_048_576
UNREAD_INPUT_DIVISOR = 16  # part of the memory for all sessions' unread input; the program needs a third
MAX_PACKET_BYTES = 65_536  # of a client's packet: statements of this platform are far shorter

SHOWN_CHARACTERS = 40  # of a wrong value in a message
SHOWN_ADDRESS_CHARACTERS = 60
PORT_LIMIT = 65_536


class RouterConfiguration(NamedTuple):
    """What a router is given at its start, by its environment and its configuration file."""

    name: str
    host: str  # on which it listens
    port: int
    seed: int  # of all its draws by chance
    sockets: int  # descriptors that it may have open
    max_packet_bytes: int  # bytes that one session's unread input may take
    event_bus_address: tuple[str, int]  # host and port of the event bus
    initial_watch_events: tuple[event_bus.WatchEvent, ...]  # the endpoint list at the start
    initial_offset: int  # of the last of these
    stated_catalog: Mapping[str, object]  # the settings by the keys that operators see, for `needs_restart`
    settings: Settings
    longest_shutdown: Time  # how long after a planned end all queries must be answered

    @property
    def max_connected_sessions(self) -> int:
        """Clients that may be connected at once, also those that have yet to log in."""
        return self.sockets // CONNECTED_SESSIONS_DIVISOR

    @property
    def max_engine_connections(self) -> int:
        """Connections to engines that may be open at once."""
        return self.sockets // ENGINE_CONNECTIONS_DIVISOR


def read_configuration(environ: Mapping[str, str] = os.environ) -> RouterConfiguration:
    """Reads the file that EDGE_CONFIG names; raises ConfigurationError for the first fault."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("missing: it names the configuration file", "EDGE_CONFIG")
    try:
        with open(path, "rb") as file:
            table = orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}", "EDGE_CONFIG") from error
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path}: not JSON: {error}", "EDGE_CONFIG") from error
    if not isinstance(table, dict):
        raise ConfigurationError(f"{path}: not a JSON object", "EDGE_CONFIG")
    return parse_configuration(table, environ)


def parse_configuration(table: JsonObject, environ: Mapping[str, str]) -> RouterConfiguration:
    """Checks a configuration and gives what it says; raises ConfigurationError for the first fault.

    EDGE_LISTEN and EDGE_NAME in `environ` override the file's `listen` and `name`.
    """
    listen = environ.get("EDGE_LISTEN")
    host, port = address(listen, "EDGE_LISTEN") if listen else _required_address(table, "listen")
    sockets = _optional(table, "limits.sockets", int, DEFAULT_SOCKETS)
    _check_at_least(MIN_SOCKETS, sockets, "limits.sockets")
    memory_mb = _optional(table, "limits.memory_mb", int, DEFAULT_MEMORY_MB)
    _check_at_least(MIN_MEMORY_MB, memory_mb, "limits.memory_mb")
    catalog = parse_catalog(table) | {"sessions": sockets // ADMITTED_SESSIONS_DIVISOR}
    seed = _parse_seed(table)
    offset = _required(table, "known.offset", int)
    known = _parse_endpoint_list(table)
    settings = _typed_settings(catalog)
    unread_input_bytes = memory_mb * BYTES_PER_MB // UNREAD_INPUT_DIVISOR
    return RouterConfiguration(
        name=environ.get("EDGE_NAME") or _required(table, "name", str),
        host=host,
        port=port,
        seed=seed,
        sockets=sockets,
        max_packet_bytes=min(MAX_PACKET_BYTES, unread_input_bytes // (sockets // CONNECTED_SESSIONS_DIVISOR)),
        event_bus_address=_required_address(table, "bus"),
        initial_offset=offset,
        initial_watch_events=known,
        stated_catalog=catalog,
        settings=settings,
        longest_shutdown=min(settings.longest_queue_timeout, LONGEST_SHUTDOWN),
    )


def parse_catalog(table: JsonObject) -> dict[str, object]:
    """The plain catalog of a configuration's `settings`; raises ConfigurationError for the first fault."""
    settings = _required(table, "settings", dict)
    validate(settings)
    return translate_settings(flatten_settings(settings))


def needs_restart(running: RouterConfiguration, read_again: RouterConfiguration) -> list[str]:
    """The keys of what has changed beside the event bus and the endpoint list, as operators know them.

    A running router takes on nothing of these.
    """
    fields = ("name", "host", "port", "seed", "sockets")
    changed = [field for field in fields if getattr(running, field) != getattr(read_again, field)]
    before, after = running.stated_catalog, read_again.stated_catalog
    return changed + sorted(key for key in {*before, *after} if before.get(key) != after.get(key))


def address(text: str, path: str) -> tuple[str, int]:
    """Host and port of an address; ConfigurationError, which names the key at `path`, if it is none."""
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        shown = repr(text[:SHOWN_ADDRESS_CHARACTERS])
        raise ConfigurationError(f"not an address of the form host:port: {shown}", path)
    return host.strip("[]"), int(port)


def _typed_settings(catalog: Mapping[str, object]) -> Settings:
    try:
        return Settings.from_catalog(catalog)
    except (TypeError, ValueError) as error:  # of a shape that `validate` says nothing of
        raise ConfigurationError(f"{type(error).__name__}: {error}", "settings") from error


def _parse_seed(table: JsonObject) -> int:
    """The seed, a number or a text of hexadecimal digits."""
    value = _find(table, "seed")
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    if value is not None and not isinstance(value, str):
        raise _wrong_type("str or int", value, "seed")
    text = _required(table, "seed", str)
    try:
        return int(text, 16)
    except ValueError as error:
        shown = repr(text[:SHOWN_CHARACTERS])
        raise ConfigurationError(f"not a hexadecimal number: {shown}", "seed") from error


def _parse_endpoint_list(table: JsonObject) -> tuple[event_bus.WatchEvent, ...]:
    """The events of the endpoint list that the configuration gives."""
    _required(table, "known.batch", list)
    zones = _optional(table, "settings.dcs", list, [])
    kinds = _optional(table, "settings.kinds", list, [])
    known = _required(table, "known", dict)
    try:
        return tuple(event_bus.initial_watch_events(known, zones, kinds))
    except (EventBusProtocolError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"{type(error).__name__}: {error}", "known.batch") from error


def _required_address(table: JsonObject, path: str) -> tuple[str, int]:
    return address(_required(table, path, str), path)


def _check_at_least(least: int, value: int, path: str) -> None:
    if value < least:
        raise ConfigurationError(f"{value} are too few to serve with", path)


def _required(table: JsonObject, path: str, expected: type[Value]) -> Value:
    """The value at a dotted path; ConfigurationError if it is absent or of another type."""
    value = _find(table, path)
    if value is None:
        raise ConfigurationError("missing", path)
    return _checked(value, path, expected)


def _optional(table: JsonObject, path: str, expected: type[Value], default: Value) -> Value:
    """The value at a dotted path, or the default; ConfigurationError if it is of another type."""
    value = _find(table, path)
    return default if value is None else _checked(value, path, expected)


def _checked(value: object, path: str, expected: type[Value]) -> Value:
    """The value, if it is of the type; a truth value is no number."""
    if not isinstance(value, expected) or (isinstance(value, bool) and expected is not bool):
        raise _wrong_type(expected.__name__, value, path)
    return value


def _wrong_type(expected: str, value: object, path: str) -> ConfigurationError:
    return ConfigurationError(f"expected {expected}, got {str(value)[:SHOWN_CHARACTERS]!r}", path)


def _find(table: JsonObject, path: str) -> object:
    """The value at a dotted path; None where it or anything on the way is absent."""
    value: object = table
    parts = path.split(".")
    for depth, part in enumerate(parts):
        if not isinstance(value, Mapping):
            raise ConfigurationError("not an object", ".".join(parts[:depth]))
        value = value.get(part)
        if value is None:
            return None
    return value
