"""Fleet-wide limits, enforced by quota leases between routers.

Computes what this router may use of each limit, what it lends and what it borrows. Performs no I/O. Staying
within a limit never depends on an answer from another router.

A limit is divided into units, to which the routers that the operator names have equal entitlements. A quarter
of an entitlement, the floor, is never lent, so that an isolated router still has it; the rest may be lent. A
lease expires without a message: at the borrower one lease duration after it *requested* the lease, at the
lender one lease duration and a twentieth after it *granted* the lease. So no two routers use the same unit at
any instant, whether messages are lost, delayed or repeated or the network is partitioned. Further invariants:

- a router that starts does not know what it lent before: it uses only its floor until all of that has
  expired;
- two routers have one lease, which the next one replaces: only the grant for the last request is accepted,
  and a request states how much of the present lease is still used, so that the lender knows what may be
  outstanding;
- the extra twentieth covers clocks that are slow or fast by up to one part in fifty.

Where entitlements are set from outside (partners: by their shares), a router lends evenly within its own
group, and to others only what it does not request itself. A confined router uses only its floor, which does
not depend on the entitlements.

Times are tenths of a millisecond on a clock that continues while the process is suspended.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from hillchute.coordination.messages import Demand, LeaseGrant, LeaseMessage, LeaseRequest
from hillchute.decision.interface import Time

SECOND = 10_000
LEASE_DURATION: Time = 4 * SECOND  # an isolated router falls back to its entitlement within this time
CLOCK_MARGIN_DIVISOR = 20  # the lender waits 1/20 longer: covers two clocks that are each off by 1/50
LENDER_HOLD: Time = LEASE_DURATION + LEASE_DURATION // CLOCK_MARGIN_DIVISOR
FLOOR_DIVISOR = 4  # 1/4 of an entitlement is never lent
SINGLE_LEASE_DIVISOR = 2  # at most 1/2 of an entitlement is lent to one router
RENEWAL_INTERVAL: Time = LEASE_DURATION // 4  # a lease survives three lost renewals
MAX_BORROWED_LEASES = 8  # at a time; one router's overload is shared by several lenders
DEMAND_LIFETIME: Time = 5 * SECOND  # validity of another router's demand
MIN_RELATIVE_SHORTAGE = 0.02  # of the requested units; a smaller shortage sends no request
MAX_LENDERS = 32  # routers that one may borrow from: bounds what a malicious borrower can get
LENDERS_COMPARED = 4  # drawn at random; otherwise all borrowers would choose the same lender


@dataclass(slots=True)
class LentLease:
    """Units lent to another router; the previous lease may still be in use."""

    request_number: int
    previous_amount: int = 0
    previous_expires_at: Time = 0
    amount: int = 0
    expires_at: Time = 0

    def outstanding(self, now: Time) -> int:
        """Units that the borrower may be using."""
        previous = self.previous_amount * (now < self.previous_expires_at)
        current = self.amount * (now < self.expires_at)
        return max(previous, current)

    def last_expiry(self) -> Time:
        """When the borrower's last unit has expired."""
        return max(self.expires_at, self.previous_expires_at)


@dataclass(slots=True)
class BorrowedLease:
    """Units borrowed from another router, as of the last request."""

    request_number: int
    requested_at: Time
    requested_amount: int
    amount: int = 0
    expires_at: Time = 0

    def usable(self, now: Time) -> int:
        """Units usable under this lease at this instant."""
        return self.amount if now < self.expires_at else 0


class TimedDemand(NamedTuple):
    """Another router's demand and when it was received."""

    received_at: Time
    demand: Demand


@dataclass(frozen=True, slots=True, kw_only=True)
class Entitlement:
    """A router's entitlement to a limit, if it is set from outside."""

    units: int
    floor: int
    group: frozenset[str]  # routers to which units are lent evenly
    settling_time: Time  # until a larger entitlement takes effect
    confined: bool  # whether only the floor may be used


def equal_entitlement(total: int, names: Iterable[str], name: str) -> int:
    """A router's equal part of a total; the first by name get the remainder. 0 for an unnamed router."""
    order = sorted(set(names))
    if name not in order:
        return 0
    each, remainder = divmod(total, len(order))
    return each + (order.index(name) < remainder)


