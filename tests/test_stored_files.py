"""Compatibility with stored files that an earlier version has written.

data/history-v1.sqlite and data/signatures-v1.txt were written once by `write_files` below, in an earlier
version. They stand for the files that an upgraded router finds, and must not be regenerated.
"""

import json
import shutil
import sqlite3
import sys
from pathlib import Path

import msgspec
import pytest

from hillchute.history.records import Record, RecordState
from hillchute.history.sqlite_store import SqliteStore
from hillchute.partners.signature_journal import SignatureJournal, read_private_key

DATA = Path(__file__).parent / "data"
HISTORY, SIGNATURES = "history-v1.sqlite", "signatures-v1.txt"


def record(key: str, token: str, number: int, state: int, rows: bytes | None, lease_number: int) -> Record:
    return Record(
        customer="customer-\u00e4",
        ordering_key=key,
        idempotency_key=token,
        granted_at=17_000_000_000_000 + number,
        sequence=number + 1,
        attempt=number + 2,
        router=f"router-{number}",
        incarnation=1_700_000_000_000 + number,
        claim_number=number + 3,
        timeout=number + 4,
        state=state,
        rows=rows,
        lease_number=lease_number,
    )


# By customer, key and token: the record, and the Unix time when it was granted.
RECORDS = {
    ("customer-\u00e4", "key-1", "token-1"): (
        record("key-1", "token-1", 10, RecordState.RUNNING, None, 0),
        17_000_000_000_101,
    ),
    ("customer-\u00e4", "key-1", "token-2"): (
        record("key-1", "token-2", 20, RecordState.NOT_RUN, None, 5),
        17_000_000_000_102,
    ),
    ("customer-\u00e4", "key-2", "token-1"): (
        record("key-2", "token-1", 30, RecordState.SERVED, b"\x00rows\xff\n", 6),
        17_000_000_000_103,
    ),
    ("customer-\u00e4", "key-2", ""): (
        record("key-2", "", 40, RecordState.SERVED, None, 7),
        17_000_000_000_104,
    ),
    ("customer-\u00e4", "", "token-1"): (
        record("", "token-1", 50, RecordState.FAILED, b"", 8),
        17_000_000_000_105,
    ),
}
# Signed digests by number of the agreement. That of 613 is the digest of a complete agreement.
AGREEMENT = "partners/signed-digest of agreement"
SIGNED = {
    612: bytes(range(32)),
    613: bytes.fromhex(json.loads((DATA / "recorded_bytes.json").read_text())[AGREEMENT]),
    9_007_199_254_740_991: bytes(range(255, 223, -1)),
}


def write_files(folder: Path) -> None:
    """Writes files like those under data/; run only as `python tests/test_stored_files.py FOLDER`."""
    store = SqliteStore(folder / HISTORY)
    for name, (stored, since) in RECORDS.items():
        assert store.write({name: stored}, {name: since})
    store.close()
    signatures = SignatureJournal(folder / SIGNATURES)
    for number, digest in SIGNED.items():
        assert signatures.save(number, digest)


@pytest.fixture
def history(tmp_path):
    return Path(shutil.copy(DATA / HISTORY, tmp_path))


@pytest.fixture
def signatures(tmp_path):
    return Path(shutil.copy(DATA / SIGNATURES, tmp_path))


def rows(path: Path) -> list[tuple]:
    database = sqlite3.connect(path)
    found = database.execute("SELECT customer, key, token, since, body FROM records").fetchall()
    database.close()
    return found


def test_stored_history_is_a_single_file():
    assert sorted(path.name for path in DATA.glob(HISTORY + "*")) == [HISTORY]
    assert (DATA / HISTORY).stat().st_size <= 16_384


def test_stored_history_is_read(history):
    store = SqliteStore(history)
    found = {stored.id: (stored, since) for stored, since in store.read()}
    assert found == RECORDS
    assert store.counters["unreadable"] == 0 and not store.faults()
    store.close()


def test_stored_history_can_be_updated(history):
    store = SqliteStore(history)
    first, second, *others = RECORDS
    changed = msgspec.structs.replace(RECORDS[first][0], state=RecordState.FAILED)
    assert store.write({first: changed, second: None}, {first: 17_000_000_000_999})
    store.close()
    store = SqliteStore(history)
    found = {stored.id: (stored, since) for stored, since in store.read()}
    assert found == {
        first: (changed, 17_000_000_000_999),
        **{name: RECORDS[name] for name in others},
    }
    store.close()


def test_history_is_written_in_the_stored_format(tmp_path, history):
    """After a downgrade, a router of the earlier version must be able to read the file."""
    store = SqliteStore(tmp_path / "new.sqlite")
    assert store.write(
        {name: stored for name, (stored, _) in RECORDS.items()},
        {name: since for name, (_, since) in RECORDS.items()},
    )
    store.close()
    assert rows(tmp_path / "new.sqlite") == rows(history)
    schemas = []
    for path in (tmp_path / "new.sqlite", history):
        database = sqlite3.connect(path)
        schemas.append(database.execute("SELECT type, name, tbl_name, sql FROM sqlite_master").fetchall())
        assert database.execute("PRAGMA user_version").fetchone() == (1,)
        database.close()
    assert schemas[0] == schemas[1]


def test_stored_signatures_are_read(signatures):
    before = signatures.read_bytes()
    assert SignatureJournal(signatures).signed == SIGNED
    assert list(SignatureJournal(signatures).signed) == [612, 613, 9_007_199_254_740_991]
    assert signatures.read_bytes() == before


def test_stored_signatures_can_be_extended(signatures):
    before = signatures.read_bytes()
    assert SignatureJournal(signatures).save(614, b"\xab" * 32)
    assert signatures.read_bytes() == before + b"614 " + b"ab" * 32 + b"\n"
    assert SignatureJournal(signatures).signed == {**SIGNED, 614: b"\xab" * 32}


def test_torn_last_line_of_stored_signatures_is_ignored(signatures):
    before = signatures.read_bytes()
    signatures.write_bytes(before + b"614 abab")
    assert SignatureJournal(signatures).signed == SIGNED
    assert signatures.read_bytes() == before


def test_signatures_are_written_in_the_stored_format(tmp_path, signatures):
    file = SignatureJournal(tmp_path / "new")
    for number, digest in SIGNED.items():
        assert file.save(number, digest)
    assert (tmp_path / "new").read_bytes() == signatures.read_bytes()


def test_stored_signing_key_is_read(tmp_path):
    (tmp_path / "key").write_text("000102030405060708090A0B0C0D0E0F101112131415161718191a1b1c1d1e1f\n")
    assert read_private_key(tmp_path / "key") == bytes(range(32))


if __name__ == "__main__":
    write_files(Path(sys.argv[1]))
