"""Parts of a whole: at every instant and under every split they add up to no more, and wander to work."""

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

WHOLE = 1_000_000
STEP = 1_000
X = "x"


class Net:
    """Quotas of many routers over a net that loses, repeats, delays and reorders; each router has a clock of
    its own that may be off by one in fifty, stands still for a while, dies and comes back forgetting all."""

    def __init__(self, seed, count, loss=0.0, twice=0.0, late=0, drift=0.0):
        self.chance, self.now = random.Random(seed), 0
        self.loss, self.twice, self.late = loss, twice, late
        self.names = [f"n{n}" for n in range(count)]
        self.rates = {name: 1 + self.chance.uniform(-drift, drift) for name in self.names}
        self.routers, self.asked = {}, dict.fromkeys(self.names, 0)
        self.line, self.order = [], 0
        self.sides = dict.fromkeys(self.names, 0)
        self.stopped = set()
        self.words = 0
        for name in self.names:
            self.start(name)

    def clock(self, name):
        return 10**12 + int(self.now * self.rates[name])

    def start(self, name):
        seed = self.chance.getrandbits(20)
        self.routers[name] = QuotaLeases(name, self.names, {X: WHOLE}, seed, self.clock(name))
        self.routers[name].set_requested(X, self.asked[name])

    def ask(self, name, units):
        self.asked[name] = units
        if name in self.routers:
            self.routers[name].set_requested(X, units)

    def post(self, sender, words):
        for word in words:
            self.words += 1
            for _ in range(1 + (self.chance.random() < self.twice)):
                if self.chance.random() >= self.loss:
                    self.order += 1
                    at = self.now + STEP + self.chance.randint(0, self.late)
                    self.line.append((at, self.order, sender, word))

    def usable(self, name):
        return self.routers[name].usable(X, self.clock(name))

    def sum(self):
        """What all count on, those that stand still too: they go on with it when they wake."""
        return sum(self.usable(name) for name in self.routers)

    def step(self):
        self.now += STEP
        due = sorted(
            entry for entry in self.line if entry[0] <= self.now and entry[3].recipient not in self.stopped
        )
        self.line = [entry for entry in self.line if entry not in due]
        for _, _, sender, word in due:
            router = self.routers.get(word.recipient)
            if router is None or self.sides[sender] != self.sides[word.recipient]:
                continue
            now = self.clock(word.recipient)
            if isinstance(word.body, LeaseRequest):
                self.post(word.recipient, router.on_request(now, sender, word.limit, word.body))
            else:
                router.on_grant(sender, word.limit, word.body)
        for name, router in self.routers.items():
            if name in self.stopped:
                continue
            for other in self.chance.sample(self.names, min(6, len(self.names))):
                if other in self.routers and other != name and self.sides[other] == self.sides[name]:
                    self.routers[other].on_demands(
                        self.clock(other), name, self.routers[name].demands(self.clock(name))
                    )
            self.post(name, router.due_requests(self.clock(name), self.names))
        assert self.sum() <= WHOLE

    def play(self, seconds):
        for _ in range(int(seconds * 10_000 / STEP)):
            self.step()

    def jain(self, names=None):
        names = names or [name for name in self.routers if self.asked[name]]
        shares = [min(1.0, self.usable(name) / self.asked[name]) for name in names]
        return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares))


def uneven(net, load, names=None):
    names = names or net.names
    weights = {name: net.chance.lognormvariate(0, 0.8) for name in names}
    for name, weight in weights.items():
        net.ask(name, int(load * WHOLE * weight / sum(weights.values())))


@given(st.integers(0, 10**9), st.integers(1, 300))
def test_homes_add_up_to_the_whole_and_differ_by_one(whole, count):
    names = [f"n{n}" for n in range(count)]
    homes = [equal_entitlement(whole, names, name) for name in names]
    assert sum(homes) == whole and max(homes) - min(homes) <= 1
    assert equal_entitlement(whole, names, "nobody") == 0


@settings(max_examples=200, deadline=None)
@given(*[st.integers(0, 10**6)] * 4)
def test_what_is_moved_makes_shares_alike_and_never_more_than_is_wanted(asked, usable, others, theirs):
    moved = equalizing_units(Demand(asked, usable), Demand(others, theirs))
    assert 0 <= moved <= max(0, asked - usable)
    if moved and others and moved < asked - usable:
        mine, left = (usable + moved) / asked, (theirs - moved) / others
        assert mine <= left + 1 / min(asked, others)


