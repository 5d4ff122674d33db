"""All errors that an operator may encounter, each with its remedy.

Faults of the program itself are not among them. Each class has a `remedy`, which names only existing fields,
files and signals and is logged together with the error.
"""

from typing import ClassVar


class HillchuteError(Exception):
    """Base class: what happened (`detail`), where (`location`), and what an operator can do (`remedy`).

    The docstring of each class says what its `location` is; an empty string means that there is none.
    """

    remedy: ClassVar[str] = ""

    def __init__(self, detail: str, location: str = "") -> None:
        super().__init__(f"{location}: {detail}" if location else detail)
        self.detail = detail
        self.location = location

    @property
    def log_fields(self) -> dict[str, str]:
        """The fields of this error in the structured log."""
        return {
            "error": type(self).__name__,
            "what": self.detail,
            "where": self.location,
            "remedy": self.remedy,
        }


class ConfigurationError(HillchuteError):
    """The platform's configuration can't be used; `location` is the full path of the key."""

    remedy = "correct that key in the file that EDGE_CONFIG names, then restart the router or send SIGHUP"


class AcceptPausedError(HillchuteError):
    """Connections can't be accepted for lack of descriptors or memory; `location` is the listener's address.

    They wait in the kernel's backlog, and are accepted once descriptors or memory are available again.
    """

    remedy = (
        "find the program on this machine that uses up the descriptors or the memory, or raise the limit that"
        " the message names; the router tries again ten times a second and needs no restart"
    )


class OperatorFileError(HillchuteError, ValueError):
    """An operator file can't be used; `detail` lists all its errors, one per line.

    Each line has the form `file:line: path: expected ..., got ...`.
    """

    remedy = (
        "correct the file that HILLCHUTE_OPERATOR names, verify it with `hillchute check`, then restart the"
        " router or send SIGHUP; a running router keeps the settings that it has read before"
    )


class FlightKeysError(HillchuteError):
    """The certificate or a key of the Flight SQL frontend can't be used; `location` is the section."""

    remedy = (
        "check that `flight.tls` names a certificate and its key that the router may read, then start the"
        " router again; keys that change while it runs are read without a restart"
    )


class EventBusProtocolError(HillchuteError):
    """The event bus has violated its protocol."""

    remedy = (
        "check that `bus` in the file that EDGE_CONFIG names is the address of an event bus, and check the"
        " version of that event bus; the router keeps the last endpoint list and tries again"
    )


class UnknownEngineKindError(HillchuteError):
    """The event bus lists an engine of a kind that the settings do not define; `location` is the engine.

    The engine gets no queries.
    """

    remedy = "add the kind to `settings.kinds` in the file that EDGE_CONFIG names, then restart the router"


class InvalidDatagramError(HillchuteError):
    """A datagram between routers was rejected as malformed, forged or replayed.

    `location` is the peer, if the datagram has a valid authentication tag of that peer.
    """

    remedy = (
        "compare the addresses and keys under `peers` in the operator files of both routers, then send SIGHUP"
        " to both"
    )


class PeerListenError(HillchuteError):
    """The address on which peers reach this router can't be bound; `location` is the address."""

    remedy = "set `peers.listen` to an address of this machine that no other program uses for UDP or TCP"


class PeerListMismatchError(HillchuteError):
    """Another router has a different list of routers than this one; `location` is its name."""

    remedy = (
        "list the same names under `peers` on all routers, then send SIGHUP; until then routers whose lists"
        " differ lend each other no quota"
    )


class ClockBehindError(HillchuteError):
    """Other routers know a later start of this router: its wall clock was set back before this start.

    They reject all its datagrams, so it exchanges nothing with them and serves on its own. `location` is the
    name of this router.
    """

    remedy = "correct this machine's clock, then restart the router"


class StalePoliciesError(HillchuteError):
    """A replica of the answer history has not applied the latest policies; `location` is its name."""

    remedy = (
        "check that the other routers can reach this router (`peers`); until it has applied the policies, it"
        " answers nothing from the history"
    )


class PoliciesRejectedError(HillchuteError):
    """New policies of the answer history are not later than those in force; `location` is the field."""

    remedy = "raise `history.number` above the number in force, then send SIGHUP"


class HistoryStorageError(HillchuteError):
    """The answer history's file can't be written or read; `location` is the file.

    Queries whose policy requires the disk are rejected; its records are used again after a repair.
    """

    remedy = (
        "check that `history.disk` names a file in a directory that the router may write to, with free space;"
        " move a damaged file away and restart the router: other routers send it the records that they hold"
    )


class SignatureJournalError(HillchuteError):
    """The journal of a partner's signatures can't be read or written; `location` is the file."""

    remedy = (
        "check that `partners.marks_file` names a file in a directory that the router may write to, with free"
        " space, and that none of its lines was changed; until then this partner signs no agreement, and the"
        " last one stays in force"
    )


class PartnerEquivocationError(HillchuteError):
    """A partner has signed two different agreements with the same number; `location` is its name.

    Its share is divided among the other partners.
    """

    remedy = (
        "ask that partner whether two of its routers have its `partners.key_file`, or whether an old"
        " `partners.marks_file` was restored; to get a share again, it needs a new key under"
        " `partners.members` on all routers, which then need SIGHUP"
    )


class InvalidAgreementError(HillchuteError):
    """This partner can't sign an agreement; `location` is the field or the partner."""

    remedy = (
        "compare `partners.offer` of all partners, make a new offer with a higher `partners.offer.turn`, then"
        " send SIGHUP"
    )
