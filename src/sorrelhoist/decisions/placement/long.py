"""Placement of long prompts: prefill split into parts on several endpoints.

An endpoint decodes between the prefills that are queued on it, so a part may only take
as long as the pause targets of the streams on that endpoint allow. To limit queueing of
long prefills, a prompt is split across as many endpoints as it needs to meet its
objective and no more, on those with the smallest prefill backlog.
"""

import math
import random
from collections.abc import Sequence

from ..routes import EngineCosts
from .demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
    Placement,
    Ticket,
    has_capacity,
    has_free_kv_cache,
    ticket_count,
)
from .pauses import max_prefill_ms

MAX_HELPERS = 16
"""Maximum number of helpers per request that engines support."""

MAX_TIGHT_PART_MS, MAX_LOOSE_PART_MS = 120.0, 420.0
"""Longest prefills in one pass that were measured beside streams with pause targets of
250 and 600 ms, on engines that prefill 154 tokens per ms. They are the reference of the
model in `pauses`, which decides."""

OBJECTIVE_SHARE_ONE_GATEWAY, OBJECTIVE_SHARE_MANY_GATEWAYS = 0.1, 0.35
"""A prefill is split until its first event is expected within this fraction of the time
left. With few gateways the split is wide, so that prefills finish one after another.
With many it is narrower, since each part may collide with one that is not known here
yet."""

MANY_GATEWAYS = 30
"""Number of gateways from which the second fraction applies; it is interpolated
below."""

DEADLINE_SHARE_IF_LATE = 0.6
"""The corresponding fraction of the time until the deadline, for a prefill that misses
its objective: it is split less, to occupy as few endpoints as possible."""

BACKLOG_STEP_MS = 20.0
"""Backlogs are compared in steps of this size; smaller differences are within the error
of the estimates."""

TICKET_SLACK_TOKENS = 256
"""Added to each ticket, since engines allocate KV cache in blocks."""


def _largest_part_ms(view: EndpointView, costs: EngineCosts, now_s: float) -> float:
    """Return the longest part with which pause targets and due times are still met."""
    slack_ms = view.use.slack_ms(now_s) / view.slowness
    if not view.use.streams:
        return slack_ms
    limit_ms = max_prefill_ms(view.use, costs, view.slowness)
    return min(slack_ms, limit_ms - view.use.backlog_ms(now_s))


def place_long(
    demand: Demand,
    views: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    gateways: int,
    rng: random.Random,
    now_s: float,
) -> Placement:
    """Split a prefill across the endpoints with the smallest prefill backlog."""
    by_backlog = sorted(
        views,
        key=lambda view: (
            view.use.backlog_ms(now_s) // BACKLOG_STEP_MS,
            view.use.tight_streams,
            rng.random(),
        ),
    )
    share = _objective_share(gateways)
    objective_ms = demand.objective_left_s * 1000
    deadline_ms = demand.deadline_left_s * 1000
    splits = _splits(demand, by_backlog, read_ms, costs, now_s)
    best = _fewest_parts(splits, objective_ms * share)
    if best is not None and best.first_event_ms <= objective_ms:
        return best
    is_hopeless = min_first_event_ms(read_ms, costs) > objective_ms
    if not (demand.may_be_late or is_hopeless):
        return Busy()
    late = _fewest_parts(splits, deadline_ms * DEADLINE_SHARE_IF_LATE)
    if late is None or late.first_event_ms > deadline_ms:
        return Busy()
    return late


def min_first_event_ms(read_ms: float, costs: EngineCosts) -> float:
    """Return the time to the first event with all helpers and no backlog."""
    return read_ms / (MAX_HELPERS + 1) + costs.pass_ms


def _objective_share(gateways: int) -> float:
    """Interpolate the fraction of the objective between one gateway and many.

    Examples
    --------
    >>> _objective_share(1), _objective_share(300)
    (0.1, 0.35)
    """
    weight = min(1.0, (gateways - 1) / (MANY_GATEWAYS - 1))
    return (
        OBJECTIVE_SHARE_ONE_GATEWAY
        + (OBJECTIVE_SHARE_MANY_GATEWAYS - OBJECTIVE_SHARE_ONE_GATEWAY) * weight
    )


def _splits(
    demand: Demand,
    by_backlog: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    now_s: float,
) -> list[Assignment]:
    """Return the best split for each number of parts, fewest first."""
    splits: list[Assignment] = []
    largest_ms = {view: _largest_part_ms(view, costs, now_s) for view in by_backlog}
    for parts in range(1, min(MAX_HELPERS + 1, len(by_backlog)) + 1):
        part_ms = read_ms / parts
        eligible = [
            view
            for view in by_backlog
            if largest_ms[view] >= part_ms and view.use.helps < costs.max_running
        ]
        chosen = _choose_parts(demand, eligible, parts, costs)
        if chosen is None:
            continue
        tickets = _choose_tickets(demand, chosen[1:], costs)
        if tickets is None:
            continue
        # Only the part on the first endpoint queues: helpers run their parts before all
        # other prefills.
        wait_ms = chosen[0].use.backlog_ms(now_s)
        split = Assignment(
            first=chosen[0].endpoint,
            helpers=tuple(view.endpoint for view in chosen[1:]),
            tickets=tickets,
            part_ms=part_ms,
            first_event_ms=wait_ms + part_ms + 2 * costs.pass_ms,
        )
        splits.append(split)
    return splits


def _fewest_parts(splits: Sequence[Assignment], enough_ms: float) -> Assignment | None:
    """Choose the split with fewest parts within `enough_ms`, else the fastest."""
    for split in splits:
        if split.first_event_ms <= enough_ms:
            return split
    return min(splits, key=lambda split: split.first_event_ms, default=None)


def _choose_parts(
    demand: Demand, eligible: Sequence[EndpointView], parts: int, costs: EngineCosts
) -> list[EndpointView] | None:
    """Choose the first endpoint by free capacity, the helpers by backlog."""
    if len(eligible) < parts:
        return None
    least_loaded = eligible[: max(parts, 2)]
    firsts = [view for view in least_loaded if has_capacity(view, demand, costs)] or [
        view for view in eligible if has_capacity(view, demand, costs)
    ]
    if not firsts:
        return None
    first = min(firsts, key=lambda view: (view.use.tight_streams, view.use.kv_tokens))
    helpers = [view for view in eligible if view is not first][: parts - 1]
    return [first, *helpers]


def _choose_tickets(
    demand: Demand, helpers: Sequence[EndpointView], costs: EngineCosts
) -> tuple[Ticket, ...] | None:
    """Split the KV cache of a prompt across the helpers with most of it free."""
    count = ticket_count(demand, costs)
    if not count:
        return ()
    tokens = math.ceil(demand.prompt_tokens / count) + TICKET_SLACK_TOKENS
    eligible = [view for view in helpers if has_free_kv_cache(view, tokens, costs)]
    if len(eligible) < count:
        return None
    eligible.sort(key=lambda view: view.use.kv_tokens)
    return tuple(Ticket(view.endpoint, tokens) for view in eligible[:count])
