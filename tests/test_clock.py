"""The wall clock steps by an hour: nothing is lost, early, late or repeated."""

import re
import time
from pathlib import Path

import pytest
from rounds_by_hand import LOGIN, Rig, query

from hillchute.net.clock import Clock, EngineStartTimes, round_down_to_time_units, round_up_to_time_units
from hillchute.peers.transport import SteadyUnixClock

HOUR = 3_600 * 10**9
STEPS = [-3_600, -5, 5, 3_600]
ROOT = Path(__file__).parents[1]

# Who may read the wall clock, and for what.
WALL_CLOCK = {
    "hillchute/log.py": "stamps of the log's lines",
    "hillchute/net/clock.py": "the Unix time from which the router's clock starts, and stated ages",
    "hillchute/peers/transport.py": "the Unix time from which the clock of leases starts, for incarnations",
}
READING = re.compile(
    r"\btime\.time\(|\btime\.time_ns\b|\btime\.time\b(?!_)|CLOCK_REALTIME|datetime\.(now|utcnow|today)|"
    r"from time import|time\.(localtime|gmtime|ctime)\("
)


class SteppingWallClock:
    """A wall clock that steps beside a monotonic one that does not."""

    def __init__(self) -> None:
        self.monotonic_ns = 10**15
        self.offset_ns = 17 * 10**17  # of the wall clock from the monotonic one

    def unix_ns(self) -> int:
        """The wall clock's reading."""
        return self.offset_ns + self.monotonic_ns

    def router_clock(self) -> Clock:
        """A router's clock that starts from these two."""
        return Clock(lambda: self.monotonic_ns, self.unix_ns)

    def step(self, seconds: float) -> None:
        """Set the wall clock forward, or back."""
        self.offset_ns += int(seconds * 1e9)


@pytest.mark.parametrize(
    ("nanoseconds", "down", "up"), [(0, 0, 0), (1, 0, 1), (100_000, 1, 1), (199_999, 1, 2)]
)
def test_nanoseconds_become_time_units(nanoseconds: int, down: int, up: int) -> None:
    assert (round_down_to_time_units(nanoseconds), round_up_to_time_units(nanoseconds)) == (down, up)


@pytest.mark.parametrize("seconds", STEPS)
def test_clock_goes_on_evenly_over_a_step(seconds: int) -> None:
    wall_clock = SteppingWallClock()
    clock = wall_clock.router_clock()
    before = clock()
    wall_clock.step(seconds)
    assert clock() == before
    wall_clock.monotonic_ns += 10**9
    assert clock() == before + 10_000


@pytest.mark.parametrize("seconds", STEPS)
def test_start_of_an_engine_is_translated_once_and_never_makes_it_older_than_it_may_be(seconds: int) -> None:
    wall_clock = SteppingWallClock()
    clock = wall_clock.router_clock()
    start_times = EngineStartTimes(clock)
    stated = round_up_to_time_units(wall_clock.unix_ns()) - 40_000  # it started 4 s ago
    started = start_times.to_router_clock(1, stated)
    assert clock() - started == 40_000
    wall_clock.step(seconds)
    assert start_times.to_router_clock(1, stated) == started  # the same statement is no new start
    age = clock() - start_times.to_router_clock(2, stated)  # another engine, read after the step
    assert 0 <= age <= 40_000
    assert clock() - started == 40_000
    if seconds > 0:
        assert age == 40_000  # only the wall clock makes it older; this clock knows better


def test_start_stated_in_the_future_is_now_and_a_later_start_of_the_same_engine_is_a_new_one() -> None:
    wall_clock = SteppingWallClock()
    clock = wall_clock.router_clock()
    start_times = EngineStartTimes(clock)
    unix = round_up_to_time_units(wall_clock.unix_ns())
    assert (
        start_times.to_router_clock(1, unix + 36_000_000) == clock()
    )  # this machine's clock was set back, say
    wall_clock.monotonic_ns += 5 * 10**9
    assert start_times.to_router_clock(1, unix + 36_000_000) == clock() - 50_000
    assert start_times.to_router_clock(1, unix + 36_100_000) == clock()
    assert start_times.to_router_clock(1, 0) == 0


@pytest.mark.parametrize("seconds", STEPS)
def test_router_serves_through_a_step_and_its_timers_run_on(seconds: int) -> None:
    """One query is out, one waits for an engine's rest, one is asked after the step; then the end begins."""
    wall = {"step": 0}

    def unix_ns() -> int:
        return time.time_ns() + wall["step"]

    rig = Rig(clock=Clock(time.monotonic_ns, unix_ns))
    try:
        client = rig.connected()
        rig.serving = False
        out = rig.client(LOGIN + query(1))
        rig.until(lambda: len(rig.wants) == 1)
        wall["step"] = seconds * 10**9
        rig.turn(5)
        assert len(rig.service.reducer.unanswered) == 1  # neither late nor early
        assert out.answers() == []
        rig.talks[0].serve(rig.wants[0])
        rig.until(lambda: out.answers())
        rig.serving = True
        rig.service.reducer.scheduler.engines[1].ejected_until = rig.clock() + 500
        began = time.monotonic()
        client.write(query(2))
        rig.until(lambda: len(client.answers()) == 2)
        assert 0.04 <= time.monotonic() - began < 5
        rig.service.shutdown.begin()
        assert 0 < rig.service.shutdown.schedule.answer_by - rig.clock() <= rig.configuration.longest_shutdown
        client.write(query(3))  # the listener is still open
        rig.until(lambda: len(client.answers()) == 3)
        assert out.answers() == ["served"]
        assert client.answers() == ["served"] * 3
        assert rig.wants == [f"{n:016x}" for n in (1, 2, 3)]
    finally:
        rig.close()


@pytest.mark.parametrize("seconds", STEPS)
def test_clock_of_leases_goes_on_evenly_over_a_step(seconds: int, monkeypatch: pytest.MonkeyPatch) -> None:
    now = time.time_ns
    clock = SteadyUnixClock()
    before = clock()
    monkeypatch.setattr(time, "time_ns", lambda: now() + seconds * 10**9)
    assert 0 <= clock() - before < 10_000


def test_nothing_that_serves_reads_the_wall_clock_outside_the_files_that_are_named() -> None:
    found = {}
    for path in sorted((ROOT / "hillchute").rglob("*.py")):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith("hillchute/lab/"):
            continue
        lines = [n for n, line in enumerate(path.read_text().splitlines(), 1) if READING.search(line)]
        if lines:
            found[name] = lines
    assert found.keys() == WALL_CLOCK.keys(), found
