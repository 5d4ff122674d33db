"""How a record reaches all holders of its slot before anybody relies on it.

Owns the replication rounds of the first holder, and what the other holders answer. The router that runs a
record's query is answered once all holders have it.
"""

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.durability import Durability
from hillchute.history.messages import ClaimReply, CompletionReply, ReplicateReply, ReplicateRequest
from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record, RecordId, RecordState
from hillchute.history.replica_context import RETRY_INTERVAL, ReplicaContext
from hillchute.history.slot_authority import SlotAuthority
from hillchute.history.slot_placement import slot_of
from hillchute.history.views import LEASE


class ReplicationRound(msgspec.Struct):
    """A record on its way to the other holders."""

    number: int
    record: Record
    pending: set[str]  # holders that have not stored it
    began_at: Time
    sent_at: Time


class Replication:
    """One replica's part in the replication of records."""

    def __init__(
        self,
        context: ReplicaContext,
        records: RecordStore,
        authority: SlotAuthority,
        durability: Durability,
    ) -> None:
        self._context = context
        self._records = records
        self._authority = authority
        self._durability = durability
        self._rounds: dict[int, ReplicationRound] = {}
        self._last_rounds: dict[RecordId, ReplicationRound] = {}

    def receive(self, sender: str, message: ReplicateRequest | ReplicateReply) -> None:
        """A message about a record's replication came."""
        match message:
            case ReplicateRequest():
                self.answer_request(sender, message)
            case ReplicateReply():
                self.take_reply(sender, message)

    def view_adopted(self) -> None:
        """What is not stored by all holders of the view before is replicated anew when it is asked again."""
        self._rounds.clear()
        self._last_rounds.clear()

    # ---- as the first holder --------------------------------------------------------------------------

    def replicate(self, record: Record) -> None:
        """Sends a record to the other holders, in place of what was on its way of the same id."""
        current = self._last_rounds.get(record.id)
        if current is None or current.record != record:
            if not self._durability.save(record):
                return
            self._drop(current)
            current = self._begin(record)
        self._send(current)

    def _begin(self, record: Record) -> ReplicationRound:
        others = self._authority.other_holders_of(slot_of(record.customer, record.ordering_key))
        number = self._context.next_number()
        now = self._context.now
        begun = ReplicationRound(number, record, others, now, now)
        self._rounds[number] = begun
        self._last_rounds[record.id] = begun
        return begun

    def _drop(self, dropped: ReplicationRound | None) -> None:
        if dropped is not None:
            self._rounds.pop(dropped.number, None)
            self._last_rounds.pop(dropped.record.id, None)

    def _send(self, current: ReplicationRound) -> None:
        context = self._context
        current.sent_at = context.now
        retained = self._records.find(*current.record.id)
        age = max(0, context.now - retained.since) if retained is not None else 0
        view = context.views.view.id
        for name in sorted(current.pending):
            context.send(name, ReplicateRequest(view, current.number, current.record, age))
        if not current.pending:
            self.complete(current)

    def complete(self, completed: ReplicationRound) -> None:
        """All holders have the record: its router may rely on that."""
        self._drop(completed)
        record = completed.record
        if record.state == RecordState.RUNNING:
            decision = ClaimDecision.RUN.value
            reply = ClaimReply(record.claim_number, record.incarnation, decision, "new", record)
            self._context.send(record.router, reply)
        else:
            self._context.send(record.router, CompletionReply(record.claim_number, record.incarnation))

    def take_reply(self, sender: str, reply: ReplicateReply) -> None:
        """Another holder has stored a record, or has not."""
        current = self._rounds.get(reply.number)
        if current is None or reply.view != self._context.views.view.id or not reply.stored:
            return
        current.pending.discard(sender)
        if not current.pending:
            self.complete(current)

    def announce_running(self, number: int) -> None:
        """Reports runs in a slot that are not over to their routers again. A router without such a claim
        ends the record.

        Guards against a round that a new view or a lost message broke off after its claim was given up."""
        context = self._context
        has_records = bool(self._records.slots[number])
        if not has_records or self._authority.obstacle(number, context.views.view.id):
            return
        living = context.living()
        for retained in list(self._records.records_of_slot(number)):
            record = retained.record
            if record.state != RecordState.RUNNING or context.now - retained.since <= LEASE:
                continue
            if retained.may_be_running(context.now) and living.get(record.router) == record.incarnation:
                self.replicate(record)

    def tick(self) -> None:
        """Sends again what was not answered, and gives up what was not answered for a lease."""
        now = self._context.now
        for current in list(self._rounds.values()):
            if now - current.began_at > LEASE:
                self._drop(current)
            elif now - current.sent_at >= RETRY_INTERVAL:
                self._send(current)

    # ---- as another holder ----------------------------------------------------------------------------

    def answer_request(self, sender: str, request: ReplicateRequest) -> None:
        """The first holder sends a record to be stored."""
        context = self._context
        record = request.record
        number = slot_of(record.customer, record.ordering_key)
        stored = self._authority.may_copy_from(sender, number, request.view)
        if stored:
            self._records.put(record, context.now, request.age, context.policies)
            stored = self._durability.save(record)
        context.send(sender, ReplicateReply(request.view, request.number, stored))
