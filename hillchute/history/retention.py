"""What each customer wants of the history: how long, how much, whether a resend is answered from it.

Owns policies, the numbered book of them, and what they allow at an instant. Pure: the time comes in. Must
never hold a record, decide what a router does with a query, or read a file.

Times are whole tenths of a millisecond. `taken` is Unix time as the holder that took the query saw it, and is
what `forget` names; how long something is kept is counted in durations, which no clock's offset changes.
"""

from collections.abc import Mapping

import msgspec

from hillchute.decision.interface import Time

MS = 10
NAMES = 1024  # customers with a policy of their own, and forgets remembered, in one book
TEXT = 128  # characters of a customer's name or of a key


class RetentionPolicy(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One customer's. The defaults are those of the operator file."""

    least_ms: int = 600_000  # nothing is forgotten before, while a holder lives
    most_ms: int = 3_600_000  # nothing is answered, or kept, beyond
    most: int = 256  # queries of one key
    most_bytes: int = 1_048_576  # of one key, rows included
    most_records: int = 100_000  # of the customer, at one holder
    rows: bool = False  # kept with the ending
    replay: bool = True  # a resend is answered from the history
    hold: bool = False  # nothing is forgotten
    disk: bool = False  # a record is on the disk, too, before its first submission leaves
    lost: str = "defer"  # "run": what a query gets whose history may have been lost with all its holders


class ErasureRequest(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """All that was taken before a time, of a customer or of one of its keys."""

    before: Time
    customer: str = ""
    key: str | None = None

    def names(self, customer: str, key: str, taken: Time) -> bool:
        return taken < self.before and self.customer == customer and self.key in (None, key)


class RetentionPolicies(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """All policies under one number; of two books the higher number holds."""

    number: int = 0
    copies: int = 2  # holders of a record beside the first
    erase_ms: int = 2000  # within this what is forbidden is gone from every living holder
    founded: Time = 0  # until a minute after, a history that nobody holds is one that nobody has had
    default: RetentionPolicy = RetentionPolicy()
    customers: dict[str, RetentionPolicy] = {}
    forgets: tuple[ErasureRequest, ...] = ()

    def of(self, customer: str) -> RetentionPolicy:
        return self.customers.get(customer, self.default)

    def forgotten(self, customer: str, key: str, taken: Time) -> bool:
        """Whether somebody wanted it forgotten and no hold stands before that."""
        if self.of(customer).hold:
            return False
        return any(forget.names(customer, key, taken) for forget in self.forgets)

    def erased(self, customer: str, key: str, taken: Time, age: Time) -> bool:
        """Whether it must be gone."""
        policy = self.of(customer)
        if policy.hold:
            return False
        return age > policy.most_ms * MS or self.forgotten(customer, key, taken)

    def answers(self, customer: str, key: str, taken: Time, age: Time) -> bool:
        """Whether a resend may be answered from it. A hold keeps what is too old, but doesn't answer from
        it."""
        policy = self.of(customer)
        fresh = age <= policy.most_ms * MS and not self.forgotten(customer, key, taken)
        return policy.replay and fresh

    def due(self, customer: str, age: Time) -> bool:
        """Whether its least time is over: then it may go where room is short."""
        policy = self.of(customer)
        return age > policy.least_ms * MS and not policy.hold

    def began_lately(self, lost: Time, grace: Time) -> bool:
        """Whether a loss at that Unix time is none: the operator says that nothing was there to be lost."""
        return self.founded > 0 and lost <= self.founded + grace


def unfit(book: RetentionPolicies) -> str:
    """The first field that no holder could honour; empty for a sound book."""
    if not 0 <= book.number <= 1_000_000_000 or not 0 <= book.founded < 1 << 60:
        return "number"
    if not 0 <= book.copies <= 8:
        return "copies"
    if not 100 <= book.erase_ms <= 3_600_000:
        return "erase_ms"
    if len(book.customers) > NAMES:
        return "customers"
    for name, policy in [("default", book.default), *book.customers.items()]:
        if len(name) > TEXT:
            return "customers"
        if fault := unfit_policy(policy):
            return f"{name}.{fault}"
    if len(book.forgets) > NAMES:
        return "forget"
    for forget in book.forgets:
        if max(len(forget.customer), len(forget.key or "")) > TEXT or not 0 <= forget.before < 1 << 60:
            return "forget"
    return ""


def unfit_policy(policy: RetentionPolicy) -> str:
    if not 1000 <= policy.least_ms <= policy.most_ms <= 31_622_400_000:
        return "least_ms"
    for name, most in (("most", 1 << 20), ("most_bytes", 1 << 30), ("most_records", 1 << 24)):
        if not 1 <= getattr(policy, name) <= most:
            return name
    return "" if policy.lost in ("defer", "run") else "lost"


def changed(
    old: RetentionPolicies, new: RetentionPolicies
) -> Mapping[str, tuple[RetentionPolicy, RetentionPolicy]]:
    """Whose policy is another now."""
    names = {"", *old.customers, *new.customers}
    return {n: (old.of(n), new.of(n)) for n in sorted(names) if old.of(n) != new.of(n)}
