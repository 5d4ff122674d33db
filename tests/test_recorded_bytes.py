"""Compares the encoding of every message type of every codec with the bytes in data/recorded_bytes.json.

Routers, engines, clients and the simulator of other versions read and write these bytes. A difference means
that a wire format or a stored signature is no longer compatible; do not record the bytes again. Each codec's
examples are built in one function, so that the rename of a class or field changes one place, and with keyword
arguments, so that swapped fields of the same type are detected. To record a new message type, run
`PYTHONPATH=. python tests/test_recorded_bytes.py`, which adds missing entries to the file and never changes
existing ones.
"""

import ast
import inspect
import json
import textwrap
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple, get_args

import msgspec
import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from hillchute.benchlink import codec as simulator
from hillchute.coordination import codec as gossip
from hillchute.coordination import messages as coordination
from hillchute.decision.interface import (
    Cancel,
    Decision,
    EndpointEntry,
    Fail,
    HealthCheck,
    Reject,
    SetExecutionOptions,
    SetTimer,
    Submit,
    WatchEndpoints,
)
from hillchute.discovery import event_bus
from hillchute.engines.line import wire as line
from hillchute.fronts.flight import answers as flight
from hillchute.fronts.flight import tickets
from hillchute.fronts.mysql import packets as mysql
from hillchute.history import claim_decision, messages, ownership_leases, records, retention, views
from hillchute.history import codec as history
from hillchute.partners import agreements, offers, signatures
from hillchute.partners import codec as partners
from hillchute.partners import messages as partner_messages
from hillchute.peers import datagrams as peers
from hillchute.peers import fragmentation

RECORDED = Path(__file__).parent / "data" / "recorded_bytes.json"
PEER_KEY = bytes(range(1, 33))
PRIVATE_KEY = bytes(range(101, 133))


class Example(NamedTuple):
    """A value with its encoder and decoder; `decode` is None for messages that the project only writes."""

    key: str
    value: object
    encode: Callable[[object], bytes]
    decode: Callable[[bytes], object] | None = None


# ---- messages between routers -----------------------------------------------------------------------


def gossip_examples() -> Iterator[Example]:
    def example(name: str, digest: coordination.Digest) -> Example:
        return Example(
            f"coordination/{name}", digest, gossip.encode, lambda data: gossip.decode(data, "router-a")
        )

    full = coordination.Digest(
        membership_checksum=71,
        load_reports=(
            coordination.LoadReport(engine=11, age=12, figures=(13, 14, -1)),
            coordination.LoadReport(engine=15, age=16, figures=()),
        ),
        failures=(coordination.EngineFailure(engine=21, age=22),),
        drains=(coordination.DrainNotice(engine=31, event_number=32),),
        warm_up_work=(coordination.WarmUpWork(engine=41, total=42),),
        admissions=(coordination.AdmissionCounts(group=51, received=53, rejected=52),),
        demands={"limit-a": coordination.Demand(requested=61, usable=62)},
        lease_requests={
            "limit-b": coordination.LeaseRequest(number=63, amount=64, still_used=65, requested=66, usable=67)
        },
        lease_grants={"limit-c": coordination.LeaseGrant(number=68, amount=69, duration=70)},
    )
    yield example("digest", full)
    yield example("digest, empty", coordination.Digest())


def peers_examples() -> Iterator[Example]:
    def example(name: str, datagram: peers.Datagram) -> Example:
        return Example(
            f"peers/{name}",
            datagram,
            lambda value: peers.encode(value, PEER_KEY),
            lambda data: peers.decode(data, "router-b", {"router-a": PEER_KEY}),
        )

    states = {
        "alive": peers.PeerState.ALIVE,
        "suspected": peers.PeerState.SUSPECT,
        "dead": peers.PeerState.DEAD,
        "left": peers.PeerState.LEFT,
    }
    rumours = tuple(
        peers.Rumour(name=f"of-{name}", state=state, incarnation=100 + state, witness=f"by-{state}")
        for name, state in states.items()
    )
    kinds = {
        "ping": peers.DatagramKind.PING,
        "ping-answer": peers.DatagramKind.PING_ACK,
        "indirect-ping-request": peers.DatagramKind.INDIRECT_PING,
        "indirect-ping-answer": peers.DatagramKind.INDIRECT_PING_ACK,
        "payload": peers.DatagramKind.PAYLOAD,
        "state-request": peers.DatagramKind.STATE_REQUEST,
        "history-fragment": peers.DatagramKind.HISTORY_FRAGMENT,
        "partners-fragment": peers.DatagramKind.PARTNERS_FRAGMENT,
    }
    for name, kind in kinds.items():
        full = peers.Datagram(
            sender="router-a",
            receiver="router-b",
            generation=1_700_000_000_001,
            receiver_generation=1_700_000_000_002,
            sequence=300 + kind,
            kind=kind,
            ping_number=400 + kind,
            subject="router-c",
            rumours=rumours,
            payload=b"\x00payload\xff",
        )
        yield example(name, full)
    yield example(
        "ping, optional fields absent",
        peers.Datagram(
            sender="router-a",
            receiver="router-b",
            generation=5,
            receiver_generation=0,
            sequence=6,
            kind=0,
            ping_number=7,
        ),
    )
    fragment = fragmentation.Fragment(message_number=1, index=2, total=3, data=b"\x00piece\xff")
    yield Example(
        "peers/fragment",
        fragment,
        fragmentation.fragment_encoder.encode,
        fragmentation.fragment_decoder.decode,
    )


