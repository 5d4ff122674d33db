"""The program's phases from start to exit, as named states of one object.

Owns which phase comes after which and what each accepts. Must never do the work of a phase: that is the
service's.
"""

from enum import Enum

import anyio

from hillchute.log import Log


class Phase(Enum):
    STARTING = "starting"  # reads its configuration; no client is heard
    SERVING = "serving"  # takes sessions and queries
    RELOADING = "reloading"  # reads its configuration again; all else goes on as it was
    CLOSING = "closing"  # asked to end: still takes what comes, all is answered by a stated time
    FLUSHING = "flushing"  # takes nothing new; the last answers are written
    STOPPED = "stopped"


FOLLOWS = {
    Phase.STARTING: (Phase.SERVING, Phase.CLOSING, Phase.STOPPED),
    Phase.SERVING: (Phase.RELOADING, Phase.CLOSING),
    Phase.RELOADING: (Phase.SERVING,),
    Phase.CLOSING: (Phase.FLUSHING,),
    Phase.FLUSHING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class Lifecycle:
    def __init__(self, log: Log) -> None:
        self.phase = Phase.STARTING
        self.log = log
        self.changed = anyio.Event()

    def enter(self, phase: Phase) -> bool:
        """Goes on to a phase; False where that does not follow the present one (a second signal, say)."""
        if phase not in FOLLOWS[self.phase]:
            return False
        self.log.write("phase", phase=phase.value, after=self.phase.value)
        self.phase = phase
        self.changed.set()
        self.changed = anyio.Event()
        return True

    async def reach(self, phase: Phase) -> None:
        while self.phase is not phase:
            await self.changed.wait()
