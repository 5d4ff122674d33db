"""The answer history on routers that run: the reducer's side, the disk, processes with faults between."""

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
from hillchute.lab.history_net import EPOCH, HistoryNet, founded
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


def record(token="t", state=RecordState.SERVED, rows=b"rows", key="k", **about):
    whose = {"router": "n0", "incarnation": 1, "claim_number": 1, "timeout": SECOND} | about
    return Record("", key, token, EPOCH, 1, 1, state=state, rows=rows, **whose)


# ---- the reducer's side ----


class Rig:
    """A reducer whose keyed queries wait for the history's word; one engine, in reach."""

    def __init__(self):
        names = {f"groups.{n}.name": name for n, name in enumerate(("lookup", "report", "load", "write"))}
        names["limits.open_cap"] = 100
        settings = Settings.from_catalog(CATALOG | names)
        self.scheduler = QueryScheduler(7, settings, 0)
        self.reducer = Reducer(self.scheduler, settings, 8)
        self.reducer.claims_idempotent = True
        self.group = "load"
        self.count = 0

    def ask(self, token="ab", now=0, patience=5 * SECOND):
        self.count += 1
        id = f"{self.count:016x}"
        request = Request(id, self.group, patience, b"UPDATE t SET a = 1", token, 1000, 1.0, "cd", "a")
        return id, self.reducer.reduce(events.Asked(self.count, request, now), now)

    def judged(self, id, verdict, rows=None, now=10):
        number = self.reducer.queries[id].number
        return self.reducer.reduce(events.ClaimDecided(id, number, verdict, "why", rows), now)


def of(effects, *kinds):
    return [e for e in effects if isinstance(e, kinds)]


def test_keyed_query_waits_for_the_historys_word_and_then_goes_on():
    rig = Rig()
    id, said = rig.ask()
    (claim,) = of(said, ClaimQuery)
    assert (claim.query, claim.customer, claim.key, claim.token) == (id, "a", "cd", "ab")
    assert 0 < claim.time_left <= 5 * SECOND
    assert id not in rig.scheduler.queries
    rig.judged(id, "RUN")
    assert id in rig.scheduler.queries


@pytest.mark.parametrize(
    ("verdict", "effect"), [("REPLAY", SendResult), ("REJECT", RejectQuery), ("FAIL", FailQuery)]
)
def test_word_that_is_no_run_is_the_answer(verdict, effect):
    rig = Rig()
    id, _ = rig.ask()
    said = rig.judged(id, verdict, [[b"1"], [b"2"], [b"3"]])
    assert len(of(said, effect)) == 1 and not of(said, EndClaim)
    assert id not in rig.reducer.queries and id not in rig.scheduler.queries
    assert rig.reducer.reduce(events.ClaimDecided(id, 1, "RUN", "", None), 20) is not None
    assert id not in rig.scheduler.queries  # a word that comes again, or late, is nobody's


def test_query_without_a_word_is_deferred_at_its_end_and_its_claim_is_freed():
    rig = Rig()
    id, _ = rig.ask()
    said = rig.reducer.reduce(events.AlarmDue(), 5 * SECOND)
    assert len(of(said, RejectQuery)) == 1 and not of(said, FailQuery)
    assert [(c.query, c.outcome) for c in of(said, EndClaim)] == [(id, "not_run")]


def test_client_that_leaves_frees_its_claim():
    rig = Rig()
    id, _ = rig.ask()
    said = rig.reducer.reduce(events.Left(rig.count), 10)
    assert [(c.query, c.outcome) for c in of(said, EndClaim)] == [(id, "not_run")]


