"""The comparison of two source trees' CPU time, on trees of one module each."""

import json
import subprocess

import pytest

from hillchute.lab import cpu_ratio

PLAY = """
import time

def play(seed):
    end = time.process_time() + seed / 1000 * {times}
    while time.process_time() < end:
        pass
"""


@pytest.fixture
def make_tree(tmp_path):
    def make(name, package, text):
        folder = tmp_path / name / "hillchute" / package
        folder.mkdir(parents=True)
        for each in (folder.parent, folder):
            (each / "__init__.py").write_text("")
        (folder / "slowloop.py").write_text(text)
        return tmp_path / name

    return make


def test_ratio_is_that_of_the_new_layout_to_the_old_one(make_tree, capsys):
    old = make_tree("old", "lab", PLAY.format(times=1))
    new = make_tree("new", "testbed", PLAY.format(times=3))
    assert cpu_ratio.main([str(old), str(new), "--seeds", "20", "30", "--turns", "3"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert [len(report["cpu_s"][name]) for name in ("old", "new")] == [3, 3]
    assert report["ratio"] == pytest.approx(3, rel=0.2)


def test_tree_without_the_simulation_is_an_error(make_tree, capfd):
    with pytest.raises(subprocess.CalledProcessError):
        cpu_ratio.cpu_seconds(make_tree("old", "elsewhere", PLAY), [1])
    assert "none of these modules is here" in capfd.readouterr().err


def test_import_that_fails_inside_the_simulation_is_an_error(make_tree, capfd):
    with pytest.raises(subprocess.CalledProcessError):
        cpu_ratio.cpu_seconds(make_tree("new", "testbed", "import hillchute.missing"), [1])
    assert "No module named 'hillchute.missing'" in capfd.readouterr().err
