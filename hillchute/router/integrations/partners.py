"""A router's part among partners: puts council, passing, the marks' file and the peers' node together from
the operator file's `partners`.

Owns that wiring, the way between the reducer's queries and what is passed on, what partners bring by the list
of engines, and what is logged of it. Must never decide; imported only where the operator file has `partners`.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from hillchute.coordination.quota_leases import LENDER_HOLD, Entitlement, QuotaLeases
from hillchute.decision.interface import EndpointState, Listing, Time
from hillchute.engines.words import Rows, Stream
from hillchute.errors import InvalidAgreementError, PartnerEquivocationError, SignatureJournalError
from hillchute.fronts.events import Asked, Left, Spoilt
from hillchute.history.replica import Replica
from hillchute.history.retention import MS
from hillchute.history.views import DRIFT, LEASE
from hillchute.log import Log
from hillchute.partners.agreement_signer import AgreementSigner
from hillchute.partners.capacity_pool import minimum_allocation, router_allocations
from hillchute.partners.codec import codec
from hillchute.partners.forwarding import QueryForwarder
from hillchute.partners.messages import AgreementMessage, ForwardOutcome, ForwardQuery, Message
from hillchute.partners.negotiation import AgreementProtocol, PartnerMembership
from hillchute.partners.offers import Offer
from hillchute.partners.signature_journal import SignatureJournal, read_private_key
from hillchute.partners.signatures import Equivocation, ed25519_signer, ed25519_verifier
from hillchute.peers.datagrams import DatagramKind, PeerState
from hillchute.peers.node import Node
from hillchute.router.events import ClaimVerdict
from hillchute.router.integrations.fragmented_channel import LOGGED, Riding, rows_in, rows_out
from hillchute.router.request_rules import history_key
from hillchute.statements.request import Request

# By then all that have less by a new agreement use less.
GROWS_AFTER: Time = int(LEASE * (1 + 2 * DRIFT)) + LENDER_HOLD
VERDICTS = {
    ForwardOutcome.SERVED: ClaimVerdict.REPLAY,
    ForwardOutcome.REJECTED: ClaimVerdict.REJECT,
    ForwardOutcome.FAILED: ClaimVerdict.FAIL,
}


class Partnering(Riding):
    def __init__(
        self,
        settings: Mapping[str, object],
        node: Node,
        catalog: Mapping[str, object],
        seed: int,
        clock: Callable[[], Time],
        log: Log,
        judged: Callable[[str, int, ClaimVerdict, str, Rows | None], None],
        handle: Callable[[object], None],
        soon: Callable[[], None],
        unix: Callable[[], Time],
    ) -> None:
        """`judged` is told how queries ended that were passed on; `handle` is given events of those that came
        so; `soon` is told when there is something to be sent; `unix` is the reducer's clock."""
        super().__init__(node, DatagramKind.PARTNERS_FRAGMENT, codec)
        self.clock, self.log, self.catalog = clock, log, catalog
        self.judged, self.handle, self.soon, self.unix = judged, handle, soon, unix
        self.settings = settings
        self.file: SignatureJournal | None = None
        now = clock()
        membership = PartnerMembership(node.name, settings["own"], routers_of(settings), checks_of(settings))
        self.council = AgreementProtocol(membership, seed, now, self.hand())
        self.passing = QueryForwarder(node.name, node.generation, node.generations, self.over)
        self.errands: dict[tuple[str, int], int] = {}  # the passing's, of each of the reducer's
        self.queries: dict[int, tuple[str, int]] = {}
        self.views: Replica | None = None  # whose views say which text holds
        self.logged = now
        self.told: set[tuple[str, str]] = set()  # faults that stand, and are in the log
        self.homes: tuple[int, dict[str, int]] = (0, {})  # as of the council's revision
        self.say_offer()

    def hand(self) -> AgreementSigner | None:
        """What marks for the own partner, on the one router that does."""
        if "key_file" not in self.settings:
            return None
        try:
            self.file = SignatureJournal(self.settings["marks_file"])
        except SignatureJournalError as fault:
            self.log.write("partners", **fault.log_fields)
            return None
        sign = ed25519_signer(read_private_key(self.settings["key_file"]))
        return AgreementSigner(self.settings["own"], sign, self.file.save, self.file.signed)

    def say_offer(self) -> None:
        if self.council.signer is None:
            return
        try:
            self.council.make_offer(self.clock(), offer_of(self.settings))
        except InvalidAgreementError as fault:
            self.log.write("partners", **fault.log_fields)
        if self.settings["leave"]:
            self.council.give_notice(self.clock())

    def over(self, name: str, life: int) -> bool:
        peer, window = self.node.failure_detector.peers.get(name), self.node.replay_windows.get(name)
        if peer is None or peer.state == PeerState.DEAD:
            return True
        return window is not None and life != 0 and window.generation > life

    # ---- the reducer's queries ----------------------------------------------------------------------

    def pass_on(self, id: str, number: int, owner: str, request: Request, left: Time) -> None:
        customer, key, _ = history_key(request)
        to = self.passing.choose_target(self.council.routers.get(owner, ()), customer, key)
        if to is None:
            self.judged(
                id, number, ClaimVerdict.REJECT, "no router of its slot's owner is known to live", None
            )
            return
        about = (request.id, request.group, request.statement, request.token, request.cost, request.memory)
        message = ForwardQuery(0, 0, 0, *about, request.key, request.customer, left)
        now = self.clock()
        mine = self.passing.forward(now, to, message, now + left)
        self.errands[id, number], self.queries[mine] = mine, (id, number)
        self.soon()

    def recall(self, id: str, number: int) -> None:
        mine = self.errands.pop((id, number), None)
        if mine is not None:
            self.queries.pop(mine, None)
            self.passing.cancel(mine)
            self.soon()

    def on(self) -> None:
        """What has come of messages and time goes to the reducer."""
        ended, self.passing.completions = self.passing.completions, []
        came, self.passing.arrivals = self.passing.arrivals, []
        left, self.passing.abandoned = self.passing.abandoned, []
        for mine, how, why, rows in ended:
            query = self.queries.pop(mine, None)
            if query is None:
                continue
            del self.errands[query]
            try:
                answer = None if rows is None else rows_out.decode(rows)
            except msgspec.DecodeError:
                how, why, answer = ForwardOutcome.FAILED, "its rows can't be read", None
            if how is ForwardOutcome.SERVED and answer is None:
                how, why = ForwardOutcome.FAILED, "it has finished; its rows did not come"
            self.judged(*query, VERDICTS[how], f"passed on: {why}", answer)
        for session, message in came:
            about = (
                message.query_id,
                message.group,
                message.time_left,
                message.statement,
                message.idempotency_key,
            )
            request = Request(*about, message.cost, message.memory, message.ordering_key, message.customer)
            self.handle(Asked(session, request, self.unix()))
        for session in left:
            self.handle(Left(session))
        if self.passing.outbox or self.council.outbox:
            self.soon()

    # ---- the front of queries that came so ------------------------------------------------------------

    def finish(self, session: int, rows: Rows) -> None:
        self.answer(session, ForwardOutcome.SERVED, "", rows_in.encode(rows))

    def defer(self, session: int, after: Time) -> None:
        self.answer(session, ForwardOutcome.REJECTED, "its owner's router turned it away")

    def kill(self, session: int, why: str) -> None:
        self.answer(session, ForwardOutcome.FAILED, why)

    def cut(self, session: int, why: str) -> None:
        self.answer(session, ForwardOutcome.FAILED, why)

    def begin(self, session: int, stream: Stream) -> None:
        """Results that come as streams are not passed on: keyed and mutating queries have short ones."""
        stream.close()
        self.handle(Spoilt(session, "a result that comes as a stream can't be passed on"))

    def answer(self, session: int, how: ForwardOutcome, why: str, rows: bytes | None = None) -> None:
        self.passing.answer(self.clock(), session, how, why, rows)
        self.soon()

    # ---- a rider of the node --------------------------------------------------------------------------

    def take(self, now: Time, sender: str, message: Message) -> None:
        if isinstance(message, AgreementMessage):
            self.council.receive(now, sender, message)
        else:
            self.passing.receive(now, sender, message)
        self.on()

    def tick(self, now: Time) -> None:
        self.council.tick(now, self.node.live_peers())
        self.passing.tick(now)
        self.on()
        if now - self.logged >= LOGGED:
            self.logged = now
            self.tell(now)

    def said(self) -> list[tuple[str, Message]]:
        some = [*self.passing.outbox, *self.council.outbox]
        self.passing.outbox, self.council.outbox = [], []
        return some

    # ---- what partners bring ----------------------------------------------------------------------------

    def listed(self, listings: Iterable[Listing]) -> None:
        """Engines as they are listed; an engine is the first partner's whose zones and kinds it fits."""
        zones, kinds = (listed(self.catalog.get(name)) for name in ("dcs", "kinds"))
        cores = listed(self.catalog.get("domain.kind_cores"))
        brings = {member["name"]: 0 for member in self.settings["members"]}
        for entry in listings:
            whose = next((m for m in self.settings["members"] if fits(m, entry, zones, kinds)), None)
            if whose is not None and entry.state == EndpointState.READY and entry.kind < len(cores):
                brings[whose["name"]] += cores[entry.kind]
        self.council.ownership.set_capacities(self.clock(), brings)

    def pool(self, quotas: QuotaLeases) -> None:
        """This router's part of the pool, as the text that holds gives it. Where it is not known to hold, for
        want of a view or of the text that others go by, the router keeps to the floor."""
        now, council = self.clock(), self.council
        routers = council.routers
        whole = quotas.limits["pool"].total
        if self.homes[0] != council.ownership.revision:
            self.homes = (
                council.ownership.revision,
                router_allocations(whole, council.ownership.effective_shares(now), routers),
            )
        home = self.homes[1].get(self.node.name, 0)
        least = minimum_allocation(whole, max(1, sum(map(len, routers.values()))))
        known = self.views is not None and self.views.views.in_force(now)
        confined = not (known and council.ownership.up_to_date() and council.ownership.is_in_force(now))
        ours = routers.get(council.partner, frozenset())
        entitlement = Entitlement(
            units=home, floor=least, group=frozenset(ours), settling_time=GROWS_AFTER, confined=confined
        )
        quotas.set_entitlement(now, "pool", entitlement)

    # ---- log, reload ------------------------------------------------------------------------------------

    def tell(self, now: Time) -> None:
        council = self.council
        text = council.ownership.agreement()
        self.log.write(
            "partners_count",
            text=council.ownership.agreement_number,
            named=council.ownership.announced_number,
            known=max(council.ledger.accepted, default=0),
            holds=council.ownership.is_in_force(now),
            shares=council.ownership.effective_shares(now),
            gone=sorted(council.ledger.departed(text, now)) if text is not None else [],
            out=len(self.passing.outgoing),
            **dict(self.passing.counts),
            **dict(council.counts),
        )
        faults = [council.proposal_error] if council.proposal_error is not None else []
        faults += council.signing_errors.values()
        faults += [
            PartnerEquivocationError(f"agreements of number {proof.first.number}", n)
            for n, proof in self.broke()
        ]
        if self.file is not None and self.file.error is not None:
            faults.append(self.file.error)
        standing = {(type(fault).__name__, str(fault)) for fault in faults}
        for fault in faults:
            if (type(fault).__name__, str(fault)) not in self.told:
                self.log.write("partners", **fault.log_fields)
        self.told = standing

    def broke(self) -> list[tuple[str, Equivocation]]:
        return sorted(self.council.ledger.equivocations.items())

    def renew(self, settings: Mapping[str, object]) -> list[str]:
        """The operator file's partners read again; the paths of what needs a restart."""
        names = ("own", "key_file", "marks_file")
        restart = [f"partners.{n}" for n in names if settings.get(n) != self.settings.get(n)]
        self.settings = settings if not restart else self.settings
        if not restart:
            self.council.set_partners(routers_of(settings), checks_of(settings))
            self.say_offer()
            self.soon()
        return restart


def offer_of(settings: Mapping[str, object]) -> Offer:
    """The own partner's offer, as the operator file has it."""
    said = settings["offer"]
    return Offer(
        partner=settings["own"],
        revision=said["turn"],
        capacity=said["capacity"],
        desired_share=said["want"],
        minimum_share=said["least"],
        maximum_share=said["most"],
        starts_at=said["begins_ms"] * MS,
        ends_at=said["ends_ms"] * MS,
        grace_period=said["grace_ms"] * MS,
        notice_period=said["notice_ms"] * MS,
    )


def routers_of(settings: Mapping[str, object]) -> dict[str, list[str]]:
    return {member["name"]: member["routers"] for member in settings["members"]}


def checks_of(settings: Mapping[str, object]):
    return ed25519_verifier({member["name"]: bytes.fromhex(member["key"]) for member in settings["members"]})


def listed(value: object) -> list:
    return list(value) if isinstance(value, list | tuple) else [] if value is None else [value]


def fits(member: Mapping[str, object], entry: Listing, zones: list, kinds: list) -> bool:
    for names, wanted, number in ((zones, member["zones"], entry.zone), (kinds, member["kinds"], entry.kind)):
        if wanted and not (number < len(names) and names[number] in wanted):
            return False
    return True
