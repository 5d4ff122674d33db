"""Messages that routers exchange about engines and quota leases.

Each message is encoded as an array, so the order of its fields is part of the protocol and must not change;
field names are not sent. Ages and durations are in tenths of a millisecond. Ages are sent instead of times,
because routers do not share a clock.
"""

from typing import NamedTuple

import msgspec

from hillchute.decision.interface import EngineId, Time


class LoadReport(NamedTuple):
    """One load report of an engine, as its witness received it."""

    engine: EngineId
    age: Time
    figures: tuple[int, ...]  # hundredths, in the order of the settings' columns; -1: missing


class EngineFailure(NamedTuple):
    """Two or more consecutive failures of an engine at the witness; `age` is that of the last one."""

    engine: EngineId
    age: Time


class DrainNotice(NamedTuple):
    """The watch event by which an engine became Terminating or Gone in the endpoint list."""

    engine: EngineId
    event_number: int


class WarmUpWork(NamedTuple):
    """Core time of the queries that the witness has sent to a warming engine since the witness started."""

    engine: EngineId
    total: int  # hundredths of a second


class AdmissionCounts(NamedTuple):
    """Queries of a group that the witness has received and rejected since it started."""

    group: int
    received: int
    rejected: int


class Observations(NamedTuple):
    """The observations of one router itself that it sends in one message."""

    load_reports: tuple[LoadReport, ...] = ()
    failures: tuple[EngineFailure, ...] = ()
    drains: tuple[DrainNotice, ...] = ()
    warm_up_work: tuple[WarmUpWork, ...] = ()
    admissions: tuple[AdmissionCounts, ...] = ()


class Demand(NamedTuple):
    """A router's units of one limit: what its traffic would use, and what it may use."""

    requested: int
    usable: int


class LeaseRequest(NamedTuple):
    """Sets the size of the lease between two routers; replaces all earlier requests of this borrower."""

    number: int
    amount: int
    still_used: int  # units of the present lease that the borrower continues to use
    requested: int  # the borrower's Demand, with the next field
    usable: int


class LeaseGrant(NamedTuple):
    """The answer to the lease request of this number."""

    number: int
    amount: int
    duration: Time


class LeaseMessage(NamedTuple):
    """A lease request or grant to be sent."""

    recipient: str
    limit: str
    body: LeaseRequest | LeaseGrant


class Digest(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The gossip payload of one datagram. Lease messages are accepted only between routers configured with
    the same names, which they compare by `membership_checksum`."""

    membership_checksum: int = 0
    load_reports: tuple[LoadReport, ...] = ()
    failures: tuple[EngineFailure, ...] = ()
    drains: tuple[DrainNotice, ...] = ()
    warm_up_work: tuple[WarmUpWork, ...] = ()
    admissions: tuple[AdmissionCounts, ...] = ()
    demands: dict[str, Demand] = {}  # by the name of the limit, like the next two
    lease_requests: dict[str, LeaseRequest] = {}
    lease_grants: dict[str, LeaseGrant] = {}

    @property
    def observations(self) -> Observations:
        """The observations in this digest."""
        return Observations(self.load_reports, self.failures, self.drains, self.warm_up_work, self.admissions)
