"""The MySQL front: clients' sessions on sockets, from the first connection to the last byte.

Owns the listener, the sessions, their places and their steps. Must never decide what is answered nor keep a
query's state: what clients ask goes into the rounds, what they give up is told, answers come from outside.
"""

import contextlib
import errno
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

import anyio

from hillchute.decision.interface import Time
from hillchute.engines import words
from hillchute.errors import AcceptPausedError
from hillchute.fronts.mysql import packets
from hillchute.fronts.seats import Seats
from hillchute.log import Log
from hillchute.net.buffered_socket import BufferedSocket
from hillchute.net.poller import Poller
from hillchute.net.system_calls import ABORTED_CONNECTION_ERRNOS
from hillchute.statements import request as statements

READ = 16_384  # bytes read at once from a client: there are many
LAST_READS = 8  # reads at the most of what a client wrote before it closed
COARSE = 50  # 5 ms: by so much a socket's clock may be off
ROWS = 256  # rows of a stream written in one go; then the kernel must have taken them
NUMBERS = 1 << 32  # of sessions, as the protocol's greeting has room for


class Waiting(Protocol):
    """Where queries wait for their turn: see round_schedule.py."""

    last_client_activity: Time

    def enqueue(
        self, session: int, request: statements.Request, received_at: Time, ready_at: Time, answer_by: Time
    ) -> None: ...


class Client:
    """One session, and what is known of it beside its packets."""

    __slots__ = (
        "session",
        "pipe",
        "served",
        "free",
        "number",
        "knocked",
        "let_in",
        "first",
        "stream",
        "empty",
    )

    def __init__(self, number: int, longest: int) -> None:
        self.number = number
        self.session = packets.Session(number, longest)
        self.pipe: BufferedSocket
        self.served = 0
        self.free = 0  # since when nothing of it is open
        self.knocked = 0  # when the kernel took the connection
        self.let_in = 0  # when its login was answered
        self.first = True  # it has not asked anything yet
        self.stream: words.Stream | None = None  # that is being passed on
        self.empty: anyio.Event | None = None  # set when the kernel has taken all

    def unread(self) -> bool:
        return self.pipe.has_unread()

    async def drained(self) -> None:
        """Until the kernel has taken all that was written, or the connection is gone."""
        while self.pipe.unsent and not self.pipe.closed:
            self.empty = anyio.Event()
            await self.empty.wait()


