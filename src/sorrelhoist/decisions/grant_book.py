"""What becomes of the grants of one endpoint, from their use to their end."""

import attrs
from returns.result import Failure, Result, Success

from .denials import denial
from .endpoint_limits import EndpointLimits
from .grants import (
    Cancelled,
    Completed,
    DenialKind,
    Denied,
    EndpointObservation,
    Failed,
    Inventory,
    Outcome,
)
from .holdings import Holding, HoldingState, adopted_holding
from .leases import LeaseBook
from .room import fits


@attrs.define
class GrantBook(LeaseBook):
    """The use of the grants of an endpoint, and what happens to the endpoint."""

    # Using a grant

    def submitted(self, grant_id: str, now_s: float) -> Result[None, Denied]:
        """Check a grant right before its request goes to the endpoint.

        What changed since it was given counts: a grant that was held over a
        domain's exit, a cold start or the end of its lease is void.
        """
        holding = self.holdings.get(grant_id)
        if holding is None:
            return Failure(denial("", DenialKind.UNKNOWN_GRANT))
        request_id = holding.request_id
        if holding.state is not HoldingState.HELD:
            kind = DenialKind.ALREADY_RUNNING
            return Failure(denial(request_id, kind, not_run=False))
        refused = self._void(holding, now_s)
        if refused is not None:
            self._remove(holding, now_s)
            return Failure(denial(request_id, refused))
        holding.state = HoldingState.RUNNING
        holding.submitted_s = now_s
        holding.read_undisturbed = not self.holdings.is_any_reading(holding)
        self.holdings.disturb(holding)
        self.rates.prefill_began(now_s)
        self._note(now_s)
        return Success(None)

    def _void(self, holding: Holding, now_s: float) -> DenialKind | None:
        if now_s >= holding.expires_s:
            return DenialKind.UNKNOWN_GRANT
        if (kind := self.health.closed()) is not None:
            return kind
        usage = self.holdings.usage(without=holding, submitted=True)
        bounds = self.health.bounds(self.foreign.requests, self.foreign.kv_tokens)
        if not fits(holding.lane, holding.kv_tokens, usage, bounds):
            return self.health.capacity_denial()
        return None

    def first_token(self, grant_id: str, now_s: float) -> None:
        """Note that the prompt of a grant was read."""
        holding = self.holdings.get(grant_id)
        if holding is None or holding.submitted_s is None or not holding.is_reading:
            return
        holding.first_token_s = now_s
        tokens = holding.prefill_tokens
        busy = self.holdings.is_any_reading(holding)
        self.rates.prefill_ended(tokens, now_s, busy)
        if not holding.read_undisturbed:
            return
        elapsed_s = now_s - holding.submitted_s
        if self.rates.record_solo_prefill(tokens, elapsed_s, self._slow_per_s()):
            self.health.slowed(now_s)

    def _slow_per_s(self) -> float:
        limits = self.limits
        return limits.prefill_tokens_per_s * limits.cold_speed_fraction

    def release(self, grant_id: str, now_s: float, outcome: Outcome) -> None:
        """Take a grant back.

        Parameters
        ----------
        grant_id : str
            An unknown one is ignored.
        now_s : float
            The present time, monotonic seconds.
        outcome : Outcome
            Memory that the engine may still hold stays counted until `freed`.
        """
        holding = self.holdings.get(grant_id)
        if holding is None:
            return
        match outcome:
            case Completed():
                self._completed(holding, now_s)
            case Failed(refused=refused, cold=cold):
                self._failed(holding, refused, cold, now_s)
            case Cancelled() if holding.state is HoldingState.HELD:
                self._remove(holding, now_s)
            case Cancelled():
                holding.state = HoldingState.CANCELLING

    def freed(self, grant_id: str, now_s: float) -> None:
        """Note that the engine confirmed a cancel, or knows no such stream."""
        holding = self.holdings.get(grant_id)
        if holding is not None:
            self._remove(holding, now_s)

    def _completed(self, holding: Holding, now_s: float) -> None:
        usage = self.holdings.usage()
        if holding.state is not HoldingState.HELD:
            tokens = holding.kv_tokens
            self.health.completed(tokens, usage.requests, usage.kv_tokens, now_s)
        if holding.first_token_s is not None:
            elapsed_s = now_s - holding.first_token_s
            self.rates.decoded(holding.output_tokens, elapsed_s)
        self._remove(holding, now_s)

    def _failed(
        self, holding: Holding, refused: bool, cold: bool, now_s: float
    ) -> None:
        if cold:
            self.health.reported_cold(now_s)
        else:
            self.health.troubled(now_s)
        if refused or holding.state is HoldingState.HELD:
            self._remove(holding, now_s)
        else:
            holding.state = HoldingState.CANCELLING

    def _remove(self, holding: Holding, now_s: float) -> None:
        self.holdings.remove(holding.grant_id)
        if not self.holdings.is_any_reading(None):
            self.rates.prefill_stopped()
        self._settle(now_s)

    # The endpoint

    def observe(self, report: EndpointObservation, now_s: float) -> tuple[str, ...]:
        """Take a status report of the endpoint in.

        Returns
        -------
        tuple of str
            The grants that were lost because the endpoint started anew.
        """
        lost: tuple[str, ...] = ()
        if self.health.is_reboot(report.boot_id):
            lost = self.holdings.clear()
            self.foreign.clear()
            self.rates.prefill_stopped()
        self.health.observe(report, now_s)
        self.foreign.report(report, now_s)
        return lost

    def unreachable(self, now_s: float) -> None:
        """Note that the endpoint does not answer; its memory stays counted."""
        self.health.unreachable(now_s)

    def set_domain_in(self, is_in: bool) -> None:
        """Open or shut the endpoint with its failure domain."""
        self.health.is_domain_in = is_in

    def set_configuration_stale(self, is_stale: bool) -> None:
        """Shut the endpoint while its agent can't know the configuration."""
        self.health.is_configuration_stale = is_stale

    def set_leaving(self, is_leaving: bool, now_s: float) -> None:
        """Let the endpoint leave: what runs goes on, nothing new starts."""
        self.health.set_leaving(is_leaving, now_s)
        self._settle(now_s)

    def set_limits(self, limits: EndpointLimits) -> None:
        """Take new limits over; what runs goes on."""
        self.limits = limits
        self.health.set_limits(limits)
        self.rates.nominal_prefill_per_s = limits.prefill_tokens_per_s

    def adopt(self, inventory: Inventory, now_s: float) -> tuple[str, ...]:
        """Count what the engine holds and no grant knows.

        Its owners may attach in the grace; after that `expired` gives it to be
        cancelled.

        Returns
        -------
        tuple of str
            The engine's ids of what has no owner.
        """
        if self.health.is_reboot(inventory.boot_id):
            return ()
        expires_s = now_s + self.limits.attach_grace_s
        unowned = []
        for found in inventory.holdings:
            if self.holdings.get(found.holding_id) is None:
                self.holdings.add(adopted_holding(found, expires_s))
                unowned.append(found.holding_id)
        self._note(now_s)
        return tuple(unowned)
