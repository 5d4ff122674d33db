"""One message of the answer history changed at a time: the real code of its holders under a clock and a
network of its own.

A scripted run (queries and resends, a death, a view, a forget, a return, a cut) is played once and its
messages counted; then again, once for each message and each change of it. Owns the script, the changes and
what must hold. Must never know how the code under it comes to what it does. One seed, one run. Played from
hillchute.lab.mutants, which also shows what came of it.

What a network does: left out, twice, late, cut short, recorded and played again much later. Nothing may be
broken, and the end is as it was without. What a liar does: any field at zero, at its most, one off, another's
name. It may make holders forget or believe what never was (docs/history.md says so), but no honest router may
fail at it, answer a client twice, or be kept from going on.
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
from hillchute.lab.history_net import STEP, HistoryNet, founded
from hillchute.lab.workers import worker_pool

LATER: dict[str, Time] = {"late by 1": STEP, "late by 3": 3 * STEP, "late by 40": 40 * STEP}
NETWORK = ("left out", "twice", *LATER, "cut to nothing", "cut in half", "cut by a byte", "again much later")
LIES = ("zero", "most", "one less", "one more", "another's", "none")
MOST = (1 << 62) - 1
MUCH_LATER: Time = 200_000
ROUTERS, TOKENS = 5, 12  # of the script
HARMLESS = ("wrong answer", "ran twice", "out of order", "kept too long")  # what a liar may bring about


def paths(value: object, here: tuple = ()) -> Iterator[tuple]:
    """Every field of a message, down to what is no struct; of a row of structs those of the first."""
    if isinstance(value, msgspec.Struct):
        for n, name in enumerate(value.__struct_fields__):
            yield from paths(getattr(value, name), (*here, n))
    elif isinstance(value, tuple) and value and holds_structs(value):
        yield here
        for n in range(len(value) if not isinstance(value[0], tuple) else 1):
            if n == 0 or not isinstance(value[0], type(value[n])):
                yield from paths(value[n], (*here, n))
    else:
        yield here


def holds_structs(value: object) -> bool:
    if isinstance(value, tuple):
        return any(holds_structs(one) for one in value)
    return isinstance(value, msgspec.Struct)


def changed(value: object, path: tuple, lie: str, names: list[str]) -> object:
    """The message with one field changed; the same one where the change means nothing there."""
    if not path:
        return lied(value, lie, names)
    if isinstance(value, tuple):
        inner = changed(value[path[0]], path[1:], lie, names)
        return (*value[: path[0]], inner, *value[path[0] + 1 :])
    name = value.__struct_fields__[path[0]]
    return msgspec.structs.replace(value, **{name: changed(getattr(value, name), path[1:], lie, names)})


def lied(value: object, lie: str, names: list[str]) -> object:
    match value, lie:
        case (bool(), _):
            return not value
        case (int(), "zero"):
            return 0
        case (int(), "most"):
            return MOST
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
            return lied(number, lie, names), lied(speaker, lie, names)
        case (tuple() | list(), "none"):
            return ()
        case (dict(), "none"):
            return {}
        case (dict(), "another's"):
            return {lied(name, lie, names): one for name, one in value.items()}
        case (_, "none"):
            return None
    return value


class Changing:
    """Over a net without chance in it: one of its messages is changed."""

    def listen(self, at: int, change: str, path: tuple) -> None:
        self.at, self.how, self.path = at, change, path
        self.count, self.used, self.messages, self.raised = 0, False, [], []

    def carried(self, message: Message) -> list[tuple[Time, bytes]]:
        data = self.encoded(message)
        if self.at < 0:
            self.messages.append(message)
        rows = [(0, data)] if self.count != self.at else self.altered(data, message)
        self.count += 1
        return [(STEP + late, one) for late, one in rows]

    def altered(self, data: bytes, message: object) -> list[tuple[Time, bytes]]:
        self.used = True
        match self.how:
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
                return [(0, data), (MUCH_LATER, data)]
            case "late by 1" | "late by 3" | "late by 40":
                return [(LATER[self.how], data)]
        lie = changed(message, self.path, self.how, self.names)
        self.used = lie != message
        try:
            return [(0, self.unchecked(lie))]
        except (OverflowError, msgspec.MsgspecError):
            self.used = False
            return [(0, data)]

    def unchecked(self, message: Message) -> bytes:
        """The bytes, though no honest router would send them."""
        return encoder.encode(message)

    def arrive(self, sender: str, to: str, data: bytes) -> None:
        """As the wiring does it: what can't be read is dropped, and nothing else may be raised."""
        try:
            super().arrive(sender, to, data)
        except InvalidDatagramError:
            pass
        except Exception as fault:
            self.raised.append(f"{to} raised {fault!r}")


