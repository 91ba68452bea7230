"""Configuration of requests: routes, services, engine costs, workspaces and limits."""

import enum

import attrs


class Repeat(enum.Enum):
    """Whether a request that may have been executed can be sent again."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    RESUMABLE = "resumable"


@attrs.frozen
class Target:
    """A service that a route sends requests to, and its weight in the traffic split."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Handling of the requests for one host and path prefix.

    Parameters
    ----------
    name, host, path_prefix : str
    targets : tuple of Target
    repeat : Repeat
    is_stream : bool
        Whether answers are server-sent events.
    timeout_s : float
        Longest time that a caller waits for an answer.
    objective_s : float
        Latency objective of the answer, or of the first event of a stream.
    pause_s : float
        Target for the time between two events; infinite if there is none.
    max_endpoints : int
        Maximum number of endpoints that one request may be executed on.
    priority : int
        0 is the highest.
    is_public : bool
        Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    repeat: Repeat
    is_stream: bool = False
    timeout_s: float = 30.0
    objective_s: float = 1.0
    pause_s: float = float("inf")
    max_endpoints: int = 1
    priority: int = 0
    is_public: bool = False

    def choose_service(self, draw: float) -> str:
        """Choose a target at random by weight.

        Parameters
        ----------
        draw : float
            Uniform in [0, 1).

        Examples
        --------
        >>> targets = (Target("old", 9.0), Target("new", 1.0))
        >>> route = Route(name="r", host="h", path_prefix="/", targets=targets,
        ...               repeat=Repeat.ONCE)
        >>> route.choose_service(0.5), route.choose_service(0.95)
        ('old', 'new')
        """
        left = draw * sum(target.weight for target in self.targets)
        for target in self.targets:
            left -= target.weight
            if left < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen(kw_only=True)
class EngineCosts:
    """Cost model of a model engine of a service.

    Parameters
    ----------
    max_running : int
        Maximum batch size, in requests.
    kv_capacity_tokens : int
    tokens_per_event : int
        Decode steps between two prefills, and tokens in one event.
    step_ms : float
        Time of one decode step.
    prefill_tokens_per_s : float
    pair_ms_per_million : float
        Attention time per million pairs of a token and a token before it.
    hop_ms : float
        Added to each decode step while another engine holds a part of the prompt.
    per_stream_ms : float
        Added to each decode step for each request in the batch.
    context_ms_per_thousand : float
        Added to each decode step per 1,000 tokens of context of each request.
    chunk_tokens : int
        Maximum number of prompt tokens that are read in one decode step; 0 if unknown.
    """

    max_running: int
    kv_capacity_tokens: int
    tokens_per_event: int
    step_ms: float
    prefill_tokens_per_s: float
    pair_ms_per_million: float
    hop_ms: float = 0.0
    per_stream_ms: float = 0.0
    context_ms_per_thousand: float = 0.0
    chunk_tokens: int = 0

    def read_ms(self, prompt_tokens: int) -> float:
        """Return the prefill time of a prompt on a single engine, in ms.

        Examples
        --------
        >>> costs = EngineCosts(max_running=8, kv_capacity_tokens=405000,
        ...     tokens_per_event=34, step_ms=1.31, prefill_tokens_per_s=154000.0,
        ...     pair_ms_per_million=0.162)
        >>> round(costs.read_ms(45000))
        456
        """
        linear_ms = prompt_tokens / self.prefill_tokens_per_s * 1000
        pairs = prompt_tokens * prompt_tokens / 2
        return linear_ms + pairs / 1e6 * self.pair_ms_per_million

    @property
    def pass_ms(self) -> float:
        """Time of one engine pass of decode steps without prefill."""
        return self.tokens_per_event * self.step_ms


@attrs.frozen(kw_only=True)
class ServiceConfig:
    """Configuration of a service.

    Parameters
    ----------
    name, health_path : str
    max_connections : int
        Maximum number of connections of all callers together to one endpoint, which
        resets those beyond; 0 if it isn't known.
    cold_requests_per_s : float
        Rate limit of an endpoint during its cold start; 0 for no limit.
    engine : EngineCosts or None
        None for a service without a model engine.
    domain_delays_s : dict
        Delay of a message between two failure domains, by their names in both orders.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_requests_per_s: float = 0.0
    engine: EngineCosts | None = None
    domain_delays_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def places(self, capacity: int) -> int:
        """Return how many requests an endpoint with a capacity can have at once.

        Examples
        --------
        >>> ServiceConfig(name="a", max_connections=20).places(64)
        20
        >>> ServiceConfig(name="a").places(64)
        64
        """
        return min(capacity, self.max_connections or capacity)


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and time-outs for requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Workspace:
    """The workspace that an API key belongs to."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
    routes : dict
        Routes by host and path prefix.
    services : dict
        Services by name.
    workspaces : dict
        Workspaces by API key; None if no keys are required.
    limits : CallerLimits
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, ServiceConfig]
    workspaces: dict[str, Workspace] | None = None
    limits: CallerLimits = CallerLimits()

    def shortest_pauses_ms(self) -> dict[str, float]:
        """Return the shortest pause target of each service that has one."""
        shortest_ms: dict[str, float] = {}
        for route in self.routes.values():
            if route.pause_s == float("inf"):
                continue
            for target in route.targets:
                known_ms = shortest_ms.get(target.service, float("inf"))
                shortest_ms[target.service] = min(known_ms, route.pause_s * 1000)
        return shortest_ms

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path of the request, with or without a query.

        Returns
        -------
        Route or None
        """
        host = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        end = prefix.rfind("/")
        while end >= 0:
            route = self.routes.get((host, prefix[: end + 1]))
            if route is not None:
                return route
            end = prefix.rfind("/", 0, end)
        return None
