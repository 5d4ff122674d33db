"""One router's side of the peer protocol without the sockets: received bytes in, bytes to send out.

Combines the failure detector with a replay window, a key and a sequence number per peer, and checks each
datagram in this order: readable, authentic, new, accepted. Performs no I/O, reads no clock and does not
interpret payloads. No received datagram raises: dropped ones are counted by reason.

Times are whole tenths of a millisecond, on a clock that starts at the Unix time and never jumps.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import NamedTuple

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError
from hillchute.peers.datagrams import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    Datagram,
    DatagramKind,
    PeerState,
    ReplayWindow,
    Rumour,
    decode,
    encode,
)
from hillchute.peers.failure_detector import FailureDetector, OutgoingDatagram
from hillchute.peers.fragmentation import DATAGRAM_FRAGMENT_BYTES, STREAM_FRAGMENT_BYTES, split_message
from hillchute.peers.message_channel import MessageChannel, PayloadHandler

STATE_REQUEST_INTERVAL: Time = 50_000  # between requests for full state, after a start or a partition
STATE_REQUESTS_AT_ONCE = 2  # peers asked


class RouterIdentity(NamedTuple):
    """A router's name and its generation: the time of its start in Unix milliseconds."""

    name: str
    generation: int


class AddressedDatagram(NamedTuple):
    """An encoded datagram and its receiver."""

    receiver: str
    data: bytes


