"""The seven rules that the scheduler must not break, each tested at the function that enforces it."""

import pytest
from conftest import LOAD, LOOKUP, REPORT, WRITE

from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    EndpointState,
    Fail,
    ListMode,
    Reject,
    SetTimer,
    Submit,
)


def submitted(decisions):
    return [d.query for d in decisions if isinstance(d, Submit)]


def test_every_query_is_answered_before_its_deadline(harness):
    harness.list_engines(1, 2, 3, state=EndpointState.DRAINING)
    q = harness.add_query(WRITE, deadline=2 * SECOND)
    harness.take_decisions(0)
    at = 2 * SECOND - harness.scheduler.answer_margin
    answers = [d for d in harness.take_decisions(at) if not isinstance(d, SetTimer)]
    assert [(type(d), d.query) for d in answers] == [(Reject, q.id)]
    assert q.id not in harness.scheduler.queries


def test_nothing_is_sent_after_the_client_left(harness):
    q = harness.add_query(REPORT)
    harness.scheduler.on_client_left(0, q.id)
    assert not submitted(harness.take_decisions())


def test_late_result_of_an_ended_query_is_ignored(harness):
    q = harness.add_attempted_query(REPORT)
    harness.scheduler.on_client_left(0, q.id)
    harness.scheduler.on_attempt_ended(5, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 5))
    harness.scheduler.on_attempt_ended(6, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 5))
    assert q.id not in harness.scheduler.queries
    assert harness.scheduler.engines[1].open_attempts == 0


@pytest.mark.parametrize(
    "group, result, may_retry, may_reject",
    [
        (LOOKUP, AttemptResult.TIMED_OUT, True, True),
        (WRITE, AttemptResult.TIMED_OUT, False, False),
        (WRITE, AttemptResult.FAILED, False, False),
        (WRITE, AttemptResult.OVERLOADED, True, True),
        (LOAD, AttemptResult.CONNECTION_LOST, True, True),
    ],
)
def test_no_effect_happens_twice(harness, group, result, may_retry, may_reject):
    q = harness.add_attempted_query(group, result=result)
    assert harness.scheduler.retries.may_retry(harness.scheduler.now, q) is may_retry
    assert harness.scheduler.retries.may_reject(q) is may_reject


def test_idempotent_query_is_not_retried_after_its_deduplication_window(harness):
    q = harness.add_attempted_query(LOAD, result=AttemptResult.TIMED_OUT)
    harness.scheduler.now = q.group.settings.deduplication_window - 1
    assert not harness.scheduler.retries.may_retry(harness.scheduler.now, q)


@pytest.mark.parametrize("group, allowed", [("zone", [1]), ("cell", [1])])
def test_idempotent_query_is_retried_only_where_repeats_are_dropped(make_harness, group, allowed):
    harness = make_harness(groups__2__repeats_dropped_by=group)
    q = harness.add_attempted_query(LOAD, result=AttemptResult.TIMED_OUT)
    assert [
        e.id
        for e in harness.scheduler.engines.values()
        if harness.scheduler.placement.may_send(harness.scheduler.now, e, q)
    ] == allowed
    assert not harness.scheduler.retries.may_reject(q)


def test_only_one_attempt_at_a_time(make_harness):
    harness = make_harness(limits__may_duplicate=True)
    assert not harness.scheduler.retries.may_retry(harness.scheduler.now, harness.add_attempted_query(LOOKUP))


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_or_gone_engine_gets_no_new_query(harness, state):
    e = harness.scheduler.engines[1]
    harness.list_engines(1, mode=ListMode.PARTIAL, state=state)
    assert not harness.scheduler.placement.may_send(harness.scheduler.now, e, harness.add_query(LOOKUP))


def test_engine_missing_from_a_complete_list_is_gone(harness):
    e = harness.scheduler.engines[1]
    harness.list_engines(2, 3)
    assert not e.ready and 1 not in harness.scheduler.engines


