"""Forwarding of queries to a router of the partner that owns their slot: the sending and the receiving side.

Performs no I/O: takes events and the time, and returns messages. Keeps an outgoing query until it is answered
and the result of an incoming one until its arrival is acknowledged. Does not run queries, does not access the
answer history, and does not forward a query that was forwarded to it.

The forwarding router answers its client no later than the deadline. A query that was sent may have been
accepted and run, so without a result it counts as failed, not as rejected. A query is addressed to one
incarnation of one router: a restarted router accepts no query sent to its previous incarnation, and an
incarnation that has ended answers none, so queries to it fail at once. Each message is retransmitted until
the next step of the exchange shows that it arrived. Messages are identified by the sender's incarnation and
number, so a repeated message does not start a query again.

Times are in tenths of a millisecond on the clock of one router.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.fronts.events import FIRST_FORWARDED_SESSION
from hillchute.history.slot_placement import slot_of, weight
from hillchute.partners.messages import (
    ForwardAccepted,
    ForwardCancel,
    ForwardingMessage,
    ForwardOutcome,
    ForwardQuery,
    ForwardResult,
    ForwardResultAck,
)
from hillchute.peers.messages import MAX_MESSAGE_BYTES

RETRANSMIT_AFTER: Time = 1_000  # 0.1 s, several round trips: the base of the retransmission interval
MAX_DOUBLINGS = 4  # of the interval, which doubles with each transmission
# Ten minutes, in which a repeated message of an incoming query is recognised.
KEPT_AFTER_DEADLINE: Time = 6_000_000
# Two seconds; by then the forwarding router has answered its client.
RESULT_RETRIES_AFTER_DEADLINE: Time = 20_000
MAX_RESULT_BYTES = MAX_MESSAGE_BYTES - 4096  # of rows; the rest is for the other fields of the message
MAX_REASON_LENGTH = 256  # characters


class OutgoingQuery(msgspec.Struct):
    """A query that this router forwarded."""

    message: ForwardQuery
    target: str
    deadline: Time
    sent_at: Time
    transmissions: int = 0
    accepted: bool = False


class IncomingQuery(msgspec.Struct):
    """A query that was forwarded to this router."""

    sender: str
    number: int  # assigned by the sender, like `incarnation`
    incarnation: int
    session: int
    deadline: Time
    result: ForwardResult | None = None  # None again once its arrival is acknowledged
    sent_at: Time = 0
    transmissions: int = 0
    closed: bool = False  # the result has arrived, or the sender no longer waits for it


class Completion(NamedTuple):
    """The outcome of a query that this router forwarded, by the query's number."""

    number: int
    outcome: ForwardOutcome
    reason: str
    rows: bytes | None


class Arrival(NamedTuple):
    """A query that was forwarded to this router and is to run here, under its own session number."""

    session: int
    query: ForwardQuery


