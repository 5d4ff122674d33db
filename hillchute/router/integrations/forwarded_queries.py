"""Queries that are forwarded between partners' routers: the adapter between the reducer and `QueryForwarder`.

Maps the reducer's queries to forwarded ones, and answers the queries that other routers forwarded.
Transmission and retransmission are in partners/forwarding.py.
"""

from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from hillchute.decision.interface import Time
from hillchute.engines.words import Rows, Stream
from hillchute.fronts.events import ClientGone, QueryReceived, StreamUnreadable
from hillchute.partners import messages
from hillchute.partners.forwarding import Arrival, Completion, QueryForwarder
from hillchute.partners.messages import ForwardOutcome
from hillchute.peers.datagrams import PeerState
from hillchute.peers.node import Node
from hillchute.router.effects import CancelForward, ForwardQuery
from hillchute.router.events import ClaimDecided, ClaimVerdict
from hillchute.router.integrations.fragmented_channel import ExtensionContext, QueryKey
from hillchute.router.integrations.rows_codec import decode_rows, encode_rows
from hillchute.router.request_rules import history_key
from hillchute.statements.request import Request

VERDICTS = {
    ForwardOutcome.SERVED: ClaimVerdict.REPLAY,
    ForwardOutcome.REJECTED: ClaimVerdict.REJECT,
    ForwardOutcome.FAILED: ClaimVerdict.FAIL,
}


class ForwardedQueries:
    """Outgoing and incoming queries of one router; for the incoming it implements
    `interface.ForwardingFrontend`."""

    def __init__(self, *, context: ExtensionContext, router_clock: Callable[[], Time]) -> None:
        """`router_clock`: the clock of the reducer's events, which differs from the peers' clock."""
        node = context.node
        self.context = context
        self.router_clock = router_clock
        is_over = partial(is_generation_over, node)
        self.forwarder = QueryForwarder(node.name, node.generation, node.generations, is_over)
        self.forward_numbers: dict[QueryKey, int] = {}  # the forwarder's numbers of outgoing queries
        self.queries: dict[int, QueryKey] = {}  # by the forwarder's number

    # ---- outgoing: the reducer's queries ------------------------------------------------------------------

    def forward(self, effect: ForwardQuery, routers: Iterable[str]) -> None:
        """Forwards a query to one of its owner's routers; the result is delivered as a ClaimDecided event."""
        request = effect.request
        customer, key, _ = history_key(request)
        target = self.forwarder.choose_target(routers, customer, key)
        if target is None:
            reason = "no router of its slot's owner is known to live"
            self.context.handle(ClaimDecided(effect.query, effect.number, ClaimVerdict.REJECT, reason, None))
            return
        now = self.context.clock()
        message = message_of(request, effect.time_left)
        number = self.forwarder.forward(now, target, message, now + effect.time_left)
        query = (effect.query, effect.number)
        self.forward_numbers[query] = number
        self.queries[number] = query
        self.context.schedule_messages()

    def cancel(self, effect: CancelForward) -> None:
        """Cancels a forwarded query whose client has gone; a query that has ended is ignored."""
        number = self.forward_numbers.pop((effect.query, effect.number), None)
        if number is not None:
            self.queries.pop(number, None)
            self.forwarder.cancel(number)
            self.context.schedule_messages()

    # ---- from the forwarder to the reducer ----------------------------------------------------------------

    def deliver(self) -> None:
        """Passes completed, arrived and abandoned queries to the reducer."""
        forwarder = self.forwarder
        completions, forwarder.completions = forwarder.completions, []
        arrivals, forwarder.arrivals = forwarder.arrivals, []
        abandoned, forwarder.abandoned = forwarder.abandoned, []
        for completion in completions:
            query = self.queries.pop(completion.number, None)
            if query is not None:
                del self.forward_numbers[query]
                self.context.handle(claim_decided(query, completion))
        for arrival in arrivals:
            self.context.handle(QueryReceived(arrival.session, request_of(arrival), self.router_clock()))
        for session in abandoned:
            self.context.handle(ClientGone(session))

    @property
    def has_unacknowledged_results(self) -> bool:
        """Whether a result was sent whose arrival is not confirmed."""
        return self.forwarder.has_unacknowledged_results

    # ---- the frontend of incoming queries -----------------------------------------------------------------

    def finish(self, session: int, rows: Rows) -> None:
        """Answers with the rows of a served query."""
        self._answer(session, ForwardOutcome.SERVED, "", encode_rows(rows))

    def reject(self, session: int, retry_after: Time) -> None:
        """Answers that the query was rejected without effect. The forwarding router chooses its own retry
        delay."""
        del retry_after
        self._answer(session, ForwardOutcome.REJECTED, "its owner's router turned it away")

    def fail(self, session: int, reason: str) -> None:
        """Answers that the query failed; it may have run."""
        self._answer(session, ForwardOutcome.FAILED, reason)

    def abort_stream(self, session: int, reason: str) -> None:
        """Answers that a result was aborted after its start."""
        self._answer(session, ForwardOutcome.FAILED, reason)

    def start_stream(self, session: int, stream: Stream) -> None:
        """Rejects a streamed result: only short results are forwarded."""
        stream.close()
        self.context.handle(StreamUnreadable(session, "a result that comes as a stream can't be passed on"))

    def _answer(self, session: int, outcome: ForwardOutcome, reason: str, rows: bytes | None = None) -> None:
        self.forwarder.answer(self.context.clock(), session, outcome, reason, rows)
        self.context.schedule_messages()


def is_generation_over(node: Node, router: str, generation: int) -> bool:
    """Whether a generation of a router is known to have ended: the router is dead or unknown, or a datagram
    of a later generation was accepted (0: no generation is known). A router that shuts down still answers."""
    peer = node.failure_detector.peers.get(router)
    if peer is None or peer.state == PeerState.DEAD:
        return True
    window = node.replay_windows.get(router)
    return window is not None and generation != 0 and window.generation > generation


def claim_decided(query: QueryKey, completion: Completion) -> ClaimDecided:
    """The event that tells the reducer how a forwarded query ended."""
    outcome = completion.outcome
    reason = completion.reason
    try:
        rows = None if completion.rows is None else decode_rows(completion.rows)
    except msgspec.DecodeError:
        rows = None
        outcome = ForwardOutcome.FAILED
        reason = "its rows can't be read"
    if outcome is ForwardOutcome.SERVED and rows is None:
        outcome = ForwardOutcome.FAILED
        reason = "it has finished; its rows did not come"
    query_id, number = query
    return ClaimDecided(query_id, number, VERDICTS[outcome], f"passed on: {reason}", rows)


def message_of(request: Request, time_left: Time) -> messages.ForwardQuery:
    """The message for a request; the forwarder fills in number and incarnations."""
    return messages.ForwardQuery(
        number=0,
        incarnation=0,
        target_incarnation=0,
        query_id=request.id,
        group=request.group,
        statement=request.statement,
        idempotency_key=request.idempotency_key,
        cost=request.cost,
        memory=request.memory_mb,
        ordering_key=request.ordering_key,
        customer=request.customer,
        time_left=time_left,
    )


def request_of(arrival: Arrival) -> Request:
    """The request for a forwarded query; its client timeout is the time left."""
    query = arrival.query
    return Request(
        id=query.query_id,
        group=query.group,
        client_timeout=query.time_left,
        statement=query.statement,
        idempotency_key=query.idempotency_key,
        cost=query.cost,
        memory_mb=query.memory,
        ordering_key=query.ordering_key,
        customer=query.customer,
    )
