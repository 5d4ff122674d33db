"""Run the fleet simulation at several sizes, store the results as JSON lines and draw charts of them.

    python -m hillchute.lab.charts measure FILE --play replaced --sizes 50x20,200x80 --forms subset,shared
    python -m hillchute.lab.charts draw FILE FOLDER

All figures are simulated (hillchute/lab/many.py). The file has one line per simulation, and `measure` skips
those that it has already, so that an interrupted measurement can be resumed.
"""

import argparse
import os
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path

import orjson

from hillchute.lab.many import FORMS
from hillchute.lab.plays import PLAYS, run_and_measure

# Cost of one health check per query, as a fraction of the total value of queries, under normal conditions.
HEALTH_CHECK_COST = 0.0086
LOAD = 0.7
ResultRow = Mapping[str, object]


def read_results(path: Path) -> list[ResultRow]:
    return [orjson.loads(line) for line in path.read_bytes().splitlines()] if path.exists() else []


def measure(
    path: Path, play: str, sizes: Iterable[tuple[int, int]], forms: Iterable[str], seeds: Iterable[int]
) -> None:
    measured = {(f["play"], f["form"], f["routers"], f["engines"], f["seed"]) for f in read_results(path)}
    for seed in seeds:
        for routers, engines in sizes:
            for form in forms:
                if (play, form, routers, engines, seed) in measured:
                    continue
                results = run_and_measure(
                    form, play, seed, routers, engines, LOAD, **{"costs.probe": HEALTH_CHECK_COST}
                )
                line = {"seed": seed, "routers": routers, "engines": engines, **results}
                with path.open("ab") as file:
                    file.write(orjson.dumps(line) + b"\n")


def means(rows: Iterable[ResultRow], name: str) -> dict[str, dict[tuple[int, int], float]]:
    """Return the mean of a figure over seeds, by form and size."""
    results: dict[str, dict[tuple[int, int], list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        results[row["form"]][row["routers"], row["engines"]].append(row[name])
    return {
        form: {size: sum(values) / len(values) for size, values in sorted(sizes.items())}
        for form, sizes in results.items()
    }


def draw(rows: list[ResultRow], folder: Path) -> list[Path]:
    """Draw one chart of four figures for each play; return the paths of the files."""
    os.environ.setdefault("MPLBACKEND", "Agg")
    from matplotlib import pyplot

    titles = {
        "served": "fraction of value served (dashed: baseline)",
        "probes_s": "health checks per engine and second",
        "report_age_ms": "age of load reports in use, ms",
        "bytes_s": "bytes sent per router and second",
    }
    paths = []
    folder.mkdir(parents=True, exist_ok=True)
    for play in sorted({row["play"] for row in rows}):
        play_rows = [row for row in rows if row["play"] == play]
        figure, axes = pyplot.subplots(2, 2, figsize=(9, 6), layout="constrained")
        for (name, title), axis in zip(titles.items(), axes.flat):
            for form, sizes in sorted(means(play_rows, name).items()):
                labels = [f"{routers}x{engines}" for routers, engines in sizes]
                axis.plot(labels, list(sizes.values()), marker="o", label=form)
            if name == "served":
                baseline = next(iter(means(play_rows, "late_seeing").values()))
                axis.plot([f"{r}x{e}" for r, e in baseline], list(baseline.values()), "k--", linewidth=0.8)
                axis.set_ylim(0.5, 1.02)
            else:
                axis.set_ylim(bottom=0)
            axis.set_title(title, fontsize=9)
            axis.tick_params(axis="x", labelsize=7)
        axes.flat[0].legend(fontsize=8)
        figure.suptitle(f"{play}: routers x engines, simulated", fontsize=10)
        path = folder / f"fleet-{play}.png"
        figure.savefig(path, dpi=90)
        pyplot.close(figure)
        paths.append(path)
    return paths


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m hillchute.lab.charts", description=__doc__.split("\n")[0]
    )
    commands = parser.add_subparsers(dest="verb", required=True)
    measure_parser = commands.add_parser("measure", help="run simulations and store their results")
    measure_parser.add_argument("file", type=Path)
    measure_parser.add_argument("--play", choices=sorted(PLAYS), default="replaced")
    measure_parser.add_argument(
        "--sizes", default="50x20,100x40,200x80", help="routers x engines, comma-separated"
    )
    measure_parser.add_argument("--forms", default=",".join(FORMS))
    measure_parser.add_argument("--seeds", default="1")
    draw_parser = commands.add_parser("draw", help="draw charts of stored results")
    draw_parser.add_argument("file", type=Path)
    draw_parser.add_argument("folder", type=Path)
    options = parser.parse_args()
    if options.verb == "draw":
        for path in draw(read_results(options.file), options.folder):
            print(path)
        return 0
    sizes = [tuple(int(part) for part in size.split("x")) for size in options.sizes.split(",")]
    seeds = [int(seed) for seed in options.seeds.split(",")]
    measure(options.file, options.play, sizes, options.forms.split(","), seeds)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
