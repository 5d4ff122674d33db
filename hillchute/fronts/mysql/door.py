"""The MySQL frontend: accepts connections and serves clients' sessions on sockets.

Owns the listener, the sessions and the limits on them. Queries are put into a queue, cancellations and closed
connections are reported by callback, and answers are supplied by the caller; no query state is kept here.
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
from hillchute.fronts.seats import SessionLimiter
from hillchute.log import Log
from hillchute.net.buffered_socket import BufferedSocket
from hillchute.net.fault_barrier import FaultBarrier, FaultReport
from hillchute.net.poller import Poller
from hillchute.net.system_calls import ABORTED_CONNECTION_ERRNOS
from hillchute.statements import request as statements

READ_BYTES = 16_384  # bytes of one read; small, because there are many clients
MAX_READS_AFTER_CLOSE = 8  # limit on reads of what a client wrote before it closed
# The work that a session gets in one round of the event loop, in commands; the rest waits for the next round.
WORK_PER_ROUND = 8
WORK_AFTER_CLOSE = 256  # of a client that has closed: its last commands may include KILL QUERY
QUERY_WORK = 8  # of one query: parsing it costs as much as so many other commands
RECEIVE_TIME_ERROR = 50  # 5 ms: error of the kernel's receive times
ROWS_PER_WRITE = 256  # rows of a stream written at once, before waiting until the kernel has taken them
SESSION_NUMBERS = 1 << 32  # session numbers are 32 bits wide in the protocol's greeting
WRITTEN_AHEAD = "not run, too much was written ahead of its answers; trying again is harmless"


class QueryQueue(Protocol):
    """The queue of received queries; implemented in round_schedule.py."""

    number: int  # of the round of the event loop
    last_client_activity: Time

    def enqueue(
        self, session: int, request: statements.Request, received_at: Time, ready_at: Time, answer_by: Time
    ) -> None: ...


class Client:
    """One session with its connection and the state beside its packets."""

    __slots__ = (
        "session",
        "buffered_socket",
        "last_served_round",
        "last_answered_at",
        "number",
        "connected_at",
        "logged_in_at",
        "awaits_first_query",
        "stream",
        "output_sent",
        "work_round",
        "work_left",
    )

    def __init__(self, number: int, max_packet_bytes: int) -> None:
        self.number = number
        self.session = packets.Session(number, max_packet_bytes)
        self.buffered_socket: BufferedSocket
        self.last_served_round = 0
        self.last_answered_at = 0  # when its last answer was written
        self.connected_at = 0  # when the connection was established
        self.logged_in_at = 0  # when its login was answered; 0: not yet
        self.awaits_first_query = True  # no query has been received yet
        self.stream: words.Stream | None = None  # the result being delivered
        self.output_sent: anyio.Event | None = None  # set when the kernel has taken all output
        self.work_round = 0  # number of the round that `work_left` is for
        self.work_left = 0

    def has_unread(self) -> bool:
        """Whether the client has sent something that was not handled yet."""
        return self.session.has_command or self.buffered_socket.has_unread()

    @property
    def awaits_work(self) -> bool:
        """Whether a command waits for the next round, or output for the client to read."""
        return self.session.has_command or bool(self.buffered_socket.unsent)

    def begin_work(self, round_number: int, work: int = WORK_PER_ROUND) -> None:
        """Grants the work of a round, once in each round."""
        if self.work_round != round_number:
            self.work_round = round_number
            self.work_left = work

    async def wait_until_sent(self) -> None:
        """Waits until the kernel has taken all output, or the connection is closed."""
        while self.buffered_socket.unsent and not self.buffered_socket.closed:
            self.output_sent = anyio.Event()
            await self.output_sent.wait()


class MysqlFrontend:
    """Accepts connections, and serves the sessions in `clients`, by session number.

    `on_client_gone` is called with the session of a client that cancelled its query or closed its connection.
    `answer_margin` returns how long before the end of a client timeout an answer must be sent.
    `on_stream_delivered` is called when a stream is delivered, `on_stream_unreadable` when a stream can't be
    decoded. `on_fault` is called with an exception in the handling of one session, which is then closed.
    """

    def __init__(
        self,
        max_sessions: int,
        max_packet_bytes: int,
        poller: Poller,
        rounds: QueryQueue,
        log: Log,
        clock: Callable[[], int],
        on_client_gone: Callable[[int], None],
        answer_margin: Callable[[int], int],
        on_stream_delivered: Callable[[int], None],
        on_stream_unreadable: Callable[[int, str], None],
        on_fault: FaultReport,
    ) -> None:
        self.on_fault = on_fault
        self.session_limiter = SessionLimiter(max_sessions)
        self.max_packet_bytes = max_packet_bytes
        self.poller, self.rounds, self.log, self.clock, self.on_client_gone = (
            poller,
            rounds,
            log,
            clock,
            on_client_gone,
        )
        self.system = poller.system
        self.paused = False  # accepting is suspended for lack of descriptors or memory
        self.answer_margin, self.on_stream_delivered, self.on_stream_unreadable = (
            answer_margin,
            on_stream_delivered,
            on_stream_unreadable,
        )
        self.clients: dict[int, Client] = {}
        self.listener: socket.socket | None = None
        self.last_served_round = 0
        # The first session number is derived from the clock, at four numbers per millisecond, so that a
        # restarted router does not reuse numbers: a client may still send KILL QUERY with a number from
        # before the restart. Four, since bursts of connections use more than one number in a millisecond.
        self.last_session = clock() * 4 // 10 % SESSION_NUMBERS

    # ---- new connections --------------------------------------------------------------------------

    def open(self, listener: socket.socket) -> None:
        listener.setblocking(False)
        self.listener = listener
        try:
            self.poller.add(listener, self)
        except OSError as error:
            self.pause(error)

    def close(self) -> None:
        """Closes the listener. Connections that the kernel has queued must be accepted before."""
        if self.listener is not None:
            self.poller.remove(self.listener)
            self.system.close(self.listener)
            self.listener = None

    def accept(self, max_count: int) -> bool:
        """Accepts up to `max_count` connections; returns whether the kernel's queue is empty."""
        # Each session is checked for eviction once, not once for each new connection: after a burst hundreds
        # have unread bytes, and asking the kernel about all of them for each connection delayed the loop.
        evictable = iter(
            list(self.session_limiter.eviction_candidates())
            if self.session_limiter.would_exceed(max_count)
            else ()
        )
        for _ in range(max_count):
            if self.listener is None:
                return True
            try:
                sock = self.system.accept(self.listener)
            except OSError as error:
                if error.errno == errno.EAGAIN:
                    return True
                if error.errno == errno.EINTR or error.errno in ABORTED_CONNECTION_ERRNOS:
                    continue
                self.pause(error)
                return False
            self.rounds.last_client_activity = self.clock()
            try:
                self.start_session(sock, self.evict_session_if_full(evictable))
            except Exception as error:  # noqa: BLE001 - an exception ends only this session
                self.on_fault("start_session", error)
                self.discard_connection(sock)
        return False

    def discard_connection(self, sock: socket.socket) -> None:
        """Closes a connection whose session could not be started, or only in part."""
        client = self.clients.get(self.last_session)
        with FaultBarrier("discard_connection", self.on_fault):
            if client is not None and client.buffered_socket.sock is sock:
                self.drop(client)
            else:
                self.poller.remove(sock)
                self.system.close(sock)

    def pause(self, error: OSError) -> None:
        """Suspends accepting for lack of descriptors or memory; sweep() resumes it."""
        self.paused = True
        self.poller.remove(self.listener)
        self.log.write("fault", **AcceptPausedError(str(error), str(self.listener.getsockname())).log_fields)

    def start_session(self, sock: socket.socket, room: bool) -> None:
        """Starts a session. What was sent along with its login is read at once, as it may be KILL QUERY."""
        self.last_session = (self.last_session + 1) % SESSION_NUMBERS
        client = Client(self.last_session, self.max_packet_bytes)
        try:
            self.system.prepare(sock)
            if not room and self.session_limiter.reserve_full:
                self.system.close(sock)
                return
            client.buffered_socket = BufferedSocket(sock, self.poller, client, READ_BYTES)
        except OSError as error:  # the connection is broken already, or the poller can't add it
            self.log.write("accept_failed", reason=str(error))
            with contextlib.suppress(OSError):
                self.system.close(sock)
            return
        client.connected_at = client.buffered_socket.connected_at(self.clock())
        self.clients[client.number] = client
        if room:
            client.buffered_socket.write(client.session.greeting())
        else:
            client.buffered_socket.write(client.session.close(packets.REFUSED, "too many sessions"))
        self.update_state(client)
        self.read(client)

    def evict_session_if_full(self, evictable: Iterator[int]) -> bool:
        """Makes room for one more session by closing the next suitable one of `evictable`.

        Returns False if there is none. A session with unread input or with unsent bytes of an answer is kept:
        an answer is complete only once the kernel has taken it. `evictable` may be outdated: starting a
        session can run a cancellation, and with it a poll that drops other sessions.
        """
        if not self.session_limiter.full:
            return True
        for number in evictable:
            if not self.session_limiter.may_evict(number):
                continue
            client = self.clients[number]
            if not client.has_unread() and not (client.buffered_socket.unsent and not client.session.closing):
                self.drop(client)
                return True
        return False

    # ---- a session --------------------------------------------------------------------------------

    def ready(self, client: Client, readable: bool, writable: bool, ended: bool = False) -> None:
        """Handles a socket that is readable, writable, or closed by the client."""
        if ended:
            self.ended(client)
            return
        if writable and not client.buffered_socket.closed:
            client.buffered_socket.flush()
            if client.output_sent is not None and not client.buffered_socket.unsent:
                client.output_sent.set()
            self.run_commands(client)
        if readable and not client.buffered_socket.closed:
            self.read(client)

    def ended(self, client: Client) -> None:
        """Handles a connection that the client has closed or reset, even if input before that is unread.

        Queued commands must not delay the detection of the close: queries may run only for a bounded time
        after their client has left (rule 1; lab/rules.py checks the rules). If the session has no query open,
        its input is still read: it may be KILL QUERY for another session.
        """
        client.work_round, client.work_left = self.rounds.number, WORK_AFTER_CLOSE
        for _ in range(MAX_READS_AFTER_CLOSE):
            if (
                client.buffered_socket.closed
                or client.session.busy
                or client.session.closing
                or client.buffered_socket.unsent
            ):
                break
            self.read(client)
        self.drop(client)

    def read(self, client: Client) -> None:
        data = client.buffered_socket.read()
        if data is None:
            return
        if not data:
            self.drop(client)
            return
        now = self.clock()
        self.rounds.last_client_activity = now
        if client.session.closing:
            return  # discarded: closing over unread input would reset the connection and lose the output
        client.session.feed(data, client.buffered_socket.last_received_at(now))
        self.run_commands(client)

    def run_commands(self, client: Client) -> None:
        """Executes queued commands until one must wait for its answer or for the client to read.

        A session gets WORK_PER_ROUND in each round, so that one that sends without pause delays no other.
        """
        session = client.session
        output = bytearray()
        has_progressed = False
        client.begin_work(self.rounds.number)
        while session.has_command and not client.buffered_socket.unsent:  # the next waits for the answer
            if client.work_left <= 0:
                # The poller reports the socket in the next round, or once the client has read its answers.
                self.poller.watch_writing(client.buffered_socket.sock, True)
                break
            has_progressed = True
            taken_before = session.taken_count
            command, out = session.command(client.work_left)
            client.work_left -= session.taken_count - taken_before
            if session.logged_in and not client.logged_in_at:
                client.logged_in_at = self.clock()
            output += out
            if command is not None:
                output += self.execute(client, command)
        if output:
            client.buffered_socket.write(bytes(output))
        if has_progressed:
            self.session_limiter.remove(client.number)  # what is incomplete now has begun after this command
        self.update_state(client)

    def execute(self, client: Client, command: packets.Command) -> bytes:
        """Executes a command; returns its answer, which is empty for a query that is queued."""
        session = client.session
        match command:
            case packets.Query():
                client.work_left -= QUERY_WORK
                if not self.read_ahead(client):
                    self.log.write("query_refused", session=client.number, reason="written too far ahead")
                    return session.error_answer(packets.REFUSED, WRITTEN_AHEAD)
                return b"" if client.buffered_socket.closed else self.enqueue_query(client, command)
            case packets.KillQuery(number):
                if number not in self.clients:
                    return session.error_answer(packets.NO_SUCH_THREAD, "no such session")
                self.on_client_gone(number)
                return session.ok()
            case packets.Ping():
                return session.ok()
        return b""

    def read_ahead(self, client: Client) -> bool:
        """Reads what a client has written behind a query; returns whether nothing is left in the kernel.

        Otherwise the client has written more than a session may hold, and the end of its connection may wait
        behind that, even in the client's own kernel. No query may be started for a client that has left.
        """
        session = client.session
        while session.queue or session.buffer:
            if session.holds_maximum:
                return not client.buffered_socket.has_unread()
            data = client.buffered_socket.read()
            if data is None:
                break
            if not data:
                self.drop(client)
                break
            session.feed(data, client.buffered_socket.last_received_at(self.clock()))
        return True

    def enqueue_query(self, client: Client, query: packets.Query) -> bytes:
        """Queues a query; returns the error to answer if its statement is invalid."""
        try:
            request = statements.parse_statement(query.text)
        except statements.InvalidStatementError as error:
            self.log.write("invalid_query", session=client.number, reason=str(error))
            return client.session.error_answer(packets.BAD_STATEMENT, str(error))
        sent_at = self.earliest_send_time(client, query.received_at)
        answer_by = sent_at + request.client_timeout - self.answer_margin(request.client_timeout)
        self.rounds.enqueue(
            client.number, request, sent_at, max(query.received_at, client.last_answered_at), answer_by
        )
        return b""

    def earliest_send_time(self, client: Client, received_at: int) -> int:
        """The earliest time at which a query may have been sent, given when its last byte was received.

        A first query that was written along with the login counts from the connection: the client's kernel
        holds it back until the login is acknowledged, which takes up to 0.2 s while the router does not read.
        Without this, the query could run past its client timeout (rule 1).
        """
        sent_with_login = (
            client.awaits_first_query and received_at <= client.logged_in_at + RECEIVE_TIME_ERROR
        )
        client.awaits_first_query = False
        return min(received_at, client.connected_at) if sent_with_login else received_at

    def update_state(self, client: Client) -> None:
        """Updates `session_limiter`, whether the session's socket is read, and its half-close."""
        session, number = client.session, client.number
        if client.buffered_socket.closed:
            return
        self.poller.watch_reading(client.buffered_socket.sock, session.closing or not session.full)
        if session.closing and not client.buffered_socket.unsent:
            client.buffered_socket.shutdown_write()
        if session.busy and not session.closing:
            self.session_limiter.mark_busy(number)
        elif session.closing or not session.logged_in or session.buffer or client.awaits_work:
            self.session_limiter.mark_in_step(number, self.clock())
        else:
            self.session_limiter.mark_idle(number)

    def drop(self, client: Client) -> None:
        """Closes a session at once and reports its client as gone."""
        client.session.closing = True
        client.buffered_socket.close()
        if client.output_sent is not None:
            client.output_sent.set()
        if self.clients.pop(client.number, None) is not None:
            self.session_limiter.remove(client.number)
            self.on_client_gone(client.number)

    def sweep(self) -> None:
        """Ends sessions whose step takes too long with an error, and drops those not closed after it.

        The connection is not closed together with the error: closing over unread bytes would reset the
        connection and lose the error. Accepting is also resumed here.
        """
        self.poller.resume()
        if self.listener is not None and self.paused:
            try:
                self.poller.add(self.listener, self)
                self.paused = False
            except OSError as error:
                self.log.write("accept_failed", reason=str(error))
        for number in self.session_limiter.timed_out_sessions(self.clock()):
            if number not in self.session_limiter.incomplete_steps:
                continue  # dropped meanwhile: reporting another client as gone can run a poll
            client = self.clients[number]
            try:
                self.end_timed_out_session(client)
            except Exception as error:  # noqa: BLE001 - an exception ends only this session
                self.end_faulty_session(client, error)

    def end_timed_out_session(self, client: Client) -> None:
        """Ends a session with an error, or drops one that has not been closed or read after that."""
        if client.session.closing or client.buffered_socket.unsent:
            self.drop(client)
            return
        client.buffered_socket.write(
            client.session.close(packets.MALFORMED, "a packet was not complete in time")
        )
        self.session_limiter.remove(client.number)
        self.update_state(client)

    def end_faulty_session(self, client: Client, error: Exception) -> None:
        """Reports an exception in the handling of a session, and drops the session."""
        self.on_fault(type(client).__name__, error)
        with FaultBarrier("drop_session", self.on_fault):
            self.drop(client)

    def close_sessions(self) -> None:
        """Ends every session from this side once its remaining output is sent."""
        for client in list(self.clients.values()):
            try:
                client.session.closing = True
                self.update_state(client)
            except Exception as error:  # noqa: BLE001 - an exception ends only this session
                self.end_faulty_session(client, error)

    def sessions_with_unsent_output(self) -> int:
        """The number of sessions with output that the kernel has not taken."""
        return sum(1 for client in self.clients.values() if client.buffered_socket.unsent)

    # ---- answers ----------------------------------------------------------------------------------

    def finish(self, session: int, rows: list[list[bytes]]) -> None:
        if client := self.clients.get(session):
            self.write_answer(client, client.session.result(rows))

    def reject(self, session: int, retry_after: int) -> None:
        if client := self.clients.get(session):
            hint = f"; come back after {retry_after / 10:g} ms" if retry_after else ""
            self.write_answer(
                client,
                client.session.error_answer(packets.REFUSED, f"not run, trying again is harmless{hint}"),
            )

    def fail(self, session: int, reason: str) -> None:
        if client := self.clients.get(session):
            self.write_answer(client, client.session.error_answer(packets.FAILED, reason))

    async def deliver_stream(self, session: int, stream: words.Stream) -> None:
        """Delivers a stream of Arrow batches as rows, no faster than the client reads."""
        from hillchute.protocol import sql as arrow  # needed only for engines that speak Flight

        client, decoder, has_begun = self.clients.get(session), arrow.BatchDecoder(), False
        if client is None:
            stream.close()
            return
        client.stream = stream
        try:
            while (raw := await stream.read()) is not None:
                batch = decoder.decode(raw)
                if not has_begun and decoder.schema is not None:
                    has_begun = True
                    client.buffered_socket.write(client.session.begin_result(decoder.schema.names))
                rows = list(arrow.to_rows(batch)) if batch is not None else []
                for start in range(0, len(rows), ROWS_PER_WRITE):
                    client.buffered_socket.write(
                        client.session.result_rows(rows[start : start + ROWS_PER_WRITE])
                    )
                    await client.wait_until_sent()
                    if client.buffered_socket.closed or client.stream is not stream:
                        stream.close()
                        return
        except arrow.InvalidFlightDataError as error:
            stream.close()
            self.on_stream_unreadable(session, str(error))
            return
        if client.stream is stream and not stream.broken:
            client.stream = None
            self.on_stream_delivered(session)
            self.write_answer(client, client.session.end_result())

    def abort_stream(self, session: int, reason: str) -> None:
        """Aborts a result that has begun: the protocol allows an error in place of its end."""
        if client := self.clients.get(session):
            client.stream = None
            self.write_answer(client, client.session.error_answer(packets.FAILED, reason))

    def write_answer(self, client: Client, data: bytes) -> None:
        client.last_answered_at = self.clock()
        client.buffered_socket.write(data)
        self.run_commands(client)
