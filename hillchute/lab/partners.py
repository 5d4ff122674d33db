"""What partners cost and get, measured in simulated time: moves of slots, time that a slot has no owner,
shares of the pool against those agreed.

    python -m hillchute.lab.partners --seed N --json

Owns the scripts and what is counted. Must never know how a router decides. One seed, one result.
"""

import argparse
import random
import sys
from collections.abc import Callable, Mapping
from statistics import quantiles

import orjson

from hillchute.coordination.quota_leases import Entitlement, QuotaLeases
from hillchute.decision.interface import Time
from hillchute.history.lease_transfer import LeaseTransfer
from hillchute.history.messages import ClaimRequest
from hillchute.history.records import COMPLETION_GRACE, ClaimId
from hillchute.history.replica import Replica
from hillchute.history.retention import RetentionPolicy
from hillchute.history.slot_placement import SLOTS, holders, slot_of
from hillchute.lab.partners_net import PATIENCE, SECOND, PartnersNet, crowd, founded, swing
from hillchute.partners.capacity_pool import minimum_allocation, router_allocations
from hillchute.partners.slot_allocation import allocate_slots, allocate_slots_by_load, count_moves
from hillchute.router.integrations.pool_quota import ENTITLEMENT_SETTLING_TIME

WHOLE = 1_000_000
TICK: Time = 2_000  # of the pool's simulation
KEEPS = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)

# ---- moves ----------------------------------------------------------------------------------------


