"""The messages that routers exchange about the history, as typed values.

Owns what each message says. The order of the fields and the tags are those of the wire; codec.py bounds the
fields and makes bytes of them. Times are whole tenths of a millisecond. Ages are durations, as of when the
message was made: no clock is compared with another router's.
"""

from typing import get_args

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.records import ClaimId, Record
from hillchute.history.retention import RetentionPolicies
from hillchute.history.views import Grant, Promise, View, ViewId


class TaggedMessage(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag_field="type"
):
    """What all messages have in common: a row on the wire, its tag first."""


class PromiseRequest(TaggedMessage, frozen=True, tag=1):
    """Asks for a promise, to propose a new view. `adopted`: the one that the sender adopted last."""

    view: ViewId
    adopted: ViewId


class PromiseReply(TaggedMessage, frozen=True, tag=2):
    """Answers a PromiseRequest."""

    promise: Promise


class Heartbeat(TaggedMessage, frozen=True, tag=3):
    """The coordinator asks for the renewal of its view's lease, and says how long the view is in force.

    `lease_remaining` was left when this was made, for a router whose last grant was made at `echo` by that
    router's own clock. Grants that name higher numbers than these count once the coordinator has what they
    name.
    """

    view: ViewId
    sent_at: Time
    echo: Time  # 0: no grant of the receiver has come yet
    lease_remaining: Time
    policies_number: int  # of the retention policies that the coordinator has applied
    agreement_number: int = 0  # of the partners' agreement that holds


class HeartbeatReply(TaggedMessage, frozen=True, tag=4):
    """Answers a Heartbeat."""

    grant: Grant


class ViewAnnouncement(TaggedMessage, frozen=True, tag=5):
    """A whole view."""

    view: View


class ViewUpdate(TaggedMessage, frozen=True, tag=17):
    """A view, for a router that adopted the view `base` last, from which this one takes over."""

    view: ViewId
    base: ViewId
    copies: int
    removed: tuple[str, ...]
    added: dict[str, int]


class PoliciesRequest(TaggedMessage, frozen=True, tag=6):
    """Asks for retention policies of a higher number."""

    above: int


class PoliciesUpdate(TaggedMessage, frozen=True, tag=7):
    """The sender's retention policies."""

    policies: RetentionPolicies


class ClaimRequest(TaggedMessage, frozen=True, tag=8):
    """The sender asks whether it may run a query."""

    view: ViewId
    number: int  # the sender's own
    incarnation: int  # of the sender
    customer: str
    ordering_key: str
    idempotency_key: str
    time_left: Time  # an attempt may still be sent for so long
    ordered: bool  # runs of its key follow one another
    is_transient: bool = False  # it has no idempotency key of its own: it is listed only while it runs

    def claim_id(self, sender: str) -> ClaimId:
        """What identifies it among the claims of all routers."""
        return ClaimId(sender, self.incarnation, self.number)


class ClaimReply(TaggedMessage, frozen=True, tag=9):
    """What becomes of a claim. With RUN the record as granted, with REPLAY the one that answers."""

    number: int
    incarnation: int
    decision: int  # a ClaimDecision's value
    reason: str
    record: Record | None = None


class Completion(TaggedMessage, frozen=True, tag=10):
    """The sender's run has ended, as the record says: NOT_RUN if it never began. Repeated until a
    CompletionReply comes."""

    view: ViewId
    record: Record


class CompletionReply(TaggedMessage, frozen=True, tag=11):
    """All holders have the outcome of a claim's run."""

    number: int
    incarnation: int


class ReplicateRequest(TaggedMessage, frozen=True, tag=12):
    """From a slot's first holder to the others: a record to be stored."""

    view: ViewId
    number: int  # the first holder's own, of the replication round
    record: Record
    age: Time


class ReplicateReply(TaggedMessage, frozen=True, tag=13):
    """Answers a ReplicateRequest."""

    view: ViewId
    number: int
    stored: bool


class SlotRequest(TaggedMessage, frozen=True, tag=14):
    """The sender holds a slot in this view and wants its records as of the end of the view `epoch`."""

    view: ViewId
    slot: int
    epoch: ViewId


class SlotPart(TaggedMessage, frozen=True, tag=15):
    """One part of a slot's records, of `parts`."""

    view: ViewId
    slot: int
    part: int
    parts: int
    records: tuple[Record, ...]
    ages: tuple[Time, ...]
    lost: Time | None  # how long ago records of the slot may have been lost, if ever
    lease: OwnershipLease | None = None


class SlotRedirect(TaggedMessage, frozen=True, tag=16):
    """The sender has not got the slot itself yet: whom it asks, and for which epoch. Without sources: it
    never will."""

    view: ViewId
    slot: int
    epoch: ViewId
    sources: dict[str, int]  # router: its incarnation


class LeaseUpdate(TaggedMessage, frozen=True, tag=18):
    """From a slot's first holder to the others: the slot's ownership lease from now on."""

    view: ViewId
    slot: int
    lease: OwnershipLease


class LeaseReply(TaggedMessage, frozen=True, tag=19):
    """Answers a LeaseUpdate, which was stored."""

    view: ViewId
    slot: int
    number: int  # the lease's


Message = (
    PromiseRequest
    | PromiseReply
    | Heartbeat
    | HeartbeatReply
    | ViewAnnouncement
    | ViewUpdate
    | PoliciesRequest
    | PoliciesUpdate
    | ClaimRequest
    | ClaimReply
    | Completion
    | CompletionReply
    | ReplicateRequest
    | ReplicateReply
    | SlotRequest
    | SlotPart
    | SlotRedirect
    | LeaseUpdate
    | LeaseReply
)
MESSAGE_TYPES: tuple[type[TaggedMessage], ...] = get_args(Message)
