"""Simulates routers of several partners: offers and agreements, ownership leases of slots, forwarded queries.

Extends the network, clients, engines and faults of history_net by the partners, their signers and journals. A
broken rule is recognised only by what clients and engines observed, independent of how a router decides.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from hillchute.decision.interface import Time
from hillchute.errors import InvalidAgreementError, InvalidDatagramError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.codec import decode as history_decode
from hillchute.history.codec import encode as history_encode
from hillchute.history.messages import Message
from hillchute.history.own_claims import KeyedQuery
from hillchute.history.records import RecordState
from hillchute.history.replica import Replica
from hillchute.history.replica_context import Membership
from hillchute.history.retention import RetentionPolicies
from hillchute.history.slot_placement import SLOTS, holders
from hillchute.lab import history_net
from hillchute.lab.history_net import CLIENT_TIMEOUT, EPOCH, SECOND, STEP, HistoryNet, initial_policies
from hillchute.partners import codec
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.forwarding import QueryForwarder
from hillchute.partners.messages import AgreementMessage, ForwardOutcome, ForwardQuery, PartnerMessage
from hillchute.partners.negotiation import AgreementProtocol, PartnerMembership
from hillchute.partners.offers import SHARE_TOTAL, Offer
from hillchute.partners.signatures import Verify, ed25519_signer, ed25519_verifier
from hillchute.router.request_rules import TABLE_GROUP_PREFIX

HISTORY, PARTNERS = b"h", b"p"  # prefix of a message, in place of the datagrams' payload kinds
YEAR = 365 * 86_400 * SECOND
# Every other verdict gives REJECTED.
OUTCOME_BY_VERDICT = {
    ClaimDecision.REPLAY: ForwardOutcome.SERVED,
    ClaimDecision.FAIL: ForwardOutcome.FAILED,
}
# Every other state gives FAILED.
OUTCOME_BY_STATE = {
    RecordState.SERVED: ForwardOutcome.SERVED,
    RecordState.NOT_RUN: ForwardOutcome.REJECTED,
}
# A client must have its answer this long after its time-out: a step, and the end of a suspension.
ANSWER_GRACE: Time = 2 * SECOND


def private_key_bytes(partner: str) -> bytes:
    """Returns a partner's fixed Ed25519 private key."""
    return partner.encode().ljust(32, b"-")


def public_key_bytes(partner: str) -> bytes:
    """Returns a partner's Ed25519 public key."""
    return Ed25519PrivateKey.from_private_bytes(private_key_bytes(partner)).public_key().public_bytes_raw()


