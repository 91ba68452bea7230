"""Draw a load plan: arrival times, workspaces, and prompt and output lengths."""

import random
from collections.abc import Sequence

import attrs

MIN_PROMPT_TOKENS = 1_000
MIN_LONG_PROMPT_TOKENS = 100_000
MAX_PROMPT_TOKENS = 1_000_000
LONG_SHARE = 1 / 50
# Values above 1 give more short prompts than a log-uniform distribution.
SHORT_SKEW = 2.0
OUTPUT_TOKENS = (8, 32)


@attrs.frozen
class LoadWorkspace:
    """A workspace that sends requests.

    Parameters
    ----------
    name, key : str
    weight : float
        Its relative share of all requests.
    concurrent_tokens : int
        Limit of its tokens in flight. It sends no prompt over half the limit, unless
        all workspaces are too small for the prompt.
    """

    name: str
    key: str
    weight: float
    concurrent_tokens: int


@attrs.frozen
class Arrival:
    """One planned request.

    Parameters
    ----------
    number : int
        Identifies the request; the same in each run of the plan.
    at_s : float
        Arrival time, from the start of the run.
    workspace : LoadWorkspace
    prompt_tokens, output_tokens : int
    """

    number: int
    at_s: float
    workspace: LoadWorkspace
    prompt_tokens: int
    output_tokens: int

    @property
    def is_long(self) -> bool:
        """Whether the prompt counts as long."""
        return self.prompt_tokens >= MIN_LONG_PROMPT_TOKENS


def draw_prompt_tokens(rng: random.Random, is_long: bool, longest_tokens: int) -> int:
    """Draw the length of a prompt, in tokens.

    Examples
    --------
    >>> draw_prompt_tokens(random.Random(1), True, 1_000_000) >= MIN_LONG_PROMPT_TOKENS
    True
    """
    if is_long:
        low, high, skew = MIN_LONG_PROMPT_TOKENS, longest_tokens, 1.0
    else:
        low, high, skew = MIN_PROMPT_TOKENS, MIN_LONG_PROMPT_TOKENS, SHORT_SKEW
    drawn = low * (high / low) ** (rng.random() ** skew)
    # Rounding must not turn a short prompt into a long one.
    return min(int(drawn), high if is_long else high - 1)


def mean_prompt_tokens(longest_tokens: int, draws: int = 20_000) -> float:
    """Estimate the mean prompt length of the mix, in tokens."""
    rng = random.Random(0)
    drawn = [
        draw_prompt_tokens(rng, rng.random() < LONG_SHARE, longest_tokens)
        for _ in range(draws)
    ]
    return sum(drawn) / draws


def make_plan(
    seed: int,
    workspaces: Sequence[LoadWorkspace],
    requests_per_s: float,
    duration_s: float,
    longest_tokens: int = MAX_PROMPT_TOKENS,
    max_requests: int = 100_000,
) -> list[Arrival]:
    """Draw a load plan with Poisson arrivals.

    Parameters
    ----------
    seed : int
    workspaces : sequence of LoadWorkspace
    requests_per_s : float
        Mean arrival rate.
    duration_s : float
        Time after which there are no arrivals.
    longest_tokens : int
        Length of the longest prompt.
    max_requests : int

    Returns
    -------
    list of Arrival
        Sorted by arrival time. One request in fifty is long, at regular intervals.
    """
    rng = random.Random(seed)
    plan: list[Arrival] = []
    at_s = rng.expovariate(requests_per_s)
    period = round(1 / LONG_SHARE)
    while at_s < duration_s and len(plan) < max_requests:
        number = len(plan)
        is_long = number % period == period // 4
        tokens = draw_prompt_tokens(rng, is_long, longest_tokens)
        workspace = _draw_workspace(rng, workspaces, tokens)
        output_tokens = rng.randint(*OUTPUT_TOKENS)
        plan.append(Arrival(number, at_s, workspace, tokens, output_tokens))
        at_s += rng.expovariate(requests_per_s)
    return plan


def _draw_workspace(
    rng: random.Random, workspaces: Sequence[LoadWorkspace], tokens: int
) -> LoadWorkspace:
    eligible = [w for w in workspaces if w.concurrent_tokens >= 2 * tokens]
    eligible = eligible or [max(workspaces, key=lambda w: w.concurrent_tokens)]
    return rng.choices(eligible, [w.weight for w in eligible])[0]


def without_long(plan: Sequence[Arrival]) -> list[Arrival]:
    """Return a plan without its long requests; the others are unchanged."""
    return [arrival for arrival in plan if not arrival.is_long]
