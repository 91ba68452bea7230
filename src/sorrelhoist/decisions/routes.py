"""What the operators' configuration says of requests: routes, services, keys."""

import enum

import attrs


class Repeat(enum.Enum):
    """What may be done with a request that may have run."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    RESUMABLE = "resumable"


@attrs.frozen
class Target:
    """A service that a route leads to, and its share of the requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """How requests of one host and path prefix are handled.

    Parameters
    ----------
    name, host, path_prefix : str
    targets : tuple of Target
    repeat : Repeat
    is_stream : bool
        Whether answers are server-sent events.
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Target for the answer, or for the first event of a stream.
    pause_s : float
        Target for the time between two events; infinite without one.
    max_endpoints : int
        Endpoints that one request may run on.
    priority : int
        0 is the highest.
    is_public : bool
        Whether no key is needed.
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
        """Pick a target by weight.

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
    """What work costs on a model engine of a service.

    Parameters
    ----------
    max_running : int
        Requests in one batch.
    kv_capacity_tokens : int
    tokens_per_event : int
        Decode steps between two reads of prompts, and tokens of one event.
    step_ms : float
        One decode step.
    prefill_tokens_per_s : float
    pair_ms_per_million : float
        Attention between a token and each token before it.
    hop_ms : float
        Added to each step while another engine holds a part of the prompt.
    """

    max_running: int
    kv_capacity_tokens: int
    tokens_per_event: int
    step_ms: float
    prefill_tokens_per_s: float
    pair_ms_per_million: float
    hop_ms: float = 0.0

    def read_ms(self, prompt_tokens: int) -> float:
        """Return the time in which one engine alone reads a prompt.

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
        """Time of one pass of an engine that decodes and reads nothing."""
        return self.tokens_per_event * self.step_ms


@attrs.frozen(kw_only=True)
class ServicePlan:
    """What is declared of a service.

    Parameters
    ----------
    name, health_path : str
    max_connections : int
        Of all callers to one endpoint together.
    cold_requests_per_s : float
        What an endpoint in a cold start bears; 0 for no limit.
    engine : EngineCosts or None
        None for a plain service.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_requests_per_s: float = 0.0
    engine: EngineCosts | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What callers may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Workspace:
    """The holder of a key."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
    routes : dict
        By host and path prefix.
    services : dict
        By name.
    workspaces : dict
        By key; None when no keys are asked for.
    limits : CallerLimits
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, ServicePlan]
    workspaces: dict[str, Workspace] | None = None
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            As in the request, with or without a port.
        path : str
            With or without a query.

        Returns
        -------
        Route or None
        """
        host = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        end = prefix.rfind("/")
        while end >= 0:
            found = self.routes.get((host, prefix[: end + 1]))
            if found is not None:
                return found
            end = prefix.rfind("/", 0, end)
        return None
