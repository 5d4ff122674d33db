"""Retry delays with jitter, so that routers that fail together do not retry at the same time."""

from zlib import crc32

from hillchute.coordination import jitter
from hillchute.decision.interface import SECOND


class RetryDelays:
    """The retry delays of one router; a seed always gives the same sequence."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.count = 0

    def next_delay(self, mean: float) -> float:
        """Returns the next delay in seconds, `mean` on average; jitter.randomized() defines the bounds."""
        self.count += 1
        fraction = crc32(f"{self.seed}:wait:{self.count}".encode()) / 2**32
        return jitter.randomized(int(mean * SECOND), fraction) / SECOND
