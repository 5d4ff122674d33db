"""A limit on the processor time of one example of a property test."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

EXAMPLE_CPU_SECONDS = 0.2  # as Hypothesis' default deadline, which counts wall-clock time


@contextmanager
def cpu_limit(seconds: float = EXAMPLE_CPU_SECONDS) -> Iterator[None]:
    """Fails if the body uses more than `seconds` of this thread's processor time."""
    start = time.thread_time()
    yield
    assert time.thread_time() - start <= seconds
