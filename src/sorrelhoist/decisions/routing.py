"""Route requests: rank the endpoints to ask for a grant, best first.

The ranking is an estimate from the loads reported with grants and denials; the
agent makes the decision. Each policy is a data class, so that an experiment can
compare several in one run.
"""

import random
from collections.abc import Callable, Sequence

import attrs

from ..messages.gen import ttypes
from .rendezvous import ranked

PREFIX_CANDIDATES = 2
RANDOM_CANDIDATES = 14
MAX_CANDIDATES = 4
# First prompt blocks tracked as recently sent, and for how long.
MAX_TRACKED_PREFIXES = 4096
PREFIX_TTL_S = 120.0
# A repeat sooner than this is another attempt of the same request.
PREFIX_MIN_AGE_S = 0.25
# Part of the prefill work that remains when the prefix is cached.
CACHED_PREFILL_FRACTION = 0.5
DEFAULT_PREFILL_TOKENS_PER_S = 20_000
CROSS_DOMAIN_PENALTY_S = 0.001
# Expected wait for each request that is running on the endpoint.
RUNNING_PENALTY_S = 0.002
# Fraction of its prefill rate at which an endpoint's backlog is assumed to drain since
# the last load report. Below 1 because other entries keep sending requests there.
UNOBSERVED_DRAIN_FRACTION = 0.3
# Smaller differences between prefill rates come only from the mix of prompts.
RATE_NOISE_FACTOR = 2.0
# Weight of a new sample in the average prefill rate.
RATE_EWMA_WEIGHT = 0.05
# A short request waits for the prefill chunk of a long one that is in progress.
CHUNK_WAIT_S = 0.03
# Fraction of the KV cache that long requests may use.
LONG_KV_FRACTION = 0.75
MS_PER_S = 1000
# Size of the set for long prompts: the larger of this fraction of the endpoints and
# one endpoint more than each full LONG_TOKENS_PER_ENDPOINT in progress.
LONG_SET_FRACTION = 0.34
LONG_TOKENS_PER_ENDPOINT = 400_000


@attrs.frozen
class Target:
    """An endpoint that can serve a request.

    Parameters
    ----------
    endpoint, node_id, failure_domain : str
        Its name, the node of its agent, and its failure domain.
    kv_capacity_tokens : int
    """

    endpoint: str
    node_id: str
    failure_domain: str
    kv_capacity_tokens: int


