"""What a rider of the peers' node does with bytes, whatever it has to say: pieces to messages and back.

Owns that, and results as bytes. Must never know what a message is for.
"""

import msgspec

from hillchute.decision.interface import Time
from hillchute.engines.words import Rows
from hillchute.peers.fragmentation import Reassembler
from hillchute.peers.messages import MessageCodec
from hillchute.peers.node import Node

LOGGED: Time = 50_000  # between two lines on a rider

rows_in, rows_out = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Rows)


class Riding:
    def __init__(self, node: Node, kind: int, codec: MessageCodec) -> None:
        self.node, self.codec, self.reassembler = node, codec, Reassembler()
        node.channels[kind] = self

    def take(self, now: Time, sender: str, message: object) -> None:
        raise NotImplementedError

    def said(self) -> list[tuple[str, object]]:
        """What waits to go, and waits no more."""
        raise NotImplementedError

    def receive_fragment(self, now: Time, sender: str, fragment: bytes) -> None:
        whole = self.reassembler.add(now, sender, fragment)
        if whole is not None:
            self.take(now, sender, self.codec.decode(whole, sender))

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        out = []
        for to, message in self.said():
            try:
                out.append((to, self.codec.encode(message)))
            except ValueError as fault:
                self.node.dropped[f"{self.codec.subsystem} not sent: {fault}"] += 1
        return out
