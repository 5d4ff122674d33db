"""Flight SQL clients that stop half way, on processes: the router keeps its memory limit."""

import anyio
import pytest

from hillchute.fronts.flight import tickets
from hillchute.fronts.flight.tickets import LimitReachedError, TokenTable
from hillchute.lab import deployment, flight_floods

CLIENTS = 300
SECONDS = 3.0
LIMITS = deployment.make_configuration()["limits"]


@pytest.mark.real_time
@pytest.mark.parametrize(
    ("form", "calls"), [("half_message", 1), ("half_message", 16), ("many_fields", 20), ("half_fields", 1)]
)
def test_memory_limit_is_kept_with_hundreds_of_incomplete_calls(form: str, calls: int) -> None:
    """Guards against a router that is killed for its memory by half requests or heads of short fields."""
    result = anyio.run(flight_floods.measure, form, CLIENTS, calls, SECONDS)
    assert result["peak_memory_mb"] < LIMITS["memory_mb"], result
    assert result["descriptors"] < LIMITS["sockets"] // 4
    assert result["afterwards"] == "finished"


def test_tickets_are_limited_by_the_size_of_their_statements(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with large statements whose results are never fetched."""
    monkeypatch.setattr(tickets, "MAX_BYTES", 100)
    table: TokenTable[str] = TokenTable(b"k", max_entries=10, lifetime=50)
    first = table.put(0, "a", "x", size=60)
    with pytest.raises(LimitReachedError, match="60 bytes"):
        table.put(0, "a", "y", size=41)
    second = table.put(0, "a", "y", size=40)
    assert table.take(1, "a", first) == "x"
    table.put(1, "a", "z", size=60)
    assert table.get(1, "a", second) == "y"
    table.replace(1, "a", second, "smaller", size=30)
    with pytest.raises(LimitReachedError):
        table.replace(1, "a", second, "too large", size=41)
    assert table.get(1, "a", second) == "smaller"
    table.put(60, "a", "after all have expired", size=100)
