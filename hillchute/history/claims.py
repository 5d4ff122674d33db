"""Handles claims of this and other routers as the first holder of their slots.

Keeps the claims that wait and creates the records of granted claims. claim_decision.py contains the rules.
"""

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision, ClaimFacts, ReasonedDecision, decide
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.history.messages import ClaimReply, ClaimRequest, Completion, CompletionReply
from hillchute.history.record_store import RecordStore
from hillchute.history.records import ClaimId, Record, RecordState, RetainedRecord
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.replication import Replication
from hillchute.history.slot_authority import POLICIES_NOT_CURRENT, SlotAuthority
from hillchute.history.slot_placement import slot_of
from hillchute.history.slot_table import SlotTable

# Keys whose waiting claims are decided again as soon as a run ends. Routers repeat the claims of other keys.
MAX_WAITING_KEYS = 1024

CustomerKey = tuple[str, str]  # customer, ordering key


class Claims:
    """The claims that one replica handles as first holder."""

    def __init__(
        self,
        context: ReplicaContext,
        records: RecordStore,
        slots: SlotTable,
        authority: SlotAuthority,
        replication: Replication,
    ) -> None:
        self._context = context
        self._records = records
        self._slots = slots
        self._authority = authority
        self._replication = replication
        self.leases: LeaseTransfers | None = None  # None without partners
        self._waiting: dict[CustomerKey, dict[tuple[str, int], ClaimRequest]] = {}  # by router and its number

    def receive(self, sender: str, message: ClaimRequest | Completion) -> None:
        """Handles a message from the router that made a claim."""
        match message:
            case ClaimRequest():
                self.handle_claim(sender, message)
            case Completion():
                self.handle_completion(sender, message)

    def on_view_adopted(self) -> None:
        """Drops the waiting claims: their routers repeat them to the first holders of the adopted view."""
        self._waiting.clear()

    # ---- claims ---------------------------------------------------------------------------------------

    def handle_claim(self, sender: str, claim: ClaimRequest) -> None:
        """Decides on a claim. A granted claim is answered once every holder has stored its record."""
        decided, known = self.decide(sender, claim)
        if decided.decision is ClaimDecision.RUN:
            self._grant(sender, claim, known)
            return
        if decided.decision is ClaimDecision.WAIT:
            self._add_waiting(sender, claim)
        record = None
        if known is not None and decided.decision is ClaimDecision.REPLAY:
            record = known.record
        reply = ClaimReply(claim.number, claim.incarnation, decided.decision.value, decided.reason, record)
        self._context.send(sender, reply)

    def decide(self, sender: str, claim: ClaimRequest) -> tuple[ReasonedDecision, RetainedRecord | None]:
        """Returns the decision on a claim, and the record with its idempotency key if there is one."""
        context = self._context
        number = slot_of(claim.customer, claim.ordering_key)
        if rejection_reason := self._authority.rejection_reason(number, claim.view):
            return ReasonedDecision(ClaimDecision.REJECT, rejection_reason), None
        if context.live_routers().get(sender) != claim.incarnation:
            # No router would run the query or report that it did not run.
            return ReasonedDecision(ClaimDecision.REJECT, "its router does not live"), None
        known = self._records.find(claim.customer, claim.ordering_key, claim.idempotency_key)
        facts = self._facts(sender, claim, known)

        def has_capacity() -> bool:
            return self._records.has_capacity(
                claim.customer, claim.ordering_key, context.now, context.policies
            )

        decided = decide(context.policies, facts, context.now, has_capacity)
        needs_lease = decided.decision in (ClaimDecision.RUN, ClaimDecision.WAIT) and not facts.is_repeated
        if self.leases is not None and needs_lease:
            refusal = self.leases.refusal(sender, claim.customer, claim.ordering_key, number)
            decided = refusal or decided
        return decided, known

    def _facts(self, sender: str, claim: ClaimRequest, known: RetainedRecord | None) -> ClaimFacts:
        context = self._context
        record = known.record if known is not None else None
        return ClaimFacts(
            customer=claim.customer,
            known=known,
            earlier_running=self._earlier_running(claim, known) if claim.ordered else None,
            time_since_loss=self._time_since_loss(slot_of(claim.customer, claim.ordering_key)),
            is_router_live=record is not None
            and context.live_routers().get(record.router) == record.incarnation,
            is_repeated=record is not None and record.claim_id == claim.claim_id(sender),
        )

    def _earlier_running(self, claim: ClaimRequest, known: RetainedRecord | None) -> RetainedRecord | None:
        """Returns a run of another query of the same key that may not have ended."""
        for retained in self._records.records_of_key(claim.customer, claim.ordering_key):
            is_running = retained.record.state == RecordState.RUNNING
            if retained is not known and is_running and retained.may_be_running(self._context.now):
                return retained
        return None

    def _time_since_loss(self, number: int) -> Time | None:
        """Returns the time since records of a slot may have been lost; None if no loss is known."""
        lost_at = self._slots.current(number).lost_at
        if lost_at is None or lost_at <= self._context.policies.founded:
            return None
        return self._context.now - lost_at

    def _grant(self, sender: str, claim: ClaimRequest, known: RetainedRecord | None) -> None:
        context = self._context
        if known is not None and known.record.state == RecordState.RUNNING:
            self._replication.replicate(known.record)  # granted earlier; some holders may not have stored it
            return
        record = self._new_record(claim.claim_id(sender), claim, known)
        if self._records.put(record, context.now, 0, context.policies):
            self._replication.replicate(record)

    def _new_record(self, claim_id: ClaimId, claim: ClaimRequest, known: RetainedRecord | None) -> Record:
        sequence = 0
        if not claim.is_transient:
            sequence = self._records.next_sequence(claim.customer, claim.ordering_key)
        lease = self._slots.slots[slot_of(claim.customer, claim.ordering_key)].lease
        return Record(
            customer=claim.customer,
            ordering_key=claim.ordering_key,
            idempotency_key=claim.idempotency_key,
            granted_at=self._context.now,
            sequence=sequence,
            attempt=self._records.next_attempt(known, self._context.now),
            router=claim_id.router,
            incarnation=claim_id.incarnation,
            claim_number=claim_id.number,
            timeout=claim.time_left,
            lease_number=lease.number if lease is not None else 0,
        )

    # ---- ended runs -----------------------------------------------------------------------------------

    def handle_completion(self, sender: str, completion: Completion) -> None:
        """Replicates the outcome of a run that ended, then decides the claims that waited for it."""
        record = completion.record
        if record.router != sender:
            return
        context = self._context
        number = slot_of(record.customer, record.ordering_key)
        if self._authority.rejection_reason(number, completion.view) not in ("", POLICIES_NOT_CURRENT):
            return  # the router repeats it, to the first holder of its adopted view
        known = self._records.find(*record.id)
        if record.attempt == 0:  # the query was abandoned before its claim was decided
            if known is None or known.record.claim_id != record.claim_id:
                context.send(sender, CompletionReply(record.claim_number, record.incarnation))
                return
            record = msgspec.structs.replace(known.record, state=RecordState.NOT_RUN)
        if known is not None and known.record.run_id > record.run_id:
            # A later run was granted, on all holders, after this one was erased: its outcome matters no more.
            context.send(sender, CompletionReply(record.claim_number, record.incarnation))
            return
        is_known = known is not None and known.record.run_id == record.run_id
        age = context.now - known.since if known is not None and is_known else 0
        record = self._records.fit_rows(record, context.now, context.policies)
        self._records.put(record, context.now, age, context.policies)
        self._replication.replicate(record)
        self.decide_waiting((record.customer, record.ordering_key))

    # ---- waiting claims -------------------------------------------------------------------------------

    def _add_waiting(self, sender: str, claim: ClaimRequest) -> None:
        key = (claim.customer, claim.ordering_key)
        if key in self._waiting or len(self._waiting) < MAX_WAITING_KEYS:
            self._waiting.setdefault(key, {})[sender, claim.number] = claim

    def decide_waiting(self, key: CustomerKey) -> None:
        """Decides again on a key's waiting claims: the first may be granted, the others go on waiting."""
        for (sender, _), claim in self._waiting.pop(key, {}).items():
            self.handle_claim(sender, claim)

    def decide_waiting_of_slot(self, number: int) -> None:
        """Decides again on the waiting claims of all keys of a slot."""
        for key in [key for key in self._waiting if slot_of(*key) == number]:
            self.decide_waiting(key)
