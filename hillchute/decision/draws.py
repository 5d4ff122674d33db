"""Pseudo-random numbers from a counter and a hash: the same in every run with the same seed."""

from zlib import crc32

HASH_RANGE = 2**32  # number of values of crc32


def hash_fraction(text: str) -> float:
    """Returns a number from 0 to 1 that depends on the text only, so that all routers compute the same."""
    return crc32(text.encode()) / HASH_RANGE


class DrawSequence:
    """The pseudo-random numbers of one router.

    The same counter orders reviews that are due at the same time.
    """

    __slots__ = ("count", "seed")

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0

    def next_number(self) -> int:
        """Returns the next value of the counter, from 1."""
        self.count += 1
        return self.count

    def next_fraction(self) -> float:
        """Returns the next pseudo-random number from 0 to 1."""
        return hash_fraction(f"{self.seed}:{self.next_number()}")
