"""Views: numbered configurations that say which routers hold the history.

Owns the values that routers exchange about views, and the timing that all of them must share. Pure: it holds
no state and sends nothing. Times are whole tenths of a millisecond.
"""

from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time

LEASE: Time = 40_000  # four seconds: outlasts three heartbeats that the network lost
DRIFT = 0.01  # the part by which two monotonic clocks may differ over one lease; crystals keep to 0.0001
HEARTBEAT_INTERVAL: Time = 10_000  # between two heartbeats of the coordinator


class ViewId(NamedTuple):
    """Identifies a view, and orders views: the number rises, and of equal numbers the coordinator decides."""

    number: int
    coordinator: str


NO_VIEW_ID = ViewId(0, "")


class View(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One configuration of holders, and the one whose records it takes over."""

    number: int = 0  # 0: no view at all
    coordinator: str = ""
    members: dict[str, int] = {}  # router: its incarnation
    copies: int = 0  # holders of a slot beside the first
    predecessor: ViewId | None = None  # the view whose records it takes over; None: all records are lost
    predecessor_members: dict[str, int] = {}
    predecessor_copies: int = 0
    is_first: bool = False  # nobody who promised remembers any view

    @property
    def id(self) -> ViewId:
        """What identifies it among views."""
        return ViewId(self.number, self.coordinator)


NO_VIEW = View()


class Promise(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The answer to a router that asks for a new view."""

    requested: ViewId
    given: bool
    highest: ViewId  # that the answering router has promised or granted
    remembers: bool  # the answering router has granted a view in this incarnation
    adopted: View  # the view that the answering router adopted last


class Grant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The answer to a coordinator's heartbeat: whether its view's lease is renewed."""

    view: ViewId
    sent_at: Time  # the heartbeat's, by the coordinator's clock
    granted_at: Time  # by the granting router's clock
    given: bool
    lacks_view: bool  # the granting router has not received the view itself
    adopted: ViewId  # the view that the granting router adopted last
    highest: ViewId
    policies_number: int  # of the retention policies that the granting router has applied
    agreement_number: int = 0  # of the partners' agreement that the granting router follows


class ViewDelta(msgspec.Struct, frozen=True):
    """What a view changes in its predecessor."""

    copies: int
    removed: tuple[str, ...]
    added: dict[str, int]


def majority_of(count: int) -> int:
    """The least number of routers that is more than half of `count`."""
    return count // 2 + 1


def delta_of(view: View) -> ViewDelta:
    """What `view` changes in its predecessor."""
    removed = tuple(sorted(view.predecessor_members.keys() - view.members.keys()))
    before = view.predecessor_members
    added = {name: number for name, number in view.members.items() if before.get(name) != number}
    return ViewDelta(view.copies, removed, added)


def apply_delta(base: View, view_id: ViewId, delta: ViewDelta) -> View:
    """The view that `delta` makes of `base`; the inverse of `delta_of`."""
    kept = {name: number for name, number in base.members.items() if name not in delta.removed}
    return View(
        number=view_id.number,
        coordinator=view_id.coordinator,
        members=kept | delta.added,
        copies=delta.copies,
        predecessor=base.id,
        predecessor_members=base.members,
        predecessor_copies=base.copies,
    )
