"""The design's ordinary path and the answers to failures found."""

import pytest
from conftest import LOAD, LOOKUP, REPORT, WRITE

from hillchute.decision.interface import SECOND, AttemptEnded, AttemptResult, Reject, Submit


def engines_of(said, *queries):
    names = [q.id for q in queries]
    return [d.engine for d in said if isinstance(d, Submit) and d.query in names]


def test_affinity_set_joins_the_leader_and_loads_go_alone(desk):
    leader, other = desk.take(REPORT, table_group=4), desk.take(REPORT, table_group=5)
    mate, load = desk.take(REPORT, table_group=4), desk.take(LOAD, table_group=4)
    desk.router.teams.send_next(desk.router.now, 0.0)
    sent = [d.query for d in desk.router.planned if isinstance(d, Submit)]
    assert sent == [leader.id, mate.id]
    assert list(desk.router.queues.teams) == [other, load]


def test_leader_returns_to_the_engine_that_last_ran_its_group(desk):
    q = desk.take(REPORT, table_group=4)
    desk.router.placement.affinity[4] = 3
    desk.router.teams.send_next(desk.router.now, 0.0)
    assert engines_of(desk.router.planned, q) == [3]


def test_bound_binds_only_under_pressure(desk):
    e, q = desk.router.engines[1], desk.take(REPORT)
    e.threads, e.open_attempts = 8, 2
    desk.router.load.mean_load, desk.router.load.mean_own_threads, desk.router.load.reports_count_queries = (
        1.0,
        8.0,
        True,
    )
    assert desk.router.teams.room(desk.router.now, e, q) == 2
    desk.router.load.read_report(desk.router.now, e, {"queue": 2.0})
    assert desk.router.teams.room(desk.router.now, e, q) == 0


def test_leader_waits_when_no_engine_is_eligible(desk):
    q = desk.take(REPORT)
    for e in desk.router.engines.values():
        e.threads, e.open_attempts = 16, 4
    desk.router.teams.send_next(desk.router.now, 0.0)
    assert list(desk.router.queues.teams) == [q]


def test_dashboard_skips_the_queue_and_the_bound(desk):
    for e in desk.router.engines.values():
        e.threads, e.open_attempts = 8, 2
    waiting, q = desk.take(REPORT), desk.take(LOOKUP)
    desk.router.dashboards.send_next(desk.router.now, 0.0)
    desk.router.teams.send_next(desk.router.now, 0.0)
    assert engines_of(desk.router.planned, q)
    assert list(desk.router.queues.teams) == [waiting]


def test_dashboard_is_deferred_when_every_engine_is_crowded(desk):
    for e in desk.router.engines.values():
        e.threads, e.open_attempts = 16, 4
    q = desk.take(LOOKUP)
    desk.router.dashboards.send_next(desk.router.now, 0.0)
    answer = desk.router.planned[0]
    assert isinstance(answer, Reject) and answer.query == q.id


def test_loads_and_the_queries_that_wait_for_them_keep_apart(make_desk):
    for tables in range(9):
        sides = []
        for desk in (make_desk(), make_desk()):
            load, lookup = desk.take(LOAD, table_group=tables), desk.take(LOOKUP, table_group=tables)
            sides.append(
                [
                    {e.id for e in desk.router.placement.eligible_engines(desk.router.now, q)}
                    for q in (load, lookup)
                ]
            )
        assert not sides[0][0] & sides[0][1]
        assert sides[0] == sides[1]


def test_room_counts_the_memory_that_reports_show(make_desk):
    desk = make_desk(domain__report_x0="share_of_memory_granted", domain__ram_of_kind_mb=1000.0)
    e = desk.router.engines[1]
    e.open_attempts = 1
    desk.router.load.read_report(desk.router.now, e, {"inflight": 0.0, "x0": 0.5})
    assert desk.router.teams.room(desk.router.now, e, desk.take(REPORT, memory_mb=250.0)) == 2
    desk.router.load.read_report(desk.router.now, e, {"inflight": 0.0, "x0": 0.8})
    assert desk.router.teams.room(desk.router.now, e, desk.take(REPORT, memory_mb=250.0)) == 0


