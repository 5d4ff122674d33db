"""Decodes lines of the simulator's text protocol and encodes decisions as such lines.

Nanoseconds are converted to tenths of a millisecond. The clock and durations are rounded up, so that no wait
is too short; a query's deadline is rounded down, so that no answer is late.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

from hillchute.decision.interface import (
    AttemptResult,
    Cancel,
    Decision,
    EndpointEntry,
    EndpointState,
    Fail,
    HealthCheck,
    Reject,
    SetExecutionOptions,
    SetTimer,
    Submit,
    Time,
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
Member = TypeVar("Member", bound=StrEnum)

ABSENT = "-"  # written for a field without a value
MAX_SHOWN_CHARACTERS = 40  # of an invalid value in an error message
RESULT_BY_NAME = {"completed": AttemptResult.SERVED}  # results that the wire spells unlike the enum's values


class MalformedInputError(Exception):
    """A line does not follow the simulator's protocol; the text names the line and the field."""


class Fields:
    """The fields of one line, read in order. The name passed to a read is used in error messages only.

    Each read raises MalformedInputError if the line has no more fields or the value has the wrong type; reads
    of fields that must have a value also raise it for ABSENT. `line_number` counts the input's lines from 1.
    """

    def __init__(self, line: str, line_number: int) -> None:
        self.message, *self._values = line.split(" ")
        self.line_number = line_number
        self._next = 0

    def error(self, detail: str) -> MalformedInputError:
        """An error that names this line and its message."""
        return MalformedInputError(f"line {self.line_number}: {self.message}: {detail}")

    def text(self, field: str) -> str | None:
        """The next field as text; None if absent."""
        if self._next >= len(self._values):
            raise self.error(f"field {field} is missing")
        value = self._values[self._next]
        self._next += 1
        return None if value == ABSENT else value

    def required_text(self, field: str) -> str:
        """The next field as text; must have a value."""
        return self._required(self.text(field), field)

    def optional_integer(self, field: str) -> int | None:
        """The next field as an integer; None if absent."""
        return self._number(field, int)

    def integer(self, field: str, default: int) -> int:
        """The next field as an integer; the default if absent."""
        value = self._number(field, int)
        return default if value is None else value

    def required_integer(self, field: str) -> int:
        """The next field as an integer; must have a value."""
        return self._required(self._number(field, int), field)

    def real(self, field: str, default: float) -> float:
        """The next field as a float; the default if absent."""
        value = self._number(field, float)
        return default if value is None else value

    def instant(self, field: str) -> Time:
        """The next field, nanoseconds, in tenths of a millisecond, rounded up; must have a value."""
        return round_up_to_time_units(self.required_integer(field))

    def deadline(self, field: str) -> Time:
        """The next field, nanoseconds, in tenths of a millisecond, rounded down; must have a value."""
        return round_down_to_time_units(self.required_integer(field))

    def duration(self, field: str) -> Time:
        """The next field, nanoseconds, in tenths of a millisecond, rounded up; 0 if absent."""
        return round_up_to_time_units(self.integer(field, 0))

    def one_of(self, members: type[Member], field: str, default: Member | None = None) -> Member:
        """The next field as an enum member, by value; the default if absent.

        Must have a value if there is no default.
        """
        value = self.text(field)
        if value is None:
            return self._required(default, field)
        try:
            return members(value)
        except ValueError:
            shown = value[:MAX_SHOWN_CHARACTERS]
            raise self.error(f"field {field} has an unknown value: {shown}") from None

    def load_report(self, field: str) -> dict[str, float] | None:
        """The next field as a load report, values by column; None if absent."""
        value = self.text(field)
        if value is None:
            return None
        report = {}
        for pair in value.split(","):
            column, _, value_text = pair.partition(":")
            try:
                report[column] = float(value_text)
            except ValueError:
                shown = pair[:MAX_SHOWN_CHARACTERS]
                raise self.error(f"field {field} is not name:value: {shown}") from None
        return report

    def endpoint_entry(self) -> EndpointEntry:
        """The whole line as one engine of a CENSUS."""
        if self.message != "ENGINE":
            raise self.error("expected an ENGINE line of the CENSUS")
        kind = self.integer("kind", 0)
        cell = self.integer("bay", 0)
        started = self.duration("last_start_ns")
        zone = self.integer("locality", 0)
        state = self.one_of(EndpointState, "availability", EndpointState.READY)
        weight = self.real("nominal", 1.0)
        engine = self.required_integer("engine")
        return EndpointEntry(
            engine=engine, kind=kind, cell=cell, zone=zone, started=started, state=state, weight=weight
        )

    def catalog(self) -> dict[str, object]:
        """All remaining fields, each `path=value`, as the catalog that Settings.from_catalog reads."""
        pairs: list[tuple[str, object]] = []
        for pair in self._values[self._next :]:
            path, separator, value = pair.partition("=")
            if not separator:
                raise self.error(f"setting without a value: {path[:MAX_SHOWN_CHARACTERS]}")
            pairs.append((path, parse_setting(value)))
        return translate_settings(pairs)

    def _number(self, field: str, parse: Callable[[str], Number]) -> Number | None:
        value = self.text(field)
        if value is None:
            return None
        try:
            return parse(value)
        except ValueError:
            shown = value[:MAX_SHOWN_CHARACTERS]
            raise self.error(f"field {field} is not a number: {shown}") from None

    def _required(self, value: Value | None, field: str) -> Value:
        if value is None:
            raise self.error(f"field {field} is absent")
        return value


def parse_setting(value: str) -> object:
    """A setting's value: a list if the text has commas, else a boolean, a number or the text itself."""
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
    """The result of an attempt by its name on the wire; raises MalformedInputError for an unknown name."""
    try:
        return RESULT_BY_NAME.get(value) or AttemptResult(value)
    except ValueError:
        raise MalformedInputError(f"no such result: {value[:MAX_SHOWN_CHARACTERS]}") from None


def health_check_result(value: str) -> AttemptResult:
    """The result of a health check by its name on the wire.

    The protocol's description does not list the reasons of failed checks. An unknown reason tells nothing
    about the engine, so it counts as a check that was not sent.
    """
    try:
        return attempt_result(value)
    except MalformedInputError:
        return AttemptResult.NOT_SENT


def encode(decision: Decision) -> str:
    """The line for a decision; raises ValueError for a decision that the protocol has no message for."""
    match decision:
        case Submit(query, engine, time_limit):
            line = f"PASS_ON {query} {engine} {time_limit * NANOSECONDS_PER_TIME_UNIT}"
        case Reject(query, retry_after):
            line = f"PUSH_BACK {query} {retry_after * NANOSECONDS_PER_TIME_UNIT}"
        case Fail(query):
            line = f"FINISH_ERROR {query}"
        case Cancel(query, attempt):
            line = f"RETRACT {query} {attempt}"
        case SetExecutionOptions(query, memory_mb, priority):
            line = f"SET_TERMS {query} {memory_mb:g} {priority}"
        case HealthCheck(engine):
            line = f"ASK_LOAD {engine}"
        case WatchEndpoints():
            line = "OBSERVE 1"
        case SetTimer(at, name):
            line = f"WAKE_ME {at * NANOSECONDS_PER_TIME_UNIT} {name}"
        case _:
            raise ValueError(f"the simulator's protocol has no message for decision {decision}")
    return line
