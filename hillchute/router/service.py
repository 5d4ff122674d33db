"""Sockets, timers and signals: carries out the effects that the reducer asks for and hands it what happens.

Owns the task groups, the streams and the bytes on their way. Must never change the state of a query, an engine or a
submission, nor decide anything: it turns bytes into events and effects into bytes.
"""

import gc
import signal
import time
import traceback
from collections.abc import Awaitable

import anyio
from anyio.abc import ByteStream, SocketStream

from hillchute.catalog import up
from hillchute.decision.teamwork import Teamwork
from hillchute.router import engine_wire, event_bus, mysql, reducer, statement
from hillchute.router.config import SECOND, Station
from hillchute.router.lifecycle import Lifecycle, Phase
from hillchute.router.log import Log

READ = 65_536  # bytes read at once
HELD = 1_048_576  # bytes waiting for a peer that does not read; then its connection is cut
BUS_SILENCE = 2.5  # seconds without the frame that the protocol promises each second: a new connection
BUS_RETRY = 0.25  # seconds between two tries to reach the event bus
STILL_COMING = 0.7  # seconds after a signal in which clients may still come, by the protocol
LAG = 0.05  # seconds that a timer may come late before it is logged
GONE = (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError, OSError)


def clock() -> int:
    return up(time.time_ns())


class Outbox:
    """Bytes on their way to one peer."""

    def __init__(self) -> None:
        self.bytes = bytearray()
        self.closing = False
        self.filled = anyio.Event()

    def put(self, data: bytes) -> None:
        self.bytes += data
        self.filled.set()

    def close(self) -> None:
        """Ends once all is written."""
        self.closing = True
        self.filled.set()

    async def drain(self, stream: ByteStream, scope: anyio.CancelScope) -> None:
        try:
            while self.bytes or not self.closing:
                if not self.bytes:
                    self.filled = anyio.Event()
                    await self.filled.wait()
                    continue
                data, self.bytes = bytes(self.bytes), bytearray()
                await stream.send(data)
        except GONE:
            pass
        scope.cancel()


class Client:
    def __init__(self, number: int) -> None:
        self.session = mysql.Session(number)
        self.outbox = Outbox()


