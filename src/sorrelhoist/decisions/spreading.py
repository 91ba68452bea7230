"""Where a prompt is read: by one endpoint, or in parts by several.

Answers these load patterns:

- "The mix turns from quick to long and back". Short prompts are packed on the first
  endpoints of an order that all entries share, so that the others are free for long
  reads; the boundary moves with each placement and needs no vote.
- "A long read beside a quick stream". An endpoint decodes between the reads that
  wait there, so a part may only be as long as the pauses of its streams allow.
- "Long reads queue". A read is split over as many endpoints as it needs to be in time
  and no more, where the least reading is ahead.
- "Many gateways with stale views". Each gateway draws among several free places, more
  of them the more gateways there are, so that those that act at the same moment
  seldom meet.
"""

import enum
import itertools
import math
import random
from collections.abc import Sequence

import attrs

from .directory import Endpoint
from .load_book import EndpointUse
from .rendezvous import ranked
from .routes import EngineCosts

MAX_HELPERS = 16
"""The engines' limit."""

SHORT_PART_MS = 120.0
"""What a pass may read beside streams with a pause target of 250 ms: that target
less the pass itself and the reads of two more short prompts."""

LOOSE_PART_MS = 420.0
"""What a pass may read beside streams with a pause target of 600 ms."""

CROWDED_STEPS_MS = (75.0, 150.0, 300.0, math.inf)
"""Reading ahead of a short prompt that is put up with: two short prompts, what still
keeps an objective of 300 ms, and more only where nothing else is left."""

ENOUGH_SHARE = 0.25
"""Part of the open places that must be found before more reading is put up with:
with fewer, gateways that act at once would meet."""

SHARE_ALONE, SHARE_AMONG_MANY = 0.1, 0.35
"""A read is split until its first event is expected within this part of the time left:
wide where few gateways place work, so that reads end one after the other; less so where
many do, since each part may meet one that isn't known yet."""

MANY_GATEWAYS = 30
"""From here on the second share holds; between, they are interpolated."""

LATE_SHARE = 0.6
"""The same for a read that misses its objective, of the time until its deadline: it
holds up as few endpoints as it can."""

OPEN_PLACES_PER_GATEWAY = 2.0
"""Free places among which a gateway draws, for each gateway: about what all of them
place between two reports."""

SPARE_PLACES = 1
"""Left free on each endpoint while others have more: two gateways may draw the same
place, and the second request would wait for a stream to end."""

LEAST_OPEN_PLACES = 3
"""Also with few gateways, so that two don't always meet."""

BACKLOG_STEP_MS = 20.0
"""Smaller differences of backlog are within the errors of the estimates."""

LARGEST_TICKET_TOKENS = 300_000
"""Memory reserved on one endpoint for a prompt that is larger than one engine's: an
endpoint that decodes short prompts keeps room for them."""

TICKET_SLACK_TOKENS = 256
"""Added to each ticket, since engines give out memory in blocks."""

KV_SHARE = 0.97
"""Part of the memory that is given out; the rest covers estimates of lengths."""