@dataclass
class LimitState:
    """The state of one limit at one router."""

    total: int
    entitlement: int
    changed_at: Time  # when this router started or its entitlement changed
    units_until_settled: int  # usable until all earlier leases have expired
    settling_time: Time = LENDER_HOLD
    fixed_floor: int | None = None  # if entitlements are set from outside
    group: frozenset[str] | None = None  # routers to which units are lent evenly; None: all
    confined: bool = False
    requested: int = 0  # units that this router's traffic would use now
    lent: dict[str, LentLease] = field(default_factory=dict)  # by borrower
    borrowed: dict[str, BorrowedLease] = field(default_factory=dict)  # by lender
    demands: dict[str, TimedDemand] = field(default_factory=dict)  # by router

    @property
    def floor(self) -> int:
        """Units that are never lent."""
        if self.fixed_floor is None:
            return self.entitlement // FLOOR_DIVISOR
        return min(self.fixed_floor, self.entitlement)

    def own_units(self, now: Time) -> int:
        """Units to use or lend: the whole entitlement once all earlier leases have expired."""
        if now >= self.changed_at + self.settling_time:
            units = self.entitlement
        else:
            units = min(self.entitlement, self.units_until_settled)
        return min(units, self.floor) if self.confined else units

    def outstanding(self, now: Time) -> int:
        """Units that borrowers may be using."""
        return sum(lease.outstanding(now) for lease in self.lent.values())

    def usable(self, now: Time) -> int:
        """Units usable at this instant; their sum over all routers never exceeds the total."""
        remaining = max(0, self.own_units(now) - self.outstanding(now))
        return remaining + sum(lease.usable(now) for lease in self.borrowed.values())

    def demand(self, now: Time) -> Demand:
        """The units that this router would use and may use."""
        return Demand(self.requested, self.usable(now))

    def change_entitlement(self, now: Time, units: int, units_until_settled: int) -> None:
        """Sets the entitlement, and the units usable until the settling time has passed."""
        self.entitlement = units
        self.units_until_settled = units_until_settled
        self.changed_at = now


