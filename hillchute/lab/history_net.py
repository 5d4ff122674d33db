"""Holders of the history over one network that loses, delays, repeats and cuts, in simulated time; clients
that resend; engines that count what ran. What breaks a rule is told by what clients and engines saw.

Owns the network, the clock, the faults and the counts of broken rules. Must never know how a holder decides.
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
from hillchute.history.views import LEASE

SECOND = 10_000
STEP: Time = 500
EPOCH: Time = 17_000_000_000_000
PATIENCE: Time = 4 * SECOND
NOTICED = (1 * SECOND, 3 * SECOND)  # until a router knows that another died, came, or was cut off
DELAY: tuple[Time, Time] = (5, 300)  # half a millisecond to 30


class HistoryNet:
    """`loss`, `twice`: parts of the messages; `never`: of the claims, whose run is given up unsent; `fails`:
    of the runs, that are killed."""

    def __init__(
        self,
        seed: int,
        count: int,
        policies: RetentionPolicies,
        loss: float = 0.0,
        twice: float = 0.0,
        never: float = 0.0,
        fails: float = 0.05,
    ) -> None:
        self.seed, self.chance, self.now, self.fails = seed, random.Random(seed), EPOCH, fails
        self.loss, self.twice, self.never, self.policies = loss, twice, never, policies
        self.names = [f"n{n}" for n in range(count)]
        self.replicas: dict[str, Replica] = {}
        self.lives: dict[str, int] = {}
        self.stopped: dict[str, list] = {}  # who stands still, and what came meanwhile
        self.offset: dict[str, Time] = defaultdict(int)  # of its clock
        self.cuts: set[tuple[str, str]] = set()  # one way
        self.seen: dict[str, dict[str, int]] = {n: {} for n in self.names}
        self.changes: list[tuple[Time, int, str, str]] = []
        self.line: list = []
        self.order = 0
        self.open: dict[tuple[str, int, int], tuple[str, str, Time]] = {}  # claims: token, key, asked
        self.runs: dict[str, list[tuple[Time, Time]]] = defaultdict(list)  # what engines saw of a token
        self.keys: dict[str, list[tuple[Time, Time]]] = defaultdict(list)  # and of a key
        self.said: Counter[str] = Counter()
        self.rule: Counter[str] = Counter()  # broken
        self.taken: dict[str, Time] = {}  # when the last run of a token was asked for
        self.endings: list[tuple[Time, int, tuple[str, int, int], str, int]] = []  # of runs that engines have
        self.forgotten: list[tuple[Time, Time | None]] = []  # before when; since when none may answer from it
        self.waited: list[Time] = []
        for name in self.names:
            self.start(name)

    # ---- routers ----------------------------------------------------------------------------------

    def clock(self, name: str) -> Time:
        return self.now + self.offset[name]

    def start(self, name: str) -> None:
        life = self.clock(name) // 10
        self.lives[name] = max(life, self.lives.get(name, 0) + 1)
        self.seen[name] = {}

        def living() -> dict[str, int]:
            return {**self.seen[name], name: self.lives[name]}

        now = self.clock(name)
        self.replicas[name] = self.new_replica(name, now, living)
        self.notice()

    def new_replica(self, name: str, now: Time, living: Callable[[], dict[str, int]]) -> Replica:
        membership = Membership(name, self.lives[name], self.names, living)
        return Replica(membership, self.policies, now)

    def kill(self, name: str) -> None:
        self.replicas.pop(name, None)
        self.stopped.pop(name, None)
        self.open = {claim: about for claim, about in self.open.items() if claim[0] != name}
        self.notice()

    def leave(self, name: str) -> None:
        """It says farewell: no other counts it as living, and it still answers."""
        self.replicas[name].prepare_to_leave()
        for other in self.names:
            self.seen[other].pop(name, None)

    def stop(self, name: str) -> None:
        if name in self.replicas:
            self.stopped.setdefault(name, [])
            self.notice()

    def go_on(self, name: str) -> None:
        for sender, data in self.stopped.pop(name, ()):
            self.arrive(sender, name, data)
        self.notice()

    def cut(self, some: list[str], others: list[str], both: bool = True) -> None:
        self.cuts |= {(a, b) for a in some for b in others if a != b}
        if both:
            self.cuts |= {(b, a) for a in some for b in others if a != b}
        self.notice()

    def mend(self) -> None:
        self.cuts.clear()
        self.notice()

    def notice(self) -> None:
        """Each will know of each as it is, a while later."""
        for name in self.names:
            for other in self.names:
                if name != other:
                    self.order += 1
                    at = self.now + self.chance.randint(*NOTICED)
                    heappush(self.changes, (at, self.order, name, other))

    def look(self, name: str, other: str) -> None:
        lives = other in self.replicas and other not in self.stopped
        if lives and not {(name, other), (other, name)} & self.cuts:
            self.seen[name][other] = self.lives[other]
        else:
            self.seen[name].pop(other, None)

    # ---- the network ------------------------------------------------------------------------------

    def post(self, name: str) -> None:
        replica = self.replicas.get(name)
        if replica is None:
            return
        for to, message in replica.take_messages():
            self.send(name, to, message)
        self.judged(name, replica)

    def send(self, name: str, to: str, message: Message) -> None:
        for after, data in self.carried(message):
            self.order += 1
            if (name, to) not in self.cuts:
                heappush(self.line, (self.now + after, self.order, name, to, data))

    def carried(self, message: Message) -> list[tuple[Time, bytes]]:
        """What the network makes of a message: its bytes, as often as they come, and how long after."""
        times = 1 + (self.chance.random() < self.twice)
        comes = [self.chance.randint(*DELAY) for _ in range(times) if self.chance.random() >= self.loss]
        return [(after, self.encoded(message)) for after in comes]

    def encoded(self, message: Message) -> bytes:
        return encode(message)

    def arrive(self, sender: str, to: str, data: bytes) -> None:
        if to in self.stopped:
            self.stopped[to].append((sender, data))
        elif to in self.replicas:
            self.replicas[to].receive(self.clock(to), sender, decode(data, sender))
            self.post(to)

    def play(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += STEP
            while self.changes and self.changes[0][0] <= self.now:
                _, _, name, other = heappop(self.changes)
                self.look(name, other)
            while self.line and self.line[0][0] <= self.now:
                _, _, sender, to, data = heappop(self.line)
                self.arrive(sender, to, data)
            for name in list(self.replicas):
                if name not in self.stopped:
                    self.tick(name)
                    self.post(name)

    def tick(self, name: str) -> None:
        self.replicas[name].tick(self.clock(name))

    # ---- clients and engines ----------------------------------------------------------------------

    def ask(self, name: str, token: str, key: str, patience: Time = PATIENCE) -> None:
        replica = self.replicas.get(name)
        if replica is None or name in self.stopped:
            self.said["nobody there"] += 1
            return
        due = self.clock(name) + patience
        query = KeyedQuery(ordering_key=key, idempotency_key=token, deadline=due, ordered=True)
        number = replica.claim(self.clock(name), query)
        self.open[name, self.lives[name], number] = token, key, self.now
        self.post(name)

    def judged(self, name: str, replica: Replica) -> None:
        for number, verdict, why, rows in replica.take_decided():
            claim = name, self.lives[name], number
            if claim not in self.open:
                self.rule["answered twice"] += 1
                continue
            token, key, asked = self.open[claim]
            self.said[f"{verdict.name}: {why}"] += 1
            self.said[verdict.name] += 1
            self.waited.append(self.now - asked)
            if verdict is not ClaimDecision.RUN:
                del self.open[claim]
            if verdict is ClaimDecision.REPLAY and rows != f"rows of {token}".encode():
                self.rule["wrong answer"] += 1
            if verdict is ClaimDecision.REPLAY and self.too_late(token):
                self.rule["kept too long"] += 1
            if verdict is ClaimDecision.RUN:
                self.run(claim, token, key)
            else:
                self.over(claim, verdict, why, rows, (token, key, asked))

    def over(
        self,
        claim: tuple[str, int, int],
        verdict: ClaimDecision,
        why: str,
        rows: bytes | None,
        about: tuple[str, str, Time],
    ) -> None:
        """A claim that does not run here; `about`: its token, its key, when it was asked."""

    def run(self, claim: tuple[str, int, int], token: str, key: str) -> None:
        """The engine runs it, whatever becomes of the router; its answer finds the router, or does not."""
        # Each run has chance of its own: what happens to one changes no other.
        chance = random.Random(f"{self.seed}:{token}:{len(self.runs[token])}")
        if chance.random() < self.never:
            self.ended(claim, RecordState.NOT_RUN)
            return
        if self.runs[token] and self.bound(token):
            self.rule["ran twice"] += 1
        self.taken[token] = self.open[claim][2]
        took = chance.randint(300, 1 * SECOND)
        span = self.now, self.now + took
        if any(begin < span[1] and span[0] < end for begin, end in self.keys[key]):
            self.rule["out of order"] += 1
        self.runs[token].append(span)
        self.keys[key].append(span)
        self.order += 1
        how = RecordState.FAILED if chance.random() < self.fails else RecordState.SERVED
        heappush(self.endings, (span[1], self.order, claim, token, how))

    def ends(self) -> None:
        """Runs that are over by now, where their routers are there to hear it."""
        again = []
        while self.endings and self.endings[0][0] <= self.now:
            _, order, claim, token, how = heappop(self.endings)
            if claim[0] in self.stopped and self.lives[claim[0]] == claim[1]:
                again.append((self.now + STEP, order, claim, token, how))
            elif claim in self.open:
                self.ended(claim, how, f"rows of {token}".encode() if how == RecordState.SERVED else None)
        for ending in again:
            heappush(self.endings, ending)

    def ended(self, claim: tuple[str, int, int], state: int, rows: bytes | None = None) -> None:
        name, _, number = claim
        self.open.pop(claim, None)
        self.replicas[name].end_claim(self.clock(name), number, state, rows)
        self.post(name)

    def bound(self, token: str) -> bool:
        """Whether what ran must not run again: within its keep time, and not forgotten since."""
        kept = self.now - self.runs[token][-1][0] < self.policies.default.least_ms * MS
        return kept and not any(self.taken[token] < before for before, _ in self.forgotten)

    def too_late(self, token: str) -> bool:
        """Whether its answer was to be forgotten, and most routers have known that for a lease's time."""
        return any(
            since is not None and self.now > since + LEASE and self.runs[token][-1][0] < before
            for before, since in self.forgotten
        )

    def forget(self, name: str) -> None:
        """The operator wants all forgotten that was taken until now, and tells one router."""
        self.policies = msgspec.structs.replace(
            self.policies,
            number=self.policies.number + 1,
            erasure_requests=(*self.policies.erasure_requests, ErasureRequest(self.now)),
        )
        self.forgotten.append((self.now, None))
        self.replicas[name].apply_policies(self.clock(name), self.policies)
        self.post(name)

    def known(self) -> None:
        """Since when most of the named know of the last policies."""
        most = (
            sum(k.policies.number >= self.policies.number for k in self.replicas.values())
            > len(self.names) // 2
        )
        if self.forgotten and self.forgotten[-1][1] is None and most:
            self.forgotten[-1] = self.forgotten[-1][0], self.now

    # ---- what is looked at beside -----------------------------------------------------------------

    def held(self, token: str) -> list[str]:
        """Who has a record of a token: the one place that looks into holders, for erasing is about them."""
        return [
            n
            for n, k in self.replicas.items()
            if any(x.record.idempotency_key == token for x in k.records.all_records())
        ]

    def settled(self, most: float = 30) -> bool:
        """Plays until every router is in a view in force with all of its slots there."""
        since = self.now
        while self.now - since < most * SECOND:
            self.advance(0.5)
            replicas = [k for n, k in self.replicas.items() if n not in self.stopped]
            fine = all(
                k.views.in_force(k.context.now) and not k.slots.wanted and not k.slots.outdated
                for k in replicas
            )
            if fine and len({k.views.view.id for k in replicas}) == 1:
                members = {n: self.lives[n] for n in self.replicas if n not in self.stopped}
                if replicas[0].views.view.members == members:
                    return True
        return False

    def advance(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.play(STEP / SECOND)
            self.ends()
            self.known()


def founded(**about: object) -> RetentionPolicies:
    """The policies of a fleet that begins now."""
    return RetentionPolicies(number=1, founded=EPOCH // MS * MS, **about)


def storm(net: HistoryNet, seed: int, seconds: float, forgets: bool = False) -> bool:
    """Deaths, restarts, cuts one way and both, processes that stand still, resends; then all is mended.
    Whether it all came to rest."""
    chance, tokens = random.Random(seed), []
    quiet, end = net.now, net.now + int(seconds * SECOND)
    while net.now < end:
        for _ in range(chance.randint(0, 4)):
            if not tokens or chance.random() >= 0.4:
                tokens.append((f"t{len(tokens)}", f"k{chance.randint(0, 20)}"))
                net.ask(chance.choice(net.names), *tokens[-1])
            else:
                net.ask(chance.choice(net.names), *chance.choice(tokens[-30:]))
        if net.now >= quiet:
            strike(net, chance, forgets)
            quiet = net.now + chance.choice([0, 0, 2, 6, 12]) * SECOND
        net.advance(chance.choice([0.1, 0.2, 0.5]))
    net.mend()
    for name in net.names:
        if name in net.stopped:
            net.go_on(name)
        if name not in net.replicas:
            net.start(name)
    return net.settled(60)


def strike(net: HistoryNet, chance: random.Random, forgets: bool) -> None:
    what, names = chance.random(), chance.sample(net.names, len(net.names))
    if what < 0.25:
        for name in names[: chance.choice([1] * 9 + [2, 4])]:
            net.kill(name)
    elif what < 0.5:
        for name in names:
            if name not in net.replicas:
                net.start(name)
    elif what < 0.6:
        half = chance.randint(1, len(names) - 1)
        net.cut(names[:half], names[half:], both=chance.random() < 0.7)
    elif what < 0.75:
        net.mend()
    elif what < 0.82:
        net.stop(names[0])
    elif what < 0.92:
        for name in list(net.stopped):
            net.go_on(name)
    elif forgets and names[0] in net.replicas and names[0] not in net.stopped:
        net.forget(names[0])


__all__ = ["EPOCH", "LEASE", "SECOND", "HistoryNet", "founded", "storm"]
