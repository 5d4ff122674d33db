"""The alarm: when the reducer wants to be woken, and the wait for that time.

Does not know what the alarm is for; the event loop acts on it. Times are whole tenths of a millisecond.
"""

import anyio

from hillchute.decision.interface import SECOND, Time
from hillchute.net.clock import Clock

WAIT_WITHOUT_ALARM = 3600.0  # seconds; a wait has to end somewhere, and setting the alarm ends it earlier


class Alarm:
    """One time that may be set again and again; a later one takes the place of an earlier one."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.due_at: Time | None = None  # None: no alarm is set
        self._wakes_at: Time | None = None  # when wait() ends by itself
        self._set_earlier = anyio.Event()

    def set(self, due_at: Time) -> None:
        """Sets the alarm. An earlier time than the one that is waited for ends the wait at once."""
        self.due_at = due_at
        if self._wakes_at is None or due_at < self._wakes_at:  # a later one is found when the wait ends
            self._set_earlier.set()

    def clear(self) -> None:
        """Takes the alarm away: it has been acted on."""
        self.due_at = None

    async def wait(self) -> None:
        """Waits until the alarm is due or is set to an earlier time; returns at once if it is due.

        One task may wait at a time.
        """
        self._set_earlier = anyio.Event()
        self._wakes_at = self.due_at
        seconds = WAIT_WITHOUT_ALARM
        if self.due_at is not None:
            seconds = (self.due_at - self.clock()) / SECOND
        if seconds > 0:
            with anyio.move_on_after(seconds):
                await self._set_earlier.wait()
