"""What a prompt needs, what endpoints have left, and where a prompt goes."""

import math

import attrs

from .directory import Endpoint
from .load_book import EndpointUse, Use
from .routes import EngineCosts

LARGEST_TICKET_TOKENS = 300_000
"""Memory reserved on one endpoint for a prompt that is larger than one engine's: an
endpoint that decodes short prompts keeps room for them."""

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
    may_be_late : bool
        Whether it has waited long enough for a place where it is in time.
    excluded : frozenset of str
        Ids of endpoints that failed it.
    """

    prompt_tokens: int
    output_tokens: int
    is_tight: bool
    objective_left_s: float
    deadline_left_s: float
    may_be_late: bool = False
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


def has_room(view: EndpointView, demand: Demand, costs: EngineCosts) -> bool:
    """Tell whether an endpoint can receive a prompt now."""
    return free_places(view, costs) > 0 and has_memory(
        view, first_kv_tokens(demand, costs), costs
    )


def free_places(view: EndpointView, costs: EngineCosts) -> int:
    """Return the streams that an endpoint could still run."""
    return costs.max_running - view.use.streams


def has_memory(view: EndpointView, tokens: int, costs: EngineCosts) -> bool:
    """Tell whether an endpoint has memory for so many tokens."""
    return view.use.kv_tokens + tokens <= costs.kv_capacity_tokens * KV_SHARE


def uses_of(
    found: Spread, demand: Demand, costs: EngineCosts, now_s: float
) -> tuple[Use, ...]:
    """Return what a placement takes of each endpoint.

    Parameters
    ----------
    found : Spread
    demand : Demand
    costs : EngineCosts
    now_s : float

    Returns
    -------
    tuple of Use
        The first endpoint's before those of the helpers.
    """
    due_s = now_s + _due_left_s(found, demand)
    first = Use(
        address=found.first.address,
        read_ms=found.part_ms,
        kv_tokens=first_kv_tokens(demand, costs),
        is_tight=demand.is_tight,
        due_s=due_s,
    )
    held = {ticket.endpoint.address: ticket.tokens for ticket in found.tickets}
    helpers = (
        Use(
            address=helper.address,
            read_ms=found.part_ms,
            kv_tokens=held.get(helper.address, 0),
            is_stream=False,
            due_s=due_s,
        )
        for helper in found.helpers
    )
    return (first, *helpers)


def _due_left_s(found: Spread, demand: Demand) -> float:
    """Return the time until a read is late, or of no use if it will be late."""
    if found.first_event_ms <= demand.objective_left_s * 1000:
        return demand.objective_left_s
    return demand.deadline_left_s
