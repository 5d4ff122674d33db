"""Determines for which slots this router may decide at present, and which routers hold each slot.

Keeps the lowest view that this router still accepts and the holders of slots in its adopted view.
"""

from hillchute.decision.interface import Time
from hillchute.history.policy_distribution import PolicyDistribution
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.slot_placement import holders, slot_of
from hillchute.history.slot_table import SlotTable
from hillchute.history.views import (
    HEARTBEAT_INTERVAL,
    MAX_CLOCK_DRIFT,
    NO_VIEW,
    NO_VIEW_ID,
    VIEW_LEASE,
    ViewId,
)

# After this time a view for which others fetched slots is either in force here or has been abandoned.
ABANDONED_VIEW_TIME: Time = int(2 * VIEW_LEASE * (1 + 2 * MAX_CLOCK_DRIFT)) + HEARTBEAT_INTERVAL

POLICIES_NOT_CURRENT = "the policies here are not current"


class SlotAuthority:
    """One replica's authority to decide for slots."""

    def __init__(self, context: ReplicaContext, slots: SlotTable, policies: PolicyDistribution) -> None:
        self._context = context
        self._slots = slots
        self._policies = policies
        self.lowest_accepted_view = NO_VIEW_ID  # others fetched slots for it; no lower view is accepted
        self._lowest_accepted_since = context.now
        self._holders: dict[int, tuple[str, ...]] = {}  # in the adopted view

    def on_view_adopted(self) -> None:
        """Drops the cached holders of the previous view."""
        self._holders.clear()

    def holders_of(self, number: int) -> tuple[str, ...]:
        """Returns a slot's holders in the adopted view; the first decides, the others copy its records."""
        if number not in self._holders:
            view = self._context.views.view
            self._holders[number] = holders(number, view.members, 1 + view.copies)
        return self._holders[number]

    def first_holder(self, customer: str, ordering_key: str) -> str | None:
        """Returns the router that decides on a key's claims; None before a view is adopted."""
        if self._context.views.view is NO_VIEW:
            return None
        return next(iter(self.holders_of(slot_of(customer, ordering_key))), None)

    def other_holders_of(self, number: int) -> set[str]:
        """Returns a slot's holders other than this router."""
        return set(self.holders_of(number)) - {self._context.name}

    def raise_lowest_accepted(self, view: ViewId) -> None:
        """Stops accepting views below this one, for which another router has requested a slot."""
        if view > self.lowest_accepted_view:
            self.lowest_accepted_view = view
            self._lowest_accepted_since = self._context.now

    def is_superseded(self, view: ViewId) -> bool:
        """Whether other routers have requested slots from this one for a later view.

        If the adopted view is still in force two leases later, the later view never will be: its coordinator
        has dropped it, and while it was in force the adopted view could not have been renewed. This also
        covers requests that name a view that does not exist.
        """
        if self.lowest_accepted_view <= view:
            return False
        views = self._context.views
        waited = self._context.now - self._lowest_accepted_since
        is_in_force = view == views.view.id and views.in_force(self._context.now)
        if is_in_force and waited > ABANDONED_VIEW_TIME:
            self.lowest_accepted_view = view
        return self.lowest_accepted_view > view

    def rejection_reason(self, number: int, view: ViewId) -> str:
        """Returns why this router cannot decide for a slot as first holder in a view; "" if it can."""
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
        """Whether this router holds a slot in a view in which `sender` is the slot's first holder."""
        slot = self._slots.current(number)
        if not view == self._context.views.view.id == slot.complete_in:
            return False
        if slot.released_at is not None or self.is_superseded(view):
            return False
        names = self.holders_of(number)
        return names[:1] == (sender,) and self._context.name in names