def history_examples() -> Iterator[Example]:
    def example(name: str, message: object) -> Example:
        return Example(
            f"history/{name}", message, history.encode, lambda data: history.decode(data, "router-a")
        )

    one, two, three = (1001, "router-a"), (1002, "router-b"), (1003, "router-c")
    view = views.View(
        number=1001,
        coordinator="router-a",
        members={"router-b": 5, "router-a": 4},
        copies=3,
        predecessor=two,
        predecessor_members={"router-c": 6},
        predecessor_copies=2,
        is_first=True,
    )
    base = retention.RetentionPolicy(
        least_ms=1100,
        most_ms=2200,
        most=33,
        most_bytes=44_000,
        most_records=55,
        rows=True,
        replay=False,
        hold=True,
        disk=True,
        lost="run",
    )
    # Any two of the four flags differ in one of the three policies, so that swapped flags are detected.
    customers = {
        "customer-c": msgspec.structs.replace(base, hold=False),
        "customer-d": msgspec.structs.replace(base, rows=False, replay=True),
    }
    erasure_requests = (
        retention.ErasureRequest(before=91, customer="customer-f", ordering_key="key-f"),
        retention.ErasureRequest(before=92),
    )
    policies = retention.RetentionPolicies(
        number=81,
        copies=3,
        erase_ms=4000,
        founded=82,
        default=base,
        customers=customers,
        erasure_requests=erasure_requests,
    )
    record = records.Record(
        customer="customer-r",
        ordering_key="key-r",
        idempotency_key="token-r",
        granted_at=201,
        sequence=202,
        attempt=203,
        router="router-o",
        incarnation=204,
        claim_number=205,
        timeout=206,
        state=2,
        rows=b"\x00r\xff",
        lease_number=207,
    )
    bare = records.Record(
        customer="customer-r",
        ordering_key="key-r",
        idempotency_key="token-r",
        granted_at=201,
        sequence=202,
        attempt=203,
        router="router-o",
        incarnation=204,
        claim_number=205,
        timeout=206,
    )
    lease = ownership_leases.OwnershipLease(number=301, owner="partner-t")

    yield example("prepare", messages.PromiseRequest(view=one, adopted=two))
    yield example(
        "promise",
        messages.PromiseReply(
            promise=views.Promise(requested=one, given=True, highest=two, has_granted=False, adopted=view)
        ),
    )
    yield example(
        "promise, optional fields absent",
        messages.PromiseReply(
            promise=views.Promise(
                requested=one, given=False, highest=two, has_granted=False, adopted=views.View()
            )
        ),
    )
    yield example(
        "lease-request",
        messages.Heartbeat(
            view=one, sent_at=401, echo=402, lease_remaining=403, policies_number=404, agreement_number=405
        ),
    )
    yield example(
        "lease-request, optional fields absent",
        messages.Heartbeat(view=one, sent_at=401, echo=402, lease_remaining=403, policies_number=404),
    )
    yield example(
        "lease-grant",
        messages.HeartbeatReply(
            grant=views.Grant(
                view=one,
                sent_at=411,
                granted_at=412,
                given=True,
                lacks_view=False,
                adopted=two,
                highest=three,
                policies_number=413,
                agreement_number=414,
            )
        ),
    )
    yield example(
        "lease-grant, optional fields absent",
        messages.HeartbeatReply(
            grant=views.Grant(
                view=one,
                sent_at=411,
                granted_at=412,
                given=False,
                lacks_view=False,
                adopted=two,
                highest=three,
                policies_number=413,
            )
        ),
    )
    yield example("view", messages.ViewAnnouncement(view=view))
    yield example("view, optional fields absent", messages.ViewAnnouncement(view=views.View()))
    yield example(
        "view-change",
        messages.ViewUpdate(
            view=one, base=two, copies=4, removed=("router-x", "router-y"), added={"router-z": 421}
        ),
    )
    yield example("policies-request", messages.PoliciesRequest(above=431))
    yield example("policies", messages.PoliciesUpdate(policies=policies))
    yield example(
        "policies, optional fields absent", messages.PoliciesUpdate(policies=retention.RetentionPolicies())
    )
    yield example(
        "claim-request",
        messages.ClaimRequest(
            view=one,
            number=441,
            incarnation=442,
            customer="customer-q",
            ordering_key="key-q",
            idempotency_key="token-q",
            time_left=443,
            ordered=False,
            is_transient=True,
        ),
    )
    yield example(
        "claim-request, optional fields absent",
        messages.ClaimRequest(
            view=one,
            number=441,
            incarnation=442,
            customer="customer-q",
            ordering_key="key-q",
            idempotency_key="token-q",
            time_left=443,
            ordered=True,
        ),
    )
    yield example(
        "claim-verdict",
        messages.ClaimReply(number=451, incarnation=452, decision=5, reason="a reason", record=record),
    )
    verdicts = {
        "run": claim_decision.ClaimDecision.RUN,
        "answer": claim_decision.ClaimDecision.REPLAY,
        "wait": claim_decision.ClaimDecision.WAIT,
        "reject": claim_decision.ClaimDecision.REJECT,
        "fail": claim_decision.ClaimDecision.FAIL,
        "forward": claim_decision.ClaimDecision.FORWARD,
    }
    for name, decision in verdicts.items():
        yield example(
            f"claim-verdict, {name}, optional fields absent",
            messages.ClaimReply(number=451, incarnation=452, decision=decision.value, reason="a reason"),
        )
    yield example("run-ended", messages.Completion(view=one, record=record))
    states = {
        "out": records.RecordState.RUNNING,
        "freed": records.RecordState.NOT_RUN,
        "finished": records.RecordState.SERVED,
        "killed": records.RecordState.FAILED,
    }
    for name, state in states.items():
        ended = msgspec.structs.replace(bare, state=state)
        yield example(
            f"run-ended, record {name}, optional fields absent", messages.Completion(view=one, record=ended)
        )
    yield example("run-ended-acknowledgement", messages.CompletionReply(number=461, incarnation=462))
    yield example("replicate", messages.ReplicateRequest(view=one, number=471, record=record, age=472))
    yield example("replicate-acknowledgement", messages.ReplicateReply(view=one, number=481, stored=True))
    yield example("slot-request", messages.SlotRequest(view=one, slot=491, epoch=two))
    yield example(
        "slot-part",
        messages.SlotPart(
            view=one,
            slot=501,
            part=1,
            parts=3,
            records=(record, bare),
            ages=(504, 505),
            lost=506,
            lease=lease,
        ),
    )
    yield example(
        "slot-part, optional fields absent",
        messages.SlotPart(view=one, slot=501, part=0, parts=1, records=(), ages=(), lost=None),
    )
    yield example(
        "slot-redirect",
        messages.SlotRedirect(view=one, slot=511, epoch=two, sources={"router-s": 512, "router-r": 513}),
    )
    yield example("ownership-lease", messages.LeaseUpdate(view=one, slot=521, lease=lease))
    yield example("ownership-lease-acknowledgement", messages.LeaseReply(view=one, slot=531, number=532))


