"""The events that a router handles, as plain values that are independent of protocols.

Events of clients and of engine connections are defined in the packages that raise them. Times are integers in
tenths of a millisecond.
"""

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from hillchute.decision.interface import EngineId, QueryId, Report, Time
from hillchute.discovery import event_bus
from hillchute.engines import words
from hillchute.engines.events import Connected, ConnectFailed, ConnectionLost, MessageReceived, RunNotSent
from hillchute.fronts.events import ClientGone, QueryReceived, StreamDelivered, StreamUnreadable


class EndpointsChanged(NamedTuple):
    """The endpoint list, or a change of it, was received."""

    update: event_bus.WatchEvent


class PeersChanged(NamedTuple):
    """Other routers relayed load reports (each with its age), or the live routers or quota leases changed."""

    reports: list[tuple[EngineId, Report, Time]]


class ClaimVerdict(StrEnum):
    """Decision on a claimed query; the values are written to the trace."""

    RUN = "RUN"
    REPLAY = "REPLAY"  # it has already run: its client gets the recorded rows
    REJECT = "REJECT"
    FAIL = "FAIL"
    FORWARD = "FORWARD"  # another partner owns its slot


class ClaimDecided(NamedTuple):
    """The answer history's decision on a claimed query; for FORWARD, `reason` names the owner.

    For a forwarded query, the verdict is its outcome: REPLAY, REJECT or FAIL.
    """

    query: QueryId
    number: int
    verdict: ClaimVerdict
    reason: str
    rows: words.Rows | None


class AlarmDue(NamedTuple):
    """The time of the last SetAlarm has been reached."""


class ShutdownStarted(NamedTuple):
    """The router shuts down; every query must be answered by `answer_by`."""

    answer_by: Time


Event: TypeAlias = (
    QueryReceived
    | ClientGone
    | StreamDelivered
    | StreamUnreadable
    | Connected
    | ConnectFailed
    | RunNotSent
    | MessageReceived
    | ConnectionLost
    | EndpointsChanged
    | PeersChanged
    | ClaimDecided
    | AlarmDue
    | ShutdownStarted
)


def describe(event: Event) -> tuple[object, ...]:
    """Returns the trace entry of an event: its name and the identifiers of its subject."""
    match event:
        case QueryReceived(session, request, received_at):
            return "QueryReceived", request.id, session, received_at
        case MessageReceived(connection, message):
            return "MessageReceived", connection, type(message).__name__, message and message[0]
        case EndpointsChanged(update):
            return "EndpointsChanged", update.offset
        case PeersChanged(reports):
            return "PeersChanged", len(reports)
        case ClaimDecided(query, number, verdict, reason, _):
            return "ClaimDecided", query, number, str(verdict), reason
        case _:
            return type(event).__name__, *event
