"""The endpoint list over an event bus that breaks, stalls and moves; what it does to engines' connections."""

import time

import anyio
import pytest
from rounds_by_hand import LOGIN, Kept, Rig, query

from hillchute.decision.interface import EndpointState, Listing
from hillchute.discovery import event_bus, watcher
from hillchute.discovery.event_bus import FRAME_HEADER, Endpoint, WatchEvent
from hillchute.discovery.watcher import EndpointWatcher
from hillchute.router.retry_delays import RetryDelays

KEEPALIVE = FRAME_HEADER.pack(9, 0, 0)
FIRST, SECOND, THIRD = (("127.0.0.1", port) for port in (1, 2, 3))
LONG = 60  # seconds: no test waits for it


def delta_frame(offset, state=0, engine=1):
    body = event_bus.ENDPOINT_RECORD.pack(engine, bytes((127, 0, 0, 1)), 9, state, 0, 0, 0, 1000, 0)
    return FRAME_HEADER.pack(9 + len(body), offset, 2) + body


class Bus:
    """Stands in for an event bus: what each connection says, and when connects come up."""

    def __init__(self, monkeypatch):
        self.connects = []
        self.closed = []
        self.log = Kept()
        self.events = []  # all that the watcher handed on
        self.subscription = None  # the last one sent
        self.gates = {}  # address: an event that its connects wait for
        self.scripts = {}  # address: lists of what one connection sends; then it falls silent or breaks
        monkeypatch.setattr(watcher.anyio, "connect_tcp", self.connect)
        self.watcher = EndpointWatcher(
            self.log,
            on_event=self.events.append,
            last_offset=lambda: max([0, *(event.offset for event in self.events)]),
            jittered=lambda seconds: seconds,
        )

    async def connect(self, host, port):
        self.connects.append((host, port))
        if gate := self.gates.get((host, port)):
            await gate.wait()
        scripts = self.scripts.get((host, port), [])
        return Stream(self, (host, port), scripts.pop(0) if scripts else [])


class Stream:
    def __init__(self, bus, address, script):
        self.bus = bus
        self.address = address
        self.script = script

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        self.bus.closed.append(self.address)

    async def send(self, data):
        self.bus.subscription = data

    async def receive(self, most):
        await anyio.lowlevel.checkpoint()
        if not self.script:
            await anyio.sleep_forever()
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        if callable(step):
            await step()
            return KEEPALIVE
        return step


@pytest.fixture
def bus(monkeypatch):
    monkeypatch.setattr(watcher, "IDLE_TIMEOUT", 0.05)
    monkeypatch.setattr(watcher, "RETRY_DELAY", 0.001)
    return Bus(monkeypatch)


def play(bus, done, *addresses):
    """Watches the bus at one address after another until `done`."""

    async def run():
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                for address in addresses or (FIRST,):
                    bus.watcher.watch(address, tasks)
                    await anyio.sleep(0)
                while not done():
                    await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    "first",
    [
        [KEEPALIVE],  # falls silent
        [KEEPALIVE, delta_frame(1)[:20]],  # stops in the middle of a frame
        [KEEPALIVE, *(bytes([byte]) for byte in delta_frame(1)[:30])],  # bytes, but no frame
        [KEEPALIVE, OSError("reset")],
        [KEEPALIVE, anyio.EndOfStream()],
        [KEEPALIVE, b"\xff" * 40],  # unreadable
    ],
    ids=["silent", "half a frame", "trickle", "reset", "closed", "unreadable"],
)
def test_connection_that_tells_nothing_more_is_replaced_and_nothing_is_missed(bus, first):
    bus.scripts[FIRST] = [first, [delta_frame(1), delta_frame(2, state=1)]]
    play(bus, lambda: len(bus.events) >= 3)
    assert [event.offset for event in bus.events if event.kind != "Nothing"] == [1, 2]
    assert bus.connects == [FIRST] * 2 and bus.subscription == event_bus.encode_subscription(0)


def test_trickle_of_bytes_that_never_make_a_frame_is_left_in_time(bus):
    async def slowly():
        await anyio.sleep(0.01)

    class Trickle(Stream):
        async def receive(self, most):
            await slowly()
            return b"\0"

    bus.scripts[FIRST] = []
    real = bus.connect

    async def connect(host, port):
        if not bus.connects:
            bus.connects.append((host, port))
            return Trickle(bus, (host, port), [])
        return await real(host, port)

    watcher.anyio.connect_tcp = connect
    began = time.monotonic()
    play(bus, lambda: len(bus.connects) >= 2)
    assert time.monotonic() - began >= 0.04 and ("event_bus_lost" in [event for event, _ in bus.log.lines])


def test_addresses_in_quick_succession_while_connects_are_under_way_end_at_the_last(bus, monkeypatch):
    """The second never comes up; the first is heard until the third is."""
    monkeypatch.setattr(watcher, "IDLE_TIMEOUT", LONG)

    async def run():
        bus.gates[SECOND] = anyio.Event()
        bus.gates[THIRD] = anyio.Event()
        bus.scripts = {FIRST: [[delta_frame(1)]], THIRD: [[delta_frame(2)]]}
        async with anyio.create_task_group() as tasks:
            for connects, address in enumerate((FIRST, SECOND, THIRD), start=1):
                bus.watcher.watch(address, tasks)
                while len(bus.connects) < connects or not bus.events:
                    await anyio.sleep(0.001)
            assert [event.offset for event in bus.events] == [1] and bus.closed == []
            bus.gates[THIRD].set()
            while len(bus.events) < 2:
                await anyio.sleep(0.001)
            assert len(bus.watcher.scopes) == 1 and bus.closed == [FIRST]
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert bus.connects[-1] == THIRD


