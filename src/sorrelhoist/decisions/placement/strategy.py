"""Placement of prompts: prefill on one endpoint, or split across several.

The load patterns that each strategy is designed for are described in `short`
and `long`.
"""

import random
from collections.abc import Sequence

from ..routes import EngineCosts
from .demand import Busy, Demand, EndpointView, Impossible, Placement
from .long import FleetView, min_first_event_ms, place_long
from .pauses import max_short_ms
from .short import place_short


def place_prompt(
    demand: Demand,
    views: Sequence[EndpointView],
    costs: EngineCosts,
    gateways: int,
    rng: random.Random,
    now_s: float,
    gateways_without_updates: int | None = None,
    is_packed: bool = True,
) -> Placement:
    """Choose the endpoints that prefill a prompt and decode its output.

    Parameters
    ----------
    demand : Demand
    views : sequence of EndpointView
        All usable endpoints of the service.
    costs : EngineCosts
    gateways : int
        Number of gateways that place work concurrently, including this one.
    rng : random.Random
    now_s : float
    gateways_without_updates : int or None
        Number of the other gateways whose placements of long prompts are known from
        their reports only; None if this holds for all.
    is_packed : bool
        Whether the loads of the other gateways are known, so that short prompts may be
        packed on few endpoints.

    Returns
    -------
    Assignment, Busy or Impossible
    """
    read_ms = costs.read_ms(demand.prompt_tokens)
    if min_first_event_ms(read_ms, costs) > demand.deadline_left_s * 1000:
        return Impossible("can't be read before its deadline")
    usable = [
        view for view in views if view.endpoint.endpoint_id not in demand.excluded
    ]
    if not usable:
        return Busy()
    healthy = [view for view in usable if not view.is_avoided]
    if read_ms <= max_short_ms(demand.service_pause_ms, costs):
        return place_short(
            demand,
            healthy or usable,
            read_ms,
            costs,
            gateways,
            rng,
            now_s,
            is_packed,
        )
    without_updates = (
        gateways - 1 if gateways_without_updates is None else gateways_without_updates
    )
    return place_long(
        demand,
        healthy or usable,
        read_ms,
        costs,
        FleetView(gateways, min(without_updates, gateways - 1)),
        rng,
        now_s,
    )
