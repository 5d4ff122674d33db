"""Reads a router's configuration from the environment and a JSON file, checks it and applies defaults.

Errors name the faulty key by its full path. Contains no value that affects decisions about queries: such
values belong to the scheduler or come from the file. Durations are integers in tenths of a millisecond.
"""

import os
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import NamedTuple, TypeVar

import orjson

from hillchute.decision.interface import SECOND, Time
from hillchute.discovery import event_bus
from hillchute.errors import ConfigurationError, EventBusProtocolError
from hillchute.net import address
from hillchute.net.address import Address, InvalidAddressError
from hillchute.router.settings_validation import validate
from hillchute.settings import Settings
from hillchute.settings_translation import flatten_settings, translate_settings

Value = TypeVar("Value")
MALFORMED_VALUE_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
"""What Python raises for a value of a wrong type, shape or size."""
JsonObject = Mapping[str, object]

MAX_SHUTDOWN_TIME: Time = 3 * SECOND
"""The platform's protocol: a planned restart leaves open queries the longest queue timeout, at most this."""

DEFAULT_SOCKETS = 1024  # if the file states no limit: the smallest limit of any deployment
DEFAULT_MEMORY_MB = 64  # likewise, if the file states no limit
MIN_SOCKETS = 64
MIN_MEMORY_MB = 24
# Divisors of the number of descriptors.
ADMITTED_SESSIONS_DIVISOR = 3  # the protocol allows clients at most a third
ENGINE_CONNECTIONS_DIVISOR = 3
FLIGHT_CONNECTIONS_DIVISOR = 20  # each carries many calls
CONNECTED_SESSIONS_DIVISOR = 2  # includes clients that have not logged in yet

BYTES_PER_MB = 1_048_576
# A sixteenth of the memory is for the unread input of all sessions; the program needs a third.
UNREAD_INPUT_DIVISOR = 16
MAX_PACKET_BYTES = 65_536  # of a client's packet; statements on this platform are far shorter

MAX_SHOWN_CHARACTERS = 40  # of an invalid value in a message


class RouterConfiguration(NamedTuple):
    """The configuration of a router, from its environment and its configuration file."""

    name: str
    host: str  # address to listen on
    port: int
    seed: int  # of all random choices
    sockets: int  # maximum number of open descriptors
    max_packet_bytes: int  # maximum unread input of one session
    event_bus_address: Address
    initial_watch_events: tuple[event_bus.WatchEvent, ...]  # the endpoint list at the start
    initial_offset: int  # offset of the last of these events
    catalog: Mapping[str, object]  # the settings by dotted key, for needs_restart()
    settings: Settings
    max_shutdown_time: Time  # time limit for answering all queries in a planned shutdown

    @property
    def max_connected_sessions(self) -> int:
        """Maximum number of clients connected at once, including those that have not logged in yet."""
        return self.sockets // CONNECTED_SESSIONS_DIVISOR

    @property
    def max_flight_connections(self) -> int:
        """Maximum number of connections of Flight SQL clients."""
        return self.sockets // FLIGHT_CONNECTIONS_DIVISOR

    @property
    def max_engine_connections(self) -> int:
        """Maximum number of open connections to engines."""
        return self.sockets // ENGINE_CONNECTIONS_DIVISOR


