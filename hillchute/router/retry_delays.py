"""Retry delays with jitter: routers that fail together must not retry together. One seed, one sequence."""

from zlib import crc32

from hillchute.coordination import jitter
from hillchute.decision.interface import SECOND


class RetryDelays:
    """The delays of one router, drawn from its seed and the number of delays so far."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0

    def next_delay(self, mean: float) -> float:
        """The next delay in seconds, `mean` seconds on average; jitter.randomized has the bounds."""
        self.count += 1
        chance = crc32(f"{self.seed}:wait:{self.count}".encode()) / 2**32
        return jitter.randomized(int(mean * SECOND), chance) / SECOND
