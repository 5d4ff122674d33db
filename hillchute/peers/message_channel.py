"""What other subsystems send through a node: payloads beside its datagrams, and messages of any length.

Interfaces only: the node and the transport call them, and know nothing of what the bytes mean.
"""

from typing import Protocol

from hillchute.decision.interface import Time


class PayloadHandler(Protocol):
    """The subsystem whose payloads travel with the failure detector's datagrams."""

    def payload_for(self, now: Time, receiver: str, /) -> bytes:
        """The payload to send along with a datagram to a peer; empty where there is none."""

    def receive_payload(self, now: Time, sender: str, payload: bytes, /) -> None:
        """A payload arrived; raises InvalidDatagramError where it is invalid."""

    def full_state(self, now: Time, receiver: str, /) -> list[bytes]:
        """Payloads that bring a peer to our full state: it has just started, or was cut off."""

    def peer_gone(self, name: str, /) -> None:
        """A peer is dead or has left."""


class MessageChannel(Protocol):
    """A subsystem with messages of any length, sent in fragments: the history, the partners."""

    def receive_fragment(self, now: Time, sender: str, fragment: bytes, /) -> None:
        """A fragment arrived; raises InvalidDatagramError if it, or the message it completes, is invalid."""

    def tick(self, now: Time, /) -> None:
        """Called every TICK_INTERVAL of the transport."""

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """The receivers and messages that wait to be sent; they wait no more."""
