"""A configuration or an operator file changes everything it may, or nothing, whatever it contains.

The files are changed at random: values of every type and size, cut files, bytes that are no text. They pass
through the path of a reload, and through that of a start.
"""

import json
import os
import random
import re
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rounds_by_hand import RecordingLog

from hillchute.discovery.event_bus import encode_subscription
from hillchute.lab import deployment
from hillchute.lab.fleet import free_port
from hillchute.net.address import InvalidAddressError, parse_address
from hillchute.operator import reading
from hillchute.router import config
from hillchute.router.__main__ import EXIT_CANNOT_START
from hillchute.router.reload import OperatorFile
from hillchute.router.service import Service

EXAMPLES = 300
KEY = "0123456789abcdef"
OPERATOR_FILE = f"""
flight: {{
    listen: "127.0.0.1:7401"
    default_route: "lookup"
    tickets: 5
    users: [{{name: "bi", password: "secret"}}, {{name: "etl", token_file: "SECRET_FILE"}}]
}}
engines: {{protocol: "line"}}
peers: {{
    name: "r0"
    listen: "127.0.0.1:7402"
    others: [
        {{name: "r1", address: "127.0.0.1:7403", key: "{KEY}"}},
        {{name: "r2", address: "localhost:7404", key: "{KEY}"}},
    ]
}}
history: {{number: 1, default: {{}}, customers: [{{name: "c", policy: {{least_ms: 5000}}}}], forget: []}}
partners: {{
    own: "a"
    members: [
        {{name: "a", key: "{"ab" * 32}", routers: ["r0", "r1"]}},
        {{name: "b", key: "{"cd" * 32}", routers: ["r2"]}},
    ]
}}
"""
BAD_TEXTS = [
    "",
    " ",
    "x",
    "\u00a0",
    "a\u00a0b:7500",
    "a\0b",
    "a\0b:7500",
    "127.0.0.1:74000",
    "127.0.0.1:0",
    "127.0.0.1:²",
    "127.0.0.1:" + 5_000 * "9",
    ":7500",
    "[::1]:7500",
    "::1:7500",
    f"{64 * 'a'}.example:7500",
    "bücher.example:7500",
    f"{300 * 'a.'}b:7500",
    "no-such-name.invalid:7500",
    "/no/such/file",
    "/",
    "inf",
    "nan",
    "1e400",
    "-1",
    "\ud7ff",
    10_000 * "z",
]
NUMBERS = [0, 1, -1, 0.5, -0.0, 1e300, 2**31, 2**32, 2**53, 2**63, 2**64 - 1, -(2**63), 10**18, 74_000]
VALUES = [None, True, False, *NUMBERS, *BAD_TEXTS, [], {}, [[]], [None], [{}], {"a": 1}, ["Ready"], [0, 1, 2]]
NESTED = json.loads(400 * "[" + 400 * "]")


def paths(value: object, prefix: tuple = ()) -> Iterator[tuple]:
    """The path of each value in a JSON document, that of the whole included."""
    yield prefix
    items = value.items() if isinstance(value, dict) else enumerate(value if isinstance(value, list) else ())
    for key, child in items:
        yield from paths(child, (*prefix, key))


def replace_value(document: dict, path: tuple, value: object) -> None:
    """Replaces the value at a path; removes it if `value` is `...`."""
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    if value is ...:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value


def configuration_table() -> dict:
    table = deployment.make_configuration(engines=3)
    table["known"]["batch"][0]["topology"]["endpoints"][0] |= {"since_ms": 5, "weight": 1.0, "group": 0}
    return table


CONFIGURATION_PATHS = [path for path in paths(configuration_table()) if path]
ADDRESS_PATHS = [path for path in CONFIGURATION_PATHS if path[-1] in ("bus", "listen", "address")]


