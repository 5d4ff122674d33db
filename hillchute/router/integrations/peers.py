"""The peer extension of a router: fleet view, node and transport, and the extensions that build on them.

Configured by the operator file's `peers`. Connects these, logs their statistics, and applies reloads.
Imported only if the operator file names peers.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import anyio.abc

from hillchute.coordination.fleet_view import WARM_UP_LIMIT, FleetSettings, FleetView, tenant_limit
from hillchute.decision.interface import Scheduler, Time
from hillchute.decision.scheduler import QueryScheduler
from hillchute.errors import ClockBehindError, PeerListMismatchError
from hillchute.log import Log
from hillchute.net.address import Address
from hillchute.net.fault_barrier import FaultReport
from hillchute.peers.datagrams import DropReason
from hillchute.peers.node import Node, RouterIdentity
from hillchute.peers.transport import PeerTransport, SteadyUnixClock, TransportCallbacks
from hillchute.router.config import RouterConfiguration, parse_address
from hillchute.router.effects import CancelForward, ClaimQuery, EndClaim, ForwardQuery
from hillchute.router.events import Event, PeersChanged
from hillchute.router.integrations.fleet_scheduler import (
    POOL_LIMIT,
    CapacityPool,
    FleetAccess,
    FleetScheduler,
)
from hillchute.router.integrations.interface import (
    STATISTICS_INTERVAL,
    ExtensionEffect,
    ForwardingFrontend,
)

if TYPE_CHECKING:
    from hillchute.router.integrations.fragmented_channel import ExtensionContext
    from hillchute.router.integrations.history import HistoryExtension
    from hillchute.router.integrations.partners import PartnerExtension

HANDOVER_TIMEOUT: Time = 80_000  # eight seconds: enough for two view changes while a router shuts down
HANDOVER_POLL_INTERVAL = 0.05  # seconds
MILLISECOND: Time = 10
MAX_NAMES_LOGGED = 16  # in one log line


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """The operator file's `peers` as typed values."""

    name: str  # this router's
    listen: str  # host:port
    keys: Mapping[str, bytes]  # by peer: the key shared with it
    addresses: Mapping[str, Address]  # by peer

    @classmethod
    def from_operator_file(cls, section: Mapping[str, Any]) -> "PeerSettings":
        """Converts the section `peers`. Raises ConfigurationError for an invalid address."""
        others = section["others"]
        return cls(
            name=section["name"],
            listen=section["listen"],
            keys={other["name"]: other["key"].encode() for other in others},
            addresses={other["name"]: parse_address(other["address"], "peers.others") for other in others},
        )

    @property
    def router_names(self) -> list[str]:
        """All routers, this one first."""
        return [self.name, *self.keys]