class QuotaLeases:
    """All limits of one router. `limits`: their names and totals, the same at all routers."""

    def __init__(
        self, name: str, router_names: Iterable[str], limits: Mapping[str, int], seed: int, now: Time
    ) -> None:
        self.name = name
        self.seed = seed
        self.draw_count = 0
        self.request_number = now  # starts from the clock, so that it rises over restarts
        self.router_names = frozenset(router_names)
        self.lenders_of: dict[str, frozenset[str]] = {}  # cache, by borrower
        self.limits: dict[str, LimitState] = {}
        for limit_name, total in limits.items():
            units = equal_entitlement(total, self.router_names, name)
            self.limits[limit_name] = LimitState(total, units, now, units // FLOOR_DIVISOR)

    def set_router_names(self, now: Time, router_names: Iterable[str]) -> None:
        """Sets the router names from the operator file (docs/peers.md describes the order of a change). A
        smaller entitlement takes effect at once, and its leases expire before new routers may start. A larger
        one takes effect once all leases granted by removed routers have expired."""
        router_names = frozenset(router_names)
        if router_names == self.router_names:
            return
        self.router_names = router_names
        self.lenders_of.clear()
        for limit in self.limits.values():
            if limit.fixed_floor is None:
                units = equal_entitlement(limit.total, self.router_names, self.name)
                limit.change_entitlement(now, units, limit.own_units(now))

    def set_entitlement(self, now: Time, limit_name: str, entitlement: Entitlement) -> None:
        """Sets an entitlement from outside. A larger one takes effect after its settling time: by then all
        routers with a smaller one use less, and the leases that they granted have expired."""
        limit = self.limits[limit_name]
        if limit.fixed_floor is None:
            limit.units_until_settled = min(limit.units_until_settled, entitlement.floor)
        limit.confined = entitlement.confined
        limit.group = entitlement.group
        current = (limit.entitlement, limit.fixed_floor, limit.settling_time)
        if current != (entitlement.units, entitlement.floor, entitlement.settling_time):
            units_until_settled = min(limit.own_units(now), limit.entitlement)
            limit.fixed_floor = entitlement.floor
            limit.settling_time = entitlement.settling_time
            limit.change_entitlement(now, entitlement.units, units_until_settled)

    def permitted_lenders(self, borrower: str) -> frozenset[str]:
        """Routers that a router may borrow from: MAX_LENDERS others, by a hash that all routers compute."""
        if borrower not in self.lenders_of:
            others = sorted(
                self.router_names - {borrower}, key=lambda name: (crc32(f"{borrower}:{name}".encode()), name)
            )
            self.lenders_of[borrower] = frozenset(others[:MAX_LENDERS])
        return self.lenders_of[borrower]

    def set_requested(self, limit_name: str, units: int) -> None:
        """Sets the units that this router's traffic would use now."""
        self.limits[limit_name].requested = max(0, units)

    def usable(self, limit_name: str, now: Time) -> int:
        """Units of a limit usable at this instant."""
        return self.limits[limit_name].usable(now)

    def usable_share(self, limit_name: str, now: Time) -> float:
        """The usable units as a fraction of the limit's total."""
        limit = self.limits[limit_name]
        return limit.usable(now) / limit.total

    def demands(self, now: Time) -> dict[str, Demand]:
        """This router's demand by limit, the same for all recipients."""
        return {name: limit.demand(now) for name, limit in self.limits.items()}

    def on_demands(self, now: Time, sender: str, demands: Mapping[str, Demand]) -> None:
        """Handles the demands of another router."""
        for name, demand in demands.items():
            if name in self.limits:
                self.limits[name].demands[sender] = TimedDemand(now, demand)

    # ---- borrowing --------------------------------------------------------------------------------

    def due_requests(self, now: Time, alive: Iterable[str]) -> list[LeaseMessage]:
        """The requests that are due: renewals, with the amount needed now, and new leases."""
        reachable = frozenset(alive) & self.permitted_lenders(self.name)
        messages: list[LeaseMessage] = []
        for name, limit in self.limits.items():
            for lender, lease in list(limit.borrowed.items()):
                if now >= lease.expires_at and now - lease.requested_at >= RENEWAL_INTERVAL:
                    del limit.borrowed[lender]  # expired and not renewed
            for lender, lease in limit.borrowed.items():
                if lender in reachable and now - lease.requested_at >= RENEWAL_INTERVAL:
                    messages.append(self.make_request(now, name, lender))
            shortage = limit.requested - limit.usable(now)
            is_short = shortage > MIN_RELATIVE_SHORTAGE * limit.requested
            if is_short and len(limit.borrowed) < MAX_BORROWED_LEASES:
                new_lender = self.choose_lender(now, limit, reachable)
                if new_lender is not None:
                    messages.append(self.make_request(now, name, new_lender))
        return messages

    def choose_lender(self, now: Time, limit: LimitState, reachable: frozenset[str]) -> str | None:
        """The router that would lend most, of a few with known demands; None if none would lend enough."""
        known = [
            (name, entry.demand)
            for name, entry in limit.demands.items()
            if now - entry.received_at < DEMAND_LIFETIME and name in reachable and name not in limit.borrowed
        ]
        self.draw_count += 1
        known.sort(key=lambda candidate: crc32(f"{self.seed}:{self.draw_count}:{candidate[0]}".encode()))
        own = limit.demand(now)
        offers = [
            (lendable_units(limit, name, own, demand), name) for name, demand in known[:LENDERS_COMPARED]
        ]
        units, lender = max(offers, default=(0, ""))
        return lender if units > MIN_RELATIVE_SHORTAGE * limit.requested else None

    def make_request(self, now: Time, limit_name: str, lender: str) -> LeaseMessage:
        """A request for the units that would give both routers the same share of their demand, if the
        lender's is known. Units of the lease that this router does not need are given up before the request
        is sent."""
        self.request_number += 1
        limit = self.limits[limit_name]
        lease = limit.borrowed.get(lender)
        borrowed = lease.usable(now) if lease else 0
        own = limit.demand(now)
        still_used = max(0, min(borrowed, borrowed - (own.usable - own.requested)))
        entry = limit.demands.get(lender)
        more = 0
        if entry is not None and now - entry.received_at < DEMAND_LIFETIME:
            more = lendable_units(limit, lender, own, entry.demand)
        amount = max(0, min(still_used + more, own.requested))
        expires_at = lease.expires_at if lease else now
        limit.borrowed[lender] = BorrowedLease(self.request_number, now, amount, still_used, expires_at)
        body = LeaseRequest(self.request_number, amount, still_used, own.requested, limit.usable(now))
        return LeaseMessage(lender, limit_name, body)

    def on_grant(self, sender: str, limit_name: str, grant: LeaseGrant) -> None:
        """Handles a grant; it is accepted only if it answers the last request."""
        limit = self.limits.get(limit_name)
        lease = limit.borrowed.get(sender) if limit else None
        if limit is None or lease is None or lease.request_number != grant.number:
            return  # a later request tells the lender that this grant is not used
        # Guards against a lender that grants more than was requested, or for longer than a lease lasts.
        lease.amount = min(grant.amount, lease.requested_amount)
        lease.expires_at = lease.requested_at + min(grant.duration, LEASE_DURATION)
        if not lease.amount:
            del limit.borrowed[sender]

    # ---- lending ----------------------------------------------------------------------------------

    def on_request(
        self, now: Time, sender: str, limit_name: str, request: LeaseRequest
    ) -> list[LeaseMessage]:
        """Handles a request; returns the grant, which may be for less, or nothing if the request is not
        valid."""
        limit = self.limits.get(limit_name)
        if limit is None or sender not in self.router_names:
            return []
        if self.name not in self.permitted_lenders(sender):
            return []
        limit.demands[sender] = TimedDemand(now, Demand(request.requested, request.usable))
        previous = limit.lent.get(sender)
        if previous is not None and request.number <= previous.request_number:
            return []  # an earlier request that arrived late
        amount = grantable_units(now, limit, sender, request)
        lease = LentLease(request.number, 0, now, amount, now + LENDER_HOLD)
        if previous is not None:
            lease.previous_amount = min(previous.outstanding(now), max(0, request.still_used))
            lease.previous_expires_at = previous.last_expiry()
        limit.lent[sender] = lease
        expired = [name for name, other in limit.lent.items() if now >= other.last_expiry()]
        for borrower in expired:
            if borrower != sender:
                del limit.lent[borrower]
        return [LeaseMessage(sender, limit_name, LeaseGrant(request.number, amount, LEASE_DURATION))]


def grantable_units(now: Time, limit: LimitState, borrower: str, request: LeaseRequest) -> int:
    """Units to lend for a request; they replace the borrower's present lease."""
    previous = limit.lent.get(borrower)
    returned = previous.outstanding(now) if previous else 0
    spare = limit.own_units(now) - limit.floor - limit.outstanding(now) + returned
    lender = Demand(limit.requested, limit.usable(now) + returned)
    without_lease = Demand(request.requested, request.usable - request.still_used)
    lendable = lendable_units(limit, borrower, without_lease, lender)
    return max(0, min(request.amount, lendable, spare, limit.entitlement // SINGLE_LEASE_DIVISOR))


def lendable_units(limit: LimitState, other: str, borrower: Demand, lender: Demand) -> int:
    """Units to move from a lender to a borrower: within a group, those that give both the same share of their
    demand; otherwise at most what the lender does not request. `other` is the peer of this router."""
    if limit.group is None or other in limit.group:
        return equalizing_units(borrower, lender)
    return max(0, min(borrower.requested - borrower.usable, lender.usable - max(0, lender.requested)))


def equalizing_units(borrower: Demand, lender: Demand) -> int:
    """Units to move so that both have the same share of their demand. All units of a lender that requests
    nothing may be moved."""
    if borrower.requested <= 0:
        return 0
    lender_requested = max(0, lender.requested)
    both_requested = borrower.requested + lender_requested
    surplus = borrower.requested * lender.usable - lender_requested * borrower.usable
    shortage = (borrower.requested - borrower.usable) * both_requested
    return max(0, min(surplus, shortage)) // both_requested
