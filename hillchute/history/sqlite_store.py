"""Records on a disk that lasts, in sqlite3: written before they are relied on, erased so that their bytes go.

Owns the file, its layout, and what a fault of the disk does. It does not decide what is kept, and makes no
slot complete: what a disk holds is known, but whether it is all that there was, no disk can say. Therefore an
old copy of the file is no danger: it knows less, and what it does not know is not run because of it.
"""

import sqlite3
from collections import Counter
from collections.abc import Iterator, Mapping
from pathlib import Path

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import HistoryStorageError
from hillchute.history.codec import first_record_field_out_of_bounds
from hillchute.history.records import Record, RecordId

LAYOUT = 1  # the file's; of others nothing is read
LOCK_TIMEOUT = 1.0  # seconds that another process may hold the file before a write is given up
MAX_LOG_SIZE = 4 << 20  # bytes of the write-ahead log that stay after a checkpoint

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)

# The columns' names are those of stored files.
CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS records (customer TEXT, key TEXT, token TEXT, since INTEGER,"
    " body BLOB, PRIMARY KEY (customer, key, token)) WITHOUT ROWID"
)
SELECT_ALL = "SELECT customer, key, token, body, since FROM records"
DELETE_ONE = "DELETE FROM records WHERE customer = ? AND key = ? AND token = ?"
INSERT_ONE = "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?)"


class SqliteStore:
    """The durable store of one replica's records."""

    def __init__(self, path: str | Path) -> None:
        """Opens the file, or creates it. Raises HistoryStorageError for one that is damaged, read-only, or
        can't be opened."""
        self.path = Path(path)
        self.counters: Counter[str] = Counter()
        self._reported_faults = 0
        self._last_fault = ""
        try:
            self.connection = sqlite3.connect(self.path, timeout=LOCK_TIMEOUT, isolation_level=None)
            self._prepare()
        except (sqlite3.Error, OSError) as error:
            raise HistoryStorageError(str(error), str(self.path)) from error

    def _prepare(self) -> None:
        execute = self.connection.execute
        execute("PRAGMA journal_mode = WAL")
        execute("PRAGMA synchronous = FULL")  # it is there before anybody relies on it
        execute("PRAGMA secure_delete = ON")  # what is erased is overwritten
        execute(f"PRAGMA journal_size_limit = {MAX_LOG_SIZE}")
        (check,) = execute("PRAGMA quick_check(1)").fetchone()
        if check != "ok":
            raise sqlite3.DatabaseError(check)
        (layout,) = execute("PRAGMA user_version").fetchone()
        if layout not in (0, LAYOUT):
            raise sqlite3.DatabaseError(f"layout {layout}, {LAYOUT} is known")
        execute(CREATE_TABLE)
        execute(f"PRAGMA user_version = {LAYOUT}")

    def read(self) -> Iterator[tuple[Record, Time]]:
        """All records that are there, with the Unix time since when each is kept. What can't be read is
        removed: a record less is a query that is not answered, never one that runs twice."""
        try:
            rows = self.connection.execute(SELECT_ALL).fetchall()
        except sqlite3.Error as error:
            self._note_fault(error)
            return
        unreadable: dict[RecordId, Record | None] = {}
        for customer, ordering_key, idempotency_key, body, since in rows:
            record = _decoded(body)
            if record is None or not isinstance(since, int):
                # Nobody could tell when it has to be erased.
                unreadable[RecordId(customer, ordering_key, idempotency_key)] = None
                self.counters["unreadable"] += 1
            else:
                yield record, since
        if unreadable:
            self.write(unreadable, {})

    def write(self, changes: Mapping[RecordId, Record | None], since: Mapping[RecordId, Time]) -> bool:
        """Writes all changes or none; whether they are there. None is a removal, of the bytes, too."""
        try:
            self._write_transaction(changes, since)
            if None in changes.values():
                self._scrub()
        except sqlite3.Error as error:
            self._note_fault(error)
            return False
        self.counters["written"] += len(changes)
        return True

    def _write_transaction(
        self, changes: Mapping[RecordId, Record | None], since: Mapping[RecordId, Time]
    ) -> None:
        self.connection.execute("BEGIN IMMEDIATE")
        try:
            for record_id, record in changes.items():
                if record is None:
                    self.connection.execute(DELETE_ONE, record_id)
                else:
                    row = (*record_id, since[record_id], _encoder.encode(record))
                    self.connection.execute(INSERT_ONE, row)
            self.connection.execute("COMMIT")
        except sqlite3.Error:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise

    def _scrub(self) -> None:
        """Overwrites in the file what was erased; until then it stands in the write-ahead log."""
        busy, *_ = self.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        self.counters["scrub put off"] += bool(busy)

    def _note_fault(self, error: Exception) -> None:
        self.counters["faults"] += 1
        self._last_fault = str(error)

    def faults(self) -> list[HistoryStorageError]:
        """What has gone wrong since the last call, as one error."""
        new = self.counters["faults"] - self._reported_faults
        if new == 0:
            return []
        self._reported_faults = self.counters["faults"]
        return [HistoryStorageError(f"{self._last_fault}, {new} times", str(self.path))]

    def close(self) -> None:
        """Closes the file."""
        self.connection.close()


def _decoded(body: object) -> Record | None:
    """A record from a file; None if it can't be read or has a field out of its bounds."""
    if not isinstance(body, bytes):
        return None
    try:
        record = _decoder.decode(body)
    except msgspec.DecodeError:
        return None
    return None if first_record_field_out_of_bounds(record) else record
