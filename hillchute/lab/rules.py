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
    ran = [r for r in world.runs if r.started_at >= first]
    by_id: dict[str, list[RunRecord]] = defaultdict(list)
    for r in ran:
        by_id[r.id].append(r)
    faults = []
    for q in queries:
        faults += check_answer(q, slack)
        faults += check_attempts(q, by_id[q.id])
    faults += check_effects(ran)
    faults += check_drains(world, ran, slack)
    faults += check_order(queries, by_id)
    return faults


def check_answer(q: Query, slack: float = TOLERANCE) -> list[str]:
    """Check that a query got exactly one answer, in time and of a known kind."""
    if q.cancel_after is not None and not q.answers:
        return []
    if len(q.answers) != 1:
        return [f"rule 1: {q.id} {q.group} got {len(q.answers)} answers"]
    late = q.answers[0][0] - q.sent - q.client_timeout_ms / 1000
    if late > slack:
        return [f"rule 1: {q.id} {q.group} was answered {late:.3f} s late"]
    if q.answers[0][1] not in ("finished", "deferred", "killed"):
        return [f"rule 1: {q.id} {q.group} ended as {q.answers[0][1]}"]
    return []


def check_attempts(q: Query, ran: list[RunRecord]) -> list[str]:
    """Check that attempts of a query did not overlap and were not too many."""
    faults = []
    ran = sorted(ran, key=lambda r: r.started_at)
    for before, after in zip(ran, ran[1:], strict=False):
        if before.ended_at is None or after.started_at < before.ended_at - TOLERANCE:
            faults.append(f"rule 2: {q.id} {q.group} ran twice at once")
    if len(ran) > MAX_ATTEMPTS:
        faults.append(f"rule 7: {q.id} {q.group} was submitted {len(ran)} times")
    return faults


def check_effects(ran: list[RunRecord]) -> list[str]:
    """Check that no idempotency token took effect twice."""
    seen: dict[str, str] = {}
    faults = []
    for r in ran:
        if r.had_effect:
            if r.idempotency_key in seen:
                faults.append(
                    f"rule 2: token {r.idempotency_key} took effect for {seen[r.idempotency_key]} and {r.id}"
                )
            seen[r.idempotency_key] = r.id
    return faults


def check_drains(world: EngineWorld, ran: list[RunRecord], slack: float = TOLERANCE) -> list[str]:
    """Check that no run began on a draining engine after the grace period."""
    return [
        f"rule 3: {r.id} began on {r.engine} {r.started_at - world.drained[r.engine]:.3f} s "
        "after its drain notice"
        for r in ran
        if r.engine in world.drained and r.started_at > world.drained[r.engine] + DRAIN_GRACE + slack
    ]


def check_order(queries: list[Query], by_id: dict[str, list[RunRecord]]) -> list[str]:
    """Check that queries of a key ran one at a time, and those of one router in the order they were sent."""
    faults = []
    keys = defaultdict(list)
    for q in queries:
        if q.ordering_key:
            keys[q.ordering_key].append(q)
    for key, key_queries in keys.items():
        runs = sorted(((r, q) for q in key_queries for r in by_id[q.id]), key=lambda pair: pair[0].started_at)
        for (before, q), (after, p) in zip(runs, runs[1:], strict=False):
            if p is not q and p.sent < q.sent and p.router == q.router:
                faults.append(f"rule 5: key {key}: {p.id} ran after {q.id}, which was sent later")
            if before.ended_at is None or after.started_at < before.ended_at - TOLERANCE:
                faults.append(f"rule 5: key {key}: {p.id} ran at the same time as {q.id}")
    return faults
