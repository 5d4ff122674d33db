"""Starts one router: python -m hillchute.router, told what it needs by EDGE_NAME, EDGE_LISTEN, EDGE_CONFIG.

HILLCHUTE_OPERATOR may name an operator file, without which nothing beyond the platform's protocol is on.
"""

import os
import signal
import sys
from collections.abc import Callable, Mapping
from functools import partial

import anyio

from hillchute.errors import HillchuteError
from hillchute.log import MAX_LINES_PER_EVENT, Log
from hillchute.router import config
from hillchute.router.lifecycle import Lifecycle
from hillchute.router.service import Service
from hillchute.router.signal_handling import SIGNALS


async def serve(
    station: config.Station,
    operator: Mapping[str, object] | None,
    read_again: Callable[[], Mapping[str, object]] | None,
) -> None:
    log_settings = (operator or {}).get("log", {})
    log = Log(station.name, max_lines_per_event=log_settings.get("alike", MAX_LINES_PER_EVENT))
    lifecycle = Lifecycle(log)
    await Service(station, log, lifecycle, operator=operator, read_operator=read_again).run()
    log.flush()


def main(operator_file: str | None = None) -> int:
    # A signal that comes during the start waits until there is somebody to heed it.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    operator_file = operator_file or os.environ.get("HILLCHUTE_OPERATOR")
    operator = read_again = None
    try:
        station = config.read_station()
        if operator_file:
            from hillchute.operator import reading  # the grammar's library is an extra

            read_again = partial(reading.read, operator_file)
            operator = read_again()
    except (HillchuteError, ValueError) as fault:
        remedy = f"; {fault.remedy}" if isinstance(fault, HillchuteError) else ""
        print(f"hillchute: {fault}{remedy}", file=sys.stderr)
        return 2
    refused: list[Exception] = []
    try:
        anyio.run(serve, station, operator, read_again, backend_options={"use_uvloop": True})
    except* (OSError, HillchuteError) as faults:  # an address that is taken, keys that can't be read
        refused.extend(faults.exceptions)
    for fault in refused:
        remedy = f"; {fault.remedy}" if isinstance(fault, HillchuteError) else ""
        print(f"hillchute: {fault}{remedy}", file=sys.stderr)
    return 2 if refused else 0


if __name__ == "__main__":
    sys.exit(main())
