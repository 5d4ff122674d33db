"""Carrying out what was chosen for one query: an attempt on an engine, or an answer without a result."""

from collections import deque

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import (
    MILLISECOND,
    Cancel,
    Decision,
    Fail,
    Reason,
    Reject,
    SetTerms,
    Submit,
    Time,
)
from hillchute.decision.load_estimation import SHORTEST_TIME, LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import Attempt, QueryPlace, QueryState
from hillchute.settings import Effect, Settings

ANSWER_MARGIN: Time = 5 * MILLISECOND  # a final answer goes out so long before the deadline, plus two ticks
PATIENCE = 2.5  # times the expected run until an attempt is taken as hung, badly planned or its answer lost
QUEUE_PATIENCE = 6.0  # where engines queue for memory: a wait holds nothing, a cut loses the place
HIGHEST_PRIORITY = 3
MOST_USUAL_COST = 3  # times the mean cost of its group up to which a query is not among the heaviest


class Dispatcher:
    """Turns choices into decisions, and keeps what follows from them."""

    def __init__(
        self,
        settings: Settings,
        load: LoadEstimator,
        placement: Placement,
        queues: QueryQueues,
        planned: deque[Decision],
    ) -> None:
        self.settings = settings
        self.load = load
        self.retries = placement.retries
        self.placement = placement
        self.queues = queues
        self.planned = planned
        self.answer_margin = ANSWER_MARGIN + 2 * settings.tick
        self.patience = QUEUE_PATIENCE if settings.queues_for_memory else PATIENCE

    def submit(self, now: Time, query: QueryState, engine: EngineState) -> None:
        """Starts an attempt."""
        group = query.group.settings
        self.retries.count_attempt(now, query)
        time_limit = self._time_limit(now, query)
        self._set_priority(query)
        self.planned.append(Submit(query.id, engine.id, max(1, time_limit)))
        work = query.cost * query.group.cost_ratio
        attempt = Attempt(engine.id, now, work, max(SHORTEST_TIME, query.runtime_alone))
        self.load.attempt_started(now, query, attempt)
        query.place = QueryPlace.RUNNING
        query.attempts.append(attempt)
        engine.attempt_started(now, query.threads, query.memory_mb)
        if group.is_load:
            engine.running_loads.append(query.table_group)
        self.placement.affinity[query.table_group] = engine.id

    def _time_limit(self, now: Time, query: QueryState) -> Time:
        """How long the engine may take. Guards against a hung engine, a bad plan and a lost answer where a
        time-out frees the engine."""
        group = query.group.settings
        limit = query.deadline - self.answer_margin - now
        if self.settings.cancels and group.effect is Effect.READ_ONLY:
            expected = self.load.expected_runtime(now, query)
            limit = min(limit, int(max(group.target_runtime / 2, self.patience * expected)))
        return limit

    def _set_priority(self, query: QueryState) -> None:
        """Short and light work first, where engines heed priorities."""
        if not self.settings.priorities or query.attempts:
            return
        group = query.group
        if group.settings.number in self.queues.dashboard_groups or group.settings.is_load:
            priority = HIGHEST_PRIORITY
        elif query.cost <= group.mean_cost:
            priority = HIGHEST_PRIORITY - 1
        elif query.cost <= MOST_USUAL_COST * group.mean_cost:
            priority = HIGHEST_PRIORITY - 2
        else:
            priority = 0
        self.planned.append(SetTerms(query.id, 0, priority))

    def give_up(self, query: QueryState, reason: Reason) -> None:
        """Answers a query without a result; `reason` is for the log alone."""
        if query.open_attempts and self.settings.cancels:
            self.planned.append(Cancel(query.id, len(query.attempts) - 1))
        if self.retries.may_reject(query):
            self.planned.append(Reject(query.id, self.settings.retry_after, reason))
        else:
            self.planned.append(Fail(query.id, reason))
        self.queues.end(query)
