"""The durable journal of the agreements that a partner has signed, and the file of its private key.

The journal has one line for each signed agreement: its number, and the signed digest in hexadecimal. A line
is synced to disk before its signature is handed out.
"""

import os
from pathlib import Path

from hillchute.errors import SignatureJournalError

PRIVATE_KEY_BYTES = 32  # Ed25519


def read_private_key(path: str | Path) -> bytes:
    """Return the private key from a file of 64 hexadecimal digits. Raises OSError or ValueError."""
    key = bytes.fromhex(Path(path).read_text(encoding="ascii").strip())
    if len(key) != PRIVATE_KEY_BYTES:
        raise ValueError(f"expected {2 * PRIVATE_KEY_BYTES} hex digits, got {2 * len(key)}")
    return key


class SignatureJournal:
    """Digests that one partner signed, by the agreement's number; they survive restarts.

    `signed` is what is durably written. `error` is the error of the last write, None if it succeeded.
    """

    def __init__(self, path: str | Path) -> None:
        """Open or create the file. Raises SignatureJournalError if it is unreadable or malformed."""
        self.path = Path(path)
        self.signed: dict[int, bytes] = {}
        self.error: SignatureJournalError | None = None
        try:
            self._load()
        except (OSError, ValueError) as error:
            raise SignatureJournalError(str(error), str(self.path)) from error

    def _load(self) -> None:
        data = self.path.read_bytes() if self.path.exists() else b""
        # A crash can leave an incomplete last line, whose signature was never handed out.
        complete = data[: data.rfind(b"\n") + 1]
        for line in complete.decode("ascii").splitlines():
            number, digest = line.split(" ")
            self.signed[int(number)] = bytes.fromhex(digest)
        if len(complete) < len(data):
            with self.path.open("rb+") as file:
                file.truncate(len(complete))
                os.fsync(file.fileno())
        else:
            self.path.open("ab").close()
            sync_directory(self.path.parent)

    def save(self, number: int, digest: bytes) -> bool:
        """Write a digest durably, and return whether that succeeded.

        After an error the whole file is rewritten, because it may have an incomplete line, and because data
        that a failed fsync dropped is not written by a later one.
        """
        signed = self.signed | {number: digest}
        try:
            if self.error is None:
                self._append(number, digest)
            else:
                self._rewrite(signed)
        except OSError as error:
            self.error = SignatureJournalError(str(error), str(self.path))
            return False
        self.signed[number] = digest
        self.error = None
        return True

    def _append(self, number: int, digest: bytes) -> None:
        with self.path.open("ab") as file:
            file.write(_encode_line(number, digest))
            file.flush()
            os.fsync(file.fileno())

    def _rewrite(self, signed: dict[int, bytes]) -> None:
        replacement = self.path.with_name(self.path.name + ".new")
        with replacement.open("wb") as file:
            file.write(b"".join(_encode_line(number, digest) for number, digest in signed.items()))
            file.flush()
            os.fsync(file.fileno())
        os.replace(replacement, self.path)
        sync_directory(self.path.parent)


def _encode_line(number: int, digest: bytes) -> bytes:
    return f"{number} {digest.hex()}\n".encode()


def sync_directory(path: Path) -> None:
    """Make new and renamed entries of a directory durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
