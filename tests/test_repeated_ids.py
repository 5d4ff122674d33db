"""A query's id that comes again is not run again."""

from collections.abc import Iterator

import pytest
from rounds_by_hand import LOGIN, RouterHarness, query

from hillchute.fronts.mysql.packets import FAILED
from hillchute.lab import deployment
from hillchute.router.recent_queries import RecentQueries

ID = 7
GROUPS = {
    "lookup": {},
    "event-load": {"nonce": "0a", "entity": "0b"},
    "change": {},  # non-idempotent
}


@pytest.fixture
def rig() -> Iterator[RouterHarness]:
    table = deployment.make_configuration(sockets=128, mutating=True)
    rig = RouterHarness(table=table, clock_advances_by_rounds=True)
    rig.client_after_served_query()
    rig.answers_at_once = False
    yield rig
    assert not rig.log.faults()
    rig.close()


@pytest.mark.parametrize("group", GROUPS)
def test_id_that_comes_again_after_its_client_has_left_is_not_run_again(
    rig: RouterHarness, group: str
) -> None:
    """Guards against a query that runs twice when its id comes again and its attempt has ended."""
    packet = query(ID, group, **GROUPS[group])
    leaving = rig.connect_client(LOGIN + packet)
    rig.run_until(lambda: rig.received_attempts)
    leaving.close()
    rig.run_until(lambda: not rig.service.reducer.unanswered)
    rig.engine_connections[0].serve(f"{ID:016x}")
    rig.run_until(lambda: not rig.service.reducer.queries)
    again = rig.connect_client(LOGIN + packet)
    rig.run_until(again.answers)
    assert again.answers() == [FAILED[0]]
    assert rig.received_attempts == [f"{ID:016x}"]


def test_id_of_a_query_that_was_never_sent_may_come_again(rig: RouterHarness) -> None:
    """Guards against a request that crosses the end of its connection and is failed when it comes again."""
    rig.list_engine(2, state="Terminating")
    leaving = rig.connect_client(LOGIN + query(ID))
    rig.run_until(lambda: rig.service.reducer.unanswered)
    leaving.close()
    rig.run_until(lambda: not rig.service.reducer.queries)
    rig.list_engine(3, started=1)
    rig.answers_at_once = True
    again = rig.connect_client(LOGIN + query(ID))
    rig.run_until(again.answers)
    assert again.answers() == ["served"]


def test_ids_are_kept_for_the_retention_and_up_to_the_limit() -> None:
    """Guards against memory that grows with every query that was ever run."""
    recent = RecentQueries(retention=100, max_ids=3)
    for number in range(5):
        recent.add(f"q{number}", now=number)
    assert [recent.contains(f"q{number}", now=5) for number in range(5)] == [False, False, True, True, True]
    assert recent.contains("q4", now=104)
    assert not recent.contains("q4", now=105)
    recent.add("q9", now=200)
    assert list(recent.ended_at) == ["q9"]
