"""Partner support of hillchute.lab.processes: the partners' operator settings, and who caused which run.

Generates keys, files and offers of the partners. Attributes each connection at an engine to the router
process that holds its other end, by the kernel's socket tables, never by asking a router.
"""

import re
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from hillchute.lab.partners_net import private_key_bytes, public_key_bytes
from hillchute.lab.world import EngineWorld, RunRecord
from hillchute.router.request_rules import TABLE_GROUP_PREFIX

PARTNERS = "abc"
TOLERANCE = 0.05  # seconds, the same as for all limits
TABLE_GROUP_PATTERN = re.compile(r"_([0-9]+)\.")
SHARE_TOTAL = 10_000
THREADS_BY_GROUP = {"lookup": 1, "report": 4}  # threads of one query; 2 for all other groups
WINDOW_SECONDS = 0.25  # over which the threads used on an engine are averaged
THREADS_PER_CORE = 2.0  # thread limit per core over all routers

QueryInfo = tuple[str | None, str, str]  # a query's key, statement and group


def partner_of(number: int) -> str:
    """Returns the partner of a router. Routers are assigned round-robin; the first of each partner signs."""
    return PARTNERS[number % len(PARTNERS)]


class PartnerSettings:
    """Generates the `partners` section of each router's operator file."""

    def __init__(self, folder: Path, routers: list[str], started_at: float) -> None:
        self.folder, self.routers, self.started_at = folder, routers, started_at
        self.revisions = dict.fromkeys(PARTNERS, 1)
        self.desired_shares = dict.fromkeys(PARTNERS, 3333)
        for partner in PARTNERS:
            (folder / f"{partner}.key").write_text(private_key_bytes(partner).hex())

    def settings(self, number: int) -> str:
        """Returns the current `partners` section of one router."""
        own, members = partner_of(number), []
        for partner in PARTNERS:
            routers = ", ".join(f'"{r}"' for n, r in enumerate(self.routers) if partner_of(n) == partner)
            members.append(
                f'{{name: "{partner}", key: "{public_key_bytes(partner).hex()}", routers: [{routers}]}}'
            )
        fields = f'own: "{own}", members: [{", ".join(members)}]'
        if number < len(PARTNERS):
            begins, ends = int(self.started_at * 1000) - 3_600_000, int(self.started_at * 1000) + 86_400_000
            fields += f', key_file: "{self.folder / own}.key", marks_file: "{self.folder / own}.marks"'
            fields += (
                f", offer: {{turn: {self.revisions[own]}, capacity: 16, want: {self.desired_shares[own]},"
                " least: 500,"
            )
            fields += f" most: 9000, begins_ms: {begins}, ends_ms: {ends}}}"
        return f"partners: {{{fields}}}"

    def offer(self, partner: str, desired_share: int) -> None:
        """Replaces a partner's offer by a new revision, for its operator file."""
        self.revisions[partner] += 1
        self.desired_shares[partner] = desired_share


def socket_inodes(ports: set[int]) -> dict[str, int]:
    """Maps the inode of each TCP socket that is bound to one of `ports` to its port."""
    rows = (row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:])
    bound = ((row[9], int(row[1].split(":")[1], 16)) for row in rows)
    return {number: port for number, port in bound if port in ports}


def held_ports(process: int, port_by_inode: dict[str, int]) -> set[int]:
    """Returns the ports of those of the given sockets that a process has open."""
    try:
        links = [str(link.readlink()) for link in Path(f"/proc/{process}/fd").iterdir()]
    except OSError:  # the process has ended meanwhile
        return set()
    return {
        port_by_inode[link[8:-1]]
        for link in links
        if link.startswith("socket:[") and link[8:-1] in port_by_inode
    }


def ordering_unit(run: RunRecord, key: str | None, statement: str) -> str:
    """Returns what a single owner coordinates at a time: an ordering key or a table group."""
    if run.idempotency_key is not None:
        return key or run.idempotency_key
    return f"{TABLE_GROUP_PREFIX}{TABLE_GROUP_PATTERN.search(statement)[1]}"


def two_owners(
    world: EngineWorld, partner_by_connection: dict[int, str], info_by_query: dict[str, QueryInfo]
) -> list[str]:
    """Describes overlapping runs of one key or table group that routers of two partners coordinated.

    `partner_by_connection` maps connections to partners; `info_by_query` maps query ids to their keys,
    statements and groups.
    """
    runs_by_unit = defaultdict(list)
    for run in world.runs:
        if run.id in info_by_query and run.connection in partner_by_connection:
            key, statement, group = info_by_query[run.id]
            if group in ("event-load", "change"):
                runs_by_unit[ordering_unit(run, key, statement)].append(
                    (
                        run.started_at,
                        run.ended_at or world.clock(),
                        partner_by_connection[run.connection],
                        run.id,
                    )
                )
    return [
        f"{key!r}: {id} of partner {partner} overlaps {later_id} of partner {later_partner}"
        for key, runs in runs_by_unit.items()
        for n, (begin, end, partner, id) in enumerate(sorted(runs))
        for later_begin, _, later_partner, later_id in sorted(runs)[n + 1 :]
        if later_partner != partner and later_begin < end - TOLERANCE and later_begin >= begin
    ]


def over_quota(
    world: EngineWorld, partner_by_connection: dict[int, str], cores: int, routers: int, max_share: int
) -> list[str]:
    """Describes the windows in which a partner used more threads of a saturated engine than its share allows.

    `max_share` is the highest share that a partner ever agreed to, in parts of 10,000. One query for each
    router of the partner is allowed beyond the share, because a limit below one query is applied
    probabilistically.
    """
    threads: dict[tuple[str, int], dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for run in world.runs:
        partner, width = partner_by_connection.get(run.connection, "?"), THREADS_BY_GROUP.get(run.group, 2)
        end = run.ended_at or world.clock()
        first, last = int(run.started_at / WINDOW_SECONDS), int(end / WINDOW_SECONDS)
        for window in range(first, last + 1):
            span = min(end, (window + 1) * WINDOW_SECONDS) - max(run.started_at, window * WINDOW_SECONDS)
            threads[run.engine, window][partner] += width * span / WINDOW_SECONDS
    bound = THREADS_PER_CORE * cores
    allowance = -(-routers // len(PARTNERS)) * max(THREADS_BY_GROUP.values())
    return [
        f"{engine}: partner {partner} used {used:.1f} of {bound:.0f} threads"
        for (engine, _), threads_by_partner in threads.items()
        for partner, used in threads_by_partner.items()
        if sum(threads_by_partner.values()) >= bound and used > bound * max_share / SHARE_TOTAL + allowance
    ]


def query_info_by_id(queries: Iterable) -> dict[str, QueryInfo]:
    """Maps the id of each query to its key, statement and group."""
    return {q.id: (q.ordering_key, q.statement, q.group) for q in queries}
