"""Settings of arbitrary deployments: invalid ones are reported by path, and the router keeps its rules with
all valid ones."""

import copy

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from rounds_by_hand import LOGIN, RouterHarness, query

from hillchute.discovery import event_bus
from hillchute.discovery.event_bus import ENDPOINT_RECORD, FRAME_HEADER
from hillchute.errors import ConfigurationError
from hillchute.fronts.mysql.packets import FAILED, REFUSED
from hillchute.lab import deployment
from hillchute.router import config

MS = 10**6


def changed(path, value):
    """Returns the toy deployment with one key of its settings changed, or removed if the value is None."""
    table = copy.deepcopy(deployment.make_configuration())
    item = table["settings"]
    *parents, last = path.replace("[", ".").replace("]", "").split(".")
    for part in parents:
        item = item[int(part)] if part.isdigit() else item[part]
    if value is None:
        del item[last]
    else:
        item[last] = value
    return table


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("classes", []),
        ("classes", None),
        ("classes", {"name": "x"}),
        ("classes[0].name", ""),
        ("classes[0].name", None),
        ("classes[0].name", "a=b"),
        ("classes[1].name", "lookup"),
        ("classes[0].deadline_ns", 0),
        ("classes[0].deadline_ns", -5),
        ("classes[0].deadline_ns", None),
        ("classes[0].deadline_ns", 10**30),
        ("classes[0].goal_time_ns", 0),
        ("classes[0].goal_time_ns", "soon"),
        ("classes[0].semantics", "sometimes"),
        ("classes[0].semantics", None),
        ("classes[2].group", "galaxy"),
        ("classes[2].window_ns", -1),
        ("classes[2].keep_order", "yes"),
        ("classes[0].worth", -1.0),
        ("classes[0].runs_on", [4]),
        ("classes[0].runs_in", [4]),
        ("kinds", "std"),
        ("n_instances", 0),
        ("n_instances", True),
        ("limits.connect_timeout_ns", 0),
        ("limits.connect_timeout_ns", None),
        ("limits.keepalive_ns", 0),
        ("limits.streams_per_conn", 0),
        ("limits.most_tries", 0),
        ("limits.open_cap", 0),
        ("guarantees.cold_from", 0),
        ("guarantees.cold_from", 1.5),
        ("guarantees.fall_ns", -1),
        ("domain.kind_cores", [0]),
        ("domain.kind_cores", []),
        ("domain.width_by_class", [1]),
        ("domain.width_by_class", [1, 0, 2]),
        ("domain", 5),
        ("limits", "none"),
    ],
)
def test_missing_or_invalid_setting_is_named_by_its_path(path, value):
    with pytest.raises(ConfigurationError) as error:
        config.parse_configuration(changed(path, value), {})
    assert error.value.location.startswith(f"settings.{path}") and error.value.remedy


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("limits.open_cap", None),
        ("limits.most_tries", None),
        ("limits.streams_per_conn", None),
        ("n_instances", 5_000),
        ("guarantees", {}),
        ("domain", {}),
        ("report", {}),
        ("kinds", None),
        ("dcs", None),
        ("classes[0].worth", 0),
        ("classes[2].window_ns", None),
    ],
)
def test_router_serves_with_optional_settings_absent_or_extreme(path, value):
    rig = RouterHarness(table=changed(path, value))
    try:
        client = rig.connect_client(LOGIN + query(1))
        rig.run_until(lambda: client.answers())
        assert client.answers() == ["served"]
    finally:
        rig.close()


@pytest.mark.parametrize("effect", ["repeatable", "by_key", "once"])
def test_router_serves_with_classes_of_a_single_effect(effect):
    table = deployment.make_configuration()
    for kind in table["settings"]["classes"]:
        kind["semantics"] = effect
        kind.pop("keep_order", None)
    rig = RouterHarness(table=table)
    try:
        client = rig.connect_client(LOGIN + query(1, nonce="01"))
        rig.run_until(lambda: client.answers())
        assert client.answers() == ["served"]
    finally:
        rig.close()


