"""The channel by which an extension of the router exchanges messages with peers.

Owns the way from fragments to messages and back, and what all such extensions are given. Knows nothing of
what a message is for.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

from hillchute.decision.interface import QueryId, Time
from hillchute.log import Log
from hillchute.peers.datagrams import DatagramKind
from hillchute.peers.fragmentation import Reassembler
from hillchute.peers.messages import MessageCodec
from hillchute.peers.node import Node
from hillchute.router.events import Event

MessageT = TypeVar("MessageT")

QueryKey: TypeAlias = tuple[QueryId, int]  # a query's id, and the number that the reducer gave it


@dataclass(frozen=True, slots=True, kw_only=True)
class ExtensionContext:
    """What an extension is given by the router's part among its peers."""

    node: Node
    clock: Callable[[], Time]  # tenths of a millisecond since the Unix epoch; it never jumps
    log: Log
    handle: Callable[[Event], None]  # takes events for the reducer
    schedule_messages: Callable[[], None]  # called when `take_messages` would give some


class FragmentedChannel(ABC, Generic[MessageT]):
    """One subsystem's messages through a peers' node; implements `peers.message_channel.MessageChannel`."""

    def __init__(self, node: Node, kind: DatagramKind, codec: MessageCodec) -> None:
        """Registers at the node: fragments travel in its datagrams of this kind."""
        self.node = node
        self.codec = codec
        self.reassembler = Reassembler()
        node.channels[kind] = self

    @abstractmethod
    def receive_message(self, now: Time, sender: str, message: MessageT) -> None:
        """A message is complete; it is authentic and within its bounds."""

    @abstractmethod
    def take_messages(self) -> list[tuple[str, MessageT]]:
        """The receivers and messages that wait to be sent; they wait no more."""

    @abstractmethod
    def tick(self, now: Time, /) -> None:
        """Called every TICK_INTERVAL of the transport."""

    def receive_fragment(self, now: Time, sender: str, fragment: bytes, /) -> None:
        """A fragment has come; raises InvalidDatagramError if it, or the message it completes, is invalid."""
        message = self.reassembler.add(now, sender, fragment)
        if message is not None:
            self.receive_message(now, sender, self.codec.decode(message, sender))

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """The receivers and encoded messages that wait to be sent. A message that no receiver would accept is
        dropped and counted."""
        outgoing = []
        for receiver, message in self.take_messages():
            try:
                outgoing.append((receiver, self.codec.encode(message)))
            except ValueError as error:
                self.node.dropped[f"{self.codec.subsystem} not sent: {error}"] += 1
        return outgoing