class QueryForwarder:
    """The outgoing and incoming forwarded queries of one router.

    The caller takes and empties the lists `outbox` (messages with their receivers), `completions`, `arrivals`
    and `abandoned` (sessions whose result the sender no longer waits for).
    """

    def __init__(
        self,
        router: str,
        incarnation: int,
        live_routers: Callable[[], Mapping[str, int]],
        is_over: Callable[[str, int], bool],
    ) -> None:
        """`live_routers` returns the live routers with their incarnations.

        `is_over` returns whether an incarnation of a router is known to have ended. A router that is shutting
        down still answers, so its incarnation has not ended.
        """
        self.router = router
        self.incarnation = incarnation
        self.live_routers = live_routers
        self.is_over = is_over
        self.last_number = 0
        self.last_session = FIRST_FORWARDED_SESSION
        self.outgoing: dict[int, OutgoingQuery] = {}
        self.incoming: dict[tuple[str, int, int], IncomingQuery] = {}  # by sender, incarnation and number
        self.by_session: dict[int, IncomingQuery] = {}
        self.outbox: list[tuple[str, ForwardingMessage]] = []
        self.completions: list[Completion] = []
        self.arrivals: list[Arrival] = []
        self.abandoned: list[int] = []
        self.counts: Counter[str] = Counter()

    # ---- outgoing ------------------------------------------------------------------------------------

    def choose_target(self, routers: Iterable[str], customer: str, key: str) -> str | None:
        """Return one of the owner's live routers, or None; the same one for all queries of a slot."""
        live = self.live_routers()
        slot = slot_of(customer, key)
        candidates = [name for name in routers if name in live and name != self.router]
        return max(candidates, key=lambda name: (weight(slot, name), name), default=None)

    def forward(self, now: Time, target: str, message: ForwardQuery, deadline: Time) -> int:
        """Forward a query and return its number. The number and the incarnations are filled in here."""
        self.last_number += 1
        numbered = msgspec.structs.replace(
            message,
            number=self.last_number,
            incarnation=self.incarnation,
            target_incarnation=self.live_routers().get(target, 0),
        )
        query = OutgoingQuery(numbered, target, deadline, now)
        self.outgoing[self.last_number] = query
        self.counts["forwarded"] += 1
        self.transmit_query(now, query)
        return self.last_number

    def transmit_query(self, now: Time, query: OutgoingQuery) -> None:
        """Send a query, for the first time or again, with the time left until its deadline."""
        query.sent_at = now
        query.transmissions += 1
        time_left = max(0, query.deadline - now)
        self.outbox.append((query.target, msgspec.structs.replace(query.message, time_left=time_left)))

    def cancel(self, number: int) -> None:
        """Cancel an outgoing query whose client has left; unknown numbers are ignored."""
        query = self.outgoing.pop(number, None)
        if query is not None:
            self.outbox.append((query.target, ForwardCancel(number, self.incarnation)))

    def complete(self, number: int, outcome: ForwardOutcome, reason: str, rows: bytes | None = None) -> None:
        """End a query that this router forwarded."""
        del self.outgoing[number]
        self.completions.append(Completion(number, outcome, reason, rows))

    # ---- incoming ------------------------------------------------------------------------------------

    def accept(self, now: Time, sender: str, message: ForwardQuery) -> None:
        """Accept a query that was sent to this incarnation once, and confirm it each time it arrives."""
        if message.target_incarnation != self.incarnation:
            return  # the previous incarnation may have run it
        key = (sender, message.incarnation, message.number)
        query = self.incoming.get(key)
        if query is None:
            self.last_session += 1
            query = IncomingQuery(
                sender=sender,
                number=message.number,
                incarnation=message.incarnation,
                session=self.last_session,
                deadline=now + message.time_left,
            )
            self.incoming[key] = query
            self.by_session[query.session] = query
            self.arrivals.append(Arrival(query.session, message))
            self.counts["accepted"] += 1
        if query.result is None and not query.closed:
            self.outbox.append((sender, ForwardAccepted(message.number, message.incarnation)))

    def answer(
        self, now: Time, session: int, outcome: ForwardOutcome, reason: str, rows: bytes | None = None
    ) -> None:
        """Send the final answer of a query that was forwarded to this router; later answers are ignored."""
        query = self.by_session.get(session)
        if query is None or query.result is not None or query.closed:
            return
        if rows is not None and len(rows) > MAX_RESULT_BYTES:
            outcome = ForwardOutcome.FAILED
            reason = f"its result has {len(rows)} bytes, {MAX_RESULT_BYTES} can be passed on"
            rows = None
        query.result = ForwardResult(
            query.number, query.incarnation, outcome, reason[:MAX_REASON_LENGTH], rows
        )
        self.transmit_result(now, query, query.result)

    def transmit_result(self, now: Time, query: IncomingQuery, result: ForwardResult) -> None:
        """Send a result, for the first time or again."""
        query.sent_at = now
        query.transmissions += 1
        self.outbox.append((query.sender, result))

    @property
    def has_unacknowledged_results(self) -> bool:
        """Whether a result was sent whose arrival is not acknowledged yet."""
        return any(query.result is not None for query in self.incoming.values())

    # ---- messages and time ---------------------------------------------------------------------------

    def receive(self, now: Time, sender: str, message: ForwardingMessage) -> None:
        """Handle a message from another router."""
        match message:
            case ForwardQuery():
                self.accept(now, sender, message)
            case ForwardAccepted():
                query = self._outgoing_to(sender, message.number, message.incarnation)
                if query is not None:
                    query.accepted = True
            case ForwardResult():
                self._receive_result(sender, message)
            case ForwardResultAck():
                incoming = self.incoming.get((sender, message.incarnation, message.number))
                if incoming is not None and incoming.result is not None:
                    self._close_incoming(incoming)
            case ForwardCancel():
                self._receive_cancel(sender, message)

    def _outgoing_to(self, target: str, number: int, incarnation: int) -> OutgoingQuery | None:
        query = self.outgoing.get(number) if incarnation == self.incarnation else None
        return query if query is not None and query.target == target else None

    def _receive_result(self, sender: str, message: ForwardResult) -> None:
        if message.incarnation == self.incarnation:
            self.outbox.append((sender, ForwardResultAck(message.number, message.incarnation)))
        if self._outgoing_to(sender, message.number, message.incarnation) is not None:
            self.complete(message.number, message.outcome, message.reason, message.rows)

    def _receive_cancel(self, sender: str, message: ForwardCancel) -> None:
        query = self.incoming.get((sender, message.incarnation, message.number))
        if query is None or query.closed:
            return
        query.closed = True
        if query.result is None:
            self.abandoned.append(query.session)

    @staticmethod
    def _close_incoming(query: IncomingQuery) -> None:
        query.closed = True
        query.result = None

    def tick(self, now: Time) -> None:
        """Retransmit unconfirmed messages, and end queries past their deadline or retention time."""
        for number, query in list(self.outgoing.items()):
            self._tick_outgoing(now, number, query)
        for key, incoming in list(self.incoming.items()):
            self._tick_incoming(now, key, incoming)

    def _tick_outgoing(self, now: Time, number: int, query: OutgoingQuery) -> None:
        if self.is_over(query.target, query.message.target_incarnation):
            self.complete(number, ForwardOutcome.FAILED, "its owner's router is gone; it may have run")
            return
        if now >= query.deadline:
            self.outbox.append((query.target, ForwardCancel(number, self.incarnation)))
            self.complete(number, ForwardOutcome.FAILED, "no answer from its owner's router; it may have run")
            return
        # An accepted query is retransmitted too, at the longest interval: the confirmation may have been for
        # an earlier transmission.
        doublings = MAX_DOUBLINGS if query.accepted else min(query.transmissions, MAX_DOUBLINGS)
        if now - query.sent_at >= RETRANSMIT_AFTER << doublings:
            self.transmit_query(now, query)

    def _tick_incoming(self, now: Time, key: tuple[str, int, int], query: IncomingQuery) -> None:
        if now - query.deadline > KEPT_AFTER_DEADLINE:
            del self.incoming[key]
            del self.by_session[query.session]
            return
        if query.result is None:
            return
        if now - query.deadline > RESULT_RETRIES_AFTER_DEADLINE:
            self._close_incoming(query)
        elif now - query.sent_at >= RETRANSMIT_AFTER << min(query.transmissions, MAX_DOUBLINGS):
            self.transmit_result(now, query, query.result)
