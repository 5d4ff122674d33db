"""Fixtures for tests of the query scheduler: a settings catalog and a scheduler with three engines."""

from itertools import count

import pytest

from hillchute.decision.interface import (
    SECOND,
    AttemptEnded,
    EndpointEntry,
    EndpointState,
    ListMode,
    NewQuery,
)
from hillchute.decision.query_state import Attempt, QueryStage
from hillchute.decision.scheduler import QueryScheduler
from hillchute.settings import Settings

LOOKUP, REPORT, LOAD, WRITE = range(4)  # indices of the resource groups in CATALOG

CATALOG = {
    "groups.count": 4,
    "groups.0.target_runtime": 1 * SECOND,
    "groups.0.target_stretch": 2.0,
    "groups.0.effect": "read-only",
    "groups.1.target_runtime": 2 * SECOND,
    "groups.1.target_stretch": 2.0,
    "groups.1.value": 5.0,
    "groups.1.effect": "read-only",
    "groups.2.target_runtime": 3 * SECOND,
    "groups.2.target_stretch": 2.0,
    "groups.2.value": 5.0,
    "groups.2.effect": "tokened",
    "groups.2.repeats_dropped_by": "all",
    "groups.2.window": 10 * SECOND,
    "groups.2.keep_order": True,
    "groups.3.target_runtime": 3 * SECOND,
    "groups.3.effect": "mutating",
    "domain.width_by_group": [1, 4, 2, 1],
    "domain.group_load": [False, False, True, False],
    "domain.yields_to_loads": [True, False, False, False],
    "domain.kind_cores": 8,
    "n_instances": 2,
    "limits.most_tries": 5,
    "guarantees.order_pause": 3000,
    "guarantees.cold": 10 * SECOND,
    "guarantees.cold_from": 0.25,
    "guarantees.tip_multiple": 4.0,
    "guarantees.fall": 2 * SECOND,
    "tick": 50,
}


class SchedulerHarness:
    """A scheduler with engines 1 to 3 in zones 0 to 2, and methods that set up queries, attempts and load.

    Keyword arguments override entries of CATALOG; a double underscore stands for a dot in the entry's name.
    """

    def __init__(self, **overrides):
        catalog = CATALOG | {name.replace("__", "."): value for name, value in overrides.items()}
        self.scheduler = QueryScheduler(7, Settings.from_catalog(catalog), 0)
        self.list_engines(1, 2, 3)
        self.names = (f"q{n}" for n in count())

    def list_engines(self, *engines, mode=ListMode.COMPLETE, state=EndpointState.READY, started=0):
        """Passes an endpoint list of these engines to the scheduler."""
        entries = [EndpointEntry(e, 0, e // 2, e - 1, started, state, 1.0) for e in engines]
        self.scheduler.on_endpoint_list(self.scheduler.now, mode, entries)

    def add_query(self, group, now=0, cost=1000, deadline=7 * SECOND, **fields):
        """Adds a query at time `now` and returns its state in the scheduler."""
        name = next(self.names)
        self.scheduler.on_query(now, NewQuery(name, group, deadline, cost=cost, **fields))
        return self.scheduler.queries[name]

    def add_attempted_query(self, group, engine=1, sent=0, result=None, **fields):
        """Adds a query that has had one attempt and waits in no queue."""
        q = self.add_query(group, **fields)
        for queue in (self.scheduler.queues.teams, self.scheduler.queues.dashboards):
            if q in queue:
                queue.remove(q)
        q.stage = QueryStage.RUNNING
        self.add_attempt(q, engine, sent, result)
        return q

    def add_attempt(self, q, engine, sent=0, result=None):
        """Adds an attempt to a query; where `result` is given, the attempt ends with it at once."""
        q.attempts.append(Attempt(engine, sent, q.cost, q.cost / q.threads))
        e = self.scheduler.engines[engine]
        e.attempt_started(sent, q.threads, q.memory_mb)
        if q.group.settings.is_bulk_load:
            e.running_bulk_loads.append(q.table_group)
        if result:
            self.scheduler.on_attempt_ended(sent, AttemptEnded(q.id, len(q.attempts) - 1, result, False, 0))

    def add_load(self, engine, attempts, threads=4):
        """Adds a number of in-flight attempts of other queries to an engine."""
        for _ in range(attempts):
            engine.attempt_started(self.scheduler.now, threads, 0.0)

    def take_decisions(self, now=0):
        """Returns all decisions that the scheduler makes at time `now`, in order."""
        decisions = []
        while (decision := self.scheduler.next_decision(now)) is not None:
            decisions.append(decision)
        return decisions


@pytest.fixture
def harness():
    return SchedulerHarness()


@pytest.fixture
def make_harness():
    return SchedulerHarness