def test_queries_held_count_as_the_mean_width_of_the_work(desk):
    for group, cost in ((LOOKUP, 1000), (REPORT, 4000)):
        desk.router.dispatcher.submit(desk.router.now, desk.take(group, cost=cost), desk.router.engines[2])
    desk.router.load.read_report(desk.router.now, desk.router.engines[1], {"inflight": 4.0})
    assert desk.router.engines[1].reported_threads == 10


def test_unheard_engine_counts_as_average(desk):
    for e, util in zip(desk.router.engines.values(), (0.25, 0.75), strict=False):
        desk.router.load.read_report(desk.router.now, e, {"util": util})
    assert desk.router.load.load(desk.router.now, desk.router.engines[3]) == pytest.approx(
        8 * desk.router.load.mean_load
    )
    assert 2 < desk.router.load.load(desk.router.now, desk.router.engines[3]) < 6


def test_dashboard_keeps_off_the_tables_a_load_holds(desk):
    desk.list(1, 2, 3, 4, 5, 6)
    first, second, third = desk.router.placement.eligible_engines(
        desk.router.now, q := desk.take(LOOKUP, table_group=4)
    )
    first.running_loads = second.running_loads = [4]
    assert desk.router.placement.eligible_engines(desk.router.now, q) == [third]


def test_failing_engine_rests_longer_each_time(desk):
    e = desk.router.engines[1]
    rests = []
    for sent in range(3):
        desk.tried(LOOKUP, sent=sent, result=AttemptResult.CONNECTION_REFUSED)
        rests.append(e.ejected_until)
    assert rests == sorted(set(rests)) and e.ejected_until > desk.router.now


def test_all_that_goes_down_with_one_connection_is_one_failure(desk):
    for q in [desk.tried(LOOKUP) for _ in range(5)]:
        desk.router.on_attempt_ended(10, AttemptEnded(q.id, 0, AttemptResult.CONNECTION_LOST, False, 10))
    assert desk.router.engines[1].ejected_until == 0


def test_query_that_no_engine_can_run_rests_none_and_is_not_tried_for_ever(desk):
    for n in range(6):
        q = desk.tried(LOOKUP, sent=n, result=AttemptResult.FAILED)
        desk.submit(q, 2, n, AttemptResult.FAILED)
        assert not desk.router.retries.may_retry(desk.router.now, q)
    assert not any(e.ejected_until for e in desk.router.engines.values())


def test_engine_whose_errors_another_engine_can_run_rests(desk):
    for n in range(2):
        q = desk.tried(LOOKUP, sent=n, result=AttemptResult.FAILED)
        desk.submit(q, 2, n, AttemptResult.SERVED)
    assert (
        desk.router.engines[1].ejected_until > desk.router.now and desk.router.engines[2].ejected_until == 0
    )


def test_what_was_sent_since_the_report_and_has_ended_is_no_load(desk):
    desk.router.on_health_check(0, 1, AttemptResult.SERVED, {"inflight": 4})
    for n in range(6):
        q = desk.tried(LOOKUP, sent=0)
        desk.router.engines[1].unreported.append((0, 1, 0.0))
        desk.router.engines[1].unreported_threads += 1
        if n:
            desk.router.on_attempt_ended(10, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 10))
    assert desk.router.engines[1].sent_since(0) == (1, 0.0)


def test_engine_that_hangs_between_reports_is_seen_by_what_is_out(desk):
    e = desk.router.engines[1]
    desk.router.load.read_report(desk.router.now, e, {"inflight": 0.0})
    desk.router.load.mean_load, desk.router.load.mean_own_threads, desk.router.load.reports_count_queries = (
        1.0,
        4.0,
        True,
    )
    for _ in range(12):
        desk.tried(LOOKUP)
    assert desk.router.load.crowd(desk.router.now, e) == 18


def test_few_threads_out_at_one_of_many_routers_do_not_close_an_engine(make_desk):
    desk = make_desk(n_instances=200)
    desk.router.load.mean_load, desk.router.load.mean_own_threads = 1.0, 0.1
    desk.tried(REPORT)
    assert 4 < desk.router.load.crowd(desk.router.now, desk.router.engines[1]) < 32


def test_bound_below_one_query_is_held_by_chance(make_desk):
    desk = make_desk(n_instances=40)
    e = desk.router.engines[1]
    desk.router.load.read_report(desk.router.now, e, {"util": 1.0})
    assert 5 <= sum(desk.router.teams.room(desk.router.now, e, desk.take(REPORT)) for _ in range(100)) <= 20


