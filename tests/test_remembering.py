"""The answer history of a router: claims in the reducer, the operator file, fragments, the disk, and
processes under faults."""

import sqlite3
import stat
from functools import partial

import anyio
import msgspec
import pytest
from conftest import CATALOG

from hillchute.decision.interface import SECOND
from hillchute.decision.scheduler import QueryScheduler
from hillchute.errors import HistoryStorageError, InvalidDatagramError
from hillchute.history.records import Record, RecordState
from hillchute.history.replica import Replica
from hillchute.history.replica_context import Membership
from hillchute.history.retention import ErasureRequest, RetentionPolicies, RetentionPolicy
from hillchute.history.sqlite_store import SqliteStore
from hillchute.lab import processes
from hillchute.lab.history_net import EPOCH, HistoryNet, initial_policies
from hillchute.operator import reading
from hillchute.operator.records import OperatorFileError
from hillchute.peers import fragmentation
from hillchute.router import events
from hillchute.router.effects import ClaimQuery, EndClaim, FailQuery, RejectQuery, SendResult
from hillchute.router.integrations.history import retention_policies
from hillchute.router.reducer import Reducer
from hillchute.settings import Settings
from hillchute.statements.request import Request

DISK = RetentionPolicy(rows=True, disk=True, least_ms=20_000, most_ms=60_000)


def record(token="t", state=RecordState.SERVED, rows=b"rows", key="k", **fields):
    claim_fields = {"router": "n0", "incarnation": 1, "claim_number": 1, "timeout": SECOND} | fields
    return Record("", key, token, EPOCH, 1, 1, state=state, rows=rows, **claim_fields)


# ---- the reducer's side ----


class ReducerHarness:
    """A reducer whose queries with an idempotency key wait for a claim decision by the test."""

    def __init__(self):
        names = {f"groups.{n}.name": name for n, name in enumerate(("lookup", "report", "load", "write"))}
        names["limits.open_cap"] = 100
        settings = Settings.from_catalog(CATALOG | names)
        self.scheduler = QueryScheduler(7, settings, 0)
        self.reducer = Reducer(self.scheduler, settings, 8)
        self.reducer.claims_idempotent = True
        self.group = "load"
        self.count = 0

    def submit(self, token="ab", now=0, client_timeout=5 * SECOND):
        self.count += 1
        query_id = f"{self.count:016x}"
        request = Request(
            query_id, self.group, client_timeout, b"UPDATE t SET a = 1", token, 1000, 1.0, "cd", "a"
        )
        return query_id, self.reducer.reduce(events.QueryReceived(self.count, request, now), now)

    def decide(self, query_id, verdict, rows=None, now=10):
        number = self.reducer.queries[query_id].number
        return self.reducer.reduce(events.ClaimDecided(query_id, number, verdict, "why", rows), now)


def of_type(effects, *kinds):
    return [e for e in effects if isinstance(e, kinds)]


def test_query_with_a_key_waits_for_its_claim_and_then_runs():
    rig = ReducerHarness()
    query_id, effects = rig.submit()
    (claim,) = of_type(effects, ClaimQuery)
    assert (claim.query, claim.customer, claim.key, claim.token) == (query_id, "a", "cd", "ab")
    assert 0 < claim.time_left <= 5 * SECOND
    assert query_id not in rig.scheduler.queries
    rig.decide(query_id, "RUN")
    assert query_id in rig.scheduler.queries


@pytest.mark.parametrize(
    ("verdict", "effect"), [("REPLAY", SendResult), ("REJECT", RejectQuery), ("FAIL", FailQuery)]
)
def test_decision_other_than_run_is_answered(verdict, effect):
    rig = ReducerHarness()
    query_id, _ = rig.submit()
    effects = rig.decide(query_id, verdict, [[b"1"], [b"2"], [b"3"]])
    assert len(of_type(effects, effect)) == 1 and not of_type(effects, EndClaim)
    assert query_id not in rig.reducer.queries and query_id not in rig.scheduler.queries
    assert rig.reducer.reduce(events.ClaimDecided(query_id, 1, "RUN", "", None), 20) is not None
    assert query_id not in rig.scheduler.queries  # a repeated or late decision is ignored


def test_query_without_a_decision_is_rejected_at_its_deadline_and_its_claim_ends():
    rig = ReducerHarness()
    query_id, _ = rig.submit()
    effects = rig.reducer.reduce(events.AlarmDue(), 5 * SECOND)
    assert len(of_type(effects, RejectQuery)) == 1 and not of_type(effects, FailQuery)
    assert [(c.query, c.outcome) for c in of_type(effects, EndClaim)] == [(query_id, "not_run")]


