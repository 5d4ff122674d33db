"""Measures partners in simulated time: moves of slots, time without a slot owner, shares of the pool.

    python -m hillchute.lab.partners --seed N --json

The results are determined by the seed and are independent of how a router decides.
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
from hillchute.lab.partners_net import (
    CLIENT_TIMEOUT,
    SECOND,
    PartnersNet,
    initial_policies,
    offer_majority,
    send_random_queries,
)
from hillchute.partners.capacity_pool import minimum_allocation, router_allocations
from hillchute.partners.slot_allocation import allocate_slots, allocate_slots_by_load, count_moves
from hillchute.router.integrations.pool_quota import ENTITLEMENT_SETTLING_TIME

TOTAL_UNITS = 1_000_000
POOL_TICK: Time = 2_000  # step of the pool simulation
RETENTION = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)

# ---- moves ----------------------------------------------------------------------------------------


def minimum_moves(owners: tuple, shares: Mapping[str, int]) -> int:
    """Returns the minimum of moves: only surplus slots and slots without an owner move, each once."""
    total = sum(shares.values())
    floors = {n: SLOTS * s // total for n, s in shares.items()}
    remainder = SLOTS - sum(floors.values())
    kept = sum(min(owners.count(n), floors[n]) for n in shares)
    gain = sum(1 for n in shares if SLOTS * shares[n] % total and owners.count(n) > floors[n])
    return SLOTS - kept - min(remainder, gain)


def measure_moves(seed: int, times: int = 200) -> dict[str, object]:
    """Counts moves over successive agreements of changing partners, by slot count and by load."""
    rng, current_owners, excess_moves, max_deviation = random.Random(seed), (None,) * SLOTS, 0, 0.0
    by_count = by_work = 0
    for _ in range(times):
        partners = rng.sample("abcdefgh", rng.randint(2, 8))
        shares = {name: rng.choice([0, *range(500, 5000)]) for name in partners} | {partners[0]: 1000}
        owners = allocate_slots(current_owners, shares)
        excess_moves += count_moves(current_owners, owners) - minimum_moves(current_owners, shares)
        by_count += count_moves(current_owners, owners)
        work = [int(1000 * rng.paretovariate(1.3)) for _ in range(SLOTS)]
        owners_by_load = allocate_slots_by_load(owners, shares, work)
        by_work += count_moves(owners, owners_by_load)
        total = sum(shares.values())
        for name, share in shares.items():
            owned_work = sum(w for w, owner in zip(work, owners_by_load, strict=True) if owner == name)
            tolerance = max(work) / sum(work)  # the heaviest slot cannot be divided
            max_deviation = max(max_deviation, abs(owned_work / sum(work) - share / total) - tolerance)
        current_owners = owners
    return {
        "agreements": times,
        "moves": by_count,
        "moves_over_least": excess_moves,
        "moves_by_work": by_work,
        "work_off_at_most": round(max(0.0, max_deviation), 4),
    }


# ---- time without an owner ------------------------------------------------------------------------


class LeaseWatch:
    """Records, at one replica, how long leases take to move and claims wait for earlier owners' runs."""

    def __init__(self, replica: Replica, gaps: list[Time], claim_waits: list[Time]) -> None:
        self.replica, self.gaps, self.claim_waits = replica, gaps, claim_waits
        self.waits: dict[ClaimId, Time] = {}
        self.had_owner: set[int] = set()
        self.original_complete, replica.leases.complete = replica.leases.complete, self.complete
        self.original_tick, replica.leases.tick = replica.leases.tick, self.tick
        self.original_handle_claim, replica.claims.handle_claim = (
            replica.claims.handle_claim,
            self.handle_claim,
        )

    def complete(self, number: int, transfer: LeaseTransfer) -> None:
        self.original_complete(number, transfer)
        if number in self.had_owner:
            self.had_owner.remove(number)
            self.gaps.append(self.replica.context.now - transfer.began_at)

    def tick(self) -> None:
        before = {n for n, slot in enumerate(self.replica.slots.slots) if slot.lease is not None}
        self.original_tick()
        self.had_owner |= before & self.replica.leases.transfers.keys()

    def handle_claim(self, sender: str, claim: ClaimRequest) -> None:
        """Measures how long a claim waits for a run under the lease of an earlier owner."""
        number, now = slot_of(claim.customer, claim.ordering_key), self.replica.context.now
        lease, claim_id = self.replica.slots.slots[number].lease, claim.claim_id(sender)
        if lease is not None and self.replica.leases.is_earlier_running(
            claim.customer, claim.ordering_key, lease
        ):
            self.waits.setdefault(claim_id, now)
        elif claim_id in self.waits:
            self.claim_waits.append(now - self.waits.pop(claim_id))
        self.original_handle_claim(sender, claim)


