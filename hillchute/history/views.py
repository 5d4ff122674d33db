"""Views: numbered configurations of the routers that hold the history.

Defines the values that routers exchange about views, and the timing, which must be the same at all of them.
Times are whole tenths of a millisecond.
"""

from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time

VIEW_LEASE: Time = 40_000  # of a view: four seconds, so that it outlasts the loss of three heartbeats
# Maximum relative drift between two monotonic clocks over one lease; quartz stays within 0.0001.
MAX_CLOCK_DRIFT = 0.01
FIRST_GRANT_DELAY: Time = 2 * VIEW_LEASE  # at least, from a router's start to its first promise or grant
HEARTBEAT_INTERVAL: Time = 10_000  # one second between heartbeats of the coordinator


class ViewId(NamedTuple):
    """Identifies and orders views: by number, and by the coordinator's name where numbers are equal."""

    number: int
    coordinator: str


NO_VIEW_ID = ViewId(0, "")


class View(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A configuration of holders, and the predecessor whose records it takes over."""

    number: int = 0  # 0: no view
    coordinator: str = ""
    members: dict[str, int] = {}  # incarnations by router
    copies: int = 0  # holders of a slot in addition to the first
    predecessor: ViewId | None = None  # the view whose records it takes over; None: all records are lost
    predecessor_members: dict[str, int] = {}
    predecessor_copies: int = 0
    is_first: bool = False  # all that promised are members, and granted none in their present incarnation

    @property
    def id(self) -> ViewId:
        """Its identity among views."""
        return ViewId(self.number, self.coordinator)


NO_VIEW = View()


class Promise(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The answer to a router that requests promises for a new view."""

    requested: ViewId
    given: bool
    highest: ViewId  # the highest that the answering router has promised or granted
    has_granted: bool  # whether the answering router has granted a view in this incarnation
    adopted: View  # the view that the answering router adopted last


class Grant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The answer to a coordinator's heartbeat: renews its view's lease, or refuses to."""

    view: ViewId
    sent_at: Time  # of the heartbeat, by the coordinator's clock
    granted_at: Time  # by the granting router's clock
    given: bool
    lacks_view: bool  # whether the granting router has not received the view itself
    adopted: ViewId  # the view that the granting router adopted last
    highest: ViewId
    policies_number: int  # of the retention policies that the granting router has applied
    agreement_number: int = 0  # of the partners' agreement that the granting router follows


class ViewDelta(msgspec.Struct, frozen=True):
    """The changes from a view's predecessor to the view."""

    copies: int
    removed: tuple[str, ...]
    added: dict[str, int]


def majority_of(count: int) -> int:
    """Returns the smallest number that is more than half of `count`."""
    return count // 2 + 1


def delta_of(view: View) -> ViewDelta:
    """Returns the changes from the predecessor of `view` to `view`."""
    removed = tuple(sorted(view.predecessor_members.keys() - view.members.keys()))
    before = view.predecessor_members
    added = {name: number for name, number in view.members.items() if before.get(name) != number}
    return ViewDelta(view.copies, removed, added)


def apply_delta(base: View, view_id: ViewId, delta: ViewDelta) -> View:
    """Returns the view that results from applying `delta` to `base`; the inverse of `delta_of`."""
    unchanged = {name: number for name, number in base.members.items() if name not in delta.removed}
    return View(
        number=view_id.number,
        coordinator=view_id.coordinator,
        members=unchanged | delta.added,
        copies=delta.copies,
        predecessor=base.id,
        predecessor_members=base.members,
        predecessor_copies=base.copies,
    )
