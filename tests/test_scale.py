"""Scaling with the number of engines: a router examines no more engines per query among 16 times as many.

The candidates for a query are nevertheless those of a rule that examines all engines.
"""

import random
import tracemalloc

import pytest
from conftest import CATALOG, LOAD, LOOKUP, REPORT
from rounds_by_hand import RouterHarness

from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointState,
    ListMode,
    NewQuery,
    Submit,
)
from hillchute.decision.placement import Placement
from hillchute.decision.scheduler import QueryScheduler
from hillchute.discovery.event_bus import Endpoint, WatchEvent
from hillchute.engines import words
from hillchute.lab import deployment
from hillchute.router import config, events
from hillchute.router.effects import OpenConnection, SendCommand
from hillchute.router.reducer import Reducer
from hillchute.settings import Settings
from hillchute.statements import request as statement

MAX_EXAMINED_RATIO = 1.2  # most engines examined per query among 16 times the engines, as a ratio
MAX_FULL_SCANS = 2  # a query that finds no engine in the subset may examine all engines once or twice


def endpoint_entry(engine, state=EndpointState.READY, started=0):
    return EndpointEntry(engine, 0, engine // 4, engine % 3, started, state, 1.0)


def scheduler_with_engines(engines, routers=200, **changed):
    router = QueryScheduler(1, Settings.from_catalog(CATALOG | {"n_instances": routers} | changed), 0)
    router.on_endpoint_list(0, ListMode.COMPLETE, [endpoint_entry(n) for n in range(engines)])
    router.on_subset(0, Subset(7, routers).select(range(engines)))
    return router


def examined_engines(engines, monkeypatch):
    """Returns the mean number of engines examined per query, over 300 queries that are served at once."""
    router, examined = scheduler_with_engines(engines), [0]
    is_eligible = Placement.is_eligible

    def counted(self, now, e, q):
        examined[0] += 1
        return is_eligible(self, now, e, q)

    with monkeypatch.context() as patch:
        patch.setattr(Placement, "is_eligible", counted)
        for n in range(300):
            now = n * 500
            router.on_query(now, NewQuery(f"q{n}", n % 2, now + 7 * SECOND, table_group=n % 40, cost=2000))
            while (decision := router.next_decision(now)) is not None:
                if isinstance(decision, Submit):
                    ended = AttemptEnded(decision.query, 0, AttemptResult.SERVED, True, 100, cost=2000)
                    router.on_attempt_ended(now, ended)
    assert not router.queries
    return examined[0] / 300


@pytest.mark.parametrize("engines", [70, 200])
def test_query_examines_as_many_engines_among_sixteen_times_as_many(engines, monkeypatch):
    assert (
        examined_engines(16 * engines, monkeypatch)
        <= MAX_EXAMINED_RATIO * examined_engines(engines, monkeypatch) + 1
    )


def test_change_of_the_list_reorders_only_the_changed_engines(monkeypatch):
    """1,000 changes among 3,200 engines: the order of the engines is not rebuilt."""
    router = scheduler_with_engines(3_200)
    subset = Subset(7, 200)
    subset.select(range(3_200))
    added = []
    add = type(router.pool.order).add
    monkeypatch.setattr(type(router.pool.order), "add", lambda self, e: added.append(e) or add(self, e))
    ready = set(range(3_200))
    for n in range(1_000):
        gone, new = endpoint_entry(n, EndpointState.GONE), endpoint_entry(10_000 + n)
        router.on_endpoint_list(n, ListMode.PARTIAL, [gone, new])
        ready = ready - {n} | {10_000 + n}
        router.on_subset(n, subset.select(ready))
    assert len(added) == 1_000 and len(router.engines) == len(router.pool.order) == 3_200
    assert {router.pool.order.position(e) for e in router.engines} == set(range(3_200))


def count_connections(engines):
    """Returns the connections opened for 300 queries that are answered at once, and those open at the end."""
    configuration = config.parse_configuration(deployment.make_configuration(routers=200, sockets=576), {})
    reducer = Reducer(
        QueryScheduler(1, configuration.settings, 0),
        configuration.settings,
        configuration.max_engine_connections,
    )
    endpoints = tuple(Endpoint(endpoint_entry(n), "127.0.0.1", 1 + n) for n in range(engines))
    reducer.reduce(events.EndpointsChanged(WatchEvent(1, "Complete", endpoints)), 1)
    opened, effects = 0, []
    for n in range(300):
        now = 10 + n * 500
        text = f"/* route=lookup,trace={n:016x},patience=3000,weight=20.0,mb=1 */ SELECT 1 FROM s_{n % 40}.t"
        effects += reducer.reduce(
            events.QueryReceived(n + 1, statement.parse_statement(text.encode()), now), now
        )
        while effects:
            match effects.pop(0):
                case OpenConnection(connection, _, _):
                    opened += 1
                    effects += reducer.reduce(events.Connected(connection), now)
                case SendCommand(connection, words.HealthCheckRequest(tag)):
                    answer = words.HealthCheckAnswer(tag, "finished", {"util": 0.3, "inflight": 3.0})
                    effects += reducer.reduce(events.MessageReceived(connection, answer), now)
                case SendCommand(connection, words.StartRun(id=id)):
                    effects += reducer.reduce(
                        events.MessageReceived(connection, words.ResultReceived(id, [], 20.0)), now
                    )
    assert not reducer.unanswered
    return opened, len(reducer.pool.connections)


@pytest.mark.parametrize("engines", [70, 200])
def test_connections_opened_and_kept_do_not_grow_with_sixteen_times_the_engines(engines):
    few, many = count_connections(engines), count_connections(16 * engines)
    assert 0 < many[0] <= 2.5 * few[0] + 40 and many[1] <= 2 * few[1] + 40


def test_memory_for_three_thousand_engines_is_within_the_limit():
    def peak_memory(engines):
        tracemalloc.start()
        rig = RouterHarness(table=deployment.make_configuration(routers=200))
        endpoints = tuple(Endpoint(endpoint_entry(n), "127.0.0.1", 1 + n) for n in range(engines))
        rig.service.endpoint_updates.on_watch_event(WatchEvent(2, "Complete", endpoints))
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rig.close()
        return peak

    peak_memory(10)  # allocates what a process allocates only once
    assert peak_memory(3_200) <= 1.5 * peak_memory(200) + (8 + 4 * 3.2) * 1_000_000


def candidates_among_all(router, q, has_capacity, affine, unresponsive):
    """Returns the same candidates by a rule that examines all engines."""
    engines = [e for e in router.placement.eligible_engines(router.now, q) if has_capacity(e)]
    engines = [e for e in engines if e is not unresponsive] or engines
    wanted = (
        {q.permit_engine}
        if q.permit_engine is not None
        else {*router.pool.subset, *([affine.id] if affine else [])}
    )
    preferred = [
        e
        for e in engines
        if e.id in wanted
        and (router.health_checks.is_stale(router.now, e) or router.load.is_lightly_loaded(router.now, e))
    ]
    return {e.id for e in preferred or engines}


@pytest.mark.parametrize("seed", range(200))
def test_candidates_are_those_of_the_rule_over_all_engines(seed):
    rng = random.Random(seed)
    probes = {"report.via": "probe", "limits.probes": rng.random() < 0.5, "report.columns": ["inflight"]}
    router = scheduler_with_engines(rng.choice([3, 12, 60]), rng.choice([1, 4, 200]), **probes)
    router.now = 20 * SECOND
    router.load.mean_load = rng.uniform(0, 2)
    for e in router.engines.values():
        e.reported_threads, e.reported_at = rng.uniform(0, 30), router.now - rng.randrange(3 * SECOND)
        e.ejected_until = router.now + 1 if rng.random() < 0.2 else 0
        e.started = router.now - SECOND if rng.random() < 0.2 else 0
        e.ready = rng.random() < 0.9
        e.threads = rng.randrange(20)
        e.running_bulk_loads = [rng.randrange(3)] if rng.random() < 0.3 else []
    for n in range(20):
        group = rng.choice([LOOKUP, REPORT, LOAD])
        table_group = rng.randrange(3)
        arrival = NewQuery(f"q{n}", group, router.now + 7 * SECOND, table_group=table_group, cost=500)
        router.on_query(router.now, arrival)
        q = router.queries[f"q{n}"]
        if rng.random() < 0.3:
            q.permit_engine, q.permit_at = rng.choice(list(router.engines)), router.now
        engines = list(router.engines.values())
        affine, unresponsive = (rng.choice([None, *engines]) for _ in range(2))
        with_room = {e.id for e in engines if rng.random() < 0.7}
        arguments = q, lambda e, with_room=with_room: e.id in with_room, affine, unresponsive
        assert {
            e.id for e in router.health_checks.candidates(router.now, *arguments)
        } == candidates_among_all(router, *arguments)
