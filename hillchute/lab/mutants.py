"""One message changed at a time: the real code of the peers under a clock and a network of its own.

    python -m hillchute.lab.mutants --seed N --json

A scripted run (routers come, work is asked for, an engine drains and one falls ill, a router dies and comes
back, one leaves, a cut) is played once and its messages counted. Then it is played again, once for each of
them and each change of it. Owns the script, the changes and what must hold. Must never know how the code
under it comes to what it does. One seed, one run.

Two families of changes. What a network does, without the keys: left out, twice, late, cut short, of another
version, recorded and played again to a later life. Nothing may be broken, and the end is as it was without.
What a liar does, with the keys: a field at zero, at its most, another's name, an older value. Nothing may be
broken for the others, and no honest router may be taken for dead at the end.
"""

import argparse
import random
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import repeat

import msgspec
import orjson

from hillchute.coordination import codec as words
from hillchute.coordination.fleet_view import LIMIT_UNITS, FleetSettings, FleetView
from hillchute.coordination.messages import Digest, DrainNotice, EngineFailure, LeaseGrant, LoadReport
from hillchute.coordination.quota_leases import LEASE_DURATION
from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError
from hillchute.lab import history_mutants, partners_mutants
from hillchute.lab.workers import workers
from hillchute.peers.datagrams import (
    COUNTER_LIMIT,
    HEADER_BYTES,
    VERSION,
    Datagram,
    PeerState,
    Rumour,
    authentication_tag,
    decode,
    encoder,
)
from hillchute.peers.failure_detector import PROTOCOL_PERIOD
from hillchute.peers.node import Node, RouterIdentity

STEP: Time = 1_000  # a tenth of a second: between two ticks, and a datagram's way
ROUTERS, ENGINES, LIMIT = 4, 6, "cold"
HOUR = 3_600_000 + 1_000  # milliseconds that a life may lie ahead of the clock, and a second on the way
STARTS: Time = 17_000_000_000_000
ENDS: Time = 330_000  # after the last event all suspicions, loans and late messages have come to their ends


def name(n: int) -> str:
    return f"r{n}"


def key(one: str, other: str) -> bytes:
    """What only the two of them have."""
    return "-".join(sorted((one, other))).encode() * 4


@dataclass(frozen=True)
class Change:
    """Of the message with a number: how it is called, whether it needs the keys, and what comes of its bytes:
    a row of (steps later, bytes)."""

    kind: str
    lies: bool
    do: Callable[[bytes, "Run"], list[tuple[int, bytes]]]


