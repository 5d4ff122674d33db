"""Scenarios ("plays") of the fleet simulation in many.py, and their result figures.

A play is a script of faults or changes. Its function's name is its name on the command line and in results.
"""

from collections.abc import Callable
from statistics import mean

from hillchute.decision.interface import SECOND
from hillchute.lab.many import LOOKUP, REPORT, DelayedOracle, FleetSimulation, Simulation

NAMES = {LOOKUP: "lookup", REPORT: "report"}
# Length of the start-up phase, which is not counted, and of the time for the last queries to end; for a
# slowdown of 1.
SETTLING_SECONDS = 4.0


def replaced(simulation: Simulation) -> None:
    """Replace 60 % of the engines, in two steps within seven seconds."""
    count = len(simulation.engines) * 3 // 10
    for seconds in (3.5, 8.5):
        simulation.replace_engines(count)
        simulation.run_for(seconds)


def killed(simulation: Simulation) -> None:
    """Restart 70 % of the routers at once, without their state."""
    simulation.restart_routers(0.7)
    simulation.run_for(12)


def cut(simulation: Simulation) -> None:
    """Partition one zone from all others for six seconds."""
    simulation.partition_zone(0)
    simulation.run_for(6)
    simulation.heal_partition()
    simulation.run_for(6)


def doubled(simulation: Simulation) -> None:
    """Double the number of routers and halve it again, at the same total traffic."""
    routers = len(simulation.router_weights)
    for size in (2 * routers, routers):
        simulation.resize(size)
        simulation.run_for(6)


def calm(simulation: Simulation) -> None:
    """Run without faults."""
    simulation.run_for(12)


PLAYS: dict[str, Callable[[Simulation], None]] = {
    play.__name__: play for play in (replaced, killed, cut, doubled, calm)
}


def run_play(simulation: Simulation, play: str) -> float:
    """Run a play with a start-up phase before it; return the seconds in which queries were counted."""
    simulation.run_for(SETTLING_SECONDS * simulation.slowdown)
    simulation.reset_counts()
    started_at = simulation.now
    PLAYS[play](simulation)
    counted_seconds = (simulation.now - started_at) / SECOND
    simulation.run_without_traffic(SETTLING_SECONDS * simulation.slowdown)
    return counted_seconds


def run_and_measure(
    form: str,
    play: str,
    seed: int,
    routers: int,
    engines: int,
    load: float,
    slowdown: float = 1.0,
    **overrides,
) -> dict[str, object]:
    """Run a play with a fleet of this form and with the baseline on the same traffic; return the figures.

    `served` and `late_seeing` are the fraction of the requested value that the fleet and the baseline served.
    """
    fleet = FleetSimulation(seed, routers, engines, load, 1.0, slowdown, form=form, **overrides)
    seconds = run_play(fleet, play)
    baseline = DelayedOracle(seed, routers, engines, load, 1.0, slowdown, **overrides)
    run_play(baseline, play)
    requested = {group: sum(n for (_, g), n in fleet.requested.items() if g == group) for group in NAMES}
    served = {group: sum(n for (_, g), n in fleet.served.items() if g == group) for group in NAMES}
    overload_fractions = [engine.peak_overload_fraction() for engine in fleet.replacement_engines()]
    deferred = {f"{NAMES[g]}: {reason}": n for (g, reason), n in sorted(fleet.rejected.items())}
    return {
        "play": play,
        "form": form,
        "served": round(fleet.served_value_ratio(), 3),
        "late_seeing": round(baseline.served_value_ratio(), 3),
        "report_age_ms": round(fleet.median_report_age_ms()),
        "probes_s": round(fleet.health_checks / seconds / engines, 3),  # per engine
        "probes_a_query": round(fleet.health_checks / sum(requested.values()), 3),
        "cold_falls": sum(fraction >= 1 for fraction in overload_fractions),
        "most_of_what_tips": round(max(overload_fractions, default=0.0), 3),
        "jain": round(fleet.jain(), 3),
        "jain_customers": round(fleet.jain_customers(), 3),
        "bytes_s": round(fleet.bytes_sent / seconds / len(fleet.routers)),  # per router, with headers
        "moved": round(mean(fleet.moved_fractions), 3) if fleet.moved_fractions else 0.0,
        "served_of": {NAMES[g]: round(served[g] / requested[g], 3) for g in NAMES},
        "deferred": deferred,
        "most_held": max(len(engine.runs) for engine in fleet.engines.values()),
    }