@st.composite
def changed_configurations(draw: st.DrawFn) -> bytes:
    table = configuration_table()
    for _ in range(draw(st.integers(1, 3))):
        if draw(st.booleans()):
            path, value = draw(st.sampled_from(ADDRESS_PATHS)), draw(st.sampled_from(BAD_TEXTS))
        else:
            path = draw(st.sampled_from(CONFIGURATION_PATHS))
            value = draw(st.sampled_from([*VALUES, NESTED, ...]) | st.text(max_size=20) | st.floats())
        try:
            replace_value(table, path, value)
        except (KeyError, IndexError, TypeError):  # an earlier change has removed it
            continue
    data = json.dumps(table).encode()
    match draw(st.sampled_from(["whole", "whole", "whole", "cut", "bytes"])):
        case "cut":
            return data[: draw(st.integers(0, len(data)))]
        case "bytes":
            at = draw(st.integers(0, len(data)))
            return data[:at] + draw(st.binary(min_size=1, max_size=4)) + data[at:]
    return data


def tokens(text: str) -> list[str]:
    """The words, texts and signs of an operator file, with the space between them."""
    return [token for token in re.split(r'("[^"]*"|\w+|\s+|[^\w\s])', text) if token]


OPERATOR_TOKENS = tokens(OPERATOR_FILE)
VALUE_POSITIONS = [at for at, token in enumerate(OPERATOR_TOKENS) if token[0] in '"0123456789']
VALUE_REPLACEMENTS = [
    *[json.dumps(text, ensure_ascii=False) for text in BAD_TEXTS if "\0" not in text],
    *map(str, NUMBERS),
    *['"r1"', '"b"', '"no such kind"', "true", "[]", "{}", "1 | 2", ">=3", "6"],
    5_000 * "9",
]
REPLACEMENTS = [
    *VALUE_REPLACEMENTS,
    *["null", "true", "[]", "{}", "", "}", "{", '"', "\0", "#", "*", "|", "string", "=~", "_|_"],
    2_000 * "[",
    2_000 * "{a: ",
]


@st.composite
def changed_operator_files(draw: st.DrawFn) -> bytes:
    changed = list(OPERATOR_TOKENS)
    for _ in range(draw(st.integers(1, 3))):
        if draw(st.integers(0, 3)):  # mostly another value, as a change elsewhere is a syntax error
            changed[draw(st.sampled_from(VALUE_POSITIONS))] = draw(st.sampled_from(VALUE_REPLACEMENTS))
        else:
            at = draw(st.integers(0, len(changed) - 1))
            changed[at] = draw(st.sampled_from(REPLACEMENTS) | st.text(max_size=8))
    data = "".join(changed).encode("utf-8", "surrogatepass")
    match draw(st.sampled_from(["whole", "whole", "whole", "cut", "bytes"])):
        case "cut":
            return data[: draw(st.integers(0, len(data)))]
        case "bytes":
            at = draw(st.integers(0, len(data)))
            return data[:at] + draw(st.binary(min_size=1, max_size=4)) + data[at:]
    return data


class ReloadedRouter:
    """A router that is not started, with the files that it reads again."""

    def __init__(self, folder, monkeypatch):
        self.configuration_file = folder / "router.json"
        self.operator_file = folder / "operator.cue"
        (folder / "secret").write_text("a token")
        self.operator_text = OPERATOR_FILE.replace("SECRET_FILE", str(folder / "secret"))
        self.write_valid_files()
        monkeypatch.setenv("EDGE_CONFIG", str(self.configuration_file))
        monkeypatch.delenv("EDGE_LISTEN", raising=False)
        self.log = RecordingLog()
        operator_settings = self.read_operator_file()
        self.service = Service(
            config.read_configuration(),
            self.log,
            operator_file=OperatorFile(operator_settings, self.read_operator_file),
        )
        self.service.attach_tasks(None)
        self.service.links.open = lambda number, host, port, tasks: None  # nothing is connected to
        self.watched = []
        self.service.endpoint_watcher.watch = lambda address, tasks: self.watched.append(address)

    def write_valid_files(self):
        self.configuration_file.write_text(json.dumps(configuration_table()))
        self.operator_file.write_text(self.operator_text)

    def read_operator_file(self):
        return reading.read(self.operator_file)

    def reload(self):
        """Reloads both files; returns the lines that say what was kept, and the last line on the reload."""
        self.log.lines.clear()
        self.watched.clear()
        self.service.reloader.reload(None)
        lines = [fields for event, fields in self.log.lines if event == "reload"]
        return [fields for fields in lines if "kept" in fields], lines[-1]

    def configuration_state(self):
        service = self.service
        return (
            service.reloader.configuration,
            service.last_watch_offset(),
            dict(service.reducer.pool.endpoints),
        )

    def operator_state(self):
        service = self.service
        extension = service.extension
        return (
            service.reloader.operator_file.settings,
            service.flight.settings,
            service.flight.authenticator,
            service.flight.tickets.max_entries,
            extension.settings,
            extension.node.keys,
            extension.transport.addresses,
            extension.history.replica.policies,
            extension.partners.settings,
            extension.partners.negotiation.routers,
        )

    def close(self):
        self.service.poller.epoll.close()


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("files")


