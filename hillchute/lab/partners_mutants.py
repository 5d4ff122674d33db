"""Mutation tests of the messages between partners' routers: the real code on a simulated clock and network.

A scripted run (offers, an agreement, forwarded queries, a new agreement under load, a death while forwarded
queries run, a restart, a cut, a notice) is played once, then again for each message and each mutation of that
message. Checks invariants only, independent of how the tested code decides. A run is determined by its seed.
The command line is that of hillchute.lab.mutants; the mutations are those of history_mutants.

A lying router may send anything but cannot sign for another partner. It may make replicas store false
records, as in the history, but no router may fail, no client may be answered twice, and no agreement may be
in force that not all partners have signed.
"""

from typing import get_args

from hillchute.history import messages as history
from hillchute.history.codec import encoder as history_encoder
from hillchute.history.retention import RetentionPolicy
from hillchute.lab import history_mutants
from hillchute.lab.history_mutants import ALLOWED_VIOLATIONS, MutatingNetwork
from hillchute.lab.partners_net import HISTORY, PARTNERS, PartnersNet, initial_policies
from hillchute.partners import codec
from hillchute.partners.messages import Message, PartnerMessage
from hillchute.partners.signatures import SignedKind, content_digest, signed_bytes

ROUTERS = 6
HISTORY_MESSAGE_TYPES = (
    history.LeaseUpdate,
    history.LeaseReply,
    history.Heartbeat,
    history.HeartbeatReply,
    history.ClaimRequest,
    history.ClaimReply,
)
KINDS = (*get_args(Message), *HISTORY_MESSAGE_TYPES)
# Rules that a lying router may break.
ALLOWED_PARTNER_VIOLATIONS = (*ALLOWED_VIOLATIONS, "two owners", "deferred and ran", "overtaken")


class MutatedPartnersNet(MutatingNetwork, PartnersNet):
    """Six routers of three partners; one of their messages may be mutated."""

    def __init__(self, seed: int, index: int = -1, mutation: str = "", path: tuple = ()) -> None:
        self.select_mutant(index, mutation, path)
        policy = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)
        super().__init__(seed, ROUTERS, initial_policies(copies=1, default=policy), failure_rate=0.0)

    def encode_unchecked(self, message: object) -> bytes:
        """Encodes a message without checking the bounds of its fields."""
        if isinstance(message, PartnerMessage):
            return PARTNERS + codec.encoder.encode(message)
        return HISTORY + history_encoder.encode(message)

    def ask_all(self, first: int, count: int, names: list[str], interval: float = 0.3) -> None:
        """Sends queries to the routers in turn, one every `interval` seconds."""
        for n in range(first, first + count):
            self.ask(names[n % len(names)], f"t{n}", f"k{n % 4}")
            if n % 3 == 0:
                self.ask_mutating(names[n % len(names)], n % 3)
            self.advance(interval)

    def script(self) -> "MutatedPartnersNet":
        """Plays the whole run and records failures in `failures`."""
        self.make_offers()
        if not (self.wait_until_settled() and self.wait_until_agreed()):
            self.failures.append("no agreement is in force at the start")
            return self
        self.renew_agreement_under_load()
        self.lose_routers()
        self.leave_agreement()
        if not (self.wait_until_settled(40) and self.wait_until_agreed(40)):
            self.failures.append("not settled at the end")
        if self.unanswered():
            self.failures.append(f"{self.unanswered()} clients without an answer")
        self.check_agreements()
        return self

    def renew_agreement_under_load(self) -> None:
        """Makes another agreement while queries run, then sends the same queries again."""
        self.ask_all(0, 8, self.names)
        self.offer("b", 7000)
        self.ask_all(8, 10, self.names, 0.2)
        self.advance(4)
        for n in range(4):  # what ran is known to all routers
            self.ask(self.names[(n + 1) % ROUTERS], f"t{n}", f"k{n % 4}")
        self.advance(3)

    def lose_routers(self) -> None:
        """A router dies and returns; then two routers are cut off for a while."""
        for name in self.names:
            self.ask(name, f"d{name}", "k1")
        self.advance(0.2)
        self.kill("n4")  # a router of partner b that is running forwarded queries
        self.advance(9)
        self.start("n4")
        self.advance(9)
        self.cut(["n0", "n1"], self.names[2:])
        self.advance(2)
        self.ask_all(30, 3, ["n0", "n5"])
        self.advance(7)
        self.heal()
        self.advance(9)

    def leave_agreement(self) -> None:
        """A partner gives notice, and its part in the agreement ends with the notice period."""
        self.protocols["n2"].give_notice(self.clock("n2"))  # signs for partner c
        self.post("n2")
        self.advance(13)
        self.ask_all(40, 6, self.names)
        self.advance(6)

    def check_agreements(self) -> None:
        """Checks that agreement numbers are unique and that all partners signed each accepted agreement."""
        agreements: dict[int, object] = {}
        for name, protocol in self.protocols.items():
            for number, agreement in protocol.ledger.accepted.items():
                if agreements.setdefault(number, agreement) != agreement:
                    self.failures.append(f"{name} has a different agreement {number}")
                for partner in agreement.shares:
                    signature = protocol.ledger.signatures.get(content_digest(agreement), {}).get(partner)
                    is_known = (
                        signature is not None and signature.number == number and signature.partner == partner
                    )
                    content = signed_bytes(SignedKind.AGREEMENT, number, content_digest(agreement))
                    if not is_known or not self.check(partner, content, signature.value):
                        self.failures.append(
                            f"{name} accepted agreement {number} without {partner}'s signature"
                        )

    def final_state(self) -> dict[str, object]:
        """Returns the effective shares, the slots per owner and the highest number of runs of one key."""
        protocols = list(self.protocols.values())
        return {
            "shares": sorted(
                (n, s) for n, s in protocols[0].ownership.effective_shares(self.clock("n0")).items()
            ),
            "current": all(protocol.ownership.up_to_date() for protocol in protocols),
            "owners": sorted({owner: self.owners().count(owner) for owner in "abc"}.items()),
            "ran_at_most": max(len(runs) for runs in self.runs.values()),
        }


def play(seed: int, max_mutants: int | None = None, jobs: int | None = None) -> dict[str, object]:
    """Runs mutants as history_mutants.play does, with the messages of partners."""
    return history_mutants.play(
        seed, max_mutants, jobs, MutatedPartnersNet, KINDS, ALLOWED_PARTNER_VIOLATIONS
    )
