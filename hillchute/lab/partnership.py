"""What the rig of processes needs for partners: their keys, files and offers, and whose run an engine saw.

Owns the partners' part of operator files, and the way from a connection at an engine to the router that holds
its other end, which the kernel knows. Must never ask a router.
"""

import re
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from hillchute.lab.partners_net import private, public
from hillchute.lab.world import Ran, World
from hillchute.router.request_rules import TABLE_GROUP_PREFIX

PARTNERS = "abc"
TOLERANCE = 0.05  # seconds, as of all limits
TABLE = re.compile(r"_([0-9]+)\.")
SHARE = 10_000
WIDTHS = {"lookup": 1, "report": 4}  # threads of a query; of all others two
WINDOW = 0.25  # seconds of an engine's threads that are looked at together
FACTOR = 2.0  # threads a core, all routers together

About = tuple[str | None, str, str]  # a query's key, statement and group


def partner_of(number: int) -> str:
    """Routers are dealt to the partners in turn; the first of each signs."""
    return PARTNERS[number % len(PARTNERS)]


class Partnership:
    """The partners' part of every router's operator file."""

    def __init__(self, folder: Path, routers: list[str], began: float) -> None:
        self.folder, self.routers, self.began = folder, routers, began
        self.turns = dict.fromkeys(PARTNERS, 1)
        self.wants = dict.fromkeys(PARTNERS, 3333)
        for partner in PARTNERS:
            (folder / f"{partner}.key").write_text(private(partner).hex())

    def settings(self, number: int) -> str:
        """One router's `partners`, as its operator has it now."""
        own, rows = partner_of(number), []
        for partner in PARTNERS:
            mine = ", ".join(f'"{r}"' for n, r in enumerate(self.routers) if partner_of(n) == partner)
            rows.append(f'{{name: "{partner}", key: "{public(partner).hex()}", routers: [{mine}]}}')
        about = f'own: "{own}", members: [{", ".join(rows)}]'
        if number < len(PARTNERS):
            begins, ends = int(self.began * 1000) - 3_600_000, int(self.began * 1000) + 86_400_000
            about += f', key_file: "{self.folder / own}.key", marks_file: "{self.folder / own}.marks"'
            about += f", offer: {{turn: {self.turns[own]}, capacity: 16, want: {self.wants[own]}, least: 500,"
            about += f" most: 9000, begins_ms: {begins}, ends_ms: {ends}}}"
        return f"partners: {{{about}}}"

    def offer(self, partner: str, want: int) -> None:
        """Another offer of a partner, for its operator file."""
        self.turns[partner] += 1
        self.wants[partner] = want


def sockets(ports: set[int]) -> dict[str, int]:
    """The kernel's numbers of the sockets on this machine that are bound to one of some ports."""
    rows = (row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:])
    bound = ((row[9], int(row[1].split(":")[1], 16)) for row in rows)
    return {number: port for number, port in bound if port in ports}


def held(process: int, known: dict[str, int]) -> set[int]:
    """Ports of those that a process holds."""
    try:
        links = [str(link.readlink()) for link in Path(f"/proc/{process}/fd").iterdir()]
    except OSError:  # it has ended meanwhile
        return set()
    return {known[link[8:-1]] for link in links if link.startswith("socket:[") and link[8:-1] in known}


def unit(ran: Ran, key: str | None, statement: str) -> str:
    """What one owner leads at a time: a key, or a table group."""
    if ran.token is not None:
        return key or ran.token
    return f"{TABLE_GROUP_PREFIX}{TABLE.search(statement)[1]}"


def two_owners(world: World, whose: dict[int, str], about: dict[str, About]) -> list[str]:
    """Runs of one key or table group, led by routers of two partners, that were out at one time. `whose`:
    partners by connection; `about`: key, statement and group by the query's id."""
    led = defaultdict(list)
    for ran in world.ran:
        if ran.id in about and ran.talk in whose:
            key, statement, group = about[ran.id]
            if group in ("event-load", "change"):
                led[unit(ran, key, statement)].append(
                    (ran.began, ran.ended or world.clock(), whose[ran.talk], ran.id)
                )
    return [
        f"{key!r}: {first} of {one} beside {second} of {other}"
        for key, line in led.items()
        for n, (begin, end, one, first) in enumerate(sorted(line))
        for later, _, other, second in sorted(line)[n + 1 :]
        if other != one and later < end - TOLERANCE and later >= begin
    ]


def over_quota(world: World, whose: dict[int, str], cores: int, routers: int, most: int) -> list[str]:
    """Windows in which a partner had more of a crowded engine than its share of the threads, with what each
    of its routers may have beside it: one query, as a bound below one is by chance. `most`: the highest share
    that it was ever agreed to have."""
    threads: dict[tuple[str, int], dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for ran in world.ran:
        partner, width = whose.get(ran.talk, "?"), WIDTHS.get(ran.group, 2)
        end = ran.ended or world.clock()
        first, last = int(ran.began / WINDOW), int(end / WINDOW)
        for window in range(first, last + 1):
            span = min(end, (window + 1) * WINDOW) - max(ran.began, window * WINDOW)
            threads[ran.engine, window][partner] += width * span / WINDOW
    bound = FACTOR * cores
    each = -(-routers // len(PARTNERS)) * max(WIDTHS.values())
    return [
        f"{engine}: {partner} had {mine:.1f} of {bound:.0f} threads"
        for (engine, _), by in threads.items()
        for partner, mine in by.items()
        if sum(by.values()) >= bound and mine > bound * most / SHARE + each
    ]


def known(queries: Iterable) -> dict[str, About]:
    """Key, statement and group of each query, by its id."""
    return {q.id: (q.key, q.statement, q.group) for q in queries}
