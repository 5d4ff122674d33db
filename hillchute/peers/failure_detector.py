"""Failure detection among routers: SWIM with the Lifeguard extensions.

Takes events and the time and returns datagrams to send. Performs no I/O, computes no tags and does not
interpret payloads. No scheduling decision waits for it: a wrong result only makes quotas wrong for a while.

In each protocol period one peer is pinged, in rotation. If it does not answer, other peers are asked to ping
it; if none of them reports an answer, it is suspected, and declared dead unless it refutes the suspicion in
time. Rumours are piggybacked on pings and acknowledgements, each one a number of times proportional to the
logarithm of the fleet size: the traffic of a router grows only with that logarithm.

Protection against malicious and faulty peers: a witness is a peer that reports its own observation, and it
cannot report those of others. A single witness can cause a suspicion but never a death; this router's own
observations in the last periods override any number of witnesses; and a suspected router learns of the
suspicion in time to refute it.

Times are whole tenths of a millisecond.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import log
from zlib import crc32

from hillchute.decision.interface import Time
from hillchute.peers.datagrams import Datagram, DatagramKind, PeerState, Rumour
from hillchute.peers.gossip import GossipQueue

SECOND: Time = 10_000
PROTOCOL_PERIOD: Time = 1 * SECOND  # between two pings: a dead router is detected within a few periods
PING_TIMEOUT: Time = 2_000  # a round trip, with a slow iteration of each event loop
INDIRECT_PINGS = 3  # peers asked to ping an unresponsive one: tolerates a broken path
SUSPICION_MULTIPLIER = 8.0  # periods, times the decimal logarithm of the fleet size, with one witness
PINGS_PER_PERIOD_AT_START = 16  # while some peers are unknown: finds 200 in some 8 s, at 2 kB a second
WITNESSES_FOR_SHORTEST_SUSPICION = 3
MAX_LOCAL_HEALTH = 8  # Lifeguard: maximum multiplier of time-outs while this router's own pings fail
MAX_INCARNATION_AHEAD = 3_600_000  # milliseconds that an incarnation may be ahead of our clock
DIRECT_CONTACT_PERIOD: Time = 2 * PROTOCOL_PERIOD  # for this long after contact rumours cause no suspicion
NEVER: Time = -(10**12)

LIVE_STATES = (PeerState.ALIVE, PeerState.SUSPECT)  # a suspect counts as alive


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram to a peer, before generations, sequence number, payload and tag are added."""

    receiver: str
    kind: int
    ping_number: int
    subject: str = ""
    rumours: tuple[Rumour, ...] = ()


@dataclass(slots=True)
class Peer:
    """The known state of one peer; dead until it is heard from, since its router may not have been
    started."""

    name: str
    state: PeerState = PeerState.DEAD
    incarnation: int = 0  # 0: never heard from
    state_since: Time = 0
    last_heard_at: Time = NEVER  # directly, by this router
    witnesses: frozenset[str] = frozenset()  # that report this incarnation as suspect or dead


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """The request that a ping carries out: the requester and its number for the ping."""

    requester: str
    ping_number: int


@dataclass(slots=True)
class PendingPing:
    """A ping that has not been acknowledged yet."""

    receiver: str
    sent_at: Time
    indirect_requested: bool = False  # other peers have been asked to ping the receiver
    on_behalf_of: IndirectPing | None = None


