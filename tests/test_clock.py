"""Steps of the wall clock by seconds and by an hour must not make anything early, late, lost or repeated."""

import re
import time
from pathlib import Path

import pytest
from rounds_by_hand import LOGIN, RouterHarness, query

from hillchute.net.clock import Clock, EngineStartTimes, round_down_to_time_units, round_up_to_time_units
from hillchute.peers.transport import SteadyUnixClock

HOUR = 3_600 * 10**9
STEPS = [-3_600, -5, 5, 3_600]
ROOT = Path(__file__).parents[1]

# The files that may read the wall clock, and their reasons.
WALL_CLOCK_READERS = {
    "hillchute/log.py": "timestamps of log lines",
    "hillchute/net/clock.py": "the Unix time at which the router's clock starts, and ages of Unix times",
    "hillchute/peers/transport.py": "the Unix time at which the lease clock starts, for incarnations",
}
WALL_CLOCK_CALL = re.compile(
    r"\btime\.time\(|\btime\.time_ns\b|\btime\.time\b(?!_)|CLOCK_REALTIME|datetime\.(now|utcnow|today)|"
    r"from time import|time\.(localtime|gmtime|ctime)\("
)


class SteppingWallClock:
    """A wall clock that can be stepped, and a monotonic clock that is not affected."""

    def __init__(self) -> None:
        self.monotonic_ns = 10**15
        self.offset_ns = 17 * 10**17  # wall clock minus monotonic clock

    def unix_ns(self) -> int:
        """The wall clock's reading."""
        return self.offset_ns + self.monotonic_ns

    def router_clock(self) -> Clock:
        """A router's clock that uses these two clocks."""
        return Clock(lambda: self.monotonic_ns, self.unix_ns)

    def step(self, seconds: float) -> None:
        """Sets the wall clock forward, or back if `seconds` is negative."""
        self.offset_ns += int(seconds * 1e9)


@pytest.mark.parametrize(
    ("nanoseconds", "down", "up"), [(0, 0, 0), (1, 0, 1), (100_000, 1, 1), (199_999, 1, 2)]
)
def test_nanoseconds_are_converted_to_time_units(nanoseconds: int, down: int, up: int) -> None:
    assert (round_down_to_time_units(nanoseconds), round_up_to_time_units(nanoseconds)) == (down, up)


@pytest.mark.parametrize("seconds", STEPS)
def test_clock_is_not_affected_by_a_step(seconds: int) -> None:
    wall_clock = SteppingWallClock()
    clock = wall_clock.router_clock()
    before = clock()
    wall_clock.step(seconds)
    assert clock() == before
    wall_clock.monotonic_ns += 10**9
    assert clock() == before + 10_000


@pytest.mark.parametrize("seconds", STEPS)
def test_start_time_of_an_engine_is_converted_once_and_its_age_never_overestimated(seconds: int) -> None:
    wall_clock = SteppingWallClock()
    clock = wall_clock.router_clock()
    start_times = EngineStartTimes(clock)
    stated = round_up_to_time_units(wall_clock.unix_ns()) - 40_000  # it started 4 s ago
    started = start_times.to_router_clock(1, stated)
    assert clock() - started == 40_000
    wall_clock.step(seconds)
    assert start_times.to_router_clock(1, stated) == started  # the same start time is not a restart
    age = clock() - start_times.to_router_clock(2, stated)  # another engine, listed after the step
    assert 0 <= age <= 40_000
    assert clock() - started == 40_000
    if seconds > 0:
        assert age == 40_000  # the age by the wall clock is larger, so the router's clock counts


def test_start_time_in_the_future_counts_as_now_and_a_later_one_as_a_restart() -> None:
    wall_clock = SteppingWallClock()
    clock = wall_clock.router_clock()
    start_times = EngineStartTimes(clock)
    unix = round_up_to_time_units(wall_clock.unix_ns())
    # For example, this machine's wall clock was set back by an hour.
    assert start_times.to_router_clock(1, unix + 36_000_000) == clock()
    wall_clock.monotonic_ns += 5 * 10**9
    assert start_times.to_router_clock(1, unix + 36_000_000) == clock() - 50_000
    assert start_times.to_router_clock(1, unix + 36_100_000) == clock()
    assert start_times.to_router_clock(1, 0) == 0


@pytest.mark.parametrize("seconds", STEPS)
def test_router_and_its_timers_work_during_a_step(seconds: int) -> None:
    """One query runs during the step, one waits for the end of an ejection, and one comes during shutdown."""
    wall = {"step": 0}

    def unix_ns() -> int:
        return time.time_ns() + wall["step"]

    rig = RouterHarness(clock=Clock(time.monotonic_ns, unix_ns))
    try:
        client = rig.client_after_served_query()
        rig.answers_at_once = False
        first = rig.connect_client(LOGIN + query(1))
        rig.run_until(lambda: len(rig.received_attempts) == 1)
        wall["step"] = seconds * 10**9
        rig.run_rounds(5)
        assert len(rig.service.reducer.unanswered) == 1  # it has neither timed out nor been answered
        assert first.answers() == []
        rig.engine_connections[0].serve(rig.received_attempts[0])
        rig.run_until(lambda: first.answers())
        rig.answers_at_once = True
        rig.service.reducer.scheduler.engines[1].ejected_until = rig.clock() + 500
        sent_at = time.monotonic()
        client.write(query(2))
        rig.run_until(lambda: len(client.answers()) == 2)
        assert 0.04 <= time.monotonic() - sent_at < 5
        rig.service.shutdown.begin()
        assert (
            0 < rig.service.shutdown.schedule.answer_by - rig.clock() <= rig.configuration.max_shutdown_time
        )
        client.write(query(3))  # the listener is still open
        rig.run_until(lambda: len(client.answers()) == 3)
        assert first.answers() == ["served"]
        assert client.answers() == ["served"] * 3
        assert rig.received_attempts == [f"{n:016x}" for n in (1, 2, 3)]
    finally:
        rig.close()


@pytest.mark.parametrize("seconds", STEPS)
def test_lease_clock_is_not_affected_by_a_step(seconds: int, monkeypatch: pytest.MonkeyPatch) -> None:
    now = time.time_ns
    clock = SteadyUnixClock()
    before = clock()
    monkeypatch.setattr(time, "time_ns", lambda: now() + seconds * 10**9)
    assert 0 <= clock() - before < 10_000


def test_only_the_listed_files_read_the_wall_clock() -> None:
    lines_by_file = {}
    for path in sorted((ROOT / "hillchute").rglob("*.py")):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith("hillchute/lab/"):
            continue
        lines = [n for n, line in enumerate(path.read_text().splitlines(), 1) if WALL_CLOCK_CALL.search(line)]
        if lines:
            lines_by_file[name] = lines
    assert lines_by_file.keys() == WALL_CLOCK_READERS.keys(), lines_by_file
