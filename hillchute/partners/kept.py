"""What a partner has marked, in a file that lasts: written before a mark is given; and the file of its key.

Owns both: one line a mark, its number and the digest of its text. Must never decide what is marked.
"""

import os
from pathlib import Path

from hillchute.errors import SignatureJournalError

KEY = 32  # bytes of an Ed25519 key


def key_in(path: str | Path) -> bytes:
    """A private key, from a file of 64 hex digits. Raises OSError or ValueError."""
    key = bytes.fromhex(Path(path).read_text(encoding="ascii").strip())
    if len(key) != KEY:
        raise ValueError(f"expected {2 * KEY} hex digits")
    return key


class MarksFile:
    def __init__(self, path: str | Path) -> None:
        """Raises SignatureJournalError for one that can't be read, or whose lines are not as they were
        written."""
        self.path = Path(path)
        self.marked: dict[int, bytes] = {}
        self.fault: SignatureJournalError | None = None
        try:
            data = self.path.read_bytes() if self.path.exists() else b""
            # A line without its end was broken off by a crash: that mark was never given.
            whole = data[: data.rfind(b"\n") + 1]
            for text in whole.decode("ascii").splitlines():
                number, sealed = text.split(" ")
                self.marked[int(number)] = bytes.fromhex(sealed)
            if len(whole) < len(data):
                with self.path.open("rb+") as file:
                    file.truncate(len(whole))
                    os.fsync(file.fileno())
            else:
                self.path.open("ab").close()
                sync_folder(self.path.parent)
        except (OSError, ValueError) as fault:
            raise SignatureJournalError(str(fault), str(self.path)) from fault

    def save(self, number: int, sealed: bytes) -> bool:
        """Whether it is there for good. After a fault the file is written anew: a line may have been
        broken off, and what a failed sync left behind is not made good by a later one."""
        kept = self.marked | {number: sealed}
        try:
            if self.fault is None:
                self.append(number, sealed)
            else:
                self.write_anew(kept)
        except OSError as fault:
            self.fault = SignatureJournalError(str(fault), str(self.path))
            return False
        self.marked[number] = sealed
        self.fault = None
        return True

    def append(self, number: int, sealed: bytes) -> None:
        with self.path.open("ab") as file:
            file.write(line(number, sealed))
            file.flush()
            os.fsync(file.fileno())

    def write_anew(self, kept: dict[int, bytes]) -> None:
        beside = self.path.with_name(self.path.name + ".new")
        with beside.open("wb") as file:
            file.write(b"".join(line(number, sealed) for number, sealed in kept.items()))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)
        sync_folder(self.path.parent)


def line(number: int, sealed: bytes) -> bytes:
    return f"{number} {sealed.hex()}\n".encode()


def sync_folder(path: Path) -> None:
    """A new name in a folder is there for good only once the folder is."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
