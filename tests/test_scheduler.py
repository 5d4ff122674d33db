"""Decisions of the scheduler: teams, dashboards, load estimation, ejection, load shedding and bulk loads."""

import pytest
from conftest import LOAD, LOOKUP, REPORT, WRITE

from hillchute.decision.interface import SECOND, AttemptEnded, AttemptResult, Reject, Submit


def engines_of(decisions, *queries):
    names = [q.id for q in queries]
    return [d.engine for d in decisions if isinstance(d, Submit) and d.query in names]


def test_affinity_set_joins_the_leader_and_bulk_loads_are_sent_alone(harness):
    leader, other = harness.add_query(REPORT, table_group=4), harness.add_query(REPORT, table_group=5)
    joining, load = harness.add_query(REPORT, table_group=4), harness.add_query(LOAD, table_group=4)
    harness.scheduler.teams.send_next(harness.scheduler.now)
    sent = [d.query for d in harness.scheduler.planned if isinstance(d, Submit)]
    assert sent == [leader.id, joining.id]
    assert list(harness.scheduler.queues.teams) == [other, load]


def test_leader_is_sent_to_the_engine_that_last_ran_its_table_group(harness):
    q = harness.add_query(REPORT, table_group=4)
    harness.scheduler.placement.affinity[4] = 3
    harness.scheduler.teams.send_next(harness.scheduler.now)
    assert engines_of(harness.scheduler.planned, q) == [3]


def test_own_share_of_the_thread_limit_applies_only_under_pressure(harness):
    e, q = harness.scheduler.engines[1], harness.add_query(REPORT)
    harness.add_load(e, attempts=2)
    harness.scheduler.now = 3 * SECOND  # late enough that reports include these attempts
    harness.scheduler.load.mean_load = 1.0
    harness.scheduler.load.mean_own_threads = 8.0
    harness.scheduler.load.reports_count_queries = True
    assert harness.scheduler.teams.free_slots(harness.scheduler.now, e, q) == 2
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"queue": 2.0})
    assert harness.scheduler.teams.free_slots(harness.scheduler.now, e, q) == 0


def test_leader_waits_when_no_engine_is_eligible(harness):
    q = harness.add_query(REPORT)
    for e in harness.scheduler.engines.values():
        harness.add_load(e, attempts=4)
    harness.scheduler.teams.send_next(harness.scheduler.now)
    assert list(harness.scheduler.queues.teams) == [q]


def test_dashboard_bypasses_the_queue_and_the_thread_limit(harness):
    for e in harness.scheduler.engines.values():
        harness.add_load(e, attempts=2)
    waiting, q = harness.add_query(REPORT), harness.add_query(LOOKUP)
    harness.scheduler.dashboards.send_next(harness.scheduler.now)
    harness.scheduler.teams.send_next(harness.scheduler.now)
    assert engines_of(harness.scheduler.planned, q)
    assert list(harness.scheduler.queues.teams) == [waiting]


def test_dashboard_is_rejected_when_every_engine_is_overloaded(harness):
    for e in harness.scheduler.engines.values():
        harness.add_load(e, attempts=4)
    q = harness.add_query(LOOKUP)
    harness.scheduler.dashboards.send_next(harness.scheduler.now)
    answer = harness.scheduler.planned[0]
    assert isinstance(answer, Reject) and answer.query == q.id


def test_bulk_loads_and_the_queries_that_wait_for_them_use_different_engines(make_harness):
    for tables in range(9):
        engine_halves = []
        for harness in (make_harness(), make_harness()):
            load, lookup = (
                harness.add_query(LOAD, table_group=tables),
                harness.add_query(LOOKUP, table_group=tables),
            )
            engine_halves.append(
                [
                    {e.id for e in harness.scheduler.placement.eligible_engines(harness.scheduler.now, q)}
                    for q in (load, lookup)
                ]
            )
        assert not engine_halves[0][0] & engine_halves[0][1]
        assert engine_halves[0] == engine_halves[1]


