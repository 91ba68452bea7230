"""Placement of long prompts: prefill split into parts on several endpoints.

An endpoint decodes between the prefills that are queued on it, so a part may only take
as long as the pause targets of the streams on that endpoint allow. To limit queueing of
long prefills, a prompt is split across as many endpoints as it needs to meet its
objective and no more, on those with the smallest prefill backlog.
"""

import math
import random
from collections.abc import Iterable, Iterator, Sequence

import attrs

from ..routes import EngineCosts
from .demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
    Placement,
    Ticket,
    first_kv_tokens,
    has_free_kv_cache,
    ticket_count,
)
from .memory_grants import usable_tokens
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

ARRIVALS_SHARE = 0.3
"""Fraction of the time until a prefill is due that no known part behind it may use."""

MIDDLE_SHARE = 0.35
"""A prompt whose prefill takes less than this fraction of its objective goes on
endpoints that decode streams, if its first event is expected within it there: endpoints
without streams are left to long prefills."""

MAX_CONSIDERED = 64
"""Number of endpoints that a placement chooses from: enough for all helpers of a few
prompts, and bounds the time of a placement in large fleets."""

TICKET_SLACK_TOKENS = 256
"""Added to each ticket, since engines allocate KV cache in blocks."""


@attrs.frozen
class FleetView:
    """What is known of the other gateways that place prompts at the same time.

    Parameters
    ----------
    gateways : int
        Number of gateways, including this one.
    without_updates : int
        Number of the others whose placements of long prompts are known from their
        reports only.
    """

    gateways: int
    without_updates: int

    @property
    def has_updates(self) -> bool:
        """Whether placements of any other gateway are known at once."""
        return self.without_updates < self.gateways - 1


@attrs.frozen(eq=False)
class _Candidate:
    """An endpoint that may prefill a part.

    Parameters
    ----------
    view : EndpointView
    backlog_ms : float
    largest_part_ms : float
        Longest part with which pause targets and due times are still met.
    has_capacity : bool
        Whether it may be the first endpoint.
    """

    view: EndpointView
    backlog_ms: float
    largest_part_ms: float
    has_capacity: bool


def _candidates(
    demand: Demand,
    views: Sequence[EndpointView],
    costs: EngineCosts,
    fleet: FleetView,
    rng: random.Random,
    now_s: float,
) -> list[_Candidate]:
    """Return the endpoints to choose from, those with the smallest backlog first."""
    needed_tokens = first_kv_tokens(demand, costs)
    largest_kv_tokens = usable_tokens(needed_tokens, costs) - needed_tokens
    has_updates = fleet.has_updates
    usable_share = 1 - ARRIVALS_SHARE if has_updates else 1.0
    ordered = []
    for view in _considered(views, rng):
        use = view.use
        if use.helps >= costs.max_running:
            continue
        backlog_ms = use.backlog_ms(now_s)
        order = (
            backlog_ms // BACKLOG_STEP_MS,
            has_updates and use.streams > 0,
            use.tight_streams,
            rng.random(),
        )
        candidate = _Candidate(
            view,
            backlog_ms,
            _largest_part_ms(view, backlog_ms, costs, usable_share, now_s),
            use.streams < costs.max_running and use.kv_tokens <= largest_kv_tokens,
        )
        ordered.append((order, candidate))
    ordered.sort(key=_order)
    return [candidate for _, candidate in ordered]


def _order(item: tuple[tuple[float, bool, int, float], _Candidate]) -> tuple:
    return item[0]


def _considered(
    views: Sequence[EndpointView], rng: random.Random
) -> Sequence[EndpointView]:
    """Draw some of the endpoints of a large fleet, idle ones first."""
    if len(views) <= MAX_CONSIDERED:
        return views
    idle: list[EndpointView] = []
    busy: list[EndpointView] = []
    for view in views:
        is_busy = view.use.streams or view.use.read_ms
        (busy if is_busy else idle).append(view)
    if len(idle) >= MAX_CONSIDERED:
        return rng.sample(idle, MAX_CONSIDERED)
    return idle + rng.sample(busy, MAX_CONSIDERED - len(idle))


def _largest_part_ms(
    view: EndpointView,
    backlog_ms: float,
    costs: EngineCosts,
    usable_share: float,
    now_s: float,
) -> float:
    """Return the longest part with which pause targets and due times are still met.

    A part delays all older prefills on the endpoint, so they share the time until the
    first of them is due. With updates, a part of this time is kept for what other
    gateways may place before they know of this part.
    """
    use = view.use
    left_ms = (use.due_s - now_s) * 1000 * usable_share
    slack_ms = (left_ms - backlog_ms) / view.slowness
    if not use.streams:
        return slack_ms
    return min(slack_ms, max_prefill_ms(use, costs, view.slowness) - backlog_ms)


