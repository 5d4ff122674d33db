"""Routers of several partners over one network that loses, delays, repeats and cuts, in simulated time:
offers and agreements, ownership leases of slots, forwarded queries; on top of the history's net, whose
clients, engines and faults these are. What breaks a rule is decided by what clients and engines saw.

Owns the partners, their signers and journals, and the counts of rules broken by them. Must never know how a
router decides.
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
from hillchute.lab.history_net import EPOCH, PATIENCE, SECOND, STEP, HistoryNet, founded
from hillchute.partners import codec
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.forwarding import QueryForwarder
from hillchute.partners.messages import AgreementMessage, ForwardOutcome, ForwardQuery, PartnerMessage
from hillchute.partners.negotiation import AgreementProtocol, PartnerMembership
from hillchute.partners.offers import SHARE_TOTAL, Offer
from hillchute.partners.signatures import Verify, ed25519_signer, ed25519_verifier
from hillchute.router.request_rules import TABLE_GROUP_PREFIX

HISTORY, PARTNERS = b"h", b"p"  # before a message's bytes, as the datagrams' kinds tell them apart
YEAR = 365 * 86_400 * SECOND
ANSWERS = {
    ClaimDecision.REPLAY: ForwardOutcome.SERVED,
    ClaimDecision.FAIL: ForwardOutcome.FAILED,
}  # others: REJECTED
ENDS = {
    RecordState.SERVED: ForwardOutcome.SERVED,
    RecordState.NOT_RUN: ForwardOutcome.REJECTED,
}  # others: FAILED
ANSWERED_BY: Time = 2 * SECOND  # after its patience a client must have its answer: a step, a pause's end


def private(partner: str) -> bytes:
    return partner.encode().ljust(32, b"-")


def public(partner: str) -> bytes:
    return Ed25519PrivateKey.from_private_bytes(private(partner)).public_key().public_bytes_raw()


class PartnersNet(HistoryNet):
    def __init__(
        self, seed: int, count: int, policies: RetentionPolicies, partners: str = "abc", **faults: float
    ) -> None:
        names = [f"n{n}" for n in range(count)]
        self.partners = {p: names[n :: len(partners)] for n, p in enumerate(partners)}
        self.partner_of = {name: p for p, some in self.partners.items() for name in some}
        self.protocols: dict[str, AgreementProtocol] = {}
        self.forwarders: dict[str, QueryForwarder] = {}
        self.journals: dict[str, dict[int, bytes]] = defaultdict(dict)  # of each partner, over restarts
        self.offers: dict[str, Offer] = {}
        self.check: Verify = ed25519_verifier({p: public(p) for p in self.partners})
        self.asks: dict[int, list] = {}  # name, life, asked, patience, answers: of each query of a client
        self.ask_of: dict[tuple[str, int, int], int] = {}  # by claim
        self.claim_of_forwarded: dict[
            tuple[str, int, int], tuple[int, int]
        ] = {}  # the client's query and the claim's number
        self.ran_last: dict[tuple[str, int, str], int] = {}  # of one router's clients and a key: the last
        self.forwarded: dict[tuple[str, int, int], int] = {}  # client's query of each that ever was
        self.session_of: dict[tuple[str, int, int], int] = {}  # of claims for incoming forwarded queries
        self.led: dict[str, list[tuple[Time, Time, str]]] = defaultdict(list)  # key: when, by whose router
        self.ran_for: set[int] = set()  # queries of clients that ran
        self.turned_away: set[int] = set()  # and those that were told that they did not
        self.hops: Counter[str] = Counter()
        self.numbers = 0
        super().__init__(seed, count, policies, **faults)

    # ---- routers ------------------------------------------------------------------------------------

    def new_replica(self, name: str, now: Time, living: Callable[[], dict[str, int]]) -> Replica:
        life, partner = self.lives[name], self.partner_of[name]
        protocol = AgreementProtocol(
            PartnerMembership(name, partner, self.partners, self.check), self.seed, now, self.signer_of(name)
        )
        self.protocols[name] = protocol
        if protocol.signer is not None and partner in self.offers:
            self.publish_offer(name, self.offers[partner])

        def over(other: str, other_life: int) -> bool:
            return living().get(other) != other_life

        self.forwarders[name] = QueryForwarder(name, life, living, over)
        membership = Membership(name, life, self.names, living)
        return Replica(membership, self.policies, now, agreement=protocol.ownership)

    def signer_of(self, name: str) -> AgreementSigner | None:
        partner = self.partner_of[name]
        if name != self.partners[partner][0]:
            return None
        journal = self.journals[partner]

        def record(number: int, digest: bytes) -> bool:
            journal[number] = digest
            return True

        return AgreementSigner(partner, ed25519_signer(private(partner)), record, dict(journal))

    def kill(self, name: str) -> None:
        for kept in (self.protocols, self.forwarders):
            kept.pop(name, None)
        for kept in (self.ask_of, self.claim_of_forwarded, self.session_of):
            for claim in [claim for claim in kept if claim[0] == name]:
                del kept[claim]
        self.asks = {ask: about for ask, about in self.asks.items() if about[0] != name}
        super().kill(name)

    def offer(
        self, partner: str, want: int, least: int = 500, most: int = SHARE_TOTAL, capacity: int = 100
    ) -> None:
        """The operator of a partner makes an offer, at the router that signs; it holds over restarts."""
        turn = self.offers[partner].revision + 1 if partner in self.offers else 1
        ends = EPOCH + YEAR
        said = Offer(
            partner=partner,
            revision=turn,
            capacity=100,
            desired_share=want,
            minimum_share=least,
            maximum_share=most,
            starts_at=0,
            ends_at=ends,
            grace_period=5 * SECOND,
            notice_period=10 * SECOND,
        )
        self.offers[partner] = said
        name = self.partners[partner][0]
        if name in self.protocols and name not in self.stopped:
            self.publish_offer(name, said)

    def publish_offer(self, name: str, said: Offer) -> None:
        try:
            self.protocols[name].make_offer(self.clock(name), said)
        except InvalidAgreementError:
            self.hops["offers rejected"] += 1

    def agree(self, **wants: int) -> None:
        for partner in self.partners:
            self.offer(partner, wants.get(partner, SHARE_TOTAL // len(self.partners)))

    # ---- the network --------------------------------------------------------------------------------

    def encoded(self, message: Message | PartnerMessage) -> bytes:
        if isinstance(message, PartnerMessage):
            return PARTNERS + codec.encode(message)
        return HISTORY + history_encode(message)

    def arrive(self, sender: str, to: str, data: bytes) -> None:
        if to in self.stopped:
            self.stopped[to].append((sender, data))
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
            raise InvalidDatagramError("of no kind", sender)
        self.post(to)

    def tick(self, name: str) -> None:
        now = self.clock(name)
        self.protocols[name].tick(now, self.seen[name].keys())
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

    def ask(self, name: str, token: str, key: str, patience: Time = PATIENCE) -> None:
        self.numbers += 1
        if name not in self.replicas or name in self.stopped:
            self.said["nobody there"] += 1
            return
        self.asks[self.numbers] = [name, self.lives[name], self.now, patience, 0]
        claim = self.claim(name, token, key, patience)
        self.ask_of[claim] = self.numbers
        self.post(name)

    def claim(self, name: str, token: str, key: str, patience: Time) -> tuple[str, int, int]:
        once, now = key.startswith(TABLE_GROUP_PREFIX), self.clock(name)
        query = KeyedQuery(
            ordering_key=key,
            idempotency_key=token,
            deadline=now + patience,
            ordered=not once,
            is_transient=once,
        )
        number = self.replicas[name].claim(now, query)
        claim = name, self.lives[name], number
        self.open[claim] = token, key, self.now
        return claim

    def change(self, name: str, tables: int) -> None:
        """A mutating query: no token, nothing that could be answered again."""
        self.ask(name, f"once{self.numbers}", f"{TABLE_GROUP_PREFIX}{tables}")

    def answered(self, ask: int, how: ForwardOutcome) -> None:
        """One of a client's queries has its final answer."""
        self.said[f"answered {how}"] += 1
        if how is ForwardOutcome.REJECTED:
            self.turned_away.add(ask)
            self.rule["deferred and ran"] += ask in self.ran_for
        if ask in self.asks:
            self.asks[ask][4] += 1
            if self.asks[ask][4] > 1:
                self.rule["two answers"] += 1

    def over(
        self,
        claim: tuple[str, int, int],
        verdict: ClaimDecision,
        why: str,
        rows: bytes | None,
        about: tuple[str, str, Time],
    ) -> None:
        """A claim that does not run here is answered, or forwarded if it came from a client."""
        (name, life, _), (token, key, asked) = claim, about
        session, ask = self.session_of.pop(claim, None), self.ask_of.pop(claim, None)
        how = ANSWERS.get(verdict, ForwardOutcome.REJECTED)
        if session is not None:
            if verdict is ClaimDecision.FORWARD:
                self.replicas[name].end_claim(self.clock(name), claim[2], RecordState.NOT_RUN)
            self.forwarders[name].answer(self.clock(name), session, how, why, rows)
            return
        if verdict is ClaimDecision.FORWARD:
            self.hops["forwarded"] += 1
            forwarder, now = self.forwarders[name], self.clock(name)
            to = forwarder.choose_target(self.partners.get(why, ()), "", key)
            if to is not None:
                left = max(0, asked + PATIENCE - self.now)
                once = key.startswith(TABLE_GROUP_PREFIX)
                message = ForwardQuery(
                    0, 0, 0, token, "g", key.encode(), None if once else token, None, 0.0, None, "", left
                )
                forwarded = forwarder.forward(now, to, message, now + left)
                self.claim_of_forwarded[name, life, forwarded] = ask, claim[2]
                self.forwarded[name, life, forwarded] = ask
                return
            self.replicas[name].end_claim(now, claim[2], RecordState.NOT_RUN)
        self.answered(ask, how)

    def run_forwarded(self, name: str) -> None:
        """Forwarded queries arrive and end."""
        forwarder, life = self.forwarders[name], self.lives[name]
        came, forwarder.arrivals = forwarder.arrivals, []
        for session, message in came:
            self.hops["arrived"] += 1
            claim = self.claim(name, message.query_id, message.statement.decode(), message.time_left)
            self.session_of[claim] = session
        ended, forwarder.completions = forwarder.completions, []
        for number, how, _, rows in ended:
            ask, mine = self.claim_of_forwarded.pop((name, life, number), (None, 0))
            self.rule["ended twice"] += ask is None
            if mine:
                self.replicas[name].end_claim(self.clock(name), mine, RecordState.NOT_RUN)
            if how is ForwardOutcome.SERVED and rows is None:
                self.rule["wrong answer"] += 1
            if ask is not None:
                self.answered(ask, how)
        if came or ended:
            super().post(name)

    def run(self, claim: tuple[str, int, int], token: str, key: str) -> None:
        before = len(self.runs[token])
        # Non-idempotent ones have no order.
        super().run(claim, token, token if key.startswith(TABLE_GROUP_PREFIX) else key)
        if len(self.runs[token]) == before:
            return
        ask = self.ask_for(claim)
        if ask is not None:
            self.ran_for.add(ask)
            self.rule["deferred and ran"] += ask in self.turned_away
            if ask in self.asks and not key.startswith(TABLE_GROUP_PREFIX):
                line = (*self.asks[ask][:2], key)
                self.rule["overtaken"] += ask < self.ran_last.get(line, 0)
                self.ran_last[line] = max(ask, self.ran_last.get(line, 0))
        begin, end = self.runs[token][-1]
        partner = self.partner_of[claim[0]]
        if any(b < end and begin < e and other != partner for b, e, other in self.led[key]):
            self.rule["two owners"] += 1
        self.led[key].append((begin, end, partner))

    def ask_for(self, claim: tuple[str, int, int]) -> int | None:
        """The client's query that a claim is for, also where it was forwarded."""
        session = self.session_of.get(claim)
        if session is None:
            return self.ask_of.get(claim)
        incoming = self.forwarders[claim[0]].by_session[session]
        return self.forwarded.get((incoming.sender, incoming.incarnation, incoming.number))

    def ended(self, claim: tuple[str, int, int], state: int, rows: bytes | None = None) -> None:
        session, ask = self.session_of.pop(claim, None), self.ask_of.pop(claim, None)
        how = ENDS.get(state, ForwardOutcome.FAILED)
        if session is not None:
            self.forwarders[claim[0]].answer(self.clock(claim[0]), session, how, "", rows)
        elif ask is not None:
            self.answered(ask, how)
        super().ended(claim, state, rows)

    # ---- what is looked at beside -------------------------------------------------------------------

    def unanswered(self) -> int:
        """Clients whose router lived all the while, and whose answer is due and has not come."""
        return sum(
            not answers and self.now > asked + patience + ANSWERED_BY
            for name, life, asked, patience, answers in self.asks.values()
            if self.lives[name] == life and name in self.replicas and name not in self.stopped
        )

    def owners(self) -> list[str]:
        """By the leases at the slots' first holders; "" where there is none."""
        some = next(iter(self.replicas.values())).views.view
        found = []
        for slot in range(SLOTS):
            first = holders(slot, some.members, 1)[0]
            lease = self.replicas[first].slots.slots[slot].lease if first in self.replicas else None
            found.append(lease.owner if lease is not None else "")
        return found

    def agreed(self, most: float = 60) -> bool:
        """Plays until all follow one agreement and every slot has the owner that it names."""
        since = self.now
        while self.now - since < most * SECOND:
            self.advance(0.5)
            protocols = [c for n, c in self.protocols.items() if n not in self.stopped]
            numbers = {c.ownership.agreement_number for c in protocols} | {
                c.ownership.number_to_announce(self.now) for c in protocols
            }
            if len(numbers) == 1 and 0 not in numbers:
                owners = [owner or "" for owner in protocols[0].ownership.slot_owners]
                if all(owners) and owners == self.owners():
                    return True
        return False


