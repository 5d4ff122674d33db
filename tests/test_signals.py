"""What routers tell each other of engines: merged in any order; what a liar can move is bounded."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.accord import codec
from hillchute.accord.company import BYTES, WHOLE, Company
from hillchute.accord.quotas import SPAN, Ask, Grant, Want
from hillchute.accord.signals import (
    BACK,
    ILL,
    MOST,
    OLD,
    OWN,
    Drain,
    Ill,
    Load,
    News,
    Signals,
    Spent,
    Turned,
)
from hillchute.accord.subsets import pairs
from hillchute.errors import InvalidDatagramError

NOW = 10**9
NAMES = [f"n{n:02d}" for n in range(40)]
ENGINES = range(100, 160)


@pytest.fixture
def signals():
    found = Signals(0, lambda witness, engine: witness in "abcdef")
    found.listed(5, range(9))
    return found


news = st.builds(
    News,
    st.lists(st.builds(Load, st.integers(0, 8), st.integers(0, OLD), st.tuples(st.integers(0, 99)))).map(
        tuple
    ),
    st.lists(st.builds(Ill, st.integers(0, 8), st.integers(0, ILL))).map(tuple),
    st.lists(st.builds(Drain, st.integers(0, 8), st.integers(0, 20))).map(tuple),
    st.just(()),
    st.lists(st.builds(Turned, st.integers(0, 2), st.just(9), st.integers(0, 9))).map(tuple),
)
told = st.lists(st.tuples(st.sampled_from("abcdef"), news), max_size=12)


def merged(words):
    found = Signals(0, lambda witness, engine: True)
    found.listed(5, range(9))
    for witness, said in words:
        found.heard(NOW, witness, said)
    known = {e: (k.loads, k.ills, k.drains) for e, k in found.engines.items()}
    newest = {e: {w: at for w, (at, _) in loads.items()} for e, (loads, _, _) in known.items()}
    rest = {e: (ills, drains) for e, (_, ills, drains) in known.items()}
    return newest, rest, found.turned, found.closed(), found.order(NOW, frozenset(range(9)))


@settings(max_examples=60, deadline=None)
@given(told, st.randoms(use_true_random=False))
def test_order_and_repeats_of_what_is_told_do_not_matter(words, chance):
    again = words + [word for word in words if chance.random() < 0.5]
    chance.shuffle(again)
    assert merged(words) == merged(again)


def test_own_sight_goes_before_hearsay(signals):
    signals.seen(NOW, 1, looked=True)
    assert not signals.heard(NOW + 20, "a", News((Load(1, 10, (5,)),)))  # newer, but ours is fresh
    assert signals.heard(NOW + OWN, "a", News((Load(1, 20, (5,)),)))
    signals.heard(NOW, "a", News(ills=(Ill(1, 0), Ill(2, 0))))
    assert signals.ill(NOW, 1) == 0 and signals.ill(NOW, 2) == 1  # it ran for us just now


def test_only_news_that_is_newer_than_all_goes_on_to_the_module(signals):
    fresh = [
        signals.heard(NOW, who, News((Load(3, age, (5,)),)))
        for who, age in (("a", 100), ("b", 200), ("c", 50), ("c", 50), ("a", OLD + 1))
    ]
    assert [len(loads) for loads in fresh] == [1, 0, 1, 0, 0]


def test_witness_is_heard_only_on_engines_that_it_has_in_sight(signals):
    assert not signals.heard(NOW, "z", News((Load(3, 0, (0,)),), (Ill(3, 0),)))
    assert signals.refused == 1 and not signals.ill(NOW, 3)


def test_ill_engine_comes_back_by_itself_and_for_one_router_after_another():
    ends = []
    for me in range(50):
        signals = Signals(me, lambda witness, engine: True)
        signals.listed(1, [7])
        signals.heard(NOW, "a", News(ills=(Ill(7, 0),)))
        ends.append(next(t for t in range(0, ILL + BACK + 100, 100) if not signals.ill(NOW + t, 7)))
    assert min(ends) >= ILL and max(ends) <= ILL + BACK
    parts = [sum(ILL + n * BACK // 5 <= end < ILL + (n + 1) * BACK // 5 for end in ends) for n in range(5)]
    assert max(parts) <= 50 // 5 + 3


def test_one_witness_puts_a_drain_last_and_two_close_until_the_list_says(signals):
    sight = frozenset(range(9))
    signals.heard(NOW, "a", News(drains=(Drain(4, 8),)))
    assert not signals.closed() and 4 not in signals.order(NOW, sight)
    signals.heard(NOW, "b", News(drains=(Drain(4, 8),)))
    assert signals.closed() == {4}
    signals.listed(7, range(9))
    assert signals.closed() == {4}  # the list has not come so far
    signals.listed(8, range(9))
    assert not signals.closed() and signals.order(NOW, sight) == sight
    signals.heard(NOW, "c", News(drains=(Drain(4, 8),)))
    assert not signals.draining(4)  # the list has told of that event


def test_nothing_that_is_told_opens_an_engine(signals):
    for witness in "ab":
        signals.heard(NOW, witness, News(drains=(Drain(4, 8),)))
    signals.seen(NOW + 1, 4)
    signals.heard(NOW + 2, "a", News((Load(4, 0, (0,)),), drains=(Drain(4, 6),)))
    assert signals.closed() == {4}


@pytest.mark.parametrize("liars", [1, 2, 5])
def test_liars_never_close_all(signals, liars):
    all = tuple(range(9))
    lies = News((), tuple(Ill(e, 0) for e in all), tuple(Drain(e, 10**6) for e in all))
    for witness in "abcdef"[:liars]:
        signals.heard(NOW, witness, lies)
    assert len(signals.closed()) <= (int(9 * MOST) if liars > 1 else 0)
    assert len(signals.order(NOW, frozenset(all))) >= 9 - int(9 * MOST)


def test_router_that_is_gone_takes_its_word_on_drains_with_it(signals):
    for witness in "ab":
        signals.heard(NOW, witness, News(drains=(Drain(4, 8),), turned=(Turned(0, 10, 5),)))
    assert signals.away(0) == 0.5
    signals.gone("b")
    assert not signals.closed() and signals.draining(4) == 1
    signals.gone("a")
    assert signals.away(0) == 0.0


def test_cold_work_that_others_sent_is_added_up_over_the_span(signals):
    for at, total in ((0, 100), (5_000, 160), (4_000, 130), (10_000, 190)):
        signals.heard(NOW + at, "a", News(spent=(Spent(2, total),)))
    signals.heard(NOW + 9_000, "b", News(spent=(Spent(2, 50),)))
    signals.heard(NOW + 10_000, "b", News(spent=(Spent(2, 90),)))
    assert signals.cold_work(NOW + 10_000, 2, 15_000) == 100 * (90 + 40)
    assert signals.cold_work(NOW + 40_000, 2, 15_000) == 0


# ---- parcels --------------------------------------------------------------------------------------

whole = st.integers(0, codec.WHOLE - 1)
parcels = st.builds(
    codec.Parcel,
    st.integers(0, 2**32 - 1),
    st.lists(
        st.builds(
            Load,
            st.integers(0, 2**32 - 1),
            st.integers(0, codec.AGE - 1),
            st.lists(st.integers(-1, 2**31 - 1), max_size=3).map(tuple),
        ),
        max_size=4,
    ).map(tuple),
    st.lists(st.builds(Ill, st.integers(0, 2**32 - 1), st.integers(0, 99)), max_size=3).map(tuple),
    st.lists(st.builds(Drain, whole, whole), max_size=3).map(tuple),
    st.lists(st.builds(Spent, whole, whole), max_size=3).map(tuple),
    st.lists(st.builds(Turned, whole, st.just(7), st.integers(0, 7)), max_size=3).map(tuple),
    st.dictionaries(st.text(min_size=1, max_size=9), st.builds(Want, whole, whole), max_size=3),
    st.dictionaries(
        st.text(min_size=1, max_size=9), st.builds(Ask, whole, whole, whole, whole, whole), max_size=3
    ),
    st.dictionaries(
        st.text(min_size=1, max_size=9), st.builds(Grant, whole, whole, st.integers(0, SPAN)), max_size=3
    ),
)


@settings(max_examples=60, deadline=None)
@given(parcels)
def test_parcel_comes_back_as_it_went_and_no_cut_of_it_is_read(parcel):
    data = codec.encode(parcel)
    assert codec.decode(data, "a") == parcel
    for end in range(1, len(data)):
        with pytest.raises(InvalidDatagramError):
            codec.decode(data[:end], "a")


@pytest.mark.parametrize(
    "field, value",
    [
        ("edition", 2**32),
        ("edition", -1),
        ("loads", (Load(-1, 0, ()),)),
        ("loads", (Load(1, -1, ()),)),
        ("loads", (Load(1, 0, (-2,)),)),
        ("loads", (Load(1, 0, (0,) * 9),)),
        ("loads", (Load(1, 0, ()),) * 65),
        ("ills", (Ill(1, codec.AGE),)),
        ("drains", (Drain(1, -1),)),
        ("spent", (Spent(1, codec.WHOLE),)),
        ("turned", (Turned(0, 1, 2),)),
        ("wants", {"": Want(0, 0)}),
        ("wants", {"x" * 65: Want(0, 0)}),
        ("asks", {"x": Ask(1, -5, 0, 0, 0)}),
        ("asks", {f"x{n}": Ask(1, 0, 0, 0, 0) for n in range(9)}),
        ("grants", {"x": Grant(1, 1, SPAN + 1)}),
    ],
)
def test_field_out_of_bounds_is_dropped_and_never_sent(field, value):
    parcel = codec.Parcel(**{field: value})
    with pytest.raises(ValueError):
        codec.encode(parcel)
    with pytest.raises(InvalidDatagramError) as fault:
        codec.decode(codec.encoder.encode(parcel), "a")
    assert fault.value.location == "a"


# ---- a router in company --------------------------------------------------------------------------


def companies(count=40, **changed):
    found = [Company(name, NAMES[:count], ["inflight", "util"], ["cold"], 1, NOW) for name in NAMES[:count]]
    for company in found:
        company.listed(NOW, 1, ENGINES, ())
    return found


def test_report_goes_to_all_that_have_its_engine_in_sight_and_to_no_other():
    fleet = companies()
    engine = min(fleet[0].near)
    fleet[0].reported(NOW, engine, {"inflight": 3, "util": 0.5})
    said = fleet[0].tick(NOW + 200, NAMES)
    circle = {f"n{router:02d}" for router, e in pairs(ENGINES, 40) if e == engine}
    loads = {to for to, data in said if codec.decode(data, "n00").loads}
    assert loads == circle - {"n00"}
    to, data = said[0]
    listener = fleet[NAMES.index(to)]
    listener.heard(NOW + 210, "n00", data)
    assert listener.news() == [(engine, {"inflight": 3.0, "util": 0.5}, 200)]


def test_drain_is_told_with_every_ping_until_the_engine_is_back():
    fleet = companies()
    fleet[0].listed(NOW, 2, [e for e in ENGINES if e != 120], [120])
    for teller in fleet[:3]:
        teller.listed(NOW, 2, [e for e in ENGINES if e != 120], [120])
        fleet[9].heard(NOW, teller.me, teller.beside(NOW, "n09"))
    standing = fleet[9].standing(NOW, NAMES, {}, 1)
    assert standing.closed == {120} and 120 not in standing.near
    fleet[9].listed(NOW, 2, [e for e in ENGINES if e != 120], [120])
    assert not fleet[9].standing(NOW, NAMES, {}, 1).closed  # now the list itself says so


def test_loads_keep_to_their_bytes_and_the_oldest_are_dropped():
    company = companies(12)[0]
    sent = 0
    for step in range(100):
        now = NOW + step * 1_000
        for engine in company.near:
            company.reported(now, engine, {"inflight": step})
        sent += sum(len(data) + 80 for _, data in company.tick(now, NAMES))
    assert sent < 2 * (10 * BYTES + 12_000) and company.dropped > 0
    assert len(company.line) < 60 * 12 * 10


def test_cold_engine_that_got_enough_from_all_is_closed_to_lots():
    fleet = companies()
    engine = min(fleet[0].near)
    other = next(c for c in fleet[1:] if engine in c.near)
    tips = {engine: 40_000.0}
    for n in range(10):
        other.sent_cold(NOW + n, engine, 1_000)
        fleet[0].sent_cold(NOW + n, engine, 500)
        fleet[0].heard(NOW + n, other.me, other.beside(NOW + n, "n00"))
    assert engine not in fleet[0].standing(NOW + 10, NAMES, tips, 15_000).parts
    for n in range(10):
        fleet[0].sent_cold(NOW + n, engine, 700)
    assert fleet[0].standing(NOW + 10, NAMES, tips, 15_000).parts[engine] == 0
    assert engine not in fleet[0].standing(NOW + 20_000, NAMES, tips, 15_000).parts


def test_router_that_was_named_others_is_heard_but_lends_nothing():
    fleet = companies()
    stranger = Company("n05", NAMES[:20], ["inflight"], ["cold"], 1, NOW)
    fleet[0].heard(NOW, "n05", stranger.beside(NOW, "n00"))
    assert fleet[0].unlike == {"n05"} and not fleet[0].quotas.limits["cold"].wants
    fleet[0].heard(NOW, "n05", fleet[5].beside(NOW, "n00"))
    assert not fleet[0].unlike


def test_engines_stay_in_sight_when_the_operator_names_other_routers():
    company = companies(20)[0]
    before = company.near
    company.named(NOW, NAMES)
    fresh = companies(40)[0]
    assert company.near == fresh.near != before and company.circles == fresh.circles
    assert company.signals.listed_to == 1 and company.signals.engines.keys() == set(ENGINES)
    signals = company.signals
    company.named(NOW, reversed(NAMES))  # the same again forgets nothing
    assert company.signals is signals


def test_newcomer_is_told_all_that_may_matter_to_it():
    fleet = companies()
    for engine in fleet[0].near:
        fleet[0].reported(NOW, engine, {"inflight": 3})
    gone = list(ENGINES)[:50]
    fleet[0].listed(NOW, 2, set(ENGINES) - set(gone), gone)
    for engine in fleet[0].near:
        fleet[0].reported(NOW, engine, {"inflight": 3})
    told = [codec.decode(data, "n00") for data in fleet[0].all(NOW, "n07")]
    assert {drain.engine for parcel in told for drain in parcel.drains} == set(gone)
    seen = {load.engine for parcel in told for load in parcel.loads}
    assert seen == {e for e, circle in fleet[0].circles.items() if "n07" in circle}


def test_liar_about_loads_reaches_the_engines_of_its_own_sight_alone():
    """Stated: some SIZE of them all, and of those none that this router has looked at within OWN."""
    fleet, chance = companies(), random.Random(1)
    liar = fleet[3]
    lies = codec.encode(codec.Parcel(liar.edition, tuple(Load(e, 0, (0, 0)) for e in ENGINES)))
    reached = set()
    for company in fleet[:3] + fleet[4:]:
        own = chance.choice(sorted(company.near))
        company.reported(NOW, own, {"inflight": 9})
        company.heard(NOW + 100, "n03", lies)
        news = {engine for engine, _, _ in company.news()}
        assert own not in news
        reached |= news
    assert reached <= set(liar.near) and len(reached) < len(ENGINES) / 2


def test_whole_of_a_limit_is_a_million_parts():
    fleet = companies()
    parts = [company.standing(NOW, NAMES, {}, 1).parts["cold"] for company in fleet]
    assert sum(parts) <= 1 and all(part >= 1 / WHOLE for part in parts)
