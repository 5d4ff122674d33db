"""Worker processes that share the work of a simulation.

Workers are spawned, never forked, because the parent process may have threads. In a test run it has those of
gRPC, whose fork handler then loops forever in each worker, waiting for threads that the fork did not copy.
"""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context


def worker_pool(jobs: int | None) -> ProcessPoolExecutor:
    """Returns a pool of `jobs` spawned worker processes; None means one per core."""
    return ProcessPoolExecutor(jobs, mp_context=get_context("spawn"))
