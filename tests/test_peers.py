"""Acceptance of datagrams between routers, and failure detection on a simulated network."""

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hillchute.errors import HillchuteError, InvalidDatagramError
from hillchute.lab.peer_net import PeerNetwork
from hillchute.peers import datagrams
from hillchute.peers.datagrams import Datagram, DatagramKind, PeerState, ReplayWindow, Rumour, decode, encode

KEY = b"k" * 32
OTHER_KEY = b"o" * 32
PING = Datagram(
    sender="n1",
    receiver="n2",
    generation=1000,
    receiver_generation=2000,
    sequence=7,
    kind=DatagramKind.PING,
    ping_number=3,
    rumours=(Rumour("n3", PeerState.SUSPECT, 5, "n1"),),
    payload=b"x",
)


def drop_reason(data, keys=None):
    with pytest.raises(InvalidDatagramError) as dropped:
        decode(data, "n2", {"n1": KEY, "n3": OTHER_KEY} if keys is None else keys)
    return dropped.value.detail


numbers = st.integers(0, datagrams.COUNTER_LIMIT - 1)
names = st.text(min_size=1, max_size=12)
any_datagram = st.builds(
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
@given(any_datagram)
def test_datagram_round_trips(datagram):
    assert decode(encode(datagram, KEY), "n2", {datagram.sender: KEY}) == datagram


def test_truncated_datagram_and_any_flipped_bit_are_dropped():
    data = encode(PING, KEY)
    for end in range(len(data)):
        assert drop_reason(data[:end])
    for at, bit in itertools.product(range(len(data)), range(8)):
        assert drop_reason(data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :])


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=1400))
def test_random_bytes_are_dropped(data):
    assert drop_reason(data)
    assert drop_reason(bytes([datagrams.VERSION]) + data)


def test_each_kind_of_invalid_datagram_has_its_own_drop_reason():
    data = encode(PING, KEY)
    assert drop_reason(data + b"\0" * 1200) == "too long"
    assert drop_reason(b"\2" + data[1:]) == "unknown version"
    assert drop_reason(data, {"n3": KEY}) == "unknown peer"
    assert drop_reason(encode(PING, OTHER_KEY)) == "wrong tag"
    impersonating = msgspec.structs.replace(PING, sender="n3")
    assert drop_reason(encode(impersonating, KEY)) == "wrong tag"  # n1 impersonates n3 with its own key
    assert drop_reason(encode(msgspec.structs.replace(PING, receiver="n9"), KEY)) == "other receiver"


@pytest.mark.parametrize(
    "field, value",
    [
        ("kind", 8),
        ("kind", -1),
        ("kind", 2),
        ("sequence", -1),
        ("generation", datagrams.COUNTER_LIMIT),
        ("ping_number", -5),
        ("receiver_generation", -1),
        ("rumours", (Rumour("n3", 4, 1, "n1"),)),
        ("rumours", (Rumour("", 0, 1, "n1"),)),
        ("rumours", (Rumour("n", 0, 1, "w" * 65),)),
        ("rumours", (Rumour("n3", 0, 1, "n1"),) * (datagrams.MAX_RUMOURS + 1)),
        ("subject", "a" * 65),
    ],
)
def test_authentic_datagram_with_a_field_out_of_bounds_is_dropped_and_never_sent(field, value):
    wrong = msgspec.structs.replace(PING, **{field: value})
    body = datagrams.encoder.encode(wrong)
    assert drop_reason(bytes([1]) + datagrams.authentication_tag(KEY, body) + body).startswith("field")
    with pytest.raises(ValueError):
        encode(wrong, KEY)


def test_authentic_datagram_with_a_wrong_number_of_fields_is_dropped():
    values = msgspec.msgpack.decode(datagrams.encoder.encode(PING))
    for fields in (values[:6], [*values, 1], {"sender": "n1"}, 5, [values]):
        body = msgspec.msgpack.encode(fields)
        assert drop_reason(bytes([1]) + datagrams.authentication_tag(KEY, body) + body) == "unreadable"