def fleet_settings(
    settings: PeerSettings, configuration: RouterConfiguration, *, has_partners: bool
) -> FleetSettings:
    """The settings of the fleet view, from the deployment's settings."""
    limits = [WARM_UP_LIMIT] if configuration.settings.warm_up.duration else []
    limits += map(tenant_limit, configuration.settings.tenants_with_quota)
    if has_partners:
        limits.append(POOL_LIMIT)
    return FleetSettings(
        name=settings.name,
        router_names=settings.router_names,
        columns=configuration.settings.report_columns,
        limits=limits,
        seed=configuration.seed,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterContext:
    """What the router provides to its extensions."""

    configuration: RouterConfiguration
    log: Log
    handle: Callable[[Event], None]  # takes events for the reducer
    clock: Callable[[], Time]  # of the reducer's events; differs from the peers' clock
    on_fault: FaultReport


class PeersReload(NamedTuple):
    """A reloaded operator file that was checked; implements `interface.PreparedReload`."""

    needs_restart: list[str]
    changes: Sequence[Callable[[], None]]

    def apply(self) -> None:
        """Applies all changes, in their order."""
        for change in self.changes:
            change()


class PeerExtension:
    """The peers of one router and, if enabled, its answer history and partners; implements
    `interface.RouterExtension`."""

    def __init__(
        self,
        *,
        operator: Mapping[str, Any],
        router: RouterContext,
        scheduler: QueryScheduler,
    ) -> None:
        """`operator`: the operator file. The router's `handle` receives other routers' load reports,
        decisions on claims, and queries forwarded by other partners' routers. Raises ConfigurationError for
        an invalid address."""
        self.settings = PeerSettings.from_operator_file(operator["peers"])
        self.router = router
        self.log = router.log
        self.handle = router.handle
        self.clock = SteadyUnixClock()
        now = self.clock()
        has_partners = bool(operator.get("partners"))
        self.fleet = FleetView(
            fleet_settings(self.settings, router.configuration, has_partners=has_partners), now
        )
        identity = RouterIdentity(self.settings.name, now // MILLISECOND)
        self.node = Node(identity, self.settings.keys, router.configuration.seed, now, self.fleet)
        self.transport = self._make_transport()
        self.partners = self._make_partners(operator)
        self.history = self._make_history(operator)
        self.fleet_scheduler = self._make_scheduler(scheduler)
        self.scheduler: Scheduler = self.fleet_scheduler
        self.claims_idempotent = self.history is not None
        self.claims_non_idempotent = self.partners is not None
        self.forwarded_queries: ForwardingFrontend | None = None
        if self.partners is not None:
            self.forwarded_queries = self.partners.forwarded_queries
        self.statistics_logged_at = now
        self.known_peers: list[str] = []  # the peers that were alive at the last check

    # ---- construction -------------------------------------------------------------------------------------

    def _make_transport(self) -> PeerTransport:
        return PeerTransport(
            parse_address(self.settings.listen, "peers.listen"),
            self.settings.addresses,
            self.node,
            self.clock,
            TransportCallbacks(
                due_payloads=lambda now: self.fleet.due_digests(now, self.node.live_peers()),
                on_change=self.on_change,
                on_fault=self.router.on_fault,
            ),
        )

    def _make_context(self) -> "ExtensionContext":
        from hillchute.router.integrations.fragmented_channel import ExtensionContext

        return ExtensionContext(
            node=self.node,
            clock=self.clock,
            log=self.log,
            handle=self.handle,
            schedule_messages=self.schedule_messages,
        )

    def _make_partners(self, operator: Mapping[str, Any]) -> "PartnerExtension | None":
        if not operator.get("partners"):
            return None
        from hillchute.router.integrations.partners import PartnerExtension

        return PartnerExtension(
            settings=operator["partners"],
            context=self._make_context(),
            seed=self.router.configuration.seed,
            router_clock=self.router.clock,
        )

    def _make_history(self, operator: Mapping[str, Any]) -> "HistoryExtension | None":
        if not operator.get("history"):
            return None
        from hillchute.router.integrations.history import HistoryExtension

        return HistoryExtension(
            settings=operator["history"],
            context=self._make_context(),
            agreement=None if self.partners is None else self.partners.negotiation.ownership,
        )

    def _make_pool(self) -> CapacityPool | None:
        partners = self.partners
        if partners is None:
            return None
        from hillchute.router.integrations.pool_quota import EngineNames, PoolQuota

        return PoolQuota(
            clock=self.clock,
            members=lambda: partners.settings.members,
            engine_names=EngineNames.from_settings(self.router.configuration.settings),
            negotiation=partners.negotiation,
            views=None if self.history is None else self.history.replica.views,
        )

    def _make_scheduler(self, scheduler: QueryScheduler) -> FleetScheduler:
        fleet = FleetAccess(
            view=self.fleet,
            clock=self.clock,
            live_peers=self.node.live_peers,
            schedule_digests=self.transport.schedule_payloads,
        )
        return FleetScheduler(scheduler=scheduler, fleet=fleet, pool=self._make_pool())

    # ---- called by the service ----------------------------------------------------------------------------

    def connect_endpoint_list(self, offset: Callable[[], int]) -> None:
        """`offset` returns the offset of the last applied watch event. Called before any other method."""
        self.fleet_scheduler.connect_endpoint_list(offset)

    def carry_out(self, effect: ExtensionEffect) -> None:
        """Carries out one effect of the reducer. Raises ValueError if its extension is not enabled."""
        match effect:
            case ClaimQuery() if self.history is not None:
                self.history.claim(effect)
            case EndClaim() if self.history is not None:
                self.history.end_claim(effect)
            case ForwardQuery() if self.partners is not None:
                self.partners.forward(effect)
            case CancelForward() if self.partners is not None:
                self.partners.cancel(effect)
            case _:
                raise ValueError(f"{type(effect).__name__} needs an extension that is not enabled")

    def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets and starts serving them; raises PeerListenError if an address is in use."""
        self.transport.open()
        tasks.start_soon(self.transport.run)

    def begin_shutdown(self) -> None:
        """Announces the shutdown of this router to its peers; it proposes no more views."""
        self.transport.leave()
        if self.history is not None:
            self.history.replica.prepare_to_leave()

    async def hand_over(self) -> None:
        """Waits, at most HANDOVER_TIMEOUT, until others have the records that only this router holds, and
        have acknowledged the results sent to them."""
        if self.history is None:
            return
        deadline = self.clock() + HANDOVER_TIMEOUT
        while self.clock() < deadline:
            has_unacknowledged_results = (
                self.partners is not None and self.partners.forwarded_queries.has_unacknowledged_results
            )
            if self.history.is_handed_over and not has_unacknowledged_results:
                break
            await anyio.sleep(HANDOVER_POLL_INTERVAL)

    def prepare_reload(self, operator: Mapping[str, Any]) -> PeersReload:
        """Checks a reloaded operator file. Raises ConfigurationError for an invalid address."""
        settings = PeerSettings.from_operator_file(operator["peers"])
        restart = [
            f"peers.{key}"
            for key in ("name", "listen")
            if getattr(settings, key) != getattr(self.settings, key)
        ]
        changes: list[Callable[[], None]] = []
        if not restart:
            changes.append(partial(self._reload_peers, settings))
        history = operator.get("history")
        if self.history is not None and history:
            if not restart:
                changes.append(self.history.on_routers_named)
            changes.append(self.history.prepare_reload(history))
        elif bool(history) != (self.history is not None):
            restart.append("history")
        partners = operator.get("partners")
        if bool(partners) != (self.partners is not None):
            restart.append("partners")
        elif self.partners is not None and partners and not restart:
            prepared = self.partners.prepare_reload(partners)
            restart += prepared.needs_restart
            changes.append(prepared.apply)
        return PeersReload(restart, changes)

    def _reload_peers(self, settings: PeerSettings) -> None:
        now = self.clock()
        self.node.set_keys(settings.keys, now)
        self.fleet.set_router_names(now, settings.router_names)
        self.transport.addresses = dict(settings.addresses)
        self.settings = settings

    # ---- called by the transport and other extensions -----------------------------------------------------

    def schedule_messages(self) -> None:
        """Sends the channels' messages. Before the sockets are open they wait for the next tick."""
        if self.transport.tasks is not None:
            self.transport.send_messages()

    def on_change(self) -> None:
        """Handles what was received from peers and what is due; called after each read and each tick."""
        now = self.clock()
        live = self.node.live_peers()
        if live != self.known_peers:
            left = sorted(set(self.known_peers) - set(live))
            joined = sorted(set(live) - set(self.known_peers))
            self.log.write(
                "peers", alive=len(live), joined=joined[:MAX_NAMES_LOGGED], left=left[:MAX_NAMES_LOGGED]
            )
            self.known_peers = live
        if now - self.statistics_logged_at >= STATISTICS_INTERVAL:
            self.statistics_logged_at = now
            self.log_statistics(now)
        if self.fleet.relayed_reports or now >= self.fleet_scheduler.state_valid_until:
            self.handle(PeersChanged(list(self.fleet.take_relayed_reports())))

    # ---- log ----------------------------------------------------------------------------------------------

    def log_statistics(self, now: Time) -> None:
        """Logs statistics on peers and quotas, and mismatches of names or of the clock."""
        quotas = self.fleet.quotas
        shares = {name: round(quotas.usable_share(name, now), 4) for name in quotas.limits}
        self.log.write(
            "peers_count",
            alive=len(self.known_peers),
            **dict(self.transport.counts),
            dropped=dict(self.node.dropped),
            implausible_reports=self.fleet.signals.implausible_reports,
            closed_engines=sorted(self.fleet_scheduler.closed),
            quota_shares=shares,
        )
        for name in sorted(self.fleet.differing_routers):
            mismatch = PeerListMismatchError("lists other routers under `peers`", name)
            self.log.write("peers_differ", **mismatch.log_fields)
        behind = self.node.dropped[DropReason.TO_LATER_GENERATION]
        if behind:
            error = ClockBehindError(f"{behind} datagrams to a later router generation", self.node.name)
            self.log.write("peers_clock", **error.log_fields)
