"""The answer history of a router: its replica, its disk and its channel to peers, configured by the operator
file's `history`.

Connects these, maps the reducer's queries to the replica's claims, and logs statistics and errors. Imported
only if the operator file has `history`.
"""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import HistoryStorageError, PoliciesRejectedError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.codec import codec
from hillchute.history.messages import Message
from hillchute.history.own_claims import DecidedClaim, KeyedQuery
from hillchute.history.ownership_leases import PartnerAgreement
from hillchute.history.records import RecordState
from hillchute.history.replica import Replica
from hillchute.history.replica_context import Membership
from hillchute.history.retention import (
    MS,
    ErasureRequest,
    RetentionPolicies,
    RetentionPolicy,
    changed_policies,
)
from hillchute.history.sqlite_store import SqliteStore
from hillchute.log import Log
from hillchute.peers.datagrams import DatagramKind
from hillchute.router.effects import ClaimOutcome, ClaimQuery, EndClaim
from hillchute.router.events import ClaimDecided, ClaimVerdict
from hillchute.router.integrations.fragmented_channel import ExtensionContext, FragmentedChannel, QueryKey
from hillchute.router.integrations.interface import STATISTICS_INTERVAL
from hillchute.router.integrations.rows_codec import decode_rows, encode_rows

# The decisions that leave a replica; WAIT never does.
VERDICTS = {
    ClaimDecision.RUN: ClaimVerdict.RUN,
    ClaimDecision.REPLAY: ClaimVerdict.REPLAY,
    ClaimDecision.REJECT: ClaimVerdict.REJECT,
    ClaimDecision.FAIL: ClaimVerdict.FAIL,
    ClaimDecision.FORWARD: ClaimVerdict.FORWARD,
}
RECORD_STATES = {
    ClaimOutcome.NOT_RUN: RecordState.NOT_RUN,
    ClaimOutcome.SERVED: RecordState.SERVED,
    ClaimOutcome.FAILED: RecordState.FAILED,
}