def test_datagram_that_is_too_long_is_not_sent():
    with pytest.raises(ValueError, match="1200 at most"):
        encode(msgspec.structs.replace(PING, payload=b"x" * 1200), KEY)


# ---- generations and replays ------------------------------------------------------------------------


def datagram_with(sequence, generation=1000, receiver_generation=2000):
    return msgspec.structs.replace(
        PING, sequence=sequence, generation=generation, receiver_generation=receiver_generation
    )


@pytest.mark.parametrize("seed", range(20))
def test_each_datagram_is_accepted_once_in_any_order(seed):
    rng = random.Random(seed)
    window = ReplayWindow()
    accepted = []
    deliveries = [n for n in range(300) for _ in range(rng.choice((1, 1, 2, 3)))]
    deliveries = [n for _, n in sorted((n + rng.uniform(0, 40), n) for n in deliveries)]  # at most 40 late
    for number in deliveries:
        try:
            accepted.append(number) if window.accept(datagram_with(number), 2000) else None
        except InvalidDatagramError as error:
            assert error.detail == "replayed" and number in accepted
    assert sorted(accepted) == list(range(300))


def test_sequence_number_far_behind_counts_as_replayed():
    window = ReplayWindow()
    assert window.accept(datagram_with(500), 2000)
    for number in (500, 500 - ReplayWindow.SPAN, 0):
        with pytest.raises(InvalidDatagramError, match="replayed"):
            window.accept(datagram_with(number), 2000)
    assert window.accept(datagram_with(500 - ReplayWindow.SPAN + 1), 2000)


def test_peers_learn_of_a_restart_and_drop_datagrams_of_earlier_generations():
    """n2 restarts. Datagrams of n1 to its earlier generation are dropped, whoever replays them."""
    old = datagram_with(41, receiver_generation=2000)
    window = ReplayWindow()
    with pytest.raises(InvalidDatagramError, match="to earlier generation"):
        window.accept(old, 3000)
    assert window.known_generation == 1000  # sent back to n1, which then knows the new generation
    assert window.accept(datagram_with(42, receiver_generation=3000), 3000)
    for replayed in (old, datagram_with(41, generation=900, receiver_generation=2000)):
        with pytest.raises(InvalidDatagramError, match="earlier generation"):
            window.accept(replayed, 3000)
    # n1 has restarted and does not know any generation yet.
    restarted = datagram_with(43, generation=1500, receiver_generation=0)
    assert not window.accept(restarted, 3000)
    assert window.known_generation == 1500
    assert window.accept(datagram_with(0, generation=1500, receiver_generation=3000), 3000)
    with pytest.raises(InvalidDatagramError, match="from earlier generation"):
        window.accept(datagram_with(44, receiver_generation=3000), 3000)


def test_error_names_fault_location_and_remedy():
    assert issubclass(InvalidDatagramError, HillchuteError)
    fields = InvalidDatagramError("wrong tag", "n1").log_fields
    assert (
        fields["error"] == "InvalidDatagramError" and fields["where"] == "n1" and "peers" in fields["remedy"]
    )


# ---- failure detection ----------------------------------------------------------------------------------


def fleet(seed=1, count=24, **options):
    net = PeerNetwork(seed, count, **options)
    assert net.seconds_until_agreed(60) is not None
    return net


