"""Quota leases: under every fault the usable units add up to no more than the total, and move to work."""

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
    """Quota leases of many routers over a network that loses, repeats, delays and reorders; each router has a
    clock of its own that may be off by one in fifty, is suspended, dies and restarts forgetting all."""

    def __init__(self, seed, count, loss=0.0, twice=0.0, late=0, drift=0.0):
        self.chance, self.now = random.Random(seed), 0
        self.loss, self.twice, self.late = loss, twice, late
        self.names = [f"n{n}" for n in range(count)]
        self.rates = {name: 1 + self.chance.uniform(-drift, drift) for name in self.names}
        self.routers, self.asked = {}, dict.fromkeys(self.names, 0)
        self.in_flight, self.order = [], 0
        self.sides = dict.fromkeys(self.names, 0)
        self.stopped = set()
        self.messages_sent = 0
        for name in self.names:
            self.start(name)

    def clock(self, name):
        return 10**12 + int(self.now * self.rates[name])

    def start(self, name):
        seed = self.chance.getrandbits(20)
        self.routers[name] = QuotaLeases(name, self.names, {LIMIT: TOTAL}, seed, self.clock(name))
        self.routers[name].set_requested(LIMIT, self.asked[name])

    def ask(self, name, units):
        self.asked[name] = units
        if name in self.routers:
            self.routers[name].set_requested(LIMIT, units)

    def post(self, sender, messages):
        for message in messages:
            self.messages_sent += 1
            for _ in range(1 + (self.chance.random() < self.twice)):
                if self.chance.random() >= self.loss:
                    self.order += 1
                    at = self.now + STEP + self.chance.randint(0, self.late)
                    self.in_flight.append((at, self.order, sender, message))

    def usable(self, name):
        return self.routers[name].usable(LIMIT, self.clock(name))

    def sum(self):
        """What all count on, those that stand still too: they go on with it when they wake."""
        return sum(self.usable(name) for name in self.routers)

    def step(self):
        self.now += STEP
        due = sorted(
            entry
            for entry in self.in_flight
            if entry[0] <= self.now and entry[3].recipient not in self.stopped
        )
        self.in_flight = [entry for entry in self.in_flight if entry not in due]
        for _, _, sender, message in due:
            router = self.routers.get(message.recipient)
            if router is None or self.sides[sender] != self.sides[message.recipient]:
                continue
            now = self.clock(message.recipient)
            if isinstance(message.body, LeaseRequest):
                self.post(message.recipient, router.on_request(now, sender, message.limit, message.body))
            else:
                router.on_grant(sender, message.limit, message.body)
        for name, router in self.routers.items():
            if name in self.stopped:
                continue
            for other in self.chance.sample(self.names, min(6, len(self.names))):
                if other in self.routers and other != name and self.sides[other] == self.sides[name]:
                    self.routers[other].on_demands(
                        self.clock(other), name, self.routers[name].demands(self.clock(name))
                    )
            self.post(name, router.due_requests(self.clock(name), self.names))
        assert self.sum() <= TOTAL

    def play(self, seconds):
        for _ in range(int(seconds * 10_000 / STEP)):
            self.step()

    def jain(self, names=None):
        names = names or [name for name in self.routers if self.asked[name]]
        shares = [min(1.0, self.usable(name) / self.asked[name]) for name in names]
        return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares))


def uneven(fleet, load, names=None):
    names = names or fleet.names
    weights = {name: fleet.chance.lognormvariate(0, 0.8) for name in names}
    for name, weight in weights.items():
        fleet.ask(name, int(load * TOTAL * weight / sum(weights.values())))


@given(st.integers(0, 10**9), st.integers(1, 300))
def test_entitlements_add_up_to_the_total_and_differ_by_one(whole, count):
    names = [f"n{n}" for n in range(count)]
    entitlements = [equal_entitlement(whole, names, name) for name in names]
    assert sum(entitlements) == whole and max(entitlements) - min(entitlements) <= 1
    assert equal_entitlement(whole, names, "nobody") == 0


@settings(max_examples=200, deadline=None)
@given(*[st.integers(0, 10**6)] * 4)
def test_moved_units_make_shares_alike_and_never_exceed_the_demand(asked, usable, others, theirs):
    moved = equalizing_units(Demand(asked, usable), Demand(others, theirs))
    assert 0 <= moved <= max(0, asked - usable)
    if moved and others and moved < asked - usable:
        mine, left = (usable + moved) / asked, (theirs - moved) / others
        assert mine <= left + 1 / min(asked, others)