def test_claim_ends_when_the_client_leaves():
    rig = ReducerHarness()
    query_id, _ = rig.submit()
    effects = rig.reducer.reduce(events.ClientGone(rig.count), 10)
    assert [(c.query, c.outcome) for c in of_type(effects, EndClaim)] == [(query_id, "not_run")]


@pytest.mark.parametrize(
    ("results", "outcome"),
    [
        ([], "not_run"),
        (["saturated", "unreached"], "not_run"),
        (["saturated", "finished"], "served"),
        (["errored"], "failed"),
        (["overdue"], "failed"),
    ],
)
def test_claim_ends_with_what_may_have_run(results, outcome):
    from hillchute.router.query_state import Attempt

    rig = ReducerHarness()
    query_id, _ = rig.submit()
    rig.decide(query_id, "RUN")
    q = rig.reducer.queries[query_id]
    q.attempts = [Attempt(q, n, 1, 0, 0, ended=True, result=result) for n, result in enumerate(results)]
    q.answered, q.rows = True, [[b"1"]]
    rig.reducer.context.begin_event(20, scheduler_notified=False)
    rig.reducer.forget(q)
    outcomes_now = [c.outcome for c in of_type(rig.reducer.context.effects, EndClaim)]
    outcomes_later = [
        c.outcome for c in of_type(rig.reducer.reduce(events.AlarmDue(), 10 * SECOND), EndClaim)
    ]
    # The next query of its key must not overtake an attempt that may still run.
    delayed = results == ["overdue"]
    assert (outcomes_now, outcomes_later) == (([], [outcome]) if delayed else ([outcome], []))


def test_no_claim_is_made_without_a_history():
    rig = ReducerHarness()
    rig.reducer.claims_idempotent = False
    query_id, effects = rig.submit()
    assert not of_type(effects, ClaimQuery) and query_id in rig.scheduler.queries


# ---- the operator file ----


def test_history_section_is_converted_to_retention_policies():
    text = """history: {number: 3, copies: 1, founded_ms: 5, default: {rows: true, least_ms: 5000},
      customers: [{name: "a", policy: {hold: true}}], forget: [{before_ms: 7, customer: "a", key: "k"}]}
      peers: {name: "a", listen: "127.0.0.1:1", others: []}"""
    policies = retention_policies(reading.parse_settings(text)["history"])
    assert (policies.number, policies.copies, policies.founded) == (3, 1, 50)
    assert policies.default == RetentionPolicy(rows=True, least_ms=5000) and policies.policy_for("a").hold
    assert policies.erasure_requests == (ErasureRequest(70, "a", "k"),)


def test_defaults_of_the_operator_file_are_those_of_the_retention_policies():
    text = 'history: {number: 1, default: {}}\npeers: {name: "a", listen: "127.0.0.1:1", others: []}'
    assert retention_policies(reading.parse_settings(text)["history"]) == RetentionPolicies(number=1)


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("history: {number: 0, default: {}}", "history.number"),
        ("history: {number: 1, default: {least_ms: 5}}", "history.default.least_ms"),
        ('history: {number: 1, default: {lost: "x"}}', "history.default.lost"),
        ("history: {number: 1, default: {}}", "history: expected `peers`"),
        ("history: {number: 1, default: {least_ms: 5000, most_ms: 4000}}", "history: default.least_ms"),
    ],
)
def test_invalid_history_settings_are_reported_with_their_path(text, path):
    peers = '\npeers: {name: "a", listen: "127.0.0.1:1", others: []}' if "expected" not in path else ""
    with pytest.raises(OperatorFileError, match=path):
        reading.parse_settings(text + peers)


# ---- messages in fragments ----


def test_message_is_reassembled_from_fragments_in_any_order_and_repeated():
    reassembler = fragmentation.Reassembler()
    message = bytes(range(256)) * 20
    fragments = list(fragmentation.split_message(1, message, 900))
    assert len(fragments) == 6
    results = [
        reassembler.add(0, "a", fragment) for fragment in [*fragments[:0:-1], *fragments[2:4], fragments[0]]
    ]
    assert results == [None] * 7 + [message]
    assert list(fragmentation.split_message(1, b"", 900)) and reassembler.incomplete == {"a": {}}


