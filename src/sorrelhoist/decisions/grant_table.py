"""Life of a grant from submission to release, and events of its endpoint."""

import attrs
from returns.result import Failure, Result, Success

from .capacity_bounds import fits
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
from .leases import LeaseTable


@attrs.define
class GrantTable(LeaseTable):
    """Grants of an endpoint, updated by stream outcomes and endpoint status."""

    # Grant events

    def submitted(self, grant_id: str, now_s: float) -> Result[None, Denied]:
        """Validate a grant and mark it running, right before its request is sent.

        The present state decides: the grant is void if, since it was issued, its
        failure domain was taken out or the endpoint closed for another reason, a cold
        start reduced the capacity, or the lease expired.
        """
        holding = self.holdings.get(grant_id)
        if holding is None:
            return Failure(denial("", DenialKind.UNKNOWN_GRANT))
        request_id = holding.request_id
        if holding.state is not HoldingState.HELD:
            kind = DenialKind.ALREADY_RUNNING
            return Failure(denial(request_id, kind, not_run=False))
        refused = self._void_reason(holding, now_s)
        if refused is not None:
            self._remove(holding, now_s)
            return Failure(denial(request_id, refused))
        holding.state = HoldingState.RUNNING
        holding.submitted_s = now_s
        holding.prefill_was_exclusive = not self.holdings.is_any_prefilling(holding)
        self.holdings.mark_prefill_shared(holding)
        self.rates.prefill_began(now_s)
        self._record_usage(now_s)
        return Success(None)

    def _void_reason(self, holding: Holding, now_s: float) -> DenialKind | None:
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
        """Record that the prefill of a grant is complete."""
        holding = self.holdings.get(grant_id)
        if holding is None or holding.submitted_s is None or not holding.is_prefilling:
            return
        holding.first_token_s = now_s
        tokens = holding.prefill_tokens
        busy = self.holdings.is_any_prefilling(holding)
        self.rates.prefill_ended(tokens, now_s, busy)
        if not holding.prefill_was_exclusive:
            return
        elapsed_s = now_s - holding.submitted_s
        if self.rates.record_exclusive_prefill(
            tokens, elapsed_s, self._cold_prefill_per_s()
        ):
            self.health.slowed(now_s)

    def _cold_prefill_per_s(self) -> float:
        limits = self.limits
        return limits.prefill_tokens_per_s * limits.cold_speed_fraction

    def release(self, grant_id: str, now_s: float, outcome: Outcome) -> None:
        """Release a grant.

        Parameters
        ----------
        grant_id : str
            An unknown id is ignored.
        now_s : float
            The present time, monotonic seconds.
        outcome : Outcome
            KV cache that the engine may still hold is counted until `freed`.
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
        """Remove a grant whose cancel the engine confirmed or whose stream it lacks."""
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
        if not self.holdings.is_any_prefilling(None):
            self.rates.prefill_stopped()
        self._on_grants_changed(now_s)

    # Endpoint events

    def observe(self, report: EndpointObservation, now_s: float) -> tuple[str, ...]:
        """Apply a status report of the endpoint.

        Returns
        -------
        tuple of str
            Ids of the grants that were lost because the endpoint restarted.
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
        """Record that the endpoint does not answer; its KV cache stays counted."""
        self.health.unreachable(now_s)

    def set_domain_in(self, is_in: bool) -> None:
        """Open or close the endpoint together with its failure domain."""
        self.health.is_domain_in = is_in

    def set_configuration_stale(self, is_stale: bool) -> None:
        """Close the endpoint while its agent's configuration may be outdated."""
        self.health.is_configuration_stale = is_stale

    def set_leaving(self, is_leaving: bool, now_s: float) -> None:
        """Start or stop draining: running requests continue, no new ones start."""
        self.health.set_leaving(is_leaving, now_s)
        self._on_grants_changed(now_s)

    def set_limits(self, limits: EndpointLimits) -> None:
        """Apply new limits; running requests are not affected."""
        self.limits = limits
        self.health.set_limits(limits)
        self.rates.nominal_prefill_per_s = limits.prefill_tokens_per_s

    def adopt(self, inventory: Inventory, now_s: float) -> tuple[str, ...]:
        """Adopt streams and KV cache on the engine that no grant covers.

        Entries may attach to them during the grace period; after that, `expired`
        lists them for cancellation.

        Returns
        -------
        tuple of str
            The engine's ids of the adopted items, which have no owner.
        """
        if self.health.is_reboot(inventory.boot_id):
            return ()
        expires_s = now_s + self.limits.attach_grace_s
        unowned = []
        for found in inventory.holdings:
            if self.holdings.get(found.holding_id) is None:
                self.holdings.add(adopted_holding(found, expires_s))
                unowned.append(found.holding_id)
        self._record_usage(now_s)
        return tuple(unowned)
