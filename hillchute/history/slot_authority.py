"""For which slots this router may decide now, and which routers hold the others.

Owns the lowest view that this router still accepts, and the holders of slots in the view that it adopted. It
sends nothing.
"""

from hillchute.decision.interface import Time
from hillchute.history.policy_distribution import PolicyDistribution
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.slot_placement import holders, slot_of
from hillchute.history.slot_table import SlotTable
from hillchute.history.views import DRIFT, HEARTBEAT_INTERVAL, LEASE, NO_VIEW, NO_VIEW_ID, ViewId

# By then a view that others fetched for is in force here, or never will be.
ABANDONED_VIEW_TIME: Time = int(2 * LEASE * (1 + 2 * DRIFT)) + HEARTBEAT_INTERVAL

POLICIES_NOT_CURRENT = "the policies here are not current"


class SlotAuthority:
    """One replica's right to decide for slots."""

    def __init__(self, context: ReplicaContext, slots: SlotTable, policies: PolicyDistribution) -> None:
        self._context = context
        self._slots = slots
        self._policies = policies
        self.lowest_accepted_view = NO_VIEW_ID  # others have fetched for it: it takes part in none before
        self._lowest_since = context.now
        self._holders: dict[int, tuple[str, ...]] = {}  # in the adopted view

    def view_adopted(self) -> None:
        """The holders are others now."""
        self._holders.clear()

    def holders_of(self, number: int) -> tuple[str, ...]:
        """A slot's holders in the adopted view; the first of them orders what the others copy."""
        if number not in self._holders:
            view = self._context.views.view
            self._holders[number] = holders(number, view.members, 1 + view.copies)
        return self._holders[number]

    def first_holder(self, customer: str, ordering_key: str) -> str | None:
        """The router that decides on a key's claims; None as long as no view was adopted."""
        if self._context.views.view is NO_VIEW:
            return None
        return next(iter(self.holders_of(slot_of(customer, ordering_key))), None)

    def other_holders_of(self, number: int) -> set[str]:
        """A slot's holders without this router."""
        return set(self.holders_of(number)) - {self._context.name}

    def accept_from(self, view: ViewId) -> None:
        """Another router has fetched for this view: lower ones are not accepted any more."""
        if view > self.lowest_accepted_view:
            self.lowest_accepted_view = view
            self._lowest_since = self._context.now

    def is_superseded(self, view: ViewId) -> bool:
        """Whether others have fetched from this router for a later view.

        A later view that has not come into force two leases on, while ours still is, never will: its
        coordinator has dropped it, and while it was in force ours could not have been renewed. Guards against
        a router that says so of a view that does not exist."""
        if self.lowest_accepted_view <= view:
            return False
        views = self._context.views
        waited = self._context.now - self._lowest_since
        is_ours = view == views.view.id and views.in_force(self._context.now)
        if is_ours and waited > ABANDONED_VIEW_TIME:
            self.lowest_accepted_view = view
        return self.lowest_accepted_view > view

    def obstacle(self, number: int, view: ViewId) -> str:
        """Why this router can't decide for a slot, as its first holder in a view; "" if it can."""
        slot = self._slots.current(number)
        views = self._context.views
        if view != views.view.id or self.is_superseded(view) or not views.in_force(self._context.now):
            return "no view is in force here"
        if self.holders_of(number)[:1] != (self._context.name,):
            return "it is another's"
        if slot.complete_in != view:
            return "its history is on its way"
        if not self._policies.are_current:
            return POLICIES_NOT_CURRENT
        return ""

    def may_copy_from(self, sender: str, number: int, view: ViewId) -> bool:
        """Whether this router is a holder that copies a slot from `sender`, its first holder, in a view."""
        slot = self._slots.current(number)
        if not view == self._context.views.view.id == slot.complete_in:
            return False
        if slot.released_at is not None or self.is_superseded(view):
            return False
        names = self.holders_of(number)
        return names[:1] == (sender,) and self._context.name in names
