"""Datagrams between routers: what is taken, what is dropped, and that nothing else happens."""

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import HillchuteError, InvalidDatagramError
from hillchute.lab.peer_net import Net
from hillchute.peers import codec
from hillchute.peers.codec import Datagram, Rumour, Window, decode, encode
from hillchute.peers.roster import ALIVE, DEAD, LEFT, SUSPECT

KEY, OTHER = b"k" * 32, b"o" * 32
PING = Datagram("n1", "n2", 1000, 2000, 7, 0, 3, rumours=(Rumour("n3", 1, 5, "n1"),), load=b"x")


def dropped(data, keys=None):
    with pytest.raises(InvalidDatagramError) as told:
        decode(data, "n2", {"n1": KEY, "n3": OTHER} if keys is None else keys)
    return told.value.detail


numbers = st.integers(0, codec.WHOLE - 1)
names = st.text(min_size=1, max_size=12)
datagrams = st.builds(
    Datagram,
    names,
    st.just("n2"),
    numbers,
    numbers,
    numbers,
    st.integers(0, 1),
    numbers,
    st.just(""),
    st.lists(st.builds(Rumour, names, st.integers(0, 3), numbers, names), max_size=5).map(tuple),
    st.binary(max_size=200),
)


@settings(max_examples=100, deadline=None)
@given(datagrams)
def test_datagram_comes_back_as_it_went(datagram):
    assert decode(encode(datagram, KEY), "n2", {datagram.sender: KEY}) == datagram


def test_datagram_cut_anywhere_or_with_any_bit_turned_is_dropped():
    data = encode(PING, KEY)
    for end in range(len(data)):
        assert dropped(data[:end])
    for at, bit in itertools.product(range(len(data)), range(8)):
        assert dropped(data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :])


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=1400))
def test_noise_is_dropped(data):
    assert dropped(data)
    assert dropped(bytes([codec.VERSION]) + data)


def test_each_fault_has_its_own_reason():
    data = encode(PING, KEY)
    assert dropped(data + b"\0" * 1200) == "too long"
    assert dropped(b"\2" + data[1:]) == "version"
    assert dropped(data, {"n3": KEY}) == "unknown peer"
    assert dropped(encode(PING, OTHER)) == "mark"
    turned = msgspec.structs.replace(PING, sender="n3")
    assert dropped(encode(turned, KEY)) == "mark"  # n1 speaks as n3 with the key of its own pair
    assert dropped(encode(msgspec.structs.replace(PING, receiver="n9"), KEY)) == "another's"


@pytest.mark.parametrize(
    "field, value",
    [
        ("kind", 8),
        ("kind", -1),
        ("kind", 2),
        ("sequence", -1),
        ("born", codec.WHOLE),
        ("number", -5),
        ("heard", -1),
        ("rumours", (Rumour("n3", 4, 1, "n1"),)),
        ("rumours", (Rumour("", 0, 1, "n1"),)),
        ("rumours", (Rumour("n", 0, 1, "w" * 65),)),
        ("rumours", (Rumour("n3", 0, 1, "n1"),) * (codec.RUMOURS + 1)),
        ("about", "a" * 65),
    ],
)
def test_field_out_of_bounds_under_a_good_mark_is_dropped_and_never_sent(field, value):
    wrong = msgspec.structs.replace(PING, **{field: value})
    body = codec.encoder.encode(wrong)
    assert dropped(bytes([1]) + codec.marked(KEY, body) + body).startswith("field")
    with pytest.raises(ValueError):
        encode(wrong, KEY)


def test_field_too_many_or_too_few_under_a_good_mark_is_dropped():
    whole = msgspec.msgpack.decode(codec.encoder.encode(PING))
    for fields in (whole[:6], [*whole, 1], {"sender": "n1"}, 5, [whole]):
        body = msgspec.msgpack.encode(fields)
        assert dropped(bytes([1]) + codec.marked(KEY, body) + body) == "unreadable"


def test_what_would_not_pass_whole_is_not_sent():
    with pytest.raises(ValueError, match="1200 at most"):
        encode(msgspec.structs.replace(PING, load=b"x" * 1200), KEY)


# ---- lives and repeats --------------------------------------------------------------------------------


def sent(sequence, born=1000, heard=2000):
    return msgspec.structs.replace(PING, sequence=sequence, born=born, heard=heard)


@pytest.mark.parametrize("seed", range(20))
def test_each_datagram_counts_once_in_whatever_order_they_come(seed):
    chance, window, taken = random.Random(seed), Window(), []
    line = [n for n in range(300) for _ in range(chance.choice((1, 1, 2, 3)))]
    line = [n for _, n in sorted((n + chance.uniform(0, 40), n) for n in line)]  # 40 late at the most
    for number in line:
        try:
            taken.append(number) if window.take(sent(number), 2000) else None
        except InvalidDatagramError as fault:
            assert fault.detail == "repeat" and number in taken
    assert sorted(taken) == list(range(300))


def test_number_far_behind_is_a_repeat_whether_it_came_or_not():
    window = Window()
    assert window.take(sent(500), 2000)
    for number in (500, 500 - Window.SPAN, 0):
        with pytest.raises(InvalidDatagramError, match="repeat"):
            window.take(sent(number), 2000)
    assert window.take(sent(500 - Window.SPAN + 1), 2000)


