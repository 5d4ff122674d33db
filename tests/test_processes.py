"""A fleet of router processes under injected faults; the integration of a router with its peers."""

import errno
import socket
import subprocess
import sys
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import anyio
import pytest
from test_router import PLATFORM_CONFIGURATION

from hillchute.coordination.fleet_view import FleetSettings, FleetView
from hillchute.coordination.messages import DrainNotice, Observations
from hillchute.coordination.quota_leases import LEASE_DURATION, BorrowedLease
from hillchute.decision.interface import (
    SECOND,
    AttemptResult,
    EndpointEntry,
    EndpointState,
    ListMode,
    NewQuery,
    Reason,
    Reject,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.errors import HillchuteError
from hillchute.lab import processes
from hillchute.lab.clients import Query
from hillchute.lab.fleet import free_port
from hillchute.lab.partnership import over_quota, two_owners
from hillchute.lab.world import EngineWorld, RunRecord
from hillchute.operator import reading
from hillchute.operator.records import OperatorFileError
from hillchute.peers import transport
from hillchute.peers.datagrams import MAX_DATAGRAM_BYTES, DatagramKind
from hillchute.peers.node import Node, RouterIdentity
from hillchute.router import config
from hillchute.router.integrations.fleet_scheduler import FleetAccess, FleetScheduler
from hillchute.settings import Settings

KEY = b"k" * 32
NOW = 17_000_000_000_000


def test_query_whose_router_is_killed_before_its_task_has_run_is_excused():
    cluster, query = processes.RouterCluster(1), Query("lookup", "SELECT 1")
    cluster.open_queries["r0"] = set()

    async def start_query_and_excuse():
        async with anyio.create_task_group() as tasks:
            unreachable_router = SimpleNamespace(name="r0", port=1)
            cluster.start_query(unreachable_router, query, tasks)
            cluster.excuse(unreachable_router)

    anyio.run(start_query_and_excuse)
    assert cluster.excused == {query.id}
    assert not query.answers
    assert not cluster.open_queries["r0"]


@pytest.mark.real_time
def test_fleet_of_processes_breaks_no_rule_under_injected_faults():
    report = anyio.run(processes.run, 5, 14.0)
    assert not report["broken_rules"], report["first_broken"]
    assert not report["bad_exits"] and not report["router_faults"]
    assert report["served_share"] > 0.7 and report["finished"] > 200
    assert report["faults"] >= 4 and report["relay"]["datagrams"] > 200


@pytest.mark.real_time
def test_slots_have_one_owner_under_faults_and_new_agreements_of_three_partners():
    report = anyio.run(partial(processes.run, 2, 16.0, 6, partners=True))
    assert not report["broken_rules"], report["first_broken"]
    assert not report["two_owners"], report["first_two"]
    assert not report["ran_twice"] and not report["kept_too_long"] and not report["over_quota"]
    assert not report["bad_exits"] and not report["router_faults"], report["first_fault"]
    assert report["passed_on"] > 10 and report["led_known"] > 0.8


def run_record(id, started_at, ended_at, connection, group="event-load", token="t"):
    return RunRecord(
        id, group, token if group == "event-load" else None, "e", started_at, ended_at, connection=connection
    )


def test_overlapping_runs_of_two_partners_are_reported_as_two_owners():
    info_by_query = {
        n: ("k", "UPDATE sales_3.orders", g) for n, g in (("q", "event-load"), ("p", "event-load"))
    }
    info_by_query |= {n: (None, "UPDATE sales_3.orders", "change") for n in "xy"}
    world, partner_by_connection = EngineWorld(), {1: "a", 2: "b"}
    world.runs = [run_record("q", 0.0, 1.0, 1), run_record("p", 1.0, 2.0, 2)]
    world.runs += [run_record("x", 0.0, 1.0, 1, "change"), run_record("y", 1.0, 2.0, 2, "change")]
    assert not two_owners(world, partner_by_connection, info_by_query)
    world.runs[1].started_at = world.runs[3].started_at = 0.5
    assert len(two_owners(world, partner_by_connection, info_by_query)) == 2
    assert not two_owners(world, {1: "a", 2: "a"}, info_by_query)


def test_partner_over_its_quota_is_reported_only_on_a_saturated_engine():
    world, partner_by_connection = EngineWorld(), dict.fromkeys(range(40), "a") | {50: "b"}
    world.runs = [run_record(f"q{n}", 0.0, 1.0, n, "report") for n in range(10)]
    # The partner's runs need 40 threads on an engine with 16; it may use 8 and one query for each router.
    assert over_quota(world, partner_by_connection, 8, 6, 5000)
    assert not over_quota(world, partner_by_connection, 64, 6, 5000)  # the engine is not saturated
    world.runs = [run_record(f"q{n}", 0.0, 1.0, n, "lookup") for n in range(12)] + [
        run_record("p", 0.0, 1.0, 50, "report")
    ]
    assert not over_quota(world, partner_by_connection, 8, 6, 5000)


# ---- nodes over a simulated network -----------------------------------------------------------------


class RecordingHandler:
    """A payload handler that sends a fixed payload and records what it receives."""

    def __init__(self):
        self.received, self.lost_routers = [], []

    def ping_digest(self, now, recipient):
        return b"x" * 100

    def on_digest(self, now, sender, data):
        self.received.append((sender, data))

    def newcomer_digests(self, now, recipient):
        return [b"all"] * 3

    def on_router_lost(self, name):
        self.lost_routers.append(name)


class SimulatedNodes:
    def __init__(self, names):
        self.names, self.now, self.in_flight = names, NOW, []
        self.nodes = {}
        for name in names:
            self.start(name)

    def start(self, name):
        keys = {other: KEY for other in self.names if other != name}
        self.nodes[name] = Node(RouterIdentity(name, self.now // 10), keys, 1, self.now, RecordingHandler())

    def play(self, seconds, lost=lambda to, data: False):
        for _ in range(int(seconds * 10)):
            self.now += 1_000
            arriving, self.in_flight = self.in_flight, []
            for to, data in arriving:
                if to in self.nodes and not lost(to, data):
                    self.in_flight += self.nodes[to].receive(self.now, data)
            for node in self.nodes.values():
                self.in_flight += node.tick(self.now)


def test_nodes_find_each_other_and_pings_carry_payloads():
    net = SimulatedNodes(["a", "b", "c"])
    net.play(3)
    assert all(node.live_peers() == sorted({"a", "b", "c"} - {name}) for name, node in net.nodes.items())
    assert {sender for sender, _ in net.nodes["a"].payload_handler.received} == {"b", "c"}
    assert not net.nodes["a"].dropped


def test_restarted_router_rejects_replayed_datagrams_of_its_earlier_generation():
    net = SimulatedNodes(["a", "b", "c"])
    recorded = []
    net.play(3, lost=lambda to, data: recorded.append((to, data)))
    net.play(3)
    recorded = [data for to, data in recorded if to == "a"]
    net.now += SECOND
    net.start("a")
    fresh = net.nodes["a"]
    for data in recorded:
        fresh.receive(net.now, data)
    assert not fresh.payload_handler.received and not fresh.live_peers()
    net.play(20)
    assert fresh.live_peers() == ["b", "c"] and fresh.payload_handler.received


def test_malformed_datagrams_are_counted_and_raise_nothing():
    net = SimulatedNodes(["a", "b"])
    net.play(2)
    ((_, datagram),) = net.nodes["b"].payload_datagrams("a", b"load")
    node = net.nodes["a"]
    for end in range(len(datagram)):
        node.receive(net.now, datagram[:end])
        node.receive(net.now, datagram[:end] + b"\xff" + datagram[end + 1 :])
    assert sum(node.dropped.values()) == 2 * len(datagram)
    received_before = len(node.payload_handler.received)
    node.receive(net.now, datagram)
    node.receive(net.now, datagram)
    assert len(node.payload_handler.received) == received_before + 1


def test_datagram_omits_a_payload_that_does_not_fit_and_keeps_its_rumours():
    net = SimulatedNodes(["a", "b"])
    net.nodes["a"].payload_handler.ping_digest = lambda now, recipient: b"x" * MAX_DATAGRAM_BYTES
    net.play(3)
    assert net.nodes["b"].live_peers() == ["a"] and net.nodes["a"].live_peers() == ["b"]
    assert not net.nodes["a"].payload_datagrams("b", b"x" * MAX_DATAGRAM_BYTES)
    assert net.nodes["a"].dropped["payload too long"] == 1


def test_router_that_only_sends_a_payload_counts_as_alive():
    net = SimulatedNodes(["a", "b"])
    a, b = net.nodes["a"], net.nodes["b"]
    # They know each other's generation and nothing else.
    b.replay_windows["a"].latest_unaccepted_generation = a.generation
    ((_, data),) = b.payload_datagrams("a", b"load")
    a.receive(net.now, data)
    assert a.live_peers() == ["b"]
    b.leave(net.now)
    leave_datagram = b.seal(b.failure_detector.outgoing("a", DatagramKind.PING, 1), b"")
    a.receive(net.now, leave_datagram)
    assert a.live_peers() == []


def test_datagrams_with_long_names_stay_below_the_size_limit():
    names = [f"{n:02d}" + "n" * 62 for n in range(20)]
    net = SimulatedNodes(names)
    net.play(6)
    assert all(len(node.live_peers()) == 19 for node in net.nodes.values())
    assert all(len(data) <= MAX_DATAGRAM_BYTES for _, data in net.in_flight)


def test_new_router_requests_the_full_state_and_receives_it():
    net = SimulatedNodes(["a", "b", "c"])
    net.play(3)
    assert net.nodes["a"].state_requests
    answers = net.nodes["b"].receive(net.now, net.nodes["a"].state_request("b"))
    assert [to for to, _ in answers] == ["a"] * 3
    assert max(len(data) for _, data in answers) <= MAX_DATAGRAM_BYTES


def test_payload_handler_hears_of_a_router_that_leaves_or_is_no_longer_configured():
    net = SimulatedNodes(["a", "b", "c"])
    net.play(3)
    net.in_flight += net.nodes.pop("b").leave(net.now)
    net.play(1)
    assert net.nodes["a"].payload_handler.lost_routers == ["b"]
    net.nodes["a"].set_keys({"b": KEY}, net.now)
    net.play(3)
    assert net.nodes["a"].live_peers() == [] and net.nodes["a"].dropped["unknown peer"]


# ---- the scheduler with peers -----------------------------------------------------------------------


@pytest.fixture
def fleet_scheduler():
    """A fleet scheduler with engines 1 to 3, an adjustable clock and a fleet of four routers."""
    catalog = config.parse_catalog(PLATFORM_CONFIGURATION) | {
        "report.columns": ["inflight"],
        "guarantees.tip_multiple": 4,
    }
    clock = [NOW]
    settings = FleetSettings(
        name="r0", router_names=["r0", "r1", "r2", "r3"], columns=["inflight"], limits=["cold"], seed=1
    )
    scheduled = []
    fleet = FleetAccess(
        view=FleetView(settings, NOW),
        clock=lambda: clock[0],
        live_peers=lambda: ["r1", "r2"],
        schedule_digests=lambda: scheduled.append(1),
    )
    fleet_scheduler = FleetScheduler(
        scheduler=QueryScheduler(1, Settings.from_catalog(catalog), 0), fleet=fleet
    )
    fleet_scheduler.clock_of, fleet_scheduler.scheduled_digests = clock, scheduled
    entries = [EndpointEntry(n, 0, 0, 0, 0, EndpointState.READY, 1.0) for n in (1, 2, 3)]
    fleet_scheduler.on_endpoint_list(0, ListMode.COMPLETE, entries)
    fleet_scheduler.on_subset(0, frozenset({1, 2, 3}))
    return fleet_scheduler


def test_received_and_rejected_queries_are_counted_by_group(fleet_scheduler):
    group = fleet_scheduler.scheduler.groups[0]
    fleet_scheduler.scheduler.groups.append(replace(group, settings=replace(group.settings, number=1)))
    for n, group in enumerate((0, 1, 1)):
        fleet_scheduler.on_query(10, NewQuery(f"q{n}", group, 90_000, 1, 0, 100, 0.0, None))
    fleet_scheduler.scheduler.planned.clear()
    fleet_scheduler.scheduler.dispatcher.give_up(
        fleet_scheduler.scheduler.queries["q1"], Reason.ENGINES_OVERLOADED
    )
    answer = fleet_scheduler.next_decision(10)
    assert isinstance(answer, Reject) and answer.query == "q1"
    fleet_scheduler.on_client_left(10, "q0")
    assert fleet_scheduler.fleet.own.received == {0: 1, 1: 2} and fleet_scheduler.fleet.own.rejected == {1: 1}
    assert fleet_scheduler.groups_by_query.keys() == {"q2"}


def test_scheduler_is_given_the_number_of_live_routers_and_its_shares(fleet_scheduler):
    assert fleet_scheduler.scheduler.pool.routers == 3 and fleet_scheduler.scheduler.pool.subset == {1, 2, 3}
    assert 0 < fleet_scheduler.scheduler.pool.shares.warm_up <= 0.25


def test_own_load_report_is_passed_to_peers_and_a_relayed_one_is_not(fleet_scheduler):
    fleet_scheduler.on_health_check(10, 1, AttemptResult.SERVED, {"inflight": 3})
    assert fleet_scheduler.scheduled_digests and fleet_scheduler.fleet.own.load_reports.keys() == {1}
    fleet_scheduler.on_load_report(10, 2, {"inflight": 3}, age=5)
    assert fleet_scheduler.fleet.own.load_reports.keys() == {1}
    assert fleet_scheduler.scheduler.engines[2].reported_at == 5


def test_engine_closed_by_witnesses_stays_closed_until_the_endpoint_list_reaches_the_event(fleet_scheduler):
    for witness in ("r1", "r2"):
        fleet_scheduler.fleet.signals.on_observations(NOW, witness, Observations(drains=(DrainNotice(3, 9),)))
    fleet_scheduler.on_fleet_changed(20)
    assert not fleet_scheduler.scheduler.engines[3].ready
    fleet_scheduler.on_endpoint_list(
        25, ListMode.PARTIAL, [EndpointEntry(3, 0, 0, 0, 0, EndpointState.READY, 1.0)]
    )
    fleet_scheduler.on_subset(25, frozenset())  # an earlier state of the list does not open it
    assert not fleet_scheduler.scheduler.engines[3].ready
    fleet_scheduler.connect_endpoint_list(lambda: 8)
    fleet_scheduler.on_endpoint_list(
        30, ListMode.PARTIAL, [EndpointEntry(2, 0, 0, 0, 0, EndpointState.READY, 1.0)]
    )
    fleet_scheduler.on_subset(30, frozenset())
    assert not fleet_scheduler.scheduler.engines[3].ready
    # The list has reached the event and has no change of the engine.
    fleet_scheduler.connect_endpoint_list(lambda: 9)
    fleet_scheduler.on_subset(40, frozenset())
    assert fleet_scheduler.scheduler.engines[3].ready


def test_resumed_process_recomputes_its_shares_before_it_decides(fleet_scheduler):
    limit = fleet_scheduler.fleet.quotas.limits["cold"]
    fleet_scheduler.clock_of[0] += 10 * SECOND
    fleet_scheduler.on_fleet_changed(100)
    own = fleet_scheduler.scheduler.pool.shares.warm_up
    now = fleet_scheduler.clock_of[0]
    limit.borrowed["r1"] = BorrowedLease(1, now, 100_000, 100_000, now + LEASE_DURATION)
    fleet_scheduler.on_fleet_changed(100)
    assert fleet_scheduler.scheduler.pool.shares.warm_up > own
    # The process is suspended for the duration of the lease and resumes in a decision.
    fleet_scheduler.clock_of[0] += LEASE_DURATION
    fleet_scheduler.next_decision(100)
    assert fleet_scheduler.scheduler.pool.shares.warm_up == own


def modules_imported_by(statement):
    """Returns the modules that a new process has imported after this statement."""
    program = f"import sys; {statement}; print(*sys.modules)"
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    return completed.stdout.split()


INTEGRATIONS = "hillchute.router.integrations"


def test_router_without_optional_features_imports_none_of_their_modules():
    imported = modules_imported_by("import hillchute.router.__main__, hillchute.router.service")
    optional = (
        "hillchute.peers",
        "hillchute.history",
        "hillchute.partners",
        "msgspec",
        "sqlite3",
        "cryptography",
    )
    assert [name for name in imported if name.startswith(optional)] == []
    assert "hillchute.coordination.fleet_view" not in imported
    assert {name for name in imported if name.startswith(INTEGRATIONS)} == {
        INTEGRATIONS,
        f"{INTEGRATIONS}.interface",
    }


def test_peers_integration_imports_nothing_of_history_and_partners():
    imported = modules_imported_by(f"import {INTEGRATIONS}.peers")
    optional = ("hillchute.history", "hillchute.partners", "sqlite3", "cryptography")
    assert [name for name in imported if name.startswith(optional)] == []
    assert {name for name in imported if name.startswith(INTEGRATIONS)} == {
        INTEGRATIONS,
        f"{INTEGRATIONS}.interface",
        f"{INTEGRATIONS}.fleet_scheduler",
        f"{INTEGRATIONS}.peers",
    }


# ---- the operator file ------------------------------------------------------------------------------

PEERS = 'peers: {name: "a", listen: "127.0.0.1:7400", others: [%s]}'
OTHER = '{name: "b", address: "127.0.0.1:7401", key: "0123456789abcdef"}'


@pytest.mark.parametrize(
    "others, expected_error",
    [
        ('{name: "b", address: "x", key: "0123456789abcdef"}', "peers.others[0].address: expected string"),
        ('{name: "b", address: "x:1"}', "peers.others[0]: expected one of key, key_file"),
        ('{name: "b", address: "x:1", key: "short"}', "expected a key of 16 characters"),
        ('{name: "a", address: "x:1", key: "0123456789abcdef"}', "a is listed twice"),
        (f"{OTHER}, {OTHER}", "peers.others[1].name: b is listed twice"),
        ('{name: "b", address: "x:1", key_file: "/nowhere"}', "peers.others[0].key_file: /nowhere"),
        ('{name: "b c", address: "x:1", key: "0123456789abcdef"}', "peers.others[0].name"),
    ],
)
def test_error_in_the_list_of_peers_names_its_location(others, expected_error):
    with pytest.raises(OperatorFileError) as error:
        reading.parse_settings(PEERS % others)
    assert expected_error in str(error.value)


def test_peer_key_can_be_read_from_a_file(tmp_path):
    (tmp_path / "key").write_text("0123456789abcdef\n")
    row = f'{{name: "b", address: "x:1", key_file: "{tmp_path / "key"}"}}'
    assert reading.parse_settings(PEERS % row)["peers"]["others"][0]["key"] == "0123456789abcdef"


def callbacks(on_change, on_fault):
    return transport.TransportCallbacks(due_payloads=lambda now: (), on_change=on_change, on_fault=on_fault)


def test_listen_address_in_use_is_reported_with_a_remedy():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupied:
        occupied.bind(("127.0.0.1", 0))
        address = transport.Address(*occupied.getsockname())
        peer_transport = transport.PeerTransport(
            address, {}, SimulatedNodes(["a"]).nodes["a"], lambda: NOW, callbacks(print, print)
        )
        with pytest.raises(HillchuteError) as error:
            peer_transport.open()
    assert error.value.location == f"127.0.0.1:{address.port}" and "peers.listen" in error.value.remedy


class ExhaustedListener:
    """A listener with a pending connection whose accept() always fails for lack of file descriptors."""

    def __init__(self, sock):
        self.sock, self.accept_calls = sock, 0

    def fileno(self):
        return self.sock.fileno()

    def accept(self):
        self.accept_calls += 1
        raise OSError(errno.ENFILE, "too many open files in system")

    def close(self):
        self.sock.close()


@pytest.fixture
def peer_transport():
    faults = []
    # A port that is free for UDP may be in use for TCP by another test; free_port() checks both.
    address = transport.Address("127.0.0.1", free_port())
    report = callbacks(lambda: None, lambda *fault: faults.append(fault))
    peer_transport = transport.PeerTransport(
        address, {}, SimulatedNodes(["a"]).nodes["a"], lambda: NOW, report
    )
    peer_transport.faults = faults
    peer_transport.open()
    yield peer_transport
    peer_transport.udp_socket.close()
    peer_transport.listener.close()


def test_accept_pauses_after_each_failure_for_lack_of_descriptors(peer_transport, monkeypatch):
    waits = []

    async def run():
        async with anyio.create_task_group() as tasks:

            async def sleep(seconds):
                waits.append((seconds, peer_transport.listener.accept_calls))
                if len(waits) == 3:
                    tasks.cancel_scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(transport.anyio, "sleep", sleep)
            with socket.create_connection(peer_transport.listener.getsockname()):
                peer_transport._listener = ExhaustedListener(peer_transport.listener)
                tasks.start_soon(peer_transport.accept_streams, tasks)
                while not tasks.cancel_scope.cancel_called:
                    await anyio.lowlevel.checkpoint()

    anyio.run(run)
    assert waits == [(transport.ACCEPT_RETRY_DELAY, n) for n in (1, 2, 3)]


def test_exception_in_one_datagram_of_a_stream_is_reported_and_ends_nothing(peer_transport, monkeypatch):
    def receive(now, data, most):
        raise IndexError("internal error")

    monkeypatch.setattr(peer_transport.node, "receive", receive)

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer_transport.accept_streams, tasks)
            with socket.create_connection(peer_transport.listener.getsockname()) as sock:
                sock.sendall(transport.FRAME_LENGTH.pack(5) + b"wrong")
                while not peer_transport.faults:
                    await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    ((source, error),) = peer_transport.faults
    assert source == "peers: receive" and "internal error" in repr(error)
