"""Reviews: answers queries that can no longer be served in time, and retries those that can."""

from hillchute.decision.admission import Admission
from hillchute.decision.dispatch import Dispatcher
from hillchute.decision.interface import Reason, Time
from hillchute.decision.load_estimation import LoadEstimator
from hillchute.decision.query_queues import QueryQueues
from hillchute.decision.query_state import WAITING, QueryStage, QueryState
from hillchute.decision.retries import RetryPolicy


class Reviews:
    """Reviews queries at their deadlines, after an attempt, and while they wait."""

    def __init__(
        self,
        load: LoadEstimator,
        retries: RetryPolicy,
        admission: Admission,
        queues: QueryQueues,
        dispatcher: Dispatcher,
    ) -> None:
        self.load = load
        self.retries = retries
        self.admission = admission
        self.queues = queues
        self.dispatcher = dispatcher
        self.planned = dispatcher.planned

    def run(self, now: Time) -> None:
        """Runs the due reviews until one of them leads to a decision."""
        reviews = self.queues.reviews
        while reviews and reviews[0][0] <= now and not self.planned:
            query = self.queues.next_review()
            if query is not None:
                self._review(now, query)

    def _review(self, now: Time, query: QueryState) -> None:
        if now >= query.deadline - self.dispatcher.answer_margin:
            self.dispatcher.give_up(query, Reason.DEADLINE)
        elif query.stage is QueryStage.RETRYING:
            if self._can_retry_in_time(now, query):
                self.queues.enqueue(now, query, front=True)
            else:
                self.dispatcher.give_up(query, Reason.NO_RETRY)
        elif query.stage in WAITING and now >= self.load.latest_start(now, query):
            self.dispatcher.give_up(query, Reason.TOO_LATE)
        elif query.stage in WAITING and self.admission.is_too_heavy(now, query):
            self.dispatcher.give_up(query, Reason.TOO_HEAVY)

    def _can_retry_in_time(self, now: Time, query: QueryState) -> bool:
        if not self.retries.may_retry(now, query):
            return False
        return now + self.load.expected_runtime(now, query) < query.deadline
