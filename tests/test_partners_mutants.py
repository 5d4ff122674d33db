"""One message between partners' routers changed at a time: nothing is broken by it, and faults planted in the
code are found by it."""

import random

import pytest

from hillchute.history import messages as history
from hillchute.history.lease_transfer import LeaseTransfers
from hillchute.lab import partners_mutants
from hillchute.lab.history_mutants import drawn, mutant, paths
from hillchute.lab.partners_mutants import KINDS, MAY_BE, Net
from hillchute.partners import codec, council
from hillchute.partners.agreement import Ledger, Mark, Offer
from hillchute.partners.passing import Passing


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
    known = next(m for m in plain.messages if isinstance(m, codec.Know) and m.offers and m.texts)
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


def anybodys(self, kind, mark):
    return mark.partner in self.partners


def some_marks(self, sealed):
    text = self.texts.get(sealed)
    if text is not None:
        self.complete[text.number] = self.accepted[text.number] = text


def any_turn(self, offer, mark):
    if self.signed(Offer, mark):
        self.offers[offer.partner] = offer, mark
    return True


def ends_again(self, number, how, why, rows=None):
    self.ended.append((number, how, why, rows))
    self.ended.append((number, how, why, rows))
    self.errands.pop(number)


def says_nothing(self, sender, word):
    return None


NETWORK = ("left out", "twice", "late by 40", "again much later")
LIES = ("another's", "zero", "one more", "most")
PLANTED = {
    "a mark is not checked": (Ledger, "signed", anybodys, codec.Know, LIES, 3),
    "some marks are enough": (Ledger, "accept", some_marks, codec.Know, ("left out", "none"), 0),
    "an offer is not held against its mark": (Ledger, "hear_offer", any_turn, codec.Know, LIES, 4),
    "an answer is two": (Passing, "end", ends_again, codec.Answer, NETWORK[:2], 0),
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
        council.Council,
        "state_digest",
        lambda self: bytes(32),
        codec.Know,
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
    assert not finds(plain, codec.Know, LIES, 3, most=4)


def test_marks_of_others_are_checked_by_the_rig_itself(plain):
    """The rig's own look at texts: one without a mark is said."""
    ledger = plain.councils["n0"].ledger
    (number, text) = next(iter(ledger.accepted.items()))
    marks = ledger.marks[council.digest(text)]
    assert {mark.partner for mark in marks.values()} == set(text.shares)
    assert all(isinstance(mark, Mark) and mark.number == number for mark in marks.values())
