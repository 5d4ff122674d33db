"""The log's lines on answers: one a second that counts them all, and one for each that is worth a look."""

from hillchute.decision.interface import MILLISECOND, SECOND, Reason, Time
from hillchute.discovery import event_bus
from hillchute.router.connection_pool import ConnectionPool
from hillchute.router.loop_lag import LoopLag
from hillchute.router.query_state import QueryOutcome, QueryState
from hillchute.router.reducer_context import ReducerContext

LOG_INTERVAL: Time = SECOND  # between two lines that count the answers


def outcome_text(outcome: QueryOutcome, reason: str) -> str:
    """An outcome as the counts have it, with the check that brought it about, if any.

    A Reason goes by its name: its value is the text that clients and the simulations' figures have.
    """
    if not reason:
        return outcome
    return f"{outcome}: {reason.name.lower() if isinstance(reason, Reason) else reason}"


class AnswerLog:
    """Counts answers by resource group and outcome; the log is read by people, so one line a second."""

    def __init__(self, context: ReducerContext, pool: ConnectionPool, loop_lag: LoopLag) -> None:
        self.context = context
        self.pool = pool
        self.loop_lag = loop_lag
        self.counts: dict[tuple[str, str], list[float]] = {}  # number and milliseconds since the last line
        self.logged_at: Time = 0

    def count(self, group: str, outcome: str, elapsed: Time, open_queries: int) -> None:
        """An answer was given, so long after its query came."""
        count = self.counts.setdefault((group, outcome), [0, 0.0])
        count[0] += 1
        count[1] += elapsed / MILLISECOND
        if self.context.now - self.logged_at >= LOG_INTERVAL:
            self.log_counts(open_queries)

    def log_counts(self, open_queries: int) -> None:
        """Writes the counts, and what is believed of the engines that are active."""
        answers = {
            f"{group} {outcome}": [number, round(milliseconds / number, 1)]
            for (group, outcome), (number, milliseconds) in self.counts.items()
        }
        now = self.context.now
        self.context.log(
            "answers",
            count_and_mean_ms=answers,
            open_queries=open_queries,
            loop_lag_ms=self.loop_lag.worst / MILLISECOND,
            standing_delay_ms=self.loop_lag.standing_delay / MILLISECOND,
        )
        # Hundreds of engines in each line would cost more than queries do: only those that are active.
        endpoints = self.pool.endpoints
        active = [
            endpoints[engine] for engine in endpoints if self.pool.is_active(engine, now - LOG_INTERVAL)
        ]
        described = {event_bus.engine_name(known.engine): self.pool.describe(known) for known in active}
        self.context.log("engines", listed=len(endpoints), **described)
        self.counts.clear()
        self.logged_at = now

    def log_query(self, query: QueryState, outcome: str) -> None:
        """Writes a line on one query and its attempts; times in milliseconds since it came."""
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
            client_timeout_ms=query.request.patience / MILLISECOND,
            session=query.session,
        )
