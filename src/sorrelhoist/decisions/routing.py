"""Choose the endpoints to ask for a grant, best first.

The choice is a guess from what grants and denials told; the agent decides. Each
policy is a data class, so that experiments compare them in one run.
"""

import random
from collections.abc import Callable, Sequence

import attrs

from ..messages.gen import ttypes
from .rendezvous import ranked

PREFIX_CHOICES = 2
RANDOM_CHOICES = 14
MAX_CANDIDATES = 4
# First blocks of prompts that are remembered as sent, and for how long.
REMEMBERED_PREFIXES = 4096
PREFIX_LIFETIME_S = 120.0
# Sooner than this it is the same request that asks again.
PREFIX_READY_S = 0.25
CACHED_PART = 0.5
DEFAULT_PREFILL_TOKENS_PER_S = 20_000
OTHER_DOMAIN_PENALTY_S = 0.001
RUNNING_PENALTY_S = 0.002
# Part of an endpoint's speed at which a backlog is held to shrink unseen, since
# others go on asking there.
UNSEEN_DRAIN_PART = 0.3
# Measured speeds differ by less than this for no reason but the mix of prompts.
SPEED_NOISE_FACTOR = 2.0
# Weight of a newly seen speed in the usual one.
RATE_GAIN = 0.05
# A short request waits for the chunk of a long one that is being read.
CHUNK_WAIT_S = 0.03
# Part of the memory that long requests may take.
LONG_MEMORY_PART = 0.75
MS_PER_S = 1000
LONG_SHARE = 0.34
LONG_TOKENS_PER_ENDPOINT = 400_000


@attrs.frozen
class Target:
    """An endpoint that could serve a request.

    Parameters
    ----------
    endpoint, node_id, failure_domain : str
        Its name, its agent, and where it is.
    kv_capacity_tokens : int
    """

    endpoint: str
    node_id: str
    failure_domain: str
    kv_capacity_tokens: int


@attrs.frozen
class RouteRequest:
    """What routing needs to know of a request.

    Parameters
    ----------
    model, failure_domain : str
        The model, and the domain of the entry that asks.
    prompt_tokens, output_tokens : int
    prefix_hashes : sequence of int
    is_long : bool
    affinity : str
        Not empty: a key that must lead every entry to the same first choice.
    """

    model: str
    failure_domain: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: Sequence[int]
    is_long: bool
    affinity: str = ""


@attrs.frozen
class ExpectedFirstToken:
    """Order by expected time to first token.

    Parameters
    ----------
    long_set : bool
        Whether to keep long prompts on few endpoints. That shields short prompts
        best, and lets long ones wait by far the longest; docs/MEASUREMENTS.md has
        the figures.
    """

    long_set: bool = False


@attrs.frozen
class RoundRobin:
    """Take the endpoints in turn."""


@attrs.frozen
class FewestRequests:
    """Fewest running and queued requests first."""


@attrs.frozen
class FewestTokens:
    """Fewest outstanding tokens first."""


Policy = ExpectedFirstToken | RoundRobin | FewestRequests | FewestTokens


@attrs.define
class _Seen:
    load: ttypes.Load
    seen_s: float
    sent_since_tokens: int = 0
    sent_since_requests: int = 0


def _waiting_s(request: RouteRequest, seen: _Seen, rate: float, now_s: float) -> float:
    load = seen.load
    backlog_s = load.pending_prefill_tokens / rate
    if not request.is_long:
        # Short prompts are read before long ones.
        backlog_s = min(backlog_s, load.queue_delay_ms / MS_PER_S)
    backlog_s += seen.sent_since_tokens / rate
    # The engine has read on since the load was seen.
    waiting_s = max(0.0, backlog_s - UNSEEN_DRAIN_PART * (now_s - seen.seen_s))
    running = load.running_requests + seen.sent_since_requests
    waiting_s += running * RUNNING_PENALTY_S
    if load.long_requests and not request.is_long:
        waiting_s += CHUNK_WAIT_S
    return waiting_s + _memory_wait_s(request, seen, rate)


