"""Verbs of `python -m hillchute`: route, check, lab up, lab parity, lab measure, lab slowloop, lab many.

Exit codes: 0 success, 1 the command ran and its check failed, 2 the command could not run as given. The verbs
only parse arguments and print results; the work is done in the subsystems that they call.
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

app = cyclopts.App(
    name="hillchute", version=__version__, help="A query gateway, its operator file check and its lab."
)
lab = cyclopts.App(name="lab", help="Stand-in engines, scripted workloads and simulations; loopback only.")
app.command(lab)

Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON instead of text.")]


def print_json(value: object) -> None:
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    sys.stdout.flush()


@app.command
def route(operator: Path | None = None) -> int:
    """Run a router, configured by the environment variables EDGE_NAME, EDGE_LISTEN and EDGE_CONFIG.

    Parameters
    ----------
    operator
        The operator file; without one, only features of the platform's protocol are enabled.
    """
    from hillchute.router.__main__ import main as run

    return run(str(operator) if operator else None)


@app.command
def check(file: Path, *, json: Json = False, fields: Annotated[bool, Parameter(negative="")] = False) -> int:
    """Check an operator file and print the settings in effect, defaults included.

    Parameters
    ----------
    file
        The operator file.
    fields
        Also list every field with its allowed values and description.
    """
    from hillchute.operator import reading
    from hillchute.operator.records import OperatorFileError

    try:
        settings = reading.read(file)
    except OperatorFileError as error:
        if json:
            print_json({"file": str(file), "faults": str(error).split("\n")})
        else:
            print(error, file=sys.stderr)
        return 2
    if json:
        print_json({"file": str(file), "settings": settings})
        return 0
    for path, value in flatten(settings):
        print(f"{path}: {orjson.dumps(value).decode()}")
    if fields:
        for path, allowed, description in reading.fields():
            print(f"# {path}: {allowed}{'; ' + description if description else ''}")
    return 0


def flatten(settings: dict[str, object], path: str = ""):
    """Yields the dotted path and the value of each setting that is not a mapping."""
    for name, value in settings.items():
        full_path = f"{path}.{name}" if path else name
        if isinstance(value, dict):
            yield from flatten(value, full_path)
        else:
            yield full_path, value


@lab.command
def parity(
    *, seed: int = 1, engines: Literal["flight", "line"] = "flight", queries: int = 2_000, json: Json = False
) -> int:
    """Run one scripted workload through MySQL clients, then Flight SQL clients, and compare the outcomes.

    Exits with 0 only if all queries have the same outcome on both and no rule was broken.

    Parameters
    ----------
    seed
        Seed of the generated script.
    engines
        The protocol that the stand-in engines speak.
    queries
        Approximate number of queries in the script.
    """
    from hillchute.lab.parity import compare

    comparison = anyio.run(compare, seed, engines, queries)
    if json:
        print_json(comparison)
    else:
        for front in ("mysql", "flight"):
            print(f"{front}: " + ", ".join(f"{n} {outcome}" for outcome, n in comparison[front].items()))
        print("equal" if comparison["equal"] else "NOT equal")
        for violation in comparison["broken_rules"]:
            print(f"broken: {violation}")
    return int(not comparison["equal"] or bool(comparison["broken_rules"]))


@lab.command
def measure(*, seconds: float = 4.0) -> int:
    """Measure the router's CPU, memory and latency for large and small results; print JSON.

    Covers each pair of client protocol and engine protocol.

    Parameters
    ----------
    seconds
        Duration of the measurement of each pair.
    """
    from hillchute.lab.measure import measure as run_measurement

    print_json(anyio.run(run_measurement, seconds))
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
    """Simulate many routers, and one global scheduler that sees engine states late, on the same traffic.

    Parameters
    ----------
    form
        What routers know of each other: nothing, the subsets of engines derived from router numbers, or also
        the load signals that routers exchange.
    play
        The scenario: 60% of the engines replaced, 70% of the routers killed, one zone partitioned, the number
        of routers doubled and halved, or no fault.
    seed
        Seed of the generated traffic.
    routers
        Number of routers.
    engines
        Number of engines at the start.
    load
        Offered work as a fraction of the capacity of all engines.
    slow
        Factor on the usual work, latency objectives and client timeouts.
    probe
        Cost of a health check relative to the value of a served query; the setting costs.probe.
    """
    from hillchute.lab.plays import run_and_measure

    results = run_and_measure(form, play, seed, routers, engines, load, slow, **{"costs.probe": probe})
    if json:
        print_json(results)
    else:
        for name, value in results.items():
            print(f"{name}: {value}")
    return 0


@lab.command
def slowloop(*, seeds: int = 20, first: int = 1, times: float = 3.0, json: Json = False) -> int:
    """Simulate a router whose CPU core is saturated, with a simulated clock and sockets.

    Exits with 0 if no rule was broken.

    Parameters
    ----------
    seeds
        Number of runs, each with its own seed.
    first
        Seed of the first run.
    times
        Offered load as a multiple of what the event loop can handle.
    """
    from hillchute.lab.slowloop import play

    violations_by_seed: dict[int, list[str]] = {}
    outcomes: Counter = Counter()
    for seed in range(first, first + seeds):
        rig = play(seed, load_factor=times)
        outcomes += rig.summary()
        if rig.violations:
            violations_by_seed[seed] = rig.violations
    if json:
        print_json(
            {
                "runs": seeds,
                "ends": dict(outcomes),
                "broken": {str(seed): violations for seed, violations in violations_by_seed.items()},
            }
        )
    else:
        for seed, violations in violations_by_seed.items():
            print(f"seed {seed}: {len(violations)} violations, the first: {violations[0]}")
        print(f"{seeds} runs, {len(violations_by_seed)} with a broken rule; {dict(outcomes)}")
    return int(bool(violations_by_seed))


@lab.command
def up(*, engines: Literal["line", "flight"] = "line", count: int = 2, operator: Path | None = None) -> int:
    """Run a small local deployment of stand-in engines and one router until Ctrl-C.

    Parameters
    ----------
    engines
        The protocol that the stand-in engines speak.
    count
        Number of engines.
    operator
        An operator file for the router; by default both MySQL and Flight SQL are enabled.
    """
    from hillchute.lab.toy import bring_up

    text = operator.read_text() if operator else None
    try:
        anyio.run(bring_up, engines, count, text)
    except KeyboardInterrupt:
        return 0
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns the exit code; usage errors go to standard error, with code 2."""
    try:
        result = app(arguments, exit_on_error=False, print_error=True, result_action="return_value")
    except cyclopts.CycloptsError:
        return 2
    return result if isinstance(result, int) else 0