def read_configuration(environ: Mapping[str, str] = os.environ) -> RouterConfiguration:
    """Reads the file that EDGE_CONFIG names; raises nothing but ConfigurationError, for the first error."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("not set; it must name the configuration file", "EDGE_CONFIG")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}", "EDGE_CONFIG") from error
    except ValueError as error:
        raise ConfigurationError(f"not the name of a file: {error}", "EDGE_CONFIG") from error
    try:
        table = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path}: not JSON: {error}", "EDGE_CONFIG") from error
    if not isinstance(table, dict):
        raise ConfigurationError(f"{path}: not a JSON object", "EDGE_CONFIG")
    try:
        return parse_configuration(table, environ)
    except RecursionError as error:
        raise ConfigurationError(f"{path}: nested too deeply", "EDGE_CONFIG") from error


def parse_configuration(table: JsonObject, environ: Mapping[str, str]) -> RouterConfiguration:
    """Checks and returns a configuration; raises ConfigurationError for the first error.

    EDGE_LISTEN and EDGE_NAME in `environ` override the file's `listen` and `name`.
    """
    listen = environ.get("EDGE_LISTEN")
    host, port = parse_address(listen, "EDGE_LISTEN") if listen else _required_address(table, "listen")
    sockets = _optional(table, "limits.sockets", int, DEFAULT_SOCKETS)
    _check_at_least(MIN_SOCKETS, sockets, "limits.sockets")
    memory_mb = _optional(table, "limits.memory_mb", int, DEFAULT_MEMORY_MB)
    _check_at_least(MIN_MEMORY_MB, memory_mb, "limits.memory_mb")
    catalog = parse_catalog(table) | {"sessions": sockets // ADMITTED_SESSIONS_DIVISOR}
    seed = _parse_seed(table)
    offset = _required(table, "known.offset", int)
    _check_at_least(0, offset, "known.offset")
    initial_watch_events = _parse_endpoint_list(table)
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
        initial_watch_events=initial_watch_events,
        catalog=catalog,
        settings=settings,
        max_shutdown_time=min(settings.longest_queue_timeout, MAX_SHUTDOWN_TIME),
    )


def parse_catalog(table: JsonObject) -> dict[str, object]:
    """Returns `settings` as a flat catalog by dotted key; raises ConfigurationError for the first error."""
    settings = _required(table, "settings", dict)
    validate(settings)
    with _malformed_settings_reported():
        return translate_settings(flatten_settings(settings))


def needs_restart(running: RouterConfiguration, reloaded: RouterConfiguration) -> list[str]:
    """Returns the changed keys that a running router does not apply, as operators know them.

    These are all keys but the event bus and the endpoint list.
    """
    fields = ("name", "host", "port", "seed", "sockets")
    changed = [field for field in fields if getattr(running, field) != getattr(reloaded, field)]
    before, after = running.catalog, reloaded.catalog
    return changed + sorted(key for key in {*before, *after} if before.get(key) != after.get(key))


def parse_address(text: str, path: str) -> Address:
    """Returns the host and port of an address; raises ConfigurationError with key `path` if it is invalid."""
    try:
        return address.parse_address(text)
    except InvalidAddressError as error:
        raise ConfigurationError(str(error), path) from error


def _typed_settings(catalog: Mapping[str, object]) -> Settings:
    with _malformed_settings_reported():
        return Settings.from_catalog(catalog)


@contextmanager
def _malformed_settings_reported() -> Iterator[None]:
    """Raises ConfigurationError for a malformed setting that validate() does not check."""
    try:
        yield
    except MALFORMED_VALUE_ERRORS as error:
        raise ConfigurationError(f"{type(error).__name__}: {error}", "settings") from error


def _parse_seed(table: JsonObject) -> int:
    """Returns the seed, which is a number or a string of hexadecimal digits."""
    value = _find(table, "seed")
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    if value is not None and not isinstance(value, str):
        raise _wrong_type("str or int", value, "seed")
    text = _required(table, "seed", str)
    try:
        return int(text, 16)
    except ValueError as error:
        shown = repr(text[:MAX_SHOWN_CHARACTERS])
        raise ConfigurationError(f"not a hexadecimal number: {shown}", "seed") from error


def _parse_endpoint_list(table: JsonObject) -> tuple[event_bus.WatchEvent, ...]:
    """Returns the watch events that give the initial endpoint list."""
    _required(table, "known.batch", list)
    zones = _optional(table, "settings.dcs", list, [])
    kinds = _optional(table, "settings.kinds", list, [])
    known = _required(table, "known", dict)
    try:
        return tuple(event_bus.initial_watch_events(known, zones, kinds))
    except (EventBusProtocolError, *MALFORMED_VALUE_ERRORS) as error:
        raise ConfigurationError(f"{type(error).__name__}: {error}", "known.batch") from error


def _required_address(table: JsonObject, path: str) -> Address:
    return parse_address(_required(table, path, str), path)


def _check_at_least(minimum: int, value: int, path: str) -> None:
    if value < minimum:
        raise ConfigurationError(f"expected at least {minimum}, got {value}", path)


def _required(table: JsonObject, path: str, expected: type[Value]) -> Value:
    """Returns the value at a dotted path; raises ConfigurationError if it is absent or of another type."""
    value = _find(table, path)
    if value is None:
        raise ConfigurationError("missing", path)
    return _check_type(value, path, expected)


def _optional(table: JsonObject, path: str, expected: type[Value], default: Value) -> Value:
    """Returns the value at a dotted path or the default; raises ConfigurationError for another type."""
    value = _find(table, path)
    return default if value is None else _check_type(value, path, expected)


def _check_type(value: object, path: str, expected: type[Value]) -> Value:
    """Returns the value if it is of the expected type; a boolean is not accepted as a number."""
    if not isinstance(value, expected) or (isinstance(value, bool) and expected is not bool):
        raise _wrong_type(expected.__name__, value, path)
    return value


def _wrong_type(expected: str, value: object, path: str) -> ConfigurationError:
    return ConfigurationError(f"expected {expected}, got {str(value)[:MAX_SHOWN_CHARACTERS]!r}", path)


def _find(table: JsonObject, path: str) -> object:
    """Returns the value at a dotted path, or None if it or one of its parents is absent."""
    value: object = table
    parts = path.split(".")
    for depth, part in enumerate(parts):
        if not isinstance(value, Mapping):
            raise ConfigurationError("not an object", ".".join(parts[:depth]))
        value = value.get(part)
        if value is None:
            return None
    return value
