"""Connections to SQL engines that speak Arrow Flight SQL: one gRPC channel per connection, with many calls.

Owns the channels and the calls. Does not decide whether an engine is healthy. What counts as proof that a
query did not run is as strict as on the line protocol: GetFlightInfo runs nothing, so if it fails, the query
did not run; once DoGet or DoPut was called, only an error reason sent by the engine itself can prove that.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import anyio
import anyio.abc
import grpc
import grpc.aio
import orjson

from hillchute.engines import events, words
from hillchute.log import Log
from hillchute.net.fault_barrier import FaultReport
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import error_reason

SECOND = 10_000  # tenths of a millisecond
KEEPALIVE_MS = 1_000  # ping interval and ping timeout: a vanished machine is detected within their sum
MAX_NUMBER = 1e9  # limit of any number in an engine's trailers and load reports
LIVENESS_REPORTS = 4  # number of times that an open channel is reported as alive per silence limit

# Values of AttemptResult, by the error reason in the status details that an engine sends.
RESULT_BY_REASON = {"FULL": "saturated", "STALE": "superseded", "FAILED": "errored"}
# Without such a reason, a call that failed with one of these codes is `severed`, any other `errored`.
CONNECTION_LOST_CODES = (
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.CANCELLED,
    grpc.StatusCode.DEADLINE_EXCEEDED,
)


class Stream:
    """A streamed result. Passes messages on unchanged; each one is fetched when it is read."""

    def __init__(self, connection: "FlightConnection", id: str, call, buffered: list[bytes]) -> None:
        self.connection, self.id, self.call = connection, id, call
        self.buffered = buffered  # messages that were received before the stream was handed out
        self.ended = False
        self.broken = False  # it ended before its last message

    async def read(self) -> bytes | None:
        """The next message; None after the last one, and if the stream breaks off.

        Both are also reported as the end of the run.
        """
        if self.buffered:
            return self.buffered.pop(0)
        if self.ended:
            return None
        try:
            raw = await self.call.read()
        except anyio.get_cancelled_exc_class():
            if self.ended:  # the cancellation comes from close(), not from the reader's own scope
                return None
            raise
        except grpc.aio.AioRpcError as error:
            self.broken = True
            self.finish(attempt_result(error), error.trailing_metadata())
            return None
        if raw is grpc.aio.EOF:
            self.finish("finished", await self.call.trailing_metadata())
            return None
        self.connection.report_alive()
        return raw

    def finish(self, result: str, trailers) -> None:
        """Reports the end of the stream, once."""
        if not self.ended:
            self.ended = True
            self.connection.on_stream_ended(self.id, result, trailers)

    def close(self) -> None:
        """Cancels the call; the end of the stream is not reported."""
        self.broken = self.broken or not self.ended
        self.ended = True
        self.buffered.clear()
        self.call.cancel()


def attempt_result(error: grpc.aio.AioRpcError, may_have_run: bool = True) -> str:
    """The value of the AttemptResult for a failed call; `may_have_run` is false before DoGet and DoPut."""
    result = RESULT_BY_REASON.get(error_reason(error.trailing_metadata()) or "")
    if result is not None:
        return result
    if not may_have_run:
        return "refused_conn"
    return "severed" if error.code() in CONNECTION_LOST_CODES else "errored"


def parse_trailers(trailers) -> tuple[float | None, dict[str, float] | None]:
    """The CPU time in milliseconds and the load report in a call's trailers; invalid numbers are ignored."""
    cpu_ms = report = None
    for name, value in trailers or ():
        if name == "x-hillchute-work":
            cpu_ms = parse_number(value)
        elif name == "x-hillchute-report":
            pairs = (pair.partition(":") for pair in value.split(";"))
            numbers = {n: f for n, _, v in pairs if (f := parse_number(v)) is not None}
            report = numbers or None
    return cpu_ms, report


