"""Time until a waiting request can start, in due order over all gateways.

The load pattern is more prompts than the engines can prefill, or more streams than they
have slots for. The estimate is a lower bound: it takes all engines to be useful all the
time. So a request that can't start in time by the estimate can't start in time at all.
"""

from collections.abc import Iterable

import attrs

from ..routes import EngineCosts

MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class ServiceCapacity:
    """Capacity of the engines of a service, and what is placed on them.

    Parameters
    ----------
    engines : int
    prefill_share : float
        Fraction of its time that an engine can prefill while it decodes as well.
    placed_ms : float
        Prefill time that is placed and not complete.
    free_slots : int
        Requests that can join the batches now.
    slot_interval_s : float
        Observed time between two requests that end at this gateway.
    """

    engines: int
    prefill_share: float
    placed_ms: float = 0.0
    free_slots: int = 0
    slot_interval_s: float = 0.0

    @property
    def prefill_per_s(self) -> float:
        """Prefill time that all engines complete in a second, in ms."""
        return self.engines * self.prefill_share * MS_PER_S


@attrs.frozen(kw_only=True)
class Ahead:
    """What waits for placement before a request.

    Parameters
    ----------
    requests : float
    read_ms : float
    """

    requests: float = 0.0
    read_ms: float = 0.0


@attrs.frozen(kw_only=True)
class StartEstimate:
    """Shortest times until a request can start.

    Parameters
    ----------
    prefill_s : float
        Until the engines have prefilled what is ahead.
    slot_s : float
        Until a slot in a batch is free.
    """

    prefill_s: float = 0.0
    slot_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """Time until both are free."""
        return max(self.prefill_s, self.slot_s)


def prefill_share(costs: EngineCosts) -> float | None:
    """Return the fraction of time that a saturated engine prefills.

    An engine alternates between the decode steps of an event and the prompt tokens that
    it may prefill beside them.

    Returns
    -------
    float or None
        None if the configuration doesn't say how much is prefilled in a step.

    Examples
    --------
    >>> costs = EngineCosts(max_running=6, kv_capacity_tokens=382_500,
    ...     tokens_per_event=52, step_ms=0.925, prefill_tokens_per_s=256_000.0,
    ...     pair_ms_per_million=0.0917, chunk_tokens=2048)
    >>> round(prefill_share(costs), 2)
    0.9
    """
    if not costs.chunk_tokens:
        return None
    tokens = costs.chunk_tokens * costs.tokens_per_event
    prefill_ms = tokens / costs.prefill_tokens_per_s * MS_PER_S
    return prefill_ms / (prefill_ms + costs.pass_ms)


def fleet_ahead(
    due_s: float, own: Iterable[tuple[float, float]], others: Ahead, gateways: int
) -> Ahead:
    """Estimate what waits before a request at all gateways.

    Reports carry sums and no due times. The queues of the others are taken to be
    distributed like this one. The smaller this one is, the closer the estimate is to
    one half, by the weight of a mean queue.

    Parameters
    ----------
    due_s : float
        Due time of the request.
    own : iterable of tuple
        Due time and prefill time in ms of each request that waits here.
    others : Ahead
        All that waits elsewhere.
    gateways : int
        Number of gateways with this one.

    Examples
    --------
    >>> fleet_ahead(2.0, [(1.0, 50.0), (3.0, 50.0)], Ahead(read_ms=400.0), 5).read_ms
    250.0
    """
    waiting = list(own)
    before = [read_ms for other_due_s, read_ms in waiting if other_due_s <= due_s]
    before_ms, total_ms = sum(before), sum(read_ms for _, read_ms in waiting)
    mean_ms = others.read_ms / max(1, gateways - 1)
    weight_ms = total_ms + mean_ms
    share = (before_ms + mean_ms / 2) / weight_ms if weight_ms else 0.5
    return Ahead(
        requests=len(before) + others.requests * share,
        read_ms=before_ms + others.read_ms * share,
    )


def estimate_start(
    capacity: ServiceCapacity, ahead: Ahead, gateways: int
) -> StartEstimate:
    """Return the shortest wait of a request behind what is placed and what is ahead.

    Examples
    --------
    >>> capacity = ServiceCapacity(engines=10, prefill_share=0.8, placed_ms=4000.0)
    >>> estimate_start(capacity, Ahead(read_ms=12_000.0), gateways=5).prefill_s
    2.0
    """
    if not capacity.engines:
        return StartEstimate()
    unfinished_ms = capacity.placed_ms + ahead.read_ms
    slot_s = 0.0
    if capacity.free_slots < 1:
        # Each gateway sees its share of the ends.
        slot_s = (ahead.requests / max(1, gateways) + 1) * capacity.slot_interval_s
    return StartEstimate(
        prefill_s=unfinished_ms / capacity.prefill_per_s, slot_s=slot_s
    )
