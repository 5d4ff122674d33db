"""Teams, after Query Teamwork: the first query of the queue leads, others of its table group join it.

The leader is sent to the engine that last ran its table group, if that has room within the thread bound, and
its mates (the affinity set) go along as far as there is room. Loads go alone.
"""

from collections.abc import Iterable
from math import inf

from hillchute.decision.dispatch import Dispatcher
from hillchute.decision.draws import fraction_of
from hillchute.decision.engine_state import EngineState
from hillchute.decision.health_checks import HealthChecks
from hillchute.decision.interface import Reason, Time
from hillchute.decision.load_estimation import OVERLOAD_FACTOR, THREADS_PER_CORE, LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import QueryState

# Guards leaders against starving behind dashboards, which may fill an engine past its bound.
LONG_WAIT = 0.5  # share of its slack after which a leader may go past the bound


class Teams:
    """The queue's next team, and the thread bound of engines."""

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
        """Sends the next team, if its leader has an engine."""
        if not self._move_blocked_loads(now):
            return
        queue = self.queues.teams
        if not queue or self.health_checks.waits_for_answer(now, queue[0]):
            return
        leader = queue[0]
        bound_factor = OVERLOAD_FACTOR if self.load.slack_used(now, leader) > LONG_WAIT else 1
        engine = self.health_checks.choose(
            now,
            leader,
            lambda engine: self.room(now, engine, leader, bound_factor) > 0,
            self.placement.affine_engine(leader),
        )
        if engine is None:
            return  # the leader waits for an engine's answer, or for an attempt to end
        for query in self._team(now, engine, leader, bound_factor):
            if query is leader or self.placement.may_send(now, engine, query):
                queue.remove(query)
                self.dispatcher.submit(now, query, engine)

    def _team(
        self, now: Time, engine: EngineState, leader: QueryState, bound_factor: float
    ) -> list[QueryState]:
        """The leader and those of its affinity set that there is room for."""
        if leader.group.settings.is_load:
            return [leader]
        mates = [
            query
            for query in self.queues.teams
            if query is not leader
            and query.table_group == leader.table_group
            and self.placement.may_join_team(now, engine, query)
        ]
        return [leader, *mates[: self.room(now, engine, leader, bound_factor) - 1]]

    def _move_blocked_loads(self, now: Time) -> bool:
        """Loads at the head of the queue that would only stand still wait behind the others of their table
        group; False where one was answered instead. Guards against waiting for what can't come: a client
        that waits holds a session all the while."""
        queues = self.queues
        while queues.teams:
            load = queues.teams[0]
            engines = self.placement.blocked_load_engines(now, load)
            if not engines:
                break
            line = queues.behind_loads[load.table_group]
            wait = self._total_runtime(now, line) / len(engines)
            if now + wait > self.load.latest_start(now, load):
                self.dispatcher.give_up(load, Reason.LOADS_AHEAD)
                return False
            queues.wait_behind_loads(load)
        return True

    def _total_runtime(self, now: Time, loads: Iterable[QueryState]) -> Time:
        return sum(self.load.expected_runtime(now, load) for load in loads)

    # ---- the thread bound -------------------------------------------------------------------------

    def room(self, now: Time, engine: EngineState, query: QueryState, bound_factor: float = 1) -> int:
        """How many queries like this one the engine has threads and memory for; one at the least if nothing
        of this router is there. `bound_factor`: times the thread bound."""
        threads = query.threads
        bound = bound_factor * THREADS_PER_CORE * engine.usable_cores(now)
        free = bound - self.load.total_threads(now, engine)
        least = 1
        if now < engine.under_pressure_until:
            # With partners by agreed shares of the pool, else evenly.
            pool_routers = self.pool.shares.pool_routers
            share = bound / (self.pool.routers if pool_routers is None else pool_routers)
            # Guards against many routers whose bound is under one query: each then has one by chance only.
            least = int(fraction_of(f"{query.id}:{engine.id}") < share / threads)
            free = min(free, max(threads, share) - engine.threads) * least
        slots = min(int(free // threads), self._memory_slots(now, engine, query))
        return int(max(0, slots, least * int(not engine.open_attempts)))

    def _memory_slots(self, now: Time, engine: EngineState, query: QueryState) -> float:
        """How many queries like this one the engine has memory for."""
        if not query.memory_mb or not engine.memory_mb:
            return inf
        granted = 0.0
        if engine.memory_granted is not None:
            since_report = self.load.sent_since_report(now, engine)[1]
            granted = engine.memory_granted * engine.memory_mb + since_report
        used = max(engine.attempts_memory_mb, granted)
        return int((engine.memory_mb - used) // query.memory_mb)