def test_incomplete_messages_are_bounded_in_number_and_age():
    reassembler = fragmentation.Reassembler()
    for number in range(500):
        fragment = fragmentation.fragment_encoder.encode(fragmentation.Fragment(number, 0, 2, b"x"))
        assert reassembler.add(0, "a", fragment) is None
    assert len(reassembler.incomplete["a"]) == fragmentation.MAX_INCOMPLETE_MESSAGES
    reassembler.add(
        fragmentation.REASSEMBLY_TIMEOUT + 1,
        "a",
        fragmentation.fragment_encoder.encode(fragmentation.Fragment(999, 0, 2, b"x")),
    )
    assert list(reassembler.incomplete["a"]) == [999]
    for invalid in (
        fragmentation.Fragment(1, 2, 2, b""),
        fragmentation.Fragment(1, 0, fragmentation.MAX_FRAGMENTS + 1, b""),
    ):
        with pytest.raises(InvalidDatagramError):
            reassembler.add(0, "a", fragmentation.fragment_encoder.encode(invalid))


# ---- the disk ----


def replica_on(path, policies=None, now=EPOCH) -> Replica:
    membership = Membership("n0", 1, ["n0"], lambda: {"n0": 1})
    policies = policies or initial_policies(copies=0, default=DISK)
    replica = Replica(membership, policies, now, SqliteStore(path))
    replica.restore(now, replica.durability.durable_store.read())
    return replica


def file_bytes(folder) -> bytes:
    return b"".join(file.read_bytes() for file in folder.iterdir())