@pytest.mark.parametrize("seed, count", [(1, 5), (2, 24), (3, 60)])
def test_sum_never_passes_the_whole_whatever_fails(seed, count):
    """Loss, repeats, lateness past a loan's span, clocks that are off, splits, pauses, deaths: `step` holds
    the sum at each tenth of a second."""
    net = Net(seed, count, loss=0.2, twice=0.2, late=LEASE_DURATION + LEASE_DURATION // 2, drift=0.02)
    for _ in range(14):
        uneven(net, net.chance.choice((0.3, 0.9, 3.0)))
        match net.chance.randrange(4):
            case 0:
                net.sides = {name: net.chance.randrange(3) for name in net.names}
            case 1:
                net.sides = dict.fromkeys(net.names, 0)
            case 2:
                net.stopped = set(net.chance.sample(net.names, count // 3))
            case 3:
                for name in net.chance.sample(net.names, count // 2):
                    net.routers.pop(name, None)
        net.play(net.chance.choice((0.5, 1.5, 4.5)))
        if net.chance.random() < 0.5:
            for name in net.names:
                if name not in net.routers:
                    net.start(name)
            net.stopped = set()


def test_units_wander_to_where_work_is_and_back():
    net = Net(4, 40)
    net.play(5)
    for name in net.names[:4]:
        net.ask(name, WHOLE // 10)  # four homes each, and the others want nothing
    net.play(6)
    assert all(net.usable(name) > 0.9 * WHOLE // 10 for name in net.names[:4])
    for name in net.names[:4]:
        net.ask(name, 0)
    for name in net.names[4:8]:
        net.ask(name, WHOLE // 10)
    net.play(6)
    assert all(net.usable(name) > 0.9 * WHOLE // 10 for name in net.names[4:8])


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.7, 1.3])
def test_shares_are_alike_over_routers_while_the_fleet_doubles_and_halves(seed, load):
    net = Net(seed, 60, loss=0.05, twice=0.05, late=200)
    small, large = net.names[:30], net.names
    net.names = small

    def renamed(names):
        net.names = list(names)
        for name in [name for name in net.routers if name not in names]:
            del net.routers[name]  # they have ended before the others are told
        for name, router in net.routers.items():
            router.set_router_names(net.clock(name), names)
        net.play(LENDER_HOLD / 10_000)  # what is lent of homes that are smaller now has run out
        for name in names:
            if name not in net.routers:
                net.start(name)
        uneven(net, load)

    renamed(small)
    net.play(10)
    assert net.jain() > 0.95
    renamed(large)
    net.play(10)
    assert net.jain() > 0.95
    renamed(small)
    net.play(10)
    assert net.jain() > 0.95


def test_router_that_is_cut_off_falls_back_to_its_own_and_restarted_to_its_floor():
    net = Net(5, 10)
    net.play(6)
    net.ask("n0", WHOLE // 2)
    net.play(6)
    own = WHOLE // 10
    assert net.usable("n0") > 4 * own
    net.sides["n0"] = 1
    net.play(LEASE_DURATION / 10_000)
    assert net.usable("n0") == own
    net.start("n0")
    assert net.usable("n0") == own // FLOOR_DIVISOR
    net.play(LENDER_HOLD / 10_000 + 0.1)
    assert net.usable("n0") == own


def test_paused_router_counts_on_no_loan_that_ended_while_it_stood_still():
    net = Net(6, 10)
    net.play(6)
    net.ask("n0", WHOLE // 2)
    net.play(6)
    net.stopped = {"n0"}
    net.play(LEASE_DURATION / 10_000 + 0.5)
    assert net.usable("n0") <= WHOLE // 10  # asked at the moment that it wakes


def pair(now=10**6):
    a, b = (QuotaLeases(me, ["a", "b"], {X: WHOLE}, 1, now - 2 * LEASE_DURATION) for me in "ab")
    return a, b, now


def test_grant_of_an_earlier_ask_that_comes_late_does_not_count():
    a, b, now = pair()
    a.set_requested(X, 700_000)
    a.on_demands(now, "b", b.demands(now))
    (first,) = a.due_requests(now, ["b"])
    (late,) = b.on_request(now, "a", X, first.body)
    now += RENEWAL_INTERVAL
    (second,) = a.due_requests(now, ["b"])
    a.on_grant("b", X, late.body)
    assert a.usable(X, now) == WHOLE // 2
    (grant,) = b.on_request(now, "a", X, second.body)
    a.on_grant("b", X, grant.body)
    assert WHOLE // 2 < a.usable(X, now) <= 700_000
    assert not b.on_request(now, "a", X, first.body)  # an ask that comes late changes nothing either


def test_lender_that_gives_more_or_for_longer_than_asked_is_held_to_the_ask():
    a, b, now = pair()
    a.set_requested(X, 600_000)
    a.on_demands(now, "b", b.demands(now))
    (ask,) = a.due_requests(now, ["b"])
    a.on_grant("b", X, LeaseGrant(ask.body.number, WHOLE, 100 * LEASE_DURATION))
    assert a.usable(X, now) <= 600_000
    assert a.usable(X, now + LEASE_DURATION) == WHOLE // 2


def test_greedy_liar_gets_a_stated_part_and_the_floor_of_none():
    net = Net(7, 100)
    net.play(6)
    uneven(net, 0.6, net.names[1:])
    net.ask("n0", 10**9)
    liar = net.routers["n0"]
    liar.demands = lambda now: {X: Demand(10**9, 0)}
    net.play(20)
    own = WHOLE // 100
    assert net.usable("n0") <= own + MAX_LENDERS * (own // SINGLE_LEASE_DIVISOR)
    assert all(net.usable(name) >= own // FLOOR_DIVISOR for name in net.names)


def test_stranger_and_unknown_limit_are_lent_nothing():
    a, _, now = pair()
    assert not a.on_request(now, "c", X, LeaseRequest(1, 1000, 0, 1000, 0))
    assert not a.on_request(now, "b", "y", LeaseRequest(1, 1000, 0, 1000, 0))
    a.on_grant("c", X, LeaseGrant(1, 1000, LEASE_DURATION))
    assert a.usable(X, now) == WHOLE // 2
