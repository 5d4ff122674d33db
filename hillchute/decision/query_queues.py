"""The queues in which queries wait, and the times at which each query is to be reviewed."""

from collections import defaultdict, deque
from heapq import heapify, heappop, heappush

from hillchute.decision.draws import DrawSequence
from hillchute.decision.interface import QueryId, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.query_state import WAITING, OrderedKey, QueryStage, QueryState
from hillchute.decision.slow_start import SlowStart
from hillchute.settings import Settings

MIN_REVIEWS_TO_COMPACT = 2_048


def dashboard_groups(settings: Settings) -> frozenset[int]:
    """Returns the resource groups with the shortest latency objective, bulk loads excluded."""
    groups = [group for group in settings.groups if not group.is_bulk_load]
    shortest = min((group.target_runtime for group in groups), default=0)
    return frozenset(group.number for group in groups if group.target_runtime == shortest)


class QueryQueues:
    """All open queries, and the queues in which they wait."""

    def __init__(
        self, settings: Settings, draws: DrawSequence, load: LoadEstimator, slow_start: SlowStart
    ) -> None:
        self.draws = draws
        self.load = load
        self.slow_start = slow_start
        self.dashboard_groups = dashboard_groups(settings)
        self.queries: dict[QueryId, QueryState] = {}
        self.teams: deque[QueryState] = deque()  # future leaders and members of teams
        self.dashboards: deque[QueryState] = deque()  # dashboards without an engine
        # Bulk loads that wait for others of their table group, by table group.
        self.blocked_bulk_loads: defaultdict[int | None, deque[QueryState]] = defaultdict(deque)
        self.keys: defaultdict[str, OrderedKey] = defaultdict(OrderedKey)
        self.changed_keys: dict[str, bool] = {}  # keys whose next query may have changed, in order
        self.reviews: list[tuple[Time, int, QueryId]] = []  # heap; the second value orders equal times
        self.reviews_to_compact = MIN_REVIEWS_TO_COMPACT  # number of reviews at which they are compacted next

    @property
    def has_waiting_queries(self) -> bool:
        """Whether any query waits for an engine or for earlier queries of its key."""
        return bool(self.teams or self.dashboards or self.keys)

    def review_at(self, query: QueryState, time: Time) -> None:
        """Schedules a review of the query."""
        heappush(self.reviews, (time, self.draws.next_number(), query.id))
        if len(self.reviews) >= self.reviews_to_compact:
            self._compact_reviews()

    def _compact_reviews(self) -> None:
        """Drops the reviews of queries that have ended; queries may end far faster than reviews are due."""
        self.reviews[:] = [review for review in self.reviews if review[2] in self.queries]
        heapify(self.reviews)
        self.reviews_to_compact = max(MIN_REVIEWS_TO_COMPACT, 2 * len(self.reviews))

    def next_review(self) -> QueryState | None:
        """Removes the next review and returns its query; None if that no longer needs a review."""
        query = self.queries.get(heappop(self.reviews)[2])
        if query is None or query.stage is QueryStage.ANSWERED or query.streaming:
            return None
        return query

    def enqueue(self, now: Time, query: QueryState, front: bool = False) -> None:
        """Adds the query to the end or the front of the queue for an engine."""
        if query.group.settings.number in self.dashboard_groups:
            queue = self.dashboards
            query.stage = QueryStage.DASHBOARD_QUEUE
        else:
            queue = self.teams
            query.stage = QueryStage.TEAM_QUEUE
        query.queue = queue
        if front:
            queue.appendleft(query)
        else:
            queue.append(query)
        self.slow_start.draw_permit(now, query)
        self.review_at(query, now)
        self.review_at(query, self.load.latest_start(now, query))

    def enqueue_by_key(self, now: Time, query: QueryState, key: str) -> None:
        """Makes the query wait until all earlier ones of its ordering key have ended."""
        queue = self.keys[key].queries
        queue.append(query)
        query.queue = queue
        query.stage = QueryStage.ORDERED
        self.changed_keys[key] = True
        self.review_at(query, self.load.latest_start(now, query))

    def block_first_bulk_load(self, bulk_load: QueryState) -> None:
        """Moves the first query of the team queue, a bulk load, behind the others of its table group."""
        queue = self.blocked_bulk_loads[bulk_load.table_group]
        queue.append(self.teams.popleft())
        bulk_load.queue = queue
        bulk_load.stage = QueryStage.BLOCKED_BULK_LOAD

    def bulk_load_ended(self, now: Time, bulk_load: QueryState) -> None:
        """Moves the next blocked bulk load of the table group, if any, to the front of the team queue."""
        blocked = self.blocked_bulk_loads.get(bulk_load.table_group)
        if blocked:
            self.enqueue(now, blocked.popleft(), front=True)
            self._forget_if_empty(bulk_load.table_group)

    def _forget_if_empty(self, table_group: int | None) -> None:
        """Forgets that bulk loads of a table group were blocked; clients may name ever new table groups."""
        if not self.blocked_bulk_loads.get(table_group):
            self.blocked_bulk_loads.pop(table_group, None)

    def release_ordered(self, now: Time) -> None:
        """Enqueues the next query of each key whose earlier queries have ended and whose pause is over."""
        for key in [key for key in self.changed_keys if now >= self.keys[key].paused_until]:
            del self.changed_keys[key]
            query = self.keys[key].next_query()
            if query is None:
                del self.keys[key]
            elif query.stage is QueryStage.ORDERED:
                self.enqueue(now, query)

    def end(self, query: QueryState) -> None:
        """Marks the query as answered; it is kept while an attempt is open, since its key waits for that."""
        if query.stage in WAITING and query.queue is not None:
            query.queue.remove(query)
            if query.stage is QueryStage.BLOCKED_BULK_LOAD:
                self._forget_if_empty(query.table_group)
        query.stage = QueryStage.ANSWERED
        if not query.open_attempts:
            self.queries.pop(query.id, None)
        if query.ordering_key is not None and query.ordering_key in self.keys:
            self.changed_keys[query.ordering_key] = True
