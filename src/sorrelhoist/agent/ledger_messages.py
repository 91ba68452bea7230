"""Converts grants, denials and load snapshots of the ledger to messages."""

from ..decisions.grants import DenialKind, Denied, Granted, LoadSnapshot
from ..exceptions import DeadlineExceededError, InvalidRequestError
from ..messages.gen import ttypes

MS_PER_S = 1000
_CALLER_KINDS = {
    DenialKind.TOO_LARGE: InvalidRequestError.kind,
    DenialKind.DEADLINE: DeadlineExceededError.kind,
    DenialKind.ALREADY_RUNNING: "exists",
}


def load_message(endpoint: str, snapshot: LoadSnapshot) -> ttypes.Load:
    """Return the load message for an endpoint's load snapshot."""
    return ttypes.Load(
        endpoint=endpoint,
        phase=snapshot.phase,
        running_requests=snapshot.running_requests,
        queued_requests=snapshot.queued_requests,
        kv_used_tokens=snapshot.kv_used_tokens,
        kv_capacity_tokens=snapshot.kv_capacity_tokens,
        pending_prefill_tokens=snapshot.pending_prefill_tokens,
        prefill_tokens_per_s=snapshot.prefill_tokens_per_s,
        long_requests=snapshot.long_requests,
        queue_delay_ms=snapshot.queue_delay_ms,
    )


def grant_message(granted: Granted, load: ttypes.Load) -> ttypes.Grant:
    """Return the message for a grant."""
    return ttypes.Grant(
        grant_id=granted.grant_id,
        lease_ms=int(granted.lease_s * MS_PER_S),
        boot_id=granted.boot_id,
        load=load,
    )


def denial_message(denied: Denied, load: ttypes.Load) -> ttypes.Denial:
    """Return the message for a denial."""
    return ttypes.Denial(
        kind=_CALLER_KINDS.get(denied.kind, denied.kind.value),
        message=denied.message,
        remedy=denied.remedy,
        not_run=denied.not_run,
        retry_after_ms=int(denied.retry_after_s * MS_PER_S),
        load=load,
    )
