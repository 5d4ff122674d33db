import sys

from hillchute.benchlink.codec import Malformed
from hillchute.benchlink.host import Host


def main() -> int:
    lines = (line.rstrip("\n") for line in sys.stdin)
    try:
        Host(sys.stdout).serve(lines)
    except Malformed as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        return 2
    except UnicodeDecodeError:
        print("benchlink: input is not UTF-8 text", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
