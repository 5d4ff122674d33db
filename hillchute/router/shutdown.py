"""When a router that was told to end stops accepting, hangs up, and exits.

Owns the times between SIGTERM and the exit. Must never touch a socket or know the time by itself: the caller
says what it sees, after a whole round, and does what is said. Times are whole tenths of a millisecond.

Guards rule 1 at a planned end, on a full core too: what the kernel has taken for this program counts as
taken, so nothing is hung up on the strength of a time alone until `hang_up_by`. Counted from the signal's
arrival:

    end         answers are due by then; what comes later is answered at once
    hang_up_by  sessions are ended; LAST_WAIT after `end`, and never while clients still come
    exit_by     the program begins to exit
    kill        SIGKILL may come, EXIT_TIME later
"""

from enum import Enum

from hillchute.decision.interface import Time

KILL_AFTER: Time = 7_000  # the protocol: SIGKILL comes 0.7 s after the longest deadline at the earliest
CLIENTS_COME: Time = 6_000  # the protocol: connections for 0.4 s after the signal, then queries for 0.2 s
QUIET: Time = 1_000  # 0.1 s without a byte or a connection, and with nothing open: nobody is under way
STILL_COMING: Time = 7_000  # a quiet router hangs up no earlier, where its longest deadline leaves the time
LAST_WAIT: Time = 4_000  # 0.4 s past `end` at which nothing is waited for; a short deadline's own length
LEAST_READ_TIME: Time = 2_000  # for clients to read the last answer and hang up themselves
READ_TIME: Time = 3_000  # the same, where there is time
EXIT_TIME: Time = 1_000  # for tasks, sockets and the interpreter to end


class Step(Enum):
    """What the router does now."""

    ACCEPT = "accept"
    HANG_UP = "hang up"
    EXIT = "exit"


class Shutdown:
    def __init__(self, signalled: Time, longest: Time, late: Time) -> None:
        """`signalled`: when SIGTERM came; `longest`: the longest deadline that the end waits for; `late`:
        so much later than it came the signal may have been seen, as the process may have stood still."""
        self.signalled = signalled
        self.kill = signalled + longest + KILL_AFTER
        self.exit_by = self.kill - EXIT_TIME
        self.hang_up_by = max(signalled + CLIENTS_COME, self.exit_by - LEAST_READ_TIME)
        self.end = self.hang_up_by - min(LAST_WAIT, longest) - min(late, longest // 4)
        self.hung_up: Time | None = None

    def may_hang_up(self, now: Time, heard: Time, open: int, owed: int) -> bool:
        """Whether sessions may be ended, where `heard` is when something last came from a client, `open`
        counts the queries without an answer, `owed` the sessions whose answer the kernel has not taken
        whole."""
        if now >= self.hang_up_by:
            return True
        if now < self.signalled + CLIENTS_COME or open:
            return False
        if now >= self.end + QUIET:
            return True
        quiet = now - max(heard, self.signalled) >= QUIET and not owed
        return quiet and now >= min(self.signalled + STILL_COMING, self.hang_up_by)

    def step(self, now: Time, heard: Time, open: int, owed: int, sessions: int) -> Step:
        """`sessions`: those that clients have not closed yet."""
        if self.hung_up is None:
            if not self.may_hang_up(now, heard, open, owed):
                return Step.ACCEPT
            self.hung_up = now
            return Step.HANG_UP
        if not sessions or now >= min(self.hung_up + READ_TIME, self.exit_by):
            return Step.EXIT
        return Step.HANG_UP
