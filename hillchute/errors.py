"""Every type of error that an operator may meet, with what can be done about it. Imports nothing.

A fault of the program itself is no member of this family. `remedy` names a field, a file or a signal that
exists; it goes to the log beside what happened.
"""


class HillchuteError(Exception):
    """What happened, where, and what an operator can do."""

    remedy = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where

    @property
    def told(self) -> dict[str, str]:
        """As the log has it."""
        return {"error": type(self).__name__, "what": self.what, "where": self.where, "remedy": self.remedy}


class BadConfiguration(HillchuteError):
    """The platform's configuration can't be used; `where` is the key, by its full path."""

    remedy = "mend that key in the file that EDGE_CONFIG names, then start again or send SIGHUP"


class AcceptPaused(HillchuteError):
    """New connections can't be accepted for want of descriptors or memory; `where` is the address. They
    wait with the kernel, and are accepted once there is room again."""

    remedy = (
        "see which program of this machine holds the descriptors or the memory, or raise the limit that the"
        " message names; the router tries again ten times a second and needs no restart"
    )


class BadRecord(HillchuteError, ValueError):
    """An operator file can't be used: all faults of it, one a line: file:line: path: expected ..., got ..."""

    remedy = (
        "mend the file that HILLCHUTE_OPERATOR names, see it through with `hillchute check`, then start again"
        " or send SIGHUP; a running router goes on with what it read before"
    )


class BusUnreadable(HillchuteError):
    """The event bus says what its protocol does not know."""

    remedy = (
        "see that `bus` in the file that EDGE_CONFIG names is the address of an event bus, and which version"
        " it is of; the router goes on with the last list and tries again"
    )


class UnknownKind(HillchuteError):
    """The event bus lists an engine of a kind that the settings do not name; `where` is the engine. It
    gets no queries."""

    remedy = (
        "name the kind under `settings.kinds` in the file that EDGE_CONFIG names, then start the router again"
    )


class DatagramDropped(HillchuteError):
    """A datagram between routers that can't be believed; `where` is the peer, if the mark was its own."""

    remedy = (
        "compare `peers` in the operator files of both routers: address and key; then send SIGHUP to both"
    )


class PeersNotReachable(HillchuteError):
    """The address for other routers can't be had; `where` is the address."""

    remedy = "give `peers.listen` an address of this machine that no other program holds, UDP and TCP"


class ListsDiffer(HillchuteError):
    """Another router was named other routers than this one; `where` is its name."""

    remedy = "give all routers the same names under `peers`, then send SIGHUP; until then no parts are lent"


class ClockBehind(HillchuteError):
    """Other routers know a later start of this one: its wall clock was set back before it started. They
    believe nothing of it, and it shares nothing with them; it serves as a router alone. `where` is its
    name."""

    remedy = "set this machine's clock right, then restart the router"


class BookNotCurrent(HillchuteError):
    """A holder of the answer history has not applied the last policies; `where` is its name."""

    remedy = (
        "see that the router is reached by the others (`peers`); until it has applied them it answers"
        " nothing from the history"
    )


class BookNotTaken(HillchuteError):
    """Policies of the answer history that are not later than those which hold; `where` is the field."""

    remedy = "raise `history.number` above the number that holds, then send SIGHUP"


class DiskNotUsable(HillchuteError):
    """The answer history's disk can't be written or read; `where` is the file. Queries whose policy wants the
    disk are deferred; what it holds is answered from again once it is mended."""

    remedy = (
        "see that `history.disk` names a file in a folder that the router may write to, with room; move a"
        " damaged file away and restart the router: others bring back what they hold"
    )


class SignatureJournalError(HillchuteError):
    """The file of what a partner has signed can't be read or written; `where` is the file."""

    remedy = (
        "see that `partners.marks_file` names a file in a folder that the router may write to, with room, and"
        " that no line of it was changed; until then this partner signs no agreement, and the last one holds"
    )


class PartnerEquivocationError(HillchuteError):
    """A partner has signed two agreements of one number; `where` is its name. Its part goes to the others."""

    remedy = (
        "ask that partner whether two of its routers have its `partners.key_file`, or an old"
        " `partners.marks_file` was put back; to have a part again it needs another key under"
        " `partners.members` everywhere, and SIGHUP"
    )


class AgreementRejectedError(HillchuteError):
    """An agreement between partners that can't be signed or derived; `where` is the field or the partner."""

    remedy = "compare `partners.offer` of all partners; make a new offer with a higher turn, then send SIGHUP"
