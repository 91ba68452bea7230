"""Placement of short prompts: unsplit, on one of the first endpoints with capacity.

The mix of short and long prompts changes over time. Short prompts are therefore packed
on the first endpoints of an order that all gateways share, which leaves the others free
for long prefills; the boundary moves with each placement and needs no coordination.
Gateways act on stale load reports, so each draws at random among several free batch
slots, more of them the more gateways there are, and concurrent placements rarely
collide.
"""

import itertools
import math
import random
from collections.abc import Sequence

import attrs

from ..rendezvous import ranked
from ..routes import EngineCosts
from .demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
    Placement,
    free_slots,
    has_capacity,
)

BACKLOG_LIMITS_MS = (75.0, 150.0, 300.0, math.inf)
"""Successive limits on the prefill backlog ahead of a short prompt: two short prompts,
what still meets an objective of 300 ms, and more only if nothing else is left."""

MIN_OPEN_SHARE = 0.25
"""Fraction of the wanted open slots that must be found within a backlog limit.
Otherwise the next limit is tried, since with fewer slots concurrent gateways would
choose the same endpoint."""

OPEN_SLOTS_PER_GATEWAY = 2.0
"""Free slots among which a gateway draws, per gateway: about the number of placements
that all of them make between two load reports."""

SPARE_SLOTS = 1
"""Slots left free on each endpoint while others have more: two gateways may draw the
same slot, and the second request would queue until a stream ends."""

MIN_OPEN_SLOTS = 3
"""Lower bound on the slots to draw from, so that two gateways do not always choose the
same slot when there are few gateways."""


def _in_shared_order(views: Sequence[EndpointView]) -> list[EndpointView]:
    by_id = {view.endpoint.endpoint_id: view for view in views}
    return [by_id[endpoint_id] for endpoint_id in ranked("packing", by_id)]


def place_short(
    demand: Demand,
    views: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    gateways: int,
    rng: random.Random,
    now_s: float,
) -> Placement:
    """Draw one of the first free slots in the shared endpoint order."""
    open_slots = max(MIN_OPEN_SLOTS, gateways * OPEN_SLOTS_PER_GATEWAY)
    ordered = _in_shared_order(views)
    with_capacity = [view for view in ordered if has_capacity(view, demand, costs)]
    if not with_capacity:
        return Busy()
    for limit_ms, spare in itertools.product(BACKLOG_LIMITS_MS, (SPARE_SLOTS, 0)):
        within_limit = [
            view for view in with_capacity if view.use.backlog_ms(now_s) <= limit_ms
        ]
        open_views = _open_views(within_limit, spare, open_slots, costs)
        slots = sum(open_views.values())
        is_enough = slots >= open_slots * MIN_OPEN_SHARE
        if is_enough or (slots and math.isinf(limit_ms)):
            drawn = rng.choices(list(open_views), list(open_views.values()))[0]
            placed = _unsplit_assignment(drawn, read_ms, costs, now_s)
            return attrs.evolve(placed, choices=len(open_views))
    return Busy()


def _open_views(
    views: Sequence[EndpointView], spare: int, open_slots: float, costs: EngineCosts
) -> dict[EndpointView, int]:
    """Return the first endpoints with enough free slots in total, with their slots."""
    open_views: dict[EndpointView, int] = {}
    for view in views:
        slots = free_slots(view, costs) - spare
        if slots > 0:
            open_views[view] = slots
        if sum(open_views.values()) >= open_slots:
            break
    return open_views


def _unsplit_assignment(
    view: EndpointView, read_ms: float, costs: EngineCosts, now_s: float
) -> Assignment:
    expected_ms = view.use.backlog_ms(now_s) + read_ms + 2 * costs.pass_ms
    return Assignment(first=view.endpoint, part_ms=read_ms, first_event_ms=expected_ms)
