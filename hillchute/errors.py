"""Every type of error that an operator may meet, with what can be done about it.

A fault of the program itself is no member of this family. Each class has a `remedy`, which names only fields,
files and signals that exist; the log has it beside what happened.
"""

from typing import ClassVar


class HillchuteError(Exception):
    """Base of all: what happened (`detail`), where (`location`), and what an operator can do (`remedy`).

    Each class says what its `location` is; an empty one means that there is none.
    """

    remedy: ClassVar[str] = ""

    def __init__(self, detail: str, location: str = "") -> None:
        super().__init__(f"{location}: {detail}" if location else detail)
        self.detail = detail
        self.location = location

    @property
    def log_fields(self) -> dict[str, str]:
        """The fields that the structured log has for this error."""
        return {
            "error": type(self).__name__,
            "what": self.detail,
            "where": self.location,
            "remedy": self.remedy,
        }


class ConfigurationError(HillchuteError):
    """The platform's configuration can't be used; `location` is the key, by its full path."""

    remedy = "mend that key in the file that EDGE_CONFIG names, then start again or send SIGHUP"


class AcceptPausedError(HillchuteError):
    """New connections can't be accepted for want of descriptors or memory; `location` is the address.

    They wait in the kernel's backlog, and are accepted once descriptors or memory are free again.
    """

    remedy = (
        "see which program of this machine holds the descriptors or the memory, or raise the limit that the"
        " message names; the router tries again ten times a second and needs no restart"
    )


class OperatorFileError(HillchuteError, ValueError):
    """An operator file can't be used; `detail` has all its faults, one a line.

    A line reads `file:line: path: expected ..., got ...`.
    """

    remedy = (
        "mend the file that HILLCHUTE_OPERATOR names, see it through with `hillchute check`, then start again"
        " or send SIGHUP; a running router goes on with what it read before"
    )


class EventBusProtocolError(HillchuteError):
    """The event bus sent what its protocol does not allow."""

    remedy = (
        "see that `bus` in the file that EDGE_CONFIG names is the address of an event bus, and which version"
        " it is of; the router goes on with the last list and tries again"
    )


class UnknownEngineKindError(HillchuteError):
    """The event bus lists an engine of a kind that the settings do not name; `location` is the engine.

    It gets no queries.
    """

    remedy = (
        "name the kind under `settings.kinds` in the file that EDGE_CONFIG names, then start the router again"
    )


class InvalidDatagramError(HillchuteError):
    """A datagram between routers that is rejected, as malformed, forged or replayed.

    `location` is the peer, if the authentication tag was its own.
    """

    remedy = (
        "compare `peers` in the operator files of both routers: address and key; then send SIGHUP to both"
    )


class PeerListenError(HillchuteError):
    """The address for other routers can't be bound; `location` is the address."""

    remedy = "give `peers.listen` an address of this machine that no other program holds, UDP and TCP"


class PeerListMismatchError(HillchuteError):
    """Another router has a different list of routers than this one; `location` is its name."""

    remedy = "give all routers the same names under `peers`, then send SIGHUP; until then no parts are lent"


class ClockBehindError(HillchuteError):
    """Other routers know a later start of this one: its wall clock was set back before it started.

    They reject all its datagrams, and it shares nothing with them; it serves as a router alone. `location`
    is its name.
    """

    remedy = "set this machine's clock right, then restart the router"


class StalePoliciesError(HillchuteError):
    """A replica of the answer history has not applied the last policies; `location` is its name."""

    remedy = (
        "see that the router is reached by the others (`peers`); until it has applied them it answers"
        " nothing from the history"
    )


class PoliciesRejectedError(HillchuteError):
    """Policies of the answer history that are not later than those in force; `location` is the field."""

    remedy = "raise `history.number` above the number that holds, then send SIGHUP"


class HistoryStorageError(HillchuteError):
    """The answer history's file can't be written or read; `location` is the file.

    Queries whose policy requires the disk are deferred; its records are served again once it is repaired.
    """

    remedy = (
        "see that `history.disk` names a file in a folder that the router may write to, with room; move a"
        " damaged file away and restart the router: others bring back what they hold"
    )


class SignatureJournalError(HillchuteError):
    """The journal of what a partner has signed can't be read or written; `location` is the file."""

    remedy = (
        "see that `partners.marks_file` names a file in a folder that the router may write to, with room, and"
        " that no line of it was changed; until then this partner signs no agreement, and the last one holds"
    )


class PartnerEquivocationError(HillchuteError):
    """A partner has signed two agreements of one number; `location` is its name.

    Its share goes to the others.
    """

    remedy = (
        "ask that partner whether two of its routers have its `partners.key_file`, or an old"
        " `partners.marks_file` was put back; to have a part again it needs another key under"
        " `partners.members` everywhere, and SIGHUP"
    )


class InvalidAgreementError(HillchuteError):
    """An agreement between partners that this one can't sign; `location` is the field or the partner."""

    remedy = "compare `partners.offer` of all partners; make a new offer with a higher turn, then send SIGHUP"
