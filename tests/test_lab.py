"""A small parity run of the two front ends, statement behaviours, and the rule checker on violations."""

import anyio
import pytest

from hillchute.lab import parity, rules
from hillchute.lab.clients import Query
from hillchute.lab.world import EngineWorld, RunRecord, StatementBehaviour


@pytest.mark.real_time
def test_both_front_ends_have_equal_outcomes_for_the_same_script():
    report = anyio.run(parity.compare, 7, "flight", 250)
    assert report["equal"] and not report["broken_rules"]
    assert all(report["mysql"][outcome] for outcome in parity.OUTCOMES)


def test_statement_comment_gives_its_behaviour():
    behaviour = StatementBehaviour.from_statement(
        b"SELECT /* lab ms=2.5 rows=7 batches=2 full=-1 other=3 */ a FROM staging.x JOIN sales_4.y"
    )
    assert (behaviour.ms, behaviour.rows, behaviour.full, behaviour.table_group) == (2.5, 7, -1, 4)
    assert [len(behaviour.batch(n)) for n in range(2)] == [3, 4]


def run_record(q, started_at, ended_at, engine="s-1", effect=False):
    return RunRecord(q.id, q.group, q.idempotency_key, engine, started_at, ended_at, "finished", effect)


@pytest.mark.parametrize(
    "add_violation, rule",
    [
        (lambda w, a, b: a.answers.append((2.0, "killed")), "rule 1"),
        (lambda w, a, b: a.answers.clear(), "rule 1"),
        (lambda w, a, b: a.answers.__setitem__(0, (99.0, "finished")), "rule 1"),
        (lambda w, a, b: w.runs.append(run_record(a, 0.5, 1.5)), "rule 2"),
        (lambda w, a, b: w.runs.append(run_record(b, 9.0, 9.5, effect=True)), "rule 2"),
        (lambda w, a, b: w.drained.__setitem__("s-1", -1.0), "rule 3"),
        (lambda w, a, b: setattr(a, "sent", 5.0), "rule 5"),
        (lambda w, a, b: setattr(w.runs[1], "started_at", 0.5), "rule 5"),
        (lambda w, a, b: w.runs.extend(run_record(a, 20.0 + n, 20.5 + n) for n in range(3)), "rule 7"),
    ],
)
def test_checker_finds_a_violation_of_each_rule(add_violation, rule):
    world = EngineWorld()
    a, b = (Query("event-load", "", idempotency_key=f"{n}", ordering_key="k", sent=float(n)) for n in (0, 2))
    for q in (a, b):
        q.answers.append((q.sent + 1, "finished"))
        world.runs.append(run_record(q, q.sent + 0.2, q.sent + 0.9, effect=True))
    assert not rules.find_violations(world, [a, b])
    add_violation(world, a, b)
    assert rule in {violation.split(":")[0] for violation in rules.find_violations(world, [a, b])}
