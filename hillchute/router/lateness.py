"""How late the loop does what it does: one figure for the ends of queries, one for the module.

Owns what was seen of late timers, late reads and long rounds. Must never look at a clock nor decide: an
answer's margin and what is turned away follow from these figures elsewhere. Times are whole tenths of a
millisecond.
"""

from hillchute.decision.interface import Time

LEAST: Time = 4_000  # 0.4 s: with OUTSIDE, a first pause of 0.6 s on a full core leaves time for every answer
OUTSIDE: Time = 2_500  # a quarter of a second: a client that found no place has waited so long already,
# its clock running since before it connected; 118 ms in five plays of disco+crowd, connect time-out 250 ms
FADES = 100  # a pause that was longer is forgotten at a hundredth of the time that passes
SPAN: Time = 1_000  # a tenth of a second without one query taken at once is more than a burst or a pause


class Lateness:
    def __init__(self) -> None:
        self.worst: Time = LEAST  # how late anything may come: an answer may need as long to get out
        self.at: Time = 0
        self.began: Time = 0  # of the span that is being looked at
        self.least: Time | None = None  # the least late that a query was taken in it
        self.before: Time = 0  # and in the span before

    def seen(self, now: Time, by: Time) -> None:
        """Something was done so much later than it should have been: a timer, a read, the end of a round."""
        faded = max(0, now - self.at) // FADES
        self.at += faded * FADES  # what is left of the time counts at the next call
        self.worst = max(by, LEAST, self.worst - faded)

    def margin(self, patience: Time) -> Time:
        """How long before the end that a client states its answer must be on its way; of a short patience
        half is kept for the answer."""
        return min(self.worst + OUTSIDE, patience // 2)

    def took(self, now: Time, by: Time) -> None:
        """A query was handed on so long after it could have been."""
        by = max(0, by)
        if now - self.began >= SPAN:
            over = self.least is None or now - self.began >= 2 * SPAN
            self.began, self.before, self.least = now, 0 if over else self.least, by
        self.least = by if self.least is None else min(by, self.least)
        if by > self.worst:
            self.seen(now, by)

    @property
    def standing(self) -> Time:
        """How late even the luckiest query has been taken for a while: what a full core does, and neither a
        burst nor a pause that is over (after RFC 8289, which tells a standing queue from a good one so)."""
        return min(self.before, self.least or 0)
