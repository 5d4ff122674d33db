"""What a router holds for its clients is bounded, however fast they ask and whatever new names they send."""

import pytest
from conftest import LOAD, REPORT
from test_router import ReducerHarness

from hillchute.decision import placement, query_queues
from hillchute.decision.interface import MILLISECOND, SECOND, AttemptEnded, AttemptResult
from hillchute.engines.events import ConnectFailure
from hillchute.router import events, reducer_context

QUERIES = 5_000  # far more than are open at once
LONG_TIMEOUT = 20 * SECOND


def test_timers_and_reviews_of_ended_queries_do_not_accumulate() -> None:
    """Guards against memory that grows with the number of queries within the longest client timeout."""
    rig = ReducerHarness()
    for number in range(QUERIES):
        rig.submit(id=f"{number:016x}", now=number * MILLISECOND, client_timeout=LONG_TIMEOUT)
        rig.handle(events.ClientGone(1), now=number * MILLISECOND)
        for connection in list(rig.reducer.pool.connections):
            rig.handle(
                events.ConnectFailed(connection, ConnectFailure.LOCAL_RESOURCE), now=number * MILLISECOND
            )
    assert not rig.reducer.queries
    assert len(rig.reducer.context.timers) <= 2 * reducer_context.MIN_TIMERS_TO_COMPACT
    assert len(rig.reducer.scheduler.queues.reviews) <= 2 * query_queues.MIN_REVIEWS_TO_COMPACT


def test_timers_of_open_queries_survive_compaction() -> None:
    """Guards against a query that is never answered because its timer was dropped."""
    rig = ReducerHarness()
    rig.submit(id="f" * 16, session=2, client_timeout=LONG_TIMEOUT)
    for number in range(QUERIES):
        rig.submit(id=f"{number:016x}", client_timeout=LONG_TIMEOUT)
        rig.handle(events.ClientGone(1))
    assert "f" * 16 in rig.reducer.queries
    rig.handle(events.AlarmDue(), now=LONG_TIMEOUT)
    assert not rig.reducer.unanswered


def test_engines_of_ever_new_table_groups_are_forgotten(harness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with each new table group that a client names."""
    monkeypatch.setattr(placement, "MAX_AFFINITIES", 10)
    for number in range(100):
        query = harness.add_query(REPORT, table_group=number)
        harness.take_decisions()
        ended = AttemptEnded(query.id, 0, AttemptResult.SERVED, final=True, elapsed=10)
        harness.scheduler.on_attempt_ended(0, ended)
    assert list(harness.scheduler.placement.affinity) == list(range(90, 100))


@pytest.mark.parametrize("is_released", [True, False], ids=["released", "its client left"])
def test_table_groups_without_blocked_bulk_loads_are_forgotten(harness, is_released: bool) -> None:
    """Guards against memory that grows with each new table group whose bulk loads had to wait."""
    queues = harness.scheduler.queues
    for number in range(100):
        bulk_load = harness.add_query(LOAD, table_group=number)
        queues.block_first_bulk_load(bulk_load)
        if is_released:
            queues.bulk_load_ended(0, bulk_load)
        queues.end(bulk_load)
    assert not queues.blocked_bulk_loads
