"""A block of code whose exceptions are reported and end nothing else.

Around the handling of one client, engine or peer: a fault in it must not end the router, which serves others.
"""

from collections.abc import Callable
from contextlib import AbstractContextManager
from types import TracebackType
from typing import TypeAlias

FaultReport: TypeAlias = Callable[[str, BaseException], None]
"""Logs and counts an exception; its first argument names the part of the router that raised it."""


class FaultBarrier(AbstractContextManager[None]):
    """Suppresses any Exception in its block and reports it. Cancellation is not suppressed."""

    def __init__(self, source: str, report: FaultReport) -> None:
        self.source = source
        self.report = report

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        """Whether the exception is suppressed."""
        if not isinstance(error, Exception):
            return False
        self.report(self.source, error)
        return True
