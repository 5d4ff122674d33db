"""Lines of the bench's wire to plain values and back: spelling and units only.

Nanoseconds become tenths of a millisecond. The clock and durations round up, a query's end rounds down,
so that nothing waits too short and nothing is answered late.
"""

from hillchute.catalog import translate
from hillchute.decision.interface import Decision, Listing
from hillchute.net.clock import NANOSECONDS_PER_TIME_UNIT, round_up_to_time_units

RESULTS = {"completed": "finished"}  # the wire's endings in our words


class Malformed(Exception):
    """A line that is not what the wire page says."""


class Fields:
    """The values of one line, read in order."""

    def __init__(self, line: str, number: int) -> None:
        self.name, *self.values = line.split(" ")
        self.number = number
        self.at = 0

    def fault(self, what: str) -> Malformed:
        return Malformed(f"line {self.number}: {self.name}: {what}")

    def text(self, field: str) -> str | None:
        if self.at >= len(self.values):
            raise self.fault(f"field {field} is missing")
        value = self.values[self.at]
        self.at += 1
        return None if value == "-" else value

    def number_of(self, field: str, kind: type, default=None):
        value = self.text(field)
        if value is None:
            return default
        try:
            return kind(value)
        except ValueError:
            raise self.fault(f"field {field} is not a number: {value[:40]}") from None

    def integer(self, field: str, default: int | None = None) -> int | None:
        return self.number_of(field, int, default)

    def real(self, field: str, default: float | None = None) -> float | None:
        return self.number_of(field, float, default)

    def needed(self, value, field: str):
        if value is None:
            raise self.fault(f"field {field} is absent")
        return value

    def report(self, field: str) -> dict[str, float] | None:
        value = self.text(field)
        if value is None:
            return None
        report = {}
        for pair in value.split(","):
            name, _, figure = pair.partition(":")
            try:
                report[name] = float(figure)
            except ValueError:
                raise self.fault(f"field {field} is not name:value: {pair[:40]}") from None
        return report

    def listing(self) -> Listing:
        if self.name != "ENGINE":
            raise self.fault("expected an ENGINE line of the CENSUS")
        kind = self.integer("kind", 0)
        cell = self.integer("bay", 0)
        started = round_up_to_time_units(self.integer("last_start_ns", 0))
        zone = self.integer("locality", 0)
        state = self.text("availability") or "Ready"
        nominal = self.real("nominal", 1.0)
        engine = self.needed(self.integer("engine"), "engine")
        return Listing(engine, kind, cell, zone, started, state, nominal)

    def catalog(self) -> dict[str, object]:
        pairs = []
        for pair in self.values[self.at :]:
            path, sign, value = pair.partition("=")
            if not sign:
                raise self.fault(f"setting without a value: {path[:40]}")
            pairs.append((path, plain(value)))
        return translate(pairs)


def plain(value: str) -> object:
    if "," in value:
        return [plain(part) for part in value.split(",")]
    if value in ("true", "false"):
        return value == "true"
    for kind in (int, float):
        try:
            return kind(value)
        except ValueError:
            continue
    return value


def encode(decision: Decision) -> str:
    verb, *values = decision
    match verb:
        case "submit":
            query, engine, within = values
            return f"PASS_ON {query} {engine} {within * NANOSECONDS_PER_TIME_UNIT}"
        case "defer":
            query, after, _ = values
            return f"PUSH_BACK {query} {after * NANOSECONDS_PER_TIME_UNIT}"
        case "kill":
            return f"FINISH_ERROR {values[0]}"
        case "cancel":
            return f"RETRACT {values[0]} {values[1]}"
        case "terms":
            query, megabytes, priority = values
            return f"SET_TERMS {query} {megabytes:g} {priority}"
        case "probe":
            return f"ASK_LOAD {values[0]}"
        case "watch":
            return "OBSERVE 1"
        case "wake":
            at, name = values
            return f"WAKE_ME {at * NANOSECONDS_PER_TIME_UNIT} {name}"
    raise ValueError(f"no wire form for decision {verb}")