def test_report_fades_into_the_average(desk):
    one, other = desk.router.engines[1], desk.router.engines[2]
    desk.router.load.read_report(desk.router.now, other, {"util": 0.5})
    desk.router.load.read_report(desk.router.now, one, {"util": 1.0})
    assert desk.router.load.load(desk.router.now, one) == 8
    desk.router.now = 60 * SECOND
    assert desk.router.load.load(desk.router.now, one) == pytest.approx(desk.router.load.mean_load * 8)


def test_jam_shows_before_its_first_answer_and_keeps_heavy_queries_out(desk):
    for _ in range(4):
        desk.tried(LOOKUP)
        desk.router.load.recent_attempts.add(0, desk.router.queries[f"q{_}"].attempts[0])
    light, heavy = desk.take(REPORT, now=4000, cost=90), desk.take(REPORT, now=4000, cost=9000)
    assert desk.router.load.pace(desk.router.now) == 4
    assert [desk.router.admission.is_too_heavy(desk.router.now, q) for q in (light, heavy)] == [False, True]


def test_few_lost_answers_leave_the_pace(desk):
    for n in range(7):
        q = desk.tried(LOOKUP)
        desk.router.load.recent_attempts.add(0, q.attempts[0])
        if n > 2:
            desk.router.on_attempt_ended(1000, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 1000))
    desk.router.now = 3 * SECOND
    assert desk.router.load.pace(desk.router.now) == 1


def test_lone_broken_connection_says_nothing_of_the_engine(desk):
    desk.tried(LOOKUP, result=AttemptResult.CONNECTION_LOST)
    assert desk.router.engines[1].ejected_until == 0
    assert not desk.router.engines[1].is_warming_up(desk.router.now)


def test_customer_over_its_share_is_held_to_lighter_queries(make_desk):
    desk = make_desk(parties__0__fraction=0.5, parties__0__quota_per_s=1, parties__1__fraction=0.5)
    desk.router.load.mean_load = 1.5
    over, _, other = desk.take(REPORT, cost=900), desk.take(REPORT, cost=10), desk.take(REPORT, tenant=1)
    over.cost = other.cost = 3 * over.group.mean_cost
    assert [desk.router.admission.is_too_heavy(desk.router.now, q) for q in (over, other)] == [True, False]


def test_busy_report_holds_until_the_next_report(desk):
    e = desk.router.engines[1]
    desk.router.load.read_report(desk.router.now, e, {"util": 1.0})
    assert e.under_pressure_until > SECOND
    desk.router.load.read_report(desk.router.now, e, {"util": 0.5})
    assert e.under_pressure_until == 0


def test_patience_is_longer_where_a_submission_may_stand_in_line_for_memory(make_desk):
    waits = []
    for shortage in ("cut", "line_up"):
        desk = make_desk(limits__cancel=True, domain__on_shortage=shortage)
        desk.router.dispatcher.submit(
            desk.router.now, desk.take(REPORT, cost=8 * SECOND, deadline=60 * SECOND), desk.router.engines[1]
        )
        waits.append(desk.router.planned[-1].time_limit)
    assert waits == [5 * SECOND, 12 * SECOND]


def test_query_heavy_for_its_value_is_kept_out_before_one_heavy_for_its_group_alone(desk):
    desk.router.admission.mean_cost_per_weight, desk.router.load.mean_load = 100.0, 1.5
    report, load = desk.take(REPORT, cost=100), desk.take(WRITE, cost=100)
    report.cost = load.cost = 600
    assert [desk.router.admission.is_too_heavy(desk.router.now, q) for q in (report, load)] == [False, True]


def test_few_slow_submissions_at_a_quiet_router_do_not_give_up_a_query(desk):
    for _ in range(3):
        desk.router.load.recent_attempts.add(0, desk.tried(LOOKUP).attempts[0])
    desk.router.now = SECOND
    q = desk.take(REPORT, now=SECOND, cost=8000)
    assert desk.router.load.pace(desk.router.now) == 10
    assert desk.router.load.latest_start(desk.router.now, q) > SECOND


