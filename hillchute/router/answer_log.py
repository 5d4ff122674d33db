"""Log lines about answers: a summary once a second, and one line per query neither served nor rejected."""

from hillchute.decision.interface import MILLISECOND, SECOND, Reason, Time
from hillchute.discovery import event_bus
from hillchute.router.connection_pool import ConnectionPool
from hillchute.router.loop_lag import LoopLag
from hillchute.router.query_state import QueryOutcome, QueryState
from hillchute.router.reducer_context import ReducerContext

LOG_INTERVAL: Time = SECOND  # minimum interval between two summary lines


def outcome_text(outcome: QueryOutcome, reason: str) -> str:
    """Returns the outcome as it is counted, followed by the reason for it if there is one.

    A Reason is written by its member name: its value is the text for simulation results.
    """
    if not reason:
        return outcome
    return f"{outcome}: {reason.name.lower() if isinstance(reason, Reason) else reason}"


class AnswerLog:
    """Counts answers by resource group and outcome, and logs the counts at most once a second."""

    def __init__(self, context: ReducerContext, pool: ConnectionPool, loop_lag: LoopLag) -> None:
        self.context = context
        self.pool = pool
        self.loop_lag = loop_lag
        self.counts: dict[tuple[str, str], list[float]] = {}  # count and total ms since the last summary
        self.logged_at: Time = 0

    def count(self, group: str, outcome: str, elapsed: Time, open_queries: int) -> None:
        """Counts an answer that was given `elapsed` after its query was received."""
        count = self.counts.setdefault((group, outcome), [0, 0.0])
        count[0] += 1
        count[1] += elapsed / MILLISECOND
        if self.context.now - self.logged_at >= LOG_INTERVAL:
            self.log_counts(open_queries)

    def log_counts(self, open_queries: int) -> None:
        """Logs the counts, and the state of the active engines as this router knows it."""
        answers = {
            f"{group} {outcome}": [number, round(milliseconds / number, 1)]
            for (group, outcome), (number, milliseconds) in self.counts.items()
        }
        now = self.context.now
        self.context.log(
            "answers",
            count_and_mean_ms=answers,
            open_queries=open_queries,
            loop_lag_ms=self.loop_lag.peak_lag / MILLISECOND,
            standing_delay_ms=self.loop_lag.standing_delay / MILLISECOND,
        )
        # Only active engines: writing hundreds of engines in each line would cost more than serving queries.
        endpoints = self.pool.endpoints
        active = [
            endpoints[engine] for engine in endpoints if self.pool.is_active(engine, now - LOG_INTERVAL)
        ]
        described = {
            event_bus.engine_name(endpoint.engine): self.pool.describe(endpoint) for endpoint in active
        }
        self.context.log("engines", listed=len(endpoints), **described)
        self.counts.clear()
        self.logged_at = now

    def log_query(self, query: QueryState, outcome: str) -> None:
        """Logs one query and its attempts; times are in milliseconds since the query was received."""
        received_at = query.received_at
        attempts = [
            (event_bus.engine_name(attempt.engine), (attempt.started_at - received_at) / MILLISECOND)
            for attempt in query.attempts
        ]
        self.context.log(
            "query",
            query=query.request.id,
            group=query.request.group,
            outcome=outcome,
            attempts=attempts,
            elapsed_ms=(self.context.now - received_at) / MILLISECOND,
            client_timeout_ms=query.request.client_timeout / MILLISECOND,
            session=query.session,
        )
