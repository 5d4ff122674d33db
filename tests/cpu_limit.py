"""A limit on the processor time of one example of a property test."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

EXAMPLE_CPU_SECONDS = 0.2  # Hypothesis' own deadline, which counts the machine's other work as well


@contextmanager
def cpu_limit(seconds: float = EXAMPLE_CPU_SECONDS) -> Iterator[None]:
    """Fails where what is done inside takes more processor time of this thread."""
    began = time.thread_time()
    yield
    assert time.thread_time() - began <= seconds