@contextmanager
def reloaded_router(folder):
    """A new router, so that no example depends on the ones before."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        router = ReloadedRouter(folder, monkeypatch)
        try:
            yield router
        finally:
            router.close()


def check_error(fields):
    """An unusable file is reported with an error of the project's own types: what, where and the remedy."""
    assert fields["error"] in ("ConfigurationError", "OperatorFileError") and fields["what"]
    assert fields["remedy"] and fields["reason"]


def check_address(address):
    """An address that was accepted may be unreachable, but raises nothing other than OSError."""
    try:
        socket.getaddrinfo(*address, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST)
    except OSError:  # a name: this test asks no name server
        assert parse_address(f"[{address.host}]:{address.port}") == address
        address.host.encode("idna")


@settings(max_examples=EXAMPLES, deadline=None)
@given(data=changed_configurations())
def test_changed_configuration_changes_all_or_nothing(folder, data):
    """Guards against a reload that raises, or that applies a part of a file that can't be used."""
    with reloaded_router(folder) as router:
        router.configuration_file.write_bytes(data)
        before = router.configuration_state()
        kept, last = router.reload()
        assert not router.log.faults()
        if kept:
            check_error(kept[0])
            assert len(kept) == 1 and router.watched == [] and router.configuration_state() == before
            return
        assert [router.service.reloader.configuration.event_bus_address] == router.watched
        assert last["bus"] == list(router.watched[0])
        check_address(router.watched[0])
        encode_subscription(router.service.last_watch_offset())
        for endpoint in router.service.reducer.pool.endpoints.values():
            check_address(parse_address(f"[{endpoint.host}]:{endpoint.port}"))


@settings(max_examples=EXAMPLES, deadline=None)
@given(data=changed_operator_files())
def test_changed_operator_file_changes_all_or_nothing(folder, data):
    """Guards against a reload that raises, or that applies some sections of a file that can't be used."""
    with reloaded_router(folder) as router:
        router.operator_file.write_bytes(data.replace(b"SECRET_FILE", bytes(folder / "secret")))
        before = router.operator_state()
        kept, last = router.reload()
        assert not router.log.faults() and len(router.watched) == 1
        if kept:
            check_error(kept[0])
            assert len(kept) == 1 and router.operator_state() == before and last["needs_restart"] == []
            return
        assert router.service.reloader.operator_file.settings == router.read_operator_file()
        for address in router.service.extension.transport.addresses.values():
            check_address(address)


@pytest.mark.parametrize("name", ["configuration_file", "operator_file"])
@pytest.mark.parametrize("kind", ["missing", "unreadable", "folder", "not text"])
def test_file_that_cannot_be_read_changes_nothing(tmp_path, monkeypatch, name, kind):
    """Guards against a reload that ends the router for lack of a readable file."""
    router = ReloadedRouter(tmp_path, monkeypatch)
    file = getattr(router, name)
    file.unlink()
    match kind:
        case "folder":
            file.mkdir()
        case "not text":
            file.write_bytes(b"\xff\xfe\0")
        case "unreadable":
            file.symlink_to(file)  # a loop: no user can open it
    before = router.configuration_state(), router.operator_state()
    (kept,), _ = router.reload()
    check_error(kept)
    if name == "configuration_file":
        assert router.configuration_state() == before[0]
    assert router.operator_state() == before[1]