class FailureDetector:
    """One router's knowledge of the state of its peers."""

    def __init__(self, own_name: str, generation: int, peers: Iterable[str], seed: int, now: Time) -> None:
        """`generation`: Unix milliseconds of this start; a later start of the same name has a higher one."""
        self.own_name = own_name
        self.incarnation = generation
        self.seed = seed
        self.now = now
        self.peers = {name: Peer(name, state_since=now) for name in peers if name != own_name}
        self.suspects: set[str] = set()
        self.version = 0  # rises whenever a peer's state changes
        self.pending_pings: dict[int, PendingPing] = {}
        self.ping_order: list[str] = []  # the next peer to ping is last
        self.next_period_at = now
        self.last_ping_number = 0
        self.shuffles = 0
        self.gossip = GossipQueue()
        self.local_health = 1  # Lifeguard's multiplier; 1 is healthy
        self.left = False
        self._live: list[str] = []  # cache of live_peers(), as of _live_version
        self._live_version = -1

    # ---- membership ---------------------------------------------------------------------------------

    def live_peers(self) -> list[str]:
        """The peers known to be alive, sorted. The list is shared and must not be changed."""
        if self._live_version != self.version:
            self._live = sorted(peer.name for peer in self.peers.values() if peer.state in LIVE_STATES)
            self._live_version = self.version
        return self._live

    def fleet_size(self) -> int:
        """The number of live routers, this one included."""
        return 1 + len(self.live_peers())

    def set_peers(self, peers: Iterable[str], now: Time) -> None:
        """Sets the peers from the operator file; new ones start as unknown, others are removed."""
        names = set(peers) - {self.own_name}
        self.peers = {name: self.peers.get(name) or Peer(name, state_since=now) for name in sorted(names)}
        self.version += 1
        self.suspects &= names
        self.pending_pings = {
            number: ping for number, ping in self.pending_pings.items() if self._concerns_only(names, ping)
        }
        self.ping_order = [name for name in self.ping_order if name in names]
        self.gossip.keep_only(names)

    @staticmethod
    def _concerns_only(names: set[str], ping: PendingPing) -> bool:
        requester_named = ping.on_behalf_of is None or ping.on_behalf_of.requester in names
        return ping.receiver in names and requester_named

    # ---- events -------------------------------------------------------------------------------------

    def leave(self, now: Time) -> list[OutgoingDatagram]:
        """Announces the shutdown of this router to every peer directly, since LEFT is not accepted from
        others."""
        self.now = now
        self.left = True
        self.incarnation += 1
        return [
            self.outgoing(name, DatagramKind.PING, self._next_ping_number()) for name in self.live_peers()
        ]

    def receive(self, now: Time, datagram: Datagram) -> list[OutgoingDatagram]:
        """Handles an accepted datagram; returns the answers and pings that follow from it."""
        self.now = now
        peer = self.peers.get(datagram.sender)
        if peer is None or self.left:
            return []
        peer.last_heard_at = now
        if peer.state not in LIVE_STATES and peer.name not in self.ping_order:
            self.ping_order.append(peer.name)  # pinged next: its answer shows whether it is alive
        for rumour in datagram.rumours:
            self.apply_rumour(peer.name, rumour)
        if peer.state == PeerState.SUSPECT:
            # Direct contact ends our suspicion; the peer refutes that of others itself.
            self.change_state(peer, PeerState.ALIVE, peer.incarnation)
        match datagram.kind:
            case DatagramKind.PING:
                return [self.outgoing(peer.name, DatagramKind.PING_ACK, datagram.ping_number)]
            case DatagramKind.PING_ACK:
                return self._receive_ack(datagram)
            case DatagramKind.INDIRECT_PING if datagram.subject in self.peers:
                return [self._ping_on_behalf(datagram)]
            case DatagramKind.INDIRECT_PING_ACK:
                self._receive_indirect_ack(datagram)
        return []

    def _receive_ack(self, datagram: Datagram) -> list[OutgoingDatagram]:
        ping = self.pending_pings.get(datagram.ping_number)
        if ping is None or ping.receiver != datagram.sender:
            return []
        del self.pending_pings[datagram.ping_number]
        requested = ping.on_behalf_of
        if requested is None:
            self._improve_local_health()
            return []
        kind = DatagramKind.INDIRECT_PING_ACK
        return [self.outgoing(requested.requester, kind, requested.ping_number, datagram.sender)]

    def _receive_indirect_ack(self, datagram: Datagram) -> None:
        ping = self.pending_pings.get(datagram.ping_number)
        if ping is not None and ping.receiver == datagram.subject:
            del self.pending_pings[datagram.ping_number]
            self._improve_local_health()

    def _ping_on_behalf(self, datagram: Datagram) -> OutgoingDatagram:
        number = self._next_ping_number()
        self.pending_pings[number] = PendingPing(
            datagram.subject,
            self.now,
            indirect_requested=True,
            on_behalf_of=IndirectPing(datagram.sender, datagram.ping_number),
        )
        return self.outgoing(datagram.subject, DatagramKind.PING, number)

    # ---- periodic work ------------------------------------------------------------------------------

    def tick(self, now: Time) -> list[OutgoingDatagram]:
        """Handles due and unanswered pings and ends suspicions; called at least every PING_TIMEOUT / 2."""
        self.now = now
        sent: list[OutgoingDatagram] = []
        for number, ping in list(self.pending_pings.items()):
            sent += self._check_pending(number, ping)
        self._end_suspicions()
        if now >= self.next_period_at and not self.left:
            self.next_period_at = max(now, self.next_period_at + PROTOCOL_PERIOD)
            sent += self._start_period()
        return sent

    def _start_period(self) -> list[OutgoingDatagram]:
        any_unknown = any(not peer.incarnation for peer in self.peers.values())
        sent = []
        for _ in range(PINGS_PER_PERIOD_AT_START if any_unknown else 1):
            name = self._next_to_ping()
            if name is not None:
                sent.append(self._ping(name))
        return sent

    def _ping(self, name: str) -> OutgoingDatagram:
        number = self._next_ping_number()
        self.pending_pings[number] = PendingPing(name, self.now)
        return self.outgoing(name, DatagramKind.PING, number)

    def _check_pending(self, number: int, ping: PendingPing) -> list[OutgoingDatagram]:
        """Applies the time-outs of an unacknowledged ping; returns the datagrams to send."""
        age = self.now - ping.sent_at
        if ping.on_behalf_of is not None:
            if age >= PROTOCOL_PERIOD:
                del self.pending_pings[number]
            return []
        peer = self.peers[ping.receiver]
        if not ping.indirect_requested and age >= PING_TIMEOUT * self.local_health:
            ping.indirect_requested = True
            if peer.state in LIVE_STATES:
                return self._request_indirect_pings(number, peer.name)
        if age >= PROTOCOL_PERIOD * self.local_health:
            del self.pending_pings[number]
            if peer.state == PeerState.ALIVE and self.now - peer.last_heard_at >= PROTOCOL_PERIOD:
                self._suspect(peer)
        return []

    def _request_indirect_pings(self, number: int, subject: str) -> list[OutgoingDatagram]:
        helpers = self._random_live_peers(INDIRECT_PINGS, subject)
        return [self.outgoing(name, DatagramKind.INDIRECT_PING, number, subject) for name in helpers]

    def _suspect(self, peer: Peer) -> None:
        """Marks a peer as suspect, after direct and indirect pings without an answer."""
        self._worsen_local_health()  # the fault may be on this side
        self.change_state(peer, PeerState.SUSPECT, peer.incarnation)
        peer.witnesses = frozenset({self.own_name})
        self.gossip.add(Rumour(peer.name, PeerState.SUSPECT, peer.incarnation, self.own_name))

    def _end_suspicions(self) -> None:
        for peer in [self.peers[name] for name in sorted(self.suspects)]:
            if self.now - peer.state_since >= self._suspicion_timeout(peer):
                witness = self.own_name if self.own_name in peer.witnesses else ""
                self.gossip.add(Rumour(peer.name, PeerState.DEAD, peer.incarnation, witness))
                self.change_state(peer, PeerState.DEAD, peer.incarnation)

    def _suspicion_timeout(self, peer: Peer) -> Time:
        """How long a suspect has to refute: the more witnesses, the shorter."""
        fleet_factor = max(1.0, log(self.fleet_size() + 1, 10))
        longest = SUSPICION_MULTIPLIER * PROTOCOL_PERIOD * fleet_factor
        confirmed = min(1.0, log(len(peer.witnesses) or 1) / log(WITNESSES_FOR_SHORTEST_SUSPICION))
        return int(longest * (1 - confirmed * 2 / 3))

    # ---- rumours ------------------------------------------------------------------------------------

    def apply_rumour(self, sender: str, rumour: Rumour) -> None:
        """Applies a rumour; incarnations make the result independent of order, repeats and loss."""
        if rumour.incarnation > self.now // 10 + MAX_INCARNATION_AHEAD:
            return  # guards against an incarnation that its router could not exceed
        if rumour.name == self.own_name:
            self._refute(rumour)
            return
        peer = self.peers.get(rumour.name)
        if peer is None:
            return  # not in the operator file
        match rumour.state:
            case PeerState.ALIVE:
                self._apply_alive(sender, peer, rumour)
            case PeerState.SUSPECT | PeerState.DEAD:
                self._apply_suspicion(sender, peer, rumour)
            case PeerState.LEFT:
                self._apply_leave(sender, peer, rumour)

    def _refute(self, rumour: Rumour) -> None:
        """Refutes a rumour that this router is not alive, by a higher incarnation."""
        if rumour.state != PeerState.ALIVE and rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1
            self._worsen_local_health()  # others did not receive our datagrams: this router may be slow

    def _apply_alive(self, sender: str, peer: Peer, rumour: Rumour) -> None:
        if rumour.incarnation <= peer.incarnation:
            return
        if sender == peer.name or peer.state in LIVE_STATES:
            self.change_state(peer, PeerState.ALIVE, rumour.incarnation)
            self.gossip.add(rumour)
        elif peer.name not in self.ping_order:
            # A rumour only gets a dead peer pinged; otherwise a malicious peer could keep it alive.
            self.ping_order.append(peer.name)

    def _apply_suspicion(self, sender: str, peer: Peer, rumour: Rumour) -> None:
        if rumour.incarnation < peer.incarnation or peer.state not in LIVE_STATES:
            return
        if self.now - peer.last_heard_at < DIRECT_CONTACT_PERIOD:
            return
        if peer.state == PeerState.ALIVE:
            self._suspect_from_rumour(peer, rumour)
        if rumour.witness == sender:
            peer.witnesses |= {sender}

    def _apply_leave(self, sender: str, peer: Peer, rumour: Rumour) -> None:
        if sender == peer.name and rumour.incarnation >= peer.incarnation:
            self.change_state(peer, PeerState.LEFT, rumour.incarnation)
            self.gossip.add(rumour)
            return
        if rumour.incarnation <= peer.incarnation or peer.state not in LIVE_STATES:
            return
        if self.now - peer.last_heard_at >= DIRECT_CONTACT_PERIOD or peer.state == PeerState.SUSPECT:
            # LEFT from another router is only a suspicion, which the peer itself confirms or refutes.
            self._suspect_from_rumour(peer, rumour)

    def _suspect_from_rumour(self, peer: Peer, rumour: Rumour) -> None:
        self.change_state(peer, PeerState.SUSPECT, rumour.incarnation)
        self.gossip.add(Rumour(peer.name, PeerState.SUSPECT, rumour.incarnation, rumour.witness))

    def change_state(self, peer: Peer, state: PeerState, incarnation: int) -> None:
        """Sets the state of a peer; its incarnation never decreases."""
        if state != peer.state:
            peer.state_since = self.now
        if state == PeerState.SUSPECT:
            self.suspects.add(peer.name)
        else:
            self.suspects.discard(peer.name)
            peer.witnesses = frozenset()
        peer.state = state
        peer.incarnation = max(peer.incarnation, incarnation)
        self.version += 1

    # ---- datagrams ----------------------------------------------------------------------------------

    def outgoing(
        self, receiver: str, kind: DatagramKind, ping_number: int, subject: str = ""
    ) -> OutgoingDatagram:
        """A datagram with this router's state, any suspicion of the receiver, and the least-sent rumours."""
        own_state = PeerState.LEFT if self.left else PeerState.ALIVE
        rumours = [Rumour(self.own_name, own_state, self.incarnation, self.own_name)]
        peer = self.peers[receiver]
        if peer.state in (PeerState.SUSPECT, PeerState.DEAD) and peer.incarnation:
            rumours.append(Rumour(receiver, peer.state, peer.incarnation, self.own_name))
        rumours += self.gossip.take_for(receiver, self.fleet_size())
        return OutgoingDatagram(receiver, kind, ping_number, subject, tuple(rumours))

    # ---- ping order ---------------------------------------------------------------------------------

    def _next_to_ping(self) -> str | None:
        """The next peer in shuffled order; dead ones are included less often, since they may return."""
        if not self.ping_order:
            self.ping_order = self._shuffled_peers()
        return self.ping_order.pop() if self.ping_order else None

    def _shuffled_peers(self) -> list[str]:
        """All peers that are alive or unknown, and up to a quarter as many of the others."""
        regular = [name for name, peer in self.peers.items() if _is_pinged_regularly(peer)]
        seldom = [name for name, peer in self.peers.items() if not _is_pinged_regularly(peer)]
        seldom.sort(key=self._shuffle_key)
        self.shuffles += 1
        return sorted(regular + seldom[: 1 + len(regular) // 4], key=self._shuffle_key)

    def _random_live_peers(self, count: int, excluded: str) -> list[str]:
        self.shuffles += 1
        names = [name for name in self.live_peers() if name != excluded]
        return sorted(names, key=self._shuffle_key)[:count]

    def _shuffle_key(self, name: str) -> int:
        return crc32(f"{self.seed}:{self.shuffles}:{name}".encode())

    def _next_ping_number(self) -> int:
        self.last_ping_number += 1
        return self.last_ping_number

    def _improve_local_health(self) -> None:
        self.local_health = max(1, self.local_health - 1)

    def _worsen_local_health(self) -> None:
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)


def _is_pinged_regularly(peer: Peer) -> bool:
    return peer.state in LIVE_STATES or not peer.incarnation
