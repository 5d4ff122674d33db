"""The partner extension of a router: forwarded queries, the operator file, shares of the pool."""

from types import SimpleNamespace

import pytest
from conftest import CATALOG
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.cli import commands
from hillchute.coordination.quota_leases import LENDER_HOLD, QuotaLeases
from hillchute.decision.interface import SECOND, EndpointEntry, EndpointState
from hillchute.decision.scheduler import QueryScheduler
from hillchute.fronts.events import FIRST_FORWARDED_SESSION
from hillchute.lab import partners
from hillchute.lab.history_net import EPOCH
from hillchute.lab.partners_net import private_key_bytes, public_key_bytes
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


class ReducerHarness:
    """A reducer with partners, whose claims are decided by the test."""

    def __init__(self):
        settings = Settings.from_catalog(CATALOG | NAMES | {"limits.open_cap": 100})
        self.scheduler = QueryScheduler(7, settings, 0)
        self.reducer = Reducer(self.scheduler, settings, 8)
        self.reducer.claims_idempotent = self.reducer.claims_non_idempotent = True
        self.count = 0

    def submit(self, group, token=None, session=None, now=0):
        self.count += 1
        query_id = f"{self.count:016x}"
        key = "cd" if token else None
        request = Request(query_id, group, 5 * SECOND, b"UPDATE x_3.t SET a = 1", token, 1000, 1.0, key, "a")
        session = self.count if session is None else session
        return query_id, self.reducer.reduce(events.QueryReceived(session, request, now), now)

    def decide(self, query_id, verdict, reason="why", rows=None, now=10):
        number = self.reducer.queries[query_id].number
        return self.reducer.reduce(events.ClaimDecided(query_id, number, verdict, reason, rows), now)


def of_type(effects, *kinds):
    return [e for e in effects if isinstance(e, kinds)]


def test_mutating_query_claims_its_table_group_and_a_read_only_one_makes_no_claim():
    rig = ReducerHarness()
    query_id, effects = rig.submit("write")
    (claim,) = of_type(effects, ClaimQuery)
    assert claim.is_transient and not claim.ordered and (claim.customer, claim.token) == ("", query_id)
    assert claim.key == "\0tables 3" and query_id not in rig.scheduler.queries
    rig.decide(query_id, "RUN")
    assert query_id in rig.scheduler.queries
    query_id, effects = rig.submit("lookup")
    assert not of_type(effects, ClaimQuery) and query_id in rig.scheduler.queries
    rig.reducer.claims_non_idempotent = False
    query_id, effects = rig.submit("write")
    assert not of_type(effects, ClaimQuery) and query_id in rig.scheduler.queries


def test_query_of_another_partners_slot_is_forwarded_and_answered_with_its_result():
    rig = ReducerHarness()
    query_id, _ = rig.submit("load", "ab")
    (forwarded,) = of_type(rig.decide(query_id, "FORWARD", "b"), ForwardQuery)
    assert (forwarded.query, forwarded.owner, forwarded.request.idempotency_key) == (query_id, "b", "ab")
    assert 0 < forwarded.time_left <= 5 * SECOND and query_id not in rig.scheduler.queries
    effects = rig.decide(query_id, "REPLAY", "", [[b"1"], [b"2"], [b"3"]])
    assert [(e.session, e.rows) for e in of_type(effects, SendResult)] == [(1, [[b"1"], [b"2"], [b"3"]])]
    assert not of_type(effects, CancelForward) and query_id not in rig.reducer.queries
    # The next query of its key may run.
    assert [(e.query, e.outcome) for e in of_type(effects, EndClaim)] == [(query_id, "not_run")]


@pytest.mark.parametrize(("verdict", "effect"), [("REJECT", RejectQuery), ("FAIL", FailQuery)])
def test_forwarded_query_ends_once_with_the_outcome_at_its_owner(verdict, effect):
    rig = ReducerHarness()
    query_id, _ = rig.submit("write")
    rig.decide(query_id, "FORWARD", "b")
    assert len(of_type(rig.decide(query_id, verdict), effect)) == 1 and query_id not in rig.reducer.queries


