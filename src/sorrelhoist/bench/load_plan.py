"""Draw a load: who asks when, with prompts of which length."""

import random
from collections.abc import Sequence

import attrs

SHORTEST_PROMPT_TOKENS = 1_000
LONG_FROM_TOKENS = 100_000
LONGEST_PROMPT_TOKENS = 1_000_000
LONG_SHARE = 1 / 50
# Above 1 there are more prompts at the short end than in a log-uniform draw.
SHORT_SKEW = 2.0
OUTPUT_TOKENS = (8, 32)


@attrs.frozen
class LoadWorkspace:
    """A workspace that sends requests.

    Parameters
    ----------
    name, key : str
    weight : float
        Its share of all requests.
    concurrent_tokens : int
        Its limit; it sends no prompt over half of it.
    """

    name: str
    key: str
    weight: float
    concurrent_tokens: int


@attrs.frozen
class Arrival:
    """One request of the plan.

    Parameters
    ----------
    number : int
        The same in each run of the plan.
    at_s : float
        From the start of the run.
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
        """Whether it is one of the few long ones."""
        return self.prompt_tokens >= LONG_FROM_TOKENS


def draw_prompt_tokens(rng: random.Random, is_long: bool, longest_tokens: int) -> int:
    """Draw the length of a prompt, in tokens.

    Examples
    --------
    >>> draw_prompt_tokens(random.Random(1), True, 1_000_000) >= LONG_FROM_TOKENS
    True
    """
    if is_long:
        low, high, skew = LONG_FROM_TOKENS, longest_tokens, 1.0
    else:
        low, high, skew = SHORTEST_PROMPT_TOKENS, LONG_FROM_TOKENS, SHORT_SKEW
    drawn = low * (high / low) ** (rng.random() ** skew)
    # A rounded draw stays on its side of the bound.
    return min(int(drawn), high if is_long else high - 1)


def mean_prompt_tokens(longest_tokens: int, draws: int = 20_000) -> float:
    """Estimate the mean length of the mix, in tokens."""
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
    longest_tokens: int = LONGEST_PROMPT_TOKENS,
    max_requests: int = 100_000,
) -> list[Arrival]:
    """Draw a plan with Poisson arrivals.

    Parameters
    ----------
    seed : int
    workspaces : sequence of LoadWorkspace
    requests_per_s : float
        Mean rate of arrivals.
    duration_s : float
        Arrivals end here.
    longest_tokens : int
        Longest prompt that is drawn.
    max_requests : int

    Returns
    -------
    list of Arrival
        In the order of time. One in fifty is long, at even distances.
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
    able = [w for w in workspaces if w.concurrent_tokens >= 2 * tokens]
    able = able or [max(workspaces, key=lambda w: w.concurrent_tokens)]
    return rng.choices(able, [w.weight for w in able])[0]


def without_long(plan: Sequence[Arrival]) -> list[Arrival]:
    """Leave the long requests out of a plan; the others stay as they are."""
    return [arrival for arrival in plan if not arrival.is_long]
