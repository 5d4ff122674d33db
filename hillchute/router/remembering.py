"""A router's part in the answer history: puts keeper, disk and the peers' node together from the operator
file's `history`.

Owns that wiring, the way between the reducer's queries and the keeper's claims, and what is logged of it.
Must never decide; imported only where the operator file has `history`.
"""

from collections.abc import Callable, Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.engines.words import Rows
from hillchute.errors import HistoryStorageError, PoliciesRejectedError
from hillchute.history import policy
from hillchute.history.codec import Message, codec
from hillchute.history.disk import Disk
from hillchute.history.keeper import Keeper
from hillchute.history.policy import MS, Book, Forget, Policy
from hillchute.history.records import FINISHED, FREED, KILLED
from hillchute.history.titles import Deeds
from hillchute.history.verdict import Verdict
from hillchute.log import Log
from hillchute.peers.node import HISTORY, Node
from hillchute.router.riding import LOGGED, Riding, rows_in, rows_out

STATES = {"freed": FREED, "finished": FINISHED, "killed": KILLED}


class Remembering(Riding):
    def __init__(
        self,
        settings: Mapping[str, object],
        node: Node,
        clock: Callable[[], Time],
        log: Log,
        judged: Callable[[str, int, str, str, Rows | None], None],
        soon: Callable[[], None],
        deeds: Deeds | None = None,
    ) -> None:
        """`judged` is told each verdict: the query's id and number, and what the verdict says. `soon` is told
        when there is something to be sent. `deeds`: where there are partners."""
        self.clock, self.log, self.judged, self.soon = clock, log, judged, soon
        now = clock()
        super().__init__(node, HISTORY, codec)
        self.disk = None
        if settings.get("disk"):
            try:
                self.disk = Disk(settings["disk"])
            except (
                HistoryStorageError
            ) as fault:  # the history goes on in memory: no record rests on this disk
                log.write("history_disk", **fault.log_fields)
        self.keeper = Keeper(
            node.me, node.born, [node.me, *node.keys], book_of(settings), now, node.lives, self.disk, deeds
        )
        if self.disk is not None:
            self.keeper.recall(now, self.disk.read())
        self.numbers: dict[tuple[str, int], int] = {}  # the keeper's, of each of the reducer's
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
        mine = self.keeper.claim(now, customer, key, token, now + left, ordered, once)
        self.numbers[id, number], self.queries[mine] = mine, (id, number)
        self.pass_on()

    def close(self, id: str, number: int, how: str, rows: Rows | None) -> None:
        """The query is over: freed, finished or killed."""
        mine = self.numbers.pop((id, number), None)
        if mine is None:
            return
        self.queries.pop(mine, None)
        self.keeper.ended(self.clock(), mine, STATES[how], None if rows is None else rows_in.encode(rows))
        self.pass_on()

    def pass_on(self) -> None:
        verdicts, self.keeper.verdicts = self.keeper.verdicts, []
        for mine, verdict, why, rows in verdicts:
            query = self.queries.get(mine)
            if query is None:
                continue
            if verdict not in (Verdict.RUN, Verdict.PASS):
                del self.queries[mine], self.numbers[query]
            try:
                self.judged(*query, verdict.name, why, None if rows is None else rows_out.decode(rows))
            except msgspec.DecodeError:
                self.judged(*query, "KILL", "its rows can't be read", None)
        if self.keeper.out:
            self.soon()

    # ---- a rider of the node ---------------------------------------------------------------------------

    def take(self, now: Time, sender: str, message: Message) -> None:
        self.keeper.receive(now, sender, message)
        self.pass_on()

    def tick(self, now: Time) -> None:
        self.keeper.tick(now)
        self.pass_on()
        if now - self.logged >= LOGGED:
            self.logged = now
            self.tell(now)

    def said(self) -> list[tuple[str, Message]]:
        out, self.keeper.out = self.keeper.out, []
        return out

    # ---- log, reload, end -------------------------------------------------------------------------

    def tell(self, now: Time) -> None:
        keeper = self.keeper
        self.log.write(
            "history",
            policies=keeper.book.number,
            view=keeper.views.view.number,
            members=len(keeper.views.view.members),
            in_force=keeper.views.in_force(now),
            records=keeper.shelf.of.total(),
            bytes=keeper.shelf.bytes,
            fetching=len(keeper.wanting),
            claims=len(keeper.mine),
            **dict(keeper.counts),
        )
        for fault in keeper.not_applied():
            self.log.write("history_policies", **fault.log_fields)
        if self.disk is not None:
            for fault in self.disk.faults():
                self.log.write("history_disk", **fault.log_fields)

    def renew(self, settings: Mapping[str, object]) -> None:
        """The operator file's history read again: a book with a higher number holds at once, here and soon
        everywhere; another of the same number is no book."""
        book = book_of(settings)
        if book.number == self.keeper.book.number and book == self.keeper.book:
            return
        before = self.keeper.book
        if self.keeper.apply(self.clock(), book):
            changed = sorted(policy.changed(before, book))
            new = len(set(book.forgets) - set(before.forgets))
            self.log.write("history_policies", policies=book.number, changed=changed, forgets=new)
        else:
            what = f"policies {book.number}; {self.keeper.book.number} hold"
            self.log.write("history_policies", **PoliciesRejectedError(what, "history.number").log_fields)

    def named(self) -> None:
        """The operator names other routers: half of them is another number, so all is asked anew."""
        self.keeper.named([self.node.me, *self.node.keys], self.clock())

    @property
    def handed_over(self) -> bool:
        alone = len(self.node.keys) == 0 or not self.node.living()
        return alone or self.keeper.handed_over


def book_of(settings: Mapping[str, object]) -> Book:
    """The operator file's history as a book."""
    customers = {each["name"]: Policy(**each["policy"]) for each in settings["customers"]}
    forgets = tuple(
        Forget(each["before_ms"] * MS, each["customer"], each.get("key")) for each in settings["forget"]
    )
    return Book(
        settings["number"],
        settings["copies"],
        settings["erase_ms"],
        settings["founded_ms"] * MS,
        Policy(**settings["default"]),
        customers,
        forgets,
    )