class HistoryExtension(FragmentedChannel[Message]):
    """The answer history of one router."""

    def __init__(
        self,
        *,
        settings: Mapping[str, Any],
        context: ExtensionContext,
        agreement: PartnerAgreement | None = None,
    ) -> None:
        """`settings`: the operator file's `history`. `agreement`: set if there are partners. A disk that
        can't be used is logged, and the history is kept in memory only."""
        node = context.node
        super().__init__(node, DatagramKind.HISTORY_FRAGMENT, codec)
        self.context = context
        now = context.clock()
        self.store = open_store(settings, context.log)
        membership = Membership(node.name, node.generation, [node.name, *node.keys], node.generations)
        self.replica = Replica(membership, retention_policies(settings), now, self.store, agreement)
        if self.store is not None:
            self.replica.restore(now, self.store.read())
        self.claim_numbers: dict[QueryKey, int] = {}  # the replica's numbers of open claims
        self.queries: dict[int, QueryKey] = {}  # by claim number, until the claim is decided or ends
        self.statistics_logged_at = now

    # ---- the reducer's queries ----------------------------------------------------------------------------

    def claim(self, effect: ClaimQuery) -> None:
        """Makes a claim for a query; the result is delivered as a ClaimDecided event."""
        now = self.context.clock()
        keyed_query = KeyedQuery(
            customer=effect.customer,
            ordering_key=effect.key,
            idempotency_key=effect.token,
            deadline=now + effect.time_left,
            ordered=effect.ordered,
            is_transient=effect.is_transient,
        )
        number = self.replica.claim(now, keyed_query)
        query = (effect.query, effect.number)
        self.claim_numbers[query] = number
        self.queries[number] = query
        self._deliver()

    def end_claim(self, effect: EndClaim) -> None:
        """Ends the claim of a query; a claim that was already answered with an outcome is ignored."""
        number = self.claim_numbers.pop((effect.query, effect.number), None)
        if number is None:
            return
        self.queries.pop(number, None)
        rows = None if effect.rows is None else encode_rows(effect.rows)
        self.replica.end_claim(self.context.clock(), number, RECORD_STATES[effect.outcome], rows)
        self._deliver()

    def _deliver(self) -> None:
        """Passes decided claims to the reducer and schedules the replica's messages."""
        for decided in self.replica.take_decided_claims():
            query = self.queries.get(decided.number)
            if query is None:
                continue
            if decided.decision not in (ClaimDecision.RUN, ClaimDecision.FORWARD):
                del self.queries[decided.number]
                del self.claim_numbers[query]
            self.context.handle(claim_decided(query, decided))
        if self.replica.has_messages:
            self.context.schedule_messages()

    # ---- the channel to peers -----------------------------------------------------------------------------

    def receive_message(self, now: Time, sender: str, message: Message) -> None:
        """Handles a message from another router's replica."""
        self.replica.receive(now, sender, message)
        self._deliver()

    def tick(self, now: Time, /) -> None:
        """Runs the replica's periodic work and logs statistics when due."""
        self.replica.tick(now)
        self._deliver()
        if now - self.statistics_logged_at >= STATISTICS_INTERVAL:
            self.statistics_logged_at = now
            self.log_statistics(now)

    def take_messages(self) -> list[tuple[str, Message]]:
        """Removes and returns the replica's messages, with their receivers."""
        return self.replica.take_messages()

    # ---- log, reload, shutdown ----------------------------------------------------------------------------

    def log_statistics(self, now: Time) -> None:
        """Logs the replica's statistics, and the errors since the last call."""
        replica = self.replica
        log = self.context.log
        log.write(
            "history",
            policies=replica.policies.number,
            view=replica.views.view.number,
            members=len(replica.views.view.members),
            in_force=replica.views.in_force(now),
            records=replica.records.count_by_customer.total(),
            bytes=replica.records.size_bytes,
            fetching=len(replica.slots.fetching),
            claims=len(replica.own_claims.claims),
            **dict(replica.counters),
        )
        for outdated in replica.outdated_routers():
            log.write("history_policies", **outdated.log_fields)
        if self.store is not None:
            for error in self.store.faults():
                log.write("history_disk", **error.log_fields)

    def prepare_reload(self, settings: Mapping[str, Any]) -> Callable[[], None]:
        """Checks the reloaded `history` of the operator file; returns the call that applies it."""
        return partial(self._apply_policies, retention_policies(settings))

    def _apply_policies(self, policies: RetentionPolicies) -> None:
        """Applies reloaded policies.

        Policies with a higher number take effect here at once, and then on all replicas. Others that differ
        from the present ones are rejected and logged.
        """
        before = self.replica.policies
        if policies == before:
            return
        log = self.context.log
        if self.replica.apply_policies(self.context.clock(), policies):
            changed = sorted(changed_policies(before, policies))
            new_requests = set(policies.erasure_requests) - set(before.erasure_requests)
            log.write(
                "history_policies", policies=policies.number, changed=changed, forgets=len(new_requests)
            )
        else:
            detail = f"policies {policies.number} rejected; {self.replica.policies.number} in force"
            log.write("history_policies", **PoliciesRejectedError(detail, "history.number").log_fields)

    def on_routers_named(self) -> None:
        """Handles a reload of the router names: majorities are then counted among the routers that the node
        knows."""
        self.replica.set_configured_routers([self.node.name, *self.node.keys], self.context.clock())

    @property
    def is_handed_over(self) -> bool:
        """Whether this router may exit: others have its records, or no other router is alive."""
        is_alone = len(self.node.keys) == 0 or not self.node.live_peers()
        return is_alone or self.replica.is_handed_over


def open_store(settings: Mapping[str, Any], log: Log) -> SqliteStore | None:
    """The store at the path that the operator file names. None if it names none or if the store can't be
    used; the latter is logged, and no record is stored on disk."""
    path = settings.get("disk")
    if not path:
        return None
    try:
        return SqliteStore(path)
    except HistoryStorageError as error:
        log.write("history_disk", **error.log_fields)
        return None


def claim_decided(query: QueryKey, decided: DecidedClaim) -> ClaimDecided:
    """The event for a replica's decision; a failure if the retained rows can't be read."""
    query_id, number = query
    try:
        rows = None if decided.rows is None else decode_rows(decided.rows)
    except msgspec.DecodeError:
        return ClaimDecided(query_id, number, ClaimVerdict.FAIL, "its rows can't be read", None)
    return ClaimDecided(query_id, number, VERDICTS[decided.decision], decided.reason, rows)


def retention_policies(settings: Mapping[str, Any]) -> RetentionPolicies:
    """The retention policies in the operator file's `history`."""
    customers = {each["name"]: RetentionPolicy(**each["policy"]) for each in settings["customers"]}
    erasure_requests = tuple(
        ErasureRequest(each["before_ms"] * MS, each["customer"], each.get("key"))
        for each in settings["forget"]
    )
    return RetentionPolicies(
        number=settings["number"],
        copies=settings["copies"],
        erase_ms=settings["erase_ms"],
        founded=settings["founded_ms"] * MS,
        default=RetentionPolicy(**settings["default"]),
        customers=customers,
        erasure_requests=erasure_requests,
    )
