"""Choose the endpoints to ask for a grant, best first.

The choice is a guess from what grants and denials told; the agent decides. Each
policy is a data class, so that experiments compare them in one run.
"""

import random
from collections.abc import Callable, Sequence

import attrs

from ..messages.gen import ttypes
from .rendezvous import ranked

LOAD_HALF_LIFE_S = 2.0
PREFIX_CHOICES = 2
RANDOM_CHOICES = 1
MAX_CANDIDATES = 4
DEFAULT_PREFILL_TOKENS_PER_S = 20_000
OTHER_DOMAIN_PENALTY_S = 0.001
RUNNING_PENALTY_S = 0.002
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
    """Order by expected time to first token; long prompts on few endpoints."""

    long_set: bool = True


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


def _freshness(age_s: float) -> float:
    return 0.5 ** (age_s / LOAD_HALF_LIFE_S)


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

    def observe(self, load: ttypes.Load, now_s: float) -> None:
        """Take in the load that came with a grant, denial or end."""
        self._seen[load.endpoint] = _Seen(load, now_s)

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
        names = self._sample(prefix, list(by_name))
        names.sort(
            key=lambda name: self.expected_first_token_s(
                request, by_name[name], name in prefix, now_s
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

    def _sample(self, prefix: list[str], names: list[str]) -> list[str]:
        rest = [name for name in names if name not in prefix]
        wanted = max(RANDOM_CHOICES, MAX_CANDIDATES - len(prefix))
        return prefix + self.rng.sample(rest, min(wanted, len(rest)))

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
            work_tokens *= 0.5
        rate = float(DEFAULT_PREFILL_TOKENS_PER_S)
        waiting_s = 0.0
        seen = self._seen.get(target.endpoint)
        if seen is not None:
            load = seen.load
            rate = float(load.prefill_tokens_per_s or rate)
            fresh = _freshness(now_s - seen.seen_s)
            backlog = load.pending_prefill_tokens * fresh + seen.sent_since_tokens
            running = load.running_requests * fresh + seen.sent_since_requests
            waiting_s = backlog / rate + running * RUNNING_PENALTY_S
            waiting_s += load.queue_delay_ms / 1000 * fresh
        if target.failure_domain != request.failure_domain:
            waiting_s += OTHER_DOMAIN_PENALTY_S
        return waiting_s + work_tokens / rate

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
