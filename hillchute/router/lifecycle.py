"""The phases of the router's process from start to exit: a state machine with one transition table.

Knows which phase may follow which; the work of a phase is the service's.
"""

from enum import Enum

import anyio

from hillchute.log import Log


class Phase(Enum):
    """A phase; the values are the log's words."""

    STARTING = "starting"  # reads its configuration; accepts no client
    SERVING = "serving"  # accepts sessions and queries
    RELOADING = "reloading"  # reads its configuration again; all else goes on as it was
    CLOSING = "closing"  # shuts down: still accepts what comes, and answers all of it by a stated time
    FLUSHING = "flushing"  # accepts nothing new; the last answers are written
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
    """The present phase, its log lines, and waits for a later one."""

    def __init__(self, log: Log) -> None:
        self.phase = Phase.STARTING
        self.log = log
        self.phase_changed = anyio.Event()

    def enter(self, phase: Phase) -> bool:
        """Enters a phase; False where it can't follow the present one (at a second signal, for example)."""
        if phase not in TRANSITIONS[self.phase]:
            return False
        self.log.write("phase", phase=phase.value, previous=self.phase.value)
        self.phase = phase
        self.phase_changed.set()
        self.phase_changed = anyio.Event()
        return True

    async def wait_for(self, phase: Phase) -> None:
        """Waits until a phase is entered."""
        while self.phase is not phase:
            await self.phase_changed.wait()