def test_both_sides_of_a_restart_hear_of_each_other_and_nothing_old_is_believed():
    """n2 restarts. What n1 sent to its earlier life is not believed, whoever sends it again."""
    old, window = sent(41, heard=2000), Window()
    with pytest.raises(InvalidDatagramError, match="to an earlier life"):
        window.take(old, 3000)
    assert window.heard == 1000  # goes back to n1, which then knows the new life
    assert window.take(sent(42, heard=3000), 3000)
    for again in (old, sent(41, born=900, heard=2000)):
        with pytest.raises(InvalidDatagramError, match="earlier life"):
            window.take(again, 3000)
    assert not window.take(sent(43, born=1500, heard=0), 3000)  # n1 starts anew and has heard of nobody
    assert window.heard == 1500
    assert window.take(sent(0, born=1500, heard=3000), 3000)
    with pytest.raises(InvalidDatagramError, match="of an earlier life"):
        window.take(sent(44, heard=3000), 3000)


def test_error_says_what_where_and_what_to_do():
    assert issubclass(InvalidDatagramError, HillchuteError)
    told = InvalidDatagramError("mark", "n1").log_fields
    assert told["error"] == "InvalidDatagramError" and told["where"] == "n1" and "peers" in told["remedy"]


# ---- who lives ------------------------------------------------------------------------------------------


def fleet(seed=1, count=24, **known):
    net = Net(seed, count, **known)
    assert net.after(60) is not None
    return net


@pytest.mark.parametrize("loss, twice", [(0.0, 0.0), (0.05, 0.1)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_find_each_other_and_stay(seed, loss, twice):
    net = fleet(seed, loss=loss, twice=twice)
    net.play(30)
    assert net.agreed()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_dead_router_is_found_by_all_and_comes_back_under_its_name(seed):
    net = fleet(seed)
    net.kill("n5")
    assert net.after(40) is not None
    net.start("n5")
    assert net.after(40) is not None


def test_seven_in_ten_die_at_once_and_return():
    net = fleet(4)
    gone = net.names[:16]
    for name in gone:
        net.kill(name)
    assert net.after(90) is not None
    for name in gone:
        net.start(name)
    assert net.after(90) is not None


def test_router_that_leaves_is_gone_at_once_and_no_one_suspects_it():
    net = fleet(5)
    net.leave("n3")
    assert net.after(8) is not None
    assert all(roster.peers["n3"].state == LEFT for roster in net.rosters.values())


def test_both_sides_of_a_cut_know_their_own_and_all_meet_again():
    net = fleet(6)
    some, others = net.names[:8], net.names[8:]
    net.cut(some, others)
    net.play(60)
    assert net.agreed(some) and net.agreed(others)
    net.mend()
    assert net.after(90) is not None


def test_paused_process_is_suspected_and_speaks_for_itself_when_it_goes_on():
    net = fleet(7)
    net.stopped.add("n2")
    net.play(3)
    net.stopped.clear()
    assert net.after(20) is not None
    assert net.rosters["n2"].peers["n3"].state == ALIVE


def test_way_that_is_broken_between_two_kills_neither():
    net = fleet(8)
    net.cut(["n1"], ["n2"])
    states = set()
    for _ in range(60):
        net.play(0.5)
        states |= {net.rosters[n].peers[m].state for n in net.names for m in ("n1", "n2") if m != n}
    assert DEAD not in states


@pytest.mark.parametrize("state", [SUSPECT, DEAD, LEFT])
def test_liar_that_calls_all_others_dead_ends_nobody(state):
    net = fleet(9)
    lies = tuple(Rumour(n, state, net.now // 10 + 1000, w) for n in net.names[1:12] for w in ("n0", "n20"))
    net.lies["n0"] = lies[: codec.RUMOURS // 2]
    for _ in range(60):
        net.play(0.5)
        for name in net.names[1:]:
            assert len(set(net.rosters[name].living()) - {"n0"}) == len(net.names) - 2


def test_liar_does_not_keep_the_dead_alive():
    net = fleet(10)
    net.kill("n7")
    net.lies["n0"] = (Rumour("n7", ALIVE, net.now // 10 + 500_000, "n7"),)
    net.play(60)
    believe = [n for n in net.names if n not in ("n7", "n0") and "n7" in net.rosters[n].living()]
    assert not believe


def test_life_far_ahead_of_the_clock_is_nobodys():
    net = fleet(11, 6)
    roster = net.rosters["n1"]
    roster.heard(
        net.now, "n0", 0, 1, "", [Rumour("n2", DEAD, 1 << 60, "n0"), Rumour("n1", DEAD, 1 << 60, "n0")]
    )
    assert roster.peers["n2"].incarnation < 1 << 60 and roster.incarnation < 1 << 60


def test_what_a_router_sends_grows_no_faster_than_the_logarithm():
    rates = {}
    for count in (8, 32, 96):
        net = fleet(12, count)
        net.sent.clear()
        net.bytes.clear()
        net.play(20)
        rates[count] = sum(net.sent.values()) / count / 20, sum(net.bytes.values()) / count / 20
    assert rates[96][0] < 1.5 * rates[8][0]
    assert rates[96][1] < 3 * rates[8][1] and rates[96][1] < 2_000


def test_same_seed_gives_the_same_run():
    def run():
        net = fleet(13, 12, loss=0.1)
        net.kill("n4")
        net.play(20)
        return net.sent, net.bytes

    assert run() == run()