class Node:
    """One router's side of the protocol with all its peers."""

    def __init__(
        self,
        identity: RouterIdentity,
        keys: Mapping[str, bytes],
        seed: int,
        now: Time,
        payload_handler: PayloadHandler,
    ) -> None:
        """`keys`: by peer, the key shared with it."""
        self.name = identity.name
        self.generation = identity.generation
        self.keys = keys
        self.payload_handler = payload_handler
        self.failure_detector = FailureDetector(identity.name, identity.generation, keys, seed, now)
        self.channels: dict[int, MessageChannel] = {}  # by datagram kind
        self.replay_windows: defaultdict[str, ReplayWindow] = defaultdict(ReplayWindow)  # by peer
        self.last_sequence: Counter[str] = Counter()  # by receiver
        self.last_message_number = 0
        self.dropped: Counter[str] = Counter()  # by reason
        self.state_requests: list[str] = []  # peers to request the full state from, over a stream
        self.state_requested_at = -STATE_REQUEST_INTERVAL
        self.known_live: frozenset[str] = frozenset()  # as of known_version of the failure detector
        self.known_version = -1

    def live_peers(self) -> list[str]:
        """The peers known to be alive, sorted. The list is shared and must not be changed."""
        return self.failure_detector.live_peers()

    def generations(self) -> dict[str, int]:
        """The generations of this router and of all live peers, as far as known, by name."""
        windows = self.replay_windows
        of_peers = {name: windows[name].generation for name in self.live_peers() if name in windows}
        known = {name: generation for name, generation in of_peers.items() if generation}
        return known | {self.name: self.generation}

    def set_keys(self, keys: Mapping[str, bytes], now: Time) -> None:
        """Sets the peers and their keys from the operator file."""
        self.keys = keys
        for name in self.replay_windows.keys() - keys.keys():
            del self.replay_windows[name]
        self.failure_detector.set_peers(keys, now)

    # ---- receiving ----------------------------------------------------------------------------------

    def receive(self, now: Time, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> list[AddressedDatagram]:
        """Handles a datagram from any source; returns the datagrams to send in response."""
        try:
            datagram = decode(data, self.name, self.keys, max_bytes)
            if not self.replay_windows[datagram.sender].accept(datagram, self.generation):
                return self._answer_unaccepted(now, datagram)
            self._deliver(now, datagram)
        except InvalidDatagramError as error:
            self.dropped[error.detail.split(":")[0]] += 1
            return []
        answers = self.failure_detector.receive(now, _with_sender_alive(datagram))
        self._handle_membership_changes(now)
        if datagram.kind == DatagramKind.STATE_REQUEST:
            return self._full_state(now, datagram.sender)
        return [self._encode(now, answer) for answer in answers]

    def _answer_unaccepted(self, now: Time, datagram: Datagram) -> list[AddressedDatagram]:
        """Acknowledges a ping whose sender does not know our generation yet; the rest of it is ignored."""
        if datagram.kind != DatagramKind.PING:
            return []
        ack = OutgoingDatagram(datagram.sender, DatagramKind.PING_ACK, datagram.ping_number)
        return [self._encode(now, ack, with_payload=False)]

    def _deliver(self, now: Time, datagram: Datagram) -> None:
        """Passes the payload to its subsystem; raises InvalidDatagramError if that rejects it."""
        if datagram.kind in (DatagramKind.HISTORY_FRAGMENT, DatagramKind.PARTNERS_FRAGMENT):
            if datagram.kind in self.channels:
                self.channels[datagram.kind].receive_fragment(now, datagram.sender, datagram.payload)
        elif datagram.payload:
            self.payload_handler.on_digest(now, datagram.sender, datagram.payload)

    def _full_state(self, now: Time, receiver: str) -> list[AddressedDatagram]:
        payloads = self.payload_handler.newcomer_digests(now, receiver)
        return [datagram for payload in payloads for datagram in self.payload_datagrams(receiver, payload)]

    def _handle_membership_changes(self, now: Time) -> None:
        """Reports lost peers; requests the full state from some of the new ones."""
        if self.failure_detector.version == self.known_version:
            return
        self.known_version = self.failure_detector.version
        live = frozenset(self.live_peers())
        for name in sorted(self.known_live - live):
            self.payload_handler.on_router_lost(name)
        new = sorted(live - self.known_live)
        if new and now - self.state_requested_at >= STATE_REQUEST_INTERVAL:
            self.state_requested_at = now
            self.state_requests += new[:STATE_REQUESTS_AT_ONCE]
        self.known_live = live

    # ---- sending ------------------------------------------------------------------------------------

    def tick(self, now: Time) -> list[AddressedDatagram]:
        """The datagrams that are due; called at least every PING_TIMEOUT / 2 of the failure detector."""
        sent = [self._encode(now, datagram) for datagram in self.failure_detector.tick(now)]
        self._handle_membership_changes(now)
        return sent

    def leave(self, now: Time) -> list[AddressedDatagram]:
        """The datagrams that announce the shutdown of this router to each peer."""
        announcements = self.failure_detector.leave(now)
        return [self._encode(now, announcement, with_payload=False) for announcement in announcements]

    def payload_datagrams(self, receiver: str, payload: bytes) -> list[AddressedDatagram]:
        """A datagram that contains only a payload; none if it is too long, which is counted."""
        try:
            data = self.seal(OutgoingDatagram(receiver, DatagramKind.PAYLOAD, 0), payload)
        except ValueError:
            self.dropped["payload too long"] += 1
            return []
        return [AddressedDatagram(receiver, data)]

    def state_request(self, receiver: str) -> bytes:
        """The datagram that requests a peer's full state, the first on a stream to it."""
        return self.seal(OutgoingDatagram(receiver, DatagramKind.STATE_REQUEST, 0), b"")

    def message_datagrams(
        self, receiver: str, kind: int, message: bytes, by_stream: bool = False
    ) -> Iterator[bytes]:
        """A channel's message as datagrams with one fragment each.

        Sequence numbers are assigned as the datagrams are taken, so that those on a stream are not behind
        others that are sent meanwhile. Raises ValueError if the message has too many fragments.
        """
        self.last_message_number += 1
        fragment_bytes = STREAM_FRAGMENT_BYTES if by_stream else DATAGRAM_FRAGMENT_BYTES
        max_bytes = MAX_FRAME_BYTES if by_stream else MAX_DATAGRAM_BYTES
        for fragment in split_message(self.last_message_number, message, fragment_bytes):
            yield self.seal(OutgoingDatagram(receiver, kind, 0), fragment, max_bytes)

    def _encode(self, now: Time, datagram: OutgoingDatagram, with_payload: bool = True) -> AddressedDatagram:
        """Encodes a datagram, with the handler's digest if it fits.

        The failure detector's rumours take precedence over the payload, and the first of them over the
        others: with long names not all of them fit.
        """
        payload = self.payload_handler.ping_digest(now, datagram.receiver) if with_payload else b""
        while True:
            try:
                return AddressedDatagram(datagram.receiver, self.seal(datagram, payload))
            except ValueError:
                if not payload:
                    datagram = replace(datagram, rumours=datagram.rumours[: len(datagram.rumours) // 2])
                payload = b""

    def seal(self, outgoing: OutgoingDatagram, payload: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
        """The encoded datagram, with the next sequence number and the tag; raises ValueError if it is too
        long."""
        receiver = outgoing.receiver
        self.last_sequence[receiver] += 1
        datagram = Datagram(
            sender=self.name,
            receiver=receiver,
            generation=self.generation,
            receiver_generation=self.replay_windows[receiver].known_generation,
            sequence=self.last_sequence[receiver],
            kind=outgoing.kind,
            ping_number=outgoing.ping_number,
            subject=outgoing.subject,
            rumours=outgoing.rumours,
            payload=payload,
        )
        return encode(datagram, self.keys[receiver], max_bytes)


def _with_sender_alive(datagram: Datagram) -> Datagram:
    """Adds the rumour that the sender is alive, which every accepted datagram proves.

    An announced shutdown has a higher incarnation and still overrides it. Without this rumour a peer that
    only sends payloads would be considered dead.
    """
    alive = Rumour(datagram.sender, PeerState.ALIVE, datagram.generation, datagram.sender)
    return msgspec.structs.replace(datagram, rumours=(alive, *datagram.rumours))
