"""Capacity limits of an endpoint, from its documents and the settings."""

from ..decisions.configuration_set import Configuration
from ..decisions.endpoint_limits import EndpointLimits
from ..settings import Settings

DEFAULT_KV_CAPACITY_TOKENS = 100_000
DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
DEFAULT_LONG_PROMPT_TOKENS = 32_000


def endpoint_limits(configuration: Configuration, settings: Settings) -> EndpointLimits:
    """Return the capacity limits of the agent's endpoint.

    Parameters
    ----------
    configuration : Configuration
        An endpoint that it does not contain gets low default limits.
    settings : Settings
        Settings of an agent.

    Returns
    -------
    EndpointLimits
    """
    assert settings.endpoint is not None
    endpoint = configuration.endpoints.get(settings.endpoint.name)
    if endpoint is None:
        return _limits(settings, DEFAULT_LONG_PROMPT_TOKENS)
    model = configuration.model_for_endpoint(endpoint)
    return _limits(
        settings,
        model.long_prompt_tokens if model else DEFAULT_LONG_PROMPT_TOKENS,
        endpoint.kv_capacity_tokens,
        endpoint.max_running_requests,
        endpoint.cold_running_requests,
        endpoint.prefill_tokens_per_s,
    )


def _limits(
    settings: Settings,
    long_prompt_tokens: int,
    kv_capacity_tokens: int = 0,
    max_running_requests: int = 1,
    cold_running_requests: int = 1,
    prefill_tokens_per_s: float = 0.0,
) -> EndpointLimits:
    return EndpointLimits(
        kv_capacity_tokens=kv_capacity_tokens or DEFAULT_KV_CAPACITY_TOKENS,
        max_running_requests=max_running_requests,
        cold_running_requests=cold_running_requests,
        prefill_tokens_per_s=prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S,
        long_prompt_tokens=long_prompt_tokens,
        lease_s=settings.lease_s,
        attach_grace_s=settings.lease_grace_s,
    )
