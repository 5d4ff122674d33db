"""One harmful client, on processes: the router keeps its limits, and the other clients are served."""

import anyio
import pytest

from hillchute.lab import client_floods

MEMORY_MB = 64  # the smallest limit of any deployment
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": client_floods.SOCKETS}
SECONDS = 3.0
MAX_LOG_BYTES_PER_SECOND = 30_000  # twenty lines a second of each of a few events
CLIENTS = 500  # just below the limit on sessions


async def play(form: str, connections: int = 1, reconnects: bool = False) -> dict:
    return await client_floods.measure(form, connections, SECONDS, 1, reconnects, limits=LIMITS)


def assert_within_limits(result: dict) -> None:
    assert result["alive"]
    assert not result["faults"]
    assert result["after"]["peak_memory_mb"] < MEMORY_MB
    grown = result["after"]["log_bytes"] - result["before"]["log_bytes"]
    assert grown < MAX_LOG_BYTES_PER_SECOND * (SECONDS + 1)


@pytest.mark.real_time
@pytest.mark.parametrize("form", ["ping", "process_kill", "no_fields", "new_routes"])
def test_other_clients_are_served_beside_one_that_sends_without_pause(form: str) -> None:
    """Guards against answers that come late or never while one client sends small or unsound requests."""
    result = anyio.run(play, form)
    assert_within_limits(result)
    assert result["all_served"], result["flooded"]


@pytest.mark.real_time
@pytest.mark.parametrize("form", ["half_large_request", "half_short_fields", "slow_whole_short_fields"])
def test_memory_limit_is_kept_with_hundreds_of_slow_clients(form: str) -> None:
    """Guards against a router that is killed for its memory by clients that write slowly or stop half way."""
    result = anyio.run(play, form, CLIENTS)
    assert_within_limits(result)
    assert result["all_served"], result["flooded"]


@pytest.mark.real_time
def test_memory_is_bounded_beside_clients_that_name_ever_new_tables() -> None:
    """Guards against a router that holds something for each name that a client has ever sent."""
    result = anyio.run(play, "new_table_groups", 10)
    assert_within_limits(result)