def test_forwarded_query_is_not_forwarded_again():
    rig = ReducerHarness()
    query_id, _ = rig.submit("load", "ab", session=FIRST_FORWARDED_SESSION + 1)
    effects = rig.decide(query_id, "FORWARD", "c")
    assert not of_type(effects, ForwardQuery) and len(of_type(effects, RejectQuery)) == 1


def test_forwarded_query_without_an_answer_in_time_has_failed():
    rig = ReducerHarness()
    query_id, _ = rig.submit("load", "ab")
    rig.decide(query_id, "FORWARD", "b")
    effects = rig.reducer.reduce(events.AlarmDue(), 5 * SECOND)
    assert len(of_type(effects, FailQuery)) == 1 and not of_type(effects, RejectQuery)  # it may have run
    assert [(e.query, e.number) for e in of_type(effects, CancelForward)] == [(query_id, 1)] or of_type(
        effects, CancelForward
    )


def test_forwarded_query_is_cancelled_when_its_client_leaves():
    rig = ReducerHarness()
    query_id, _ = rig.submit("load", "ab")
    rig.decide(query_id, "FORWARD", "b")
    effects = rig.reducer.reduce(events.ClientGone(rig.count), 10)
    assert (
        [e.query for e in of_type(effects, CancelForward)]
        == [query_id]
        == [e.query for e in of_type(effects, EndClaim)]
    )
    assert not of_type(rig.reducer.reduce(events.ClaimDecided(query_id, 1, "REPLAY", "", []), 20), SendResult)


def test_history_key_is_the_ordering_key_or_the_table_group():
    request_fields = "id", "g", 1, b"UPDATE x_7.t SET a = 1"
    assert history_key(Request(*request_fields, idempotency_key="ab", ordering_key="cd", customer="a")) == (
        "a",
        "cd",
        "ab",
    )
    assert history_key(Request(*request_fields, idempotency_key="ab", customer="a")) == ("a", "ab", "ab")
    assert history_key(Request(*request_fields, customer="a")) == ("", "\0tables 7", "id")


# ---- the operator file ----

KEYS = {name: public_key_bytes(name).hex() for name in "ab"}
MEMBERS = f"""members: [{{name: "a", key: "{KEYS["a"]}", routers: ["r0"], zones: ["north"]}},
  {{name: "b", key: "{KEYS["b"]}", routers: ["r1"], kinds: ["large"]}}]"""
PEERS = """peers: {name: "r0", listen: "127.0.0.1:1",
  others: [{name: "r1", address: "127.0.0.1:2", key: "0123456789abcdef"}]}"""
HISTORY = "history: {number: 1, default: {}}"
SINGLE_MEMBER = f'members: [{{name: "a", key: "{KEYS["a"]}", routers: ["r0"]}}]'
QUOTED_A, QUOTED_B = '"a"', '"b"'
OFFER = "offer: {turn: 1, capacity: 8, want: 5000, least: 1000, most: 9000, begins_ms: 0, ends_ms: 9}"

LOW = OFFER.replace("5000", "500")


def text(partners, peers=PEERS, history=HISTORY):
    return f"{peers}\n{history}\npartners: {{{partners}}}"


