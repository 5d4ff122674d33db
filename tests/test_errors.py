"""Each type of error is raised by a path through the program, and its remedy names something that exists."""

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
from rounds_by_hand import Rig

from hillchute import errors
from hillchute.decision.interface import EndpointState, Listing
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery import event_bus
from hillchute.discovery.event_bus import Endpoint, WatchEvent
from hillchute.errors import HillchuteError
from hillchute.history.sqlite_store import SqliteStore
from hillchute.lab import deployment
from hillchute.lab.faulty_system import Fault, FaultySystemCalls
from hillchute.lab.history_net import EPOCH
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
    """A log that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: object) -> None:
        """As Log's."""
        self.lines.append({"event": event, **fields})

    def errors(self) -> dict[str, dict[str, Any]]:
        """The lines that tell of an error, by its type."""
        return {line["error"]: line for line in self.lines if "error" in line}


def bad_configuration(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text("{}")
    os.environ["EDGE_CONFIG"] = str(path)
    try:
        config.read_configuration()
    finally:
        del os.environ["EDGE_CONFIG"]


def bad_record(tmp_path: Path) -> None:
    reading.read(tmp_path / "none.cue")


def bus_unreadable(tmp_path: Path) -> None:
    list(event_bus.WatchEventDecoder().feed(event_bus.FRAME_HEADER.pack(5, 0, 250) + b"x" * 50))


def datagram_dropped(tmp_path: Path) -> None:
    datagrams.decode(b"", "a", {"b": KEY})


def peers_not_reachable(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        node = Node(RouterIdentity("a", 1), {}, 1, 0, None)
        none = TransportCallbacks(due_payloads=None, on_change=None, on_fault=None)
        PeerTransport(Address(*taken.getsockname()), {}, node, None, none).open()


def disk_not_usable(tmp_path: Path) -> None:
    SqliteStore(tmp_path / "none" / "h.db")


def agreement_rejected(tmp_path: Path) -> None:
    derive_agreement([], 1)


def signature_journal_unreadable(tmp_path: Path) -> None:
    (tmp_path / "signatures").write_text("no signature\n")
    SignatureJournal(tmp_path / "signatures")


@pytest.mark.parametrize(
    ("error", "path"),
    [
        (errors.ConfigurationError, bad_configuration),
        (errors.OperatorFileError, bad_record),
        (errors.EventBusProtocolError, bus_unreadable),
        (errors.InvalidDatagramError, datagram_dropped),
        (errors.PeerListenError, peers_not_reachable),
        (errors.HistoryStorageError, disk_not_usable),
        (errors.InvalidAgreementError, agreement_rejected),
        (errors.SignatureJournalError, signature_journal_unreadable),
    ],
)
def test_type_is_raised_by_a_path_and_says_what_where_and_what_to_do(
    tmp_path: Path, error: type[HillchuteError], path: Callable[..., None]
) -> None:
    with pytest.raises(error) as fault:
        path(tmp_path)
    assert fault.value.detail
    assert fault.value.remedy == error.remedy
    assert fault.value.log_fields.keys() == {"error", "what", "where", "remedy"}


def peer_extension(log: RecordingLog) -> PeerExtension:
    """A router with peers by the operator file, none of which it names."""
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
        stated_catalog={"parties.count": 0},
        settings=NO_TENANTS,
        longest_shutdown=1,
    )
    peers = {"name": "a", "listen": "127.0.0.1:1", "others": []}
    return PeerExtension(
        operator={"peers": peers},
        router=RouterContext(
            configuration=configuration, log=log, handle=lambda event: None, clock=lambda: 0
        ),
        scheduler=QueryScheduler(1, configuration.settings, 0),
    )


def lists_differ(log: RecordingLog, tmp_path: Path) -> None:
    extension = peer_extension(log)
    extension.fleet.differing_routers = {"b"}
    extension.log_statistics(0)


def clock_behind(log: RecordingLog, tmp_path: Path) -> None:
    """The router was up at a later time by its clock, which was then set back; another still knows that."""
    extension = peer_extension(log)
    node = extension.node
    node.set_keys({"b": KEY}, EPOCH)
    other = Node(RouterIdentity("b", node.generation), {"a": KEY}, 1, EPOCH, None)
    other.replay_windows["a"].generation = node.generation + 3_600_000
    ((_, data),) = other.payload_datagrams("a", b"x")
    assert node.receive(EPOCH, data) == []
    extension.log_statistics(0)


def extension_context(log: RecordingLog) -> ExtensionContext:
    """What the part among peers gives to router a, which has the peer b."""
    node = Node(RouterIdentity("a", EPOCH // 10), {"b": KEY}, 1, EPOCH, None)
    return ExtensionContext(
        node=node, clock=lambda: EPOCH, log=log, handle=lambda event: None, schedule_messages=lambda: None
    )


def history_extension(log: RecordingLog, **changes: object) -> tuple[HistoryExtension, Mapping[str, Any]]:
    """A history whose settings have these changes, and the settings."""
    text = "history: {number: 2, default: {}}\n" + 'peers: {name: "a", listen: "127.0.0.1:1", others: []}'
    settings = reading.hold(text)["history"] | changes
    return HistoryExtension(settings=settings, context=extension_context(log)), settings


def book_not_taken(log: RecordingLog, tmp_path: Path) -> None:
    held, settings = history_extension(log)
    held.reload(settings | {"number": 1})


def book_not_current(log: RecordingLog, tmp_path: Path) -> None:
    held, _ = history_extension(log)
    held.replica.context.living = lambda: {"a": 1, "b": 1}
    held.replica.views.proposed, held.replica.views.policies_numbers = object(), {"b": 1}
    held.log_statistics(EPOCH)


def disk_in_the_log(log: RecordingLog, tmp_path: Path) -> None:
    history_extension(log, disk=str(tmp_path / "none" / "h.db"))


def accept_paused(log: RecordingLog, tmp_path: Path) -> None:
    rig = Rig(FaultySystemCalls(Fault("accept", "ENFILE")))
    rig.service.door.log = log
    rig.client()
    rig.turn()
    rig.close()


def unknown_kind(log: RecordingLog, tmp_path: Path) -> None:
    rig = Rig()
    rig.service.endpoint_updates.log = log
    listing = Listing(1, 9, 0, 0, 0, EndpointState.READY, 1.0)
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (Endpoint(listing, "127.0.0.1", 1),))
    )
    rig.close()


def partner_equivocated(log: RecordingLog, tmp_path: Path) -> None:
    text = f"""history: {{number: 2, default: {{}}}}
      peers: {{name: "a", listen: "127.0.0.1:1", others: []}}
      partners: {{own: "x", members: [{{name: "x", key: "{"0" * 64}", routers: ["a"]}}]}}"""
    extension = PartnerExtension(
        settings=reading.hold(text)["partners"],
        context=extension_context(log),
        seed=1,
        router_clock=lambda: EPOCH,
    )
    two = [Signature("x", 1, bytes([n]) * 32, bytes(64)) for n in (1, 2)]
    extension.negotiation.ledger.equivocations["x"] = Equivocation(*two)
    extension.log_statistics(EPOCH)


@pytest.mark.parametrize(
    ("error", "path"),
    [
        (errors.PeerListMismatchError, lists_differ),
        (errors.ClockBehindError, clock_behind),
        (errors.PartnerEquivocationError, partner_equivocated),
        (errors.PoliciesRejectedError, book_not_taken),
        (errors.StalePoliciesError, book_not_current),
        (errors.HistoryStorageError, disk_in_the_log),
        (errors.AcceptPausedError, accept_paused),
        (errors.UnknownEngineKindError, unknown_kind),
    ],
)
def test_type_is_in_the_log_with_its_remedy(
    tmp_path: Path, error: type[HillchuteError], path: Callable[..., None]
) -> None:
    log = RecordingLog()
    path(log, tmp_path)
    line = log.errors()[error.__name__]
    assert line["what"]
    assert line["remedy"] == error.remedy


def error_types() -> list[type[HillchuteError]]:
    """HillchuteError and all its subclasses."""
    return [
        kind for kind in vars(errors).values() if isinstance(kind, type) and issubclass(kind, HillchuteError)
    ]


def test_every_type_is_caused_here() -> None:
    source = Path(__file__).read_text()
    assert all(f"(errors.{kind.__name__}, " in source for kind in error_types() if kind is not HillchuteError)


def test_remedies_name_what_exists() -> None:
    paths = {path.replace("?", "") for path, _, _ in reading.fields()}
    names = {re.sub(r"\[.*?\]", "", part) for path in paths for part in (path, path.split(".")[-1])}
    environ = {"EDGE_CONFIG", "HILLCHUTE_OPERATOR"}
    sources = "".join(file.read_text() for file in (ROOT / "hillchute").rglob("*.py"))
    assert all(f'"{name}"' in sources for name in environ)
    commands = {"hillchute check"}
    platform = Path(config.__file__).read_text()  # it reads each key of the platform's file by its name
    for kind in error_types():
        if kind is HillchuteError:
            continue
        assert kind.remedy, kind
        for said in re.findall(r"`([^`]+)`", kind.remedy):
            known = said in names or said in commands or any(path.startswith(said) for path in names)
            assert known or f'"{said}"' in platform, f"{kind.__name__}: {said}"
        for word in re.findall(r"\b[A-Z][A-Z_]{4,}\b", kind.remedy):
            assert word in environ or hasattr(signal, word), f"{kind.__name__}: {word}"


def test_start_that_is_refused_says_what_to_do(tmp_path: Path) -> None:
    (tmp_path / "c.json").write_bytes(orjson.dumps(deployment.table()))
    (tmp_path / "o.cue").write_text("peers: 5")
    environ = os.environ | {
        "EDGE_CONFIG": str(tmp_path / "c.json"),
        "EDGE_NAME": "toy",
        "HILLCHUTE_OPERATOR": str(tmp_path / "o.cue"),
    }
    command = [sys.executable, "-m", "hillchute.router"]
    done = subprocess.run(
        command, env=environ, capture_output=True, text=True, timeout=60, cwd=ROOT, check=False
    )
    assert done.returncode == 2
    assert "o.cue:1: peers" in done.stderr
    assert errors.OperatorFileError.remedy in done.stderr
