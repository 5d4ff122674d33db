"""One message between partners' routers changed at a time: the real code under a clock and a network of its
own.

A scripted run (offers, an agreement, forwarded queries, a new agreement under load, a death with such a query
out, a return, a cut, a notice) is played once; then again, once for each message and each change of it. Owns
the script and what the ends are compared by. Must never know how the code under it comes to what it does. One
seed, one run. Played from hillchute.lab.mutants; the changes are history_mutants'.

A liar here is a router: it can say what it likes, but not sign for another partner. It may make holders of
slots believe what never was, as in the history; but no router may fail at it, no client be answered twice,
and no agreement be in force that not all have signed.
"""

from typing import get_args

from hillchute.history import messages as history
from hillchute.history.codec import encoder as history_encoder
from hillchute.history.retention import RetentionPolicy
from hillchute.lab import history_mutants
from hillchute.lab.history_mutants import HARMLESS, Changing
from hillchute.lab.partners_net import HISTORY, PARTNERS, PartnersNet, founded
from hillchute.partners import codec
from hillchute.partners.messages import Message, PartnerMessage
from hillchute.partners.signatures import SignedKind, content_digest, signed_bytes

ROUTERS = 6
LEASES = (
    history.LeaseUpdate,
    history.LeaseReply,
    history.Heartbeat,
    history.HeartbeatReply,
    history.ClaimRequest,
    history.ClaimReply,
)
KINDS = (*get_args(Message), *LEASES)
MAY_BE = (*HARMLESS, "two owners", "deferred and ran", "overtaken")  # what a router that lies may bring about


class Net(Changing, PartnersNet):
    """Six routers of three partners, of whose messages one may be changed."""

    def __init__(self, seed: int, at: int = -1, change: str = "", path: tuple = ()) -> None:
        self.listen(at, change, path)
        policy = RetentionPolicy(rows=True, least_ms=90_000, most_ms=600_000)
        super().__init__(seed, ROUTERS, founded(copies=1, default=policy), fails=0.0)

    def unchecked(self, message: object) -> bytes:
        """The bytes of a message whose fields need not be within their bounds."""
        if isinstance(message, PartnerMessage):
            return PARTNERS + codec.encoder.encode(message)
        return HISTORY + history_encoder.encode(message)

    def ask_all(self, first: int, many: int, names: list[str], every: float = 0.3) -> None:
        """Queries one after another at the routers in turn, each `every` seconds."""
        for n in range(first, first + many):
            self.ask(names[n % len(names)], f"t{n}", f"k{n % 4}")
            if n % 3 == 0:
                self.change(names[n % len(names)], n % 3)
            self.advance(every)

    def script(self) -> "Net":
        """Play the whole run; what went wrong is in `raised`."""
        self.agree()
        if not (self.settled() and self.agreed()):
            self.raised.append("no agreement came into force")
            return self
        self.agree_anew_under_load()
        self.lose_routers()
        self.leave_agreement()
        if not (self.settled(40) and self.agreed(40)):
            self.raised.append("did not come to rest")
        if self.unanswered():
            self.raised.append(f"{self.unanswered()} clients without an answer")
        self.check_agreements()
        return self

    def agree_anew_under_load(self) -> None:
        """Another agreement while queries run, and then the same queries again."""
        self.ask_all(0, 8, self.names)
        self.offer("b", 7000)
        self.ask_all(8, 10, self.names, 0.2)
        self.advance(4)
        for n in range(4):  # what ran is known, wherever it is asked for again
            self.ask(self.names[(n + 1) % ROUTERS], f"t{n}", f"k{n % 4}")
        self.advance(3)

    def lose_routers(self) -> None:
        """A router dies and returns; then two routers are cut off for a while."""
        for name in self.names:
            self.ask(name, f"d{name}", "k1")
        self.advance(0.2)
        self.kill("n4")  # b's, with queries that were forwarded to it
        self.advance(9)
        self.start("n4")
        self.advance(9)
        self.cut(["n0", "n1"], self.names[2:])
        self.advance(2)
        self.ask_all(30, 3, ["n0", "n5"])
        self.advance(7)
        self.mend()
        self.advance(9)

    def leave_agreement(self) -> None:
        """A partner gives notice, and its part ends."""
        self.protocols["n2"].give_notice(self.clock("n2"))  # c's: its part ends with the notice
        self.post("n2")
        self.advance(13)
        self.ask_all(40, 6, self.names)
        self.advance(6)

    def check_agreements(self) -> None:
        """No number has two agreements, and each that is accepted has every partner's signature."""
        agreements: dict[int, object] = {}
        for name, protocol in self.protocols.items():
            for number, agreement in protocol.ledger.accepted.items():
                if agreements.setdefault(number, agreement) != agreement:
                    self.raised.append(f"{name} has another agreement of number {number}")
                for partner in agreement.shares:
                    signature = protocol.ledger.signatures.get(content_digest(agreement), {}).get(partner)
                    known = (
                        signature is not None and signature.number == number and signature.partner == partner
                    )
                    content = signed_bytes(SignedKind.AGREEMENT, number, content_digest(agreement))
                    if not known or not self.check(partner, content, signature.value):
                        self.raised.append(f"{name} accepts agreement {number} without {partner}'s signature")

    def end(self) -> dict[str, object]:
        """Which agreement is followed, whose the slots are, how often each token ran."""
        protocols = list(self.protocols.values())
        return {
            "shares": sorted(
                (n, s) for n, s in protocols[0].ownership.effective_shares(self.clock("n0")).items()
            ),
            "current": all(c.ownership.up_to_date() for c in protocols),
            "owners": sorted({owner: self.owners().count(owner) for owner in "abc"}.items()),
            "ran_at_most": max(len(runs) for runs in self.runs.values()),
        }


def play(seed: int, most: int | None = None, jobs: int | None = None) -> dict[str, object]:
    """Play some mutants of one seed; counts of those that broke something."""
    return history_mutants.play(seed, most, jobs, Net, KINDS, MAY_BE)
