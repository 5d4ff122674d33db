"""The CI test run tolerates failures of exactly the tests that KNOWN-RED.txt lists."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

TIMEOUT_SECONDS = 300  # for four starts of pytest while the surrounding test suite uses all cores
PROGRAM = Path(__file__).parents[1] / ".ci" / "known_red.py"
TESTS = """
def test_green(): pass
def test_red(): assert False
def test_red_too(): assert False
"""
RED = "tests/test_it.py::test_red | a real fault | issue 1"


def run_ci(tmp_path, *listed, tests=TESTS):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(tests)
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in listed))
    environment = os.environ | {"PYTEST_XDIST_AUTO_NUM_WORKERS": "1"}  # the outer run uses all cores
    command = [sys.executable, PROGRAM, tmp_path]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, env=environment
    )
    return completed.returncode, completed.stdout


def test_listed_tests_are_run_and_printed_and_do_not_fail_the_run(tmp_path):
    code, out = run_ci(tmp_path, RED, RED.replace("test_red", "test_red_too"))
    assert code == 0 and out.count("known red: ") == 2 and "a real fault; issue 1" in out
    assert out.count("1 failed") == 2
    # pytest-xdist does not count the tests that its workers deselect; only the unlisted test was run.
    assert re.fullmatch(r"1 passed in [0-9.]+s", out.splitlines()[-1])


@pytest.mark.parametrize(
    "listed",
    [
        [],  # no file: each failure counts
        [RED],  # an unlisted test fails
        [RED, RED.replace("test_red", "test_red_too"), RED.replace("test_red", "test_green")],  # one passes
        # One listed test does not exist.
        [RED, RED.replace("test_red", "test_red_too"), RED.replace("test_red", "test_gone")],
        [RED] * 4,  # more tests than may be listed
        ["tests/test_it.py::test_red"],  # cause and issue are missing
        ["tests | everything | issue 1"],  # not the id of a single test
    ],
)
def test_every_other_run_fails(tmp_path, listed):
    code, _ = run_ci(tmp_path, *listed)
    assert code != 0


def test_absent_file_means_that_no_test_is_listed(tmp_path):
    code, out = run_ci(tmp_path, tests="def test_green(): pass")
    assert code == 0 and "known red" not in out