def crowd(net: PartnersNet, chance: random.Random, many: int, keys: int) -> None:
    """So many clients ask, of so many keys and table groups, and a step goes by."""
    for name in chance.sample(net.names, many):
        if chance.random() < 0.5:
            net.change(name, chance.randrange(keys))
        else:
            net.ask(name, f"r{net.numbers}", f"k{chance.randrange(keys)}")
    net.advance(STEP / SECOND)


def swing(net: PartnersNet, gainer: str, much: int, little: int) -> None:
    for partner in net.partners:
        net.offer(partner, much if partner == gainer else little)


def rush(net: PartnersNet, seed: int, swings: int = 6) -> bool:
    """Agreements that move most slots to and fro while a few keys and table groups are asked for all along,
    and now and then a router dies as it moves a lease. Whether it all came to rest."""
    chance, partners = random.Random(seed), list(net.partners)
    for n in range(swings):
        swing(net, partners[n % len(partners)], 8000, 1000)
        until = net.now + 4 * SECOND
        killer = chance.random() < 0.5
        while net.now < until:
            crowd(net, chance, 3, 5)
            moved = [n for n, k in net.replicas.items() if k.counters["leases moved"] or k.leases.transfers]
            if killer and net.now > until - 2 * SECOND and moved and len(net.replicas) == len(net.names):
                net.kill(chance.choice(moved))
        net.advance(6)
        for name in net.names:
            if name not in net.replicas:
                net.start(name)
    return net.settled(60) and net.agreed(60)


