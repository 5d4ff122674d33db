"""Runs the test command; tests that KNOWN-RED.txt lists must fail, all others must pass.

KNOWN-RED.txt stands at the root and holds one line a test: its pytest id, the cause and the issue, parted by " | ".
An absent file means none. A listed test that passes, is not there, or is one of more than three fails the run.
"""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

FILE = "KNOWN-RED.txt"
MOST = 3  # tests that may be listed
SOME_FAILED = 1  # pytest's exit code


class KnownRed(NamedTuple):
    test: str
    cause: str
    issue: str


class BadList(ValueError):
    """The file can't be used; its message names the line and what belongs there."""


def read(root: Path) -> list[KnownRed]:
    path = root / FILE
    if not path.exists():
        return []
    listed = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != len(KnownRed._fields) or not all(parts) or "::" not in parts[0]:
            raise BadList(f"{FILE}:{number}: expected `test | cause | issue`, got {line!r}")
        listed.append(KnownRed(*parts))
    if len(listed) > MOST:
        raise BadList(f"{FILE}: {len(listed)} tests are listed, {MOST} are allowed: mend some first")
    return listed


def pytest(root: Path, *about: str) -> int:
    return subprocess.run([sys.executable, "-m", "pytest", "-q", *about], cwd=root).returncode


def run(root: Path) -> int:
    try:
        listed = read(root)
    except BadList as fault:
        print(fault)
        return 2
    green = []
    for known in listed:
        print(f"known red: {known.test} ({known.cause}; {known.issue})", flush=True)
        if pytest(root, known.test) != SOME_FAILED:
            green.append(known.test)
    deselected = [f"--deselect={known.test}" for known in listed]
    code = pytest(root, *deselected)
    for test in green:
        print(f"known red, but it does not fail: {test}; take it out of {FILE}")
    return code or (2 if green else 0)


if __name__ == "__main__":
    sys.exit(run(Path(sys.argv[1]) if len(sys.argv) > 1 else Path.cwd()))