@pytest.mark.parametrize(
    ("partners", "overrides", "message"),
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
def test_invalid_partner_settings_are_reported_with_their_path(partners, overrides, message):
    with pytest.raises(OperatorFileError) as error:
        reading.parse_settings(text(partners, **overrides), "o.cue")
    assert message in str(error.value) and "o.cue" in str(error.value)


def test_invalid_private_key_is_reported(tmp_path):
    (tmp_path / "k").write_text("00ff")
    section = f'own: "a", {OFFER}, key_file: "{tmp_path / "k"}", marks_file: "m", {MEMBERS}'
    with pytest.raises(OperatorFileError, match="64 hex digits"):
        reading.parse_settings(text(section))


def test_private_key_is_not_printed_with_the_settings(tmp_path, capsysbinary):
    (tmp_path / "k").write_text(private_key_bytes("a").hex())
    section = f'own: "a", {OFFER}, key_file: "{tmp_path / "k"}", marks_file: "m", {MEMBERS}'
    (tmp_path / "o.cue").write_text(text(section))
    assert commands.main(["check", str(tmp_path / "o.cue"), "--json"]) == 0
    output = capsysbinary.readouterr().out
    assert b'"offer"' in output and private_key_bytes("a").hex().encode() not in output


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def partner_extension(tmp_path, signs=True, handle=lambda event: None, **changed):
    (tmp_path / "k").write_text(private_key_bytes("a").hex())
    section = f'own: "a", {MEMBERS}'
    if signs:
        section += f', {OFFER}, key_file: "{tmp_path / "k"}", marks_file: "{tmp_path / "m"}"'
    settings_section = reading.parse_settings(text(section))["partners"] | changed
    node = Node(RouterIdentity("r0", EPOCH // 10), {"r1": b"0123456789abcdef"}, 1, EPOCH, None)
    log = Log()
    context = ExtensionContext(
        node=node, clock=lambda: EPOCH, log=log, handle=handle, schedule_messages=lambda: None
    )
    extension = PartnerExtension(
        settings=settings_section, context=context, seed=1, router_clock=lambda: EPOCH
    )
    return extension, log, settings_section


def test_offer_of_the_operator_file_is_made_and_a_lower_revision_is_logged(tmp_path):
    extension, log, settings_section = partner_extension(tmp_path)
    (offer, _) = extension.negotiation.ledger.offers["a"]
    assert (offer.partner, offer.desired_share, offer.ends_at) == ("a", 5000, 90)
    later_offer = settings_section["offer"] | {"turn": 3, "want": 6000}
    extension.prepare_reload(settings_section | {"offer": later_offer}).apply()
    assert extension.negotiation.ledger.offers["a"][0].desired_share == 6000
    extension.prepare_reload(settings_section | {"offer": settings_section["offer"] | {"turn": 2}}).apply()
    assert [fields["error"] for event, fields in log.lines if "error" in fields] == ["InvalidAgreementError"]
    assert extension.prepare_reload(settings_section | {"own": "b"}).needs_restart == ["partners.own"]


def test_router_without_a_key_signs_nothing_and_an_invalid_journal_is_logged(tmp_path):
    extension, _, _ = partner_extension(tmp_path, signs=False)
    assert extension.negotiation.signer is None and not extension.negotiation.ledger.offers
    (tmp_path / "m").write_text("what\n")
    extension, log, _ = partner_extension(tmp_path)
    assert extension.negotiation.signer is None
    assert [fields["error"] for _, fields in log.lines] == ["SignatureJournalError"]


def test_engine_counts_for_the_partner_with_its_zone_and_kind(tmp_path):
    extension, _, _ = partner_extension(tmp_path)
    entries = [
        EndpointEntry(1, 0, 0, 1, 0, EndpointState.READY, 1.0),  # north: belongs to a
        EndpointEntry(2, 1, 0, 0, 0, EndpointState.READY, 1.0),  # large: belongs to b
        EndpointEntry(3, 1, 0, 1, 0, EndpointState.READY, 1.0),  # matches both: belongs to the first
        EndpointEntry(4, 0, 0, 0, 0, EndpointState.READY, 1.0),  # matches neither
        EndpointEntry(5, 0, 0, 1, 0, EndpointState.DRAINING, 1.0),
    ]
    catalog = {"dcs": ["south", "north"], "kinds": ["std", "large"], "domain.kind_cores": [8, 32]}
    pool = PoolQuota(
        clock=lambda: EPOCH,
        members=lambda: extension.settings.members,
        engine_names=EngineNames.from_settings(Settings.from_catalog(catalog)),
        negotiation=extension.negotiation,
        views=None,
    )
    pool.on_endpoint_list(entries)
    assert extension.negotiation.ownership.capacities == {"a": 40, "b": 32}


def test_query_is_rejected_if_no_router_of_its_owner_is_alive(tmp_path):
    events_handled = []
    extension, _, _ = partner_extension(tmp_path, handle=events_handled.append)
    extension.forward(ForwardQuery("id", 1, "b", Request("id", "g", 9, b"UPDATE x_7.t SET a = 1"), 50))
    reason = "no router of its slot's owner is known to live"
    assert events_handled == [events.ClaimDecided("id", 1, events.ClaimVerdict.REJECT, reason, None)]
    assert events_handled[0].verdict == "REJECT"


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
    assert limit.entitlement == 350_000  # the shares are read again only with another revision
    ownership.revision = 2
    pool.update_entitlement(quotas)
    assert limit.entitlement == 250_000


# ---- shares of the pool ----

ROUTERS = {"a": ["a0", "a1"], "b": ["b0", "b1"]}
ALL_ROUTERS = [name for names in ROUTERS.values() for name in names]
TOTAL = 1_000_000


class Pool(partners.Pool):
    def __init__(self, shares):
        super().__init__(shares, ROUTERS)

    def step(self):
        super().step()
        assert sum(self.usable_units(name) for name in ALL_ROUTERS) <= TOTAL


def test_partners_get_their_shares_and_borrow_what_others_do_not_request():
    pool = Pool({"a": 7000, "b": 3000})
    pool.requested_units = dict.fromkeys(ALL_ROUTERS, TOTAL)
    pool.play(20)
    assert (
        abs(pool.usable_units_of("a") / TOTAL - 0.7) < 0.02
        and abs(pool.usable_units_of("b") / TOTAL - 0.3) < 0.02
    )
    pool.requested_units |= {"a0": 100_000, "a1": 100_000}
    pool.play(20)
    used_by_b = pool.usable_units_of("b")
    assert used_by_b > 0.5 * TOTAL and pool.usable_units("a0") >= 100_000
    pool.requested_units |= {"a0": TOTAL, "a1": TOTAL}
    pool.play(1 + LENDER_HOLD / SECOND + 1)  # lent units are returned within a lease duration and a request
    assert pool.usable_units_of("a") / TOTAL > 0.68


def test_changed_shares_never_exceed_the_total_while_routers_learn_of_them_one_by_one():
    pool = Pool({"a": 8000, "b": 2000})
    pool.requested_units = dict.fromkeys(ALL_ROUTERS, TOTAL)
    pool.play(15)
    new_shares = {"a": 1000, "b": 9000}
    pool.known_shares |= {"b0": new_shares, "a0": new_shares}
    pool.play(4)  # a view lease: by then routers that do not know the new shares are confined
    pool.confined = {"a1"}
    pool.play(10)
    pool.known_shares, pool.confined = dict.fromkeys(ALL_ROUTERS, new_shares), set()
    pool.play(15)
    assert pool.usable_units_of("b") / TOTAL > 0.85


@settings(max_examples=25, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(ALL_ROUTERS), st.integers(0, TOTAL)), max_size=12), st.integers(0, 9)
)
def test_usable_units_never_exceed_the_total_for_any_requests(requests, share):
    pool = Pool({"a": share * 1000, "b": 10_000 - share * 1000})
    for name, units in requests:
        pool.requested_units[name] = units
        pool.play(2)
    pool.play(10)


def test_greedy_partner_gets_no_units_that_others_request():
    """The partner requests all units and reports that it has none."""
    pool = Pool({"a": 5000, "b": 5000})
    pool.requested_units = {"a0": TOTAL, "a1": TOTAL, "b0": 250_000, "b1": 250_000}
    pool.play(30)
    assert pool.usable_units_of("b") / TOTAL > 0.48
