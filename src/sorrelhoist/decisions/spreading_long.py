"""Where a long prompt is read: in parts, by as many endpoints as it needs.

Answers "a long read beside a quick stream": an endpoint decodes between the reads
that wait there, so a part may only be as long as the pauses of its streams allow. And
"long reads queue": a read is split over as many endpoints as it needs to be in time
and no more, where the least reading is ahead.
"""

import math
import random
from collections.abc import Sequence

from .routes import EngineCosts
from .spreading_demand import (
    Busy,
    Demand,
    EndpointView,
    Placement,
    Spread,
    Ticket,
    has_memory,
    has_room,
    ticket_count,
)

MAX_HELPERS = 16
"""The engines' limit."""

SHORT_PART_MS = 120.0
"""What a pass may read beside streams with a pause target of 250 ms: that target
less the pass itself and the reads of two more short prompts."""

LOOSE_PART_MS = 420.0
"""What a pass may read beside streams with a pause target of 600 ms."""

SHARE_ALONE, SHARE_AMONG_MANY = 0.1, 0.35
"""A read is split until its first event is expected within this part of the time left:
wide where few gateways place work, so that reads end one after the other; less so where
many do, since each part may meet one that isn't known yet."""

MANY_GATEWAYS = 30
"""From here on the second share holds; between, they are interpolated."""

LATE_SHARE = 0.6
"""The same for a read that misses its objective, of the time until its deadline: it
holds up as few endpoints as it can."""

BACKLOG_STEP_MS = 20.0
"""Smaller differences of backlog are within the errors of the estimates."""

TICKET_SLACK_TOKENS = 256
"""Added to each ticket, since engines give out memory in blocks."""


def _largest_part_ms(view: EndpointView, now_s: float) -> float:
    """Return what may go first here and make no pause too long and no read late."""
    slack_ms = view.use.slack_ms(now_s)
    if not view.use.streams:
        return slack_ms
    limit_ms = SHORT_PART_MS if view.use.tight_streams else LOOSE_PART_MS
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
    """Split a read over the endpoints with the least reading ahead."""
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
    is_hopeless = least_ms(read_ms, costs) > objective_ms
    if not (demand.may_be_late or is_hopeless):
        return Busy()
    late = _fewest_parts(splits, deadline_ms * LATE_SHARE)
    if late is None or late.first_event_ms > deadline_ms:
        return Busy()
    return late


def least_ms(read_ms: float, costs: EngineCosts) -> float:
    """Return the time to the first event with all helpers and nothing ahead."""
    return read_ms / (MAX_HELPERS + 1) + costs.pass_ms


def _objective_share(gateways: int) -> float:
    """Interpolate between one gateway and many.

    Examples
    --------
    >>> _objective_share(1), _objective_share(300)
    (0.1, 0.35)
    """
    crowd = min(1.0, (gateways - 1) / (MANY_GATEWAYS - 1))
    return SHARE_ALONE + (SHARE_AMONG_MANY - SHARE_ALONE) * crowd


def _splits(
    demand: Demand,
    by_backlog: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    now_s: float,
) -> list[Spread]:
    """Return the best split for each number of parts, fewest first."""
    splits: list[Spread] = []
    for parts in range(1, min(MAX_HELPERS + 1, len(by_backlog)) + 1):
        part_ms = read_ms / parts
        able = [
            view
            for view in by_backlog
            if _largest_part_ms(view, now_s) >= part_ms
            and view.use.helps < costs.max_running
        ]
        found = _choose_parts(demand, able, parts, costs)
        if found is None:
            continue
        tickets = _choose_tickets(demand, found[1:], costs)
        if tickets is None:
            continue
        # Only the first endpoint's part waits: those of helpers go ahead of all.
        wait_ms = found[0].use.backlog_ms(now_s)
        split = Spread(
            first=found[0].endpoint,
            helpers=tuple(view.endpoint for view in found[1:]),
            tickets=tickets,
            part_ms=part_ms,
            first_event_ms=wait_ms + part_ms + 2 * costs.pass_ms,
        )
        splits.append(split)
    return splits


def _fewest_parts(splits: Sequence[Spread], enough_ms: float) -> Spread | None:
    """Choose the split with fewest parts that is soon enough, else the soonest."""
    for split in splits:
        if split.first_event_ms <= enough_ms:
            return split
    return min(splits, key=lambda split: split.first_event_ms, default=None)


def _choose_parts(
    demand: Demand, able: Sequence[EndpointView], parts: int, costs: EngineCosts
) -> list[EndpointView] | None:
    """Choose the first endpoint by room, the others by backlog."""
    if len(able) < parts:
        return None
    nearest = able[: max(parts, 2)]
    firsts = [view for view in nearest if has_room(view, demand, costs)] or [
        view for view in able if has_room(view, demand, costs)
    ]
    if not firsts:
        return None
    first = min(firsts, key=lambda view: (view.use.tight_streams, view.use.kv_tokens))
    helpers = [view for view in able if view is not first][: parts - 1]
    return [first, *helpers]


def _choose_tickets(
    demand: Demand, helpers: Sequence[EndpointView], costs: EngineCosts
) -> tuple[Ticket, ...] | None:
    """Spread a prompt's memory over the helpers that have most of it free."""
    count = ticket_count(demand, costs)
    if not count:
        return ()
    tokens = math.ceil(demand.prompt_tokens / count) + TICKET_SLACK_TOKENS
    able = [view for view in helpers if has_memory(view, tokens, costs)]
    if len(able) < count:
        return None
    able.sort(key=lambda view: view.use.kv_tokens)
    return tuple(Ticket(view.endpoint, tokens) for view in able[:count])
