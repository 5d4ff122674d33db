"""Codec of gossip digests, with bounds on every field.

Performs no I/O. The sender is authenticated before (peers); how far a valid digest is trusted is decided
after (load_signals.py, quota_leases.py).
"""

from collections.abc import Iterator

import msgspec

from hillchute.coordination.load_signals import MAX_FIGURES
from hillchute.coordination.messages import Digest, LoadReport
from hillchute.coordination.quota_leases import LEASE_DURATION
from hillchute.errors import InvalidDatagramError

# The maximum number of entries of each field; a digest within these bounds fits into a datagram.
MAX_ENTRIES = {
    "load_reports": 64,
    "failures": 32,
    "drains": 32,
    "warm_up_work": 16,
    "admissions": 16,
    "demands": 8,
    "lease_requests": 8,
    "lease_grants": 8,
}
MAX_LIMIT_NAME = 64  # characters
ENGINE_ID_BOUND = 1 << 32
CHECKSUM_BOUND = 1 << 32
FIGURE_BOUND = 1 << 31
COUNT_BOUND = 1 << 62  # sums of a few counts still fit into 64 bits
AGE_BOUND = 1 << 30  # tenths of a millisecond: more than a day

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Digest)


def encode(digest: Digest) -> bytes:
    """The encoded digest; raises ValueError, with the field, for one that no receiver would accept."""
    field = find_invalid_field(digest)
    if field is not None:
        raise ValueError(field)
    return encoder.encode(digest)


def decode(data: bytes, sender: str) -> Digest:
    """The decoded digest; raises InvalidDatagramError with the field that is out of bounds."""
    if not data:
        return Digest()
    try:
        digest = decoder.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidDatagramError(f"load: {error}", sender) from error
    field = find_invalid_field(digest)
    if field is not None:
        raise InvalidDatagramError(f"load: {field}", sender)
    return digest


def find_invalid_field(digest: Digest) -> str | None:
    """The first field that is out of bounds, or None: an authentic peer may still be faulty or malicious."""
    return next(invalid_fields(digest), None)


def invalid_fields(digest: Digest) -> Iterator[str]:
    """Names of the fields that are out of bounds; lengths are checked first, to bound the cost of the
    rest."""
    for name, max_entries in MAX_ENTRIES.items():
        if len(getattr(digest, name)) > max_entries:
            yield name
    for by_limit in (digest.demands, digest.lease_requests, digest.lease_grants):
        if any(not 0 < len(limit) <= MAX_LIMIT_NAME for limit in by_limit):
            yield "limit"
    if not 0 <= digest.membership_checksum < CHECKSUM_BOUND:
        yield "membership_checksum"
    yield from invalid_observations(digest)
    yield from invalid_lease_messages(digest)


def invalid_observations(digest: Digest) -> Iterator[str]:
    """Fields about engines and queries that are out of bounds."""
    if not all(is_valid_load_report(report) for report in digest.load_reports):
        yield "load_reports"
    for failure in digest.failures:
        if not (0 <= failure.engine < ENGINE_ID_BOUND and 0 <= failure.age < AGE_BOUND):
            yield "failures"
    if not all(are_counts(notice) for notice in digest.drains):
        yield "drains"
    if not all(are_counts(work) for work in digest.warm_up_work):
        yield "warm_up_work"
    for counts in digest.admissions:
        if not are_counts(counts) or counts.rejected > counts.received:
            yield "admissions"


def invalid_lease_messages(digest: Digest) -> Iterator[str]:
    """Fields about limits that are out of bounds."""
    if not all(are_counts(demand) for demand in digest.demands.values()):
        yield "demands"
    if not all(are_counts(request) for request in digest.lease_requests.values()):
        yield "lease_requests"
    for grant in digest.lease_grants.values():
        if not are_counts(grant) or grant.duration > LEASE_DURATION:
            yield "lease_grants"


def is_valid_load_report(report: LoadReport) -> bool:
    """Whether the engine, the age and all figures are within bounds; -1 stands for a missing figure."""
    if not (0 <= report.engine < ENGINE_ID_BOUND and 0 <= report.age < AGE_BOUND):
        return False
    if len(report.figures) > MAX_FIGURES:
        return False
    return all(-1 <= figure < FIGURE_BOUND for figure in report.figures)


def are_counts(message: tuple[int, ...]) -> bool:
    """Whether all fields of a message are from 0 to below COUNT_BOUND."""
    return all(0 <= figure < COUNT_BOUND for figure in message)