@pytest.mark.parametrize("count", [1_024, 5_000])
def test_list_of_more_than_a_thousand_engines_is_applied_completely(count):
    body = b"".join(
        ENDPOINT_RECORD.pack(n, bytes((127, 0, 0, 1)), 9, 0, 0, 0, 0, 1000, 0) for n in range(count)
    )
    (update,) = event_bus.WatchEventDecoder().feed(FRAME_HEADER.pack(9 + len(body), 1, 1) + body)
    rig = RouterHarness()
    rig.service.endpoint_updates.on_watch_event(update._replace(offset=2))
    assert len(rig.service.reducer.scheduler.engines) == count and not rig.log.faults()
    rig.close()


names = st.text(st.characters(codec="ascii", categories=["L", "N"], include_characters="-_."), min_size=1)
classes = st.builds(
    lambda name, deadline, goal, effect, order, worth, group, window: {
        "name": name,
        "deadline_ns": deadline * MS,
        "goal_time_ns": max(1, int(deadline * goal)) * MS,
        "aim_stretch": 1.5,
        "semantics": effect,
        "worth": worth,
        "group": group,
        "window_ns": window * MS,
        **({"keep_order": True} if order else {}),
    },
    names,
    st.integers(600, 30_000),
    st.floats(0.01, 1),
    st.sampled_from(["repeatable", "by_key", "once"]),
    st.booleans(),
    st.floats(0, 100),
    st.sampled_from(["all", "zone", "cell"]),
    st.integers(0, 60_000),
)
deployments = st.fixed_dictionaries(
    {
        "classes": st.lists(classes, min_size=1, max_size=5, unique_by=lambda kind: kind["name"]),
        "n_instances": st.integers(1, 2_000),
        "kinds": st.lists(names, min_size=1, max_size=3),
        "cores": st.integers(1, 256),
        "tries": st.integers(1, 6),
        "streams": st.integers(1, 200),
        "look_back": st.integers(0, 20_000),
        "cancel": st.booleans(),
    }
)


def drawn_table(drawn):
    table = deployment.make_configuration(sockets=128)
    count, kinds = len(drawn["classes"]), len(drawn["kinds"])
    table["settings"] |= {"classes": drawn["classes"], "n_instances": drawn["n_instances"]}
    table["settings"]["kinds"] = drawn["kinds"]
    table["settings"]["domain"] |= {
        "kind_cores": [drawn["cores"]] * kinds,
        "ram_of_kind_mb": [4096] * kinds,
        "width_by_class": [1] * count,
        "class_load": [False] * count,
        "yields_to_loads": [False] * count,
    }
    table["settings"]["limits"] |= {
        "most_tries": drawn["tries"],
        "streams_per_conn": drawn["streams"],
        "cancel": drawn["cancel"],
    }
    if drawn["look_back"]:
        table["settings"]["guarantees"] |= {"look_back_ns": drawn["look_back"] * MS, "extra_share": 0.2}
    return table


@settings(max_examples=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(deployments)
def test_rules_hold_for_any_valid_settings(drawn):
    """Sends two queries of each class; the connections to the engine break before it answers any of them."""
    rig = RouterHarness(table=drawn_table(drawn))
    try:
        rig.answers_at_once = False
        clients = {}
        for n, kind in enumerate(drawn["classes"]):
            patience = kind["deadline_ns"] // MS
            for number in (2 * n + 1, 2 * n + 2):
                fields = {"patience": patience, "nonce": f"{number:02x}", "entity": "ab"}
                clients[number] = kind, rig.connect_client(LOGIN + query(number, kind["name"], **fields))
        rig.run_rounds(20)
        for connection in rig.engine_connections:
            connection.close()
        interrupted_attempts = set(rig.received_attempts)
        rig.answers_at_once = True
        # The router's clock advances by 20 ms a round, so that no deadline is waited for in real time.
        end = rig.clock() + max(kind["deadline_ns"] for kind in drawn["classes"]) // 100_000 + 500
        while rig.clock() < end and not all(client.answers() for _, client in clients.values()):
            rig.run_rounds()
            rig.service.mysql_frontend.sweep()
            rig.advance_clock(0.02)
        for number, (kind, client) in clients.items():
            (answer,) = client.answers()  # exactly one final answer
            assert answer in ("served", REFUSED[0], FAILED[0])
            attempts = rig.received_attempts.count(f"{number:016x}")
            assert attempts <= drawn["tries"]
            if kind["semantics"] == "once" and f"{number:016x}" in interrupted_attempts:
                assert attempts == 1 and answer == FAILED[0]  # it may have run: no retry, no rejection
        assert not rig.log.faults()
    finally:
        rig.close()
