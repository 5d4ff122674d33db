"""How late the loop does what it does: one figure for the ends of queries, one for the module.

Owns what was seen of late timers, late reads and long rounds. Must never look at a clock nor decide: an
answer's margin and what is turned away follow from these figures elsewhere. Times are whole tenths of a
millisecond.
"""

from hillchute.decision.interface import Time

LEAST: Time = 1_000  # a tenth of a second: a loaded loop pauses so long without having been seen to
FADES = 100  # a pause that was longer is forgotten at a hundredth of the time that passes
SMOOTH = 0.1  # share of the newest figure in the mean: ten or so queries, a few milliseconds of a full core


class Lateness:
    def __init__(self) -> None:
        self.worst: Time = LEAST  # how late anything may come: an answer may need as long to get out
        self.at: Time = 0
        self.mean = 0.0  # how late queries are taken now, after their last byte

    def seen(self, now: Time, by: Time) -> None:
        """Something was done so much later than it should have been: a timer, a read, the end of a round."""
        self.worst = max(by, LEAST, self.worst - (now - self.at) // FADES)
        self.at = now

    def took(self, now: Time, by: Time) -> None:
        """A query was handed on so long after it could have been."""
        by = max(0, by)
        self.mean += SMOOTH * (by - self.mean)
        if by > self.worst:
            self.seen(now, by)
