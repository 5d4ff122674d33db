"""What one replica has of each slot, brought from view to view.

Owns the state of the slots and its changes: a slot is entered with a view, requested from its earlier
holders, complete, lost, or released to others. It sends nothing (slot_transfer.py does).
"""

from collections import deque
from collections.abc import Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import FOUNDING_TIME
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.slot_placement import SLOTS, holders
from hillchute.history.views import LEASE, View, ViewId

MAX_LOGGED_VIEWS = 64  # views that a slot which nobody touched is brought through one by one


class SlotState(msgspec.Struct):
    """What this replica has of one slot."""

    views_entered: int = 0  # of all views that were ever adopted here
    held_in: ViewId | None = None  # the view in which this router last was a holder
    complete_in: ViewId | None = None  # it has all records as of this view
    lost_at: Time | None = None  # when records may have been lost, by this router's clock
    wanted_epoch: ViewId | None = None  # the view as of whose end its records are requested
    sources: dict[str, int] = {}  # routers that may have them, with their incarnations
    refusals: frozenset[str] = frozenset()  # sources that said that they have not got them
    received_parts: dict[tuple[str, int], set[int]] = {}  # by source and how many parts there are
    wanted_since: Time = 0
    requested_at: Time = 0
    released_at: Time | None = None  # when other routers became its holders
    lease: OwnershipLease | None = None

    def open_sources(self) -> dict[str, int]:
        """The sources that have not refused."""
        return {name: number for name, number in self.sources.items() if name not in self.refusals}


class SlotTable:
    """All slots of one replica."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.slots = [SlotState() for _ in range(SLOTS)]
        self.outdated: deque[int] = deque()  # slots to be brought to the last view
        self.wanted: dict[int, None] = {}  # slots that are being fetched, in order
        self._views: list[View] = []  # adopted, the last ones
        self._dropped_views = 0  # adopted before those

    def add_view(self, view: View) -> None:
        """A view was adopted: from now on slots are brought to it."""
        self._views.append(view)
        self.outdated = deque(range(SLOTS))
        if len(self._views) > MAX_LOGGED_VIEWS:
            for number in range(SLOTS):
                self.current(number)
            self._dropped_views += len(self._views) - 1
            del self._views[:-1]

    def current(self, number: int) -> SlotState:
        """A slot as it is in the last view, brought through those that it has not entered."""
        slot = self.slots[number]
        while slot.views_entered < self._dropped_views + len(self._views):
            view = self._views[slot.views_entered - self._dropped_views]
            slot.views_entered += 1
            self.enter(number, slot, view)
        return slot

    def enter(self, number: int, slot: SlotState, view: View) -> None:
        """What a view makes of a slot."""
        context = self._context
        is_holder = context.name in holders(number, view.members, 1 + view.copies)
        if not is_holder or view.members[context.name] != context.incarnation:
            slot.released_at = context.now if slot.released_at is None else slot.released_at
            return
        slot.released_at = None
        if view.predecessor is None:
            self.declare_lost(number, slot, view)
            if view.is_first and context.policies.was_empty_at(context.now, FOUNDING_TIME):
                slot.lost_at = None
        elif slot.complete_in == view.predecessor:
            slot.complete_in = view.id
            slot.wanted_epoch = None
        elif slot.wanted_epoch is None or slot.held_in != view.predecessor:
            members = view.predecessor_members
            names = holders(number, members, 1 + view.predecessor_copies)
            self.want(number, slot, view.predecessor, {name: members[name] for name in names})
        # Else it was being fetched in the view before, and goes on: nothing was granted there.
        slot.held_in = view.id

    def want(self, number: int, slot: SlotState, epoch: ViewId, sources: Mapping[str, int]) -> None:
        """The slot's records as of the end of `epoch` are to be fetched from one of these routers."""
        slot.wanted_epoch = epoch
        slot.wanted_since = self._context.now
        slot.requested_at = 0
        slot.refusals = frozenset()
        slot.received_parts = {}
        slot.sources = {
            name: incarnation for name, incarnation in sources.items() if name != self._context.name
        }
        self.wanted[number] = None

    def declare_lost(self, number: int, slot: SlotState, view: View) -> None:
        """Nobody is left who had all records. Earlier holders may still have granted something until their
        lease ended, so the loss is dated one lease from now."""
        slot.complete_in = view.id
        slot.held_in = view.id
        slot.lost_at = self._context.now + LEASE
        slot.lease = None
        slot.wanted_epoch = None
        slot.sources = {}
        self.wanted.pop(number, None)
        self._context.counters["slots lost"] += 1

    def mark_complete(self, number: int, slot: SlotState) -> None:
        """All records as of the wanted epoch are here."""
        slot.complete_in = slot.held_in
        slot.wanted_epoch = None
        slot.sources = {}
        slot.received_parts = {}
        self.wanted.pop(number, None)
