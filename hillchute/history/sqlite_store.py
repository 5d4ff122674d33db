"""The durable store of records in a sqlite3 file; erased records are overwritten in the file.

The file shows which records existed, not that there were no others. Therefore restored records make no slot
complete, and an old copy of the file is safe: no query is run because the file lacks its record.
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

LAYOUT_VERSION = 1  # of the file; files with any other version are refused
LOCK_TIMEOUT = 1.0  # seconds to wait for a lock held by another process before a write fails
MAX_WAL_SIZE = 4 << 20  # bytes of the write-ahead log that remain after a checkpoint, at most

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)

# The column names are part of the file format.
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
        """Opens or creates the file.

        Raises HistoryStorageError for a file that is damaged, read-only or cannot be opened.
        """
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
        execute("PRAGMA synchronous = FULL")  # a write is on the disk before it is acknowledged
        execute("PRAGMA secure_delete = ON")  # erased content is overwritten
        execute(f"PRAGMA journal_size_limit = {MAX_WAL_SIZE}")
        (check,) = execute("PRAGMA quick_check(1)").fetchone()
        if check != "ok":
            raise sqlite3.DatabaseError(check)
        (layout,) = execute("PRAGMA user_version").fetchone()
        if layout not in (0, LAYOUT_VERSION):
            raise sqlite3.DatabaseError(f"unsupported file layout {layout}, expected {LAYOUT_VERSION}")
        execute(CREATE_TABLE)
        execute(f"PRAGMA user_version = {LAYOUT_VERSION}")

    def read(self) -> Iterator[tuple[Record, Time]]:
        """Yields all records, each with the Unix time when it was granted.

        Unreadable rows are removed. A missing record only means that a retry is not answered from it, never
        that a query runs twice, as this file alone makes no slot complete.
        """
        try:
            rows = self.connection.execute(SELECT_ALL).fetchall()
        except sqlite3.Error as error:
            self._note_fault(error)
            return
        unreadable: dict[RecordId, Record | None] = {}
        for customer, ordering_key, idempotency_key, body, since in rows:
            record = _decoded(body)
            if record is None or not isinstance(since, int):
                # It would be unknown when such a record must be erased.
                unreadable[RecordId(customer, ordering_key, idempotency_key)] = None
                self.counters["unreadable"] += 1
            else:
                yield record, since
        if unreadable:
            self.write(unreadable, {})

    def write(self, changes: Mapping[RecordId, Record | None], since: Mapping[RecordId, Time]) -> bool:
        """Writes all changes or none; returns whether they are durable.

        A value of None removes the record and overwrites its bytes.
        """
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
        """Checkpoints and truncates the write-ahead log, which until then still contains erased records."""
        busy, *_ = self.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        self.counters["scrub put off"] += bool(busy)

    def _note_fault(self, error: Exception) -> None:
        self.counters["faults"] += 1
        self._last_fault = str(error)

    def faults(self) -> list[HistoryStorageError]:
        """Returns the errors since the last call, summarized as one; empty if there were none."""
        new = self.counters["faults"] - self._reported_faults
        if new == 0:
            return []
        self._reported_faults = self.counters["faults"]
        return [
            HistoryStorageError(f"{self._last_fault} (errors since the last report: {new})", str(self.path))
        ]

    def close(self) -> None:
        """Closes the file."""
        self.connection.close()


def _decoded(body: object) -> Record | None:
    """Returns the record in a row's body; None if it cannot be decoded or a field is out of bounds."""
    if not isinstance(body, bytes):
        return None
    try:
        record = _decoder.decode(body)
    except msgspec.DecodeError:
        return None
    return None if first_record_field_out_of_bounds(record) else record