@attrs.frozen
class RouteRequest:
    """The properties of a request that routing depends on.

    Parameters
    ----------
    model, failure_domain : str
        The requested model, and the failure domain of the requesting entry.
    prompt_tokens, output_tokens : int
    prefix_hashes : sequence of int
    is_long : bool
    affinity : str
        If not empty, a key for which every entry must choose the same first
        endpoint.
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
    """Lowest expected time to first token first.

    Parameters
    ----------
    long_set : bool
        Whether to confine long prompts to a few endpoints. This isolates short
        prompts best, but long prompts then wait by far the longest; see
        docs/MEASUREMENTS.md for the figures.
    """

    long_set: bool = False


@attrs.frozen
class RoundRobin:
    """Rotate through the endpoints."""


@attrs.frozen
class FewestRequests:
    """Fewest running and queued requests first."""


@attrs.frozen
class FewestTokens:
    """Fewest outstanding tokens first."""


Policy = ExpectedFirstToken | RoundRobin | FewestRequests | FewestTokens


@attrs.define
class _ObservedLoad:
    load: ttypes.Load
    seen_s: float
    sent_since_tokens: int = 0
    sent_since_requests: int = 0


def _expected_wait_s(
    request: RouteRequest, seen: _ObservedLoad, rate: float, now_s: float
) -> float:
    load = seen.load
    backlog_s = load.pending_prefill_tokens / rate
    if not request.is_long:
        # Short prompts are prefilled before long ones.
        backlog_s = min(backlog_s, load.queue_delay_ms / MS_PER_S)
    backlog_s += seen.sent_since_tokens / rate
    # The engine has continued to prefill since the load was reported.
    waiting_s = max(0.0, backlog_s - UNOBSERVED_DRAIN_FRACTION * (now_s - seen.seen_s))
    running = load.running_requests + seen.sent_since_requests
    waiting_s += running * RUNNING_PENALTY_S
    if load.long_requests and not request.is_long:
        waiting_s += CHUNK_WAIT_S
    return waiting_s + _kv_wait_s(request, seen, rate)


def _kv_wait_s(request: RouteRequest, seen: _ObservedLoad, rate: float) -> float:
    load = seen.load
    capacity_tokens = float(load.kv_capacity_tokens)
    if request.is_long:
        capacity_tokens *= LONG_KV_FRACTION
    wanted_tokens = request.prompt_tokens + request.output_tokens
    used_tokens = load.kv_used_tokens + seen.sent_since_tokens
    return max(0.0, used_tokens + wanted_tokens - capacity_tokens) / rate


@attrs.define
class Router:
    """Rank endpoints by a policy and their last reported loads.

    Parameters
    ----------
    policy : Policy
    rng : random.Random
    """

    policy: Policy
    rng: random.Random
    _observed: dict[str, _ObservedLoad] = attrs.field(factory=dict)
    _turn: int = 0
    _long_tokens: dict[str, int] = attrs.field(factory=dict)
    _prefix_seen_s: dict[int, float] = attrs.field(factory=dict)
    _average_rate: float = 0.0

    def observe(self, load: ttypes.Load, now_s: float) -> None:
        """Record the load that came with a grant, a denial or the end of a request."""
        self._observed[load.endpoint] = _ObservedLoad(load, now_s)
        if load.prefill_tokens_per_s:
            seen_rate = float(load.prefill_tokens_per_s)
            average_rate = self._average_rate or seen_rate
            self._average_rate = average_rate + RATE_EWMA_WEIGHT * (
                seen_rate - average_rate
            )

    def sent(self, endpoint: str, prompt_tokens: int) -> None:
        """Add a request sent since the last load report to the estimated load."""
        seen = self._observed.get(endpoint)
        if seen is not None:
            seen.sent_since_tokens += prompt_tokens
            seen.sent_since_requests += 1

    def long_started(self, model: str, tokens: int) -> None:
        """Count a long prompt as running; the count sizes the set for long prompts."""
        self._long_tokens[model] = self._long_tokens.get(model, 0) + tokens

    def long_ended(self, model: str, tokens: int) -> None:
        """Remove a long prompt from the count."""
        self._long_tokens[model] = max(0, self._long_tokens.get(model, 0) - tokens)

    def choose(
        self, request: RouteRequest, targets: Sequence[Target], now_s: float
    ) -> list[Target]:
        """Rank the endpoints to ask for a grant.

        Parameters
        ----------
        request : RouteRequest
        targets : sequence of Target
            All endpoints that can serve it.
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
                return self._round_robin(targets)
            case FewestRequests():
                return self._fewest(targets, self._outstanding_requests)
            case FewestTokens():
                return self._fewest(targets, self._outstanding_tokens)

    def _round_robin(self, targets: Sequence[Target]) -> list[Target]:
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

    def _outstanding_requests(self, endpoint: str) -> int:
        seen = self._observed.get(endpoint)
        if seen is None:
            return 0
        load = seen.load
        return load.running_requests + load.queued_requests + seen.sent_since_requests

    def _outstanding_tokens(self, endpoint: str) -> int:
        seen = self._observed.get(endpoint)
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
            by_name = self._targets_for_length(request, by_name)
        prefix = self._prefix_candidates(request, list(by_name))
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

    def _targets_for_length(
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
        """Return the endpoints for long prompts; demand can grow the set to all."""
        demand = self._long_tokens.get(model, 0) // LONG_TOKENS_PER_ENDPOINT
        size = max(1, round(len(names) * LONG_SET_FRACTION), demand + 1)
        return ranked(f"long/{model}", names)[:size]

    def _prefix_candidates(self, request: RouteRequest, names: list[str]) -> list[str]:
        if not request.prefix_hashes:
            return []
        return ranked(str(request.prefix_hashes[0]), names)[:PREFIX_CANDIDATES]

    def _is_known_prefix(self, request: RouteRequest, now_s: float) -> bool:
        """Record the first block and return whether it was seen before.

        Most prompts share no prefix with others. Only a shared prefix justifies a
        longer wait for an endpoint that may have its first blocks cached.
        """
        if not request.prefix_hashes:
            return False
        first = request.prefix_hashes[0]
        seen_s = self._prefix_seen_s.get(first)
        if seen_s is None or now_s - seen_s > PREFIX_TTL_S:
            self._prefix_seen_s.pop(first, None)
            self._prefix_seen_s[first] = now_s
            if len(self._prefix_seen_s) > MAX_TRACKED_PREFIXES:
                del self._prefix_seen_s[next(iter(self._prefix_seen_s))]
            return False
        return now_s - seen_s >= PREFIX_MIN_AGE_S

    def _sample(self, prefix: list[str], names: list[str]) -> list[str]:
        rest = [name for name in names if name not in prefix]
        return prefix + self.rng.sample(rest, min(RANDOM_CANDIDATES, len(rest)))

    def expected_first_token_s(
        self, request: RouteRequest, target: Target, has_prefix: bool, now_s: float
    ) -> float:
        """Estimate the time to first token on an endpoint.

        Parameters
        ----------
        request : RouteRequest
        target : Target
        has_prefix : bool
            Whether the endpoint's prefix cache probably has the prompt's first blocks.
        now_s : float

        Returns
        -------
        float
            Seconds.
        """
        work_tokens = float(request.prompt_tokens)
        if has_prefix:
            work_tokens *= CACHED_PREFILL_FRACTION
        rate = self._average_rate or float(DEFAULT_PREFILL_TOKENS_PER_S)
        waiting_s = 0.0
        seen = self._observed.get(target.endpoint)
        if seen is not None:
            rate = self._rate(seen.load)
            waiting_s = _expected_wait_s(request, seen, rate, now_s)
        if target.failure_domain != request.failure_domain:
            waiting_s += CROSS_DOMAIN_PENALTY_S
        return waiting_s + work_tokens / rate

    def _rate(self, load: ttypes.Load) -> float:
        """Return the average prefill rate, or the endpoint's own if it is far off."""
        own = float(load.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S)
        if not self._average_rate:
            return own
        if not RATE_NOISE_FACTOR**-1 <= own / self._average_rate <= RATE_NOISE_FACTOR:
            return own
        return self._average_rate

    def dump(self) -> dict:
        """Return the state as plain data for the state dump."""
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
                for name, seen in self._observed.items()
            },
        }
