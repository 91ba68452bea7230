"""Inputs and results of placement: demand, endpoint load, assignment, capacity."""

import math

import attrs

from ..directory import Endpoint
from ..routes import EngineCosts
from .load_tracker import ASSUMED_TIGHT_PAUSE_MS, EndpointUse, RequestUse

MAX_TICKET_KV_SHARE = 0.75
"""Fraction of the KV cache of an endpoint that may be reserved for a part of a prompt
that exceeds the KV cache of one engine. The rest serves the short prompts that the
endpoint decodes."""

MAX_KV_UTILISATION = 0.97
"""Fraction of the KV cache that is allocated; the rest absorbs errors in the estimated
lengths."""


@attrs.frozen(kw_only=True)
class Demand:
    """Resources and time limits of one prompt.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
    is_tight : bool
        Whether the stream has a short target for the pause between two events.
    pause_ms : float
        This target; infinite if there is none.
    objective_s : float or None
        The whole objective; None if none of it has passed.
    service_pause_ms : float
        Shortest target of all streams of the service.
    objective_left_s : float
        Time until the first event misses its latency objective.
    deadline_left_s : float
        Time until the deadline, after which an answer is useless.
    may_be_late : bool
        Whether it has queued so long that it may now be placed where it misses its
        objective.
    excluded : frozenset of str
        Ids of endpoints that already failed this request.
    """

    prompt_tokens: int
    output_tokens: int
    is_tight: bool
    objective_left_s: float
    deadline_left_s: float
    may_be_late: bool = False
    excluded: frozenset[str] = frozenset()
    pause_ms: float = float("inf")
    objective_s: float | None = None
    service_pause_ms: float = ASSUMED_TIGHT_PAUSE_MS

    @property
    def objective_ms(self) -> float:
        """The whole objective for the first event, from the arrival on."""
        if self.objective_s is None:
            return self.objective_left_s * 1000
        return self.objective_s * 1000

    @property
    def kv_tokens(self) -> int:
        """KV cache size when the output is complete."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen(kw_only=True, eq=False)
class EndpointView:
    """One endpoint and its known load.

    Parameters
    ----------
    endpoint : Endpoint
    use : EndpointUse
    is_avoided : bool
        Whether it failed requests recently.
    slowness : float
        Factor by which its passes take longer than by the cost model.
    """

    endpoint: Endpoint
    use: EndpointUse
    is_avoided: bool = False
    slowness: float = 1.0


@attrs.frozen
class Ticket:
    """KV cache to reserve on an endpoint before a prompt is sent."""

    endpoint: Endpoint
    tokens: int


@attrs.frozen(kw_only=True)
class Assignment:
    """The endpoints chosen for a request.

    Parameters
    ----------
    first : Endpoint
        Receives the request and decodes its output.
    helpers : tuple of Endpoint
        Prefill the other parts of the prompt.
    tickets : tuple of Ticket
        Reservations on helpers, for a prompt that exceeds the KV cache of the first
        endpoint.
    part_ms : float
        Prefill time on each of these endpoints.
    first_event_ms : float
        Expected time to the first event.
    choices : int
        Number of endpoints among which the first one was drawn.
    is_long : bool
        Whether the prompt was too long to be placed as a short one.
    locality : str or None
        Why it is inside or outside of the failure domain; None if that wasn't decided.
    """

    first: Endpoint
    helpers: tuple[Endpoint, ...] = ()
    tickets: tuple[Ticket, ...] = ()
    part_ms: float = 0.0
    first_event_ms: float = 0.0
    choices: int = 1
    is_long: bool = False
    locality: str | None = None


@attrs.frozen
class Busy:
    """No endpoint has capacity now."""

    reason: str = "no endpoint has room"


@attrs.frozen
class Impossible:
    """No endpoint can serve the request, however much capacity is free."""

    reason: str


Placement = Assignment | Busy | Impossible


def first_kv_tokens(demand: Demand, costs: EngineCosts) -> int:
    """Return the KV cache needed on the endpoint that receives the request."""
    if ticket_count(demand, costs):
        return demand.output_tokens
    return demand.kv_tokens


def ticket_count(demand: Demand, costs: EngineCosts) -> int:
    """Return the number of tickets for a prompt; 0 if one engine can hold it."""
    if demand.kv_tokens <= costs.kv_capacity_tokens * MAX_KV_UTILISATION:
        return 0
    max_ticket_tokens = costs.kv_capacity_tokens * MAX_TICKET_KV_SHARE
    return math.ceil(demand.prompt_tokens / max_ticket_tokens)


def has_capacity(view: EndpointView, demand: Demand, costs: EngineCosts) -> bool:
    """Return whether an endpoint has a batch slot and KV cache for a prompt now."""
    return free_slots(view, costs) > 0 and has_free_kv_cache(
        view, first_kv_tokens(demand, costs), costs
    )


def free_slots(view: EndpointView, costs: EngineCosts) -> int:
    """Return the number of free batch slots of an endpoint."""
    return costs.max_running - view.use.streams


def has_free_kv_cache(view: EndpointView, tokens: int, costs: EngineCosts) -> bool:
    """Return whether an endpoint has free KV cache for a number of tokens."""
    return view.use.kv_tokens + tokens <= costs.kv_capacity_tokens * MAX_KV_UTILISATION


def request_uses(
    assignment: Assignment, demand: Demand, costs: EngineCosts, now_s: float
) -> tuple[RequestUse, ...]:
    """Return the resources that an assignment uses on each endpoint.

    Parameters
    ----------
    assignment : Assignment
    demand : Demand
    costs : EngineCosts
    now_s : float

    Returns
    -------
    tuple of RequestUse
        The use of the first endpoint, then those of the helpers.
    """
    due_s = now_s + _due_left_s(assignment, demand)
    first = RequestUse(
        address=assignment.first.address,
        read_ms=assignment.part_ms,
        kv_tokens=first_kv_tokens(demand, costs),
        is_tight=demand.is_tight,
        pause_ms=demand.pause_ms,
        due_s=due_s,
    )
    held = {ticket.endpoint.address: ticket.tokens for ticket in assignment.tickets}
    helpers = (
        RequestUse(
            address=helper.address,
            read_ms=assignment.part_ms,
            kv_tokens=held.get(helper.address, 0),
            is_stream=False,
            due_s=due_s,
        )
        for helper in assignment.helpers
    )
    return (first, *helpers)


def _due_left_s(assignment: Assignment, demand: Demand) -> float:
    """Return the time left to the objective, or to the deadline if that is missed."""
    if assignment.first_event_ms <= demand.objective_left_s * 1000:
        return demand.objective_left_s
    return demand.deadline_left_s
