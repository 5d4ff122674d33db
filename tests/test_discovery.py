"""The watch of the endpoint list when the event bus fails, stalls or changes its address, and the effect of
watch events on connections to engines."""

import time

import anyio
import pytest
from rounds_by_hand import LOGIN, RecordingLog, RouterHarness, query

from hillchute.decision.interface import EndpointEntry, EndpointState
from hillchute.discovery import event_bus, watcher
from hillchute.discovery.event_bus import FRAME_HEADER, Endpoint, WatchEvent
from hillchute.discovery.watcher import EndpointWatcher
from hillchute.router.retry_delays import RetryDelays

KEEPALIVE = FRAME_HEADER.pack(9, 0, 0)
FIRST, SECOND, THIRD = (("127.0.0.1", port) for port in (1, 2, 3))
NEVER_REACHED = 60  # seconds, longer than any test


def delta_frame(offset, state=0, engine=1):
    body = event_bus.ENDPOINT_RECORD.pack(engine, bytes((127, 0, 0, 1)), 9, state, 0, 0, 0, 1000, 0)
    return FRAME_HEADER.pack(9 + len(body), offset, 2) + body


class Bus:
    """A stand-in for an event bus, with scripted connections and controlled connects."""

    def __init__(self, monkeypatch):
        self.connects = []
        self.closed = []
        self.log = RecordingLog()
        self.events = []  # all events that the watcher passed on
        self.subscription = None  # the last one sent
        self.gates = {}  # by address: an event that connects wait for
        self.scripts = {}  # by address: for each connection the steps that it sends, after which it is silent
        monkeypatch.setattr(watcher.anyio, "connect_tcp", self.connect)
        self.watcher = EndpointWatcher(
            self.log,
            on_event=self.events.append,
            last_offset=lambda: max([0, *(event.offset for event in self.events)]),
            jittered=lambda seconds: seconds,
            on_fault=lambda source, error: self.log.write("fault", what=source, reason=repr(error)),
        )

    async def connect(self, host, port):
        self.connects.append((host, port))
        if gate := self.gates.get((host, port)):
            await gate.wait()
        scripts = self.scripts.get((host, port), [])
        return Stream(self, (host, port), scripts.pop(0) if scripts else [])


class Stream:
    """A connection to the stand-in; a client receives the steps of its script, one for each call."""

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


def watch_until(bus, done, *addresses):
    """Watches the event bus at one address after another until `done` returns True."""

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
        [KEEPALIVE],  # silent afterwards
        [KEEPALIVE, delta_frame(1)[:20]],  # an incomplete frame
        [KEEPALIVE, *(bytes([byte]) for byte in delta_frame(1)[:30])],  # bytes without a complete frame
        [KEEPALIVE, OSError("reset")],
        [KEEPALIVE, anyio.EndOfStream()],
        [KEEPALIVE, b"\xff" * 40],  # an invalid frame
    ],
    ids=["silent", "incomplete frame", "trickle", "reset", "closed", "invalid frame"],
)
def test_dead_connection_is_replaced_without_losing_events(bus, first):
    bus.scripts[FIRST] = [first, [delta_frame(1), delta_frame(2, state=1)]]
    watch_until(bus, lambda: len(bus.events) >= 3)
    assert [event.offset for event in bus.events if event.kind != "Nothing"] == [1, 2]
    assert bus.connects == [FIRST] * 2 and bus.subscription == event_bus.encode_subscription(0)


def test_trickle_of_bytes_without_a_frame_times_out(bus):
    async def wait_briefly():
        await anyio.sleep(0.01)

    class TrickleStream(Stream):
        async def receive(self, most):
            await wait_briefly()
            return b"\0"

    bus.scripts[FIRST] = []
    connect_normally = bus.connect

    async def connect(host, port):
        if not bus.connects:
            bus.connects.append((host, port))
            return TrickleStream(bus, (host, port), [])
        return await connect_normally(host, port)

    watcher.anyio.connect_tcp = connect
    started = time.monotonic()
    watch_until(bus, lambda: len(bus.connects) >= 2)
    assert time.monotonic() - started >= 0.04 and ("event_bus_lost" in [event for event, _ in bus.log.lines])


def test_last_of_several_quick_address_changes_wins(bus, monkeypatch):
    """The second address never connects; events come from the first until the third is connected."""
    monkeypatch.setattr(watcher, "IDLE_TIMEOUT", NEVER_REACHED)

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


