"""The check on an attempt right before its first byte is sent.

An attempt may have waited for its connection to open, or for its engine to read, since it was decided.
"""

from hillchute.decision.interface import Time
from hillchute.engines.events import SendObstacle
from hillchute.router.query_state import Attempt


def find_obstacle(attempt: Attempt, now: Time) -> SendObstacle | None:
    """Returns why an attempt of which no byte was sent must not be sent any more; None if it may be."""
    if attempt.ended or attempt.query.answered:
        return SendObstacle.NOT_OPEN
    if now >= attempt.deadline:
        return SendObstacle.TIME_LIMIT
    if attempt.send_by is not None and now > attempt.send_by:
        return SendObstacle.REPEAT_WINDOW
    return None
