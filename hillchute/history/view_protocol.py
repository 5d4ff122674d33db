"""The protocol by which one view of the holders follows another, as one router takes part in it.

Owns who may propose a view, what a router promises and grants, how long a view's lease lasts for it, and
which view the next one takes over from. Pure: events and the time come in, values go out. It knows no record
and sends nothing (view_change.py does).

A router that wants a new view asks with a number. A router that answers promises to grant nothing lower and
says which view it adopted last; with the promises of a majority of the named routers, the new view takes over
from the highest of those (Paxos, of the views alone). A view is in force while a majority granted it within
LEASE: any two majorities share a router, so an earlier view can't be renewed once a later one is in force,
and ends within LEASE at every router, partitioned or not.

A router that restarts has forgotten what it promised. Therefore it grants and promises nothing for two leases
and a drift; a coordinator drops a view that was not in force for LEASE; and a view takes over from an earlier
one only where a majority of the named routers remember, that is, have granted a view in this incarnation.
Otherwise the records of all slots count as lost, as of the new view.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

from hillchute.decision.interface import Time
from hillchute.history.views import (
    DRIFT,
    HEARTBEAT_INTERVAL,
    LEASE,
    NO_VIEW,
    NO_VIEW_ID,
    Grant,
    Promise,
    View,
    ViewId,
    majority_of,
)

MAX_ATTEMPTS = 4  # requests before a view is proposed without those who may remember an earlier one
MAX_NUMBER_AHEAD = 3_600_000  # milliseconds that a view's number, a time, may lie ahead of our clock
# The living must be the same for so long before a view is proposed: routers die in groups.
SETTLE_TIME: Time = 10_000
TIME_PER_MILLISECOND = 10  # views are numbered by milliseconds


class ProposerAction(Enum):
    """What a router has to do for the views now."""

    NOTHING = "nothing"
    REQUEST_PROMISES = "request promises"
    SEND_HEARTBEATS = "send heartbeats"


class ViewProtocol:
    """One router's state: what it promised and granted, and what it proposes itself."""

    def __init__(self, name: str, incarnation: int, named: Iterable[str], now: Time) -> None:
        """`named`: all routers that the operator named; a majority is counted among them."""
        self.name = name
        self.incarnation = incarnation
        self.named = frozenset(named) | {name}
        self.started_at = now
        self.view = NO_VIEW  # the last that was adopted
        self.highest = NO_VIEW_ID  # the lowest id that is still accepted from others
        self.remembers = False
        self.lease_until: Time = 0
        # As a proposer and coordinator:
        self.last_seen: frozenset[tuple[str, int]] = frozenset()
        self.last_seen_since = now
        self.requesting: ViewId | None = None
        self.requested_at: Time = now
        self.attempts = 0  # requests since a view was proposed
        self.promises: dict[str, Promise] = {}
        self.proposed: View | None = None
        self.proposed_at: Time = now
        self.granted_until: dict[str, Time] = {}  # by router, of what is proposed
        self.last_grants: dict[str, Time] = {}  # by router: `granted_at` of its last grant
        self.policies_numbers: dict[str, int] = {}  # by router: of the policies that it has applied

    # ---- as a router that promises and grants ---------------------------------------------------------

    def may_grant(self, now: Time) -> bool:
        """Whether what an earlier incarnation promised can no longer matter."""
        return now >= self.started_at + 2 * LEASE * (1 + DRIFT)

    def is_believable(self, now: Time, view_id: ViewId) -> bool:
        """Whether the view may exist. Guards against a number after which there could be no other view."""
        not_ahead = view_id.number <= now // TIME_PER_MILLISECOND + MAX_NUMBER_AHEAD
        return not_ahead and view_id.coordinator in self.named

    def answer_request(self, now: Time, view_id: ViewId, adopted: ViewId = NO_VIEW_ID) -> Promise:
        """`adopted`: the view that the requester adopted last; of that its id is enough."""
        given = view_id > self.highest and self.may_grant(now) and self.is_believable(now, view_id)
        if given:
            self.highest = view_id
        answered = self.view
        if adopted == self.view.id:
            answered = View(adopted.number, adopted.coordinator)
        return Promise(view_id, given, max(self.highest, self.view.id), self.remembers, answered)

    def answer_heartbeat(
        self,
        now: Time,
        view_id: ViewId,
        sent_at: Time,
        policies_number: int,
        agreement_number: int = 0,
    ) -> Grant:
        """Renews the lease of the adopted view if it is still the highest; says what is lacking otherwise."""
        lacks_view = view_id != self.view.id
        given = not lacks_view and view_id >= self.highest and self.may_grant(now)
        if given:
            self.highest = view_id
            self.remembers = True
        # Guards against a view here that nobody renews: who does send learns that it needs a higher number.
        highest = max(self.highest, self.view.id)
        return Grant(
            view=view_id,
            sent_at=sent_at,
            granted_at=now,
            given=given,
            lacks_view=lacks_view,
            adopted=self.view.id,
            highest=highest,
            policies_number=policies_number,
            agreement_number=agreement_number,
        )

    def adopt(self, now: Time, view: View) -> bool:
        """Makes a view that has arrived this router's own; False if it is no later one, or no sound one."""
        if view.id < self.highest or view.id <= self.view.id or not self.is_believable(now, view.id):
            return False
        if view.coordinator not in view.members or len(view.members) < majority_of(len(self.named)):
            return False  # no coordinator proposes such a view
        self.view = view
        self.lease_until = 0
        return True

    def extend_lease(self, now: Time, view_id: ViewId, granted_at: Time, remaining: Time) -> None:
        """The coordinator says that the view was in force for `remaining` after our grant at `granted_at`."""
        is_member = self.view.members.get(self.name) == self.incarnation
        if granted_at <= now and view_id == self.view.id and is_member:
            self.lease_until = max(self.lease_until, granted_at + min(remaining, LEASE))

    def in_force(self, now: Time) -> bool:
        """Whether the adopted view's lease lasts, as far as this router knows."""
        return now < self.lease_until

    # ---- as a proposer and coordinator ----------------------------------------------------------------

    def next_action(self, now: Time, living: Mapping[str, int]) -> ProposerAction:
        """What this router has to do for all. `living` holds this router too, each with its incarnation. The
        first of them by name coordinates, if a majority of the named routers live."""
        self._note_living(now, living)
        if len(living) < majority_of(len(self.named)) or min(living) != self.name:
            self.proposed = None
            self.requesting = None
            return ProposerAction.NOTHING
        self._drop_outdated_proposal(now)
        if self.proposed and self.proposed.members == dict(living):
            self.requesting = None
            return ProposerAction.SEND_HEARTBEATS
        if now - self.last_seen_since >= SETTLE_TIME and self.may_grant(now):
            if self.requesting is None or now - self.requested_at > HEARTBEAT_INTERVAL:
                self._begin_request(now)
            return ProposerAction.REQUEST_PROMISES
        return ProposerAction.SEND_HEARTBEATS if self.proposed else ProposerAction.NOTHING

    def _note_living(self, now: Time, living: Mapping[str, int]) -> None:
        seen = frozenset(living.items())
        if seen != self.last_seen:
            self.last_seen = seen
            self.last_seen_since = now

    def _drop_outdated_proposal(self, now: Time) -> None:
        if self.proposed and self.proposed.id < self.highest:
            self.proposed = None  # another router asked with a higher number
        if self.proposed and now - self.proposal_lease_end() > LEASE:
            self.proposed = None  # routers that forgot a later view would bring this one back

    def _begin_request(self, now: Time) -> None:
        # By the clock, so that no earlier incarnation of this router asked with the same number.
        number = max(self.highest.number + 1, now // TIME_PER_MILLISECOND)
        self.requesting = ViewId(number, self.name)
        self.requested_at = now
        self.promises = {}
        self.attempts += 1

    def proposal_lease_end(self) -> Time:
        """When what is proposed ends, or ended, to be in force; when it was proposed, if it never was."""
        ends = sorted(self.granted_until.values(), reverse=True)
        needed = majority_of(len(self.named))
        return ends[needed - 1] if len(ends) >= needed else self.proposed_at

    def take_promise(
        self, now: Time, sender: str, promise: Promise, living: Mapping[str, int], copies: int
    ) -> View | None:
        """The view that can be proposed now, with `copies` holders beside the first; None as long as promises
        are missing."""
        if sender not in self.named or self.requesting is None or promise.requested != self.requesting:
            return None
        if not promise.given:
            self._give_way(now, promise.highest)
            return None
        self.promises[sender] = promise
        needed = majority_of(len(self.named))
        if len(self.promises) < needed or self.name not in self.promises:
            return None
        is_remembered = sum(each.remembers for each in self.promises.values()) >= needed
        # Those that restarted answer as soon as others: without those that remember all would be lost.
        if not is_remembered and len(self.promises) < len(living) and self.attempts < MAX_ATTEMPTS:
            return None
        return self._propose(now, self.requesting, living, copies, is_remembered)

    def _give_way(self, now: Time, highest: ViewId) -> None:
        """Another router asked with a higher number; the next request goes beyond that."""
        if self.requesting is not None and highest > self.requesting and self.is_believable(now, highest):
            self.highest = max(self.highest, ViewId(highest.number, ""))
            self.requesting = None

    def _propose(
        self, now: Time, view_id: ViewId, living: Mapping[str, int], copies: int, is_remembered: bool
    ) -> View:
        last = self._highest_adopted(now)
        takes_over = is_remembered and last.number > 0
        view = View(
            number=view_id.number,
            coordinator=self.name,
            members=dict(living),
            copies=copies,
            predecessor=last.id if takes_over else None,
            predecessor_members=last.members if takes_over else {},
            predecessor_copies=last.copies if takes_over else 0,
            is_first=not any(promise.remembers for promise in self.promises.values()),
        )
        self.proposed = view
        self.proposed_at = now
        self.requesting = None
        self.attempts = 0
        self.granted_until = {}
        self.last_grants = {}
        self.promises = {}
        return view

    def _highest_adopted(self, now: Time) -> View:
        """The last view that any of those who promised adopted; NO_VIEW if none did."""
        adopted = [promise.adopted for promise in self.promises.values()]
        # Of our own view the others send the id alone.
        adopted = [self.view if view.id == self.view.id else view for view in adopted]
        believable = [view for view in adopted if self.is_believable(now, view.id)]
        return max((*believable, NO_VIEW), key=lambda view: view.id)

    def take_grant(self, now: Time, sender: str, grant: Grant) -> None:
        """A router has answered a heartbeat."""
        if sender not in self.named or grant.sent_at > now:
            return
        self.policies_numbers[sender] = grant.policies_number
        if grant.highest > self.highest and self.is_believable(now, grant.highest):
            self.highest = ViewId(grant.highest.number, "")  # known of, not promised
        if self.proposed and grant.view == self.proposed.id and grant.given:
            until = int(grant.sent_at + LEASE * (1 - DRIFT))
            if until >= self.granted_until.get(sender, 0):
                self.granted_until[sender] = until
                self.last_grants[sender] = grant.granted_at

    def lease_remaining(self, now: Time) -> Time:
        """How long what is proposed is in force still: by the grant that completes a majority."""
        return max(0, self.proposal_lease_end() - now) if self.proposed else 0