def test_free_slots_count_the_memory_granted_in_reports(make_harness):
    harness = make_harness(domain__report_x0="share_of_memory_granted", domain__ram_of_kind_mb=1000.0)
    e = harness.scheduler.engines[1]
    e.open_attempts = 1
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"inflight": 0.0, "x0": 0.5})
    assert (
        harness.scheduler.teams.free_slots(
            harness.scheduler.now, e, harness.add_query(REPORT, memory_mb=250.0)
        )
        == 2
    )
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"inflight": 0.0, "x0": 0.8})
    assert (
        harness.scheduler.teams.free_slots(
            harness.scheduler.now, e, harness.add_query(REPORT, memory_mb=250.0)
        )
        == 0
    )


def test_reported_queries_count_with_the_mean_threads_of_the_work(harness):
    for group, cost in ((LOOKUP, 1000), (REPORT, 4000)):
        harness.scheduler.dispatcher.submit(
            harness.scheduler.now, harness.add_query(group, cost=cost), harness.scheduler.engines[2]
        )
    harness.scheduler.load.read_report(harness.scheduler.now, harness.scheduler.engines[1], {"inflight": 4.0})
    assert harness.scheduler.engines[1].reported_threads == 10


def test_engine_without_a_report_counts_with_the_mean_load(harness):
    for e, util in zip(harness.scheduler.engines.values(), (0.25, 0.75), strict=False):
        harness.scheduler.load.read_report(harness.scheduler.now, e, {"util": util})
    assert harness.scheduler.load.estimated_threads(
        harness.scheduler.now, harness.scheduler.engines[3]
    ) == pytest.approx(8 * harness.scheduler.load.mean_load)
    assert (
        2 < harness.scheduler.load.estimated_threads(harness.scheduler.now, harness.scheduler.engines[3]) < 6
    )


def test_dashboard_avoids_engines_that_run_a_bulk_load_of_its_table_group(harness):
    harness.list_engines(1, 2, 3, 4, 5, 6)
    first, second, third = harness.scheduler.placement.eligible_engines(
        harness.scheduler.now, q := harness.add_query(LOOKUP, table_group=4)
    )
    first.running_bulk_loads = second.running_bulk_loads = [4]
    assert harness.scheduler.placement.eligible_engines(harness.scheduler.now, q) == [third]


def test_failing_engine_is_ejected_for_longer_each_time(harness):
    e = harness.scheduler.engines[1]
    ejected_until_times = []
    for sent in range(3):
        harness.add_attempted_query(LOOKUP, sent=sent, result=AttemptResult.CONNECTION_REFUSED)
        ejected_until_times.append(e.ejected_until)
    assert ejected_until_times == sorted(set(ejected_until_times)) and e.ejected_until > harness.scheduler.now


def test_attempts_lost_with_one_connection_are_one_failure(harness):
    for q in [harness.add_attempted_query(LOOKUP) for _ in range(5)]:
        harness.scheduler.on_attempt_ended(
            10, AttemptEnded(q.id, 0, AttemptResult.CONNECTION_LOST, False, 10)
        )
    assert harness.scheduler.engines[1].ejected_until == 0


def test_query_that_no_engine_can_run_ejects_none_and_is_not_retried_forever(harness):
    for n in range(6):
        q = harness.add_attempted_query(LOOKUP, sent=n, result=AttemptResult.FAILED)
        harness.add_attempt(q, 2, n, AttemptResult.FAILED)
        assert not harness.scheduler.retries.may_retry(harness.scheduler.now, q)
    assert not any(e.ejected_until for e in harness.scheduler.engines.values())


def test_engine_is_ejected_if_another_serves_the_queries_that_failed_on_it(harness):
    for n in range(2):
        q = harness.add_attempted_query(LOOKUP, sent=n, result=AttemptResult.FAILED)
        harness.add_attempt(q, 2, n, AttemptResult.SERVED)
    assert (
        harness.scheduler.engines[1].ejected_until > harness.scheduler.now
        and harness.scheduler.engines[2].ejected_until == 0
    )