# ---- partners: messages and signed values -----------------------------------------------------------


def signed_values() -> tuple[offers.Offer, agreements.Agreement, agreements.TerminationNotice]:
    offer = offers.Offer(
        partner="partner-a",
        revision=601,
        capacity=602,
        desired_share=603,
        minimum_share=600,
        maximum_share=700,
        starts_at=606,
        ends_at=607,
        grace_period=608,
        notice_period=609,
    )
    owners = bytes(n % 2 for n in range(1024))
    shares, capacities = {"partner-b": 4000, "partner-a": 6000}, {"partner-b": 611, "partner-a": 612}
    agreement = agreements.Agreement(
        number=613,
        shares=shares,
        capacities=capacities,
        starts_at=614,
        ends_at=615,
        grace_period=616,
        notice_period=617,
        owners=owners,
        predecessor=610,
    )
    return (
        offer,
        agreement,
        agreements.TerminationNotice(partner="partner-a", agreement_number=621, effective_at=622),
    )


def partners_examples() -> Iterator[Example]:
    def example(name: str, message: object) -> Example:
        return Example(
            f"partners/{name}", message, partners.encode, lambda data: partners.decode(data, "router-a")
        )

    def signature(number: int) -> signatures.Signature:
        return signatures.Signature(
            partner=f"partner-{number}",
            number=number,
            digest=bytes([number]) * 32,
            value=bytes([number + 1]) * 64,
        )

    offer, agreement, notice = signed_values()
    bare_agreement = agreements.Agreement(
        number=631,
        shares={"p": 10_000},
        capacities={"p": 632},
        starts_at=633,
        ends_at=634,
        grace_period=635,
        notice_period=636,
        owners=bytes(1024),
    )
    bare_offer = offers.Offer(
        partner="partner-b",
        revision=641,
        capacity=642,
        desired_share=643,
        minimum_share=640,
        maximum_share=700,
        starts_at=644,
        ends_at=645,
    )

    yield example("gossip-digest", partner_messages.LedgerDigest(digest=bytes(range(32))))
    yield example(
        "gossip-state",
        partner_messages.LedgerEntries(
            offers=(
                signatures.SignedOffer(offer, signature(11)),
                signatures.SignedOffer(bare_offer, signature(13)),
            ),
            agreements=(agreement, bare_agreement),
            signatures=(signature(15), signature(17)),
            notices=(signatures.SignedNotice(notice, signature(19)),),
            equivocations=(signatures.Equivocation(signature(21), signature(23)),),
            reply_wanted=True,
        ),
    )
    yield example(
        "gossip-state, empty",
        partner_messages.LedgerEntries(
            offers=(), agreements=(), signatures=(), notices=(), equivocations=(), reply_wanted=False
        ),
    )
    query = partner_messages.ForwardQuery(
        number=651,
        incarnation=652,
        target_incarnation=653,
        query_id="query-1",
        group="group-1",
        statement=b"\x00select\xff",
        idempotency_key="token-1",
        cost=654,
        memory=655.5,
        ordering_key="key-1",
        customer="customer-1",
        time_left=656,
    )
    bare = msgspec.structs.replace(query, idempotency_key=None, cost=None, ordering_key=None)
    yield example("forwarded-query", query)
    yield example("forwarded-query, optional fields absent", bare)
    yield example("forward-accepted", partner_messages.ForwardAccepted(number=661, incarnation=662))
    yield example(
        "forward-result",
        partner_messages.ForwardResult(
            number=671,
            incarnation=672,
            outcome=partner_messages.ForwardOutcome.SERVED,
            reason="a reason",
            rows=b"\x00rows\xff",
        ),
    )
    for outcome in partner_messages.ForwardOutcome:
        message = partner_messages.ForwardResult(
            number=671, incarnation=672, outcome=outcome, reason="a reason", rows=None
        )
        yield example(f"forward-result, {outcome.name.lower()}, optional fields absent", message)
    yield example(
        "forward-result-acknowledgement", partner_messages.ForwardResultAck(number=681, incarnation=682)
    )
    yield example("forward-cancelled", partner_messages.ForwardCancel(number=691, incarnation=692))


