"""Mutation tests of the answer history's messages: the real replicas run on a simulated clock and network.

A scripted run (queries and resends, a death, a new view, an erasure request, a restart, a cut) is played once
to count its messages. It is then played again for each message and each mutation of that message. Checks
invariants only, independent of how the tested code decides. A run is determined by its seed. The command line
is that of hillchute.lab.mutants.

Network mutations: a message is lost, duplicated, delayed, truncated, or replayed much later. No rule may be
broken, and the final state is the same as without the mutation. Byzantine mutations, of a router that lies: a
field is zero, at its maximum, off by one or another router's name. They may make replicas lose records or
store false ones (see docs/history.md), but no honest router may fail, answer a client twice or be blocked.
"""

import random
from collections import Counter
from collections.abc import Iterator
from functools import partial
from itertools import repeat

import msgspec

from hillchute.decision.interface import Time
from hillchute.errors import InvalidDatagramError
from hillchute.history.codec import encoder
from hillchute.history.messages import MESSAGE_TYPES, Message
from hillchute.history.records import RecordState
from hillchute.history.retention import RetentionPolicy
from hillchute.history.slot_placement import holders, slot_of
from hillchute.lab.history_net import STEP, HistoryNet, initial_policies
from hillchute.lab.workers import worker_pool

ADDED_DELAY: dict[str, Time] = {"late by 1": STEP, "late by 3": 3 * STEP, "late by 40": 40 * STEP}
NETWORK_MUTATIONS = (
    "left out",
    "twice",
    *ADDED_DELAY,
    "cut to nothing",
    "cut in half",
    "cut by a byte",
    "again much later",
)
BYZANTINE_MUTATIONS = ("zero", "most", "one less", "one more", "another's", "none")
MAX_VALUE = (1 << 62) - 1
REPLAY_DELAY: Time = 200_000
ROUTERS, KEY_COUNT = 5, 12  # of the scripted run
# Rules that a lying router may break.
ALLOWED_VIOLATIONS = ("wrong answer", "ran twice", "out of order", "kept too long")


def field_paths(value: object, prefix: tuple = ()) -> Iterator[tuple]:
    """Yields the path of every field that is no struct; of a tuple of structs, those of the first one."""
    if isinstance(value, msgspec.Struct):
        for n, name in enumerate(value.__struct_fields__):
            yield from field_paths(getattr(value, name), (*prefix, n))
    elif isinstance(value, tuple) and value and contains_struct(value):
        yield prefix
        for n in range(len(value) if not isinstance(value[0], tuple) else 1):
            if n == 0 or not isinstance(value[0], type(value[n])):
                yield from field_paths(value[n], (*prefix, n))
    else:
        yield prefix


def contains_struct(value: object) -> bool:
    if isinstance(value, tuple):
        return any(contains_struct(item) for item in value)
    return isinstance(value, msgspec.Struct)


def mutated(value: object, path: tuple, mutation: str, names: list[str]) -> object:
    """Returns the message with one field mutated, or unchanged if the mutation does not apply to it."""
    if not path:
        return false_value(value, mutation, names)
    if isinstance(value, tuple):
        inner = mutated(value[path[0]], path[1:], mutation, names)
        return (*value[: path[0]], inner, *value[path[0] + 1 :])
    name = value.__struct_fields__[path[0]]
    return msgspec.structs.replace(value, **{name: mutated(getattr(value, name), path[1:], mutation, names)})


def false_value(value: object, mutation: str, names: list[str]) -> object:
    """Returns a false value, or the value itself if the mutation does not apply to its type."""
    match value, mutation:
        case (bool(), _):
            return not value
        case (int(), "zero"):
            return 0
        case (int(), "most"):
            return MAX_VALUE
        case (int(), "one less"):
            return max(0, value - 1)
        case (int(), "one more"):
            return value + 1
        case (str(), "another's"):
            return names[(names.index(value) + 1) % len(names)] if value in names else f"{value}x"
        case (str(), "none"):
            return ""
        case (bytes(), _):
            return b"no rows of ours"
        case ((int() as number, str() as speaker), _):
            return false_value(number, mutation, names), false_value(speaker, mutation, names)
        case (tuple() | list(), "none"):
            return ()
        case (dict(), "none"):
            return {}
        case (dict(), "another's"):
            return {false_value(name, mutation, names): one for name, one in value.items()}
        case (_, "none"):
            return None
    return value


