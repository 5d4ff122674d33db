"""The phases of the router process from start to exit, as a state machine.

Defines which phase may follow which; the service does the work of each phase.
"""

from enum import Enum

import anyio

from hillchute.log import Log


class Phase(Enum):
    """A phase of the process; the values are written to the log."""

    STARTING = "starting"  # reading the configuration; accepts no clients
    SERVING = "serving"  # accepts sessions and queries
    RELOADING = "reloading"  # reading the configuration again; otherwise as in SERVING
    CLOSING = "closing"  # shutting down: still accepts queries, and answers all of them by a deadline
    FLUSHING = "flushing"  # accepts nothing new; the last answers are being written
    STOPPED = "stopped"


TRANSITIONS = {
    Phase.STARTING: (Phase.SERVING, Phase.CLOSING, Phase.STOPPED),
    Phase.SERVING: (Phase.RELOADING, Phase.CLOSING),
    Phase.RELOADING: (Phase.SERVING,),
    Phase.CLOSING: (Phase.FLUSHING,),
    Phase.FLUSHING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class Lifecycle:
    """The current phase; logs each change and lets tasks wait for a phase."""

    def __init__(self, log: Log) -> None:
        self.phase = Phase.STARTING
        self.log = log
        self.phase_changed = anyio.Event()

    def enter(self, phase: Phase) -> bool:
        """Enters a phase; returns False if it can't follow the current one, as with a second signal."""
        if phase not in TRANSITIONS[self.phase]:
            return False
        self.log.write("phase", phase=phase.value, previous=self.phase.value)
        self.phase = phase
        self.phase_changed.set()
        self.phase_changed = anyio.Event()
        return True

    async def wait_for(self, phase: Phase) -> None:
        """Waits until the router is in a phase."""
        while self.phase is not phase:
            await self.phase_changed.wait()