def signature_examples() -> Iterator[Example]:
    """Signed bytes begin with the name of the value's kind, on which routers and stored files depend."""
    for name, value, number in zip(("offer", "agreement", "notice"), signed_values(), (601, 613, 621)):
        kind = signatures.kind_of(value)
        yield Example(f"partners/signed-digest of {name}", value, signatures.content_digest)
        yield Example(
            f"partners/signed-bytes of {name}",
            value,
            lambda value, kind=kind, number=number: signatures.signed_bytes(
                kind, number, signatures.content_digest(value)
            ),
        )
        yield Example(
            f"partners/signature of {name}",
            value,
            lambda value, kind=kind, number=number: signatures.ed25519_signer(PRIVATE_KEY)(
                signatures.signed_bytes(kind, number, signatures.content_digest(value))
            ),
        )


# ---- engines, simulator, event bus, clients ---------------------------------------------------------


def line_examples() -> Iterator[Example]:
    full = line.StartRun(
        id="query-1",
        group="group-1",
        timeout_ms=701,
        priority=702,
        idempotency_key="token-1",
        statement=b"select \x00\xff\r\n",
    )
    bare = line.StartRun(
        id="query-1", group="group-1", timeout_ms=701, priority=None, idempotency_key=None, statement=b""
    )
    for name, command in (
        ("submit", full),
        ("submit, optional fields absent", bare),
        ("cancel", line.CancelRun(id="query-2")),
        ("prioritize", line.SetPriority(id="query-3", priority=703)),
        ("next-page", line.FetchPage(id="query-4", page=704)),
        ("close-result", line.DiscardResult(id="query-5")),
        ("load-report-request", line.LoadReportRequest(tag="tag-1")),
    ):
        yield Example(f"engine-line/{name}", command, line.encode)


def simulator_examples() -> Iterator[Example]:
    for name, decision in (
        ("submit", Submit(query="query-1", engine=711, time_limit=712)),
        ("reject", Reject(query="query-2", retry_after=713, reason="a reason")),
        ("fail", Fail(query="query-3", reason="a reason")),
        ("cancel", Cancel(query="query-4", attempt=714)),
        ("set-terms", SetExecutionOptions(query="query-5", memory_mb=715.25, priority=716)),
        ("set-terms, whole megabytes", SetExecutionOptions(query="query-5", memory_mb=717.0, priority=0)),
        ("health-check", HealthCheck(engine=718)),
        ("watch", WatchEndpoints()),
        ("timer", SetTimer(at=719, name="a-name")),
    ):
        yield Example(f"simulator/{name}", decision, lambda value: simulator.encode(value).encode())


