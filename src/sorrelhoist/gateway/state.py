"""State of a gateway: configuration, endpoint directory, load and retry budgets."""

import logging
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

import attrs

from ..decisions.directory import Directory, Endpoint
from ..decisions.endpoint_failures import FailureTracker
from ..decisions.endpoint_notices import NamedLimits
from ..decisions.fleet_size import FleetSize
from ..decisions.memory.budget import MemoryBudget
from ..decisions.overload.fleet_demand import FleetDemand
from ..decisions.overload.gateway_health import FleetHeadroom, GatewayHealth
from ..decisions.overload.own_work import OwnWork
from ..decisions.overload.parts import OverloadParts
from ..decisions.part_suspicion import Blame, PartSuspicions
from ..decisions.pauses import EndpointPauses
from ..decisions.peer_configurations import PeerConfigurations, PeerContact
from ..decisions.peer_failures import PeerFailures
from ..decisions.permits import PermitHolder
from ..decisions.placement.demand import EndpointView
from ..decisions.placement.load_tracker import (
    ASSUMED_TIGHT_PAUSE_MS,
    EndpointUse,
    LoadTracker,
    RequestUse,
)
from ..decisions.placement.locality import Localities
from ..decisions.placement.pause_monitor import PassCorrections, PauseLogRate
from ..decisions.placement.prefill_watch import PrefillWatch
from ..decisions.planned_stop import PlannedStop
from ..decisions.report_rate import UpdateRate, settle_s
from ..decisions.request_suspicion import RequestSuspicions
from ..decisions.resource_limits import ResourceLimits
from ..decisions.retries import ServiceRetries, SharedRetryBudget
from ..decisions.routes import EngineCosts, RouteTable, Workspace
from ..decisions.startup import Startup
from ..decisions.store_contact import StoreContact
from ..decisions.work_times import WorkTimes

logger = logging.getLogger(__name__)

KNOWN_SHARE = 0.5
"""Fraction of the listed gateways from which reports must have come after a start."""

MAX_WANTED = 2
"""Number of endpoints for whose permits one placement asks: it uses one, and the other
may be denied."""


async def _acquire_unchecked(address: str, tokens: int, limit_tokens: int) -> bool:
    return True


