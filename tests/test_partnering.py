"""Partners on routers that run: the reducer's side, the operator file, shares of the pool, the wiring."""

from types import SimpleNamespace

import pytest
from conftest import CATALOG
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.cli import commands
from hillchute.coordination.quota_leases import LENDER_HOLD, QuotaLeases
from hillchute.decision.interface import SECOND, EndpointState, Listing
from hillchute.decision.scheduler import QueryScheduler
from hillchute.fronts.events import FIRST_GUEST
from hillchute.lab import partners
from hillchute.lab.history_net import EPOCH
from hillchute.lab.partners_net import private, public
from hillchute.operator import reading
from hillchute.operator.records import OperatorFileError
from hillchute.partners.forwarding import Completion
from hillchute.partners.messages import ForwardOutcome
from hillchute.peers.node import Node, RouterIdentity
from hillchute.router import events
from hillchute.router.effects import (
    CancelForward,
    ClaimQuery,
    EndClaim,
    FailQuery,
    ForwardQuery,
    RejectQuery,
    SendResult,
)
from hillchute.router.integrations import forwarded_queries
from hillchute.router.integrations.fragmented_channel import ExtensionContext
from hillchute.router.integrations.partners import PartnerExtension
from hillchute.router.integrations.pool_quota import ENTITLEMENT_SETTLING_TIME, EngineNames, PoolQuota
from hillchute.router.integrations.rows_codec import encode_rows
from hillchute.router.reducer import Reducer
from hillchute.router.request_rules import history_key
from hillchute.settings import Settings
from hillchute.statements.request import Request

NAMES = {f"groups.{n}.name": name for n, name in enumerate(("lookup", "report", "load", "write"))}


class Rig:
    """A reducer among partners."""

    def __init__(self):
        settings = Settings.from_catalog(CATALOG | NAMES | {"limits.open_cap": 100})
        self.scheduler = QueryScheduler(7, settings, 0)
        self.reducer = Reducer(self.scheduler, settings, 8)
        self.reducer.claims_idempotent = self.reducer.claims_non_idempotent = True
        self.count = 0

    def ask(self, group, token=None, session=None, now=0):
        self.count += 1
        id = f"{self.count:016x}"
        key = "cd" if token else None
        request = Request(id, group, 5 * SECOND, b"UPDATE x_3.t SET a = 1", token, 1000, 1.0, key, "a")
        session = self.count if session is None else session
        return id, self.reducer.reduce(events.Asked(session, request, now), now)

    def judged(self, id, verdict, why="why", rows=None, now=10):
        number = self.reducer.queries[id].number
        return self.reducer.reduce(events.ClaimDecided(id, number, verdict, why, rows), now)


def of(effects, *kinds):
    return [e for e in effects if isinstance(e, kinds)]


def test_mutating_query_asks_for_its_table_group_and_a_read_only_one_asks_nobody():
    rig = Rig()
    id, said = rig.ask("write")
    (claim,) = of(said, ClaimQuery)
    assert claim.once and not claim.ordered and (claim.customer, claim.token) == ("", id)
    assert claim.key == "\0tables 3" and id not in rig.scheduler.queries
    rig.judged(id, "RUN")
    assert id in rig.scheduler.queries
    id, said = rig.ask("lookup")
    assert not of(said, ClaimQuery) and id in rig.scheduler.queries
    rig.reducer.claims_non_idempotent = False
    id, said = rig.ask("write")
    assert not of(said, ClaimQuery) and id in rig.scheduler.queries


