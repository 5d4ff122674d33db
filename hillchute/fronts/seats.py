"""Limits how many sessions are connected, and selects those to close when the limit is reached.

Tracks whether each session is in an incomplete step of the protocol, idle, or has a query open.
Performs no I/O: callers close the sessions that are selected here.
"""

from collections.abc import Iterator

from hillchute.decision.interface import Time

STEP_TIMEOUT: Time = 20_000  # 2 s to complete a step: the platform requires that a session ends within 3 s


class SessionLimiter:
    """The state of each connected session; `max_sessions` sessions are allowed."""

    def __init__(self, max_sessions: int) -> None:
        self.max_sessions = max_sessions
        # Sessions in an incomplete step, with its start; oldest first.
        self.incomplete_steps: dict[int, Time] = {}
        self.idle: dict[int, None] = {}  # sessions without an open query; longest idle first
        self.busy: set[int] = set()  # sessions with an open query

    def __len__(self) -> int:
        return len(self.incomplete_steps) + len(self.idle) + len(self.busy)

    @property
    def full(self) -> bool:
        return len(self) >= self.max_sessions

    def would_exceed(self, count: int) -> bool:
        """Whether `count` more sessions would exceed the limit."""
        return len(self) + count > self.max_sessions

    @property
    def reserve_full(self) -> bool:
        """Whether the reserve is used up as well.

        An eighth more than the limit is reserved for connections that only get the error `too many sessions`.
        """
        return len(self) >= self.max_sessions + self.max_sessions // 8

    def mark_in_step(self, session: int, now: Time) -> None:
        """Records that a login, a packet, the delivery of an answer or a close has begun."""
        if session not in self.incomplete_steps:
            self.remove(session)
            self.incomplete_steps[session] = now

    def mark_idle(self, session: int) -> None:
        self.remove(session)
        self.idle[session] = None

    def mark_busy(self, session: int) -> None:
        self.remove(session)
        self.busy.add(session)

    def remove(self, session: int) -> None:
        self.incomplete_steps.pop(session, None)
        self.idle.pop(session, None)
        self.busy.discard(session)

    def eviction_candidates(self) -> Iterator[int]:
        """Sessions that may be closed for a new one, in order of preference; none has a query open."""
        yield from self.incomplete_steps
        yield from self.idle

    def may_evict(self, session: int) -> bool:
        """Whether the session would be among the eviction candidates now."""
        return session in self.incomplete_steps or session in self.idle

    def timed_out_sessions(self, now: Time) -> list[int]:
        """Sessions whose current step has taken STEP_TIMEOUT or longer."""
        timed_out = []
        for session, since in self.incomplete_steps.items():
            if now - since < STEP_TIMEOUT:
                break
            timed_out.append(session)
        return timed_out
