"""Each error type is caused by at least one test here, and its remedy names only things that exist."""

import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import orjson
import pytest
from rounds_by_hand import RouterHarness

from hillchute import errors
from hillchute.decision.interface import EndpointEntry, EndpointState
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery import event_bus
from hillchute.discovery.event_bus import Endpoint, WatchEvent
from hillchute.errors import HillchuteError
from hillchute.fronts.flight import server as flight
from hillchute.history.sqlite_store import SqliteStore
from hillchute.lab import deployment
from hillchute.lab.faulty_system import Fault, FaultySystemCalls
from hillchute.lab.history_net import EPOCH
from hillchute.log import Log
from hillchute.operator import reading
from hillchute.partners.agreements import derive_agreement
from hillchute.partners.signature_journal import SignatureJournal
from hillchute.partners.signatures import Equivocation, Signature
from hillchute.peers import datagrams
from hillchute.peers.node import Node, RouterIdentity
from hillchute.peers.transport import Address, PeerTransport, TransportCallbacks
from hillchute.router import config
from hillchute.router.integrations.fragmented_channel import ExtensionContext
from hillchute.router.integrations.history import HistoryExtension
from hillchute.router.integrations.partners import PartnerExtension
from hillchute.router.integrations.peers import PeerExtension, RouterContext
from hillchute.settings import Settings

KEY = b"k" * 32
NO_TENANTS = Settings.from_catalog({"parties.count": 0})
ROOT = Path(__file__).parents[1]


