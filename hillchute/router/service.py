"""Sockets, timers and signals: carries out the effects that the reducer asks for and hands it what happens.

Owns the task groups, the streams and the bytes on their way. Must never change the state of a query, an
engine or a submission, nor decide anything: it turns bytes into events and effects into bytes.
"""

import contextlib
import gc
import os
import signal
import socket
import struct
import time
import traceback
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import anyio.lowlevel

from hillchute.catalog import up
from hillchute.decision.teamwork import Teamwork
from hillchute.router import config, engine_wire, event_bus, mysql, reducer, statement
from hillchute.router.config import SECOND, Station
from hillchute.router.lifecycle import Lifecycle, Phase
from hillchute.router.log import Log
from hillchute.router.seats import Seats

READ = 65_536  # bytes read at once from an engine
CLIENT_READ = 16_384  # the same from a client: there are many
TURNS = 4  # full reads in a row; then others get their turn
ACCEPTS = 32  # connections taken in a row: one by one, a burst would wait longer than a key's order allows
HELD = 262_144  # bytes waiting for a peer that does not read; then its connection is cut
SWEEP = 0.1  # seconds between two looks for sessions too long in one step
BUS_SILENCE = 2.5  # seconds without the frame that the protocol promises each second: a new connection
BUS_RETRY = 0.25  # seconds between two tries to reach the event bus
STILL_COMING = 0.7  # seconds after a signal in which clients may still come, by the protocol
COLLECT = (10_000, 10, 10)  # objects made before a collection: the usual 700 are a few queries only
LAG = 0.05  # seconds that a timer may come late before it is logged
LAST_DATA = struct.Struct("=I")  # tcpi_last_data_recv, at byte 52 of Linux's tcp_info
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
GONE = (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError, OSError)


def clock() -> int:
    return up(time.time_ns())


class Pipe:
    """One connection's socket, and the bytes that it has not taken yet.

    Writes go out at once where the socket takes them: a task for each would cost more than the query itself.
    """

    def __init__(self, sock: socket.socket, size: int = READ) -> None:
        self.sock = sock
        self.size = size
        self.left = bytearray()
        self.draining = False
        self.drained: Callable[[], None] | None = None
        self.more = True  # whether the last read was full, so that more is likely there
        self.turns = 0  # full reads in a row
        self.since = 0  # when what was read last had come, by the system's clock

    def put(self, data: bytes, tasks: anyio.abc.TaskGroup) -> None:
        if self.left:
            self.left += data
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # it is broken: whoever reads from it hears of that
        if sent < len(data):
            self.left += data[sent:]
            if not self.draining:
                self.draining = True
                tasks.start_soon(self.drain)

    async def drain(self) -> None:
        try:
            while self.left:
                await anyio.wait_writable(self.sock)
                with contextlib.suppress(BlockingIOError):  # woken for nothing: the bytes are still owed
                    del self.left[: self.sock.send(self.left)]
        except GONE:
            self.left.clear()
        finally:
            self.draining = False
        if self.drained:
            self.drained()

    async def get(self) -> bytes:
        """What has come; empty once the other side has closed or the connection is broken."""
        while len(self.left) < HELD:
            try:
                if not self.more:
                    await anyio.wait_readable(self.sock)
                elif self.turns >= TURNS:
                    self.turns = 0
                    await anyio.lowlevel.checkpoint()  # a peer at full speed must not hold up the others
                data = self.sock.recv(self.size)
                self.more = len(data) == self.size
                self.turns = self.turns + 1 if self.more else 0
                return data
            except BlockingIOError:
                self.more = False
            except GONE:
                break
        return b""

    def unread(self) -> bool:
        """Whether something has come that was not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    async def see_off(self) -> None:
        """Lets the other side read the last answer: a close with bytes unread here would take it away."""
        while self.draining:
            await anyio.sleep(0.01)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            while await self.get():
                pass

    def close(self) -> None:
        """Wakes whoever waits on the socket first: its number may be another connection's a moment later."""
        if self.sock.fileno() >= 0:
            anyio.notify_closing(self.sock)
            self.sock.close()


