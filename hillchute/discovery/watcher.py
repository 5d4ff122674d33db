"""Watches the endpoint list over the event bus, and reconnects when the configuration changes its address.

The only module of the package that performs I/O. Events are interpreted by the callback.
"""

from collections.abc import Callable

import anyio
import anyio.abc

from hillchute.discovery.event_bus import WatchEvent, WatchEventDecoder, encode_subscription
from hillchute.errors import EventBusProtocolError
from hillchute.log import Log
from hillchute.net.fault_barrier import FaultReport

RECEIVE_BYTES = 65_536
IDLE_TIMEOUT = 2.5  # seconds; the event bus sends a frame every second, so a slower connection is dead
RETRY_DELAY = 0.25  # seconds between two connection attempts, before jitter
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
    TimeoutError,
)


class EndpointWatcher:
    """Keeps one watch of the endpoint list open and passes each event to a callback, in order.

    After a change of the address the old watch continues until the new one is connected, since the old event
    bus may still send events; then it is cancelled.
    """

    def __init__(
        self,
        log: Log,
        on_event: Callable[[WatchEvent], None],
        last_offset: Callable[[], int],
        jittered: Callable[[float], float],
        on_fault: FaultReport,
    ) -> None:
        """`last_offset` returns the offset of the last applied event.

        `on_fault` is called with any other exception than those that a connection may raise; the watch then
        reconnects, as after the loss of its connection.

        `jittered` adds jitter to a retry delay in seconds: routers that lose the event bus at the same
        instant must not reconnect at the same instant.
        """
        self.log = log
        self.on_event = on_event
        self.last_offset = last_offset
        self.jittered = jittered
        self.on_fault = on_fault
        self.scopes: list[anyio.CancelScope] = []  # one for each watch, the newest last

    def watch(self, address: tuple[str, int], tasks: anyio.abc.TaskGroup) -> None:
        """Starts a watch at `address` in `tasks`; once connected, it replaces the older ones."""
        scope = anyio.CancelScope()
        self.scopes.append(scope)
        tasks.start_soon(self._reconnect_until_replaced, address, scope)

    async def _reconnect_until_replaced(self, address: tuple[str, int], scope: anyio.CancelScope) -> None:
        with scope:
            while scope in self.scopes:
                try:
                    await self._receive_events(address, scope)
                except (*CONNECTION_ERRORS, EventBusProtocolError) as error:
                    self._log_lost_connection(error)
                except Exception as error:  # noqa: BLE001 - the watch must go on
                    self.on_fault("endpoint_watch", error)
                if scope is not self.scopes[-1]:
                    # The address has changed. A newer watch that has just connected may already have
                    # removed this scope.
                    if scope in self.scopes:
                        self.scopes.remove(scope)
                    return
                await anyio.sleep(self.jittered(RETRY_DELAY))

    async def _receive_events(self, address: tuple[str, int], scope: anyio.CancelScope) -> None:
        """Connects, cancels older watches and passes on events; raises when the connection is lost."""
        with anyio.fail_after(IDLE_TIMEOUT):
            stream = await anyio.connect_tcp(*address)
        async with stream:
            decoder = WatchEventDecoder()
            await stream.send(encode_subscription(self.last_offset()))
            while scope is not self.scopes[0]:
                self.scopes.pop(0).cancel()
            while True:
                for event in await self._next_events(stream, decoder):
                    self.on_event(event)

    async def _next_events(
        self, stream: anyio.abc.SocketStream, decoder: WatchEventDecoder
    ) -> list[WatchEvent]:
        """At least one event; raises TimeoutError if none is complete within IDLE_TIMEOUT.

        The time-out applies to complete frames, not to bytes: otherwise a slow trickle of bytes could keep a
        dead connection open.
        """
        with anyio.fail_after(IDLE_TIMEOUT):
            while True:
                events = list(decoder.feed(await stream.receive(RECEIVE_BYTES)))
                if events:
                    return events

    def _log_lost_connection(self, error: Exception) -> None:
        remedy = error.log_fields if isinstance(error, EventBusProtocolError) else {}
        reason = str(error) or type(error).__name__
        self.log.write("event_bus_lost", reason=reason, last_offset=self.last_offset(), **remedy)
