"""The CI test run tolerates failures of exactly the tests that KNOWN-RED.txt lists."""

import os
import re
import runpy
import subprocess
import sys
from pathlib import Path

import pytest

TIMEOUT_SECONDS = 300  # for four starts of pytest while the surrounding test suite uses all cores
PROGRAM = Path(__file__).parents[1] / ".ci" / "known_red.py"
known_red = runpy.run_path(str(PROGRAM))
TESTS = """
def test_green(): pass
def test_red(): assert False
def test_red_too(): assert False
"""
RED = "tests/test_it.py::test_red | pytest -k test_red, seed 7 | a real fault | issue 1"
COMMAND = "touch ran --seed 7 | two answers | issue 2"


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


def test_more_than_three_tests_may_be_listed(tmp_path):
    tests = "".join(f"def test_red{number}(): assert False\n" for number in range(4))
    listed = [RED.replace("test_red ", f"test_red{number} ") for number in range(4)]
    code, out = run_ci(tmp_path, *listed, tests=f"{tests}def test_green(): pass")
    assert code == 0 and out.count("known red: ") == 4


def test_listed_command_is_printed_and_not_run(tmp_path):
    """Guards against a command that hides a test, or that CI runs."""
    code, out = run_ci(tmp_path, COMMAND, tests="def test_green(): pass")
    assert code == 0 and "known red, not run here: touch ran --seed 7 (two answers; issue 2)" in out
    assert not (tmp_path / "ran").exists()


@pytest.mark.parametrize(
    "listed",
    [
        [],  # no file: each failure counts
        [RED],  # an unlisted test fails
        [COMMAND],  # a command excludes no test
        [RED, RED.replace("test_red", "test_red_too"), RED.replace("test_red", "test_green")],  # one passes
        # One listed test does not exist.
        [RED, RED.replace("test_red", "test_red_too"), RED.replace("test_red", "test_gone")],
    ],
)
def test_every_other_run_fails(tmp_path, listed):
    code, _ = run_ci(tmp_path, *listed)
    assert code != 0


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_it.py::test_red",  # the other parts are missing
        "tests/test_it.py::test_red | a real fault | issue 1",  # the command is missing
        RED.replace("issue 1", "some issue"),
        RED.replace("a real fault", " "),
        f"{RED} | more",
        RED.replace("tests/test_it.py::test_red |", "tests |"),  # not the id of a single test
        "tests/test_it.py::test_red --seed 7 | two answers | issue 2",  # a test listed as a command
        "python -m pytest tests/test_it.py | two answers | issue 2",  # tests listed as a command
        COMMAND.replace("issue 2", "no issue"),
        COMMAND.removeprefix("touch ran --seed 7"),
        "touch ran --seed 7 | issue 2",
        "# a comment",
        "",
    ],
)
def test_malformed_entry_fails_the_run_and_shows_the_expected_forms(tmp_path, line):
    code, out = run_ci(tmp_path, line, tests="def test_green(): pass")
    assert code == 2 and "KNOWN-RED.txt:1" in out and "passed" not in out
    assert known_red["TEST_FORM"] in out and known_red["COMMAND_FORM"] in out


@pytest.mark.parametrize("line", [RED, COMMAND])
def test_entry_that_is_listed_twice_fails_the_run(tmp_path, line):
    code, out = run_ci(tmp_path, line, line)
    assert code == 2 and "KNOWN-RED.txt:2: listed before" in out


def test_absent_file_means_that_no_test_is_listed(tmp_path):
    code, out = run_ci(tmp_path, tests="def test_green(): pass")
    assert code == 0 and "known red" not in out
