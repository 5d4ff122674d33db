"""Retention policies per customer: how long and how much is kept, and whether retries are answered from it.

Performs no I/O and reads no clock.

Times are whole tenths of a millisecond. `granted_at` is Unix time by the clock of the holder that granted the
query; erasure requests compare with it. Retention is counted in durations, so clock offsets do not affect it.
"""

from collections.abc import Mapping

import msgspec

from hillchute.decision.interface import Time

MS = 10  # units of Time in a millisecond
MAX_ENTRIES = 1024  # in one set: customers with their own policy, and also erasure requests
MAX_TEXT = 128  # characters of a customer's name or a key
MAX_NUMBER = 1_000_000_000
MAX_COPIES = 8
MIN_ERASE_MS = 100
MAX_ERASE_MS = 3_600_000
MIN_LEAST_MS = 1_000
MAX_MOST_MS = 31_622_400_000  # 366 days
MAX_UNIX_TIME: Time = 1 << 60
COUNT_BOUNDS = {"most": 1 << 20, "most_bytes": 1 << 30, "most_records": 1 << 24}


class RetentionPolicy(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One customer's policy. Field names and defaults are the operator file's."""

    least_ms: int = 600_000  # least retention time, as long as one holder of the record is live
    most_ms: int = 3_600_000  # longest time for which records are kept and replayed
    most: int = 256  # records of one key
    most_bytes: int = 1_048_576  # of the records of one key, rows included
    most_records: int = 100_000  # of the customer at one holder
    rows: bool = False  # keep the rows of results besides the outcomes
    replay: bool = True  # answer retries from the history
    hold: bool = False  # erase and evict nothing
    disk: bool = False  # also write a record to the disk before its first attempt is sent
    lost: str = "defer"  # or "run": what happens to a query whose record all holders may have lost


class ErasureRequest(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Requests erasure of what was granted before a time, for a customer or one of its keys."""

    before: Time
    customer: str = ""
    ordering_key: str | None = None  # None: all of the customer's keys

    def covers(self, customer: str, ordering_key: str, granted_at: Time) -> bool:
        """Whether a record is covered by this request."""
        if granted_at >= self.before or self.customer != customer:
            return False
        return self.ordering_key in (None, ordering_key)


class RetentionPolicies(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A numbered set of all policies; of two sets the one with the higher number applies."""

    number: int = 0
    copies: int = 2  # holders of a record in addition to the first
    erase_ms: int = 2000  # time limit for erasure from every live holder
    founded: Time = 0  # Unix time of the history's start; a loss before it counts as none
    default: RetentionPolicy = RetentionPolicy()
    customers: dict[str, RetentionPolicy] = {}
    erasure_requests: tuple[ErasureRequest, ...] = ()

    def policy_for(self, customer: str) -> RetentionPolicy:
        """Returns the customer's own policy, or the default."""
        return self.customers.get(customer, self.default)

    def is_erasure_requested(self, customer: str, ordering_key: str, granted_at: Time) -> bool:
        """Whether the operator requested the erasure of a record; a hold overrides requests."""
        if self.policy_for(customer).hold:
            return False
        return any(each.covers(customer, ordering_key, granted_at) for each in self.erasure_requests)

    def must_be_erased(self, customer: str, ordering_key: str, granted_at: Time, age: Time) -> bool:
        """Whether a record of this age must be erased."""
        policy = self.policy_for(customer)
        if policy.hold:
            return False
        if age > policy.most_ms * MS:
            return True
        return self.is_erasure_requested(customer, ordering_key, granted_at)

    def may_replay(self, customer: str, ordering_key: str, granted_at: Time, age: Time) -> bool:
        """Whether a retry may be answered from a record.

        A hold preserves records beyond their longest time, but they are not replayed.
        """
        policy = self.policy_for(customer)
        if not policy.replay or age > policy.most_ms * MS:
            return False
        return not self.is_erasure_requested(customer, ordering_key, granted_at)

    def may_evict(self, customer: str, age: Time) -> bool:
        """Whether a record is past its least time, and so may be evicted where capacity is short."""
        policy = self.policy_for(customer)
        return age > policy.least_ms * MS and not policy.hold


def first_invalid_field(policies: RetentionPolicies) -> str:
    """Returns the first invalid field, by its name in the operator file; "" for valid policies."""
    if not 0 <= policies.number <= MAX_NUMBER or not 0 <= policies.founded < MAX_UNIX_TIME:
        return "number"
    if not 0 <= policies.copies <= MAX_COPIES:
        return "copies"
    if not MIN_ERASE_MS <= policies.erase_ms <= MAX_ERASE_MS:
        return "erase_ms"
    return _first_invalid_policy(policies) or _first_invalid_request(policies)


def _first_invalid_policy(policies: RetentionPolicies) -> str:
    if len(policies.customers) > MAX_ENTRIES:
        return "customers"
    for name, policy in [("default", policies.default), *policies.customers.items()]:
        if len(name) > MAX_TEXT:
            return "customers"
        if field := _first_invalid_policy_field(policy):
            return f"{name}.{field}"
    return ""


def _first_invalid_policy_field(policy: RetentionPolicy) -> str:
    if not MIN_LEAST_MS <= policy.least_ms <= policy.most_ms <= MAX_MOST_MS:
        return "least_ms"
    for name, highest in COUNT_BOUNDS.items():
        if not 1 <= getattr(policy, name) <= highest:
            return name
    return "" if policy.lost in ("defer", "run") else "lost"


def _first_invalid_request(policies: RetentionPolicies) -> str:
    if len(policies.erasure_requests) > MAX_ENTRIES:
        return "forget"
    for request in policies.erasure_requests:
        longest = max(len(request.customer), len(request.ordering_key or ""))
        if longest > MAX_TEXT or not 0 <= request.before < MAX_UNIX_TIME:
            return "forget"
    return ""


def changed_policies(
    old: RetentionPolicies, new: RetentionPolicies
) -> Mapping[str, tuple[RetentionPolicy, RetentionPolicy]]:
    """Returns the old and the new policy of each customer whose policy differs, ordered by name."""
    names = sorted({"", *old.customers, *new.customers})
    pairs = {name: (old.policy_for(name), new.policy_for(name)) for name in names}
    return {name: pair for name, pair in pairs.items() if pair[0] != pair[1]}