def test_load_that_would_stand_still_waits_in_line_and_holds_up_nobody(desk):
    desk.list(1, 2, 3, 4)
    first, second, report = (
        desk.take(LOAD, table_group=4),
        desk.take(LOAD, table_group=4),
        desk.take(REPORT, table_group=5),
    )
    for e in desk.router.placement.on_right_side(list(desk.router.engines.values()), first):
        e.running_loads.append(4)
    said = desk.verbs()
    assert engines_of(said, report) and not engines_of(said, first, second)
    assert list(desk.router.queues.behind_loads[4]) == [first, second]


def test_load_starts_when_the_one_before_it_ends(desk):
    desk.list(1, 2, 3, 4)
    loads = [desk.take(LOAD, table_group=4) for _ in range(3)]
    out = [q for q in loads if engines_of(desk.verbs(), q) or q.attempts]
    assert len(out) == 1 and len(desk.router.queues.behind_loads[4]) == 2
    desk.router.on_attempt_ended(100, AttemptEnded(out[0].id, 0, AttemptResult.SERVED, True, 100))
    assert engines_of(desk.verbs(100), *loads)


def test_load_that_can_not_start_in_time_behind_others_is_answered_at_once(desk):
    desk.list(1, 2, 3, 4)
    loads = [desk.take(LOAD, table_group=4, cost=2 * SECOND, deadline=60 * SECOND) for _ in range(9)]
    deferred = [d.query for d in desk.verbs() if isinstance(d, Reject)]
    assert loads[-1].id in deferred and loads[0].id not in deferred


def test_few_routers_keep_their_loads_of_a_table_group_apart(make_desk):
    homes = set()
    for me in range(2):
        desk = make_desk(me=me)
        desk.list(1, 2, 3, 4)
        (e,) = desk.router.placement.on_right_side(
            list(desk.router.engines.values()), desk.take(LOAD, table_group=4)
        )
        homes.add(e.id)
    assert len(homes) == 2


def test_load_whose_turn_by_key_comes_too_late_is_answered_before_its_end(desk):
    desk.take(LOAD, ordering_key="k", deadline=60 * SECOND)
    late = desk.take(LOAD, ordering_key="k", deadline=60 * SECOND)
    desk.verbs()
    assert late.id in [
        d.query
        for d in desk.verbs(desk.router.load.latest_start(desk.router.now, late) + 1)
        if isinstance(d, Reject)
    ]
    assert late not in desk.router.queues.keys["k"].queries


def test_closing_brings_every_end_forward(desk):
    q = desk.take(REPORT, deadline=60 * SECOND)
    desk.verbs()
    desk.router.on_shutdown(0, SECOND)
    assert q.id in [d.query for d in desk.verbs(SECOND - desk.router.answer_margin) if isinstance(d, Reject)]


def test_query_that_holds_a_session_long_for_its_value_is_kept_out_when_sessions_run_short(make_desk):
    desk = make_desk(sessions=10)
    lookup, load = desk.take(LOOKUP), desk.take(LOAD)
    desk.router.admission.mean_elapsed_per_weight = lookup.group.mean_elapsed = 2000
    load.group.mean_elapsed = 40_000
    assert not desk.router.admission.is_too_heavy(desk.router.now, load)
    for _ in range(7):
        desk.take(LOOKUP)
    assert [desk.router.admission.is_too_heavy(desk.router.now, q) for q in (lookup, load)] == [False, True]


def test_pressure_counts_a_routers_own_work_once(desk):
    """A report counts ours too; what of it has ended since is gone, what began since takes its place."""
    router = desk.router
    router.on_subset(0, frozenset(router.engines))
    for e in router.engines.values():
        router.load.read_report(router.now, e, {"util": 1.4})
    q = desk.take(REPORT, cost=3000)
    assert not router.admission.is_too_heavy(router.now, q)
    for engine in router.engines:
        for _ in range(4):
            desk.tried(REPORT, engine, cost=3000)
    assert [router.load.load(router.now, e) > 1.9 * e.cores for e in router.engines.values()] == [True] * 3
    assert not router.admission.is_too_heavy(router.now, q)


def test_pressure_is_at_least_what_is_ours(desk):
    router = desk.router
    router.on_subset(0, frozenset(router.engines))
    for e in router.engines.values():
        router.load.read_report(router.now, e, {"util": 0.5})
    q = desk.take(REPORT, cost=3000)
    assert not router.admission.is_too_heavy(router.now, q)
    for e in router.engines.values():
        e.threads = 3 * e.cores
    assert router.admission.is_too_heavy(router.now, q)
