"""The last events with their times: what happened just before something went wrong.

Owns a ring of fixed length. Must never format or write while things go well: an event costs one tuple.
"""

from collections import deque
from collections.abc import Iterator

KEPT = 2_000  # events: about a second of a busy router, 300 kB
A_LINE = 100  # events in one line of the log, so that the whole ring is within its lines a second


class Trace:
    def __init__(self, kept: int = KEPT) -> None:
        self.ring: deque[tuple] = deque(maxlen=kept)
        self.add = self.ring.append  # (time, word, whatever tells which query, session or connection)

    def lines(self, last: int = KEPT) -> Iterator[list[list]]:
        """The last events, oldest first, in pieces that fit a line of the log; times in milliseconds before
        the newest one."""
        events = list(self.ring)[-last:]
        if not events:
            return
        newest = events[-1][0]
        for n in range(0, len(events), A_LINE):
            yield [[(at - newest) / 10, *what] for at, *what in events[n : n + A_LINE]]
