"""The order of work in one round of the loop, and how much of each kind a round does.

Owns the line of queries that were read and not handed on yet, and the time up to which all that has come
is known. Must never touch a socket, look at a clock or know what is asked; the module alone turns work away.

A round is: timers (final answers first), what engines say, what clients send (all of it is read, and who
gave up is heard at once), then queries in the order in which their bytes came, then new connections. Each
part has a bound, and what it leaves goes first in the next round, so none is starved and a turn of the loop
stays short however much has come. Times are whole tenths of a millisecond.
"""

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import Protocol

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

ENGINES_TIME: Time = 200  # 20 ms of a round for what engines say: clients wait no longer for them
QUERIES_TIME: Time = 200  # 20 ms for new queries: some forty, or hundreds that are turned away
ACCEPTS = 64  # connections a round: about 5 ms; a burst of hundreds must not hold up those that are served
BACKLOG = (
    4_096  # connections that the kernel may hold for us; what it can't hold comes a fifth of a second late
)
SETTLED: Time = 500  # 50 ms past its end a query of a key is refused for certain: lateness fades a little
SPACED: Time = 500  # 50 ms: requests of one key are written 60 ms apart, and the clocks of sockets are coarse


class Served(Protocol):
    served: int


class Waiting:
    """One query that was read: `since` its last byte came, `ready` to be taken since then."""

    __slots__ = ("session", "request", "since", "ready", "over")

    def __init__(self, session: int, request: Request, since: Time, ready: Time) -> None:
        self.session, self.request, self.since, self.ready = session, request, since, ready
        self.over = False  # handed on, or given up


class Rounds:
    def __init__(self) -> None:
        self.number = 0
        self.line: list[tuple[Time, int, Waiting]] = []  # heap: the longest come first
        self.ends: list[
            tuple[Time, int, Waiting]
        ] = []  # heap of the same: whose time for an answer is up first
        self.of: dict[int, Waiting] = {}  # by session
        self.count = 0
        self.horizon: Time = 0  # all bytes that came before this, on whatever connection, have been read
        self.emptied: Time = 0  # when the kernel was last seen to hold no new connection
        self.holding = False  # a query waits for the horizon
        self.put_off = False  # something that was ready was left for the next round
        self.heard: Time = 0  # when something last came from a client, new connections included

    def begin(self) -> None:
        self.number += 1
        self.put_off = False

    def in_turn(self, owners: Iterable[Served]) -> list[Served]:
        """Who was left alone longest goes first: the kernel would name the same ones first each time."""
        return sorted(owners, key=lambda owner: owner.served)

    def read_all(self, before: Time, knocks: bool) -> None:
        """All sockets that were ready in a look after this time have been read once; `knocks` if that look
        found connections that were not taken yet. Then what came on those is not known."""
        if not knocks:
            self.emptied = before
        self.horizon = min(before, self.emptied)

    def accepted(self, now: Time, all: bool) -> None:
        """The kernel was asked for new connections at this time, and gave them up to the last one or not."""
        if all:
            self.emptied = now
        else:
            self.put_off = True

    @property
    def accepts(self) -> int:
        """Connections that this round may take: all, while a query waits for its place in a key's order."""
        return BACKLOG if self.holding else ACCEPTS

    # ---- queries ----------------------------------------------------------------------------------

    def put(self, session: int, request: Request, since: Time, ready: Time, end: Time) -> None:
        """A query has been read whole, and must be answered by an end; a session has one at a time."""
        waiting = self.of[session] = Waiting(session, request, since, ready)
        self.count += 1
        heappush(self.line, (since, self.count, waiting))
        heappush(self.ends, (end if request.key is None else end + SETTLED, self.count, waiting))

    def drop(self, session: int) -> bool:
        """Its client gave it up; False where it was handed on already, or there was none."""
        waiting = self.of.pop(session, None)
        if waiting is None:
            return False
        waiting.over = True
        return True

    def queries(self, now: Time) -> Iterable[Waiting]:
        """Those whose turn it is: first whose end has come, since an answer is all they can still get, then
        the longest come; the caller stops when that part's time is over.

        Guards rule 5 by construction. A query with a key is given only once everything that came up to 50 ms
        before it has been read, on connections that the program had not even taken then; what came nearer
        than that is not of the same key, by the protocol. The order does not rest on the loop being fast.
        """
        while self.ends and (self.ends[0][0] <= now or self.ends[0][2].over):
            waiting = heappop(self.ends)[2]
            if not waiting.over:
                yield self.taken(waiting)
        held = []
        self.holding = False
        try:
            while self.line:
                entry = heappop(self.line)
                waiting = entry[2]
                if waiting.over:
                    continue
                if waiting.request.key is not None and waiting.since - SPACED > self.horizon:
                    held.append(entry)
                    self.holding = True
                    continue
                yield self.taken(waiting)
        finally:
            for entry in held:
                heappush(self.line, entry)

    def taken(self, waiting: Waiting) -> Waiting:
        del self.of[waiting.session]
        waiting.over = True
        return waiting

    @property
    def idle(self) -> bool:
        """Nothing is left to do until a socket is ready or a timer is due."""
        return not self.of and not self.put_off
