"""The grants that one endpoint has given, and their leases."""

from collections.abc import Sequence

import attrs
from returns.result import Failure, Result, Success

from .denials import denial
from .endpoint_health import EndpointHealth
from .endpoint_limits import EndpointLimits
from .foreign_use import ForeignUse
from .grants import DenialKind, Denied, Expired, GrantAsk, Granted, Lane
from .holdings import Holding, Holdings, HoldingState, holding_for
from .room import Usage
from .service_rates import ServiceRates


@attrs.define
class LeaseBook:
    """All grants of an endpoint with their leases.

    Parameters
    ----------
    limits : EndpointLimits
        What the endpoint bears.
    ledger_id : str
        Prefix of all grant ids; another one after each start of the agent.
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
        """What is granted, or still held by the engine."""
        return self.holdings.usage()

    def grant(self, ask: GrantAsk, lane: Lane, now_s: float) -> Granted:
        """Give a grant without a check."""
        self._granted += 1
        grant_id = f"{self.ledger_id}.{self._granted}"
        expires_s = now_s + self.limits.lease_s
        holding = holding_for(ask, grant_id, lane, expires_s)
        self.holdings.add(holding)
        return self.answer(holding)

    def answer(self, holding: Holding) -> Granted:
        """Make the answer for a grant."""
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
            The grants that the entry does not own, or no longer.
        """
        unknown = []
        expires_s = now_s + self.limits.lease_s
        for grant_id in grant_ids:
            holding = self.holdings.get(grant_id)
            if holding is None or not holding.is_owned(entry_id, now_s):
                unknown.append(grant_id)
            else:
                holding.own(entry_id, expires_s)
        return tuple(unknown)

    def attach(
        self, request_id: str, entry_id: str, now_s: float
    ) -> Result[Granted, Denied]:
        """Give the running stream of a request to another entry."""
        holding = self.holdings.of_request(request_id)
        if holding is None or holding.state is HoldingState.HELD:
            kind = DenialKind.UNKNOWN_GRANT
            return Failure(denial(request_id, kind, not_run=False))
        holding.own(entry_id, now_s + self.limits.lease_s)
        return Success(self.answer(holding))

    def expired(self, now_s: float) -> Expired:
        """Move on the grants whose lease, or grace to attach, has passed.

        The grace begins when this is called: after a pause of the agent the
        renewals that wait in its sockets still count.
        """
        expired = self.holdings.expire(now_s, self.limits.attach_grace_s)
        self._settle(now_s)
        return expired

    def cancelling(self) -> tuple[str, ...]:
        """List the grants to cancel on the engine, again until it confirms."""
        return self.holdings.cancelling()

    def _settle(self, now_s: float) -> None:
        if self.health.is_leaving and not self.holdings:
            self.health.drained(now_s)
        self._note(now_s)

    def _note(self, now_s: float) -> None:
        usage = self.holdings.usage(submitted=True)
        self.foreign.held(usage.requests, usage.kv_tokens, now_s)

    def dump(self) -> dict[str, object]:
        """Give the state as plain data, for the state dump."""
        return {
            "ledger_id": self.ledger_id,
            "limits": attrs.asdict(self.limits),
            "health": self.health.dump(),
            "rates": self.rates.dump(),
            "foreign": self.foreign.dump(),
            "holdings": self.holdings.dump(),
        }