def storm(net: PartnersNet, seed: int, seconds: float, turns: float = 0.2) -> bool:
    """The history's storm, with mutating queries and new offers among the rest; then all is mended. `turns`:
    the part of strikes that are offers. Whether it all came to rest."""
    chance, tokens = random.Random(seed), []
    quiet, end = net.now, net.now + int(seconds * SECOND)
    while net.now < end:
        for _ in range(chance.randint(0, 4)):
            name = chance.choice(net.names)
            if chance.random() < 0.3:
                net.change(name, chance.randint(0, 9))
            elif not tokens or chance.random() >= 0.3:
                tokens.append((f"t{len(tokens)}", f"k{chance.randint(0, 20)}"))
                net.ask(name, *tokens[-1])
            else:
                net.ask(name, *chance.choice(tokens[-30:]))
        if net.now >= quiet:
            if chance.random() < turns:
                net.offer(chance.choice(list(net.partners)), chance.randint(500, 6000))
            else:
                history_net.strike(net, chance, False)
            quiet = net.now + chance.choice([0, 0, 2, 6, 12]) * SECOND
        net.advance(chance.choice([0.1, 0.2, 0.5]))
    net.mend()
    for name in net.names:
        if name in net.stopped:
            net.go_on(name)
        if name not in net.replicas:
            net.start(name)
    return net.settled(60) and net.agreed(60)


__all__ = ["SECOND", "PartnersNet", "crowd", "founded", "rush", "storm", "swing"]
