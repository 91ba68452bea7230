"""Arrivals of prompts with widely varying lengths, drawn or from a gateway's log."""

import json
import math
import random
from collections.abc import Iterable

import attrs

MS_PER_S = 1000

BURST_S = 4.0
"""Burst duration of each kind in turn: the users' mix changes within seconds."""

SIZE_SHARE, MAX_SIZE_FACTOR = 0.7, 4.0
"""Share of a prompt's worth that grows with its size, and the limit of its worth
relative to the mean of its kind; both from the users' pages."""


@attrs.frozen(kw_only=True)
class Kind:
    """A class of prompts with its load and objectives, from the users' description.

    Parameters
    ----------
    name : str
    per_s : float
        Mean arrival rate.
    mean_tokens, spread, max_prompt_tokens : float
        Mean, sigma and upper limit of a log-normal distribution of lengths.
    events : int
        Events of an answer.
    objective_s, deadline_s, pause_s : float
        Objective for the first event, deadline, and longest pause between events.
    worth, late_worth : float
        Worth of an answer that meets its objectives, and of one that misses them.
    """

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    max_prompt_tokens: float
    events: int
    objective_s: float
    deadline_s: float
    pause_s: float
    worth: float
    late_worth: float


KINDS = (
    Kind(
        name="quick",
        per_s=40.0,
        mean_tokens=5_000,
        spread=0.9,
        max_prompt_tokens=24_000,
        events=38,
        objective_s=0.3,
        deadline_s=10.0,
        pause_s=0.25,
        worth=1.3,
        late_worth=0.33,
    ),
    Kind(
        name="middle",
        per_s=2.5,
        mean_tokens=45_000,
        spread=0.5,
        max_prompt_tokens=110_000,
        events=23,
        objective_s=1.5,
        deadline_s=10.0,
        pause_s=0.6,
        worth=3.9,
        late_worth=0.97,
    ),
    Kind(
        name="long",
        per_s=1.2,
        mean_tokens=182_000,
        spread=0.55,
        max_prompt_tokens=900_000,
        events=19,
        objective_s=3.0,
        deadline_s=15.0,
        pause_s=1.0,
        worth=24.0,
        late_worth=6.1,
    ),
)


@attrs.frozen
class Arrival:
    """The arrival of one prompt."""

    at_s: float
    kind: Kind
    prompt_tokens: int
    domain: str = ""

    @property
    def size_factor(self) -> float:
        """Worth relative to the mean of its kind."""
        by_size = SIZE_SHARE * self.prompt_tokens / self.kind.mean_tokens
        return min(MAX_SIZE_FACTOR, 1 - SIZE_SHARE + by_size)


def draw_arrivals(
    rng: random.Random, seconds_s: float, factor: float, burst: float
) -> list[Arrival]:
    """Draw arrivals of all kinds; the kinds burst cyclically, one after the other."""
    arrivals = []
    for number, kind in enumerate(KINDS):
        at_s = 0.0
        peak_per_s = kind.per_s * factor * burst
        while (at_s := at_s + rng.expovariate(peak_per_s)) < seconds_s:
            is_burst = int(at_s / BURST_S) % (len(KINDS) + 1) == number
            if rng.random() > (1.0 if is_burst else 1.0 / burst):
                continue
            mu = math.log(kind.mean_tokens) - kind.spread**2 / 2
            tokens = min(rng.lognormvariate(mu, kind.spread), kind.max_prompt_tokens)
            arrivals.append(Arrival(at_s, kind, max(50, int(tokens))))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def arrivals_from_log(lines: Iterable[str]) -> list[Arrival]:
    """Return the arrivals recorded in the ``sent`` lines of gateways' logs.

    The kind is inferred from the size, as a log does not contain objectives.
    """
    arrivals: dict[str, Arrival] = {}
    for line in lines:
        start = line.find("{")
        if start < 0 or '"event": "sent"' not in line:
            continue
        fields = json.loads(line[start:])
        tokens = fields.get("prompt_tokens")
        if not tokens or fields["request_id"] in arrivals:
            continue
        at_s = float(line.split()[0]) - fields["waited_ms"] / MS_PER_S
        arrivals[fields["request_id"]] = Arrival(at_s, _kind_of(tokens), tokens)
    return sorted(arrivals.values(), key=lambda arrival: arrival.at_s)


def _kind_of(prompt_tokens: int) -> Kind:
    quick, middle, long = KINDS
    if prompt_tokens <= quick.max_prompt_tokens:
        return quick
    return middle if prompt_tokens <= middle.max_prompt_tokens else long
