"""Connections to sql engines on Arrow Flight SQL: one channel each, many calls on it.

Owns the channels and the calls. Must never know what a command is for, nor judge an engine. What proves that
nothing ran is as strict as on the line protocol: asking for a FlightInfo runs nothing, so whatever goes wrong
before its ticket is used is a refusal; after that only an engine's own word for it counts.
"""

from collections.abc import Callable, Mapping

import anyio
import anyio.abc
import grpc
import grpc.aio
import orjson

from hillchute.engines import events, words
from hillchute.log import Log
from hillchute.protocol import Flight_pb2 as flight
from hillchute.protocol import FlightSql_pb2 as sql
from hillchute.protocol import sql as arrow
from hillchute.protocol.status import reason

SECOND = 10_000  # tenths of a millisecond
ALIVE = 1_000  # milliseconds between two pings of a channel: a machine that vanished is found within two
LARGEST = 1e9  # of any figure that an engine reports
BEAT = 4  # a line that is up is heard so many times within the time after which it counts as silent

# An engine's own words in a call's details, as endings; every other end of a call that ran is `severed`.
ENDINGS = {"FULL": "saturated", "STALE": "superseded", "FAILED": "errored"}
BROKEN = (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.CANCELLED, grpc.StatusCode.DEADLINE_EXCEEDED)


class Stream:
    """A result as an engine sends it: messages as they are, one at a time, the next when it is asked for."""

    def __init__(self, link: "Link", id: str, call, first: list[bytes]) -> None:
        self.link, self.id, self.call = link, id, call
        self.ahead = first
        self.over = False
        self.broken = False  # it ended before its end

    async def read(self) -> bytes | None:
        """The next message; None after the last, or where the stream broke off: then the query is told so."""
        if self.ahead:
            return self.ahead.pop(0)
        if self.over:
            return None
        try:
            raw = await self.call.read()
        except anyio.get_cancelled_exc_class():
            if self.over:  # closed from this side while it was read: that is no cancel of the reader
                return None
            raise
        except grpc.aio.AioRpcError as fault:
            self.broken = True
            self.ended(ending(fault), fault.trailing_metadata())
            return None
        if raw is grpc.aio.EOF:
            self.ended("finished", await self.call.trailing_metadata())
            return None
        self.link.heard()
        return raw

    def ended(self, result: str, trailers) -> None:
        if not self.over:
            self.over = True
            self.link.tell_end(self.id, result, trailers)

    def close(self) -> None:
        self.broken = self.broken or not self.over
        self.over = True
        self.ahead.clear()
        self.call.cancel()


def ending(fault: grpc.aio.AioRpcError, ran: bool = True) -> str:
    """A call's end as an ending; `ran`: whether anything may have run by then."""
    said = ENDINGS.get(reason(fault.trailing_metadata()) or "")
    if said is not None:
        return said
    if not ran:
        return "refused_conn"
    return "severed" if fault.code() in BROKEN else "errored"


def figures(trailers) -> tuple[float | None, dict[str, float] | None]:
    """The work and the load report in a call's trailers; what is no figure in range is passed over."""
    work = report = None
    for name, value in trailers or ():
        if name == "x-hillchute-work":
            work = figure(value)
        elif name == "x-hillchute-report":
            pairs = (pair.partition(":") for pair in value.split(";"))
            known = {n: f for n, _, v in pairs if (f := figure(v)) is not None}
            report = known or None
    return work, report


