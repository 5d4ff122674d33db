"""The lines that queries wait in, and when each query is to be reviewed."""

from collections import defaultdict, deque
from heapq import heappop, heappush

from hillchute.decision.draws import DrawSequence
from hillchute.decision.interface import QueryId, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.query_state import WAITING, OrderedKey, QueryPlace, QueryState
from hillchute.decision.slow_start import SlowStart
from hillchute.settings import Settings


def dashboard_groups(settings: Settings) -> frozenset[int]:
    """The resource groups with the shortest latency objective, but for loads."""
    groups = [group for group in settings.groups if not group.is_load]
    shortest = min((group.target_runtime for group in groups), default=0)
    return frozenset(group.number for group in groups if group.target_runtime == shortest)


class QueryQueues:
    """All queries that are not over, by the place where they wait."""

    def __init__(
        self, settings: Settings, draws: DrawSequence, load: LoadEstimator, slow_start: SlowStart
    ) -> None:
        self.draws = draws
        self.load = load
        self.slow_start = slow_start
        self.dashboard_groups = dashboard_groups(settings)
        self.queries: dict[QueryId, QueryState] = {}
        self.teams: deque[QueryState] = deque()  # leaders and mates to be
        self.dashboards: deque[QueryState] = deque()  # those with no engine
        self.behind_loads: defaultdict[int | None, deque[QueryState]] = defaultdict(deque)  # by table group
        self.keys: defaultdict[str, OrderedKey] = defaultdict(OrderedKey)
        self.changed_keys: dict[str, bool] = {}  # those whose next query may have changed, in order
        self.reviews: list[tuple[Time, int, QueryId]] = []  # heap; the second tells equal times apart

    @property
    def anything_waits(self) -> bool:
        """Whether a query waits for an engine or for its turn."""
        return bool(self.teams or self.dashboards or self.keys)

    def review_at(self, query: QueryState, time: Time) -> None:
        """The query is to be reviewed then."""
        heappush(self.reviews, (time, self.draws.next_number(), query.id))

    def next_review(self) -> QueryState | None:
        """Takes the next review that is due; None too where its query is over."""
        query = self.queries.get(heappop(self.reviews)[2])
        if query is None or query.place is QueryPlace.ANSWERED or query.streaming:
            return None
        return query

    def enqueue(self, now: Time, query: QueryState, front: bool = False) -> None:
        """The query waits for an engine from now on, behind all others or before them."""
        if query.group.settings.number in self.dashboard_groups:
            line = self.dashboards
            query.place = QueryPlace.DASHBOARD_QUEUE
        else:
            line = self.teams
            query.place = QueryPlace.TEAM_QUEUE
        query.waiting_line = line
        if front:
            line.appendleft(query)
        else:
            line.append(query)
        self.slow_start.draw_permit(now, query)
        self.review_at(query, now)
        self.review_at(query, self.load.latest_start(now, query))

    def enqueue_by_key(self, now: Time, query: QueryState, key: str) -> None:
        """The query waits until all earlier ones of its key are over."""
        line = self.keys[key].queries
        line.append(query)
        query.waiting_line = line
        query.place = QueryPlace.ORDERED
        self.changed_keys[key] = True
        self.review_at(query, self.load.latest_start(now, query))

    def wait_behind_loads(self, load: QueryState) -> None:
        """The first of the team queue waits for the loads of its table group."""
        line = self.behind_loads[load.table_group]
        line.append(self.teams.popleft())
        load.waiting_line = line
        load.place = QueryPlace.BEHIND_LOADS

    def load_ended(self, now: Time, load: QueryState) -> None:
        """The next load of a table group, if one waits, may start now."""
        if self.behind_loads.get(load.table_group):
            self.enqueue(now, self.behind_loads[load.table_group].popleft(), front=True)

    def release_ordered(self, now: Time) -> None:
        """The next query of a key lines up once all earlier ones are over and the key's pause has passed."""
        for key in [key for key in self.changed_keys if now >= self.keys[key].paused_until]:
            del self.changed_keys[key]
            query = self.keys[key].next_query()
            if query is None:
                del self.keys[key]
            elif query.place is QueryPlace.ORDERED:
                self.enqueue(now, query)

    def end(self, query: QueryState) -> None:
        """The query is answered; it is kept while an attempt is open, since its key waits for that."""
        if query.place in WAITING and query.waiting_line is not None:
            query.waiting_line.remove(query)
        query.place = QueryPlace.ANSWERED
        if not query.open_attempts:
            self.queries.pop(query.id, None)
        if query.ordering_key is not None and query.ordering_key in self.keys:
            self.changed_keys[query.ordering_key] = True
