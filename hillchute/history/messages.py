"""The messages that routers exchange about the history, as typed values.

The order of the fields and the tags are part of the wire format; codec.py encodes messages and checks bounds.
Times are whole tenths of a millisecond. Ages are durations as of when the message was created, so that clocks
of different routers are never compared.
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
    """Base of all messages: encoded as an array that begins with the tag."""


class PromiseRequest(TaggedMessage, frozen=True, tag=1):
    """Asks for a promise, so that a new view can be proposed. `adopted`: the sender's last adopted view."""

    view: ViewId
    adopted: ViewId


class PromiseReply(TaggedMessage, frozen=True, tag=2):
    """Answers a PromiseRequest."""

    promise: Promise


class Heartbeat(TaggedMessage, frozen=True, tag=3):
    """The coordinator asks for a renewal of its view's lease, and states how long the view stays in force.

    `lease_remaining` is the lease time left when the message was created. `echo` is the receiver's last
    `granted_at` known to the coordinator, by the receiver's clock. A grant that names a higher policies or
    agreement number than these counts only once the coordinator has those policies or that agreement.
    """

    view: ViewId
    sent_at: Time
    echo: Time  # 0: no grant from the receiver has arrived yet
    lease_remaining: Time
    policies_number: int  # of the retention policies that the coordinator has applied
    agreement_number: int = 0  # of the partners' agreement in force


class HeartbeatReply(TaggedMessage, frozen=True, tag=4):
    """Answers a Heartbeat."""

    grant: Grant


class ViewAnnouncement(TaggedMessage, frozen=True, tag=5):
    """A complete view."""

    view: View


class ViewUpdate(TaggedMessage, frozen=True, tag=17):
    """A view as the changes to its predecessor `base`, for a router that adopted `base` last."""

    view: ViewId
    base: ViewId
    copies: int
    removed: tuple[str, ...]
    added: dict[str, int]


class PoliciesRequest(TaggedMessage, frozen=True, tag=6):
    """Asks for retention policies with a number higher than `above`."""

    above: int


class PoliciesUpdate(TaggedMessage, frozen=True, tag=7):
    """The sender's retention policies."""

    policies: RetentionPolicies


class ClaimRequest(TaggedMessage, frozen=True, tag=8):
    """The sender asks whether it may run a query."""

    view: ViewId
    number: int  # of the claim, assigned by the sender
    incarnation: int  # of the sender
    customer: str
    ordering_key: str
    idempotency_key: str
    time_left: Time  # how long attempts may still be sent
    ordered: bool  # queries of its key run one after another
    is_transient: bool = False  # without an idempotency key of its own: recorded only while it runs

    def claim_id(self, sender: str) -> ClaimId:
        """Returns its identity among the claims of all routers."""
        return ClaimId(sender, self.incarnation, self.number)


class ClaimReply(TaggedMessage, frozen=True, tag=9):
    """The decision on a claim. `record`: with RUN the granted record, with REPLAY the one with the result."""

    number: int
    incarnation: int
    decision: int  # a ClaimDecision's value
    reason: str
    record: Record | None = None


class Completion(TaggedMessage, frozen=True, tag=10):
    """The sender's run has ended with the record's state: NOT_RUN if it never started.

    Repeated until a CompletionReply arrives.
    """

    view: ViewId
    record: Record


class CompletionReply(TaggedMessage, frozen=True, tag=11):
    """All holders have stored the outcome of a claim's run."""

    number: int
    incarnation: int


class ReplicateRequest(TaggedMessage, frozen=True, tag=12):
    """Sent by a slot's first holder to the others: a record to store."""

    view: ViewId
    number: int  # of the replication round, assigned by the first holder
    record: Record
    age: Time


class ReplicateReply(TaggedMessage, frozen=True, tag=13):
    """Answers a ReplicateRequest."""

    view: ViewId
    number: int
    stored: bool


class SlotRequest(TaggedMessage, frozen=True, tag=14):
    """The sender holds a slot in `view` and requests its records as of the end of the view `epoch`."""

    view: ViewId
    slot: int
    epoch: ViewId


class SlotPart(TaggedMessage, frozen=True, tag=15):
    """One of the `parts` messages that carry a slot's records."""

    view: ViewId
    slot: int
    part: int
    parts: int
    records: tuple[Record, ...]
    ages: tuple[Time, ...]
    lost: Time | None  # time since records of the slot may have been lost; None: no known loss
    lease: OwnershipLease | None = None


class SlotRedirect(TaggedMessage, frozen=True, tag=16):
    """The sender does not have the slot: it fetches the records of `epoch` from `sources` itself.

    Without sources it will never have them.
    """

    view: ViewId
    slot: int
    epoch: ViewId
    sources: dict[str, int]  # router: its incarnation


class LeaseUpdate(TaggedMessage, frozen=True, tag=18):
    """Sent by a slot's first holder to the others: the slot's new ownership lease."""

    view: ViewId
    slot: int
    lease: OwnershipLease


class LeaseReply(TaggedMessage, frozen=True, tag=19):
    """Answers a LeaseUpdate once the lease is stored."""

    view: ViewId
    slot: int
    number: int  # of the lease


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
