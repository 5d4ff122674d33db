"""The seven rules, each at the function that guards it."""

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


def submitted(said):
    return [d.query for d in said if isinstance(d, Submit)]


def test_every_query_is_answered_before_its_end(desk):
    desk.list(1, 2, 3, state=EndpointState.DRAINING)
    q = desk.take(WRITE, deadline=2 * SECOND)
    desk.verbs(0)
    at = 2 * SECOND - desk.router.answer_margin
    answers = [d for d in desk.verbs(at) if not isinstance(d, Wake)]
    assert [(type(d), d.query) for d in answers] == [(Reject, q.id)]
    assert q.id not in desk.router.queries


def test_nothing_is_sent_after_the_client_left(desk):
    q = desk.take(REPORT)
    desk.router.on_client_left(0, q.id)
    assert not submitted(desk.verbs())


def test_late_outcome_of_an_ended_query_is_passed_over(desk):
    q = desk.tried(REPORT)
    desk.router.on_client_left(0, q.id)
    desk.router.on_attempt_ended(5, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 5))
    desk.router.on_attempt_ended(6, AttemptEnded(q.id, 0, AttemptResult.SERVED, True, 5))
    assert q.id not in desk.router.queries
    assert desk.router.engines[1].open_attempts == 0


@pytest.mark.parametrize(
    "group, result, again, defer",
    [
        (LOOKUP, AttemptResult.TIMED_OUT, True, True),
        (WRITE, AttemptResult.TIMED_OUT, False, False),
        (WRITE, AttemptResult.FAILED, False, False),
        (WRITE, AttemptResult.OVERLOADED, True, True),
        (LOAD, AttemptResult.CONNECTION_LOST, True, True),
    ],
)
def test_no_effect_happens_twice(desk, group, result, again, defer):
    q = desk.tried(group, result=result)
    assert desk.router.retries.may_retry(desk.router.now, q) is again
    assert desk.router.retries.may_reject(q) is defer


def test_tokened_query_rests_with_its_window(desk):
    q = desk.tried(LOAD, result=AttemptResult.TIMED_OUT)
    desk.router.now = q.group.settings.deduplication_window - 1
    assert not desk.router.retries.may_retry(desk.router.now, q)


@pytest.mark.parametrize("group, allowed", [("zone", [1]), ("cell", [1])])
def test_tokened_query_stays_where_repeats_are_dropped(make_desk, group, allowed):
    desk = make_desk(groups__2__repeats_dropped_by=group)
    q = desk.tried(LOAD, result=AttemptResult.TIMED_OUT)
    assert [
        e.id for e in desk.router.engines.values() if desk.router.placement.may_send(desk.router.now, e, q)
    ] == allowed
    assert not desk.router.retries.may_reject(q)


def test_one_submission_at_a_time(make_desk):
    desk = make_desk(limits__may_duplicate=True)
    assert not desk.router.retries.may_retry(desk.router.now, desk.tried(LOOKUP))


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_drained_engine_gets_nothing_new(desk, state):
    e = desk.router.engines[1]
    desk.list(1, mode=ListMode.PARTIAL, state=state)
    assert not desk.router.placement.may_send(desk.router.now, e, desk.take(LOOKUP))


def test_engine_missing_from_a_complete_list_is_gone(desk):
    e = desk.router.engines[1]
    desk.list(2, 3)
    assert not e.ready and 1 not in desk.router.engines


def test_cold_engine_is_closed_without_a_lot(desk):
    desk.list(1, mode=ListMode.PARTIAL, started=1)
    e, q = desk.router.engines[1], desk.take(LOOKUP)
    assert not desk.router.placement.may_send(desk.router.now, e, q)
    q.permit_engine = 1
    assert desk.router.placement.may_send(desk.router.now, e, q)
    q.permit_engine, desk.router.now = None, 10 * SECOND + 1
    assert desk.router.placement.may_send(desk.router.now, e, q)


def test_key_order_waits_for_the_outcome_and_the_rest(desk):
    first, second = desk.take(LOAD, ordering_key="k"), desk.take(LOAD, ordering_key="k")
    assert submitted(desk.verbs()) == [first.id]
    desk.router.on_attempt_ended(100, AttemptEnded(first.id, 0, AttemptResult.CONNECTION_LOST, False, 100))
    desk.router.on_client_left(100, first.id)
    assert not submitted(desk.verbs(3100))
    assert submitted(desk.verbs(3101)) == [second.id]


def test_key_stays_taken_while_an_ended_query_has_a_submission_out(desk):
    first, second = desk.take(LOAD, ordering_key="k"), desk.take(LOAD, ordering_key="k")
    desk.verbs()
    desk.router.on_client_left(1, first.id)
    assert not submitted(desk.verbs(2))
    desk.router.on_attempt_ended(3, AttemptEnded(first.id, 0, AttemptResult.SERVED, True, 3))
    assert submitted(desk.verbs(4)) == [second.id]


def test_bound_group_keeps_its_place(make_desk):
    desk = make_desk(groups__0__runs_in=[1], groups__0__runs_on=[0])
    q = desk.take(LOOKUP)
    assert [
        e.id for e in desk.router.engines.values() if desk.router.placement.may_send(desk.router.now, e, q)
    ] == [2]


def test_further_submissions_stay_in_the_stated_budget(make_desk):
    desk = make_desk(guarantees__look_back=SECOND, guarantees__min_extra=1, guarantees__extra_share=0.5)
    desk.take(LOOKUP)
    desk.tried(LOOKUP, result=AttemptResult.CONNECTION_LOST)
    desk.router.retries.retries.append(0)
    assert desk.router.retries.has_budget(desk.router.now)
    desk.router.retries.retries.append(0)
    assert not desk.router.retries.has_budget(desk.router.now)


def test_budget_is_checked_again_when_the_query_goes_out(make_desk):
    desk = make_desk(guarantees__look_back=SECOND, guarantees__min_extra=9, guarantees__extra_share=0.5)
    q = desk.tried(LOOKUP, result=AttemptResult.TIMED_OUT)
    assert desk.router.placement.may_send(desk.router.now, desk.router.engines[2], q)
    desk.router.retries.retries.extend([0] * 10)
    assert not desk.router.placement.may_send(desk.router.now, desk.router.engines[2], q)


def test_query_whose_turn_comes_too_late_is_answered_and_the_next_one_starts(desk):
    first, late = (
        desk.take(LOAD, ordering_key="k", deadline=60 * SECOND),
        desk.take(LOAD, ordering_key="k", deadline=60 * SECOND),
    )
    desk.verbs()
    fresh = desk.take(LOAD, ordering_key="k", now=40 * SECOND, deadline=60 * SECOND)
    desk.router.on_attempt_ended(
        40 * SECOND, AttemptEnded(first.id, 0, AttemptResult.SERVED, True, 40 * SECOND)
    )
    said = desk.verbs(40 * SECOND)
    assert [d.query for d in said if isinstance(d, Reject | Fail)] == [late.id]
    assert [d.query for d in said if isinstance(d, Submit)] == [fresh.id]