def figure(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= LARGEST else None


class Link:
    """A channel to an engine, from the first try on."""

    def __init__(self, links: "Links", number: int) -> None:
        self.links, self.number = links, number
        self.scope = anyio.CancelScope()
        self.channel: grpc.aio.Channel | None = None
        self.runs: dict[str, anyio.CancelScope] = {}
        self.streams: dict[str, Stream] = {}
        self.up = False

    def say(self, what: words.Said) -> None:
        if self.up:
            self.links.handle(events.Said(self.number, what))

    def heard(self) -> None:
        self.say(None)

    def tell_end(self, id: str, result: str, trailers) -> None:
        self.streams.pop(id, None)
        self.runs.pop(id, None)
        work, report = figures(trailers)
        self.say(words.Ended(id, result, work, report))


class Links:
    """Links by number. `handle` takes what happens to them, as the reducer's events."""

    def __init__(
        self,
        settings: Mapping[str, object],
        log: Log,
        handle: Callable[[events.Event], None],
        wait: int,
        silence: int,
    ) -> None:
        """`settings`: the operator file's `engines`; `wait`: how long a connection may take to come up;
        `silence`: how long one may say nothing; both in tenths of a millisecond."""
        self.settings, self.log, self.handle = settings, log, handle
        self.wait, self.beat = wait, max(0.05, silence / SECOND / BEAT)
        self.links: dict[int, Link] = {}
        self.tasks: anyio.abc.TaskGroup

    def open(self, number: int, host: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        link = self.links[number] = Link(self, number)
        tasks.start_soon(self.alone, self.live, link, f"[{host}]:{port}" if ":" in host else f"{host}:{port}")

    async def alone(self, work: Callable, *about: object) -> None:
        """Runs a task of its own. A call that is cancelled brings that up as a cancel in whoever waits for
        it, and a task that ends so would take the whole router with it; so would any fault."""
        try:
            await work(*about)
        except anyio.get_cancelled_exc_class():
            if self.tasks.cancel_scope.cancel_called:
                raise
        except Exception as fault:
            self.log.write("fault", what=work.__name__, reason=repr(fault))

    def channel(self, address: str) -> grpc.aio.Channel:
        options = [
            ("grpc.max_receive_message_length", self.settings["message_bytes"]),
            ("grpc.max_send_message_length", -1),
            ("grpc.keepalive_time_ms", ALIVE),
            ("grpc.keepalive_timeout_ms", ALIVE),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.enable_retries", 0),  # whether to ask again is the module's
            ("grpc.use_local_subchannel_pool", 1),  # two channels to an engine are two connections
        ]
        authority = self.settings.get("authority")
        if authority is None:
            return grpc.aio.insecure_channel(address, options=options)
        with open(authority, "rb") as file:
            credentials = grpc.ssl_channel_credentials(file.read())
        return grpc.aio.secure_channel(address, credentials, options=options)

    async def live(self, link: Link, address: str) -> None:
        """The life of a channel: comes up, beats while it is up, ends when it breaks or is hung up."""
        why = "hung up"
        with link.scope:
            try:
                link.channel = self.channel(address)
                with anyio.fail_after(self.wait / SECOND):
                    await link.channel.channel_ready()
            except (OSError, TimeoutError) as fault:
                self.links.pop(link.number, None)
                await self.close(link)
                why = str(fault) or "time-out"
                self.log.write("connect_failed", connection=link.number, address=address, reason=why)
                self.handle(events.NotConnected(link.number, events.ConnectFault.UNREACHED))
                return
            link.up = True
            self.handle(events.Connected(link.number))
            why = await self.watch(link)
        link.up = False
        known = self.links.pop(link.number, None) is not None
        for scope in list(link.runs.values()):
            scope.cancel()
        for stream in list(link.streams.values()):
            stream.close()
        with anyio.CancelScope(shield=True):
            await self.close(link)
        if known:
            self.handle(events.Lost(link.number, why))

    async def close(self, link: Link) -> None:
        if link.channel is not None:
            await link.channel.close(None)

    async def watch(self, link: Link) -> str:
        """Until the channel breaks. One that the engine ends in good order (GOAWAY) comes up again by itself;
        calls that are open on it go on."""
        while True:
            state = link.channel.get_state(try_to_connect=True)
            if state in (grpc.ChannelConnectivity.TRANSIENT_FAILURE, grpc.ChannelConnectivity.SHUTDOWN):
                return "broken, or closed by the engine"
            if state is grpc.ChannelConnectivity.READY:
                link.heard()
            with anyio.move_on_after(self.beat):
                await link.channel.wait_for_state_change(state)

    def hang_up(self, number: int) -> None:
        link = self.links.pop(number, None)
        if link is not None:
            link.up = False
            link.scope.cancel()

    # ---- commands ---------------------------------------------------------------------------------

    def send(self, number: int, commands: list[words.Command]) -> None:
        link = self.links.get(number)
        if link is None or not link.up:
            return
        for command in commands:
            match command:
                case words.Run():
                    self.tasks.start_soon(self.alone, self.run, link, command)
                case words.GiveUp(id) | words.Unwanted(id):
                    self.give_up(link, id)
                case words.Hurry(id, rank):
                    self.tasks.start_soon(self.alone, self.act, link, "hillchute.hurry", f"{id} {rank}")
                case words.Probe(tag):
                    self.tasks.start_soon(self.alone, self.probe, link, tag)

    def give_up(self, link: Link, id: str) -> None:
        stream = link.streams.pop(id, None)
        if stream is not None:
            stream.close()
        scope = link.runs.pop(id, None)
        if scope is not None:
            scope.cancel()

    def metadata(self, run: words.Run | None = None) -> list[tuple[str, str]]:
        known = []
        if self.settings.get("token"):
            known.append(("authorization", f"Bearer {self.settings['token']}"))
        if run is not None:
            known += [("x-hillchute-id", run.id), ("x-hillchute-lane", run.group)]
            known += [("x-hillchute-dedupe", run.token)] if run.token is not None else []
            known += [("x-hillchute-rank", str(run.rank))] if run.rank is not None else []
        return known

    async def run(self, link: Link, run: words.Run) -> None:
        scope = link.runs[run.id] = anyio.CancelScope()
        with scope:
            try:
                if run.token is not None:
                    await self.put(link, run)
                else:
                    await self.get(link, run)
            except grpc.aio.AioRpcError as fault:
                self.told(link, run, ending(fault), fault.trailing_metadata())
            except grpc.aio.UsageError:
                self.told(link, run, "severed", None)  # the channel was closed meanwhile
            except anyio.get_cancelled_exc_class():
                if scope.cancel_called or self.tasks.cancel_scope.cancel_called:
                    raise
                # A call that was cancelled brings its cancel up in whoever waits for it; that ends it alone.
                self.told(link, run, "severed", None)
            except Exception as fault:
                self.log.write("fault", what=f"run on connection {link.number}", reason=repr(fault))
                self.told(link, run, "severed", None)
            except arrow.Unreadable as fault:
                self.log.write("result_unreadable", connection=link.number, reason=str(fault))
                self.told(link, run, "severed", None)

    def told(self, link: Link, run: words.Run, result: str, trailers) -> None:
        if link.runs.pop(run.id, None) is not None:
            work, report = figures(trailers)
            link.say(words.Ended(run.id, result, work, report))

    async def get(self, link: Link, run: words.Run) -> None:
        """A query: its ticket, then its stream up to the first batch; whoever passes it on reads the rest."""
        timeout = run.within / 1000
        query = arrow.command(sql.CommandStatementQuery(query=run.statement.decode()))
        ask = link.channel.unary_unary(f"{arrow.SERVICE}GetFlightInfo")
        try:
            raw = await ask(query.SerializeToString(), timeout=timeout, metadata=self.metadata(run))
        except grpc.aio.AioRpcError as fault:
            self.told(link, run, ending(fault, ran=False), fault.trailing_metadata())
            return
        info = arrow.read(flight.FlightInfo, raw)
        if len(info.endpoint) != 1:
            raise arrow.Unreadable(f"{len(info.endpoint)} endpoints; one is spoken here")
        ticket = info.endpoint[0].ticket.SerializeToString()
        fetch = link.channel.unary_stream(f"{arrow.SERVICE}DoGet")
        call = fetch(ticket, timeout=timeout, metadata=self.metadata(run))
        first = []
        while len(first) < 2:  # the schema and a batch
            raw = await call.read()
            if raw is grpc.aio.EOF:
                break
            if not first and not arrow.read(flight.FlightData, raw).data_header:
                raise arrow.Unreadable("a result without a schema")
            first.append(raw)
            link.heard()
        if run.id not in link.runs:
            call.cancel()
            return
        stream = Stream(link, run.id, call, first)
        link.streams[run.id] = stream
        link.say(words.Began(run.id, stream))

    async def put(self, link: Link, run: words.Run) -> None:
        """A statement for its effect: one put, one count."""
        update = arrow.command(sql.CommandStatementUpdate(query=run.statement.decode()))
        message = flight.FlightData(flight_descriptor=update).SerializeToString()
        put = link.channel.stream_stream(f"{arrow.SERVICE}DoPut")
        call = put(timeout=run.within / 1000, metadata=self.metadata(run))
        await call.write(message)
        await call.done_writing()
        raw = await call.read()
        if raw is grpc.aio.EOF:
            await call.code()
            raise arrow.Unreadable("a put without a count")
        result = arrow.read(flight.PutResult, raw)
        count = arrow.read(sql.DoPutUpdateResult, result.app_metadata).record_count
        trailers = await call.trailing_metadata()
        if link.runs.pop(run.id, None) is not None:
            work, report = figures(trailers)
            link.say(words.Whole(run.id, [[str(count).encode(), words.CHANGED, b""]], work, report))

    async def act(self, link: Link, kind: str, body: str) -> bytes | None:
        """An action of the engines' own; None where it came to nothing."""
        call = link.channel.unary_stream(f"{arrow.SERVICE}DoAction")
        action = flight.Action(type=kind, body=body.encode()).SerializeToString()
        try:
            async for raw in call(action, timeout=self.wait / SECOND, metadata=self.metadata()):
                return flight.Result.FromString(raw).body
        except (grpc.aio.AioRpcError, grpc.aio.UsageError):
            return None
        return None

    async def probe(self, link: Link, tag: str) -> None:
        body = await self.act(link, "hillchute.busy", tag)
        if body is None:
            return  # an answer that does not come is told by the reducer's own clock
        try:
            known = orjson.loads(body)
            report = {str(n): f for n, v in known.items() if (f := figure(str(v))) is not None}
        except (orjson.JSONDecodeError, AttributeError):
            link.say(words.Probed(tag, "errored"))
            return
        link.say(words.Probed(tag, "finished", report))
