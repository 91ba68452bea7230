"""Charging of retries to the retry budget, with what was left of it."""

from .parts import GatewayParts
from .request_log import RequestLog

LOGGED_DIGITS = 2


def charge_retry(
    parts: GatewayParts,
    log: RequestLog,
    service: str,
    now_s: float,
    kept_share: float = 0.0,
) -> bool:
    """Charge a retry at a service to the budget if it allows one.

    Parameters
    ----------
    parts : GatewayParts
    log : RequestLog
        Of the request that is to be sent again.
    service : str
    now_s : float
    kept_share : float
        Share of the maximum balance that must be left.

    Returns
    -------
    bool
        False if the request must not be sent again.
    """
    is_allowed = parts.state.try_retry(service, now_s, kept_share)
    outcome = "allowed" if is_allowed else "denied"
    parts.metrics.retries.add(1, {"service": service, "outcome": outcome})
    left = {
        name: round(value, LOGGED_DIGITS) if isinstance(value, float) else value
        for name, value in parts.state.retries.budget(service).dump().items()
    }
    log.write(
        "retry charged",
        outcome=outcome,
        service=service,
        gateways=parts.state.retries.processes,
        **left,
    )
    return is_allowed
