"""Capacity limits of one endpoint, from its document and the settings."""

import attrs
from attrs.validators import ge, gt, le

DEFAULT_LEASE_S = 10.0
DEFAULT_ATTACH_GRACE_S = 10.0
DEFAULT_PATIENCE_S = 2.0
DEFAULT_MAX_QUEUED_REQUESTS = 128
DEFAULT_SHORT_FLOOR = 0.25
DEFAULT_COLD_SPEED_FRACTION = 0.25


@attrs.frozen(kw_only=True)
class EndpointLimits:
    """Capacity of one endpoint and the rules by which its agent divides it.

    Parameters
    ----------
    kv_capacity_tokens : int
        KV cache size of the engine.
    max_running_requests : int
        Largest number of concurrent requests.
    cold_running_requests : int
        Largest number of concurrent requests in a cold start.
    prefill_tokens_per_s : float
        Nominal prefill throughput, used until one was observed.
    long_prompt_tokens : int
        Prompts of at least this length are long.
    max_queued_requests : int
        Largest length of the queue.
    lease_s : float
        Lifetime of a lease without renewal.
    attach_grace_s : float
        How long an orphaned stream keeps running before it is cancelled.
    patience_s : float
        How long a long or exclusive request waits before it limits the others.
    short_floor : float
        Fraction of KV cache and running slots reserved for short requests.
    cold_speed_fraction : float
        Below this fraction of the nominal prefill throughput, an endpoint is cold.
    """

    kv_capacity_tokens: int = attrs.field(validator=gt(0))
    max_running_requests: int = attrs.field(validator=gt(0))
    cold_running_requests: int = attrs.field(validator=gt(0))
    prefill_tokens_per_s: float = attrs.field(validator=gt(0))
    long_prompt_tokens: int = attrs.field(validator=gt(0))
    max_queued_requests: int = attrs.field(
        default=DEFAULT_MAX_QUEUED_REQUESTS, validator=ge(0)
    )
    lease_s: float = attrs.field(default=DEFAULT_LEASE_S, validator=gt(0))
    attach_grace_s: float = attrs.field(default=DEFAULT_ATTACH_GRACE_S, validator=ge(0))
    patience_s: float = attrs.field(default=DEFAULT_PATIENCE_S, validator=ge(0))
    short_floor: float = attrs.field(
        default=DEFAULT_SHORT_FLOOR, validator=[ge(0), le(1)]
    )
    cold_speed_fraction: float = attrs.field(
        default=DEFAULT_COLD_SPEED_FRACTION, validator=[ge(0), le(1)]
    )

    @property
    def long_kv_tokens(self) -> int:
        """KV cache that all long requests may use together."""
        return int(self.kv_capacity_tokens * (1 - self.short_floor))

    @property
    def long_running_requests(self) -> int:
        """Largest number of concurrent long requests, at least one."""
        return max(1, int(self.max_running_requests * (1 - self.short_floor)))

    @property
    def short_floor_kv_tokens(self) -> int:
        """KV cache reserved for short requests while a long one waits."""
        return self.kv_capacity_tokens - self.long_kv_tokens

    @property
    def short_floor_requests(self) -> int:
        """Running slots reserved for short requests while a long one waits."""
        return max(1, self.max_running_requests - self.long_running_requests)

    @property
    def cold_kv_tokens(self) -> int:
        """KV cache that may be granted in a cold start."""
        part = min(1.0, self.cold_running_requests / self.max_running_requests)
        return int(self.kv_capacity_tokens * part)