def test_ended_attempts_that_were_sent_since_the_report_are_no_load(harness):
    harness.scheduler.on_health_check(0, 1, AttemptResult.SERVED, {"inflight": 4})
    for n in range(6):
        q = harness.add_attempted_query(LOOKUP, sent=0)
        if n:
            harness.scheduler.on_attempt_ended(10, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 10))
    assert harness.scheduler.engines[1].sent_since(0) == (1, 0.0)


def test_engine_that_hangs_between_reports_shows_by_its_open_attempts(harness):
    e = harness.scheduler.engines[1]
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"inflight": 0.0})
    harness.scheduler.load.mean_load = 1.0
    harness.scheduler.load.mean_own_threads = 4.0
    harness.scheduler.load.reports_count_queries = True
    for _ in range(12):
        harness.add_attempted_query(LOOKUP)
    assert harness.scheduler.load.total_threads(harness.scheduler.now, e) == 18


def test_few_own_threads_are_hardly_extrapolated_to_many_routers(make_harness):
    harness = make_harness(n_instances=200)
    harness.scheduler.load.mean_load, harness.scheduler.load.mean_own_threads = 1.0, 0.1
    harness.add_attempted_query(REPORT)
    assert 4 < harness.scheduler.load.total_threads(harness.scheduler.now, harness.scheduler.engines[1]) < 32


def test_share_of_less_than_one_query_admits_queries_at_random(make_harness):
    harness = make_harness(n_instances=40)
    e = harness.scheduler.engines[1]
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"util": 1.0})
    assert (
        5
        <= sum(
            harness.scheduler.teams.free_slots(harness.scheduler.now, e, harness.add_query(REPORT))
            for _ in range(100)
        )
        <= 20
    )


def test_report_decays_to_the_mean(harness):
    one, other = harness.scheduler.engines[1], harness.scheduler.engines[2]
    harness.scheduler.load.read_report(harness.scheduler.now, other, {"util": 0.5})
    harness.scheduler.load.read_report(harness.scheduler.now, one, {"util": 1.0})
    assert harness.scheduler.load.estimated_threads(harness.scheduler.now, one) == 8
    harness.scheduler.now = 60 * SECOND
    assert harness.scheduler.load.estimated_threads(harness.scheduler.now, one) == pytest.approx(
        harness.scheduler.load.mean_load * 8
    )


def test_overload_shows_before_the_first_answer_and_heavy_queries_are_rejected(harness):
    for n in range(4):
        harness.add_attempted_query(LOOKUP)
        harness.scheduler.load.recent_attempts.add(0, harness.scheduler.queries[f"q{n}"].attempts[0])
    light, heavy = (
        harness.add_query(REPORT, now=4000, cost=90),
        harness.add_query(REPORT, now=4000, cost=9000),
    )
    assert harness.scheduler.load.slowdown(harness.scheduler.now) == 4
    assert [harness.scheduler.admission.is_too_heavy(harness.scheduler.now, q) for q in (light, heavy)] == [
        False,
        True,
    ]


def test_few_lost_answers_do_not_change_the_slowdown(harness):
    for n in range(7):
        q = harness.add_attempted_query(LOOKUP)
        harness.scheduler.load.recent_attempts.add(0, q.attempts[0])
        if n > 2:
            harness.scheduler.on_attempt_ended(1000, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 1000))
    harness.scheduler.now = 3 * SECOND
    assert harness.scheduler.load.slowdown(harness.scheduler.now) == 1


def test_single_lost_connection_neither_ejects_nor_warms_up_the_engine(harness):
    harness.add_attempted_query(LOOKUP, result=AttemptResult.CONNECTION_LOST)
    assert harness.scheduler.engines[1].ejected_until == 0
    assert not harness.scheduler.engines[1].is_warming_up(harness.scheduler.now)


