"""Where a prompt is read: by one endpoint, or in parts by several.

The load patterns that this answers stand at `spreading_short` and `spreading_long`.
"""

import random
from collections.abc import Sequence

from .routes import EngineCosts
from .spreading_demand import Busy, Demand, EndpointView, Impossible, Placement
from .spreading_long import SHORT_PART_MS, least_ms, place_long
from .spreading_short import place_short


def spread(
    demand: Demand,
    views: Sequence[EndpointView],
    costs: EngineCosts,
    gateways: int,
    rng: random.Random,
    now_s: float,
) -> Placement:
    """Choose where a prompt is read.

    Parameters
    ----------
    demand : Demand
    views : sequence of EndpointView
        Of all usable endpoints of the service.
    costs : EngineCosts
    gateways : int
        How many place work at the same time, this one included.
    rng : random.Random
    now_s : float

    Returns
    -------
    Spread, Busy or Impossible
    """
    read_ms = costs.read_ms(demand.prompt_tokens)
    if least_ms(read_ms, costs) > demand.deadline_left_s * 1000:
        return Impossible("can't be read before its deadline")
    usable = [
        view for view in views if view.endpoint.endpoint_id not in demand.excluded
    ]
    if not usable:
        return Busy()
    sound = [view for view in usable if not view.is_avoided]
    if read_ms <= SHORT_PART_MS:
        return place_short(
            demand, sound or usable, read_ms, costs, gateways, rng, now_s
        )
    return place_long(demand, sound or usable, read_ms, costs, gateways, rng, now_s)
