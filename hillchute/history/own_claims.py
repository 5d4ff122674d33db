"""Makes the claims for this router's queries and reports how their runs ended to the first holders.

A claim is kept until every holder has stored the outcome of its run. For ordered queries of one key, claims
are made one at a time. The first holders decide on claims (claims.py).
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

MAX_CLAIM_BACKOFF = 2  # doublings of the retry interval; low, as a client waits for the claim
MAX_COMPLETION_BACKOFF = 5  # doublings of the retry interval of completions
MAX_ROWS_SIZE = 4 << 20  # bytes, half of a message; with more rows only the outcome is kept
ABANDONED_CLAIM_TIME: Time = 600_000  # one minute; how long past its deadline an abandoned claim is reported


class DecidedClaim(NamedTuple):
    """The decision on one of this router's claims."""

    number: int
    decision: ClaimDecision
    reason: str
    rows: bytes | None


class KeyedQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A query for which a claim is made."""

    customer: str = ""
    ordering_key: str
    idempotency_key: str
    deadline: Time  # its claim is abandoned if undecided by then
    ordered: bool = False  # queries of its key run one after another
    is_transient: bool = False  # without an idempotency key of its own: recorded only while it runs

    @property
    def key(self) -> tuple[str, str]:
        """Claims for ordered queries with the same key are made one at a time."""
        return self.customer, self.ordering_key


class OwnClaim(msgspec.Struct):
    """A claim for one of this router's queries."""

    number: int
    query: KeyedQuery
    granted: Record | None = None
    outcome: Record | None = None  # how its run ended; not yet stored by all holders
    sent_at: Time = 0
    send_count: int = 0
    is_forwarded: bool = False  # a router of another partner runs it; later claims of its key wait

    @property
    def is_decided(self) -> bool:
        """Whether a further decision on it has no effect."""
        return self.granted is not None or self.outcome is not None or self.is_forwarded


