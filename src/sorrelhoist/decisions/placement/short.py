"""Placement of short prompts: unsplit, on one of the first endpoints with capacity.

The mix of short and long prompts changes over time. Short prompts are therefore packed
on the first endpoints of an order that all gateways share, which leaves the others free
for long prefills; the boundary moves with each placement and needs no coordination.
Gateways act on stale load reports, so each draws at random among several free batch
slots, more of them the more gateways there are, and concurrent placements rarely
collide.

After a loss of all gateways their callers return within tenths of a second, before the
gateways have heard of each other's placements. Packing would send most of these prompts
to the same endpoint, so they are drawn from all until the first reports are there.

A short prompt goes where its prefill, with what waits there, fits into the pass of the
streams that run there, as long as enough endpoints have room in this way and can begin
it in time. Otherwise it is placed without regard to pauses: a wait would make it late.
"""

import functools
import itertools
import math
import random
from collections.abc import Iterable, Iterator, Sequence

import attrs

from ..rendezvous import ranked
from ..routes import EngineCosts
from .demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
    Placement,
    first_kv_tokens,
    free_slots,
    has_free_kv_cache,
)
from .pauses import breaks_pause

BACKLOG_PAUSE_SHARE = 0.3
"""First limit on the prefill backlog ahead of a short prompt, as a fraction of its
pause target: two short prompts for a target of 250 ms."""

BACKLOG_OBJECTIVE_SHARES = (0.25, 0.5, 1.0)
"""Successive limits on this backlog as fractions of the objective. The first bounds the
limit by the pause target, the second still meets the objective, and more is accepted
only if nothing else is left."""

IN_TIME_LIMITS = 2
"""Number of limits within which a prompt begins in time."""

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


@functools.lru_cache(maxsize=16)
def _shared_order(endpoint_ids: tuple[str, ...]) -> tuple[int, ...]:
    """Return the positions of the endpoints in the order that all gateways share."""
    by_id = {endpoint_id: number for number, endpoint_id in enumerate(endpoint_ids)}
    return tuple(by_id[endpoint_id] for endpoint_id in ranked("packing", by_id))


def _in_shared_order(views: Sequence[EndpointView]) -> list[EndpointView]:
    ids = tuple(view.endpoint.endpoint_id for view in views)
    return [views[number] for number in _shared_order(ids)]


def _backlog_limits_ms(demand: Demand) -> tuple[float, ...]:
    """Return the successive limits on the backlog ahead of a prompt.

    Examples
    --------
    >>> demand = Demand(prompt_tokens=5000, output_tokens=200, is_tight=True,
    ...     objective_left_s=0.3, deadline_left_s=10.0, pause_ms=250.0)
    >>> _backlog_limits_ms(demand)
    (75.0, 150.0, 300.0, inf)
    """
    few_ms, *more_ms = (
        demand.objective_ms * share for share in BACKLOG_OBJECTIVE_SHARES
    )
    few_ms = min(few_ms, demand.pause_ms * BACKLOG_PAUSE_SHARE)
    return (few_ms, *more_ms, math.inf)


@attrs.define(eq=False, repr=False)
class _Candidates:
    """Endpoints with capacity in the shared order, evaluated as far as they are needed.

    Mostly the first few suffice, and a placement may not cost more in a large fleet.
    """

    demand: Demand
    ordered: list[EndpointView]
    read_ms: float
    costs: EngineCosts
    now_s: float
    _backlogs_ms: dict[int, float] = attrs.field(factory=dict, init=False)
    _keeps_pauses: dict[int, bool] = attrs.field(factory=dict, init=False)

    def within(
        self, limit_ms: float, must_keep_pauses: bool
    ) -> Iterator[tuple[EndpointView, int]]:
        """Yield the endpoints within a backlog limit, with their free slots."""
        needed_tokens = first_kv_tokens(self.demand, self.costs)
        for number, view in enumerate(self.ordered):
            slots = free_slots(view, self.costs)
            if (
                slots > 0
                and has_free_kv_cache(view, needed_tokens, self.costs)
                and self._backlog_ms(number) <= limit_ms
                and not (must_keep_pauses and self._breaks_pause(number))
            ):
                yield view, slots

    def _backlog_ms(self, number: int) -> float:
        backlog_ms = self._backlogs_ms.get(number)
        if backlog_ms is None:
            view = self.ordered[number]
            backlog_ms = view.use.backlog_ms(self.now_s) * view.slowness
            self._backlogs_ms[number] = backlog_ms
        return backlog_ms

    def _breaks_pause(self, number: int) -> bool:
        keeps_pauses = self._keeps_pauses.get(number)
        if keeps_pauses is None:
            view = self.ordered[number]
            prefill_ms = view.use.backlog_ms(self.now_s) + self.read_ms
            keeps_pauses = not breaks_pause(
                view.use, prefill_ms, self.costs, view.slowness
            )
            self._keeps_pauses[number] = keeps_pauses
        return not keeps_pauses


def place_short(
    demand: Demand,
    views: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    gateways: int,
    rng: random.Random,
    now_s: float,
    is_packed: bool = True,
) -> Placement:
    """Draw one of the first free slots in the shared endpoint order, or of all."""
    open_slots = max(MIN_OPEN_SLOTS, gateways * OPEN_SLOTS_PER_GATEWAY)
    candidates = _Candidates(demand, _in_shared_order(views), read_ms, costs, now_s)
    limits_ms = _backlog_limits_ms(demand)
    searches = [
        *itertools.product([True], limits_ms[:IN_TIME_LIMITS], (SPARE_SLOTS, 0)),
        *itertools.product([False], limits_ms, (SPARE_SLOTS, 0)),
    ]
    for must_keep_pauses, limit_ms, spare in searches:
        open_views = _open_views(
            candidates.within(limit_ms, must_keep_pauses),
            spare,
            open_slots if is_packed else math.inf,
        )
        slots = sum(open_views.values())
        is_enough = slots >= open_slots * MIN_OPEN_SHARE
        if is_enough or (slots and math.isinf(limit_ms)):
            drawn = rng.choices(list(open_views), list(open_views.values()))[0]
            placed = _unsplit_assignment(drawn, read_ms, costs, now_s)
            return attrs.evolve(placed, choices=len(open_views))
    return Busy()


def _open_views(
    views: Iterable[tuple[EndpointView, int]], spare: int, open_slots: float
) -> dict[EndpointView, int]:
    """Return the first endpoints with enough free slots in total, with their slots."""
    open_views: dict[EndpointView, int] = {}
    total = 0
    for view, slots in views:
        if slots > spare:
            open_views[view] = slots - spare
            total += slots - spare
        if total >= open_slots:
            break
    return open_views


def _unsplit_assignment(
    view: EndpointView, read_ms: float, costs: EngineCosts, now_s: float
) -> Assignment:
    expected_ms = view.use.backlog_ms(now_s) + read_ms + 2 * costs.pass_ms
    return Assignment(
        first=view.endpoint,
        part_ms=read_ms,
        first_event_ms=expected_ms * view.slowness,
    )
