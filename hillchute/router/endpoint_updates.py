"""Watch events of the endpoint list, made fit for the reducer.

Translates engines' start times to the router's clock, and withdraws engines that the settings can't describe.
Keeps no endpoint list: that is the connection pool's.
"""

from collections.abc import Callable

from hillchute.decision.interface import EndpointState, Listing
from hillchute.discovery import event_bus
from hillchute.errors import UnknownEngineKindError
from hillchute.log import Log
from hillchute.net.clock import EngineStartTimes
from hillchute.router.events import EndpointsChanged, Event


class EndpointUpdates:
    """Turns watch events into events for the reducer, given to `handle`.

    `machine_kinds`: an engine's kind is a number below this.
    """

    def __init__(
        self, *, start_times: EngineStartTimes, machine_kinds: int, log: Log, handle: Callable[[Event], None]
    ) -> None:
        self.start_times = start_times
        self.machine_kinds = machine_kinds
        self.log = log
        self.handle = handle

    def on_watch_event(self, update: event_bus.WatchEvent) -> None:
        """Takes in the endpoint list, or a change of it."""
        endpoints = tuple(self._translate(endpoint) for endpoint in update.endpoints)
        self.handle(EndpointsChanged(update._replace(endpoints=endpoints)))

    def _translate(self, endpoint: event_bus.Endpoint) -> event_bus.Endpoint:
        listing = endpoint.listing
        started = self.start_times.to_router_clock(listing.engine, listing.started)
        return endpoint._replace(listing=self._usable(listing._replace(started=started)))

    def _usable(self, listing: Listing) -> Listing:
        """An engine of a kind that the settings do not name gets no query: it counts as draining."""
        if listing.kind < self.machine_kinds:
            return listing
        name = event_bus.engine_name(listing.engine)
        error = UnknownEngineKindError(f"kind {listing.kind} of {self.machine_kinds}", name)
        self.log.write("endpoint_unusable", **error.log_fields)
        gone = listing.state == EndpointState.GONE
        return listing._replace(kind=0, state=EndpointState.GONE if gone else EndpointState.DRAINING)
