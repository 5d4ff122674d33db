"""Lines of the simulator's wire to plain values and back: spelling and units only.

Nanoseconds become tenths of a millisecond. The clock and durations round up, a query's deadline rounds down,
so that nothing waits too short and nothing is answered late.
"""

from collections.abc import Callable
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
    Time,
    Wake,
    WatchEndpoints,
)
from hillchute.net.clock import (
    NANOSECONDS_PER_TIME_UNIT,
    round_down_to_time_units,
    round_up_to_time_units,
)
from hillchute.settings_translation import translate_settings

Number = TypeVar("Number", int, float)
Value = TypeVar("Value")
Word = TypeVar("Word", bound=StrEnum)

ABSENT = "-"  # stands where a field has no value
SHOWN_CHARACTERS = 40  # of a wrong value in a message
RESULTS = {"completed": AttemptResult.SERVED}  # the wire's results that are not spelled as the enum's values


class MalformedInputError(Exception):
    """A line that is not what the wire allows; the text names the line and the field."""


class Fields:
    """The fields of one line, read in order; each is read by the name that an error is to give it.

    Reading raises MalformedInputError where a field is missing or not of its kind, and for a `required_` one
    also where it is absent. `line_number` is the line's in the whole input, from 1.
    """

    def __init__(self, line: str, line_number: int) -> None:
        self.message, *self._values = line.split(" ")
        self.line_number = line_number
        self._next = 0

    def error(self, detail: str) -> MalformedInputError:
        """An error of this line."""
        return MalformedInputError(f"line {self.line_number}: {self.message}: {detail}")

    def text(self, field: str) -> str | None:
        """The next field; None where its value is absent."""
        if self._next >= len(self._values):
            raise self.error(f"field {field} is missing")
        value = self._values[self._next]
        self._next += 1
        return None if value == ABSENT else value

    def required_text(self, field: str) -> str:
        """The next field, which must have a value."""
        return self._required(self.text(field), field)

    def optional_integer(self, field: str) -> int | None:
        """The next field, a whole number; None where its value is absent."""
        return self._number(field, int)

    def integer(self, field: str, default: int) -> int:
        """The next field, a whole number; the default where its value is absent."""
        value = self._number(field, int)
        return default if value is None else value

    def required_integer(self, field: str) -> int:
        """The next field, a whole number that must have a value."""
        return self._required(self._number(field, int), field)

    def real(self, field: str, default: float) -> float:
        """The next field, a number; the default where its value is absent."""
        value = self._number(field, float)
        return default if value is None else value

    def instant(self, field: str) -> Time:
        """The next field, nanoseconds that must have a value, in tenths of a millisecond, rounded up."""
        return round_up_to_time_units(self.required_integer(field))

    def deadline(self, field: str) -> Time:
        """The next field, nanoseconds that must have a value, in tenths of a millisecond, rounded down."""
        return round_down_to_time_units(self.required_integer(field))

    def duration(self, field: str) -> Time:
        """The next field, nanoseconds, in tenths of a millisecond, rounded up; 0 where it is absent."""
        return round_up_to_time_units(self.integer(field, 0))

    def one_of(self, words: type[Word], field: str, default: Word | None = None) -> Word:
        """The member of an enum whose value the field spells; it must have a value if there is no default."""
        value = self.text(field)
        if value is None:
            return self._required(default, field)
        try:
            return words(value)
        except ValueError:
            shown = value[:SHOWN_CHARACTERS]
            raise self.error(f"field {field} is not a word of the wire: {shown}") from None

    def load_report(self, field: str) -> dict[str, float] | None:
        """The next field, figures by column; None where its value is absent."""
        value = self.text(field)
        if value is None:
            return None
        report = {}
        for pair in value.split(","):
            column, _, figure = pair.partition(":")
            try:
                report[column] = float(figure)
            except ValueError:
                shown = pair[:SHOWN_CHARACTERS]
                raise self.error(f"field {field} is not name:value: {shown}") from None
        return report

    def listing(self) -> Listing:
        """The whole line, one engine of a CENSUS."""
        if self.message != "ENGINE":
            raise self.error("expected an ENGINE line of the CENSUS")
        kind = self.integer("kind", 0)
        cell = self.integer("bay", 0)
        started = self.duration("last_start_ns")
        zone = self.integer("locality", 0)
        state = self.one_of(EndpointState, "availability", EndpointState.READY)
        nominal = self.real("nominal", 1.0)
        engine = self.required_integer("engine")
        return Listing(
            engine=engine, kind=kind, cell=cell, zone=zone, started=started, state=state, nominal=nominal
        )

    def catalog(self) -> dict[str, object]:
        """All fields that remain, each `path=value`, as the plain catalog of settings."""
        pairs: list[tuple[str, object]] = []
        for pair in self._values[self._next :]:
            path, sign, value = pair.partition("=")
            if not sign:
                raise self.error(f"setting without a value: {path[:SHOWN_CHARACTERS]}")
            pairs.append((path, parse_setting(value)))
        return translate_settings(pairs)

    def _number(self, field: str, parse: Callable[[str], Number]) -> Number | None:
        value = self.text(field)
        if value is None:
            return None
        try:
            return parse(value)
        except ValueError:
            shown = value[:SHOWN_CHARACTERS]
            raise self.error(f"field {field} is not a number: {shown}") from None

    def _required(self, value: Value | None, field: str) -> Value:
        if value is None:
            raise self.error(f"field {field} is absent")
        return value


def parse_setting(value: str) -> object:
    """A setting's value: a list where it has commas, else a truth value, a number or a text."""
    if "," in value:
        return [parse_setting(part) for part in value.split(",")]
    if value in ("true", "false"):
        return value == "true"
    for parse in (int, float):
        try:
            return parse(value)
        except ValueError:
            continue
    return value


def attempt_result(value: str) -> AttemptResult:
    """The result of an attempt, from the wire's spelling."""
    try:
        return RESULTS.get(value) or AttemptResult(value)
    except ValueError:
        raise MalformedInputError(f"no such result: {value[:SHOWN_CHARACTERS]}") from None


def health_check_result(value: str) -> AttemptResult:
    """The result of a health check, from the wire's spelling.

    The wire's description does not list the reasons of those that fail, and one that is not known says
    nothing of the engine.
    """
    try:
        return attempt_result(value)
    except MalformedInputError:
        return AttemptResult.NOT_SENT


def encode(decision: Decision) -> str:
    """The line of a decision; ValueError if the wire has none for it."""
    match decision:
        case Submit(query, engine, time_limit):
            line = f"PASS_ON {query} {engine} {time_limit * NANOSECONDS_PER_TIME_UNIT}"
        case Reject(query, retry_after):
            line = f"PUSH_BACK {query} {retry_after * NANOSECONDS_PER_TIME_UNIT}"
        case Fail(query):
            line = f"FINISH_ERROR {query}"
        case Cancel(query, attempt):
            line = f"RETRACT {query} {attempt}"
        case SetTerms(query, memory_mb, priority):
            line = f"SET_TERMS {query} {memory_mb:g} {priority}"
        case HealthCheck(engine):
            line = f"ASK_LOAD {engine}"
        case WatchEndpoints():
            line = "OBSERVE 1"
        case Wake(at, name):
            line = f"WAKE_ME {at * NANOSECONDS_PER_TIME_UNIT} {name}"
        case _:
            raise ValueError(f"no wire form for decision {decision}")
    return line