def boot_time_s() -> float:
    """Return seconds on a clock that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(eq=False, repr=False, kw_only=True)
class GatewayState:
    """Configuration, directory, load and budgets as one gateway knows them.

    Parameters
    ----------
    node_id, failure_domain : str
    contact : StoreContact
        Its age is measured with `boot_time_s`.
    shared_retries : SharedRetryBudget or None
        Retry budget of all gateways together.
    retries : ServiceRetries
        Retry budgets of this gateway.
    fleet_size : FleetSize
        Number of gateways that share the retry budget.
    rng : random.Random
    limits : ResourceLimits
    overload_parts : frozenset of OverloadPart
        Parts of overload control that are in use.
    memory : MemoryBudget
        What is held for callers and endpoints, within these limits.
    named_limits : NamedLimits
        Limits that endpoints named for all gateways together.
    pauses : EndpointPauses
        Pauses that endpoints asked this gateway for.
    pause_log_rate : PauseLogRate
    pass_corrections : PassCorrections
        Factors of endpoints that are slower than their costs.
    permits : PermitHolder
        Permits for requests to these endpoints, and to those in a cold start.
    on_permit_wanted : callable
        Called when a placement lacks a permit.
    update_rate : UpdateRate
    on_long_placed : callable
        Called with the addresses and the present time when a long prompt was placed.
    listed_peers : callable
        Returns the number of the other gateways that the store lists.
    acquire_memory : callable
        ``acquire_memory(address, tokens, limit_tokens)`` returns whether the memory of
        an engine was granted.
    prefill_watches : dict
        Long prompts that were sent and have no first event yet, by request id.
    troubles, faults : FailureTracker
        All failures of endpoints, and those that are reported to other gateways: a
        lack of capacity isn't, since each gateway knows the load of all.
    peer_configurations : PeerConfigurations
        Its times are measured with `boot_time_s`.
    startup : Startup
        Requests held until the first configuration or a renewal of the store contact.
    store_restorations : int
        How often the store was seen to come back from an older copy.
    directory_updates : Counter
        Changes of the directory passed on between gateways, by outcome.
    own_work : OwnWork
        Requests that wait here, and prompts that are being prefilled.
    fleet_demand : FleetDemand
        The same of the other gateways.
    early_refusals : int
        Requests refused at once, since they couldn't have started in time.
    memory_asks : Counter
        Asks for memory of an engine, by outcome.
    health : GatewayHealth
        Shortage of processor, link or memory here.
    fleet_headroom : FleetHeadroom
        What the other gateways have left.
    is_withdrawn : bool
        Whether this gateway is not ready, since it is short of resources.
    task_failures : Counter
        Unexpected exceptions of background tasks, by task.
    work_times : WorkTimes
        How long requests take at endpoints, by route.
    stop : PlannedStop or None
        Set once the process has received a stop signal.
    on_stop : set of callable
        Called with the planned stop when it begins.
    """

    node_id: str
    failure_domain: str
    contact: StoreContact
    shared_retries: SharedRetryBudget | None = None
    retries: ServiceRetries = attrs.field(
        default=attrs.Factory(
            lambda self: ServiceRetries(self.shared_retries), takes_self=True
        )
    )
    fleet_size: FleetSize = attrs.field(
        default=attrs.Factory(lambda self: FleetSize(self.node_id), takes_self=True)
    )
    rng: random.Random = attrs.field(factory=random.Random)
    limits: ResourceLimits = ResourceLimits()
    overload_parts: OverloadParts = frozenset()
    memory: MemoryBudget = attrs.field(
        default=attrs.Factory(
            lambda self: MemoryBudget(self.limits.memory_bytes), takes_self=True
        )
    )
    table: RouteTable | None = None
    directory: Directory = attrs.field(factory=Directory)
    loads: LoadTracker = attrs.field(factory=LoadTracker)
    troubles: FailureTracker = attrs.field(factory=FailureTracker)
    faults: FailureTracker = attrs.field(factory=FailureTracker)
    named_limits: NamedLimits = attrs.field(factory=NamedLimits)
    pauses: EndpointPauses = attrs.field(factory=EndpointPauses)
    pause_log_rate: PauseLogRate = attrs.field(factory=PauseLogRate)
    pass_corrections: PassCorrections = attrs.field(factory=PassCorrections)
    permits: PermitHolder = attrs.field(
        default=attrs.Factory(lambda self: PermitHolder(self.node_id), takes_self=True)
    )
    on_permit_wanted: Callable[[], None] = lambda: None
    update_rate: UpdateRate = attrs.field(factory=UpdateRate)
    on_long_placed: Callable[[Iterable[str], float], None] = lambda addresses, now_s: (
        None
    )
    listed_peers: Callable[[], int] = lambda: 0
    acquire_memory: Callable[[str, int, int], Awaitable[bool]] = _acquire_unchecked
    prefill_watches: dict[str, PrefillWatch] = attrs.field(factory=dict)
    suspicions: RequestSuspicions = attrs.field(
        default=attrs.Factory(
            lambda self: RequestSuspicions(self.node_id), takes_self=True
        )
    )
    part_suspicions: PartSuspicions = attrs.field(
        default=attrs.Factory(
            lambda self: PartSuspicions(self.node_id), takes_self=True
        )
    )
    peer_failures: PeerFailures = attrs.field(
        default=attrs.Factory(
            lambda self: PeerFailures(self.failure_domain), takes_self=True
        )
    )
    localities: Localities = attrs.field(
        default=attrs.Factory(
            lambda self: Localities(self.failure_domain), takes_self=True
        )
    )
    peer_configurations: PeerConfigurations = attrs.field(factory=PeerConfigurations)
    startup: Startup = attrs.field(factory=Startup)
    store_restorations: int = 0
    directory_updates: Counter[str] = attrs.field(factory=Counter)
    own_work: OwnWork = attrs.field(factory=OwnWork)
    fleet_demand: FleetDemand = attrs.field(factory=FleetDemand)
    early_refusals: int = 0
    memory_asks: Counter[str] = attrs.field(factory=Counter)
    health: GatewayHealth = attrs.field(factory=GatewayHealth)
    fleet_headroom: FleetHeadroom = attrs.field(factory=FleetHeadroom)
    is_withdrawn: bool = False
    task_failures: Counter[str] = attrs.field(factory=Counter)
    work_times: WorkTimes = attrs.field(factory=WorkTimes)
    stop: PlannedStop | None = None
    on_stop: set[Callable[[PlannedStop], None]] = attrs.field(factory=set)
    _shortest_pauses_ms: dict[str, float] = attrs.field(factory=dict, init=False)

    def adopt(self, table: RouteTable) -> bool:
        """Apply a version of the configuration if it is newer than the current one.

        Returns
        -------
        bool
            True if the version was applied.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        logger.info(
            "configuration adopted",
            extra={
                "event": "configuration",
                "version": table.version,
                "replaced_version": self.version,
                "routes": len(table.routes),
            },
        )
        self.table = table
        self._shortest_pauses_ms = table.shortest_pauses_ms()
        self.work_times.retain(
            (route.name for route in table.routes.values()), table.services
        )
        return True

    @property
    def version(self) -> int | None:
        """Version of the configuration; None before the first."""
        return self.table.version if self.table else None

    @property
    def is_stopping(self) -> bool:
        """Whether the process has received a stop signal."""
        return self.stop is not None

    def begin_stop(self, began_s: float, grace_s: float) -> PlannedStop:
        """Begin a planned stop, unless one has begun, and tell the running requests."""
        if self.stop is None:
            self.stop = PlannedStop(began_s=began_s, grace_s=grace_s)
            for tell in tuple(self.on_stop):
                tell(self.stop)
        return self.stop

    def engine_costs(self, service: str) -> EngineCosts | None:
        """Return the costs of a service's engines; None without such engines."""
        config = self.table.services.get(service) if self.table else None
        return config.engine if config else None

    def shortest_pause_ms(self, service: str) -> float:
        """Return the shortest pause target of the streams of a service."""
        return self._shortest_pauses_ms.get(service, ASSUMED_TIGHT_PAUSE_MS)

    def is_ready(self, now_boot_s: float) -> bool:
        """Return whether the load balancer should send callers to this gateway."""
        return (
            self.table is not None
            and not self.is_stopping
            and not self.memory.is_short
            and not self.is_withdrawn
            and self.contact.is_fresh(now_boot_s)
        )

    def can_admit(self, now_boot_s: float) -> bool:
        """Return whether all that a request needs for its admission is known."""
        return (
            self.table is not None
            and self.directory.is_read
            and (self.table.workspaces is None or self.contact.may_use_keys(now_boot_s))
        )

    def contact_of_peers(self) -> PeerContact:
        """Return whether other gateways could use keys by their contact."""
        return self.peer_configurations.contact(
            self.contact.max_key_age_s, boot_time_s()
        )

    def outage_of_peers(self) -> PeerContact:
        """Return `contact_of_peers`, without peers that have only just started."""
        return self.peer_configurations.outage(
            self.contact.max_key_age_s, boot_time_s()
        )

    def is_key_valid(
        self, key: str | None, workspace: Workspace | None, now_boot_s: float
    ) -> bool:
        """Return whether an API key is still valid for its workspace.

        Always True without a workspace. False once the configuration is too old to
        accept keys.
        """
        if workspace is None:
            return True
        workspaces = (self.table.workspaces if self.table else None) or {}
        key_workspace = workspaces.get(key or "")
        return (
            self.contact.may_use_keys(now_boot_s)
            and key_workspace is not None
            and key_workspace.name == workspace.name
        )

    def has_alternative(self, service: str, excluded: set[str], now_s: float) -> bool:
        """Return whether a service has a usable endpoint that is not excluded."""
        return any(
            endpoint.endpoint_id not in excluded
            for endpoint in self.directory.usable(service, now_s)
        )

    def blamed_part(self, parts: tuple[str, ...], now_s: float) -> Blame | None:
        """Return the part for which a request must not be sent to an endpoint."""
        if not parts or not len(self.part_suspicions):
            return None
        settled_s = settle_s(len(self.loads.peers(now_s)))
        return self.part_suspicions.blame(parts, now_s, settled_s)

    def try_part_trial(self, blame: Blame, now_s: float) -> bool:
        """Return whether to let a request with a blamed part through as a trial."""
        gateways = [self.node_id, *self.loads.peers(now_s)]
        return self.part_suspicions.try_trial(blame, gateways, now_s)

    def try_suspect(self, fingerprint: int, now_s: float) -> bool:
        """Return whether to let a condemned request through as a trial."""
        gateways = [self.node_id, *self.loads.peers(now_s)]
        return self.suspicions.try_trial(fingerprint, gateways, now_s)

    def update_retry_share(self, now_s: float) -> None:
        """Set the retry budgets to this gateway's share among all gateways.

        There is none while it starts: others that start may not be listed yet.
        """
        gateways = self.fleet_size.gateways
        if gateways is not None and not self.startup.is_starting(now_s):
            services = self.table.services if self.table else ()
            self.retries.share_among(gateways, services, now_s)

    def record_first_attempt(self, service: str, now_s: float) -> None:
        """Record the first attempt of a request for a service."""
        self.retries.budget(service).record_first_attempt(now_s)

    def gateway_count(self, now_s: float) -> int:
        """Return the number of live gateways, including this one."""
        return len(self.loads.peers(now_s)) + 1

    def heard_share(self, now_s: float) -> float:
        """Return the share of all gateways that are heard, this one included."""
        heard = self.gateway_count(now_s)
        return heard / max(heard, self.fleet_size.gateways or 1)

    def knows_peer_loads(self, now_s: float) -> bool:
        """Return whether the loads of most of the other gateways are known.

        They aren't right after a start of all. Some that the store lists may have gone.
        """
        if not self.startup.is_starting(now_s):
            return True
        return len(self.loads.peers(now_s)) >= max(1, KNOWN_SHARE * self.listed_peers())

    def views(self, service: str, now_s: float) -> list[EndpointView]:
        """Return the usable endpoints of a service with their load.

        An endpoint that takes few requests (in a cold start, or by a limit that it
        named) is left out while no permit for it is at hand, and one is asked for. One
        that asked for a pause is left out until it ends.
        """
        usable: list[Endpoint] = []
        lacking: list[Endpoint] = []
        for endpoint in self.directory.usable(service, now_s):
            if self.pauses.is_paused(endpoint, now_s):
                continue
            (lacking if self._lacks_permit(endpoint, now_s) else usable).append(
                endpoint
            )
        self._want_permits(lacking, now_s)
        return self.load_views(usable, now_s)

    def load_views(
        self, endpoints: Iterable[Endpoint], now_s: float
    ) -> list[EndpointView]:
        """Return endpoints with their load, whether or not they may be used now."""
        totals = self.loads.totals(now_s)
        evidence = self.peer_failures.evidence(now_s)
        slow = self.pass_corrections.slow(now_s)
        return [
            EndpointView(
                endpoint=self._with_places(endpoint),
                use=totals.get(endpoint.address)
                or EndpointUse(address=endpoint.address),
                is_avoided=self.troubles.is_avoided(
                    endpoint.endpoint_id,
                    now_s,
                    evidence.get(endpoint.endpoint_id, 0.0),
                ),
                slowness=slow.get(endpoint.endpoint_id, 1.0),
            )
            for endpoint in endpoints
        ]

    def _with_places(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint with the capacity that its connections allow."""
        config = self.table.services.get(endpoint.service) if self.table else None
        places = config.places(endpoint.capacity) if config else endpoint.capacity
        if places == endpoint.capacity:
            return endpoint
        return attrs.evolve(endpoint, capacity=places)

    def _limit_per_s(self, endpoint: Endpoint, now_s: float) -> float | None:
        """Return what an endpoint takes from all gateways, or None without a limit."""
        limits_per_s = []
        named_per_s = self.named_limits.requests_per_s(endpoint.endpoint_id)
        if named_per_s is not None:
            limits_per_s.append(named_per_s)
        config = self.table.services.get(endpoint.service) if self.table else None
        if config and config.cold_requests_per_s and now_s < endpoint.cold_until_s:
            limits_per_s.append(config.cold_requests_per_s)
        return min(limits_per_s, default=None)

    def _lacks_permit(self, endpoint: Endpoint, now_s: float) -> bool:
        is_limited = self._limit_per_s(endpoint, now_s) is not None
        return is_limited and not self.permits.can_place(endpoint.endpoint_id, now_s)

    def may_send(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a request that was placed on an endpoint may be sent there."""
        return self.directory.is_usable(endpoint, now_s) and not self.pauses.is_paused(
            endpoint, now_s
        )

    def pause_left_s(self, service: str, now_s: float) -> float | None:
        """Return how long all endpoints of a service want nothing; None if any does."""
        return self.pauses.left_s(self.directory.usable(service, now_s), now_s)

    def _want_permits(self, lacking: list[Endpoint], now_s: float) -> None:
        for endpoint in self.rng.sample(lacking, min(MAX_WANTED, len(lacking))):
            limit_per_s = self._limit_per_s(endpoint, now_s)
            if limit_per_s is not None and self.permits.want(
                endpoint.endpoint_id, limit_per_s, now_s
            ):
                self.on_permit_wanted()

    def forget_absent_endpoints(self) -> set[str]:
        """Drop the limits of endpoints that are gone; return the ids of the others."""
        present = self.directory.endpoint_ids
        self.named_limits.retain(present)
        self.permits.retain(present)
        return present

    def place(
        self,
        request_id: str,
        first: Endpoint,
        uses: tuple[RequestUse, ...],
        now_s: float,
    ) -> None:
        """Count a placement in the load and in the limits of its endpoint."""
        self.loads.place(request_id, uses, now_s)
        if self._limit_per_s(first, now_s) is not None:
            self.permits.try_place(request_id, first.endpoint_id, now_s)

    def has_permit(self, request_id: str, first: Endpoint, now_s: float) -> bool:
        """Return whether a placed request has the permit that its endpoint needs now.

        One that is at hand is taken for it.
        """
        return (
            self._limit_per_s(first, now_s) is None
            or self.permits.has_placed(request_id)
            or self.permits.try_place(request_id, first.endpoint_id, now_s)
        )

    def request_sent(self, request_id: str) -> None:
        """Record that a placed request is being sent to its endpoint."""
        self.permits.sent(request_id)

    def release(self, request_id: str) -> None:
        """Record the end of a placement, whether or not its request was sent."""
        self.loads.release(request_id)
        self.own_work.ended(request_id)
        self.permits.release(request_id)

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            "node_id": self.node_id,
            "version": self.version,
            "newest_version_of_peers": self.peer_configurations.newest(boot_time_s()),
            "store_restorations": self.store_restorations,
            "is_stopping": self.is_stopping,
            "stop": attrs.asdict(self.stop) if self.stop else None,
            "work_times": self.work_times.dump(now_s),
            "stream_paces": self.work_times.dump_paces(now_s),
            "contact_age_s": self.contact.age_s(boot_time_s()),
            "startup": self.startup.dump(now_s),
            "directory_updates": dict(self.directory_updates),
            "directory": self.directory.dump(now_s),
            "loads": self.loads.dump(now_s),
            "prefills": {
                request_id: watch.dump(self.loads, now_s)
                for request_id, watch in self.prefill_watches.items()
            },
            "load_updates": attrs.asdict(self.update_rate),
            "troubles": self.troubles.dump(now_s),
            "troubles_of_peers": self.peer_failures.evidence(now_s),
            "memory": self.memory.dump(now_s),
            "retries": self.retries.dump(),
            "pauses": self.pauses.dump(now_s),
            "slow_endpoints": self.pass_corrections.slow(now_s),
            "localities": self.localities.dump(),
            "permits": self.permits.dump(now_s),
            "named_limits": self.named_limits.dump(now_s),
            "suspicions": self.suspicions.dump(now_s),
            "part_suspicions": self.part_suspicions.dump(now_s),
            "fleet_demand": self.fleet_demand.dump(now_s),
            "early_refusals": self.early_refusals,
            "memory_asks": dict(self.memory_asks),
            "is_withdrawn": self.is_withdrawn,
            "task_failures": dict(self.task_failures),
            "health": attrs.asdict(self.health),
        }