def _memory_wait_s(request: RouteRequest, seen: _Seen, rate: float) -> float:
    load = seen.load
    capacity_tokens = float(load.kv_capacity_tokens)
    if request.is_long:
        capacity_tokens *= LONG_MEMORY_PART
    wanted_tokens = request.prompt_tokens + request.output_tokens
    used_tokens = load.kv_used_tokens + seen.sent_since_tokens
    return max(0.0, used_tokens + wanted_tokens - capacity_tokens) / rate


@attrs.define
class Router:
    """Loads last seen, and the choice among endpoints.

    Parameters
    ----------
    policy : Policy
    rng : random.Random
    """

    policy: Policy
    rng: random.Random
    _seen: dict[str, _Seen] = attrs.field(factory=dict)
    _turn: int = 0
    _long_tokens: dict[str, int] = attrs.field(factory=dict)
    _prefixes: dict[int, float] = attrs.field(factory=dict)
    _usual_rate: float = 0.0

    def observe(self, load: ttypes.Load, now_s: float) -> None:
        """Take in the load that came with a grant, denial or end."""
        self._seen[load.endpoint] = _Seen(load, now_s)
        if load.prefill_tokens_per_s:
            seen_rate = float(load.prefill_tokens_per_s)
            usual_rate = self._usual_rate or seen_rate
            self._usual_rate = usual_rate + RATE_GAIN * (seen_rate - usual_rate)

    def sent(self, endpoint: str, prompt_tokens: int) -> None:
        """Count a request sent since the load was last seen."""
        seen = self._seen.get(endpoint)
        if seen is not None:
            seen.sent_since_tokens += prompt_tokens
            seen.sent_since_requests += 1

    def long_started(self, model: str, tokens: int) -> None:
        """Count a long prompt as running, to size the set for long prompts."""
        self._long_tokens[model] = self._long_tokens.get(model, 0) + tokens

    def long_ended(self, model: str, tokens: int) -> None:
        """Take a long prompt off the count."""
        self._long_tokens[model] = max(0, self._long_tokens.get(model, 0) - tokens)

    def choose(
        self, request: RouteRequest, targets: Sequence[Target], now_s: float
    ) -> list[Target]:
        """Order the endpoints to ask.

        Parameters
        ----------
        request : RouteRequest
        targets : sequence of Target
            All endpoints that may serve it.
        now_s : float

        Returns
        -------
        list of Target
            At most `MAX_CANDIDATES`, best first.
        """
        if not targets:
            return []
        match self.policy:
            case ExpectedFirstToken(long_set=long_set):
                return self._by_first_token(request, targets, long_set, now_s)
            case RoundRobin():
                return self._in_turn(targets)
            case FewestRequests():
                return self._fewest(targets, self._requests)
            case FewestTokens():
                return self._fewest(targets, self._tokens)

    def _in_turn(self, targets: Sequence[Target]) -> list[Target]:
        ordered = sorted(targets, key=lambda target: target.endpoint)
        self._turn += 1
        start = self._turn % len(ordered)
        return (ordered[start:] + ordered[:start])[:MAX_CANDIDATES]

    def _fewest(
        self, targets: Sequence[Target], measure: Callable[[str], int]
    ) -> list[Target]:
        ordered = sorted(
            targets, key=lambda target: (measure(target.endpoint), self.rng.random())
        )
        return ordered[:MAX_CANDIDATES]

    def _requests(self, endpoint: str) -> int:
        seen = self._seen.get(endpoint)
        if seen is None:
            return 0
        load = seen.load
        return load.running_requests + load.queued_requests + seen.sent_since_requests

    def _tokens(self, endpoint: str) -> int:
        seen = self._seen.get(endpoint)
        if seen is None:
            return 0
        return seen.load.kv_used_tokens + seen.sent_since_tokens

    def _by_first_token(
        self,
        request: RouteRequest,
        targets: Sequence[Target],
        long_set: bool,
        now_s: float,
    ) -> list[Target]:
        by_name = {target.endpoint: target for target in targets}
        if long_set:
            by_name = self._lane_targets(request, by_name)
        prefix = self._prefix_choices(request, list(by_name))
        cached = prefix if self._is_known_prefix(request, now_s) else []
        names = self._sample(prefix, list(by_name))
        names.sort(
            key=lambda name: self.expected_first_token_s(
                request, by_name[name], name in cached, now_s
            )
        )
        if request.affinity:
            first = ranked(request.affinity, list(by_name))[0]
            names = [first] + [name for name in names if name != first]
        return [by_name[name] for name in names[:MAX_CANDIDATES]]

    def _lane_targets(
        self, request: RouteRequest, by_name: dict[str, Target]
    ) -> dict[str, Target]:
        long_names = self._long_set(request.model, list(by_name))
        if request.is_long:
            return {name: by_name[name] for name in long_names}
        others = {n: t for n, t in by_name.items() if n not in long_names}
        if not others or not self._long_tokens.get(request.model):
            return by_name
        return others

    def _long_set(self, model: str, names: list[str]) -> list[str]:
        """Grow with the long demand, up to all endpoints."""
        demand = self._long_tokens.get(model, 0) // LONG_TOKENS_PER_ENDPOINT
        size = max(1, round(len(names) * LONG_SHARE), demand + 1)
        return ranked(f"long/{model}", names)[:size]

    def _prefix_choices(self, request: RouteRequest, names: list[str]) -> list[str]:
        if not request.prefix_hashes:
            return []
        return ranked(str(request.prefix_hashes[0]), names)[:PREFIX_CHOICES]

    def _is_known_prefix(self, request: RouteRequest, now_s: float) -> bool:
        """Remember the first block, and tell whether it came before.

        Most prompts share nothing with others; only one that does is worth a
        longer wait where its first blocks may be cached.
        """
        if not request.prefix_hashes:
            return False
        first = request.prefix_hashes[0]
        seen_s = self._prefixes.get(first)
        if seen_s is None or now_s - seen_s > PREFIX_LIFETIME_S:
            self._prefixes.pop(first, None)
            self._prefixes[first] = now_s
            if len(self._prefixes) > REMEMBERED_PREFIXES:
                del self._prefixes[next(iter(self._prefixes))]
            return False
        return now_s - seen_s >= PREFIX_READY_S

    def _sample(self, prefix: list[str], names: list[str]) -> list[str]:
        rest = [name for name in names if name not in prefix]
        return prefix + self.rng.sample(rest, min(RANDOM_CHOICES, len(rest)))

    def expected_first_token_s(
        self, request: RouteRequest, target: Target, has_prefix: bool, now_s: float
    ) -> float:
        """Estimate the time to first token on an endpoint.

        Parameters
        ----------
        request : RouteRequest
        target : Target
        has_prefix : bool
            Whether the prompt's first blocks are likely in its cache.
        now_s : float

        Returns
        -------
        float
            Seconds.
        """
        work_tokens = float(request.prompt_tokens)
        if has_prefix:
            work_tokens *= CACHED_PART
        rate = self._usual_rate or float(DEFAULT_PREFILL_TOKENS_PER_S)
        waiting_s = 0.0
        seen = self._seen.get(target.endpoint)
        if seen is not None:
            rate = self._rate(seen.load)
            waiting_s = _waiting_s(request, seen, rate, now_s)
        if target.failure_domain != request.failure_domain:
            waiting_s += OTHER_DOMAIN_PENALTY_S
        return waiting_s + work_tokens / rate

    def _rate(self, load: ttypes.Load) -> float:
        """Return an endpoint's speed, or the usual one unless it is far off."""
        own = float(load.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S)
        if not self._usual_rate:
            return own
        if not SPEED_NOISE_FACTOR**-1 <= own / self._usual_rate <= SPEED_NOISE_FACTOR:
            return own
        return self._usual_rate

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "policy": type(self.policy).__name__,
            "long_tokens": dict(self._long_tokens),
            "loads": {
                name: {
                    "seen_s": seen.seen_s,
                    "running_requests": seen.load.running_requests,
                    "queued_requests": seen.load.queued_requests,
                    "kv_used_tokens": seen.load.kv_used_tokens,
                    "phase": seen.load.phase,
                }
                for name, seen in self._seen.items()
            },
        }