class Run:
    """One play of the script, with one message changed or none."""

    def __init__(self, seed: int, at: int | None = None, change: Change | None = None) -> None:
        self.chance, self.now, self.at, self.change = random.Random(seed), STARTS, at, change
        self.names = [name(n) for n in range(ROUTERS)]
        self.nodes: dict[str, Node] = {}
        self.companies: dict[str, FleetView] = {}
        self.line: list[tuple[Time, int, str, bytes]] = []
        self.sent = self.order = 0
        self.used = False  # whether the change reached a reader
        self.messages: list[tuple[str, str, bytes]] = []  # kept by the run without a change
        self.broken: list[str] = []
        self.liar = ""
        self.cut: frozenset[str] = frozenset()
        self.events: dict[str, int] = {}  # by router: how far its own list has come
        self.drained: dict[str, set[int]] = {}  # by router: what its own list has told
        self.began: dict[str, Time] = {}
        self.old: dict[str, bytes] = {}  # to each router, the first datagram that it was ever sent
        self.script: dict[int, list[Callable[[], None]]] = {}
        self.write()

    # ---- the script -------------------------------------------------------------------------------

    def on(self, seconds: float, *events: Callable[[], None]) -> None:
        self.script.setdefault(STARTS + int(seconds * 10_000), []).extend(events)

    def write(self) -> None:
        for n in range(ROUTERS):
            self.on(0.1 * n, lambda n=n: self.start(name(n)))
        for tenth in range(20, 180, 4):
            who, engine = self.chance.randrange(ROUTERS), self.chance.randrange(ENGINES)
            self.on(tenth / 10, lambda w=who, e=engine: self.report(name(w), e))
        self.on(4.5, lambda: self.ask("r0", 600_000), lambda: self.ask("r1", 50_000))
        self.on(6, lambda: self.hears("r0", 2, 5), lambda: self.hears("r1", 2, 5))
        self.on(6.5, lambda: self.fail("r2", 4))
        self.on(8, lambda: self.hears("r2", 2, 5), lambda: self.hears("r3", 2, 5))
        self.on(8.5, lambda: self.kill("r3"), lambda: self.ask("r2", 400_000))
        self.on(10, lambda: self.start("r3"), lambda: self.hears("r3", 2, 5))
        self.on(11, lambda: self.part("r1"))
        self.on(12.5, self.mend, lambda: self.ask("r0", 0))
        self.on(14, lambda: self.fail("r0", 3), lambda: self.ask("r3", 600_000))
        self.on(13, lambda: self.hears("r0", 3), lambda: self.hears("r3", 3))
        self.on(15, lambda: self.hears("r1", 3), lambda: self.hears("r2", 3))
        self.on(20, lambda: self.leave("r2"))
        self.on(21.5, self.left)

    def start(self, who: str) -> None:
        keys = {other: key(who, other) for other in self.names if other != who}
        self.began[who] = self.now
        seed = self.names.index(who) + 1
        settings = FleetSettings(
            name=who, router_names=self.names, columns=["inflight"], limits=[LIMIT], seed=seed
        )
        self.companies[who] = FleetView(settings, self.now)
        self.companies[who].on_endpoint_list(self.now, 1, range(ENGINES), ())
        self.events[who], self.drained[who] = 1, set()
        self.nodes[who] = Node(RouterIdentity(who, self.now // 10), keys, seed, self.now, self.companies[who])

    def kill(self, who: str) -> None:
        del self.nodes[who], self.companies[who]

    def leave(self, who: str) -> None:
        self.post(who, self.nodes[who].leave(self.now))
        self.kill(who)

    def part(self, who: str) -> None:
        self.cut = frozenset((who,))

    def mend(self) -> None:
        self.cut = frozenset()

    def report(self, who: str, engine: int) -> None:
        if who in self.companies:
            self.companies[who].on_load_report(self.now, engine, {"inflight": self.sent % 9})

    def fail(self, who: str, engine: int) -> None:
        self.companies[who].on_failure(self.now, engine)

    def ask(self, who: str, units: int) -> None:
        self.companies[who].quotas.set_requested(LIMIT, units)

    def hears(self, who: str, number: int, gone: int | None = None) -> None:
        """Its own list of engines at an event."""
        self.events[who], self.drained[who] = number, set() if gone is None else {gone}
        ready = set(range(ENGINES)) - self.drained[who]
        self.companies[who].on_endpoint_list(self.now, number, ready, self.drained[who])

    def left(self) -> None:
        """A farewell is heard at once; where it was lost the silence tells, later."""
        if self.at is None and any("r2" in node.live_peers() for node in self.nodes.values()):
            self.fault("r2 said farewell and is taken for living")

    # ---- time goes on -----------------------------------------------------------------------------

    def play(self) -> "Run":
        try:
            while self.now < STARTS + ENDS:
                self.step()
        except Exception as fault:  # a message must never end a router
            self.broken.append(f"raised {fault!r}")
        return self

    def step(self) -> None:
        self.now += STEP
        for event in self.script.get(self.now - STEP, ()):
            event()
        due = sorted(entry for entry in self.line if entry[0] <= self.now)
        self.line = [entry for entry in self.line if entry[0] > self.now]
        for _, _, to, data in due:
            if to in self.nodes:
                self.post(to, self.nodes[to].receive(self.now, data))
        for who, node in list(self.nodes.items()):
            self.post(who, node.tick(self.now))
            said = self.companies[who].due_digests(self.now, node.live_peers())
            self.post(who, [datagram for to, load in said for datagram in node.payload_datagrams(to, load)])
            for to in node.state_requests:
                self.post(who, [(to, node.state_request(to))])
            node.state_requests = []
            self.companies[who].take_relayed_reports()
        self.hold()

    def post(self, sender: str, said: list[tuple[str, bytes]]) -> None:
        for to, data in said:
            number, self.sent = self.sent, self.sent + 1
            self.old.setdefault(to, data)
            if self.at is None:
                self.messages.append((sender, to, data))
            row = [(0, data)]
            if number == self.at:
                row = self.change.do(data, self)
                self.used = row != [(0, data)]
                self.liar = sender if self.change.lies else ""
            if (sender in self.cut) != (to in self.cut):
                if number == self.at:
                    self.used = False  # it would not have come in any case
                continue
            for later, changed in row:
                self.order += 1
                self.line.append((self.now + STEP * (1 + later), self.order, to, changed))

    # ---- what must hold ---------------------------------------------------------------------------

    def hold(self) -> None:
        """At every step, for all but a liar."""
        honest = {who: c for who, c in self.companies.items() if who != self.liar}
        parts = 0
        for company in honest.values():
            limit = company.quotas.limits[LIMIT]
            parts += limit.usable(self.now)
            # A lender that lies gives what it may not have; that is its own word broken, no one else's.
            parts -= sum(held.usable(self.now) for who, held in limit.borrowed.items() if who == self.liar)
        if parts > LIMIT_UNITS:
            self.fault(f"parts of {parts}")
        for who, company in honest.items():
            closed = company.signals.closed_engines()
            if closed and self.events[who] >= 3:
                self.fault(f"{who} closed {sorted(closed)} though its list has told later that it is back")
            if closed - {5}:
                self.fault(f"{who} closed {sorted(closed - {5})}")
            if closed & self.drained[who]:
                self.fault(f"{who} holds hearsay of {sorted(closed)} that its list has told")
            if company.ready & self.drained[who]:
                self.fault(f"{who} opened {sorted(company.ready & self.drained[who])} again")
        for who in honest:
            rosters = self.nodes[who].failure_detector
            lives = [rosters.incarnation, *(peer.incarnation for peer in rosters.peers.values())]
            if max(lives) > self.now // 10 + HOUR:
                self.fault(f"{who} believes in a life that nobody could gainsay")
        settled = [n for n in self.nodes if n != self.liar and self.now - self.began[n] > 2 * PROTOCOL_PERIOD]
        for who in settled:
            peers = [self.nodes[who].failure_detector.peers[other] for other in settled if other != who]
            for peer in peers:
                if (
                    peer.state in (PeerState.DEAD, PeerState.LEFT)
                    and self.now - peer.last_heard_at < PROTOCOL_PERIOD
                ):
                    self.fault(f"{who} takes {peer.name} for gone, of which it heard just now")

    def fault(self, what: str) -> None:
        if len(self.broken) < 5:
            self.broken.append(f"{(self.now - STARTS) / 10_000:.1f} s: {what}")

    def end(self) -> dict[str, object]:
        """What ends are compared by: who lives for whom, what is closed or doubted, whether wants are met."""
        found = {}
        for who, node in self.nodes.items():
            company = self.companies[who]
            limit = company.quotas.limits[LIMIT]
            ills = [
                engine
                for engine in range(ENGINES)
                if company.signals.count_failure_witnesses(self.now, engine)
            ]
            met = limit.usable(self.now) >= 0.9 * min(limit.requested, limit.entitlement)
            drains = [engine for engine in range(ENGINES) if company.signals.count_drain_witnesses(engine)]
            found[who] = (node.live_peers(), drains, ills, company.differing_routers, met)
        return found

    def living(self) -> bool:
        """Whether every honest router takes all others that run for living, and no other."""
        return all(
            set(node.live_peers()) - {self.liar} == self.nodes.keys() - {who, self.liar}
            for who, node in self.nodes.items()
            if who != self.liar
        )


# ---- changes --------------------------------------------------------------------------------------


def network() -> Iterator[Change]:
    yield Change("left out", False, lambda data, run: [])
    yield Change("twice", False, lambda data, run: [(0, data), (0, data)])
    yield Change("again after 2 s", False, lambda data, run: [(0, data), (20, data)])
    for steps in (1, 3, 60):
        yield Change(f"late by {steps}", False, lambda data, run, steps=steps: [(steps, data)])
    for part in (0, 1, HEADER_BYTES, HEADER_BYTES + 3):
        yield Change(f"cut at {part}", False, lambda data, run, part=part: [(0, data[:part])])
    yield Change("cut in half", False, lambda data, run: [(0, data[: len(data) // 2])])
    yield Change("last byte cut", False, lambda data, run: [(0, data[:-1])])
    yield Change("unknown version", False, lambda data, run: [(0, b"\x07" + data[1:])])
    yield Change("a drain put in", False, lambda data, run: [(0, forged(data))])
    yield Change("a bit turned", False, lambda data, run: [(0, data[:-1] + bytes([data[-1] ^ 1]))])
    yield Change(
        "the first ever sent", False, lambda data, run: [(0, data), (0, run.old[opened(data).receiver])]
    )


def forged(data: bytes) -> bytes:
    """Another load under the mark of what was sent, as somebody without the key would try it."""
    datagram = opened(data)
    load = words.encode(Digest(drains=(DrainNotice(1, 10**6),)))
    return data[:HEADER_BYTES] + encoder.encode(msgspec.structs.replace(datagram, payload=load))


def opened(data: bytes) -> Datagram:
    sender, receiver = msgspec.msgpack.decode(data[HEADER_BYTES:])[:2]
    return decode(data, receiver, {sender: key(sender, receiver)})


def signed(datagram: Datagram, own: bytes) -> bytes:
    """Marked with the liar's own key over whatever stands in it: what an honest router never sends, too."""
    body = encoder.encode(datagram)
    return bytes([VERSION]) + authentication_tag(own, body) + body


def liar(kind: str, change: Callable[[Datagram, Run], Datagram]) -> Change:
    def done(data: bytes, run: Run) -> list[tuple[int, bytes]]:
        plain = opened(data)
        return [(0, signed(change(plain, run), key(plain.sender, plain.receiver)))]

    return Change(kind, True, done)


def lies() -> Iterator[Change]:
    replace = msgspec.structs.replace
    for field in ("generation", "receiver_generation", "sequence", "ping_number"):
        for what, value in (("zero", 0), ("most", COUNTER_LIMIT - 1), ("less", None)):
            yield liar(
                f"{field} {what}",
                lambda d, run, f=field, v=value: replace(
                    d, **{f: max(0, getattr(d, f) - 1) if v is None else v}
                ),
            )
    for kind in range(6):
        yield liar(f"kind {kind}", lambda d, run, kind=kind: replace(d, kind=kind, subject="r1"))
    yield liar("another sender", lambda d, run: replace(d, sender="r1" if d.sender != "r1" else "r2"))
    yield liar("another receiver", lambda d, run: replace(d, receiver="r1" if d.receiver != "r1" else "r2"))
    yield liar("no rumours", lambda d, run: replace(d, rumours=()))
    for state in range(4):
        yield liar(
            f"all others {state}",
            lambda d, run, state=state: replace(
                d, rumours=tuple(Rumour(n, state, run.now // 10 + 100, d.sender) for n in run.names)
            ),
        )
        yield liar(
            f"all others {state} far ahead",
            lambda d, run, state=state: replace(
                d,
                rumours=tuple(
                    Rumour(n, state, COUNTER_LIMIT - 1, d.sender) for n in run.names if n != d.sender
                ),
            ),
        )
    yield liar("no load", lambda d, run: replace(d, payload=b""))
    yield liar("a load of noise", lambda d, run: replace(d, payload=b"\xc1" * 9))
    for kind, change in loads():
        yield liar(kind, lambda d, run, change=change: replace(d, payload=carried(d, change)))


def carried(datagram: Datagram, change: Callable[[Digest], Digest]) -> bytes:
    try:
        return words.encoder.encode(change(words.decode(datagram.payload, datagram.sender)))
    except InvalidDatagramError:
        return datagram.payload


def loads() -> Iterator[tuple[str, Callable[[Digest], Digest]]]:
    replace = msgspec.structs.replace
    all = range(ENGINES)
    yield "edition another", lambda p: replace(p, membership_checksum=1)
    yield "all engines idle", lambda p: replace(p, load_reports=tuple(LoadReport(e, 0, (0,)) for e in all))
    yield (
        "all engines full",
        lambda p: replace(p, load_reports=tuple(LoadReport(e, 0, (10**6,)) for e in all)),
    )
    yield "all engines ill", lambda p: replace(p, failures=tuple(EngineFailure(e, 0) for e in all))
    yield "all engines drain", lambda p: replace(p, drains=tuple(DrainNotice(e, 10**6) for e in all))
    for field, row in (("lease_requests", "ask"), ("lease_grants", "grant"), ("demands", "want")):
        for what, value in (("zero", 0), ("most", 10**9)):

            def changed(p: Digest, field: str = field, value: int = value) -> Digest:
                rows = {
                    limit: said._replace(**{name: value for name in said._fields if name != "duration"})
                    for limit, said in getattr(p, field).items()
                }
                return replace(p, **{field: rows})

            yield f"{row} {what}", changed
    yield "a grant unasked", lambda p: replace(p, lease_grants={LIMIT: LeaseGrant(1, 10**9, LEASE_DURATION)})


CHANGES = (*network(), *lies())


# ---- all of it ------------------------------------------------------------------------------------


def judge(run: Run, end: dict[str, object]) -> tuple[list[str], bool]:
    """What was broken; whether the end is unlike that of the run without a change."""
    broken = list(run.broken)
    if not broken and not run.living():
        broken.append("who lives is not known at the end")
    return broken, not run.change.lies and run.end() != end


def mutant(seed: int, at: int, change: int, end: dict[str, object]) -> tuple[bool, list[str], bool]:
    """One of them: whether the change reached a reader, what it broke, whether the end is another."""
    run = Run(seed, at, CHANGES[change]).play()
    return run.used, *judge(run, end)


def play(seed: int, most: int | None = None, jobs: int | None = None) -> dict[str, object]:
    """All mutants, or so many drawn by chance, by so many processes; what came of them."""
    plain = Run(seed).play()
    end = plain.end()
    if not plain.living() or any(ills for _, _, ills, _, _ in end.values()):
        plain.broken.append("the end without a change is not as it should be")
    places = [(at, change) for at in range(len(plain.messages)) for change in range(len(CHANGES))]
    if most is not None and most < len(places):
        places = random.Random(seed).sample(places, most)
    broken: list[str] = []
    unlike: list[str] = []
    kinds: Counter[str] = Counter()
    unused = 0
    with workers(jobs) as pool:
        found = pool.map(mutant, repeat(seed), *zip(*places), repeat(end), chunksize=32)
        for (at, change), (used, faults, other) in zip(places, found):
            kind = CHANGES[change].kind
            kinds[kind] += 1
            unused += not used
            if faults:
                broken.append(f"message {at}, {kind}: {faults[0]}")
            if other:
                unlike.append(f"message {at}, {kind}")
    return {
        "messages": len(plain.messages),
        "mutants": len(places),
        "kinds": len(kinds),
        "broken": len(broken) + len(plain.broken),
        "unlike": len(unlike),
        "unused": unused,
        "first": (plain.broken + broken + unlike)[:8],
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m hillchute.lab.mutants", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--most", type=int, help="so many mutants, drawn by chance, instead of all")
    parser.add_argument("--history", action="store_true", help="messages of the answer history instead")
    parser.add_argument("--partners", action="store_true", help="messages of partners instead")
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    found = (partners_mutants.play if asked.partners else history_mutants.play if asked.history else play)(
        asked.seed, asked.most
    )
    if asked.json:
        sys.stdout.buffer.write(orjson.dumps(found, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    else:
        for what, figure in found.items():
            print(f"{what}: {figure}")
    return int(bool(found["broken"] or found["unlike"]))


if __name__ == "__main__":
    sys.exit(main())