def test_tenant_over_its_share_is_limited_to_lighter_queries(make_harness):
    harness = make_harness(parties__0__fraction=0.5, parties__0__quota_per_s=1, parties__1__fraction=0.5)
    harness.scheduler.load.mean_load = 1.5
    over, _, other = (
        harness.add_query(REPORT, cost=900),
        harness.add_query(REPORT, cost=10),
        harness.add_query(REPORT, tenant=1),
    )
    over.cost = other.cost = 3 * over.group.mean_cost
    assert [harness.scheduler.admission.is_too_heavy(harness.scheduler.now, q) for q in (over, other)] == [
        True,
        False,
    ]


def test_busy_report_counts_until_the_next_report(harness):
    e = harness.scheduler.engines[1]
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"util": 1.0})
    assert e.under_pressure_until > SECOND
    harness.scheduler.load.read_report(harness.scheduler.now, e, {"util": 0.5})
    assert e.under_pressure_until == 0


def test_time_limit_is_longer_where_engines_queue_for_memory(make_harness):
    time_limits = []
    for shortage in ("cut", "line_up"):
        harness = make_harness(limits__cancel=True, domain__on_shortage=shortage)
        harness.scheduler.dispatcher.submit(
            harness.scheduler.now,
            harness.add_query(REPORT, cost=8 * SECOND, deadline=60 * SECOND),
            harness.scheduler.engines[1],
        )
        time_limits.append(harness.scheduler.planned[-1].time_limit)
    assert time_limits == [5 * SECOND, 12 * SECOND]


def test_query_heavy_for_its_weight_is_rejected_before_one_heavy_for_its_group_only(harness):
    harness.scheduler.admission.mean_cost_per_weight, harness.scheduler.load.mean_load = 100.0, 1.5
    report, load = harness.add_query(REPORT, cost=100), harness.add_query(WRITE, cost=100)
    report.cost = load.cost = 600
    assert [harness.scheduler.admission.is_too_heavy(harness.scheduler.now, q) for q in (report, load)] == [
        False,
        True,
    ]


def test_few_slow_attempts_at_a_quiet_router_do_not_make_a_query_too_late(harness):
    for _ in range(3):
        harness.scheduler.load.recent_attempts.add(0, harness.add_attempted_query(LOOKUP).attempts[0])
    harness.scheduler.now = SECOND
    q = harness.add_query(REPORT, now=SECOND, cost=8000)
    assert harness.scheduler.load.slowdown(harness.scheduler.now) == 10
    assert harness.scheduler.load.latest_start(harness.scheduler.now, q) > SECOND


def test_blocked_bulk_load_waits_and_delays_no_other_query(harness):
    harness.list_engines(1, 2, 3, 4)
    first, second, report = (
        harness.add_query(LOAD, table_group=4),
        harness.add_query(LOAD, table_group=4),
        harness.add_query(REPORT, table_group=5),
    )
    for e in harness.scheduler.placement.filter_by_half(list(harness.scheduler.engines.values()), first):
        e.running_bulk_loads.append(4)
    decisions = harness.take_decisions()
    assert engines_of(decisions, report) and not engines_of(decisions, first, second)
    assert list(harness.scheduler.queues.blocked_bulk_loads[4]) == [first, second]


def test_bulk_load_starts_when_the_one_before_it_ends(harness):
    harness.list_engines(1, 2, 3, 4)
    loads = [harness.add_query(LOAD, table_group=4) for _ in range(3)]
    sent = [q for q in loads if engines_of(harness.take_decisions(), q) or q.attempts]
    assert len(sent) == 1 and len(harness.scheduler.queues.blocked_bulk_loads[4]) == 2
    harness.scheduler.on_attempt_ended(100, AttemptEnded(sent[0].id, 0, AttemptResult.SERVED, True, 100))
    assert engines_of(harness.take_decisions(100), *loads)


