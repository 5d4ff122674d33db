"""Processes that share a rig's work.

Owns how they start. Must never fork: whoever plays mutants may have threads. A test run has those of gRPC,
whose fork handler then turns round in each worker for ever, waiting for threads that the fork did not copy.
"""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context


def workers(jobs: int | None) -> ProcessPoolExecutor:
    """So many, as many as there are cores for None; each starts anew and imports what it is given to do."""
    return ProcessPoolExecutor(jobs, mp_context=get_context("spawn"))
