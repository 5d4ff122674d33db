"""Starts one router: python -m hillchute.router, configured by EDGE_NAME, EDGE_LISTEN and EDGE_CONFIG.

HILLCHUTE_OPERATOR may name an operator file; without one, only the platform's protocol is enabled.
"""

import os
import signal
import sys
from functools import partial

import anyio

from hillchute.errors import HillchuteError
from hillchute.log import MAX_LINES_PER_EVENT, Log
from hillchute.router import config
from hillchute.router.reload import NO_OPERATOR_FILE, OperatorFile
from hillchute.router.service import Service
from hillchute.router.signal_handling import SIGNALS

EXIT_CANNOT_START = 2  # exit status: the configuration, an address or a key can't be used


async def serve(configuration: config.RouterConfiguration, operator_file: OperatorFile) -> None:
    """Runs one router until a signal stops it; raises what Service and its run() raise."""
    log_settings = operator_file.settings.get("log", {})
    log = Log(configuration.name, max_lines_per_event=log_settings.get("alike", MAX_LINES_PER_EVENT))
    await Service(configuration, log, operator_file=operator_file).run()
    log.flush()


def read_operator_file(path: str) -> OperatorFile:
    """Reads the operator file; raises ValueError if it can't be used."""
    from hillchute.operator import reading  # its parser library is an optional dependency

    read = partial(reading.read, path)
    return OperatorFile(read(), read)


def print_error(error: Exception) -> None:
    """Prints an error to standard error, with its remedy if it has one."""
    remedy = f"; {error.remedy}" if isinstance(error, HillchuteError) else ""
    print(f"hillchute: {error}{remedy}", file=sys.stderr)


def main(operator_path: str | None = None) -> int:
    """Runs the program; returns its exit status. `operator_path` takes precedence over HILLCHUTE_OPERATOR."""
    # Signals stay blocked during startup, until SignalReceiver.listen() can handle them.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    operator_path = operator_path or os.environ.get("HILLCHUTE_OPERATOR")
    try:
        configuration = config.read_configuration()
        operator_file = read_operator_file(operator_path) if operator_path else NO_OPERATOR_FILE
    except (HillchuteError, ValueError) as error:
        print_error(error)
        return EXIT_CANNOT_START
    start_errors: list[Exception] = []
    try:
        anyio.run(serve, configuration, operator_file, backend_options={"use_uvloop": True})
    except* (OSError, HillchuteError) as group:  # for example an address in use or an unreadable key
        start_errors.extend(group.exceptions)
    for start_error in start_errors:
        print_error(start_error)
    return EXIT_CANNOT_START if start_errors else 0


if __name__ == "__main__":
    sys.exit(main())
