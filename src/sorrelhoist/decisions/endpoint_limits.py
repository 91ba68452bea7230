"""The limits of one endpoint, from its document and the settings."""

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
    """What one endpoint bears, and how its agent shares it out.

    Parameters
    ----------
    kv_capacity_tokens : int
        Memory of the engine.
    max_running_requests : int
        Requests that run side by side.
    cold_running_requests : int
        Requests that the endpoint bears in a cold start.
    prefill_tokens_per_s : float
        Nominal speed of prefill, used until a speed was observed.
    long_prompt_tokens : int
        From here on a prompt is long.
    max_queued_requests : int
        Bound of the waiting queue.
    lease_s : float
        How long a grant lives without renewal.
    attach_grace_s : float
        How long a stream without an owner runs on before it is cancelled.
    patience_s : float
        How long a long or solitary request lets others pass.
    short_floor : float
        Part of memory and of running slots that long requests never take.
    cold_speed_fraction : float
        Below this part of the nominal speed an endpoint counts as cold.
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
        """Memory that long requests may take together."""
        return int(self.kv_capacity_tokens * (1 - self.short_floor))

    @property
    def long_running_requests(self) -> int:
        """Long requests that may run side by side, at least one."""
        return max(1, int(self.max_running_requests * (1 - self.short_floor)))

    @property
    def short_floor_kv_tokens(self) -> int:
        """Memory that short requests keep while a long one waits its turn."""
        return self.kv_capacity_tokens - self.long_kv_tokens

    @property
    def short_floor_requests(self) -> int:
        """Running slots that short requests keep while a long one waits."""
        return max(1, self.max_running_requests - self.long_running_requests)

    @property
    def cold_kv_tokens(self) -> int:
        """Memory that may be granted in a cold start."""
        part = min(1.0, self.cold_running_requests / self.max_running_requests)
        return int(self.kv_capacity_tokens * part)