def least_moves(held: tuple, shares: Mapping[str, int]) -> int:
    """By the rule of it: who gets less gives, and each slot that is given or nobody's moves once."""
    total = sum(shares.values())
    floors = {n: SLOTS * s // total for n, s in shares.items()}
    over = SLOTS - sum(floors.values())
    kept = sum(min(held.count(n), floors[n]) for n in shares)
    gain = sum(1 for n in shares if SLOTS * shares[n] % total and held.count(n) > floors[n])
    return SLOTS - kept - min(over, gain)


def moved(seed: int, times: int = 200) -> dict[str, object]:
    """Agreements one after another, partners that come and go among them; and the same by measured work."""
    chance, held, over, worst = random.Random(seed), (None,) * SLOTS, 0, 0.0
    by_count = by_work = 0
    for _ in range(times):
        some = chance.sample("abcdefgh", chance.randint(2, 8))
        shares = {name: chance.choice([0, *range(500, 5000)]) for name in some} | {some[0]: 1000}
        owners = allocate_slots(held, shares)
        over += count_moves(held, owners) - least_moves(held, shares)
        by_count += count_moves(held, owners)
        work = [int(1000 * chance.paretovariate(1.3)) for _ in range(SLOTS)]
        weighed = allocate_slots_by_load(owners, shares, work)
        by_work += count_moves(owners, weighed)
        total = sum(shares.values())
        for name, share in shares.items():
            mine = sum(w for w, owner in zip(work, weighed, strict=True) if owner == name)
            room = max(work) / sum(work)  # the heaviest slot can't be parted
            worst = max(worst, abs(mine / sum(work) - share / total) - room)
        held = owners
    return {
        "agreements": times,
        "moves": by_count,
        "moves_over_least": over,
        "moves_by_work": by_work,
        "work_off_at_most": round(max(0.0, worst), 4),
    }


# ---- time without an owner ------------------------------------------------------------------------


class LeaseWatch:
    """Notes at one replica how long leases move, and how long claims wait for runs under earlier leases."""

    def __init__(self, replica: Replica, gaps: list[Time], waited: list[Time]) -> None:
        self.replica, self.gaps, self.waited = replica, gaps, waited
        self.waits: dict[ClaimId, Time] = {}
        self.had_owner: set[int] = set()
        self.complete_unwatched, replica.leases.complete = replica.leases.complete, self.complete
        self.tick_unwatched, replica.leases.tick = replica.leases.tick, self.tick
        self.take_unwatched, replica.claims.take_claim = replica.claims.take_claim, self.take_claim

    def complete(self, number: int, transfer: LeaseTransfer) -> None:
        self.complete_unwatched(number, transfer)
        if number in self.had_owner:
            self.had_owner.remove(number)
            self.gaps.append(self.replica.context.now - transfer.began_at)

    def tick(self) -> None:
        before = {n for n, slot in enumerate(self.replica.slots.slots) if slot.lease is not None}
        self.tick_unwatched()
        self.had_owner |= before & self.replica.leases.transfers.keys()

    def take_claim(self, sender: str, claim: ClaimRequest) -> None:
        """What waits for something of the owner before, and for how long."""
        number, now = slot_of(claim.customer, claim.ordering_key), self.replica.context.now
        lease, about = self.replica.slots.slots[number].lease, claim.claim_id(sender)
        if lease is not None and self.replica.leases.is_earlier_running(
            claim.customer, claim.ordering_key, lease
        ):
            self.waits.setdefault(about, now)
        elif about in self.waits:
            self.waited.append(now - self.waits.pop(about))
        self.take_unwatched(sender, claim)


class Timed(PartnersNet):
    def __init__(self, *about: object, **faults: float) -> None:
        self.gaps: list[Time] = []
        self.waited_for: list[Time] = []
        super().__init__(*about, **faults)

    def new_replica(self, name: str, now: Time, living: Callable[[], dict[str, int]]) -> Replica:
        replica = super().new_replica(name, now, living)
        LeaseWatch(replica, self.gaps, self.waited_for)
        return replica


def unowned(seed: int, swings: int = 8) -> dict[str, object]:
    """Slots that move by new agreements under load: from when nobody leads until the new owner may."""
    net, chance = Timed(seed, 9, founded(copies=2, default=KEEPS)), random.Random(seed)
    net.agree()
    net.settled()
    net.agreed()
    for n in range(swings):
        swing(net, "abc"[n % 3], 6000, 2000)
        until = net.now + 12 * SECOND
        while net.now < until:
            crowd(net, chance, 2, 400)
        net.agreed()
    gaps = sorted(gap / 10 for gap in net.gaps)
    cuts = quantiles(gaps, n=100)
    return {
        "slots_moved": len(gaps),
        "queries": net.numbers,
        "unowned_ms_p50": round(cuts[49], 1),
        "unowned_ms_p99": round(cuts[98], 1),
        "unowned_ms_most": round(gaps[-1], 1),
        "waited_for_the_owner_before": len(net.waited_for),
        "waited_ms_most": round(max(net.waited_for, default=0) / 10, 1),
        "two_owners": net.rule["two owners"],
    }


def after_death(seed: int) -> dict[str, object]:
    """A router dies with runs out in slots that are then others': until those may lead their keys."""
    net = Timed(seed, 9, founded(copies=2, default=KEEPS))
    net.agree()
    net.settled()
    net.agreed()
    victims = net.partners["a"]
    for n in range(60):
        net.claim(victims[1], f"t{n}", f"k{n}", PATIENCE)
    net.post(victims[1])
    net.play(0.4)
    out = {k.record.ordering_key for replica in net.replicas.values() for k in replica.records.all_records()}
    net.kill(victims[1])
    died = net.now
    net.offer("a", 500)
    for partner in "bc":
        net.offer(partner, 7000)
    net.agreed()
    led, owners = {}, net.owners()
    first = {slot: holders(slot, net.replicas["n1"].views.view.members, 1)[0] for slot in range(SLOTS)}
    moved = [key for key in sorted(out) if owners[slot_of("", key)] != "a"]
    while net.now < died + 2 * COMPLETION_GRACE and len(led) < len(moved):
        net.advance(0.5)
        for key in set(moved) - led.keys():
            replica, slot = net.replicas[first[slot_of("", key)]], slot_of("", key)
            if not replica.leases.is_earlier_running("", key, replica.slots.slots[slot].lease):
                led[key] = net.now - died
    waits = sorted(led.values())
    return {
        "keys_out": len(out),
        "moved": len(moved),
        "led_again": len(led),
        "after_death_s": [round(waits[0] / SECOND, 1), round(waits[-1] / SECOND, 1)] if waits else [],
    }


# ---- shares of the pool -----------------------------------------------------------------------------


class Pool:
    """Routers' parts of the pool: quotas alone, that hear each other at once, and what each wants."""

    def __init__(self, shares: Mapping[str, int], routers: Mapping[str, list[str]], seed: int = 1) -> None:
        self.now, self.routers = 0, routers
        self.names = [name for some in routers.values() for name in some]
        self.whose = {name: partner for partner, some in routers.items() for name in some}
        self.quotas = {
            n: QuotaLeases(n, self.names, {"pool": WHOLE}, seed + i, 0) for i, n in enumerate(self.names)
        }
        self.confined: set[str] = set()
        self.told_of = dict.fromkeys(self.names, shares)
        self.wants = dict.fromkeys(self.names, 0)
        self.most = 0  # units that all together might use at any instant
        self.tell()

    def tell(self) -> None:
        for name, quotas in self.quotas.items():
            home = router_allocations(WHOLE, self.told_of[name], self.routers)[name]
            ours, least = self.routers[self.whose[name]], minimum_allocation(WHOLE, len(self.names))
            entitlement = Entitlement(
                units=home,
                floor=least,
                group=frozenset(ours),
                settling_time=ENTITLEMENT_SETTLING_TIME,
                confined=name in self.confined,
            )
            quotas.set_entitlement(self.now, "pool", entitlement)

    def play(self, seconds: float) -> None:
        for _ in range(int(seconds * SECOND / TICK)):
            self.step()

    def step(self) -> None:
        self.now += TICK
        self.tell()
        for name, quotas in self.quotas.items():
            quotas.set_requested("pool", self.wants[name])
        said = {name: quotas.demands(self.now) for name, quotas in self.quotas.items()}
        for name, wants in said.items():
            for other, quotas in self.quotas.items():
                if other != name:
                    quotas.on_demands(self.now, name, wants)
        words = [(n, w) for n, q in self.quotas.items() for w in q.due_requests(self.now, self.names)]
        for name, word in words:
            for back in self.quotas[word.recipient].on_request(self.now, name, word.limit, word.body):
                self.quotas[name].on_grant(word.recipient, back.limit, back.body)
        self.most = max(self.most, sum(self.may_use(name) for name in self.names))

    def may_use(self, name: str) -> int:
        return self.quotas[name].usable("pool", self.now)

    def of(self, partner: str) -> int:
        return sum(self.may_use(name) for name in self.routers[partner])

    def used(self, partner: str) -> int:
        return sum(min(self.wants[name], self.may_use(name)) for name in self.routers[partner])


def shared(seed: int, seconds: float = 600.0, each: int = 8) -> dict[str, object]:
    """Ten minutes in which each router's wants rise and fall by themselves; a partner is counted while all
    want their shares or more, and one that wants less for how soon it has its own back."""
    chance = random.Random(seed)
    routers = {p: [f"{p}{n}" for n in range(each)] for p in "abc"}
    shares = {"a": 5000, "b": 3000, "c": 2000}
    pool, mood = Pool(shares, routers, seed), dict.fromkeys(routers, 1.5)
    pool.play(15)
    used, counted, instants, back = dict.fromkeys(routers, 0), 0, 0, []
    low: dict[str, Time] = {}  # routers that want all that is theirs, and have lent some of it to others
    began = pool.now
    while pool.now < began + seconds * SECOND:
        if chance.random() < 0.004:
            mood[chance.choice("abc")] = chance.choice([0.3, 1.5, 1.5, 3.0])
        for partner, some in routers.items():
            for name in some:
                home = WHOLE * shares[partner] // 10_000 // each
                want = pool.wants[name] or home
                target = home * mood[partner] * chance.choice([0.2, 1.0, 1.8])
                pool.wants[name] = int(want + 0.1 * (target - want))
        pool.step()
        instants += 1
        asked = {p: sum(pool.wants[n] for n in some) for p, some in routers.items()}
        full = [p for p in routers if asked[p] >= WHOLE * shares[p] / 10_000]
        for name, quotas in pool.quotas.items():
            limit = quotas.limits["pool"]
            lent = sum(
                lent.outstanding(pool.now) for who, lent in limit.lent.items() if who not in limit.group
            )
            if lent and limit.requested >= limit.entitlement:
                low.setdefault(name, pool.now)
            elif name in low:
                back.append(pool.now - low.pop(name))
        if len(full) == len(routers):
            counted += 1
            for partner in routers:
                used[partner] += pool.used(partner)
    total = sum(used.values())
    return {
        "instants": instants,
        "all_want_theirs": counted,
        "agreed": {p: s / 10_000 for p, s in shares.items()},
        "used": {p: round(u / total, 4) for p, u in used.items()},
        "off_at_most": round(max(abs(used[p] / total - shares[p] / 10_000) for p in routers), 4),
        "back_within_s_most": round(max(back, default=0) / SECOND, 1),
        "whole_at_most": round(pool.most / WHOLE, 4),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m hillchute.lab.partners", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    found = {
        "moves": moved(asked.seed),
        "planned": unowned(asked.seed),
        "after_death": after_death(asked.seed),
        "pool": shared(asked.seed),
    }
    if asked.json:
        sys.stdout.buffer.write(orjson.dumps(found, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    else:
        for what, figures in found.items():
            print(f"{what}: {figures}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