class RecordingLog:
    """A log that records its lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: object) -> None:
        """Records a line; the signature is that of Log.write."""
        self.lines.append({"event": event, **fields})

    def errors(self) -> dict[str, dict[str, Any]]:
        """The last line of each error type, by its name."""
        return {line["error"]: line for line in self.lines if "error" in line}


def bad_configuration(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text("{}")
    os.environ["EDGE_CONFIG"] = str(path)
    try:
        config.read_configuration()
    finally:
        del os.environ["EDGE_CONFIG"]


def missing_operator_file(tmp_path: Path) -> None:
    reading.read(tmp_path / "none.cue")


def invalid_watch_event(tmp_path: Path) -> None:
    list(event_bus.WatchEventDecoder().feed(event_bus.FRAME_HEADER.pack(5, 0, 250) + b"x" * 50))


def missing_tls_keys(tmp_path: Path) -> None:
    path = str(tmp_path / "none")
    tls = f'tls: {{certificate: "{path}", key: "{path}"}}'
    settings = reading.parse_settings(f'flight: {{listen: "127.0.0.1:1", {tls}}}')["flight"]
    server = flight.Server(settings, {}, Log("n", -1), lambda: 0, None, None, 64)
    server.credentials(settings["tls"])


def invalid_datagram(tmp_path: Path) -> None:
    datagrams.decode(b"", "a", {"b": KEY})


def peer_address_in_use(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        node = Node(RouterIdentity("a", 1), {}, 1, 0, None)
        callbacks = TransportCallbacks(due_payloads=None, on_change=None, on_fault=None)
        PeerTransport(Address(*taken.getsockname()), {}, node, None, callbacks).open()


def history_file_not_writable(tmp_path: Path) -> None:
    SqliteStore(tmp_path / "none" / "h.db")


def agreement_without_offers(tmp_path: Path) -> None:
    derive_agreement([], 1)


def invalid_signature_journal(tmp_path: Path) -> None:
    (tmp_path / "signatures").write_text("no signature\n")
    SignatureJournal(tmp_path / "signatures")


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (errors.ConfigurationError, bad_configuration),
        (errors.OperatorFileError, missing_operator_file),
        (errors.FlightKeysError, missing_tls_keys),
        (errors.EventBusProtocolError, invalid_watch_event),
        (errors.InvalidDatagramError, invalid_datagram),
        (errors.PeerListenError, peer_address_in_use),
        (errors.HistoryStorageError, history_file_not_writable),
        (errors.InvalidAgreementError, agreement_without_offers),
        (errors.SignatureJournalError, invalid_signature_journal),
    ],
)
def test_raised_error_has_detail_remedy_and_log_fields(
    tmp_path: Path, error: type[HillchuteError], cause: Callable[..., None]
) -> None:
    with pytest.raises(error) as raised:
        cause(tmp_path)
    assert raised.value.detail
    assert raised.value.remedy == error.remedy
    assert raised.value.log_fields.keys() == {"error", "what", "where", "remedy"}


def peer_extension(log: RecordingLog) -> PeerExtension:
    """The peer extension of a router whose operator file has `peers`, but no other routers under it."""
    configuration = config.RouterConfiguration(
        name="a",
        host="",
        port=0,
        seed=1,
        sockets=1,
        max_packet_bytes=1,
        event_bus_address=("", 0),
        initial_watch_events=(),
        initial_offset=0,
        catalog={"parties.count": 0},
        settings=NO_TENANTS,
        max_shutdown_time=1,
    )
    peers = {"name": "a", "listen": "127.0.0.1:1", "others": []}
    return PeerExtension(
        operator={"peers": peers},
        router=RouterContext(
            configuration=configuration,
            log=log,
            handle=lambda event: None,
            clock=lambda: 0,
            on_fault=lambda source, error: None,
        ),
        scheduler=QueryScheduler(1, configuration.settings, 0),
    )


def peer_lists_differ(log: RecordingLog, tmp_path: Path) -> None:
    extension = peer_extension(log)
    extension.fleet.differing_routers = {"b"}
    extension.log_statistics(0)


def clock_behind(log: RecordingLog, tmp_path: Path) -> None:
    """A peer knows a later generation of the router, whose wall clock was then set back."""
    extension = peer_extension(log)
    node = extension.node
    node.set_keys({"b": KEY}, EPOCH)
    other = Node(RouterIdentity("b", node.generation), {"a": KEY}, 1, EPOCH, None)
    other.replay_windows["a"].generation = node.generation + 3_600_000
    ((_, data),) = other.payload_datagrams("a", b"x")
    assert node.receive(EPOCH, data) == []
    extension.log_statistics(0)


def extension_context(log: RecordingLog) -> ExtensionContext:
    """The context of the extensions of router a, which has the peer b."""
    node = Node(RouterIdentity("a", EPOCH // 10), {"b": KEY}, 1, EPOCH, None)
    return ExtensionContext(
        node=node, clock=lambda: EPOCH, log=log, handle=lambda event: None, schedule_messages=lambda: None
    )


def history_extension(log: RecordingLog, **changes: object) -> tuple[HistoryExtension, Mapping[str, Any]]:
    """A history extension with these changes to its settings, and the settings."""
    text = "history: {number: 2, default: {}}\n" + 'peers: {name: "a", listen: "127.0.0.1:1", others: []}'
    settings = reading.parse_settings(text)["history"] | changes
    return HistoryExtension(settings=settings, context=extension_context(log)), settings


def policies_rejected(log: RecordingLog, tmp_path: Path) -> None:
    extension, settings = history_extension(log)
    extension.prepare_reload(settings | {"number": 1})()


def policies_stale(log: RecordingLog, tmp_path: Path) -> None:
    extension, _ = history_extension(log)
    extension.replica.context.live_routers = lambda: {"a": 1, "b": 1}
    extension.replica.views.proposed, extension.replica.views.policies_numbers = object(), {"b": 1}
    extension.log_statistics(EPOCH)


def history_file_logged_as_not_writable(log: RecordingLog, tmp_path: Path) -> None:
    history_extension(log, disk=str(tmp_path / "none" / "h.db"))


def accept_paused(log: RecordingLog, tmp_path: Path) -> None:
    rig = RouterHarness(FaultySystemCalls(Fault("accept", "ENFILE")))
    rig.service.mysql_frontend.log = log
    rig.connect_client()
    rig.run_rounds()
    rig.close()


def unknown_kind(log: RecordingLog, tmp_path: Path) -> None:
    rig = RouterHarness()
    rig.service.endpoint_updates.log = log
    entry = EndpointEntry(1, 9, 0, 0, 0, EndpointState.READY, 1.0)
    rig.service.endpoint_updates.on_watch_event(WatchEvent(2, "Partial", (Endpoint(entry, "127.0.0.1", 1),)))
    rig.close()


def partner_equivocated(log: RecordingLog, tmp_path: Path) -> None:
    text = f"""history: {{number: 2, default: {{}}}}
      peers: {{name: "a", listen: "127.0.0.1:1", others: []}}
      partners: {{own: "x", members: [{{name: "x", key: "{"0" * 64}", routers: ["a"]}}]}}"""
    extension = PartnerExtension(
        settings=reading.parse_settings(text)["partners"],
        context=extension_context(log),
        seed=1,
        router_clock=lambda: EPOCH,
    )
    signatures = [Signature("x", 1, bytes([n]) * 32, bytes(64)) for n in (1, 2)]
    extension.negotiation.ledger.equivocations["x"] = Equivocation(*signatures)
    extension.log_statistics(EPOCH)


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (errors.PeerListMismatchError, peer_lists_differ),
        (errors.ClockBehindError, clock_behind),
        (errors.PartnerEquivocationError, partner_equivocated),
        (errors.PoliciesRejectedError, policies_rejected),
        (errors.StalePoliciesError, policies_stale),
        (errors.HistoryStorageError, history_file_logged_as_not_writable),
        (errors.AcceptPausedError, accept_paused),
        (errors.UnknownEngineKindError, unknown_kind),
    ],
)
def test_logged_error_has_its_remedy(
    tmp_path: Path, error: type[HillchuteError], cause: Callable[..., None]
) -> None:
    log = RecordingLog()
    cause(log, tmp_path)
    line = log.errors()[error.__name__]
    assert line["what"]
    assert line["remedy"] == error.remedy


def error_types() -> list[type[HillchuteError]]:
    """HillchuteError and all its subclasses."""
    return [
        kind for kind in vars(errors).values() if isinstance(kind, type) and issubclass(kind, HillchuteError)
    ]


def test_every_error_type_is_caused_in_this_file() -> None:
    source = Path(__file__).read_text()
    assert all(f"(errors.{kind.__name__}, " in source for kind in error_types() if kind is not HillchuteError)


def test_remedies_name_only_what_exists() -> None:
    paths = {path.replace("?", "") for path, _, _ in reading.fields()}
    names = {re.sub(r"\[.*?\]", "", part) for path in paths for part in (path, path.split(".")[-1])}
    environ = {"EDGE_CONFIG", "HILLCHUTE_OPERATOR"}
    sources = "".join(file.read_text() for file in (ROOT / "hillchute").rglob("*.py"))
    assert all(f'"{name}"' in sources for name in environ)
    commands = {"hillchute check"}
    platform = Path(config.__file__).read_text()  # contains the name of each key of the platform's file
    for kind in error_types():
        if kind is HillchuteError:
            continue
        assert kind.remedy, kind
        for quoted in re.findall(r"`([^`]+)`", kind.remedy):
            known = quoted in names or quoted in commands or any(path.startswith(quoted) for path in names)
            assert known or f'"{quoted}"' in platform, f"{kind.__name__}: {quoted}"
        for word in re.findall(r"\b[A-Z][A-Z_]{4,}\b", kind.remedy):
            assert word in environ or hasattr(signal, word), f"{kind.__name__}: {word}"


def test_router_that_cannot_start_prints_the_remedy(tmp_path: Path) -> None:
    (tmp_path / "c.json").write_bytes(orjson.dumps(deployment.make_configuration()))
    (tmp_path / "o.cue").write_text("peers: 5")
    environ = os.environ | {
        "EDGE_CONFIG": str(tmp_path / "c.json"),
        "EDGE_NAME": "toy",
        "HILLCHUTE_OPERATOR": str(tmp_path / "o.cue"),
    }
    command = [sys.executable, "-m", "hillchute.router"]
    completed = subprocess.run(
        command, env=environ, capture_output=True, text=True, timeout=60, cwd=ROOT, check=False
    )
    assert completed.returncode == 2
    assert "o.cue:1: peers" in completed.stderr
    assert errors.OperatorFileError.remedy in completed.stderr