@pytest.mark.parametrize(
    "text", ["a\u00a0b:1", "a:74000", "a:0", "a:²", "a", ":1", "a b:1", "-a:1", "[x]y:1", "a..b:1", "a\0:1"]
)
def test_text_that_is_no_address_is_rejected(text):
    with pytest.raises(InvalidAddressError):
        parse_address(text)


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("localhost:1", ("localhost", 1)),
        ("[::1]:65535", ("::1", 65_535)),
        ("::1:7500", ("::1", 7500)),
        ("bücher.example:80", ("bücher.example", 80)),
        ("bus_1.example.:80", ("bus_1.example.", 80)),
    ],
)
def test_address_is_parsed(text, address):
    assert parse_address(text) == address


def start_router(tmp_path, table, operator_text=None):
    """Starts a router in a process; returns its exit code and its standard error."""
    (tmp_path / "router.json").write_text(json.dumps(table))
    environment = os.environ | {"EDGE_CONFIG": str(tmp_path / "router.json"), "EDGE_NAME": "r0"}
    environment.pop("HILLCHUTE_OPERATOR", None)
    if operator_text is not None:
        (tmp_path / "operator.cue").write_text(operator_text)
        environment["HILLCHUTE_OPERATOR"] = str(tmp_path / "operator.cue")
    command = [sys.executable, "-m", "hillchute.router"]
    completed = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60)
    return completed.returncode, completed.stderr


STARTS = {
    "no-break space in bus": ({"bus": "a\u00a0b:7500"}, None),
    "port out of range": ({"bus": "127.0.0.1:74000"}, None),
    "port of too many digits": ({"listen": f"127.0.0.1:{5_000 * '9'}"}, None),
    "negative offset": ({"known": {"offset": -1, "batch": []}}, None),
    "engine at no address": (
        {"known": {"offset": 1, "batch": [{"offset": 1, "topology": {"endpoints": [{"name": "s-1"}]}}]}},
        None,
    ),
    "peer at a port out of range": ({}, OPERATOR_FILE.replace("7403", "74000")),
    "Flight SQL at a port out of range": ({}, OPERATOR_FILE.replace("7401", "74000")),
    "secret file that is missing": ({}, OPERATOR_FILE),
    "TLS keys that are missing": (
        {},
        'flight: {listen: "127.0.0.1:FREE", tls: {certificate: "/no/file", key: "/no/file"}}',
    ),
    "nested too deeply": ({}, f"log: {2_000 * '{a: '}"),
}


@pytest.mark.parametrize("case", STARTS)
def test_unusable_file_at_the_start_is_reported_without_a_traceback(tmp_path, case):
    """Guards against a start that ends with a traceback instead of exit code 2 and what to do."""
    changes, operator_text = STARTS[case]
    if operator_text is not None:
        operator_text = operator_text.replace("FREE", str(free_port()))
    table = deployment.make_configuration() | {"listen": f"127.0.0.1:{free_port()}"} | changes
    code, errors = start_router(tmp_path, table, operator_text)
    assert code == EXIT_CANNOT_START and "Traceback" not in errors
    assert errors.startswith("hillchute: ") and "; " in errors, errors


def test_random_changes_of_a_configuration_reach_both_outcomes(folder):
    """Guards against a property test that sees only rejected or only accepted files."""
    rng = random.Random(1)
    outcomes = set()
    for _ in range(100):
        with reloaded_router(folder) as router:
            table = configuration_table()
            replace_value(table, rng.choice(CONFIGURATION_PATHS), rng.choice(VALUES))
            router.configuration_file.write_text(json.dumps(table))
            outcomes.add(bool(router.reload()[0]))
    assert outcomes == {True, False}


def test_random_changes_of_an_operator_file_reach_both_outcomes(folder):
    """Guards against a property test that sees only rejected or only accepted files."""
    rng = random.Random(1)
    outcomes = set()
    for _ in range(100):
        with reloaded_router(folder) as router:
            changed = [token.replace("SECRET_FILE", str(folder / "secret")) for token in OPERATOR_TOKENS]
            changed[rng.choice(VALUE_POSITIONS)] = rng.choice(VALUE_REPLACEMENTS)
            router.operator_file.write_text("".join(changed))
            outcomes.add(bool(router.reload()[0]))
    assert outcomes == {True, False}
