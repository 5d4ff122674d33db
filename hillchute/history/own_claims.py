"""The claims of this router's own queries, until their runs have ended and all holders know that.

Owns the claims and the order of those of one key. The first holders decide on them (claims.py).
"""

from collections import deque
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.messages import ClaimReply, ClaimRequest, Completion, CompletionReply
from hillchute.history.policy_distribution import PolicyDistribution
from hillchute.history.records import Record, RecordState
from hillchute.history.replica_context import RETRY_INTERVAL, ReplicaContext
from hillchute.history.slot_authority import SlotAuthority

MAX_CLAIM_BACKOFF = 2  # doublings of the time to the next try: a client waits behind a claim
MAX_COMPLETION_BACKOFF = 5  # and of a completion's
MAX_ROWS_SIZE = 4 << 20  # bytes of rows that are kept, half a message; of more the outcome alone
ABANDON_TIME: Time = 600_000  # a claim that was given up is reported to the holders for so long


class Decided(NamedTuple):
    """What became of one of this router's claims."""

    number: int
    decision: ClaimDecision
    reason: str
    rows: bytes | None


class KeyedQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A query that the history is asked about."""

    customer: str = ""
    ordering_key: str
    idempotency_key: str
    deadline: Time  # without a decision by then its claim is given up
    ordered: bool = False  # runs of its key follow one another
    is_transient: bool = False  # it has no idempotency key of its own: it is listed only while it runs

    @property
    def key(self) -> tuple[str, str]:
        """Ordered queries of one key are claimed one after another."""
        return self.customer, self.ordering_key


class OwnClaim(msgspec.Struct):
    """A claim of this router's own."""

    number: int
    query: KeyedQuery
    granted: Record | None = None
    outcome: Record | None = None  # how its run ended, until all holders have that
    sent_at: Time = 0
    tries: int = 0
    is_forwarded: bool = False  # another partner's router runs it; other claims of its key wait for it

    @property
    def is_decided(self) -> bool:
        """Whether a decision on it changes nothing any more."""
        return self.granted is not None or self.outcome is not None or self.is_forwarded


