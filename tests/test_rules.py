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
    Submit,
    Wake,
)


def submitted(decisions):
    return [d.query for d in decisions if isinstance(d, Submit)]


def test_every_query_is_answered_before_its_deadline(harness):
    harness.list_engines(1, 2, 3, state=EndpointState.DRAINING)
    q = harness.arrive(WRITE, deadline=2 * SECOND)
    harness.decisions(0)
    at = 2 * SECOND - harness.router.answer_margin
    answers = [d for d in harness.decisions(at) if not isinstance(d, Wake)]
    assert [(type(d), d.query) for d in answers] == [(Reject, q.id)]
    assert q.id not in harness.router.queries


def test_nothing_is_sent_after_the_client_left(harness):
    q = harness.arrive(REPORT)
    harness.router.on_client_left(0, q.id)
    assert not submitted(harness.decisions())


def test_late_result_of_an_ended_query_is_ignored(harness):
    q = harness.attempted(REPORT)
    harness.router.on_client_left(0, q.id)
    harness.router.on_attempt_ended(5, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 5))
    harness.router.on_attempt_ended(6, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 5))
    assert q.id not in harness.router.queries
    assert harness.router.engines[1].open_attempts == 0


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
    q = harness.attempted(group, result=result)
    assert harness.router.retries.may_retry(harness.router.now, q) is may_retry
    assert harness.router.retries.may_reject(q) is may_reject


def test_idempotent_query_is_not_retried_after_its_deduplication_window(harness):
    q = harness.attempted(LOAD, result=AttemptResult.TIMED_OUT)
    harness.router.now = q.group.settings.deduplication_window - 1
    assert not harness.router.retries.may_retry(harness.router.now, q)


@pytest.mark.parametrize("group, allowed", [("zone", [1]), ("cell", [1])])
def test_idempotent_query_is_retried_only_where_repeats_are_dropped(make_harness, group, allowed):
    harness = make_harness(groups__2__repeats_dropped_by=group)
    q = harness.attempted(LOAD, result=AttemptResult.TIMED_OUT)
    assert [
        e.id
        for e in harness.router.engines.values()
        if harness.router.placement.may_send(harness.router.now, e, q)
    ] == allowed
    assert not harness.router.retries.may_reject(q)


def test_only_one_attempt_at_a_time(make_harness):
    harness = make_harness(limits__may_duplicate=True)
    assert not harness.router.retries.may_retry(harness.router.now, harness.attempted(LOOKUP))


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_or_gone_engine_gets_no_new_query(harness, state):
    e = harness.router.engines[1]
    harness.list_engines(1, mode=ListMode.PARTIAL, state=state)
    assert not harness.router.placement.may_send(harness.router.now, e, harness.arrive(LOOKUP))


def test_engine_missing_from_a_complete_list_is_gone(harness):
    e = harness.router.engines[1]
    harness.list_engines(2, 3)
    assert not e.ready and 1 not in harness.router.engines


def test_warming_engine_is_closed_without_a_permit(harness):
    harness.list_engines(1, mode=ListMode.PARTIAL, started=1)
    e, q = harness.router.engines[1], harness.arrive(LOOKUP)
    assert not harness.router.placement.may_send(harness.router.now, e, q)
    q.permit_engine = 1
    assert harness.router.placement.may_send(harness.router.now, e, q)
    q.permit_engine, harness.router.now = None, 10 * SECOND + 1
    assert harness.router.placement.may_send(harness.router.now, e, q)


def test_next_query_of_a_key_waits_for_the_result_and_the_pause(harness):
    first, second = harness.arrive(LOAD, ordering_key="k"), harness.arrive(LOAD, ordering_key="k")
    assert submitted(harness.decisions()) == [first.id]
    harness.router.on_attempt_ended(100, AttemptEnded(first.id, 0, AttemptResult.CONNECTION_LOST, False, 100))
    harness.router.on_client_left(100, first.id)
    assert not submitted(harness.decisions(3100))
    assert submitted(harness.decisions(3101)) == [second.id]


def test_key_stays_occupied_while_an_ended_query_has_an_open_attempt(harness):
    first, second = harness.arrive(LOAD, ordering_key="k"), harness.arrive(LOAD, ordering_key="k")
    harness.decisions()
    harness.router.on_client_left(1, first.id)
    assert not submitted(harness.decisions(2))
    harness.router.on_attempt_ended(3, AttemptEnded(first.id, 0, AttemptResult.SERVED, True, 3))
    assert submitted(harness.decisions(4)) == [second.id]


def test_group_runs_only_in_its_zones_and_kinds(make_harness):
    harness = make_harness(groups__0__runs_in=[1], groups__0__runs_on=[0])
    q = harness.arrive(LOOKUP)
    assert [
        e.id
        for e in harness.router.engines.values()
        if harness.router.placement.may_send(harness.router.now, e, q)
    ] == [2]


def test_retries_stay_within_the_budget(make_harness):
    harness = make_harness(guarantees__look_back=SECOND, guarantees__min_extra=1, guarantees__extra_share=0.5)
    harness.arrive(LOOKUP)
    harness.attempted(LOOKUP, result=AttemptResult.CONNECTION_LOST)
    harness.router.retries.retry_times.append(0)
    assert harness.router.retries.has_budget(harness.router.now)
    harness.router.retries.retry_times.append(0)
    assert not harness.router.retries.has_budget(harness.router.now)


def test_retry_budget_is_checked_again_when_the_query_is_sent(make_harness):
    harness = make_harness(guarantees__look_back=SECOND, guarantees__min_extra=9, guarantees__extra_share=0.5)
    q = harness.attempted(LOOKUP, result=AttemptResult.TIMED_OUT)
    assert harness.router.placement.may_send(harness.router.now, harness.router.engines[2], q)
    harness.router.retries.retry_times.extend([0] * 10)
    assert not harness.router.placement.may_send(harness.router.now, harness.router.engines[2], q)


def test_query_whose_turn_comes_too_late_is_answered_and_the_next_one_starts(harness):
    first, late = (
        harness.arrive(LOAD, ordering_key="k", deadline=60 * SECOND),
        harness.arrive(LOAD, ordering_key="k", deadline=60 * SECOND),
    )
    harness.decisions()
    fresh = harness.arrive(LOAD, ordering_key="k", now=40 * SECOND, deadline=60 * SECOND)
    harness.router.on_attempt_ended(
        40 * SECOND, AttemptEnded(first.id, 0, AttemptResult.SERVED, True, 40 * SECOND)
    )
    decisions = harness.decisions(40 * SECOND)
    assert [d.query for d in decisions if isinstance(d, Reject | Fail)] == [late.id]
    assert [d.query for d in decisions if isinstance(d, Submit)] == [fresh.id]
