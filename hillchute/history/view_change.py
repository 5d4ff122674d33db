"""Sends and handles the messages by which routers agree on views and renew their leases.

view_protocol.py contains the protocol's state and decisions.
"""

from collections.abc import Callable

import msgspec

from hillchute.history.messages import (
    Heartbeat,
    HeartbeatReply,
    PromiseReply,
    PromiseRequest,
    ViewAnnouncement,
    ViewUpdate,
)
from hillchute.history.ownership_leases import PartnerAgreement
from hillchute.history.policy_distribution import PolicyDistribution
from hillchute.history.replica_context import ReplicaContext
from hillchute.history.view_protocol import ProposerAction
from hillchute.history.views import (
    HEARTBEAT_INTERVAL,
    Grant,
    View,
    ViewDelta,
    ViewId,
    apply_delta,
    delta_of,
)


def announcement_of(view: View, adopted: ViewId | None) -> ViewAnnouncement | ViewUpdate:
    """Returns the message with a view for a router whose last adopted view is `adopted`.

    It has only the changes if `adopted` is the view's predecessor, else the complete view.
    """
    if adopted is None or adopted != view.predecessor:
        return ViewAnnouncement(view)
    delta = delta_of(view)
    return ViewUpdate(view.id, adopted, delta.copies, delta.removed, delta.added)


class ViewChange:
    """One replica's part in changes of the view."""

    def __init__(
        self,
        context: ReplicaContext,
        policies: PolicyDistribution,
        agreement: PartnerAgreement | None,
        on_view_adopted: Callable[[View], None],
    ) -> None:
        """`on_view_adopted` is called with each view that this router adopts."""
        self._context = context
        self._policies = policies
        self._agreement = agreement
        self._on_view_adopted = on_view_adopted
        self.is_leaving = False  # during shutdown no view is proposed and no heartbeat sent
        self._next_heartbeat_at = context.now

    def receive(
        self,
        sender: str,
        message: PromiseRequest | PromiseReply | Heartbeat | HeartbeatReply | ViewAnnouncement | ViewUpdate,
    ) -> None:
        """Handles a message about views."""
        match message:
            case PromiseRequest():
                self.answer_promise_request(sender, message)
            case PromiseReply():
                self.handle_promise(sender, message)
            case Heartbeat():
                self.answer_heartbeat(sender, message)
            case HeartbeatReply():
                self.handle_heartbeat_reply(sender, message)
            case ViewAnnouncement():
                self.handle_announcement(sender, message)
            case ViewUpdate():
                self.handle_update(sender, message)

    # ---- as a router that promises and grants ---------------------------------------------------------

    def answer_promise_request(self, sender: str, request: PromiseRequest) -> None:
        """Answers a router that wants to propose a view."""
        if sender == request.view.coordinator:
            context = self._context
            promise = context.views.answer_request(context.now, request.view, request.adopted)
            context.send(sender, PromiseReply(promise))

    def answer_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Answers a coordinator's heartbeat, and extends the adopted view's lease accordingly."""
        if sender != heartbeat.view.coordinator:
            return
        context = self._context
        agreement = self._agreement
        if self._policies.note_heartbeat(heartbeat) and agreement is not None:
            agreement.on_announcement(context.now, heartbeat.agreement_number)
        grant = context.views.answer_heartbeat(
            context.now,
            heartbeat.view,
            heartbeat.sent_at,
            context.policies.number,
            agreement.followed_number() if agreement is not None else 0,
        )
        if grant.given and heartbeat.echo:
            remaining = heartbeat.lease_remaining
            context.views.extend_lease(context.now, heartbeat.view, heartbeat.echo, remaining)
        context.send(sender, HeartbeatReply(grant))
        self._policies.request_if_outdated(sender)

    def handle_announcement(self, sender: str, message: ViewAnnouncement) -> None:
        """Adopts a complete view."""
        if sender == message.view.coordinator:
            self._adopt(message.view)

    def handle_update(self, sender: str, message: ViewUpdate) -> None:
        """Adopts a view that was sent as the changes to the adopted one."""
        adopted = self._context.views.view
        if sender == message.view.coordinator and message.base == adopted.id:
            delta = ViewDelta(message.copies, message.removed, message.added)
            self._adopt(apply_delta(adopted, message.view, delta))

    def _adopt(self, view: View) -> None:
        if self._context.views.adopt(self._context.now, view):
            self._context.counters["views"] += 1
            self._on_view_adopted(view)

    # ---- as a proposer and coordinator ----------------------------------------------------------------

    def handle_promise(self, sender: str, reply: PromiseReply) -> None:
        """Handles an answer to a promise request; announces the view once enough routers have promised."""
        context = self._context
        view = context.views.handle_promise(
            context.now, sender, reply.promise, context.live_routers(), context.policies.copies
        )
        if view is None:
            return
        self._adopt(view)
        for name in view.members:
            if name != context.name:
                context.send(name, announcement_of(view, view.predecessor))
        self._next_heartbeat_at = context.now
        self._send_heartbeats(view)

    def _send_heartbeats(self, view: View) -> None:
        context = self._context
        agreement_number = 0
        if self._agreement is not None:
            agreement_number = self._agreement.number_to_announce(context.now)
            self._agreement.on_announcement(context.now, agreement_number)
        policies_number = context.policies.number
        remaining = context.views.lease_remaining(context.now)
        for name in context.live_routers():
            echo = context.views.last_grants.get(name, 0)
            heartbeat = Heartbeat(
                view=view.id,
                sent_at=context.now,
                echo=echo,
                lease_remaining=remaining if echo else 0,
                policies_number=policies_number,
                agreement_number=agreement_number,
            )
            context.send(name, heartbeat)

    def handle_heartbeat_reply(self, sender: str, reply: HeartbeatReply) -> None:
        """Handles a router's answer to a heartbeat: a grant, or why there is none."""
        context = self._context
        grant = reply.grant
        if grant.policies_number > context.policies.number:
            # The grant counts only once this router has those policies, and so announces them in heartbeats.
            self._policies.request_from(sender)
            grant = msgspec.structs.replace(grant, given=False)
        agreement = self._agreement
        if agreement is not None and grant.agreement_number > agreement.number_to_announce(context.now):
            # Likewise for the partners' agreement, which is distributed separately.
            grant = msgspec.structs.replace(grant, given=False)
        context.views.handle_grant(context.now, sender, grant)
        self._send_missing_view(sender, grant)

    def _send_missing_view(self, router: str, grant: Grant) -> None:
        view = self._context.views.proposed
        if grant.lacks_view and view is not None and grant.view == view.id:
            self._context.send(router, announcement_of(view, grant.adopted))

    def tick(self) -> None:
        """Requests promises or sends heartbeats, if this router is to do so and it is due."""
        context = self._context
        if self.is_leaving:
            return
        action = context.views.next_action(context.now, context.live_routers())
        if action is ProposerAction.NOTHING or context.now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = context.now + HEARTBEAT_INTERVAL
        if action is ProposerAction.SEND_HEARTBEATS and context.views.proposed is not None:
            self._send_heartbeats(context.views.proposed)
        elif action is ProposerAction.REQUEST_PROMISES and context.views.requesting is not None:
            self._request_promises(context.views.requesting)

    def _request_promises(self, view_id: ViewId) -> None:
        for name in self._context.live_routers():
            self._context.send(name, PromiseRequest(view_id, self._context.views.view.id))
