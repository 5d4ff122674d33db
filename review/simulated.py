"""Plays the project's simulations of the history and of partners with seeds of this review, and prints broken rules.

    .venv/bin/python review/simulated.py            # needs requirements-dev.txt; some seconds

History: hillchute/lab/history_net.py as in tests/test_history.py, five routers, and a third of the faults is a cut
between two routers alone. Partners: hillchute/lab/partners_net.py as in tests/test_handover.py, unchanged.
"""

import random
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import msgspec  # noqa: E402
import test_handover  # noqa: E402
import test_history  # noqa: E402

from hillchute.lab import history_net, partners_net  # noqa: E402

inject_random_fault = history_net.inject_random_fault


def inject_fault_or_cut(net, rng, with_erasures):
    if rng.random() < 0.35:
        one, other = rng.sample(net.names, 2)
        net.cut([one], [other], both=rng.random() < 0.6)
    else:
        inject_random_fault(net, rng, with_erasures)


def play_history(seed):
    least = random.Random(seed).choice([8000, 20000, 60000])
    policy = msgspec.structs.replace(test_history.POLICY, least_ms=least)
    faults = {"loss_rate": 0.05, "duplicate_rate": 0.05, "not_sent_rate": 0.05}
    net = test_history.settled_net(5, seed % 3, seed, policy, **faults)
    history_net.run_random_faults(net, seed, 90, with_erasures=seed % 2 == 0)
    return net.broken_rules


def play_partners(seed):
    net = test_handover.net_of(seed=seed, loss_rate=0.05, duplicate_rate=0.05, not_sent_rate=0.05)
    partners_net.run_random_faults(net, seed, 60)
    return +net.broken_rules


for seed in (60007, 60014):
    print("partners", seed, dict(play_partners(seed)))
history_net.inject_random_fault = inject_fault_or_cut
for seed in (20013, 20060, 20098):
    print("history", seed, dict(play_history(seed)))
