"""Grants of one endpoint and their leases: issue, renewal, transfer and expiry."""

from collections.abc import Sequence

import attrs
from returns.result import Failure, Result, Success

from .capacity_bounds import Usage
from .denials import denial
from .endpoint_health import EndpointHealth
from .endpoint_limits import EndpointLimits
from .foreign_use import ForeignUse
from .grants import AdmissionRequest, DenialKind, Denied, ExpiredLeases, Granted, Lane
from .holdings import Holding, Holdings, HoldingState, holding_for
from .service_rates import ServiceRates


@attrs.define
class LeaseTable:
    """Grants of an endpoint with their leases.

    Parameters
    ----------
    limits : EndpointLimits
        Capacity limits of the endpoint.
    ledger_id : str
        Prefix of all grant ids; differs after each start of the agent.
    now_s : float
        The present time, monotonic seconds.
    """

    limits: EndpointLimits
    ledger_id: str
    now_s: float
    health: EndpointHealth = attrs.field(init=False)
    rates: ServiceRates = attrs.field(init=False)
    holdings: Holdings = attrs.field(init=False, factory=Holdings)
    foreign: ForeignUse = attrs.field(init=False, factory=ForeignUse)
    _granted: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.health = EndpointHealth(self.limits, self.now_s)
        self.rates = ServiceRates(self.limits.prefill_tokens_per_s)

    @property
    def usage(self) -> Usage:
        """Usage by grants and by what the engine still holds."""
        return self.holdings.usage()

    def grant(self, request: AdmissionRequest, lane: Lane, now_s: float) -> Granted:
        """Issue a grant without checking the capacity."""
        self._granted += 1
        grant_id = f"{self.ledger_id}.{self._granted}"
        expires_s = now_s + self.limits.lease_s
        holding = holding_for(request, grant_id, lane, expires_s)
        self.holdings.add(holding)
        return self.answer(holding)

    def answer(self, holding: Holding) -> Granted:
        """Return the response for a grant."""
        return Granted(
            grant_id=holding.grant_id,
            request_id=holding.request_id,
            entry_id=holding.entry_id,
            boot_id=self.health.boot_id,
            lease_s=self.limits.lease_s,
            lane=holding.lane,
            kv_tokens=holding.kv_tokens,
        )

    def renew(
        self, entry_id: str, grant_ids: Sequence[str], now_s: float
    ) -> tuple[str, ...]:
        """Renew the leases of an entry.

        Returns
        -------
        tuple of str
            The grants that the entry does not own, or no longer owns.
        """
        unknown = []
        expires_s = now_s + self.limits.lease_s
        for grant_id in grant_ids:
            holding = self.holdings.get(grant_id)
            if holding is None or not holding.is_renewable_by(entry_id, now_s):
                unknown.append(grant_id)
            else:
                holding.own(entry_id, expires_s)
        return tuple(unknown)

    def attach(
        self, request_id: str, entry_id: str, now_s: float
    ) -> Result[Granted, Denied]:
        """Transfer the running stream of a request to another entry."""
        holding = self.holdings.of_request(request_id)
        if holding is None or holding.state is HoldingState.HELD:
            kind = DenialKind.UNKNOWN_GRANT
            return Failure(denial(request_id, kind, not_run=False))
        holding.own(entry_id, now_s + self.limits.lease_s)
        return Success(self.answer(holding))

    def expired(self, now_s: float) -> ExpiredLeases:
        """Apply the expiry of leases and of grace periods for attaching.

        The grace period starts when this is called: after a pause of the agent,
        renewals that are still buffered in its sockets then arrive in time.
        """
        expired = self.holdings.expire(now_s, self.limits.attach_grace_s)
        self._on_grants_changed(now_s)
        return expired

    def cancelling(self) -> tuple[str, ...]:
        """Return the grants to cancel; the cancel is repeated until confirmed."""
        return self.holdings.cancelling()

    def _on_grants_changed(self, now_s: float) -> None:
        if self.health.is_leaving and not self.holdings:
            self.health.drained(now_s)
        self._record_usage(now_s)

    def _record_usage(self, now_s: float) -> None:
        usage = self.holdings.usage(submitted=True)
        self.foreign.held(usage.requests, usage.kv_tokens, now_s)

    def dump(self) -> dict[str, object]:
        """Return the state as plain data, for the state dump."""
        return {
            "ledger_id": self.ledger_id,
            "limits": attrs.asdict(self.limits),
            "health": self.health.dump(),
            "rates": self.rates.dump(),
            "foreign": self.foreign.dump(),
            "holdings": self.holdings.dump(),
        }
