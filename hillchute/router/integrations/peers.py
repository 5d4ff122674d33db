"""A router's part in the fleet: puts company, node and link together from the operator file's `peers`.

Owns that wiring, what is logged of it, and what of it moves on a reload. Must never decide; imported only
where the operator file names peers.
"""

from collections.abc import Callable, Mapping

import anyio
import anyio.abc

from hillchute.coordination.fleet_view import FleetSettings, FleetView
from hillchute.decision.interface import Time
from hillchute.decision.scheduler import QueryScheduler
from hillchute.engines.words import Rows
from hillchute.errors import ClockBehindError, PeerListMismatchError
from hillchute.log import Log
from hillchute.peers.datagrams import DropReason
from hillchute.peers.node import Node, RouterIdentity
from hillchute.peers.transport import Address, PeerTransport, SteadyUnixClock, TransportCallbacks
from hillchute.router.config import Station, address
from hillchute.router.effects import CancelForward, ClaimQuery, EndClaim, ForwardQuery
from hillchute.router.events import ClaimDecided, ClaimVerdict, Event, PeersChanged
from hillchute.router.integrations.fleet_scheduler import Telling
from hillchute.router.integrations.interface import ExtensionEffect

HAND_OVER = 80_000  # a router that ends waits so long for others to fetch what it has: two views' time
HAND_OVER_STEP = 0.05  # seconds between two looks at it
LOGGED = 50_000  # tenths of a millisecond between two lines on the peers