@pytest.mark.parametrize(
    ("results", "how"),
    [
        ([], "not_run"),
        (["saturated", "unreached"], "not_run"),
        (["saturated", "finished"], "served"),
        (["errored"], "failed"),
        (["overdue"], "failed"),
    ],
)
def test_history_hears_what_may_have_run(results, how):
    from hillchute.router.query_state import Attempt

    rig = Rig()
    id, _ = rig.ask()
    rig.judged(id, "RUN")
    q = rig.reducer.queries[id]
    q.attempts = [Attempt(q, n, 1, 0, 0, ended=True, result=result) for n, result in enumerate(results)]
    q.answered, q.rows = True, [[b"1"]]
    rig.reducer.context.begin_event(20, scheduler_notified=False)
    rig.reducer.forget(q)
    now = [c.outcome for c in of(rig.reducer.context.effects, EndClaim)]
    later = [c.outcome for c in of(rig.reducer.reduce(events.AlarmDue(), 10 * SECOND), EndClaim)]
    pause = results == ["overdue"]  # the next of its key must not overtake what may still run
    assert (now, later) == (([], [how]) if pause else ([how], []))


def test_without_a_history_nothing_is_asked():
    rig = Rig()
    rig.reducer.claims_idempotent = False
    id, said = rig.ask()
    assert not of(said, ClaimQuery) and id in rig.scheduler.queries


# ---- the operator file ----


def test_operator_files_history_becomes_a_book():
    text = """history: {number: 3, copies: 1, founded_ms: 5, default: {rows: true, least_ms: 5000},
      customers: [{name: "a", policy: {hold: true}}], forget: [{before_ms: 7, customer: "a", key: "k"}]}
      peers: {name: "a", listen: "127.0.0.1:1", others: []}"""
    book = retention_policies(reading.hold(text)["history"])
    assert (book.number, book.copies, book.founded) == (3, 1, 50)
    assert book.default == RetentionPolicy(rows=True, least_ms=5000) and book.policy_for("a").hold
    assert book.erasure_requests == (ErasureRequest(70, "a", "k"),)


def test_defaults_of_the_operator_file_are_those_of_the_book():
    text = 'history: {number: 1, default: {}}\npeers: {name: "a", listen: "127.0.0.1:1", others: []}'
    assert retention_policies(reading.hold(text)["history"]) == RetentionPolicies(number=1)


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
def test_faulty_history_is_named_by_its_path(text, path):
    peers = '\npeers: {name: "a", listen: "127.0.0.1:1", others: []}' if "expected" not in path else ""
    with pytest.raises(OperatorFileError, match=path):
        reading.hold(text + peers)


# ---- messages in fragments ----


def test_message_comes_whole_from_pieces_in_any_order_and_twice():
    reassembler = fragmentation.Reassembler()
    message = bytes(range(256)) * 20
    pieces = list(fragmentation.split_message(1, message, 900))
    assert len(pieces) == 6
    told = [reassembler.add(0, "a", piece) for piece in [*pieces[:0:-1], *pieces[2:4], pieces[0]]]
    assert told == [None] * 7 + [message]
    assert list(fragmentation.split_message(1, b"", 900)) and reassembler.incomplete == {"a": {}}


def test_pieces_that_never_become_whole_are_bounded_and_end():
    reassembler = fragmentation.Reassembler()
    for number in range(500):
        piece = fragmentation.fragment_encoder.encode(fragmentation.Fragment(number, 0, 2, b"x"))
        assert reassembler.add(0, "a", piece) is None
    assert len(reassembler.incomplete["a"]) == fragmentation.MAX_INCOMPLETE_MESSAGES
    reassembler.add(
        fragmentation.REASSEMBLY_TIMEOUT + 1,
        "a",
        fragmentation.fragment_encoder.encode(fragmentation.Fragment(999, 0, 2, b"x")),
    )
    assert list(reassembler.incomplete["a"]) == [999]
    for bad in (
        fragmentation.Fragment(1, 2, 2, b""),
        fragmentation.Fragment(1, 0, fragmentation.MAX_FRAGMENTS + 1, b""),
    ):
        with pytest.raises(InvalidDatagramError):
            reassembler.add(0, "a", fragmentation.fragment_encoder.encode(bad))


# ---- the disk ----


def replica_on(path, book=None, now=EPOCH) -> Replica:
    membership = Membership("n0", 1, ["n0"], lambda: {"n0": 1})
    policies = book or founded(copies=0, default=DISK)
    replica = Replica(membership, policies, now, SqliteStore(path))
    replica.recall(now, replica.durability.durable_store.read())
    return replica


