"""Records on a disk that lasts, in sqlite3: written before they are relied on, erased so that their bytes go.

Owns the file, its layout, and what a fault of the disk does. Must never decide what is kept, nor make a slot
whole: what a disk holds is known, but whether it is all that there was, no disk can say. A copy of yesterday
that was put in its place is no danger, therefore: it knows less, and what it does not know is not run for it.
"""

import sqlite3
from collections import Counter
from collections.abc import Iterator, Mapping
from pathlib import Path

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import HistoryStorageError
from hillchute.history.codec import unfit_record
from hillchute.history.records import Name, Record

LAYOUT = 1
BUSY = 1.0  # seconds that another process may hold the file before a write is given up
LARGEST_LOG = 4 << 20  # bytes of the write-ahead log that stand after a checkpoint

encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


class Disk:
    def __init__(self, path: str | Path) -> None:
        """Raises HistoryStorageError for one that can't be opened, is read-only, or is damaged."""
        self.path, self.counts = Path(path), Counter()
        self.told, self.last = 0, ""
        try:
            self.db = sqlite3.connect(self.path, timeout=BUSY, isolation_level=None)
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")  # it is there before anybody relies on it
            self.db.execute("PRAGMA secure_delete = ON")  # what is erased is overwritten
            self.db.execute(f"PRAGMA journal_size_limit = {LARGEST_LOG}")
            (sound,) = self.db.execute("PRAGMA quick_check(1)").fetchone()
            if sound != "ok":
                raise sqlite3.DatabaseError(sound)
            (layout,) = self.db.execute("PRAGMA user_version").fetchone()
            if layout not in (0, LAYOUT):
                raise sqlite3.DatabaseError(f"layout {layout}, {LAYOUT} is known")
            self.db.execute(
                "CREATE TABLE IF NOT EXISTS records (customer TEXT, key TEXT, token TEXT, since INTEGER,"
                " body BLOB, PRIMARY KEY (customer, key, token)) WITHOUT ROWID"
            )
            self.db.execute(f"PRAGMA user_version = {LAYOUT}")
        except (sqlite3.Error, OSError) as fault:
            raise HistoryStorageError(str(fault), str(self.path)) from None

    def read(self) -> Iterator[tuple[Record, Time]]:
        """All that is there, with the Unix time since when it is kept. What can't be read is passed over: a
        record less is a query that is not answered, never one that runs twice."""
        try:
            rows = self.db.execute("SELECT customer, key, token, body, since FROM records").fetchall()
        except sqlite3.Error as fault:
            self.fault(fault)
            return
        spoilt: dict[Name, None] = {}
        for *name, body, since in rows:
            try:
                record = decoder.decode(body)
            except (msgspec.DecodeError, TypeError):
                record = None
            if record is None or unfit_record(record) or not isinstance(since, int):
                spoilt[tuple(name)] = None  # nobody could tell when it is to be erased
                self.counts["unreadable"] += 1
            else:
                yield record, since
        if spoilt:
            self.write(spoilt, {})

    def write(self, moved: Mapping[Name, Record | None], since: Mapping[Name, Time]) -> bool:
        """What has changed, whole or not at all; whether it is there. None: it is gone, its bytes too."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                for name, record in moved.items():
                    if record is None:
                        self.db.execute(
                            "DELETE FROM records WHERE customer = ? AND key = ? AND token = ?", name
                        )
                    else:
                        row = (*name, since[name], encoder.encode(record))
                        self.db.execute("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?)", row)
                self.db.execute("COMMIT")
            except sqlite3.Error:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
            if None in moved.values():
                self.scrub()
        except sqlite3.Error as fault:
            self.fault(fault)
            return False
        self.counts["written"] += len(moved)
        return True

    def scrub(self) -> None:
        """What was erased is overwritten in the file; until this it stands in the write-ahead log."""
        busy, *_ = self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        self.counts["scrub put off"] += bool(busy)

    def fault(self, fault: Exception) -> None:
        self.counts["faults"] += 1
        self.last = str(fault)

    def faults(self) -> list[HistoryStorageError]:
        """What has gone wrong since this was last asked."""
        if self.counts["faults"] == self.told:
            return []
        new, self.told = self.counts["faults"] - self.told, self.counts["faults"]
        return [HistoryStorageError(f"{self.last}, {new} times", str(self.path))]

    def close(self) -> None:
        self.db.close()
