"""Passes events to the reducer one by one and carries out the resulting effects.

Makes no decisions and keeps no query state. Only the frontends and engine links know protocols.
"""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio.abc

from hillchute.engines import words
from hillchute.fronts.events import FIRST_FLIGHT_SESSION, FIRST_FORWARDED_SESSION, StreamUnreadable
from hillchute.fronts.mysql.door import MysqlFrontend
from hillchute.log import Log
from hillchute.net.clock import Clock
from hillchute.router.alarm import Alarm
from hillchute.router.effects import (
    AbortStream,
    CancelForward,
    ClaimQuery,
    CloseConnection,
    Effect,
    EndClaim,
    FailQuery,
    ForwardQuery,
    OpenConnection,
    RejectQuery,
    SendCommand,
    SendResult,
    SetAlarm,
    StartStream,
    WriteLog,
)
from hillchute.router.event_trace import EventTrace
from hillchute.router.events import Event, describe
from hillchute.router.fault_log import FaultLog
from hillchute.router.integrations.interface import (
    ExtensionEffect,
    ForwardingFrontend,
    Frontend,
    RouterExtension,
)
from hillchute.router.interfaces import EngineLinks, FlightFrontend
from hillchute.router.reducer import Reducer


@dataclass(eq=False, kw_only=True)
class EffectExecutor:
    """Carries out the effects of the reducer, in order.

    An event that arrives while another is being handled is queued until all effects of that one are carried
    out. An exception in one effect is logged and does not prevent the others from being carried out.
    """

    reducer: Reducer
    mysql_frontend: MysqlFrontend
    flight: FlightFrontend | None  # None if the Flight SQL frontend is not enabled
    extension: RouterExtension | None  # None if no peers are configured
    links: EngineLinks
    alarm: Alarm
    trace: EventTrace
    faults: FaultLog
    log: Log
    clock: Clock
    tasks: anyio.abc.TaskGroup = field(init=False)
    """The task group of streams and connections to engines; must be set before the first event."""
    busy: bool = field(init=False, default=False)
    """Whether new events only queue, because one is being handled or events are held."""
    queue: deque[Event] = field(init=False, default_factory=deque)

    # ---- events -----------------------------------------------------------------------------------

    def handle(self, event: Event) -> None:
        """Queues an event; handles it at once unless another is being handled or events are held."""
        self.queue.append(event)
        if not self.busy:
            self._handle_queued()

    @contextmanager
    def events_held(self) -> Iterator[None]:
        """Queues events within this context; the end of the outermost such context handles them."""
        was_busy = self.busy
        self.busy = True
        try:
            yield
        finally:
            self.busy = was_busy
        if not was_busy:
            self._handle_queued()

    def _handle_queued(self) -> None:
        self.busy = True
        try:
            while self.queue:
                self._handle_one(self.queue.popleft())
        finally:
            self.busy = False

    def _handle_one(self, event: Event) -> None:
        """Reduces one event. Commands for an engine connection are sent together, after all other effects."""
        now = self.clock()
        self.trace.record(now, describe(event))
        try:
            effects = self.reducer.reduce(event, now)
        except Exception as error:  # noqa: BLE001 - an exception in one event must not end its sender
            self.faults.write(type(event).__name__, error)
            return
        commands: dict[int, list[words.Command]] = {}
        for effect in effects:
            if isinstance(effect, SendCommand):
                commands.setdefault(effect.connection, []).append(effect.command)
                continue
            try:
                self.carry_out(effect)
            except Exception as error:  # noqa: BLE001 - an exception in one effect must not affect others
                self.faults.write("carry_out", error)
        for connection, batch in commands.items():
            try:
                self.links.send(connection, batch)
            except Exception as error:  # noqa: BLE001 - an exception in one effect must not affect others
                self.faults.write("send", error)

    # ---- effects ----------------------------------------------------------------------------------

    def carry_out(self, effect: Effect) -> None:
        """Carries out any effect but SendCommand. Raises whatever the component that it calls raises."""
        match effect:
            case SetAlarm(due_at):  # the most frequent effects are matched first
                self.alarm.set(due_at)
            case SendResult(session, rows):
                self.frontend_of(session).finish(session, rows)
            case WriteLog(event, fields):
                self._write_log(event, fields)
            case OpenConnection(connection, host, port):
                self.links.open(connection, host, port, self.tasks)
            case CloseConnection(connection):
                self.links.close_connection(connection)
            case StartStream(session, stream):
                self._start_stream(session, stream)
            case AbortStream() | RejectQuery() | FailQuery():
                self._answer_without_result(effect)
            case ClaimQuery() | EndClaim() | ForwardQuery() | CancelForward():
                self._carry_out_in_extension(effect)

    def frontend_of(self, session: int) -> Frontend:
        """Returns the frontend that answers the client of a session.

        MySQL sessions have the lowest numbers; calls of the Flight SQL frontend start at
        FIRST_FLIGHT_SESSION, and queries forwarded by other routers at FIRST_FORWARDED_SESSION.
        """
        if session < FIRST_FLIGHT_SESSION:
            return self.mysql_frontend
        if session >= FIRST_FORWARDED_SESSION:
            return self._forwarding_frontend()
        return self.mysql_frontend if self.flight is None else self.flight

    def _forwarding_frontend(self) -> ForwardingFrontend:
        if self.extension is None or self.extension.forwarded_queries is None:
            raise LookupError("this router accepts no forwarded queries")
        return self.extension.forwarded_queries

    def _answer_without_result(self, effect: AbortStream | RejectQuery | FailQuery) -> None:
        frontend = self.frontend_of(effect.session)
        match effect:
            case RejectQuery(session, retry_after):
                frontend.reject(session, retry_after)
            case FailQuery(session, reason):
                frontend.fail(session, reason)
            case AbortStream(session, reason):
                frontend.abort_stream(session, reason)

    def _carry_out_in_extension(self, effect: ExtensionEffect) -> None:
        if self.extension is None:
            raise LookupError(f"no router extension is enabled to carry out {type(effect).__name__}")
        self.extension.carry_out(effect)

    def _write_log(self, event: str, fields: dict[str, object]) -> None:
        if event != "fault":
            self.log.write(event, **fields)
            return
        count = self.faults.count(str(fields.get("what")))
        self.log.write(event, **fields, count=count)
        self.faults.write_trace()

    # ---- streams ----------------------------------------------------------------------------------

    def _start_stream(self, session: int, stream: words.Stream) -> None:
        if session < FIRST_FLIGHT_SESSION:
            self.tasks.start_soon(self._deliver_stream, session, stream)
        elif session >= FIRST_FORWARDED_SESSION:
            self._forwarding_frontend().start_stream(session, stream)
        elif self.flight is None:
            raise LookupError("the Flight SQL frontend is not enabled")
        else:
            self.flight.start_stream(session, stream)

    async def _deliver_stream(self, session: int, stream: words.Stream) -> None:
        """Passes a stream on to a MySQL client. An exception ends only this stream."""
        try:
            await self.mysql_frontend.deliver_stream(session, stream)
        except BaseException as error:
            if not isinstance(error, Exception) and self.tasks.cancel_scope.cancel_called:
                raise
            self.faults.write("deliver_stream", error)
            stream.close()
            self.handle(StreamUnreadable(session, "a fault of ours"))
