"""The order of work in one round of the event loop, and how much of each kind a round does.

A round is: timers (final answers first); what engines send; what clients send (all of it is read, and who
gave up is known at once); then queries in the order in which their bytes came; then new connections. Each
part has a bound, and what it leaves goes first in the next round, so that none is starved and a round stays
short however much has come.

Owns the queries that were read and not taken yet, and the time up to which all input is known. Never touches
a socket, reads a clock or looks at what a query is; only the scheduler rejects queries. Times are whole
tenths of a millisecond.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import NamedTuple, Protocol, TypeVar

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

ENGINE_READ_BUDGET: Time = 200  # 20 ms of a round for what engines send: clients wait no longer for them
QUERY_BUDGET: Time = 200  # 20 ms for new queries: some forty, or hundreds that are rejected
ACCEPT_LIMIT = 64  # connections a round, about 5 ms: a burst of hundreds must not delay open sessions
LISTEN_BACKLOG = 4_096  # connections that the kernel may hold; one that it can't hold comes 0.2 s later
# 50 ms after its timeout a query with an ordering key is sure to be rejected: the loop's lag decays a little.
ORDERED_TIMEOUT_GRACE: Time = 500
# 50 ms: queries of one key are written 60 ms apart, and the clocks of sockets are coarse.
ORDER_SPACING: Time = 500


class Served(Protocol):
    """A connection that knows the number of the round in which it was last served."""

    served: int


ServedT = TypeVar("ServedT", bound=Served)


@dataclass(slots=True, eq=False)
class PendingQuery:
    """A complete query that was read and is not taken yet."""

    session: int
    request: Request
    received_at: Time  # when its last byte came
    ready_at: Time  # since when it could have been taken
    done: bool = False  # taken, or given up by its client


class QueueEntry(NamedTuple):
    """A heap's entry; `number` keeps the order of queries with the same time."""

    time: Time
    number: int
    query: PendingQuery


class RoundSchedule:
    """Whose turn it is in the present round."""

    def __init__(self) -> None:
        self.number = 0
        self.arrivals: list[QueueEntry] = []  # heap by the time of arrival
        self.timeouts: list[QueueEntry] = []  # heap of the same queries by the time their answer is due
        self.pending: dict[int, PendingQuery] = {}  # by session
        self.enqueued = 0
        self.read_horizon: Time = 0  # all bytes that came before this, on any connection, have been read
        self.backlog_empty_at: Time = 0  # when the kernel was last seen to hold no new connection
        self.waits_for_horizon = False  # a query with an ordering key waits for older input to be read
        self.work_left = False  # something that was ready was left for the next round
        self.last_client_activity: Time = 0  # when a byte or connection last came from a client

    def begin(self) -> None:
        """Starts the next round."""
        self.number += 1
        self.work_left = False

    def least_recently_served(self, connections: Iterable[ServedT]) -> list[ServedT]:
        """The connections in the order of their turns: the kernel names the same ones first each time."""
        return sorted(connections, key=lambda connection: connection.served)

    def sockets_read(self, polled_at: Time, connections_waiting: bool) -> None:
        """All sockets that were ready when the poller was asked, not before `polled_at`, were read once.

        `connections_waiting`: it also found connections that are not accepted yet, whose input is unknown.
        """
        if not connections_waiting:
            self.backlog_empty_at = polled_at
        self.read_horizon = min(polled_at, self.backlog_empty_at)

    def connections_accepted(self, now: Time, backlog_empty: bool) -> None:
        """New connections were accepted up to this round's limit, or until the kernel held no more."""
        if backlog_empty:
            self.backlog_empty_at = now
        else:
            self.work_left = True

    @property
    def accept_limit(self) -> int:
        """Connections this round may accept: all while a query waits for its place in a key's order."""
        return LISTEN_BACKLOG if self.waits_for_horizon else ACCEPT_LIMIT

    # ---- queries ----------------------------------------------------------------------------------

    def enqueue(
        self, session: int, request: Request, received_at: Time, ready_at: Time, answer_by: Time
    ) -> None:
        """Adds a query; a session has one at a time."""
        query = PendingQuery(session, request, received_at, ready_at)
        self.pending[session] = query
        self.enqueued += 1
        if request.key is not None:
            answer_by += ORDERED_TIMEOUT_GRACE
        heappush(self.arrivals, QueueEntry(received_at, self.enqueued, query))
        heappush(self.timeouts, QueueEntry(answer_by, self.enqueued, query))

    def discard(self, session: int) -> bool:
        """Removes the query of a client that gave it up; False where none is pending."""
        query = self.pending.pop(session, None)
        if query is None:
            return False
        query.done = True
        return True

    def take_queries(self, now: Time) -> Iterator[PendingQuery]:
        """Takes the queries whose turn it is, until the caller stops.

        First those that have timed out, since an answer is all they can still get, then in the order of
        arrival.
        """
        yield from self._take_timed_out(now)
        yield from self._take_in_order()

    def _take_timed_out(self, now: Time) -> Iterator[PendingQuery]:
        while self.timeouts and (self.timeouts[0].time <= now or self.timeouts[0].query.done):
            query = heappop(self.timeouts).query
            if not query.done:
                yield self._take(query)

    def _take_in_order(self) -> Iterator[PendingQuery]:
        """Takes a query with an ordering key only once all that came up to 50 ms before it has been read.

        That includes connections that were not accepted then. What came nearer than that is not of the same
        key, by the protocol, so the order of a key does not rest on the loop being fast.
        """
        too_early: list[QueueEntry] = []
        self.waits_for_horizon = False
        try:
            while self.arrivals:
                entry = heappop(self.arrivals)
                query = entry.query
                if query.done:
                    continue
                if query.request.key is not None and query.received_at - ORDER_SPACING > self.read_horizon:
                    too_early.append(entry)
                    self.waits_for_horizon = True
                    continue
                yield self._take(query)
        finally:
            for entry in too_early:
                heappush(self.arrivals, entry)

    def _take(self, query: PendingQuery) -> PendingQuery:
        del self.pending[query.session]
        query.done = True
        return query

    @property
    def idle(self) -> bool:
        """Whether nothing is left to do until a socket is ready or a timer is due."""
        return not self.pending and not self.work_left
