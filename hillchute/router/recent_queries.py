"""Ids of queries that have ended and that an engine may have run, so that none of them is run again."""

from hillchute.decision.interface import QueryId, Time

MAX_IDS = 16_384  # some 3 MB


class RecentQueries:
    """The ids of the last queries, each for `retention` after its end, `max_ids` at most."""

    def __init__(self, retention: Time, max_ids: int = MAX_IDS) -> None:
        self.retention = retention
        self.max_ids = max_ids
        self.ended_at: dict[QueryId, Time] = {}  # in order of their ends

    def add(self, query_id: QueryId, now: Time) -> None:
        """Adds a query that has ended now."""
        self.ended_at.pop(query_id, None)
        self.ended_at[query_id] = now
        self._forget_old(now)

    def contains(self, query_id: QueryId, now: Time) -> bool:
        """Whether the query ended within the retention."""
        ended_at = self.ended_at.get(query_id)
        return ended_at is not None and now - ended_at <= self.retention

    def _forget_old(self, now: Time) -> None:
        while self.ended_at:
            oldest = next(iter(self.ended_at))
            if now - self.ended_at[oldest] <= self.retention and len(self.ended_at) <= self.max_ids:
                return
            del self.ended_at[oldest]
