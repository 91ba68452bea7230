"""Placement of models on endpoints, and the order of rolling model changes.

All processes with the same configuration and the same live endpoints compute the same
result. Each failure domain is placed independently, so the loss or return of a domain
moves no model in another one.
"""

from collections.abc import Collection, Iterator

import attrs

from .configuration_set import Configuration
from .documents import Endpoint, Service
from .rendezvous import ranked

ROLE_SERVE = "serve"
MAX_CHANGING_FRACTION = 0.25


@attrs.frozen
class Desired:
    """Desired state of an endpoint.

    Parameters
    ----------
    model, version : str
        The model that the endpoint should have loaded.
    role : str
        The role that the endpoint should have.
    """

    model: str
    version: str
    role: str = ROLE_SERVE


def desired_for(
    configuration: Configuration, name: str, live: Collection[str]
) -> Desired | None:
    """Return the desired state of an endpoint.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    name : str
        Name of the endpoint.
    live : collection of str
        Endpoints whose agents are members. Leave out only endpoints that have been
        absent for a long time, since any change moves models between endpoints.

    Returns
    -------
    Desired or None
        None if the endpoint is not in the configuration or is assigned no model of
        its service; the endpoint is then left unchanged.
    """
    endpoint = configuration.endpoints.get(name)
    service = configuration.services.get(endpoint.service) if endpoint else None
    if endpoint is None or service is None or service.type != "model":
        return None
    model = endpoint.model or _placed_model(configuration, service, endpoint, live)
    for use in service.models:
        if use.name == model:
            return Desired(use.name, use.version)
    return None


def may_change_model(
    configuration: Configuration,
    name: str,
    live: Collection[str],
    converged: Collection[str],
) -> bool:
    """Return whether an endpoint may stop serving in order to change its model.

    Live endpoints of a service that name the same model, or none, form a group. At most
    `MAX_CHANGING_FRACTION` of a group changes at the same time, but at least one
    endpoint always may. Information about other endpoints arrives late, so occasionally
    one more changes.

    Parameters
    ----------
    configuration, name, live
        As for `desired_for`.
    converged : collection of str
        Endpoints that are known to be in their desired state.

    Returns
    -------
    bool
    """
    endpoint = configuration.endpoints[name]
    group = [
        other.name
        for other in configuration.endpoints_for_service(endpoint.service)
        if other.model == endpoint.model and (other.name == name or other.name in live)
    ]
    waiting = ranked(endpoint.service, group)
    unconverged = [
        other for other in waiting if other not in converged or other == name
    ]
    allowed = max(1, int(len(group) * MAX_CHANGING_FRACTION))
    return name in unconverged[:allowed]


def _placed_model(
    configuration: Configuration,
    service: Service,
    endpoint: Endpoint,
    live: Collection[str],
) -> str | None:
    free = [
        other.name
        for other in configuration.endpoints_for_service(service.name)
        if other.failure_domain == endpoint.failure_domain
        and not other.model
        and (other.name == endpoint.name or other.name in live)
    ]
    models = ranked(endpoint.failure_domain, {use.name for use in service.models})
    for model, assigned in _assign_endpoints(models, free):
        if assigned == endpoint.name:
            return model
    return None


def _assign_endpoints(models: list[str], free: list[str]) -> Iterator[tuple[str, str]]:
    """Assign endpoints round-robin: each model gets its best-ranked free one."""
    rankings = {model: ranked(model, free) for model in models}
    taken: set[str] = set()
    while models and len(taken) < len(free):
        for model in models:
            best = next((name for name in rankings[model] if name not in taken), None)
            if best is not None:
                taken.add(best)
                yield model, best
