"""Mutation tests of the peers' messages: the real code runs on a simulated clock and network.

    python -m hillchute.lab.mutants --seed N --json

A scripted run (routers start, quota is requested, an engine drains and one fails, a router dies and restarts,
one leaves, one is cut off) is played once to count its messages. It is then played again for each message and
each mutation of that message. Checks invariants only, independent of how the tested code decides. A run is
determined by its seed.

There are two families of mutations. Network mutations need no keys: a datagram is lost, duplicated, delayed,
truncated, of another version, or recorded and replayed to a later generation. No invariant may be violated,
and the final state is the same as without the mutation. Byzantine mutations are those of a router that has
the keys and lies: a field is zero, at its maximum, an older value or another router's name. No invariant may
be violated for the other routers, and no honest router may be considered dead at the end.
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

from hillchute.coordination import codec as coordination_codec
from hillchute.coordination.fleet_view import LIMIT_UNITS, FleetSettings, FleetView
from hillchute.coordination.messages import Digest, DrainNotice, EngineFailure, LeaseGrant, LoadReport
from hillchute.coordination.quota_leases import LEASE_DURATION
from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError
from hillchute.lab import history_mutants, partners_mutants
from hillchute.lab.workers import worker_pool
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

STEP: Time = 1_000  # 0.1 s, the time between two ticks and of a datagram in transit
ROUTERS, ENGINES, LIMIT = 4, 6, "cold"
# An incarnation may be this far ahead of the clock: an hour, and a second in transit.
MAX_INCARNATION_AHEAD_MS = 3_600_000 + 1_000
EPOCH: Time = 17_000_000_000_000
# Long enough for suspicions, leases and late messages to expire after the last event.
DURATION: Time = 330_000


def router_name(n: int) -> str:
    return f"r{n}"


def shared_key(one: str, other: str) -> bytes:
    """Returns the key that only these two routers share."""
    return "-".join(sorted((one, other))).encode() * 4


@dataclass(frozen=True)
class Mutation:
    """A mutation of one message: its name, whether it needs the keys, and the function that applies it.

    The function returns what is delivered instead: a list of (additional steps of delay, bytes).
    """

    kind: str
    is_byzantine: bool
    apply: Callable[[bytes, "ScriptedRun"], list[tuple[int, bytes]]]


class ScriptedRun:
    """One run of the script, with one message mutated or none."""

    def __init__(self, seed: int, index: int | None = None, mutation: Mutation | None = None) -> None:
        self.random, self.now, self.mutated_index, self.mutation = random.Random(seed), EPOCH, index, mutation
        self.names = [router_name(n) for n in range(ROUTERS)]
        self.nodes: dict[str, Node] = {}
        self.fleet_views: dict[str, FleetView] = {}
        self.in_flight: list[tuple[Time, int, str, bytes]] = []
        self.sent = self.last_order = 0
        self.applied = False  # whether the mutation reached a receiver
        self.messages: list[tuple[str, str, bytes]] = []  # of a run without a mutation
        self.violations: list[str] = []
        self.byzantine_router = ""
        self.cut: frozenset[str] = frozenset()
        self.event_numbers: dict[str, int] = {}  # by router: event number of its endpoint list
        self.listed_drains: dict[str, set[int]] = {}  # by router: draining engines on its endpoint list
        self.started_at: dict[str, Time] = {}
        self.first_datagrams: dict[str, bytes] = {}  # by receiver: the first datagram that it was ever sent
        self.script: dict[int, list[Callable[[], None]]] = {}
        self.write_script()

    # ---- the script -------------------------------------------------------------------------------

    def schedule(self, seconds: float, *events: Callable[[], None]) -> None:
        self.script.setdefault(EPOCH + int(seconds * 10_000), []).extend(events)

    def write_script(self) -> None:
        for n in range(ROUTERS):
            self.schedule(0.1 * n, lambda n=n: self.start(router_name(n)))
        for tenth in range(20, 180, 4):
            router, engine = self.random.randrange(ROUTERS), self.random.randrange(ENGINES)
            self.schedule(tenth / 10, lambda w=router, e=engine: self.report_load(router_name(w), e))
        self.schedule(
            4.5, lambda: self.request_quota("r0", 600_000), lambda: self.request_quota("r1", 50_000)
        )
        self.schedule(
            6, lambda: self.update_endpoint_list("r0", 2, 5), lambda: self.update_endpoint_list("r1", 2, 5)
        )
        self.schedule(6.5, lambda: self.report_failure("r2", 4))
        self.schedule(
            8, lambda: self.update_endpoint_list("r2", 2, 5), lambda: self.update_endpoint_list("r3", 2, 5)
        )
        self.schedule(8.5, lambda: self.kill("r3"), lambda: self.request_quota("r2", 400_000))
        self.schedule(10, lambda: self.start("r3"), lambda: self.update_endpoint_list("r3", 2, 5))
        self.schedule(11, lambda: self.cut_off("r1"))
        self.schedule(12.5, self.heal, lambda: self.request_quota("r0", 0))
        self.schedule(14, lambda: self.report_failure("r0", 3), lambda: self.request_quota("r3", 600_000))
        self.schedule(
            13, lambda: self.update_endpoint_list("r0", 3), lambda: self.update_endpoint_list("r3", 3)
        )
        self.schedule(
            15, lambda: self.update_endpoint_list("r1", 3), lambda: self.update_endpoint_list("r2", 3)
        )
        self.schedule(20, lambda: self.leave("r2"))
        self.schedule(21.5, self.check_leave_noticed)

    def start(self, router: str) -> None:
        keys = {other: shared_key(router, other) for other in self.names if other != router}
        self.started_at[router] = self.now
        seed = self.names.index(router) + 1
        settings = FleetSettings(
            name=router, router_names=self.names, columns=["inflight"], limits=[LIMIT], seed=seed
        )
        self.fleet_views[router] = FleetView(settings, self.now)
        self.fleet_views[router].on_endpoint_list(self.now, 1, range(ENGINES), ())
        self.event_numbers[router], self.listed_drains[router] = 1, set()
        self.nodes[router] = Node(
            RouterIdentity(router, self.now // 10), keys, seed, self.now, self.fleet_views[router]
        )

    def kill(self, router: str) -> None:
        del self.nodes[router], self.fleet_views[router]

    def leave(self, router: str) -> None:
        self.send(router, self.nodes[router].leave(self.now))
        self.kill(router)

    def cut_off(self, router: str) -> None:
        self.cut = frozenset((router,))

    def heal(self) -> None:
        self.cut = frozenset()

    def report_load(self, router: str, engine: int) -> None:
        if router in self.fleet_views:
            self.fleet_views[router].on_load_report(self.now, engine, {"inflight": self.sent % 9})

    def report_failure(self, router: str, engine: int) -> None:
        self.fleet_views[router].on_failure(self.now, engine)

    def request_quota(self, router: str, units: int) -> None:
        self.fleet_views[router].quotas.set_requested(LIMIT, units)

    def update_endpoint_list(self, router: str, number: int, draining: int | None = None) -> None:
        """Updates a router's endpoint list; `draining` is an engine that drains."""
        self.event_numbers[router], self.listed_drains[router] = (
            number,
            set() if draining is None else {draining},
        )
        ready = set(range(ENGINES)) - self.listed_drains[router]
        self.fleet_views[router].on_endpoint_list(self.now, number, ready, self.listed_drains[router])

    def check_leave_noticed(self) -> None:
        """Checks that a leave message takes effect at once. If it is lost, silence reveals it later."""
        if self.mutated_index is None and any("r2" in node.live_peers() for node in self.nodes.values()):
            self.report_violation("r2 has left and still counts as alive")

    # ---- simulation -------------------------------------------------------------------------------

    def play(self) -> "ScriptedRun":
        try:
            while self.now < EPOCH + DURATION:
                self.step()
        except Exception as error:  # a message must never end a router
            self.violations.append(f"raised {error!r}")
        return self

    def step(self) -> None:
        self.now += STEP
        for event in self.script.get(self.now - STEP, ()):
            event()
        due = sorted(entry for entry in self.in_flight if entry[0] <= self.now)
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now]
        for _, _, to, data in due:
            if to in self.nodes:
                self.send(to, self.nodes[to].receive(self.now, data))
        for router, node in list(self.nodes.items()):
            self.send(router, node.tick(self.now))
            outgoing = self.fleet_views[router].due_digests(self.now, node.live_peers())
            self.send(
                router,
                [datagram for to, payload in outgoing for datagram in node.payload_datagrams(to, payload)],
            )
            for to in node.state_requests:
                self.send(router, [(to, node.state_request(to))])
            node.state_requests = []
            self.fleet_views[router].take_relayed_reports()
        self.check_invariants()

    def send(self, sender: str, outgoing: list[tuple[str, bytes]]) -> None:
        for to, data in outgoing:
            number, self.sent = self.sent, self.sent + 1
            self.first_datagrams.setdefault(to, data)
            if self.mutated_index is None:
                self.messages.append((sender, to, data))
            deliveries = [(0, data)]
            if number == self.mutated_index:
                deliveries = self.mutation.apply(data, self)
                self.applied = deliveries != [(0, data)]
                self.byzantine_router = sender if self.mutation.is_byzantine else ""
            if (sender in self.cut) != (to in self.cut):
                if number == self.mutated_index:
                    self.applied = False  # it would not have arrived in any case
                continue
            for added_steps, mutated in deliveries:
                self.last_order += 1
                self.in_flight.append((self.now + STEP * (1 + added_steps), self.last_order, to, mutated))

    # ---- invariants -------------------------------------------------------------------------------

    def check_invariants(self) -> None:
        """Checks the invariants of all honest routers; called at every step."""
        honest = {
            router: view for router, view in self.fleet_views.items() if router != self.byzantine_router
        }
        usable_units = 0
        for fleet_view in honest.values():
            limit = fleet_view.quotas.limits[LIMIT]
            usable_units += limit.usable(self.now)
            # A lying lender may lend units that it does not own; that is no fault of the borrower.
            usable_units -= sum(
                lease.usable(self.now)
                for router, lease in limit.borrowed.items()
                if router == self.byzantine_router
            )
        if usable_units > LIMIT_UNITS:
            self.report_violation(
                f"usable units add up to {usable_units}, more than the limit of {LIMIT_UNITS}"
            )
        for router, fleet_view in honest.items():
            closed = fleet_view.signals.closed_engines()
            if closed and self.event_numbers[router] >= 3:
                self.report_violation(
                    f"{router} keeps {sorted(closed)} closed after its endpoint list has them ready again"
                )
            if closed - {5}:
                self.report_violation(f"{router} closed {sorted(closed - {5})}, which never drained")
            if closed & self.listed_drains[router]:
                self.report_violation(
                    f"{router} keeps witness reports of {sorted(closed)}, which its endpoint list covers"
                )
            if fleet_view.ready & self.listed_drains[router]:
                self.report_violation(
                    f"{router} reopened the draining {sorted(fleet_view.ready & self.listed_drains[router])}"
                )
        for router in honest:
            detector = self.nodes[router].failure_detector
            incarnations = [detector.incarnation, *(peer.incarnation for peer in detector.peers.values())]
            if max(incarnations) > self.now // 10 + MAX_INCARNATION_AHEAD_MS:
                self.report_violation(f"{router} accepted an incarnation too far ahead to be refuted")
        settled = [
            n
            for n in self.nodes
            if n != self.byzantine_router and self.now - self.started_at[n] > 2 * PROTOCOL_PERIOD
        ]
        for router in settled:
            peers = [self.nodes[router].failure_detector.peers[other] for other in settled if other != router]
            for peer in peers:
                if (
                    peer.state in (PeerState.DEAD, PeerState.LEFT)
                    and self.now - peer.last_heard_at < PROTOCOL_PERIOD
                ):
                    self.report_violation(
                        f"{router} considers {peer.name} dead or departed although it has just heard from it"
                    )

    def report_violation(self, description: str) -> None:
        if len(self.violations) < 5:
            self.violations.append(f"{(self.now - EPOCH) / 10_000:.1f} s: {description}")

    def final_state(self) -> dict[str, object]:
        """Returns, by router: live peers, drains, failing engines, differing routers, if its quota is met."""
        state_by_router = {}
        for router, node in self.nodes.items():
            fleet_view = self.fleet_views[router]
            limit = fleet_view.quotas.limits[LIMIT]
            failing = [
                engine
                for engine in range(ENGINES)
                if fleet_view.signals.count_failure_witnesses(self.now, engine)
            ]
            is_quota_met = limit.usable(self.now) >= 0.9 * min(limit.requested, limit.entitlement)
            drains = [engine for engine in range(ENGINES) if fleet_view.signals.count_drain_witnesses(engine)]
            state_by_router[router] = (
                node.live_peers(),
                drains,
                failing,
                fleet_view.differing_routers,
                is_quota_met,
            )
        return state_by_router

    def liveness_known(self) -> bool:
        """Returns whether every honest router considers exactly the running routers alive."""
        return all(
            set(node.live_peers()) - {self.byzantine_router}
            == self.nodes.keys() - {router, self.byzantine_router}
            for router, node in self.nodes.items()
            if router != self.byzantine_router
        )