def test_bulk_load_that_can_not_start_in_time_behind_others_is_rejected_at_once(harness):
    harness.list_engines(1, 2, 3, 4)
    loads = [harness.add_query(LOAD, table_group=4, cost=2 * SECOND, deadline=60 * SECOND) for _ in range(9)]
    rejected = [d.query for d in harness.take_decisions() if isinstance(d, Reject)]
    assert loads[-1].id in rejected and loads[0].id not in rejected


def test_few_routers_use_different_engines_for_bulk_loads_of_a_table_group(make_harness):
    load_engines = set()
    for me in range(2):
        harness = make_harness(me=me)
        harness.list_engines(1, 2, 3, 4)
        (e,) = harness.scheduler.placement.filter_by_half(
            list(harness.scheduler.engines.values()), harness.add_query(LOAD, table_group=4)
        )
        load_engines.add(e.id)
    assert len(load_engines) == 2


def test_ordered_query_whose_turn_comes_too_late_is_rejected_before_its_deadline(harness):
    harness.add_query(LOAD, ordering_key="k", deadline=60 * SECOND)
    late = harness.add_query(LOAD, ordering_key="k", deadline=60 * SECOND)
    harness.take_decisions()
    assert late.id in [
        d.query
        for d in harness.take_decisions(harness.scheduler.load.latest_start(harness.scheduler.now, late) + 1)
        if isinstance(d, Reject)
    ]
    assert late not in harness.scheduler.queues.keys["k"].queries


def test_shutdown_brings_every_deadline_forward(harness):
    q = harness.add_query(REPORT, deadline=60 * SECOND)
    harness.take_decisions()
    harness.scheduler.on_shutdown(0, SECOND)
    assert q.id in [
        d.query
        for d in harness.take_decisions(SECOND - harness.scheduler.answer_margin)
        if isinstance(d, Reject)
    ]


def test_query_that_holds_a_session_too_long_for_its_weight_is_rejected_when_few_are_free(make_harness):
    harness = make_harness(sessions=10)
    lookup, load = harness.add_query(LOOKUP), harness.add_query(LOAD)
    harness.scheduler.admission.mean_elapsed_per_weight = lookup.group.mean_elapsed = 2000
    load.group.mean_elapsed = 40_000
    assert not harness.scheduler.admission.is_too_heavy(harness.scheduler.now, load)
    for _ in range(7):
        harness.add_query(LOOKUP)
    assert [harness.scheduler.admission.is_too_heavy(harness.scheduler.now, q) for q in (lookup, load)] == [
        False,
        True,
    ]


def test_pressure_counts_own_attempts_once(harness):
    """A report includes own attempts; attempts sent later replace those that have ended since."""
    scheduler = harness.scheduler
    scheduler.on_subset(0, frozenset(scheduler.engines))
    for e in scheduler.engines.values():
        scheduler.load.read_report(scheduler.now, e, {"util": 1.4})
    q = harness.add_query(REPORT, cost=3000)
    assert not scheduler.admission.is_too_heavy(scheduler.now, q)
    for engine in scheduler.engines:
        for _ in range(4):
            harness.add_attempted_query(REPORT, engine, cost=3000)
    assert [
        scheduler.load.estimated_threads(scheduler.now, e) > 1.9 * e.cores for e in scheduler.engines.values()
    ] == [True] * 3
    assert not scheduler.admission.is_too_heavy(scheduler.now, q)


def test_pressure_is_at_least_the_load_of_own_attempts(harness):
    scheduler = harness.scheduler
    scheduler.on_subset(0, frozenset(scheduler.engines))
    for e in scheduler.engines.values():
        scheduler.load.read_report(scheduler.now, e, {"util": 0.5})
    q = harness.add_query(REPORT, cost=3000)
    assert not scheduler.admission.is_too_heavy(scheduler.now, q)
    for e in scheduler.engines.values():
        harness.add_load(e, attempts=6)
    assert scheduler.admission.is_too_heavy(scheduler.now, q)
