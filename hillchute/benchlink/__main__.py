"""Runs the simulator adapter on standard input and output: python -m hillchute.benchlink."""

import sys

from hillchute.benchlink.codec import MalformedInputError
from hillchute.benchlink.host import Host


def main() -> int:
    """Serves until the input ends; exit code 2 means malformed input, 1 that the output was closed."""
    lines = (line.rstrip("\n") for line in sys.stdin)
    try:
        Host(sys.stdout).serve(lines)
    except MalformedInputError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError:
        print("benchlink: input is not UTF-8 text", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
