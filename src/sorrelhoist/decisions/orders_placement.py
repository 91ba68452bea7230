"""Which model each endpoint should have, and whose turn it is to change.

Every process that knows the same configuration and the same live endpoints
computes the same. Placement is done in each failure domain by itself, so that a
domain that goes out or comes back moves no model in another one.
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
    """What an endpoint should be.

    Parameters
    ----------
    model, version : str
        The model that it should have loaded.
    role : str
        The role that it should have.
    """

    model: str
    version: str
    role: str = ROLE_SERVE


def desired_for(
    configuration: Configuration, name: str, live: Collection[str]
) -> Desired | None:
    """Return what an endpoint should be.

    Parameters
    ----------
    configuration : Configuration
        The one in force.
    name : str
        Of the endpoint.
    live : collection of str
        Endpoints whose agents are members. Leave out only those that have been
        gone for long: a change moves models between endpoints.

    Returns
    -------
    Desired or None
        None if the endpoint is none of a model, or not in the configuration:
        then it is left as it is.
    """
    endpoint = configuration.endpoints.get(name)
    service = configuration.services.get(endpoint.service) if endpoint else None
    if endpoint is None or service is None or service.type != "model":
        return None
    model = endpoint.model or _placed(configuration, service, endpoint, live)
    for use in service.models:
        if use.name == model:
            return Desired(use.name, use.version)
    return None


def has_turn(
    configuration: Configuration,
    name: str,
    live: Collection[str],
    settled: Collection[str],
) -> bool:
    """Tell whether an endpoint may stop serving in order to change its model.

    Of the live endpoints of a service that are named for the same model, at most
    `MAX_CHANGING_FRACTION` change at once, and always at least one may. What is
    known of the others comes late, so that now and then one more may change.

    Parameters
    ----------
    configuration, name, live
        As for `desired_for`.
    settled : collection of str
        Endpoints that are known to be what they should be.

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
    unsettled = [other for other in waiting if other not in settled or other == name]
    turns = max(1, int(len(group) * MAX_CHANGING_FRACTION))
    return name in unsettled[:turns]


def _placed(
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
    for model, taker in _assignments(models, free):
        if taker == endpoint.name:
            return model
    return None


def _assignments(models: list[str], free: list[str]) -> Iterator[tuple[str, str]]:
    """Let the models take their best endpoints in turn."""
    rankings = {model: ranked(model, free) for model in models}
    taken: set[str] = set()
    while models and len(taken) < len(free):
        for model in models:
            best = next((name for name in rankings[model] if name not in taken), None)
            if best is not None:
                taken.add(best)
                yield model, best