# ---- mutations ------------------------------------------------------------------------------------


def network_mutations() -> Iterator[Mutation]:
    yield Mutation("left out", False, lambda data, run: [])
    yield Mutation("twice", False, lambda data, run: [(0, data), (0, data)])
    yield Mutation("again after 2 s", False, lambda data, run: [(0, data), (20, data)])
    for steps in (1, 3, 60):
        yield Mutation(f"late by {steps}", False, lambda data, run, steps=steps: [(steps, data)])
    for part in (0, 1, HEADER_BYTES, HEADER_BYTES + 3):
        yield Mutation(f"cut at {part}", False, lambda data, run, part=part: [(0, data[:part])])
    yield Mutation("cut in half", False, lambda data, run: [(0, data[: len(data) // 2])])
    yield Mutation("last byte cut", False, lambda data, run: [(0, data[:-1])])
    yield Mutation("unknown version", False, lambda data, run: [(0, b"\x07" + data[1:])])
    yield Mutation("forged drain notice", False, lambda data, run: [(0, forge_payload(data))])
    yield Mutation("bit flipped", False, lambda data, run: [(0, data[:-1] + bytes([data[-1] ^ 1]))])
    yield Mutation(
        "first datagram replayed",
        False,
        lambda data, run: [(0, data), (0, run.first_datagrams[decode_datagram(data).receiver])],
    )


def forge_payload(data: bytes) -> bytes:
    """Replaces the payload but keeps the authentication tag, as an attacker without the key would."""
    datagram = decode_datagram(data)
    payload = coordination_codec.encode(Digest(drains=(DrainNotice(1, 10**6),)))
    return data[:HEADER_BYTES] + encoder.encode(msgspec.structs.replace(datagram, payload=payload))


def decode_datagram(data: bytes) -> Datagram:
    sender, receiver = msgspec.msgpack.decode(data[HEADER_BYTES:])[:2]
    return decode(data, receiver, {sender: shared_key(sender, receiver)})


def authenticated(datagram: Datagram, key: bytes) -> bytes:
    """Returns the datagram with a valid tag, even if an honest router would never send it."""
    body = encoder.encode(datagram)
    return bytes([VERSION]) + authentication_tag(key, body) + body


def byzantine_mutation(kind: str, mutation: Callable[[Datagram, ScriptedRun], Datagram]) -> Mutation:
    def mutate(data: bytes, run: ScriptedRun) -> list[tuple[int, bytes]]:
        datagram = decode_datagram(data)
        return [(0, authenticated(mutation(datagram, run), shared_key(datagram.sender, datagram.receiver)))]

    return Mutation(kind, True, mutate)


def byzantine_mutations() -> Iterator[Mutation]:
    replace = msgspec.structs.replace
    for field in ("generation", "receiver_generation", "sequence", "ping_number"):
        for what, value in (("zero", 0), ("most", COUNTER_LIMIT - 1), ("less", None)):
            yield byzantine_mutation(
                f"{field} {what}",
                lambda d, run, f=field, v=value: replace(
                    d, **{f: max(0, getattr(d, f) - 1) if v is None else v}
                ),
            )
    for kind in range(6):
        yield byzantine_mutation(
            f"kind {kind}", lambda d, run, kind=kind: replace(d, kind=kind, subject="r1")
        )
    yield byzantine_mutation(
        "another sender", lambda d, run: replace(d, sender="r1" if d.sender != "r1" else "r2")
    )
    yield byzantine_mutation(
        "another receiver", lambda d, run: replace(d, receiver="r1" if d.receiver != "r1" else "r2")
    )
    yield byzantine_mutation("no rumours", lambda d, run: replace(d, rumours=()))
    for state in range(4):
        yield byzantine_mutation(
            f"all others {state}",
            lambda d, run, state=state: replace(
                d, rumours=tuple(Rumour(n, state, run.now // 10 + 100, d.sender) for n in run.names)
            ),
        )
        yield byzantine_mutation(
            f"all others {state} far ahead",
            lambda d, run, state=state: replace(
                d,
                rumours=tuple(
                    Rumour(n, state, COUNTER_LIMIT - 1, d.sender) for n in run.names if n != d.sender
                ),
            ),
        )
    yield byzantine_mutation("no payload", lambda d, run: replace(d, payload=b""))
    yield byzantine_mutation("unreadable payload", lambda d, run: replace(d, payload=b"\xc1" * 9))
    for kind, mutation in payload_mutations():
        yield byzantine_mutation(
            kind, lambda d, run, mutation=mutation: replace(d, payload=mutate_payload(d, mutation))
        )


def mutate_payload(datagram: Datagram, mutation: Callable[[Digest], Digest]) -> bytes:
    try:
        return coordination_codec.encoder.encode(
            mutation(coordination_codec.decode(datagram.payload, datagram.sender))
        )
    except InvalidDatagramError:
        return datagram.payload


def payload_mutations() -> Iterator[tuple[str, Callable[[Digest], Digest]]]:
    replace = msgspec.structs.replace
    engines = range(ENGINES)
    yield "another membership checksum", lambda p: replace(p, membership_checksum=1)
    yield (
        "all engines idle",
        lambda p: replace(p, load_reports=tuple(LoadReport(e, 0, (0,)) for e in engines)),
    )
    yield (
        "all engines full",
        lambda p: replace(p, load_reports=tuple(LoadReport(e, 0, (10**6,)) for e in engines)),
    )
    yield "all engines failing", lambda p: replace(p, failures=tuple(EngineFailure(e, 0) for e in engines))
    yield "all engines drain", lambda p: replace(p, drains=tuple(DrainNotice(e, 10**6) for e in engines))
    for field, label in (("lease_requests", "ask"), ("lease_grants", "grant"), ("demands", "want")):
        for what, value in (("zero", 0), ("most", 10**9)):

            def mutated(p: Digest, field: str = field, value: int = value) -> Digest:
                rows = {
                    limit: body._replace(**{name: value for name in body._fields if name != "duration"})
                    for limit, body in getattr(p, field).items()
                }
                return replace(p, **{field: rows})

            yield f"{label} {what}", mutated
    yield (
        "unrequested grant",
        lambda p: replace(p, lease_grants={LIMIT: LeaseGrant(1, 10**9, LEASE_DURATION)}),
    )


MUTATIONS = (*network_mutations(), *byzantine_mutations())


# ---- running all mutants --------------------------------------------------------------------------


def judge(run: ScriptedRun, final_state: dict[str, object]) -> tuple[list[str], bool]:
    """Returns the violations, and whether the final state differs from that of the baseline."""
    violations = list(run.violations)
    if not violations and not run.liveness_known():
        violations.append("live routers are not known at the end")
    return violations, not run.mutation.is_byzantine and run.final_state() != final_state


def run_mutant(
    seed: int, index: int, mutation: int, final_state: dict[str, object]
) -> tuple[bool, list[str], bool]:
    """Runs one mutant; returns whether it was applied, its violations, and whether its end state differs."""
    run = ScriptedRun(seed, index, MUTATIONS[mutation]).play()
    return run.applied, *judge(run, final_state)


def play(seed: int, max_mutants: int | None = None, jobs: int | None = None) -> dict[str, object]:
    """Runs all mutants, or `max_mutants` random ones, in `jobs` processes; returns their result counts."""
    baseline = ScriptedRun(seed).play()
    final_state = baseline.final_state()
    if not baseline.liveness_known() or any(failing for _, _, failing, _, _ in final_state.values()):
        baseline.violations.append("wrong final state of the run without a mutation")
    mutants = [
        (index, mutation) for index in range(len(baseline.messages)) for mutation in range(len(MUTATIONS))
    ]
    if max_mutants is not None and max_mutants < len(mutants):
        mutants = random.Random(seed).sample(mutants, max_mutants)
    violations: list[str] = []
    differing: list[str] = []
    kinds: Counter[str] = Counter()
    not_applied = 0
    with worker_pool(jobs) as pool:
        results = pool.map(run_mutant, repeat(seed), *zip(*mutants), repeat(final_state), chunksize=32)
        for (index, mutation), (applied, found_violations, differs) in zip(mutants, results):
            kind = MUTATIONS[mutation].kind
            kinds[kind] += 1
            not_applied += not applied
            if found_violations:
                violations.append(f"message {index}, {kind}: {found_violations[0]}")
            if differs:
                differing.append(f"message {index}, {kind}")
    return {
        "messages": len(baseline.messages),
        "mutants": len(mutants),
        "kinds": len(kinds),
        "broken": len(violations) + len(baseline.violations),
        "unlike": len(differing),
        "unused": not_applied,
        "first": (baseline.violations + violations + differing)[:8],
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m hillchute.lab.mutants", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--most", type=int, help="run this number of random mutants instead of all")
    parser.add_argument("--history", action="store_true", help="mutate messages of the answer history")
    parser.add_argument("--partners", action="store_true", help="mutate messages between partners")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    results = (
        partners_mutants.play if arguments.partners else history_mutants.play if arguments.history else play
    )(arguments.seed, arguments.most)
    if arguments.json:
        sys.stdout.buffer.write(orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    else:
        for name, figure in results.items():
            print(f"{name}: {figure}")
    return int(bool(results["broken"] or results["unlike"]))


if __name__ == "__main__":
    sys.exit(main())
