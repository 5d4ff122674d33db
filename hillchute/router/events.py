"""What can happen to a router, as plain values that name no protocol.

Events of clients and of connections to engines are defined by the packages that raise them. Times are whole
tenths of a millisecond.
"""

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from hillchute.decision.interface import EngineId, QueryId, Report, Time
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import Connected, Lost, NotConnected, NotSent, Said
from hillchute.fronts.events import Asked, Left, Passed, Spoilt


class EndpointsChanged(NamedTuple):
    """The endpoint list, or a change of it, has come."""

    update: event_bus.WatchEvent


class PeersChanged(NamedTuple):
    """Other routers passed on load reports, with their ages, or what they lend or who lives has changed."""

    reports: list[tuple[EngineId, Report, Time]]


class ClaimVerdict(StrEnum):
    """What becomes of a query that the answer history was asked about; the values are the trace's words."""

    RUN = "RUN"
    REPLAY = "REPLAY"  # it has run: its client gets the rows
    REJECT = "REJECT"
    FAIL = "FAIL"
    FORWARD = "FORWARD"  # its slot has another owner


class ClaimDecided(NamedTuple):
    """The answer history's verdict on a query; `reason` names the owner where it is to be forwarded.

    Of a query that was forwarded: how it ended, as REPLAY, REJECT or FAIL.
    """

    query: QueryId
    number: int
    verdict: ClaimVerdict
    reason: str
    rows: words.Rows | None


class AlarmDue(NamedTuple):
    """The time of the last SetAlarm has come."""


class ShutdownStarted(NamedTuple):
    """The router ends: every query must be answered by then."""

    answer_by: Time


Event: TypeAlias = (
    Asked
    | Left
    | Passed
    | Spoilt
    | Connected
    | NotConnected
    | NotSent
    | Said
    | Lost
    | EndpointsChanged
    | PeersChanged
    | ClaimDecided
    | AlarmDue
    | ShutdownStarted
)


def describe(event: Event) -> tuple[object, ...]:
    """An event as the trace keeps it: its name, and what identifies its subject."""
    match event:
        case Asked(session, request, since):
            return "Asked", request.id, session, since
        case Said(connection, message):
            return "Said", connection, type(message).__name__, message and message[0]
        case EndpointsChanged(update):
            return "EndpointsChanged", update.offset
        case PeersChanged(reports):
            return "PeersChanged", len(reports)
        case ClaimDecided(query, number, verdict, reason, _):
            return "ClaimDecided", query, number, str(verdict), reason
        case _:
            return type(event).__name__, *event
