"""A router's part in the answer history: puts replica, disk and the peers' node together from the operator
file's `history`.

Owns that wiring, the way between the reducer's queries and the replica's claims, and what is logged of it.
Must never decide; imported only where the operator file has `history`.
"""

from collections.abc import Callable, Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.engines.words import Rows
from hillchute.errors import HistoryStorageError, PoliciesRejectedError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.codec import codec
from hillchute.history.messages import Message
from hillchute.history.own_claims import KeyedQuery
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
from hillchute.peers.node import Node
from hillchute.router.effects import ClaimOutcome
from hillchute.router.events import ClaimVerdict
from hillchute.router.integrations.fragmented_channel import LOGGED, Riding, rows_in, rows_out

VERDICTS = {
    ClaimDecision.RUN: ClaimVerdict.RUN,
    ClaimDecision.REPLAY: ClaimVerdict.REPLAY,
    ClaimDecision.REJECT: ClaimVerdict.REJECT,
    ClaimDecision.FAIL: ClaimVerdict.FAIL,
    ClaimDecision.FORWARD: ClaimVerdict.FORWARD,
}
STATES = {
    ClaimOutcome.NOT_RUN: RecordState.NOT_RUN,
    ClaimOutcome.SERVED: RecordState.SERVED,
    ClaimOutcome.FAILED: RecordState.FAILED,
}


class Remembering(Riding):
    def __init__(
        self,
        settings: Mapping[str, object],
        node: Node,
        clock: Callable[[], Time],
        log: Log,
        judged: Callable[[str, int, ClaimVerdict, str, Rows | None], None],
        soon: Callable[[], None],
        deeds: PartnerAgreement | None = None,
    ) -> None:
        """`judged` is told each verdict: the query's id and number, and what the verdict says. `soon` is told
        when there is something to be sent. `deeds`: where there are partners."""
        self.clock, self.log, self.judged, self.soon = clock, log, judged, soon
        now = clock()
        super().__init__(node, DatagramKind.HISTORY_FRAGMENT, codec)
        self.disk = None
        if settings.get("disk"):
            try:
                self.disk = SqliteStore(settings["disk"])
            except (
                HistoryStorageError
            ) as fault:  # the history goes on in memory: no record rests on this disk
                log.write("history_disk", **fault.log_fields)
        membership = Membership(node.name, node.generation, [node.name, *node.keys], node.generations)
        self.replica = Replica(membership, book_of(settings), now, self.disk, deeds)
        if self.disk is not None:
            self.replica.recall(now, self.disk.read())
        self.numbers: dict[tuple[str, int], int] = {}  # the replica's, of each of the reducer's
        self.queries: dict[int, tuple[str, int]] = {}
        self.logged = now

    # ---- the reducer's queries ----------------------------------------------------------------------

    def claim(
        self,
        id: str,
        number: int,
        customer: str,
        key: str,
        token: str,
        left: Time,
        ordered: bool,
        once: bool = False,
    ) -> None:
        now = self.clock()
        query = KeyedQuery(
            customer=customer,
            ordering_key=key,
            idempotency_key=token,
            deadline=now + left,
            ordered=ordered,
            is_transient=once,
        )
        mine = self.replica.claim(now, query)
        self.numbers[id, number], self.queries[mine] = mine, (id, number)
        self.pass_on()

    def close(self, id: str, number: int, how: str, rows: Rows | None) -> None:
        """The query is over: freed, finished or killed."""
        mine = self.numbers.pop((id, number), None)
        if mine is None:
            return
        self.queries.pop(mine, None)
        self.replica.end_claim(
            self.clock(), mine, STATES[how], None if rows is None else rows_in.encode(rows)
        )
        self.pass_on()

    def pass_on(self) -> None:
        for mine, verdict, why, rows in self.replica.take_decided():
            query = self.queries.get(mine)
            if query is None:
                continue
            if verdict not in (ClaimDecision.RUN, ClaimDecision.FORWARD):
                del self.queries[mine], self.numbers[query]
            try:
                self.judged(*query, VERDICTS[verdict], why, None if rows is None else rows_out.decode(rows))
            except msgspec.DecodeError:
                self.judged(*query, ClaimVerdict.FAIL, "its rows can't be read", None)
        if self.replica.has_messages:
            self.soon()

    # ---- a rider of the node ---------------------------------------------------------------------------

    def take(self, now: Time, sender: str, message: Message) -> None:
        self.replica.receive(now, sender, message)
        self.pass_on()

    def tick(self, now: Time) -> None:
        self.replica.tick(now)
        self.pass_on()
        if now - self.logged >= LOGGED:
            self.logged = now
            self.tell(now)

    def said(self) -> list[tuple[str, Message]]:
        return self.replica.take_messages()

    # ---- log, reload, end -------------------------------------------------------------------------

    def tell(self, now: Time) -> None:
        replica = self.replica
        self.log.write(
            "history",
            policies=replica.policies.number,
            view=replica.views.view.number,
            members=len(replica.views.view.members),
            in_force=replica.views.in_force(now),
            records=replica.records.count_by_customer.total(),
            bytes=replica.records.size_bytes,
            fetching=len(replica.slots.wanted),
            claims=len(replica.own_claims.claims),
            **dict(replica.counters),
        )
        for fault in replica.outdated_routers():
            self.log.write("history_policies", **fault.log_fields)
        if self.disk is not None:
            for fault in self.disk.faults():
                self.log.write("history_disk", **fault.log_fields)

    def renew(self, settings: Mapping[str, object]) -> None:
        """The operator file's history read again: a book with a higher number holds at once, here and soon
        everywhere; another of the same number is no book."""
        book = book_of(settings)
        if book.number == self.replica.policies.number and book == self.replica.policies:
            return
        before = self.replica.policies
        if self.replica.apply_policies(self.clock(), book):
            changed = sorted(changed_policies(before, book))
            new = len(set(book.erasure_requests) - set(before.erasure_requests))
            self.log.write("history_policies", policies=book.number, changed=changed, forgets=new)
        else:
            what = f"policies {book.number}; {self.replica.policies.number} hold"
            self.log.write("history_policies", **PoliciesRejectedError(what, "history.number").log_fields)

    def named(self) -> None:
        """The operator names other routers: half of them is another number, so all is asked anew."""
        self.replica.name_routers([self.node.name, *self.node.keys], self.clock())

    @property
    def handed_over(self) -> bool:
        alone = len(self.node.keys) == 0 or not self.node.live_peers()
        return alone or self.replica.is_handed_over


def book_of(settings: Mapping[str, object]) -> RetentionPolicies:
    """The operator file's history as a book."""
    customers = {each["name"]: RetentionPolicy(**each["policy"]) for each in settings["customers"]}
    forgets = tuple(
        ErasureRequest(each["before_ms"] * MS, each["customer"], each.get("key"))
        for each in settings["forget"]
    )
    return RetentionPolicies(
        settings["number"],
        settings["copies"],
        settings["erase_ms"],
        settings["founded_ms"] * MS,
        RetentionPolicy(**settings["default"]),
        customers,
        forgets,
    )
