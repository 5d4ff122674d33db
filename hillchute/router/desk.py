"""What the parts of the reducer share while an event is taken in: the time, the effects asked for, timers.

Owns the heap of timers and the alarm. Must never know what a timer or an effect is for.
"""

import traceback
from collections.abc import Callable
from heapq import heappop, heappush

from hillchute.decision.interface import Time
from hillchute.router.events import Alarm, Effect, Note


class Desk:
    def __init__(self, tick: Time) -> None:
        self.tick = tick
        self.now: Time = 0
        self.effects: list[Effect] = []
        self.informed = False  # whether the module was told anything in this round
        self.count = 0
        # Timers hold names, not the queries that they name: those may end long before.
        self.due: list[tuple[Time, int, Callable[..., None], tuple]] = []
        self.alarm: Time | None = None

    def begin(self, now: Time, informed: bool) -> None:
        self.now, self.effects, self.informed = now, [], informed

    def number(self) -> int:
        """A new one: of a timer, a connection or a probe."""
        self.count += 1
        return self.count

    def ask(self, effect: Effect) -> None:
        self.effects.append(effect)

    def note(self, event: str, **fields: object) -> None:
        self.effects.append(Note(event, fields))

    def fault(self, what: str) -> None:
        """A fault ends the call that raised it, not the program; the effects before it stand."""
        self.note("fault", what=what, trace=traceback.format_exc(limit=-8))

    def at(self, when: Time, call: Callable[..., None], *names: object) -> None:
        heappush(self.due, (when, self.number(), call, names))

    def ring(self) -> None:
        """Calls whom the time has come for."""
        while self.due and self.due[0][0] <= self.now:
            _, _, call, names = heappop(self.due)
            self.informed = True
            try:
                call(*names)
            except Exception:
                self.fault(call.__name__)

    def set_alarm(self) -> None:
        # Whole ticks: the module asks for a look at every query's turns, thousands a second when it is busy.
        first = -(-self.due[0][0] // self.tick) * self.tick if self.due else None
        if first is not None and first != self.alarm:
            self.effects.append(Alarm(first))
        self.alarm = first
