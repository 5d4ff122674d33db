"""What other subsystems send through a node: payloads beside its datagrams, and messages of any length.

Interfaces only: the node and the transport call them, and know nothing of what the bytes mean.
"""

from typing import Protocol

from hillchute.decision.interface import Time


class PayloadHandler(Protocol):
    """The subsystem whose gossip digests travel as payloads of the failure detector's datagrams."""

    def ping_digest(self, now: Time, recipient: str, /) -> bytes:
        """The digest to send along with a ping or its answer; empty where there is none."""

    def on_digest(self, now: Time, sender: str, data: bytes, /) -> None:
        """A digest arrived; raises InvalidDatagramError where it is invalid."""

    def newcomer_digests(self, now: Time, recipient: str, /) -> list[bytes]:
        """The digests that bring a peer to our full state: it has just started, or was cut off."""

    def on_router_lost(self, name: str, /) -> None:
        """A peer is dead or has left."""


class MessageChannel(Protocol):
    """A subsystem with messages of any length, sent in fragments: the history, the partners."""

    def receive_fragment(self, now: Time, sender: str, fragment: bytes, /) -> None:
        """A fragment arrived; raises InvalidDatagramError if it, or the message it completes, is invalid."""

    def tick(self, now: Time, /) -> None:
        """Called every TICK_INTERVAL of the transport."""

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """The receivers and messages that wait to be sent; they wait no more."""