class Net(Changing, HistoryNet):
    def __init__(self, seed: int, at: int = -1, change: str = "", path: tuple = ()) -> None:
        self.listen(at, change, path)
        policy = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)
        super().__init__(seed, ROUTERS, founded(copies=1, default=policy), fails=0.0)

    def script(self) -> "Net":
        if not self.settled():
            self.raised.append("no view came into force")
            return self
        keys = (f"k{n}" for n in range(1000))
        first = [key for key in keys if holders(slot_of("", key), self.names, 1) == ("n4",)]
        for n in range(6):
            self.ask(self.names[n % ROUTERS], f"t{n}", first[n // 2])
        self.advance(4)
        self.ask("n4", "t6", first[3])
        self.ask("n1", "t0", first[0])
        self.advance(0.5)
        self.kill("n4")  # with a run of its own out
        self.advance(0.4)
        self.ask("n0", "t7", "k4")
        self.advance(7)
        for n in range(7):  # what ran is answered, or known to have run
            self.ask(self.names[n % 4], f"t{n}", first[n // 2])
        self.advance(5)
        self.start("n4")  # first again for all that, and knows nothing
        self.advance(14)
        for n in range(4):
            self.ask(self.names[n % 4], f"t{n}", first[n // 2])
        self.advance(5)
        self.forget("n1")
        self.advance(6)
        self.ask("n2", "t0", first[0])  # it is not known any more
        self.advance(4)
        self.ask("n2", "t8", "k8")
        self.advance(5)
        self.cut(["n0"], self.names[1:])
        self.advance(2)
        self.ask("n0", "t8", "k8")
        self.ask("n1", "t9", "k9")
        self.advance(6)
        self.mend()
        self.advance(9)
        self.ask("n2", "t11", "k11")
        self.advance(3)
        victims = holders(slot_of("", "k11"), self.names, 2)  # all who have it, at once
        for name in victims:
            self.kill(name)
        self.advance(12)
        left = [name for name in self.names if name not in victims]
        self.ask(left[0], "t11", "k11")
        self.ask(left[1], "t10", "k10")
        self.advance(5)
        for name in victims:
            self.start(name)
        if not self.settled(40):
            self.raised.append("did not come to rest")
        return self

    def end(self) -> dict[str, object]:
        """How often each token ran, what holders have of those that are kept, who has which policies."""
        kept = {}
        for n in range(TOKENS):
            token = f"t{n}"
            records = [k.record for replica in self.replicas.values() for k in replica.records.all_records()]
            # One that was freed says that nothing ran: whether it is still there is no matter.
            states = [
                (r.state, r.rows)
                for r in records
                if r.idempotency_key == token and r.state != RecordState.NOT_RUN
            ]
            kept[token] = len(self.runs[token]), len(states), sorted(set(states))
        return {"kept": kept, "policies": sorted(k.policies.number for k in self.replicas.values())}


def places(plain: Changing, lies: bool = True) -> list[tuple[int, str, tuple]]:
    """Every message with every change of it."""
    some = []
    for at, message in enumerate(plain.messages):
        some += [(at, change, ()) for change in NETWORK]
        if lies:
            some += [(at, lie, path) for path in paths(message) for lie in LIES]
    return some


def drawn(
    plain: Changing, seed: int, most: int | None, kinds: tuple[type, ...] = MESSAGE_TYPES
) -> list[tuple[int, str, tuple]]:
    """All, or so many by chance, of each kind of message as many: most of all are slots on their way."""
    some = [place for place in places(plain) if isinstance(plain.messages[place[0]], kinds)]
    if most is None or most >= len(some):
        return some
    by_kind: dict[type, list] = {kind: [] for kind in kinds}
    for place in some:
        by_kind[type(plain.messages[place[0]])].append(place)
    chance, lines = random.Random(seed), [line for line in by_kind.values() if line]
    for line in lines:
        chance.shuffle(line)
    return [line[n] for n in range(max(map(len, lines))) for line in lines if n < len(line)][:most]


def mutant(
    net: type, harmless: tuple[str, ...], seed: int, at: int, change: str, path: tuple, end: dict
) -> tuple[bool, list[str], bool]:
    """One of them: whether it reached a reader, what it broke, whether the end is another."""
    run = net(seed, at, change, path).script()
    liar = change in LIES
    broken = run.raised + [rule for rule in +run.rule if not (liar and rule in harmless)]
    return run.used, broken, not liar and run.end() != end


def play(
    seed: int,
    most: int | None = None,
    jobs: int | None = None,
    net: type = Net,
    kinds: tuple[type, ...] = MESSAGE_TYPES,
    harmless: tuple[str, ...] = HARMLESS,
) -> dict[str, object]:
    plain = net(seed).script()
    end, faults = plain.end(), plain.raised + list(+plain.rule)
    some = drawn(plain, seed, most, kinds)
    met: Counter[str] = Counter()
    broken, unlike, unused = [], [], 0
    with worker_pool(jobs) as pool:
        one = partial(mutant, net, harmless, seed)
        found = pool.map(one, *zip(*some), repeat(end), chunksize=8)
        for (at, change, path), (used, wrong, other) in zip(some, found):
            message = type(plain.messages[at]).__name__
            met[f"{message} {change}"] += 1
            unused += not used
            what = f"message {at}, {message} {change} {path}"
            broken += [f"{what}: {wrong[0]}"] if wrong else []
            unlike += [what] if other else []
    return {
        "messages": len(plain.messages),
        "mutants": len(some),
        "kinds": len(met),
        "broken": len(broken) + len(faults),
        "unlike": len(unlike),
        "unused": unused,
        "first": (faults + broken + unlike)[:8],
    }
