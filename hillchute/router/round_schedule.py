"""The order of work in a round of the event loop, and the bound on each kind of work.

A round handles timers (final answers first), input of engines, input of clients (all of it is read, so that
disconnects and cancellations are known at once), queries in order of arrival, and new connections. Each kind
of work has a bound, and what is left over goes first in the next round, so that nothing starves and rounds
stay short under any load.

Owns the queries that were read but not taken yet, and the time up to which all input is known. Uses no
sockets and no clock, and does not interpret queries; only the scheduler rejects queries. Times are integers
in tenths of a millisecond.
"""

from collections import deque
from collections.abc import Generator, Iterable, Iterator
from contextlib import closing
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import NamedTuple, Protocol, TypeVar

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

ENGINE_READ_BUDGET: Time = 200  # 20 ms per round for input of engines, which clients have to wait for
QUERY_BUDGET: Time = 200  # 20 ms for new queries: about forty, or hundreds if they are rejected
ACCEPT_LIMIT = 64  # connections per round, about 5 ms: a burst of hundreds must not delay open sessions
LISTEN_BACKLOG = 4_096  # connections in the kernel; one beyond this is delayed by 0.2 s
# 50 ms: the answer margin shrinks as the loop's lag decays, so a query with an ordering key is certain to be
# rejected only this long after its timeout.
ORDERED_TIMEOUT_GRACE: Time = 500
# 50 ms: clients send queries of one key 60 ms apart, and the arrival times of socket data are coarse.
ORDER_SPACING: Time = 500


class ServedConnection(Protocol):
    """A connection that records the number of the round in which it was last served."""

    last_served_round: int


ConnectionT = TypeVar("ConnectionT", bound=ServedConnection)


@dataclass(slots=True, eq=False)
class PendingQuery:
    """A complete query that was read but not taken yet."""

    session: int
    request: Request
    received_at: Time  # when its last byte arrived
    ready_at: Time  # when it could first have been taken
    done: bool = False  # taken, or cancelled by its client


class QueueEntry(NamedTuple):
    """A heap entry; `number` orders queries with the same time."""

    time: Time
    number: int
    query: PendingQuery


class RoundSchedule:
    """The schedule of work in the current round."""

    def __init__(self) -> None:
        self.number = 0
        self.arrivals: list[QueueEntry] = []  # heap by time of arrival, see enqueue()
        self.timeouts: list[QueueEntry] = []  # the same queries, as a heap by the time their answer is due
        self.pending: dict[int, PendingQuery] = {}  # by session
        self.enqueued_count = 0
        self.read_horizon: Time = 0  # all bytes that arrived before this on any connection have been read
        self.backlog_empty_at: Time = 0  # when the backlog was last seen empty
        self.waits_for_horizon = False  # a query with an ordering key waits until older input is read
        self.work_left = False  # ready work was left for the next round
        self.last_client_activity: Time = 0  # when a byte or connection last arrived from a client

    def begin(self) -> None:
        """Starts the next round."""
        self.number += 1
        self.work_left = False

    def least_recently_served(self, connections: Iterable[ConnectionT]) -> list[ConnectionT]:
        """Returns the connections, least recently served first; the kernel reports them in a fixed order."""
        return sorted(connections, key=lambda connection: connection.last_served_round)

    def record_sockets_read(self, polled_at: Time, connections_waiting: bool) -> None:
        """Records that all sockets that were ready in a poll, made at `polled_at` or later, were read once.

        `connections_waiting`: there are connections not accepted yet, whose input is unknown.
        """
        if not connections_waiting:
            self.backlog_empty_at = polled_at
        self.read_horizon = min(polled_at, self.backlog_empty_at)

    def record_connections_accepted(self, now: Time, backlog_empty: bool) -> None:
        """Records that connections were accepted, up to this round's limit or until the backlog was empty."""
        if backlog_empty:
            self.backlog_empty_at = now
        else:
            self.work_left = True

    @property
    def accept_limit(self) -> int:
        """Maximum number of connections to accept in this round: all while a query waits for older input."""
        return LISTEN_BACKLOG if self.waits_for_horizon else ACCEPT_LIMIT

    # ---- queries ----------------------------------------------------------------------------------

    def enqueue(
        self, session: int, request: Request, received_at: Time, ready_at: Time, answer_by: Time
    ) -> None:
        """Adds a query; each session has at most one pending query."""
        query = PendingQuery(session, request, received_at, ready_at)
        self.pending[session] = query
        self.enqueued_count += 1
        if request.ordering_key is not None:
            answer_by += ORDERED_TIMEOUT_GRACE
        # Only queries with an ordering key must keep the order of arrival. Others that a client wrote ahead
        # of its answers count from when they could be taken, or they would go before all other clients'.
        order = ready_at if request.ordering_key is None else received_at
        heappush(self.arrivals, QueueEntry(order, self.enqueued_count, query))
        heappush(self.timeouts, QueueEntry(answer_by, self.enqueued_count, query))

    def discard(self, session: int) -> bool:
        """Removes the query of a client that cancelled it or left; returns False if none is pending."""
        query = self.pending.pop(session, None)
        if query is None:
            return False
        query.done = True
        return True

    def take_queries(self, now: Time) -> Iterator[PendingQuery]:
        """Takes due queries until the caller stops.

        Queries that have timed out only need an answer, so each comes ahead of its turn. They alternate with
        the others, which follow in order of arrival: a client that sends without pause may have a timed-out
        query ready at any time.
        """
        with closing(self._take_timed_out(now)) as timed_out, closing(self._take_in_order()) as in_order:
            sources = deque((timed_out, in_order))
            while sources:
                source = sources.popleft()
                query = next(source, None)
                if query is not None:
                    yield query
                    sources.append(source)

    def _take_timed_out(self, now: Time) -> Generator[PendingQuery, None, None]:
        while self.timeouts and (self.timeouts[0].time <= now or self.timeouts[0].query.done):
            query = heappop(self.timeouts).query
            if not query.done:
                yield self._take(query)

    def _take_in_order(self) -> Generator[PendingQuery, None, None]:
        """Takes queries in order of arrival, those with an ordering key once all older input has been read.

        Older input is what arrived more than ORDER_SPACING earlier, including on connections not accepted
        yet. By the protocol, later input has no query of the same key, so the order of a key does not depend
        on the speed of the loop.
        """
        deferred: list[QueueEntry] = []
        self.waits_for_horizon = False
        try:
            while self.arrivals:
                entry = heappop(self.arrivals)
                query = entry.query
                if query.done:
                    continue
                if (
                    query.request.ordering_key is not None
                    and query.received_at - ORDER_SPACING > self.read_horizon
                ):
                    deferred.append(entry)
                    self.waits_for_horizon = True
                    continue
                yield self._take(query)
        finally:
            for entry in deferred:
                heappush(self.arrivals, entry)

    def _take(self, query: PendingQuery) -> PendingQuery:
        del self.pending[query.session]
        query.done = True
        return query

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do until a socket is ready or a timer is due."""
        return not self.pending and not self.work_left
