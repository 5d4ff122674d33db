"""Files that must last: full, failing and half-written disks; what was acknowledged is still there."""

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

CALLS = ("open", "write", "fsync", "replace", "folder")


class Failing:
    """Makes one step of saving a mark fail, after it wrote `torn` bytes where it is a write."""

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
        monkeypatch.setattr(signature_journal, "sync_directory", self.folder)

    def fail(self, step):
        if step == self.step:
            raise OSError(self.error, os.strerror(self.error))

    def open(self, path, mode):
        self.fail("open")
        file = self.real_open(path, mode)
        if self.step == "write" and mode != "rb+":
            return Torn(file, self)
        return file

    def fsync(self, number):
        self.fail("fsync")
        self.real_fsync(number)

    def replace(self, old, new):
        self.fail("replace")
        self.real_replace(old, new)

    def folder(self, path):
        self.fail("folder")


class Torn:
    """A file of which a write takes some bytes, then fails."""

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


def mark(number):
    return bytes([number]) * 4


@pytest.fixture
def path(tmp_path):
    return tmp_path / "marks"


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
@pytest.mark.parametrize(
    ("step", "torn"), [(step, 0) for step in CALLS if step != "write"] + [("write", n) for n in range(12)]
)
@pytest.mark.parametrize("killed", [False, True], ids=["goes on", "killed"])
def test_mark_is_there_if_and_only_if_it_was_acknowledged(path, step, torn, error, killed):
    """One save fails, twice in a row; then the disk is sound again. The program may be killed in between."""
    file = SignatureJournal(path)
    assert file.save(1, mark(1))
    for _ in range(2):
        with pytest.MonkeyPatch.context() as patch:
            Failing(patch, step, error, torn)
            acknowledged = file.save(2, mark(2))
        assert acknowledged or isinstance(file.error, SignatureJournalError)
        if killed:
            file = SignatureJournal(path)
            assert file.signed[1] == mark(1)
            assert not acknowledged or file.signed[2] == mark(2)
    assert file.save(3, mark(3)) and file.error is None  # no restart was needed
    known = SignatureJournal(path).signed
    assert known[1] == mark(1) and known[3] == mark(3)
    assert set(known) <= {1, 2, 3}


def test_sync_that_failed_is_not_made_good_by_the_next(path, monkeypatch):
    """The lines before are written again: what the kernel dropped after a failed sync is not on the disk."""
    file = SignatureJournal(path)
    file.save(1, mark(1))
    with pytest.MonkeyPatch.context() as patch:
        Failing(patch, "fsync", errno.EIO)
        assert not file.save(2, mark(2))
    path.write_bytes(b"\0" * 40)  # the page was lost
    assert file.save(2, mark(2))
    assert SignatureJournal(path).signed == {1: mark(1), 2: mark(2)}


@pytest.fixture
def some_record():
    def record(number):
        return Record("c", f"k{number}", f"t{number}", EPOCH, 1, 1, "a", 1, number, 10_000, rows=b"x" * 500)

    return record


class Faulty:
    """A connection to sqlite of which the n-th statement fails."""

    def __init__(self, db, number, error):
        self.db, self.number, self.error, self.count = db, number, error, 0

    def execute(self, *about):
        self.count += 1
        if self.count == self.number:
            raise self.error
        return self.db.execute(*about)

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
def test_record_that_was_acknowledged_is_read_again_whichever_statement_failed(tmp_path, error, some_record):
    number = 0
    while True:
        number += 1
        path = tmp_path / f"{number}.db"
        disk = SqliteStore(path)
        first, second, third = (some_record(n) for n in range(3))
        assert disk.write({first.id: first}, {first.id: EPOCH})
        sound, disk.connection = disk.connection, Faulty(disk.connection, number, error)
        moved = {first.id: None, second.id: second}
        acknowledged = disk.write(moved, {second.id: EPOCH})
        reached = disk.connection.count >= number
        disk.connection = sound
        assert acknowledged != (reached and bool(disk.faults()))
        assert disk.write({third.id: third}, {third.id: EPOCH})  # it goes on without a restart
        known = {record.id for record, _ in SqliteStore(path).read()}
        assert third.id in known
        if acknowledged:
            assert second.id in known and first.id not in known
        else:
            assert (first.id in known) != (second.id in known)  # whole or not at all
        if not reached:
            break
    assert number > 4


def test_disk_that_is_full_is_no_acknowledgement_and_serves_again_with_room(tmp_path, some_record):
    disk = SqliteStore(tmp_path / "h.db")
    one = some_record(1)
    assert disk.write({one.id: one}, {one.id: EPOCH})
    (pages,) = disk.connection.execute("PRAGMA page_count").fetchone()
    disk.connection.execute(f"PRAGMA max_page_count = {pages}")
    many = [some_record(n) for n in range(2, 400)]
    assert not disk.write({r.id: r for r in many}, {r.id: EPOCH for r in many})
    assert disk.faults()[0].remedy
    disk.connection.execute("PRAGMA max_page_count = 1000000")
    assert disk.write({r.id: r for r in many}, {r.id: EPOCH for r in many})
    assert len(list(SqliteStore(tmp_path / "h.db").read())) == 399


def test_file_that_another_process_holds_is_no_acknowledgement(tmp_path, some_record, monkeypatch):
    monkeypatch.setattr("hillchute.history.sqlite_store.LOCK_TIMEOUT", 0.01)
    disk = SqliteStore(tmp_path / "h.db")
    other = sqlite3.connect(tmp_path / "h.db", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    one = some_record(1)
    assert not disk.write({one.id: one}, {one.id: EPOCH})
    other.execute("ROLLBACK")
    assert disk.write({one.id: one}, {one.id: EPOCH})
