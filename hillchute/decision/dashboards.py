"""Dispatch of dashboards: the queries of the groups with the shortest latency objective.

Dashboards bypass the queue and the thread limit of engines.
"""

from hillchute.decision.dispatch import Dispatcher
from hillchute.decision.health_checks import HealthChecks
from hillchute.decision.interface import Reason, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.placement import Placement
from hillchute.decision.query_queues import QueryQueues


class Dashboards:
    """Sends dashboards to engines that are not overloaded, or rejects them."""

    def __init__(
        self,
        load: LoadEstimator,
        placement: Placement,
        health_checks: HealthChecks,
        queues: QueryQueues,
        dispatcher: Dispatcher,
    ) -> None:
        self.load = load
        self.placement = placement
        self.health_checks = health_checks
        self.queues = queues
        self.dispatcher = dispatcher
        self.planned = dispatcher.planned

    def send_next(self, now: Time) -> None:
        """Sends or rejects the first dashboard that can be decided now."""
        for query in self.queues.dashboards:
            if self.health_checks.waits_for_answer(now, query):
                continue
            if not self.placement.has_eligible_engine(now, query):
                continue
            engine = self.health_checks.choose(
                now, query, lambda engine: self.load.has_capacity_for_dashboard(now, engine)
            )
            if engine is not None:
                self.queues.dashboards.remove(query)
                self.dispatcher.submit(now, query, engine)
            elif query.checked_engine is None:
                self.dispatcher.give_up(query, Reason.ENGINES_OVERLOADED)
            if self.planned:
                return