class PartnersNet(HistoryNet):
    """The network with its routers assigned round-robin to the partners."""

    def __init__(
        self, seed: int, count: int, policies: RetentionPolicies, partners: str = "abc", **faults: float
    ) -> None:
        names = [f"n{n}" for n in range(count)]
        self.partners = {p: names[n :: len(partners)] for n, p in enumerate(partners)}
        self.partner_of = {name: p for p, members in self.partners.items() for name in members}
        self.protocols: dict[str, AgreementProtocol] = {}
        self.forwarders: dict[str, QueryForwarder] = {}
        self.journals: dict[str, dict[int, bytes]] = defaultdict(dict)  # by partner; survive restarts
        self.offers: dict[str, Offer] = {}
        self.check: Verify = ed25519_verifier({p: public_key_bytes(p) for p in self.partners})
        # By client query: router, incarnation, time, time-out, number of answers.
        self.client_queries: dict[int, list] = {}
        self.query_by_claim: dict[tuple[str, int, int], int] = {}  # client query by claim
        # By forwarded query: client query and claim number.
        self.claim_by_forwarded: dict[tuple[str, int, int], tuple[int, int]] = {}
        # The last client query that ran, by router, incarnation and key.
        self.last_run: dict[tuple[str, int, str], int] = {}
        self.query_by_forwarded: dict[tuple[str, int, int], int] = {}  # client query of every forwarded query
        self.session_by_claim: dict[tuple[str, int, int], int] = {}  # by claim of an incoming forwarded query
        # By key: start, end, partner.
        self.coordinated_runs: dict[str, list[tuple[Time, Time, str]]] = defaultdict(list)
        self.executed_queries: set[int] = set()  # client queries that ran
        self.rejected_queries: set[int] = set()  # client queries that were rejected
        self.forwarding_counts: Counter[str] = Counter()
        self.query_count = 0
        super().__init__(seed, count, policies, **faults)

    # ---- routers ------------------------------------------------------------------------------------

    def new_replica(self, name: str, now: Time, live_routers: Callable[[], dict[str, int]]) -> Replica:
        incarnation, partner = self.incarnations[name], self.partner_of[name]
        protocol = AgreementProtocol(
            PartnerMembership(name, partner, self.partners, self.check),
            self.seed,
            now,
            self.make_signer(name),
        )
        self.protocols[name] = protocol
        if protocol.signer is not None and partner in self.offers:
            self.publish_offer(name, self.offers[partner])

        def has_ended(other: str, other_incarnation: int) -> bool:
            return live_routers().get(other) != other_incarnation

        self.forwarders[name] = QueryForwarder(name, incarnation, live_routers, has_ended)
        membership = Membership(name, incarnation, self.names, live_routers)
        return Replica(membership, self.policies, now, agreement=protocol.ownership)

    def make_signer(self, name: str) -> AgreementSigner | None:
        partner = self.partner_of[name]
        if name != self.partners[partner][0]:
            return None
        journal = self.journals[partner]

        def record(number: int, digest: bytes) -> bool:
            journal[number] = digest
            return True

        return AgreementSigner(partner, ed25519_signer(private_key_bytes(partner)), record, dict(journal))

    def kill(self, name: str) -> None:
        for kept in (self.protocols, self.forwarders):
            kept.pop(name, None)
        for kept in (self.query_by_claim, self.claim_by_forwarded, self.session_by_claim):
            for claim in [claim for claim in kept if claim[0] == name]:
                del kept[claim]
        self.client_queries = {
            client_query: entry for client_query, entry in self.client_queries.items() if entry[0] != name
        }
        super().kill(name)

    def offer(
        self, partner: str, want: int, least: int = 500, most: int = SHARE_TOTAL, capacity: int = 100
    ) -> None:
        """Makes an offer of a partner at its signing router; the offer survives restarts."""
        revision = self.offers[partner].revision + 1 if partner in self.offers else 1
        ends_at = EPOCH + YEAR
        offer = Offer(
            partner=partner,
            revision=revision,
            capacity=100,
            desired_share=want,
            minimum_share=least,
            maximum_share=most,
            starts_at=0,
            ends_at=ends_at,
            grace_period=5 * SECOND,
            notice_period=10 * SECOND,
        )
        self.offers[partner] = offer
        name = self.partners[partner][0]
        if name in self.protocols and name not in self.suspended:
            self.publish_offer(name, offer)

    def publish_offer(self, name: str, offer: Offer) -> None:
        try:
            self.protocols[name].make_offer(self.clock(name), offer)
        except InvalidAgreementError:
            self.forwarding_counts["offers rejected"] += 1

    def make_offers(self, **wants: int) -> None:
        for partner in self.partners:
            self.offer(partner, wants.get(partner, SHARE_TOTAL // len(self.partners)))

    # ---- the network --------------------------------------------------------------------------------

    def encode_message(self, message: Message | PartnerMessage) -> bytes:
        if isinstance(message, PartnerMessage):
            return PARTNERS + codec.encode(message)
        return HISTORY + history_encode(message)

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        if to in self.suspended:
            self.suspended[to].append((sender, data))
            return
        if to not in self.replicas:
            return
        now = self.clock(to)
        if data[:1] == HISTORY:
            self.replicas[to].receive(now, sender, history_decode(data[1:], sender))
        elif data[:1] == PARTNERS:
            message = codec.decode(data[1:], sender)
            if isinstance(message, AgreementMessage):
                self.protocols[to].receive(now, sender, message)
            else:
                self.forwarders[to].receive(now, sender, message)
        else:
            raise InvalidDatagramError("unknown message prefix", sender)
        self.post(to)

    def tick(self, name: str) -> None:
        now = self.clock(name)
        self.protocols[name].tick(now, self.live_seen_by[name].keys())
        self.forwarders[name].tick(now)
        super().tick(name)

    def post(self, name: str) -> None:
        super().post(name)
        if name not in self.replicas:
            return
        self.run_forwarded(name)
        for part in (self.protocols[name], self.forwarders[name]):
            out, part.outbox = part.outbox, []
            for to, message in out:
                self.send(name, to, message)

    # ---- clients ------------------------------------------------------------------------------------

    def ask(self, name: str, idempotency_key: str, key: str, client_timeout: Time = CLIENT_TIMEOUT) -> None:
        self.query_count += 1
        if name not in self.replicas or name in self.suspended:
            self.verdict_counts["nobody there"] += 1
            return
        self.client_queries[self.query_count] = [name, self.incarnations[name], self.now, client_timeout, 0]
        claim = self.claim(name, idempotency_key, key, client_timeout)
        self.query_by_claim[claim] = self.query_count
        self.post(name)

    def claim(self, name: str, idempotency_key: str, key: str, client_timeout: Time) -> tuple[str, int, int]:
        is_mutating, now = key.startswith(TABLE_GROUP_PREFIX), self.clock(name)
        query = KeyedQuery(
            ordering_key=key,
            idempotency_key=idempotency_key,
            deadline=now + client_timeout,
            ordered=not is_mutating,
            is_transient=is_mutating,
        )
        number = self.replicas[name].claim(now, query)
        claim = name, self.incarnations[name], number
        self.open_claims[claim] = idempotency_key, key, self.now
        return claim

    def ask_mutating(self, name: str, tables: int) -> None:
        """Sends a mutating query, whose answer is not kept for replay."""
        self.ask(name, f"once{self.query_count}", f"{TABLE_GROUP_PREFIX}{tables}")

    def record_answer(self, client_query: int, outcome: ForwardOutcome) -> None:
        """Records the final answer to a client query."""
        self.verdict_counts[f"answered {outcome}"] += 1
        if outcome is ForwardOutcome.REJECTED:
            self.rejected_queries.add(client_query)
            self.broken_rules["deferred and ran"] += client_query in self.executed_queries
        if client_query in self.client_queries:
            self.client_queries[client_query][4] += 1
            if self.client_queries[client_query][4] > 1:
                self.broken_rules["two answers"] += 1

    def handle_not_run(
        self,
        claim: tuple[str, int, int],
        verdict: ClaimDecision,
        reason: str,
        rows: bytes | None,
        open_claim: tuple[str, str, Time],
    ) -> None:
        """Answers a claim that does not run here, or forwards it if it came from a client."""
        (name, incarnation, _), (idempotency_key, key, asked_at) = claim, open_claim
        session, client_query = self.session_by_claim.pop(claim, None), self.query_by_claim.pop(claim, None)
        outcome = OUTCOME_BY_VERDICT.get(verdict, ForwardOutcome.REJECTED)
        if session is not None:
            if verdict is ClaimDecision.FORWARD:
                self.replicas[name].end_claim(self.clock(name), claim[2], RecordState.NOT_RUN)
            self.forwarders[name].answer(self.clock(name), session, outcome, reason, rows)
            return
        if verdict is ClaimDecision.FORWARD:
            self.forwarding_counts["forwarded"] += 1
            forwarder, now = self.forwarders[name], self.clock(name)
            to = forwarder.choose_target(self.partners.get(reason, ()), "", key)
            if to is not None:
                time_left = max(0, asked_at + CLIENT_TIMEOUT - self.now)
                is_mutating = key.startswith(TABLE_GROUP_PREFIX)
                message = ForwardQuery(
                    0,
                    0,
                    0,
                    idempotency_key,
                    "g",
                    key.encode(),
                    None if is_mutating else idempotency_key,
                    None,
                    0.0,
                    None,
                    "",
                    time_left,
                )
                forwarded = forwarder.forward(now, to, message, now + time_left)
                self.claim_by_forwarded[name, incarnation, forwarded] = client_query, claim[2]
                self.query_by_forwarded[name, incarnation, forwarded] = client_query
                return
            self.replicas[name].end_claim(now, claim[2], RecordState.NOT_RUN)
        self.record_answer(client_query, outcome)

    def run_forwarded(self, name: str) -> None:
        """Handles forwarded queries that arrived and those that completed."""
        forwarder, incarnation = self.forwarders[name], self.incarnations[name]
        arrivals, forwarder.arrivals = forwarder.arrivals, []
        for session, message in arrivals:
            self.forwarding_counts["arrived"] += 1
            claim = self.claim(name, message.query_id, message.statement.decode(), message.time_left)
            self.session_by_claim[claim] = session
        completions, forwarder.completions = forwarder.completions, []
        for number, outcome, _, rows in completions:
            client_query, claim_number = self.claim_by_forwarded.pop((name, incarnation, number), (None, 0))
            self.broken_rules["ended twice"] += client_query is None
            if claim_number:
                self.replicas[name].end_claim(self.clock(name), claim_number, RecordState.NOT_RUN)
            if outcome is ForwardOutcome.SERVED and rows is None:
                self.broken_rules["wrong answer"] += 1
            if client_query is not None:
                self.record_answer(client_query, outcome)
        if arrivals or completions:
            super().post(name)

    def start_run(self, claim: tuple[str, int, int], idempotency_key: str, key: str) -> None:
        before = len(self.runs[idempotency_key])
        # Mutating queries have no order.
        super().start_run(
            claim, idempotency_key, idempotency_key if key.startswith(TABLE_GROUP_PREFIX) else key
        )
        if len(self.runs[idempotency_key]) == before:
            return
        client_query = self.query_of(claim)
        if client_query is not None:
            self.executed_queries.add(client_query)
            self.broken_rules["deferred and ran"] += client_query in self.rejected_queries
            if client_query in self.client_queries and not key.startswith(TABLE_GROUP_PREFIX):
                client_and_key = (*self.client_queries[client_query][:2], key)
                self.broken_rules["overtaken"] += client_query < self.last_run.get(client_and_key, 0)
                self.last_run[client_and_key] = max(client_query, self.last_run.get(client_and_key, 0))
        begin, end = self.runs[idempotency_key][-1]
        partner = self.partner_of[claim[0]]
        if any(b < end and begin < e and other != partner for b, e, other in self.coordinated_runs[key]):
            self.broken_rules["two owners"] += 1
        self.coordinated_runs[key].append((begin, end, partner))

    def query_of(self, claim: tuple[str, int, int]) -> int | None:
        """Returns the client query of a claim, also if it was forwarded."""
        session = self.session_by_claim.get(claim)
        if session is None:
            return self.query_by_claim.get(claim)
        incoming = self.forwarders[claim[0]].by_session[session]
        return self.query_by_forwarded.get((incoming.sender, incoming.incarnation, incoming.number))

    def complete_run(self, claim: tuple[str, int, int], state: int, rows: bytes | None = None) -> None:
        session, client_query = self.session_by_claim.pop(claim, None), self.query_by_claim.pop(claim, None)
        outcome = OUTCOME_BY_STATE.get(state, ForwardOutcome.FAILED)
        if session is not None:
            self.forwarders[claim[0]].answer(self.clock(claim[0]), session, outcome, "", rows)
        elif client_query is not None:
            self.record_answer(client_query, outcome)
        super().complete_run(claim, state, rows)

    # ---- inspection ---------------------------------------------------------------------------------

    def unanswered(self) -> int:
        """Counts overdue client queries without an answer whose router has run all the time."""
        return sum(
            not answers and self.now > asked_at + client_timeout + ANSWER_GRACE
            for name, incarnation, asked_at, client_timeout, answers in self.client_queries.values()
            if self.incarnations[name] == incarnation and name in self.replicas and name not in self.suspended
        )

    def owners(self) -> list[str]:
        """Returns the owner of each slot by the lease at its first holder; "" if there is none."""
        view = next(iter(self.replicas.values())).views.view
        owners = []
        for slot in range(SLOTS):
            first = holders(slot, view.members, 1)[0]
            lease = self.replicas[first].slots.slots[slot].lease if first in self.replicas else None
            owners.append(lease.owner if lease is not None else "")
        return owners

    def wait_until_agreed(self, max_seconds: float = 60) -> bool:
        """Simulates until all follow one agreement and each slot has its owner; False on time-out."""
        since = self.now
        while self.now - since < max_seconds * SECOND:
            self.advance(0.5)
            protocols = [protocol for name, protocol in self.protocols.items() if name not in self.suspended]
            agreement_numbers = {protocol.ownership.agreement_number for protocol in protocols} | {
                protocol.ownership.number_to_announce(self.now) for protocol in protocols
            }
            if len(agreement_numbers) == 1 and 0 not in agreement_numbers:
                owners = [owner or "" for owner in protocols[0].ownership.slot_owners]
                if all(owners) and owners == self.owners():
                    return True
        return False


def send_random_queries(net: PartnersNet, rng: random.Random, count: int, keys: int) -> None:
    """Sends `many` queries for random ones of `keys` keys and table groups, and advances one step."""
    for name in rng.sample(net.names, count):
        if rng.random() < 0.5:
            net.ask_mutating(name, rng.randrange(keys))
        else:
            net.ask(name, f"r{net.query_count}", f"k{rng.randrange(keys)}")
    net.advance(STEP / SECOND)


def offer_majority(net: PartnersNet, gainer: str, large_share: int, small_share: int) -> None:
    """Makes offers that give one partner a large share and the others a small one."""
    for partner in net.partners:
        net.offer(partner, large_share if partner == gainer else small_share)


def move_slots_under_load(net: PartnersNet, seed: int, rounds: int = 6) -> bool:
    """Moves most slots back and forth by new agreements while a few keys and table groups are queried.

    In some rounds a router is killed while it moves a lease. Returns whether the fleet settled afterwards.
    """
    rng, partners = random.Random(seed), list(net.partners)
    for n in range(rounds):
        offer_majority(net, partners[n % len(partners)], 8000, 1000)
        until = net.now + 4 * SECOND
        kill_one = rng.random() < 0.5
        while net.now < until:
            send_random_queries(net, rng, 3, 5)
            moved = [
                n
                for n, replica in net.replicas.items()
                if replica.counters["leases moved"] or replica.leases.transfers
            ]
            if kill_one and net.now > until - 2 * SECOND and moved and len(net.replicas) == len(net.names):
                net.kill(rng.choice(moved))
        net.advance(6)
        for name in net.names:
            if name not in net.replicas:
                net.start(name)
    return net.wait_until_settled(60) and net.wait_until_agreed(60)


def run_random_faults(net: PartnersNet, seed: int, seconds: float, offer_fraction: float = 0.2) -> bool:
    """Runs random queries, mutating queries, faults and new offers, then heals all faults.

    `offer_fraction` is the fraction of offers among faults and offers. Returns whether the fleet settled
    afterwards.
    """
    rng, queries = random.Random(seed), []
    next_fault_at, end = net.now, net.now + int(seconds * SECOND)
    while net.now < end:
        for _ in range(rng.randint(0, 4)):
            name = rng.choice(net.names)
            if rng.random() < 0.3:
                net.ask_mutating(name, rng.randint(0, 9))
            elif not queries or rng.random() >= 0.3:
                queries.append((f"t{len(queries)}", f"k{rng.randint(0, 20)}"))
                net.ask(name, *queries[-1])
            else:
                net.ask(name, *rng.choice(queries[-30:]))
        if net.now >= next_fault_at:
            if rng.random() < offer_fraction:
                net.offer(rng.choice(list(net.partners)), rng.randint(500, 6000))
            else:
                history_net.inject_random_fault(net, rng, False)
            next_fault_at = net.now + rng.choice([0, 0, 2, 6, 12]) * SECOND
        net.advance(rng.choice([0.1, 0.2, 0.5]))
    net.heal()
    for name in net.names:
        if name in net.suspended:
            net.resume(name)
        if name not in net.replicas:
            net.start(name)
    return net.wait_until_settled(60) and net.wait_until_agreed(60)


__all__ = [
    "SECOND",
    "PartnersNet",
    "initial_policies",
    "move_slots_under_load",
    "offer_majority",
    "run_random_faults",
    "send_random_queries",
]
