"""Model of an engine's pass, which is the pause between two events of its streams.

A pass takes one decode step for each token of an event, and the prefills that run
inside these steps. The load pattern is streams with short pause targets on engines that
prefill prompts of several gateways at the same time: each gateway may place only what
leaves the pass within the shortest target, together with what the others add before it
hears of it.
"""

import math

from ..routes import EngineCosts
from .load_tracker import EndpointUse

PAUSE_SHARE = 6 / 7
"""Fraction of a pause target that a pass may take. The rest absorbs the error of the
costs and the delays of the network. It follows from the limits that were measured for
targets of 250 and 600 ms: 120 and 420 ms of prefill in a pass of 45 ms."""

SHORT_PROMPT_TOKENS = 3_500
"""Length of a typical short prompt: the median, for a mean of 5,000 tokens."""

UNREPORTED_PROMPTS = 2
"""Short prompts that other gateways may place on an endpoint before the next report."""

TIGHT_PASSES = 9.0
"""Streams whose target is shorter than this number of passes without prefill are tight:
they decode first, and long prefills go elsewhere if they can."""


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
    """Return an upper bound on the prefill in one pass: one chunk in each step.

    It assumes the attention to a context that fills the KV cache.
    """
    if not costs.chunk_tokens:
        return float("inf")
    pairs = costs.chunk_tokens * costs.kv_capacity_tokens
    context_ms = pairs / 1e6 * costs.pair_ms_per_million
    chunk_ms = costs.read_ms(costs.chunk_tokens) + context_ms
    return costs.tokens_per_event * chunk_ms


def is_tight(pause_s: float, costs: EngineCosts | None) -> bool:
    """Return whether a pause target is short for the passes of an engine.

    Examples
    --------
    >>> costs = EngineCosts(max_running=8, kv_capacity_tokens=405_000,
    ...     tokens_per_event=34, step_ms=1.31, prefill_tokens_per_s=154_000.0,
    ...     pair_ms_per_million=0.162)
    >>> is_tight(0.25, costs), is_tight(0.6, costs), is_tight(0.25, None)
    (True, False, False)
    """
    return costs is not None and pause_s * 1000 < TIGHT_PASSES * costs.pass_ms


def max_prefill_ms(
    use: EndpointUse, costs: EngineCosts, slowness: float = 1.0
) -> float:
    """Return the longest prefill in a pass that meets all pause targets.

    Parameters
    ----------
    use : EndpointUse
        Load of the endpoint.
    costs : EngineCosts
    slowness : float
        Factor by which the engine takes longer than its costs.

    Returns
    -------
    float
        Prefill time by the costs; infinite for an endpoint without streams. It can be
        negative.

    Examples
    --------
    >>> costs = EngineCosts(max_running=8, kv_capacity_tokens=405_000,
    ...     tokens_per_event=34, step_ms=1.31, prefill_tokens_per_s=154_000.0,
    ...     pair_ms_per_million=0.162)
    >>> quick = EndpointUse(address="a", streams=3, pause_ms=250.0)
    >>> loose = EndpointUse(address="a", streams=3, pause_ms=600.0)
    >>> round(max_prefill_ms(quick, costs)), round(max_prefill_ms(loose, costs))
    (122, 422)
    """
    if not use.streams:
        return math.inf
    pause_ms = use.shortest_pause_ms / slowness
    return prefill_within_ms(pause_ms, use.streams, use.kv_tokens, costs)


def breaks_pause(
    use: EndpointUse, prefill_ms: float, costs: EngineCosts, slowness: float = 1.0
) -> bool:
    """Return whether a pass with some prefill exceeds a pause target of the streams."""
    if not use.streams:
        return False
    decode_ms = decode_pass_ms(use.streams, use.kv_tokens, costs)
    return (decode_ms + prefill_ms) * slowness > use.shortest_pause_ms


def prefill_within_ms(
    pause_ms: float,
    streams: int,
    kv_tokens: int,
    costs: EngineCosts,
) -> float:
    """Return the prefill that fits into a pass within a pause target."""
    room_ms = UNREPORTED_PROMPTS * costs.read_ms(SHORT_PROMPT_TOKENS)
    decode_ms = decode_pass_ms(streams, kv_tokens, costs)
    return pause_ms * PAUSE_SHARE - decode_ms - room_ms


def max_short_ms(pause_ms: float, costs: EngineCosts) -> float:
    """Return the longest prefill of a prompt that is placed like a short one.

    It fits beside a full batch of streams with the shortest pause target of a service,
    or beside tight streams if the service has none: longer prompts are split.
    """
    pause_ms = min(pause_ms, TIGHT_PASSES * costs.pass_ms)
    return prefill_within_ms(pause_ms, costs.max_running, 0, costs)
