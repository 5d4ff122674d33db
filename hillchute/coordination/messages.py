"""Messages that routers exchange about engines and quota leases.

Plain values without behaviour. Each one is an array on the wire, so the order of its fields is part of the
protocol and must not change; the names of fields never travel. Ages and durations are in tenths of a
millisecond. Ages travel instead of times, because routers do not share a clock.
"""

from typing import NamedTuple

import msgspec

from hillchute.decision.interface import EngineId, Time


class LoadReport(NamedTuple):
    """One load report of an engine, as its witness received it."""

    engine: EngineId
    age: Time
    figures: tuple[int, ...]  # hundredths, in the order of the settings' columns; -1 where there was none


class EngineFailure(NamedTuple):
    """An engine failed for the witness more than once in a row; `age` is that of the last failure."""

    engine: EngineId
    age: Time


class DrainNotice(NamedTuple):
    """The endpoint list called an engine Terminating or Gone in the event of this number."""

    engine: EngineId
    event_number: int


class WarmUpWork(NamedTuple):
    """Core time that the witness has sent to a warming engine since the witness started."""

    engine: EngineId
    total: int  # hundredths of a second


class AdmissionCounts(NamedTuple):
    """Queries of a group that the witness has received and rejected since it started."""

    group: int
    received: int
    rejected: int


class Observations(NamedTuple):
    """What one router observed itself and sends to another at once."""

    load_reports: tuple[LoadReport, ...] = ()
    failures: tuple[EngineFailure, ...] = ()
    drains: tuple[DrainNotice, ...] = ()
    warm_up_work: tuple[WarmUpWork, ...] = ()
    admissions: tuple[AdmissionCounts, ...] = ()


class Demand(NamedTuple):
    """A router's units in one limit: what its traffic would use, and what it may use."""

    requested: int
    usable: int


class LeaseRequest(NamedTuple):
    """Sets the size of the lease between two routers; replaces all earlier requests of this borrower."""

    number: int
    amount: int
    still_used: int  # units of the lease so far that the borrower goes on using
    requested: int  # the borrower's demand, as in Demand
    usable: int


class LeaseGrant(NamedTuple):
    """The answer to the lease request of this number."""

    number: int
    amount: int
    duration: Time


class LeaseMessage(NamedTuple):
    """A lease request or grant that waits to be sent."""

    recipient: str
    limit: str
    body: LeaseRequest | LeaseGrant


class Digest(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The gossip payload of one datagram. Lease messages count only between routers that were given the same
    names, which they compare by `membership_checksum`."""

    membership_checksum: int = 0
    load_reports: tuple[LoadReport, ...] = ()
    failures: tuple[EngineFailure, ...] = ()
    drains: tuple[DrainNotice, ...] = ()
    warm_up_work: tuple[WarmUpWork, ...] = ()
    admissions: tuple[AdmissionCounts, ...] = ()
    demands: dict[str, Demand] = {}  # by the name of the limit, as the two that follow
    lease_requests: dict[str, LeaseRequest] = {}
    lease_grants: dict[str, LeaseGrant] = {}

    @property
    def observations(self) -> Observations:
        """The part about engines and queries."""
        return Observations(self.load_reports, self.failures, self.drains, self.warm_up_work, self.admissions)
