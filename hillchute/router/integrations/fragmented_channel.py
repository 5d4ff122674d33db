"""The channel through which an extension of the router exchanges messages with peers.

Converts between messages and fragments, independently of what the messages mean, and defines the context that
is passed to every extension.
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
    """What the peer extension provides to the others."""

    node: Node
    clock: Callable[[], Time]  # tenths of a millisecond since the Unix epoch; it never jumps
    log: Log
    handle: Callable[[Event], None]  # takes events for the reducer
    schedule_messages: Callable[[], None]  # called when `take_messages` has messages to return


class FragmentedChannel(ABC, Generic[MessageT]):
    """The messages of one subsystem, sent through a `Node`; implements
    `peers.message_channel.MessageChannel`."""

    def __init__(self, node: Node, kind: DatagramKind, codec: MessageCodec) -> None:
        """Registers the channel at the node; fragments are sent in datagrams of this kind."""
        self.node = node
        self.codec = codec
        self.reassembler = Reassembler()
        node.channels[kind] = self

    @abstractmethod
    def receive_message(self, now: Time, sender: str, message: MessageT) -> None:
        """Handles a complete message, whose authenticity and bounds have been checked."""

    @abstractmethod
    def take_messages(self) -> list[tuple[str, MessageT]]:
        """Removes and returns the messages to be sent, with their receivers."""

    @abstractmethod
    def tick(self, now: Time, /) -> None:
        """Called every TICK_INTERVAL of the transport."""

    def receive_fragment(self, now: Time, sender: str, fragment: bytes, /) -> None:
        """Handles a fragment; raises InvalidDatagramError if it, or the message it completes, is invalid."""
        message = self.reassembler.add(now, sender, fragment)
        if message is not None:
            self.receive_message(now, sender, self.codec.decode(message, sender))

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """Removes and returns the encoded messages to be sent, with their receivers. A message that no
        receiver would accept is dropped and counted."""
        outgoing = []
        for receiver, message in self.take_messages():
            try:
                outgoing.append((receiver, self.codec.encode(message)))
            except ValueError as error:
                self.node.dropped[f"{self.codec.subsystem} not sent: {error}"] += 1
        return outgoing