def test_connection_that_fails_while_it_is_replaced_does_not_end_the_new_watch(bus, monkeypatch):
    """The newer watch removes the old scope in the loop iteration in which the old connection fails."""
    monkeypatch.setattr(watcher, "IDLE_TIMEOUT", NEVER_REACHED)

    async def remove_scope_and_fail():
        bus.watcher.scopes.pop(0)
        raise OSError("reset")

    bus.scripts = {FIRST: [[remove_scope_and_fail]], SECOND: [[delta_frame(5)]]}

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
    rig = RouterHarness()
    yield rig
    rig.close()


def endpoint(rig, state, started=0, engine=1, kind=0):
    return Endpoint(
        EndpointEntry(engine, kind, 0, 0, started, state, 1.0), "127.0.0.1", rig.listener.getsockname()[1]
    )


def test_repeated_and_old_offsets_are_ignored_and_gaps_are_accepted(rig):
    rig.list_engine(7, state=EndpointState.DRAINING)
    for number in (7, 3, 1):
        rig.list_engine(number, state=EndpointState.READY)
    assert not rig.service.reducer.scheduler.engines[1].ready
    rig.list_engine(40, state=EndpointState.READY)
    assert rig.service.reducer.scheduler.engines[1].ready and rig.service.reducer.pool.list_offset == 40


def test_engine_that_drains_goes_and_returns_in_one_event_is_a_new_process(rig):
    client = rig.client_after_served_query()
    (old,) = rig.service.links.connections.values()
    started = rig.clock() - 200_000  # long enough ago for the warm-up to be over
    entries = [endpoint(rig, "Terminating"), endpoint(rig, "Gone"), endpoint(rig, "Ready", started)]
    rig.service.endpoint_updates.on_watch_event(WatchEvent(2, "Partial", tuple(entries)))
    assert rig.service.reducer.scheduler.engines[1].ready
    assert old.buffered_socket.closed  # its process no longer exists
    client.write(query(1))
    rig.run_until(lambda: len(client.answers()) == 2)
    assert client.answers()[1] == "served" and len(rig.engine_connections) == 2


def test_attempt_at_the_previous_process_may_still_answer_beside_a_new_one(rig):
    client, other = rig.client_after_served_query(), rig.connect_client()
    rig.answers_at_once = False
    client.write(query(1))
    rig.run_until(lambda: rig.received_attempts)
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (endpoint(rig, "Ready", rig.clock() - 200_000),))
    )
    other.write(query(2))
    rig.run_until(lambda: len(rig.received_attempts) == 2)
    assert len(rig.engine_connections) == 2  # the new attempt uses a new connection to the new process
    rig.engine_connections[0].serve(rig.received_attempts[0])
    rig.engine_connections[1].serve(rig.received_attempts[1])
    rig.run_until(lambda: len(client.answers()) == 2 and other.answers())
    assert client.answers()[1] == "served" and other.answers() == ["served"]


def test_address_of_a_gone_engine_can_be_reused_by_a_new_one(rig):
    client = rig.client_after_served_query()
    rig.answers_at_once = False
    client.write(query(1))
    rig.run_until(lambda: rig.received_attempts)
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (endpoint(rig, "Gone"), endpoint(rig, "Ready", engine=2)))
    )
    other = rig.connect_client(LOGIN + query(2))
    rig.run_until(lambda: len(rig.received_attempts) == 2)
    assert len(rig.engine_connections) == 2
    rig.engine_connections[0].close()
    rig.engine_connections[1].serve(rig.received_attempts[1])
    rig.run_until(lambda: other.answers())
    assert other.answers() == ["served"]


def test_drain_in_the_same_loop_iteration_as_a_query_applies_to_it(rig):
    client = rig.client_after_served_query()
    client.write(query(1))
    rig.list_engine(2, state=EndpointState.DRAINING)
    rig.run_rounds(5)
    assert rig.received_attempts == []


def test_engine_of_an_unknown_kind_is_unusable_and_the_rest_of_the_list_applies(rig):
    rig.service.endpoint_updates.on_watch_event(
        WatchEvent(2, "Partial", (endpoint(rig, "Ready", engine=3, kind=9), endpoint(rig, "Terminating")))
    )
    engines = rig.service.reducer.scheduler.engines
    assert not engines[1].ready and not engines[3].ready
    (line,) = [fields for event, fields in rig.log.lines if event == "endpoint_unusable"]
    assert line["error"] == "UnknownEngineKindError" and line["remedy"] and not rig.log.faults()


def test_routers_that_lose_the_event_bus_together_reconnect_at_different_times():
    waits = sorted(RetryDelays(seed).next_delay(watcher.RETRY_DELAY) for seed in range(200))
    tenth = watcher.RETRY_DELAY / 10
    assert max(sum(start <= wait < start + tenth for wait in waits) for start in waits) < 40
    assert waits[0] >= watcher.RETRY_DELAY / 2 and waits[-1] <= watcher.RETRY_DELAY * 1.5
