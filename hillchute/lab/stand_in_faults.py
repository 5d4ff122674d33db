"""Reports exceptions in the stand-ins' handling of one connection."""

import sys
import traceback


def print_fault(source: str, error: BaseException) -> None:
    """Prints an exception with its traceback to standard error; a FaultReport."""
    print(f"fault in the stand-in of the {source}:", file=sys.stderr)
    traceback.print_exception(error, file=sys.stderr)
