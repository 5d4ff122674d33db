"""The schedule of a graceful shutdown: when the router stops accepting, closes its sessions, and exits.

Pure: the caller says after each complete round of the event loop what it sees, and takes the step that is
due. Times are whole tenths of a millisecond, counted from the arrival of SIGTERM:

    answer_by          answers are due by then; queries that come later are answered at once
    close_sessions_by  sessions are closed: LAST_WAIT after `answer_by`, and not while clients still come
    exit_by            the process begins to exit
    kill_at            SIGKILL may come, EXIT_TIME later

Every query gets its answer, on a full core too: what the kernel has taken for this process counts as
received, so no session is closed for the sake of a time alone before `close_sessions_by`.
"""

from enum import Enum
from typing import NamedTuple

from hillchute.decision.interface import Time

KILL_AFTER: Time = 7_000  # the protocol: SIGKILL comes 0.7 s after the longest client timeout at the earliest
CLIENTS_COME: Time = 6_000  # the protocol: connections for 0.4 s after the signal, then queries for 0.2 s
QUIET: Time = 1_000  # 0.1 s without a byte or a connection, and with nothing open: no client is on its way
STILL_COMING: Time = 7_000  # a quiet router closes no earlier, where its longest timeout leaves the time
LAST_WAIT: Time = 4_000  # 0.4 s past `answer_by` in which nothing is waited for; at most the longest timeout
LEAST_READ_TIME: Time = 2_000  # for clients to read the last answer and close their connections themselves
READ_TIME: Time = 3_000  # the same, where there is time
EXIT_TIME: Time = 1_000  # for tasks, sockets and the interpreter to end


class ShutdownStep(Enum):
    """What the router does now."""

    ACCEPT = "accept"
    CLOSE_SESSIONS = "close sessions"
    EXIT = "exit"


class ClientActivity(NamedTuple):
    """What the router sees of its clients at a time."""

    now: Time
    last_activity: Time  # when a byte or a connection last came from a client
    open_queries: int  # without an answer yet
    unsent_answers: int  # sessions whose last answer the kernel has not taken completely


class ShutdownSchedule:
    """The times of one shutdown, and how far it has come."""

    def __init__(self, signalled_at: Time, longest_timeout: Time, loop_lag: Time) -> None:
        """`longest_timeout`: of a client, as far as the shutdown waits for it; `loop_lag`: how much later
        than it came the signal may have been seen, as the process may have stood still."""
        self.signalled_at = signalled_at
        self.kill_at = signalled_at + longest_timeout + KILL_AFTER
        self.exit_by = self.kill_at - EXIT_TIME
        self.close_sessions_by = max(signalled_at + CLIENTS_COME, self.exit_by - LEAST_READ_TIME)
        last_wait = min(LAST_WAIT, longest_timeout)
        self.answer_by = self.close_sessions_by - last_wait - min(loop_lag, longest_timeout // 4)
        self.sessions_closed_at: Time | None = None

    def may_close_sessions(self, seen: ClientActivity) -> bool:
        """Whether sessions may be closed without a client losing an answer that it could have had."""
        if seen.now >= self.close_sessions_by:
            return True
        if seen.now < self.signalled_at + CLIENTS_COME or seen.open_queries:
            return False
        if seen.now >= self.answer_by + QUIET:
            return True
        quiet_since = max(seen.last_activity, self.signalled_at)
        quiet = seen.now - quiet_since >= QUIET and not seen.unsent_answers
        return quiet and seen.now >= min(self.signalled_at + STILL_COMING, self.close_sessions_by)

    def next_step(self, seen: ClientActivity, open_sessions: int) -> ShutdownStep:
        """What to do after a round; `open_sessions` counts those that clients have not closed yet."""
        if self.sessions_closed_at is None:
            if not self.may_close_sessions(seen):
                return ShutdownStep.ACCEPT
            self.sessions_closed_at = seen.now
            return ShutdownStep.CLOSE_SESSIONS
        if not open_sessions or seen.now >= min(self.sessions_closed_at + READ_TIME, self.exit_by):
            return ShutdownStep.EXIT
        return ShutdownStep.CLOSE_SESSIONS