def place_long(
    demand: Demand,
    views: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    fleet: FleetView,
    rng: random.Random,
    now_s: float,
) -> Placement:
    """Split a prefill across the endpoints with the smallest prefill backlog."""
    candidates = _candidates(demand, views, costs, fleet, rng, now_s)
    objective_ms = demand.objective_left_s * 1000
    deadline_ms = demand.deadline_left_s * 1000
    if fleet.has_updates and read_ms <= objective_ms * MIDDLE_SHARE:
        streaming = [
            attrs.evolve(
                one,
                largest_part_ms=min(
                    one.largest_part_ms, MAX_TIGHT_PART_MS - one.backlog_ms
                ),
            )
            for one in candidates
            if one.view.use.streams
        ]
        beside = _fewest_parts(
            demand, streaming, read_ms, costs, objective_ms * MIDDLE_SHARE
        )
        if beside is not None and beside.first_event_ms <= objective_ms * MIDDLE_SHARE:
            return beside
    misses_objective = min_first_event_ms(read_ms, costs) > objective_ms
    if not misses_objective:
        enough_ms = objective_ms * _objective_share(1 + fleet.without_updates)
        best = _fewest_parts(demand, candidates, read_ms, costs, enough_ms)
        if best is not None and best.first_event_ms <= objective_ms:
            return best
        if not demand.may_be_late:
            return Busy()
    late = _fewest_parts(
        demand, candidates, read_ms, costs, deadline_ms * DEADLINE_SHARE_IF_LATE
    )
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
    candidates: Sequence[_Candidate],
    read_ms: float,
    costs: EngineCosts,
    counts: Iterable[int],
) -> Iterator[Assignment]:
    """Yield the best split for each of these numbers of parts."""
    for parts in counts:
        part_ms = read_ms / parts
        eligible = [one for one in candidates if one.largest_part_ms >= part_ms]
        chosen = _choose_parts(eligible, parts)
        if chosen is None:
            continue
        tickets = _choose_tickets(demand, chosen[1:], costs)
        if tickets is None:
            continue
        # Only the part on the first endpoint queues: helpers run their parts before all
        # other prefills.
        yield Assignment(
            first=chosen[0].view.endpoint,
            helpers=tuple(one.view.endpoint for one in chosen[1:]),
            tickets=tickets,
            part_ms=part_ms,
            first_event_ms=chosen[0].backlog_ms + part_ms + 2 * costs.pass_ms,
            is_long=True,
        )


def _fewest_parts(
    demand: Demand,
    candidates: Sequence[_Candidate],
    read_ms: float,
    costs: EngineCosts,
    enough_ms: float,
) -> Assignment | None:
    """Choose the split with fewest parts within `enough_ms`, else the fastest."""
    most = min(MAX_HELPERS + 1, len(candidates))
    prefill_ms = enough_ms - 2 * costs.pass_ms
    # With fewer parts it takes longer than this even on idle endpoints.
    fewest = math.ceil(read_ms / prefill_ms) if prefill_ms > 0 else most + 1
    fastest: Assignment | None = None
    for split in _splits(demand, candidates, read_ms, costs, range(fewest, most + 1)):
        if split.first_event_ms <= enough_ms:
            return split
        if fastest is None or split.first_event_ms < fastest.first_event_ms:
            fastest = split
    fewer = range(1, min(fewest - 1, most) + 1)
    return min(
        [
            *_splits(demand, candidates, read_ms, costs, fewer),
            *([fastest] if fastest else []),
        ],
        key=lambda split: split.first_event_ms,
        default=None,
    )


def _choose_parts(
    eligible: Sequence[_Candidate], parts: int
) -> list[_Candidate] | None:
    """Choose the first endpoint by free capacity, the helpers by backlog."""
    if len(eligible) < parts:
        return None
    firsts = [one for one in eligible[: max(parts, 2)] if one.has_capacity] or [
        one for one in eligible if one.has_capacity
    ]
    if not firsts:
        return None
    first = min(
        firsts, key=lambda one: (one.view.use.tight_streams, one.view.use.kv_tokens)
    )
    return [first, *[one for one in eligible[:parts] if one is not first][: parts - 1]]


def _choose_tickets(
    demand: Demand, helpers: Sequence[_Candidate], costs: EngineCosts
) -> tuple[Ticket, ...] | None:
    """Split the KV cache of a prompt across the helpers with most of it free."""
    count = ticket_count(demand, costs)
    if not count:
        return ()
    tokens = math.ceil(demand.prompt_tokens / count) + TICKET_SLACK_TOKENS
    views = [one.view for one in helpers]
    eligible = [view for view in views if has_free_kv_cache(view, tokens, costs)]
    if len(eligible) < count:
        return None
    eligible.sort(key=lambda view: view.use.kv_tokens)
    return tuple(Ticket(view.endpoint, tokens) for view in eligible[:count])