def event_bus_examples() -> Iterator[Example]:
    yield Example("event-bus/subscribe", 0x0102030405060708, event_bus.encode_subscription)
    yield Example("event-bus/subscribe from the start", 0, event_bus.encode_subscription)
    yield Example("event-bus/engine-name", 0x1A2B, lambda value: event_bus.engine_name(value).encode())


def mysql_examples() -> Iterator[Example]:
    """Packets that a session writes, with sequence number 3 unless the session sets another."""

    def example(name: str, write: Callable[[mysql.Session], bytes]) -> Example:
        def encode(write: Callable[[mysql.Session], bytes]) -> bytes:
            session = mysql.Session(0x01020304, 70_000)
            session.sequence = 3
            session.logged_in = True
            return write(session)

        return Example(f"mysql/{name}", write, encode)

    def reply_to(payload: bytes) -> Callable[[mysql.Session], bytes]:
        def write(session: mysql.Session) -> bytes:
            session.feed(len(payload).to_bytes(3, "little") + b"\x00" + payload)
            command, answer = session.command()
            assert command is None
            return answer

        return write

    def login_reply(payload: bytes) -> Callable[[mysql.Session], bytes]:
        def write(session: mysql.Session) -> bytes:
            session.logged_in = False
            return reply_to(payload)(session)

        return write

    def row_by_row(session: mysql.Session) -> bytes:
        rows = [(b"a", None), (b"", b"x" * 251)]
        return (
            session.begin_result(["first", "zweite \u00e4"])
            + session.result_rows(rows)
            + session.end_result()
        )

    yield example("greeting", lambda session: session.greeting())
    yield example("ok", lambda session: session.ok())
    for number, kind in sorted(mysql_error_kinds().items()):
        yield example(
            f"error {number}", lambda session, kind=kind: session.error_answer(kind, "a message \u00e4")
        )
    yield example("error, message cut", lambda session: session.error_answer(mysql.REFUSED, "m" * 500))
    yield example("error, at close", lambda session: session.close(mysql.FAILED, "a message"))
    yield example("result, empty", lambda session: session.result([]))
    yield example(
        "result, short and long rows",
        lambda session: session.result(
            [(b"1", b"two", b""), (b"l" * 250, b"m" * 251, b"n"), (b"", b"", b"")]
        ),
    )
    yield example("result, row by row", row_by_row)
    yield example("login-answer, ok", login_reply(login_packet(b"app", b"lake")))
    yield example("login-answer, no database", login_reply(login_packet(b"app", None)))
    yield example("login-answer, wrong user", login_reply(login_packet(b"other", b"lake")))
    yield example("login-answer, wrong database", login_reply(login_packet(b"app", b"other")))
    yield example("login-answer, malformed", login_reply(b"\x00"))
    yield example("change-database-answer, ok", reply_to(b"\x02lake"))
    yield example("change-database-answer, unknown", reply_to(b"\x02other"))
    yield example("statistics-answer", reply_to(b"\x09"))
    yield example("set-option-answer", reply_to(b"\x1b\x00\x00"))
    yield example("reset-connection-answer", reply_to(b"\x1f"))
    yield example("unknown-command-answer", reply_to(b"\x63"))
    yield example("client-setting-answer", reply_to(b"\x03SET autocommit=1"))
    yield example("packet-too-large", oversized)
    for number in (0, 250, 251, 65_535, 65_536, 0xFFFFFF, 0x1000000):
        yield Example(f"mysql/length {number}", number, mysql.lenenc_integer)


def oversized(session: mysql.Session) -> bytes:
    session.feed((70_001).to_bytes(3, "little") + b"\x00")
    return session.command()[1]


def login_packet(user: bytes, database: bytes | None) -> bytes:
    flags = 0x200 | 0x8000 | (0x8 if database is not None else 0)
    head = flags.to_bytes(4, "little") + bytes(28)
    return head + user + b"\x00\x00" + (database + b"\x00" if database is not None else b"")


def flight_examples() -> Iterator[Example]:
    def ticket(number: int) -> bytes:
        table = tickets.TokenTable(b"a secret", 9, 1000)
        return [table.put(0, "owner", n) for n in range(number)][-1]

    yield Example("flight/ticket, first", 1, ticket)
    yield Example("flight/ticket, third", 3, ticket)
    for name, kind in sorted(flight_status_kinds().items()):
        value = (kind, "a message", None)
        yield Example(f"flight/status {name}", value, lambda value: flight.Status.of(*value).details)
    yield Example(
        "flight/status DEFERRED, with a wait",
        (flight.DEFERRED, "m" * 500, 12_345),
        lambda value: flight.Status.of(*value).details,
    )


