"""What a partner has marked, in a file that lasts: written before a mark is given; and the file of its key.

Owns both: one line a mark, its number and the digest of its text. Must never decide what is marked.
"""

import os
from pathlib import Path

from hillchute.errors import MarksNotKept

KEY = 32  # bytes of an Ed25519 key


def key_in(path: str | Path) -> bytes:
    """A private key, from a file of 64 hex digits. Raises OSError or ValueError."""
    key = bytes.fromhex(Path(path).read_text(encoding="ascii").strip())
    if len(key) != KEY:
        raise ValueError(f"expected {2 * KEY} hex digits")
    return key


class MarksFile:
    def __init__(self, path: str | Path) -> None:
        """Raises MarksNotKept for one that can't be read, or whose lines are not as they were written."""
        self.path = Path(path)
        self.marked: dict[int, bytes] = {}
        self.fault: MarksNotKept | None = None
        try:
            data = self.path.read_bytes() if self.path.exists() else b""
            # A line without its end was broken off by a crash: that mark was never given.
            whole = data[: data.rfind(b"\n") + 1]
            for line in whole.decode("ascii").splitlines():
                number, sealed = line.split(" ")
                self.marked[int(number)] = bytes.fromhex(sealed)
            if len(whole) < len(data):
                with self.path.open("rb+") as file:
                    file.truncate(len(whole))
            else:
                self.path.open("ab").close()
        except (OSError, ValueError) as fault:
            raise MarksNotKept(str(fault), str(self.path)) from None

    def save(self, number: int, sealed: bytes) -> bool:
        """Whether it is there for good."""
        try:
            with self.path.open("ab") as file:
                file.write(f"{number} {sealed.hex()}\n".encode())
                file.flush()
                os.fsync(file.fileno())
        except OSError as fault:
            self.fault = MarksNotKept(str(fault), str(self.path))
            return False
        self.fault = None
        return True