@pytest.mark.parametrize("seed, count", [(1, 5), (2, 24), (3, 60)])
def test_usable_units_never_exceed_the_total_whatever_fails(seed, count):
    """Loss, repeats, lateness past a loan's span, clocks that are off, splits, pauses, deaths: `step` holds
    the sum at each tenth of a second."""
    fleet = SimulatedFleet(
        seed, count, loss=0.2, twice=0.2, late=LEASE_DURATION + LEASE_DURATION // 2, drift=0.02
    )
    for _ in range(14):
        uneven(fleet, fleet.chance.choice((0.3, 0.9, 3.0)))
        match fleet.chance.randrange(4):
            case 0:
                fleet.sides = {name: fleet.chance.randrange(3) for name in fleet.names}
            case 1:
                fleet.sides = dict.fromkeys(fleet.names, 0)
            case 2:
                fleet.stopped = set(fleet.chance.sample(fleet.names, count // 3))
            case 3:
                for name in fleet.chance.sample(fleet.names, count // 2):
                    fleet.routers.pop(name, None)
        fleet.play(fleet.chance.choice((0.5, 1.5, 4.5)))
        if fleet.chance.random() < 0.5:
            for name in fleet.names:
                if name not in fleet.routers:
                    fleet.start(name)
            fleet.stopped = set()


def test_units_move_to_where_work_is_and_back():
    fleet = SimulatedFleet(4, 40)
    fleet.play(5)
    for name in fleet.names[:4]:
        fleet.ask(name, TOTAL // 10)  # four homes each, and the others want nothing
    fleet.play(6)
    assert all(fleet.usable(name) > 0.9 * TOTAL // 10 for name in fleet.names[:4])
    for name in fleet.names[:4]:
        fleet.ask(name, 0)
    for name in fleet.names[4:8]:
        fleet.ask(name, TOTAL // 10)
    fleet.play(6)
    assert all(fleet.usable(name) > 0.9 * TOTAL // 10 for name in fleet.names[4:8])


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.7, 1.3])
def test_shares_are_alike_over_routers_while_the_fleet_doubles_and_halves(seed, load):
    fleet = SimulatedFleet(seed, 60, loss=0.05, twice=0.05, late=200)
    small, large = fleet.names[:30], fleet.names
    fleet.names = small

    def renamed(names):
        fleet.names = list(names)
        for name in [name for name in fleet.routers if name not in names]:
            del fleet.routers[name]  # they have ended before the others are told
        for name, router in fleet.routers.items():
            router.set_router_names(fleet.clock(name), names)
        fleet.play(LENDER_HOLD / 10_000)  # what is lent of homes that are smaller now has run out
        for name in names:
            if name not in fleet.routers:
                fleet.start(name)
        uneven(fleet, load)

    renamed(small)
    fleet.play(10)
    assert fleet.jain() > 0.95
    renamed(large)
    fleet.play(10)
    assert fleet.jain() > 0.95
    renamed(small)
    fleet.play(10)
    assert fleet.jain() > 0.95


def test_router_that_is_cut_off_falls_back_to_its_entitlement_and_restarted_to_its_floor():
    fleet = SimulatedFleet(5, 10)
    fleet.play(6)
    fleet.ask("n0", TOTAL // 2)
    fleet.play(6)
    own = TOTAL // 10
    assert fleet.usable("n0") > 4 * own
    fleet.sides["n0"] = 1
    fleet.play(LEASE_DURATION / 10_000)
    assert fleet.usable("n0") == own
    fleet.start("n0")
    assert fleet.usable("n0") == own // FLOOR_DIVISOR
    fleet.play(LENDER_HOLD / 10_000 + 0.1)
    assert fleet.usable("n0") == own


def test_suspended_router_counts_on_no_lease_that_expired_meanwhile():
    fleet = SimulatedFleet(6, 10)
    fleet.play(6)
    fleet.ask("n0", TOTAL // 2)
    fleet.play(6)
    fleet.stopped = {"n0"}
    fleet.play(LEASE_DURATION / 10_000 + 0.5)
    assert fleet.usable("n0") <= TOTAL // 10  # asked at the moment that it wakes


def pair(now=10**6):
    a, b = (QuotaLeases(me, ["a", "b"], {LIMIT: TOTAL}, 1, now - 2 * LEASE_DURATION) for me in "ab")
    return a, b, now


def test_late_grant_of_an_earlier_request_does_not_count():
    a, b, now = pair()
    a.set_requested(LIMIT, 700_000)
    a.on_demands(now, "b", b.demands(now))
    (first,) = a.due_requests(now, ["b"])
    (late,) = b.on_request(now, "a", LIMIT, first.body)
    now += RENEWAL_INTERVAL
    (second,) = a.due_requests(now, ["b"])
    a.on_grant("b", LIMIT, late.body)
    assert a.usable(LIMIT, now) == TOTAL // 2
    (grant,) = b.on_request(now, "a", LIMIT, second.body)
    a.on_grant("b", LIMIT, grant.body)
    assert TOTAL // 2 < a.usable(LIMIT, now) <= 700_000
    assert not b.on_request(now, "a", LIMIT, first.body)  # an ask that comes late changes nothing either


def test_lender_that_grants_more_or_for_longer_is_held_to_the_request():
    a, b, now = pair()
    a.set_requested(LIMIT, 600_000)
    a.on_demands(now, "b", b.demands(now))
    (ask,) = a.due_requests(now, ["b"])
    a.on_grant("b", LIMIT, LeaseGrant(ask.body.number, TOTAL, 100 * LEASE_DURATION))
    assert a.usable(LIMIT, now) <= 600_000
    assert a.usable(LIMIT, now + LEASE_DURATION) == TOTAL // 2


def test_greedy_liar_gets_a_stated_part_and_the_floor_of_none():
    fleet = SimulatedFleet(7, 100)
    fleet.play(6)
    uneven(fleet, 0.6, fleet.names[1:])
    fleet.ask("n0", 10**9)
    liar = fleet.routers["n0"]
    liar.demands = lambda now: {LIMIT: Demand(10**9, 0)}
    fleet.play(20)
    own = TOTAL // 100
    assert fleet.usable("n0") <= own + MAX_LENDERS * (own // SINGLE_LEASE_DIVISOR)
    assert all(fleet.usable(name) >= own // FLOOR_DIVISOR for name in fleet.names)


def test_stranger_and_unknown_limit_are_lent_nothing():
    a, _, now = pair()
    assert not a.on_request(now, "c", LIMIT, LeaseRequest(1, 1000, 0, 1000, 0))
    assert not a.on_request(now, "b", "y", LeaseRequest(1, 1000, 0, 1000, 0))
    a.on_grant("c", LIMIT, LeaseGrant(1, 1000, LEASE_DURATION))
    assert a.usable(LIMIT, now) == TOTAL // 2
