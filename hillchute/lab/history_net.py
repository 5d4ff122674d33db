"""Simulates history replicas on one network that loses, delays, duplicates and blocks messages.

Clients resend queries and engines count what they run; a broken rule is recognised only by what clients and
engines observed, independent of how a replica decides. Time is simulated, in tenths of a millisecond.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from heapq import heappop, heappush

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.codec import decode, encode
from hillchute.history.messages import Message
from hillchute.history.own_claims import KeyedQuery
from hillchute.history.records import RecordState
from hillchute.history.replica import Replica
from hillchute.history.replica_context import Membership
from hillchute.history.retention import MS, ErasureRequest, RetentionPolicies
from hillchute.history.views import VIEW_LEASE

SECOND = 10_000
STEP: Time = 500
EPOCH: Time = 17_000_000_000_000
CLIENT_TIMEOUT: Time = 4 * SECOND
NOTICE_DELAY = (1 * SECOND, 3 * SECOND)  # until a router notices that another died, started or was cut off
MESSAGE_DELAY: tuple[Time, Time] = (5, 300)  # range: 0.5 to 30 ms


class HistoryNet:
    """The network with its routers, clients and engines.

    `loss_rate` and `duplicate_rate` are the fractions of messages that are lost and duplicated,
    `not_sent_rate` is the fraction of granted claims that are released without a run, `failure_rate` the
    fraction of runs that fail.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        policies: RetentionPolicies,
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
        not_sent_rate: float = 0.0,
        failure_rate: float = 0.05,
    ) -> None:
        self.seed, self.random, self.now, self.failure_rate = seed, random.Random(seed), EPOCH, failure_rate
        self.loss_rate, self.duplicate_rate, self.not_sent_rate, self.policies = (
            loss_rate,
            duplicate_rate,
            not_sent_rate,
            policies,
        )
        self.names = [f"n{n}" for n in range(count)]
        self.replicas: dict[str, Replica] = {}
        self.incarnations: dict[str, int] = {}
        self.suspended: dict[str, list] = {}  # by suspended router: the messages that arrived meanwhile
        self.clock_offsets: dict[str, Time] = defaultdict(int)  # of each router's clock
        self.cuts: set[tuple[str, str]] = set()  # blocked directions: (sender, receiver)
        self.live_seen_by: dict[str, dict[str, int]] = {n: {} for n in self.names}
        self.liveness_changes: list[tuple[Time, int, str, str]] = []
        self.in_flight: list = []
        self.last_order = 0
        # By claim: idempotency key, ordering key, time of the query.
        self.open_claims: dict[tuple[str, int, int], tuple[str, str, Time]] = {}
        # Start and end of each run as engines saw them, by idempotency key and by ordering key.
        self.runs: dict[str, list[tuple[Time, Time]]] = defaultdict(list)
        self.runs_by_key: dict[str, list[tuple[Time, Time]]] = defaultdict(list)
        self.verdict_counts: Counter[str] = Counter()
        self.broken_rules: Counter[str] = Counter()  # number of violations, by rule
        # By idempotency key: time at which the query of the last run was sent.
        self.last_requested_at: dict[str, Time] = {}
        # A heap of running queries: (end, sequence number, claim, idempotency key, outcome).
        self.pending_completions: list[tuple[Time, int, tuple[str, int, int], str, int]] = []
        # Erasure requests: (time before which all is erased, time since which a majority has known it).
        self.erasures: list[tuple[Time, Time | None]] = []
        self.waiting_times: list[Time] = []
        for name in self.names:
            self.start(name)

    # ---- routers ----------------------------------------------------------------------------------

    def clock(self, name: str) -> Time:
        return self.now + self.clock_offsets[name]

    def start(self, name: str) -> None:
        incarnation = self.clock(name) // 10
        self.incarnations[name] = max(incarnation, self.incarnations.get(name, 0) + 1)
        self.live_seen_by[name] = {}

        def live_routers() -> dict[str, int]:
            return {**self.live_seen_by[name], name: self.incarnations[name]}

        now = self.clock(name)
        self.replicas[name] = self.new_replica(name, now, live_routers)
        self.schedule_liveness_changes()

    def new_replica(self, name: str, now: Time, live_routers: Callable[[], dict[str, int]]) -> Replica:
        membership = Membership(name, self.incarnations[name], self.names, live_routers)
        return Replica(membership, self.policies, now)

    def kill(self, name: str) -> None:
        self.replicas.pop(name, None)
        self.suspended.pop(name, None)
        self.open_claims = {claim: entry for claim, entry in self.open_claims.items() if claim[0] != name}
        self.schedule_liveness_changes()

    def leave(self, name: str) -> None:
        """Starts a router's shutdown: the others no longer count it as alive, and it still answers."""
        self.replicas[name].prepare_to_leave()
        for other in self.names:
            self.live_seen_by[other].pop(name, None)

    def suspend(self, name: str) -> None:
        if name in self.replicas:
            self.suspended.setdefault(name, [])
            self.schedule_liveness_changes()

    def resume(self, name: str) -> None:
        for sender, data in self.suspended.pop(name, ()):
            self.deliver(sender, name, data)
        self.schedule_liveness_changes()

    def cut(self, some: list[str], others: list[str], both: bool = True) -> None:
        self.cuts |= {(a, b) for a in some for b in others if a != b}
        if both:
            self.cuts |= {(b, a) for a in some for b in others if a != b}
        self.schedule_liveness_changes()

    def heal(self) -> None:
        self.cuts.clear()
        self.schedule_liveness_changes()

    def schedule_liveness_changes(self) -> None:
        """Schedules when each router notices the current liveness of each other."""
        for name in self.names:
            for other in self.names:
                if name != other:
                    self.last_order += 1
                    at = self.now + self.random.randint(*NOTICE_DELAY)
                    heappush(self.liveness_changes, (at, self.last_order, name, other))

    def update_liveness(self, name: str, other: str) -> None:
        is_running = other in self.replicas and other not in self.suspended
        if is_running and not {(name, other), (other, name)} & self.cuts:
            self.live_seen_by[name][other] = self.incarnations[other]
        else:
            self.live_seen_by[name].pop(other, None)

    # ---- the network ------------------------------------------------------------------------------

    def post(self, name: str) -> None:
        replica = self.replicas.get(name)
        if replica is None:
            return
        for to, message in replica.take_messages():
            self.send(name, to, message)
        self.handle_decisions(name, replica)

    def send(self, name: str, to: str, message: Message) -> None:
        for delay, data in self.transmit(message):
            self.last_order += 1
            if (name, to) not in self.cuts:
                heappush(self.in_flight, (self.now + delay, self.last_order, name, to, data))

    def transmit(self, message: Message) -> list[tuple[Time, bytes]]:
        """Returns the copies of a message that arrive, each as (delay, bytes)."""
        copies = 1 + (self.random.random() < self.duplicate_rate)
        delays = [
            self.random.randint(*MESSAGE_DELAY)
            for _ in range(copies)
            if self.random.random() >= self.loss_rate
        ]
        return [(delay, self.encode_message(message)) for delay in delays]

    def encode_message(self, message: Message) -> bytes:
        return encode(message)

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        if to in self.suspended:
            self.suspended[to].append((sender, data))
        elif to in self.replicas:
            self.replicas[to].receive(self.clock(to), sender, decode(data, sender))
            self.post(to)

    def play(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP
            while self.liveness_changes and self.liveness_changes[0][0] <= self.now:
                _, _, name, other = heappop(self.liveness_changes)
                self.update_liveness(name, other)
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, sender, to, data = heappop(self.in_flight)
                self.deliver(sender, to, data)
            for name in list(self.replicas):
                if name not in self.suspended:
                    self.tick(name)
                    self.post(name)

    def tick(self, name: str) -> None:
        self.replicas[name].tick(self.clock(name))

    # ---- clients and engines ----------------------------------------------------------------------

    def ask(self, name: str, idempotency_key: str, key: str, client_timeout: Time = CLIENT_TIMEOUT) -> None:
        replica = self.replicas.get(name)
        if replica is None or name in self.suspended:
            self.verdict_counts["nobody there"] += 1
            return
        deadline = self.clock(name) + client_timeout
        query = KeyedQuery(ordering_key=key, idempotency_key=idempotency_key, deadline=deadline, ordered=True)
        number = replica.claim(self.clock(name), query)
        self.open_claims[name, self.incarnations[name], number] = idempotency_key, key, self.now
        self.post(name)

    def handle_decisions(self, name: str, replica: Replica) -> None:
        for number, verdict, reason, rows in replica.take_decided_claims():
            claim = name, self.incarnations[name], number
            if claim not in self.open_claims:
                self.broken_rules["answered twice"] += 1
                continue
            idempotency_key, key, asked_at = self.open_claims[claim]
            self.verdict_counts[f"{verdict.name}: {reason}"] += 1
            self.verdict_counts[verdict.name] += 1
            self.waiting_times.append(self.now - asked_at)
            if verdict is not ClaimDecision.RUN:
                del self.open_claims[claim]
            if verdict is ClaimDecision.REPLAY and rows != f"rows of {idempotency_key}".encode():
                self.broken_rules["wrong answer"] += 1
            if verdict is ClaimDecision.REPLAY and self.is_erased(idempotency_key):
                self.broken_rules["kept too long"] += 1
            if verdict is ClaimDecision.RUN:
                self.start_run(claim, idempotency_key, key)
            else:
                self.handle_not_run(claim, verdict, reason, rows, (idempotency_key, key, asked_at))

    def handle_not_run(
        self,
        claim: tuple[str, int, int],
        verdict: ClaimDecision,
        reason: str,
        rows: bytes | None,
        open_claim: tuple[str, str, Time],
    ) -> None:
        """Handles a claim that does not run here; `open_claim` is its entry of `open_claims`."""

    def start_run(self, claim: tuple[str, int, int], idempotency_key: str, key: str) -> None:
        """Starts a run on an engine, which ends even if the router dies; then the result is lost."""
        # Each run has a random generator of its own, so that one run does not change the draws of others.
        rng = random.Random(f"{self.seed}:{idempotency_key}:{len(self.runs[idempotency_key])}")
        if rng.random() < self.not_sent_rate:
            self.complete_run(claim, RecordState.NOT_RUN)
            return
        if self.runs[idempotency_key] and self.must_not_rerun(idempotency_key):
            self.broken_rules["ran twice"] += 1
        self.last_requested_at[idempotency_key] = self.open_claims[claim][2]
        duration = rng.randint(300, 1 * SECOND)
        span = self.now, self.now + duration
        if any(begin < span[1] and span[0] < end for begin, end in self.runs_by_key[key]):
            self.broken_rules["out of order"] += 1
        self.runs[idempotency_key].append(span)
        self.runs_by_key[key].append(span)
        self.last_order += 1
        outcome = RecordState.FAILED if rng.random() < self.failure_rate else RecordState.SERVED
        heappush(self.pending_completions, (span[1], self.last_order, claim, idempotency_key, outcome))

    def complete_runs(self) -> None:
        """Completes the runs that have ended by now, where their routers still run."""
        postponed = []
        while self.pending_completions and self.pending_completions[0][0] <= self.now:
            _, order, claim, idempotency_key, outcome = heappop(self.pending_completions)
            if claim[0] in self.suspended and self.incarnations[claim[0]] == claim[1]:
                postponed.append((self.now + STEP, order, claim, idempotency_key, outcome))
            elif claim in self.open_claims:
                self.complete_run(
                    claim,
                    outcome,
                    f"rows of {idempotency_key}".encode() if outcome == RecordState.SERVED else None,
                )
        for completion in postponed:
            heappush(self.pending_completions, completion)

    def complete_run(self, claim: tuple[str, int, int], state: int, rows: bytes | None = None) -> None:
        name, _, number = claim
        self.open_claims.pop(claim, None)
        self.replicas[name].end_claim(self.clock(name), number, state, rows)
        self.post(name)

    def must_not_rerun(self, idempotency_key: str) -> bool:
        """Returns whether a query must not run again: within its retention time and not erased since."""
        is_retained = self.now - self.runs[idempotency_key][-1][0] < self.policies.default.least_ms * MS
        return is_retained and not any(
            self.last_requested_at[idempotency_key] < before for before, _ in self.erasures
        )

    def is_erased(self, idempotency_key: str) -> bool:
        """Returns whether an answer was to be erased and a majority of routers has known that for a lease."""
        return any(
            since is not None and self.now > since + VIEW_LEASE and self.runs[idempotency_key][-1][0] < before
            for before, since in self.erasures
        )

    def request_erasure(self, name: str) -> None:
        """Requests, at one router, the erasure of everything that was accepted until now."""
        self.policies = msgspec.structs.replace(
            self.policies,
            number=self.policies.number + 1,
            erasure_requests=(*self.policies.erasure_requests, ErasureRequest(self.now)),
        )
        self.erasures.append((self.now, None))
        self.replicas[name].apply_policies(self.clock(name), self.policies)
        self.post(name)

    def record_policies_known(self) -> None:
        """Records since when a majority of the configured routers has the latest policies."""
        known_by_majority = (
            sum(replica.policies.number >= self.policies.number for replica in self.replicas.values())
            > len(self.names) // 2
        )
        if self.erasures and self.erasures[-1][1] is None and known_by_majority:
            self.erasures[-1] = self.erasures[-1][0], self.now

    # ---- inspection -------------------------------------------------------------------------------

    def routers_with_record(self, idempotency_key: str) -> list[str]:
        """Returns the routers that hold a record; only for checks of erasure, which concerns replicas."""
        return [
            name
            for name, replica in self.replicas.items()
            if any(
                stored.record.idempotency_key == idempotency_key for stored in replica.records.all_records()
            )
        ]

    def wait_until_settled(self, max_seconds: float = 30) -> bool:
        """Simulates until every router has the same view in force and all of its slots; False on time-out."""
        since = self.now
        while self.now - since < max_seconds * SECOND:
            self.advance(0.5)
            replicas = [replica for name, replica in self.replicas.items() if name not in self.suspended]
            all_current = all(
                replica.views.in_force(replica.context.now)
                and not replica.slots.fetching
                and not replica.slots.outdated
                for replica in replicas
            )
            if all_current and len({replica.views.view.id for replica in replicas}) == 1:
                members = {
                    name: self.incarnations[name] for name in self.replicas if name not in self.suspended
                }
                if replicas[0].views.view.members == members:
                    return True
        return False

    def advance(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.play(STEP / SECOND)
            self.complete_runs()
            self.record_policies_known()


def initial_policies(**fields: object) -> RetentionPolicies:
    """Returns the first policies of a fleet that starts now."""
    return RetentionPolicies(number=1, founded=EPOCH // MS * MS, **fields)


def run_random_faults(
    net: HistoryNet, seed: int, seconds: float, with_erasures: bool = False, pair_cut_share: float = 0.0
) -> bool:
    """Runs random queries, resends and faults, then heals all faults.

    The faults are deaths, restarts, cuts in one or both directions and suspended processes. Of them,
    `pair_cut_share` are cuts between two routers alone. Returns whether the fleet settled afterwards.
    """
    rng, queries = random.Random(seed), []
    next_fault_at, end = net.now, net.now + int(seconds * SECOND)
    while net.now < end:
        for _ in range(rng.randint(0, 4)):
            if not queries or rng.random() >= 0.4:
                queries.append((f"t{len(queries)}", f"k{rng.randint(0, 20)}"))
                net.ask(rng.choice(net.names), *queries[-1])
            else:
                net.ask(rng.choice(net.names), *rng.choice(queries[-30:]))
        if net.now >= next_fault_at:
            if pair_cut_share and rng.random() < pair_cut_share:
                one, other = rng.sample(net.names, 2)
                net.cut([one], [other], both=rng.random() < 0.6)
            else:
                inject_random_fault(net, rng, with_erasures)
            next_fault_at = net.now + rng.choice([0, 0, 2, 6, 12]) * SECOND
        net.advance(rng.choice([0.1, 0.2, 0.5]))
    net.heal()
    for name in net.names:
        if name in net.suspended:
            net.resume(name)
        if name not in net.replicas:
            net.start(name)
    return net.wait_until_settled(60)


def inject_random_fault(net: HistoryNet, rng: random.Random, with_erasures: bool) -> None:
    """Injects one random fault, a recovery from one, or with `with_erasures` an erasure request."""
    draw, names = rng.random(), rng.sample(net.names, len(net.names))
    if draw < 0.25:
        for name in names[: rng.choice([1] * 9 + [2, 4])]:
            net.kill(name)
    elif draw < 0.5:
        for name in names:
            if name not in net.replicas:
                net.start(name)
    elif draw < 0.6:
        half = rng.randint(1, len(names) - 1)
        net.cut(names[:half], names[half:], both=rng.random() < 0.7)
    elif draw < 0.75:
        net.heal()
    elif draw < 0.82:
        net.suspend(names[0])
    elif draw < 0.92:
        for name in list(net.suspended):
            net.resume(name)
    elif with_erasures and names[0] in net.replicas and names[0] not in net.suspended:
        net.request_erasure(names[0])


__all__ = ["EPOCH", "SECOND", "VIEW_LEASE", "HistoryNet", "initial_policies", "run_random_faults"]
