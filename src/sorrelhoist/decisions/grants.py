"""What goes into and comes out of the grant ledger."""

import enum

import attrs


class Lane(enum.StrEnum):
    """Which bounds a request runs under."""

    SHORT = "short"
    LONG = "long"
    ALONE = "alone"

    @property
    def priority(self) -> int:
        """The engine's priority: 0 goes before 1."""
        return 1 if self is Lane.LONG else 0


class DenialKind(enum.StrEnum):
    """Why a request was denied."""

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
class GrantAsk:
    """A request for the right to use the endpoint.

    Parameters
    ----------
    request_id, workspace, entry_id : str
        Whose request it is, and the entry that asks.
    prompt_tokens, output_tokens : int
        Size of the whole answer's cache.
    deadline_s : float
        When the answer must be whole, monotonic seconds.
    weight : float
        Share of the workspace against others.
    delivered_tokens : int
        Output tokens that the caller has; they are prefilled again.
    kv_share_tokens : int, optional
        Memory on this endpoint if it is a part of a group; all of it otherwise.
    alone : bool
        True for a request suspected of killing endpoints.
    may_queue : bool
        False if a denial is better than a place in the queue.
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
        """Memory that the request takes on this endpoint."""
        if self.kv_share_tokens is not None:
            return self.kv_share_tokens
        return self.prompt_tokens + self.output_tokens

    @property
    def prefill_tokens(self) -> int:
        """Tokens that the engine reads before the first new one."""
        whole = self.prompt_tokens + self.delivered_tokens
        if self.kv_share_tokens is None:
            return whole
        return min(whole, self.kv_share_tokens)

    @property
    def remaining_output_tokens(self) -> int:
        """Tokens that are still to be generated."""
        return max(0, self.output_tokens - self.delivered_tokens)


@attrs.frozen(kw_only=True)
class Granted:
    """The right to use the endpoint until the lease ends."""

    grant_id: str
    request_id: str
    entry_id: str
    boot_id: str
    lease_s: float
    lane: Lane
    kv_tokens: int


@attrs.frozen(kw_only=True)
class Queued:
    """A place in the waiting queue; `GrantLedger.pump` gives the decision."""

    request_id: str
    position: int
    expected_wait_s: float


@attrs.frozen(kw_only=True)
class Denied:
    """A refusal; nothing of the request reached the endpoint if `not_run`."""

    request_id: str
    kind: DenialKind
    message: str
    remedy: str
    not_run: bool = True
    retry_after_s: float = 0.0


@attrs.frozen
class Completed:
    """The engine ended the stream and freed its memory."""


@attrs.frozen
class Cancelled:
    """The stream was cancelled; the engine has not confirmed it yet."""


@attrs.frozen
class Failed:
    """The stream broke off.

    Parameters
    ----------
    refused : bool
        True if the engine refused the stream, so that it holds no memory.
    cold : bool
        True if the engine said that it is in a cold start.
    """

    refused: bool = False
    cold: bool = False


Outcome = Completed | Cancelled | Failed


@attrs.frozen(kw_only=True)
class EndpointObservation:
    """A status report of the endpoint, some time old.

    Parameters
    ----------
    boot_id : str
        Changes when the endpoint starts anew.
    is_cold : bool
        What the endpoint says of itself.
    kv_used_tokens, kv_capacity_tokens, running_requests : int
        As reported; a capacity of 0 is no report.
    prefill_tokens_per_s : float
        Reported speed; 0 is no report.
    report_age_s : float
        How long ago the report was true.
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
    """Memory that the engine holds: a stream, a part or an import.

    Parameters
    ----------
    holding_id : str
        The engine's name of it.
    request_id : str
        The request it belongs to, empty if that is not known.
    is_running : bool
        True for a stream, which takes a running slot.
    """

    holding_id: str
    request_id: str
    kv_tokens: int
    is_running: bool = True


@attrs.frozen
class Inventory:
    """All that an engine holds."""

    boot_id: str
    holdings: tuple[EngineHolding, ...]


@attrs.frozen(kw_only=True)
class Expired:
    """What a look at the leases found, as grant ids.

    Parameters
    ----------
    dropped : tuple of str
        Never submitted; forgotten, their memory is free.
    orphaned : tuple of str
        Running without an owner; another entry may attach.
    to_cancel : tuple of str
        Nobody attached in the grace; cancel them until the engine confirms.
    """

    dropped: tuple[str, ...] = ()
    orphaned: tuple[str, ...] = ()
    to_cancel: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class LoadFigures:
    """The figures of the message ``Load``."""

    phase: str
    running_requests: int
    queued_requests: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    pending_prefill_tokens: int
    prefill_tokens_per_s: int
    long_requests: int
    queue_delay_ms: int
