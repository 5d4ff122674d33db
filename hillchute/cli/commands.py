"""Verbs of `python -m hillchute`: route, check, lab up, lab parity, lab measure, lab slowloop, lab many.

Owns the words of the command line and its exit codes: 0 done, 1 it ran and the answer is no, 2 it can't be
run as asked. Must never hold logic of a subsystem.
"""

import sys
from collections import Counter
from pathlib import Path
from typing import Annotated, Literal

import anyio
import cyclopts
import orjson
from cyclopts import Parameter

from hillchute import __version__

app = cyclopts.App(name="hillchute", version=__version__, help="A query gateway, its checks and its lab.")
lab = cyclopts.App(name="lab", help="Stand-in engines and scripted workloads, on loopback only.")
app.command(lab)

Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON for a machine to read.")]


def show(value: object) -> None:
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    sys.stdout.flush()


@app.command
def route(operator: Path | None = None) -> int:
    """Run a router, told what it needs by EDGE_NAME, EDGE_LISTEN and EDGE_CONFIG.

    Parameters
    ----------
    operator
        The operator file; without it nothing beyond the platform's protocol is on.
    """
    from hillchute.router.__main__ import main as run

    return run(str(operator) if operator else None)


@app.command
def check(file: Path, *, json: Json = False, fields: Annotated[bool, Parameter(negative="")] = False) -> int:
    """Check an operator file and print what holds after defaults.

    Parameters
    ----------
    file
        The operator file.
    fields
        Also list every field with what it may be.
    """
    from hillchute.operator import reading
    from hillchute.operator.records import OperatorFileError

    try:
        settings = reading.read(file)
    except OperatorFileError as fault:
        if json:
            show({"file": str(file), "faults": str(fault).split("\n")})
        else:
            print(fault, file=sys.stderr)
        return 2
    if json:
        show({"file": str(file), "settings": settings})
        return 0
    for path, value in flat(settings):
        print(f"{path}: {orjson.dumps(value).decode()}")
    if fields:
        for path, what, doc in reading.fields():
            print(f"# {path}: {what}{'; ' + doc if doc else ''}")
    return 0


def flat(settings: dict[str, object], path: str = ""):
    for name, value in settings.items():
        here = f"{path}.{name}" if path else name
        if isinstance(value, dict):
            yield from flat(value, here)
        else:
            yield here, value


@lab.command
def parity(
    *, seed: int = 1, engines: Literal["flight", "line"] = "flight", queries: int = 2_000, json: Json = False
) -> int:
    """Replay one scripted workload through MySQL, then Flight SQL clients; exit 0 only if they end alike.

    Parameters
    ----------
    seed
        What the script is made from.
    engines
        The protocol that the stand-in engines speak.
    queries
        How many queries the script has, about.
    """
    from hillchute.lab.parity import compare

    found = anyio.run(compare, seed, engines, queries)
    if json:
        show(found)
    else:
        for front in ("mysql", "flight"):
            print(f"{front}: " + ", ".join(f"{n} {how}" for how, n in found[front].items()))
        print("equal" if found["equal"] else "NOT equal")
        for fault in found["broken_rules"]:
            print(f"broken: {fault}")
    return int(not found["equal"] or bool(found["broken_rules"]))


@lab.command
def measure(*, seconds: float = 4.0) -> int:
    """Measure what wide and small results cost the router on each pair of front and engine; prints JSON.

    Parameters
    ----------
    seconds
        How long each pair is measured.
    """
    from hillchute.lab.measure import measure as taken

    show(anyio.run(taken, seconds))
    return 0


@lab.command
def many(
    *,
    form: Literal["alone", "subset", "shared"] = "subset",
    play: Literal["replaced", "killed", "cut", "doubled", "calm"] = "replaced",
    seed: int = 1,
    routers: int = 60,
    engines: int = 20,
    load: float = 0.7,
    slow: float = 1.0,
    probe: float = 0.0,
    json: Json = False,
) -> int:
    """Play many routers at once beside one mind that sees every engine late, on the same traffic; simulated.

    Parameters
    ----------
    form
        What routers have of each other: nothing, the parts of the engines that their numbers give them, or
        also what they tell each other.
    play
        What happens: six engines in ten replaced, seven routers in ten killed, a zone cut off, the fleet
        doubled and halved, or nothing.
    seed
        What traffic is drawn from.
    routers
        How many.
    engines
        How many there are at first.
    load
        Work asked for, as a part of what all engines can do.
    slow
        Times the usual work, targets and patience.
    probe
        What a probe a query costs, as a part of all worth, as the settings would say it.
    """
    from hillchute.lab.plays import figures

    found = figures(form, play, seed, routers, engines, load, slow, **{"costs.probe": probe})
    if json:
        show(found)
    else:
        for name, figure in found.items():
            print(f"{name}: {figure}")
    return 0


@lab.command
def slowloop(*, seeds: int = 20, first: int = 1, times: float = 3.0, json: Json = False) -> int:
    """Play a router whose core is full, under a played clock and sockets; exit 0 if the rules held.

    Parameters
    ----------
    seeds
        How many runs.
    first
        The first seed.
    times
        How many times what the loop carries is offered.
    """
    from hillchute.lab.slowloop import play

    broken: dict[int, list[str]] = {}
    ends: Counter = Counter()
    for seed in range(first, first + seeds):
        rig = play(seed, times=times)
        ends += rig.summary()
        if rig.faults:
            broken[seed] = rig.faults
    if json:
        show({"runs": seeds, "ends": dict(ends), "broken": {str(seed): f for seed, f in broken.items()}})
    else:
        for seed, faults in broken.items():
            print(f"seed {seed}: {len(faults)} faults, the first: {faults[0]}")
        print(f"{seeds} runs, {len(broken)} with a broken rule; {dict(ends)}")
    return int(bool(broken))


@lab.command
def up(*, engines: Literal["line", "flight"] = "line", count: int = 2, operator: Path | None = None) -> int:
    """Bring a toy deployment up, a router included, until Ctrl-C.

    Parameters
    ----------
    engines
        The protocol that the stand-in engines speak.
    count
        How many engines.
    operator
        An operator file for the router; by default Flight SQL is on beside MySQL.
    """
    from hillchute.lab.toy import bring_up

    text = operator.read_text() if operator else None
    try:
        anyio.run(bring_up, engines, count, text)
    except KeyboardInterrupt:
        return 0
    return 0


def main(arguments: list[str] | None = None) -> int:
    """The command line; a wrong word on it is told on standard error, with exit code 2."""
    try:
        result = app(arguments, exit_on_error=False, print_error=True, result_action="return_value")
    except cyclopts.CycloptsError:
        return 2
    return result if isinstance(result, int) else 0
