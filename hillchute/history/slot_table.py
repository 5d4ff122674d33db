"""The state of each slot at one replica, and its changes from view to view.

When a view makes this router a holder of a slot, the slot is fetched from its earlier holders until it is
complete or declared lost; a slot that only other routers hold is released. slot_transfer.py sends the
messages.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.retention import MS
from hillchute.history.slot_placement import SLOTS, holders
from hillchute.history.views import FIRST_GRANT_DELAY, VIEW_LEASE, View, ViewId

MAX_RETAINED_VIEWS = 64  # adopted views that are kept to be applied to a slot one by one when it is next used


class SlotState(msgspec.Struct):
    """The state of one slot at this replica."""

    views_applied: int = 0  # number of the views adopted here that have been applied to the slot
    held_in: ViewId | None = None  # the last view in which this router was a holder
    complete_in: ViewId | None = None  # the last view as of which all records are here
    lost_at: Time | None = None  # when records may last have been lost, by this router's clock
    fetch_epoch: ViewId | None = None  # while fetching: records are requested as of the end of this view
    sources: dict[str, int] = {}  # routers that may have the records, with their incarnations
    refusals: frozenset[str] = frozenset()  # sources that replied that they do not have the records
    received_parts: dict[tuple[str, int], set[int]] = {}  # by source and total number of parts
    fetch_started_at: Time = 0
    requested_at: Time = 0
    released_at: Time | None = None  # when other routers became its holders
    lease: OwnershipLease | None = None

    def remaining_sources(self) -> dict[str, int]:
        """Returns the sources that have not refused."""
        return {name: number for name, number in self.sources.items() if name not in self.refusals}


class SlotTable:
    """All slots of one replica."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.slots = [SlotState() for _ in range(SLOTS)]
        self.outdated: deque[int] = deque()  # slots to which later views are still to be applied
        self.fetching: dict[int, None] = {}  # slots being fetched, in order
        self._views: list[View] = []  # the last adopted views
        self._dropped_views = 0  # number of views adopted before those

    def add_view(self, view: View) -> None:
        """Adds an adopted view, which is then applied to each slot on its next use or in a later tick."""
        self._views.append(view)
        self.outdated = deque(range(SLOTS))
        if len(self._views) > MAX_RETAINED_VIEWS:
            for number in range(SLOTS):
                self.current(number)
            self._dropped_views += len(self._views) - 1
            del self._views[:-1]

    def current(self, number: int) -> SlotState:
        """Returns a slot after applying the adopted views that have not been applied to it."""
        slot = self.slots[number]
        while slot.views_applied < self._dropped_views + len(self._views):
            view = self._views[slot.views_applied - self._dropped_views]
            slot.views_applied += 1
            self.apply_view(number, slot, view)
        return slot

    def apply_view(self, number: int, slot: SlotState, view: View) -> None:
        """Applies one adopted view to a slot."""
        context = self._context
        is_holder = context.name in holders(number, view.members, 1 + view.copies)
        if not is_holder or view.members[context.name] != context.incarnation:
            slot.released_at = context.now if slot.released_at is None else slot.released_at
            return
        slot.released_at = None
        if view.predecessor is None:
            self.declare_lost(number, slot, view)
            if view.is_first and self._is_first_since_founding(view):
                slot.lost_at = None
        elif slot.complete_in == view.predecessor:
            slot.complete_in = view.id
            slot.fetch_epoch = None
        elif slot.fetch_epoch is None or slot.held_in != view.predecessor:
            members = view.predecessor_members
            names = holders(number, members, 1 + view.predecessor_copies)
            self.start_fetch(number, slot, view.predecessor, {name: members[name] for name in names})
        # Otherwise a fetch begun in the previous view continues: this slot granted nothing in that view.
        slot.held_in = view.id

    def _is_first_since_founding(self, view: View) -> bool:
        """Whether no view can have existed before this one since the history was founded.

        An earlier view has a member in common with this one, as both were promised by a majority. That member
        does not know it, so it has restarted since; but no view can exist before FIRST_GRANT_DELAY has passed
        since the first router's start, and each member has started before that.
        """
        founded = self._context.policies.founded
        latest_start = max(view.members.values(), default=0) * MS
        return founded > 0 and latest_start < founded + FIRST_GRANT_DELAY

    def start_fetch(self, number: int, slot: SlotState, epoch: ViewId, sources: Mapping[str, int]) -> None:
        """Starts fetching the slot's records as of the end of `epoch` from one of these routers."""
        slot.fetch_epoch = epoch
        slot.fetch_started_at = self._context.now
        slot.requested_at = 0
        slot.refusals = frozenset()
        slot.received_parts = {}
        slot.sources = {
            name: incarnation for name, incarnation in sources.items() if name != self._context.name
        }
        self.fetching[number] = None

    def declare_lost(self, number: int, slot: SlotState, view: View) -> None:
        """Makes a slot complete without its earlier records: no router that had all of them is left.

        Earlier holders may still grant claims until their lease ends, so the loss is dated one lease ahead.
        """
        slot.complete_in = view.id
        slot.held_in = view.id
        slot.lost_at = self._context.now + VIEW_LEASE
        slot.lease = None
        slot.fetch_epoch = None
        slot.sources = {}
        self.fetching.pop(number, None)
        self._context.counters["slots lost"] += 1

    def mark_complete(self, number: int, slot: SlotState) -> None:
        """Ends the fetch of a slot: all records as of `fetch_epoch` are here."""
        slot.complete_in = slot.held_in
        slot.fetch_epoch = None
        slot.sources = {}
        slot.received_parts = {}
        self.fetching.pop(number, None)
