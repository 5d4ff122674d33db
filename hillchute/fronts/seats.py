"""Who may stay connected: the places for clients' sessions, and who gives way when they are all taken.

Owns each session's standing: in a step of the protocol that is not complete, idle, or with a query open.
Must never touch a socket nor know what is asked; it only says whose turn to go it is.
"""

from collections.abc import Iterator

from hillchute.decision.interface import Time

STEP: Time = 20_000  # 2 s for a step to be complete: the platform's page asks for an end within 3 s


class Seats:
    def __init__(self, most: int) -> None:
        self.most = most
        self.steps: dict[int, Time] = {}  # sessions in an incomplete step, and since when: the oldest first
        self.idle: dict[int, None] = {}  # sessions that wait for nothing, the longest idle first
        self.busy: set[int] = set()

    def __len__(self) -> int:
        return len(self.steps) + len(self.idle) + len(self.busy)

    @property
    def full(self) -> bool:
        return len(self) >= self.most

    def nearly_full(self, more: int) -> bool:
        """Whether there is no room for so many more."""
        return len(self) + more > self.most

    @property
    def overfull(self) -> bool:
        """Beyond the places there is some room for those who are told that there is none."""
        return len(self) >= self.most + self.most // 8

    def in_step(self, session: int, now: Time) -> None:
        """Login, a packet, an answer to be read or an end: begun, and not complete."""
        if session not in self.steps:
            self.leave(session)
            self.steps[session] = now

    def rest(self, session: int) -> None:
        self.leave(session)
        self.idle[session] = None

    def ask(self, session: int) -> None:
        self.leave(session)
        self.busy.add(session)

    def leave(self, session: int) -> None:
        self.steps.pop(session, None)
        self.idle.pop(session, None)
        self.busy.discard(session)

    def give_way(self) -> Iterator[int]:
        """Whose place goes to one that comes, the least useful first: never one with a query open."""
        yield from self.steps
        yield from self.idle

    def late(self, now: Time) -> list[int]:
        """Sessions that have been too long in one step."""
        found = []
        for session, since in self.steps.items():
            if now - since < STEP:
                break
            found.append(session)
        return found
