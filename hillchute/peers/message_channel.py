"""Interfaces of the subsystems that send through a node: digests as payloads, and messages of any length.

The node and the transport call them and do not interpret the bytes.
"""

from typing import Protocol

from hillchute.decision.interface import Time


class PayloadHandler(Protocol):
    """The subsystem whose gossip digests are the payloads of the failure detector's datagrams."""

    def ping_digest(self, now: Time, recipient: str, /) -> bytes:
        """The digest to send along with a ping or its acknowledgement; empty if there is none."""

    def on_digest(self, now: Time, sender: str, data: bytes, /) -> None:
        """Handles a digest; raises InvalidDatagramError if it is invalid."""

    def newcomer_digests(self, now: Time, recipient: str, /) -> list[bytes]:
        """The digests with this router's full state, for a peer that has started or was isolated."""

    def on_router_lost(self, name: str, /) -> None:
        """Handles the death or departure of a peer."""


class MessageChannel(Protocol):
    """A subsystem with messages of any length, sent in fragments: history or partners."""

    def receive_fragment(self, now: Time, sender: str, fragment: bytes, /) -> None:
        """Handles a fragment; raises InvalidDatagramError if it, or the message it completes, is invalid."""

    def tick(self, now: Time, /) -> None:
        """Called every TICK_INTERVAL of the transport."""

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """Removes and returns the encoded messages to be sent, with their receivers."""