@attrs.frozen(kw_only=True)
class Demand:
    """What one prompt needs.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
    is_tight : bool
        Whether its pauses must be short.
    objective_left_s : float
        Until the first event is late.
    deadline_left_s : float
        Until an answer is of no use.
    excluded : frozenset of str
        Ids of endpoints that failed it.
    """

    prompt_tokens: int
    output_tokens: int
    is_tight: bool
    objective_left_s: float
    deadline_left_s: float
    excluded: frozenset[str] = frozenset()

    @property
    def kv_tokens(self) -> int:
        """Memory at its end."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen(kw_only=True, eq=False)
class EndpointView:
    """One endpoint and what is known of its load.

    Parameters
    ----------
    endpoint : Endpoint
    use : EndpointUse
    is_avoided : bool
        Whether it failed requests lately.
    """

    endpoint: Endpoint
    use: EndpointUse
    is_avoided: bool = False


@attrs.frozen
class Ticket:
    """Memory to be reserved on an endpoint before a prompt is sent."""

    endpoint: Endpoint
    tokens: int


@attrs.frozen(kw_only=True)
class Spread:
    """A placement.

    Parameters
    ----------
    first : Endpoint
        Receives the request.
    helpers : tuple of Endpoint
        Read parts of its prompt.
    tickets : tuple of Ticket
        For a prompt larger than the first endpoint's memory; all of them helpers.
    part_ms : float
        The reading at each of them.
    first_event_ms : float
        Expected time to the first event.
    choices : int
        Endpoints among which the first one was drawn.
    """

    first: Endpoint
    helpers: tuple[Endpoint, ...] = ()
    tickets: tuple[Ticket, ...] = ()
    part_ms: float = 0.0
    first_event_ms: float = 0.0
    choices: int = 1


@attrs.frozen
class Busy:
    """No endpoint has room now."""


@attrs.frozen
class Impossible:
    """No endpoint can take it, whatever room it has."""

    reason: str


Placement = Spread | Busy | Impossible


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
    least_ms = read_ms / (MAX_HELPERS + 1) + costs.pass_ms
    if least_ms > demand.deadline_left_s * 1000:
        return Impossible("can't be read before its deadline")
    usable = [
        view for view in views if view.endpoint.endpoint_id not in demand.excluded
    ]
    if not usable:
        return Busy()
    sound = [view for view in usable if not view.is_avoided]
    if read_ms <= SHORT_PART_MS:
        ordered = _in_shared_order(sound or usable)
        open_places = max(LEAST_OPEN_PLACES, gateways * OPEN_PLACES_PER_GATEWAY)
        return _place_short(demand, ordered, read_ms, costs, open_places, rng, now_s)
    return _place_long(demand, sound or usable, read_ms, costs, gateways, rng, now_s)


def _in_shared_order(views: Sequence[EndpointView]) -> list[EndpointView]:
    by_id = {view.endpoint.endpoint_id: view for view in views}
    return [by_id[endpoint_id] for endpoint_id in ranked("packing", by_id)]


def first_kv_tokens(demand: Demand, costs: EngineCosts) -> int:
    """Return the memory at the endpoint that receives the request."""
    if ticket_count(demand, costs):
        return demand.output_tokens
    return demand.kv_tokens


def ticket_count(demand: Demand, costs: EngineCosts) -> int:
    """Return the number of tickets for a prompt; 0 if one engine can hold it."""
    if demand.kv_tokens <= costs.kv_capacity_tokens * KV_SHARE:
        return 0
    return math.ceil(demand.prompt_tokens / LARGEST_TICKET_TOKENS)


def _has_room(view: EndpointView, demand: Demand, costs: EngineCosts) -> bool:
    return _free_places(view, costs) > 0 and _has_memory(
        view, first_kv_tokens(demand, costs), costs
    )


def _free_places(view: EndpointView, costs: EngineCosts) -> int:
    return costs.max_running - view.use.streams


def _has_memory(view: EndpointView, tokens: int, costs: EngineCosts) -> bool:
    return view.use.kv_tokens + tokens <= costs.kv_capacity_tokens * KV_SHARE


def _place_short(
    demand: Demand,
    ordered: Sequence[EndpointView],
    read_ms: float,
    costs: EngineCosts,
    open_places: float,
    rng: random.Random,
    now_s: float,
) -> Placement:
    """Draw one of the first free places of the shared order."""
    with_room = [view for view in ordered if _has_room(view, demand, costs)]
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
        places = _free_places(view, costs) - spare
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


class _Regard(enum.Enum):
    """Whose pauses a long read is kept from breaking."""

    ALL = "all"
    TIGHT = "tight"
    NONE = "none"


def _largest_part_ms(view: EndpointView, regard: _Regard, now_s: float) -> float:
    """Return what may be read here without a pause that is too long."""
    match regard:
        case _Regard.ALL if view.use.streams:
            limit_ms = SHORT_PART_MS if view.use.tight_streams else LOOSE_PART_MS
        case _Regard.TIGHT if view.use.tight_streams:
            limit_ms = SHORT_PART_MS
        case _:
            return math.inf
    return limit_ms - view.use.backlog_ms(now_s)


def _place_long(
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
    late: Spread | None = None
    for regard in _Regard:
        splits = _splits(demand, by_backlog, read_ms, costs, regard, now_s)
        best = _fewest_parts(splits, objective_ms * share)
        if best is not None and best.first_event_ms <= objective_ms:
            return best
        late = late or _fewest_parts(splits, deadline_ms * LATE_SHARE)
    # A read that is late anyway breaks no pauses for it.
    if late is None or late.first_event_ms > deadline_ms:
        return Busy()
    return late


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
    regard: _Regard,
    now_s: float,
) -> list[Spread]:
    """Return the best split for each number of parts, fewest first."""
    splits: list[Spread] = []
    for parts in range(1, min(MAX_HELPERS + 1, len(by_backlog)) + 1):
        part_ms = read_ms / parts
        able = [
            view
            for view in by_backlog
            if _largest_part_ms(view, regard, now_s) >= part_ms
            and view.use.helps < costs.max_running
        ]
        found = _choose_parts(demand, able, parts, costs)
        if found is None:
            continue
        tickets = _choose_tickets(demand, found[1:], costs)
        if tickets is None:
            continue
        wait_ms = max(view.use.backlog_ms(now_s) for view in found)
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
    firsts = [view for view in nearest if _has_room(view, demand, costs)] or [
        view for view in able if _has_room(view, demand, costs)
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
    able = [view for view in helpers if _has_memory(view, tokens, costs)]
    if len(able) < count:
        return None
    able.sort(key=lambda view: view.use.kv_tokens)
    return tuple(Ticket(view.endpoint, tokens) for view in able[:count])
