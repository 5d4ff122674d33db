"""The parts of the running router: its alarm, the order of effects, faults in the log, files read again."""

from types import SimpleNamespace

import anyio
import pytest
from rounds_by_hand import Kept, Rig

from hillchute.errors import ConfigurationError
from hillchute.fronts.events import FIRST_CALL, FIRST_GUEST
from hillchute.router import config
from hillchute.router.alarm import Alarm
from hillchute.router.effects import EndClaim, RejectQuery, WriteLog
from hillchute.router.event_trace import EventTrace
from hillchute.router.events import AlarmDue
from hillchute.router.fault_log import EVENTS_BEFORE_FAULT, TRACE_INTERVAL, FaultLog
from hillchute.router.reload import ConfigurationReloader, OperatorFile

NOW = 1_000_000
BUS = ("127.0.0.1", 9)


@pytest.fixture
def rig():
    rig = Rig()
    yield rig
    rig.close()


# ---- the alarm ------------------------------------------------------------------------------------


def test_earlier_alarm_ends_the_wait_and_a_later_one_does_not():
    async def run():
        alarm, ended = Alarm(lambda: NOW), []
        alarm.set(NOW + 36_000_000)

        async def wait():
            await alarm.wait()
            ended.append(alarm.due_at)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            alarm.set(NOW + 72_000_000)
            await anyio.wait_all_tasks_blocked()
            assert ended == []
            alarm.set(NOW + 18_000_000)
            await anyio.wait_all_tasks_blocked()
            assert ended == [NOW + 18_000_000]

    anyio.run(run)


def test_first_alarm_ends_the_wait_without_one_and_one_that_is_due_is_not_waited_for():
    async def run():
        alarm = Alarm(lambda: NOW)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(alarm.wait)
            await anyio.wait_all_tasks_blocked()
            alarm.set(NOW - 1)
        with anyio.fail_after(5):
            await alarm.wait()

    anyio.run(run)


# ---- events and effects ---------------------------------------------------------------------------


def test_events_that_are_held_are_handled_in_order_at_the_end(rig, monkeypatch):
    seen, executor = [], rig.service.executor
    monkeypatch.setattr(rig.service.reducer, "reduce", lambda event, now: seen.append(event) or [])
    with executor.events_held():
        executor.handle("first")
        with executor.events_held():
            executor.handle("second")
        assert seen == []
    assert seen == ["first", "second"] and not executor.busy


def test_fault_in_one_effect_is_logged_and_keeps_no_other_from_being_carried_out(rig, monkeypatch):
    claim = EndClaim("id", 1, None, None)  # there is no extension
    effects = [claim, RejectQuery(FIRST_GUEST, 0), WriteLog("answers", {"open": 0})]
    monkeypatch.setattr(rig.service.reducer, "reduce", lambda event, now: effects)
    rig.log.lines.clear()
    rig.service.handle(AlarmDue())
    assert [fields["what"] for fields in rig.log.faults()] == ["carry_out"] * 2
    assert rig.log.lines[-1] == ("answers", {"open": 0})


def test_session_number_says_which_frontend_has_the_client(rig, monkeypatch):
    executor = rig.service.executor
    assert executor.frontend_of(FIRST_CALL - 1) is rig.service.door
    monkeypatch.setattr(executor, "flight", "calls")
    monkeypatch.setattr(executor, "extension", SimpleNamespace(forwarded_queries="forwarded"))
    assert executor.frontend_of(FIRST_CALL - 1) is rig.service.door
    assert executor.frontend_of(FIRST_CALL) == executor.frontend_of(FIRST_GUEST - 1) == "calls"
    assert executor.frontend_of(FIRST_GUEST) == "forwarded"


