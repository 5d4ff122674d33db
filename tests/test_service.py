"""The components of the running router: the alarm, the order of effects, the fault log and reloading."""

from types import SimpleNamespace

import anyio
import pytest
from rounds_by_hand import RecordingLog, RouterHarness

from hillchute.errors import ConfigurationError, OperatorFileError
from hillchute.fronts.events import FIRST_FLIGHT_SESSION, FIRST_FORWARDED_SESSION
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
    rig = RouterHarness()
    yield rig
    rig.close()


# ---- the alarm ------------------------------------------------------------------------------------


def test_earlier_alarm_ends_the_wait_and_a_later_one_does_not():
    async def run():
        alarm, ended_at = Alarm(lambda: NOW), []
        alarm.set(NOW + 36_000_000)

        async def wait():
            await alarm.wait()
            ended_at.append(alarm.due_at)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            alarm.set(NOW + 72_000_000)
            await anyio.wait_all_tasks_blocked()
            assert ended_at == []
            alarm.set(NOW + 18_000_000)
            await anyio.wait_all_tasks_blocked()
            assert ended_at == [NOW + 18_000_000]

    anyio.run(run)


def test_first_alarm_ends_a_wait_without_alarm_and_a_due_alarm_is_not_waited_for():
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


def test_held_events_are_handled_in_order_when_released(rig, monkeypatch):
    handled, executor = [], rig.service.executor
    monkeypatch.setattr(rig.service.reducer, "reduce", lambda event, now: handled.append(event) or [])
    with executor.events_held():
        executor.handle("first")
        with executor.events_held():
            executor.handle("second")
        assert handled == []
    assert handled == ["first", "second"] and not executor.busy


def test_exception_in_one_effect_is_logged_and_the_others_are_carried_out(rig, monkeypatch):
    end_claim = EndClaim("id", 1, None, None)  # fails: there is no extension
    effects = [end_claim, RejectQuery(FIRST_FORWARDED_SESSION, 0), WriteLog("answers", {"open": 0})]
    monkeypatch.setattr(rig.service.reducer, "reduce", lambda event, now: effects)
    rig.log.lines.clear()
    rig.service.handle(AlarmDue())
    assert [fields["what"] for fields in rig.log.faults()] == ["carry_out"] * 2
    assert rig.log.lines[-1] == ("answers", {"open": 0})


def test_session_number_selects_the_frontend(rig, monkeypatch):
    executor = rig.service.executor
    assert executor.frontend_of(FIRST_FLIGHT_SESSION - 1) is rig.service.mysql_frontend
    monkeypatch.setattr(executor, "flight", "flight")
    monkeypatch.setattr(executor, "extension", SimpleNamespace(forwarded_queries="forwarded"))
    assert executor.frontend_of(FIRST_FLIGHT_SESSION - 1) is rig.service.mysql_frontend
    assert (
        executor.frontend_of(FIRST_FLIGHT_SESSION)
        == executor.frontend_of(FIRST_FORWARDED_SESSION - 1)
        == "flight"
    )
    assert executor.frontend_of(FIRST_FORWARDED_SESSION) == "forwarded"


def test_trace_is_written_with_the_first_fault_of_a_second():
    now, log, trace = [NOW], RecordingLog(), EventTrace()
    faults = FaultLog(log, trace, lambda: now[0])
    for number in range(EVENTS_BEFORE_FAULT + 1):
        trace.record(NOW, ("ClientGone", number))

    def fail():
        try:
            int("no number")
        except ValueError as error:
            faults.write("send", error)

    fail()
    events = [entry for event, fields in log.lines if event == "trace" for entry in fields["events"]]
    assert len(events) == EVENTS_BEFORE_FAULT and events[-1] == [0, "ClientGone", EVENTS_BEFORE_FAULT]
    (fault,) = log.faults()
    assert fault["what"] == "send" and "no number" in fault["reason"] and "in fail" in fault["trace"]
    lines = len(log.lines)
    now[0] += TRACE_INTERVAL - 1
    fail()
    assert len(log.lines) == lines + 1  # the fault alone
    now[0] += 1
    fail()
    assert len(log.lines) > lines + 2


# ---- reloading ------------------------------------------------------------------------------------


class Component:
    """Stands in for the Flight SQL frontend and the extension; each names a setting that needs a restart."""

    def __init__(self, section):
        self.section, self.applied = section, []

    def prepare_reload(self, settings):
        settings = settings.get(self.section, settings)
        return SimpleNamespace(
            needs_restart=[f"{self.section}.listen"], apply=lambda: self.applied.append(settings)
        )


class Reload:
    """A reload with the given operator files, its log lines and the event bus addresses that it watched."""

    def __init__(self, rig, monkeypatch, running, read, flight=None, extension=None):
        self.log, self.watched, service = RecordingLog(), [], rig.service
        self.reloader = ConfigurationReloader(
            configuration=rig.configuration,
            operator_file=OperatorFile(running, read),
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

    def raise_error():
        raise ConfigurationError("missing", "bus")

    monkeypatch.setattr(config, "read_configuration", raise_error)
    reload.reloader.reload(None)
    ((event, fields),) = reload.log.lines[1:]
    assert event == "reload" and fields["kept"] == "the running configuration" and fields["where"] == "bus"
    assert reload.watched == []


def test_unusable_operator_file_keeps_the_running_one_and_the_event_bus_is_still_moved(rig, monkeypatch):
    running = {"engines": {}, "log": {}}

    def raise_error():
        raise OperatorFileError("not an operator file")

    reload = Reload(rig, monkeypatch, running, raise_error)
    assert [fields.get("kept") for _, fields in reload.log.lines] == ["the running operator file", None]
    assert reload.reloader.operator_file.settings is running
    assert (
        reload.watched == [BUS] == [reload.reloader.configuration.event_bus_address]
        and reload.needs_restart() == []
    )


def test_running_components_apply_their_settings_and_name_what_needs_a_restart(rig, monkeypatch):
    running = {"engines": {}, "log": {}, "flight": {"users": []}, "peers": {"name": "a"}}
    changed = {"engines": {}, "log": {"alike": 1}, "flight": {"users": ["u"]}, "peers": {"name": "b"}}
    flight, extension = Component("flight"), Component("peers")
    reload = Reload(rig, monkeypatch, running, lambda: changed, flight, extension)
    assert flight.applied == [{"users": ["u"]}] and extension.applied == [{"name": "b"}]
    assert reload.needs_restart() == ["log", "flight.listen", "peers.listen"]
    assert reload.reloader.operator_file.settings is changed


@pytest.mark.parametrize("section", ["flight", "peers"])
def test_added_or_removed_section_needs_a_restart(rig, monkeypatch, section):
    without = {"engines": {}, "log": {}}
    with_section = without | {section: {"listen": "127.0.0.1:1"}}
    assert Reload(rig, monkeypatch, without, lambda: with_section).needs_restart() == [section]
    parameter = {"flight": "flight", "peers": "extension"}[section]
    removed = Reload(rig, monkeypatch, with_section, lambda: without, **{parameter: Component(section)})
    assert removed.needs_restart() == [section]
