"""Checks rules 1, 2, 3, 5 and 7 on the records that clients and engines made of a run.

Uses nothing that a router reports itself. Rules 4 and 6 need cold engines and placement, which the toy
deployment does not have.
"""

from collections import defaultdict
from collections.abc import Iterable

from hillchute.lab.clients import Query
from hillchute.lab.world import EngineWorld, RunRecord

DRAIN_GRACE = 1.0  # seconds after a drain notice in which a run may still be submitted
TOLERANCE = 0.05  # seconds; the protocol's tolerance on each time limit
MAX_ATTEMPTS = 3


def find_violations(
    world: EngineWorld, queries: Iterable[Query], first: float = 0.0, slack: float = TOLERANCE
) -> list[str]:
    """Return a description of every violation.

    Runs that began before `first` are not checked. `slack` is the tolerated delay in seconds; a machine with
    other load needs a larger one.
    """
    queries = list(queries)
    runs = [run for run in world.runs if run.started_at >= first]
    by_id: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        by_id[run.id].append(run)
    violations = []
    for query in queries:
        violations += check_answer(query, slack)
        violations += check_attempts(query, by_id[query.id])
    violations += check_effects(runs)
    violations += check_drains(world, runs, slack)
    violations += check_order(queries, by_id)
    return violations


def check_answer(query: Query, slack: float = TOLERANCE) -> list[str]:
    """Check that a query got exactly one answer, in time and of a known kind."""
    if query.cancel_after is not None and not query.answers:
        return []
    if len(query.answers) != 1:
        return [f"rule 1: {query.id} {query.group} got {len(query.answers)} answers"]
    late = query.answers[0][0] - query.sent - query.client_timeout_ms / 1000
    if late > slack:
        return [f"rule 1: {query.id} {query.group} was answered {late:.3f} s late"]
    if query.answers[0][1] not in ("finished", "deferred", "killed"):
        return [f"rule 1: {query.id} {query.group} ended as {query.answers[0][1]}"]
    return []


def check_attempts(query: Query, runs: list[RunRecord]) -> list[str]:
    """Check that attempts of a query did not overlap and were not too many."""
    violations = []
    runs = sorted(runs, key=lambda run: run.started_at)
    for before, after in zip(runs, runs[1:], strict=False):
        if before.ended_at is None or after.started_at < before.ended_at - TOLERANCE:
            violations.append(f"rule 2: {query.id} {query.group} ran twice at once")
    if len(runs) > MAX_ATTEMPTS:
        violations.append(f"rule 7: {query.id} {query.group} was submitted {len(runs)} times")
    return violations


def check_effects(runs: list[RunRecord]) -> list[str]:
    """Check that no idempotency token took effect twice."""
    seen: dict[str, str] = {}
    violations = []
    for run in runs:
        if run.had_effect:
            if run.idempotency_key in seen:
                violations.append(
                    f"rule 2: token {run.idempotency_key} took effect for "
                    f"{seen[run.idempotency_key]} and {run.id}"
                )
            seen[run.idempotency_key] = run.id
    return violations


def check_drains(world: EngineWorld, runs: list[RunRecord], slack: float = TOLERANCE) -> list[str]:
    """Check that no run began on a draining engine after the grace period."""
    return [
        f"rule 3: {run.id} began on {run.engine} {run.started_at - world.drained[run.engine]:.3f} s "
        "after its drain notice"
        for run in runs
        if run.engine in world.drained and run.started_at > world.drained[run.engine] + DRAIN_GRACE + slack
    ]


def check_order(queries: list[Query], by_id: dict[str, list[RunRecord]]) -> list[str]:
    """Check that queries of a key ran one at a time, and those of one router in the order they were sent."""
    violations = []
    keys = defaultdict(list)
    for query in queries:
        if query.ordering_key:
            keys[query.ordering_key].append(query)
    for key, key_queries in keys.items():
        runs = sorted(
            ((run, query) for query in key_queries for run in by_id[query.id]),
            key=lambda pair: pair[0].started_at,
        )
        for (before, query), (after, next_query) in zip(runs, runs[1:], strict=False):
            if next_query is not query and next_query.sent < query.sent and next_query.router == query.router:
                violations.append(
                    f"rule 5: key {key}: {next_query.id} ran after {query.id}, which was sent later"
                )
            if before.ended_at is None or after.started_at < before.ended_at - TOLERANCE:
                violations.append(f"rule 5: key {key}: {next_query.id} ran at the same time as {query.id}")
    return violations
