"""Carries out the choice for one query: starts an attempt on an engine or answers without a result."""

from collections import deque

from hillchute.decision.engine_state import EngineState
from hillchute.decision.interface import (
    MILLISECOND,
    Cancel,
    Decision,
    Fail,
    Reason,
    Reject,
    SetExecutionOptions,
    Submit,
    Time,
)
from hillchute.decision.load_estimation import MIN_RUNTIME, LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import Attempt, QueryStage, QueryState
from hillchute.settings import Effect, Settings

ANSWER_MARGIN: Time = 5 * MILLISECOND  # a final answer is sent this long before the deadline, plus two ticks
# Multiple of the expected runtime after which an attempt counts as failed: the engine hangs, the plan is bad,
# or the answer was lost.
TIME_LIMIT_FACTOR = 2.5
# The same where engines queue attempts for memory: a queued attempt holds no resources, and one that is cut
# short loses its place in the queue.
QUEUEING_TIME_LIMIT_FACTOR = 6.0
HIGHEST_PRIORITY = 3
HEAVY_COST_MULTIPLE = 3  # of the mean cost of its group; a query above it gets the lowest priority


class Dispatcher:
    """Records the decisions on a query and updates the state that depends on them."""

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
        self.time_limit_factor = (
            QUEUEING_TIME_LIMIT_FACTOR if settings.queues_for_memory else TIME_LIMIT_FACTOR
        )

    def submit(self, now: Time, query: QueryState, engine: EngineState) -> None:
        """Starts an attempt on an engine."""
        group = query.group.settings
        self.retries.count_attempt(now, query)
        time_limit = self._time_limit(now, query)
        self._set_priority(query)
        send_by = self.retries.send_by(query)
        self.planned.append(Submit(query.id, engine.id, max(1, time_limit), send_by))
        work = query.cost * query.group.cost_ratio
        attempt = Attempt(engine.id, now, work, max(MIN_RUNTIME, query.runtime_alone))
        self.load.attempt_started(now, query, attempt)
        query.stage = QueryStage.RUNNING
        query.attempts.append(attempt)
        engine.attempt_started(now, query.threads, query.memory_mb)
        if group.is_bulk_load:
            engine.running_bulk_loads.append(query.table_group)
        self.placement.remember_engine(query, engine)

    def _time_limit(self, now: Time, query: QueryState) -> Time:
        """Returns the time that the engine has for an attempt.

        Where cancelling an attempt frees its engine, the limit guards against a hung engine, a bad plan and a
        lost answer.
        """
        group = query.group.settings
        limit = query.deadline - self.answer_margin - now
        if self.settings.cancels and group.effect is Effect.READ_ONLY:
            expected = self.load.expected_runtime(now, query)
            limit = min(limit, int(max(group.target_runtime / 2, self.time_limit_factor * expected)))
        return limit

    def _set_priority(self, query: QueryState) -> None:
        """Gives short and light queries a higher priority, where engines honour priorities."""
        if not self.settings.priorities or query.attempts:
            return
        group = query.group
        if group.settings.number in self.queues.dashboard_groups or group.settings.is_bulk_load:
            priority = HIGHEST_PRIORITY
        elif query.cost <= group.mean_cost:
            priority = HIGHEST_PRIORITY - 1
        elif query.cost <= HEAVY_COST_MULTIPLE * group.mean_cost:
            priority = HIGHEST_PRIORITY - 2
        else:
            priority = 0
        self.planned.append(SetExecutionOptions(query.id, 0, priority))

    def give_up(self, query: QueryState, reason: Reason) -> None:
        """Answers a query without a result; `reason` is only logged."""
        if query.open_attempts and self.settings.cancels:
            self.planned.append(Cancel(query.id, len(query.attempts) - 1))
        if self.retries.may_reject(query):
            self.planned.append(Reject(query.id, self.settings.retry_after, reason))
        else:
            self.planned.append(Fail(query.id, reason))
        self.queues.end(query)
