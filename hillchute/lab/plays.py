"""What happens to a fleet of many routers, as figures for people and tests; simulated.

Owns the scripts of what fails when, and what is counted after. Must never know how a decision is made.
"""

from collections.abc import Callable
from statistics import mean

from hillchute.decision.interface import SECOND
from hillchute.lab.many import LOOKUP, REPORT, Many, Seeing, World

NAMES = {LOOKUP: "lookup", REPORT: "report"}
SETTLES = 4.0  # seconds before anything counts, for a fleet whose work is of the usual size


def replaced(world: World) -> None:
    """Six engines in ten are replaced, in two steps within seven seconds."""
    count = len(world.engines) * 3 // 10
    for seconds in (3.5, 8.5):
        world.replace(count)
        world.play(seconds)


def killed(world: World) -> None:
    """Seven routers in ten start from nothing at once."""
    world.restart(0.7)
    world.play(12)


def cut(world: World) -> None:
    """A zone and all others hear nothing of each other for six seconds."""
    world.cut(0)
    world.play(6)
    world.mend()
    world.play(6)


def doubled(world: World) -> None:
    """The fleet grows to twice its size and back, with the same traffic spread over it."""
    routers = len(world.weights)
    for size in (2 * routers, routers):
        world.resize(size)
        world.play(6)


def calm(world: World) -> None:
    """Nothing fails."""
    world.play(12)


PLAYS: dict[str, Callable[[World], None]] = {
    play.__name__: play for play in (replaced, killed, cut, doubled, calm)
}


def run(world: World, play: str) -> float:
    """Seconds that were counted."""
    world.play(SETTLES * world.slow)
    world.forget()
    since = world.now
    PLAYS[play](world)
    counted = (world.now - since) / SECOND
    world.drain(SETTLES * world.slow)
    return counted


def figures(
    form: str, play: str, seed: int, routers: int, engines: int, load: float, slow: float = 1.0, **changed
) -> dict[str, object]:
    """One play of a form, beside the mind that sees late on the same traffic."""
    fleet = Many(seed, routers, engines, load, 1.0, slow, form=form, **changed)
    seconds = run(fleet, play)
    seeing = Seeing(seed, routers, engines, load, 1.0, slow, **changed)
    run(seeing, play)
    asked = {group: sum(n for (_, g), n in fleet.asked.items() if g == group) for group in NAMES}
    served = {group: sum(n for (_, g), n in fleet.served.items() if g == group) for group in NAMES}
    tips = [engine.most_of_what_tips() for engine in fleet.cold()]
    deferred = {f"{NAMES[g]}: {why}": n for (g, why), n in sorted(fleet.deferred.items())}
    return {
        "play": play,
        "form": form,
        "served": round(fleet.worth(), 3),
        "late_seeing": round(seeing.worth(), 3),
        "report_age_ms": round(fleet.report_age()),
        "probes_s": round(fleet.probes / seconds / engines, 3),  # that an engine gets
        "probes_a_query": round(fleet.probes / sum(asked.values()), 3),
        "cold_falls": sum(part >= 1 for part in tips),
        "most_of_what_tips": round(max(tips, default=0.0), 3),
        "jain": round(fleet.jain(), 3),
        "jain_customers": round(fleet.jain_customers(), 3),
        "bytes_s": round(fleet.bytes / seconds / len(fleet.routers)),  # that a router sends, headers too
        "moved": round(mean(fleet.moved), 3) if fleet.moved else 0.0,
        "served_of": {NAMES[g]: round(served[g] / asked[g], 3) for g in NAMES},
        "deferred": deferred,
        "most_held": max(len(engine.runs) for engine in fleet.engines.values()),
    }
