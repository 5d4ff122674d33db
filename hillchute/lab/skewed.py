"""Run a router with a skewed wall clock: python -m hillchute.lab.skewed SECONDS.

The clock is changed before the router's modules are imported.
"""

import sys
import time


def skew(seconds: float) -> None:
    """Shift time.time() and time.time_ns() by some seconds."""
    now, now_ns = time.time, time.time_ns
    time.time = lambda: now() + seconds
    time.time_ns = lambda: now_ns() + int(seconds * 1e9)


if __name__ == "__main__":
    skew(float(sys.argv[1]))
    from hillchute.router.__main__ import main

    sys.exit(main())
