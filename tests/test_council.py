"""What partners agree on, as it goes round among routers: one text for all, whatever is lost between them."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import InvalidAgreementError, InvalidDatagramError, SignatureJournalError
from hillchute.history.claim_decision import ClaimDecision
from hillchute.history.ownership_leases import OwnershipLease
from hillchute.history.slot_placement import SLOTS
from hillchute.lab.partners_net import EPOCH, SECOND, private, public
from hillchute.partners import codec
from hillchute.partners.agreement import TEXTS, WHOLE, Mark, Marker, Offer, Text, digest, settle, words
from hillchute.partners.council import BEAT, Council
from hillchute.partners.handover import follows, leads
from hillchute.partners.kept import MarksFile
from hillchute.partners.marks import checker, signer
from hillchute.partners.pool import floor, homes
from hillchute.partners.split import moves

ROUTERS = {"a": ["a0", "a1"], "b": ["b0", "b1"], "c": ["c0", "c1"]}
CHECK = checker({name: public(name) for name in ROUTERS})
LATER = EPOCH + 3_600 * SECOND


def hand(partner, kept=None):
    kept = {} if kept is None else kept
    save = lambda number, sealed: kept.update({number: sealed}) is None  # noqa: E731
    return Marker(partner, signer(private(partner)), save, dict(kept))


def offer(partner, want=3000, turn=1, least=500, most=8000, begins=0, ends=LATER, **about):
    about = {"capacity": 100, "grace": 5 * SECOND, "notice": 10 * SECOND} | about
    return Offer(partner, turn, want=want, least=least, most=most, begins=begins, ends=ends, **about)


class Round:
    """All councils and what passes between them."""

    def __init__(self, routers=ROUTERS, seed=1):
        self.now, self.chance, self.routers = EPOCH, random.Random(seed), routers
        self.check = checker({name: public(name) for name in routers})
        self.files = {name: {} for name in routers}
        self.councils = {}
        for name, some in routers.items():
            for router in some:
                self.start(name, router)
        self.loss = 0.0

    def start(self, partner, router):
        marker = hand(partner, self.files[partner]) if router == self.routers[partner][0] else None
        about = router, partner, self.routers, self.check, len(self.councils), self.now, marker
        self.councils[router] = Council(*about)

    def offer(self, partner, **about):
        self.councils[self.routers[partner][0]].offer(self.now, offer(partner, **about))

    def play(self, seconds=10.0, living=None):
        for _ in range(int(seconds * 10)):
            self.now += SECOND // 10
            for name, council in self.councils.items():
                if living is None or name in living:
                    council.tick(self.now, living or self.councils)
            self.deliver(living)

    def deliver(self, living=None):
        while line := [(n, *said) for n, c in self.councils.items() for said in c.out]:
            for council in self.councils.values():
                council.out = []
            self.chance.shuffle(line)
            for sender, to, message in line:
                heard = self.chance.random() >= self.loss
                if heard and (living is None or {sender, to} <= set(living)):
                    data = codec.encode(message)
                    self.councils[to].heard(self.now, sender, codec.decode(data, sender))

    def tell(self, number=None):
        """As the calls of a view do it: the highest that has begun at one of them."""
        number = max(c.named(self.now) for c in self.councils.values()) if number is None else number
        for council in self.councils.values():
            council.told(self.now, number)

    def agreed(self, **wants):
        for partner in self.routers:
            self.offer(partner, want=wants.get(partner, 3000))
        self.play()
        self.tell()
        return self.councils["a0"].text()


def test_text_that_follows_from_all_offers_holds_at_all_routers():
    fleet = Round()
    text = fleet.agreed(a=5000)
    assert all(c.text() == text for c in fleet.councils.values()) and text.number == 1
    assert sum(text.shares.values()) == WHOLE and text.shares["a"] > text.shares["b"]
    assert {c.owners for c in fleet.councils.values()} == {text.owner_names()}
    assert abs(text.owner_names().count("a") - SLOTS * text.shares["a"] / WHOLE) < 1


def test_nothing_holds_until_a_call_names_it_and_each_has_it():
    fleet = Round()
    for partner in ROUTERS:
        fleet.offer(partner)
    fleet.play()
    council = fleet.councils["b1"]
    assert council.named(fleet.now) == 1 and council.held() == 0 and not council.holds(fleet.now)
    assert council.follows(fleet.now, 0, None) is None
    council.told(fleet.now, 7)  # named by a caller that has what this one has not
    assert council.held() == 0 and not council.current()
    council.told(fleet.now, 1)
    assert council.held() == 1 and council.current() and council.holds(fleet.now)
    council.told(fleet.now, 0)  # it never goes back
    assert council.held() == 1


def test_new_offer_makes_a_new_text_that_goes_on_from_the_last_with_few_moves():
    fleet = Round()
    first = fleet.agreed()
    fleet.offer("b", want=5000, turn=2)
    fleet.play()
    assert fleet.councils["c1"].text() == first  # until a call names it
    fleet.tell()
    second = fleet.councils["c1"].text()
    assert (second.number, second.before) == (2, 1) and second.shares["b"] > first.shares["b"]
    gain = second.owner_names().count("b") - first.owner_names().count("b")
    assert 0 < moves(first.owner_names(), second.owner_names()) <= gain + 1
    fleet.play()
    assert max(fleet.councils["a0"].ledger.accepted) == 2  # what says the same again is not written


def test_text_begins_in_its_time_and_the_old_one_stands_until_then():
    fleet = Round()
    first = fleet.agreed()
    begins = fleet.now + 30 * SECOND
    fleet.offer("a", want=6000, turn=2, begins=begins)
    fleet.play(20)
    fleet.tell()
    assert fleet.councils["a1"].text() == first
    fleet.play(11)
    fleet.tell()
    assert fleet.councils["a1"].text().begins == begins


def test_after_its_end_nothing_holds_and_nobody_owns_a_slot_anew():
    fleet = Round()
    ends = fleet.now + 60 * SECOND
    for partner in ROUTERS:
        fleet.offer(partner, ends=ends)
    fleet.play()
    fleet.tell()
    council = fleet.councils["a0"]
    title = council.follows(fleet.now, 3, None)
    assert council.leads(fleet.now, f"{title.owner}0", title, lambda: False) is None
    fleet.play(60)
    assert not council.holds(fleet.now) and council.follows(fleet.now, 3, None) is None
    verdict, _ = council.leads(fleet.now, f"{title.owner}0", title, lambda: False)
    assert verdict is ClaimDecision.REJECT
    fleet.offer("a", turn=2, ends=LATER)
    fleet.offer("b", turn=2, ends=LATER)
    fleet.play()
    fleet.tell()
    assert not council.holds(fleet.now)  # the third is silent
    fleet.offer("c", turn=2, ends=LATER)
    fleet.play()
    fleet.tell()
    assert council.holds(fleet.now)


def test_partner_that_is_silent_leaves_the_old_text_and_its_offer_is_heard_later():
    fleet = Round()
    first = fleet.agreed()
    without = [n for n in fleet.councils if n[0] != "c"]
    fleet.offer("a", want=6000, turn=2)
    fleet.play(20, living=without)
    fleet.tell()
    assert fleet.councils["a1"].text() == first
    fleet.play(20)
    fleet.tell()
    assert fleet.councils["a1"].text().number == 2


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 10**6))
def test_losses_crashes_and_restarts_leave_one_text(seed):
    """At every moment all texts that any router has are marked by all, and no number has two."""
    fleet, chance = Round(seed=seed), random.Random(seed)
    fleet.loss = 0.3
    turns = dict.fromkeys(ROUTERS, 0)
    seen = {}
    for _ in range(25):
        partner = chance.choice("abc")
        match chance.randrange(4):
            case 0 | 1:
                turns[partner] += 1
                fleet.offer(partner, want=chance.randint(500, 6000), turn=turns[partner])
            case 2:
                router = chance.choice(ROUTERS[partner])
                fleet.start(partner, router)
                if router == ROUTERS[partner][0] and turns[partner]:
                    # The operator's file has its last offer still.
                    last = [c.ledger.offers.get(partner) for c in fleet.councils.values()]
                    best = max((known[0] for known in last if known), key=lambda o: o.turn, default=None)
                    if best is not None:
                        fleet.councils[router].offer(fleet.now, best)
        fleet.play(chance.choice([0.2, 1, 3]))
        if chance.random() < 0.5:
            fleet.tell()
        for council in fleet.councils.values():
            for number, text in council.ledger.accepted.items():
                assert seen.setdefault(number, text) == text
    for partner in ROUTERS:
        if not turns[partner]:
            fleet.offer(partner)
    fleet.loss = 0.0
    fleet.play(20)
    fleet.tell()
    assert len({(c.held(), c.owners) for c in fleet.councils.values()}) == 1
    offers = [o for o, _ in fleet.councils["a0"].ledger.offers.values()]
    text = fleet.councils["a0"].text()
    assert text.shares == settle(offers, 1).shares


def test_offer_in_anothers_name_and_text_that_does_not_follow_are_nothing():
    fleet = Round()
    fleet.agreed()
    council = fleet.councils["b0"]
    false = offer("a", want=500, turn=9)
    mark = hand("b").offer(false)
    assert not council.ledger.hear_offer(false, mark)
    assert not council.ledger.hear_offer(false, msgspec.structs.replace(mark, partner="a"))
    # One that all but b have marked, in which b has next to nothing.
    text = settle([offer(n, want=w, turn=1) for n, w in (("a", 6000), ("b", 500), ("c", 3500))], 2)
    for name in "ac":
        kept = hand(name)
        council.ledger.hear_mark(kept.mark(text, offer(name, want=text.shares[name])))
    council.ledger.hear(text)
    council.look(fleet.now)
    assert 2 not in council.ledger.accepted and council.refused[2].detail


def test_lower_turn_than_is_known_is_refused_and_said():
    fleet = Round()
    fleet.agreed()
    fleet.offer("a", want=4000, turn=5)
    with pytest.raises(InvalidAgreementError, match="turn 4; 5"):
        fleet.offer("a", want=500, turn=4)


def test_partner_that_marks_two_texts_loses_its_part_at_all_routers():
    fleet = Round()
    text = fleet.agreed()
    other = settle([offer(n, want=w) for n, w in (("a", 8000), ("b", 1000), ("c", 1000))], 1)
    false = Mark("a", 1, digest(other), signer(private("a"))(words(Text, 1, digest(other))))
    fleet.councils["c1"].ledger.hear_mark(false)
    fleet.play()
    for council in fleet.councils.values():
        assert set(council.ledger.two_texts) == {"a"}
        assert council.text() == text and council.counted(fleet.now)["a"] == 0
        assert set(council.owners) == {"b", "c"}


def test_marks_that_a_partner_gave_are_no_proof_against_it():
    """A router that lies has all of them: an offer's and a text's of one number, a later text's with its
    number changed."""
    fleet = Round()
    fleet.agreed()
    fleet.offer("a", want=6000, turn=2)
    fleet.play()
    ledger = fleet.councils["b1"].ledger
    by_text = sorted((m["a"] for m in ledger.marks.values() if "a" in m), key=lambda mark: mark.number)
    first, second = by_text
    offers = hand("a").offer(offer("a", want=3000))
    assert first.number == offers.number == 1
    assert not ledger.hear_two(first, offers) and not ledger.hear_two(offers, first)
    assert not ledger.hear_two(first, msgspec.structs.replace(second, number=1))
    assert not ledger.hear_mark(msgspec.structs.replace(offers, number=1))
    fresh = Round().councils["b0"].ledger
    assert not fresh.hear_mark(msgspec.structs.replace(second, number=1)) and fresh.hear_mark(second)
    assert not ledger.two_texts and not fresh.two_texts


def test_partner_that_leaves_has_its_part_until_its_notice_is_over():
    fleet = Round()
    fleet.agreed()
    fleet.councils["c0"].leave(fleet.now)
    fleet.play(5)
    assert fleet.councils["a1"].owners.count("c") > 300
    fleet.play(6)
    assert {c.owners.count("c") for c in fleet.councils.values()} == {0}


def test_engines_that_are_gone_longer_than_the_grace_count_as_less():
    fleet = Round()
    text = fleet.agreed()
    council = fleet.councils["a0"]
    council.brings(fleet.now, {"a": 100, "b": 50, "c": 100})
    assert council.owners == text.owner_names()
    fleet.play(4)
    assert council.owners == text.owner_names()
    fleet.play(2)
    assert council.owners.count("b") < 0.7 * text.owner_names().count("b")
    council.brings(fleet.now, {"a": 100, "b": 100, "c": 100})
    assert council.owners == text.owner_names()


def test_marks_without_end_are_bounded():
    fleet = Round()
    fleet.agreed()
    ledger = fleet.councils["a0"].ledger
    sign = signer(private("c"))
    for n in range(3 * TEXTS):
        sealed = bytes([n]) * 32
        assert ledger.hear_mark(Mark("c", 100 + n, sealed, sign(words(Text, 100 + n, sealed))))
    for n in range(3 * TEXTS):
        ledger.hear(msgspec.structs.replace(fleet.councils["a0"].text(), number=500 + n))
    assert len(ledger.marks) <= TEXTS + 1 and len(ledger.texts) <= TEXTS + 1
    assert 1 in ledger.accepted


def test_partner_that_comes_is_in_the_next_text():
    two = {name: ROUTERS[name] for name in "ab"}
    fleet = Round(two)
    first = fleet.agreed()
    assert set(first.owner_names()) == {"a", "b"}
    fleet.routers = ROUTERS
    fleet.files["c"] = {}
    for council in fleet.councils.values():
        council.named_anew(ROUTERS, CHECK)
    fleet.check = CHECK
    for router in ROUTERS["c"]:
        fleet.start("c", router)
    fleet.play(5)
    assert fleet.councils["a0"].text() == first
    fleet.offer("c")
    fleet.play()
    fleet.tell()
    second = fleet.councils["c1"].text()
    assert set(second.owner_names()) == {"a", "b", "c"}
    assert moves(first.owner_names(), second.owner_names()) == second.owner_names().count("c")


# ---- what goes over the wire ----


def some_know():
    fleet = Round()
    fleet.agreed()
    fleet.councils["a0"].leave(fleet.now)
    return fleet.councils["a0"].all(back=True)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_whatever_comes_is_read_or_dropped(data):
    try:
        message = codec.decode(data, "x")
    except InvalidDatagramError:
        return
    assert codec.decode(codec.encode(message), "x") == message


ONE = codec.Pass(1, 1, 1, "id", "g", b"s", "t", 5, 1.0, "k", "", 10)


@pytest.mark.parametrize(
    ("message", "field"),
    [
        (codec.Have(b"short"), "digest"),
        (msgspec.structs.replace(ONE, id=""), "id"),
        (msgspec.structs.replace(ONE, token="t" * 500), "token"),
        (msgspec.structs.replace(ONE, cost=-1), "cost"),
        (msgspec.structs.replace(ONE, left=-1), "left"),
        (msgspec.structs.replace(ONE, number=-1), "number"),
        (codec.Answer(1, 1, "perhaps", "", None), "how"),
        (codec.Know((), (), (), (), ((Mark("a", 1, b"", b""),) * 2,), False), "marks"),
    ],
)
def test_field_out_of_bounds_is_named(message, field):
    with pytest.raises(ValueError, match=field):
        codec.encode(message)
    with pytest.raises(InvalidDatagramError, match=field):
        codec.decode(codec.encoder.encode(message), "x")


def test_all_that_is_known_comes_back_as_it_was():
    known = some_know()
    assert known.offers and known.texts and known.marks and known.notices
    assert codec.decode(codec.encode(known), "x") == known
    bad = msgspec.structs.replace(known, texts=(msgspec.structs.replace(known.texts[0], owners=b""),))
    with pytest.raises(ValueError, match="texts"):
        codec.encode(bad)


# ---- titles ----


def test_title_follows_who_is_due_and_its_number_only_rises():
    first = follows(None, "a", 70)
    assert first == OwnershipLease(7, "a") and follows(first, "a", 10**9) is first
    assert follows(first, "b", 0) == OwnershipLease(8, "b")
    assert follows(None, "a", EPOCH).number > 10**12  # after a loss: higher than any before
    assert follows(first, "", 0) is first and follows(None, "", 0) is None


@pytest.mark.parametrize(
    ("title", "partner", "holds", "out", "verdict"),
    [
        (OwnershipLease(1, "a"), "a", True, False, None),
        (OwnershipLease(1, "a"), "a", False, False, ClaimDecision.REJECT),
        (None, "a", True, False, ClaimDecision.REJECT),
        (OwnershipLease(1, "a"), "", True, False, ClaimDecision.REJECT),
        (OwnershipLease(1, "a"), "b", True, True, ClaimDecision.FORWARD),
        (OwnershipLease(1, "a"), "a", True, True, ClaimDecision.WAIT),
    ],
)
def test_only_the_owner_leads_and_only_once_nothing_of_the_one_before_is_out(
    title, partner, holds, out, verdict
):
    found = leads(title, partner, holds, lambda: out)
    assert (found and found[0]) == verdict
    if verdict is ClaimDecision.FORWARD:
        assert found[1] == "a"


# ---- the file of marks ----


def test_marks_come_back_from_their_file_and_a_broken_last_line_was_never_given(tmp_path):
    path = tmp_path / "marks"
    file = MarksFile(path)
    assert file.save(1, b"\1" * 32) and file.save(2, b"\2" * 32)
    with path.open("ab") as broken:
        broken.write(b"3 0303")
    again = MarksFile(path)
    assert again.marked == {1: b"\1" * 32, 2: b"\2" * 32}
    assert again.save(3, b"\3" * 32) and MarksFile(path).marked[3] == b"\3" * 32


def test_file_that_was_changed_or_cannot_be_written_gives_no_mark(tmp_path):
    path = tmp_path / "marks"
    path.write_text("1 zz\n")
    with pytest.raises(SignatureJournalError, match="marks"):
        MarksFile(path)
    path.write_text("")
    file = MarksFile(path)
    file.path = tmp_path / "none" / "marks"
    assert not file.save(1, b"") and file.fault is not None
    marker = Marker("a", signer(private("a")), file.save, file.marked)
    with pytest.raises(InvalidAgreementError, match="kept"):
        marker.mark(settle([offer(n) for n in "abc"], 1), offer("a"))


def test_old_file_of_marks_is_made_whole_by_what_others_know():
    """A copy of yesterday was put back: the partner would mark a second text for a number."""
    fleet = Round()
    fleet.agreed()
    fleet.files["b"].clear()
    fleet.start("b", "b0")
    fleet.play(3 * BEAT / SECOND)
    fleet.offer("b", want=5000, turn=2)
    fleet.play()
    fleet.tell()
    assert fleet.councils["b0"].text().number == 2 and not fleet.councils["a0"].ledger.two_texts


def test_second_text_for_a_number_is_not_marked_though_the_file_forgot_the_first():
    fleet = Round()
    first = fleet.agreed()
    fleet.offer("a", want=5000, turn=2)
    fleet.play(living=[n for n in fleet.councils if n[0] != "c"])  # a and b have marked it, c is silent
    fleet.files["b"].clear()
    fleet.start("b", "b0")
    fleet.play(4, living=["a1", "b0", "b1"])
    council = fleet.councils["b0"]
    council.offer(fleet.now, offer("b"))
    changed = offer("a", want=6000, turn=3)
    council.ledger.hear_offer(changed, hand("a").offer(changed))
    other = settle(council.offers(), 2, first)
    false = Mark("a", 2, digest(other), signer(private("a"))(words(Text, 2, digest(other))))
    council.ledger.hear_mark(false)
    council.ledger.hear(other)
    council.look(fleet.now)
    assert sum("b" in m for m in council.ledger.marks.values() if any(x.number == 2 for x in m.values())) == 1
    assert "b" not in council.ledger.two_texts and council.refused[2].detail


# ---- shares of the pool ----


@settings(max_examples=150, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcde"), st.tuples(st.integers(0, WHOLE), st.integers(0, 9)), min_size=1)
)
def test_homes_are_the_shares_and_never_more_than_the_whole(partners):
    whole = 1_000_000
    routers = {name: [f"{name}{n}" for n in range(many)] for name, (_, many) in partners.items()}
    count = sum(map(len, routers.values()))
    if not count:
        return
    found = homes(whole, {name: share for name, (share, _) in partners.items()}, routers)
    least = floor(whole, count)
    assert sum(found.values()) <= whole and all(units >= least for units in found.values())
    total = sum(share for share, many in partners.values() if many)
    for name, (share, many) in partners.items():
        if total and many and share * whole // total >= many * least:
            mine = sum(found[router] for router in routers[name])
            assert mine >= (1 - 1 / 16) * share * whole / total - 2 * count


def test_text_has_what_every_router_needs():
    text = settle([offer(n) for n in "abc"], 4, None)
    assert isinstance(text, Text) and len(text.owners) == SLOTS and text.grace == 5 * SECOND