class RecordingNet(PartnersNet):
    """A network that records lease moves and waiting claims at all replicas."""

    def __init__(self, *arguments: object, **faults: float) -> None:
        self.gaps: list[Time] = []
        self.claim_waits: list[Time] = []
        super().__init__(*arguments, **faults)

    def new_replica(self, name: str, now: Time, live_routers: Callable[[], dict[str, int]]) -> Replica:
        replica = super().new_replica(name, now, live_routers)
        LeaseWatch(replica, self.gaps, self.claim_waits)
        return replica


def measure_unowned_time(seed: int, rounds: int = 8) -> dict[str, object]:
    """Measures, under load, the time between a slot's loss of its owner and the new owner's lease."""
    net, rng = RecordingNet(seed, 9, initial_policies(copies=2, default=RETENTION)), random.Random(seed)
    net.make_offers()
    net.wait_until_settled()
    net.wait_until_agreed()
    for n in range(rounds):
        offer_majority(net, "abc"[n % 3], 6000, 2000)
        until = net.now + 12 * SECOND
        while net.now < until:
            send_random_queries(net, rng, 2, 400)
        net.wait_until_agreed()
    gaps = sorted(gap / 10 for gap in net.gaps)
    cuts = quantiles(gaps, n=100)
    return {
        "slots_moved": len(gaps),
        "queries": net.query_count,
        "unowned_ms_p50": round(cuts[49], 1),
        "unowned_ms_p99": round(cuts[98], 1),
        "unowned_ms_most": round(gaps[-1], 1),
        "waited_for_the_owner_before": len(net.claim_waits),
        "waited_ms_most": round(max(net.claim_waits, default=0) / 10, 1),
        "two_owners": net.broken_rules["two owners"],
    }


def measure_blocked_keys(seed: int) -> dict[str, object]:
    """Measures how long keys of a dead router's runs stay blocked after their slots change owners."""
    net = RecordingNet(seed, 9, initial_policies(copies=2, default=RETENTION))
    net.make_offers()
    net.wait_until_settled()
    net.wait_until_agreed()
    victims = net.partners["a"]
    for n in range(60):
        net.claim(victims[1], f"t{n}", f"k{n}", CLIENT_TIMEOUT)
    net.post(victims[1])
    net.play(0.4)
    keys_out = {
        k.record.ordering_key for replica in net.replicas.values() for k in replica.records.all_records()
    }
    net.kill(victims[1])
    died_at = net.now
    net.offer("a", 500)
    for partner in "bc":
        net.offer(partner, 7000)
    net.wait_until_agreed()
    unblocked_at, owners = {}, net.owners()
    first_holders = {
        slot: holders(slot, net.replicas["n1"].views.view.members, 1)[0] for slot in range(SLOTS)
    }
    moved = [key for key in sorted(keys_out) if owners[slot_of("", key)] != "a"]
    while net.now < died_at + 2 * COMPLETION_GRACE and len(unblocked_at) < len(moved):
        net.advance(0.5)
        for key in set(moved) - unblocked_at.keys():
            replica, slot = net.replicas[first_holders[slot_of("", key)]], slot_of("", key)
            if not replica.leases.is_earlier_running("", key, replica.slots.slots[slot].lease):
                unblocked_at[key] = net.now - died_at
    waits = sorted(unblocked_at.values())
    return {
        "keys_out": len(keys_out),
        "moved": len(moved),
        "led_again": len(unblocked_at),
        "after_death_s": [round(waits[0] / SECOND, 1), round(waits[-1] / SECOND, 1)] if waits else [],
    }


# ---- shares of the pool -----------------------------------------------------------------------------


