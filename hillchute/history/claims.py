"""Claims, of this router and of others, as the first holder of their slots decides on them.

Owns the claims that wait, and the record that a granted claim gets. What becomes of a claim is
claim_decision.py's choice.
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

MAX_WAITING_KEYS = 1024  # keys whose claims are decided on again at once; claims of more are repeated anyway

Key = tuple[str, str]  # a customer and an ordering key


class Claims:
    """One replica's part in claims as a first holder."""

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
        self.leases: LeaseTransfers | None = None  # where there are partners
        self._waiting: dict[Key, dict[tuple[str, int], ClaimRequest]] = {}  # by router and its number

    def receive(self, sender: str, message: ClaimRequest | Completion) -> None:
        """A message about a claim came from the router that makes it."""
        match message:
            case ClaimRequest():
                self.take_claim(sender, message)
            case Completion():
                self.take_completion(sender, message)

    def view_adopted(self) -> None:
        """Claims that waited are repeated to the first holders of the adopted view."""
        self._waiting.clear()

    # ---- claims ---------------------------------------------------------------------------------------

    def take_claim(self, sender: str, claim: ClaimRequest) -> None:
        """Decides on a claim. A granted one is answered once all holders have its record."""
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
        """What becomes of a claim, and the record with its idempotency key, if that is known."""
        context = self._context
        number = slot_of(claim.customer, claim.ordering_key)
        if obstacle := self._authority.obstacle(number, claim.view):
            return ReasonedDecision(ClaimDecision.REJECT, obstacle), None
        if context.living().get(sender) != claim.incarnation:
            # Nobody would run it, nor say that it was not run.
            return ReasonedDecision(ClaimDecision.REJECT, "its router does not live"), None
        known = self._records.find(claim.customer, claim.ordering_key, claim.idempotency_key)
        facts = self._facts(sender, claim, known)

        def has_capacity() -> bool:
            return self._records.has_capacity(
                claim.customer, claim.ordering_key, context.now, context.policies
            )

        decided = decide(context.policies, facts, context.now, has_capacity)
        may_object = decided.decision in (ClaimDecision.RUN, ClaimDecision.WAIT) and not facts.is_repeated
        if self.leases is not None and may_object:
            objection = self.leases.objection(sender, claim.customer, claim.ordering_key, number)
            decided = objection or decided
        return decided, known

    def _facts(self, sender: str, claim: ClaimRequest, known: RetainedRecord | None) -> ClaimFacts:
        context = self._context
        record = known.record if known is not None else None
        return ClaimFacts(
            customer=claim.customer,
            known=known,
            earlier_running=self._earlier_running(claim, known) if claim.ordered else None,
            lost_for=self._lost_for(slot_of(claim.customer, claim.ordering_key)),
            router_lives=record is not None and context.living().get(record.router) == record.incarnation,
            is_repeated=record is not None and record.claim_id == claim.claim_id(sender),
        )

    def _earlier_running(self, claim: ClaimRequest, known: RetainedRecord | None) -> RetainedRecord | None:
        """A run of the same key, of another query, that may not be over."""
        for retained in self._records.records_of_key(claim.customer, claim.ordering_key):
            is_running = retained.record.state == RecordState.RUNNING
            if retained is not known and is_running and retained.may_be_running(self._context.now):
                return retained
        return None

    def _lost_for(self, number: int) -> Time | None:
        """For how long records of a slot may have been lost; None if they are not, as far as is known."""
        lost_at = self._slots.current(number).lost_at
        if lost_at is None or lost_at <= self._context.policies.founded:
            return None
        return self._context.now - lost_at

    def _grant(self, sender: str, claim: ClaimRequest, known: RetainedRecord | None) -> None:
        context = self._context
        if known is not None and known.record.state == RecordState.RUNNING:
            self._replication.replicate(known.record)  # granted before
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
            attempt=1 + (known.record.attempt if known is not None else 0),
            router=claim_id.router,
            incarnation=claim_id.incarnation,
            claim_number=claim_id.number,
            timeout=claim.time_left,
            lease_number=lease.number if lease is not None else 0,
        )

    # ---- runs that have ended -------------------------------------------------------------------------

    def take_completion(self, sender: str, completion: Completion) -> None:
        """A router's run has ended: its outcome goes to all holders; what waited for it is decided on."""
        record = completion.record
        if record.router != sender:
            return
        context = self._context
        number = slot_of(record.customer, record.ordering_key)
        if self._authority.obstacle(number, completion.view) not in ("", POLICIES_NOT_CURRENT):
            return  # it is repeated, to whoever can take it
        known = self._records.find(*record.id)
        if record.attempt == 0:  # it was given up before its claim was decided on
            if known is None or known.record.claim_id != record.claim_id:
                context.send(sender, CompletionReply(record.claim_number, record.incarnation))
                return
            record = msgspec.structs.replace(known.record, state=RecordState.NOT_RUN)
        age = context.now - known.since if known is not None else 0
        record = self._records.fit_rows(record, context.now, context.policies)
        self._records.put(record, context.now, age, context.policies)
        self._replication.replicate(record)
        self.decide_waiting((record.customer, record.ordering_key))

    # ---- claims that wait -----------------------------------------------------------------------------

    def _add_waiting(self, sender: str, claim: ClaimRequest) -> None:
        key = (claim.customer, claim.ordering_key)
        if key in self._waiting or len(self._waiting) < MAX_WAITING_KEYS:
            self._waiting.setdefault(key, {})[sender, claim.number] = claim

    def decide_waiting(self, key: Key) -> None:
        """Decides again on the claims of a key that wait: the first may be granted, the others wait on."""
        for (sender, _), claim in self._waiting.pop(key, {}).items():
            self.take_claim(sender, claim)

    def decide_waiting_of_slot(self, number: int) -> None:
        """The same for all keys of a slot."""
        for key in [key for key in self._waiting if slot_of(*key) == number]:
            self.decide_waiting(key)
