"""The alarm: the time at which the reducer next needs to run, and the wait for it.

The event loop acts on the alarm. Times are integers in tenths of a millisecond.
"""

import anyio

from hillchute.decision.interface import SECOND, Time
from hillchute.net.clock import Clock

MAX_WAIT_SECONDS = 3600.0  # of a wait without an alarm; setting the alarm ends the wait earlier


class Alarm:
    """A single alarm time; setting it again replaces the previous one."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.due_at: Time | None = None  # None if no alarm is set
        self._wakes_at: Time | None = None  # the alarm time that wait() is waiting for
        self._set_earlier = anyio.Event()

    def set(self, due_at: Time) -> None:
        """Sets the alarm. A time before the one that wait() is waiting for ends the wait at once."""
        self.due_at = due_at
        if self._wakes_at is None or due_at < self._wakes_at:  # a later time takes effect when the wait ends
            self._set_earlier.set()

    def clear(self) -> None:
        """Clears the alarm once it has been acted on."""
        self.due_at = None

    async def wait(self) -> None:
        """Waits until the alarm is due or is set to an earlier time; returns at once if it is already due.

        Only one task may wait at a time.
        """
        self._set_earlier = anyio.Event()
        self._wakes_at = self.due_at
        seconds = MAX_WAIT_SECONDS
        if self.due_at is not None:
            seconds = (self.due_at - self.clock()) / SECOND
        if seconds > 0:
            with anyio.move_on_after(seconds):
                await self._set_earlier.wait()