def test_query_of_anothers_slot_is_passed_on_and_its_answer_is_the_answer():
    rig = Rig()
    id, _ = rig.ask("load", "ab")
    (passed,) = of(rig.judged(id, "FORWARD", "b"), ForwardQuery)
    assert (passed.query, passed.owner, passed.request.token) == (id, "b", "ab")
    assert 0 < passed.time_left <= 5 * SECOND and id not in rig.scheduler.queries
    said = rig.judged(id, "REPLAY", "", [[b"1"], [b"2"], [b"3"]])
    assert [(e.session, e.rows) for e in of(said, SendResult)] == [(1, [[b"1"], [b"2"], [b"3"]])]
    assert not of(said, CancelForward) and id not in rig.reducer.queries
    assert [(e.query, e.outcome) for e in of(said, EndClaim)] == [
        (id, "not_run")
    ]  # the next of its key may go


@pytest.mark.parametrize(("verdict", "effect"), [("REJECT", RejectQuery), ("FAIL", FailQuery)])
def test_query_that_was_passed_on_ends_once_as_it_ended_there(verdict, effect):
    rig = Rig()
    id, _ = rig.ask("write")
    rig.judged(id, "FORWARD", "b")
    assert len(of(rig.judged(id, verdict), effect)) == 1 and id not in rig.reducer.queries


def test_there_is_no_second_hop():
    rig = Rig()
    id, _ = rig.ask("load", "ab", session=FIRST_GUEST + 1)
    said = rig.judged(id, "FORWARD", "c")
    assert not of(said, ForwardQuery) and len(of(said, RejectQuery)) == 1


def test_query_that_was_passed_on_has_failed_when_no_answer_comes_in_time():
    rig = Rig()
    id, _ = rig.ask("load", "ab")
    rig.judged(id, "FORWARD", "b")
    said = rig.reducer.reduce(events.AlarmDue(), 5 * SECOND)
    assert len(of(said, FailQuery)) == 1 and not of(said, RejectQuery)  # it may have run
    assert [(e.query, e.number) for e in of(said, CancelForward)] == [(id, 1)] or of(said, CancelForward)


def test_client_that_leaves_takes_back_what_was_passed_on():
    rig = Rig()
    id, _ = rig.ask("load", "ab")
    rig.judged(id, "FORWARD", "b")
    said = rig.reducer.reduce(events.Left(rig.count), 10)
    assert [e.query for e in of(said, CancelForward)] == [id] == [e.query for e in of(said, EndClaim)]
    assert not of(rig.reducer.reduce(events.ClaimDecided(id, 1, "REPLAY", "", []), 20), SendResult)


def test_place_in_the_history_is_the_keys_or_the_table_groups():
    about = "id", "g", 1, b"UPDATE x_7.t SET a = 1"
    assert history_key(Request(*about, token="ab", key="cd", customer="a")) == ("a", "cd", "ab")
    assert history_key(Request(*about, token="ab", customer="a")) == ("a", "ab", "ab")
    assert history_key(Request(*about, customer="a")) == ("", "\0tables 7", "id")


# ---- the operator file ----

KEYS = {name: public(name).hex() for name in "ab"}
MEMBERS = f"""members: [{{name: "a", key: "{KEYS["a"]}", routers: ["r0"], zones: ["north"]}},
  {{name: "b", key: "{KEYS["b"]}", routers: ["r1"], kinds: ["large"]}}]"""
PEERS = """peers: {name: "r0", listen: "127.0.0.1:1",
  others: [{name: "r1", address: "127.0.0.1:2", key: "0123456789abcdef"}]}"""
HISTORY = "history: {number: 1, default: {}}"
ALONE = f'members: [{{name: "a", key: "{KEYS["a"]}", routers: ["r0"]}}]'
QUOTED_A, QUOTED_B = '"a"', '"b"'
OFFER = "offer: {turn: 1, capacity: 8, want: 5000, least: 1000, most: 9000, begins_ms: 0, ends_ms: 9}"

LOW = OFFER.replace("5000", "500")


def text(partners, peers=PEERS, history=HISTORY):
    return f"{peers}\n{history}\npartners: {{{partners}}}"


