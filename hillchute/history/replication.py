"""Replicates records from a slot's first holder to its other holders.

The router that runs a record's query gets its reply only once every holder has stored the record.
"""

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.durability import Durability
from hillchute.history.messages import ClaimReply, CompletionReply, ReplicateReply, ReplicateRequest
from hillchute.history.record_store import RecordStore
from hillchute.history.records import Record, RecordId, RecordState, RetainedRecord
from hillchute.history.replica_context import RETRY_INTERVAL, ReplicaContext
from hillchute.history.slot_authority import SlotAuthority
from hillchute.history.slot_placement import slot_of
from hillchute.history.views import VIEW_LEASE


class ReplicationRound(msgspec.Struct):
    """The replication of one version of a record to the other holders."""

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
        """Handles a message about a record's replication."""
        match message:
            case ReplicateRequest():
                self.answer_request(sender, message)
            case ReplicateReply():
                self.handle_reply(sender, message)

    def on_view_adopted(self) -> None:
        """Drops the rounds of the previous view: routers repeat their messages, which starts new rounds."""
        self._rounds.clear()
        self._last_rounds.clear()

    # ---- as the first holder --------------------------------------------------------------------------

    def replicate(self, record: Record) -> None:
        """Sends a record to the other holders, replacing a round for an earlier version of it."""
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
        """Replies to the record's router once all holders have stored the record."""
        self._drop(completed)
        record = completed.record
        if record.state == RecordState.RUNNING:
            decision = ClaimDecision.RUN.value
            reply = ClaimReply(record.claim_number, record.incarnation, decision, "new", record)
            self._context.send(record.router, reply)
        else:
            self._context.send(record.router, CompletionReply(record.claim_number, record.incarnation))

    def handle_reply(self, sender: str, reply: ReplicateReply) -> None:
        """Notes whether another holder has stored a record."""
        current = self._rounds.get(reply.number)
        if current is None or reply.view != self._context.views.view.id or not reply.stored:
            return
        current.pending.discard(sender)
        if not current.pending:
            self.complete(current)

    def announce_running(self, number: int) -> None:
        """Replicates again the records of a slot's unfinished runs, so that their routers get another reply.

        A router without that claim ends the record. Guards against a round that a new view or a lost message
        interrupted after its claim had been abandoned. Not sent if several runs of a key have not ended: the
        reply is a grant, and in an ordered key another run may have begun.
        """
        context = self._context
        has_records = bool(self._records.slots[number])
        if not has_records or self._authority.rejection_reason(number, context.views.view.id):
            return
        live_routers = context.live_routers()
        for retained in list(self._records.records_of_slot(number)):
            record = retained.record
            if record.state != RecordState.RUNNING or context.now - retained.since <= VIEW_LEASE:
                continue
            if self._has_another_run(retained):
                continue
            if retained.may_be_running(context.now) and live_routers.get(record.router) == record.incarnation:
                self.replicate(record)

    def _has_another_run(self, retained: RetainedRecord) -> bool:
        """Whether another run of the record's key may be in progress."""
        record = retained.record
        return any(
            other is not retained
            and other.record.state == RecordState.RUNNING
            and other.may_be_running(self._context.now)
            for other in self._records.records_of_key(record.customer, record.ordering_key)
        )

    def tick(self) -> None:
        """Repeats unanswered requests, and drops rounds that are not complete after VIEW_LEASE."""
        now = self._context.now
        for current in list(self._rounds.values()):
            if now - current.began_at > VIEW_LEASE:
                self._drop(current)
            elif now - current.sent_at >= RETRY_INTERVAL:
                self._send(current)

    # ---- as one of the other holders ------------------------------------------------------------------

    def answer_request(self, sender: str, request: ReplicateRequest) -> None:
        """Stores a record sent by the first holder, and replies whether it is stored."""
        context = self._context
        record = request.record
        number = slot_of(record.customer, record.ordering_key)
        stored = self._authority.may_copy_from(sender, number, request.view)
        if stored:
            self._records.put(record, context.now, request.age, context.policies)
            stored = self._durability.save(record)
        context.send(sender, ReplicateReply(request.view, request.number, stored))