def test_connection_that_breaks_as_a_newer_one_lets_it_go_ends_nothing_else(bus, monkeypatch):
    """Both in one turn of the loop: the old one's end is on its way when its scope is cancelled."""
    monkeypatch.setattr(watcher, "IDLE_TIMEOUT", LONG)

    async def let_go_and_break():
        bus.watcher.scopes.pop(0)
        raise OSError("reset")

    bus.scripts = {FIRST: [[let_go_and_break]], SECOND: [[delta_frame(5)]]}

    async def run():
        async with anyio.create_task_group() as tasks:
            bus.gates[SECOND] = anyio.Event()
            bus.watcher.watch(FIRST, tasks)
            bus.watcher.watch(SECOND, tasks)
            await anyio.sleep(0.01)
            bus.gates[SECOND].set()
            while not bus.events:
                await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert [event.offset for event in bus.events] == [5]


@pytest.fixture
def rig():
    rig = Rig()
    yield rig
    rig.close()


def entry(rig, state, started=0, engine=1, kind=0):
    return Endpoint(
        Listing(engine, kind, 0, 0, started, state, 1.0), "127.0.0.1", rig.listener.getsockname()[1]
    )


def test_repeated_and_old_numbers_change_nothing_and_one_that_skips_counts(rig):
    rig.list(7, state=EndpointState.DRAINING)
    for number in (7, 3, 1):
        rig.list(number, state=EndpointState.READY)
    assert not rig.service.reducer.scheduler.engines[1].ready
    rig.list(40, state=EndpointState.READY)
    assert rig.service.reducer.scheduler.engines[1].ready and rig.service.reducer.pool.list_offset == 40


def test_engine_that_drains_vanishes_and_returns_in_one_frame_is_a_new_process(rig):
    client = rig.connected()
    (old,) = rig.service.links.links.values()
    started = rig.clock() - 200_000  # long enough ago to be warm
    entries = [entry(rig, "Terminating"), entry(rig, "Gone"), entry(rig, "Ready", started)]
    rig.service.endpoint_updates.on_watch_event(WatchEvent(2, "Partial", tuple(entries)))
    assert rig.service.reducer.scheduler.engines[1].ready
    assert old.pipe.closed  # the process that it was open to is gone
    client.write(query(1))
    rig.until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == "served" and len(rig.talks) == 2


def test_attempt_that_is_out_to_the_process_before_may_still_answer_and_takes_no_other_along(rig):
    client, other = rig.connected(), rig.client()
    rig.serving = False
    client.write(query(1))
    rig.until(lambda: rig.wants)
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (entry(rig, "Ready", rig.clock() - 200_000),))
    )
    other.write(query(2))
    rig.until(lambda: len(rig.wants) == 2)
    assert len(rig.talks) == 2  # the new attempt went to the new process, on a connection of its own
    rig.talks[0].serve(rig.wants[0])
    rig.talks[1].serve(rig.wants[1])
    rig.until(lambda: len(client.answers()) == 2 and other.answers())
    assert client.answers()[1] == "served" and other.answers() == ["served"]


def test_address_of_one_that_has_gone_is_a_new_engines_own(rig):
    client = rig.connected()
    rig.serving = False
    client.write(query(1))
    rig.until(lambda: rig.wants)
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (entry(rig, "Gone"), entry(rig, "Ready", engine=2)))
    )
    other = rig.client(LOGIN + query(2))
    rig.until(lambda: len(rig.wants) == 2)
    assert len(rig.talks) == 2
    rig.talks[0].close()
    rig.talks[1].serve(rig.wants[1])
    rig.until(lambda: other.answers())
    assert other.answers() == ["served"]


def test_drain_in_the_same_round_as_the_query_is_kept(rig):
    client = rig.connected()
    client.write(query(1))
    rig.list(2, state=EndpointState.DRAINING)
    rig.turn(5)
    assert rig.wants == []


def test_engine_of_a_kind_that_the_settings_do_not_name_gets_nothing_and_the_rest_of_the_list_counts(rig):
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (entry(rig, "Ready", engine=3, kind=9), entry(rig, "Terminating")))
    )
    engines = rig.service.reducer.scheduler.engines
    assert not engines[1].ready and not engines[3].ready
    (line,) = [fields for event, fields in rig.log.lines if event == "endpoint_unusable"]
    assert line["error"] == "UnknownEngineKindError" and line["remedy"] and not rig.log.faults()


def test_routers_that_lose_it_in_one_instant_do_not_come_back_in_one_instant():
    waits = sorted(RetryDelays(seed).next_delay(watcher.RETRY_DELAY) for seed in range(200))
    tenth = watcher.RETRY_DELAY / 10
    assert max(sum(start <= wait < start + tenth for wait in waits) for start in waits) < 40
    assert waits[0] >= watcher.RETRY_DELAY / 2 and waits[-1] <= watcher.RETRY_DELAY * 1.5
