"""A router among sixteen times the engines looks at no more of them for a query, and decides as it would
by all."""

import random
import tracemalloc

import pytest
from conftest import CATALOG, LOAD, LOOKUP, REPORT
from rounds_by_hand import Rig

from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    AttemptResult,
    EndpointState,
    Listing,
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

MORE_LOOKS = 1.2  # times as many engines looked at for a query, at sixteen times the engines
EVERYWHERE = 2  # a query without a place among those in sight may look at all of them once or twice


def listing(engine, state=EndpointState.READY, started=0):
    return Listing(engine, 0, engine // 4, engine % 3, started, state, 1.0)


def among(engines, routers=200, **changed):
    router = QueryScheduler(1, Settings.from_catalog(CATALOG | {"n_instances": routers} | changed), 0)
    router.on_endpoint_list(0, ListMode.COMPLETE, [listing(n) for n in range(engines)])
    router.on_subset(0, Subset(7, routers).select(range(engines)))
    return router


def looked_at(engines, monkeypatch):
    """Engines that are looked at for a query, in the mean of some hundreds that are served at once."""
    router, looks = among(engines), [0]
    fits = Placement.is_eligible

    def counted(self, now, e, q):
        looks[0] += 1
        return fits(self, now, e, q)

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
    return looks[0] / 300


@pytest.mark.parametrize("engines", [70, 200])
def test_query_looks_at_as_many_engines_among_sixteen_times_as_many(engines, monkeypatch):
    assert looked_at(16 * engines, monkeypatch) <= MORE_LOOKS * looked_at(engines, monkeypatch) + 1


def test_change_of_the_list_looks_at_the_engines_that_changed(monkeypatch):
    """A thousand changes among 3,200 engines: their order is not worked out anew."""
    router = among(3_200)
    sight = Subset(7, 200)
    sight.select(range(3_200))
    placed = []
    add = type(router.pool.order).add
    monkeypatch.setattr(type(router.pool.order), "add", lambda self, e: placed.append(e) or add(self, e))
    ready = set(range(3_200))
    for n in range(1_000):
        gone, come = listing(n, EndpointState.GONE), listing(10_000 + n)
        router.on_endpoint_list(n, ListMode.PARTIAL, [gone, come])
        ready = ready - {n} | {10_000 + n}
        router.on_subset(n, sight.select(ready))
    assert len(placed) == 1_000 and len(router.engines) == len(router.pool.order) == 3_200
    assert {router.pool.order.position(e) for e in router.engines} == set(range(3_200))


def connects(engines):
    """Connections made for some hundreds of queries that are answered at once, and those open in the end."""
    configuration = config.parse_configuration(deployment.table(routers=200, sockets=576), {})
    reducer = Reducer(
        QueryScheduler(1, configuration.settings, 0),
        configuration.settings,
        configuration.max_engine_connections,
    )
    entries = tuple(Endpoint(listing(n), "127.0.0.1", 1 + n) for n in range(engines))
    reducer.reduce(events.EndpointsChanged(WatchEvent(1, "Complete", entries)), 1)
    made, waiting = 0, []
    for n in range(300):
        now = 10 + n * 500
        text = f"/* route=lookup,trace={n:016x},patience=3000,weight=20.0,mb=1 */ SELECT 1 FROM s_{n % 40}.t"
        waiting += reducer.reduce(events.Asked(n + 1, statement.read(text.encode()), now), now)
        while waiting:
            match waiting.pop(0):
                case OpenConnection(line, _, _):
                    made += 1
                    waiting += reducer.reduce(events.Connected(line), now)
                case SendCommand(line, words.Probe(tag)):
                    said = words.Probed(tag, "finished", {"util": 0.3, "inflight": 3.0})
                    waiting += reducer.reduce(events.Said(line, said), now)
                case SendCommand(line, words.Run(id=id)):
                    waiting += reducer.reduce(events.Said(line, words.Whole(id, [], 20.0)), now)
    assert not reducer.unanswered
    return made, len(reducer.pool.connections)


@pytest.mark.parametrize("engines", [70, 200])
def test_connections_made_and_kept_stay_as_they_are_among_sixteen_times_as_many(engines):
    few, many = connects(engines), connects(16 * engines)
    assert 0 < many[0] <= 2.5 * few[0] + 40 and many[1] <= 2 * few[1] + 40


def test_memory_for_three_thousand_engines_is_within_the_bound():
    def kept(engines):
        tracemalloc.start()
        rig = Rig(table=deployment.table(routers=200))
        entries = tuple(Endpoint(listing(n), "127.0.0.1", 1 + n) for n in range(engines))
        rig.service.endpoint_updates.on_watch_event(WatchEvent(2, "Complete", entries))
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rig.close()
        return peak

    kept(10)  # what is made once in a process
    assert kept(3_200) <= 1.5 * kept(200) + (8 + 4 * 3.2) * 1_000_000


def plainly(router, q, free, home, silent):
    """The same choice as a rule over all engines, one after another."""
    engines = [e for e in router.placement.eligible_engines(router.now, q) if free(e)]
    engines = [e for e in engines if e is not silent] or engines
    wanted = (
        {q.permit_engine}
        if q.permit_engine is not None
        else {*router.pool.subset, *([home.id] if home else [])}
    )
    near = [
        e
        for e in engines
        if e.id in wanted
        and (router.health_checks.is_stale(router.now, e) or router.load.is_lightly_loaded(router.now, e))
    ]
    return {e.id for e in near or engines}


@pytest.mark.parametrize("seed", range(200))
def test_choice_is_that_of_the_rule_over_all_engines(seed):
    chance = random.Random(seed)
    probes = {"report.via": "probe", "limits.probes": chance.random() < 0.5, "report.columns": ["inflight"]}
    router = among(chance.choice([3, 12, 60]), chance.choice([1, 4, 200]), **probes)
    router.now = 20 * SECOND
    router.load.mean_load = chance.uniform(0, 2)
    for e in router.engines.values():
        e.reported_threads, e.reported_at = chance.uniform(0, 30), router.now - chance.randrange(3 * SECOND)
        e.ejected_until = router.now + 1 if chance.random() < 0.2 else 0
        e.started = router.now - SECOND if chance.random() < 0.2 else 0
        e.ready = chance.random() < 0.9
        e.threads = chance.randrange(20)
        e.running_loads = [chance.randrange(3)] if chance.random() < 0.3 else []
    for n in range(20):
        group = chance.choice([LOOKUP, REPORT, LOAD])
        tables = chance.randrange(3)
        arrival = NewQuery(f"q{n}", group, router.now + 7 * SECOND, table_group=tables, cost=500)
        router.on_query(router.now, arrival)
        q = router.queries[f"q{n}"]
        if chance.random() < 0.3:
            q.permit_engine, q.permit_at = chance.choice(list(router.engines)), router.now
        engines = list(router.engines.values())
        home, silent = (chance.choice([None, *engines]) for _ in range(2))
        spare = {e.id for e in engines if chance.random() < 0.7}
        about = q, lambda e, spare=spare: e.id in spare, home, silent
        assert {e.id for e in router.health_checks.candidates(router.now, *about)} == plainly(router, *about)
