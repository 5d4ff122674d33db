"""The schedule of a graceful shutdown: when the router stops accepting, closes its sessions and exits.

Performs no I/O: after each complete round of the event loop, the caller reports the client activity and
takes the step that is due. Times are integers in tenths of a millisecond from the arrival of SIGTERM:

    answer_by          answers are due; queries that arrive later are answered at once
    close_sessions_by  sessions are closed, ANSWER_SLACK after `answer_by` and once no client may connect
    exit_by            the process starts to exit
    kill_at            the earliest SIGKILL, EXIT_TIME after `exit_by`

Every query is answered, even on a saturated core: data that the kernel has accepted for this process counts
as received, so sessions are not closed by elapsed time alone before `close_sessions_by`.
"""

from enum import Enum
from typing import NamedTuple

from hillchute.decision.interface import Time

# By the protocol, SIGKILL comes at the earliest 0.7 s plus the longest client timeout after SIGTERM.
SIGKILL_DELAY: Time = 7_000
# By the protocol, clients connect for 0.4 s after the signal, and send queries for another 0.2 s.
ARRIVAL_PERIOD: Time = 6_000
# 0.1 s: after this time without input or open work, no more clients are expected.
QUIET_PERIOD: Time = 1_000
# 0.7 s: an idle router closes its sessions no earlier, if the longest client timeout allows it.
MIN_OPEN_TIME: Time = 7_000
# 0.4 s after `answer_by` in which queries are answered at once; at most the longest client timeout.
ANSWER_SLACK: Time = 4_000
# 0.2 s: minimum time for clients to read the last answer and close their connections.
MIN_READ_TIME: Time = 2_000
MAX_READ_TIME: Time = 3_000  # 0.3 s: maximum time for this, before exit_by
EXIT_TIME: Time = 1_000  # 0.1 s for tasks, sockets and the interpreter to finish


class ShutdownStep(Enum):
    """The step of the shutdown that is due."""

    ACCEPT = "accept"
    CLOSE_SESSIONS = "close sessions"
    EXIT = "exit"


class ClientActivity(NamedTuple):
    """The activity of clients at one time."""

    now: Time
    last_activity: Time  # when a byte or connection last arrived from a client
    open_queries: int  # queries not answered yet
    unsent_answers: int  # sessions whose last answer the kernel has not fully accepted


class ShutdownSchedule:
    """The times of one shutdown, and its progress."""

    def __init__(self, signalled_at: Time, longest_timeout: Time, loop_lag: Time) -> None:
        """Computes the times of the shutdown.

        `longest_timeout`: of a client; the shutdown waits no longer than this. `loop_lag`: how late the
        signal may have been handled, since the process may have paused.
        """
        self.signalled_at = signalled_at
        self.kill_at = signalled_at + longest_timeout + SIGKILL_DELAY
        self.exit_by = self.kill_at - EXIT_TIME
        self.close_sessions_by = max(signalled_at + ARRIVAL_PERIOD, self.exit_by - MIN_READ_TIME)
        answer_slack = min(ANSWER_SLACK, longest_timeout)
        self.answer_by = self.close_sessions_by - answer_slack - min(loop_lag, longest_timeout // 4)
        self.sessions_closed_at: Time | None = None

    def may_close_sessions(self, activity: ClientActivity) -> bool:
        """Whether sessions may be closed without depriving a client of an answer."""
        if activity.now >= self.close_sessions_by:
            return True
        if activity.now < self.signalled_at + ARRIVAL_PERIOD or activity.open_queries:
            return False
        if activity.now >= self.answer_by + QUIET_PERIOD:
            return True
        quiet_since = max(activity.last_activity, self.signalled_at)
        quiet = activity.now - quiet_since >= QUIET_PERIOD and not activity.unsent_answers
        return quiet and activity.now >= min(self.signalled_at + MIN_OPEN_TIME, self.close_sessions_by)

    def next_step(self, activity: ClientActivity, open_sessions: int) -> ShutdownStep:
        """Returns the step due after a round; `open_sessions`: sessions not yet closed by their clients."""
        if self.sessions_closed_at is None:
            if not self.may_close_sessions(activity):
                return ShutdownStep.ACCEPT
            self.sessions_closed_at = activity.now
            return ShutdownStep.CLOSE_SESSIONS
        if not open_sessions or activity.now >= min(self.sessions_closed_at + MAX_READ_TIME, self.exit_by):
            return ShutdownStep.EXIT
        return ShutdownStep.CLOSE_SESSIONS
