"""CPU time of two source trees in the overload simulation (slowloop.py), measured in alternating turns.

    python -m hillchute.lab.cpu_ratio OLD_TREE NEW_TREE --seeds 1 2 3 --turns 5

A tree is a directory that holds the package `hillchute`. Each turn runs one process per tree, one after the
other, and the tree that goes first changes with each turn, so that a drift of the machine's speed falls on
both. Measured is the user and system time of the simulations alone, without the start of the interpreter and
imports.
"""

import argparse
import json
import os
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from statistics import median

# Possible names of the module whose `play(seed)` runs the simulation; the first that exists is used.
MODULES = (
    "hillchute.testbed.simulation.slow_loop",
    "hillchute.testbed.simulation.slowloop",
    "hillchute.testbed.slow_loop",
    "hillchute.testbed.slowloop",
    "hillchute.lab.slowloop",
)
# Run in a tree's process with the modules' names, then the seeds, each group as one argument.
PROGRAM = """
import importlib, pathlib, sys, time
modules, seeds = sys.argv[1].split(), [int(seed) for seed in sys.argv[2].split()]
for name in modules:
    try:
        module = importlib.import_module(name)
        break
    except ModuleNotFoundError as error:
        if not error.name or not name.startswith(error.name):
            raise
else:
    sys.exit(f"none of these modules is here: {modules}")
tree = pathlib.Path.cwd().resolve()
if not pathlib.Path(module.__file__).resolve().is_relative_to(tree):
    sys.exit(f"{name} was imported from {module.__file__}, not from {tree}")
began = time.process_time()
for seed in seeds:
    module.play(seed)
print(time.process_time() - began)
"""


def cpu_seconds(tree: Path, seeds: Iterable[int]) -> float:
    """User and system time in seconds that one process needs to simulate all seeds with the code of a tree.

    Raises subprocess.CalledProcessError if the simulation fails; the reason is on standard error.
    """
    command = [sys.executable, "-c", PROGRAM, " ".join(MODULES), " ".join(map(str, seeds))]
    # Both trees use the same hash seed. Without PYTHONPATH, the tree is first on the import path.
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    environment["PYTHONHASHSEED"] = "0"
    completed = subprocess.run(
        command, cwd=tree, env=environment, stdout=subprocess.PIPE, text=True, check=True
    )
    return float(completed.stdout)


def compare(old: Path, new: Path, seeds: list[int], turns: int) -> dict[str, object]:
    """CPU seconds of each turn, their medians and the ratio of the medians, new over old."""
    trees = {"old": old, "new": new}
    measured: dict[str, list[float]] = {name: [] for name in trees}
    for turn in range(turns):
        for name in sorted(trees, reverse=turn % 2 == 0):
            measured[name].append(cpu_seconds(trees[name], seeds))
    medians = {name: median(seconds) for name, seconds in measured.items()}
    return {
        "seeds": seeds,
        "turns": turns,
        "cpu_s": {name: [round(value, 3) for value in seconds] for name, seconds in measured.items()},
        "median_cpu_s": {name: round(value, 3) for name, value in medians.items()},
        "ratio": round(medians["new"] / medians["old"], 3),
    }


def main(arguments: list[str] | None = None) -> int:
    """Print the comparison as JSON."""
    parser = argparse.ArgumentParser(prog="cpu_ratio", description=__doc__.splitlines()[0])
    parser.add_argument("old", type=Path, help="source tree to compare with")
    parser.add_argument("new", type=Path, help="source tree to measure against it")
    parser.add_argument(
        "--seeds", type=int, nargs="+", default=[1, 2, 3], help="seeds to simulate in each turn"
    )
    parser.add_argument(
        "--turns", type=int, default=5, help="number of turns; each tree simulates all seeds once per turn"
    )
    options = parser.parse_args(arguments)
    print(json.dumps(compare(options.old, options.new, options.seeds, options.turns)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
