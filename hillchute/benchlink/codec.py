"""Lines of the bench's wire to plain values and back: spelling and units only.

Nanoseconds become tenths of a millisecond. The clock and durations round up, a query's end rounds down,
so that nothing waits too short and nothing is answered late.
"""

from enum import StrEnum
from typing import TypeVar

from hillchute.decision.interface import (
    AttemptResult,
    Cancel,
    Decision,
    EndpointState,
    Fail,
    HealthCheck,
    Listing,
    Reject,
    SetTerms,
    Submit,
    Wake,
    WatchEndpoints,
)
from hillchute.net.clock import NANOSECONDS_PER_TIME_UNIT, round_up_to_time_units
from hillchute.settings_translation import translate_settings

Word = TypeVar("Word", bound=StrEnum)

RESULTS = {"completed": AttemptResult.SERVED}  # the wire's results that are not spelled as the enum's values


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

    def one_of(self, words: type[Word], field: str, default: Word | None = None) -> Word:
        """The member of an enum whose value the field spells."""
        value = self.text(field)
        if value is None:
            return self.needed(default, field)
        try:
            return words(value)
        except ValueError:
            raise self.fault(f"field {field} is not a word of the wire: {value[:40]}") from None

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
        state = self.one_of(EndpointState, "availability", EndpointState.READY)
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
        return translate_settings(pairs)


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


def attempt_result(value: str) -> AttemptResult:
    """The result of an attempt, from the wire's spelling."""
    try:
        return RESULTS.get(value) or AttemptResult(value)
    except ValueError:
        raise Malformed(f"no such result: {value[:40]}") from None


def health_check_result(value: str) -> AttemptResult:
    """The result of a health check; the wire page doesn't list the reasons of those that fail, and one that
    is not known says nothing of the engine."""
    try:
        return attempt_result(value)
    except Malformed:
        return AttemptResult.NOT_SENT


def encode(decision: Decision) -> str:
    match decision:
        case Submit(query, engine, time_limit):
            return f"PASS_ON {query} {engine} {time_limit * NANOSECONDS_PER_TIME_UNIT}"
        case Reject(query, retry_after):
            return f"PUSH_BACK {query} {retry_after * NANOSECONDS_PER_TIME_UNIT}"
        case Fail(query):
            return f"FINISH_ERROR {query}"
        case Cancel(query, attempt):
            return f"RETRACT {query} {attempt}"
        case SetTerms(query, memory_mb, priority):
            return f"SET_TERMS {query} {memory_mb:g} {priority}"
        case HealthCheck(engine):
            return f"ASK_LOAD {engine}"
        case WatchEndpoints():
            return "OBSERVE 1"
        case Wake(at, name):
            return f"WAKE_ME {at * NANOSECONDS_PER_TIME_UNIT} {name}"
    raise ValueError(f"no wire form for decision {decision}")