class Peering:
    def __init__(
        self,
        operator: Mapping[str, object],
        station: Station,
        module: QueryScheduler,
        log: Log,
        handle: Callable[[Event], None],
        unix: Callable[[], Time] = lambda: 0,
    ) -> None:
        """`handle` is given the events that come of it: load reports of other routers, the answer history's
        verdicts, and queries that other partners' routers passed on, with the time by `unix`."""
        settings = operator["peers"]
        self.log, self.handle, self.clock = log, handle, SteadyUnixClock()
        now, me = self.clock(), settings["name"]
        keys, self.addresses = named(settings)
        catalog = station.catalog
        tenants = catalog.get("parties.count", 0)
        rated = [f"parties.{n}" for n in range(tenants) if catalog.get(f"parties.{n}.quota_per_s")]
        columns = catalog.get("report.columns", ())
        columns = columns if isinstance(columns, list | tuple) else [columns]
        limits = (["cold"] if catalog.get("guarantees.cold") else []) + rated
        limits += ["pool"] if operator.get("partners") else []
        fleet = FleetSettings(
            name=me, router_names=[me, *keys], columns=columns, limits=limits, seed=station.seed
        )
        self.company = FleetView(fleet, now)
        self.node = Node(RouterIdentity(me, now // 10), keys, station.seed, now, self.company)
        self.transport = PeerTransport(
            Address(*address(settings["listen"], "peers.listen")),
            self.addresses,
            self.node,
            self.clock,
            TransportCallbacks(
                due_payloads=lambda now: self.company.due_digests(now, self.node.live_peers()),
                on_change=self.heard,
                on_fault=lambda trace: log.write("fault", what="peers", trace=trace),
            ),
        )
        self.telling = Telling(
            module, self.company, catalog, self.clock, self.node.live_peers, self.transport.schedule_payloads
        )
        self.scheduler = self.telling
        self.remembering = self.partnering = None
        if operator.get("partners"):
            from hillchute.router.integrations.partners import Partnering

            about = (operator["partners"], self.node, catalog, station.seed, self.clock, log)
            self.partnering = Partnering(*about, self.judged, handle, self.ride, unix)
            self.telling.partnering = self.partnering
        if operator.get("history"):
            from hillchute.router.integrations.history import Remembering

            deeds = self.partnering and self.partnering.council.ownership
            about = (operator["history"], self.node, self.clock, log, self.judged, self.ride, deeds)
            self.remembering = Remembering(*about)
            if self.partnering is not None:
                self.partnering.views = self.remembering.replica
        self.claims_idempotent = self.remembering is not None
        self.claims_non_idempotent = self.partnering is not None
        self.forwarded_queries = self.partnering
        self.settings = settings
        self.logged = now
        self.known: list[str] = []

    def ride(self) -> None:
        """A rider has something to say. Before the sockets are open it waits for the next look."""
        if self.transport.tasks is not None:
            self.transport.send_messages()

    def judged(self, id: str, number: int, verdict: ClaimVerdict, why: str, rows: Rows | None) -> None:
        self.handle(ClaimDecided(id, number, verdict, why, rows))

    def connect_endpoint_list(self, offset: Callable[[], int]) -> None:
        self.telling.reached = offset

    def carry_out(self, effect: ExtensionEffect) -> None:
        match effect:
            case ClaimQuery():
                self.remembering.claim(*effect)
            case EndClaim():
                self.remembering.close(*effect)
            case ForwardQuery():
                self.partnering.pass_on(*effect)
            case CancelForward():
                self.partnering.recall(*effect)

    def open(self, tasks: anyio.abc.TaskGroup) -> None:
        self.transport.open()
        tasks.start_soon(self.transport.run)

    def begin_shutdown(self) -> None:
        """This router ends: it says farewell, and calls no more views."""
        self.transport.leave()
        if self.remembering is not None:
            self.remembering.replica.prepare_to_leave()

    async def hand_over(self) -> None:
        """A router that ends stays until others have what it alone holds, and the answers that it owes them,
        or for so long."""
        if self.remembering is None:
            return
        end, partnering = self.clock() + HAND_OVER, self.partnering
        while self.clock() < end:
            owes = partnering is not None and partnering.passing.has_unacknowledged_results
            if self.remembering.handed_over and not owes:
                break
            await anyio.sleep(HAND_OVER_STEP)

    def heard(self) -> None:
        """Something came, or the time has gone on."""
        now = self.clock()
        living = self.node.live_peers()
        if living != self.known:
            gone, come = sorted(set(self.known) - set(living)), sorted(set(living) - set(self.known))
            self.log.write("peers", living=len(living), come=come[:16], gone=gone[:16])
            self.known = living
        if now - self.logged >= LOGGED:
            self.logged = now
            self.tell_counts(now)
        if self.company.relayed_reports or now >= self.telling.until:
            self.handle(PeersChanged(self.company.take_relayed_reports()))

    def tell_counts(self, now: int) -> None:
        quotas = self.company.quotas
        parts = {name: round(quotas.usable_share(name, now), 4) for name in quotas.limits}
        self.log.write(
            "peers_count",
            living=len(self.known),
            **dict(self.transport.counts),
            dropped=dict(self.node.dropped),
            refused=self.company.signals.implausible_reports,
            closed=sorted(self.telling.closed),
            parts=parts,
        )
        for name in sorted(self.company.differing_routers):
            self.log.write(
                "peers_differ", **PeerListMismatchError("other names under `peers`", name).log_fields
            )

        if behind := self.node.dropped[DropReason.TO_LATER_GENERATION]:
            fault = ClockBehindError(f"{behind} datagrams to a later start of this router", self.node.name)
            self.log.write("peers_clock", **fault.log_fields)

    def reload(self, operator: Mapping[str, object]) -> list[str]:
        """The operator file's peers and history read again; the paths of what needs a restart."""
        settings, history = operator["peers"], operator.get("history")
        keys, addresses = named(settings)
        restart = [f"peers.{key}" for key in ("name", "listen") if settings[key] != self.settings[key]]
        if not restart:
            self.node.set_keys(keys, self.clock())
            self.company.set_router_names(self.clock(), [settings["name"], *keys])
            self.transport.addresses = addresses
            self.settings = settings
        if self.remembering is not None and history:
            if not restart:
                self.remembering.named()
            self.remembering.renew(history)
        elif bool(history) != (self.remembering is not None):
            restart.append("history")
        partners = operator.get("partners")
        if bool(partners) != (self.partnering is not None):
            restart.append("partners")
        elif partners and not restart:
            restart += self.partnering.renew(partners)
        return restart


def named(settings: Mapping[str, object]) -> tuple[dict[str, bytes], dict[str, Address]]:
    """Keys and addresses of the other routers, by name."""
    others = settings["others"]
    keys = {other["name"]: other["key"].encode() for other in others}
    return keys, {other["name"]: Address(*address(other["address"], "peers.others")) for other in others}
