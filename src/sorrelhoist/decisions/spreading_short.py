"""Where a short prompt is read: whole, on one of the first endpoints with room.

Answers "the mix turns from quick to long and back": short prompts are packed on the
first endpoints of an order that all gateways share, so that the others are free for
long reads; the boundary moves with each placement and needs no vote. And "many
gateways with stale views": each draws among several free places, more of them the
more gateways there are, so that those that act at the same moment seldom meet.
"""

import itertools
import math
import random
from collections.abc import Sequence

import attrs

from .rendezvous import ranked
from .routes import EngineCosts
from .spreading_demand import (
    Busy,
    Demand,
    EndpointView,
    Placement,
    Spread,
    free_places,
    has_room,
)

CROWDED_STEPS_MS = (75.0, 150.0, 300.0, math.inf)
"""Reading ahead of a short prompt that is put up with: two short prompts, what still
keeps an objective of 300 ms, and more only where nothing else is left."""

ENOUGH_SHARE = 0.25
"""Part of the open places that must be found before more reading is put up with:
with fewer, gateways that act at once would meet."""

OPEN_PLACES_PER_GATEWAY = 2.0
"""Free places among which a gateway draws, for each gateway: about what all of them
place between two reports."""

SPARE_PLACES = 1
"""Left free on each endpoint while others have more: two gateways may draw the same
place, and the second request would wait for a stream to end."""

LEAST_OPEN_PLACES = 3
"""Also with few gateways, so that two don't always meet."""


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
    """Draw one of the first free places of the shared order."""
    open_places = max(LEAST_OPEN_PLACES, gateways * OPEN_PLACES_PER_GATEWAY)
    ordered = _in_shared_order(views)
    with_room = [view for view in ordered if has_room(view, demand, costs)]
    if not with_room:
        return Busy()
    for crowded_ms, spare in itertools.product(CROWDED_STEPS_MS, (SPARE_PLACES, 0)):
        calm = [view for view in with_room if view.use.backlog_ms(now_s) <= crowded_ms]
        open_views = _open_views(calm, spare, open_places, costs)
        places = sum(open_views.values())
        is_enough = places >= open_places * ENOUGH_SHARE
        if is_enough or (places and math.isinf(crowded_ms)):
            drawn = rng.choices(list(open_views), list(open_views.values()))[0]
            placed = _short_spread(drawn, read_ms, costs, now_s)
            return attrs.evolve(placed, choices=len(open_views))
    return Busy()


def _open_views(
    views: Sequence[EndpointView], spare: int, open_places: float, costs: EngineCosts
) -> dict[EndpointView, int]:
    """Take endpoints in order until their free places are enough; return both."""
    found: dict[EndpointView, int] = {}
    for view in views:
        places = free_places(view, costs) - spare
        if places > 0:
            found[view] = places
        if sum(found.values()) >= open_places:
            break
    return found


def _short_spread(
    view: EndpointView, read_ms: float, costs: EngineCosts, now_s: float
) -> Spread:
    expected_ms = view.use.backlog_ms(now_s) + read_ms + 2 * costs.pass_ms
    return Spread(first=view.endpoint, part_ms=read_ms, first_event_ms=expected_ms)
