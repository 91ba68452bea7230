"""What a gateway believes: the configuration, the endpoints and their load."""

import logging
import random
import time

import attrs

from ..decisions.cold_start import ColdStartLimiter
from ..decisions.directory import Directory, Endpoint
from ..decisions.endpoint_failures import FailureTracker
from ..decisions.load_tracker import EndpointUse, LoadTracker
from ..decisions.placement_demand import EndpointView
from ..decisions.retries import RetryBudget, SharedRetryBudget
from ..decisions.routes import RouteTable, Workspace
from ..decisions.store_contact import StoreContact
from ..decisions.suspicion import SuspicionTable

logger = logging.getLogger(__name__)

LAST_REQUESTS_S = 3.0
"""After the signal to stop; the balancer sends callers elsewhere within two seconds
if it can, and streams last for about three of the five that are left."""

ASSUMED_GATEWAYS = 5
"""Until more are heard of; the smaller sites have four and five."""


def boot_time_s() -> float:
    """Return seconds that also count while the host stands still."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(eq=False, kw_only=True)
class GatewayState:
    """Beliefs and budgets of one gateway.

    Parameters
    ----------
    node_id, failure_domain : str
    contact : StoreContact
        Aged by `boot_time_s`.
    shared_retries : SharedRetryBudget or None
        The budget of all gateways; None leaves the own one as it is.
    retries : RetryBudget
        The own part of it.
    rng : random.Random
    """

    node_id: str
    failure_domain: str
    contact: StoreContact
    shared_retries: SharedRetryBudget | None = None
    retries: RetryBudget = attrs.field(factory=RetryBudget)
    rng: random.Random = attrs.field(factory=random.Random)
    table: RouteTable | None = None
    directory: Directory = attrs.field(factory=Directory)
    loads: LoadTracker = attrs.field(factory=LoadTracker)
    troubles: FailureTracker = attrs.field(factory=FailureTracker)
    cold_starts: ColdStartLimiter = attrs.field(factory=ColdStartLimiter)
    suspicions: SuspicionTable = attrs.field(factory=SuspicionTable)
    stopping_s: float | None = None

    def adopt(self, table: RouteTable) -> bool:
        """Put a version into force unless a later one is.

        Returns
        -------
        bool
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        logger.info(
            "configuration adopted",
            extra={
                "event": "configuration",
                "version": table.version,
                "replaced_version": self.table.version if self.table else None,
                "routes": len(table.routes),
            },
        )
        self.table = table
        return True

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self.stopping_s is not None

    def takes_requests(self, now_s: float) -> bool:
        """Tell whether a new request can still end before the process does."""
        return self.stopping_s is None or now_s < self.stopping_s + LAST_REQUESTS_S

    def is_ready(self, now_boot_s: float) -> bool:
        """Tell whether the balancer should send callers here."""
        return (
            self.table is not None
            and not self.is_stopping
            and self.contact.is_fresh(now_boot_s)
        )

    def holds_key(
        self, key: str | None, workspace: Workspace | None, now_boot_s: float
    ) -> bool:
        """Tell whether a key that was valid still belongs to its workspace."""
        if workspace is None:
            return True
        workspaces = (self.table.workspaces if self.table else None) or {}
        holder = workspaces.get(key or "")
        return (
            self.contact.may_use_keys(now_boot_s)
            and holder is not None
            and holder.name == workspace.name
        )

    def has_other(self, service: str, excluded: set[str], now_s: float) -> bool:
        """Tell whether a service has an endpoint that isn't excluded."""
        return any(
            endpoint.endpoint_id not in excluded
            for endpoint in self.directory.usable(service, now_s)
        )

    def divide_retries(self, now_s: float) -> None:
        """Take the share of the retry budget that the live gateways leave."""
        if self.shared_retries is not None:
            processes = max(ASSUMED_GATEWAYS, self.gateways(now_s))
            self.shared_retries.set_process_share(self.retries, processes)

    def gateways(self, now_s: float) -> int:
        """Count the live gateways, this one included."""
        return len(self.loads.peers(now_s)) + 1

    def views(self, service: str, now_s: float) -> list[EndpointView]:
        """Return the usable endpoints of a service with their load."""
        totals = self.loads.totals(now_s)
        plan = self.table.services.get(service) if self.table else None
        cold_rate = plan.cold_requests_per_s if plan else 0.0
        return [
            EndpointView(
                endpoint=endpoint,
                use=totals.get(endpoint.address)
                or EndpointUse(address=endpoint.address),
                is_avoided=self.troubles.is_avoided(endpoint.endpoint_id, now_s),
            )
            for endpoint in self.directory.usable(service, now_s)
            if self._bears_more(endpoint, cold_rate, now_s)
        ]

    def _bears_more(self, endpoint: Endpoint, cold_rate: float, now_s: float) -> bool:
        if not cold_rate or now_s >= endpoint.cold_until_s:
            return True
        return self.cold_starts.can_send(
            endpoint.endpoint_id, cold_rate, self.gateways(now_s), now_s
        )

    def count_cold_send(self, endpoint: Endpoint, now_s: float) -> None:
        """Count a request that goes to an endpoint in a cold start."""
        plan = self.table.services.get(endpoint.service) if self.table else None
        if plan and plan.cold_requests_per_s and now_s < endpoint.cold_until_s:
            self.cold_starts.try_send(
                endpoint.endpoint_id,
                plan.cold_requests_per_s,
                self.gateways(now_s),
                now_s,
            )

    def dump(self, now_s: float) -> dict:
        """Return all of it as plain data."""
        return {
            "node_id": self.node_id,
            "version": self.table.version if self.table else None,
            "is_stopping": self.is_stopping,
            "contact_age_s": self.contact.age_s(boot_time_s()),
            "directory": self.directory.dump(now_s),
            "loads": self.loads.dump(now_s),
            "troubles": self.troubles.dump(now_s),
            "retries": self.retries.dump(),
            "suspicions": self.suspicions.dump(now_s),
        }
