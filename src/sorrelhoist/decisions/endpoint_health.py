"""Health of an endpoint: whether it is open for new work, and its capacity limits."""

import attrs

from .capacity_bounds import Bounds
from .endpoint_limits import EndpointLimits
from .grants import DenialKind, EndpointObservation, Lane
from .lifecycle import EndpointLifecycle, LifecycleEvent, Phase
from .slow_start import SlowStart


@attrs.define
class EndpointHealth:
    """Lifecycle phase, slow-start allowance and the flags that stop new work.

    Parameters
    ----------
    limits : EndpointLimits
        Limits outside of slow start.
    now_s : float
        The present time, monotonic seconds.
    """

    limits: EndpointLimits
    now_s: float
    boot_id: str = ""
    is_domain_in: bool = True
    is_leaving: bool = False
    is_configuration_stale: bool = False
    slow_start: SlowStart = attrs.field(init=False)
    lifecycle: EndpointLifecycle = attrs.field(init=False)
    _reported_capacity_tokens: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.slow_start = SlowStart.from_limits(self.limits)
        self.lifecycle = EndpointLifecycle(self.now_s)

    @property
    def phase(self) -> Phase:
        """Lifecycle phase; a leaving endpoint stays leaving also after a restart."""
        phase = self.lifecycle.phase
        if self.is_leaving and phase is not Phase.GONE:
            return Phase.LEAVING
        return phase

    @property
    def capacity_tokens(self) -> int:
        """KV cache capacity: the smaller of the configured and the reported one."""
        if not self._reported_capacity_tokens:
            return self.limits.kv_capacity_tokens
        return min(self.limits.kv_capacity_tokens, self._reported_capacity_tokens)

    def closed(self) -> DenialKind | None:
        """Return the reason why no new work may start, or None if it may."""
        if not self.is_domain_in:
            return DenialKind.DOMAIN_OUT
        if self.is_configuration_stale:
            return DenialKind.CONFIGURATION_STALE
        match self.phase:
            case Phase.LEAVING | Phase.GONE:
                return DenialKind.LEAVING
            case Phase.UNKNOWN:
                return DenialKind.ENDPOINT_UNKNOWN
            case Phase.COLD | Phase.WARMING | Phase.SERVING:
                return None

    def bounds(self, foreign_requests: int, foreign_kv_tokens: int) -> Bounds:
        """Return the limits on concurrent work, minus use outside the grants."""
        limits = self.limits
        allowed_requests = self.slow_start.allowed_requests
        long_requests = max(1, int(allowed_requests * (1 - limits.short_floor)))
        return Bounds(
            kv_tokens=self.capacity_tokens - foreign_kv_tokens,
            allowed_requests=allowed_requests - foreign_requests,
            allowed_tokens=self.slow_start.allowed_tokens - foreign_kv_tokens,
            foreign_requests=foreign_requests,
            long_requests=min(long_requests, limits.long_running_requests),
            long_kv_tokens=self.largest_kv_tokens(Lane.LONG),
            long_uses_short_allowance=allowed_requests <= limits.cold_running_requests,
        )

    def largest_kv_tokens(self, lane: Lane) -> int:
        """Return the KV cache that all requests of a lane may use together."""
        if lane is Lane.LONG:
            return int(self.capacity_tokens * (1 - self.limits.short_floor))
        return self.capacity_tokens

    def capacity_denial(self) -> DenialKind:
        """Return the kind of denial for a lack of capacity."""
        if self.phase is Phase.COLD:
            return DenialKind.COLD
        return DenialKind.OVERLOADED

    def is_reboot(self, boot_id: str) -> bool:
        """Return whether a boot id shows a restart: it differs from the last known."""
        return bool(self.boot_id) and boot_id != self.boot_id

    def observe(self, report: EndpointObservation, now_s: float) -> None:
        """Apply a status report."""
        self._reported_capacity_tokens = report.kv_capacity_tokens
        if self.is_reboot(report.boot_id):
            self._demote(LifecycleEvent.BOOT_CHANGED, now_s)
        self.boot_id = report.boot_id
        slow_per_s = self.limits.prefill_tokens_per_s * self.limits.cold_speed_fraction
        if report.is_cold:
            self._demote(LifecycleEvent.REPORTED_COLD, now_s)
        elif 0 < report.prefill_tokens_per_s < slow_per_s:
            self.slowed(now_s)
        elif now_s - report.report_age_s >= self.lifecycle.since_s:
            self.lifecycle.on(LifecycleEvent.REPORTED_SERVING, now_s)

    def slowed(self, now_s: float) -> None:
        """Record that the endpoint is as slow as in a cold start."""
        self._demote(LifecycleEvent.SLOWED, now_s)

    def reported_cold(self, now_s: float) -> None:
        """Record that the endpoint refused a stream because it is cold."""
        self._demote(LifecycleEvent.REPORTED_COLD, now_s)

    def unreachable(self, now_s: float) -> None:
        """Record that the endpoint does not answer."""
        self._demote(LifecycleEvent.UNREACHABLE, now_s)

    def completed(
        self, tokens: int, used_requests: int, used_tokens: int, now_s: float
    ) -> None:
        """Record completed work, which raises the allowance after the cold start."""
        if self.lifecycle.phase is not Phase.WARMING:
            return
        self.slow_start.completed(tokens, used_requests, used_tokens)
        if self.slow_start.full:
            self.lifecycle.on(LifecycleEvent.FULLY_ALLOWED, now_s)

    def troubled(self, now_s: float) -> None:
        """Record a failure of the endpoint."""
        self.slow_start.troubled()
        self.lifecycle.on(LifecycleEvent.TROUBLED, now_s)

    def set_leaving(self, is_leaving: bool, now_s: float) -> None:
        """Start the departure of the endpoint, or cancel it."""
        self.is_leaving = is_leaving
        event = LifecycleEvent.LEAVE if is_leaving else LifecycleEvent.STAY
        self.lifecycle.on(event, now_s)

    def drained(self, now_s: float) -> None:
        """Record that a leaving endpoint has no running requests left."""
        self.lifecycle.on(LifecycleEvent.DRAINED, now_s)

    def set_limits(self, limits: EndpointLimits) -> None:
        """Apply new limits."""
        self.limits = limits
        self.slow_start.set_limits(limits)

    def _demote(self, event: LifecycleEvent, now_s: float) -> None:
        if self.lifecycle.phase is Phase.WARMING:
            self.slow_start.back_off()
        else:
            self.slow_start.reset()
        self.lifecycle.on(event, now_s)

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            "boot_id": self.boot_id,
            "phase": self.phase.value,
            "lifecycle": self.lifecycle.dump(),
            "slow_start": self.slow_start.dump(),
            "is_domain_in": self.is_domain_in,
            "is_leaving": self.is_leaving,
            "is_configuration_stale": self.is_configuration_stale,
            "capacity_tokens": self.capacity_tokens,
        }
