"""Inputs and outputs of the grant ledger."""

import enum

import attrs


class Lane(enum.StrEnum):
    """Scheduling class of a request, which decides its capacity bounds.

    ``ALONE`` requests run exclusively, since they are suspected of killing endpoints.
    """

    SHORT = "short"
    LONG = "long"
    ALONE = "alone"

    @property
    def priority(self) -> int:
        """Scheduling priority in the engine; 0 is served before 1."""
        return 1 if self is Lane.LONG else 0


class DenialKind(enum.StrEnum):
    """Reason for a denial."""

    DOMAIN_OUT = "domain_out"
    LEAVING = "leaving"
    CONFIGURATION_STALE = "configuration_stale"
    ENDPOINT_UNKNOWN = "endpoint_unknown"
    COLD = "cold"
    OVERLOADED = "overloaded"
    TOO_LARGE = "too_large"
    DEADLINE = "deadline_exceeded"
    ALREADY_RUNNING = "already_running"
    UNKNOWN_GRANT = "unknown_grant"


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """A request to be admitted to the endpoint.

    Parameters
    ----------
    request_id, workspace, entry_id : str
        The request, its workspace and the entry that sends it.
    prompt_tokens, output_tokens : int
        Their sum is the KV cache of the complete answer.
    deadline_s : float
        When the answer must be complete, monotonic seconds.
    weight : float
        Fair-queueing weight of the workspace.
    delivered_tokens : int
        Output tokens that the caller already has; they are prefilled again.
    kv_share_tokens : int, optional
        KV cache on this endpoint if it holds one part of a group; by default, all
        of it is on this endpoint.
    alone : bool
        True for a request suspected of killing endpoints.
    may_queue : bool
        False to be denied instead of queued.
    """

    request_id: str
    workspace: str
    entry_id: str
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    weight: float = 1.0
    delivered_tokens: int = 0
    kv_share_tokens: int | None = None
    alone: bool = False
    may_queue: bool = True

    @property
    def kv_tokens(self) -> int:
        """KV cache that the request needs on this endpoint."""
        if self.kv_share_tokens is not None:
            return self.kv_share_tokens
        return self.prompt_tokens + self.output_tokens

    @property
    def prefill_tokens(self) -> int:
        """Tokens to prefill before the first new token."""
        whole = self.prompt_tokens + self.delivered_tokens
        if self.kv_share_tokens is None:
            return whole
        return min(whole, self.kv_share_tokens)

    @property
    def remaining_output_tokens(self) -> int:
        """Tokens still to be generated."""
        return max(0, self.output_tokens - self.delivered_tokens)


@attrs.frozen(kw_only=True)
class Granted:
    """Permission to use the endpoint until the lease expires."""

    grant_id: str
    request_id: str
    entry_id: str
    boot_id: str
    lease_s: float
    lane: Lane
    kv_tokens: int


@attrs.frozen(kw_only=True)
class Queued:
    """The request was queued; `GrantLedger.pump` returns the decision later."""

    request_id: str
    position: int
    expected_wait_s: float


@attrs.frozen(kw_only=True)
class Denied:
    """A denial; if `not_run`, no part of the request reached the endpoint."""

    request_id: str
    kind: DenialKind
    message: str
    remedy: str
    not_run: bool = True
    retry_after_s: float = 0.0


@attrs.frozen
class Completed:
    """The engine completed the stream and freed its KV cache."""


@attrs.frozen
class Cancelled:
    """The stream was cancelled; the engine has not yet confirmed it."""


@attrs.frozen
class Failed:
    """The stream failed.

    Parameters
    ----------
    refused : bool
        True if the engine refused the stream, so that it holds no KV cache.
    cold : bool
        True if the engine reported a cold start.
    """

    refused: bool = False
    cold: bool = False


Outcome = Completed | Cancelled | Failed


@attrs.frozen(kw_only=True)
class EndpointObservation:
    """A status report of the endpoint, which may lag.

    Parameters
    ----------
    boot_id : str
        Changes when the endpoint restarts.
    is_cold : bool
        Whether the endpoint reports a cold start.
    kv_used_tokens, kv_capacity_tokens, running_requests : int
        As reported; a capacity of 0 means not reported.
    prefill_tokens_per_s : float
        Reported prefill throughput; 0 means not reported.
    report_age_s : float
        Age of the reported state.
    """

    boot_id: str
    is_cold: bool
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    running_requests: int = 0
    prefill_tokens_per_s: float = 0.0
    report_age_s: float = 0.0


@attrs.frozen(kw_only=True)
class EngineHolding:
    """KV cache that the engine holds: a stream, a part of a group or an import.

    Parameters
    ----------
    holding_id : str
        The engine's id for it.
    request_id : str
        The request it belongs to, empty if unknown.
    is_running : bool
        True for a stream, which takes a running slot.
    """

    holding_id: str
    request_id: str
    kv_tokens: int
    is_running: bool = True


@attrs.frozen
class Inventory:
    """Everything that an engine holds, as of one boot."""

    boot_id: str
    holdings: tuple[EngineHolding, ...]


@attrs.frozen(kw_only=True)
class ExpiredLeases:
    """Grant ids whose lease or grace period has expired.

    Parameters
    ----------
    dropped : tuple of str
        Never submitted; removed, so that their KV cache is free.
    orphaned : tuple of str
        Running without an owner; another entry may attach during the grace period.
    to_cancel : tuple of str
        No entry attached during the grace period; repeat the cancel until the engine
        confirms it.
    """

    dropped: tuple[str, ...] = ()
    orphaned: tuple[str, ...] = ()
    to_cancel: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class LoadSnapshot:
    """Load of the endpoint, as sent in the message ``Load``."""

    phase: str
    running_requests: int
    queued_requests: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    pending_prefill_tokens: int
    prefill_tokens_per_s: int
    long_requests: int
    queue_delay_ms: int
