"""Model of an engine's pass, which is the pause between two events of its streams.

A pass takes one decode step for each token of an event, and the prefills that run
inside these steps.
"""

from ..routes import EngineCosts


def decode_pass_ms(streams: int, kv_tokens: int, costs: EngineCosts) -> float:
    """Return the time of one pass without prefill.

    Parameters
    ----------
    streams : int
        Requests that the engine decodes.
    kv_tokens : int
        Their context, in tokens.
    costs : EngineCosts

    Examples
    --------
    >>> costs = EngineCosts(max_running=6, kv_capacity_tokens=382_500,
    ...     tokens_per_event=52, step_ms=0.925, prefill_tokens_per_s=256_000.0,
    ...     pair_ms_per_million=0.0917, per_stream_ms=0.00966,
    ...     context_ms_per_thousand=0.00254)
    >>> round(decode_pass_ms(0, 0, costs)), round(decode_pass_ms(6, 30_000, costs))
    (48, 55)
    """
    step_ms = (
        costs.step_ms
        + costs.per_stream_ms * streams
        + costs.context_ms_per_thousand * kv_tokens / 1000
    )
    return costs.tokens_per_event * step_ms


def max_pass_prefill_ms(costs: EngineCosts) -> float:
    """Return the longest prefill in one pass, as limited by the chunks of its steps."""
    if not costs.chunk_tokens:
        return float("inf")
    return costs.tokens_per_event * costs.read_ms(costs.chunk_tokens)