class OwnClaims:
    """The claims that one router makes."""

    def __init__(
        self, context: ReplicaContext, authority: SlotAuthority, policies: PolicyDistribution
    ) -> None:
        self._context = context
        self._authority = authority
        self._policies = policies
        self.claims: dict[int, OwnClaim] = {}
        self.decided: list[DecidedClaim] = []  # not yet fetched by the router
        self._queues: dict[tuple[str, str], deque[int]] = {}  # by key: ordered claims not yet granted

    def receive(self, message: ClaimReply | CompletionReply) -> None:
        """Handles a message from a first holder about one of this router's claims."""
        match message:
            case ClaimReply():
                self.handle_claim_reply(message)
            case CompletionReply():
                self.handle_completion_reply(message)

    # ---- calls from the router ------------------------------------------------------------------------

    def add(self, query: KeyedQuery) -> int:
        """Makes a claim and returns its number. The decision follows in `decided` by the deadline."""
        claim = OwnClaim(self._context.next_number(), query)
        self.claims[claim.number] = claim
        if query.ordered:
            self._queues.setdefault(query.key, deque()).append(claim.number)
        if self._is_next_of_key(claim):
            self._send_claim(claim)
        return claim.number

    def end(self, number: int, state: int, rows: bytes | None = None) -> None:
        """Ends the claim of a finished query, granted or not; unknown claims are ignored.

        `state`: NOT_RUN if no attempt can have had an effect.
        """
        claim = self.claims.get(number)
        if claim is not None and claim.outcome is None:
            self._end(claim, state, rows)

    def _end(self, claim: OwnClaim, state: int, rows: bytes | None = None) -> None:
        self._leave_queue(claim)
        if rows is not None and not self._may_keep_rows(claim, rows):
            rows = None
        claim.send_count = 0
        claim.outcome = msgspec.structs.replace(
            claim.granted or self._ungranted_record(claim), state=state, rows=rows
        )
        self._send_completion(claim)

    def _may_keep_rows(self, claim: OwnClaim, rows: bytes) -> bool:
        policy = self._context.policies.policy_for(claim.query.customer)
        return (
            policy.rows
            and not claim.query.is_transient
            and len(rows) <= min(MAX_ROWS_SIZE, policy.most_bytes)
        )

    def _ungranted_record(self, claim: OwnClaim) -> Record:
        """Returns the record of a claim that was abandoned before it was decided; its attempt is 0."""
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

    # ---- order within a key ---------------------------------------------------------------------------

    def _is_next_of_key(self, claim: OwnClaim) -> bool:
        """Whether a claim may be sent: ordered claims of a key go one at a time, in order of arrival."""
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
        claim.send_count += 1
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
        claim.send_count += 1
        holder = self._authority.first_holder(claim.query.customer, claim.query.ordering_key)
        if holder is not None and claim.outcome is not None:
            self._context.send(holder, Completion(self._context.views.view.id, claim.outcome))

    def handle_completion_reply(self, reply: CompletionReply) -> None:
        """Deletes a claim once all holders have stored its outcome."""
        claim = self.claims.get(reply.number)
        is_current = reply.incarnation == self._context.incarnation
        if is_current and claim is not None and claim.outcome is not None:
            del self.claims[reply.number]

    def handle_claim_reply(self, reply: ClaimReply) -> None:
        """Handles a first holder's decision on a claim."""
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
            claim.sent_at = self._context.now  # the claim is repeated until its deadline
            return
        self._apply_decision(claim, decision, reply)

    def _apply_decision(self, claim: OwnClaim, decision: ClaimDecision, reply: ClaimReply) -> None:
        rows: bytes | None = None
        if decision is ClaimDecision.RUN:
            if reply.record is None or self._context.now >= claim.query.deadline:
                return  # the claim is abandoned at its deadline
            claim.granted = reply.record
            self._leave_queue(claim)
        elif decision is ClaimDecision.FORWARD:
            # Stays in its queue until it has ended, so that later queries of its key do not overtake it.
            claim.is_forwarded = True
        else:
            rows = reply.record.rows if reply.record is not None else None
            if decision is ClaimDecision.REPLAY and rows is None:  # holders never send this
                decision = ClaimDecision.FAIL
            self._leave_queue(claim)
            del self.claims[claim.number]
        self.decided.append(DecidedClaim(claim.number, decision, reply.reason, rows))

    def _release(self, number: int, granted: Record) -> None:
        """Ends a claim that was granted after this router had dropped it; no other router would end it."""
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
        """Whether a recorded result may still be returned.

        Guards against a reply that was delayed in a paused process until after its erasure.
        """
        context = self._context
        if record is None or not context.views.in_force(context.now) or not self._policies.are_current:
            return False
        identity = (record.customer, record.ordering_key, record.granted_at)
        return not context.policies.is_erasure_requested(*identity)

    # ---- timers ---------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Repeats unanswered messages and abandons claims past their deadline."""
        for claim in list(self.claims.values()):
            if claim.number in self.claims:  # checking one claim may decide and remove another
                self._check(claim)

    def _check(self, claim: OwnClaim) -> None:
        now = self._context.now
        if claim.outcome is not None:
            if self._is_due(claim, MAX_COMPLETION_BACKOFF):
                self._send_completion(claim)
            if claim.granted is None and now - claim.query.deadline > ABANDONED_CLAIM_TIME:
                self.claims.pop(claim.number, None)  # holders consider any run of it ended by now
        elif claim.is_forwarded:
            if now - claim.query.deadline > ABANDONED_CLAIM_TIME:
                self._end(claim, RecordState.NOT_RUN)
        elif claim.granted is not None:
            return
        elif now >= claim.query.deadline:
            self.decided.append(DecidedClaim(claim.number, ClaimDecision.REJECT, "no verdict in time", None))
            self._end(claim, RecordState.NOT_RUN)
        elif self._is_due(claim, MAX_CLAIM_BACKOFF) and self._is_next_of_key(claim):
            self._send_claim(claim)

    def _is_due(self, claim: OwnClaim, max_backoff: int) -> bool:
        interval = RETRY_INTERVAL << min(claim.send_count, max_backoff)
        return self._context.now - claim.sent_at >= interval