@pytest.mark.parametrize(
    ("partners", "more", "said"),
    [
        (f'own: "a", {MEMBERS}', {"history": ""}, "expected `history`"),
        (f'own: "b", {MEMBERS}', {}, "partners.own: router r0 is a's"),
        (
            f'own: "a", members: [{{name: "a", key: "{KEYS["a"]}", routers: ["r0"]}}]',
            {},
            "router r1 of `peers`",
        ),
        (f'own: "a", {MEMBERS.replace("r1", "r0")}', {}, "members[1].routers: r0 is a's"),
        (
            f'own: "a", {MEMBERS.replace(chr(34) + "b" + chr(34), chr(34) + "a" + chr(34))}',
            {},
            "is listed twice",
        ),
        (f'own: "a", {OFFER}, {MEMBERS}', {}, "offer, key_file and marks_file together"),
        (f'own: "a", {MEMBERS.replace(KEYS["a"], "xyz")}', {}, "key"),
        (
            f'own: "a", {OFFER.replace("5000", "500")}, key_file: "k", marks_file: "m", {MEMBERS}',
            {},
            "least <= want",
        ),
        (f'own: "a", {OFFER}, key_file: "none", marks_file: "m", {MEMBERS}', {}, "partners.key_file: none"),
    ],
)
def test_faulty_partners_are_named_by_their_path(partners, more, said):
    with pytest.raises(OperatorFileError) as fault:
        reading.hold(text(partners, **more), "o.cue")
    assert said in str(fault.value) and "o.cue" in str(fault.value)


def test_key_that_is_none_is_said(tmp_path):
    (tmp_path / "k").write_text("00ff")
    own = f'own: "a", {OFFER}, key_file: "{tmp_path / "k"}", marks_file: "m", {MEMBERS}'
    with pytest.raises(OperatorFileError, match="64 hex digits"):
        reading.hold(text(own))