def test_record_is_restored_from_the_disk(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    replica.records.put(record(rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    assert replica.durability.save(record(rows=b"seldom-seen-rows"))
    reopened = replica_on(tmp_path / "h.db")
    assert [k.record for k in reopened.records.all_records()] == [record(rows=b"seldom-seen-rows")]


def test_erased_record_is_not_in_any_byte_of_the_files(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    for n in range(300):
        replica.records.put(record(f"t{n}", rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    replica.durability.save_changes()
    assert not replica.records.unsaved and b"seldom-seen" in file_bytes(tmp_path)
    assert replica.apply_policies(
        EPOCH, RetentionPolicies(2, 0, default=DISK, erasure_requests=(ErasureRequest(EPOCH + 1),))
    )
    for after in range(1, 21):  # two seconds, the time that the policies allow for erasure
        replica.tick(EPOCH + after * SECOND // 10)
    assert b"seldom-seen" not in file_bytes(tmp_path)
    assert not list(replica_on(tmp_path / "h.db").records.all_records())


def test_erasure_request_applies_to_the_disk_of_a_restarted_router(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    replica.records.put(record(rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    replica.durability.save_changes()
    assert not replica.records.unsaved and b"seldom-seen" in file_bytes(tmp_path)
    policies = msgspec.structs.replace(
        replica.policies, number=2, erasure_requests=(ErasureRequest(EPOCH + 1),)
    )
    replica.durability.durable_store.connection.close()
    assert not list(replica_on(tmp_path / "h.db", policies, EPOCH + SECOND).records.all_records())
    assert b"seldom-seen" not in file_bytes(tmp_path)


def test_policy_without_disk_removes_records_from_it(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    replica.records.put(record(rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    assert replica.durability.save(record(rows=b"seldom-seen-rows"))
    replica.apply_policies(
        EPOCH, RetentionPolicies(2, 0, default=RetentionPolicy(rows=True, least_ms=20_000))
    )
    replica.tick(EPOCH + 1000)
    assert b"seldom-seen" not in file_bytes(tmp_path) and len(list(replica.records.all_records())) == 1


def test_restored_backup_of_the_disk_runs_nothing_twice(tmp_path):
    path, net = tmp_path / "h.db", HistoryNet(1, 1, initial_policies(copies=0, default=DISK))
    disk = SqliteStore(path)
    net.replicas["n0"].durability.durable_store = disk
    assert net.wait_until_settled()
    net.advance(61)  # past the founding period, in which an unknown key counts as new
    net.ask("n0", "first", "k")
    net.advance(3)
    disk.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    backup = path.read_bytes()
    net.ask("n0", "second", "k")
    net.advance(3)
    assert net.verdict_counts["RUN"] == 2
    net.kill("n0")
    disk.close()
    for file in tmp_path.iterdir():
        file.unlink()
    path.write_bytes(backup)
    net.start("n0")
    replica = net.replicas["n0"]
    replica.durability.durable_store = SqliteStore(path)
    replica.restore(net.now, replica.durability.durable_store.read())
    assert net.wait_until_settled()
    net.ask("n0", "first", "k")
    net.ask("n0", "second", "k")
    net.advance(6)
    assert net.verdict_counts["RUN"] == 2 and net.verdict_counts["REJECT"] >= 1 and not net.broken_rules
    assert (
        replica.records.find("", "k", "first").record.state == RecordState.SERVED
        and net.verdict_counts["REPLAY"] == 1
    )


def test_full_disk_grants_no_claims_until_there_is_space(tmp_path):
    net = HistoryNet(1, 1, initial_policies(copies=0, default=DISK))
    disk = net.replicas["n0"].durability.durable_store = SqliteStore(tmp_path / "h.db")
    assert net.wait_until_settled()
    (pages,) = disk.connection.execute("PRAGMA page_count").fetchone()
    disk.connection.execute(f"PRAGMA max_page_count = {pages}")
    for n in range(40):
        net.ask("n0", f"t{n}", f"k{n}" + "x" * 100)
    net.advance(6)
    refused = net.verdict_counts["REJECT"]
    assert refused > 0 and net.verdict_counts["RUN"] + refused == 40
    (error,) = disk.faults()
    assert "full" in str(error) and error.remedy and not disk.faults()
    disk.connection.execute("PRAGMA max_page_count = 100000")
    net.ask("n0", "late", "k")
    net.advance(3)
    assert net.verdict_counts["REJECT"] == refused and not net.broken_rules


def test_damaged_or_read_only_disk_is_reported(tmp_path):
    path = tmp_path / "h.db"
    SqliteStore(path).close()
    path.write_bytes(b"no database at all" * 500)
    with pytest.raises(HistoryStorageError) as error:
        SqliteStore(path)
    assert str(path) in str(error.value)
    with pytest.raises(HistoryStorageError):
        SqliteStore(tmp_path / "no folder" / "h.db")
    other_path = tmp_path / "o.db"
    disk = SqliteStore(other_path)
    disk.connection.execute("PRAGMA query_only = ON")  # like a file system that becomes read-only
    assert not disk.write({("", "k", "t"): record()}, {("", "k", "t"): EPOCH})
    assert len(disk.faults()) == 1
    assert stat.S_ISREG(other_path.stat().st_mode)


def test_rows_on_the_disk_that_cannot_be_read_are_erased(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    for token in ("a", "b"):
        replica.records.put(record(token), EPOCH, 0, replica.policies)
    replica.durability.save_changes()
    with sqlite3.connect(tmp_path / "h.db") as db:
        db.execute("UPDATE records SET body = x'93c0' WHERE token = 'a'")
    reopened = replica_on(tmp_path / "h.db")
    assert [k.record.idempotency_key for k in reopened.records.all_records()] == ["b"]
    assert reopened.durability.durable_store.counters["unreadable"] == 1
    with sqlite3.connect(tmp_path / "h.db") as db:
        assert db.execute("SELECT token FROM records").fetchall() == [("b",)]


def test_replica_without_the_required_disk_grants_no_claim():
    net = HistoryNet(1, 3, initial_policies(copies=1, default=DISK))
    assert net.wait_until_settled()
    net.ask("n0", "t", "k")
    net.advance(6)
    assert not net.runs["t"] and net.verdict_counts["REJECT"] == 1


def test_attempt_in_flight_when_the_only_router_ended_is_not_run_again(tmp_path):
    path, net = tmp_path / "h.db", HistoryNet(2, 1, initial_policies(copies=0, default=DISK))
    net.replicas["n0"].durability.durable_store = SqliteStore(path)
    assert net.wait_until_settled()
    net.ask("n0", "t", "k")
    while not net.runs["t"]:
        net.advance(0.05)
    net.kill("n0")
    net.start("n0")
    replica = net.replicas["n0"]
    replica.durability.durable_store = SqliteStore(path)
    replica.restore(net.now, replica.durability.durable_store.read())
    assert [k.record.state for k in replica.records.all_records()] == [RecordState.RUNNING]
    assert net.wait_until_settled()
    net.ask("n0", "t", "k")
    net.advance(40)
    net.ask("n0", "t", "k")
    net.advance(6)
    assert (net.verdict_counts["RUN"], net.verdict_counts["REJECT"], net.verdict_counts["FAIL"]) == (1, 1, 1)


# ---- processes ----


@pytest.mark.real_time
def test_retries_over_many_processes_run_nothing_twice_under_faults():
    report = anyio.run(partial(processes.run, 7, 30.0, history=True))
    assert not report["broken_rules"], report["first_broken"]
    assert not report["ran_twice"] and not report["kept_too_long"]
    assert not report["bad_exits"] and not report["router_faults"]
    assert report["replayed"] > 5 and report["resent"] > 10
    assert report["served_share"] > 0.5
