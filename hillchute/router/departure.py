"""When a router that was told to end stops taking, hangs up, and is gone.

Owns the steps between SIGTERM and the exit. Must never touch a socket or know the time by itself: the
caller says what it sees, after a whole round, and does what is said. Times are whole tenths of a
millisecond.

Guards rule 1 at a planned end, on a full core too: what the kernel has taken for this program counts as
taken, so nothing is hung up on the strength of a time alone. Where clients go on without end, the stated
end holds: all are answered by then.
"""

from hillchute.decision.interface import Time

STILL_COMING: Time = 7_000  # 0.7 s after a signal in which clients may still come, by the protocol
QUIET: Time = 1_000  # 0.1 s without a byte or a connection, and with nothing open: nobody is under way
LAST: Time = 4_000  # 0.4 s past the stated end at which nothing is waited for: SIGKILL is near
READ_TIME: Time = 3_000  # 0.3 s for clients to read the last answer and hang up themselves

TAKE, HANG_UP, GONE = "take", "hang up", "gone"


class Departure:
    def __init__(self, now: Time, longest: Time, late: Time) -> None:
        """All must be answered `longest` after the signal, which was itself heard up to `late` too late."""
        self.told = now
        self.end = now + longest - min(late, longest // 4)
        self.hung_up: Time | None = None

    def step(self, now: Time, heard: Time, open: int, owed: int, sessions: int) -> str:
        """What to do now, where `heard` is when something last came from a client, `open` counts the queries
        without an answer, `owed` the sessions whose answer the kernel has not taken whole."""
        if self.hung_up is None:
            quiet = now - max(heard, self.told) >= QUIET and not open and not owed
            over = now >= self.end + QUIET and not open or now >= self.end + LAST
            if not (over or quiet and now - self.told >= STILL_COMING):
                return TAKE
            self.hung_up = now
            return HANG_UP
        if not sessions or now - self.hung_up >= READ_TIME:
            return GONE
        return HANG_UP
