"""Numbers by chance that are the same in every run of one seed: a counter and a hash, no generator state."""

from zlib import crc32

HASH_RANGE = 2**32  # of crc32


def fraction_of(text: str) -> float:
    """A number from 0 to 1 that all routers work out alike from a text."""
    return crc32(text.encode()) / HASH_RANGE


class DrawSequence:
    """One router's numbers, in order; the order of review times takes from the same counter."""

    __slots__ = ("count", "seed")

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0

    def next_number(self) -> int:
        """The next count, from 1."""
        self.count += 1
        return self.count

    def chance(self) -> float:
        """The next number from 0 to 1."""
        return fraction_of(f"{self.seed}:{self.next_number()}")
