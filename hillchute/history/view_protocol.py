"""One router's state in the protocol by which one view of the holders succeeds another.

Performs no I/O and reads no clock; view_change.py sends the messages.

A router that wants a new view requests promises for a number. A router that answers promises to grant nothing
lower and reports the view that it adopted last. With promises from a majority of the configured routers, the
new view takes over from the highest reported one (Paxos, applied to the views only). A view is in force while
a majority granted it within VIEW_LEASE. Any two majorities share a router, so an earlier view cannot be
renewed once a later one is in force, and it ends within VIEW_LEASE at every router, even a partitioned one.

A router that restarts has lost its promises. Therefore it neither grants nor promises for two leases plus
clock drift, and a coordinator drops a view that has not been in force for VIEW_LEASE. A view takes over from
an earlier one only if a majority of the configured routers have granted a view in their present incarnation.
Otherwise the records of all slots count as lost as of the new view.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

from hillchute.decision.interface import Time
from hillchute.history.views import (
    FIRST_GRANT_DELAY,
    HEARTBEAT_INTERVAL,
    MAX_CLOCK_DRIFT,
    NO_VIEW,
    NO_VIEW_ID,
    VIEW_LEASE,
    Grant,
    Promise,
    View,
    ViewId,
    majority_of,
)

MAX_ATTEMPTS = 4  # requests before a view is proposed without routers that may have granted an earlier one
MAX_NUMBER_AHEAD = 3_600_000  # ms that a view's number, which is a time, may be ahead of this router's clock
# One second without a change of the live routers, before a view is proposed: routers often fail in groups.
SETTLE_TIME: Time = 10_000
TIME_PER_MILLISECOND = 10  # views are numbered by Unix time in milliseconds


class ProposerAction(Enum):
    """What a router has to do now as proposer or coordinator."""

    NOTHING = "nothing"
    REQUEST_PROMISES = "request promises"
    SEND_HEARTBEATS = "send heartbeats"


class ViewProtocol:
    """One router's promises and grants, and its own proposal."""

    def __init__(self, name: str, incarnation: int, configured: Iterable[str], now: Time) -> None:
        """`configured`: all routers in the operator file, of which a majority is counted."""
        self.name = name
        self.incarnation = incarnation
        self.configured = frozenset(configured) | {name}
        self.started_at = now
        self.view = NO_VIEW  # the last adopted view
        self.highest = NO_VIEW_ID  # lower ids are no longer accepted from other routers
        self.has_granted = False  # whether it has granted a view in this incarnation
        self.lease_until: Time = 0
        # As a proposer and coordinator:
        self.last_live: frozenset[tuple[str, int]] = frozenset()
        self.last_live_since = now
        self.requesting: ViewId | None = None
        self.requested_at: Time = now
        self.attempts = 0  # requests since a view was proposed
        self.promises: dict[str, Promise] = {}
        self.proposed: View | None = None
        self.proposed_at: Time = now
        self.granted_until: dict[str, Time] = {}  # by router, for the proposed view
        self.last_grants: dict[str, Time] = {}  # by router: `granted_at` of its last grant
        self.policies_numbers: dict[str, int] = {}  # by router: number of its applied policies

    # ---- as a router that promises and grants ---------------------------------------------------------

    def may_grant(self, now: Time) -> bool:
        """Whether promises and grants of an earlier incarnation can no longer have an effect."""
        return now >= self.started_at + FIRST_GRANT_DELAY * (1 + MAX_CLOCK_DRIFT)

    def is_plausible(self, now: Time, view_id: ViewId) -> bool:
        """Whether a view with this id may exist.

        Guards against a number so high that no later view could follow.
        """
        not_ahead = view_id.number <= now // TIME_PER_MILLISECOND + MAX_NUMBER_AHEAD
        return not_ahead and view_id.coordinator in self.configured

    def answer_request(self, now: Time, view_id: ViewId, adopted: ViewId = NO_VIEW_ID) -> Promise:
        """Returns a promise, or its refusal.

        `adopted`: the view that the requester adopted last. If this router adopted the same one, only its
        id is reported.
        """
        given = view_id > self.highest and self.may_grant(now) and self.is_plausible(now, view_id)
        if given:
            self.highest = view_id
        reported = self.view
        if adopted == self.view.id:
            reported = View(adopted.number, adopted.coordinator)
        return Promise(view_id, given, max(self.highest, self.view.id), self.has_granted, reported)

    def answer_heartbeat(
        self,
        now: Time,
        view_id: ViewId,
        sent_at: Time,
        policies_number: int,
        agreement_number: int = 0,
    ) -> Grant:
        """Returns a grant that renews the adopted view's lease, or a refusal that reports what is missing."""
        lacks_view = view_id != self.view.id
        given = not lacks_view and view_id >= self.highest and self.may_grant(now)
        if given:
            self.highest = view_id
            self.has_granted = True
        # If nobody renews the view adopted here, its id tells the sender to use a higher number.
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
        """Adopts a received view; returns False if it is not later than the adopted one, or invalid."""
        if view.id < self.highest or view.id <= self.view.id or not self.is_plausible(now, view.id):
            return False
        if view.coordinator not in view.members or len(view.members) < majority_of(len(self.configured)):
            return False  # not proposed by any correct coordinator
        self.view = view
        self.lease_until = 0
        return True

    def extend_lease(self, now: Time, view_id: ViewId, granted_at: Time, remaining: Time) -> None:
        """Extends the lease to `remaining` (at most VIEW_LEASE) after this router's grant at `granted_at`."""
        is_member = self.view.members.get(self.name) == self.incarnation
        if granted_at <= now and view_id == self.view.id and is_member:
            self.lease_until = max(self.lease_until, granted_at + min(remaining, VIEW_LEASE))

    def in_force(self, now: Time) -> bool:
        """Whether the adopted view's lease has not expired, as far as this router knows."""
        return now < self.lease_until

    # ---- as a proposer and coordinator ----------------------------------------------------------------

    def next_action(self, now: Time, live_routers: Mapping[str, int]) -> ProposerAction:
        """Returns what this router has to do now as proposer or coordinator.

        `live_routers`: incarnations by router, this one included. The first of them by name coordinates, if a
        majority of the configured routers are live.
        """
        self._note_live_routers(now, live_routers)
        if len(live_routers) < majority_of(len(self.configured)) or min(live_routers) != self.name:
            self.proposed = None
            self.requesting = None
            return ProposerAction.NOTHING
        self._drop_outdated_proposal(now)
        if self.proposed and self.proposed.members == dict(live_routers):
            self.requesting = None
            return ProposerAction.SEND_HEARTBEATS
        if now - self.last_live_since >= SETTLE_TIME and self.may_grant(now):
            if self.requesting is None or now - self.requested_at > HEARTBEAT_INTERVAL:
                self._begin_request(now)
            return ProposerAction.REQUEST_PROMISES
        return ProposerAction.SEND_HEARTBEATS if self.proposed else ProposerAction.NOTHING

    def _note_live_routers(self, now: Time, live_routers: Mapping[str, int]) -> None:
        live = frozenset(live_routers.items())
        if live != self.last_live:
            self.last_live = live
            self.last_live_since = now

    def _drop_outdated_proposal(self, now: Time) -> None:
        if self.proposed and self.proposed.id < self.highest:
            self.proposed = None  # another router has requested promises for a higher number
        if self.proposed and now - self.proposal_lease_end() > VIEW_LEASE:
            self.proposed = None  # restarted routers, which lost a later view, would renew this one

    def _begin_request(self, now: Time) -> None:
        # Taken from the clock, so that no earlier incarnation of this router has used the same number.
        number = max(self.highest.number + 1, now // TIME_PER_MILLISECOND)
        self.requesting = ViewId(number, self.name)
        self.requested_at = now
        self.promises = {}
        self.attempts += 1

    def proposal_lease_end(self) -> Time:
        """Returns when the proposed view's lease ends or ended; when proposed, if it was never in force."""
        ends = sorted(self.granted_until.values(), reverse=True)
        needed = majority_of(len(self.configured))
        return ends[needed - 1] if len(ends) >= needed else self.proposed_at

    def handle_promise(
        self, now: Time, sender: str, promise: Promise, live_routers: Mapping[str, int], copies: int
    ) -> View | None:
        """Adds a promise; returns the view that is now proposed, or None while promises are missing.

        `copies`: the number of holders of a slot in addition to the first.
        """
        if sender not in self.configured or self.requesting is None or promise.requested != self.requesting:
            return None
        if not promise.given:
            self._abandon_request(now, promise.highest)
            return None
        self.promises[sender] = promise
        needed = majority_of(len(self.configured))
        if len(self.promises) < needed or self.name not in self.promises:
            return None
        has_majority = sum(each.has_granted for each in self.promises.values()) >= needed
        # Restarted routers answer as fast as others; without the others' promises all records would be lost.
        if not has_majority and len(self.promises) < len(live_routers) and self.attempts < MAX_ATTEMPTS:
            return None
        return self._propose(now, self.requesting, live_routers, copies, has_majority)

    def _abandon_request(self, now: Time, highest: ViewId) -> None:
        """Ends the request, as another router used a higher number; the next one goes beyond that."""
        if self.requesting is not None and highest > self.requesting and self.is_plausible(now, highest):
            self.highest = max(self.highest, ViewId(highest.number, ""))
            self.requesting = None

    def _is_first_view(self, live_routers: Mapping[str, int]) -> bool:
        """Whether each router that promised is a member of the view and has granted none before."""
        has_granted = any(promise.has_granted for promise in self.promises.values())
        return not has_granted and self.promises.keys() <= live_routers.keys()

    def _propose(
        self, now: Time, view_id: ViewId, live_routers: Mapping[str, int], copies: int, has_majority: bool
    ) -> View:
        last = self._highest_adopted(now)
        takes_over = has_majority and last.number > 0
        view = View(
            number=view_id.number,
            coordinator=self.name,
            members=dict(live_routers),
            copies=copies,
            predecessor=last.id if takes_over else None,
            predecessor_members=last.members if takes_over else {},
            predecessor_copies=last.copies if takes_over else 0,
            is_first=self._is_first_view(live_routers),
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
        """Returns the highest view adopted by a router that promised; NO_VIEW if there is none."""
        adopted = [promise.adopted for promise in self.promises.values()]
        # For this router's adopted view the others send only the id.
        adopted = [self.view if view.id == self.view.id else view for view in adopted]
        plausible = [view for view in adopted if self.is_plausible(now, view.id)]
        return max((*plausible, NO_VIEW), key=lambda view: view.id)

    def handle_grant(self, now: Time, sender: str, grant: Grant) -> None:
        """Handles a router's answer to a heartbeat."""
        if sender not in self.configured or grant.sent_at > now:
            return
        self.policies_numbers[sender] = grant.policies_number
        if grant.highest > self.highest and self.is_plausible(now, grant.highest):
            self.highest = ViewId(grant.highest.number, "")  # known, but not promised
        if self.proposed and grant.view == self.proposed.id and grant.given:
            until = int(grant.sent_at + VIEW_LEASE * (1 - MAX_CLOCK_DRIFT))
            if until >= self.granted_until.get(sender, 0):
                self.granted_until[sender] = until
                self.last_grants[sender] = grant.granted_at

    def lease_remaining(self, now: Time) -> Time:
        """Returns how much longer the proposed view is in force, by the grant that completes a majority."""
        return max(0, self.proposal_lease_end() - now) if self.proposed else 0