def parse_number(text: str) -> float | None:
    """A number from 0 to MAX_NUMBER; None for any other text."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= MAX_NUMBER else None


class FlightConnection:
    """A channel to an engine, from the start of the connect on."""

    def __init__(self, owner: "FlightConnections", number: int) -> None:
        self.owner, self.number = owner, number
        self.scope = anyio.CancelScope()
        self.channel: grpc.aio.Channel | None = None
        self.run_scopes: dict[str, anyio.CancelScope] = {}  # by run id, until the run or its stream has ended
        self.streams: dict[str, Stream] = {}  # by run id
        self.unsent_updates: set[str] = set()  # ids of updates that gRPC has not written completely
        self.is_open = False

    def emit(self, message: words.EngineMessage) -> None:
        if self.is_open:
            self.owner.handle(events.MessageReceived(self.number, message))

    def report_alive(self) -> None:
        self.emit(None)

    def on_stream_ended(self, id: str, result: str, trailers) -> None:
        self.streams.pop(id, None)
        self.run_scopes.pop(id, None)
        cpu_ms, report = parse_trailers(trailers)
        self.emit(words.RunEnded(id, result, cpu_ms, report))


class ConnectionLimits(NamedTuple):
    """Time limits of a connection, in tenths of a millisecond."""

    connect_timeout: int
    silence_limit: int  # the reducer closes a connection after so long without a message


class ConnectionCallbacks(NamedTuple):
    """What the connections call."""

    handle: Callable[[events.Event], None]  # receives their events
    send_obstacle: events.SendCheck  # called right before a call that runs a statement
    on_fault: FaultReport


class FlightConnections:
    """All connections to engines."""

    def __init__(
        self,
        settings: Mapping[str, object],
        log: Log,
        limits: ConnectionLimits,
        callbacks: ConnectionCallbacks,
    ) -> None:
        """`settings` are those under `engines` in the operator file."""
        self.settings, self.log = settings, log
        self.handle, self.send_obstacle, self.on_fault = callbacks
        self.connect_timeout = limits.connect_timeout
        self.liveness_interval = max(0.05, limits.silence_limit / SECOND / LIVENESS_REPORTS)  # seconds
        self.connections: dict[int, FlightConnection] = {}  # by number
        self.tasks: anyio.abc.TaskGroup

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to connect."""
        self.tasks = tasks
        connection = self.connections[number] = FlightConnection(self, number)
        tasks.start_soon(
            self.run_isolated,
            self.run_connection,
            connection,
            f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        )

    async def run_isolated(self, function: Callable, *arguments: object) -> None:
        """Runs a function as a task whose failure does not end the router's task group.

        When a call is cancelled, gRPC raises the cancellation in the task that awaits the call. A task that
        ended with it would end the whole router, and so would any exception.
        """
        try:
            await function(*arguments)
        except anyio.get_cancelled_exc_class():
            if self.tasks.cancel_scope.cancel_called:
                raise
        except Exception as error:
            self.on_fault(function.__name__, error)

    def create_channel(self, address: str) -> grpc.aio.Channel:
        options = [
            ("grpc.max_receive_message_length", self.settings["message_bytes"]),
            ("grpc.max_send_message_length", -1),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_MS),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.enable_retries", 0),  # retries are decided by the scheduler
            ("grpc.use_local_subchannel_pool", 1),  # each channel to an engine has its own connection
        ]
        authority = self.settings.get("authority")
        if authority is None:
            return grpc.aio.insecure_channel(address, options=options)
        with open(authority, "rb") as file:
            credentials = grpc.ssl_channel_credentials(file.read())
        return grpc.aio.secure_channel(address, credentials, options=options)

    async def run_connection(self, connection: FlightConnection, address: str) -> None:
        """Serves a connection; one whose handling raises an exception is reported as lost."""
        try:
            await self.serve_connection(connection, address)
        except Exception as error:
            self.on_fault("run_connection", error)
            await self.end_connection(connection, "internal error")

    async def serve_connection(self, connection: FlightConnection, address: str) -> None:
        """Connects, reports the channel as alive while it is open, and reports when it is lost."""
        end_reason = "closed by the router"
        with connection.scope:
            try:
                connection.channel = self.create_channel(address)
                with anyio.fail_after(self.connect_timeout / SECOND):
                    await connection.channel.channel_ready()
            except (OSError, TimeoutError) as error:
                self.connections.pop(connection.number, None)
                await self.close_channel(connection)
                end_reason = str(error) or "connect timed out"
                self.log.write(
                    "connect_failed", connection=connection.number, address=address, reason=end_reason
                )
                self.handle(events.ConnectFailed(connection.number, events.ConnectFailure.UNREACHABLE))
                return
            connection.is_open = True
            self.handle(events.Connected(connection.number))
            end_reason = await self.watch_channel(connection)
        await self.end_connection(connection, end_reason)

    async def end_connection(self, connection: FlightConnection, reason: str) -> None:
        """Ends the runs and streams of a connection, closes its channel, and reports it as lost.

        Nothing is reported after close_connection().
        """
        connection.is_open = False
        known = self.connections.pop(connection.number, None) is not None  # false after close_connection()
        for scope in list(connection.run_scopes.values()):
            scope.cancel()
        for stream in list(connection.streams.values()):
            stream.close()
        with anyio.CancelScope(shield=True):
            await self.close_channel(connection)
        if known:
            self.handle(events.ConnectionLost(connection.number, reason))

    async def close_channel(self, connection: FlightConnection) -> None:
        if connection.channel is not None:
            await connection.channel.close(None)

    async def watch_channel(self, connection: FlightConnection) -> str:
        """Reports the channel as alive until it breaks; returns the reason.

        If the engine closes the channel in an orderly way (GOAWAY), the channel reconnects by itself, and its
        open calls continue.
        """
        while True:
            state = connection.channel.get_state(try_to_connect=True)
            if state in (grpc.ChannelConnectivity.TRANSIENT_FAILURE, grpc.ChannelConnectivity.SHUTDOWN):
                return "broken or closed by the engine"
            if state is grpc.ChannelConnectivity.READY:
                connection.report_alive()
            with anyio.move_on_after(self.liveness_interval):
                await connection.channel.wait_for_state_change(state)

    def close_connection(self, number: int) -> None:
        """Closes a connection; no event follows."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.is_open = False
            connection.scope.cancel()

    # ---- commands ---------------------------------------------------------------------------------

    def send(self, number: int, commands: list[words.Command]) -> None:
        """Starts a call for each command; does nothing if the connection is not open."""
        connection = self.connections.get(number)
        if connection is None or not connection.is_open:
            return
        for command in commands:
            match command:
                case words.StartRun():
                    self.tasks.start_soon(self.run_isolated, self.run, connection, command)
                case words.CancelRun(id) | words.DiscardResult(id):
                    self.cancel(connection, id)
                case words.WithdrawRun(id):
                    self.withdraw(connection, id)
                case words.SetPriority(id, priority):
                    self.tasks.start_soon(
                        self.run_isolated, self.do_action, connection, "hillchute.hurry", f"{id} {priority}"
                    )
                case words.HealthCheckRequest(tag):
                    self.tasks.start_soon(self.run_isolated, self.check_health, connection, tag)

    def cancel(self, connection: FlightConnection, id: str) -> None:
        """Cancels a run and its stream."""
        stream = connection.streams.pop(id, None)
        if stream is not None:
            stream.close()
        scope = connection.run_scopes.pop(id, None)
        if scope is not None:
            scope.cancel()

    def withdraw(self, connection: FlightConnection, id: str) -> None:
        """Cancels an update that gRPC has not written completely; does nothing for any other run.

        Counts as possibly run: gRPC may have finished writing just now.
        """
        if id in connection.unsent_updates and id in connection.run_scopes:
            self.cancel(connection, id)
            connection.emit(words.RunEnded(id, "severed"))

    def check_sendable(self, connection: FlightConnection, run: words.StartRun) -> bool:
        """Returns false for a run that must not be sent any more, and reports it."""
        obstacle = self.send_obstacle(connection.number, run.id)
        if obstacle is not None and connection.run_scopes.pop(run.id, None) is not None:
            self.handle(events.RunNotSent(connection.number, run.id, obstacle))
        return obstacle is None

    def metadata(self, run: words.StartRun | None = None) -> list[tuple[str, str]]:
        """The headers of a call."""
        headers = []
        if self.settings.get("token"):
            headers.append(("authorization", f"Bearer {self.settings['token']}"))
        if run is not None:
            headers += [("x-hillchute-id", run.id), ("x-hillchute-lane", run.group)]
            headers += (
                [("x-hillchute-dedupe", run.idempotency_key)] if run.idempotency_key is not None else []
            )
            headers += [("x-hillchute-rank", str(run.priority))] if run.priority is not None else []
        return headers

    async def run(self, connection: FlightConnection, run: words.StartRun) -> None:
        """Runs a statement; one with an idempotency key is an update, any other a query."""
        scope = connection.run_scopes[run.id] = anyio.CancelScope()
        with scope:
            try:
                if run.idempotency_key is not None:
                    await self.run_update(connection, run)
                else:
                    await self.run_query(connection, run)
            except grpc.aio.AioRpcError as error:
                self.end_run(connection, run, attempt_result(error), error.trailing_metadata())
            except grpc.aio.UsageError:
                self.end_run(connection, run, "severed", None)  # the channel was closed meanwhile
            except anyio.get_cancelled_exc_class():
                if scope.cancel_called or self.tasks.cancel_scope.cancel_called:
                    raise
                # gRPC raises the cancellation of a call in the task that awaits it: only this run ends.
                self.end_run(connection, run, "severed", None)
            except arrow.InvalidFlightDataError as error:
                self.log.write("result_unreadable", connection=connection.number, reason=str(error))
                self.end_run(connection, run, "severed", None)
            except Exception as error:
                self.on_fault("run", error)
                self.end_run(connection, run, "severed", None)

    def end_run(self, connection: FlightConnection, run: words.StartRun, result: str, trailers) -> None:
        """Reports the end of a run without a result, unless the run was cancelled."""
        if connection.run_scopes.pop(run.id, None) is not None:
            cpu_ms, report = parse_trailers(trailers)
            connection.emit(words.RunEnded(run.id, result, cpu_ms, report))

    async def run_query(self, connection: FlightConnection, run: words.StartRun) -> None:
        """Gets the ticket of a query, then its stream up to the first batch; the consumer reads the rest."""
        timeout = run.timeout_ms / 1000
        query = arrow.command_descriptor(sql.CommandStatementQuery(query=run.statement.decode()))
        get_info = connection.channel.unary_unary(f"{arrow.SERVICE_PATH}GetFlightInfo")
        try:
            raw = await get_info(query.SerializeToString(), timeout=timeout, metadata=self.metadata(run))
        except grpc.aio.AioRpcError as error:
            self.end_run(
                connection, run, attempt_result(error, may_have_run=False), error.trailing_metadata()
            )
            return
        info = arrow.parse_message(flight.FlightInfo, raw)
        if len(info.endpoint) != 1:
            raise arrow.InvalidFlightDataError(
                f"expected one endpoint in the FlightInfo, got {len(info.endpoint)}"
            )
        if not self.check_sendable(connection, run):
            return
        ticket = info.endpoint[0].ticket.SerializeToString()
        fetch = connection.channel.unary_stream(f"{arrow.SERVICE_PATH}DoGet")
        call = fetch(ticket, timeout=timeout, metadata=self.metadata(run))
        first = []
        while len(first) < 2:  # the schema and a batch
            raw = await call.read()
            if raw is grpc.aio.EOF:
                break
            if not first and not arrow.parse_message(flight.FlightData, raw).data_header:
                raise arrow.InvalidFlightDataError("the first message of a result has no schema")
            first.append(raw)
            connection.report_alive()
        if run.id not in connection.run_scopes:
            call.cancel()
            return
        stream = Stream(connection, run.id, call, first)
        connection.streams[run.id] = stream
        connection.emit(words.StreamStarted(run.id, stream))

    async def run_update(self, connection: FlightConnection, run: words.StartRun) -> None:
        """Runs an update with DoPut; its result is the number of records changed."""
        if not self.check_sendable(connection, run):
            return
        update = arrow.command_descriptor(sql.CommandStatementUpdate(query=run.statement.decode()))
        message = flight.FlightData(flight_descriptor=update).SerializeToString()
        put = connection.channel.stream_stream(f"{arrow.SERVICE_PATH}DoPut")
        call = put(timeout=run.timeout_ms / 1000, metadata=self.metadata(run))
        connection.unsent_updates.add(run.id)
        try:
            await call.write(message)
        finally:
            connection.unsent_updates.discard(run.id)
        await call.done_writing()
        raw = await call.read()
        if raw is grpc.aio.EOF:
            await call.code()
            raise arrow.InvalidFlightDataError("DoPut ended without a record count")
        result = arrow.parse_message(flight.PutResult, raw)
        count = arrow.parse_message(sql.DoPutUpdateResult, result.app_metadata).record_count
        trailers = await call.trailing_metadata()
        if connection.run_scopes.pop(run.id, None) is not None:
            cpu_ms, report = parse_trailers(trailers)
            connection.emit(
                words.ResultReceived(
                    run.id, [[str(count).encode(), words.CHANGED_COUNT_LABEL, b""]], cpu_ms, report
                )
            )

    async def do_action(self, connection: FlightConnection, kind: str, body: str) -> bytes | None:
        """Calls a custom action of the engines; returns the first result, or None if there is none."""
        call = connection.channel.unary_stream(f"{arrow.SERVICE_PATH}DoAction")
        action = flight.Action(type=kind, body=body.encode()).SerializeToString()
        try:
            async for raw in call(action, timeout=self.connect_timeout / SECOND, metadata=self.metadata()):
                return flight.Result.FromString(raw).body
        except (grpc.aio.AioRpcError, grpc.aio.UsageError):
            return None
        return None

    async def check_health(self, connection: FlightConnection, tag: str) -> None:
        """Requests a load report. If none comes, nothing is reported: the reducer has its own time limit."""
        body = await self.do_action(connection, "hillchute.busy", tag)
        if body is None:
            return
        try:
            values = orjson.loads(body)
            report = {str(n): f for n, v in values.items() if (f := parse_number(str(v))) is not None}
        except (orjson.JSONDecodeError, AttributeError):
            connection.emit(words.HealthCheckAnswer(tag, "errored"))
            return
        connection.emit(words.HealthCheckAnswer(tag, "finished", report))
