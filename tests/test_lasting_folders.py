"""Durability of stored files: what was acknowledged survives full and failing disks and torn writes."""

import errno
import os
import sqlite3

import pytest

from hillchute.errors import SignatureJournalError
from hillchute.history.records import Record
from hillchute.history.sqlite_store import SqliteStore
from hillchute.lab.history_net import EPOCH
from hillchute.partners import signature_journal
from hillchute.partners.signature_journal import SignatureJournal

SAVE_STEPS = ("open", "write", "fsync", "replace", "sync_directory")


class FailingSave:
    """Makes one step of SignatureJournal.save fail; a failing write first writes `torn` bytes."""

    def __init__(self, monkeypatch, step, error, torn=0):
        self.step, self.error, self.torn = step, error, torn
        self.real_open, self.real_fsync, self.real_replace = (
            type(signature_journal.Path()).open,
            os.fsync,
            os.replace,
        )
        monkeypatch.setattr(type(signature_journal.Path()), "open", lambda path, mode: self.open(path, mode))
        monkeypatch.setattr(signature_journal.os, "fsync", self.fsync)
        monkeypatch.setattr(signature_journal.os, "replace", self.replace)
        monkeypatch.setattr(signature_journal, "sync_directory", self.sync_directory)

    def fail(self, step):
        if step == self.step:
            raise OSError(self.error, os.strerror(self.error))

    def open(self, path, mode):
        self.fail("open")
        file = self.real_open(path, mode)
        if self.step == "write" and mode != "rb+":
            return TornFile(file, self)
        return file

    def fsync(self, number):
        self.fail("fsync")
        self.real_fsync(number)

    def replace(self, old, new):
        self.fail("replace")
        self.real_replace(old, new)

    def sync_directory(self, path):
        self.fail("sync_directory")


class TornFile:
    """A file whose write stores some bytes, then fails."""

    def __init__(self, file, failing):
        self.file, self.failing = file, failing

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()

    def write(self, data):
        self.file.write(data[: self.failing.torn])
        self.file.flush()
        self.failing.fail("write")

    def close(self):
        self.file.close()


def digest(number):
    return bytes([number]) * 4


@pytest.fixture
def path(tmp_path):
    return tmp_path / "signatures"


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
@pytest.mark.parametrize(
    ("step", "torn"),
    [(step, 0) for step in SAVE_STEPS if step != "write"] + [("write", n) for n in range(12)],
)
@pytest.mark.parametrize("killed", [False, True], ids=["continues", "killed"])
def test_acknowledged_signature_survives_a_failing_disk(path, step, torn, error, killed):
    """One step fails in two saves, then the disk works again. The process may be killed after each save."""
    file = SignatureJournal(path)
    assert file.save(1, digest(1))
    for _ in range(2):
        with pytest.MonkeyPatch.context() as patched:
            FailingSave(patched, step, error, torn)
            acknowledged = file.save(2, digest(2))
        assert acknowledged or isinstance(file.error, SignatureJournalError)
        if killed:
            file = SignatureJournal(path)
            assert file.signed[1] == digest(1)
            assert not acknowledged or file.signed[2] == digest(2)
    assert file.save(3, digest(3)) and file.error is None  # without a restart
    stored = SignatureJournal(path).signed
    assert stored[1] == digest(1) and stored[3] == digest(3)
    assert set(stored) <= {1, 2, 3}


def test_failed_sync_is_followed_by_a_complete_rewrite(path, monkeypatch):
    """After a failed sync the kernel may have dropped earlier pages, so all lines are written again."""
    file = SignatureJournal(path)
    file.save(1, digest(1))
    with pytest.MonkeyPatch.context() as patched:
        FailingSave(patched, "fsync", errno.EIO)
        assert not file.save(2, digest(2))
    path.write_bytes(b"\0" * 40)  # stands for a lost page
    assert file.save(2, digest(2))
    assert SignatureJournal(path).signed == {1: digest(1), 2: digest(2)}


@pytest.fixture
def some_record():
    def record(number):
        return Record("c", f"k{number}", f"t{number}", EPOCH, 1, 1, "a", 1, number, 10_000, rows=b"x" * 500)

    return record


class FaultyConnection:
    """A sqlite connection whose statement with this number fails."""

    def __init__(self, db, number, error):
        self.db, self.number, self.error, self.count = db, number, error, 0

    def execute(self, *arguments):
        self.count += 1
        if self.count == self.number:
            raise self.error
        return self.db.execute(*arguments)

    @property
    def in_transaction(self):
        return self.db.in_transaction

    def close(self):
        self.db.close()


ERRORS = [
    sqlite3.OperationalError("disk I/O error"),
    sqlite3.OperationalError("database or disk is full"),
    sqlite3.OperationalError("database is locked"),
]


@pytest.mark.parametrize("error", ERRORS, ids=str)
def test_acknowledged_record_is_read_back_whichever_statement_failed(tmp_path, error, some_record):
    number = 0
    while True:
        number += 1
        path = tmp_path / f"{number}.db"
        store = SqliteStore(path)
        first, second, third = (some_record(n) for n in range(3))
        assert store.write({first.id: first}, {first.id: EPOCH})
        connection, store.connection = store.connection, FaultyConnection(store.connection, number, error)
        changes = {first.id: None, second.id: second}
        acknowledged = store.write(changes, {second.id: EPOCH})
        statement_reached = store.connection.count >= number
        store.connection = connection
        assert acknowledged != (statement_reached and bool(store.faults()))
        assert store.write({third.id: third}, {third.id: EPOCH})  # without a restart
        stored = {record.id for record, _ in SqliteStore(path).read()}
        assert third.id in stored
        if acknowledged:
            assert second.id in stored and first.id not in stored
        else:
            assert (first.id in stored) != (second.id in stored)  # the transaction is atomic
        if not statement_reached:
            break
    assert number > 4


def test_write_to_a_full_disk_is_not_acknowledged_and_succeeds_once_there_is_space(tmp_path, some_record):
    store = SqliteStore(tmp_path / "h.db")
    single = some_record(1)
    assert store.write({single.id: single}, {single.id: EPOCH})
    (pages,) = store.connection.execute("PRAGMA page_count").fetchone()
    store.connection.execute(f"PRAGMA max_page_count = {pages}")
    records = [some_record(n) for n in range(2, 400)]
    assert not store.write({r.id: r for r in records}, {r.id: EPOCH for r in records})
    assert store.faults()[0].remedy
    store.connection.execute("PRAGMA max_page_count = 1000000")
    assert store.write({r.id: r for r in records}, {r.id: EPOCH for r in records})
    assert len(list(SqliteStore(tmp_path / "h.db").read())) == 399


def test_write_to_a_locked_file_is_not_acknowledged(tmp_path, some_record, monkeypatch):
    monkeypatch.setattr("hillchute.history.sqlite_store.LOCK_TIMEOUT", 0.01)
    store = SqliteStore(tmp_path / "h.db")
    other = sqlite3.connect(tmp_path / "h.db", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    single = some_record(1)
    assert not store.write({single.id: single}, {single.id: EPOCH})
    other.execute("ROLLBACK")
    assert store.write({single.id: single}, {single.id: EPOCH})
