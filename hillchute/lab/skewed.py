"""A router whose clock is off: python -m hillchute.lab.skewed SECONDS, for the rig of processes.

Owns the one change to the clock, before anything else is imported. Must never be used by what serves.
"""

import sys
import time


def skew(seconds: float) -> None:
    now, now_ns = time.time, time.time_ns
    time.time = lambda: now() + seconds
    time.time_ns = lambda: now_ns() + int(seconds * 1e9)


if __name__ == "__main__":
    skew(float(sys.argv[1]))
    from hillchute.router.__main__ import main

    sys.exit(main())