class Client:
    def __init__(self, number: int, pipe: Pipe, longest: int) -> None:
        self.session = mysql.Session(number, longest)
        self.pipe = pipe


class Link:
    """A connection to an engine, from the first try on."""

    def __init__(self) -> None:
        self.pipe: Pipe | None = None
        self.scope = anyio.CancelScope()


def ms_since_data(sock: socket.socket) -> int:
    """How long ago the last bytes came, in milliseconds: a busy loop reads them late."""
    try:
        return LAST_DATA.unpack_from(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 64), 52)[0]
    except OSError:
        return 0


async def connect(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(BlockingIOError):
            sock.connect((host, port))
        await anyio.wait_writable(sock)
        fault = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if fault:
            raise OSError(fault, os.strerror(fault))
    except BaseException:
        sock.close()
        raise
    return sock


class Service:
    def __init__(self, station: Station, log: Log, lifecycle: Lifecycle) -> None:
        self.station = station
        self.log = log
        self.lifecycle = lifecycle
        self.seats = Seats(station.sockets // 2)
        module = Teamwork(station.seed, station.catalog, clock())
        self.reducer = reducer.Reducer(module, station.catalog, station.sockets // 3)
        self.clients: dict[int, Client] = {}
        self.links: dict[int, Link] = {}
        self.events: deque[reducer.Event] = deque()  # those that came of carrying out an earlier one
        self.handling = False
        # Numbers of sessions go on from the clock: a client may still name one from before a restart.
        self.sessions = time.time_ns() // 1_000_000 % 2**31
        self.followers: list[anyio.CancelScope] = []  # of the event bus, the newest last
        self.alarm: int | None = None
        self.alarm_set = anyio.Event()
        self.tasks: anyio.abc.TaskGroup

    # ---- events in, effects out -------------------------------------------------------------------

    def handle(self, event: reducer.Event) -> None:
        """One event after another: what follows from an effect waits until all effects before are out."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                self.handle_one(self.events.popleft())
        finally:
            self.handling = False

    def handle_one(self, event: reducer.Event) -> None:
        sends: dict[int, bytes] = {}
        for effect in self.reducer.reduce(event, clock()):
            if isinstance(effect, reducer.Send):
                sends[effect.line] = sends.get(effect.line, b"") + engine_wire.encode(effect.command)
            else:
                self.carry_out(effect)
        for line, data in sends.items():
            if line in self.links:
                self.links[line].pipe.put(data, self.tasks)

    def carry_out(self, effect: reducer.Effect) -> None:
        match effect:
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
            client.pipe.put(encode(client.session), self.tasks)
            self.commands(client)

    def seat(self, client: Client) -> None:
        """Tells the seats how the session stands now."""
        session, number = client.session, client.session.number
        if number not in self.clients:
            return
        if session.busy and not session.over:
            self.seats.ask(number)
        elif session.over or not session.logged_in or session.buffer or client.pipe.left:
            self.seats.in_step(number, clock())
        else:
            self.seats.rest(number)

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
            family = socket.AF_INET6 if ":" in self.station.host else socket.AF_INET
            listener = socket.create_server(
                (self.station.host, self.station.port), family=family, backlog=1024
            )
            listener.setblocking(False)
            self.tasks.start_soon(self.watch_signals)
            self.tasks.start_soon(self.ring)
            self.tasks.start_soon(self.end_late_steps)
            self.move_bus()
            self.tasks.start_soon(self.accept, listener)
            gc.collect()
            gc.freeze()  # what the start has made lives to the end: no later collection need look at it
            gc.set_threshold(*COLLECT)
            self.lifecycle.enter(Phase.SERVING)
            await self.lifecycle.reach(Phase.CLOSING)
            await self.close(listener)
            self.tasks.cancel_scope.cancel()
        self.lifecycle.enter(Phase.STOPPED)

    async def close(self, listener) -> None:
        self.handle(reducer.Closing(clock() + self.station.closing))
        await anyio.sleep(STILL_COMING)
        anyio.notify_closing(listener)
        listener.close()
        while self.reducer.asking:
            await anyio.sleep(0.01)
        self.lifecycle.enter(Phase.FLUSHING)
        with anyio.move_on_after(STILL_COMING):
            while any(client.pipe.left for client in self.clients.values()):
                await anyio.sleep(0.01)
            await anyio.sleep(0.05)

    async def watch_signals(self) -> None:
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            async for number in signals:
                self.log.write("signal", number=int(number))
                if number != signal.SIGHUP:
                    self.lifecycle.enter(Phase.CLOSING)
                elif self.lifecycle.enter(Phase.RELOADING):
                    self.reload()
                    self.lifecycle.enter(Phase.SERVING)

    def reload(self) -> None:
        """A new configuration under load. One that can't be read changes nothing."""
        try:
            station = config.read()
        except config.BadConfiguration as fault:
            self.log.write("reload", kept="the running configuration", why=str(fault))
            return
        restart = config.needs_restart(self.station, station)
        self.log.write("reload", bus=list(station.bus), needs_restart=restart)
        self.station = self.station._replace(bus=station.bus)
        for news in station.known:
            self.handle(reducer.Told(news))
        self.move_bus()

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

    async def accept(self, listener: socket.socket) -> None:
        while True:
            if self.sessions % ACCEPTS == 0:
                await anyio.lowlevel.checkpoint()  # those who came before have their turn
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                try:
                    await anyio.wait_readable(listener)
                except anyio.ClosedResourceError:
                    return
                continue
            except OSError as fault:  # out of descriptors, or a connection that broke before it was taken
                if listener.fileno() < 0:
                    return
                self.log.write("fault", what="accept", why=str(fault))
                await anyio.sleep(0.05)
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sessions += 1
            client = Client(self.sessions, Pipe(sock, CLIENT_READ), self.station.packet)
            if self.make_room():
                first = client.session.greeting()
            elif self.seats.overfull:
                client.pipe.close()
                continue
            else:
                first = client.session.close(mysql.REFUSED, "too many sessions")
            client.pipe.put(first, self.tasks)
            self.clients[self.sessions] = client
            self.seat(client)
            self.tasks.start_soon(self.guarded, self.client(client), f"session {self.sessions}")

    def make_room(self) -> bool:
        """A place for one more session. Who has written something that was not read yet keeps its own."""
        if not self.seats.full:
            return True
        for number in self.seats.give_way():
            if not self.clients[number].pipe.unread():
                self.drop(number)
                return True
        return False

    def drop(self, number: int) -> None:
        """Ends a session from this side; its task hears of it later."""
        client = self.clients.pop(number)
        self.seats.leave(number)
        client.session.over = True
        client.pipe.close()

    async def end_late_steps(self) -> None:
        while True:
            await anyio.sleep(SWEEP)
            for number in self.seats.late(clock()):
                session, pipe = self.clients[number].session, self.clients[number].pipe
                if not session.over and not pipe.left:
                    pipe.put(session.close(mysql.MALFORMED, "a packet was not complete in time"), self.tasks)
                self.drop(number)

    async def client(self, client: Client) -> None:
        pipe, number = client.pipe, client.session.number
        try:
            pipe.drained = lambda: self.commands(client)
            await self.hear_client(client)
            if client.session.over:
                await pipe.see_off()
        finally:
            pipe.drained = None
            pipe.close()
            self.clients.pop(number, None)
            self.seats.leave(number)
            self.handle(reducer.Left(number))

    async def hear_client(self, client: Client) -> None:
        while not client.session.over and (data := await client.pipe.get()):
            client.pipe.since = clock() - SECOND // 1000 * ms_since_data(client.pipe.sock)
            out = client.session.feed(data)
            if out:
                client.pipe.put(out, self.tasks)
            self.commands(client)

    def commands(self, client: Client) -> None:
        """Acts on the commands whose turn has come."""
        session = client.session
        while not client.pipe.left:  # one answer at a time: the next command waits until this one is read
            command, out = session.command()
            if out:
                client.pipe.put(out, self.tasks)
            match command:
                case None:
                    break
                case mysql.Query(text):
                    self.ask(client, text)
                case mysql.KillQuery(number):
                    known = number in self.clients
                    if known:
                        self.handle(reducer.Left(number))
                    done = session.ok() if known else session.failed(mysql.NO_SUCH_THREAD, "no such session")
                    client.pipe.put(done, self.tasks)
                case mysql.Ping():
                    client.pipe.put(session.ok(), self.tasks)
        self.seat(client)

    def ask(self, client: Client, text: bytes) -> None:
        try:
            request = statement.read(text)
        except statement.Misread as fault:
            self.log.write("misread", session=client.session.number, why=str(fault))
            client.pipe.put(client.session.failed(mysql.BAD_STATEMENT, str(fault)), self.tasks)
            return
        self.handle(reducer.Asked(client.session.number, request, client.pipe.since))

    # ---- engines ----------------------------------------------------------------------------------

    async def engine_line(self, number: int, host: str, port: int) -> None:
        link = self.links[number]
        with link.scope:
            try:
                with anyio.fail_after(self.reducer.connect_wait / SECOND):
                    sock = await connect(host, port)
            except (OSError, TimeoutError) as fault:
                self.links.pop(number, None)
                self.log.write(
                    "not_connected", line=number, to=f"{host}:{port}", why=str(fault) or "time-out"
                )
                self.handle(reducer.NotConnected(number))
                return
            why = "closed"
            link.pipe = Pipe(sock)
            try:
                with contextlib.closing(link.pipe):
                    self.handle(reducer.Connected(number))
                    why = await self.hear_engine(link.pipe, number)
            finally:
                self.links.pop(number, None)
                self.handle(reducer.Lost(number, why))

    async def hear_engine(self, pipe: Pipe, number: int) -> str:
        decoder = engine_wire.Decoder()
        try:
            while data := await pipe.get():
                for answer in decoder.feed(data):
                    self.handle(reducer.Said(number, answer))
        except engine_wire.Unreadable as fault:
            return f"unreadable: {fault}"
        return "closed by the engine, broken, or not reading"

    # ---- the event bus ----------------------------------------------------------------------------

    def move_bus(self) -> None:
        """Follows the event bus at its address of now. Whoever followed it elsewhere is left once this one
        is up: until then an old event bus may still tell something."""
        scope = anyio.CancelScope()
        self.followers.append(scope)
        self.tasks.start_soon(self.follow_bus, self.station.bus, scope)

    async def follow_bus(self, address: tuple[str, int], scope: anyio.CancelScope) -> None:
        with scope:
            while scope in self.followers:
                try:
                    await self.hear_bus(address, scope)
                except (*GONE, TimeoutError, event_bus.Unreadable) as fault:
                    why = str(fault) or type(fault).__name__
                    self.log.write("bus_lost", why=why, last=self.reducer.told_to)
                if scope is not self.followers[-1]:
                    self.followers.remove(scope)  # the event bus has moved: nothing more is told here
                    return
                await anyio.sleep(BUS_RETRY)

    async def hear_bus(self, address: tuple[str, int], scope: anyio.CancelScope) -> None:
        with anyio.fail_after(BUS_SILENCE):
            stream = await anyio.connect_tcp(*address)
        async with stream:
            decoder = event_bus.Decoder()
            await stream.send(event_bus.subscribe(max(self.reducer.told_to, self.station.offset)))
            while scope is not self.followers[0]:
                self.followers.pop(0).cancel()
            while True:
                # Whole frames count, not bytes: those of later frames could feed one that never ends.
                with anyio.fail_after(BUS_SILENCE):
                    while not (told := list(decoder.feed(await stream.receive(READ)))):
                        pass
                for news in told:
                    self.handle(reducer.Told(news))