class MutatingNetwork:
    """Mixin for a network with a fixed delay and no losses that mutates one of its messages."""

    def select_mutant(self, index: int, mutation: str, path: tuple) -> None:
        self.mutated_index, self.mutation, self.mutated_path = index, mutation, path
        self.message_count, self.applied, self.messages, self.failures = 0, False, [], []

    def transmit(self, message: Message) -> list[tuple[Time, bytes]]:
        data = self.encode_message(message)
        if self.mutated_index < 0:
            self.messages.append(message)
        deliveries = [(0, data)] if self.message_count != self.mutated_index else self.mutate(data, message)
        self.message_count += 1
        return [(STEP + added_delay, payload) for added_delay, payload in deliveries]

    def mutate(self, data: bytes, message: object) -> list[tuple[Time, bytes]]:
        self.applied = True
        match self.mutation:
            case "left out":
                return []
            case "twice":
                return [(0, data), (0, data)]
            case "cut to nothing":
                return [(0, b"")]
            case "cut in half":
                return [(0, data[: len(data) // 2])]
            case "cut by a byte":
                return [(0, data[:-1])]
            case "again much later":
                return [(0, data), (REPLAY_DELAY, data)]
            case "late by 1" | "late by 3" | "late by 40":
                return [(ADDED_DELAY[self.mutation], data)]
        mutated_message = mutated(message, self.mutated_path, self.mutation, self.names)
        self.applied = mutated_message != message
        try:
            return [(0, self.encode_unchecked(mutated_message))]
        except (OverflowError, msgspec.MsgspecError):
            self.applied = False
            return [(0, data)]

    def encode_unchecked(self, message: Message) -> bytes:
        """Encodes a message without checking the bounds of its fields."""
        return encoder.encode(message)

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        """Drops an unreadable message, as a router does, and records any other exception."""
        try:
            super().deliver(sender, to, data)
        except InvalidDatagramError:
            pass
        except Exception as error:
            self.failures.append(f"{to} raised {error!r}")


class MutatedHistoryNet(MutatingNetwork, HistoryNet):
    def __init__(self, seed: int, index: int = -1, mutation: str = "", path: tuple = ()) -> None:
        self.select_mutant(index, mutation, path)
        policy = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)
        super().__init__(seed, ROUTERS, initial_policies(copies=1, default=policy), failure_rate=0.0)

    def script(self) -> "MutatedHistoryNet":
        if not self.wait_until_settled():
            self.failures.append("no view is in force at the start")
            return self
        keys = (f"k{n}" for n in range(1000))
        first = [key for key in keys if holders(slot_of("", key), self.names, 1) == ("n4",)]
        for n in range(6):
            self.ask(self.names[n % ROUTERS], f"t{n}", first[n // 2])
        self.advance(4)
        self.ask("n4", "t6", first[3])
        self.ask("n1", "t0", first[0])
        self.advance(0.5)
        self.kill("n4")  # while one of its own queries runs
        self.advance(0.4)
        self.ask("n0", "t7", "k4")
        self.advance(7)
        for n in range(7):  # what ran is replayed, or rejected as already run
            self.ask(self.names[n % 4], f"t{n}", first[n // 2])
        self.advance(5)
        self.start("n4")  # first holder of these keys again, without any records
        self.advance(14)
        for n in range(4):
            self.ask(self.names[n % 4], f"t{n}", first[n // 2])
        self.advance(5)
        self.request_erasure("n1")
        self.advance(6)
        self.ask("n2", "t0", first[0])  # its record has been erased
        self.advance(4)
        self.ask("n2", "t8", "k8")
        self.advance(5)
        self.cut(["n0"], self.names[1:])
        self.advance(2)
        self.ask("n0", "t8", "k8")
        self.ask("n1", "t9", "k9")
        self.advance(6)
        self.heal()
        self.advance(9)
        self.ask("n2", "t11", "k11")
        self.advance(3)
        victims = holders(slot_of("", "k11"), self.names, 2)  # all holders of the key at once
        for name in victims:
            self.kill(name)
        self.advance(12)
        survivors = [name for name in self.names if name not in victims]
        self.ask(survivors[0], "t11", "k11")
        self.ask(survivors[1], "t10", "k10")
        self.advance(5)
        for name in victims:
            self.start(name)
        if not self.wait_until_settled(40):
            self.failures.append("not settled at the end")
        return self

    def final_state(self) -> dict[str, object]:
        """Returns how often each key ran, the states and rows of its records, and the policies' numbers."""
        kept = {}
        for n in range(KEY_COUNT):
            token = f"t{n}"
            records = [k.record for replica in self.replicas.values() for k in replica.records.all_records()]
            # Records of claims that were released without a run need not be kept, so they are left out.
            states = [
                (r.state, r.rows)
                for r in records
                if r.idempotency_key == token and r.state != RecordState.NOT_RUN
            ]
            kept[token] = len(self.runs[token]), len(states), sorted(set(states))
        return {"kept": kept, "policies": sorted(k.policies.number for k in self.replicas.values())}


def all_mutants(baseline: MutatingNetwork, lies: bool = True) -> list[tuple[int, str, tuple]]:
    """Returns every message with every mutation of it, as (index, mutation, path)."""
    mutants = []
    for index, message in enumerate(baseline.messages):
        mutants += [(index, mutation, ()) for mutation in NETWORK_MUTATIONS]
        if lies:
            mutants += [(index, lie, path) for path in field_paths(message) for lie in BYZANTINE_MUTATIONS]
    return mutants


def sample_mutants(
    baseline: MutatingNetwork, seed: int, max_mutants: int | None, kinds: tuple[type, ...] = MESSAGE_TYPES
) -> list[tuple[int, str, tuple]]:
    """Returns all mutants, or a random sample, balanced by message type since most messages carry slots."""
    mutants = [mutant for mutant in all_mutants(baseline) if isinstance(baseline.messages[mutant[0]], kinds)]
    if max_mutants is None or max_mutants >= len(mutants):
        return mutants
    by_type: dict[type, list] = {kind: [] for kind in kinds}
    for mutant in mutants:
        by_type[type(baseline.messages[mutant[0]])].append(mutant)
    rng, groups = random.Random(seed), [group for group in by_type.values() if group]
    for group in groups:
        rng.shuffle(group)
    return [group[n] for n in range(max(map(len, groups))) for group in groups if n < len(group)][
        :max_mutants
    ]


def run_mutant(
    net: type,
    allowed_violations: tuple[str, ...],
    seed: int,
    index: int,
    mutation: str,
    path: tuple,
    final_state: dict,
) -> tuple[bool, list[str], bool]:
    """Runs one mutant; returns whether it was applied, what it broke, and whether the final state differs."""
    run = net(seed, index, mutation, path).script()
    is_byzantine = mutation in BYZANTINE_MUTATIONS
    broken = run.failures + [
        rule for rule in +run.broken_rules if not (is_byzantine and rule in allowed_violations)
    ]
    return run.applied, broken, not is_byzantine and run.final_state() != final_state


def play(
    seed: int,
    max_mutants: int | None = None,
    jobs: int | None = None,
    net: type = MutatedHistoryNet,
    kinds: tuple[type, ...] = MESSAGE_TYPES,
    allowed_violations: tuple[str, ...] = ALLOWED_VIOLATIONS,
) -> dict[str, object]:
    """Runs all mutants, or `max_mutants` random ones, in `jobs` processes; returns their result counts."""
    baseline = net(seed).script()
    final_state, baseline_violations = (
        baseline.final_state(),
        baseline.failures + list(+baseline.broken_rules),
    )
    mutants = sample_mutants(baseline, seed, max_mutants, kinds)
    kinds_run: Counter[str] = Counter()
    broken, differing, not_applied = [], [], 0
    with worker_pool(jobs) as pool:
        run_one = partial(run_mutant, net, allowed_violations, seed)
        results = pool.map(run_one, *zip(*mutants), repeat(final_state), chunksize=8)
        for (index, mutation, path), (applied, violations, differs) in zip(mutants, results):
            message = type(baseline.messages[index]).__name__
            kinds_run[f"{message} {mutation}"] += 1
            not_applied += not applied
            description = f"message {index}, {message} {mutation} {path}"
            broken += [f"{description}: {violations[0]}"] if violations else []
            differing += [description] if differs else []
    return {
        "messages": len(baseline.messages),
        "mutants": len(mutants),
        "kinds": len(kinds_run),
        "broken": len(broken) + len(baseline_violations),
        "unlike": len(differing),
        "unused": not_applied,
        "first": (baseline_violations + broken + differing)[:8],
    }