def test_warming_engine_is_closed_without_a_permit(harness):
    harness.list_engines(1, mode=ListMode.PARTIAL, started=1)
    e, q = harness.scheduler.engines[1], harness.add_query(LOOKUP)
    assert not harness.scheduler.placement.may_send(harness.scheduler.now, e, q)
    q.permit_engine = 1
    assert harness.scheduler.placement.may_send(harness.scheduler.now, e, q)
    q.permit_engine, harness.scheduler.now = None, 10 * SECOND + 1
    assert harness.scheduler.placement.may_send(harness.scheduler.now, e, q)


def test_next_query_of_a_key_waits_for_the_result_and_the_pause(harness):
    first, second = harness.add_query(LOAD, ordering_key="k"), harness.add_query(LOAD, ordering_key="k")
    assert submitted(harness.take_decisions()) == [first.id]
    harness.scheduler.on_attempt_ended(
        100, AttemptEnded(first.id, 0, AttemptResult.CONNECTION_LOST, False, 100)
    )
    harness.scheduler.on_client_left(100, first.id)
    assert not submitted(harness.take_decisions(3100))
    assert submitted(harness.take_decisions(3101)) == [second.id]


def test_key_stays_occupied_while_an_ended_query_has_an_open_attempt(harness):
    first, second = harness.add_query(LOAD, ordering_key="k"), harness.add_query(LOAD, ordering_key="k")
    harness.take_decisions()
    harness.scheduler.on_client_left(1, first.id)
    assert not submitted(harness.take_decisions(2))
    harness.scheduler.on_attempt_ended(3, AttemptEnded(first.id, 0, AttemptResult.SERVED, True, 3))
    assert submitted(harness.take_decisions(4)) == [second.id]


def test_group_runs_only_in_its_zones_and_kinds(make_harness):
    harness = make_harness(groups__0__runs_in=[1], groups__0__runs_on=[0])
    q = harness.add_query(LOOKUP)
    assert [
        e.id
        for e in harness.scheduler.engines.values()
        if harness.scheduler.placement.may_send(harness.scheduler.now, e, q)
    ] == [2]


def test_retries_stay_within_the_budget(make_harness):
    harness = make_harness(guarantees__look_back=SECOND, guarantees__min_extra=1, guarantees__extra_share=0.5)
    harness.add_query(LOOKUP)
    harness.add_attempted_query(LOOKUP, result=AttemptResult.CONNECTION_LOST)
    harness.scheduler.retries.retry_times.append(0)
    assert harness.scheduler.retries.has_budget(harness.scheduler.now)
    harness.scheduler.retries.retry_times.append(0)
    assert not harness.scheduler.retries.has_budget(harness.scheduler.now)


def test_retry_budget_is_checked_again_when_the_query_is_sent(make_harness):
    harness = make_harness(guarantees__look_back=SECOND, guarantees__min_extra=9, guarantees__extra_share=0.5)
    q = harness.add_attempted_query(LOOKUP, result=AttemptResult.TIMED_OUT)
    assert harness.scheduler.placement.may_send(harness.scheduler.now, harness.scheduler.engines[2], q)
    harness.scheduler.retries.retry_times.extend([0] * 10)
    assert not harness.scheduler.placement.may_send(harness.scheduler.now, harness.scheduler.engines[2], q)


def test_query_whose_turn_comes_too_late_is_answered_and_the_next_one_starts(harness):
    first, late = (
        harness.add_query(LOAD, ordering_key="k", deadline=60 * SECOND),
        harness.add_query(LOAD, ordering_key="k", deadline=60 * SECOND),
    )
    harness.take_decisions()
    fresh = harness.add_query(LOAD, ordering_key="k", now=40 * SECOND, deadline=60 * SECOND)
    harness.scheduler.on_attempt_ended(
        40 * SECOND, AttemptEnded(first.id, 0, AttemptResult.SERVED, True, 40 * SECOND)
    )
    decisions = harness.take_decisions(40 * SECOND)
    assert [d.query for d in decisions if isinstance(d, Reject | Fail)] == [late.id]
    assert [d.query for d in decisions if isinstance(d, Submit)] == [fresh.id]
