"""python -m hillchute: the command line; see cli/."""

import sys

from hillchute.cli.commands import main

if __name__ == "__main__":
    sys.exit(main())