@pytest.mark.parametrize("loss_rate, repeat_rate", [(0.0, 0.0), (0.05, 0.1)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_routers_find_each_other_and_stay_alive(seed, loss_rate, repeat_rate):
    net = fleet(seed, loss_rate=loss_rate, repeat_rate=repeat_rate)
    net.play(30)
    assert net.agreed()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_dead_router_is_detected_by_all_and_can_restart(seed):
    net = fleet(seed)
    net.kill("n5")
    assert net.seconds_until_agreed(40) is not None
    net.start("n5")
    assert net.seconds_until_agreed(40) is not None


def test_two_thirds_of_the_routers_die_at_once_and_restart():
    net = fleet(4)
    killed = net.names[:16]
    for name in killed:
        net.kill(name)
    assert net.seconds_until_agreed(90) is not None
    for name in killed:
        net.start(name)
    assert net.seconds_until_agreed(90) is not None


def test_leaving_router_is_removed_without_suspicion():
    net = fleet(5)
    net.leave("n3")
    assert net.seconds_until_agreed(8) is not None
    assert all(detector.peers["n3"].state == PeerState.LEFT for detector in net.detectors.values())


def test_both_sides_of_a_partition_agree_and_merge_after_it():
    net = fleet(6)
    one_side, other_side = net.names[:8], net.names[8:]
    net.cut(one_side, other_side)
    net.play(60)
    assert net.agreed(one_side) and net.agreed(other_side)
    net.heal()
    assert net.seconds_until_agreed(90) is not None


def test_suspended_process_refutes_the_suspicion_after_resumption():
    net = fleet(7)
    net.paused.add("n2")
    net.play(3)
    net.paused.clear()
    assert net.seconds_until_agreed(20) is not None
    assert net.detectors["n2"].peers["n3"].state == PeerState.ALIVE


def test_broken_path_between_two_routers_makes_neither_dead():
    net = fleet(8)
    net.cut(["n1"], ["n2"])
    states = set()
    for _ in range(60):
        net.play(0.5)
        states |= {net.detectors[n].peers[m].state for n in net.names for m in ("n1", "n2") if m != n}
    assert PeerState.DEAD not in states


@pytest.mark.parametrize("state", [PeerState.SUSPECT, PeerState.DEAD, PeerState.LEFT])
def test_false_rumours_of_one_router_make_no_other_dead(state):
    net = fleet(9)
    false_rumours = tuple(
        Rumour(n, state, net.now // 10 + 1000, w) for n in net.names[1:12] for w in ("n0", "n20")
    )
    net.lies["n0"] = false_rumours[: datagrams.MAX_RUMOURS // 2]
    for _ in range(60):
        net.play(0.5)
        for name in net.names[1:]:
            assert len(set(net.detectors[name].live_peers()) - {"n0"}) == len(net.names) - 2


def test_false_rumours_do_not_keep_a_dead_router_alive():
    net = fleet(10)
    net.kill("n7")
    net.lies["n0"] = (Rumour("n7", PeerState.ALIVE, net.now // 10 + 500_000, "n7"),)
    net.play(60)
    believers = [n for n in net.names if n not in ("n7", "n0") and "n7" in net.detectors[n].live_peers()]
    assert not believers


def test_incarnation_far_ahead_of_the_clock_is_ignored():
    net = fleet(11, 6)
    detector = net.detectors["n1"]
    far_ahead = 1 << 60
    false_rumours = tuple(Rumour(name, PeerState.DEAD, far_ahead, "n0") for name in ("n2", "n1"))
    false_datagram = Datagram("n0", "n1", 1, 1, 1, DatagramKind.PING, 1, rumours=false_rumours)
    detector.receive(net.now, false_datagram)
    assert detector.peers["n2"].incarnation < 1 << 60 and detector.incarnation < 1 << 60


def test_traffic_of_a_router_grows_at_most_logarithmically():
    rates = {}
    for count in (8, 32, 96):
        net = fleet(12, count)
        net.datagrams_sent.clear()
        net.bytes_sent.clear()
        net.play(20)
        rates[count] = (
            sum(net.datagrams_sent.values()) / count / 20,
            sum(net.bytes_sent.values()) / count / 20,
        )
    assert rates[96][0] < 1.5 * rates[8][0]
    assert rates[96][1] < 3 * rates[8][1] and rates[96][1] < 2_000


def test_simulation_is_reproducible():
    def run():
        net = fleet(13, 12, loss_rate=0.1)
        net.kill("n4")
        net.play(20)
        return net.datagrams_sent, net.bytes_sent

    assert run() == run()
