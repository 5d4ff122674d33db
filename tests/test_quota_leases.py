"""Quota leases: under every fault the usable units sum to at most the total, and units move to where they are
requested."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.coordination.messages import Demand, LeaseGrant, LeaseRequest
from hillchute.coordination.quota_leases import (
    FLOOR_DIVISOR,
    LEASE_DURATION,
    LENDER_HOLD,
    MAX_LENDERS,
    RENEWAL_INTERVAL,
    SINGLE_LEASE_DIVISOR,
    QuotaLeases,
    equal_entitlement,
    equalizing_units,
)

TOTAL = 1_000_000
STEP = 1_000
LIMIT = "x"


class SimulatedFleet:
    """Quota leases of many routers over a network that loses, repeats, delays and reorders messages. Each
    router has its own clock, which may be off by one part in fifty, and can be suspended, killed and
    restarted without its state."""

    def __init__(self, seed, count, loss_rate=0.0, repeat_rate=0.0, max_delay=0, max_drift=0.0):
        self.rng, self.now = random.Random(seed), 0
        self.loss_rate, self.repeat_rate, self.max_delay = loss_rate, repeat_rate, max_delay
        self.names = [f"n{n}" for n in range(count)]
        self.rates = {name: 1 + self.rng.uniform(-max_drift, max_drift) for name in self.names}
        self.routers, self.requested = {}, dict.fromkeys(self.names, 0)
        self.in_flight, self.order = [], 0
        self.partitions = dict.fromkeys(self.names, 0)
        self.suspended = set()
        self.messages_sent = 0
        for name in self.names:
            self.start(name)

    def clock(self, name):
        return 10**12 + int(self.now * self.rates[name])

    def start(self, name):
        seed = self.rng.getrandbits(20)
        self.routers[name] = QuotaLeases(name, self.names, {LIMIT: TOTAL}, seed, self.clock(name))
        self.routers[name].set_requested(LIMIT, self.requested[name])

    def set_requested(self, name, units):
        self.requested[name] = units
        if name in self.routers:
            self.routers[name].set_requested(LIMIT, units)

    def post(self, sender, messages):
        for message in messages:
            self.messages_sent += 1
            for _ in range(1 + (self.rng.random() < self.repeat_rate)):
                if self.rng.random() >= self.loss_rate:
                    self.order += 1
                    at = self.now + STEP + self.rng.randint(0, self.max_delay)
                    self.in_flight.append((at, self.order, sender, message))

    def usable(self, name):
        return self.routers[name].usable(LIMIT, self.clock(name))

    def sum(self):
        """The usable units of all routers, including suspended ones, which use theirs on resumption."""
        return sum(self.usable(name) for name in self.routers)

    def step(self):
        self.now += STEP
        due = sorted(
            entry
            for entry in self.in_flight
            if entry[0] <= self.now and entry[3].recipient not in self.suspended
        )
        self.in_flight = [entry for entry in self.in_flight if entry not in due]
        for _, _, sender, message in due:
            router = self.routers.get(message.recipient)
            if router is None or self.partitions[sender] != self.partitions[message.recipient]:
                continue
            now = self.clock(message.recipient)
            if isinstance(message.body, LeaseRequest):
                self.post(message.recipient, router.on_request(now, sender, message.limit, message.body))
            else:
                router.on_grant(sender, message.limit, message.body)
        for name, router in self.routers.items():
            if name in self.suspended:
                continue
            for other in self.rng.sample(self.names, min(6, len(self.names))):
                if (
                    other in self.routers
                    and other != name
                    and self.partitions[other] == self.partitions[name]
                ):
                    self.routers[other].on_demands(
                        self.clock(other), name, self.routers[name].demands(self.clock(name))
                    )
            self.post(name, router.due_requests(self.clock(name), self.names))
        assert self.sum() <= TOTAL

    def play(self, seconds):
        for _ in range(int(seconds * 10_000 / STEP)):
            self.step()

    def jain(self, names=None):
        names = names or [name for name in self.routers if self.requested[name]]
        shares = [min(1.0, self.usable(name) / self.requested[name]) for name in names]
        return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares))


def request_unevenly(fleet, load, names=None):
    names = names or fleet.names
    weights = {name: fleet.rng.lognormvariate(0, 0.8) for name in names}
    for name, weight in weights.items():
        fleet.set_requested(name, int(load * TOTAL * weight / sum(weights.values())))


@given(st.integers(0, 10**9), st.integers(1, 300))
def test_entitlements_sum_to_the_total_and_differ_by_at_most_one(total, count):
    names = [f"n{n}" for n in range(count)]
    entitlements = [equal_entitlement(total, names, name) for name in names]
    assert sum(entitlements) == total and max(entitlements) - min(entitlements) <= 1
    assert equal_entitlement(total, names, "nobody") == 0


@settings(max_examples=200, deadline=None)
@given(*[st.integers(0, 10**6)] * 4)
def test_moved_units_equalize_shares_and_never_exceed_the_demand(
    requested, usable, lender_requested, lender_usable
):
    moved = equalizing_units(Demand(requested, usable), Demand(lender_requested, lender_usable))
    assert 0 <= moved <= max(0, requested - usable)
    if moved and lender_requested and moved < requested - usable:
        borrower_share, lender_share = (
            (usable + moved) / requested,
            (lender_usable - moved) / lender_requested,
        )
        assert borrower_share <= lender_share + 1 / min(requested, lender_requested)


@pytest.mark.parametrize("seed, count", [(1, 5), (2, 24), (3, 60)])
def test_usable_units_never_exceed_the_total_whatever_fails(seed, count):
    """Combines loss, repeats, delays beyond a lease's duration, clock drift, partitions, suspensions and
    crashes. `step` checks the sum at each tenth of a second."""
    fleet = SimulatedFleet(
        seed,
        count,
        loss_rate=0.2,
        repeat_rate=0.2,
        max_delay=LEASE_DURATION + LEASE_DURATION // 2,
        max_drift=0.02,
    )
    for _ in range(14):
        request_unevenly(fleet, fleet.rng.choice((0.3, 0.9, 3.0)))
        match fleet.rng.randrange(4):
            case 0:
                fleet.partitions = {name: fleet.rng.randrange(3) for name in fleet.names}
            case 1:
                fleet.partitions = dict.fromkeys(fleet.names, 0)
            case 2:
                fleet.suspended = set(fleet.rng.sample(fleet.names, count // 3))
            case 3:
                for name in fleet.rng.sample(fleet.names, count // 2):
                    fleet.routers.pop(name, None)
        fleet.play(fleet.rng.choice((0.5, 1.5, 4.5)))
        if fleet.rng.random() < 0.5:
            for name in fleet.names:
                if name not in fleet.routers:
                    fleet.start(name)
            fleet.suspended = set()


def test_units_move_to_the_routers_that_request_them_and_back():
    fleet = SimulatedFleet(4, 40)
    fleet.play(5)
    for name in fleet.names[:4]:
        fleet.set_requested(name, TOTAL // 10)  # four entitlements each; the others request nothing
    fleet.play(6)
    assert all(fleet.usable(name) > 0.9 * TOTAL // 10 for name in fleet.names[:4])
    for name in fleet.names[:4]:
        fleet.set_requested(name, 0)
    for name in fleet.names[4:8]:
        fleet.set_requested(name, TOTAL // 10)
    fleet.play(6)
    assert all(fleet.usable(name) > 0.9 * TOTAL // 10 for name in fleet.names[4:8])


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.7, 1.3])
def test_shares_stay_even_while_the_fleet_doubles_and_halves(seed, load):
    fleet = SimulatedFleet(seed, 60, loss_rate=0.05, repeat_rate=0.05, max_delay=200)
    small, large = fleet.names[:30], fleet.names
    fleet.names = small

    def change_names(names):
        fleet.names = list(names)
        for name in [name for name in fleet.routers if name not in names]:
            del fleet.routers[name]  # they stop before the others are reconfigured
        for name, router in fleet.routers.items():
            router.set_router_names(fleet.clock(name), names)
        fleet.play(LENDER_HOLD / 10_000)  # leases of reduced entitlements have expired
        for name in names:
            if name not in fleet.routers:
                fleet.start(name)
        request_unevenly(fleet, load)

    change_names(small)
    fleet.play(10)
    assert fleet.jain() > 0.95
    change_names(large)
    fleet.play(10)
    assert fleet.jain() > 0.95
    change_names(small)
    fleet.play(10)
    assert fleet.jain() > 0.95


def test_isolated_router_falls_back_to_its_entitlement_and_a_restarted_one_to_its_floor():
    fleet = SimulatedFleet(5, 10)
    fleet.play(6)
    fleet.set_requested("n0", TOTAL // 2)
    fleet.play(6)
    own = TOTAL // 10
    assert fleet.usable("n0") > 4 * own
    fleet.partitions["n0"] = 1
    fleet.play(LEASE_DURATION / 10_000)
    assert fleet.usable("n0") == own
    fleet.start("n0")
    assert fleet.usable("n0") == own // FLOOR_DIVISOR
    fleet.play(LENDER_HOLD / 10_000 + 0.1)
    assert fleet.usable("n0") == own


def test_suspended_router_does_not_use_leases_that_expired_meanwhile():
    fleet = SimulatedFleet(6, 10)
    fleet.play(6)
    fleet.set_requested("n0", TOTAL // 2)
    fleet.play(6)
    fleet.suspended = {"n0"}
    fleet.play(LEASE_DURATION / 10_000 + 0.5)
    assert fleet.usable("n0") <= TOTAL // 10  # checked at the moment of resumption


def pair(now=10**6):
    a, b = (QuotaLeases(me, ["a", "b"], {LIMIT: TOTAL}, 1, now - 2 * LEASE_DURATION) for me in "ab")
    return a, b, now


def test_late_grant_of_an_earlier_request_is_ignored():
    a, b, now = pair()
    a.set_requested(LIMIT, 700_000)
    a.on_demands(now, "b", b.demands(now))
    (first,) = a.due_requests(now, ["b"])
    (late_grant,) = b.on_request(now, "a", LIMIT, first.body)
    now += RENEWAL_INTERVAL
    (second,) = a.due_requests(now, ["b"])
    a.on_grant("b", LIMIT, late_grant.body)
    assert a.usable(LIMIT, now) == TOTAL // 2
    (grant,) = b.on_request(now, "a", LIMIT, second.body)
    a.on_grant("b", LIMIT, grant.body)
    assert TOTAL // 2 < a.usable(LIMIT, now) <= 700_000
    assert not b.on_request(now, "a", LIMIT, first.body)  # a late request is ignored too


def test_grant_is_limited_to_the_requested_units_and_duration():
    a, b, now = pair()
    a.set_requested(LIMIT, 600_000)
    a.on_demands(now, "b", b.demands(now))
    (request,) = a.due_requests(now, ["b"])
    a.on_grant("b", LIMIT, LeaseGrant(request.body.number, TOTAL, 100 * LEASE_DURATION))
    assert a.usable(LIMIT, now) <= 600_000
    assert a.usable(LIMIT, now + LEASE_DURATION) == TOTAL // 2


def test_malicious_borrower_gets_bounded_units_and_no_routers_floor():
    fleet = SimulatedFleet(7, 100)
    fleet.play(6)
    request_unevenly(fleet, 0.6, fleet.names[1:])
    fleet.set_requested("n0", 10**9)
    malicious = fleet.routers["n0"]
    malicious.demands = lambda now: {LIMIT: Demand(10**9, 0)}
    fleet.play(20)
    own = TOTAL // 100
    assert fleet.usable("n0") <= own + MAX_LENDERS * (own // SINGLE_LEASE_DIVISOR)
    assert all(fleet.usable(name) >= own // FLOOR_DIVISOR for name in fleet.names)


def test_nothing_is_lent_to_unknown_routers_or_for_unknown_limits():
    a, _, now = pair()
    assert not a.on_request(now, "c", LIMIT, LeaseRequest(1, 1000, 0, 1000, 0))
    assert not a.on_request(now, "b", "y", LeaseRequest(1, 1000, 0, 1000, 0))
    a.on_grant("c", LIMIT, LeaseGrant(1, 1000, LEASE_DURATION))
    assert a.usable(LIMIT, now) == TOTAL // 2
