"""One message between partners' routers changed at a time: nothing is broken by it, and faults planted in the
code are found by it."""

import random

import pytest

from hillchute.history import messages as history
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.lab import partners_mutants
from hillchute.lab.history_mutants import drawn, mutant, paths
from hillchute.lab.partners_mutants import KINDS, MAY_BE, Net
from hillchute.partners.agreement_ledger import AgreementLedger
from hillchute.partners.forwarding import Completion, QueryForwarder
from hillchute.partners.messages import ForwardResult, Knowledge
from hillchute.partners.negotiation import AgreementProtocol
from hillchute.partners.signatures import Signature, SignedKind, SignedOffer, content_digest


@pytest.fixture(scope="module")
def plain():
    net = Net(1).script()
    assert not net.raised and not +net.rule
    return net


def test_no_mutant_breaks_anything_and_none_of_the_network_changes_the_end():
    found = partners_mutants.play(1, 120)
    assert found["broken"] == found["unlike"] == 0, found["first"]
    assert found["mutants"] == 120 and found["unused"] < 60


def test_every_kind_of_message_and_what_stands_in_its_rows_is_changed(plain):
    met = {type(plain.messages[at]) for at, _, _ in drawn(plain, 1, None, KINDS)}
    assert met == set(KINDS)
    known = next(m for m in plain.messages if isinstance(m, Knowledge) and m.offers and m.agreements)
    names = {len(path) for path in paths(known)}
    assert names == {1, 3, 4} or max(names) >= 4  # an offer's own fields, in a pair, in a row


def finds(plain, kind, changes, deep=0, most=8):
    """Whether the plain run, or one of some mutants of a kind of message, shows that something is wrong."""
    end = plain.end()
    now = Net(1).script()
    if now.raised or +now.rule or now.end() != end:
        return True
    some = [
        (at, how, path)
        for at, how, path in drawn(plain, 1, None, (kind,))
        if how in changes and (not path or len(path) >= deep)
    ]
    for at, how, path in random.Random(2).sample(some, min(most, len(some))):
        _, broken, unlike = mutant(Net, MAY_BE, 1, at, how, path, end)
        if broken or unlike:
            return True
    return False


def anybodys(self, kind, signature):
    return signature.partner in self.partners


def some_signatures(self, digest):
    agreement = self.agreements.get(digest)
    if agreement is not None:
        self.fully_signed[agreement.number] = self.accepted[agreement.number] = agreement


def any_turn(self, offer, signature):
    if self.is_genuine(SignedKind.OFFER, signature):
        self.offers[offer.partner] = SignedOffer(offer, signature)
    return True


def ends_again(self, number, how, why, rows=None):
    self.completions.append(Completion(number, how, why, rows))
    self.completions.append(Completion(number, how, why, rows))
    self.outgoing.pop(number)


def says_nothing(self, sender, word):
    return None


NETWORK = ("left out", "twice", "late by 40", "again much later")
LIES = ("another's", "zero", "one more", "most")
PLANTED = {
    "a signature is not checked": (AgreementLedger, "is_genuine", anybodys, Knowledge, LIES, 3),
    "some signatures are enough": (
        AgreementLedger,
        "accept_if_signed",
        some_signatures,
        Knowledge,
        ("left out", "none"),
        0,
    ),
    "an offer is not held against its signature": (
        AgreementLedger,
        "record_offer",
        any_turn,
        Knowledge,
        LIES,
        4,
    ),
    "an answer is two": (QueryForwarder, "complete", ends_again, ForwardResult, NETWORK[:2], 0),
    "a lease is not confirmed": (
        LeaseTransfers,
        "take_reply",
        says_nothing,
        history.LeaseReply,
        NETWORK[:1],
        0,
    ),
    "a lease is sent once": (
        LeaseTransfers,
        "answer_update",
        says_nothing,
        history.LeaseUpdate,
        NETWORK[:1],
        0,
    ),
    "who knows more is not asked": (
        AgreementProtocol,
        "state_digest",
        lambda self: bytes(32),
        Knowledge,
        NETWORK[:1],
        0,
    ),
}


@pytest.mark.parametrize("what", PLANTED)
def test_fault_planted_in_the_code_is_found(what, monkeypatch, plain):
    owner, name, fault, kind, changes, deep = PLANTED[what]
    monkeypatch.setattr(owner, name, fault)
    assert finds(plain, kind, changes, deep)


def test_code_as_it_stands_is_found_clean(plain):
    assert not finds(plain, Knowledge, LIES, 3, most=4)


def test_signatures_of_others_are_checked_by_the_rig_itself(plain):
    """The rig's own look at agreements: one without a signature is said."""
    ledger = plain.protocols["n0"].ledger
    (number, agreement) = next(iter(ledger.accepted.items()))
    signatures = ledger.signatures[content_digest(agreement)]
    assert {signature.partner for signature in signatures.values()} == set(agreement.shares)
    assert all(
        isinstance(signature, Signature) and signature.number == number for signature in signatures.values()
    )