EXAMPLES = [
    *gossip_examples(),
    *peers_examples(),
    *history_examples(),
    *partners_examples(),
    *signature_examples(),
]

# ---- the message types of each codec, to detect a missing example -----------------------------------


def mysql_error_kinds() -> dict[int, tuple[int, bytes]]:
    """The constants of packets.py for MySQL errors, by error number."""
    kinds = [kind for kind in vars(mysql).values() if isinstance(kind, tuple) and len(kind) == 2]
    return {number: (number, state) for number, state in kinds if isinstance(number, int)}


def flight_status_kinds() -> dict[str, tuple]:
    """The constants of answers.py for Flight statuses, by reason."""
    kinds = [kind for kind in vars(flight).values() if isinstance(kind, tuple) and len(kind) == 2]
    return {reason: (code, reason) for code, reason in kinds if hasattr(code, "value")}


def simulator_decisions() -> set[str]:
    """The names of the decision classes that the codec encodes."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(simulator.encode)))
    classes = (node.cls for node in ast.walk(tree) if isinstance(node, ast.MatchClass))
    return {node.id for node in classes if isinstance(node, ast.Name)}


EXAMPLES += [
    *line_examples(),
    *simulator_examples(),
    *event_bus_examples(),
    *mysql_examples(),
    *flight_examples(),
]


def recorded() -> dict[str, str]:
    return json.loads(RECORDED.read_text())


def record() -> None:
    """Adds the bytes of examples that are not recorded; existing entries do not change."""
    entries = json.loads(RECORDED.read_text()) if RECORDED.exists() else {}
    for example in EXAMPLES:
        entries.setdefault(example.key, example.encode(example.value).hex())
    RECORDED.parent.mkdir(exist_ok=True)
    RECORDED.write_text(json.dumps(entries, indent=1) + "\n")


def example_values(prefix: str) -> list[object]:
    return [example.value for example in EXAMPLES if example.key.startswith(prefix)]


@pytest.mark.parametrize("example", EXAMPLES, ids=[example.key for example in EXAMPLES])
def test_message_is_encoded_as_recorded(example):
    assert example.encode(example.value).hex() == recorded()[example.key]


DECODABLE = [example for example in EXAMPLES if example.decode]


@pytest.mark.parametrize("example", DECODABLE, ids=[example.key for example in DECODABLE])
def test_recorded_message_is_decoded(example):
    decoded = example.decode(bytes.fromhex(recorded()[example.key]))
    assert type(decoded) is type(example.value) and decoded == example.value


def test_examples_and_recorded_messages_have_the_same_keys():
    keys = [example.key for example in EXAMPLES]
    assert len(set(keys)) == len(keys)
    assert set(keys) == set(recorded())


@pytest.mark.parametrize(
    ("prefix", "messages"),
    [("history/", get_args(messages.Message)), ("partners/", get_args(partner_messages.Message))],
    ids=["history", "partners"],
)
def test_each_message_type_has_an_example(prefix, messages):
    tags = {message.__struct_config__.tag for message in messages}
    assert len(messages) == len(tags) == {"history/": 19, "partners/": 7}[prefix]
    assert tags == set(range(1, len(tags) + 1))
    assert set(messages) <= {type(value) for value in example_values(prefix)}


def test_each_kind_of_datagram_between_routers_has_an_example():
    datagrams = [value for value in example_values("peers/") if isinstance(value, peers.Datagram)]
    assert {datagram.kind for datagram in datagrams} == set(range(8))
    with pytest.raises(ValueError, match="kind"):
        peers.encode(msgspec.structs.replace(datagrams[0], kind=8), PEER_KEY)


def test_each_verdict_and_state_of_a_record_has_an_example():
    values = example_values("history/")
    verdicts = {value.decision for value in values if isinstance(value, messages.ClaimReply)}
    assert verdicts == {decision.value for decision in claim_decision.ClaimDecision}
    states = {value.record.state for value in values if isinstance(value, messages.Completion)}
    assert states == set(records.RecordState)


def test_each_command_to_an_engine_has_an_example():
    assert {type(value) for value in example_values("engine-line/")} == set(get_args(line.Command))


def test_each_decision_that_the_simulator_receives_has_an_example():
    assert {type(value).__name__ for value in example_values("simulator/")} == simulator_decisions()
    assert simulator_decisions() == {kind.__name__ for kind in get_args(Decision)}
    assert len(simulator_decisions()) == 8


def test_each_kind_of_error_to_clients_has_an_example():
    assert sorted(mysql_error_kinds()) == [1040, 1045, 1047, 1049, 1064, 1094, 1153, 1317, 1835]
    assert len(flight_status_kinds()) == 10


def fields_at_default(value: object) -> Iterator[str]:
    """The fields of a message and of the structs in it that are absent, empty or at their default."""
    if isinstance(value, msgspec.Struct):
        for field in msgspec.structs.fields(value):
            field_value = getattr(value, field.name)
            if field_value is None or field_value == field.default or field_value in ((), {}, b"", ""):
                yield f"{type(value).__name__}.{field.name}"
            yield from fields_at_default(field_value)
    if isinstance(value, tuple):
        for item in value[:1]:
            yield from fields_at_default(item)


def has_optional_fields(kind: type) -> bool:
    return any(
        not field.required or type(None) in get_args(field.type) for field in msgspec.structs.fields(kind)
    )


STRUCTS = [
    example for example in EXAMPLES if isinstance(example.value, msgspec.Struct) and ", " not in example.key
]


@pytest.mark.parametrize("example", STRUCTS, ids=[example.key for example in STRUCTS])
def test_full_example_sets_every_field(example):
    assert not list(fields_at_default(example.value))


def test_message_types_with_optional_fields_have_an_example_without_them():
    bare = {type(example.value) for example in EXAMPLES if ", " in example.key}
    full = {type(example.value) for example in STRUCTS}
    signed = {type(value) for value in signed_values()}
    assert {kind for kind in full - signed if has_optional_fields(kind)} <= bare


# ---- messages that are only decoded -----------------------------------------------------------------

REPORT = b"rep=cpu:0.5;mem:7"
ENGINE_ANSWERS = {
    "accepted": (b"id-1 ACK - 0\r\n\r\n", line.Answer(id="id-1", kind="ACK")),
    "result page, every field": (
        b"id-2 BLOCK parts=3,part_no=2,why=disk,value=1.5,work=2.25,"
        b"rep=cpu:0.5;mem:7,new=1 6\r\na\tb\tc\n\r\n",
        line.Answer(
            id="id-2",
            kind="BLOCK",
            body=b"a\tb\tc\n",
            page_count=3,
            page=2,
            topic=2,
            value=1.5,
            cpu_ms=2.25,
            report={"cpu": 0.5, "mem": 7.0},
        ),
    ),
    "note advance": (
        b"id-3 EVENT why=advance,value=0.5 0\r\n\r\n",
        line.Answer(id="id-3", kind="EVENT", topic=1, value=0.5),
    ),
    "note stall": (
        b"id-3 EVENT why=stall,value=2 0\r\n\r\n",
        line.Answer(id="id-3", kind="EVENT", topic=3, value=2.0),
    ),
    "note unknown": (
        b"id-3 EVENT why=other,value=2 0\r\n\r\n",
        line.Answer(id="id-3", kind="EVENT", topic=0, value=2.0),
    ),
    "ready": (
        b"id-4 READY " + REPORT + b" 0\r\n\r\n",
        line.Answer(id="id-4", kind="READY", report={"cpu": 0.5, "mem": 7.0}),
    ),
    "ailing": (b"id-5 AILING - 0\r\n\r\n", line.Answer(id="id-5", kind="AILING")),
    "saturated": (
        b"id-6 AGAIN work=1 4\r\nbusy\r\n",
        line.Answer(id="id-6", kind="AGAIN", body=b"busy", cpu_ms=1.0),
    ),
    "errored": (b"id-7 EIO - 0\r\n\r\n", line.Answer(id="id-7", kind="EIO")),
    "superseded": (b"id-8 STALE - 0\r\n\r\n", line.Answer(id="id-8", kind="STALE")),
}


@pytest.mark.parametrize("name", ENGINE_ANSWERS)
def test_answer_of_an_engine_is_decoded(name):
    data, answer = ENGINE_ANSWERS[name]
    assert list(line.Decoder().feed(data)) == [answer]


def test_each_answer_of_an_engine_has_an_example():
    assert {answer[1] for _, answer in ENGINE_ANSWERS.values()} == line.ANSWER_KINDS
    assert line.RESULT_BY_KIND == {"AGAIN": "saturated", "EIO": "errored", "STALE": "superseded"}


BUS_RECORD = "01020304 0a010203 1f90 {state} 05 06 0007 000009c4 0000000000000064"
READY_RECORD, TERMINATING_RECORD, GONE_RECORD = (
    BUS_RECORD.format(state=state) for state in ("00", "01", "02")
)
BUS_ENDPOINT = event_bus.Endpoint(
    entry=EndpointEntry(engine=0x01020304, kind=6, cell=7, zone=5, started=1000, state="Ready", weight=2.5),
    host="10.1.2.3",
    port=8080,
)
BUS_GONE = BUS_ENDPOINT._replace(entry=BUS_ENDPOINT.entry._replace(state="Gone"))
BUS_TERMINATING = BUS_ENDPOINT._replace(entry=BUS_ENDPOINT.entry._replace(state="Terminating"))
BUS_FRAMES = {
    "nothing": (
        "00000009 0000000000000011 00",
        event_bus.WatchEvent(offset=17, kind="Nothing", endpoints=()),
    ),
    "complete": (
        f"00000024 0000000000000012 01 {READY_RECORD}",
        event_bus.WatchEvent(offset=18, kind="Complete", endpoints=(BUS_ENDPOINT,)),
    ),
    "partial": (
        f"0000003f 0000000000000013 02 {TERMINATING_RECORD} {GONE_RECORD}",
        event_bus.WatchEvent(offset=19, kind="Partial", endpoints=(BUS_TERMINATING, BUS_GONE)),
    ),
}


@pytest.mark.parametrize("name", BUS_FRAMES)
def test_frame_of_the_event_bus_is_decoded(name):
    data, update = BUS_FRAMES[name]
    assert list(event_bus.WatchEventDecoder().feed(bytes.fromhex(data))) == [update]


def test_initial_state_of_the_event_bus_is_decoded():
    endpoint = {
        "name": "s-01020304",
        "address": "10.1.2.3:8080",
        "status": "Ready",
        "type": "large",
        "group": "7",
        "zone": "east",
        "since_ms": "100",
        "weight": 2.5,
    }
    endpoint_without_optional_fields = {"name": "s-00000002", "address": "10.1.2.4:8081", "status": "Gone"}
    batch = [
        {"offset": "17", "topology": {"snapshot": True, "endpoints": [endpoint]}},
        {"offset": 18, "topology": {"endpoints": [endpoint_without_optional_fields]}},
    ]
    first = event_bus.Endpoint(
        entry=EndpointEntry(
            engine=0x01020304, kind=1, cell=7, zone=2, started=1000, state="Ready", weight=2.5
        ),
        host="10.1.2.3",
        port=8080,
    )
    second = event_bus.Endpoint(
        entry=EndpointEntry(engine=2, kind=0, cell=0, zone=0, started=0, state="Gone", weight=1.0),
        host="10.1.2.4",
        port=8081,
    )
    decoded = event_bus.initial_watch_events({"batch": batch}, ["north", "west", "east"], ["small", "large"])
    assert list(decoded) == [
        event_bus.WatchEvent(offset=17, kind="Complete", endpoints=(first,)),
        event_bus.WatchEvent(offset=18, kind="Partial", endpoints=(second,)),
    ]


MYSQL_COMMANDS = {
    "quit": (b"\x01", mysql.Quit()),
    "query": (b"\x03select \x00\xff", mysql.Query(text=b"select \x00\xff", received_at=9)),
    "query, commented": (b"\x03/* a */ set x", mysql.Query(text=b"/* a */ set x", received_at=9)),
    "kill query": (b"\x03KILL  QUERY 731;", mysql.KillQuery(session=731)),
    "ping": (b"\x0e", mysql.Ping()),
    "process kill": (b"\x0c\x01\x02\x00\x00", mysql.KillQuery(session=513)),
}


@pytest.mark.parametrize("name", MYSQL_COMMANDS)
def test_command_of_a_mysql_client_is_decoded(name):
    payload, command = MYSQL_COMMANDS[name]
    session = mysql.Session(1, 1000)
    session.logged_in = True
    session.feed(len(payload).to_bytes(3, "little") + b"\x00" + payload, 9)
    assert session.command() == (command, b"")
    assert {type(command) for _, command in MYSQL_COMMANDS.values()} == set(get_args(mysql.Command))


def test_recorded_signatures_are_valid():
    public = Ed25519PrivateKey.from_private_bytes(PRIVATE_KEY).public_key().public_bytes_raw()
    verify = signatures.ed25519_verifier({"partner-a": public})
    for name in ("offer", "agreement", "notice"):
        signed = bytes.fromhex(recorded()[f"partners/signed-bytes of {name}"])
        signature = bytes.fromhex(recorded()[f"partners/signature of {name}"])
        assert verify("partner-a", signed, signature)
        assert not verify("partner-b", signed, signature)
        assert not verify("partner-a", signed + b"!", signature)


def test_recorded_ticket_is_accepted():
    table = tickets.TokenTable(b"a secret", 9, 1000)
    table.put(0, "owner", "held")
    assert table.get(999, "owner", bytes.fromhex(recorded()["flight/ticket, first"])) == "held"


if __name__ == "__main__":
    record()