def test_trace_is_written_with_the_first_fault_of_a_second():
    now, log, trace = [NOW], Kept(), EventTrace()
    faults = FaultLog(log, trace, lambda: now[0])
    for number in range(EVENTS_BEFORE_FAULT + 1):
        trace.record(NOW, ("Left", number))

    def fail():
        try:
            int("no number")
        except ValueError as error:
            faults.write("send", error)

    fail()
    events = [entry for event, fields in log.lines if event == "trace" for entry in fields["events"]]
    assert len(events) == EVENTS_BEFORE_FAULT and events[-1] == [0, "Left", EVENTS_BEFORE_FAULT]
    (fault,) = log.faults()
    assert fault["what"] == "send" and "no number" in fault["reason"] and "in fail" in fault["trace"]
    lines = len(log.lines)
    now[0] += TRACE_INTERVAL - 1
    fail()
    assert len(log.lines) == lines + 1  # the fault alone
    now[0] += 1
    fail()
    assert len(log.lines) > lines + 2


# ---- files read again -----------------------------------------------------------------------------


class Part:
    """Stands in for the Flight SQL frontend and the extension: both name one setting that needs a restart."""

    def __init__(self):
        self.taken = []

    def renew(self, settings):
        self.taken.append(settings)
        return ["listen"]

    def reload(self, settings):
        self.taken.append(settings["peers"])
        return ["peers.listen"]


class Reload:
    """A reloader, what its operator file says when it is read again, and what came of it."""

    def __init__(self, rig, monkeypatch, running, read_again, flight=None, extension=None):
        self.log, self.watched, service = Kept(), [], rig.service
        self.reloader = ConfigurationReloader(
            configuration=rig.configuration,
            operator_file=OperatorFile(running, read_again),
            endpoint_updates=service.endpoint_updates,
            endpoint_watcher=SimpleNamespace(watch=lambda address, tasks: self.watched.append(address)),
            flight=flight,
            extension=extension,
            log=self.log,
        )
        moved_bus = rig.configuration._replace(event_bus_address=BUS)
        monkeypatch.setattr(config, "read_configuration", lambda: moved_bus)
        self.reloader.reload(None)

    def needs_restart(self):
        return self.log.lines[-1][1]["needs_restart"]


def test_configuration_that_cannot_be_read_changes_nothing(rig, monkeypatch):
    reload = Reload(rig, monkeypatch, {}, None)
    reload.watched.clear()

    def unreadable():
        raise ConfigurationError("missing", "bus")

    monkeypatch.setattr(config, "read_configuration", unreadable)
    reload.reloader.reload(None)
    ((event, fields),) = reload.log.lines[1:]
    assert event == "reload" and fields["kept"] == "the running configuration" and fields["where"] == "bus"
    assert reload.watched == []


def test_operator_file_that_cannot_be_used_stays_as_it_was_and_the_bus_is_followed(rig, monkeypatch):
    running = {"engines": {}, "log": {}}

    def unusable():
        raise ValueError("not an operator file")

    reload = Reload(rig, monkeypatch, running, unusable)
    assert [fields.get("kept") for _, fields in reload.log.lines] == ["the running operator file", None]
    assert reload.reloader.operator_file.settings is running
    assert (
        reload.watched == [BUS] == [reload.reloader.configuration.event_bus_address]
        and reload.needs_restart() == []
    )


def test_parts_that_run_take_their_settings_and_name_what_needs_a_restart(rig, monkeypatch):
    running = {"engines": {}, "log": {}, "flight": {"users": []}, "peers": {"name": "a"}}
    again = {"engines": {}, "log": {"alike": 1}, "flight": {"users": ["u"]}, "peers": {"name": "b"}}
    flight, extension = Part(), Part()
    reload = Reload(rig, monkeypatch, running, lambda: again, flight, extension)
    assert flight.taken == [{"users": ["u"]}] and extension.taken == [{"name": "b"}]
    assert reload.needs_restart() == ["log", "flight.listen", "peers.listen"]
    assert reload.reloader.operator_file.settings is again


@pytest.mark.parametrize("section", ["flight", "peers"])
def test_section_that_is_new_or_gone_needs_a_restart(rig, monkeypatch, section):
    without = {"engines": {}, "log": {}}
    with_it = without | {section: {"listen": "127.0.0.1:1"}}
    assert Reload(rig, monkeypatch, without, lambda: with_it).needs_restart() == [section]
    part = {"flight": "flight", "peers": "extension"}[section]
    gone = Reload(rig, monkeypatch, with_it, lambda: without, **{part: Part()})
    assert gone.needs_restart() == [section]
