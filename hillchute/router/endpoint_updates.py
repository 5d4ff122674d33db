"""Converts watch events of the endpoint list into events for the reducer.

Translates the start times of engines to the router's clock, and marks engines of a kind that the settings do
not name as draining. The connection pool keeps the endpoint list.
"""

from collections.abc import Callable

from hillchute.decision.interface import EndpointEntry, EndpointState
from hillchute.discovery import event_bus
from hillchute.errors import UnknownEngineKindError
from hillchute.log import Log
from hillchute.net.clock import EngineStartTimes
from hillchute.router.events import EndpointsChanged, Event


class EndpointUpdates:
    """Converts watch events and passes the resulting events to `handle`.

    `machine_kinds`: the number of machine kinds that the settings name; valid kinds are below it.
    """

    def __init__(
        self, *, start_times: EngineStartTimes, machine_kinds: int, log: Log, handle: Callable[[Event], None]
    ) -> None:
        self.start_times = start_times
        self.machine_kinds = machine_kinds
        self.log = log
        self.handle = handle

    def on_watch_event(self, update: event_bus.WatchEvent) -> None:
        """Handles the endpoint list or a change of it."""
        endpoints = tuple(self._translate(endpoint) for endpoint in update.endpoints)
        self.handle(EndpointsChanged(update._replace(endpoints=endpoints)))

    def _translate(self, endpoint: event_bus.Endpoint) -> event_bus.Endpoint:
        entry = endpoint.entry
        started = self.start_times.to_router_clock(entry.engine, entry.started)
        return endpoint._replace(entry=self._usable(entry._replace(started=started)))

    def _usable(self, entry: EndpointEntry) -> EndpointEntry:
        """Marks an engine of a kind that the settings do not name as draining, so that it gets no queries."""
        if entry.kind < self.machine_kinds:
            return entry
        name = event_bus.engine_name(entry.engine)
        error = UnknownEngineKindError(f"kind {entry.kind}, settings.kinds has {self.machine_kinds}", name)
        self.log.write("endpoint_unusable", **error.log_fields)
        gone = entry.state == EndpointState.GONE
        return entry._replace(kind=0, state=EndpointState.GONE if gone else EndpointState.DRAINING)