class OwnClaims:
    """One replica's part in claims as the router that makes them."""

    def __init__(
        self, context: ReplicaContext, authority: SlotAuthority, policies: PolicyDistribution
    ) -> None:
        self._context = context
        self._authority = authority
        self._policies = policies
        self.claims: dict[int, OwnClaim] = {}
        self.decided: list[Decided] = []  # for the router to take
        self._queues: dict[tuple[str, str], deque[int]] = {}  # by key: ordered claims that are not granted

    def receive(self, message: ClaimReply | CompletionReply) -> None:
        """A message about one of this router's claims came from a first holder."""
        match message:
            case ClaimReply():
                self.take_claim_reply(message)
            case CompletionReply():
                self.take_completion_reply(message)

    # ---- the router's side ----------------------------------------------------------------------------

    def add(self, query: KeyedQuery) -> int:
        """Makes a claim; returns its number, under which what becomes of it is said by the deadline."""
        claim = OwnClaim(self._context.next_number(), query)
        self.claims[claim.number] = claim
        if query.ordered:
            self._queues.setdefault(query.key, deque()).append(claim.number)
        if self._has_turn(claim):
            self._send_claim(claim)
        return claim.number

    def end(self, number: int, state: int, rows: bytes | None = None) -> None:
        """The query of a claim is over, granted or not: NOT_RUN if no attempt of it can have had an effect.
        Unknown claims are ignored."""
        claim = self.claims.get(number)
        if claim is not None and claim.outcome is None:
            self._end(claim, state, rows)

    def _end(self, claim: OwnClaim, state: int, rows: bytes | None = None) -> None:
        self._leave_queue(claim)
        if rows is not None and not self._keeps_rows(claim, rows):
            rows = None
        claim.tries = 0
        claim.outcome = msgspec.structs.replace(
            claim.granted or self._never_granted(claim), state=state, rows=rows
        )
        self._send_completion(claim)

    def _keeps_rows(self, claim: OwnClaim, rows: bytes) -> bool:
        policy = self._context.policies.policy_for(claim.query.customer)
        return (
            policy.rows
            and not claim.query.is_transient
            and len(rows) <= min(MAX_ROWS_SIZE, policy.most_bytes)
        )

    def _never_granted(self, claim: OwnClaim) -> Record:
        """The record of a claim that was given up before it was decided on: its attempt is 0."""
        return Record(
            customer=claim.query.customer,
            ordering_key=claim.query.ordering_key,
            idempotency_key=claim.query.idempotency_key,
            granted_at=0,
            sequence=0 if claim.query.is_transient else 1,
            attempt=0,
            router=self._context.name,
            incarnation=self._context.incarnation,
            claim_number=claim.number,
            timeout=0,
        )

    # ---- the order of one key -------------------------------------------------------------------------

    def _has_turn(self, claim: OwnClaim) -> bool:
        """Of one key, claims are made one at a time, in the order in which their queries came."""
        return not claim.query.ordered or self._queues[claim.query.key][0] == claim.number

    def _leave_queue(self, claim: OwnClaim) -> None:
        queue = self._queues.get(claim.query.key)
        if not claim.query.ordered or queue is None or claim.number not in queue:
            return
        was_first = queue[0] == claim.number
        queue.remove(claim.number)
        if not queue:
            del self._queues[claim.query.key]
        elif was_first:
            self._send_claim(self.claims[queue[0]])

    # ---- messages -------------------------------------------------------------------------------------

    def _send_claim(self, claim: OwnClaim) -> None:
        context = self._context
        claim.sent_at = context.now
        claim.tries += 1
        holder = self._authority.first_holder(claim.query.customer, claim.query.ordering_key)
        if holder is None:
            return
        request = ClaimRequest(
            view=context.views.view.id,
            number=claim.number,
            incarnation=context.incarnation,
            customer=claim.query.customer,
            ordering_key=claim.query.ordering_key,
            idempotency_key=claim.query.idempotency_key,
            time_left=max(0, claim.query.deadline - context.now),
            ordered=claim.query.ordered,
            is_transient=claim.query.is_transient,
        )
        context.send(holder, request)

    def _send_completion(self, claim: OwnClaim) -> None:
        claim.sent_at = self._context.now
        claim.tries += 1
        holder = self._authority.first_holder(claim.query.customer, claim.query.ordering_key)
        if holder is not None and claim.outcome is not None:
            self._context.send(holder, Completion(self._context.views.view.id, claim.outcome))

    def take_completion_reply(self, reply: CompletionReply) -> None:
        """All holders know how a run ended: its claim is over."""
        claim = self.claims.get(reply.number)
        is_ours = reply.incarnation == self._context.incarnation
        if is_ours and claim is not None and claim.outcome is not None:
            del self.claims[reply.number]

    def take_claim_reply(self, reply: ClaimReply) -> None:
        """A first holder has decided on a claim."""
        if reply.incarnation != self._context.incarnation:
            return
        decision = ClaimDecision(reply.decision)
        claim = self.claims.get(reply.number)
        if claim is None:
            if decision is ClaimDecision.RUN and reply.record is not None:
                self._release(reply.number, reply.record)
            return
        if claim.is_decided:
            return
        if decision is ClaimDecision.REPLAY and not self._may_replay(reply.record):
            return
        if decision in (ClaimDecision.WAIT, ClaimDecision.REJECT):
            claim.sent_at = self._context.now  # it is repeated until its deadline
            return
        self._settle(claim, decision, reply)

    def _settle(self, claim: OwnClaim, decision: ClaimDecision, reply: ClaimReply) -> None:
        rows: bytes | None = None
        if decision is ClaimDecision.RUN:
            if reply.record is None or self._context.now >= claim.query.deadline:
                return  # it is given up at its deadline
            claim.granted = reply.record
            self._leave_queue(claim)
        elif decision is ClaimDecision.FORWARD:
            # It stays in its queue until its end is known: what came after it must not overtake it.
            claim.is_forwarded = True
        else:
            rows = reply.record.rows if reply.record is not None else None
            if decision is ClaimDecision.REPLAY and rows is None:  # no holder says so
                decision = ClaimDecision.FAIL
            self._leave_queue(claim)
            del self.claims[claim.number]
        self.decided.append(Decided(claim.number, decision, reply.reason, rows))

    def _release(self, number: int, granted: Record) -> None:
        """Ends a claim that was granted when it was over here: nobody else would."""
        record = msgspec.structs.replace(granted, state=RecordState.NOT_RUN)
        query = KeyedQuery(
            customer=record.customer,
            ordering_key=record.ordering_key,
            idempotency_key=record.idempotency_key,
            deadline=self._context.now,
            is_transient=record.is_transient,
        )
        claim = OwnClaim(number, query, granted=record, outcome=record)
        self.claims[number] = claim
        self._send_completion(claim)

    def _may_replay(self, record: Record | None) -> bool:
        """Guards against an answer that waited in a paused process until it was forbidden."""
        context = self._context
        if record is None or not context.views.in_force(context.now) or not self._policies.are_current:
            return False
        about = (record.customer, record.ordering_key, record.granted_at)
        return not context.policies.is_erasure_requested(*about)

    # ---- time -----------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Repeats what was not answered, and gives up what is past its deadline."""
        for claim in list(self.claims.values()):
            if claim.number in self.claims:  # the end of one may bring the decision on the next
                self._check(claim)

    def _check(self, claim: OwnClaim) -> None:
        now = self._context.now
        if claim.outcome is not None:
            if self._is_due(claim, MAX_COMPLETION_BACKOFF):
                self._send_completion(claim)
            if claim.granted is None and now - claim.query.deadline > ABANDON_TIME:
                self.claims.pop(claim.number, None)  # by now the holders take its run, if any, for over
        elif claim.is_forwarded:
            if now - claim.query.deadline > ABANDON_TIME:
                self._end(claim, RecordState.NOT_RUN)
        elif claim.granted is not None:
            return
        elif now >= claim.query.deadline:
            self.decided.append(Decided(claim.number, ClaimDecision.REJECT, "no verdict in time", None))
            self._end(claim, RecordState.NOT_RUN)
        elif self._is_due(claim, MAX_CLAIM_BACKOFF) and self._has_turn(claim):
            self._send_claim(claim)

    def _is_due(self, claim: OwnClaim, max_backoff: int) -> bool:
        interval = RETRY_INTERVAL << min(claim.tries, max_backoff)
        return self._context.now - claim.sent_at >= interval