def bytes_of(folder) -> bytes:
    return b"".join(file.read_bytes() for file in folder.iterdir())


def test_record_is_on_the_disk_and_comes_back(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    replica.records.put(record(rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    assert replica.durability.save(record(rows=b"seldom-seen-rows"))
    again = replica_on(tmp_path / "h.db")
    assert [k.record for k in again.records.all_records()] == [record(rows=b"seldom-seen-rows")]


def test_what_is_forgotten_is_in_none_of_the_files_bytes(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    for n in range(300):
        replica.records.put(record(f"t{n}", rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    replica.durability.save_changes()
    assert not replica.records.unsaved and b"seldom-seen" in bytes_of(tmp_path)
    assert replica.apply_policies(
        EPOCH, RetentionPolicies(2, 0, default=DISK, erasure_requests=(ErasureRequest(EPOCH + 1),))
    )
    for after in range(1, 21):  # two seconds, the book's time for erasing
        replica.tick(EPOCH + after * SECOND // 10)
    assert b"seldom-seen" not in bytes_of(tmp_path)
    assert not list(replica_on(tmp_path / "h.db").records.all_records())


def test_what_is_to_be_forgotten_when_a_router_starts_again_leaves_its_disk(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    replica.records.put(record(rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    replica.durability.save_changes()
    assert not replica.records.unsaved and b"seldom-seen" in bytes_of(tmp_path)
    book = msgspec.structs.replace(replica.policies, number=2, erasure_requests=(ErasureRequest(EPOCH + 1),))
    replica.durability.durable_store.connection.close()
    assert not list(replica_on(tmp_path / "h.db", book, EPOCH + SECOND).records.all_records())
    assert b"seldom-seen" not in bytes_of(tmp_path)


def test_policy_that_wants_no_disk_takes_records_off_it(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    replica.records.put(record(rows=b"seldom-seen-rows"), EPOCH, 0, replica.policies)
    assert replica.durability.save(record(rows=b"seldom-seen-rows"))
    replica.apply_policies(
        EPOCH, RetentionPolicies(2, 0, default=RetentionPolicy(rows=True, least_ms=20_000))
    )
    replica.tick(EPOCH + 1000)
    assert b"seldom-seen" not in bytes_of(tmp_path) and len(list(replica.records.all_records())) == 1


def test_copy_of_yesterday_knows_less_and_runs_nothing_for_it(tmp_path):
    path, net = tmp_path / "h.db", HistoryNet(1, 1, founded(copies=0, default=DISK))
    disk = SqliteStore(path)
    net.replicas["n0"].durability.durable_store = disk
    assert net.settled()
    net.advance(61)  # past the founding: until then what nobody holds is what nobody had
    net.ask("n0", "first", "k")
    net.advance(3)
    disk.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    yesterday = path.read_bytes()
    net.ask("n0", "second", "k")
    net.advance(3)
    assert net.said["RUN"] == 2
    net.kill("n0")
    disk.close()
    for file in tmp_path.iterdir():
        file.unlink()
    path.write_bytes(yesterday)
    net.start("n0")
    replica = net.replicas["n0"]
    replica.durability.durable_store = SqliteStore(path)
    replica.recall(net.now, replica.durability.durable_store.read())
    assert net.settled()
    net.ask("n0", "first", "k")
    net.ask("n0", "second", "k")
    net.advance(6)
    assert net.said["RUN"] == 2 and net.said["REJECT"] >= 1 and not net.rule
    assert (
        replica.records.find("", "k", "first").record.state == RecordState.SERVED and net.said["REPLAY"] == 1
    )


def test_full_disk_grants_nothing_that_wants_it_and_goes_on_once_there_is_room(tmp_path):
    net = HistoryNet(1, 1, founded(copies=0, default=DISK))
    disk = net.replicas["n0"].durability.durable_store = SqliteStore(tmp_path / "h.db")
    assert net.settled()
    (pages,) = disk.connection.execute("PRAGMA page_count").fetchone()
    disk.connection.execute(f"PRAGMA max_page_count = {pages}")
    for n in range(40):
        net.ask("n0", f"t{n}", f"k{n}" + "x" * 100)
    net.advance(6)
    refused = net.said["REJECT"]
    assert refused > 0 and net.said["RUN"] + refused == 40
    (fault,) = disk.faults()
    assert "full" in str(fault) and fault.remedy and not disk.faults()
    disk.connection.execute("PRAGMA max_page_count = 100000")
    net.ask("n0", "late", "k")
    net.advance(3)
    assert net.said["REJECT"] == refused and not net.rule


def test_disk_that_is_read_only_or_damaged_is_said_so(tmp_path):
    path = tmp_path / "h.db"
    SqliteStore(path).close()
    path.write_bytes(b"no database at all" * 500)
    with pytest.raises(HistoryStorageError) as fault:
        SqliteStore(path)
    assert str(path) in str(fault.value)
    with pytest.raises(HistoryStorageError):
        SqliteStore(tmp_path / "no folder" / "h.db")
    other = tmp_path / "o.db"
    disk = SqliteStore(other)
    disk.connection.execute("PRAGMA query_only = ON")  # as a file system that turns read-only
    assert not disk.write({("", "k", "t"): record()}, {("", "k", "t"): EPOCH})
    assert len(disk.faults()) == 1
    assert stat.S_ISREG(other.stat().st_mode)


def test_rows_on_the_disk_that_cannot_be_read_are_erased(tmp_path):
    replica = replica_on(tmp_path / "h.db")
    for token in ("a", "b"):
        replica.records.put(record(token), EPOCH, 0, replica.policies)
    replica.durability.save_changes()
    with sqlite3.connect(tmp_path / "h.db") as db:
        db.execute("UPDATE records SET body = x'93c0' WHERE token = 'a'")
    again = replica_on(tmp_path / "h.db")
    assert [k.record.idempotency_key for k in again.records.all_records()] == ["b"]
    assert again.durability.durable_store.counters["unreadable"] == 1
    with sqlite3.connect(tmp_path / "h.db") as db:
        assert db.execute("SELECT token FROM records").fetchall() == [("b",)]


def test_holder_without_the_disk_that_a_policy_wants_grants_nothing():
    net = HistoryNet(1, 3, founded(copies=1, default=DISK))
    assert net.settled()
    net.ask("n0", "t", "k")
    net.advance(6)
    assert not net.runs["t"] and net.said["REJECT"] == 1


def test_run_that_was_out_when_the_only_router_ended_is_not_run_again(tmp_path):
    path, net = tmp_path / "h.db", HistoryNet(2, 1, founded(copies=0, default=DISK))
    net.replicas["n0"].durability.durable_store = SqliteStore(path)
    assert net.settled()
    net.ask("n0", "t", "k")
    while not net.runs["t"]:
        net.advance(0.05)
    net.kill("n0")
    net.start("n0")
    replica = net.replicas["n0"]
    replica.durability.durable_store = SqliteStore(path)
    replica.recall(net.now, replica.durability.durable_store.read())
    assert [k.record.state for k in replica.records.all_records()] == [RecordState.RUNNING]
    assert net.settled()
    net.ask("n0", "t", "k")
    net.advance(40)
    net.ask("n0", "t", "k")
    net.advance(6)
    assert (net.said["RUN"], net.said["REJECT"], net.said["FAIL"]) == (1, 1, 1)


# ---- processes ----


@pytest.mark.real_time
def test_resends_over_a_fleet_of_processes_run_nothing_twice_while_faults_strike():
    found = anyio.run(partial(processes.run, 7, 30.0, history=True))
    assert not found["broken_rules"], found["first_broken"]
    assert not found["ran_twice"] and not found["kept_too_long"]
    assert not found["bad_exits"] and not found["router_faults"]
    assert found["replayed"] > 5 and found["resent"] > 10
    assert found["served_share"] > 0.5
