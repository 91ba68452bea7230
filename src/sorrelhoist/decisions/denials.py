"""Denials of the grant ledger, with the message and the remedy of each kind."""

from .grants import DenialKind, Denied

USE_ANOTHER_ENDPOINT = "Ask another endpoint."
RETRY_LATER = "Ask another endpoint, or come back after the time in Retry-After."

_TEXTS = {
    DenialKind.DOMAIN_OUT: (
        "The failure domain of the endpoint is taken out.",
        "Ask an endpoint in another failure domain.",
    ),
    DenialKind.LEAVING: ("The endpoint is leaving.", USE_ANOTHER_ENDPOINT),
    DenialKind.CONFIGURATION_STALE: (
        "The agent has not heard of the configuration for too long.",
        USE_ANOTHER_ENDPOINT,
    ),
    DenialKind.ENDPOINT_UNKNOWN: (
        "The endpoint does not answer its agent.",
        USE_ANOTHER_ENDPOINT,
    ),
    DenialKind.COLD: (
        "The endpoint is in a cold start and has all that it bears.",
        RETRY_LATER,
    ),
    DenialKind.OVERLOADED: (
        "The endpoint can't serve the request in time.",
        RETRY_LATER,
    ),
    DenialKind.TOO_LARGE: (
        "The request needs more memory than one endpoint gives a request.",
        "Reserve a group of endpoints.",
    ),
    DenialKind.DEADLINE: (
        "The request can't be whole by its deadline, even on an idle endpoint.",
        "Send it again with a later deadline.",
    ),
    DenialKind.ALREADY_RUNNING: (
        "The request runs on this endpoint.",
        "Attach to its stream.",
    ),
    DenialKind.UNKNOWN_GRANT: (
        "There is no such grant, or its lease has ended.",
        "Ask for a new grant.",
    ),
}


def denial(
    request_id: str,
    kind: DenialKind,
    *,
    not_run: bool = True,
    retry_after_s: float = 0.0,
) -> Denied:
    """Build the denial of a request.

    Examples
    --------
    >>> denial("r", DenialKind.LEAVING).remedy
    'Ask another endpoint.'
    """
    message, remedy = _TEXTS[kind]
    return Denied(
        request_id=request_id,
        kind=kind,
        message=message,
        remedy=remedy,
        not_run=not_run,
        retry_after_s=retry_after_s,
    )