class Pool:
    """The quotas and demands of all routers in one pool, with instant messages between them."""

    def __init__(self, shares: Mapping[str, int], routers: Mapping[str, list[str]], seed: int = 1) -> None:
        self.now, self.routers = 0, routers
        self.names = [name for members in routers.values() for name in members]
        self.partner_of = {name: partner for partner, members in routers.items() for name in members}
        self.quotas = {
            n: QuotaLeases(n, self.names, {"pool": TOTAL_UNITS}, seed + i, 0)
            for i, n in enumerate(self.names)
        }
        self.confined: set[str] = set()
        self.known_shares = dict.fromkeys(self.names, shares)
        self.requested_units = dict.fromkeys(self.names, 0)
        self.max_usable = 0  # highest number of units that all routers together could use at an instant
        self.update_entitlements()

    def update_entitlements(self) -> None:
        for name, quotas in self.quotas.items():
            allocation = router_allocations(TOTAL_UNITS, self.known_shares[name], self.routers)[name]
            group, floor = (
                self.routers[self.partner_of[name]],
                minimum_allocation(TOTAL_UNITS, len(self.names)),
            )
            entitlement = Entitlement(
                units=allocation,
                floor=floor,
                group=frozenset(group),
                settling_time=ENTITLEMENT_SETTLING_TIME,
                confined=name in self.confined,
            )
            quotas.set_entitlement(self.now, "pool", entitlement)

    def play(self, seconds: float) -> None:
        for _ in range(int(seconds * SECOND / POOL_TICK)):
            self.step()

    def step(self) -> None:
        self.now += POOL_TICK
        self.update_entitlements()
        for name, quotas in self.quotas.items():
            quotas.set_requested("pool", self.requested_units[name])
        demands = {name: quotas.demands(self.now) for name, quotas in self.quotas.items()}
        for name, demand in demands.items():
            for other, quotas in self.quotas.items():
                if other != name:
                    quotas.on_demands(self.now, name, demand)
        requests = [(n, w) for n, q in self.quotas.items() for w in q.due_requests(self.now, self.names)]
        for name, request in requests:
            for grant in self.quotas[request.recipient].on_request(
                self.now, name, request.limit, request.body
            ):
                self.quotas[name].on_grant(request.recipient, grant.limit, grant.body)
        self.max_usable = max(self.max_usable, sum(self.usable_units(name) for name in self.names))

    def usable_units(self, name: str) -> int:
        return self.quotas[name].usable("pool", self.now)

    def usable_units_of(self, partner: str) -> int:
        return sum(self.usable_units(name) for name in self.routers[partner])

    def used(self, partner: str) -> int:
        return sum(min(self.requested_units[name], self.usable_units(name)) for name in self.routers[partner])


def measure_pool_shares(seed: int, seconds: float = 600.0, each: int = 8) -> dict[str, object]:
    """Compares used with agreed shares while the demand of each router varies independently.

    Usage counts only while all partners want at least their shares. Also measures how soon a router that has
    lent units outside of its group gets them back once it needs them.
    """
    rng = random.Random(seed)
    routers = {p: [f"{p}{n}" for n in range(each)] for p in "abc"}
    shares = {"a": 5000, "b": 3000, "c": 2000}
    pool, demand_factor = Pool(shares, routers, seed), dict.fromkeys(routers, 1.5)
    pool.play(15)
    used, counted_steps, steps, recovery_times = dict.fromkeys(routers, 0), 0, 0, []
    short_since: dict[str, Time] = {}  # routers that need all of their units and have lent some to others
    began = pool.now
    while pool.now < began + seconds * SECOND:
        if rng.random() < 0.004:
            demand_factor[rng.choice("abc")] = rng.choice([0.3, 1.5, 1.5, 3.0])
        for partner, members in routers.items():
            for name in members:
                allocation = TOTAL_UNITS * shares[partner] // 10_000 // each
                requested = pool.requested_units[name] or allocation
                target = allocation * demand_factor[partner] * rng.choice([0.2, 1.0, 1.8])
                pool.requested_units[name] = int(requested + 0.1 * (target - requested))
        pool.step()
        steps += 1
        requested_by_partner = {
            p: sum(pool.requested_units[n] for n in members) for p, members in routers.items()
        }
        saturated = [p for p in routers if requested_by_partner[p] >= TOTAL_UNITS * shares[p] / 10_000]
        for name, quotas in pool.quotas.items():
            limit = quotas.limits["pool"]
            lent = sum(
                lent.outstanding(pool.now)
                for borrower, lent in limit.lent.items()
                if borrower not in limit.group
            )
            if lent and limit.requested >= limit.entitlement:
                short_since.setdefault(name, pool.now)
            elif name in short_since:
                recovery_times.append(pool.now - short_since.pop(name))
        if len(saturated) == len(routers):
            counted_steps += 1
            for partner in routers:
                used[partner] += pool.used(partner)
    total = sum(used.values())
    return {
        "instants": steps,
        "all_want_theirs": counted_steps,
        "agreed": {p: s / 10_000 for p, s in shares.items()},
        "used": {p: round(u / total, 4) for p, u in used.items()},
        "off_at_most": round(max(abs(used[p] / total - shares[p] / 10_000) for p in routers), 4),
        "back_within_s_most": round(max(recovery_times, default=0) / SECOND, 1),
        "whole_at_most": round(pool.max_usable / TOTAL_UNITS, 4),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m hillchute.lab.partners", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    results = {
        "moves": measure_moves(options.seed),
        "planned": measure_unowned_time(options.seed),
        "after_death": measure_blocked_keys(options.seed),
        "pool": measure_pool_shares(options.seed),
    }
    if options.json:
        sys.stdout.buffer.write(orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    else:
        for name, figures in results.items():
            print(f"{name}: {figures}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
