"""The work of a request at an endpoint, by the costs and the load that are known."""

import math

import attrs

from .placement.load_tracker import EndpointUse
from .placement.pauses import decode_pass_ms, is_tight
from .routes import EngineCosts, Route

MIN_NOMINAL_S = 0.001


@attrs.frozen
class Work:
    """Work of one request at an endpoint.

    Parameters
    ----------
    route : str
    nominal_s : float
        Time that it takes by the configuration, unmeasured.
    longest_s : float
        Time that it may take whatever others took; 0 if that isn't known.
    """

    route: str
    nominal_s: float
    longest_s: float = 0.0


@attrs.frozen(kw_only=True)
class SizedWork:
    """Work of one request of a declared size at an engine whose costs are known.

    Parameters
    ----------
    route, service : str
    first_event_s : float
        Time to the first event by its placement.
    passes : int
        Passes of the engine that its declared size takes. Most streams end earlier.
    pass_s : float
        Time of one pass by the costs and the load of the engine.
    read_s : float
        Time in which an idle engine reads its prompt by itself.
    is_tight : bool
        Whether its pause target keeps long prompts away from its engine, as far as
        placements can.
    is_stream : bool
        Whether its events show how long passes take.
    """

    route: str
    service: str
    first_event_s: float
    passes: int
    pass_s: float
    read_s: float = 0.0
    is_tight: bool = True
    is_stream: bool = True

    @property
    def nominal_s(self) -> float:
        """Time that its declared size takes by the costs, unmeasured."""
        return self.first_event_s + self.passes * self.pass_s


@attrs.frozen(kw_only=True)
class EngineLoad:
    """What is known about an engine when a stream is placed on it.

    Parameters
    ----------
    first_event_s : float
        Expected time to the first event.
    use : EndpointUse
        Load of the engine, with that of the stream.
    slowness : float
        Factor by which its passes take longer than by its costs.
    is_split : bool
        Whether other engines hold parts of the prompt while it decodes.
    """

    first_event_s: float
    use: EndpointUse
    slowness: float = 1.0
    is_split: bool = False


def nominal_work(route: Route) -> Work:
    """Return the work of a request without a declared size, by the configuration.

    The objective of a call is the time that it should take. That of a stream ends with
    its first event: only its timeout bounds the rest.

    Examples
    --------
    >>> from .routes import Repeat
    >>> call = Route(name="look", host="h", path_prefix="/", targets=(),
    ...              repeat=Repeat.REPEATABLE, objective_s=0.3)
    >>> nominal_work(call)
    Work(route='look', nominal_s=0.3, longest_s=0.0)
    """
    if route.is_stream:
        timeout_s = max(route.timeout_s, MIN_NOMINAL_S)
        return Work(route.name, timeout_s, longest_s=timeout_s)
    return Work(route.name, max(route.objective_s, MIN_NOMINAL_S))


def sized_work(
    route: Route,
    service: str,
    costs: EngineCosts,
    prompt_tokens: int,
    output_tokens: int,
    load: EngineLoad | None = None,
) -> SizedWork:
    """Return the work of a request by the costs of its engine.

    Parameters
    ----------
    route : Route
    service : str
    costs : EngineCosts
    prompt_tokens, output_tokens : int
    load : EngineLoad or None
        None before the placement: then it is the work at an engine that is idle.
    """
    read_s = costs.read_ms(prompt_tokens) / 1000
    passes = math.ceil(output_tokens / max(1, costs.tokens_per_event))
    if load is None:
        pass_ms, first_event_s = decode_pass_ms(1, prompt_tokens, costs), read_s
    else:
        pass_ms = decode_pass_ms(max(1, load.use.streams), load.use.kv_tokens, costs)
        if load.is_split:
            pass_ms += costs.tokens_per_event * costs.hop_ms
        pass_ms *= load.slowness
        first_event_s = max(read_s, load.first_event_s)
    return SizedWork(
        route=route.name,
        service=service,
        first_event_s=max(first_event_s, MIN_NOMINAL_S),
        passes=passes,
        pass_s=max(pass_ms / 1000, MIN_NOMINAL_S),
        read_s=read_s,
        is_tight=is_tight(route.pause_s, costs),
        is_stream=route.is_stream,
    )
