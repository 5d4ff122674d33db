"""Entry point of `python -m hillchute`; the verbs are in cli/commands.py."""

import sys

from hillchute.cli.commands import main

if __name__ == "__main__":
    sys.exit(main())