class Link:
    """A connection to an engine, from the first try on."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        self.scope = anyio.CancelScope()


class Service:
    def __init__(self, station: Station, log: Log, lifecycle: Lifecycle) -> None:
        self.station = station
        self.log = log
        self.lifecycle = lifecycle
        self.most_sessions = station.sockets // 2
        module = Teamwork(station.seed, station.catalog, clock())
        self.reducer = reducer.Reducer(module, station.catalog, station.sockets // 3)
        self.clients: dict[int, Client] = {}
        self.links: dict[int, Link] = {}
        self.sessions = 0
        self.alarm: int | None = None
        self.alarm_set = anyio.Event()
        self.tasks: anyio.abc.TaskGroup

    # ---- events in, effects out -------------------------------------------------------------------

    def handle(self, event: reducer.Event) -> None:
        for effect in self.reducer.reduce(event, clock()):
            self.carry_out(effect)

    def carry_out(self, effect: reducer.Effect) -> None:
        match effect:
            case reducer.Send(line, command):
                if line in self.links:
                    self.links[line].outbox.put(engine_wire.encode(command))
            case reducer.Finish(session, rows):
                self.reply(session, lambda s: s.result(rows))
            case reducer.Defer(session, after):
                hint = f"; come back after {after / 10:g} ms" if after else ""
                self.reply(
                    session, lambda s: s.failed(mysql.REFUSED, f"not run, trying again is harmless{hint}")
                )
            case reducer.Kill(session, why):
                self.reply(session, lambda s: s.failed(mysql.FAILED, why))
            case reducer.Connect(line, host, port):
                self.links[line] = Link()
                self.tasks.start_soon(self.guarded, self.engine_line(line, host, port), f"line {line}")
            case reducer.HangUp(line):
                link = self.links.pop(line, None)
                if link:
                    link.scope.cancel()
            case reducer.Alarm(at):
                self.alarm = at
                self.alarm_set.set()
            case reducer.Note(event, fields):
                self.log.write(event, **fields)

    def reply(self, session: int, encode) -> None:
        client = self.clients.get(session)
        if client is not None:
            client.outbox.put(encode(client.session))
            self.commands(client)

    async def guarded(self, work: Awaitable[None], what: str) -> None:
        """A fault in one session or connection ends that one alone."""
        try:
            await work
        except Exception as fault:
            self.log.write("fault", what=what, why=repr(fault), trace=traceback.format_exc(limit=-6))

    # ---- the life of the program ------------------------------------------------------------------

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            for news in self.station.known:
                self.handle(reducer.Told(news))
            listener = await anyio.create_tcp_listener(
                local_host=self.station.host, local_port=self.station.port
            )
            self.tasks.start_soon(self.watch_signals)
            self.tasks.start_soon(self.ring)
            self.tasks.start_soon(self.follow_bus)
            for one in listener.listeners:
                self.tasks.start_soon(self.accept, one)
            gc.collect()
            gc.freeze()  # what the start has made lives to the end: no later collection need look at it
            self.lifecycle.enter(Phase.SERVING)
            await self.lifecycle.reach(Phase.CLOSING)
            await self.close(listener)
            self.tasks.cancel_scope.cancel()
        self.lifecycle.enter(Phase.STOPPED)

    async def close(self, listener) -> None:
        self.handle(reducer.Closing(clock() + self.station.closing))
        await anyio.sleep(STILL_COMING)
        await listener.aclose()
        while self.reducer.asking:
            await anyio.sleep(0.01)
        self.lifecycle.enter(Phase.FLUSHING)
        with anyio.move_on_after(STILL_COMING):
            while any(client.outbox.bytes for client in self.clients.values()):
                await anyio.sleep(0.01)
            await anyio.sleep(0.05)

    async def watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                self.log.write("signal", number=int(number))
                self.lifecycle.enter(Phase.CLOSING)

    async def ring(self) -> None:
        """Tells the reducer when the time of its alarm has come, and the log when the loop stood still."""
        while True:
            self.alarm_set = anyio.Event()
            wait = 3600.0 if self.alarm is None else (self.alarm - clock()) / SECOND
            if wait > 0:
                with anyio.move_on_after(wait):
                    await self.alarm_set.wait()
            if self.alarm is not None and (late := clock() - self.alarm) >= 0:
                if late > LAG * SECOND:
                    self.log.write("lag", ms=late / 10)
                self.alarm = None
                self.handle(reducer.Tick())
            self.log.flush()

    # ---- clients ----------------------------------------------------------------------------------

    async def accept(self, listener) -> None:
        while True:
            try:
                stream = await listener.accept()
            except anyio.ClosedResourceError:
                return
            except OSError as fault:  # out of descriptors, or a connection that broke before it was taken
                self.log.write("fault", what="accept", why=str(fault))
                await anyio.sleep(0.05)
                continue
            self.sessions += 1
            self.tasks.start_soon(
                self.guarded, self.client(stream, self.sessions), f"session {self.sessions}"
            )

    async def client(self, stream: SocketStream, number: int) -> None:
        client = Client(number)
        async with stream:
            if len(self.clients) >= self.most_sessions:
                await stream.send(client.session.close(mysql.REFUSED, "too many sessions"))
                return
            self.clients[number] = client
            try:
                async with anyio.create_task_group() as tasks:
                    client.outbox.put(client.session.greeting())
                    tasks.start_soon(client.outbox.drain, stream, tasks.cancel_scope)
                    await self.hear_client(stream, client)
                    if client.session.over:
                        client.outbox.close()
                    else:
                        tasks.cancel_scope.cancel()
            finally:
                del self.clients[number]
                self.handle(reducer.Left(number))

    async def hear_client(self, stream: SocketStream, client: Client) -> None:
        while not client.session.over and len(client.outbox.bytes) < HELD:
            try:
                data = await stream.receive(READ)
            except GONE:
                return
            client.outbox.put(client.session.feed(data))
            self.commands(client)

    def commands(self, client: Client) -> None:
        """Acts on the commands whose turn has come."""
        session = client.session
        while True:
            command, out = session.command()
            client.outbox.put(out)
            match command:
                case None:
                    return
                case mysql.Query(text):
                    self.ask(client, text)
                case mysql.KillQuery(number):
                    known = number in self.clients
                    if known:
                        self.handle(reducer.Left(number))
                    done = session.ok() if known else session.failed(mysql.NO_SUCH_THREAD, "no such session")
                    client.outbox.put(done)
                case mysql.Ping():
                    client.outbox.put(session.ok())

    def ask(self, client: Client, text: bytes) -> None:
        try:
            request = statement.read(text)
        except statement.Misread as fault:
            self.log.write("misread", session=client.session.number, why=str(fault))
            client.outbox.put(client.session.failed(mysql.BAD_STATEMENT, str(fault)))
            return
        self.handle(reducer.Asked(client.session.number, request))

    # ---- engines ----------------------------------------------------------------------------------

    async def engine_line(self, number: int, host: str, port: int) -> None:
        link = self.links[number]
        with link.scope:
            try:
                with anyio.fail_after(self.reducer.connect_wait / SECOND):
                    stream = await anyio.connect_tcp(host, port)
            except (OSError, TimeoutError) as fault:
                self.links.pop(number, None)
                self.log.write(
                    "not_connected", line=number, to=f"{host}:{port}", why=str(fault) or "time-out"
                )
                self.handle(reducer.NotConnected(number))
                return
            why = "closed"
            try:
                async with stream, anyio.create_task_group() as tasks:
                    tasks.start_soon(link.outbox.drain, stream, tasks.cancel_scope)
                    self.handle(reducer.Connected(number))
                    why = await self.hear_engine(stream, number, link)
                    tasks.cancel_scope.cancel()
            finally:
                self.links.pop(number, None)
                self.handle(reducer.Lost(number, why))

    async def hear_engine(self, stream: SocketStream, number: int, link: Link) -> str:
        decoder = engine_wire.Decoder()
        while len(link.outbox.bytes) < HELD:
            try:
                data = await stream.receive(READ)
                for answer in decoder.feed(data):
                    self.handle(reducer.Said(number, answer))
            except GONE as fault:
                return type(fault).__name__
            except engine_wire.Unreadable as fault:
                return f"unreadable: {fault}"
        return "it does not read"

    # ---- the event bus ----------------------------------------------------------------------------

    async def follow_bus(self) -> None:
        last = self.station.offset
        while True:
            try:
                with anyio.fail_after(BUS_SILENCE):
                    stream = await anyio.connect_tcp(*self.station.bus)
                async with stream:
                    decoder = event_bus.Decoder()
                    await stream.send(event_bus.subscribe(last))
                    while True:
                        with anyio.fail_after(BUS_SILENCE):
                            data = await stream.receive(READ)
                        for news in decoder.feed(data):
                            last = max(last, news.number)
                            self.handle(reducer.Told(news))
            except (*GONE, TimeoutError, event_bus.Unreadable) as fault:
                self.log.write("bus_lost", why=str(fault) or type(fault).__name__, last=last)
            await anyio.sleep(BUS_RETRY)
