"""Teams of the Query Teamwork algorithm: queries of one table group that are sent to an engine together.

The first query of the queue is the leader. It is sent to the engine that last ran its table group, if that
has free slots within the thread limit, and the queued queries of the same table group (the affinity set)
are sent along as far as there are slots. Bulk loads are sent alone.
"""

from collections.abc import Iterable
from math import inf

from hillchute.decision.dispatch import Dispatcher
from hillchute.decision.draws import hash_fraction
from hillchute.decision.engine_state import EngineState
from hillchute.decision.health_checks import HealthChecks
from hillchute.decision.interface import Reason, Time
from hillchute.decision.load_estimation import OVERLOAD_FACTOR, THREADS_PER_CORE, LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import QueryState

# Share of its slack after which a leader may exceed the thread limit. Guards against starvation: dashboards
# may fill engines beyond the limit.
LONG_WAIT = 0.5


class Teams:
    """Sends the teams of the queue, and applies the thread limit of engines."""

    def __init__(
        self,
        load: LoadEstimator,
        placement: Placement,
        health_checks: HealthChecks,
        queues: QueryQueues,
        dispatcher: Dispatcher,
    ) -> None:
        self.pool = load.pool
        self.load = load
        self.placement = placement
        self.health_checks = health_checks
        self.queues = queues
        self.dispatcher = dispatcher

    def send_next(self, now: Time) -> None:
        """Sends the next team, if there is an engine for its leader."""
        if not self._move_blocked_bulk_loads(now):
            return
        queue = self.queues.teams
        if not queue or self.health_checks.waits_for_answer(now, queue[0]):
            return
        leader = queue[0]
        limit_factor = OVERLOAD_FACTOR if self.load.slack_used(now, leader) > LONG_WAIT else 1
        engine = self.health_checks.choose(
            now,
            leader,
            lambda engine: self.free_slots(now, engine, leader, limit_factor) > 0,
            self.placement.affine_engine(leader),
        )
        if engine is None:
            return  # the leader waits for a health check, or for an attempt to end
        for query in self._team(now, engine, leader, limit_factor):
            if query is leader or self.placement.may_send(now, engine, query):
                queue.remove(query)
                self.dispatcher.submit(now, query, engine)

    def _team(
        self, now: Time, engine: EngineState, leader: QueryState, limit_factor: float
    ) -> list[QueryState]:
        """Returns the leader and the members of its affinity set that fit on the engine."""
        if leader.group.settings.is_bulk_load:
            return [leader]
        members = [
            query
            for query in self.queues.teams
            if query is not leader
            and query.table_group == leader.table_group
            and self.placement.may_join_team(now, engine, query)
        ]
        return [leader, *members[: self.free_slots(now, engine, leader, limit_factor) - 1]]

    def _move_blocked_bulk_loads(self, now: Time) -> bool:
        """Moves blocked bulk loads from the head of the queue behind the others of their table group.

        Returns False where a bulk load was answered instead because it can't start in time: a client that
        waits in vain would hold its session.
        """
        queues = self.queues
        while queues.teams:
            bulk_load = queues.teams[0]
            engines = self.placement.blocked_bulk_load_engines(now, bulk_load)
            if not engines:
                break
            queue = queues.blocked_bulk_loads[bulk_load.table_group]
            wait = self._total_runtime(now, queue) / len(engines)
            if now + wait > self.load.latest_start(now, bulk_load):
                self.dispatcher.give_up(bulk_load, Reason.LOADS_AHEAD)
                return False
            queues.block_first_bulk_load(bulk_load)
        return True

    def _total_runtime(self, now: Time, bulk_loads: Iterable[QueryState]) -> Time:
        return sum(self.load.expected_runtime(now, bulk_load) for bulk_load in bulk_loads)

    # ---- the thread limit -------------------------------------------------------------------------

    def free_slots(self, now: Time, engine: EngineState, query: QueryState, limit_factor: float = 1) -> int:
        """Returns how many queries like this one the engine has threads and memory for.

        It is at least one if this router has no attempt there; under pressure, only for a random part of the
        queries. `limit_factor` multiplies the thread limit.
        """
        threads = query.threads
        thread_limit = limit_factor * THREADS_PER_CORE * engine.usable_cores(now)
        free = thread_limit - self.load.total_threads(now, engine)
        min_slots = 1
        if now < engine.under_pressure_until:
            # With partners, by the agreed shares of the pool; otherwise equally.
            pool_routers = self.pool.shares.pool_routers
            share = thread_limit / (self.pool.routers if pool_routers is None else pool_routers)
            # With many routers, the share of each may be less than one query: each then gets one at random.
            min_slots = int(hash_fraction(f"{query.id}:{engine.id}") < share / threads)
            free = min(free, max(threads, share) - engine.threads) * min_slots
        slots = min(int(free // threads), self._memory_slots(now, engine, query))
        return int(max(0, slots, min_slots * int(not engine.open_attempts)))

    def _memory_slots(self, now: Time, engine: EngineState, query: QueryState) -> float:
        """Returns how many queries like this one the engine has memory for."""
        if not query.memory_mb or not engine.memory_mb:
            return inf
        granted = 0.0
        if engine.memory_granted is not None:
            since_report = self.load.sent_since_report(now, engine)[1]
            granted = engine.memory_granted * engine.memory_mb + since_report
        used = max(engine.attempts_memory_mb, granted)
        return int((engine.memory_mb - used) // query.memory_mb)