def test_key_is_not_among_what_holds(tmp_path, capsysbinary):
    (tmp_path / "k").write_text(private("a").hex())
    own = f'own: "a", {OFFER}, key_file: "{tmp_path / "k"}", marks_file: "m", {MEMBERS}'
    (tmp_path / "o.cue").write_text(text(own))
    assert commands.main(["check", str(tmp_path / "o.cue"), "--json"]) == 0
    said = capsysbinary.readouterr().out
    assert b'"offer"' in said and private("a").hex().encode() not in said


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def partner_extension(tmp_path, marks=True, handle=lambda event: None, **changed):
    (tmp_path / "k").write_text(private("a").hex())
    own = f'own: "a", {MEMBERS}'
    if marks:
        own += f', {OFFER}, key_file: "{tmp_path / "k"}", marks_file: "{tmp_path / "m"}"'
    stated = reading.hold(text(own))["partners"] | changed
    node = Node(RouterIdentity("r0", EPOCH // 10), {"r1": b"0123456789abcdef"}, 1, EPOCH, None)
    log = Log()
    context = ExtensionContext(
        node=node, clock=lambda: EPOCH, log=log, handle=handle, schedule_messages=lambda: None
    )
    extension = PartnerExtension(settings=stated, context=context, seed=1, router_clock=lambda: EPOCH)
    return extension, log, stated


def test_offer_of_the_operator_file_is_known_and_a_lower_turn_is_said(tmp_path):
    held, log, stated = partner_extension(tmp_path)
    (offer, _) = held.negotiation.ledger.offers["a"]
    assert (offer.partner, offer.desired_share, offer.ends_at) == ("a", 5000, 90)
    held.reload(stated | {"offer": stated["offer"] | {"turn": 3, "want": 6000}})
    assert held.negotiation.ledger.offers["a"][0].desired_share == 6000
    held.reload(stated | {"offer": stated["offer"] | {"turn": 2}})
    assert [fields["error"] for event, fields in log.lines if "error" in fields] == ["InvalidAgreementError"]
    assert held.reload(stated | {"own": "b"}) == ["partners.own"]


def test_router_without_the_key_marks_nothing_and_a_bad_file_of_marks_is_said(tmp_path):
    held, _, _ = partner_extension(tmp_path, marks=False)
    assert held.negotiation.signer is None and not held.negotiation.ledger.offers
    (tmp_path / "m").write_text("what\n")
    held, log, _ = partner_extension(tmp_path)
    assert held.negotiation.signer is None
    assert [fields["error"] for _, fields in log.lines] == ["SignatureJournalError"]


def test_engine_is_the_partners_whose_zones_and_kinds_it_fits(tmp_path):
    held, _, _ = partner_extension(tmp_path)
    listings = [
        Listing(1, 0, 0, 1, 0, EndpointState.READY, 1.0),  # north: a's
        Listing(2, 1, 0, 0, 0, EndpointState.READY, 1.0),  # large: b's
        Listing(3, 1, 0, 1, 0, EndpointState.READY, 1.0),  # both: the first's
        Listing(4, 0, 0, 0, 0, EndpointState.READY, 1.0),  # neither's
        Listing(5, 0, 0, 1, 0, EndpointState.DRAINING, 1.0),
    ]
    catalog = {"dcs": ["south", "north"], "kinds": ["std", "large"], "domain.kind_cores": [8, 32]}
    pool = PoolQuota(
        clock=lambda: EPOCH,
        members=lambda: held.settings.members,
        engine_names=EngineNames.from_settings(Settings.from_catalog(catalog)),
        negotiation=held.negotiation,
        views=None,
    )
    pool.on_endpoint_list(listings)
    assert held.negotiation.ownership.capacities == {"a": 40, "b": 32}


def test_nobody_of_the_owner_lives_so_the_query_is_deferred(tmp_path):
    told = []
    held, _, _ = partner_extension(tmp_path, handle=told.append)
    held.forward(ForwardQuery("id", 1, "b", Request("id", "g", 9, b"UPDATE x_7.t SET a = 1"), 50))
    reason = "no router of its slot's owner is known to live"
    assert told == [events.ClaimDecided("id", 1, events.ClaimVerdict.REJECT, reason, None)]
    assert told[0].verdict == "REJECT"


@pytest.mark.parametrize(
    ("outcome", "rows", "verdict", "reason", "answer"),
    [
        (ForwardOutcome.SERVED, encode_rows([[b"a", b"b", b"c"]]), "REPLAY", "r", [[b"a", b"b", b"c"]]),
        (ForwardOutcome.SERVED, None, "FAIL", "it has finished; its rows did not come", None),
        (ForwardOutcome.SERVED, b"\xc1", "FAIL", "its rows can't be read", None),
        (ForwardOutcome.REJECTED, None, "REJECT", "r", None),
        (ForwardOutcome.FAILED, None, "FAIL", "r", None),
    ],
)
def test_end_of_a_forwarded_query_as_the_reducer_gets_it(outcome, rows, verdict, reason, answer):
    decided = forwarded_queries.claim_decided(("id", 3), Completion(1, outcome, "r", rows))
    assert decided == events.ClaimDecided(
        "id", 3, events.ClaimVerdict(verdict), f"passed on: {reason}", answer
    )


@pytest.mark.parametrize(
    ("view", "up_to_date", "in_force", "confined"),
    [
        (True, True, True, False),
        (False, True, True, True),
        (None, True, True, True),
        (True, False, True, True),
        (True, True, False, True),
    ],
)
def test_router_is_confined_to_the_floor_unless_view_and_agreement_are_in_force(
    view, up_to_date, in_force, confined
):
    shares = {"a": 7000, "b": 3000}
    ownership = SimpleNamespace(
        revision=1,
        effective_shares=lambda now: shares,
        up_to_date=lambda: up_to_date,
        is_in_force=lambda now: in_force,
    )
    routers = {"a": frozenset({"a0", "a1"}), "b": frozenset({"b0", "b1"})}
    pool = PoolQuota(
        clock=lambda: EPOCH,
        members=tuple,
        engine_names=EngineNames.from_settings(Settings.from_catalog({})),
        negotiation=SimpleNamespace(router="a0", partner="a", routers=routers, ownership=ownership),
        views=None if view is None else SimpleNamespace(in_force=lambda now: view),
    )
    quotas = QuotaLeases("a0", ["a0", "a1", "b0", "b1"], {"pool": 1_000_000}, 1, EPOCH)
    pool.update_entitlement(quotas)
    limit = quotas.limits["pool"]
    assert (limit.entitlement, limit.group, limit.confined) == (350_000, routers["a"], confined)
    assert limit.fixed_floor == 1_000_000 // 64
    assert limit.settling_time == ENTITLEMENT_SETTLING_TIME
    shares["a"] = 3000
    pool.update_entitlement(quotas)
    assert limit.entitlement == 350_000  # the shares are read anew with another revision
    ownership.revision = 2
    pool.update_entitlement(quotas)
    assert limit.entitlement == 250_000


# ---- shares of the pool ----

ROUTERS = {"a": ["a0", "a1"], "b": ["b0", "b1"]}
EVERYBODY = [name for some in ROUTERS.values() for name in some]
WHOLE = 1_000_000


class Pool(partners.Pool):
    def __init__(self, shares):
        super().__init__(shares, ROUTERS)

    def step(self):
        super().step()
        assert sum(self.may_use(name) for name in EVERYBODY) <= WHOLE


def test_each_has_its_share_while_all_want_theirs_and_borrows_what_others_do_not_want():
    pool = Pool({"a": 7000, "b": 3000})
    pool.wants = dict.fromkeys(EVERYBODY, WHOLE)
    pool.play(20)
    assert abs(pool.of("a") / WHOLE - 0.7) < 0.02 and abs(pool.of("b") / WHOLE - 0.3) < 0.02
    pool.wants |= {"a0": 100_000, "a1": 100_000}
    pool.play(20)
    lent = pool.of("b")
    assert lent > 0.5 * WHOLE and pool.may_use("a0") >= 100_000
    pool.wants |= {"a0": WHOLE, "a1": WHOLE}
    pool.play(1 + LENDER_HOLD / SECOND + 1)  # what was lent is back within a loan's time and an ask's
    assert pool.of("a") / WHOLE > 0.68


def test_new_shares_never_add_up_to_more_though_routers_hear_of_them_one_after_another():
    pool = Pool({"a": 8000, "b": 2000})
    pool.wants = dict.fromkeys(EVERYBODY, WHOLE)
    pool.play(15)
    new = {"a": 1000, "b": 9000}
    pool.told_of |= {"b0": new, "a0": new}
    pool.play(4)  # a lease: by then who has not heard of it is confined
    pool.confined = {"a1"}
    pool.play(10)
    pool.told_of, pool.confined = dict.fromkeys(EVERYBODY, new), set()
    pool.play(15)
    assert pool.of("b") / WHOLE > 0.85


@settings(max_examples=25, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EVERYBODY), st.integers(0, WHOLE)), max_size=12), st.integers(0, 9))
def test_whatever_is_wanted_parts_add_up_to_no_more_than_the_whole(wants, share):
    pool = Pool({"a": share * 1000, "b": 10_000 - share * 1000})
    for name, units in wants:
        pool.wants[name] = units
        pool.play(2)
    pool.play(10)


def test_greedy_partner_gets_nothing_that_others_want():
    """It asks for all and says that it has nothing."""
    pool = Pool({"a": 5000, "b": 5000})
    pool.wants = {"a0": WHOLE, "a1": WHOLE, "b0": 250_000, "b1": 250_000}
    pool.play(30)
    assert pool.of("b") / WHOLE > 0.48