class Door:
    """Sessions by number. `left` is called with the session of a client that gave up, or is gone; `margin`
    tells how long before the end of a patience an answer must be on its way."""

    def __init__(
        self,
        places: int,
        packet: int,
        poller: Poller,
        rounds: Waiting,
        log: Log,
        clock: Callable[[], int],
        left: Callable[[int], None],
        margin: Callable[[int], int],
        passed: Callable[[int], None],
        unreadable: Callable[[int, str], None],
    ) -> None:
        self.seats = Seats(places)
        self.packet = packet
        self.poller, self.rounds, self.log, self.clock, self.left = poller, rounds, log, clock, left
        self.system = poller.system
        self.paused = False  # accepting waits for descriptors or memory
        self.margin, self.passed, self.unreadable = margin, passed, unreadable
        self.clients: dict[int, Client] = {}
        self.listener: socket.socket | None = None
        self.served = 0
        # Numbers of sessions go on from the clock, four to a millisecond: a client may still name one from
        # before a restart, and bursts take more than one in a millisecond.
        self.sessions = clock() * 4 // 10 % NUMBERS

    # ---- new connections --------------------------------------------------------------------------

    def open(self, listener: socket.socket) -> None:
        listener.setblocking(False)
        self.listener = listener
        try:
            self.poller.add(listener, self)
        except OSError as fault:
            self.pause(fault)

    def close(self) -> None:
        """No new connection after this one; what the kernel holds must have been taken before."""
        if self.listener is not None:
            self.poller.remove(self.listener)
            self.system.close(self.listener)
            self.listener = None

    def accept(self, most: int) -> bool:
        """Takes up to so many connections; whether the kernel holds no more."""
        # Each session is asked once for its place, not once for each newcomer: after a burst hundreds have
        # bytes unread, and asking the kernel about all of them again and again made the loop late.
        giving = iter(list(self.seats.give_way()) if self.seats.nearly_full(most) else ())
        for _ in range(most):
            if self.listener is None:
                return True
            try:
                sock = self.system.accept(self.listener)
            except OSError as fault:
                if fault.errno == errno.EAGAIN:
                    return True
                if fault.errno == errno.EINTR or fault.errno in ABORTED_CONNECTION_ERRNOS:
                    continue
                self.pause(fault)
                return False
            self.rounds.last_client_activity = self.clock()
            self.welcome(sock, self.make_room(giving))
        return False

    def pause(self, fault: OSError) -> None:
        """This machine lacks descriptors or memory: connections wait with the kernel until the next sweep."""
        self.paused = True
        self.poller.remove(self.listener)
        self.log.write("fault", **AcceptPausedError(str(fault), str(self.listener.getsockname())).log_fields)

    def welcome(self, sock: socket.socket, room: bool) -> None:
        """A new session. What it wrote along with its login is read at once: it may be KILL QUERY."""
        self.sessions = (self.sessions + 1) % NUMBERS
        client = Client(self.sessions, self.packet)
        try:
            self.system.prepare(sock)
            if not room and self.seats.overfull:
                self.system.close(sock)
                return
            client.pipe = BufferedSocket(sock, self.poller, client, READ)
        except OSError as fault:  # it has broken already, or the poller takes no more
            self.log.write("accept_failed", reason=str(fault))
            with contextlib.suppress(OSError):
                self.system.close(sock)
            return
        client.knocked = client.pipe.connected_at(self.clock())
        self.clients[client.number] = client
        if room:
            client.pipe.write(client.session.greeting())
        else:
            client.pipe.write(client.session.close(packets.REFUSED, "too many sessions"))
        self.stand(client)
        self.read(client)

    def make_room(self, giving: Iterator[int]) -> bool:
        """A place for one more session, from those of `giving` that were not looked at yet. Who has written
        something that was not read yet, or is owed bytes of an answer, keeps its own: the answer is whole
        only once the kernel has taken it."""
        if not self.seats.full:
            return True
        for number in giving:
            client = self.clients[number]
            if not client.unread() and not (client.pipe.unsent and not client.session.over):
                self.drop(client)
                return True
        return False

    # ---- a session --------------------------------------------------------------------------------

    def ready(self, client: Client, readable: bool, writable: bool, ended: bool = False) -> None:
        """Its socket has something to read, takes bytes again, or has come to its end."""
        if ended:
            self.ended(client)
            return
        if writable and not client.pipe.closed:
            client.pipe.flush()
            if client.empty is not None and not client.pipe.unsent:
                client.empty.set()
            self.commands(client)
        if readable and not client.pipe.closed:
            self.read(client)

    def ended(self, client: Client) -> None:
        """The client has closed or reset its connection, whatever stands unread before that.

        Guards rule 1's bound on departed clients: a queue of commands ahead of the end must not hide it. What
        it wrote is still read where no query of its own is open, since that may be KILL QUERY for another."""
        for _ in range(LAST_READS):
            if client.pipe.closed or client.session.busy or client.session.over or client.pipe.unsent:
                break
            self.read(client)
        self.drop(client)

    def read(self, client: Client) -> None:
        data = client.pipe.read()
        if data is None:
            return
        if not data:
            self.drop(client)
            return
        now = self.clock()
        self.rounds.last_client_activity = now
        if client.session.over:
            return  # read and thrown away, so that what was said last is not
        client.session.feed(data, client.pipe.last_received_at(now))
        self.commands(client)

    def commands(self, client: Client) -> None:
        """Acts on the commands whose turn has come."""
        session = client.session
        while not client.pipe.unsent:  # one answer at a time: the next command waits until this one is read
            command, out = session.command()
            if session.logged_in and not client.let_in:
                client.let_in = self.clock()
            if out:
                client.pipe.write(out)
            match command:
                case None:
                    break
                case packets.Query():
                    self.ask(client, command)
                case packets.KillQuery(number):
                    known = number in self.clients
                    if known:
                        self.left(number)
                    unknown = packets.NO_SUCH_THREAD, "no such session"
                    client.pipe.write(session.ok() if known else session.failed(*unknown))
                case packets.Ping():
                    client.pipe.write(session.ok())
        self.stand(client)

    def ask(self, client: Client, query: packets.Query) -> None:
        try:
            request = statements.read(query.text)
        except statements.Misread as fault:
            self.log.write("invalid_query", session=client.number, reason=str(fault))
            client.pipe.write(client.session.failed(packets.BAD_STATEMENT, str(fault)))
            return
        since = self.sent(client, query.since)
        end = since + request.patience - self.margin(request.patience)
        self.rounds.enqueue(client.number, request, since, max(query.since, client.free), end)

    def sent(self, client: Client, came: int) -> int:
        """When a query was sent at the earliest, where its last byte came at a time.

        Guards rule 1 against a first query that was written along with the login: kernels hold it back until
        the login is acknowledged, and that comes up to 0.2 s late while nobody reads here."""
        ahead = client.first and came <= client.let_in + COARSE
        client.first = False
        return min(came, client.knocked) if ahead else came

    def stand(self, client: Client) -> None:
        """Tells the seats how the session stands now."""
        session, number = client.session, client.number
        if client.pipe.closed:
            return
        self.poller.watch_reading(client.pipe.sock, session.over or not session.full)
        if session.over and not client.pipe.unsent:
            client.pipe.shutdown_write()
        if session.busy and not session.over:
            self.seats.ask(number)
        elif session.over or not session.logged_in or session.buffer or client.pipe.unsent:
            self.seats.in_step(number, self.clock())
        else:
            self.seats.rest(number)

    def drop(self, client: Client) -> None:
        """Ends a session: its client is gone, or must go."""
        client.session.over = True
        client.pipe.close()
        if client.empty is not None:
            client.empty.set()
        if self.clients.pop(client.number, None) is not None:
            self.seats.leave(client.number)
            self.left(client.number)

    def sweep(self) -> None:
        """A step of the protocol that takes too long ends with an error; who does not close then is dropped.

        Guards what was written last: a close over unread bytes would reset the connection and take it
        away."""
        self.poller.resume()
        if self.listener is not None and self.paused:
            try:
                self.poller.add(self.listener, self)
                self.paused = False
            except OSError as fault:
                self.log.write("accept_failed", reason=str(fault))
        now = self.clock()
        for number in self.seats.late(now):
            client = self.clients[number]
            if client.session.over or client.pipe.unsent:
                self.drop(client)
                continue
            client.pipe.write(client.session.close(packets.MALFORMED, "a packet was not complete in time"))
            self.seats.leave(number)
            self.stand(client)

    def hang_up(self) -> None:
        """Ends every session from this side, and lets it read what it was answered."""
        for client in list(self.clients.values()):
            client.session.over = True
            self.stand(client)

    def owed(self) -> int:
        """Sessions whose answer the kernel has not taken whole."""
        return sum(1 for client in self.clients.values() if client.pipe.unsent)

    # ---- answers ----------------------------------------------------------------------------------

    def finish(self, session: int, rows: list[list[bytes]]) -> None:
        if client := self.clients.get(session):
            self.answered(client, client.session.result(rows))

    def defer(self, session: int, after: int) -> None:
        if client := self.clients.get(session):
            hint = f"; come back after {after / 10:g} ms" if after else ""
            self.answered(
                client, client.session.failed(packets.REFUSED, f"not run, trying again is harmless{hint}")
            )

    def kill(self, session: int, why: str) -> None:
        if client := self.clients.get(session):
            self.answered(client, client.session.failed(packets.FAILED, why))

    async def pass_on(self, session: int, stream: words.Stream) -> None:
        """Passes a stream of batches on as rows, no faster than its client reads."""
        from hillchute.protocol import sql as arrow  # only where an engine speaks Flight

        client, reading, begun = self.clients.get(session), arrow.Reading(), False
        if client is None:
            stream.close()
            return
        client.stream = stream
        try:
            while (raw := await stream.read()) is not None:
                batch = reading.take(raw)
                if not begun and reading.schema is not None:
                    begun = True
                    client.pipe.write(client.session.begin(reading.schema.names))
                rows = list(arrow.to_rows(batch)) if batch is not None else []
                for start in range(0, len(rows), ROWS):
                    client.pipe.write(client.session.more(rows[start : start + ROWS]))
                    await client.drained()
                    if client.pipe.closed or client.stream is not stream:
                        stream.close()
                        return
        except arrow.Unreadable as fault:
            stream.close()
            self.unreadable(session, str(fault))
            return
        if client.stream is stream and not stream.broken:
            client.stream = None
            self.passed(session)
            self.answered(client, client.session.end())

    def cut(self, session: int, why: str) -> None:
        """A result that was begun can't be ended: the protocol allows an error in the place of its end."""
        if client := self.clients.get(session):
            client.stream = None
            self.answered(client, client.session.failed(packets.FAILED, why))

    def answered(self, client: Client, data: bytes) -> None:
        client.free = self.clock()
        client.pipe.write(data)
        self.commands(client)
