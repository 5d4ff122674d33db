"""Starts one router: python -m hillchute.router, told what it needs by EDGE_NAME, EDGE_LISTEN and
EDGE_CONFIG.
"""

import signal
import sys

import anyio

from hillchute.router import config
from hillchute.router.lifecycle import Lifecycle
from hillchute.router.log import Log
from hillchute.router.service import SIGNALS, Service


async def serve(station: config.Station) -> None:
    log = Log(station.name)
    lifecycle = Lifecycle(log)
    await Service(station, log, lifecycle).run()
    log.flush()


def main() -> int:
    # A signal that comes during the start waits until there is somebody to heed it.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        station = config.read()
    except config.BadConfiguration as fault:
        print(f"hillchute: {fault}", file=sys.stderr)
        return 2
    anyio.run(serve, station, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    sys.exit(main())
