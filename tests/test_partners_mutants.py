"""Mutation of single messages between partners' routers.

No mutant may break a rule, and the mutants must detect faults that are planted in the code.
"""

import random

import pytest

from hillchute.history import messages as history
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.lab import partners_mutants
from hillchute.lab.history_mutants import field_paths, run_mutant, sample_mutants
from hillchute.lab.partners_mutants import ALLOWED_PARTNER_VIOLATIONS, KINDS, MutatedPartnersNet
from hillchute.partners.agreement_ledger import AgreementLedger
from hillchute.partners.forwarding import Completion, QueryForwarder
from hillchute.partners.messages import ForwardResult, LedgerEntries
from hillchute.partners.negotiation import AgreementProtocol
from hillchute.partners.signatures import Signature, SignedKind, SignedOffer, content_digest


@pytest.fixture(scope="module")
def unchanged_run():
    net = MutatedPartnersNet(1).script()
    assert not net.failures and not +net.broken_rules
    return net


def test_no_mutant_breaks_a_rule_and_no_network_fault_changes_the_final_state():
    results = partners_mutants.play(1, 120)
    assert results["broken"] == results["unlike"] == 0, results["first"]
    assert results["mutants"] == 120 and results["unused"] < 60


def test_every_message_type_and_its_nested_fields_are_mutated(unchanged_run):
    mutated = {type(unchanged_run.messages[at]) for at, _, _ in sample_mutants(unchanged_run, 1, None, KINDS)}
    assert mutated == set(KINDS)
    message = next(
        m for m in unchanged_run.messages if isinstance(m, LedgerEntries) and m.offers and m.agreements
    )
    depths = {len(path) for path in field_paths(message)}
    assert depths == {1, 3, 4} or max(depths) >= 4  # a field of an offer, in a pair, in a tuple


def detects_fault(unchanged_run, message_type, changes, min_depth=0, limit=8):
    """Returns whether the run without mutation, or one of some mutants of a message type, shows a fault."""
    end = unchanged_run.final_state()
    run = MutatedPartnersNet(1).script()
    if run.failures or +run.broken_rules or run.final_state() != end:
        return True
    candidates = [
        (at, change, path)
        for at, change, path in sample_mutants(unchanged_run, 1, None, (message_type,))
        if change in changes and (not path or len(path) >= min_depth)
    ]
    for at, change, path in random.Random(2).sample(candidates, min(limit, len(candidates))):
        _, broken, differs = run_mutant(
            MutatedPartnersNet, ALLOWED_PARTNER_VIOLATIONS, 1, at, change, path, end
        )
        if broken or differs:
            return True
    return False


def accept_any_signature(self, kind, signature):
    return signature.partner in self.partners


def accept_unsigned(self, digest):
    agreement = self.agreements.get(digest)
    if agreement is not None:
        self.fully_signed[agreement.number] = self.accepted[agreement.number] = agreement


def record_any_offer(self, offer, signature):
    if self.is_genuine(SignedKind.OFFER, signature):
        self.offers[offer.partner] = SignedOffer(offer, signature)
    return True


def complete_twice(self, number, outcome, reason, rows=None):
    self.completions.append(Completion(number, outcome, reason, rows))
    self.completions.append(Completion(number, outcome, reason, rows))
    self.outgoing.pop(number)


def ignore_message(self, sender, message):
    return None


NETWORK_FAULTS = ("left out", "twice", "late by 40", "again much later")
FORGERIES = ("another's", "zero", "one more", "most")
PLANTED = {
    "signatures are not verified": (
        AgreementLedger,
        "is_genuine",
        accept_any_signature,
        LedgerEntries,
        FORGERIES,
        3,
    ),
    "agreements are accepted without all signatures": (
        AgreementLedger,
        "accept_if_signed",
        accept_unsigned,
        LedgerEntries,
        ("left out", "none"),
        0,
    ),
    "offers are not compared with their signatures": (
        AgreementLedger,
        "record_offer",
        record_any_offer,
        LedgerEntries,
        FORGERIES,
        4,
    ),
    "a query is completed twice": (
        QueryForwarder,
        "complete",
        complete_twice,
        ForwardResult,
        NETWORK_FAULTS[:2],
        0,
    ),
    "lease replies are ignored": (
        LeaseTransfers,
        "handle_reply",
        ignore_message,
        history.LeaseReply,
        NETWORK_FAULTS[:1],
        0,
    ),
    "lease updates are not answered": (
        LeaseTransfers,
        "answer_update",
        ignore_message,
        history.LeaseUpdate,
        NETWORK_FAULTS[:1],
        0,
    ),
    "state digests are always equal": (
        AgreementProtocol,
        "state_digest",
        lambda self: bytes(32),
        LedgerEntries,
        NETWORK_FAULTS[:1],
        0,
    ),
}


@pytest.mark.parametrize("description", PLANTED)
def test_planted_fault_is_detected(description, monkeypatch, unchanged_run):
    owner, name, fault, message_type, changes, min_depth = PLANTED[description]
    monkeypatch.setattr(owner, name, fault)
    assert detects_fault(unchanged_run, message_type, changes, min_depth)


def test_unchanged_code_is_reported_without_faults(unchanged_run):
    assert not detects_fault(unchanged_run, LedgerEntries, FORGERIES, 3, limit=4)


def test_accepted_agreements_have_all_signatures(unchanged_run):
    """The unchanged run accepts an agreement only with a signature of every partner."""
    ledger = unchanged_run.protocols["n0"].ledger
    (number, agreement) = next(iter(ledger.accepted.items()))
    signatures = ledger.signatures[content_digest(agreement)]
    assert {signature.partner for signature in signatures.values()} == set(agreement.shares)
    assert all(
        isinstance(signature, Signature) and signature.number == number for signature in signatures.values()
    )
